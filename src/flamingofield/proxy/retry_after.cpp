#include "proxy/retry_after.hpp"

#include <algorithm>
#include <charconv>

namespace flamingofield {

std::optional<duration> parseRetryAfter(std::string_view text)
{
    double value = 0.0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool isTooLarge = parsed.ec == std::errc::result_out_of_range;
    if ((parsed.ec != std::errc() && !isTooLarge) || parsed.ptr != text.data() + text.size() || !(value >= 0.0)) {
        return std::nullopt;
    }
    const double limited = isTooLarge ? toSeconds(maxRetryAfterOfTarget) : std::min(value, toSeconds(maxRetryAfterOfTarget));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(limited));
}

} // namespace flamingofield

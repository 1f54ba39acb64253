#include "config/text_delta.hpp"

#include "core/hash.hpp"

#include <unordered_map>

namespace flamingofield {

namespace {

constexpr std::size_t minPartBytes = 512;
constexpr std::size_t maxPartBytes = 8192;
constexpr std::uint64_t cutMask = 0x7; // One line in eight may end a part.

} // namespace

std::vector<std::string_view> splitParts(std::string_view text)
{
    std::vector<std::string_view> parts;
    std::size_t start = 0;
    std::size_t line = 0;
    while (line < text.size()) {
        const std::size_t newline = text.find('\n', line);
        const std::size_t end = newline == std::string_view::npos ? text.size() : newline + 1;
        const std::size_t size = end - start;
        const bool endsPart = size >= minPartBytes && (hashOf(text.substr(line, end - line)) & cutMask) == 0;
        if (endsPart || size >= maxPartBytes) {
            parts.push_back(text.substr(start, size));
            start = end;
        }
        line = end;
    }
    if (start < text.size()) {
        parts.push_back(text.substr(start));
    }
    return parts;
}

std::vector<std::uint64_t> partHashes(std::string_view text)
{
    std::vector<std::uint64_t> hashes;
    for (const auto part : splitParts(text)) {
        hashes.push_back(hashOf(part));
    }
    return hashes;
}

text_delta makeDelta(std::string_view text, const std::vector<std::uint64_t> &baseHashes)
{
    std::unordered_map<std::uint64_t, std::int32_t> known;
    for (std::size_t i = 0; i < baseHashes.size(); ++i) {
        known.emplace(baseHashes[i], static_cast<std::int32_t>(i));
    }
    text_delta delta;
    for (const auto part : splitParts(text)) {
        const auto found = known.find(hashOf(part));
        if (found != known.end()) {
            delta.pieces.push_back({found->second, ""});
        } else {
            delta.pieces.push_back({-1, std::string(part)});
        }
    }
    return delta;
}

result<std::string> applyDelta(const text_delta &delta, std::string_view base)
{
    const std::vector<std::string_view> parts = splitParts(base);
    std::string text;
    for (const auto &piece : delta.pieces) {
        if (piece.basePart >= static_cast<std::int32_t>(parts.size())) {
            return error{"apply delta", "base text", "part " + std::to_string(piece.basePart) + " is missing"};
        }
        text += piece.basePart < 0 ? std::string_view(piece.bytes) : parts[static_cast<std::size_t>(piece.basePart)];
    }
    return text;
}

} // namespace flamingofield

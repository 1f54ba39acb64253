#include "mutation/reference_parser.hpp"

#include <algorithm>
#include <cctype>
#include <optional>
#include <sstream>

namespace mutation {

namespace {

const std::string lineEnd = "\r\n";
/// Longest length that is read; all messages are shorter.
constexpr std::size_t maxDigits = 12;
constexpr std::string_view digits = "0123456789";
constexpr std::string_view hexDigits = "0123456789abcdefABCDEF";

bool isToken(std::string_view text)
{
    const auto isTokenCharacter = [](unsigned char c) {
        return c < 0x80
            && (std::isalnum(c) != 0 || std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(c)) != std::string_view::npos);
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isVersion(std::string_view text)
{
    return text == "HTTP/1.1" || text == "HTTP/1.0";
}

bool isControl(char c)
{
    return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == '\x7f';
}

std::string trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    return first == std::string_view::npos ? "" : std::string(text.substr(first, text.find_last_not_of(" \t") - first + 1));
}

/// Takes a line with its end; nothing if it is incomplete or contains control characters.
std::optional<std::string> takeLine(std::string_view &bytes)
{
    const auto end = bytes.find(lineEnd);
    if (end == std::string_view::npos || std::any_of(bytes.begin(), bytes.begin() + end, isControl)) {
        return std::nullopt;
    }
    std::string line(bytes.substr(0, end));
    bytes.remove_prefix(end + lineEnd.size());
    return line;
}

/// Takes fields and the empty line after them. A folded value of a request becomes one line, with the white space at the fold left out;
/// answers must not have any.
bool takeFields(std::string_view &bytes, bool isRequest, std::vector<std::pair<std::string, std::string>> &fields)
{
    while (const auto line = takeLine(bytes)) {
        if (line->empty()) {
            return true;
        }
        const auto colon = line->find(':');
        if (isRequest && !fields.empty() && (line->front() == ' ' || line->front() == '\t')) {
            std::string &value = fields.back().second;
            value = trimmed(value + ' ' + trimmed(*line));
        } else if (colon != std::string::npos && isToken(line->substr(0, colon))) {
            fields.emplace_back(line->substr(0, colon), trimmed(line->substr(colon + 1)));
        } else {
            return false;
        }
    }
    return false;
}

std::optional<std::size_t> numberOf(const std::string &text, int base)
{
    const std::string significant = text.substr(std::min(text.find_first_not_of('0'), text.size()));
    const auto isValid = text.find_first_not_of(base == 10 ? digits : hexDigits) == std::string::npos;
    if (text.empty() || !isValid || significant.size() > maxDigits) {
        return std::nullopt;
    }
    return significant.empty() ? 0 : std::stoull(significant, nullptr, base);
}

bool takeBytes(std::string_view &bytes, std::size_t count, std::string &body)
{
    if (count > bytes.size()) {
        return false;
    }
    body.append(bytes.substr(0, count));
    bytes.remove_prefix(count);
    return true;
}

bool takeChunks(std::string_view &bytes, bool isRequest, std::string &body)
{
    while (const auto line = takeLine(bytes)) {
        const auto sizeEnd = std::min(line->find_first_not_of(hexDigits), line->size());
        const std::string extension = line->substr(sizeEnd);
        if (!extension.empty() && trimmed(extension).rfind(';', 0) != 0) {
            return false;
        }
        const auto size = numberOf(line->substr(0, sizeEnd), 16);
        if (size == std::size_t(0)) {
            std::vector<std::pair<std::string, std::string>> trailer;
            return takeFields(bytes, isRequest, trailer);
        }
        std::string end;
        if (!size || !takeBytes(bytes, *size, body) || !takeBytes(bytes, lineEnd.size(), end) || end != lineEnd) {
            return false;
        }
    }
    return false;
}

/// Takes the body of a message whose fields are complete and normalized.
bool takeBody(std::string_view &bytes, message_source source, int status, reference_message &message)
{
    std::vector<std::string> codings;
    std::vector<std::string> lengths;
    for (const auto &[name, value] : message.fields) {
        if (name == "transfer-encoding") {
            codings.push_back(value);
            std::transform(value.begin(), value.end(), codings.back().begin(), [](unsigned char c) { return std::tolower(c); });
        } else if (name == "content-length") {
            std::istringstream list(value + ',');
            for (std::string each; std::getline(list, each, ',');) {
                lengths.push_back(trimmed(each));
            }
        }
    }
    const auto length = lengths.empty() ? std::optional<std::size_t>(0) : numberOf(lengths.front(), 10);
    const auto isSameLength = [&](const std::string &each) { return numberOf(each, 10) == length; };
    const bool isChunked = codings == std::vector<std::string>{"chunked"};
    // The readers decode no other coding; two statements of the length disagree for one reader or another.
    if (!length || !std::all_of(lengths.begin(), lengths.end(), isSameLength) || (!codings.empty() && (!isChunked || !lengths.empty()))) {
        return false;
    }
    if (!source.isRequest && (source.isAnswerToHead || status < 200 || status == 204 || status == 304)) {
        return true;
    }
    if (isChunked) {
        return takeChunks(bytes, source.isRequest, message.body);
    }
    if (!lengths.empty() || source.isRequest) {
        return takeBytes(bytes, *length, message.body);
    }
    return source.isClosed && takeBytes(bytes, bytes.size(), message.body);
}

/// @param[out] essential method and target, or the status
bool parseStartLine(const std::string &line, bool isRequest, std::string &essential)
{
    if (!isRequest) {
        essential = line.substr(std::min<std::size_t>(line.size(), 9), 3);
        const auto status = numberOf(essential, 10);
        const bool isValidStatus = status && *status >= 100 && *status < 600;
        return line.size() > 12 && isVersion(line.substr(0, 8)) && line[8] == ' ' && line[12] == ' ' && isValidStatus;
    }
    const auto first = std::min(line.find(' '), line.size());
    const auto last = std::min(line.rfind(' '), line.size());
    essential = line.substr(0, last);
    return last > first + 1 && last < line.size() && isToken(line.substr(0, first))
        && essential.find_first_of(" \t", first + 1) == std::string::npos && isVersion(line.substr(last + 1));
}

} // namespace

void normalize(std::vector<std::pair<std::string, std::string>> &fields)
{
    for (auto &[name, value] : fields) {
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    }
    std::stable_sort(fields.begin(), fields.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
}

std::vector<reference_message> completeMessages(std::string_view bytes, message_source source)
{
    std::vector<reference_message> messages;
    while (const auto line = takeLine(bytes)) {
        reference_message message;
        if (!parseStartLine(*line, source.isRequest, message.startLine) || !takeFields(bytes, source.isRequest, message.fields)) {
            break;
        }
        normalize(message.fields);
        if (!takeBody(bytes, source, source.isRequest ? 0 : std::stoi(message.startLine), message)) {
            break;
        }
        messages.push_back(std::move(message));
    }
    return messages;
}

} // namespace mutation

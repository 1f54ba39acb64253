#include "report/request_trace.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace flamingofield {

namespace {

/// Reads the value at a position and advances it; quoted values are JSON strings.
std::string readValue(std::string_view text, std::size_t &position)
{
    if (position < text.size() && text[position] == '"') {
        std::size_t end = position + 1;
        while (end < text.size() && text[end] != '"') {
            end += text[end] == '\\' ? 2 : 1;
        }
        const std::string_view quoted = text.substr(position, end + 1 - position);
        position = end + 1;
        const auto value = nlohmann::json::parse(quoted, nullptr, false);
        return value.is_string() ? value.get<std::string>() : std::string(quoted);
    }
    const std::size_t end = std::min(text.find(' ', position), text.size());
    std::string value(text.substr(position, end - position));
    position = end;
    return value;
}

std::map<std::string, std::string> parsePairs(std::string_view text)
{
    std::map<std::string, std::string> pairs;
    for (std::size_t position = 0; position < text.size(); ++position) {
        const std::size_t equals = text.find('=', position);
        if (equals == std::string_view::npos) {
            break;
        }
        const std::string name(text.substr(position, equals - position));
        position = equals + 1;
        pairs[name] = readValue(text, position);
    }
    return pairs;
}

std::map<std::string, std::string> parseObject(std::string_view text)
{
    std::map<std::string, std::string> pairs;
    const auto object = nlohmann::json::parse(text, nullptr, false);
    if (object.is_object()) {
        for (const auto &[name, value] : object.items()) {
            pairs[name] = value.is_string() ? value.get<std::string>() : value.dump();
        }
    }
    return pairs;
}

std::string extractField(std::map<std::string, std::string> &fields, const std::string &name)
{
    const auto found = fields.find(name);
    if (found == fields.end()) {
        return {};
    }
    std::string value = std::move(found->second);
    fields.erase(found);
    return value;
}

const log_line *findLast(const std::vector<log_line> &lines, std::string_view event)
{
    const auto found = std::find_if(lines.rbegin(), lines.rend(), [&](const log_line &line) { return line.event == event; });
    return found == lines.rend() ? nullptr : &*found;
}

std::string describeRefusal(const log_line &line)
{
    return "refused by " + line.node + ", it has not run: " + line.field("reason") + " (free slots " + line.field("free_slots")
        + ", age of the target list " + line.field("targets_age_ms") + " ms, waited " + line.field("waited_ms") + " ms)";
}

/// @param sent the last line of event request_sent, or null
std::string describeTargetFailure(const log_line &line, const log_line *sent)
{
    const std::string unhealthyNote = sent == nullptr ? "" : ", sickness " + sent->field("sickness") + " when it was sent";
    return "target " + line.field("target") + " answered " + line.field("status") + " after " + line.field("taken_ms")
        + (line.field("not_executed") == "yes" ? " ms without running it" : " ms, it ran") + unhealthyNote;
}

std::string describeFailedExchange(const log_line &line)
{
    const std::string idleNote = line.field("reused") == "yes" ? ", on a connection kept for " + line.field("idle_ms") + " ms" : "";
    return "no answer from target " + line.field("target") + ": " + line.field("step") + " " + line.field("peer") + ": "
        + line.field("reason") + " after " + line.field("taken_ms") + " ms" + idleNote
        + (line.field("verdict") == "not_sent" ? "; it was not sent" : "; it may have run");
}

} // namespace

std::string log_line::field(const std::string &name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

log_line parseLogLine(std::string_view text)
{
    log_line line;
    line.fields = !text.empty() && text.front() == '{' ? parseObject(text) : parsePairs(text);
    line.time = extractField(line.fields, "time");
    line.node = extractField(line.fields, "node");
    line.event = extractField(line.fields, "event");
    return line;
}

void collectRequestLines(std::string_view requestId, std::string_view log, std::vector<log_line> &lines)
{
    while (!log.empty()) {
        const std::size_t end = std::min(log.find('\n'), log.size());
        const std::string_view text = log.substr(0, end);
        log.remove_prefix(std::min(end + 1, log.size()));
        if (text.find(requestId) == std::string_view::npos) {
            continue;
        }
        log_line line = parseLogLine(text);
        if (!line.event.empty() && line.field("id") == requestId) {
            lines.push_back(std::move(line));
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const log_line &a, const log_line &b) { return a.time < b.time; });
}

std::string describeCause(const std::vector<log_line> &lines)
{
    const log_line *end = findLast(lines, "request_answered");
    if (const log_line *disconnected = findLast(lines, "client_left"); disconnected != nullptr && end == nullptr) {
        return "the caller disconnected before the answer";
    }
    if (end == nullptr) {
        return "no end of the request is logged: the node stopped, or log lines were dropped (flamingofield_log_lines_dropped)";
    }
    const std::string outcome = end->field("outcome");
    if (outcome == "answered") {
        return "answered with " + end->field("status") + " after " + end->field("taken_ms") + " ms";
    }
    if (const log_line *refused = findLast(lines, "request_refused"); refused != nullptr && outcome == "refused") {
        return describeRefusal(*refused);
    }
    const log_line *failedExchange = findLast(lines, "exchange_failed");
    const log_line *failedTarget = findLast(lines, "target_failed");
    if (failedTarget != nullptr && (failedExchange == nullptr || failedExchange->time <= failedTarget->time)) {
        return describeTargetFailure(*failedTarget, findLast(lines, "request_sent"));
    }
    if (failedExchange != nullptr) {
        return describeFailedExchange(*failedExchange);
    }
    const log_line *failedRequest = findLast(lines, "request_failed");
    return failedRequest == nullptr
        ? "ended with " + end->field("status")
        : "ended by " + failedRequest->node + " with " + failedRequest->field("status") + ": " + failedRequest->field("reason");
}

} // namespace flamingofield

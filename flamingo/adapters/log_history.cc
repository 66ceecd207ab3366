// Two passes: the first finds the lines of the job, and from them the period and the workers; the
// second adds the lines about these workers and about the processes within that period.

#include "flamingo/adapters/log_history.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <set>

namespace flamingo::adapters {
namespace {

constexpr std::string_view timeField = "unix_ms=";
constexpr std::uint64_t maxUnixMs = 1ULL << 43U; // the year 2248

// Events that may explain a wait although they name no job.
constexpr std::string_view contextEvents[] = {
    "start",          "stop",           "reload",          "store_lost",
    "store_regained", "campaign",       "campaign_failed", "connections_refused",
    "leading",        "leader_seen",    "step_down",       "leader_lost",
    "leader_found",   "job_log_expired"};

// Removes the first `count` characters from `rest` and returns them.
std::string_view consume(std::string_view &rest, std::size_t count)
{
    const std::string_view consumed = rest.substr(0, count);
    rest.remove_prefix(std::min(rest.size(), count));
    return consumed;
}

// Removes the next name=value from `rest`; values in quotes may contain spaces. False when there is
// none.
bool consumeField(std::string_view &rest, std::string &name, std::string &value)
{
    rest.remove_prefix(std::min(rest.size(), rest.find_first_not_of(' ')));
    const std::size_t equals = rest.find('=');
    if (equals == std::string_view::npos)
        return false;
    name = std::string(consume(rest, equals));
    rest.remove_prefix(1);
    const bool quoted = !rest.empty() && rest.front() == '"';
    if (quoted)
        rest.remove_prefix(1);
    value = std::string(consume(rest, std::min(rest.size(), rest.find(quoted ? '"' : ' '))));
    if (quoted && !rest.empty())
        rest.remove_prefix(1);
    return true;
}

std::string_view fieldValue(const LogLine &line, std::string_view name)
{
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? std::string_view() : std::string_view(found->second);
}

bool startsWith(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

// True when the line's job field is the job, or its task field one of the job's tasks.
bool belongsToJob(const LogLine &line, std::string_view jobId)
{
    const std::string_view task = fieldValue(line, "task");
    return fieldValue(line, "job") == jobId
        || (startsWith(task, jobId) && task.substr(jobId.size(), 1) == ".");
}

// True when the job id occurs in the line, not followed by a letter or digit. Reasons and causes
// name jobs as well, for example the job for which resources were reclaimed.
bool mentionsJob(const LogLine &line, std::string_view jobId)
{
    for (std::size_t at = line.text.find(jobId); at != std::string::npos;
         at = line.text.find(jobId, at + 1)) {
        const std::size_t end = at + jobId.size();
        if (end == line.text.size() || !absl::ascii_isalnum(line.text[end]))
            return true;
    }
    return false;
}

// True for a line about one of the job's workers, a context event and a line that reports
// suppressed lines.
bool isContextLine(const LogLine &line, const std::set<std::string, std::less<>> &workers)
{
    const std::string_view worker = fieldValue(line, "worker");
    if (fieldValue(line, "task").empty() && !worker.empty() && workers.count(worker) > 0)
        return true;
    return !fieldValue(line, "left_out_before").empty()
        || std::find(std::begin(contextEvents), std::end(contextEvents), line.event)
        != std::end(contextEvents);
}

std::vector<LogLine> parseLogs(absl::Span<const std::string> logs)
{
    std::vector<LogLine> lines;
    for (const std::string &log : logs) {
        for (const absl::string_view text : absl::StrSplit(log, '\n')) {
            auto line = parseLogLine({text.data(), text.size()});
            if (line)
                lines.push_back(std::move(*line));
        }
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const LogLine &a, const LogLine &b) { return a.unixMs < b.unixMs; });
    return lines;
}

// Milliseconds from the first line of the history to the first (or last) line with this event; -1
// when there is none.
std::int64_t eventOffsetMs(absl::Span<const LogLine> history, std::string_view event, bool last)
{
    std::int64_t result = -1;
    for (const LogLine &line : history) {
        if (line.event != event || (result >= 0 && !last))
            continue;
        result = static_cast<std::int64_t>(line.unixMs - history.front().unixMs);
    }
    return result;
}

} // namespace

std::optional<LogLine> parseLogLine(std::string_view text)
{
    const std::size_t begin = text.find(timeField);
    if (begin == std::string_view::npos)
        return std::nullopt;
    std::string_view rest = text.substr(begin);
    LogLine line;
    std::string name;
    std::string value;
    if (!consumeField(rest, name, value) || !absl::SimpleAtoi(value, &line.unixMs)
        || line.unixMs > maxUnixMs)
        return std::nullopt;
    while (!rest.empty()) {
        const std::size_t at = text.size() - rest.size();
        if (!consumeField(rest, name, value))
            break;
        if (name == "process") {
            line.process = value;
        } else if (name == "event") {
            line.event = value;
            line.text = std::string(text.substr(text.find("event=", at)));
        } else {
            line.fields[name] = value;
        }
    }
    if (line.event.empty())
        return std::nullopt;
    return line;
}

std::vector<LogLine> jobHistory(absl::Span<const std::string> logs, std::string_view jobId)
{
    const std::vector<LogLine> lines = parseLogs(logs);
    std::set<std::string, std::less<>> workers;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    for (const LogLine &line : lines) {
        if (!belongsToJob(line, jobId))
            continue;
        first = first == 0 ? line.unixMs : first;
        last = line.unixMs;
        if (!fieldValue(line, "worker").empty())
            workers.insert(std::string(fieldValue(line, "worker")));
    }
    std::vector<LogLine> history;
    for (const LogLine &line : lines) {
        const bool inJobPeriod = first != 0 && line.unixMs >= first && line.unixMs <= last;
        if (belongsToJob(line, jobId)
            || (inJobPeriod && (mentionsJob(line, jobId) || isContextLine(line, workers))))
            history.push_back(line);
    }
    return history;
}

std::string renderHistory(absl::Span<const LogLine> history)
{
    if (history.empty())
        return {};
    struct Milestone
    {
        std::string_view event;
        bool last;
        std::string_view label;
    };
    constexpr Milestone milestones[] = {{"job_known", false, "known to a leader"},
                                        {"task_assigned", false, "first task assigned"},
                                        {"task_assigned", true, "last task assigned"},
                                        {"run_ended", true, "last run ended"},
                                        {"job_completed", true, "completed"},
                                        {"job_failed", true, "failed"},
                                        {"job_cancelled", true, "cancelled"}};
    std::string result;
    for (const Milestone &milestone : milestones) {
        const std::int64_t at = eventOffsetMs(history, milestone.event, milestone.last);
        if (at >= 0)
            result += absl::StrFormat("%-20s after %8d ms\n", milestone.label, at);
    }
    result += "\n";
    for (const LogLine &line : history)
        result += absl::StrFormat("%8d ms  %-20s  %s\n", line.unixMs - history.front().unixMs,
                                  line.process, line.text);
    return result;
}

} // namespace flamingo::adapters

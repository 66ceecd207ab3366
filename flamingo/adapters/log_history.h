#ifndef FLAMINGO_ADAPTERS_LOG_HISTORY_H
#define FLAMINGO_ADAPTERS_LOG_HISTORY_H

// The history of one job, collected from the logs that the processes on the platform wrote.
//
// It contains every line whose field `job` or `task` names the job or one of its tasks. Between the
// first and the last of them it also contains lines that mention the job elsewhere, lines about the
// workers of its tasks, and events that may explain a wait, such as an unreachable store, a change
// of the leader or suppressed log lines. Lines of all files are ordered by their time. Clocks of
// machines may differ, so the order across processes is only as exact as the clocks.

#include <absl/types/span.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo::adapters {

struct LogLine
{
    std::uint64_t unixMs = 0;
    std::string process;
    std::string event;
    // All fields but unix_ms, process and event; values without quotes.
    std::map<std::string, std::string, std::less<>> fields;
    std::string text; // the line from event= on, as written
};

// Parses one line; nullopt unless it has the fields unix_ms and event. Text before unix_ms is
// skipped.
std::optional<LogLine> parseLogLine(std::string_view text);

// Returns the lines of the history in the order of time; none when no line names the job. `logs`
// are the contents of log files.
std::vector<LogLine> jobHistory(absl::Span<const std::string> logs, std::string_view jobId);

// Returns the times of the job's milestones (first task assigned, completed, ...), then one line
// per event, with times counted from the first line; empty for an empty history.
std::string renderHistory(absl::Span<const LogLine> history);

} // namespace flamingo::adapters

#endif

#ifndef FLAMINGO_ADAPTERS_LOG_HISTORY_H
#define FLAMINGO_ADAPTERS_LOG_HISTORY_H

// The history of one job, put together from the logs that the processes on the platform wrote.
//
// It holds every line that names the job or one of its tasks, and between the first and the last of
// them what befell the processes and workers involved: a store out of reach, a change of the
// leader, a lost worker, lines that were left out. Lines of all files are ordered by their time.
// Clocks of machines may differ, so the order across processes is only as good as the clocks.

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
    std::map<std::string, std::string, std::less<>> fields; // the others, without quotes
    std::string text; // from the event on, as written
};

// nullopt when the text holds no line of a process; anything may stand before its time.
std::optional<LogLine> parseLogLine(std::string_view text);

// `logs` are the contents of files. Empty when no line names the job.
std::vector<LogLine> historyOf(absl::Span<const std::string> logs, std::string_view jobId);

// A summary of the waits, then one line an event with the time since the first one.
std::string renderHistory(absl::Span<const LogLine> history);

} // namespace flamingo::adapters

#endif

#ifndef FLAMINGO_ADAPTERS_DAY_REPORT_H
#define FLAMINGO_ADAPTERS_DAY_REPORT_H

// Reads the decisions of a day from logs, and renders an account of them for operators.

#include "flamingo/adapters/day_account.h"

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo::adapters {

struct DayLog
{
    std::vector<DayEvent> events;
    std::vector<DaySign> signs;
    std::uint64_t lines = 0; // with the fields unix_ms and event
    std::uint64_t incompleteLines = 0; // decisions without a field that the account needs
    std::map<std::string, std::uint64_t> suppressedLines; // by process, as the lines themselves say
};

// Reads one log line by line and adds its decisions and signs. Other text and other events are
// skipped.
void readDayLog(std::istream &log, DayLog &day);

// The period, the jobs by queue, the sums of waits and of discarded work by queue and cause, the
// times in which jobs had nothing running, and one row for each job in the order of acceptance.
nlohmann::ordered_json accountSummary(const DayAccount &account, const DayLog &day);

// All waits and runs of a job. Times are in seconds after its acceptance, or after the first
// decision about it when its acceptance is not in the log.
nlohmann::ordered_json jobSummary(const JobAccount &job);

// An SVG image over the period: runs, busy accelerators, waiting tasks by priority and discarded
// work by cause.
std::string renderDayPlot(const DayAccount &account);

} // namespace flamingo::adapters

#endif

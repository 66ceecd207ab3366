#ifndef FLAMINGO_ADAPTERS_IDLE_JOBS_H
#define FLAMINGO_ADAPTERS_IDLE_JOBS_H

// Finds the intervals in which a job had nothing running although a task's turn had come, and why,
// from the decisions of the leaders and from other lines of entries and host agents.
//
// A job is open from its storage, or the first decision about it, until it has ended or its
// cancellation is stored. While none of its runs is in progress and it is not complete, the turn
// of a task has come, because the tasks that others depend on come first. An occurrence of a
// repeating job counts from its due time, or from its first wait or run if the log is of an older
// version without `first_due_unix_ms`.
//
// A run is in progress from its assignment to its end, except while it is unconfirmed:
//   * from `since_ms` before a line runs_unconfirmed about its worker until the worker's next sign,
//     or the time of the line if there is none and the run was not dropped;
//   * since its leader began to lead, if it was dropped because its worker never reported;
//   * as long as it lasted, if its assignment was not stored;
//   * since its worker ended, if the agent's line worker_gone is in the logs.
// Other runs that a worker did not carry out cannot be told from the log of the leader.
//
// A line that is missing is not an error. A run whose assignment is missing is taken to have been
// in progress since the last line that shows the job without it, so idle time may be missing, too.
// Time for which there is no reason, and in which the leader suppressed lines, has a reason of its
// own: the job may have been running.

#include "flamingo/adapters/day_account.h"

#include <absl/types/span.h>

#include <optional>
#include <string_view>
#include <vector>

namespace flamingo::adapters {

// Reasons; that of a wait is the cause of its tasks_waiting line.
constexpr std::string_view idleNoLeader = "no leader";
constexpr std::string_view idleNotKnown = "not known to a leader";
constexpr std::string_view idleNotConfirmed = "assigned, not confirmed"; // may be followed by why
constexpr std::string_view idleNoReason = "no reason in the log";
constexpr std::string_view idleLinesSuppressed = "lines are missing"; // and there is no reason

// True when lines with this event contain a sign.
bool isDaySign(std::string_view event);

// Returns nullopt when the line is no sign, or lacks a field that is needed.
std::optional<DaySign> toDaySign(const LogLine &line);

// Returns the intervals that are at least `period.idleMs` long within the account's period, longest
// first. `events` and `signs` are in the order of time; `account` contains all jobs of the events.
std::vector<IdleInterval> findIdleIntervals(const DayAccount &account,
                                            absl::Span<const DayEvent> events,
                                            absl::Span<const DaySign> signs, std::uint64_t idleMs);

} // namespace flamingo::adapters

#endif

#ifndef FLAMINGO_SCHEDULER_LIMITS_H
#define FLAMINGO_SCHEDULER_LIMITS_H

// Ranges of the numbers in messages and records of other processes. A number outside its range
// makes the message invalid.
//
// The ranges are wide compared with real values, and narrow enough that the sums and products that
// the scheduler computes from several of them fit into std::int64_t.

#include <cstdint>
#include <limits>

namespace flamingo::scheduler {

// Durations and Unix times in milliseconds; as a Unix time, in the year 5138.
constexpr std::int64_t maxMilliseconds = 100000000000000;
// Start of a worker's incarnation, Unix time in milliseconds: the year 2100. A later value would
// make each real incarnation an earlier one.
constexpr std::int64_t maxBornUnixMs = 4102444800000;
// Amount of one resource, of a task or a worker.
constexpr std::int64_t maxResourceAmount = 1000000000000;
// Sum of the estimates of a job's steps in milliseconds, 31 years. Its product with `maxStretch`
// fits into std::int64_t.
constexpr std::int64_t maxEstimateSumMs = 1000000000000;
constexpr double maxStretch = 1e6;
// Counters: numbers of reports, heartbeats, ends and versions. Every JSON reader keeps integers up
// to this one exactly.
constexpr std::int64_t maxCounter = std::int64_t(1) << 53;
// Number of a run of a task. The next one fits into 32 bits.
constexpr std::int64_t maxRunNumber = std::numeric_limits<std::int32_t>::max();
constexpr std::int64_t maxUint32 = std::numeric_limits<std::uint32_t>::max();
// A fencing token is an epoch followed by 18 bits (tokensPerEpoch in scheduler.cc), so the tokens
// of all epochs up to this one are at most `maxCounter`.
constexpr std::int64_t maxEpoch = (std::int64_t(1) << 35) - 1;
// Times that a process has measured on its own clocks, such as incarnations in microseconds.
constexpr std::int64_t maxIncarnation = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t maxLeaseGrantMs = 3600000;

} // namespace flamingo::scheduler

#endif

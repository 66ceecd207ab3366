#ifndef FLAMINGO_SCHEDULER_RUN_TIMES_H
#define FLAMINGO_SCHEDULER_RUN_TIMES_H

// Expected run times of tasks, learned from finished runs.
//
// Callers' estimates are rough: the runs of a queue may take several times as long, or a fraction.
// The statistics of a kind of task (see RunTimeKind) hold the logarithms of its run times and of
// their ratios to the estimates. An expectation combines two predictors, each with the weight that
// its past errors have earned: the median of the kind's runs, and the caller's estimate corrected
// by the usual bias of the kind's estimates. Before `minWeight` steps of a kind have finished,
// those of its queue serve instead; before these, the estimate alone.
//
// Load that this answers: estimates that are off by a factor of two to nine, in both directions,
// and runs of which a few take several times as long as the others. Old runs are forgotten: after
// about 30 steps of new work, nine tenths of the weight are theirs. A caller whose estimates are
// far from what the kind takes changes the expectation only within the range of the kind's runs.
//
// The functions are pure. docs/design/run-times.md says what was weighed.

#include "flamingo/scheduler/job.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace flamingo::scheduler {

struct RunTimeOptions
{
    bool enabled = true; // false: the callers' estimates are used
    double minWeight = 4; // finished steps before their run times are used
    double kindWeight = 8; // finished steps of a kind before they replace those of its queue
    double decay = 0.92; // of the weight of all former steps, with each further one
    // Error of a predictor before it has been observed, as standard deviation of a logarithm, and
    // the number of steps that this assumption counts for.
    double priorError = 0.7;
    double priorWeight = 2;
    // Share of the runs that end within ExpectedRunTime::highMs.
    double highQuantile = 0.8;
    double clampDeviations = 2; // an estimate counts as at most this far from the kind's median
    std::size_t maxKinds = 1000; // the one that was updated least recently is dropped
    std::size_t maxStoredKinds = 32; // in the record of the job log, the most recently updated ones
    TimeMs storeEveryMs = 5000; // minimum time between two records
};

// Histogram of the ratios of run times to the times expected before the run, in steps of a quarter
// of a power of two from 1/8 to 8; the outer buckets hold everything beyond.
constexpr std::size_t runTimeBuckets = 24;

// Mean and variance of a logarithm, decayed.
struct LogMoments
{
    double sum = 0;
    double squareSum = 0;
};

struct RunTimeKind
{
    double weight = 0; // decayed number of steps
    LogMoments runs; // log of the run time in ms
    LogMoments biases; // log of run time / estimate
    std::array<double, runTimeBuckets> ratios = {};
    std::uint64_t updated = 0; // see RunTimes::updates
};

struct RunTimes
{
    RunTimeOptions options;
    std::map<std::string, RunTimeKind, std::less<>> kinds; // also of whole queues, see queueKey()
    std::uint64_t updates = 0; // number of finished steps, or parts of them, recorded so far
    std::uint64_t storedUpdates = 0; // `updates` in the newest record that was taken
    std::optional<TimeMs> storedAt; // when that record was taken
    // Absolute errors since the term began, as logarithms to base 2, to compare the two.
    double estimateErrorSum = 0;
    double expectationErrorSum = 0;
    double errorWeight = 0;
};

struct ExpectedRunTime
{
    TimeMs ms = 0; // median
    TimeMs highMs = 0; // most runs end within this; equal to `ms` unless learned
    bool learned = false; // false: the caller's estimate
    double weight = 0; // finished steps that it is based on
};

// Returns the expected run time of one task of a step on a usual worker near its data.
ExpectedRunTime expectedRunTime(const RunTimes &times, const Job &job, std::uint32_t step);

// Returns the length of the critical path, as longestChainMs(), by expected run times.
TimeMs expectedChainMs(const RunTimes &times, const Job &job);

// Returns how much longer a run of the step is expected to take after `ageMs`, given that it has
// not ended yet; nullopt before the kind's runs are known. What has run for long will run for
// longer.
std::optional<TimeMs> expectedRemainingMs(const RunTimes &times, const Job &job, std::uint32_t step,
                                          TimeMs ageMs);

// Records that a task of the step has finished after `ms`, converted to a usual worker near its
// data. A step counts as one observation, so a gang and each of `count` single tasks have a share.
void recordFinishedRun(RunTimes &times, const Job &job, std::uint32_t step, TimeMs ms);

// Records a run that was ended after `ms` without having finished: it would have taken at least
// that. Has no effect unless it is longer than expected.
void recordUnfinishedRun(RunTimes &times, const Job &job, std::uint32_t step, TimeMs ms);

// Returns the value of the record to store in the job log; nullopt when there is nothing new, or
// the last one was taken less than `storeEveryMs` ago. The record counts as taken.
std::optional<std::string> takeRunTimesRecord(RunTimes &times, TimeMs now);

// Replaces the kinds by those of a record. Returns false with a reason for one that cannot be read
// or is of a later version; the kinds are then unchanged.
bool applyRunTimesRecord(RunTimes &times, std::string_view value, Reason &reason);

} // namespace flamingo::scheduler

#endif

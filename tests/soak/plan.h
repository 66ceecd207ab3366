#ifndef FLAMINGO_TESTS_SOAK_PLAN_H
#define FLAMINGO_TESTS_SOAK_PLAN_H

// The plan of a soak: which faults happen when, what callers submit, and when keys are withdrawn.
// It follows from the options alone. All times are milliseconds since the start of the load.
//
// In each phase some hosts have busy workers at the same time, and jobs with long runs are
// cancelled soon; and an entry is paused or does not reach the store while callers hand in jobs
// there, which they cancel elsewhere if they get no answer. Each of these has a random sequence of
// its own.
//
// Phases alternate: faults for faultMs, in series and overlapping, then calmMs without new faults,
// in which guaranteed jobs are due in time. Half of the regions' entries are in each region.

#include "flamingo/types.h"

#include <string>
#include <vector>

namespace flamingo::soak {

struct PlanOptions
{
    std::uint64_t seed = 1;
    TimeMs durationMs = 60000;
    int entries = 4;
    int hosts = 8;
    TimeMs faultMs = 16000;
    TimeMs calmMs = 22000;
};

enum class FaultKind {
    Terminate, // SIGTERM, started again after it has ended
    Kill, // SIGKILL, started again
    Pause, // SIGSTOP, then SIGCONT
    Reload, // SIGHUP after the settings file has changed; once with an invalid file
    Malformed, // malformed messages to every port of the process
    Delay, // the process's links are slow in both directions
    Reset, // open connections of its links are reset several times, new ones refused in between
    OneWay, // bytes to the process are held
    Silence, // bytes from and to the process are held
    StoreCut, // the process does not reach the store
    RegionCut, // the regions do not reach each other
    StoreSlow, // answers of the store are late
    StoreLate, // requests reach the store late, also after their sender has given up
    StoreLosesAnswers,
    StoreRefuses, // 503
    StoreForgets, // history; the newest record of each key stays
    WorkerOverloaded, // the worker answers most calls with 429 and does nothing
    WorkerUnhealthy, // the same with 503
    Evacuate, // the operators evacuate a data centre and take it back
    Last
};

std::string_view faultName(FaultKind kind);

struct Fault
{
    TimeMs at = 0;
    TimeMs durationMs = 0;
    FaultKind kind = FaultKind::Kill;
    std::string target; // "e0": entry, "a0": agent, "w0": worker, "store", "regions", "dc0":
                        // data centre
};

struct Step
{
    int count = 1;
    int accelerators = 1;
    TimeMs workMs = 100;
    bool gang = false;
    bool afterFirst = false; // starts when all tasks of step 0 have ended
};

struct Submission
{
    TimeMs at = 0;
    std::string id;
    int organisation = 0; // 0 has a guarantee
    int priority = 1;
    std::vector<Step> steps;
    TimeMs cancelAfterMs = 0; // after it was accepted; 0: never
    int entry = 0; // the first attempt goes there
    bool repeat = true; // whether the caller sends a refused job again
    // Whether the caller cancels the job, instead of sending it again, if it gets no answer or 504.
    bool cancelUnanswered = false;
};

struct KeyChange
{
    TimeMs at = 0;
    int organisation = 0; // its key is replaced by the next one; callers go on with both
};

struct Plan
{
    std::vector<Fault> faults;
    std::vector<Submission> submissions; // by time
    std::vector<KeyChange> keyChanges;
};

// Data centre of host number `host`.
std::string dataCentreOf(int host);

constexpr int dataCentreCount = 4;
constexpr int organisationCount = 3;
constexpr int refusedPercent = 80; // of the calls to a busy worker
constexpr int guaranteedAccelerators = 8; // of organisation 0

Plan makePlan(const PlanOptions &options);

std::string planText(const PlanOptions &options, const Plan &plan);

} // namespace flamingo::soak

#endif

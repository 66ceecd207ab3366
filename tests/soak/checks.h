#ifndef FLAMINGO_TESTS_SOAK_CHECKS_H
#define FLAMINGO_TESTS_SOAK_CHECKS_H

// The checks of the soak over what callers, workers and the operator of the store saw. They are
// pure: the list of observations goes in, the violations come out. Bounds are those that are
// promised, in milliseconds.
//
// A fault is "near" a span of time when it lasts into the span or the nearMs before it. Checks with
// a time bound hold only with no fault near.

#include "tests/soak/plan.h"

#include <absl/types/span.h>

#include <map>

namespace flamingo::soak {

struct Bounds
{
    TimeMs revokeMs = 5000; // a withdrawn key may be accepted
    TimeMs configurationMs = 2500; // until a configuration is in force
    TimeMs lossSlackMs = 200; // a request that is cut sooner may not have been read
    TimeMs drainMs = 2500; // starts on a worker whose draining was acknowledged
    TimeMs evacuateMs = 5000; // starts in a data centre whose evacuation was acknowledged
    TimeMs reclaimMs = 3400; // guaranteed jobs start all tasks of the first step
    TimeMs visibleMs = 3000; // an acknowledged job is known at every entry
    TimeMs contactMs = 3000; // a process is in touch this long after a fault
    TimeMs nearMs = 12000; // the system has recovered this long after a fault
    TimeMs cancelMs = 3000; // a start after a cancellation was acknowledged
    TimeMs stopMs = 900; // a worker takes up to this long to stop a run
};

enum class Seen {
    Sent, // the first attempt of a submission
    Answered, // a request; `status`, `text`: method, `state`
    Unanswered, // a request whose connection broke or whose deadline was reached; `text`: method
    Started, // a run
    Ended, // a run; `text`: outcome
    Acknowledged, // the end of a run; `text`: outcome
    LeaseLapsed, // of a worker
    Draining, // the draining of a worker was acknowledged
    Evacuated, // `process`: data centre; the store has acknowledged the request
    TakenBack, // `process`: data centre; the removal of the request was sent
    KeyAdded, // `text`: key; the store has acknowledged the configuration
    KeyWithdrawn, // the same
    FaultBegan, // `process`: whom it concerns; "" concerns all; `text`: kind
    FaultEnded, // `process` and `text` as when it began
    Gone // a process; `text`: "planned" when a signal of the soak caused it
};

struct Observation
{
    TimeMs at = 0;
    Seen seen = Seen::Answered;
    std::string process; // entry that was asked, or worker
    std::string job;
    std::string task = {};
    std::uint32_t run = 0;
    TimeMs sentAt = 0; // of a request
    int status = 0;
    std::string text = {};
    std::string state = {};
    std::string key = {}; // of a request
};

struct Violation
{
    std::string check;
    std::string detail;
    bool timed =
        false; // depends on a time bound, so it is not judged while the machine is overloaded
};

// Checks the whole history. Observations may come in any order.
std::vector<Violation> check(absl::Span<const Submission> jobs, std::vector<Observation> history,
                             const Bounds &bounds);

} // namespace flamingo::soak

#endif

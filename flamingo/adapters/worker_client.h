#ifndef FLAMINGO_ADAPTERS_WORKER_CLIENT_H
#define FLAMINGO_ADAPTERS_WORKER_CLIENT_H

// Client of the worker that an agent controls. Turns commands into calls of the platform's worker
// interface and the worker's events into events of the agent.
//
//   POST /workers/W/tasks                  starts a task; idempotent by task id
//   POST /workers/W/lease                  renews the leases of the listed tasks
//       200 {"ok":true,"tasks":[...]}      the tasks that run
//   POST /workers/W/tasks/T/checkpoint     saves the task's state
//   POST /workers/W/tasks/T/stop           stops the task
//       200: it does not run and will not start, 202: it is being stopped, 404: unknown task
//   GET  /workers/W/events?from=N&wait_ms=M
//
// Every POST carries ?holder=INCARNATION. When a newer holder calls, the worker stops the tasks of
// the older one and from then on refuses its calls, with status 403 and the newer holder's number.
// An agent that was paused and meanwhile replaced can therefore start no task.
//
// Any call may be refused because the worker is busy (status 429 or 503); it has then had no
// effect. callOutcome() decides for all calls what an answer means. Only the worker's statement
// that a task does not run ends a stop. After that, the client compares it with what the worker
// reports: it stops tasks that the worker still runs, and asks for tasks whose end was not
// reported.

#include "flamingo/adapters/http_client.h"
#include "flamingo/adapters/log_rate_limiter.h"
#include "flamingo/messages.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <variant>

namespace flamingo::adapters {

using WorkerEvent =
    std::variant<TaskStarted, TaskFinished, TaskCheckpointed, TaskStopped, TaskUsage, LeaseRenewed>;

// Limits of the log lines about calls that failed.
constexpr std::uint32_t failedCallLinesPerSecond = 10;
constexpr std::uint32_t failedCallBurst = 50;

struct WorkerClientOptions
{
    std::string address;
    std::string worker;
    std::uint64_t holder = 0; // incarnation of the agent; increases at each start
    TimeMs leaseMs = 3000;
    TimeMs renewIntervalMs = 1000;
    TimeMs callTimeoutMs = 1000;
    TimeMs longPollMs = 10000;
    TimeMs retryMs = 200; // delay before the first retry of a start, a checkpoint or a read
    TimeMs stopRetryMs = 100; // delay before the first retry of a stop
    TimeMs retryMaxMs = 1000; // the delay doubles with each retry, up to this
    // A start that the worker has refused this often because it is busy is reported as refused.
    std::uint32_t maxBusyStarts = 3;
};

// What an answer says about the call.
enum class CallOutcome {
    Accepted, // the worker carried out the call
    InProgress, // the worker has begun to carry out the call
    Absent, // the worker does not have the task
    Fenced, // a newer holder has taken over the worker, which stopped the tasks of this one
    Rejected, // the worker did nothing, and would answer a repetition in the same way
    Busy, // the worker did nothing; a repetition may be accepted
    Unknown, // the worker may have carried out the call, or may do so later
};

// `holder` is the number that the call carried.
CallOutcome callOutcome(const HttpResult &result, std::uint64_t holder);

class WorkerClient
{
public:
    using Handler = std::function<void(WorkerEvent)>;

    // Renews leases and reads events, beginning in the next iteration of the loop. `handler` is
    // called for every event of the worker and for the results of commands and renewals.
    WorkerClient(Loop &loop, HttpClient &http, const WorkerClientOptions &options, Handler handler);

    // Starts, checkpoints or stops a task; the result is reported as an event. A start that is
    // given up because the task must stop is not reported. A stop is repeated until the worker
    // states that the task does not run; a further stop of the same task does nothing until then.
    void execute(const WorkerCommand &command);

private:
    using ResponseCallback = std::function<void(const HttpResult &)>;

    // A task that runs or may run at the worker, or that must stop there.
    struct TaskCalls
    {
        bool started = false; // the worker accepted the start
        bool startUnanswered = false; // the worker may have carried out a call to start it
        std::uint32_t busyStarts = 0; // calls to start it that the busy worker refused
        bool stopping = false;
        TimeMs missingSince = 0; // since then the worker does not list the task; 0: it does
    };

    void post(const std::string &path, const std::string &body, ResponseCallback onResponse);
    // Logs a start, checkpoint or stop that the worker has not carried out.
    void logFailedCall(const char *call, const std::string &task, const HttpResult &result);
    // Returns null when there is no such task.
    TaskCalls *findTask(const std::string &task);
    TimeMs nextDelay(TimeMs delay) const;
    void sendStart(const RunTask &command, TimeMs retryDelay);
    void handleStartAnswer(const RunTask &command, TimeMs retryDelay, const HttpResult &result);
    void sendCheckpoint(const CheckpointTask &command, TimeMs retryDelay);
    void beginStop(const std::string &task);
    void sendStop(const std::string &task, TimeMs retryDelay);
    void handleStopAnswer(const std::string &task, TimeMs retryDelay, const HttpResult &result);
    void renewLeases();
    // Compares the tasks that the worker lists in the answer to a renewal with the own ones.
    // `knownTasks` are those of the time at which the renewal was sent.
    void compareTasks(const std::set<std::string> &knownTasks, const std::string &body);
    // Notes that the worker does not list the task. Stops it when the event with its end is lost.
    void handleMissingTask(const std::string &id, TaskCalls &task);
    void readEvents(std::uint64_t from);
    void handleEventsResponse(std::uint64_t from, TimeMs sentAt, const HttpResult &result);
    void handleEvent(const WorkerEvent &event);

    Loop &loop;
    HttpClient &http;
    WorkerClientOptions options;
    Handler handler;
    std::map<std::string, TaskCalls> tasks;
    bool renewalRetryPending = false;
    TimeMs eventsReadAt = 0; // time at which the newest successful read of events was sent
    LogRateLimiter callLogLimiter{failedCallLinesPerSecond, failedCallBurst};
};

} // namespace flamingo::adapters

#endif

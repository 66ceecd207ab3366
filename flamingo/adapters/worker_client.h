#ifndef FLAMINGO_ADAPTERS_WORKER_CLIENT_H
#define FLAMINGO_ADAPTERS_WORKER_CLIENT_H

// Client of the worker that an agent controls. Turns commands into calls of the platform's worker
// interface and the worker's events into events of the agent.
//
//   POST /workers/W/tasks                  starts a task; idempotent by task id
//   POST /workers/W/lease                  renews the leases of all tasks
//   POST /workers/W/tasks/T/checkpoint     saves the task's state
//   POST /workers/W/tasks/T/stop           stops the task
//   GET  /workers/W/events?from=N&wait_ms=M
//
// Every POST carries ?holder=INCARNATION. When a newer holder calls, the worker stops the tasks of
// the older one and from then on refuses its calls. An agent that was paused and meanwhile replaced
// can therefore start no task.

#include "flamingo/adapters/http_client.h"
#include "flamingo/adapters/log_rate_limiter.h"
#include "flamingo/messages.h"

#include <functional>
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
    TimeMs retryMs = 200;
};

class WorkerClient
{
public:
    using Handler = std::function<void(WorkerEvent)>;

    // Renews leases and reads events, beginning in the next iteration of the loop. `handler` is
    // called for every event of the worker and for the results of commands and renewals.
    WorkerClient(Loop &loop, HttpClient &http, const WorkerClientOptions &options, Handler handler);

    // Starts, checkpoints or stops a task; the result is reported as an event. A start that is
    // given up because the task must stop is not reported.
    void execute(const WorkerCommand &command);

private:
    using ResponseCallback = std::function<void(const HttpResult &)>;

    void post(const std::string &path, const std::string &body, ResponseCallback onResponse);
    // Logs a start, checkpoint or stop that the worker refused or did not answer.
    void logFailedCall(const char *call, const std::string &task, const HttpResult &result);
    void runTask(const RunTask &command);
    void checkpointTask(const CheckpointTask &command);
    void stopTask(const StopTask &command);
    void renewLeases();
    void readEvents(std::uint64_t from);
    void handleEventsResponse(std::uint64_t from, const HttpResult &result);

    Loop &loop;
    HttpClient &http;
    WorkerClientOptions options;
    Handler handler;
    std::set<std::string> stoppingTasks; // tasks whose start must no longer be retried
    LogRateLimiter callLogLimiter{failedCallLinesPerSecond, failedCallBurst};
};

} // namespace flamingo::adapters

#endif

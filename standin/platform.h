#ifndef FLAMINGO_STANDIN_PLATFORM_H
#define FLAMINGO_STANDIN_PLATFORM_H

// Stand-in for the platform over HTTP: a log service, workers and faults that a test injects. It is
// used by tests and the demo only. All state is in memory and ends with the process.
//
//   POST /log/STREAM {"lines":["..."]}
//       200 {"offset":N}, 429 above the append rate limit
//   GET /log/STREAM?from=N&wait_ms=M&max=K
//       200 {"lines":[{"offset","text"}],"next":N}, 410 {"error":"trimmed","oldest":N}
//   POST /workers/W/tasks
//        {"task","job","payload","mask","cores","memoryMib","checkpoint","leaseMs"}
//       200 {"ok":true}, 409 {"ok":false,"detail"}
//   POST /workers/W/lease {"leaseMs","tasks":["T"]}
//       200 {"ok":true,"tasks":["T"]}: the tasks that run. A request without "tasks" renews all
//   POST /workers/W/tasks/T/stop
//       200 {"ok":true} when the task does not run any more, 202 {"ok":true} while it is stopping
//   POST /workers/W/tasks/T/checkpoint
//       200 {"checkpoint":"..."}, 404 when the task is not running
//   POST /workers/W/tasks/T/throttle {"percent"}
//       200 {"ok":true}, 404 when the task is not running
//   GET /workers/W/events?from=N&wait_ms=M
//       200 {"events":[...],"next":N}
//   GET /runs
//       200 {"job":N}, where N counts the job's task starts without a checkpoint; for a gang those
//       of all members
//   GET /faults
//   POST /faults {"log":"up|down|slow","slowMs":N,"loseAnswers":N,
//                 "worker":{"name":"W","failAll":BOOL,"frozen":BOOL,"loseAnswers":N,"stopMs":N,
//                           "refusePercent":N,"refuseStatus":N,"refuseSeed":N}}
//       200 with the active faults
//   GET /health
//       200 {"ok":true}
//
// A request for worker events without `from` returns no events, and as `next` the number of the
// next event. Reads of the log and of events wait up to `wait_ms` until there is something to
// return. The first request that names a worker creates it. Every request to a worker may have
// `?holder=N`, the incarnation of the agent that sends it: a higher number than before stops the
// worker's tasks, a lower one gets status 403 {"error","holder":N} with the present holder.
//
// Faults. "down": the log responds with 503. "slow": appends take effect at once, but the responses
// of the log are delayed by slowMs, except to reads that end without lines. "loseAnswers": the next
// N appends, or the next N commands to the worker, take effect but get status 500. A frozen worker
// does not respond; its requests are handled when it is unfrozen, including those whose client has
// timed out. "refusePercent": the worker refuses this share of all requests with refuseStatus (429
// unless given) and does nothing; refuseSeed determines which. "stopMs": time that a stop takes.

#include "flamingo/adapters/http_server.h"
#include "standin/log.h"
#include "standin/worker.h"

#include <functional>
#include <list>
#include <memory>
#include <set>

namespace flamingo::standin {

struct PlatformOptions
{
    std::string address; // "IP:port"
    LogOptions log;
    TimeMs usageLagMs = 2000; // from the sampling of a usage event until it is emitted
};

class Platform
{
public:
    // Starts listening; nullptr with a reason when the address cannot be bound.
    static std::unique_ptr<Platform> listen(adapters::Loop &loop, const PlatformOptions &options,
                                            Reason &reason);
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;

    // Stops accepting connections and closes idle ones; requests in progress can still be answered.
    void shutDown();

private:
    struct Host
    {
        Worker worker;
        adapters::Loop::TimerId timer = 0; // at nextDueTime() of the worker; 0: none
        std::vector<adapters::HttpRequest> heldRequests; // received while the worker is frozen
        std::uint64_t loseAnswers = 0; // number of further commands whose response is lost
        std::uint32_t refusePercent = 0; // share of the requests that the worker refuses
        int refuseStatus = 0;
        Random refuseRandom;
    };

    // The response to a read; nullopt when there is nothing to return yet and `mayWait` is true.
    using TryRead = std::function<std::optional<adapters::HttpResponse>(bool mayWait)>;

    // A read that waits until it can be answered, or until its timer expires.
    struct PendingRead
    {
        adapters::HttpRequest request;
        TryRead tryRead;
        adapters::Loop::TimerId timer = 0;
    };

    enum class LogFault { Up, Down, Slow };
    using PathSegments = std::vector<std::string>; // of a URL path, without the slashes

    Platform(adapters::Loop &loop, const PlatformOptions &options);
    void handle(const adapters::HttpRequest &request);
    void route(const adapters::HttpRequest &request, const PathSegments &segments);
    void handleLog(const adapters::HttpRequest &request, const std::string &stream);
    void appendToLog(const adapters::HttpRequest &request, const std::string &stream);
    void readLog(const adapters::HttpRequest &request, const std::string &stream);
    void handleWorker(const adapters::HttpRequest &request, const PathSegments &segments);
    void handleTask(const adapters::HttpRequest &request, Host &host, const PathSegments &segments);
    void handleTaskStart(const adapters::HttpRequest &request, Host &host);
    void handleCheckpoint(const adapters::HttpRequest &request, Host &host,
                          const std::string &task);
    void readEvents(const adapters::HttpRequest &request, Host &host);
    void setFaults(const adapters::HttpRequest &request);
    void setWorkerFault(const std::string &name, const std::string &body);
    static void setRefusals(Host &host, const std::string &body);
    // Refuses the request if the worker is to refuse this one.
    bool refuse(const adapters::HttpRequest &request, Host &host);
    void handleLease(const adapters::HttpRequest &request, Host &host);
    // Moves the pending event reads of a worker that was frozen to its held requests.
    void holdPendingEventReads(const std::string &name);
    std::string faultsJson() const;

    Host &findOrCreateHost(const std::string &name);
    // Advances the worker to the present, answers its event reads and sets its timer.
    void updateWorker(const std::string &name);
    // Responds to a read at once when it can be answered or must not wait, else adds it to the
    // pending reads.
    void respondOrWait(const adapters::HttpRequest &request, const TryRead &tryRead);
    // Responds to a pending read, without lines or events, when its time to wait is over.
    void expirePendingRead(const std::string &path, adapters::HttpRequestId request);
    // Responds to the pending reads of `path` that can be answered now.
    void answerPendingReads(const std::string &path);
    // Responds to all pending reads of the log with status 503.
    void failPendingLogReads();
    // Responds to a request; with status 500 instead when its response is to be lost.
    void respond(adapters::HttpRequestId request, int status, const std::string &body);
    // Responds to a request to the log: after slowMs while the log is slow, else at once.
    void respondToLogRequest(adapters::HttpRequestId request,
                             const adapters::HttpResponse &response);

    adapters::Loop &loop;
    PlatformOptions options;
    std::unique_ptr<adapters::HttpServer> server;
    Log log;
    std::map<std::string, Host> hosts;
    std::map<std::string, std::uint64_t> startsPerJob; // starts without a checkpoint
    std::map<std::string, std::list<PendingRead>> pendingReads; // by URL path
    LogFault logFault = LogFault::Up;
    TimeMs slowMs = 1000;
    std::uint64_t loseAnswers = 0; // number of further appends whose response is lost
    std::set<adapters::HttpRequestId> lostAnswerRequests; // commands to workers; response is lost
};

} // namespace flamingo::standin

#endif

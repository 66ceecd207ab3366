#ifndef FLAMINGO_STANDIN_PLATFORM_H
#define FLAMINGO_STANDIN_PLATFORM_H

// The platform's stand-in over HTTP: log service, workers and switchable faults. Test scaffolding
// only. The state lives in memory and ends with the process.
//
//   POST /log/STREAM {"lines":["..."]}
//       200 {"offset":N}, 429 above the rate
//   GET /log/STREAM?from=N&wait_ms=M&max=K
//       200 {"lines":[{"offset","text"}],"next":N}, 410 {"error":"trimmed","oldest":N}
//   POST /workers/W/tasks
//        {"task","job","payload","mask","cores","memoryMib","checkpoint","leaseMs"}
//       200 {"ok":true}, 409 {"ok":false,"detail"}
//   POST /workers/W/lease {"leaseMs"}
//   POST /workers/W/tasks/T/stop
//       200 {"ok":true}
//   POST /workers/W/tasks/T/checkpoint
//       200 {"checkpoint":"..."}, 404 when the task does not run
//   POST /workers/W/tasks/T/throttle {"percent"}
//       200 {"ok":true}, 404 when the task does not run
//   GET /workers/W/events?from=N&wait_ms=M
//       200 {"events":[...],"next":N}
//   GET /runs
//       200 {"job":N}, N counts starts without a checkpoint, for a gang those of all members
//   GET /faults
//   POST /faults {"log":"up|down|slow","slowMs":N,"loseAnswers":N,
//                 "worker":{"name":"W","failAll":BOOL,"frozen":BOOL,"loseAnswers":N}}
//       200 with the faults in force
//   GET /health
//       200 {"ok":true}
//
// Worker events without `from` answers no events and the `next` to go on from. Reads of the log
// and of events wait up to `wait_ms` for something to answer.
//
// Faults. "down": the log answers 503. "slow": appends take effect at once, and every answer of the
// log comes slowMs later. "loseAnswers": the next N appends, or the next N commands to the worker,
// take effect and are answered with 500. A frozen worker answers nothing; its requests are handled
// when it thaws, also those whose sender has given up.

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
    TimeMs usageLagMs = 2000;
};

class Platform
{
public:
    // Starts listening; nullptr with a reason when the address cannot be bound.
    static std::unique_ptr<Platform> listen(adapters::Loop &loop, const PlatformOptions &options,
                                            Reason &reason);
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;

    void shutDown();

private:
    struct Host
    {
        Worker worker;
        adapters::Loop::TimerId timer = 0;
        std::vector<adapters::HttpRequest> heldRequests; // while frozen
        std::uint64_t loseAnswers = 0;
    };

    // The answer of a read; none when there is nothing to read yet and the read may still wait.
    using TryRead = std::function<std::optional<adapters::HttpResponse>(bool mayWait)>;

    struct PendingRead
    {
        adapters::HttpRequest request;
        TryRead tryRead;
        adapters::Loop::TimerId timer = 0;
    };

    enum class LogFault { Up, Down, Slow };
    using PathSegments = std::vector<std::string>; // of a path

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
    void holdPendingEventReads(const std::string &name);
    std::string faultsJson() const;

    Host &findOrCreateHost(const std::string &name);
    void updateWorker(const std::string &name);
    void respondOrWait(const adapters::HttpRequest &request, const TryRead &tryRead);
    void expirePendingRead(const std::string &path, adapters::HttpRequestId request);
    void answerPendingReads(const std::string &path);
    void failPendingLogReads();
    void respond(adapters::HttpRequestId request, int status, const std::string &body);
    void respondToLogRequest(adapters::HttpRequestId request,
                             const adapters::HttpResponse &response);

    adapters::Loop &loop;
    PlatformOptions options;
    std::unique_ptr<adapters::HttpServer> server;
    Log log;
    std::map<std::string, Host> hosts;
    std::map<std::string, std::uint64_t> startsPerJob;
    std::map<std::string, std::list<PendingRead>> pendingReads; // by path of what is read
    LogFault logFault = LogFault::Up;
    TimeMs slowMs = 1000;
    std::uint64_t loseAnswers = 0; // of appends
    std::set<adapters::HttpRequestId> lostAnswerRequests; // of commands to workers
};

} // namespace flamingo::standin

#endif

#ifndef FLAMINGO_ADAPTERS_HOST_AGENT_SERVICE_H
#define FLAMINGO_ADAPTERS_HOST_AGENT_SERVICE_H

// The agent beside one worker: moves calls, answers, reports and orders between the decisions in
// flamingo/scheduler/host_agent.h, the worker and the leading entry.
//
// The leader is found by asking entries: each names the leader that it knows of. A machine without
// power does not refuse a connection, so the next entry is asked while the last one is still
// silent. When no entry that is known answers, the newest leader record of the job log names one.

#include "flamingo/adapters/decision_log.h"
#include "flamingo/adapters/http_client.h"
#include "flamingo/adapters/metrics.h"
#include "flamingo/scheduler/job_log.h"
#include "flamingo/scheduler/worker_port.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace flamingo::adapters {

// Path under which entries take the reports of agents.
extern const std::string_view hostReportPath;

struct HostAgentServiceOptions
{
    scheduler::AgentOptions agent;
    std::vector<std::string> entries; // addresses to begin with, "IP:port"
    TimeMs reportTimeoutMs = 1300; // an entry answers within its reportWaitMs of 600 ms
    TimeMs redirectDelayMs = 100; // before the next entry is asked
    TimeMs entrySwitchAfterMs =
        250; // a silent entry is waited for this long while no leader is known
    std::size_t maxUnansweredReports =
        5; // unanswered at a time; as many as entrySwitchAfterMs fit into a timeout
    TimeMs lookUpAfterMs = 1500; // without a leader, the job log is asked
    TimeMs lookUpEveryMs = 400;
    TimeMs staleLeaderMs = 900; // a leader that has not reached the log this long may be deposed
};

class HostAgentService
{
public:
    HostAgentService(Loop &loop, scheduler::WorkerPort &worker, scheduler::JobLog &log,
                     DecisionLog &decisions, Metrics &metrics,
                     const HostAgentServiceOptions &options);
    HostAgentService(const HostAgentService &) = delete;
    HostAgentService &operator=(const HostAgentService &) = delete;

    void start();
    void takeHeartbeat(const scheduler::WorkerInfo &info, std::uint64_t sequence);
    void takeDeparture(const std::string &workerId);

    // Does the leader still have to learn what became of a leaving worker?
    bool owesReport() const;

    // What the next report would say, for a dump of the state.
    scheduler::HostReport currentReport() const;

private:
    void step();
    void callWorker(const scheduler::WorkerCall &call);
    void sendReport(const std::string &address);
    bool leaderIsStale() const;
    void requestSuccessor();
    std::size_t outstandingAtCurrentEntry() const;
    bool currentEntryTimedOut(TimeMs now) const;
    void removeOutstandingReports(const HttpResult &result, const std::string &address,
                                  std::uint64_t sequence);
    void handleReportResult(const HttpResult &result, const std::string &address, TimeMs sentAt,
                            std::uint64_t sequence);
    void setCurrentEntry(const std::string &address);
    void followLeader(const std::string &address);
    void handleReportFailure(const HttpResult &result, const std::string &address, TimeMs sentAt,
                             const Reason &reason);
    void handleRedirect(const scheduler::HostOrders &orders, const std::string &address);
    void chooseNextEntry();
    void tryNextEntry();
    void lookUpLeader();
    void addEntry(const std::string &address);

    Loop &loop;
    scheduler::WorkerPort &worker;
    scheduler::JobLog &log;
    DecisionLog &decisions;
    Metrics &metrics;
    HostAgentServiceOptions options;
    HttpClient client;
    scheduler::HostAgent agent;
    std::vector<std::string> entries;
    std::size_t currentEntry = 0; // index in `entries` of the one that is asked
    std::map<std::string, std::set<std::uint64_t>>
        outstanding; // reports, by entry; see removeOutstandingReports
    TimeMs nextReportAt = 0;
    TimeMs lastReportAt = 0;
    TimeMs lastSuccessorRequestAt = 0; // for a successor of the leader
    TimeMs leaderAnsweredAt = 0;
    TimeMs leaderStoreUnreachableMs = 0;
    TimeMs lastLookUpAt = 0;
    bool leaderKnown = false;
    Random random;
};

} // namespace flamingo::adapters

#endif

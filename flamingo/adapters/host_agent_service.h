#ifndef FLAMINGO_ADAPTERS_HOST_AGENT_SERVICE_H
#define FLAMINGO_ADAPTERS_HOST_AGENT_SERVICE_H

// Runs a host agent: connects the decision logic in flamingo/scheduler/host_agent.h to the worker
// and to the leading entry, by sending its calls and reports and passing on the answers and orders.
//
// To find the leader, the service sends its report to one entry after another; an entry that does
// not lead answers with the address in the newest leader record that it has read. A machine without
// power does not refuse a connection, so the service tries the next entry while the call to the
// previous one is still unanswered. If no leader answers for a while, it reads the newest leader
// record from the job log and takes the address from it.

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

// HTTP path under which entries receive the reports of agents.
extern const std::string_view hostReportPath;

struct HostAgentServiceOptions
{
    scheduler::AgentOptions agent;
    std::vector<std::string> entries; // initial addresses, "IP:port"
    TimeMs reportTimeoutMs = 1300; // an entry answers within its reportWaitMs of 600 ms
    TimeMs redirectDelayMs = 100; // delay before the next report after a redirect or a failure
    TimeMs entrySwitchAfterMs = 250; // time for an entry to answer while no leader is known
    // To all entries together, while no leader is known: reportTimeoutMs / entrySwitchAfterMs.
    std::size_t maxUnansweredReports = 5;
    TimeMs lookUpAfterMs = 1500; // time without an answer of a leader until the job log is read
    TimeMs lookUpEveryMs = 400; // minimum interval between reads of the job log
    // Another entry may lead if the leader has had no contact to the log for longer than this.
    TimeMs staleLeaderMs = 900;
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

    // Applies a heartbeat or a deregistration that the worker has sent, and sends the calls and
    // reports that become due.
    void handleHeartbeat(const scheduler::WorkerInfo &info, std::uint64_t sequence);
    void handleDeregistration(const std::string &workerId);

    // Returns true while the agent must keep running: until a draining worker is gone, and until
    // the end of a worker that is gone is stored in the job log.
    bool finalReportPending() const;

    // Logs at the end of the process whether the worker's end is stored.
    void logEnd();

    // Returns the contents of the next report, for a dump of the state.
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
    void storeWorkerEnd(TimeMs now);
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
    std::size_t currentEntry = 0; // index in `entries`: the leader, or the entry tried last
    std::map<std::string, std::set<std::uint64_t>> outstanding; // sequences of reports, by entry
    TimeMs nextReportAt = 0; // earliest time of the next report
    TimeMs lastReportAt = 0;
    TimeMs lastSuccessorRequestAt = 0;
    TimeMs leaderAnsweredAt = 0;
    TimeMs leaderStoreUnreachableMs = 0; // storeSilentMs of the leader's last answer
    TimeMs lastLookUpAt = 0;
    std::uint64_t answeredSequence = 0; // newest report that a leader has answered
    bool leaderKnown = false; // a leader has answered, and no report to it has failed since
    Random random;
};

} // namespace flamingo::adapters

#endif

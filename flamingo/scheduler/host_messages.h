#ifndef FLAMINGO_SCHEDULER_HOST_MESSAGES_H
#define FLAMINGO_SCHEDULER_HOST_MESSAGES_H

// What the agent of a host and the leading scheduler tell each other.
//
// The agent sends a `HostReport` again and again; the leader answers each with `HostOrders`, at
// once or when there is something to do. A report states everything that the agent knows of its
// worker, so the answer to the newest report makes up for every lost message before it.
//
// The leader's permission for the worker to go on (`grantMs`) counts from the moment when the agent
// sent the report that is answered. The leader therefore knows, without a clock in common, when the
// worker's lease has surely lapsed: that time after it took the last report.

#include "flamingo/scheduler/job.h"

namespace flamingo::scheduler {

struct WorkerInfo
{
    std::string id;
    std::uint64_t bornUnixMs = 0; // start of this incarnation
    std::string service;
    Resources capacity;
    std::vector<std::string> labels; // kind and rack
    bool draining = false;
    TimeMs remainingMs = 0; // least time left while draining
};

enum class RunState : std::uint8_t {
    Unknown, // not in the report
    Starting, // ordered, not confirmed by the worker
    Running, // listed by the worker
    Stopping, // ordered to stop, still listed or not confirmed
    Gone, // does not run and cannot start any more; its end was not listed
};

struct ReportedRun
{
    std::string task;
    std::uint32_t run = 0;
    RunState state = RunState::Unknown;
    std::int64_t percent = 0;
    std::string checkpoint;
    std::string reason; // why it is gone
};

enum class EndKind : std::uint8_t { Done, Failed, Stopped, Lapsed, Broken, Alone };

struct ReportedEnd
{
    std::uint64_t number = 0; // counts from 1 within an incarnation of the worker
    std::string task;
    std::uint32_t run = 0;
    EndKind how = EndKind::Stopped;
    std::string checkpoint;
};

struct HostReport
{
    std::string host;
    std::uint64_t agentStart = 0; // incarnation of the agent
    std::uint64_t sequence = 0; // grows within an incarnation
    std::optional<WorkerInfo> worker; // nullopt: none has reported to this agent
    bool workerGone = false; // no worker process exists on the host
    std::uint64_t lostLeader = 0; // epoch of the leader that the agent cannot reach; 0: none
    std::uint64_t fencingToken = 0; // in force at the worker; `runs` and `ends` were read under it
    std::vector<ReportedRun> runs;
    std::vector<ReportedEnd> ends;
};

struct StartOrder
{
    std::string task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint;
};

struct StopOrder
{
    std::string task;
    std::uint32_t run = 0;
};

struct HostOrders
{
    std::uint64_t epoch = 0; // of the answering leader; 0: the answering process does not lead
    std::string leaderAddress; // where the leader is, as far as the answering process knows ...
    std::uint64_t leaderEpoch = 0; // ... and under which epoch it leads
    std::string workerKey; // the incarnation that the orders are meant for
    std::uint64_t fencingToken = 0;
    TimeMs grantMs = 0; // lease of the worker, from the moment when the report was sent
    std::uint64_t acknowledgedEnd = 0; // ends up to this number are stored
    TimeMs storeSilentMs = 0; // how long the leader has not heard from the store
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
};

// Identifies one incarnation of a worker on one host.
std::string workerKey(std::string_view host, const WorkerInfo &worker);

// The host within a worker key.
std::string_view hostOfWorkerKey(std::string_view key);

std::string encode(const HostReport &report);
std::string encode(const HostOrders &orders);
std::optional<HostReport> decodeHostReport(std::string_view text, Reason &reason);
std::optional<HostOrders> decodeHostOrders(std::string_view text, Reason &reason);

} // namespace flamingo::scheduler

#endif

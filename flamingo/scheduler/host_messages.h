#ifndef FLAMINGO_SCHEDULER_HOST_MESSAGES_H
#define FLAMINGO_SCHEDULER_HOST_MESSAGES_H

// Messages between a host agent and the leading scheduler. An entry (see job_log.h) that does not
// lead answers a report with epoch 0 and the leader's address.
//
// The agent sends `HostReport`s continuously; the leader answers each with `HostOrders`, at once or
// as soon as it has orders for the host. A report contains the complete state of the worker as the
// agent has it, so the answer to the newest report replaces every earlier message that was lost.
//
// A worker stops its runs when its lease expires. The leader's lease grant (`grantMs`) counts from
// the time at which the agent sent the report that is answered. The leader can therefore compute,
// without synchronised clocks, when the worker's lease has certainly lapsed: `grantMs`, plus an
// allowance for a slow clock, after it received the last report.

#include "flamingo/scheduler/job.h"

namespace flamingo::scheduler {

// The state that a worker announces in its heartbeats.
struct WorkerInfo
{
    std::string id;
    std::uint64_t bornUnixMs = 0; // start time of the process, which identifies the incarnation
    std::string service; // the worker runs tasks of this service only
    Resources capacity;
    std::vector<std::string> labels; // kind and rack
    bool draining = false;
    TimeMs remainingMs = 0; // while draining: minimum time until the worker shuts down
    TimeMs coldMs = 0; // how much longer it stays slow after its start, by its last heartbeat
};

enum class RunState : std::uint8_t {
    Unknown, // not in the report
    Starting, // ordered, not confirmed by the worker
    Running, // listed by the worker
    Stopping, // ordered to stop, still listed or not confirmed
    Gone, // not running and unable to start again; the worker listed no end of it
};

struct ReportedRun
{
    std::string task;
    std::uint32_t run = 0;
    RunState state = RunState::Unknown;
    std::int64_t percent = 0; // progress; unknownPercent: the worker has not listed the run yet
    std::string checkpoint;
    std::string reason; // why the run is being stopped or is gone
};

enum class EndKind : std::uint8_t {
    Done, // the task has succeeded
    Failed,
    Stopped, // by a stop call
    Lapsed, // the worker's lease expired
    Broken, // another member of the gang ended
    Alone // the other members of the gang did not start in time
};

// The worker's record of how a run ended. The worker keeps it until the leader has acknowledged it.
struct ReportedEnd
{
    std::uint64_t number = 0; // consecutive from 1 within an incarnation of the worker
    std::string task;
    std::uint32_t run = 0;
    EndKind how = EndKind::Stopped;
    std::string checkpoint;
};

struct HostReport
{
    std::string host;
    std::string dataCentre; // of the host
    std::uint64_t agentStart = 0; // start time of the agent, which identifies its incarnation
    std::uint64_t sequence = 0; // increases within an incarnation
    std::optional<WorkerInfo> worker; // nullopt: the agent has received no heartbeat
    bool workerGone = false; // no worker process exists on the host
    bool workerEndStored = false; // the agent knows that the worker's end is stored in the job log
    bool workerBusy = false; // the worker was too busy to start one of `runs`
    bool workerSilent = false; // the worker has carried out no call for a while
    // The worker is silent and every lease that may have been sent to it has lapsed: no run is in
    // progress or can begin that was ordered under a lower token than `orderedToken`.
    bool leasesLapsed = false;
    std::uint64_t orderedToken = 0; // newest fencing token in the orders that the agent received
    // All runs that were ordered under this token or a lower one have ended since, because the
    // leases lapsed. The agent carries out no order under these tokens; 0: none.
    std::uint64_t releasedToken = 0;
    std::uint64_t lostLeader = 0; // epoch of the leader that the agent cannot reach; 0: none
    std::uint64_t fencingToken = 0; // in force at the worker; `runs` and `ends` were read under it
    // The worker's clock when it listed `runs`; 0: they have not been listed.
    std::int64_t listClockMs = 0;
    std::vector<ReportedRun> runs;
    std::vector<ReportedEnd> ends;
};

struct StartOrder
{
    std::string task;
    std::uint32_t run = 0;
    std::string payload;
    std::string checkpoint; // to resume from; empty: start from the beginning
};

struct StopOrder
{
    std::string task;
    std::uint32_t run = 0;
};

struct HostOrders
{
    std::uint64_t epoch = 0; // of the answering leader; 0: the answering entry does not lead
    // The leader with the highest epoch that the answering entry has found in the job log. An entry
    // that leads gives its own address and leaves `leaderEpoch` 0.
    std::string leaderAddress;
    std::uint64_t leaderEpoch = 0;
    std::string workerKey; // the incarnation of the worker that the orders apply to
    std::uint64_t fencingToken = 0;
    TimeMs grantMs = 0; // lease of the worker, counted from the sending of the report
    std::uint64_t acknowledgedEnd = 0; // ends up to this number are stored in the job log
    // Key of the host's worker that was reported as gone, once the log shows that its runs have
    // ended; empty: none.
    std::string storedWorkerEnd;
    TimeMs storeSilentMs = 0; // time since the store of the job log last answered the leader
    // Time since the leader last read the job log to its end: it does not know later cancellations.
    TimeMs jobLogAgeMs = 0;
    // The host's data centre is evacuated (see evacuation.h): nothing may be started on its worker.
    bool evacuated = false;
    // Time since the leader last read the requests for evacuation to their end.
    TimeMs evacuationsAgeMs = 0;
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
};

// Returns the key that identifies one incarnation of a worker on one host.
std::string workerKey(std::string_view host, const WorkerInfo &worker);

// Returns the host part of a worker key.
std::string_view hostOfWorkerKey(std::string_view key);

// The messages are encoded as JSON. A decode function returns nullopt, with the cause in `reason`,
// for a text that is not valid.
std::string encode(const HostReport &report);
std::string encode(const HostOrders &orders);
std::optional<HostReport> decodeHostReport(std::string_view text, Reason &reason);
std::optional<HostOrders> decodeHostOrders(std::string_view text, Reason &reason);

} // namespace flamingo::scheduler

#endif

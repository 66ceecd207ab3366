#ifndef FLAMINGO_TESTS_SYSTEM_SIMULATION_H
#define FLAMINGO_TESTS_SYSTEM_SIMULATION_H

// Deterministic simulation of the whole system in one process: entries, agents, workers and the log
// of two regions on simulated time. One seed determines a run.
//
// SystemSimulation::run generates a schedule of requests and faults, ends all faults, waits until
// every request has a reply and no work is left (at most 900 simulated seconds), and checks the
// final state. Invariants that hold at every moment are checked while the schedule runs. A failed
// check adds a line to `violations` that begins with "check N:", N as in docs/proofs.md, and ends
// the run.
//
// The network keeps a link per pair of processes that behaves like a TCP connection: messages in
// flight when it breaks are lost, and both sides receive PeerDown. In periods of message faults,
// messages are also dropped, duplicated, delayed and reordered.

#include "flamingo/agent_node.h"
#include "flamingo/entry.h"
#include "standin/log.h"
#include "standin/worker.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace flamingo::tests {

// Counters and longest delays of one schedule, or of several after add().
struct SimulationStatistics
{
    std::uint64_t schedules = 0;
    double simulatedHours = 0;
    std::uint64_t requests = 0;
    std::uint64_t abandonedRequests = 0; // the entry died or the caller disconnected
    std::uint64_t ran = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t nonIdempotentReplies = 0; // replies to non-idempotent submits
    std::uint64_t nonIdempotentMayHaveRun = 0;
    std::uint64_t urgentStartsMeasured = 0;
    TimeMs longestUrgentStart = 0;
    std::uint64_t gangAttempts = 0; // of which a member ran
    TimeMs longestPartialGang = 0;
    std::uint64_t editsAccepted = 0;
    std::uint64_t editsPending = 0;
    std::uint64_t editsRefused = 0;
    std::uint64_t drains = 0;
    std::uint64_t gracefulStops = 0;
    std::uint64_t messagesBetweenRegions = 0;
    std::uint64_t bytesBetweenRegions = 0;
    std::uint64_t appends = 0;

    void add(const SimulationStatistics &other);
    std::string summary() const;
};

enum class RequestKind { Submit, Query, Cancel, Edit, Drain };

// A request and the part of its state that its caller sees.
struct Request
{
    RequestKind kind = RequestKind::Submit;
    std::string id;
    std::string entry;
    std::uint64_t incarnation = 0; // of the entry
    JobSpec spec;
    std::string job; // Query, Cancel: the job that it names
    std::string addedOrganisation; // Edit: the organisation that it adds
    std::string target; // Drain: the agent
    bool drain = false; // Drain: false ends the drain
    bool abandoned = false; // the entry died or the caller disconnected
    bool replied = false;
    bool startBounded = false; // check 1 bounds the time to its start, which is pending
    TimeMs sentAt = 0;
};

// One run of a task at one worker.
struct TaskRun
{
    std::string task;
    std::string job;
    std::string worker;
    TimeMs startedAt = 0;
    TimeMs endedAt = -1; // -1: still running
    bool finished = false; // false: stopped
    bool ok = false;
};

struct WorkerHost
{
    std::string name;
    standin::Worker worker;
    std::uint64_t nextObservedSeq = 0; // the oracle has processed all earlier events
    std::uint64_t timerGeneration = 0; // a timer of an older generation does nothing
    TimeMs downUntil = 0; // until then calls time out
    TimeMs lastFaultEnd = -1000000; // end of the last fault of the worker or its agent
};

struct Process
{
    PeerInfo info;
    bool alive = false;
    bool stopping = false; // a graceful stop is in progress
    TimeMs frozenUntil = 0;
    TimeMs startedAt = 0;
    TimeMs lastFaultEnd = -1000000; // end of the last fault of this process
    std::optional<Entry> entry;
    std::optional<AgentNode> node;
    std::deque<std::function<void()>> deferredEvents; // events due while frozen; run on thaw
    std::map<std::string, std::uint64_t, std::less<>> logCursors; // next offset, by log stream
    std::uint64_t eventCursor = 0; // next sequence number of the worker's events
    bool eventReadPending = false; // a read of the worker's events is in progress
    std::set<std::string> stoppingTasks; // stop not confirmed, starts dropped; as WorkerClient
    std::set<std::string> unansweredStarts; // tasks that a call without an answer may have started
    std::map<std::string, std::uint32_t> busyStarts; // calls refused by the busy worker, by task
    std::uint64_t tableVersion = 0; // highest table version seen in this incarnation
    TimeMs drainingSince = -1; // when a Drain message arrived; -1: not draining
    WorkerHost *host = nullptr;
};

// The connection of two processes. Side 0 is the process with the smaller name.
struct Link
{
    bool up = false;
    std::uint64_t epoch = 0; // grows when the link comes up or breaks
    bool peerUpDelivered[2] = {false, false}; // that side has a PeerUp without a later PeerDown
    TimeMs lastArrival[2] = {0, 0}; // arrival time of the last message to that side
};

// The members of one gang attempt, as observed at the workers.
struct GangAttempt
{
    std::uint32_t members = 0;
    std::set<std::string> running; // workers
    std::set<std::string> finished;
    TimeMs partialSince = -1; // -1: all members run or have finished, or none runs
    bool violationReported = false;
};

class SystemSimulation
{
public:
    // `busyWorkers`: until the faults end, workers refuse a share of the calls and are slow to
    // stop.
    explicit SystemSimulation(std::uint64_t seed, bool busyWorkers = false);

    // Runs one schedule. `longPartition` adds a network partition between the regions of one to two
    // simulated hours.
    void run(bool longPartition);

    std::vector<std::string> violations;
    std::deque<std::string> trace; // the newest events
    SimulationStatistics statistics;

private:
    struct ScheduledEvent
    {
        TimeMs at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const ScheduledEvent &other) const
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };

    // system_simulation.cc: time, processes, network, log, workers
    void runAfter(TimeMs delay, std::function<void()> action);
    void runUntil(TimeMs end);
    TimeMs randomBetween(TimeMs low, TimeMs high);
    std::size_t randomIndex(std::size_t count);
    bool chance(double probability); // true with that probability
    void addTrace(const std::string &text);
    void reportViolation(const std::string &text);

    Process &addProcess(const std::string &name, ProcessKind kind, const std::string &region,
                        const std::string &dataCentre, const std::string &rack);
    void start(Process &process);
    void kill(Process &process);
    void freeze(Process &process, TimeMs duration);
    void thaw(Process &process);
    void post(Process &process, TimeMs delay, std::function<void()> action);
    void tickPeriodically(Process &process, std::uint64_t incarnation);
    template <typename Event>
    void handle(Process &process, const Event &event);
    void applyEffects(Process &process, const Outbox &out);
    Process *findProcess(std::string_view name);

    bool reachable(const Process &a, const Process &b) const;
    Link &linkOf(const std::string &a, const std::string &b);
    bool connect(Process &a, Process &b);
    void breakLink(const std::string &a, const std::string &b, TimeMs maxDetectionDelay);
    void deliverPeerDown(Process &receiver, const std::string &peer, int side, Link &link);
    void reconnectPeers();
    void breakUnreachableLinks();
    void sendMessage(Process &from, const Send &send);
    void deliverMessage(Process &from, Process &to, const Message &message, Link &link);
    TimeMs latency(const Process &a, const Process &b);

    bool logReachable(const Process &process) const;
    void appendToLog(Process &process, const Append &append);
    void applyAppend(const Append &append, bool &ok, std::uint64_t &offset);
    void tailStream(Process &process, const std::string &stream);
    void readLog(Process &process, const std::string &stream);
    void wakeReaders(const std::string &stream);

    void executeCommand(Process &process, const WorkerCommand &command);
    void runTask(Process &process, const RunTask &command);
    void checkpointTask(Process &process, const CheckpointTask &command);
    void stopTask(Process &process, const StopTask &command, TimeMs retryDelay);
    void renewLeasesPeriodically(Process &process, std::uint64_t incarnation);
    void renewLeases(Process &process, std::uint64_t incarnation);
    bool callRefused(); // true when a busy worker refuses the call
    void onWorkerChanged(WorkerHost &host); // to be called after every change of a worker
    void readWorkerEvents(Process &process);
    Process &agentOf(const WorkerHost &host);

    // system_oracle.cc: the checks
    void observeWorkerEvents(WorkerHost &host);
    void onRunStarted(WorkerHost &host, const RunTask &command, const Process &process);
    void onRunEnded(WorkerHost &host, const std::string &task, bool finished, bool ok);
    void onReply(Process &process, const Reply &reply);
    void checkSubmitReply(const Request &request, const Reply &reply);
    void checkEditReply(const Request &request, const Reply &reply);
    void checkUrgentStart(const std::string &job);
    void checkGangs();
    void checkTable(Process &process);
    void recordGuaranteedBlocks(const Table &table);
    void checkFinalState();
    void checkFinalTable(const Process &process);
    void checkFinalNode(const std::string &name, const AgentNode &node);
    void checkFinalEntry(const std::string &name, const Entry &entry);
    bool allIdle() const;
    std::string expectedAnswer(const JobSpec &spec) const;

    // system_schedule.cc: requests and faults
    void bootstrap();
    void runRandomAction();
    Process *pickEntry(std::string_view region = {});
    Process *pickAgent();
    Request &addRequest(Process &entry, RequestKind kind);
    void submit(Process &entry, JobSpec spec, bool wait, bool startBounded = false);
    JobSpec randomSpec();
    void submitIdempotent();
    void submitNonIdempotent();
    void submitUrgent();
    bool isHealthy(const Process &process, const Process &entry);
    bool hasNoRunningTask(const std::string &organisation);
    void submitUnsatisfiable();
    void submitBurst();
    void cancelRandomJobs(std::size_t count);
    void queryRandomJob();
    void disconnectRandomCaller();
    void submitEdits();
    void drainRandomAgent();
    void killRandomProcess();
    void freezeRandomProcess();
    void failRandomWorker();
    void partitionRegions(TimeMs duration);
    void isolateRandomProcess(TimeMs duration);
    void degradeLog();
    void stopRandomProcess();
    void exitWhenIdle(Process &process, std::uint64_t incarnation);
    void endFaults();

    Random random;
    std::uint64_t seed;
    bool busyWorkers;
    Random refusalRandom; // separate, so that schedules without busy workers do not depend on it
    TimeMs now = 1000;
    std::uint64_t nextOrder = 0;
    std::priority_queue<ScheduledEvent> scheduledEvents;
    std::uint64_t nextIncarnation = 1;
    std::vector<std::unique_ptr<Process>> processes;
    std::map<std::string, Process *, std::less<>> processByName;
    std::vector<Process *> entries;
    std::vector<Process *> agents;
    std::vector<std::unique_ptr<WorkerHost>> hosts;
    std::map<std::pair<std::string, std::string>, Link> links;
    std::set<std::string> isolatedProcesses; // no link to any other process
    bool regionsPartitioned = false;
    TimeMs messageFaultsUntil = 0; // messages are lost, duplicated, late, reordered

    standin::Log log;
    TimeMs logDownUntil = 0;
    TimeMs logSlowUntil = 0;
    TimeMs logAnswerLossUntil = 0; // answers to appends may be lost
    // Readers at the end of their stream: process, incarnation, stream.
    std::set<std::tuple<std::string, std::uint64_t, std::string>> waitingReaders;

    std::map<std::string, Request> requests; // by id
    std::set<std::string> openRequests; // ids of requests without a reply
    std::vector<std::string> submittedJobs; // includes those that ended
    std::uint64_t lastRequestNumber = 0;
    std::map<std::string, JobSpec> specsByKey; // idempotency keys
    std::map<std::string, JobSpec> specsByJob;
    std::map<std::string, std::vector<TaskRun>> runsByJob;
    // Maps a task and its worker to the job and the position in runsByJob.
    std::map<std::pair<std::string, std::string>, std::pair<std::string, std::size_t>> runIndex;
    std::map<std::string, std::set<std::string>> startedTasksByKey; // by idempotency key
    std::map<std::string, TimeMs> notRunRepliedAt; // jobs with a reply not_run
    std::map<std::string, GangAttempt> gangAttempts; // by task
    std::map<std::string, std::string> requestByUrgentJob;
    std::map<std::string, TimeMs> nextUrgentAt; // earliest next urgent job, by organisation
    // Guaranteed blocks of each organisation as text, and the time of their last change.
    std::map<std::string, std::pair<std::string, TimeMs>> guaranteedBlockPositions;
    double faultProbability = 1; // that a fault drawn by runRandomAction() is injected
    std::uint64_t newestTableVersion = 0;
    std::map<std::string, TimeMs> noFaultsUntil; // by process; protects measured starts
    TimeMs noMessageFaultsUntil = 0; // protects measured starts
    std::set<std::string> acceptedOrganisations;
    bool ending = false;
};

} // namespace flamingo::tests

#endif

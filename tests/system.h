#ifndef FLAMINGO_TESTS_SYSTEM_H
#define FLAMINGO_TESTS_SYSTEM_H

// The whole system in one process: entries, agents, workers and the log of two regions on simulated
// time, driven by one seed.
//
// System::run generates a schedule of requests and faults, ends all faults, waits until the system
// has settled, and checks it. Checks that concern a moment run while the schedule runs. A failed
// check is a line in `violations` that begins with "check N:", N as in docs/proofs.md.
//
// The network keeps a link per pair of processes that behaves like a TCP connection: messages that
// are under way when it breaks are lost, and both sides hear PeerDown. In phases of noise messages
// are dropped, repeated, late and out of order as well.

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

// What one schedule was made of and how long things took. Sums over schedules by add().
struct Figures
{
    std::uint64_t schedules = 0;
    double simulatedHours = 0;
    std::uint64_t requests = 0;
    std::uint64_t lostCallers = 0; // their entry died
    std::uint64_t ran = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t keyed = 0; // replies to non-idempotent requests
    std::uint64_t keyedMayHaveRun = 0;
    std::uint64_t urgentChecked = 0;
    TimeMs longestUrgentStart = 0;
    std::uint64_t gangs = 0; // gang attempts of which a member ran
    TimeMs longestPartialGang = 0;
    std::uint64_t editsAccepted = 0;
    std::uint64_t editsPending = 0;
    std::uint64_t editsRefused = 0;
    std::uint64_t drains = 0;
    std::uint64_t gracefulStops = 0;
    std::uint64_t messagesBetweenRegions = 0;
    std::uint64_t bytesBetweenRegions = 0;
    std::uint64_t appends = 0;

    void add(const Figures &other);
    std::string line() const;
};

enum class RequestKind { Submit, Query, Cancel, Edit, Drain };

// A request as its caller knows it.
struct Request
{
    RequestKind kind = RequestKind::Submit;
    std::string id;
    std::string entry;
    std::uint64_t incarnation = 0; // of the entry
    JobSpec spec;
    std::string job; // Query, Cancel: the job asked for
    std::string row; // Edit: the organisation that it adds
    std::string target; // Drain
    bool drain = false;
    bool lost = false; // the entry died or the caller went away
    bool ended = false; // a reply came
    bool urgent = false; // measured by check 1
    TimeMs at = 0;
};

// One task at one worker.
struct Run
{
    std::string task;
    std::string job;
    std::string worker;
    TimeMs startedAt = 0;
    TimeMs endedAt = -1; // -1: runs
    bool finished = false;
    bool ok = false;
};

struct WorkerHost
{
    std::string name;
    standin::Worker worker;
    std::uint64_t observed = 0; // events seen by the oracle
    std::uint64_t timer = 0; // of the newest wake-up
    TimeMs downUntil = 0; // calls get no answer
    TimeMs faultAt = -1000000; // end of the last fault of the worker or its agent
};

struct Process
{
    PeerInfo info;
    bool alive = false;
    bool stopping = false; // gracefully
    TimeMs frozenUntil = 0;
    TimeMs startedAt = 0;
    TimeMs faultAt = -1000000; // end of the last fault of this process
    std::optional<Entry> entry;
    std::optional<AgentNode> node;
    std::deque<std::function<void()>> backlog; // while frozen
    std::map<std::string, std::uint64_t, std::less<>> cursors; // by log stream
    std::uint64_t eventCursor = 0; // of the worker's events
    bool eventRead = false; // a read of them is under way
    std::set<std::string> stoppingTasks; // see WorkerClient
    std::uint64_t version = 0; // highest table version seen in this incarnation
    TimeMs drainingSince = -1; // a Drain message was handled
    WorkerHost *host = nullptr;
};

struct Link
{
    bool up = false;
    std::uint64_t epoch = 0;
    bool seenUp[2] = {false, false}; // PeerUp was given to that side
    TimeMs last[2] = {0, 0}; // arrival of the last message to that side
};

struct Gang
{
    std::uint32_t members = 0;
    std::set<std::string> running; // workers
    std::set<std::string> finished;
    TimeMs partialSince = -1;
    bool reported = false;
};

class System
{
public:
    explicit System(std::uint64_t seed);

    // `longCut` adds a cut between the regions of one to two simulated hours.
    void run(bool longCut);

    std::vector<std::string> violations;
    std::deque<std::string> trace; // the last events
    Figures figures;

private:
    struct Scheduled
    {
        TimeMs at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Scheduled &other) const
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };

    // system.cc: time, processes, network, log, workers
    void after(TimeMs delay, std::function<void()> run);
    void runUntil(TimeMs end);
    TimeMs between(TimeMs low, TimeMs high);
    std::size_t pick(std::size_t count);
    bool chance(double share);
    void addTrace(const std::string &text);
    void violate(const std::string &text);

    Process &addProcess(const std::string &name, ProcessKind kind, const std::string &region,
                        const std::string &dataCentre, const std::string &rack);
    void start(Process &process);
    void kill(Process &process);
    void freeze(Process &process, TimeMs duration);
    void thaw(Process &process);
    void post(Process &process, TimeMs delay, std::function<void()> run);
    void tick(Process &process, std::uint64_t incarnation);
    template <typename Event>
    void handle(Process &process, const Event &event);
    void applyEffects(Process &process, const Outbox &out);
    Process *find(std::string_view name);

    bool reachable(const Process &a, const Process &b) const;
    Link &linkOf(const std::string &a, const std::string &b);
    bool connect(Process &a, Process &b);
    void breakLink(const std::string &a, const std::string &b, TimeMs maxNotice);
    void giveDown(Process &to, const std::string &peer, int side, Link &link);
    void keepConnected();
    void breakUnreachable();
    void send(Process &from, const Send &send);
    void deliver(Process &from, Process &to, const Message &message, Link &link);
    TimeMs latency(const Process &a, const Process &b);

    bool logReachable(const Process &process) const;
    void append(Process &process, const Append &append);
    void applyAppend(const Append &append, bool &ok, std::uint64_t &offset);
    void tail(Process &process, const std::string &stream);
    void readLog(Process &process, const std::string &stream);
    void wakeReaders(const std::string &stream);

    void command(Process &process, const WorkerCommand &command);
    void runTask(Process &process, const RunTask &command);
    void checkpointTask(Process &process, const CheckpointTask &command);
    void stopTask(Process &process, const StopTask &command);
    void renew(Process &process, std::uint64_t incarnation);
    void settle(WorkerHost &host); // after every change of a worker
    void pumpEvents(Process &process);
    Process &agentOf(const WorkerHost &host);

    // system_oracle.cc: the checks
    void observe(WorkerHost &host);
    void onRunStarted(WorkerHost &host, const RunTask &command, const Process &process);
    void onRunEnded(WorkerHost &host, const std::string &task, bool finished, bool ok);
    void onReply(Process &process, const Reply &reply);
    void checkSubmitReply(const Request &request, const Reply &reply);
    void checkEditReply(const Request &request, const Reply &reply);
    void checkUrgent(const std::string &job);
    void checkGangs();
    void checkTable(Process &process);
    void recordGuaranteedBlocks(const Table &table);
    void checkAfterEnd();
    void checkFinalTable(const Process &process);
    void checkFinalNode(const std::string &name, const AgentNode &node);
    void checkFinalEntry(const std::string &name, const Entry &entry);
    bool quiet() const;
    std::string expectedAnswer(const JobSpec &spec) const;

    // system_schedule.cc: requests and faults
    void bootstrap();
    void step();
    Process *pickEntry(std::string_view region = {});
    Process *pickAgent();
    Request &request(Process &entry, RequestKind kind);
    void submit(Process &entry, JobSpec spec, bool wait, bool urgent = false);
    JobSpec randomSpec();
    void submitPlain();
    void submitKeyed();
    void submitUrgent();
    bool isSound(const Process &process, const Process &entry);
    bool isFree(const std::string &organisation);
    void submitImpossible();
    void submitBurst();
    void cancelSome(std::size_t count);
    void querySome();
    void callerGone();
    void edit();
    void drainSome();
    void killSome();
    void freezeSome();
    void harmWorker();
    void cutRegions(TimeMs duration);
    void isolate(TimeMs duration);
    void harmLog();
    void stopGracefully();
    void exitWhenIdle(Process &process, std::uint64_t incarnation);
    void endFaults();

    Random random;
    std::uint64_t seed;
    TimeMs now = 1000;
    std::uint64_t order = 0;
    std::priority_queue<Scheduled> events;
    std::uint64_t nextIncarnation = 1;
    std::vector<std::unique_ptr<Process>> processes;
    std::map<std::string, Process *, std::less<>> byName;
    std::vector<Process *> entries;
    std::vector<Process *> agents;
    std::vector<std::unique_ptr<WorkerHost>> hosts;
    std::map<std::pair<std::string, std::string>, Link> links;
    std::set<std::string> isolated; // processes without peers
    bool cut = false; // between the regions
    TimeMs noiseUntil = 0;

    standin::Log log;
    TimeMs logDownUntil = 0;
    TimeMs logSlowUntil = 0;
    TimeMs logLossUntil = 0; // answers are lost after the effect
    std::set<std::tuple<std::string, std::uint64_t, std::string>> waitingReaders;

    std::map<std::string, Request> requests; // by id
    std::set<std::string> open; // ids of requests without a reply
    std::vector<std::string> openJobs; // submitted, perhaps ended
    std::uint64_t lastRequest = 0;
    std::map<std::string, JobSpec> keys; // by idempotency key
    std::map<std::string, JobSpec> specs; // by job
    std::map<std::string, std::vector<Run>> runs; // by job
    std::map<std::pair<std::string, std::string>, std::pair<std::string, std::size_t>> runOf;
    std::map<std::string, std::set<std::string>> keyTasks; // attempts that started, by key
    std::map<std::string, TimeMs> refusedAt; // jobs whose caller was told not_run
    std::map<std::string, Gang> gangs; // by task
    std::map<std::string, std::string> urgentRequests; // by job
    std::map<std::string, TimeMs> urgentBusyUntil; // by organisation
    // Anchors of each organisation as text, and since when they are there.
    std::map<std::string, std::pair<std::string, TimeMs>> guaranteedBlockPlaces;
    double faultShare = 1; // of the faults that a schedule could have
    std::uint64_t newestVersion = 0;
    std::map<std::string, TimeMs> spared; // processes that meet no fault before
    TimeMs quietUntil = 0; // no noise before
    std::set<std::string> acceptedRows;
    bool ending = false;
};

} // namespace flamingo::tests

#endif

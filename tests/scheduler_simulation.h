#ifndef FLAMINGO_TESTS_SCHEDULER_SIMULATION_H
#define FLAMINGO_TESTS_SCHEDULER_SIMULATION_H

// Simulates entries, host agents, workers and the job log in one process, in virtual time, from one
// random seed.
//
// The scheduler and the host agents are the production code. Faults are injected around them:
// orders are lost, not answered and carried out seconds later, or carried out and not answered;
// reports are lost; leaders are replaced while they are paused; agents and workers crash and
// restart; the log is unavailable; busy workers refuse calls; mute workers neither answer calls nor
// carry them out; unheard workers carry calls out and their answers are lost, so that their leases
// are extended; agents are paused; workers ignore stops.
//
// An oracle checks the workers' runs against the rules, without using the scheduler's state. Of the
// runs of a cancelled job it checks that
//   * none starts later than `cancelBoundMs` after the cancellation was acknowledged, unless the
//   order was a late one,
//     or the agent, its connection or the log had a fault in the last `contactMs`. Changes of the
//     leader and faults of the worker are no excuse;
//   * they end: none is in progress after a stretch of `cancelBoundMs` and the time of a stop in
//     which its host is calm. A host is calm when there has been no fault of its connection,
//     worker, agent, the leaders or the log for `contactMs`. A lost report or a late stop lengthens
//     the stretch by the time until the agent tries again.
// Of open jobs it checks, once the faults are over, that none has nothing running for `idleBoundMs`
// while all hosts have been calm for `idleCalmMs`, less than half of the accelerators are in use
// and there is room for its next tasks twice over.
// It checks the same of each task of a long-running step, from `longRunningBoundMs` after its last
// run on, whether others of its job run or not and however much is in use. Of evacuated data
// centres it checks that no order, unless it is carried out late, starts a task there later than
// `evacuationBoundMs` after the request was stored; no fault is an excuse. Of jobs that are shown
// as failed it checks that a task, or a gang, has failed as often as allowed. Of workers that have
// left it checks that no task is still assigned to one `departedBoundMs` after both its end is
// stored and an entry leads that reads the log.

#include "flamingo/scheduler/host_agent.h"
#include "flamingo/scheduler/scheduler.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace flamingo::tests {

struct SimulationFaults
{
    double lostAnswer = 0.02; // of a call that the worker has carried out
    double lateOrder = 0.02; // of a call: not answered, and carried out seconds later
    double lostReport = 0.02;
    double leaderChangesPerSecond = 0.05;
    double agentRestartsPerSecond = 0.05;
    double workerCrashesPerSecond = 0.05;
    double hostDisconnectsPerSecond = 0.03;
    double logOutagesPerSecond = 0.02;
    double failedRun = 0.03;
    // A late order may reach a worker that was restarted under its id and is not fenced yet.
    bool lateOrdersReachRestartedWorkers = false;
    double busyWorkersPerSecond = 0; // a worker refuses calls for some seconds
    double refusedCall = 0.8; // of a call to a busy worker
    double muteWorkersPerSecond = 0; // a worker does nothing and gives no answers for some seconds
    TimeMs longestMuteMs = 8000;
    double unheardWorkersPerSecond = 0; // a worker carries out calls and is not heard for seconds
    double agentPausesPerSecond = 0; // an agent does nothing for some seconds
    TimeMs hostMuteFrom = 0; // the worker of the first host is mute from then on; 0: never
    std::int64_t mostAccelerators = 8; // of a task
    std::size_t endsPerAnswer = 500; // a worker lists at most this many ends
    bool cutListsLookComplete = false; // answers do not tell that a list of ends is cut
    double ignoredStop = 0; // of a run: its first stop is accepted and not carried out
    double jobsPerSecond = 1.2;
    double departuresPerSecond = 0; // a worker ends in good order; later its host is taken away
    double powerLossesPerSecond = 0; // all entries are without power for some seconds
    double cancelledJob = 0.15;
    TimeMs longestCancelDelayMs = 6000; // from the submission to the cancellation
    TimeMs longestEstimateMs = 6000; // of a task
    TimeMs stopMs = 200; // a worker takes up to this long to stop a run
    // Of a job: it runs until it is cancelled. The runs of most such jobs end over and over.
    double longRunningJob = 0;
    double failingJob = 0; // of a job: all of its runs fail, wherever they are
    double lastAttemptJob = 0; // of a job: it may fail once or twice; half of these fail once
    double failingWorkersPerSecond = 0; // all that a worker starts fails, for some seconds
    TimeMs jobsAfterFaultsMs = 0; // jobs are submitted for this long after the faults
    // Of an entry: it cannot read the requests for evacuation for some seconds, and reads the log.
    double requestOutagesPerSecond = 0;
    double evacuationsPerSecond = 0; // of a data centre; one at a time is taken back after seconds
    // Callers hand in and cancel jobs at entries, of which the following may go wrong.
    bool requestsMayFail = false;
    double entryPausesPerSecond = 0; // an entry does nothing for seconds; its requests wait for it
    // Of an append of an acceptance or a cancellation: the entry gives it up without an answer, and
    // it is carried out seconds later.
    double lateAppend = 0;
    double cancelledUnanswered = 0.5; // of a submission without an answer; others are sent again
};

// What the runs of a job do by themselves, on a sound worker.
struct RunBehaviour
{
    bool fails = false; // every run fails
    bool firstFails = false; // the first run of each task fails
    bool longRunning = false; // runs go on until they are stopped
    TimeMs longestRunMs = 0; // a run ends after up to this time; 0: by the estimate of its task
};

// A worker that behaves as the platform specifies, without admission control of its own.
struct FakeWorker
{
    struct Running
    {
        TimeMs leftMs = 0;
        TimeMs startedAt = 0;
        TimeMs stopAt = 0; // 0: not being stopped
        bool ignoresStop = false; // the next stop is accepted and not carried out
        TimeMs judgedFrom = 0; // later than the start if that was a late order
        TimeMs unwantedMs = 0; // calm time in progress since its job was cancelled
        bool fails = false;
        scheduler::Resources need;
    };
    using Key = std::pair<std::string, std::uint32_t>;

    bool up = true;
    std::string id;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    TimeMs startedAt = 0;
    double clockRate = 1; // up to 2% slow
    std::uint64_t token = 0;
    std::int64_t leaseUntil = 0;
    std::uint64_t lastEnd = 0;
    std::map<Key, Running> runs;
    std::map<std::string, std::uint32_t> refusedUpTo; // highest run stopped or ended, by task
    std::vector<scheduler::ReportedEnd> ends;
};

class SchedulerSimulation
{
public:
    SchedulerSimulation(std::uint64_t seed, const SimulationFaults &faults);

    // Runs with faults for `faultyMs`, then without until every job has ended or `calmMs` have
    // passed.
    void run(TimeMs faultyMs, TimeMs calmMs);

    // The first violation of a rule; empty when there is none.
    const std::string &violation() const
    {
        return this->firstViolation;
    }
    std::size_t starts() const
    {
        return this->startCount;
    }
    std::size_t completed() const;
    // Number of acceptances that were stored after the cancellation of their job was acknowledged.
    std::size_t acceptancesAfterCancellation() const
    {
        return this->acceptedTooLate;
    }
    std::size_t refusedStops() const
    {
        return this->refusedStopCount;
    }
    // Number of jobs that are shown as failed although they could have been done.
    std::size_t soundJobsFailed() const;

    // Called before each plan; lets a test break a rule to show that the oracle detects it.
    std::function<void(scheduler::Scheduler &)> beforePlan;
    // Called before the calls of each agent, for the same purpose.
    std::function<void(scheduler::HostAgent &, TimeMs now)> beforeCalls;

private:
    struct Entry
    {
        scheduler::Scheduler scheduler;
        std::size_t offset = 0;
        TimeMs readAt = 0; // when it last read the log to its end
        std::uint64_t sequence = 0;
        bool flushing = false;
        TimeMs pausedUntil = 0;
        TimeMs replacedForMs = 0; // how long it has led, unpaused, after another entry took over
        TimeMs leadsSince = 0;
        TimeMs requestsUnreadableUntil = 0;
        TimeMs evacuationsReadAt = 0; // when it last read the requests for evacuation
    };
    struct Host
    {
        std::string name;
        std::string dataCentre;
        scheduler::HostAgent agent;
        FakeWorker worker;
        std::size_t entryIndex = 0; // of the entry that the agent reports to
        bool reporting = false;
        TimeMs nextReport = 0;
        TimeMs agentDownUntil = 0;
        TimeMs workerDownUntil = 0;
        TimeMs disconnectedUntil = 0;
        TimeMs busyUntil = 0; // the worker refuses calls
        TimeMs muteUntil = 0; // the worker neither answers calls nor carries them out
        TimeMs unheardUntil = 0; // the worker's answers are lost
        TimeMs failingUntil = 0; // all that the worker starts fails
        TimeMs agentPausedUntil = 0;
        TimeMs takenAwayAt = 0; // a new host with another worker comes then; 0: it stays
        std::uint64_t agentGeneration = 0;
    };
    struct SuccessfulEnd // of a run whose end may still be acknowledged
    {
        std::string task;
        TimeMs at = 0;
    };

    bool occurs(double probability);
    TimeMs randomBetween(TimeMs low, TimeMs high);
    void scheduleAfter(TimeMs delayMs, std::function<void()> action);
    void step();
    void injectFaults();
    void submitJobs();
    void sendSubmission(const scheduler::Job &job, int attempt);
    void handleSubmission(std::size_t index, const scheduler::Job &job);
    void sendCancellation(const std::string &jobId);
    void handleCancellation(std::size_t index, const std::string &jobId, TimeMs arrivedAt);
    void appendForCaller(std::size_t index, const scheduler::Record &record,
                         const std::function<void()> &answer);
    bool canServe(const Entry &entry) const;
    bool isUnstored(const std::string &jobId) const;
    void followLog(Entry &entry);
    void stepDownIfReplaced(Entry &entry);
    void takeOver(Entry &entry);
    void beginTerm(Entry &entry);
    void flush(std::size_t index);
    void stepAgent(Host &host);
    void callWorker(Host &host, const scheduler::WorkerCall &call);
    void answerAgent(Host &host, std::uint64_t generation, const scheduler::WorkerCall &call,
                     const scheduler::WorkerAnswer &answer);
    scheduler::WorkerAnswer execute(Host &host, const scheduler::WorkerCall &call,
                                    bool late = false);
    void start(Host &host, const scheduler::StartCall &call, bool late,
               scheduler::WorkerAnswer &answer);
    void stop(FakeWorker &worker, const scheduler::StopOrder &order);
    void stepWorker(Host &host);
    void endRun(FakeWorker &worker, const FakeWorker::Key &key, scheduler::EndKind how);
    void endMembers(const FakeWorker::Key &key, scheduler::EndKind how);
    bool allMembersRunning(const FakeWorker::Key &key) const;
    void append(std::size_t entry, std::uint64_t epoch, std::uint64_t flush,
                const std::vector<scheduler::Record> &records);
    void crashWorker(Host &host);
    bool wasCancelled(const std::string &task) const;
    TimeMs lastFaultAt(const Host &host) const;
    void checkCancelledRuns(Host &host);
    void excuseRuns(Host &host, TimeMs delayMs);
    void losePower();
    void requestEvacuation();
    void readEvacuations(Entry &entry);
    void checkEvacuatedStart(const Host &host, const std::string &task, bool late);
    void restoreLeader(std::size_t index);
    void leave(Host &host);
    void replaceHost(Host &host);
    void storeWorkerEnd(Host &host);
    void checkDepartures();
    void checkIdleJobs();
    void checkIdleLongRunningTasks(const scheduler::Job &job, bool calm);
    void checkFailedJobs();
    bool isCalm() const;
    RunBehaviour drawBehaviour(scheduler::Job &job);
    void cancelLongRunningJobs();
    bool isRunning(const std::string &task) const;
    std::uint32_t placesFor(const scheduler::Job &job, const scheduler::Step &step) const;
    std::uint32_t runsOfStepOn(const Host &host, const std::string &task) const;
    bool mostIsIdle() const;
    bool couldRun(const scheduler::Job &job) const;
    void checkNothingRuns();
    void report(Host &host);
    void applyOrders(Host &host, const scheduler::HostOrders &orders, TimeMs sentAt,
                     std::uint64_t sequence);
    std::int64_t workerClock(const FakeWorker &worker) const;
    void acknowledge(FakeWorker &worker, std::uint64_t upTo);
    void checkStart(const Host &host, const std::string &task, const scheduler::Step &step,
                    bool late);
    void checkCancelledStart(const Host &host, const std::string &task, bool late);
    void recordViolation(const std::string &text);
    const scheduler::Job *findJob(const std::string &task) const;
    bool allEnded() const;

    Random random;
    SimulationFaults faults;
    bool faultsEnabled = true;
    TimeMs now = 1000;
    std::multimap<TimeMs, std::function<void()>> eventQueue;
    std::vector<Entry> entries;
    std::vector<Host> hosts;
    std::vector<scheduler::Record> log;
    std::uint64_t logEpoch = 0;
    TimeMs logDownUntil = 0;
    TimeMs lastLeaderChangeAt = 0;
    std::map<std::string, scheduler::Job> jobs;
    std::map<std::string, TimeMs> cancelledAt;
    std::set<std::string> answeredJobs; // the caller has an answer to its submission
    std::set<std::string> storedJobs; // an acceptance is in the log; with `requestsMayFail` only
    std::size_t acceptedTooLate = 0; // acceptances stored after an acknowledged cancellation
    std::map<std::string, TimeMs> evacuatedAt; // when its request was stored, by data centre
    TimeMs lastEvacuationEndAt = 0;
    // When the end of a worker was stored or confirmed to its agent, by worker key.
    std::map<std::string, TimeMs> departedAt;
    std::map<std::string, TimeMs> idleMs; // time in which a job could have run and did not
    std::map<std::string, TimeMs> idleTaskMs; // the same, by task of a long-running step
    std::map<std::string, TimeMs> lastEndAt; // of a task of a long-running step
    std::map<std::string, RunBehaviour> behaviours; // by job
    std::map<std::string, std::set<std::uint32_t>> failedRuns; // by task; a gang's by its first one
    std::map<std::string, std::vector<TimeMs>> startTimes; // by task
    std::map<std::string, TimeMs> acknowledgedSuccessAt; // by task
    std::set<std::string> succeededTasks; // tasks of which a run has ended with success
    // By worker id and incarnation.
    std::map<std::string, std::vector<SuccessfulEnd>> unacknowledgedSuccesses;
    std::uint64_t incarnationCounter = 1;
    std::size_t startCount = 0;
    std::size_t refusedStopCount = 0;
    std::string firstViolation;
};

} // namespace flamingo::tests

#endif

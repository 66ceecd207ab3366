// Tests of the host agent's decisions. They guard against reporting a run as gone while the worker
// may still execute it, which starts a task twice, and against a worker's lease that outlasts the
// leader's grant.

#include "flamingo/scheduler/host_agent.h"
#include "flamingo/scheduler/run_progress.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace flamingo;
using namespace flamingo::scheduler;

namespace {

constexpr std::uint64_t leaderToken = 7;
constexpr TimeMs grantMs = 9000;

struct Fixture
{
    HostAgent agent;
    TimeMs now = 1000;
    std::int64_t workerClock = 500; // the worker's clock, which differs from the agent's

    Fixture()
    {
        this->agent.options.host = "h1";
        this->agent.options.agentStart = 1;
        this->heartbeat(1, 1);
    }

    bool heartbeat(std::uint64_t startedUnixMs, std::uint64_t sequence, bool draining = false)
    {
        WorkerInfo info;
        info.id = "w";
        info.bornUnixMs = startedUnixMs;
        info.draining = draining;
        return applyHeartbeat(this->agent, info, sequence, this->now);
    }

    // Answers the outstanding probe of the candidate as the worker that its heartbeat names.
    void confirmCandidate()
    {
        for (const WorkerCall &call : dueCalls(this->agent, this->now)) {
            const auto *poll = std::get_if<PollCall>(&call);
            if (poll == nullptr || !poll->probe)
                continue;
            WorkerAnswer answer = this->answer();
            answer.bornUnixMs = this->agent.candidate->bornUnixMs;
            applyAnswer(this->agent, call, answer, this->now);
        }
    }

    HostOrders orders(std::uint64_t epoch = 1, std::uint64_t token = leaderToken) const
    {
        HostOrders result;
        result.epoch = epoch;
        result.workerKey = workerKey("h1", *this->agent.worker);
        result.fencingToken = token;
        result.grantMs = grantMs;
        return result;
    }

    void apply(const HostOrders &orders)
    {
        applyOrders(this->agent, orders, this->now, this->agent.sequence, this->now);
    }

    void advance(TimeMs ms)
    {
        this->now += ms;
        this->workerClock += ms;
    }

    // Returns an answer of the current worker. It advances the worker's clock by 1 ms, so that
    // answers can be ordered.
    WorkerAnswer answer(CallResult result = CallResult::Done)
    {
        WorkerAnswer answer;
        answer.result = result;
        answer.clockMs = ++this->workerClock;
        answer.bornUnixMs = this->agent.worker->bornUnixMs;
        return answer;
    }

    // Returns the next due call of type `Call`. Other calls that fall due before it are answered as
    // polls, with `listedRuns` and `listedEnds`.
    template <typename Call>
    std::optional<Call> nextCall()
    {
        for (int i = 0; i < 5; ++i) {
            for (const WorkerCall &call : dueCalls(this->agent, this->now)) {
                if (const auto *found = std::get_if<Call>(&call))
                    return *found;
                this->answerPoll(call);
            }
            this->advance(100);
        }
        return std::nullopt;
    }

    void answerPoll(const WorkerCall &call)
    {
        WorkerAnswer answer = this->answer();
        answer.running = this->listedRuns;
        answer.ends = this->listedEnds;
        answer.endsComplete = this->endsComplete;
        applyAnswer(this->agent, call, answer, this->now);
    }

    // Makes the agent poll after the retry delay and answers the poll.
    void pollNow()
    {
        this->agent.pollNeeded = true;
        this->advance(400);
        for (const WorkerCall &call : dueCalls(this->agent, this->now)) {
            if (std::holds_alternative<PollCall>(call))
                this->answerPoll(call);
        }
    }

    // Gives the agent the leader's token, and lets the worker confirm it.
    void fenceWorker()
    {
        this->apply(this->orders());
        this->pollNow();
        CHECK_EQUAL(leaderToken, this->agent.tokenInForce);
    }

    void orderStart()
    {
        HostOrders orders = this->orders();
        orders.starts.push_back({"t", 1, "payload", ""});
        this->apply(orders);
    }

    // Lets `ms` pass, in which each call fails with `result` after 100 ms.
    void failCalls(CallResult result, TimeMs ms)
    {
        for (TimeMs passed = 0; passed < ms; passed += 100) {
            const std::vector<WorkerCall> calls = dueCalls(this->agent, this->now);
            this->advance(100);
            for (const WorkerCall &call : calls) {
                if (const auto *poll = std::get_if<PollCall>(&call))
                    this->lastLeaseUntil = std::max(this->lastLeaseUntil, poll->leaseUntil);
                WorkerAnswer failure;
                failure.result = result;
                applyAnswer(this->agent, call, failure, this->now);
            }
        }
    }

    // The same, until the agent reports that the leases have lapsed, but for at most `ms`. Returns
    // the time that has passed.
    TimeMs failCallsUntilLapsed(TimeMs ms)
    {
        TimeMs passed = 0;
        for (; passed < ms && !this->reportsLapse(); passed += 100)
            this->failCalls(CallResult::NoAnswer, 100);
        return passed;
    }

    bool reportsLapse() const
    {
        HostAgent copy = this->agent;
        return makeReport(copy).leasesLapsed;
    }

    // Sends a start, which the worker confirms.
    void startRun()
    {
        this->fenceWorker();
        this->orderStart();
        const auto start = this->nextCall<StartCall>();
        CHECK(start.has_value());
        applyAnswer(this->agent, *start, this->answer(), this->now);
        this->listedRuns = {{"t", 1, RunState::Running, 10, "", ""}};
        this->pollNow();
        CHECK(this->reportedState("t") == RunState::Running);
    }

    bool reportsSilence() const
    {
        HostAgent copy = this->agent;
        return makeReport(copy).workerSilent;
    }

    RunState reportedState(const std::string &task) const
    {
        HostAgent copy = this->agent;
        for (const ReportedRun &run : makeReport(copy).runs) {
            if (run.task == task)
                return run.state;
        }
        return RunState::Unknown;
    }

    // The worker's lists, for its answers to polls.
    std::vector<ReportedRun> listedRuns;
    std::vector<ReportedEnd> listedEnds;
    bool endsComplete = true;
    std::int64_t lastLeaseUntil = 0; // latest lease of the polls that failed
};

} // namespace

TEST_GROUP(HostAgent)
{
    Fixture fixture;
};

TEST(HostAgent, startsTasksOnlyUnderTheLeadersToken)
{
    fixture.orderStart();
    const auto calls = dueCalls(fixture.agent, fixture.now);
    for (const WorkerCall &call : calls)
        CHECK(!std::holds_alternative<StartCall>(call));
    fixture.answerPoll(calls.at(0));
    const auto start = fixture.nextCall<StartCall>();
    CHECK(start.has_value());
    CHECK_EQUAL(leaderToken, start->fencingToken);
}

// The worker may execute an unanswered start seconds later, so the agent repeats it.
TEST(HostAgent, unansweredStartIsRepeated)
{
    fixture.fenceWorker();
    fixture.orderStart();
    const auto start = fixture.nextCall<StartCall>();
    CHECK(start.has_value());
    applyAnswer(fixture.agent, *start, fixture.answer(CallResult::NoAnswer), fixture.now);
    CHECK(fixture.reportedState("t") == RunState::Starting);
    CHECK(fixture.nextCall<StartCall>().has_value());
}

// Guards against a task of a cancelled job that starts when its worker answers again: its start was
// ordered by a leader that has been replaced meanwhile.
TEST(HostAgent, startOfAFormerLeaderIsNotSentUnderTheTokenOfTheNext)
{
    fixture.fenceWorker();
    fixture.orderStart();
    const auto start = fixture.nextCall<StartCall>();
    applyAnswer(fixture.agent, *start, fixture.answer(CallResult::NoAnswer), fixture.now);
    fixture.apply(fixture.orders(2, leaderToken + 1));
    CHECK(!fixture.nextCall<StartCall>().has_value());
    CHECK_EQUAL(leaderToken + 1, fixture.agent.tokenInForce);
    CHECK(fixture.reportedState("t") == RunState::Unknown);
}

// Guards against two runs of a task at a time: while a host was paused, its lease lapsed and the
// task was placed elsewhere; its worker was then found again by the same leader.
TEST(HostAgent, startFromBeforeALapsedLeaseIsNotSentUnderTheNextToken)
{
    fixture.fenceWorker();
    fixture.orderStart();
    const auto start = fixture.nextCall<StartCall>();
    applyAnswer(fixture.agent, *start, fixture.answer(CallResult::NoAnswer), fixture.now);
    fixture.advance(11000);
    fixture.apply(fixture.orders(1, leaderToken + 1));
    CHECK(!fixture.nextCall<StartCall>().has_value());
    CHECK(fixture.reportedState("t") == RunState::Unknown);
}

// Guards against a task of a cancelled job that starts when its worker answers again, while there
// is no leader that could stop it.
TEST(HostAgent, startIsNotRepeatedWhenNoLeaderHasAnsweredForLong)
{
    fixture.fenceWorker();
    fixture.orderStart();
    const auto start = fixture.nextCall<StartCall>();
    applyAnswer(fixture.agent, *start, fixture.answer(CallResult::NoAnswer), fixture.now);
    CHECK(fixture.nextCall<StartCall>().has_value());
    applyAnswer(fixture.agent, *start, fixture.answer(CallResult::NoAnswer), fixture.now);
    fixture.advance(fixture.agent.options.startValidMs);
    CHECK(!fixture.nextCall<StartCall>().has_value());
    CHECK(fixture.reportedState("t") == RunState::Starting);
    fixture.apply(fixture.orders()); // an answer that does not stop the run
    CHECK(fixture.nextCall<StartCall>().has_value());
}

// As above, while the leader does not read the job log and so cannot know of the cancellation.
TEST(HostAgent, startIsNotSentForALeaderThatHasLostTheJobLog)
{
    fixture.fenceWorker();
    fixture.advance(fixture.agent.options.startValidMs);
    HostOrders orders = fixture.orders();
    orders.jobLogAgeMs = fixture.agent.options.startValidMs + 1;
    orders.starts.push_back({"t", 1, "payload", ""});
    fixture.apply(orders);
    CHECK(!fixture.nextCall<StartCall>().has_value());
    orders.jobLogAgeMs = 0;
    fixture.apply(orders);
    CHECK(fixture.nextCall<StartCall>().has_value());
}

// The next leader orders the start again when the task should still run.
TEST(HostAgent, startThatTheNextLeaderOrdersAgainIsSentUnderItsToken)
{
    fixture.fenceWorker();
    fixture.orderStart();
    const auto former = fixture.nextCall<StartCall>();
    applyAnswer(fixture.agent, *former, fixture.answer(CallResult::NoAnswer), fixture.now);
    HostOrders orders = fixture.orders(2, leaderToken + 1);
    fixture.apply(orders);
    CHECK(!fixture.nextCall<StartCall>().has_value());
    orders.starts.push_back({"t", 1, "payload", ""});
    fixture.apply(orders);
    const auto start = fixture.nextCall<StartCall>();
    CHECK(start.has_value());
    CHECK_EQUAL(leaderToken + 1, start->fencingToken);
    // A late answer to the former start says nothing about this one.
    applyAnswer(fixture.agent, *former, fixture.answer(CallResult::Fenced), fixture.now);
    CHECK(fixture.reportedState("t") == RunState::Starting);
    CHECK_EQUAL(leaderToken + 1, fixture.agent.tokenInForce);
}

// A start that was carried out but not answered is found in the worker's list.
TEST(HostAgent, runThatBeganUnderAFormerTokenIsKept)
{
    fixture.fenceWorker();
    fixture.orderStart();
    const auto start = fixture.nextCall<StartCall>();
    applyAnswer(fixture.agent, *start, fixture.answer(CallResult::NoAnswer), fixture.now);
    fixture.listedRuns = {{"t", 1, RunState::Running, 10, "", ""}};
    fixture.apply(fixture.orders(2, leaderToken + 1));
    CHECK(!fixture.nextCall<StartCall>().has_value());
    CHECK(fixture.reportedState("t") == RunState::Running);
}

// An earlier, unanswered start may still reach the worker after a refusal. The agent must stop the
// run, after which the worker refuses it permanently, before the task may start elsewhere.
TEST(HostAgent, refusedRunIsGoneOnlyAfterItsStopAndAPoll)
{
    fixture.fenceWorker();
    fixture.orderStart();
    const auto start = fixture.nextCall<StartCall>();
    applyAnswer(fixture.agent, *start, fixture.answer(CallResult::Refused), fixture.now);
    CHECK(fixture.reportedState("t") == RunState::Stopping);
    const auto stop = fixture.nextCall<StopCall>();
    CHECK(stop.has_value());
    fixture.pollNow(); // this poll is answered before the stop call
    CHECK(fixture.reportedState("t") == RunState::Stopping);
    applyAnswer(fixture.agent, *stop, fixture.answer(), fixture.now);
    CHECK(fixture.reportedState("t") == RunState::Stopping);
    fixture.pollNow();
    CHECK(fixture.reportedState("t") == RunState::Gone);
}

TEST(HostAgent, stoppedRunStaysUntilTheWorkerNoLongerListsIt)
{
    fixture.fenceWorker();
    fixture.listedRuns = {{"t", 1, RunState::Running, 10, "", ""}};
    fixture.pollNow();
    HostOrders orders = fixture.orders();
    orders.stops.push_back({"t", 1});
    fixture.apply(orders);
    const auto stop = fixture.nextCall<StopCall>();
    applyAnswer(fixture.agent, *stop, fixture.answer(), fixture.now);
    fixture.pollNow();
    CHECK(fixture.reportedState("t") == RunState::Stopping);
    fixture.listedRuns.clear();
    fixture.listedEnds = {{1, "t", 1, EndKind::Stopped, "saved"}};
    fixture.pollNow();
    CHECK(fixture.reportedState("t") == RunState::Unknown);
    HostAgent copy = fixture.agent;
    CHECK_EQUAL(1, makeReport(copy).ends.size());
}

TEST(HostAgent, startThatABusyWorkerRefusedIsReported)
{
    fixture.fenceWorker();
    fixture.orderStart();
    const auto start = fixture.nextCall<StartCall>();
    applyAnswer(fixture.agent, *start, fixture.answer(CallResult::Busy), fixture.now);
    CHECK(fixture.reportedState("t") == RunState::Stopping);
    HostAgent copy = fixture.agent;
    CHECK(makeReport(copy).workerBusy);
}

// Guards against a run that is given up although its worker, which sheds load, has not stopped it.
TEST(HostAgent, stopIsRepeatedWhileTheWorkerIsBusy)
{
    fixture.fenceWorker();
    fixture.listedRuns = {{"t", 1, RunState::Running, 10, "", ""}};
    fixture.pollNow();
    HostOrders orders = fixture.orders();
    orders.stops.push_back({"t", 1});
    fixture.apply(orders);
    for (int i = 0; i < 10; ++i) {
        const auto stop = fixture.nextCall<StopCall>();
        CHECK(stop.has_value());
        applyAnswer(fixture.agent, *stop, fixture.answer(CallResult::Busy), fixture.now);
        CHECK(fixture.reportedState("t") == RunState::Stopping);
    }
}

// Guards against two runs of a task at a time: a start that was not answered may still begin while
// the worker is too busy to accept the stop, although no list contains the run.
TEST(HostAgent, runIsNotGoneWhileTheWorkerIsTooBusyToStopIt)
{
    fixture.fenceWorker();
    fixture.orderStart();
    const auto start = fixture.nextCall<StartCall>();
    applyAnswer(fixture.agent, *start, fixture.answer(CallResult::NoAnswer), fixture.now);
    HostOrders orders = fixture.orders();
    orders.stops.push_back({"t", 1});
    fixture.apply(orders);
    for (int i = 0; i < 3; ++i) {
        const auto refused = fixture.nextCall<StopCall>(); // and answers polls without the run
        CHECK(refused.has_value());
        applyAnswer(fixture.agent, *refused, fixture.answer(CallResult::Busy), fixture.now);
        CHECK(fixture.reportedState("t") == RunState::Stopping);
    }
    const auto accepted = fixture.nextCall<StopCall>();
    CHECK(accepted.has_value());
    applyAnswer(fixture.agent, *accepted, fixture.answer(), fixture.now);
    fixture.pollNow();
    CHECK(fixture.reportedState("t") == RunState::Gone);
}

// Guards against a run that continues although its worker accepted the stop.
TEST(HostAgent, stopIsRepeatedWhenTheRunIsStillListedAfterItsTime)
{
    fixture.fenceWorker();
    fixture.listedRuns = {{"t", 1, RunState::Running, 10, "", ""}};
    fixture.pollNow();
    HostOrders orders = fixture.orders();
    orders.stops.push_back({"t", 1});
    fixture.apply(orders);
    const auto stop = fixture.nextCall<StopCall>();
    applyAnswer(fixture.agent, *stop, fixture.answer(), fixture.now);
    CHECK(!fixture.nextCall<StopCall>().has_value());
    fixture.advance(fixture.agent.options.stopMs);
    fixture.pollNow();
    CHECK(fixture.nextCall<StopCall>().has_value());
}

// Guards against a task that runs twice: the worker's list of ends is full, so runs that have ended
// are in neither of its lists.
TEST(HostAgent, runIsKeptWhileTheListOfEndsIsCut)
{
    fixture.fenceWorker();
    fixture.listedRuns = {{"t", 1, RunState::Running, 90, "", ""}};
    fixture.pollNow();
    fixture.listedRuns.clear();
    fixture.listedEnds = {{1, "other", 1, EndKind::Done, ""}};
    fixture.endsComplete = false;
    fixture.pollNow();
    CHECK(fixture.reportedState("t") == RunState::Running);
    HostAgent copy = fixture.agent;
    CHECK_EQUAL(unknownPercent, makeReport(copy).runs.at(0).percent);
    HostOrders orders = fixture.orders();
    orders.acknowledgedEnd = 1;
    fixture.apply(orders);
    fixture.listedEnds = {{2, "t", 1, EndKind::Done, ""}};
    fixture.endsComplete = true;
    fixture.pollNow();
    CHECK(fixture.reportedState("t") == RunState::Unknown);
    copy = fixture.agent;
    CHECK_EQUAL(2, makeReport(copy).ends.at(0).number);
}

// As above, for a run that has been stopped or whose start was refused: it may have ended before.
TEST(HostAgent, stoppedRunIsNotGoneWhileTheListOfEndsIsCut)
{
    fixture.fenceWorker();
    fixture.orderStart();
    const auto start = fixture.nextCall<StartCall>();
    applyAnswer(fixture.agent, *start, fixture.answer(CallResult::Refused), fixture.now);
    const auto stop = fixture.nextCall<StopCall>();
    applyAnswer(fixture.agent, *stop, fixture.answer(), fixture.now);
    fixture.endsComplete = false;
    fixture.pollNow();
    CHECK(fixture.reportedState("t") == RunState::Stopping);
    fixture.endsComplete = true;
    fixture.pollNow();
    CHECK(fixture.reportedState("t") == RunState::Gone);
}

// As above, for a start that the next leader would order again.
TEST(HostAgent, startIsNotWithdrawnWhileTheListOfEndsIsCut)
{
    fixture.fenceWorker();
    fixture.orderStart();
    const auto start = fixture.nextCall<StartCall>();
    applyAnswer(fixture.agent, *start, fixture.answer(CallResult::NoAnswer), fixture.now);
    fixture.endsComplete = false;
    fixture.apply(fixture.orders(2, leaderToken + 1));
    fixture.pollNow();
    CHECK(fixture.reportedState("t") == RunState::Starting);
    fixture.endsComplete = true;
    fixture.pollNow();
    CHECK(fixture.reportedState("t") == RunState::Unknown);
}

// Answers may arrive out of order: a list that the worker made before the start must not remove the
// run.
TEST(HostAgent, olderListDoesNotHideANewerStart)
{
    fixture.fenceWorker();
    WorkerAnswer olderAnswer = fixture.answer();
    fixture.orderStart();
    const auto start = fixture.nextCall<StartCall>();
    applyAnswer(fixture.agent, *start, fixture.answer(), fixture.now);
    CHECK(fixture.reportedState("t") == RunState::Running);
    applyAnswer(fixture.agent, PollCall{"w", leaderToken, 0, 0, 500, false}, olderAnswer,
                fixture.now);
    CHECK(fixture.reportedState("t") == RunState::Running);
}

TEST(HostAgent, leaseEndsWithTheLeadersGrant)
{
    fixture.fenceWorker();
    fixture.pollNow();
    fixture.advance(3000);
    // 10 ms of tolerance, because answer() advances only the worker's clock.
    const std::int64_t latestLeaseEnd =
        fixture.workerClock + (fixture.agent.grantUntil - fixture.now) + 10;
    fixture.agent.pollNeeded = true;
    for (const WorkerCall &call : dueCalls(fixture.agent, fixture.now)) {
        const auto *poll = std::get_if<PollCall>(&call);
        CHECK(poll != nullptr);
        CHECK(poll->leaseUntil <= latestLeaseEnd);
    }
    fixture.advance(grantMs);
    fixture.pollNow();
    fixture.agent.pollNeeded = true;
    fixture.advance(400);
    for (const WorkerCall &call : dueCalls(fixture.agent, fixture.now))
        CHECK_EQUAL(0, std::get<PollCall>(call).leaseUntil);
}

// Guards against a lease that ends after the grant: the newest reading of a slow worker's clock is
// old, because the answers to its polls are lost.
TEST(HostAgent, leaseEndsWithTheGrantOnASlowClockThatWasReadLongAgo)
{
    fixture.fenceWorker();
    fixture.agent.options.silentAfterMs = 60000; // a silent worker is sent no lease
    const std::int64_t clockMs = fixture.agent.workerClockMs;
    const TimeMs receivedAt = fixture.agent.workerClockReceivedAt;
    const TimeMs start = fixture.now;
    int polls = 0;
    while (fixture.now < start + 20000) {
        fixture.advance(400);
        fixture.apply(fixture.orders());
        fixture.agent.pollNeeded = true;
        for (const WorkerCall &call : dueCalls(fixture.agent, fixture.now)) {
            const auto *poll = std::get_if<PollCall>(&call);
            if (poll != nullptr) {
                ++polls;
                CHECK(poll->leaseUntil > clockMs + (fixture.now - receivedAt) + 8000);
                CHECK(double(poll->leaseUntil - clockMs)
                      <= 0.98 * double(fixture.agent.grantUntil - receivedAt));
            }
            applyAnswer(fixture.agent, call, {}, fixture.now);
        }
    }
    CHECK(polls > 10);
}

// A worker without a lease would stop the task immediately.
TEST(HostAgent, noTaskIsStartedWithoutALease)
{
    fixture.fenceWorker();
    fixture.advance(grantMs + 1);
    HostOrders orders = fixture.orders();
    orders.grantMs = 0;
    orders.starts.push_back({"t", 1, "payload", ""});
    fixture.apply(orders);
    CHECK(!fixture.nextCall<StartCall>().has_value());
}

TEST(HostAgent, drainingWorkerIsSentNoStarts)
{
    fixture.fenceWorker();
    CHECK(fixture.heartbeat(1, 2, true));
    fixture.orderStart();
    CHECK(!fixture.nextCall<StartCall>().has_value());
    CHECK(fixture.reportedState("t") == RunState::Gone);
}

// A heartbeat that a network partition delayed may arrive after the worker's next incarnation has
// registered.
TEST(HostAgent, heartbeatOfAFormerIncarnationIsIgnored)
{
    CHECK(fixture.heartbeat(5, 1));
    fixture.confirmCandidate();
    CHECK(!fixture.heartbeat(1, 99));
    CHECK(!fixture.agent.candidate.has_value());
    CHECK_EQUAL(5, fixture.agent.worker->bornUnixMs);
}

TEST(HostAgent, restartedWorkerIsDetectedFromItsAnswers)
{
    fixture.fenceWorker();
    fixture.orderStart();
    WorkerAnswer answer = fixture.answer();
    answer.bornUnixMs = 2;
    applyAnswer(fixture.agent, PollCall{"w", leaderToken, 0, 0, 0, false}, answer, fixture.now);
    CHECK_EQUAL(2, fixture.agent.worker->bornUnixMs);
    CHECK_EQUAL(0, fixture.agent.tokenInForce);
    CHECK(fixture.reportedState("t") == RunState::Unknown);
}

// A delayed call for the former incarnation must be fenced by a higher token.
// Guards against tasks that are placed by the labels and the capacity of the former incarnation.
TEST(HostAgent, kindOfARestartedWorkerIsUnknownUntilItsHeartbeat)
{
    WorkerInfo info = *fixture.agent.worker;
    info.labels = {"a", "r1"};
    info.capacity = {64000, 1000, 8};
    CHECK(applyHeartbeat(fixture.agent, info, 2, fixture.now));
    for (const WorkerCall &call : dueCalls(fixture.agent, fixture.now)) {
        WorkerAnswer answer = fixture.answer();
        answer.bornUnixMs = info.bornUnixMs + 1;
        applyAnswer(fixture.agent, call, answer, fixture.now);
    }
    CHECK_EQUAL(info.bornUnixMs + 1, fixture.agent.worker->bornUnixMs);
    HostReport report = makeReport(fixture.agent);
    CHECK(report.worker->labels.empty());
    CHECK_EQUAL(0, report.worker->capacity.cpuMilli);
    CHECK_EQUAL(0, report.worker->capacity.accelerators);
    info.bornUnixMs += 1;
    info.labels = {"b", "r1"};
    info.capacity = {8000, 1000, 0};
    CHECK(applyHeartbeat(fixture.agent, info, 1, fixture.now));
    report = makeReport(fixture.agent);
    CHECK_EQUAL(std::string("b"), report.worker->labels.front());
    CHECK_EQUAL(8000, report.worker->capacity.cpuMilli);
}

TEST(HostAgent, restartedWorkerIsFencedBeforeTheLeaderReceivesAReport)
{
    fixture.fenceWorker();
    CHECK(fixture.heartbeat(2, 1));
    fixture.confirmCandidate();
    CHECK_EQUAL(2, fixture.agent.worker->bornUnixMs);
    const auto calls = dueCalls(fixture.agent, fixture.now);
    CHECK(std::get<PollCall>(calls.at(0)).fencingToken > leaderToken);
}

// An agent that was restarted knows nothing of workers that have left. A delayed heartbeat of one
// of them may be the first that it receives; the process that listens there now rejects calls to
// it.
TEST(HostAgent, workerThatHasLeftIsNotUsedAfterARestartOfTheAgent)
{
    CHECK(fixture.heartbeat(1, 7)); // of the worker that has left
    for (int i = 0; i < 20; ++i) {
        for (const WorkerCall &call : dueCalls(fixture.agent, fixture.now)) {
            CHECK(std::holds_alternative<PollCall>(call));
            applyAnswer(fixture.agent, call, fixture.answer(CallResult::NoAnswer), fixture.now);
        }
        fixture.advance(100);
        HostAgent copy = fixture.agent;
        CHECK_EQUAL(0,
                    makeReport(copy).fencingToken); // the leader uses no worker without its token
    }
    CHECK(fixture.heartbeat(2, 1));
    fixture.confirmCandidate();
    CHECK_EQUAL(2, fixture.agent.worker->bornUnixMs);
}

// Guards against a heartbeat of another writer that makes the agent leave its worker: the worker
// would run on without orders, and its own heartbeats would count as those of a former incarnation.
TEST(HostAgent, heartbeatThatTheWorkerDoesNotConfirmIsIgnored)
{
    fixture.fenceWorker();
    WorkerInfo other;
    other.id = "other";
    other.bornUnixMs = 1000000;
    CHECK(applyHeartbeat(fixture.agent, other, 1, fixture.now));
    for (const WorkerCall &call : dueCalls(fixture.agent, fixture.now)) {
        const auto *poll = std::get_if<PollCall>(&call);
        CHECK(poll != nullptr);
        CHECK_EQUAL(poll->probe, poll->workerId == "other");
        if (!poll->probe)
            continue;
        CHECK_EQUAL(0, poll->fencingToken);
        CHECK_EQUAL(0, poll->leaseUntil);
        CHECK_EQUAL(0, poll->acknowledgedEnd);
        applyAnswer(fixture.agent, call, fixture.answer(CallResult::Misdirected), fixture.now);
    }
    CHECK(!fixture.agent.candidate.has_value());
    STRCMP_EQUAL("w", fixture.agent.worker->id.c_str());
    CHECK_EQUAL(leaderToken, fixture.agent.tokenInForce);
    CHECK(fixture.heartbeat(1, 2));
}

// As above, for a heartbeat that names the current worker with a start time in the future. The
// worker has received a token, so it refuses the probe as fenced.
TEST(HostAgent, heartbeatWithAWrongStartTimeIsIgnored)
{
    fixture.fenceWorker();
    CHECK(fixture.heartbeat(1000000, 1));
    for (const WorkerCall &call : dueCalls(fixture.agent, fixture.now)) {
        if (std::get<PollCall>(call).probe)
            applyAnswer(fixture.agent, call, fixture.answer(CallResult::Fenced), fixture.now);
    }
    CHECK(!fixture.agent.candidate.has_value());
    CHECK_EQUAL(1, fixture.agent.worker->bornUnixMs);
    CHECK_EQUAL(leaderToken, fixture.agent.tokenInForce);
}

// Guards against an agent that was restarted, hears of a worker that does not exist first, and
// never follows the one on its host.
TEST(HostAgent, firstHeartbeatThatTheWorkerDoesNotConfirmIsGivenUp)
{
    const auto calls = dueCalls(fixture.agent, fixture.now);
    applyAnswer(fixture.agent, calls.at(0), fixture.answer(CallResult::Misdirected), fixture.now);
    CHECK(!fixture.agent.worker.has_value());
    WorkerInfo real;
    real.id = "real";
    CHECK(applyHeartbeat(fixture.agent, real, 1, fixture.now));
    STRCMP_EQUAL("real", fixture.agent.worker->id.c_str());
}

// Guards against an agent that goes back to a former incarnation because an answer of it is late.
TEST(HostAgent, lateAnswerOfAFormerIncarnationIsIgnored)
{
    fixture.fenceWorker();
    for (const std::uint64_t bornUnixMs : {2, 1}) {
        WorkerAnswer answer = fixture.answer();
        answer.bornUnixMs = bornUnixMs;
        applyAnswer(fixture.agent, PollCall{"w", leaderToken, 0, 0, 0, false}, answer, fixture.now);
        CHECK_EQUAL(2, fixture.agent.worker->bornUnixMs);
    }
}

TEST(HostAgent, startTimeOfAFirstHeartbeatIsCorrectedByTheWorker)
{
    WorkerAnswer answer = fixture.answer();
    answer.bornUnixMs = 1;
    fixture.agent.worker->bornUnixMs = 1000000;
    const auto calls = dueCalls(fixture.agent, fixture.now);
    applyAnswer(fixture.agent, calls.at(0), answer, fixture.now);
    CHECK_EQUAL(1, fixture.agent.worker->bornUnixMs);
    CHECK(fixture.heartbeat(1, 2));
}

TEST(HostAgent, missingWorkerProcessIsReportedAfterATimeout)
{
    fixture.fenceWorker();
    for (int i = 0; i < 3; ++i) {
        applyAnswer(fixture.agent, PollCall{"w", leaderToken, 0, 0, 0, false},
                    fixture.answer(CallResult::NoListener), fixture.now);
        HostAgent copy = fixture.agent;
        CHECK_EQUAL(i == 2, makeReport(copy).workerGone);
        fixture.advance(fixture.agent.options.workerGoneAfterMs / 2);
    }
}

// A call that is not answered does not prove that the process has ended: it may be slow or
// unreachable.
TEST(HostAgent, unansweredCallsDoNotReportTheWorkerAsGone)
{
    fixture.fenceWorker();
    for (int i = 0; i < 20; ++i) {
        applyAnswer(fixture.agent, PollCall{"w", leaderToken, 0, 0, 0, false},
                    fixture.answer(CallResult::NoAnswer), fixture.now);
        fixture.advance(500);
    }
    HostAgent copy = fixture.agent;
    CHECK(!makeReport(copy).workerGone);
}

TEST(HostAgent, ordersOfAnEarlierLeaderAreIgnored)
{
    fixture.fenceWorker();
    fixture.apply(fixture.orders(5));
    HostOrders staleOrders = fixture.orders(4);
    staleOrders.starts.push_back({"t", 1, "payload", ""});
    fixture.apply(staleOrders);
    CHECK(fixture.reportedState("t") == RunState::Unknown);
}

// Guards against a task that runs twice: an earlier process of the agent may have sent the start
// without an answer, and the worker may still execute it.
TEST(HostAgent, startOrderForADrainingWorkerIsGoneOnlyAfterItsStopAndAPoll)
{
    fixture.fenceWorker();
    CHECK(fixture.heartbeat(1, 2, true));
    fixture.orderStart();
    CHECK(fixture.reportedState("t") == RunState::Stopping);
    const auto stop = fixture.nextCall<StopCall>();
    CHECK(stop.has_value());
    applyAnswer(fixture.agent, *stop, fixture.answer(), fixture.now);
    CHECK(fixture.reportedState("t") == RunState::Stopping);
    fixture.pollNow();
    CHECK(fixture.reportedState("t") == RunState::Gone);
}

// Guards against a flood of calls: the answer with which a worker rejects a stop may lack its
// clock.
TEST(HostAgent, rejectedStopWithoutAClockIsNotRepeatedAtOnce)
{
    fixture.workerClock = 100000;
    fixture.fenceWorker();
    fixture.listedRuns = {{"t", 1, RunState::Running, 10, "", ""}};
    fixture.pollNow();
    HostOrders orders = fixture.orders();
    orders.stops.push_back({"t", 1});
    fixture.apply(orders);
    const auto stop = fixture.nextCall<StopCall>();
    WorkerAnswer answer = fixture.answer(CallResult::Refused);
    answer.clockMs = 0;
    applyAnswer(fixture.agent, *stop, answer, fixture.now);
    CHECK(!fixture.nextCall<StopCall>().has_value());
    fixture.advance(fixture.agent.options.stopMs);
    fixture.pollNow();
    CHECK(fixture.nextCall<StopCall>().has_value());
}

// Guards against a host that is lost: when its clock was set back, the next worker states an
// earlier start time than its predecessor.
TEST(HostAgent, nextWorkerIsFollowedAfterTheClockWasSetBack)
{
    CHECK(fixture.heartbeat(5, 1));
    fixture.confirmCandidate();
    WorkerInfo next;
    next.id = "next";
    next.bornUnixMs = 3;
    CHECK(applyHeartbeat(fixture.agent, next, 1, fixture.now));
    fixture.confirmCandidate();
    STRCMP_EQUAL("next", fixture.agent.worker->id.c_str());
}

// Guards against a task that is assigned to a worker which answers nothing: no run of it begins.
TEST(HostAgent, workerThatAnswersNothingIsReportedAsSilentUntilItAnswers)
{
    fixture.fenceWorker();
    CHECK(!fixture.reportsSilence());
    fixture.failCalls(CallResult::NoAnswer, fixture.agent.options.silentAfterMs - 200);
    CHECK(!fixture.reportsSilence());
    fixture.failCalls(CallResult::NoAnswer, 1000);
    CHECK(fixture.reportsSilence());
    CHECK(fixture.agent.reportNeeded);
    fixture.pollNow();
    CHECK(!fixture.reportsSilence());
    CHECK(fixture.agent.reportNeeded);
}

// A worker that refuses every call as busy extends no lease and begins no run either.
TEST(HostAgent, workerThatIsBusyForLongIsReportedAsSilent)
{
    fixture.fenceWorker();
    fixture.failCalls(CallResult::Busy, fixture.agent.options.silentAfterMs + 1000);
    CHECK(fixture.reportsSilence());
}

// An agent that was paused finds its calls unanswered, although the worker would answer.
TEST(HostAgent, oneUnansweredCallAfterAPauseOfTheAgentIsNoSilence)
{
    fixture.fenceWorker();
    fixture.advance(8000);
    fixture.failCalls(CallResult::NoAnswer, 300);
    CHECK(!fixture.reportsSilence());
}

// Guards against a run that stays assigned for ever: its worker answers nothing, and its agent
// reports it as running.
TEST(HostAgent, runsOfASilentWorkerAreReleasedWhenEveryLeaseHasLapsed)
{
    fixture.startRun();
    fixture.apply(fixture.orders());
    const std::int64_t clockBefore = fixture.workerClock;
    const TimeMs passed = fixture.failCallsUntilLapsed(20000);
    CHECK(fixture.reportsLapse());
    CHECK(fixture.reportedState("t") == RunState::Unknown);
    CHECK_EQUAL(leaderToken, makeReport(fixture.agent).orderedToken);
    // The worker's clock may be 2% slow, and the worker may be paused beside.
    CHECK(clockBefore + passed * 98 / 100
          > fixture.lastLeaseUntil + fixture.agent.options.leaseSlackMs);
    CHECK(passed < fixture.agent.options.silentAfterMs + grantMs * 103 / 100
              + fixture.agent.options.leaseSlackMs + 1000);
}

// Guards against runs that are lost by a hang which the worker survives.
TEST(HostAgent, leaseIsExtendedAtOnceWhenASilentWorkerAnswers)
{
    fixture.startRun();
    fixture.apply(fixture.orders());
    fixture.failCalls(CallResult::NoAnswer, 3000);
    fixture.apply(fixture.orders());
    fixture.failCalls(CallResult::NoAnswer, 3000);
    fixture.apply(fixture.orders());
    CHECK(fixture.reportsSilence());
    CHECK(!fixture.reportsLapse());
    CHECK(fixture.lastLeaseUntil > fixture.workerClock); // covers a worker that carries calls out
    fixture.pollNow();
    const auto poll = fixture.nextCall<PollCall>();
    CHECK(poll.has_value());
    CHECK_EQUAL(0, poll->waitMs);
    CHECK(poll->leaseUntil > fixture.lastLeaseUntil);
    CHECK(fixture.reportedState("t") == RunState::Running);
}

// Guards against two runs of a task at a time: a former process of the agent may have extended the
// lease up to its end.
TEST(HostAgent, restartedAgentOfASilentWorkerWaitsForTheLongestLease)
{
    fixture.failCalls(CallResult::NoAnswer, fixture.agent.options.leaseMaxMs * 102 / 100 - 100);
    CHECK(fixture.reportsSilence());
    CHECK(!fixture.reportsLapse());
    fixture.failCalls(CallResult::NoAnswer, 1500);
    CHECK(fixture.reportsLapse());
}

// Guards against a release that is too early: the worker's clock may have stood still during a
// pause of the machine.
TEST(HostAgent, pauseOfTheAgentIsNotCountedAsTimeOfTheLease)
{
    fixture.startRun();
    fixture.apply(fixture.orders());
    fixture.failCalls(CallResult::NoAnswer, 4000);
    CHECK(fixture.reportsSilence());
    fixture.now += 20000;
    const TimeMs passed = fixture.failCallsUntilLapsed(20000);
    CHECK(fixture.reportsLapse());
    CHECK(passed > 5000);
}

// Guards against two runs of a task at a time: the answer to a report that was sent before the
// release arrives after it, and orders the released run.
TEST(HostAgent, ordersFromBeforeALapsedLeaseAreNotCarriedOut)
{
    fixture.fenceWorker();
    fixture.failCallsUntilLapsed(20000);
    CHECK(fixture.reportsLapse());
    fixture.orderStart();
    fixture.pollNow();
    CHECK(!fixture.reportsLapse());
    CHECK(!fixture.nextCall<StartCall>().has_value());
    CHECK_EQUAL(leaderToken, makeReport(fixture.agent).releasedToken); // asks for another token
    HostOrders orders = fixture.orders(1, leaderToken + 1);
    orders.starts.push_back({"t", 2, "payload", ""});
    fixture.apply(orders);
    const auto start = fixture.nextCall<StartCall>();
    CHECK(start.has_value());
    CHECK_EQUAL(2, start->order.run);
}

// Guards against a worker that loses its lease for ever: the entries reject a report with long
// checkpoints, and the agent sends it again.
TEST(HostAgent, reportLeavesOutCheckpointsThatMakeItTooLarge)
{
    fixture.agent.options.maxReportedCheckpointBytes = 1000;
    constexpr int runCount = 10;
    for (int i = 0; i < runCount; ++i) {
        AgentRun run;
        run.checkpoint = std::string(300, 'c');
        fixture.agent.runs[{"t" + std::to_string(i), 1}] = run;
    }
    fixture.agent.ends.push_back({1, "e", 1, EndKind::Done, std::string(300, 'c')});
    fixture.agent.ends.push_back({2, "e", 2, EndKind::Done, std::string(300, '"')});
    std::set<std::string> reported;
    for (int i = 0; i < runCount; ++i) {
        const HostReport report = makeReport(fixture.agent);
        CHECK_EQUAL(std::size_t(runCount), report.runs.size());
        CHECK_EQUAL(2, report.ends.size());
        CHECK_EQUAL(300, report.ends[0].checkpoint.size());
        CHECK(report.ends[1].checkpoint.empty()); // its JSON is six times as long
        int checkpoints = 0;
        for (const ReportedRun &run : report.runs) {
            checkpoints += run.checkpoint.empty() ? 0 : 1;
            if (!run.checkpoint.empty())
                reported.insert(run.task);
        }
        CHECK_EQUAL(2, checkpoints);
    }
    CHECK_EQUAL(std::size_t(runCount), reported.size());
}

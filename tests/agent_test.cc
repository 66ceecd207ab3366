// Guards against an agent that allocates an accelerator twice, runs an attempt twice, sends no
// verdict or two different ones, or denies an organisation its guaranteed shape.

#include "flamingo/agent.h"

// Before CppUTest, which replaces `new` by a macro.
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <array>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>

using namespace flamingo;

namespace {

constexpr TimeMs tickMs = 100;

Table tableWithGuaranteedBlock()
{
    Table table;
    table.version = 1;
    table.organisations["owner"].name = "owner";
    table.organisations["borrower"].name = "borrower";
    table.guaranteedBlocks.push_back({"owner", 0, 0, 0, "a1", 0, 4});
    return table;
}

struct Fixture
{
    Agent agent;
    Table table = tableWithGuaranteedBlock();
    Random random{1};
    Outbox out;
    TimeMs now = 1000;

    explicit Fixture(AgentOptions options = {})
    {
        options.name = "a1";
        options.incarnation = 7;
        this->agent = makeAgent(options);
        this->event(Tick{});
    }

    void event(const AgentEvent &event)
    {
        handleAgent(this->agent, event, this->table, this->now, this->random, this->out);
    }

    void message(std::string_view from, Message message)
    {
        this->event(PeerMessage{std::string(from), std::move(message)});
    }

    // Advances the clock with ticks and, unless `renew` is false, with renewed leases.
    void advance(TimeMs ms, bool renew = true)
    {
        for (const auto end = this->now + ms; this->now < end;) {
            this->now = std::min(end, this->now + tickMs);
            if (renew)
                this->event(LeaseRenewed{true});
            this->event(Tick{});
        }
    }

    // All messages of type T sent so far; commands() likewise.
    template <typename T>
    std::vector<T> sent() const
    {
        std::vector<T> found;
        for (const auto &send : this->out.sends) {
            if (const auto *message = std::get_if<T>(&send.message))
                found.push_back(*message);
        }
        return found;
    }

    template <typename T>
    std::vector<T> commands() const
    {
        std::vector<T> found;
        for (const auto &command : this->out.commands) {
            if (const auto *wanted = std::get_if<T>(&command))
                found.push_back(*wanted);
        }
        return found;
    }
};

// Accelerators in the guaranteed blocks of the organisation (`own`) or of all others.
std::uint64_t guaranteedMask(const Table &table, std::string_view organisation, bool own)
{
    std::uint64_t mask = 0;
    for (const auto &guaranteedBlock : table.guaranteedBlocks) {
        if ((guaranteedBlock.organisation == organisation) == own)
            mask |= ((std::uint64_t{1} << guaranteedBlock.count) - 1) << guaranteedBlock.first;
    }
    return mask;
}

Start makeStart(std::string_view attempt, std::string_view organisation, std::uint32_t accelerators)
{
    Start start;
    start.spec = std::make_unique<JobSpec>();
    start.spec->job = "job-" + std::string(attempt);
    start.spec->organisation = std::string(organisation);
    start.spec->homeRegion = "north";
    start.spec->accelerators = accelerators;
    start.attempt = std::string(attempt);
    start.entry = "e1";
    return start;
}

Start makeKeyedStart(std::string_view attempt, std::string_view organisation,
                     std::uint32_t accelerators)
{
    auto start = makeStart(attempt, organisation, accelerators);
    start.spec->idempotent = false;
    start.spec->key = "key-" + std::string(attempt);
    start.owner = "o1";
    start.range = 3;
    start.epoch = 5;
    return start;
}

BeginReply makeBeginReply(const Start &start, bool granted = true)
{
    BeginReply reply;
    reply.key = start.spec->key;
    reply.attempt = start.attempt;
    reply.range = start.range;
    reply.epoch = start.epoch;
    reply.granted = granted;
    reply.state = KeyState::Granted;
    return reply;
}

bool propertyHolds(const std::string &text, const std::function<void()> &property)
{
    // A fixed seed makes every run check the same cases.
    setenv("RC_PARAMS", "seed=20261204 max_success=1000", 0);
    // CppUTest would report the memory that RapidCheck keeps between checks as leaks of this test.
    MemoryLeakWarningPlugin::saveAndDisableNewDeleteOverloads();
    const bool passed = rc::check(text, property);
    MemoryLeakWarningPlugin::restoreNewDeleteOverloads();
    return passed;
}

// Simulates one agent with a worker, an entry and an owner of keys, all of which lose or delay
// messages and fail at random. The model records the accelerators of each task on the worker and
// checks every command and message of the agent against the rules.
struct Model
{
    struct Job
    {
        Start start;
        bool issued = false;
        bool startFailed = false;
        bool accepted = false;
        bool granted = false;
        std::optional<Verdict> finalVerdict;
        TimeMs runBy = 0; // start bound of a guaranteed job that can be placed; 0: none
    };
    struct WorkerTask
    {
        std::uint64_t mask = 0;
        std::string organisation;
        TimeMs stopAt = 0; // 0: no StopTask received
    };

    Agent agent;
    Table table = tableWithGuaranteedBlock();
    Random random;
    TimeMs now = 0;
    std::map<std::string, Job> jobs;
    std::map<std::string, WorkerTask> workerTasks; // by attempt
    std::multimap<TimeMs, AgentEvent> events; // by time of delivery
    bool workerUnreachable = false; // it receives no commands and sends no events
    bool allAnswered = false; // every message is answered
    std::vector<std::string> unreportedStops; // tasks that stopped while the worker was unreachable
    TimeMs leaseUntil = 3000; // the worker's
    bool undisturbed = false; // the worker stays reachable, the agent is not paused or drained
    TimeMs lastDisturbedAt = -10000; // last time the worker was unreachable or the agent paused
    std::string brokenRule; // the first one; empty: none

    explicit Model(std::uint64_t seed)
        : random(seed)
    {
        AgentOptions options;
        options.name = "a1";
        options.slots = 5;
        this->table.organisations["borrower"].limitAccelerators = 5;
        this->table.organisations["borrower"].limitSlots = 3;
        this->table.guaranteedBlocks.push_back({"third", 0, 0, 0, "a1", 6, 2});
        this->agent = makeAgent(options);
    }

    void checkRule(bool condition, std::string_view rule)
    {
        if (!condition && this->brokenRule.empty())
            this->brokenRule = std::string(rule);
    }

    TimeMs randomBetween(TimeMs low, TimeMs high)
    {
        return std::uniform_int_distribution<TimeMs>(low, high)(this->random);
    }

    bool likely()
    {
        return this->allAnswered || this->randomBetween(0, 9) < 7;
    }

    void schedule(TimeMs delay, AgentEvent event)
    {
        this->events.emplace(this->now + delay, std::move(event));
    }

    void schedulePeerMessage(std::string_view from, Message message)
    {
        this->schedule(this->randomBetween(0, 200),
                       PeerMessage{std::string(from), std::move(message)});
    }

    void handle(const AgentEvent &event)
    {
        Outbox out;
        handleAgent(this->agent, event, this->table, this->now, this->random, out);
        for (const auto &command : out.commands)
            this->executeCommand(command);
        for (const auto &send : out.sends)
            this->handleSentMessage(send.message);
    }

    void runOnWorker(const RunTask &task)
    {
        auto &job = this->jobs[task.task];
        const auto &spec = *job.start.spec;
        this->checkRule(!job.issued, "an attempt runs at most once");
        this->checkRule(!job.finalVerdict, "nothing runs after the final verdict");
        this->checkRule(spec.idempotent || job.granted, "a keyed job runs only after its grant");
        const auto low = task.mask & (~task.mask + 1);
        this->checkRule(task.mask < 256 && ((task.mask + low) & task.mask) == 0
                            && __builtin_popcountll(task.mask)
                                == static_cast<int>(spec.accelerators),
                        "the block has the requested size and is contiguous");
        const auto own = guaranteedMask(this->table, spec.organisation, true);
        const auto others = guaranteedMask(this->table, spec.organisation, false);
        this->checkRule(
            spec.idempotent || spec.checkpointable || (task.mask & others) == 0,
            "only work that can be evicted is on another organisation's guaranteed block");
        this->checkRule(!job.start.guaranteed || (task.mask & ~own) == 0,
                        "guaranteed work is on its own organisation's guaranteed block");
        std::uint64_t accelerators = spec.accelerators;
        std::size_t slots = 1;
        for (const auto &[id, other] : this->workerTasks) {
            this->checkRule((other.mask & task.mask) == 0, "no accelerator is allocated twice");
            if (other.organisation == spec.organisation) {
                accelerators += __builtin_popcountll(other.mask);
                slots += 1;
            }
        }
        this->checkRule(this->workerTasks.size() < this->agent.options.slots, "a slot is free");
        this->checkRule(spec.organisation != "borrower" || (accelerators <= 5 && slots <= 3),
                        "the limits of the organisation hold");
        job.issued = true;
        if (this->workerUnreachable)
            return;
        if (!this->undisturbed && this->randomBetween(0, 9) == 0) {
            job.startFailed = true;
            this->schedule(10, TaskStarted{task.task, false, "broken"});
            return;
        }
        this->workerTasks[task.task] = {task.mask, spec.organisation};
        this->schedule(this->randomBetween(0, 300), TaskStarted{task.task, true, {}});
    }

    void executeCommand(const WorkerCommand &command)
    {
        if (const auto *task = std::get_if<RunTask>(&command))
            return this->runOnWorker(*task);
        if (this->workerUnreachable)
            return;
        if (const auto *checkpoint = std::get_if<CheckpointTask>(&command)) {
            if (this->randomBetween(0, 2) > 0)
                this->schedule(this->randomBetween(0, 3000),
                               TaskCheckpointed{checkpoint->task, this->likely(), "saved"});
            return;
        }
        const auto &id = std::get<StopTask>(command).task;
        const auto found = this->workerTasks.find(id);
        if (found == this->workerTasks.end())
            this->schedule(10, TaskStopped{id});
        else if (found->second.stopAt == 0)
            found->second.stopAt = this->now + this->randomBetween(1, 450);
    }

    void recordVerdict(const std::string &attempt, Verdict verdict, ReasonCode reason)
    {
        auto &job = this->jobs[attempt];
        this->checkRule(!job.finalVerdict || *job.finalVerdict == verdict,
                        "an attempt has one final verdict");
        if (job.finalVerdict)
            return;
        job.finalVerdict = verdict;
        this->checkRule(reason != ReasonCode::Evicted || !job.start.guaranteed,
                        "guaranteed work is not evicted");
        const auto &spec = *job.start.spec;
        const bool repeatable = spec.idempotent && reason != ReasonCode::Cancelled;
        if (verdict == Verdict::NotRun)
            this->checkRule(!job.issued || job.startFailed
                                || (repeatable && this->workerTasks.count(attempt) == 0),
                            "NotRun means no run, or a confirmed stop of repeatable work");
        if (verdict == Verdict::NotRun)
            this->checkRule(!job.granted, "no claim is held after NotRun");
        if (verdict == Verdict::Ran)
            this->checkRule(job.issued, "Ran is sent only after RunTask");
    }

    void handleSentMessage(const Message &message)
    {
        if (const auto *reply = std::get_if<StartReply>(&message)) {
            auto &job = this->jobs[reply->attempt];
            if (reply->accepted)
                job.accepted = true;
            else
                this->recordVerdict(reply->attempt, reply->verdict, reply->reason);
            this->checkRule(!job.accepted || reply->accepted, "an accepted Start is not refused");
        } else if (const auto *outcome = std::get_if<Outcome>(&message)) {
            this->checkRule(this->jobs[outcome->attempt].accepted,
                            "an Outcome follows an accepting StartReply");
            this->recordVerdict(outcome->attempt, outcome->verdict, outcome->reason);
            if (this->likely())
                this->schedulePeerMessage("e1", OutcomeAck{{}, outcome->job, outcome->attempt});
        } else if (const auto *begin = std::get_if<Begin>(&message)) {
            auto &job = this->jobs[begin->attempt];
            if (!this->likely())
                return;
            const bool granted = job.granted || this->likely();
            job.granted |= granted;
            this->schedulePeerMessage("o1", makeBeginReply(job.start, granted));
        } else if (const auto *settle = std::get_if<Settle>(&message)) {
            if (!this->likely())
                return;
            this->jobs[settle->attempt].granted &= settle->verdict != Verdict::NotRun;
            this->schedulePeerMessage("o1", SettleAck{{}, settle->key, settle->attempt});
        }
    }

    void stepWorker()
    {
        for (auto task = this->workerTasks.begin(); task != this->workerTasks.end();) {
            const bool stop = task->second.stopAt != 0 && this->now >= task->second.stopAt;
            if (!stop && this->now < this->leaseUntil) {
                ++task;
                continue;
            }
            this->unreportedStops.push_back(task->first);
            task = this->workerTasks.erase(task);
        }
        if (this->workerUnreachable)
            return;
        for (const auto &id : this->unreportedStops)
            this->schedule(0, TaskStopped{id});
        this->unreportedStops.clear();
    }

    void checkBounds()
    {
        for (auto &[id, job] : this->jobs) {
            if (job.runBy == 0 || job.issued || job.finalVerdict
                || this->lastDisturbedAt > job.runBy - 2600)
                continue;
            this->checkRule(this->now <= job.runBy, "a guaranteed start runs within its bound");
        }
    }

    void advance(TimeMs ms)
    {
        for (const auto end = this->now + ms; this->now < end;) {
            this->now += 50;
            if (this->workerUnreachable)
                this->lastDisturbedAt = this->now;
            if (this->now % 1000 == 0) {
                if (!this->workerUnreachable)
                    this->leaseUntil = this->now + this->agent.options.workerLeaseMs;
                this->handle(LeaseRenewed{!this->workerUnreachable});
            }
            this->stepWorker();
            while (!this->events.empty() && this->events.begin()->first <= this->now) {
                const auto event = std::move(this->events.begin()->second);
                this->events.erase(this->events.begin());
                this->handle(event);
            }
            if (this->now % tickMs == 0)
                this->handle(Tick{});
            this->checkBounds();
        }
    }

    // The agent's process is suspended; its worker keeps running.
    void pause(TimeMs ms)
    {
        this->now += ms - ms % 50;
        this->lastDisturbedAt = this->now;
        this->stepWorker();
    }

    bool ownerCanReclaim() const
    {
        for (const auto &[id, task] : this->agent.tasks) {
            if (task.organisation == "owner")
                return false;
        }
        return !this->agent.draining && !this->agent.health.setAside
            && this->now <= this->agent.leaseUntil && this->now - this->lastDisturbedAt > 1000;
    }

    void startRandomJob(TimeMs draw)
    {
        const auto name = "t" + std::to_string(this->jobs.size());
        const std::string_view organisation = std::array{"owner", "borrower", "third"}[draw % 3];
        const auto size = static_cast<std::uint32_t>(draw / 3 % 5);
        const bool keyed = draw / 16 % 3 == 0;
        auto start =
            keyed ? makeKeyedStart(name, organisation, size) : makeStart(name, organisation, size);
        start.spec->checkpointable = draw / 64 % 2 == 0;
        start.spec->cores = static_cast<std::uint32_t>(draw / 128 % 20);
        start.spec->deadlineMs = draw / 1024 % 2 == 0 ? 0 : 3000;
        start.guaranteed = size > 0 && (organisation == "owner" || draw / 256 % 4 == 0);
        auto &job = this->jobs[name];
        job.start = start;
        const bool reclaim = organisation == "owner" && start.guaranteed && this->ownerCanReclaim();
        this->handle(PeerMessage{"e1", start});
        this->checkRule(!reclaim || !job.finalVerdict, "a guaranteed shape can be reclaimed");
        if (reclaim && !keyed)
            job.runBy = this->now + 2000 + 500 + tickMs;
    }

    std::string pickAttempt(TimeMs draw) const
    {
        if (this->jobs.empty())
            return "t0";
        return std::next(this->jobs.begin(), draw % static_cast<TimeMs>(this->jobs.size()))->first;
    }

    void finishRandomTask(TimeMs draw)
    {
        if (this->workerTasks.empty() || this->workerUnreachable)
            return;
        const auto task = std::next(this->workerTasks.begin(),
                                    draw % static_cast<TimeMs>(this->workerTasks.size()));
        this->schedule(0, TaskFinished{task->first, draw % 7 != 0, "done", "failed"});
        this->workerTasks.erase(task);
    }

    void cancelRandomJob(TimeMs draw)
    {
        const auto attempt = this->pickAttempt(draw / 2);
        auto &job = this->jobs[attempt];
        if (!job.start.spec)
            return void(this->jobs.erase(attempt));
        job.runBy = 0;
        const auto byJob = draw % 2 == 0;
        this->handle(
            PeerMessage{"e1", Cancel{{}, job.start.spec->job, byJob ? std::string() : attempt}});
    }

    void applyDraw(TimeMs draw)
    {
        const auto detail = draw / 16;
        const auto kind = draw % 16;
        switch (this->undisturbed && kind >= 1 && kind <= 3 ? 15 : kind) {
        case 0:
            return this->cancelRandomJob(detail);
        case 1:
            return this->handle(PeerMessage{"e1", Drain{{}, detail % 3 == 0}});
        case 2:
            this->workerUnreachable = detail % 5 == 0;
            return;
        case 3:
            if (detail % 8 == 0)
                this->pause(detail / 8 % 6000);
            return;
        case 4:
        case 5:
        case 6:
            return this->finishRandomTask(detail);
        case 7:
            return this->handle(TaskUsage{this->pickAttempt(detail),
                                          static_cast<std::uint32_t>(detail / 8 % 80), 1000,
                                          detail / 4 % 10000});
        case 8:
            if (!this->jobs.empty())
                this->handle(PeerMessage{"e1", this->jobs[this->pickAttempt(detail)].start});
            return;
        case 9:
        case 10:
            return this->advance(detail % 3000);
        default:
            this->startRandomJob(detail);
            this->advance(50);
        }
    }

    // Drains the agent without further faults, so that every attempt must get a final verdict.
    void drainToIdle()
    {
        this->allAnswered = true;
        this->workerUnreachable = false;
        this->handle(PeerMessage{"e1", Drain{{}, true}});
        for (int second = 0; second < 40; ++second) {
            while (!this->workerTasks.empty())
                this->finishRandomTask(1);
            this->advance(1000);
        }
        this->checkRule(agentIdle(this->agent) && this->agent.tasks.empty(),
                        "a drained agent becomes idle");
        for (const auto &[id, job] : this->jobs)
            this->checkRule(job.finalVerdict.has_value(), "every attempt has a final verdict");
    }
};

} // namespace

TEST_GROUP(Agent){};

TEST(Agent, runsAnIdempotentJobOnceAndRepeatsTheOutcome)
{
    Fixture f;
    f.message("e1", makeStart("t1", "borrower", 2));
    f.message("e1", makeStart("t1", "borrower", 2));
    CHECK_EQUAL(1U, f.commands<RunTask>().size());
    CHECK_EQUAL(2U, f.sent<StartReply>().size());
    CHECK(f.sent<StartReply>()[1].accepted);
    CHECK_EQUAL(0U, f.commands<RunTask>()[0].mask & 0xfU); // other organisations' blocks come last
    f.event(TaskStarted{"t1", true, {}});
    f.event(TaskFinished{"t1", true, "42", {}});
    f.advance(2000);
    CHECK(f.sent<Outcome>().size() > 1);
    CHECK_EQUAL(std::string("42"), f.sent<Outcome>().back().answer);
    CHECK(f.sent<Outcome>().back().verdict == Verdict::Ran);
    CHECK(!agentIdle(f.agent));
    f.message("e1", OutcomeAck{{}, {}, "t1"});
    CHECK(agentIdle(f.agent));
    f.message("e1", makeStart("t1", "borrower", 2));
    CHECK_EQUAL(1U, f.commands<RunTask>().size());
}

TEST(Agent, runsWorkThatIsNotIdempotentOnlyAfterTheGrant)
{
    Fixture f;
    const auto start = makeKeyedStart("t1", "borrower", 1);
    f.message("e1", start);
    f.advance(1000);
    CHECK(f.sent<Begin>().size() > 1); // resent while unanswered
    CHECK_EQUAL(0U, f.commands<RunTask>().size());
    f.message("o1", makeBeginReply(start));
    f.message("o1", makeBeginReply(start));
    CHECK_EQUAL(1U, f.commands<RunTask>().size());
    f.event(TaskStarted{"t1", true, {}});
    f.event(TaskFinished{"t1", true, "paid", {}});
    CHECK(f.sent<Settle>().back().verdict == Verdict::Ran);
    f.message("e1", OutcomeAck{{}, {}, "t1"});
    CHECK(!agentIdle(f.agent)); // the owner has not acknowledged the Settle yet
    f.message("o1", SettleAck{{}, start.spec->key, "t1"});
    CHECK(agentIdle(f.agent));
}

TEST(Agent, refusesADeniedClaimAndFreesItsAllocation)
{
    Fixture f;
    const auto start = makeKeyedStart("t1", "borrower", 1);
    f.message("e1", start);
    f.message("o1", makeBeginReply(start, false));
    const auto replies = f.sent<StartReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK(!replies[0].accepted && replies[0].reason == ReasonCode::AlreadyClaimed);
    CHECK(f.agent.tasks.empty());
    CHECK(agentIdle(f.agent));
}

TEST(Agent, drainLetsRunningTasksFinish)
{
    Fixture f;
    f.message("e1", makeStart("t1", "borrower", 1));
    const auto claiming = makeKeyedStart("t2", "borrower", 1);
    f.message("e1", claiming);
    f.message("e1", Drain{{}, true});
    CHECK(f.sent<Settle>().back().verdict == Verdict::NotRun);
    f.message("o1", SettleAck{{}, claiming.spec->key, "t2"});
    CHECK(f.sent<StartReply>().back().reason == ReasonCode::Draining);
    f.message("e1", makeStart("t3", "borrower", 1));
    CHECK(f.sent<StartReply>().back().reason == ReasonCode::Draining);
    CHECK_EQUAL(0U, f.commands<StopTask>().size());
    f.event(TaskFinished{"t1", true, {}, {}});
    f.message("e1", OutcomeAck{{}, {}, "t1"});
    CHECK(agentIdle(f.agent));
}

// Guards against a violation of any rule checked by Model, in random orders of events and faults.
TEST(Agent, invariantsHoldInRandomRuns)
{
    CHECK(propertyHolds("rules", [] {
        Model model(static_cast<std::uint64_t>(*rc::gen::inRange<TimeMs>(0, 1000000)));
        const auto draws =
            *rc::gen::container<std::vector<TimeMs>>(rc::gen::inRange<TimeMs>(0, TimeMs{1} << 30));
        model.undisturbed = *rc::gen::inRange(0, 2) == 0;
        for (const auto draw : draws)
            model.applyDraw(draw);
        model.drainToIdle();
        if (!model.brokenRule.empty())
            RC_FAIL(model.brokenRule + "\n" + dumpAgent(model.agent, model.now));
    }));
}

// Guards against a reclaim that waits for borrowing tasks longer than its bounds, or evicts more of
// them than needed.
TEST(Agent, reclaimEvictsTheFewestBorrowingTasksWithinItsBounds)
{
    Fixture f;
    f.table.guaranteedBlocks.push_back({"third", 0, 0, 0, "a1", 4, 4});
    auto saved = makeStart("saved", "borrower", 2);
    saved.spec->checkpointable = true;
    f.message("e1", saved);
    f.message("e1", makeStart("small", "borrower", 1));
    f.message("e1", makeStart("other", "borrower", 1));
    for (const auto *id : {"saved", "small", "other"})
        f.event(TaskStarted{id, true, {}});
    CHECK_EQUAL(0xfU,
                f.commands<RunTask>()[0].mask | f.commands<RunTask>()[1].mask
                    | f.commands<RunTask>()[2].mask);
    auto start = makeStart("own", "owner", 2);
    start.guaranteed = true;
    f.advance(1000);
    f.message("e1", start);
    CHECK_EQUAL(1U, f.commands<CheckpointTask>().size()); // one task that loses no work
    CHECK_EQUAL(std::string("saved"), f.commands<CheckpointTask>()[0].task);
    CHECK_EQUAL(0U, f.commands<StopTask>().size());
    f.advance(f.agent.options.checkpointBoundMs); // the worker never answers the CheckpointTask
    CHECK_EQUAL(1U, f.commands<StopTask>().size());
    CHECK_EQUAL(3U, f.commands<RunTask>().size());
    f.event(TaskStopped{"saved"});
    CHECK_EQUAL(4U, f.commands<RunTask>().size());
    const auto outcome = f.sent<Outcome>()[0];
    CHECK(outcome.reason == ReasonCode::Evicted && outcome.verdict == Verdict::NotRun);
}

// Guards against jobs of the owner that split its guaranteed block, so that its next job does not
// fit although the rest of the block is free or lent.
TEST(Agent, jobsOfTheOwnerLeaveTheRestOfItsGuaranteedBlockInOnePiece)
{
    Fixture f;
    f.table.guaranteedBlocks = {{"owner", 0, 0, 0, "a1", 0, 8}};
    auto lent = makeStart("lent", "borrower", 2);
    f.message("e1", lent);
    f.event(TaskStarted{"lent", true, {}});
    for (const auto *id : {"own1", "own2"}) {
        auto own = makeStart(id, "owner", 4);
        own.guaranteed = true;
        f.message("e1", own);
        CHECK(f.sent<StartReply>().back().accepted);
        f.advance(1000);
    }
    f.event(TaskStopped{"lent"});
    CHECK_EQUAL(0xffU, f.commands<RunTask>()[1].mask | f.commands<RunTask>()[2].mask);
}

// Guards against accelerators that are allocated again while a stopped task may still use them.
TEST(Agent, keepsTheAllocationOfATaskUntilTheWorkerConfirmsItsStop)
{
    Fixture f;
    f.message("e1", makeStart("t1", "borrower", 8));
    f.event(TaskStarted{"t1", true, {}});
    f.message("e1", Cancel{{}, {}, "t1"});
    f.advance(6000);
    CHECK(f.commands<StopTask>().size() > 5); // resent
    CHECK(f.sent<Outcome>().back().verdict == Verdict::MayHaveRun);
    f.message("e1", makeStart("t2", "borrower", 1));
    CHECK(f.sent<StartReply>().back().reason == ReasonCode::NoRoom);
    f.event(TaskStopped{"t1"});
    f.message("e1", makeStart("t3", "borrower", 1));
    CHECK(f.sent<StartReply>().back().accepted);
}

// Guards against an agent that, after a pause, treats tasks as running although their leases lapsed
// during the pause.
TEST(Agent, treatsItsTasksAsLapsedAfterAPause)
{
    for (const bool longPause : {false, true}) {
        Fixture f;
        const auto keyed = makeKeyedStart("t2", "borrower", 1);
        f.message("e1", makeStart("t1", "borrower", 1));
        f.message("e1", keyed);
        f.message("o1", makeBeginReply(keyed));
        for (const auto *id : {"t1", "t2"})
            f.event(TaskStarted{id, true, {}});
        f.now += f.agent.options.workerLeaseMs + (longPause ? 5000 : 100);
        f.event(LeaseRenewed{true});
        CHECK_EQUAL(2U, f.commands<StopTask>().size());
        CHECK_EQUAL(longPause ? 2U : 0U, f.sent<Outcome>().size());
        CHECK_EQUAL(2U, f.agent.tasks.size());
        f.event(TaskStopped{"t1"});
        f.event(TaskStopped{"t2"});
        CHECK(f.agent.tasks.empty());
        const auto outcomes = f.sent<Outcome>();
        CHECK_EQUAL(2U, outcomes.size());
        CHECK(outcomes[0].reason == ReasonCode::LeaseLapsed);
        CHECK(outcomes[0].verdict == (longPause ? Verdict::MayHaveRun : Verdict::NotRun));
        CHECK(outcomes[1].verdict == Verdict::MayHaveRun);
    }
}

// Guards against two tasks on one accelerator after a pause: a renewal that was sent before the
// pause and reached the worker late has extended the lease.
TEST(Agent, keepsTheAllocationAfterAPauseUntilTheWorkerConfirmsTheStop)
{
    Fixture f;
    f.message("e1", makeStart("t1", "borrower", 8));
    f.event(TaskStarted{"t1", true, {}});
    f.now += f.agent.options.workerLeaseMs + 5000;
    f.event(LeaseRenewed{true});
    CHECK(f.sent<Outcome>().back().verdict == Verdict::MayHaveRun);
    f.message("e1", makeStart("t2", "borrower", 1));
    CHECK_EQUAL(1U, f.commands<RunTask>().size());
    f.event(TaskStopped{"t1"});
    f.message("e1", makeStart("t3", "borrower", 1));
    CHECK_EQUAL(2U, f.commands<RunTask>().size());
    CHECK_EQUAL(1U, f.sent<Outcome>().size());
}

// Guards against the verdict NotRun for a task that runs, because an earlier call to start it took
// effect without an answer.
TEST(Agent, refusedStartThatMayHaveTakenEffectIsStoppedFirst)
{
    Fixture f;
    const auto keyed = makeKeyedStart("t2", "borrower", 1);
    f.message("e1", makeStart("t1", "borrower", 1));
    f.message("e1", keyed);
    f.message("o1", makeBeginReply(keyed));
    for (const auto *id : {"t1", "t2"})
        f.event(TaskStarted{id, false, "busy", true});
    CHECK_EQUAL(2U, f.commands<StopTask>().size());
    CHECK_EQUAL(2U, f.agent.tasks.size());
    CHECK(f.sent<Outcome>().empty());
    for (const auto *id : {"t1", "t2"})
        f.event(TaskStopped{id});
    const auto outcomes = f.sent<Outcome>();
    CHECK_EQUAL(2U, outcomes.size());
    CHECK(outcomes[0].verdict == Verdict::NotRun);
    CHECK(outcomes[1].verdict == Verdict::MayHaveRun);
    CHECK(outcomes[1].reason == ReasonCode::WorkerFailed);
}

// Guards against a worker that keeps getting jobs although every job fails on it, and against a
// worker that is set aside because of one faulty job.
TEST(Agent, setsAsideAWorkerThatFailsDifferentJobsAndTakesItBackAfterAProbe)
{
    Fixture f;
    const auto failJob = [&](std::string_view attempt, std::string_view job) {
        auto start = makeStart(attempt, "borrower", 1);
        start.spec->job = std::string(job);
        f.message("e1", start);
        f.event(TaskStarted{std::string(attempt), false, "no driver"});
    };
    for (const auto *attempt : {"t1", "t2", "t3", "t4"})
        failJob(attempt, "same");
    f.message("e1", makeStart("t5", "borrower", 1));
    CHECK(f.sent<StartReply>().back().accepted);
    f.event(TaskFinished{"t5", true, {}, {}});
    for (const auto *job : {"j1", "j2", "j3"})
        failJob(job, job);
    f.message("e1", makeStart("t6", "borrower", 1));
    CHECK(f.sent<StartReply>().back().reason == ReasonCode::WorkerFailed);
    f.advance(f.agent.options.probeMs);
    f.message("e1", makeStart("probe", "borrower", 1));
    CHECK(f.sent<StartReply>().back().accepted);
    f.message("e1", makeStart("t7", "borrower", 1));
    CHECK(!f.sent<StartReply>().back().accepted); // one probe at a time
    f.event(TaskFinished{"probe", true, {}, {}});
    f.message("e1", makeStart("t8", "borrower", 1));
    CHECK(f.sent<StartReply>().back().accepted);
}

// Guards against a worker that stays set aside, and a job that waits for ever, when no idempotent
// single job arrives that could be the probe.
TEST(Agent, usesOtherWorkAsTheProbeWhenNoIdempotentJobArrives)
{
    Fixture f;
    for (const auto *job : {"j1", "j2", "j3"}) {
        auto start = makeStart(job, "borrower", 1);
        start.spec->job = job;
        f.message("e1", start);
        f.event(TaskStarted{job, false, "no driver"});
    }
    f.advance(f.agent.options.probeMs);
    f.message("e1", makeKeyedStart("early", "borrower", 1));
    CHECK(f.sent<StartReply>().back().reason == ReasonCode::WorkerFailed);
    f.advance(f.agent.options.probeMs);
    const auto probe = makeKeyedStart("probe", "borrower", 1);
    f.message("e1", probe);
    f.message("o1", makeBeginReply(probe));
    f.event(TaskStarted{"probe", true, {}});
    f.event(TaskFinished{"probe", true, "paid", {}});
    CHECK(!f.agent.health.setAside);
}

// Guards against a worker that stays unused in a large region, where reports are far apart, because
// no report says that it accepts a probe or that its lease has lapsed.
TEST(Agent, reportsAtOnceThatItIsSetAsideOrNoLongerIs)
{
    Fixture f;
    PeerUp up;
    up.peer.process = "e1";
    up.peer.kind = ProcessKind::Entry;
    f.event(up);
    ReportAck ack;
    ack.intervalMs = 300000;
    f.message("e1", ack);
    const auto lastReport = [&f] { return f.sent<Report>().back(); };
    for (const auto *job : {"j1", "j2", "j3"}) {
        auto start = makeStart(job, "borrower", 1);
        start.spec->job = job;
        f.message("e1", start);
        f.event(TaskStarted{job, false, "no driver"});
    }
    f.advance(200);
    CHECK(lastReport().setAside);
    f.advance(f.agent.options.probeMs);
    CHECK(!lastReport().setAside);
    f.advance(f.agent.options.workerLeaseMs + 200, false);
    CHECK(lastReport().setAside);
    f.advance(200);
    CHECK(!lastReport().setAside);
}

// Guards against an agent that accepts a grant of a replaced owner, or omits a granted key from its
// reply to the new owner.
TEST(Agent, answersAWitnessAndRefusesOlderGrants)
{
    Fixture f;
    const auto begun = makeKeyedStart("t1", "borrower", 1);
    const auto awaitingGrant = makeKeyedStart("t2", "borrower", 1);
    f.message("e1", begun);
    f.message("o1", makeBeginReply(begun));
    f.message("e1", awaitingGrant);
    Witness witness;
    witness.region = "north";
    witness.range = 3;
    witness.epoch = 6;
    witness.owner = "o2";
    f.message("o2", witness);
    const auto answers = f.sent<WitnessReply>();
    CHECK_EQUAL(1U, answers.size());
    CHECK_EQUAL(1U, answers[0].keys.size());
    CHECK_EQUAL(std::string("key-t1"), answers[0].keys[0].key);
    f.message("o1", makeBeginReply(awaitingGrant));
    CHECK_EQUAL(1U, f.commands<RunTask>().size());
    f.message("e1", makeKeyedStart("t3", "borrower", 1));
    CHECK(f.sent<StartReply>().back().reason == ReasonCode::StaleEpoch);
    f.event(TaskFinished{"t1", true, "paid", {}});
    CHECK_EQUAL(std::string("o2"), f.out.sends[f.out.sends.size() - 2].to);
    CHECK_EQUAL(6U, f.sent<Settle>().back().epoch);
}

// Guards against an entry that reports "not run" to a caller although the job's own entry starts it
// again.
TEST(Agent, evictedJobIsNotReportedAsFinished)
{
    Fixture f;
    f.table.guaranteedBlocks.push_back({"third", 0, 0, 0, "a1", 0, 8});
    f.message("e1", makeStart("borrower", "borrower", 8));
    f.event(TaskStarted{"borrower", true, {}});
    auto own = makeStart("own", "third", 8);
    own.guaranteed = true;
    f.message("e1", own);
    f.event(TaskStopped{"borrower"});
    CHECK(f.sent<Outcome>().at(0).reason == ReasonCode::Evicted);
    JobQuery query;
    query.request = "q";
    query.job = f.sent<Outcome>().at(0).job;
    f.message("e2", query);
    const auto reply = f.sent<JobReply>().at(0);
    CHECK(reply.found && !reply.finished && reply.verdict == Verdict::MayHaveRun);
}

// Guards against a second run after a log outage that is longer than the retention time, when the
// owner that granted from memory is lost before it could log the key.
TEST(Agent, unacknowledgedSettleIsKeptBeyondTheRetentionTime)
{
    Fixture f;
    const auto start = makeKeyedStart("t1", "borrower", 1);
    f.message("e1", start);
    f.message("o1", makeBeginReply(start));
    f.event(TaskStarted{"t1", true, {}});
    f.event(TaskFinished{"t1", true, "paid", {}});
    f.advance(f.agent.options.answerRetentionMs * 2);
    Witness witness;
    witness.region = "north";
    witness.range = 3;
    witness.epoch = 6;
    witness.owner = "o2";
    f.message("o2", witness);
    const auto keys = f.sent<WitnessReply>().at(0).keys;
    CHECK_EQUAL(1U, keys.size());
    CHECK_EQUAL(std::string("paid"), keys[0].answer);
    f.message("o2", SettleAck{{}, start.spec->key, "t1"});
    f.advance(f.agent.options.answerRetentionMs * 2);
    CHECK(f.agent.attempts.empty());
}

// Guards against a new owner that records a key as finished with an empty answer, because the
// answer did not fit into the WitnessReply.
TEST(Agent, witnessedKeyIsNotFinishedWhenItsAnswerDoesNotFit)
{
    Fixture f;
    const std::string large(f.agent.options.maxAnswerBytes * 2 / 3, 'x');
    for (const auto *attempt : {"t1", "t2"}) {
        const auto start = makeKeyedStart(attempt, "borrower", 1);
        f.message("e1", start);
        f.message("o1", makeBeginReply(start));
        f.event(TaskStarted{attempt, true, {}});
        f.event(TaskFinished{attempt, true, large, {}});
    }
    Witness witness;
    witness.region = "north";
    witness.range = 3;
    witness.epoch = 6;
    witness.owner = "o2";
    f.message("o2", witness);
    const auto keys = f.sent<WitnessReply>().at(0).keys;
    CHECK_EQUAL(2U, keys.size());
    CHECK(keys[0].finished && keys[0].answer == large);
    CHECK(!keys[1].finished && keys[1].verdict == Verdict::MayHaveRun);
}

// Guards against NotRun while the owner may still hold a claim for the attempt.
TEST(Agent, unansweredClaimEndsAsNotRunOnlyAfterItsRelease)
{
    for (const bool acknowledged : {false, true}) {
        Fixture f;
        const auto start = makeKeyedStart("t1", "borrower", 1);
        f.message("e1", start);
        f.advance(f.agent.options.claimBoundMs);
        CHECK_EQUAL(0U, f.sent<StartReply>().size());
        CHECK(f.sent<Settle>().back().verdict == Verdict::NotRun);
        if (acknowledged)
            f.message("o1", SettleAck{{}, start.spec->key, "t1"});
        f.advance(f.agent.options.releaseBoundMs);
        const auto reply = f.sent<StartReply>().back();
        CHECK(reply.reason == ReasonCode::OwnerUnreachable && !reply.accepted);
        CHECK(reply.verdict == (acknowledged ? Verdict::NotRun : Verdict::MayHaveRun));
    }
}

// Guards against a report for every single change, and against changes that are reported too late.
TEST(Agent, reportsChangesAtOnceButNotMoreOftenThanTheGap)
{
    Fixture f;
    PeerInfo peer;
    peer.process = "e1";
    peer.kind = ProcessKind::Entry;
    f.event(PeerUp{peer});
    CHECK_EQUAL(1U, f.sent<Report>().size());
    for (int index = 0; index < 5; ++index)
        f.message("e1", makeStart("t" + std::to_string(index), "borrower", 1));
    CHECK_EQUAL(1U, f.sent<Report>().size());
    f.now += f.agent.options.reportMinGapMs;
    f.event(Tick{});
    CHECK_EQUAL(2U, f.sent<Report>().size());
    CHECK_EQUAL(5U, f.sent<Report>()[1].tasks.size());
    CHECK_EQUAL(3, __builtin_popcountll(f.sent<Report>()[1].freeMask));
    f.message("e1", ReportAck{{}, 2, 5000, 1});
    f.advance(4500);
    const auto before = f.sent<Report>().size();
    f.advance(5000);
    CHECK_EQUAL(before + 1, f.sent<Report>().size());
}

// Guards against an urgent job that misses its start bound because the worker stopped answering
// just before the start (system_fuzz_test, seeds 500055 and 700051).
TEST(Agent, endsAnUrgentStartThatTheWorkerDoesNotConfirm)
{
    Fixture f;
    auto own = makeStart("own", "owner", 4);
    own.spec->jobClass = JobClass::Urgent;
    f.message("e1", own);
    auto batch = makeStart("batch", "borrower", 1);
    batch.spec->jobClass = JobClass::Batch;
    f.message("e1", batch);
    CHECK_EQUAL(2U, f.commands<RunTask>().size());
    f.advance(f.agent.options.urgentStartMs);
    const auto outcomes = f.sent<Outcome>();
    CHECK_FALSE(outcomes.empty());
    CHECK_EQUAL(std::string("own"), outcomes[0].attempt);
    CHECK(outcomes[0].verdict == Verdict::MayHaveRun);
    CHECK_EQUAL(std::string("own"), f.commands<StopTask>().at(0).task);
    // The task keeps its allocation until the worker confirms that it has stopped.
    CHECK_EQUAL(1U, f.agent.tasks.count("own"));
    for (const auto &outcome : outcomes)
        CHECK_EQUAL(std::string("own"), outcome.attempt);
}

// Guards against fields that would overflow masks or exhaust memory, and against a Start that runs
// although its Cancel arrived first.
TEST(Agent, refusesInvalidImpossibleAndCancelledStarts)
{
    Fixture f;
    f.message("e1", makeStart("t1", "borrower", 9));
    CHECK(f.sent<StartReply>().back().reason == ReasonCode::ImpossibleShape);
    f.message("e1", makeStart("t2", std::string(maxNameBytes + 1, 'x'), 1));
    CHECK(f.sent<StartReply>().back().reason == ReasonCode::InvalidInput);
    f.message("e1", makeStart("t3", "", 1));
    CHECK(f.sent<StartReply>().back().reason == ReasonCode::InvalidInput);
    auto keyless = makeKeyedStart("t4", "borrower", 1);
    keyless.spec->key.clear();
    f.message("e1", keyless);
    CHECK(f.sent<StartReply>().back().reason == ReasonCode::InvalidInput);
    f.message("e1", Cancel{{}, {}, "t5"});
    f.message("e1", makeStart("t5", "borrower", 1));
    CHECK(f.sent<StartReply>().back().reason == ReasonCode::Cancelled);
    for (const auto &reply : f.sent<StartReply>())
        CHECK(!reply.accepted && reply.verdict == Verdict::NotRun);
    CHECK_EQUAL(0U, f.commands<RunTask>().size());
}

// Guards against a declared size that is too large and blocks the worker, or too small and
// overloads it.
TEST(Agent, usageCorrectsDeclaredSizes)
{
    Fixture f;
    auto start = makeStart("t1", "borrower", 1);
    start.spec->cores = 64;
    f.message("e1", start);
    f.event(TaskUsage{"t1", 2, 100, 100}); // before usageTrustMs
    f.message("e1", makeStart("t2", "borrower", 1));
    CHECK(f.sent<StartReply>().back().reason == ReasonCode::NoRoom);
    f.event(TaskUsage{"t1", 8, 100, 10000});
    f.message("e1", makeStart("t3", "borrower", 1));
    CHECK(f.sent<StartReply>().back().accepted);
    CHECK_EQUAL(10U, f.agent.tasks.at("t1").cores); // 8 and 25% headroom
}

// Guards against jobs without accelerators that cannot be evicted and take the last slot, so that a
// guaranteed start finds none.
TEST(Agent, keepsASlotForEveryGuaranteedBlock)
{
    Fixture f;
    for (unsigned index = 0; index < f.agent.options.slots; ++index) {
        const auto start = makeKeyedStart("t" + std::to_string(index), "borrower", 0);
        f.message("e1", start);
        f.message("o1", makeBeginReply(start));
    }
    CHECK_EQUAL(f.agent.options.slots - 1, f.commands<RunTask>().size());
    CHECK(f.sent<StartReply>().back().reason == ReasonCode::NoRoom);
    auto own = makeStart("own", "owner", 4);
    own.guaranteed = true;
    f.message("e1", own);
    CHECK_EQUAL(std::string("own"), f.commands<RunTask>().back().task);
}

// Guards against a state dump that fails on names which are not UTF-8.
TEST(Agent, dumpsEveryStateAsJson)
{
    Fixture f;
    f.message("e1", makeStart("t\xff", "borrower", 1));
    const auto keyed = makeKeyedStart("t2", "borrower", 1);
    f.message("e1", keyed);
    f.message("o1", makeBeginReply(keyed));
    f.event(TaskFinished{"t2", true, "paid", {}});
    f.message("e1", makeStart("t3", "borrower", 9));
    const auto dump = nlohmann::json::parse(dumpAgent(f.agent, f.now));
    CHECK_EQUAL(1U, dump["tasks"].size());
    CHECK_EQUAL(2U, dump["attempts"].size());
    CHECK_EQUAL(1U, dump["refusals"].size());
    CHECK_EQUAL(std::string("granted"), dump["attempts"]["t2"]["claim"].get<std::string>());
}

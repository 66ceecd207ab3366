// Guards against an agent that grants accelerators twice, runs an attempt twice, loses or doubles a
// verdict, or keeps a guaranteed shape from its organisation.

#include "flamingo/agent.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace flamingo;

namespace {

constexpr TimeMs tickMs = 100;

Table tableWithAnchor()
{
    Table table;
    table.version = 1;
    table.organisations["owner"].name = "owner";
    table.organisations["guest"].name = "guest";
    table.anchors.push_back({"owner", 0, 0, 0, "a1", 0, 4});
    return table;
}

struct Fixture
{
    Agent agent;
    Table table = tableWithAnchor();
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

    // Lets time pass with ticks and, unless `renew` is false, with renewed leases.
    void pass(TimeMs ms, bool renew = true)
    {
        for (const auto end = this->now + ms; this->now < end;) {
            this->now = std::min(end, this->now + tickMs);
            if (renew)
                this->event(LeaseRenewed{true});
            this->event(Tick{});
        }
    }

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

BeginReply grant(const Start &start, bool granted = true)
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

} // namespace

TEST_GROUP(Agent){};

TEST(Agent, runsAnIdempotentJobOnceAndRepeatsTheOutcome)
{
    Fixture f;
    f.message("e1", makeStart("t1", "guest", 2));
    f.message("e1", makeStart("t1", "guest", 2));
    CHECK_EQUAL(1U, f.commands<RunTask>().size());
    CHECK_EQUAL(2U, f.sent<StartReply>().size());
    CHECK(f.sent<StartReply>()[1].accepted);
    CHECK_EQUAL(0U, f.commands<RunTask>()[0].mask & 0xfU); // a foreign anchor is the last choice
    f.event(TaskStarted{"t1", true, {}});
    f.event(TaskFinished{"t1", true, "42", {}});
    f.pass(2000);
    CHECK(f.sent<Outcome>().size() > 1);
    CHECK_EQUAL(std::string("42"), f.sent<Outcome>().back().answer);
    CHECK(f.sent<Outcome>().back().verdict == Verdict::Ran);
    CHECK(!agentIdle(f.agent));
    f.message("e1", OutcomeAck{{}, {}, "t1"});
    CHECK(agentIdle(f.agent));
    f.message("e1", makeStart("t1", "guest", 2));
    CHECK_EQUAL(1U, f.commands<RunTask>().size());
}

TEST(Agent, runsWorkThatIsNotIdempotentOnlyAfterTheGrant)
{
    Fixture f;
    const auto start = makeKeyedStart("t1", "guest", 1);
    f.message("e1", start);
    f.pass(1000);
    CHECK(f.sent<Begin>().size() > 1); // repeated while unanswered
    CHECK_EQUAL(0U, f.commands<RunTask>().size());
    f.message("o1", grant(start));
    f.message("o1", grant(start));
    CHECK_EQUAL(1U, f.commands<RunTask>().size());
    f.event(TaskStarted{"t1", true, {}});
    f.event(TaskFinished{"t1", true, "paid", {}});
    CHECK(f.sent<Settle>().back().verdict == Verdict::Ran);
    f.message("e1", OutcomeAck{{}, {}, "t1"});
    CHECK(!agentIdle(f.agent)); // the owner does not know the answer yet
    f.message("o1", SettleAck{{}, start.spec->key, "t1"});
    CHECK(agentIdle(f.agent));
}

TEST(Agent, refusesADeniedClaimAndFreesItsRoom)
{
    Fixture f;
    const auto start = makeKeyedStart("t1", "guest", 1);
    f.message("e1", start);
    f.message("o1", grant(start, false));
    const auto replies = f.sent<StartReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK(!replies[0].accepted && replies[0].reason == ReasonCode::AlreadyClaimed);
    CHECK(f.agent.tasks.empty());
    CHECK(agentIdle(f.agent));
}

TEST(Agent, drainsWithoutCuttingOffWhatRuns)
{
    Fixture f;
    f.message("e1", makeStart("t1", "guest", 1));
    const auto claiming = makeKeyedStart("t2", "guest", 1);
    f.message("e1", claiming);
    f.message("e1", Drain{{}, true});
    CHECK(f.sent<Settle>().back().verdict == Verdict::NotRun);
    f.message("o1", SettleAck{{}, claiming.spec->key, "t2"});
    CHECK(f.sent<StartReply>().back().reason == ReasonCode::Draining);
    f.message("e1", makeStart("t3", "guest", 1));
    CHECK(f.sent<StartReply>().back().reason == ReasonCode::Draining);
    CHECK_EQUAL(0U, f.commands<StopTask>().size());
    f.event(TaskFinished{"t1", true, {}, {}});
    f.message("e1", OutcomeAck{{}, {}, "t1"});
    CHECK(agentIdle(f.agent));
}

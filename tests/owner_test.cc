// Guards the protocol of section 6.4 step by step: who gets a grant, when, and what is answered.

#include "flamingo/owner.h"

#include <nlohmann/json.hpp>

#include <algorithm>

// Last, because it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace flamingo;

namespace {

// A log that appends every batch in order and can be switched off.
struct FakeLog
{
    std::vector<wire::LogLineT> lines;
    bool up = true;

    std::uint64_t append(const std::vector<std::string> &texts)
    {
        for (const auto &text : texts) {
            this->lines.emplace_back();
            this->lines.back().offset = this->lines.size() - 1;
            this->lines.back().text = text;
        }
        return this->lines.size();
    }

    LogRead readFrom(std::uint64_t from) const
    {
        LogRead read;
        read.stream = claimsStream;
        read.lines.assign(this->lines.begin() + static_cast<std::ptrdiff_t>(from),
                          this->lines.end());
        read.next = this->lines.size();
        return read;
    }
};

// One owner process with its log; other processes only exist as names.
struct Node
{
    Owner owner;
    FakeLog &log;
    Random random{1};
    std::vector<Send> sent;
    bool reads = true;

    Node(FakeLog &log, const std::string &name, OwnerOptions options = {})
        : log(log)
    {
        options.self = name;
        options.region = "west";
        options.incarnation = 1;
        this->owner = makeOwner(options);
    }

    void handle(const OwnerEvent &event, TimeMs now)
    {
        Outbox out;
        handleOwner(this->owner, event, now, this->random, out);
        std::move(out.sends.begin(), out.sends.end(), std::back_inserter(this->sent));
        for (const auto &append : out.appends) {
            if (!this->log.up)
                continue;
            const auto next = this->log.append(append.lines);
            this->handle(LogAppended{append.id, true, next - 1}, now);
        }
    }

    // Ticks until `until`, reading the log at each tick.
    void run(TimeMs &now, TimeMs until)
    {
        for (; now < until; now += 100) {
            this->handle(Tick{}, now);
            if (this->log.up && this->reads)
                this->handle(this->log.readFrom(this->owner.map.nextOffset), now);
        }
    }

    template <typename T>
    std::vector<T> take()
    {
        std::vector<T> result;
        for (auto &send : this->sent) {
            if (auto *const message = std::get_if<T>(&send.message))
                result.push_back(std::move(*message));
        }
        this->sent.clear();
        return result;
    }
};

Begin beginFor(const std::string &key, const std::string &agent, const std::string &attempt)
{
    Begin begin;
    begin.key = key;
    begin.job = "job-" + key;
    begin.attempt = attempt;
    begin.agent = agent;
    begin.incarnation = 1;
    begin.range = rangeOf(key);
    begin.epoch = 1;
    return begin;
}

Settle settleFor(const Begin &begin, Verdict verdict, const std::string &answer = "")
{
    Settle settle;
    settle.key = begin.key;
    settle.attempt = begin.attempt;
    settle.agent = begin.agent;
    settle.incarnation = begin.incarnation;
    settle.range = begin.range;
    settle.epoch = begin.epoch;
    settle.verdict = verdict;
    settle.answer = answer;
    return settle;
}

WitnessReply witnessFrom(const std::string &agent, const std::string &key, std::uint64_t epoch)
{
    WitnessReply reply;
    reply.region = "west";
    reply.range = rangeOf(key);
    reply.epoch = epoch;
    reply.agent = agent;
    reply.incarnation = 1;
    return reply;
}

KeyQuery queryFor(const std::string &key)
{
    KeyQuery query;
    query.key = key;
    query.range = rangeOf(key);
    query.watch = true;
    return query;
}

} // namespace

TEST_GROUP(Owner)
{
    FakeLog log;
    TimeMs now = 1000;
    const std::string key = "settle-17";

    // Agents t1 and t2 announced, `owner` owns every range at epoch 1.
    void start(Node & owner)
    {
        this->log.append({announceLine("t1", "west", 1), announceLine("t2", "west", 1)});
        this->makeOwnerOf(owner, 1);
    }

    void makeOwnerOf(Node & owner, std::uint64_t epoch)
    {
        owner.run(this->now, this->now + 1000);
        for (std::uint32_t range = 0; range < rangesPerRegion; ++range)
            this->log.append({epochLine("west", range, epoch, owner.owner.options.self)});
        owner.run(this->now, this->now + 1000);
        owner.sent.clear();
    }

    void settleDown(Node & owner)
    {
        owner.run(this->now, this->now + 2000);
    }
};

TEST(Owner, grantFollowsTheReadBackOnly)
{
    Node node(log, "o");
    start(node);
    node.reads = false;
    node.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    now += 600;
    node.handle(Tick{}, now);
    CHECK_EQUAL(0U, node.take<BeginReply>().size());
    node.reads = true;
    node.run(now, now + 200);
    const auto replies = node.take<BeginReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_TRUE(replies[0].granted);
}

TEST(Owner, takenOverRangeGetsNoGrantForAClaimThatIsVoid)
{
    Node node(log, "o");
    start(node);
    log.append({epochLine("west", rangeOf(key), 2, "t2")});
    node.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    node.run(now, now + 5000);
    for (const auto &reply : node.take<BeginReply>())
        CHECK_FALSE(reply.granted);
    node.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    const auto replies = node.take<BeginReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_TRUE(replies[0].state == KeyState::WrongOwner);
}

TEST(Owner, sameAttemptGetsTheSameGrantAndAnotherIsDenied)
{
    Node node(log, "o");
    start(node);
    node.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    settleDown(node);
    node.sent.clear();
    node.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    node.handle(PeerMessage{"t2", beginFor(key, "t2", "b")}, now);
    auto replies = node.take<BeginReply>();
    CHECK_EQUAL(2U, replies.size());
    CHECK_TRUE(replies[0].granted);
    CHECK_FALSE(replies[1].granted);
    CHECK_TRUE(replies[1].state == KeyState::Running);
    CHECK_TRUE(replies[1].reason == ReasonCode::AlreadyClaimed);

    node.handle(PeerMessage{"t1", settleFor(beginFor(key, "t1", "a"), Verdict::Ran, "paid")}, now);
    settleDown(node);
    CHECK_EQUAL(1U, node.take<SettleAck>().size());
    node.handle(PeerMessage{"t2", beginFor(key, "t2", "b")}, now);
    replies = node.take<BeginReply>();
    CHECK_FALSE(replies[0].granted);
    CHECK_TRUE(replies[0].state == KeyState::Finished);
}

TEST(Owner, notRunReleasesTheKeyForAnotherAttemptOnly)
{
    Node node(log, "o");
    start(node);
    const auto first = beginFor(key, "t1", "a");
    node.handle(PeerMessage{"t1", first}, now);
    settleDown(node);
    node.handle(PeerMessage{"e", queryFor(key)}, now);
    node.handle(PeerMessage{"t1", settleFor(first, Verdict::NotRun)}, now);
    node.handle(PeerMessage{"t2", settleFor(beginFor(key, "t2", "b"), Verdict::Ran)}, now);
    settleDown(node);
    const auto watched = node.take<KeyReply>();
    CHECK_EQUAL(2U, watched.size());
    CHECK_TRUE(watched[0].state == KeyState::Running);
    CHECK_TRUE(watched[1].state == KeyState::Unknown);
    CHECK_TRUE(watched[1].verdict == Verdict::NotRun);
    node.handle(PeerMessage{"t1", first}, now);
    node.handle(PeerMessage{"t2", beginFor(key, "t2", "b")}, now);
    settleDown(node);
    const auto replies = node.take<BeginReply>();
    CHECK_EQUAL(2U, replies.size());
    CHECK_FALSE(replies[0].granted);
    CHECK_TRUE(replies[1].granted);
    CHECK_EQUAL(std::string("b"), replies[1].attempt);
}

TEST(Owner, lostTargetLeavesMayHaveRunForGood)
{
    Node node(log, "o");
    start(node);
    const auto first = beginFor(key, "t1", "a");
    node.handle(PeerMessage{"t1", first}, now);
    settleDown(node);
    node.handle(PeerMessage{"e", queryFor(key)}, now);
    log.append({announceLine("t1", "west", 2)});
    settleDown(node);
    const auto watched = node.take<KeyReply>();
    CHECK_EQUAL(2U, watched.size());
    CHECK_TRUE(watched[1].state == KeyState::MayHaveRun);
    node.handle(PeerMessage{"t1", settleFor(first, Verdict::NotRun)}, now);
    settleDown(node);
    node.sent.clear();
    node.handle(PeerMessage{"t2", beginFor(key, "t2", "b")}, now);
    const auto replies = node.take<BeginReply>();
    CHECK_FALSE(replies[0].granted);
    CHECK_TRUE(replies[0].state == KeyState::MayHaveRun);
}

TEST(Owner, memoryModeGrantsOnlyToAnnouncedOthersAndLogsLater)
{
    Node node(log, "o");
    start(node);
    settleDown(node); // Clean records are read back
    const auto logged = log.lines.size();
    log.up = false;
    node.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    node.run(now, now + 1500);
    CHECK_EQUAL(0U, node.take<BeginReply>().size());
    node.run(now, now + 1500);
    auto replies = node.take<BeginReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_TRUE(replies[0].granted);

    node.handle(PeerMessage{"o", beginFor("own", "o", "b")}, now);
    node.handle(PeerMessage{"t9", beginFor("new", "t9", "c")}, now);
    node.run(now, now + 3000);
    replies = node.take<BeginReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_FALSE(replies[0].granted);
    CHECK_EQUAL(logged, log.lines.size());

    log.up = true;
    node.run(now, now + 8000);
    CHECK_FALSE(node.owner.memoryMode);
    CHECK_TRUE(log.lines.size() > logged);
}

TEST(Owner, memoryModeNeedsACleanRecordOfTheEpoch)
{
    Node node(log, "o");
    log.append({announceLine("t1", "west", 1)});
    node.run(now, now + 1000);
    log.append({epochLine("west", rangeOf(key), 1, "o")});
    node.handle(log.readFrom(node.owner.map.nextOffset), now);
    log.up = false;
    node.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    node.run(now, now + 10000);
    CHECK_TRUE(node.owner.memoryMode);
    for (const auto &reply : node.take<BeginReply>())
        CHECK_FALSE(reply.granted);
}

TEST(Owner, takeoverAsksEveryAnnouncedTargetBeforeItGrants)
{
    Node former(log, "o");
    start(former);
    settleDown(former);
    const auto known = beginFor(key, "t1", "a");
    former.handle(PeerMessage{"t1", known}, now);
    settleDown(former);

    Node node(log, "n");
    makeOwnerOf(node, 2);
    node.handle(PeerMessage{"t1", known}, now);
    node.handle(PeerMessage{"t2", beginFor("other", "t2", "b")}, now);
    auto replies = node.take<BeginReply>();
    CHECK_EQUAL(2U, replies.size());
    CHECK_TRUE(replies[0].granted);
    CHECK_EQUAL(2U, replies[0].epoch);
    CHECK_TRUE(replies[1].reason == ReasonCode::TakeoverIncomplete);
    CHECK_TRUE(replies[1].state == KeyState::MayHaveRun);

    auto reply = witnessFrom("t2", "other", 2);
    reply.keys.resize(1);
    reply.keys[0].key = "other";
    reply.keys[0].attempt = "z";
    reply.keys[0].finished = true;
    reply.keys[0].verdict = Verdict::Ran;
    reply.keys[0].answer = "done";
    node.handle(PeerMessage{"t2", reply}, now);
    for (const auto *const agent : {"t1", "o", "n"})
        node.handle(PeerMessage{agent, witnessFrom(agent, "other", 2)}, now);
    settleDown(node);
    node.sent.clear();
    node.handle(PeerMessage{"e", queryFor("other")}, now);
    const auto answers = node.take<KeyReply>();
    CHECK_TRUE(answers[0].state == KeyState::Finished);
    CHECK_EQUAL(std::string("done"), answers[0].answer);
    CHECK_TRUE(node.owner.ranges.at(rangeOf("other")).complete);
}

// A key that failed under the former owner must not look like a success with an empty answer.
TEST(Owner, failureLearnedFromAWitnessKeepsItsReason)
{
    Node former(log, "o");
    start(former);
    settleDown(former);
    Node node(log, "n");
    makeOwnerOf(node, 2);
    auto reply = witnessFrom("t2", "other", 2);
    reply.keys.resize(1);
    reply.keys[0].key = "other";
    reply.keys[0].attempt = "z";
    reply.keys[0].finished = true;
    reply.keys[0].verdict = Verdict::Ran;
    reply.keys[0].reason = ReasonCode::TaskFailed;
    reply.keys[0].detail = "no driver";
    node.handle(PeerMessage{"t2", reply}, now);
    settleDown(node);
    node.sent.clear();
    node.handle(PeerMessage{"e", queryFor("other")}, now);
    const auto answers = node.take<KeyReply>();
    CHECK_TRUE(answers[0].state == KeyState::Finished);
    CHECK_TRUE(answers[0].reason == ReasonCode::TaskFailed);
    CHECK_EQUAL(std::string("no driver"), answers[0].detail);
}

// Without the offset in the Clean record a memory grant made after it, to a target that was lost
// before it, would be forgotten by the takeover.
TEST(Owner, cleanRecordThatHadNotReadTheLossDoesNotCloseTheTarget)
{
    Node former(log, "o");
    start(former);
    former.reads = false;
    log.append({lostLine("t1", 1)});
    now += 5000; // after a pause the owner appends Clean records
    former.run(now, now + 8000);
    const auto last = parseClaimsRecord(log.lines.back().text);
    CHECK_TRUE(last && last->kind == RecordKind::Clean);
    former.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    former.run(now, now + 8000);

    Node node(log, "n");
    makeOwnerOf(node, 2);
    for (const auto *const agent : {"t2", "o", "n"})
        node.handle(PeerMessage{agent, witnessFrom(agent, key, 2)}, now);
    CHECK_FALSE(node.owner.ranges.at(rangeOf(key)).complete);
}

// An owner that lost the range but lives must not leave the takeover incomplete for a lost target,
// and must not believe its own unlogged grant when it owns the range again.
TEST(Owner, handoverCompletesTheTakeoverWithItsMemoryGrants)
{
    Node former(log, "o");
    start(former);
    settleDown(former);
    log.up = false;
    former.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    former.run(now, now + 3000);
    CHECK_TRUE(former.take<BeginReply>().at(0).granted);
    log.append({epochLine("west", rangeOf(key), 2, "n"), lostLine("t1", 1)});
    Node node(log, "n");
    node.handle(log.readFrom(0), now);
    log.append({announceLine("n", "west", 1), epochLine("west", rangeOf(key), 3, "n")});
    node.handle(log.readFrom(node.owner.map.nextOffset), now);
    CHECK_FALSE(node.owner.ranges.at(rangeOf(key)).complete);
    log.up = true;
    former.run(now, now + 2000);
    CHECK_EQUAL(0U, former.owner.keys.count(key));
    node.handle(log.readFrom(node.owner.map.nextOffset), now);
    CHECK_TRUE(node.owner.ranges.at(rangeOf(key)).complete);
    CHECK_TRUE(node.owner.keys.at(key).phase == KeyPhase::MayHaveRun);
    CHECK_EQUAL(std::string("a"), node.owner.keys.at(key).attempt);
}

// A state that only the former owner knew must not outlive its ownership.
TEST(Owner, lostRangeGoesBackToTheStateOfTheLog)
{
    Node node(log, "o");
    start(node);
    const auto first = beginFor(key, "t1", "a");
    node.handle(PeerMessage{"t1", first}, now);
    settleDown(node);
    log.up = false;
    node.handle(PeerMessage{"t1", settleFor(first, Verdict::NotRun)}, now);
    node.handle(PeerMessage{"t2", beginFor(key, "t2", "b")}, now);
    node.run(now, now + 3000);
    CHECK_EQUAL(std::string("b"), node.owner.keys.at(key).attempt);
    log.append({epochLine("west", rangeOf(key), 2, "t2")});
    log.up = true;
    node.run(now, now + 200);
    CHECK_EQUAL(std::string("a"), node.owner.keys.at(key).attempt);
    CHECK_TRUE(node.owner.keys.at(key).phase == KeyPhase::Granted);
}

// A lost grant to a target that gave up would leave the key running for ever.
TEST(Owner, unsettledGrantIsSentAgain)
{
    Node node(log, "o");
    start(node);
    node.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    settleDown(node);
    CHECK_EQUAL(1U, node.take<BeginReply>().size());
    node.run(now, now + 45000);
    const auto replies = node.take<BeginReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_TRUE(replies[0].granted);
}

TEST(Owner, attemptThatItsTargetNeverBeganIsReleasedByTheWitness)
{
    Node former(log, "o");
    start(former);
    settleDown(former);
    former.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    settleDown(former); // the grant is lost on the way

    Node node(log, "n");
    makeOwnerOf(node, 2);
    // The target lists the key, but under an attempt that it gave up.
    auto listed = witnessFrom("t1", key, 2);
    listed.keys.resize(1);
    listed.keys[0].key = key;
    listed.keys[0].attempt = "older";
    listed.keys[0].finished = true;
    node.handle(PeerMessage{"t1", listed}, now);
    for (const auto *const agent : {"t2", "o", "n"})
        node.handle(PeerMessage{agent, witnessFrom(agent, key, 2)}, now);
    node.handle(PeerMessage{"t2", beginFor(key, "t2", "b")}, now);
    settleDown(node);
    const auto replies = node.take<BeginReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_TRUE(replies[0].granted);
}

TEST(Owner, settleOfAMemoryGrantIsKeptByAnIncompleteTakeover)
{
    Node former(log, "o");
    start(former);
    settleDown(former);
    Node node(log, "n");
    makeOwnerOf(node, 2);
    node.handle(PeerMessage{"t1", settleFor(beginFor(key, "t1", "a"), Verdict::Ran, "x")}, now);
    settleDown(node);
    CHECK_EQUAL(1U, node.take<SettleAck>().size());
    for (const auto *const agent : {"t1", "t2", "o", "n"})
        node.handle(PeerMessage{agent, witnessFrom(agent, key, 2)}, now);
    node.handle(PeerMessage{"t2", beginFor(key, "t2", "b")}, now);
    const auto replies = node.take<BeginReply>();
    CHECK_TRUE(replies.at(0).state == KeyState::Finished);
}

TEST(Owner, appendWithoutResultIsRepeatedWithoutASecondEffect)
{
    Node node(log, "o");
    start(node);
    settleDown(node);
    const auto begin = beginFor(key, "t1", "a");
    Outbox out;
    handleOwner(node.owner, PeerMessage{"t1", begin}, now, node.random, out);
    CHECK_EQUAL(1U, out.appends.size());
    const auto lateCopy = out.appends[0].lines;
    node.handle(LogAppended{out.appends[0].id, false, 0}, now);
    settleDown(node);
    CHECK_EQUAL(1U, node.take<BeginReply>().size());
    node.handle(PeerMessage{"t1", settleFor(begin, Verdict::NotRun)}, now);
    settleDown(node);
    log.append(lateCopy);
    settleDown(node);
    CHECK_TRUE(node.owner.keys.at(key).phase == KeyPhase::Released);
    Node other(log, "n");
    makeOwnerOf(other, 2);
    CHECK_TRUE(other.owner.keys.at(key).phase == KeyPhase::Released);
}

TEST(Owner, fullOwnerRefusesFurtherKeys)
{
    OwnerOptions options;
    options.maxKeys = 1;
    Node node(log, "o", options);
    start(node);
    node.handle(PeerMessage{"t1", beginFor("one", "t1", "a")}, now);
    node.handle(PeerMessage{"t1", beginFor("two", "t1", "b")}, now);
    const auto replies = node.take<BeginReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_TRUE(replies[0].reason == ReasonCode::LimitReached);
    CHECK_TRUE(replies[0].state == KeyState::Unknown);
}

// Guards against answers that outgrow the log, and against an empty answer that looks like a real
// one.
TEST(Owner, largeAnswerIsNotLoggedAndSaidToBeMissing)
{
    Node node(log, "o");
    start(node);
    const auto begin = beginFor(key, "t1", "a");
    node.handle(PeerMessage{"t1", begin}, now);
    settleDown(node);
    node.handle(PeerMessage{"t1", settleFor(begin, Verdict::Ran, std::string(5000, 'x'))}, now);
    settleDown(node);
    node.sent.clear();
    node.handle(PeerMessage{"e", queryFor(key)}, now);
    CHECK_EQUAL(5000U, node.take<KeyReply>().at(0).answer.size());
    Node other(log, "n");
    makeOwnerOf(other, 2);
    other.handle(PeerMessage{"e", queryFor(key)}, now);
    const auto replies = other.take<KeyReply>();
    CHECK_TRUE(replies[0].verdict == Verdict::Ran);
    CHECK_TRUE(replies[0].answer.empty());
    CHECK_TRUE(replies[0].detail.find("5000 bytes") != std::string::npos);
}

TEST(Owner, retainedKeysAreAppendedAgainBeforeTheLogForgetsThem)
{
    OwnerOptions options;
    options.refreshMs = 60000;
    options.finishedRetentionMs = 300000;
    Node node(log, "o", options);
    start(node);
    const auto begin = beginFor(key, "t1", "a");
    node.handle(PeerMessage{"t1", begin}, now);
    settleDown(node);
    node.handle(PeerMessage{"t1", settleFor(begin, Verdict::Ran, "paid")}, now);
    settleDown(node);
    const auto trim = log.lines.size();
    node.run(now, now + 120000);
    Node late(log, "n", options);
    auto read = log.readFrom(trim);
    read.trimmed = true;
    late.handle(read, now);
    CHECK_TRUE(late.owner.keys.at(key).phase == KeyPhase::Finished);
    CHECK_EQUAL(std::string("paid"), late.owner.keys.at(key).answer);
    CHECK_EQUAL(std::string("o"), ownerOf(late.owner.map, "west", rangeOf(key)).agent);
    CHECK_EQUAL(1U, ownerOf(late.owner.map, "west", rangeOf(key)).epoch);
    late.handle(Tick{}, now);
    node.run(now, now + 300000);
    CHECK_EQUAL(0U, node.owner.keys.count(key));
}

TEST(Owner, watchersAreToldOfANewOwnerAndDroppedWithTheirProcess)
{
    Node node(log, "o");
    start(node);
    node.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    settleDown(node);
    node.handle(PeerMessage{"e1", queryFor(key)}, now);
    node.handle(PeerMessage{"e2", queryFor(key)}, now);
    node.handle(PeerDown{"e1"}, now);
    CHECK_EQUAL(1U, node.owner.watcherCount);
    node.sent.clear();
    log.append({epochLine("west", rangeOf(key), 2, "t2")});
    settleDown(node);
    const auto replies = node.take<KeyReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_TRUE(replies[0].state == KeyState::WrongOwner);
}

// A woken owner must not take the time it was paused for an outage of the log.
TEST(Owner, pausedOwnerWaitsForTheLogAgain)
{
    Node node(log, "o");
    start(node);
    settleDown(node);
    node.reads = false;
    node.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    now += 60000;
    node.run(now, now + 1500);
    CHECK_EQUAL(0U, node.take<BeginReply>().size());
    CHECK_EQUAL(1U, node.owner.counters.pauses);
    node.reads = true;
    node.run(now, now + 1000);
    CHECK_EQUAL(1U, node.take<BeginReply>().size());
}

TEST(Owner, missedRecordsEndOwnership)
{
    Node node(log, "o");
    start(node);
    LogRead read;
    read.stream = claimsStream;
    read.trimmed = true;
    read.next = log.lines.size() + 100;
    node.handle(read, now);
    CHECK_TRUE(ownerMustRestart(node.owner));
    CHECK_TRUE(node.owner.ranges.empty());
}

TEST(Owner, dumpIsJsonWithKeysAndRanges)
{
    Node node(log, "o");
    start(node);
    node.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    const auto json = nlohmann::json::parse(dumpOwner(node.owner, now));
    CHECK_EQUAL(std::string("claiming"), json["keys"][key]["phase"].get<std::string>());
    CHECK_EQUAL(rangesPerRegion, json["ranges"].size());
}

TEST_GROUP(RangeMap)
{
    RangeMap map;

    void replay(const std::vector<std::string> &texts, bool trimmed = false)
    {
        LogRead read;
        read.stream = claimsStream;
        read.trimmed = trimmed;
        for (const auto &text : texts) {
            read.lines.emplace_back();
            read.lines.back().offset = this->map.nextOffset + read.lines.size() - 1;
            read.lines.back().text = text;
        }
        read.next = this->map.nextOffset + texts.size();
        applyClaims(this->map, read);
    }
};

TEST(RangeMap, firstEpochRecordWins)
{
    replay(
        {epochLine("west", 3, 1, "a"), epochLine("west", 3, 1, "b"), epochLine("west", 3, 3, "c")});
    CHECK_EQUAL(std::string("a"), ownerOf(map, "west", 3).agent);
    CHECK_EQUAL(1U, ownerOf(map, "west", 3).epoch);
    CHECK_EQUAL(2U, map.voided);
}

TEST(RangeMap, malformedLinesAreCountedAndIgnored)
{
    replay({"", "{", "[]", R"({"type":"Epoch"})",
            R"({"type":"Epoch","region":"w","range":16,"epoch":1})", R"({"type":"Lost","agent":7})",
            R"({"type":"Claim","region":"w","range":1,"epoch":-1})"});
    CHECK_EQUAL(7U, map.malformed);
    CHECK_TRUE(map.owners.empty());
}

TEST(RangeMap, replacedProcessOwnsNothing)
{
    replay(
        {announceLine("a", "west", 1), epochLine("west", 3, 1, "a"), announceLine("a", "west", 2)});
    CHECK_TRUE(ownerOf(map, "west", 3).agent.empty());
    CHECK_EQUAL(1U, ownerOf(map, "west", 3).epoch);
}

TEST(RangeMap, replayOfATrimmedLogIsCorrectedByTheOwnersRecords)
{
    ClaimsRecord clean;
    clean.kind = RecordKind::Clean;
    clean.region = "west";
    clean.range = 3;
    clean.epoch = 7;
    clean.owner = "a";
    clean.ownerIncarnation = 1;
    clean.sequence = 40;
    clean.seen = 5;
    replay({epochLine("west", 3, 7, "b", 1), claimsLine(clean)}, true);
    CHECK_EQUAL(std::string("a"), ownerOf(map, "west", 3).agent);
    CHECK_EQUAL(7U, ownerOf(map, "west", 3).epoch);
}

TEST_GROUP(Takeovers)
{
    RangeMap map;
    std::map<std::string, TimeMs, std::less<>> lastContact;
    TakeoverTimers timers;
    Random random{5};
    TimeMs now = 100000;

    void replay(const std::vector<std::string> &texts)
    {
        LogRead read;
        read.stream = claimsStream;
        for (const auto &text : texts) {
            read.lines.emplace_back();
            read.lines.back().offset = this->map.nextOffset + read.lines.size() - 1;
            read.lines.back().text = text;
        }
        applyClaims(this->map, read);
    }

    std::vector<std::string> propose(TimeMs forMs)
    {
        std::vector<std::string> all;
        for (const TimeMs end = this->now + forMs; this->now < end; this->now += 500) {
            auto lines = proposeTakeovers(this->map, "west", this->lastContact, {}, this->now,
                                          this->timers, this->random);
            replay(lines);
            std::move(lines.begin(), lines.end(), std::back_inserter(all));
        }
        return all;
    }

    std::map<std::string, std::uint32_t> owned()
    {
        std::map<std::string, std::uint32_t> count;
        for (std::uint32_t range = 0; range < rangesPerRegion; ++range)
            ++count[ownerOf(this->map, "west", range).agent];
        return count;
    }
};

TEST(Takeovers, rangesAreSharedEvenly)
{
    for (const auto *const agent : {"a", "b", "c", "d", "e"}) {
        replay({announceLine(agent, "west", 1)});
        lastContact[agent] = now + 1000000;
    }
    replay({announceLine("far", "east", 1)});
    lastContact["far"] = now + 100000;
    CHECK_EQUAL(std::size_t(rangesPerRegion), propose(5000).size());
    for (const auto &[agent, count] : owned()) {
        CHECK_TRUE(agent != "far" && !agent.empty());
        CHECK_TRUE(count <= 4);
    }
    CHECK_EQUAL(0U, propose(200000).size());
}

TEST(Takeovers, unreachableOwnerIsReplacedAndRecordedAsLost)
{
    replay({announceLine("a", "west", 1), announceLine("b", "west", 1)});
    lastContact["a"] = now;
    lastContact["b"] = now + 100000;
    propose(5000);
    CHECK_EQUAL(8U, owned()["a"]);
    CHECK_EQUAL(0U, propose(4500).size());
    propose(6000);
    CHECK_EQUAL(16U, owned()["b"]);
    CHECK_TRUE(map.agents.at("a").lost);
}

TEST(Takeovers, overloadedOwnerGivesRangesAwaySlowly)
{
    for (const auto *const agent : {"a", "b", "c", "d"}) {
        replay({announceLine(agent, "west", 1)});
        lastContact[agent] = now + 10000000;
    }
    for (std::uint32_t range = 0; range < rangesPerRegion; ++range)
        replay({epochLine("west", range, 1, "a")});
    CHECK_TRUE(propose(120000).size() <= 2);
    propose(1500000);
    for (const auto &[agent, count] : owned())
        CHECK_TRUE(count <= 5);
}

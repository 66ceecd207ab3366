// Tests each step of the protocol in section 6.4 of docs/design.md: which attempt receives a grant,
// when, and what the replies state.

#include "flamingo/owner.h"

#include <nlohmann/json.hpp>

#include <algorithm>

// Last, because it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace flamingo;

namespace {

// A log that appends every batch in order and can be made unreachable.
struct FakeLog
{
    std::vector<wire::LogLineT> lines;
    bool reachable = true;

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

// One owner process with its log; other processes exist only as names in messages and records.
struct OwnerProcess
{
    Owner owner;
    FakeLog &log;
    Random random{1};
    std::vector<Send> sent;
    bool readsLog = true;

    OwnerProcess(FakeLog &log, const std::string &name, OwnerOptions options = {})
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
            if (!this->log.reachable)
                continue;
            const auto next = this->log.append(append.lines);
            this->handle(LogAppended{append.id, true, next - 1}, now);
        }
    }

    // Handles a tick every 100 ms until `until`, and reads the log after each one.
    void runUntil(TimeMs &now, TimeMs until)
    {
        for (; now < until; now += 100) {
            this->handle(Tick{}, now);
            if (this->log.reachable && this->readsLog)
                this->handle(this->log.readFrom(this->owner.map.nextOffset), now);
        }
    }

    // Returns the sent messages of type T and removes all sent messages.
    template <typename T>
    std::vector<T> takeSent()
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

WitnessReply witnessReplyFrom(const std::string &agent, const std::string &key, std::uint64_t epoch)
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

    // Announces agents t1 and t2 and makes `owner` the owner of every range at epoch 1.
    void startOwner(OwnerProcess & owner)
    {
        this->log.append({announceLine("t1", "west", 1), announceLine("t2", "west", 1)});
        this->giveAllRangesTo(owner, 1);
    }

    void giveAllRangesTo(OwnerProcess & owner, std::uint64_t epoch)
    {
        owner.runUntil(this->now, this->now + 1000);
        for (std::uint32_t range = 0; range < rangesPerRegion; ++range)
            this->log.append({epochLine("west", range, epoch, owner.owner.options.self)});
        owner.runUntil(this->now, this->now + 1000);
        owner.sent.clear();
    }

    void runTwoSeconds(OwnerProcess & owner)
    {
        owner.runUntil(this->now, this->now + 2000);
    }
};

TEST(Owner, grantIsSentOnlyAfterTheClaimIsReadBack)
{
    OwnerProcess process(log, "o");
    startOwner(process);
    process.readsLog = false;
    process.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    now += 600;
    process.handle(Tick{}, now);
    CHECK_EQUAL(0U, process.takeSent<BeginReply>().size());
    process.readsLog = true;
    process.runUntil(now, now + 200);
    const auto replies = process.takeSent<BeginReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_TRUE(replies[0].granted);
}

TEST(Owner, voidClaimOfATakenOverRangeIsNotGranted)
{
    OwnerProcess process(log, "o");
    startOwner(process);
    log.append({epochLine("west", rangeOf(key), 2, "t2")});
    process.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    process.runUntil(now, now + 5000);
    for (const auto &reply : process.takeSent<BeginReply>())
        CHECK_FALSE(reply.granted);
    process.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    const auto replies = process.takeSent<BeginReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_TRUE(replies[0].state == KeyState::WrongOwner);
}

TEST(Owner, sameAttemptGetsTheSameGrantAndAnotherIsDenied)
{
    OwnerProcess process(log, "o");
    startOwner(process);
    process.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    runTwoSeconds(process);
    process.sent.clear();
    process.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    process.handle(PeerMessage{"t2", beginFor(key, "t2", "b")}, now);
    auto replies = process.takeSent<BeginReply>();
    CHECK_EQUAL(2U, replies.size());
    CHECK_TRUE(replies[0].granted);
    CHECK_FALSE(replies[1].granted);
    CHECK_TRUE(replies[1].state == KeyState::Running);
    CHECK_TRUE(replies[1].reason == ReasonCode::AlreadyClaimed);

    process.handle(PeerMessage{"t1", settleFor(beginFor(key, "t1", "a"), Verdict::Ran, "paid")},
                   now);
    runTwoSeconds(process);
    CHECK_EQUAL(1U, process.takeSent<SettleAck>().size());
    process.handle(PeerMessage{"t2", beginFor(key, "t2", "b")}, now);
    replies = process.takeSent<BeginReply>();
    CHECK_FALSE(replies[0].granted);
    CHECK_TRUE(replies[0].state == KeyState::Finished);
}

TEST(Owner, notRunReleasesTheKeyForAnotherAttemptOnly)
{
    OwnerProcess process(log, "o");
    startOwner(process);
    const auto first = beginFor(key, "t1", "a");
    process.handle(PeerMessage{"t1", first}, now);
    runTwoSeconds(process);
    process.handle(PeerMessage{"e", queryFor(key)}, now);
    process.handle(PeerMessage{"t1", settleFor(first, Verdict::NotRun)}, now);
    process.handle(PeerMessage{"t2", settleFor(beginFor(key, "t2", "b"), Verdict::Ran)}, now);
    runTwoSeconds(process);
    const auto watched = process.takeSent<KeyReply>();
    CHECK_EQUAL(2U, watched.size());
    CHECK_TRUE(watched[0].state == KeyState::Running);
    CHECK_TRUE(watched[1].state == KeyState::Unknown);
    CHECK_TRUE(watched[1].verdict == Verdict::NotRun);
    process.handle(PeerMessage{"t1", first}, now);
    process.handle(PeerMessage{"t2", beginFor(key, "t2", "b")}, now);
    runTwoSeconds(process);
    const auto replies = process.takeSent<BeginReply>();
    CHECK_EQUAL(2U, replies.size());
    CHECK_FALSE(replies[0].granted);
    CHECK_TRUE(replies[1].granted);
    CHECK_EQUAL(std::string("b"), replies[1].attempt);
}

TEST(Owner, keyOfALostTargetStaysMayHaveRun)
{
    OwnerProcess process(log, "o");
    startOwner(process);
    const auto first = beginFor(key, "t1", "a");
    process.handle(PeerMessage{"t1", first}, now);
    runTwoSeconds(process);
    process.handle(PeerMessage{"e", queryFor(key)}, now);
    log.append({announceLine("t1", "west", 2)});
    runTwoSeconds(process);
    const auto watched = process.takeSent<KeyReply>();
    CHECK_EQUAL(2U, watched.size());
    CHECK_TRUE(watched[1].state == KeyState::MayHaveRun);
    process.handle(PeerMessage{"t1", settleFor(first, Verdict::NotRun)}, now);
    runTwoSeconds(process);
    process.sent.clear();
    process.handle(PeerMessage{"t2", beginFor(key, "t2", "b")}, now);
    const auto replies = process.takeSent<BeginReply>();
    CHECK_FALSE(replies[0].granted);
    CHECK_TRUE(replies[0].state == KeyState::MayHaveRun);
}

TEST(Owner, memoryModeGrantsOnlyToOtherAnnouncedAgentsAndLogsLater)
{
    OwnerProcess process(log, "o");
    startOwner(process);
    runTwoSeconds(process); // Clean records are read back
    const auto logged = log.lines.size();
    log.reachable = false;
    process.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    process.runUntil(now, now + 1500);
    CHECK_EQUAL(0U, process.takeSent<BeginReply>().size());
    process.runUntil(now, now + 1500);
    auto replies = process.takeSent<BeginReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_TRUE(replies[0].granted);

    process.handle(PeerMessage{"o", beginFor("own", "o", "b")}, now);
    process.handle(PeerMessage{"t9", beginFor("new", "t9", "c")}, now);
    process.runUntil(now, now + 3000);
    replies = process.takeSent<BeginReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_FALSE(replies[0].granted);
    CHECK_EQUAL(logged, log.lines.size());

    log.reachable = true;
    process.runUntil(now, now + 8000);
    CHECK_FALSE(process.owner.memoryMode);
    CHECK_TRUE(log.lines.size() > logged);
}

TEST(Owner, memoryModeNeedsACleanRecordOfTheEpoch)
{
    OwnerProcess process(log, "o");
    log.append({announceLine("t1", "west", 1)});
    process.runUntil(now, now + 1000);
    log.append({epochLine("west", rangeOf(key), 1, "o")});
    process.handle(log.readFrom(process.owner.map.nextOffset), now);
    log.reachable = false;
    process.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    process.runUntil(now, now + 10000);
    CHECK_TRUE(process.owner.memoryMode);
    for (const auto &reply : process.takeSent<BeginReply>())
        CHECK_FALSE(reply.granted);
}

TEST(Owner, takeoverGrantsUnknownKeysOnlyAfterAllWitnessReplies)
{
    OwnerProcess former(log, "o");
    startOwner(former);
    runTwoSeconds(former);
    const auto known = beginFor(key, "t1", "a");
    former.handle(PeerMessage{"t1", known}, now);
    runTwoSeconds(former);

    OwnerProcess process(log, "n");
    giveAllRangesTo(process, 2);
    process.handle(PeerMessage{"t1", known}, now);
    process.handle(PeerMessage{"t2", beginFor("other", "t2", "b")}, now);
    auto replies = process.takeSent<BeginReply>();
    CHECK_EQUAL(2U, replies.size());
    CHECK_TRUE(replies[0].granted);
    CHECK_EQUAL(2U, replies[0].epoch);
    CHECK_TRUE(replies[1].reason == ReasonCode::TakeoverIncomplete);
    CHECK_TRUE(replies[1].state == KeyState::MayHaveRun);

    auto reply = witnessReplyFrom("t2", "other", 2);
    reply.keys.resize(1);
    reply.keys[0].key = "other";
    reply.keys[0].attempt = "z";
    reply.keys[0].finished = true;
    reply.keys[0].verdict = Verdict::Ran;
    reply.keys[0].answer = "done";
    process.handle(PeerMessage{"t2", reply}, now);
    for (const auto *const agent : {"t1", "o", "n"})
        process.handle(PeerMessage{agent, witnessReplyFrom(agent, "other", 2)}, now);
    runTwoSeconds(process);
    process.sent.clear();
    process.handle(PeerMessage{"e", queryFor("other")}, now);
    const auto answers = process.takeSent<KeyReply>();
    CHECK_TRUE(answers[0].state == KeyState::Finished);
    CHECK_EQUAL(std::string("done"), answers[0].answer);
    CHECK_TRUE(process.owner.ranges.at(rangeOf("other")).complete);
}

// Guards against reporting a key that failed under the former owner as a success with an empty
// answer: the new owner must take the reason from the WitnessReply.
TEST(Owner, failureReportedInAWitnessReplyKeepsItsReason)
{
    OwnerProcess former(log, "o");
    startOwner(former);
    runTwoSeconds(former);
    OwnerProcess process(log, "n");
    giveAllRangesTo(process, 2);
    auto reply = witnessReplyFrom("t2", "other", 2);
    reply.keys.resize(1);
    reply.keys[0].key = "other";
    reply.keys[0].attempt = "z";
    reply.keys[0].finished = true;
    reply.keys[0].verdict = Verdict::Ran;
    reply.keys[0].reason = ReasonCode::TaskFailed;
    reply.keys[0].detail = "no driver";
    process.handle(PeerMessage{"t2", reply}, now);
    runTwoSeconds(process);
    process.sent.clear();
    process.handle(PeerMessage{"e", queryFor("other")}, now);
    const auto answers = process.takeSent<KeyReply>();
    CHECK_TRUE(answers[0].state == KeyState::Finished);
    CHECK_TRUE(answers[0].reason == ReasonCode::TaskFailed);
    CHECK_EQUAL(std::string("no driver"), answers[0].detail);
}

// Guards against a takeover that is complete too early: the former owner writes a Clean record
// without having read a loss before it, and may still grant a key to the lost target from memory.
// `seen` in the Clean record shows that the loss is not covered.
TEST(Owner, cleanRecordWrittenBeforeReadingTheLossDoesNotCoverTheTarget)
{
    OwnerProcess former(log, "o");
    startOwner(former);
    former.readsLog = false;
    log.append({lostLine("t1", 1)});
    now += 5000; // after a pause the owner appends Clean records
    former.runUntil(now, now + 8000);
    const auto last = parseClaimsRecord(log.lines.back().text);
    CHECK_TRUE(last && last->kind == RecordKind::Clean);
    former.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    former.runUntil(now, now + 8000);

    OwnerProcess process(log, "n");
    giveAllRangesTo(process, 2);
    for (const auto *const agent : {"t2", "o", "n"})
        process.handle(PeerMessage{agent, witnessReplyFrom(agent, key, 2)}, now);
    CHECK_FALSE(process.owner.ranges.at(rangeOf(key)).complete);
}

// Guards against a takeover that stays incomplete because of a lost target although the former
// owner still runs and hands over, and against a former owner that keeps its unlogged grant and
// uses it when it owns the range again.
TEST(Owner, handoverCompletesTheTakeoverWithItsMemoryGrants)
{
    OwnerProcess former(log, "o");
    startOwner(former);
    runTwoSeconds(former);
    log.reachable = false;
    former.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    former.runUntil(now, now + 3000);
    CHECK_TRUE(former.takeSent<BeginReply>().at(0).granted);
    log.append({epochLine("west", rangeOf(key), 2, "n"), lostLine("t1", 1)});
    OwnerProcess process(log, "n");
    process.handle(log.readFrom(0), now);
    log.append({announceLine("n", "west", 1), epochLine("west", rangeOf(key), 3, "n")});
    process.handle(log.readFrom(process.owner.map.nextOffset), now);
    CHECK_FALSE(process.owner.ranges.at(rangeOf(key)).complete);
    log.reachable = true;
    former.runUntil(now, now + 2000);
    CHECK_EQUAL(0U, former.owner.keys.count(key));
    process.handle(log.readFrom(process.owner.map.nextOffset), now);
    CHECK_TRUE(process.owner.ranges.at(rangeOf(key)).complete);
    CHECK_TRUE(process.owner.keys.at(key).phase == KeyPhase::MayHaveRun);
    CHECK_EQUAL(std::string("a"), process.owner.keys.at(key).attempt);
}

// Guards against a former owner that keeps a state which was never logged.
TEST(Owner, lostRangeRevertsToTheLoggedState)
{
    OwnerProcess process(log, "o");
    startOwner(process);
    const auto first = beginFor(key, "t1", "a");
    process.handle(PeerMessage{"t1", first}, now);
    runTwoSeconds(process);
    log.reachable = false;
    process.handle(PeerMessage{"t1", settleFor(first, Verdict::NotRun)}, now);
    process.handle(PeerMessage{"t2", beginFor(key, "t2", "b")}, now);
    process.runUntil(now, now + 3000);
    CHECK_EQUAL(std::string("b"), process.owner.keys.at(key).attempt);
    log.append({epochLine("west", rangeOf(key), 2, "t2")});
    log.reachable = true;
    process.runUntil(now, now + 200);
    CHECK_EQUAL(std::string("a"), process.owner.keys.at(key).attempt);
    CHECK_TRUE(process.owner.keys.at(key).phase == KeyPhase::Granted);
}

// Guards against a key that stays Running for ever because its grant was lost and the target has
// abandoned the attempt.
TEST(Owner, unsettledGrantIsSentAgain)
{
    OwnerProcess process(log, "o");
    startOwner(process);
    process.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    runTwoSeconds(process);
    CHECK_EQUAL(1U, process.takeSent<BeginReply>().size());
    process.runUntil(now, now + 45000);
    const auto replies = process.takeSent<BeginReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_TRUE(replies[0].granted);
}

TEST(Owner, attemptMissingFromTheWitnessReplyIsReleased)
{
    OwnerProcess former(log, "o");
    startOwner(former);
    runTwoSeconds(former);
    former.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    runTwoSeconds(former); // the grant is lost on the way

    OwnerProcess process(log, "n");
    giveAllRangesTo(process, 2);
    // The target lists the key, but under an attempt that it abandoned earlier.
    auto listed = witnessReplyFrom("t1", key, 2);
    listed.keys.resize(1);
    listed.keys[0].key = key;
    listed.keys[0].attempt = "older";
    listed.keys[0].finished = true;
    process.handle(PeerMessage{"t1", listed}, now);
    for (const auto *const agent : {"t2", "o", "n"})
        process.handle(PeerMessage{agent, witnessReplyFrom(agent, key, 2)}, now);
    process.handle(PeerMessage{"t2", beginFor(key, "t2", "b")}, now);
    runTwoSeconds(process);
    const auto replies = process.takeSent<BeginReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_TRUE(replies[0].granted);
}

TEST(Owner, incompleteTakeoverRecordsTheSettleOfAMemoryGrant)
{
    OwnerProcess former(log, "o");
    startOwner(former);
    runTwoSeconds(former);
    OwnerProcess process(log, "n");
    giveAllRangesTo(process, 2);
    process.handle(PeerMessage{"t1", settleFor(beginFor(key, "t1", "a"), Verdict::Ran, "x")}, now);
    runTwoSeconds(process);
    CHECK_EQUAL(1U, process.takeSent<SettleAck>().size());
    for (const auto *const agent : {"t1", "t2", "o", "n"})
        process.handle(PeerMessage{agent, witnessReplyFrom(agent, key, 2)}, now);
    process.handle(PeerMessage{"t2", beginFor(key, "t2", "b")}, now);
    const auto replies = process.takeSent<BeginReply>();
    CHECK_TRUE(replies.at(0).state == KeyState::Finished);
}

TEST(Owner, appendWithoutResultIsRepeatedWithoutASecondEffect)
{
    OwnerProcess process(log, "o");
    startOwner(process);
    runTwoSeconds(process);
    const auto begin = beginFor(key, "t1", "a");
    Outbox out;
    handleOwner(process.owner, PeerMessage{"t1", begin}, now, process.random, out);
    CHECK_EQUAL(1U, out.appends.size());
    const auto lateCopy = out.appends[0].lines;
    process.handle(LogAppended{out.appends[0].id, false, 0}, now);
    runTwoSeconds(process);
    CHECK_EQUAL(1U, process.takeSent<BeginReply>().size());
    process.handle(PeerMessage{"t1", settleFor(begin, Verdict::NotRun)}, now);
    runTwoSeconds(process);
    log.append(lateCopy);
    runTwoSeconds(process);
    CHECK_TRUE(process.owner.keys.at(key).phase == KeyPhase::Released);
    OwnerProcess other(log, "n");
    giveAllRangesTo(other, 2);
    CHECK_TRUE(other.owner.keys.at(key).phase == KeyPhase::Released);
}

TEST(Owner, ownerAtMaxKeysRefusesFurtherKeys)
{
    OwnerOptions options;
    options.maxKeys = 1;
    OwnerProcess process(log, "o", options);
    startOwner(process);
    process.handle(PeerMessage{"t1", beginFor("one", "t1", "a")}, now);
    process.handle(PeerMessage{"t1", beginFor("two", "t1", "b")}, now);
    const auto replies = process.takeSent<BeginReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_TRUE(replies[0].reason == ReasonCode::LimitReached);
    CHECK_TRUE(replies[0].state == KeyState::Unknown);
}

// Guards against answers that are too large for the log, and against an empty answer after a
// takeover that cannot be told from the target's real answer.
TEST(Owner, largeAnswerIsNotLoggedAndReportedAsMissing)
{
    OwnerProcess process(log, "o");
    startOwner(process);
    const auto begin = beginFor(key, "t1", "a");
    process.handle(PeerMessage{"t1", begin}, now);
    runTwoSeconds(process);
    process.handle(PeerMessage{"t1", settleFor(begin, Verdict::Ran, std::string(5000, 'x'))}, now);
    runTwoSeconds(process);
    process.sent.clear();
    process.handle(PeerMessage{"e", queryFor(key)}, now);
    CHECK_EQUAL(5000U, process.takeSent<KeyReply>().at(0).answer.size());
    OwnerProcess other(log, "n");
    giveAllRangesTo(other, 2);
    other.handle(PeerMessage{"e", queryFor(key)}, now);
    const auto replies = other.takeSent<KeyReply>();
    CHECK_TRUE(replies[0].verdict == Verdict::Ran);
    CHECK_TRUE(replies[0].answer.empty());
    CHECK_TRUE(replies[0].detail.find("5000 bytes") != std::string::npos);
}

TEST(Owner, retainedKeysAreAppendedAgainBeforeLogRetentionEnds)
{
    OwnerOptions options;
    options.refreshMs = 60000;
    options.finishedRetentionMs = 300000;
    OwnerProcess process(log, "o", options);
    startOwner(process);
    const auto begin = beginFor(key, "t1", "a");
    process.handle(PeerMessage{"t1", begin}, now);
    runTwoSeconds(process);
    process.handle(PeerMessage{"t1", settleFor(begin, Verdict::Ran, "paid")}, now);
    runTwoSeconds(process);
    const auto trim = log.lines.size();
    process.runUntil(now, now + 120000);
    OwnerProcess trimmedReplay(log, "n", options);
    auto read = log.readFrom(trim);
    read.trimmed = true;
    trimmedReplay.handle(read, now);
    CHECK_TRUE(trimmedReplay.owner.keys.at(key).phase == KeyPhase::Finished);
    CHECK_EQUAL(std::string("paid"), trimmedReplay.owner.keys.at(key).answer);
    CHECK_EQUAL(std::string("o"), ownerOf(trimmedReplay.owner.map, "west", rangeOf(key)).agent);
    CHECK_EQUAL(1U, ownerOf(trimmedReplay.owner.map, "west", rangeOf(key)).epoch);
    trimmedReplay.handle(Tick{}, now);
    process.runUntil(now, now + 300000);
    CHECK_EQUAL(0U, process.owner.keys.count(key));
}

TEST(Owner, watchersAreNotifiedOfANewOwnerAndRemovedWithTheirProcess)
{
    OwnerProcess process(log, "o");
    startOwner(process);
    process.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    runTwoSeconds(process);
    process.handle(PeerMessage{"e1", queryFor(key)}, now);
    process.handle(PeerMessage{"e2", queryFor(key)}, now);
    process.handle(PeerDown{"e1"}, now);
    CHECK_EQUAL(1U, process.owner.watcherCount);
    process.sent.clear();
    log.append({epochLine("west", rangeOf(key), 2, "t2")});
    runTwoSeconds(process);
    const auto replies = process.takeSent<KeyReply>();
    CHECK_EQUAL(1U, replies.size());
    CHECK_TRUE(replies[0].state == KeyState::WrongOwner);
}

// Guards against an owner that counts the time of its own pause as an outage of the log and enters
// memory mode at once.
TEST(Owner, memoryModeTimeoutRestartsAfterAPause)
{
    OwnerProcess process(log, "o");
    startOwner(process);
    runTwoSeconds(process);
    process.readsLog = false;
    process.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    now += 60000;
    process.runUntil(now, now + 1500);
    CHECK_EQUAL(0U, process.takeSent<BeginReply>().size());
    CHECK_EQUAL(1U, process.owner.counters.pauses);
    process.readsLog = true;
    process.runUntil(now, now + 1000);
    CHECK_EQUAL(1U, process.takeSent<BeginReply>().size());
}

TEST(Owner, missedRecordsEndOwnership)
{
    OwnerProcess process(log, "o");
    startOwner(process);
    LogRead read;
    read.stream = claimsStream;
    read.trimmed = true;
    read.next = log.lines.size() + 100;
    process.handle(read, now);
    CHECK_TRUE(ownerMustRestart(process.owner));
    CHECK_TRUE(process.owner.ranges.empty());
}

TEST(Owner, dumpIsJsonWithKeysAndRanges)
{
    OwnerProcess process(log, "o");
    startOwner(process);
    process.handle(PeerMessage{"t1", beginFor(key, "t1", "a")}, now);
    const auto json = nlohmann::json::parse(dumpOwner(process.owner, now));
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
    map.nextOffset = 1000; // the lines before it were trimmed
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

TEST(Takeovers, overloadedOwnerIsRebalancedGradually)
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

// Guards against requests without a reply or with two, against wrong verdicts, against starvation
// of large jobs, and against edits that are reported as accepted before they are in force
// everywhere.

#include "tests/entry_rig.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace flamingo;
using namespace flamingo::tests;

namespace {

JobState findJobState(const Rig &rig, const std::string &job)
{
    return rig.entry.jobs.at(rig.entry.byId.at(job))->state;
}

} // namespace

TEST_GROUP(Entry){};

TEST(Entry, aJobIsStartedAndItsAnswerReachesTheCallerOnce)
{
    auto rig = rigWithAgents(2);
    rig.submit("r1", job("a", 4));
    const auto starts = rig.takeSent<Start>();
    CHECK_EQUAL(1U, starts.size());
    const auto &[agent, start] = starts.front();
    rig.handleFrom(agent, accepted(start));
    rig.handleFrom(agent, ran(start, "42"));
    rig.handleFrom(agent, ran(start, "43"));
    const auto replies = rig.takeReplies();
    CHECK_EQUAL(1U, replies.size());
    CHECK_EQUAL(std::string("42"), replies[0].answer);
    CHECK(replies[0].verdict == Verdict::Ran);
    CHECK_EQUAL(2U, rig.takeSent<OutcomeAck>().size());
}

// ---- Admission ----

TEST(Entry, refusedSubmissionsHaveVerdictNotRunAndNameTheField)
{
    auto rig = rigWithAgents(2);
    rig.advance(4000);
    const auto refused = [&rig](const JobSpec &spec, ReasonCode code, std::string_view field) {
        rig.submit("r", spec);
        const auto replies = rig.takeReplies();
        CHECK_EQUAL(1U, replies.size());
        CHECK(replies[0].verdict == Verdict::NotRun);
        CHECK(replies[0].reason.code == code);
        CHECK(replies[0].reason.text.find(field) != std::string::npos);
    };
    refused(job("c", 1), ReasonCode::UnknownOrganisation, "organisation");
    refused(job("a", 9), ReasonCode::ImpossibleShape, "accelerators");
    auto gang = job("a", 8);
    gang.members = 3;
    refused(gang, ReasonCode::ImpossibleShape, "members");
    gang.members = 513;
    refused(gang, ReasonCode::ImpossibleShape, "members");
    auto unkeyed = job("a", 1);
    unkeyed.idempotent = false;
    refused(unkeyed, ReasonCode::InvalidInput, "key");
    auto large = job("a", 1);
    large.payload.assign(maxPayloadBytes + 1, 'x');
    refused(large, ReasonCode::InvalidInput, "payload");
    auto badKey = job("a", 1);
    badKey.key = "line\nbreak";
    refused(badKey, ReasonCode::InvalidInput, "key");
    CHECK(rig.takeSent<Start>().empty());
}

TEST(Entry, aFullQueueRefusesAtOnceWithRetryAfter)
{
    EntryOptions options;
    options.maxQueued = 3;
    auto rig = rigWithAgents(1, options);
    rig.submit("first", job("a", 8));
    for (int i = 0; i < 5; ++i)
        rig.submit("r" + std::to_string(i), job("a", 8));
    const auto replies = rig.takeReplies();
    CHECK_EQUAL(2U, replies.size());
    CHECK(replies[0].verdict == Verdict::NotRun);
    CHECK(replies[0].reason.code == ReasonCode::QueueFull);
    CHECK(replies[0].retryAfterMs > 0);
}

TEST(Entry, tableLimitsApplyWithinABurst)
{
    auto rig = rigWithAgents(4);
    rig.editTable(
        R"({"organisations": [{"name": "a", "homeRegion": "west", "limitAccelerators": 12}]})");
    rig.deliverAppends();
    for (int i = 0; i < 6; ++i)
        rig.submit("r" + std::to_string(i), job("a", 4));
    CHECK_EQUAL(3U, rig.takeSent<Start>().size());
    CHECK(explainJob(rig.entry, "entry-1.1.4", rig.now).find("limitAccelerators")
          != std::string::npos);
}

TEST(Entry, aQueuedRequestIsRefusedWhenItsDeadlineCannotBeMet)
{
    auto rig = rigWithAgents(1);
    rig.submit("holder", job("a", 8));
    rig.takeSent<Start>();
    auto soon = job("a", 8);
    soon.deadlineMs = 1000;
    rig.submit("soon", soon);
    auto declared = job("a", 8);
    declared.deadlineMs = 1000;
    // Without observed runs, the lower bound of the run time is a tenth of the declared time, here
    // 1100 ms, which exceeds the deadline.
    declared.declaredMs = 11000;
    rig.submit("declared", declared);
    auto replies = rig.takeReplies();
    CHECK_EQUAL(1U, replies.size());
    CHECK_EQUAL(std::string("declared"), replies[0].request);
    rig.advance(1000);
    replies = rig.takeReplies();
    CHECK_EQUAL(1U, replies.size());
    CHECK_EQUAL(std::string("soon"), replies[0].request);
    CHECK(replies[0].verdict == Verdict::NotRun);
    CHECK(replies[0].reason.code == ReasonCode::DeadlinePassed);
}

TEST(Entry, runTimeEstimatesFollowObservedRunTimes)
{
    auto rig = rigWithAgents(1);
    for (int i = 0; i < 20; ++i) {
        auto spec = job("a", 8);
        spec.declaredMs = 100;
        rig.submit("r", spec);
        const auto [agent, start] = rig.takeSent<Start>().at(0);
        rig.handleFrom(agent, accepted(start));
        rig.now += 900;
        rig.handleFrom(agent, ran(start, ""));
    }
    rig.takeReplies();
    auto spec = job("a", 8);
    spec.declaredMs = 100;
    spec.deadlineMs = 500;
    rig.submit("late", spec);
    const auto replies = rig.takeReplies();
    CHECK_EQUAL(1U, replies.size());
    CHECK(replies[0].reason.code == ReasonCode::DeadlinePassed);
}

// ---- Queue ----

TEST(Entry, aLargeJobIsNotStarvedBySmallOnes)
{
    auto rig = rigWithAgents(3);
    std::map<std::string, std::pair<std::string, Start>> running; // by attempt
    std::map<std::string, std::uint64_t> freeMasks;
    const auto takeStarts = [&rig, &running] {
        for (auto &[agent, start] : rig.takeSent<Start>()) {
            rig.handleFrom(agent, accepted(start));
            running[start.attempt] = {agent, start};
        }
    };
    for (int i = 0; i < 12; ++i)
        rig.submit("s", job("a", 2));
    takeStarts();
    rig.submit("large", job("b", 8));
    int steps = 0;
    bool started = false;
    for (; steps < 200 && !started; ++steps) {
        rig.submit("s", job("a", 2));
        const auto ending = running.begin()->second;
        running.erase(running.begin());
        rig.handleFrom(ending.first, ran(ending.second, ""));
        takeStarts();
        started = std::any_of(running.begin(), running.end(), [](const auto &row) {
            return row.second.second.spec->accelerators == 8;
        });
        rig.now += 10;
    }
    CHECK(started);
    CHECK(steps <= static_cast<int>(maxOvertakes) + 14);
}

TEST(Entry, jobClassAndFairShareDecideTheNextStart)
{
    auto rig = rigWithAgents(1);
    rig.submit("holder", job("a", 8));
    const auto [agent, start] = rig.takeSent<Start>().at(0);
    rig.submit("batch-a", job("a", 8));
    rig.submit("batch-b", job("b", 8));
    auto urgent = job("a", 8);
    urgent.jobClass = JobClass::Urgent;
    rig.submit("urgent-a", urgent);
    rig.handleFrom(agent, accepted(start));
    rig.handleFrom(agent, ran(start, ""));
    const auto second = rig.takeSent<Start>().at(0);
    CHECK(second.second.spec->jobClass == JobClass::Urgent);
    rig.handleFrom(agent, accepted(second.second));
    // The agent reports a task of organisation a, so organisation b is next in the fair sharing.
    auto report = rig.report(agent, 0);
    report.tasks.emplace_back();
    report.tasks.back().organisation = "a";
    report.tasks.back().attempt = "elsewhere";
    report.tasks.back().accelerators = 8;
    rig.handleFrom(agent, report);
    rig.handleFrom(agent, ran(second.second, ""));
    report.sequence = ++rig.sequence;
    report.freeMask = 0xff;
    rig.handleFrom(agent, report);
    CHECK_EQUAL(std::string("b"), rig.takeSent<Start>().at(0).second.spec->organisation);
}

TEST(Entry, manyCancellationsAreAnsweredAtOnce)
{
    auto rig = rigWithAgents(1);
    rig.submit("holder", job("a", 8));
    rig.takeSent<Start>();
    constexpr int count = 5000;
    for (int i = 0; i < count; ++i)
        rig.submit("r" + std::to_string(i), job("a", 8), false);
    const auto jobs = rig.takeReplies();
    for (const auto &reply : jobs)
        rig.handle(CancelJob{"c" + reply.job, reply.job});
    const auto replies = rig.takeReplies();
    CHECK_EQUAL(static_cast<std::size_t>(count), replies.size());
    for (const auto &reply : replies)
        CHECK(reply.verdict == Verdict::NotRun && reply.reason.code == ReasonCode::Cancelled);
    CHECK_EQUAL(0U, rig.entry.queue.size);
}

// ---- Dispatch ----

TEST(Entry, anEvictedJobResumesAtTheFrontWithItsCheckpoint)
{
    auto rig = rigWithAgents(1);
    rig.submit("first", job("a", 8));
    rig.submit("second", job("a", 8));
    const auto [agent, start] = rig.takeSent<Start>().at(0);
    rig.handleFrom(agent, accepted(start));
    Outcome evicted = ran(start, "checkpoint-7");
    evicted.verdict = Verdict::NotRun;
    evicted.reason = ReasonCode::Evicted;
    rig.handleFrom(agent, evicted);
    const auto again = rig.takeSent<Start>().at(0).second;
    CHECK_EQUAL(start.spec->job, again.spec->job);
    CHECK_EQUAL(std::string("checkpoint-7"), again.spec->checkpoint);
    rig.handleFrom(agent, evicted); // repeated; must not end the new attempt
    CHECK(rig.takeSent<Start>().empty());
    CHECK(rig.takeReplies().empty());
}

// Guards against the verdict NotRun for a job that ran in part before it was evicted and whose next
// attempt is then refused.
TEST(Entry, anEvictedJobIsNeverAnsweredAsNotRun)
{
    auto rig = rigWithAgents(1);
    rig.submit("r", job("a", 8));
    const auto [agent, start] = rig.takeSent<Start>().at(0);
    rig.handleFrom(agent, accepted(start));
    Outcome evicted = ran(start, "");
    evicted.verdict = Verdict::NotRun;
    evicted.reason = ReasonCode::Evicted;
    rig.handleFrom(agent, evicted);
    const auto again = rig.takeSent<Start>().at(0).second;
    StartReply refused;
    refused.job = again.spec->job;
    refused.attempt = again.attempt;
    refused.reason = ReasonCode::DeadlinePassed;
    rig.handleFrom(agent, refused);
    const auto replies = rig.takeReplies();
    CHECK_EQUAL(1U, replies.size());
    CHECK(replies[0].verdict == Verdict::MayHaveRun);
}

TEST(Entry, theAttemptOnAnUnreachableAgentIsCancelledAndAnotherAgentIsTried)
{
    auto rig = rigWithAgents(2);
    rig.submit("r", job("a", 8));
    const auto [unreachableAgent, start] = rig.takeSent<Start>().at(0);
    rig.advance(1200);
    const auto cancels = rig.takeSent<Cancel>();
    CHECK_EQUAL(unreachableAgent, cancels.at(0).first);
    CHECK_EQUAL(start.attempt, cancels.at(0).second.attempt);
    const auto [other, second] = rig.takeSent<Start>().at(0);
    CHECK(other != unreachableAgent);
    rig.handleFrom(unreachableAgent, ran(start, "late")); // valid: the job is idempotent
    const auto replies = rig.takeReplies();
    CHECK_EQUAL(1U, replies.size());
    CHECK_EQUAL(std::string("late"), replies[0].answer);
    CHECK_EQUAL(second.attempt, rig.takeSent<Cancel>().at(0).second.attempt);
}

TEST(Entry, aJobThatWasCancelledThroughAnotherEntryIsNotStartedAgain)
{
    for (const auto verdict : {Verdict::NotRun, Verdict::MayHaveRun}) {
        auto rig = rigWithAgents(2);
        rig.submit("r", job("a", 8));
        const auto [agent, start] = rig.takeSent<Start>().at(0);
        rig.handleFrom(agent, accepted(start));
        auto stopped = ran(start, "");
        stopped.verdict = verdict;
        stopped.reason = ReasonCode::Cancelled;
        rig.handleFrom(agent, stopped);
        CHECK(rig.takeSent<Start>().empty());
        const auto reply = rig.takeReplies().at(0);
        CHECK(reply.verdict == verdict && reply.reason.code == ReasonCode::Cancelled);
    }
}

TEST(Entry, aLateOutcomeOfAnOlderAttemptDoesNotAffectTheCurrentOne)
{
    auto rig = rigWithAgents(2);
    rig.submit("r", job("a", 8));
    const auto [unreachableAgent, first] = rig.takeSent<Start>().at(0);
    rig.advance(1200);
    const auto [other, second] = rig.takeSent<Start>().at(0);
    rig.handleFrom(other, accepted(second));
    auto stopped = ran(first, "");
    stopped.verdict = Verdict::NotRun;
    stopped.reason = ReasonCode::Cancelled;
    rig.handleFrom(unreachableAgent, stopped);
    rig.handleFrom(unreachableAgent, stopped);
    CHECK(rig.takeSent<Start>().empty());
    CHECK(findJobState(rig, "entry-1.1.1") == JobState::Running);
    rig.handleFrom(other, ran(second, "42"));
    CHECK_EQUAL(std::string("42"), rig.takeReplies().at(0).answer);
}

namespace {

Rig rigWithRangeOwner(std::size_t agents)
{
    auto rig = rigWithAgents(agents);
    for (std::uint32_t range = 0; range < rangesPerRegion; ++range)
        rig.entry.ranges.owners[{"west", range}].agent = "owner";
    return rig;
}

JobSpec keyed(std::string_view key, bool firstAttempt = false)
{
    auto spec = job("a", 8);
    spec.key = key;
    spec.idempotent = false;
    spec.firstAttempt = firstAttempt;
    spec.homeRegion = "west";
    return spec;
}

KeyReply keyReply(std::string_view key, KeyState state, Verdict verdict, std::string_view text)
{
    KeyReply reply;
    reply.key = key;
    reply.state = state;
    reply.verdict = verdict;
    reply.answer = text;
    return reply;
}

} // namespace

TEST(Entry, aRequestWithAClaimedKeyGetsItsAnswerFromTheRangeOwner)
{
    auto rig = rigWithRangeOwner(2);
    rig.submit("r", keyed("k"));
    const auto [agent, start] = rig.takeSent<Start>().at(0);
    CHECK_EQUAL(std::string("owner"), start.owner);
    auto refused = accepted(start);
    refused.accepted = false;
    refused.reason = ReasonCode::AlreadyClaimed;
    rig.handleFrom(agent, refused);
    CHECK(rig.takeSent<KeyQuery>().at(0).second.watch);
    rig.handleFrom("owner", keyReply("k", KeyState::Running, Verdict::MayHaveRun, ""));
    rig.advance(5000);
    CHECK(rig.takeReplies().empty());
    rig.handleFrom("owner", keyReply("k", KeyState::Finished, Verdict::Ran, "bill 9"));
    rig.handleFrom("owner", keyReply("k", KeyState::Finished, Verdict::Ran, "bill 9"));
    const auto replies = rig.takeReplies();
    CHECK_EQUAL(1U, replies.size());
    CHECK_EQUAL(std::string("bill 9"), replies[0].answer);
    CHECK(rig.takeSent<Start>().empty());
}

TEST(Entry, aClaimedJobOfALostAgentIsAnsweredAsMayHaveRun)
{
    auto rig = rigWithRangeOwner(2);
    rig.submit("r", keyed("k", true));
    const auto [agent, start] = rig.takeSent<Start>().at(0);
    rig.handleFrom(agent, accepted(start));
    rig.handle(PeerDown{agent});
    rig.advance(30000);
    const auto replies = rig.takeReplies();
    CHECK_EQUAL(1U, replies.size());
    CHECK(replies[0].verdict == Verdict::MayHaveRun);
    CHECK(!rig.takeSent<KeyQuery>().empty());
    CHECK(rig.takeSent<Start>().empty());
    CHECK(rig.takeSent<Cancel>().empty());
}

TEST(Entry, aKeyedJobWaitsUntilItsRangeHasAnOwner)
{
    auto rig = rigWithAgents(1);
    rig.submit("r", keyed("k"));
    CHECK(rig.takeSent<Start>().empty());
    rig.entry.ranges.owners[{"west", rangeOf("k")}].agent = "owner";
    rig.advance(2000);
    CHECK_EQUAL(1U, rig.takeSent<Start>().size());
}

TEST(Entry, aRequestWithTheSameKeyJoinsTheJobButWithADifferentSpecIsRefused)
{
    auto rig = rigWithRangeOwner(2);
    rig.submit("r1", keyed("k"));
    auto second = keyed("k");
    second.job = "chosen-by-caller";
    rig.submit("r2", second);
    auto other = keyed("k");
    other.payload = "something else";
    rig.submit("r3", other);
    auto replies = rig.takeReplies();
    CHECK_EQUAL(1U, replies.size());
    CHECK(replies[0].reason.code == ReasonCode::InvalidInput);
    const auto starts = rig.takeSent<Start>();
    CHECK_EQUAL(1U, starts.size());
    rig.handleFrom(starts[0].first, ran(starts[0].second, "x"));
    CHECK_EQUAL(2U, rig.takeReplies().size());
    rig.handle(QueryJob{"q", "chosen-by-caller", false});
    CHECK_EQUAL(std::string("x"), rig.takeReplies().at(0).answer);
}

// ---- Regions ----

TEST(Entry, aJobForAnUnreachableRegionHasVerdictNotRunOnlyIfItWasNeverSent)
{
    auto rig = rigWithAgents(1);
    const auto wait = rig.entry.options.regionWaitMs;
    auto remoteSpec = keyed("k", true);
    remoteSpec.homeRegion = "east";
    rig.submit("first", remoteSpec);
    rig.advance(wait - 100);
    CHECK(rig.takeReplies().empty());
    rig.advance(100);
    CHECK(rig.takeReplies().at(0).verdict == Verdict::NotRun);
    remoteSpec.key = "k2";
    remoteSpec.firstAttempt = false;
    rig.submit("again", remoteSpec);
    rig.advance(wait);
    CHECK(rig.takeReplies().at(0).verdict == Verdict::MayHaveRun);
    rig.connectPeer("entry-2", ProcessKind::Entry, "east");
    remoteSpec.key = "k3";
    remoteSpec.firstAttempt = true;
    rig.submit("sent", remoteSpec);
    CHECK_EQUAL(1U, rig.takeSent<Forward>().size());
    rig.handle(PeerDown{"entry-2"});
    rig.advance(wait);
    const auto replies = rig.takeReplies();
    CHECK(replies.at(0).verdict == Verdict::MayHaveRun);
    CHECK(replies.at(0).reason.code == ReasonCode::RegionUnreachable);
}

TEST(Entry, aJobForARegionThatIsReachableAgainSoonIsForwardedOnce)
{
    auto rig = rigWithAgents(1);
    auto remoteSpec = keyed("k");
    remoteSpec.homeRegion = "east";
    rig.submit("r", remoteSpec);
    rig.submit("joined", remoteSpec);
    rig.advance(400);
    rig.connectPeer("entry-3", ProcessKind::Entry, "north");
    CHECK(rig.takeSent<Forward>().empty());
    rig.connectPeer("entry-2", ProcessKind::Entry, "east");
    auto forwards = rig.takeSent<Forward>();
    CHECK_EQUAL(1U, forwards.size());
    CHECK_EQUAL(std::string("entry-2"), forwards[0].first);
    rig.connectPeer("entry-4", ProcessKind::Entry, "east");
    rig.advance(rig.entry.options.regionWaitMs);
    CHECK(rig.takeSent<Forward>().empty());
    CHECK(rig.takeReplies().empty());
    ForwardReply reply;
    reply.request = forwards[0].second.request;
    reply.verdict = Verdict::Ran;
    reply.answer = "paid";
    rig.handleFrom("entry-2", reply);
    CHECK_EQUAL(2U, rig.takeReplies().size());
}

TEST(Entry, aJobThatWaitsForItsRegionEndsAtItsDeadlineOrWhenItIsCancelled)
{
    auto rig = rigWithAgents(1);
    auto remoteSpec = keyed("k");
    remoteSpec.homeRegion = "east";
    remoteSpec.deadlineMs = 300;
    rig.submit("short", remoteSpec);
    rig.advance(300);
    CHECK(rig.takeReplies().at(0).verdict == Verdict::MayHaveRun);
    remoteSpec.key = "k2";
    remoteSpec.deadlineMs = 0;
    remoteSpec.job = "waits";
    rig.submit("cancelled", remoteSpec);
    rig.handle(CancelJob{"c", "waits"});
    const auto replies = rig.takeReplies();
    CHECK_EQUAL(2U, replies.size());
    CHECK(replies[0].reason.code == ReasonCode::Cancelled);
    CHECK(replies[0].verdict == Verdict::MayHaveRun);
    rig.connectPeer("entry-2", ProcessKind::Entry, "east");
    CHECK(rig.takeSent<Forward>().empty());
    remoteSpec.key = "k3";
    remoteSpec.job = "forwarded";
    rig.submit("r3", remoteSpec);
    rig.handle(CancelJob{"c3", "forwarded"});
    rig.takeSent<Forward>();
    rig.handle(PeerDown{"entry-2"});
    CHECK(rig.takeReplies().at(0).verdict == Verdict::MayHaveRun);
    rig.connectPeer("entry-2", ProcessKind::Entry, "east");
    CHECK(rig.takeSent<Forward>().empty());
}

TEST(Entry, copiesOfAForwardedRequestStartTheJobOnlyOnce)
{
    auto rig = rigWithRangeOwner(1);
    rig.connectPeer("entry-2", ProcessKind::Entry, "east");
    Forward forward;
    forward.request = "f1";
    forward.entry = "entry-2";
    forward.spec = std::make_unique<JobSpec>(keyed("k"));
    forward.spec->job = "entry-2.1.1";
    rig.handleFrom("entry-2", forward);
    rig.handleFrom("entry-2", forward);
    const auto starts = rig.takeSent<Start>();
    CHECK_EQUAL(1U, starts.size());
    rig.handle(CancelJob{"c", "entry-2.1.1"});
    auto refused = accepted(starts[0].second);
    refused.accepted = false;
    refused.reason = ReasonCode::Cancelled;
    rig.handleFrom(starts[0].first, refused);
    CHECK_EQUAL(1U, rig.takeSent<ForwardReply>().size());
    rig.handleFrom("entry-2", forward); // a late copy of a request that was answered as NotRun
    CHECK(rig.takeSent<Start>().empty());
    CHECK(rig.takeSent<ForwardReply>().at(0).second.verdict == Verdict::NotRun);
}

// ---- Lookup and shutdown ----

TEST(Entry, aJobOfALostEntryIsFoundThroughAgentReports)
{
    auto rig = rigWithAgents(2);
    auto report = rig.report("w1", 0);
    report.tasks.emplace_back();
    report.tasks.back().job = "entry-9.1.5";
    rig.handleFrom("w1", report);
    rig.handle(QueryJob{"q", "entry-9.1.5", true});
    const auto query = rig.takeSent<JobQuery>().at(0);
    CHECK_EQUAL(std::string("w1"), query.first);
    JobReply reply;
    reply.request = query.second.request;
    reply.job = query.second.job;
    reply.found = reply.finished = true;
    reply.verdict = Verdict::Ran;
    reply.answer = "kept";
    rig.handleFrom("w1", reply);
    CHECK_EQUAL(std::string("kept"), rig.takeReplies().at(0).answer);
    rig.handle(QueryJob{"q2", "unknown-job", false});
    CHECK(rig.takeReplies().at(0).verdict == Verdict::MayHaveRun);
}

TEST(Entry, shutdownRefusesNewRequestsAndFinishesTheOthers)
{
    auto rig = rigWithAgents(1);
    rig.submit("old", job("a", 8));
    rig.submit("queued", job("a", 8), false);
    rig.takeReplies();
    rig.handle(StopAccepting{});
    rig.submit("new", job("a", 8));
    const auto refused = rig.takeReplies().at(0);
    CHECK(refused.verdict == Verdict::NotRun && refused.retryAfterMs > 0);
    CHECK(!entryIdle(rig.entry));
    for (int i = 0; i < 2; ++i) {
        const auto [agent, start] = rig.takeSent<Start>().at(0);
        rig.handleFrom(agent, accepted(start));
        rig.handleFrom(agent, ran(start, ""));
    }
    CHECK_EQUAL(std::string("old"), rig.takeReplies().at(0).request);
    CHECK(entryIdle(rig.entry));
}

TEST(Entry, aTargetReceivesNoNewWorkAsSoonAsItsDrainIsRequested)
{
    auto rig = rigWithAgents(1);
    rig.handle(DrainTarget{"d", "w0", true});
    CHECK(rig.takeSent<Drain>().at(0).second.drain);
    rig.submit("r", job("a", 1));
    CHECK(rig.takeSent<Start>().empty());
    CHECK(rig.takeReplies().empty());
    auto report = rig.report("w0");
    report.draining = true;
    rig.handleFrom("w0", report);
    CHECK(rig.takeReplies().at(0).verdict == Verdict::Ran);
    rig.handle(DrainTarget{"d2", "unknown-agent", true});
    CHECK(rig.takeReplies().at(0).verdict == Verdict::NotRun);
}

TEST(Entry, aJobForAnyRegionIsForwardedWhenItsHomeRegionHasNoFreeCapacity)
{
    auto rig = rigWithAgents(1);
    rig.connectPeer("entry-2", ProcessKind::Entry, "east");
    rig.submit("holder", job("a", 8));
    rig.takeSent<Start>();
    auto spec = job("b", 8);
    spec.anyRegion = true;
    rig.submit("r", spec);
    rig.advance(4000);
    const auto forward = rig.takeSent<Forward>().at(0).second;
    ForwardReply refused;
    refused.request = forward.request;
    refused.reason = ReasonCode::NoRoom;
    rig.handleFrom("entry-2", refused);
    rig.handleFrom("entry-2", refused);
    CHECK(rig.takeReplies().empty()); // queued in the home region again
    CHECK(findJobState(rig, forward.spec->job) == JobState::Queued);
}

// Guards against a query that is answered from the refusal of a forwarded copy, although the job
// may run elsewhere. Found by system_fuzz_test, seed 20240631.
TEST(Entry, aJobRefusedForAPeerIsNotAnsweredFromTheLocalCopy)
{
    auto rig = rigWithAgents(1);
    rig.connectPeer("entry-2", ProcessKind::Entry, "east");
    rig.submit("holder", job("a", 8));
    Forward forward;
    forward.request = "f1";
    forward.spec = std::make_unique<JobSpec>(job("b", 8));
    forward.spec->homeRegion = "east";
    forward.spec->job = "foreign";
    rig.handleFrom("entry-2", forward);
    rig.takeReplies();
    rig.handle(QueryJob{"q", "foreign", false});
    rig.handle(CancelJob{"c", "foreign"});
    rig.advance(4000);
    const auto replies = rig.takeReplies();
    CHECK_EQUAL(2U, replies.size());
    for (const auto &reply : replies)
        CHECK(reply.verdict == Verdict::MayHaveRun);
}

// This test and the next one guard against jobs that wait for ever: an impossible shape that is
// never checked because other jobs are ahead of it in the queue, and a failing gang that needs
// every worker of its data centre. Found by system_fuzz_test, seeds 20240611 and 20240612.
TEST(Entry, aJobThatCanNeverBePlacedIsRefusedWhileOthersAreAheadOfIt)
{
    auto rig = rigWithAgents(1);
    rig.submit("holder", job("a", 8));
    rig.submit("waits", job("a", 8));
    rig.submit("never", job("a", 9));
    CHECK(rig.takeReplies().empty()); // some workers may not have reported yet
    for (int i = 0; i < 20; ++i) {
        rig.advance(1000);
        rig.handleFrom("w0", rig.report("w0", 0));
    }
    const auto replies = rig.takeReplies();
    CHECK_EQUAL(1U, replies.size());
    CHECK_EQUAL(std::string("never"), replies[0].request);
    CHECK(replies[0].reason.code == ReasonCode::ImpossibleShape);
}

TEST(Entry, aFailingGangThatNeedsEveryWorkerIsAnsweredAsFailed)
{
    auto rig = rigWithAgents(2);
    auto gang = job("a", 8);
    gang.members = 2;
    rig.submit("r", gang);
    for (int i = 0; i < 60; ++i) {
        for (const auto &[agent, start] : rig.takeSent<Start>()) {
            rig.handleFrom(agent, accepted(start));
            Outcome failed = ran(start, "");
            failed.reason = ReasonCode::TaskFailed;
            rig.handleFrom(agent, failed);
        }
        rig.advance(1000);
        for (const auto *agent : {"w0", "w1"})
            rig.handleFrom(agent, rig.report(agent));
    }
    const auto replies = rig.takeReplies();
    CHECK_EQUAL(1U, replies.size());
    CHECK(replies[0].verdict == Verdict::Ran && replies[0].reason.code == ReasonCode::TaskFailed);
}

TEST(Entry, aForwardedJobWithoutCapacityIsRefusedAtOnce)
{
    auto rig = rigWithAgents(1);
    rig.connectPeer("entry-2", ProcessKind::Entry, "east");
    rig.submit("holder", job("a", 8));
    Forward forward;
    forward.request = "f1";
    forward.spec = std::make_unique<JobSpec>(job("b", 8));
    forward.spec->homeRegion = "east";
    rig.handleFrom("entry-2", forward);
    const auto reply = rig.takeSent<ForwardReply>().at(0).second;
    CHECK(reply.verdict == Verdict::NotRun && reply.reason == ReasonCode::NoRoom);
}

// ---- Table ----

TEST(Entry, aLentGuaranteedBlockIsReclaimedAtOnce)
{
    auto rig = rigWithAgents(1);
    rig.editTable(R"({"organisations": [{"name": "a", "homeRegion": "west", "guarantees":
        [{"region": "west", "copies": 1, "members": 1, "accelerators": 8}]}]})");
    rig.deliverAppends();
    auto lent = rig.report("w0", 0);
    lent.evictableMask = 0xff;
    lent.freeSlots = 0;
    rig.handleFrom("w0", lent);
    rig.submit("borrower", job("b", 8));
    CHECK(rig.takeSent<Start>().empty());
    rig.submit("owner", job("a", 8));
    const auto starts = rig.takeSent<Start>();
    CHECK_EQUAL(1U, starts.size());
    CHECK(starts[0].second.guaranteed);
}

TEST(Entry, aTableIsSentAsASnapshot)
{
    auto rig = rigWithAgents(1);
    LogLinesRequest request;
    request.stream = tableStream;
    rig.handleFrom("w0", request);
    const auto lines = rig.takeSent<LogLines>().at(0).second;
    Table table;
    Reason reason;
    CHECK(applyTableLine(table, lines.lines.at(0).text, lines.lines[0].offset, reason)
          == ApplyResult::Applied);
    CHECK_EQUAL(rig.entry.table.version, table.version);
    CHECK_EQUAL(lines.next, table.nextOffset);
}

TEST(Entry, aSnapshotIsAppendedAfterManyEdits)
{
    EntryOptions options;
    options.snapshotEveryEdits = 3;
    auto rig = rigWithAgents(1, options);
    for (int i = 0; i < 3; ++i) {
        rig.editTable(twoOrganisations);
        rig.deliverAppends();
    }
    rig.advance(4000);
    CHECK_EQUAL(1U, rig.out.appends.size());
    Table table;
    Reason reason;
    CHECK(applyTableLine(table, rig.out.appends[0].lines.at(0), 9, reason) == ApplyResult::Applied);
    rig.deliverAppends();
    rig.advance(8000);
    CHECK(rig.out.appends.empty());
}

TEST(Entry, anEditIsAcceptedOnlyWhenItIsInForceEverywhere)
{
    auto rig = rigWithAgents(2);
    rig.connectPeer("entry-2", ProcessKind::Entry, "east");
    rig.takeSent<LogLinesRequest>();
    rig.editTable(R"({"organisations": [{"name": "c", "homeRegion": "west"}]})", "e1", true);
    rig.deliverAppends();
    CHECK_EQUAL(2U, rig.takeSent<LogLines>().size());
    rig.advance(500);
    CHECK(rig.takeReplies().empty());
    for (const auto *agent : {"w0", "w1"})
        rig.handleFrom(agent, rig.report(agent));
    rig.advance(500);
    CHECK(rig.takeReplies().empty()); // the other region did not confirm
    VersionSummary summary;
    summary.entry = "entry-2";
    summary.versions.resize(2);
    summary.versions[0].process = "entry-2";
    summary.versions[0].version = rig.entry.table.version;
    summary.versions[1].process = "*";
    summary.versions[1].version = rig.entry.table.version - 1;
    rig.handleFrom("entry-2", summary);
    rig.advance(500);
    CHECK(rig.takeReplies().empty()); // one of the agents there has an older version
    summary.versions[1].version = rig.entry.table.version;
    rig.handleFrom("entry-2", summary);
    rig.advance(200);
    const auto reply = rig.takeReplies().at(0);
    CHECK(reply.accepted && reply.verdict == Verdict::Ran);
}

TEST(Entry, anEditIsPendingWhileARegionIsCutOff)
{
    auto rig = rigWithAgents(1);
    rig.connectPeer("entry-2", ProcessKind::Entry, "east");
    rig.handle(PeerDown{"entry-2"});
    rig.editTable(R"({"organisations": [{"name": "c", "homeRegion": "west"}]})", "e1", true);
    rig.deliverAppends();
    rig.handleFrom("w0", rig.report("w0"));
    for (int i = 0; i < 7; ++i) {
        rig.advance(1000);
        rig.handleFrom("w0", rig.report("w0"));
    }
    const auto reply = rig.takeReplies().at(0);
    CHECK(reply.accepted && reply.verdict == Verdict::MayHaveRun);
    CHECK(reply.reason.text.find("recorded") != std::string::npos);
    CHECK(reply.reason.text.find("region east") != std::string::npos);
    CHECK(statusJson(rig.entry, rig.now).find("region east") != std::string::npos);
}

TEST(Entry, anEditAfterAPartitionIsPendingUntilEachEntryOfTheRegionIsConnected)
{
    auto rig = rigWithAgents(1);
    rig.connectPeer("entry-2", ProcessKind::Entry, "east");
    rig.connectPeer("entry-3", ProcessKind::Entry, "east");
    rig.handle(PeerDown{"entry-2"});
    rig.handle(PeerDown{"entry-3"});
    rig.advance(60000);
    rig.connectPeer("entry-2", ProcessKind::Entry, "east");
    const auto version = rig.entry.table.version;
    VersionSummary summary;
    summary.entry = "entry-2";
    summary.versions.resize(1);
    summary.versions[0].process = "entry-2";
    summary.versions[0].version = version;
    rig.handleFrom("entry-2", summary);
    rig.handleFrom("w0", rig.report("w0"));
    auto missing = processesWithoutVersion(rig.entry, version, rig.now);
    CHECK_EQUAL(1U, missing.size());
    CHECK_EQUAL(std::string("entry-3"), missing[0]);
    rig.connectPeer("entry-3", ProcessKind::Entry, "east");
    CHECK_EQUAL(1U, processesWithoutVersion(rig.entry, version, rig.now).size());
    rig.handle(PeerDown{"entry-3"});
    rig.advance(rig.entry.options.ownerSilentAfterMs); // then the entry counts as ended
    rig.handleFrom("w0", rig.report("w0"));
    CHECK(processesWithoutVersion(rig.entry, version, rig.now).empty());
}

TEST(Entry, anEditIsAppliedOnceWhenItsAppendIsRepeated)
{
    auto rig = rigWithAgents(1);
    rig.editTable(R"({"organisations": [{"name": "c", "homeRegion": "west"}]})", "e1", false);
    const auto first = rig.out.appends.at(0);
    rig.out.appends.clear();
    rig.handle(LogAppended{first.id, false, 0});
    rig.advance(1000);
    CHECK_EQUAL(first.lines[0], rig.out.appends.at(0).lines[0]);
    const auto version = rig.entry.table.version;
    rig.out.appends.push_back(first); // the first append also reached the log
    rig.deliverAppends();
    CHECK_EQUAL(version + 1, rig.entry.table.version);
    const auto replies = rig.takeReplies();
    CHECK_EQUAL(1U, replies.size());
    CHECK(replies[0].accepted);
}

TEST(Entry, failedEditsReportWhetherTheyMayBeRecorded)
{
    auto rig = rigWithAgents(1);
    EditTable stale{"stale", "operator", 0, std::string(twoOrganisations), 0, true};
    rig.handle(stale);
    auto reply = rig.takeReplies().at(0);
    CHECK(reply.reason.code == ReasonCode::VersionConflict && reply.verdict == Verdict::NotRun);
    rig.editTable(R"({"organisations": [{"name": "a", "homeRegion": "west", "guarantees":
        [{"region": "west", "copies": 1, "members": 2, "accelerators": 8}]}]})",
                  "unpackable", true);
    reply = rig.takeReplies().at(0);
    CHECK(reply.reason.code == ReasonCode::Unpackable && reply.verdict == Verdict::NotRun);
    CHECK(rig.out.appends.empty());
    rig.editTable(R"({"organisations": [{"name": "c", "homeRegion": "west"}]})", "unknown", true);
    for (int i = 0; i < 60; ++i) {
        rig.deliverAppends(false);
        rig.advance(100);
    }
    reply = rig.takeReplies().at(0);
    CHECK(reply.reason.code == ReasonCode::LogUnavailable && reply.verdict == Verdict::MayHaveRun);
    rig.editTable(R"({"organisations": [{"name": "c", "homeRegion": "west"}]})", "refused", true);
    reply = rig.takeReplies().at(0);
    CHECK(reply.reason.code == ReasonCode::LogUnavailable && reply.verdict == Verdict::NotRun);
}

TEST(Entry, guaranteedBlocksMoveOffALostWorker)
{
    auto rig = rigWithAgents(3);
    rig.editTable(R"({"organisations": [{"name": "a", "homeRegion": "west", "guarantees":
        [{"region": "west", "copies": 1, "members": 1, "accelerators": 8}]}]})");
    rig.deliverAppends();
    const auto lost = rig.entry.table.guaranteedBlocks.at(0).worker;
    rig.handle(PeerDown{lost});
    for (int i = 0; i < 20; ++i) {
        rig.advance(1000);
        for (const auto *agent : {"w0", "w1", "w2"}) {
            if (agent != lost)
                rig.handleFrom(agent, rig.report(agent));
        }
        CHECK(i > 8 || rig.entry.table.guaranteedBlocks.at(0).worker == lost);
        rig.deliverAppends();
    }
    CHECK(rig.entry.table.guaranteedBlocks.at(0).worker != lost);
}

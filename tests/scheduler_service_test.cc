// Tests leader election, and that answers to callers are correct while the job log fails. The log
// is a fake behind the JobLog port. The tests run in simulated time: all entries share one thread,
// so real time in which it does not run would pass for all of them at once, as a log that is slow.

#include "fake_job_log.h"

#include "flamingo/adapters/scheduler_service.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <list>

using namespace flamingo;
using namespace flamingo::adapters;
using flamingo::tests::FakeJobLog;
using flamingo::tests::FakeLogState;

namespace {

constexpr TimeMs testTimeoutMs = 5000;

const bool timeSimulated = [] {
    Loop::simulateTime();
    return true;
}();

struct Entry
{
    FakeJobLog log;
    DecisionLog decisions{"test", 0};
    Metrics metrics;
    SchedulerService service;

    Entry(Loop &loop, FakeLogState &state, const SchedulerServiceOptions &options)
        : log(loop, state)
        , service(loop, this->log, this->decisions, this->metrics, options)
    {
    }
};

struct Fixture
{
    Loop loop;
    FakeLogState state;
    std::list<Entry> entries;

    Entry &add(const std::string &name, std::uint64_t seed, TimeMs readWaitMs = 50)
    {
        SchedulerServiceOptions options;
        options.process = name;
        options.agentAddress = name + ":1";
        options.incarnation = this->entries.size() + 1;
        options.seed = seed;
        options.readWaitMs = readWaitMs;
        options.fastAnswerMs = 50;
        options.leadership.keepAliveMs = 50;
        options.leadership.leaderTimeoutMs = 300;
        options.leadership.firstLeaderTimeoutMs = 50;
        options.leadership.randomDelayMs = 100;
        return this->entries.emplace_back(this->loop, this->state, options);
    }

    void start()
    {
        for (Entry &entry : this->entries)
            entry.service.start();
    }

    template <typename Condition>
    void waitUntil(Condition condition)
    {
        const TimeMs end = Loop::now() + testTimeoutMs;
        while (!condition() && Loop::now() < end) {
            this->loop.after(1, [this] { this->loop.stop(); });
            this->loop.run();
            this->loop.resume();
        }
        CHECK(condition());
    }

    // Adds the only entry and waits until it has read the log.
    Entry &startEntry()
    {
        Entry &entry = this->add("a", 1);
        this->start();
        this->waitUntil([&entry] { return entry.service.logReadIsRecent(); });
        return entry;
    }

    void runFor(TimeMs ms)
    {
        const TimeMs end = Loop::now() + ms;
        this->waitUntil([end] { return Loop::now() >= end; });
    }

    SchedulerService::CancelOutcome cancel(Entry &entry, const scheduler::Caller &caller = {})
    {
        std::optional<SchedulerService::CancelOutcome> outcome;
        entry.service.cancel("0123456789abcdef", caller,
                             [&outcome](auto result) { outcome = result; });
        this->waitUntil([&outcome] { return outcome.has_value(); });
        return *outcome;
    }

    int leaderCount() const
    {
        int result = 0;
        for (const Entry &entry : this->entries)
            result += entry.service.leading() ? 1 : 0;
        return result;
    }
};

scheduler::Job smallJob()
{
    scheduler::Job job;
    job.id = "0123456789abcdef";
    job.steps.emplace_back();
    return job;
}

} // namespace

TEST_GROUP(SchedulerService)
{
    Fixture fixture;
};

// Guards against two leaders. Two entries that started at the same instant drew the same epoch, and
// the log treated the second one's first append as a repetition of the first one's.
TEST(SchedulerService, entriesWithTheSameSeedDoNotBothLead)
{
    fixture.add("a", 7);
    fixture.add("b", 7);
    fixture.start();
    fixture.waitUntil([this] { return fixture.leaderCount() >= 1; });
    for (int i = 0; i < 100; ++i) {
        CHECK(fixture.leaderCount() <= 1);
        fixture.runFor(5);
    }
    CHECK_EQUAL(1, fixture.leaderCount());
}

TEST(SchedulerService, anotherEntryLeadsWhenTheLeaderCannotReachTheLog)
{
    fixture.add("a", 1);
    fixture.add("b", 2);
    fixture.start();
    fixture.waitUntil([this] { return fixture.leaderCount() == 1; });
    Entry &leader = fixture.entries.front().service.leading() ? fixture.entries.front()
                                                              : fixture.entries.back();
    Entry &other =
        &leader == &fixture.entries.front() ? fixture.entries.back() : fixture.entries.front();
    leader.log.unresponsive = true;
    fixture.waitUntil([&other] { return other.service.leading(); });
    leader.log.unresponsive = false;
    fixture.waitUntil([&leader] { return !leader.service.leading(); });
    CHECK(other.service.leading());
}

// Returns the number of appends of 20 entries that lose their leader at a slow log, until another
// one leads.
int appendsOfCampaignsAtASlowLog(std::uint64_t firstSeed)
{
    Fixture fixture;
    for (std::uint64_t i = 0; i < 20; ++i)
        fixture.add("e" + std::to_string(i), firstSeed + i);
    fixture.start();
    fixture.waitUntil([&fixture] { return fixture.leaderCount() == 1; });
    Entry *leader = nullptr;
    for (Entry &entry : fixture.entries) {
        entry.log.delayMs = 60;
        leader = entry.service.leading() ? &entry : leader;
    }
    fixture.runFor(400);
    int before = 0;
    for (const Entry &entry : fixture.entries)
        before += &entry == leader ? 0 : entry.log.appends;
    leader->log.unresponsive = true;
    fixture.waitUntil([&] {
        return std::any_of(fixture.entries.begin(), fixture.entries.end(), [&](const Entry &each) {
            return &each != leader && each.service.leading();
        });
    });
    int appends = 0;
    for (const Entry &entry : fixture.entries)
        appends += &entry == leader ? 0 : entry.log.appends;
    return appends - before;
}

// Pattern: hosts stopped in turn while the log is 63 times slower than usual. 28 entries
// campaigned when the leader was lost; each fenced the others off, and their appends filled the
// log's queue: no entry led for 2.9 s.
TEST(SchedulerService, fewEntriesCampaignWhenTheLeaderIsLostAtASlowLog)
{
    for (std::uint64_t round = 0; round < 100; ++round)
        CHECK(appendsOfCampaignsAtASlowLog(1000 * round) <= 10); // two appends each
}

// The answers to the appends of a campaign are lost, but the records are read.
TEST(SchedulerService, campaignWhoseAnswersAreLostSucceeds)
{
    Entry &entry = fixture.add("a", 1);
    entry.log.dropsAnswers = true;
    entry.log.timeoutMs = 3000;
    fixture.start();
    fixture.waitUntil([&entry] { return entry.service.leading(); });
}

// A read that reaches the log while an append is being executed may wait on although there is a
// record for it. Guards against an entry that waits for its own records meanwhile: there is no
// leader, and others campaign.
TEST(SchedulerService, campaignDoesNotWaitForAReadThatMissesItsRecords)
{
    Entry &entry = fixture.add("a", 1, 1000);
    entry.log.waitsInFull = true;
    fixture.start();
    fixture.waitUntil([&entry] { return entry.log.appends == 1; });
    fixture.runFor(400);
    CHECK(entry.service.leading());
}

// Guards against a campaign beside a leader whose records wait to be read.
TEST(SchedulerService, entryReadsTheLogBeforeItCampaigns)
{
    const Entry &leader = fixture.startEntry();
    fixture.waitUntil([&leader] { return leader.service.leading(); });
    const std::uint64_t epoch = fixture.state.epoch;
    Entry &follower = fixture.add("b", 2, 1000);
    follower.log.waitsInFull = true;
    follower.service.start();
    fixture.runFor(2000);
    CHECK_EQUAL(epoch, fixture.state.epoch);
    CHECK(leader.service.leading());
}

// An answer of a slow log is on its way for long. Guards against reads that are repeated meanwhile
// and add to its load.
TEST(SchedulerService, slowLogIsNotReadTwiceForACampaign)
{
    Entry &leader = fixture.startEntry();
    fixture.waitUntil([&leader] { return leader.service.leading(); });
    Entry &follower = fixture.add("b", 2);
    follower.log.delayMs = 80;
    follower.service.start();
    fixture.runFor(1000);
    leader.log.unresponsive = true;
    follower.log.maxOutstandingReads = follower.log.outstandingReads;
    const int before = follower.log.appends;
    fixture.waitUntil([&] { return follower.log.appends > before; });
    CHECK_EQUAL(1, follower.log.maxOutstandingReads);
}

TEST(SchedulerService, resignedLeaderIsReplacedAtOnce)
{
    fixture.add("a", 1);
    fixture.add("b", 2);
    fixture.start();
    fixture.waitUntil([this] { return fixture.leaderCount() == 1; });
    Entry &leader = fixture.entries.front().service.leading() ? fixture.entries.front()
                                                              : fixture.entries.back();
    Entry &other =
        &leader == &fixture.entries.front() ? fixture.entries.back() : fixture.entries.front();
    bool resigned = false;
    leader.service.resign([&resigned] { resigned = true; });
    fixture.waitUntil([&] { return resigned && other.service.leading(); });
}

// A caller's cancellation is acknowledged without a leader. It is shown as the job's end only when
// the leader's record is read, because a leader may have decided another end. Guards against a job
// that is shown as cancelled and later as completed.
TEST(SchedulerService, cancellationIsAcknowledgedWithoutALeaderAndShownByItsRecord)
{
    const std::string id = smallJob().id;
    const auto store = [this](const scheduler::Record &record) {
        fixture.state.records.push_back({fixture.state.records.size(), record});
    };
    Entry &entry = fixture.add("a", 1);
    entry.service.resign([] {}); // does not lead
    store(acceptanceRecord(smallJob()));
    fixture.start();
    fixture.waitUntil([&] { return entry.service.logReadIsRecent(); });
    for (int i = 0; i < 2; ++i) { // a repeated request has the same answer
        std::optional<SchedulerService::CancelOutcome> outcome;
        entry.service.cancel(id, {}, [&outcome](auto result) { outcome = result; });
        fixture.waitUntil([&outcome] { return outcome.has_value(); });
        CHECK(*outcome == SchedulerService::CancelOutcome::Cancelled);
        fixture.waitUntil([&] { return entry.service.table().jobs.at(id).cancelled; });
        CHECK(callerVisibleState(entry.service.table(), id) == "queued");
    }
    scheduler::JobProgress progress;
    progress.outcome = scheduler::Outcome::Cancelled;
    progress.tasks.resize(1);
    store(progressRecord(id, progress));
    fixture.waitUntil([&] { return callerVisibleState(entry.service.table(), id) == "cancelled"; });
}

// Guards against a resigned leader that is not replaced while the log is slow: it went on writing
// records, and the other entry waited longer than their interval before it campaigns.
TEST(SchedulerService, resignedLeaderIsReplacedAtASlowLog)
{
    fixture.add("a", 1);
    fixture.add("b", 2);
    fixture.start();
    fixture.waitUntil([this] { return fixture.leaderCount() == 1; });
    for (Entry &entry : fixture.entries)
        entry.log.delayMs = 60;
    fixture.runFor(400);
    Entry &leader = fixture.entries.front().service.leading() ? fixture.entries.front()
                                                              : fixture.entries.back();
    Entry &other =
        &leader == &fixture.entries.front() ? fixture.entries.back() : fixture.entries.front();
    bool resigned = false;
    leader.service.resign([&resigned] { resigned = true; });
    fixture.waitUntil([&] { return resigned && other.service.leading(); });
}

// Guards against a resigned leader that goes on writing: each record restarts the wait of the other
// entries.
TEST(SchedulerService, resignationIsTheLastRecordOfALeader)
{
    Entry &leader = fixture.startEntry();
    fixture.waitUntil([&leader] { return leader.service.leading(); });
    bool resigned = false;
    leader.service.resign([&resigned] { resigned = true; });
    fixture.waitUntil([&resigned] { return resigned; });
    const int appends = leader.log.appends;
    fixture.runFor(500);
    CHECK_EQUAL(appends, leader.log.appends);
}

// Guards against a "not run" verdict for a job that the log may still store: an unanswered append
// may be carried out late.
TEST(SchedulerService, unansweredAppendIsNeverReportedAsNotRun)
{
    Entry &entry = fixture.startEntry();
    entry.log.unresponsive = true;
    std::optional<Verdict> verdict;
    entry.service.submit(smallJob(), [&verdict](Verdict result) { verdict = result; });
    fixture.waitUntil([&verdict] { return verdict.has_value(); });
    CHECK(*verdict == Verdict::MayHaveRun);
}

// Guards against a "not run" verdict for a repeated submission whose first append was not answered:
// the verdict covers all attempts, and the first one may be stored.
TEST(SchedulerService, refusedRetryOfAnUnansweredSubmissionMayHaveRun)
{
    Entry &entry = fixture.startEntry();
    entry.log.unresponsive = true;
    std::optional<Verdict> first;
    entry.service.submit(smallJob(), [&first](Verdict result) { first = result; });
    fixture.waitUntil([&first] { return first.has_value(); });
    entry.log.unresponsive = false;
    entry.log.rejectsCalls = true;
    fixture.runFor(1000);
    std::optional<Verdict> second;
    entry.service.submit(smallJob(), [&second](Verdict result) { second = result; });
    fixture.waitUntil([&second] { return second.has_value(); });
    CHECK(*second == Verdict::MayHaveRun);
}

// Guards against a "not run" verdict while the entry's own append is unanswered. The log became
// unreachable meanwhile, and the entry that the submission was relayed to refused it: nine jobs of
// one append ran after all their submissions had been rejected.
TEST(SchedulerService, refusedRelayBesideAnUnansweredAppendMayHaveRun)
{
    Entry &entry = fixture.startEntry();
    entry.service.setRelay(
        [this](const scheduler::Record & /*record*/, SchedulerService::SubmitCallback done) {
            fixture.loop.after(900, [done = std::move(done)] { done(Verdict::NotRun); });
        });
    entry.log.delayMs = 2500; // appends are carried out that late
    std::optional<Verdict> verdict;
    entry.service.submit(smallJob(), [&verdict](Verdict result) { verdict = result; });
    entry.log.delayMs = 2;
    entry.log.rejectsCalls = true; // reads fail
    fixture.waitUntil([&verdict] { return verdict.has_value(); });
    CHECK(*verdict == Verdict::MayHaveRun);
}

// A caller that repeats its submission on another connection has two attempts at one entry. The
// second one may not be refused as not run while the append of the first one is unanswered.
TEST(SchedulerService, refusedRepetitionBesideAnUnansweredAppendMayHaveRun)
{
    Entry &entry = fixture.startEntry();
    entry.log.unresponsive = true;
    entry.log.timeoutMs = 4000;
    entry.service.submit(smallJob(), [](Verdict /*ignored*/) {});
    std::optional<Verdict> verdict;
    entry.service.submit(smallJob(), [&verdict](Verdict result) { verdict = result; });
    fixture.waitUntil([&verdict] { return verdict.has_value(); });
    CHECK(*verdict == Verdict::MayHaveRun);
}

// During a longer outage of the log a submission is refused at once, without an append.
TEST(SchedulerService, submissionFailsAtOnceDuringALongOutage)
{
    Entry &entry = fixture.startEntry();
    entry.log.rejectsCalls = true;
    fixture.runFor(1200);
    std::optional<Verdict> verdict;
    const int appendsBefore = entry.log.appends;
    entry.service.submit(smallJob(), [&verdict](Verdict result) { verdict = result; });
    CHECK(verdict && *verdict == Verdict::NotRun);
    CHECK_EQUAL(appendsBefore, entry.log.appends);
}

// A short failure of the log must not refuse the submission: callers make only a few attempts.
TEST(SchedulerService, submissionIsRetriedDuringAShortLogFailure)
{
    Entry &entry = fixture.startEntry();
    entry.log.rejectsCalls = true;
    std::optional<Verdict> verdict;
    entry.service.submit(smallJob(), [&verdict](Verdict result) { verdict = result; });
    fixture.runFor(200);
    CHECK(!verdict.has_value());
    entry.log.rejectsCalls = false;
    fixture.waitUntil([&verdict] { return verdict.has_value(); });
    CHECK(*verdict == Verdict::Ran);
}

// The platform deletes old records of the log and retains the newest one of each key. A reader that
// has fallen behind must load those instead.
TEST(SchedulerService, readerWhoseRecordsAreDeletedLoadsTheNewest)
{
    Entry &writer = fixture.add("a", 1);
    Entry &reader = fixture.add("b", 2);
    fixture.start();
    fixture.waitUntil([this] { return fixture.leaderCount() == 1; });
    reader.log.unresponsive = true;
    fixture.runFor(400);
    std::optional<Verdict> verdict;
    writer.service.submit(smallJob(), [&verdict](Verdict result) { verdict = result; });
    fixture.waitUntil([&verdict] { return verdict.has_value(); });
    fixture.state.firstKept = fixture.state.records.size();
    reader.log.unresponsive = false;
    fixture.waitUntil([&reader] {
        return callerVisibleState(reader.service.table(), smallJob().id).has_value();
    });
}

// The log limits the size of an answer, so an entry that has fallen behind gets the records in
// several reads. Until it has caught up, a job that is missing from its table may have been
// accepted long ago: a caller was told that an accepted job does not exist.
TEST(SchedulerService, entryThatLagsBehindTheLogKnowsThatItsTableIsOld)
{
    Entry &entry = fixture.add("a", 1);
    entry.service.resign([] {}); // does not lead, so that it writes nothing
    fixture.start();
    fixture.waitUntil([&entry] { return entry.service.logReadIsRecent(); });
    entry.log.maxRecordsPerRead = 1;
    entry.log.delayMs = 100;
    scheduler::Job job = smallJob();
    for (int i = 0; i < 30; ++i) {
        job.id.back() = static_cast<char>('0' + i % 10);
        const scheduler::Record record = acceptanceRecord(job);
        fixture.state.records.push_back({fixture.state.records.size(), record});
    }
    fixture.state.records.push_back({fixture.state.records.size(), acceptanceRecord(smallJob())});
    fixture.runFor(SchedulerServiceOptions().recentReadMs + 500);
    CHECK(!callerVisibleState(entry.service.table(), smallJob().id).has_value());
    CHECK(!entry.service.logReadIsRecent());
    fixture.waitUntil([&entry] { return entry.service.logReadIsRecent(); });
    CHECK(callerVisibleState(entry.service.table(), smallJob().id).has_value());
}

// An entry that cannot reach the log relays the submission to another entry instead of refusing it.
TEST(SchedulerService, entryThatCannotReachTheLogRelaysToAnother)
{
    Entry &isolated = fixture.add("a", 1);
    Entry &other = fixture.add("b", 2);
    fixture.start();
    fixture.waitUntil(
        [&] { return isolated.service.logReadIsRecent() && other.service.logReadIsRecent(); });
    isolated.service.setRelay(
        [&other](const scheduler::Record &record, SchedulerService::SubmitCallback done) {
            other.service.storeRelayed(record, std::move(done));
        });
    isolated.log.unresponsive = true;
    std::optional<Verdict> first;
    isolated.service.submit(smallJob(), [&first](Verdict result) { first = result; });
    fixture.waitUntil([&first] { return first.has_value(); });
    CHECK(*first == Verdict::Ran);
    fixture.waitUntil(
        [&other] { return callerVisibleState(other.service.table(), smallJob().id).has_value(); });
}

// Guards against a "not run" verdict while a relay is unanswered: the other entry may store the
// job.
TEST(SchedulerService, unansweredRelayIsNeverReportedAsNotRun)
{
    Entry &entry = fixture.startEntry();
    entry.service.setRelay(
        [](const scheduler::Record &, const SchedulerService::SubmitCallback &) {});
    entry.log.rejectsCalls = true;
    fixture.runFor(1200);
    std::optional<Verdict> verdict;
    entry.service.submit(smallJob(), [&verdict](Verdict result) { verdict = result; });
    fixture.waitUntil([&verdict] { return verdict.has_value(); });
    CHECK(*verdict == Verdict::MayHaveRun);
}

// Guards against refused submissions while the log is only slow, with some calls answered late.
TEST(SchedulerService, slowLogIsNotReportedUnreachable)
{
    Entry &entry = fixture.add("a", 1);
    fixture.start();
    fixture.waitUntil([&entry] { return entry.service.leading(); });
    entry.log.delayMs = 250;
    for (int i = 0; i < 20; ++i) {
        fixture.runFor(50);
        CHECK(entry.service.logIsReachable());
    }
    std::optional<Verdict> verdict;
    entry.service.submit(smallJob(), [&verdict](Verdict result) { verdict = result; });
    fixture.waitUntil([&verdict] { return verdict.has_value(); });
    CHECK(*verdict == Verdict::Ran);
}

// Submissions in a burst must share appends: at a slow log, one append each would take longer than
// the callers wait.
TEST(SchedulerService, burstToASlowLogIsBatched)
{
    Entry &entry = fixture.startEntry();
    entry.log.delayMs = 100;
    const int appendsBefore = entry.log.appends;
    int stored = 0;
    for (int i = 0; i < 20; ++i) {
        scheduler::Job job = smallJob();
        job.id += std::to_string(i);
        entry.service.submit(
            job, [&stored](Verdict verdict) { stored += verdict == Verdict::Ran ? 1 : 0; });
    }
    fixture.waitUntil([&stored] { return stored == 20; });
    CHECK(entry.log.appends - appendsBefore < 10);
}

// When the answer to an append is lost, the caller is answered as soon as the record has been read.
TEST(SchedulerService, acceptanceReadBackIsReportedAsStored)
{
    Entry &entry = fixture.startEntry();
    entry.log.dropsAnswers = true;
    entry.log.timeoutMs = 3000;
    const TimeMs sentAt = Loop::now();
    std::optional<Verdict> verdict;
    entry.service.submit(smallJob(), [&verdict](Verdict result) { verdict = result; });
    fixture.waitUntil([&verdict] { return verdict.has_value(); });
    CHECK(*verdict == Verdict::Ran);
    CHECK(Loop::now() - sentAt < 1000);
}

// Guards against a leader that stalls until each unanswered append times out, although it has read
// the appended records.
TEST(SchedulerService, leaderContinuesWhenItsAppendIsReadBack)
{
    Entry &entry = fixture.add("a", 1);
    fixture.start();
    fixture.waitUntil([&entry] { return entry.service.leading(); });
    entry.log.dropsAnswers = true;
    entry.log.timeoutMs = 3000;
    const std::size_t before = fixture.state.records.size();
    fixture.waitUntil([&] { return fixture.state.records.size() >= before + 5; });
    CHECK(entry.service.leading());
    entry.log.dropsAnswers = false;
    fixture.runFor(300);
    CHECK(entry.service.leading());
}

// A submission that is queued behind an unanswered append has not been sent. It must be refused
// before its caller gives up waiting.
TEST(SchedulerService, submissionQueuedBehindAnUnansweredAppendIsRefusedInTime)
{
    Entry &entry = fixture.startEntry();
    entry.log.unresponsive = true;
    entry.log.timeoutMs = 4000;
    entry.service.submit(smallJob(), [](Verdict /*ignored*/) {});
    scheduler::Job second = smallJob();
    second.id.back() = '0';
    std::optional<Verdict> verdict;
    const TimeMs sentAt = Loop::now();
    entry.service.submit(second, [&verdict](Verdict result) { verdict = result; });
    fixture.waitUntil([&verdict] { return verdict.has_value(); });
    CHECK(*verdict == Verdict::NotRun);
    CHECK(Loop::now() - sentAt < 2000);
}

// Guards against a false "stored": the record that deletes the key of an old job must not confirm a
// new submission with the same id.
TEST(SchedulerService, deletedKeyIsNotReportedAsStored)
{
    Entry &entry = fixture.startEntry();
    entry.log.dropsAppends = true;
    std::optional<Verdict> verdict;
    entry.service.submit(smallJob(), [&verdict](Verdict result) { verdict = result; });
    const scheduler::Record accepted = acceptanceRecord(smallJob());
    fixture.state.records.push_back({fixture.state.records.size(), {accepted.key, ""}});
    fixture.waitUntil([&verdict] { return verdict.has_value(); });
    CHECK(*verdict == Verdict::MayHaveRun);
}

// Pattern: one record of another writer that every entry reads. With an epoch that no campaign can
// exceed, or an address that no agent can call, there would be no leader for good.
TEST(SchedulerService, oddRecordsStopNeitherReadersNorCampaigns)
{
    Fixture fixture;
    Entry &entry = fixture.startEntry();
    const auto append = [&fixture](const std::string &key, const std::string &value) {
        fixture.state.records.push_back({fixture.state.records.size(), {key, value}});
    };
    append("~leader", R"({"epoch":18446744073709551615,"process":"x","start":1,"address":"x:1"})");
    append("~candidate", R"({"epoch":18446744073709551615,"process":"x","start":1})");
    append("~leader", R"({"a":{"b":{}}})");
    append("~leader", R"({"epoch":65537,"process":"x","address":"10.0.0.1:70000"})");
    append("", "\xff");
    append("a/" + smallJob().id, std::string(100000, '['));
    append("a/" + smallJob().id, scheduler::acceptanceRecord(smallJob()).value);
    fixture.waitUntil([&entry] { return entry.service.table().jobs.count(smallJob().id) == 1; });
    fixture.waitUntil([&entry] { return entry.service.leading(); });
}

// Guards against a cancellation that is acknowledged by "no such job" and never stored: the entry
// that was asked had not read the job's acceptance, which another entry had stored before.
TEST(SchedulerService, jobThatAnotherEntryHasJustAcceptedIsCancelled)
{
    Entry &accepting = fixture.add("a", 1);
    Entry &trailing = fixture.add("b", 2, 400);
    fixture.start();
    fixture.waitUntil(
        [&] { return accepting.service.logReadIsRecent() && trailing.service.logReadIsRecent(); });
    trailing.log.waitsInFull = true;
    fixture.runFor(10);
    std::optional<Verdict> verdict;
    accepting.service.submit(smallJob(), [&verdict](Verdict result) { verdict = result; });
    fixture.waitUntil([&verdict] { return verdict.has_value(); });
    CHECK(*verdict == Verdict::Ran);
    std::optional<SchedulerService::CancelOutcome> outcome;
    trailing.service.cancel(smallJob().id, {}, [&outcome](SchedulerService::CancelOutcome result) {
        outcome = result;
    });
    fixture.waitUntil([&outcome] { return outcome.has_value(); });
    CHECK(*outcome == SchedulerService::CancelOutcome::Cancelled);
}

TEST(SchedulerService, unknownJobIsReportedWhenALaterReadDoesNotContainIt)
{
    Entry &entry = fixture.startEntry();
    std::optional<SchedulerService::CancelOutcome> outcome;
    entry.service.cancel(smallJob().id, {},
                         [&outcome](SchedulerService::CancelOutcome result) { outcome = result; });
    fixture.waitUntil([&outcome] { return outcome.has_value(); });
    CHECK(*outcome == SchedulerService::CancelOutcome::UnknownJob);
}

// Guards against a job that runs although its cancellation was answered "no such job": the log
// carried out the append of its acceptance, which its entry had given up, after that answer.
TEST(SchedulerService, jobCancelledBeforeItsLateAcceptanceIsStoredDoesNotRun)
{
    Entry &accepting = fixture.add("a", 1);
    Entry &cancelling = fixture.add("b", 2);
    fixture.start();
    fixture.waitUntil([&] { return fixture.leaderCount() == 1; });
    fixture.waitUntil([&] {
        return accepting.service.logReadIsRecent() && cancelling.service.logReadIsRecent();
    });
    accepting.log.lateAppendMs = 3000;
    std::optional<Verdict> verdict;
    accepting.service.submit(smallJob(), [&verdict](Verdict result) { verdict = result; });
    fixture.waitUntil([&verdict] { return verdict.has_value(); });
    CHECK(*verdict == Verdict::MayHaveRun);
    accepting.log.lateAppendMs = 0;
    CHECK(fixture.cancel(cancelling) == SchedulerService::CancelOutcome::UnknownJob);
    fixture.runFor(3000);
    for (const Entry &entry : fixture.entries) {
        CHECK_EQUAL(
            std::string("cancelled"),
            std::string(
                callerVisibleState(entry.service.table(), smallJob().id).value_or("unknown")));
        CHECK(!entry.service.table().jobs.at(smallJob().id).storedStarted);
    }
}

// Guards against the same by an entry that was paused with the submission in its socket, and that
// accepts it before it reads the log again.
TEST(SchedulerService, jobAcceptedByAnEntryThatHasNotReadItsCancellationDoesNotRun)
{
    Entry &paused = fixture.add("a", 1, 400);
    Entry &cancelling = fixture.add("b", 2);
    fixture.start();
    fixture.waitUntil(
        [&] { return paused.service.logReadIsRecent() && cancelling.service.logReadIsRecent(); });
    paused.log.waitsInFull = true;
    fixture.runFor(10);
    CHECK(fixture.cancel(cancelling) == SchedulerService::CancelOutcome::UnknownJob);
    std::optional<Verdict> verdict;
    paused.service.submit(smallJob(), [&verdict](Verdict result) { verdict = result; });
    fixture.waitUntil([&verdict] { return verdict.has_value(); });
    CHECK(*verdict == Verdict::Ran);
    fixture.runFor(1000);
    CHECK_EQUAL(
        std::string("cancelled"),
        std::string(
            callerVisibleState(cancelling.service.table(), smallJob().id).value_or("unknown")));
}

TEST(SchedulerService, cancelledIdIsRefusedAlsoAfterALoadOfAForgetfulLog)
{
    Entry &writer = fixture.add("a", 1);
    Entry &reader = fixture.add("b", 2);
    fixture.start();
    fixture.waitUntil([this] { return fixture.leaderCount() == 1; });
    reader.log.unresponsive = true;
    fixture.runFor(400);
    CHECK(fixture.cancel(writer) == SchedulerService::CancelOutcome::UnknownJob);
    fixture.state.firstKept = fixture.state.records.size();
    reader.log.unresponsive = false;
    fixture.waitUntil([&reader] { return reader.service.logReadIsRecent(); });
    fixture.runFor(500);
    for (Entry &entry : fixture.entries) {
        std::optional<Verdict> verdict;
        entry.service.submit(smallJob(), [&verdict](Verdict result) { verdict = result; });
        fixture.waitUntil([&verdict] { return verdict.has_value(); });
        CHECK(*verdict == Verdict::NotRun);
    }
    CHECK(
        std::none_of(fixture.state.records.begin(), fixture.state.records.end(),
                     [](const auto &stored) { return stored.record.key == "a/" + smallJob().id; }));
}

// Guards against changes that are never stored, because the log refuses an append of their size.
TEST(SchedulerService, largeFlushIsAppendedInParts)
{
    SchedulerServiceOptions options;
    options.process = "a";
    options.readWaitMs = 50;
    options.leadership.firstLeaderTimeoutMs = 50;
    options.leadership.randomDelayMs = 100;
    options.maxAppendBytes = 1000;
    Entry &entry = fixture.entries.emplace_back(fixture.loop, fixture.state, options);
    fixture.start();
    fixture.waitUntil([&entry] { return entry.service.leading(); });
    scheduler::Job job = smallJob();
    for (int i = 0; i < 50; ++i) {
        job.id = "j" + std::to_string(i);
        fixture.state.records.push_back({fixture.state.records.size(), acceptanceRecord(job)});
        fixture.state.records.push_back(
            {fixture.state.records.size(), scheduler::cancellationRecord(job.id)});
    }
    const auto ended = [&entry] {
        const auto &jobs = entry.service.table().jobs;
        return jobs.size() == 50 && std::all_of(jobs.begin(), jobs.end(), [](const auto &item) {
                   return item.second.storedOutcome == scheduler::Outcome::Cancelled;
               });
    };
    entry.log.delayMs = 5;
    fixture.waitUntil(ended);
    CHECK(entry.log.largestAppendBytes <= options.maxAppendBytes);
    CHECK(entry.service.leading());
}

// Guards against ids that an entry refuses for ever, and against rows of removed jobs: the records
// that delete their keys expired before the entry read them.
TEST(SchedulerService, recordsRemovedWhileTheLogWasNotReadAreForgotten)
{
    Entry &writer = fixture.add("a", 1);
    Entry &reader = fixture.add("b", 2);
    fixture.start();
    fixture.waitUntil([this] { return fixture.leaderCount() == 1; });
    CHECK(fixture.cancel(writer) == SchedulerService::CancelOutcome::UnknownJob);
    scheduler::Job job = smallJob();
    job.id = "00000000000000ff";
    std::optional<Verdict> verdict;
    writer.service.submit(job, [&verdict](Verdict result) { verdict = result; });
    fixture.waitUntil([&] { return reader.service.table().jobs.count(job.id) == 1; });
    CHECK_EQUAL(1, reader.service.table().earlyCancellations.entries.size());
    reader.log.unresponsive = true;
    fixture.runFor(400);
    for (const std::string &key : scheduler::jobRecordKeys(job.id))
        fixture.state.records.push_back({fixture.state.records.size(), {key, ""}});
    const std::string early = scheduler::earlyCancellationRecord(smallJob().id, {}).key;
    fixture.state.records.push_back({fixture.state.records.size(), {early, ""}});
    fixture.state.firstKept = fixture.state.records.size();
    reader.log.unresponsive = false;
    fixture.waitUntil([&] { return reader.service.table().jobs.count(job.id) == 0; });
    CHECK_EQUAL(0, reader.service.table().earlyCancellations.entries.size());
}

// One organisation that cancels ids without end does not fill the log, and keeps neither its own
// jobs nor another organisation from being cancelled.
TEST(SchedulerService, unknownJobsCancelledByOneOrganisationAreLimited)
{
    Entry &entry = fixture.startEntry();
    const std::size_t limit = entry.service.schedulerState().options.maxEarlyCancellations;
    const scheduler::Caller flooding = {"q", "o1", false};
    std::map<SchedulerService::CancelOutcome, std::size_t> outcomes;
    const std::size_t requests = limit + 500;
    for (std::size_t i = 0; i < requests; ++i)
        entry.service.cancel("j" + std::to_string(i), flooding,
                             [&outcomes](auto outcome) { ++outcomes[outcome]; });
    const auto answered = [&outcomes] {
        std::size_t result = 0;
        for (const auto &[outcome, count] : outcomes)
            result += count;
        return result;
    };
    fixture.waitUntil([&] { return answered() == requests; });
    CHECK(entry.service.table().earlyCancellations.entries.size() <= limit);
    CHECK(outcomes[SchedulerService::CancelOutcome::TooMany] >= 500);
    scheduler::Job job = smallJob();
    job.queue = flooding.queue;
    job.organisation = flooding.organisation;
    std::optional<Verdict> verdict;
    entry.service.submit(job, [&verdict](Verdict result) { verdict = result; });
    fixture.waitUntil([&verdict] { return verdict.has_value(); });
    CHECK(fixture.cancel(entry, flooding) == SchedulerService::CancelOutcome::Cancelled);
    CHECK(fixture.cancel(entry, {"q", "o2", false}) == SchedulerService::CancelOutcome::UnknownJob);
}

// Guards against "no such job" from an entry that cannot read the log.
TEST(SchedulerService, jobIsNotReportedAsUnknownWhileTheLogDoesNotAnswer)
{
    Entry &entry = fixture.startEntry();
    entry.log.unresponsive = true;
    std::optional<SchedulerService::CancelOutcome> outcome;
    entry.service.cancel(smallJob().id, {},
                         [&outcome](SchedulerService::CancelOutcome result) { outcome = result; });
    fixture.waitUntil([&outcome] { return outcome.has_value(); });
    // The append of the cancellation may still be carried out.
    CHECK(*outcome == SchedulerService::CancelOutcome::MayBeStored);
}

// Guards against "no such job" for an accepted job, from a leader whose appends are stored while
// its reads are not answered: an append shows nothing about the jobs that others have accepted.
TEST(SchedulerService, storedAppendsDoNotReplaceReadsOfTheLog)
{
    SchedulerServiceOptions options;
    options.process = "a";
    options.readWaitMs = testTimeoutMs;
    options.recentReadMs = 200;
    options.leadership.keepAliveMs = 50;
    options.leadership.firstLeaderTimeoutMs = 50;
    options.leadership.randomDelayMs = 100;
    Entry &entry = fixture.entries.emplace_back(fixture.loop, fixture.state, options);
    fixture.start();
    fixture.waitUntil([&entry] { return entry.service.leading(); });
    fixture.runFor(100);
    CHECK(entry.service.logReadIsRecent());
    entry.log.waitsInFull = true;
    fixture.runFor(600);
    CHECK(entry.service.leading());
    CHECK(!entry.service.logReadIsRecent());
}

// Guards the cancellations of jobs that are not known: the job that one concerns never runs, jobs
// of other callers with the same id do, and they are removed in time.

#include "scheduler_rig.h"

#include "flamingo/scheduler/requests.h"

#include <CppUTest/TestHarness.h>

using namespace flamingo;
using namespace flamingo::scheduler;
using flamingo::tests::SchedulerRig;

namespace {

const Caller owner = {"queue", "lots", false}; // of the rig's jobs

struct EarlyRig : SchedulerRig
{
    void apply(const Record &record)
    {
        Reason reason;
        CHECK(applyRecord(this->scheduler.table, record.key, record.value, true, reason));
    }

    void cancelEarly(const std::string &id, const Caller &caller)
    {
        this->apply(earlyCancellationRecord(id, caller));
    }

    std::size_t earlyCount() const
    {
        return this->scheduler.table.earlyCancellations.entries.size();
    }

    CancellationStep stepOf(const std::string &id, const Caller &caller)
    {
        return cancellationStep(this->scheduler.table, this->scheduler.options, id, caller, true,
                                0);
    }

    // Returns what a flush stores after all that can expire has done so.
    std::vector<Record> expire()
    {
        takeRecords(this->scheduler, this->now); // the leader counts from here
        this->advance(this->scheduler.options.retainMs + 1001);
        return takeRecords(this->scheduler, this->now);
    }
};

} // namespace

TEST_GROUP(EarlyCancellation)
{
    EarlyRig rig;
};

TEST(EarlyCancellation, jobIsCancelledInEitherOrderOfTheRecords)
{
    rig.addWorker("h1");
    rig.cancelEarly("a", owner);
    rig.accept(rig.makeJob("a", 1, 1));
    rig.accept(rig.makeJob("b", 1, 1));
    rig.cancelEarly("b", owner);
    CHECK_EQUAL(0, rig.sendReport("h1").starts.size());
    CHECK_EQUAL(std::string("cancelled"), rig.jobState("a"));
    CHECK_EQUAL(std::string("cancelled"), rig.jobState("b"));
}

// Guards against a job that one organisation's cancellation of the same id keeps from running.
TEST(EarlyCancellation, jobsOfOtherCallersAreNotAffected)
{
    rig.addWorker("h1");
    rig.cancelEarly("a", {"queue", "other", false});
    rig.cancelEarly("a", {"other", "lots", false});
    rig.cancelEarly("a", {"other", "", true});
    rig.accept(rig.makeJob("a", 1, 1));
    CHECK(submissionStep(rig.scheduler.table, rig.makeJob("a", 1, 1)) == SubmissionStep::Stored);
    CHECK(rig.stepOf("a", {"queue", "other", false}) == CancellationStep::Unknown);
    CHECK(rig.stepOf("a", {"queue", "third", false}) == CancellationStep::AppendEarlyCancellation);
    CHECK_EQUAL(1, rig.sendReport("h1").starts.size());
}

TEST(EarlyCancellation, callerOfAnOpenQueueNeedsNoOrganisation)
{
    rig.cancelEarly("a", {"queue", "", true});
    CHECK(submissionStep(rig.scheduler.table, rig.makeJob("a", 1, 1))
          == SubmissionStep::RefuseCancelled);
    Job anonymous = rig.makeJob("b", 1, 1);
    anonymous.organisation = "";
    rig.accept(anonymous);
    CHECK(rig.stepOf("b", {"queue", "", true}) == CancellationStep::AppendCancellation);
    CHECK(rig.stepOf("b", owner) == CancellationStep::AppendCancellation);
}

// Guards against a job that is answered as accepted and never runs, and against one caller's job
// that is shown to another or cancelled by it: jobs were looked up by their id alone.
TEST(EarlyCancellation, idOfAnotherCallersJobIsRefused)
{
    rig.accept(rig.makeJob("a", 1, 1));
    Job other = rig.makeJob("a", 2, 1);
    other.organisation = "other";
    CHECK(submissionStep(rig.scheduler.table, other) == SubmissionStep::RefuseIdInUse);
    other = rig.makeJob("a", 2, 1);
    other.queue = "other";
    CHECK(submissionStep(rig.scheduler.table, other) == SubmissionStep::RefuseIdInUse);
    CHECK(!visibleStateFor(rig.scheduler.table, "a", {"queue", "other", false}).has_value());
    CHECK(!visibleStateFor(rig.scheduler.table, "a", {"other", "lots", false}).has_value());
    CHECK(visibleStateFor(rig.scheduler.table, "a", owner) == "queued");
    CHECK(visibleStateFor(rig.scheduler.table, "a", {"queue", "", true}) == "queued");
}

// Two entries may accept jobs with the same id at the same time. The first record in the log
// counts, also for the next leader, which finds only the newest record of the key.
TEST(EarlyCancellation, firstOfTwoJobsWithTheSameIdStaysInTheLog)
{
    const Job first = rig.makeJob("a", 1, 1);
    Job second = rig.makeJob("a", 2, 1);
    second.organisation = "other";
    rig.accept(first);
    takeRecords(rig.scheduler, rig.now);
    rig.accept(second);
    CHECK_EQUAL(first.organisation, rig.scheduler.table.jobs.at("a").job->organisation);
    const std::vector<Record> records = takeRecords(rig.scheduler, rig.now);
    CHECK_EQUAL(1, records.size());
    CHECK_EQUAL(acceptanceRecord(first).key, records[0].key);
    CHECK_EQUAL(acceptanceRecord(first).value, records[0].value);
    rig.apply(records[0]);
    CHECK(takeRecords(rig.scheduler, rig.now).empty());
}

// The key has a fixed length, whatever the names of queue and organisation.
TEST(EarlyCancellation, recordSurvivesItsEncoding)
{
    const std::string id = "0123456789abcdef";
    for (const Caller &caller :
         {Caller{"q/1", std::string(300, 'o'), false}, Caller{"", "", true}}) {
        const Record record = earlyCancellationRecord(id, caller);
        CHECK(record.key.size() < 64);
        const auto key = parseKey(record.key);
        CHECK(key && key->kind == RecordKind::EarlyCancellation);
        CHECK_EQUAL(id, key->jobId);
        CHECK_EQUAL(callerKey(caller), key->callerKey);
        Reason reason;
        const auto decoded = decodeCaller(record.value, reason);
        CHECK(decoded.has_value());
        CHECK_EQUAL(caller.queue, decoded->queue);
        CHECK_EQUAL(caller.organisation, decoded->organisation);
        CHECK_EQUAL(caller.anyOrganisation, decoded->anyOrganisation);
    }
    // Stored by other versions and on other machines.
    CHECK_EQUAL(std::string("e/a/") + callerKey(owner), earlyCancellationRecord("a", owner).key);
    CHECK(!parseKey("e/a").has_value());
    CHECK_EQUAL(std::string("6e2d68ed8a0c79a3"), callerKey(owner));
}

TEST(EarlyCancellation, isDeletedWithEndedJobsAndItsIdMayBeUsedAgain)
{
    rig.cancelEarly("a", owner);
    takeRecords(rig.scheduler, rig.now);
    rig.advance(rig.scheduler.options.retainMs);
    CHECK(takeRecords(rig.scheduler, rig.now).empty());
    CHECK(submissionStep(rig.scheduler.table, rig.makeJob("a", 1, 1))
          == SubmissionStep::RefuseCancelled);
    rig.advance(1001);
    const std::vector<Record> records = takeRecords(rig.scheduler, rig.now);
    CHECK_EQUAL(1, records.size());
    CHECK_EQUAL(earlyCancellationRecord("a", owner).key, records[0].key);
    CHECK(records[0].value.empty());
    CHECK_EQUAL(0, rig.earlyCount());
    CHECK(rig.scheduler.table.earlyCancellations.countByOrganisation.empty());
    CHECK(submissionStep(rig.scheduler.table, rig.makeJob("a", 1, 1)) == SubmissionStep::Append);
}

// Guards against a job that runs because the next leader finds its acceptance and no cancellation.
TEST(EarlyCancellation, isKeptUntilTheEndOfItsJobIsStored)
{
    rig.cancelEarly("a", owner);
    takeRecords(rig.scheduler, rig.now);
    rig.advance(rig.scheduler.options.retainMs + 1001);
    rig.accept(rig.makeJob("a", 1, 1));
    plan(rig.scheduler, rig.now, rig.unixNow);
    const std::vector<Record> end = takeRecords(rig.scheduler, rig.now);
    CHECK_EQUAL(1, end.size());
    CHECK_EQUAL(1, rig.earlyCount());
    rig.apply(end[0]);
    CHECK_EQUAL(std::string("cancelled"), rig.jobState("a"));
    rig.advance(1001);
    CHECK_EQUAL(1, takeRecords(rig.scheduler, rig.now).size());
    CHECK_EQUAL(0, rig.earlyCount());
}

// The next leader does not know since when they are stored, and keeps them for the whole time.
TEST(EarlyCancellation, areKeptByTheNextLeader)
{
    rig.cancelEarly("a", owner);
    takeRecords(rig.scheduler, rig.now);
    rig.advance(rig.scheduler.options.retainMs - 1000);
    JobTable stored;
    Reason reason;
    const Record record = earlyCancellationRecord("a", owner);
    CHECK(applyRecord(stored, record.key, record.value, false, reason));
    endLeading(rig.scheduler);
    rig.scheduler.table = stored;
    rig.becomeLeader(2 << 20);
    CHECK_EQUAL(1, rig.expire().size());
    CHECK_EQUAL(0, rig.earlyCount());
}

// A flush with the deletions of many fits into one append.
TEST(EarlyCancellation, areDeletedInParts)
{
    const std::size_t most = rig.scheduler.options.maxEarlyCancellationsPerFlush;
    for (std::size_t i = 0; i < most + 10; ++i)
        rig.cancelEarly("a" + std::to_string(i), owner);
    CHECK_EQUAL(most, rig.expire().size());
    rig.advance(1001);
    CHECK_EQUAL(10, takeRecords(rig.scheduler, rig.now).size());
}

// Guards against a row that stays for ever, and cancels the next job with its id: the append of a
// cancellation was carried out after the job had been removed.
TEST(EarlyCancellation, lateCancellationOfARemovedJobIsDeleted)
{
    rig.cancel("a");
    const std::vector<Record> records = rig.expire();
    CHECK_EQUAL(3, records.size());
    CHECK_EQUAL(0, rig.scheduler.table.jobs.size());
}

TEST(EarlyCancellation, onlyUnknownJobsCountTowardsTheLimit)
{
    rig.scheduler.options.maxEarlyCancellations = 2;
    rig.accept(rig.makeJob("known", 1, 1));
    rig.cancelEarly("a", owner);
    CHECK(rig.stepOf("b", owner) == CancellationStep::AppendEarlyCancellation);
    rig.cancelEarly("b", owner);
    rig.cancelEarly("b", owner); // repeated
    CHECK(rig.stepOf("a", owner) == CancellationStep::Unknown);
    CHECK(rig.stepOf("c", owner) == CancellationStep::RefuseTooMany);
    CHECK(rig.stepOf("c", {"queue", "other", false}) == CancellationStep::AppendEarlyCancellation);
    CHECK(rig.stepOf("known", owner) == CancellationStep::AppendCancellation);
    CHECK(cancellationStep(rig.scheduler.table, rig.scheduler.options, "c", owner, false, 0)
          == CancellationStep::ReadLog);
    CHECK(cancellationStep(rig.scheduler.table, rig.scheduler.options, "c",
                           {"queue", "other", false}, true, 2)
          == CancellationStep::RefuseTooMany);
}

TEST(EarlyCancellation, malformedRecordChangesNothing)
{
    Reason reason;
    const std::string key = earlyCancellationKey("a", callerKey(owner));
    for (const char *value :
         {"{", "[]", "{}", R"({"queue":1})", R"({"queue":"q","organisation":2})"})
        CHECK(!applyRecord(rig.scheduler.table, key, value, true, reason));
    CHECK_EQUAL(0, rig.earlyCount());
}

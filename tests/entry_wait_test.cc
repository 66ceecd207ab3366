// Tests how long accepted jobs are held back although there is room for them: by reservations of
// data centres, by what the entry believes of workers that are lost, silent or set aside, and by
// the limits of a scheduling pass.

#include "tests/entry_rig.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>

using namespace flamingo;
using namespace flamingo::tests;

namespace {

// One data centre with the workers w0 and w1 of 8 accelerators, and a stream of runs that fill one
// worker each. A gang of two such members waits for both workers at once.
struct WideJobRig
{
    static constexpr TimeMs stepMs = 500;

    Rig rig;
    std::map<std::string, std::pair<std::string, Start>> runs; // by attempt
    std::map<std::string, TimeMs> endsAt; // by attempt
    TimeMs runMs = 0; // of the next runs that start
    TimeMs begin = 0;
    TimeMs wideStartedAt = 0; // 0: not started
    TimeMs idleSince = 0; // last moment without an idle worker
    TimeMs longestIdleMs = 0;
    TimeMs idleMs = 0; // total

    // The run on one worker takes `firstRunMs`, all others `runMs`.
    WideJobRig(TimeMs firstRunMs, TimeMs runMs)
        : rig(rigWithAgents(2))
        , runMs(firstRunMs)
        , begin(this->rig.now)
    {
        this->rig.submit("first", job("a", 8));
        this->takeStarts();
        this->runMs = runMs;
        auto wide = job("b", 8);
        wide.members = 2;
        this->rig.submit("wide", wide);
        this->idleSince = this->rig.now;
    }

    void sendReport(const std::string &worker)
    {
        auto report = this->rig.report(worker);
        for (const auto &[attempt, run] : this->runs) {
            if (run.first != worker)
                continue;
            report.freeMask = 0;
            report.tasks.emplace_back();
            report.tasks.back().attempt = attempt;
            report.tasks.back().organisation = run.second.spec->organisation;
            report.tasks.back().accelerators = 8;
        }
        this->rig.handleFrom(worker, report);
    }

    void takeStarts()
    {
        for (const auto &[agent, start] : this->rig.takeSent<Start>()) {
            this->rig.handleFrom(agent, accepted(start));
            if (start.spec->members == 2)
                this->wideStartedAt = this->rig.now;
            this->runs[start.attempt] = {agent, start};
            this->endsAt[start.attempt] = this->rig.now + this->runMs;
        }
    }

    void step()
    {
        this->rig.now += stepMs;
        while (this->rig.entry.queue.size < 3)
            this->rig.submit("r", job("a", 8));
        this->rig.handle(Tick{});
        const auto ends = this->endsAt;
        for (const auto &[attempt, at] : ends) {
            if (this->rig.now < at)
                continue;
            const auto [agent, start] = this->runs.at(attempt);
            this->runs.erase(attempt);
            this->endsAt.erase(attempt);
            this->sendReport(agent);
            this->rig.handleFrom(agent, ran(start, ""));
        }
        this->takeStarts();
        this->sendReport("w0");
        this->sendReport("w1");
        this->takeStarts();
        if (this->runs.size() >= 2) {
            this->idleSince = this->rig.now;
            return;
        }
        this->longestIdleMs = std::max(this->longestIdleMs, this->rig.now - this->idleSince);
        this->idleMs += stepMs;
    }

    void runUntilWideStarts(TimeMs limitMs)
    {
        while (this->rig.now < this->begin + limitMs && this->wideStartedAt == 0)
            this->step();
    }
};

constexpr TimeMs hourMs = 3600000;

} // namespace

TEST_GROUP(EntryWait){};

// ---- Reservations ----

// Guards against a data centre that is kept idle without end for a wide job, because a run that it
// waits for does not end.
TEST(EntryWait, aReservationKeepsCapacityIdleForALimitedTime)
{
    WideJobRig wide(1000 * hourMs, 2000);
    wide.runUntilWideStarts(hourMs);
    CHECK(wide.wideStartedAt == 0);
    CHECK(wide.longestIdleMs > 10000); // capacity was reserved
    CHECK(wide.longestIdleMs <= hourMs / 2);
    // Half of the time, and the last reservation may be about as long as all before it together.
    CHECK(wide.idleMs <= hourMs * 2 / 3);
    // The log and `flamingoctl explain` name the cause.
    const auto &lines = wide.rig.out.logLines;
    CHECK(std::any_of(lines.begin(), lines.end(), [](const auto &line) {
        return line.find("reservation ended data_centre=dc-1 job=entry-1.1.2 lasted_ms=5")
            != std::string::npos
            && line.find("cause=\"time limit\"") != std::string::npos;
    }));
}

TEST(EntryWait, explainNamesTheReservationThatHoldsAJobBack)
{
    WideJobRig wide(1000 * hourMs, 2000);
    const auto reserved = [&wide] {
        return wide.rig.entry.view.dataCentres.at(0).reservedForJob != 0;
    };
    while (!reserved() || wide.runs.size() > 1)
        wide.step();
    auto spec = job("a", 8);
    spec.job = "held";
    wide.rig.submit("held", spec);
    const auto text = explainJob(wide.rig.entry, "held", wide.rig.now);
    CHECK(text.find("dc-1 is reserved for job entry-1.1.2") != std::string::npos);
    CHECK(text.find("\"heldFor\": \"entry-1.1.2\"") != std::string::npos);
    CHECK(text.find("heldAtMostMs") != std::string::npos);
}

// Guards against a wide job that never starts, because its reservations end before the runs do that
// it waits for.
TEST(EntryWait, aWideJobStartsAlthoughRunsOutlastItsFirstReservation)
{
    for (const TimeMs runMs : {2000, 20000, 100000}) {
        WideJobRig wide(runMs / 2, runMs);
        wide.runUntilWideStarts(40 * runMs);
        CHECK(wide.wideStartedAt != 0);
    }
}

// ---- Lost workers ----

// Guards against a job that waits without end for its organisation's limit, because the tasks of a
// worker that never returns still count against it.
TEST(EntryWait, theTasksOfALostWorkerCountAgainstTheLimitForALimitedTime)
{
    auto rig = rigWithAgents(2);
    rig.editTable(
        R"({"organisations": [{"name": "a", "homeRegion": "west", "limitAccelerators": 8}]})");
    rig.deliverAppends();
    rig.submit("r", job("a", 8));
    const auto [lost, start] = rig.takeSent<Start>().at(0);
    const std::string other = lost == "w0" ? "w1" : "w0";
    rig.handleFrom(lost, accepted(start));
    auto report = rig.report(lost, 0);
    report.tasks.emplace_back();
    report.tasks.back().attempt = start.attempt;
    report.tasks.back().organisation = "a";
    report.tasks.back().accelerators = 8;
    rig.handleFrom(lost, report);
    rig.handle(PeerDown{lost});
    std::vector<std::pair<std::string, Start>> starts;
    for (int second = 0; second < 60 && starts.empty(); ++second) {
        rig.advance(1000);
        rig.handleFrom(other, rig.report(other));
        starts = rig.takeSent<Start>();
    }
    CHECK_EQUAL(1U, starts.size());
    CHECK_EQUAL(other, starts[0].first);
    // The worker returns with the task, which counts again.
    rig.connectPeer(lost, ProcessKind::Agent);
    report.sequence = ++rig.sequence;
    rig.handleFrom(lost, report);
    CHECK_EQUAL(16, usageOf(rig.entry.view, "a").accelerators);
    rig.handleFrom(lost, rig.report(lost));
    CHECK_EQUAL(8, usageOf(rig.entry.view, "a").accelerators);
}

// ---- Limits of a scheduling pass ----

// Guards against a job that never starts although it fits, because the jobs before it that do not
// fit use up all searches of every pass.
TEST(EntryWait, jobsBehindManyThatDoNotFitAreStarted)
{
    auto rig = rigWithAgents(1);
    auto report = rig.report("w0");
    report.freeCores = 0;
    rig.handleFrom("w0", report);
    // No job needs as much as an earlier one in every respect, so each is searched for.
    for (std::uint32_t i = 0; i < 200; ++i) {
        auto large = job("a", 1);
        large.cores = 60 - i / 5;
        large.memoryMib = 1000 + 100 * (i / 5) - i % 5;
        rig.submit("large", large);
    }
    auto small = job("a", 1);
    small.cores = 1;
    small.memoryMib = 2000;
    rig.submit("small", small);
    std::vector<std::pair<std::string, Start>> starts;
    for (int second = 0; second < 20 && starts.empty(); ++second) {
        report = rig.report("w0");
        report.freeCores = 10;
        rig.handleFrom("w0", report);
        rig.advance(1000);
        starts = rig.takeSent<Start>();
    }
    CHECK(!starts.empty());
    CHECK_EQUAL(1U, starts[0].second.spec->cores);
}

// ---- Cancels that are lost ----

// Guards against a task that runs on without end after its job was cancelled, because the Cancel
// was lost with a connection.
TEST(EntryWait, aCancelIsRepeatedWhileTheAgentReportsTheTask)
{
    auto rig = rigWithAgents(1);
    rig.submit("r", job("a", 8));
    const auto [agent, start] = rig.takeSent<Start>().at(0);
    rig.handleFrom(agent, accepted(start));
    rig.handle(CancelJob{"c", start.spec->job});
    CHECK_EQUAL(1U, rig.takeSent<Cancel>().size());
    rig.handle(PeerDown{agent});
    rig.connectPeer(agent, ProcessKind::Agent);
    rig.advance(20000); // the entry answers the caller and drops the attempt
    rig.takeReplies();
    rig.takeSent<Cancel>();
    auto report = rig.report(agent, 0);
    report.tasks.emplace_back();
    report.tasks.back().job = start.spec->job;
    report.tasks.back().attempt = start.attempt;
    report.tasks.back().organisation = "a";
    report.tasks.back().accelerators = 8;
    rig.handleFrom(agent, report);
    const auto cancels = rig.takeSent<Cancel>();
    CHECK_EQUAL(1U, cancels.size());
    CHECK_EQUAL(agent, cancels[0].first);
    CHECK_EQUAL(start.attempt, cancels[0].second.attempt);
    auto stopped = ran(start, "");
    stopped.verdict = Verdict::NotRun;
    stopped.reason = ReasonCode::Cancelled;
    rig.handleFrom(agent, stopped);
    report.sequence = ++rig.sequence;
    rig.advance(2000);
    rig.handleFrom(agent, report);
    CHECK(rig.takeSent<Cancel>().empty());
}

// Guards against a job that runs on in another region after it was cancelled, because the Cancel
// was lost while the connection stayed open.
TEST(EntryWait, theCancelOfAForwardedJobIsRepeated)
{
    auto rig = rigWithAgents(1);
    rig.connectPeer("entry-2", ProcessKind::Entry, "east");
    auto spec = job("a", 1);
    spec.job = "j";
    spec.key = "k";
    spec.idempotent = false;
    spec.homeRegion = "east";
    rig.submit("r", spec);
    const auto forward = rig.takeSent<Forward>().at(0).second;
    rig.handle(CancelJob{"c", "j"});
    CHECK_EQUAL(1U, rig.takeSent<Cancel>().size());
    rig.advance(30000);
    const auto cancels = rig.takeSent<Cancel>();
    CHECK(!cancels.empty() && cancels.size() <= 3);
    CHECK_EQUAL(std::string("entry-2"), cancels[0].first);
    CHECK_EQUAL(std::string("j"), cancels[0].second.job);
}

// ---- Large regions, in which reports are far apart ----

namespace {

// Adds an agent with so many tasks that an agent is asked for a report every `seconds`.
void addAgentWithLargeReport(Rig &rig, std::string_view name, std::size_t seconds)
{
    rig.connectPeer(name, ProcessKind::Agent);
    auto report = rig.report(name, 0);
    report.freeSlots = 0;
    for (std::size_t i = 0; i < seconds * 21; ++i) {
        report.tasks.emplace_back();
        report.tasks.back().attempt = "elsewhere" + std::to_string(i);
        report.tasks.back().organisation = "b";
    }
    rig.handleFrom(name, report);
    rig.out.sends.clear();
}

} // namespace

// Guards against a job that is not started again for minutes after its agent's machine failed,
// because agents of large regions may be silent for that long.
TEST(EntryWait, aJobOfADisconnectedAgentIsRetriedWhateverTheReportInterval)
{
    auto rig = rigWithAgents(2);
    addAgentWithLargeReport(rig, "busy", 60);
    rig.submit("r", job("a", 8));
    const auto [agent, start] = rig.takeSent<Start>().at(0);
    rig.handleFrom(agent, accepted(start));
    rig.advance(20000); // silent, which is in order
    CHECK(rig.takeSent<Start>().empty());
    rig.handle(PeerDown{agent});
    rig.advance(rig.entry.options.agentSilentAfterMs - 500);
    CHECK(rig.takeSent<Start>().empty()); // it may connect again
    rig.advance(2000);
    const auto starts = rig.takeSent<Start>();
    CHECK_EQUAL(1U, starts.size());
    CHECK(starts[0].first != agent);
}

// Guards against capacity that stays unused until the next report, because a Start was lost.
TEST(EntryWait, theCapacityOfALostStartIsUsedAgainWhateverTheReportInterval)
{
    auto rig = rigWithAgents(1);
    addAgentWithLargeReport(rig, "busy", 300);
    rig.submit("r", job("a", 8));
    CHECK_EQUAL(1U, rig.takeSent<Start>().size());
    rig.advance(12000); // no reply, and no report
    CHECK(!rig.takeSent<Start>().empty());
}

// ---- Refusals of workers that are set aside ----

// Guards against a job that is ended as failed although it never ran, because it met three workers
// that do not answer or are set aside.
TEST(EntryWait, refusalsOfFailedWorkersDoNotCountAsRunsOfTheJob)
{
    auto rig = rigWithAgents(6);
    std::set<std::string> refusing;
    const auto sendReports = [&rig, &refusing] {
        for (const auto *name : {"w0", "w1", "w2", "w3", "w4", "w5"}) {
            auto report = rig.report(name);
            report.setAside = refusing.count(name) > 0;
            rig.handleFrom(name, report);
        }
    };
    rig.submit("r", job("a", 8));
    bool started = false;
    for (int second = 0; second < 10 && !started; ++second) {
        for (auto starts = rig.takeSent<Start>(); !starts.empty() && !started;
             starts = rig.takeSent<Start>()) {
            const auto &[agent, start] = starts.front();
            started = refusing.size() == 5;
            if (started)
                break;
            refusing.insert(agent);
            StartReply refused;
            refused.job = start.spec->job;
            refused.attempt = start.attempt;
            refused.reason = ReasonCode::WorkerFailed;
            refused.retryAfterMs = 300000;
            rig.handleFrom(agent, refused);
        }
        sendReports();
        rig.advance(1000);
    }
    CHECK(rig.takeReplies().empty());
    CHECK(started);
}

// ---- Owners of key ranges that leave ----

// Guards against keys that are refused for 10 s after a graceful shutdown of their owner, because
// its ranges are only moved when it is silent.
TEST(EntryWait, theKeyRangesOfADrainingAgentAreMovedBeforeItLeaves)
{
    auto rig = rigWithAgents(2);
    LogRead read;
    read.stream = claimsStream;
    const auto addLine = [&read](std::string text) {
        read.lines.emplace_back();
        read.lines.back().offset = read.next++;
        read.lines.back().text = std::move(text);
    };
    addLine(announceLine("w0", "west", 1));
    addLine(announceLine("w1", "west", 1));
    for (std::uint32_t range = 0; range < rangesPerRegion; ++range)
        addLine(epochLine("west", range, 1, range % 2 == 0 ? "w0" : "w1", 1));
    rig.handle(read);
    const auto runSeconds = [&rig](int seconds, bool draining) {
        for (int i = 0; i < seconds; ++i) {
            auto report = rig.report("w0");
            report.draining = draining;
            rig.handleFrom("w0", report);
            rig.handleFrom("w1", rig.report("w1"));
            rig.advance(1000);
        }
    };
    runSeconds(5, false);
    rig.out.appends.clear();
    runSeconds(5, true);
    std::set<std::string> lines;
    for (const auto &append : rig.out.appends)
        lines.insert(append.lines.begin(), append.lines.end());
    for (std::uint32_t range = 0; range < rangesPerRegion; range += 2)
        CHECK_EQUAL(1U, lines.count(epochLine("west", range, 2, "w1", 1)));
    CHECK_EQUAL(std::size_t{rangesPerRegion / 2}, lines.size());
}

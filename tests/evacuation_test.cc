// Evacuations of data centres: what the leader places and withdraws, and which starts the agent
// holds back.

#include "flamingo/scheduler/host_agent.h"
#include "scheduler_rig.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace flamingo;
using namespace flamingo::scheduler;
using flamingo::tests::SchedulerRig;

namespace {

// Two data centres, d1 with the rack r1 and d2 with r2, of `hosts` hosts each.
struct Rig : SchedulerRig
{
    explicit Rig(std::size_t hosts = 1)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            this->addWorkerIn("d1", "a" + std::to_string(i), "r1");
            this->addWorkerIn("d2", "b" + std::to_string(i), "r2");
        }
    }

    void addWorkerIn(const std::string &dataCentre, const std::string &host,
                     const std::string &rack)
    {
        this->reportOf(host, rack).dataCentre = dataCentre;
        this->addWorker(host, rack);
    }

    void evacuate(const std::string &dataCentre)
    {
        applyEvacuationRecord(this->scheduler.evacuations, dataCentre, "{}", 1, this->now);
    }

    void takeBack(const std::string &dataCentre)
    {
        applyEvacuationRecord(this->scheduler.evacuations, dataCentre, "", 2, this->now);
    }

    void reportAll(int times = 3)
    {
        for (int i = 0; i < times; ++i) {
            this->advance(100);
            for (const auto &[host, report] : std::map(this->nextReports))
                this->sendReport(host);
        }
    }

    bool logged(std::string_view text) const
    {
        const auto &lines = this->scheduler.decisions;
        return std::any_of(lines.begin(), lines.end(), [text](const std::string &line) {
            return line.find(text) != std::string::npos;
        });
    }
};

// An agent whose worker has accepted its token, so that starts are sent.
struct AgentRig
{
    HostAgent agent;
    HostOrders orders;
    TimeMs now = 100000;

    AgentRig()
    {
        this->agent.options.host = "h";
        this->agent.options.dataCentre = "d1";
        this->agent.options.evacuationValidMs = 4500;
        WorkerInfo info;
        info.id = "w";
        info.bornUnixMs = 1;
        applyHeartbeat(this->agent, info, 1, this->now);
        this->orders.epoch = 1;
        this->orders.workerKey = workerKey("h", info);
        this->orders.fencingToken = 5;
        this->orders.grantMs = 9000;
        this->receive();
        this->answerPolls();
        this->answerPolls();
    }

    void receive()
    {
        applyOrders(this->agent, this->orders, this->now, ++this->agent.sequence, this->now);
    }

    void answerPolls()
    {
        for (const WorkerCall &call : dueCalls(this->agent, this->now)) {
            WorkerAnswer answer;
            answer.result = CallResult::Done;
            answer.clockMs = this->now;
            answer.bornUnixMs = 1;
            applyAnswer(this->agent, call, answer, this->now);
        }
    }

    // Number of starts and stops that are due.
    std::pair<int, int> dueOrders()
    {
        std::pair<int, int> result;
        for (const WorkerCall &call : dueCalls(this->agent, this->now)) {
            result.first += std::holds_alternative<StartCall>(call) ? 1 : 0;
            result.second += std::holds_alternative<StopCall>(call) ? 1 : 0;
        }
        return result;
    }
};

} // namespace

TEST_GROUP(Evacuation){};

TEST(Evacuation, requestIsInForceFromItsFirstRecordToTheRemoval)
{
    Evacuations evacuations;
    CHECK(!isEvacuated(evacuations, "d1"));
    CHECK(applyEvacuationRecord(evacuations, "d1", "{}", 4, 100));
    CHECK(!applyEvacuationRecord(evacuations, "d1", "unreadable", 5, 200));
    LONGS_EQUAL(100, evacuations.at("d1").since);
    LONGS_EQUAL(5, evacuations.at("d1").offset);
    CHECK(!applyEvacuationRecord(evacuations, "d2", "", 6, 300));
    CHECK(applyEvacuationRecord(evacuations, "d1", "", 7, 400));
    CHECK(applyEvacuationRecord(evacuations, "d1", "{}", 8, 500));
    LONGS_EQUAL(500, evacuations.at("d1").since);
}

TEST(Evacuation, workIsPlacedElsewhere)
{
    Rig rig;
    rig.evacuate("d1");
    rig.accept(rig.makeJob("one", 4, 2));
    rig.reportAll();
    LONGS_EQUAL(0, rig.runCount("a0"));
    LONGS_EQUAL(4, rig.runCount("b0"));
}

TEST(Evacuation, runsInProgressGoOnAndUnconfirmedStartsAreWithdrawn)
{
    Rig rig;
    rig.accept(rig.makeJob("first", 16, 1));
    rig.reportAll();
    LONGS_EQUAL(8, rig.runCount("a0"));
    rig.endRun("a0", "first.0.0.0", 1, EndKind::Done);
    rig.accept(rig.makeJob("second", 1, 1));
    // Assigned by this plan; the start has not been confirmed when the request is read.
    rig.planAndStore();
    HostReport report = rig.nextReports.at("a0");
    report.sequence = ++rig.reportCount;
    applyReport(rig.scheduler, report, rig.now);
    rig.planAndStore();
    LONGS_EQUAL(1, ordersFor(rig.scheduler, "a0").starts.size());
    rig.evacuate("d1");
    rig.planAndStore();
    const HostOrders orders = ordersFor(rig.scheduler, "a0");
    CHECK(orders.evacuated);
    LONGS_EQUAL(0, orders.starts.size());
    LONGS_EQUAL(1, orders.stops.size());
    LONGS_EQUAL(7, rig.runCount("a0"));
    CHECK(rig.logged("cause=\"its data centre is evacuated\""));
    const auto status = evacuationStatus(rig.scheduler);
    LONGS_EQUAL(1, status.size());
    LONGS_EQUAL(1, status[0].hosts);
    LONGS_EQUAL(1, status[0].startsWithdrawn);
}

// A gang of which a part was to start in the data centre starts elsewhere as a whole.
TEST(Evacuation, gangThatWasToStartThereMovesAsAWhole)
{
    Rig rig(2);
    Job gang = rig.makeJob("gang", 2, 8);
    gang.steps[0].gang = true;
    gang.steps[0].dataRack = "r1";
    rig.accept(gang);
    rig.planAndStore();
    rig.evacuate("d1");
    rig.reportAll(8);
    LONGS_EQUAL(1, rig.runCount("b0"));
    LONGS_EQUAL(1, rig.runCount("b1"));
}

TEST(Evacuation, waitHasACauseOfItsOwnAndEndsWithTheReturn)
{
    Rig rig;
    Job job = rig.makeJob("large", 2, 8);
    job.steps[0].gang = true;
    rig.evacuate("d1");
    rig.accept(job);
    rig.reportAll(12);
    CHECK(rig.logged("cause=\"the data centre is evacuated\""));
    LONGS_EQUAL(0, rig.runCount("b0"));
    rig.takeBack("d1");
    rig.reportAll();
    LONGS_EQUAL(1, rig.runCount("a0"));
    LONGS_EQUAL(1, rig.runCount("b0"));
}

// Long waits lift other restrictions, never this one.
TEST(Evacuation, isNotLiftedHoweverLongTheServiceIsIdle)
{
    Rig rig;
    Job job = rig.makeJob("labelled", 1, 1);
    job.steps[0].requiredLabel = "r1";
    rig.evacuate("d1");
    rig.accept(job);
    rig.reportAll(400);
    LONGS_EQUAL(0, rig.runCount("a0"));
}

TEST(Evacuation, guaranteeIsKeptElsewhere)
{
    Rig rig;
    rig.scheduler.guarantees["lots"] = 8;
    Job others = rig.makeJob("others", 8, 1, 2);
    others.organisation = "other";
    others.steps[0].requiredLabel = "r2";
    rig.accept(others);
    rig.reportAll();
    LONGS_EQUAL(8, rig.runCount("b0"));
    rig.evacuate("d1");
    rig.accept(rig.makeJob("urgent", 1, 8, 0));
    for (int i = 0; i < 20; ++i)
        rig.reportAll(1);
    LONGS_EQUAL(0, rig.runCount("a0"));
    LONGS_EQUAL(1, rig.runCount("b0"));
}

TEST(Evacuation, dataThereDoesNotKeepATaskWaiting)
{
    Rig rig;
    Job job = rig.makeJob("near", 1, 1);
    job.steps[0].dataRack = "r1";
    rig.evacuate("d1");
    rig.accept(job);
    rig.reportAll();
    LONGS_EQUAL(1, rig.runCount("b0"));
}

TEST(Evacuation, lastingTaskThatEndsThereGoesElsewhere)
{
    Rig rig;
    Job job = rig.makeJob("service", 1, 1);
    job.steps[0].longRunning = true;
    rig.accept(job);
    rig.reportAll();
    const std::string from = rig.runCount("a0") == 1 ? "a0" : "b0";
    const std::string to = from == "a0" ? "b0" : "a0";
    rig.evacuate(from == "a0" ? "d1" : "d2");
    rig.reportAll();
    LONGS_EQUAL(1, rig.runCount(from));
    rig.endRun(from, "service.0.0.0", 1, EndKind::Failed);
    rig.reportAll(10);
    LONGS_EQUAL(0, rig.runCount(from));
    LONGS_EQUAL(1, rig.runCount(to));
}

TEST(Evacuation, severalAtOnceAndANameThatNoHostHas)
{
    Rig rig;
    rig.evacuate("d1");
    rig.evacuate("d2");
    rig.evacuate("nowhere");
    rig.accept(rig.makeJob("job", 1, 1));
    rig.reportAll();
    LONGS_EQUAL(0, rig.runCount("a0") + rig.runCount("b0"));
    const auto status = evacuationStatus(rig.scheduler);
    LONGS_EQUAL(3, status.size());
    LONGS_EQUAL(0, status[2].hosts);
    rig.takeBack("d2");
    rig.reportAll();
    LONGS_EQUAL(1, rig.runCount("b0"));
}

// A data centre that is taken back may have workers that are still slow after their start.
TEST(Evacuation, slowWorkersThatReturnAreTheLaterChoice)
{
    Rig rig;
    rig.reportOf("a0").worker->coldMs = 5000;
    rig.reportAll();
    rig.accept(rig.makeJob("urgent", 1, 4, 0));
    rig.reportAll();
    LONGS_EQUAL(0, rig.runCount("a0"));
    LONGS_EQUAL(1, rig.runCount("b0"));
    rig.accept(rig.makeJob("more", 1, 8, 0));
    rig.reportAll();
    LONGS_EQUAL(1, rig.runCount("a0"));
}

TEST(Evacuation, agentSendsNoStartWhenTheLeadersKnowledgeIsOld)
{
    AgentRig rig;
    rig.now += 4600;
    rig.orders.starts = {{"job.0.0.0", 1, "payload", ""}};
    rig.orders.evacuationsAgeMs = 4600;
    rig.receive();
    LONGS_EQUAL(0, rig.dueOrders().first);
    rig.orders.evacuationsAgeMs = 100;
    rig.receive();
    LONGS_EQUAL(1, rig.dueOrders().first);
}

TEST(Evacuation, agentWithoutABoundSendsTheStart)
{
    AgentRig rig;
    rig.agent.options.evacuationValidMs = 0;
    rig.orders.starts = {{"job.0.0.0", 1, "payload", ""}};
    rig.orders.evacuationsAgeMs = 4600;
    rig.receive();
    LONGS_EQUAL(1, rig.dueOrders().first);
}

TEST(Evacuation, agentStopsAStartThatIsOnItsWay)
{
    AgentRig rig;
    rig.orders.starts = {{"job.0.0.0", 1, "payload", ""}};
    rig.receive();
    const std::vector<WorkerCall> calls = dueCalls(rig.agent, rig.now);
    CHECK(std::holds_alternative<StartCall>(calls.back()));
    rig.now += 500;
    rig.orders.starts.clear();
    rig.orders.evacuated = true;
    rig.receive();
    applyAnswer(rig.agent, calls.back(), {}, rig.now); // no answer: the start would be repeated
    rig.now += 500;
    const auto [starts, stops] = rig.dueOrders();
    LONGS_EQUAL(0, starts);
    LONGS_EQUAL(1, stops);
    LONGS_EQUAL(1, rig.agent.startsWithdrawn);
}

// An answer with older knowledge, which arrives late, does not end the evacuation.
TEST(Evacuation, agentIgnoresOlderKnowledge)
{
    AgentRig rig;
    rig.orders.evacuated = true;
    rig.receive();
    rig.orders.evacuated = false;
    rig.orders.evacuationsAgeMs = 300;
    rig.orders.starts = {{"job.0.0.0", 1, "payload", ""}};
    rig.receive();
    LONGS_EQUAL(0, rig.dueOrders().first);
    rig.now += 1000;
    rig.orders.starts = {{"job.0.0.0", 2, "payload", ""}};
    rig.receive();
    LONGS_EQUAL(1, rig.dueOrders().first);
}

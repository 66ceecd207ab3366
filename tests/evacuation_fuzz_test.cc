// Simulations with random faults in which data centres are evacuated and taken back: no task starts
// in an evacuated data centre after the bound, whatever fails, and every job ends afterwards.

#include "scheduler_simulation.h"
#include "simulation_runs.h"

#include <CppUTest/TestHarness.h>

#include <CppUTest/MemoryLeakWarningPlugin.h>

using namespace flamingo;
using namespace flamingo::scheduler;
using flamingo::tests::runSeeds;
using flamingo::tests::shortRuns;
using flamingo::tests::SimulationFaults;

namespace {

// The simulations allocate too much memory for the leak detector; `make sanitize` finds leaks.
const bool leakDetectorOff = [] {
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return true;
}();

} // namespace

TEST_GROUP(EvacuationFuzz){};

// Guards against starts in a data centre after its evacuation was requested, whatever fails.
TEST(EvacuationFuzz, evacuationsBesideRandomFaults)
{
    SimulationFaults faults;
    faults.evacuationsPerSecond = 0.3;
    faults.agentPausesPerSecond = 0.05;
    STRCMP_EQUAL("", runSeeds(faults, shortRuns).c_str());
}

TEST(EvacuationFuzz, evacuationsBesideOutagesOfTheLog)
{
    SimulationFaults faults;
    faults.evacuationsPerSecond = 0.5;
    faults.logOutagesPerSecond = 0.2;
    faults.leaderChangesPerSecond = 0.3;
    STRCMP_EQUAL("", runSeeds(faults, shortRuns).c_str());
}

// A scheduler that does not read the requests.
TEST(EvacuationFuzz, oracleDetectsStartsInEvacuatedDataCentres)
{
    SimulationFaults faults;
    faults.evacuationsPerSecond = 0.3;
    const auto ignoreRequests = [](Scheduler &scheduler) { scheduler.evacuations.clear(); };
    CHECK(!runSeeds(faults, shortRuns, ignoreRequests).empty());
}

// Leaders that cannot read the requests while all else works.
TEST(EvacuationFuzz, evacuationsBesideRequestsThatCannotBeRead)
{
    SimulationFaults faults;
    faults.evacuationsPerSecond = 0.5;
    faults.requestOutagesPerSecond = 0.1;
    STRCMP_EQUAL("", runSeeds(faults, shortRuns).c_str());
}

// Agents that do not bound the age of the leader's knowledge.
TEST(EvacuationFuzz, oracleDetectsStartsByLeadersThatDoNotKnowOfAnEvacuation)
{
    SimulationFaults faults;
    faults.evacuationsPerSecond = 0.5;
    faults.requestOutagesPerSecond = 0.1;
    const auto unbounded = [](HostAgent &agent, TimeMs) { agent.options.evacuationValidMs = 0; };
    CHECK(!runSeeds(faults, shortRuns, nullptr, unbounded).empty());
}

#ifndef FLAMINGO_TESTS_SIMULATION_RUNS_H
#define FLAMINGO_TESTS_SIMULATION_RUNS_H

// Runs the simulation of the scheduler over several seeds, for the tests with random faults.
//
// FLAMINGO_FUZZ_SEED sets the first seed.

#include "scheduler_simulation.h"

#include <cstdlib>

namespace flamingo::tests {

constexpr std::uint64_t firstSeed = 1;
constexpr std::uint64_t defaultRuns = 60;
constexpr std::uint64_t shortRuns = 10;
constexpr TimeMs faultyMs = 40000;
constexpr TimeMs calmMs = 200000;

inline std::uint64_t numberOr(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Simulates `runs` seeds until one breaks a rule. Returns the violation; empty when there is none.
// Adds up SchedulerSimulation::acceptancesAfterCancellation() if that is asked for.
inline std::string
runSeeds(const SimulationFaults &faults, std::uint64_t runs,
         const std::function<void(scheduler::Scheduler &)> &beforePlan = nullptr,
         const std::function<void(scheduler::HostAgent &, TimeMs)> &beforeCalls = nullptr,
         std::size_t *acceptancesAfterCancellation = nullptr)
{
    const std::uint64_t first = numberOr("FLAMINGO_FUZZ_SEED", firstSeed);
    std::size_t starts = 0;
    std::size_t refusedStops = 0;
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        SchedulerSimulation simulation(seed, faults);
        simulation.beforePlan = beforePlan;
        simulation.beforeCalls = beforeCalls;
        simulation.run(faultyMs, calmMs);
        starts += simulation.starts();
        refusedStops += simulation.refusedStops();
        if (acceptancesAfterCancellation != nullptr)
            *acceptancesAfterCancellation += simulation.acceptancesAfterCancellation();
        if (!simulation.violation().empty())
            return "seed " + std::to_string(seed) + " at " + simulation.violation();
    }
    if (faults.busyWorkersPerSecond > 0 && refusedStops == 0)
        return "no stop was refused";
    return starts > 0 ? "" : "no task was started";
}

} // namespace flamingo::tests

#endif

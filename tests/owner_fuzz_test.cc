// Runs random schedules of requests and faults against the at-most-once protocol.
//
// Guards against a key whose work runs twice, a reply "not run" for work that ran, a reply "ran"
// for work that did not run, a key that is never settled, and work that ran without a record at the
// key's owner.
//
// The seed is fixed, so that every CI run gives the same result. FLAMINGO_FUZZ_RUNS=N sets the
// number of schedules; RC_PARAMS replaces all parameters.

#include "tests/owner_world.h"

#include <rapidcheck.h>

#include <cstdlib>
#include <iostream>

// Last, because it redefines `new`.
#include <CppUTest/TestHarness.h>

using namespace flamingo;
using namespace flamingo::tests;

namespace {

// SubmitRecent chooses among 4 keys: the last 3 that were submitted and the next new one.
constexpr std::uint32_t recentKeyCount = 4;

enum class StepKind : std::uint8_t {
    SubmitRecent,
    SubmitNew,
    SubmitTwice, // the same key twice, with a delay
    IsolateOwner, // of one range
    Kill,
    Pause,
    LogOutage, // for all processes
    DisconnectFromLog, // one process
    DisconnectPair, // two processes from each other
    StartRandomFaults, // lost, duplicated and slow messages, and appends without an acknowledgement
    StopRandomFaults
};

struct Step
{
    StepKind kind = StepKind::SubmitRecent;
    std::uint32_t selector = 0; // chooses the key, range or process
    std::uint32_t otherSelector = 0; // second process of DisconnectPair, variant of IsolateOwner
    TimeMs gapMs = 0; // time until the next step
    TimeMs durationMs = 0;
};

std::ostream &operator<<(std::ostream &out, const Step &step)
{
    return out << "{" << static_cast<int>(step.kind) << ", " << step.selector << ", "
               << step.otherSelector << ", gap " << step.gapMs << ", duration " << step.durationMs
               << "}";
}

rc::Gen<Step> genStep()
{
    return rc::gen::build<Step>(
        rc::gen::set(&Step::kind,
                     rc::gen::weightedElement<StepKind>({{8, StepKind::SubmitRecent},
                                                         {6, StepKind::SubmitNew},
                                                         {6, StepKind::SubmitTwice},
                                                         {3, StepKind::IsolateOwner},
                                                         {3, StepKind::Kill},
                                                         {3, StepKind::Pause},
                                                         {2, StepKind::LogOutage},
                                                         {3, StepKind::DisconnectFromLog},
                                                         {3, StepKind::DisconnectPair},
                                                         {2, StepKind::StartRandomFaults},
                                                         {1, StepKind::StopRandomFaults}})),
        rc::gen::set(&Step::selector, rc::gen::inRange<std::uint32_t>(0, 100)),
        rc::gen::set(&Step::otherSelector, rc::gen::inRange<std::uint32_t>(0, 100)),
        rc::gen::set(&Step::gapMs, rc::gen::inRange<TimeMs>(0, 3000)),
        rc::gen::set(&Step::durationMs, rc::gen::inRange<TimeMs>(500, 25000)));
}

// Returns the key for a number, in one of the ranges that World uses.
std::string keyInUsedRanges(std::uint32_t number)
{
    for (std::uint32_t at = 0;; ++at) {
        auto key = "k" + std::to_string(number) + "." + std::to_string(at);
        if (rangeOf(key) < World::usedRangeCount)
            return key;
    }
}

void applyStep(World &world, const Step &step, std::uint32_t &submitted)
{
    switch (step.kind) {
    case StepKind::SubmitRecent:
        world.submit(
            keyInUsedRanges(submitted - std::min(submitted, step.selector % recentKeyCount)));
        break;
    case StepKind::SubmitNew:
        world.submit(keyInUsedRanges(submitted++));
        break;
    case StepKind::SubmitTwice:
        world.submitTwice(keyInUsedRanges(submitted++), TimeMs(30) * step.selector);
        break;
    case StepKind::IsolateOwner:
        world.isolateOwner(step.selector, /*stale=*/step.otherSelector % 2 == 0,
                           10000 + step.durationMs);
        break;
    case StepKind::Kill:
        world.kill(step.selector, step.durationMs);
        break;
    case StepKind::Pause:
        world.pause(step.selector, step.durationMs);
        break;
    case StepKind::LogOutage:
        world.startLogOutage(step.durationMs);
        break;
    case StepKind::DisconnectFromLog:
        world.disconnectFromLog(world.processName(step.selector), step.durationMs);
        break;
    case StepKind::DisconnectPair:
        world.disconnectPair(world.processName(step.selector),
                             world.processName(step.otherSelector), step.durationMs);
        break;
    case StepKind::StartRandomFaults:
        world.faults = {0.1, 0.1, 0.1, 0.1};
        break;
    case StepKind::StopRandomFaults:
        world.faults = {};
        break;
    }
    world.runFor(step.gapMs);
}

void addStats(Stats &sum, const Stats &stats)
{
    sum.finished += stats.finished;
    sum.released += stats.released;
    sum.mayHaveRun += stats.mayHaveRun;
    sum.mayHaveRunButDidNot += stats.mayHaveRunButDidNot;
    sum.grants += stats.grants;
    sum.memoryGrants += stats.memoryGrants;
    sum.takeovers += stats.takeovers;
    sum.completedTakeovers += stats.completedTakeovers;
    sum.incompleteTakeovers += stats.incompleteTakeovers;
    sum.refusedDuringTakeover += stats.refusedDuringTakeover;
}

void printStats(const Stats &stats, int schedules)
{
    const auto all = stats.finished + stats.released + stats.mayHaveRun;
    std::cout << "owner_fuzz: schedules " << schedules << ", keys " << all << ", finished "
              << stats.finished << ", not run " << stats.released << ", may have run "
              << stats.mayHaveRun << " ("
              << 100.0 * static_cast<double>(stats.mayHaveRun)
            / static_cast<double>(std::max<std::uint64_t>(all, 1))
              << " %, of these did not run " << stats.mayHaveRunButDidNot << "), grants "
              << stats.grants << " logged and " << stats.memoryGrants << " from memory, takeovers "
              << stats.takeovers << ", completed takeovers " << stats.completedTakeovers
              << ", ranges with an incomplete takeover " << stats.incompleteTakeovers
              << ", Begin refused because of an incomplete takeover " << stats.refusedDuringTakeover
              << "\n";
}

void setParameters()
{
    const char *const runs = std::getenv("FLAMINGO_FUZZ_RUNS");
    const std::string parameters =
        "seed=20261204 max_success=" + std::string(runs == nullptr ? "1000" : runs);
    setenv("RC_PARAMS", parameters.c_str(), 0);
}

// RapidCheck keeps static state until the process ends, which CppUTest would report as leaks. The
// sanitizer build detects real leaks.
struct LeakDetectionOff
{
    LeakDetectionOff()
    {
        MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    }
};

const LeakDetectionOff leakDetectionOff;

} // namespace

TEST_GROUP(OwnerFuzz){};

TEST(OwnerFuzz, noScheduleBreaksAtMostOnce)
{
    setParameters();
    Stats sum;
    int schedules = 0;
    const bool ok = rc::check("at most once", [&] {
        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
        const auto steps = *rc::gen::container<std::vector<Step>>(genStep());
        World world(seed, 5, 2);
        std::uint32_t submitted = 0;
        world.runFor(5000);
        for (const auto &step : steps)
            applyStep(world, step, submitted);
        world.endFaults();
        world.checkFinalStates();
        addStats(sum, world.stats);
        ++schedules;
        for (const auto &violation : world.violations)
            RC_FAIL(violation);
    });
    printStats(sum, schedules);
    CHECK_TRUE(ok);
}

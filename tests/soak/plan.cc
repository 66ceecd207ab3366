// Faults are drawn one after the other with a random distance, so that some overlap. Each phase has
// one rolling restart of all entries or all agents with some probability; it is a series of
// SIGTERMs. Guaranteed jobs come one at a time, so that together they stay within the guarantee.

#include "tests/soak/plan.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>

namespace flamingo::soak {
namespace {

constexpr TimeMs firstFaultMs = 3000;
constexpr TimeMs guaranteedEveryMs = 1500;
constexpr TimeMs guaranteedWorkMs = 300;
constexpr TimeMs hogEveryMs = 9000;
constexpr int shortestBusyMs = 3000;
constexpr int longestBusyMs = 10000;
constexpr TimeMs longJobLeadMs = 1500; // before the workers get busy
constexpr TimeMs longWorkMs = 30000;
// These make sequences of their own of the seed.
constexpr std::uint64_t busySeed = 0x9e3779b97f4a7c15;
constexpr std::uint64_t evacuationSeed = 0xd1b54a32d192ed03;
constexpr std::uint64_t unansweredSeed = 0x8cb92ba72f3d8dd7;

int pick(Random &random, int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(random);
}

std::string target(FaultKind kind, const PlanOptions &options, Random &random)
{
    const std::string entry = absl::StrCat("e", pick(random, 0, options.entries - 1));
    const std::string agent = absl::StrCat("a", pick(random, 0, options.hosts - 1));
    const std::string worker = absl::StrCat("w", pick(random, 0, options.hosts - 1));
    if (kind >= FaultKind::StoreSlow)
        return "store";
    if (kind == FaultKind::RegionCut)
        return "regions";
    const int choice = pick(random, 0, 9);
    if (kind <= FaultKind::Pause || kind == FaultKind::Silence)
        return choice < 5 ? entry : choice < 8 ? agent : worker;
    return choice < 6 ? entry : agent;
}

void addFaultPhase(Plan &plan, const PlanOptions &options, TimeMs begin, TimeMs end, Random &random)
{
    if (pick(random, 0, 2) == 0) {
        const bool entries = pick(random, 0, 1) == 0;
        const int count = entries ? options.entries : options.hosts;
        const TimeMs step = (end - begin) / (count + 1);
        for (int i = 0; i < count; ++i)
            plan.faults.push_back(
                {begin + i * step, 0, FaultKind::Terminate, absl::StrCat(entries ? "e" : "a", i)});
    }
    for (TimeMs at = begin; at < end; at += pick(random, 200, 2500)) {
        const auto kind =
            static_cast<FaultKind>(pick(random, 0, static_cast<int>(FaultKind::StoreForgets)));
        const TimeMs duration = std::min<TimeMs>(pick(random, 200, 5000), end - at);
        plan.faults.push_back({at, duration, kind, target(kind, options, random)});
    }
}

// About half of the workers are busy for 3 to 10 s, in the last part of the phase, beside other
// faults, so that a run whose stop was refused goes on into the calm time. Jobs with long runs are
// cancelled meanwhile.
void addBusyWorkers(Plan &plan, const PlanOptions &options, TimeMs begin, TimeMs end,
                    Random &random)
{
    const int longest = static_cast<int>(std::min<TimeMs>(longestBusyMs, end - begin));
    if (longest < shortestBusyMs)
        return;
    const auto kind =
        pick(random, 0, 1) == 0 ? FaultKind::WorkerOverloaded : FaultKind::WorkerUnhealthy;
    const TimeMs duration = pick(random, shortestBusyMs, longest);
    const TimeMs at =
        end - duration - pick(random, 0, static_cast<int>(end - duration - begin) / 4);
    for (int i = 0; i < options.hosts; ++i) {
        if (pick(random, 0, 1) == 0)
            plan.faults.push_back({at, duration, kind, absl::StrCat("w", i)});
    }
    for (TimeMs time = at - longJobLeadMs; time < at + duration - longJobLeadMs;
         time += pick(random, 100, 500)) {
        Submission job;
        job.at = std::max<TimeMs>(time, 0);
        job.id = absl::StrFormat("%016x", random());
        job.organisation = pick(random, 1, organisationCount - 1);
        job.priority = pick(random, 0, 1);
        job.steps.push_back({pick(random, 1, 4), 1, longWorkMs, false, false});
        job.cancelAfterMs = pick(random, 500, 2500);
        job.entry = pick(random, 0, options.entries - 1);
        plan.submissions.push_back(job);
    }
}

// One data centre is evacuated during the phase, beside its other faults; it is taken back before
// the calm time.
void addEvacuation(Plan &plan, TimeMs begin, TimeMs end, Random &random)
{
    const TimeMs at = begin + pick(random, 0, static_cast<int>(end - begin) / 4);
    const TimeMs longest = end - at;
    plan.faults.push_back(
        {at, pick(random, static_cast<int>(longest / 2), static_cast<int>(longest)),
         FaultKind::Evacuate, dataCentreOf(pick(random, 0, dataCentreCount - 1))});
}

// The jobs have two steps, so that one that runs in spite of its cancellation starts tasks for
// long.
void addUnansweredJobs(Plan &plan, const PlanOptions &options, TimeMs begin, TimeMs end,
                       Random &random)
{
    const int entry = pick(random, 0, options.entries - 1);
    const TimeMs duration = std::min<TimeMs>(pick(random, 3000, 5000), end - begin);
    const TimeMs at = begin + pick(random, 0, static_cast<int>(end - begin - duration));
    const auto kind = pick(random, 0, 1) == 0 ? FaultKind::StoreCut : FaultKind::Pause;
    plan.faults.push_back({at, duration, kind, absl::StrCat("e", entry)});
    for (TimeMs time = at; time < at + duration; time += pick(random, 50, 400)) {
        Submission job;
        job.at = time;
        job.id = absl::StrFormat("%016x", random());
        job.organisation = pick(random, 1, organisationCount - 1);
        job.priority = pick(random, 0, 1);
        job.steps = {{1, 1, 5000, false, false}, {2, 1, 5000, false, true}};
        job.entry = entry;
        job.cancelUnanswered = true;
        plan.submissions.push_back(job);
    }
}

Submission ordinaryJob(const PlanOptions &options, Random &random)
{
    Submission job;
    job.organisation = pick(random, 1, organisationCount - 1);
    job.priority = pick(random, 0, 1);
    const int accelerators = pick(random, 1, 2);
    const bool gang = pick(random, 0, 3) == 0;
    job.steps.push_back(
        {pick(random, gang ? 2 : 1, 4), accelerators, pick(random, 50, 2500), gang, false});
    if (!gang && pick(random, 0, 3) == 0) // all steps of a job share the text that says how long
        job.steps.push_back({pick(random, 1, 3), 1, job.steps[0].workMs, false, true});
    job.cancelAfterMs = pick(random, 0, 9) == 0 ? pick(random, 1, 2000) : 0;
    job.entry = pick(random, 0, options.entries - 1);
    job.repeat = pick(random, 0, 2) > 0;
    return job;
}

} // namespace

std::string dataCentreOf(int host)
{
    return absl::StrCat("dc", host % dataCentreCount);
}

std::string_view faultName(FaultKind kind)
{
    constexpr std::array<std::string_view, static_cast<std::size_t>(FaultKind::Last)> names = {
        "terminate",
        "kill",
        "pause",
        "reload",
        "malformed",
        "delay",
        "reset",
        "one-way",
        "silence",
        "store-cut",
        "region-cut",
        "store-slow",
        "store-late",
        "store-loses-answers",
        "store-refuses",
        "store-forgets",
        "worker-overloaded",
        "worker-unhealthy",
        "evacuate"};
    return names[static_cast<std::size_t>(kind)];
}

Plan makePlan(const PlanOptions &options)
{
    Random random(options.seed);
    Plan plan;
    Random busyRandom(options.seed ^ busySeed);
    Plan busy; // added last, so that it changes no other number
    Random evacuationRandom(options.seed ^ evacuationSeed);
    Random unansweredRandom(options.seed ^ unansweredSeed);
    for (TimeMs begin = firstFaultMs; begin + options.calmMs < options.durationMs;
         begin += options.faultMs + options.calmMs) {
        const TimeMs end = std::min(begin + options.faultMs, options.durationMs - options.calmMs);
        addFaultPhase(plan, options, begin, end, random);
        addBusyWorkers(busy, options, begin, end, busyRandom);
        addEvacuation(busy, begin, end, evacuationRandom);
        addUnansweredJobs(busy, options, begin, end, unansweredRandom);
    }
    plan.faults.insert(plan.faults.end(), busy.faults.begin(), busy.faults.end());
    std::stable_sort(plan.faults.begin(), plan.faults.end(),
                     [](const Fault &a, const Fault &b) { return a.at < b.at; });
    for (TimeMs at = 0; at < options.durationMs; at += pick(random, 100, 500)) {
        plan.submissions.push_back(ordinaryJob(options, random));
        plan.submissions.back().at = at;
    }
    for (TimeMs at = 1000; at < options.durationMs; at += guaranteedEveryMs) {
        Submission job;
        job.at = at;
        job.priority = 0;
        job.steps.push_back({pick(random, 1, 2), 2, guaranteedWorkMs, false, false});
        job.entry = pick(random, 0, options.entries - 1);
        plan.submissions.push_back(job);
    }
    // Work of low priority that fills all workers, so that guaranteed work must reclaim.
    for (TimeMs at = 0; at < options.durationMs; at += hogEveryMs) {
        Submission job;
        job.at = at;
        job.organisation = 1;
        job.steps.push_back({options.hosts * 8, 1, 4000, false, false});
        plan.submissions.push_back(job);
    }
    std::stable_sort(plan.submissions.begin(), plan.submissions.end(),
                     [](const Submission &a, const Submission &b) { return a.at < b.at; });
    for (Submission &job : plan.submissions)
        job.id = absl::StrFormat("%016x", random());
    plan.submissions.insert(plan.submissions.end(), busy.submissions.begin(),
                            busy.submissions.end());
    std::stable_sort(plan.submissions.begin(), plan.submissions.end(),
                     [](const Submission &a, const Submission &b) { return a.at < b.at; });
    for (TimeMs at = 5000; at < options.durationMs; at += pick(random, 6000, 14000))
        plan.keyChanges.push_back({at, pick(random, 0, organisationCount - 1)});
    return plan;
}

std::string planText(const PlanOptions &options, const Plan &plan)
{
    std::string text = absl::StrFormat("seed %d, %d ms, %d entries, %d hosts, %d submissions\n",
                                       options.seed, options.durationMs, options.entries,
                                       options.hosts, plan.submissions.size());
    for (const Fault &fault : plan.faults)
        absl::StrAppendFormat(&text, "%7d %-20s %-8s %5d ms\n", fault.at,
                              std::string(faultName(fault.kind)), fault.target, fault.durationMs);
    for (const KeyChange &change : plan.keyChanges)
        absl::StrAppendFormat(&text, "%7d new key              organisation %d\n", change.at,
                              change.organisation);
    return text;
}

} // namespace flamingo::soak

// The decisions are sorted by time and replayed. The replay keeps the runs and waits that are open
// and closes them by the next decision about them. The cause of a run's end may be logged after the
// end itself: when a gang breaks, the first line may be about any of its members. Causes are
// therefore found when all decisions have been replayed.

#include "flamingo/adapters/day_account.h"

#include "flamingo/adapters/idle_jobs.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <tuple>

namespace flamingo::adapters {
namespace {

constexpr double coresPerAccelerator = 8;
constexpr double msPerSecond = 1000;
constexpr double milliPerCore = 1000;
// A larger epoch is an error: all later lines would count as those of a former leader.
constexpr std::uint64_t maxEpoch = 1ULL << 53U;
constexpr std::uint64_t lateObjectives = 3; // later than this many objectives, a result is useless

constexpr std::pair<std::string_view, DayEventKind> eventKinds[] = {
    {"leading", DayEventKind::Leading},
    {"job_known", DayEventKind::JobKnown},
    {"job_completed", DayEventKind::JobCompleted},
    {"job_failed", DayEventKind::JobFailed},
    {"job_cancelled", DayEventKind::JobCancelled},
    {"tasks_waiting", DayEventKind::TasksWaiting},
    {"task_assigned", DayEventKind::TaskAssigned},
    {"run_stopping", DayEventKind::RunStopping},
    {"run_ended", DayEventKind::RunEnded},
    {"run_dropped", DayEventKind::RunDropped},
};

std::optional<DayEventKind> kindOf(std::string_view event)
{
    for (const auto &[name, kind] : eventKinds) {
        if (name == event)
            return kind;
    }
    return std::nullopt;
}

// ---- Fields of lines ----

std::string_view textOf(const LogLine &line, std::string_view name)
{
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? std::string_view() : std::string_view(found->second);
}

template <typename Number>
bool parseNumber(std::string_view text, Number &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size();
}

// Returns the parts between the separators; none for an empty text.
std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const std::size_t end = std::min(text.size(), text.find(separator));
        parts.push_back(text.substr(0, end));
        text.remove_prefix(std::min(text.size(), end + 1));
    }
    return parts;
}

template <typename Number>
bool readNumber(const LogLine &line, std::string_view name, Number &number)
{
    return parseNumber(textOf(line, name), number);
}

// Reads the task's name, JOB.OCCURRENCE.STEP.INDEX.
bool readTask(const LogLine &line, DayEvent &event)
{
    std::string_view rest = textOf(line, "task");
    for (std::uint32_t *number : {&event.index, &event.step, &event.occurrence}) {
        const std::size_t dot = rest.rfind('.');
        if (dot == std::string_view::npos || !parseNumber(rest.substr(dot + 1), *number))
            return false;
        rest = rest.substr(0, dot);
    }
    event.jobId = std::string(rest);
    return !rest.empty() && readNumber(line, "run", event.run);
}

// Reads `text`, the properties of one step: TASKS:CPU_MILLI:MEMORY_MB:ACCELERATORS:PROPERTIES.
std::optional<StepFacts> parseStep(std::string_view text)
{
    const std::vector<std::string_view> parts = split(text, ':');
    constexpr std::size_t partCount = 5;
    StepFacts step;
    std::int64_t cpuMilli = 0;
    if (parts.size() != partCount || !parseNumber(parts[0], step.count)
        || !parseNumber(parts[1], cpuMilli) || !parseNumber(parts[3], step.accelerators))
        return std::nullopt;
    const std::string_view properties = parts[4];
    step.cpuCores = double(cpuMilli) / milliPerCore;
    step.gang = properties.find('g') != std::string_view::npos;
    step.checkpointing = properties.find('c') != std::string_view::npos;
    step.longRunning = properties.find('l') != std::string_view::npos;
    return step;
}

// The fields objective_ms, first_due_unix_ms, last_due_unix_ms and steps are missing in the logs of
// older versions.
bool readFacts(const LogLine &line, DayEvent &event)
{
    JobFacts facts;
    facts.queue = textOf(line, "queue");
    facts.organisation = textOf(line, "organisation");
    facts.guaranteed = textOf(line, "guaranteed") == "true";
    facts.gang = textOf(line, "gang") == "true";
    facts.checkpointing = textOf(line, "checkpointing") == "true";
    readNumber(line, "objective_ms", facts.objectiveMs);
    readNumber(line, "first_due_unix_ms", facts.firstDueMs);
    readNumber(line, "last_due_unix_ms", facts.lastDueMs);
    for (const std::string_view text : split(textOf(line, "steps"), ',')) {
        const auto step = parseStep(text);
        if (!step)
            break;
        facts.steps.push_back(*step);
    }
    const bool complete = readNumber(line, "priority", facts.priority)
        && readNumber(line, "tasks", facts.tasks)
        && readNumber(line, "occurrences", facts.occurrences)
        && readNumber(line, "accelerators", facts.accelerators)
        && readNumber(line, "accepted_unix_ms", facts.acceptedMs);
    event.facts = std::make_shared<const JobFacts>(std::move(facts));
    return complete;
}

bool readWait(const LogLine &line, DayEvent &event)
{
    std::int64_t cpuMilli = 0;
    event.cause = textOf(line, "cause");
    readNumber(line, "places_free", event.placesFree);
    const bool complete = readNumber(line, "occurrence", event.occurrence)
        && readNumber(line, "step", event.step) && readNumber(line, "tasks", event.tasks)
        && readNumber(line, "priority", event.priority) && readNumber(line, "cpu_milli", cpuMilli)
        && readNumber(line, "accelerators", event.need.accelerators)
        && readNumber(line, "waited_ms", event.waitedMs);
    event.need.cpuCores = double(cpuMilli) / milliPerCore;
    return complete && !event.cause.empty() && event.waitedMs <= event.unixMs;
}

bool readDetails(const LogLine &line, DayEvent &event)
{
    event.worker = textOf(line, "worker");
    event.jobId = textOf(line, "job");
    event.cause = textOf(line, "cause");
    switch (event.kind) {
    case DayEventKind::Leading:
        event.worker = line.process;
        return true;
    case DayEventKind::JobKnown:
        return !event.jobId.empty() && readFacts(line, event);
    case DayEventKind::JobCompleted:
    case DayEventKind::JobCancelled:
        return !event.jobId.empty();
    case DayEventKind::JobFailed:
        event.cause = textOf(line, "reason");
        return !event.jobId.empty();
    case DayEventKind::TasksWaiting:
        return !event.jobId.empty() && readWait(line, event);
    case DayEventKind::TaskAssigned:
        return readTask(line, event) && !event.worker.empty();
    case DayEventKind::RunEnded:
        event.cause = textOf(line, "how");
        return readTask(line, event) && !event.cause.empty();
    case DayEventKind::RunStopping:
    case DayEventKind::RunDropped:
        return readTask(line, event) && !event.cause.empty();
    }
    return false;
}

// ---- Replay ----

constexpr std::string_view endDone = "done";
constexpr std::string_view endDropped = "dropped";
constexpr std::string_view endBroken = "broken";
constexpr std::string_view endAlone = "alone";
constexpr std::string_view endNone = "none";
constexpr std::string_view endNotStored = "not stored";
constexpr std::string_view causeStopOrder = "stop order";
constexpr std::string_view causeNoEnd = "no end in the log";
constexpr std::string_view urgentMark = " for urgent job ";

using StepKey = std::tuple<std::string, std::uint32_t, std::uint32_t>; // job, occurrence, step
using RunIndexKey = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t, std::uint32_t>;
using GangRunKey = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>; // occ., step, run

struct OpenWait
{
    std::size_t number = 0; // index in JobAccount::waits
    std::uint32_t tasks = 0; // that still wait
    std::uint64_t countedToMs = 0; // end of the time that taskSeconds includes
};

// What the replay knows about a job beside its account.
struct JobReplay
{
    std::map<RunIndexKey, std::size_t> runs; // occurrence, step, index, run; index in the account
    std::map<std::size_t, std::string> stopCauses; // by index of the run
    std::map<std::uint32_t, StepFacts> waitingNeeds; // by step
    std::set<std::uint32_t> gangSteps; // whose runs ended as only those of gangs do
    std::uint64_t endEpoch = 0;
};

bool isOpen(const RunAccount &run)
{
    return run.end.empty();
}

bool isGang(const JobAccount &job, const JobReplay &replay, std::uint32_t step)
{
    if (replay.gangSteps.count(step) > 0)
        return true;
    return step < job.facts.steps.size() ? job.facts.steps[step].gang : job.facts.gang;
}

// Splits "reclaimed for urgent job ID" into the cause and the id.
std::pair<std::string, std::string> splitStopCause(const std::string &cause)
{
    const std::size_t at = cause.find(urgentMark);
    if (at == std::string::npos)
        return {cause, ""};
    return {cause.substr(0, at) + " for an urgent job", cause.substr(at + urgentMark.size())};
}

class DayReplay
{
public:
    explicit DayReplay(DayAccount &account)
        : account(account)
    {
    }

    void apply(const DayEvent &event)
    {
        if (event.epoch < this->leaderEpoch) {
            ++this->account.formerLeaderLines;
            return;
        }
        if (event.epoch > this->leaderEpoch) {
            this->leaderEpoch = event.epoch;
            this->endAllWaits(event.unixMs);
        }
        if (event.kind == DayEventKind::Leading) {
            this->account.leaders.push_back(event.worker);
            return;
        }
        JobAccount &job = this->account.jobs[event.jobId];
        job.id = event.jobId;
        this->applyToJob(event, job, this->replays[event.jobId]);
    }

    // Ends what is open at the end of the log, and finds needs and causes.
    void finish(std::uint64_t endMs)
    {
        this->endAllWaits(endMs);
        for (auto &[id, job] : this->account.jobs) {
            JobReplay &replay = this->replays[id];
            for (RunAccount &run : job.runs) {
                if (!isOpen(run))
                    continue;
                run.end = endNone;
                run.endMs = endMs;
                ++this->account.runsWithoutEnd;
            }
            this->findNeeds(job, replay);
            findCauses(job, replay);
        }
    }

private:
    void applyToJob(const DayEvent &event, JobAccount &job, JobReplay &replay)
    {
        switch (event.kind) {
        case DayEventKind::Leading:
            return;
        case DayEventKind::JobKnown:
            job.knownMs = job.known ? job.knownMs : event.unixMs;
            job.known = true;
            job.facts = *event.facts;
            return;
        case DayEventKind::JobCompleted:
            this->endJob(event, JobEnd::Completed, endDone, job, replay);
            return;
        case DayEventKind::JobFailed:
            this->endJob(event, JobEnd::Failed, "its job failed", job, replay);
            return;
        case DayEventKind::JobCancelled:
            this->endJob(event, JobEnd::Cancelled, "its job was cancelled", job, replay);
            return;
        case DayEventKind::TasksWaiting:
            this->beginWait(event, job, replay);
            return;
        case DayEventKind::TaskAssigned:
            this->beginRun(event, job, replay);
            return;
        case DayEventKind::RunStopping:
            this->noteStop(event, job, replay);
            return;
        case DayEventKind::RunEnded:
        case DayEventKind::RunDropped:
            this->endRun(event, job, replay);
            return;
        }
    }

    void endJob(const DayEvent &event, JobEnd end, std::string_view runEnd, JobAccount &job,
                JobReplay &replay)
    {
        if (job.end != JobEnd::Open)
            return;
        job.end = end;
        job.endMs = event.unixMs;
        replay.endEpoch = event.epoch;
        for (RunAccount &run : job.runs) {
            if (!isOpen(run))
                continue;
            run.end = runEnd;
            run.endMs = event.unixMs;
        }
        const auto first = this->waits.lower_bound({job.id, 0, 0});
        auto last = first;
        while (last != this->waits.end() && std::get<0>(last->first) == job.id) {
            endWait(job, last->second, event.unixMs);
            ++last;
        }
        this->waits.erase(first, last);
    }

    // ---- Waits ----

    static void countTasks(JobAccount &job, OpenWait &wait, std::uint64_t toMs)
    {
        if (toMs <= wait.countedToMs)
            return;
        job.waits[wait.number].taskSeconds +=
            double(wait.tasks) * double(toMs - wait.countedToMs) / msPerSecond;
        wait.countedToMs = toMs;
    }

    static void endWait(JobAccount &job, OpenWait &wait, std::uint64_t endMs)
    {
        countTasks(job, wait, endMs);
        WaitAccount &ended = job.waits[wait.number];
        ended.endMs = std::max(ended.beginMs, endMs);
    }

    void endAllWaits(std::uint64_t endMs)
    {
        for (auto &[key, wait] : this->waits)
            endWait(this->account.jobs.at(std::get<0>(key)), wait, endMs);
        this->waits.clear();
    }

    // The first line of a wait comes some time after its begin; that time has the first cause.
    void beginWait(const DayEvent &event, JobAccount &job, JobReplay &replay)
    {
        replay.waitingNeeds[event.step] = event.need;
        if (!job.known)
            job.facts.priority = event.priority;
        const StepKey key = {event.jobId, event.occurrence, event.step};
        std::uint64_t begin = event.unixMs - event.waitedMs;
        const auto found = this->waits.find(key);
        if (found != this->waits.end()) {
            if (job.waits[found->second.number].cause == event.cause) {
                job.waits[found->second.number].loggedMs = event.unixMs;
                countTasks(job, found->second, event.unixMs);
                found->second.tasks = event.tasks;
                return;
            }
            endWait(job, found->second, event.unixMs);
            begin = event.unixMs;
            this->waits.erase(found);
        }
        WaitAccount wait;
        wait.occurrence = event.occurrence;
        wait.step = event.step;
        wait.beginMs = begin;
        wait.loggedMs = event.unixMs;
        wait.cause = event.cause;
        wait.tasks = event.tasks;
        wait.placesFree = event.placesFree;
        job.waits.push_back(std::move(wait));
        OpenWait open = {job.waits.size() - 1, event.tasks, begin};
        countTasks(job, open, event.unixMs);
        this->waits[key] = open;
    }

    // Updates the number of waiting tasks of the event's step, if it has a wait.
    void changeWaitingTasks(const DayEvent &event, JobAccount &job, bool added)
    {
        const auto found = this->waits.find({event.jobId, event.occurrence, event.step});
        if (found == this->waits.end())
            return;
        OpenWait &wait = found->second;
        countTasks(job, wait, event.unixMs);
        if (added) {
            ++wait.tasks;
        } else if (wait.tasks > 1) {
            --wait.tasks;
        } else {
            endWait(job, wait, event.unixMs);
            this->waits.erase(found);
        }
    }

    // ---- Runs ----

    static RunAccount *findRun(const DayEvent &event, JobAccount &job, const JobReplay &replay)
    {
        const auto found = replay.runs.find({event.occurrence, event.step, event.index, event.run});
        return found == replay.runs.end() ? nullptr : &job.runs[found->second];
    }

    void beginRun(const DayEvent &event, JobAccount &job, JobReplay &replay)
    {
        const RunIndexKey key = {event.occurrence, event.step, event.index, event.run};
        RunAccount *same = findRun(event, job, replay);
        if (same != nullptr && same->beginMs == event.unixMs && same->worker == event.worker)
            return; // the line is in two files
        if (same != nullptr && isOpen(*same)) {
            // A run begins when its assignment is stored. A leader that does not know of it gives
            // its number to the next run.
            same->end = endNotStored;
            same->endMs = event.unixMs;
        }
        // The task's runs are adjacent, in the order of their numbers.
        for (auto before = replay.runs.lower_bound(key); before != replay.runs.begin();) {
            --before;
            const auto &[occurrence, step, index, run] = before->first;
            if (std::tie(occurrence, step, index)
                != std::tie(event.occurrence, event.step, event.index))
                break;
            RunAccount &earlier = job.runs[before->second];
            if (!isOpen(earlier))
                break;
            earlier.end = endNone;
            earlier.cause = causeNoEnd;
            earlier.endMs = event.unixMs;
        }
        if (job.end != JobEnd::Open && replay.endEpoch < event.epoch)
            job.end = JobEnd::Open; // the end was not stored
        RunAccount run;
        run.occurrence = event.occurrence;
        run.step = event.step;
        run.index = event.index;
        run.run = event.run;
        run.worker = event.worker;
        run.beginMs = event.unixMs;
        job.runs.push_back(std::move(run));
        replay.runs[key] = job.runs.size() - 1;
        this->changeWaitingTasks(event, job, false);
    }

    static void noteStop(const DayEvent &event, JobAccount &job, JobReplay &replay)
    {
        RunAccount *run = findRun(event, job, replay);
        if (run == nullptr || !isOpen(*run))
            return;
        const auto [cause, urgentJob] = splitStopCause(event.cause);
        run->stoppedFor = urgentJob;
        replay.stopCauses[static_cast<std::size_t>(run - job.runs.data())] = cause;
    }

    void endRun(const DayEvent &event, JobAccount &job, JobReplay &replay)
    {
        RunAccount *run = findRun(event, job, replay);
        if (run == nullptr) {
            ++this->account.runsWithoutStart;
            job.unassignedRuns.push_back(
                {event.occurrence, event.step, event.index, event.unixMs,
                 event.kind == DayEventKind::RunDropped ? std::string(endDropped) : event.cause});
            return;
        }
        const bool dropped = event.kind == DayEventKind::RunDropped;
        const bool done = !dropped && event.cause == endDone;
        // A run that was dropped may still report its success.
        if (!isOpen(*run) && !(done && run->end == endDropped))
            return;
        run->endMs = event.unixMs;
        run->end = dropped ? std::string(endDropped) : event.cause;
        run->cause = dropped ? event.cause : "";
        if (run->end == endBroken || run->end == endAlone)
            replay.gangSteps.insert(event.step);
        if (!done) {
            this->changeWaitingTasks(event, job, true);
            return;
        }
        if (!isGang(job, replay, event.step))
            return;
        // One member's success completes the gang; the ends of the others are not logged.
        for (RunAccount &member : job.runs) {
            if (!isOpen(member)
                || std::tie(member.occurrence, member.step, member.run)
                    != std::tie(event.occurrence, event.step, event.run))
                continue;
            member.end = endDone;
            member.endMs = event.unixMs;
        }
    }

    // ---- Needs and causes ----

    // Uses the first of: the step's need in job_known, its need in tasks_waiting, or the average
    // number of accelerators of the job's tasks and the cores of another job of the queue.
    void findNeeds(JobAccount &job, const JobReplay &replay)
    {
        for (RunAccount &run : job.runs) {
            const auto waiting = replay.waitingNeeds.find(run.step);
            run.exactNeed = true;
            if (run.step < job.facts.steps.size()) {
                run.need = job.facts.steps[run.step];
            } else if (waiting != replay.waitingNeeds.end()) {
                run.need = waiting->second;
                run.need.checkpointing = job.facts.checkpointing;
            } else {
                run.exactNeed = false;
                run.need.accelerators =
                    job.facts.tasks == 0 ? 0 : job.facts.accelerators / job.facts.tasks;
                run.need.cpuCores = this->cpuCoresOfQueue(job.facts.queue);
                run.need.checkpointing = job.facts.checkpointing;
            }
            const bool began = run.end != endNotStored;
            run.coreSeconds =
                began ? runCores(run) * double(run.endMs - run.beginMs) / msPerSecond : 0;
        }
    }

    double cpuCoresOfQueue(const std::string &queue)
    {
        const auto [known, added] = this->queueCores.emplace(queue, 0);
        if (!added)
            return known->second;
        for (const auto &[id, job] : this->account.jobs) {
            const auto replay = this->replays.find(id);
            if (job.facts.queue != queue || replay == this->replays.end()
                || replay->second.waitingNeeds.empty())
                continue;
            known->second = replay->second.waitingNeeds.begin()->second.cpuCores;
            break;
        }
        return known->second;
    }

    // The cause that a run has without the other members of its gang, and its rank: the smallest
    // rank among the members is the cause for all.
    static std::pair<int, std::string> ownCause(const RunAccount &run, std::string_view stopCause)
    {
        constexpr int secondary = 100;
        if (run.end == endDone || run.end == endNone || run.end == endNotStored)
            return {secondary, run.cause};
        if (run.end == "failed")
            return {1, "failed"}; // also when it was about to be stopped
        if (!stopCause.empty())
            return {0, std::string(stopCause)};
        if (run.end == endDropped && run.cause != causeStopOrder)
            return {2, run.cause};
        if (run.end == "lapsed")
            return {3, "its lease has lapsed"};
        if (run.end == "stopped")
            return {secondary, "stopped without a decision in the log"};
        if (run.end == endBroken)
            return {secondary, "another member of its gang ended"};
        if (run.end == endAlone)
            return {secondary, "the other members of its gang did not start"};
        return {secondary, run.cause.empty() ? run.end : run.cause};
    }

    static bool isSecondary(const RunAccount &run)
    {
        return run.end == "stopped" || run.end == endBroken || run.end == endAlone
            || run.cause == causeStopOrder;
    }

    static std::string_view stopCauseOf(const JobReplay &replay, std::size_t run)
    {
        const auto found = replay.stopCauses.find(run);
        return found == replay.stopCauses.end() ? std::string_view() : found->second;
    }

    static void findCauses(JobAccount &job, const JobReplay &replay)
    {
        std::map<GangRunKey, std::pair<int, std::size_t>> gangCauses; // rank, index of the run
        std::vector<std::pair<int, std::string>> causes;
        for (std::size_t i = 0; i < job.runs.size(); ++i) {
            const RunAccount &run = job.runs[i];
            causes.push_back(ownCause(run, stopCauseOf(replay, i)));
            if (!isGang(job, replay, run.step))
                continue;
            const GangRunKey key = {run.occurrence, run.step, run.run};
            const auto found = gangCauses.emplace(key, std::make_pair(causes[i].first, i)).first;
            found->second = std::min(found->second, {causes[i].first, i});
        }
        const bool discarded = (job.end == JobEnd::Failed || job.end == JobEnd::Cancelled)
            && job.facts.occurrences == 1;
        for (std::size_t i = 0; i < job.runs.size(); ++i) {
            RunAccount &run = job.runs[i];
            run.cause = causes[i].second;
            const auto gang = gangCauses.find({run.occurrence, run.step, run.run});
            if (gang != gangCauses.end() && isSecondary(run) && stopCauseOf(replay, i).empty()
                && gang->second.first < causes[i].first) {
                run.cause = causes[gang->second.second].second + " (another member of the gang)";
                run.stoppedFor = job.runs[gang->second.second].stoppedFor;
            }
            if (run.end == endDone && discarded)
                run.cause = job.end == JobEnd::Failed ? "its job failed" : "its job was cancelled";
            if (run.need.longRunning && job.end == JobEnd::Cancelled
                && run.cause == "its job was cancelled")
                run.cause.clear();
        }
    }

    DayAccount &account;
    std::uint64_t leaderEpoch = 0;
    std::map<std::string, JobReplay> replays; // by job id
    std::map<StepKey, OpenWait> waits;
    std::map<std::string, double> queueCores;
};

// ---- Sums ----

// Adds `value` for the time from `beginMs` to `endMs` to the averages of the bins.
void addToSeries(const DaySeries &series, std::uint64_t beginMs, std::uint64_t endMs, double value,
                 std::vector<double> &bins)
{
    const double begin =
        beginMs <= series.beginMs ? 0 : double(beginMs - series.beginMs) / series.binMs;
    const double end = endMs <= series.beginMs ? 0 : double(endMs - series.beginMs) / series.binMs;
    for (auto i = static_cast<std::size_t>(begin); i < bins.size() && double(i) < end; ++i)
        bins[i] += value * (std::min(end, double(i + 1)) - std::max(begin, double(i)));
}

std::vector<double> &binsOf(std::vector<double> &bins, std::size_t count)
{
    bins.resize(count);
    return bins;
}

void sumWaits(const JobAccount &job, std::size_t bins, DayAccount &account)
{
    DaySeries &series = account.series;
    for (const WaitAccount &wait : job.waits) {
        const std::uint64_t begin = std::max(wait.beginMs, account.beginMs);
        const std::uint64_t end = std::min(wait.endMs, account.endMs);
        if (begin >= end)
            continue;
        const double seconds = double(end - begin) / msPerSecond;
        const double allSeconds = double(wait.endMs - wait.beginMs) / msPerSecond;
        WaitSum &sum = account.waits[{job.facts.priority, job.facts.queue, wait.cause}];
        ++sum.waits;
        sum.seconds += seconds;
        sum.taskSeconds += wait.taskSeconds * seconds / allSeconds;
        sum.longestSeconds = std::max(sum.longestSeconds, seconds);
        addToSeries(series, begin, end, wait.taskSeconds / allSeconds,
                    binsOf(series.waitingTasks[job.facts.priority], bins));
    }
}

void sumRuns(const JobAccount &job, std::size_t bins, DayAccount &account)
{
    DaySeries &series = account.series;
    for (const RunAccount &run : job.runs) {
        if (run.end != endNotStored) {
            addToSeries(series, run.beginMs, run.endMs, 1, series.runs);
            addToSeries(series, run.beginMs, run.endMs, double(run.need.accelerators),
                        series.accelerators);
        }
        if (run.cause.empty() || run.endMs < account.beginMs || run.endMs > account.endMs)
            continue;
        account.estimatedRuns += run.exactNeed ? 0 : 1;
        LossSum &sum = account.losses[{job.facts.priority, job.facts.queue, run.cause}];
        ++sum.runs;
        const bool checkpointing = run.need.checkpointing;
        (checkpointing ? sum.checkpointedCoreSeconds : sum.coreSeconds) += run.coreSeconds;
        auto &byCause = checkpointing ? series.checkpointedCoreSeconds : series.lostCoreSeconds;
        std::vector<double> &lost = binsOf(byCause[run.cause], bins);
        const auto bin =
            static_cast<std::size_t>(double(run.endMs - account.beginMs) / series.binMs);
        lost[std::min(bin, bins - 1)] += run.coreSeconds;
    }
}

void sumIdleIntervals(DayAccount &account)
{
    for (const IdleInterval &interval : account.idle) {
        for (const IdlePart &part : interval.parts) {
            IdleSum &sum = account.idleByReason[part.reason];
            const double seconds = double(part.lengthMs) / msPerSecond;
            ++sum.intervals;
            sum.seconds += seconds;
            sum.longestSeconds = std::max(sum.longestSeconds, seconds);
        }
    }
}

} // namespace

bool isDayEvent(std::string_view event)
{
    return kindOf(event).has_value();
}

std::optional<DayEvent> toDayEvent(const LogLine &line)
{
    const auto kind = kindOf(line.event);
    DayEvent event;
    if (!kind || !readNumber(line, "epoch", event.epoch) || event.epoch > maxEpoch)
        return std::nullopt;
    event.kind = *kind;
    event.unixMs = line.unixMs;
    if (!readDetails(line, event))
        return std::nullopt;
    return event;
}

bool operator<(const CauseKey &a, const CauseKey &b)
{
    return std::tie(a.priority, a.queue, a.cause) < std::tie(b.priority, b.queue, b.cause);
}

double runCores(const RunAccount &run)
{
    return run.need.cpuCores + coresPerAccelerator * double(run.need.accelerators);
}

std::uint64_t firstMs(const JobAccount &job)
{
    std::uint64_t result = job.known ? job.knownMs : UINT64_MAX;
    if (!job.runs.empty())
        result = std::min(result, job.runs.front().beginMs);
    if (!job.waits.empty())
        result = std::min(result, job.waits.front().beginMs);
    return result == UINT64_MAX ? job.endMs : result;
}

std::uint64_t timeTakenMs(const JobAccount &job)
{
    const std::uint64_t begin = std::max(job.facts.acceptedMs, job.facts.lastDueMs);
    return job.endMs > begin ? job.endMs - begin : 0;
}

Punctuality punctuality(const JobAccount &job)
{
    if (!job.known || job.end != JobEnd::Completed || job.facts.objectiveMs == 0)
        return Punctuality::Unknown;
    if (timeTakenMs(job) <= job.facts.objectiveMs)
        return Punctuality::InTime;
    return timeTakenMs(job) <= lateObjectives * job.facts.objectiveMs ? Punctuality::Late
                                                                      : Punctuality::TooLate;
}

DayAccount makeDayAccount(std::vector<DayEvent> events, const DayPeriod &period,
                          std::vector<DaySign> signs)
{
    DayAccount account;
    if (events.empty())
        return account;
    std::stable_sort(events.begin(), events.end(),
                     [](const DayEvent &a, const DayEvent &b) { return a.unixMs < b.unixMs; });
    DayReplay replay(account);
    for (const DayEvent &event : events)
        replay.apply(event);
    replay.finish(events.back().unixMs);
    account.beginMs = period.fromMs == 0 ? events.front().unixMs : period.fromMs;
    account.endMs = period.toMs == 0 ? events.back().unixMs : period.toMs;
    account.endMs = std::max(account.endMs, account.beginMs);
    const std::size_t bins = std::max<std::size_t>(period.bins, 1);
    account.series.beginMs = account.beginMs;
    account.series.binMs = std::max(1.0, double(account.endMs - account.beginMs)) / double(bins);
    account.series.runs.resize(bins);
    account.series.accelerators.resize(bins);
    std::stable_sort(signs.begin(), signs.end(),
                     [](const DaySign &a, const DaySign &b) { return a.unixMs < b.unixMs; });
    account.idle = findIdleIntervals(account, events, signs, period.idleMs);
    sumIdleIntervals(account);
    for (auto job = account.jobs.begin(); job != account.jobs.end();) {
        sumWaits(job->second, bins, account);
        sumRuns(job->second, bins, account);
        const bool outside = firstMs(job->second) > account.endMs
            || (job->second.end != JobEnd::Open && job->second.endMs < account.beginMs);
        job = outside ? account.jobs.erase(job) : std::next(job);
    }
    return account;
}

} // namespace flamingo::adapters

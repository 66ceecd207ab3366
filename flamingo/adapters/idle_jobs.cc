// For each job, spans of time are collected: those in which it is due, those in which a run is in
// progress, and those that have a reason. The idle intervals are what is due without a run; each is
// cut at the ends of the spans with reasons, and the piece between two cuts has the reason of the
// first kind in this order: no leader, not known, not confirmed, waiting.

#include "flamingo/adapters/idle_jobs.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace flamingo::adapters {
namespace {

constexpr const char *causeNeverReported = "its worker never reported to this leader";
constexpr std::string_view endNotStored = "not stored";
constexpr std::string_view endDropped = "dropped";
constexpr std::string_view endDone = "done";

constexpr std::pair<std::string_view, DaySignKind> signKinds[] = {
    {"request", DaySignKind::JobStored}, // or CancellationStored
    {"campaign", DaySignKind::Campaign},
    {"worker_found", DaySignKind::WorkerSeen},
    {"worker_fenced", DaySignKind::WorkerSeen},
    {"worker_gone", DaySignKind::WorkerGone},
    {"runs_unconfirmed", DaySignKind::RunsUnconfirmed},
};

// ---- Reading ----

std::string textOf(const LogLine &line, std::string_view name)
{
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? std::string() : found->second;
}

bool readNumber(const LogLine &line, std::string_view name, std::uint64_t &number)
{
    return absl::SimpleAtoi(textOf(line, name), &number);
}

bool readRequest(const LogLine &line, DaySign &sign)
{
    const std::string method = textOf(line, "method");
    const std::string status = textOf(line, "status");
    sign.jobId = textOf(line, "job");
    if (sign.jobId.empty() || status.size() != 3 || status.front() != '2')
        return false;
    if (method == "DELETE")
        sign.kind = DaySignKind::CancellationStored;
    return method == "DELETE" || (method == "POST" && textOf(line, "cause") == "stored");
}

bool readDetails(const LogLine &line, DaySign &sign)
{
    sign.worker = textOf(line, "worker");
    switch (sign.kind) {
    case DaySignKind::JobStored:
    case DaySignKind::CancellationStored:
        return readRequest(line, sign);
    case DaySignKind::Campaign:
        return readNumber(line, "epoch", sign.epoch)
            && readNumber(line, "last_sign_age_ms", sign.sinceMs) && sign.sinceMs <= sign.unixMs;
    case DaySignKind::WorkerSeen:
        return !sign.worker.empty();
    case DaySignKind::WorkerGone:
        if (sign.worker.empty())
            return false;
        sign.worker = line.process + "/" + sign.worker;
        return true;
    case DaySignKind::RunsUnconfirmed:
        sign.cause = textOf(line, "cause");
        sign.firstTask = textOf(line, "first_task");
        return !sign.worker.empty() && readNumber(line, "epoch", sign.epoch)
            && readNumber(line, "runs", sign.runs) && readNumber(line, "since_ms", sign.sinceMs)
            && sign.sinceMs <= sign.unixMs;
    case DaySignKind::LinesSuppressed:
        return true;
    }
    return false;
}

// ---- Spans of time ----

struct Span
{
    std::uint64_t begin = 0;
    std::uint64_t end = 0;
};

using Spans = std::vector<Span>;

void addSpan(Spans &spans, std::uint64_t begin, std::uint64_t end)
{
    if (begin < end)
        spans.push_back({begin, end});
}

// Returns the same time as spans that are ordered and do not touch.
Spans merged(Spans spans)
{
    std::sort(spans.begin(), spans.end(),
              [](const Span &a, const Span &b) { return a.begin < b.begin; });
    Spans result;
    for (const Span &span : spans) {
        if (!result.empty() && span.begin <= result.back().end)
            result.back().end = std::max(result.back().end, span.end);
        else
            result.push_back(span);
    }
    return result;
}

// Returns the time of `spans` that is not in `removed`.
Spans without(const Spans &spans, const Spans &removed)
{
    const Spans holes = merged(removed);
    Spans result;
    for (const Span &span : merged(spans)) {
        std::uint64_t begin = span.begin;
        for (const Span &hole : holes) {
            if (hole.end <= begin || hole.begin >= span.end)
                continue;
            addSpan(result, begin, hole.begin);
            begin = hole.end;
        }
        addSpan(result, begin, span.end);
    }
    return result;
}

// ---- Leaders ----

struct Leadership
{
    std::uint64_t epoch = 0;
    std::uint64_t beginMs = 0;
    std::uint64_t endMs = 0; // begin of the next one, or the end of the log
    std::string process;
};

struct LeaderHistory
{
    std::vector<Leadership> leaderships; // in the order of time
    Spans leaderless;
};

// A leader is lost when its successor read its last sign, or made its last decision if that is
// later.
LeaderHistory findLeaders(absl::Span<const DayEvent> events, absl::Span<const DaySign> signs)
{
    std::map<std::uint64_t, std::uint64_t> lastSigns; // of the former leader, by epoch
    for (const DaySign &sign : signs) {
        if (sign.kind == DaySignKind::Campaign)
            lastSigns[sign.epoch] = sign.unixMs - sign.sinceMs;
    }
    LeaderHistory history;
    std::vector<Leadership> &leaderships = history.leaderships;
    std::uint64_t lastDecision = events.front().unixMs;
    for (const DayEvent &event : events) {
        const std::uint64_t epoch = leaderships.empty() ? 0 : leaderships.back().epoch;
        if (event.epoch < epoch)
            continue;
        if (event.epoch > epoch) {
            if (!leaderships.empty())
                leaderships.back().endMs = event.unixMs;
            const auto lastSign = lastSigns.find(event.epoch);
            const bool begins = event.kind == DayEventKind::Leading;
            if (begins && lastSign != lastSigns.end())
                lastDecision = std::max(lastDecision, lastSign->second);
            if (begins)
                addSpan(history.leaderless, lastDecision, event.unixMs);
            leaderships.push_back({event.epoch, event.unixMs, 0, begins ? event.worker : ""});
        }
        lastDecision = event.unixMs;
    }
    if (!leaderships.empty())
        leaderships.back().endMs = events.back().unixMs;
    return history;
}

const Leadership *leadershipAt(const LeaderHistory &history, std::uint64_t unixMs)
{
    const Leadership *result = nullptr;
    for (const Leadership &leadership : history.leaderships) {
        if (leadership.beginMs <= unixMs)
            result = &leadership;
    }
    return result;
}

// ---- What is known of each job ----

struct JobTimes
{
    std::optional<std::uint64_t> storedMs;
    std::optional<std::uint64_t> cancelledMs;
    std::map<std::uint64_t, std::uint64_t> firstDecisions; // by epoch
};

using JobTimesById = std::map<std::string, JobTimes, std::less<>>;

JobTimesById findJobTimes(absl::Span<const DayEvent> events, absl::Span<const DaySign> signs)
{
    JobTimesById times;
    for (const DayEvent &event : events) {
        if (event.kind != DayEventKind::Leading)
            times[event.jobId].firstDecisions.emplace(event.epoch, event.unixMs);
    }
    for (const DaySign &sign : signs) {
        if (sign.kind != DaySignKind::JobStored && sign.kind != DaySignKind::CancellationStored)
            continue;
        JobTimes &job = times[sign.jobId];
        auto &time = sign.kind == DaySignKind::JobStored ? job.storedMs : job.cancelledMs;
        if (!time)
            time = sign.unixMs;
    }
    return times;
}

// The time from the storage or first decision to the end of the job.
Span openSpan(const JobTimes &times, const JobAccount &job, std::uint64_t logEndMs)
{
    std::uint64_t begin = times.storedMs.value_or(UINT64_MAX);
    for (const auto &[epoch, unixMs] : times.firstDecisions)
        begin = std::min(begin, unixMs);
    if (!job.runs.empty() || !job.waits.empty() || job.known)
        begin = std::min(begin, firstMs(job));
    std::uint64_t end = job.end == JobEnd::Open ? logEndMs : job.endMs;
    end = std::min(end, times.cancelledMs.value_or(UINT64_MAX));
    return {begin, std::max(begin, end)};
}

// When each occurrence that is due, waits or has run became due.
std::map<std::uint32_t, std::uint64_t> dueTimes(const JobAccount &job, const Span &open)
{
    std::map<std::uint32_t, std::uint64_t> due;
    const auto add = [&due](std::uint32_t occurrence, std::uint64_t unixMs) {
        const auto [found, added] = due.emplace(occurrence, unixMs);
        found->second = std::min(found->second, unixMs);
    };
    const JobFacts &facts = job.facts;
    if (facts.lastDueMs == 0) {
        add(0, open.begin);
        return due;
    }
    const std::uint32_t last = std::max<std::uint32_t>(facts.occurrences, 1) - 1;
    add(last, facts.lastDueMs);
    const bool known = facts.firstDueMs > 0 && facts.firstDueMs <= facts.lastDueMs;
    for (std::uint32_t i = 0; known && i < last; ++i)
        add(i, facts.firstDueMs + (facts.lastDueMs - facts.firstDueMs) * i / last);
    for (const WaitAccount &wait : job.waits)
        add(wait.occurrence, wait.beginMs);
    for (const RunAccount &run : job.runs)
        add(run.occurrence, run.beginMs);
    return due;
}

// Tasks of an occurrence that are done, and when the last of them was.
struct DoneTasks
{
    std::set<std::pair<std::uint32_t, std::uint32_t>> tasks; // step, index
    std::uint64_t lastMs = 0;
};

std::map<std::uint32_t, DoneTasks> findDoneTasks(const JobAccount &job)
{
    std::map<std::uint32_t, DoneTasks> result;
    for (const RunAccount &run : job.runs) {
        if (run.end != endDone)
            continue;
        DoneTasks &done = result[run.occurrence];
        done.tasks.insert({run.step, run.index});
        done.lastMs = std::max(done.lastMs, run.endMs);
    }
    for (const UnassignedRun &run : job.unassignedRuns) {
        if (run.end != endDone)
            continue;
        DoneTasks &done = result[run.occurrence];
        done.tasks.insert({run.step, run.index});
        done.lastMs = std::max(done.lastMs, run.endMs);
        // One member's success completes a gang.
        const std::vector<StepFacts> &steps = job.facts.steps;
        const bool gang = run.step < steps.size() && steps[run.step].gang;
        for (std::uint32_t i = 0; gang && i < steps[run.step].count; ++i)
            done.tasks.insert({run.step, i});
    }
    return result;
}

// The time in which an occurrence was due and not complete.
Spans dueSpans(const JobAccount &job, const Span &open)
{
    const std::map<std::uint32_t, DoneTasks> doneTasks = findDoneTasks(job);
    Spans spans;
    for (const auto &[occurrence, due] : dueTimes(job, open)) {
        const auto done = doneTasks.find(occurrence);
        const bool complete =
            job.known && done != doneTasks.end() && done->second.tasks.size() >= job.facts.tasks;
        addSpan(spans, std::max(due, open.begin),
                complete ? std::min(done->second.lastMs, open.end) : open.end);
    }
    return spans;
}

// Runs whose assignment is missing: from the last line that shows the job without them to their
// ends.
Spans unassignedSpans(const JobAccount &job, const Span &open)
{
    Spans spans;
    for (const UnassignedRun &run : job.unassignedRuns) {
        std::uint64_t begin = open.begin;
        const auto use = [&begin, &run](std::uint64_t unixMs) {
            if (unixMs < run.endMs)
                begin = std::max(begin, unixMs);
        };
        use(job.knownMs);
        for (const WaitAccount &wait : job.waits)
            use(wait.occurrence == run.occurrence && wait.step == run.step ? wait.loggedMs : 0);
        for (const RunAccount &other : job.runs)
            use(other.endMs);
        for (const UnassignedRun &other : job.unassignedRuns)
            use(other.endMs);
        addSpan(spans, begin, run.endMs);
    }
    return spans;
}

// ---- Unconfirmed runs ----

struct ReasonSpan
{
    Span span;
    int rank = 0; // of its kind; the smallest counts
    std::string reason;
};

constexpr int rankLeaderless = 0;
constexpr int rankNotKnown = 1;
constexpr int rankNotConfirmed = 2;
constexpr int rankWait = 3;
constexpr int rankSuppressed = 4;

std::string notConfirmed(const std::string &cause)
{
    return std::string(idleNotConfirmed) + (cause.empty() ? "" : ": ") + cause;
}

// Signs about workers, by key; worker_gone by the key without the time of the worker's start.
struct WorkerSigns
{
    std::map<std::string, std::vector<const DaySign *>, std::less<>> unconfirmed;
    std::map<std::string, std::vector<std::uint64_t>, std::less<>> seen; // in the order of time
    std::map<std::string, std::vector<std::uint64_t>, std::less<>> gone;
};

std::string keyWithoutStart(std::string_view worker)
{
    return std::string(worker.substr(0, worker.rfind('@')));
}

WorkerSigns findWorkerSigns(absl::Span<const DayEvent> events, absl::Span<const DaySign> signs,
                            const LeaderHistory &leaders)
{
    WorkerSigns result;
    for (const DaySign &sign : signs) {
        if (sign.kind == DaySignKind::WorkerSeen)
            result.seen[sign.worker].push_back(sign.unixMs);
        if (sign.kind == DaySignKind::WorkerGone)
            result.gone[sign.worker].push_back(sign.unixMs);
        if (sign.kind != DaySignKind::RunsUnconfirmed)
            continue;
        const Leadership *leader = leadershipAt(leaders, sign.unixMs);
        if (leader == nullptr || sign.epoch >= leader->epoch)
            result.unconfirmed[sign.worker].push_back(&sign);
    }
    for (const DayEvent &event : events) {
        if (event.kind == DayEventKind::RunEnded && !event.worker.empty())
            result.seen[event.worker].push_back(event.unixMs);
    }
    for (auto &[worker, times] : result.seen)
        std::sort(times.begin(), times.end());
    return result;
}

// Number of runs on each worker, to tell whether a line runs_unconfirmed is about all of them.
using RunsByWorker = std::map<std::string, std::vector<Span>, std::less<>>;

RunsByWorker findRunsByWorker(const DayAccount &account)
{
    RunsByWorker result;
    for (const auto &[id, job] : account.jobs) {
        for (const RunAccount &run : job.runs)
            result[run.worker].push_back({run.beginMs, run.endMs});
    }
    return result;
}

bool concernsRun(const DaySign &sign, const JobAccount &job, const RunAccount &run,
                 const RunsByWorker &runsByWorker)
{
    if (sign.unixMs < run.beginMs || sign.unixMs > run.endMs)
        return false;
    if (sign.firstTask == absl::StrCat(job.id, ".", run.occurrence, ".", run.step, ".", run.index))
        return true;
    const std::vector<Span> &runs = runsByWorker.at(run.worker);
    const auto open = std::count_if(runs.begin(), runs.end(), [&sign](const Span &span) {
        return span.begin <= sign.unixMs && sign.unixMs <= span.end;
    });
    return sign.runs >= static_cast<std::uint64_t>(open);
}

// The time from `since_ms` before the line to the worker's next sign. Without one, the worker is
// known to be silent until the run was dropped, or else only until the line.
Span spanOfSign(const DaySign &sign, const RunAccount &run, const WorkerSigns &signs)
{
    std::uint64_t end = run.end == endDropped ? run.endMs : sign.unixMs;
    const auto seen = signs.seen.find(run.worker);
    if (seen != signs.seen.end()) {
        const auto next = std::upper_bound(seen->second.begin(), seen->second.end(), sign.unixMs);
        if (next != seen->second.end())
            end = std::min(run.endMs, *next);
    }
    return {std::max(run.beginMs, sign.unixMs - sign.sinceMs), std::min(end, run.endMs)};
}

void addUnconfirmedSpans(const JobAccount &job, const RunAccount &run, const LeaderHistory &leaders,
                         const WorkerSigns &signs, const RunsByWorker &runsByWorker,
                         std::vector<ReasonSpan> &spans)
{
    const auto add = [&spans](std::uint64_t begin, std::uint64_t end, const std::string &cause) {
        if (begin < end)
            spans.push_back({{begin, end}, rankNotConfirmed, notConfirmed(cause)});
    };
    if (run.end == endNotStored)
        add(run.beginMs, run.endMs, "the assignment was not stored");
    const Leadership *leader = leadershipAt(leaders, run.endMs);
    if (run.end == endDropped && run.cause == causeNeverReported && leader != nullptr)
        add(std::max(run.beginMs, leader->beginMs), run.endMs, causeNeverReported);
    const auto gone = signs.gone.find(keyWithoutStart(run.worker));
    if (gone != signs.gone.end()) {
        const auto at = std::upper_bound(gone->second.begin(), gone->second.end(), run.beginMs);
        if (at != gone->second.end())
            add(*at, run.endMs, "its worker has ended, and the leader has not heard of it");
    }
    const auto unconfirmed = signs.unconfirmed.find(run.worker);
    if (unconfirmed == signs.unconfirmed.end())
        return;
    for (const DaySign *sign : unconfirmed->second) {
        if (!concernsRun(*sign, job, run, runsByWorker))
            continue;
        const Span span = spanOfSign(*sign, run, signs);
        add(span.begin, span.end, sign->cause);
    }
}

// ---- Reasons ----

// A leader that did not log some lines may have known the job.
bool suppressedLines(const Leadership &leadership, absl::Span<const DaySign> signs)
{
    return std::any_of(signs.begin(), signs.end(), [&leadership](const DaySign &sign) {
        return sign.kind == DaySignKind::LinesSuppressed && sign.process == leadership.process;
    });
}

// The time of each leader until its first decision about the job. Jobs that an earlier leader knew
// are left out if the line may have been suppressed.
void addUnknownSpans(const JobTimes &times, const Span &open, const LeaderHistory &leaders,
                     absl::Span<const DaySign> signs, std::vector<ReasonSpan> &spans)
{
    bool knownBefore = false;
    for (const Leadership &leadership : leaders.leaderships) {
        const auto found = times.firstDecisions.find(leadership.epoch);
        const bool known = found != times.firstDecisions.end();
        const std::uint64_t begin = std::max(open.begin, leadership.beginMs);
        const std::uint64_t end = std::min(open.end, known ? found->second : leadership.endMs);
        if (begin < end && (!knownBefore || !suppressedLines(leadership, signs)))
            spans.push_back({{begin, end}, rankNotKnown, std::string(idleNotKnown)});
        knownBefore = knownBefore || known;
    }
}

// The time between two decisions of the leader, where lines before the second were suppressed.
void addSuppressedSpans(const LeaderHistory &leaders, absl::Span<const DayEvent> events,
                        absl::Span<const DaySign> signs, std::vector<ReasonSpan> &spans)
{
    for (const DaySign &sign : signs) {
        const Leadership *leader = leadershipAt(leaders, sign.unixMs);
        if (sign.kind != DaySignKind::LinesSuppressed || leader == nullptr
            || leader->process != sign.process)
            continue;
        std::uint64_t begin = leader->beginMs;
        const auto next = std::lower_bound(
            events.begin(), events.end(), sign.unixMs,
            [](const DayEvent &event, std::uint64_t unixMs) { return event.unixMs < unixMs; });
        if (next != events.begin())
            begin = std::max(begin, std::prev(next)->unixMs);
        spans.push_back({{begin, sign.unixMs}, rankSuppressed, std::string(idleLinesSuppressed)});
    }
}

// A start or end may be among the suppressed lines, so the rest of the interval is in doubt.
void extendSuppressedSpans(const Span &idle, std::vector<ReasonSpan> &reasons)
{
    for (ReasonSpan &reason : reasons) {
        const Span &span = reason.span;
        if (reason.rank == rankSuppressed && span.end >= idle.begin && span.begin <= idle.end)
            reason.span.end = std::max(span.end, idle.end);
    }
}

std::vector<IdlePart> partsOf(const Span &idle, std::vector<ReasonSpan> reasons)
{
    extendSuppressedSpans(idle, reasons);
    std::set<std::uint64_t> cuts = {idle.begin, idle.end};
    for (const ReasonSpan &reason : reasons) {
        for (const std::uint64_t cut : {reason.span.begin, reason.span.end}) {
            if (cut > idle.begin && cut < idle.end)
                cuts.insert(cut);
        }
    }
    std::map<std::string, std::uint64_t> lengths;
    for (auto cut = cuts.begin(); std::next(cut) != cuts.end(); ++cut) {
        const ReasonSpan *first = nullptr;
        for (const ReasonSpan &reason : reasons) {
            const bool covers = reason.span.begin <= *cut && *std::next(cut) <= reason.span.end;
            if (covers && (first == nullptr || reason.rank < first->rank))
                first = &reason;
        }
        lengths[first == nullptr ? std::string(idleNoReason) : first->reason] +=
            *std::next(cut) - *cut;
    }
    std::vector<IdlePart> parts;
    parts.reserve(lengths.size());
    for (const auto &[reason, lengthMs] : lengths)
        parts.push_back({reason, lengthMs});
    std::stable_sort(parts.begin(), parts.end(),
                     [](const IdlePart &a, const IdlePart &b) { return a.lengthMs > b.lengthMs; });
    return parts;
}

IdleInterval makeInterval(const JobAccount &job, const Span &idle,
                          const std::vector<ReasonSpan> &reasons, const LeaderHistory &leaders)
{
    IdleInterval interval;
    interval.beginMs = idle.begin;
    interval.endMs = idle.end;
    interval.parts = partsOf(idle, reasons);
    for (const Leadership &leadership : leaders.leaderships) {
        if (leadership.beginMs >= idle.begin && leadership.beginMs <= idle.end)
            interval.leaderChanged = true;
    }
    for (const WaitAccount &wait : job.waits) {
        if (wait.beginMs >= idle.end || wait.endMs <= idle.begin)
            continue;
        interval.tasksWaiting = wait.tasks;
        interval.placesFree = wait.placesFree;
    }
    return interval;
}

} // namespace

bool isDaySign(std::string_view event)
{
    return std::any_of(std::begin(signKinds), std::end(signKinds),
                       [event](const auto &entry) { return entry.first == event; });
}

std::optional<DaySign> toDaySign(const LogLine &line)
{
    for (const auto &[event, kind] : signKinds) {
        if (event != line.event)
            continue;
        DaySign sign;
        sign.kind = kind;
        sign.unixMs = line.unixMs;
        sign.process = line.process;
        if (readDetails(line, sign))
            return sign;
    }
    return std::nullopt;
}

std::vector<IdleInterval> findIdleIntervals(const DayAccount &account,
                                            absl::Span<const DayEvent> events,
                                            absl::Span<const DaySign> signs, std::uint64_t idleMs)
{
    std::vector<IdleInterval> intervals;
    if (events.empty())
        return intervals;
    const std::uint64_t logEndMs = events.back().unixMs;
    const LeaderHistory leaders = findLeaders(events, signs);
    const WorkerSigns workers = findWorkerSigns(events, signs, leaders);
    const RunsByWorker runsByWorker = findRunsByWorker(account);
    std::vector<ReasonSpan> commonReasons;
    for (const Span &span : leaders.leaderless)
        commonReasons.push_back({span, rankLeaderless, std::string(idleNoLeader)});
    addSuppressedSpans(leaders, events, signs, commonReasons);
    const JobAccount unknownJob;
    for (const auto &[id, times] : findJobTimes(events, signs)) {
        const auto found = account.jobs.find(id);
        const JobAccount &job = found == account.jobs.end() ? unknownJob : found->second;
        const Span open = openSpan(times, job, logEndMs);
        std::vector<ReasonSpan> reasons = commonReasons;
        Spans running = unassignedSpans(job, open);
        for (const RunAccount &run : job.runs) {
            std::vector<ReasonSpan> unconfirmed;
            addUnconfirmedSpans(job, run, leaders, workers, runsByWorker, unconfirmed);
            Spans gaps;
            for (const ReasonSpan &reason : unconfirmed)
                gaps.push_back(reason.span);
            const Spans confirmed = without({{run.beginMs, run.endMs}}, gaps);
            running.insert(running.end(), confirmed.begin(), confirmed.end());
            reasons.insert(reasons.end(), unconfirmed.begin(), unconfirmed.end());
        }
        addUnknownSpans(times, open, leaders, signs, reasons);
        for (const WaitAccount &wait : job.waits)
            reasons.push_back({{wait.beginMs, wait.endMs}, rankWait, wait.cause});
        for (Span idle : without(dueSpans(job, open), running)) {
            idle.begin = std::max(idle.begin, account.beginMs);
            idle.end = std::min(idle.end, account.endMs);
            if (idle.end < idle.begin + std::max<std::uint64_t>(idleMs, 1))
                continue;
            intervals.push_back(makeInterval(job, idle, reasons, leaders));
            intervals.back().jobId = id;
        }
    }
    std::stable_sort(intervals.begin(), intervals.end(),
                     [](const IdleInterval &a, const IdleInterval &b) {
                         return a.endMs - a.beginMs > b.endMs - b.beginMs;
                     });
    return intervals;
}

} // namespace flamingo::adapters

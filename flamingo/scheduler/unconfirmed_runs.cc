// Runs on workers that have reported are found in the workers' lists of runs. Tasks that the job
// table assigns to a worker that has not reported to this leader have no such run.

#include "flamingo/scheduler/unconfirmed_runs.h"

#include "flamingo/scheduler/scheduler.h"
#include "flamingo/scheduler/scheduler_parts.h"

namespace flamingo::scheduler {
namespace {

using GroupKey = std::pair<std::string, UnconfirmedCause>;
using Groups = std::map<GroupKey, UnconfirmedRuns>;

void addRun(Groups &groups, const std::string &worker, UnconfirmedCause cause,
            const std::string &task, std::optional<TimeMs> releaseInMs)
{
    const auto [found, added] = groups.try_emplace({worker, cause});
    UnconfirmedRuns &group = found->second;
    if (added) {
        group.worker = worker;
        group.cause = cause;
        group.firstTask = task;
        group.releaseInMs = releaseInMs;
    }
    ++group.runs;
}

void addRunsOfMissingWorkers(const Scheduler &scheduler, TimeMs now, Groups &groups)
{
    const TimeMs releaseInMs = scheduler.leadingSince + orphanTimeoutMs(scheduler.options) - now;
    for (const auto &[id, row] : scheduler.table.jobs) {
        if (!row.job || row.cancelled || row.progress.outcome != Outcome::Open)
            continue;
        for (std::size_t i = 0; i < row.progress.tasks.size(); ++i) {
            const TaskProgress &task = row.progress.tasks[i];
            const bool assigned =
                task.phase == TaskPhase::Assigned || task.phase == TaskPhase::Stopping;
            if (!assigned || scheduler.workers.count(task.worker) > 0)
                continue;
            addRun(groups, task.worker, UnconfirmedCause::WorkerNotReported,
                   taskName(*row.job, taskPosition(*row.job, i)), releaseInMs);
        }
    }
}

// Returns nullopt for a run that the worker lists and that should go on. The causes of the others
// are normal for a moment.
std::optional<UnconfirmedCause> causeOf(const Scheduler &scheduler, const Worker &worker,
                                        const Run &run, TimeMs now)
{
    if (now - worker.lastReport > scheduler.options.reportTimeoutMs)
        return UnconfirmedCause::HostSilent;
    if (!worker.fenced)
        return UnconfirmedCause::WorkerNotFenced;
    // An agent also stops a run whose start the worker has refused.
    if (!shouldRun(scheduler, worker, run) || run.reported == RunState::Stopping)
        return UnconfirmedCause::StopNotConfirmed;
    if (run.reported == RunState::Unknown || run.reported == RunState::Starting)
        return UnconfirmedCause::StartNotConfirmed;
    return std::nullopt;
}

std::string logFields(const UnconfirmedRuns &group)
{
    std::string text = "worker=" + group.worker + " cause=\""
        + std::string(unconfirmedCauseName(group.cause)) + "\" runs=" + std::to_string(group.runs)
        + " first_task=" + group.firstTask;
    if (group.releaseInMs)
        text += " release_in_ms=" + std::to_string(*group.releaseInMs);
    return text;
}

} // namespace

std::string_view unconfirmedCauseName(UnconfirmedCause cause)
{
    switch (cause) {
    case UnconfirmedCause::WorkerNotReported:
        return "its worker has not reported to this leader";
    case UnconfirmedCause::HostSilent:
        return "its host does not report";
    case UnconfirmedCause::WorkerNotFenced:
        return "its worker has not accepted this leader's token";
    case UnconfirmedCause::StartNotConfirmed:
        return "its start is not confirmed";
    case UnconfirmedCause::StopNotConfirmed:
        return "its stop is not confirmed";
    }
    return "?";
}

std::vector<UnconfirmedRuns> findUnconfirmedRuns(const Scheduler &scheduler, TimeMs now)
{
    Groups groups;
    addRunsOfMissingWorkers(scheduler, now, groups);
    for (const auto &[key, worker] : scheduler.workers) {
        const TimeMs releaseInMs =
            worker.lastReport + leaseTimeoutMs(scheduler.options, worker.fenced) - now;
        for (const auto &[runKey, run] : worker.runs) {
            const auto cause = causeOf(scheduler, worker, run, now);
            if (!cause)
                continue;
            const bool hostSilent = *cause == UnconfirmedCause::HostSilent;
            addRun(groups, key, *cause, runKey.first,
                   hostSilent ? std::optional<TimeMs>(releaseInMs) : std::nullopt);
        }
    }
    std::vector<UnconfirmedRuns> result;
    for (auto &[key, group] : groups)
        result.push_back(std::move(group));
    return result;
}

void logUnconfirmedRuns(Scheduler &scheduler, TimeMs now)
{
    UnconfirmedLog &log = scheduler.unconfirmed;
    if (now - log.checkedAt < log.checkEveryMs)
        return;
    log.checkedAt = now;
    const auto before = std::exchange(log.since, {});
    std::size_t lines = 0;
    std::size_t leftOut = 0;
    std::size_t leftOutRuns = 0;
    for (const UnconfirmedRuns &group : findUnconfirmedRuns(scheduler, now)) {
        const GroupKey key = {group.worker, group.cause};
        const auto known = before.find(key);
        UnconfirmedSince &since = log.since[key];
        since = known == before.end() ? UnconfirmedSince{now, 0} : known->second;
        const TimeMs dueAt =
            since.loggedAt == 0 ? since.foundAt + log.logAfterMs : since.loggedAt + log.logEveryMs;
        if (now < dueAt)
            continue;
        since.loggedAt = now;
        if (lines == log.maxLines) {
            ++leftOut;
            leftOutRuns += group.runs;
            continue;
        }
        ++lines;
        scheduler.decisions.push_back("event=runs_unconfirmed " + logFields(group)
                                      + " since_ms=" + std::to_string(now - since.foundAt));
    }
    if (leftOut > 0)
        scheduler.decisions.push_back("event=runs_unconfirmed left_out=" + std::to_string(leftOut)
                                      + " runs=" + std::to_string(leftOutRuns));
}

} // namespace flamingo::scheduler

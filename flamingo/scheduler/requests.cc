#include "flamingo/scheduler/requests.h"

namespace flamingo::scheduler {

SubmissionStep submissionStep(const JobTable &table, const Job &job)
{
    const auto found = table.jobs.find(job.id);
    if (found != table.jobs.end() && found->second.job)
        return haveSameOwner(*found->second.job, job) ? SubmissionStep::Stored
                                                      : SubmissionStep::RefuseIdInUse;
    return isCancelledEarly(table.earlyCancellations, job) ? SubmissionStep::RefuseCancelled
                                                           : SubmissionStep::Append;
}

std::optional<std::string_view> visibleStateFor(const JobTable &table, const std::string &jobId,
                                                const Caller &caller)
{
    const auto found = table.jobs.find(jobId);
    const bool known =
        found != table.jobs.end() && found->second.job && isJobOf(*found->second.job, caller);
    return known ? callerVisibleState(table, jobId) : std::nullopt;
}

CancellationStep cancellationStep(const JobTable &table, const SchedulerOptions &options,
                                  const std::string &jobId, const Caller &caller, bool tableIsNewer,
                                  std::size_t pendingEarly)
{
    const auto found = table.jobs.find(jobId);
    if (found != table.jobs.end() && found->second.job && isJobOf(*found->second.job, caller))
        return found->second.cancelled || found->second.storedOutcome != Outcome::Open
            ? CancellationStep::Cancelled
            : CancellationStep::AppendCancellation;
    if (table.earlyCancellations.entries.count({jobId, callerKey(caller)}) > 0)
        return CancellationStep::Unknown;
    if (earlyCancellationCount(table.earlyCancellations, caller) + pendingEarly
        < options.maxEarlyCancellations)
        return CancellationStep::AppendEarlyCancellation;
    return tableIsNewer ? CancellationStep::RefuseTooMany : CancellationStep::ReadLog;
}

} // namespace flamingo::scheduler

#include "flamingo/scheduler/requests.h"

namespace flamingo::scheduler {

SubmissionStep submissionStep(const JobTable &table, const Job &job)
{
    const auto found = table.jobs.find(job.id);
    return found != table.jobs.end() && found->second.job ? SubmissionStep::Stored
                                                          : SubmissionStep::Append;
}

CancellationStep cancellationStep(const JobTable &table, const std::string &jobId,
                                  bool tableIsNewer)
{
    const auto found = table.jobs.find(jobId);
    if (found == table.jobs.end() || !found->second.job)
        return tableIsNewer ? CancellationStep::Unknown : CancellationStep::ReadLog;
    return found->second.cancelled || found->second.storedOutcome != Outcome::Open
        ? CancellationStep::Cancelled
        : CancellationStep::AppendCancellation;
}

} // namespace flamingo::scheduler

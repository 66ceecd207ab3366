// The entries are ordered by job id, so those of one job are adjacent.

#include "flamingo/scheduler/early_cancellations.h"

namespace flamingo::scheduler {

void addEarlyCancellation(EarlyCancellations &cancellations, const EarlyCancellations::Key &key,
                          const Caller &caller)
{
    EarlyCancellation cancellation;
    cancellation.caller = caller;
    if (cancellations.entries.emplace(key, cancellation).second)
        ++cancellations.countByOrganisation[caller.organisation];
}

void removeEarlyCancellation(EarlyCancellations &cancellations, const EarlyCancellations::Key &key)
{
    const auto removed = cancellations.entries.extract(key);
    if (removed.empty())
        return;
    const auto count = cancellations.countByOrganisation.find(removed.mapped().caller.organisation);
    if (--count->second == 0)
        cancellations.countByOrganisation.erase(count);
}

bool isCancelledEarly(const EarlyCancellations &cancellations, const Job &job)
{
    auto item = cancellations.entries.lower_bound({job.id, ""});
    for (; item != cancellations.entries.end() && item->first.first == job.id; ++item) {
        if (isJobOf(job, item->second.caller))
            return true;
    }
    return false;
}

std::size_t earlyCancellationCount(const EarlyCancellations &cancellations, const Caller &caller)
{
    const auto found = cancellations.countByOrganisation.find(caller.organisation);
    return found == cancellations.countByOrganisation.end() ? 0 : found->second;
}

} // namespace flamingo::scheduler

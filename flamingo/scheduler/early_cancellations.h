#ifndef FLAMINGO_SCHEDULER_EARLY_CANCELLATIONS_H
#define FLAMINGO_SCHEDULER_EARLY_CANCELLATIONS_H

// Cancellations of jobs of which no acceptance was known, see records.h. A job that one of them
// concerns never runs, whenever its acceptance is stored.
//
// They are kept for as long as ended jobs (SchedulerOptions::retainMs, counted by the leader): the
// append of an acceptance may be carried out seconds after its entry has given it up, by the
// network after about 100 s at the most, and an entry may be paused in between. Their number is
// limited by organisation, so that no one can fill the memory of the entries and the job log by
// cancelling ids that do not exist.

#include "flamingo/scheduler/job.h"

#include <map>
#include <string>
#include <utility>

namespace flamingo::scheduler {

struct EarlyCancellation
{
    Caller caller;
    TimeMs seenAt = 0; // when the leader first considered it; 0: not yet
};

struct EarlyCancellations
{
    using Key = std::pair<std::string, std::string>; // job id, callerKey()
    std::map<Key, EarlyCancellation> entries;
    std::map<std::string, std::size_t> countByOrganisation; // "": by callers of open queues
};

// Has no effect if there is one with this key.
void addEarlyCancellation(EarlyCancellations &cancellations, const EarlyCancellations::Key &key,
                          const Caller &caller);

// Has no effect if there is none.
void removeEarlyCancellation(EarlyCancellations &cancellations, const EarlyCancellations::Key &key);

// True when one concerns the job.
bool isCancelledEarly(const EarlyCancellations &cancellations, const Job &job);

// Number of those that count towards the caller's limit.
std::size_t earlyCancellationCount(const EarlyCancellations &cancellations, const Caller &caller);

} // namespace flamingo::scheduler

#endif

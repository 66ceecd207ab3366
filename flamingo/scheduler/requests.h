#ifndef FLAMINGO_SCHEDULER_REQUESTS_H
#define FLAMINGO_SCHEDULER_REQUESTS_H

// What an entry does with a caller's submission or cancellation, by its job table. The adapter
// carries the steps out: it appends records, reads the log and answers.
//
// An append that an entry has given up may be carried out later, and an entry that was paused may
// append what a caller has long given up. So the absence of a job's acceptance from the log,
// however recent the read, does not show that none will be stored. A caller who cancels a job is
// told that there is no such job only after a record is stored that cancels a later acceptance as
// well.

#include "flamingo/scheduler/scheduler.h"

#include <optional>
#include <string>
#include <string_view>

namespace flamingo::scheduler {

enum class SubmissionStep : std::uint8_t {
    Append, // the acceptance record
    Stored, // the job is in the table: a repeated submission
    RefuseCancelled, // the caller has cancelled this id; the job would not run
    RefuseIdInUse, // a job of another caller has this id, and names of tasks contain only the id
};

SubmissionStep submissionStep(const JobTable &table, const Job &job);

// State of the caller's job as callerVisibleState() returns it; nullopt if the caller has no such
// job.
std::optional<std::string_view> visibleStateFor(const JobTable &table, const std::string &jobId,
                                                const Caller &caller);

enum class CancellationStep : std::uint8_t {
    AppendCancellation, // cancellationRecord(); then the job is cancelled
    Cancelled, // a cancellation is stored, or the job has ended
    AppendEarlyCancellation, // earlyCancellationRecord(); then the job is unknown
    Unknown, // no such job, and none will run
    ReadLog, // the table may lack the job, and no more early cancellations are stored
    RefuseTooMany, // the caller's organisation has cancelled too many unknown jobs
};

// `tableIsNewer`: the table contains all records stored before the request arrived. `pendingEarly`:
// early cancellations of the caller's organisation that are being appended.
CancellationStep cancellationStep(const JobTable &table, const SchedulerOptions &options,
                                  const std::string &jobId, const Caller &caller, bool tableIsNewer,
                                  std::size_t pendingEarly);

} // namespace flamingo::scheduler

#endif

#ifndef FLAMINGO_SCHEDULER_REQUESTS_H
#define FLAMINGO_SCHEDULER_REQUESTS_H

// What an entry does with a caller's submission or cancellation, by its job table. The adapter
// carries the steps out: it appends records, reads the log and answers.

#include "flamingo/scheduler/scheduler.h"

#include <string>

namespace flamingo::scheduler {

enum class SubmissionStep : std::uint8_t {
    Append, // the acceptance record
    Stored, // the job is in the table: a repeated submission
};

SubmissionStep submissionStep(const JobTable &table, const Job &job);

enum class CancellationStep : std::uint8_t {
    AppendCancellation, // cancellationRecord(); then the job is cancelled
    Cancelled, // a cancellation is stored, or the job has ended
    Unknown, // no such job
    ReadLog, // the table may lack the job
};

// `tableIsNewer`: the table contains all records stored before the request arrived.
CancellationStep cancellationStep(const JobTable &table, const std::string &jobId,
                                  bool tableIsNewer);

} // namespace flamingo::scheduler

#endif

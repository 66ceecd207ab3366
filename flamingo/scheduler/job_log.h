#ifndef FLAMINGO_SCHEDULER_JOB_LOG_H
#define FLAMINGO_SCHEDULER_JOB_LOG_H

// Interface to the durable job log, which stores the records of jobs: a single partition, append
// only, with a key for each record.
//
// There are two kinds of writers. Entries, the processes that accept jobs from callers, append
// acceptances and cancellations; such an append may be repeated safely. One entry is the leader.
// The leader appends under a fence: the log rejects appends of earlier epochs, and the sequence
// number makes repeated appends idempotent.
//
// Each callback runs exactly once, and never before the call has returned.

#include "flamingo/scheduler/records.h"

#include <absl/types/span.h>

#include <functional>
#include <string>
#include <vector>

namespace flamingo::scheduler {

// Condition under which the log accepts an append by the leader.
struct Fence
{
    std::uint64_t epoch = 0; // rejected when the log has seen a higher one
    std::uint64_t sequence = 0; // consecutive within the epoch
};

enum class AppendStatus : std::uint8_t {
    Stored,
    NotStored, // definitely not stored, now or later
    Unknown, // may be stored, now or later
    Fenced, // the log has seen a higher epoch
    WrongSequence, // not the sequence number that follows the last one of the epoch
};

struct AppendResult
{
    AppendStatus status = AppendStatus::Unknown;
    std::uint64_t end = 0; // offset after the newest record; with Stored only
    std::uint64_t expectedSequence = 0; // with WrongSequence only
    bool timedOut = false; // no answer in time; the log may be slow or unreachable
    std::string error;
};

struct StoredRecord
{
    std::uint64_t offset = 0;
    Record record; // an empty value deletes the key
};

struct ReadResult
{
    bool answered = false;
    bool timedOut = false; // as in AppendResult
    bool deleted = false; // the records at `from` have expired; call newest() instead
    std::uint64_t end = 0; // offset after the newest record
    std::vector<StoredRecord> records;
    std::string error;
};

struct NewestResult
{
    bool answered = false;
    bool more = false; // there are more keys: continue after the last one of `records`
    std::uint64_t end = 0; // offset after the newest record
    std::vector<StoredRecord> records;
    std::string error;
};

// Returns the latest time at which the log is known to have had the state that an answered read
// returned. That is the time of sending, unless the read found nothing and waited `waitMs`: the log
// answers such a read only after the whole wait, so its state was unchanged until then.
// A read that returned only a part of the records, because an answer is limited in size, shows
// nothing about the state of the log: 0.
inline TimeMs confirmedAt(const ReadResult &result, TimeMs sentAt, TimeMs waitMs, TimeMs now)
{
    if (!result.records.empty() && result.records.back().offset + 1 < result.end)
        return 0;
    return result.records.empty() && now - sentAt >= waitMs ? sentAt + waitMs : sentAt;
}

class JobLog
{
public:
    virtual ~JobLog() = default;

    // Appends without a fence.
    virtual void append(absl::Span<const Record> records,
                        std::function<void(AppendResult)> done) = 0;

    // Appends under `fence`. Without records, it sets the epoch of the fence and returns the end of
    // the log.
    virtual void appendFenced(absl::Span<const Record> records, const Fence &fence,
                              std::function<void(AppendResult)> done) = 0;

    // Reads the records from offset `from` on; waits up to `waitMs` for the first one.
    virtual void read(std::uint64_t from, TimeMs waitMs, std::function<void(ReadResult)> done) = 0;

    // Reads the newest record of each key that sorts after `afterKey`, one page per call. The pages
    // are not a consistent snapshot.
    virtual void newest(std::string_view afterKey, std::function<void(NewestResult)> done) = 0;
};

} // namespace flamingo::scheduler

#endif

#ifndef FLAMINGO_SCHEDULER_RECORDS_H
#define FLAMINGO_SCHEDULER_RECORDS_H

// Keys and encoding of the records in the job log. The log retains the newest record of each key
// until a record with an empty value deletes the key.
//
// A job has up to three keys, because different entries (see job_log.h) write its acceptance (any
// entry), its progress (the leader) and its cancellation (any entry) at any time, and none may
// overwrite the record of another. A repeated acceptance or cancellation replaces a record with the
// same content.
//
// A caller may cancel a job of which it does not know whether it is stored. If no acceptance is
// stored when the cancellation is, one may still follow: of an append that an entry has given up,
// or by an entry that was paused. An early cancellation cancels the job of that caller whenever its
// acceptance is stored, before or after it. Its key contains the caller, so that the cancellations
// of different organisations do not replace each other.
//
// The end of a worker is written by its agent while no leader confirms it, and
// deleted by a leader that has requeued the worker's tasks. All records are in one partition, so
// that a single fence and a single order apply to them.

#include "flamingo/scheduler/job.h"

#include <array>

namespace flamingo::scheduler {

enum class RecordKind : std::uint8_t {
    Acceptance,
    Progress,
    Cancellation,
    EarlyCancellation,
    WorkerEnd,
    Candidate,
    Leader,
    RunTimes
};

struct Record
{
    std::string key;
    std::string value; // empty: deletes the key
};

// What a record adds to the size of an append: key, value and their lengths.
std::size_t appendedBytes(const Record &record);

// The entry that leads and its epoch, which fences all earlier leaders.
struct Leader
{
    std::uint64_t epoch = 0; // number of its term; higher than that of every earlier leader
    std::string process;
    std::uint64_t start = 0; // identifies the incarnation of the process
    std::string address; // agents send their reports to it
    std::uint32_t hosts = 0; // number of hosts that it has recently received reports from
    bool resigned = false; // it has stopped leading; a successor may start at once
    double processorShare = 0; // cores of its host; 0: unknown
};

Record acceptanceRecord(const Job &job);
// If the value would exceed `maxBytes`, checkpoints are left out, and `leftOut` is their number; a
// task of which the log has no checkpoint begins anew under the next leader.
Record progressRecord(std::string_view jobId, const JobProgress &progress, std::size_t maxBytes,
                      std::size_t &leftOut);
Record progressRecord(std::string_view jobId, const JobProgress &progress);
Record cancellationRecord(std::string_view jobId);
Record earlyCancellationRecord(std::string_view jobId, const Caller &caller);
// States that the incarnation of a worker has ended, with all its runs. See workerKey().
Record workerEndRecord(std::string_view workerKey);
Record leaderRecord(const Leader &leader);
// Announces that an entry is about to lead.
Record candidateRecord(const Leader &candidate);

// Key of the leader record. It sorts after the keys of all jobs, so that JobLog::newest() can be
// asked for it, and with it the candidate record, alone.
extern const std::string_view leaderKey;

struct ParsedKey
{
    RecordKind kind = RecordKind::Acceptance;
    std::string jobId; // of Acceptance, Progress, Cancellation and EarlyCancellation
    std::string callerKey; // of EarlyCancellation; see callerKey()
    std::string workerKey; // of WorkerEnd
};

// Key of the record of learned run times, see run_times.h.
extern const std::string_view runTimesKey;

// Keys of all records of a job but early cancellations.
std::array<std::string, 3> jobRecordKeys(std::string_view jobId);

// Identifies a caller's organisation and queue in the key of an early cancellation. Callers of an
// open queue have the same one, whatever their organisation.
std::string callerKey(const Caller &caller);
std::string earlyCancellationKey(std::string_view jobId, std::string_view callerKey);

// Returns nullopt for a key of unknown kind.
std::optional<ParsedKey> parseKey(std::string_view key);
// The decode functions return nullopt, with the cause in `reason`, for a value that is not valid.
std::optional<Job> decodeJob(std::string_view value, Reason &reason);
std::optional<JobProgress> decodeProgress(std::string_view value, Reason &reason);
std::optional<Caller> decodeCaller(std::string_view value, Reason &reason);
std::optional<Leader> decodeLeader(std::string_view value, Reason &reason);

} // namespace flamingo::scheduler

#endif

#ifndef FLAMINGO_SCHEDULER_RECORDS_H
#define FLAMINGO_SCHEDULER_RECORDS_H

// Keys and encoding of the records in the job log. The log retains the newest record of each key
// until a record with an empty value deletes the key.
//
// A job has up to three keys, because different entries (see job_log.h) write its acceptance (any
// entry), its progress (the leader) and its cancellation (any entry) at any time, and none may
// overwrite the record of another. A repeated acceptance or cancellation replaces a record with the
// same content. The end of a worker is written by its agent while no leader confirms it, and
// deleted by a leader that has requeued the worker's tasks. All records are in one partition, so
// that a single fence and a single order apply to them.

#include "flamingo/scheduler/job.h"

namespace flamingo::scheduler {

enum class RecordKind : std::uint8_t {
    Acceptance,
    Progress,
    Cancellation,
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
Record progressRecord(std::string_view jobId, const JobProgress &progress);
Record cancellationRecord(std::string_view jobId);
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
    std::string jobId; // of Acceptance, Progress and Cancellation
    std::string workerKey; // of WorkerEnd
};

// Key of the record of learned run times, see run_times.h.
extern const std::string_view runTimesKey;

// Returns nullopt for a key of unknown kind.
std::optional<ParsedKey> parseKey(std::string_view key);
// The decode functions return nullopt, with the cause in `reason`, for a value that is not valid.
std::optional<Job> decodeJob(std::string_view value, Reason &reason);
std::optional<JobProgress> decodeProgress(std::string_view value, Reason &reason);
std::optional<Leader> decodeLeader(std::string_view value, Reason &reason);

} // namespace flamingo::scheduler

#endif

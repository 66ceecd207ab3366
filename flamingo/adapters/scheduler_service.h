#ifndef FLAMINGO_ADAPTERS_SCHEDULER_SERVICE_H
#define FLAMINGO_ADAPTERS_SCHEDULER_SERVICE_H

// The scheduler service of an entry: follows the job log, serves the state of jobs, stores
// acceptances and cancellations, and schedules while this entry is the leader.
//
// The decisions are made by the pure functions in flamingo/scheduler. This class supplies them with
// records, host reports and the time, and carries out their results: it appends records to the log
// and answers reports and callers.
//
// The table of jobs trails the log. A job is therefore reported as unknown only after a recent read
// of the log, and a submission as not stored only if none of its appends can still be carried out.

#include "flamingo/adapters/decision_log.h"
#include "flamingo/adapters/loop.h"
#include "flamingo/adapters/metrics.h"
#include "flamingo/scheduler/answer_times.h"
#include "flamingo/scheduler/job_log.h"
#include "flamingo/scheduler/leadership.h"
#include "flamingo/scheduler/plan_pace.h"
#include "flamingo/scheduler/scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace flamingo::adapters {

struct SchedulerServiceOptions
{
    std::string process; // name of this entry
    std::string agentAddress; // where agents send their reports to this entry, "IP:port"
    // Long poll: an idle read of the log returns after this long, which bounds the time until an
    // unreachable log is detected.
    TimeMs readWaitMs = 600;
    TimeMs fastAnswerMs = 200; // a log whose slowest recent answer took longer counts as slow
    // A leader without contact to the log this long answers all waiting reports at once, because
    // the agents then look for a successor.
    TimeMs staleLogMs = 900;
    TimeMs reportWaitMs = 600; // a report without orders is answered after this long
    TimeMs recentReadMs = 2000; // "unknown job" is answered only after a log read this recent
    // A timed-out call does not mark the log unreachable if the log answered another call this
    // recently.
    TimeMs timeoutGraceMs = 900;
    TimeMs retryMs = 100; // delay before a failed read or fenced append is retried
    std::size_t maxGroupCommit = 100; // records of callers in one append
    std::size_t maxAppendBytes = 2096128; // the log refuses larger appends
    // The log may still store an unanswered append up to this long after the verdict MayHaveRun.
    TimeMs unresolvedAppendMs = 30000;
    // Minimum delay before an unanswered append is also relayed to another entry. The delay grows
    // with the log's recent answer times, and nothing is relayed while the log answers other calls.
    TimeMs relayAfterMs = 300;
    // Delay before an acceptance or cancellation is retried, or a missing job is looked up again.
    TimeMs submitRetryMs = 100;
    // Limits on the time until a submission or cancellation gets a verdict. Callers wait 3 s for an
    // answer.
    TimeMs submitRetryWindowMs = 800; // from its arrival to its last retry
    TimeMs queueTimeoutMs = 1200; // time in the queue behind an outstanding append
    std::uint64_t incarnation = 1; // identifies this start of the process
    std::uint64_t seed = 1; // of the random number generator
    scheduler::SchedulerOptions scheduling;
    scheduler::LeadershipOptions leadership;
};

class SchedulerService
{
public:
    // Ran: the record is stored. NotRun: it is not and will not be stored. MayHaveRun: it may be
    // stored, now or later.
    using SubmitCallback = std::function<void(Verdict verdict)>;
    // Sends a record to another entry for storing and passes on that entry's verdict.
    using Relay = std::function<void(const scheduler::Record &record, SubmitCallback done)>;
    using OrdersCallback = std::function<void(scheduler::HostOrders)>;

    // UnknownJob: no such job is stored, and if its acceptance is stored later it will not run.
    // NotStored: the cancellation has no effect. MayBeStored: it may have, now or later. TooMany:
    // the caller's organisation has cancelled too many unknown jobs.
    enum class CancelOutcome : std::uint8_t {
        Cancelled,
        UnknownJob,
        NotStored,
        MayBeStored,
        TooMany
    };
    using CancelCallback = std::function<void(CancelOutcome)>;

    SchedulerService(Loop &loop, scheduler::JobLog &log, DecisionLog &decisions, Metrics &metrics,
                     const SchedulerServiceOptions &options);
    SchedulerService(const SchedulerService &) = delete;
    SchedulerService &operator=(const SchedulerService &) = delete;

    // Starts loading the log and the periodic timer.
    void start();

    // Sets the relay to which records of submit() and cancel() are passed when the log does not
    // answer in time or is unreachable. Without a relay they are only retried by this entry.
    void setRelay(Relay relay)
    {
        this->relay = std::move(relay);
    }

    // Stores a record, an acceptance or a cancellation, that another entry has relayed.
    void storeRelayed(const scheduler::Record &record, SubmitCallback done);

    // Gives up leadership, so that another entry can lead at once, and never campaigns again. Calls
    // `done` when the resignation is stored, at once if this entry does not lead, or after a
    // timeout.
    void resign(std::function<void()> done);

    // Stores the acceptance of a job, unless submissionStep() refuses it. Within
    // `submitRetryWindowMs` of the call a failed append is retried if its outcome is unknown, or if
    // the log became unreachable less than that time ago. The submission is refused at once if the
    // log is not loaded. It is also refused at once if the log has been unreachable for longer,
    // unless a relay is set or an earlier append of the job is unresolved.
    void submit(const scheduler::Job &job, SubmitCallback done);

    // Stores the cancellation of a job, also without a leader. The leader then ends the job as
    // cancelled unless it has decided another end before. Cancelled is also reported for a job that
    // has ended. UnknownJob is reported only after an early cancellation (see records.h) is stored
    // and, if the log can be read in time, read back: the table may lack a job that another entry
    // has just accepted.
    void cancel(const std::string &jobId, const scheduler::Caller &caller, CancelCallback done);

    const scheduler::JobTable &table() const
    {
        return this->scheduling.table;
    }

    // True when the log is loaded and `tableReadAt` is so recent that a job missing from the
    // table does not exist.
    bool logReadIsRecent() const;

    // Whether the store, which is the service that holds the log, answers calls. False until it
    // answers the first read, and after a failed call until it answers a read. A timeout while
    // other calls are answered does not count as a failure.
    bool logIsReachable() const
    {
        return this->logReachable;
    }

    // True once the newest record of every key has been applied to the table.
    bool logIsLoaded() const
    {
        return this->logLoaded;
    }

    const scheduler::Scheduler &schedulerState() const
    {
        return this->scheduling;
    }

    // Sets the guaranteed accelerators of each organisation.
    void setGuarantees(std::map<std::string, std::int64_t> guarantees);

    // Sets the data centres that operators have evacuated. Takes effect in the next plan.
    void setEvacuations(const scheduler::Evacuations &evacuations);

    // Sets the function that returns the time since the requests for evacuation were last read to
    // their end. Without it, they count as known.
    void setEvacuationsAge(std::function<TimeMs()> ageMs)
    {
        this->evacuationsAgeMs = std::move(ageMs);
    }

    // Handles the report of a host. A leader answers with orders, as soon as there are any or after
    // `reportWaitMs`; it does not answer a report that is older than one already handled. A
    // follower answers at once with the address and epoch of the leader.
    void handleReport(const scheduler::HostReport &report, OrdersCallback done);

    bool leading() const
    {
        return this->scheduling.epoch != 0;
    }

private:
    // Campaigning: the append of the candidate record under a new epoch, which fences off the
    // previous leader, is outstanding. CatchingUp: it is stored, and the log is being read up to
    // it. Claiming: the leader record of this entry is appended but not yet read back.
    enum class Role : std::uint8_t { Following, Campaigning, CatchingUp, Claiming, Leading };

    struct WaitingReport
    {
        scheduler::HostReport report;
        OrdersCallback done;
        Loop::TimerId timer = 0;
    };
    // One acceptance or cancellation of a caller, from the call of submit() or cancel() to its
    // verdict.
    struct Attempt
    {
        scheduler::Record record;
        TimeMs startedAt = 0;
        bool relayed = false;
        bool relayPending = false; // the other entry has not answered yet
        bool queued = false; // in `queuedAttempts`
        bool appendPending = false; // its append has not been answered yet
        bool retryPending = false; // a timer for the next retry is running
        bool ended = false; // `done` has been called
        bool mayBeStored = false; // the outcome of an earlier append is unknown
        bool awaitsReadBack = false; // ends when its record is read, if that takes not too long
        bool stored = false; // waits only to be read back
        std::function<void(Verdict)> done;
    };

    void load(const std::string &afterKey);
    void handleNewestPage(const scheduler::NewestResult &page, TimeMs sentAt);
    void readNextRecords();
    void readNextRecords(TimeMs waitMs);
    void restartReading();
    bool logIsSlow() const;
    void handleReadResult(const scheduler::ReadResult &result, TimeMs confirmedAt);
    void applyStored(const scheduler::StoredRecord &stored);
    void logCancelledAcceptance(const std::string &jobId, std::uint64_t offset);
    void completeReadBack(const scheduler::StoredRecord &stored);
    void recordAnswerTime(TimeMs sentAt);
    void handleLeaderRecord();
    bool isThisEntry(const scheduler::Leader &leader) const;
    scheduler::Leader ownLeader(std::uint64_t epoch) const;
    void recordContact(TimeMs confirmedAt);
    void recordStoreFailure(const std::string &error, bool timedOut);
    void tick();
    void notifyStaleLog(TimeMs now);
    void handleCandidateRecord(std::uint64_t offset);
    void campaign();
    void sendCampaignAppend(const scheduler::Record &record);
    void handleCampaignResult(const scheduler::Record &record,
                              const scheduler::AppendResult &result);
    void endCampaign(const std::string &cause);
    void beginCatchingUp(std::uint64_t end);
    void claim();
    void becomeLeader();
    void stepDown(std::string_view cause);
    void schedulePlan();
    void runPlan();
    void flush();
    void takeNextAppend();
    void sendFlush();
    void handleFlushResult(const scheduler::AppendResult &result);
    void completeFlush(std::uint64_t end);
    void finishResigning();
    void answerReadyReports();
    void answerReport(const std::string &host);
    scheduler::HostOrders ordersFor(const std::string &host) const;
    void runAttempt(const std::shared_ptr<Attempt> &attempt);
    void sendQueuedAppend();
    void handleAppendResult(const std::shared_ptr<Attempt> &attempt,
                            const scheduler::AppendResult &result);
    void relayAttempt(const std::shared_ptr<Attempt> &attempt);
    static void endAttempt(Attempt &attempt, Verdict verdict);
    void endStoredAttempt(const std::shared_ptr<Attempt> &attempt);
    void expireQueued(const std::shared_ptr<Attempt> &attempt);
    void retryOrEnd(const std::shared_ptr<Attempt> &attempt);
    bool mayStillBeStored(const Attempt &attempt) const;
    void cancelSince(const std::string &jobId, const scheduler::Caller &caller, TimeMs arrivedAt,
                     CancelCallback done);
    void appendCancellation(const std::string &jobId, CancelCallback done);
    void appendEarlyCancellation(const std::string &jobId, const scheduler::Caller &caller,
                                 CancelCallback done);
    void removeUnlistedRecords();
    std::shared_ptr<Attempt> beginAttempt(const scheduler::Record &record);
    void writeDecisions();
    void exportEvacuations();
    bool evacuationsAreKnown() const;
    void exportRunTimes();

    Loop &loop;
    scheduler::JobLog &log;
    DecisionLog &decisions;
    Metrics &metrics;
    SchedulerServiceOptions options;
    Random random;
    scheduler::Scheduler scheduling;
    scheduler::Leadership leadership;
    Role role = Role::Following;
    bool logLoaded = false;
    TimeMs loadStartedAt = 0; // when the first page of the last load was requested
    bool firstPageLoaded = false; // the first page of a load has set `nextOffset`
    std::uint64_t nextOffset = 0; // of the next record to read
    // Offset of the newest record of each key that the load has applied; older ones are skipped.
    std::map<std::string, std::uint64_t> loadedOffsets;
    // Time up to which the state of the log is known. A read sets it: all records stored before
    // this time have been read. A leader's stored append sets it to the time at which the append
    // was sent: the fence proves that no other leader had begun by then.
    TimeMs logConfirmedAt = 0;
    TimeMs tableReadAt = 0; // the table contains all records stored before this time
    TimeMs logAnsweredAt = 0; // when the log last answered any call
    scheduler::AnswerTimes answerTimes; // of the log
    bool logReachable = false;
    TimeMs logLostAt = 0; // when the log last became unreachable
    std::uint64_t campaignEpoch = 0; // of the current or last campaign
    TimeMs campaignStartedAt = 0;
    TimeMs campaignReadAt = 0; // when the read that precedes a campaign was sent; 0: none
    std::uint64_t campaignEnd = 0; // leadership is claimed when the log is read up to this offset
    std::uint64_t nextSequence = 0; // sequence number of the next fenced append
    bool flushing = false; // a fenced append is outstanding
    bool staleLogNotified = false; // the waiting reports were answered because of `staleLogMs`
    std::uint64_t flushNumber = 0; // of the outstanding flush; 0: a keep-alive or a resignation
    // All earlier appends of this leader lie before this offset; the maximum if it is not known.
    std::uint64_t ownAppendsEnd = 0;
    std::vector<scheduler::Record> flushRecords; // of the outstanding or last fenced append
    std::vector<scheduler::Record> flushRest; // of the same flush, for the appends after it
    TimeMs lastFlushAt = 0; // when the last fenced append was sent
    bool planPending = false; // a timer for the next plan is running
    scheduler::PlanPace planPace;
    std::map<std::string, WaitingReport> waitingReports; // by host
    Relay relay;
    std::function<TimeMs()> evacuationsAgeMs;
    TimeMs runTimesExportedAt = 0;
    std::set<std::string> exportedEvacuations; // data centres with metrics
    std::vector<std::shared_ptr<Attempt>> queuedAttempts; // to be sent after the outstanding append
    bool appendOutstanding = false; // an unfenced append of attempts is outstanding
    std::map<std::string, std::vector<std::weak_ptr<Attempt>>>
        openAttempts; // attempts, by record key
    std::map<std::string, TimeMs> unresolvedJobs; // job id -> time of the verdict MayHaveRun
    // Early cancellations that are being appended, by organisation.
    std::map<std::string, std::size_t> pendingEarlyCancellations;
    bool resigning = false; // resign() was called
    bool resignationSent = false; // the leader record with the resignation was appended
    std::function<void()> onResigned; // callback of resign(), until it is called
    std::uint64_t loadGeneration = 0; // answers to reads of earlier generations are dropped
};

} // namespace flamingo::adapters

#endif

#ifndef FLAMINGO_ADAPTERS_SCHEDULER_SERVICE_H
#define FLAMINGO_ADAPTERS_SCHEDULER_SERVICE_H

// An entry's part of the scheduler: follows the job log, answers questions about jobs, stores
// acceptances and cancellations, and leads when it is this entry's turn.
//
// The decisions are in flamingo/scheduler; this class moves records, reports and time between them
// and the ports.

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
#include <string>

namespace flamingo::adapters {

struct SchedulerServiceOptions
{
    std::string process; // name of this entry
    std::string agentAddress; // where agents reach this entry, "IP:port"
    TimeMs readWaitMs = 600; // an idle read of the log returns after this long; bounds detection
    TimeMs staleLogMs = 900; // without contact to the log this long, a leader tells all hosts
    TimeMs reportWaitMs = 600; // a report without orders is answered after this long
    TimeMs recentReadMs = 2000; // answers about unknown jobs need a log read no older than this
    TimeMs timeoutGraceMs = 900; // a call without an answer says nothing while others are answered
    TimeMs retryMs = 100; // between attempts at the log
    std::size_t maxGroupCommit = 100; // acceptances in one append; the log takes 2 MB a call
    TimeMs unresolvedAppendMs = 30000; // an unanswered append may be carried out this late
    TimeMs relayAfterMs = 300; // an append unanswered this long is also given to another entry
    TimeMs submitRetryMs = 100; // between attempts to store an acceptance
    TimeMs submitRetryWindowMs =
        800; // a caller waits this long at most for a log that has just failed
    TimeMs queueTimeoutMs = 1200; // ... or for the append before; callers wait 3 s for an answer
    std::uint64_t incarnation = 1; // differs between two starts of the process
    std::uint64_t seed = 1; // of random choices
    scheduler::SchedulerOptions scheduling;
    scheduler::LeadershipOptions leadership;
};

class SchedulerService
{
public:
    // NotRun: surely not stored. MayHaveRun: may be stored, now or later.
    using SubmitCallback = std::function<void(Verdict verdict)>;
    // Asks another entry to store an acceptance; the verdict is that entry's.
    using Relay = std::function<void(const scheduler::Record &record, SubmitCallback done)>;
    using OrdersCallback = std::function<void(scheduler::HostOrders)>;

    enum class CancelOutcome : std::uint8_t { Cancelled, UnknownJob, NotStored };

    SchedulerService(Loop &loop, scheduler::JobLog &log, DecisionLog &decisions, Metrics &metrics,
                     const SchedulerServiceOptions &options);
    SchedulerService(const SchedulerService &) = delete;
    SchedulerService &operator=(const SchedulerService &) = delete;

    void start();

    // Without a relay, acceptances that the log does not take in time are only tried again here.
    void setRelay(Relay relay)
    {
        this->relay = std::move(relay);
    }

    // Stores an acceptance for another entry.
    void storeRelayed(const scheduler::Record &record, SubmitCallback done);

    // Lets another entry lead at once; calls `done` when that is stored, or after a short time.
    void resign(std::function<void()> done);

    // Stores an acceptance. Verdict::Ran stands for: stored. Attempts go on for a short time while
    // the log has only just failed; a longer outage is answered at once.
    void submit(const scheduler::Job &job, SubmitCallback done);
    void cancel(const std::string &jobId, std::function<void(CancelOutcome)> done);

    const scheduler::JobTable &table() const
    {
        return this->scheduling.table;
    }

    // Was the log read so recently that an unknown job does not exist?
    bool logReadIsRecent() const;
    bool storeIsReachable() const
    {
        return this->storeReachable;
    }
    bool logIsLoaded() const
    {
        return this->logLoaded;
    }

    const scheduler::Scheduler &schedulerState() const
    {
        return this->scheduling;
    }

    void setGuarantees(std::map<std::string, std::int64_t> guarantees);

    // Answers a report with orders, or names the leader.
    void handleReport(const scheduler::HostReport &report, OrdersCallback done);

    bool leading() const
    {
        return this->scheduling.epoch != 0;
    }

private:
    enum class Role : std::uint8_t { Following, Campaigning, CatchingUp, Claiming, Leading };

    struct WaitingReport
    {
        scheduler::HostReport report;
        OrdersCallback done;
        Loop::TimerId timer = 0;
    };
    struct Attempt
    {
        scheduler::Record record;
        TimeMs startedAt = 0;
        bool relayed = false;
        bool relayPending = false; // the other entry has not answered yet
        bool ended = false;
        bool mayBeStored = false;
        std::function<void(Verdict)> done;
    };

    void load(const std::string &after);
    void handleNewestPage(const scheduler::NewestResult &page, TimeMs sentAt);
    void readOn();
    void handleReadResult(const scheduler::ReadResult &result, TimeMs confirmed);
    void applyStored(const scheduler::StoredRecord &stored);
    void completeReadBack(const scheduler::StoredRecord &stored);
    void recordAnswerTime(TimeMs sentAt);
    void handleLeaderRecord();
    bool isThisEntry(const scheduler::Leader &leader) const;
    scheduler::Leader ownLeader(std::uint64_t epoch) const;
    void recordContact(TimeMs confirmed);
    void recordStoreFailure(const std::string &error, bool timedOut);
    void tick();
    void notifyStaleLog(TimeMs now);
    void campaign();
    void claim();
    void handleClaimResult(const scheduler::AppendResult &result);
    void becomeLeader();
    void stepDown(std::string_view cause);
    void schedulePlan();
    void runPlan();
    void flush();
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
    void expireQueued(const std::shared_ptr<Attempt> &attempt);
    void retryOrEnd(const std::shared_ptr<Attempt> &attempt);
    std::shared_ptr<Attempt> beginAttempt(const scheduler::Record &record);
    void writeDecisions();

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
    bool firstPageLoaded = false; // the first page of a load has set `nextOffset`
    std::uint64_t nextOffset = 0;
    std::map<std::string, std::uint64_t>
        loadedOffsets; // of the newest record folded, while loading
    TimeMs logConfirmedAt = 0; // everything in the log up to then has been read
    TimeMs logAnsweredAt = 0; // when the log last answered any call
    scheduler::AnswerTimes answerTimes; // of the log
    bool storeReachable = false;
    TimeMs storeLostAt = 0;
    std::uint64_t campaignEpoch = 0;
    std::uint64_t campaignEnd = 0; // lead when the log has been read up to here
    std::uint64_t nextSequence = 0; // of the next fenced append
    bool flushing = false;
    bool staleLogNotified = false; // hosts know that the log is out of reach
    std::uint64_t flushNumber = 0; // of the outstanding flush
    std::uint64_t ownAppendsEnd = 0; // all of this leader's earlier appends lie before this offset
    std::vector<scheduler::Record> flushRecords;
    TimeMs lastFlushAt = 0;
    bool planPending = false;
    scheduler::PlanPace planPace;
    std::map<std::string, WaitingReport> waitingReports; // by host
    Relay relay;
    std::vector<std::shared_ptr<Attempt>> queuedAttempts; // wait for the outstanding append
    bool appendOutstanding = false;
    std::map<std::string, std::vector<std::weak_ptr<Attempt>>>
        openAttempts; // attempts, by record key
    std::map<std::string, TimeMs> unresolvedJobs; // jobs whose append was not answered, and when
    bool resigning = false;
    bool resignationSent = false;
    std::function<void()> onResigned;
    std::uint64_t loadGeneration = 0; // of the load; answers to earlier ones are dropped
};

} // namespace flamingo::adapters

#endif

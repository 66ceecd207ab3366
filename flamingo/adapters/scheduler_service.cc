// The log is read in one endless chain: newest records of all keys first, then every record behind
// the offset at which that began. A leader reads like everybody else; what it wrote itself only
// updates what callers are shown.
//
// A leader has one fenced append outstanding at a time. Changes made meanwhile gather for the next
// one, so the number of appends adapts to the log's speed.
//
// Whatever this entry appends it also reads. A record that has been read is stored, so neither a
// leader nor a caller waits for the answer to an append when that answer is lost or late.

#include "flamingo/adapters/scheduler_service.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace flamingo::adapters {
namespace {

using namespace flamingo::scheduler;

constexpr TimeMs tickMs = 100;
constexpr std::uint64_t claimSequence = 0; // of the append that claims leadership
constexpr TimeMs relayPerAnswer = 2; // an answer this many times later than the slowest is missing
constexpr TimeMs resignTimeoutMs = 400; // the log normally answers within tens of milliseconds
constexpr std::string_view latencyHelp = "Time until the job log answered, by call";

double seconds(TimeMs ms)
{
    return double(ms) / 1000;
}

} // namespace

SchedulerService::SchedulerService(Loop &loop, JobLog &log, DecisionLog &decisions,
                                   Metrics &metrics, const SchedulerServiceOptions &options)
    : loop(loop)
    , log(log)
    , decisions(decisions)
    , metrics(metrics)
    , options(options)
    , random(options.seed)
{
    this->scheduling.options = options.scheduling;
    this->leadership.options = options.leadership;
    drawDelay(this->leadership, this->random);
}

void SchedulerService::start()
{
    this->load("");
    this->loop.every(tickMs, [this] { this->tick(); });
}

void SchedulerService::load(const std::string &after)
{
    if (after.empty()) {
        ++this->generation;
        this->isLoaded = false;
        this->pageSeen = false;
        this->offsetOfKey.clear();
    }
    const TimeMs sentAt = Loop::now();
    this->log.newest(after,
                     [this, sentAt, after, wanted = this->generation](const NewestResult &page) {
                         if (wanted != this->generation)
                             return;
                         if (page.answered) {
                             this->takePage(page, sentAt);
                             return;
                         }
                         this->noteStoreLoss(page.error, false);
                         this->loop.after(this->options.retryMs, [this, after, wanted] {
                             if (wanted == this->generation)
                                 this->load(after);
                         });
                     });
}

void SchedulerService::takePage(const NewestResult &page, TimeMs sentAt)
{
    this->noteContact(sentAt);
    // Later pages may be newer than the first one; reading on from the first one's end covers all.
    if (!std::exchange(this->pageSeen, true))
        this->nextOffset = page.end;
    for (const StoredRecord &stored : page.records) {
        this->offsetOfKey[stored.record.key] = stored.offset;
        this->fold(stored);
    }
    if (page.more && !page.records.empty()) {
        this->load(page.records.back().record.key);
        return;
    }
    this->isLoaded = true;
    this->decisions.write("event=job_log_loaded jobs="
                          + std::to_string(this->scheduling.table.jobs.size())
                          + " offset=" + std::to_string(this->nextOffset)
                          + " leader=" + this->scheduling.table.leader.process
                          + " epoch=" + std::to_string(this->scheduling.table.leader.epoch));
    this->readOn();
}

void SchedulerService::readOn()
{
    const TimeMs sentAt = Loop::now();
    // Without waiting after a failure: an answer at once says that the log is back.
    const TimeMs waitMs = this->storeReachable ? this->options.readWaitMs : 0;
    this->log.read(this->nextOffset, waitMs,
                   [this, sentAt, waitMs, wanted = this->generation](const ReadResult &result) {
                       if (wanted == this->generation)
                           this->takeRead(result, confirmedAt(result, sentAt, waitMs, Loop::now()));
                   });
}

void SchedulerService::takeRead(const ReadResult &result, TimeMs confirmed)
{
    if (!result.answered) {
        this->noteStoreLoss(result.error, result.timedOut);
        this->loop.after(this->options.retryMs, [this, wanted = this->generation] {
            if (wanted == this->generation)
                this->readOn();
        });
        return;
    }
    this->noteContact(confirmed);
    if (result.deleted) {
        this->decisions.write("event=job_log_expired offset=" + std::to_string(this->nextOffset));
        if (this->leading())
            this->stepDown("the records to read have expired");
        else
            this->load("");
        return;
    }
    for (const StoredRecord &stored : result.records) {
        const auto newest = this->offsetOfKey.find(stored.record.key);
        this->nextOffset = stored.offset + 1;
        if (newest != this->offsetOfKey.end() && newest->second >= stored.offset)
            continue;
        this->fold(stored);
    }
    if (this->role == Role::CatchingUp && this->nextOffset >= this->campaignEnd)
        this->claim();
    if (this->leading())
        this->planSoon();
    this->readOn();
}

void SchedulerService::fold(const StoredRecord &stored)
{
    const auto key = parseKey(stored.record.key);
    const std::uint64_t epochBefore = this->scheduling.table.leader.epoch;
    Reason reason;
    if (!applyRecord(this->scheduling.table, stored.record.key, stored.record.value,
                     this->leading(), reason)) {
        this->decisions.write("event=record_ignored key=" + stored.record.key + " offset="
                              + std::to_string(stored.offset) + " reason=\"" + reason.text + "\"");
        return;
    }
    if (key->kind == RecordKind::Leader && this->scheduling.table.leader.epoch != epochBefore)
        this->decisions.write("event=leader_seen leader=" + this->scheduling.table.leader.process
                              + " epoch=" + std::to_string(this->scheduling.table.leader.epoch)
                              + " offset=" + std::to_string(stored.offset));
    if (key->kind == RecordKind::Leader)
        this->noteLeader();
    if (key->kind == RecordKind::Progress)
        noteLeaderSign(this->leadership, this->scheduling.table.leader.resigned, Loop::now());
    this->takeReadBack(stored);
}

// Ends what waits for the answer to the append of this record.
void SchedulerService::takeReadBack(const StoredRecord &stored)
{
    if (this->flushing && stored.offset >= this->ownEnd && !this->flushRecords.empty()) {
        const Record &last = this->flushRecords.back();
        if (stored.record.key == last.key && stored.record.value == last.value)
            this->noteFlushStored(stored.offset + 1);
    }
    if (stored.record.value.empty())
        return; // the key of an old job was dropped
    const auto waiting = this->open.extract(stored.record.key);
    if (waiting.empty())
        return;
    for (const auto &weak : waiting.mapped()) {
        if (const auto attempt = weak.lock())
            endAttempt(*attempt, Verdict::Ran);
    }
}

void SchedulerService::noteAnswered(TimeMs sentAt)
{
    const TimeMs now = Loop::now();
    this->answeredAt = now;
    noteAnswer(this->answerTimes, now - sentAt, now);
}

bool SchedulerService::isSelf(const Leader &leader) const
{
    return leader.process == this->options.process && leader.start == this->options.start;
}

Leader SchedulerService::self(std::uint64_t epoch) const
{
    Leader leader;
    leader.epoch = epoch;
    leader.process = this->options.process;
    leader.start = this->options.start;
    leader.address = this->options.agentAddress;
    leader.hosts = reportingHosts(this->scheduling, Loop::now());
    leader.resigned = this->resigning;
    return leader;
}

// The newest leader record decides who leads, also between two entries that chose one epoch.
void SchedulerService::noteLeader()
{
    const Leader &leader = this->scheduling.table.leader;
    // A record of this entry's own former start says that nobody leads.
    const bool formerSelf = leader.process == this->options.process && !this->isSelf(leader);
    noteLeaderSign(this->leadership, leader.resigned || formerSelf, Loop::now());
    if (this->role == Role::Claiming && leader.epoch >= this->campaignEpoch) {
        if (this->isSelf(leader))
            this->lead();
        else
            this->role = Role::Following;
        return;
    }
    if (this->leading() && !this->isSelf(leader) && leader.epoch >= this->scheduling.epoch)
        this->loop.after(0, [this] { this->stepDown("another entry leads"); });
}

void SchedulerService::noteContact(TimeMs confirmed)
{
    const TimeMs now = Loop::now();
    noteRead(this->leadership, true, now);
    this->contactAt = std::max(this->contactAt, confirmed);
    this->answeredAt = now;
    if (!std::exchange(this->storeReachable, true))
        this->decisions.write("event=store_regained");
}

void SchedulerService::noteStoreLoss(const std::string &error, bool timedOut)
{
    // One call without an answer beside others that are answered means a slow log.
    if (timedOut && Loop::now() - this->answeredAt < this->options.slowMs)
        return;
    noteRead(this->leadership, false, Loop::now());
    this->metrics.add("flamingo_store_failures_total", "Calls to the job log without an answer", 1);
    if (!std::exchange(this->storeReachable, false))
        return;
    this->storeLostAt = Loop::now();
    this->decisions.write("event=store_lost reason=\"" + error + "\"");
}

bool SchedulerService::fresh() const
{
    return this->isLoaded && Loop::now() - this->contactAt <= this->options.freshMs;
}

void SchedulerService::tick()
{
    const TimeMs now = Loop::now();
    for (auto item = this->unresolved.begin(); item != this->unresolved.end();)
        item = now - item->second > this->options.unresolvedMs ? this->unresolved.erase(item)
                                                               : std::next(item);
    for (auto item = this->open.begin(); item != this->open.end();)
        item = std::all_of(item->second.begin(), item->second.end(),
                           [](const auto &weak) { return weak.expired(); })
            ? this->open.erase(item)
            : std::next(item);
    if (this->leading()) {
        this->tellStale(now);
        this->planSoon();
        if (!this->flushing && now - this->lastAppendAt >= this->leadership.options.keepAliveMs) {
            this->flushRecords.clear();
            this->flushNumber = 0;
            this->sendFlush();
        }
        return;
    }
    const Leader &leader = this->scheduling.table.leader;
    this->leadership.answerMs = recentAnswerMs(this->answerTimes, now);
    weighComplaints(this->leadership, leader.epoch, leader.hosts, now);
    if (this->role == Role::Following && this->isLoaded && !this->resigning
        && shouldCampaign(this->leadership, now))
        this->campaign();
}

// Hosts look for a successor when their leader cannot reach the log; each learns so at once.
void SchedulerService::tellStale(TimeMs now)
{
    const bool stale = now - this->contactAt > this->options.staleMs;
    if (std::exchange(this->toldStale, stale) || !stale)
        return;
    while (!this->waiting.empty())
        this->answer(this->waiting.begin()->first);
}

void SchedulerService::campaign()
{
    this->role = Role::Campaigning;
    this->campaignEpoch =
        nextEpoch(std::max(this->scheduling.table.leader.epoch, this->campaignEpoch), this->random);
    drawDelay(this->leadership, this->random);
    this->decisions.write("event=campaign epoch=" + std::to_string(this->campaignEpoch)
                          + " former=" + std::to_string(this->scheduling.table.leader.epoch)
                          + " last_sign_age_ms="
                          + std::to_string(Loop::now() - this->leadership.lastSign));
    const TimeMs sentAt = Loop::now();
    this->log.appendFenced(
        {}, {this->campaignEpoch, 0}, [this, sentAt](const AppendResult &result) {
            this->leadership.roundTripMs = Loop::now() - sentAt;
            if (result.status != AppendStatus::Stored) {
                this->decisions.write("event=campaign_failed reason=\"" + result.error + "\"");
                this->role = Role::Following;
                this->leadership.readableSince = Loop::now();
                return;
            }
            this->campaignEnd = result.end;
            this->role = Role::CatchingUp;
            if (this->isLoaded && this->nextOffset >= this->campaignEnd)
                this->claim();
        });
}

// All records of earlier leaders have been read. The claim becomes valid when it is read back.
void SchedulerService::claim()
{
    if (this->scheduling.table.leader.epoch >= this->campaignEpoch) {
        this->role = Role::Following;
        return;
    }
    this->role = Role::Claiming;
    const Record record = leaderRecord(this->self(this->campaignEpoch));
    this->log.appendFenced({&record, 1}, {this->campaignEpoch, claimSequence},
                           [this](const AppendResult &result) { this->takeClaim(result); });
}

void SchedulerService::takeClaim(const AppendResult &result)
{
    if (result.status == AppendStatus::Stored || this->role != Role::Claiming)
        return;
    this->decisions.write("event=campaign_failed reason=\"" + result.error + "\"");
    this->role = Role::Following;
    this->leadership.readableSince = Loop::now();
}

void SchedulerService::lead()
{
    this->role = Role::Leading;
    this->sequence = claimSequence + 1;
    beginLeading(this->scheduling, this->campaignEpoch, Loop::now());
    this->decisions.write("event=leading epoch=" + std::to_string(this->campaignEpoch)
                          + " jobs=" + std::to_string(this->scheduling.table.jobs.size())
                          + " offset=" + std::to_string(this->nextOffset));
    this->metrics.add("flamingo_leader_changes_total", "Times that this entry began to lead", 1);
    this->flushing = false;
    this->ownEnd = this->nextOffset;
    this->lastAppendAt = Loop::now();
}

void SchedulerService::stepDown(std::string_view cause)
{
    if (!this->leading())
        return;
    this->decisions.write("event=step_down epoch=" + std::to_string(this->scheduling.epoch)
                          + " cause=\"" + std::string(cause) + "\"");
    this->role = Role::Following;
    this->flushing = false;
    endLeading(this->scheduling);
    noteLeaderSign(this->leadership, false, Loop::now());
    this->answerReports();
    this->load("");
}

void SchedulerService::planSoon()
{
    if (std::exchange(this->planPending, true))
        return;
    this->loop.after(untilPlan(this->planPace, Loop::now()), [this] {
        this->planPending = false;
        this->planNow();
    });
}

void SchedulerService::planNow()
{
    if (!this->leading() || this->resigning)
        return;
    const TimeMs began = Loop::now();
    plan(this->scheduling, began, Loop::unixNow());
    this->writeDecisions();
    this->flush();
    this->answerReports();
    notePlan(this->planPace, began, Loop::now());
}

void SchedulerService::writeDecisions()
{
    for (const std::string &decision : this->scheduling.decisions)
        this->decisions.write(decision + " epoch=" + std::to_string(this->scheduling.epoch));
    this->scheduling.decisions.clear();
}

void SchedulerService::flush()
{
    if (this->flushing)
        return;
    std::vector<Record> records = takeRecords(this->scheduling, Loop::now());
    const std::uint64_t number = this->scheduling.flush - 1;
    if (records.empty()) {
        noteStored(this->scheduling, number);
        return;
    }
    this->flushRecords = std::move(records);
    this->flushNumber = number;
    this->sendFlush();
}

// Sends `flushRecords`; without any, a sign of life.
void SchedulerService::sendFlush()
{
    if (this->flushRecords.empty())
        this->flushRecords.push_back(leaderRecord(this->self(this->scheduling.epoch)));
    this->flushing = true;
    this->lastAppendAt = Loop::now();
    const Fence fence = {this->scheduling.epoch, this->sequence};
    this->log.appendFenced(this->flushRecords, fence, [this, fence](const AppendResult &result) {
        // The append may have been read back meanwhile.
        if (fence.epoch == this->scheduling.epoch && fence.sequence == this->sequence)
            this->takeFlush(result);
    });
}

void SchedulerService::takeFlush(const AppendResult &result)
{
    this->metrics.observe("flamingo_store_append_seconds", latencyHelp,
                          seconds(Loop::now() - this->lastAppendAt));
    // An append that was counted before its answer was lost.
    const bool stored = result.status == AppendStatus::Stored
        || (result.status == AppendStatus::WrongSequence
            && result.expectedSequence == this->sequence + 1);
    if (stored) {
        this->noteAnswered(this->lastAppendAt);
        this->noteFlushStored(result.end);
        return;
    }
    if (result.status == AppendStatus::Fenced || result.status == AppendStatus::WrongSequence) {
        this->stepDown(result.status == AppendStatus::Fenced ? "fenced" : "wrong sequence");
        return;
    }
    this->metrics.add("flamingo_store_failures_total", "Calls to the job log without an answer", 1);
    const Fence fence = {this->scheduling.epoch, this->sequence};
    this->loop.after(this->options.retryMs, [this, fence] {
        if (fence.epoch == this->scheduling.epoch && fence.sequence == this->sequence
            && this->leading())
            this->sendFlush();
    });
}

// `end` is the offset behind the append; 0 when the log did not tell it.
void SchedulerService::noteFlushStored(std::uint64_t end)
{
    ++this->sequence;
    this->flushing = false;
    // Without it nothing is taken for read back: a later append may carry an equal record.
    this->ownEnd = end == 0 ? std::numeric_limits<std::uint64_t>::max() : end;
    if (this->flushNumber > 0)
        noteStored(this->scheduling, this->flushNumber);
    this->contactAt = std::max(this->contactAt, this->lastAppendAt);
    if (this->resigning) {
        this->finishResigning();
        return;
    }
    this->flush();
    this->answerReports();
}

HostOrders SchedulerService::ordersFor(const std::string &host) const
{
    if (!this->leading()) {
        HostOrders orders;
        orders.leaderAddress = this->scheduling.table.leader.address;
        orders.leaderEpoch = this->scheduling.table.leader.epoch;
        return orders;
    }
    HostOrders orders = scheduler::ordersFor(this->scheduling, host);
    orders.leaderAddress = this->options.agentAddress;
    orders.storeSilentMs = Loop::now() - this->contactAt;
    // A successor may lead meanwhile; it waits for leases granted up to this limit.
    if (orders.storeSilentMs > this->scheduling.options.maxStoreSilenceMs)
        orders.grantMs = 0;
    return orders;
}

void SchedulerService::takeReport(const HostReport &report, OrdersCallback done)
{
    const std::string host = report.host;
    this->answer(host);
    if (!this->leading()) {
        if (report.lostLeader != 0)
            noteComplaint(this->leadership, host, report.lostLeader, Loop::now());
        done(this->ordersFor(host));
        return;
    }
    if (!scheduler::takeReport(this->scheduling, report, Loop::now()))
        return; // an old report; nobody waits for its answer
    this->writeDecisions();
    WaitingReport &waitingReport = this->waiting[host];
    waitingReport.report = report;
    waitingReport.done = std::move(done);
    waitingReport.timer =
        this->loop.after(this->options.reportWaitMs, [this, host] { this->answer(host); });
    this->planSoon();
}

void SchedulerService::answer(const std::string &host)
{
    auto found = this->waiting.extract(host);
    if (found.empty())
        return;
    this->loop.cancel(found.mapped().timer);
    found.mapped().done(this->ordersFor(host));
}

void SchedulerService::answerReports()
{
    std::vector<std::string> ready;
    for (const auto &[host, report] : this->waiting) {
        if (!this->leading()
            || hasOrders(scheduler::ordersFor(this->scheduling, host), report.report))
            ready.push_back(host);
    }
    for (const std::string &host : ready)
        this->answer(host);
}

void SchedulerService::setGuarantees(std::map<std::string, std::int64_t> guarantees)
{
    this->scheduling.guarantees = std::move(guarantees);
}

void SchedulerService::submit(const Job &job, SubmitCallback done)
{
    const auto known = this->scheduling.table.jobs.find(job.id);
    if (known != this->scheduling.table.jobs.end() && known->second.job) {
        done(Verdict::Ran);
        return;
    }
    const bool outage =
        !this->storeReachable && Loop::now() - this->storeLostAt >= this->options.submitHoldMs;
    const bool unresolvedBefore = this->unresolved.count(job.id) > 0;
    if ((outage && !unresolvedBefore && !this->relay) || !this->isLoaded) {
        done(Verdict::NotRun);
        return;
    }
    const auto attempt = begin(acceptanceRecord(job));
    attempt->mayBeStored = unresolvedBefore;
    attempt->done = [this, id = job.id, done = std::move(done)](Verdict verdict) {
        if (verdict == Verdict::MayHaveRun)
            this->unresolved[id] = Loop::now();
        done(verdict);
    };
    this->attempt(attempt);
}

std::shared_ptr<SchedulerService::Attempt> SchedulerService::begin(const Record &record)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->record = record;
    attempt->since = Loop::now();
    this->open[record.key].push_back(attempt);
    return attempt;
}

// One step of an attempt: sends the append, or waits while the log is known to be out of reach, so
// that nothing is sent whose fate would be unknown.
void SchedulerService::attempt(const std::shared_ptr<Attempt> &attempt)
{
    if (attempt->ended)
        return;
    if (!this->storeReachable) {
        this->relayAttempt(attempt);
        this->retryOrEnd(attempt);
        return;
    }
    const TimeMs now = Loop::now();
    const TimeMs relayMs = std::max(this->options.relayAfterMs,
                                    relayPerAnswer * recentAnswerMs(this->answerTimes, now));
    this->loop.after(relayMs, [this, attempt, relayMs] {
        // A log that answers others is slow; a second entry would only add to its load.
        if (Loop::now() - this->answeredAt >= relayMs)
            this->relayAttempt(attempt);
    });
    this->queued.push_back(attempt);
    this->loop.after(this->options.queueHoldMs, [this, attempt] { this->giveUpQueued(attempt); });
    this->sendQueued();
}

// What has not been sent yet is surely not stored, unless an earlier try of it is.
void SchedulerService::giveUpQueued(const std::shared_ptr<Attempt> &attempt)
{
    const auto found = std::find(this->queued.begin(), this->queued.end(), attempt);
    if (found == this->queued.end())
        return;
    this->queued.erase(found);
    const bool open = attempt->mayBeStored || attempt->relayPending;
    endAttempt(*attempt, open ? Verdict::MayHaveRun : Verdict::NotRun);
}

// One append of acceptances and cancellations is outstanding at a time. What arrives meanwhile goes
// together into the next one, so that a slow log is not given more calls than it can answer.
void SchedulerService::sendQueued()
{
    this->queued.erase(std::remove_if(this->queued.begin(), this->queued.end(),
                                      [](const auto &attempt) { return attempt->ended; }),
                       this->queued.end());
    if (this->appendOutstanding || this->queued.empty())
        return;
    const std::size_t count = std::min(this->queued.size(), this->options.maxGroupCommit);
    std::vector<std::shared_ptr<Attempt>> sent(this->queued.begin(),
                                               this->queued.begin() + static_cast<long>(count));
    this->queued.erase(this->queued.begin(), this->queued.begin() + static_cast<long>(count));
    std::vector<Record> records;
    records.reserve(sent.size());
    for (const auto &attempt : sent)
        records.push_back(attempt->record);
    const TimeMs sentAt = Loop::now();
    this->appendOutstanding = true;
    this->log.append(records, [this, sent = std::move(sent), sentAt](const AppendResult &result) {
        this->appendOutstanding = false;
        this->metrics.observe("flamingo_store_append_seconds", latencyHelp,
                              seconds(Loop::now() - sentAt));
        if (result.status == AppendStatus::Stored)
            this->noteAnswered(sentAt);
        else
            this->noteStoreLoss(result.error, result.timedOut);
        for (const auto &attempt : sent)
            this->takeAppend(attempt, result);
        this->sendQueued();
    });
}

void SchedulerService::takeAppend(const std::shared_ptr<Attempt> &attempt,
                                  const AppendResult &result)
{
    if (result.status == AppendStatus::Stored) {
        endAttempt(*attempt, Verdict::Ran);
        return;
    }
    attempt->mayBeStored = attempt->mayBeStored || result.status == AppendStatus::Unknown;
    this->retryOrEnd(attempt);
}

void SchedulerService::endAttempt(Attempt &attempt, Verdict verdict)
{
    if (!std::exchange(attempt.ended, true))
        attempt.done(verdict);
}

// Acceptances may be stored twice, so another entry may store this one as well.
void SchedulerService::relayAttempt(const std::shared_ptr<Attempt> &attempt)
{
    if (attempt->ended || !this->relay || std::exchange(attempt->relayed, true))
        return;
    attempt->relayPending = true;
    this->relay(attempt->record, [this, attempt](Verdict verdict) {
        attempt->relayPending = false;
        this->metrics.add("flamingo_relayed_acceptances_total",
                          "Acceptances given to another entry, by its verdict", 1,
                          {{"stored", verdict == Verdict::Ran ? "true" : "false"}});
        if (verdict == Verdict::Ran)
            endAttempt(*attempt, Verdict::Ran);
        attempt->mayBeStored = attempt->mayBeStored || verdict == Verdict::MayHaveRun;
        if (!this->storeReachable)
            this->retryOrEnd(attempt);
    });
}

void SchedulerService::storeFor(const Record &record, SubmitCallback done)
{
    // One try only: the asking entry goes on by itself, and it has little time.
    if (!this->storeReachable) {
        done(Verdict::NotRun);
        return;
    }
    this->log.append({&record, 1}, [this, done = std::move(done)](const AppendResult &result) {
        if (result.status != AppendStatus::Stored)
            this->noteStoreLoss(result.error, result.timedOut);
        if (result.status == AppendStatus::Stored)
            done(Verdict::Ran);
        else
            done(result.status == AppendStatus::Unknown ? Verdict::MayHaveRun : Verdict::NotRun);
    });
}

void SchedulerService::retryOrEnd(const std::shared_ptr<Attempt> &attempt)
{
    if (attempt->ended)
        return;
    const TimeMs now = Loop::now();
    const TimeMs hold = this->options.submitHoldMs;
    const bool time = now + this->options.submitRetryMs - attempt->since < hold;
    // What may be stored is worth the wait: the caller learns nothing from an early answer.
    const bool open = attempt->mayBeStored || attempt->relayPending;
    if (time && (open || now - this->storeLostAt < hold)) {
        this->loop.after(this->options.submitRetryMs, [this, attempt] { this->attempt(attempt); });
        return;
    }
    endAttempt(*attempt, open ? Verdict::MayHaveRun : Verdict::NotRun);
}

void SchedulerService::cancel(const std::string &jobId, std::function<void(CancelOutcome)> done)
{
    const auto found = this->scheduling.table.jobs.find(jobId);
    if (found == this->scheduling.table.jobs.end() || !found->second.job) {
        done(this->fresh() ? CancelOutcome::UnknownJob : CancelOutcome::NotStored);
        return;
    }
    if (found->second.cancelled || found->second.storedOutcome != Outcome::Open) {
        done(CancelOutcome::Cancelled);
        return;
    }
    const auto attempt = begin(cancellationRecord(jobId));
    attempt->done = [done = std::move(done)](Verdict verdict) {
        done(verdict == Verdict::Ran ? CancelOutcome::Cancelled : CancelOutcome::NotStored);
    };
    this->attempt(attempt);
}

void SchedulerService::resign(std::function<void()> done)
{
    this->resigning = true;
    if (!this->leading()) {
        done();
        return;
    }
    this->resigned = std::move(done);
    this->loop.after(resignTimeoutMs, [this] {
        if (this->resigned)
            std::exchange(this->resigned, nullptr)();
    });
    if (!this->flushing)
        this->finishResigning();
}

// The last append of a leader says that it resigns.
void SchedulerService::finishResigning()
{
    if (std::exchange(this->resignationSent, true)) {
        if (this->resigned)
            std::exchange(this->resigned, nullptr)();
        return;
    }
    this->flushRecords.clear();
    this->flushNumber = 0;
    this->sendFlush();
}

} // namespace flamingo::adapters

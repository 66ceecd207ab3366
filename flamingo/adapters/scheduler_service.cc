// The log is read continuously: first the newest record of each key, one page at a time, then every
// record from the end offset that the first page stated. A leader reads too; its own progress
// records then only update the state that callers are shown.
//
// A flush is a fenced append with the changes that a leader has made, or several in turn if they
// are larger than one may be; it counts as stored after the last one. One is outstanding at a time;
// changes made meanwhile are batched into the next one, so the number of appends adapts to the
// log's speed.
//
// An entry also reads the records that it appends. A record that has been read is stored, so when
// the answer to an append is lost or late, the read completes the append instead.

#include "flamingo/adapters/scheduler_service.h"

#include "flamingo/scheduler/limits.h"
#include "flamingo/scheduler/requests.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace flamingo::adapters {
namespace {

using namespace flamingo::scheduler;

constexpr TimeMs tickMs = 100;
constexpr TimeMs runTimesExportMs = 5000;
// Sequence numbers of the first two appends of an epoch.
constexpr std::uint64_t candidateSequence = 0;
constexpr std::uint64_t claimSequence = 1;
// A campaign whose appends are not answered ends after this long; the entry may begin another.
constexpr TimeMs campaignTimeoutMs = 4000;
// An append is relayed when its answer takes longer than `relayAfterMs` and this many times as long
// as the slowest recent answer.
constexpr TimeMs relayDelayFactor = 2;
constexpr TimeMs resignTimeoutMs = 400; // the log normally answers within tens of milliseconds
constexpr std::string_view appendLatencyHelp = "Time until the job log answered, by call";

SchedulerService::CancelOutcome cancelOutcome(Verdict verdict,
                                              SchedulerService::CancelOutcome ifStored)
{
    if (verdict == Verdict::Ran)
        return ifStored;
    return verdict == Verdict::NotRun ? SchedulerService::CancelOutcome::NotStored
                                      : SchedulerService::CancelOutcome::MayBeStored;
}

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
    drawCampaignDelay(this->leadership, this->random);
}

void SchedulerService::start()
{
    this->load("");
    this->loop.every(tickMs, [this] { this->tick(); });
}

void SchedulerService::load(const std::string &afterKey)
{
    if (afterKey.empty()) {
        ++this->loadGeneration;
        this->logLoaded = false;
        this->firstPageLoaded = false;
        this->loadedOffsets.clear();
        this->loadStartedAt = Loop::now();
    }
    const TimeMs sentAt = Loop::now();
    this->log.newest(
        afterKey,
        [this, sentAt, afterKey, generation = this->loadGeneration](const NewestResult &page) {
            if (generation != this->loadGeneration)
                return;
            if (page.answered) {
                this->handleNewestPage(page, sentAt);
                return;
            }
            this->recordStoreFailure(page.error, false);
            this->loop.after(this->options.retryMs, [this, afterKey, generation] {
                if (generation == this->loadGeneration)
                    this->load(afterKey);
            });
        });
}

void SchedulerService::handleNewestPage(const NewestResult &page, TimeMs sentAt)
{
    this->recordContact(sentAt);
    // Later pages may be newer than the first one. Reading continues from the end offset of the
    // first page, so no record is missed.
    if (!std::exchange(this->firstPageLoaded, true))
        this->nextOffset = page.end;
    for (const StoredRecord &stored : page.records) {
        this->loadedOffsets[stored.record.key] = stored.offset;
        this->applyStored(stored);
    }
    if (page.more && !page.records.empty()) {
        this->load(page.records.back().record.key);
        return;
    }
    this->removeUnlistedRecords();
    this->logLoaded = true;
    this->tableReadAt = std::max(this->tableReadAt, this->loadStartedAt);
    this->decisions.write("event=job_log_loaded jobs="
                          + std::to_string(this->scheduling.table.jobs.size())
                          + " offset=" + std::to_string(this->nextOffset)
                          + " leader=" + this->scheduling.table.leader.process
                          + " epoch=" + std::to_string(this->scheduling.table.leader.epoch));
    this->readNextRecords();
}

// Removes what a former load or read has found and this load has not: an entry that reads the log
// again because records have expired may have missed the deletion of their keys.
void SchedulerService::removeUnlistedRecords()
{
    const auto isListed = [this](const std::string &key) {
        return this->loadedOffsets.count(key) > 0;
    };
    JobTable &table = this->scheduling.table;
    for (auto row = table.jobs.begin(); row != table.jobs.end();) {
        const auto keys = jobRecordKeys(row->first);
        row = std::any_of(keys.begin(), keys.end(), isListed) ? std::next(row)
                                                              : table.jobs.erase(row);
    }
    std::vector<EarlyCancellations::Key> unlisted;
    for (const auto &[key, cancellation] : table.earlyCancellations.entries) {
        if (!isListed(earlyCancellationKey(key.first, key.second)))
            unlisted.push_back(key);
    }
    for (const auto &key : unlisted)
        removeEarlyCancellation(table.earlyCancellations, key);
}

void SchedulerService::readNextRecords()
{
    // After a failure the read does not long-poll: its answer shows at once that the log is
    // reachable again.
    this->readNextRecords(this->logReachable ? this->options.readWaitMs : 0);
}

void SchedulerService::readNextRecords(TimeMs waitMs)
{
    const TimeMs sentAt = Loop::now();
    this->log.read(
        this->nextOffset, waitMs,
        [this, sentAt, waitMs, generation = this->loadGeneration](const ReadResult &result) {
            if (generation != this->loadGeneration)
                return;
            // An idle read is answered when its wait ends; any time beyond is the log's. An entry
            // without callers learns only from it that the log is slow.
            const TimeMs waitEnd = sentAt + waitMs;
            if (result.answered && result.records.empty() && Loop::now() >= waitEnd)
                this->recordAnswerTime(waitEnd);
            this->handleReadResult(result, confirmedAt(result, sentAt, waitMs, Loop::now()));
        });
}

// Reads again from the same offset and ignores the answer to the outstanding read. Not while the
// log is slow: the answer is then probably on its way, and repeated reads would add to its load.
void SchedulerService::restartReading()
{
    if (!this->logLoaded || this->logIsSlow())
        return;
    ++this->loadGeneration;
    this->readNextRecords(0);
}

void SchedulerService::handleReadResult(const ReadResult &result, TimeMs confirmedAt)
{
    if (!result.answered) {
        this->recordStoreFailure(result.error, result.timedOut);
        this->loop.after(this->options.retryMs, [this, generation = this->loadGeneration] {
            if (generation == this->loadGeneration)
                this->readNextRecords();
        });
        return;
    }
    this->recordContact(confirmedAt);
    if (result.deleted) {
        this->decisions.write("event=job_log_expired offset=" + std::to_string(this->nextOffset));
        if (this->leading())
            this->stepDown("the records to read have expired");
        else
            this->load("");
        return;
    }
    for (const StoredRecord &stored : result.records) {
        const auto newest = this->loadedOffsets.find(stored.record.key);
        this->nextOffset = stored.offset + 1;
        if (newest != this->loadedOffsets.end() && newest->second >= stored.offset)
            continue;
        this->applyStored(stored);
    }
    this->tableReadAt = std::max(this->tableReadAt, confirmedAt);
    if (this->role == Role::CatchingUp && this->nextOffset >= this->campaignEnd)
        this->claim();
    if (this->leading())
        this->schedulePlan();
    this->readNextRecords();
}

void SchedulerService::applyStored(const StoredRecord &stored)
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
        this->handleLeaderRecord();
    if (key->kind == RecordKind::EarlyCancellation)
        this->metrics.setGauge("flamingo_early_cancellations",
                               "Stored cancellations of jobs that were not known",
                               double(this->scheduling.table.earlyCancellations.entries.size()));
    if (key->kind == RecordKind::Acceptance && this->logLoaded)
        this->logCancelledAcceptance(key->jobId, stored.offset);
    if (key->kind == RecordKind::Candidate)
        this->handleCandidateRecord(stored.offset);
    if (key->kind == RecordKind::Progress)
        recordLeaderContact(this->leadership, this->scheduling.table.leader.epoch,
                            this->scheduling.table.leader.resigned, Loop::now());
    this->completeReadBack(stored);
}

void SchedulerService::logCancelledAcceptance(const std::string &jobId, std::uint64_t offset)
{
    const auto found = this->scheduling.table.jobs.find(jobId);
    if (found != this->scheduling.table.jobs.end() && found->second.job
        && isCancelledEarly(this->scheduling.table.earlyCancellations, *found->second.job))
        this->decisions.write("event=acceptance_after_cancellation job=" + jobId
                              + " offset=" + std::to_string(offset));
}

// Completes the flush and the attempts whose append this record confirms as stored.
void SchedulerService::completeReadBack(const StoredRecord &stored)
{
    if (this->flushing && stored.offset >= this->ownAppendsEnd && !this->flushRecords.empty()) {
        const Record &last = this->flushRecords.back();
        if (stored.record.key == last.key && stored.record.value == last.value)
            this->completeFlush(stored.offset + 1);
    }
    if (stored.record.value.empty())
        return; // the record deletes the key of an old job
    const auto waiting = this->openAttempts.extract(stored.record.key);
    if (waiting.empty())
        return;
    for (const auto &weak : waiting.mapped()) {
        if (const auto attempt = weak.lock())
            endAttempt(*attempt, Verdict::Ran);
    }
}

void SchedulerService::recordAnswerTime(TimeMs sentAt)
{
    const TimeMs now = Loop::now();
    this->logAnsweredAt = now;
    scheduler::recordAnswerTime(this->answerTimes, now - sentAt, now);
}

bool SchedulerService::isThisEntry(const Leader &leader) const
{
    return leader.process == this->options.process && leader.start == this->options.incarnation;
}

Leader SchedulerService::ownLeader(std::uint64_t epoch) const
{
    Leader leader;
    leader.epoch = epoch;
    leader.process = this->options.process;
    leader.start = this->options.incarnation;
    leader.address = this->options.agentAddress;
    leader.hosts = reportingHosts(this->scheduling, Loop::now());
    leader.resigned = this->resigning;
    leader.processorShare = this->options.leadership.processorShare;
    return leader;
}

// The newest leader record in the log decides which entry leads, even if two entries chose the same
// epoch.
void SchedulerService::handleLeaderRecord()
{
    const Leader &leader = this->scheduling.table.leader;
    // A record of an earlier incarnation of this entry means that there is no leader.
    const bool earlierIncarnation =
        leader.process == this->options.process && !this->isThisEntry(leader);
    recordLeaderContact(this->leadership, leader.epoch, leader.resigned || earlierIncarnation,
                        Loop::now());
    this->leadership.leaderShare = leader.processorShare;
    if (this->role == Role::Claiming && leader.epoch >= this->campaignEpoch) {
        if (this->isThisEntry(leader))
            this->becomeLeader();
        else
            this->role = Role::Following;
        return;
    }
    // Deferred, because stepDown() starts a new load while the records of a read are still being
    // applied.
    if (this->leading() && !this->isThisEntry(leader) && leader.epoch >= this->scheduling.epoch)
        this->loop.after(0, [this] { this->stepDown("another entry leads"); });
}

void SchedulerService::recordContact(TimeMs confirmedAt)
{
    const TimeMs now = Loop::now();
    recordLogRead(this->leadership, true, now);
    this->logConfirmedAt = std::max(this->logConfirmedAt, confirmedAt);
    this->logAnsweredAt = now;
    if (!std::exchange(this->logReachable, true))
        this->decisions.write("event=store_regained");
}

void SchedulerService::recordStoreFailure(const std::string &error, bool timedOut)
{
    // A timed-out call while other calls are answered means that the log is slow, not unreachable.
    if (timedOut && Loop::now() - this->logAnsweredAt < this->options.timeoutGraceMs)
        return;
    recordLogRead(this->leadership, false, Loop::now());
    this->metrics.incrementCounter("flamingo_store_failures_total",
                                   "Calls to the job log without an answer", 1);
    if (!std::exchange(this->logReachable, false))
        return;
    this->logLostAt = Loop::now();
    this->decisions.write("event=store_lost reason=\"" + error + "\"");
}

bool SchedulerService::logReadIsRecent() const
{
    return this->logLoaded && Loop::now() - this->tableReadAt <= this->options.recentReadMs;
}

void SchedulerService::tick()
{
    const TimeMs now = Loop::now();
    for (auto item = this->unresolvedJobs.begin(); item != this->unresolvedJobs.end();)
        item = now - item->second > this->options.unresolvedAppendMs
            ? this->unresolvedJobs.erase(item)
            : std::next(item);
    for (auto item = this->openAttempts.begin(); item != this->openAttempts.end();)
        item = std::all_of(item->second.begin(), item->second.end(),
                           [](const auto &weak) { return weak.expired(); })
            ? this->openAttempts.erase(item)
            : std::next(item);
    if (!this->scheduling.evacuations.empty() || !this->exportedEvacuations.empty())
        this->exportEvacuations();
    if (this->leading()) {
        if (now - this->runTimesExportedAt >= runTimesExportMs) {
            this->runTimesExportedAt = now;
            this->exportRunTimes();
        }
        this->notifyStaleLog(now);
        this->schedulePlan();
        if (!this->flushing && !this->resigning
            && now - this->lastFlushAt >= this->leadership.options.keepAliveMs) {
            this->flushRecords.clear();
            this->flushNumber = 0;
            this->sendFlush();
        }
        return;
    }
    const Leader &leader = this->scheduling.table.leader;
    this->leadership.slowestAnswerMs = slowestRecentAnswerMs(this->answerTimes, now);
    evaluateUnreachableReports(this->leadership, leader.epoch, leader.hosts, now);
    const bool campaignDue = this->role == Role::Following && this->logLoaded && !this->resigning
        && shouldCampaign(this->leadership, now);
    const bool confirmed =
        this->campaignReadAt != 0 && this->logConfirmedAt >= this->campaignReadAt;
    if (!campaignDue) {
        this->campaignReadAt = 0;
    } else if (confirmed || this->logIsSlow()) {
        this->campaignReadAt = 0;
        this->campaign();
    } else if (this->campaignReadAt == 0) {
        // The outstanding read may wait on although the log has records of a leader.
        this->campaignReadAt = now;
        this->restartReading();
    }
}

bool SchedulerService::logIsSlow() const
{
    return this->leadership.slowestAnswerMs > this->options.fastAnswerMs;
}

// Answers all waiting reports once when the leader has lost contact to the log. Each answer carries
// the time since the last contact, which makes the agents look for a successor.
void SchedulerService::notifyStaleLog(TimeMs now)
{
    const bool stale = now - this->logConfirmedAt > this->options.staleLogMs;
    if (std::exchange(this->staleLogNotified, stale) || !stale)
        return;
    while (!this->waitingReports.empty())
        this->answerReport(this->waitingReports.begin()->first);
}

// Handles the newest candidate record. The own record, once read, is stored, also if the answer to
// its append was lost. Records of former campaigns, which a load returns, have no effect.
void SchedulerService::handleCandidateRecord(std::uint64_t offset)
{
    const Leader &candidate = this->scheduling.table.candidate;
    if (!this->logLoaded || candidate.epoch <= this->scheduling.table.leader.epoch)
        return;
    if (!this->isThisEntry(candidate))
        recordCandidate(this->leadership, Loop::now());
    else if (this->role == Role::Campaigning && candidate.epoch == this->campaignEpoch)
        this->beginCatchingUp(offset + 1);
}

void SchedulerService::campaign()
{
    this->role = Role::Campaigning;
    const std::uint64_t former =
        std::max(this->scheduling.table.leader.epoch, this->scheduling.table.candidate.epoch);
    this->campaignEpoch = nextEpoch(std::max(former, this->campaignEpoch), this->random);
    this->campaignStartedAt = Loop::now();
    drawCampaignDelay(this->leadership, this->random);
    this->decisions.write("event=campaign epoch=" + std::to_string(this->campaignEpoch)
                          + " former=" + std::to_string(this->scheduling.table.leader.epoch)
                          + " last_sign_age_ms="
                          + std::to_string(Loop::now() - this->leadership.lastLeaderContact));
    this->sendCampaignAppend(candidateRecord(this->ownLeader(this->campaignEpoch)));
}

// Appends the candidate record while campaigning, the leader record while claiming. An append
// without an answer is repeated: it may be stored, and a new campaign would only add to the load of
// a slow log.
void SchedulerService::sendCampaignAppend(const Record &record)
{
    const TimeMs sentAt = Loop::now();
    const Role sentAs = this->role;
    const Fence fence = {this->campaignEpoch,
                         sentAs == Role::Claiming ? claimSequence : candidateSequence};
    this->log.appendFenced(
        {&record, 1}, fence,
        [this, record, sentAt, sentAs, epoch = fence.epoch](const AppendResult &result) {
            if (epoch != this->campaignEpoch || this->role != sentAs)
                return; // the record has been read back, or the campaign has ended
            if (result.status == AppendStatus::Stored)
                this->leadership.roundTripMs = Loop::now() - sentAt;
            this->handleCampaignResult(record, result);
        });
}

void SchedulerService::handleCampaignResult(const Record &record, const AppendResult &result)
{
    if (result.status == AppendStatus::Stored) {
        if (this->role == Role::Campaigning)
            this->beginCatchingUp(result.end);
        // The outstanding read may wait on although the record is stored.
        if (this->nextOffset < result.end)
            this->restartReading();
        return;
    }
    const bool mayBeStored = result.status == AppendStatus::Unknown;
    if (!mayBeStored || Loop::now() - this->campaignStartedAt > campaignTimeoutMs) {
        this->endCampaign(result.error);
        return;
    }
    this->loop.after(this->options.retryMs,
                     [this, record, epoch = this->campaignEpoch, role = this->role] {
                         if (epoch == this->campaignEpoch && role == this->role)
                             this->sendCampaignAppend(record);
                     });
}

void SchedulerService::endCampaign(const std::string &cause)
{
    this->decisions.write("event=campaign_failed reason=\"" + cause + "\"");
    this->role = Role::Following;
    // Restarts the wait for a leader before the next campaign.
    this->leadership.readableSince = Loop::now();
}

void SchedulerService::beginCatchingUp(std::uint64_t end)
{
    this->campaignEnd = end;
    this->role = Role::CatchingUp;
    if (this->logLoaded && this->nextOffset >= this->campaignEnd)
        this->claim();
}

// Claims leadership with a leader record. Called when all records of earlier leaders have been
// read; the claim becomes valid when its record is read back.
void SchedulerService::claim()
{
    if (this->scheduling.table.leader.epoch >= this->campaignEpoch) {
        this->role = Role::Following;
        return;
    }
    this->role = Role::Claiming;
    this->sendCampaignAppend(leaderRecord(this->ownLeader(this->campaignEpoch)));
}

void SchedulerService::becomeLeader()
{
    this->role = Role::Leading;
    this->nextSequence = claimSequence + 1;
    beginLeading(this->scheduling, this->campaignEpoch, Loop::now());
    this->decisions.write("event=leading epoch=" + std::to_string(this->campaignEpoch)
                          + " jobs=" + std::to_string(this->scheduling.table.jobs.size())
                          + " offset=" + std::to_string(this->nextOffset));
    this->metrics.incrementCounter("flamingo_leader_changes_total",
                                   "Times that this entry began to lead", 1);
    this->flushing = false;
    this->ownAppendsEnd = this->nextOffset;
    this->lastFlushAt = Loop::now();
}

void SchedulerService::stepDown(std::string_view cause)
{
    if (!this->leading())
        return;
    this->decisions.write("event=step_down epoch=" + std::to_string(this->scheduling.epoch)
                          + " cause=\"" + std::string(cause) + "\"");
    this->role = Role::Following;
    this->flushing = false;
    this->flushRest.clear();
    endLeading(this->scheduling);
    recordLeaderContact(this->leadership, this->scheduling.table.leader.epoch, false, Loop::now());
    this->answerReadyReports();
    this->load("");
}

void SchedulerService::schedulePlan()
{
    if (std::exchange(this->planPending, true))
        return;
    this->loop.after(timeUntilNextPlan(this->planPace, Loop::now()), [this] {
        this->planPending = false;
        this->runPlan();
    });
}

// False before the first read of the requests for evacuation. A leader then places nothing, because
// all that it placed in an evacuated data centre would have to be withdrawn.
bool SchedulerService::evacuationsAreKnown() const
{
    return !this->evacuationsAgeMs || this->evacuationsAgeMs() <= maxMilliseconds;
}

void SchedulerService::runPlan()
{
    if (!this->leading() || this->resigning || !this->evacuationsAreKnown())
        return;
    const TimeMs began = Loop::now();
    plan(this->scheduling, began, Loop::unixNow());
    this->writeDecisions();
    this->flush();
    this->answerReadyReports();
    recordPlan(this->planPace, began, Loop::now());
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
        markFlushStored(this->scheduling, number);
        return;
    }
    this->flushRest = std::move(records);
    this->flushNumber = number;
    this->takeNextAppend();
    this->sendFlush();
}

// Moves as many records as fit into one append from `flushRest` to `flushRecords`, in their order:
// the deletion of a worker's end follows the progress of the tasks that were requeued for it.
void SchedulerService::takeNextAppend()
{
    std::size_t bytes = 0;
    auto end = this->flushRest.begin();
    while (end != this->flushRest.end()) {
        bytes += appendedBytes(*end);
        if (bytes > this->options.maxAppendBytes && end != this->flushRest.begin())
            break;
        ++end;
    }
    this->flushRecords.assign(std::make_move_iterator(this->flushRest.begin()),
                              std::make_move_iterator(end));
    this->flushRest.erase(this->flushRest.begin(), end);
}

// Appends `flushRecords`. If there are none, appends a leader record, as a keep-alive or as the
// resignation.
void SchedulerService::sendFlush()
{
    if (this->flushRecords.empty())
        this->flushRecords.push_back(leaderRecord(this->ownLeader(this->scheduling.epoch)));
    this->flushing = true;
    this->lastFlushAt = Loop::now();
    const Fence fence = {this->scheduling.epoch, this->nextSequence};
    this->log.appendFenced(this->flushRecords, fence, [this, fence](const AppendResult &result) {
        // The flush may have been completed by reading its records back.
        if (fence.epoch == this->scheduling.epoch && fence.sequence == this->nextSequence)
            this->handleFlushResult(result);
    });
}

void SchedulerService::handleFlushResult(const AppendResult &result)
{
    this->metrics.observeDuration("flamingo_store_append_seconds", appendLatencyHelp,
                                  seconds(Loop::now() - this->lastFlushAt));
    // A wrong sequence number that is one ahead means that an earlier try of this append was
    // stored and its answer lost.
    const bool stored = result.status == AppendStatus::Stored
        || (result.status == AppendStatus::WrongSequence
            && result.expectedSequence == this->nextSequence + 1);
    if (stored) {
        this->recordAnswerTime(this->lastFlushAt);
        this->completeFlush(result.end);
        return;
    }
    if (result.status == AppendStatus::Fenced || result.status == AppendStatus::WrongSequence) {
        this->stepDown(result.status == AppendStatus::Fenced ? "fenced" : "wrong sequence");
        return;
    }
    this->metrics.incrementCounter("flamingo_store_failures_total",
                                   "Calls to the job log without an answer", 1);
    const Fence fence = {this->scheduling.epoch, this->nextSequence};
    this->loop.after(this->options.retryMs, [this, fence] {
        if (fence.epoch == this->scheduling.epoch && fence.sequence == this->nextSequence
            && this->leading())
            this->sendFlush();
    });
}

// Completes the outstanding flush. `end` is the offset behind the append; 0 if the log's answer did
// not contain it.
void SchedulerService::completeFlush(std::uint64_t end)
{
    ++this->nextSequence;
    this->flushing = false;
    // Without the offset no later flush is completed by reading it back, because an earlier append
    // may contain an equal record.
    this->ownAppendsEnd = end == 0 ? std::numeric_limits<std::uint64_t>::max() : end;
    this->logConfirmedAt = std::max(this->logConfirmedAt, this->lastFlushAt);
    if (!this->flushRest.empty()) {
        this->takeNextAppend();
        this->sendFlush();
        return;
    }
    if (this->flushNumber > 0)
        markFlushStored(this->scheduling, this->flushNumber);
    if (this->resigning) {
        this->finishResigning();
        return;
    }
    this->flush();
    this->answerReadyReports();
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
    orders.storeSilentMs = Loop::now() - this->logConfirmedAt;
    orders.jobLogAgeMs = std::max<TimeMs>(0, Loop::now() - this->tableReadAt);
    if (this->evacuationsAgeMs)
        orders.evacuationsAgeMs = std::clamp<TimeMs>(this->evacuationsAgeMs(), 0, maxMilliseconds);
    // Another entry may lead by now. It waits for the end of leases that were extended within this
    // limit, so no lease is extended after it.
    if (orders.storeSilentMs > this->scheduling.options.maxStoreUnreachableMs)
        orders.grantMs = 0;
    return orders;
}

void SchedulerService::handleReport(const HostReport &report, OrdersCallback done)
{
    const std::string host = report.host;
    this->answerReport(host);
    if (!this->leading()) {
        if (report.lostLeader != 0)
            recordUnreachableReport(this->leadership, host, report.lostLeader, Loop::now());
        done(this->ordersFor(host));
        return;
    }
    if (!scheduler::applyReport(this->scheduling, report, Loop::now()))
        return; // older than a report already handled; its answer is not needed
    this->writeDecisions();
    WaitingReport &waitingReport = this->waitingReports[host];
    waitingReport.report = report;
    waitingReport.done = std::move(done);
    waitingReport.timer =
        this->loop.after(this->options.reportWaitMs, [this, host] { this->answerReport(host); });
    this->schedulePlan();
}

void SchedulerService::answerReport(const std::string &host)
{
    auto found = this->waitingReports.extract(host);
    if (found.empty())
        return;
    this->loop.cancel(found.mapped().timer);
    found.mapped().done(this->ordersFor(host));
}

void SchedulerService::answerReadyReports()
{
    std::vector<std::string> ready;
    for (const auto &[host, report] : this->waitingReports) {
        if (!this->leading()
            || hasOrders(scheduler::ordersFor(this->scheduling, host), report.report))
            ready.push_back(host);
    }
    for (const std::string &host : ready)
        this->answerReport(host);
}

void SchedulerService::setGuarantees(std::map<std::string, std::int64_t> guarantees)
{
    this->scheduling.guarantees = std::move(guarantees);
}

void SchedulerService::setEvacuations(const Evacuations &evacuations)
{
    this->scheduling.evacuations = evacuations;
    if (!this->leading())
        return;
    // Agents hold back starts at once, and need not wait for the next plan.
    while (!this->waitingReports.empty())
        this->answerReport(this->waitingReports.begin()->first);
    this->schedulePlan();
}

// Exports the state of each evacuated data centre, as the leader sees it, and resets that of those
// which are not any more.
void SchedulerService::exportEvacuations()
{
    const auto set = [this](const std::string &name, const std::string &help, double value,
                            const std::string &dataCentre) {
        this->metrics.setGauge(name, help, value, {{"data_centre", dataCentre}});
    };
    std::set<std::string> former = std::move(this->exportedEvacuations);
    this->exportedEvacuations.clear();
    std::vector<EvacuationStatus> states;
    if (this->leading())
        states = evacuationStatus(this->scheduling);
    for (const EvacuationStatus &state : states) {
        former.erase(state.dataCentre);
        this->exportedEvacuations.insert(state.dataCentre);
    }
    for (const std::string &dataCentre : former) {
        EvacuationStatus ended;
        ended.dataCentre = dataCentre;
        ended.since = Loop::now();
        states.push_back(std::move(ended));
    }
    for (const EvacuationStatus &state : states) {
        set("flamingo_evacuation_seconds", "Time since the data centre is evacuated; 0: it is not",
            seconds(Loop::now() - state.since), state.dataCentre);
        set("flamingo_evacuation_hosts", "Hosts of the evacuated data centre that have reported",
            double(state.hosts), state.dataCentre);
        set("flamingo_evacuation_runs", "Runs that go on in the evacuated data centre",
            double(state.runs), state.dataCentre);
        set("flamingo_evacuation_starts_withdrawn", "Starts that the leader withdrew there",
            double(state.startsWithdrawn), state.dataCentre);
    }
}

// Exports how far off the callers' estimates and the learned run times were in this term, as usual
// factors, over the runs for which there were both.
void SchedulerService::exportRunTimes()
{
    const RunTimes &times = this->scheduling.table.runTimes;
    if (times.errorWeight == 0)
        return;
    const auto set = [&](const char *source, double errorSum) {
        this->metrics.setGauge("flamingo_run_time_error_factor",
                               "Usual factor between expected and actual run times, by source",
                               std::exp2(errorSum / times.errorWeight), {{"source", source}});
    };
    set("estimate", times.estimateErrorSum);
    set("learned", times.expectationErrorSum);
    this->metrics.setGauge("flamingo_run_time_kinds", "Kinds of task with learned run times",
                           double(times.kinds.size()));
}

void SchedulerService::submit(const Job &job, SubmitCallback done)
{
    const SubmissionStep step = submissionStep(this->scheduling.table, job);
    if (step != SubmissionStep::Append) {
        done(step == SubmissionStep::Stored ? Verdict::Ran : Verdict::NotRun);
        return;
    }
    const bool outage =
        !this->logReachable && Loop::now() - this->logLostAt >= this->options.submitRetryWindowMs;
    const bool unresolvedEarlier = this->unresolvedJobs.count(job.id) > 0;
    if ((outage && !unresolvedEarlier && !this->relay) || !this->logLoaded) {
        done(Verdict::NotRun);
        return;
    }
    const auto attempt = beginAttempt(acceptanceRecord(job));
    attempt->mayBeStored = unresolvedEarlier;
    attempt->done = [this, id = job.id, done = std::move(done)](Verdict verdict) {
        if (verdict == Verdict::MayHaveRun)
            this->unresolvedJobs[id] = Loop::now();
        done(verdict);
    };
    this->runAttempt(attempt);
}

std::shared_ptr<SchedulerService::Attempt> SchedulerService::beginAttempt(const Record &record)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->record = record;
    attempt->startedAt = Loop::now();
    this->openAttempts[record.key].push_back(attempt);
    return attempt;
}

// Queues the append of an attempt. While the log is unreachable, relays or retries the attempt
// instead: an append sent then could only have an unknown outcome.
void SchedulerService::runAttempt(const std::shared_ptr<Attempt> &attempt)
{
    if (attempt->ended || attempt->stored || attempt->queued || attempt->appendPending)
        return;
    if (!this->logReachable) {
        this->relayAttempt(attempt);
        this->retryOrEnd(attempt);
        return;
    }
    const TimeMs now = Loop::now();
    const TimeMs relayMs =
        std::max(this->options.relayAfterMs,
                 relayDelayFactor * slowestRecentAnswerMs(this->answerTimes, now));
    this->loop.after(relayMs, [this, attempt, relayMs] {
        // A log that answers other calls is only slow, and a relayed append would add to its load.
        if (Loop::now() - this->logAnsweredAt >= relayMs)
            this->relayAttempt(attempt);
    });
    attempt->queued = true;
    this->queuedAttempts.push_back(attempt);
    this->loop.after(this->options.queueTimeoutMs,
                     [this, attempt] { this->expireQueued(attempt); });
    this->sendQueuedAppend();
}

// Ends an attempt that is still queued after `queueTimeoutMs`. Its record is not stored, unless by
// an earlier append or by the relay.
void SchedulerService::expireQueued(const std::shared_ptr<Attempt> &attempt)
{
    const auto found = std::find(this->queuedAttempts.begin(), this->queuedAttempts.end(), attempt);
    if (found == this->queuedAttempts.end())
        return;
    this->queuedAttempts.erase(found);
    attempt->queued = false;
    if (attempt->stored)
        return;
    endAttempt(*attempt, this->mayStillBeStored(*attempt) ? Verdict::MayHaveRun : Verdict::NotRun);
}

// Sends the queued attempts in one append unless another one is outstanding. Attempts that arrive
// meanwhile are batched into the next append, so that a slow log does not get more calls than it
// can answer.
void SchedulerService::sendQueuedAppend()
{
    this->queuedAttempts.erase(
        std::remove_if(this->queuedAttempts.begin(), this->queuedAttempts.end(),
                       [](const auto &attempt) { return attempt->ended || attempt->stored; }),
        this->queuedAttempts.end());
    if (this->appendOutstanding || this->queuedAttempts.empty())
        return;
    std::size_t count = 0;
    std::size_t bytes = 0;
    for (const auto &attempt : this->queuedAttempts) {
        bytes += appendedBytes(attempt->record);
        if (count == this->options.maxGroupCommit
            || (count > 0 && bytes > this->options.maxAppendBytes))
            break;
        ++count;
    }
    std::vector<std::shared_ptr<Attempt>> sent(
        this->queuedAttempts.begin(), this->queuedAttempts.begin() + static_cast<long>(count));
    this->queuedAttempts.erase(this->queuedAttempts.begin(),
                               this->queuedAttempts.begin() + static_cast<long>(count));
    std::vector<Record> records;
    records.reserve(sent.size());
    for (const auto &attempt : sent) {
        attempt->queued = false;
        attempt->appendPending = true;
        records.push_back(attempt->record);
    }
    const TimeMs sentAt = Loop::now();
    this->appendOutstanding = true;
    this->log.append(records, [this, sent = std::move(sent), sentAt](const AppendResult &result) {
        this->appendOutstanding = false;
        this->metrics.observeDuration("flamingo_store_append_seconds", appendLatencyHelp,
                                      seconds(Loop::now() - sentAt));
        if (result.status == AppendStatus::Stored)
            this->recordAnswerTime(sentAt);
        else
            this->recordStoreFailure(result.error, result.timedOut);
        for (const auto &attempt : sent)
            this->handleAppendResult(attempt, result);
        this->sendQueuedAppend();
    });
}

void SchedulerService::handleAppendResult(const std::shared_ptr<Attempt> &attempt,
                                          const AppendResult &result)
{
    attempt->appendPending = false;
    if (result.status == AppendStatus::Stored) {
        this->endStoredAttempt(attempt);
        return;
    }
    attempt->mayBeStored = attempt->mayBeStored || result.status == AppendStatus::Unknown;
    this->retryOrEnd(attempt);
}

// Ends an attempt whose record is stored, at the end of its time if it is to be read back first.
void SchedulerService::endStoredAttempt(const std::shared_ptr<Attempt> &attempt)
{
    attempt->stored = true;
    const TimeMs waitMs = attempt->startedAt + this->options.submitRetryWindowMs - Loop::now();
    if (!attempt->awaitsReadBack || waitMs <= 0) {
        endAttempt(*attempt, Verdict::Ran);
        return;
    }
    this->loop.after(waitMs, [attempt] { endAttempt(*attempt, Verdict::Ran); });
}

void SchedulerService::endAttempt(Attempt &attempt, Verdict verdict)
{
    if (!std::exchange(attempt.ended, true))
        attempt.done(verdict);
}

// Relays an attempt to another entry, once. Both entries may store its record: a second acceptance
// or cancellation of the same job has no effect.
void SchedulerService::relayAttempt(const std::shared_ptr<Attempt> &attempt)
{
    if (attempt->ended || !this->relay || std::exchange(attempt->relayed, true))
        return;
    attempt->relayPending = true;
    this->relay(attempt->record, [this, attempt](Verdict verdict) {
        attempt->relayPending = false;
        this->metrics.incrementCounter("flamingo_relayed_acceptances_total",
                                       "Acceptances given to another entry, by its verdict", 1,
                                       {{"stored", verdict == Verdict::Ran ? "true" : "false"}});
        if (verdict == Verdict::Ran)
            this->endStoredAttempt(attempt);
        attempt->mayBeStored = attempt->mayBeStored || verdict == Verdict::MayHaveRun;
        if (!this->logReachable)
            this->retryOrEnd(attempt);
    });
}

void SchedulerService::storeRelayed(const Record &record, SubmitCallback done)
{
    // No retries: the relaying entry continues its own attempt and has little time left.
    if (!this->logReachable) {
        done(Verdict::NotRun);
        return;
    }
    this->log.append({&record, 1}, [this, done = std::move(done)](const AppendResult &result) {
        if (result.status != AppendStatus::Stored)
            this->recordStoreFailure(result.error, result.timedOut);
        if (result.status == AppendStatus::Stored)
            done(Verdict::Ran);
        else
            done(result.status == AppendStatus::Unknown ? Verdict::MayHaveRun : Verdict::NotRun);
    });
}

void SchedulerService::retryOrEnd(const std::shared_ptr<Attempt> &attempt)
{
    if (attempt->ended || attempt->stored)
        return;
    const TimeMs now = Loop::now();
    const TimeMs window = this->options.submitRetryWindowMs;
    const bool timeLeft = now + this->options.submitRetryMs - attempt->startedAt < window;
    // An attempt that may be stored is retried, because an early answer "may have run" does not
    // help the caller.
    const bool unresolved = this->mayStillBeStored(*attempt);
    if (timeLeft && (unresolved || now - this->logLostAt < window)) {
        if (!std::exchange(attempt->retryPending, true))
            this->loop.after(this->options.submitRetryMs, [this, attempt] {
                attempt->retryPending = false;
                this->runAttempt(attempt);
            });
        return;
    }
    endAttempt(*attempt, unresolved ? Verdict::MayHaveRun : Verdict::NotRun);
}

// True when the record of an attempt may be stored, now or later, by any append or relay that this
// entry has begun for it. A caller that repeats a submission has several attempts.
bool SchedulerService::mayStillBeStored(const Attempt &attempt) const
{
    const auto unresolved = [](const Attempt &each) {
        return each.mayBeStored || each.relayPending || each.appendPending;
    };
    const auto found = this->openAttempts.find(attempt.record.key);
    if (unresolved(attempt) || found == this->openAttempts.end())
        return unresolved(attempt);
    return std::any_of(found->second.begin(), found->second.end(), [&](const auto &weak) {
        const auto other = weak.lock();
        return other != nullptr && unresolved(*other);
    });
}

void SchedulerService::cancel(const std::string &jobId, const Caller &caller, CancelCallback done)
{
    this->cancelSince(jobId, caller, Loop::now(), std::move(done));
}

// Cancels a job on a request that arrived at `arrivedAt`.
void SchedulerService::cancelSince(const std::string &jobId, const Caller &caller, TimeMs arrivedAt,
                                   CancelCallback done)
{
    const bool tableIsNewer = this->logLoaded && this->tableReadAt > arrivedAt;
    const auto pending = this->pendingEarlyCancellations.find(caller.organisation);
    const std::size_t pendingEarly =
        pending == this->pendingEarlyCancellations.end() ? 0 : pending->second;
    const CancellationStep step = cancellationStep(this->scheduling.table, this->scheduling.options,
                                                   jobId, caller, tableIsNewer, pendingEarly);
    switch (step) {
    case CancellationStep::Cancelled:
        done(CancelOutcome::Cancelled);
        return;
    case CancellationStep::Unknown:
        done(CancelOutcome::UnknownJob);
        return;
    case CancellationStep::RefuseTooMany:
        done(CancelOutcome::TooMany);
        return;
    case CancellationStep::ReadLog:
        if (!this->logReachable || Loop::now() - arrivedAt >= this->options.submitRetryWindowMs)
            done(CancelOutcome::NotStored);
        else
            this->loop.after(this->options.submitRetryMs,
                             [this, jobId, caller, arrivedAt, done = std::move(done)] {
                                 this->cancelSince(jobId, caller, arrivedAt, done);
                             });
        return;
    case CancellationStep::AppendCancellation:
        this->appendCancellation(jobId, std::move(done));
        return;
    case CancellationStep::AppendEarlyCancellation:
        this->appendEarlyCancellation(jobId, caller, std::move(done));
        return;
    }
}

void SchedulerService::appendCancellation(const std::string &jobId, CancelCallback done)
{
    const auto attempt = beginAttempt(cancellationRecord(jobId));
    attempt->done = [done = std::move(done)](Verdict verdict) {
        done(cancelOutcome(verdict, CancelOutcome::Cancelled));
    };
    this->runAttempt(attempt);
}

// Ends when the record is read back, because the table then has all jobs that were stored before.
void SchedulerService::appendEarlyCancellation(const std::string &jobId, const Caller &caller,
                                               CancelCallback done)
{
    ++this->pendingEarlyCancellations[caller.organisation];
    const auto attempt = beginAttempt(earlyCancellationRecord(jobId, caller));
    attempt->awaitsReadBack = true;
    attempt->done = [this, jobId, caller, done = std::move(done)](Verdict verdict) {
        const auto pending = this->pendingEarlyCancellations.find(caller.organisation);
        if (--pending->second == 0)
            this->pendingEarlyCancellations.erase(pending);
        const bool known = visibleStateFor(this->scheduling.table, jobId, caller).has_value();
        done(cancelOutcome(verdict, known ? CancelOutcome::Cancelled : CancelOutcome::UnknownJob));
    };
    this->runAttempt(attempt);
}

void SchedulerService::resign(std::function<void()> done)
{
    this->resigning = true;
    if (!this->leading()) {
        done();
        return;
    }
    this->onResigned = std::move(done);
    this->loop.after(resignTimeoutMs, [this] {
        if (this->onResigned)
            std::exchange(this->onResigned, nullptr)();
    });
    if (!this->flushing)
        this->finishResigning();
}

// Appends a leader record with the resignation, the last append of a leader. When it is stored,
// calls the callback of resign().
void SchedulerService::finishResigning()
{
    if (std::exchange(this->resignationSent, true)) {
        if (this->onResigned)
            std::exchange(this->onResigned, nullptr)();
        return;
    }
    this->flushRecords.clear();
    this->flushNumber = 0;
    this->sendFlush();
}

} // namespace flamingo::adapters

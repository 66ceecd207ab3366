// step() runs after every event and every `stepMs`, and sends the calls and reports that are due.
// Normally one report is outstanding, which the leader leaves unanswered until it has orders. After
// a change at the worker, a second report is sent at once; the leader then answers the first.

#include "flamingo/adapters/host_agent_service.h"

#include "flamingo/adapters/http_status.h"

#include <algorithm>
#include <utility>

namespace flamingo::adapters {
namespace {

using namespace flamingo::scheduler;

constexpr TimeMs stepMs = 50;
constexpr std::size_t maxOutstandingReports = 2;
// Limits the rate of reports if the leader answers at once.
constexpr TimeMs minReportIntervalMs = 10;
constexpr std::size_t maxEntries = 16;

// Sorts directly before the key of the leader record, so newest() returns that record first.
constexpr std::string_view beforeLeaderKey = "~";

} // namespace

const std::string_view hostReportPath = "/v1/host-reports";

HostAgentService::HostAgentService(Loop &loop, WorkerPort &worker, JobLog &log,
                                   DecisionLog &decisions, Metrics &metrics,
                                   const HostAgentServiceOptions &options)
    : loop(loop)
    , worker(worker)
    , log(log)
    , decisions(decisions)
    , metrics(metrics)
    , options(options)
    , client(loop)
    , entries(options.entries)
    , random(options.agent.agentStart)
{
    this->agent.options = options.agent;
}

void HostAgentService::start()
{
    this->leaderAnsweredAt = Loop::now();
    this->loop.every(stepMs, [this] { this->step(); });
}

void HostAgentService::handleHeartbeat(const WorkerInfo &info, std::uint64_t sequence)
{
    scheduler::applyHeartbeat(this->agent, info, sequence, Loop::now());
    this->step();
}

void HostAgentService::handleDeregistration(const std::string &workerId)
{
    scheduler::applyDeregistration(this->agent, workerId);
    this->step();
}

bool HostAgentService::finalReportPending() const
{
    if (!this->agent.worker)
        return false;
    return this->agent.workerGone ? !this->agent.workerEndStored : this->agent.worker->draining;
}

void HostAgentService::logEnd()
{
    this->decisions.write("event=end worker=" + (this->agent.worker ? this->agent.worker->id : "")
                          + " worker_gone=" + (this->agent.workerGone ? "true" : "false")
                          + " end_stored=" + (this->agent.workerEndStored ? "true" : "false")
                          + " epoch=" + std::to_string(this->agent.epoch)
                          + " reports=" + std::to_string(this->agent.sequence)
                          + " answered=" + std::to_string(this->answeredSequence));
}

HostReport HostAgentService::currentReport() const
{
    HostAgent copy = this->agent;
    return makeReport(copy);
}

void HostAgentService::step()
{
    const TimeMs now = Loop::now();
    for (const WorkerCall &call : dueCalls(this->agent, now))
        this->callWorker(call);
    for (const std::string &decision : std::exchange(this->agent.decisions, {}))
        this->decisions.write(decision);
    if (this->agent.startsWithdrawn > 0)
        this->metrics.raiseCounterTo("flamingo_starts_withdrawn_total",
                                     "Starts not carried out because of an evacuation",
                                     double(this->agent.startsWithdrawn));
    const bool entryTimedOut = this->currentEntryTimedOut(now);
    if (entryTimedOut)
        this->chooseNextEntry();
    const std::size_t outstandingReports = this->outstandingAtCurrentEntry();
    const bool due = entryTimedOut || outstandingReports == 0
        || (this->agent.reportNeeded && outstandingReports < maxOutstandingReports);
    const bool canReport = (this->agent.worker || this->agent.workerGone) && !this->entries.empty();
    if (canReport && due && now >= this->nextReportAt)
        this->sendReport(this->entries[this->currentEntry]);
    if (canReport && this->leaderIsStale()
        && now - this->lastSuccessorRequestAt >= this->options.entrySwitchAfterMs)
        this->requestSuccessor();
    const bool leaderOutdated =
        now - this->leaderAnsweredAt > this->options.lookUpAfterMs || this->leaderIsStale();
    if (leaderOutdated && now - this->lastLookUpAt > this->options.lookUpEveryMs)
        this->lookUpLeader();
    this->storeWorkerEnd(now);
}

void HostAgentService::storeWorkerEnd(TimeMs now)
{
    const auto record = dueWorkerEnd(this->agent, now);
    if (!record)
        return;
    this->log.append({&*record, 1},
                     [this, key = parseKey(record->key)->workerKey](const AppendResult &result) {
                         applyWorkerEndResult(this->agent, key, result, Loop::now());
                         this->step();
                     });
}

std::size_t HostAgentService::outstandingAtCurrentEntry() const
{
    if (this->entries.empty())
        return 0;
    const auto found = this->outstanding.find(this->entries[this->currentEntry]);
    return found == this->outstanding.end() ? 0 : found->second.size();
}

// Returns true if no leader is known, the entry tried last has not answered within
// `entrySwitchAfterMs`, and another report may be sent.
bool HostAgentService::currentEntryTimedOut(TimeMs now) const
{
    std::size_t reports = 0;
    for (const auto &[address, sequences] : this->outstanding)
        reports += sequences.size();
    return !this->leaderKnown && this->outstandingAtCurrentEntry() > 0
        && reports < this->options.maxUnansweredReports
        && now - this->lastReportAt >= this->options.entrySwitchAfterMs;
}

// A leader answers a report no later than when the next one arrives. When an entry answers a
// report, older reports to it that are still unanswered must be lost, so they are removed as well,
// without waiting for their timeout.
void HostAgentService::removeOutstandingReports(const HttpResult &result,
                                                const std::string &address, std::uint64_t sequence)
{
    const auto found = this->outstanding.find(address);
    if (found == this->outstanding.end())
        return;
    std::set<std::uint64_t> &sequences = found->second;
    if (result.status == statusOk)
        sequences.erase(sequences.begin(), sequences.lower_bound(sequence));
    sequences.erase(sequence);
    if (sequences.empty())
        this->outstanding.erase(found);
}

void HostAgentService::callWorker(const WorkerCall &call)
{
    this->worker.call(call, [this, call](const WorkerAnswer &answer) {
        applyAnswer(this->agent, call, answer, Loop::now());
        this->step();
    });
}

bool HostAgentService::leaderIsStale() const
{
    return this->leaderStoreUnreachableMs > this->options.staleLeaderMs;
}

// Sends a report to a random entry other than the leader. An entry that reads the job log answers
// with the address of a successor as soon as there is one.
void HostAgentService::requestSuccessor()
{
    this->lastSuccessorRequestAt = Loop::now();
    if (this->entries.size() < 2)
        return;
    const std::size_t other = (this->currentEntry + 1 + this->random() % (this->entries.size() - 1))
        % this->entries.size();
    // Sending clears `reportNeeded`. It is restored, because the leader does not receive this
    // report.
    const bool needed = this->agent.reportNeeded;
    this->sendReport(this->entries[other]);
    this->agent.reportNeeded = needed;
}

void HostAgentService::sendReport(const std::string &address)
{
    const TimeMs now = Loop::now();
    HostReport report = makeReport(this->agent);
    report.lostLeader = this->leaderKnown ? 0 : this->agent.epoch;
    HttpCall call;
    call.address = address;
    call.method = "POST";
    call.target = std::string(hostReportPath);
    call.body = encode(report);
    call.timeoutMs = this->options.reportTimeoutMs;
    call.keepAlive = true;
    this->outstanding[address].insert(report.sequence);
    this->lastReportAt = now;
    this->nextReportAt = now + minReportIntervalMs;
    this->client.call(call,
                      [this, address, now, sequence = report.sequence](const HttpResult &result) {
                          this->removeOutstandingReports(result, address, sequence);
                          this->handleReportResult(result, address, now, sequence);
                          this->step();
                      });
}

void HostAgentService::handleReportResult(const HttpResult &result, const std::string &address,
                                          TimeMs sentAt, std::uint64_t sequence)
{
    Reason reason;
    const auto orders =
        result.status == statusOk ? decodeHostOrders(result.body, reason) : std::nullopt;
    if (!orders) {
        if (result.status == statusOk)
            this->decisions.write("event=orders_ignored address=" + address + " reason=\""
                                  + reason.text + "\"");
        this->handleReportFailure(result, address, sentAt, reason);
        return;
    }
    if (orders->epoch == 0) {
        this->handleRedirect(*orders, address);
        return;
    }
    if (orders->epoch >= this->agent.epoch) {
        this->leaderAnsweredAt = Loop::now();
        this->answeredSequence = std::max(this->answeredSequence, sequence);
        this->leaderStoreUnreachableMs = orders->storeSilentMs;
        this->setCurrentEntry(address);
        if (!std::exchange(this->leaderKnown, true))
            this->decisions.write("event=leader_found address=" + address
                                  + " epoch=" + std::to_string(orders->epoch));
    }
    applyOrders(this->agent, *orders, sentAt, sequence, Loop::now());
}

void HostAgentService::handleReportFailure(const HttpResult &result, const std::string &address,
                                           TimeMs sentAt, const Reason &reason)
{
    // The failure of a call that was sent before the leader's last answer is outdated.
    const bool outdated = this->leaderKnown && sentAt < this->leaderAnsweredAt;
    if (outdated || this->entries[this->currentEntry] != address)
        return;
    if (std::exchange(this->leaderKnown, false)) {
        std::string cause = result.error;
        if (cause.empty() && result.status != statusOk)
            cause = "status " + std::to_string(result.status) + " " + result.body.substr(0, 100);
        else if (cause.empty())
            cause = reason.text;
        this->decisions.write("event=leader_lost address=" + address + " reason=\"" + cause + "\"");
    }
    this->tryNextEntry();
}

void HostAgentService::handleRedirect(const HostOrders &orders, const std::string &address)
{
    const bool currentEntry = this->entries[this->currentEntry] == address;
    const std::string &leader = orders.leaderAddress;
    const bool newer = orders.leaderEpoch > this->agent.epoch;
    // While a leader is known, another entry's answer matters only if it states a newer leader.
    if (!currentEntry && this->leaderKnown && !newer)
        return;
    // An entry that has not read the newest leader record answers with a former leader.
    const bool namesNewLeader =
        !leader.empty() && leader != address && orders.leaderEpoch >= this->agent.epoch;
    if (namesNewLeader) {
        // Earlier reports to this leader may never be answered: its machine may have been without
        // power when they were sent.
        this->outstanding.erase(leader);
        this->followLeader(leader);
    } else if (currentEntry) {
        this->tryNextEntry();
    }
    this->nextReportAt = Loop::now() + this->options.redirectDelayMs;
}

void HostAgentService::addEntry(const std::string &address)
{
    if (std::find(this->entries.begin(), this->entries.end(), address) != this->entries.end())
        return;
    if (this->entries.size() >= maxEntries)
        this->entries.erase(this->entries.begin());
    this->entries.push_back(address);
    this->currentEntry = std::min(this->currentEntry, this->entries.size() - 1);
}

void HostAgentService::setCurrentEntry(const std::string &address)
{
    this->addEntry(address);
    const auto found = std::find(this->entries.begin(), this->entries.end(), address);
    this->currentEntry = static_cast<std::size_t>(found - this->entries.begin());
}

void HostAgentService::followLeader(const std::string &address)
{
    this->setCurrentEntry(address);
    this->agent.reportNeeded = true;
}

// Chooses the next entry at random, so that every entry receives reports that the leader is
// unreachable.
void HostAgentService::chooseNextEntry()
{
    if (this->entries.size() > 1)
        this->currentEntry = (this->currentEntry + 1 + this->random() % (this->entries.size() - 1))
            % this->entries.size();
}

void HostAgentService::tryNextEntry()
{
    this->chooseNextEntry();
    this->nextReportAt = Loop::now() + this->options.redirectDelayMs;
}

void HostAgentService::lookUpLeader()
{
    this->lastLookUpAt = Loop::now();
    this->metrics.incrementCounter("flamingo_leader_lookups_total",
                                   "Searches for the leader in the job log", 1);
    this->log.newest(beforeLeaderKey, [this](const NewestResult &result) {
        for (const StoredRecord &stored : result.records) {
            Reason reason;
            if (stored.record.key != leaderKey)
                continue;
            const auto leader = decodeLeader(stored.record.value, reason);
            if (!leader)
                this->decisions.write("event=record_ignored key=" + stored.record.key
                                      + " offset=" + std::to_string(stored.offset) + " reason=\""
                                      + reason.text + "\"");
            if (!leader || leader->address.empty() || leader->epoch < this->agent.epoch)
                continue;
            if (this->entries.empty() || this->entries[this->currentEntry] != leader->address)
                this->followLeader(leader->address);
        }
    });
}

} // namespace flamingo::adapters

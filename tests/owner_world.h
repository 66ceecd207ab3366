#ifndef FLAMINGO_TESTS_OWNER_WORLD_H
#define FLAMINGO_TESTS_OWNER_WORLD_H

// Simulates a region: agents (an owner and a model of the target), entries, a network and a log
// with faults. One clock and one random generator drive all of them, so a run repeats exactly.
//
// The model target follows the rules at the top of flamingo/owner.h. `violations` collects each
// breach of the at-most-once rules that the simulation detects.

#include "flamingo/owner.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>

namespace flamingo::tests {

struct Faults
{
    double drop = 0;
    double duplicate = 0;
    double slow = 0; // share of messages, reads and appends that take seconds
    double unknownResult = 0; // share of appends whose writer receives no acknowledgement
};

struct TargetAttempt
{
    enum class Phase { Waiting, Running, Settling } phase = Phase::Waiting;
    std::string key;
    std::string owner;
    std::uint64_t epoch = 0;
    std::string entry;
    Verdict verdict = Verdict::NotRun;
    bool granted = false;
    TimeMs abandonAt = 0;
    TimeMs finishAt = 0;
    TimeMs nextSendAt = 0;
};

struct AgentProcess
{
    std::string name;
    std::string region;
    std::uint64_t incarnation = 1;
    bool alive = true;
    TimeMs pausedUntil = 0;
    bool readPending = false;
    Owner owner;
    std::map<std::string, TargetAttempt> attempts;
    std::set<std::string> seenAttempts;
    std::map<std::uint32_t, std::pair<std::uint64_t, std::string>> fences; // epoch, owner
};

struct EntryProcess
{
    std::string name;
    RangeMap map;
    std::map<std::string, TimeMs, std::less<>> lastContact;
    TakeoverTimers timers;
    bool readPending = false;
};

struct Stats
{
    std::uint64_t finished = 0;
    std::uint64_t released = 0; // released or never granted
    std::uint64_t mayHaveRun = 0;
    std::uint64_t mayHaveRunButDidNot = 0;
    std::uint64_t grants = 0;
    std::uint64_t memoryGrants = 0;
    std::uint64_t takeovers = 0;
    std::uint64_t completedTakeovers = 0;
    std::uint64_t incompleteTakeovers = 0;
    std::uint64_t refusedDuringTakeover = 0;
};

class World
{
public:
    static constexpr std::uint32_t usedRangeCount = 3; // few, so that faults affect the keys in use

    World(std::uint64_t seed, std::size_t agentCount, std::size_t entryCount)
        : random(seed)
    {
        for (std::size_t i = 0; i < agentCount; ++i)
            this->addAgent("a" + std::to_string(i), i + 1 == agentCount ? "east" : "west");
        for (std::size_t i = 0; i < entryCount; ++i) {
            this->entries.push_back(std::make_unique<EntryProcess>());
            this->entries.back()->name = "e" + std::to_string(i);
            this->entryTick(*this->entries.back());
        }
    }

    void runFor(TimeMs duration)
    {
        const TimeMs end = this->now + duration;
        while (!this->events.empty() && this->events.top().at <= end) {
            auto event = this->events.top();
            this->events.pop();
            this->now = std::max(this->now, event.at);
            event.run();
        }
        this->now = end;
    }

    void submit(const std::string &key)
    {
        this->keys.insert(key);
        this->startAttempt(*this->entries[this->randomIndex(this->entries.size())], key, 0);
    }

    // Submits the key through the first entry and, `apart` ms later, through the last one.
    void submitTwice(const std::string &key, TimeMs apart)
    {
        this->keys.insert(key);
        this->startAttempt(*this->entries.front(), key, 0);
        this->schedule(apart, [this, key] { this->startAttempt(*this->entries.back(), key, 0); });
    }

    // Cuts the owner of a range off from the log and the entries, but not from the targets. With
    // `stale`, one entry loses the log too, and so keeps sending requests for this owner.
    void isolateOwner(std::size_t range, bool stale, TimeMs duration)
    {
        const auto owner = ownerOf(this->entries.back()->map, "west",
                                   static_cast<std::uint32_t>(range % usedRangeCount));
        if (owner.agent.empty())
            return;
        this->disconnectFromLog(owner.agent, duration);
        for (const auto &entry : this->entries)
            this->disconnectPair(owner.agent, entry->name, duration);
        if (stale)
            this->disconnectFromLog(this->entries.front()->name, duration);
    }

    void kill(std::size_t which, TimeMs restartAfter)
    {
        auto &agent = *this->agents[which % this->agents.size()];
        if (!agent.alive)
            return;
        agent.alive = false;
        this->addCounters(agent);
        this->schedule(restartAfter, [this, &agent] { this->restart(agent); });
    }

    void pause(std::size_t which, TimeMs duration)
    {
        auto &agent = *this->agents[which % this->agents.size()];
        agent.pausedUntil = std::max(agent.pausedUntil, this->now + duration);
    }

    void disconnectFromLog(const std::string &process, TimeMs duration)
    {
        this->logCuts[process] = std::max(this->logCuts[process], this->now + duration);
    }

    void disconnectPair(const std::string &a, const std::string &b, TimeMs duration)
    {
        this->linkCuts[std::minmax(a, b)] = this->now + duration;
    }

    void startLogOutage(TimeMs duration)
    {
        this->logDownUntil = std::max(this->logDownUntil, this->now + duration);
    }

    // Ends all faults and runs long enough for every unreachable owner to be replaced.
    void endFaults()
    {
        this->faults = {};
        this->logCuts.clear();
        this->linkCuts.clear();
        this->logDownUntil = 0;
        this->runFor(20000);
        for (auto &agent : this->agents) {
            agent->pausedUntil = 0;
            if (!agent->alive)
                this->restart(*agent);
        }
        this->runFor(60000);
    }

    void checkFinalStates();

    std::string processName(std::size_t which) const
    {
        const auto index = which % (this->agents.size() + this->entries.size());
        return index < this->agents.size() ? this->agents[index]->name
                                           : this->entries[index - this->agents.size()]->name;
    }

    std::vector<std::string> violations;
    Stats stats;
    Faults faults;
    std::map<std::string, int> runsByKey;
    std::vector<std::unique_ptr<AgentProcess>> agents;
    std::vector<std::unique_ptr<EntryProcess>> entries;
    std::vector<std::string> log;
    TimeMs now = 1000;

private:
    struct Event
    {
        TimeMs at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(this->at, this->order);
        }
    };

    std::size_t randomIndex(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
    }

    TimeMs randomTime(TimeMs low, TimeMs high)
    {
        return std::uniform_int_distribution<TimeMs>(low, high)(this->random);
    }

    bool randomChance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(this->random) < share;
    }

    void schedule(TimeMs delay, std::function<void()> run)
    {
        this->events.push({this->now + delay, this->nextOrder++, std::move(run)});
    }

    void addViolation(const std::string &text)
    {
        this->violations.push_back("at " + std::to_string(this->now) + ": " + text);
    }

    void addCounters(const AgentProcess &agent)
    {
        const auto &counters = agent.owner.counters;
        this->stats.grants += counters.grants;
        this->stats.memoryGrants += counters.memoryGrants;
        this->stats.takeovers += counters.takeovers;
        this->stats.completedTakeovers += counters.completed;
    }

    void addAgent(const std::string &name, const std::string &region)
    {
        this->agents.push_back(std::make_unique<AgentProcess>());
        this->agents.back()->name = name;
        this->agents.back()->region = region;
        this->startOwner(*this->agents.back());
    }

    void startOwner(AgentProcess &agent)
    {
        OwnerOptions options;
        options.self = agent.name;
        options.region = agent.region;
        options.incarnation = agent.incarnation;
        agent.owner = makeOwner(options);
        this->agentTick(agent, agent.incarnation);
    }

    void restart(AgentProcess &agent)
    {
        if (agent.alive)
            return;
        agent.alive = true;
        agent.pausedUntil = 0;
        ++agent.incarnation;
        agent.readPending = false;
        agent.attempts.clear();
        agent.seenAttempts.clear();
        agent.fences.clear();
        this->startOwner(agent);
    }

    // Runs `act` in the agent's process after `delay`; if the process is paused then, after the
    // pause. `incarnation` 0 means any; another value drops `act` if the process has restarted.
    void scheduleInAgent(TimeMs delay, AgentProcess &agent, std::uint64_t incarnation,
                         std::function<void()> act)
    {
        this->schedule(delay, [this, &agent, incarnation, act = std::move(act)]() mutable {
            if (!agent.alive || (incarnation != 0 && agent.incarnation != incarnation))
                return;
            if (agent.pausedUntil > this->now)
                this->scheduleInAgent(agent.pausedUntil - this->now, agent, incarnation,
                                      std::move(act));
            else
                act();
        });
    }

    void agentTick(AgentProcess &agent, std::uint64_t incarnation)
    {
        this->scheduleInAgent(200, agent, incarnation, [this, &agent, incarnation] {
            this->deliverToOwner(agent, Tick{});
            this->targetTick(agent);
            this->readLog(agent.readPending, agent.name, agent.owner.map.nextOffset,
                          [this, &agent, incarnation](TimeMs delay, const LogRead &read) {
                              this->scheduleInAgent(delay, agent, incarnation,
                                                    [this, &agent, read] {
                                                        agent.readPending = false;
                                                        this->deliverToOwner(agent, read);
                                                    });
                          });
            if (this->now / 200 % 5 == 0) {
                for (const auto &entry : this->entries)
                    this->send(agent.name, entry->name, Report());
            }
            this->agentTick(agent, incarnation);
        });
    }

    void deliverToOwner(AgentProcess &agent, const OwnerEvent &event)
    {
        Outbox out;
        handleOwner(agent.owner, event, this->now, this->random, out);
        for (auto &sent : out.sends) {
            if (const auto *const reply = std::get_if<KeyReply>(&sent.message))
                this->checkKeyReply(*reply);
            this->send(agent.name, sent.to, std::move(sent.message));
        }
        const auto incarnation = agent.incarnation;
        for (const auto &append : out.appends) {
            this->append(agent.name, append.lines,
                         [this, &agent, incarnation, id = append.id](TimeMs delay, bool known) {
                             this->scheduleInAgent(
                                 delay, agent, incarnation, [this, &agent, id, known] {
                                     this->deliverToOwner(agent, LogAppended{id, known, 0});
                                 });
                         });
        }
        if (ownerMustRestart(agent.owner))
            this->addViolation(agent.name + " must restart");
    }

    void checkKeyReply(const KeyReply &reply)
    {
        const int count = this->runsByKey[reply.key];
        if (reply.verdict == Verdict::NotRun && count > 0)
            this->addViolation("KeyReply says not run for " + reply.key + ", which ran");
        if (reply.state == KeyState::Finished && reply.verdict == Verdict::Ran && count == 0)
            this->addViolation("KeyReply says ran for " + reply.key + ", which did not run");
    }

    // ---- Network and log ----

    void send(const std::string &from, const std::string &to, Message message)
    {
        const auto cut = this->linkCuts.find(std::minmax(from, to));
        const bool self = from == to;
        if (cut != this->linkCuts.end() && cut->second > this->now)
            return;
        if (!self && this->randomChance(this->faults.drop))
            return;
        const auto shared = std::make_shared<Message>(std::move(message));
        const int copies = !self && this->randomChance(this->faults.duplicate) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const TimeMs delay = !self && this->randomChance(this->faults.slow)
                ? this->randomTime(50, 15000)
                : this->randomTime(1, 40);
            this->deliver(delay, from, to, shared);
        }
    }

    void deliver(TimeMs delay, const std::string &from, const std::string &to,
                 const std::shared_ptr<Message> &message)
    {
        for (auto &agent : this->agents) {
            if (agent->name != to)
                continue;
            auto &target = *agent;
            this->scheduleInAgent(delay, target, 0, [this, &target, from, message] {
                this->deliverToTarget(target, from, *message);
                this->deliverToOwner(target, PeerMessage{from, *message});
            });
        }
        for (auto &entry : this->entries) {
            if (entry->name != to)
                continue;
            auto &target = *entry;
            this->schedule(delay, [this, &target, from, message] {
                this->deliverToEntry(target, from, *message);
            });
        }
    }

    bool logReachable(const std::string &process)
    {
        const auto cut = this->logCuts.find(process);
        return this->logDownUntil <= this->now
            && (cut == this->logCuts.end() || cut->second <= this->now);
    }

    void commit(const std::vector<std::string> &lines)
    {
        this->log.insert(this->log.end(), lines.begin(), lines.end());
    }

    // Calls `done(delay, acknowledged)` with the result of the append. An append that is not
    // acknowledged may take place later or not at all.
    void append(const std::string &process, const std::vector<std::string> &lines,
                const std::function<void(TimeMs, bool)> &done)
    {
        const bool reachable = this->logReachable(process);
        if (reachable && !this->randomChance(this->faults.unknownResult)) {
            const TimeMs delay = this->randomChance(this->faults.slow) ? this->randomTime(50, 2500)
                                                                       : this->randomTime(2, 40);
            this->schedule(delay, [this, lines] { this->commit(lines); });
            done(delay + this->randomTime(1, 20), true);
            return;
        }
        if (reachable ? this->randomChance(0.7) : this->randomChance(0.3))
            this->schedule(this->randomTime(2, 8000), [this, lines] { this->commit(lines); });
        done(this->randomTime(20, 2000), false);
    }

    void readLog(bool &open, const std::string &process, std::uint64_t from,
                 const std::function<void(TimeMs, const LogRead &)> &deliver)
    {
        if (open || !this->logReachable(process) || from >= this->log.size())
            return;
        open = true;
        LogRead read;
        read.stream = claimsStream;
        for (auto at = from; at < this->log.size(); ++at) {
            read.lines.emplace_back();
            read.lines.back().offset = at;
            read.lines.back().text = this->log[at];
        }
        read.next = this->log.size();
        deliver(this->randomChance(this->faults.slow) ? this->randomTime(50, 5000)
                                                      : this->randomTime(2, 40),
                read);
    }

    // ---- The model target ----

    void deliverToTarget(AgentProcess &agent, const std::string &from, const Message &message)
    {
        if (const auto *const start = std::get_if<Start>(&message))
            this->onStart(agent, from, *start);
        else if (const auto *const reply = std::get_if<BeginReply>(&message))
            this->onBeginReply(agent, from, *reply);
        else if (const auto *const witness = std::get_if<Witness>(&message))
            this->onWitness(agent, *witness);
        else if (const auto *const ack = std::get_if<SettleAck>(&message))
            this->onSettleAck(agent, *ack);
    }

    void onStart(AgentProcess &agent, const std::string &from, const Start &start)
    {
        if (!agent.seenAttempts.insert(start.attempt).second)
            return;
        auto &attempt = agent.attempts[start.attempt];
        attempt.key = start.spec->key;
        attempt.owner = start.owner;
        attempt.epoch = start.epoch;
        attempt.entry = from;
        attempt.abandonAt = this->now + this->randomTime(3000, 9000);
        const auto fence = agent.fences.find(start.range);
        if (fence != agent.fences.end() && fence->second.first > start.epoch)
            std::tie(attempt.epoch, attempt.owner) = fence->second;
        this->targetTick(agent);
    }

    void replyNotRun(AgentProcess &agent, const std::string &id, const TargetAttempt &attempt,
                     ReasonCode reason)
    {
        if (this->ranAttempts.count(id + "@" + std::to_string(agent.incarnation)) > 0)
            this->addViolation("attempt " + id + " ran but is reported as not run");
        if (attempt.entry.empty())
            return;
        StartReply reply;
        reply.job = attempt.key;
        reply.attempt = id;
        reply.reason = reason;
        this->send(agent.name, attempt.entry, std::move(reply));
    }

    void onBeginReply(AgentProcess &agent, const std::string &from, const BeginReply &reply)
    {
        const auto fence = agent.fences.find(reply.range);
        if (reply.granted && fence != agent.fences.end() && reply.epoch < fence->second.first)
            return;
        const auto found = agent.attempts.find(reply.attempt);
        if (found == agent.attempts.end()) {
            if (!reply.granted)
                return;
            auto &refused = agent.attempts[reply.attempt];
            refused.phase = TargetAttempt::Phase::Settling;
            refused.key = reply.key;
            refused.owner = from;
            refused.epoch = reply.epoch;
            refused.granted = true;
            return;
        }
        auto &attempt = found->second;
        if (reply.granted && attempt.phase == TargetAttempt::Phase::Settling)
            attempt.granted = true;
        if (attempt.phase != TargetAttempt::Phase::Waiting)
            return;
        if (reply.granted)
            this->runAttempt(agent, reply.attempt, attempt);
        else if (reply.state != KeyState::NotReady && reply.state != KeyState::WrongOwner)
            this->abandonAttempt(agent, found, reply.reason);
    }

    void abandonAttempt(AgentProcess &agent, std::map<std::string, TargetAttempt>::iterator found,
                        ReasonCode reason)
    {
        if (reason == ReasonCode::TakeoverIncomplete)
            ++this->stats.refusedDuringTakeover;
        this->replyNotRun(agent, found->first, found->second, reason);
        agent.attempts.erase(found);
    }

    void runAttempt(AgentProcess &agent, const std::string &id, TargetAttempt &attempt)
    {
        attempt.granted = true;
        if (this->randomChance(0.1)) { // cancelled before it began
            attempt.phase = TargetAttempt::Phase::Settling;
            this->replyNotRun(agent, id, attempt, ReasonCode::Cancelled);
            return;
        }
        attempt.phase = TargetAttempt::Phase::Running;
        attempt.finishAt = this->now + this->randomTime(10, 6000);
        this->ranAttempts.insert(id + "@" + std::to_string(agent.incarnation));
        if (++this->runsByKey[attempt.key] > 1)
            this->addViolation(attempt.key + " ran twice");
    }

    void onWitness(AgentProcess &agent, const Witness &witness)
    {
        auto &fence = agent.fences[witness.range];
        if (witness.epoch < fence.first || witness.region != "west")
            return;
        fence = {witness.epoch, witness.owner};
        WitnessReply reply;
        reply.region = witness.region;
        reply.range = witness.range;
        reply.epoch = witness.epoch;
        reply.agent = agent.name;
        reply.incarnation = agent.incarnation;
        for (auto &[id, attempt] : agent.attempts) {
            if (rangeOf(attempt.key) != witness.range)
                continue;
            attempt.owner = witness.owner;
            attempt.epoch = witness.epoch;
            attempt.nextSendAt = this->now;
            if (!attempt.granted)
                continue;
            reply.keys.emplace_back();
            auto &key = reply.keys.back();
            key.key = attempt.key;
            key.attempt = id;
            key.finished = attempt.phase == TargetAttempt::Phase::Settling;
            key.verdict = key.finished ? attempt.verdict : Verdict::MayHaveRun;
            key.answer = "done";
        }
        this->send(agent.name, witness.owner, std::move(reply));
    }

    void onSettleAck(AgentProcess &agent, const SettleAck &ack)
    {
        const auto found = agent.attempts.find(ack.attempt);
        if (found != agent.attempts.end() && found->second.phase == TargetAttempt::Phase::Settling)
            agent.attempts.erase(found);
    }

    void targetTick(AgentProcess &agent)
    {
        for (auto &[id, attempt] : agent.attempts) {
            if (attempt.phase == TargetAttempt::Phase::Running && attempt.finishAt <= this->now) {
                attempt.phase = TargetAttempt::Phase::Settling;
                attempt.verdict = Verdict::Ran;
                attempt.nextSendAt = this->now;
            }
            if (attempt.phase == TargetAttempt::Phase::Waiting && attempt.abandonAt <= this->now) {
                attempt.phase = TargetAttempt::Phase::Settling;
                this->replyNotRun(agent, id, attempt, ReasonCode::OwnerUnreachable);
            }
            if (attempt.phase == TargetAttempt::Phase::Running || attempt.nextSendAt > this->now)
                continue;
            attempt.nextSendAt = this->now + 700;
            if (attempt.phase == TargetAttempt::Phase::Waiting)
                this->send(agent.name, attempt.owner, this->makeBegin(agent, id, attempt));
            else
                this->send(agent.name, attempt.owner, this->makeSettle(agent, id, attempt));
        }
    }

    template <typename T>
    static T makeMessage(const AgentProcess &agent, const std::string &id,
                         const TargetAttempt &attempt)
    {
        T message;
        message.key = attempt.key;
        message.attempt = id;
        message.agent = agent.name;
        message.incarnation = agent.incarnation;
        message.range = rangeOf(attempt.key);
        message.epoch = attempt.epoch;
        return message;
    }

    static Begin makeBegin(const AgentProcess &agent, const std::string &id,
                           const TargetAttempt &attempt)
    {
        return makeMessage<Begin>(agent, id, attempt);
    }

    static Settle makeSettle(const AgentProcess &agent, const std::string &id,
                             const TargetAttempt &attempt)
    {
        auto settle = makeMessage<Settle>(agent, id, attempt);
        settle.verdict = attempt.verdict;
        settle.answer = "done";
        return settle;
    }

    // ---- Entries ----

    void entryTick(EntryProcess &entry)
    {
        this->schedule(500, [this, &entry] {
            this->readLog(entry.readPending, entry.name, entry.map.nextOffset,
                          [this, &entry](TimeMs delay, const LogRead &read) {
                              this->schedule(delay, [&entry, read] {
                                  entry.readPending = false;
                                  applyClaims(entry.map, read);
                              });
                          });
            this->propose(entry);
            this->entryTick(entry);
        });
    }

    void propose(EntryProcess &entry)
    {
        const auto lines = proposeTakeovers(entry.map, "west", entry.lastContact, {}, this->now,
                                            entry.timers, this->random);
        for (const auto &line : lines) {
            const auto record = parseClaimsRecord(line);
            if (record->kind == RecordKind::Epoch && record->range >= usedRangeCount)
                continue;
            this->append(entry.name, {line}, [](TimeMs, bool) {});
        }
    }

    // Each call starts a new attempt. The entry retries while the range has no owner, and after a
    // StartReply other than AlreadyClaimed; `tries` counts the attempts of one request.
    void startAttempt(EntryProcess &entry, const std::string &key, int tries)
    {
        const auto range = rangeOf(key);
        const auto owner = ownerOf(entry.map, "west", range);
        if (tries > 8)
            return;
        if (owner.agent.empty()) {
            this->schedule(
                1500, [this, &entry, key, tries] { this->startAttempt(entry, key, tries + 1); });
            return;
        }
        Start start;
        start.spec = std::make_unique<JobSpec>();
        start.spec->key = key;
        start.attempt = key + "#" + std::to_string(this->nextAttempt++);
        start.owner = owner.agent;
        start.range = range;
        start.epoch = owner.epoch;
        this->tries[start.attempt] = tries;
        this->send(entry.name, this->agents[this->randomIndex(this->agents.size())]->name,
                   std::move(start));
    }

    void deliverToEntry(EntryProcess &entry, const std::string &from, const Message &message)
    {
        if (std::holds_alternative<Report>(message))
            entry.lastContact[from] = this->now;
        else if (const auto *const reply = std::get_if<StartReply>(&message))
            this->onStartReply(entry, *reply);
    }

    void onStartReply(EntryProcess &entry, const StartReply &reply)
    {
        if (reply.reason == ReasonCode::AlreadyClaimed) {
            KeyQuery query;
            query.key = reply.job;
            query.range = rangeOf(reply.job);
            query.watch = true;
            const auto owner = ownerOf(entry.map, "west", query.range);
            if (!owner.agent.empty())
                this->send(entry.name, owner.agent, std::move(query));
            return;
        }
        const int tries = this->tries[reply.attempt] + 1;
        this->schedule(this->randomTime(100, 2000), [this, &entry, key = reply.job, tries] {
            this->startAttempt(entry, key, tries);
        });
    }

    Random random;
    std::priority_queue<Event> events;
    std::uint64_t nextOrder = 0;
    std::uint64_t nextAttempt = 0;
    std::map<std::string, TimeMs> logCuts;
    std::map<std::pair<std::string, std::string>, TimeMs> linkCuts;
    TimeMs logDownUntil = 0;
    std::set<std::string> keys;
    std::set<std::string> ranAttempts;
    std::map<std::string, int> tries;
};

// Adds a violation for each key that has not ended, each key that ran without a record at its
// owner, and each settlement that is not acknowledged.
inline void World::checkFinalStates()
{
    for (const auto &agent : this->agents)
        this->addCounters(*agent);
    RangeMap map;
    LogRead read;
    read.stream = claimsStream;
    for (std::size_t at = 0; at < this->log.size(); ++at) {
        read.lines.emplace_back();
        read.lines.back().offset = at;
        read.lines.back().text = this->log[at];
    }
    applyClaims(map, read);
    std::map<std::uint32_t, const Owner *> owners;
    for (std::uint32_t range = 0; range < usedRangeCount; ++range) {
        const auto owner = ownerOf(map, "west", range);
        for (const auto &agent : this->agents) {
            if (agent->name == owner.agent && agent->owner.ranges.count(range) > 0)
                owners[range] = &agent->owner;
        }
        if (owners.count(range) == 0)
            this->addViolation("range " + std::to_string(range) + " has no owner at the end");
        else if (!owners[range]->ranges.at(range).complete)
            ++this->stats.incompleteTakeovers;
    }
    for (const auto &key : this->keys) {
        const auto owner = owners.find(rangeOf(key));
        if (owner == owners.end())
            continue;
        const bool complete = owner->second->ranges.at(rangeOf(key)).complete;
        const auto found = owner->second->keys.find(key);
        const auto phase =
            found == owner->second->keys.end() ? KeyPhase::Released : found->second.phase;
        const int count = this->runsByKey[key];
        if (phase == KeyPhase::Claiming || phase == KeyPhase::Granted)
            this->addViolation(key + " did not end; holder " + found->second.attempt + " on "
                               + found->second.agent);
        if (phase == KeyPhase::Finished && count == 0)
            this->addViolation(key + " is finished but did not run");
        if (phase == KeyPhase::Released && complete && count > 0)
            this->addViolation(key + " ran but its owner has no record of it");
        const bool mayHaveRun =
            phase == KeyPhase::MayHaveRun || (phase == KeyPhase::Released && !complete);
        this->stats.finished += phase == KeyPhase::Finished ? 1 : 0;
        this->stats.mayHaveRun += mayHaveRun ? 1 : 0;
        this->stats.mayHaveRunButDidNot += mayHaveRun && count == 0 ? 1 : 0;
        this->stats.released += !mayHaveRun && phase == KeyPhase::Released ? 1 : 0;
    }
    for (const auto &agent : this->agents) {
        for (const auto &[id, attempt] : agent->attempts) {
            if (attempt.granted)
                this->addViolation(agent->name + " has no SettleAck for " + id);
        }
    }
}

} // namespace flamingo::tests

#endif

// Time, processes, network, log and workers of the simulated system.
//
// Events wait in a priority queue by time, and by insertion order at equal times, so that a seed
// determines the run. Events of a process go through post(), which defers them while the process is
// frozen and drops them when the process has died or was restarted.

#include "system_simulation.h"

#include "flamingo/adapters/codec.h"

#include <algorithm>

namespace flamingo::tests {
namespace {

constexpr TimeMs tickMs = 100;
constexpr TimeMs reconnectIntervalMs = 300;
constexpr TimeMs appendTimeoutMs = 2000; // as in LogClient
constexpr TimeMs callTimeoutMs = 1000; // as in WorkerClient
constexpr TimeMs callRetryMs = 200;
constexpr TimeMs stopRetryMs = 100;
constexpr TimeMs retryMaxMs = 1000;
constexpr std::uint32_t maxBusyStarts = 3;
constexpr std::uint64_t refusedOneIn = 4; // calls, at a busy worker
constexpr TimeMs renewIntervalMs = 1000;
constexpr TimeMs workerLeaseMs = 3000;
constexpr std::size_t maxLinesPerRead = 500;
constexpr std::size_t traceLines = 20000;

} // namespace

// ---- Time ----

void SystemSimulation::runAfter(TimeMs delay, std::function<void()> action)
{
    this->scheduledEvents.push({this->now + delay, this->nextOrder++, std::move(action)});
}

void SystemSimulation::runUntil(TimeMs end)
{
    while (!this->scheduledEvents.empty() && this->scheduledEvents.top().at <= end) {
        if (!this->violations.empty())
            return;
        const ScheduledEvent event = this->scheduledEvents.top();
        this->scheduledEvents.pop();
        this->now = std::max(this->now, event.at);
        event.action();
    }
    this->now = end;
}

TimeMs SystemSimulation::randomBetween(TimeMs low, TimeMs high)
{
    return std::uniform_int_distribution<TimeMs>(low, high)(this->random);
}

std::size_t SystemSimulation::randomIndex(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
}

bool SystemSimulation::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

void SystemSimulation::addTrace(const std::string &text)
{
    this->trace.push_back(std::to_string(this->now) + " " + text);
    if (this->trace.size() > traceLines)
        this->trace.pop_front();
}

void SystemSimulation::reportViolation(const std::string &text)
{
    this->violations.push_back(text + " (at " + std::to_string(this->now) + ")");
    this->addTrace("VIOLATION " + text);
}

// ---- Processes ----

Process &SystemSimulation::addProcess(const std::string &name, ProcessKind kind,
                                      const std::string &region, const std::string &dataCentre,
                                      const std::string &rack)
{
    this->processes.push_back(std::make_unique<Process>());
    Process &process = *this->processes.back();
    process.info.process = name;
    process.info.kind = kind;
    process.info.region = region;
    process.info.dataCentre = dataCentre;
    process.info.rack = rack;
    process.info.address = name;
    this->processByName[name] = &process;
    (kind == ProcessKind::Entry ? this->entries : this->agents).push_back(&process);
    if (kind == ProcessKind::Agent) {
        this->hosts.push_back(std::make_unique<WorkerHost>());
        this->hosts.back()->name = name;
        process.host = this->hosts.back().get();
    }
    return process;
}

void SystemSimulation::start(Process &process)
{
    if (process.alive)
        return;
    process.alive = true;
    process.stopping = false;
    process.startedAt = this->now;
    process.lastFaultEnd = this->now;
    process.frozenUntil = 0;
    process.info.incarnation = this->nextIncarnation++;
    process.tableVersion = 0;
    process.drainingSince = -1;
    process.logCursors = {{std::string(claimsStream), 0}};
    process.eventCursor = 0;
    process.eventReadPending = false;
    process.stoppingTasks.clear();
    process.unansweredStarts.clear();
    process.busyStarts.clear();
    const PeerInfo &info = process.info;
    this->addTrace("start " + info.process + " incarnation " + std::to_string(info.incarnation));
    if (info.kind == ProcessKind::Entry) {
        EntryOptions options;
        options.name = info.process;
        options.region = info.region;
        options.dataCentre = info.dataCentre;
        options.incarnation = info.incarnation;
        process.entry.emplace(makeEntry(options));
        process.logCursors[std::string(tableStream)] = 0;
        this->tailStream(process, std::string(tableStream));
    } else {
        AgentOptions options;
        options.name = info.process;
        options.region = info.region;
        options.dataCentre = info.dataCentre;
        options.rack = info.rack;
        options.incarnation = info.incarnation;
        OwnerOptions owner;
        owner.self = info.process;
        owner.region = info.region;
        owner.incarnation = info.incarnation;
        process.node.emplace(makeAgentNode(options, owner));
        process.host->lastFaultEnd = this->now;
        this->renewLeasesPeriodically(process, info.incarnation);
        this->readWorkerEvents(process);
    }
    this->tailStream(process, std::string(claimsStream));
    this->tickPeriodically(process, info.incarnation);
}

void SystemSimulation::kill(Process &process)
{
    if (!process.alive)
        return;
    this->addTrace("kill " + process.info.process);
    process.alive = false;
    process.entry.reset();
    process.node.reset();
    process.deferredEvents.clear();
    process.lastFaultEnd = this->now;
    if (process.host != nullptr)
        process.host->lastFaultEnd = this->now;
    for (const auto &other : this->processes) {
        if (other.get() != &process)
            this->breakLink(process.info.process, other->info.process, 1000);
    }
    for (auto &[id, request] : this->requests) {
        if (request.entry != process.info.process || request.replied
            || request.incarnation != process.info.incarnation || request.abandoned)
            continue;
        request.abandoned = true;
        ++this->statistics.abandonedRequests;
        this->openRequests.erase(id);
    }
}

void SystemSimulation::freeze(Process &process, TimeMs duration)
{
    if (!process.alive)
        return;
    this->addTrace("freeze " + process.info.process + " for " + std::to_string(duration));
    process.frozenUntil = std::max(process.frozenUntil, this->now + duration);
    this->runAfter(duration, [this, &process] { this->thaw(process); });
}

void SystemSimulation::thaw(Process &process)
{
    if (process.frozenUntil == 0 || process.frozenUntil > this->now)
        return;
    this->addTrace("thaw " + process.info.process);
    process.frozenUntil = 0;
    process.lastFaultEnd = this->now;
    if (process.host != nullptr)
        process.host->lastFaultEnd = this->now;
    while (!process.deferredEvents.empty() && process.alive) {
        const auto event = std::move(process.deferredEvents.front());
        process.deferredEvents.pop_front();
        event();
    }
    if (process.alive)
        this->handle(process, Tick());
}

void SystemSimulation::post(Process &process, TimeMs delay, std::function<void()> action)
{
    const std::uint64_t incarnation = process.info.incarnation;
    this->runAfter(delay, [this, &process, incarnation, action = std::move(action)] {
        if (!process.alive || process.info.incarnation != incarnation)
            return;
        if (process.frozenUntil > this->now) {
            process.deferredEvents.push_back([&process, incarnation, action] {
                if (process.alive && process.info.incarnation == incarnation)
                    action();
            });
            return;
        }
        action();
    });
}

void SystemSimulation::tickPeriodically(Process &process, std::uint64_t incarnation)
{
    if (!process.alive || process.info.incarnation != incarnation)
        return;
    if (process.frozenUntil <= this->now)
        this->handle(process, Tick());
    this->runAfter(tickMs,
                   [this, &process, incarnation] { this->tickPeriodically(process, incarnation); });
}

template <typename Event>
void SystemSimulation::handle(Process &process, const Event &event)
{
    Outbox out;
    if (process.entry) {
        if constexpr (std::is_constructible_v<EntryEvent, Event>)
            handleEntry(*process.entry, event, this->now, this->random, out);
    } else if (process.node) {
        if constexpr (std::is_constructible_v<NodeEvent, Event>)
            handleNode(*process.node, event, this->now, this->random, out);
    }
    this->checkTable(process);
    this->applyEffects(process, out);
}

void SystemSimulation::applyEffects(Process &process, const Outbox &out)
{
    for (const Send &send : out.sends)
        this->sendMessage(process, send);
    for (const Append &append : out.appends)
        this->appendToLog(process, append);
    for (const WorkerCommand &command : out.commands)
        this->executeCommand(process, command);
    for (const Reply &reply : out.replies)
        this->onReply(process, reply);
    if (process.node && ownerMustRestart(process.node->owner) && !process.stopping) {
        this->addTrace(process.info.process + " requests a restart of itself");
        process.stopping = true;
        Drain drain;
        drain.drain = true;
        process.drainingSince = this->now;
        this->handle(process, PeerMessage{process.info.process, drain});
        this->exitWhenIdle(process, process.info.incarnation);
    }
}

Process *SystemSimulation::findProcess(std::string_view name)
{
    const auto found = this->processByName.find(name);
    return found == this->processByName.end() ? nullptr : found->second;
}

// ---- Network ----

bool SystemSimulation::reachable(const Process &a, const Process &b) const
{
    if (this->isolatedProcesses.count(a.info.process) > 0
        || this->isolatedProcesses.count(b.info.process) > 0)
        return false;
    return !this->regionsPartitioned || a.info.region == b.info.region;
}

Link &SystemSimulation::linkOf(const std::string &a, const std::string &b)
{
    return this->links[std::minmax(a, b)];
}

TimeMs SystemSimulation::latency(const Process &a, const Process &b)
{
    const TimeMs base = a.info.region == b.info.region ? 1 : 8;
    if (this->now < this->messageFaultsUntil && this->chance(0.05))
        return this->randomBetween(base, 2000);
    return base + this->randomBetween(0, 2);
}

bool SystemSimulation::connect(Process &a, Process &b)
{
    Link &link = this->linkOf(a.info.process, b.info.process);
    if (link.up)
        return true;
    if (!a.alive || !b.alive || a.frozenUntil > this->now || b.frozenUntil > this->now
        || !this->reachable(a, b))
        return false;
    link.up = true;
    ++link.epoch;
    Process *ends[2] = {&a, &b};
    if (b.info.process < a.info.process)
        std::swap(ends[0], ends[1]);
    for (int side = 0; side < 2; ++side) {
        Process &to = *ends[side];
        const PeerInfo peer = ends[1 - side]->info;
        if (link.peerUpDelivered[side])
            this->deliverPeerDown(to, peer.process, side, link);
        const TimeMs at = this->now + this->latency(a, b);
        link.peerUpDelivered[side] = true;
        link.lastArrival[side] = std::max(at, link.lastArrival[side]);
        this->post(to, link.lastArrival[side] - this->now,
                   [this, &to, peer] { this->handle(to, PeerUp{peer}); });
    }
    return true;
}

void SystemSimulation::deliverPeerDown(Process &receiver, const std::string &peer, int side,
                                       Link &link)
{
    link.peerUpDelivered[side] = false;
    this->post(receiver, 0, [this, &receiver, peer] { this->handle(receiver, PeerDown{peer}); });
}

void SystemSimulation::breakLink(const std::string &a, const std::string &b,
                                 TimeMs maxDetectionDelay)
{
    Link &link = this->linkOf(a, b);
    if (!link.up)
        return;
    link.up = false;
    ++link.epoch;
    const std::string names[2] = {std::min(a, b), std::max(a, b)};
    for (int side = 0; side < 2; ++side) {
        const std::uint64_t epoch = link.epoch;
        Process &to = *this->findProcess(names[side]);
        const std::uint64_t incarnation = to.info.incarnation;
        if (!to.alive) {
            link.peerUpDelivered[side] = false;
            continue;
        }
        const std::string peer = names[1 - side];
        this->runAfter(this->randomBetween(0, maxDetectionDelay),
                       [this, &to, &link, side, epoch, peer, incarnation] {
                           if (link.epoch != epoch || to.info.incarnation != incarnation
                               || !link.peerUpDelivered[side])
                               return;
                           this->deliverPeerDown(to, peer, side, link);
                       });
    }
}

void SystemSimulation::reconnectPeers()
{
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        Process &entry = *this->entries[i];
        for (std::size_t j = i + 1; j < this->entries.size(); ++j) {
            if (this->chance(0.7))
                this->connect(entry, *this->entries[j]);
        }
        for (Process *agent : this->agents) {
            if (agent->info.region == entry.info.region && this->chance(0.7))
                this->connect(entry, *agent);
        }
    }
    this->checkGangs();
    this->runAfter(reconnectIntervalMs, [this] { this->reconnectPeers(); });
}

void SystemSimulation::breakUnreachableLinks()
{
    for (auto &[names, link] : this->links) {
        if (link.up
            && !this->reachable(*this->findProcess(names.first), *this->findProcess(names.second)))
            this->breakLink(names.first, names.second, 5000);
    }
}

void SystemSimulation::sendMessage(Process &from, const Send &send)
{
    Process *to = this->findProcess(send.to);
    if (to == nullptr)
        return;
    if (to == &from) {
        if (const auto *drain = std::get_if<Drain>(&send.message))
            from.drainingSince = drain->drain ? this->now : -1;
        this->post(from, 0, [this, &from, message = send.message] {
            this->handle(from, PeerMessage{from.info.process, message});
        });
        return;
    }
    if (!this->connect(from, *to))
        return;
    this->deliverMessage(from, *to, send.message, this->linkOf(from.info.process, send.to));
}

void SystemSimulation::deliverMessage(Process &from, Process &to, const Message &message,
                                      Link &link)
{
    if (from.info.region != to.info.region) {
        Reason reason;
        const auto frame = adapters::encodeFrame(message, reason);
        ++this->statistics.messagesBetweenRegions;
        this->statistics.bytesBetweenRegions += frame ? frame->size() : 0;
    }
    const bool messageFaults = this->now < this->messageFaultsUntil;
    if (messageFaults && this->chance(0.05))
        return;
    const int copies = messageFaults && this->chance(0.05) ? 2 : 1;
    const int side = to.info.process < from.info.process ? 0 : 1;
    for (int i = 0; i < copies; ++i) {
        TimeMs at = this->now + this->latency(from, to);
        if (!messageFaults || !this->chance(0.2)) {
            at = std::max(at, link.lastArrival[side]);
            link.lastArrival[side] = at;
        }
        this->runAfter(at - this->now, [this, &from, &to, &link, epoch = link.epoch, message] {
            if (link.epoch != epoch)
                return;
            this->post(to, 0, [this, &from, &to, message] {
                if (const auto *drain = std::get_if<Drain>(&message)) {
                    if (!drain->drain)
                        to.drainingSince = -1;
                    else if (to.drainingSince < 0)
                        to.drainingSince = this->now;
                }
                this->handle(to, PeerMessage{from.info.process, message});
            });
        });
    }
}

// ---- Log ----

bool SystemSimulation::logReachable(const Process &process) const
{
    if (this->regionsPartitioned && process.info.region != "west")
        return false;
    return this->now >= this->logDownUntil;
}

void SystemSimulation::applyAppend(const Append &append, bool &ok, std::uint64_t &offset)
{
    const auto result = standin::appendLines(this->log, append.stream, append.lines, this->now);
    ok = result.has_value();
    offset = result.value_or(0);
    if (!ok)
        return;
    ++this->statistics.appends;
    this->wakeReaders(append.stream);
}

void SystemSimulation::appendToLog(Process &process, const Append &append)
{
    const auto postResult = [this, &process, id = append.id](TimeMs delay, bool ok,
                                                             std::uint64_t offset) {
        this->post(process, delay, [this, &process, id, ok, offset] {
            this->handle(process, LogAppended{id, ok, offset});
        });
    };
    const TimeMs logLatency = process.info.region == "west" ? 1 : 8;
    if (!this->logReachable(process)) {
        postResult(this->regionsPartitioned ? appendTimeoutMs : 2 * logLatency, false, 0);
        return;
    }
    const bool slowLog = this->now < this->logSlowUntil;
    const bool loseAnswer = this->now < this->logAnswerLossUntil && this->chance(0.4);
    // An append whose caller has timed out may still take effect later.
    const TimeMs lateEffect = loseAnswer && this->chance(0.5) ? this->randomBetween(0, 4000) : 0;
    this->runAfter(logLatency + lateEffect,
                   [this, append, postResult, logLatency, slowLog, loseAnswer] {
                       bool ok = false;
                       std::uint64_t offset = 0;
                       this->applyAppend(append, ok, offset);
                       const TimeMs answerDelay = slowLog ? this->randomBetween(0, 3000) : 0;
                       if (!loseAnswer && answerDelay < appendTimeoutMs)
                           postResult(logLatency + answerDelay, ok, offset);
                       else if (!loseAnswer)
                           postResult(appendTimeoutMs, false, 0);
                   });
    if (loseAnswer)
        postResult(appendTimeoutMs, false, 0);
}

void SystemSimulation::tailStream(Process &process, const std::string &stream)
{
    const TimeMs logLatency = process.info.region == "west" ? 1 : 8;
    if (!this->logReachable(process)) {
        this->post(process, this->randomBetween(200, 2000),
                   [this, &process, stream] { this->tailStream(process, stream); });
        return;
    }
    this->post(process, logLatency, [this, &process, stream] { this->readLog(process, stream); });
}

void SystemSimulation::readLog(Process &process, const std::string &stream)
{
    if (!this->logReachable(process)) {
        this->tailStream(process, stream);
        return;
    }
    const auto slice =
        standin::readLines(this->log, stream, process.logCursors[stream], maxLinesPerRead);
    if (slice.lines.empty()) {
        this->waitingReaders.insert({process.info.process, process.info.incarnation, stream});
        return;
    }
    LogRead read;
    read.stream = stream;
    for (std::size_t i = 0; i < slice.lines.size(); ++i) {
        wire::LogLineT line;
        line.offset = slice.first + i;
        line.text = slice.lines[i];
        read.lines.push_back(std::move(line));
    }
    read.next = slice.first + slice.lines.size();
    const TimeMs logLatency = process.info.region == "west" ? 1 : 8;
    const TimeMs answerDelay = this->now < this->logSlowUntil ? this->randomBetween(0, 3000) : 0;
    this->post(process, logLatency + answerDelay, [this, &process, stream, read] {
        process.logCursors[stream] = read.next;
        this->handle(process, read);
        this->tailStream(process, stream);
    });
}

void SystemSimulation::wakeReaders(const std::string &stream)
{
    for (auto at = this->waitingReaders.begin(); at != this->waitingReaders.end();) {
        const auto [name, incarnation, waited] = *at;
        Process &process = *this->findProcess(name);
        const bool current = process.alive && process.info.incarnation == incarnation;
        if (current && waited != stream) {
            ++at;
            continue;
        }
        at = this->waitingReaders.erase(at);
        if (current)
            this->tailStream(process, stream);
    }
}

// ---- Workers ----

Process &SystemSimulation::agentOf(const WorkerHost &host)
{
    return *this->findProcess(host.name);
}

void SystemSimulation::executeCommand(Process &process, const WorkerCommand &command)
{
    if (const auto *run = std::get_if<RunTask>(&command))
        this->runTask(process, *run);
    else if (const auto *checkpoint = std::get_if<CheckpointTask>(&command))
        this->checkpointTask(process, *checkpoint);
    else if (const auto *stop = std::get_if<StopTask>(&command)) {
        if (process.stoppingTasks.insert(stop->task).second)
            this->stopTask(process, *stop, stopRetryMs);
    }
}

void SystemSimulation::runTask(Process &process, const RunTask &command)
{
    if (process.stoppingTasks.count(command.task) > 0)
        return;
    WorkerHost &host = *process.host;
    const std::uint64_t holder = process.info.incarnation;
    const bool loseAnswer = this->now < this->messageFaultsUntil && this->chance(0.1);
    const auto retry = [this, &process, command] {
        this->post(process, callTimeoutMs + callRetryMs,
                   [this, &process, command] { this->runTask(process, command); });
    };
    if (this->now < host.downUntil) {
        process.unansweredStarts.insert(command.task);
        retry();
        return;
    }
    if (this->callRefused()) {
        const bool givenUp = ++process.busyStarts[command.task] >= maxBusyStarts
            && process.unansweredStarts.count(command.task) == 0;
        this->post(process, givenUp ? 2 : callRetryMs, [this, &process, command, givenUp] {
            if (givenUp)
                this->handle(process, TaskStarted{command.task, false, "the worker is busy"});
            else
                this->runTask(process, command);
        });
        return;
    }
    if (loseAnswer)
        process.unansweredStarts.insert(command.task);
    this->runAfter(1, [this, &process, &host, holder, command, loseAnswer] {
        standin::advance(host.worker, this->now);
        bool ok = standin::acceptHolder(host.worker, holder, this->now);
        std::string detail = "the agent was replaced";
        bool fresh = false;
        if (ok) {
            const bool known = host.worker.tasks.count(command.task) > 0;
            ok = standin::startTask(host.worker,
                                    {command.task, command.job, command.payload, command.checkpoint,
                                     command.mask, command.cores, command.memoryMib, workerLeaseMs},
                                    this->now, detail, fresh);
            if (!known && host.worker.tasks.count(command.task) > 0)
                this->onRunStarted(host, command, process);
        }
        this->onWorkerChanged(host);
        if (loseAnswer || process.info.incarnation != holder)
            return;
        this->post(process, 1, [this, &process, command, ok, detail] {
            const bool mayHaveStarted = !ok && process.unansweredStarts.count(command.task) > 0;
            this->handle(process, TaskStarted{command.task, ok, detail, mayHaveStarted});
        });
    });
    if (loseAnswer)
        retry();
}

void SystemSimulation::checkpointTask(Process &process, const CheckpointTask &command)
{
    WorkerHost &host = *process.host;
    if (this->callRefused()) {
        this->post(process, callRetryMs, [this, &process, command] {
            if (process.stoppingTasks.count(command.task) == 0)
                this->checkpointTask(process, command);
        });
        return;
    }
    standin::advance(host.worker, this->now);
    const standin::Task *task = standin::runningTask(host.worker, command.task);
    const bool down = this->now < host.downUntil;
    const TimeMs wait = down ? callTimeoutMs : task == nullptr ? 2 : task->plan.checkpointMs + 2;
    this->onWorkerChanged(host);
    this->post(process, wait, [this, &process, &host, command, down] {
        standin::advance(host.worker, this->now);
        const std::string text =
            down || host.worker.frozen ? "" : standin::makeCheckpoint(host.worker, command.task);
        this->onWorkerChanged(host);
        this->handle(process, TaskCheckpointed{command.task, !text.empty(), text});
    });
}

bool SystemSimulation::callRefused()
{
    return this->busyWorkers && this->refusalRandom() % refusedOneIn == 0;
}

void SystemSimulation::stopTask(Process &process, const StopTask &command, TimeMs retryDelay)
{
    WorkerHost &host = *process.host;
    const std::uint64_t holder = process.info.incarnation;
    const auto retry = [this, &process, command, retryDelay](TimeMs answerDelay) {
        this->post(process, answerDelay + retryDelay, [this, &process, command, retryDelay] {
            this->stopTask(process, command, std::min(retryDelay * 2, retryMaxMs));
        });
    };
    if (this->now < host.downUntil) {
        retry(callTimeoutMs);
        return;
    }
    if (this->callRefused()) {
        retry(2);
        return;
    }
    this->runAfter(1, [this, &process, &host, holder, command, retry] {
        standin::advance(host.worker, this->now);
        bool stopped = true;
        if (standin::acceptHolder(host.worker, holder, this->now))
            stopped = standin::stopTask(host.worker, command.task, this->now);
        this->onWorkerChanged(host);
        if (process.info.incarnation != holder)
            return;
        if (!stopped) {
            retry(1);
            return;
        }
        this->post(process, 1, [this, &process, command] {
            process.stoppingTasks.erase(command.task);
            this->handle(process, TaskStopped{command.task});
        });
    });
}

void SystemSimulation::renewLeasesPeriodically(Process &process, std::uint64_t incarnation)
{
    if (!process.alive || process.info.incarnation != incarnation)
        return;
    this->runAfter(renewIntervalMs, [this, &process, incarnation] {
        this->renewLeasesPeriodically(process, incarnation);
    });
    this->renewLeases(process, incarnation);
}

void SystemSimulation::renewLeases(Process &process, std::uint64_t incarnation)
{
    if (process.frozenUntil > this->now)
        return;
    WorkerHost &host = *process.host;
    if (this->now < host.downUntil) {
        this->post(process, callTimeoutMs,
                   [this, &process] { this->handle(process, LeaseRenewed{false}); });
        return;
    }
    if (this->callRefused()) {
        this->post(process, 2, [this, &process, incarnation] {
            this->handle(process, LeaseRenewed{false});
            this->post(process, callRetryMs,
                       [this, &process, incarnation] { this->renewLeases(process, incarnation); });
        });
        return;
    }
    this->runAfter(1, [this, &process, &host, incarnation] {
        standin::advance(host.worker, this->now);
        const bool ok = standin::acceptHolder(host.worker, incarnation, this->now);
        for (const auto &[task, state] : host.worker.tasks) {
            if (ok && process.stoppingTasks.count(task) == 0)
                standin::renewLease(host.worker, task, workerLeaseMs, this->now);
        }
        this->onWorkerChanged(host);
        if (process.info.incarnation != incarnation)
            return;
        this->post(process, 1, [this, &process, ok] { this->handle(process, LeaseRenewed{ok}); });
    });
}

void SystemSimulation::onWorkerChanged(WorkerHost &host)
{
    this->observeWorkerEvents(host);
    const auto due = standin::nextDueTime(host.worker);
    const std::uint64_t timer = ++host.timerGeneration;
    if (due) {
        this->runAfter(std::max<TimeMs>(*due - this->now, 0), [this, &host, timer] {
            if (host.timerGeneration != timer)
                return;
            standin::advance(host.worker, this->now);
            this->onWorkerChanged(host);
        });
    }
    Process &agent = this->agentOf(host);
    if (agent.alive)
        this->readWorkerEvents(agent);
}

void SystemSimulation::readWorkerEvents(Process &process)
{
    WorkerHost &host = *process.host;
    if (process.eventReadPending || process.eventCursor >= host.worker.nextSeq)
        return;
    process.eventReadPending = true;
    const TimeMs wait =
        this->now < host.downUntil ? host.downUntil - this->now + callRetryMs : TimeMs(2);
    this->post(process, wait, [this, &process, &host] {
        process.eventReadPending = false;
        if (this->now < host.downUntil) {
            this->readWorkerEvents(process);
            return;
        }
        std::vector<standin::WorkerEvent> read;
        for (const auto &event : host.worker.events) {
            if (event.seq >= process.eventCursor)
                read.push_back(event);
        }
        process.eventCursor = host.worker.nextSeq;
        for (const auto &event : read) {
            if (event.type == "finished")
                this->handle(process,
                             TaskFinished{event.task, event.ok, event.answer, event.detail});
            else if (event.type == "stopped")
                this->handle(process, TaskStopped{event.task});
            else if (event.type == "usage")
                this->handle(process,
                             TaskUsage{event.task, event.cores, event.memoryMib, event.ranMs});
        }
        this->readWorkerEvents(process);
    });
}

template void SystemSimulation::handle(Process &, const Submit &);
template void SystemSimulation::handle(Process &, const CallerGone &);
template void SystemSimulation::handle(Process &, const QueryJob &);
template void SystemSimulation::handle(Process &, const CancelJob &);
template void SystemSimulation::handle(Process &, const EditTable &);
template void SystemSimulation::handle(Process &, const DrainTarget &);
template void SystemSimulation::handle(Process &, const StopAccepting &);
template void SystemSimulation::handle(Process &, const PeerMessage &);

} // namespace flamingo::tests

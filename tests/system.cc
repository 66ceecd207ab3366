// Time, processes, network, log and workers of the simulated system. Every event of a process goes
// through post(), which holds it back while the process is frozen and drops it when the process was
// replaced.

#include "system.h"

#include "flamingo/adapters/codec.h"

#include <algorithm>

namespace flamingo::tests {
namespace {

constexpr TimeMs tickMs = 100;
constexpr TimeMs keepConnectedMs = 300;
constexpr TimeMs appendTimeoutMs = 2000; // as LogClient
constexpr TimeMs callTimeoutMs = 1000; // as WorkerClient
constexpr TimeMs callRetryMs = 200;
constexpr TimeMs renewIntervalMs = 1000;
constexpr TimeMs workerLeaseMs = 3000;
constexpr std::size_t maxLinesPerRead = 500;
constexpr std::size_t traceLines = 20000;

} // namespace

// ---- Time ----

void System::after(TimeMs delay, std::function<void()> run)
{
    this->events.push({this->now + delay, this->order++, std::move(run)});
}

void System::runUntil(TimeMs end)
{
    while (!this->events.empty() && this->events.top().at <= end) {
        if (!this->violations.empty())
            return;
        const Scheduled event = this->events.top();
        this->events.pop();
        this->now = std::max(this->now, event.at);
        event.run();
    }
    this->now = end;
}

TimeMs System::between(TimeMs low, TimeMs high)
{
    return std::uniform_int_distribution<TimeMs>(low, high)(this->random);
}

std::size_t System::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
}

bool System::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
}

void System::addTrace(const std::string &text)
{
    this->trace.push_back(std::to_string(this->now) + " " + text);
    if (this->trace.size() > traceLines)
        this->trace.pop_front();
}

void System::violate(const std::string &text)
{
    this->violations.push_back(text + " (at " + std::to_string(this->now) + ")");
    this->addTrace("VIOLATION " + text);
}

// ---- Processes ----

Process &System::addProcess(const std::string &name, ProcessKind kind, const std::string &region,
                            const std::string &dataCentre, const std::string &rack)
{
    this->processes.push_back(std::make_unique<Process>());
    Process &process = *this->processes.back();
    process.info.process = name;
    process.info.kind = kind;
    process.info.region = region;
    process.info.dataCentre = dataCentre;
    process.info.rack = rack;
    process.info.address = name;
    this->byName[name] = &process;
    (kind == ProcessKind::Entry ? this->entries : this->agents).push_back(&process);
    if (kind == ProcessKind::Agent) {
        this->hosts.push_back(std::make_unique<WorkerHost>());
        this->hosts.back()->name = name;
        process.host = this->hosts.back().get();
    }
    return process;
}

void System::start(Process &process)
{
    if (process.alive)
        return;
    process.alive = true;
    process.stopping = false;
    process.startedAt = this->now;
    process.faultAt = this->now;
    process.frozenUntil = 0;
    process.info.incarnation = this->nextIncarnation++;
    process.version = 0;
    process.drainingSince = -1;
    process.cursors = {{std::string(claimsStream), 0}};
    process.eventCursor = 0;
    process.eventRead = false;
    process.stoppingTasks.clear();
    const PeerInfo &info = process.info;
    this->addTrace("start " + info.process + " incarnation " + std::to_string(info.incarnation));
    if (info.kind == ProcessKind::Entry) {
        EntryOptions options;
        options.name = info.process;
        options.region = info.region;
        options.dataCentre = info.dataCentre;
        options.incarnation = info.incarnation;
        process.entry.emplace(makeEntry(options));
        process.cursors[std::string(tableStream)] = 0;
        this->tail(process, std::string(tableStream));
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
        process.host->faultAt = this->now;
        this->renew(process, info.incarnation);
        this->pumpEvents(process);
    }
    this->tail(process, std::string(claimsStream));
    this->tick(process, info.incarnation);
}

void System::kill(Process &process)
{
    if (!process.alive)
        return;
    this->addTrace("kill " + process.info.process);
    process.alive = false;
    process.entry.reset();
    process.node.reset();
    process.backlog.clear();
    process.faultAt = this->now;
    if (process.host != nullptr)
        process.host->faultAt = this->now;
    for (const auto &other : this->processes) {
        if (other.get() != &process)
            this->breakLink(process.info.process, other->info.process, 1000);
    }
    for (auto &[id, request] : this->requests) {
        if (request.entry != process.info.process || request.ended
            || request.incarnation != process.info.incarnation || request.lost)
            continue;
        request.lost = true;
        ++this->figures.lostCallers;
        this->open.erase(id);
    }
}

void System::freeze(Process &process, TimeMs duration)
{
    if (!process.alive)
        return;
    this->addTrace("freeze " + process.info.process + " for " + std::to_string(duration));
    process.frozenUntil = std::max(process.frozenUntil, this->now + duration);
    this->after(duration, [this, &process] { this->thaw(process); });
}

void System::thaw(Process &process)
{
    if (process.frozenUntil == 0 || process.frozenUntil > this->now)
        return;
    this->addTrace("thaw " + process.info.process);
    process.frozenUntil = 0;
    process.faultAt = this->now;
    if (process.host != nullptr)
        process.host->faultAt = this->now;
    while (!process.backlog.empty() && process.alive) {
        const auto run = std::move(process.backlog.front());
        process.backlog.pop_front();
        run();
    }
    if (process.alive)
        this->handle(process, Tick());
}

void System::post(Process &process, TimeMs delay, std::function<void()> run)
{
    const std::uint64_t incarnation = process.info.incarnation;
    this->after(delay, [this, &process, incarnation, run = std::move(run)] {
        if (!process.alive || process.info.incarnation != incarnation)
            return;
        if (process.frozenUntil > this->now) {
            process.backlog.push_back([&process, incarnation, run] {
                if (process.alive && process.info.incarnation == incarnation)
                    run();
            });
            return;
        }
        run();
    });
}

void System::tick(Process &process, std::uint64_t incarnation)
{
    if (!process.alive || process.info.incarnation != incarnation)
        return;
    if (process.frozenUntil <= this->now)
        this->handle(process, Tick());
    this->after(tickMs, [this, &process, incarnation] { this->tick(process, incarnation); });
}

template <typename Event>
void System::handle(Process &process, const Event &event)
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

void System::applyEffects(Process &process, const Outbox &out)
{
    for (const Send &send : out.sends)
        this->send(process, send);
    for (const Append &append : out.appends)
        this->append(process, append);
    for (const WorkerCommand &command : out.commands)
        this->command(process, command);
    for (const Reply &reply : out.replies)
        this->onReply(process, reply);
    if (process.node && ownerMustRestart(process.node->owner) && !process.stopping) {
        this->addTrace(process.info.process + " must restart");
        process.stopping = true;
        Drain drain;
        drain.drain = true;
        process.drainingSince = this->now;
        this->handle(process, PeerMessage{process.info.process, drain});
        this->exitWhenIdle(process, process.info.incarnation);
    }
}

Process *System::find(std::string_view name)
{
    const auto found = this->byName.find(name);
    return found == this->byName.end() ? nullptr : found->second;
}

// ---- Network ----

bool System::reachable(const Process &a, const Process &b) const
{
    if (this->isolated.count(a.info.process) > 0 || this->isolated.count(b.info.process) > 0)
        return false;
    return !this->cut || a.info.region == b.info.region;
}

Link &System::linkOf(const std::string &a, const std::string &b)
{
    return this->links[std::minmax(a, b)];
}

TimeMs System::latency(const Process &a, const Process &b)
{
    const TimeMs base = a.info.region == b.info.region ? 1 : 8;
    if (this->now < this->noiseUntil && this->chance(0.05))
        return this->between(base, 2000);
    return base + this->between(0, 2);
}

// Side 0 of a link is the process with the smaller name.
bool System::connect(Process &a, Process &b)
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
        if (link.seenUp[side])
            this->giveDown(to, peer.process, side, link);
        const TimeMs at = this->now + this->latency(a, b);
        link.seenUp[side] = true;
        link.last[side] = std::max(at, link.last[side]);
        this->post(to, link.last[side] - this->now,
                   [this, &to, peer] { this->handle(to, PeerUp{peer}); });
    }
    return true;
}

void System::giveDown(Process &to, const std::string &peer, int side, Link &link)
{
    link.seenUp[side] = false;
    this->post(to, 0, [this, &to, peer] { this->handle(to, PeerDown{peer}); });
}

void System::breakLink(const std::string &a, const std::string &b, TimeMs maxNotice)
{
    Link &link = this->linkOf(a, b);
    if (!link.up)
        return;
    link.up = false;
    ++link.epoch;
    const std::string names[2] = {std::min(a, b), std::max(a, b)};
    for (int side = 0; side < 2; ++side) {
        const std::uint64_t epoch = link.epoch;
        Process &to = *this->find(names[side]);
        const std::uint64_t incarnation = to.info.incarnation;
        if (!to.alive) {
            link.seenUp[side] = false;
            continue;
        }
        const std::string peer = names[1 - side];
        this->after(
            this->between(0, maxNotice), [this, &to, &link, side, epoch, peer, incarnation] {
                if (link.epoch != epoch || to.info.incarnation != incarnation || !link.seenUp[side])
                    return;
                this->giveDown(to, peer, side, link);
            });
    }
}

void System::keepConnected()
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
    this->after(keepConnectedMs, [this] { this->keepConnected(); });
}

void System::breakUnreachable()
{
    for (auto &[names, link] : this->links) {
        if (link.up && !this->reachable(*this->find(names.first), *this->find(names.second)))
            this->breakLink(names.first, names.second, 5000);
    }
}

void System::send(Process &from, const Send &send)
{
    Process *to = this->find(send.to);
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
    this->deliver(from, *to, send.message, this->linkOf(from.info.process, send.to));
}

void System::deliver(Process &from, Process &to, const Message &message, Link &link)
{
    if (from.info.region != to.info.region) {
        Reason reason;
        const auto frame = adapters::encodeFrame(message, reason);
        ++this->figures.messagesBetweenRegions;
        this->figures.bytesBetweenRegions += frame ? frame->size() : 0;
    }
    const bool noisy = this->now < this->noiseUntil;
    if (noisy && this->chance(0.05))
        return;
    const int copies = noisy && this->chance(0.05) ? 2 : 1;
    const int side = to.info.process < from.info.process ? 0 : 1;
    for (int i = 0; i < copies; ++i) {
        TimeMs at = this->now + this->latency(from, to);
        if (!noisy || !this->chance(0.2)) {
            at = std::max(at, link.last[side]);
            link.last[side] = at;
        }
        this->after(at - this->now, [this, &from, &to, &link, epoch = link.epoch, message] {
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

bool System::logReachable(const Process &process) const
{
    if (this->cut && process.info.region != "west")
        return false;
    return this->now >= this->logDownUntil;
}

void System::applyAppend(const Append &append, bool &ok, std::uint64_t &offset)
{
    const auto result = standin::appendLines(this->log, append.stream, append.lines, this->now);
    ok = result.has_value();
    offset = result.value_or(0);
    if (!ok)
        return;
    ++this->figures.appends;
    this->wakeReaders(append.stream);
}

void System::append(Process &process, const Append &append)
{
    const auto answer = [this, &process, id = append.id](TimeMs delay, bool ok,
                                                         std::uint64_t offset) {
        this->post(process, delay, [this, &process, id, ok, offset] {
            this->handle(process, LogAppended{id, ok, offset});
        });
    };
    const TimeMs way = process.info.region == "west" ? 1 : 8;
    if (!this->logReachable(process)) {
        answer(this->cut ? appendTimeoutMs : 2 * way, false, 0);
        return;
    }
    const bool slow = this->now < this->logSlowUntil;
    const bool lose = this->now < this->logLossUntil && this->chance(0.4);
    // A request that timed out at its caller may still take effect later.
    const TimeMs late = lose && this->chance(0.5) ? this->between(0, 4000) : 0;
    this->after(way + late, [this, append, answer, way, slow, lose] {
        bool ok = false;
        std::uint64_t offset = 0;
        this->applyAppend(append, ok, offset);
        const TimeMs wait = slow ? this->between(0, 3000) : 0;
        if (!lose && wait < appendTimeoutMs)
            answer(way + wait, ok, offset);
        else if (!lose)
            answer(appendTimeoutMs, false, 0);
    });
    if (lose)
        answer(appendTimeoutMs, false, 0);
}

void System::tail(Process &process, const std::string &stream)
{
    const TimeMs way = process.info.region == "west" ? 1 : 8;
    if (!this->logReachable(process)) {
        this->post(process, this->between(200, 2000),
                   [this, &process, stream] { this->tail(process, stream); });
        return;
    }
    this->post(process, way, [this, &process, stream] { this->readLog(process, stream); });
}

void System::readLog(Process &process, const std::string &stream)
{
    if (!this->logReachable(process)) {
        this->tail(process, stream);
        return;
    }
    const auto slice =
        standin::readLines(this->log, stream, process.cursors[stream], maxLinesPerRead);
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
    const TimeMs way = process.info.region == "west" ? 1 : 8;
    const TimeMs wait = this->now < this->logSlowUntil ? this->between(0, 3000) : 0;
    this->post(process, way + wait, [this, &process, stream, read] {
        process.cursors[stream] = read.next;
        this->handle(process, read);
        this->tail(process, stream);
    });
}

void System::wakeReaders(const std::string &stream)
{
    for (auto at = this->waitingReaders.begin(); at != this->waitingReaders.end();) {
        const auto [name, incarnation, waited] = *at;
        Process &process = *this->find(name);
        const bool current = process.alive && process.info.incarnation == incarnation;
        if (current && waited != stream) {
            ++at;
            continue;
        }
        at = this->waitingReaders.erase(at);
        if (current)
            this->tail(process, stream);
    }
}

// ---- Workers ----

Process &System::agentOf(const WorkerHost &host)
{
    return *this->find(host.name);
}

void System::command(Process &process, const WorkerCommand &command)
{
    if (const auto *run = std::get_if<RunTask>(&command))
        this->runTask(process, *run);
    else if (const auto *checkpoint = std::get_if<CheckpointTask>(&command))
        this->checkpointTask(process, *checkpoint);
    else if (const auto *stop = std::get_if<StopTask>(&command)) {
        process.stoppingTasks.insert(stop->task);
        this->stopTask(process, *stop);
    }
}

void System::runTask(Process &process, const RunTask &command)
{
    if (process.stoppingTasks.count(command.task) > 0)
        return;
    WorkerHost &host = *process.host;
    const std::uint64_t holder = process.info.incarnation;
    const bool lose = this->now < this->noiseUntil && this->chance(0.1);
    const auto again = [this, &process, command] {
        this->post(process, callTimeoutMs + callRetryMs,
                   [this, &process, command] { this->runTask(process, command); });
    };
    if (this->now < host.downUntil) {
        again();
        return;
    }
    this->after(1, [this, &process, &host, holder, command, lose] {
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
        this->settle(host);
        if (lose || process.info.incarnation != holder)
            return;
        this->post(process, 1, [this, &process, command, ok, detail] {
            this->handle(process, TaskStarted{command.task, ok, detail});
        });
    });
    if (lose)
        again();
}

void System::checkpointTask(Process &process, const CheckpointTask &command)
{
    WorkerHost &host = *process.host;
    standin::advance(host.worker, this->now);
    const standin::Task *task = standin::runningTask(host.worker, command.task);
    const bool down = this->now < host.downUntil;
    const TimeMs wait = down ? callTimeoutMs : task == nullptr ? 2 : task->plan.checkpointMs + 2;
    this->settle(host);
    this->post(process, wait, [this, &process, &host, command, down] {
        standin::advance(host.worker, this->now);
        const std::string text =
            down || host.worker.frozen ? "" : standin::makeCheckpoint(host.worker, command.task);
        this->settle(host);
        this->handle(process, TaskCheckpointed{command.task, !text.empty(), text});
    });
}

void System::stopTask(Process &process, const StopTask &command)
{
    WorkerHost &host = *process.host;
    const std::uint64_t holder = process.info.incarnation;
    if (this->now < host.downUntil) {
        this->post(process, callTimeoutMs + callRetryMs,
                   [this, &process, command] { this->stopTask(process, command); });
        return;
    }
    this->after(1, [this, &process, &host, holder, command] {
        standin::advance(host.worker, this->now);
        if (standin::acceptHolder(host.worker, holder, this->now))
            standin::stopTask(host.worker, command.task, this->now);
        this->settle(host);
        if (process.info.incarnation != holder)
            return;
        this->post(process, 1, [this, &process, command] {
            process.stoppingTasks.erase(command.task);
            this->handle(process, TaskStopped{command.task});
        });
    });
}

void System::renew(Process &process, std::uint64_t incarnation)
{
    if (!process.alive || process.info.incarnation != incarnation)
        return;
    this->after(renewIntervalMs,
                [this, &process, incarnation] { this->renew(process, incarnation); });
    if (process.frozenUntil > this->now)
        return;
    WorkerHost &host = *process.host;
    if (this->now < host.downUntil) {
        this->post(process, callTimeoutMs,
                   [this, &process] { this->handle(process, LeaseRenewed{false}); });
        return;
    }
    this->after(1, [this, &process, &host, incarnation] {
        standin::advance(host.worker, this->now);
        const bool ok = standin::acceptHolder(host.worker, incarnation, this->now);
        if (ok)
            standin::renewLeases(host.worker, workerLeaseMs, this->now);
        this->settle(host);
        if (process.info.incarnation != incarnation)
            return;
        this->post(process, 1, [this, &process, ok] { this->handle(process, LeaseRenewed{ok}); });
    });
}

void System::settle(WorkerHost &host)
{
    this->observe(host);
    const auto due = standin::nextDueTime(host.worker);
    const std::uint64_t timer = ++host.timer;
    if (due) {
        this->after(std::max<TimeMs>(*due - this->now, 0), [this, &host, timer] {
            if (host.timer != timer)
                return;
            standin::advance(host.worker, this->now);
            this->settle(host);
        });
    }
    Process &agent = this->agentOf(host);
    if (agent.alive)
        this->pumpEvents(agent);
}

void System::pumpEvents(Process &process)
{
    WorkerHost &host = *process.host;
    if (process.eventRead || process.eventCursor >= host.worker.nextSeq)
        return;
    process.eventRead = true;
    const TimeMs wait =
        this->now < host.downUntil ? host.downUntil - this->now + callRetryMs : TimeMs(2);
    this->post(process, wait, [this, &process, &host] {
        process.eventRead = false;
        if (this->now < host.downUntil) {
            this->pumpEvents(process);
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
        this->pumpEvents(process);
    });
}

template void System::handle(Process &, const Submit &);
template void System::handle(Process &, const CallerGone &);
template void System::handle(Process &, const QueryJob &);
template void System::handle(Process &, const CancelJob &);
template void System::handle(Process &, const EditTable &);
template void System::handle(Process &, const DrainTarget &);
template void System::handle(Process &, const StopAccepting &);
template void System::handle(Process &, const PeerMessage &);

} // namespace flamingo::tests

#ifndef FLAMINGO_TESTS_ENTRY_RIG_H
#define FLAMINGO_TESTS_ENTRY_RIG_H

// A test rig: one entry with a simulated clock, a log, and agents that exist only as the messages
// that the test sends for them.

#include "flamingo/entry.h"

#include <algorithm>
#include <utility>

namespace flamingo::tests {

struct Rig
{
    Entry entry;
    Random random{7};
    TimeMs now = 1000;
    Outbox out;
    std::uint64_t offset = 0;
    std::uint64_t sequence = 0;

    explicit Rig(EntryOptions options = {})
    {
        options.name = "entry-1";
        options.region = "west";
        options.incarnation = 1;
        this->entry = makeEntry(options);
    }

    void handle(const EntryEvent &event)
    {
        handleEntry(this->entry, event, this->now, this->random, this->out);
    }

    void handleFrom(std::string_view from, Message message)
    {
        this->handle(PeerMessage{std::string(from), std::move(message)});
    }

    void connectPeer(std::string_view name, ProcessKind kind, std::string_view region = "west")
    {
        PeerUp up;
        up.peer.process = name;
        up.peer.kind = kind;
        up.peer.region = region;
        this->handle(up);
    }

    Report report(std::string_view agent, std::uint64_t freeMask = 0xff)
    {
        Report report;
        report.agent = agent;
        report.region = "west";
        report.dataCentre = "dc-1";
        report.rack = "rack-1";
        report.incarnation = 1;
        report.sequence = ++this->sequence;
        report.accelerators = 8;
        report.slots = report.freeSlots = 8;
        report.cores = report.freeCores = 64;
        report.memoryMib = report.freeMemoryMib = 262144;
        report.freeMask = freeMask;
        report.tableVersion = this->entry.table.version;
        return report;
    }

    void addAgent(std::string_view name, std::uint64_t freeMask = 0xff)
    {
        this->connectPeer(name, ProcessKind::Agent);
        this->handleFrom(name, this->report(name, freeMask));
    }

    // Answers the pending appends and, if `acknowledged`, returns their lines to the entry as reads
    // of the log.
    void deliverAppends(bool acknowledged = true)
    {
        auto appends = std::move(this->out.appends);
        this->out.appends.clear();
        for (const auto &append : appends) {
            this->handle(LogAppended{append.id, acknowledged, this->offset});
            if (!acknowledged)
                continue;
            LogRead read;
            read.stream = append.stream;
            for (const auto &line : append.lines) {
                read.lines.emplace_back();
                read.lines.back().offset = this->offset++;
                read.lines.back().text = line;
            }
            read.next = this->offset;
            this->handle(read);
        }
    }

    void editTable(std::string_view change, std::string_view request = "edit", bool wait = false)
    {
        EditTable edit;
        edit.request = request;
        edit.author = "operator";
        edit.baseVersion = this->entry.table.version;
        edit.change = change;
        edit.wait = wait;
        this->handle(edit);
    }

    // Advances the clock by `ms`, with a Tick every 100 ms.
    void advance(TimeMs ms)
    {
        for (const auto end = this->now + ms; this->now < end;) {
            this->now += 100;
            this->handle(Tick{});
        }
    }

    void submit(std::string_view request, const JobSpec &spec, bool wait = true)
    {
        this->handle(Submit{std::string(request), spec, wait});
    }

    std::vector<Reply> takeReplies()
    {
        return std::exchange(this->out.replies, {});
    }

    // Removes the sent messages of one type from the outbox and returns them with their receivers.
    template <typename Sent>
    std::vector<std::pair<std::string, Sent>> takeSent()

    {
        std::vector<std::pair<std::string, Sent>> taken;
        for (const auto &send : this->out.sends) {
            if (const auto *message = std::get_if<Sent>(&send.message))
                taken.emplace_back(send.to, *message);
        }
        this->out.sends.erase(std::remove_if(this->out.sends.begin(), this->out.sends.end(),
                                             [](const auto &send) {
                                                 return std::holds_alternative<Sent>(send.message);
                                             }),
                              this->out.sends.end());
        return taken;
    }
};

constexpr std::string_view twoOrganisations =
    R"({"organisations": [{"name": "a", "homeRegion": "west"}, {"name": "b", "homeRegion": "west"}]})";

inline JobSpec job(std::string_view organisation, std::uint32_t accelerators)
{
    JobSpec spec;
    spec.organisation = organisation;
    spec.accelerators = accelerators;
    spec.jobClass = JobClass::Batch;
    return spec;
}

// A rig with organisations a and b and `agents` agents (w0, w1, ...); replies and messages of the
// set-up are discarded.
inline Rig rigWithAgents(std::size_t agents, const EntryOptions &options = {})
{
    Rig rig(options);
    rig.editTable(twoOrganisations);
    rig.deliverAppends();
    for (std::size_t i = 0; i < agents; ++i)
        rig.addAgent("w" + std::to_string(i));
    rig.takeReplies();
    rig.out.sends.clear();
    return rig;
}

inline StartReply accepted(const Start &start)
{
    StartReply reply;
    reply.job = start.spec->job;
    reply.attempt = start.attempt;
    reply.accepted = true;
    return reply;
}

inline Outcome ran(const Start &start, std::string_view answer)
{
    Outcome outcome;
    outcome.job = start.spec->job;
    outcome.attempt = start.attempt;
    outcome.verdict = Verdict::Ran;
    outcome.answer = answer;
    return outcome;
}

} // namespace flamingo::tests

#endif

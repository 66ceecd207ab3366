// A lookup has two steps, the agents and then the entries. Each step queries all its processes at
// once and ends when one of them has the job, all replied that they do not, or the reply timeout
// has passed. A process that has the job becomes the lookup's holder and is polled alone.

#include "flamingo/lookup.h"

#include "flamingo/jobs.h"

#include <algorithm>

namespace flamingo {
namespace {

constexpr TimeMs pollIntervalMs = 1000; // between queries to the holder
constexpr TimeMs holderContactTimeoutMs = 10000;

void sendJobQuery(EntryContext context, Lookup &lookup, const std::string &process)
{
    JobQuery query;
    query.request = lookup.id;
    query.job = lookup.job;
    lookup.requestedAt = context.now;
    context.out.sends.push_back({process, std::move(query)});
}

std::vector<std::string> agentsReporting(const Entry &entry, std::string_view job)
{
    std::vector<std::string> agents;
    for (const auto &agent : entry.view.agents) {
        const bool reportsJob = std::any_of(agent.report.tasks.begin(), agent.report.tasks.end(),
                                            [job](const auto &task) { return task.job == job; });
        if (reportsJob && agent.connected)
            agents.push_back(agent.report.agent);
    }
    return agents;
}

std::vector<std::string> entriesOfRegion(const Entry &entry)
{
    std::vector<std::string> names;
    for (const auto &[name, peer] : entry.peers) {
        if (peer.connected && peer.info.kind == ProcessKind::Entry
            && peer.info.region == entry.options.region)
            names.push_back(name);
    }
    return names;
}

void queryProcesses(EntryContext context, Lookup &lookup, const std::vector<std::string> &processes)
{
    for (const auto &process : processes) {
        lookup.waitingFor.insert(process);
        sendJobQuery(context, lookup, process);
    }
}

void replyToLookup(EntryContext context, const Lookup &lookup, Reply reply)
{
    reply.request = lookup.request;
    reply.job = lookup.job;
    context.out.replies.push_back(std::move(reply));
}

void replyNotFound(EntryContext context, const Lookup &lookup)
{
    Reply reply;
    reply.verdict = Verdict::MayHaveRun;
    reply.reason = {ReasonCode::InvalidInput,
                    "job: not found on this entry or on any process that it can reach"};
    replyToLookup(context, lookup, std::move(reply));
}

// No process queried so far has the job: queries the entries of the region. Ends the lookup and
// returns true if they were queried before or none is connected.
bool queryEntries(EntryContext context, Lookup &lookup)
{
    lookup.waitingFor.clear();
    if (!lookup.entriesQueried) {
        lookup.entriesQueried = true;
        queryProcesses(context, lookup, entriesOfRegion(context.entry));
        if (!lookup.waitingFor.empty())
            return false;
    }
    replyNotFound(context, lookup);
    return true;
}

// A process has the job: replies with its result or state, or makes the process the holder and
// cancels the job there if that is requested. True when the lookup has ended.
bool onJobFound(EntryContext context, Lookup &lookup, std::string_view from, const JobReply &reply)
{
    Reply result;
    result.answer = reply.finished ? reply.answer : reply.state;
    result.verdict = reply.finished ? reply.verdict : Verdict::MayHaveRun;
    result.reason = {reply.reason, reply.detail};
    result.accepted = !reply.finished;
    if (reply.finished || (!lookup.wait && !lookup.cancel)) {
        replyToLookup(context, lookup, std::move(result));
        return true;
    }
    if (lookup.cancel && lookup.holder.empty()) {
        Cancel cancel;
        cancel.job = lookup.job;
        context.out.sends.push_back({std::string(from), std::move(cancel)});
    }
    lookup.holder = from;
    lookup.lastContactAt = context.now;
    return false;
}

// Handles a timeout or poll that is due; true when the lookup has ended.
bool tickLookup(EntryContext context, Lookup &lookup)
{
    const auto waited = context.now - lookup.requestedAt;
    if (lookup.holder.empty())
        return waited >= context.entry.options.replyTimeoutMs && queryEntries(context, lookup);
    if (context.now - lookup.lastContactAt >= holderContactTimeoutMs) {
        replyNotFound(context, lookup);
        return true;
    }
    if (waited >= pollIntervalMs)
        sendJobQuery(context, lookup, lookup.holder);
    return false;
}

} // namespace

void startLookup(EntryContext context, std::string_view request, std::string_view job, bool wait,
                 bool cancel)
{
    auto &entry = context.entry;
    Lookup lookup;
    lookup.id = entry.options.name + "." + std::to_string(entry.options.incarnation) + "?"
        + std::to_string(++entry.lastLookup);
    lookup.request = request;
    lookup.job = job;
    lookup.wait = wait;
    lookup.cancel = cancel;
    if (entry.lookups.size() >= entry.options.maxLookups) {
        Reply reply;
        reply.verdict = Verdict::MayHaveRun;
        reply.reason = {ReasonCode::QueueFull,
                        "too many lookups of jobs that this entry does not have"};
        replyToLookup(context, lookup, std::move(reply));
        return;
    }
    queryProcesses(context, lookup, agentsReporting(entry, job));
    if (!lookup.waitingFor.empty() || !queryEntries(context, lookup))
        entry.lookups.push_back(std::move(lookup));
}

void onJobReply(EntryContext context, std::string_view from, const JobReply &reply)
{
    auto &lookups = context.entry.lookups;
    const auto found = std::find_if(lookups.begin(), lookups.end(), [&reply](const auto &lookup) {
        return lookup.id == reply.request && lookup.job == reply.job;
    });
    if (found == lookups.end()) {
        onForwardedJobReply(context, from, reply);
        return;
    }
    if (reply.found) {
        if (onJobFound(context, *found, from, reply))
            lookups.erase(found);
        return;
    }
    // A holder that no longer has the job is not polled again; it may have removed the result after
    // its retention time.
    const bool wasHolder = found->holder == from;
    if (wasHolder)
        found->holder.clear();
    if (found->waitingFor.erase(std::string(from)) == 0 && !wasHolder)
        return;
    if (found->waitingFor.empty() && found->holder.empty() && queryEntries(context, *found))
        lookups.erase(found);
}

// True if the result of the job was sent as the reply to this request, which `entry` had forwarded.
bool wasAnsweredFor(const Job &job, std::string_view entry, std::string_view request)
{
    return std::any_of(
        job.answeredWaiters.begin(), job.answeredWaiters.end(),
        [&](const Waiter &waiter) { return waiter.entry == entry && waiter.request == request; });
}

void onJobQuery(EntryContext context, std::string_view from, const JobQuery &query)
{
    JobReply reply;
    reply.request = query.request;
    reply.job = query.job;
    const auto *job = findJob(context.entry, query.job);
    if (job != nullptr && (!refusedForPeer(*job) || wasAnsweredFor(*job, from, query.request))) {
        reply.found = true;
        reply.finished = job->state == JobState::Finished;
        reply.state = jobStateName(job->state);
        reply.verdict = reply.finished ? job->verdict : Verdict::MayHaveRun;
        reply.reason = reply.finished ? job->reason.code : job->waitReason.code;
        reply.detail = reply.finished ? job->reason.text : job->waitReason.text;
        reply.answer = job->answer;
    }
    context.out.sends.push_back({std::string(from), std::move(reply)});
}

void tickLookups(EntryContext context)
{
    auto &lookups = context.entry.lookups;
    for (auto at = lookups.begin(); at != lookups.end();)
        at = tickLookup(context, *at) ? lookups.erase(at) : at + 1;
}

} // namespace flamingo

// Queues are compared by name, organisations by name and API keys by value, in maps, so that a
// table of thousands of queues is checked in one pass.

#include "flamingo/scheduler/routing_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace flamingo::scheduler {
namespace {

using Findings = std::vector<Finding>;

std::string placeOf(const Queue &queue)
{
    return "queue " + queue.name;
}

std::string placeOf(const Organisation &organisation)
{
    return "organisation " + organisation.name;
}

void checkQueue(const Queue &queue, const RoutingCheckContext &context, Findings &findings)
{
    const auto add = [&](Severity severity, std::string text) {
        findings.push_back({severity, placeOf(queue), std::move(text)});
    };
    if (queue.host.empty())
        add(Severity::Warning, "has no host name, so no request matches");
    if (queue.pathPrefix.empty() || queue.pathPrefix.front() != '/')
        add(Severity::Warning,
            "its path prefix '" + queue.pathPrefix
                + "' does not begin with '/', so no request matches");
    else if (queue.pathPrefix.back() != '/')
        add(Severity::Warning,
            "its path prefix does not end with '/', so job ids follow it directly");
    if (!context.services.empty()
        && std::find(context.services.begin(), context.services.end(), queue.service)
            == context.services.end())
        add(Severity::Error, "its service '" + queue.service + "' does not exist");
    const bool served = std::any_of(
        context.workers.begin(), context.workers.end(),
        [&queue](const KnownWorker &worker) { return worker.service == queue.service; });
    if (!context.workers.empty() && !served)
        add(Severity::Warning, "no known worker serves '" + queue.service + "', so no task runs");
    if (queue.maxAttempts == 0)
        add(Severity::Warning, "allows no attempt, so the first failed run fails a job");
    if (queue.stretch < 1)
        add(Severity::Warning,
            "its stretch is below 1: the objective is shorter than the run itself");
}

void checkQueues(const RoutingTable &table, const RoutingCheckContext &context, Findings &findings)
{
    std::set<std::string_view> names;
    using HostAndPath = std::pair<std::string_view, std::string_view>;
    std::map<HostAndPath, const Queue *> firstAt;
    for (const Queue &queue : table.queues) {
        if (!names.insert(queue.name).second)
            findings.push_back({Severity::Error, placeOf(queue), "its name is used twice"});
        const auto [first, added] =
            firstAt.emplace(HostAndPath(queue.host, queue.pathPrefix), &queue);
        if (!added)
            findings.push_back({Severity::Error, placeOf(queue),
                                "never matches: queue " + first->second->name
                                    + " has the same host and path prefix and comes first"});
        checkQueue(queue, context, findings);
    }
    if (table.queues.empty())
        findings.push_back(
            {Severity::Warning, "queues", "there are none, so nothing can be submitted"});
}

// Most accelerators that can be guaranteed, of all workers.
std::int64_t knownAccelerators(const RoutingCheckContext &context)
{
    std::int64_t sum = 0;
    for (const KnownWorker &worker : context.workers)
        sum += worker.capacity.accelerators;
    return sum;
}

void checkGuarantees(const RoutingTable &table, const RoutingCheckContext &context,
                     Findings &findings)
{
    std::int64_t sum = 0;
    for (const Organisation &organisation : table.organisations)
        sum += organisation.guaranteedAccelerators;
    if (sum == 0)
        return;
    const bool urgent = std::any_of(table.queues.begin(), table.queues.end(),
                                    [](const Queue &queue) { return queue.priority == 0; });
    if (!urgent)
        findings.push_back(
            {Severity::Warning, "guarantees", "never apply: no queue has priority 0"});
    const std::int64_t known = knownAccelerators(context);
    if (!context.workers.empty() && sum > known)
        findings.push_back({Severity::Error, "guarantees",
                            std::to_string(sum)
                                + " accelerators are guaranteed, the known workers have "
                                + std::to_string(known)});
}

void checkOrganisations(const RoutingTable &table, Findings &findings)
{
    std::set<std::string_view> names;
    std::map<std::string_view, const Organisation *> ownerOfKey;
    for (const Organisation &organisation : table.organisations) {
        const auto add = [&](Severity severity, std::string text) {
            findings.push_back({severity, placeOf(organisation), std::move(text)});
        };
        if (!names.insert(organisation.name).second)
            add(Severity::Error, "its name is used twice");
        if (organisation.apiKeys.empty())
            add(Severity::Warning, "has no API key, so it can submit to open queues only");
        for (const std::string &key : organisation.apiKeys) {
            if (key.empty())
                add(Severity::Error, "has an empty API key");
            const auto [owner, added] = ownerOfKey.emplace(key, &organisation);
            if (!added && owner->second != &organisation)
                add(Severity::Error,
                    "has an API key that organisation " + owner->second->name + " has");
            else if (!added)
                add(Severity::Warning, "lists an API key twice");
        }
    }
    const bool needsKey = std::any_of(table.queues.begin(), table.queues.end(),
                                      [](const Queue &queue) { return !queue.open; });
    if (needsKey && ownerOfKey.empty())
        findings.push_back(
            {Severity::Error, "organisations",
             "there is no API key, so queues that are not open refuse every request"});
}

void checkBodies(const RoutingTable &table, const RoutingCheckContext &context, Findings &findings)
{
    if (table.maxBodyBytes == 0)
        findings.push_back(
            {Severity::Error, "limits", "the largest body has 0 bytes, so no job is accepted"});
    // A body that is handled counts three times: as received, and twice for its copies.
    if (context.callerBytes > 0 && 3 * table.maxBodyBytes > context.callerBytes)
        findings.push_back({Severity::Error, "limits",
                            "the largest body, " + std::to_string(table.maxBodyBytes)
                                + " bytes, takes more than callers may hold in a process, "
                                + std::to_string(context.callerBytes) + " bytes"});
}

template <typename Value>
void compareValue(const char *name, const Value &before, const Value &after, std::string &text)
{
    if (before == after)
        return;
    if constexpr (std::is_same_v<Value, std::string>)
        text +=
            std::string(text.empty() ? "" : ", ") + name + " '" + before + "' -> '" + after + "'";
    else
        text += std::string(text.empty() ? "" : ", ") + name + " " + std::to_string(before) + " -> "
            + std::to_string(after);
}

void compareQueues(const RoutingTable &inForce, const RoutingTable &next, Findings &findings)
{
    std::map<std::string_view, const Queue *> before;
    for (const Queue &queue : inForce.queues)
        before.emplace(queue.name, &queue);
    for (const Queue &queue : next.queues) {
        const auto found = before.find(queue.name);
        if (found == before.end()) {
            findings.push_back({Severity::Change, placeOf(queue), "is added"});
            continue;
        }
        const Queue &old = *found->second;
        before.erase(found);
        std::string text;
        compareValue("host", old.host, queue.host, text);
        compareValue("path prefix", old.pathPrefix, queue.pathPrefix, text);
        compareValue("service", old.service, queue.service, text);
        compareValue("priority", old.priority, queue.priority, text);
        compareValue("attempts", old.maxAttempts, queue.maxAttempts, text);
        compareValue("stretch", old.stretch, queue.stretch, text);
        compareValue("target latency in ms", old.targetLatencyMs, queue.targetLatencyMs, text);
        compareValue("open", old.open, queue.open, text);
        if (!text.empty())
            findings.push_back({Severity::Change, placeOf(queue),
                                text + "; jobs that were accepted before keep the former values"});
    }
    for (const auto &[name, queue] : before)
        findings.push_back({Severity::Change, placeOf(*queue),
                            "is dropped: requests get 404; its accepted jobs go on"});
}

void compareKeys(const Organisation &old, const Organisation &next, Findings &findings)
{
    const std::set<std::string> before(old.apiKeys.begin(), old.apiKeys.end());
    const std::set<std::string> after(next.apiKeys.begin(), next.apiKeys.end());
    const auto missing = [](const std::set<std::string> &from, const std::set<std::string> &in) {
        return std::count_if(from.begin(), from.end(),
                             [&in](const std::string &key) { return in.count(key) == 0; });
    };
    // The keys are secrets and not printed.
    if (const auto taken = missing(before, after); taken > 0)
        findings.push_back(
            {Severity::Change, placeOf(next),
             std::to_string(taken) + " API keys are taken away: their requests get 401"});
    if (const auto added = missing(after, before); added > 0)
        findings.push_back(
            {Severity::Change, placeOf(next), std::to_string(added) + " API keys are added"});
}

void compareOrganisations(const RoutingTable &inForce, const RoutingTable &next, Findings &findings)
{
    std::map<std::string_view, const Organisation *> before;
    for (const Organisation &organisation : inForce.organisations)
        before.emplace(organisation.name, &organisation);
    for (const Organisation &organisation : next.organisations) {
        const auto found = before.find(organisation.name);
        if (found == before.end()) {
            findings.push_back({Severity::Change, placeOf(organisation), "is added"});
            continue;
        }
        const Organisation &old = *found->second;
        before.erase(found);
        compareKeys(old, organisation, findings);
        const std::int64_t from = old.guaranteedAccelerators;
        const std::int64_t to = organisation.guaranteedAccelerators;
        if (from != to)
            findings.push_back({Severity::Change, placeOf(organisation),
                                "its guarantee is " + std::string(to < from ? "lowered" : "raised")
                                    + " from " + std::to_string(from) + " to " + std::to_string(to)
                                    + " accelerators, from the next plan on"});
    }
    for (const auto &[name, organisation] : before)
        findings.push_back({Severity::Change, placeOf(*organisation),
                            "is dropped: requests with its keys get 401; its accepted jobs go on"});
}

} // namespace

std::vector<Finding> checkRoutingTable(const RoutingTable &table,
                                       const RoutingCheckContext &context)
{
    Findings findings;
    checkQueues(table, context, findings);
    checkOrganisations(table, findings);
    checkGuarantees(table, context, findings);
    checkBodies(table, context, findings);
    return findings;
}

std::vector<Finding> compareRoutingTables(const RoutingTable &inForce, const RoutingTable &next)
{
    Findings findings;
    if (next.version <= inForce.version)
        findings.push_back({Severity::Error, "version",
                            std::to_string(next.version) + " is not higher than "
                                + std::to_string(inForce.version)
                                + ", the version in force, so every process ignores it"});
    compareQueues(inForce, next, findings);
    compareOrganisations(inForce, next, findings);
    if (inForce.maxBodyBytes != next.maxBodyBytes)
        findings.push_back({Severity::Change, "limits",
                            "the largest body has " + std::to_string(next.maxBodyBytes)
                                + " bytes, before " + std::to_string(inForce.maxBodyBytes)});
    return findings;
}

std::string_view severityName(Severity severity)
{
    switch (severity) {
    case Severity::Error:
        return "error";
    case Severity::Warning:
        return "warning";
    case Severity::Change:
        return "change";
    }
    return "?";
}

} // namespace flamingo::scheduler

#ifndef FLAMINGO_SCHEDULER_ROUTING_CHECK_H
#define FLAMINGO_SCHEDULER_ROUTING_CHECK_H

// Checks a routing table before it is sent: what no process could use, what can never match, limits
// that contradict each other, and what differs from the table in force.
//
// The functions are pure. The table is one that the processes accept; whoever decodes it reports
// what they would not.

#include "flamingo/scheduler/job.h"
#include "flamingo/scheduler/routing.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo::scheduler {

enum class Severity : std::uint8_t {
    Error, // must not be sent
    Warning, // probably not what was meant
    Change, // differs from the table in force
};

struct Finding
{
    Severity severity = Severity::Error;
    std::string place; // such as "queue r1" or "organisation t2"
    std::string text;
};

// A worker that is known, for what depends on workers.
struct KnownWorker
{
    std::string service;
    Resources capacity;
};

struct RoutingCheckContext
{
    std::vector<std::string> services; // that the configuration names; empty: none are named
    std::vector<KnownWorker> workers; // empty: not known, and nothing is said of them
    std::size_t callerBytes = 0; // what callers' connections may hold in a process; 0: not known
};

std::vector<Finding> checkRoutingTable(const RoutingTable &table,
                                       const RoutingCheckContext &context);

// Returns the differences as changes, and an error unless the version is higher.
std::vector<Finding> compareRoutingTables(const RoutingTable &inForce, const RoutingTable &next);

// Text for people: "error", "warning" or "change"; valid as long as the program runs.
std::string_view severityName(Severity severity);

} // namespace flamingo::scheduler

#endif

#ifndef FLAMINGO_AGENT_NODE_H
#define FLAMINGO_AGENT_NODE_H

// The whole state machine of one agent process: the agent of its worker, the owner of its key
// ranges and its copy of the table. A daemon or a benchmark passes it every event of the process
// and performs the effects (messages, commands, log appends) that it returns.
//
// An agent process receives the table from entries. They push LogLines after each edit; the node
// sends a LogLinesRequest when an entry connects, when a line is missing and when a ReportAck names
// a newer version, at most once per tableRequestIntervalMs except on a new connection.

#include "flamingo/agent.h"
#include "flamingo/owner.h"
#include "flamingo/table.h"

#include <set>
#include <string>
#include <variant>

namespace flamingo {

constexpr TimeMs tableRequestIntervalMs = 500; // shortest time between two LogLinesRequests

struct AgentNode
{
    Table table;
    Agent agent;
    Owner owner;
    std::set<std::string> entries; // connected entries of this process's region
    std::string region;
    TimeMs nextTableRequestAt = 0;
    std::uint64_t malformedTableLines = 0;
};

using NodeEvent =
    std::variant<PeerMessage, PeerUp, PeerDown, LogRead, LogAppended, TaskStarted, TaskFinished,
                 TaskCheckpointed, TaskStopped, TaskUsage, LeaseRenewed, Tick>;

AgentNode makeAgentNode(const AgentOptions &agent, const OwnerOptions &owner);

// Applies one event to the table, the owner and the agent, in this order, and appends the effects
// to `out`.
void handleNode(AgentNode &node, const NodeEvent &event, TimeMs now, Random &random, Outbox &out);

// The whole state as JSON for operators.
std::string dumpNode(const AgentNode &node, TimeMs now);

} // namespace flamingo

#endif

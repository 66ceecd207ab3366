#ifndef FLAMINGO_AGENT_NODE_H
#define FLAMINGO_AGENT_NODE_H

// All decisions of one agent process: the agent of its worker, the owner of its key ranges and the
// table in force. A daemon or a bench feeds it every event of the process and carries out the
// effects.
//
// The table reaches an agent through entries: pushed as LogLines after each edit, and asked for
// with LogLinesRequest when a line is missing or an entry reports a newer version.

#include "flamingo/agent.h"
#include "flamingo/owner.h"
#include "flamingo/table.h"

#include <set>
#include <string>
#include <variant>

namespace flamingo {

constexpr TimeMs tableRequestIntervalMs = 500; // between two requests for missing table lines

struct AgentNode
{
    Table table;
    Agent agent;
    Owner owner;
    std::set<std::string> entries; // connected entries of the own region
    std::string region;
    TimeMs nextTableRequestAt = 0;
    std::uint64_t malformedTableLines = 0;
};

using NodeEvent =
    std::variant<PeerMessage, PeerUp, PeerDown, LogRead, LogAppended, TaskStarted, TaskFinished,
                 TaskCheckpointed, TaskStopped, TaskUsage, LeaseRenewed, Tick>;

AgentNode makeAgentNode(const AgentOptions &agent, const OwnerOptions &owner);

void handleNode(AgentNode &node, const NodeEvent &event, TimeMs now, Random &random, Outbox &out);

// The whole state as JSON for operators.
std::string dumpNode(const AgentNode &node, TimeMs now);

} // namespace flamingo

#endif

#ifndef FLAMINGO_AGENT_H
#define FLAMINGO_AGENT_H

// The agent beside one worker: the only authority over the worker's accelerators and slots.

#include "flamingo/messages.h"
#include "flamingo/table.h"

#include <variant>

namespace flamingo {

struct AgentOptions
{
    std::string name;
    std::string region;
    std::string dataCentre;
    std::string rack;
    std::uint64_t incarnation = 0;
    std::uint32_t accelerators = 8;
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::uint32_t cores = 64;
    std::uint32_t memoryMib = 262144;
    TimeMs checkpointBoundMs = 2000; // a guest that has not checkpointed by then is stopped
    TimeMs stopBoundMs = 500;
    TimeMs holdMs = 2000;
    TimeMs gangLeaseMs = 3000;
    TimeMs gangRenewMs = 1000;
    TimeMs workerLeaseMs = 3000;
    TimeMs answerRetentionMs = 600000;
    std::size_t maxAnswers = 1000;
};

struct Agent;

using AgentEvent = std::variant<PeerMessage, PeerUp, PeerDown, TaskStarted, TaskFinished,
                                TaskCheckpointed, TaskStopped, TaskUsage, LeaseRenewed, Tick>;

Agent makeAgent(const AgentOptions &options);

// Handles Start, Cancel, Drain, ReportAck, OutcomeAck, JobQuery, all gang messages, BeginReply,
// SettleAck and Witness; ignores every other message. `table` is the table in force here.
void handleAgent(Agent &agent, const AgentEvent &event, const Table &table, TimeMs now,
                 Random &random, Outbox &out);

// True when nothing runs, is held or waits to be acknowledged.
bool agentIdle(const Agent &agent);

// The whole state as JSON for operators.
std::string dumpAgent(const Agent &agent, TimeMs now);

} // namespace flamingo

#endif

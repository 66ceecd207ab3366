// Passes each event to the owner and to the agent if their event types include it. Table lines are
// applied first, so that the agent decides with the newest table. When applyTableLine returns Gap,
// lines are missing; the node then sends a request to a random entry, which answers with a snapshot
// of the table.

#include "flamingo/agent_node.h"

#include "flamingo/json_text.h"

#include <nlohmann/json.hpp>

#include <iterator>
#include <type_traits>

namespace flamingo {
namespace {

template <typename T, typename Variant>
struct IsAlternative;

template <typename T, typename... Alternatives>
struct IsAlternative<T, std::variant<Alternatives...>>
    : std::disjunction<std::is_same<T, Alternatives>...>
{
};

// Requests the table lines from nextOffset on, unless the last request is too recent.
void requestTable(AgentNode &node, TimeMs now, Random &random, Outbox &out)
{
    if (node.entries.empty() || now < node.nextTableRequestAt)
        return;
    node.nextTableRequestAt = now + tableRequestIntervalMs;
    LogLinesRequest request;
    request.stream = tableStream;
    request.from = node.table.nextOffset;
    const auto entry = std::next(node.entries.begin(),
                                 static_cast<std::ptrdiff_t>(random() % node.entries.size()));
    out.sends.push_back({*entry, request});
}

void applyTableLines(AgentNode &node, const LogLines &lines, TimeMs now, Random &random,
                     Outbox &out)
{
    if (lines.stream != tableStream)
        return;
    for (const wire::LogLineT &line : lines.lines) {
        Reason reason;
        const ApplyResult result = applyTableLine(node.table, line.text, line.offset, reason);
        if (result == ApplyResult::Malformed) {
            ++node.malformedTableLines;
            out.ignoredRecords.push_back({lines.stream, line.offset, reason});
        }
        if (result != ApplyResult::Gap)
            continue;
        requestTable(node, now, random, out);
        return;
    }
}

void handlePeerMessage(AgentNode &node, const PeerMessage &message, TimeMs now, Random &random,
                       Outbox &out)
{
    if (const auto *lines = std::get_if<LogLines>(&message.message))
        applyTableLines(node, *lines, now, random, out);
    const auto *ack = std::get_if<ReportAck>(&message.message);
    if (ack != nullptr && ack->tableVersion > node.table.version)
        requestTable(node, now, random, out);
}

} // namespace

AgentNode makeAgentNode(const AgentOptions &agent, const OwnerOptions &owner)
{
    AgentNode node;
    node.agent = makeAgent(agent);
    node.owner = makeOwner(owner);
    node.region = agent.region;
    return node;
}

void handleNode(AgentNode &node, const NodeEvent &event, TimeMs now, Random &random, Outbox &out)
{
    if (const auto *message = std::get_if<PeerMessage>(&event))
        handlePeerMessage(node, *message, now, random, out);
    if (const auto *up = std::get_if<PeerUp>(&event)) {
        if (up->peer.kind == ProcessKind::Entry && up->peer.region == node.region) {
            node.entries.insert(up->peer.process);
            node.nextTableRequestAt = now;
            requestTable(node, now, random, out);
        }
    }
    if (const auto *down = std::get_if<PeerDown>(&event))
        node.entries.erase(down->process);
    std::visit(
        [&](const auto &typedEvent) {
            using Event = std::decay_t<decltype(typedEvent)>;
            if constexpr (IsAlternative<Event, OwnerEvent>::value)
                handleOwner(node.owner, typedEvent, now, random, out);
            if constexpr (IsAlternative<Event, AgentEvent>::value)
                handleAgent(node.agent, typedEvent, node.table, now, random, out);
        },
        event);
}

std::string dumpNode(const AgentNode &node, TimeMs now)
{
    using Json = nlohmann::json;
    const Json result = {{"agent", Json::parse(dumpAgent(node.agent, now))},
                         {"owner", Json::parse(dumpOwner(node.owner, now))},
                         {"table", Json::parse(tableJson(node.table))},
                         {"entries", node.entries},
                         {"malformedTableLines", node.malformedTableLines}};
    return jsonText(result);
}

} // namespace flamingo

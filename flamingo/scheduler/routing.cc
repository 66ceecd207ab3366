// Linear searches suffice: a table has tens to hundreds of queues and is searched once per request.

#include "flamingo/scheduler/routing.h"

#include <algorithm>

namespace flamingo::scheduler {

const Queue *findQueue(const RoutingTable &table, std::string_view host, std::string_view path)
{
    const Queue *best = nullptr;
    for (const Queue &queue : table.queues) {
        if (queue.host != host || path.substr(0, queue.pathPrefix.size()) != queue.pathPrefix)
            continue;
        if (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
}

const Organisation *findOrganisation(const RoutingTable &table, std::string_view apiKey)
{
    for (const Organisation &organisation : table.organisations) {
        const auto &keys = organisation.apiKeys;
        if (std::find(keys.begin(), keys.end(), apiKey) != keys.end())
            return &organisation;
    }
    return nullptr;
}

std::map<std::string, std::int64_t> guaranteesByOrganisation(const RoutingTable &table)
{
    std::map<std::string, std::int64_t> result;
    for (const Organisation &organisation : table.organisations)
        result[organisation.name] = organisation.guaranteedAccelerators;
    return result;
}

} // namespace flamingo::scheduler

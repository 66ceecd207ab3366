#ifndef FLAMINGO_SCHEDULER_ROUTING_H
#define FLAMINGO_SCHEDULER_ROUTING_H

// Routing table from the operators' configuration: assigns a request to a queue by its host and
// path, and to an organisation by its API key.

#include "flamingo/types.h"

#include <absl/types/span.h>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo::scheduler {

// Requests to one host and path prefix, and the job parameters that apply to them (see Job).
struct Queue
{
    std::string name;
    std::string host; // host name in the request
    std::string pathPrefix;
    std::string service;
    std::uint32_t priority = 0;
    std::uint32_t maxAttempts = 1;
    double stretch = 1.0;
    TimeMs targetLatencyMs = 0;
    bool open = false; // requests need no API key
};

struct Organisation
{
    std::string name;
    std::vector<std::string> apiKeys;
    std::int64_t guaranteedAccelerators = 0;
};

struct RoutingTable
{
    std::uint64_t version = 0; // of the configuration; 0: none received yet
    std::vector<Queue> queues;
    std::vector<Organisation> organisations;
    std::size_t maxBodyBytes = 262144;
};

// Returns the queue of `host` with the longest path prefix that matches; nullptr when none does.
const Queue *findQueue(const RoutingTable &table, std::string_view host, std::string_view path);

// Returns the organisation that owns the key; nullptr when none does.
const Organisation *findOrganisation(const RoutingTable &table, std::string_view apiKey);

// Returns the number of guaranteed accelerators of each organisation, by name.
std::map<std::string, std::int64_t> guaranteesByOrganisation(const RoutingTable &table);

} // namespace flamingo::scheduler

#endif

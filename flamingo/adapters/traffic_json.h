#ifndef FLAMINGO_ADAPTERS_TRAFFIC_JSON_H
#define FLAMINGO_ADAPTERS_TRAFFIC_JSON_H

// Connected peers and their traffic, for the dumps and metrics of entryd and agentd.

#include "flamingo/adapters/metrics.h"
#include "flamingo/adapters/peers.h"

#include <nlohmann/json.hpp>

namespace flamingo::adapters {

// Names of the connected peers, as an array.
nlohmann::json connectedPeersJson(const Peers &peers);

// Bytes sent and received, as an object keyed by message type.
nlohmann::json trafficJson(const Peers &peers);

// Raises the traffic counters in `metrics` to the current totals of `peers`.
void updateTrafficMetrics(Metrics &metrics, const Peers &peers);

} // namespace flamingo::adapters

#endif

#ifndef FLAMINGO_ADAPTERS_TRAFFIC_JSON_H
#define FLAMINGO_ADAPTERS_TRAFFIC_JSON_H

// Connected peers and their traffic, as shown in dumps and metrics of both daemons.

#include "flamingo/adapters/metrics.h"
#include "flamingo/adapters/peers.h"

#include <nlohmann/json.hpp>

namespace flamingo::adapters {

nlohmann::json connectedPeersJson(const Peers &peers);
nlohmann::json trafficJson(const Peers &peers);
void updateTrafficMetrics(Metrics &metrics, const Peers &peers);

} // namespace flamingo::adapters

#endif

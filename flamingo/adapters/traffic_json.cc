#include "flamingo/adapters/traffic_json.h"

namespace flamingo::adapters {

using Json = nlohmann::json;

Json connectedPeersJson(const Peers &peers)
{
    Json names = Json::array();
    for (const PeerInfo &peer : peers.connected())
        names.push_back(peer.process);
    return names;
}

Json trafficJson(const Peers &peers)
{
    Json traffic = Json::object();
    for (const auto &[type, counters] : peers.traffic()) {
        traffic[type] = {{"sentBytes", counters.sentBytes},
                         {"receivedBytes", counters.receivedBytes},
                         {"crossRegionSentBytes", counters.crossRegionSentBytes}};
    }
    return traffic;
}

void updateTrafficMetrics(Metrics &metrics, const Peers &peers)
{
    metrics.raiseCounterTo("flamingo_peer_refused_total", "Connections and frames refused",
                           static_cast<double>(peers.refusedConnections()));
    for (const auto &[type, counters] : peers.traffic()) {
        const Metrics::Labels labels = {{"message", type}};
        metrics.raiseCounterTo("flamingo_peer_sent_bytes_total", "Bytes sent to peers",
                               static_cast<double>(counters.sentBytes), labels);
        metrics.raiseCounterTo("flamingo_peer_received_bytes_total", "Bytes received from peers",
                               static_cast<double>(counters.receivedBytes), labels);
        metrics.raiseCounterTo("flamingo_cross_region_sent_bytes_total",
                               "Bytes sent to peers in other regions",
                               static_cast<double>(counters.crossRegionSentBytes), labels);
    }
}

} // namespace flamingo::adapters

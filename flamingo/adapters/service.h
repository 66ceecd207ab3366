#ifndef FLAMINGO_ADAPTERS_SERVICE_H
#define FLAMINGO_ADAPTERS_SERVICE_H

// What the services of entry and agent share: how their settings and their events reach the peers.

#include "flamingo/adapters/peers.h"

#include <string>
#include <utility>

namespace flamingo::adapters {

// `Settings` is EntrySettings or AgentSettings.
template <typename Settings>
PeersOptions makePeersOptions(const Settings &settings, ProcessKind kind)
{
    PeersOptions options;
    options.self.process = settings.options.name;
    options.self.kind = kind;
    options.self.region = settings.options.region;
    options.self.dataCentre = settings.options.dataCentre;
    options.listenAddress = settings.peerAddress;
    options.self.address =
        settings.advertisedAddress.empty() ? settings.peerAddress : settings.advertisedAddress;
    options.self.incarnation = settings.options.incarnation;
    options.seeds = settings.seeds;
    options.key = settings.peerKey;
    return options;
}

// Hands what the peers report to `dispatch` as events of the decisions.
template <typename Dispatch>
Peers::Handlers makePeerHandlers(Dispatch dispatch)
{
    return {[dispatch](const std::string &from, Message message) {
                dispatch(PeerMessage{from, std::move(message)});
            },
            [dispatch](const PeerInfo &peer) { dispatch(PeerUp{peer}); },
            [dispatch](const std::string &process) { dispatch(PeerDown{process}); }};
}

} // namespace flamingo::adapters

#endif

#ifndef FLAMINGO_ADAPTERS_SERVICE_H
#define FLAMINGO_ADAPTERS_SERVICE_H

// Functions shared by EntryService and AgentService: they derive the options of Peers from the
// settings, turn the callbacks of Peers into events and log the lines of the log that were ignored.

#include "flamingo/adapters/peers.h"

#include <absl/types/span.h>

#include <string>
#include <utility>

namespace flamingo::adapters {

// Returns the options of Peers; `Settings` is EntrySettings or AgentSettings.
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

// Returns handlers that pass messages and connection changes of peers to `dispatch` as events.
template <typename Dispatch>
Peers::Handlers makePeerHandlers(Dispatch dispatch)
{
    return {[dispatch](const std::string &from, Message message) {
                dispatch(PeerMessage{from, std::move(message)});
            },
            [dispatch](const PeerInfo &peer) { dispatch(PeerUp{peer}); },
            [dispatch](const std::string &process) { dispatch(PeerDown{process}); }};
}

// Writes one warning for each line, with its stream, its offset and the start of the reason.
void logIgnoredRecords(absl::Span<const IgnoredRecord> records);

} // namespace flamingo::adapters

#endif

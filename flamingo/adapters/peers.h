#ifndef FLAMINGO_ADAPTERS_PEERS_H
#define FLAMINGO_ADAPTERS_PEERS_H

// Connections to the other processes of the system: TCP frames with FlatBuffers messages.
//
// A process stays connected to its seeds and to the entries whose addresses it receives: an entry
// to all entries, an agent to the entries of its region. Any other process is dialled when a
// message is sent to it; an entry supplies its address (Locate, Located). Delivery is best effort:
// a message may be lost when a connection breaks or its queue is full, but is never altered.
// Messages that must arrive are repeated by their senders (flamingo/entry.h, flamingo/agent.h,
// flamingo/owner.h).
//
// Each side proves with an HMAC (Proof) that it has the same key before any other message is
// accepted. Frames are neither encrypted nor signed individually.
//
// Connections, bytes queued per connection, messages per unconnected process and the time for a
// handshake are bounded by PeersOptions.

#include "flamingo/adapters/log_rate_limiter.h"
#include "flamingo/adapters/loop.h"
#include "flamingo/messages.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace flamingo::adapters {

struct PeersOptions
{
    PeerInfo self; // address: the one that other processes dial
    std::string listenAddress; // empty: self.address
    std::vector<std::string> seeds;
    std::string key; // empty: peers are not authenticated
    std::size_t maxConnections = 4096;
    std::size_t maxQueuedBytes = 4194304; // per connection, which is closed when it has more
    std::size_t maxPendingMessages = 64; // per unconnected process; then the oldest is dropped
    TimeMs helloTimeoutMs = 3000; // for Hello and Proof on a new connection
    TimeMs redialMs = 300; // minimum delay; a random part of up to the same length is added
    TimeMs pendingMessageLifetimeMs = 2000; // after the first one to that process
    TimeMs forgetEntryMs = 60000; // without a connection to the entry; seeds are always redialled
};

// Traffic of one message type, with frame headers.
struct PeerTraffic
{
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t crossRegionSentBytes = 0; // part of sentBytes; to peers in another region
};

class Peers
{
public:
    struct Handlers
    {
        std::function<void(const std::string &from, Message message)> messageReceived;
        std::function<void(const PeerInfo &peer)> peerConnected; // first connection of a process
        std::function<void(const std::string &process)> peerDisconnected; // last one closed
    };

    // Opens the listener and starts to dial the seeds. Returns nullptr and sets `reason` when the
    // address cannot be bound.
    static std::unique_ptr<Peers> listen(Loop &loop, const PeersOptions &options, Handlers handlers,
                                         Reason &reason);
    ~Peers();
    Peers(const Peers &) = delete;
    Peers &operator=(const Peers &) = delete;

    // Sends a message to process `to`, or keeps it until that process is connected. A message to
    // the own process is passed to messageReceived from a timer of the loop, never from inside
    // send().
    void send(const std::string &to, const Message &message);

    // True when all queued bytes of all connections are written.
    bool flushed() const;

    // Returns one PeerInfo per process with an established connection.
    std::vector<PeerInfo> connected() const;

    // Returns the traffic by message type.
    const std::map<std::string, PeerTraffic> &traffic() const
    {
        return this->trafficByType;
    }

    // Counts connections closed at the limit, for an invalid frame or for a failed handshake.
    std::uint64_t refusedConnections() const
    {
        return this->refusedCount;
    }

private:
    struct Connection;
    struct KnownEntry
    {
        PeerInfo info;
        TimeMs lastConnected = 0;
    };
    struct PendingMessages
    {
        TimeMs since = 0; // when the first message was queued
        std::deque<Message> messages;
    };

    Peers(Loop &loop, const PeersOptions &options, Handlers handlers);
    void accept(h2o_socket_t *listening);
    Connection &addConnection(h2o_socket_t *socket, const std::string &dialledAddress);
    void dial(const std::string &address);
    void dialMissingPeers();
    void startHandshake(Connection &connection);
    void readFrames(Connection &connection);
    bool handleMessage(Connection &connection, Message message);
    bool handleHello(Connection &connection, const Hello &hello);
    bool handleProof(Connection &connection, const Proof &proof);
    void completeHandshake(Connection &connection);
    void recordPeer(const PeerInfo &info);
    void logIgnored(std::string_view what, std::string_view process, std::string_view why);
    void answerLocate(const std::string &to, const std::string &process);
    void write(Connection &connection, const Message &message);
    void flush(Connection &connection);
    void close(Connection &connection, std::string_view cause);
    void cleanUp();
    Connection *findConnection(const std::string &process);
    std::string computeProof(std::string_view nonce, std::string_view prover,
                             std::string_view verifier) const;

    Loop &loop;
    PeersOptions options;
    Handlers handlers;
    h2o_socket_t *listener = nullptr;
    std::vector<std::unique_ptr<Connection>> connections;
    std::map<std::string, std::vector<Connection *>> connectionsByProcess;
    std::map<std::string, KnownEntry> knownEntries; // by process name
    std::map<std::string, PeerInfo> knownProcesses; // the PeerInfo received last, by name
    std::map<std::string, PendingMessages> pendingMessages; // by name of the receiver
    std::set<std::string> dialledAddresses; // with a connection of this side or in a redial delay
    LogRateLimiter ignoredLogLimiter{10, 100};
    std::map<std::string, PeerTraffic> trafficByType;
    std::uint64_t refusedCount = 0;
    Random random;
};

} // namespace flamingo::adapters

#endif

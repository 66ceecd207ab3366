#ifndef FLAMINGO_ADAPTERS_PEERS_H
#define FLAMINGO_ADAPTERS_PEERS_H

// Connections to the other processes of the system: TCP frames with FlatBuffers messages.
//
// A process stays connected to its seeds and to the entries it learns of: an entry to all entries,
// an agent to the entries of its region. Any other process is dialled when a message is sent to it;
// its address comes from an entry. Delivery is best effort: a message may be lost when a connection
// breaks or its queue is full, never altered. The decisions repeat what matters.
//
// Both sides prove that they hold the same key (Proof) before any other message is accepted. Frames
// are neither encrypted nor signed one by one.

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
    PeerInfo self; // address is the one that others dial
    std::string listenAddress; // empty: self.address
    std::vector<std::string> seeds;
    std::string key; // empty: peers are not authenticated
    std::size_t maxConnections = 4096;
    std::size_t maxQueuedBytes = 4194304; // per connection; the connection is closed beyond
    std::size_t maxPendingMessages = 64; // per process that is not connected yet
    TimeMs helloTimeoutMs = 3000; // for Hello and Proof on a new connection
    TimeMs redialMs = 300; // plus the same again at random
    TimeMs pendingMessageLifetimeMs = 2000; // lifetime of a message to a process not connected yet
    TimeMs forgetEntryMs = 60000; // an entry that is no seed and cannot be dialled
};

// Bytes sent and received per message type, and how many of them crossed between regions.
struct PeerTraffic
{
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t crossRegionSentBytes = 0;
};

class Peers
{
public:
    struct Handlers
    {
        std::function<void(const std::string &from, Message message)> messageReceived;
        std::function<void(const PeerInfo &peer)> peerConnected;
        std::function<void(const std::string &process)> peerDisconnected;
    };

    static std::unique_ptr<Peers> listen(Loop &loop, const PeersOptions &options, Handlers handlers,
                                         Reason &reason);
    ~Peers();
    Peers(const Peers &) = delete;
    Peers &operator=(const Peers &) = delete;

    // A message to the own process is delivered from the loop like any other.
    void send(const std::string &to, const Message &message);

    // True when nothing waits to be written to a connected peer.
    bool flushed() const;

    std::vector<PeerInfo> connected() const;
    const std::map<std::string, PeerTraffic> &traffic() const
    {
        return this->trafficByType;
    }
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
        TimeMs since = 0;
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
    std::map<std::string, KnownEntry> knownEntries;
    std::map<std::string, PeerInfo> knownProcesses;
    std::map<std::string, PendingMessages> pendingMessages;
    std::set<std::string> dialledAddresses;
    std::map<std::string, PeerTraffic> trafficByType;
    std::uint64_t refusedCount = 0;
    Random random;
};

} // namespace flamingo::adapters

#endif

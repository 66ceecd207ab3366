// A connection has three states: waiting for Hello, waiting for Proof, established. Both sides send
// Hello as soon as the TCP connection is open and Proof when they have received the nonce of the
// other side, so the handshake takes one round trip. Two processes may dial each other at the same
// time; both connections are kept, messages use the oldest, and the peer counts as disconnected
// when the last one is closed.
//
// close() only marks a connection as closed; cleanUp() frees it from a timer, because close() may
// be called from inside one of the connection's own callbacks.

#include "flamingo/adapters/peers.h"

#include "flamingo/adapters/codec.h"

#include <glog/logging.h>
#include <netinet/tcp.h>
#include <openssl/crypto.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <utility>

namespace flamingo::adapters {
namespace {

constexpr TimeMs maintenanceIntervalMs = 200;
constexpr std::size_t nonceWords = 2;

std::string typeName(const Message &message)
{
    return wire::EnumNameMessage(static_cast<wire::Message>(message.index() + 1));
}

std::string makeNonce()
{
    std::random_device device;
    std::string nonce;
    for (std::size_t i = 0; i < nonceWords * 2; ++i)
        nonce += std::to_string(device()) + ".";
    return nonce;
}

// A peer whose address cannot be dialled, or whose incarnation no restart can exceed, would replace
// the real one of that name here and, as entries pass their lists on, in all other processes.
bool isValidPeer(const PeerInfo &info, Reason &reason)
{
    const bool valid = !info.process.empty() && info.process.size() <= maxNameBytes
        && info.region.size() <= maxNameBytes && info.dataCentre.size() <= maxNameBytes
        && info.rack.size() <= maxNameBytes && info.address.size() <= maxNameBytes;
    reason = {ReasonCode::InvalidInput, "a name is empty or too long"};
    if (!valid || !parseAddress(info.address, reason))
        return false;
    reason = {ReasonCode::InvalidInput, "the kind or the incarnation is out of range"};
    return info.kind <= ProcessKind::MAX && info.incarnation <= maxIncarnation;
}

} // namespace

struct Peers::Connection
{
    Peers *peers = nullptr;
    h2o_socket_t *socket = nullptr; // nullptr: closed
    std::string dialledAddress; // empty: the other side opened the connection
    std::string nonce;
    PeerInfo peer;
    bool helloReceived = false;
    bool established = false;
    TimeMs openedAt = 0;
    std::string queuedFrames;
    std::string framesInWrite;
};

Peers::Peers(Loop &loop, const PeersOptions &options, Handlers handlers)
    : loop(loop)
    , options(options)
    , handlers(std::move(handlers))
    , random(std::random_device()())
{
}

Peers::~Peers()
{
    if (this->listener != nullptr)
        h2o_socket_close(this->listener);
    for (auto &connection : this->connections) {
        if (connection->socket != nullptr)
            h2o_socket_close(connection->socket);
    }
}

std::unique_ptr<Peers> Peers::listen(Loop &loop, const PeersOptions &options, Handlers handlers,
                                     Reason &reason)
{
    std::unique_ptr<Peers> peers(new Peers(loop, options, std::move(handlers)));
    const auto onAccept = [](h2o_socket_t *listening, const char *error) {
        if (error == nullptr)
            static_cast<Peers *>(listening->data)->accept(listening);
    };
    const std::string &address =
        options.listenAddress.empty() ? options.self.address : options.listenAddress;
    peers->listener = listenOn(loop, address, onAccept, peers.get(), reason);
    if (peers->listener == nullptr)
        return nullptr;
    loop.after(0, [instance = peers.get()] { instance->dialMissingPeers(); });
    loop.every(maintenanceIntervalMs, [instance = peers.get()] {
        instance->dialMissingPeers();
        instance->cleanUp();
    });
    return peers;
}

void Peers::accept(h2o_socket_t *listening)
{
    h2o_socket_t *socket = h2o_evloop_socket_accept(listening);
    if (socket == nullptr)
        return;
    if (this->connections.size() >= this->options.maxConnections) {
        ++this->refusedCount;
        h2o_socket_close(socket);
        return;
    }
    this->startHandshake(this->addConnection(socket, ""));
}

Peers::Connection &Peers::addConnection(h2o_socket_t *socket, const std::string &dialledAddress)
{
    auto connection = std::make_unique<Connection>();
    connection->peers = this;
    connection->socket = socket;
    connection->dialledAddress = dialledAddress;
    connection->nonce = makeNonce();
    connection->openedAt = Loop::now();
    socket->data = connection.get();
    const int enable = 1;
    setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
    this->connections.push_back(std::move(connection));
    return *this->connections.back();
}

void Peers::dial(const std::string &address)
{
    Reason reason;
    const auto parsed = parseAddress(address, reason);
    if (!parsed || this->dialledAddresses.count(address) > 0)
        return;
    auto target = *parsed;
    const auto onConnect = [](h2o_socket_t *socket, const char *error) {
        auto &connection = *static_cast<Connection *>(socket->data);
        if (error != nullptr)
            connection.peers->close(connection, error);
        else
            connection.peers->startHandshake(connection);
    };
    h2o_socket_t *socket = h2o_socket_connect(
        this->loop.handle(), reinterpret_cast<sockaddr *>(&target), sizeof(target), onConnect);
    if (socket == nullptr)
        return;
    this->dialledAddresses.insert(address);
    this->addConnection(socket, address);
}

// Dials the seeds and known entries that this process should be, but is not, connected to, and
// forgets entries without a connection for forgetEntryMs.
void Peers::dialMissingPeers()
{
    std::set<std::string> addressesToDial(this->options.seeds.begin(), this->options.seeds.end());
    const bool isEntry = this->options.self.kind == ProcessKind::Entry;
    const TimeMs now = Loop::now();
    for (auto entry = this->knownEntries.begin(); entry != this->knownEntries.end();) {
        const bool isConnected = this->findConnection(entry->first) != nullptr;
        if (isConnected)
            entry->second.lastConnected = now;
        if (now - entry->second.lastConnected > this->options.forgetEntryMs) {
            entry = this->knownEntries.erase(entry);
            continue;
        }
        if (!isConnected && (isEntry || entry->second.info.region == this->options.self.region))
            addressesToDial.insert(entry->second.info.address);
        ++entry;
    }
    for (const auto &connection : this->connections) {
        if (connection->socket == nullptr)
            continue;
        addressesToDial.erase(connection->dialledAddress);
        addressesToDial.erase(connection->peer.address);
    }
    addressesToDial.erase(this->options.self.address);
    for (const std::string &address : addressesToDial)
        this->dial(address);
}

void Peers::startHandshake(Connection &connection)
{
    Hello hello;
    hello.nonce = connection.nonce;
    hello.peers.push_back(this->options.self);
    for (const auto &[name, entry] : this->knownEntries)
        hello.peers.push_back(entry.info);
    this->write(connection, hello);
    h2o_socket_read_start(connection.socket, [](h2o_socket_t *socket, const char *error) {
        auto &reading = *static_cast<Connection *>(socket->data);
        if (error != nullptr)
            reading.peers->close(reading, error);
        else
            reading.peers->readFrames(reading);
    });
}

void Peers::readFrames(Connection &connection)
{
    while (connection.socket != nullptr) {
        h2o_buffer_t *&input = connection.socket->input;
        const std::string_view bytes(input->bytes, input->size);
        if (bytes.size() < frameHeaderBytes)
            return;
        const std::size_t bodyBytes = frameBodyBytes(bytes);
        if (bodyBytes > maxFrameBytes) {
            ++this->refusedCount;
            this->close(connection, "frame exceeds the size limit");
            return;
        }
        if (bytes.size() < frameHeaderBytes + bodyBytes)
            return;
        Reason reason;
        auto message = decodeFrameBody(bytes.substr(frameHeaderBytes, bodyBytes), reason);
        h2o_buffer_consume(&input, frameHeaderBytes + bodyBytes);
        if (!message) {
            ++this->refusedCount;
            this->close(connection, reason.text);
            return;
        }
        this->trafficByType[typeName(*message)].receivedBytes += frameHeaderBytes + bodyBytes;
        if (!this->handleMessage(connection, std::move(*message)))
            return;
    }
}

// Handles one message of a connection. Returns false when the connection is closed.
bool Peers::handleMessage(Connection &connection, Message message)
{
    if (const auto *hello = std::get_if<Hello>(&message))
        return this->handleHello(connection, *hello);
    if (const auto *proof = std::get_if<Proof>(&message))
        return this->handleProof(connection, *proof);
    if (!connection.established) {
        ++this->refusedCount;
        this->close(connection, "message before the end of the handshake");
        return false;
    }
    if (const auto *locate = std::get_if<Locate>(&message)) {
        this->answerLocate(connection.peer.process, locate->process);
        return true;
    }
    if (const auto *answer = std::get_if<Located>(&message)) {
        for (const PeerInfo &info : answer->peers)
            this->recordPeer(info);
        return true;
    }
    Reason reason;
    if (!hasValidNumbers(message, reason)) {
        this->logIgnored(typeName(message), connection.peer.process, reason.text);
        return true;
    }
    if (replaceUnknownEnumValues(message))
        this->logIgnored("value in " + typeName(message), connection.peer.process,
                         "not in its enumeration");
    this->handlers.messageReceived(connection.peer.process, std::move(message));
    return connection.socket != nullptr;
}

void Peers::logIgnored(std::string_view what, std::string_view process, std::string_view why)
{
    if (!this->ignoredLogLimiter.allowLine(Loop::now()))
        return;
    LOG(WARNING) << "ignored " << what << " process=" << process.substr(0, maxNameBytes)
                 << " reason=\"" << why << "\"" << this->ignoredLogLimiter.takeSuppressedField();
}

bool Peers::handleHello(Connection &connection, const Hello &hello)
{
    Reason reason = {ReasonCode::InvalidInput, "invalid or repeated Hello"};
    if (connection.helloReceived || hello.peers.empty()
        || !isValidPeer(hello.peers.front(), reason)) {
        ++this->refusedCount;
        this->logIgnored("Hello", hello.peers.empty() ? "" : hello.peers.front().process,
                         reason.text);
        this->close(connection, "invalid or repeated Hello");
        return false;
    }
    connection.helloReceived = true;
    connection.peer = hello.peers.front();
    if (connection.peer.process == this->options.self.process) {
        this->close(connection, "the peer is this process itself");
        return false;
    }
    for (const PeerInfo &info : hello.peers) {
        if (!isValidPeer(info, reason))
            this->logIgnored("entry of a Hello", info.process, reason.text);
        else if (info.kind == ProcessKind::Entry)
            this->knownProcesses[info.process] = info;
    }
    Proof proof;
    proof.mac =
        this->computeProof(hello.nonce, this->options.self.process, connection.peer.process);
    this->write(connection, proof);
    return connection.socket != nullptr;
}

bool Peers::handleProof(Connection &connection, const Proof &proof)
{
    const std::string expected =
        this->computeProof(connection.nonce, connection.peer.process, this->options.self.process);
    const bool matches = connection.helloReceived && proof.mac.size() == expected.size()
        && CRYPTO_memcmp(proof.mac.data(), expected.data(), expected.size()) == 0;
    if (!matches) {
        ++this->refusedCount;
        this->close(connection, "invalid Proof; the peer may have another key");
        return false;
    }
    connection.established = true;
    this->completeHandshake(connection);
    return connection.socket != nullptr;
}

void Peers::completeHandshake(Connection &connection)
{
    const PeerInfo peer = connection.peer;
    std::vector<Connection *> &sameProcess = this->connectionsByProcess[peer.process];
    // A restarted process has a new incarnation; the connections of its earlier ones are stale.
    const std::vector<Connection *> former = sameProcess;
    for (Connection *other : former) {
        if (other->peer.incarnation < peer.incarnation)
            this->close(*other, "replaced by a newer incarnation");
    }
    std::vector<Connection *> &current = this->connectionsByProcess[peer.process];
    current.push_back(&connection);
    const bool isNew = current.size() == 1;
    for (const auto &[name, info] : std::map<std::string, PeerInfo>(this->knownProcesses)) {
        if (info.kind == ProcessKind::Entry)
            this->recordPeer(info);
    }
    this->recordPeer(peer);
    if (isNew)
        this->handlers.peerConnected(peer);
    const auto queue = this->pendingMessages.find(peer.process);
    if (queue == this->pendingMessages.end())
        return;
    const std::deque<Message> messages = std::move(queue->second.messages);
    this->pendingMessages.erase(queue);
    for (const Message &message : messages)
        this->send(peer.process, message);
}

// Stores the address of a process. An entry passes a new entry, or a new incarnation of one, on to
// all connected processes. Dials the process when messages are pending for it.
void Peers::recordPeer(const PeerInfo &info)
{
    if (info.process == this->options.self.process)
        return;
    Reason reason;
    if (!isValidPeer(info, reason)) {
        this->logIgnored("address", info.process, reason.text);
        return;
    }
    const auto pending = this->pendingMessages.find(info.process);
    this->knownProcesses[info.process] = info;
    if (info.kind == ProcessKind::Entry) {
        KnownEntry &known = this->knownEntries[info.process];
        const bool isNewer = known.info.incarnation < info.incarnation;
        if (isNewer) {
            known = {info, Loop::now()};
            Located announcement;
            announcement.peers.push_back(info);
            for (const auto &[process, connections] : this->connectionsByProcess) {
                if (this->options.self.kind == ProcessKind::Entry && process != info.process
                    && !connections.empty())
                    this->write(*connections.front(), announcement);
            }
        }
    }
    if (pending != this->pendingMessages.end() && this->findConnection(info.process) == nullptr)
        this->dial(info.address);
}

void Peers::answerLocate(const std::string &to, const std::string &process)
{
    Located answer;
    const Connection *connection = this->findConnection(process);
    if (connection == nullptr)
        return;
    answer.peers.push_back(connection->peer);
    this->send(to, answer);
}

Peers::Connection *Peers::findConnection(const std::string &process)
{
    const auto found = this->connectionsByProcess.find(process);
    if (found == this->connectionsByProcess.end() || found->second.empty())
        return nullptr;
    return found->second.front();
}

void Peers::send(const std::string &to, const Message &message)
{
    if (to == this->options.self.process) {
        this->loop.after(0, [this, message] {
            this->handlers.messageReceived(this->options.self.process, message);
        });
        return;
    }
    if (Connection *connection = this->findConnection(to)) {
        this->write(*connection, message);
        return;
    }
    const bool isFirst = this->pendingMessages.count(to) == 0;
    PendingMessages &queue = this->pendingMessages[to];
    if (isFirst)
        queue.since = Loop::now();
    if (queue.messages.size() >= this->options.maxPendingMessages)
        queue.messages.pop_front();
    queue.messages.push_back(message);
    if (const auto known = this->knownProcesses.find(to); known != this->knownProcesses.end())
        this->dial(known->second.address);
    if (!isFirst)
        return;
    Locate locate;
    locate.process = to;
    for (const auto &[process, connections] : this->connectionsByProcess) {
        if (!connections.empty() && connections.front()->peer.kind == ProcessKind::Entry)
            this->write(*connections.front(), locate);
    }
}

void Peers::write(Connection &connection, const Message &message)
{
    Reason reason;
    const auto frame = encodeFrame(message, reason);
    if (connection.socket == nullptr)
        return;
    if (!frame) {
        LOG(ERROR) << "message to " << connection.peer.process << " not sent: " << reason.text;
        return;
    }
    PeerTraffic &counters = this->trafficByType[typeName(message)];
    counters.sentBytes += frame->size();
    if (connection.helloReceived && connection.peer.region != this->options.self.region)
        counters.crossRegionSentBytes += frame->size();
    connection.queuedFrames += *frame;
    if (connection.queuedFrames.size() > this->options.maxQueuedBytes) {
        this->close(connection, "send queue is full; the peer reads too slowly");
        return;
    }
    this->flush(connection);
}

void Peers::flush(Connection &connection)
{
    if (connection.socket == nullptr || !connection.framesInWrite.empty()
        || connection.queuedFrames.empty())
        return;
    connection.framesInWrite.swap(connection.queuedFrames);
    h2o_iovec_t buffer =
        h2o_iovec_init(connection.framesInWrite.data(), connection.framesInWrite.size());
    h2o_socket_write(connection.socket, &buffer, 1, [](h2o_socket_t *socket, const char *error) {
        auto &written = *static_cast<Connection *>(socket->data);
        written.framesInWrite.clear();
        if (error != nullptr)
            written.peers->close(written, error);
        else
            written.peers->flush(written);
    });
}

bool Peers::flushed() const
{
    return std::all_of(
        this->connections.begin(), this->connections.end(), [](const auto &connection) {
            return connection->socket == nullptr
                || (connection->queuedFrames.empty() && connection->framesInWrite.empty());
        });
}

void Peers::close(Connection &connection, std::string_view cause)
{
    if (connection.socket == nullptr)
        return;
    h2o_socket_close(std::exchange(connection.socket, nullptr));
    if (!connection.dialledAddress.empty()) {
        const TimeMs delay = this->options.redialMs
            + static_cast<TimeMs>(this->random()
                                  % static_cast<std::uint64_t>(this->options.redialMs));
        this->loop.after(delay, [this, address = connection.dialledAddress] {
            this->dialledAddresses.erase(address);
        });
    }
    if (!connection.established) {
        VLOG(1) << "connection to '" << connection.peer.process << "' " << connection.dialledAddress
                << " closed before it was established: " << cause;
        return;
    }
    LOG(INFO) << "connection to " << connection.peer.process << " closed: " << cause;
    std::vector<Connection *> &sameProcess = this->connectionsByProcess[connection.peer.process];
    sameProcess.erase(std::remove(sameProcess.begin(), sameProcess.end(), &connection),
                      sameProcess.end());
    if (!sameProcess.empty())
        return;
    this->connectionsByProcess.erase(connection.peer.process);
    this->handlers.peerDisconnected(connection.peer.process);
}

// Closes connections whose handshake timed out, frees closed connections and drops pending messages
// after their lifetime.
void Peers::cleanUp()
{
    const TimeMs now = Loop::now();
    for (const auto &connection : this->connections) {
        if (connection->established || now - connection->openedAt <= this->options.helloTimeoutMs)
            continue;
        if (connection->socket != nullptr)
            ++this->refusedCount;
        this->close(*connection, "handshake timed out");
    }
    this->connections.erase(
        std::remove_if(this->connections.begin(), this->connections.end(),
                       [](const auto &connection) { return connection->socket == nullptr; }),
        this->connections.end());
    for (auto queue = this->pendingMessages.begin(); queue != this->pendingMessages.end();) {
        if (now - queue->second.since > this->options.pendingMessageLifetimeMs)
            queue = this->pendingMessages.erase(queue);
        else
            ++queue;
    }
}

std::vector<PeerInfo> Peers::connected() const
{
    std::vector<PeerInfo> result;
    for (const auto &[process, connections] : this->connectionsByProcess) {
        if (!connections.empty())
            result.push_back(connections.front()->peer);
    }
    return result;
}

std::string Peers::computeProof(std::string_view nonce, std::string_view prover,
                                std::string_view verifier) const
{
    if (this->options.key.empty())
        return "";
    const std::string text =
        std::string(nonce) + '\n' + std::string(prover) + '\n' + std::string(verifier);
    unsigned char mac[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    HMAC(EVP_sha256(), this->options.key.data(), static_cast<int>(this->options.key.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), mac, &length);
    return {reinterpret_cast<const char *>(mac), length};
}

} // namespace flamingo::adapters

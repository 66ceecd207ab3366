// A connection passes three states: waiting for Hello, waiting for Proof, established. Both sides
// send Hello at once and Proof as soon as the other's nonce is known, so establishing takes one
// round trip. Two processes may dial each other at the same time; both connections are kept, a
// message uses the oldest, and the peer counts as down when the last one is closed.
//
// A closed connection is only marked; its memory is freed from a timer, because close() may be
// reached from inside one of its own callbacks.

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

constexpr TimeMs keepConnectedMs = 200;
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

bool validPeer(const PeerInfo &info)
{
    return !info.process.empty() && info.process.size() <= maxNameBytes
        && info.region.size() <= maxNameBytes && info.dataCentre.size() <= maxNameBytes
        && info.rack.size() <= maxNameBytes && info.address.size() <= maxNameBytes;
}

} // namespace

struct Peers::Connection
{
    Peers *owner = nullptr;
    h2o_socket_t *socket = nullptr; // nullptr: closed
    std::string dialled; // address when this side opened the connection
    std::string nonce;
    PeerInfo peer;
    bool greeted = false;
    bool proven = false;
    TimeMs opened = 0;
    std::string queued;
    std::string writing;
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
    loop.after(0, [owner = peers.get()] { owner->keepConnected(); });
    loop.every(keepConnectedMs, [owner = peers.get()] {
        owner->keepConnected();
        owner->sweep();
    });
    return peers;
}

void Peers::accept(h2o_socket_t *listening)
{
    h2o_socket_t *socket = h2o_evloop_socket_accept(listening);
    if (socket == nullptr)
        return;
    if (this->connections.size() >= this->options.maxConnections) {
        ++this->refused;
        h2o_socket_close(socket);
        return;
    }
    this->greet(this->adopt(socket, ""));
}

Peers::Connection &Peers::adopt(h2o_socket_t *socket, const std::string &dialled)
{
    auto connection = std::make_unique<Connection>();
    connection->owner = this;
    connection->socket = socket;
    connection->dialled = dialled;
    connection->nonce = makeNonce();
    connection->opened = Loop::now();
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
    if (!parsed || this->dialling.count(address) > 0)
        return;
    auto target = *parsed;
    const auto onConnect = [](h2o_socket_t *socket, const char *error) {
        auto &connection = *static_cast<Connection *>(socket->data);
        if (error != nullptr)
            connection.owner->close(connection, error);
        else
            connection.owner->greet(connection);
    };
    h2o_socket_t *socket = h2o_socket_connect(
        this->loop.handle(), reinterpret_cast<sockaddr *>(&target), sizeof(target), onConnect);
    if (socket == nullptr)
        return;
    this->dialling.insert(address);
    this->adopt(socket, address);
}

// Dials every seed and every entry that this process should be connected to.
void Peers::keepConnected()
{
    std::set<std::string> wanted(this->options.seeds.begin(), this->options.seeds.end());
    const bool isEntry = this->options.self.kind == ProcessKind::Entry;
    const TimeMs now = Loop::now();
    for (auto entry = this->entries.begin(); entry != this->entries.end();) {
        const bool isConnected = this->find(entry->first) != nullptr;
        if (isConnected)
            entry->second.lastUp = now;
        if (now - entry->second.lastUp > this->options.forgetEntryMs) {
            entry = this->entries.erase(entry);
            continue;
        }
        if (!isConnected && (isEntry || entry->second.info.region == this->options.self.region))
            wanted.insert(entry->second.info.address);
        ++entry;
    }
    for (const auto &connection : this->connections) {
        if (connection->socket == nullptr)
            continue;
        wanted.erase(connection->dialled);
        wanted.erase(connection->peer.address);
    }
    wanted.erase(this->options.self.address);
    for (const std::string &address : wanted)
        this->dial(address);
}

void Peers::greet(Connection &connection)
{
    Hello hello;
    hello.nonce = connection.nonce;
    hello.peers.push_back(this->options.self);
    for (const auto &[name, entry] : this->entries)
        hello.peers.push_back(entry.info);
    this->write(connection, hello);
    h2o_socket_read_start(connection.socket, [](h2o_socket_t *socket, const char *error) {
        auto &reading = *static_cast<Connection *>(socket->data);
        if (error != nullptr)
            reading.owner->close(reading, error);
        else
            reading.owner->read(reading);
    });
}

void Peers::read(Connection &connection)
{
    while (connection.socket != nullptr) {
        h2o_buffer_t *&input = connection.socket->input;
        const std::string_view bytes(input->bytes, input->size);
        if (bytes.size() < frameHeaderBytes)
            return;
        const std::size_t bodyBytes = frameBodyBytes(bytes);
        if (bodyBytes > maxFrameBytes) {
            ++this->refused;
            this->close(connection, "frame exceeds the size limit");
            return;
        }
        if (bytes.size() < frameHeaderBytes + bodyBytes)
            return;
        Reason reason;
        auto message = decodeBody(bytes.substr(frameHeaderBytes, bodyBytes), reason);
        h2o_buffer_consume(&input, frameHeaderBytes + bodyBytes);
        if (!message) {
            ++this->refused;
            this->close(connection, reason.text);
            return;
        }
        this->trafficByType[typeName(*message)].receivedBytes += frameHeaderBytes + bodyBytes;
        if (!this->take(connection, std::move(*message)))
            return;
    }
}

// Returns false when the connection was closed.
bool Peers::take(Connection &connection, Message message)
{
    if (const auto *hello = std::get_if<Hello>(&message))
        return this->takeHello(connection, *hello);
    if (const auto *proof = std::get_if<Proof>(&message))
        return this->takeProof(connection, *proof);
    if (!connection.proven) {
        ++this->refused;
        this->close(connection, "message before Hello and Proof");
        return false;
    }
    if (const auto *locate = std::get_if<Locate>(&message)) {
        this->answerLocate(connection.peer.process, locate->process);
        return true;
    }
    if (const auto *answer = std::get_if<Located>(&message)) {
        for (const PeerInfo &info : answer->peers)
            this->learn(info);
        return true;
    }
    this->handlers.message(connection.peer.process, std::move(message));
    return connection.socket != nullptr;
}

bool Peers::takeHello(Connection &connection, const Hello &hello)
{
    if (connection.greeted || hello.peers.empty() || !validPeer(hello.peers.front())) {
        ++this->refused;
        this->close(connection, "invalid Hello");
        return false;
    }
    connection.greeted = true;
    connection.peer = hello.peers.front();
    if (connection.peer.process == this->options.self.process) {
        this->close(connection, "connection to the own process");
        return false;
    }
    for (const PeerInfo &info : hello.peers) {
        if (info.kind == ProcessKind::Entry && validPeer(info))
            this->located[info.process] = info;
    }
    Proof proof;
    proof.mac = this->proofFor(hello.nonce, this->options.self.process, connection.peer.process);
    this->write(connection, proof);
    return connection.socket != nullptr;
}

bool Peers::takeProof(Connection &connection, const Proof &proof)
{
    const std::string expected =
        this->proofFor(connection.nonce, connection.peer.process, this->options.self.process);
    const bool matches = connection.greeted && proof.mac.size() == expected.size()
        && CRYPTO_memcmp(proof.mac.data(), expected.data(), expected.size()) == 0;
    if (!matches) {
        ++this->refused;
        this->close(connection, "peer does not hold the same key");
        return false;
    }
    connection.proven = true;
    this->established(connection);
    return connection.socket != nullptr;
}

void Peers::established(Connection &connection)
{
    const PeerInfo peer = connection.peer;
    std::vector<Connection *> &sameProcess = this->byProcess[peer.process];
    // A process that restarted replaces its former incarnation.
    const std::vector<Connection *> former = sameProcess;
    for (Connection *other : former) {
        if (other->peer.incarnation < peer.incarnation)
            this->close(*other, "replaced by a newer incarnation");
    }
    std::vector<Connection *> &current = this->byProcess[peer.process];
    current.push_back(&connection);
    const bool isNew = current.size() == 1;
    for (const auto &[name, info] : std::map<std::string, PeerInfo>(this->located)) {
        if (info.kind == ProcessKind::Entry)
            this->learn(info);
    }
    this->learn(peer);
    if (isNew)
        this->handlers.up(peer);
    const auto queue = this->waiting.find(peer.process);
    if (queue == this->waiting.end())
        return;
    const std::deque<Message> messages = std::move(queue->second.messages);
    this->waiting.erase(queue);
    for (const Message &message : messages)
        this->send(peer.process, message);
}

// Remembers the address of a process; tells everyone about an entry that is new.
void Peers::learn(const PeerInfo &info)
{
    if (!validPeer(info) || info.process == this->options.self.process)
        return;
    const auto waitingFor = this->waiting.find(info.process);
    this->located[info.process] = info;
    if (info.kind == ProcessKind::Entry) {
        KnownEntry &known = this->entries[info.process];
        const bool isNews = known.info.incarnation < info.incarnation;
        if (isNews) {
            known = {info, Loop::now()};
            Located news;
            news.peers.push_back(info);
            for (const auto &[process, connections] : this->byProcess) {
                if (this->options.self.kind == ProcessKind::Entry && process != info.process
                    && !connections.empty())
                    this->write(*connections.front(), news);
            }
        }
    }
    if (waitingFor != this->waiting.end() && this->find(info.process) == nullptr)
        this->dial(info.address);
}

void Peers::answerLocate(const std::string &to, const std::string &process)
{
    Located answer;
    const Connection *connection = this->find(process);
    if (connection == nullptr)
        return;
    answer.peers.push_back(connection->peer);
    this->send(to, answer);
}

Peers::Connection *Peers::find(const std::string &process)
{
    const auto found = this->byProcess.find(process);
    if (found == this->byProcess.end() || found->second.empty())
        return nullptr;
    return found->second.front();
}

void Peers::send(const std::string &to, const Message &message)
{
    if (to == this->options.self.process) {
        this->loop.after(
            0, [this, message] { this->handlers.message(this->options.self.process, message); });
        return;
    }
    if (Connection *connection = this->find(to)) {
        this->write(*connection, message);
        return;
    }
    const bool isFirst = this->waiting.count(to) == 0;
    Waiting &queue = this->waiting[to];
    if (isFirst)
        queue.since = Loop::now();
    if (queue.messages.size() >= this->options.maxWaitingMessages)
        queue.messages.pop_front();
    queue.messages.push_back(message);
    if (const auto known = this->located.find(to); known != this->located.end())
        this->dial(known->second.address);
    if (!isFirst)
        return;
    Locate locate;
    locate.process = to;
    for (const auto &[process, connections] : this->byProcess) {
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
    if (connection.greeted && connection.peer.region != this->options.self.region)
        counters.crossRegionSentBytes += frame->size();
    connection.queued += *frame;
    if (connection.queued.size() > this->options.maxQueuedBytes) {
        this->close(connection, "peer reads too slowly");
        return;
    }
    this->flush(connection);
}

void Peers::flush(Connection &connection)
{
    if (connection.socket == nullptr || !connection.writing.empty() || connection.queued.empty())
        return;
    connection.writing.swap(connection.queued);
    h2o_iovec_t buffer = h2o_iovec_init(connection.writing.data(), connection.writing.size());
    h2o_socket_write(connection.socket, &buffer, 1, [](h2o_socket_t *socket, const char *error) {
        auto &written = *static_cast<Connection *>(socket->data);
        written.writing.clear();
        if (error != nullptr)
            written.owner->close(written, error);
        else
            written.owner->flush(written);
    });
}

bool Peers::flushed() const
{
    return std::all_of(this->connections.begin(), this->connections.end(),
                       [](const auto &connection) {
                           return connection->socket == nullptr
                               || (connection->queued.empty() && connection->writing.empty());
                       });
}

void Peers::close(Connection &connection, std::string_view cause)
{
    if (connection.socket == nullptr)
        return;
    h2o_socket_close(std::exchange(connection.socket, nullptr));
    if (!connection.dialled.empty()) {
        const TimeMs delay = this->options.redialMs
            + static_cast<TimeMs>(this->random()
                                  % static_cast<std::uint64_t>(this->options.redialMs));
        this->loop.after(delay,
                         [this, address = connection.dialled] { this->dialling.erase(address); });
    }
    if (!connection.proven) {
        VLOG(1) << "connection to '" << connection.peer.process << "' " << connection.dialled
                << " closed before it was established: " << cause;
        return;
    }
    LOG(INFO) << "connection to " << connection.peer.process << " closed: " << cause;
    std::vector<Connection *> &sameProcess = this->byProcess[connection.peer.process];
    sameProcess.erase(std::remove(sameProcess.begin(), sameProcess.end(), &connection),
                      sameProcess.end());
    if (!sameProcess.empty())
        return;
    this->byProcess.erase(connection.peer.process);
    this->handlers.down(connection.peer.process);
}

// Frees closed connections, ends those that did not establish in time and drops old messages.
void Peers::sweep()
{
    const TimeMs now = Loop::now();
    for (const auto &connection : this->connections) {
        if (connection->proven || now - connection->opened <= this->options.helloTimeoutMs)
            continue;
        if (connection->socket != nullptr)
            ++this->refused;
        this->close(*connection, "no valid Hello and Proof in time");
    }
    this->connections.erase(
        std::remove_if(this->connections.begin(), this->connections.end(),
                       [](const auto &connection) { return connection->socket == nullptr; }),
        this->connections.end());
    for (auto queue = this->waiting.begin(); queue != this->waiting.end();) {
        if (now - queue->second.since > this->options.waitingMs)
            queue = this->waiting.erase(queue);
        else
            ++queue;
    }
}

std::vector<PeerInfo> Peers::connected() const
{
    std::vector<PeerInfo> result;
    for (const auto &[process, connections] : this->byProcess) {
        if (!connections.empty())
            result.push_back(connections.front()->peer);
    }
    return result;
}

std::string Peers::proofFor(std::string_view nonce, std::string_view prover,
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

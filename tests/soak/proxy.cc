// Each direction of a connection has a queue of chunks with the time when they are due. Reading
// never stops, so a held direction needs memory for what its sender writes; requests are small.

#include "tests/soak/proxy.h"

#include "flamingo/adapters/loop.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>

namespace flamingo::soak {
namespace {

using adapters::Loop;

constexpr std::string_view addressPrefix = "127.1";
constexpr std::size_t viewLength = 8; // "127.1NN."
constexpr int pollMs = 5; // bounds how late a due chunk is delivered
constexpr std::size_t readBytes = 65536;

void replaceAddresses(std::string &bytes, const std::string &view)
{
    for (std::size_t at = bytes.find(addressPrefix); at != std::string::npos;
         at = bytes.find(addressPrefix, at + 1)) {
        if (at + viewLength <= bytes.size() && bytes[at + viewLength - 1] == '.'
            && std::isdigit(static_cast<unsigned char>(bytes[at + 5])) != 0
            && std::isdigit(static_cast<unsigned char>(bytes[at + 6])) != 0)
            bytes.replace(at, viewLength, view);
    }
}

int openSocket()
{
    return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
}

} // namespace

Proxy::~Proxy()
{
    this->stopping = true;
    if (this->thread.joinable())
        this->thread.join();
}

bool Proxy::add(const Link &link, Reason &reason)
{
    const auto target = adapters::parseAddress(link.target, reason);
    const auto own = adapters::parseAddress(link.listen, reason);
    if (!target || !own)
        return false;
    Listener &listener = this->listeners.emplace_back();
    listener.link = link;
    listener.target = *target;
    listener.socket = openSocket();
    const int on = 1;
    setsockopt(listener.socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(listener.socket, reinterpret_cast<const sockaddr *>(&*own), sizeof(*own)) == 0
        && listen(listener.socket, SOMAXCONN) == 0)
        return true;
    reason.text = "cannot listen on " + link.listen;
    return false;
}

void Proxy::run()
{
    this->thread = std::thread([this] { this->serve(); });
}

void Proxy::changeLinks(const std::function<void(Link &)> &change)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (Listener &listener : this->listeners)
        change(listener.link);
}

void Proxy::serve()
{
    std::vector<pollfd> polled;
    while (!this->stopping) {
        polled.clear();
        for (const Listener &listener : this->listeners)
            polled.push_back({listener.socket, POLLIN, 0});
        // A negative descriptor is not polled: a source that has closed would always be ready.
        for (const Connection &connection : this->connections) {
            for (const Direction direction : {Forth, Back})
                polled.push_back(
                    {connection.closed[direction] ? -1 : connection.sockets[direction], POLLIN, 0});
        }
        poll(polled.data(), polled.size(), pollMs);
        const std::lock_guard<std::mutex> lock(this->mutex);
        auto entry = polled.begin() + static_cast<std::ptrdiff_t>(this->listeners.size());
        for (Connection &connection : this->connections) {
            for (const Direction direction : {Forth, Back}) {
                if ((entry++)->revents != 0)
                    read(connection, direction);
            }
            for (const Direction direction : {Forth, Back})
                write(connection, direction);
            if (!over(connection))
                continue;
            const linger reset = {1, 0};
            for (int &socket : connection.sockets) {
                if (connection.link->refusing)
                    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                ::close(std::exchange(socket, -1));
            }
        }
        this->connections.remove_if(
            [](const Connection &connection) { return connection.sockets[Forth] < 0; });
        entry = polled.begin();
        for (Listener &listener : this->listeners) {
            if ((entry++)->revents != 0)
                this->accept(listener);
        }
    }
    for (const Connection &connection : this->connections) {
        for (const int socket : connection.sockets)
            ::close(socket);
    }
    for (const Listener &listener : this->listeners)
        ::close(listener.socket);
}

void Proxy::accept(Listener &listener)
{
    const int socket = accept4(listener.socket, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (socket < 0)
        return;
    Connection &connection = this->connections.emplace_back();
    connection.link = &listener.link;
    connection.sockets = {socket, openSocket()};
    const int result =
        connect(connection.sockets[Back], reinterpret_cast<const sockaddr *>(&listener.target),
                sizeof(listener.target));
    connection.broken = result != 0 && errno != EINPROGRESS;
}

void Proxy::read(Connection &connection, Direction direction)
{
    std::string bytes(readBytes, '\0');
    const ssize_t count = recv(connection.sockets[direction], bytes.data(), bytes.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == ENOTCONN))
        return;
    if (count < 0 && errno == ECONNREFUSED)
        connection.broken = true;
    if (count <= 0) {
        connection.closed[direction] = true;
        return;
    }
    bytes.resize(static_cast<std::size_t>(count));
    const Link &link = *connection.link;
    if (link.flow[direction] == Flow::Lost)
        connection.lost[direction] = true;
    if (connection.lost[direction])
        return;
    if (direction == Back)
        replaceAddresses(bytes, link.view);
    connection.queues[direction].push_back(
        {Loop::now() + link.delayMs[direction], std::move(bytes)});
}

void Proxy::write(Connection &connection, Direction direction)
{
    auto &queue = connection.queues[direction];
    while (!queue.empty() && connection.link->flow[direction] == Flow::Passing
           && queue.front().due <= Loop::now()) {
        std::string &bytes = queue.front().bytes;
        const ssize_t count =
            send(connection.sockets[1 - direction], bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == ENOTCONN))
            return;
        if (count < 0) {
            connection.broken = true;
            return;
        }
        bytes.erase(0, static_cast<std::size_t>(count));
        if (bytes.empty())
            queue.pop_front();
    }
}

// A connection whose one side has closed ends when the other has received what was sent before.
bool Proxy::over(const Connection &connection)
{
    if (connection.broken || connection.link->refusing)
        return true;
    return (connection.closed[Forth] && connection.queues[Forth].empty())
        || (connection.closed[Back] && connection.queues[Back].empty());
}

} // namespace flamingo::soak

// A TCP relay for tests: forwards connections and cuts them on request, to simulate a network
// partition between two regions.
//
//   relay CONTROL LISTEN=TARGET...   all "IP:port"
//
// POST /cut on CONTROL closes all connections and from then on closes each new one at once; POST
// /join forwards new connections again. GET /bytes returns the number of bytes forwarded so far.
// SIGTERM ends the program.

#include "flamingo/adapters/http_server.h"

#include <iostream>
#include <list>

namespace {

using namespace flamingo;
using namespace flamingo::adapters;

struct Relay;

struct RelayedConnection
{
    Relay *relay = nullptr;
    h2o_socket_t *clientSocket = nullptr;
    h2o_socket_t *targetSocket = nullptr;
    std::string writeBuffers[2]; // by direction, as in forward()
    bool writePending[2] = {false, false};
};

struct Relay
{
    Loop loop;
    std::list<std::unique_ptr<RelayedConnection>> connections;
    bool isCut = false;
    std::uint64_t forwardedBytes = 0;
};

struct Listener
{
    Relay *relay;
    sockaddr_in target;
};

// Closes both sockets; the loop frees the connection after its callbacks have returned.
void closeConnection(RelayedConnection &connection)
{
    for (h2o_socket_t **socket : {&connection.clientSocket, &connection.targetSocket}) {
        if (*socket != nullptr)
            h2o_socket_close(std::exchange(*socket, nullptr));
    }
    Relay *relay = connection.relay;
    relay->loop.after(0, [relay, &connection] {
        relay->connections.remove_if(
            [&connection](const auto &owned) { return owned.get() == &connection; });
    });
}

// Writes what was read from one socket to the other, unless a write in this direction is in
// progress. Direction 0 is from the client to the target, direction 1 from the target to the
// client.
void forward(RelayedConnection &connection, int direction)
{
    h2o_socket_t *source = direction == 0 ? connection.clientSocket : connection.targetSocket;
    h2o_socket_t *sink = direction == 0 ? connection.targetSocket : connection.clientSocket;
    if (source == nullptr || sink == nullptr || connection.writePending[direction]
        || source->input->size == 0)
        return;
    connection.writePending[direction] = true;
    connection.writeBuffers[direction].assign(source->input->bytes, source->input->size);
    connection.relay->forwardedBytes += source->input->size;
    h2o_buffer_consume(&source->input, source->input->size);
    h2o_iovec_t buffer = h2o_iovec_init(connection.writeBuffers[direction].data(),
                                        connection.writeBuffers[direction].size());
    h2o_socket_write(sink, &buffer, 1, [](h2o_socket_t *socket, const char *error) {
        auto &written = *static_cast<RelayedConnection *>(socket->data);
        const int writtenDirection = socket == written.targetSocket ? 0 : 1;
        written.writePending[writtenDirection] = false;
        if (error != nullptr)
            closeConnection(written);
        else
            forward(written, writtenDirection);
    });
}

void startReading(h2o_socket_t *socket)
{
    h2o_socket_read_start(socket, [](h2o_socket_t *reading, const char *error) {
        auto &connection = *static_cast<RelayedConnection *>(reading->data);
        if (error != nullptr)
            closeConnection(connection);
        else
            forward(connection, reading == connection.clientSocket ? 0 : 1);
    });
}

void acceptConnection(h2o_socket_t *listening, const char *error)
{
    auto &listener = *static_cast<Listener *>(listening->data);
    h2o_socket_t *socket = error == nullptr ? h2o_evloop_socket_accept(listening) : nullptr;
    if (socket == nullptr)
        return;
    if (listener.relay->isCut) {
        h2o_socket_close(socket);
        return;
    }
    auto connection = std::make_unique<RelayedConnection>();
    connection->relay = listener.relay;
    connection->clientSocket = socket;
    connection->targetSocket = h2o_socket_connect(
        listener.relay->loop.handle(), reinterpret_cast<sockaddr *>(&listener.target),
        sizeof(listener.target), [](h2o_socket_t *connected, const char *failure) {
            auto &opened = *static_cast<RelayedConnection *>(connected->data);
            if (failure != nullptr) {
                closeConnection(opened);
                return;
            }
            startReading(opened.clientSocket);
            startReading(opened.targetSocket);
        });
    connection->clientSocket->data = connection.get();
    connection->targetSocket->data = connection.get();
    listener.relay->connections.push_back(std::move(connection));
}

void setCut(Relay &relay, bool cut)
{
    relay.isCut = cut;
    if (!cut)
        return;
    for (const auto &connection : relay.connections)
        closeConnection(*connection);
}

} // namespace

int main(int argc, char **argv)
{
    Relay relay;
    Reason reason;
    std::list<Listener> listeners;
    std::unique_ptr<HttpServer> control;
    HttpServerOptions options;
    options.address = argc > 1 ? argv[1] : "";
    control = HttpServer::listen(
        relay.loop, options,
        [&](const HttpRequest &request) {
            if (request.method == "POST")
                setCut(relay, request.path == "/cut");
            control->respond(request.id,
                             {200, "{\"bytes\":" + std::to_string(relay.forwardedBytes) + "}\n"});
        },
        nullptr, reason);
    bool valid = control != nullptr && argc > 2;
    for (int i = 2; valid && i < argc; ++i) {
        const std::string_view route = argv[i];
        const auto equals = route.find('=');
        const auto target =
            parseAddress(route.substr(std::min(equals, route.size() - 1) + 1), reason);
        valid = equals != std::string_view::npos && target.has_value();
        if (!valid)
            break;
        listeners.push_back({&relay, *target});
        valid = listenOn(relay.loop, route.substr(0, equals), acceptConnection, &listeners.back(),
                         reason)
            != nullptr;
    }
    if (!valid) {
        std::cerr << "relay CONTROL LISTEN=TARGET...: " << reason.text << "\n";
        return 1;
    }
    relay.loop.onShutdownSignal([&relay] { relay.loop.stop(); });
    relay.loop.run();
    return 0;
}

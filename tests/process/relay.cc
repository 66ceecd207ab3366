// A TCP relay for tests: forwards connections and can cut them, like the link between two regions.
//
//   relay CONTROL LISTEN=TARGET...   all "IP:port"
//
// POST /cut on CONTROL closes every connection and refuses new ones; POST /join forwards again. GET
// /bytes answers the number of bytes forwarded. Ends after SIGTERM.

#include "flamingo/adapters/http_server.h"

#include <iostream>
#include <list>

namespace {

using namespace flamingo;
using namespace flamingo::adapters;

struct Relay;

struct Pipe
{
    Relay *relay = nullptr;
    h2o_socket_t *from = nullptr;
    h2o_socket_t *to = nullptr;
    std::string writing[2];
    bool busy[2] = {false, false};
};

struct Relay
{
    Loop loop;
    std::list<std::unique_ptr<Pipe>> pipes;
    bool isCut = false;
    std::uint64_t bytes = 0;
};

struct Listener
{
    Relay *relay;
    sockaddr_in target;
};

void closePipe(Pipe &pipe)
{
    for (h2o_socket_t **socket : {&pipe.from, &pipe.to}) {
        if (*socket != nullptr)
            h2o_socket_close(std::exchange(*socket, nullptr));
    }
    Relay *relay = pipe.relay;
    relay->loop.after(0, [relay, &pipe] {
        relay->pipes.remove_if([&pipe](const auto &owned) { return owned.get() == &pipe; });
    });
}

// Moves what was read on one side to the other; direction 0 is from -> to.
void forward(Pipe &pipe, int direction)
{
    h2o_socket_t *source = direction == 0 ? pipe.from : pipe.to;
    h2o_socket_t *sink = direction == 0 ? pipe.to : pipe.from;
    if (source == nullptr || sink == nullptr || pipe.busy[direction] || source->input->size == 0)
        return;
    pipe.busy[direction] = true;
    pipe.writing[direction].assign(source->input->bytes, source->input->size);
    pipe.relay->bytes += source->input->size;
    h2o_buffer_consume(&source->input, source->input->size);
    h2o_iovec_t buffer =
        h2o_iovec_init(pipe.writing[direction].data(), pipe.writing[direction].size());
    h2o_socket_write(sink, &buffer, 1, [](h2o_socket_t *socket, const char *error) {
        auto &written = *static_cast<Pipe *>(socket->data);
        const int finished = socket == written.to ? 0 : 1;
        written.busy[finished] = false;
        if (error != nullptr)
            closePipe(written);
        else
            forward(written, finished);
    });
}

void startReading(h2o_socket_t *socket)
{
    h2o_socket_read_start(socket, [](h2o_socket_t *reading, const char *error) {
        auto &pipe = *static_cast<Pipe *>(reading->data);
        if (error != nullptr)
            closePipe(pipe);
        else
            forward(pipe, reading == pipe.from ? 0 : 1);
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
    auto pipe = std::make_unique<Pipe>();
    pipe->relay = listener.relay;
    pipe->from = socket;
    pipe->to = h2o_socket_connect(
        listener.relay->loop.handle(), reinterpret_cast<sockaddr *>(&listener.target),
        sizeof(listener.target), [](h2o_socket_t *connected, const char *failure) {
            auto &opened = *static_cast<Pipe *>(connected->data);
            if (failure != nullptr) {
                closePipe(opened);
                return;
            }
            startReading(opened.from);
            startReading(opened.to);
        });
    pipe->from->data = pipe.get();
    pipe->to->data = pipe.get();
    listener.relay->pipes.push_back(std::move(pipe));
}

void setCut(Relay &relay, bool cut)
{
    relay.isCut = cut;
    if (!cut)
        return;
    for (const auto &pipe : relay.pipes)
        closePipe(*pipe);
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
                             {200, "{\"bytes\":" + std::to_string(relay.bytes) + "}\n"});
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

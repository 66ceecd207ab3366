#ifndef FLAMINGO_ADAPTERS_HTTP_SERVER_H
#define FLAMINGO_ADAPTERS_HTTP_SERVER_H

// HTTP/1.1 and HTTP/2 server on h2o, for callers and operators.
//
// Every request gets an id. The handler may call respond() at once or much later. When the client
// disconnects first, a later respond() with that id has no effect. With HTTP/2 `onDisconnect` is
// then called at once; with HTTP/1 h2o does not read from the connection until the response is
// sent, so the disconnect is not detected and the handler must bound the time until it responds.

#include "flamingo/adapters/loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace flamingo::adapters {

using HttpRequestId = std::uint64_t;

struct HttpRequest
{
    HttpRequestId id = 0;
    std::string method;
    std::string path; // without the query
    std::map<std::string, std::string, std::less<>> query;
    std::map<std::string, std::string, std::less<>> headers; // names in lower case
    std::string body;
};

struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::uint32_t retryAfterSeconds = 0; // 0: no Retry-After header
    bool closeConnection = false; // makes the client open a new connection for its next request
};

struct HttpServerOptions
{
    std::string address; // "IP:port"
    std::size_t maxBodyBytes = 1048576; // larger bodies are rejected with 413
    std::size_t maxPendingRequests = 4096; // without a response; more are rejected with 503
    std::size_t maxConnections = 1024; // more are closed at once
    TimeMs requestTimeoutMs = 10000; // to receive a whole request
    TimeMs idleTimeoutMs = 30000; // between two requests of a connection
};

class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest)>;
    using DisconnectCallback = std::function<void(HttpRequestId)>;

    // Starts listening; nullptr with a reason when the address cannot be bound.
    static std::unique_ptr<HttpServer> listen(Loop &loop, const HttpServerOptions &options,
                                              Handler handler, DisconnectCallback onDisconnect,
                                              Reason &reason);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Sends the response; no effect when the client has disconnected or was sent one already.
    void respond(HttpRequestId request, const HttpResponse &response);

    // Stops accepting connections and closes idle ones. Pending requests can still be responded to.
    void shutDown();

    // Number of requests without a response.
    std::size_t pendingCount() const
    {
        return this->requests.size();
    }

    // Number of connections that were closed because of `maxConnections`.
    std::uint64_t refusedConnections() const
    {
        return this->refused;
    }

private:
    struct PathHandler;
    struct RequestDisposalHook;
    struct H2oState
    {
        h2o_globalconf_t config = {};
        h2o_context_t context = {};
        h2o_accept_ctx_t acceptContext = {};
    };

    HttpServer(Loop &loop, const HttpServerOptions &options, Handler handler,
               DisconnectCallback onDisconnect);
    void accept(h2o_socket_t *listening);
    void dispatch(h2o_req_t *request);
    void onRequestDisposed(HttpRequestId request);

    HttpServerOptions options;
    Handler handler;
    DisconnectCallback onDisconnect;
    std::shared_ptr<H2oState> h2o; // the loop refers to it, so it lasts as long as the loop
    h2o_socket_t *listener = nullptr;
    HttpRequestId nextRequestId = 1;
    std::size_t openConnections = 0;
    std::uint64_t refused = 0;
    std::unordered_map<HttpRequestId, h2o_req_t *> requests;
};

} // namespace flamingo::adapters

#endif

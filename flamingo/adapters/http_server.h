#ifndef FLAMINGO_ADAPTERS_HTTP_SERVER_H
#define FLAMINGO_ADAPTERS_HTTP_SERVER_H

// HTTP/1.1 and HTTP/2 server on h2o, for callers and operators.
//
// Every request gets an id. The handler may answer at once or much later with respond(). When the
// client goes away first, a later respond() with that id has no effect. With HTTP/2 `onDisconnect`
// is then called at once; with HTTP/1 h2o does not read from the connection until the answer is
// sent, so the departure goes unnoticed and whoever answers must bound the waiting time.

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
    bool closeConnection = false; // the client's next request shall come over a new one
};

struct HttpServerOptions
{
    std::string address; // "IP:port"
    std::size_t maxBodyBytes = 1048576; // larger bodies are answered with 413
    std::size_t maxPending = 4096; // unanswered requests; more are answered with 503
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

    void respond(HttpRequestId request, const HttpResponse &response);

    // Stops accepting connections and ends idle ones. Requests at hand can still be answered.
    void shutDown();

    std::size_t pending() const
    {
        return this->requests.size();
    }

private:
    struct PathHandler;
    struct RequestDisposalHook;

    HttpServer(Loop &loop, const HttpServerOptions &options, Handler handler,
               DisconnectCallback onDisconnect);
    void accept(h2o_socket_t *listening);
    void dispatch(h2o_req_t *request);
    void onRequestDisposed(HttpRequestId request);

    HttpServerOptions options;
    Handler handler;
    DisconnectCallback onDisconnect;
    h2o_globalconf_t config = {};
    h2o_context_t context = {};
    h2o_accept_ctx_t acceptContext = {};
    h2o_socket_t *listener = nullptr;
    HttpRequestId nextRequestId = 1;
    std::size_t openConnections = 0;
    std::unordered_map<HttpRequestId, h2o_req_t *> requests;
};

} // namespace flamingo::adapters

#endif

#ifndef FLAMINGO_ADAPTERS_HTTP_SERVER_H
#define FLAMINGO_ADAPTERS_HTTP_SERVER_H

// HTTP/1.1 and HTTP/2 server on h2o, for callers and operators.
//
// Every request gets an id. The handler may call respond() at once or much later. When the client
// disconnects first, a later respond() with that id has no effect. With HTTP/2 `onDisconnect` is
// then called at once; with HTTP/1 h2o does not read from the connection until the response is
// sent, so the disconnect is not detected and the handler must bound the time until it responds.
//
// Clients may send what they like. A request that announces a larger body than `maxBodyBytes` is
// refused with 413 before its body is read; one that sends more without announcing it, as soon as
// it has. What all connections hold together is bounded by `maxHeldBytes` (see byte_budget.h):
// bytes of requests that are not complete, requests without a response, and those that wait behind
// them. A connection is also closed when its request or its reading of a response makes no
// progress. A request that was cut off is never handed to the handler.

#include "flamingo/adapters/byte_budget.h"
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
    std::size_t maxConnections = 1024; // more are closed at once, see `replaceIdle`
    // Whether a connection beyond `maxConnections` replaces the one that has waited longest for its
    // client, if there is one.
    bool replaceIdle = false;
    std::size_t maxHeldBytes = 0; // of all connections together; 0: no limit
    TimeMs requestTimeoutMs = 10000; // to receive a whole request
    TimeMs stalledRequestMs = 0; // without a byte of a request that has begun; 0: no limit
    TimeMs unreadResponseMs = 0; // until a response has been taken by the client; 0: no limit
    bool http2 = true; // its bodies are not charged to `maxHeldBytes`
    TimeMs idleTimeoutMs = 30000; // between two requests of a connection
};

// Sets the limits for clients that need not keep to any: requests that stall, responses that are
// not read, and idle connections that keep others out. HTTP/2 is turned off, because the bodies of
// its streams are not charged to `maxHeldBytes`.
void limitUnknownClients(HttpServerOptions &options);

// Number of connections that the server has closed, by cause.
struct HttpServerClosures
{
    std::uint64_t refused = 0; // `maxConnections`
    std::uint64_t replaced = 0; // the same, with `replaceIdle`
    std::uint64_t overBudget = 0; // `maxHeldBytes`
    std::uint64_t stalled = 0; // `stalledRequestMs`
    std::uint64_t unread = 0; // `unreadResponseMs`
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

    const HttpServerClosures &closures() const
    {
        return this->closed;
    }

    // Bytes that the connections hold.
    std::size_t heldBytes() const
    {
        return this->budget.heldBytes;
    }

    std::size_t openConnections() const
    {
        return this->connections.size();
    }

    // Sets HttpServerOptions::maxBodyBytes for requests that begin from now on.
    void setMaxBodyBytes(std::size_t bytes);

private:
    struct PathHandler;
    struct RequestDisposalHook;
    struct H2oState
    {
        h2o_globalconf_t config = {};
        h2o_context_t context = {};
        h2o_accept_ctx_t acceptContext = {};
        HttpServer *server = nullptr; // nullptr once the server has been destroyed
    };

    HttpServer(Loop &loop, const HttpServerOptions &options, Handler handler,
               DisconnectCallback onDisconnect);
    void accept(h2o_socket_t *listening);
    void dispatch(h2o_req_t *request);
    void onRequestDisposed(HttpRequestId request, HolderId connection);

    // A connection from its acceptance until h2o closes its socket.
    struct Connection
    {
        HttpServer *server = nullptr;
        HolderId id = 0;
        h2o_socket_t *socket = nullptr;
        h2o_socket_cb read = nullptr; // h2o's own callback, which readAndCharge() calls
        std::size_t requestBytes = 0; // copies of the request that is being handled
        TimeMs respondedAt = 0; // when the response that is being sent was given; 0: none
    };
    static void readAndCharge(h2o_socket_t *socket, const char *error);
    void watch(Connection &connection);
    void chargeConnection(HolderId id, bool progress);
    void keepWithinBudget();
    bool closeConnection(HolderId id, const char *cause);
    void closeInactive();
    void resumeWatching(HolderId id);
    void scheduleInactivityCheck();
    Connection *connectionOf(h2o_req_t *request);

    HttpServerOptions options;
    Handler handler;
    DisconnectCallback onDisconnect;
    std::shared_ptr<H2oState> h2o; // the loop refers to it, so it lasts as long as the loop
    h2o_socket_t *listener = nullptr;
    HttpRequestId nextRequestId = 1;
    Loop &loop;
    ByteBudget budget;
    HolderId nextConnectionId = 1;
    std::unordered_map<HolderId, std::unique_ptr<Connection>> connections;
    HttpServerClosures closed;
    std::unordered_map<HttpRequestId, h2o_req_t *> requests;
};

} // namespace flamingo::adapters

#endif

// h2o frees a request together with its memory pool, also when the client closes the connection
// before the response. A small object in that pool carries a disposal callback, which removes the
// request from the map of pending ones; respond() therefore never accesses a freed request.
//
// h2o reads from a socket whatever has arrived, before it calls the socket's read callback. That
// callback is replaced by readAndCharge(), which charges the socket's input buffer to the budget,
// closes connections if necessary, and then calls h2o's own. The budget is thus exceeded by at most
// what one socket had received. h2o sets its callback again when it resumes reading after a
// response, so the replacement is repeated then. A connection is closed by passing an error to
// h2o's callback, as if the socket had failed.

#include "flamingo/adapters/http_server.h"

#include <h2o/http1.h>

#include <sys/socket.h>

#include <utility>

namespace flamingo::adapters {
namespace {

constexpr int statusServiceUnavailable = 503;
constexpr TimeMs inactivityCheckMs = 500;

// Allocated size of the buffer that a socket is read into.
std::size_t inputBytes(const h2o_socket_t &socket)
{
    return socket.input->bytes == nullptr ? 0 : socket.input->capacity;
}

std::string toString(const h2o_iovec_t &text)
{
    return {text.base, text.len};
}

std::string decodePercent(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%' || i + 2 >= text.size()) {
            result += text[i] == '+' ? ' ' : text[i];
            continue;
        }
        const std::string digits(text.substr(i + 1, 2));
        result += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
        i += 2;
    }
    return result;
}

std::map<std::string, std::string, std::less<>> parseQuery(std::string_view query)
{
    std::map<std::string, std::string, std::less<>> result;
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto pair = query.substr(0, end);
        query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
        const auto equals = pair.find('=');
        if (equals == std::string_view::npos)
            continue;
        result[decodePercent(pair.substr(0, equals))] = decodePercent(pair.substr(equals + 1));
    }
    return result;
}

const char *reasonPhrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 405:
        return "Method Not Allowed";
    case 409:
        return "Conflict";
    case 410:
        return "Gone";
    case 422:
        return "Unprocessable Entity";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

} // namespace

void limitUnknownClients(HttpServerOptions &options)
{
    constexpr TimeMs stalledRequestMs = 5000; // longer than callers wait for an answer
    constexpr TimeMs unreadResponseMs = 10000;
    options.stalledRequestMs = stalledRequestMs;
    options.unreadResponseMs = unreadResponseMs;
    options.replaceIdle = true;
    options.http2 = false;
}

struct HttpServer::PathHandler
{
    h2o_handler_t super; // first member: h2o passes a pointer to it as a pointer to the handler
    HttpServer *server;
};

struct HttpServer::RequestDisposalHook
{
    H2oState *state;
    HttpRequestId id;
    HolderId connection;

    static void dispose(void *object)
    {
        auto *hook = static_cast<RequestDisposalHook *>(object);
        if (hook->state->server != nullptr)
            hook->state->server->onRequestDisposed(hook->id, hook->connection);
    }
};

HttpServer::HttpServer(Loop &loop, const HttpServerOptions &options, Handler handler,
                       DisconnectCallback onDisconnect)
    : options(options)
    , handler(std::move(handler))
    , onDisconnect(std::move(onDisconnect))
    , h2o(std::make_shared<H2oState>())
    , loop(loop)
{
    this->h2o->server = this;
    this->budget.options.limitBytes = options.maxHeldBytes;
    this->budget.options.stalledMs = options.stalledRequestMs;
    loop.keep(this->h2o);
    h2o_config_init(&this->h2o->config);
    this->h2o->config.max_request_entity_size = options.maxBodyBytes;
    this->h2o->config.http1.upgrade_to_http2 = options.http2 ? 1 : 0;
    this->h2o->config.http1.req_timeout = static_cast<std::uint64_t>(options.requestTimeoutMs);
    this->h2o->config.http2.idle_timeout = static_cast<std::uint64_t>(options.idleTimeoutMs);
    h2o_hostconf_t *host =
        h2o_config_register_host(&this->h2o->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    auto *pathHandler =
        reinterpret_cast<PathHandler *>(h2o_create_handler(path, sizeof(PathHandler)));
    pathHandler->server = this;
    pathHandler->super.on_req = [](h2o_handler_t *self, h2o_req_t *request) {
        reinterpret_cast<PathHandler *>(self)->server->dispatch(request);
        return 0;
    };
    h2o_context_init(&this->h2o->context, loop.handle(), &this->h2o->config);
    this->h2o->acceptContext.ctx = &this->h2o->context;
    this->h2o->acceptContext.hosts = this->h2o->config.hosts;
}

HttpServer::~HttpServer()
{
    if (this->listener != nullptr)
        h2o_socket_close(this->listener);
    // The loop may go on with the connections.
    this->h2o->server = nullptr;
    for (const auto &[id, connection] : this->connections) {
        if (connection->socket->_cb.read == readAndCharge)
            connection->socket->_cb.read = connection->read;
        connection->socket->on_close.cb = nullptr;
    }
}

std::unique_ptr<HttpServer> HttpServer::listen(Loop &loop, const HttpServerOptions &options,
                                               Handler handler, DisconnectCallback onDisconnect,
                                               Reason &reason)
{
    std::unique_ptr<HttpServer> server(
        new HttpServer(loop, options, std::move(handler), std::move(onDisconnect)));
    const auto onAccept = [](h2o_socket_t *listening, const char *error) {
        if (error == nullptr)
            static_cast<HttpServer *>(listening->data)->accept(listening);
    };
    server->listener = listenOn(loop, options.address, onAccept, server.get(), reason);
    if (server->listener == nullptr)
        return nullptr;
    if (options.stalledRequestMs > 0 || options.unreadResponseMs > 0)
        server->scheduleInactivityCheck();
    return server;
}

void HttpServer::accept(h2o_socket_t *listening)
{
    h2o_socket_t *socket = h2o_evloop_socket_accept(listening);
    if (socket == nullptr)
        return;
    if (this->connections.size() >= this->options.maxConnections) {
        const auto idle = this->options.replaceIdle ? oldestYielding(this->budget) : std::nullopt;
        if (!idle || !this->closeConnection(*idle, "another client connects")) {
            ++this->closed.refused;
            h2o_socket_close(socket);
            return;
        }
        ++this->closed.replaced;
    }
    const HolderId id = this->nextConnectionId++;
    auto &connection = this->connections[id];
    connection = std::make_unique<Connection>();
    connection->server = this;
    connection->id = id;
    connection->socket = socket;
    addHolder(this->budget, id, Loop::now());
    socket->on_close.data = connection.get();
    socket->on_close.cb = [](void *data) {
        auto &closed = *static_cast<Connection *>(data);
        removeHolder(closed.server->budget, closed.id);
        closed.server->connections.erase(closed.id);
    };
    h2o_accept(&this->h2o->acceptContext, socket);
    const auto accepted = this->connections.find(id);
    if (accepted != this->connections.end())
        this->watch(*accepted->second);
}

// Replaces h2o's read callback, if h2o reads from the connection.
void HttpServer::watch(Connection &connection)
{
    h2o_socket_cb &read = connection.socket->_cb.read;
    if (read == nullptr || read == readAndCharge)
        return;
    connection.read = read;
    read = readAndCharge;
}

void HttpServer::readAndCharge(h2o_socket_t *socket, const char *error)
{
    auto *connection = static_cast<Connection *>(socket->on_close.data);
    HttpServer &server = *connection->server;
    const HolderId id = connection->id;
    server.chargeConnection(id, true);
    server.keepWithinBudget();
    if (server.connections.count(id) == 0)
        return;
    socket->_cb.read = connection->read;
    connection->read(socket, error);
    const auto found = server.connections.find(id);
    if (found == server.connections.end())
        return;
    server.watch(*found->second);
    server.chargeConnection(id, false);
}

void HttpServer::chargeConnection(HolderId id, bool progress)
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end())
        return;
    const Connection &connection = *found->second;
    setHeldBytes(this->budget, id, inputBytes(*connection.socket) + connection.requestBytes,
                 progress, Loop::now());
}

void HttpServer::keepWithinBudget()
{
    while (const auto holder = nextToClose(this->budget)) {
        // One that cannot be closed does not yield any more, so another one is next.
        this->closed.overBudget +=
            this->closeConnection(*holder, "too many bytes are held") ? 1 : 0;
    }
}

// Returns false if h2o does not read from the connection, which then cannot be closed and does not
// yield.
bool HttpServer::closeConnection(HolderId id, const char *cause)
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end()) {
        removeHolder(this->budget, id);
        return false;
    }
    Connection &connection = *found->second;
    this->watch(connection);
    if (connection.socket->_cb.read != readAndCharge) {
        setYields(this->budget, id, false, Loop::now());
        return false;
    }
    connection.socket->_cb.read = connection.read;
    connection.read(connection.socket, cause);
    return true;
}

void HttpServer::closeInactive()
{
    const TimeMs now = Loop::now();
    for (const HolderId id : stalledHolders(this->budget, now))
        this->closed.stalled += this->closeConnection(id, "the request has stalled") ? 1 : 0;
    if (this->options.unreadResponseMs == 0)
        return;
    for (const auto &[id, connection] : this->connections) {
        if (connection->respondedAt == 0
            || now - connection->respondedAt < this->options.unreadResponseMs)
            continue;
        // h2o notices that the connection is shut down, and closes it.
        connection->respondedAt = 0;
        shutdown(h2o_socket_get_fd(connection->socket), SHUT_RDWR);
        ++this->closed.unread;
    }
}

void HttpServer::scheduleInactivityCheck()
{
    this->loop.after(inactivityCheckMs, [state = this->h2o.get()] {
        if (state->server == nullptr)
            return;
        state->server->closeInactive();
        state->server->scheduleInactivityCheck();
    });
}

// Watches a connection again from which h2o may read after a response.
void HttpServer::resumeWatching(HolderId id)
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end())
        return;
    this->watch(*found->second);
    setYields(this->budget, id, h2o_socket_is_reading(found->second->socket) != 0, Loop::now());
    this->chargeConnection(id, false);
}

HttpServer::Connection *HttpServer::connectionOf(h2o_req_t *request)
{
    const h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
    return static_cast<Connection *>(socket->on_close.data);
}

void HttpServer::setMaxBodyBytes(std::size_t bytes)
{
    this->h2o->config.max_request_entity_size = bytes;
}

void HttpServer::dispatch(h2o_req_t *request)
{
    const HttpRequestId id = this->nextRequestId++;
    auto *hook = static_cast<RequestDisposalHook *>(h2o_mem_alloc_shared(
        &request->pool, sizeof(RequestDisposalHook), RequestDisposalHook::dispose));
    Connection &connection = *this->connectionOf(request);
    hook->state = this->h2o.get();
    hook->id = id;
    hook->connection = connection.id;
    this->requests[id] = request;
    // The body is copied for the handler, and what the handler makes of it takes as much again.
    connection.requestBytes += 2 * request->entity.len;
    setYields(this->budget, connection.id, false, Loop::now());
    this->chargeConnection(connection.id, false);
    this->keepWithinBudget();
    if (this->requests.size() > this->options.maxPendingRequests || isOverLimit(this->budget)) {
        this->respond(id,
                      {statusServiceUnavailable,
                       R"({"verdict":"not_run","reason":"QueueFull","detail":)"
                       R"("too many unanswered requests"})",
                       "application/json", 1});
        return;
    }
    HttpRequest parsed;
    parsed.id = id;
    parsed.method = toString(request->method);
    parsed.path = decodePercent(toString(request->path_normalized));
    if (request->query_at != SIZE_MAX)
        parsed.query = parseQuery(
            std::string_view(request->path.base, request->path.len).substr(request->query_at + 1));
    for (std::size_t i = 0; i < request->headers.size; ++i) {
        const h2o_header_t &header = request->headers.entries[i];
        parsed.headers[toString(*header.name)] = toString(header.value);
    }
    parsed.headers["host"] =
        toString(request->authority); // h2o stores it apart from the other headers
    parsed.body = toString(request->entity);
    this->handler(std::move(parsed));
}

void HttpServer::respond(HttpRequestId request, const HttpResponse &response)
{
    const auto found = this->requests.find(request);
    if (found == this->requests.end())
        return;
    h2o_req_t *h2oRequest = found->second;
    this->requests.erase(found);
    this->connectionOf(h2oRequest)->respondedAt = Loop::now();
    h2oRequest->res.status = response.status;
    if (response.closeConnection)
        h2oRequest->http1_is_persistent = 0;
    h2oRequest->res.reason = reasonPhrase(response.status);
    h2o_iovec_t type =
        h2o_strdup(&h2oRequest->pool, response.contentType.data(), response.contentType.size());
    h2o_add_header(&h2oRequest->pool, &h2oRequest->res.headers, H2O_TOKEN_CONTENT_TYPE, nullptr,
                   type.base, type.len);
    if (response.retryAfterSeconds > 0) {
        const std::string seconds = std::to_string(response.retryAfterSeconds);
        h2o_iovec_t value = h2o_strdup(&h2oRequest->pool, seconds.data(), seconds.size());
        h2o_add_header_by_str(&h2oRequest->pool, &h2oRequest->res.headers,
                              H2O_STRLIT("retry-after"), 0, nullptr, value.base, value.len);
    }
    h2o_send_inline(h2oRequest, response.body.data(), response.body.size());
}

void HttpServer::onRequestDisposed(HttpRequestId request, HolderId connection)
{
    const auto found = this->connections.find(connection);
    if (found != this->connections.end()) {
        found->second->requestBytes = 0;
        found->second->respondedAt = 0;
        // h2o resumes reading after this call.
        this->loop.after(0, [state = this->h2o.get(), connection] {
            if (state->server != nullptr)
                state->server->resumeWatching(connection);
        });
    }
    if (this->requests.erase(request) > 0 && this->onDisconnect)
        this->onDisconnect(request);
}

void HttpServer::shutDown()
{
    if (this->listener != nullptr) {
        h2o_socket_close(this->listener);
        this->listener = nullptr;
    }
    h2o_context_request_shutdown(&this->h2o->context);
}

} // namespace flamingo::adapters

// h2o frees a request together with its memory pool, also when the client closes the connection
// before the response. A small object in that pool carries a disposal callback, which removes the
// request from the map of pending ones; respond() therefore never accesses a freed request.

#include "flamingo/adapters/http_server.h"

#include <h2o/http1.h>

#include <utility>

namespace flamingo::adapters {
namespace {

constexpr int statusServiceUnavailable = 503;

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

struct HttpServer::PathHandler
{
    h2o_handler_t super; // first member: h2o passes a pointer to it as a pointer to the handler
    HttpServer *server;
};

struct HttpServer::RequestDisposalHook
{
    HttpServer *server;
    HttpRequestId id;

    static void dispose(void *object)
    {
        auto *hook = static_cast<RequestDisposalHook *>(object);
        hook->server->onRequestDisposed(hook->id);
    }
};

HttpServer::HttpServer(Loop &loop, const HttpServerOptions &options, Handler handler,
                       DisconnectCallback onDisconnect)
    : options(options)
    , handler(std::move(handler))
    , onDisconnect(std::move(onDisconnect))
    , h2o(std::make_shared<H2oState>())
{
    loop.keep(this->h2o);
    h2o_config_init(&this->h2o->config);
    this->h2o->config.max_request_entity_size = options.maxBodyBytes;
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
    return server;
}

void HttpServer::accept(h2o_socket_t *listening)
{
    h2o_socket_t *socket = h2o_evloop_socket_accept(listening);
    if (socket == nullptr)
        return;
    if (this->openConnections >= this->options.maxConnections) {
        ++this->refused;
        h2o_socket_close(socket);
        return;
    }
    ++this->openConnections;
    socket->on_close.data = this;
    socket->on_close.cb = [](void *data) { --static_cast<HttpServer *>(data)->openConnections; };
    h2o_accept(&this->h2o->acceptContext, socket);
}

void HttpServer::dispatch(h2o_req_t *request)
{
    const HttpRequestId id = this->nextRequestId++;
    auto *hook = static_cast<RequestDisposalHook *>(h2o_mem_alloc_shared(
        &request->pool, sizeof(RequestDisposalHook), RequestDisposalHook::dispose));
    hook->server = this;
    hook->id = id;
    this->requests[id] = request;
    if (this->requests.size() > this->options.maxPendingRequests) {
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

void HttpServer::onRequestDisposed(HttpRequestId request)
{
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

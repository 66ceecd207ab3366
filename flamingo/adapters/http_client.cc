// h2o calls back for connect, head and body; after an error or the end of the body it frees its
// client object itself. A timer per call bounds the whole exchange and cancels the h2o client. The
// caller's callback always runs from a timer of the loop, never from inside an h2o callback, so it
// may start further calls.

#include "flamingo/adapters/http_client.h"

#include <utility>

namespace flamingo::adapters {
namespace {

// Longer than the timeout of any call, so that a call always ends by its own timer first.
constexpr std::uint64_t ioTimeoutMs = 120000;

// Limits on the idle connections of one address.
constexpr std::size_t maxIdleConnections = 64;
constexpr std::uint64_t idleConnectionTimeoutMs = 10000;

std::string serializeRequest(const HttpCall &call)
{
    std::string text = call.method;
    text.append(" ").append(call.target).append(" HTTP/1.1\r\nhost: ");
    text.append(call.host.empty() ? call.address : call.host);
    text.append("\r\nconnection: ").append(call.keepAlive ? "keep-alive" : "close");
    text.append("\r\ncontent-type: ").append(call.contentType);
    for (const auto &[name, value] : call.headers)
        text.append("\r\n").append(name).append(": ").append(value);
    text.append("\r\ncontent-length: ").append(std::to_string(call.body.size()));
    return text.append("\r\n\r\n").append(call.body);
}

} // namespace

struct HttpClient::Pool
{
    h2o_socketpool_t sockets = {};

    Pool(h2o_loop_t *loop, sockaddr_in peer)
    {
        h2o_socketpool_init_by_address(&this->sockets, reinterpret_cast<sockaddr *>(&peer),
                                       sizeof(peer), 0, maxIdleConnections);
        h2o_socketpool_set_timeout(&this->sockets, loop, idleConnectionTimeoutMs);
    }
    ~Pool()
    {
        h2o_socketpool_dispose(&this->sockets);
    }
    Pool(const Pool &) = delete;
    Pool &operator=(const Pool &) = delete;
};

struct HttpClient::Exchange
{
    std::shared_ptr<Pool> pool; // null: the request uses a connection of its own
    std::string address;
    HttpClient *httpClient = nullptr;
    CallId id = 0;
    std::string requestBytes;
    h2o_iovec_t requestBuffer = {};
    h2o_http1client_t *client = nullptr;
    Loop::TimerId timer = 0;
    HttpResult result;
    int status = 0; // becomes result.status when the body is complete
    Callback callback;
};

HttpClient::HttpClient(Loop &loop, std::size_t maxBodyBytes)
    : loop(loop)
    , maxBodyBytes(maxBodyBytes)
{
    h2o_timeout_init(loop.handle(), &this->ioTimeout, ioTimeoutMs);
    this->context.loop = loop.handle();
    this->context.io_timeout = &this->ioTimeout;
}

HttpClient::~HttpClient()
{
    for (auto &[id, exchange] : this->exchanges) {
        this->loop.cancel(exchange->timer);
        if (exchange->client != nullptr)
            h2o_http1client_cancel(exchange->client);
    }
    // The loop keeps a list of all timeouts and would access this one after it is freed.
    h2o_timeout_dispose(this->loop.handle(), &this->ioTimeout);
}

HttpClient::CallId HttpClient::call(const HttpCall &call, Callback callback)
{
    auto created = std::make_unique<Exchange>();
    Exchange &exchange = *created;
    exchange.httpClient = this;
    exchange.id = this->nextCallId++;
    exchange.requestBytes = serializeRequest(call);
    exchange.requestBuffer =
        h2o_iovec_init(exchange.requestBytes.data(), exchange.requestBytes.size());
    exchange.callback = std::move(callback);
    this->exchanges[exchange.id] = std::move(created);
    Reason reason;
    const auto address = parseAddress(call.address, reason);
    if (!address) {
        this->finish(exchange, reason.text);
        return exchange.id;
    }
    exchange.timer = this->loop.after(call.timeoutMs, [this, &exchange] {
        h2o_http1client_cancel(std::exchange(exchange.client, nullptr));
        exchange.result.timedOut = true;
        const auto pool = this->pools.find(exchange.address);
        if (pool != this->pools.end() && pool->second == exchange.pool)
            this->pools.erase(pool);
        this->finish(exchange, "timeout");
    });
    this->connect(exchange, call, *address);
    return exchange.id;
}

void HttpClient::connect(Exchange &exchange, const HttpCall &call, const sockaddr_in &address)
{
    exchange.address = call.address;
    if (call.keepAlive) {
        exchange.pool = this->findOrCreatePool(call.address, address);
        h2o_http1client_connect_with_pool(&exchange.client, &exchange, &this->context,
                                          &exchange.pool->sockets, onConnect);
        return;
    }
    const auto colon = call.address.rfind(':');
    h2o_http1client_connect(&exchange.client, &exchange, &this->context,
                            h2o_iovec_init(call.address.data(), colon), ntohs(address.sin_port), 0,
                            onConnect);
}

std::shared_ptr<HttpClient::Pool> HttpClient::findOrCreatePool(const std::string &address,
                                                               const sockaddr_in &peer)
{
    std::shared_ptr<Pool> &pool = this->pools[address];
    if (pool == nullptr)
        pool = std::make_shared<Pool>(this->loop.handle(), peer);
    return pool;
}

void HttpClient::finish(Exchange &exchange, const std::string &error)
{
    this->loop.cancel(exchange.timer);
    exchange.client = nullptr;
    exchange.result.error = error;
    exchange.result.status = error.empty() ? exchange.status : 0;
    const CallId id = exchange.id;
    exchange.timer = this->loop.after(0, [this, id] {
        const auto node = this->exchanges.extract(id);
        node.mapped()->callback(std::move(node.mapped()->result));
    });
}

h2o_http1client_head_cb HttpClient::onConnect(h2o_http1client_t *client, const char *error,
                                              h2o_iovec_t **buffers, size_t *count, int *isHead)
{
    auto &exchange = *static_cast<Exchange *>(client->data);
    if (error != nullptr) {
        exchange.httpClient->finish(exchange, error);
        return nullptr;
    }
    exchange.result.requestSent = true;
    *buffers = &exchange.requestBuffer;
    *count = 1;
    *isHead = 0;
    return onHead;
}

h2o_http1client_body_cb HttpClient::onHead(h2o_http1client_t *client, const char *error,
                                           int /*minorVersion*/, int status,
                                           h2o_iovec_t /*message*/, h2o_header_t * /*headers*/,
                                           size_t /*headerCount*/, int /*rawLength*/)
{
    auto &exchange = *static_cast<Exchange *>(client->data);
    exchange.status = status;
    if (error == nullptr)
        return onBody;
    exchange.httpClient->finish(exchange, error == h2o_http1client_error_is_eos ? "" : error);
    return nullptr;
}

int HttpClient::onBody(h2o_http1client_t *client, const char *error)
{
    auto &exchange = *static_cast<Exchange *>(client->data);
    h2o_buffer_t *&input = client->sock->input;
    exchange.result.body.append(input->bytes, input->size);
    h2o_buffer_consume(&input, input->size);
    if (error != nullptr) {
        exchange.httpClient->finish(exchange, error == h2o_http1client_error_is_eos ? "" : error);
        return -1;
    }
    if (exchange.result.body.size() > exchange.httpClient->maxBodyBytes) {
        exchange.httpClient->finish(exchange, "response body exceeds the size limit");
        return -1;
    }
    return 0;
}

} // namespace flamingo::adapters

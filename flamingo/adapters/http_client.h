#ifndef FLAMINGO_ADAPTERS_HTTP_CLIENT_H
#define FLAMINGO_ADAPTERS_HTTP_CLIENT_H

// HTTP/1.1 client on h2o. HttpResult::requestSent tells whether the server may have received the
// request; it cannot have when the connection was not established.
//
// By default each request uses a connection of its own. With `keepAlive` connections are pooled by
// address. A pooled connection may be half-open: its peer is gone without having closed it. A
// request that times out therefore also discards the idle connections to its address.

#include "flamingo/adapters/loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace flamingo::adapters {

struct HttpCall
{
    std::string address; // "IP:port"
    std::string method = "GET";
    std::string target; // path and query
    std::string body;
    TimeMs timeoutMs = 5000;
    std::string contentType = "application/json";
    std::vector<std::pair<std::string, std::string>> headers = {}; // additional ones
    bool keepAlive = false;
    std::string host = {}; // Host header; empty: the address
};

struct HttpResult
{
    bool requestSent = false; // false: the server cannot have received the request
    int status = 0; // 0: no complete response arrived
    std::string body;
    std::string error;
    bool timedOut = false;
};

class HttpClient
{
public:
    using Callback = std::function<void(HttpResult)>;
    using CallId = std::uint64_t;

    explicit HttpClient(Loop &loop, std::size_t maxBodyBytes = 16777216);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Starts a request. Calls `callback` exactly once, after call() has returned; never when the
    // client is destroyed first.
    CallId call(const HttpCall &call, Callback callback);

private:
    struct Exchange;
    struct Pool;

    void connect(Exchange &exchange, const HttpCall &call, const sockaddr_in &address);
    std::shared_ptr<Pool> findOrCreatePool(const std::string &address, const sockaddr_in &peer);
    void finish(Exchange &exchange, const std::string &error);
    static h2o_http1client_head_cb onConnect(h2o_http1client_t *client, const char *error,
                                             h2o_iovec_t **buffers, size_t *count, int *isHead);
    static h2o_http1client_body_cb onHead(h2o_http1client_t *client, const char *error,
                                          int minorVersion, int status, h2o_iovec_t message,
                                          h2o_header_t *headers, size_t headerCount, int rawLength);
    static int onBody(h2o_http1client_t *client, const char *error);

    Loop &loop;
    std::size_t maxBodyBytes;
    h2o_timeout_t ioTimeout = {};
    h2o_http1client_ctx_t context = {};
    CallId nextCallId = 1;
    std::map<std::string, std::shared_ptr<Pool>> pools;
    std::map<CallId, std::unique_ptr<Exchange>> exchanges;
};

} // namespace flamingo::adapters

#endif

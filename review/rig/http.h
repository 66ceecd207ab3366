#ifndef REVIEW_RIG_HTTP_H
#define REVIEW_RIG_HTTP_H

// Blocking HTTP/1.1 for the stand-ins of the review: a server with a thread for each connection,
// and a client that opens a connection for each call.

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace review {

struct Request
{
    std::string method;
    std::string path; // without the query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct Response
{
    int status = 200; // 0: the connection is closed without an answer
    std::string body;
    std::string type = "application/json";
};

using Handler = std::function<Response(const Request &)>;

// Milliseconds of the steady clock.
std::int64_t nowMs();
// Milliseconds since 1970.
std::int64_t unixMs();
void sleepMs(std::int64_t ms);

class Server
{
public:
    // Listens on 127.0.0.0/8 only. Throws std::runtime_error when the address cannot be bound.
    Server(const std::string &ip, int port, Handler handler);
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    ~Server();

private:
    struct State;
    State *state; // shared with the threads, which end with the process
};

// Returns status 0 when there is no complete answer within `timeoutMs`.
Response call(const std::string &ip, int port, const std::string &method, const std::string &target,
              const std::map<std::string, std::string> &headers, const std::string &body,
              int timeoutMs);

} // namespace review

#endif

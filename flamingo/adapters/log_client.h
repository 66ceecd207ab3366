#ifndef FLAMINGO_ADAPTERS_LOG_CLIENT_H
#define FLAMINGO_ADAPTERS_LOG_CLIENT_H

// Client of the platform's append-only log service. This is the one adapter to replace when an
// operator's log service has another protocol: it performs appends and stream reads and reports
// them as the events LogAppended and LogRead.
//
//   POST /log/STREAM {"lines": [...]}          -> 200 {"offset": N}
//   GET  /log/STREAM?from=N&wait_ms=M&max=K    -> 200 {"lines": [{"offset", "text"}], "next": N}
//                                                 410 {"error": "trimmed", "oldest": N}

#include "flamingo/adapters/http_client.h"
#include "flamingo/messages.h"

#include <functional>
#include <string>

namespace flamingo::adapters {

struct LogClientOptions
{
    std::string address;
    TimeMs appendTimeoutMs = 2000;
    TimeMs longPollMs = 10000;
    TimeMs retryMinMs = 200;
    TimeMs retryMaxMs = 2000;
    std::uint32_t maxLinesPerRead = 500;
};

class LogClient
{
public:
    struct Handlers
    {
        // Returns the offset of the next read, usually LogRead::next.
        std::function<std::uint64_t(LogRead)> read;
        std::function<void(LogAppended)> appended;
    };

    LogClient(Loop &loop, HttpClient &http, const LogClientOptions &options, Handlers handlers);

    // Starts to read the stream at the offset `from` and reads it until the process ends. Retries
    // less and less often while the service is unavailable.
    void tail(const std::string &stream, std::uint64_t from);

    // Appends the lines once and reports one LogAppended event with the id of `append`. A failed
    // append is not retried here, because only the caller can tell whether a second append is
    // harmless.
    void append(const Append &append);

    // False from a failed read on until a read succeeds.
    bool reachable() const
    {
        return this->serviceReachable;
    }

private:
    void handleReadResponse(const std::string &stream, std::uint64_t from,
                            const HttpResult &result);
    void scheduleRetry(const std::string &stream, std::uint64_t from);

    Loop &loop;
    HttpClient &http;
    LogClientOptions options;
    Handlers handlers;
    bool serviceReachable = true;
    TimeMs retryDelayMs;
    Random random;
};

} // namespace flamingo::adapters

#endif

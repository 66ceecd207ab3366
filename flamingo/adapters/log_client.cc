// One long poll per stream is in flight at any time. A failed read is retried after a delay that
// doubles up to retryMaxMs, half of it random, so that the processes do not all send their requests
// to a recovering service at the same time. When the requested lines of a stream were trimmed,
// reading continues at its oldest retained line.
//
// The offsets in an answer must follow from the request: a wrong one would move the read position
// to where no line is ever found. Such an answer is ignored and the read is repeated.

#include "flamingo/adapters/log_client.h"

#include "flamingo/json_parse.h"
#include "flamingo/json_text.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace flamingo::adapters {
namespace {

constexpr int statusOk = 200;
constexpr int statusGone = 410;
constexpr TimeMs longPollMarginMs = 3000; // for the answer, after the wait time of a long poll

// Reads the field `name`, which must have the value `expected`.
bool readOffset(const nlohmann::json &object, const char *name, std::uint64_t expected,
                Reason &reason)
{
    auto offset = static_cast<std::int64_t>(expected);
    return readInteger(object, name, offset, offset, offset, reason);
}

std::optional<LogRead> parseReadResponse(const std::string &stream, std::uint64_t from,
                                         std::string_view text, Reason &reason)
{
    const auto body = parseJson(text, reason);
    if (!body)
        return std::nullopt;
    LogRead read;
    read.stream = stream;
    read.next = from;
    reason = {ReasonCode::InvalidInput, "field 'lines' is not a list of objects with a text"};
    const auto lines = body->is_object() ? body->find("lines") : body->end();
    if (!body->is_object() || lines == body->end() || !lines->is_array())
        return std::nullopt;
    for (const auto &item : *lines) {
        const auto lineText = item.is_object() ? item.find("text") : item.end();
        if (!item.is_object() || lineText == item.end() || !lineText->is_string()
            || !readOffset(item, "offset", read.next, reason))
            return std::nullopt;
        wire::LogLineT line;
        line.offset = read.next++;
        line.text = lineText->get<std::string>();
        read.lines.push_back(std::move(line));
    }
    if (!readOffset(*body, "next", read.next, reason))
        return std::nullopt;
    return read;
}

// Returns the oldest retained offset of an answer to a read from `from`, which lies before it.
std::optional<std::uint64_t> parseOldestOffset(std::uint64_t from, std::string_view text,
                                               Reason &reason)
{
    const auto body = parseJson(text, reason);
    std::int64_t oldest = 0;
    if (!body
        || !readInteger(*body, "oldest", static_cast<std::int64_t>(from) + 1,
                        static_cast<std::int64_t>(maxLogOffset), oldest, reason))
        return std::nullopt;
    return static_cast<std::uint64_t>(oldest);
}

} // namespace

LogClient::LogClient(Loop &loop, HttpClient &http, const LogClientOptions &options,
                     Handlers handlers)
    : loop(loop)
    , http(http)
    , options(options)
    , handlers(std::move(handlers))
    , retryDelayMs(options.retryMinMs)
    , random(std::random_device()())
{
}

void LogClient::tail(const std::string &stream, std::uint64_t from)
{
    HttpCall call;
    call.address = this->options.address;
    call.target = "/log/" + stream + "?from=" + std::to_string(from)
        + "&wait_ms=" + std::to_string(this->options.longPollMs)
        + "&max=" + std::to_string(this->options.maxLinesPerRead);
    call.timeoutMs = this->options.longPollMs + longPollMarginMs;
    this->http.call(call, [this, stream, from](const HttpResult &result) {
        this->handleReadResponse(stream, from, result);
    });
}

void LogClient::handleReadResponse(const std::string &stream, std::uint64_t from,
                                   const HttpResult &result)
{
    if (result.status != statusOk && result.status != statusGone) {
        LOG_IF(WARNING, this->serviceReachable)
            << "reading log stream " << stream << " failed: status " << result.status << " "
            << result.error;
        this->serviceReachable = false;
        this->scheduleRetry(stream, from);
        return;
    }
    Reason reason;
    std::optional<LogRead> read;
    if (result.status == statusOk) {
        read = parseReadResponse(stream, from, result.body, reason);
    } else if (const auto oldest = parseOldestOffset(from, result.body, reason)) {
        LOG(WARNING) << "log stream " << stream << " no longer has offset " << from
                     << ", its oldest retained offset is " << *oldest;
        read = LogRead{stream, {}, *oldest, true};
    }
    if (!read) {
        LOG(ERROR) << "invalid response to a read of log stream " << stream << " from offset "
                   << from << ": " << reason.text;
        this->scheduleRetry(stream, from);
        return;
    }
    LOG_IF(INFO, !this->serviceReachable) << "log service is reachable again";
    this->serviceReachable = true;
    this->retryDelayMs = this->options.retryMinMs;
    this->tail(stream, this->handlers.read(*read));
}

void LogClient::scheduleRetry(const std::string &stream, std::uint64_t from)
{
    const TimeMs half = this->retryDelayMs / 2;
    const TimeMs delay =
        half + static_cast<TimeMs>(this->random() % static_cast<std::uint64_t>(half + 1));
    this->retryDelayMs = std::min(this->retryDelayMs * 2, this->options.retryMaxMs);
    this->loop.after(delay, [this, stream, from] { this->tail(stream, from); });
}

void LogClient::append(const Append &append)
{
    HttpCall call;
    call.address = this->options.address;
    call.method = "POST";
    call.target = "/log/" + append.stream;
    call.body = jsonText(nlohmann::json({{"lines", append.lines}}));
    call.timeoutMs = this->options.appendTimeoutMs;
    const std::uint64_t id = append.id;
    this->http.call(call, [this, id](const HttpResult &result) {
        LogAppended appended;
        appended.id = id;
        Reason reason;
        const auto body = parseJson(result.body, reason);
        std::int64_t offset = 0;
        if (result.status == statusOk && body
            && readInteger(*body, "offset", std::int64_t{0},
                           static_cast<std::int64_t>(maxLogOffset), offset, reason)) {
            appended.acknowledged = true;
            appended.offset = static_cast<std::uint64_t>(offset);
        } else {
            LOG_EVERY_N(WARNING, 20) << "append to the log not acknowledged: status "
                                     << result.status << " " << result.error << " " << reason.text;
        }
        this->handlers.appended(appended);
    });
}

} // namespace flamingo::adapters

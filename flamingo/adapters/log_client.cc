// One long poll per stream is in flight at any time. A failed read is retried after a delay that
// doubles up to retryMaxMs, half of it random, so that the processes do not all send their requests
// to a recovering service at the same time. When the requested lines of a stream were trimmed,
// reading continues at its oldest retained line.

#include "flamingo/adapters/log_client.h"

#include "flamingo/json_text.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace flamingo::adapters {
namespace {

constexpr int statusOk = 200;
constexpr int statusGone = 410;
constexpr TimeMs longPollMarginMs = 3000; // for the answer, after the wait time of a long poll

LogRead parseReadResponse(const std::string &stream, const nlohmann::json &body)
{
    LogRead read;
    read.stream = stream;
    read.next = body.at("next").get<std::uint64_t>();
    for (const auto &item : body.at("lines")) {
        wire::LogLineT line;
        line.offset = item.at("offset").get<std::uint64_t>();
        line.text = item.at("text").get<std::string>();
        read.lines.push_back(std::move(line));
    }
    return read;
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
    const auto body = nlohmann::json::parse(result.body, nullptr, false);
    try {
        if (result.status == statusGone) {
            const auto oldest = body.at("oldest").get<std::uint64_t>();
            LOG(WARNING) << "log stream " << stream << " no longer has offset " << from
                         << ", its oldest retained offset is " << oldest;
            LogRead trimmed;
            trimmed.stream = stream;
            trimmed.next = oldest;
            trimmed.trimmed = true;
            this->tail(stream, this->handlers.read(trimmed));
            return;
        }
        if (result.status != statusOk) {
            LOG_IF(WARNING, this->serviceReachable)
                << "reading log stream " << stream << " failed: status " << result.status << " "
                << result.error;
            this->serviceReachable = false;
            this->scheduleRetry(stream, from);
            return;
        }
        LogRead read = parseReadResponse(stream, body);
        LOG_IF(INFO, !this->serviceReachable) << "log service is reachable again";
        this->serviceReachable = true;
        this->retryDelayMs = this->options.retryMinMs;
        this->tail(stream, this->handlers.read(std::move(read)));
    } catch (const nlohmann::json::exception &error) {
        LOG(ERROR) << "invalid response to a read of log stream " << stream << ": " << error.what();
        this->scheduleRetry(stream, from);
    }
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
        const auto body = nlohmann::json::parse(result.body, nullptr, false);
        if (result.status == statusOk && body.is_object() && body.contains("offset")
            && body["offset"].is_number_unsigned()) {
            appended.acknowledged = true;
            appended.offset = body["offset"].get<std::uint64_t>();
        } else {
            LOG_EVERY_N(WARNING, 20) << "append to the log not acknowledged: status "
                                     << result.status << " " << result.error;
        }
        this->handlers.appended(appended);
    });
}

} // namespace flamingo::adapters

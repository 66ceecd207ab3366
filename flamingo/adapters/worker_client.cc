// A start or stop without a final response is retried; both are idempotent by task id. A start is
// not sent while a stop of the same task has no final response. A retry that becomes due after that
// response still sends the start; the worker does not execute a start that arrives after the stop.

#include "flamingo/adapters/worker_client.h"

#include "flamingo/json_text.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace flamingo::adapters {
namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int firstClientError = 400;
constexpr int firstServerError = 500;

// Added to the wait time of a long poll, so that its response can arrive before the timeout.
constexpr TimeMs longPollMarginMs = 3000;

// True when the worker has accepted or rejected the call, so that a retry would change nothing.
bool isFinalResponse(const HttpResult &result)
{
    return result.status == statusOk
        || (result.status >= firstClientError && result.status < firstServerError);
}

// Returns nullopt for an event of an unknown type; such events are ignored.
std::optional<WorkerEvent> parseEvent(const Json &item)
{
    const auto type = item.at("type").get<std::string>();
    const auto task = item.at("task").get<std::string>();
    if (type == "finished")
        return TaskFinished{task, item.value("ok", false), item.value("answer", ""),
                            item.value("detail", "")};
    if (type == "stopped")
        return TaskStopped{task};
    if (type == "usage")
        return TaskUsage{task, item.value("cores", 0U), item.value("memoryMib", 0U),
                         item.value("ranMs", TimeMs(0))};
    return std::nullopt;
}

} // namespace

WorkerClient::WorkerClient(Loop &loop, HttpClient &http, const WorkerClientOptions &options,
                           Handler handler)
    : loop(loop)
    , http(http)
    , options(options)
    , handler(std::move(handler))
{
    this->loop.after(0, [this] {
        this->renewLeases();
        this->readEvents(0);
    });
    this->loop.every(this->options.renewIntervalMs, [this] { this->renewLeases(); });
}

void WorkerClient::execute(const WorkerCommand &command)
{
    if (const auto *run = std::get_if<RunTask>(&command))
        this->runTask(*run);
    else if (const auto *checkpoint = std::get_if<CheckpointTask>(&command))
        this->checkpointTask(*checkpoint);
    else if (const auto *stop = std::get_if<StopTask>(&command))
        this->stopTask(*stop);
}

void WorkerClient::post(const std::string &path, const std::string &body,
                        ResponseCallback onResponse)
{
    HttpCall call;
    call.address = this->options.address;
    call.method = "POST";
    call.target = "/workers/" + this->options.worker + path
        + "?holder=" + std::to_string(this->options.holder);
    call.body = body;
    call.timeoutMs = this->options.callTimeoutMs;
    this->http.call(call, std::move(onResponse));
}

void WorkerClient::logFailedCall(const char *call, const std::string &task,
                                 const HttpResult &result)
{
    if (result.status == statusOk || !this->callLogLimiter.allowLine(Loop::now()))
        return;
    LOG(WARNING) << call << (result.status == 0 ? "_unanswered" : "_refused") << " task=" << task
                 << " worker=" << this->options.worker << " status=" << result.status
                 << " sent=" << result.requestSent << " error=\"" << result.error << "\""
                 << this->callLogLimiter.takeSuppressedField();
}

void WorkerClient::runTask(const RunTask &command)
{
    if (this->stoppingTasks.count(command.task) > 0)
        return;
    const Json body = {{"task", command.task},
                       {"job", command.job},
                       {"payload", command.payload},
                       {"mask", command.mask},
                       {"cores", command.cores},
                       {"memoryMib", command.memoryMib},
                       {"checkpoint", command.checkpoint},
                       {"leaseMs", this->options.leaseMs}};
    this->post("/tasks", jsonText(body), [this, command](const HttpResult &result) {
        this->logFailedCall("start", command.task, result);
        if (!isFinalResponse(result)) {
            this->loop.after(this->options.retryMs, [this, command] { this->runTask(command); });
            return;
        }
        const Json responseBody = Json::parse(result.body, nullptr, false);
        const std::string detail = responseBody.is_object() ? responseBody.value("detail", "") : "";
        this->handler(TaskStarted{command.task, result.status == statusOk, detail});
    });
}

void WorkerClient::checkpointTask(const CheckpointTask &command)
{
    this->post("/tasks/" + command.task + "/checkpoint", "{}",
               [this, command](const HttpResult &result) {
                   this->logFailedCall("checkpoint", command.task, result);
                   const Json body = Json::parse(result.body, nullptr, false);
                   const bool ok = result.status == statusOk && body.is_object();
                   this->handler(
                       TaskCheckpointed{command.task, ok, ok ? body.value("checkpoint", "") : ""});
               });
}

void WorkerClient::stopTask(const StopTask &command)
{
    this->stoppingTasks.insert(command.task);
    this->post("/tasks/" + command.task + "/stop", "{}", [this, command](const HttpResult &result) {
        this->logFailedCall("stop", command.task, result);
        if (!isFinalResponse(result)) {
            this->loop.after(this->options.retryMs, [this, command] { this->stopTask(command); });
            return;
        }
        this->stoppingTasks.erase(command.task);
        this->handler(TaskStopped{command.task});
    });
}

void WorkerClient::renewLeases()
{
    const Json body = {{"leaseMs", this->options.leaseMs}};
    this->post("/lease", jsonText(body), [this](const HttpResult &result) {
        LOG_IF_EVERY_N(WARNING, result.status != statusOk, 10)
            << "lease renewal at worker " << this->options.worker << " failed: status "
            << result.status << " " << result.error;
        this->handler(LeaseRenewed{result.status == statusOk});
    });
}

void WorkerClient::readEvents(std::uint64_t from)
{
    HttpCall call;
    call.address = this->options.address;
    call.target = "/workers/" + this->options.worker + "/events?from=" + std::to_string(from)
        + "&wait_ms=" + std::to_string(this->options.longPollMs);
    call.timeoutMs = this->options.longPollMs + longPollMarginMs;
    this->http.call(
        call, [this, from](const HttpResult &result) { this->handleEventsResponse(from, result); });
}

void WorkerClient::handleEventsResponse(std::uint64_t from, const HttpResult &result)
{
    const Json body = Json::parse(result.body, nullptr, false);
    std::uint64_t next = from;
    bool valid = result.status == statusOk;
    try {
        if (valid) {
            for (const Json &item : body.at("events")) {
                const auto event = parseEvent(item);
                if (event)
                    this->handler(*event);
            }
            next = body.at("next").get<std::uint64_t>();
        }
    } catch (const Json::exception &error) {
        LOG(ERROR) << "invalid response to an event read of worker " << this->options.worker << ": "
                   << error.what();
        valid = false;
    }
    this->loop.after(valid ? 0 : this->options.retryMs, [this, next] { this->readEvents(next); });
}

} // namespace flamingo::adapters

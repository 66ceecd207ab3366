// A start or stop without a final answer is retried; both are idempotent by task id. Each task has
// one series of calls to start it, which ends when the task must stop, and one series of calls to
// stop it, which ends only when the worker states that the task does not run.
//
// A refused start counts as "not started" only if no earlier call to start the task can have had an
// effect. Otherwise the agent stops the task.
//
// Leases are renewed for the tasks that may run, so that a task whose stop the worker keeps
// refusing ends with its lease. The answer lists the tasks that run. Two differences from the own
// tasks are acted on: a listed task that was not known when the renewal was sent is stopped; a
// started task that is not listed, and whose end is in none of the events that were read from after
// that on, is stopped as well, and thus reported as stopped.

#include "flamingo/adapters/worker_client.h"

#include "flamingo/adapters/http_status.h"
#include "flamingo/json_parse.h"
#include "flamingo/json_text.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace flamingo::adapters {
namespace {

using Json = nlohmann::json;

constexpr int firstClientError = 400;
constexpr int firstServerError = 500;

// Added to the wait time of a long poll, so that its response can arrive before the timeout.
constexpr TimeMs longPollMarginMs = 3000;

// Returns an empty object for a text that is not a JSON object.
Json parseObject(const std::string &text)
{
    Reason reason;
    auto object = parseJson(text, reason);
    return object && object->is_object() ? *std::move(object) : Json::object();
}

// Returns an empty text when the field is missing or is no string.
std::string stringField(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : "";
}

bool boolField(const Json &object, const char *name, bool defaultValue)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() ? found->get<bool>() : defaultValue;
}

// The worker's explanation of a call that it did not carry out.
std::string refusalText(const HttpResult &result)
{
    const std::string detail = stringField(parseObject(result.body), "detail");
    return detail.empty() ? "the worker answered with status " + std::to_string(result.status)
                          : detail;
}

CallOutcome acceptedOutcome(const HttpResult &result)
{
    const Json body = parseObject(result.body);
    if (body.empty())
        return CallOutcome::Unknown;
    return boolField(body, "ok", true) ? CallOutcome::Accepted : CallOutcome::Rejected;
}

CallOutcome forbiddenOutcome(const HttpResult &result, std::uint64_t holder)
{
    std::int64_t newerHolder = 0;
    Reason reason;
    const bool named =
        readInteger<std::int64_t>(parseObject(result.body), "holder", 0,
                                  std::numeric_limits<std::int64_t>::max(), newerHolder, reason);
    return named && static_cast<std::uint64_t>(newerHolder) > holder ? CallOutcome::Fenced
                                                                     : CallOutcome::Rejected;
}

// Returns nullopt for an event of an unknown type; such events are ignored. Sets `reason` for a
// malformed event.
std::optional<WorkerEvent> parseEvent(const Json &item, Reason &reason)
{
    const auto type = item.is_object() ? stringField(item, "type") : "";
    const auto task = item.is_object() ? stringField(item, "task") : "";
    if (type.empty() || task.empty()) {
        reason = {ReasonCode::InvalidInput, "an event without type or task"};
        return std::nullopt;
    }
    if (type == "finished")
        return TaskFinished{task, boolField(item, "ok", false), stringField(item, "answer"),
                            stringField(item, "detail")};
    if (type == "stopped")
        return TaskStopped{task};
    if (type != "usage")
        return std::nullopt;
    constexpr auto maxSize = std::numeric_limits<std::uint32_t>::max();
    constexpr auto maxTime = std::numeric_limits<TimeMs>::max();
    TaskUsage usage{task, 0, 0, 0};
    if (!readOptionalInteger(item, "cores", 0U, maxSize, usage.cores, reason)
        || !readOptionalInteger(item, "memoryMib", 0U, maxSize, usage.memoryMib, reason)
        || !readOptionalInteger(item, "ranMs", TimeMs(0), maxTime, usage.ranMs, reason))
        return std::nullopt;
    return usage;
}

// The part of an answer to a read of events that was checked.
struct EventsAnswer
{
    std::vector<WorkerEvent> events;
    std::uint64_t next = 0;
    std::uint64_t lost = 0; // events from `from` on that the worker no longer has
};

// Returns nullopt, with a reason, for an answer whose `next` cannot follow `from`. A malformed
// event is left out, because the events after it would otherwise never be read.
std::optional<EventsAnswer> parseEventsAnswer(const std::string &text, std::uint64_t from,
                                              Reason &reason)
{
    const Json body = parseObject(text);
    const auto items = body.find("events");
    std::int64_t next = 0;
    if (items == body.end() || !items->is_array()) {
        reason = {ReasonCode::InvalidInput, "no list of events"};
        return std::nullopt;
    }
    if (!readInteger(body, "next", static_cast<std::int64_t>(from + items->size()),
                     std::numeric_limits<std::int64_t>::max(), next, reason))
        return std::nullopt;
    EventsAnswer answer;
    answer.next = static_cast<std::uint64_t>(next);
    answer.lost = answer.next - from - items->size();
    std::int64_t lastSeq = 0;
    const bool hasSeq = !items->empty()
        && readInteger(items->back(), "seq", std::int64_t(0), next, lastSeq, reason);
    if (answer.lost > 0 && (!hasSeq || lastSeq + 1 != next)) {
        reason = {ReasonCode::InvalidInput, "field 'next' does not follow the last event"};
        return std::nullopt;
    }
    for (const Json &item : *items) {
        Reason eventReason;
        const auto event = parseEvent(item, eventReason);
        if (event)
            answer.events.push_back(*event);
        LOG_IF_EVERY_N(ERROR, !eventReason.text.empty(), 10)
            << "a malformed event of the worker is left out: " << eventReason.text;
    }
    return answer;
}

} // namespace

CallOutcome callOutcome(const HttpResult &result, std::uint64_t holder)
{
    switch (result.status) {
    case 0:
        return result.requestSent ? CallOutcome::Unknown : CallOutcome::Busy;
    case statusOk:
        return acceptedOutcome(result);
    case statusAccepted:
        return CallOutcome::InProgress;
    case statusForbidden:
        return forbiddenOutcome(result, holder);
    case statusNotFound:
        return CallOutcome::Absent;
    case statusRequestTimeout:
    case statusMisdirectedRequest:
    case statusTooManyRequests:
    case statusServiceUnavailable:
        return CallOutcome::Busy;
    default:
        return result.status >= firstClientError && result.status < firstServerError
            ? CallOutcome::Rejected
            : CallOutcome::Unknown;
    }
}

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
    if (const auto *run = std::get_if<RunTask>(&command)) {
        if (this->tasks.try_emplace(run->task).second)
            this->sendStart(*run, this->options.retryMs);
    } else if (const auto *checkpoint = std::get_if<CheckpointTask>(&command))
        this->sendCheckpoint(*checkpoint, this->options.retryMs);
    else if (const auto *stop = std::get_if<StopTask>(&command))
        this->beginStop(stop->task);
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
    const char *suffix = result.status == 0 ? "_unanswered"
        : result.status == statusAccepted   ? "_in_progress"
                                            : "_refused";
    LOG(WARNING) << call << suffix << " task=" << task << " worker=" << this->options.worker
                 << " status=" << result.status << " sent=" << result.requestSent << " error=\""
                 << result.error << "\"" << this->callLogLimiter.takeSuppressedField();
}

WorkerClient::TaskCalls *WorkerClient::findTask(const std::string &task)
{
    const auto found = this->tasks.find(task);
    return found == this->tasks.end() ? nullptr : &found->second;
}

TimeMs WorkerClient::nextDelay(TimeMs delay) const
{
    return std::min(delay * 2, this->options.retryMaxMs);
}

// ---- Start ----

void WorkerClient::sendStart(const RunTask &command, TimeMs retryDelay)
{
    const TaskCalls *task = this->findTask(command.task);
    if (task == nullptr || task->stopping)
        return;
    const Json body = {{"task", command.task},
                       {"job", command.job},
                       {"payload", command.payload},
                       {"mask", command.mask},
                       {"cores", command.cores},
                       {"memoryMib", command.memoryMib},
                       {"checkpoint", command.checkpoint},
                       {"leaseMs", this->options.leaseMs}};
    this->post("/tasks", jsonText(body), [this, command, retryDelay](const HttpResult &result) {
        this->logFailedCall("start", command.task, result);
        this->handleStartAnswer(command, retryDelay, result);
    });
}

void WorkerClient::handleStartAnswer(const RunTask &command, TimeMs retryDelay,
                                     const HttpResult &result)
{
    const CallOutcome outcome = callOutcome(result, this->options.holder);
    TaskCalls *task = this->findTask(command.task);
    if (outcome == CallOutcome::Accepted) {
        if (task != nullptr)
            task->started = true;
        this->handler(TaskStarted{command.task, true, ""});
        return;
    }
    if (task == nullptr)
        return;
    if (outcome == CallOutcome::Unknown || outcome == CallOutcome::InProgress)
        task->startUnanswered = true;
    if (outcome == CallOutcome::Busy && result.status != 0)
        ++task->busyStarts;
    const bool refused = outcome == CallOutcome::Rejected || outcome == CallOutcome::Absent
        || outcome == CallOutcome::Fenced;
    const bool givenUp = task->busyStarts >= this->options.maxBusyStarts && !task->startUnanswered;
    if (!refused && !givenUp) {
        this->loop.after(retryDelay, [this, command, next = this->nextDelay(retryDelay)] {
            this->sendStart(command, next);
        });
        return;
    }
    const bool mayHaveStarted = task->startUnanswered;
    if (!mayHaveStarted && !task->stopping)
        this->tasks.erase(command.task);
    this->handler(TaskStarted{command.task, false, refusalText(result), mayHaveStarted});
}

// ---- Checkpoint ----

void WorkerClient::sendCheckpoint(const CheckpointTask &command, TimeMs retryDelay)
{
    this->post(
        "/tasks/" + command.task + "/checkpoint", "{}",
        [this, command, retryDelay](const HttpResult &result) {
            this->logFailedCall("checkpoint", command.task, result);
            const CallOutcome outcome = callOutcome(result, this->options.holder);
            if (outcome == CallOutcome::Busy) {
                this->loop.after(retryDelay, [this, command, next = this->nextDelay(retryDelay)] {
                    const TaskCalls *task = this->findTask(command.task);
                    if (task != nullptr && !task->stopping)
                        this->sendCheckpoint(command, next);
                });
                return;
            }
            const std::string checkpoint = stringField(parseObject(result.body), "checkpoint");
            const bool ok = outcome == CallOutcome::Accepted && !checkpoint.empty();
            this->handler(TaskCheckpointed{command.task, ok, ok ? checkpoint : ""});
        });
}

// ---- Stop ----

void WorkerClient::beginStop(const std::string &task)
{
    TaskCalls &calls = this->tasks[task];
    if (calls.stopping)
        return;
    calls.stopping = true;
    this->sendStop(task, this->options.stopRetryMs);
}

void WorkerClient::sendStop(const std::string &task, TimeMs retryDelay)
{
    this->post("/tasks/" + task + "/stop", "{}",
               [this, task, retryDelay](const HttpResult &result) {
                   this->logFailedCall("stop", task, result);
                   this->handleStopAnswer(task, retryDelay, result);
               });
}

void WorkerClient::handleStopAnswer(const std::string &task, TimeMs retryDelay,
                                    const HttpResult &result)
{
    switch (callOutcome(result, this->options.holder)) {
    case CallOutcome::Accepted:
    case CallOutcome::Absent:
    case CallOutcome::Fenced:
        this->tasks.erase(task);
        this->handler(TaskStopped{task});
        return;
    case CallOutcome::InProgress:
    case CallOutcome::Rejected:
    case CallOutcome::Busy:
    case CallOutcome::Unknown:
        this->loop.after(retryDelay, [this, task, next = this->nextDelay(retryDelay)] {
            this->sendStop(task, next);
        });
        return;
    }
}

// ---- Leases ----

void WorkerClient::renewLeases()
{
    std::set<std::string> knownTasks;
    Json renewedTasks = Json::array();
    for (const auto &[id, task] : this->tasks) {
        knownTasks.insert(id);
        if (!task.stopping)
            renewedTasks.push_back(id);
    }
    const Json body = {{"leaseMs", this->options.leaseMs}, {"tasks", renewedTasks}};
    this->post("/lease", jsonText(body), [this, knownTasks](const HttpResult &result) {
        const CallOutcome outcome = callOutcome(result, this->options.holder);
        LOG_IF_EVERY_N(WARNING, outcome != CallOutcome::Accepted, 10)
            << "lease renewal at worker " << this->options.worker << " failed: status "
            << result.status << " " << result.error;
        if (outcome == CallOutcome::Busy && !this->renewalRetryPending) {
            this->renewalRetryPending = true;
            this->loop.after(this->options.retryMs, [this] {
                this->renewalRetryPending = false;
                this->renewLeases();
            });
        }
        if (outcome == CallOutcome::Accepted)
            this->compareTasks(knownTasks, result.body);
        this->handler(LeaseRenewed{outcome == CallOutcome::Accepted});
    });
}

void WorkerClient::compareTasks(const std::set<std::string> &knownTasks, const std::string &body)
{
    const Json answer = parseObject(body);
    const auto list = answer.find("tasks");
    if (list == answer.end() || !list->is_array())
        return;
    std::set<std::string> runningTasks;
    for (const Json &item : *list) {
        if (item.is_string())
            runningTasks.insert(item.get<std::string>());
    }
    for (const std::string &id : runningTasks) {
        if (knownTasks.count(id) > 0 || this->findTask(id) != nullptr)
            continue;
        LOG_IF(WARNING, this->callLogLimiter.allowLine(Loop::now()))
            << "task_unexpected task=" << id << " worker=" << this->options.worker
            << ": it runs although it was reported as ended; it is stopped"
            << this->callLogLimiter.takeSuppressedField();
        this->beginStop(id);
    }
    for (const std::string &id : knownTasks) {
        TaskCalls *task = this->findTask(id);
        if (task == nullptr || !task->started || task->stopping)
            continue;
        if (runningTasks.count(id) > 0)
            task->missingSince = 0;
        else
            this->handleMissingTask(id, *task);
    }
}

void WorkerClient::handleMissingTask(const std::string &id, TaskCalls &task)
{
    if (task.missingSince == 0) {
        task.missingSince = Loop::now();
        return;
    }
    if (this->eventsReadAt <= task.missingSince)
        return;
    LOG_IF(WARNING, this->callLogLimiter.allowLine(Loop::now()))
        << "task_missing task=" << id << " worker=" << this->options.worker
        << ": the worker does not run it and reported no end"
        << this->callLogLimiter.takeSuppressedField();
    this->beginStop(id);
}

// ---- Events ----

void WorkerClient::readEvents(std::uint64_t from)
{
    HttpCall call;
    call.address = this->options.address;
    call.target = "/workers/" + this->options.worker + "/events?from=" + std::to_string(from)
        + "&wait_ms=" + std::to_string(this->options.longPollMs);
    call.timeoutMs = this->options.longPollMs + longPollMarginMs;
    this->http.call(call, [this, from, sentAt = Loop::now()](const HttpResult &result) {
        this->handleEventsResponse(from, sentAt, result);
    });
}

void WorkerClient::handleEventsResponse(std::uint64_t from, TimeMs sentAt, const HttpResult &result)
{
    Reason reason{ReasonCode::None, "status " + std::to_string(result.status) + " " + result.error};
    std::optional<EventsAnswer> answer;
    if (result.status == statusOk)
        answer = parseEventsAnswer(result.body, from, reason);
    if (!answer) {
        LOG_EVERY_N(ERROR, 10) << "read of the events of worker " << this->options.worker
                               << " from " << from << " failed: " << reason.text;
        this->loop.after(this->options.retryMs, [this, from] { this->readEvents(from); });
        return;
    }
    LOG_IF(WARNING, answer->lost > 0) << "worker " << this->options.worker << " has lost "
                                      << answer->lost << " events from " << from << " on";
    for (const WorkerEvent &event : answer->events)
        this->handleEvent(event);
    this->eventsReadAt = sentAt;
    // An empty answer that did not wait would otherwise be followed by the next read at once.
    const bool emptyAtOnce = answer->next == from && Loop::now() - sentAt < this->options.retryMs;
    this->loop.after(emptyAtOnce ? this->options.retryMs : 0,
                     [this, next = answer->next] { this->readEvents(next); });
}

void WorkerClient::handleEvent(const WorkerEvent &event)
{
    const auto *finished = std::get_if<TaskFinished>(&event);
    const auto *stopped = std::get_if<TaskStopped>(&event);
    if (finished != nullptr || stopped != nullptr) {
        const std::string &id = finished != nullptr ? finished->task : stopped->task;
        const TaskCalls *task = this->findTask(id);
        if (task != nullptr && !task->stopping)
            this->tasks.erase(id);
    }
    this->handler(event);
}

} // namespace flamingo::adapters

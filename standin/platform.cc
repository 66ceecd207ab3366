// A read that cannot be answered yet is kept in `pendingReads` under its path, with a function that
// tries again. An append to that stream, or an event of that worker, calls the function; a timer
// responds with an empty result when the time to wait is over. Every request to a worker advances
// the worker to the present first, so that it acts on the state at that time, and sets the worker's
// timer afterwards.

#include "standin/platform.h"

#include "flamingo/json_parse.h"
#include "flamingo/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace flamingo::standin {
namespace {

using Json = nlohmann::json;
using adapters::HttpRequest;
using adapters::HttpRequestId;
using adapters::HttpResponse;
using adapters::Loop;

constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusBadRequest = 400;
constexpr int statusForbidden = 403;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusGone = 410;
constexpr int statusTooManyRequests = 429;
constexpr int statusInternalError = 500;
constexpr int statusServiceUnavailable = 503;
constexpr int maxStatus = 599;

constexpr TimeMs maxWaitMs = 60000;
constexpr TimeMs maxDurationMs = 86400000;
constexpr std::uint32_t maxAmount = std::numeric_limits<std::int32_t>::max();
constexpr std::size_t defaultMaxLines = 1000;
constexpr std::uint32_t maxPercent = 100;
constexpr TimeMs maxLeaseMs = 86400000;
// A long poll occupies one request and one connection, and a test may run a few hundred processes.
constexpr std::size_t maxPendingRequests = 65536;
constexpr std::size_t maxConnections = 65536;
constexpr std::size_t maxBodyBytes = 16777216;

const std::string okBody = R"({"ok":true})";

std::string errorBody(std::string_view text)
{
    return jsonText(Json{{"error", text}});
}

// Throws the exception of an invalid request, which handle() answers with 400.
[[noreturn]] void refuseRequest(const std::string &text)
{
    static const Json none;
    throw Json::other_error::create(599, text, &none);
}

Json parseBody(const HttpRequest &request)
{
    Reason reason;
    auto body = parseJson(request.body, reason);
    if (!body || !body->is_object())
        refuseRequest(body ? "the body is not a JSON object" : reason.text);
    return std::move(*body);
}

// Reads an optional whole number from 0 to `max`.
template <typename Integer>
Integer numberField(const Json &object, const char *name, Integer max, Integer fallback)
{
    Reason reason;
    if (!readOptionalInteger(object, name, Integer{0}, max, fallback, reason))
        refuseRequest(reason.text);
    return fallback;
}

std::uint64_t loseAnswersField(const Json &object, std::uint64_t fallback)
{
    constexpr auto max = static_cast<std::int64_t>(maxAmount);
    const auto bounded = static_cast<std::int64_t>(std::min<std::uint64_t>(fallback, maxAmount));
    return static_cast<std::uint64_t>(numberField(object, "loseAnswers", max, bounded));
}

TimeMs leaseField(const Json &object)
{
    TimeMs leaseMs = 0;
    Reason reason;
    if (!readInteger(object, "leaseMs", TimeMs{0}, maxDurationMs, leaseMs, reason))
        refuseRequest(reason.text);
    return leaseMs;
}

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> segments;
    while (!path.empty()) {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        segments.emplace_back(path.substr(0, end));
        path.remove_prefix(end);
    }
    return segments;
}

std::uint64_t queryNumber(const HttpRequest &request, std::string_view name,
                          std::uint64_t defaultValue)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? defaultValue
                                        : std::strtoull(found->second.c_str(), nullptr, 10);
}

HttpResponse sliceResponse(const LogSlice &slice)
{
    if (slice.trimmed)
        return {statusGone, Json{{"error", "trimmed"}, {"oldest", slice.oldest}}.dump()};
    Json lines = Json::array();
    std::uint64_t next = slice.first;
    for (const std::string &text : slice.lines)
        lines.push_back({{"offset", next++}, {"text", text}});
    return {statusOk, Json{{"lines", lines}, {"next", next}}.dump()};
}

Json eventJson(const WorkerEvent &event)
{
    return {{"seq", event.seq},     {"type", event.type},     {"task", event.task},
            {"ok", event.ok},       {"answer", event.answer}, {"detail", event.detail},
            {"cores", event.cores}, {"ranMs", event.ranMs},   {"memoryMib", event.memoryMib}};
}

TaskRequest taskRequest(const Json &body)
{
    TaskRequest request;
    request.task = body.at("task").get<std::string>();
    request.job = body.at("job").get<std::string>();
    request.payload = body.value("payload", "");
    request.checkpoint = body.value("checkpoint", "");
    if (body.contains("mask") && !body["mask"].is_number_unsigned())
        refuseRequest("field 'mask' is not a whole number from 0 to 2^64 - 1");
    request.mask = body.value("mask", request.mask);
    request.cores = numberField(body, "cores", maxAmount, request.cores);
    request.memoryMib = numberField(body, "memoryMib", maxAmount, request.memoryMib);
    request.leaseMs = leaseField(body);
    return request;
}

void refuseUnknownKeys(const Json &body, absl::Span<const std::string_view> knownKeys)
{
    for (const auto &[key, value] : body.items()) {
        if (std::find(knownKeys.begin(), knownKeys.end(), key) == knownKeys.end())
            throw Json::other_error::create(599, "unknown key \"" + key + "\"", &body);
    }
}

} // namespace

Platform::Platform(Loop &loop, const PlatformOptions &options)
    : loop(loop)
    , options(options)
{
    this->log.options = options.log;
}

std::unique_ptr<Platform> Platform::listen(Loop &loop, const PlatformOptions &options,
                                           Reason &reason)
{
    std::unique_ptr<Platform> platform(new Platform(loop, options));
    adapters::HttpServerOptions serverOptions;
    serverOptions.address = options.address;
    serverOptions.maxBodyBytes = maxBodyBytes;
    serverOptions.maxPendingRequests = maxPendingRequests;
    serverOptions.maxConnections = maxConnections;
    platform->server = adapters::HttpServer::listen(
        loop, serverOptions,
        [self = platform.get()](const HttpRequest &request) { self->handle(request); }, nullptr,
        reason);
    if (platform->server == nullptr)
        return nullptr;
    return platform;
}

void Platform::shutDown()
{
    this->server->shutDown();
}

void Platform::handle(const HttpRequest &request)
{
    try {
        this->route(request, splitPath(request.path));
    } catch (const Json::exception &error) {
        this->respond(request.id, statusBadRequest, errorBody(error.what()));
    }
}

void Platform::route(const HttpRequest &request, const PathSegments &segments)
{
    const bool get = request.method == "GET";
    if (segments.size() == 2 && segments[0] == "log")
        this->handleLog(request, segments[1]);
    else if (segments.size() >= 3 && segments[0] == "workers")
        this->handleWorker(request, segments);
    else if (request.path == "/faults" && get)
        this->respond(request.id, statusOk, this->faultsJson());
    else if (request.path == "/faults")
        this->setFaults(request);
    else if (request.path == "/runs" && get)
        this->respond(request.id, statusOk, Json(this->startsPerJob).dump());
    else if (request.path == "/health" && get)
        this->respond(request.id, statusOk, okBody);
    else
        this->respond(request.id, statusNotFound, errorBody("no such path"));
}

// ---- Log ----

void Platform::handleLog(const HttpRequest &request, const std::string &stream)
{
    if (this->logFault == LogFault::Down)
        this->respond(request.id, statusServiceUnavailable,
                      errorBody("log service is down (injected fault)"));
    else if (request.method == "POST")
        this->appendToLog(request, stream);
    else
        this->readLog(request, stream);
}

void Platform::appendToLog(const HttpRequest &request, const std::string &stream)
{
    const auto lines = parseBody(request).at("lines").get<std::vector<std::string>>();
    const auto offset = appendLines(this->log, stream, lines, Loop::now());
    if (!offset) {
        this->respondToLogRequest(request.id,
                                  {statusTooManyRequests, errorBody("append rate limit exceeded")});
        return;
    }
    this->answerPendingReads(request.path);
    if (this->loseAnswers > 0) {
        --this->loseAnswers;
        this->respondToLogRequest(
            request.id, {statusInternalError, errorBody("response lost (injected fault)")});
        return;
    }
    this->respondToLogRequest(request.id, {statusOk, Json{{"offset", *offset}}.dump()});
}

void Platform::readLog(const HttpRequest &request, const std::string &stream)
{
    const std::uint64_t from = queryNumber(request, "from", 0);
    const std::size_t max = queryNumber(request, "max", defaultMaxLines);
    this->respondOrWait(request,
                        [this, stream, from, max](bool mayWait) -> std::optional<HttpResponse> {
                            const LogSlice slice = readLines(this->log, stream, from, max);
                            if (mayWait && !slice.trimmed && slice.lines.empty())
                                return std::nullopt;
                            return sliceResponse(slice);
                        });
}

void Platform::respondToLogRequest(HttpRequestId request, const HttpResponse &response)
{
    if (this->logFault != LogFault::Slow) {
        this->server->respond(request, response);
        return;
    }
    this->loop.after(this->slowMs,
                     [this, request, response] { this->server->respond(request, response); });
}

void Platform::failPendingLogReads()
{
    for (auto &[path, reads] : this->pendingReads) {
        if (path.rfind("/log/", 0) != 0)
            continue;
        for (const PendingRead &pendingRead : reads) {
            this->loop.cancel(pendingRead.timer);
            this->respond(pendingRead.request.id, statusServiceUnavailable,
                          errorBody("log service is down (injected fault)"));
        }
        reads.clear();
    }
}

// ---- Reads that wait ----

void Platform::respondOrWait(const HttpRequest &request, const TryRead &tryRead)
{
    const auto waitMs =
        std::min(static_cast<TimeMs>(queryNumber(request, "wait_ms", 0)), maxWaitMs);
    if (const auto response = tryRead(waitMs > 0)) {
        const bool isLogRead = request.path.rfind("/log/", 0) == 0;
        isLogRead ? this->respondToLogRequest(request.id, *response)
                  : this->server->respond(request.id, *response);
        return;
    }
    const auto timer = this->loop.after(waitMs, [this, path = request.path, id = request.id] {
        this->expirePendingRead(path, id);
    });
    this->pendingReads[request.path].push_back({request, tryRead, timer});
}

void Platform::expirePendingRead(const std::string &path, HttpRequestId request)
{
    std::list<PendingRead> &reads = this->pendingReads[path];
    const auto found =
        std::find_if(reads.begin(), reads.end(), [&](const PendingRead &pendingRead) {
            return pendingRead.request.id == request;
        });
    if (found == reads.end())
        return;
    this->server->respond(request, *found->tryRead(false));
    reads.erase(found);
}

void Platform::answerPendingReads(const std::string &path)
{
    const auto found = this->pendingReads.find(path);
    if (found == this->pendingReads.end())
        return;
    const bool isLogRead = path.rfind("/log/", 0) == 0;
    for (auto pendingRead = found->second.begin(); pendingRead != found->second.end();) {
        const auto response = pendingRead->tryRead(true);
        if (!response) {
            ++pendingRead;
            continue;
        }
        this->loop.cancel(pendingRead->timer);
        isLogRead ? this->respondToLogRequest(pendingRead->request.id, *response)
                  : this->server->respond(pendingRead->request.id, *response);
        pendingRead = found->second.erase(pendingRead);
    }
}

// ---- Workers ----

Platform::Host &Platform::findOrCreateHost(const std::string &name)
{
    const auto [host, created] = this->hosts.try_emplace(name);
    if (created)
        host->second.worker.usageLagMs = this->options.usageLagMs;
    return host->second;
}

void Platform::updateWorker(const std::string &name)
{
    Host &host = this->findOrCreateHost(name);
    const TimeMs now = Loop::now();
    advance(host.worker, now);
    this->answerPendingReads("/workers/" + name + "/events");
    this->loop.cancel(host.timer);
    host.timer = 0;
    if (const auto due = nextDueTime(host.worker))
        host.timer = this->loop.after(std::max<TimeMs>(*due - now, 0),
                                      [this, name] { this->updateWorker(name); });
}

void Platform::handleWorker(const HttpRequest &request, const PathSegments &segments)
{
    const std::string &name = segments[1];
    Host &host = this->findOrCreateHost(name);
    if (host.worker.frozen) {
        host.heldRequests.push_back(request);
        return;
    }
    if (this->refuse(request, host))
        return;
    if (request.method == "POST" && host.loseAnswers > 0) {
        --host.loseAnswers;
        this->lostAnswerRequests.insert(request.id);
    }
    advance(host.worker, Loop::now());
    const std::uint64_t holder = queryNumber(request, "holder", host.worker.holder);
    if (!acceptHolder(host.worker, holder, Loop::now())) {
        const Json body = {{"error", "the worker belongs to a newer incarnation of its agent"},
                           {"holder", host.worker.holder}};
        this->respond(request.id, statusForbidden, body.dump());
        return;
    }
    const std::string &resource = segments[2];
    if (resource == "tasks" && segments.size() == 3)
        this->handleTaskStart(request, host);
    else if (resource == "tasks" && segments.size() == 5)
        this->handleTask(request, host, segments);
    else if (resource == "events")
        this->readEvents(request, host);
    else if (resource == "lease")
        this->handleLease(request, host);
    else
        this->respond(request.id, statusNotFound, errorBody("no such path"));
    this->updateWorker(name);
}

bool Platform::refuse(const HttpRequest &request, Host &host)
{
    if (host.refusePercent == 0 || host.refuseRandom() % maxPercent >= host.refusePercent)
        return false;
    this->respond(request.id, host.refuseStatus, errorBody("the worker is busy (injected fault)"));
    return true;
}

void Platform::handleLease(const HttpRequest &request, Host &host)
{
    const Json body = parseBody(request);
    Reason reason;
    TimeMs leaseMs = 0;
    if (!readInteger(body, "leaseMs", TimeMs(0), maxLeaseMs, leaseMs, reason)) {
        this->respond(request.id, statusBadRequest, errorBody(reason.text));
        return;
    }
    if (body.contains("tasks")) {
        for (const auto &task : body.at("tasks").get<std::vector<std::string>>())
            renewLease(host.worker, task, leaseMs, Loop::now());
    } else
        renewLeases(host.worker, leaseMs, Loop::now());
    Json tasks = Json::array();
    for (const auto &task : host.worker.tasks)
        tasks.push_back(task.first);
    this->respond(request.id, statusOk, Json{{"ok", true}, {"tasks", tasks}}.dump());
}

void Platform::handleTaskStart(const HttpRequest &request, Host &host)
{
    const TaskRequest task = taskRequest(parseBody(request));
    std::string detail;
    bool fromBeginning = false;
    if (!startTask(host.worker, task, Loop::now(), detail, fromBeginning)) {
        this->respond(request.id, statusConflict, Json{{"ok", false}, {"detail", detail}}.dump());
        return;
    }
    if (fromBeginning)
        ++this->startsPerJob[task.job];
    this->respond(request.id, statusOk, okBody);
}

void Platform::handleTask(const HttpRequest &request, Host &host, const PathSegments &segments)
{
    const std::string &task = segments[3];
    const std::string &action = segments[4];
    if (action == "stop") {
        const bool stopped = stopTask(host.worker, task, Loop::now());
        this->respond(request.id, stopped ? statusOk : statusAccepted, okBody);
    } else if (action == "checkpoint")
        this->handleCheckpoint(request, host, task);
    else if (action == "throttle") {
        const Json body = parseBody(request);
        body.at("percent"); // throws when it is missing
        const auto percent = numberField(body, "percent", maxAmount, maxAmount);
        const bool done =
            percent <= maxPercent && throttleTask(host.worker, task, percent, Loop::now());
        this->respond(request.id, done ? statusOk : statusNotFound,
                      done ? okBody : errorBody("task is not running, or percent is above 100"));
    } else
        this->respond(request.id, statusNotFound, errorBody("no such path"));
}

void Platform::handleCheckpoint(const HttpRequest &request, Host &host, const std::string &task)
{
    const Task *running = runningTask(host.worker, task);
    if (running == nullptr) {
        this->respond(request.id, statusNotFound, errorBody("task is not running"));
        return;
    }
    const auto respondWithCheckpoint = [this, request, name = splitPath(request.path)[1], task] {
        Host &host = this->findOrCreateHost(name);
        if (host.worker.frozen) {
            host.heldRequests.push_back(request);
            return;
        }
        advance(host.worker, Loop::now());
        const std::string checkpoint = makeCheckpoint(host.worker, task);
        this->respond(request.id, checkpoint.empty() ? statusNotFound : statusOk,
                      checkpoint.empty() ? errorBody("task ended before its checkpoint")
                                         : Json{{"checkpoint", checkpoint}}.dump());
        this->updateWorker(name);
    };
    this->loop.after(running->plan.checkpointMs, respondWithCheckpoint);
}

void Platform::readEvents(const HttpRequest &request, Host &host)
{
    Worker &worker = host.worker;
    if (request.query.count("from") == 0) {
        this->respond(request.id, statusOk,
                      Json{{"events", Json::array()}, {"next", worker.nextSeq}}.dump());
        return;
    }
    const std::uint64_t from = queryNumber(request, "from", 0);
    this->respondOrWait(request, [&worker, from](bool mayWait) -> std::optional<HttpResponse> {
        Json events = Json::array();
        const std::uint64_t oldest = worker.nextSeq - worker.events.size();
        for (std::uint64_t seq = std::max(from, oldest); seq < worker.nextSeq; ++seq)
            events.push_back(eventJson(worker.events[seq - oldest]));
        if (mayWait && events.empty())
            return std::nullopt;
        const std::uint64_t next = std::max(from, worker.nextSeq);
        return HttpResponse{statusOk, Json{{"events", events}, {"next", next}}.dump()};
    });
}

// ---- Faults ----

void Platform::setFaults(const HttpRequest &request)
{
    const Json body = parseBody(request);
    refuseUnknownKeys(body, {"log", "slowMs", "loseAnswers", "worker"});
    const std::string log = body.value("log", "");
    if (!log.empty() && log != "up" && log != "down" && log != "slow") {
        this->respond(request.id, statusBadRequest, errorBody("\"log\" must be up, down or slow"));
        return;
    }
    this->slowMs = numberField(body, "slowMs", maxDurationMs, this->slowMs);
    this->loseAnswers = loseAnswersField(body, this->loseAnswers);
    if (body.contains("worker")) {
        const Json &worker = body.at("worker");
        refuseUnknownKeys(worker,
                          {"name", "failAll", "frozen", "loseAnswers", "stopMs", "refusePercent",
                           "refuseStatus", "refuseSeed"});
        this->setWorkerFault(worker.at("name").get<std::string>(), worker.dump());
    }
    if (!log.empty())
        this->logFault = log == "up" ? LogFault::Up
            : log == "down"          ? LogFault::Down
                                     : LogFault::Slow;
    if (this->logFault == LogFault::Down)
        this->failPendingLogReads();
    this->respond(request.id, statusOk, this->faultsJson());
}

void Platform::setWorkerFault(const std::string &name, const std::string &body)
{
    const Json fault = Json::parse(body);
    Host &host = this->findOrCreateHost(name);
    setRefusals(host, body);
    advance(host.worker, Loop::now());
    host.worker.failAll = fault.value("failAll", host.worker.failAll);
    host.loseAnswers = loseAnswersField(fault, host.loseAnswers);
    setFrozen(host.worker, fault.value("frozen", host.worker.frozen), Loop::now());
    this->updateWorker(name);
    if (host.worker.frozen) {
        this->holdPendingEventReads(name);
        return;
    }
    for (const HttpRequest &request : std::exchange(host.heldRequests, {}))
        this->handle(request);
}

void Platform::setRefusals(Host &host, const std::string &body)
{
    const Json fault = Json::parse(body);
    Reason reason;
    std::int64_t seed = 0;
    host.refuseStatus = host.refuseStatus == 0 ? statusTooManyRequests : host.refuseStatus;
    if (!readOptionalInteger(fault, "refusePercent", 0U, maxPercent, host.refusePercent, reason)
        || !readOptionalInteger(fault, "refuseStatus", statusBadRequest, maxStatus,
                                host.refuseStatus, reason)
        || !readOptionalInteger(fault, "stopMs", TimeMs(0), maxWaitMs, host.worker.stopMs, reason)
        || !readOptionalInteger(fault, "refuseSeed", std::int64_t(0),
                                std::numeric_limits<std::int64_t>::max(), seed, reason))
        throw Json::other_error::create(599, reason.text, &fault);
    if (fault.contains("refuseSeed"))
        host.refuseRandom.seed(static_cast<std::uint64_t>(seed));
}

void Platform::holdPendingEventReads(const std::string &name)
{
    for (const PendingRead &pendingRead :
         std::exchange(this->pendingReads["/workers/" + name + "/events"], {})) {
        this->loop.cancel(pendingRead.timer);
        this->hosts[name].heldRequests.push_back(pendingRead.request);
    }
}

std::string Platform::faultsJson() const
{
    Json workers = Json::array();
    for (const auto &[name, host] : this->hosts) {
        if (host.worker.failAll || host.worker.frozen || host.refusePercent > 0
            || host.worker.stopMs > 0)
            workers.push_back({{"name", name},
                               {"failAll", host.worker.failAll},
                               {"frozen", host.worker.frozen},
                               {"refusePercent", host.refusePercent},
                               {"stopMs", host.worker.stopMs}});
    }
    const char *log = this->logFault == LogFault::Up ? "up"
        : this->logFault == LogFault::Down           ? "down"
                                                     : "slow";
    return Json{{"log", log},
                {"slowMs", this->slowMs},
                {"loseAnswers", this->loseAnswers},
                {"workers", workers}}
        .dump();
}

void Platform::respond(HttpRequestId request, int status, const std::string &body)
{
    if (this->lostAnswerRequests.erase(request) > 0)
        this->server->respond(request,
                              {statusInternalError, errorBody("response lost (injected fault)")});
    else
        this->server->respond(request, {status, body});
}

} // namespace flamingo::standin

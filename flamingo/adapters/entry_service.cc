// Every HTTP request that needs a decision gets a request id and stays in `pendingRequests` until
// the Reply with that id arrives or maxWaitMs passes. After maxWaitMs the caller gets 202 with the
// job's id, with which it can query the outcome; the job itself continues.

#include "flamingo/adapters/entry_service.h"

#include "flamingo/adapters/job_json.h"
#include "flamingo/adapters/service.h"
#include "flamingo/adapters/traffic_json.h"
#include "flamingo/json_text.h"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

namespace flamingo::adapters {
namespace {

using Json = nlohmann::json;

constexpr TimeMs tickMs = 100;
constexpr TimeMs shutdownNoticeMs = 1000; // from the failing /ready until requests are refused
constexpr TimeMs idleCheckMs = 50;
constexpr TimeMs shutdownLogIntervalMs = 5000;
constexpr TimeMs msPerSecond = 1000;
constexpr std::string_view jobsPath = "/v1/jobs";
constexpr std::string_view targetsPath = "/v1/targets";

// Returns the part of `path` after `parent` and a slash; nullopt when `path` does not start with
// them or nothing follows.
std::optional<std::string_view> pathBelow(std::string_view path, std::string_view parent)
{
    if (path.size() <= parent.size() + 1 || path.substr(0, parent.size()) != parent
        || path[parent.size()] != '/')
        return std::nullopt;
    return path.substr(parent.size() + 1);
}

// Removes `suffix` from `text`. False, without effect, unless `text` is longer and ends in it.
bool removeSuffix(std::string_view &text, std::string_view suffix)
{
    if (text.size() <= suffix.size() || text.substr(text.size() - suffix.size()) != suffix)
        return false;
    text.remove_suffix(suffix.size());
    return true;
}

HttpResponse notFound(const HttpRequest &request)
{
    HttpResponse response = refusal(
        {ReasonCode::InvalidInput, "no such resource: " + request.method + " " + request.path});
    response.status = 404;
    return response;
}

std::size_t unfinishedJobs(const Entry &entry)
{
    return entry.jobs.size() - entry.finished.size();
}

HttpServerOptions serverOptions(const EntrySettings &settings)
{
    HttpServerOptions options;
    options.address = settings.httpAddress;
    options.maxBodyBytes = settings.maxBodyBytes;
    options.maxPendingRequests = settings.maxPendingRequests;
    options.maxHeldBytes = settings.maxHeldBytes;
    limitUnknownClients(options);
    return options;
}

} // namespace

EntryService::EntryService(Loop &loop, const EntrySettings &settings)
    : loop(loop)
    , settings(settings)
    , entry(makeEntry(settings.options))
    , random(std::random_device()())
    , httpClient(loop)
{
}

std::unique_ptr<EntryService> EntryService::start(Loop &loop, const EntrySettings &settings,
                                                  Reason &reason)
{
    std::unique_ptr<EntryService> owned(new EntryService(loop, settings));
    EntryService *service = owned.get();
    service->peers = Peers::listen(
        loop, makePeersOptions(settings, ProcessKind::Entry),
        makePeerHandlers([service](const auto &event) { service->dispatch(event); }), reason);
    if (!service->peers)
        return nullptr;
    service->server = HttpServer::listen(
        loop, serverOptions(settings),
        [service](const HttpRequest &request) { service->route(request); }, nullptr, reason);
    if (!service->server)
        return nullptr;
    LogClientOptions logOptions;
    logOptions.address = settings.logAddress;
    service->log = std::make_unique<LogClient>(
        loop, service->httpClient, logOptions,
        LogClient::Handlers{
            [service](const LogRead &read) { return service->handleLogRead(read); },
            [service](const LogAppended &appended) { service->dispatch(appended); }});
    service->log->tail(std::string(tableStream), 0);
    service->log->tail(std::string(claimsStream), 0);
    loop.every(tickMs, [service] { service->dispatch(Tick()); });
    return owned;
}

// Returns the offset to read from next. For the table stream that is Table::nextOffset, which lies
// before read.next after a Snapshot that its writer made from an older offset: the lines in between
// must still be applied. When the lines before a gap were trimmed, the lines after it cannot be
// applied, and reading continues at read.next until a Snapshot arrives.
std::uint64_t EntryService::handleLogRead(const LogRead &read)
{
    this->dispatch(read);
    const Table &table = this->entry.table;
    if (read.stream != tableStream || read.lines.empty() || table.awaitsSnapshot
        || read.lines.front().offset > table.nextOffset)
        return read.next;
    return table.nextOffset;
}

void EntryService::dispatch(const EntryEvent &event)
{
    Outbox out;
    handleEntry(this->entry, event, Loop::now(), this->random, out);
    this->applyEffects(out);
}

void EntryService::applyEffects(const Outbox &out)
{
    logIgnoredRecords(out.ignoredRecords);
    for (const std::string &line : out.logLines)
        LOG_IF(INFO, this->reservationLogLimiter.allowLine(Loop::now()))
            << line << this->reservationLogLimiter.takeSuppressedField();
    for (const Send &send : out.sends)
        this->peers->send(send.to, send.message);
    for (const Append &append : out.appends)
        this->log->append(append);
    for (const Reply &reply : out.replies)
        this->sendReply(reply);
}

void EntryService::sendReply(const Reply &reply)
{
    const auto found = this->pendingRequests.find(reply.request);
    if (found == this->pendingRequests.end())
        return;
    const PendingRequest pending = found->second;
    this->pendingRequests.erase(found);
    this->loop.cancel(pending.timer);
    const double seconds = static_cast<double>(Loop::now() - pending.receivedAt) / msPerSecond;
    this->metrics.observeDuration("flamingo_request_duration_seconds", "Time from request to reply",
                                  seconds, {{"verdict", std::string(verdictName(reply.verdict))}});
    LOG_IF(INFO, this->replyLogLimiter.allowLine(Loop::now()))
        << "reply request=" << reply.request << " job=" << reply.job
        << " organisation=" << pending.organisation << " verdict=" << verdictName(reply.verdict)
        << " reason=" << reasonName(reply.reason.code) << " accepted=" << reply.accepted
        << " table_version=" << this->entry.table.version << " detail=\"" << reply.reason.text
        << "\"" << this->replyLogLimiter.takeSuppressedField();
    this->respond(pending.httpRequest, replyResponse(reply));
}

void EntryService::respond(HttpRequestId request, const HttpResponse &response)
{
    this->metrics.incrementCounter("flamingo_http_responses_total", "HTTP responses by status", 1,
                                   {{"status", std::to_string(response.status)}});
    this->server->respond(request, response);
}

void EntryService::route(const HttpRequest &request)
{
    const std::string_view path = request.path;
    if (request.method == "GET" && this->routeRead(request))
        return;
    if (request.method == "POST" && path == jobsPath) {
        this->submitJob(request);
        return;
    }
    if (request.method == "POST" && path == "/v1/table") {
        this->editTable(request);
        return;
    }
    if (const auto job = pathBelow(path, jobsPath)) {
        this->routeJob(request, *job);
        return;
    }
    if (const auto target = pathBelow(path, targetsPath)) {
        this->routeTarget(request, *target);
        return;
    }
    this->respond(request.id, notFound(request));
}

bool EntryService::routeRead(const HttpRequest &request)
{
    const std::string_view path = request.path;
    const TimeMs now = Loop::now();
    HttpResponse response;
    if (path == "/health") {
        response.body = "{\"health\":\"ok\"}\n";
    } else if (path == "/ready") {
        response.status = this->stopping ? 503 : 200;
        response.body = this->stopping ? "{\"ready\":false}\n" : "{\"ready\":true}\n";
    } else if (path == "/metrics") {
        response.body = this->metricsText();
        response.contentType = "text/plain; version=0.0.4";
    } else if (path == "/v1/table") {
        response.body = tableJson(this->entry.table);
    } else if (path == targetsPath) {
        response.body = targetsJson(this->entry, now);
    } else if (path == "/v1/status") {
        response.body = statusJson(this->entry, now);
    } else if (path == "/v1/dump") {
        response.body = this->dump();
    } else {
        return false;
    }
    this->respond(request.id, response);
    return true;
}

void EntryService::submitJob(const HttpRequest &request)
{
    Reason reason;
    auto parsed = parseJobRequest(request.body, reason);
    if (!parsed) {
        this->respond(request.id, refusal(reason));
        return;
    }
    Submit submit;
    submit.request = std::to_string(request.id);
    submit.spec = std::move(parsed->spec);
    submit.spec.job = this->settings.options.name + "."
        + std::to_string(this->settings.options.incarnation) + "."
        + std::to_string(this->nextJobNumber++);
    if (submit.spec.homeRegion.empty())
        submit.spec.homeRegion = this->settings.options.region;
    submit.wait = parsed->wait;
    this->addPendingRequest(request, submit.spec.job, submit.spec.organisation);
    this->dispatch(submit);
}

void EntryService::addPendingRequest(const HttpRequest &request, const std::string &job,
                                     const std::string &organisation)
{
    const std::string id = std::to_string(request.id);
    const auto timer = this->loop.after(this->settings.maxWaitMs, [this, id] {
        const PendingRequest pending = this->pendingRequests.at(id);
        this->pendingRequests.erase(id);
        this->dispatch(CallerGone{id});
        Reply reply;
        reply.job = pending.job;
        reply.accepted = true;
        reply.verdict = Verdict::MayHaveRun;
        reply.reason = {ReasonCode::None,
                        "not ended yet, ask again with GET /v1/jobs/" + pending.job};
        this->respond(pending.httpRequest, replyResponse(reply));
    });
    this->pendingRequests[id] = {request.id, job, organisation, Loop::now(), timer};
}

void EntryService::routeJob(const HttpRequest &request, std::string_view rest)
{
    const std::string id = std::to_string(request.id);
    if (request.method == "GET" && removeSuffix(rest, "/explain")) {
        HttpResponse response;
        response.body = explainJob(this->entry, rest, Loop::now());
        this->respond(request.id, response);
        return;
    }
    const std::string job(rest);
    if (request.method == "GET") {
        const auto wait = request.query.find("wait");
        this->addPendingRequest(request, job);
        this->dispatch(QueryJob{id, job, wait != request.query.end() && wait->second != "0"});
    } else if (request.method == "DELETE") {
        this->addPendingRequest(request, job);
        this->dispatch(CancelJob{id, job});
    } else {
        this->respond(request.id, notFound(request));
    }
}

void EntryService::routeTarget(const HttpRequest &request, std::string_view rest)
{
    const bool undrain = removeSuffix(rest, "/undrain");
    const bool drain = !undrain && removeSuffix(rest, "/drain");
    if (request.method != "POST" || (!drain && !undrain)) {
        this->respond(request.id, notFound(request));
        return;
    }
    this->addPendingRequest(request, "");
    this->dispatch(DrainTarget{std::to_string(request.id), std::string(rest), drain});
}

void EntryService::editTable(const HttpRequest &request)
{
    Reason reason;
    const auto parsed = parseEditRequest(request.body, reason);
    if (!parsed) {
        this->respond(request.id, refusal(reason));
        return;
    }
    this->addPendingRequest(request, "");
    this->dispatch(EditTable{std::to_string(request.id), parsed->author, parsed->baseVersion,
                             parsed->change, Loop::unixNow(), parsed->wait});
}

std::string EntryService::dump() const
{
    const Json result = {{"process", this->settings.options.name},
                         {"stopping", this->stopping},
                         {"logReachable", this->log->reachable()},
                         {"waitingRequests", this->pendingRequests.size()},
                         {"peers", connectedPeersJson(*this->peers)},
                         {"traffic", trafficJson(*this->peers)},
                         {"entry", Json::parse(dumpEntry(this->entry, Loop::now()))}};
    return jsonText(result, 2) + "\n";
}

std::string EntryService::metricsText()
{
    this->metrics.setGauge("flamingo_log_reachable", "1 while the log service answers",
                           this->log->reachable() ? 1 : 0);
    this->metrics.setGauge("flamingo_table_version", "Version of the table in force",
                           static_cast<double>(this->entry.table.version));
    this->metrics.setGauge("flamingo_waiting_requests", "HTTP requests that wait for a reply",
                           static_cast<double>(this->pendingRequests.size()));
    updateTrafficMetrics(this->metrics, *this->peers);
    return this->metrics.serialize();
}

void EntryService::shutDown()
{
    LOG(INFO) << "shutdown requested, " << this->pendingRequests.size() << " pending requests";
    this->stopping = true;
    this->loop.after(shutdownNoticeMs, [this] {
        this->dispatch(StopAccepting());
        this->server->shutDown();
        this->stopWhenIdle();
    });
}

void EntryService::stopWhenIdle()
{
    if (entryIdle(this->entry) && this->server->pendingCount() == 0 && this->peers->flushed()) {
        LOG(INFO) << "shutdown complete";
        this->loop.after(idleCheckMs, [this] { this->loop.stop(); });
        return;
    }
    if (Loop::now() >= this->nextShutdownLogAt) {
        LOG(INFO) << "shutdown waits jobs=" << unfinishedJobs(this->entry)
                  << " queued=" << this->entry.queue.size
                  << " lookups=" << this->entry.lookups.size()
                  << " drains=" << this->entry.drains.size()
                  << " edits=" << this->entry.edits.pending.size()
                  << " pending_requests=" << this->server->pendingCount()
                  << " all_sent=" << this->peers->flushed();
        this->nextShutdownLogAt = Loop::now() + shutdownLogIntervalMs;
    }
    this->loop.after(idleCheckMs, [this] { this->stopWhenIdle(); });
}

} // namespace flamingo::adapters

// Records and messages are JSON. Missing fields take their default and unknown fields are ignored,
// so that processes of adjacent versions can read each other's data.

#include "flamingo/scheduler/records.h"

#include "flamingo/json_text.h"
#include "flamingo/scheduler/host_messages.h"
#include "flamingo/scheduler/scheduler.h"

#include <nlohmann/json.hpp>

#include <map>

// Progress records are small: a job may have hundreds of tasks, each change writes the progress of
// all of them, and every entry reads it, over links that the regions share. A task is an array
// without field names,
//
//     [phase, run, failures, failedRun, number of the worker, checkpoint]
//
// without the fields at its end that are 0 or empty. Workers are listed once in a record and
// numbered from 1; only tasks that may be running have one. Tasks that are done have no checkpoint.

namespace flamingo::scheduler {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Resources, cpuMilli, memoryMb, accelerators)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Step, count, need, estimateMs, after, checkpointing,
                                                gang, sameRack, requiredLabel, dataRack,
                                                maxPerWorker, longRunning, fillsIdle)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Job, id, queue, organisation, service, payload,
                                                steps, priority, maxAttempts, stretch,
                                                targetLatencyMs, acceptedUnixMs, firstRunUnixMs,
                                                intervalMs, repeatCount)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Leader, epoch, process, start, address, hosts,
                                                resigned, processorShare)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerInfo, id, bornUnixMs, service, capacity,
                                                labels, draining, remainingMs)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReportedRun, task, run, state, percent, checkpoint,
                                                reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReportedEnd, number, task, run, how, checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StartOrder, task, run, payload, checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StopOrder, task, run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HostOrders, epoch, leaderAddress, leaderEpoch,
                                                workerKey, fencingToken, grantMs, acknowledgedEnd,
                                                storeSilentMs, starts, stops)

namespace {

constexpr std::size_t workerField = 4; // of a task in a progress record
constexpr std::string_view acceptancePrefix = "a/";
constexpr std::string_view cancellationPrefix = "c/";
constexpr std::string_view progressPrefix = "p/";

Reason decodeError(const std::exception &error)
{
    return {ReasonCode::InvalidInput, error.what()};
}

template <typename Type>
std::optional<Type> decode(std::string_view text, Reason &reason)
{
    try {
        return nlohmann::json::parse(text).get<Type>();
    } catch (const nlohmann::json::exception &error) {
        reason = decodeError(error);
        return std::nullopt;
    }
}

std::string recordKey(std::string_view prefix, std::string_view jobId)
{
    return std::string(prefix) + std::string(jobId);
}

// Removes the fields at the end of `fields` that have their default value.
nlohmann::json trimmedFields(nlohmann::json fields)
{
    const auto isDefault = [](const nlohmann::json &field) {
        return field.is_string() ? field.get_ref<const std::string &>().empty() : field == 0;
    };
    while (!fields.empty() && isDefault(fields.back()))
        fields.erase(fields.size() - 1);
    return fields;
}

// Returns the field `name` of the object `json`; `fallback` if there is none.
const nlohmann::json &memberOr(const nlohmann::json &json, const char *name,
                               const nlohmann::json &fallback)
{
    const auto found = json.find(name);
    return found == json.end() ? fallback : *found;
}

} // namespace

// nlohmann::json requires these function names.
// NOLINTBEGIN(readability-identifier-naming)
void to_json(nlohmann::json &json, const JobProgress &progress)
{
    std::map<std::string_view, std::size_t> workerNumbers;
    auto workers = nlohmann::json::array();
    auto tasks = nlohmann::json::array();
    for (const TaskProgress &task : progress.tasks) {
        const bool done = task.phase == TaskPhase::Done;
        std::size_t worker = 0;
        if (!done && task.phase != TaskPhase::Waiting) {
            const auto [found, added] =
                workerNumbers.emplace(task.worker, workerNumbers.size() + 1);
            if (added)
                workers.push_back(task.worker);
            worker = found->second;
        }
        tasks.push_back(trimmedFields({task.phase, task.run, task.failures, task.failedRun, worker,
                                       done ? std::string() : task.checkpoint}));
    }
    json = {{"outcome", progress.outcome}, {"workers", workers}, {"tasks", tasks}};
    if (!progress.reason.empty())
        json["reason"] = progress.reason;
}

void from_json(const nlohmann::json &json, JobProgress &progress)
{
    progress.outcome = json.value("outcome", Outcome::Open);
    progress.reason = json.value("reason", std::string());
    // References, because a copy of all tasks would cost as much as decoding them.
    const auto none = nlohmann::json::array();
    const nlohmann::json &workers = memberOr(json, "workers", none);
    for (const nlohmann::json &fields : memberOr(json, "tasks", none)) {
        const auto field = [&fields](std::size_t index, auto &target) {
            if (index < fields.size())
                fields.at(index).get_to(target);
        };
        TaskProgress task;
        field(0, task.phase);
        field(1, task.run);
        field(2, task.failures);
        field(3, task.failedRun);
        field(5, task.checkpoint);
        // Processes of the former version wrote the worker itself.
        if (fields.size() > workerField && fields[workerField].is_string())
            field(workerField, task.worker);
        else if (fields.size() > workerField && fields[workerField] != 0)
            workers.at(fields[workerField].get<std::size_t>() - 1).get_to(task.worker);
        progress.tasks.push_back(std::move(task));
    }
}

void to_json(nlohmann::json &json, const HostReport &report)
{
    json = {{"host", report.host},
            {"agentStart", report.agentStart},
            {"sequence", report.sequence},
            {"workerGone", report.workerGone},
            {"workerBusy", report.workerBusy},
            {"lostLeader", report.lostLeader},
            {"fencingToken", report.fencingToken},
            {"listClockMs", report.listClockMs},
            {"runs", report.runs},
            {"ends", report.ends}};
    if (report.worker)
        json["worker"] = *report.worker;
}

void from_json(const nlohmann::json &json, HostReport &report)
{
    json.at("host").get_to(report.host);
    json.at("agentStart").get_to(report.agentStart);
    json.at("sequence").get_to(report.sequence);
    report.workerGone = json.value("workerGone", false);
    report.workerBusy = json.value("workerBusy", false);
    report.lostLeader = json.value("lostLeader", std::uint64_t(0));
    report.fencingToken = json.value("fencingToken", std::uint64_t(0));
    report.listClockMs = json.value("listClockMs", std::int64_t(0));
    report.runs = json.value("runs", std::vector<ReportedRun>());
    report.ends = json.value("ends", std::vector<ReportedEnd>());
    if (json.contains("worker"))
        report.worker = json.at("worker").get<WorkerInfo>();
}

// NOLINTEND(readability-identifier-naming)

const std::string_view leaderKey = "~leader";
const std::string_view candidateKey = "~candidate";

Record acceptanceRecord(const Job &job)
{
    return {recordKey(acceptancePrefix, job.id), jsonText(nlohmann::json(job))};
}

Record progressRecord(std::string_view jobId, const JobProgress &progress)
{
    return {recordKey(progressPrefix, jobId), jsonText(nlohmann::json(progress))};
}

Record cancellationRecord(std::string_view jobId)
{
    return {recordKey(cancellationPrefix, jobId), "{}"};
}

Record leaderRecord(const Leader &leader)
{
    return {std::string(leaderKey), jsonText(nlohmann::json(leader))};
}

Record candidateRecord(const Leader &candidate)
{
    return {std::string(candidateKey), jsonText(nlohmann::json(candidate))};
}

std::optional<ParsedKey> parseKey(std::string_view key)
{
    if (key == candidateKey)
        return ParsedKey{RecordKind::Candidate, ""};
    if (key == leaderKey)
        return ParsedKey{RecordKind::Leader, ""};
    const std::string_view prefix = key.substr(0, 2);
    const std::string jobId(key.substr(prefix.size()));
    if (prefix == acceptancePrefix)
        return ParsedKey{RecordKind::Acceptance, jobId};
    if (prefix == progressPrefix)
        return ParsedKey{RecordKind::Progress, jobId};
    if (prefix == cancellationPrefix)
        return ParsedKey{RecordKind::Cancellation, jobId};
    return std::nullopt;
}

std::optional<Job> decodeJob(std::string_view value, Reason &reason)
{
    auto job = decode<Job>(value, reason);
    if (!job)
        return std::nullopt;
    if (const auto problem = validate(*job)) {
        reason = *problem;
        return std::nullopt;
    }
    return job;
}

std::optional<JobProgress> decodeProgress(std::string_view value, Reason &reason)
{
    return decode<JobProgress>(value, reason);
}

std::optional<Leader> decodeLeader(std::string_view value, Reason &reason)
{
    return decode<Leader>(value, reason);
}

std::string workerKey(std::string_view host, const WorkerInfo &worker)
{
    return std::string(host) + "/" + worker.id + "@" + std::to_string(worker.bornUnixMs);
}

std::string_view hostOfWorkerKey(std::string_view key)
{
    return key.substr(0, key.find('/'));
}

std::string encode(const HostReport &report)
{
    return jsonText(nlohmann::json(report));
}

std::string encode(const HostOrders &orders)
{
    return jsonText(nlohmann::json(orders));
}

std::optional<HostReport> decodeHostReport(std::string_view text, Reason &reason)
{
    return decode<HostReport>(text, reason);
}

std::optional<HostOrders> decodeHostOrders(std::string_view text, Reason &reason)
{
    return decode<HostOrders>(text, reason);
}

std::string dumpState(const Scheduler &scheduler)
{
    nlohmann::json jobs = nlohmann::json::object();
    for (const auto &[id, row] : scheduler.table.jobs) {
        jobs[id] = {{"progress", row.progress}, {"cancelled", row.cancelled}};
        if (row.job)
            jobs[id]["job"] = *row.job;
    }
    nlohmann::json workers = nlohmann::json::object();
    for (const auto &[key, worker] : scheduler.workers) {
        nlohmann::json runs = nlohmann::json::array();
        for (const auto &[runKey, run] : worker.runs)
            runs.push_back({{"task", runKey.first},
                            {"run", runKey.second},
                            {"state", run.reported},
                            {"percent", run.progress.percent}});
        workers[key] = {{"info", worker.info},
                        {"fenced", worker.fenced},
                        {"token", worker.fencingToken},
                        {"lastReport", worker.lastReport},
                        {"runs", runs}};
    }
    return jsonText(nlohmann::json{{"epoch", scheduler.epoch},
                                   {"leader", scheduler.table.leader},
                                   {"jobs", jobs},
                                   {"workers", workers}},
                    1);
}

} // namespace flamingo::scheduler

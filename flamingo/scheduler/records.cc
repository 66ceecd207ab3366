// Records and messages are JSON. Missing fields take their default and unknown fields are ignored,
// so that processes of adjacent versions can read each other's data. A field of another type or out
// of its range makes the whole record or message invalid.

#include "flamingo/scheduler/records.h"

#include "flamingo/json_object_reader.h"
#include "flamingo/json_text.h"
#include "flamingo/scheduler/host_messages.h"
#include "flamingo/scheduler/limits.h"
#include "flamingo/scheduler/run_progress.h"
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

using Json = nlohmann::json;

// nlohmann::json requires these function names.
// NOLINTBEGIN(readability-identifier-naming)
void to_json(Json &json, const Resources &resources)
{
    json = {{"cpuMilli", resources.cpuMilli},
            {"memoryMb", resources.memoryMb},
            {"accelerators", resources.accelerators}};
}

void to_json(Json &json, const Step &step)
{
    json = {{"count", step.count},
            {"need", step.need},
            {"estimateMs", step.estimateMs},
            {"after", step.after},
            {"checkpointing", step.checkpointing},
            {"gang", step.gang},
            {"sameRack", step.sameRack},
            {"requiredLabel", step.requiredLabel},
            {"dataRack", step.dataRack},
            {"maxPerWorker", step.maxPerWorker},
            {"longRunning", step.longRunning},
            {"fillsIdle", step.fillsIdle}};
}

void to_json(Json &json, const Job &job)
{
    json = {{"id", job.id},
            {"queue", job.queue},
            {"organisation", job.organisation},
            {"service", job.service},
            {"payload", job.payload},
            {"steps", job.steps},
            {"priority", job.priority},
            {"maxAttempts", job.maxAttempts},
            {"stretch", job.stretch},
            {"targetLatencyMs", job.targetLatencyMs},
            {"acceptedUnixMs", job.acceptedUnixMs},
            {"firstRunUnixMs", job.firstRunUnixMs},
            {"intervalMs", job.intervalMs},
            {"repeatCount", job.repeatCount}};
}

void to_json(Json &json, const Leader &leader)
{
    json = {{"epoch", leader.epoch},
            {"process", leader.process},
            {"start", leader.start},
            {"address", leader.address},
            {"hosts", leader.hosts},
            {"resigned", leader.resigned},
            {"processorShare", leader.processorShare}};
}

void to_json(Json &json, const WorkerInfo &worker)
{
    json = {{"id", worker.id},
            {"bornUnixMs", worker.bornUnixMs},
            {"service", worker.service},
            {"capacity", worker.capacity},
            {"labels", worker.labels},
            {"draining", worker.draining},
            {"remainingMs", worker.remainingMs},
            {"coldMs", worker.coldMs}};
}

void to_json(Json &json, const ReportedRun &run)
{
    json = {{"task", run.task},
            {"run", run.run},
            {"state", run.state},
            {"percent", run.percent},
            {"checkpoint", run.checkpoint},
            {"reason", run.reason}};
}

void to_json(Json &json, const ReportedEnd &end)
{
    json = {{"number", end.number},
            {"task", end.task},
            {"run", end.run},
            {"how", end.how},
            {"checkpoint", end.checkpoint}};
}

void to_json(Json &json, const StartOrder &order)
{
    json = {{"task", order.task},
            {"run", order.run},
            {"payload", order.payload},
            {"checkpoint", order.checkpoint}};
}

void to_json(Json &json, const StopOrder &order)
{
    json = {{"task", order.task}, {"run", order.run}};
}

void to_json(Json &json, const HostOrders &orders)
{
    json = {{"epoch", orders.epoch},
            {"leaderAddress", orders.leaderAddress},
            {"leaderEpoch", orders.leaderEpoch},
            {"workerKey", orders.workerKey},
            {"fencingToken", orders.fencingToken},
            {"grantMs", orders.grantMs},
            {"acknowledgedEnd", orders.acknowledgedEnd},
            {"storedWorkerEnd", orders.storedWorkerEnd},
            {"storeSilentMs", orders.storeSilentMs},
            {"jobLogAgeMs", orders.jobLogAgeMs},
            {"evacuated", orders.evacuated},
            {"evacuationsAgeMs", orders.evacuationsAgeMs},
            {"starts", orders.starts},
            {"stops", orders.stops}};
}

// NOLINTEND(readability-identifier-naming)

namespace {

// Fields of a task in a progress record.
constexpr std::size_t workerField = 4;
constexpr std::size_t checkpointField = 5;
constexpr double maxProcessorShare = 1e6;
constexpr std::string_view acceptancePrefix = "a/";
constexpr std::string_view cancellationPrefix = "c/";
constexpr std::string_view earlyCancellationPrefix = "e/";
constexpr std::string_view progressPrefix = "p/";
constexpr std::string_view workerEndPrefix = "w/";

// Decodes the text of one message or record with `read(json, value, reason)`.
template <typename Type, typename Read>
std::optional<Type> decode(std::string_view text, Reason &reason, Read read)
{
    const auto json = parseJson(text, reason);
    Type value;
    if (!json || !read(*json, value, reason))
        return std::nullopt;
    return value;
}

template <typename Enumeration>
void readEnumeration(JsonObjectReader &reader, const char *name, Enumeration last,
                     Enumeration &target)
{
    reader.integer(name, 0, static_cast<std::int64_t>(last), target);
}

// An address is empty or of the form HOST:PORT.
void readAddress(JsonObjectReader &reader, const char *name, std::string &address)
{
    reader.text(name, address);
    if (reader.valid() && !address.empty() && !isHostAndPort(address))
        reader.refuse(std::string("field '") + name + "' is not of the form HOST:PORT");
}

bool readResources(const Json &json, Resources &resources, Reason &reason)
{
    JsonObjectReader reader(json, reason);
    reader.integer("cpuMilli", 0, maxResourceAmount, resources.cpuMilli);
    reader.integer("memoryMb", 0, maxResourceAmount, resources.memoryMb);
    reader.integer("accelerators", 0, maxResourceAmount, resources.accelerators);
    return reader.valid();
}

bool readStep(const Json &json, Step &step, Reason &reason)
{
    JsonObjectReader reader(json, reason);
    reader.integer("count", 1, maxUint32, step.count);
    reader.value("need", step.need, readResources);
    reader.integer("estimateMs", 0, maxEstimateSumMs, step.estimateMs);
    reader.list("after", step.after,
                [](const Json &element, std::uint32_t &dependency, Reason &problem) {
                    const auto number = wholeNumber(element, 0, maxUint32);
                    dependency = static_cast<std::uint32_t>(number.value_or(0));
                    if (!number)
                        problem = {ReasonCode::InvalidInput, "not the number of a step"};
                    return number.has_value();
                });
    reader.flag("checkpointing", step.checkpointing);
    reader.flag("gang", step.gang);
    reader.flag("sameRack", step.sameRack);
    reader.text("requiredLabel", step.requiredLabel);
    reader.text("dataRack", step.dataRack);
    reader.integer("maxPerWorker", 0, maxUint32, step.maxPerWorker);
    reader.flag("longRunning", step.longRunning);
    reader.flag("fillsIdle", step.fillsIdle);
    return reader.valid();
}

bool readJob(const Json &json, Job &job, Reason &reason)
{
    JsonObjectReader reader(json, reason);
    reader.text("id", job.id);
    reader.text("queue", job.queue);
    reader.text("organisation", job.organisation);
    reader.text("service", job.service);
    reader.text("payload", job.payload);
    reader.list("steps", job.steps, readStep);
    reader.integer("priority", 0, maxUint32, job.priority);
    reader.integer("maxAttempts", 0, maxUint32, job.maxAttempts);
    reader.real("stretch", 0, maxStretch, job.stretch);
    reader.integer("targetLatencyMs", 0, maxMilliseconds, job.targetLatencyMs);
    reader.integer("acceptedUnixMs", 0, maxMilliseconds, job.acceptedUnixMs);
    reader.integer("firstRunUnixMs", 0, maxMilliseconds, job.firstRunUnixMs);
    reader.integer("intervalMs", 0, maxMilliseconds, job.intervalMs);
    reader.integer("repeatCount", 0, maxUint32, job.repeatCount);
    return reader.valid();
}

bool readLeader(const Json &json, Leader &leader, Reason &reason)
{
    JsonObjectReader reader(json, reason);
    reader.require({"epoch", "process"});
    reader.integer("epoch", 1, maxEpoch, leader.epoch);
    reader.text("process", leader.process);
    reader.integer("start", 0, maxIncarnation, leader.start);
    readAddress(reader, "address", leader.address);
    reader.integer("hosts", 0, maxUint32, leader.hosts);
    reader.flag("resigned", leader.resigned);
    reader.real("processorShare", 0, maxProcessorShare, leader.processorShare);
    if (leader.process.empty())
        reader.refuse("no process is named");
    return reader.valid();
}

bool readCaller(const Json &json, Caller &caller, Reason &reason)
{
    JsonObjectReader reader(json, reason);
    reader.require({"queue"});
    reader.text("queue", caller.queue);
    reader.text("organisation", caller.organisation);
    reader.flag("anyOrganisation", caller.anyOrganisation);
    return reader.valid();
}

bool readWorker(const Json &json, WorkerInfo &worker, Reason &reason)
{
    JsonObjectReader reader(json, reason);
    reader.text("id", worker.id);
    reader.integer("bornUnixMs", 0, maxBornUnixMs, worker.bornUnixMs);
    reader.text("service", worker.service);
    reader.value("capacity", worker.capacity, readResources);
    reader.texts("labels", worker.labels);
    reader.flag("draining", worker.draining);
    reader.integer("remainingMs", 0, maxMilliseconds, worker.remainingMs);
    reader.integer("coldMs", 0, maxMilliseconds, worker.coldMs);
    return reader.valid();
}

// The percentage only serves to estimate; one that is out of range counts as unknown.
bool readPercent(const Json &json, std::int64_t &percent, Reason &reason)
{
    percent = wholeNumber(json, 0, completePercent).value_or(unknownPercent);
    if (!json.is_number())
        reason = {ReasonCode::InvalidInput, "not a number"};
    return json.is_number();
}

bool readReportedRun(const Json &json, ReportedRun &run, Reason &reason)
{
    JsonObjectReader reader(json, reason);
    reader.text("task", run.task);
    reader.integer("run", 0, maxRunNumber, run.run);
    readEnumeration(reader, "state", RunState::Gone, run.state);
    reader.value("percent", run.percent, readPercent);
    reader.text("checkpoint", run.checkpoint);
    reader.text("reason", run.reason);
    return reader.valid();
}

bool readReportedEnd(const Json &json, ReportedEnd &end, Reason &reason)
{
    JsonObjectReader reader(json, reason);
    reader.integer("number", 0, maxCounter, end.number);
    reader.text("task", end.task);
    reader.integer("run", 0, maxRunNumber, end.run);
    readEnumeration(reader, "how", EndKind::Alone, end.how);
    reader.text("checkpoint", end.checkpoint);
    return reader.valid();
}

bool readHostReport(const Json &json, HostReport &report, Reason &reason)
{
    JsonObjectReader reader(json, reason);
    reader.require({"host", "agentStart", "sequence"});
    reader.text("host", report.host);
    reader.text("dataCentre", report.dataCentre);
    reader.integer("agentStart", 0, maxIncarnation, report.agentStart);
    reader.integer("sequence", 0, maxCounter, report.sequence);
    reader.flag("workerGone", report.workerGone);
    reader.flag("workerEndStored", report.workerEndStored);
    reader.flag("workerBusy", report.workerBusy);
    reader.flag("workerSilent", report.workerSilent);
    reader.flag("leasesLapsed", report.leasesLapsed);
    reader.integer("orderedToken", 0, maxCounter, report.orderedToken);
    reader.integer("releasedToken", 0, maxCounter, report.releasedToken);
    reader.integer("lostLeader", 0, maxEpoch, report.lostLeader);
    reader.integer("fencingToken", 0, maxCounter, report.fencingToken);
    reader.integer("listClockMs", 0, maxMilliseconds, report.listClockMs);
    reader.list("runs", report.runs, readReportedRun);
    reader.list("ends", report.ends, readReportedEnd);
    reader.value("worker", report.worker,
                 [](const Json &field, std::optional<WorkerInfo> &worker, Reason &problem) {
                     return readWorker(field, worker.emplace(), problem);
                 });
    if (report.host.empty())
        reader.refuse("no host is named");
    return reader.valid();
}

bool readStartOrder(const Json &json, StartOrder &order, Reason &reason)
{
    JsonObjectReader reader(json, reason);
    reader.text("task", order.task);
    reader.integer("run", 0, maxRunNumber, order.run);
    reader.text("payload", order.payload);
    reader.text("checkpoint", order.checkpoint);
    return reader.valid();
}

bool readStopOrder(const Json &json, StopOrder &order, Reason &reason)
{
    JsonObjectReader reader(json, reason);
    reader.text("task", order.task);
    reader.integer("run", 0, maxRunNumber, order.run);
    return reader.valid();
}

bool readHostOrders(const Json &json, HostOrders &orders, Reason &reason)
{
    JsonObjectReader reader(json, reason);
    reader.integer("epoch", 0, maxEpoch, orders.epoch);
    readAddress(reader, "leaderAddress", orders.leaderAddress);
    reader.integer("leaderEpoch", 0, maxEpoch, orders.leaderEpoch);
    reader.text("workerKey", orders.workerKey);
    reader.integer("fencingToken", 0, maxCounter, orders.fencingToken);
    reader.integer("grantMs", 0, maxLeaseGrantMs, orders.grantMs);
    reader.integer("acknowledgedEnd", 0, maxCounter, orders.acknowledgedEnd);
    reader.text("storedWorkerEnd", orders.storedWorkerEnd);
    // Negative if a read of the log was confirmed after this time was taken.
    reader.integer("storeSilentMs", -maxMilliseconds, maxMilliseconds, orders.storeSilentMs);
    reader.integer("jobLogAgeMs", 0, maxMilliseconds, orders.jobLogAgeMs);
    reader.flag("evacuated", orders.evacuated);
    reader.integer("evacuationsAgeMs", 0, maxMilliseconds, orders.evacuationsAgeMs);
    reader.list("starts", orders.starts, readStartOrder);
    reader.list("stops", orders.stops, readStopOrder);
    return reader.valid();
}

// Reads the number at `index` of the fields of a task; a missing one leaves `target` unchanged.
template <typename Number>
bool readTaskNumber(const Json &fields, std::size_t index, std::int64_t max, Number &target)
{
    if (index >= fields.size())
        return true;
    const auto number = wholeNumber(fields[index], 0, max);
    target = static_cast<Number>(number.value_or(0));
    return number.has_value();
}

bool readTaskWorker(const Json &fields, absl::Span<const std::string> workers, std::string &worker)
{
    if (fields.size() <= workerField)
        return true;
    // Processes of the former version wrote the worker itself.
    const Json &field = fields[workerField];
    if (field.is_string()) {
        worker = field.get_ref<const std::string &>();
        return true;
    }
    const auto number = wholeNumber(field, 0, static_cast<std::int64_t>(workers.size()));
    if (number && *number > 0)
        worker = workers[static_cast<std::size_t>(*number) - 1];
    return number.has_value();
}

bool readTask(const Json &fields, absl::Span<const std::string> workers, TaskProgress &task,
              Reason &reason)
{
    const bool hasCheckpoint = fields.is_array() && fields.size() > checkpointField;
    if (hasCheckpoint && fields[checkpointField].is_string())
        task.checkpoint = fields[checkpointField].get_ref<const std::string &>();
    const bool valid = fields.is_array()
        && readTaskNumber(fields, 0, static_cast<std::int64_t>(TaskPhase::Done), task.phase)
        && readTaskNumber(fields, 1, maxRunNumber, task.run)
        && readTaskNumber(fields, 2, maxRunNumber, task.failures)
        && readTaskNumber(fields, 3, maxRunNumber, task.failedRun)
        && readTaskWorker(fields, workers, task.worker)
        && (!hasCheckpoint || fields[checkpointField].is_string());
    if (!valid)
        reason = {ReasonCode::InvalidInput,
                  "a task is not [phase, run, failures, failedRun, worker, checkpoint]"};
    return valid;
}

bool readProgress(const Json &json, JobProgress &progress, Reason &reason)
{
    JsonObjectReader reader(json, reason);
    reader.require({"tasks"});
    readEnumeration(reader, "outcome", Outcome::Cancelled, progress.outcome);
    reader.text("reason", progress.reason);
    std::vector<std::string> workers;
    reader.texts("workers", workers);
    reader.list("tasks", progress.tasks,
                [&workers](const Json &fields, TaskProgress &task, Reason &problem) {
                    return readTask(fields, workers, task, problem);
                });
    return reader.valid();
}

std::string recordKey(std::string_view prefix, std::string_view name)
{
    return std::string(prefix) + std::string(name);
}

// Removes the fields at the end of `fields` that have their default value.
Json trimmedFields(Json fields)
{
    const auto isDefault = [](const Json &field) {
        return field.is_string() ? field.get_ref<const std::string &>().empty() : field == 0;
    };
    while (!fields.empty() && isDefault(fields.back()))
        fields.erase(fields.size() - 1);
    return fields;
}

} // namespace

// nlohmann::json requires these function names.
// NOLINTBEGIN(readability-identifier-naming)
void to_json(Json &json, const JobProgress &progress)
{
    std::map<std::string_view, std::size_t> workerNumbers;
    auto workers = Json::array();
    auto tasks = Json::array();
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

void to_json(Json &json, const HostReport &report)
{
    json = {{"host", report.host},
            {"dataCentre", report.dataCentre},
            {"agentStart", report.agentStart},
            {"sequence", report.sequence},
            {"workerGone", report.workerGone},
            {"workerEndStored", report.workerEndStored},
            {"workerBusy", report.workerBusy},
            {"workerSilent", report.workerSilent},
            {"leasesLapsed", report.leasesLapsed},
            {"orderedToken", report.orderedToken},
            {"releasedToken", report.releasedToken},
            {"lostLeader", report.lostLeader},
            {"fencingToken", report.fencingToken},
            {"listClockMs", report.listClockMs},
            {"runs", report.runs},
            {"ends", report.ends}};
    if (report.worker)
        json["worker"] = *report.worker;
}

// NOLINTEND(readability-identifier-naming)

const std::string_view leaderKey = "~leader";
const std::string_view candidateKey = "~candidate";
// Sorts before the leader record, so agents that look that one up do not read this one.
const std::string_view runTimesKey = "r/run-times";

Record acceptanceRecord(const Job &job)
{
    return {recordKey(acceptancePrefix, job.id), jsonText(Json(job))};
}

std::size_t appendedBytes(const Record &record)
{
    constexpr std::size_t lengthBytes = 5;
    return lengthBytes + record.key.size() + record.value.size();
}

Record progressRecord(std::string_view jobId, const JobProgress &progress, std::size_t maxBytes,
                      std::size_t &leftOut)
{
    leftOut = 0;
    Record record = progressRecord(jobId, progress);
    if (record.value.size() <= maxBytes)
        return record;
    // Fields before the checkpoint that are written only because of it, and its separators.
    constexpr std::size_t fieldsBytes = 16;
    JobProgress shortened = progress;
    for (TaskProgress &task : shortened.tasks)
        task.checkpoint.clear();
    std::size_t bytes = jsonText(Json(shortened)).size();
    for (std::size_t i = 0; i < progress.tasks.size(); ++i) {
        const TaskProgress &task = progress.tasks[i];
        if (task.phase == TaskPhase::Done || task.checkpoint.empty())
            continue;
        const std::size_t added = fieldsBytes + jsonText(Json(task.checkpoint)).size();
        if (bytes + added > maxBytes) {
            ++leftOut;
            continue;
        }
        bytes += added;
        shortened.tasks[i].checkpoint = task.checkpoint;
    }
    return progressRecord(jobId, shortened);
}

Record progressRecord(std::string_view jobId, const JobProgress &progress)
{
    return {recordKey(progressPrefix, jobId), jsonText(Json(progress))};
}

Record cancellationRecord(std::string_view jobId)
{
    return {recordKey(cancellationPrefix, jobId), "{}"};
}

Record earlyCancellationRecord(std::string_view jobId, const Caller &caller)
{
    Json value = {{"queue", caller.queue}};
    if (caller.anyOrganisation)
        value["anyOrganisation"] = true;
    else
        value["organisation"] = caller.organisation;
    return {earlyCancellationKey(jobId, callerKey(caller)), jsonText(value)};
}

Record workerEndRecord(std::string_view workerKey)
{
    return {recordKey(workerEndPrefix, workerKey), "{}"};
}

Record leaderRecord(const Leader &leader)
{
    return {std::string(leaderKey), jsonText(Json(leader))};
}

Record candidateRecord(const Leader &candidate)
{
    return {std::string(candidateKey), jsonText(Json(candidate))};
}

// A hash of fixed length, because the length of keys is limited and that of names is not.
std::string callerKey(const Caller &caller)
{
    // FNV-1a. The hash is stored, so it must be the same in all versions and on all machines.
    constexpr std::uint64_t offsetBasis = 0xcbf29ce484222325;
    constexpr std::uint64_t prime = 0x100000001b3;
    std::uint64_t hash = offsetBasis;
    const std::string text =
        caller.queue + '\0' + (caller.anyOrganisation ? "*" : "=" + caller.organisation);
    for (const unsigned char byte : text)
        hash = (hash ^ byte) * prime;
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    for (int shift = 60; shift >= 0; shift -= 4)
        result += digits[hash >> shift & 0xf];
    return result;
}

std::string earlyCancellationKey(std::string_view jobId, std::string_view callerKey)
{
    return recordKey(earlyCancellationPrefix, jobId) + "/" + std::string(callerKey);
}

std::array<std::string, 3> jobRecordKeys(std::string_view jobId)
{
    return {recordKey(acceptancePrefix, jobId), recordKey(cancellationPrefix, jobId),
            recordKey(progressPrefix, jobId)};
}

std::optional<ParsedKey> parseKey(std::string_view key)
{
    if (key == candidateKey)
        return ParsedKey{RecordKind::Candidate, "", "", ""};
    if (key == leaderKey)
        return ParsedKey{RecordKind::Leader, "", "", ""};
    if (key == runTimesKey)
        return ParsedKey{RecordKind::RunTimes, "", "", ""};
    const std::string_view prefix = key.substr(0, 2);
    const std::string name(key.substr(prefix.size()));
    if (prefix == acceptancePrefix)
        return ParsedKey{RecordKind::Acceptance, name, "", ""};
    if (prefix == progressPrefix)
        return ParsedKey{RecordKind::Progress, name, "", ""};
    if (prefix == cancellationPrefix)
        return ParsedKey{RecordKind::Cancellation, name, "", ""};
    if (prefix == workerEndPrefix)
        return ParsedKey{RecordKind::WorkerEnd, "", "", name};
    const std::size_t slash = name.find('/');
    if (prefix == earlyCancellationPrefix && slash != std::string::npos)
        return ParsedKey{RecordKind::EarlyCancellation, name.substr(0, slash),
                         name.substr(slash + 1), ""};
    return std::nullopt;
}

std::optional<Job> decodeJob(std::string_view value, Reason &reason)
{
    auto job = decode<Job>(value, reason, readJob);
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
    return decode<JobProgress>(value, reason, readProgress);
}

std::optional<Caller> decodeCaller(std::string_view value, Reason &reason)
{
    return decode<Caller>(value, reason, readCaller);
}

std::optional<Leader> decodeLeader(std::string_view value, Reason &reason)
{
    return decode<Leader>(value, reason, readLeader);
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
    return jsonText(Json(report));
}

std::string encode(const HostOrders &orders)
{
    return jsonText(Json(orders));
}

std::optional<HostReport> decodeHostReport(std::string_view text, Reason &reason)
{
    return decode<HostReport>(text, reason, readHostReport);
}

std::optional<HostOrders> decodeHostOrders(std::string_view text, Reason &reason)
{
    return decode<HostOrders>(text, reason, readHostOrders);
}

std::string dumpState(const Scheduler &scheduler)
{
    Json jobs = Json::object();
    for (const auto &[id, row] : scheduler.table.jobs) {
        jobs[id] = {{"progress", row.progress}, {"cancelled", row.cancelled}};
        if (row.job)
            jobs[id]["job"] = *row.job;
    }
    Json workers = Json::object();
    for (const auto &[key, worker] : scheduler.workers) {
        Json runs = Json::array();
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
    return jsonText(
        Json{{"epoch", scheduler.epoch},
             {"earlyCancellations", scheduler.table.earlyCancellations.countByOrganisation},
             {"leader", scheduler.table.leader},
             {"jobs", jobs},
             {"workers", workers}},
        1);
}

} // namespace flamingo::scheduler

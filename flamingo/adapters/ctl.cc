// Every command is a member function of Ctl that sends its requests through Ctl::sendRequest().
// Only sendRequest() decides whether the next entry is tried: it is when the previous one certainly
// did not receive or run the request, or when the request may be repeated.

#include "flamingo/adapters/ctl.h"

#include "flamingo/adapters/ctl_output.h"
#include "flamingo/adapters/ctl_table.h"
#include "flamingo/adapters/day_report.h"
#include "flamingo/adapters/http_client.h"
#include "flamingo/adapters/log_history.h"
#include "flamingo/json_parse.h"
#include "flamingo/json_text.h"
#include "flamingo/settings.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

namespace flamingo::adapters {
namespace {

using Json = nlohmann::ordered_json;
using Words = std::vector<std::string>;

constexpr int statusOk = 200;
constexpr int statusAccepted = 202;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr int firstErrorStatus = 400;
constexpr int firstServerErrorStatus = 500;
constexpr TimeMs progressIntervalMs = 1000;

struct Request
{
    std::string method = "GET";
    std::string target;
    Json body; // null: no body
    bool repeatable = true; // may be sent to another entry although one may have received it
    bool answersLate = false; // the entry may delay its answer; waitTimeoutMs applies
    std::string description; // shown while waiting
};

// The answer of an entry; status 0 when there is none.
struct Answer
{
    int status = 0; // 0: no entry answered completely
    bool mayHaveBeenReceived = false; // by an entry that did not answer completely
    std::string text;
    Json body; // null when the text is not JSON
    bool nestedTooDeeply = false; // `text` then says so, and `body` is null
};

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~')
            result += static_cast<char>(c);
        else
            result += {'%', digits[c / 16], digits[c % 16]};
    }
    return result;
}

std::string stringField(const Json &body, std::string_view key)
{
    if (!body.is_object() || !body.contains(key) || !body[std::string(key)].is_string())
        return {};
    return body[std::string(key)].get<std::string>();
}

// True when the answer reports a job that was accepted and has not ended.
bool isUnfinished(const Answer &answer)
{
    const bool accepted =
        answer.body.is_object() && answer.body.value("accepted", Json(false)) == Json(true);
    return answer.status == statusAccepted
        || (answer.status == statusOk && accepted && stringField(answer.body, "verdict") != "ran");
}

// Parses JSON and keeps the order of the fields; nullopt, with a reason, when it is invalid or
// nested too deeply.
std::optional<Json> parseOrderedJson(std::string_view text, Reason &reason)
{
    reason = {ReasonCode::InvalidInput,
              "nested deeper than " + std::to_string(maxJsonDepth) + " levels"};
    if (nestsDeeperThan(text, maxJsonDepth))
        return std::nullopt;
    reason = {ReasonCode::InvalidInput, "not valid JSON"};
    Json json = Json::parse(text, nullptr, false);
    return json.is_discarded() ? std::nullopt : std::make_optional(std::move(json));
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// ---- Fields of a job ----

enum class FieldKind { Text, Flag, Count, Class };

struct JobField
{
    std::string_view name;
    FieldKind kind;
};

constexpr JobField jobFields[] = {
    {"organisation", FieldKind::Text},   {"key", FieldKind::Text},
    {"homeRegion", FieldKind::Text},     {"jobClass", FieldKind::Class},
    {"idempotent", FieldKind::Flag},     {"firstAttempt", FieldKind::Flag},
    {"checkpointable", FieldKind::Flag}, {"anyRegion", FieldKind::Flag},
    {"members", FieldKind::Count},       {"accelerators", FieldKind::Count},
    {"cores", FieldKind::Count},         {"memoryMib", FieldKind::Count},
    {"declaredMs", FieldKind::Count},    {"deadlineMs", FieldKind::Count},
    {"payload", FieldKind::Text},
};

// Splits FIELD=VALUE and replaces a value @FILE by the content of the file. Returns false and sets
// `detail` when the word has no "=" or the file cannot be read.
bool splitField(std::string_view word, std::string &name, std::string &value, std::string &detail)
{
    const auto equals = word.find('=');
    if (equals == std::string_view::npos || equals == 0) {
        detail = "\"" + std::string(word) + "\" is not FIELD=VALUE";
        return false;
    }
    name = word.substr(0, equals);
    value = word.substr(equals + 1);
    if (value.empty() || value[0] != '@')
        return true;
    const auto content = readFile(value.substr(1));
    if (!content) {
        detail = name + ": cannot read file " + value.substr(1);
        return false;
    }
    value = *content;
    return true;
}

bool setJobField(Json &job, const std::string &name, const std::string &value, std::string &detail)
{
    const auto field = std::find_if(std::begin(jobFields), std::end(jobFields),
                                    [&](const JobField &known) { return known.name == name; });
    if (field == std::end(jobFields)) {
        detail = "unknown field " + name + "; known are "
            + absl::StrJoin(jobFields, ", ",
                            [](std::string *out, const JobField &known) { *out += known.name; });
        return false;
    }
    const auto reject = [&](std::string_view allowed) {
        detail = name + ": found \"" + value + "\"; allowed is " + std::string(allowed);
        return false;
    };
    std::uint64_t count = 0;
    switch (field->kind) {
    case FieldKind::Text:
        job[name] = value;
        return true;
    case FieldKind::Flag:
        job[name] = value == "true";
        return value == "true" || value == "false" || reject("true or false");
    case FieldKind::Count:
        if (!absl::SimpleAtoi(value, &count))
            return reject("a non-negative integer");
        job[name] = count;
        return true;
    case FieldKind::Class:
        job[name] = value;
        return value == "urgent" || value == "interactive" || value == "batch"
            || reject("urgent, interactive or batch");
    }
    return false;
}

std::optional<Json> parseJob(absl::Span<const std::string> words, std::string &detail)
{
    Json job = Json::object();
    for (const std::string &word : words) {
        std::string name;
        std::string value;
        if (!splitField(word, name, value, detail) || !setJobField(job, name, value, detail))
            return std::nullopt;
    }
    if (stringField(job, "organisation").empty())
        detail = "organisation is missing";
    else if (job.value("idempotent", true) == false && stringField(job, "key").empty())
        detail = "a job that is not idempotent needs a key";
    else
        return job;
    return std::nullopt;
}

// ---- The client ----

class Ctl
{
public:
    Ctl(Loop &loop, const CtlOptions &options, std::istream &in, std::ostream &out,
        std::ostream &err)
        : loop(loop)
        , client(loop)
        , options(options)
        , in(in)
        , out(out)
        , err(err)
    {
    }

    CtlExit tableGet(absl::Span<const std::string> words);
    CtlExit tableSet(absl::Span<const std::string> words);
    CtlExit tableEdit(absl::Span<const std::string> words);
    CtlExit tableHistory(absl::Span<const std::string> words);
    CtlExit jobSubmit(absl::Span<const std::string> words);
    CtlExit jobStatus(absl::Span<const std::string> words);
    CtlExit jobCancel(absl::Span<const std::string> words);
    CtlExit jobAnswer(absl::Span<const std::string> words);
    CtlExit explain(absl::Span<const std::string> words);
    CtlExit explainFromLogs(const std::string &jobId);
    CtlExit account(absl::Span<const std::string> words);
    CtlExit targetList(absl::Span<const std::string> words);
    CtlExit targetDrain(absl::Span<const std::string> words);
    CtlExit targetUndrain(absl::Span<const std::string> words);
    CtlExit status(absl::Span<const std::string> words);
    CtlExit dump(absl::Span<const std::string> words);
    CtlExit settings(absl::Span<const std::string> words);

private:
    HttpResult callEntry(const std::string &address, const Request &request);
    Answer sendRequest(Request request);
    CtlExit reportNoAnswer(const Answer &answer);
    CtlExit reportRefusal(const Answer &answer);
    CtlExit readAndPrint(const Request &request);
    void print(const Json &document);

    std::optional<TableRows> readTable(CtlExit &failure);
    CtlExit sendChange(const TableRows &current, const TableDifference &difference);
    std::optional<TableRows> readTableFile(const std::string &path);
    bool confirmChange();

    CtlExit jobResult(const Answer &answer);
    CtlExit queryResult(Answer answer, const std::string &job);
    Answer waitForJob(const std::string &job);
    Request jobRequest(const std::string &job, bool wait) const;
    CtlExit setDrain(const std::string &agent, const std::string &action);

    Loop &loop;
    HttpClient client;
    const CtlOptions &options;
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
    std::size_t preferredEntry = 0; // index of the entry that answered last
};

HttpResult Ctl::callEntry(const std::string &address, const Request &request)
{
    HttpResult result;
    bool done = false;
    const TimeMs start = Loop::now();
    Loop::TimerId timer = 0;
    const std::function<void()> progress = [&] {
        this->err << "waiting for " << request.description << " at " << address << ", "
                  << (Loop::now() - start) / progressIntervalMs << " s" << std::endl;
        timer = this->loop.after(progressIntervalMs, progress);
    };
    timer = this->loop.after(progressIntervalMs, progress);
    const HttpCall call = {
        address, request.method, request.target, request.body.is_null() ? "" : request.body.dump(),
        request.answersLate ? this->options.waitTimeoutMs : this->options.readTimeoutMs};
    this->client.call(call, [&](HttpResult answer) {
        result = std::move(answer);
        done = true;
        this->loop.stop();
    });
    while (!done) {
        this->loop.run();
        this->loop.resume();
    }
    this->loop.cancel(timer);
    return result;
}

// True when this entry certainly did not run the request and another entry may be able to answer
// it. An answer with a job id is final whatever its status, because it reports the state of that
// job.
bool shouldTryNextEntry(const Request &request, const Answer &answer)
{
    if (answer.status == statusUnavailable && stringField(answer.body, "reason") == "Draining")
        return true;
    return request.method == "GET" && stringField(answer.body, "job").empty()
        && (answer.status == statusNotFound || answer.status >= firstServerErrorStatus);
}

Answer Ctl::sendRequest(Request request)
{
    Answer answer;
    const std::size_t count = this->options.entries.size();
    for (std::size_t i = 0; i < count; ++i) {
        const std::size_t index = (this->preferredEntry + i) % count;
        const std::string &address = this->options.entries[index];
        const HttpResult result = this->callEntry(address, request);
        if (result.status == 0)
            this->err << address << ": " << result.error << std::endl;
        if (!result.requestSent)
            continue;
        if (result.status == 0) {
            answer.mayHaveBeenReceived = true;
            if (!request.repeatable)
                break;
            if (request.body.contains("firstAttempt"))
                request.body["firstAttempt"] = false;
            continue;
        }
        answer.status = result.status;
        answer.text = result.body;
        Reason reason;
        answer.body = parseOrderedJson(result.body, reason).value_or(Json());
        answer.nestedTooDeeply = nestsDeeperThan(result.body, maxJsonDepth);
        if (answer.nestedTooDeeply)
            answer.text = "the answer of " + address + " is " + reason.text;
        if (shouldTryNextEntry(request, answer))
            continue;
        this->preferredEntry = index;
        break;
    }
    return answer;
}

CtlExit Ctl::reportNoAnswer(const Answer &answer)
{
    this->err << (answer.mayHaveBeenReceived
                      ? "no entry answered, but one may have received the request"
                      : "no entry can be reached")
              << std::endl;
    return answer.mayHaveBeenReceived ? CtlExit::MayHaveRun : CtlExit::Unreachable;
}

// Prints an answer with an error status and returns the exit code for it.
CtlExit Ctl::reportRefusal(const Answer &answer)
{
    const std::string reason = stringField(answer.body, "reason");
    const std::string detail = stringField(answer.body, "detail");
    const bool refused = answer.status >= firstErrorStatus;
    this->err << (refused ? "refused with status " : "unexpected answer with status ")
              << answer.status << (reason.empty() ? "" : ", " + reason) << ": "
              << (detail.empty() ? answer.text : detail) << std::endl;
    const std::string verdict = stringField(answer.body, "verdict");
    if (verdict == "may_have_run" || answer.mayHaveBeenReceived || !refused)
        return CtlExit::MayHaveRun;
    if (verdict == "not_run" && answer.status != firstErrorStatus)
        return CtlExit::NotRun;
    if (answer.status == statusConflict || answer.status == statusUnavailable)
        return CtlExit::NotRun;
    return answer.status >= firstServerErrorStatus ? CtlExit::MayHaveRun : CtlExit::BadInput;
}

void Ctl::print(const Json &document)
{
    if (this->options.output == CtlOutput::Json)
        this->out << jsonText(document, 2) << std::endl;
    else
        this->out << renderText(document) << std::flush;
}

// Sends a read request and prints the answer.
CtlExit Ctl::readAndPrint(const Request &request)
{
    Answer answer = this->sendRequest(request);
    answer.mayHaveBeenReceived = false; // a read changes nothing
    if (answer.status == 0)
        return this->reportNoAnswer(answer);
    if (answer.status >= firstServerErrorStatus) {
        this->reportRefusal(answer);
        return CtlExit::Unreachable;
    }
    if (answer.status >= firstErrorStatus)
        return this->reportRefusal(answer);
    if (answer.nestedTooDeeply) {
        this->err << answer.text << std::endl;
        return CtlExit::Unreachable;
    }
    if (answer.body.is_null())
        this->out << answer.text << std::endl;
    else
        this->print(answer.body);
    return CtlExit::Done;
}

// ---- Table ----

std::optional<TableRows> Ctl::readTable(CtlExit &failure)
{
    Answer answer = this->sendRequest({"GET", "/v1/table", Json(), true, false, "the table"});
    answer.mayHaveBeenReceived = false;
    failure = CtlExit::Unreachable;
    if (answer.status == 0) {
        this->reportNoAnswer(answer);
        return std::nullopt;
    }
    if (answer.status != statusOk) {
        this->reportRefusal(answer);
        return std::nullopt;
    }
    std::vector<std::string> errors;
    auto rows = tableFromJson(answer.body, errors);
    for (const std::string &error : errors)
        this->err << "table received from the entry: " << error << std::endl;
    if (rows && rows->version)
        return rows;
    this->err << "the entry did not send a valid table" << std::endl;
    return std::nullopt;
}

CtlExit Ctl::tableGet(absl::Span<const std::string> /*words*/)
{
    if (this->options.output == CtlOutput::Json)
        return this->readAndPrint({"GET", "/v1/table", Json(), true, false, "the table"});
    CtlExit failure = CtlExit::Done;
    const auto rows = this->readTable(failure);
    if (!rows)
        return failure;
    if (this->options.output == CtlOutput::Csv) {
        this->out << tableCsv(*rows) << std::flush;
        return CtlExit::Done;
    }
    Json organisations = Json::array();
    for (const Organisation &row : rows->organisations) {
        Json cells;
        for (const std::string_view column : tableColumns())
            cells[std::string(column)] = organisationFieldText(row, column);
        organisations.push_back(cells);
    }
    this->print({{"version", *rows->version}, {"organisations", organisations}});
    return CtlExit::Done;
}

CtlExit Ctl::tableSet(absl::Span<const std::string> words)
{
    CtlExit failure = CtlExit::Done;
    const auto current = this->readTable(failure);
    if (!current)
        return failure;
    std::vector<Organisation> rows = current->organisations;
    auto row = std::find_if(rows.begin(), rows.end(),
                            [&](const Organisation &known) { return known.name == words[0]; });
    if (row == rows.end()) {
        row = rows.insert(rows.end(), Organisation());
        row->name = words[0];
    }
    for (const std::string &word : words.subspan(1)) {
        std::string name;
        std::string value;
        std::string detail;
        const bool valid = splitField(word, name, value, detail) && name != "name"
            && setOrganisationField(*row, name, value, detail);
        if (valid)
            continue;
        this->err << (detail.empty() ? "name: cannot be changed" : detail) << std::endl;
        return CtlExit::BadInput;
    }
    // Otherwise a mistyped name would add an organisation.
    if (row->homeRegion.empty()) {
        this->err << "organisation " << words[0]
                  << " does not exist; a new one needs homeRegion=REGION" << std::endl;
        return CtlExit::BadInput;
    }
    return this->sendChange(*current, tableDifference(current->organisations, rows));
}

std::optional<TableRows> Ctl::readTableFile(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        this->err << path << ": cannot be read" << std::endl;
        return std::nullopt;
    }
    std::vector<std::string> errors;
    const bool isJson = text->find_first_not_of(" \t\r\n") != std::string::npos
        && (*text)[text->find_first_not_of(" \t\r\n")] == '{';
    Reason reason;
    const auto json = isJson ? parseOrderedJson(*text, reason) : std::nullopt;
    std::optional<TableRows> rows;
    if (isJson && !json)
        errors.push_back(reason.text);
    else
        rows = isJson ? tableFromJson(*json, errors) : parseTableCsv(*text, errors);
    for (const std::string &error : errors)
        this->err << path << ": " << error << std::endl;
    return rows;
}

CtlExit Ctl::tableEdit(absl::Span<const std::string> words)
{
    const auto wanted = this->readTableFile(words[0]);
    if (!wanted)
        return CtlExit::BadInput;
    CtlExit failure = CtlExit::Done;
    const auto current = this->readTable(failure);
    if (!current)
        return failure;
    // Rows of an older version would revert the changes that others made since.
    if (wanted->version && wanted->version != current->version) {
        this->err << words[0] << " is based on version " << *wanted->version << ", but version "
                  << *current->version << " is in force; run 'table get' again and repeat the edit"
                  << std::endl;
        return CtlExit::VersionConflict;
    }
    const TableDifference difference =
        tableDifference(current->organisations, wanted->organisations);
    if (!difference.lines.empty() && !this->options.yes) {
        for (const std::string &line : difference.lines)
            this->err << line << std::endl;
        if (!this->confirmChange())
            return CtlExit::BadInput;
    }
    return this->sendChange(*current, difference);
}

bool Ctl::confirmChange()
{
    this->err << "apply this change? [y/N] " << std::flush;
    std::string line;
    std::getline(this->in, line);
    if (line == "y" || line == "yes")
        return true;
    this->err << "not confirmed; nothing was sent" << std::endl;
    return false;
}

CtlExit Ctl::sendChange(const TableRows &current, const TableDifference &difference)
{
    if (difference.lines.empty()) {
        this->err << "nothing changes; version " << *current.version << " stays in force"
                  << std::endl;
        return CtlExit::Done;
    }
    const Json body = {{"baseVersion", *current.version},
                       {"author", this->options.author},
                       {"wait", this->options.wait},
                       {"change", changeJson(difference)}};
    const Answer answer =
        this->sendRequest({"POST", "/v1/table", body, false, true, "the edit to be in force"});
    if (answer.status == 0) {
        const CtlExit exit = this->reportNoAnswer(answer);
        if (exit == CtlExit::MayHaveRun)
            this->err << "see whether the edit was recorded: flamingoctl table history"
                      << std::endl;
        return exit;
    }
    if (answer.status == statusConflict) {
        this->reportRefusal(answer);
        return CtlExit::VersionConflict;
    }
    if (answer.status >= firstErrorStatus)
        return this->reportRefusal(answer);
    for (const std::string &line : difference.lines)
        this->out << line << std::endl;
    if (answer.status == statusOk)
        return CtlExit::Done;
    this->err << "recorded, but pending: " << stringField(answer.body, "detail") << std::endl;
    return CtlExit::Pending;
}

CtlExit Ctl::tableHistory(absl::Span<const std::string> /*words*/)
{
    Answer answer = this->sendRequest({"GET", "/v1/table", Json(), true, false, "the table"});
    answer.mayHaveBeenReceived = false;
    if (answer.status == 0)
        return this->reportNoAnswer(answer);
    if (answer.status != statusOk) {
        this->reportRefusal(answer);
        return CtlExit::Unreachable;
    }
    if (answer.nestedTooDeeply) {
        this->err << answer.text << std::endl;
        return CtlExit::Unreachable;
    }
    this->print(answer.body.is_object() ? answer.body.value("history", Json::array()) : Json());
    return CtlExit::Done;
}

// ---- Jobs ----

Request Ctl::jobRequest(const std::string &job, bool wait) const
{
    return {"GET",  "/v1/jobs/" + percentEncoded(job) + (wait ? "?wait=1" : ""),
            Json(), true,
            wait,   "job " + job + (wait ? " to end" : "")};
}

// Polls the entries until the job has ended or a request is refused.
Answer Ctl::waitForJob(const std::string &job)
{
    Answer answer = this->sendRequest(this->jobRequest(job, true));
    while (isUnfinished(answer)) {
        // The pause avoids a busy loop when the entry answers immediately.
        this->loop.after(this->options.pollIntervalMs, [this] { this->loop.stop(); });
        this->loop.run();
        this->loop.resume();
        answer = this->sendRequest(this->jobRequest(job, true));
    }
    return answer;
}

// Prints a reply about a job and returns the exit code for its verdict.
CtlExit Ctl::jobResult(const Answer &answer)
{
    if (answer.status == 0)
        return this->reportNoAnswer(answer);
    const std::string verdict = stringField(answer.body, "verdict");
    if (verdict.empty() || answer.status == firstErrorStatus)
        return this->reportRefusal(answer);
    this->print(answer.body);
    if (verdict == "ran" || isUnfinished(answer))
        return CtlExit::Done;
    if (verdict == "may_have_run" || answer.mayHaveBeenReceived)
        return CtlExit::MayHaveRun;
    return CtlExit::NotRun;
}

// Prints the answer to a query about a job. When the entry refused the query itself, the answer has
// no information about the job.
CtlExit Ctl::queryResult(Answer answer, const std::string &job)
{
    answer.mayHaveBeenReceived = false;
    if (answer.status == 0 || stringField(answer.body, "job") == job)
        return this->jobResult(answer);
    this->reportRefusal(answer);
    return answer.status >= firstServerErrorStatus ? CtlExit::Unreachable : CtlExit::BadInput;
}

CtlExit Ctl::jobSubmit(absl::Span<const std::string> words)
{
    std::string detail;
    auto job = parseJob(words, detail);
    if (!job) {
        this->err << detail << std::endl;
        return CtlExit::BadInput;
    }
    const bool keyed = !stringField(*job, "key").empty();
    (*job)["wait"] = this->options.wait;
    Answer answer =
        this->sendRequest({"POST", "/v1/jobs", *job, keyed, this->options.wait, "the job to end"});
    const std::string id = stringField(answer.body, "job");
    if (!this->options.wait || answer.status != statusAccepted || id.empty())
        return this->jobResult(answer);
    this->err << "job " << id << " is accepted" << std::endl;
    answer = this->waitForJob(id);
    if (stringField(answer.body, "job") == id)
        return this->jobResult(answer);
    this->queryResult(answer, id);
    this->err << "job " << id << " was accepted; its outcome is unknown" << std::endl;
    return CtlExit::MayHaveRun;
}

CtlExit Ctl::jobStatus(absl::Span<const std::string> words)
{
    return this->queryResult(this->sendRequest(this->jobRequest(words[0], false)), words[0]);
}

CtlExit Ctl::jobAnswer(absl::Span<const std::string> words)
{
    const Answer answer = this->options.wait ? this->waitForJob(words[0])
                                             : this->sendRequest(this->jobRequest(words[0], false));
    if (stringField(answer.body, "job") != words[0] || stringField(answer.body, "verdict") != "ran")
        return this->queryResult(answer, words[0]);
    this->out << stringField(answer.body, "answer") << std::endl;
    const std::string detail = stringField(answer.body, "detail");
    if (!detail.empty())
        this->err << stringField(answer.body, "reason") << ": " << detail << std::endl;
    return CtlExit::Done;
}

CtlExit Ctl::jobCancel(absl::Span<const std::string> words)
{
    const Answer answer = this->sendRequest({"DELETE", "/v1/jobs/" + percentEncoded(words[0]),
                                             Json(), false, true, "job " + words[0] + " to stop"});
    if (answer.status == 0)
        return this->reportNoAnswer(answer);
    if (answer.status >= firstErrorStatus)
        return this->reportRefusal(answer);
    this->print(answer.body);
    return CtlExit::Done;
}

// Explains a job from log files, without an entry, because the processes may no longer exist.
CtlExit Ctl::explainFromLogs(const std::string &jobId)
{
    std::vector<std::string> logs;
    for (const std::string &name : this->options.logFiles) {
        auto text = readFile(name);
        if (!text) {
            this->err << "cannot read " << name << std::endl;
            return CtlExit::BadInput;
        }
        logs.push_back(std::move(*text));
    }
    const std::vector<LogLine> history = jobHistory(logs, jobId);
    if (history.empty()) {
        this->err << "the log files have no line about job " << jobId << std::endl;
        return CtlExit::BadInput;
    }
    this->out << renderHistory(history);
    return CtlExit::Done;
}

CtlExit Ctl::explain(absl::Span<const std::string> words)
{
    if (!this->options.logFiles.empty())
        return this->explainFromLogs(words[0]);
    return this->readAndPrint({"GET", "/v1/jobs/" + percentEncoded(words[0]) + "/explain", Json(),
                               true, false, "the explanation"});
}

CtlExit Ctl::account(absl::Span<const std::string> /*words*/)
{
    if (this->options.logFiles.empty()) {
        this->err << "--log=FILE,FILE is missing" << std::endl;
        return CtlExit::BadInput;
    }
    if (this->options.toMs != 0 && this->options.toMs < this->options.fromMs) {
        this->err << "--to_ms is before --from_ms" << std::endl;
        return CtlExit::BadInput;
    }
    DayLog day;
    for (const std::string &name : this->options.logFiles) {
        std::ifstream file(name);
        const std::uint64_t linesBefore = day.lines;
        if (file)
            readDayLog(file, day);
        if (!file.is_open() || file.bad()) {
            this->err << "cannot read " << name << std::endl;
            return CtlExit::BadInput;
        }
        if (day.lines == linesBefore) {
            this->err << name << " has no log lines (unix_ms=... event=...)" << std::endl;
            return CtlExit::BadInput;
        }
    }
    if (day.events.empty()) {
        this->err << "the log files have no decisions of a leader" << std::endl;
        return CtlExit::BadInput;
    }
    DayPeriod period;
    period.fromMs = this->options.fromMs;
    period.toMs = this->options.toMs;
    period.idleMs = this->options.idleMs;
    const DayAccount account = makeDayAccount(day.events, period, day.signs);
    const auto job = account.jobs.find(this->options.job);
    if (!this->options.job.empty() && job == account.jobs.end()) {
        this->err << "the log files have no decision about job " << this->options.job
                  << " in this period" << std::endl;
        return CtlExit::BadInput;
    }
    if (!this->options.plotFile.empty()) {
        std::ofstream plot(this->options.plotFile);
        plot << renderDayPlot(account) << std::flush;
        if (!plot) {
            this->err << "cannot write " << this->options.plotFile << std::endl;
            return CtlExit::BadInput;
        }
    }
    this->print(job == account.jobs.end() ? accountSummary(account, day) : jobSummary(job->second));
    return CtlExit::Done;
}

// ---- Targets and state ----

CtlExit Ctl::targetList(absl::Span<const std::string> /*words*/)
{
    return this->readAndPrint({"GET", "/v1/targets", Json(), true, false, "the targets"});
}

CtlExit Ctl::setDrain(const std::string &agent, const std::string &action)
{
    const Answer answer =
        this->sendRequest({"POST", "/v1/targets/" + percentEncoded(agent) + "/" + action, Json(),
                           false, true, "target " + agent});
    if (answer.status == 0)
        return this->reportNoAnswer(answer);
    if (answer.status >= firstErrorStatus)
        return this->reportRefusal(answer);
    if (!answer.body.is_null())
        this->print(answer.body);
    return answer.status == statusAccepted ? CtlExit::Pending : CtlExit::Done;
}

CtlExit Ctl::targetDrain(absl::Span<const std::string> words)
{
    return this->setDrain(words[0], "drain");
}

CtlExit Ctl::targetUndrain(absl::Span<const std::string> words)
{
    return this->setDrain(words[0], "undrain");
}

CtlExit Ctl::status(absl::Span<const std::string> /*words*/)
{
    return this->readAndPrint({"GET", "/v1/status", Json(), true, false, "the status"});
}

CtlExit Ctl::dump(absl::Span<const std::string> /*words*/)
{
    return this->readAndPrint({"GET", "/v1/dump", Json(), true, false, "the state"});
}

CtlExit Ctl::settings(absl::Span<const std::string> words)
{
    if (words[0] != "entry" && words[0] != "agent") {
        this->err << "\"" << words[0] << "\" is neither entry nor agent" << std::endl;
        return CtlExit::BadInput;
    }
    const bool isEntry = words[0] == "entry";
    if (words.size() == 1) {
        this->out << settingsTable(isEntry ? entrySettingInfos() : agentSettingInfos());
        return CtlExit::Done;
    }
    const auto text = readFile(words[1]);
    std::vector<std::string> errors;
    if (!text)
        errors.emplace_back("cannot be read");
    else if (isEntry)
        parseEntrySettings(*text, errors);
    else
        parseAgentSettings(*text, errors);
    for (const std::string &error : errors)
        this->err << words[1] << ": " << error << std::endl;
    return errors.empty() ? CtlExit::Done : CtlExit::BadInput;
}

// ---- Commands ----

struct Command
{
    std::string_view words;
    std::size_t minArguments;
    std::size_t maxArguments;
    CtlExit (Ctl::*run)(absl::Span<const std::string>);
    std::string_view arguments;
    std::string_view description;
    std::string_view examples;
};

constexpr std::size_t maxFieldArguments = 64;

const Command commands[] = {
    {"table get", 0, 0, &Ctl::tableGet, "",
     "Prints the table of organisations. --output=csv prints the form that 'table edit' takes.",
     "flamingoctl table get\n"
     "flamingoctl table get --output=csv > table.csv"},
    {"table set", 2, maxFieldArguments, &Ctl::tableSet, "ORGANISATION FIELD=VALUE...",
     "Changes fields of one organisation, or adds it when homeRegion is given. Fields: "
     "homeRegion,\n"
     "weight, limitAccelerators, limitSlots, guarantees.",
     "flamingoctl table set fjord weight=3 limitSlots=20\n"
     "flamingoctl table set fjord 'guarantees=vestland:1x2x4;trondelag:2x1x8'"},
    {"table edit", 1, 1, &Ctl::tableEdit, "FILE",
     "Makes the table equal to a CSV or JSON file with all organisations, in one change that is\n"
     "applied as a whole or not at all. Prints the difference and asks for a confirmation,\n"
     "unless --yes is given.\n"
     "A file that states another version than the current one is refused.",
     "flamingoctl table edit table.csv\n"
     "flamingoctl table edit --yes --nowait table.json"},
    {"table history", 0, 0, &Ctl::tableHistory, "", "Prints who changed the table, and when.",
     "flamingoctl table history"},
    {"job submit", 1, maxFieldArguments, &Ctl::jobSubmit, "FIELD=VALUE...",
     "Submits a job and waits for its end; --nowait returns when it is accepted. The value @FILE\n"
     "stands for the content of a file. Fields: organisation, key, homeRegion, jobClass (urgent,\n"
     "interactive, batch), idempotent, firstAttempt, checkpointable, anyRegion, members,\n"
     "accelerators, cores, memoryMib, declaredMs, deadlineMs, payload.",
     "flamingoctl job submit organisation=fjord jobClass=batch accelerators=4 "
     "payload=@scoring.json\n"
     "flamingoctl job submit organisation=fjord key=lot-7 homeRegion=vestland idempotent=false"},
    {"job status", 1, 1, &Ctl::jobStatus, "JOB", "Prints the state of a job.",
     "flamingoctl job status j-42"},
    {"job cancel", 1, 1, &Ctl::jobCancel, "JOB", "Cancels a job.", "flamingoctl job cancel j-42"},
    {"job answer", 1, 1, &Ctl::jobAnswer, "JOB",
     "Waits for the end of a job and prints its answer and nothing else.",
     "flamingoctl job answer j-42 > answer"},
    {"explain", 1, 1, &Ctl::explain, "JOB",
     "Explains why a job waits or cannot run. With --log, prints the history of a job on the "
     "platform\n"
     "from the logs of its processes; needs no entry.",
     "flamingoctl explain j-42\n"
     "flamingoctl explain 7a54f7980f875eda --log=entry-1.log,entry-2.log,agent-1.log"},
    {"account", 0, 0, &Ctl::account, "",
     "Sums the waits and the discarded work of jobs on the platform by cause, from the logs of "
     "its\n"
     "processes, and lists the times in which a job had nothing running; with --job, lists the "
     "waits and\n"
     "runs of one job. Needs no entry. --plot writes an SVG image.",
     "flamingoctl account --log=entry-1.log,entry-2.log --plot=day.svg\n"
     "flamingoctl account --log=day.log --job=7a54f7980f875eda\n"
     "flamingoctl account --log=day.log --from_ms=1778042828000 --to_ms=1778042861000"},
    {"target list", 0, 0, &Ctl::targetList, "", "Prints all targets and their state.",
     "flamingoctl target list --output=json"},
    {"target drain", 1, 1, &Ctl::targetDrain, "AGENT",
     "Stops giving new work to a target; its running tasks continue.",
     "flamingoctl target drain bergen-1-w2"},
    {"target undrain", 1, 1, &Ctl::targetUndrain, "AGENT", "Resumes giving new work to a target.",
     "flamingoctl target undrain bergen-1-w2"},
    {"status", 0, 0, &Ctl::status, "",
     "Prints table versions per process, shortages and the state of the log.",
     "flamingoctl status"},
    {"dump", 0, 0, &Ctl::dump, "",
     "Prints the whole state of an entry, or of the entry or agent at --address.",
     "flamingoctl dump --output=json\n"
     "flamingoctl dump --address=127.0.0.1:19041"},
    {"settings", 1, 2, &Ctl::settings, "entry|agent [FILE]",
     "Prints every setting of a daemon with unit, default and range, or reports every error of\n"
     "a settings file. Needs no entry.",
     "flamingoctl settings agent\n"
     "flamingoctl settings entry settings/betelbors/entry-bergen-1.json"},
};

bool startsWith(std::string_view commandWords, absl::Span<const std::string> words)
{
    const std::string text = absl::StrJoin(words, " ");
    return commandWords.substr(0, text.size()) == text
        && (commandWords.size() == text.size() || text.empty() || commandWords[text.size()] == ' ');
}

const Command *findCommand(absl::Span<const std::string> words, std::size_t &wordsUsed)
{
    for (const Command &command : commands) {
        wordsUsed = command.words.find(' ') == std::string_view::npos ? 1 : 2;
        if (words.size() >= wordsUsed
            && absl::StrJoin(words.subspan(0, wordsUsed), " ") == command.words)
            return &command;
    }
    return nullptr;
}

std::string commandHelp(const Command &command)
{
    std::string text = "flamingoctl " + std::string(command.words)
        + (command.arguments.empty() ? "" : " ") + std::string(command.arguments) + "\n";
    std::istringstream description{std::string(command.description)};
    for (std::string line; std::getline(description, line);)
        text += "    " + line + "\n";
    std::istringstream examples{std::string(command.examples)};
    for (std::string line; std::getline(examples, line);)
        text += "    $ " + line + "\n";
    return text;
}

} // namespace

CtlExit runCtl(Loop &loop, const CtlOptions &options, absl::Span<const std::string> words,
               std::istream &in, std::ostream &out, std::ostream &err)
{
    if (!words.empty() && words[0] == "help") {
        const std::string help = ctlHelp(words.subspan(1));
        out << help << std::flush;
        return help.empty() ? CtlExit::BadInput : CtlExit::Done;
    }
    std::size_t wordsUsed = 0;
    const Command *command = findCommand(words, wordsUsed);
    if (command == nullptr) {
        err << "unknown command \"" << absl::StrJoin(words, " ") << "\"; flamingoctl help lists all"
            << std::endl;
        return CtlExit::BadInput;
    }
    const auto arguments = words.subspan(wordsUsed);
    if (arguments.size() < command->minArguments || arguments.size() > command->maxArguments) {
        err << "usage:\n" << commandHelp(*command);
        return CtlExit::BadInput;
    }
    if (options.output == CtlOutput::Csv && command->words != "table get") {
        err << "--output=csv is supported by 'table get' only" << std::endl;
        return CtlExit::BadInput;
    }
    CtlOptions effectiveOptions = options;
    if (command->run == &Ctl::dump && !options.address.empty())
        effectiveOptions.entries = {options.address};
    Reason reason;
    for (const std::string &entry : effectiveOptions.entries) {
        if (parseAddress(entry, reason))
            continue;
        err << "\"" << entry << "\": " << reason.text << std::endl;
        return CtlExit::BadInput;
    }
    Ctl ctl(loop, effectiveOptions, in, out, err);
    return (ctl.*command->run)(arguments);
}

std::string ctlHelp(absl::Span<const std::string> words)
{
    std::string text;
    for (const Command &command : commands) {
        if (startsWith(command.words, words))
            text += commandHelp(command);
    }
    if (!words.empty() || text.empty())
        return text;
    return "flamingoctl [FLAGS] COMMAND\n\n" + text
        + "\nExit codes: 0 done, 1 usage or bad input, 2 refused and not run, 3 may have run,\n"
          "4 no entry reached, 5 recorded but pending, 6 version conflict.\n";
}

} // namespace flamingo::adapters

// A request type has a list with one reader per accepted field; fields not in the list are reported
// as unknown. A reader checks the type and range of a value and stores it, or appends an error.

#include "flamingo/adapters/job_json.h"

#include "flamingo/json_parse.h"
#include "flamingo/json_text.h"

#include <algorithm>
#include <array>
#include <functional>
#include <limits>
#include <vector>

namespace flamingo::adapters {
namespace {

using Json = nlohmann::json;
using Errors = std::vector<std::string>;

constexpr std::uint64_t maxDurationMs = 30ULL * 24 * 3600 * 1000;
constexpr std::uint64_t maxCores = 4096;
constexpr std::uint64_t maxMemoryMib = 64ULL * 1024 * 1024;
constexpr std::size_t maxErrorsShown = 10;

using Reader = std::function<void(const Json &value, const std::string &path, Errors &errors)>;

struct FieldReader
{
    std::string_view name;
    Reader read;
};

Reader stringReader(std::string &destination, std::size_t maxBytes)
{
    return [&destination, maxBytes](const Json &value, const std::string &path, Errors &errors) {
        if (!value.is_string())
            errors.push_back(path + " must be a string");
        else if (value.get_ref<const std::string &>().size() > maxBytes)
            errors.push_back(path + " must have at most " + std::to_string(maxBytes) + " bytes");
        else
            destination = value.get<std::string>();
    };
}

Reader booleanReader(bool &destination)
{
    return [&destination](const Json &value, const std::string &path, Errors &errors) {
        if (value.is_boolean())
            destination = value.get<bool>();
        else
            errors.push_back(path + " must be true or false");
    };
}

template <typename Number>
Reader numberReader(Number &destination, std::uint64_t minimum, std::uint64_t maximum)
{
    return [&destination, minimum, maximum](const Json &value, const std::string &path,
                                            Errors &errors) {
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() < minimum
            || value.get<std::uint64_t>() > maximum) {
            errors.push_back(path + " must be a whole number from " + std::to_string(minimum)
                             + " to " + std::to_string(maximum));
            return;
        }
        destination = static_cast<Number>(value.get<std::uint64_t>());
    };
}

Reader jobClassReader(JobClass &destination)
{
    return [&destination](const Json &value, const std::string &path, Errors &errors) {
        if (value == "urgent")
            destination = JobClass::Urgent;
        else if (value == "interactive")
            destination = JobClass::Interactive;
        else if (value == "batch")
            destination = JobClass::Batch;
        else
            errors.push_back(path + R"( must be "urgent", "interactive" or "batch")");
    };
}

Reason invalidInput(const Errors &errors)
{
    std::string detail;
    for (std::size_t i = 0; i < std::min(errors.size(), maxErrorsShown); ++i)
        detail += (i == 0 ? "" : "; ") + errors[i];
    if (errors.size() > maxErrorsShown)
        detail += "; and " + std::to_string(errors.size() - maxErrorsShown) + " more";
    return {ReasonCode::InvalidInput, detail};
}

// Reads the fields of `body` with `readers`. Returns false and sets `reason` when any is invalid.
bool readObject(std::string_view body, const std::vector<FieldReader> &readers, Reason &reason)
{
    Reason cause;
    const auto object = parseJson(body, cause);
    if (!object || !object->is_object()) {
        reason = {ReasonCode::InvalidInput,
                  "body is not a JSON object" + (object ? "" : ": " + cause.text)};
        return false;
    }
    Errors errors;
    for (const auto &[name, value] : object->items()) {
        const auto reader =
            std::find_if(readers.begin(), readers.end(),
                         [&name = name](const auto &field) { return field.name == name; });
        if (reader == readers.end())
            errors.push_back("unknown field '" + name + "'");
        else
            reader->read(value, name, errors);
    }
    if (errors.empty())
        return true;
    reason = invalidInput(errors);
    return false;
}

int httpStatus(const Reply &reply)
{
    if (reply.verdict == Verdict::Ran)
        return 200;
    if (reply.accepted)
        return 202;
    if (reply.verdict == Verdict::MayHaveRun)
        return 504;
    switch (reply.reason.code) {
    case ReasonCode::InvalidInput:
        return 400;
    case ReasonCode::UnknownOrganisation:
        return 404;
    case ReasonCode::ImpossibleShape:
    case ReasonCode::Unpackable:
        return 422;
    case ReasonCode::VersionConflict:
    case ReasonCode::Cancelled:
        return 409;
    case ReasonCode::QueueFull:
    case ReasonCode::LimitReached:
        return 429;
    default:
        return 503;
    }
}

} // namespace

std::optional<JobRequest> parseJobRequest(std::string_view body, Reason &reason)
{
    JobRequest request;
    JobSpec &spec = request.spec;
    const std::vector<FieldReader> readers = {
        {"key", stringReader(spec.key, maxNameBytes)},
        {"organisation", stringReader(spec.organisation, maxNameBytes)},
        {"homeRegion", stringReader(spec.homeRegion, maxNameBytes)},
        {"jobClass", jobClassReader(spec.jobClass)},
        {"idempotent", booleanReader(spec.idempotent)},
        {"firstAttempt", booleanReader(spec.firstAttempt)},
        {"checkpointable", booleanReader(spec.checkpointable)},
        {"anyRegion", booleanReader(spec.anyRegion)},
        {"members", numberReader(spec.members, 1, maxGangMembers)},
        {"accelerators", numberReader(spec.accelerators, 0, maxAcceleratorsPerWorker)},
        {"cores", numberReader(spec.cores, 0, maxCores)},
        {"memoryMib", numberReader(spec.memoryMib, 0, maxMemoryMib)},
        {"declaredMs", numberReader(spec.declaredMs, 0, maxDurationMs)},
        {"deadlineMs", numberReader(spec.deadlineMs, 0, maxDurationMs)},
        {"payload", stringReader(spec.payload, maxPayloadBytes)},
        {"wait", booleanReader(request.wait)},
    };
    spec.jobClass = JobClass::Interactive;
    if (!readObject(body, readers, reason))
        return std::nullopt;
    if (spec.organisation.empty()) {
        reason = {ReasonCode::InvalidInput, "organisation is missing"};
        return std::nullopt;
    }
    return request;
}

std::optional<EditRequest> parseEditRequest(std::string_view body, Reason &reason)
{
    EditRequest request;
    bool hasChange = false;
    bool hasVersion = false;
    const std::vector<FieldReader> readers = {
        {"baseVersion",
         [&](const Json &value, const std::string &path, Errors &errors) {
             hasVersion = true;
             numberReader(request.baseVersion, 0,
                          std::numeric_limits<std::int64_t>::max())(value, path, errors);
         }},
        {"author", stringReader(request.author, maxNameBytes)},
        {"wait", booleanReader(request.wait)},
        {"change",
         [&](const Json &value, const std::string & /*path*/, Errors & /*errors*/) {
             hasChange = true;
             request.change = value.dump();
         }},
    };
    if (!readObject(body, readers, reason))
        return std::nullopt;
    if (!hasChange || !hasVersion || request.author.empty()) {
        reason = {ReasonCode::InvalidInput, "baseVersion, author and change are required"};
        return std::nullopt;
    }
    return request;
}

HttpResponse replyResponse(const Reply &reply)
{
    constexpr TimeMs msPerSecond = 1000;
    HttpResponse response;
    response.status = httpStatus(reply);
    response.body = jsonText(Json({{"job", reply.job},
                                   {"verdict", verdictName(reply.verdict)},
                                   {"reason", reasonName(reply.reason.code)},
                                   {"detail", reply.reason.text},
                                   {"answer", reply.answer},
                                   {"accepted", reply.accepted}}))
        + "\n";
    if (reply.retryAfterMs > 0)
        response.retryAfterSeconds =
            static_cast<std::uint32_t>((reply.retryAfterMs + msPerSecond - 1) / msPerSecond);
    return response;
}

HttpResponse refusal(const Reason &reason)
{
    Reply reply;
    reply.verdict = Verdict::NotRun;
    reply.reason = reason;
    return replyResponse(reply);
}

} // namespace flamingo::adapters

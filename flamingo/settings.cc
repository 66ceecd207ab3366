// entryFields() and agentFields() bind each setting to a member of a settings object. The parser
// binds them to the object that it fills in; the documentation binds them to a default-constructed
// object and reads the defaults from it. A path with a dot names a member of a nested JSON object.

#include "flamingo/settings.h"

#include "flamingo/json_parse.h"
#include "flamingo/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <set>
#include <variant>

namespace flamingo {
namespace {

using Json = nlohmann::json;

constexpr TimeMs secondMs = 1000;
constexpr TimeMs minuteMs = 60 * secondMs;
constexpr TimeMs hourMs = 60 * minuteMs;
constexpr TimeMs dayMs = 24 * hourMs;
// Below 120 s, after which HttpClient closes a connection on which nothing was received.
constexpr TimeMs maxHttpWaitMs = 100 * secondMs;
constexpr double minKeyBytes = 16;
constexpr double maxKeyBytes = 128;
constexpr double maxSeeds = 64;
constexpr std::size_t maxQuotedValueBytes = 60; // longer values are cut in error messages

// Kinds of string settings, which are validated differently.
struct Name
{
    std::string *value;
};
struct Address
{
    std::string *value;
    bool required = true;
};
struct Secret
{
    std::string *value;
};
struct AddressList
{
    std::vector<std::string> *value;
};

using Binding = std::variant<Name, Address, Secret, AddressList, std::uint32_t *, std::uint64_t *,
                             std::int64_t *, double *>;

struct Field
{
    std::string_view path;
    std::string_view unit;
    Binding binding;
    // Bounds of the number, of the bytes of the string or of the elements of the list.
    double minimum = 0;
    double maximum = 0;
    std::string_view description;
};

std::vector<Field> entryFields(EntrySettings &settings)
{
    EntryOptions &options = settings.options;
    return {
        {"name", "", Name{&options.name}, 1, maxNameBytes, "Unique name of this process."},
        {"region", "", Name{&options.region}, 1, maxNameBytes, "Region of this host."},
        {"dataCentre", "", Name{&options.dataCentre}, 1, maxNameBytes, "Data centre of this host."},
        {"peerAddress", "", Address{&settings.peerAddress}, 0, 0,
         "Listen address for connections of entries and agents."},
        {"advertisedAddress", "", Address{&settings.advertisedAddress, false}, 0, 0,
         "Address that other processes dial, if it differs from peerAddress."},
        {"httpAddress", "", Address{&settings.httpAddress}, 0, 0,
         "Listen address for HTTP requests of callers and operators."},
        {"logAddress", "", Address{&settings.logAddress}, 0, 0, "Log service of the platform."},
        {"seeds", "", AddressList{&settings.seeds}, 0, maxSeeds,
         "Peer addresses of other entries; these report the addresses of all further entries."},
        {"peerKey", "bytes", Secret{&settings.peerKey}, minKeyBytes, maxKeyBytes,
         "Shared by all processes of a deployment; connections with another key are refused."},
        {"maxBodyBytes", "bytes", &settings.maxBodyBytes, 4096, 16777216,
         "Larger request bodies are refused with 413."},
        {"maxPendingRequests", "requests", &settings.maxPendingRequests, 1, 65536,
         "Unanswered HTTP requests; further ones are refused with 503."},
        {"maxHeldBytes", "bytes", &settings.maxHeldBytes, 1048576, 1099511627776,
         "Bytes that all HTTP connections hold; beyond, the one without progress for longest is "
         "closed."},
        {"maxWaitMs", "ms", &settings.maxWaitMs, secondMs, maxHttpWaitMs,
         "A waiting request is answered with 202 after this time; the caller repeats it."},
        {"maxQueued", "jobs", &options.maxQueued, 1, 1000000,
         "Jobs that wait for free capacity; further ones are refused with Retry-After."},
        {"maxJobs", "jobs", &options.maxJobs, 1, 5000000,
         "Queued, running and recently finished jobs."},
        {"maxAttempts", "attempts", &options.maxAttempts, 1, 10,
         "First attempt and retries of one job."},
        {"retryBudgetShare", "share", &options.retryBudgetShare, 0, 1,
         "Retries per request, averaged."},
        {"replyTimeoutMs", "ms", &options.replyTimeoutMs, 50, minuteMs,
         "Timeout for an agent's reply to a Start, which is then repeated or sent elsewhere."},
        {"agentSilentAfterMs", "ms", &options.agentSilentAfterMs, 500, 10 * minuteMs,
         "An agent from which nothing was received for this long gets no new work."},
        {"ownerSilentAfterMs", "ms", &options.ownerSilentAfterMs, secondMs, hourMs,
         "The owner of a key range is replaced when nothing was received from it for this long."},
        {"acceptTimeoutMs", "ms", &options.acceptTimeoutMs, 100, 10 * minuteMs,
         "An edit that is not in force everywhere by then is answered as pending."},
        {"finishedRetentionMs", "ms", &options.finishedRetentionMs, secondMs, dayMs,
         "Answers of finished jobs are kept this long."},
        {"reservationMs", "ms", &options.reservationMs, secondMs, hourMs,
         "A data centre is first reserved this long for a job that others overtook; each further "
         "time twice as long."},
        {"reservationMaxMs", "ms", &options.reservationMaxMs, secondMs, dayMs,
         "Longest reservation of a data centre for one job."},
        {"lostTasksCountMs", "ms", &options.lostTasksCountMs, secondMs, dayMs,
         "Tasks of a lost worker count against limits of their organisations for this long."},
        {"fragmentationWeight", "share", &options.fragmentationWeight, 0, 1,
         "Weight in placement; 0: only completion time counts, 1: only fragmentation."},
    };
}

std::vector<Field> agentFields(AgentSettings &settings)
{
    AgentOptions &options = settings.options;
    OwnerOptions &owner = settings.owner;
    return {
        {"name", "", Name{&options.name}, 1, maxNameBytes,
         "Unique name of this process; also the worker's name in guaranteed blocks and at the "
         "platform."},
        {"region", "", Name{&options.region}, 1, maxNameBytes, "Region of the worker."},
        {"dataCentre", "", Name{&options.dataCentre}, 1, maxNameBytes,
         "Data centre of the worker."},
        {"rack", "", Name{&options.rack}, 1, maxNameBytes, "Rack of the worker."},
        {"peerAddress", "", Address{&settings.peerAddress}, 0, 0,
         "Listen address for connections of entries and agents."},
        {"advertisedAddress", "", Address{&settings.advertisedAddress, false}, 0, 0,
         "Address that other processes dial, if it differs from peerAddress."},
        {"httpAddress", "", Address{&settings.httpAddress}, 0, 0,
         "Listen address for HTTP requests of operators: health, metrics and state dump."},
        {"logAddress", "", Address{&settings.logAddress}, 0, 0, "Log service of the platform."},
        {"workerAddress", "", Address{&settings.workerAddress}, 0, 0,
         "The worker's task interface."},
        {"seeds", "", AddressList{&settings.seeds}, 1, maxSeeds,
         "Peer addresses of entries; these report the addresses of all further entries."},
        {"peerKey", "bytes", Secret{&settings.peerKey}, minKeyBytes, maxKeyBytes,
         "Shared by all processes of a deployment; connections with another key are refused."},
        {"accelerators", "accelerators", &options.accelerators, 0, maxAcceleratorsPerWorker,
         "Accelerators of the worker; adjacent ones have consecutive numbers."},
        {"slots", "tasks", &options.slots, 1, 1024, "Tasks that the worker runs at once."},
        {"connections", "connections", &options.connections, 1, 65536,
         "Connections that the worker accepts at once."},
        {"cores", "cores", &options.cores, 1, 4096, "Processor cores of the worker."},
        {"memoryMib", "MiB", &options.memoryMib, 1, 67108864, "Memory of the worker."},
        {"checkpointBoundMs", "ms", &options.checkpointBoundMs, 0, minuteMs,
         "A borrowing task that has not written a checkpoint by then is stopped without one."},
        {"stopBoundMs", "ms", &options.stopBoundMs, 10, minuteMs,
         "A task counts as stopped this long after its lease expired or its stop was requested."},
        {"holdMs", "ms", &options.holdMs, 100, minuteMs,
         "A hold, the capacity reserved for a gang member, expires after this time."},
        {"gangLeaseMs", "ms", &options.gangLeaseMs, 200, 10 * minuteMs,
         "A gang member stops when its leader has not renewed the member's lease for this long."},
        {"gangRenewMs", "ms", &options.gangRenewMs, 50, 10 * minuteMs,
         "Interval of lease renewals; at most half of gangLeaseMs, so that one may be lost."},
        {"workerLeaseMs", "ms", &options.workerLeaseMs, 200, 10 * minuteMs,
         "The worker stops its tasks when this agent has not renewed its lease for this long."},
        {"answerRetentionMs", "ms", &options.answerRetentionMs, secondMs, dayMs,
         "Answers that no entry has acknowledged are kept this long."},
        {"maxAnswers", "answers", &options.maxAnswers, 1, 1000000,
         "Answers kept; the oldest are discarded first."},
        {"owner.memoryModeAfterMs", "ms", &owner.memoryModeAfterMs, 100, 10 * minuteMs,
         "Keys are granted from memory when the log acknowledged no pending append for this long."},
        {"owner.cleanIntervalMs", "ms", &owner.cleanIntervalMs, 100, 10 * minuteMs,
         "Interval of Clean records while there is new state to confirm."},
        {"owner.maxKeys", "keys", &owner.maxKeys, 1, 10000000,
         "Keys in memory; further ones are refused."},
        {"owner.finishedRetentionMs", "ms", &owner.finishedRetentionMs, minuteMs, 30 * dayMs,
         "A finished key and its answer are kept this long."},
    };
}

// ---- Text of ranges, defaults and errors ----

template <typename... Visitors>
struct Overload : Visitors...
{
    using Visitors::operator()...;
};
template <typename... Visitors>
Overload(Visitors...) -> Overload<Visitors...>;

std::string numberText(double number)
{
    return number == static_cast<double>(static_cast<std::int64_t>(number))
        ? std::to_string(static_cast<std::int64_t>(number))
        : Json(number).dump();
}

std::string rangeText(const Field &field)
{
    const std::string bounds = numberText(field.minimum) + " to " + numberText(field.maximum);
    return std::visit(
        Overload{
            [&](const Name &) { return bounds + " letters, digits or any of . _ -"; },
            [&](const Address &) { return std::string("IPv4 address and port, IP:PORT"); },
            [&](const Secret &) { return "string of " + bounds + " bytes"; },
            [&](const AddressList &) { return "list of " + bounds + " distinct IP:PORT"; },
            [&](const double *) { return "number from " + bounds; },
            [&](const auto *) { return "integer from " + bounds; },
        },
        field.binding);
}

bool isRequired(const Field &field)
{
    return std::visit(Overload{
                          [&](const AddressList &) { return field.minimum > 0; },
                          [](const auto *) { return false; },
                          [](const Name &) { return true; },
                          [](const Address &address) { return address.required; },
                          [](const Secret &) { return true; },
                      },
                      field.binding);
}

std::string defaultText(const Field &field)
{
    if (isRequired(field))
        return "required";
    return std::visit(Overload{
                          [](const double *number) { return numberText(*number); },
                          [](const std::uint32_t *number) { return std::to_string(*number); },
                          [](const std::uint64_t *number) { return std::to_string(*number); },
                          [](const std::int64_t *number) { return std::to_string(*number); },
                          [](const AddressList &) { return std::string("empty list"); },
                          [](const Name &) { return std::string(); },
                          [](const Address &) { return std::string(); },
                          [](const Secret &) { return std::string(); },
                      },
                      field.binding);
}

std::string quotedValue(const Field &field, const Json &value)
{
    if (std::holds_alternative<Secret>(field.binding) && value.is_string())
        return "a string of " + std::to_string(value.get_ref<const std::string &>().size())
            + " bytes";
    const std::string text = jsonText(value);
    return text.size() <= maxQuotedValueBytes ? text : text.substr(0, maxQuotedValueBytes) + "...";
}

// ---- Checks of single values ----

bool isValidName(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
    });
}

bool isValidAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    const std::string_view port = text.substr(colon + 1);
    const bool digits = !port.empty() && port.size() <= 5 && port[0] != '0'
        && port.find_first_not_of("0123456789") == std::string_view::npos;
    in_addr parsed = {};
    return digits && std::stoi(std::string(port)) <= 65535
        && inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &parsed) == 1;
}

bool inRange(const Field &field, double value)
{
    return value >= field.minimum && value <= field.maximum;
}

bool assignText(const Field &field, const Json &value, bool (*valid)(std::string_view),
                std::string &destination)
{
    if (!value.is_string())
        return false;
    const auto &text = value.get_ref<const std::string &>();
    if (!valid(text) || (field.maximum > 0 && !inRange(field, static_cast<double>(text.size()))))
        return false;
    destination = text;
    return true;
}

bool assignList(const Field &field, const Json &value, std::vector<std::string> &destination)
{
    if (!value.is_array() || !inRange(field, static_cast<double>(value.size())))
        return false;
    std::set<std::string> seen;
    for (const Json &element : value) {
        if (!element.is_string() || !isValidAddress(element.get_ref<const std::string &>()))
            return false;
        if (!seen.insert(element.get<std::string>()).second)
            return false;
    }
    destination = value.get<std::vector<std::string>>();
    return true;
}

template <typename Number>
bool assignNumber(const Field &field, const Json &value, Number &destination)
{
    const bool hasType =
        std::is_floating_point_v<Number> ? value.is_number() : value.is_number_integer();
    if (!hasType || !inRange(field, value.get<double>()))
        return false;
    destination = value.get<Number>();
    return true;
}

bool assignValue(const Field &field, const Json &value)
{
    const auto anyText = [](std::string_view) { return true; };
    return std::visit(
        Overload{
            [&](const Name &name) { return assignText(field, value, isValidName, *name.value); },
            [&](const Address &address) {
                return assignText(field, value, isValidAddress, *address.value);
            },
            [&](const Secret &secret) { return assignText(field, value, anyText, *secret.value); },
            [&](const AddressList &list) { return assignList(field, value, *list.value); },
            [&](auto *number) { return assignNumber(field, value, *number); },
        },
        field.binding);
}

// ---- Unknown keys ----

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j)
        row[j] = j;
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const bool same = std::tolower(a[i - 1]) == std::tolower(b[j - 1]);
            const std::size_t replaced = diagonal + (same ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row[b.size()];
}

std::string closestKey(std::string_view key, absl::Span<const Field> fields)
{
    std::size_t best = std::max<std::size_t>(2, key.size() / 2);
    std::string result;
    for (const Field &field : fields) {
        const std::size_t distance = editDistance(key, field.path);
        if (distance > best || (distance == best && !result.empty()))
            continue;
        best = distance;
        result = field.path;
    }
    return result;
}

bool isNestedObject(std::string_view path, absl::Span<const Field> fields)
{
    const std::string prefix = std::string(path) + ".";
    return std::any_of(fields.begin(), fields.end(), [&](const Field &field) {
        return field.path.substr(0, prefix.size()) == prefix;
    });
}

void reportUnknownKeys(const Json &object, const std::string &prefix,
                       absl::Span<const Field> fields, std::vector<std::string> &errors)
{
    for (const auto &[key, value] : object.items()) {
        const std::string path = prefix + key;
        if (isNestedObject(path, fields)) {
            if (value.is_object())
                reportUnknownKeys(value, path + ".", fields, errors);
            else
                errors.push_back(path + ": must be an object");
            continue;
        }
        const bool known = std::any_of(fields.begin(), fields.end(),
                                       [&](const Field &field) { return field.path == path; });
        if (known)
            continue;
        const std::string closest = closestKey(path, fields);
        errors.push_back(path + ": unknown key"
                         + (closest.empty() ? "" : "; the closest known key is " + closest));
    }
}

// ---- Parsing ----

const Json *findValue(const Json &object, std::string_view path)
{
    const auto dot = path.find('.');
    const auto found =
        object.is_object() ? object.find(std::string(path.substr(0, dot))) : object.end();
    if (found == object.end())
        return nullptr;
    return dot == std::string_view::npos ? &*found : findValue(*found, path.substr(dot + 1));
}

// Parses the text and reports duplicate keys, of which the JSON library would silently keep the
// last. The parser reports the depth, because nestsDeeperThan() does not know comments.
std::optional<Json> parseText(std::string_view text, std::vector<std::string> &errors)
{
    std::vector<std::set<std::string>> keysByDepth;
    bool nestedTooDeeply = false;
    const auto onEvent = [&](int depth, Json::parse_event_t event, Json &parsed) {
        nestedTooDeeply = nestedTooDeeply || static_cast<std::size_t>(depth) > maxJsonDepth;
        if (event == Json::parse_event_t::object_start)
            keysByDepth.emplace_back();
        else if (event == Json::parse_event_t::object_end)
            keysByDepth.pop_back();
        else if (event == Json::parse_event_t::key
                 && !keysByDepth.back().insert(parsed.get<std::string>()).second)
            errors.push_back(parsed.get<std::string>() + ": duplicate key");
        return true;
    };
    try {
        Json json = Json::parse(text, onEvent, true, true);
        if (nestedTooDeeply) {
            errors.push_back("settings: nested deeper than " + std::to_string(maxJsonDepth)
                             + " levels");
            return std::nullopt;
        }
        if (json.is_object())
            return json;
        errors.emplace_back("settings: not a JSON object");
    } catch (const Json::exception &error) {
        // The library's message contains the last characters read, which may be part of peerKey.
        const std::string_view what = error.what();
        errors.push_back("settings: " + std::string(what.substr(0, what.find("; last read"))));
    }
    return std::nullopt;
}

void parseFields(std::string_view text, absl::Span<const Field> fields,
                 std::vector<std::string> &errors)
{
    const auto json = parseText(text, errors);
    if (!json)
        return;
    reportUnknownKeys(*json, "", fields, errors);
    for (const Field &field : fields) {
        const Json *value = findValue(*json, field.path);
        if (value == nullptr) {
            if (isRequired(field))
                errors.push_back(std::string(field.path) + ": missing; allowed is "
                                 + rangeText(field));
            continue;
        }
        if (!assignValue(field, *value))
            errors.push_back(std::string(field.path) + ": found " + quotedValue(field, *value)
                             + "; allowed is " + rangeText(field));
    }
}

void checkAddresses(std::string_view peerAddress, std::string_view httpAddress,
                    absl::Span<const std::string> seeds, std::vector<std::string> &errors)
{
    if (!peerAddress.empty() && peerAddress == httpAddress)
        errors.push_back(
            "httpAddress: found the value of peerAddress; allowed is a different address");
    if (std::find(seeds.begin(), seeds.end(), peerAddress) != seeds.end())
        errors.push_back("seeds: found this process's own peerAddress; allowed are addresses of "
                         "other processes");
}

std::vector<SettingInfo> settingInfos(absl::Span<const Field> fields)
{
    std::vector<SettingInfo> infos;
    for (const Field &field : fields)
        infos.push_back({std::string(field.path), std::string(field.unit), defaultText(field),
                         rangeText(field), std::string(field.description)});
    return infos;
}

} // namespace

std::optional<EntrySettings> parseEntrySettings(std::string_view json,
                                                std::vector<std::string> &errors)
{
    const std::size_t errorsBefore = errors.size();
    EntrySettings settings;
    parseFields(json, entryFields(settings), errors);
    checkAddresses(settings.peerAddress, settings.httpAddress, settings.seeds, errors);
    const EntryOptions &options = settings.options;
    // Otherwise ranges would be taken over from an agent that still gets work, and the keys of that
    // work would be refused.
    if (options.ownerSilentAfterMs < options.agentSilentAfterMs)
        errors.push_back("ownerSilentAfterMs: found " + std::to_string(options.ownerSilentAfterMs)
                         + "; allowed is at least agentSilentAfterMs, "
                         + std::to_string(options.agentSilentAfterMs));
    if (options.maxJobs < options.maxQueued)
        errors.push_back("maxJobs: found " + std::to_string(options.maxJobs)
                         + "; allowed is at least maxQueued, " + std::to_string(options.maxQueued));
    if (options.reservationMaxMs < options.reservationMs)
        errors.push_back("reservationMaxMs: found " + std::to_string(options.reservationMaxMs)
                         + "; allowed is at least reservationMs, "
                         + std::to_string(options.reservationMs));
    if (errors.size() > errorsBefore)
        return std::nullopt;
    return settings;
}

std::optional<AgentSettings> parseAgentSettings(std::string_view json,
                                                std::vector<std::string> &errors)
{
    const std::size_t errorsBefore = errors.size();
    AgentSettings settings;
    parseFields(json, agentFields(settings), errors);
    checkAddresses(settings.peerAddress, settings.httpAddress, settings.seeds, errors);
    const AgentOptions &options = settings.options;
    if (options.gangRenewMs * 2 > options.gangLeaseMs)
        errors.push_back("gangRenewMs: found " + std::to_string(options.gangRenewMs)
                         + "; allowed is at most half of gangLeaseMs, "
                         + std::to_string(options.gangLeaseMs / 2));
    if (errors.size() > errorsBefore)
        return std::nullopt;
    settings.owner.self = options.name;
    settings.owner.region = options.region;
    return settings;
}

std::vector<SettingInfo> entrySettingInfos()
{
    EntrySettings settings;
    return settingInfos(entryFields(settings));
}

std::vector<SettingInfo> agentSettingInfos()
{
    AgentSettings settings;
    return settingInfos(agentFields(settings));
}

std::string settingsTable(absl::Span<const SettingInfo> infos)
{
    std::string text = "| setting | unit | default | allowed | meaning |\n|---|---|---|---|---|\n";
    for (const SettingInfo &info : infos)
        text += "| `" + info.path + "` | " + info.unit + " | " + info.defaultValue + " | "
            + info.allowedRange + " | " + info.description + " |\n";
    return text;
}

} // namespace flamingo

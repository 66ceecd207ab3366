// entryFields() and agentFields() bind each setting to a member of a settings object. Parsing binds
// them to the object to fill; the documentation binds them to a fresh object and reads the defaults
// from it. Paths with a dot are members of a nested object.

#include "flamingo/settings.h"

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
// Our HTTP client gives up a connection that was silent for 120 s.
constexpr TimeMs maxHttpWaitMs = 100 * secondMs;
constexpr double minKeyBytes = 16;
constexpr double maxKeyBytes = 128;
constexpr double maxSeeds = 64;
constexpr std::size_t maxFoundBytes = 60; // of a wrong value that is repeated in a mistake

// Texts with different rules.
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

using Target = std::variant<Name, Address, Secret, AddressList, std::uint32_t *, std::uint64_t *,
                            std::int64_t *, double *>;

struct Field
{
    std::string_view path;
    std::string_view unit;
    Target target;
    double low = 0; // of the number, of the text in bytes, or of the list in elements
    double high = 0;
    std::string_view meaning;
};

std::vector<Field> entryFields(EntrySettings &s)
{
    EntryOptions &o = s.options;
    return {
        {"name", "", Name{&o.name}, 1, maxNameBytes, "Unique name of this process."},
        {"region", "", Name{&o.region}, 1, maxNameBytes, "Region of this host."},
        {"dataCentre", "", Name{&o.dataCentre}, 1, maxNameBytes, "Data centre of this host."},
        {"peerAddress", "", Address{&s.peerAddress}, 0, 0, "Listens here for entries and agents."},
        {"advertisedAddress", "", Address{&s.advertisedAddress, false}, 0, 0,
         "Address at which other processes reach peerAddress, when it is another one."},
        {"httpAddress", "", Address{&s.httpAddress}, 0, 0,
         "Listens here for callers and operators."},
        {"logAddress", "", Address{&s.logAddress}, 0, 0, "Log service of the platform."},
        {"seeds", "", AddressList{&s.seeds}, 0, maxSeeds,
         "Peer addresses of other entries; those not listed are learned from them."},
        {"peerKey", "bytes", Secret{&s.peerKey}, minKeyBytes, maxKeyBytes,
         "Shared by all processes of a deployment; connections with another key are refused."},
        {"maxBodyBytes", "bytes", &s.maxBodyBytes, 4096, 16777216,
         "Larger request bodies are refused with 413."},
        {"maxPendingRequests", "requests", &s.maxPendingRequests, 1, 65536,
         "Unanswered HTTP requests; more are refused with 503."},
        {"maxWaitMs", "ms", &s.maxWaitMs, secondMs, maxHttpWaitMs,
         "A waiting request is answered with 202 after this time; the caller asks again."},
        {"maxQueued", "jobs", &o.maxQueued, 1, 1000000,
         "Jobs that wait for room; more are refused with Retry-After."},
        {"maxJobs", "jobs", &o.maxJobs, 1, 5000000, "Queued, running and recently finished jobs."},
        {"maxAttempts", "tries", &o.maxAttempts, 1, 10, "First try and retries of one job."},
        {"retryBudgetShare", "share", &o.retryBudgetShare, 0, 1, "Retries per request, averaged."},
        {"replyTimeoutMs", "ms", &o.replyTimeoutMs, 50, minuteMs,
         "An agent that does not answer a start by then is asked again or passed over."},
        {"agentSilentAfterMs", "ms", &o.agentSilentAfterMs, 500, 10 * minuteMs,
         "An agent without a message for this long gets no new work."},
        {"ownerSilentAfterMs", "ms", &o.ownerSilentAfterMs, secondMs, hourMs,
         "The owner of a key range without a message for this long is replaced."},
        {"acceptTimeoutMs", "ms", &o.acceptTimeoutMs, 100, 10 * minuteMs,
         "An edit that is not in force everywhere by then is answered as pending."},
        {"finishedRetentionMs", "ms", &o.finishedRetentionMs, secondMs, dayMs,
         "Answers of finished jobs are kept this long."},
        {"fragmentationWeight", "share", &o.fragmentationWeight, 0, 1,
         "0: placement looks only at completion time, 1: only at fragmentation."},
    };
}

std::vector<Field> agentFields(AgentSettings &s)
{
    AgentOptions &o = s.options;
    OwnerOptions &w = s.owner;
    return {
        {"name", "", Name{&o.name}, 1, maxNameBytes,
         "Unique name of this process; also the worker's name in anchors and at the platform."},
        {"region", "", Name{&o.region}, 1, maxNameBytes, "Region of the worker."},
        {"dataCentre", "", Name{&o.dataCentre}, 1, maxNameBytes, "Data centre of the worker."},
        {"rack", "", Name{&o.rack}, 1, maxNameBytes, "Rack of the worker."},
        {"peerAddress", "", Address{&s.peerAddress}, 0, 0, "Listens here for entries and agents."},
        {"advertisedAddress", "", Address{&s.advertisedAddress, false}, 0, 0,
         "Address at which other processes reach peerAddress, when it is another one."},
        {"httpAddress", "", Address{&s.httpAddress}, 0, 0,
         "Listens here for operators: health, metrics and state dump."},
        {"logAddress", "", Address{&s.logAddress}, 0, 0, "Log service of the platform."},
        {"workerAddress", "", Address{&s.workerAddress}, 0, 0, "The worker's task interface."},
        {"seeds", "", AddressList{&s.seeds}, 1, maxSeeds,
         "Peer addresses of entries; those not listed are learned from them."},
        {"peerKey", "bytes", Secret{&s.peerKey}, minKeyBytes, maxKeyBytes,
         "Shared by all processes of a deployment; connections with another key are refused."},
        {"accelerators", "accelerators", &o.accelerators, 0, maxAcceleratorsPerWorker,
         "Accelerators of the worker; neighbours have adjacent numbers."},
        {"slots", "tasks", &o.slots, 1, 1024, "Tasks that the worker runs at once."},
        {"connections", "connections", &o.connections, 1, 65536,
         "Connections that the worker accepts at once."},
        {"cores", "cores", &o.cores, 1, 4096, "Processor cores of the worker."},
        {"memoryMib", "MiB", &o.memoryMib, 1, 67108864, "Memory of the worker."},
        {"checkpointBoundMs", "ms", &o.checkpointBoundMs, 0, minuteMs,
         "A guest that has not checkpointed by then is stopped without."},
        {"stopBoundMs", "ms", &o.stopBoundMs, 10, minuteMs,
         "A task counts as stopped this long after its lease or its stop command."},
        {"holdMs", "ms", &o.holdMs, 100, minuteMs, "Room held for a gang expires after this time."},
        {"gangLeaseMs", "ms", &o.gangLeaseMs, 200, 10 * minuteMs,
         "A gang member stops when its leader has not renewed for this long."},
        {"gangRenewMs", "ms", &o.gangRenewMs, 50, 10 * minuteMs,
         "Interval of renewals; at most half of gangLeaseMs, so that one may be lost."},
        {"workerLeaseMs", "ms", &o.workerLeaseMs, 200, 10 * minuteMs,
         "The worker stops its tasks when this agent has not renewed for this long."},
        {"answerRetentionMs", "ms", &o.answerRetentionMs, secondMs, dayMs,
         "Answers that no entry has acknowledged are kept this long."},
        {"maxAnswers", "answers", &o.maxAnswers, 1, 1000000, "Kept answers; the oldest go first."},
        {"owner.memoryModeAfterMs", "ms", &w.memoryModeAfterMs, 100, 10 * minuteMs,
         "Without an acknowledged append for this long, keys are granted from memory."},
        {"owner.cleanIntervalMs", "ms", &w.cleanIntervalMs, 100, 10 * minuteMs,
         "Interval of Clean records while there is something new to confirm."},
        {"owner.maxKeys", "keys", &w.maxKeys, 1, 10000000, "Keys in memory; more are refused."},
        {"owner.finishedRetentionMs", "ms", &w.finishedRetentionMs, minuteMs, 30 * dayMs,
         "A finished key and its answer are remembered this long."},
    };
}

// ---- Texts of ranges, defaults and mistakes ----

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
    const std::string bounds = numberText(field.low) + " to " + numberText(field.high);
    return std::visit(
        Overload{
            [&](const Name &) { return bounds + " letters, digits or any of . _ -"; },
            [&](const Address &) { return std::string("IPv4 address and port, IP:PORT"); },
            [&](const Secret &) { return "text of " + bounds + " bytes"; },
            [&](const AddressList &) { return "list of " + bounds + " different IP:PORT"; },
            [&](const double *) { return "number from " + bounds; },
            [&](const auto *) { return "integer from " + bounds; },
        },
        field.target);
}

bool isRequired(const Field &field)
{
    return std::visit(Overload{
                          [&](const AddressList &) { return field.low > 0; },
                          [](const auto *) { return false; },
                          [](const Name &) { return true; },
                          [](const Address &address) { return address.required; },
                          [](const Secret &) { return true; },
                      },
                      field.target);
}

std::string fallbackText(const Field &field)
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
                      field.target);
}

std::string foundText(const Field &field, const Json &value)
{
    if (std::holds_alternative<Secret>(field.target) && value.is_string())
        return "a text of " + std::to_string(value.get_ref<const std::string &>().size())
            + " bytes";
    const std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
    return text.size() <= maxFoundBytes ? text : text.substr(0, maxFoundBytes) + "...";
}

// ---- Checks of single values ----

bool isName(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
    });
}

bool isAddress(std::string_view text)
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
    return value >= field.low && value <= field.high;
}

bool assignText(const Field &field, const Json &value, bool (*valid)(std::string_view),
                std::string &target)
{
    if (!value.is_string())
        return false;
    const auto &text = value.get_ref<const std::string &>();
    if (!valid(text) || (field.high > 0 && !inRange(field, static_cast<double>(text.size()))))
        return false;
    target = text;
    return true;
}

bool assignList(const Field &field, const Json &value, std::vector<std::string> &target)
{
    if (!value.is_array() || !inRange(field, static_cast<double>(value.size())))
        return false;
    std::set<std::string> seen;
    for (const Json &element : value) {
        if (!element.is_string() || !isAddress(element.get_ref<const std::string &>()))
            return false;
        if (!seen.insert(element.get<std::string>()).second)
            return false;
    }
    target = value.get<std::vector<std::string>>();
    return true;
}

template <typename Number>
bool assignNumber(const Field &field, const Json &value, Number &target)
{
    const bool kind =
        std::is_floating_point_v<Number> ? value.is_number() : value.is_number_integer();
    if (!kind || !inRange(field, value.get<double>()))
        return false;
    target = value.get<Number>();
    return true;
}

bool assign(const Field &field, const Json &value)
{
    const auto anyText = [](std::string_view) { return true; };
    return std::visit(
        Overload{
            [&](const Name &name) { return assignText(field, value, isName, *name.value); },
            [&](const Address &address) {
                return assignText(field, value, isAddress, *address.value);
            },
            [&](const Secret &secret) { return assignText(field, value, anyText, *secret.value); },
            [&](const AddressList &list) { return assignList(field, value, *list.value); },
            [&](auto *number) { return assignNumber(field, value, *number); },
        },
        field.target);
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

bool isGroup(std::string_view path, absl::Span<const Field> fields)
{
    const std::string prefix = std::string(path) + ".";
    return std::any_of(fields.begin(), fields.end(), [&](const Field &field) {
        return field.path.substr(0, prefix.size()) == prefix;
    });
}

void reportUnknownKeys(const Json &object, const std::string &prefix,
                       absl::Span<const Field> fields, std::vector<std::string> &mistakes)
{
    for (const auto &[key, value] : object.items()) {
        const std::string path = prefix + key;
        if (isGroup(path, fields)) {
            if (value.is_object())
                reportUnknownKeys(value, path + ".", fields, mistakes);
            else
                mistakes.push_back(path + ": found no object");
            continue;
        }
        const bool known = std::any_of(fields.begin(), fields.end(),
                                       [&](const Field &field) { return field.path == path; });
        if (known)
            continue;
        const std::string closest = closestKey(path, fields);
        mistakes.push_back(path + ": unknown key"
                           + (closest.empty() ? "" : "; the closest known key is " + closest));
    }
}

// ---- Parsing ----

const Json *valueAt(const Json &object, std::string_view path)
{
    const auto dot = path.find('.');
    const auto found =
        object.is_object() ? object.find(std::string(path.substr(0, dot))) : object.end();
    if (found == object.end())
        return nullptr;
    return dot == std::string_view::npos ? &*found : valueAt(*found, path.substr(dot + 1));
}

// Parses the text and reports keys that are given twice, of which the library would keep the last.
std::optional<Json> parseText(std::string_view text, std::vector<std::string> &mistakes)
{
    std::vector<std::set<std::string>> open;
    const auto onEvent = [&](int, Json::parse_event_t event, Json &parsed) {
        if (event == Json::parse_event_t::object_start)
            open.emplace_back();
        else if (event == Json::parse_event_t::object_end)
            open.pop_back();
        else if (event == Json::parse_event_t::key
                 && !open.back().insert(parsed.get<std::string>()).second)
            mistakes.push_back(parsed.get<std::string>() + ": key is given twice");
        return true;
    };
    try {
        Json json = Json::parse(text, onEvent, true, true);
        if (json.is_object())
            return json;
        mistakes.emplace_back("settings: found no JSON object");
    } catch (const Json::exception &error) {
        // The library's text repeats what it read last, which may be part of peerKey.
        const std::string_view what = error.what();
        mistakes.push_back("settings: " + std::string(what.substr(0, what.find("; last read"))));
    }
    return std::nullopt;
}

void parseFields(std::string_view text, absl::Span<const Field> fields,
                 std::vector<std::string> &mistakes)
{
    const auto json = parseText(text, mistakes);
    if (!json)
        return;
    reportUnknownKeys(*json, "", fields, mistakes);
    for (const Field &field : fields) {
        const Json *value = valueAt(*json, field.path);
        if (value == nullptr) {
            if (isRequired(field))
                mistakes.push_back(std::string(field.path) + ": missing; allowed is "
                                   + rangeText(field));
            continue;
        }
        if (!assign(field, *value))
            mistakes.push_back(std::string(field.path) + ": found " + foundText(field, *value)
                               + "; allowed is " + rangeText(field));
    }
}

void checkAddresses(std::string_view peerAddress, std::string_view httpAddress,
                    absl::Span<const std::string> seeds, std::vector<std::string> &mistakes)
{
    if (!peerAddress.empty() && peerAddress == httpAddress)
        mistakes.push_back("httpAddress: found the address of peerAddress; allowed is another one");
    if (std::find(seeds.begin(), seeds.end(), peerAddress) != seeds.end())
        mistakes.push_back("seeds: found this process's own peerAddress; allowed are others");
}

std::vector<SettingInfo> infosOf(absl::Span<const Field> fields)
{
    std::vector<SettingInfo> infos;
    for (const Field &field : fields)
        infos.push_back({std::string(field.path), std::string(field.unit), fallbackText(field),
                         rangeText(field), std::string(field.meaning)});
    return infos;
}

} // namespace

std::optional<EntrySettings> parseEntrySettings(std::string_view json,
                                                std::vector<std::string> &mistakes)
{
    const std::size_t before = mistakes.size();
    EntrySettings settings;
    parseFields(json, entryFields(settings), mistakes);
    checkAddresses(settings.peerAddress, settings.httpAddress, settings.seeds, mistakes);
    const EntryOptions &options = settings.options;
    // A takeover of ranges from an agent that still gets work would refuse that work's keys.
    if (options.ownerSilentAfterMs < options.agentSilentAfterMs)
        mistakes.push_back("ownerSilentAfterMs: found " + std::to_string(options.ownerSilentAfterMs)
                           + "; allowed is at least agentSilentAfterMs, "
                           + std::to_string(options.agentSilentAfterMs));
    if (options.maxJobs < options.maxQueued)
        mistakes.push_back("maxJobs: found " + std::to_string(options.maxJobs)
                           + "; allowed is at least maxQueued, "
                           + std::to_string(options.maxQueued));
    if (mistakes.size() > before)
        return std::nullopt;
    return settings;
}

std::optional<AgentSettings> parseAgentSettings(std::string_view json,
                                                std::vector<std::string> &mistakes)
{
    const std::size_t before = mistakes.size();
    AgentSettings settings;
    parseFields(json, agentFields(settings), mistakes);
    checkAddresses(settings.peerAddress, settings.httpAddress, settings.seeds, mistakes);
    const AgentOptions &options = settings.options;
    if (options.gangRenewMs * 2 > options.gangLeaseMs)
        mistakes.push_back("gangRenewMs: found " + std::to_string(options.gangRenewMs)
                           + "; allowed is at most half of gangLeaseMs, "
                           + std::to_string(options.gangLeaseMs / 2));
    if (mistakes.size() > before)
        return std::nullopt;
    settings.owner.self = options.name;
    settings.owner.region = options.region;
    return settings;
}

std::vector<SettingInfo> entrySettingInfos()
{
    EntrySettings settings;
    return infosOf(entryFields(settings));
}

std::vector<SettingInfo> agentSettingInfos()
{
    AgentSettings settings;
    return infosOf(agentFields(settings));
}

std::string settingsTable(absl::Span<const SettingInfo> infos)
{
    std::string text = "| setting | unit | default | allowed | meaning |\n|---|---|---|---|---|\n";
    for (const SettingInfo &info : infos)
        text += "| `" + info.path + "` | " + info.unit + " | " + info.fallback + " | " + info.range
            + " | " + info.meaning + " |\n";
    return text;
}

} // namespace flamingo

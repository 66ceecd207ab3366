#ifndef FLAMINGO_SETTINGS_H
#define FLAMINGO_SETTINGS_H

// Settings of the daemons: a JSON object with // and /* */ comments.
//
// settings.cc has one list per daemon with the unit, default, range and description of every
// setting. The parser uses it, and the tables of docs/settings.md are generated from it. Units are
// part of the key names.
//
// The parser reports all errors of a text at once, one line each: the path of the setting, the
// value found and the values allowed. Unknown and duplicate keys are errors. No error message
// contains the value of peerKey.

#include "flamingo/agent.h"
#include "flamingo/entry.h"
#include "flamingo/owner.h"

#include <absl/types/span.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo {

struct EntrySettings
{
    EntryOptions options; // incarnation stays 0 here; the daemon sets it when it starts
    std::string peerAddress; // listen address for other processes, "IP:port"
    std::string advertisedAddress; // address that other processes dial; empty: peerAddress
    std::string httpAddress;
    std::string logAddress;
    std::vector<std::string> seeds; // peer addresses of other entries
    std::string peerKey;
    std::size_t maxBodyBytes = 1048576;
    std::size_t maxPendingRequests = 4096;
    std::size_t maxHeldBytes = 33554432; // by the HTTP connections of callers together
    TimeMs maxWaitMs = 60000; // after this time a waiting HTTP request is answered with 202
};

struct AgentSettings
{
    AgentOptions options;
    OwnerOptions owner; // the parser copies self and region from `options`
    std::string peerAddress;
    std::string advertisedAddress;
    std::string httpAddress;
    std::string logAddress;
    std::string workerAddress;
    std::vector<std::string> seeds; // peer addresses of entries
    std::string peerKey;
};

// Parses the settings of a daemon. On any error returns nullopt and appends one line per error to
// `errors`.
std::optional<EntrySettings> parseEntrySettings(std::string_view json,
                                                std::vector<std::string> &errors);
std::optional<AgentSettings> parseAgentSettings(std::string_view json,
                                                std::vector<std::string> &errors);

// Documentation of one setting.
struct SettingInfo
{
    std::string path; // for example "owner.maxKeys"
    std::string unit;
    std::string defaultValue; // value when the setting is absent, or "required"
    std::string allowedRange;
    std::string description;
};

std::vector<SettingInfo> entrySettingInfos();
std::vector<SettingInfo> agentSettingInfos();

// Returns the settings as a Markdown table with one row per setting.
std::string settingsTable(absl::Span<const SettingInfo> infos);

} // namespace flamingo

#endif

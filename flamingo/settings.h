#ifndef FLAMINGO_SETTINGS_H
#define FLAMINGO_SETTINGS_H

// Settings of the daemons: a JSON object with // and /* */ comments.
//
// One list per daemon gives every setting with its unit, default, range and meaning. The parser and
// the documentation (docs/settings.md) are both made from it. Units are part of the key names.
//
// The parser reports all mistakes of a text at once, one line each: the path of the setting, what
// was found and what is allowed. Unknown keys and keys that are given twice are mistakes. The value
// of peerKey is never repeated in a mistake.

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
    EntryOptions options; // incarnation is left 0; the daemon sets it at its start
    std::string peerAddress; // of the listener for other processes, "IP:port"
    std::string advertisedAddress; // where others reach it; empty: peerAddress
    std::string httpAddress;
    std::string logAddress;
    std::vector<std::string> seeds; // peer addresses of other entries
    std::string peerKey;
    std::size_t maxBodyBytes = 1048576;
    std::size_t maxPendingRequests = 4096;
    TimeMs maxWaitMs = 60000; // longest wait of an HTTP request
};

struct AgentSettings
{
    AgentOptions options;
    OwnerOptions owner; // self and region are those of `options`
    std::string peerAddress;
    std::string advertisedAddress;
    std::string httpAddress;
    std::string logAddress;
    std::string workerAddress;
    std::vector<std::string> seeds; // peer addresses of entries
    std::string peerKey;
};

// nullopt when there is any mistake; all of them are then in `mistakes`.
std::optional<EntrySettings> parseEntrySettings(std::string_view json,
                                                std::vector<std::string> &errors);
std::optional<AgentSettings> parseAgentSettings(std::string_view json,
                                                std::vector<std::string> &errors);

struct SettingInfo
{
    std::string path; // for example "owner.maxKeys"
    std::string unit;
    std::string defaultValue; // value when the setting is absent; "required" when it may not be
    std::string allowedRange;
    std::string description;
};

std::vector<SettingInfo> entrySettingInfos();
std::vector<SettingInfo> agentSettingInfos();

// The settings as a Markdown table, one line each.
std::string settingsTable(absl::Span<const SettingInfo> infos);

} // namespace flamingo

#endif

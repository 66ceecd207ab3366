// Records are relayed to the leader if possible, because it most likely reaches the log.

#include "flamingo/adapters/entry_relay.h"

#include "flamingo/adapters/http_status.h"
#include "flamingo/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace flamingo::adapters {
namespace {

// Shorter than submitRetryWindowMs, the time for which a submission is retried.
constexpr TimeMs relayTimeoutMs = 450;

} // namespace

const std::string_view relayedRecordPath = "/v1/acceptances";

int statusForVerdict(Verdict verdict)
{
    if (verdict == Verdict::Ran)
        return statusOk;
    return verdict == Verdict::NotRun ? statusServiceUnavailable : statusGatewayTimeout;
}

Verdict verdictFromResult(const HttpResult &result)
{
    if (result.status == statusOk)
        return Verdict::Ran;
    return !result.requestSent || result.status == statusServiceUnavailable ? Verdict::NotRun
                                                                            : Verdict::MayHaveRun;
}

std::string encodeRecord(const scheduler::Record &record)
{
    return jsonText(nlohmann::json{{"key", record.key}, {"value", record.value}});
}

std::optional<scheduler::Record> decodeRecord(std::string_view text, Reason &reason)
{
    try {
        const auto json = nlohmann::json::parse(text);
        return scheduler::Record{json.at("key").get<std::string>(),
                                 json.at("value").get<std::string>()};
    } catch (const nlohmann::json::exception &error) {
        reason = {ReasonCode::InvalidInput, error.what()};
        return std::nullopt;
    }
}

EntryRelay::EntryRelay(Loop &loop, std::string ownAddress, std::vector<std::string> entries)
    : client(loop)
    , ownAddress(std::move(ownAddress))
    , entries(std::move(entries))
{
    this->entries.erase(std::remove(this->entries.begin(), this->entries.end(), this->ownAddress),
                        this->entries.end());
}

void EntryRelay::relay(const scheduler::Record &record, const std::string &leaderAddress,
                       SchedulerService::SubmitCallback done)
{
    std::string address = leaderAddress;
    if ((address.empty() || address == this->ownAddress) && !this->entries.empty())
        address = this->entries[this->nextEntry++ % this->entries.size()];
    HttpCall call;
    call.address = address;
    call.method = "POST";
    call.target = std::string(relayedRecordPath);
    call.body = encodeRecord(record);
    call.timeoutMs = relayTimeoutMs;
    call.keepAlive = true;
    this->client.call(call, [done = std::move(done)](const HttpResult &result) {
        done(verdictFromResult(result));
    });
}

} // namespace flamingo::adapters

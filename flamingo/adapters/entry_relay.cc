// Records are relayed to the leader if possible, because it most likely reaches the log.

#include "flamingo/adapters/entry_relay.h"

#include "flamingo/adapters/http_status.h"
#include "flamingo/json_object_reader.h"
#include "flamingo/json_text.h"
#include "flamingo/scheduler/scheduler.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace flamingo::adapters {
namespace {

// Shorter than submitRetryWindowMs, the time for which a submission is retried.
constexpr TimeMs relayTimeoutMs = 450;

// Only entries' own records are relayed, and they delete nothing: all others are the leader's.
bool isRelayable(const scheduler::Record &record, Reason &reason)
{
    scheduler::JobTable table;
    const auto key = scheduler::parseKey(record.key);
    const bool entryWrites = key
        && (key->kind == scheduler::RecordKind::Acceptance
            || key->kind == scheduler::RecordKind::Cancellation
            || key->kind == scheduler::RecordKind::EarlyCancellation);
    if (entryWrites && !record.value.empty())
        return scheduler::applyRecord(table, record.key, record.value, false, reason);
    reason = {ReasonCode::InvalidInput,
              "a record with key '" + record.key + "' and " + std::to_string(record.value.size())
                  + " bytes is not relayed"};
    return false;
}

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
    const auto json = parseJson(text, reason);
    if (!json)
        return std::nullopt;
    scheduler::Record record;
    JsonObjectReader reader(*json, reason);
    reader.require({"key", "value"});
    reader.text("key", record.key);
    reader.text("value", record.value);
    if (!reader.valid() || !isRelayable(record, reason))
        return std::nullopt;
    return record;
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

#ifndef FLAMINGO_ADAPTERS_ENTRY_RELAY_H
#define FLAMINGO_ADAPTERS_ENTRY_RELAY_H

// Relays log records of accepted and cancelled jobs over HTTP to another entry, when this entry
// cannot store them in time.
//
// A relay is one request with a timeout and no retries. Its result is a verdict: Ran, the record is
// stored; NotRun, it is not; MayHaveRun, it is unknown whether it is stored.

#include "flamingo/adapters/http_client.h"
#include "flamingo/adapters/scheduler_service.h"

#include <string>
#include <string_view>
#include <vector>

namespace flamingo::adapters {

// HTTP path under which an entry receives relayed records.
extern const std::string_view relayedRecordPath;

// Convert a verdict to the HTTP status of the answer, and the result of a relay request to a
// verdict. A request that was sent but not answered yields MayHaveRun.
int statusForVerdict(Verdict verdict);
Verdict verdictFromResult(const HttpResult &result);

// Body of a relay request; decodeRecord() returns nullopt with a reason for a malformed one, and
// for a record that is neither an acceptance nor a cancellation.
std::string encodeRecord(const scheduler::Record &record);
std::optional<scheduler::Record> decodeRecord(std::string_view text, Reason &reason);

class EntryRelay
{
public:
    // While no other entry leads, records are relayed to `entries` in turn, except to `ownAddress`.
    EntryRelay(Loop &loop, std::string ownAddress, std::vector<std::string> entries);

    // Sends the record to the leader, or to the next of the entries if `leaderAddress` is empty or
    // this entry's own; calls `done` with the verdict.
    void relay(const scheduler::Record &record, const std::string &leaderAddress,
               SchedulerService::SubmitCallback done);

private:
    HttpClient client;
    std::string ownAddress;
    std::vector<std::string> entries;
    std::size_t nextEntry = 0;
};

} // namespace flamingo::adapters

#endif

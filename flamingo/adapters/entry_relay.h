#ifndef FLAMINGO_ADAPTERS_ENTRY_RELAY_H
#define FLAMINGO_ADAPTERS_ENTRY_RELAY_H

// Gives acceptances to another entry when this one cannot store them in time.

#include "flamingo/adapters/http_client.h"
#include "flamingo/adapters/scheduler_service.h"

#include <string>
#include <string_view>
#include <vector>

namespace flamingo::adapters {

// Path under which entries take acceptances for one another.
extern const std::string_view acceptancePath;

// Status that carries a verdict between entries, and back.
int statusForVerdict(Verdict verdict);
Verdict verdictFromResult(const HttpResult &result);

std::string encodeRecord(const scheduler::Record &record);
std::optional<scheduler::Record> decodeRecord(std::string_view text, Reason &reason);

class EntryRelay
{
public:
    // `entries` are tried in turn when no other entry leads; `ownAddress` is left out.
    EntryRelay(Loop &loop, std::string ownAddress, std::vector<std::string> entries);

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

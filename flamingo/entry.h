#ifndef FLAMINGO_ENTRY_H
#define FLAMINGO_ENTRY_H

// The entry: takes requests of callers and operators, queues and places jobs on agents, retries
// where that is safe, and gives every caller one truthful reply.

#include "flamingo/messages.h"
#include "flamingo/owner.h"
#include "flamingo/table.h"

#include <variant>

namespace flamingo {

struct EntryOptions
{
    std::string name;
    std::string region;
    std::string dataCentre;
    std::uint64_t incarnation = 0;
    std::size_t maxQueued = 10000;
    std::size_t maxJobs = 50000; // queued, running and recently finished
    std::uint32_t maxAttempts = 4; // first try and 3 retries
    double retryBudgetShare = 0.1; // retries per request, averaged
    TimeMs replyTimeoutMs = 1000; // StartReply expected by then
    TimeMs agentSilentAfterMs = 3000; // after the last message, at a report interval of 1 s
    TimeMs ownerSilentAfterMs = 10000; // then a takeover is proposed
    TimeMs acceptTimeoutMs = 6000; // an edit not in force everywhere by then is pending
    TimeMs finishedRetentionMs = 600000;
    double fragmentationWeight = 0.5; // 0: only completion time counts, 1: only fragmentation
};

// ---- Requests of callers and operators; each gets exactly one Reply with the same id ----

// `wait` true: reply when the job ended; false: reply as soon as it is accepted or refused.
struct Submit
{
    std::string request;
    JobSpec spec;
    bool wait = true;
};

// The caller of a waiting request closed its connection; no Reply is expected any more.
struct CallerGone
{
    std::string request;
};

struct QueryJob
{
    std::string request;
    std::string job;
    bool wait = false; // reply when the job ended
};

struct CancelJob
{
    std::string request;
    std::string job;
};

// `change` is JSON for parseTableChange.
struct EditTable
{
    std::string request;
    std::string author;
    std::uint64_t baseVersion = 0;
    std::string change;
    std::uint64_t nowUnixMs = 0;
    bool wait = true; // reply when accepted or pending; false: when recorded
};

struct DrainTarget
{
    std::string request;
    std::string agent;
    bool drain = true;
};

// Shutdown began: refuse new requests, finish those at hand.
struct StopAccepting
{
};

using EntryEvent =
    std::variant<PeerMessage, PeerUp, PeerDown, LogRead, LogAppended, Submit, CallerGone, QueryJob,
                 CancelJob, EditTable, DrainTarget, StopAccepting, Tick>;

struct Entry;

Entry makeEntry(const EntryOptions &options);
void handleEntry(Entry &entry, const EntryEvent &event, TimeMs now, Random &random, Outbox &out);

// True when no request waits for its reply; after StopAccepting the process may then exit.
bool entryIdle(const Entry &entry);

// JSON documents for operators: the whole state, the targets, table versions per process, and why a
// job waits or cannot run.
std::string dumpEntry(const Entry &entry, TimeMs now);
std::string targetsJson(const Entry &entry, TimeMs now);
std::string statusJson(const Entry &entry, TimeMs now);
std::string explainJob(const Entry &entry, std::string_view job, TimeMs now);

} // namespace flamingo

#endif

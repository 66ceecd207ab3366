#ifndef FLAMINGO_ENTRY_H
#define FLAMINGO_ENTRY_H

// The entry: accepts requests of callers and operators, queues jobs, places them on agents, retries
// where that is safe, and sends exactly one reply to every request. A verdict never claims more
// than the entry can prove.
//
// The verdict of a reply concerns the submission it answers: NotRun means that nothing was started
// for it and nothing will be. Only the owner of the key has the state of earlier submissions with
// the same key; when the owner is unreachable and the caller did not mark the submission as the
// first attempt (JobSpec::firstAttempt), the verdict is MayHaveRun.
//
//   flamingo/view.h    agents and placement
//   flamingo/queue.h   admission, fair sharing, deadlines
//   flamingo/edits.h   table edits and versions in force
//   flamingo/jobs.h    one job from its submission to its reply
//   flamingo/lookup.h  queries for jobs of other entries
//
// After each LogRead of the table stream, the caller of handleEntry continues reading the log from
// Entry::table.nextOffset, which lies before the end of the lines just read if earlier lines were
// missed (flamingo/table.h).

#include "flamingo/edits.h"
#include "flamingo/messages.h"
#include "flamingo/owner.h"
#include "flamingo/queue.h"
#include "flamingo/table.h"
#include "flamingo/view.h"

#include <memory>
#include <set>
#include <unordered_map>
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
    std::uint32_t maxAttempts = 4; // first attempt and 3 retries
    double retryBudgetShare = 0.1; // tokens that each submission adds to the retry budget
    // From a Start to its StartReply; longer for gangs, keyed jobs and guaranteed blocks. Also the
    // time that a lookup waits for the processes that it queried.
    TimeMs replyTimeoutMs = 1000;
    // An agent that has sent no message for this time is unreachable. The time holds for a report
    // interval of 1 s and, for agents with a connection, grows in proportion to the interval.
    TimeMs agentSilentAfterMs = 3000;
    TimeMs ownerSilentAfterMs = 10000; // a takeover is proposed after this time without contact
    TimeMs acceptTimeoutMs = 6000; // an edit not in force everywhere by then is reported as pending
    TimeMs finishedRetentionMs = 600000;
    // In the cost of a placement (flamingo/view.cc). 0: only the load of the worker counts, 1: only
    // fragmentation.
    double fragmentationWeight = 0.5;
    // No job is refused as impossible to place for this time after the entry's start, because
    // agents have to report first.
    TimeMs reportCollectionMs = 3000;
    // Guaranteed blocks are moved off a lost worker this long after its last message.
    TimeMs moveGuaranteedBlocksAfterMs = 10000;
    // A Snapshot of the table is appended to the log after this many edits, or after this time if
    // there was an edit.
    std::uint64_t snapshotEveryEdits = 500;
    TimeMs snapshotEveryMs = 3600000;
    TimeMs logTimeoutMs = 5000; // an edit not recorded by then is answered as MayHaveRun
    // A cancelled job whose agents did not confirm the end by then is answered as MayHaveRun.
    TimeMs cancelTimeoutMs = 10000;
    // A job for which no capacity was found for this time may be forwarded to another region.
    TimeMs forwardAfterMs = 2000;
    // A keyed job of a region of which no entry is connected waits this long for a connection
    // before it is refused. Longer than the redial delay of the peers (flamingo/adapters/peers.h).
    TimeMs regionWaitMs = 2000;
    std::size_t maxLookups = 1000; // in progress
    // First reservation of a data centre for a job (flamingo/queue.h). Each further one for the
    // same job may last twice as long, up to reservationMaxMs.
    TimeMs reservationMs = 5000;
    TimeMs reservationMaxMs = 3600000;
    // The tasks of a lost worker count against the limits of their organisations for this long
    // after its last message. Then they have ended, unless the worker is cut off from this entry
    // only.
    TimeMs lostTasksCountMs = 10000;
};

// ---- Requests of callers and operators ----
//
// Every Submit, QueryJob, CancelJob, EditTable and DrainTarget gets exactly one Reply with the same
// request id, unless CallerGone ends the request.

// `wait` true: the reply follows when the job has ended; false: as soon as it is accepted or
// refused.
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
    bool wait = false; // true: the reply follows when the job has ended
};

struct CancelJob
{
    std::string request;
    std::string job;
};

// An edit of the table of organisations; `change` is JSON in the format of parseTableChange().
struct EditTable
{
    std::string request;
    std::string author;
    std::uint64_t baseVersion = 0; // version that the edit was made for
    std::string change;
    std::uint64_t nowUnixMs = 0; // stored with the edit as the time of writing
    bool wait = true; // PendingEdit::wait
};

struct DrainTarget
{
    std::string request;
    std::string agent;
    bool drain = true; // false: the agent accepts work again
};

// Shutdown has begun: new jobs and edits are refused, and those in progress are finished.
struct StopAccepting
{
};

using EntryEvent =
    std::variant<PeerMessage, PeerUp, PeerDown, LogRead, LogAppended, Submit, CallerGone, QueryJob,
                 CancelJob, EditTable, DrainTarget, StopAccepting, Tick>;

// A process that is connected to this entry, or was.
struct Peer
{
    PeerInfo info;
    bool connected = false;
    TimeMs disconnectedAt = 0;
    // Since when a disconnected entry could have connected again: its disconnection, or a later
    // moment at which an entry of its region connected after none was connected.
    TimeMs missingSince = 0;
};

// A query or cancellation of a job that this entry does not have (flamingo/lookup.h).
struct Lookup
{
    std::string id; // request id of the JobQuery messages
    std::string request; // of the caller
    std::string job;
    bool wait = false; // reply when the job has ended
    bool cancel = false;
    bool entriesQueried = false;
    std::set<std::string> waitingFor; // processes whose JobReply is outstanding
    std::string holder; // process that has the job
    TimeMs requestedAt = 0; // last JobQuery
    TimeMs lastContactAt = 0; // last JobReply of the holder
};

// An attempt to whose leader a Cancel was sent, and whose end has not been reported since.
struct UnconfirmedCancel
{
    std::string job;
    std::string agent;
    TimeMs sentAt = 0; // last Cancel
};

// A drain request that the agent has not confirmed by a report yet.
struct PendingDrain
{
    std::string request;
    std::string agent;
    bool drain = true;
    TimeMs requestedAt = 0;
};

// Numbers of events since the entry's start. `timeouts` counts Starts without a StartReply in time;
// `notRun`, `mayHaveRun` and `ran` count replies by verdict.
struct EntryCounters
{
    std::uint64_t submitted = 0;
    std::uint64_t replied = 0;
    std::uint64_t starts = 0;
    std::uint64_t guaranteedStarts = 0;
    std::uint64_t refusals = 0;
    std::uint64_t timeouts = 0;
    std::uint64_t evictions = 0;
    std::uint64_t lostAttempts = 0;
    std::uint64_t forwards = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t ran = 0;
};

struct Entry
{
    EntryOptions options;
    Table table;
    RangeMap ranges;
    View view;
    std::unordered_map<std::uint64_t, std::unique_ptr<Job>> jobs; // by serial
    // Serials of jobs by other ids:
    std::unordered_map<std::string, std::uint64_t> byId; // job ids and aliases
    std::unordered_map<std::string, std::uint64_t> byKey;
    std::unordered_map<std::string, std::uint64_t> byAttempt;
    std::unordered_map<std::string, std::uint64_t> byRequest; // of callers that wait
    std::unordered_map<std::string, std::uint64_t> byForward; // Job::forwardRequest
    std::set<std::uint64_t> waitingForRegion; // serials of jobs in JobState::WaitingForRegion
    Queue queue;
    // Pairs of a time and the serial of a job, earliest first.
    std::set<std::pair<TimeMs, std::uint64_t>> timers; // Job::timerAt
    std::set<std::pair<TimeMs, std::uint64_t>> finished; // Job::finishedAt
    RunTimeEstimates estimates;
    RetryBudget budget;
    Edits edits;
    TakeoverTimers takeovers;
    std::map<std::string, Peer, std::less<>> peers;
    std::vector<Lookup> lookups;
    std::vector<PendingDrain> drains;
    std::unordered_map<std::string, UnconfirmedCancel> unconfirmedCancels; // by attempt
    EntryCounters counters;
    std::uint64_t lastSerial = 0;
    std::uint64_t lastAttempt = 0;
    std::uint64_t lastLookup = 0;
    TimeMs startedAt = -1; // first event, -1 = none yet
    TimeMs lastSlowTickAt = 0;
    TimeMs lastTickAt = 0;
    // No agent or owner is treated as unreachable before this time. It is set after a pause of this
    // process, because the recorded times of last contact are then outdated.
    TimeMs contactGraceUntil = 0;
    bool accepting = true; // false after StopAccepting
    bool capacityChanged = false; // the next scheduling pass covers the whole queue
    TimeMs nextPassAt = 0; // earliest next pass over the whole queue; later after a long pass
    bool passIncomplete = false; // the last pass over the whole queue reached a limit
    std::uint64_t passRound = 1; // counts the rounds of passes (flamingo/jobs.cc)
    std::vector<std::uint64_t> newJobSerials; // submitted since the last pass
    std::vector<std::uint64_t> blockedJobs; // no free capacity found in the last pass
};

Entry makeEntry(const EntryOptions &options);

// Applies one event to the entry, runs a scheduling pass, and adds the messages, replies and log
// appends that follow to `out`.
void handleEntry(Entry &entry, const EntryEvent &event, TimeMs now, Random &random, Outbox &out);

// True when no request waits for its reply and every job is finished, or runs without a waiting
// caller; after StopAccepting the process may then exit.
bool entryIdle(const Entry &entry);

// JSON documents for operators: the whole state, the targets, the table versions per process, and
// why a job waits or cannot run.
std::string dumpEntry(const Entry &entry, TimeMs now);
std::string targetsJson(const Entry &entry, TimeMs now);
std::string statusJson(const Entry &entry, TimeMs now);
std::string explainJob(const Entry &entry, std::string_view job, TimeMs now);

} // namespace flamingo

#endif

#ifndef FLAMINGO_SCHEDULER_LEADERSHIP_H
#define FLAMINGO_SCHEDULER_LEADERSHIP_H

// Leader election: which entry (see job_log.h) schedules. Every entry reads the job log; the leader
// writes a progress record or a leader record (heartbeat) to it at least every `keepAliveMs`. An
// entry that can read the log but has found no record of a leader for `leaderTimeoutMs` campaigns:
// it raises the epoch of the log's fence, reads the log to its end and leads from there.
//
// A leader that reaches the log but not the hosts is replaced as well: agents report an unreachable
// leader to the entries that they do reach. When an entry has such reports from more hosts than the
// leader states that it receives reports from, it campaigns after `unreachableTimeoutMs`.
//
// A campaign begins with a candidate record, which keeps the entries that read it from campaigning
// too. Before an entry campaigns it waits for a delay that is shorter for entries with more
// processor time and near the log, and that has a random part, so that one of them comes first.
//
// Two entries may still campaign at once: the higher epoch wins, because the log accepts only the
// highest; a random part makes equal epochs unlikely. A leader learns of its successor from its
// next append or read.

#include "flamingo/scheduler/answer_times.h"
#include "flamingo/types.h"

#include <map>
#include <string>

namespace flamingo::scheduler {

struct LeadershipOptions
{
    TimeMs keepAliveMs = 300;
    // A leader has failed when several of its heartbeats are missing. The timeout is extended by
    // `answerTimeFactor` times the slowest recent answer of the log, because a heartbeat is delayed
    // by two answers: to its append and to its read.
    TimeMs leaderTimeoutMs = 1300;
    double answerTimeFactor = 2;
    // The timeout is at least this multiple of the longest recent time between two records of the
    // leader. Only the leader knows how long its appends wait at a slow log.
    double heartbeatGapFactor = 2.5;
    TimeMs unreachableTimeoutMs = 1500; // lets agents retry reports that a partition delayed
    // An agent that does not reach the leader reports to another entry at least this often.
    TimeMs unreachableReportMaxAgeMs = 3000;
    TimeMs firstLeaderTimeoutMs = 300; // instead of `leaderTimeoutMs` while no leader was ever seen
    // A campaign is delayed by this multiple of the round trip time to the log, up to the maximum,
    // so that entries near the log campaign first.
    double delayPerRoundTrip = 10;
    TimeMs maxRoundTripDelayMs = 300;
    // Delay of an entry with less processor time than the leader had, so that it leads only if no
    // larger one can. Before a leader is known, `fullLeaderShare` stands for the leader's.
    TimeMs smallEntryDelayMs = 300;
    double processorShare = 0.5; // cores of this entry
    double fullLeaderShare = 0.5;
    // Maximum of the additional random delay, which keeps similar entries from campaigning at the
    // same time. It is long compared with the time until a candidate record is read: an append and
    // a read. While the log is slow, it is `randomDelayPerAnswer` times its answer time.
    TimeMs randomDelayMs = 200;
    double randomDelayPerAnswer = 20;
    // After a candidate was seen, no other entry campaigns for this long plus `answerTimeFactor`
    // times the slowest recent answer, twice over: for its claim and for the leader's first record.
    TimeMs candidateTimeoutMs = 400;
};

// A host's report that it cannot reach the leader of `epoch`.
struct UnreachableReport
{
    std::uint64_t epoch = 0;
    TimeMs receivedAt = 0;
};

struct Leadership
{
    LeadershipOptions options;
    bool leaderActive = false; // a leader was seen and has not resigned
    bool leaderEverSeen = false;
    TimeMs lastLeaderContact = 0; // when a leader's record was last read, or this entry last led
    TimeMs readableSince = 0; // all reads since then have succeeded; 0: the last one failed
    TimeMs roundTripMs = 0; // of the log, measured at the last campaign
    TimeMs slowestAnswerMs = 0; // slowest recent answer of the log
    std::uint64_t leaderEpoch = 0; // of the leader in contact
    double leaderShare = 0; // its cores; 0: unknown
    AnswerTimes heartbeatGaps; // times between two records of this leader
    TimeMs candidateSeenAt = 0; // when the newest record of another candidate was read; 0: never
    std::map<std::string, UnreachableReport> unreachableReports; // the last one of each host
    // Since when more hosts report the leader as unreachable than report to it; 0: not the case.
    TimeMs unreachableSince = 0;
    double randomShare = 0; // of the random delay, 0 to 1; drawn again for each campaign
};

// Records that a record of the leader of `epoch` was read, or that this entry has stopped leading.
// `resigned`: no entry leads any more as far as is known.
void recordLeaderContact(Leadership &leadership, std::uint64_t epoch, bool resigned, TimeMs now);
// Records that a record of another candidate was read.
void recordCandidate(Leadership &leadership, TimeMs now);
// Records whether a read of the log succeeded.
void recordLogRead(Leadership &leadership, bool succeeded, TimeMs now);

// Records that the agent of `host` reported the leader of `epoch` as unreachable.
void recordUnreachableReport(Leadership &leadership, const std::string &host, std::uint64_t epoch,
                             TimeMs now);

// Removes old reports, and updates `unreachableSince` from the number of recent ones and the number
// of hosts that the leader of `epoch` receives reports from.
void evaluateUnreachableReports(Leadership &leadership, std::uint64_t epoch,
                                std::uint32_t reportingToLeader, TimeMs now);

// True when it is time to raise the epoch. `now` must be later than `lastLeaderContact` and
// `readableSince`.
bool shouldCampaign(const Leadership &leadership, TimeMs now);

// Returns an epoch above `last`. Its random part makes it unlikely that entries that campaign at
// the same time choose the same epoch.
std::uint64_t nextEpoch(std::uint64_t last, Random &random);

// Time for which the log has shown no leader after which this entry campaigns.
TimeMs campaignDelayMs(const Leadership &leadership, TimeMs now);

// Sets `randomShare` to a new random value.
void drawCampaignDelay(Leadership &leadership, Random &random);

} // namespace flamingo::scheduler

#endif

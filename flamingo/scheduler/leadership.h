#ifndef FLAMINGO_SCHEDULER_LEADERSHIP_H
#define FLAMINGO_SCHEDULER_LEADERSHIP_H

// Which entry schedules. Every entry reads the job log; the leader writes to it at least every
// `keepAliveMs`. An entry that can read the log but finds nothing of a leader for `silenceMs`
// raises the epoch of the log's fence, reads the log to its end and leads from there.
//
// A leader that the log hears and the hosts do not is replaced as well: agents tell the entries
// that they do reach which leader they have lost, and an entry that hears such complaints from more
// hosts than the leader says it hears from raises the epoch after `unreachableTimeoutMs`.
//
// Two entries may do so at once: the higher epoch wins, because epochs carry a random part and the
// log accepts only the highest. A leader learns of its successor from its next append or read.

#include "flamingo/types.h"

#include <map>
#include <string>

namespace flamingo::scheduler {

struct LeadershipOptions
{
    TimeMs keepAliveMs = 300;
    TimeMs silenceMs = 1300; // several missed signs of life ...
    double answerTimeFactor = 2; // ... and the time of the append and the read of one of them
    TimeMs unreachableTimeoutMs =
        1500; // a report of an agent that a cut delayed is tried again meanwhile
    TimeMs unreachableReportMaxAgeMs = 3000; // an agent asks another entry at least this often
    TimeMs firstSilenceMs = 300; // while no leader was ever seen
    double delayPerRoundTrip = 10; // entries near the log come first ...
    TimeMs maxRoundTripDelayMs = 300;
    TimeMs randomDelayMs = 100; // ... and equally near ones one after another
};

struct Leadership
{
    LeadershipOptions options;
    bool leaderActive = false; // one was seen and has not resigned
    bool leaderEverSeen = false;
    TimeMs lastSign = 0; // of another leader
    TimeMs readableSince = 0; // reads have succeeded without a break since then; 0: they do not
    TimeMs roundTripMs = 0; // of the log's answer to the last campaign
    TimeMs answerMs = 0; // slowest recent answer of the log
    std::uint64_t unreachableEpoch = 0; // the leader that is complained of ...
    std::map<std::string, TimeMs> unreachableReports; // ... by these hosts, and when last
    TimeMs unreachableSince = 0; // they outnumber the leader's hosts since then; 0: they do not
    TimeMs extraDelayMs = 0; // random, drawn again for each campaign
};

void noteLeaderSign(Leadership &leadership, bool resigned, TimeMs now);
void noteRead(Leadership &leadership, bool succeeded, TimeMs now);

// An agent says that it cannot reach the leader of `epoch`.
void noteComplaint(Leadership &leadership, const std::string &host, std::uint64_t epoch,
                   TimeMs now);

// Compares the complaints with the number of hosts that the leader of `epoch` hears from.
void weighComplaints(Leadership &leadership, std::uint64_t epoch, std::uint32_t reportingToLeader,
                     TimeMs now);

// Is it time to raise the epoch? `now` is later than both the last sign and the begin of reading.
bool shouldCampaign(const Leadership &leadership, TimeMs now);

// An epoch above `last` that no other entry chooses.
std::uint64_t nextEpoch(std::uint64_t last, Random &random);

void drawDelay(Leadership &leadership, Random &random);

} // namespace flamingo::scheduler

#endif

#ifndef FLAMINGO_OWNER_PARTS_H
#define FLAMINGO_OWNER_PARTS_H

// Shared by owner.cc and owner_log.cc; not part of the library's interface.

#include "flamingo/owner.h"

namespace flamingo::ownerparts {

using IncarnationId = std::pair<std::string, std::uint64_t>; // agent, incarnation

// ---- owner_log.cc: records to append, and records read ----

// Saves what the log says of the key. Call it before a change of the key that is then queued.
void saveLoggedState(Owner &owner, const std::string &key);

// Queue a record of the key's present state. They return without effect when the range is not
// owned.
void queueClaim(Owner &owner, const std::string &key, OwnedKey &state, TimeMs now);
void queueSettled(Owner &owner, const std::string &key, OwnedKey &state, TimeMs now);
void queueClean(Owner &owner, std::uint32_t range, OwnedRange &owned, std::uint64_t seen,
                TimeMs now);
void queueHandover(Owner &owner, std::uint32_t range, OwnedRange &owned, TimeMs now);
void queueAnnounce(Owner &owner, TimeMs now);

// Starts an append when one is due.
void flushQueue(Owner &owner, TimeMs now, Outbox &out);
void onAppended(Owner &owner, const LogAppended &appended);
void onLogRead(Owner &owner, const LogRead &read, TimeMs now, Outbox &out);

// ---- owner.cc ----

bool mayGrantFromMemory(const Owner &owner, const OwnedRange &owned, const OwnedKey &state);
void sendGrant(Owner &owner, const std::string &key, OwnedKey &state, Outbox &out);

// Moves a key of an owned range to its next state and queues the record.
void settleKey(Owner &owner, const std::string &key, OwnedKey &state, KeyPhase phase, TimeMs now);
void setAnswer(OwnedKey &state, Verdict verdict, const Reason &reason, std::string_view answer);

// Last reply to everybody who watches the key. `releaseReadBack`: the Settled NotRun was read back.
void notifyWatchers(Owner &owner, const std::string &key, bool releaseReadBack, Outbox &out);
void notifyWatchersWrongOwner(Owner &owner, std::uint32_t range, Outbox &out);
void ackSettles(Owner &owner, const std::string &key, Outbox &out);

// ---- owner_takeover.cc ----

void becomeOwner(Owner &owner, std::uint32_t range, TimeMs now);
void stopOwning(Owner &owner, std::uint32_t range, TimeMs now, Outbox &out);
void onLateRecord(Owner &owner, const ClaimsRecord &record, TimeMs now, Outbox &out);
void onIncarnationEnded(Owner &owner, const IncarnationId &ended, TimeMs now, Outbox &out);
// An incarnation recorded as lost announced itself again; it may not know the present owner.
void onIncarnationReannounced(Owner &owner, const IncarnationId &reannounced, TimeMs now);
void onWitnessReply(Owner &owner, const WitnessReply &reply, TimeMs now, Outbox &out);
void sendWitnesses(Owner &owner, TimeMs now, Outbox &out);
void completeIfReady(Owner &owner, std::uint32_t range, OwnedRange &owned, TimeMs now);

// What a target says that it began: the same in WitnessReply and in a Settle for an unknown key.
struct ReportedAttempt
{
    std::string agent;
    std::uint64_t incarnation = 0;
    std::string attempt;
    bool finished = false;
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason;
    std::string answer;
};
void applyReportedAttempt(Owner &owner, const std::string &key, std::uint32_t range,
                          const ReportedAttempt &reported, TimeMs now, Outbox &out);

} // namespace flamingo::ownerparts

#endif

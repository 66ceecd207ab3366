#ifndef FLAMINGO_OWNER_PARTS_H
#define FLAMINGO_OWNER_PARTS_H

// Functions shared by owner.cc, owner_log.cc and owner_takeover.cc; not part of the library's
// interface.

#include "flamingo/owner.h"

namespace flamingo::ownerparts {

using IncarnationId = std::pair<std::string, std::uint64_t>; // agent, incarnation

// ---- owner_log.cc: records to append, and records read ----

// Saves the key's present state in Owner::loggedKeys if it equals the state in the log. Call it
// before each change of the key's state for which a record is queued.
void saveLoggedState(Owner &owner, const std::string &key);

// Each of these functions queues a record of the present state. queueClaim and queueSettled have no
// effect when this process does not own the key's range.
void queueClaim(Owner &owner, const std::string &key, OwnedKey &state, TimeMs now);
void queueSettled(Owner &owner, const std::string &key, OwnedKey &state, TimeMs now);
void queueClean(Owner &owner, std::uint32_t range, OwnedRange &owned, std::uint64_t seen,
                TimeMs now);
// Drops the range's lines that are not appended yet and, if this process may have granted from
// memory, queues the handover that owner_takeover.cc describes.
void queueHandover(Owner &owner, std::uint32_t range, OwnedRange &owned, TimeMs now);
void queueAnnounce(Owner &owner, TimeMs now);

// Starts an append of the queued lines when none is pending and appendIntervalMs have passed since
// the last one.
void flushQueue(Owner &owner, TimeMs now, Outbox &out);
void onAppended(Owner &owner, const LogAppended &appended);
void onLogRead(Owner &owner, const LogRead &read, TimeMs now, Outbox &out);

// ---- owner.cc ----

// True when the key may be granted before its Claim record is in the log. The comment at the head
// of owner.cc gives the conditions.
bool mayGrantFromMemory(const Owner &owner, const OwnedRange &owned, const OwnedKey &state);
void sendGrant(Owner &owner, const std::string &key, OwnedKey &state, Outbox &out);

// Sets the phase of a key of an owned range and queues its Settled record.
void settleKey(Owner &owner, const std::string &key, OwnedKey &state, KeyPhase phase, TimeMs now);
void setAnswer(OwnedKey &state, Verdict verdict, const Reason &reason, std::string_view answer);

// Sends the last KeyReply to every watcher of the key and removes the watchers. `releaseReadBack`
// states that the Settled record with verdict NotRun was read back.
void notifyWatchers(Owner &owner, const std::string &key, bool releaseReadBack, Outbox &out);
// Replies WrongOwner to the watchers of all keys of a range that this process no longer owns.
void notifyWatchersWrongOwner(Owner &owner, std::uint32_t range, Outbox &out);
// Sends SettleAck to every target that waits for the key's Settled record.
void ackSettles(Owner &owner, const std::string &key, Outbox &out);

// ---- owner_takeover.cc ----

// Called when an Epoch record that names this process was read; begins the takeover.
void becomeOwner(Owner &owner, std::uint32_t range, TimeMs now);
// Queues the handover and reverts the range's keys to their state in the log.
void stopOwning(Owner &owner, std::uint32_t range, TimeMs now, Outbox &out);
void onLateRecord(Owner &owner, const ClaimsRecord &record, TimeMs now, Outbox &out);
void onIncarnationEnded(Owner &owner, const IncarnationId &ended, TimeMs now, Outbox &out);
// An incarnation recorded as lost was announced again. It receives a Witness for each owned range,
// because it may have missed the Witness that named the present owner.
void onIncarnationReannounced(Owner &owner, const IncarnationId &reannounced, TimeMs now);
void onWitnessReply(Owner &owner, const WitnessReply &reply, TimeMs now, Outbox &out);
void sendWitnesses(Owner &owner, TimeMs now, Outbox &out);
// Completes the takeover when no incarnation blocks it or finishedRetentionMs have passed.
void completeIfReady(Owner &owner, std::uint32_t range, OwnedRange &owned, TimeMs now);

// An attempt that its target has begun, as reported in a WitnessReply, in a Settle for an unknown
// key or in the records of a former owner's handover.
struct ReportedAttempt
{
    std::string agent;
    std::uint64_t incarnation = 0;
    std::string attempt;
    bool finished = false; // the attempt has ended, with the result in the fields below
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason;
    std::string answer;
};
// Records the reported attempt as the key's holder or, if it is finished, settles the key with it.
// A Finished key keeps its state, and NotRun of an attempt that is not the holder has no effect.
void applyReportedAttempt(Owner &owner, const std::string &key, std::uint32_t range,
                          const ReportedAttempt &reported, TimeMs now, Outbox &out);

} // namespace flamingo::ownerparts

#endif

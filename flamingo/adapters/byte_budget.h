#ifndef FLAMINGO_ADAPTERS_BYTE_BUDGET_H
#define FLAMINGO_ADAPTERS_BYTE_BUDGET_H

// Accounts for the bytes that the connections of a server hold, and chooses which of them are
// closed when these exceed a limit.
//
// Load that this answers: many clients that each send a large body, whole or piece by piece, and
// stop short of its end. A connection that waits for its client yields: it may be closed. Of those
// that hold more than a small exempt amount, the one goes first whose last progress is the longest
// ago; so a crowd that has stopped gives way to what moves, and ordinary small requests are not
// closed for the bytes of others. A connection whose request is being handled does not yield,
// because its answer is owed.
//
// The functions are pure: the time is an argument, and the caller closes what they name.

#include "flamingo/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace flamingo::adapters {

struct ByteBudgetOptions
{
    std::size_t limitBytes = 0; // of all holders together; 0: no limit
    std::size_t exemptBytes = 16384; // holders of at most this are closed last
    // A holder that yields and has held bytes without progress for this long is closed, however
    // much is held in all; 0: never.
    TimeMs stalledMs = 0;
};

using HolderId = std::uint64_t;

struct ByteHolder
{
    std::size_t bytes = 0;
    TimeMs progressAt = 0; // when it last received bytes, or began to wait for its client
    bool yields = true;
};

struct ByteBudget
{
    ByteBudgetOptions options;
    std::map<HolderId, ByteHolder> holders;
    std::size_t heldBytes = 0; // of all holders
};

// Adds a holder without bytes, or starts it anew.
void addHolder(ByteBudget &budget, HolderId holder, TimeMs now);

// Sets what a holder holds. `progress`: it has received bytes. No effect on an unknown holder.
void setHeldBytes(ByteBudget &budget, HolderId holder, std::size_t bytes, bool progress,
                  TimeMs now);

// Sets whether a holder yields. Beginning to yield counts as progress.
void setYields(ByteBudget &budget, HolderId holder, bool yields, TimeMs now);

void removeHolder(ByteBudget &budget, HolderId holder);

bool isOverLimit(const ByteBudget &budget);

// Returns the holder to close while the limit is exceeded; nullopt: it is not, or none yields.
std::optional<HolderId> nextToClose(const ByteBudget &budget);

// Returns the holder that yields with the oldest progress, whatever it holds; nullopt: none yields.
std::optional<HolderId> oldestYielding(const ByteBudget &budget);

// Returns the holders that have stalled.
std::vector<HolderId> stalledHolders(const ByteBudget &budget, TimeMs now);

} // namespace flamingo::adapters

#endif

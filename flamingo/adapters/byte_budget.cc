// The sum of all holders is kept up to date with each change, so that checking the limit costs
// nothing while it holds. Only when it is exceeded are the holders searched.

#include "flamingo/adapters/byte_budget.h"

namespace flamingo::adapters {
namespace {

// The holder that yields with the oldest progress of those that are eligible.
template <typename Eligible>
std::optional<HolderId> oldest(const ByteBudget &budget, Eligible eligible)
{
    std::optional<HolderId> result;
    TimeMs progressAt = 0;
    for (const auto &[id, holder] : budget.holders) {
        if (!holder.yields || !eligible(holder) || (result && holder.progressAt >= progressAt))
            continue;
        result = id;
        progressAt = holder.progressAt;
    }
    return result;
}

} // namespace

void addHolder(ByteBudget &budget, HolderId holder, TimeMs now)
{
    removeHolder(budget, holder);
    budget.holders[holder].progressAt = now;
}

void setHeldBytes(ByteBudget &budget, HolderId holder, std::size_t bytes, bool progress, TimeMs now)
{
    const auto found = budget.holders.find(holder);
    if (found == budget.holders.end())
        return;
    budget.heldBytes += bytes - found->second.bytes;
    found->second.bytes = bytes;
    if (progress)
        found->second.progressAt = now;
}

void setYields(ByteBudget &budget, HolderId holder, bool yields, TimeMs now)
{
    const auto found = budget.holders.find(holder);
    if (found == budget.holders.end() || found->second.yields == yields)
        return;
    found->second.yields = yields;
    if (yields)
        found->second.progressAt = now;
}

void removeHolder(ByteBudget &budget, HolderId holder)
{
    const auto found = budget.holders.find(holder);
    if (found == budget.holders.end())
        return;
    budget.heldBytes -= found->second.bytes;
    budget.holders.erase(found);
}

bool isOverLimit(const ByteBudget &budget)
{
    return budget.options.limitBytes > 0 && budget.heldBytes > budget.options.limitBytes;
}

std::optional<HolderId> nextToClose(const ByteBudget &budget)
{
    if (!isOverLimit(budget))
        return std::nullopt;
    const auto large = oldest(budget, [&budget](const ByteHolder &holder) {
        return holder.bytes > budget.options.exemptBytes;
    });
    return large ? large
                 : oldest(budget, [](const ByteHolder &holder) { return holder.bytes > 0; });
}

std::optional<HolderId> oldestYielding(const ByteBudget &budget)
{
    return oldest(budget, [](const ByteHolder &) { return true; });
}

std::vector<HolderId> stalledHolders(const ByteBudget &budget, TimeMs now)
{
    std::vector<HolderId> result;
    for (const auto &[id, holder] : budget.holders) {
        if (holder.yields && holder.bytes > 0 && budget.options.stalledMs > 0
            && now - holder.progressAt >= budget.options.stalledMs)
            result.push_back(id);
    }
    return result;
}

} // namespace flamingo::adapters

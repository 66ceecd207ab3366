// A request counts from the first record of its key to the next record without a value. Records
// that repeat a request keep the time since when it is in force.

#include "flamingo/scheduler/evacuation.h"

namespace flamingo::scheduler {

bool applyEvacuationRecord(Evacuations &evacuations, std::string_view dataCentre,
                           std::string_view value, std::uint64_t offset, TimeMs now)
{
    const auto found = evacuations.find(dataCentre);
    if (value.empty()) {
        if (found == evacuations.end())
            return false;
        evacuations.erase(found);
        return true;
    }
    if (found != evacuations.end()) {
        found->second.offset = offset;
        return false;
    }
    evacuations.emplace(dataCentre, Evacuation{offset, now});
    return true;
}

bool isEvacuated(const Evacuations &evacuations, std::string_view dataCentre)
{
    return evacuations.find(dataCentre) != evacuations.end();
}

} // namespace flamingo::scheduler

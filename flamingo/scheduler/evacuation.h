#ifndef FLAMINGO_SCHEDULER_EVACUATION_H
#define FLAMINGO_SCHEDULER_EVACUATION_H

// Evacuation of data centres: operators ask that no more work is started on the workers of a data
// centre, until they withdraw the request. Runs in progress there go on.
//
// Requests are records that the operators write, one per data centre. They have to be in force a
// given time after they were stored, under any leader and while processes are cut off. Two parties
// enforce that:
//   * The leader places nothing in an evacuated data centre and withdraws the starts that its
//     workers have not confirmed.
//   * The agent beside the worker sends a start only while the leader's knowledge of the requests
//   is
//     recent (see AgentOptions::evacuationValidMs). It therefore also holds back starts that were
//     ordered by a leader that has not learned of a request, for example because it cannot reach
//     the store.
//
// The functions are pure; docs/design/evacuation.md describes the parts and their failures.

#include "flamingo/types.h"

#include <map>
#include <string>
#include <string_view>

namespace flamingo::scheduler {

struct Evacuation
{
    std::uint64_t offset = 0; // of the request's record
    TimeMs since = 0; // when this process learned of the request
};

// The requests in force, by data centre.
using Evacuations = std::map<std::string, Evacuation, std::less<>>;

// Applies one record of the operators' requests. An empty value withdraws the request; any other
// one makes it, also one that cannot be read, because its key states all that matters. Returns
// false if that changes nothing: the data centre is evacuated already, or is not.
bool applyEvacuationRecord(Evacuations &evacuations, std::string_view dataCentre,
                           std::string_view value, std::uint64_t offset, TimeMs now);

bool isEvacuated(const Evacuations &evacuations, std::string_view dataCentre);

} // namespace flamingo::scheduler

#endif

#ifndef FLAMINGO_LOOKUP_H
#define FLAMINGO_LOOKUP_H

// Questions about jobs that this entry does not have, for example after their entry was lost: first
// the agents whose reports list the job, then the other entries of the region.

#include "flamingo/entry.h"

namespace flamingo {

void startLookup(EntryContext context, std::string_view request, std::string_view job, bool wait,
                 bool cancel);
void onJobReply(EntryContext context, std::string_view from, const JobReply &reply);
void onJobQuery(EntryContext context, std::string_view from, const JobQuery &query);
void tickLookups(EntryContext context);

} // namespace flamingo

#endif

#ifndef FLAMINGO_LOOKUP_H
#define FLAMINGO_LOOKUP_H

// Lookups of jobs that this entry does not have, for example because the job was submitted to an
// entry that has failed. A lookup queries the agents whose reports list the job, and after them the
// other entries of the region.
//
// A lookup ends with one Reply. EntryOptions::maxLookups bounds the number of lookups in progress.
// The replies of the agents, and then those of the entries, are awaited for at most
// EntryOptions::replyTimeoutMs. If the request waits for the end of the job or cancels it, the
// process that has the job is polled every second. The lookup ends with the verdict MayHaveRun
// after 10 s without a reply from that process.

#include "flamingo/entry.h"

namespace flamingo {

// Looks up `job` for the request of a caller. `wait` true: the Reply has the result of the job;
// false: its state. `cancel` true: cancels the job and replies when it has ended.
void startLookup(EntryContext context, std::string_view request, std::string_view job, bool wait,
                 bool cancel);
// Handles the reply of a process to a lookup, or to the query of a forwarded job.
void onJobReply(EntryContext context, std::string_view from, const JobReply &reply);
// Replies to a process that looks up a job. Jobs that were refused on behalf of another entry are
// found only by the request with which that entry forwarded them.
void onJobQuery(EntryContext context, std::string_view from, const JobQuery &query);
// Handles the timeouts and polls of all lookups.
void tickLookups(EntryContext context);

} // namespace flamingo

#endif

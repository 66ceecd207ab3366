#ifndef FLAMINGO_ADAPTERS_JOB_JSON_H
#define FLAMINGO_ADAPTERS_JOB_JSON_H

// Parses the JSON request bodies of the entry's HTTP interface and builds its responses.

#include "flamingo/adapters/http_server.h"
#include "flamingo/messages.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace flamingo::adapters {

// A job as callers submit it: all fields of JobSpec except `job` and `checkpoint`, and "wait".
struct JobRequest
{
    JobSpec spec;
    bool wait = true;
};

// Returns nullopt and sets `reason` when the body is invalid. The reason lists unknown fields,
// wrong types and values out of range, at most 10 of them.
std::optional<JobRequest> parseJobRequest(std::string_view body, Reason &reason);

// An edit as operators submit it: {"baseVersion", "author", "wait", "change"}.
struct EditRequest
{
    std::uint64_t baseVersion = 0;
    std::string author;
    bool wait = true;
    std::string change; // JSON, input of parseTableChange
};

std::optional<EditRequest> parseEditRequest(std::string_view body, Reason &reason);

// Returns the response {"job", "verdict", "reason", "detail", "answer", "accepted"}. The status is
// 200 for a job that ran, 202 for one that is accepted and has not ended, 504 for one that may have
// run, and 4xx or 503 for one that was refused and not run.
HttpResponse replyResponse(const Reply &reply);

// Returns the response to a request that is refused before it becomes an event of the entry.
HttpResponse refusal(const Reason &reason);

} // namespace flamingo::adapters

#endif

#ifndef FLAMINGO_ADAPTERS_JOB_JSON_H
#define FLAMINGO_ADAPTERS_JOB_JSON_H

// JSON bodies of the entry's HTTP interface.

#include "flamingo/adapters/http_server.h"
#include "flamingo/messages.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace flamingo::adapters {

// A job as callers submit it: the fields of JobSpec but `job`, and "wait".
struct JobRequest
{
    JobSpec spec;
    bool wait = true;
};

// Every mistake is named in the reason: unknown fields, wrong types, values out of range.
std::optional<JobRequest> parseJobRequest(std::string_view body, Reason &reason);

// An edit as operators submit it: {"baseVersion", "author", "wait", "change"}.
struct EditRequest
{
    std::uint64_t baseVersion = 0;
    std::string author;
    bool wait = true;
    std::string change; // JSON for parseTableChange
};

std::optional<EditRequest> parseEditRequest(std::string_view body, Reason &reason);

// {"job", "verdict", "reason", "detail", "answer", "accepted"} with the status for the verdict:
// 200 ran, 202 accepted and not ended, 504 may have run, 4xx or 503 refused and not run.
HttpResponse replyResponse(const Reply &reply);

// A refusal that never reached the entry's decisions.
HttpResponse refusal(const Reason &reason);

} // namespace flamingo::adapters

#endif

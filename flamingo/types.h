#ifndef FLAMINGO_TYPES_H
#define FLAMINGO_TYPES_H

// Basic types shared by all decisions, the functions that map a process's state and an event to
// effects (see flamingo/messages.h).
//
// Decisions never read a clock or a random device. They receive the current time as `TimeMs`
// (milliseconds of the process's monotonic clock) and randomness as `Random &`, so that a run can
// be repeated from its seed.
//
// Errors: a function that can fail returns `std::optional` and writes the cause to a `Reason`.
// `Verdict` says whether a request may have run:
//   NotRun      no part of the request ran and none will
//   MayHaveRun  it cannot be excluded that the request ran or still runs
//   Ran         the request ran to its end

#include "flamingo/wire/messages_generated.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace flamingo {

using TimeMs = std::int64_t;
using Random = std::mt19937_64;

using Verdict = wire::Verdict;
using ReasonCode = wire::ReasonCode;
using JobClass = wire::JobClass;
using KeyState = wire::KeyState;
using ProcessKind = wire::ProcessKind;
using JobSpec = wire::JobSpecT;
using PeerInfo = wire::PeerInfoT;

// Why something was refused or failed: a code for programs and a text for people.
struct Reason
{
    ReasonCode code = ReasonCode::None;
    std::string text;
};

// Name of a verdict as used in HTTP bodies: "not_run", "may_have_run", "ran".
std::string_view verdictName(Verdict verdict);

// Name of a reason code as used in HTTP bodies and logs, for example "QueueFull".
std::string_view reasonName(ReasonCode code);

constexpr std::uint32_t maxAcceleratorsPerWorker = 64; // width of the bit masks in Report
constexpr std::uint32_t maxGangMembers = 512;
constexpr std::size_t maxPayloadBytes = 262144;
constexpr std::size_t maxFrameBytes = 1048576;
constexpr std::size_t maxNameBytes = 128;

} // namespace flamingo

#endif

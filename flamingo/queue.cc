// Run times are estimated by an exponentially weighted mean and variance of their logarithms,
// because declared times are wrong by factors and not by differences. A job is refused before its
// deadline only if even a run two standard deviations shorter than the mean would end after it.
//
// With a declared time, this lower bound is the declared time multiplied by the ratio of actual to
// declared times two standard deviations below its mean, clamped to a factor of 10 in both
// directions. While fewer than minRunsForEstimate runs were observed, the bound is a tenth of the
// declared time, or 0 without one.

#include "flamingo/queue.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace flamingo {
namespace {

// 50 s of waiting offset one accelerator for each unit of the organisation's weight.
constexpr double ageingPerSecond = 0.02;
constexpr double acceleratorsPerTask = 0.125; // counted per task, added to its accelerators
constexpr std::uint32_t minRunsForEstimate = 5;
constexpr double minUpdateWeight = 0.1; // least weight of a new run in the mean and variance
constexpr double declaredErrorFactor = 10; // assumed bound on the error of declared times
constexpr double maxTokens = 100; // capacity of the retry budget
constexpr double tokensPerSecond = 1; // refill of the retry budget
constexpr std::uint64_t maxDurationMs = 10ULL * 365 * 24 * 3600 * 1000; // 10 years
constexpr std::uint32_t maxCores = 65536;
constexpr std::uint32_t maxMemoryMib = 1U << 30U; // 1 PiB

// Writes the reason and returns false.
bool reject(Reason &reason, ReasonCode code, std::string text)
{
    reason.code = code;
    reason.text = std::move(text);
    return false;
}

bool validName(std::string_view field, std::string_view value, Reason &reason)
{
    if (value.size() > maxNameBytes)
        return reject(reason, ReasonCode::InvalidInput,
                      std::string(field) + ": longer than " + std::to_string(maxNameBytes)
                          + " bytes");
    const auto control = [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; };
    if (std::any_of(value.begin(), value.end(), control))
        return reject(reason, ReasonCode::InvalidInput,
                      std::string(field) + ": contains a control character");
    return true;
}

bool atMost(std::string_view field, std::uint64_t value, std::uint64_t bound, Reason &reason)
{
    if (value <= bound)
        return true;
    return reject(reason, ReasonCode::InvalidInput,
                  std::string(field) + ": " + std::to_string(value) + " is above "
                      + std::to_string(bound));
}

bool validRanges(const JobSpec &spec, Reason &reason)
{
    if (spec.members == 0)
        return reject(reason, ReasonCode::InvalidInput, "members: must be at least 1");
    if (spec.members > maxGangMembers)
        return reject(reason, ReasonCode::ImpossibleShape,
                      "members: " + std::to_string(spec.members) + " is above "
                          + std::to_string(maxGangMembers));
    if (spec.accelerators > maxAcceleratorsPerWorker)
        return reject(reason, ReasonCode::ImpossibleShape,
                      "accelerators: " + std::to_string(spec.accelerators) + " is above "
                          + std::to_string(maxAcceleratorsPerWorker));
    if (spec.jobClass > JobClass::MAX)
        return reject(reason, ReasonCode::InvalidInput, "jobClass: unknown value");
    return atMost("payload", spec.payload.size(), maxPayloadBytes, reason)
        && atMost("cores", spec.cores, maxCores, reason)
        && atMost("memoryMib", spec.memoryMib, maxMemoryMib, reason)
        && atMost("declaredMs", spec.declaredMs, maxDurationMs, reason)
        && atMost("deadlineMs", spec.deadlineMs, maxDurationMs, reason)
        && atMost("checkpoint", spec.checkpoint.size(), maxPayloadBytes, reason);
}

void updateMeanAndVariance(double value, std::uint32_t &runs, double &mean, double &variance)
{
    ++runs;
    const double weight = std::max(minUpdateWeight, 1.0 / runs);
    const double difference = value - mean;
    mean += weight * difference;
    variance = (1 - weight) * (variance + weight * difference * difference);
}

// Two standard deviations below the mean logarithm. The variance is increased by 1 / runs^2,
// because a few runs may be close together by chance.
double lowerBoundLog(std::uint32_t runs, double mean, double variance)
{
    return mean - 2 * std::sqrt(variance + 1.0 / runs / runs);
}

} // namespace

std::string_view jobStateName(JobState state)
{
    switch (state) {
    case JobState::Queued:
        return "queued";
    case JobState::Starting:
        return "starting";
    case JobState::Running:
        return "running";
    case JobState::QueryingOwner:
        return "asking_owner"; // published name; differs from the name of the enumerator
    case JobState::WaitingForRegion:
        return "waiting_for_region";
    case JobState::Forwarded:
        return "forwarded";
    case JobState::Cancelling:
        return "cancelling";
    case JobState::Finished:
        return "finished";
    }
    return "invalid";
}

void enqueue(Queue &queue, Job &job, bool front)
{
    if (job.queued)
        return;
    auto &jobs =
        queue.waitingJobs[static_cast<std::size_t>(job.spec.jobClass)][job.spec.organisation];
    job.queuePosition = jobs.insert(front ? jobs.begin() : jobs.end(), job.serial);
    job.queued = true;
    ++queue.size;
}

void dequeue(Queue &queue, Job &job)
{
    if (!job.queued)
        return;
    auto &organisations = queue.waitingJobs[static_cast<std::size_t>(job.spec.jobClass)];
    organisations.find(job.spec.organisation)->second.erase(job.queuePosition);
    job.queued = false;
    --queue.size;
}

std::uint32_t overtakeCost(JobClass started, JobClass waiting)
{
    if (started == waiting)
        return unitsPerOvertake;
    return started == JobClass::Interactive && waiting == JobClass::Batch ? 1 : 0;
}

double weightedShare(const Usage &usage, std::uint32_t weight, TimeMs waitedMs)
{
    const double used = static_cast<double>(usage.accelerators)
        + acceleratorsPerTask * static_cast<double>(usage.tasks);
    return used / std::max<std::uint32_t>(1, weight)
        - ageingPerSecond * static_cast<double>(waitedMs) / 1000;
}

void recordRunTime(RunTimeEstimates &estimates, const JobSpec &spec, TimeMs ranMs)
{
    auto &times = estimates[{spec.organisation, spec.jobClass}];
    const double actual = std::log(std::max<double>(1, static_cast<double>(ranMs)));
    updateMeanAndVariance(actual, times.runs, times.meanLog, times.varianceLog);
    if (spec.declaredMs == 0)
        return;
    updateMeanAndVariance(actual - std::log(static_cast<double>(spec.declaredMs)),
                          times.declaredRuns, times.meanLogRatio, times.varianceLogRatio);
}

TimeMs minLikelyRunMs(const RunTimeEstimates &estimates, const JobSpec &spec)
{
    const auto declared = static_cast<double>(spec.declaredMs);
    const auto found = estimates.find({spec.organisation, spec.jobClass});
    if (found == estimates.end())
        return static_cast<TimeMs>(declared / declaredErrorFactor);
    const auto &times = found->second;
    if (spec.declaredMs != 0 && times.declaredRuns >= minRunsForEstimate) {
        const double ratio =
            std::exp(lowerBoundLog(times.declaredRuns, times.meanLogRatio, times.varianceLogRatio));
        return static_cast<TimeMs>(
            declared * std::clamp(ratio, 1 / declaredErrorFactor, declaredErrorFactor));
    }
    if (spec.declaredMs == 0 && times.runs >= minRunsForEstimate)
        return static_cast<TimeMs>(
            std::exp(lowerBoundLog(times.runs, times.meanLog, times.varianceLog)));
    return static_cast<TimeMs>(declared / declaredErrorFactor);
}

bool validateSpec(const JobSpec &spec, const Table &table, Reason &reason)
{
    if (!validName("job", spec.job, reason) || !validName("key", spec.key, reason)
        || !validName("organisation", spec.organisation, reason)
        || !validName("homeRegion", spec.homeRegion, reason) || !validRanges(spec, reason))
        return false;
    if (spec.organisation.empty())
        return reject(reason, ReasonCode::InvalidInput, "organisation: missing");
    const auto organisation = table.organisations.find(spec.organisation);
    if (organisation == table.organisations.end())
        return reject(reason, ReasonCode::UnknownOrganisation,
                      "organisation: \"" + spec.organisation + "\" is not in table version "
                          + std::to_string(table.version));
    if (!spec.idempotent && spec.key.empty())
        return reject(reason, ReasonCode::InvalidInput,
                      "key: required because idempotent is false");
    const auto &row = organisation->second;
    const std::uint64_t accelerators = std::uint64_t{spec.members} * spec.accelerators;
    if (row.limitAccelerators != 0 && accelerators > row.limitAccelerators)
        return reject(reason, ReasonCode::LimitReached,
                      "members * accelerators: " + std::to_string(accelerators)
                          + " is above the organisation's limitAccelerators "
                          + std::to_string(row.limitAccelerators));
    if (row.limitSlots != 0 && spec.members > row.limitSlots)
        return reject(reason, ReasonCode::LimitReached,
                      "members: " + std::to_string(spec.members)
                          + " is above the organisation's limitSlots "
                          + std::to_string(row.limitSlots));
    return true;
}

bool withinLimits(const JobSpec &spec, const Table &table, const View &view, Reason &reason)
{
    const auto organisation = table.organisations.find(spec.organisation);
    if (organisation == table.organisations.end())
        return reject(reason, ReasonCode::UnknownOrganisation,
                      "organisation: \"" + spec.organisation + "\" was removed from the table");
    const auto &row = organisation->second;
    const auto usage = usageOf(view, spec.organisation);
    const auto accelerators =
        usage.accelerators + static_cast<std::int64_t>(spec.members) * spec.accelerators;
    if (row.limitAccelerators != 0 && accelerators > row.limitAccelerators)
        return reject(reason, ReasonCode::LimitReached,
                      "limitAccelerators: " + std::to_string(usage.accelerators) + " of "
                          + std::to_string(row.limitAccelerators) + " are in use");
    if (row.limitSlots != 0 && usage.tasks + spec.members > row.limitSlots)
        return reject(reason, ReasonCode::LimitReached,
                      "limitSlots: " + std::to_string(usage.tasks) + " of "
                          + std::to_string(row.limitSlots) + " are in use");
    return true;
}

std::uint64_t hashSpec(const JobSpec &spec)
{
    std::string text;
    const auto add = [&text](std::string_view part) {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    };
    add(spec.key);
    add(spec.organisation);
    add(spec.homeRegion);
    add(spec.payload);
    for (const std::uint64_t value :
         {std::uint64_t{static_cast<std::uint8_t>(spec.jobClass)}, std::uint64_t{spec.idempotent},
          std::uint64_t{spec.checkpointable}, std::uint64_t{spec.anyRegion},
          std::uint64_t{spec.members}, std::uint64_t{spec.accelerators}, std::uint64_t{spec.cores},
          std::uint64_t{spec.memoryMib}})
        add(std::to_string(value));
    return std::hash<std::string>{}(text);
}

void addRetryTokens(RetryBudget &budget, double tokens)
{
    budget.tokens = std::min(maxTokens, budget.tokens + tokens);
}

void refillRetryBudget(RetryBudget &budget, TimeMs now)
{
    if (budget.refilledAt != 0)
        addRetryTokens(budget,
                       tokensPerSecond * static_cast<double>(now - budget.refilledAt) / 1000);
    budget.refilledAt = now;
}

bool takeRetryToken(RetryBudget &budget)
{
    if (budget.tokens < 1)
        return false;
    budget.tokens -= 1;
    return true;
}

} // namespace flamingo

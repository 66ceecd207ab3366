// Task numbering and names, validation, and the calculations over the steps of one job. Steps
// depend on earlier steps only (see validate()), so one pass in their order visits dependencies
// first.

#include "flamingo/scheduler/job.h"

#include "flamingo/scheduler/limits.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace flamingo::scheduler {
namespace {

constexpr std::uint32_t maxSteps = 1000;
constexpr std::uint64_t maxTasks =
    2500; // of one job; keeps its progress within the size of one log record

Reason invalidJob(std::string text)
{
    return {ReasonCode::InvalidInput, std::move(text)};
}

bool inRange(std::int64_t value, std::int64_t max)
{
    return value >= 0 && value <= max;
}

} // namespace

bool fits(const Resources &need, const Resources &available)
{
    const auto covers = [](std::int64_t part, std::int64_t total) {
        return part == 0 || part <= total;
    };
    return covers(need.cpuMilli, available.cpuMilli) && covers(need.memoryMb, available.memoryMb)
        && covers(need.accelerators, available.accelerators);
}

Resources &operator+=(Resources &left, const Resources &right)
{
    left.cpuMilli += right.cpuMilli;
    left.memoryMb += right.memoryMb;
    left.accelerators += right.accelerators;
    return left;
}

Resources &operator-=(Resources &left, const Resources &right)
{
    left.cpuMilli -= right.cpuMilli;
    left.memoryMb -= right.memoryMb;
    left.accelerators -= right.accelerators;
    return left;
}

std::uint32_t occurrences(const Job &job)
{
    return std::max<std::uint32_t>(job.repeatCount, 1);
}

std::uint32_t tasksPerOccurrence(const Job &job)
{
    std::uint32_t result = 0;
    for (const Step &step : job.steps)
        result += step.count;
    return result;
}

std::size_t taskCount(const Job &job)
{
    return std::size_t(occurrences(job)) * tasksPerOccurrence(job);
}

std::optional<std::size_t> taskNumber(const Job &job, const TaskPosition &position)
{
    if (position.occurrence >= occurrences(job) || position.step >= job.steps.size()
        || position.index >= job.steps[position.step].count)
        return std::nullopt;
    std::size_t result = std::size_t(position.occurrence) * tasksPerOccurrence(job);
    for (std::uint32_t step = 0; step < position.step; ++step)
        result += job.steps[step].count;
    return result + position.index;
}

TaskPosition taskPosition(const Job &job, std::size_t number)
{
    const std::uint32_t perOccurrence = tasksPerOccurrence(job);
    TaskPosition result;
    result.occurrence = static_cast<std::uint32_t>(number / perOccurrence);
    auto rest = static_cast<std::uint32_t>(number % perOccurrence);
    while (rest >= job.steps[result.step].count)
        rest -= job.steps[result.step++].count;
    result.index = rest;
    return result;
}

std::string taskName(const Job &job, const TaskPosition &position)
{
    return job.id + "." + std::to_string(position.occurrence) + "." + std::to_string(position.step)
        + "." + std::to_string(position.index);
}

std::optional<ParsedTaskName> parseTaskName(std::string_view name)
{
    ParsedTaskName result;
    const auto first = name.find('.');
    if (first == std::string_view::npos)
        return std::nullopt;
    result.jobId = std::string(name.substr(0, first));
    std::string_view rest = name.substr(first);
    const std::array<std::uint32_t *, 3> fields = {&result.position.occurrence,
                                                   &result.position.step, &result.position.index};
    for (std::uint32_t *field : fields) {
        if (rest.empty() || rest.front() != '.')
            return std::nullopt;
        rest.remove_prefix(1);
        const auto parsed = std::from_chars(rest.data(), rest.data() + rest.size(), *field);
        if (parsed.ec != std::errc())
            return std::nullopt;
        rest.remove_prefix(static_cast<std::size_t>(parsed.ptr - rest.data()));
    }
    if (!rest.empty())
        return std::nullopt;
    return result;
}

std::optional<Reason> validate(const Job &job)
{
    if (job.steps.empty() || job.steps.size() > maxSteps)
        return invalidJob("a job must have 1 to " + std::to_string(maxSteps) + " steps");
    if (!inRange(job.intervalMs, maxMilliseconds))
        return invalidJob("the interval is negative or too large");
    if (job.firstRunUnixMs > std::uint64_t(maxMilliseconds)
        || job.acceptedUnixMs > std::uint64_t(maxMilliseconds))
        return invalidJob("the time of the first run or of the acceptance is too large");
    if (!inRange(job.targetLatencyMs, maxMilliseconds) || !(job.stretch >= 0)
        || job.stretch > maxStretch)
        return invalidJob("the target latency or the stretch is negative or too large");
    std::uint64_t tasks = 0;
    TimeMs estimateSumMs = 0;
    for (std::uint32_t step = 0; step < job.steps.size(); ++step) {
        const Step &checked = job.steps[step];
        if (checked.count == 0)
            return invalidJob("step " + std::to_string(step) + " has no tasks");
        const Resources &need = checked.need;
        if (!inRange(need.cpuMilli, maxResourceAmount) || !inRange(need.memoryMb, maxResourceAmount)
            || !inRange(need.accelerators, maxResourceAmount))
            return invalidJob("step " + std::to_string(step)
                              + " needs an amount that is negative or too large");
        if (!inRange(checked.estimateMs, maxEstimateSumMs - estimateSumMs))
            return invalidJob("the estimate of step " + std::to_string(step)
                              + " is negative or too large");
        estimateSumMs += checked.estimateMs;
        tasks += checked.count;
        for (const std::uint32_t dependency : checked.after) {
            if (dependency >= step)
                return invalidJob("step " + std::to_string(step) + " depends on step "
                                  + std::to_string(dependency) + ", which is not an earlier step");
        }
    }
    // Compared before they are multiplied, because the product may not fit into 64 bits.
    if (tasks > maxTasks || tasks * occurrences(job) > maxTasks)
        return invalidJob("a job may have at most " + std::to_string(maxTasks) + " tasks");
    return std::nullopt;
}

bool isJobOf(const Job &job, const Caller &caller)
{
    return job.queue == caller.queue
        && (caller.anyOrganisation || job.organisation.empty()
            || job.organisation == caller.organisation);
}

bool haveSameOwner(const Job &job, const Job &other)
{
    return isJobOf(job, {other.queue, other.organisation, other.organisation.empty()});
}

TimeMs longestChainMs(const Job &job)
{
    std::vector<TimeMs> stepEndMs(job.steps.size(), 0);
    TimeMs longest = 0;
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        TimeMs startMs = 0;
        for (const std::uint32_t dependency : job.steps[step].after)
            startMs = std::max(startMs, stepEndMs[dependency]);
        stepEndMs[step] = startMs + job.steps[step].estimateMs;
        longest = std::max(longest, stepEndMs[step]);
    }
    return longest;
}

bool dependenciesDone(const Job &job, const JobProgress &progress, std::uint32_t occurrence,
                      std::uint32_t step)
{
    for (const std::uint32_t dependency : job.steps[step].after) {
        const auto first = taskNumber(job, {occurrence, dependency, 0});
        for (std::size_t i = 0; i < job.steps[dependency].count; ++i) {
            if (progress.tasks[*first + i].phase != TaskPhase::Done)
                return false;
        }
    }
    return true;
}

std::uint64_t dueUnixMs(const Job &job, std::uint32_t occurrence)
{
    if (job.repeatCount == 0)
        return 0;
    return job.firstRunUnixMs
        + std::uint64_t(occurrence) * static_cast<std::uint64_t>(job.intervalMs);
}

} // namespace flamingo::scheduler

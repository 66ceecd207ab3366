// Each finished step is one observation of weight 1 of its kind and of its queue. Before it is
// added, all former ones are decayed. Both predictors are normal distributions of the logarithm of
// the run time; their means are combined with the inverse of their variances as weights:
//
//   history   mean of log(run)
//   estimate  log(estimate) + mean of log(run / estimate)
//
// The variances include a prior, so a predictor that was right a few times by chance does not
// outweigh the other. The expectation is a median: a few runs that take seven times as long hardly
// change it. They show in the histogram, which gives the remaining time of a run by its age.

#include "flamingo/scheduler/run_times.h"

#include "flamingo/json_object_reader.h"
#include "flamingo/json_text.h"
#include "flamingo/scheduler/limits.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace flamingo::scheduler {
namespace {

using Json = nlohmann::json;

constexpr double bucketsPerDoubling = 4;
constexpr std::int64_t recordVersion = 1;
constexpr double maxLog = 64; // of any run time or ratio, also squared, in a record
constexpr double maxWeight = 1e6;
// The remaining time of a run that is older than all known ones, as a share of its age.
constexpr double remainingBeyondKnown = 0.5;

std::string queueKey(const Job &job, std::uint32_t step)
{
    return job.queue + "/" + std::to_string(step);
}

std::string kindKey(const Job &job, std::uint32_t step)
{
    const Step &described = job.steps[step];
    return queueKey(job, step) + "/" + std::to_string(described.need.accelerators) + "/"
        + std::to_string(described.need.cpuMilli) + (described.gang ? "/g" : "/");
}

// Statistics that describe the step best; nullptr: there are too few runs.
const RunTimeKind *findKind(const RunTimes &times, const Job &job, std::uint32_t step)
{
    if (!times.options.enabled)
        return nullptr;
    const auto kind = times.kinds.find(kindKey(job, step));
    if (kind != times.kinds.end() && kind->second.weight >= times.options.kindWeight)
        return &kind->second;
    const auto queue = times.kinds.find(queueKey(job, step));
    return queue != times.kinds.end() && queue->second.weight >= times.options.minWeight
        ? &queue->second
        : nullptr;
}

double meanOf(const LogMoments &moments, double weight)
{
    return moments.sum / weight;
}

// Variance of a predictor's error, with the prior.
double errorVariance(const RunTimeOptions &options, const LogMoments &moments, double weight)
{
    const double mean = meanOf(moments, weight);
    const double spread = std::max(0.0, moments.squareSum - weight * mean * mean);
    const double prior = options.priorError * options.priorError * options.priorWeight;
    return (spread + prior) / (weight + options.priorWeight);
}

double expectedLog(const RunTimeOptions &options, const RunTimeKind &kind, TimeMs estimateMs)
{
    const double history = meanOf(kind.runs, kind.weight);
    const double historyVariance = errorVariance(options, kind.runs, kind.weight);
    if (estimateMs <= 0)
        return history;
    const double range = options.clampDeviations * std::sqrt(historyVariance);
    const double estimate =
        std::clamp(std::log(double(estimateMs)) + meanOf(kind.biases, kind.weight), history - range,
                   history + range);
    const double estimateVariance = errorVariance(options, kind.biases, kind.weight);
    return (history * estimateVariance + estimate * historyVariance)
        / (historyVariance + estimateVariance);
}

// Median by the kind's statistics, in ms; within the range of estimates, whatever a record
// contained.
double expectedMsOf(const RunTimes &times, const RunTimeKind &kind, TimeMs estimateMs)
{
    return std::clamp(std::exp(expectedLog(times.options, kind, estimateMs)), 1.0,
                      double(maxEstimateSumMs));
}

std::size_t bucketOf(double ratio)
{
    const double position = std::log2(ratio) * bucketsPerDoubling + double(runTimeBuckets) / 2;
    return static_cast<std::size_t>(std::clamp(position, 0.0, double(runTimeBuckets) - 1));
}

// Ratio in the middle of a bucket.
double ratioOf(std::size_t bucket)
{
    return std::exp2((double(bucket) + 0.5 - double(runTimeBuckets) / 2) / bucketsPerDoubling);
}

// Ratio to the expected time within which `highQuantile` of the runs ended; at least 1.
double highRatio(const RunTimeOptions &options, const RunTimeKind &kind)
{
    double total = 0;
    for (const double count : kind.ratios)
        total += count;
    double passed = 0;
    for (std::size_t i = 0; i < runTimeBuckets; ++i) {
        passed += kind.ratios[i];
        if (passed >= options.highQuantile * total)
            return std::max(1.0, ratioOf(i));
    }
    return 1;
}

void addTo(LogMoments &moments, double value, double weight)
{
    moments.sum += weight * value;
    moments.squareSum += weight * value * value;
}

void scale(LogMoments &moments, double factor)
{
    moments.sum *= factor;
    moments.squareSum *= factor;
}

void addObservation(RunTimes &times, const std::string &key, TimeMs estimateMs, TimeMs ms,
                    TimeMs expectedMs, double weight)
{
    RunTimeKind &kind = times.kinds[key];
    const double factor = std::pow(times.options.decay, weight);
    kind.weight = kind.weight * factor + weight;
    scale(kind.runs, factor);
    scale(kind.biases, factor);
    for (double &count : kind.ratios)
        count *= factor;
    const double logMs = std::log(double(ms));
    addTo(kind.runs, logMs, weight);
    addTo(kind.biases, logMs - std::log(double(std::max<TimeMs>(estimateMs, 1))), weight);
    kind.ratios[bucketOf(double(ms) / double(expectedMs))] += weight;
    kind.updated = times.updates;
}

void dropOldestKinds(RunTimes &times)
{
    while (times.kinds.size() > times.options.maxKinds) {
        times.kinds.erase(std::min_element(
            times.kinds.begin(), times.kinds.end(),
            [](const auto &a, const auto &b) { return a.second.updated < b.second.updated; }));
    }
}

void record(RunTimes &times, const Job &job, std::uint32_t step, TimeMs ms)
{
    const Step &finished = job.steps[step];
    const TimeMs expectedMs = std::max<TimeMs>(1, expectedRunTime(times, job, step).ms);
    const double weight = finished.gang ? 1 : 1 / double(finished.count);
    ++times.updates;
    addObservation(times, kindKey(job, step), finished.estimateMs, ms, expectedMs, weight);
    addObservation(times, queueKey(job, step), finished.estimateMs, ms, expectedMs, weight);
    dropOldestKinds(times);
}

// Rounds a number in a record, so that it is short.
double rounded(double value)
{
    return std::round(value * 1000) / 1000;
}

bool readKind(const Json &json, std::pair<std::string, RunTimeKind> &target, Reason &reason)
{
    auto &[key, kind] = target;
    JsonObjectReader reader(json, reason);
    reader.require({"key", "weight"});
    reader.text("key", key);
    reader.real("weight", 0, maxWeight, kind.weight);
    reader.real("runs", -maxLog * maxWeight, maxLog * maxWeight, kind.runs.sum);
    reader.real("runSquares", 0, maxLog * maxLog * maxWeight, kind.runs.squareSum);
    reader.real("biases", -maxLog * maxWeight, maxLog * maxWeight, kind.biases.sum);
    reader.real("biasSquares", 0, maxLog * maxLog * maxWeight, kind.biases.squareSum);
    reader.value("ratios", kind.ratios, [](const Json &values, auto &ratios, Reason &problem) {
        bool valid = values.is_array() && values.size() <= runTimeBuckets;
        for (std::size_t i = 0; valid && i < values.size(); ++i) {
            valid = values[i].is_number();
            ratios[i] = valid ? std::clamp(values[i].template get<double>(), 0.0, maxWeight) : 0;
        }
        if (!valid)
            problem = {ReasonCode::InvalidInput, "not a list of numbers"};
        return valid;
    });
    if (reader.valid() && kind.weight <= 0)
        reader.refuse("a kind without weight");
    return reader.valid();
}

Json kindJson(const std::string &key, const RunTimeKind &kind)
{
    Json ratios = Json::array();
    for (const double count : kind.ratios)
        ratios.push_back(rounded(count));
    return {{"key", key},
            {"weight", rounded(kind.weight)},
            {"runs", rounded(kind.runs.sum)},
            {"runSquares", rounded(kind.runs.squareSum)},
            {"biases", rounded(kind.biases.sum)},
            {"biasSquares", rounded(kind.biases.squareSum)},
            {"ratios", ratios}};
}

} // namespace

ExpectedRunTime expectedRunTime(const RunTimes &times, const Job &job, std::uint32_t step)
{
    const TimeMs estimateMs = job.steps[step].estimateMs;
    const RunTimeKind *kind = findKind(times, job, step);
    if (kind == nullptr || job.steps[step].longRunning)
        return {estimateMs, estimateMs, false, 0};
    const double ms = expectedMsOf(times, *kind, estimateMs);
    const double highMs = std::min(ms * highRatio(times.options, *kind), double(maxEstimateSumMs));
    return {static_cast<TimeMs>(ms), static_cast<TimeMs>(highMs), true, kind->weight};
}

TimeMs expectedChainMs(const RunTimes &times, const Job &job)
{
    Job expected;
    expected.steps = job.steps;
    for (std::uint32_t i = 0; i < job.steps.size(); ++i)
        expected.steps[i].estimateMs = expectedRunTime(times, job, i).ms;
    return std::min(longestChainMs(expected), maxEstimateSumMs);
}

std::optional<TimeMs> expectedRemainingMs(const RunTimes &times, const Job &job, std::uint32_t step,
                                          TimeMs ageMs)
{
    const RunTimeKind *kind = findKind(times, job, step);
    if (kind == nullptr || job.steps[step].longRunning)
        return std::nullopt;
    const double expectedMs = expectedMsOf(times, *kind, job.steps[step].estimateMs);
    const double age = double(std::max<TimeMs>(ageMs, 0)) / expectedMs;
    double left = 0;
    for (std::size_t i = 0; i < runTimeBuckets; ++i)
        left += ratioOf(i) > age ? kind->ratios[i] : 0;
    double passed = 0;
    for (std::size_t i = 0; i < runTimeBuckets; ++i) {
        if (ratioOf(i) <= age)
            continue;
        passed += kind->ratios[i];
        if (left > 0 && passed >= left / 2)
            return static_cast<TimeMs>((ratioOf(i) - age) * expectedMs);
    }
    return static_cast<TimeMs>(remainingBeyondKnown * double(ageMs));
}

void recordFinishedRun(RunTimes &times, const Job &job, std::uint32_t step, TimeMs ms)
{
    const TimeMs runMs = std::max<TimeMs>(ms, 1);
    const auto error = [runMs](TimeMs expectedMs) {
        return std::abs(std::log2(double(runMs) / double(std::max<TimeMs>(expectedMs, 1))));
    };
    const ExpectedRunTime expected = expectedRunTime(times, job, step);
    if (expected.learned) {
        times.estimateErrorSum += error(job.steps[step].estimateMs);
        times.expectationErrorSum += error(expected.ms);
        times.errorWeight += 1;
    }
    record(times, job, step, runMs);
}

void recordUnfinishedRun(RunTimes &times, const Job &job, std::uint32_t step, TimeMs ms)
{
    if (ms <= expectedRunTime(times, job, step).ms)
        return;
    // What is known of the kind says how much longer it would have run.
    const TimeMs leftMs = expectedRemainingMs(times, job, step, ms).value_or(0);
    record(times, job, step, ms + leftMs);
}

std::optional<std::string> takeRunTimesRecord(RunTimes &times, TimeMs now)
{
    if (!times.options.enabled || times.updates == times.storedUpdates
        || (times.storedAt && now - *times.storedAt < times.options.storeEveryMs))
        return std::nullopt;
    times.storedAt = now;
    times.storedUpdates = times.updates;
    std::vector<std::pair<std::uint64_t, std::string_view>> newest;
    newest.reserve(times.kinds.size());
    for (const auto &[key, kind] : times.kinds)
        newest.emplace_back(kind.updated, key);
    std::sort(newest.rbegin(), newest.rend());
    newest.resize(std::min(newest.size(), times.options.maxStoredKinds));
    Json kinds = Json::array();
    for (const auto &[updated, key] : newest)
        kinds.push_back(kindJson(std::string(key), times.kinds.find(key)->second));
    return jsonText(Json{{"version", recordVersion}, {"kinds", kinds}});
}

bool applyRunTimesRecord(RunTimes &times, std::string_view value, Reason &reason)
{
    const auto json = parseJson(value, reason);
    if (!json)
        return false;
    std::int64_t version = 0;
    std::vector<std::pair<std::string, RunTimeKind>> kinds;
    JsonObjectReader reader(*json, reason);
    reader.require({"version", "kinds"});
    reader.integer("version", 1, maxCounter, version);
    if (reader.valid() && version > recordVersion)
        reader.refuse("version " + std::to_string(version) + " is later than "
                      + std::to_string(recordVersion));
    reader.list("kinds", kinds, readKind);
    if (!reader.valid())
        return false;
    times.kinds.clear();
    // The record begins with the kind that was updated last.
    times.updates = kinds.size();
    times.storedUpdates = times.updates;
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        kinds[i].second.updated = kinds.size() - i;
        times.kinds.insert(std::move(kinds[i]));
    }
    dropOldestKinds(times);
    return true;
}

} // namespace flamingo::scheduler

// Metric families are created on first use and looked up by name; within a family prometheus-cpp
// returns the same metric for the same labels.

#include "flamingo/adapters/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace flamingo::adapters {
namespace {

// Upper bounds of the buckets in seconds. 3.3 (start of urgent work) and 6 (table edit in force)
// are service-level targets, so that a histogram shows how many durations met them.
const prometheus::Histogram::BucketBoundaries durationBuckets = {
    0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.3, 6.0, 30.0, 300.0, 3600.0};

template <typename Families, typename Build>
auto &findOrCreateFamily(Families &families, std::string_view name, Build build)
{
    const auto found = families.find(name);
    if (found != families.end())
        return *found->second;
    return *families.emplace(std::string(name), &build()).first->second;
}

} // namespace

Metrics::Metrics() = default;

prometheus::Counter &Metrics::counter(std::string_view name, std::string_view help,
                                      const Labels &labels)
{
    auto &family = findOrCreateFamily(
        this->counters, name, [&]() -> auto & {
            return prometheus::BuildCounter()
                .Name(std::string(name))
                .Help(std::string(help))
                .Register(this->registry);
        });
    return family.Add(labels);
}

void Metrics::incrementCounter(std::string_view name, std::string_view help, double amount,
                               const Labels &labels)
{
    this->counter(name, help, labels).Increment(amount);
}

void Metrics::raiseCounterTo(std::string_view name, std::string_view help, double total,
                             const Labels &labels)
{
    auto &counter = this->counter(name, help, labels);
    if (total > counter.Value())
        counter.Increment(total - counter.Value());
}

void Metrics::setGauge(std::string_view name, std::string_view help, double value,
                       const Labels &labels)
{
    auto &family = findOrCreateFamily(
        this->gauges, name, [&]() -> auto & {
            return prometheus::BuildGauge()
                .Name(std::string(name))
                .Help(std::string(help))
                .Register(this->registry);
        });
    family.Add(labels).Set(value);
}

void Metrics::observeDuration(std::string_view name, std::string_view help, double seconds,
                              const Labels &labels)
{
    auto &family = findOrCreateFamily(
        this->histograms, name, [&]() -> auto & {
            return prometheus::BuildHistogram()
                .Name(std::string(name))
                .Help(std::string(help))
                .Register(this->registry);
        });
    family.Add(labels, durationBuckets).Observe(seconds);
}

std::string Metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

} // namespace flamingo::adapters

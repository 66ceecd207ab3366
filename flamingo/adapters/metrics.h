#ifndef FLAMINGO_ADAPTERS_METRICS_H
#define FLAMINGO_ADAPTERS_METRICS_H

// Metrics of a daemon in the Prometheus text format, built with prometheus-cpp. Names follow the
// convention flamingo_<what>_<unit>; names of counters end in _total. A metric is
// created on first use.

#include <prometheus/registry.h>

#include <map>
#include <string>
#include <string_view>

namespace flamingo::adapters {

class Metrics
{
public:
    using Labels = std::map<std::string, std::string>;

    Metrics();

    // Adds `amount` to a counter.
    void incrementCounter(std::string_view name, std::string_view help, double amount,
                          const Labels &labels = {});

    // Sets a gauge.
    void setGauge(std::string_view name, std::string_view help, double value,
                  const Labels &labels = {});

    // Raises a counter to a total that is kept elsewhere; a lower total has no effect.
    void raiseCounterTo(std::string_view name, std::string_view help, double total,
                        const Labels &labels = {});

    // Adds a duration to a histogram.
    void observeDuration(std::string_view name, std::string_view help, double seconds,
                         const Labels &labels = {});

    // Returns all metrics in the Prometheus text format.
    std::string serialize() const;

private:
    prometheus::Counter &counter(std::string_view name, std::string_view help,
                                 const Labels &labels);

    prometheus::Registry registry;
    std::map<std::string, prometheus::Family<prometheus::Counter> *, std::less<>> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *, std::less<>> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram> *, std::less<>> histograms;
};

} // namespace flamingo::adapters

#endif

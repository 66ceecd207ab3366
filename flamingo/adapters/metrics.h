#ifndef FLAMINGO_ADAPTERS_METRICS_H
#define FLAMINGO_ADAPTERS_METRICS_H

// Metrics of a daemon in the Prometheus text format, built with prometheus-cpp. Names follow the
// convention flamingo_<what>_<unit>, counters end in _total.

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

    void add(std::string_view name, std::string_view help, double amount,
             const Labels &labels = {});
    void set(std::string_view name, std::string_view help, double value, const Labels &labels = {});

    // Raises a counter to a total that is kept elsewhere; lower totals change nothing.
    void raiseCounterTo(std::string_view name, std::string_view help, double total,
                        const Labels &labels = {});

    // Observes a duration in seconds in a histogram.
    void observe(std::string_view name, std::string_view help, double seconds,
                 const Labels &labels = {});

    std::string text() const;

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

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace hickorymount::metrics {

namespace detail {
class distribution;
}

/// Counters, gauges and distributions by name and labels. Safe to use from any thread.
class metric_registry
{
public:
    metric_registry();
    metric_registry(const metric_registry&) = delete;
    metric_registry& operator=(const metric_registry&) = delete;
    ~metric_registry();

    /// Adds to a counter. `labels` is made by `metrics::labels`, or empty.
    void count(const std::string& name, const std::string& labels, std::uint64_t increment = 1);

    /// Sets a gauge.
    void set(const std::string& name, const std::string& labels, double value);

    /// Adds an observation in milliseconds to a distribution.
    void observe_ms(const std::string& name, const std::string& labels, double value);

    /// Returns all metrics in the text exposition format.
    [[nodiscard]] std::string exposition() const;

private:
    using key = std::pair<std::string, std::string>;

    mutable std::mutex m_mutex;
    std::map<key, std::uint64_t> m_counters;
    std::map<key, double> m_gauges;
    std::map<key, std::unique_ptr<detail::distribution>> m_distributions;
};

} // namespace hickorymount::metrics

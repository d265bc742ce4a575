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

/// Counters, gauges and distributions by name and labels. Safe from any thread.
class metric_registry
{
public:
    metric_registry();
    metric_registry(const metric_registry&) = delete;
    metric_registry& operator=(const metric_registry&) = delete;
    ~metric_registry();

    /// Adds to a counter. `labels` is in exposition form, such as `class="booking"`, or empty.
    void count(const std::string& name, const std::string& labels, std::uint64_t by = 1);

    void set(const std::string& name, const std::string& labels, double value);

    /// Adds one observation to a histogram, in milliseconds.
    void observe_ms(const std::string& name, const std::string& labels, double value);

    /// All metrics in the text exposition format.
    [[nodiscard]] std::string exposition() const;

private:
    using key = std::pair<std::string, std::string>;

    mutable std::mutex m_mutex;
    std::map<key, std::uint64_t> m_counters;
    std::map<key, double> m_gauges;
    std::map<key, std::unique_ptr<detail::distribution>> m_distributions;
};

} // namespace hickorymount::metrics

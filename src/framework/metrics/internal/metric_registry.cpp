#include "metrics/metric_registry.h"

#include "metrics/internal/distribution.h"

#include <set>

#include <fmt/format.h>

namespace hickorymount::metrics {

namespace {

/// Returns the TYPE line at the first use of a metric name, and an empty string afterwards.
class type_line_formatter
{
public:
    std::string line(const std::string& name, const char* type)
    {
        return m_formatted_names.insert(name).second ? fmt::format("# TYPE {} {}\n", name, type)
                                                     : std::string();
    }

private:
    std::set<std::string> m_formatted_names;
};

std::string series_name(const std::string& name, const std::string& labels)
{
    return labels.empty() ? name : fmt::format("{}{{{}}}", name, labels);
}

} // namespace

metric_registry::metric_registry() = default;
metric_registry::~metric_registry() = default;

void metric_registry::count(const std::string& name, const std::string& labels, std::uint64_t increment)
{
    const std::lock_guard lock(m_mutex);
    m_counters[{name, labels}] += increment;
}

void metric_registry::set(const std::string& name, const std::string& labels, double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[{name, labels}] = value;
}

void metric_registry::observe_ms(const std::string& name, const std::string& labels, double value)
{
    const std::lock_guard lock(m_mutex);
    auto& series = m_distributions[{name, labels}];
    if (series == nullptr) {
        series = std::make_unique<detail::distribution>();
    }
    series->add(value);
}

std::string metric_registry::exposition() const
{
    const std::lock_guard lock(m_mutex);
    type_line_formatter types;
    std::string text;
    for (const auto& [series, value] : m_counters) {
        text += types.line(series.first, "counter") +
                fmt::format("{} {}\n", series_name(series.first, series.second), value);
    }
    for (const auto& [series, value] : m_gauges) {
        text += types.line(series.first, "gauge") +
                fmt::format("{} {}\n", series_name(series.first, series.second), value);
    }
    for (const auto& [series, value] : m_distributions) {
        text += types.line(series.first, "histogram") + value->exposition(series.first, series.second);
    }
    return text;
}

} // namespace hickorymount::metrics

#include "metrics/metric_registry.h"

#include "metrics/internal/distribution.h"

#include <set>

#include <fmt/format.h>

namespace hickorymount::metrics {

namespace {

/// Writes the TYPE line where a name appears for the first time.
class type_lines
{
public:
    std::string line(const std::string& name, const char* type)
    {
        return m_seen.insert(name).second ? fmt::format("# TYPE {} {}\n", name, type) : std::string();
    }

private:
    std::set<std::string> m_seen;
};

std::string sample(const std::string& name, const std::string& labels)
{
    return labels.empty() ? name : fmt::format("{}{{{}}}", name, labels);
}

} // namespace

metric_registry::metric_registry() = default;
metric_registry::~metric_registry() = default;

void metric_registry::count(const std::string& name, const std::string& labels, std::uint64_t by)
{
    const std::lock_guard lock(m_mutex);
    m_counters[{name, labels}] += by;
}

void metric_registry::set(const std::string& name, const std::string& labels, double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[{name, labels}] = value;
}

void metric_registry::observe_ms(const std::string& name, const std::string& labels, double value)
{
    const std::lock_guard lock(m_mutex);
    auto& known = m_distributions[{name, labels}];
    if (known == nullptr) {
        known = std::make_unique<detail::distribution>();
    }
    known->add(value);
}

std::string metric_registry::exposition() const
{
    const std::lock_guard lock(m_mutex);
    type_lines types;
    std::string text;
    for (const auto& [id, value] : m_counters) {
        text += types.line(id.first, "counter") + fmt::format("{} {}\n", sample(id.first, id.second), value);
    }
    for (const auto& [id, value] : m_gauges) {
        text += types.line(id.first, "gauge") + fmt::format("{} {}\n", sample(id.first, id.second), value);
    }
    for (const auto& [id, value] : m_distributions) {
        text += types.line(id.first, "histogram") + value->exposition(id.first, id.second);
    }
    return text;
}

} // namespace hickorymount::metrics

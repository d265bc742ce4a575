#include "metrics/internal/distribution.h"

#include <fmt/format.h>

namespace hickorymount::metrics::detail {

namespace {

namespace accumulators = boost::accumulators;

std::string join_labels(const std::string& labels, const std::string& added_label)
{
    return labels.empty() ? added_label : labels + "," + added_label;
}

} // namespace

distribution::distribution() : m_values(accumulators::extended_p_square_probabilities = quantiles) {}

void distribution::add(double value)
{
    m_values(value);
    for (std::size_t index = 0; index < buckets_ms.size(); ++index) {
        m_bucket_counts[index] += value <= buckets_ms[index] ? 1 : 0;
    }
}

std::string distribution::exposition(const std::string& name, const std::string& labels) const
{
    std::string text;
    const std::size_t count = accumulators::count(m_values);
    for (std::size_t index = 0; index < buckets_ms.size(); ++index) {
        text += fmt::format("{}_bucket{{{}}} {}\n", name,
                            join_labels(labels, fmt::format("le=\"{}\"", buckets_ms[index])),
                            m_bucket_counts[index]);
    }
    text += fmt::format("{}_bucket{{{}}} {}\n", name, join_labels(labels, "le=\"+Inf\""), count);
    text += fmt::format("{}_sum{{{}}} {}\n{}_count{{{}}} {}\n", name, labels, accumulators::sum(m_values),
                        name, labels, count);
    for (std::size_t index = 0; index < quantiles.size(); ++index) {
        text += fmt::format("{}_quantiles{{{}}} {}\n", name,
                            join_labels(labels, fmt::format("quantile=\"{}\"", quantiles[index])),
                            accumulators::extended_p_square(m_values)[static_cast<std::ptrdiff_t>(index)]);
    }
    return text;
}

} // namespace hickorymount::metrics::detail

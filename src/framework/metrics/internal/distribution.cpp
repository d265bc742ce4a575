#include "metrics/internal/distribution.h"

#include <fmt/format.h>

namespace hickorymount::metrics::detail {

namespace {

namespace accumulators = boost::accumulators;

std::string join_labels(const std::string& labels, const std::string& last)
{
    return labels.empty() ? last : labels + "," + last;
}

} // namespace

distribution::distribution() : m_values(accumulators::extended_p_square_probabilities = quantiles) {}

void distribution::add(double value)
{
    m_values(value);
    for (std::size_t at = 0; at < buckets_ms.size(); ++at) {
        m_counts[at] += value <= buckets_ms[at] ? 1 : 0;
    }
}

std::string distribution::exposition(const std::string& name, const std::string& labels) const
{
    std::string text;
    const std::size_t count = accumulators::count(m_values);
    for (std::size_t at = 0; at < buckets_ms.size(); ++at) {
        text += fmt::format("{}_bucket{{{}}} {}\n", name,
                            join_labels(labels, fmt::format("le=\"{}\"", buckets_ms[at])), m_counts[at]);
    }
    text += fmt::format("{}_bucket{{{}}} {}\n", name, join_labels(labels, "le=\"+Inf\""), count);
    text += fmt::format("{}_sum{{{}}} {}\n{}_count{{{}}} {}\n", name, labels, accumulators::sum(m_values),
                        name, labels, count);
    for (std::size_t at = 0; at < quantiles.size(); ++at) {
        text += fmt::format("{}_quantiles{{{}}} {}\n", name,
                            join_labels(labels, fmt::format("quantile=\"{}\"", quantiles[at])),
                            accumulators::extended_p_square(m_values)[static_cast<std::ptrdiff_t>(at)]);
    }
    return text;
}

} // namespace hickorymount::metrics::detail

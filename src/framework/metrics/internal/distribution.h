#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace hickorymount::metrics::detail {

/// Histogram and estimated quantiles of observations in milliseconds.
class distribution
{
public:
    distribution();

    void add(double value);

    /// Returns the lines of a histogram, and of a summary named `name` + `_quantiles`.
    [[nodiscard]] std::string exposition(const std::string& name, const std::string& labels) const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                           boost::accumulators::tag::max,
                                           boost::accumulators::tag::extended_p_square>>;

    static constexpr std::array<double, 12> buckets_ms{0.5, 1, 2, 5, 10, 20, 50, 100, 250, 500, 1000, 4000};
    static constexpr std::array<double, 3> quantiles{0.5, 0.9, 0.99};

    std::array<std::uint64_t, buckets_ms.size()> m_bucket_counts{};
    accumulator m_values;
};

} // namespace hickorymount::metrics::detail

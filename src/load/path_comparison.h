#pragma once

#include "base/error.h"
#include "load/types.h"

#include <string>

namespace hickorymount::load {

/// Settings of a path comparison.
struct path_options
{
    group_name group;
    std::string write_class;
    /// Number of statements on each path.
    int statement_count = 0;

    friend bool operator==(const path_options&, const path_options&) = default;
};

/// Latencies of the same statement on both paths.
struct path_comparison
{
    latency_distribution direct_ms;
    latency_distribution through_entry_ms;

    friend bool operator==(const path_comparison&, const path_comparison&) = default;
};

/// Measures the same write alternately on two kept-alive connections: directly to the primary, and through an
/// entry host. Errors: a connection failed, or a statement was not answered with status 200.
result<path_comparison> compare_paths(const protocol::endpoint& entry, const protocol::endpoint& primary,
                                      const path_options& options);

} // namespace hickorymount::load

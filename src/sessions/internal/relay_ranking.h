#pragma once

#include "base/identifier.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace hickorymount::sessions::detail {

/// Another entry host that may run a statement for this one.
struct relay_candidate
{
    /// Index in the relay plan, where hosts of this host's availability zone come first.
    std::size_t plan_index = 0;
    bool is_in_own_zone = false;
    /// Connections to the entry host that sessions hold.
    std::uint32_t connections_in_use = 0;
    /// The entry host was recently unreachable or did not respond.
    bool is_avoided = false;
    /// The entry host has refused this statement or not answered it.
    bool was_tried = false;
    /// The entry host is in the region where the statement is to run. True for all if that does not matter.
    bool is_in_target_region = true;
    /// Rank of the host among those that hold the connections of the session's customer, the highest first.
    /// Zero for all without a customer.
    std::uint64_t customer_rank = 0;

    friend bool operator==(const relay_candidate&, const relay_candidate&) = default;
};

/// Removes the candidates that should not be used now, and sorts the others by zone and load, best first. If
/// an entry host fails or hangs, another of its zone takes over its work until control publishes a new plan.
std::vector<relay_candidate> rank_relays(std::vector<relay_candidate> candidates);

} // namespace hickorymount::sessions::detail

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
    /// Unanswered statements of this host there.
    std::uint32_t in_flight = 0;
    /// Response time of statements there; zero before the first one.
    double response_ms = 0;
    /// Rank by rendezvous hashing among the relays of the session's group for its customer; zero without one.
    std::uint64_t affinity = 0;
    /// The entry host is in the region where the statement is to run. True for all if that does not matter.
    bool is_in_target_region = true;

    friend bool operator==(const relay_candidate&, const relay_candidate&) = default;
};

/// Rank of the relay for the customer's statements to the group, the same at all entry hosts. Where the
/// statements of a small customer meet, its pooled connections to servers are reused.
std::uint64_t relay_affinity(const group_name& group, const customer_name& customer,
                             const backend_server_name& relay);

/// Removes the candidates that should not be used now, and sorts the others by zone and load, best first. If
/// an entry host fails or hangs, another of its zone takes over its work until control publishes a new plan.
/// The relay with the highest affinity in a zone precedes the others of the zone unless it is clearly busier.
std::vector<relay_candidate> rank_relays(std::vector<relay_candidate> candidates);

} // namespace hickorymount::sessions::detail

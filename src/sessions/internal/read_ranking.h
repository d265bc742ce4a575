#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"

#include <cstdint>
#include <vector>

namespace hickorymount::sessions::detail {

/// A server that may run a read.
struct read_candidate
{
    backend_server_name name;
    bool is_primary = false;
    bool is_in_own_zone = false;
    /// Unanswered statements of this host at the server.
    std::uint32_t in_flight = 0;
    /// Moving average of the response time.
    double latency_ms = 0;
    /// The server recently refused a statement.
    bool is_avoided = false;

    friend bool operator==(const read_candidate&, const read_candidate&) = default;
};

/// Sorts the servers by estimated cost, lowest first. The cost spreads reads over equal servers, and keeps
/// them away from the primary, where they would queue behind writes that only the primary can run.
std::vector<read_candidate> rank_read_servers(std::vector<read_candidate> servers);

} // namespace hickorymount::sessions::detail

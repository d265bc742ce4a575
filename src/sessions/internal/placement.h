#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"

#include <cstdint>
#include <vector>

namespace hickorymount::sessions::detail {

/// A server that may run a read, as seen by this host.
struct read_server
{
    backend_server_name name;
    bool is_primary = false;
    bool is_in_own_zone = false;
    /// Statements of this host that it runs now.
    std::uint32_t in_use = 0;
    /// Smoothed time of an answer.
    double latency_ms = 0;
    /// It refused a moment ago.
    bool is_avoided = false;

    friend bool operator==(const read_server&, const read_server&) = default;
};

/// The servers, best first. Answers to: reads that crowd one server while its equals idle, and reads that
/// queue behind the writes that only the primary can run.
std::vector<read_server> in_order_of_preference(std::vector<read_server> servers);

} // namespace hickorymount::sessions::detail

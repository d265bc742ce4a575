#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace hickorymount::sessions::detail {

/// A server that may run a read, with what is known about it here.
struct read_candidate
{
    backend_server_name name;
    bool is_primary = false;
    bool is_in_own_zone = false;
    /// In another region, by its round trip.
    bool is_far = false;
    /// Unanswered statements of this host at the server.
    std::uint32_t in_flight = 0;
    /// Statements that the server executes at the same time, if it reports it.
    std::optional<std::uint32_t> slots{};
    /// Round trip of the network, once measured.
    std::optional<double> round_trip_ms{};
    /// Time for which a read occupies a slot, once measured.
    std::optional<double> service_ms{};
    /// Time that statements wait for a slot there now.
    double queueing_ms = 0;
    /// The server takes another statement of this host now.
    bool has_capacity = true;
    /// A connection has to be opened for the read first.
    bool needs_opening = false;
    /// The server recently refused a statement.
    bool is_avoided = false;
    /// The server is ejected, or has all reads in flight that its slow start allows.
    bool is_ejected = false;

    friend bool operator==(const read_candidate&, const read_candidate&) = default;
};

/// Time to the response by the measurements so far, with penalties for what a read costs beyond time.
double measured_cost_ms(const read_candidate& server);
/// The same with what this host has in flight there since, and with opening a connection if one is needed.
double expected_cost_ms(const read_candidate& server);

/// Gives servers that were not measured yet the best values of the others, so that they are tried.
void estimate_unmeasured(std::vector<read_candidate>& servers);

/// Sorts the servers by expected cost, lowest first; those that recently refused a statement come last.
std::vector<read_candidate> rank_read_servers(std::vector<read_candidate> servers);

/// True if the round trip to a server exceeds the shortest of its group by so much that the server must be in
/// another region. Entry hosts are not told regions, only zones. Without a measurement the server is near.
bool is_far(std::optional<double> round_trip_ms, std::optional<double> shortest_of_group_ms);

/// The lowest measured service time of the servers.
double lowest_service_ms(const std::vector<read_candidate>& servers);
/// True if a statement sent to the server now probably finds a free slot, and runs about as fast as at the
/// others of the group. A server that was only measured while it was full or slow is known by the group's
/// service time.
bool has_free_slot(const read_candidate& server, double group_service_ms);
/// How much more the server could take, from 0 to 1.
double spare_share(const read_candidate& server, double group_service_ms);

/// True if a read that a replica could run may use the primary: it has a free slot, and slots are left for
/// the statements that only the primary can run.
bool may_read_at_primary(const read_candidate& primary);

} // namespace hickorymount::sessions::detail

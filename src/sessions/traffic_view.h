#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "base/shared_value.h"
#include "configuration/types.h"
#include "protocol/types.h"
#include "session/types.h"

#include <cstdint>
#include <map>

namespace hickorymount::sessions {

/// One group, as control has it.
struct group_in_view
{
    backend_server_name primary;
    session::group_term term = 0;
    /// The term is open and has not been closed here; the lease is asked for besides.
    bool is_open = false;
    /// New work waits for a planned change of the primary.
    bool is_held = false;
    /// No commit of this term, or of one before it, is acknowledged any more.
    session::group_term closed_term = 0;

    friend bool operator==(const group_in_view&, const group_in_view&) = default;
};

struct server_in_view
{
    group_name group;
    protocol::endpoint address;
    availability_zone zone;
    unix_milliseconds started_at{0};
    bool is_leaving = false;
    /// Connections that may be open to it at once.
    std::uint32_t share = 0;

    friend bool operator==(const server_in_view&, const server_in_view&) = default;
};

/// What the control thread publishes to the traffic thread: an immutable snapshot.
struct traffic_view
{
    time_point lease_until{};
    shared_value<configuration::versioned_configuration> configuration;
    std::map<group_name, group_in_view> groups;
    std::map<backend_server_name, server_in_view> servers;
    /// Which groups are reached over connections of its own, and which other entry hosts run statements for
    /// it.
    shared_value<protocol::relay_plan> relays;

    friend bool operator==(const traffic_view&, const traffic_view&) = default;
};

} // namespace hickorymount::sessions

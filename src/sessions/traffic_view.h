#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"
#include "base/shared_value.h"
#include "configuration/types.h"
#include "limits/types.h"
#include "protocol/types.h"
#include "session_token/types.h"

#include <cstdint>
#include <map>
#include <optional>

namespace hickorymount::sessions {

/// One database group, as control knows it.
struct group_view
{
    backend_server_name primary;
    session_token::group_term term = 0;
    /// The term is open and has not been closed on this host. The primary is usable only with a valid lease
    /// as well.
    bool is_open = false;
    /// New statements for the primary are held back for a planned change of primary.
    bool is_held = false;
    /// Commits of this term and of earlier terms are no longer acknowledged.
    session_token::group_term closed_term = 0;

    friend bool operator==(const group_view&, const group_view&) = default;
};

/// One backend server, as control knows it.
struct server_view
{
    group_name group;
    protocol::endpoint address;
    availability_zone zone;
    unix_milliseconds started_at{0};
    bool is_leaving = false;
    /// Maximum number of connections that this host may have open to the server.
    std::uint32_t connection_share = 0;
    /// Number of statements that the server executes at the same time, if it reports it.
    std::optional<std::uint32_t> slots{};

    friend bool operator==(const server_view&, const server_view&) = default;
};

/// An immutable snapshot that the control thread publishes to the traffic thread.
struct traffic_view
{
    time_point lease_until{};
    /// Revision of the groups below.
    protocol::view_revision revision = 0;
    shared_value<configuration::versioned_configuration> configuration;
    std::map<group_name, group_view> groups;
    std::map<backend_server_name, server_view> servers;
    /// Which groups this host has direct connections to, and which other entry hosts run statements for it.
    shared_value<protocol::relay_plan> relay_plan;
    limits::limit_bounds limit_bounds;
    /// How many operations of each customer this host may start.
    shared_value<limits::host_quotas> quotas;

    friend bool operator==(const traffic_view&, const traffic_view&) = default;
};

} // namespace hickorymount::sessions

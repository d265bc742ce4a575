#pragma once

#include "base/identifier.h"
#include "base/millisecond_clock.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace hickorymount::sessions {

/// What a response tells about the server.
enum class server_outcome : std::uint8_t
{
    executed,
    failed,
    /// A replica lacked the required position.
    lagging
};

/// Recent outcomes of statements at one server, and whether it is ejected: not used for reads for a while.
struct server_health
{
    /// Moving averages of the shares of statements that failed, and that met a replica without the position.
    double failed_share = 0;
    double lagging_share = 0;
    /// Number of outcomes since the start or the last readmission.
    std::uint32_t outcomes = 0;
    /// Lost connections, each counted once for all that are lost together; halves with time.
    double losses = 0;
    time_point lost_at{};
    time_point responded_at{};
    /// Since when statements are in flight without any response from the server.
    std::optional<time_point> waiting_since;
    std::optional<time_point> ejected_until;
    /// Ejections in a row.
    std::uint32_t ejections = 0;
    /// Start of the server's slow start: its readmission, or the start of its process.
    std::optional<time_point> readmitted_at;
    unix_milliseconds process_started_at{0};

    friend bool operator==(const server_health&, const server_health&) = default;
};

server_health after_outcome(const server_health& health, server_outcome outcome, time_point now);
/// Records that a connection to the server was lost.
server_health after_loss(const server_health& health, time_point now);

enum class ejection_reason : std::uint8_t
{
    none,
    slow,
    failing,
    lagging,
    silent,
    flapping
};

std::string_view to_string(ejection_reason reason);

/// One server of a group, as compared with the others.
struct observed_server
{
    backend_server_name name;
    server_health health;
    bool is_primary = false;
    /// Recent response time of reads without the network's round trip; empty without recent reads.
    std::optional<double> read_ms{};

    friend bool operator==(const observed_server&, const observed_server&) = default;
};

struct ejection
{
    backend_server_name server;
    ejection_reason reason = ejection_reason::none;

    friend bool operator==(const ejection&, const ejection&) = default;
};

/// Which servers of a group to eject now. At most half of the group's servers are ejected at a time.
std::vector<ejection> choose_ejections(const std::vector<observed_server>& servers, time_point now);

/// Ejects the server; each ejection in a row takes twice as long, up to a few seconds.
server_health eject(const server_health& health, time_point now);
bool is_ejected(const server_health& health, time_point now);
/// Begins the slow start of a server whose ejection has ended, or whose process has started.
server_health readmit(const server_health& health, time_point now);
/// Reads that this host may have in flight at the server during its slow start; empty afterwards.
std::optional<std::uint32_t> slow_start_limit(const server_health& health, time_point now);

} // namespace hickorymount::sessions

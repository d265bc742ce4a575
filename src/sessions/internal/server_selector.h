#pragma once

#include "sessions/internal/connection_pool.h"
#include "sessions/internal/event_context.h"
#include "sessions/internal/read_ranking.h"
#include "sessions/internal/relay_ranking.h"
#include "sessions/internal/zone_overflow.h"

#include <optional>
#include <vector>

namespace hickorymount::sessions::detail {

/// Chooses the connection for a statement: to a server of its group, or to another entry host that relays it.
/// Opens connections where more are needed, within the limits of the pool.
class server_selector
{
public:
    server_selector(event_context& context, connection_pool& connections);

    /// An idle connection on which the session's queued statement can run now. Sets the position that its
    /// read must have reached there.
    std::optional<connection_number> find_connection(caller_session& session);

    /// Other entry hosts run the statement when this host has no direct connections to the group, or is
    /// isolated from it. A statement that was already relayed is not relayed again.
    [[nodiscard]] bool uses_relay(const caller_session& session) const;

    [[nodiscard]] bool is_isolated(const pending_statement& pending) const;
    /// True when this host can't reach the primary or has lost its lease for longer than a change of primary
    /// takes. Refusing the statement at once lets the caller try another host.
    [[nodiscard]] bool is_isolated(const group_name& name) const;

    /// Adapts the estimates of the connection's server, and the limit on the statements in flight there, to a
    /// response.
    void record_response(const server_connection& connection, response_code code);

    /// With customers, statements go to many relays, each of which gets few. Opens a connection to some of
    /// those that have none, so that a statement does not wait for two round trips.
    void connect_to_relays();

    /// True when one more statement may be sent to the server now.
    [[nodiscard]] bool has_capacity(const backend_server_name& server) const;

    /// True for a relayed statement that only a server of another region can run. The host that relayed it
    /// has to send it there.
    [[nodiscard]] bool is_misplaced(const caller_session& session) const;

    /// True when every server or entry host that could run the statement has refused it or not answered.
    [[nodiscard]] bool has_tried_all(const caller_session& session) const;

private:
    [[nodiscard]] bool is_connected(const backend_server_name& server) const;
    [[nodiscard]] bool has_direct_connections(const pending_statement& pending) const;
    /// The region where the statement is to run; nothing if that does not matter.
    [[nodiscard]] std::optional<region_name> target_region(const pending_statement& pending) const;
    [[nodiscard]] std::optional<region_name> region_of(const availability_zone& zone) const;
    [[nodiscard]] std::optional<region_name> region_of(const backend_server_name& server) const;
    [[nodiscard]] std::vector<relay_candidate> find_relays(const caller_session& session) const;
    /// Puts relays of other zones first if the statement leaves the own zone.
    std::vector<relay_candidate> order_by_zone(const caller_session& session,
                                               std::vector<relay_candidate> relays);
    /// The relay as a server with as many slots as connections; one of another zone counts as far.
    [[nodiscard]] read_candidate describe_relay(const relay_candidate& relay, work_kind kind) const;
    std::optional<connection_number> find_relay_connection(caller_session& session);
    /// The position that a read of the session must have reached, regardless of its allowed staleness.
    static std::optional<group_position> required_position(const caller_session& session);
    std::optional<connection_number> find_primary_connection(const caller_session& session,
                                                             const group_name& group);
    std::optional<connection_number> find_read_connection(caller_session& session);
    /// The servers that may run the session's read. The primary is among them only if a read may use its
    /// slots.
    [[nodiscard]] std::vector<read_candidate> find_read_servers(const caller_session& session) const;
    /// Removes the servers that take no statement now, and those of other regions unless the read leaves its
    /// own; sorts the others, best first.
    std::vector<read_candidate> order_by_region(const caller_session& session,
                                                std::vector<read_candidate> servers);
    [[nodiscard]] double waited_ms(const pending_statement& pending) const;
    void record_sent(zone_overflow& overflow, bool has_left, const pending_statement& pending) const;
    /// Logs and records the share that leaves if it has changed notably.
    void report_overflow(const group_name& group, zone_overflow& overflow, bool is_relayed);
    /// The shortest round trip to a server of the group, once one is measured.
    [[nodiscard]] std::optional<double> shortest_round_trip_ms(const group_name& group) const;
    /// Ejects and readmits servers of the group for reads, at intervals.
    void compare_servers(const group_name& group);
    void eject_server(const group_name& group, const ejection& chosen);
    [[nodiscard]] queueing_signal queueing_at(const server_load& load, std::optional<work_kind> kind) const;
    /// Records the response time of the caller's statement that the connection has run; returns its kind.
    std::optional<work_kind> record_execution(const server_connection& connection, server_load& load);
    /// True if the session has, or may get, a connection to the server.
    [[nodiscard]] bool can_connect(const backend_server_name& server, const caller_session& session) const;
    /// True if connection attempts have failed and no connection is left.
    [[nodiscard]] bool is_unreachable(const backend_server_name& server) const;
    [[nodiscard]] bool is_closed_to_new_work(const backend_server_name& server) const;

    event_context& m_context;
    connection_pool& m_connections;
};

} // namespace hickorymount::sessions::detail

#pragma once

#include "base/millisecond_clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hickorymount::net {

using connection_id = std::uint64_t;

/// Bytes that are held in memory for one connection.
struct connection_use
{
    /// Received bytes of a message whose end has not arrived.
    std::size_t unfinished_bytes = 0;
    /// Messages in service, and values that the peer has set.
    std::size_t held_bytes = 0;
    /// Responses that the peer has not read.
    std::size_t unsent_bytes = 0;

    [[nodiscard]] std::size_t total_bytes() const { return unfinished_bytes + held_bytes + unsent_bytes; }

    friend bool operator==(const connection_use&, const connection_use&) = default;
};

struct budget_limits
{
    /// Bytes of all connections together, beyond which only the message that is nearest its end is received.
    std::size_t total_bytes = std::size_t{40} << 20;
    /// Length of the longest message that is served.
    std::size_t message_bytes = std::size_t{1} << 20;
    /// Connections are closed when others have waited for the budget this long.
    milliseconds wait_timeout{3000};

    friend bool operator==(const budget_limits&, const budget_limits&) = default;
};

/// Returns the connections that are closed so that at least `excess_bytes` become free: those with the most
/// bytes first, among equals the older one.
std::vector<connection_id> heaviest_connections(const std::map<connection_id, connection_use>& uses,
                                                std::size_t excess_bytes);

/// Returns the connections that are closed so that at least `excess_bytes` of unsent responses become free:
/// those with the most unsent bytes first, among equals the older one.
std::vector<connection_id> slowest_readers(const std::map<connection_id, connection_use>& uses,
                                           std::size_t excess_bytes);

/// Bounds the bytes that the connections of a process hold together. Decides which connections may receive
/// and which are closed; it does no I/O.
class byte_budget
{
public:
    explicit byte_budget(const budget_limits& limits) : m_limits(limits) {}

    /// Records what a connection holds.
    void set_use(connection_id connection, const connection_use& use);
    /// Forgets a connection that has ended.
    void remove(connection_id connection);

    /// Whether the connection may receive more bytes. If not, the connection waits until `take_admitted`
    /// returns it.
    bool may_receive(connection_id connection, time_point now);

    /// Returns and forgets the waiting connections that may receive now.
    std::vector<connection_id> take_admitted();

    /// Returns the connections to close now. The caller closes and removes them.
    [[nodiscard]] std::vector<connection_id> connections_to_close(time_point now);

    [[nodiscard]] std::size_t used_bytes() const { return m_used_bytes; }
    /// Whether unsent responses, which can't be held back, exceed half of the budget or, with the rest, all
    /// of it. As many more may be on their way from servers.
    [[nodiscard]] bool has_excess_responses() const { return excess_response_bytes() > 0; }
    [[nodiscard]] bool has_waiting() const { return !m_waiting.empty(); }
    [[nodiscard]] bool is_waiting(connection_id connection) const { return m_waiting.contains(connection); }
    [[nodiscard]] const budget_limits& limits() const { return m_limits; }

    friend bool operator==(const byte_budget&, const byte_budget&) = default;

private:
    /// Part of the budget beyond which connections that already hold more than a short message wait.
    [[nodiscard]] std::size_t reserve_threshold() const;
    [[nodiscard]] bool is_admitted(connection_id connection) const;
    [[nodiscard]] std::size_t excess_response_bytes() const;

    budget_limits m_limits;
    std::map<connection_id, connection_use> m_uses;
    /// Connections by the length of their unfinished message, without those that have none.
    std::set<std::pair<std::size_t, connection_id>> m_unfinished;
    std::set<connection_id> m_waiting;
    std::size_t m_used_bytes = 0;
    std::size_t m_unsent_bytes = 0;
    /// Since when connections wait without a pause.
    std::optional<time_point> m_waiting_since;
};

} // namespace hickorymount::net

#pragma once

#include "net/byte_budget.h"
#include "sessions/types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hickorymount::gateway::detail {

/// Limits of the connections to one port.
struct port_limits
{
    /// Connections beyond this number are refused.
    std::size_t max_connections = 1024;
    net::budget_limits budget{};
    /// A connection is closed when its opening line has not arrived within this time.
    milliseconds opening_timeout{20'000};
    /// A connection is closed when less than `min_progress_bytes` of an unfinished line arrive within this
    /// time.
    milliseconds message_timeout{60'000};

    friend bool operator==(const port_limits&, const port_limits&) = default;
};

/// 70 bytes a second with the default timeout.
inline constexpr std::size_t min_progress_bytes = std::size_t{4} << 10;
/// Reading of a session pauses while it has this many statements queued or in service.
inline constexpr std::size_t max_session_statements = 16;
/// The same in bytes; a session's only statement may be longer.
inline constexpr std::size_t max_session_statement_bytes = std::size_t{256} << 10;
/// A statement in service is held once, and once more in what is sent to a server.
inline constexpr std::size_t copies_of_statement = 2;

enum class close_reason
{
    too_many_connections,
    no_opening_line,
    unfinished_line,
    budget_exhausted,
    /// The variables and prepared statements of the session are longer than two messages.
    long_values
};

const char* to_string(close_reason reason);

struct refused_connection
{
    sessions::session_number session = 0;
    close_reason reason = close_reason::too_many_connections;

    friend bool operator==(const refused_connection&, const refused_connection&) = default;
};

/// Decides which connections of a port may stay, and which of them receive. Does no I/O.
class session_gate
{
public:
    explicit session_gate(const port_limits& limits) : m_limits(limits), m_budget(limits.budget) {}

    /// Registers a connection. When there are too many, returns the connection that is refused instead: the
    /// oldest without an opening line, or else the new one. The caller closes it, and removes it unless it is
    /// the new one.
    std::optional<refused_connection> admit(sessions::session_number session, time_point now);
    void remove(sessions::session_number session);

    /// The opening line has arrived.
    void record_opening(sessions::session_number session);
    /// A statement, or a line to be answered as one, has arrived.
    void record_statement(sessions::session_number session, std::size_t bytes);
    void record_response(sessions::session_number session);
    /// Length of the values that the session has set.
    void record_values(sessions::session_number session, std::size_t bytes);
    /// The session has ended, and its connection is closed once the last responses are sent.
    void record_leaving(sessions::session_number session);
    /// What the connection has buffered, and the bytes that it has received since it was opened.
    void record_buffers(sessions::session_number session, std::size_t received_bytes,
                        std::size_t unsent_bytes, std::uint64_t total_received_bytes, time_point now);

    /// False while the session has enough statements queued or in service.
    [[nodiscard]] bool accepts_lines(sessions::session_number session) const;
    /// False while the budget is exhausted.
    bool may_read(sessions::session_number session, time_point now);
    /// Returns and forgets the connections that may read again.
    std::vector<sessions::session_number> take_resumable() { return m_budget.take_admitted(); }

    /// Returns the connections to close now. The caller closes and removes them.
    std::vector<refused_connection> connections_to_close(time_point now);
    /// Whether `connections_to_close` may return something later without another event.
    [[nodiscard]] bool needs_check() const { return !m_watched.empty() || m_budget.has_waiting(); }
    /// Whether `connections_to_close` returns something already.
    [[nodiscard]] bool is_check_due() const
    {
        return m_budget.has_excess_responses() || !m_with_long_values.empty();
    }

    [[nodiscard]] std::size_t connection_count() const { return m_connections.size(); }
    [[nodiscard]] std::size_t used_bytes() const { return m_budget.used_bytes(); }
    [[nodiscard]] const port_limits& limits() const { return m_limits; }

private:
    struct connection
    {
        bool has_opened = false;
        time_point accepted_at{};
        /// Lengths of the statements that are queued or in service.
        std::deque<std::size_t> statements;
        std::size_t statement_bytes = 0;
        std::size_t value_bytes = 0;
        std::size_t received_bytes = 0;
        std::size_t unsent_bytes = 0;
        /// The time, and the bytes received until then, since which the progress of a line is measured.
        time_point measured_since{};
        std::uint64_t measured_from_bytes = 0;
    };

    void update_budget(sessions::session_number session, const connection& current);
    void update_watch(sessions::session_number session, const connection& current);
    [[nodiscard]] static bool accepts_lines(const connection& current);

    port_limits m_limits;
    net::byte_budget m_budget;
    std::map<sessions::session_number, connection> m_connections;
    /// Connections with a timeout: without opening line, or with an unfinished line.
    std::set<sessions::session_number> m_watched;
    /// Connections whose values are too long.
    std::set<sessions::session_number> m_with_long_values;
};

} // namespace hickorymount::gateway::detail

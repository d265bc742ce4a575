#pragma once

#include "sessions/internal/event_context.h"

#include <optional>

namespace hickorymount::sessions::detail {

/// The pool of connections to backend servers and to other entry hosts.
class connection_pool
{
public:
    explicit connection_pool(event_context& context);

    /// Returns an idle connection to the server that serves the session's customer, preferably one that
    /// already has the session's variables set. One on which a refusal may be repeated serves only reads
    /// outside transactions.
    [[nodiscard]] std::optional<connection_number> find_idle(const backend_server_name& server,
                                                             const caller_session& session) const;

    /// Opens one more connection to the server for the customer, within its share, the limit on simultaneous
    /// attempts and the delay after a failed attempt. When the share is used up, the connection that has been
    /// idle for the longest time is closed for it, of those that can't run the customer's statement.
    void open_if_allowed(const backend_server_name& server, const customer_name& customer);

    /// True while a connection to the server is being opened for the customer.
    [[nodiscard]] bool is_opening_for(const backend_server_name& server, const customer_name& customer) const;

    /// Opens one more connection to another entry host, for a session on `database`, within the same kinds of
    /// limits.
    void open_relay(const protocol::relay_host& host, const group_name& group, const std::string& database);

    /// Changes the stage, and keeps the server's `in_flight` count and its idle connections up to date. No
    /// other code sets a stage.
    void set_stage(connection_number number, server_connection& connection, connection_stage stage);
    /// Marks a connection as open and idle.
    void complete_opening(connection_number number);

    /// Schedules the connection's next check, unless an earlier one is scheduled.
    void schedule_check(connection_number number, server_connection& connection);

    /// Assigns an idle connection to a session for a statement of the group.
    void acquire(connection_number number, session_number holder, const group_name& group);

    /// Sends the next internal statement that the connection needs to match the session's variables,
    /// transaction and prepared statements. Returns false when the connection is ready.
    bool prepare(connection_number number, const caller_session& session, const pending_statement& pending);

    /// Records that the server has sent something, so that it does not count as silent.
    void record_sign_of_life(const backend_server_name& server);

    /// Sends the caller's statement.
    void send_pending(connection_number number, const pending_statement& pending);

    /// Records the change made by an internal statement that succeeded.
    void apply_internal_result(server_connection& connection);

    /// Returns the connection to the pool. An open transaction is rolled back first, and a surplus connection
    /// is closed.
    void release(connection_number number);
    void close(connection_number number);
    /// Detaches the connection from its session while a statement is unanswered. The connection is reused
    /// once the response arrives: a replacement would take a slot of a server that has none free.
    void abandon(connection_number number);
    /// Removes a connection that the other side has closed, or that could not be opened.
    void remove_lost(connection_number number);

    /// Closes idle connections that exceed the share or lead to servers that are gone or leaving.
    void close_surplus();

    /// Ranks the server last for the next `refusal_backoff`.
    void back_off(const backend_server_name& server);

private:
    void send_internal_statement(connection_number number, server_connection& connection, statement body,
                                 const std::optional<group_position>& minimum_position);
    [[nodiscard]] bool is_surplus(const server_connection& connection) const;
    void forget(connection_number number);
    /// True if statements of the session can run on the connection.
    [[nodiscard]] bool serves(const server_connection& connection, const caller_session& session) const;
    /// Closes the idle connection that was used least recently of those of other customers and those with an
    /// open refusal. Returns false if there is none.
    bool close_unusable_idle(const backend_server_name& server, const customer_name& customer);
    /// The caller to name in the next message on a connection to another entry host, if it has changed.
    std::optional<relayed_caller> changed_caller(server_connection& connection,
                                                 const caller_session& session) const;

    event_context& m_context;
};

/// The name of a prepared statement on backend servers, derived from its content. Equal statements of all
/// sessions share one name.
std::string server_side_name(const prepared_statement& prepared);

} // namespace hickorymount::sessions::detail

#pragma once

#include "sessions/internal/connection_pool.h"
#include "sessions/internal/event_context.h"
#include "sessions/internal/queue_pass.h"
#include "sessions/internal/response_action.h"
#include "sessions/internal/server_selector.h"

#include <optional>
#include <string>
#include <vector>

namespace hickorymount::sessions::detail {

/// Queues callers' statements, assigns each to a connection, and sends the responses.
class statement_dispatcher
{
public:
    statement_dispatcher(event_context& context, connection_pool& connections);

    void open(session_number number, const opening_session& request);
    /// Opens the sessions that wait for a configuration once there is one, and refuses those that waited too
    /// long.
    void open_waiting_sessions();
    /// Ends the sessions whose keys were withdrawn.
    void end_unauthorized_sessions();
    void submit(session_number number, received_statement request);
    void refuse_malformed(session_number number);
    void close(session_number number);

    /// Handles the response to the caller's statement that runs on the connection.
    void handle_response(connection_number connection, statement_response response);
    /// Handles the response to one of the proxy's internal statements.
    void handle_internal_response(connection_number connection, const statement_response& response);
    /// Handles a connection that was lost or could not be opened. A primary whose answer can't be read
    /// responds, so it is not suspected.
    void handle_connection_loss(connection_number connection, const std::string& reason,
                                bool is_unreadable = false);
    /// Handles a refusal that may be a repeat, or that of an earlier statement. The connection is closed.
    void handle_ambiguous_refusal(connection_number connection, const statement_response& response);
    /// Closes a connection whose answers can't be told apart. Its server is neither counted as lost nor
    /// suspected.
    void close_untrusted(connection_number connection, const std::string& reason);
    /// Handles a connection that the server refused. The server is running, so it is not suspected.
    void handle_connection_refusal(connection_number connection, response_code code);

    /// Sends as many queued statements of the group as connections are available for.
    void dispatch(const group_name& group);
    void dispatch_all();
    /// Sends queued statements after a connection for the group has become free or was lost.
    void dispatch_after(const group_name& group, bool was_relay);

    void connect_to_relays() { m_selector.connect_to_relays(); }

    /// Refuses statements that can't be answered in time, and handles servers that do not respond.
    void check_timeouts();
    /// When `check_timeouts` has to be called next.
    [[nodiscard]] time_point next_timeout();

    /// Closes sessions without an open transaction or pending statement. If `ends_transactions` is set, idle
    /// transactions are aborted first.
    void close_idle_sessions(bool ends_transactions);
    void close_all_sessions();

private:
    void handle_request(session_number number, caller_session& session, const received_statement& request);
    bool handle_locally(session_number number, caller_session& session, const received_statement& request);
    void handle_internal_request(session_number number, caller_session& session, const statement& body);
    bool authorize(caller_session& session, const received_statement& request);
    [[nodiscard]] bool is_still_authorized(const caller_session& session) const;
    void refuse_unauthorized(session_number number, caller_session& session);
    void begin_transaction(session_number number, caller_session& session, const received_statement& request);
    void roll_back_transaction(session_number number, caller_session& session);
    void enqueue(session_number number, caller_session& session, const received_statement& request,
                 bool awaits_quota);

    /// The statements that a pass has taken out of the queue without sending them.
    struct queue_pass_outcome
    {
        std::vector<session_number> refused;
        std::vector<session_number> awaiting_quota;
    };

    void finish_pass(const queue_pass_outcome& outcome);
    look_result look_at(const queue_place& place, queue_pass_outcome& outcome);
    [[nodiscard]] bool is_connection_opening(const caller_session& session) const;
    void unblock_customers_with_connections(const group_name& group, statement_queue& queue);
    [[nodiscard]] bool is_too_late_to_send(const caller_session& session) const;
    void refuse_queued(session_number number, caller_session& session);
    void refuse_unprepared(session_number number, caller_session& session);
    bool try_dispatch(session_number number, caller_session& session);
    void start_on_connection(connection_number connection, session_number number, caller_session& session);
    void advance(connection_number connection, caller_session& session);
    void end_work_on(connection_number connection, const server_connection& closed,
                     const std::string& reason);
    [[nodiscard]] bool may_run_outside(const server_connection& connection,
                                       const caller_session& session) const;
    [[nodiscard]] bool has_lost_primary(const server_connection& connection,
                                        const caller_session& session) const;
    /// Logs a statement that was sent to a primary soon after a change of the belief about it.
    void trace_primary_use(const server_connection& connection, const pending_statement& pending);

    void handle_internal_failure(connection_number number, session_number holder, caller_session& session,
                                 const statement_response& response, bool is_own);
    void requeue_or_abort(session_number number, caller_session& session, const std::string& reason);
    void requeue(session_number number, caller_session& session, const std::string& reason);
    void report_aborted(session_number number, caller_session& session, const std::string& reason);
    bool take_retry(const caller_session& session);
    void refuse_retry(session_number number, caller_session& session);
    void resolve(session_number number, caller_session& session, std::optional<statement_response> response,
                 const std::string& reason);
    void forward_response(session_number number, caller_session& session, statement_response response);
    void end_transaction(caller_session& session);
    void fail_transaction(caller_session& session);
    void record_commit(caller_session& session, const group_name& group, const statement_response& response);

    void reply(session_number number, caller_session& session, statement_response response);
    void reply_with_code(session_number number, caller_session& session, response_code code,
                         const std::string& detail);
    void handle_next(session_number number);
    void add_to_queue(session_number number, caller_session& session);
    void remove_from_queue(caller_session& session);
    [[nodiscard]] std::vector<group_name> queued_groups() const;
    void check_queues();
    void recheck_admission(const group_name& group);
    void refuse_if_hopeless(session_number number, caller_session& session);
    void observe_drain(const group_name& group);
    void record_finished(const pending_statement& pending, response_code code);
    void refuse_isolated(const group_name& group);
    void refuse_if_isolated(session_number number, caller_session& session);

    /// Schedules the session's next check, unless an earlier one is scheduled.
    void schedule_check(session_number number, caller_session& session);
    [[nodiscard]] time_point next_check_of(const caller_session& session) const;
    time_point required_at(const scheduled_check& check);
    void forget_check(const scheduled_check& check);
    void reschedule(const scheduled_check& check);
    void discard_obsolete_checks();
    void check_connection(connection_number number);
    void end_idle_transactions(const group_name& group);
    void check_deadlines(session_number number, caller_session& session);
    void abandon_unanswered(session_number number, caller_session& session);
    [[nodiscard]] bool was_refused_after_wait(const pending_statement& pending,
                                              const std::optional<response_code>& code) const;
    void check_relay_silence(session_number number, caller_session& session,
                             const server_connection& connection);
    void record_relay_response(const server_connection& connection);
    void suspect_if_primary(const server_connection& connection, const std::string& reason,
                            bool are_commits_stalled = false);

    [[nodiscard]] statement_scope scope_of(const caller_session& session) const;

    event_context& m_context;
    connection_pool& m_connections;
    server_selector m_selector;
};

} // namespace hickorymount::sessions::detail

#pragma once

#include "routing/internal/connection_pools.h"
#include "routing/internal/event_context.h"

#include <string>

namespace hickorymount::routing::detail {

/// Processes the requests of callers from arrival to exactly one outcome each.
class request_processor
{
public:
    request_processor(event_context& context, connection_pools& connections);

    void handle(const caller_request& input);
    void handle(const statement_completed& event);
    void handle(const statement_refused& event);
    void handle(const statement_not_sent& event);
    void handle(const statement_connection_lost& event);
    void handle(const protocol::claim_response& reply);

    /// Starts the queued requests of the group that can run now.
    void dispatch(const group_name& group);
    /// Refuses the queued requests that wait for connections which control has granted to other hosts.
    void refuse_requests_without_connections();
    /// Completes the writes whose log position a replica has reached.
    void confirm_replicated(const group_name& group);
    /// Asks the replicas for their log positions while writes of the group wait for replication.
    void poll_positions(const group_name& group);
    void handle(const position_received& event);
    /// Ends the writes and transactions of a closed term and of earlier terms.
    void abort_term(const group_name& group, group_term term);
    /// Number of writes and transactions in the term and in earlier terms.
    [[nodiscard]] std::size_t in_flight(const group_name& group, group_term term) const;

    void on_timer(const timer& expired);
    void resend_claim_updates();

private:
    /// The request whose statement runs on the connection; null if the request is no longer running there.
    [[nodiscard]] const request_state* find_running_request(request_number number,
                                                            connection_number connection) const;

    void admit(request_state request);
    void admit_transaction_statement(request_state request);
    bool check_key(request_state& request);
    bool check_token(const request_state& request);
    void send_claim(const request_state& request);

    void enqueue(request_state request);
    void remove_from_queue(const request_state& request);
    [[nodiscard]] bool lacks_connections(const request_state& request) const;
    bool try_start(const request_state& request);
    bool try_start_write(const request_state& request, const group_state& group);
    bool try_start_read(const request_state& request, const group_state& group);
    void start(request_state request, const backend_server_name& server, connection_number connection);

    void handle_read_result(request_state request, const statement_completed& event);
    void handle_write_result(request_state request, const statement_completed& event);
    void handle_transaction_result(request_state request, const statement_completed& event);
    void release_connection(const request_state& request, connection_number connection);
    void end_transaction(const transaction_id& transaction);
    /// Retries a statement that may have run; each retry takes `retry_cost` from the retry budget.
    void retry_after_send(request_state request, const std::string& step, const std::string& detail);
    /// Retries a statement that provably did not run; only the deadline limits these retries.
    void requeue(request_state request);
    void retry_or_report_unknown(request_state request, const std::string& detail);
    void report_suspicion(const request_state& request, const std::string& reason);
    void complete(const request_state& request, caller_response answer);
    void refuse(const request_state& request, refusal_reason reason, std::string step, std::string peer,
                std::string detail, std::optional<session_token::token> token = std::nullopt);
    void report_outcome_unknown(const request_state& request, std::string step, std::string peer,
                                std::string detail);
    void finish(const request_state& request, caller_outcome outcome);
    void send_claim_update(const request_state& request, protocol::claim_command command);
    void handle_deadline(const request_state& request);

    event_context& m_context;
    connection_pools& m_connections;
};

} // namespace hickorymount::routing::detail

#pragma once

#include "routing/internal/connection_keeper.h"
#include "routing/internal/entry_step.h"

#include <string>

namespace hickorymount::routing::detail {

/// Takes callers' requests from their arrival to exactly one outcome.
class request_desk
{
public:
    request_desk(entry_step& step, connection_keeper& connections);

    void handle(const caller_request& input);
    void handle(const statement_answered& what);
    void handle(const statement_refused& what);
    void handle(const statement_not_sent& what);
    void handle(const statement_lost& what);
    void handle(const protocol::claim_reply& reply);

    /// Starts what waits in the group's queue and can run now.
    void dispatch(const group_name& group);
    /// Answers writes whose position a replica has reached.
    void confirm_replicated(const group_name& group);
    /// Asks replicas for their positions while writes of the group wait for one.
    void poll_positions(const group_name& group);
    void handle(const position_told& told);
    /// Ends what can't go on after the group's term was closed.
    void leave_term(const group_name& group, group_term term);
    /// Number of writes and transactions that use the term.
    [[nodiscard]] std::size_t in_flight(const group_name& group, group_term term) const;

    void ring(const timer& what);
    void resend_records();

private:
    /// The request whose statement runs on the connection; null when its outcome is no longer awaited.
    [[nodiscard]] const request_state* awaited(request_number number, connection_number connection) const;

    void admit(request_state request);
    void admit_statement_of_transaction(request_state request);
    bool check_key(request_state& request);
    bool check_token(const request_state& request);
    void send_claim(const request_state& request);

    void enqueue(request_state request);
    void leave_queue(const request_state& request);
    bool try_start(const request_state& request);
    bool try_start_write(const request_state& request, const group_state& group);
    bool try_start_read(const request_state& request, const group_state& group);
    void start(request_state request, const backend_server_name& server, connection_number connection);

    void answered_read(request_state request, const statement_answered& what);
    void answered_write(request_state request, const statement_answered& what);
    void answered_transaction(request_state request, const statement_answered& what);
    void release_connection(const request_state& request, connection_number connection);
    void end_transaction(const transaction_id& transaction);
    /// The statement was sent; it costs from the retry budget to send it again.
    void retry_sent(request_state request, const std::string& step, const std::string& detail);
    /// The statement is proved not to have run; only the deadline bounds its retries.
    void retry_not_run(request_state request);
    void retry_or_unknown(request_state request, const std::string& detail);
    void suspect(const request_state& request, const std::string& reason);
    void complete(const request_state& request, whole_answer answer);
    void refuse(const request_state& request, refusal reason, std::string step, std::string peer,
                std::string detail, std::optional<session::token> token = std::nullopt);
    void leave_unknown(const request_state& request, std::string step, std::string peer, std::string detail);
    void finish(const request_state& request, caller_outcome outcome);
    void record(const request_state& request, protocol::claim_command command);
    void deadline_passed(const request_state& request);

    entry_step& m_step;
    connection_keeper& m_connections;
};

} // namespace hickorymount::routing::detail

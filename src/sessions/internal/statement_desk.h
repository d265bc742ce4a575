#pragma once

#include "sessions/internal/link_keeper.h"
#include "sessions/internal/outcome.h"
#include "sessions/internal/relay_choice.h"
#include "sessions/internal/session_step.h"

#include <optional>
#include <string>

namespace hickorymount::sessions::detail {

/// Takes callers' statements, finds a connection for each, and answers.
class statement_desk
{
public:
    statement_desk(session_step& step, link_keeper& links);

    void open(session_number number, const std::string& database, bool is_relayed);
    /// Opens, or refuses, the sessions that waited for a configuration.
    void open_waiting();
    void ask(session_number number, asked_statement asked);
    void refuse_malformed(session_number number);
    void close(session_number number);

    /// The server answered the statement that runs on the connection.
    void finish(link_number link, answer whole);
    /// The server answered one of the proxy's own statements.
    void finish_own(link_number link, const answer& whole);
    /// The connection ended, or was refused.
    void lose(link_number link, const std::string& reason);
    /// The server refused the connection, and so it runs.
    void refuse_link(link_number link, answer_code code);

    /// Serves as many waiting statements of the group as there are connections for.
    void dispatch(const group_name& group);
    void dispatch_all();

    /// Refuses what is too late, and gives up on servers that do not answer.
    void check_times();
    [[nodiscard]] time_point next_time() const;

    /// Ends sessions that have nothing open; fails transactions when `ends_transactions`.
    void stop_idle(bool ends_transactions);
    void stop_all();

private:
    void take(session_number number, caller_session& session, const asked_statement& asked);
    bool take_locally(session_number number, caller_session& session, const asked_statement& asked);
    void take_own(session_number number, caller_session& session, const statement& what);
    void take_begin(session_number number, caller_session& session, const asked_statement& asked);
    void take_rollback(session_number number, caller_session& session);
    void queue(session_number number, caller_session& session, const asked_statement& asked);

    bool place(session_number number, caller_session& session);
    [[nodiscard]] bool runs_elsewhere(const caller_session& session) const;
    [[nodiscard]] std::vector<relay_candidate> relays_for(const caller_session& session) const;
    bool place_elsewhere(session_number number, caller_session& session);
    static std::optional<group_position> own_commit(const caller_session& session);
    std::optional<link_number> link_at_primary(const caller_session& session, const group_name& group);
    std::optional<link_number> link_for_read(caller_session& session);
    void start_on(link_number link, session_number number, caller_session& session);
    void go_on(link_number link, caller_session& session);

    void refuse_own(link_number number, session_number holder, caller_session& session, const answer& whole);
    void move_or_abort(session_number number, caller_session& session, const std::string& reason);
    void requeue(session_number number, caller_session& session, const std::string& reason);
    void settle(session_number number, caller_session& session, std::optional<answer> whole,
                const std::string& reason);
    void pass_on(session_number number, caller_session& session, answer whole);
    void end_transaction(caller_session& session);
    void fail_transaction(caller_session& session);
    void note_commit(caller_session& session, const group_name& group, const answer& whole);

    void reply(session_number number, caller_session& session, answer whole);
    void reply_code(session_number number, caller_session& session, answer_code code,
                    const std::string& detail);
    void take_next(session_number number);
    void leave_queue(session_number number, const group_name& group);
    void end_idle_transactions();
    void check_session(session_number number, caller_session& session);
    void give_up_unanswered(session_number number, caller_session& session);
    [[nodiscard]] bool has_room(const backend_server_name& server) const;
    [[nodiscard]] bool was_refused_after_a_wait(const pending_statement& pending,
                                                const std::optional<answer_code>& code) const;
    void note_load(const server_link& link, answer_code code);
    void check_relay(session_number number, caller_session& session, const server_link& link);
    void note_heard(const server_link& link);
    void suspect(const server_link& link, const std::string& reason, bool is_stalled = false);
    [[nodiscard]] bool is_cut_off(const pending_statement& pending) const;

    [[nodiscard]] statement_scope scope_of(const caller_session& session) const;
    [[nodiscard]] bool is_new_work_refused(const backend_server_name& server) const;

    session_step& m_step;
    link_keeper& m_links;
};

} // namespace hickorymount::sessions::detail

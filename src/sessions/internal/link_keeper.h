#pragma once

#include "sessions/internal/session_step.h"

#include <optional>

namespace hickorymount::sessions::detail {

/// Opens, prepares, lends and closes connections to backend servers.
class link_keeper
{
public:
    explicit link_keeper(session_step& step);

    /// An idle connection to the server, preferably one that holds the session's values already.
    [[nodiscard]] std::optional<link_number> find_idle(const backend_server_name& server,
                                                       const caller_session& session) const;

    /// Opens one more connection to the server if its share allows and none is being opened.
    void open_if_allowed(const backend_server_name& server);

    /// Opens one more connection to another entry host, for a session on `database`.
    void open_relay(const protocol::relay_host& host, const group_name& group, const std::string& database);

    /// Every change of a stage goes through here, so that what is under way at each server is known.
    void set_stage(server_link& link, link_stage stage);

    void lend(link_number number, session_number holder);

    /// Sends the next thing that brings the connection to the session's values, transaction and prepared
    /// statements. False when nothing is missing.
    bool prepare(link_number number, const caller_session& session, const pending_statement& wanted);

    /// Sends the caller's statement itself.
    void run(link_number number, const pending_statement& wanted);

    /// Notes what one of the proxy's own statements has changed.
    void note_own_done(server_link& link);

    /// Takes the connection back: rolls back what is open, then keeps it or closes it.
    void release(link_number number);
    void close(link_number number);
    /// No session waits for the answer any more; once it has come the connection is used again. A new one
    /// would take a slot of a server that has none to spare.
    void leave_unanswered(link_number number);
    /// Forgets a connection that has ended.
    void forget(link_number number);

    /// Closes idle connections beyond the share, and those to servers that are gone or leaving.
    void trim();

    /// Notes how long a statement took.
    void note_latency(const server_link& link);
    void avoid(const backend_server_name& server);

private:
    void send_own(link_number number, server_link& link, statement what,
                  const std::optional<group_position>& least);
    [[nodiscard]] bool is_surplus(const server_link& link) const;

    session_step& m_step;
};

/// The name under which servers know a prepared statement; the same for equal statements of all sessions.
std::string shared_name(const prepared_statement& prepared);

} // namespace hickorymount::sessions::detail

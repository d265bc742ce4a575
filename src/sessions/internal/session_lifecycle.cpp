#include "logging/fields.h"
#include "sessions/internal/customer_identity.h"
#include "sessions/internal/statement_dispatcher.h"

#include <utility>

#include <fmt/format.h>

namespace hickorymount::sessions::detail {

void statement_dispatcher::open(session_number number, const opening_session& request)
{
    const bool is_closing =
        m_context.state.stopping_since && m_context.now - *m_context.state.stopping_since >= balancer_delay;
    const bool is_known = m_context.state.routes.contains(request.database);
    if (!is_closing && m_context.state.view->configuration->version == 0) {
        m_context.state.opening_sessions.emplace(number, request);
        return;
    }
    if (is_closing) {
        m_context.emit(refuse_session{number, response_code::busy, "the proxy takes no sessions now"});
        return;
    }
    if (!is_known) {
        m_context.emit(refuse_session{number, response_code::unknown_database, request.database});
        return;
    }
    caller_session session;
    session.database = request.database;
    session.is_relayed = request.is_relayed;
    session.key = request.key;
    if (!session.is_relayed && !customer_of_caller(m_context.state, session)) {
        m_context.log(logging::log_level::information, "refuse_session", "",
                      fmt::format("database={} reason=\"unknown key\"", logging::value(request.database)));
        m_context.emit(refuse_session{number, response_code::not_authorized, "unknown key"});
        return;
    }
    m_context.state.sessions.emplace(number, std::move(session));
    m_context.emit(accept_session{number});
}

void statement_dispatcher::open_waiting_sessions()
{
    const auto waiting = m_context.state.opening_sessions;
    for (const auto& [number, opening] : waiting) {
        if (m_context.state.view->configuration->version != 0) {
            m_context.state.opening_sessions.erase(number);
            open(number, opening);
        } else if (m_context.now - opening.requested_at >= session_open_timeout) {
            m_context.state.opening_sessions.erase(number);
            m_context.emit(refuse_session{number, response_code::busy, "no configuration yet"});
        }
    }
}

void statement_dispatcher::close(session_number number)
{
    m_context.state.opening_sessions.erase(number);
    caller_session* session = m_context.session(number);
    if (session == nullptr) {
        return;
    }
    if (session->pending) {
        remove_from_queue(*session);
    }
    const bool is_running = session->pending && session->pending->connection != 0;
    if (is_running && !session->transaction) {
        m_connections.abandon(session->pending->connection);
    }
    if (session->transaction) {
        end_transaction(*session);
    }
    m_context.state.sessions.erase(number);
}

void statement_dispatcher::close_idle_sessions(bool ends_transactions)
{
    std::vector<session_number> ended;
    for (auto& [number, session] : m_context.state.sessions) {
        if (ends_transactions && session.transaction && !session.transaction->is_failed && !session.pending) {
            fail_transaction(session);
        }
        if (!session.transaction && !session.pending) {
            ended.push_back(number);
        }
    }
    for (const session_number number : ended) {
        m_context.emit(close_session{number});
        close(number);
    }
}

void statement_dispatcher::close_all_sessions()
{
    std::vector<session_number> all;
    for (const auto& [number, session] : m_context.state.sessions) {
        all.push_back(number);
    }
    for (const session_number number : all) {
        caller_session& session = m_context.state.sessions.at(number);
        if (session.pending && session.pending->stage != statement_stage::running) {
            const std::size_t behind = std::exchange(session.pipelined_statements, {}).size();
            if (session.pending->stage == statement_stage::preparing && !session.transaction) {
                m_connections.abandon(session.pending->connection);
            }
            reply_with_code(number, session, response_code::busy, "the proxy stops");
            for (std::size_t at = 0; at < behind; ++at) {
                reply_with_code(number, session, response_code::busy, "the proxy stops");
            }
        }
        m_context.emit(close_session{number});
        close(number);
    }
}

} // namespace hickorymount::sessions::detail

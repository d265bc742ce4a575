#include "sessions/internal/statement_desk.h"

#include "sessions/internal/freshness.h"
#include "sessions/internal/placement.h"
#include "sessions/internal/relay_choice.h"
#include "sessions/internal/waiting_line.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::sessions::detail {

namespace {

/// Taken from the age that a read may have, for the rounding of clocks to whole milliseconds.
constexpr milliseconds age_margin{5};
/// Longest pause between two looks at the waiting statements.
constexpr milliseconds longest_pause{1000};

bool is_local_kind(statement_kind kind)
{
    return kind == statement_kind::set_value || kind == statement_kind::prepare ||
           kind == statement_kind::deallocate;
}

milliseconds connect_limit(const server_link& link)
{
    return link.is_relay ? relay_connect_timeout : connect_timeout;
}

bool commits_writes(statement_scope scope)
{
    return scope == statement_scope::single_write || scope == statement_scope::commit_of_writes;
}

/// The server is not tried again; one that lacks a position is followed by the primary, which has it.
void note_refusal(pending_statement& pending, const backend_server_name& server, answer_code code)
{
    pending.tried.insert(server);
    pending.needs_primary = pending.needs_primary || code == answer_code::lagging;
}

transaction_state state_of(const caller_session& session)
{
    if (!session.transaction) {
        return transaction_state::none;
    }
    return session.transaction->is_failed ? transaction_state::failed : transaction_state::open;
}

} // namespace

statement_desk::statement_desk(session_step& step, link_keeper& links) : m_step(step), m_links(links) {}

void statement_desk::open(session_number number, const std::string& database, bool is_relayed)
{
    const bool is_closing =
        m_step.state.stopping_since && m_step.now - *m_step.state.stopping_since >= balancer_delay;
    const bool is_known = m_step.state.routes.contains(database);
    if (!is_closing && m_step.state.view->configuration->version == 0) {
        m_step.state.opening.emplace(number, opening_session{database, m_step.now, is_relayed});
        return;
    }
    if (is_closing) {
        m_step.emit(refuse_session{number, answer_code::busy, "the proxy takes no sessions now"});
        return;
    }
    if (!is_known) {
        m_step.emit(refuse_session{number, answer_code::unknown_database, database});
        return;
    }
    caller_session session;
    session.database = database;
    session.is_relayed = is_relayed;
    m_step.state.sessions.emplace(number, std::move(session));
    m_step.emit(accept_session{number});
}

void statement_desk::open_waiting()
{
    const auto waiting = m_step.state.opening;
    for (const auto& [number, opening] : waiting) {
        if (m_step.state.view->configuration->version != 0) {
            m_step.state.opening.erase(number);
            open(number, opening.database, opening.is_relayed);
        } else if (m_step.now - opening.since >= opening_limit) {
            m_step.state.opening.erase(number);
            m_step.emit(refuse_session{number, answer_code::busy, "no configuration yet"});
        }
    }
}

void statement_desk::ask(session_number number, asked_statement asked)
{
    caller_session* session = m_step.session(number);
    if (session == nullptr) {
        return;
    }
    if (!session->pending) {
        take(number, *session, asked);
        return;
    }
    if (session->waiting.size() >= max_pipelined_statements) {
        m_step.log(logging::log_level::warning, "close_session", "",
                   "reason=\"too many statements sent ahead\"");
        close(number);
        m_step.emit(close_session{number});
        return;
    }
    session->waiting.push_back(std::move(asked));
}

void statement_desk::refuse_malformed(session_number number)
{
    if (caller_session* session = m_step.session(number)) {
        reply_code(number, *session, answer_code::malformed, "not a statement");
    }
}

void statement_desk::take(session_number number, caller_session& session, const asked_statement& asked)
{
    if (take_locally(number, session, asked)) {
        return;
    }
    queue(number, session, asked);
}

/// Statements that need no server. Their answers carry no server's signature.
bool statement_desk::take_locally(session_number number, caller_session& session,
                                  const asked_statement& asked)
{
    const statement& what = asked.what;
    const bool ends = what.kind == statement_kind::commit || what.kind == statement_kind::rollback;
    if (session.transaction && session.transaction->is_failed) {
        if (!ends && std::exchange(session.transaction->has_expired, false)) {
            reply_code(number, session, answer_code::aborted, "the transaction was idle for too long");
            return true;
        }
        if (!ends) {
            reply_code(number, session, answer_code::malformed, "the transaction has failed");
            return true;
        }
        end_transaction(session);
        reply_code(number, session,
                   what.kind == statement_kind::commit ? answer_code::aborted : answer_code::done,
                   what.kind == statement_kind::commit ? "the transaction has failed" : "");
        return true;
    }
    if (what.kind >= statement_kind::reset) {
        take_own(number, session, what);
        return true;
    }
    if (is_local_kind(what.kind)) {
        if (what.kind == statement_kind::set_value && session.values.size() < max_values) {
            session.values[what.name] = what.argument;
        } else if (what.kind == statement_kind::prepare &&
                   session.prepared.size() < max_prepared_statements) {
            session.prepared[what.name] = {what.only_reads, what.argument};
        } else if (what.kind != statement_kind::deallocate || session.prepared.erase(what.name) == 0) {
            reply_code(number, session, answer_code::unknown_statement, what.name);
            return true;
        }
        reply_code(number, session, answer_code::done, "");
        return true;
    }
    if (what.kind == statement_kind::execute && !session.prepared.contains(what.name)) {
        reply_code(number, session, answer_code::unknown_statement, what.name);
        return true;
    }
    if (what.kind == statement_kind::begin || what.kind == statement_kind::begin_read) {
        take_begin(number, session, asked);
        return true;
    }
    if (ends && !session.transaction) {
        reply_code(number, session, answer_code::malformed, "no transaction is open");
        return true;
    }
    if (what.kind == statement_kind::rollback) {
        take_rollback(number, session);
        return true;
    }
    return false;
}

/// What proxies say, and callers do not.
void statement_desk::take_own(session_number number, caller_session& session, const statement& what)
{
    if (!session.is_relayed || what.kind != statement_kind::reset) {
        reply_code(number, session, answer_code::malformed, "not a statement");
        return;
    }
    session.values.clear();
    session.prepared.clear();
    reply_code(number, session, answer_code::done, "");
}

void statement_desk::take_begin(session_number number, caller_session& session, const asked_statement& asked)
{
    if (session.transaction) {
        reply_code(number, session, answer_code::malformed, "a transaction is open");
        return;
    }
    const auto route = m_step.state.routes.find(session.database);
    if (route == m_step.state.routes.end()) {
        reply_code(number, session, answer_code::unknown_database, session.database);
        return;
    }
    open_transaction begun;
    begun.only_reads = asked.what.kind == statement_kind::begin_read;
    begun.route = route->second;
    begun.least = asked.least;
    begun.begun_at = begun.last_used = asked.received_at;
    session.transaction = std::move(begun);
    reply_code(number, session, answer_code::done, "");
}

void statement_desk::take_rollback(session_number number, caller_session& session)
{
    end_transaction(session);
    reply_code(number, session, answer_code::done, "");
}

void statement_desk::queue(session_number number, caller_session& session, const asked_statement& asked)
{
    pending_statement pending;
    pending.asked = asked;
    if (session.transaction) {
        pending.route = session.transaction->route;
        pending.link = session.transaction->link;
        pending.only_reads = session.transaction->only_reads;
        pending.asked.least = session.transaction->least;
    } else {
        const auto route = m_step.state.routes.find(session.database);
        if (route == m_step.state.routes.end()) {
            reply_code(number, session, answer_code::unknown_database, session.database);
            return;
        }
        pending.route = route->second;
        const statement& what = asked.what;
        pending.only_reads = what.kind == statement_kind::read || (what.kind == statement_kind::execute &&
                                                                   session.prepared.at(what.name).only_reads);
    }
    pending.needs_primary =
        !pending.only_reads || pending.route.consistency == configuration::read_consistency::primary;
    pending.deadline = asked.received_at + pending.route.statement_timeout;
    pending.retry_at = m_step.now;
    const group_name group = pending.route.group;
    session.pending = std::move(pending);
    m_step.state.active.insert(number);
    m_step.state.queues[group].push_back(number);
    dispatch(group);
}

void statement_desk::dispatch(const group_name& group)
{
    const auto found = m_step.state.queues.find(group);
    if (found == m_step.state.queues.end() || found->second.empty()) {
        return;
    }
    std::vector<waiting_statement> line;
    for (const session_number number : found->second) {
        const caller_session& session = m_step.state.sessions.at(number);
        line.push_back({number, session.pending->link != 0, session.pending->route.priority,
                        session.pending->asked.received_at});
    }
    const auto oldest = std::min_element(line.begin(), line.end(),
                                         [](const waiting_statement& left, const waiting_statement& right) {
                                             return left.received_at < right.received_at;
                                         });
    const bool serves_newest = is_overloaded(m_step.now - oldest->received_at);
    std::sort(line.begin(), line.end(), serves_newest ? goes_before_in_overload : goes_before);
    for (const waiting_statement& each : line) {
        caller_session& session = m_step.state.sessions.at(each.session);
        if (session.pending->retry_at <= m_step.now && place(each.session, session)) {
            leave_queue(each.session, group);
        }
    }
}

void statement_desk::dispatch_all()
{
    std::vector<group_name> groups;
    for (const auto& [group, waiting] : m_step.state.queues) {
        groups.push_back(group);
    }
    for (const group_name& group : groups) {
        dispatch(group);
    }
}

bool statement_desk::place(session_number number, caller_session& session)
{
    pending_statement& pending = *session.pending;
    if (pending.link != 0) {
        go_on(pending.link, session);
        return true;
    }
    if (runs_elsewhere(session)) {
        return place_elsewhere(number, session);
    }
    const std::optional<link_number> link =
        pending.needs_primary ? link_at_primary(session, pending.route.group) : link_for_read(session);
    if (!link) {
        return false;
    }
    start_on(*link, number, session);
    return true;
}

/// Other entry hosts run it when this one holds no connections to the group, or has lost its way to it. What
/// others pass on stays here.
bool statement_desk::runs_elsewhere(const caller_session& session) const
{
    const protocol::group_access* access = m_step.access(session.pending->route.group);
    if (session.is_relayed || access == nullptr || access->relays.empty()) {
        return false;
    }
    return !access->is_direct || (is_cut_off(*session.pending) && !relays_for(session).empty());
}

std::vector<relay_candidate> statement_desk::relays_for(const caller_session& session) const
{
    std::vector<relay_candidate> candidates;
    for (const std::uint32_t place : m_step.access(session.pending->route.group)->relays) {
        const protocol::relay_host& host = m_step.state.view->relays->hosts.at(place);
        const backend_server_name name{host.name.value};
        const auto load = m_step.state.loads.find(name);
        const bool is_known = load != m_step.state.loads.end();
        candidates.push_back({place, host.zone == m_step.state.zone, is_known ? load->second.in_use : 0,
                              is_known && m_step.now < load->second.avoid_until,
                              session.pending->tried.contains(name)});
    }
    return in_order_of_use(std::move(candidates));
}

bool statement_desk::place_elsewhere(session_number number, caller_session& session)
{
    pending_statement& pending = *session.pending;
    for (const relay_candidate& candidate : relays_for(session)) {
        const protocol::relay_host& host = m_step.state.view->relays->hosts.at(candidate.place);
        const backend_server_name name{host.name.value};
        if (const std::optional<link_number> link = m_links.find_idle(name, session)) {
            pending.least_position = own_commit(session);
            start_on(*link, number, session);
            return true;
        }
        const std::size_t waiting = m_step.state.queues[pending.route.group].size();
        if (m_step.state.loads[name].opening < waiting) {
            m_links.open_relay(host, pending.route.group, session.database);
        }
        if (m_step.state.loads[name].opening > 0) {
            return false;
        }
    }
    return false;
}

/// What a read of the session has to see whatever its age may be.
std::optional<group_position> statement_desk::own_commit(const caller_session& session)
{
    const pending_statement& pending = *session.pending;
    const auto own = session.commits.find(pending.route.group);
    const bool sees_own = pending.only_reads && own != session.commits.end() &&
                          pending.route.consistency == configuration::read_consistency::read_your_writes;
    return sees_own ? std::max(pending.asked.least, std::optional(own->second)) : pending.asked.least;
}

std::optional<link_number> statement_desk::link_at_primary(const caller_session& session,
                                                           const group_name& group)
{
    const group_in_view* known = m_step.group(group);
    if (known == nullptr || !m_step.is_primary_usable(*known) || known->is_held ||
        is_new_work_refused(known->primary) || !has_room(known->primary)) {
        return std::nullopt;
    }
    const std::optional<link_number> link = m_links.find_idle(known->primary, session);
    if (!link) {
        m_links.open_if_allowed(known->primary);
    }
    return link;
}

bool statement_desk::has_room(const backend_server_name& server) const
{
    const auto load = m_step.state.loads.find(server);
    return load == m_step.state.loads.end() || may_send(load->second.limit, load->second.under_way);
}

std::optional<link_number> statement_desk::link_for_read(caller_session& session)
{
    pending_statement& pending = *session.pending;
    const group_name& group = pending.route.group;
    const group_in_view* known = m_step.group(group);
    std::optional<group_position> least = position_covering(
        m_step.state.samples[group], pending.asked.received_at - pending.route.max_staleness + age_margin);
    if (!least) {
        return link_at_primary(session, group);
    }
    least = std::max(least, own_commit(session));
    std::vector<read_server> servers;
    for (const auto& [name, server] : m_step.state.view->servers) {
        const bool is_primary = known != nullptr && known->primary == name;
        const bool is_usable = !is_primary || (m_step.is_primary_usable(*known) && !known->is_held);
        if (server.group != group || server.is_leaving || !is_usable || pending.tried.contains(name) ||
            !has_room(name)) {
            continue;
        }
        const server_load& load = m_step.state.loads[name];
        servers.push_back({name, is_primary, server.zone == m_step.state.zone, load.under_way,
                           load.latency_ms, m_step.now < load.avoid_until});
    }
    const std::vector<read_server> preferred = in_order_of_preference(std::move(servers));
    for (const read_server& server : preferred) {
        const std::optional<link_number> link = m_links.find_idle(server.name, session);
        if (link) {
            pending.least_position = server.is_primary ? std::nullopt : least;
            return link;
        }
        // A better server gets one more connection, whether or not another can run this read now.
        m_links.open_if_allowed(server.name);
    }
    return std::nullopt;
}

void statement_desk::start_on(link_number link, session_number number, caller_session& session)
{
    m_links.lend(link, number);
    session.pending->link = link;
    ++session.pending->attempts;
    if (session.transaction) {
        session.transaction->link = link;
    }
    go_on(link, session);
}

void statement_desk::go_on(link_number link, caller_session& session)
{
    pending_statement& pending = *session.pending;
    if (m_links.prepare(link, session, pending)) {
        pending.stage = statement_stage::preparing;
        return;
    }
    pending.stage = statement_stage::running;
    pending.sent_at = m_step.now;
    m_links.run(link, pending);
}

void statement_desk::finish_own(link_number number, const answer& whole)
{
    server_link& link = *m_step.link(number);
    note_heard(link);
    const statement own = *link.own;
    const bool is_ended = own.kind == statement_kind::rollback;
    if (whole.code == answer_code::done) {
        m_links.note_own_done(link);
    }
    const group_name group = link.group;
    caller_session* session = link.holder == 0 ? nullptr : m_step.session(link.holder);
    const session_number holder = link.holder;
    if (session == nullptr || !session->pending) {
        if (whole.code != answer_code::done || (is_ended && whole.state != transaction_state::none)) {
            m_links.close(number);
        } else {
            m_links.release(number);
        }
        dispatch(group);
        return;
    }
    if (whole.code == answer_code::done) {
        go_on(number, *session);
        return;
    }
    refuse_own(number, holder, *session, whole);
    dispatch(group);
}

/// The server did not do what has to come before the caller's statement.
void statement_desk::refuse_own(link_number number, session_number holder, caller_session& session,
                                const answer& whole)
{
    server_link& link = *m_step.link(number);
    const backend_server_name server = link.server;
    const bool is_begin =
        link.own->kind == statement_kind::begin || link.own->kind == statement_kind::begin_read;
    const std::string reason = "refused before it ran: code=" + std::to_string(static_cast<int>(whole.code));
    link.own.reset();
    m_links.avoid(server);
    note_load(link, whole.code);
    note_refusal(*session.pending, server, whole.code);
    // A connection that did not begin a transaction is as it was; after any other refusal its values are in
    // doubt.
    if (is_begin && whole.state == transaction_state::none) {
        m_links.release(number);
    } else {
        m_links.close(number);
    }
    move_or_abort(holder, session, reason);
}

/// The connection is gone before the statement was sent: another may take it, unless the transaction has run
/// statements there.
void statement_desk::move_or_abort(session_number number, caller_session& session, const std::string& reason)
{
    if (session.transaction && session.transaction->has_run) {
        settle(number, session, std::nullopt, reason);
        return;
    }
    requeue(number, session, reason);
}

void statement_desk::finish(link_number number, answer whole)
{
    server_link& link = *m_step.link(number);
    const group_name group = link.group;
    m_links.note_latency(link);
    note_heard(link);
    if (link.sent_in_term != 0 && whole.at && m_step.is_term_usable(group, link.sent_in_term)) {
        add_sample(m_step.state.samples[group], {link.sent_at, *whole.at}, m_step.now);
    }
    note_load(link, whole.code);
    link.is_in_transaction = whole.state != transaction_state::none;
    m_links.set_stage(link, link_stage::reserved);
    const session_number holder = link.holder;
    caller_session* session = holder == 0 ? nullptr : m_step.session(holder);
    if (session == nullptr || !session->pending) {
        m_links.release(number);
        dispatch(group);
        return;
    }
    if (whole.code != answer_code::done) {
        if (!link.is_relay) {
            m_links.avoid(link.server);
        }
        note_refusal(*session->pending, link.server, whole.code);
        if (whole.code == answer_code::unknown_statement) {
            link.prepared.clear();
        }
    }
    settle(holder, *session, std::move(whole), "");
    dispatch(group);
}

void statement_desk::lose(link_number number, const std::string& reason)
{
    server_link& link = *m_step.link(number);
    const group_name group = link.group;
    const session_number holder = link.holder;
    const bool was_opening = link.stage == link_stage::opening;
    server_load& load = m_step.state.loads[link.server];
    if (was_opening) {
        load.connect_after = m_step.now + reconnect_pause;
        load.unreachable_since = load.unreachable_since.value_or(link.opened_at);
    }
    if (link.is_relay) {
        load.avoid_until = m_step.now + (was_opening ? relay_avoidance : refusal_pause);
    }
    m_step.log(logging::log_level::warning, "link_lost", link.server.value,
               fmt::format("group={} link={} opening={} session={} reason=\"{}\"", group.value, number,
                           was_opening, holder, reason));
    suspect(link, reason);
    const backend_server_name server = link.server;
    m_links.forget(number);
    caller_session* session = holder == 0 ? nullptr : m_step.session(holder);
    if (session != nullptr && session->transaction && session->transaction->link == number) {
        session->transaction->link = 0;
        if (!session->pending) {
            fail_transaction(*session);
        }
    }
    if (session != nullptr && session->pending && session->pending->link == number) {
        session->pending->tried.insert(server);
        if (session->pending->stage == statement_stage::running) {
            settle(holder, *session, std::nullopt, reason);
        } else {
            move_or_abort(holder, *session, reason);
        }
    }
    dispatch(group);
}

void statement_desk::refuse_link(link_number number, answer_code code)
{
    const server_link& link = *m_step.link(number);
    m_step.state.loads[link.server].connect_after = m_step.now + reconnect_pause;
    m_step.log(logging::log_level::information, "link_refused", link.server.value,
               fmt::format("group={} link={} code={}", link.group.value, number, static_cast<int>(code)));
    m_links.close(number);
}

/// Puts a statement that has not run, or may run again, back in line for another server.
void statement_desk::requeue(session_number number, caller_session& session, const std::string& reason)
{
    pending_statement& pending = *session.pending;
    if (session.transaction) {
        session.transaction->link = 0;
    }
    pending.link = 0;
    pending.stage = statement_stage::queued;
    pending.least_position.reset();
    pending.retry_at =
        pending.needs_primary && pending.attempts > 0 ? m_step.now + refusal_pause : m_step.now;
    m_step.log(logging::log_level::information, "retry_statement", "",
               fmt::format("id={} database={} attempts={} waited_ms={} reason=\"{}\"", pending.asked.id,
                           session.database, pending.attempts,
                           (m_step.now - pending.asked.received_at).count(), reason));
    m_step.state.queues[pending.route.group].push_back(number);
}

void statement_desk::settle(session_number number, caller_session& session, std::optional<answer> whole,
                            const std::string& reason)
{
    pending_statement& pending = *session.pending;
    const link_number link = pending.link;
    const bool is_link_left = m_step.link(link) != nullptr;
    const bool is_open = whole && whole->state == transaction_state::open;
    const std::optional<answer_code> code = whole ? std::optional(whole->code) : std::nullopt;
    switch (judge(scope_of(session), code, is_open)) {
    case verdict::pass_on:
        pass_on(number, session, std::move(*whole));
        return;
    case verdict::try_elsewhere:
        if (is_too_late(pending, m_step.now) || was_refused_after_a_wait(pending, code)) {
            if (is_link_left) {
                m_links.release(link);
            }
            reply_code(number, session, answer_code::busy, "no server could run it in time");
            return;
        }
        requeue(number, session, whole ? whole->detail : reason);
        if (is_link_left) {
            m_links.release(link);
        }
        return;
    case verdict::try_again_here:
        pending.stage = statement_stage::queued;
        pending.retry_at = m_step.now + refusal_pause;
        m_step.state.queues[pending.route.group].push_back(number);
        return;
    case verdict::tell_aborted: {
        const bool is_commit = pending.asked.what.kind == statement_kind::commit;
        if (is_commit) {
            end_transaction(session);
        } else {
            fail_transaction(session);
        }
        reply_code(number, session, answer_code::aborted, reason);
        return;
    }
    case verdict::tell_unknown:
        if (session.transaction) {
            end_transaction(session);
        }
        reply_code(number, session, answer_code::outcome_unknown, reason);
        return;
    }
}

/// Another entry host has kept it waiting, as this one would have: its servers have more work than they can
/// do, and asking the next host only adds to it.
bool statement_desk::was_refused_after_a_wait(const pending_statement& pending,
                                              const std::optional<answer_code>& code) const
{
    const server_link* link = m_step.link(pending.link);
    return link != nullptr && link->is_relay && code == answer_code::busy &&
           m_step.now - pending.sent_at >= overload_after;
}

void statement_desk::pass_on(session_number number, caller_session& session, answer whole)
{
    pending_statement& pending = *session.pending;
    const link_number link = pending.link;
    const group_name group = pending.route.group;
    const statement_scope scope = scope_of(session);
    const bool is_commit = commits_writes(scope);
    if (is_commit && whole.code == answer_code::done && m_step.state.links.at(link).is_relay) {
        // The host that ran it holds the lease, and tells control of the commit.
        session.commits[group] = std::max(session.commits[group], whole.at.value_or(group_position{}));
    } else if (is_commit && whole.code == answer_code::done) {
        const group_term term = m_step.state.links.at(link).sent_in_term;
        if (!m_step.is_term_usable(group, term)) {
            m_step.log(logging::log_level::warning, "withhold_commit",
                       m_step.state.links.at(link).server.value,
                       fmt::format("id={} group={} term={} reason=\"the term ended before the answer came\"",
                                   pending.asked.id, group.value, term));
            whole = {{}, answer_code::outcome_unknown, "the primary was replaced", whole.state, whole.at};
        } else {
            note_commit(session, group, whole);
        }
    }
    if (!session.transaction) {
        m_links.release(link);
    } else if (pending.asked.what.kind == statement_kind::commit) {
        end_transaction(session);
    } else {
        session.transaction->has_run = true;
        session.transaction->has_written =
            session.transaction->has_written || !session.transaction->only_reads;
        if (whole.state != transaction_state::open) {
            fail_transaction(session);
        }
    }
    whole.state = state_of(session);
    reply(number, session, std::move(whole));
}

void statement_desk::note_commit(caller_session& session, const group_name& group, const answer& whole)
{
    if (!whole.at) {
        return;
    }
    if (!session.is_relayed) {
        session.commits[group] = std::max(session.commits[group], *whole.at);
    }
    m_step.state.commits[group] = std::max(m_step.state.commits[group], *whole.at);
}

/// Forgets the transaction; whatever it has open on its connection is rolled back.
void statement_desk::end_transaction(caller_session& session)
{
    const link_number link = session.transaction->link;
    session.transaction.reset();
    const server_link* held = m_step.link(link);
    if (held == nullptr) {
        return;
    }
    const bool is_unanswered = held->stage == link_stage::running || held->stage == link_stage::preparing;
    if (is_unanswered) {
        m_links.close(link);
    } else {
        m_links.release(link);
    }
}

void statement_desk::fail_transaction(caller_session& session)
{
    open_transaction failed = *session.transaction;
    end_transaction(session);
    failed.link = 0;
    failed.is_failed = true;
    session.transaction = std::move(failed);
}

void statement_desk::reply(session_number number, caller_session& session, answer whole)
{
    if (session.pending) {
        const pending_statement& pending = *session.pending;
        const milliseconds took = m_step.now - pending.asked.received_at;
        const server_link* link = m_step.link(pending.link);
        const bool ran_elsewhere = link != nullptr && link->is_relay;
        m_step.emit(statement_finished{session.database, whole.code,
                                       pending.least_position.has_value() && !ran_elsewhere,
                                       pending.only_reads, took, ran_elsewhere});
        if (whole.code != answer_code::done) {
            m_step.log(logging::log_level::information, "refuse_statement", "",
                       fmt::format("id={} database={} group={} code={} stage={} attempts={} took_ms={} "
                                   "reason=\"{}\"",
                                   pending.asked.id, session.database, pending.route.group.value,
                                   static_cast<int>(whole.code), static_cast<int>(pending.stage),
                                   pending.attempts, took.count(), whole.detail));
        }
        leave_queue(number, pending.route.group);
        session.pending.reset();
        m_step.state.active.erase(number);
    }
    if (whole.at) {
        session.last_position = whole.at;
    } else {
        whole.at = session.last_position;
    }
    if (session.transaction) {
        session.transaction->last_used = m_step.now;
    }
    m_step.emit(answer_session{number, std::move(whole)});
    take_next(number);
}

void statement_desk::reply_code(session_number number, caller_session& session, answer_code code,
                                const std::string& detail)
{
    // A promise inside a transaction covers the whole attempt, so nothing of it may be kept.
    const bool is_promise = code == answer_code::busy || code == answer_code::aborted;
    if (is_promise && session.transaction && !session.transaction->is_failed) {
        fail_transaction(session);
    }
    reply(number, session, {{}, code, detail, state_of(session), std::nullopt});
}

void statement_desk::take_next(session_number number)
{
    caller_session* session = m_step.session(number);
    if (session == nullptr || session->pending || session->waiting.empty()) {
        return;
    }
    const asked_statement next = session->waiting.front();
    session->waiting.pop_front();
    take(number, *session, next);
}

void statement_desk::close(session_number number)
{
    m_step.state.opening.erase(number);
    caller_session* session = m_step.session(number);
    if (session == nullptr) {
        return;
    }
    if (session->pending) {
        leave_queue(number, session->pending->route.group);
        m_step.state.active.erase(number);
    }
    const bool is_running = session->pending && session->pending->link != 0;
    if (is_running && !session->transaction) {
        m_links.leave_unanswered(session->pending->link);
    }
    if (session->transaction) {
        end_transaction(*session);
    }
    m_step.state.sessions.erase(number);
}

void statement_desk::leave_queue(session_number number, const group_name& group)
{
    auto& waiting = m_step.state.queues[group];
    waiting.erase(std::remove(waiting.begin(), waiting.end(), number), waiting.end());
}

void statement_desk::check_times()
{
    const std::set<session_number> active = m_step.state.active;
    for (const session_number number : active) {
        caller_session* session = m_step.session(number);
        if (session != nullptr && session->pending) {
            check_session(number, *session);
        }
    }
    end_idle_transactions();
    std::vector<std::pair<link_number, std::string>> silent;
    for (const auto& [number, link] : m_step.state.links) {
        const bool is_own = link.stage == link_stage::preparing || link.stage == link_stage::rolling_back;
        if (link.stage == link_stage::opening && m_step.now - link.opened_at >= connect_limit(link)) {
            silent.emplace_back(number, "not connected in time");
        } else if (is_own && m_step.now - link.sent_at >= own_statement_timeout) {
            silent.emplace_back(number, "no answer to the proxy's own statement");
        } else if (link.stage == link_stage::running && link.holder == 0 &&
                   m_step.now - link.sent_at >= 2 * own_statement_timeout) {
            silent.emplace_back(number, "no answer after the caller had left");
        }
    }
    for (const auto& [number, reason] : silent) {
        if (m_step.link(number) != nullptr) {
            m_step.emit(close_link{number});
            lose(number, reason);
        }
    }
}

/// A caller that rests inside a transaction holds a connection; it loses it when others wait for one.
void statement_desk::end_idle_transactions()
{
    const milliseconds limit = m_step.state.view->configuration->content.transaction_idle_timeout;
    for (auto& [number, session] : m_step.state.sessions) {
        const bool is_idle = session.transaction && session.transaction->link != 0 && !session.pending &&
                             m_step.now - session.transaction->last_used >= limit;
        if (!is_idle || m_step.state.queues[session.transaction->route.group].empty()) {
            continue;
        }
        m_step.log(logging::log_level::information, "end_idle_transaction", "",
                   fmt::format("database={} group={} idle_ms={}", session.database,
                               session.transaction->route.group.value,
                               (m_step.now - session.transaction->last_used).count()));
        fail_transaction(session);
        session.transaction->has_expired = true;
    }
}

void statement_desk::check_session(session_number number, caller_session& session)
{
    pending_statement& pending = *session.pending;
    if (pending.stage == statement_stage::queued && is_too_late(pending, m_step.now)) {
        reply_code(number, session, answer_code::busy, "no server was free in time");
        return;
    }
    if (pending.stage == statement_stage::queued && is_cut_off(pending) && !runs_elsewhere(session)) {
        reply_code(number, session, answer_code::busy,
                   "this host is cut off from the primary or from control");
        return;
    }
    if (pending.stage != statement_stage::running) {
        return;
    }
    server_link& link = *m_step.link(pending.link);
    if (link.is_relay) {
        check_relay(number, session, link);
        return;
    }
    if (m_step.now - pending.sent_at >= suspicious_silence) {
        suspect(link, "a statement is unanswered");
    }
    const statement_scope scope = scope_of(session);
    const bool is_commit = commits_writes(scope);
    if (is_commit && m_step.now - pending.sent_at >= stalled_commit_after) {
        suspect(link, "a commit is unanswered", true);
    }
    const bool is_read = scope == statement_scope::single_read;
    const bool tries_elsewhere = is_read && m_step.now - pending.sent_at >= read_retry_after &&
                                 m_step.now + read_retry_after / 2 < pending.deadline;
    if (tries_elsewhere || m_step.now >= pending.deadline) {
        give_up_unanswered(number, session);
    }
}

/// The other host waits, tries again and refuses by itself, unless it is lost.
void statement_desk::check_relay(session_number number, caller_session& session, const server_link& link)
{
    const pending_statement& pending = *session.pending;
    server_load& load = m_step.state.loads[link.server];
    const bool is_silent = m_step.now - std::max(pending.sent_at, load.heard_at) >= relay_silence;
    if (is_silent && m_step.now >= load.avoid_until) {
        load.avoid_until = m_step.now + relay_avoidance;
        m_step.log(logging::log_level::warning, "avoid_relay", link.server.value,
                   fmt::format("group={} silent_ms={}", link.group.value,
                               (m_step.now - std::max(pending.sent_at, load.heard_at)).count()));
    }
    const bool tries_elsewhere = is_silent && scope_of(session) == statement_scope::single_read &&
                                 m_step.now + read_retry_after / 2 < pending.deadline;
    if (tries_elsewhere || m_step.now >= pending.deadline) {
        give_up_unanswered(number, session);
    }
}

void statement_desk::note_load(const server_link& link, answer_code code)
{
    server_load& load = m_step.state.loads[link.server];
    if (code == answer_code::busy) {
        load.limit = after_refusal(load.limit, load.under_way, m_step.now);
    } else if (code == answer_code::done) {
        load.limit = after_answer(load.limit, load.under_way);
    }
}

void statement_desk::note_heard(const server_link& link)
{
    if (link.is_relay) {
        m_step.state.loads[link.server].heard_at = m_step.now;
    }
}

void statement_desk::give_up_unanswered(session_number number, caller_session& session)
{
    const link_number link = session.pending->link;
    session.pending->tried.insert(m_step.link(link)->server);
    if (!m_step.link(link)->is_relay) {
        m_links.avoid(m_step.link(link)->server);
    }
    if (session.transaction) {
        session.transaction->link = 0;
    }
    if (scope_of(session) == statement_scope::single_read) {
        m_links.leave_unanswered(link);
    } else {
        m_links.close(link);
    }
    session.pending->link = 0;
    if (m_step.now >= session.pending->deadline && scope_of(session) == statement_scope::single_read) {
        reply_code(number, session, answer_code::timed_out, "no answer in time");
        return;
    }
    settle(number, session, std::nullopt, "no answer in time");
}

/// Other hosts can run it: its caller is sent there at once.
bool statement_desk::is_cut_off(const pending_statement& pending) const
{
    const group_in_view* group = m_step.group(pending.route.group);
    if (!pending.needs_primary || pending.link != 0 || group == nullptr) {
        return false;
    }
    const bool has_lost_lease = m_step.now - m_step.state.view->lease_until >= isolation_delay;
    const auto load = m_step.state.loads.find(group->primary);
    const bool is_unreachable = group->is_open && load != m_step.state.loads.end() &&
                                load->second.unreachable_since && load->second.open <= load->second.opening &&
                                m_step.now - *load->second.unreachable_since >= isolation_delay;
    return has_lost_lease || is_unreachable;
}

void statement_desk::suspect(const server_link& link, const std::string& reason, bool is_stalled)
{
    const group_in_view* group = m_step.group(link.group);
    if (group != nullptr && group->is_open && group->primary == link.server) {
        m_step.emit(suspect_primary{link.group, group->term, link.server, reason, is_stalled});
    }
}

time_point statement_desk::next_time() const
{
    time_point next = m_step.now + longest_pause;
    for (const session_number number : m_step.state.active) {
        const pending_statement& pending = *m_step.state.sessions.at(number).pending;
        next = std::min(next, pending.stage == statement_stage::queued ? pending.deadline - send_margin
                                                                       : pending.deadline);
        if (pending.stage == statement_stage::queued && pending.retry_at > m_step.now) {
            next = std::min(next, pending.retry_at);
        }
        if (pending.stage == statement_stage::running) {
            const milliseconds silent = m_step.now - pending.sent_at;
            for (const milliseconds limit :
                 {read_retry_after, suspicious_silence, relay_silence, stalled_commit_after}) {
                next = silent < limit ? std::min(next, pending.sent_at + limit) : next;
            }
        }
    }
    for (const auto& [number, opening] : m_step.state.opening) {
        next = std::min(next, opening.since + opening_limit);
    }
    for (const auto& [number, link] : m_step.state.links) {
        if (link.stage == link_stage::opening) {
            next = std::min(next, link.opened_at + connect_limit(link));
        } else if (link.stage == link_stage::preparing || link.stage == link_stage::rolling_back) {
            next = std::min(next, link.sent_at + own_statement_timeout);
        }
    }
    return next;
}

void statement_desk::stop_idle(bool ends_transactions)
{
    std::vector<session_number> ended;
    for (auto& [number, session] : m_step.state.sessions) {
        if (ends_transactions && session.transaction && !session.transaction->is_failed && !session.pending) {
            fail_transaction(session);
        }
        if (!session.transaction && !session.pending) {
            ended.push_back(number);
        }
    }
    for (const session_number number : ended) {
        m_step.emit(close_session{number});
        close(number);
    }
}

void statement_desk::stop_all()
{
    const std::set<session_number> active = m_step.state.active;
    for (const session_number number : active) {
        caller_session* session = m_step.session(number);
        if (session != nullptr && session->pending && session->pending->stage == statement_stage::queued) {
            session->waiting.clear();
            reply_code(number, *session, answer_code::busy, "the proxy stops");
        }
    }
    std::vector<session_number> all;
    for (const auto& [number, session] : m_step.state.sessions) {
        all.push_back(number);
    }
    for (const session_number number : all) {
        m_step.emit(close_session{number});
        close(number);
    }
}

statement_scope statement_desk::scope_of(const caller_session& session) const
{
    const pending_statement& pending = *session.pending;
    if (!session.transaction) {
        return pending.only_reads ? statement_scope::single_read : statement_scope::single_write;
    }
    if (pending.asked.what.kind != statement_kind::commit) {
        return statement_scope::in_transaction;
    }
    return session.transaction->has_written ? statement_scope::commit_of_writes
                                            : statement_scope::commit_of_reads;
}

bool statement_desk::is_new_work_refused(const backend_server_name& server) const
{
    const auto load = m_step.state.loads.find(server);
    return load != m_step.state.loads.end() && load->second.leaving_since &&
           m_step.now - *load->second.leaving_since >= leaving_primary_limit;
}

} // namespace hickorymount::sessions::detail

#include "sessions/internal/connection_pool.h"

#include "sessions/internal/answer_match.h"
#include "sessions/internal/next_check.h"
#include "sessions/internal/relay_deadline.h"

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

namespace hickorymount::sessions::detail {

namespace {

/// Simultaneous connection attempts to one server; each briefly occupies a slot there.
constexpr std::uint32_t max_opening_connections = 2;
/// Simultaneous connection attempts to one other entry host, where they are cheap.
constexpr std::uint32_t max_opening_relay_connections = 4;
/// A connection that no statement has used yet is kept for its customer for this long. Otherwise customers
/// that compete for the share close each other's connections before the first statement.
constexpr milliseconds unused_connection_protection{100};

bool is_in_flight(connection_stage stage)
{
    return stage == connection_stage::preparing || stage == connection_stage::running ||
           stage == connection_stage::rolling_back;
}

/// Effort to set the session's variables on the connection: 0 if they are set, 1 if some have to be set, 2 if
/// the connection has to be reset first.
int variables_mismatch(const server_connection& connection, const caller_session& session)
{
    if (connection.variables == session.variables) {
        return 0;
    }
    const bool needs_reset =
        std::any_of(connection.variables.begin(), connection.variables.end(),
                    [&](const auto& each) { return !session.variables.contains(each.first); });
    return needs_reset ? 2 : 1;
}

/// True while a repeat of a refusal may come, which could be taken for the refusal of another statement.
bool has_open_refusal(const server_connection& connection)
{
    return !connection.answers.refusals.empty();
}

/// Stops counting the connection as one that is being opened.
void forget_opening(const server_connection& connection, server_load& load)
{
    --load.opening_connections;
    const auto customer = load.opening_customers.find(connection.customer);
    if (!connection.is_relay && customer != load.opening_customers.end()) {
        load.opening_customers.erase(customer);
    }
}

} // namespace

std::string server_side_name(const prepared_statement& prepared)
{
    const std::string text = (prepared.is_read_only ? "r " : "w ") + prepared.template_text;
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return fmt::format("p{:016x}{:016x}", hash.high64, hash.low64);
}

connection_pool::connection_pool(event_context& context) : m_context(context) {}

std::optional<connection_number> connection_pool::find_idle(const backend_server_name& server,
                                                            const caller_session& session) const
{
    const auto load = m_context.state.server_loads.find(server);
    if (load == m_context.state.server_loads.end()) {
        return std::nullopt;
    }
    const bool is_single_read = session.pending && session.pending->is_read_only && !session.transaction;
    std::optional<connection_number> best;
    int best_mismatch = 0;
    for (const connection_number number : load->second.idle_connections) {
        const server_connection& connection = m_context.state.connections.at(number);
        if (!serves(connection, session) || (has_open_refusal(connection) && !is_single_read)) {
            continue;
        }
        // Connections with an open refusal serve nothing but reads, so reads leave the others free.
        const int found =
            2 * variables_mismatch(connection, session) + (has_open_refusal(connection) ? 0 : 1);
        if (!best || found < best_mismatch) {
            best = number;
            best_mismatch = found;
        }
        if (found == (is_single_read ? 0 : 1)) {
            break;
        }
    }
    return best;
}

bool connection_pool::serves(const server_connection& connection, const caller_session& session) const
{
    if (!connection.is_relay) {
        return connection.customer == session.customer;
    }
    // A connection whose statements name their callers serves all of them.
    return m_context.identifies_customers() || connection.caller || connection.database == session.database;
}

void connection_pool::open_if_allowed(const backend_server_name& server, const customer_name& customer)
{
    const server_view* known = m_context.server(server);
    server_load& load = m_context.state.server_loads[server];
    if (known == nullptr || is_opening_for(server, customer) ||
        load.opening_connections >= max_opening_connections || m_context.now < load.connect_after) {
        return;
    }
    if (load.open_connections >= known->connection_share && !close_unusable_idle(server, customer)) {
        return;
    }
    const connection_number number = m_context.state.next_connection++;
    server_connection connection;
    connection.server = server;
    connection.group = known->group;
    connection.customer = customer;
    connection.opened_at = m_context.now;
    schedule_check(number, m_context.state.connections.emplace(number, std::move(connection)).first->second);
    ++load.open_connections;
    ++load.opening_connections;
    load.opening_customers.insert(customer);
    m_context.emit(open_connection{number, known->group, server, known->address, {}, customer});
}

bool connection_pool::is_opening_for(const backend_server_name& server, const customer_name& customer) const
{
    const auto load = m_context.state.server_loads.find(server);
    return m_context.identifies_customers() && load != m_context.state.server_loads.end() &&
           load->second.opening_customers.contains(customer);
}

bool connection_pool::close_unusable_idle(const backend_server_name& server, const customer_name& customer)
{
    const server_load& load = m_context.state.server_loads[server];
    std::optional<connection_number> least_recent;
    for (const connection_number number : load.idle_connections) {
        const server_connection& connection = m_context.state.connections.at(number);
        const bool is_earlier =
            !least_recent || connection.idle_since < m_context.state.connections.at(*least_recent).idle_since;
        const bool is_protected = connection.sent_at == time_point{} &&
                                  m_context.now - connection.idle_since < unused_connection_protection;
        const bool is_unusable = connection.customer != customer ||
                                 (has_open_refusal(connection) && load.opening_connections == 0);
        if (is_unusable && is_earlier && !is_protected) {
            least_recent = number;
        }
    }
    if (least_recent) {
        close(*least_recent);
    }
    return least_recent.has_value();
}

void connection_pool::open_relay(const protocol::relay_host& host, const group_name& group,
                                 const std::string& database)
{
    const backend_server_name name{host.name.value};
    server_load& load = m_context.state.server_loads[name];
    load.is_relay = true;
    if (load.opening_connections >= max_opening_relay_connections ||
        load.open_connections >= max_relay_connections || m_context.now < load.connect_after) {
        return;
    }
    const connection_number number = m_context.state.next_connection++;
    server_connection connection;
    connection.server = name;
    connection.group = group;
    connection.is_relay = true;
    connection.database = database;
    connection.opened_at = m_context.now;
    schedule_check(number, m_context.state.connections.emplace(number, std::move(connection)).first->second);
    ++load.open_connections;
    ++load.opening_connections;
    m_context.emit(open_connection{number, group, name, host.address, database});
}

void connection_pool::acquire(connection_number number, session_number holder, const group_name& group)
{
    server_connection& connection = m_context.state.connections.at(number);
    connection.holder = holder;
    connection.group = group;
    set_stage(number, connection, connection_stage::reserved);
    server_load& load = m_context.state.server_loads[connection.server];
    ++load.connections_in_use;
    load.peak_connections_in_use = std::max(load.peak_connections_in_use, load.connections_in_use);
}

bool connection_pool::prepare(connection_number number, const caller_session& session,
                              const pending_statement& pending)
{
    server_connection& connection = m_context.state.connections.at(number);
    const int missing = variables_mismatch(connection, session);
    if (missing == 2) {
        send_internal_statement(number, connection, {.kind = statement_kind::reset}, {});
        return true;
    }
    if (missing == 1) {
        const auto differing =
            std::find_if(session.variables.begin(), session.variables.end(), [&](const auto& each) {
                const auto held = connection.variables.find(each.first);
                return held == connection.variables.end() || held->second != each.second;
            });
        send_internal_statement(
            number, connection,
            {.kind = statement_kind::set_variable, .name = differing->first, .argument = differing->second},
            {});
        return true;
    }
    if (session.transaction && !connection.is_in_transaction) {
        const bool is_read_only = session.transaction->is_read_only;
        send_internal_statement(number, connection,
                                {.kind = is_read_only ? statement_kind::begin_read : statement_kind::begin},
                                pending.minimum_position);
        return true;
    }
    if (pending.request.body.kind == statement_kind::execute) {
        const prepared_statement& prepared = session.prepared_statements.at(pending.request.body.name);
        const std::string name = server_side_name(prepared);
        if (!connection.prepared_statements.contains(name)) {
            send_internal_statement(number, connection,
                                    {.kind = statement_kind::prepare,
                                     .name = name,
                                     .argument = prepared.template_text,
                                     .is_read_only = prepared.is_read_only},
                                    {});
            return true;
        }
    }
    return false;
}

void connection_pool::send_pending(connection_number number, const pending_statement& pending)
{
    server_connection& connection = m_context.state.connections.at(number);
    const group_view* group = m_context.group(connection.group);
    const bool is_primary = group != nullptr && group->primary == connection.server;
    set_stage(number, connection, connection_stage::running);
    connection.sent_at = m_context.now;
    connection.sent_in_term = is_primary && m_context.is_primary_usable(*group) ? group->term : 0;
    statement body = pending.request.body;
    if (body.kind == statement_kind::execute) {
        const caller_session& session = m_context.state.sessions.at(connection.holder);
        body.name = server_side_name(session.prepared_statements.at(body.name));
    }
    // While it is in doubt whether the transaction was begun, a read may run outside of it.
    const bool may_run_outside = !connection.is_in_transaction || connection.answers.doubt > 0;
    m_context.emit(
        send_statement{number, pending.request.id, std::move(body),
                       may_run_outside && pending.is_read_only ? pending.minimum_position : std::nullopt,
                       changed_caller(connection, m_context.state.sessions.at(connection.holder)),
                       connection.is_relay ? remaining_time_to_name(pending, m_context.now) : std::nullopt});
}

void connection_pool::record_sign_of_life(const backend_server_name& server)
{
    server_health& health = m_context.state.server_loads[server].health;
    if (health.waiting_since) {
        health.waiting_since = m_context.now;
    }
}

void connection_pool::apply_internal_result(server_connection& connection)
{
    server_load& load = m_context.state.server_loads[connection.server];
    load.times = after_exchange(load.times, m_context.now - connection.sent_at, m_context.now);
    const statement& executed = *connection.internal_statement;
    switch (executed.kind) {
    case statement_kind::reset:
        connection.variables.clear();
        connection.prepared_statements.clear();
        break;
    case statement_kind::set_variable:
        connection.variables[executed.name] = executed.argument;
        break;
    case statement_kind::prepare:
        connection.prepared_statements.insert(executed.name);
        break;
    case statement_kind::begin:
    case statement_kind::begin_read:
        connection.is_in_transaction = true;
        break;
    case statement_kind::rollback:
        connection.is_in_transaction = false;
        break;
    default:
        break;
    }
    connection.internal_statement.reset();
}

void connection_pool::release(connection_number number)
{
    server_connection& connection = m_context.state.connections.at(number);
    if (connection.holder != 0) {
        --m_context.state.server_loads[connection.server].connections_in_use;
        connection.holder = 0;
    }
    if (connection.is_in_transaction) {
        send_internal_statement(number, connection, {.kind = statement_kind::rollback}, {});
        set_stage(number, connection, connection_stage::rolling_back);
        return;
    }
    set_stage(number, connection, connection_stage::idle);
    if (is_surplus(connection) || is_full(connection.answers)) {
        close(number);
    }
}

void connection_pool::abandon(connection_number number)
{
    server_connection& connection = m_context.state.connections.at(number);
    --m_context.state.server_loads[connection.server].connections_in_use;
    connection.holder = 0;
    schedule_check(number, connection);
}

void connection_pool::close(connection_number number)
{
    m_context.emit(close_connection{number});
    forget(number);
}

void connection_pool::remove_lost(connection_number number)
{
    server_load& load = m_context.state.server_loads[m_context.state.connections.at(number).server];
    load.health = after_loss(load.health, m_context.now);
    forget(number);
}

void connection_pool::forget(connection_number number)
{
    const auto found = m_context.state.connections.find(number);
    const server_connection& connection = found->second;
    server_load& load = m_context.state.server_loads[connection.server];
    --load.open_connections;
    if (connection.stage == connection_stage::opening) {
        forget_opening(connection, load);
    }
    load.connections_in_use -= connection.holder != 0 ? 1 : 0;
    load.in_flight -= is_in_flight(connection.stage) ? 1 : 0;
    if (load.in_flight == 0) {
        load.health.waiting_since.reset();
    }
    load.idle_connections.erase(number);
    m_context.state.connections.erase(found);
}

void connection_pool::close_surplus()
{
    std::vector<connection_number> surplus;
    std::map<backend_server_name, std::uint32_t> counted;
    for (const auto& [number, connection] : m_context.state.connections) {
        const server_view* known = m_context.server(connection.server);
        const bool exceeds_share = !connection.is_relay && (known == nullptr || ++counted[connection.server] >
                                                                                    known->connection_share);
        if (connection.stage == connection_stage::idle && (exceeds_share || is_surplus(connection))) {
            surplus.push_back(number);
        }
    }
    for (const connection_number number : surplus) {
        close(number);
    }
}

void connection_pool::complete_opening(connection_number number)
{
    server_connection& connection = m_context.state.connections.at(number);
    server_load& load = m_context.state.server_loads[connection.server];
    forget_opening(connection, load);
    load.unreachable_since.reset();
    load.times = after_opening(load.times, m_context.now - connection.opened_at, m_context.now);
    set_stage(number, connection, connection_stage::idle);
}

void connection_pool::schedule_check(connection_number number, server_connection& connection)
{
    const time_point due_at = next_connection_check(connection);
    if (due_at < connection.next_check_at) {
        connection.next_check_at = due_at;
        m_context.state.checks.add({due_at, check_subject::connection, number});
    }
}

void connection_pool::set_stage(connection_number number, server_connection& connection,
                                connection_stage stage)
{
    server_load& load = m_context.state.server_loads[connection.server];
    if (stage == connection_stage::idle) {
        load.idle_connections.insert(number);
        connection.idle_since = m_context.now;
    } else if (connection.stage == connection_stage::idle) {
        load.idle_connections.erase(number);
    }
    const bool was_in_flight = is_in_flight(connection.stage);
    load.in_flight += is_in_flight(stage) ? 1 : 0;
    load.in_flight -= was_in_flight ? 1 : 0;
    connection.stage = stage;
    if (load.in_flight == 0) {
        load.health.waiting_since.reset();
    } else if (was_in_flight || !load.health.waiting_since) {
        // A stage without a statement in flight follows one only when the response has arrived.
        load.health.waiting_since = m_context.now;
    }
}

void connection_pool::back_off(const backend_server_name& server)
{
    m_context.state.server_loads[server].avoid_until = m_context.now + refusal_backoff;
}

void connection_pool::send_internal_statement(connection_number number, server_connection& connection,
                                              statement body,
                                              const std::optional<group_position>& minimum_position)
{
    set_stage(number, connection, connection_stage::preparing);
    connection.sent_at = m_context.now;
    connection.sent_in_term = 0;
    schedule_check(number, connection);
    connection.internal_statement = body;
    const caller_session* holder = m_context.session(connection.holder);
    m_context.emit(send_statement{number, "", std::move(body), minimum_position,
                                  holder == nullptr ? std::nullopt : changed_caller(connection, *holder)});
}

std::optional<relayed_caller> connection_pool::changed_caller(server_connection& connection,
                                                              const caller_session& session) const
{
    relayed_caller caller{session.database, session.customer};
    // Once a caller was named, the other host keeps it until another one is named, also without customers.
    const bool names_callers = m_context.identifies_customers() || connection.caller;
    if (!connection.is_relay || !names_callers || connection.caller == caller) {
        return std::nullopt;
    }
    connection.caller = caller;
    return caller;
}

bool connection_pool::is_surplus(const server_connection& connection) const
{
    if (connection.is_relay) {
        return !m_context.is_relay_planned(connection.group, connection.server);
    }
    const server_view* known = m_context.server(connection.server);
    const group_view* group = m_context.group(connection.group);
    const bool is_primary = group != nullptr && group->primary == connection.server;
    return known == nullptr || (known->is_leaving && !is_primary) ||
           m_context.state.server_loads[connection.server].open_connections > known->connection_share;
}

} // namespace hickorymount::sessions::detail

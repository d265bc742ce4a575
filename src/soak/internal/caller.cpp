#include "soak/caller.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::soak {

namespace {

namespace asio = boost::asio;
using sessions::response_code;
using sessions::statement;
using sessions::statement_kind;
using sessions::transaction_state;

/// Time without an answer after which a caller abandons its session.
constexpr milliseconds answer_timeout{3000};
constexpr milliseconds reconnect_pause{50};
constexpr int max_think_time_ms = 40;
constexpr int item_count = 50;
/// Distance between the session numbers of one caller. Exceeds the number of callers, so that numbers are
/// unique.
constexpr int session_number_stride = 1000;
/// Share of the operations that are transactions or set a value first, of the statements that write, and of
/// the transactions that roll back.
constexpr double transaction_share = 0.3;
constexpr double setting_share = 0.15;
constexpr double write_share = 0.3;
constexpr double rollback_share = 0.15;
/// Probability that a caller disconnects instead of sending the next statement of an operation.
constexpr double disconnect_share = 0.02;
constexpr std::size_t max_transaction_statements = 4;

bool promises_not_applied(response_code code)
{
    return code >= response_code::busy && code <= response_code::too_many_connections;
}

} // namespace

caller::caller(run_environment environment, int number, database_route database, identity credentials,
               std::uint32_t seed)
    : m_environment(std::move(environment)), m_number(number), m_database(std::move(database)),
      m_identity(std::move(credentials)), m_random(seed), m_timer(m_environment.context)
{
}

void caller::start()
{
    connect();
}

void caller::stop()
{
    m_is_stopped = true;
    m_timer.cancel();
    if (m_connection != nullptr) {
        m_connection->close();
    }
}

void caller::start_timer(milliseconds duration, void (caller::*handler)())
{
    m_timer.expires_after(duration);
    m_timer.async_wait([self = shared_from_this(), handler](const boost::system::error_code& error) {
        if (!error && !self->m_is_stopped) {
            ((*self).*handler)();
        }
    });
}

void caller::connect()
{
    m_entry_index = m_random() % m_environment.entry_ports.size();
    m_session = m_number + session_number_stride * ++m_connection_count;
    m_is_open = m_is_awaiting_answer = false;
    m_partial_answer = {};
    m_values.clear();
    m_prepared.clear();
    m_connection = std::make_shared<net::line_connection>(asio::ip::tcp::socket(m_environment.context),
                                                          net::line_connection::limits{});
    m_connection->set_handlers(
        {[self = shared_from_this()](std::string_view line) { self->handle_line(line); },
         [self = shared_from_this()](const std::string& /*reason*/) { self->handle_disconnect(); }});
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                                           m_environment.entry_ports[m_entry_index]);
    m_connection->connect(endpoint, [self = shared_from_this()] {
        self->m_connection->send(
            self->m_environment.codec.encode_open({self->m_database.name, self->m_identity.key}).value());
    });
    start_timer(answer_timeout, &caller::handle_timeout);
}

void caller::reconnect_later()
{
    ++m_environment.counts.reconnects;
    m_connection->close();
    start_timer(reconnect_pause, &caller::connect);
}

void caller::handle_line(std::string_view line)
{
    const sessions::server_line decoded = m_environment.codec.decode_server_line(line);
    if (const auto* row = std::get_if<sessions::row_line>(&decoded)) {
        m_partial_answer.rows.push_back(row->text);
        return;
    }
    if (const auto* done = std::get_if<sessions::done_line>(&decoded)) {
        m_partial_answer.detail = done->signature;
        return;
    }
    if (const auto* error = std::get_if<sessions::error_line>(&decoded)) {
        m_partial_answer.code = error->code;
        return;
    }
    const auto* ready = std::get_if<sessions::ready_line>(&decoded);
    if (ready == nullptr) {
        reconnect_later();
        return;
    }
    if (!std::exchange(m_is_open, true)) {
        start_operation();
        return;
    }
    sessions::statement_response answer = std::exchange(m_partial_answer, {});
    answer.state = ready->state;
    answer.position = ready->position;
    handle_answer(answer);
}

void caller::start_operation()
{
    std::uniform_real_distribution<double> probability;
    ++m_attempt;
    m_remaining_statements.clear();
    m_write_ids.clear();
    m_is_in_transaction = probability(m_random) < transaction_share;
    if (m_is_in_transaction) {
        statement end_statement;
        end_statement.kind =
            probability(m_random) < rollback_share ? statement_kind::rollback : statement_kind::commit;
        end_statement.text = end_statement.kind == statement_kind::commit ? "COMMIT" : "ROLLBACK";
        m_remaining_statements.push_back(end_statement);
    }
    const std::size_t count = m_is_in_transaction ? 1 + m_random() % max_transaction_statements : 1;
    for (std::size_t index = 0; index < count; ++index) {
        m_remaining_statements.push_back(make_data_statement(probability(m_random) < write_share));
    }
    if (m_is_in_transaction) {
        statement begin;
        begin.kind = statement_kind::begin;
        begin.text = "BEGIN";
        m_remaining_statements.push_back(begin);
    }
    if (probability(m_random) < setting_share) {
        statement setting;
        setting.kind = statement_kind::set_variable;
        setting.name = fmt::format("v{}", m_random() % 3);
        setting.argument = fmt::format("{}", m_random() % 4);
        m_remaining_statements.push_back(setting);
    }
    std::uniform_int_distribution<int> think_time(1, max_think_time_ms);
    start_timer(milliseconds{think_time(m_random)}, &caller::send_next_statement);
}

statement caller::make_data_statement(bool writes)
{
    statement data_statement;
    const std::string item = fmt::format("{}", m_random() % item_count);
    const bool is_prepared = !m_prepared.empty() && m_random() % 2 == 0;
    if (is_prepared) {
        data_statement.kind = statement_kind::execute;
        data_statement.name = writes ? "w" : "r";
        if (m_prepared.contains(data_statement.name)) {
            data_statement.argument = writes ? item + " x" : item;
            return data_statement;
        }
    }
    data_statement.kind = writes ? statement_kind::write : statement_kind::read;
    data_statement.text = writes ? fmt::format("WRITE {} x", item) : fmt::format("READ {}", item);
    if (m_random() % 8 == 0 && !m_prepared.contains(writes ? "w" : "r")) {
        statement prepare;
        prepare.kind = statement_kind::prepare;
        prepare.name = writes ? "w" : "r";
        prepare.is_read_only = !writes;
        prepare.argument = fmt::format("s{}", m_random() % 3);
        return prepare;
    }
    return data_statement;
}

void caller::send_next_statement()
{
    if (m_remaining_statements.empty()) {
        start_operation();
        return;
    }
    if (std::uniform_real_distribution<double>()(m_random) < disconnect_share) {
        reconnect_later();
        return;
    }
    statement next = m_remaining_statements.back();
    m_remaining_statements.pop_back();
    send_statement(next);
}

void caller::send_statement(const statement& next)
{
    m_pending_id = fmt::format("c{}-{}-{}", m_number, m_attempt, m_random());
    m_pending_statement = next;
    const bool is_execution = next.kind == statement_kind::execute;
    const bool writes =
        next.kind == statement_kind::write || (is_execution && !m_prepared.at(next.name).is_read_only);
    sent_statement sent;
    sent.id = m_pending_id;
    sent.session = m_session;
    sent.attempt = m_attempt;
    sent.is_in_transaction = m_is_in_transaction;
    sent.writes = writes;
    sent.command = next;
    sent.values = m_values;
    sent.prepared_shape = is_execution ? m_prepared.at(next.name).argument : "";
    sent.consistency = m_database.consistency;
    sent.max_staleness = m_database.max_staleness;
    sent.sent_at = millisecond_clock::now();
    sent.entry = m_entry_index;
    sent.customer = m_identity.customer;
    sent.key = m_identity.key;
    m_environment.checker.record_sent(sent);
    if (writes) {
        m_write_ids.push_back(m_pending_id);
    }
    m_is_awaiting_answer = true;
    m_connection->send(m_environment.codec.encode_statement({m_pending_id, next}).value());
    start_timer(answer_timeout, &caller::handle_timeout);
}

void caller::handle_answer(const sessions::statement_response& answer)
{
    if (!std::exchange(m_is_awaiting_answer, false)) {
        reconnect_later();
        return;
    }
    if (answer.code != response_code::done) {
        handle_error(answer.code);
        return;
    }
    ++m_environment.counts.answered;
    const statement_kind kind = m_pending_statement.kind;
    const bool is_forwarded = kind == statement_kind::read || kind == statement_kind::write ||
                              kind == statement_kind::execute ||
                              (kind == statement_kind::commit && answer.detail != "-");
    if (is_forwarded) {
        m_environment.checker.record_answered(m_pending_id, answer);
    }
    if (kind == statement_kind::set_variable) {
        m_values[m_pending_statement.name] = m_pending_statement.argument;
    } else if (kind == statement_kind::prepare) {
        m_prepared[m_pending_statement.name] = m_pending_statement;
    } else if (kind == statement_kind::rollback) {
        m_environment.checker.record_not_applied(m_write_ids);
    }
    const bool is_commit = kind == statement_kind::commit || (!m_is_in_transaction && !m_write_ids.empty());
    if (is_commit) {
        m_environment.checker.record_acknowledged(m_session, m_write_ids, millisecond_clock::now());
    }
    std::uniform_int_distribution<int> think_time(0, 5);
    start_timer(milliseconds{think_time(m_random)}, &caller::send_next_statement);
}

void caller::handle_error(response_code code)
{
    if (promises_not_applied(code)) {
        ++m_environment.counts.refused;
        m_environment.checker.record_not_applied(m_write_ids);
    } else {
        ++m_environment.counts.unknown;
    }
    // The rest of a failed operation is not sent. A new connection discards a transaction that may have
    // failed.
    if (m_is_in_transaction) {
        reconnect_later();
    } else {
        start_operation();
    }
}

void caller::handle_disconnect()
{
    if (m_is_stopped) {
        return;
    }
    if (m_is_awaiting_answer) {
        ++m_environment.counts.interrupted;
        if (m_environment.is_planned_stop(m_entry_index)) {
            m_environment.checker.record_interrupted_by_planned_stop(m_pending_id);
        }
    }
    reconnect_later();
}

void caller::handle_timeout()
{
    if (m_is_awaiting_answer) {
        ++m_environment.counts.unknown;
    }
    reconnect_later();
}

} // namespace hickorymount::soak

#include "soak/caller.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::soak {

namespace {

namespace asio = boost::asio;
using sessions::answer_code;
using sessions::statement;
using sessions::statement_kind;
using sessions::transaction_state;

/// A caller leaves a session that answers nothing for this long.
constexpr milliseconds patience{3000};
constexpr milliseconds reconnect_pause{50};
constexpr int longest_think_time_ms = 40;
constexpr int item_count = 50;
/// Session numbers of one caller are this far apart; more than there are callers.
constexpr int sessions_of_a_caller = 1000;
/// Of operations: how many are transactions, begin with a value or a prepared statement, or write.
constexpr double transaction_share = 0.3;
constexpr double setting_share = 0.15;
constexpr double write_share = 0.3;
constexpr double rollback_share = 0.15;
/// Callers that leave in the middle of an operation.
constexpr double leaving_share = 0.02;
constexpr std::size_t longest_transaction = 4;

bool is_promise(answer_code code)
{
    return code >= answer_code::busy && code <= answer_code::too_many;
}

} // namespace

caller::caller(surroundings around, int number, caller_database database, std::uint32_t seed)
    : m_around(std::move(around)), m_number(number), m_database(std::move(database)), m_random(seed),
      m_timer(m_around.context)
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

void caller::arm(milliseconds duration, void (caller::*then)())
{
    m_timer.expires_after(duration);
    m_timer.async_wait([self = shared_from_this(), then](const boost::system::error_code& problem) {
        if (!problem && !self->m_is_stopped) {
            ((*self).*then)();
        }
    });
}

void caller::connect()
{
    m_entry_place = m_random() % m_around.entry_ports.size();
    m_session = m_number + sessions_of_a_caller * ++m_connections;
    m_is_open = m_is_waiting = false;
    m_partial = {};
    m_values.clear();
    m_prepared.clear();
    m_connection = std::make_shared<net::line_connection>(asio::ip::tcp::socket(m_around.context),
                                                          net::line_connection::limits{});
    m_connection->set_handlers(
        {[self = shared_from_this()](std::string_view line) { self->take_line(line); },
         [self = shared_from_this()](const std::string& /*reason*/) { self->take_end(); }});
    const asio::ip::tcp::endpoint to(asio::ip::address_v4::loopback(), m_around.entry_ports[m_entry_place]);
    m_connection->connect(to, [self = shared_from_this()] {
        self->m_connection->send(self->m_around.wire.encode_open(self->m_database.name));
    });
    arm(patience, &caller::give_up);
}

void caller::reconnect_later()
{
    ++m_around.counts.reopened;
    m_connection->close();
    arm(reconnect_pause, &caller::connect);
}

void caller::take_line(std::string_view line)
{
    const sessions::server_line decoded = m_around.wire.decode_server(line);
    if (const auto* row = std::get_if<sessions::row_line>(&decoded)) {
        m_partial.rows.push_back(row->text);
        return;
    }
    if (const auto* done = std::get_if<sessions::done_line>(&decoded)) {
        m_partial.detail = done->signature;
        return;
    }
    if (const auto* error = std::get_if<sessions::error_line>(&decoded)) {
        m_partial.code = error->code;
        return;
    }
    const auto* ready = std::get_if<sessions::ready_line>(&decoded);
    if (ready == nullptr) {
        reconnect_later();
        return;
    }
    if (!std::exchange(m_is_open, true)) {
        next_operation();
        return;
    }
    sessions::answer whole = std::exchange(m_partial, {});
    whole.state = ready->state;
    whole.at = ready->at;
    take_answer(whole);
}

void caller::next_operation()
{
    std::uniform_real_distribution<double> share;
    ++m_attempt;
    m_left.clear();
    m_writes.clear();
    m_is_transaction = share(m_random) < transaction_share;
    if (m_is_transaction) {
        statement end;
        end.kind = share(m_random) < rollback_share ? statement_kind::rollback : statement_kind::commit;
        end.text = end.kind == statement_kind::commit ? "COMMIT" : "ROLLBACK";
        m_left.push_back(end);
    }
    const std::size_t count = m_is_transaction ? 1 + m_random() % longest_transaction : 1;
    for (std::size_t at = 0; at < count; ++at) {
        m_left.push_back(data_statement(share(m_random) < write_share));
    }
    if (m_is_transaction) {
        statement begin;
        begin.kind = statement_kind::begin;
        begin.text = "BEGIN";
        m_left.push_back(begin);
    }
    if (share(m_random) < setting_share) {
        statement setting;
        setting.kind = statement_kind::set_value;
        setting.name = fmt::format("v{}", m_random() % 3);
        setting.argument = fmt::format("{}", m_random() % 4);
        m_left.push_back(setting);
    }
    std::uniform_int_distribution<int> think(1, longest_think_time_ms);
    arm(milliseconds{think(m_random)}, &caller::next_statement);
}

statement caller::data_statement(bool writes)
{
    statement what;
    const std::string item = fmt::format("{}", m_random() % item_count);
    const bool is_prepared = !m_prepared.empty() && m_random() % 2 == 0;
    if (is_prepared) {
        what.kind = statement_kind::execute;
        what.name = writes ? "w" : "r";
        if (m_prepared.contains(what.name)) {
            what.argument = writes ? item + " x" : item;
            return what;
        }
    }
    what.kind = writes ? statement_kind::write : statement_kind::read;
    what.text = writes ? fmt::format("WRITE {} x", item) : fmt::format("READ {}", item);
    if (m_random() % 8 == 0 && !m_prepared.contains(writes ? "w" : "r")) {
        statement prepare;
        prepare.kind = statement_kind::prepare;
        prepare.name = writes ? "w" : "r";
        prepare.only_reads = !writes;
        prepare.argument = fmt::format("s{}", m_random() % 3);
        return prepare;
    }
    return what;
}

void caller::next_statement()
{
    if (m_left.empty()) {
        next_operation();
        return;
    }
    if (std::uniform_real_distribution<double>()(m_random) < leaving_share) {
        reconnect_later();
        return;
    }
    statement next = m_left.back();
    m_left.pop_back();
    ask(next);
}

void caller::ask(const statement& what)
{
    m_id = fmt::format("c{}-{}-{}", m_number, m_attempt, m_random());
    m_asked = what;
    const bool is_execution = what.kind == statement_kind::execute;
    const bool writes =
        what.kind == statement_kind::write || (is_execution && !m_prepared.at(what.name).only_reads);
    sent_statement sent;
    sent.id = m_id;
    sent.session = m_session;
    sent.attempt = m_attempt;
    sent.is_in_transaction = m_is_transaction;
    sent.writes = writes;
    sent.what = what;
    sent.values = m_values;
    sent.prepared_shape = is_execution ? m_prepared.at(what.name).argument : "";
    sent.consistency = m_database.consistency;
    sent.max_staleness = m_database.max_staleness;
    sent.sent_at = millisecond_clock::now();
    m_around.seen.note_sent(sent);
    if (writes) {
        m_writes.push_back(m_id);
    }
    m_is_waiting = true;
    m_connection->send(m_around.wire.encode_statement(m_id, what, std::nullopt));
    arm(patience, &caller::give_up);
}

void caller::take_answer(const sessions::answer& got)
{
    if (!std::exchange(m_is_waiting, false)) {
        reconnect_later();
        return;
    }
    if (got.code != answer_code::done) {
        settle_failure(got.code);
        return;
    }
    ++m_around.counts.answered;
    const statement_kind kind = m_asked.kind;
    const bool is_forwarded = kind == statement_kind::read || kind == statement_kind::write ||
                              kind == statement_kind::execute ||
                              (kind == statement_kind::commit && got.detail != "-");
    if (is_forwarded) {
        m_around.seen.note_answered(m_id, got);
    }
    if (kind == statement_kind::set_value) {
        m_values[m_asked.name] = m_asked.argument;
    } else if (kind == statement_kind::prepare) {
        m_prepared[m_asked.name] = m_asked;
    } else if (kind == statement_kind::rollback) {
        m_around.seen.note_promised_not_kept(m_writes);
    }
    const bool is_commit = kind == statement_kind::commit || (!m_is_transaction && !m_writes.empty());
    if (is_commit) {
        m_around.seen.note_acknowledged(m_session, m_writes, millisecond_clock::now());
    }
    std::uniform_int_distribution<int> think(0, 5);
    arm(milliseconds{think(m_random)}, &caller::next_statement);
}

void caller::settle_failure(answer_code code)
{
    if (is_promise(code)) {
        ++m_around.counts.refused;
        m_around.seen.note_promised_not_kept(m_writes);
    } else {
        ++m_around.counts.unknown;
    }
    // An operation that failed is not gone on with; its session may be in a failed transaction.
    if (m_is_transaction) {
        reconnect_later();
    } else {
        next_operation();
    }
}

void caller::take_end()
{
    if (m_is_stopped) {
        return;
    }
    if (m_is_waiting) {
        ++m_around.counts.cut;
        if (m_around.is_planned_stop(m_entry_place)) {
            m_around.seen.note_cut_by_planned_stop(m_id);
        }
    }
    reconnect_later();
}

void caller::give_up()
{
    if (m_is_waiting) {
        ++m_around.counts.unknown;
    }
    reconnect_later();
}

} // namespace hickorymount::soak

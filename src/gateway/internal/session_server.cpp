#include "gateway/internal/session_server.h"

#include "configuration/key_digest.h"
#include "gateway/internal/probe_step.h"
#include "logging/fields.h"
#include "metrics/labels.h"

#include <algorithm>
#include <new>
#include <utility>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace hickorymount::gateway::detail {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// A status statement may wait for a connection and for a slot.
constexpr milliseconds probe_timeout{500};
constexpr milliseconds takeover_timeout{800};
/// Pause before a busy server is sent the probe again.
constexpr milliseconds probe_retry_pause{30};
/// Interval between checks of timeouts and of an exhausted budget, while there is something to check.
constexpr milliseconds limit_check_interval{250};
/// Interval between log lines about closed connections of a port.
constexpr milliseconds close_log_interval{1000};
/// Upper limit of a timer's wait.
constexpr milliseconds max_wait{60'000};

const char* code_name(sessions::response_code code)
{
    switch (code) {
    case sessions::response_code::done:
        return "done";
    case sessions::response_code::busy:
        return "busy";
    case sessions::response_code::aborted:
        return "aborted";
    case sessions::response_code::lagging:
        return "lagging";
    case sessions::response_code::read_only:
        return "read_only";
    case sessions::response_code::misrouted:
        return "misrouted";
    case sessions::response_code::too_many_connections:
        return "too_many";
    case sessions::response_code::limit_reached:
        return "limit_reached";
    case sessions::response_code::outcome_unknown:
        return "outcome_unknown";
    case sessions::response_code::timed_out:
        return "timed_out";
    case sessions::response_code::failed:
        return "failed";
    case sessions::response_code::unknown_statement:
        return "unknown_statement";
    case sessions::response_code::malformed:
        return "malformed";
    case sessions::response_code::unknown_database:
        return "unknown_database";
    case sessions::response_code::not_authorized:
        return "not_authorized";
    }
    return "unnamed";
}

std::string_view truth_value(bool flag)
{
    return flag ? "true" : "false";
}

/// The first word of a message if the protocol has it; other words may be content.
std::string_view message_word(std::string_view line)
{
    const std::string_view word = line.substr(0, line.find(' '));
    for (const std::string_view known : {"START", "QUERY", "BYE", "ROW", "DONE", "ERR", "READY"}) {
        if (word == known) {
            return known;
        }
    }
    return word.empty() ? "none" : "other";
}

} // namespace

session_server::session_server(std::unique_ptr<sessions::session_codec> codec, availability_zone zone,
                               std::map<availability_zone, region_name> regions, const session_limits& limits,
                               handlers event_handlers, logging::log_writer& log,
                               metrics::metric_registry& metrics)
    : m_codec(std::move(codec)), m_handlers(std::move(event_handlers)), m_log(log), m_metrics(metrics),
      m_caller_port(m_context, "callers", limits.callers, acceptor_handlers(false)),
      m_relay_port(m_context, "relays", limits.relays, acceptor_handlers(true)), m_timer(m_context),
      m_limit_timer(m_context)
{
    m_state.zone = std::move(zone);
    m_state.regions = std::move(regions);
}

session_server::~session_server()
{
    stop();
}

result<void> session_server::start(const protocol::endpoint& address,
                                   const std::optional<protocol::endpoint>& relay)
{
    BOOST_LEAF_CHECK(listen(m_caller_port, address));
    m_port = m_caller_port.acceptor.local_address().port();
    m_caller_port.acceptor.start();
    if (relay) {
        BOOST_LEAF_CHECK(listen(m_relay_port, *relay));
        m_relay_port.acceptor.start();
    }
    m_thread = std::thread([this] {
        handle_event(sessions::timer_expired{});
        m_context.run();
    });
    return {};
}

result<void> session_server::listen(session_port& port, const protocol::endpoint& address)
{
    const auto listen_address = socket_address(address);
    if (!listen_address) {
        return fail("listen", to_string(address), "not an IP address");
    }
    const boost::system::error_code error = port.acceptor.listen(*listen_address);
    if (error) {
        return fail("listen", to_string(address), error.message());
    }
    return {};
}

void session_server::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void session_server::publish(sessions::traffic_view view)
{
    asio::post(m_context, [this, view = shared_value(std::move(view))] {
        handle_event(sessions::view_published{view});
    });
}

void session_server::drain(milliseconds time)
{
    asio::post(m_context, [this, time] { handle_event(sessions::stop_requested{time}); });
}

void session_server::probe(routing::probe_server order)
{
    asio::post(m_context, [this, order = std::move(order)] {
        send_probe(order,
                   order.request.pause_below_term == 0 ? sessions::statement_kind::status
                                                       : sessions::statement_kind::pause,
                   1);
    });
}

void session_server::send_probe(const routing::probe_server& order, sessions::statement_kind kind,
                                int attempt)
{
    sessions::statement statement;
    statement.kind = kind;
    statement.term = order.request.pause_below_term;
    const auto call = std::make_shared<server_call>(
        m_context, *m_codec, [this, order, kind, attempt](const server_call_result& call_result) {
            handle_probe_result(order, kind, attempt, call_result);
        });
    call->start(order.request.address, order.request.group.value, order.request.server.value, statement,
                probe_timeout);
}

void session_server::handle_probe_result(const routing::probe_server& order, sessions::statement_kind kind,
                                         int attempt, const server_call_result& call_result)
{
    if (!call_result.answer && !call_result.is_refused) {
        report_probe(order, std::nullopt);
        return;
    }
    std::optional<sessions::server_status> status;
    if (call_result.answer && !call_result.answer->rows.empty()) {
        status = m_codec->decode_status(call_result.answer->rows.front());
    }
    const auto code = call_result.answer ? std::optional(call_result.answer->code) : std::nullopt;
    switch (next_probe_step(order.request.pause_below_term != 0, kind, code, status.has_value(), attempt)) {
    case probe_step::report: {
        protocol::server_report report;
        report.name = order.request.server;
        report.group = order.request.group;
        report.address = order.request.address;
        report.interface = protocol::server_interface::sessions;
        report.role =
            !status || status->is_primary ? protocol::server_role::primary : protocol::server_role::replica;
        report.position = status ? status->received_position : session_token::group_position{};
        report_probe(order, std::move(report));
        return;
    }
    case probe_step::retry: {
        auto timer = std::make_shared<asio::steady_timer>(m_context, probe_retry_pause);
        timer->async_wait([this, timer, order, kind, attempt](const boost::system::error_code& error) {
            if (!error) {
                send_probe(order, kind, attempt + 1);
            }
        });
        return;
    }
    case probe_step::request_status:
        send_probe(order, sessions::statement_kind::status, attempt);
        return;
    case probe_step::give_up:
        m_log.write({logging::log_level::warning, "probe", order.request.server.value,
                     fmt::format("group={} attempts={} reason=\"no answer contained a position\"",
                                 order.request.group.value, attempt)});
        report_probe(order, std::nullopt);
        return;
    }
}

void session_server::report_probe(const routing::probe_server& order,
                                  std::optional<protocol::server_report> status)
{
    m_handlers.on_event(routing::probe_finished{
        order.requester, {order.request.probe_id, order.request.server, std::move(status)}});
}

void session_server::send_takeover(routing::send_role_change order)
{
    asio::post(m_context, [this, order = std::move(order)] {
        const protocol::role_change_request& request = order.request;
        sessions::statement statement;
        statement.kind =
            request.is_demotion ? sessions::statement_kind::demote : sessions::statement_kind::resume;
        statement.term = request.term;
        const auto call = std::make_shared<server_call>(
            m_context, *m_codec, [this, order](const server_call_result& call_result) {
                const bool is_done =
                    call_result.answer && call_result.answer->code == sessions::response_code::done;
                m_log.write({logging::log_level::information, "tell_server", order.request.server.value,
                             fmt::format("group={} term={} demotes={} done={}", order.request.group.value,
                                         order.request.term, order.request.is_demotion, is_done)});
                m_handlers.on_event(routing::role_change_finished{
                    order.requester,
                    {order.request.request_id, order.request.group, order.request.server, order.request.kind,
                     order.request.term, is_done, 0}});
            });
        call->start(request.address, request.group.value, request.server.value, statement, takeover_timeout);
    });
}

net::connection_acceptor::handlers session_server::acceptor_handlers(bool is_relayed)
{
    return {[this, is_relayed](tcp::socket socket) { add_caller(std::move(socket), is_relayed); },
            [this](const std::string& reason) {
                m_log.write({logging::log_level::warning, "accept", "", "reason=" + logging::quoted(reason)});
            }};
}

void session_server::add_caller(tcp::socket socket, bool is_relayed)
{
    session_port& port = port_of(is_relayed);
    const sessions::session_number number = m_next_session++;
    if (const auto refused = port.gate.admit(number, millisecond_clock::now())) {
        record_close(port, refused->reason);
        if (refused->session == number) {
            // The socket closes the connection.
            return;
        }
        m_callers.at(refused->session).connection->close();
        end_caller(refused->session);
    }
    auto connection =
        std::make_shared<net::line_connection>(std::move(socket), net::line_connection::limits{});
    connection->set_handlers(
        {[this, number](std::string_view line) { handle_caller_line(number, line); },
         [this, number](const std::string& /*reason*/) { end_caller(number); },
         [number, &port] { return port.gate.accepts_lines(number); },
         [number, &port] { return port.gate.may_read(number, millisecond_clock::now()); },
         [this, number, is_relayed] { record_buffers(number, is_relayed); }});
    m_callers.emplace(number, caller{connection, false, is_relayed});
    connection->start();
    apply_limits(port);
}

void session_server::record_buffers(sessions::session_number number, bool is_relayed)
{
    const bool is_leaving = !m_callers.contains(number);
    const auto& callers = is_leaving ? m_leaving_callers : m_callers;
    const auto found = callers.find(number);
    if (found == callers.end()) {
        return;
    }
    const net::line_connection& connection = *found->second.connection;
    session_port& port = port_of(is_relayed);
    port.gate.record_buffers(number, is_leaving ? 0 : connection.received_bytes(), connection.unsent_bytes(),
                             connection.total_received_bytes(), millisecond_clock::now());
    apply_limits(port);
}

void session_server::record_values(sessions::session_number number, const caller& owner)
{
    const auto found = m_state.sessions.find(number);
    if (!owner.has_values || found == m_state.sessions.end()) {
        return;
    }
    std::size_t bytes = 0;
    for (const auto& [name, value] : found->second.variables) {
        bytes += name.size() + value.size();
    }
    for (const auto& [name, prepared] : found->second.prepared_statements) {
        bytes += name.size() + prepared.template_text.size();
    }
    port_of(owner.is_relayed).gate.record_values(number, bytes);
}

void session_server::end_caller(sessions::session_number number)
{
    const auto found = m_callers.find(number);
    if (found == m_callers.end()) {
        return;
    }
    session_port& port = port_of(found->second.is_relayed);
    m_callers.erase(found);
    port.gate.remove(number);
    apply_limits(port);
    handle_event(sessions::session_closed{number});
}

void session_server::close_after_sending(sessions::session_number number)
{
    const auto found = m_callers.find(number);
    if (found == m_callers.end()) {
        return;
    }
    const caller leaving = found->second;
    session_port& port = port_of(leaving.is_relayed);
    m_callers.erase(found);
    leaving.connection->close_after_sending();
    if (leaving.connection->is_closed()) {
        port.gate.remove(number);
    } else {
        port.gate.record_leaving(number);
        m_leaving_callers.emplace(number, leaving);
    }
    apply_limits(port);
}

void session_server::remove_closed_connections()
{
    std::erase_if(m_leaving_callers, [this](const auto& each) {
        const caller& leaving = each.second;
        if (leaving.connection->is_closed()) {
            port_of(leaving.is_relayed).gate.remove(each.first);
        }
        return leaving.connection->is_closed();
    });
}

void session_server::record_close(session_port& port, close_reason reason)
{
    m_metrics.count("hickorymount_connections_closed_total",
                    metrics::labels({{"port", port.name}, {"reason", to_string(reason)}}));
    ++port.unlogged_closes;
    const time_point now = millisecond_clock::now();
    if (now < port.next_log_at) {
        return;
    }
    port.next_log_at = now + close_log_interval;
    m_log.write({logging::log_level::warning, "close_connection", "",
                 fmt::format("port={} reason=\"{}\" count={} open={} buffered_bytes={}", port.name,
                             to_string(reason), std::exchange(port.unlogged_closes, 0),
                             port.gate.connection_count(), port.gate.used_bytes())});
}

void session_server::apply_limits(session_port& port)
{
    port.connection_count = port.gate.connection_count();
    port.used_bytes = port.gate.used_bytes();
    for (const sessions::session_number number : port.gate.take_resumable()) {
        m_callers.at(number).connection->resume();
    }
    if (port.gate.is_check_due() && !std::exchange(m_is_limit_check_posted, true)) {
        // Deferred: the effects of an event may still be in execution.
        asio::post(m_context, [this] {
            m_is_limit_check_posted = false;
            check_limits();
        });
    }
    const bool needs_check = port.gate.needs_check() || !m_leaving_callers.empty();
    if (needs_check && !std::exchange(m_is_limit_check_planned, true)) {
        m_limit_timer.expires_after(limit_check_interval);
        m_limit_timer.async_wait([this](const boost::system::error_code& error) {
            m_is_limit_check_planned = false;
            if (!error) {
                check_limits();
            }
        });
    }
}

void session_server::check_limits()
{
    remove_closed_connections();
    check_limits(m_caller_port);
    check_limits(m_relay_port);
    remove_closed_connections();
}

void session_server::check_limits(session_port& port)
{
    for (const refused_connection& each : port.gate.connections_to_close(millisecond_clock::now())) {
        const auto found = m_callers.find(each.session);
        if (found != m_callers.end()) {
            record_close(port, each.reason);
            found->second.connection->close();
            end_caller(each.session);
        } else if (const auto leaving = m_leaving_callers.find(each.session);
                   leaving != m_leaving_callers.end()) {
            record_close(port, each.reason);
            leaving->second.connection->close();
        }
    }
    apply_limits(port);
}

void session_server::set_gauges() const
{
    for (const session_port* port : {&m_caller_port, &m_relay_port}) {
        const std::string labels = metrics::labels({{"port", port->name}});
        m_metrics.set("hickorymount_connections_open", labels, static_cast<double>(port->connection_count));
        m_metrics.set("hickorymount_buffered_bytes", labels, static_cast<double>(port->used_bytes));
    }
}

void session_server::handle_caller_line(sessions::session_number number, std::string_view line)
{
    caller& caller_state = m_callers.at(number);
    session_gate& gate = port_of(caller_state.is_relayed).gate;
    sessions::caller_line decoded;
    try {
        decoded =
            caller_state.is_relayed ? m_codec->decode_proxy_line(line) : m_codec->decode_caller_line(line);
    } catch (const std::bad_alloc&) {
        record_close(port_of(caller_state.is_relayed), close_reason::budget_exhausted);
        caller_state.connection->close();
        end_caller(number);
        return;
    }
    if (const auto* opening = std::get_if<sessions::open_request>(&decoded);
        opening != nullptr && !caller_state.is_open) {
        gate.record_opening(number);
        handle_event(sessions::session_requested{number, opening->database, caller_state.is_relayed,
                                                 configuration::digest_of_key(opening->credential)});
        return;
    }
    if (const auto* request = std::get_if<sessions::statement_request>(&decoded);
        request != nullptr && caller_state.is_open) {
        gate.record_statement(number, line.size());
        const sessions::statement_kind kind = request->body.kind;
        caller_state.has_values = caller_state.has_values || kind == sessions::statement_kind::set_variable ||
                                  kind == sessions::statement_kind::prepare;
        handle_event(sessions::statement_received{number, request->id, request->body,
                                                  request->minimum_position, request->caller,
                                                  request->remaining_time});
        return;
    }
    if (std::holds_alternative<sessions::malformed_request>(decoded)) {
        m_metrics.count("hickorymount_unreadable_messages_total",
                        metrics::labels({{"sender", caller_state.is_relayed ? "relay" : "caller"},
                                         {"word", message_word(line)}}));
    }
    if (caller_state.is_open && std::holds_alternative<sessions::malformed_request>(decoded)) {
        gate.record_statement(number, 0);
        handle_event(sessions::malformed_statement_received{number});
        return;
    }
    // The caller leaves, or it sent an invalid line before its session was open.
    if (!caller_state.is_open && !std::holds_alternative<sessions::close_request>(decoded)) {
        caller_state.connection->send(
            m_codec->encode_refusal({sessions::response_code::malformed, "a session is opened first"}));
    }
    close_after_sending(number);
    handle_event(sessions::session_closed{number});
}

void session_server::handle_server_line(sessions::connection_number number, std::string_view line)
{
    server_connection& connection_state = m_server_connections.at(number);
    switch (append(connection_state.answer, m_codec->decode_server_line(line))) {
    case read_step::incomplete:
        return;
    case read_step::opened:
        handle_event(sessions::connection_opened{number});
        return;
    case read_step::refused:
        handle_event(sessions::connection_refused{number, connection_state.answer.response.code});
        return;
    case read_step::answered: {
        sessions::statement_response complete = std::move(connection_state.answer.response);
        connection_state.answer = {true, false, {}};
        handle_event(sessions::response_received{number, std::move(complete)});
        return;
    }
    case read_step::opened_again:
        record_repeated_opening(number);
        return;
    case read_step::unreadable:
        record_unreadable(number, line);
        connection_state.connection->close();
        end_connection(number, "the server's answer can't be read", true);
        return;
    }
}

/// Logs and counts a second answer to the opening line, which answers no statement.
void session_server::record_repeated_opening(sessions::connection_number number)
{
    m_metrics.count("hickorymount_unexpected_responses_total", "kind=\"opening\"");
    const auto known = m_state.connections.find(number);
    m_log.write({logging::log_level::warning, "unexpected_response",
                 known == m_state.connections.end() ? "" : known->second.server.value,
                 fmt::format("link={} kind=opening", number)});
}

/// Logs and counts a server's message that can't be read. Its content may be a caller's, so only the kind and
/// the length are named.
void session_server::record_unreadable(sessions::connection_number number, std::string_view line)
{
    const server_connection& connection_state = m_server_connections.at(number);
    const std::string_view word = message_word(line);
    m_metrics.count("hickorymount_unreadable_messages_total",
                    metrics::labels({{"sender", "server"}, {"word", word}}));
    const auto known = m_state.connections.find(number);
    m_log.write(
        {logging::log_level::warning, "unreadable_message",
         known == m_state.connections.end() ? "" : known->second.server.value,
         fmt::format("link={} word={} bytes={} opening={} rows_before={} outcome_before={}", number, word,
                     line.size(), !connection_state.answer.is_open,
                     connection_state.answer.response.rows.size(), connection_state.answer.has_outcome)});
}

void session_server::end_connection(sessions::connection_number number, const std::string& reason,
                                    bool is_unreadable)
{
    m_server_connections.erase(number);
    handle_event(sessions::connection_lost{number, reason, is_unreadable});
}

void session_server::handle_event(sessions::event_payload kind)
{
    sessions::transition transition =
        sessions::reduce(std::move(m_state), sessions::event{millisecond_clock::now(), std::move(kind)});
    m_state = std::move(transition.state);
    for (sessions::effect& effect : transition.effects) {
        std::visit([this](auto& each) { execute(std::move(each)); }, effect);
    }
    arm_timer(transition.next_timer_at);
}

void session_server::arm_timer(time_point next_timer_at)
{
    if (next_timer_at >= m_timer_deadline) {
        return;
    }
    m_timer_deadline = next_timer_at;
    const milliseconds wait = std::clamp(next_timer_at - millisecond_clock::now(), milliseconds{1}, max_wait);
    m_timer.expires_after(wait);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error) {
            return;
        }
        m_timer_deadline = time_point::max();
        handle_event(sessions::timer_expired{});
    });
}

void session_server::execute(sessions::accept_session&& effect)
{
    caller& caller_state = m_callers.at(effect.session);
    caller_state.is_open = true;
    caller_state.connection->send(m_codec->encode_ready({}));
}

void session_server::execute(sessions::refuse_session&& effect)
{
    const auto found = m_callers.find(effect.session);
    found->second.connection->send(m_codec->encode_refusal({effect.code, effect.detail}));
    close_after_sending(effect.session);
}

void session_server::execute(sessions::send_response&& effect)
{
    const auto found = m_callers.find(effect.session);
    if (found == m_callers.end()) {
        return;
    }
    session_gate& gate = port_of(found->second.is_relayed).gate;
    const bool accepted_lines = gate.accepts_lines(effect.session);
    gate.record_response(effect.session);
    record_values(effect.session, found->second);
    const auto answer = m_codec->encode_answer(effect.response);
    if (!answer) {
        m_log.write({logging::log_level::warning, "unsendable_answer", "",
                     fmt::format("session={} rows={}", effect.session, effect.response.rows.size())});
        found->second.connection->close();
        // Deferred: the effects of an event are in execution.
        asio::post(m_context, [this, number = effect.session] { end_caller(number); });
        return;
    }
    found->second.connection->send(*answer);
    if (!accepted_lines && gate.accepts_lines(effect.session)) {
        found->second.connection->resume();
    }
}

void session_server::execute(sessions::close_session&& effect)
{
    close_after_sending(effect.session);
}

void session_server::execute(sessions::open_connection&& effect)
{
    const sessions::connection_number number = effect.connection;
    m_metrics.count(effect.database.empty() ? "hickorymount_links_opened_total"
                                            : "hickorymount_relay_links_opened_total",
                    "");
    auto connection =
        std::make_shared<net::line_connection>(tcp::socket(m_context), net::line_connection::limits{});
    connection->set_handlers({[this, number](std::string_view line) { handle_server_line(number, line); },
                              [this, number](const std::string& reason) { end_connection(number, reason); }});
    m_server_connections.emplace(number, server_connection{connection, {}});
    const auto address = socket_address(effect.address);
    if (!address) {
        asio::post(m_context, [this, number] {
            if (m_server_connections.contains(number)) {
                end_connection(number, "the address is no IP number");
            }
        });
        return;
    }
    auto opening = m_codec->encode_open(
        effect.database.empty()
            ? sessions::open_request{effect.group.value, effect.customer.value, effect.server.value}
            : sessions::open_request{effect.database});
    if (!opening) {
        asio::post(m_context, [this, number] {
            if (m_server_connections.contains(number)) {
                end_connection(number, "the names can't be written");
            }
        });
        return;
    }
    connection->connect(*address, [connection, opening = std::move(*opening)] { connection->send(opening); });
}

void session_server::execute(sessions::send_statement&& effect)
{
    const auto found = m_server_connections.find(effect.connection);
    if (found == m_server_connections.end()) {
        return;
    }
    const auto message = m_codec->encode_statement(
        {effect.id, effect.body, effect.minimum_position, effect.caller, effect.remaining_time});
    if (message) {
        found->second.connection->send(*message);
        return;
    }
    m_log.write(
        {logging::log_level::warning, "unsendable_statement", "",
         fmt::format("link={} kind={} bytes={}", effect.connection, static_cast<int>(effect.body.kind),
                     effect.body.text.size() + effect.body.argument.size())});
    asio::post(m_context, [this, number = effect.connection] { answer_malformed(number); });
}

/// Answers the statement that could not be sent in place of the server. A transaction that is open there
/// fails.
void session_server::answer_malformed(sessions::connection_number number)
{
    const auto known = m_state.connections.find(number);
    if (known == m_state.connections.end()) {
        return;
    }
    const auto state = known->second.is_in_transaction ? sessions::transaction_state::failed
                                                       : sessions::transaction_state::none;
    handle_event(sessions::response_received{
        number,
        {{}, sessions::response_code::malformed, "the statement can't be written", state, std::nullopt}});
}

void session_server::execute(sessions::close_connection&& effect)
{
    const auto found = m_server_connections.find(effect.connection);
    if (found != m_server_connections.end()) {
        found->second.connection->close();
        m_server_connections.erase(found);
    }
}

void session_server::execute(sessions::report_suspected_primary&& effect)
{
    m_handlers.on_event(routing::primary_suspected{effect.group, effect.term, effect.server,
                                                   std::move(effect.reason), effect.are_commits_stalled});
}

void session_server::execute(sessions::report_to_control&& effect)
{
    routing::traffic_reported summary;
    for (const auto& [name, use] : effect.connection_usage_by_server) {
        summary.connection_usages[name] = {use.open_connections, use.peak_needed};
    }
    summary.acknowledged_commits = std::move(effect.commit_positions);
    summary.closed_terms = std::move(effect.closed_terms);
    summary.customer_demands = std::move(effect.customer_demands);
    summary.needs_quota = effect.needs_quota;
    for (const auto& [name, demand] : summary.customer_demands) {
        m_metrics.set("hickorymount_customer_quota", metrics::labels({{"customer", name.value}}),
                      static_cast<double>(demand.held));
    }
    for (const auto& [name, hold] : effect.holds) {
        summary.holds[name] = {hold.term, hold.in_flight};
    }
    m_handlers.on_event(std::move(summary));
}

void session_server::execute(sessions::record_statement_metrics&& effect)
{
    const std::string labels = metrics::labels({{"database", effect.database}});
    m_metrics.observe_ms("hickorymount_statement_duration_ms", labels,
                         static_cast<double>(effect.duration.count()));
    m_metrics.count("hickorymount_statements_total",
                    labels + "," +
                        metrics::labels({{"code", code_name(effect.code)},
                                         {"reads", truth_value(effect.is_read_only)},
                                         {"replica", truth_value(effect.ran_on_replica)},
                                         {"elsewhere", truth_value(effect.ran_on_relay)}}));
    if (!effect.customer.empty()) {
        const std::string customer_label = metrics::labels({{"customer", effect.customer.value}});
        m_metrics.observe_ms("hickorymount_customer_statement_duration_ms", customer_label,
                             static_cast<double>(effect.duration.count()));
        m_metrics.count("hickorymount_customer_statements_total",
                        customer_label + "," + metrics::labels({{"code", code_name(effect.code)}}));
    }
    if (effect.queued_for) {
        m_metrics.observe_ms("hickorymount_statement_queueing_ms", labels,
                             static_cast<double>(effect.queued_for->count()));
    }
    if (effect.waited_for != sessions::wait_cause::none) {
        m_metrics.count("hickorymount_statements_refused_in_queue_total",
                        metrics::labels({{"cause", to_string(effect.waited_for)}}));
    }
}

void session_server::execute(sessions::record_limit_refusal&& effect)
{
    m_metrics.count("hickorymount_operations_refused_by_limit_total",
                    metrics::labels({{"customer", effect.customer.value}}));
}

void session_server::execute(sessions::record_ejection_metrics&& effect)
{
    const bool is_ejected = effect.reason != sessions::ejection_reason::none;
    const std::string label = metrics::labels({{"server", effect.server.value}});
    m_metrics.set("hickorymount_server_ejected", label, is_ejected ? 1 : 0);
    if (is_ejected) {
        m_metrics.count("hickorymount_server_ejections_total",
                        label + "," + metrics::labels({{"reason", to_string(effect.reason)}}));
    }
}

void session_server::execute(sessions::record_unexpected_response&& effect)
{
    m_metrics.count("hickorymount_unexpected_responses_total",
                    fmt::format("kind=\"{}\"", sessions::to_string(effect.origin)));
}

void session_server::execute(sessions::record_queue_metrics&& effect)
{
    for (const group_name& group : m_queued_groups) {
        if (!effect.queued_statements.contains(group)) {
            m_metrics.set("hickorymount_statements_queued", metrics::labels({{"group", group.value}}), 0);
        }
    }
    for (const auto& [group, count] : effect.queued_statements) {
        m_metrics.set("hickorymount_statements_queued", metrics::labels({{"group", group.value}}),
                      static_cast<double>(count));
        m_queued_groups.insert(group);
    }
}

void session_server::execute(sessions::record_overflow_metrics&& effect)
{
    m_metrics.set(effect.is_relayed ? "hickorymount_relayed_share_leaving_zone"
                                    : "hickorymount_read_share_leaving_region",
                  metrics::labels({{"group", effect.group.value}}), effect.share);
}

void session_server::execute(sessions::report_stopped&& /*effect*/)
{
    m_handlers.on_stopped();
}

void session_server::execute(logging::log_record&& effect)
{
    m_log.write(effect);
}

} // namespace hickorymount::gateway::detail

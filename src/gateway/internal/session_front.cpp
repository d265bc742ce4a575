#include "gateway/internal/session_front.h"

#include "gateway/internal/probe_outcome.h"

#include <algorithm>
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
/// Upper limit of a timer's wait.
constexpr milliseconds max_wait{60'000};

const char* code_name(sessions::answer_code code)
{
    switch (code) {
    case sessions::answer_code::done:
        return "done";
    case sessions::answer_code::busy:
        return "busy";
    case sessions::answer_code::aborted:
        return "aborted";
    case sessions::answer_code::lagging:
        return "lagging";
    case sessions::answer_code::read_only:
        return "read_only";
    case sessions::answer_code::misrouted:
        return "misrouted";
    case sessions::answer_code::too_many:
        return "too_many";
    case sessions::answer_code::outcome_unknown:
        return "outcome_unknown";
    case sessions::answer_code::timed_out:
        return "timed_out";
    case sessions::answer_code::failed:
        return "failed";
    case sessions::answer_code::unknown_statement:
        return "unknown_statement";
    case sessions::answer_code::malformed:
        return "malformed";
    case sessions::answer_code::unknown_database:
        return "unknown_database";
    }
    return "unnamed";
}

} // namespace

session_server::session_server(std::unique_ptr<sessions::wire> wire, availability_zone zone,
                               handlers event_handlers, logging::log_writer& log,
                               metrics::metric_registry& metrics)
    : m_wire(std::move(wire)), m_handlers(std::move(event_handlers)), m_log(log), m_metrics(metrics),
      m_acceptor(m_context), m_relay_acceptor(m_context), m_timer(m_context)
{
    m_state.zone = std::move(zone);
}

session_server::~session_server()
{
    stop();
}

result<void> session_server::start(const protocol::endpoint& address,
                                   const std::optional<protocol::endpoint>& relay)
{
    BOOST_LEAF_CHECK(listen(m_acceptor, address));
    m_port = m_acceptor.local_endpoint().port();
    accept(m_acceptor, false);
    if (relay) {
        BOOST_LEAF_CHECK(listen(m_relay_acceptor, *relay));
        accept(m_relay_acceptor, true);
    }
    m_thread = std::thread([this] {
        handle_event(sessions::time_passed{});
        m_context.run();
    });
    return {};
}

result<void> session_server::listen(tcp::acceptor& acceptor, const protocol::endpoint& address)
{
    const auto listen_address = socket_address(address);
    if (!listen_address) {
        return fail("listen", to_string(address), "not an IP address");
    }
    boost::system::error_code error;
    acceptor.open(listen_address->protocol(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(*listen_address, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
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
    asio::post(m_context, [this, time] { handle_event(sessions::stop_asked{time}); });
}

void session_server::probe(routing::probe_server order)
{
    asio::post(m_context, [this, order = std::move(order)] {
        send_probe(order,
                   order.order.pause_below == 0 ? sessions::statement_kind::status
                                                : sessions::statement_kind::pause,
                   1);
    });
}

void session_server::send_probe(const routing::probe_server& order, sessions::statement_kind kind,
                                int attempt)
{
    sessions::statement statement;
    statement.kind = kind;
    statement.term = order.order.pause_below;
    const auto call = std::make_shared<server_call>(
        m_context, *m_wire, [this, order, kind, attempt](const server_call_result& call_result) {
            handle_probe_result(order, kind, attempt, call_result);
        });
    call->start(order.order.address, order.order.group.value, order.order.server.value, statement,
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
        status = m_wire->decode_status(call_result.answer->rows.front());
    }
    const auto code = call_result.answer ? std::optional(call_result.answer->code) : std::nullopt;
    switch (next_probe_step(order.order.pause_below != 0, kind, code, status.has_value(), attempt)) {
    case probe_step::report: {
        protocol::server_report report;
        report.name = order.order.server;
        report.group = order.order.group;
        report.address = order.order.address;
        report.speaks = protocol::server_interface::sessions;
        report.role =
            !status || status->is_primary ? protocol::server_role::primary : protocol::server_role::replica;
        report.at = status ? status->received : session::group_position{};
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
        m_log.write({logging::log_level::warning, "probe", order.order.server.value,
                     fmt::format("group={} attempts={} reason=\"no answer contained a position\"",
                                 order.order.group.value, attempt)});
        report_probe(order, std::nullopt);
        return;
    }
}

void session_server::report_probe(const routing::probe_server& order,
                                  std::optional<protocol::server_report> status)
{
    m_handlers.on_event(
        routing::probe_finished{order.asked_by, {order.order.probe, order.order.server, std::move(status)}});
}

void session_server::send_takeover(routing::tell_server order)
{
    asio::post(m_context, [this, order = std::move(order)] {
        const protocol::takeover_order& request = order.order;
        sessions::statement statement;
        statement.kind =
            request.demotes ? sessions::statement_kind::demote : sessions::statement_kind::resume;
        statement.term = request.term;
        const auto call = std::make_shared<server_call>(
            m_context, *m_wire, [this, order](const server_call_result& call_result) {
                const bool is_done =
                    call_result.answer && call_result.answer->code == sessions::answer_code::done;
                m_log.write({logging::log_level::information, "tell_server", order.order.server.value,
                             fmt::format("group={} term={} demotes={} done={}", order.order.group.value,
                                         order.order.term, order.order.demotes, is_done)});
                m_handlers.on_event(
                    routing::takeover_finished{order.asked_by,
                                               {order.order.order, order.order.group, order.order.server,
                                                order.order.kind, order.order.term, is_done, 0}});
            });
        call->start(request.address, request.group.value, request.server.value, statement, takeover_timeout);
    });
}

void session_server::accept(tcp::acceptor& acceptor, bool is_relayed)
{
    acceptor.async_accept(
        [this, &acceptor, is_relayed](const boost::system::error_code& error, tcp::socket socket) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (error) {
                m_log.write({logging::log_level::warning, "accept", "", error.message()});
            } else {
                add_caller(std::move(socket), is_relayed);
            }
            accept(acceptor, is_relayed);
        });
}

void session_server::add_caller(tcp::socket socket, bool is_relayed)
{
    const sessions::session_number number = m_next_session++;
    auto connection =
        std::make_shared<net::line_connection>(std::move(socket), net::line_connection::limits{});
    connection->set_handlers({[this, number](std::string_view line) { handle_caller_line(number, line); },
                              [this, number](const std::string& /*reason*/) {
                                  m_callers.erase(number);
                                  handle_event(sessions::session_closed{number});
                              }});
    m_callers.emplace(number, caller{connection, false, is_relayed});
    connection->start();
}

void session_server::handle_caller_line(sessions::session_number number, std::string_view line)
{
    caller& caller_state = m_callers.at(number);
    const sessions::caller_line decoded =
        caller_state.is_relayed ? m_wire->decode_proxy(line) : m_wire->decode_caller(line);
    if (const auto* opening = std::get_if<sessions::open_request>(&decoded);
        opening != nullptr && !caller_state.is_open) {
        handle_event(sessions::session_opened{number, opening->database, caller_state.is_relayed});
        return;
    }
    if (const auto* request = std::get_if<sessions::statement_request>(&decoded);
        request != nullptr && caller_state.is_open) {
        handle_event(sessions::statement_asked{number, request->id, request->what, request->least});
        return;
    }
    if (caller_state.is_open && std::holds_alternative<sessions::malformed_request>(decoded)) {
        handle_event(sessions::malformed_asked{number});
        return;
    }
    // The caller leaves, or it sent an invalid line before its session was open.
    if (!caller_state.is_open && !std::holds_alternative<sessions::leave_request>(decoded)) {
        caller_state.connection->send(
            m_wire->encode_refusal({sessions::answer_code::malformed, "a session is opened first"}));
    }
    caller_state.connection->close_after_sending();
    m_callers.erase(number);
    handle_event(sessions::session_closed{number});
}

void session_server::handle_link_line(sessions::link_number number, std::string_view line)
{
    link& link_state = m_links.at(number);
    const sessions::server_line decoded = m_wire->decode_server(line);
    if (const auto* row = std::get_if<sessions::row_line>(&decoded)) {
        link_state.partial_answer.rows.push_back(row->text);
        return;
    }
    if (const auto* done = std::get_if<sessions::done_line>(&decoded)) {
        link_state.partial_answer.code = sessions::answer_code::done;
        link_state.partial_answer.detail = done->signature;
        link_state.has_outcome = true;
        return;
    }
    if (const auto* failed = std::get_if<sessions::error_line>(&decoded)) {
        if (!link_state.is_open) {
            handle_event(sessions::link_refused{number, failed->code});
            return;
        }
        link_state.partial_answer.code = failed->code;
        link_state.partial_answer.detail = failed->detail;
        link_state.partial_answer.rows.clear();
        link_state.has_outcome = true;
        return;
    }
    const auto* ready = std::get_if<sessions::ready_line>(&decoded);
    if (ready == nullptr || (link_state.is_open && !link_state.has_outcome)) {
        link_state.connection->close();
        end_link(number, "the server's answer can't be read");
        return;
    }
    if (!link_state.is_open) {
        link_state.is_open = true;
        handle_event(sessions::link_opened{number});
        return;
    }
    sessions::answer complete = std::move(link_state.partial_answer);
    link_state.partial_answer = {};
    link_state.has_outcome = false;
    complete.state = ready->state;
    complete.at = ready->at;
    handle_event(sessions::link_answered{number, std::move(complete)});
}

void session_server::end_link(sessions::link_number number, const std::string& reason)
{
    m_links.erase(number);
    handle_event(sessions::link_lost{number, reason});
}

void session_server::handle_event(sessions::event_kind kind)
{
    sessions::transition transition =
        sessions::reduce(std::move(m_state), sessions::event{millisecond_clock::now(), std::move(kind)});
    m_state = std::move(transition.state);
    for (sessions::effect& effect : transition.effects) {
        std::visit([this](auto& each) { execute(std::move(each)); }, effect);
    }
    arm_timer(transition.wake_at);
}

void session_server::arm_timer(time_point wake_at)
{
    if (wake_at >= m_timer_deadline) {
        return;
    }
    m_timer_deadline = wake_at;
    const milliseconds wait = std::clamp(wake_at - millisecond_clock::now(), milliseconds{1}, max_wait);
    m_timer.expires_after(wait);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error) {
            return;
        }
        m_timer_deadline = time_point::max();
        handle_event(sessions::time_passed{});
    });
}

void session_server::execute(sessions::accept_session&& effect)
{
    caller& caller_state = m_callers.at(effect.session);
    caller_state.is_open = true;
    caller_state.connection->send(m_wire->encode_ready({}));
}

void session_server::execute(sessions::refuse_session&& effect)
{
    const auto found = m_callers.find(effect.session);
    found->second.connection->send(m_wire->encode_refusal({effect.code, effect.detail}));
    found->second.connection->close_after_sending();
    m_callers.erase(found);
}

void session_server::execute(sessions::answer_session&& effect)
{
    const auto found = m_callers.find(effect.session);
    if (found != m_callers.end()) {
        found->second.connection->send(m_wire->encode_answer(effect.whole));
    }
}

void session_server::execute(sessions::close_session&& effect)
{
    const auto found = m_callers.find(effect.session);
    if (found != m_callers.end()) {
        found->second.connection->close_after_sending();
        m_callers.erase(found);
    }
}

void session_server::execute(sessions::open_link&& effect)
{
    const sessions::link_number number = effect.link;
    m_metrics.count(effect.database.empty() ? "hickorymount_links_opened_total"
                                            : "hickorymount_relay_links_opened_total",
                    "");
    auto connection =
        std::make_shared<net::line_connection>(tcp::socket(m_context), net::line_connection::limits{});
    connection->set_handlers({[this, number](std::string_view line) { handle_link_line(number, line); },
                              [this, number](const std::string& reason) { end_link(number, reason); }});
    m_links.emplace(number, link{connection, false, {}, false});
    const auto address = socket_address(effect.address);
    if (!address) {
        asio::post(m_context, [this, number] {
            if (m_links.contains(number)) {
                end_link(number, "the address is no IP number");
            }
        });
        return;
    }
    std::string opening = effect.database.empty()
                              ? m_wire->encode_open(effect.group.value, effect.server.value)
                              : m_wire->encode_open(effect.database);
    connection->connect(*address, [connection, opening = std::move(opening)] { connection->send(opening); });
}

void session_server::execute(sessions::run_on_link&& effect)
{
    const auto found = m_links.find(effect.link);
    if (found != m_links.end()) {
        found->second.connection->send(
            m_wire->encode_statement(effect.id, effect.what, effect.least_position));
    }
}

void session_server::execute(sessions::close_link&& effect)
{
    const auto found = m_links.find(effect.link);
    if (found != m_links.end()) {
        found->second.connection->close();
        m_links.erase(found);
    }
}

void session_server::execute(sessions::suspect_primary&& effect)
{
    m_handlers.on_event(routing::primary_suspected{effect.group, effect.term, effect.server,
                                                   std::move(effect.reason), effect.is_stalled});
}

void session_server::execute(sessions::tell_control&& effect)
{
    routing::sessions_told summary;
    for (const auto& [name, use] : effect.uses) {
        summary.uses[name] = {use.open, use.wanted};
    }
    summary.commits = std::move(effect.commits);
    summary.closed = std::move(effect.closed);
    for (const auto& [name, hold] : effect.holds) {
        summary.holds[name] = {hold.term, hold.in_flight};
    }
    m_handlers.on_event(std::move(summary));
}

void session_server::execute(sessions::statement_finished&& effect)
{
    const std::string labels = fmt::format("database=\"{}\"", effect.database);
    m_metrics.observe_ms("hickorymount_statement_duration_ms", labels,
                         static_cast<double>(effect.took.count()));
    m_metrics.count("hickorymount_statements_total",
                    fmt::format("{},code=\"{}\",reads=\"{}\",replica=\"{}\",elsewhere=\"{}\"", labels,
                                code_name(effect.code), effect.only_reads, effect.ran_on_replica,
                                effect.ran_elsewhere));
}

void session_server::execute(sessions::all_stopped&& /*effect*/)
{
    m_handlers.on_stopped();
}

void session_server::execute(logging::log_record&& effect)
{
    m_log.write(effect);
}

} // namespace hickorymount::gateway::detail

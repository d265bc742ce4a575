#include "gateway/internal/session_server.h"

#include "configuration/key_digest.h"
#include "gateway/internal/probe_step.h"

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

} // namespace

session_server::session_server(std::unique_ptr<sessions::session_codec> codec, availability_zone zone,
                               handlers event_handlers, logging::log_writer& log,
                               metrics::metric_registry& metrics)
    : m_codec(std::move(codec)), m_handlers(std::move(event_handlers)), m_log(log), m_metrics(metrics),
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
        handle_event(sessions::timer_expired{});
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
        caller_state.is_relayed ? m_codec->decode_proxy_line(line) : m_codec->decode_caller_line(line);
    if (const auto* opening = std::get_if<sessions::open_request>(&decoded);
        opening != nullptr && !caller_state.is_open) {
        handle_event(sessions::session_requested{number, opening->database, caller_state.is_relayed,
                                                 configuration::digest_of_key(opening->credential)});
        return;
    }
    if (const auto* request = std::get_if<sessions::statement_request>(&decoded);
        request != nullptr && caller_state.is_open) {
        handle_event(sessions::statement_received{number, request->id, request->body,
                                                  request->minimum_position, request->caller});
        return;
    }
    if (caller_state.is_open && std::holds_alternative<sessions::malformed_request>(decoded)) {
        handle_event(sessions::malformed_statement_received{number});
        return;
    }
    // The caller leaves, or it sent an invalid line before its session was open.
    if (!caller_state.is_open && !std::holds_alternative<sessions::close_request>(decoded)) {
        caller_state.connection->send(
            m_codec->encode_refusal({sessions::response_code::malformed, "a session is opened first"}));
    }
    caller_state.connection->close_after_sending();
    m_callers.erase(number);
    handle_event(sessions::session_closed{number});
}

void session_server::handle_server_line(sessions::connection_number number, std::string_view line)
{
    server_connection& connection_state = m_server_connections.at(number);
    const sessions::server_line decoded = m_codec->decode_server_line(line);
    if (const auto* row = std::get_if<sessions::row_line>(&decoded)) {
        connection_state.partial_answer.rows.push_back(row->text);
        return;
    }
    if (const auto* done = std::get_if<sessions::done_line>(&decoded)) {
        connection_state.partial_answer.code = sessions::response_code::done;
        connection_state.partial_answer.detail = done->signature;
        connection_state.has_outcome = true;
        return;
    }
    if (const auto* failed = std::get_if<sessions::error_line>(&decoded)) {
        if (!connection_state.is_open) {
            handle_event(sessions::connection_refused{number, failed->code});
            return;
        }
        connection_state.partial_answer.code = failed->code;
        connection_state.partial_answer.detail = failed->detail;
        connection_state.partial_answer.rows.clear();
        connection_state.has_outcome = true;
        return;
    }
    const auto* ready = std::get_if<sessions::ready_line>(&decoded);
    if (ready == nullptr || (connection_state.is_open && !connection_state.has_outcome)) {
        connection_state.connection->close();
        end_connection(number, "the server's answer can't be read");
        return;
    }
    if (!connection_state.is_open) {
        connection_state.is_open = true;
        handle_event(sessions::connection_opened{number});
        return;
    }
    sessions::statement_response complete = std::move(connection_state.partial_answer);
    connection_state.partial_answer = {};
    connection_state.has_outcome = false;
    complete.state = ready->state;
    complete.position = ready->position;
    handle_event(sessions::response_received{number, std::move(complete)});
}

void session_server::end_connection(sessions::connection_number number, const std::string& reason)
{
    m_server_connections.erase(number);
    handle_event(sessions::connection_lost{number, reason});
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
    found->second.connection->close_after_sending();
    m_callers.erase(found);
}

void session_server::execute(sessions::send_response&& effect)
{
    const auto found = m_callers.find(effect.session);
    if (found != m_callers.end()) {
        found->second.connection->send(m_codec->encode_answer(effect.response));
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
    m_server_connections.emplace(number, server_connection{connection, false, {}, false});
    const auto address = socket_address(effect.address);
    if (!address) {
        asio::post(m_context, [this, number] {
            if (m_server_connections.contains(number)) {
                end_connection(number, "the address is no IP number");
            }
        });
        return;
    }
    std::string opening = m_codec->encode_open(
        effect.database.empty()
            ? sessions::open_request{effect.group.value, effect.customer.value, effect.server.value}
            : sessions::open_request{effect.database});
    connection->connect(*address, [connection, opening = std::move(opening)] { connection->send(opening); });
}

void session_server::execute(sessions::send_statement&& effect)
{
    const auto found = m_server_connections.find(effect.connection);
    if (found != m_server_connections.end()) {
        found->second.connection->send(
            m_codec->encode_statement({effect.id, effect.body, effect.minimum_position, effect.caller}));
    }
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
    for (const auto& [name, hold] : effect.holds) {
        summary.holds[name] = {hold.term, hold.in_flight};
    }
    m_handlers.on_event(std::move(summary));
}

void session_server::execute(sessions::record_statement_metrics&& effect)
{
    const std::string labels = fmt::format("database=\"{}\"", effect.database);
    m_metrics.observe_ms("hickorymount_statement_duration_ms", labels,
                         static_cast<double>(effect.duration.count()));
    m_metrics.count("hickorymount_statements_total",
                    fmt::format("{},code=\"{}\",reads=\"{}\",replica=\"{}\",elsewhere=\"{}\"", labels,
                                code_name(effect.code), effect.is_read_only, effect.ran_on_replica,
                                effect.ran_on_relay));
    if (!effect.customer.empty()) {
        const std::string customer_label = fmt::format("customer=\"{}\"", effect.customer.value);
        m_metrics.observe_ms("hickorymount_customer_statement_duration_ms", customer_label,
                             static_cast<double>(effect.duration.count()));
        m_metrics.count("hickorymount_customer_statements_total",
                        fmt::format("{},code=\"{}\"", customer_label, code_name(effect.code)));
    }
    if (effect.waited_for != sessions::wait_cause::none) {
        m_metrics.count("hickorymount_statements_refused_in_queue_total",
                        fmt::format("cause=\"{}\"", to_string(effect.waited_for)));
    }
}

void session_server::execute(sessions::record_ejection_metrics&& effect)
{
    const bool is_ejected = effect.reason != sessions::ejection_reason::none;
    const std::string label = fmt::format("server=\"{}\"", effect.server.value);
    m_metrics.set("hickorymount_server_ejected", label, is_ejected ? 1 : 0);
    if (is_ejected) {
        m_metrics.count("hickorymount_server_ejections_total",
                        fmt::format("{},reason=\"{}\"", label, to_string(effect.reason)));
    }
}

void session_server::execute(sessions::record_overflow_metrics&& effect)
{
    m_metrics.set(effect.is_relayed ? "hickorymount_relayed_share_leaving_zone"
                                    : "hickorymount_read_share_leaving_region",
                  fmt::format("group=\"{}\"", effect.group.value), effect.share);
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

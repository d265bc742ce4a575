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

/// A question for the status waits for a connection and for a slot.
constexpr milliseconds probe_timeout{500};
constexpr milliseconds order_timeout{800};
/// Before a server that was busy is asked for its position again.
constexpr milliseconds probe_repeat_pause{30};
/// Longest wait that a timer is set to.
constexpr milliseconds longest_wait{60'000};

const char* name_of(sessions::answer_code code)
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

session_front::session_front(std::unique_ptr<sessions::wire> wire, availability_zone zone, handlers called,
                             logging::log_writer& log, metrics::metric_registry& metrics)
    : m_wire(std::move(wire)), m_handlers(std::move(called)), m_log(log), m_metrics(metrics),
      m_acceptor(m_context), m_relay_acceptor(m_context), m_timer(m_context)
{
    m_state.zone = std::move(zone);
}

session_front::~session_front()
{
    stop();
}

result<void> session_front::start(const protocol::endpoint& at,
                                  const std::optional<protocol::endpoint>& relay)
{
    BOOST_LEAF_CHECK(listen(m_acceptor, at));
    m_port = m_acceptor.local_endpoint().port();
    accept(m_acceptor, false);
    if (relay) {
        BOOST_LEAF_CHECK(listen(m_relay_acceptor, *relay));
        accept(m_relay_acceptor, true);
    }
    m_thread = std::thread([this] {
        step(sessions::time_passed{});
        m_context.run();
    });
    return {};
}

result<void> session_front::listen(tcp::acceptor& acceptor, const protocol::endpoint& at)
{
    const auto address = socket_address(at);
    if (!address) {
        return fail("listen", to_string(at), "not an IP number");
    }
    boost::system::error_code problem;
    acceptor.open(address->protocol(), problem);
    if (!problem) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), problem);
    }
    if (!problem) {
        acceptor.bind(*address, problem);
    }
    if (!problem) {
        acceptor.listen(asio::socket_base::max_listen_connections, problem);
    }
    if (problem) {
        return fail("listen", to_string(at), problem.message());
    }
    return {};
}

void session_front::stop()
{
    m_context.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void session_front::publish(sessions::traffic_view view)
{
    asio::post(m_context,
               [this, view = shared_value(std::move(view))] { step(sessions::view_published{view}); });
}

void session_front::drain(milliseconds time)
{
    asio::post(m_context, [this, time] { step(sessions::stop_asked{time}); });
}

void session_front::probe(routing::probe_server order)
{
    asio::post(m_context, [this, order = std::move(order)] {
        ask_server(order,
                   order.order.pause_below == 0 ? sessions::statement_kind::status
                                                : sessions::statement_kind::pause,
                   1);
    });
}

void session_front::ask_server(const routing::probe_server& order, sessions::statement_kind kind, int attempt)
{
    sessions::statement what;
    what.kind = kind;
    what.term = order.order.pause_below;
    const auto call = std::make_shared<server_call>(
        m_context, *m_wire, [this, order, kind, attempt](const server_call_result& got) {
            take_probe(order, kind, attempt, got);
        });
    call->start(order.order.address, order.order.group.value, order.order.server.value, what, probe_timeout);
}

void session_front::take_probe(const routing::probe_server& order, sessions::statement_kind kind, int attempt,
                               const server_call_result& got)
{
    if (!got.whole && !got.is_refused) {
        report_probe(order, std::nullopt);
        return;
    }
    std::optional<sessions::server_status> status;
    if (got.whole && !got.whole->rows.empty()) {
        status = m_wire->decode_status(got.whole->rows.front());
    }
    const auto code = got.whole ? std::optional(got.whole->code) : std::nullopt;
    switch (judge_probe(order.order.pause_below != 0, kind, code, status.has_value(), attempt)) {
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
    case probe_step::ask_again: {
        auto timer = std::make_shared<asio::steady_timer>(m_context, probe_repeat_pause);
        timer->async_wait([this, timer, order, kind, attempt](const boost::system::error_code& problem) {
            if (!problem) {
                ask_server(order, kind, attempt + 1);
            }
        });
        return;
    }
    case probe_step::ask_status:
        ask_server(order, sessions::statement_kind::status, attempt);
        return;
    case probe_step::give_up:
        m_log.write({logging::log_level::warning, "probe", order.order.server.value,
                     fmt::format("group={} attempts={} reason=\"no position in the answers\"",
                                 order.order.group.value, attempt)});
        report_probe(order, std::nullopt);
        return;
    }
}

void session_front::report_probe(const routing::probe_server& order,
                                 std::optional<protocol::server_report> status)
{
    m_handlers.on_news(
        routing::probe_finished{order.asked_by, {order.order.probe, order.order.server, std::move(status)}});
}

void session_front::tell(routing::tell_server order)
{
    asio::post(m_context, [this, order = std::move(order)] {
        const protocol::takeover_order& asked = order.order;
        sessions::statement what;
        what.kind = asked.demotes ? sessions::statement_kind::demote : sessions::statement_kind::resume;
        what.term = asked.term;
        const auto call =
            std::make_shared<server_call>(m_context, *m_wire, [this, order](const server_call_result& got) {
                const bool is_done = got.whole && got.whole->code == sessions::answer_code::done;
                m_log.write({logging::log_level::information, "tell_server", order.order.server.value,
                             fmt::format("group={} term={} demotes={} done={}", order.order.group.value,
                                         order.order.term, order.order.demotes, is_done)});
                m_handlers.on_news(
                    routing::takeover_finished{order.asked_by,
                                               {order.order.order, order.order.group, order.order.server,
                                                order.order.kind, order.order.term, is_done, 0}});
            });
        call->start(asked.address, asked.group.value, asked.server.value, what, order_timeout);
    });
}

void session_front::accept(tcp::acceptor& acceptor, bool is_relayed)
{
    acceptor.async_accept(
        [this, &acceptor, is_relayed](const boost::system::error_code& problem, tcp::socket socket) {
            if (problem == asio::error::operation_aborted) {
                return;
            }
            if (problem) {
                m_log.write({logging::log_level::warning, "accept", "", problem.message()});
            } else {
                take_caller(std::move(socket), is_relayed);
            }
            accept(acceptor, is_relayed);
        });
}

void session_front::take_caller(tcp::socket socket, bool is_relayed)
{
    const sessions::session_number number = m_next_session++;
    auto connection =
        std::make_shared<net::line_connection>(std::move(socket), net::line_connection::limits{});
    connection->set_handlers({[this, number](std::string_view line) { take_caller_line(number, line); },
                              [this, number](const std::string& /*reason*/) {
                                  m_callers.erase(number);
                                  step(sessions::session_closed{number});
                              }});
    m_callers.emplace(number, caller{connection, false, is_relayed});
    connection->start();
}

void session_front::take_caller_line(sessions::session_number number, std::string_view line)
{
    caller& known = m_callers.at(number);
    const sessions::caller_line decoded =
        known.is_relayed ? m_wire->decode_proxy(line) : m_wire->decode_caller(line);
    if (const auto* opening = std::get_if<sessions::open_request>(&decoded);
        opening != nullptr && !known.is_open) {
        step(sessions::session_opened{number, opening->database, known.is_relayed});
        return;
    }
    if (const auto* asked = std::get_if<sessions::statement_request>(&decoded);
        asked != nullptr && known.is_open) {
        step(sessions::statement_asked{number, asked->id, asked->what, asked->least});
        return;
    }
    if (known.is_open && std::holds_alternative<sessions::malformed_request>(decoded)) {
        step(sessions::malformed_asked{number});
        return;
    }
    // It leaves, or does not speak as it should before its session is open.
    if (!known.is_open && !std::holds_alternative<sessions::leave_request>(decoded)) {
        known.connection->send(
            m_wire->encode_refusal({sessions::answer_code::malformed, "a session is opened first"}));
    }
    known.connection->close_after_sending();
    m_callers.erase(number);
    step(sessions::session_closed{number});
}

void session_front::take_link_line(sessions::link_number number, std::string_view line)
{
    link& known = m_links.at(number);
    const sessions::server_line decoded = m_wire->decode_server(line);
    if (const auto* row = std::get_if<sessions::row_line>(&decoded)) {
        known.partial.rows.push_back(row->text);
        return;
    }
    if (const auto* done = std::get_if<sessions::done_line>(&decoded)) {
        known.partial.code = sessions::answer_code::done;
        known.partial.detail = done->signature;
        known.has_outcome = true;
        return;
    }
    if (const auto* error = std::get_if<sessions::error_line>(&decoded)) {
        if (!known.is_open) {
            step(sessions::link_refused{number, error->code});
            return;
        }
        known.partial.code = error->code;
        known.partial.detail = error->detail;
        known.partial.rows.clear();
        known.has_outcome = true;
        return;
    }
    const auto* ready = std::get_if<sessions::ready_line>(&decoded);
    if (ready == nullptr || (known.is_open && !known.has_outcome)) {
        known.connection->close();
        end_link(number, "the server's answer can't be read");
        return;
    }
    if (!known.is_open) {
        known.is_open = true;
        step(sessions::link_opened{number});
        return;
    }
    sessions::answer whole = std::move(known.partial);
    known.partial = {};
    known.has_outcome = false;
    whole.state = ready->state;
    whole.at = ready->at;
    step(sessions::link_answered{number, std::move(whole)});
}

void session_front::end_link(sessions::link_number number, const std::string& reason)
{
    m_links.erase(number);
    step(sessions::link_lost{number, reason});
}

void session_front::step(sessions::event_kind what)
{
    sessions::transition next =
        sessions::reduce(std::move(m_state), sessions::event{millisecond_clock::now(), std::move(what)});
    m_state = std::move(next.state);
    for (sessions::effect& effect : next.effects) {
        std::visit([this](auto& each) { carry_out(std::move(each)); }, effect);
    }
    arm_timer(next.wake_at);
}

void session_front::arm_timer(time_point wake_at)
{
    if (wake_at >= m_armed_for) {
        return;
    }
    m_armed_for = wake_at;
    const milliseconds wait = std::clamp(wake_at - millisecond_clock::now(), milliseconds{1}, longest_wait);
    m_timer.expires_after(wait);
    m_timer.async_wait([this](const boost::system::error_code& problem) {
        if (problem) {
            return;
        }
        m_armed_for = time_point::max();
        step(sessions::time_passed{});
    });
}

void session_front::carry_out(sessions::accept_session&& effect)
{
    caller& known = m_callers.at(effect.session);
    known.is_open = true;
    known.connection->send(m_wire->encode_ready({}));
}

void session_front::carry_out(sessions::refuse_session&& effect)
{
    const auto found = m_callers.find(effect.session);
    found->second.connection->send(m_wire->encode_refusal({effect.code, effect.detail}));
    found->second.connection->close_after_sending();
    m_callers.erase(found);
}

void session_front::carry_out(sessions::answer_session&& effect)
{
    const auto found = m_callers.find(effect.session);
    if (found != m_callers.end()) {
        found->second.connection->send(m_wire->encode_answer(effect.whole));
    }
}

void session_front::carry_out(sessions::close_session&& effect)
{
    const auto found = m_callers.find(effect.session);
    if (found != m_callers.end()) {
        found->second.connection->close_after_sending();
        m_callers.erase(found);
    }
}

void session_front::carry_out(sessions::open_link&& effect)
{
    const sessions::link_number number = effect.link;
    m_metrics.count(effect.database.empty() ? "hickorymount_links_opened_total"
                                            : "hickorymount_relay_links_opened_total",
                    "");
    auto connection =
        std::make_shared<net::line_connection>(tcp::socket(m_context), net::line_connection::limits{});
    connection->set_handlers({[this, number](std::string_view line) { take_link_line(number, line); },
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

void session_front::carry_out(sessions::run_on_link&& effect)
{
    const auto found = m_links.find(effect.link);
    if (found != m_links.end()) {
        found->second.connection->send(
            m_wire->encode_statement(effect.id, effect.what, effect.least_position));
    }
}

void session_front::carry_out(sessions::close_link&& effect)
{
    const auto found = m_links.find(effect.link);
    if (found != m_links.end()) {
        found->second.connection->close();
        m_links.erase(found);
    }
}

void session_front::carry_out(sessions::suspect_primary&& effect)
{
    m_handlers.on_news(routing::primary_suspected{effect.group, effect.term, effect.server,
                                                  std::move(effect.reason), effect.is_stalled});
}

void session_front::carry_out(sessions::tell_control&& effect)
{
    routing::sessions_told told;
    for (const auto& [name, use] : effect.uses) {
        told.uses[name] = {use.open, use.wanted};
    }
    told.commits = std::move(effect.commits);
    told.closed = std::move(effect.closed);
    for (const auto& [name, hold] : effect.holds) {
        told.holds[name] = {hold.term, hold.in_flight};
    }
    m_handlers.on_news(std::move(told));
}

void session_front::carry_out(sessions::statement_finished&& effect)
{
    const std::string labels = fmt::format("database=\"{}\"", effect.database);
    m_metrics.observe_ms("hickorymount_statement_duration_ms", labels,
                         static_cast<double>(effect.took.count()));
    m_metrics.count("hickorymount_statements_total",
                    fmt::format("{},code=\"{}\",reads=\"{}\",replica=\"{}\",elsewhere=\"{}\"", labels,
                                name_of(effect.code), effect.only_reads, effect.ran_on_replica,
                                effect.ran_elsewhere));
}

void session_front::carry_out(sessions::all_stopped&& /*effect*/)
{
    m_handlers.on_stopped();
}

void session_front::carry_out(logging::log_record&& effect)
{
    m_log.write(effect);
}

} // namespace hickorymount::gateway::detail

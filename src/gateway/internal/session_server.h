#pragma once

#include "base/error.h"
#include "gateway/internal/answer_reader.h"
#include "gateway/internal/resource_limits.h"
#include "gateway/internal/server_call.h"
#include "gateway/internal/session_gate.h"
#include "logging/log_writer.h"
#include "metrics/metric_registry.h"
#include "net/connection_acceptor.h"
#include "net/line_connection.h"
#include "protocol/types.h"
#include "routing/types.h"
#include "sessions/reduce.h"
#include "sessions/session_codec.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hickorymount::gateway::detail {

/// Serves callers' sessions on the traffic thread: owns their state, decodes input and executes effects.
class session_server
{
public:
    struct handlers
    {
        /// Called on the traffic thread; must not block.
        std::function<void(routing::entry_event_payload)> on_event;
        std::function<void()> on_stopped;
    };

    session_server(std::unique_ptr<sessions::session_codec> codec, availability_zone zone,
                   std::map<availability_zone, region_name> regions, const session_limits& limits,
                   handlers event_handlers, logging::log_writer& log, metrics::metric_registry& metrics);
    session_server(const session_server&) = delete;
    session_server& operator=(const session_server&) = delete;
    ~session_server();

    /// Listens for callers and, with `relay`, for the statements of other entry hosts.
    result<void> start(const protocol::endpoint& address, const std::optional<protocol::endpoint>& relay);
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    void stop();

    /// The following functions are thread-safe.
    void publish(sessions::traffic_view view);
    void drain(milliseconds time);
    void probe(routing::probe_server order);
    void send_takeover(routing::send_role_change order);
    /// Sets the gauges of connections and buffered bytes.
    void set_gauges() const;

private:
    /// A port for sessions, with its connections.
    struct session_port
    {
        session_port(boost::asio::io_context& context, const char* port_name, const port_limits& limits,
                     net::connection_acceptor::handlers handlers)
            : name(port_name), gate(limits), acceptor(context, std::move(handlers))
        {
        }

        /// For metrics and log lines.
        const char* name;
        session_gate gate;
        net::connection_acceptor acceptor;
        /// Copies for other threads.
        std::atomic<std::size_t> connection_count{0};
        std::atomic<std::size_t> used_bytes{0};
        /// Connections closed because of a limit since the last line about them was logged.
        std::size_t unlogged_closes = 0;
        time_point next_log_at{};
    };

    struct caller
    {
        std::shared_ptr<net::line_connection> connection;
        bool is_open = false;
        /// The caller is another entry host.
        bool is_relayed = false;
        /// The session may hold variables or prepared statements.
        bool has_values = false;
    };

    struct server_connection
    {
        std::shared_ptr<net::line_connection> connection;
        partial_answer answer;
    };

    static result<void> listen(session_port& port, const protocol::endpoint& address);
    net::connection_acceptor::handlers acceptor_handlers(bool is_relayed);
    session_port& port_of(bool is_relayed) { return is_relayed ? m_relay_port : m_caller_port; }
    void add_caller(boost::asio::ip::tcp::socket socket, bool is_relayed);
    void record_buffers(sessions::session_number number, bool is_relayed);
    void record_values(sessions::session_number number, const caller& owner);
    /// Ends a session whose connection has ended.
    void end_caller(sessions::session_number number);
    /// Removes a caller, and closes its connection once everything is sent.
    void close_after_sending(sessions::session_number number);
    void remove_closed_connections();
    void record_close(session_port& port, close_reason reason);
    /// Continues reading from connections that may read again, and plans the next check of the limits.
    void apply_limits(session_port& port);
    void check_limits();
    void check_limits(session_port& port);
    void handle_caller_line(sessions::session_number number, std::string_view line);
    void handle_server_line(sessions::connection_number number, std::string_view line);
    void record_unreadable(sessions::connection_number number, std::string_view line);
    void record_repeated_opening(sessions::connection_number number);
    void answer_malformed(sessions::connection_number number);
    void end_connection(sessions::connection_number number, const std::string& reason,
                        bool is_unreadable = false);

    void handle_event(sessions::event_payload kind);
    void arm_timer(time_point next_timer_at);

    void execute(sessions::accept_session&& effect);
    void execute(sessions::refuse_session&& effect);
    void execute(sessions::send_response&& effect);
    void execute(sessions::close_session&& effect);
    void execute(sessions::open_connection&& effect);
    void execute(sessions::send_statement&& effect);
    void execute(sessions::close_connection&& effect);
    void execute(sessions::report_suspected_primary&& effect);
    void execute(sessions::report_to_control&& effect);
    void execute(sessions::record_statement_metrics&& effect);
    void execute(sessions::record_limit_refusal&& effect);
    void execute(sessions::record_ejection_metrics&& effect);
    void execute(sessions::record_unexpected_response&& effect);
    void execute(sessions::record_queue_metrics&& effect);
    void execute(sessions::record_overflow_metrics&& effect);
    void execute(sessions::report_stopped&& effect);
    void execute(logging::log_record&& effect);

    void send_probe(const routing::probe_server& order, sessions::statement_kind kind, int attempt);
    void handle_probe_result(const routing::probe_server& order, sessions::statement_kind kind, int attempt,
                             const server_call_result& call_result);
    void report_probe(const routing::probe_server& order, std::optional<protocol::server_report> status);

    /// Groups whose queue length was ever recorded.
    std::set<group_name> m_queued_groups;
    std::unique_ptr<sessions::session_codec> m_codec;
    handlers m_handlers;
    logging::log_writer& m_log;
    metrics::metric_registry& m_metrics;
    boost::asio::io_context m_context;
    session_port m_caller_port;
    session_port m_relay_port;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_limit_timer;
    bool m_is_limit_check_planned = false;
    bool m_is_limit_check_posted = false;
    time_point m_timer_deadline = time_point::max();
    std::uint16_t m_port = 0;
    sessions::session_state m_state;
    std::map<sessions::session_number, caller> m_callers;
    /// Connections of ended sessions, which close once everything is sent.
    std::map<sessions::session_number, caller> m_leaving_callers;
    std::map<sessions::connection_number, server_connection> m_server_connections;
    sessions::session_number m_next_session = 1;
    std::thread m_thread;
};

} // namespace hickorymount::gateway::detail

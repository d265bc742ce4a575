#pragma once

#include "base/error.h"
#include "gateway/internal/server_call.h"
#include "logging/log_writer.h"
#include "metrics/metric_registry.h"
#include "net/line_connection.h"
#include "protocol/types.h"
#include "routing/types.h"
#include "sessions/reduce.h"
#include "sessions/wire.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hickorymount::gateway::detail {

/// The traffic thread of callers' sessions: owns their state, decodes what comes in, carries out effects.
class session_front
{
public:
    struct handlers
    {
        /// Called on the traffic thread; must not block.
        std::function<void(routing::entry_event_kind)> on_news;
        std::function<void()> on_stopped;
    };

    session_front(std::unique_ptr<sessions::wire> wire, availability_zone zone, handlers called,
                  logging::log_writer& log, metrics::metric_registry& metrics);
    session_front(const session_front&) = delete;
    session_front& operator=(const session_front&) = delete;
    ~session_front();

    /// With `relay`, other entry hosts pass statements on there.
    result<void> start(const protocol::endpoint& at, const std::optional<protocol::endpoint>& relay);
    [[nodiscard]] std::uint16_t port() const { return m_port; }
    void stop();

    /// Safe from any thread.
    void publish(sessions::traffic_view view);
    void drain(milliseconds time);
    void probe(routing::probe_server order);
    void tell(routing::tell_server order);

private:
    struct caller
    {
        std::shared_ptr<net::line_connection> connection;
        bool is_open = false;
        /// It is another entry host.
        bool is_relayed = false;
    };

    struct link
    {
        std::shared_ptr<net::line_connection> connection;
        bool is_open = false;
        sessions::answer partial;
        bool has_outcome = false;
    };

    static result<void> listen(boost::asio::ip::tcp::acceptor& acceptor, const protocol::endpoint& at);
    void accept(boost::asio::ip::tcp::acceptor& acceptor, bool is_relayed);
    void take_caller(boost::asio::ip::tcp::socket socket, bool is_relayed);
    void take_caller_line(sessions::session_number number, std::string_view line);
    void take_link_line(sessions::link_number number, std::string_view line);
    void end_link(sessions::link_number number, const std::string& reason);

    void step(sessions::event_kind what);
    void arm_timer(time_point wake_at);

    void carry_out(sessions::accept_session&& effect);
    void carry_out(sessions::refuse_session&& effect);
    void carry_out(sessions::answer_session&& effect);
    void carry_out(sessions::close_session&& effect);
    void carry_out(sessions::open_link&& effect);
    void carry_out(sessions::run_on_link&& effect);
    void carry_out(sessions::close_link&& effect);
    void carry_out(sessions::suspect_primary&& effect);
    void carry_out(sessions::tell_control&& effect);
    void carry_out(sessions::statement_finished&& effect);
    void carry_out(sessions::all_stopped&& effect);
    void carry_out(logging::log_record&& effect);

    void ask_server(const routing::probe_server& order, sessions::statement_kind kind, int attempt);
    void take_probe(const routing::probe_server& order, sessions::statement_kind kind, int attempt,
                    const server_call_result& got);
    void report_probe(const routing::probe_server& order, std::optional<protocol::server_report> status);

    std::unique_ptr<sessions::wire> m_wire;
    handlers m_handlers;
    logging::log_writer& m_log;
    metrics::metric_registry& m_metrics;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::acceptor m_relay_acceptor;
    boost::asio::steady_timer m_timer;
    time_point m_armed_for = time_point::max();
    std::uint16_t m_port = 0;
    sessions::session_state m_state;
    std::map<sessions::session_number, caller> m_callers;
    std::map<sessions::link_number, link> m_links;
    sessions::session_number m_next_session = 1;
    std::thread m_thread;
};

} // namespace hickorymount::gateway::detail

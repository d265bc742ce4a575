#include "link/peer_transport.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <netinet/tcp.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace hickorymount::link {

namespace {

/// TCP retransmits a lost SYN only after a second or more. Shorter connection attempts find a host soon after
/// it is back; the round trip takes 50 ms at most.
constexpr long connect_timeout_ms = 400;

struct client_config : public websocketpp::config::asio_client
{
    using type = client_config;
    using base = websocketpp::config::asio_client;

    struct transport_config : public base::transport_config
    {
        static const long timeout_connect = connect_timeout_ms;
    };

    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;
};

using client = websocketpp::client<client_config>;
using server = websocketpp::server<websocketpp::config::asio>;
using websocketpp::connection_hdl;

constexpr std::size_t max_message_bytes = std::size_t{64} << 20;
constexpr std::size_t max_buffered_bytes = std::size_t{16} << 20;
/// Of a message that a peer sends on a connection that it has opened. A sender closes the connection rather
/// than queue more.
constexpr std::size_t max_incoming_message_bytes = max_buffered_bytes;
constexpr std::size_t max_name_bytes = 64;
/// A peer names itself as soon as its connection is open. One that has not done so in this time is closed.
constexpr long name_timeout_ms = 10'000;
/// Links carry no HTTP bodies; the library's default is 32 MB.
constexpr std::size_t max_http_body_bytes = 1024;
constexpr std::chrono::milliseconds reconnect_interval{100};
constexpr long handshake_timeout_ms = 1000;
/// A connection whose bytes are not acknowledged for this long is closed and opened again.
constexpr int unacknowledged_timeout_ms = 1200;

using user_timeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

bool is_valid_peer_name(const std::string& text)
{
    const auto is_allowed = [](char each) {
        return (each >= 'a' && each <= 'z') || (each >= '0' && each <= '9') || each == '-' || each == '.' ||
               each == ':';
    };
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), is_allowed);
}

class websocket_transport final : public peer_transport
{
public:
    websocket_transport(std::string own_name, peer_handlers handlers, std::size_t max_connections)
        : m_own_name(std::move(own_name)), m_handlers(std::move(handlers)), m_max_connections(max_connections)
    {
        configure(m_client);
        configure(m_server);
        m_client.set_open_handler([this](connection_hdl handle) { register_outgoing(std::move(handle)); });
        m_client.set_fail_handler([this](connection_hdl handle) { reconnect_later(std::move(handle)); });
        m_client.set_close_handler([this](connection_hdl handle) { reconnect_later(std::move(handle)); });
        m_client.set_message_handler([this](connection_hdl handle, client::message_ptr message) {
            receive_on_outgoing(std::move(handle), message->get_payload());
        });
        m_server.set_tcp_pre_init_handler([this](connection_hdl handle) { admit_incoming(handle); });
        m_server.set_open_handler([this](connection_hdl handle) { await_name(handle); });
        m_server.set_fail_handler([this](connection_hdl handle) { remove_incoming(handle); });
        m_server.set_close_handler([this](connection_hdl handle) { remove_incoming(handle); });
        m_server.set_message_handler([this](connection_hdl handle, server::message_ptr message) {
            receive_on_incoming(std::move(handle), message->get_opcode(), message->get_payload());
        });
    }

    websocket_transport(const websocket_transport&) = delete;
    websocket_transport& operator=(const websocket_transport&) = delete;
    ~websocket_transport() override { stop_thread(); }

    std::uint16_t listen(const std::string& address, std::uint16_t port) override
    {
        websocketpp::lib::error_code error;
        m_server.set_reuse_addr(true);
        m_server.listen(address, std::to_string(port), error);
        if (error) {
            return 0;
        }
        m_server.start_accept(error);
        boost::system::error_code endpoint_error;
        const auto local = m_server.get_local_endpoint(endpoint_error);
        return error || endpoint_error ? 0 : local.port();
    }

    void keep_connected(const std::string& peer, const std::string& address, std::uint16_t port) override
    {
        const std::string uri = "ws://" + address + ":" + std::to_string(port) + "/";
        boost::asio::post(m_context, [this, peer, uri] {
            m_uris[peer] = uri;
            connect(peer);
        });
    }

    void send(const std::string& peer, std::string bytes) override
    {
        boost::asio::post(m_context,
                          [this, peer, bytes = std::move(bytes)] { send_if_connected(peer, bytes); });
    }

    [[nodiscard]] link_backlog backlog() const override
    {
        const std::lock_guard lock(m_backlog_mutex);
        const auto now = std::chrono::steady_clock::now();
        link_backlog total;
        for (const auto& [peer, queue] : m_queues) {
            total.queued_bytes += queue.bytes;
            total.largest_queue_bytes = std::max(total.largest_queue_bytes, queue.bytes);
            total.longest_wait =
                std::max(total.longest_wait,
                         std::chrono::duration_cast<std::chrono::milliseconds>(now - queue.waiting_since));
        }
        return total;
    }

    void start() override
    {
        m_work_guard = std::make_unique<work_guard>(m_context.get_executor());
        m_thread = std::thread([this] { m_context.run(); });
    }

    void stop() override { stop_thread(); }

private:
    /// Messages that a connection has not written yet.
    struct send_queue
    {
        std::size_t bytes = 0;
        std::chrono::steady_clock::time_point waiting_since;
    };

    using work_guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    void stop_thread()
    {
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    template <class Endpoint>
    void configure(Endpoint& endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&m_context);
        endpoint.set_max_message_size(max_message_bytes);
        endpoint.set_max_http_body_size(max_http_body_bytes);
        endpoint.set_open_handshake_timeout(handshake_timeout_ms);
    }

    template <class Endpoint>
    void set_socket_options(Endpoint& endpoint, const connection_hdl& handle)
    {
        websocketpp::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        if (!error) {
            boost::system::error_code ignored;
            connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            connection->get_raw_socket().set_option(user_timeout(unacknowledged_timeout_ms), ignored);
        }
    }

    /// Registers an accepted connection, and closes one if there are too many.
    void admit_incoming(const connection_hdl& handle)
    {
        if (m_accepted.size() >= m_max_connections) {
            const connection_hdl closed = m_unnamed.empty() ? handle : m_unnamed.begin()->second;
            report_refusal();
            terminate_incoming(closed);
            if (m_unnamed.empty()) {
                return;
            }
            forget_accepted(closed);
        }
        m_accepted[handle] = ++m_last_accepted;
        m_unnamed[m_last_accepted] = handle;
    }

    void forget_accepted(const connection_hdl& handle)
    {
        const auto found = m_accepted.find(handle);
        if (found != m_accepted.end()) {
            m_unnamed.erase(found->second);
            m_accepted.erase(found);
        }
    }

    void terminate_incoming(const connection_hdl& handle)
    {
        websocketpp::lib::error_code error;
        const auto connection = m_server.get_con_from_hdl(handle, error);
        if (!error) {
            boost::system::error_code ignored;
            connection->get_raw_socket().close(ignored);
        }
    }

    /// Logs at most one line a second.
    void report_refusal()
    {
        const auto now = std::chrono::steady_clock::now();
        if (now >= m_next_refusal_report) {
            m_next_refusal_report = now + std::chrono::seconds(1);
            m_handlers.on_error("unknown", "too many connections; one without a name is closed");
        }
    }

    /// Until a connection has named its peer, only a name is received, and only for a time.
    void await_name(const connection_hdl& handle)
    {
        set_socket_options(m_server, handle);
        websocketpp::lib::error_code error;
        const auto connection = m_server.get_con_from_hdl(handle, error);
        if (error) {
            return;
        }
        connection->set_max_message_size(max_name_bytes);
        connection->set_timer(name_timeout_ms,
                              [this, handle](const websocketpp::lib::error_code& timer_error) {
                                  if (!timer_error && m_incoming_peers.count(handle) == 0) {
                                      terminate_incoming(handle);
                                  }
                              });
    }

    void connect(const std::string& peer)
    {
        websocketpp::lib::error_code error;
        const auto connection = m_client.get_connection(m_uris[peer], error);
        if (error) {
            m_handlers.on_error(peer, error.message());
            return;
        }
        m_outgoing_peers[connection->get_handle()] = peer;
        m_client.connect(connection);
    }

    void register_outgoing(connection_hdl handle)
    {
        const std::string peer = m_outgoing_peers[handle];
        set_socket_options(m_client, handle);
        websocketpp::lib::error_code error;
        m_client.send(handle, m_own_name, websocketpp::frame::opcode::text, error);
        m_outgoing[peer] = std::move(handle);
        m_handlers.on_connected(peer);
    }

    void reconnect_later(connection_hdl handle)
    {
        const auto found = m_outgoing_peers.find(handle);
        if (found == m_outgoing_peers.end()) {
            return;
        }
        const std::string peer = found->second;
        m_outgoing_peers.erase(found);
        m_outgoing.erase(peer);
        record_queue(peer, 0);
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, reconnect_interval);
        timer->async_wait([this, peer, timer](const boost::system::error_code& error) {
            if (!error) {
                connect(peer);
            }
        });
    }

    void receive_on_outgoing(connection_hdl handle, const std::string& bytes)
    {
        const auto found = m_outgoing_peers.find(handle);
        if (found != m_outgoing_peers.end()) {
            m_handlers.on_message(found->second, bytes);
        }
    }

    void receive_on_incoming(connection_hdl handle, websocketpp::frame::opcode::value opcode,
                             const std::string& bytes)
    {
        const auto known = m_incoming_peers.find(handle);
        if (known != m_incoming_peers.end()) {
            m_handlers.on_message(known->second, bytes);
            return;
        }
        if (opcode != websocketpp::frame::opcode::text || !is_valid_peer_name(bytes)) {
            m_handlers.on_error("unknown", "the first message is not a valid host name");
            websocketpp::lib::error_code ignored;
            m_server.close(handle, websocketpp::close::status::policy_violation, "expected a name", ignored);
            return;
        }
        websocketpp::lib::error_code error;
        const auto connection = m_server.get_con_from_hdl(handle, error);
        if (!error) {
            connection->set_max_message_size(max_incoming_message_bytes);
        }
        const auto accepted = m_accepted.find(handle);
        if (accepted != m_accepted.end()) {
            m_unnamed.erase(accepted->second);
        }
        m_incoming_peers[handle] = bytes;
        m_incoming[bytes] = handle;
    }

    void remove_incoming(const connection_hdl& handle)
    {
        forget_accepted(handle);
        const auto known = m_incoming_peers.find(handle);
        if (known == m_incoming_peers.end()) {
            return;
        }
        const auto current = m_incoming.find(known->second);
        const bool is_current = current != m_incoming.end() && !current->second.owner_before(handle) &&
                                !handle.owner_before(current->second);
        if (is_current) {
            m_incoming.erase(current);
            record_queue(known->second, 0);
        }
        m_incoming_peers.erase(known);
    }

    void send_if_connected(const std::string& peer, const std::string& bytes)
    {
        const auto outgoing = m_outgoing.find(peer);
        if (outgoing != m_outgoing.end()) {
            send_on(m_client, outgoing->second, peer, bytes);
            return;
        }
        const auto incoming = m_incoming.find(peer);
        if (incoming != m_incoming.end()) {
            send_on(m_server, incoming->second, peer, bytes);
        }
    }

    void record_queue(const std::string& peer, std::size_t bytes)
    {
        const std::lock_guard lock(m_backlog_mutex);
        if (bytes == 0) {
            m_queues.erase(peer);
            return;
        }
        const auto added = m_queues.try_emplace(peer, send_queue{0, std::chrono::steady_clock::now()});
        added.first->second.bytes = bytes;
    }

    template <class Endpoint>
    void send_on(Endpoint& endpoint, const connection_hdl& handle, const std::string& peer,
                 const std::string& bytes)
    {
        websocketpp::lib::error_code error;
        const auto connection = endpoint.get_con_from_hdl(handle, error);
        if (error) {
            return;
        }
        const std::size_t waiting_bytes = connection->get_buffered_amount();
        record_queue(peer, waiting_bytes);
        if (waiting_bytes > max_buffered_bytes) {
            m_handlers.on_error(peer, "the send buffer is full; the connection is closed");
            connection->terminate(websocketpp::lib::error_code());
            return;
        }
        endpoint.send(handle, bytes, websocketpp::frame::opcode::binary, error);
    }

    using handle_order = std::owner_less<connection_hdl>;

    std::string m_own_name;
    peer_handlers m_handlers;
    std::size_t m_max_connections;
    boost::asio::io_context m_context;
    client m_client;
    server m_server;
    std::map<std::string, std::string> m_uris;
    std::map<connection_hdl, std::string, handle_order> m_outgoing_peers;
    std::map<std::string, connection_hdl> m_outgoing;
    std::map<connection_hdl, std::string, handle_order> m_incoming_peers;
    std::map<std::string, connection_hdl> m_incoming;
    /// Accepted connections and their order, and those of them that have not named their peer.
    std::map<connection_hdl, std::uint64_t, handle_order> m_accepted;
    std::map<std::uint64_t, connection_hdl> m_unnamed;
    std::uint64_t m_last_accepted = 0;
    std::chrono::steady_clock::time_point m_next_refusal_report;
    mutable std::mutex m_backlog_mutex;
    std::map<std::string, send_queue> m_queues;
    std::unique_ptr<work_guard> m_work_guard;
    std::thread m_thread;
};

} // namespace

std::unique_ptr<peer_transport> make_websocket_transport(const std::string& own_name, peer_handlers handlers,
                                                         std::size_t max_connections)
{
    return std::make_unique<websocket_transport>(own_name, std::move(handlers), max_connections);
}

} // namespace hickorymount::link

#pragma once

#include "base/error.h"
#include "base/millisecond_clock.h"

#include <array>
#include <cstdint>
#include <list>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hickorymount::soak {

/// A TCP proxy between two ports on loopback that can block, delay and reset connections.
class fault_proxy
{
public:
    fault_proxy(boost::asio::io_context& context, std::uint16_t port, std::uint16_t target);
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;
    ~fault_proxy();

    /// Listens on the port. Errors: the port is not available.
    result<void> start();
    void stop();

    /// Forwards nothing in the given directions for `duration`. Connections stay open.
    void block_traffic(bool towards_target, bool towards_caller, milliseconds duration);
    /// Carries nothing in the given directions for `duration`, and accepts no connection. As with a network
    /// that loses packets, bytes sent meanwhile arrive after a short cut, and a longer one closes their
    /// connection.
    void cut(bool towards_target, bool towards_caller, milliseconds duration);
    /// Delays all traffic by `added_delay` for `duration`.
    void delay(milliseconds added_delay, milliseconds duration);
    /// Closes all open connections with a TCP reset.
    void reset_connections();

private:
    struct direction_state;
    struct connection_pair;

    void accept();
    void start_read(const std::shared_ptr<connection_pair>& connection, bool towards_target);
    void forward_after_cut(const std::shared_ptr<connection_pair>& connection, bool towards_target,
                           std::size_t byte_count, time_point received_at);
    void forward_after_delay(const std::shared_ptr<connection_pair>& connection, bool towards_target,
                             std::size_t byte_count);
    void forward(const std::shared_ptr<connection_pair>& connection, bool towards_target,
                 std::size_t byte_count);
    void close_connection(const std::shared_ptr<connection_pair>& connection);
    [[nodiscard]] milliseconds remaining_delay(bool towards_target) const;

    boost::asio::io_context& m_context;
    std::uint16_t m_port;
    std::uint16_t m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::list<std::shared_ptr<connection_pair>> m_connections;
    /// Index 0 is the direction towards the caller, index 1 towards the target.
    std::array<time_point, 2> m_blocked_until{};
    std::array<time_point, 2> m_cut_until{};
    milliseconds m_delay{0};
    time_point m_delayed_until{};
};

} // namespace hickorymount::soak

#include "soak/fault_proxy.h"

#include <algorithm>
#include <string>
#include <utility>

#include <boost/asio/write.hpp>

namespace hickorymount::soak {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t buffer_bytes = std::size_t{16} << 10;
/// A sender closes a connection whose bytes are not acknowledged for this long.
constexpr milliseconds unacknowledged_timeout{1200};

} // namespace

/// Data in transit in one direction of a connection.
struct fault_proxy::direction_state
{
    explicit direction_state(asio::io_context& context) : timer(context) {}

    std::array<char, buffer_bytes> buffer{};
    asio::steady_timer timer;
};

/// An accepted connection and the matching connection to the target.
struct fault_proxy::connection_pair
{
    connection_pair(asio::io_context& context, tcp::socket accepted)
        : caller(std::move(accepted)),
          target(context), directions{direction_state(context), direction_state(context)}
    {
    }

    tcp::socket caller;
    tcp::socket target;
    /// Index 0 is the direction towards the caller, index 1 towards the target.
    std::array<direction_state, 2> directions;
};

fault_proxy::fault_proxy(asio::io_context& context, std::uint16_t port, std::uint16_t target)
    : m_context(context), m_port(port), m_target(target), m_acceptor(context)
{
}

fault_proxy::~fault_proxy() = default;

result<void> fault_proxy::start()
{
    boost::system::error_code error;
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), m_port);
    m_acceptor.open(endpoint.protocol(), error);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    m_acceptor.bind(endpoint, error);
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return fail("listen", std::to_string(m_port), error.message());
    }
    accept();
    return {};
}

void fault_proxy::stop()
{
    m_acceptor.close();
    reset_connections();
}

void fault_proxy::block_traffic(bool towards_target, bool towards_caller, milliseconds duration)
{
    const time_point until = millisecond_clock::now() + duration;
    if (towards_caller) {
        m_blocked_until[0] = std::max(m_blocked_until[0], until);
    }
    if (towards_target) {
        m_blocked_until[1] = std::max(m_blocked_until[1], until);
    }
}

void fault_proxy::cut(bool towards_target, bool towards_caller, milliseconds duration)
{
    const time_point until = millisecond_clock::now() + duration;
    if (towards_caller) {
        m_cut_until[0] = std::max(m_cut_until[0], until);
    }
    if (towards_target) {
        m_cut_until[1] = std::max(m_cut_until[1], until);
    }
}

void fault_proxy::delay(milliseconds added_delay, milliseconds duration)
{
    m_delay = added_delay;
    m_delayed_until = millisecond_clock::now() + duration;
}

void fault_proxy::reset_connections()
{
    for (const auto& connection : std::exchange(m_connections, {})) {
        boost::system::error_code ignored;
        connection->caller.set_option(asio::socket_base::linger(true, 0), ignored);
        connection->target.set_option(asio::socket_base::linger(true, 0), ignored);
        connection->caller.close(ignored);
        connection->target.close(ignored);
        connection->directions[0].timer.cancel();
        connection->directions[1].timer.cancel();
    }
}

void fault_proxy::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (error) {
            return;
        }
        const bool is_cut = millisecond_clock::now() < std::max(m_cut_until[0], m_cut_until[1]);
        if (is_cut) {
            accept();
            return;
        }
        auto connection = std::make_shared<connection_pair>(m_context, std::move(socket));
        m_connections.push_back(connection);
        connection->target.async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), m_target),
                                         [this, connection](const boost::system::error_code& connect_error) {
                                             if (connect_error) {
                                                 close_connection(connection);
                                                 return;
                                             }
                                             start_read(connection, true);
                                             start_read(connection, false);
                                         });
        accept();
    });
}

milliseconds fault_proxy::remaining_delay(bool towards_target) const
{
    const time_point now = millisecond_clock::now();
    const milliseconds block_time = m_blocked_until[towards_target ? 1 : 0] - now;
    const milliseconds added_delay = now < m_delayed_until ? m_delay : milliseconds{0};
    return std::max({block_time, added_delay, milliseconds{0}});
}

void fault_proxy::start_read(const std::shared_ptr<connection_pair>& connection, bool towards_target)
{
    tcp::socket& source = towards_target ? connection->caller : connection->target;
    source.async_read_some(
        asio::buffer(connection->directions[towards_target ? 1 : 0].buffer),
        [this, connection, towards_target](const boost::system::error_code& error, std::size_t byte_count) {
            if (error) {
                close_connection(connection);
                return;
            }
            forward_after_cut(connection, towards_target, byte_count, millisecond_clock::now());
        });
}

void fault_proxy::forward_after_cut(const std::shared_ptr<connection_pair>& connection, bool towards_target,
                                    std::size_t byte_count, time_point received_at)
{
    const time_point now = millisecond_clock::now();
    const time_point cut_until = m_cut_until[towards_target ? 1 : 0];
    const time_point closes_at = received_at + unacknowledged_timeout;
    if (now >= cut_until) {
        forward_after_delay(connection, towards_target, byte_count);
        return;
    }
    if (now >= closes_at) {
        close_connection(connection);
        return;
    }
    asio::steady_timer& timer = connection->directions[towards_target ? 1 : 0].timer;
    timer.expires_after(std::min(cut_until, closes_at) - now);
    timer.async_wait(
        [this, connection, towards_target, byte_count, received_at](const boost::system::error_code& error) {
            if (!error) {
                forward_after_cut(connection, towards_target, byte_count, received_at);
            }
        });
}

void fault_proxy::forward_after_delay(const std::shared_ptr<connection_pair>& connection, bool towards_target,
                                      std::size_t byte_count)
{
    const milliseconds delay_time = remaining_delay(towards_target);
    if (delay_time == milliseconds{0}) {
        forward(connection, towards_target, byte_count);
        return;
    }
    asio::steady_timer& timer = connection->directions[towards_target ? 1 : 0].timer;
    timer.expires_after(delay_time);
    timer.async_wait([this, connection, towards_target, byte_count](const boost::system::error_code& error) {
        if (!error) {
            forward(connection, towards_target, byte_count);
        }
    });
}

void fault_proxy::forward(const std::shared_ptr<connection_pair>& connection, bool towards_target,
                          std::size_t byte_count)
{
    tcp::socket& destination = towards_target ? connection->target : connection->caller;
    asio::async_write(
        destination, asio::buffer(connection->directions[towards_target ? 1 : 0].buffer, byte_count),
        [this, connection, towards_target](const boost::system::error_code& error, std::size_t) {
            if (error) {
                close_connection(connection);
                return;
            }
            start_read(connection, towards_target);
        });
}

void fault_proxy::close_connection(const std::shared_ptr<connection_pair>& connection)
{
    boost::system::error_code ignored;
    connection->caller.close(ignored);
    connection->target.close(ignored);
    m_connections.remove(connection);
}

} // namespace hickorymount::soak

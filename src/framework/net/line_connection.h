#pragma once

#include "base/millisecond_clock.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace hickorymount::net {

/// Line-based TCP connection. Use it only on the thread of its I/O context; it never blocks.
class line_connection : public std::enable_shared_from_this<line_connection>
{
public:
    struct handlers
    {
        /// `line` has no line break.
        std::function<void(std::string_view line)> on_line;
        /// Called once when the connection ends, unless it was closed locally.
        std::function<void(const std::string& reason)> on_closed;
    };

    struct limits
    {
        /// The connection is closed when a line exceeds this length.
        std::size_t line_bytes = std::size_t{1} << 20;
        /// Reading pauses while more than this number of bytes is unsent.
        std::size_t unsent_bytes = std::size_t{1} << 18;
        /// The connection is closed when the peer's host leaves bytes unacknowledged for this long.
        milliseconds unacknowledged_timeout{4000};
    };

    line_connection(boost::asio::ip::tcp::socket socket, limits connection_limits);

    void set_handlers(handlers new_handlers) { m_handlers = std::move(new_handlers); }

    /// Connects, then starts reading. `on_connected` is called before any line.
    void connect(const boost::asio::ip::tcp::endpoint& endpoint, std::function<void()> on_connected);
    /// Starts reading from an accepted connection.
    void start();
    void send(const std::string& bytes);
    /// Closes the connection once all sent bytes are written; no further handler is called.
    void close_after_sending();
    void close();

private:
    void set_socket_options();
    void wait_for_bytes();
    void read();
    void deliver_lines();
    void write();
    void close_with_reason(const std::string& reason);

    boost::asio::ip::tcp::socket m_socket;
    limits m_limits;
    handlers m_handlers;
    std::string m_received;
    std::string m_unsent;
    bool m_is_reading = false;
    bool m_is_writing = false;
    bool m_closes_when_sent = false;
    bool m_is_closed = false;
};

} // namespace hickorymount::net

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

/// A TCP connection that carries lines. Used on the thread of its context alone; never blocks.
class line_connection : public std::enable_shared_from_this<line_connection>
{
public:
    struct handlers
    {
        /// Without the line's end.
        std::function<void(std::string_view line)> on_line;
        /// Called once, unless `close` was called before.
        std::function<void(const std::string& reason)> on_ended;
    };

    struct limits
    {
        /// A longer line ends the connection.
        std::size_t line_bytes = std::size_t{1} << 20;
        /// With more than this unsent, nothing is read.
        std::size_t unsent_bytes = std::size_t{1} << 18;
        /// The connection ends when the peer's host leaves bytes unacknowledged for this long.
        milliseconds silence{4000};
    };

    line_connection(boost::asio::ip::tcp::socket socket, limits bounds);

    void set_handlers(handlers called) { m_handlers = std::move(called); }

    /// Connects first, then reads. `on_connected` is called before any line.
    void connect(const boost::asio::ip::tcp::endpoint& to, std::function<void()> on_connected);
    /// Reads from a connection that was accepted.
    void start();
    void send(const std::string& bytes);
    /// Closes after what was sent; no handler is called any more.
    void close_after_sending();
    void close();

private:
    void prepare();
    void wait_for_bytes();
    void read();
    void take_lines();
    void write();
    void end(const std::string& reason);

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

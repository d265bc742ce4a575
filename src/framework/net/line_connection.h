#pragma once

#include "base/millisecond_clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace hickorymount::net {

/// TCP connection whose messages end with CR LF. A lone CR or LF is content. Use it only on the thread of its
/// I/O context; it never blocks.
class line_connection : public std::enable_shared_from_this<line_connection>
{
public:
    struct handlers
    {
        /// `line` is a message without its line end, byte by byte as it was received.
        std::function<void(std::string_view line)> on_line;
        /// Called once when the connection ends, unless it was closed locally.
        std::function<void(const std::string& reason)> on_closed;
        /// Asked before each line; while it returns false, lines stay in the buffer and nothing is read until
        /// `resume`. Optional.
        std::function<bool()> accepts_lines{};
        /// Asked when there are bytes to read; after false, nothing is read until `resume`. Optional.
        std::function<bool()> may_read{};
        /// Called when `received_bytes` or `unsent_bytes` may have changed. Optional.
        std::function<void()> on_buffers_changed{};
    };

    struct limits
    {
        /// The connection is closed when a line without its line end exceeds this length.
        std::size_t line_bytes = std::size_t{1} << 20;
        /// Reading and the delivery of lines pause while more than this number of bytes is unsent.
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
    /// Continues reading after `accepts_lines` or `may_read` has returned false. Returns before any handler
    /// is called.
    void resume();

    [[nodiscard]] bool is_closed() const { return m_is_closed; }
    /// Received bytes that have not been delivered.
    [[nodiscard]] std::size_t received_bytes() const { return m_received.size() - m_delivered; }
    [[nodiscard]] std::size_t unsent_bytes() const { return m_unsent.size() - m_sent; }
    /// All bytes received since the connection was opened.
    [[nodiscard]] std::uint64_t total_received_bytes() const { return m_total_received; }

private:
    void set_socket_options();
    void wait_for_bytes();
    void read();
    void deliver_lines();
    void discard_delivered();
    void write();
    void report_buffers();
    void close_with_reason(const std::string& reason);

    boost::asio::ip::tcp::socket m_socket;
    limits m_limits;
    handlers m_handlers;
    std::string m_received;
    /// Length of the part of `m_received` that has been delivered.
    std::size_t m_delivered = 0;
    /// Length of the part of `m_received` that contains no further line end.
    std::size_t m_searched = 0;
    std::uint64_t m_total_received = 0;
    std::string m_unsent;
    /// Length of the part of `m_unsent` that has been written.
    std::size_t m_sent = 0;
    bool m_is_delivering = false;
    bool m_has_undelivered_line = false;
    bool m_is_resume_posted = false;
    bool m_is_reading = false;
    bool m_is_writing = false;
    bool m_closes_when_sent = false;
    bool m_is_closed = false;
};

} // namespace hickorymount::net

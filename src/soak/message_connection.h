#pragma once

#include "soak/message_splitter.h"

#include <array>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace hickorymount::soak {

/// A TCP connection of the soak's servers and callers. Use it on the thread of its I/O context only.
class message_connection : public std::enable_shared_from_this<message_connection>
{
public:
    struct handlers
    {
        /// `message` has no CR LF.
        std::function<void(const std::string& message)> on_message;
        /// Called once when the connection ends, unless it was closed locally.
        std::function<void()> on_closed;
    };

    explicit message_connection(boost::asio::ip::tcp::socket socket,
                                std::size_t max_bytes = max_message_bytes);

    void set_handlers(handlers new_handlers) { m_handlers = std::move(new_handlers); }
    /// Connects, then starts reading. `on_connected` is called before any message.
    void connect(const boost::asio::ip::tcp::endpoint& endpoint, std::function<void()> on_connected);
    /// Starts reading from an accepted connection.
    void start();
    void send(const std::string& bytes);
    void close();

private:
    void read();
    void write();
    void end();

    boost::asio::ip::tcp::socket m_socket;
    handlers m_handlers;
    message_splitter m_splitter;
    std::array<char, 4096> m_buffer{};
    std::string m_unsent;
    bool m_is_writing = false;
    bool m_is_closed = false;
};

} // namespace hickorymount::soak

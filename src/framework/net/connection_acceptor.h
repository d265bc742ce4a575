#pragma once

#include "base/millisecond_clock.h"

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hickorymount::net {

/// Accepts TCP connections until it is destroyed. When the process has no descriptor left, it closes the
/// pending connections and pauses, so that it neither spins nor stops. Use it only on the thread of its I/O
/// context.
class connection_acceptor
{
public:
    struct handlers
    {
        std::function<void(boost::asio::ip::tcp::socket)> on_accepted;
        /// A connection could not be accepted. Called at most once for each pause.
        std::function<void(const std::string& reason)> on_error;
    };

    connection_acceptor(boost::asio::io_context& context, handlers event_handlers);
    ~connection_acceptor();
    connection_acceptor(const connection_acceptor&) = delete;
    connection_acceptor& operator=(const connection_acceptor&) = delete;

    /// Listens on the address. Port 0 selects a free port.
    boost::system::error_code listen(const boost::asio::ip::tcp::endpoint& address);
    [[nodiscard]] boost::asio::ip::tcp::endpoint local_address() const;
    /// Starts to accept.
    void start();

private:
    void accept();
    void pause(const boost::system::error_code& error);
    void refuse_pending();
    void open_spare_descriptor();
    void close_spare_descriptor();

    handlers m_handlers;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_timer;
    /// Closed to accept and refuse a connection when there is no other descriptor; -1 if there is none.
    int m_spare_descriptor = -1;
};

} // namespace hickorymount::net

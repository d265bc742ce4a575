#include "net/line_connection.h"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <netinet/tcp.h>

namespace hickorymount::net {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

constexpr std::size_t read_bytes = std::size_t{16} << 10;

} // namespace

line_connection::line_connection(tcp::socket socket, limits connection_limits)
    : m_socket(std::move(socket)), m_limits(connection_limits)
{
}

void line_connection::connect(const tcp::endpoint& endpoint, std::function<void()> on_connected)
{
    auto self = shared_from_this();
    m_socket.async_connect(
        endpoint, [self, on_connected = std::move(on_connected)](const boost::system::error_code& error) {
            if (self->m_is_closed) {
                return;
            }
            if (error) {
                self->close_with_reason("connect: " + error.message());
                return;
            }
            self->set_socket_options();
            on_connected();
            self->wait_for_bytes();
        });
}

void line_connection::start()
{
    set_socket_options();
    wait_for_bytes();
}

void line_connection::set_socket_options()
{
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.set_option(user_timeout(static_cast<int>(m_limits.unacknowledged_timeout.count())), ignored);
}

void line_connection::wait_for_bytes()
{
    if (m_is_closed || m_is_reading || m_closes_when_sent || m_unsent.size() > m_limits.unsent_bytes) {
        return;
    }
    m_is_reading = true;
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code& error) {
                            self->m_is_reading = false;
                            if (self->m_is_closed) {
                                return;
                            }
                            if (error) {
                                self->close_with_reason("read: " + error.message());
                                return;
                            }
                            self->read();
                        });
}

void line_connection::read()
{
    // One buffer for each thread, so that idle connections hold none.
    thread_local std::array<char, read_bytes> read_buffer;
    boost::system::error_code error;
    const std::size_t count = m_socket.read_some(asio::buffer(read_buffer), error);
    if (error && error != asio::error::would_block) {
        close_with_reason(error == asio::error::eof ? "closed by the peer" : "read: " + error.message());
        return;
    }
    m_received.append(read_buffer.data(), count);
    deliver_lines();
    if (!m_is_closed && m_received.size() > m_limits.line_bytes) {
        close_with_reason("a line is longer than the limit");
        return;
    }
    wait_for_bytes();
}

void line_connection::deliver_lines()
{
    const auto self = shared_from_this();
    std::string bytes;
    bytes.swap(m_received);
    std::size_t line_start = 0;
    while (!m_is_closed && !m_closes_when_sent) {
        const std::size_t line_end = bytes.find('\n', line_start);
        if (line_end == std::string::npos) {
            break;
        }
        std::string_view line(bytes.data() + line_start, line_end - line_start);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        line_start = line_end + 1;
        m_handlers.on_line(line);
    }
    if (line_start < bytes.size()) {
        m_received.assign(bytes, line_start);
    }
}

void line_connection::send(const std::string& bytes)
{
    if (m_is_closed || m_closes_when_sent) {
        return;
    }
    m_unsent += bytes;
    if (!m_is_writing) {
        write();
    }
}

void line_connection::write()
{
    while (!m_unsent.empty()) {
        boost::system::error_code error;
        const std::size_t count = m_socket.write_some(asio::buffer(m_unsent), error);
        m_unsent.erase(0, count);
        if (error == asio::error::would_block) {
            m_is_writing = true;
            m_socket.async_wait(tcp::socket::wait_write,
                                [self = shared_from_this()](const boost::system::error_code& wait_error) {
                                    self->m_is_writing = false;
                                    if (self->m_is_closed) {
                                        return;
                                    }
                                    if (wait_error) {
                                        self->close_with_reason("write: " + wait_error.message());
                                        return;
                                    }
                                    self->write();
                                    self->wait_for_bytes();
                                });
            return;
        }
        if (error) {
            // Deferred: the caller may still be processing an event, and `on_closed` must not run within it.
            asio::post(m_socket.get_executor(), [self = shared_from_this(), error] {
                self->close_with_reason("write: " + error.message());
            });
            return;
        }
    }
    if (m_closes_when_sent) {
        close();
    }
}

void line_connection::close_after_sending()
{
    m_closes_when_sent = true;
    if (m_unsent.empty()) {
        close();
    }
}

void line_connection::close()
{
    if (std::exchange(m_is_closed, true)) {
        return;
    }
    boost::system::error_code ignored;
    m_socket.close(ignored);
    // The handlers may own the owner of this connection; clearing them breaks the reference cycle.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->m_handlers = {}; });
}

void line_connection::close_with_reason(const std::string& reason)
{
    if (m_is_closed) {
        return;
    }
    const handlers current_handlers = m_handlers;
    const bool is_reported = !m_closes_when_sent;
    close();
    if (is_reported && current_handlers.on_closed) {
        current_handlers.on_closed(reason);
    }
}

} // namespace hickorymount::net

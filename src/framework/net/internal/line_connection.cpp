#include "net/line_connection.h"

#include <array>
#include <new>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <netinet/tcp.h>

namespace hickorymount::net {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

constexpr std::size_t read_bytes = std::size_t{16} << 10;
constexpr std::string_view line_end = "\r\n";

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
    if (m_is_closed || m_is_reading || m_closes_when_sent || m_has_undelivered_line ||
        unsent_bytes() > m_limits.unsent_bytes) {
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
    // Asked only once there is something to read, so that idle connections do not count as waiting.
    if (m_handlers.may_read && !m_handlers.may_read()) {
        return;
    }
    // One buffer for each thread, so that idle connections hold none.
    thread_local std::array<char, read_bytes> read_buffer;
    boost::system::error_code error;
    const std::size_t count = m_socket.read_some(asio::buffer(read_buffer), error);
    if (error && error != asio::error::would_block) {
        close_with_reason(error == asio::error::eof ? "closed by the peer" : "read: " + error.message());
        return;
    }
    try {
        m_received.append(read_buffer.data(), count);
    } catch (const std::bad_alloc&) {
        close_with_reason("read: out of memory");
        return;
    }
    m_total_received += count;
    deliver_lines();
}

void line_connection::deliver_lines()
{
    const auto self = shared_from_this();
    if (std::exchange(m_is_delivering, true)) {
        return;
    }
    m_has_undelivered_line = false;
    while (!m_is_closed && !m_closes_when_sent) {
        const std::size_t end = m_received.find(line_end, m_searched);
        if (end == std::string::npos) {
            // The last byte may be the first one of a line end.
            m_searched = m_received.size() - (received_bytes() > 0 ? 1 : 0);
            break;
        }
        m_searched = end;
        const bool accepts_lines = unsent_bytes() <= m_limits.unsent_bytes &&
                                   (!m_handlers.accepts_lines || m_handlers.accepts_lines());
        if (!accepts_lines) {
            m_has_undelivered_line = true;
            break;
        }
        const std::string_view line(m_received.data() + m_delivered, end - m_delivered);
        m_delivered = m_searched = end + line_end.size();
        m_handlers.on_line(line);
    }
    m_is_delivering = false;
    discard_delivered();
    if (m_is_closed) {
        return;
    }
    const bool has_first_of_line_end = !m_received.empty() && m_received.back() == line_end.front();
    if (!m_has_undelivered_line && received_bytes() > m_limits.line_bytes + (has_first_of_line_end ? 1 : 0)) {
        close_with_reason("a line is longer than the limit");
        return;
    }
    report_buffers();
    wait_for_bytes();
}

void line_connection::discard_delivered()
{
    if (m_delivered == m_received.size()) {
        // Assigned, not cleared, so that idle connections hold no memory.
        m_received = std::string();
    } else {
        m_received.erase(0, m_delivered);
    }
    m_searched -= m_delivered;
    m_delivered = 0;
}

void line_connection::resume()
{
    if (m_is_closed || std::exchange(m_is_resume_posted, true)) {
        return;
    }
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_is_resume_posted = false;
        if (!self->m_is_closed) {
            self->deliver_lines();
        }
    });
}

void line_connection::report_buffers()
{
    if (!m_is_closed && m_handlers.on_buffers_changed) {
        m_handlers.on_buffers_changed();
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
    report_buffers();
}

void line_connection::write()
{
    while (unsent_bytes() > 0) {
        boost::system::error_code error;
        const std::size_t count =
            m_socket.write_some(asio::buffer(m_unsent.data() + m_sent, unsent_bytes()), error);
        m_sent += count;
        if (error == asio::error::would_block) {
            // Each byte is moved at most once for each half of the buffer.
            if (m_sent > m_unsent.size() / 2) {
                m_unsent.erase(0, std::exchange(m_sent, 0));
            }
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
                                    self->deliver_lines();
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
    m_unsent = std::string();
    m_sent = 0;
    if (m_closes_when_sent) {
        close();
    }
}

void line_connection::close_after_sending()
{
    m_closes_when_sent = true;
    if (unsent_bytes() == 0) {
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

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

line_connection::line_connection(tcp::socket socket, limits bounds)
    : m_socket(std::move(socket)), m_limits(bounds)
{
}

void line_connection::connect(const tcp::endpoint& to, std::function<void()> on_connected)
{
    auto self = shared_from_this();
    m_socket.async_connect(
        to, [self, on_connected = std::move(on_connected)](const boost::system::error_code& problem) {
            if (self->m_is_closed) {
                return;
            }
            if (problem) {
                self->end("connect: " + problem.message());
                return;
            }
            self->prepare();
            on_connected();
            self->wait_for_bytes();
        });
}

void line_connection::start()
{
    prepare();
    wait_for_bytes();
}

void line_connection::prepare()
{
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.set_option(user_timeout(static_cast<int>(m_limits.silence.count())), ignored);
}

void line_connection::wait_for_bytes()
{
    if (m_is_closed || m_is_reading || m_closes_when_sent || m_unsent.size() > m_limits.unsent_bytes) {
        return;
    }
    m_is_reading = true;
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code& problem) {
                            self->m_is_reading = false;
                            if (self->m_is_closed) {
                                return;
                            }
                            if (problem) {
                                self->end("read: " + problem.message());
                                return;
                            }
                            self->read();
                        });
}

void line_connection::read()
{
    // Idle connections hold no buffer of their own.
    thread_local std::array<char, read_bytes> block;
    boost::system::error_code problem;
    const std::size_t count = m_socket.read_some(asio::buffer(block), problem);
    if (problem && problem != asio::error::would_block) {
        end(problem == asio::error::eof ? "closed by the peer" : "read: " + problem.message());
        return;
    }
    m_received.append(block.data(), count);
    take_lines();
    if (!m_is_closed && m_received.size() > m_limits.line_bytes) {
        end("a line is longer than the limit");
        return;
    }
    wait_for_bytes();
}

void line_connection::take_lines()
{
    const auto self = shared_from_this();
    std::string bytes;
    bytes.swap(m_received);
    std::size_t from = 0;
    while (!m_is_closed && !m_closes_when_sent) {
        const std::size_t end_at = bytes.find('\n', from);
        if (end_at == std::string::npos) {
            break;
        }
        std::string_view line(bytes.data() + from, end_at - from);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        from = end_at + 1;
        m_handlers.on_line(line);
    }
    if (from < bytes.size()) {
        m_received.assign(bytes, from);
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
        boost::system::error_code problem;
        const std::size_t count = m_socket.write_some(asio::buffer(m_unsent), problem);
        m_unsent.erase(0, count);
        if (problem == asio::error::would_block) {
            m_is_writing = true;
            m_socket.async_wait(tcp::socket::wait_write,
                                [self = shared_from_this()](const boost::system::error_code& failed) {
                                    self->m_is_writing = false;
                                    if (self->m_is_closed) {
                                        return;
                                    }
                                    if (failed) {
                                        self->end("write: " + failed.message());
                                        return;
                                    }
                                    self->write();
                                    self->wait_for_bytes();
                                });
            return;
        }
        if (problem) {
            // The caller may be in the middle of a decision; it learns of the end afterwards.
            asio::post(m_socket.get_executor(),
                       [self = shared_from_this(), problem] { self->end("write: " + problem.message()); });
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
    // The handlers may hold what holds this connection.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->m_handlers = {}; });
}

void line_connection::end(const std::string& reason)
{
    if (m_is_closed) {
        return;
    }
    const handlers called = m_handlers;
    const bool is_wanted = !m_closes_when_sent;
    close();
    if (is_wanted && called.on_ended) {
        called.on_ended(reason);
    }
}

} // namespace hickorymount::net

#include "soak/message_connection.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

namespace hickorymount::soak {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

message_connection::message_connection(tcp::socket socket, std::size_t max_bytes)
    : m_socket(std::move(socket)), m_splitter(max_bytes)
{
}

void message_connection::connect(const tcp::endpoint& endpoint, std::function<void()> on_connected)
{
    m_socket.async_connect(endpoint, [self = shared_from_this(), on_connected = std::move(on_connected)](
                                         const boost::system::error_code& error) {
        if (self->m_is_closed) {
            return;
        }
        if (error) {
            self->end();
            return;
        }
        self->start();
        on_connected();
    });
}

void message_connection::start()
{
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(tcp::no_delay(true), ignored);
    read();
}

void message_connection::read()
{
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t count) {
            if (self->m_is_closed) {
                return;
            }
            if (error) {
                self->end();
                return;
            }
            self->m_splitter.append({self->m_buffer.data(), count});
            while (auto message = self->m_splitter.next()) {
                self->m_handlers.on_message(*message);
                if (self->m_is_closed) {
                    return;
                }
            }
            if (self->m_splitter.is_too_long()) {
                self->end();
                return;
            }
            self->read();
        });
}

void message_connection::send(const std::string& bytes)
{
    if (!m_is_closed) {
        m_unsent += bytes;
        write();
    }
}

/// Writes at once what the kernel accepts, so that `close` may follow `send`.
void message_connection::write()
{
    if (m_is_writing || m_unsent.empty()) {
        return;
    }
    boost::system::error_code error;
    m_unsent.erase(0, m_socket.write_some(asio::buffer(m_unsent), error));
    if (error && error != asio::error::would_block) {
        // The pending read reports the end of the connection.
        m_unsent.clear();
    }
    if (m_unsent.empty()) {
        return;
    }
    m_is_writing = true;
    m_socket.async_wait(tcp::socket::wait_write,
                        [self = shared_from_this()](const boost::system::error_code& wait_error) {
                            self->m_is_writing = false;
                            if (!wait_error && !self->m_is_closed) {
                                self->write();
                            }
                        });
}

void message_connection::close()
{
    if (std::exchange(m_is_closed, true)) {
        return;
    }
    // A handler may be running, and holds what it uses.
    asio::post(m_socket.get_executor(), [old_handlers = std::exchange(m_handlers, {})] {});
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void message_connection::end()
{
    const auto on_closed = m_handlers.on_closed;
    close();
    if (on_closed) {
        on_closed();
    }
}

} // namespace hickorymount::soak

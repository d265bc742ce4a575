#include "net/connection_acceptor.h"

#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace hickorymount::net {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// Pause after a failed accept, such as one without a free descriptor.
constexpr milliseconds accept_pause{100};
/// Connections that are refused in a row without a pause.
constexpr int max_refused_at_once = 256;

} // namespace

connection_acceptor::connection_acceptor(asio::io_context& context, handlers event_handlers)
    : m_handlers(std::move(event_handlers)), m_acceptor(context), m_timer(context)
{
    open_spare_descriptor();
}

connection_acceptor::~connection_acceptor()
{
    close_spare_descriptor();
}

boost::system::error_code connection_acceptor::listen(const tcp::endpoint& address)
{
    boost::system::error_code error;
    m_acceptor.open(address.protocol(), error);
    if (!error) {
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(address, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
}

tcp::endpoint connection_acceptor::local_address() const
{
    boost::system::error_code ignored;
    return m_acceptor.local_endpoint(ignored);
}

void connection_acceptor::start()
{
    accept();
}

void connection_acceptor::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            pause(error);
            return;
        }
        m_handlers.on_accepted(std::move(socket));
        accept();
    });
}

void connection_acceptor::pause(const boost::system::error_code& error)
{
    m_handlers.on_error(error.message());
    if (error == asio::error::no_descriptors) {
        refuse_pending();
    }
    m_timer.expires_after(accept_pause);
    m_timer.async_wait([this](const boost::system::error_code& timer_error) {
        if (!timer_error) {
            accept();
        }
    });
}

void connection_acceptor::refuse_pending()
{
    close_spare_descriptor();
    boost::system::error_code error;
    m_acceptor.non_blocking(true, error);
    for (int count = 0; !error && count < max_refused_at_once; ++count) {
        // Closed by the destructor.
        const tcp::socket refused = m_acceptor.accept(error);
    }
    open_spare_descriptor();
}

void connection_acceptor::open_spare_descriptor()
{
    m_spare_descriptor = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
}

void connection_acceptor::close_spare_descriptor()
{
    if (m_spare_descriptor >= 0) {
        ::close(std::exchange(m_spare_descriptor, -1));
    }
}

} // namespace hickorymount::net

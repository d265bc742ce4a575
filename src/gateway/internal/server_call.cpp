#include "gateway/internal/server_call.h"

#include <utility>

namespace hickorymount::gateway::detail {

namespace asio = boost::asio;

std::optional<asio::ip::tcp::endpoint> socket_address(const protocol::endpoint& address)
{
    boost::system::error_code error;
    const auto ip_address = asio::ip::make_address(address.address, error);
    if (error) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(ip_address, address.port);
}

server_call::server_call(asio::io_context& context, const sessions::session_codec& codec,
                         completion_handler on_complete)
    : m_context(context), m_codec(codec), m_on_complete(std::move(on_complete)), m_timer(context)
{
}

void server_call::start(const protocol::endpoint& address, const std::string& service,
                        const std::string& server, sessions::statement statement, milliseconds timeout)
{
    m_statement = std::move(statement);
    const auto self = shared_from_this();
    m_timer.expires_after(timeout);
    m_timer.async_wait([self](const boost::system::error_code& error) {
        if (!error) {
            self->finish({});
        }
    });
    const auto remote = socket_address(address);
    if (!remote) {
        asio::post(m_context, [self] { self->finish({}); });
        return;
    }
    m_connection = std::make_shared<net::line_connection>(asio::ip::tcp::socket(m_context),
                                                          net::line_connection::limits{});
    m_connection->set_handlers({[self](std::string_view line) { self->handle_line(line); },
                                [self](const std::string& /*reason*/) { self->finish({}); }});
    m_connection->connect(*remote, [self, opening = sessions::open_request{service, "", server}] {
        self->send(self->m_codec.encode_open(opening));
    });
}

void server_call::send(const std::optional<std::string>& message)
{
    if (!message) {
        finish({});
        return;
    }
    m_connection->send(*message);
}

void server_call::handle_line(std::string_view line)
{
    switch (append(m_answer, m_codec.decode_server_line(line))) {
    case read_step::incomplete:
    case read_step::opened_again:
        return;
    case read_step::opened:
        send(m_codec.encode_statement({"", m_statement}));
        return;
    case read_step::refused:
        finish({std::nullopt, m_answer.response.code != sessions::response_code::misrouted});
        return;
    case read_step::answered:
        finish({m_answer.response, false});
        return;
    case read_step::unreadable:
        finish({});
        return;
    }
}

void server_call::finish(const server_call_result& outcome)
{
    if (std::exchange(m_is_finished, true)) {
        return;
    }
    m_timer.cancel();
    if (m_connection != nullptr) {
        m_connection->close();
    }
    m_on_complete(outcome);
}

} // namespace hickorymount::gateway::detail

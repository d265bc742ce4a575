#include "gateway/internal/server_call.h"

#include <utility>
#include <variant>

namespace hickorymount::gateway::detail {

namespace asio = boost::asio;

std::optional<asio::ip::tcp::endpoint> socket_address(const protocol::endpoint& at)
{
    boost::system::error_code problem;
    const auto address = asio::ip::make_address(at.address, problem);
    if (problem) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(address, at.port);
}

server_call::server_call(asio::io_context& context, const sessions::wire& wire, finished on_finished)
    : m_context(context), m_wire(wire), m_on_finished(std::move(on_finished)), m_timer(context)
{
}

void server_call::start(const protocol::endpoint& at, const std::string& service, const std::string& server,
                        sessions::statement what, milliseconds timeout)
{
    m_what = std::move(what);
    const auto self = shared_from_this();
    m_timer.expires_after(timeout);
    m_timer.async_wait([self](const boost::system::error_code& problem) {
        if (!problem) {
            self->finish({});
        }
    });
    const auto address = socket_address(at);
    if (!address) {
        asio::post(m_context, [self] { self->finish({}); });
        return;
    }
    m_connection = std::make_shared<net::line_connection>(asio::ip::tcp::socket(m_context),
                                                          net::line_connection::limits{});
    m_connection->set_handlers({[self](std::string_view line) { self->take(line); },
                                [self](const std::string& /*reason*/) { self->finish({}); }});
    m_connection->connect(*address, [self, service, server] {
        self->m_connection->send(self->m_wire.encode_open(service, server));
    });
}

void server_call::take(std::string_view line)
{
    const sessions::server_line decoded = m_wire.decode_server(line);
    if (const auto* error = std::get_if<sessions::error_line>(&decoded)) {
        m_answer.code = error->code;
        m_answer.detail = error->detail;
        if (!m_is_open) {
            finish({std::nullopt, error->code != sessions::answer_code::misrouted});
        }
        return;
    }
    if (const auto* row = std::get_if<sessions::row_line>(&decoded)) {
        m_answer.rows.push_back(row->text);
        return;
    }
    const auto* ready = std::get_if<sessions::ready_line>(&decoded);
    if (ready == nullptr) {
        return;
    }
    if (!std::exchange(m_is_open, true)) {
        m_connection->send(m_wire.encode_statement("", m_what, std::nullopt));
        return;
    }
    m_answer.state = ready->state;
    m_answer.at = ready->at;
    finish({m_answer, false});
}

void server_call::finish(const server_call_result& what)
{
    if (std::exchange(m_is_finished, true)) {
        return;
    }
    m_timer.cancel();
    if (m_connection != nullptr) {
        m_connection->close();
    }
    m_on_finished(what);
}

} // namespace hickorymount::gateway::detail

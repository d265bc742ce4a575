#include "gateway/internal/server_call.h"

#include <utility>
#include <variant>

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
    m_connection->connect(*remote, [self, service, server] {
        self->m_connection->send(self->m_codec.encode_open({service, "", server}));
    });
}

void server_call::handle_line(std::string_view line)
{
    const sessions::server_line decoded = m_codec.decode_server_line(line);
    if (m_is_open) {
        handle_answer(decoded);
    } else {
        handle_opening(decoded);
    }
}

void server_call::handle_opening(const sessions::server_line& line)
{
    if (const auto* refused = std::get_if<sessions::error_line>(&line)) {
        finish({std::nullopt, refused->code != sessions::response_code::misrouted});
    } else if (std::holds_alternative<sessions::ready_line>(line)) {
        m_is_open = true;
        m_connection->send(m_codec.encode_statement({"", m_statement}));
    }
}

/// An answer is any number of rows, one outcome, and the state.
void server_call::handle_answer(const sessions::server_line& line)
{
    if (const auto* ready = std::get_if<sessions::ready_line>(&line)) {
        // Without an outcome, it repeats the answer to the opening.
        if (m_has_outcome) {
            m_answer.state = ready->state;
            m_answer.position = ready->position;
            finish({m_answer, false});
        }
        return;
    }
    if (m_has_outcome) {
        finish({});
    } else if (const auto* row = std::get_if<sessions::row_line>(&line)) {
        m_answer.rows.push_back(row->text);
    } else if (const auto* done = std::get_if<sessions::done_line>(&line)) {
        m_answer.detail = done->signature;
        m_has_outcome = true;
    } else if (const auto* failed = std::get_if<sessions::error_line>(&line)) {
        m_answer.code = failed->code;
        m_answer.detail = failed->detail;
        m_answer.rows.clear();
        m_has_outcome = true;
    } else {
        finish({});
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

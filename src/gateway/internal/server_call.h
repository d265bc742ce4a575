#pragma once

#include "base/identifier.h"
#include "gateway/internal/answer_reader.h"
#include "net/line_connection.h"
#include "protocol/types.h"
#include "sessions/session_codec.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

namespace hickorymount::gateway::detail {

/// Result of a call; `answer` is empty if the server sent no complete answer in time.
struct server_call_result
{
    std::optional<sessions::statement_response> answer;
    /// The server refused the session, so its process is running.
    bool is_refused = false;
};

/// Runs one of the proxy's own statements on a separate connection, then closes the connection.
class server_call : public std::enable_shared_from_this<server_call>
{
public:
    using completion_handler = std::function<void(const server_call_result&)>;

    server_call(boost::asio::io_context& context, const sessions::session_codec& codec,
                completion_handler on_complete);

    void start(const protocol::endpoint& address, const std::string& service, const std::string& server,
               sessions::statement statement, milliseconds timeout);

private:
    /// Ends the call without an answer if there is no message.
    void send(const std::optional<std::string>& message);
    void handle_line(std::string_view line);
    void finish(const server_call_result& outcome);

    boost::asio::io_context& m_context;
    const sessions::session_codec& m_codec;
    completion_handler m_on_complete;
    std::shared_ptr<net::line_connection> m_connection;
    boost::asio::steady_timer m_timer;
    sessions::statement m_statement;
    bool m_is_finished = false;
    partial_answer m_answer;
};

/// Converts an address from settings or reports; empty if it is not an IP address.
std::optional<boost::asio::ip::tcp::endpoint> socket_address(const protocol::endpoint& address);

} // namespace hickorymount::gateway::detail

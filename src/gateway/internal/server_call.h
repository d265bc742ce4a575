#pragma once

#include "base/identifier.h"
#include "net/line_connection.h"
#include "protocol/types.h"
#include "sessions/wire.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

namespace hickorymount::gateway::detail {

/// What came of a call; without `whole`, nothing did in time.
struct server_call_result
{
    std::optional<sessions::answer> whole;
    /// The server refused the connection, and so it runs.
    bool is_refused = false;
};

/// Runs one of the proxy's own statements on a connection of its own, then closes it.
class server_call : public std::enable_shared_from_this<server_call>
{
public:
    using finished = std::function<void(const server_call_result&)>;

    server_call(boost::asio::io_context& context, const sessions::wire& wire, finished on_finished);

    void start(const protocol::endpoint& at, const std::string& service, const std::string& server,
               sessions::statement what, milliseconds timeout);

private:
    void take(std::string_view line);
    void finish(const server_call_result& what);

    boost::asio::io_context& m_context;
    const sessions::wire& m_wire;
    finished m_on_finished;
    std::shared_ptr<net::line_connection> m_connection;
    boost::asio::steady_timer m_timer;
    sessions::statement m_what;
    bool m_is_open = false;
    bool m_is_finished = false;
    sessions::answer m_answer;
};

/// An address from settings or reports; nothing when it is no IP number.
std::optional<boost::asio::ip::tcp::endpoint> socket_address(const protocol::endpoint& at);

} // namespace hickorymount::gateway::detail

#pragma once

#include "base/error.h"
#include "base/millisecond_clock.h"
#include "http/types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace hickorymount::http {

/// Outcome of a call.
enum class call_status
{
    /// The whole response was received.
    answered,
    /// The connection could not be opened.
    not_sent,
    /// The request may have reached the server, but no whole response was received.
    response_lost
};

struct call_result
{
    call_status status = call_status::not_sent;
    /// Set when `status` is `answered`.
    response answer;
    /// Describes the error for any other `status`.
    std::string reason;

    friend bool operator==(const call_result&, const call_result&) = default;
};

/// Persistent connection to an HTTP server. Not safe for concurrent calls.
class client_connection
{
public:
    client_connection() = default;
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    virtual ~client_connection() = default;

    /// Sends a request and reads the whole response. After any status but `answered` the connection is
    /// unusable.
    virtual call_result call(const std::string& method, const std::string& path,
                             const std::map<std::string, std::string>& headers, const std::string& body,
                             milliseconds timeout) = 0;
};

/// Opens a connection. Errors: the connection is refused, or the address is not reachable.
result<std::unique_ptr<client_connection>> connect(const std::string& address, std::uint16_t port);

/// Sends one request on a new connection, which is closed afterwards.
call_result call_once(const std::string& address, std::uint16_t port, const std::string& method,
                      const std::string& path, const std::string& body, milliseconds timeout);

} // namespace hickorymount::http

#pragma once

#include "base/error.h"
#include "base/millisecond_clock.h"
#include "http/types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace hickorymount::http {

/// How far a request got before it failed.
enum class call_status
{
    answered,
    not_sent,
    lost
};

struct call_result
{
    call_status status = call_status::not_sent;
    /// Set when answered whole.
    response answer;
    /// Set otherwise.
    std::string reason;

    friend bool operator==(const call_result&, const call_result&) = default;
};

/// A client's kept-alive connection. One call at a time.
class client_connection
{
public:
    client_connection() = default;
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    virtual ~client_connection() = default;

    /// Sends a request and reads the whole response. After anything but `answered` the connection is dead.
    virtual call_result call(const std::string& method, const std::string& path,
                             const std::map<std::string, std::string>& headers, const std::string& body,
                             milliseconds timeout) = 0;
};

/// Opens a connection. Errors: refused, or not reachable.
result<std::unique_ptr<client_connection>> connect(const std::string& address, std::uint16_t port);

/// One request on a connection of its own.
call_result call_once(const std::string& address, std::uint16_t port, const std::string& method,
                      const std::string& path, const std::string& body, milliseconds timeout);

} // namespace hickorymount::http

#pragma once

#include "base/millisecond_clock.h"
#include "http/client.h"

#include <cstdint>
#include <map>
#include <string>

namespace hickorymount::http {

/// A request that must not leave this host after a certain time.
struct timed_request
{
    /// IP address and port of the server.
    std::string address;
    std::uint16_t port = 0;
    std::string method;
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
    /// No byte is sent at or after this time.
    time_point send_before{};
    milliseconds response_timeout{0};

    friend bool operator==(const timed_request&, const timed_request&) = default;
};

/// Sends one request on a new connection. Opening the connection takes no longer than until `send_before`;
/// the time is compared once more when the connection is open, since the process may have been suspended.
/// `not_sent` means that no byte of the request has left.
call_result call_in_time(const timed_request& request);

} // namespace hickorymount::http

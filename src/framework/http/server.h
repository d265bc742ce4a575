#pragma once

#include "base/error.h"
#include "http/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hickorymount::http {

struct server_options
{
    std::string address = "127.0.0.1";
    /// 0 lets the kernel choose.
    std::uint16_t port = 0;
    /// Each connection holds one thread until it closes.
    unsigned threads = 16;
    /// A second `address:port` that is listened on; empty for none.
    std::string also_on;
    /// Connections beyond this number are closed after one response, so that new callers find a thread.
    unsigned kept_alive_connections = 12;
    /// An idle connection is closed after this time, in milliseconds.
    unsigned keep_alive_timeout_ms = 10'000;
    std::size_t max_body_bytes = std::size_t{1} << 20;

    friend bool operator==(const server_options&, const server_options&) = default;
};

using request_handler = std::function<response(const request&)>;
using closed_handler = std::function<void(std::uint64_t connection)>;

/// An HTTP server. Handlers run on its threads, several at once, and may block.
class server
{
public:
    server() = default;
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    virtual ~server() = default;

    [[nodiscard]] virtual std::uint16_t port() const = 0;

    /// Waits for the handlers in hand, then closes all connections.
    virtual void stop() = 0;
};

/// Starts a server. `on_closed` may be empty.
result<std::unique_ptr<server>> start_server(const server_options& options, request_handler on_request,
                                             closed_handler on_closed);

} // namespace hickorymount::http

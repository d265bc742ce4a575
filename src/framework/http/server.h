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
    /// 0 selects a free port.
    std::uint16_t port = 0;
    /// Number of worker threads. Each connection occupies one until it closes.
    unsigned threads = 16;
    /// Second `address:port` to listen on; empty for none.
    std::string additional_address;
    /// Connections beyond this number are closed after one response, so that threads stay free for new
    /// callers.
    unsigned max_kept_alive_connections = 12;
    /// An idle connection is closed after this time, in milliseconds.
    unsigned keep_alive_timeout_ms = 10'000;
    /// A connection is closed when a request's header takes longer than this, or a write of the response.
    unsigned request_timeout_ms = 10'000;
    /// A request's body may take this long, and a second more for each `body_bytes_per_second` received.
    unsigned body_timeout_ms = 5000;
    std::size_t body_bytes_per_second = std::size_t{16} << 10;
    std::size_t max_body_bytes = std::size_t{1} << 20;

    friend bool operator==(const server_options&, const server_options&) = default;
};

using request_handler = std::function<response(const request&)>;
using closed_handler = std::function<void(std::uint64_t connection)>;

/// HTTP server. Handlers run concurrently on its threads, and may block.
class server
{
public:
    server() = default;
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    virtual ~server() = default;

    [[nodiscard]] virtual std::uint16_t port() const = 0;

    /// Waits for the running handlers, then closes all connections.
    virtual void stop() = 0;
};

/// Starts a server. `on_closed` may be empty. Errors: the address can't be listened on.
result<std::unique_ptr<server>> start_server(const server_options& options, request_handler on_request,
                                             closed_handler on_closed);

} // namespace hickorymount::http

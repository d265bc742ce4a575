#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

// This header is also compiled as C++17, by the one file that includes websocketpp.

namespace hickorymount::link {

/// Called on the transport's own thread; must not block.
struct peer_handlers
{
    std::function<void(const std::string& peer, const std::string& bytes)> on_message;
    std::function<void(const std::string& peer)> on_connected;
    std::function<void(const std::string& peer, const std::string& reason)> on_problem;
};

/// Messages between the system's own processes, in order for each connection, lost with it.
class peer_transport
{
public:
    peer_transport() = default;
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    virtual ~peer_transport() = default;

    /// Accepts connections; port 0 lets the kernel choose. Returns the port, or 0 when it can't listen.
    virtual std::uint16_t listen(const std::string& address, std::uint16_t port) = 0;

    /// Keeps a connection to the peer, dialled anew whenever it ends.
    virtual void dial(const std::string& peer, const std::string& address, std::uint16_t port) = 0;

    /// Sends when the peer is connected; otherwise the message is dropped. Safe from any thread.
    virtual void send(const std::string& peer, std::string bytes) = 0;

    /// Runs the transport's thread.
    virtual void start() = 0;
    virtual void stop() = 0;
};

/// A transport over WebSocket with binary messages.
std::unique_ptr<peer_transport> make_websocket_transport(const std::string& own_name, peer_handlers handlers);

} // namespace hickorymount::link

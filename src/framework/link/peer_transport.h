#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

// This header must also compile as C++17, for the one source file that includes websocketpp.

namespace hickorymount::link {

/// Callbacks of a transport. They run on the transport's thread and must not block.
struct peer_handlers
{
    std::function<void(const std::string& peer, const std::string& bytes)> on_message;
    std::function<void(const std::string& peer)> on_connected;
    std::function<void(const std::string& peer, const std::string& reason)> on_error;
};

/// Messages that wait because a peer's link is slower than they are sent.
struct link_backlog
{
    /// Bytes that wait for all peers, and for the peer with the most.
    std::size_t queued_bytes = 0;
    std::size_t largest_queue_bytes = 0;
    /// Longest time for which messages have waited for the same peer without a pause.
    std::chrono::milliseconds longest_wait{0};
};

/// Carries messages between the processes of the system. Messages on one connection arrive in order;
/// undelivered ones are lost when the connection closes.
class peer_transport
{
public:
    peer_transport() = default;
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    virtual ~peer_transport() = default;

    /// Accepts connections; port 0 selects a free port. Returns the port, or 0 when listening fails.
    virtual std::uint16_t listen(const std::string& address, std::uint16_t port) = 0;

    /// Connects to the peer; retries failed attempts and reconnects whenever the connection closes.
    virtual void keep_connected(const std::string& peer, const std::string& address, std::uint16_t port) = 0;

    /// Sends the message if the peer is connected; drops it otherwise. Safe to call from any thread.
    virtual void send(const std::string& peer, std::string bytes) = 0;

    /// The backlog at the last message to each peer. Safe to call from any thread.
    [[nodiscard]] virtual link_backlog backlog() const = 0;

    /// Starts the transport's thread.
    virtual void start() = 0;
    virtual void stop() = 0;
};

inline constexpr std::size_t default_max_connections = 1024;

/// Creates a transport over WebSocket with binary messages. Of the connections that peers open, it keeps at
/// most `max_connections`: a new one replaces the oldest that has not named its peer, or else is closed.
std::unique_ptr<peer_transport>
make_websocket_transport(const std::string& own_name, peer_handlers handlers,
                         std::size_t max_connections = default_max_connections);

} // namespace hickorymount::link

#pragma once

#include <cstdint>
#include <string>

namespace hickorymount::http {

/// A TCP socket on the loopback interface that sends and receives bytes as they are.
class raw_peer
{
public:
    explicit raw_peer(int socket_fd) : m_socket(socket_fd) {}
    ~raw_peer();
    raw_peer(const raw_peer&) = delete;
    raw_peer& operator=(const raw_peer&) = delete;

    static int connect_to(std::uint16_t port);

    void send(const std::string& bytes) const;

    /// Receives until the bytes end with `end`, the other end closes, or nothing comes for some seconds.
    [[nodiscard]] std::string receive_until(const std::string& end) const;

    /// Receives all bytes until the other end closes, or nothing comes for some seconds.
    [[nodiscard]] std::string receive_all() const;

    /// Tells the other end that nothing follows.
    void end_sending() const;

private:
    int m_socket;
};

/// Listens on a free loopback port.
class raw_listener
{
public:
    raw_listener();
    ~raw_listener();
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }

    /// Waits for the next connection; -1 if none comes for some seconds.
    [[nodiscard]] int accept() const;

private:
    int m_listener;
    std::uint16_t m_port = 0;
};

} // namespace hickorymount::http

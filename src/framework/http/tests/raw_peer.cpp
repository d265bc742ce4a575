#include "http/tests/raw_peer.h"

#include <array>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickorymount::http {

namespace {

constexpr int wait_ms = 5000;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
    address.sin_port = ::htons(port);
    return address;
}

bool is_readable(int socket_fd)
{
    pollfd waiting{socket_fd, POLLIN, 0};
    return ::poll(&waiting, 1, wait_ms) == 1;
}

/// Receives some bytes; empty at the end.
std::string receive_some(int socket_fd)
{
    std::array<char, 4096> buffer{};
    if (!is_readable(socket_fd)) {
        return {};
    }
    const ssize_t count = ::recv(socket_fd, buffer.data(), buffer.size(), 0);
    return count > 0 ? std::string(buffer.data(), static_cast<std::size_t>(count)) : std::string();
}

} // namespace

raw_peer::~raw_peer()
{
    ::close(m_socket);
}

int raw_peer::connect_to(std::uint16_t port)
{
    const int socket_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    EXPECT_EQ(::connect(socket_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
    return socket_fd;
}

void raw_peer::send(const std::string& bytes) const
{
    ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

std::string raw_peer::receive_until(const std::string& end) const
{
    std::string received;
    while (!received.ends_with(end)) {
        const std::string added = receive_some(m_socket);
        if (added.empty()) {
            break;
        }
        received += added;
    }
    return received;
}

std::string raw_peer::receive_all() const
{
    std::string received;
    for (std::string added = receive_some(m_socket); !added.empty(); added = receive_some(m_socket)) {
        received += added;
    }
    return received;
}

void raw_peer::end_sending() const
{
    ::shutdown(m_socket, SHUT_WR);
}

raw_listener::raw_listener() : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    EXPECT_EQ(::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), size), 0);
    ::listen(m_listener, 4);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ::ntohs(address.sin_port);
}

raw_listener::~raw_listener()
{
    ::close(m_listener);
}

int raw_listener::accept() const
{
    return is_readable(m_listener) ? ::accept(m_listener, nullptr, nullptr) : -1;
}

} // namespace hickorymount::http

#include "soak/tests/raw_client.h"

#include <algorithm>
#include <array>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickorymount::soak {

namespace {

/// Small, so that the kernel's buffers hold little of what a client does not read.
constexpr int socket_buffer_bytes = 16 << 10;
constexpr std::size_t kept_bytes = std::size_t{64} << 10;
constexpr int poll_interval_ms = 20;
/// No progress for this long means that the peer has stopped reading.
constexpr milliseconds stalled_time{1000};
/// Bounds a peer that keeps reading slowly.
constexpr milliseconds max_sending_time{15'000};

} // namespace

raw_client::raw_client(std::uint16_t port) : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &socket_buffer_bytes, sizeof(socket_buffer_bytes));
    const int no_delay = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        close();
    }
}

raw_client::raw_client(raw_client&& other) noexcept
    : m_socket(std::exchange(other.m_socket, -1)), m_unsent(std::move(other.m_unsent)), m_sent(other.m_sent),
      m_received(std::move(other.m_received))
{
}

bool raw_client::write_some(std::size_t limit)
{
    if (!has_unsent()) {
        return false;
    }
    const std::size_t length = std::min(limit, m_unsent.size() - m_sent);
    const ssize_t count = ::send(m_socket, m_unsent.data() + m_sent, length, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count < 0 && errno != EAGAIN) {
        close();
    }
    m_sent += count > 0 ? static_cast<std::size_t>(count) : 0;
    if (m_sent == m_unsent.size()) {
        m_unsent.clear();
        m_sent = 0;
    }
    return count > 0;
}

bool raw_client::read_some()
{
    if (!is_open()) {
        return false;
    }
    std::array<char, kept_bytes> buffer;
    const ssize_t count = ::recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count == 0 || (count < 0 && errno != EAGAIN)) {
        close();
        return false;
    }
    if (count > 0) {
        m_received.append(buffer.data(), static_cast<std::size_t>(count));
        m_received.erase(0, m_received.size() - std::min(m_received.size(), kept_bytes));
    }
    return count > 0;
}

void raw_client::close()
{
    if (m_socket >= 0) {
        ::close(std::exchange(m_socket, -1));
    }
}

std::vector<raw_client> make_clients(std::size_t count, std::uint16_t port)
{
    std::vector<raw_client> clients;
    clients.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        clients.emplace_back(port);
    }
    return clients;
}

void send_queued(std::vector<raw_client>& clients, std::size_t piece, bool reads)
{
    const time_point started_at = millisecond_clock::now();
    time_point progressed_at = started_at;
    while (std::any_of(clients.begin(), clients.end(),
                       [](const raw_client& each) { return each.has_unsent(); })) {
        bool has_progressed = false;
        std::vector<pollfd> waiting;
        for (raw_client& each : clients) {
            has_progressed = each.write_some(piece) || has_progressed;
            if (reads) {
                has_progressed = each.read_some() || has_progressed;
            }
            if (each.has_unsent()) {
                waiting.push_back({each.socket(), POLLOUT, 0});
            }
        }
        const time_point now = millisecond_clock::now();
        progressed_at = has_progressed ? now : progressed_at;
        if (now - progressed_at >= stalled_time || now - started_at >= max_sending_time) {
            return;
        }
        if (!has_progressed) {
            ::poll(waiting.data(), waiting.size(), poll_interval_ms);
        }
    }
}

std::string exchange(raw_client& client, const std::string& line, const std::string& expected,
                     milliseconds time)
{
    client.queue(line);
    const time_point end = millisecond_clock::now() + time;
    while (client.is_open() && millisecond_clock::now() < end) {
        client.write_some(line.size());
        client.read_some();
        if (client.received().find(expected) != std::string::npos) {
            return client.received();
        }
        pollfd waiting{client.socket(), POLLIN, 0};
        ::poll(&waiting, 1, poll_interval_ms);
    }
    return {};
}

} // namespace hickorymount::soak

#pragma once

#include "base/millisecond_clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hickorymount::soak {

/// A TCP client on loopback whose bytes the test chooses.
class raw_client
{
public:
    explicit raw_client(std::uint16_t port);
    ~raw_client() { close(); }
    raw_client(raw_client&& other) noexcept;
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;
    raw_client& operator=(raw_client&&) = delete;

    [[nodiscard]] bool is_open() const { return m_socket >= 0; }
    [[nodiscard]] int socket() const { return m_socket; }
    /// Appends bytes to those that `write_some` sends.
    void queue(const std::string& bytes) { m_unsent += bytes; }
    [[nodiscard]] bool has_unsent() const { return is_open() && m_sent < m_unsent.size(); }
    /// Sends at most `limit` queued bytes without blocking. Returns whether any were sent.
    bool write_some(std::size_t limit);
    /// Reads without blocking, and drops everything but the last bytes.
    bool read_some();
    [[nodiscard]] const std::string& received() const { return m_received; }
    void close();

private:
    int m_socket = -1;
    std::string m_unsent;
    std::size_t m_sent = 0;
    std::string m_received;
};

std::vector<raw_client> make_clients(std::size_t count, std::uint16_t port);

/// Sends what the clients have queued, in pieces of at most `piece` bytes in turn, until all is sent or no
/// client has made progress for a second. Reads and drops what arrives if `reads` is set.
void send_queued(std::vector<raw_client>& clients, std::size_t piece, bool reads);

/// Sends `line`, and returns the received bytes once `expected` is among them; empty after `time`.
std::string exchange(raw_client& client, const std::string& line, const std::string& expected,
                     milliseconds time);

} // namespace hickorymount::soak

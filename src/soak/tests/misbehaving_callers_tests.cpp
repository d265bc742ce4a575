#include "soak/tests/process_cluster.h"
#include "soak/tests/raw_client.h"

#include <algorithm>
#include <atomic>
#include <iterator>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace hickorymount::soak {

namespace {

constexpr std::size_t mebibyte = std::size_t{1} << 20;
/// Bounds of a process. The settings of the cluster name them as the host's memory and descriptors.
constexpr std::size_t memory_bound = 64 * mebibyte;
constexpr std::size_t descriptor_bound = 200;
/// The first byte of a statement line up to its line end; 1 MiB is the longest line that is served.
constexpr std::size_t longest_line_bytes = mebibyte - 64;
constexpr std::size_t unlimited_piece = SIZE_MAX;
constexpr std::size_t small_piece = std::size_t{4} << 10;
/// Bounds a wait for something that must happen; no test depends on how soon it happens.
constexpr milliseconds answer_time{60'000};
constexpr milliseconds settle_time{1000};
constexpr milliseconds max_settle_time{10'000};

std::string opening_line()
{
    return fmt::format("START {} key\r\n", test_database);
}

/// A read of `length` bytes, including its line end. Reads may stay unanswered: a primary whose commits stall
/// is replaced.
std::string long_statement(std::size_t length)
{
    std::string line = "QUERY long READ ";
    line.resize(length - 2, 'w');
    return line + "\r\n";
}

std::string relayed_statement(std::size_t length)
{
    std::string line = fmt::format("QUERY long FOR {} - READ ", test_database);
    line.resize(length - 2, 'w');
    return line + "\r\n";
}

std::string http_head(const std::string& method, const std::string& path, std::size_t body_bytes)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: localhost\r\nContent-Length: {}\r\n\r\n", method, path,
                       body_bytes);
}

/// Upgrade request of a link between the system's own processes.
std::string link_handshake()
{
    return "GET / HTTP/1.1\r\nHost: localhost\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
           "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n";
}

/// Head of a masked text frame with a zero mask, which leaves the payload as it is.
std::string link_frame_head(std::uint64_t payload_bytes)
{
    std::string head = "\x81\xff";
    for (int shift = 56; shift >= 0; shift -= 8) {
        head += static_cast<char>((payload_bytes >> shift) & 0xff);
    }
    return head + std::string(4, '\0');
}

/// Sends one byte after the other on all clients until it is destroyed.
class slow_sender
{
public:
    explicit slow_sender(std::vector<raw_client>& clients)
        : m_thread([this, &clients] {
              while (!m_is_ending) {
                  for (raw_client& each : clients) {
                      each.queue(" ");
                      each.write_some(1);
                  }
                  std::this_thread::sleep_for(slow_interval);
              }
          })
    {
    }
    ~slow_sender()
    {
        m_is_ending = true;
        m_thread.join();
    }
    slow_sender(const slow_sender&) = delete;
    slow_sender& operator=(const slow_sender&) = delete;

private:
    static constexpr milliseconds slow_interval{200};

    std::atomic<bool> m_is_ending{false};
    std::thread m_thread;
};

} // namespace

class misbehaving_callers_fixture : public testing::Test
{
protected:
    void SetUp() override { ASSERT_TRUE(m_cluster.is_started()); }

    void TearDown() override
    {
        if (HasFailure()) {
            m_cluster.print_logs();
        }
    }

    void queue(std::vector<raw_client>& clients, const std::string& bytes, int times = 1)
    {
        for (raw_client& each : clients) {
            for (int count = 0; count < times; ++count) {
                each.queue(bytes);
            }
        }
    }

    /// Checks that both processes are alive and within their bounds.
    void expect_bounded(const char* stage)
    {
        for (const auto& [name, usage] :
             {std::pair{"entry", m_cluster.entry_usage()}, std::pair{"control", m_cluster.control_usage()}}) {
            EXPECT_TRUE(usage.is_running) << name << " " << stage;
            EXPECT_LE(usage.peak_memory_bytes, memory_bound) << name << " " << stage;
            EXPECT_LE(usage.open_descriptors, descriptor_bound) << name << " " << stage;
            fmt::print("{} {}: {} KiB, {} descriptors\n", name, stage, usage.peak_memory_bytes >> 10,
                       usage.open_descriptors);
        }
    }

    /// Waits until neither process takes more memory, since the kernel holds bytes that they have not read
    /// yet.
    void settle()
    {
        const time_point end = millisecond_clock::now() + max_settle_time;
        time_point changed_at = millisecond_clock::now();
        std::size_t peak = 0;
        while (millisecond_clock::now() < end && millisecond_clock::now() - changed_at < settle_time) {
            const std::size_t current = std::max(m_cluster.entry_usage().peak_memory_bytes,
                                                 m_cluster.control_usage().peak_memory_bytes);
            changed_at = current > peak ? millisecond_clock::now() : changed_at;
            peak = std::max(peak, current);
            std::this_thread::sleep_for(settle_time / 20);
        }
    }

    /// Checks the bounds while the clients are still connected and after they are gone, and that a
    /// well-behaved caller is then served.
    void expect_served_after(std::vector<raw_client>& clients)
    {
        settle();
        expect_bounded("during");
        m_cluster.server().hold_answers(false);
        clients.clear();
        EXPECT_TRUE(is_statement_answered(m_cluster.session_port, answer_time));
        EXPECT_TRUE(is_request_answered(m_cluster.http_port, "/health", answer_time));
        EXPECT_TRUE(is_request_answered(m_cluster.operator_port, "/v1/identity", answer_time));
        expect_bounded("after");
    }

    /// Sends half of a 1 MiB line on each client, in small pieces, and stops.
    void half_send(std::vector<raw_client>& clients, const std::string& opening, const std::string& line)
    {
        queue(clients, opening);
        queue(clients, line.substr(0, line.size() - mebibyte / 8));
        send_queued(clients, small_piece, true);
    }

    /// Sends byte after byte of `bytes` on all clients in turn.
    void trickle(std::vector<raw_client>& clients, const std::string& bytes)
    {
        queue(clients, bytes);
        send_queued(clients, 1, true);
    }

    process_cluster m_cluster;
};

/// Guards against buffering whole statements of many sessions without a bound over all of them.
TEST_F(misbehaving_callers_fixture, many_longest_statements_at_once_stay_within_memory)
{
    m_cluster.server().hold_answers(true);
    auto clients = make_clients(48, m_cluster.session_port);
    queue(clients, opening_line());
    queue(clients, long_statement(longest_line_bytes), 3);
    send_queued(clients, unlimited_piece, true);
    expect_served_after(clients);
}

/// Guards against holding the unfinished lines of many sessions without a bound over all of them.
TEST_F(misbehaving_callers_fixture, many_half_sent_statements_in_small_pieces_stay_within_memory)
{
    auto clients = make_clients(120, m_cluster.session_port);
    half_send(clients, opening_line(), long_statement(longest_line_bytes));
    expect_served_after(clients);
}

/// Guards against buffering what is beyond the limit of one line.
TEST_F(misbehaving_callers_fixture, statements_far_over_the_limit_are_not_buffered)
{
    auto clients = make_clients(32, m_cluster.session_port);
    queue(clients, opening_line());
    queue(clients, long_statement(16 * mebibyte));
    send_queued(clients, unlimited_piece, true);
    expect_served_after(clients);
}

/// Guards against holding all statements that a session sends ahead.
TEST_F(misbehaving_callers_fixture, pipelined_statements_without_reading_stay_within_memory)
{
    m_cluster.server().hold_answers(true);
    auto clients = make_clients(8, m_cluster.session_port);
    queue(clients, opening_line());
    queue(clients, long_statement(mebibyte / 4), 60);
    send_queued(clients, unlimited_piece, false);
    expect_served_after(clients);
}

/// Guards against parsing cost and memory of very many short statements sent ahead, and of responses to them.
TEST_F(misbehaving_callers_fixture, many_short_pipelined_statements_without_reading_stay_within_memory)
{
    auto clients = make_clients(8, m_cluster.session_port);
    queue(clients, opening_line());
    queue(clients, "QUERY short READ 1\r\n", 20'000);
    send_queued(clients, unlimited_piece, false);
    expect_served_after(clients);
}

/// Guards against the values that sessions set, which stay after the statement.
TEST_F(misbehaving_callers_fixture, long_session_values_stay_within_memory)
{
    auto clients = make_clients(8, m_cluster.session_port);
    queue(clients, opening_line());
    for (int number = 0; number < 20; ++number) {
        std::string line = fmt::format("QUERY set SET value{} ", number);
        line.resize(longest_line_bytes, 'v');
        queue(clients, line + "\r\n");
    }
    send_queued(clients, unlimited_piece, true);
    expect_served_after(clients);
}

/// Guards against sessions that take all descriptors while they send next to nothing.
TEST_F(misbehaving_callers_fixture, many_slow_senders_leave_descriptors)
{
    auto clients = make_clients(300, m_cluster.session_port);
    trickle(clients, opening_line() + "QUERY slow READ 1");
    expect_served_after(clients);
}

/// Guards against unsent responses without a bound over all sessions.
TEST_F(misbehaving_callers_fixture, many_sessions_that_do_not_read_stay_within_memory)
{
    auto clients = make_clients(24, m_cluster.session_port);
    queue(clients, opening_line());
    queue(clients, fmt::format("QUERY rows READ rows {}\r\n", longest_line_bytes), 6);
    send_queued(clients, unlimited_piece, false);
    // The responses are on their way when the last statement is sent.
    is_statement_answered(m_cluster.session_port, answer_time);
    expect_served_after(clients);
}

/// Guards against connections that take descriptors without ever opening a session.
TEST_F(misbehaving_callers_fixture, connections_without_opening_line_leave_descriptors)
{
    auto clients = make_clients(300, m_cluster.session_port);
    expect_served_after(clients);
}

/// Guards against unfinished opening lines without a bound over all connections.
TEST_F(misbehaving_callers_fixture, endless_opening_lines_stay_within_memory)
{
    auto clients = make_clients(120, m_cluster.session_port);
    half_send(clients, "START ", std::string(longest_line_bytes, 's'));
    expect_served_after(clients);
}

/// Guards against the same at the port where other entry hosts send statements.
TEST_F(misbehaving_callers_fixture, relay_port_stays_within_memory)
{
    m_cluster.server().hold_answers(true);
    auto clients = make_clients(60, m_cluster.relay_port);
    queue(clients, opening_line());
    queue(clients, relayed_statement(longest_line_bytes), 2);
    send_queued(clients, unlimited_piece, true);
    auto silent = make_clients(150, m_cluster.relay_port);
    half_send(silent, "START ", std::string(longest_line_bytes, 's'));
    std::move(silent.begin(), silent.end(), std::back_inserter(clients));
    expect_served_after(clients);
}

/// Guards against HTTP callers that hold all threads of the server while they send next to nothing.
TEST_F(misbehaving_callers_fixture, slow_http_callers_of_an_entry_host_do_not_hold_all_threads)
{
    auto headers = make_clients(20, m_cluster.http_port);
    trickle(headers, "GET /health HTTP/1.1\r\nHost: local");
    auto bodies = make_clients(20, m_cluster.http_port);
    queue(bodies, http_head("POST", "/v1/announcements", mebibyte));
    trickle(bodies, "{\"slow\":");
    {
        const slow_sender sender(bodies);
        EXPECT_TRUE(is_request_answered(m_cluster.http_port, "/health", answer_time));
    }
    expect_served_after(bodies);
}

/// Guards against HTTP bodies that are buffered beyond the limit, and header lines that never end.
TEST_F(misbehaving_callers_fixture, huge_http_requests_to_an_entry_host_are_not_buffered)
{
    auto clients = make_clients(20, m_cluster.http_port);
    queue(clients, http_head("POST", "/v1/announcements", 16 * mebibyte));
    queue(clients, std::string(16 * mebibyte, 'b'));
    send_queued(clients, unlimited_piece, false);
    auto endless = make_clients(20, m_cluster.http_port);
    queue(endless, "GET /" + std::string(4 * mebibyte, 'a'));
    send_queued(endless, unlimited_piece, false);
    auto chunked = make_clients(20, m_cluster.http_port);
    queue(chunked,
          "POST /v1/announcements HTTP/1.1\r\nHost: l\r\nTransfer-Encoding: chunked\r\n\r\n1000000\r\n");
    queue(chunked, std::string(16 * mebibyte, 'c'));
    send_queued(chunked, unlimited_piece, false);
    expect_served_after(chunked);
}

/// Guards against operators' connections that hold all threads of control: servers report through the same
/// port.
TEST_F(misbehaving_callers_fixture, slow_clients_of_the_operator_port_do_not_hold_all_threads)
{
    auto headers = make_clients(20, m_cluster.operator_port);
    trickle(headers, "GET /v1/identity HTTP/1.1\r\nHost: local");
    auto bodies = make_clients(20, m_cluster.operator_port);
    queue(bodies, http_head("POST", "/v1/configuration", mebibyte));
    trickle(bodies, "{\"slow\":");
    {
        const slow_sender sender(bodies);
        EXPECT_TRUE(is_request_answered(m_cluster.operator_port, "/v1/identity", answer_time));
    }
    expect_served_after(bodies);
}

/// Guards against bodies that are buffered beyond the limit at the operator port.
TEST_F(misbehaving_callers_fixture, huge_requests_to_the_operator_port_are_not_buffered)
{
    auto clients = make_clients(20, m_cluster.operator_port);
    queue(clients, http_head("POST", "/v1/configuration", 16 * mebibyte));
    queue(clients, std::string(16 * mebibyte, 'b'));
    send_queued(clients, unlimited_piece, false);
    auto nested = make_clients(8, m_cluster.operator_port);
    queue(nested, http_head("POST", "/v1/configuration", mebibyte));
    queue(nested, std::string(mebibyte, '['));
    send_queued(nested, unlimited_piece, true);
    expect_served_after(clients);
}

/// Guards against the first message of an unknown peer that is buffered up to the size of a snapshot.
TEST_F(misbehaving_callers_fixture, long_first_messages_on_the_link_port_are_not_buffered)
{
    auto clients = make_clients(8, m_cluster.link_port);
    queue(clients, link_handshake());
    send_queued(clients, unlimited_piece, true);
    queue(clients, link_frame_head(24 * mebibyte));
    queue(clients, std::string(20 * mebibyte, 'n'));
    send_queued(clients, unlimited_piece, true);
    expect_served_after(clients);
}

/// Guards against link connections that take descriptors without ever naming a peer.
TEST_F(misbehaving_callers_fixture, silent_connections_to_the_link_port_leave_descriptors)
{
    auto silent = make_clients(150, m_cluster.link_port);
    auto unnamed = make_clients(150, m_cluster.link_port);
    queue(unnamed, link_handshake());
    send_queued(unnamed, unlimited_piece, true);
    std::move(silent.begin(), silent.end(), std::back_inserter(unnamed));
    expect_served_after(unnamed);
}

} // namespace hickorymount::soak

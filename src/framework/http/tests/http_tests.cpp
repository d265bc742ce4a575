#include "http/client.h"
#include "http/server.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>

#include <gtest/gtest.h>

namespace hickorymount::http {
namespace {

class http_fixture : public ::testing::Test
{
protected:
    // The server's threads use the other members until it has stopped.
    ~http_fixture() override { m_server.reset(); }

    void start(server_options options, request_handler on_request)
    {
        m_server = handle_failure(
            [&] {
                return start_server(options, std::move(on_request), [this](std::uint64_t connection) {
                    const std::lock_guard lock(m_mutex);
                    m_closed.insert(connection);
                    m_changed.notify_all();
                });
            },
            [](const failure& error) {
                ADD_FAILURE() << to_string(error);
                return std::unique_ptr<server>();
            });
        ASSERT_NE(m_server, nullptr);
    }

    std::unique_ptr<client_connection> open()
    {
        return handle_failure([&] { return connect("127.0.0.1", m_server->port()); },
                              [](const failure&) { return std::unique_ptr<client_connection>(); });
    }

    bool is_closed(std::uint64_t connection)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, std::chrono::seconds(5),
                                  [&] { return m_closed.contains(connection); });
    }

    static constexpr milliseconds timeout{5000};

    std::unique_ptr<server> m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<std::uint64_t> m_closed;
};

TEST_F(http_fixture, kept_alive_connection_keeps_its_number_until_it_is_closed)
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    start({}, [&](const request& incoming) {
        (first == 0 ? first : second) = incoming.connection_number;
        return response{};
    });
    auto connection = open();
    ASSERT_NE(connection, nullptr);
    EXPECT_EQ(connection->call("POST", "/", {}, "{}", timeout).status, call_status::answered);
    EXPECT_EQ(connection->call("POST", "/", {}, "{}", timeout).status, call_status::answered);
    EXPECT_EQ(first, second);
    EXPECT_NE(first, 0U);
    connection.reset();
    EXPECT_TRUE(is_closed(first));
}

TEST_F(http_fixture, connections_beyond_the_kept_alive_limit_are_closed_after_one_response)
{
    server_options options;
    options.max_kept_alive_connections = 1;
    start(options, [](const request&) { return response{}; });
    auto kept = open();
    EXPECT_EQ(kept->call("GET", "/", {}, "", timeout).status, call_status::answered);
    auto excess = open();
    const call_result outcome = excess->call("GET", "/", {}, "", timeout);
    ASSERT_EQ(outcome.status, call_status::answered);
    EXPECT_EQ(header(outcome.answer.headers, "connection"), "close");
    EXPECT_EQ(kept->call("GET", "/", {}, "", timeout).status, call_status::answered);
}

TEST_F(http_fixture, body_beyond_the_limit_is_not_passed_to_the_handler)
{
    bool was_too_large = false;
    server_options options;
    options.max_body_bytes = 1000;
    start(options, [&](const request& incoming) {
        was_too_large = incoming.is_body_too_large && incoming.body.empty();
        response answer;
        answer.status = 413;
        return answer;
    });
    auto connection = open();
    const call_result outcome = connection->call("POST", "/", {}, std::string(2000, 'x'), timeout);
    EXPECT_TRUE(was_too_large);
    EXPECT_TRUE(outcome.status == call_status::response_lost || outcome.answer.status == 413);
}

TEST_F(http_fixture, handler_that_throws_is_answered_with_an_error_and_the_server_goes_on)
{
    bool throws = true;
    start({}, [&](const request&) -> response {
        if (std::exchange(throws, false)) {
            throw std::runtime_error("unexpected");
        }
        return {};
    });
    EXPECT_EQ(call_once("127.0.0.1", m_server->port(), "GET", "/", "", timeout).answer.status, 500);
    EXPECT_EQ(call_once("127.0.0.1", m_server->port(), "GET", "/", "", timeout).answer.status, 200);
}

TEST_F(http_fixture, response_with_truncated_body_is_lost)
{
    start({}, [](const request&) {
        response answer;
        answer.body = "0123456789";
        answer.max_sent_body_bytes = 5;
        return answer;
    });
    EXPECT_EQ(open()->call("GET", "/", {}, "", timeout).status, call_status::response_lost);
}

TEST_F(http_fixture, connection_dropped_without_a_response_is_lost)
{
    start({}, [](const request&) {
        response answer;
        answer.drops_connection = true;
        return answer;
    });
    EXPECT_EQ(open()->call("GET", "/", {}, "", timeout).status, call_status::response_lost);
}

TEST_F(http_fixture, call_without_a_listener_is_not_sent)
{
    start({}, [](const request&) { return response{}; });
    const std::uint16_t port = m_server->port();
    m_server->stop();
    EXPECT_EQ(call_once("127.0.0.1", port, "GET", "/", "", timeout).status, call_status::not_sent);
}

} // namespace
} // namespace hickorymount::http

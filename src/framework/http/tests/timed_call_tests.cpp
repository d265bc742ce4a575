#include "http/server.h"
#include "http/timed_call.h"

#include <atomic>
#include <memory>
#include <vector>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hickorymount::http {
namespace {

class timed_call_fixture : public ::testing::Test
{
protected:
    void start_server_that_counts()
    {
        server_options options;
        options.address = "127.0.0.1";
        m_server = handle_failure(
            [&] {
                return start_server(options,
                                    [this](const request& received) {
                                        ++m_received;
                                        response answer;
                                        answer.status = received.body == "taken" ? 409 : 200;
                                        return answer;
                                    },
                                    {});
            },
            [](const failure& error) {
                ADD_FAILURE() << to_string(error);
                return std::unique_ptr<server>();
            });
        ASSERT_NE(m_server, nullptr);
        m_request.port = m_server->port();
    }

    timed_call_fixture()
    {
        m_request.address = "127.0.0.1";
        m_request.method = "POST";
        m_request.path = "/promote";
        m_request.send_before = millisecond_clock::now() + milliseconds{5000};
        m_request.response_timeout = milliseconds{5000};
    }

    timed_request m_request;
    std::unique_ptr<server> m_server;
    std::atomic<int> m_received{0};
};

TEST_F(timed_call_fixture, request_in_time_is_answered_with_the_servers_status)
{
    start_server_that_counts();
    const call_result accepted = call_in_time(m_request);
    EXPECT_EQ(accepted.status, call_status::answered) << accepted.reason;
    EXPECT_EQ(accepted.answer.status, 200);
    m_request.body = "taken";
    EXPECT_EQ(call_in_time(m_request).answer.status, 409);
    EXPECT_EQ(m_received, 2);
}

TEST_F(timed_call_fixture, request_whose_time_has_passed_is_not_sent)
{
    start_server_that_counts();
    m_request.send_before = millisecond_clock::now();
    EXPECT_EQ(call_in_time(m_request).status, call_status::not_sent);
    EXPECT_EQ(m_received, 0);
}

/// A server whose queue of new connections is full, so that a connection is not opened in time.
class full_queue_fixture : public timed_call_fixture
{
protected:
    full_queue_fixture()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = ::htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        EXPECT_EQ(::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), size), 0);
        EXPECT_EQ(::listen(m_listener, 0), 0);
        EXPECT_EQ(::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size), 0);
        m_request.port = ::ntohs(address.sin_port);
        for (int count = 0; count < 4; ++count) {
            const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            ::connect(filler, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
            m_fillers.push_back(filler);
        }
    }
    ~full_queue_fixture() override
    {
        for (const int each : m_fillers) {
            ::close(each);
        }
        ::close(m_listener);
    }
    full_queue_fixture(const full_queue_fixture&) = delete;
    full_queue_fixture& operator=(const full_queue_fixture&) = delete;

    int m_listener = -1;
    std::vector<int> m_fillers;
};

// Guards against ONE of review/5: an order waited for the connection to a slow platform and was sent seconds
// after another leader had ordered a promotion.
TEST_F(full_queue_fixture, request_that_waits_for_a_connection_is_given_up_when_its_time_has_passed)
{
    m_request.send_before = millisecond_clock::now() + milliseconds{250};
    const call_result result = call_in_time(m_request);
    EXPECT_EQ(result.status, call_status::not_sent);
}

} // namespace
} // namespace hickorymount::http

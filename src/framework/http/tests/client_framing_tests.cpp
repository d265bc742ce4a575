#include "http/client.h"
#include "http/tests/raw_peer.h"
#include "http/timed_call.h"

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::http {
namespace {

/// A client whose server sends bytes as the test says.
class client_framing_fixture : public ::testing::Test
{
protected:
    ~client_framing_fixture() override { finish(); }

    /// Serves one connection with `serve` on a thread of its own.
    void start(std::function<void(const raw_peer&)> serve)
    {
        finish();
        m_thread = std::thread([this, serve = std::move(serve)] {
            const raw_peer caller(m_listener.accept());
            serve(caller);
        });
    }

    void finish()
    {
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    std::unique_ptr<client_connection> open()
    {
        return handle_failure([&] { return connect("127.0.0.1", m_listener.port()); },
                              [](const failure& error) {
                                  ADD_FAILURE() << to_string(error);
                                  return std::unique_ptr<client_connection>();
                              });
    }

    call_result call(client_connection& connection, const std::string& path = "/") const
    {
        return connection.call("GET", path, {}, "", timeout);
    }

    call_result call_in_time_with(const std::string& path,
                                  const std::map<std::string, std::string>& headers) const
    {
        timed_request request;
        request.address = "127.0.0.1";
        request.port = m_listener.port();
        request.method = "POST";
        request.path = path;
        request.headers = headers;
        request.send_before = millisecond_clock::now() + timeout;
        request.response_timeout = timeout;
        return call_in_time(request);
    }

    static constexpr milliseconds timeout{5000};
    static constexpr const char* first_response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    static constexpr const char* second_response = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";

    raw_listener m_listener;
    std::thread m_thread;
};

TEST_F(client_framing_fixture, calls_on_a_kept_connection_get_their_own_responses)
{
    start([](const raw_peer& caller) {
        EXPECT_NE(caller.receive_until("\r\n\r\n").find("GET /1 HTTP/1.1\r\n"), std::string::npos);
        caller.send(first_response);
        EXPECT_NE(caller.receive_until("\r\n\r\n").find("GET /2 HTTP/1.1\r\n"), std::string::npos);
        caller.send(second_response);
    });
    const auto connection = open();
    EXPECT_EQ(call(*connection, "/1").answer.body, "first");
    const call_result second = call(*connection, "/2");
    EXPECT_EQ(second.status, call_status::answered) << second.reason;
    EXPECT_EQ(second.answer.body, "second");
}

// Guards against an answer that came twice and is taken for that of the next call.
TEST_F(client_framing_fixture, response_that_comes_twice_is_not_the_answer_to_the_next_call)
{
    start([](const raw_peer& caller) {
        (void)caller.receive_until("\r\n\r\n");
        caller.send(std::string(first_response) + first_response);
        (void)caller.receive_until("\r\n\r\n");
        caller.send(second_response);
    });
    const auto connection = open();
    (void)call(*connection);
    const call_result second = call(*connection);
    EXPECT_TRUE(second.status != call_status::answered || second.answer.body == "second")
        << second.answer.body;
}

TEST_F(client_framing_fixture, response_that_comes_late_is_not_the_answer_to_the_next_call)
{
    std::promise<void> first_is_answered;
    std::promise<void> late_response_is_sent;
    start([&](const raw_peer& caller) {
        (void)caller.receive_until("\r\n\r\n");
        caller.send(first_response);
        first_is_answered.get_future().wait();
        caller.send(first_response);
        late_response_is_sent.set_value();
        (void)caller.receive_until("\r\n\r\n");
        caller.send(second_response);
    });
    const auto connection = open();
    EXPECT_EQ(call(*connection).answer.body, "first");
    first_is_answered.set_value();
    late_response_is_sent.get_future().wait();
    const call_result second = call(*connection);
    EXPECT_TRUE(second.status != call_status::answered || second.answer.body == "second")
        << second.answer.body;
}

TEST_F(client_framing_fixture, response_whose_length_is_not_certain_is_lost)
{
    const std::vector<std::string> heads = {"Content-Length: 5\r\nContent-Length: 2\r\n",
                                            "Content-Length: 2\r\nContent-Length: 5\r\n",
                                            "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                                            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                                            "Content-Length: 5x\r\n",
                                            "Content-Length: +5\r\n",
                                            "Content-Length: -5\r\n",
                                            "Content-Length: 99999999999999999999\r\n",
                                            ""};
    for (const std::string& head : heads) {
        start([head](const raw_peer& caller) {
            (void)caller.receive_until("\r\n\r\n");
            caller.send("HTTP/1.1 200 OK\r\n" + head + "\r\nfirst");
            caller.end_sending();
        });
        const auto connection = open();
        const call_result result = call(*connection);
        EXPECT_EQ(result.status, call_status::response_lost) << head << " -> " << result.answer.body;
    }
}

TEST_F(client_framing_fixture, response_to_an_order_whose_length_is_not_certain_is_lost)
{
    for (const char* head : {"Content-Length: 5\r\nContent-Length: 2\r\n",
                             "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"}) {
        start([head](const raw_peer& caller) {
            (void)caller.receive_until("\r\n\r\n");
            caller.send("HTTP/1.1 200 OK\r\n" + std::string(head) + "\r\nfirst");
            caller.end_sending();
        });
        EXPECT_EQ(call_in_time_with("/promote", {}).status, call_status::response_lost) << head;
    }
}

// Guards against a name in a path or header that ends it, so that its rest is sent as a header or a request.
TEST_F(client_framing_fixture, request_with_a_value_that_would_end_its_line_is_not_sent)
{
    struct odd_request
    {
        std::string method;
        std::string path;
        std::map<std::string, std::string> headers;
    };
    const std::vector<odd_request> odd_requests = {{"GET", "/a b", {}},
                                                   {"GET", "/a\r\nHolder: x", {}},
                                                   {"GET", "/a\nb", {}},
                                                   {"GET", "", {}},
                                                   {"GET /x HTTP/1.1\r\nA: ", "/", {}},
                                                   {"GET", "/", {{"Holder", "a\r\nOrder-Number: 9"}}},
                                                   {"GET", "/", {{"Holder", "a\nOrder-Number: 9"}}},
                                                   {"GET", "/", {{"Holder", std::string("a\0b", 3)}}},
                                                   {"GET", "/", {{"Holder: a\r\nOrder-Number", "9"}}},
                                                   {"GET", "/", {{"", "9"}}}};
    for (const odd_request& each : odd_requests) {
        std::string received;
        start([&](const raw_peer& caller) { received = caller.receive_all(); });
        {
            const auto connection = open();
            EXPECT_EQ(connection->call(each.method, each.path, each.headers, "", milliseconds{200}).status,
                      call_status::not_sent)
                << each.path;
        }
        finish();
        EXPECT_EQ(received, "");
    }
}

TEST_F(client_framing_fixture, order_with_a_value_that_would_end_its_line_is_not_sent)
{
    const std::vector<std::pair<std::string, std::map<std::string, std::string>>> odd_requests = {
        {"/promote\r\nA: b", {}},
        {"/pro mote", {}},
        {"/promote", {{"Holder", "a\r\nOrder-Number: 9"}}},
        {"/promote", {{"Holder", "a\nOrder-Number: 9"}}},
        {"/promote", {{"Holder: a\r\nOrder-Number", "9"}}}};
    for (const auto& [path, headers] : odd_requests) {
        EXPECT_EQ(call_in_time_with(path, headers).status, call_status::not_sent) << path;
    }
}

} // namespace
} // namespace hickorymount::http

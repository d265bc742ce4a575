#include "http/server.h"
#include "http/tests/raw_peer.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::http {
namespace {

/// A server whose requests are written byte by byte; it answers with the path.
class server_framing_fixture : public ::testing::Test
{
protected:
    server_framing_fixture()
    {
        server_options options;
        options.request_timeout_ms = 1000;
        options.keep_alive_timeout_ms = 1000;
        m_server = handle_failure(
            [&] {
                return start_server(options, [this](const request& incoming) { return answer(incoming); },
                                    {});
            },
            [](const failure& error) {
                ADD_FAILURE() << to_string(error);
                return std::unique_ptr<server>();
            });
    }

    response answer(const request& incoming)
    {
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(incoming);
        response made;
        made.headers = m_answer_headers;
        made.body = incoming.path;
        return made;
    }

    /// Sends the bytes on one connection and returns all that is received.
    std::string exchange(const std::string& bytes) const
    {
        const raw_peer caller(raw_peer::connect_to(m_server->port()));
        caller.send(bytes);
        caller.end_sending();
        return caller.receive_all();
    }

    std::vector<request> requests()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

    static constexpr const char* smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";

    std::mutex m_mutex;
    std::vector<request> m_requests;
    std::map<std::string, std::string> m_answer_headers;
    std::unique_ptr<server> m_server;
};

// Guards against a request that a host before this one has read with another length, and whose rest is run.
TEST_F(server_framing_fixture, request_with_two_lengths_is_refused_and_its_rest_is_not_run)
{
    const std::vector<std::string> lengths = {"Content-Length: 4\r\nContent-Length: 0\r\n",
                                              "Content-Length: 0\r\nContent-Length: 4\r\n",
                                              "Content-Length: 0\r\ncontent-length: 4\r\n",
                                              "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                                              "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                                              "Content-Length: 4\r\nTransfer-Encoding: identity\r\n",
                                              "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
                                              "Transfer-Encoding: gzip, chunked\r\n",
                                              "Transfer-Encoding: xchunked\r\n"};
    for (const std::string& length : lengths) {
        const std::string received =
            exchange("PUT /first HTTP/1.1\r\nHost: a\r\n" + length + "\r\n0\r\n\r\n" + smuggled);
        EXPECT_TRUE(received.starts_with("HTTP/1.1 4") || received.starts_with("HTTP/1.1 5"))
            << length << received;
    }
    EXPECT_TRUE(requests().empty()) << requests().front().path;
}

TEST_F(server_framing_fixture, request_whose_length_is_no_number_is_refused_and_its_rest_is_not_run)
{
    for (const char* length : {"4x", "+4", "-1", "0x4", "4, 4", "4 4", "", "99999999999999999999", "4.0"}) {
        const std::string received =
            exchange("PUT /first HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::string(length) +
                     "\r\n\r\nabcd" + smuggled);
        EXPECT_TRUE(received.starts_with("HTTP/1.1 4")) << length << ": " << received;
    }
    EXPECT_TRUE(requests().empty());
}

TEST_F(server_framing_fixture, chunked_body_that_ends_before_its_last_chunk_is_reported_as_truncated)
{
    const std::string head = "PUT /first HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    exchange(head + "4\r\nabcd\r\n0\r\n\r\n");
    ASSERT_EQ(requests().size(), 1U);
    EXPECT_EQ(requests().back().body, "abcd");
    EXPECT_FALSE(requests().back().is_body_truncated);
    for (const char* body : {"4\r\nabcd\r\n", "4\r\nab", "4\r\nabcd\r\nzz\r\n", "4\r\nabcd", ""}) {
        const std::size_t before = requests().size();
        const std::string received = exchange(head + body);
        if (requests().size() > before) {
            EXPECT_TRUE(requests().back().is_body_truncated) << body << " -> " << requests().back().body;
        } else {
            EXPECT_TRUE(received.empty() || received.starts_with("HTTP/1.1 4")) << body << received;
        }
    }
}

TEST_F(server_framing_fixture, bytes_after_a_body_are_no_part_of_it)
{
    const std::string received =
        exchange("PUT /first HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}GET /second HTTP/1.1\r\nHost: "
                 "a\r\n\r\n");
    ASSERT_EQ(requests().size(), 2U) << received;
    EXPECT_EQ(requests()[0].body, "{}");
    EXPECT_EQ(requests()[1].path, "/second");
    EXPECT_EQ(requests()[1].body, "");
    EXPECT_LT(received.find("/first"), received.find("/second"));
}

// Guards against a report about one server that counts for another, whose name is the beginning of its name.
TEST_F(server_framing_fixture, path_with_an_encoded_null_byte_is_not_cut_there)
{
    for (const char* path : {"/servers/i-7%00x", "/servers/i-7%00", "/%00"}) {
        const std::string received =
            exchange("PUT " + std::string(path) + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
        EXPECT_TRUE(received.starts_with("HTTP/1.1 4")) << received;
    }
    EXPECT_TRUE(requests().empty()) << requests().front().path;
    exchange("PUT /servers/i%2d7%0d%0a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    ASSERT_EQ(requests().size(), 1U);
    EXPECT_EQ(requests().front().path, "/servers/i-7\r\n");
}

// Guards against a value of the handler that ends the head of the response.
TEST_F(server_framing_fixture, header_of_a_response_that_would_end_its_line_is_left_out_with_status_500)
{
    for (const char* value :
         {"http://a/\r\nSet-Cookie: x=1", "a\nb", "a\rb", "http://a/\r\n\r\nHTTP/1.1 200 OK"}) {
        m_answer_headers = {{"Location", value}};
        const std::string received = exchange("GET /first HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        EXPECT_TRUE(received.starts_with("HTTP/1.1 500 ")) << received;
        EXPECT_EQ(received.find("Location"), std::string::npos) << received;
        EXPECT_EQ(received.find("Set-Cookie"), std::string::npos) << received;
    }
    m_answer_headers = {{"Location", "http://10.0.0.4:8782/path"}};
    EXPECT_NE(exchange("GET /first HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                  .find("Location: http://10.0.0.4:8782/path\r\n"),
              std::string::npos);
}

} // namespace
} // namespace hickorymount::http

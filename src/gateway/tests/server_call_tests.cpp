#include "gateway/internal/server_call.h"

#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace hickorymount::gateway::detail {

namespace asio = boost::asio;

namespace {

/// Knows just the lines that a call exchanges.
class call_codec : public sessions::session_codec
{
public:
    sessions::caller_line decode_caller_line(std::string_view /*line*/) const override
    {
        return sessions::malformed_request{};
    }
    sessions::caller_line decode_proxy_line(std::string_view /*line*/) const override
    {
        return sessions::malformed_request{};
    }
    sessions::server_line decode_server_line(std::string_view line) const override
    {
        if (line == "READY I -") {
            return sessions::ready_line{};
        }
        if (line == "DONE -") {
            return sessions::done_line{};
        }
        if (line.starts_with("ROW ")) {
            return sessions::row_line{std::string(line.substr(4))};
        }
        if (line == "ERR BUSY full") {
            return sessions::error_line{sessions::response_code::busy, "full"};
        }
        return sessions::malformed_server_line{};
    }
    std::optional<sessions::server_status> decode_status(std::string_view /*row*/) const override
    {
        return std::nullopt;
    }
    std::optional<std::string> encode_open(const sessions::open_request& /*request*/) const override
    {
        return "START\r\n";
    }
    std::optional<std::string> encode_statement(const sessions::statement_request& /*request*/) const override
    {
        return "QUERY\r\n";
    }
    std::string encode_ready(const sessions::ready_line& /*ready*/) const override { return ""; }
    std::string encode_status(const sessions::server_status& /*status*/) const override { return ""; }
    std::string encode_refusal(const sessions::error_line& /*refusal*/) const override { return ""; }
    std::optional<std::string> encode_answer(const sessions::statement_response& /*response*/) const override
    {
        return "";
    }
};

} // namespace

/// Runs one call against a server on the loopback interface that sends the given bytes after the opening
/// line, and others after the statement.
class server_call_fixture : public ::testing::Test
{
protected:
    server_call_result call(const std::string& after_opening, const std::string& after_statement)
    {
        asio::ip::tcp::acceptor acceptor(m_context, {asio::ip::address_v4::loopback(), 0});
        asio::ip::tcp::socket server(m_context);
        std::string received;
        acceptor.async_accept(server, [&](const boost::system::error_code& /*accepted*/) {
            asio::async_read_until(
                server, asio::dynamic_buffer(received), "START\r\n",
                [&](const boost::system::error_code& /*opened*/, std::size_t /*bytes*/) {
                    asio::write(server, asio::buffer(after_opening));
                    asio::async_read_until(
                        server, asio::dynamic_buffer(received), "QUERY\r\n",
                        [&](const boost::system::error_code& /*asked*/, std::size_t /*bytes*/) {
                            asio::write(server, asio::buffer(after_statement));
                        });
                });
        });
        server_call_result result;
        const auto made =
            std::make_shared<server_call>(m_context, m_codec, [&](const server_call_result& outcome) {
                result = outcome;
                m_context.stop();
            });
        made->start({"127.0.0.1", acceptor.local_endpoint().port()}, "orders", "first",
                    {.kind = sessions::statement_kind::demote, .term = 4}, milliseconds{500});
        m_context.run();
        return result;
    }

    asio::io_context m_context;
    call_codec m_codec;
};

TEST_F(server_call_fixture, answer_with_an_outcome_completes_the_call)
{
    const server_call_result result = call("READY I -\r\n", "ROW status\r\nDONE -\r\nREADY I -\r\n");
    ASSERT_TRUE(result.answer);
    EXPECT_EQ(result.answer->code, sessions::response_code::done);
    EXPECT_EQ(result.answer->rows, std::vector<std::string>{"status"});
}

TEST_F(server_call_fixture, repeated_opening_answer_does_not_complete_the_call)
{
    const server_call_result result = call("READY I -\r\nREADY I -\r\n", "ERR BUSY full\r\nREADY I -\r\n");
    ASSERT_TRUE(result.answer);
    EXPECT_EQ(result.answer->code, sessions::response_code::busy);
}

TEST_F(server_call_fixture, repeated_opening_answer_alone_is_no_answer)
{
    EXPECT_FALSE(call("READY I -\r\nREADY I -\r\n", "").answer);
}

TEST_F(server_call_fixture, second_outcome_within_an_answer_is_no_answer)
{
    EXPECT_FALSE(call("READY I -\r\n", "DONE -\r\nERR BUSY full\r\nREADY I -\r\n").answer);
}

} // namespace hickorymount::gateway::detail

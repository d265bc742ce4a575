#include "soak/field_data.h"
#include "soak/message_splitter.h"
#include "soak/tests/process_cluster.h"
#include "soak/tests/raw_client.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <poll.h>

namespace hickorymount::soak {

using namespace std::string_literals;
using message_list = std::vector<std::string>;

namespace {

/// Bounds a wait for something that must happen; no test depends on how soon it happens.
constexpr milliseconds answer_time{30'000};
constexpr int poll_interval_ms = 20;
/// A part of a field that would be a write of its own if a message ended before it.
const std::string smuggled_write = "\nQUERY 00 WRITE 1 y";

} // namespace

/// A caller's session whose bytes the test chooses.
class raw_session
{
public:
    explicit raw_session(std::uint16_t port) : m_client(port)
    {
        answer_to(fmt::format("START {} key", test_database));
    }

    /// Sends a message, and returns the messages that follow up to `READY`, which is left out. Without a
    /// `READY`, the last element is "(none)".
    message_list answer_to(const std::string& message)
    {
        m_client.queue(message + "\r\n");
        message_list answer;
        const time_point end = millisecond_clock::now() + answer_time;
        while (m_client.is_open() && millisecond_clock::now() < end) {
            m_client.write_some(SIZE_MAX);
            m_client.read_some();
            m_splitter.append(std::string_view(m_client.received()).substr(m_taken));
            m_taken = m_client.received().size();
            while (auto next = m_splitter.next()) {
                if (next->starts_with("READY ")) {
                    return answer;
                }
                answer.push_back(*next);
            }
            pollfd waiting{m_client.socket(), POLLIN, 0};
            ::poll(&waiting, 1, poll_interval_ms);
        }
        answer.emplace_back("(none)");
        return answer;
    }

private:
    raw_client m_client;
    message_splitter m_splitter;
    std::size_t m_taken = 0;
};

class session_bytes_fixture : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_cluster.is_started());
        m_session = std::make_unique<raw_session>(m_cluster.session_port);
    }

    void TearDown() override
    {
        if (!HasFailure()) {
            return;
        }
        for (const std::string& message : m_cluster.server().received_messages()) {
            if (message.find("STATUS") == std::string::npos) {
                fmt::print("the server got: {}\n", to_printable(message));
            }
        }
        m_cluster.print_logs();
    }

    /// Checks that the server got a statement with this text, and none under an id that no caller sent.
    void expect_received_whole(const std::string& text)
    {
        const message_list received = m_cluster.server().received_messages();
        const auto has_text = [&](const std::string& message) {
            return message.starts_with("QUERY ") && message.ends_with(" " + text);
        };
        EXPECT_TRUE(std::any_of(received.begin(), received.end(), has_text)) << to_printable(text);
        EXPECT_EQ(m_cluster.server().runs_of("00"), 0U);
    }

    process_cluster m_cluster;
    std::unique_ptr<raw_session> m_session;
};

TEST_F(session_bytes_fixture, line_feed_in_a_value_does_not_run_as_a_statement)
{
    const std::string setting = "SET v1 vz" + smuggled_write;
    EXPECT_EQ(m_session->answer_to("QUERY 11 " + setting).size(), 1U);
    EXPECT_EQ(m_session->answer_to("QUERY 12 READ 1"), (message_list{"DONE 7.12"}));
    expect_received_whole(setting);
}

TEST_F(session_bytes_fixture, line_feed_in_data_does_not_run_as_a_statement)
{
    const std::string write = "WRITE 1 x" + smuggled_write;
    EXPECT_EQ(m_session->answer_to("QUERY 11 " + write), (message_list{"DONE 7.11"}));
    expect_received_whole(write);
}

TEST_F(session_bytes_fixture, line_feed_in_a_shape_does_not_run_as_a_statement)
{
    const std::string shape = "WRITE q" + smuggled_write;
    const std::string arguments = "1a4 x" + smuggled_write;
    EXPECT_EQ(m_session->answer_to("QUERY 11 PREPARE s1 " + shape).size(), 1U);
    EXPECT_EQ(m_session->answer_to("QUERY 12 EXEC s1 " + arguments), (message_list{"DONE 7.12"}));
    // The names of prepared statements may differ at the server.
    expect_received_whole(shape);
    expect_received_whole(arguments);
}

TEST_F(session_bytes_fixture, line_feed_in_a_row_does_not_end_the_answer)
{
    const std::string row = "x\nDONE 1.2.3\nREADY I 1.1";
    m_cluster.server().set_behavior({.row = row});
    EXPECT_EQ(m_session->answer_to("QUERY 11 READ 1"), (message_list{"ROW " + row, "DONE 7.11"}));
    EXPECT_EQ(m_session->answer_to("QUERY 12 READ 2"), (message_list{"ROW " + row, "DONE 7.12"}));
}

TEST_F(session_bytes_fixture, line_feed_as_a_whole_row_is_kept)
{
    m_cluster.server().set_behavior({.row = "\n"});
    EXPECT_EQ(m_session->answer_to("QUERY 11 READ 1"), (message_list{"ROW \n", "DONE 7.11"}));
}

TEST_F(session_bytes_fixture, carriage_return_and_zero_bytes_in_fields_are_kept)
{
    const std::string data = " a\rb\0\xff \r"s;
    m_cluster.server().set_behavior({.row = data});
    EXPECT_EQ(m_session->answer_to("QUERY 11 SET v1 " + data).size(), 1U);
    EXPECT_EQ(m_session->answer_to("QUERY 12 READ 1"), (message_list{"ROW " + data, "DONE 7.12"}));
    EXPECT_EQ(m_session->answer_to("QUERY 13 WRITE 1 " + data), (message_list{"DONE 7.13"}));
    expect_received_whole("SET v1 " + data);
    expect_received_whole("WRITE 1 " + data);
}

TEST_F(session_bytes_fixture, answer_sent_twice_is_not_given_to_the_next_statement)
{
    m_cluster.server().set_behavior({.echoes = true, .repeats_answers = true});
    for (int number = 0; number < 10; ++number) {
        const message_list answer = m_session->answer_to(fmt::format("QUERY 1{} READ {}", number, number));
        EXPECT_EQ(answer,
                  (message_list{fmt::format("ROW READ {}", number), fmt::format("DONE 7.1{}", number)}));
    }
}

TEST_F(session_bytes_fixture, answer_sent_twice_is_not_given_to_the_next_session)
{
    m_cluster.server().set_behavior({.echoes = true, .repeats_answers = true});
    for (int number = 0; number < 10; ++number) {
        raw_session next(m_cluster.session_port);
        const message_list answer = next.answer_to(fmt::format("QUERY 1{} READ {}", number, number));
        EXPECT_EQ(answer,
                  (message_list{fmt::format("ROW READ {}", number), fmt::format("DONE 7.1{}", number)}));
    }
}

TEST_F(session_bytes_fixture, refusal_sent_twice_does_not_run_a_write_again)
{
    m_cluster.server().set_behavior({.refuses_first_writes = true});
    const message_list answer = m_session->answer_to("QUERY 11 WRITE 1 x");
    ASSERT_EQ(answer.size(), 1U);
    EXPECT_NE(answer.front(), "(none)");
    const std::size_t runs = m_cluster.server().runs_of("11");
    EXPECT_LE(runs, 1U);
    if (answer.front() == "DONE 7.11") {
        EXPECT_EQ(runs, 1U);
    } else if (answer.front().starts_with("ERR BUSY ")) {
        EXPECT_EQ(runs, 0U);
    }
}

} // namespace hickorymount::soak

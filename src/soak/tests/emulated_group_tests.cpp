#include "net/line_connection.h"
#include "platform/session_codec.h"
#include "soak/emulated_group.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::soak {

using sessions::response_code;

/// A session at one of the emulated servers, which sends one statement at a time.
class server_session
{
public:
    server_session(boost::asio::io_context& context, const sessions::session_codec& codec, std::uint16_t port)
        : m_context(context), m_codec(codec),
          m_connection(std::make_shared<net::line_connection>(boost::asio::ip::tcp::socket(context),
                                                              net::line_connection::limits{}))
    {
        m_connection->set_handlers({[this](std::string_view line) { handle_line(line); },
                                    [this](const std::string& /*reason*/) { m_is_closed = true; }});
        m_connection->connect({boost::asio::ip::address_v4::loopback(), port},
                              [this] { m_connection->send(m_codec.encode_open({"orders"}).value()); });
        wait_for_answer();
    }
    ~server_session() { m_connection->close(); }
    server_session(const server_session&) = delete;
    server_session& operator=(const server_session&) = delete;

    /// Sends the statement again for as long as the server is busy.
    sessions::statement_response run(const std::string& id, const sessions::statement& body,
                                     std::optional<group_position> minimum_position = std::nullopt)
    {
        sessions::statement_response answer;
        do {
            send(id, body, minimum_position);
            answer = wait_for_answer();
        } while (answer.code == response_code::busy && !m_is_closed);
        return answer;
    }

    void send(const std::string& id, const sessions::statement& body,
              std::optional<group_position> minimum_position = std::nullopt)
    {
        m_connection->send(m_codec.encode_statement({id, body, minimum_position}).value());
    }

private:
    sessions::statement_response wait_for_answer()
    {
        m_is_answered = false;
        while (!m_is_answered && !m_is_closed) {
            m_context.run_one();
        }
        return std::exchange(m_answer, {});
    }

    void handle_line(std::string_view line)
    {
        const sessions::server_line decoded = m_codec.decode_server_line(line);
        if (const auto* error = std::get_if<sessions::error_line>(&decoded)) {
            m_answer.code = error->code;
        } else if (const auto* ready = std::get_if<sessions::ready_line>(&decoded)) {
            m_answer.position = ready->position;
            m_is_answered = true;
        }
    }

    boost::asio::io_context& m_context;
    const sessions::session_codec& m_codec;
    std::shared_ptr<net::line_connection> m_connection;
    sessions::statement_response m_answer;
    bool m_is_answered = false;
    bool m_is_closed = false;
};

/// A group whose first server is the primary and has one commit, which all servers have received.
class emulated_group_fixture : public ::testing::Test
{
protected:
    static constexpr std::size_t first = 0;
    static constexpr std::size_t second = 1;
    /// Longer than any test.
    static constexpr milliseconds until_end{600'000};

    emulated_group_fixture()
        : m_codec(platform::make_session_codec()),
          m_group(m_context, "orders", m_checker, 1, field_alphabet::plain)
    {
        EXPECT_TRUE(m_group.start());
        run_until([this] { return m_group.announcements().size() == emulated_group::server_count; });
        EXPECT_EQ(write_at(first).position, (group_position{1, 1}));
    }
    ~emulated_group_fixture() override { m_group.stop(); }

    void run_until(const std::function<bool()>& is_reached)
    {
        while (!is_reached()) {
            m_context.run_one();
        }
    }

    /// Replaces the first server, which neither learns of it nor receives later commits.
    void replace_first_server()
    {
        m_group.stop_replication(first, until_end);
        m_group.promote("orders-2");
        run_until([this] { return m_group.primary_index() == second; });
    }

    server_session& session_at(std::size_t index)
    {
        const std::uint16_t port = m_group.announcements()[index].port;
        m_sessions.push_back(std::make_unique<server_session>(m_context, *m_codec, port));
        return *m_sessions.back();
    }

    response_code begin_at(std::size_t index)
    {
        return session_at(index).run("-", {.kind = sessions::statement_kind::begin, .text = "BEGIN"}).code;
    }

    sent_statement record(sessions::statement_kind kind)
    {
        const bool writes = kind == sessions::statement_kind::write;
        sent_statement sent;
        sent.id = "s" + std::to_string(++m_statement_count);
        sent.writes = writes;
        sent.command.kind = kind;
        sent.command.text = writes ? "WRITE 1 x" : "READ 1";
        sent.consistency = configuration::read_consistency::bounded_staleness;
        sent.max_staleness = until_end;
        m_checker.record_sent(sent);
        return sent;
    }

    sessions::statement_response write_at(std::size_t index)
    {
        const sent_statement sent = record(sessions::statement_kind::write);
        return session_at(index).run(sent.id, sent.command);
    }

    sessions::statement_response read_at(std::size_t index,
                                         std::optional<group_position> minimum_position = std::nullopt)
    {
        const sent_statement sent = record(sessions::statement_kind::read);
        return session_at(index).run(sent.id, sent.command, minimum_position);
    }

    boost::asio::io_context m_context;
    std::unique_ptr<sessions::session_codec> m_codec;
    consistency_checker m_checker;
    emulated_group m_group;
    std::vector<std::unique_ptr<server_session>> m_sessions;
    int m_statement_count = 0;
};

TEST_F(emulated_group_fixture, read_after_a_position_of_a_later_term_at_a_replaced_primary_lags)
{
    replace_first_server();
    ASSERT_EQ(write_at(second).position, (group_position{2, 2}));
    EXPECT_EQ(read_at(first, group_position{2, 2}).code, response_code::lagging);
}

TEST_F(emulated_group_fixture, read_after_the_start_of_a_later_term_at_a_replaced_primary_lags)
{
    replace_first_server();
    EXPECT_EQ(read_at(first, group_position{2, 1}).code, response_code::lagging);
}

TEST_F(emulated_group_fixture, read_after_a_position_that_a_replaced_primary_has_is_answered)
{
    replace_first_server();
    EXPECT_EQ(read_at(first, group_position{1, 1}).code, response_code::done);
}

TEST_F(emulated_group_fixture, read_after_a_later_position_at_the_primary_lags)
{
    EXPECT_EQ(read_at(first, group_position{1, 2}).code, response_code::lagging);
}

TEST_F(emulated_group_fixture, read_after_a_position_that_a_promotion_discarded_lags)
{
    m_group.stop_replication(first, until_end);
    const sent_statement unacknowledged = record(sessions::statement_kind::write);
    session_at(first).send(unacknowledged.id, unacknowledged.command);
    run_until([this] { return read_at(first).position == group_position{1, 2}; });
    replace_first_server();
    ASSERT_EQ(write_at(second).position, (group_position{2, 2}));
    EXPECT_EQ(read_at(second, group_position{1, 2}).code, response_code::lagging);
}

TEST_F(emulated_group_fixture, replaced_primary_that_does_not_reach_the_new_one_continues)
{
    replace_first_server();
    EXPECT_EQ(begin_at(first), response_code::done);
}

TEST_F(emulated_group_fixture, replaced_primary_that_is_demoted_is_a_replica)
{
    replace_first_server();
    session_at(first).run("-", {.kind = sessions::statement_kind::demote, .term = 2});
    EXPECT_EQ(begin_at(first), response_code::read_only);
}

TEST_F(emulated_group_fixture, replaced_primary_that_reaches_the_new_one_becomes_a_replica)
{
    m_group.promote("orders-2");
    run_until([this] { return m_group.primary_index() == second; });
    run_until([this] { return !m_group.announcements()[first].is_primary; });
    EXPECT_EQ(begin_at(first), response_code::read_only);
}

/// Collects the messages that a server sends on one connection.
class raw_server_session
{
public:
    raw_server_session(boost::asio::io_context& context, std::uint16_t port)
        : m_context(context),
          m_connection(std::make_shared<message_connection>(boost::asio::ip::tcp::socket(context)))
    {
        m_connection->set_handlers({[this](const std::string& message) { messages.push_back(message); },
                                    [this] { is_closed = true; }});
        m_connection->connect({boost::asio::ip::address_v4::loopback(), port},
                              [this] { is_connected = true; });
        run_until([this] { return is_connected; });
    }
    ~raw_server_session() { m_connection->close(); }
    raw_server_session(const raw_server_session&) = delete;
    raw_server_session& operator=(const raw_server_session&) = delete;

    void send(const std::string& message) { m_connection->send(message + "\r\n"); }
    void run_until(const std::function<bool()>& is_reached)
    {
        while (!is_reached()) {
            m_context.run_one();
        }
    }
    void wait_for_messages(std::size_t count)
    {
        run_until([this, count] { return messages.size() >= count; });
    }

    std::vector<std::string> messages;
    bool is_connected = false;
    bool is_closed = false;

private:
    boost::asio::io_context& m_context;
    std::shared_ptr<message_connection> m_connection;
};

TEST_F(emulated_group_fixture, disturbed_server_sends_each_answer_twice)
{
    m_group.disturb_answers(first, {.repeat_probability = 1}, until_end);
    raw_server_session session(m_context, m_group.announcements()[first].port);
    session.send("START orders any orders-1");
    session.wait_for_messages(2);
    session.send("QUERY - STATUS");
    session.wait_for_messages(8);
    const std::vector<std::string> status{"ROW primary 1 1.1 0 0 0 0", "DONE -", "READY I 1.1"};
    EXPECT_EQ(std::vector(session.messages.begin(), session.messages.begin() + 2),
              (std::vector<std::string>{"READY I 1.1", "READY I 1.1"}));
    EXPECT_EQ(std::vector(session.messages.begin() + 2, session.messages.begin() + 5), status);
    EXPECT_EQ(std::vector(session.messages.begin() + 5, session.messages.end()), status);
    EXPECT_EQ(m_group.repeated_count(), 2U);
}

TEST_F(emulated_group_fixture, disturbed_server_sends_part_of_an_answer_and_closes)
{
    raw_server_session session(m_context, m_group.announcements()[first].port);
    session.send("START orders");
    session.wait_for_messages(1);
    m_group.disturb_answers(first, {.cut_probability = 1}, until_end);
    session.send("QUERY - STATUS");
    session.run_until([&] { return session.is_closed; });
    EXPECT_LT(session.messages.size(), 4U);
    EXPECT_EQ(m_group.cut_count(), 1U);
}

TEST_F(emulated_group_fixture, message_that_is_none_is_a_violation)
{
    raw_server_session session(m_context, m_group.announcements()[first].port);
    session.send("START orders");
    session.send("QUERY 1 y\nQUERY 2 READ 1");
    session.run_until([&] { return session.is_closed; });
    EXPECT_EQ(m_checker.violations().size(), 1U);
}

TEST_F(emulated_group_fixture, value_with_a_line_feed_is_one_statement)
{
    raw_server_session session(m_context, m_group.announcements()[first].port);
    session.send("START orders");
    session.send("QUERY - SET v1 vz\nQUERY 00 WRITE 1 y");
    session.wait_for_messages(3);
    EXPECT_EQ(session.messages, (std::vector<std::string>{"READY I 1.1", "DONE -", "READY I 1.1"}));
    EXPECT_TRUE(m_checker.violations().empty());
}

TEST_F(emulated_group_fixture, statements_of_a_session_run_in_the_order_of_their_arrival)
{
    raw_server_session session(m_context, m_group.announcements()[first].port);
    session.send("START orders");
    session.wait_for_messages(1);
    for (int round = 0; round < 10; ++round) {
        session.messages.clear();
        session.send("QUERY - BEGIN READ");
        session.send("QUERY - ROLLBACK");
        session.wait_for_messages(4);
        EXPECT_EQ(session.messages,
                  (std::vector<std::string>{"DONE -", "READY T 1.1", "DONE -", "READY I 1.1"}));
    }
}

} // namespace hickorymount::soak

#include "net/line_connection.h"

#include <optional>
#include <vector>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace hickorymount::net {

using tcp = boost::asio::ip::tcp;

class line_connection_fixture : public testing::Test
{
protected:
    line_connection_fixture()
    {
        tcp::acceptor acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        m_peer.connect(acceptor.local_endpoint());
        line_connection::limits limits;
        limits.line_bytes = 100;
        limits.unsent_bytes = 1000;
        m_connection = std::make_shared<line_connection>(acceptor.accept(), limits);
        m_connection->set_handlers({[this](std::string_view line) {
                                        m_lines.emplace_back(line);
                                        if (!m_response.empty()) {
                                            m_connection->send(m_response);
                                        }
                                    },
                                    [this](const std::string& reason) { m_closed = reason; },
                                    [this] { return m_accepts_lines; }, [this] { return m_may_read; },
                                    [this] { m_buffered = m_connection->received_bytes(); }});
        m_connection->start();
    }
    ~line_connection_fixture() override { m_connection->close(); }

    void send(const std::string& bytes) { boost::asio::write(m_peer, boost::asio::buffer(bytes)); }

    /// Runs what is ready, and what becomes ready in a short time.
    void run()
    {
        m_context.restart();
        m_context.run_for(std::chrono::milliseconds(50));
    }

    boost::asio::io_context m_context;
    tcp::socket m_peer{m_context};
    std::shared_ptr<line_connection> m_connection;
    std::vector<std::string> m_lines;
    std::optional<std::string> m_closed;
    std::string m_response;
    bool m_accepts_lines = true;
    bool m_may_read = true;
    std::size_t m_buffered = 0;
};

using lines = std::vector<std::string>;

/// Guards against lines that are lost or joined at the borders of pieces.
TEST_F(line_connection_fixture, lines_in_pieces_are_delivered_whole)
{
    for (const char* piece : {"on", "e\r\ntw", "o\r\n", "\r\nthr"}) {
        send(piece);
        run();
    }
    EXPECT_EQ(m_lines, (lines{"one", "two", ""}));
    EXPECT_EQ(m_buffered, 3U);
}

/// Guards against content that is taken for the end of a message, and so for messages of its own.
TEST_F(line_connection_fixture, lone_line_feeds_and_carriage_returns_are_content)
{
    send("v1=vz\nQUERY 1 WRITE 2 x\r\n\n\r\n\r\r\na\rb\n\r\r\n");
    run();
    EXPECT_EQ(m_lines, (lines{"v1=vz\nQUERY 1 WRITE 2 x", "\n", "\r", "a\rb\n\r"}));
}

/// Guards against a line end that is missed because its two bytes arrive apart.
TEST_F(line_connection_fixture, line_end_in_two_pieces_ends_the_line)
{
    for (const char* piece : {"one\r", "\n", "two\r", "x\r", "\r", "\n\n\r", "\n"}) {
        send(piece);
        run();
    }
    EXPECT_EQ(m_lines, (lines{"one", "two\rx\r", "\n"}));
    EXPECT_EQ(m_buffered, 0U);
}

TEST_F(line_connection_fixture, content_arrives_unchanged_whatever_the_pieces)
{
    const std::string content("\0 \xff\n\r \n\n", 9);
    for (std::size_t size = 1; size <= 5; ++size) {
        m_lines.clear();
        const std::string bytes = content + "\r\n\r\n" + content + "\r\r\n";
        for (std::size_t start = 0; start < bytes.size(); start += size) {
            send(bytes.substr(start, size));
            m_context.restart();
            m_context.run_for(std::chrono::milliseconds(5));
        }
        run();
        EXPECT_EQ(m_lines, (lines{content, "", content + "\r"})) << "pieces of " << size;
    }
}

/// Guards against a full line that is refused because the first byte of its end counts as content.
TEST_F(line_connection_fixture, line_of_the_limit_is_delivered_when_its_end_is_split)
{
    send(std::string(100, 'a') + "\r");
    run();
    EXPECT_FALSE(m_closed);
    send("\n");
    run();
    EXPECT_EQ(m_lines, lines{std::string(100, 'a')});
}

/// Guards against a peer whose lines never end by the protocol, and that sends on without a bound.
TEST_F(line_connection_fixture, lines_that_end_in_a_line_feed_only_close_the_connection_at_the_limit)
{
    for (int at = 0; at < 26; ++at) {
        send("abc\n");
    }
    run();
    EXPECT_TRUE(m_lines.empty());
    EXPECT_EQ(m_closed, "a line is longer than the limit");
}

TEST_F(line_connection_fixture, line_beyond_the_limit_closes_the_connection)
{
    send(std::string(101, 'a'));
    run();
    EXPECT_EQ(m_closed, "a line is longer than the limit");
}

/// Guards against lines that are lost when their delivery pauses, and against a pause that counts as a long
/// line.
TEST_F(line_connection_fixture, paused_lines_are_delivered_after_resume)
{
    m_accepts_lines = false;
    send(std::string(60, 'a') + "\r\n" + std::string(60, 'b') + "\r\n");
    run();
    EXPECT_TRUE(m_lines.empty());
    EXPECT_FALSE(m_closed);
    m_accepts_lines = true;
    m_connection->resume();
    EXPECT_TRUE(m_lines.empty());
    run();
    EXPECT_EQ(m_lines.size(), 2U);
    send("c\r\n");
    run();
    EXPECT_EQ(m_lines.size(), 3U);
}

/// Guards against buffering while the owner has no memory left.
TEST_F(line_connection_fixture, nothing_is_read_until_resume)
{
    m_may_read = false;
    send("one\r\n");
    run();
    EXPECT_EQ(m_connection->total_received_bytes(), 0U);
    m_may_read = true;
    run();
    EXPECT_TRUE(m_lines.empty());
    m_connection->resume();
    run();
    EXPECT_EQ(m_lines, lines{"one"});
}

/// Guards against responses without a bound to a peer that sends requests and does not read.
TEST_F(line_connection_fixture, delivery_pauses_while_much_is_unsent)
{
    m_response = std::string(std::size_t{8} << 20, 'r');
    send("one\r\ntwo\r\nthree\r\n");
    run();
    EXPECT_EQ(m_lines, lines{"one"});
    EXPECT_GT(m_connection->unsent_bytes(), 1000U);
    m_response = "";
    std::vector<char> received(std::size_t{8} << 20);
    std::size_t count = 0;
    while (count < received.size()) {
        count += m_peer.read_some(boost::asio::buffer(received));
        run();
    }
    EXPECT_EQ(m_lines, (lines{"one", "two", "three"}));
    EXPECT_EQ(m_connection->unsent_bytes(), 0U);
}

} // namespace hickorymount::net

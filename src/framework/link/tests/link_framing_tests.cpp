#include "http/tests/raw_peer.h"
#include "link/peer_transport.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::link {
namespace {

/// A transport whose peers write WebSocket frames byte by byte.
class link_framing_fixture : public ::testing::Test
{
protected:
    link_framing_fixture()
    {
        peer_handlers handlers;
        handlers.on_message = [this](const std::string& peer, const std::string& bytes) {
            const std::lock_guard lock(m_mutex);
            m_messages.emplace_back(peer, bytes);
            m_changed.notify_all();
        };
        handlers.on_connected = [](const std::string&) {};
        handlers.on_error = [](const std::string&, const std::string&) {};
        m_transport = make_websocket_transport("control-1", std::move(handlers));
        m_port = m_transport->listen("127.0.0.1", 0);
        m_transport->start();
    }
    ~link_framing_fixture() override { m_transport->stop(); }

    /// The end of the frame with which a connection without a name is closed.
    static constexpr const char* refusal = "expected a name";
    static constexpr char text = 1;
    static constexpr char binary = 2;

    /// The head of a frame with a mask of zeros, which leaves the content as it is.
    static std::string frame_head(char kind, std::uint64_t length)
    {
        std::string head(1, static_cast<char>(0x80 | kind));
        const int length_bytes = length < 126 ? 0 : length < 65536 ? 2 : 8;
        head += static_cast<char>(0x80 | (length_bytes == 0   ? static_cast<int>(length)
                                          : length_bytes == 2 ? 126
                                                              : 127));
        for (int byte = length_bytes - 1; byte >= 0; --byte) {
            head += static_cast<char>(length >> (8 * byte));
        }
        return head + std::string(4, '\0');
    }

    static std::string frame(char kind, const std::string& content)
    {
        return frame_head(kind, content.size()) + content;
    }

    std::unique_ptr<http::raw_peer> open() const
    {
        auto peer = std::make_unique<http::raw_peer>(http::raw_peer::connect_to(m_port));
        peer->send("GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                   "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n");
        EXPECT_NE(peer->receive_until("\r\n\r\n").find(" 101 "), std::string::npos);
        return peer;
    }

    std::vector<std::pair<std::string, std::string>> messages(std::size_t expected)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, std::chrono::seconds(5), [&] { return m_messages.size() >= expected; });
        return m_messages;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::pair<std::string, std::string>> m_messages;
    std::unique_ptr<peer_transport> m_transport;
    std::uint16_t m_port = 0;
};

TEST_F(link_framing_fixture, message_has_the_bytes_of_its_frame_and_the_name_of_its_peer)
{
    const auto peer = open();
    const std::string content("a\r\nb\0c\xff", 7);
    peer->send(frame(text, "entry-1"));
    peer->send(frame(binary, content) + frame(binary, "second"));
    const auto received = messages(2);
    ASSERT_EQ(received.size(), 2U);
    EXPECT_EQ(received[0], std::pair(std::string("entry-1"), content));
    EXPECT_EQ(received[1].second, "second");
}

TEST_F(link_framing_fixture, connection_whose_first_message_is_no_name_is_closed_and_not_heard)
{
    for (const std::string& name :
         {std::string("entry 1"), std::string("entry\n1"), std::string("a\r\nb"), std::string(""),
          std::string("a=b"), std::string("\x1b[2J"), std::string("a\0b", 3)}) {
        const auto peer = open();
        peer->send(frame(text, name) + frame(binary, "heard"));
        EXPECT_TRUE(peer->receive_until(refusal).ends_with(refusal));
    }
    const auto unnamed = open();
    unnamed->send(frame(binary, "entry-1") + frame(binary, "heard"));
    EXPECT_TRUE(unnamed->receive_until(refusal).ends_with(refusal));
    EXPECT_TRUE(messages(0).empty());
}

TEST_F(link_framing_fixture, frame_longer_than_the_limit_is_closed_and_not_heard)
{
    const auto peer = open();
    peer->send(frame(text, "entry-1") + frame(binary, "first"));
    EXPECT_EQ(messages(1).size(), 1U);
    peer->send(frame_head(binary, (std::uint64_t{16} << 20) + 1) + std::string(1000, 'x'));
    (void)peer->receive_all();
    for (const std::uint64_t length : {std::uint64_t{1} << 62, ~std::uint64_t{0}}) {
        const auto other = open();
        other->send(frame(text, "entry-2") + frame_head(binary, length) + std::string(1000, 'x'));
        (void)other->receive_all();
    }
    EXPECT_EQ(messages(1).size(), 1U);
}

TEST_F(link_framing_fixture, frame_that_is_cut_short_is_not_heard)
{
    {
        const auto peer = open();
        peer->send(frame(text, "entry-1") + frame_head(binary, 10) + "12345");
        peer->end_sending();
        (void)peer->receive_all();
    }
    const auto peer = open();
    peer->send(frame(text, "entry-1") + frame(binary, "whole"));
    const auto received = messages(1);
    ASSERT_EQ(received.size(), 1U);
    EXPECT_EQ(received[0].second, "whole");
}

} // namespace
} // namespace hickorymount::link

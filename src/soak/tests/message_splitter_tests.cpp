#include "soak/message_splitter.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::soak {

using namespace std::string_literals;

class message_splitter_fixture : public ::testing::Test
{
protected:
    std::vector<std::string> split(const std::vector<std::string>& pieces)
    {
        std::vector<std::string> messages;
        for (const std::string& piece : pieces) {
            m_splitter.append(piece);
            while (auto message = m_splitter.next()) {
                messages.push_back(*message);
            }
        }
        return messages;
    }

    message_splitter m_splitter;
};

using message_list = std::vector<std::string>;

TEST_F(message_splitter_fixture, line_feed_alone_does_not_end_a_message)
{
    EXPECT_EQ(split({"ROW a\nDONE 1\r\nROW \n\r\n"}), (message_list{"ROW a\nDONE 1", "ROW \n"}));
}

TEST_F(message_splitter_fixture, carriage_return_alone_does_not_end_a_message)
{
    EXPECT_EQ(split({"ROW a\rb\r\r\nROW c\n\r\r\n"}), (message_list{"ROW a\rb\r", "ROW c\n\r"}));
}

TEST_F(message_splitter_fixture, end_in_two_pieces_ends_the_message)
{
    EXPECT_EQ(split({"ROW a\r", "\nROW b", "\r", "\n"}), (message_list{"ROW a", "ROW b"}));
}

TEST_F(message_splitter_fixture, other_bytes_are_data)
{
    EXPECT_EQ(split({"\0\xff \t\r\n\r\n"s}), (message_list{"\0\xff \t"s, ""}));
}

TEST_F(message_splitter_fixture, longer_message_than_allowed_is_reported)
{
    message_splitter splitter(4);
    splitter.append("abcd\r");
    EXPECT_FALSE(splitter.is_too_long());
    splitter.append("x");
    EXPECT_TRUE(splitter.is_too_long());
}

} // namespace hickorymount::soak

#include "soak/field_data.h"

#include <string>

#include <gtest/gtest.h>

namespace hickorymount::soak {

using namespace std::string_literals;

class field_source_fixture : public ::testing::Test
{
protected:
    static constexpr int value_count = 2000;

    field_source m_source{1, field_alphabet::any_byte};
};

TEST_F(field_source_fixture, values_never_end_a_message)
{
    for (int index = 0; index < value_count; ++index) {
        const std::string value = m_source.next("x");
        EXPECT_FALSE(value.empty());
        EXPECT_EQ(value.find("\r\n"), std::string::npos);
    }
}

TEST_F(field_source_fixture, values_contain_each_kind_of_byte)
{
    std::string all;
    bool has_lone_line_feed = false;
    bool ends_in_carriage_return = false;
    for (int index = 0; index < value_count; ++index) {
        const std::string value = m_source.next("x");
        has_lone_line_feed = has_lone_line_feed || value == "\n";
        ends_in_carriage_return = ends_in_carriage_return || value.ends_with('\r');
        all += value;
    }
    EXPECT_TRUE(has_lone_line_feed);
    EXPECT_TRUE(ends_in_carriage_return);
    for (const char byte : {'\n', '\r', '\0', ' ', '\xff'}) {
        EXPECT_NE(all.find(byte), std::string::npos) << static_cast<int>(byte);
    }
    EXPECT_NE(all.find("\nQUERY 00 WRITE 1 y"), std::string::npos);
}

TEST_F(field_source_fixture, plain_values_are_unchanged)
{
    field_source source(1, field_alphabet::plain);
    EXPECT_EQ(source.next("x"), "x");
}

TEST_F(field_source_fixture, unprintable_bytes_are_escaped)
{
    EXPECT_EQ(to_printable("a \n\r\0\xff\\"s), "a \\x0a\\x0d\\x00\\xff\\x5c");
}

} // namespace hickorymount::soak

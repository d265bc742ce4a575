#include "base/names.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount {
namespace {

class names_fixture : public ::testing::Test
{
protected:
    /// Texts that would end a line, split a field, or act on a terminal.
    static std::vector<std::string> control_characters()
    {
        return {std::string(1, '\0'), "\x01",    "\t", "\n", "\v", "\f", "\r", "\x1b", "\x7f",
                "\xc2\x85",           "\xc2\x9b"};
    }
};

TEST_F(names_fixture, name_with_a_blank_or_a_control_character_is_no_name)
{
    EXPECT_FALSE(is_name("a b"));
    EXPECT_FALSE(is_name(" a"));
    EXPECT_FALSE(is_name("a "));
    for (const std::string& each : control_characters()) {
        EXPECT_FALSE(is_name(each)) << escaped(each);
        EXPECT_FALSE(is_name("a" + each + "b")) << escaped(each);
        EXPECT_FALSE(is_line_text("a" + each)) << escaped(each);
    }
}

TEST_F(names_fixture, empty_text_and_dash_are_no_names)
{
    EXPECT_FALSE(is_name(""));
    EXPECT_FALSE(is_name("-"));
    EXPECT_TRUE(is_line_text(""));
    EXPECT_TRUE(is_line_text("-"));
}

TEST_F(names_fixture, bytes_that_are_not_utf_8_are_no_name)
{
    for (const char* each : {"\xff", "a\xc3", "\xed\xa0\x80", "\xc0\xaf", "\xf4\x90\x80\x80"}) {
        EXPECT_FALSE(is_name(each)) << escaped(each);
        EXPECT_FALSE(is_line_text(each)) << escaped(each);
    }
}

TEST_F(names_fixture, other_text_is_a_name)
{
    for (const char* each :
         {"a", "lepu270", "i-7f3a91c2", "--", "a-", "a.b:c/d", "a=b", "\"a\"", "a\\b", "#1",
          "\xc3\xa6\xc3\xb8\xc3\xa5", "\xe6\x97\xa5", "\xc2\xa0", "\xf0\x9f\x90\x98"}) {
        EXPECT_TRUE(is_name(each)) << each;
    }
    EXPECT_TRUE(is_line_text("first key, with blanks"));
}

TEST_F(names_fixture, escaped_text_is_one_line_without_control_characters)
{
    for (const std::string& each : control_characters()) {
        const std::string text = escaped("a" + each + "b\xff");
        EXPECT_TRUE(is_line_text(text)) << text;
        EXPECT_EQ(text.find('"'), std::string::npos);
    }
    EXPECT_EQ(escaped("a\r\nb\tc"), "a\\r\\nb\\tc");
    EXPECT_EQ(escaped("\x1b[31m"), "\\x1b[31m");
    EXPECT_EQ(escaped("say \"a\\b\""), R"(say \"a\\b\")");
    EXPECT_EQ(escaped("\xff\xc2\x9b"), "\\xff\\xc2\\x9b");
    EXPECT_EQ(without_control_characters("reason=\"a\\b\"\n"), "reason=\"a\\b\"\\n");
    EXPECT_EQ(escaped("\xc3\xa6 plain"), "\xc3\xa6 plain");
}

} // namespace
} // namespace hickorymount

#include "operations/terminal.h"

#include <algorithm>
#include <string>

#include <gtest/gtest.h>

namespace hickorymount::operations {
namespace {

class terminal_fixture : public ::testing::Test
{
protected:
    /// True if nothing in the text but line feeds acts on a terminal.
    static bool is_printable(const std::string& text)
    {
        return std::all_of(text.begin(), text.end(),
                           [](char each) { return each == '\n' || (each >= ' ' && each < 0x7f); });
    }

    static constexpr const char* odd = "a\x1b[2J\r\n\x07\x7f\xc2\x9b\xff";
};

// Guards against a name or an answer of a host that acts on the operator's terminal or shows a line of its
// own.
TEST_F(terminal_fixture, line_is_one_line_without_control_characters)
{
    const std::string line = terminal_line(odd);
    EXPECT_TRUE(is_printable(line)) << line;
    EXPECT_EQ(std::count(line.begin(), line.end(), '\n'), 1);
    EXPECT_EQ(terminal_line("change 1: \"accepted\""), "change 1: \"accepted\"\n");
}

TEST_F(terminal_fixture, document_has_no_control_characters_and_reads_back_as_the_same)
{
    const codec::json document{{"a\x1b\x7f", "b\r\n\xc2\x9b\xc3\xa6"}};
    const std::string text = terminal_document(document);
    EXPECT_TRUE(is_printable(text)) << text;
    EXPECT_EQ(codec::json::parse(text), document);
    EXPECT_TRUE(is_printable(terminal_document(odd)));
}

} // namespace
} // namespace hickorymount::operations

#include "logging/fields.h"
#include "logging/log_writer.h"

#include <string>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace hickorymount::logging {
namespace {

class log_line_fixture : public ::testing::Test
{
protected:
    static std::string line(const std::string& peer, const std::string& text)
    {
        return format_record({log_level::warning, "link_lost", peer, text}, "entry-1", "T");
    }

    static constexpr const char* prefix = "time=T level=warning host=entry-1 step=link_lost";
};

TEST_F(log_line_fixture, plain_values_are_written_as_they_are)
{
    EXPECT_EQ(line("10.0.0.1:80", "id=" + value("5c0e7a21") + " reason=" + quoted("the link was lost")),
              std::string(prefix) + " peer=10.0.0.1:80 id=5c0e7a21 reason=\"the link was lost\"");
    EXPECT_EQ(line("", "customer=" + value("") + " database=" + value("lepu270")),
              std::string(prefix) + " customer= database=lepu270");
}

// Guards against a value that adds a line or a field of its own to the log.
TEST_F(log_line_fixture, value_with_a_line_break_a_blank_or_quotes_stays_one_value)
{
    const std::string forged = "x\ntime=T level=error host=entry-2 step=promote";
    EXPECT_EQ(line("", "id=" + value(forged) + " group=g"),
              std::string(prefix) + R"( id="x\ntime=T level=error host=entry-2 step=promote" group=g)");
    EXPECT_EQ(line("", "id=" + value("x group=h") + " group=g"),
              std::string(prefix) + R"( id="x group=h" group=g)");
    EXPECT_EQ(line("", "id=" + value(R"(")") + " group=g"), std::string(prefix) + R"( id="\"" group=g)");
    EXPECT_EQ(line("", "id=" + value("a=b")), std::string(prefix) + R"( id="a=b")");
    EXPECT_EQ(line("", "reason=" + quoted(R"(lost" level="error\)") + " group=g"),
              std::string(prefix) + R"( reason="lost\" level=\"error\\" group=g)");
    EXPECT_EQ(line("a b=c\r\nd", ""), std::string(prefix) + R"( peer="a b=c\r\nd")");
}

TEST_F(log_line_fixture, control_character_in_any_part_is_escaped)
{
    for (const char* byte : {"\n", "\r", "\x1b", "\x07", "\x7f", "\xc2\x85", "\xff"}) {
        const std::string text = fmt::format("reason=\"a{}b\"", byte);
        for (const std::string& written :
             {line("", text), line(text, ""), format_record({log_level::error, text, "", ""}, text, "T")}) {
            for (const char each : written) {
                EXPECT_TRUE(each >= ' ' && each < 0x7f) << written;
            }
        }
    }
}

} // namespace
} // namespace hickorymount::logging

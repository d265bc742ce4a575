#include "metrics/labels.h"
#include "metrics/metric_registry.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::metrics {
namespace {

/// Reads label values back from a line as the text exposition format says; empty if it is not valid.
class exposition_fixture : public ::testing::Test
{
protected:
    static std::optional<std::vector<std::string>> values_of(const std::string& line)
    {
        std::vector<std::string> values;
        std::size_t at = line.find('{') + 1;
        while (at < line.size() && line[at] != '}') {
            at = line.find("=\"", at);
            if (at == std::string::npos) {
                return std::nullopt;
            }
            std::string value;
            for (at += 2; at < line.size() && line[at] != '"'; ++at) {
                if (line[at] == '\\') {
                    ++at;
                    if (at == line.size() || (line[at] != '\\' && line[at] != '"' && line[at] != 'n')) {
                        return std::nullopt;
                    }
                    value += line[at] == 'n' ? '\n' : line[at];
                } else {
                    value += line[at];
                }
            }
            values.push_back(value);
            at += line[at + 1] == ',' ? 2 : 1;
        }
        return values;
    }
};

TEST_F(exposition_fixture, plain_labels_are_written_as_they_are)
{
    EXPECT_EQ(labels({{"port", "caller"}, {"reason", "too slow"}}), R"(port="caller",reason="too slow")");
    EXPECT_EQ(labels({}), "");
}

// Guards against a name that ends its label, adds a series, or makes the whole exposition unreadable.
TEST_F(exposition_fixture, value_with_quotes_backslashes_or_line_feeds_stays_one_label)
{
    const std::vector<std::string> odd_values = {
        "a\"b", "a\\b", "a\\", "\\n", "a\nb", "a\",server=\"x", "a\"} 1\nforged_total{x=\"y", "\\\"", ""};
    for (const std::string& odd : odd_values) {
        metric_registry registry;
        registry.count("c_total", labels({{"server", odd}, {"kind", "k"}}));
        registry.set("g", labels({{"server", odd}, {"kind", "k"}}), 2);
        const std::string text = registry.exposition();
        EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 4) << text;
        EXPECT_EQ(text.find("\nforged_total"), std::string::npos) << text;
        for (const char* name : {"c_total{", "g{"}) {
            const std::size_t start = text.find(name);
            const auto values = values_of(text.substr(start, text.find('\n', start) - start));
            EXPECT_EQ(values, (std::vector<std::string>{odd, "k"})) << text;
        }
    }
}

TEST_F(exposition_fixture, control_characters_and_bytes_that_are_not_utf_8_are_readable_values)
{
    for (const char* odd : {"a\rb", "\x1b[2J", "\xff", "\x7f", "\t"}) {
        const std::string text = "x{" + labels({{"server", odd}}) + "}";
        const auto values = values_of(text);
        ASSERT_TRUE(values) << text;
        for (const char each : text) {
            EXPECT_TRUE(each >= ' ' && each < 0x7f) << text;
        }
    }
}

} // namespace
} // namespace hickorymount::metrics

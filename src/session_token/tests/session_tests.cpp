#include "session_token/types.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::session_token {
namespace {

class token_fixture : public ::testing::Test
{
protected:
    static bool is_refused(const std::string& text)
    {
        return handle_failure(
            [&]() -> result<bool> {
                BOOST_LEAF_CHECK(parse_token(text));
                return false;
            },
            [](const failure&) { return true; });
    }
};

TEST_F(token_fixture, text_of_a_token_parses_to_the_same_token)
{
    token original = with_raised_position({}, group_name{"orders"}, {3, 1200});
    original = with_raised_position(std::move(original), group_name{"proofs"}, {1, 7});
    const token parsed = handle_failure([&] { return parse_token(to_text(original)); },
                                        [](const failure&) { return token{}; });
    EXPECT_EQ(parsed, original);
}

TEST_F(token_fixture, malformed_text_is_refused)
{
    for (const char* text : {"orders", "orders=1", "orders=:", "=1:2", "orders=1:2x", "orders=-1:2",
                             "a=1:2||", "a=1:2|b", "orders=99999999999999999999:1"}) {
        EXPECT_TRUE(is_refused(text)) << text;
    }
    EXPECT_TRUE(is_refused(std::string(max_token_bytes + 1, 'a')));
}

TEST_F(token_fixture, raising_a_token_never_lowers_a_position)
{
    const token original =
        with_raised_position(with_raised_position({}, group_name{"a"}, {2, 5}), group_name{"a"}, {1, 900});
    EXPECT_EQ(original.positions.at(group_name{"a"}), (group_position{2, 5}));
}

struct retention_row
{
    const char* name;
    group_position seen;
    std::vector<term_start> starts;
    bool expected;
};

class retention_fixture : public ::testing::TestWithParam<retention_row>
{
};

TEST_P(retention_fixture, position_is_retained_unless_it_was_lost_with_its_primary)
{
    EXPECT_EQ(is_retained(GetParam().seen, GetParam().starts), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    rows, retention_fixture,
    ::testing::Values(retention_row{"same_term", {2, 50}, {{1, 0}, {2, 40}}, true},
                      retention_row{"older_term_before_start", {1, 40}, {{1, 0}, {2, 40}}, true},
                      retention_row{"older_term_after_start", {1, 41}, {{1, 0}, {2, 40}}, false},
                      retention_row{"lost_two_terms_ago", {1, 45}, {{1, 0}, {2, 40}, {3, 60}}, false},
                      retention_row{
                          "kept_then_lost_by_a_later_term", {1, 40}, {{1, 0}, {2, 40}, {3, 30}}, false},
                      retention_row{"no_starts_known", {1, 5}, {}, true}),
    [](const auto& info) { return info.param.name; });

} // namespace
} // namespace hickorymount::session_token

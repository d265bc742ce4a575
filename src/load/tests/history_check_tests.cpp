#include "load/history_check.h"

#include <gtest/gtest.h>

namespace hickorymount::load {
namespace {

class history_fixture : public ::testing::Test
{
protected:
    static request_trace told(request_kind kind, const std::string& key, told_outcome outcome)
    {
        request_trace trace;
        trace.kind = kind;
        trace.group = group_name{"orders"};
        trace.key = key;
        trace.outcome = outcome;
        return trace;
    }

    static server_history history(const std::string& server, std::uint64_t term,
                                  const std::vector<std::string>& keys)
    {
        server_history made{backend_server_name{server}, group_name{"orders"}, term, {}};
        for (const std::string& key : keys) {
            made.records.push_back({made.records.size() + 1, term, "r", {{key, "1"}}});
        }
        return made;
    }
};

TEST_F(history_fixture, acknowledged_write_missing_from_the_final_history_is_lost)
{
    const auto checked =
        check_histories({told(request_kind::write, "a", told_outcome::answered),
                         told(request_kind::write, "b", told_outcome::answered)},
                        {history("orders-1", 1, {"a", "b"}), history("orders-2", 2, {"a"})}, true);
    EXPECT_EQ(checked.acknowledged, 2U);
    EXPECT_EQ(checked.lost, 1U);
    EXPECT_EQ(checked.lost_replicated, 1U);
}

TEST_F(history_fixture, booking_held_twice_is_doubled)
{
    const auto checked = check_histories({told(request_kind::booking, "a", told_outcome::unknown)},
                                         {history("orders-1", 1, {"a", "a"})}, false);
    EXPECT_EQ(checked.doubled, 1U);
}

TEST_F(history_fixture, refused_write_that_is_held_is_reported)
{
    const auto checked = check_histories({told(request_kind::write, "a", told_outcome::not_run)},
                                         {history("orders-1", 1, {"a"})}, false);
    EXPECT_EQ(checked.run_though_refused, 1U);
}

TEST_F(history_fixture, booking_that_ran_and_was_refused_when_sent_again_is_no_fault)
{
    const auto checked = check_histories({told(request_kind::booking, "a", told_outcome::answered),
                                          told(request_kind::booking, "a", told_outcome::not_run)},
                                         {history("orders-1", 1, {"a"})}, false);
    EXPECT_EQ(checked.run_though_refused, 0U);
}

TEST_F(history_fixture, booking_refused_twice_and_held_is_reported)
{
    const auto checked = check_histories({told(request_kind::booking, "a", told_outcome::not_run),
                                          told(request_kind::booking, "a", told_outcome::not_run)},
                                         {history("orders-1", 1, {"a"})}, false);
    EXPECT_EQ(checked.run_though_refused, 1U);
}

TEST_F(history_fixture, servers_of_one_term_that_differ_have_diverged)
{
    const auto checked =
        check_histories({}, {history("orders-1", 1, {"a", "b"}), history("orders-2", 1, {"b"})}, false);
    EXPECT_EQ(checked.diverged, 1U);
}

TEST_F(history_fixture, gap_ends_with_the_first_write_of_another_server)
{
    std::vector<request_trace> traces(3, told(request_kind::write, "a", told_outcome::answered));
    traces[0].served_by = "orders-1";
    traces[0].ended_at = unix_milliseconds{1010};
    traces[1].served_by = "orders-2";
    traces[1].ended_at = unix_milliseconds{1400};
    traces[2].served_by = "orders-2";
    traces[2].ended_at = unix_milliseconds{1300};
    const auto gaps = failover_gaps(traces, {{backend_server_name{"orders-1"}, unix_milliseconds{1000}},
                                             {backend_server_name{"orders-2"}, unix_milliseconds{5000}}});
    ASSERT_EQ(gaps.size(), 2U);
    EXPECT_EQ(gaps[0], milliseconds{300});
    EXPECT_FALSE(gaps[1].has_value());
}

} // namespace
} // namespace hickorymount::load

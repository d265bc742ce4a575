#include "load/history_check.h"

#include <gtest/gtest.h>

namespace hickorymount::load {
namespace {

class history_fixture : public ::testing::Test
{
protected:
    static request_trace make_trace(request_kind kind, const std::string& key, request_outcome outcome)
    {
        request_trace trace;
        trace.kind = kind;
        trace.group = group_name{"orders"};
        trace.key = key;
        trace.outcome = outcome;
        return trace;
    }

    static server_history make_history(const std::string& server, std::uint64_t term,
                                       const std::vector<std::string>& keys)
    {
        server_history result{backend_server_name{server}, group_name{"orders"}, term, {}};
        for (const std::string& key : keys) {
            result.records.push_back({result.records.size() + 1, term, "r", {{key, "1"}}});
        }
        return result;
    }
};

TEST_F(history_fixture, acknowledged_write_missing_from_the_final_history_is_lost)
{
    const auto result =
        check_histories({make_trace(request_kind::write, "a", request_outcome::answered),
                         make_trace(request_kind::write, "b", request_outcome::answered)},
                        {make_history("orders-1", 1, {"a", "b"}), make_history("orders-2", 2, {"a"})}, true);
    EXPECT_EQ(result.acknowledged_writes, 2U);
    EXPECT_EQ(result.lost_writes, 1U);
    EXPECT_EQ(result.lost_replicated_writes, 1U);
}

TEST_F(history_fixture, booking_in_the_history_twice_is_doubled)
{
    const auto result = check_histories({make_trace(request_kind::booking, "a", request_outcome::unknown)},
                                        {make_history("orders-1", 1, {"a", "a"})}, false);
    EXPECT_EQ(result.duplicate_bookings, 1U);
}

TEST_F(history_fixture, write_in_the_history_after_not_run_is_reported)
{
    const auto result = check_histories({make_trace(request_kind::write, "a", request_outcome::not_run)},
                                        {make_history("orders-1", 1, {"a"})}, false);
    EXPECT_EQ(result.run_despite_not_run, 1U);
}

TEST_F(history_fixture, booking_answered_and_then_not_run_when_repeated_is_no_violation)
{
    const auto result = check_histories({make_trace(request_kind::booking, "a", request_outcome::answered),
                                         make_trace(request_kind::booking, "a", request_outcome::not_run)},
                                        {make_history("orders-1", 1, {"a"})}, false);
    EXPECT_EQ(result.run_despite_not_run, 0U);
}

TEST_F(history_fixture, booking_in_the_history_after_not_run_twice_is_reported)
{
    const auto result = check_histories({make_trace(request_kind::booking, "a", request_outcome::not_run),
                                         make_trace(request_kind::booking, "a", request_outcome::not_run)},
                                        {make_history("orders-1", 1, {"a"})}, false);
    EXPECT_EQ(result.run_despite_not_run, 1U);
}

TEST_F(history_fixture, histories_that_differ_in_one_term_have_diverged)
{
    const auto result = check_histories(
        {}, {make_history("orders-1", 1, {"a", "b"}), make_history("orders-2", 1, {"b"})}, false);
    EXPECT_EQ(result.diverged_records, 1U);
}

TEST_F(history_fixture, failover_gap_ends_with_the_first_write_of_another_server)
{
    std::vector<request_trace> traces(3, make_trace(request_kind::write, "a", request_outcome::answered));
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

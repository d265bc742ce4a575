#include "routing/read_policy.h"

#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::routing {
namespace {

read_candidate replica(const char* name, bool satisfies_session, bool is_in_same_zone, std::uint32_t free,
                       std::uint32_t busy)
{
    return {backend_server_name{name},
            false,
            is_in_same_zone,
            satisfies_session,
            satisfies_session,
            true,
            free,
            busy};
}

read_candidate primary(std::uint32_t free, std::uint32_t busy)
{
    return {backend_server_name{"primary"}, true, true, true, true, true, free, busy};
}

read_candidate outdated(read_candidate candidate)
{
    candidate.is_within_max_age = false;
    return candidate;
}

read_candidate probable(read_candidate candidate)
{
    candidate.satisfies_session = false;
    candidate.probably_satisfies_session = true;
    return candidate;
}

struct policy_row
{
    const char* name;
    std::vector<read_candidate> candidates;
    std::optional<std::size_t> chosen;
};

class position_policy_fixture : public ::testing::TestWithParam<policy_row>
{
};

TEST_P(position_policy_fixture, read_with_candidates_goes_to_expected_server)
{
    EXPECT_EQ(prefer_replica_policy().choose(GetParam().candidates).candidate, GetParam().chosen);
}

INSTANTIATE_TEST_SUITE_P(
    rows, position_policy_fixture,
    ::testing::Values(
        policy_row{"none", {}, std::nullopt},
        policy_row{"replica_before_primary", {primary(3, 0), replica("a", true, false, 1, 2)}, 1},
        policy_row{"same_zone_first", {replica("a", true, false, 3, 0), replica("b", true, true, 1, 2)}, 1},
        policy_row{"fewest_in_flight_among_equals",
                   {replica("a", true, true, 1, 2), replica("b", true, true, 2, 1)},
                   1},
        policy_row{"replica_behind_session_is_left_out", {primary(3, 0), replica("a", false, true, 3, 0)}, 0},
        policy_row{
            "probable_replica_before_primary", {primary(3, 0), probable(replica("a", false, true, 3, 0))}, 1},
        policy_row{"satisfying_replica_before_probable_one",
                   {probable(replica("a", false, true, 3, 0)), replica("b", true, false, 3, 0)},
                   1},
        policy_row{
            "outdated_replica_is_left_out", {primary(3, 0), outdated(replica("a", true, true, 3, 0))}, 0},
        policy_row{"read_waits_for_a_busy_replica_that_satisfies_the_session",
                   {primary(3, 0), replica("a", true, true, 0, 3)},
                   std::nullopt},
        policy_row{"last_connection_of_the_primary_is_kept_for_writes", {primary(1, 3)}, std::nullopt},
        policy_row{"only_connection_to_the_primary_is_available_to_reads", {primary(1, 0)}, 0}),
    [](const auto& info) { return info.param.name; });

class primary_only_policy_fixture : public ::testing::Test
{
};

TEST_F(primary_only_policy_fixture, read_with_free_replica_goes_to_primary)
{
    EXPECT_EQ(primary_only_policy().choose({replica("a", true, true, 3, 0), primary(3, 0)}).candidate, 1U);
    EXPECT_FALSE(primary_only_policy().choose({replica("a", true, true, 3, 0)}).candidate.has_value());
}

} // namespace
} // namespace hickorymount::routing

#include "gateway/internal/probe_step.h"

#include <gtest/gtest.h>

namespace hickorymount::gateway::detail {

namespace {

using sessions::response_code;
using sessions::statement_kind;

struct probe_case
{
    bool requests_position;
    statement_kind sent;
    std::optional<response_code> code;
    bool has_status;
    int attempts;
    probe_step expected;
};

} // namespace

class probe_step_fixture : public ::testing::TestWithParam<probe_case>
{
};

TEST_P(probe_step_fixture, answer_without_a_position_is_not_reported_if_a_position_was_requested)
{
    const probe_case& probe = GetParam();
    EXPECT_EQ(
        next_probe_step(probe.requests_position, probe.sent, probe.code, probe.has_status, probe.attempts),
        probe.expected);
}

INSTANTIATE_TEST_SUITE_P(
    table, probe_step_fixture,
    ::testing::Values(
        probe_case{false, statement_kind::status, response_code::done, true, 1, probe_step::report},
        probe_case{false, statement_kind::status, response_code::busy, false, 1, probe_step::report},
        probe_case{false, statement_kind::status, std::nullopt, false, 1, probe_step::report},
        probe_case{true, statement_kind::pause, response_code::done, true, 1, probe_step::report},
        probe_case{true, statement_kind::pause, response_code::busy, false, 1, probe_step::retry},
        probe_case{true, statement_kind::pause, std::nullopt, false, 1, probe_step::retry},
        probe_case{true, statement_kind::pause, response_code::busy, false, 12, probe_step::give_up},
        probe_case{true, statement_kind::pause, response_code::read_only, false, 1,
                   probe_step::request_status},
        probe_case{true, statement_kind::status, response_code::busy, false, 1, probe_step::retry},
        probe_case{true, statement_kind::status, response_code::malformed, false, 1, probe_step::give_up}));

} // namespace hickorymount::gateway::detail

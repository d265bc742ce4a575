#include "net/byte_budget.h"

#include <gtest/gtest.h>

namespace hickorymount::net {

using connections = std::vector<connection_id>;

class byte_budget_fixture : public testing::Test
{
protected:
    [[nodiscard]] bool may_receive(connection_id connection)
    {
        return m_budget.may_receive(connection, m_now);
    }

    time_point m_now{milliseconds{1000}};
    /// Messages of others wait from 300 bytes on.
    budget_limits m_limits{400, 100, milliseconds{50}};
    byte_budget m_budget{m_limits};
};

/// Guards against a budget that counts a connection twice, or not at all once it has ended.
TEST_F(byte_budget_fixture, used_bytes_follow_changes_and_the_end_of_connections)
{
    m_budget.set_use(1, {10, 20, 30});
    m_budget.set_use(2, {0, 5, 0});
    m_budget.set_use(1, {0, 20, 0});
    EXPECT_EQ(m_budget.used_bytes(), 25U);
    m_budget.remove(1);
    m_budget.remove(2);
    m_budget.remove(2);
    EXPECT_EQ(m_budget, byte_budget{m_limits});
}

/// Guards against refusing bytes while there is room.
TEST_F(byte_budget_fixture, connection_receives_while_the_budget_has_room)
{
    m_budget.set_use(1, {99, 200, 0});
    EXPECT_TRUE(may_receive(1));
    EXPECT_TRUE(may_receive(2));
}

/// Guards against many unfinished messages that stop one another.
TEST_F(byte_budget_fixture, exhausted_budget_admits_only_the_message_that_is_nearest_its_end)
{
    m_budget.set_use(1, {90, 0, 0});
    m_budget.set_use(2, {95, 0, 0});
    m_budget.set_use(3, {80, 60, 0});
    EXPECT_FALSE(may_receive(1));
    EXPECT_TRUE(may_receive(2));
    EXPECT_FALSE(may_receive(3));
}

/// Guards against starving short statements of well-behaved callers.
TEST_F(byte_budget_fixture, connection_without_bytes_receives_until_the_whole_budget_is_used)
{
    m_budget.set_use(1, {0, 350, 0});
    EXPECT_TRUE(may_receive(2));
    m_budget.set_use(3, {0, 50, 0});
    EXPECT_FALSE(may_receive(2));
}

/// Guards against a bound that grows with the number of messages admitted one after the other.
TEST_F(byte_budget_fixture, nothing_is_received_beyond_the_budget_and_one_message)
{
    m_budget.set_use(1, {50, 0, 0});
    m_budget.set_use(2, {0, 400, 0});
    EXPECT_TRUE(may_receive(1));
    m_budget.set_use(2, {0, 450, 0});
    EXPECT_FALSE(may_receive(1));
}

/// Guards against connections that wait for ever after the budget is free again.
TEST_F(byte_budget_fixture, waiting_connections_are_admitted_once_there_is_room)
{
    m_budget.set_use(1, {10, 0, 0});
    m_budget.set_use(2, {20, 0, 0});
    m_budget.set_use(3, {30, 400, 0});
    EXPECT_FALSE(may_receive(1));
    EXPECT_FALSE(may_receive(2));
    EXPECT_TRUE(m_budget.take_admitted().empty());
    m_budget.set_use(3, {});
    EXPECT_EQ(m_budget.take_admitted(), (connections{1, 2}));
    EXPECT_FALSE(m_budget.has_waiting());
    EXPECT_TRUE(m_budget.take_admitted().empty());
}

/// Guards against closing connections of a host that is busy but whose callers do not wait.
TEST_F(byte_budget_fixture, nothing_is_closed_while_no_connection_waits)
{
    m_budget.set_use(1, {0, 390, 0});
    m_now += 10 * m_limits.wait_timeout;
    EXPECT_TRUE(m_budget.connections_to_close(m_now).empty());
}

/// Guards against an exhausted budget that lets well-behaved callers wait for ever.
TEST_F(byte_budget_fixture, heaviest_connections_are_closed_when_others_have_waited_too_long)
{
    m_budget.set_use(1, {60, 0, 0});
    m_budget.set_use(2, {10, 100, 0});
    m_budget.set_use(3, {0, 170, 0});
    EXPECT_FALSE(may_receive(2));
    EXPECT_TRUE(m_budget.connections_to_close(m_now).empty());
    m_now += m_limits.wait_timeout;
    EXPECT_EQ(m_budget.connections_to_close(m_now), connections{3});
    m_budget.remove(3);
    EXPECT_TRUE(m_budget.connections_to_close(m_now).empty());
}

/// Guards against unsent responses, which can't be held back as received bytes can.
TEST_F(byte_budget_fixture, slowest_readers_are_closed_at_once_beyond_the_whole_budget)
{
    m_budget.set_use(1, {0, 300, 10});
    m_budget.set_use(2, {0, 0, 60});
    m_budget.set_use(3, {0, 0, 40});
    EXPECT_EQ(m_budget.connections_to_close(m_now), connections{2});
    m_budget.remove(2);
    EXPECT_TRUE(m_budget.connections_to_close(m_now).empty());
}

/// Guards against responses that fill the budget while as many more arrive from servers.
TEST_F(byte_budget_fixture, slowest_readers_are_closed_at_once_beyond_half_of_the_budget)
{
    m_budget.set_use(1, {0, 0, 120});
    m_budget.set_use(2, {0, 0, 80});
    EXPECT_FALSE(m_budget.has_excess_responses());
    m_budget.set_use(2, {0, 0, 81});
    EXPECT_TRUE(m_budget.has_excess_responses());
    EXPECT_EQ(m_budget.connections_to_close(m_now), connections{1});
}

struct closing_case
{
    const char* name;
    std::map<connection_id, connection_use> uses;
    std::size_t excess_bytes;
    connections heaviest;
    connections slowest;
};

class connections_to_close_fixture : public testing::TestWithParam<closing_case>
{
};

TEST_P(connections_to_close_fixture, choice_of_connections_frees_the_excess)
{
    EXPECT_EQ(heaviest_connections(GetParam().uses, GetParam().excess_bytes), GetParam().heaviest);
    EXPECT_EQ(slowest_readers(GetParam().uses, GetParam().excess_bytes), GetParam().slowest);
}

INSTANTIATE_TEST_SUITE_P(
    cases, connections_to_close_fixture,
    testing::Values(closing_case{"no_connection", {}, 10, {}, {}},
                    closing_case{"no_excess", {{1, {1, 0, 1}}}, 0, {}, {}},
                    closing_case{"one_is_enough", {{1, {5, 0, 2}}, {2, {0, 9, 1}}}, 9, {2}, {1, 2}},
                    closing_case{"older_one_of_equals_first", {{1, {4, 0, 4}}, {2, {4, 0, 4}}}, 4, {1}, {1}},
                    closing_case{"several", {{1, {3, 0, 0}}, {2, {2, 0, 0}}, {3, {0, 0, 4}}}, 5, {3, 1}, {3}},
                    closing_case{"less_than_the_excess", {{7, {0, 1, 0}}}, 50, {7}, {}}),
    [](const testing::TestParamInfo<closing_case>& each) { return std::string(each.param.name); });

} // namespace hickorymount::net

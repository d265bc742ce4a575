#include "gateway/internal/resource_limits.h"

#include <gtest/gtest.h>

namespace hickorymount::gateway::detail {

constexpr std::size_t mebibyte = std::size_t{1} << 20;

class resource_limits_fixture : public testing::Test
{
protected:
    settings::entry_settings m_settings;
};

/// Guards against defaults that clients within the documented limits reach.
TEST_F(resource_limits_fixture, host_of_160_mb_and_4300_descriptors_takes_thousands_of_sessions)
{
    const session_limits limits = derive_session_limits(m_settings, 4300);
    EXPECT_EQ(limits.callers.max_connections, 2150U);
    EXPECT_EQ(limits.callers.budget.total_bytes, 40 * mebibyte);
    EXPECT_EQ(limits.relays.max_connections, 1343U);
    EXPECT_EQ(limits.relays.budget.total_bytes, 20 * mebibyte);
    EXPECT_LE(limits.callers.max_connections + limits.relays.max_connections, 4300U - 800U);
}

/// Guards against a budget in which no message of 1 MiB fits.
TEST_F(resource_limits_fixture, small_host_still_takes_the_longest_message)
{
    m_settings.resources.memory_mb = 1;
    const session_limits limits = derive_session_limits(m_settings, 1);
    EXPECT_EQ(limits.callers.max_connections, 1U);
    EXPECT_GT(limits.relays.budget.total_bytes, limits.relays.budget.message_bytes);
}

TEST_F(resource_limits_fixture, limits_in_the_settings_replace_the_derived_ones)
{
    m_settings.callers.max_connections = 7;
    m_settings.callers.buffer_kb = 3072;
    m_settings.relays.opening_timeout = milliseconds{5};
    const session_limits limits = derive_session_limits(m_settings, 4300);
    EXPECT_EQ(limits.callers.max_connections, 7U);
    EXPECT_EQ(limits.callers.budget.total_bytes, 3 * mebibyte);
    EXPECT_EQ(limits.relays.opening_timeout, milliseconds{5});
}

} // namespace hickorymount::gateway::detail

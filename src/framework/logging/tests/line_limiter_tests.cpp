#include "logging/internal/line_limiter.h"

#include <gtest/gtest.h>

namespace hickorymount::logging::detail {

class line_limiter_fixture : public ::testing::Test
{
protected:
    int take_all(bool is_about_request)
    {
        int taken = 0;
        while (m_limiter.take(is_about_request, m_now)) {
            ++taken;
        }
        return taken;
    }

    time_point m_now{milliseconds{10'000}};
    line_limiter m_limiter{m_now};
};

TEST_F(line_limiter_fixture, flood_of_request_lines_leaves_room_for_changes_of_state)
{
    EXPECT_EQ(take_all(true), 240);
    EXPECT_EQ(take_all(false), 60);
    EXPECT_FALSE(m_limiter.take(false, m_now));
}

TEST_F(line_limiter_fixture, lasting_flood_is_limited_to_the_sustained_rate)
{
    take_all(true);
    m_now += milliseconds{1000};
    EXPECT_EQ(take_all(true), 60);
    EXPECT_EQ(take_all(false), 60);
    m_now += milliseconds{1000};
    EXPECT_EQ(take_all(true), 0);
    EXPECT_EQ(take_all(false), 60);
}

} // namespace hickorymount::logging::detail

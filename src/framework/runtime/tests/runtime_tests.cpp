#include "runtime/call_desk.h"
#include "runtime/control_thread.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::runtime {
namespace {

constexpr int wake_event = -1;

class control_thread_fixture : public ::testing::Test
{
protected:
    /// Steps record their event; the next wake is at `m_wake_at`.
    control_thread<int> m_thread{[this](int event) { return record(event); }, [] { return wake_event; }};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<int> m_seen;
    time_point m_wake_at = time_point::max();

    time_point record(int event)
    {
        const std::lock_guard lock(m_mutex);
        m_seen.push_back(event);
        m_changed.notify_all();
        return m_wake_at;
    }

    bool has_seen(int event)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, std::chrono::seconds(10), [&] {
            return std::find(m_seen.begin(), m_seen.end(), event) != m_seen.end();
        });
    }
};

TEST_F(control_thread_fixture, thread_without_a_wake_time_takes_only_what_is_posted)
{
    m_thread.post(1);
    m_thread.start();
    ASSERT_TRUE(has_seen(1));
    std::this_thread::sleep_for(milliseconds{50});
    m_thread.post(2);
    ASSERT_TRUE(has_seen(2));
    m_thread.stop();
    const long wakes = std::count(m_seen.begin(), m_seen.end(), wake_event);
    // The first wake time is the clock's beginning.
    EXPECT_LE(wakes, 1);
}

TEST_F(control_thread_fixture, thread_wakes_when_its_time_has_come)
{
    m_wake_at = millisecond_clock::now() + milliseconds{20};
    m_thread.post(1);
    m_thread.start();
    EXPECT_TRUE(has_seen(wake_event));
    m_thread.stop();
}

TEST_F(control_thread_fixture, events_of_one_poster_keep_their_order)
{
    for (int event = 1; event <= 1000; ++event) {
        m_thread.post(event);
    }
    m_thread.start();
    ASSERT_TRUE(has_seen(1000));
    m_thread.stop();
    std::erase(m_seen, wake_event);
    EXPECT_TRUE(std::is_sorted(m_seen.begin(), m_seen.end()));
    EXPECT_EQ(m_seen.size(), 1000U);
}

class call_desk_fixture : public ::testing::Test
{
protected:
    call_desk<int> m_desk;
};

TEST_F(call_desk_fixture, answer_reaches_the_call_it_belongs_to)
{
    const std::uint64_t one = m_desk.open();
    const std::uint64_t other = m_desk.open();
    m_desk.answer(other, 2);
    m_desk.answer(one, 1);
    EXPECT_EQ(m_desk.wait(one, milliseconds{1000}), 1);
    EXPECT_EQ(m_desk.wait(other, milliseconds{1000}), 2);
    EXPECT_EQ(m_desk.size(), 0U);
}

TEST_F(call_desk_fixture, answer_after_the_wait_is_dropped)
{
    const std::uint64_t late = m_desk.open();
    EXPECT_FALSE(m_desk.wait(late, milliseconds{1}).has_value());
    m_desk.answer(late, 1);
    EXPECT_EQ(m_desk.size(), 0U);
}

} // namespace
} // namespace hickorymount::runtime

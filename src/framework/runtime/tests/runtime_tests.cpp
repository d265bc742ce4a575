#include "runtime/control_thread.h"
#include "runtime/pending_calls.h"
#include "runtime/worker_pool.h"

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
    /// The step records its event and returns `m_wake_at` as the next wake time.
    control_thread<int> m_thread{[this](int event) { return record(event); }, [] { return wake_event; }};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<int> m_received;
    time_point m_wake_at = time_point::max();

    time_point record(int event)
    {
        const std::lock_guard lock(m_mutex);
        m_received.push_back(event);
        m_changed.notify_all();
        return m_wake_at;
    }

    bool has_received(int event)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, std::chrono::seconds(10), [&] {
            return std::find(m_received.begin(), m_received.end(), event) != m_received.end();
        });
    }
};

TEST_F(control_thread_fixture, thread_without_a_wake_time_receives_only_posted_events)
{
    m_thread.post(1);
    m_thread.start();
    ASSERT_TRUE(has_received(1));
    std::this_thread::sleep_for(milliseconds{50});
    m_thread.post(2);
    ASSERT_TRUE(has_received(2));
    m_thread.stop();
    const long wakes = std::count(m_received.begin(), m_received.end(), wake_event);
    // The initial wake time is the clock's epoch, which may cause one wake event.
    EXPECT_LE(wakes, 1);
}

TEST_F(control_thread_fixture, thread_with_a_wake_time_receives_a_wake_event)
{
    m_wake_at = millisecond_clock::now() + milliseconds{20};
    m_thread.post(1);
    m_thread.start();
    EXPECT_TRUE(has_received(wake_event));
    m_thread.stop();
}

TEST_F(control_thread_fixture, events_of_one_poster_keep_their_order)
{
    for (int event = 1; event <= 1000; ++event) {
        m_thread.post(event);
    }
    m_thread.start();
    ASSERT_TRUE(has_received(1000));
    m_thread.stop();
    std::erase(m_received, wake_event);
    EXPECT_TRUE(std::is_sorted(m_received.begin(), m_received.end()));
    EXPECT_EQ(m_received.size(), 1000U);
}

class pending_calls_fixture : public ::testing::Test
{
protected:
    pending_calls<int> m_calls;
};

TEST_F(pending_calls_fixture, answer_with_call_number_reaches_that_call)
{
    const std::uint64_t first = m_calls.register_call();
    const std::uint64_t second = m_calls.register_call();
    m_calls.complete(second, 2);
    m_calls.complete(first, 1);
    EXPECT_EQ(m_calls.wait(first, milliseconds{1000}), 1);
    EXPECT_EQ(m_calls.wait(second, milliseconds{1000}), 2);
    EXPECT_EQ(m_calls.size(), 0U);
}

TEST_F(pending_calls_fixture, answer_after_the_timeout_is_dropped)
{
    const std::uint64_t timed_out = m_calls.register_call();
    EXPECT_FALSE(m_calls.wait(timed_out, milliseconds{1}).has_value());
    m_calls.complete(timed_out, 1);
    EXPECT_EQ(m_calls.size(), 0U);
}

class worker_pool_fixture : public ::testing::Test
{
protected:
    static constexpr unsigned max_threads = 3;

    /// Posts jobs that all wait until `m_may_end` is set, and waits until `expected` of them run.
    void run_blocked_jobs(int posted, int expected)
    {
        for (int at = 0; at < posted; ++at) {
            m_pool.post([this] {
                std::unique_lock lock(m_mutex);
                ++m_running;
                m_changed.notify_all();
                m_changed.wait(lock, [this] { return m_may_end; });
            });
        }
        std::unique_lock lock(m_mutex);
        ASSERT_TRUE(
            m_changed.wait_for(lock, std::chrono::seconds(10), [&] { return m_running == expected; }));
    }

    void end_jobs()
    {
        const std::lock_guard lock(m_mutex);
        m_may_end = true;
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_running = 0;
    bool m_may_end = false;
    worker_pool m_pool{max_threads};
};

TEST_F(worker_pool_fixture, pool_without_jobs_has_no_threads)
{
    EXPECT_EQ(m_pool.thread_count(), 0U);
}

TEST_F(worker_pool_fixture, blocked_jobs_get_a_thread_each_up_to_the_limit)
{
    run_blocked_jobs(2, 2);
    EXPECT_EQ(m_pool.thread_count(), 2U);
    run_blocked_jobs(3, max_threads);
    EXPECT_EQ(m_pool.thread_count(), max_threads);
    end_jobs();
}

} // namespace
} // namespace hickorymount::runtime

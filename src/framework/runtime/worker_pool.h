#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace hickorymount::runtime {

/// Thread pool for jobs that block. A thread is started when a job is posted and all others are busy, up to a
/// limit.
class worker_pool
{
public:
    using job = std::function<void()>;

    explicit worker_pool(unsigned max_threads) : m_max_threads(max_threads) {}
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;
    ~worker_pool() { stop(); }

    void post(job work)
    {
        const std::lock_guard lock(m_mutex);
        if (m_is_stopping) {
            return;
        }
        m_jobs.push_back(std::move(work));
        if (m_jobs.size() > m_idle_threads && m_threads.size() < m_max_threads) {
            m_threads.emplace_back([this] { run(); });
        }
        m_posted.notify_one();
    }

    /// The number of threads that have been started.
    [[nodiscard]] std::size_t thread_count() const
    {
        const std::lock_guard lock(m_mutex);
        return m_threads.size();
    }

    /// Waits for the running jobs and discards the queued ones.
    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_is_stopping = true;
            m_posted.notify_all();
        }
        for (std::thread& each : m_threads) {
            if (each.joinable()) {
                each.join();
            }
        }
    }

private:
    void run()
    {
        for (;;) {
            job work;
            {
                std::unique_lock lock(m_mutex);
                ++m_idle_threads;
                m_posted.wait(lock, [this] { return m_is_stopping || !m_jobs.empty(); });
                --m_idle_threads;
                if (m_is_stopping) {
                    return;
                }
                work = std::move(m_jobs.front());
                m_jobs.pop_front();
            }
            work();
        }
    }

    unsigned m_max_threads;
    mutable std::mutex m_mutex;
    std::condition_variable m_posted;
    std::deque<job> m_jobs;
    std::size_t m_idle_threads = 0;
    bool m_is_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace hickorymount::runtime

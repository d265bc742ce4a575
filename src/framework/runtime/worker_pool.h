#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace hickorymount::runtime {

/// Thread pool for jobs that block.
class worker_pool
{
public:
    using job = std::function<void()>;

    explicit worker_pool(unsigned threads)
    {
        for (unsigned index = 0; index < threads; ++index) {
            m_threads.emplace_back([this] { run(); });
        }
    }
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;
    ~worker_pool() { stop(); }

    void post(job work)
    {
        const std::lock_guard lock(m_mutex);
        m_jobs.push_back(std::move(work));
        m_posted.notify_one();
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
                m_posted.wait(lock, [this] { return m_is_stopping || !m_jobs.empty(); });
                if (m_is_stopping) {
                    return;
                }
                work = std::move(m_jobs.front());
                m_jobs.pop_front();
            }
            work();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_posted;
    std::deque<job> m_jobs;
    bool m_is_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace hickorymount::runtime

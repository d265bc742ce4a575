#pragma once

#include "base/millisecond_clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <utility>

namespace hickorymount::runtime {

/// Runs a job repeatedly on a thread, with a pause between runs that `wake` ends early.
class periodic_thread
{
public:
    periodic_thread(milliseconds pause, std::function<void()> job) : m_pause(pause), m_job(std::move(job)) {}
    periodic_thread(const periodic_thread&) = delete;
    periodic_thread& operator=(const periodic_thread&) = delete;
    ~periodic_thread() { stop(); }

    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

    /// Runs the job without waiting for the pause to end; a running job runs once more.
    void wake()
    {
        const std::lock_guard lock(m_mutex);
        m_is_woken = true;
        m_changed.notify_one();
    }

    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_is_stopping = true;
            m_changed.notify_one();
        }
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    void run()
    {
        for (;;) {
            {
                std::unique_lock lock(m_mutex);
                m_changed.wait_for(lock, m_pause, [this] { return m_is_stopping || m_is_woken; });
                if (m_is_stopping) {
                    return;
                }
                m_is_woken = false;
            }
            m_job();
        }
    }

    milliseconds m_pause;
    std::function<void()> m_job;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_is_woken = false;
    bool m_is_stopping = false;
    std::thread m_thread;
};

} // namespace hickorymount::runtime

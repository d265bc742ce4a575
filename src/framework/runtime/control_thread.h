#pragma once

#include "base/millisecond_clock.h"

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace hickorymount::runtime {

/// The thread that owns the control state of a process. Other threads post events. `step` reduces one event,
/// executes its effects without blocking, and returns the time of the next wake event.
template <class Event>
class control_thread
{
public:
    using step_function = std::function<time_point(Event)>;
    using wake_function = std::function<Event()>;

    control_thread(step_function step, wake_function make_wake_event)
        : m_step(std::move(step)), m_make_wake_event(std::move(make_wake_event))
    {
    }
    control_thread(const control_thread&) = delete;
    control_thread& operator=(const control_thread&) = delete;
    ~control_thread() { stop(); }

    void start()
    {
        m_thread = std::thread([this] { run(); });
    }

    /// Queues an event. Safe to call from any thread; has no effect after `stop`.
    void post(Event event)
    {
        const std::lock_guard lock(m_mutex);
        const bool was_idle = m_events.empty();
        m_events.push_back(std::move(event));
        if (was_idle) {
            m_posted.notify_one();
        }
    }

    /// Stops the thread after the events that it has taken from the queue. Must not be called on the thread
    /// itself.
    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_is_stopping = true;
            m_posted.notify_one();
        }
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    static constexpr milliseconds max_wait{3'600'000};

    void run()
    {
        while (auto events = wait()) {
            for (Event& event : *events) {
                m_wake_at = m_step(std::move(event));
            }
        }
    }

    /// Returns the posted events, with a wake event when its time is reached; nothing after `stop`.
    std::optional<std::vector<Event>> wait()
    {
        std::unique_lock lock(m_mutex);
        // The condition variable counts in nanoseconds, which a later time would overflow.
        const milliseconds wait = std::min<milliseconds>(m_wake_at - millisecond_clock::now(), max_wait);
        const auto deadline = std::chrono::steady_clock::now() + wait;
        m_posted.wait_until(lock, deadline, [this] { return m_is_stopping || !m_events.empty(); });
        if (m_is_stopping) {
            return std::nullopt;
        }
        std::vector<Event> events;
        events.swap(m_events);
        if (millisecond_clock::now() >= m_wake_at) {
            events.push_back(m_make_wake_event());
        }
        return events;
    }

    step_function m_step;
    wake_function m_make_wake_event;
    std::mutex m_mutex;
    std::condition_variable m_posted;
    std::vector<Event> m_events;
    bool m_is_stopping = false;
    time_point m_wake_at{};
    std::thread m_thread;
};

} // namespace hickorymount::runtime

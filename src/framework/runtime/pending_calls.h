#pragma once

#include "base/millisecond_clock.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace hickorymount::runtime {

/// Calls whose traffic threads wait for an answer of the control thread. Safe to use from any thread.
template <class Answer>
class pending_calls
{
public:
    /// Registers a call and returns its number. To be called before the call's event is posted.
    std::uint64_t register_call()
    {
        const std::lock_guard lock(m_mutex);
        const std::uint64_t number = ++m_last_number;
        m_slots.emplace(number, std::make_shared<slot>());
        return number;
    }

    /// Waits for the call's answer and removes the call. Returns nothing on a timeout.
    std::optional<Answer> wait(std::uint64_t number, milliseconds timeout)
    {
        std::unique_lock lock(m_mutex);
        const auto found = m_slots.find(number);
        if (found == m_slots.end()) {
            return std::nullopt;
        }
        const std::shared_ptr<slot> pending = found->second;
        pending->answered.wait_for(lock, timeout, [&] { return pending->answer.has_value(); });
        m_slots.erase(number);
        return std::move(pending->answer);
    }

    /// Passes the answer to the waiting thread; drops it when the call is no longer registered.
    void complete(std::uint64_t number, Answer received)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_slots.find(number);
        if (found != m_slots.end()) {
            found->second->answer = std::move(received);
            found->second->answered.notify_one();
        }
    }

    /// Number of registered calls.
    std::size_t size()
    {
        const std::lock_guard lock(m_mutex);
        return m_slots.size();
    }

private:
    struct slot
    {
        std::condition_variable answered;
        std::optional<Answer> answer;
    };

    std::mutex m_mutex;
    std::uint64_t m_last_number = 0;
    std::map<std::uint64_t, std::shared_ptr<slot>> m_slots;
};

} // namespace hickorymount::runtime

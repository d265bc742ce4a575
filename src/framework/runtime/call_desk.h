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

/// Lets traffic threads wait for the control thread's answers.
template <class Answer>
class call_desk
{
public:
    /// Registers a call before its event is posted.
    std::uint64_t open()
    {
        const std::lock_guard lock(m_mutex);
        const std::uint64_t number = ++m_last;
        m_slots.emplace(number, std::make_shared<slot>());
        return number;
    }

    /// Waits for the call's answer; nothing when it did not come in time. Ends the call.
    std::optional<Answer> wait(std::uint64_t number, milliseconds timeout)
    {
        std::unique_lock lock(m_mutex);
        const auto found = m_slots.find(number);
        if (found == m_slots.end()) {
            return std::nullopt;
        }
        const std::shared_ptr<slot> waiting = found->second;
        waiting->answered.wait_for(lock, timeout, [&] { return waiting->answer.has_value(); });
        m_slots.erase(number);
        return std::move(waiting->answer);
    }

    void answer(std::uint64_t number, Answer content)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_slots.find(number);
        if (found != m_slots.end()) {
            found->second->answer = std::move(content);
            found->second->answered.notify_one();
        }
    }

    /// Calls that wait now.
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
    std::uint64_t m_last = 0;
    std::map<std::uint64_t, std::shared_ptr<slot>> m_slots;
};

} // namespace hickorymount::runtime

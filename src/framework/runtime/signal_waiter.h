#pragma once

#include "base/millisecond_clock.h"

#include <csignal>
#include <ctime>

#include <pthread.h>

namespace hickorymount::runtime {

enum class signal_request
{
    none,
    stop,
    /// The settings may have changed.
    reload
};

/// Blocks SIGTERM, SIGINT and SIGHUP in the current thread and the threads that it starts, so that one thread
/// can wait for them. Also ignores SIGPIPE, so that writes to a closed connection return an error.
class signal_waiter
{
public:
    signal_waiter()
    {
        sigemptyset(&m_set);
        sigaddset(&m_set, SIGTERM);
        sigaddset(&m_set, SIGINT);
        sigaddset(&m_set, SIGHUP);
        pthread_sigmask(SIG_BLOCK, &m_set, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
    }

    /// Waits for SIGTERM or SIGINT.
    void wait_for_stop() const
    {
        int signal = 0;
        do {
            sigwait(&m_set, &signal);
        } while (signal == SIGHUP);
    }

    /// Waits for a signal. Returns `none` after `timeout`.
    [[nodiscard]] signal_request wait_for(milliseconds timeout) const
    {
        constexpr std::int64_t nanoseconds_in_millisecond = 1'000'000;
        constexpr std::int64_t milliseconds_in_second = 1000;
        const timespec wait{timeout.count() / milliseconds_in_second,
                            timeout.count() % milliseconds_in_second * nanoseconds_in_millisecond};
        switch (sigtimedwait(&m_set, nullptr, &wait)) {
        case SIGTERM:
        case SIGINT:
            return signal_request::stop;
        case SIGHUP:
            return signal_request::reload;
        default:
            return signal_request::none;
        }
    }

private:
    sigset_t m_set{};
};

} // namespace hickorymount::runtime

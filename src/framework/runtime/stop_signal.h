#pragma once

#include <csignal>

#include <pthread.h>

namespace hickorymount::runtime {

/// Blocks SIGTERM and SIGINT in this thread and those it starts, so that one place can wait for them.
/// Also ignores SIGPIPE: a closed connection is an error of its call.
class stop_signal
{
public:
    stop_signal()
    {
        sigemptyset(&m_set);
        sigaddset(&m_set, SIGTERM);
        sigaddset(&m_set, SIGINT);
        pthread_sigmask(SIG_BLOCK, &m_set, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
    }

    /// Returns when the process is asked to stop.
    void wait() const
    {
        int signal = 0;
        sigwait(&m_set, &signal);
    }

private:
    sigset_t m_set{};
};

} // namespace hickorymount::runtime

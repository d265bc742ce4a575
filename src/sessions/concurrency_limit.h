#pragma once

#include "base/millisecond_clock.h"

#include <cstdint>

namespace hickorymount::sessions::detail {

/// Bounds of the number of unanswered statements that this host keeps at one server.
inline constexpr double min_in_flight = 1;
inline constexpr double max_in_flight = 24;
/// Refusals within this interval count as one sign of a full queue. A response from another region takes half
/// of it.
inline constexpr milliseconds decrease_interval{50};

} // namespace hickorymount::sessions::detail

namespace hickorymount::sessions {

/// Adaptive limit on the unanswered statements that this host keeps at one server, decreased by queueing and
/// refusals and increased by responses. Without a limit, hosts that overload a server together keep its queue
/// full: their statements are refused and retried repeatedly, and the accepted ones are not the most
/// important. With the limit, each host queues its statements itself and sends only as many as keep the slots
/// busy.
struct concurrency_limit
{
    double allowed = 4;
    time_point decreased_at{};

    friend bool operator==(const concurrency_limit&, const concurrency_limit&) = default;
};

/// How long statements wait for a slot of the server, and for how long they occupy one.
struct queueing_signal
{
    double queueing_ms = 0;
    double service_ms = 0;
    /// Time from sending a statement to its response.
    double response_ms = 0;

    friend bool operator==(const queueing_signal&, const queueing_signal&) = default;
};

/// Decreases the limit after the server refused a statement because its queue was full.
concurrency_limit after_refusal(const concurrency_limit& limit, std::uint32_t in_flight, time_point now);
/// Decreases the limit after a response if statements wait too long for a slot; otherwise increases it, if it
/// was reached.
concurrency_limit after_answer(const concurrency_limit& limit, std::uint32_t in_flight,
                               const queueing_signal& signal, time_point now);
/// True when one more statement may be sent to the server.
bool may_send(const concurrency_limit& limit, std::uint32_t in_flight);

} // namespace hickorymount::sessions

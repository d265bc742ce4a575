#pragma once

#include "base/millisecond_clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace hickorymount::sessions {

/// Kinds of statement whose response times differ by what the server does for them.
enum class work_kind : std::uint8_t
{
    read,
    /// A statement of a transaction that writes.
    write,
    /// A commit or a single write, which may wait for replicas.
    commit
};

inline constexpr std::size_t work_kind_count = 3;

/// What a response to one kind of statement takes without queueing.
struct work_time
{
    /// Average of the response times that rises slowly and falls quickly.
    double base_ms = 0;
    /// Number of responses, as far as it matters.
    std::uint32_t responses = 0;
    time_point responded_at{};

    friend bool operator==(const work_time&, const work_time&) = default;
};

/// Response times of one server, or of one entry host that runs statements for this one, as measured here.
struct response_times
{
    /// Fastest exchange of the current period, and of the one before. They bound the round trip of the
    /// network.
    std::optional<double> fastest_ms;
    std::optional<double> previous_fastest_ms;
    time_point period_began_at{};
    std::array<work_time, work_kind_count> work{};
    /// Moving average of the time by which responses exceed the base of their kind. Commits do not count:
    /// they may wait for replicas.
    double queueing_ms = 0;
    time_point queueing_measured_at{};
    /// Moving average of the response time of all kinds.
    double response_ms = 0;
    time_point responded_at{};
    /// Moving average of the response time of reads, and when the last one arrived.
    double read_response_ms = 0;
    time_point read_at{};

    friend bool operator==(const response_times&, const response_times&) = default;
};

/// Records the time that opening a connection took: two round trips and the server's work for it.
response_times after_opening(const response_times& times, milliseconds took, time_point now);
/// Records the response time of one of the proxy's internal statements.
response_times after_exchange(const response_times& times, milliseconds took, time_point now);
/// Records the response time of a caller's statement that the server executed.
response_times after_statement(const response_times& times, work_kind kind, milliseconds took,
                               time_point now);

/// Upper bound of the network's round trip; empty before the first exchange.
std::optional<double> round_trip_ms(const response_times& times);
/// Time for which a statement of the kind occupies a slot; empty before the first one was executed.
std::optional<double> service_ms(const response_times& times, work_kind kind);
/// Time that a statement sent now waits for a slot. The measurement loses weight with age, so that a server
/// that gets no statements because of it is tried again.
double queueing_ms(const response_times& times, time_point now);
/// Response time of a statement sent now; loses weight with age as well.
double response_ms(const response_times& times, time_point now);
/// Recent response time of reads without the round trip; empty if there were none lately.
std::optional<double> recent_read_ms(const response_times& times, time_point now);

} // namespace hickorymount::sessions

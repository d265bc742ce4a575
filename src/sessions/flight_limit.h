#pragma once

#include "base/millisecond_clock.h"

#include <cstdint>

namespace hickorymount::sessions::detail {

/// Least and most statements that this host keeps under way at one server.
inline constexpr double least_in_flight = 1;
inline constexpr double most_in_flight = 24;
/// Refusals that come together are one sign of a full queue; an answer from another region takes half of
/// this.
inline constexpr milliseconds lowering_pause{50};

} // namespace hickorymount::sessions::detail

namespace hickorymount::sessions {

/// How many statements this host keeps under way at one server, whose queue it shares with others that it
/// does not see. Answers to: more work than a server can do, sent by many hosts at once. Its queue stays
/// full, each host's statements are refused and sent again over and over, and those that get in are not the
/// ones that should; so hosts keep their work in their own lines, and send as much as is taken.
struct flight_limit
{
    double allowed = 8;
    time_point lowered_at{};

    friend bool operator==(const flight_limit&, const flight_limit&) = default;
};

/// The server's queue was full.
flight_limit after_refusal(const flight_limit& limit, std::uint32_t in_flight, time_point now);
/// The server took and answered a statement.
flight_limit after_answer(const flight_limit& limit, std::uint32_t in_flight);
bool may_send(const flight_limit& limit, std::uint32_t in_flight);

} // namespace hickorymount::sessions

#pragma once

#include "base/millisecond_clock.h"

#include <optional>

namespace hickorymount::sessions {

/// How fast the statements of one kind are finished while some of them wait. Without waiting ones, the rate
/// of finished statements is the callers' demand and says nothing about the servers.
struct drain_rate
{
    /// Finished statements and observed time, with exponentially decreasing weight of earlier ones.
    double finished = 0;
    double observed_ms = 0;
    time_point observed_at{};
    /// Of the last finished statement, or of the first one that waited.
    time_point finished_at{};

    friend bool operator==(const drain_rate&, const drain_rate&) = default;
};

/// Adds the time since the last observation if statements were waiting all the time. Nothing is added while
/// the primary can't be used, or is being replaced: its rate before the change is the best estimate of the
/// one after it.
drain_rate after_time(const drain_rate& rate, time_point now, bool were_waiting, bool is_paused);
/// Adds a statement that a server has finished while others were waiting.
drain_rate after_finished_statement(const drain_rate& rate, time_point now);
/// Finished statements per second; nothing while too little is known.
std::optional<double> per_second(const drain_rate& rate);

/// The drain rates of one group.
struct group_drain
{
    drain_rate of_primary;
    /// Of statements that any server can run.
    drain_rate of_reads;
    bool was_waiting_for_primary = false;
    bool were_reads_waiting = false;

    friend bool operator==(const group_drain&, const group_drain&) = default;
};

} // namespace hickorymount::sessions

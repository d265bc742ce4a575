#pragma once

#include "base/millisecond_clock.h"

#include <optional>

namespace hickorymount::sessions::detail {

/// What is known about the wait of a queued statement.
struct expected_wait
{
    /// Queued statements that precede it and need the same servers.
    double ahead = 0;
    /// Statements of this kind that are finished per second; nothing if it isn't known.
    std::optional<double> drained_per_second;

    friend bool operator==(const expected_wait&, const expected_wait&) = default;
};

/// True if the statement may still be answered in the remaining time; otherwise it is refused at once instead
/// of waiting in vain. The estimate has to be wrong by half before a statement is refused that would have
/// been answered: a refusal in vain loses a response, and a wait in vain only time.
bool may_be_answered(const expected_wait& wait, milliseconds remaining);

} // namespace hickorymount::sessions::detail

#pragma once

#include "base/millisecond_clock.h"

namespace hickorymount::logging::detail {

/// Limits the rate of log lines. Lines about single requests leave a part of the allowance to all others, so
/// that a flood of refusals does not hide a change of state.
class line_limiter
{
public:
    explicit line_limiter(time_point now);

    /// Takes one line from the allowance. Returns false, and takes nothing, if too little is left.
    bool take(bool is_about_request, time_point now);

private:
    double m_available_lines;
    time_point m_refilled_at;
};

} // namespace hickorymount::logging::detail

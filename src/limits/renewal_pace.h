#pragma once

#include "base/millisecond_clock.h"

namespace hickorymount::limits {

/// Limits the early renewals of an entry host, each of which is a message with all its customers. A token
/// bucket: three a second, four at once, and no two requests within 100 ms.
class renewal_pace
{
public:
    /// Returns when the lease is to be renewed: earlier than at `renew_at` if that is possible, which counts.
    time_point advance(time_point renew_at, time_point now, time_point last_request_at);

    friend bool operator==(const renewal_pace&, const renewal_pace&) = default;

private:
    double m_tokens = 4;
    time_point m_refilled_at{};
};

} // namespace hickorymount::limits

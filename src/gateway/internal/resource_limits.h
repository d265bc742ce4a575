#pragma once

#include "gateway/internal/session_gate.h"
#include "settings/types.h"

#include <cstddef>

namespace hickorymount::gateway::detail {

/// Limits of an entry host's ports for sessions.
struct session_limits
{
    port_limits callers{};
    port_limits relays{};

    friend bool operator==(const session_limits&, const session_limits&) = default;
};

/// The smaller of the descriptors in the settings and those that the system allows the process.
std::size_t usable_descriptors(const settings::host_resources& resources);

/// Limits from the settings; those that are not set follow from the host's memory and `descriptors`. Callers
/// get a quarter of the memory and half of the descriptors, relays an eighth and 5/16. The rest is left for
/// connections to servers, relays and control, for files, and for the state of the process.
session_limits derive_session_limits(const settings::entry_settings& settings, std::size_t descriptors);

/// Largest number of connections that a control host accepts from other hosts of the system: half of the
/// descriptors.
std::size_t max_link_connections(std::size_t descriptors);

} // namespace hickorymount::gateway::detail

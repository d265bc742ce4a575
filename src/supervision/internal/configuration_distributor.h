#pragma once

#include "supervision/internal/supervision_context.h"

namespace hickorymount::supervision::detail {

/// Sends the newest configuration to the entry hosts: the changes to the version that each has reported, one
/// update at a time, with pauses that leave half of a host's link to other messages.
class configuration_distributor
{
public:
    explicit configuration_distributor(supervision_context& context);

    /// Records the current configuration after an election or a change.
    void record_current();

    /// Sends the current configuration to the entry hosts that lack it and have no update in transit.
    void send_due_updates();

private:
    [[nodiscard]] bool is_due(const entry_status& status) const;
    [[nodiscard]] configuration::configuration_version base_for(const entry_status& status) const;
    shared_value<configuration::configuration_difference>
    difference_from(configuration::configuration_version base);
    void remove_unused_versions();

    supervision_context& m_context;
};

} // namespace hickorymount::supervision::detail

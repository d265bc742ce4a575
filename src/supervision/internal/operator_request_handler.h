#pragma once

#include "supervision/internal/failover_manager.h"
#include "supervision/internal/lease_manager.h"
#include "supervision/internal/supervision_context.h"

namespace hickorymount::supervision::detail {

/// Handles operator requests: configuration, planned changes of primary, and the status.
class operator_request_handler
{
public:
    operator_request_handler(supervision_context& context, const lease_manager& leases,
                             failover_manager& failover);

    void handle(const configuration_change_requested& request);
    void handle(const configuration_replacement_requested& request);
    void handle(const primary_switch_requested& request);
    void handle(const status_requested& request);
    void handle(const configuration_requested& request);

    /// Handles the result of a configuration change: a conflict is answered at once, an accepted change when
    /// the version is in force.
    void handle(const operator_sender& caller, const directory::change_answer& answer);
    /// Answers at once, since the version is committed; entry hosts get it without the operator waiting.
    void answer_replacement(const operator_sender& caller, const directory::change_answer& answer);

    /// Answers the configuration reads for which a majority has confirmed the leader since their arrival.
    void answer_configuration_reads();
    /// Refuses all pending requests when this host stops leading.
    void refuse_pending_requests();

    /// Answers the changes that are in force on every live entry host or whose wait has timed out.
    void answer_changes_in_force();

private:
    void refuse(std::uint64_t request, const std::string& reason);
    [[nodiscard]] std::vector<host_name>
    hosts_below_version(configuration::configuration_version version) const;
    [[nodiscard]] status_summary summary() const;

    supervision_context& m_context;
    const lease_manager& m_leases;
    failover_manager& m_failover;
};

} // namespace hickorymount::supervision::detail

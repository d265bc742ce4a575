#pragma once

#include "supervision/internal/lease_keeper.h"
#include "supervision/internal/primary_changer.h"
#include "supervision/internal/supervision_step.h"

namespace hickorymount::supervision::detail {

/// Answers operators: changes of configuration, planned changes of primary, and the status.
class operator_desk
{
public:
    operator_desk(supervision_step& step, const lease_keeper& leases, primary_changer& changer);

    void handle(const configuration_asked& asked);
    void handle(const replacement_asked& asked);
    void handle(const switch_asked& asked);
    void handle(const status_asked& asked);
    void handle(const configuration_shown& asked);

    /// The change was agreed on or refused.
    void handle(const operator_caller& caller, const directory::change_answer& answer);
    /// Answers at once: the version is committed, and the entry hosts have been told.
    void answer_replacement(const operator_caller& caller, const directory::change_answer& answer);

    /// Answers readings that a majority has confirmed by now.
    void answer_readings();
    /// Answers everyone who still waits, when this host stops leading.
    void refuse_waiting();

    /// Answers those whose change is in force on every live entry host, or who have waited long enough.
    void answer_in_force();

private:
    void refuse(std::uint64_t request, const std::string& reason);
    [[nodiscard]] std::vector<host_name> hosts_behind(configuration::configuration_version version) const;
    [[nodiscard]] status_summary summary() const;

    supervision_step& m_step;
    const lease_keeper& m_leases;
    primary_changer& m_changer;
};

} // namespace hickorymount::supervision::detail

#pragma once

#include "routing/internal/connection_keeper.h"
#include "routing/internal/entry_step.h"

namespace hickorymount::routing::detail {

/// Keeps this entry host's lease, and passes its reports on to control.
class lease_holder
{
public:
    lease_holder(entry_step& step, connection_keeper& connections);

    void handle(const host_name& from, const protocol::lease_grant& grant);
    void handle(const host_name& from, const protocol::not_leader& answer);
    void connected(const host_name& host);

    void add_control_hosts(const std::vector<host_name>& hosts);
    void pass_time();
    /// Asks for the lease at once, so that control learns what this entry host has taken over.
    void renew();
    /// Renews within `confirmation_jitter`, each host at a moment of its own.
    void renew_soon();
    void give_back();

    void note_report(const protocol::server_report& report);
    void end_shares_not_granted(const protocol::lease_grant& grant);
    void send_reports();
    void forget_control_hosts(const std::vector<host_name>& voters);

private:
    entry_step& m_step;
    connection_keeper& m_connections;
};

} // namespace hickorymount::routing::detail

#pragma once

#include "routing/internal/connection_pools.h"
#include "routing/internal/event_context.h"

namespace hickorymount::routing::detail {

/// Obtains and renews the lease of this entry host, and forwards reports of backend servers to control.
class lease_client
{
public:
    lease_client(event_context& context, connection_pools& connections);

    void handle(const host_name& from, const protocol::lease_grant& grant);
    void handle(const host_name& from, const protocol::not_leader& answer);
    void on_connected(const host_name& host);

    void add_control_hosts(const std::vector<host_name>& hosts);
    void on_time_passed();
    /// Requests the lease now; the request also tells control the revision and version that this entry host
    /// has.
    void renew();
    /// Renews within `confirmation_jitter`, after a delay that depends on the name of the host.
    void schedule_early_renewal();
    /// Renews now unless there were several early renewals recently: a customer needs a larger quota.
    void renew_for_quota();
    /// Ends the lease. No later grant counts, and no lease is requested again.
    void release();

    void queue_report(const protocol::server_report& report);
    void revoke_missing_shares(const protocol::lease_grant& grant);
    void send_reports();
    void prune_control_hosts(const std::vector<host_name>& voters);

private:
    void apply_quotas(const host_name& from, const protocol::lease_grant& grant, time_point sent_at);
    void request_lost_view(const host_name& from, const protocol::lease_grant& grant);

    event_context& m_context;
    connection_pools& m_connections;
};

} // namespace hickorymount::routing::detail

#pragma once

#include "routing/internal/connection_pools.h"
#include "routing/internal/event_context.h"
#include "routing/internal/lease_client.h"
#include "routing/internal/request_processor.h"

namespace hickorymount::routing::detail {

/// Applies updates of groups and configuration from control, and the reports of backend servers.
class view_tracker
{
public:
    view_tracker(event_context& context, connection_pools& connections, lease_client& lease,
                 request_processor& requests);

    void handle(const host_name& from, const protocol::view_update& update);
    void handle(const host_name& from, const protocol::configuration_update& update);
    void handle(const host_name& from, const protocol::close_term_request& order);
    void handle(const host_name& from, const protocol::resume_term_request& order);
    void handle(const host_name& from, const protocol::server_reports& forwarded);
    void apply_report(const protocol::server_report& report);
    /// Confirms closed terms to control once this entry host acknowledges no more of their writes.
    void confirm_closed_terms();

    /// Confirms holds without writes in flight, and ends holds that last `max_hold_duration`.
    void update_holds();
    void remove_silent_servers();

private:
    void apply_group(const protocol::group_view& view);
    void close_term(const group_name& name, group_term term);
    void remove_server(const backend_server_name& name, const server_state& server);
    [[nodiscard]] bool have_sessions_finished(const group_name& name, group_term held_term) const;

    event_context& m_context;
    connection_pools& m_connections;
    lease_client& m_lease;
    request_processor& m_requests;
};

} // namespace hickorymount::routing::detail

#pragma once

#include "routing/internal/connection_keeper.h"
#include "routing/internal/entry_step.h"
#include "routing/internal/lease_holder.h"
#include "routing/internal/request_desk.h"

namespace hickorymount::routing::detail {

/// Follows control's view of groups and configuration, and the reports of backend servers.
class view_keeper
{
public:
    view_keeper(entry_step& step, connection_keeper& connections, lease_holder& lease,
                request_desk& requests);

    void handle(const host_name& from, const protocol::view_update& update);
    void handle(const host_name& from, const protocol::close_order& order);
    void handle(const host_name& from, const protocol::resume_order& order);
    void handle(const host_name& from, const protocol::server_reports& passed_on);
    void take_report(const protocol::server_report& report);
    /// Confirms the ends of terms after which nothing more is acknowledged here.
    void confirm_closed();

    /// Confirms holds whose writes have all ended, and ends holds that last too long.
    void check_holds();
    void forget_silent_servers();

private:
    void take_group(const protocol::group_view& view);
    void close(const group_name& name, group_term term);
    void forget(const backend_server_name& name, const server_state& server);
    [[nodiscard]] bool has_sessions(const group_name& name) const;
    [[nodiscard]] bool have_sessions_stopped(const group_name& name, group_term held_term) const;

    entry_step& m_step;
    connection_keeper& m_connections;
    lease_holder& m_lease;
    request_desk& m_requests;
};

} // namespace hickorymount::routing::detail

#include "gateway/internal/traffic_view.h"

namespace hickorymount::gateway::detail {

sessions::traffic_view make_traffic_view(const routing::entry_state& state)
{
    sessions::traffic_view view;
    view.lease_until = state.lease.valid_until;
    view.revision = state.revision;
    view.configuration = state.configuration;
    for (const auto& [name, group] : state.groups) {
        const bool is_open =
            group.record.phase == directory::group_phase::open && group.record.term > group.closed_term;
        view.groups[name] = {group.record.primary, group.record.term, is_open,
                             group.held_term == group.record.term && is_open, group.closed_term};
    }
    for (const auto& [name, server] : state.servers) {
        const protocol::server_report& report = server.report;
        if (report.interface == protocol::server_interface::sessions && !report.has_left) {
            view.servers[name] = {report.group,      report.address,           report.zone, report.started_at,
                                  report.is_leaving, server.connections.share, report.slots};
        }
    }
    view.relay_plan = state.relay_plan;
    view.limit_bounds = state.limit_bounds;
    view.quotas = state.quotas;
    return view;
}

} // namespace hickorymount::gateway::detail

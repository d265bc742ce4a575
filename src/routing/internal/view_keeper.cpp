#include "routing/internal/view_keeper.h"

#include <algorithm>

namespace hickorymount::routing::detail {

namespace {

constexpr std::int64_t milliseconds_in_second = 1000;

/// Mean of the rate known and the rate between two reports.
std::int64_t rate_after(const server_state& known, const protocol::server_report& report, time_point now)
{
    const std::int64_t elapsed = (now - known.heard_at).count();
    if (elapsed <= 0 || report.at.position < known.report.at.position) {
        return known.records_per_second;
    }
    const auto gained = static_cast<std::int64_t>(report.at.position - known.report.at.position);
    return (known.records_per_second + gained * milliseconds_in_second / elapsed) / 2;
}

} // namespace

view_keeper::view_keeper(entry_step& step, connection_keeper& connections, lease_holder& lease,
                         request_desk& requests)
    : m_step(step), m_connections(connections), m_lease(lease), m_requests(requests)
{
}

void view_keeper::handle(const host_name& /*from*/, const protocol::view_update& update)
{
    if (update.to < m_step.state.revision) {
        return;
    }
    if (update.from > m_step.state.revision) {
        m_lease.renew();
        return;
    }
    m_step.state.revision = update.to;
    const bool is_new_version =
        update.configuration && (*update.configuration)->version > m_step.state.configuration->version;
    if (is_new_version) {
        m_step.state.configuration = *update.configuration;
        m_step.log(logging::log_level::information, "configuration_in_force", "",
                   "version=" + std::to_string(m_step.state.configuration->version));
    }
    for (const protocol::group_view& view : update.groups) {
        take_group(view);
    }
    if (is_new_version) {
        m_lease.renew_soon();
    }
}

void view_keeper::handle(const host_name& from, const protocol::close_order& order)
{
    const group_state* known = m_step.state.groups.find(order.group);
    if (order.drain) {
        if (known == nullptr || known->record.term != order.term) {
            return;
        }
        group_state group = *known;
        group.held_term = order.term;
        group.hold_started_at = m_step.now;
        group.is_hold_confirmed = false;
        m_step.set_group(order.group, std::move(group));
        m_step.state.held_groups.insert(order.group);
        return;
    }
    close(order.group, order.term);
    m_step.state.pending_close_orders[order.group] = {from, order.term};
    confirm_closed();
}

void view_keeper::confirm_closed()
{
    const auto closing = m_step.state.pending_close_orders;
    for (const auto& [name, pending] : closing) {
        const auto seen = m_step.state.session_closed_terms.find(name);
        const bool is_final = seen != m_step.state.session_closed_terms.end() && seen->second >= pending.term;
        if (has_sessions(name) && !is_final) {
            continue;
        }
        const auto commit = m_step.state.session_commits.find(name);
        const session::group_position acknowledged =
            commit == m_step.state.session_commits.end() ? session::group_position{} : commit->second;
        m_step.send(pending.asked_by,
                    protocol::close_confirmation{m_step.state.self, name, pending.term, false, acknowledged});
        m_step.state.pending_close_orders.erase(name);
    }
}

/// True when the group is served by sessions, whose commits the traffic thread acknowledges.
bool view_keeper::has_sessions(const group_name& name) const
{
    const group_state* group = m_step.state.groups.find(name);
    return group != nullptr &&
           std::any_of(group->members.begin(), group->members.end(), [this](const auto& member) {
               const server_state* server = m_step.state.servers.find(member);
               return server != nullptr && server->report.speaks == protocol::server_interface::sessions;
           });
}

void view_keeper::handle(const host_name& /*from*/, const protocol::resume_order& order)
{
    const group_state* known = m_step.state.groups.find(order.group);
    if (known == nullptr || known->held_term != order.term) {
        return;
    }
    group_state group = *known;
    group.held_term = 0;
    m_step.set_group(order.group, std::move(group));
    m_step.state.held_groups.erase(order.group);
    m_requests.dispatch(order.group);
}

void view_keeper::handle(const host_name& /*from*/, const protocol::server_reports& passed_on)
{
    for (const protocol::server_report& report : passed_on.reports) {
        take_report(report);
    }
    if (!passed_on.is_whole_list) {
        return;
    }
    const auto servers = m_step.state.servers;
    for (const auto& [name, server] : servers) {
        const bool is_named = std::any_of(passed_on.reports.begin(), passed_on.reports.end(),
                                          [&name = name](const auto& each) { return each.name == name; });
        if (!is_named && server.report.speaks == protocol::server_interface::sessions) {
            forget(name, server);
        }
    }
}

void view_keeper::take_report(const protocol::server_report& report)
{
    const server_state* known = m_step.state.servers.find(report.name);
    const bool is_farewell = report.is_gone && known != nullptr && !known->report.is_gone;
    if (known != nullptr && !is_farewell && !protocol::is_newer(report, known->report)) {
        return;
    }
    const bool has_restarted = known != nullptr && known->report.started_at != report.started_at;
    if (has_restarted) {
        m_connections.end_idle(report.name);
        known = m_step.state.servers.find(report.name);
    }
    server_state next = known == nullptr ? server_state{} : *known;
    next.records_per_second = known == nullptr || has_restarted ? 0 : rate_after(*known, report, m_step.now);
    const session::group_position reached = next.report.at;
    next.report = report;
    next.report.at = has_restarted ? report.at : std::max(report.at, reached);
    next.heard_at = m_step.now;
    m_step.set_server(report.name, std::move(next));
    const group_state* group = m_step.state.groups.find(report.group);
    if (group == nullptr || !group->members.contains(report.name)) {
        group_state joined = group == nullptr ? group_state{} : *group;
        joined.members.insert(report.name);
        m_step.set_group(report.group, std::move(joined));
    }
    m_connections.adjust(report.name);
    m_requests.confirm_replicated(report.group);
    m_requests.dispatch(report.group);
}

void view_keeper::take_group(const protocol::group_view& view)
{
    const group_state* known = m_step.state.groups.find(view.name);
    group_state group = known == nullptr ? group_state{} : *known;
    if (view.record.term < group.record.term) {
        return;
    }
    const bool is_new_term = view.record.term > group.record.term;
    group.record = view.record;
    if (is_new_term) {
        group.held_term = 0;
        m_step.state.held_groups.erase(view.name);
    }
    m_step.set_group(view.name, std::move(group));
    if (view.record.phase != directory::group_phase::open) {
        close(view.name, view.record.term);
        return;
    }
    if (is_new_term) {
        close(view.name, view.record.term - 1);
        m_step.log(logging::log_level::information, "term_opened", view.record.primary.value,
                   "group=" + view.name.value + " term=" + std::to_string(view.record.term));
    }
    m_requests.dispatch(view.name);
}

void view_keeper::close(const group_name& name, group_term term)
{
    const group_state* known = m_step.state.groups.find(name);
    group_state group = known == nullptr ? group_state{} : *known;
    if (term <= group.closed_term) {
        return;
    }
    group.closed_term = term;
    m_step.set_group(name, std::move(group));
    m_requests.leave_term(name, term);
}

void view_keeper::check_holds()
{
    const std::set<group_name> held = m_step.state.held_groups;
    for (const group_name& name : held) {
        group_state group = *m_step.state.groups.find(name);
        if (m_step.now - group.hold_started_at >= max_hold_duration) {
            handle({}, protocol::resume_order{name, group.held_term});
            continue;
        }
        if (!group.is_hold_confirmed && m_requests.in_flight(name, group.held_term) == 0 &&
            have_sessions_stopped(name, group.held_term)) {
            group.is_hold_confirmed = true;
            const group_term term = group.held_term;
            m_step.set_group(name, std::move(group));
            m_step.send_to_leader(protocol::close_confirmation{m_step.state.self, name, term, true, {}});
        }
    }
}

/// True when the traffic thread has seen the hold and has nothing left at the primary.
bool view_keeper::have_sessions_stopped(const group_name& name, group_term held_term) const
{
    const server_state* primary = m_step.state.servers.find(m_step.state.groups.find(name)->record.primary);
    if (primary == nullptr || primary->report.speaks != protocol::server_interface::sessions) {
        return true;
    }
    const auto told = m_step.state.session_hold_progress.find(name);
    return told != m_step.state.session_hold_progress.end() && told->second.term == held_term &&
           told->second.in_flight == 0;
}

void view_keeper::forget_silent_servers()
{
    const auto servers = m_step.state.servers;
    for (const auto& [name, server] : servers) {
        const bool is_open = open_count(server.connections) > 0;
        const bool is_kept_by_control =
            server.report.speaks == protocol::server_interface::sessions && !server.report.is_gone;
        if (m_step.now - server.heard_at < server_expiry || is_open || is_kept_by_control) {
            continue;
        }
        forget(name, server);
    }
}

void view_keeper::forget(const backend_server_name& name, const server_state& server)
{
    if (const group_state* known = m_step.state.groups.find(server.report.group)) {
        group_state group = *known;
        group.members.erase(name);
        m_step.set_group(server.report.group, std::move(group));
    }
    m_step.state.servers = std::move(m_step.state.servers).erase(name);
}

} // namespace hickorymount::routing::detail

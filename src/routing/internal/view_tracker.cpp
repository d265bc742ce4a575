#include "routing/internal/view_tracker.h"

#include "configuration/difference.h"
#include "logging/fields.h"

#include <algorithm>

#include <fmt/format.h>

namespace hickorymount::routing::detail {

namespace {

constexpr std::int64_t milliseconds_in_second = 1000;

/// The mean of the previous rate and the rate since the last report.
std::int64_t updated_rate(const server_state& current, const protocol::server_report& report, time_point now)
{
    const std::int64_t elapsed = (now - current.last_report_at).count();
    if (elapsed <= 0 || report.position.position < current.report.position.position) {
        return current.records_per_second;
    }
    const auto records_gained =
        static_cast<std::int64_t>(report.position.position - current.report.position.position);
    return (current.records_per_second + records_gained * milliseconds_in_second / elapsed) / 2;
}

} // namespace

view_tracker::view_tracker(event_context& context, connection_pools& connections, lease_client& lease,
                           request_processor& requests)
    : m_context(context), m_connections(connections), m_lease(lease), m_requests(requests)
{
}

void view_tracker::handle(const host_name& /*from*/, const protocol::view_update& update)
{
    if (update.to_revision < m_context.state.revision) {
        return;
    }
    if (update.from_revision > m_context.state.revision) {
        m_lease.renew();
        return;
    }
    m_context.state.revision = update.to_revision;
    for (const protocol::group_view& view : update.groups) {
        apply_group(view);
    }
}

void view_tracker::handle(const host_name& from, const protocol::configuration_update& update)
{
    const configuration::configuration_difference& difference = *update.difference;
    if (difference.version <= m_context.state.configuration->version) {
        return;
    }
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(next,
                            configuration::apply_difference(*m_context.state.configuration, difference));
            m_context.state.configuration = shared_value(std::move(next));
            m_context.log(logging::log_level::information, "configuration_in_force", "",
                          fmt::format("version={} base={} changed={} removed={}", difference.version,
                                      difference.base_version, difference.changed_routes.databases.size(),
                                      difference.removed_routes.size()));
            return {};
        },
        [&](const failure& error) {
            m_context.log(logging::log_level::warning, error.step, from.value,
                          "reason=" + logging::quoted(error.reason));
        });
    m_lease.schedule_early_renewal();
}

void view_tracker::handle(const host_name& from, const protocol::close_term_request& order)
{
    const group_state* current = m_context.state.groups.find(order.group);
    if (order.finish_in_flight) {
        if (current == nullptr || current->record.term != order.term) {
            return;
        }
        group_state group = *current;
        group.held_term = order.term;
        group.hold_started_at = m_context.now;
        group.is_hold_confirmed = false;
        m_context.set_group(order.group, std::move(group));
        m_context.state.held_groups.insert(order.group);
        return;
    }
    close_term(order.group, order.term);
    m_context.state.pending_close_orders[order.group] = {from, order.term};
    confirm_closed_terms();
}

void view_tracker::confirm_closed_terms()
{
    const auto closing = m_context.state.pending_close_orders;
    for (const auto& [name, pending] : closing) {
        const auto seen = m_context.state.session_closed_terms.find(name);
        const bool is_final =
            seen != m_context.state.session_closed_terms.end() && seen->second >= pending.term;
        if (m_context.state.has_traffic_thread && !is_final) {
            continue;
        }
        const auto commit = m_context.state.session_commits.find(name);
        const session_token::group_position acknowledged = commit == m_context.state.session_commits.end()
                                                               ? session_token::group_position{}
                                                               : commit->second;
        m_context.send(pending.requester, protocol::close_term_response{m_context.state.self, name,
                                                                        pending.term, false, acknowledged});
        m_context.state.pending_close_orders.erase(name);
    }
}

void view_tracker::handle(const host_name& /*from*/, const protocol::resume_term_request& order)
{
    const group_state* current = m_context.state.groups.find(order.group);
    if (current == nullptr || current->held_term != order.term) {
        return;
    }
    group_state group = *current;
    group.held_term = 0;
    m_context.set_group(order.group, std::move(group));
    m_context.state.held_groups.erase(order.group);
    m_requests.dispatch(order.group);
}

void view_tracker::handle(const host_name& from, const protocol::server_reports& forwarded)
{
    for (const std::string& error : forwarded.skipped) {
        m_context.log(logging::log_level::warning, "skip_report", from.value,
                      "reason=" + logging::quoted(error));
    }
    for (const protocol::server_report& report : forwarded.reports) {
        apply_report(report);
    }
    if (!forwarded.is_complete) {
        return;
    }
    const auto servers = m_context.state.servers;
    for (const auto& [name, server] : servers) {
        const bool is_named = std::any_of(forwarded.reports.begin(), forwarded.reports.end(),
                                          [&name = name](const auto& each) { return each.name == name; });
        if (!is_named && server.report.interface == protocol::server_interface::sessions) {
            remove_server(name, server);
        }
    }
}

void view_tracker::apply_report(const protocol::server_report& report)
{
    const server_state* current = m_context.state.servers.find(report.name);
    const bool is_newly_gone = report.has_left && current != nullptr && !current->report.has_left;
    if (current != nullptr && !is_newly_gone && !protocol::is_newer(report, current->report)) {
        return;
    }
    const bool has_restarted = current != nullptr && current->report.started_at != report.started_at;
    if (has_restarted) {
        m_connections.close_idle(report.name);
        current = m_context.state.servers.find(report.name);
    }
    server_state next = current == nullptr ? server_state{} : *current;
    next.records_per_second =
        current == nullptr || has_restarted ? 0 : updated_rate(*current, report, m_context.now);
    const session_token::group_position reached = next.report.position;
    next.report = report;
    next.report.position = has_restarted ? report.position : std::max(report.position, reached);
    next.last_report_at = m_context.now;
    m_context.set_server(report.name, std::move(next));
    const group_state* group = m_context.state.groups.find(report.group);
    if (group == nullptr || !group->members.contains(report.name)) {
        group_state joined = group == nullptr ? group_state{} : *group;
        joined.members.insert(report.name);
        m_context.set_group(report.group, std::move(joined));
    }
    m_connections.apply_share(report.name);
    m_requests.confirm_replicated(report.group);
    m_requests.dispatch(report.group);
}

void view_tracker::apply_group(const protocol::group_view& view)
{
    const group_state* current = m_context.state.groups.find(view.name);
    group_state group = current == nullptr ? group_state{} : *current;
    if (view.record.term < group.record.term) {
        return;
    }
    const bool is_new_term = view.record.term > group.record.term;
    group.record = view.record;
    if (is_new_term) {
        group.held_term = 0;
        m_context.state.held_groups.erase(view.name);
    }
    m_context.set_group(view.name, std::move(group));
    if (view.record.phase != directory::group_phase::open) {
        close_term(view.name, view.record.term);
        return;
    }
    if (is_new_term) {
        close_term(view.name, view.record.term - 1);
        m_context.log(logging::log_level::information, "term_opened", view.record.primary.value,
                      fmt::format("group={} term={} revision={}", view.name.value, view.record.term,
                                  m_context.state.revision));
    }
    m_requests.dispatch(view.name);
}

void view_tracker::close_term(const group_name& name, group_term term)
{
    const group_state* current = m_context.state.groups.find(name);
    group_state group = current == nullptr ? group_state{} : *current;
    if (term <= group.closed_term) {
        return;
    }
    group.closed_term = term;
    m_context.set_group(name, std::move(group));
    m_context.log(logging::log_level::information, "term_closed", "",
                  fmt::format("group={} term={} revision={}", name.value, term, m_context.state.revision));
    m_requests.abort_term(name, term);
}

void view_tracker::update_holds()
{
    const std::set<group_name> held = m_context.state.held_groups;
    for (const group_name& name : held) {
        group_state group = *m_context.state.groups.find(name);
        if (m_context.now - group.hold_started_at >= max_hold_duration) {
            handle({}, protocol::resume_term_request{name, group.held_term});
            continue;
        }
        if (!group.is_hold_confirmed && m_requests.in_flight(name, group.held_term) == 0 &&
            have_sessions_finished(name, group.held_term)) {
            group.is_hold_confirmed = true;
            const group_term term = group.held_term;
            m_context.set_group(name, std::move(group));
            m_context.send_to_leader(
                protocol::close_term_response{m_context.state.self, name, term, true, {}});
        }
    }
}

/// True if the traffic thread has seen the hold and has no work left at the primary.
bool view_tracker::have_sessions_finished(const group_name& name, group_term held_term) const
{
    const server_state* primary =
        m_context.state.servers.find(m_context.state.groups.find(name)->record.primary);
    if (primary == nullptr || primary->report.interface != protocol::server_interface::sessions) {
        return true;
    }
    const auto progress = m_context.state.session_hold_progress.find(name);
    return progress != m_context.state.session_hold_progress.end() && progress->second.term == held_term &&
           progress->second.in_flight == 0;
}

void view_tracker::remove_silent_servers()
{
    const auto servers = m_context.state.servers;
    for (const auto& [name, server] : servers) {
        const bool is_open = open_count(server.connections) > 0;
        const bool is_kept_by_control =
            server.report.interface == protocol::server_interface::sessions && !server.report.has_left;
        if (m_context.now - server.last_report_at < server_expiry || is_open || is_kept_by_control) {
            continue;
        }
        remove_server(name, server);
    }
}

void view_tracker::remove_server(const backend_server_name& name, const server_state& server)
{
    if (const group_state* current = m_context.state.groups.find(server.report.group)) {
        group_state group = *current;
        group.members.erase(name);
        m_context.set_group(server.report.group, std::move(group));
    }
    m_context.state.servers = std::move(m_context.state.servers).erase(name);
}

} // namespace hickorymount::routing::detail

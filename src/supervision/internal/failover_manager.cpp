#include "supervision/internal/failover_manager.h"

#include "consensus/reduce.h"
#include "logging/fields.h"
#include "supervision/reduce.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::supervision::detail {

namespace {

using directory::group_phase;
using directory::group_record;
using protocol::server_report;
using protocol::server_role;

constexpr milliseconds adoption_retry_delay{500};

bool is_primary_of(const server_report& report, protocol::group_term term)
{
    const bool has_session_interface = report.interface == protocol::server_interface::sessions;
    return report.role == server_role::primary && (has_session_interface || report.position.term == term);
}

/// False for a report with term 0 from a server with the session interface. Such a server answered but was
/// too busy to report its status; its role in the report is a guess.
bool has_position(const server_report& report)
{
    return report.interface == protocol::server_interface::http || report.position.term > 0;
}

} // namespace

failover_manager::failover_manager(supervision_context& context, const lease_manager& leases)
    : m_context(context), m_leases(leases)
{
}

void failover_manager::handle(const host_name& from, const protocol::server_reports& reports)
{
    for (const std::string& error : reports.skipped) {
        m_context.log(logging::log_level::warning, "skip_report", from.value,
                      "reason=" + logging::quoted(error));
    }
    for (const server_report& report : reports.reports) {
        process_report(from, report);
    }
}

void failover_manager::handle(const host_name& from, const protocol::primary_suspicion& suspicion)
{
    const group_record* record = m_context.directory().groups.find(suspicion.group);
    const bool is_current = record != nullptr && record->phase == group_phase::open &&
                            record->term == suspicion.term && record->primary == suspicion.server;
    if (is_current && suspicion.are_commits_stalled) {
        record_stall(from, suspicion.group, *record);
    } else if (is_current) {
        start_confirming(suspicion.group, *record, suspicion.reason);
    }
}

/// Counts entry hosts that report waiting commits. A primary that is cut off from its replicas still answers
/// probes, so only these reports show the fault.
void failover_manager::record_stall(const host_name& from, const group_name& group,
                                    const group_record& record)
{
    auto& stall_reports = m_context.state.stall_reports[group];
    stall_reports[from] = m_context.now();
    std::erase_if(stall_reports,
                  [&](const auto& stall) { return m_context.now() - stall.second > stall_report_retention; });
    const std::size_t host_count = m_leases.hosts_connected_to(group).size();
    if (stall_reports.size() * 2 <= host_count || m_context.state.primary_changes.contains(group) ||
        are_changes_paused(group) || are_replacements_paused(group)) {
        return;
    }
    pause_replacements(group, stall_change_delay);
    primary_change change;
    change.term = record.term;
    change.reason = "commits wait for acknowledgement by replicas";
    change.is_primary_candidate = change.replaces_primary = true;
    change.times.suspected = change.times.confirmed = m_context.now();
    stall_reports.clear();
    start_closing(group, std::move(change));
}

void failover_manager::handle(const host_name& from, const protocol::probe_response& report)
{
    if (report.report && report.report->name == report.server) {
        adopt_first_primary(*report.report);
        record_commit_bound(report);
    }
    for (const auto& [group, change] : m_context.state.primary_changes) {
        if (change.probe_id != report.probe_id) {
            continue;
        }
        primary_change next = change;
        const group_name name = group;
        if (report.report && report.report->name == report.server) {
            next.positions.insert_or_assign(report.server, *report.report);
        }
        switch (change.stage) {
        case primary_change_stage::confirming:
            record_probe_result(from, name, std::move(next), report);
            return;
        case primary_change_stage::collecting_positions:
            continue_when_positions_known(name, std::move(next));
            return;
        case primary_change_stage::catching_up:
            continue_when_caught_up(name, std::move(next));
            return;
        case primary_change_stage::promoting:
            if (report.report && report.server == next.candidate && next.is_promotion_accepted &&
                report.report->role == server_role::primary && has_position(*report.report)) {
                propose_opening(name, std::move(next), report.report->position.position);
            }
            return;
        default:
            return;
        }
    }
}

void failover_manager::handle(const host_name& /*from*/, const protocol::close_term_response& confirmation)
{
    const primary_change* change = m_context.state.primary_changes.find(confirmation.group);
    if (change == nullptr || change->term != confirmation.term) {
        return;
    }
    primary_change next = *change;
    if (change->stage == primary_change_stage::collecting_positions && !confirmation.finish_in_flight) {
        next.silent_entries.erase(confirmation.entry);
        next.acknowledged = std::max(next.acknowledged, confirmation.acknowledged_position);
        continue_when_positions_known(confirmation.group, std::move(next));
        return;
    }
    const primary_change_stage expected =
        confirmation.finish_in_flight ? primary_change_stage::holding : primary_change_stage::revoking;
    if (change->stage != expected) {
        return;
    }
    next.silent_entries.erase(confirmation.entry);
    next.unconfirmed_entries.erase(confirmation.entry);
    next.acknowledged = std::max(next.acknowledged, confirmation.acknowledged_position);
    continue_when_confirmed(confirmation.group, std::move(next));
}

void failover_manager::handle(const host_name& /*from*/, const protocol::role_change_response& report)
{
    if (report.kind == protocol::server_role_change::follow && report.is_done) {
        const group_record* record = m_context.directory().groups.find(report.group);
        if (record != nullptr && record->term == report.term) {
            m_context.state.pending_followers.erase(report.server);
        }
        return;
    }
    const primary_change* change = m_context.state.primary_changes.find(report.group);
    const bool is_current = change != nullptr && change->stage == primary_change_stage::promoting &&
                            change->request_id == report.request_id &&
                            report.kind == protocol::server_role_change::promote;
    if (!is_current) {
        return;
    }
    primary_change next = *change;
    if (!report.is_done) {
        retry_promotion(report.group, std::move(next));
        return;
    }
    propose_opening(report.group, std::move(next), report.term_start);
}

void failover_manager::propose_opening(const group_name& group, primary_change change,
                                       protocol::log_position start_position)
{
    change.start_position = start_position;
    change.times.promoted = m_context.now();
    const directory::open_term command{group, change.next_term, change.candidate, start_position};
    set_stage(group, std::move(change), primary_change_stage::opening);
    m_context.propose(command);
}

void failover_manager::handle(const promotion_response_received& answered)
{
    const primary_change* change = m_context.state.primary_changes.find(answered.group);
    const bool is_current = change != nullptr && change->stage == primary_change_stage::promoting &&
                            change->request_id == answered.request_id && !change->is_promotion_accepted;
    if (!is_current) {
        return;
    }
    primary_change next = *change;
    switch (answered.outcome) {
    case promotion_outcome::accepted:
        next.is_promotion_accepted = true;
        probe_candidate(answered.group, std::move(next));
        return;
    case promotion_outcome::not_running:
        m_context.log(logging::log_level::warning, "promote", change->candidate.value,
                      "group=" + answered.group.value + " outcome=not_running");
        next.target.reset();
        start_collecting(answered.group, std::move(next));
        return;
    case promotion_outcome::unknown:
        return;
    }
}

void failover_manager::handle(const directory::open_term& opened)
{
    const group_record* record = m_context.directory().groups.find(opened.group);
    if (record == nullptr || record->phase != group_phase::open || record->term != opened.term) {
        return;
    }
    if (const primary_change* change = m_context.state.primary_changes.find(opened.group)) {
        const primary_change_times& times = change->times;
        m_context.log(
            logging::log_level::information, "primary_changed", opened.primary.value,
            fmt::format("group={} term={} start={} planned={} reason={} detection_ms={} revocation_ms={} "
                        "positions_ms={} promotion_ms={} opening_ms={}",
                        opened.group.value, opened.term, opened.start, change->target.has_value(),
                        logging::quoted(change->reason), (times.confirmed - times.suspected).count(),
                        (times.revoked - times.confirmed).count(), (times.collected - times.revoked).count(),
                        (times.promoted - times.collected).count(),
                        (m_context.now() - times.promoted).count()));
    }
    m_context.state.primary_changes = std::move(m_context.state.primary_changes).erase(opened.group);
    const std::vector<host_name> live_hosts = m_leases.live_hosts();
    for (const auto& [name, status] : m_context.state.servers) {
        if (status.report.group != opened.group || name == opened.primary) {
            continue;
        }
        if (status.report.interface == protocol::server_interface::sessions) {
            m_context.state.pending_followers.insert(name);
        }
        if (!live_hosts.empty()) {
            send_follow_order(live_hosts.front(), status.report, *record);
        }
    }
}

/// A replica that was paused for its position receives nothing before it is told to resume; without a
/// promotion, which resumes all replicas, a lost order would leave it paused.
void failover_manager::resend_follow_orders()
{
    const std::vector<host_name> live_hosts = m_leases.live_hosts();
    const std::set<backend_server_name> pending = m_context.state.pending_followers;
    for (const backend_server_name& name : pending) {
        const server_status* status = m_context.state.servers.find(name);
        const group_record* record =
            status == nullptr ? nullptr : m_context.directory().groups.find(status->report.group);
        if (record == nullptr || status->report.has_left || record->primary == name) {
            m_context.state.pending_followers.erase(name);
            continue;
        }
        const milliseconds since_sent = m_context.now() - status->follow_sent_at;
        if (record->phase == group_phase::open && since_sent >= follow_order_retry_interval &&
            !live_hosts.empty()) {
            // Another entry host each time, since one may be unable to reach the server.
            const host_name& entry_host = live_hosts[m_context.next_number() % live_hosts.size()];
            send_follow_order(entry_host, status->report, *record);
        }
    }
}

void failover_manager::handle(const directory::close_term& closed)
{
    const primary_change* change = m_context.state.primary_changes.find(closed.group);
    if (change != nullptr && change->stage == primary_change_stage::closing && change->term == closed.term) {
        start_revoking(closed.group, *change);
    }
}

/// A process that has reported its commits with its lease counts as confirmed.
void failover_manager::handle(const directory::dismiss_entry_host& dismissed)
{
    if (!dismissed.acknowledged) {
        return;
    }
    const shared_map<group_name, primary_change> changes = m_context.state.primary_changes;
    for (const auto& [group, change] : changes) {
        primary_change next = change;
        const bool is_awaited = next.unconfirmed_entries.erase(dismissed.entry) > 0 ||
                                next.silent_entries.erase(dismissed.entry) > 0;
        if (is_awaited) {
            store_change(group, std::move(next));
        }
    }
}

void failover_manager::handle(const directory::name_candidate& named)
{
    const primary_change* change = m_context.state.primary_changes.find(named.group);
    const bool is_current = change != nullptr && change->stage == primary_change_stage::naming_candidate &&
                            change->next_term == named.term;
    if (is_current) {
        primary_change next = *change;
        next.attempts = 0;
        set_stage(named.group, next, primary_change_stage::promoting);
        send_promotion(named.group, *m_context.state.primary_changes.find(named.group));
    }
}

bool failover_manager::start_planned(const group_name& group, const backend_server_name& target,
                                     const std::string& reason)
{
    const group_record* record = m_context.directory().groups.find(group);
    const server_status* status = m_context.state.servers.find(target);
    const bool is_possible = record != nullptr && record->phase == group_phase::open &&
                             record->primary != target && status != nullptr &&
                             status->report.group == group && !status->report.is_leaving &&
                             !m_context.state.primary_changes.contains(group);
    if (!is_possible) {
        return false;
    }
    primary_change change;
    change.term = record->term;
    change.reason = reason;
    change.target = target;
    change.is_primary_candidate = true;
    change.unconfirmed_entries = m_leases.leased_entries();
    change.times.suspected = m_context.now();
    change.last_request_sent_at = m_context.now();
    set_stage(group, std::move(change), primary_change_stage::holding);
    m_context.send_to_all(protocol::close_term_request{group, record->term, true});
    return true;
}

void failover_manager::run_periodic_checks()
{
    for (const auto& [group, record] : m_context.directory().groups) {
        check_group(group, record);
    }
    const shared_map<group_name, primary_change> changes = m_context.state.primary_changes;
    for (const auto& [group, change] : changes) {
        advance_change(group, change);
    }
    resend_follow_orders();
    probe_for_commit_bounds();
}

/// A process that ended without a report has acknowledged no commit beyond the position that its primary has
/// now.
void failover_manager::probe_for_commit_bounds()
{
    for (const auto& [group, departed] : m_context.directory().departed) {
        const group_record* record = m_context.directory().groups.find(group);
        commit_bound_probe& probe = m_context.state.commit_bound_probes[group];
        const bool is_due = !directory::is_complete(departed) && record != nullptr &&
                            record->phase == group_phase::open &&
                            m_context.now() - probe.sent_at >= commit_bound_probe_interval;
        const std::vector<host_name> hosts =
            is_due ? m_leases.hosts_connected_to(group) : std::vector<host_name>{};
        if (hosts.empty() || !uses_session_interface(record->primary)) {
            continue;
        }
        probe = {m_context.next_number(), record->term, departed.unreported, m_context.now()};
        send_probe(record->primary, probe.probe_id, {hosts[probe.probe_id % hosts.size()]});
    }
}

void failover_manager::record_commit_bound(const protocol::probe_response& report)
{
    for (const auto& [group, probe] : m_context.state.commit_bound_probes) {
        const group_record* record = m_context.directory().groups.find(group);
        const bool is_answer = probe.probe_id == report.probe_id && record != nullptr &&
                               record->phase == group_phase::open && record->term == probe.term &&
                               record->primary == report.server;
        if (is_answer && report.report && report.report->role == server_role::primary &&
            has_position(*report.report)) {
            m_context.propose(directory::bound_departed_commits{group, probe.term, report.report->position,
                                                                probe.unreported});
            return;
        }
    }
}

void failover_manager::start_leading()
{
    for (const auto& [name, record] : m_context.directory().servers) {
        const auto address = protocol::parse_endpoint(record.address);
        const directory::group_record* group = m_context.directory().groups.find(record.group);
        server_status status;
        status.report.address = address.value_or(protocol::endpoint{});
        status.report.name = name;
        status.report.group = record.group;
        status.report.zone = record.zone;
        status.report.started_at = record.started_at;
        if (const std::string error = protocol::report_error(status.report); !error.empty()) {
            m_context.log(logging::log_level::warning, "skip_report", name.value,
                          "reason=" + logging::quoted(error));
            continue;
        }
        status.report.interface = protocol::server_interface::sessions;
        status.report.report_interval = record.report_interval;
        const bool is_primary = group != nullptr && group->primary == name;
        status.report.role = is_primary ? server_role::primary : server_role::replica;
        status.last_report_at = m_context.now();
        m_context.state.servers = std::move(m_context.state.servers).set(name, std::move(status));
    }
}

void failover_manager::register_changed_server(const server_report& report)
{
    if (report.interface != protocol::server_interface::sessions) {
        return;
    }
    const directory::server_record record{report.group, report.zone, to_string(report.address),
                                          report.started_at, report.report_interval};
    const directory::server_record* known = m_context.directory().servers.find(report.name);
    if (known == nullptr || *known != record) {
        m_context.propose(directory::register_server{report.name, record});
    }
}

void failover_manager::unregister_known_server(const backend_server_name& name)
{
    if (m_context.directory().servers.contains(name)) {
        m_context.propose(directory::unregister_server{name});
    }
}

/// Marks a known server as gone. A server's last report may contain nothing but its name.
void failover_manager::mark_server_gone(const backend_server_name& name)
{
    const server_status* known = m_context.state.servers.find(name);
    if (known == nullptr || known->report.has_left) {
        return;
    }
    server_status next = *known;
    next.report.is_leaving = next.report.has_left = true;
    m_context.state.servers = std::move(m_context.state.servers).set(name, std::move(next));
    m_context.state.unsent_reports.insert(name);
    unregister_known_server(name);
}

void failover_manager::process_report(const host_name& from, const server_report& report)
{
    if (report.has_left) {
        mark_server_gone(report.name);
        return;
    }
    if (!m_context.directory().configuration->content.groups.contains(report.group)) {
        return;
    }
    const server_status* known = m_context.state.servers.find(report.name);
    if (known != nullptr && !protocol::is_newer(report, known->report)) {
        return;
    }
    const bool is_new_to_others =
        known == nullptr || known->report.is_leaving != report.is_leaving ||
        known->report.has_left != report.has_left || known->report.role != report.role ||
        known->report.address != report.address || known->report.started_at != report.started_at;
    server_status status = known == nullptr ? server_status{} : *known;
    status.report = report;
    status.last_report_at = m_context.now();
    m_context.state.servers = std::move(m_context.state.servers).set(report.name, std::move(status));
    if (report.interface == protocol::server_interface::http || is_new_to_others) {
        m_context.state.unsent_reports.insert(report.name);
    }
    if (is_new_to_others) {
        register_changed_server(report);
    }
    retire_replaced_servers(report);
    adopt_first_primary(report);
    correct_server_role(from, report);
    const primary_change* change = m_context.state.primary_changes.find(report.group);
    if (change != nullptr && change->stage == primary_change_stage::promoting &&
        change->is_promotion_accepted && change->candidate == report.name &&
        report.role == server_role::primary) {
        propose_opening(report.group, *change, report.position.position);
    }
}

/// Marks earlier servers at the same address as gone: the server that started last owns the address.
void failover_manager::retire_replaced_servers(const server_report& successor)
{
    const auto servers = m_context.state.servers;
    for (const auto& [name, known] : servers) {
        const bool is_replaced = name != successor.name && known.report.address == successor.address &&
                                 !known.report.has_left && known.report.started_at < successor.started_at;
        if (is_replaced) {
            server_status next = known;
            next.report.is_leaving = next.report.has_left = true;
            m_context.state.servers = std::move(m_context.state.servers).set(name, std::move(next));
            m_context.state.unsent_reports.insert(name);
            unregister_known_server(name);
        }
    }
}

void failover_manager::remove_silent_servers()
{
    const auto servers = m_context.state.servers;
    for (const auto& [name, known] : servers) {
        if (m_context.now() - known.last_report_at >= silent_server_retention) {
            m_context.state.servers = std::move(m_context.state.servers).erase(name);
            unregister_known_server(name);
        }
    }
}

void failover_manager::adopt_first_primary(const server_report& report)
{
    const bool is_first =
        report.role == server_role::primary && !m_context.directory().groups.contains(report.group);
    if (is_first && report.position.term > 0 && !are_changes_paused(report.group)) {
        pause_changes(report.group, adoption_retry_delay);
        m_context.propose(directory::open_term{report.group, report.position.term, report.name, 0});
        return;
    }
    // The report has no term; a probe requests it.
    const std::vector<host_name> live_hosts = m_leases.live_hosts();
    if (is_first && report.position.term == 0 && report.interface == protocol::server_interface::sessions &&
        !live_hosts.empty()) {
        send_probe(report.name, m_context.next_number(), {live_hosts.front()});
    }
}

void failover_manager::correct_server_role(const host_name& from, const server_report& report)
{
    const std::vector<host_name> live_hosts = m_leases.live_hosts();
    const host_name entry_host = from.empty() && !live_hosts.empty() ? live_hosts.front() : from;
    const group_record* record = m_context.directory().groups.find(report.group);
    if (record == nullptr || record->phase != group_phase::open) {
        return;
    }
    if (record->primary == report.name) {
        if (!is_primary_of(report, record->term)) {
            start_confirming(report.group, *record, "the primary reports another role or term");
        }
        return;
    }
    const bool is_behind =
        report.interface == protocol::server_interface::http && report.position.term < record->term;
    const bool needs_follow_order = !entry_host.empty() && (report.role == server_role::primary || is_behind);
    const server_status* status = m_context.state.servers.find(report.name);
    if (needs_follow_order && m_context.now() - status->follow_sent_at >= follow_order_interval) {
        send_follow_order(entry_host, report, *record);
    }
}

void failover_manager::send_follow_order(const host_name& entry_host, const server_report& follower,
                                         const group_record& record)
{
    const server_status* primary = m_context.state.servers.find(record.primary);
    const server_status* known = m_context.state.servers.find(follower.name);
    if (primary == nullptr || known == nullptr || record.term_starts.empty() || known->report.has_left) {
        return;
    }
    server_status status = *known;
    status.follow_sent_at = m_context.now();
    m_context.state.servers = std::move(m_context.state.servers).set(follower.name, std::move(status));
    protocol::role_change_request order;
    order.request_id = m_context.next_number();
    order.kind = protocol::server_role_change::follow;
    order.group = follower.group;
    order.server = follower.name;
    order.address = follower.address;
    order.term = record.term;
    order.interface = follower.interface;
    order.is_demotion = follower.role == server_role::primary;
    order.primary_address = m_context.state.servers.find(record.primary)->report.address;
    order.term_start = record.term_starts.back().position;
    m_context.send(entry_host, std::move(order));
}

void failover_manager::check_group(const group_name& group, const group_record& record)
{
    if (m_context.state.primary_changes.contains(group)) {
        return;
    }
    if (record.phase != group_phase::open) {
        // An earlier leader started this change.
        primary_change change;
        change.term = record.term;
        change.reason = "continues a change of the previous leader";
        change.is_primary_candidate = true;
        change.times.suspected = change.times.confirmed = m_context.now();
        start_revoking(group, std::move(change));
        return;
    }
    const server_status* primary = m_context.state.servers.find(record.primary);
    const time_point heard =
        std::max(primary == nullptr ? time_point{} : primary->last_report_at, m_context.state.leading_since);
    const bool reports_to_control = primary != nullptr && uses_session_interface(record.primary);
    const milliseconds silence = reports_to_control
                                     ? missed_reports_before_check * primary->report.report_interval
                                     : primary_report_timeout;
    if (m_context.now() - heard > silence) {
        start_confirming(group, record, "no report from the primary");
        return;
    }
    if (primary == nullptr || !primary->report.is_leaving || are_changes_paused(group) ||
        are_replacements_paused(group)) {
        return;
    }
    const auto replicas = candidates(group, primary_change{});
    const auto furthest =
        std::max_element(replicas.begin(), replicas.end(),
                         [](const auto& left, const auto& right) { return left.position < right.position; });
    if (furthest != replicas.end()) {
        start_planned(group, furthest->name, "the primary is leaving");
    }
}

void failover_manager::start_confirming(const group_name& group, const group_record& record,
                                        const std::string& reason)
{
    const std::vector<host_name> hosts = m_leases.hosts_connected_to(group);
    if (m_context.state.primary_changes.contains(group) || are_changes_paused(group) || hosts.empty()) {
        return;
    }
    primary_change change;
    change.term = record.term;
    change.reason = reason;
    change.probe_id = m_context.next_number();
    change.probing_hosts = std::set<host_name>(hosts.begin(), hosts.end());
    change.times.suspected = m_context.now();
    send_probe(record.primary, change.probe_id, hosts);
    set_stage(group, std::move(change), primary_change_stage::confirming);
}

void failover_manager::record_probe_result(const host_name& from, const group_name& group,
                                           primary_change change, const protocol::probe_response& report)
{
    if (!change.probing_hosts.contains(from)) {
        return;
    }
    const bool is_serving = report.report && is_primary_of(*report.report, change.term);
    (is_serving ? change.hosts_reporting_service : change.hosts_reporting_loss).insert(from);
    const std::size_t majority = change.probing_hosts.size() / 2 + 1;
    if (change.hosts_reporting_loss.size() >= majority) {
        change.times.confirmed = m_context.now();
        start_closing(group, std::move(change));
        return;
    }
    if (change.probing_hosts.size() - change.hosts_reporting_service.size() < majority) {
        abandon_change(group, change, "the primary serves most entry hosts");
        return;
    }
    store_change(group, std::move(change));
}

void failover_manager::start_closing(const group_name& group, primary_change change)
{
    const directory::close_term command{group, change.term};
    m_context.log(logging::log_level::warning, "close_term", group.value,
                  fmt::format("term={} reason={}", change.term, logging::quoted(change.reason)));
    set_stage(group, std::move(change), primary_change_stage::closing);
    m_context.propose(command);
}

void failover_manager::start_revoking(const group_name& group, primary_change change)
{
    change.unconfirmed_entries = m_leases.leased_entries();
    change.silent_entries = m_leases.expired_entries();
    change.last_request_sent_at = m_context.now();
    const protocol::close_term_request order{group, change.term, false};
    set_stage(group, std::move(change), primary_change_stage::revoking);
    m_context.send_to_all(order);
    continue_when_confirmed(group, *m_context.state.primary_changes.find(group));
}

void failover_manager::continue_when_confirmed(const group_name& group, primary_change change)
{
    const std::set<entry_process_id> leased_entries = m_leases.leased_entries();
    std::erase_if(change.unconfirmed_entries, [&](const entry_process_id& entry) {
        const bool has_expired = !leased_entries.contains(entry);
        if (has_expired) {
            change.silent_entries.insert(entry);
        }
        return has_expired;
    });
    if (!change.unconfirmed_entries.empty()) {
        store_change(group, std::move(change));
        return;
    }
    if (change.stage == primary_change_stage::holding) {
        finish_holding(group, std::move(change));
        return;
    }
    change.times.revoked = m_context.now();
    if (change.target) {
        change.times.collected = m_context.now();
        const backend_server_name target = *change.target;
        propose_candidate(group, std::move(change), target);
        return;
    }
    start_collecting(group, std::move(change));
}

void failover_manager::finish_holding(const group_name& group, primary_change change)
{
    if (!change.target || !uses_session_interface(*change.target)) {
        start_catching_up(group, std::move(change));
        return;
    }
    // Replicas with the session interface can be paused, so that the furthest one is known for certain; a
    // fixed target and the wait for it to catch up are not needed.
    change.target.reset();
    change.is_primary_candidate = change.replaces_primary = true;
    change.times.confirmed = m_context.now();
    start_closing(group, std::move(change));
}

void failover_manager::start_collecting(const group_name& group, primary_change change)
{
    change.positions.clear();
    change.position_rounds = 0;
    change.probe_id = m_context.next_number();
    change.stage = primary_change_stage::collecting_positions;
    change.stage_entered_at = m_context.now();
    request_positions(group, std::move(change));
}

/// Probes the candidates with unknown positions. Each round uses other entry hosts, since an entry host that
/// can't reach a candidate returns no position.
void failover_manager::request_positions(const group_name& group, primary_change change)
{
    const group_record* record = m_context.directory().groups.find(group);
    std::vector<host_name> entry_hosts = m_leases.hosts_connected_to(group);
    if (!entry_hosts.empty()) {
        const std::size_t first = change.position_rounds * probing_hosts_per_candidate % entry_hosts.size();
        std::rotate(entry_hosts.begin(), entry_hosts.begin() + static_cast<std::ptrdiff_t>(first),
                    entry_hosts.end());
    }
    entry_hosts.resize(std::min(entry_hosts.size(), probing_hosts_per_candidate));
    for (const server_report& candidate : possible_holders(group, change)) {
        const auto known = change.positions.find(candidate.name);
        if (known == change.positions.end() || !has_position(known->second)) {
            send_probe(candidate.name, change.probe_id, entry_hosts,
                       record == nullptr ? 0 : record->last_candidate_term + 1);
        }
    }
    const bool may_have_returned = record != nullptr && uses_session_interface(record->primary) &&
                                   change.position_rounds >= rounds_before_probing_old_primary;
    if (may_have_returned) {
        send_probe(record->primary, change.probe_id, entry_hosts);
    }
    for (const entry_process_id& entry : change.silent_entries) {
        m_context.send(entry.name, protocol::close_term_request{group, change.term, false});
    }
    if (change.positions.empty()) {
        change.stage_entered_at = m_context.now();
    }
    ++change.position_rounds;
    change.last_request_sent_at = m_context.now();
    store_change(group, std::move(change));
}

void failover_manager::continue_when_positions_known(const group_name& group, primary_change change)
{
    const successor_question question = successor_question_of(group, change);
    const std::optional<backend_server_name> successor = choose_successor(question);
    if (!successor) {
        store_change(group, std::move(change));
        return;
    }
    log_choice(group, change, question, *successor);
    const group_record* record = m_context.directory().groups.find(group);
    if (change.replaces_primary && record != nullptr && record->primary == *successor) {
        pause_replacements(group, planned_change_retry_delay);
    }
    change.times.collected = m_context.now();
    propose_candidate(group, std::move(change), *successor);
}

successor_question failover_manager::successor_question_of(const group_name& group,
                                                           const primary_change& change) const
{
    successor_question question;
    const group_record* record = m_context.directory().groups.find(group);
    bool has_session_interface = false;
    for (const auto& [name, status] : m_context.state.servers) {
        const server_report& report = status.report;
        if (report.group != group || is_succeeded(report)) {
            continue;
        }
        server_log log;
        log.name = name;
        log.was_primary = record != nullptr && record->primary == name;
        log.is_leaving = report.is_leaving;
        log.has_left = report.has_left;
        const auto answer = change.positions.find(name);
        if (answer != change.positions.end() && has_position(answer->second)) {
            log.position = answer->second.position;
        }
        has_session_interface =
            has_session_interface || report.interface == protocol::server_interface::sessions;
        question.servers.push_back(std::move(log));
    }
    question.expects_primary = change.is_primary_candidate;
    question.replaces_primary = change.replaces_primary;
    if (record != nullptr && record->phase == group_phase::promoting) {
        question.named_candidate = record->candidate;
    }
    const milliseconds waited = m_context.now() - change.stage_entered_at;
    if (has_session_interface) {
        question.acknowledged = acknowledged_in(group, change);
        question.has_waited = waited >= position_timeout_default;
        question.may_choose_leaving = waited >= leaving_candidate_delay;
    } else {
        question.has_waited = waited >= position_timeout_http();
    }
    return question;
}

acknowledged_commits failover_manager::acknowledged_in(const group_name& group,
                                                       const primary_change& change) const
{
    acknowledged_commits known{change.acknowledged, change.silent_entries.empty()};
    if (const directory::departed_commits* departed = m_context.directory().departed.find(group)) {
        known.position = std::max(known.position, departed->position);
        known.is_known = known.is_known && directory::is_complete(*departed);
    }
    return known;
}

/// True for a server that has left and whose address belongs to a newer one. The platform gives the log of a
/// server that is replaced to the next one at its address.
bool failover_manager::is_succeeded(const server_report& departed) const
{
    return departed.has_left &&
           std::any_of(m_context.state.servers.begin(), m_context.state.servers.end(), [&](const auto& each) {
               const server_report& report = each.second.report;
               return report.name != departed.name && report.group == departed.group &&
                      report.address == departed.address && report.started_at > departed.started_at;
           });
}

void failover_manager::log_choice(const group_name& group, const primary_change& change,
                                  const successor_question& question, const backend_server_name& successor)
{
    std::string positions;
    for (const server_log& each : question.servers) {
        positions += fmt::format(
            "{}{}{}{}:{}", positions.empty() ? "" : ",", each.name.value, each.was_primary ? "*" : "",
            each.has_left     ? "(left)"
            : each.is_leaving ? "(leaving)"
                              : "",
            each.position ? fmt::format("{}.{}", each.position->term, each.position->position) : "-");
    }
    m_context.log(logging::log_level::information, "choose_successor", successor.value,
                  fmt::format("group={} term={} acknowledged={}.{} known={} positions={}", group.value,
                              change.term, question.acknowledged.position.term,
                              question.acknowledged.position.position, question.acknowledged.is_known,
                              positions));
}

void failover_manager::propose_candidate(const group_name& group, primary_change change,
                                         const backend_server_name& candidate)
{
    change.candidate = candidate;
    change.next_term = m_context.directory().groups.find(group)->last_candidate_term + 1;
    const directory::name_candidate command{group, change.next_term, candidate};
    set_stage(group, std::move(change), primary_change_stage::naming_candidate);
    m_context.propose(command);
}

void failover_manager::send_promotion(const group_name& group, primary_change change)
{
    if (uses_session_interface(change.candidate)) {
        order_platform_promotion(group, std::move(change));
        return;
    }
    const std::vector<host_name> live_hosts = m_leases.live_hosts();
    const server_status* status = m_context.state.servers.find(change.candidate);
    if (live_hosts.empty() || status == nullptr) {
        return;
    }
    protocol::role_change_request order;
    order.request_id = m_context.next_number();
    order.kind = protocol::server_role_change::promote;
    order.group = group;
    order.server = change.candidate;
    order.address = status->report.address;
    order.term = change.next_term;
    change.request_id = order.request_id;
    change.last_request_sent_at = m_context.now();
    m_context.send(live_hosts[static_cast<std::size_t>(change.attempts) % live_hosts.size()],
                   std::move(order));
    store_change(group, std::move(change));
}

void failover_manager::order_platform_promotion(const group_name& group, primary_change change)
{
    change.request_id = m_context.next_number();
    change.last_request_sent_at = m_context.now();
    change.is_promotion_accepted = false;
    // A call of an earlier leader, with a lower fencing token, may still be in progress.
    const bool have_earlier_calls_ended =
        m_context.now() - m_context.state.leading_since >= promotion_call_timeout;
    const consensus::consensus_state& log = m_context.inputs.consensus;
    const time_point valid_until =
        std::min(m_context.now() + promotion_order_lifetime, consensus::leadership_certain_until(log));
    change.was_order_sent = have_earlier_calls_ended && valid_until > m_context.now();
    if (change.was_order_sent) {
        m_context.effects.emplace_back(request_promotion{change.request_id, group, change.candidate,
                                                         log.self.name, log.persistent_state.term,
                                                         valid_until});
        m_context.log(logging::log_level::information, "promote", change.candidate.value,
                      fmt::format("group={} term={} token={}", group.value, change.next_term,
                                  log.persistent_state.term));
    }
    store_change(group, std::move(change));
}

void failover_manager::probe_candidate(const group_name& group, primary_change change)
{
    std::vector<host_name> entry_hosts = m_leases.hosts_connected_to(group);
    entry_hosts.resize(std::min(entry_hosts.size(), probing_hosts_per_candidate));
    change.probe_id = m_context.next_number();
    change.last_request_sent_at = m_context.now();
    send_probe(change.candidate, change.probe_id, entry_hosts);
    store_change(group, std::move(change));
}

void failover_manager::advance_platform_promotion(const group_name& group, const primary_change& change)
{
    const milliseconds since_sent = m_context.now() - change.last_request_sent_at;
    if (m_context.now() - change.stage_entered_at >= promotion_timeout) {
        m_context.log(logging::log_level::warning, "promote", change.candidate.value,
                      "group=" + group.value + " abandoned: the candidate did not become primary in time");
        primary_change next = change;
        next.target.reset();
        start_collecting(group, std::move(next));
        return;
    }
    if (change.is_promotion_accepted && since_sent >= promotion_poll_interval) {
        probe_candidate(group, change);
        return;
    }
    if (!change.is_promotion_accepted &&
        since_sent >= (change.was_order_sent ? promotion_call_timeout : supervision_interval)) {
        order_platform_promotion(group, change);
    }
}

void failover_manager::retry_promotion(const group_name& group, primary_change change)
{
    if (++change.attempts < max_takeover_attempts) {
        send_promotion(group, std::move(change));
        return;
    }
    m_context.log(logging::log_level::warning, "promote", change.candidate.value,
                  "group=" + group.value + " abandoned: no takeover order succeeded");
    change.target.reset();
    start_collecting(group, std::move(change));
}

void failover_manager::start_catching_up(const group_name& group, primary_change change)
{
    change.positions.clear();
    change.probe_id = m_context.next_number();
    change.last_request_sent_at = m_context.now();
    const std::vector<host_name> live_hosts = m_leases.live_hosts();
    const group_record* record = m_context.directory().groups.find(group);
    if (record != nullptr && !live_hosts.empty()) {
        send_probe(record->primary, change.probe_id, {live_hosts.front()});
        send_probe(*change.target, change.probe_id, {live_hosts.front()});
    }
    const bool is_first = change.stage == primary_change_stage::holding;
    if (is_first) {
        set_stage(group, std::move(change), primary_change_stage::catching_up);
    } else {
        store_change(group, std::move(change));
    }
}

void failover_manager::continue_when_caught_up(const group_name& group, primary_change change)
{
    const group_record* record = m_context.directory().groups.find(group);
    const auto primary = change.positions.find(record->primary);
    const auto target = change.positions.find(*change.target);
    const bool are_positions_known = primary != change.positions.end() && target != change.positions.end();
    if (are_positions_known && is_primary_of(primary->second, change.term) &&
        target->second.position >= primary->second.position) {
        change.times.confirmed = m_context.now();
        start_closing(group, std::move(change));
        return;
    }
    store_change(group, std::move(change));
}

void failover_manager::advance_change(const group_name& group, const primary_change& change)
{
    const milliseconds time_in_stage = m_context.now() - change.stage_entered_at;
    const milliseconds since_sent = m_context.now() - change.last_request_sent_at;
    switch (change.stage) {
    case primary_change_stage::confirming:
        if (const group_record* record = m_context.directory().groups.find(group);
            time_in_stage >= (record != nullptr && uses_session_interface(record->primary)
                                  ? confirmation_timeout_sessions
                                  : confirmation_timeout)) {
            abandon_change(group, change, "entry hosts did not confirm the loss of the primary in time");
        }
        return;
    case primary_change_stage::holding:
        if (time_in_stage >= write_hold_timeout_sessions && change.target &&
            uses_session_interface(*change.target)) {
            finish_holding(group, change);
            return;
        }
        if (time_in_stage >= write_hold_timeout) {
            abandon_change(group, change, "writes in flight did not finish in time");
            return;
        }
        continue_when_confirmed(group, change);
        return;
    case primary_change_stage::catching_up:
        if (time_in_stage >= write_hold_timeout) {
            abandon_change(group, change, "the target did not catch up in time");
        } else if (since_sent >= supervision_interval) {
            start_catching_up(group, change);
        }
        return;
    case primary_change_stage::revoking: {
        primary_change next = change;
        if (since_sent >= close_resend_interval) {
            next.last_request_sent_at = m_context.now();
            m_context.send_to_all(protocol::close_term_request{group, change.term, false});
        }
        continue_when_confirmed(group, std::move(next));
        return;
    }
    case primary_change_stage::collecting_positions:
        if (since_sent >= position_resend_interval) {
            request_positions(group, change);
        }
        continue_when_positions_known(group, *m_context.state.primary_changes.find(group));
        return;
    case primary_change_stage::promoting:
        if (uses_session_interface(change.candidate)) {
            advance_platform_promotion(group, change);
            return;
        }
        if (since_sent >= takeover_timeout) {
            retry_promotion(group, change);
        }
        return;
    case primary_change_stage::closing:
    case primary_change_stage::naming_candidate:
    case primary_change_stage::opening:
        return;
    }
}

void failover_manager::abandon_change(const group_name& group, const primary_change& change,
                                      const std::string& reason)
{
    m_context.log(logging::log_level::information, "change_given_up", group.value,
                  fmt::format("term={} stage={} reason={}", change.term, to_string(change.stage),
                              logging::quoted(reason)));
    m_context.state.primary_changes = std::move(m_context.state.primary_changes).erase(group);
    if (change.target) {
        m_context.send_to_all(protocol::resume_term_request{group, change.term});
        pause_changes(group, planned_change_retry_delay);
        return;
    }
    pause_changes(group, confirmation_retry_delay);
}

void failover_manager::send_probe(const backend_server_name& server, std::uint64_t number,
                                  const std::vector<host_name>& entry_hosts,
                                  protocol::group_term pause_below_term)
{
    const server_status* status = m_context.state.servers.find(server);
    protocol::probe_request order{number, server, {}, {}, protocol::server_interface::http, pause_below_term};
    if (status != nullptr) {
        order.address = status->report.address;
        order.group = status->report.group;
        order.interface = status->report.interface;
    }
    for (const host_name& host : entry_hosts) {
        m_context.send(host, order);
    }
}

bool failover_manager::uses_session_interface(const backend_server_name& server) const
{
    const server_status* status = m_context.state.servers.find(server);
    return status != nullptr && status->report.interface == protocol::server_interface::sessions;
}

void failover_manager::set_stage(const group_name& group, primary_change change, primary_change_stage stage)
{
    change.stage = stage;
    change.stage_entered_at = m_context.now();
    store_change(group, std::move(change));
}

void failover_manager::store_change(const group_name& group, primary_change change)
{
    m_context.state.primary_changes =
        std::move(m_context.state.primary_changes).set(group, std::move(change));
}

void failover_manager::pause_changes(const group_name& group, milliseconds duration)
{
    m_context.state.paused_until =
        std::move(m_context.state.paused_until).set(group, m_context.now() + duration);
}

bool failover_manager::are_changes_paused(const group_name& group) const
{
    const time_point* until = m_context.state.paused_until.find(group);
    return until != nullptr && *until > m_context.now();
}

/// Unlike `pause_changes`, does not delay the change of a primary that is lost.
void failover_manager::pause_replacements(const group_name& group, milliseconds duration)
{
    m_context.state.replacement_paused_until =
        std::move(m_context.state.replacement_paused_until).set(group, m_context.now() + duration);
}

bool failover_manager::are_replacements_paused(const group_name& group) const
{
    const time_point* until = m_context.state.replacement_paused_until.find(group);
    return until != nullptr && *until > m_context.now();
}

std::vector<server_report> failover_manager::candidates(const group_name& group,
                                                        const primary_change& change) const
{
    const group_record* record = m_context.directory().groups.find(group);
    std::vector<server_report> reports;
    for (const auto& [name, status] : m_context.state.servers) {
        const bool is_lost = record != nullptr && name == record->primary && !change.is_primary_candidate;
        if (status.report.group == group && !is_lost && !status.report.is_leaving) {
            reports.push_back(status.report);
        }
    }
    return reports;
}

/// The candidates, and the servers with the session interface that are leaving: these count for
/// acknowledgements until they end, and may be the only ones with the newest commits.
std::vector<server_report> failover_manager::possible_holders(const group_name& group,
                                                              const primary_change& change) const
{
    std::vector<server_report> reports = candidates(group, change);
    for (const auto& [name, status] : m_context.state.servers) {
        const server_report& report = status.report;
        if (report.group == group && report.is_leaving && !report.has_left &&
            report.interface == protocol::server_interface::sessions) {
            reports.push_back(report);
        }
    }
    return reports;
}

milliseconds failover_manager::position_timeout_http() const
{
    const auto& classes = m_context.directory().configuration->content.classes;
    const bool needs_replica = std::any_of(classes.begin(), classes.end(), [](const auto& named_class) {
        return named_class.second.acknowledged_by == configuration::acknowledgement_level::replica;
    });
    return needs_replica ? position_timeout_replica_acknowledged : position_timeout_default;
}

} // namespace hickorymount::supervision::detail

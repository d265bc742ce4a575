#include "supervision/internal/primary_changer.h"

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

constexpr milliseconds adoption_pause{500};

bool is_primary_of(const server_report& report, protocol::group_term term)
{
    const bool numbers_its_own_terms = report.speaks == protocol::server_interface::sessions;
    return report.role == server_role::primary && (numbers_its_own_terms || report.at.term == term);
}

/// A server that speaks in sessions and was too busy to tell its status is alive, and nothing else is known
/// of it; its role in such a report is a guess.
bool has_position(const server_report& report)
{
    return report.speaks == protocol::server_interface::requests || report.at.term > 0;
}

} // namespace

primary_changer::primary_changer(supervision_step& step, const lease_keeper& leases)
    : m_step(step), m_leases(leases)
{
}

void primary_changer::handle(const host_name& from, const protocol::server_reports& passed_on)
{
    for (const server_report& report : passed_on.reports) {
        take_report(from, report);
    }
}

void primary_changer::handle(const host_name& from, const protocol::suspicion& suspected)
{
    const group_record* record = m_step.directory().groups.find(suspected.group);
    const bool fits = record != nullptr && record->phase == group_phase::open &&
                      record->term == suspected.term && record->primary == suspected.server;
    if (fits && suspected.is_stalled) {
        note_stall(from, suspected.group, *record);
    } else if (fits) {
        start_confirming(suspected.group, *record, suspected.reason);
    }
}

/// A primary that is cut off from its replicas answers everything but commits: probes do not show it.
void primary_changer::note_stall(const host_name& from, const group_name& group, const group_record& record)
{
    auto& stalls = m_step.state.stalls[group];
    stalls[from] = m_step.now();
    std::erase_if(stalls, [&](const auto& each) { return m_step.now() - each.second > stall_memory; });
    const std::size_t live = m_leases.hosts_before(group).size();
    if (stalls.size() * 2 <= live || m_step.state.changes.contains(group) || is_paused(group)) {
        return;
    }
    pause(group, stall_pause);
    group_change change;
    change.term = record.term;
    change.reason = "commits wait for the replicas";
    change.times.suspected = change.times.confirmed = m_step.now();
    stalls.clear();
    start_closing(group, std::move(change));
}

void primary_changer::handle(const host_name& from, const protocol::probe_report& probed)
{
    if (probed.status && probed.status->name == probed.server) {
        adopt_first_primary(*probed.status);
    }
    for (const auto& [group, change] : m_step.state.changes) {
        if (change.probe != probed.probe) {
            continue;
        }
        group_change next = change;
        const group_name name = group;
        if (probed.status && probed.status->name == probed.server) {
            next.positions.insert_or_assign(probed.server, *probed.status);
        }
        switch (change.stage) {
        case change_stage::confirming:
            count_confirmation(from, name, std::move(next), probed);
            return;
        case change_stage::collecting:
            finish_collecting_if_done(name, std::move(next));
            return;
        case change_stage::catching_up:
            finish_catching_up_if_done(name, std::move(next));
            return;
        case change_stage::promoting:
            if (probed.status && probed.server == next.candidate &&
                probed.status->role == server_role::primary && has_position(*probed.status)) {
                propose_opening(name, std::move(next), probed.status->at.position);
            }
            return;
        default:
            return;
        }
    }
}

void primary_changer::handle(const host_name& /*from*/, const protocol::close_confirmation& confirmed)
{
    const group_change* change = m_step.state.changes.find(confirmed.group);
    if (change == nullptr || change->term != confirmed.term) {
        return;
    }
    const change_stage expected = confirmed.drain ? change_stage::holding : change_stage::revoking;
    if (change->stage != expected) {
        return;
    }
    group_change next = *change;
    next.awaiting.erase(confirmed.entry);
    next.acknowledged = std::max(next.acknowledged, confirmed.acknowledged);
    finish_revoking_if_done(confirmed.group, std::move(next));
}

void primary_changer::handle(const host_name& /*from*/, const protocol::takeover_report& reported)
{
    const group_change* change = m_step.state.changes.find(reported.group);
    const bool fits = change != nullptr && change->stage == change_stage::promoting &&
                      change->order == reported.order && reported.kind == protocol::takeover_kind::promote;
    if (!fits) {
        return;
    }
    group_change next = *change;
    if (!reported.done) {
        retry_promotion(reported.group, std::move(next));
        return;
    }
    propose_opening(reported.group, std::move(next), reported.start);
}

void primary_changer::propose_opening(const group_name& group, group_change change,
                                      protocol::log_position start)
{
    change.start = start;
    change.times.promoted = m_step.now();
    const directory::open_term command{group, change.next_term, change.candidate, start};
    set_stage(group, std::move(change), change_stage::opening);
    m_step.propose(command);
}

void primary_changer::handle(const promotion_answered& answered)
{
    const group_change* change = m_step.state.changes.find(answered.group);
    const bool fits = change != nullptr && change->stage == change_stage::promoting &&
                      change->order == answered.order && !change->is_promotion_accepted;
    if (!fits) {
        return;
    }
    group_change next = *change;
    switch (answered.outcome) {
    case promotion_outcome::accepted:
        next.is_promotion_accepted = true;
        probe_candidate(answered.group, std::move(next));
        return;
    case promotion_outcome::not_running:
        m_step.log(logging::log_level::warning, "promote", change->candidate.value,
                   "group=" + answered.group.value + " outcome=not_running");
        next.target.reset();
        start_collecting(answered.group, std::move(next));
        return;
    case promotion_outcome::unclear:
        return;
    }
}

void primary_changer::handle(const directory::open_term& opened)
{
    const group_record* record = m_step.directory().groups.find(opened.group);
    if (record == nullptr || record->phase != group_phase::open || record->term != opened.term) {
        return;
    }
    if (const group_change* change = m_step.state.changes.find(opened.group)) {
        const change_times& times = change->times;
        m_step.log(
            logging::log_level::information, "primary_changed", opened.primary.value,
            fmt::format("group={} term={} start={} planned={} reason=\"{}\" detection_ms={} revocation_ms={} "
                        "positions_ms={} promotion_ms={} opening_ms={}",
                        opened.group.value, opened.term, opened.start, change->target.has_value(),
                        change->reason, (times.confirmed - times.suspected).count(),
                        (times.revoked - times.confirmed).count(), (times.collected - times.revoked).count(),
                        (times.promoted - times.collected).count(), (m_step.now() - times.promoted).count()));
    }
    m_step.state.changes = std::move(m_step.state.changes).erase(opened.group);
    const std::vector<host_name> live = m_leases.live_hosts();
    for (const auto& [name, status] : m_step.state.servers) {
        if (status.report.group == opened.group && name != opened.primary && !live.empty()) {
            send_follow(live.front(), status.report, *record);
        }
    }
}

void primary_changer::handle(const directory::close_term& closed)
{
    const group_change* change = m_step.state.changes.find(closed.group);
    if (change != nullptr && change->stage == change_stage::closing && change->term == closed.term) {
        start_revoking(closed.group, *change);
    }
}

void primary_changer::handle(const directory::name_candidate& named)
{
    const group_change* change = m_step.state.changes.find(named.group);
    const bool fits =
        change != nullptr && change->stage == change_stage::naming && change->next_term == named.term;
    if (fits) {
        group_change next = *change;
        next.attempts = 0;
        set_stage(named.group, next, change_stage::promoting);
        send_promotion(named.group, *m_step.state.changes.find(named.group));
    }
}

bool primary_changer::start_planned(const group_name& group, const backend_server_name& target,
                                    const std::string& reason)
{
    const group_record* record = m_step.directory().groups.find(group);
    const server_status* status = m_step.state.servers.find(target);
    const bool is_possible = record != nullptr && record->phase == group_phase::open &&
                             record->primary != target && status != nullptr &&
                             status->report.group == group && !status->report.leaving &&
                             !m_step.state.changes.contains(group);
    if (!is_possible) {
        return false;
    }
    group_change change;
    change.term = record->term;
    change.reason = reason;
    change.target = target;
    change.is_primary_candidate = true;
    change.awaiting = m_leases.leased();
    change.times.suspected = m_step.now();
    change.sent_at = m_step.now();
    set_stage(group, std::move(change), change_stage::holding);
    m_step.send_to_all(protocol::close_order{group, record->term, true});
    return true;
}

void primary_changer::pass_time()
{
    for (const auto& [group, record] : m_step.directory().groups) {
        check_group(group, record);
    }
    const shared_map<group_name, group_change> changes = m_step.state.changes;
    for (const auto& [group, change] : changes) {
        advance(group, change);
    }
}

void primary_changer::start_leading()
{
    for (const auto& [name, record] : m_step.directory().servers) {
        const auto address = protocol::parse_endpoint(record.address);
        const directory::group_record* group = m_step.directory().groups.find(record.group);
        if (!address) {
            continue;
        }
        server_status status;
        status.report.name = name;
        status.report.group = record.group;
        status.report.zone = record.zone;
        status.report.address = *address;
        status.report.started_at = record.started_at;
        status.report.speaks = protocol::server_interface::sessions;
        status.report.report_interval = record.report_interval;
        const bool is_primary = group != nullptr && group->primary == name;
        status.report.role = is_primary ? server_role::primary : server_role::replica;
        status.heard_at = m_step.now();
        m_step.state.servers = std::move(m_step.state.servers).set(name, std::move(status));
    }
}

void primary_changer::keep_on_record(const server_report& report)
{
    if (report.speaks != protocol::server_interface::sessions) {
        return;
    }
    const directory::server_record record{report.group, report.zone, to_string(report.address),
                                          report.started_at, report.report_interval};
    const directory::server_record* known = m_step.directory().servers.find(report.name);
    if (known == nullptr || *known != record) {
        m_step.propose(directory::register_server{report.name, record});
    }
}

void primary_changer::drop_from_record(const backend_server_name& name)
{
    if (m_step.directory().servers.contains(name)) {
        m_step.propose(directory::unregister_server{name});
    }
}

/// Marks a server whose farewell names nothing but it.
void primary_changer::take_farewell(const backend_server_name& name)
{
    const server_status* known = m_step.state.servers.find(name);
    if (known == nullptr || known->report.is_gone) {
        return;
    }
    server_status next = *known;
    next.report.leaving = next.report.is_gone = true;
    m_step.state.servers = std::move(m_step.state.servers).set(name, std::move(next));
    m_step.state.unsent_reports.insert(name);
    drop_from_record(name);
}

void primary_changer::take_report(const host_name& from, const server_report& report)
{
    if (report.is_gone) {
        take_farewell(report.name);
        return;
    }
    if (!m_step.directory().configuration->content.groups.contains(report.group)) {
        return;
    }
    const server_status* known = m_step.state.servers.find(report.name);
    if (known != nullptr && !protocol::is_newer(report, known->report)) {
        return;
    }
    const bool is_new_to_others =
        known == nullptr || known->report.leaving != report.leaving ||
        known->report.is_gone != report.is_gone || known->report.role != report.role ||
        known->report.address != report.address || known->report.started_at != report.started_at;
    server_status status = known == nullptr ? server_status{} : *known;
    status.report = report;
    status.heard_at = m_step.now();
    m_step.state.servers = std::move(m_step.state.servers).set(report.name, std::move(status));
    if (report.speaks == protocol::server_interface::requests || is_new_to_others) {
        m_step.state.unsent_reports.insert(report.name);
    }
    if (is_new_to_others) {
        keep_on_record(report);
    }
    retire_others_at(report);
    adopt_first_primary(report);
    correct_follower(from, report);
    const group_change* change = m_step.state.changes.find(report.group);
    if (change != nullptr && change->stage == change_stage::promoting && change->is_promotion_accepted &&
        change->candidate == report.name && report.role == server_role::primary) {
        propose_opening(report.group, *change, report.at.position);
    }
}

/// An address belongs to the server that started there last.
void primary_changer::retire_others_at(const server_report& newcomer)
{
    const auto servers = m_step.state.servers;
    for (const auto& [name, known] : servers) {
        const bool is_replaced = name != newcomer.name && known.report.address == newcomer.address &&
                                 !known.report.is_gone && known.report.started_at < newcomer.started_at;
        if (is_replaced) {
            server_status next = known;
            next.report.leaving = next.report.is_gone = true;
            m_step.state.servers = std::move(m_step.state.servers).set(name, std::move(next));
            m_step.state.unsent_reports.insert(name);
            drop_from_record(name);
        }
    }
}

void primary_changer::forget_silent_servers()
{
    const auto servers = m_step.state.servers;
    for (const auto& [name, known] : servers) {
        if (m_step.now() - known.heard_at >= server_forgotten) {
            m_step.state.servers = std::move(m_step.state.servers).erase(name);
            drop_from_record(name);
        }
    }
}

void primary_changer::adopt_first_primary(const server_report& report)
{
    const bool is_first =
        report.role == server_role::primary && !m_step.directory().groups.contains(report.group);
    if (is_first && report.at.term > 0 && !is_paused(report.group)) {
        pause(report.group, adoption_pause);
        m_step.propose(directory::open_term{report.group, report.at.term, report.name, 0});
        return;
    }
    // A report without a term: the server has to be asked for it.
    const std::vector<host_name> live = m_leases.live_hosts();
    if (is_first && report.at.term == 0 && report.speaks == protocol::server_interface::sessions &&
        !live.empty()) {
        probe(report.name, m_step.next_number(), {live.front()});
    }
}

void primary_changer::correct_follower(const host_name& from, const server_report& report)
{
    const std::vector<host_name> live = m_leases.live_hosts();
    const host_name through = from.empty() && !live.empty() ? live.front() : from;
    const group_record* record = m_step.directory().groups.find(report.group);
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
        report.speaks == protocol::server_interface::requests && report.at.term < record->term;
    const bool is_astray = !through.empty() && (report.role == server_role::primary || is_behind);
    const server_status* status = m_step.state.servers.find(report.name);
    if (is_astray && m_step.now() - status->follow_sent >= follow_interval) {
        send_follow(through, report, *record);
    }
}

void primary_changer::send_follow(const host_name& through, const server_report& follower,
                                  const group_record& record)
{
    const server_status* primary = m_step.state.servers.find(record.primary);
    const server_status* known = m_step.state.servers.find(follower.name);
    if (primary == nullptr || known == nullptr || record.starts.empty() || known->report.is_gone) {
        return;
    }
    server_status status = *known;
    status.follow_sent = m_step.now();
    m_step.state.servers = std::move(m_step.state.servers).set(follower.name, std::move(status));
    protocol::takeover_order order;
    order.order = m_step.next_number();
    order.kind = protocol::takeover_kind::follow;
    order.group = follower.group;
    order.server = follower.name;
    order.address = follower.address;
    order.term = record.term;
    order.speaks = follower.speaks;
    order.demotes = follower.role == server_role::primary;
    order.primary_address = m_step.state.servers.find(record.primary)->report.address;
    order.start = record.starts.back().position;
    m_step.send(through, std::move(order));
}

void primary_changer::check_group(const group_name& group, const group_record& record)
{
    if (m_step.state.changes.contains(group)) {
        return;
    }
    if (record.phase != group_phase::open) {
        // A change that an earlier leader began.
        group_change change;
        change.term = record.term;
        change.reason = "continued after a change of leader";
        change.is_primary_candidate = true;
        change.times.suspected = change.times.confirmed = m_step.now();
        start_revoking(group, std::move(change));
        return;
    }
    const server_status* primary = m_step.state.servers.find(record.primary);
    const time_point heard =
        std::max(primary == nullptr ? time_point{} : primary->heard_at, m_step.state.leading_since);
    const bool reports_to_control = primary != nullptr && speaks_in_sessions(record.primary);
    const milliseconds silence =
        reports_to_control ? missed_reports * primary->report.report_interval : report_silence;
    if (m_step.now() - heard > silence) {
        start_confirming(group, record, "no report from the primary");
        return;
    }
    if (primary == nullptr || !primary->report.leaving || is_paused(group)) {
        return;
    }
    const auto replicas = candidates(group, group_change{});
    const auto furthest =
        std::max_element(replicas.begin(), replicas.end(),
                         [](const auto& left, const auto& right) { return left.at < right.at; });
    if (furthest != replicas.end()) {
        start_planned(group, furthest->name, "the primary is leaving");
    }
}

void primary_changer::start_confirming(const group_name& group, const group_record& record,
                                       const std::string& reason)
{
    const std::vector<host_name> live = m_leases.hosts_before(group);
    if (m_step.state.changes.contains(group) || is_paused(group) || live.empty()) {
        return;
    }
    group_change change;
    change.term = record.term;
    change.reason = reason;
    change.probe = m_step.next_number();
    change.asked = std::set<host_name>(live.begin(), live.end());
    change.times.suspected = m_step.now();
    probe(record.primary, change.probe, live);
    set_stage(group, std::move(change), change_stage::confirming);
}

void primary_changer::count_confirmation(const host_name& from, const group_name& group, group_change change,
                                         const protocol::probe_report& probed)
{
    if (!change.asked.contains(from)) {
        return;
    }
    const bool is_serving = probed.status && is_primary_of(*probed.status, change.term);
    (is_serving ? change.reached : change.failed).insert(from);
    const std::size_t majority = change.asked.size() / 2 + 1;
    if (change.failed.size() >= majority) {
        change.times.confirmed = m_step.now();
        start_closing(group, std::move(change));
        return;
    }
    if (change.asked.size() - change.reached.size() < majority) {
        give_up(group, change, "most entry hosts reach the primary");
        return;
    }
    set_change(group, std::move(change));
}

void primary_changer::start_closing(const group_name& group, group_change change)
{
    const directory::close_term command{group, change.term};
    m_step.log(logging::log_level::warning, "close_term", group.value,
               fmt::format("term={} reason=\"{}\"", change.term, change.reason));
    set_stage(group, std::move(change), change_stage::closing);
    m_step.propose(command);
}

void primary_changer::start_revoking(const group_name& group, group_change change)
{
    change.awaiting = m_leases.leased();
    change.sent_at = m_step.now();
    const protocol::close_order order{group, change.term, false};
    set_stage(group, std::move(change), change_stage::revoking);
    m_step.send_to_all(order);
    finish_revoking_if_done(group, *m_step.state.changes.find(group));
}

void primary_changer::finish_revoking_if_done(const group_name& group, group_change change)
{
    const std::set<entry_key> leased = m_leases.leased();
    const std::size_t expired =
        std::erase_if(change.awaiting, [&](const entry_key& entry) { return !leased.contains(entry); });
    change.have_all_confirmed = change.have_all_confirmed && expired == 0;
    if (!change.awaiting.empty()) {
        set_change(group, std::move(change));
        return;
    }
    if (change.stage == change_stage::holding) {
        finish_holding(group, std::move(change));
        return;
    }
    change.times.revoked = m_step.now();
    if (change.target) {
        change.times.collected = m_step.now();
        const backend_server_name target = *change.target;
        start_naming(group, std::move(change), target);
        return;
    }
    start_collecting(group, std::move(change));
}

void primary_changer::finish_holding(const group_name& group, group_change change)
{
    if (!change.target || !speaks_in_sessions(*change.target)) {
        start_catching_up(group, std::move(change));
        return;
    }
    // Replicas that speak in sessions can be stopped from receiving, which tells the furthest one for sure.
    change.target.reset();
    change.is_primary_candidate = false;
    change.times.confirmed = m_step.now();
    start_closing(group, std::move(change));
}

void primary_changer::start_collecting(const group_name& group, group_change change)
{
    change.positions.clear();
    change.position_rounds = 0;
    change.probe = m_step.next_number();
    change.stage = change_stage::collecting;
    change.stage_since = m_step.now();
    ask_positions(group, std::move(change));
}

/// Asks the candidates whose position is not known; each time through other entry hosts, since one that can't
/// reach a candidate says nothing of it.
void primary_changer::ask_positions(const group_name& group, group_change change)
{
    const group_record* record = m_step.directory().groups.find(group);
    std::vector<host_name> through = m_leases.hosts_before(group);
    if (!through.empty()) {
        const std::size_t first = change.position_rounds * probes_for_position % through.size();
        std::rotate(through.begin(), through.begin() + static_cast<std::ptrdiff_t>(first), through.end());
    }
    through.resize(std::min(through.size(), probes_for_position));
    for (const server_report& candidate : candidates(group, change)) {
        const auto known = change.positions.find(candidate.name);
        if (known == change.positions.end() || !has_position(known->second)) {
            probe(candidate.name, change.probe, through, record == nullptr ? 0 : record->last_named_term + 1);
        }
    }
    const bool may_be_back = record != nullptr && speaks_in_sessions(record->primary) &&
                             change.position_rounds >= rounds_before_returned_primary;
    if (may_be_back) {
        probe(record->primary, change.probe, through);
    }
    if (change.positions.empty()) {
        change.stage_since = m_step.now();
    }
    ++change.position_rounds;
    change.sent_at = m_step.now();
    set_change(group, std::move(change));
}

void primary_changer::finish_collecting_if_done(const group_name& group, group_change change)
{
    const auto asked = candidates(group, change);
    std::vector<server_report> answered;
    for (const server_report& candidate : asked) {
        const auto found = change.positions.find(candidate.name);
        const bool is_known = found != change.positions.end() && has_position(found->second);
        if (is_known && !found->second.leaving) {
            answered.push_back(found->second);
        }
    }
    // The lost primary is running again, with all that it acknowledged.
    const group_record* record = m_step.directory().groups.find(group);
    const auto returned = record == nullptr ? change.positions.end() : change.positions.find(record->primary);
    const bool is_primary_back = !change.is_primary_candidate && returned != change.positions.end() &&
                                 has_position(returned->second) && !returned->second.leaving;
    if (is_primary_back) {
        answered.push_back(returned->second);
    }
    const bool is_complete = is_primary_back || answered.size() == asked.size();
    const bool is_late = m_step.now() - change.stage_since >= collect_timeout(change, answered);
    if (answered.empty() || (!is_complete && !is_late)) {
        set_change(group, std::move(change));
        return;
    }
    if (!is_complete) {
        m_step.log(logging::log_level::warning, "collect_positions", group.value,
                   fmt::format("answered={} asked={}", answered.size(), asked.size()));
    }
    const auto furthest =
        std::max_element(answered.begin(), answered.end(),
                         [](const auto& left, const auto& right) { return left.at < right.at; });
    change.times.collected = m_step.now();
    start_naming(group, std::move(change), furthest->name);
}

void primary_changer::start_naming(const group_name& group, group_change change,
                                   const backend_server_name& candidate)
{
    change.candidate = candidate;
    change.next_term = m_step.directory().groups.find(group)->last_named_term + 1;
    const directory::name_candidate command{group, change.next_term, candidate};
    set_stage(group, std::move(change), change_stage::naming);
    m_step.propose(command);
}

void primary_changer::send_promotion(const group_name& group, group_change change)
{
    if (speaks_in_sessions(change.candidate)) {
        order_platform_promotion(group, std::move(change));
        return;
    }
    const std::vector<host_name> live = m_leases.live_hosts();
    const server_status* status = m_step.state.servers.find(change.candidate);
    if (live.empty() || status == nullptr) {
        return;
    }
    protocol::takeover_order order;
    order.order = m_step.next_number();
    order.kind = protocol::takeover_kind::promote;
    order.group = group;
    order.server = change.candidate;
    order.address = status->report.address;
    order.term = change.next_term;
    change.order = order.order;
    change.sent_at = m_step.now();
    m_step.send(live[static_cast<std::size_t>(change.attempts) % live.size()], std::move(order));
    set_change(group, std::move(change));
}

void primary_changer::order_platform_promotion(const group_name& group, group_change change)
{
    change.order = m_step.next_number();
    change.sent_at = m_step.now();
    change.is_promotion_accepted = false;
    // A call of an earlier leader, with a lower token, may still be under way.
    const bool is_alone = m_step.now() - m_step.state.leading_since >= promotion_call_bound;
    if (is_alone) {
        const consensus::consensus_state& log = m_step.around.consensus;
        m_step.effects.emplace_back(order_promotion{change.order, group, change.candidate, log.self.name,
                                                    log.hard.term, m_step.now() + probe_resend_interval});
        m_step.log(logging::log_level::information, "promote", change.candidate.value,
                   fmt::format("group={} term={} token={}", group.value, change.next_term, log.hard.term));
    }
    set_change(group, std::move(change));
}

void primary_changer::probe_candidate(const group_name& group, group_change change)
{
    std::vector<host_name> through = m_leases.hosts_before(group);
    through.resize(std::min(through.size(), probes_for_position));
    change.probe = m_step.next_number();
    change.sent_at = m_step.now();
    probe(change.candidate, change.probe, through);
    set_change(group, std::move(change));
}

void primary_changer::advance_platform_promotion(const group_name& group, const group_change& change)
{
    const milliseconds since_sent = m_step.now() - change.sent_at;
    if (m_step.now() - change.stage_since >= promotion_limit) {
        m_step.log(logging::log_level::warning, "promote", change.candidate.value,
                   "group=" + group.value + " given up: the candidate did not take over in time");
        group_change next = change;
        next.target.reset();
        start_collecting(group, std::move(next));
        return;
    }
    if (change.is_promotion_accepted && since_sent >= promotion_poll_interval) {
        probe_candidate(group, change);
        return;
    }
    const bool was_sent = m_step.now() - m_step.state.leading_since >= promotion_call_bound + since_sent;
    if (!change.is_promotion_accepted &&
        since_sent >= (was_sent ? promotion_call_bound : supervision_interval)) {
        order_platform_promotion(group, change);
    }
}

void primary_changer::retry_promotion(const group_name& group, group_change change)
{
    if (++change.attempts < takeover_attempts) {
        send_promotion(group, std::move(change));
        return;
    }
    m_step.log(logging::log_level::warning, "promote", change.candidate.value,
               "group=" + group.value + " given up");
    change.target.reset();
    start_collecting(group, std::move(change));
}

void primary_changer::start_catching_up(const group_name& group, group_change change)
{
    change.positions.clear();
    change.probe = m_step.next_number();
    change.sent_at = m_step.now();
    const std::vector<host_name> live = m_leases.live_hosts();
    const group_record* record = m_step.directory().groups.find(group);
    if (record != nullptr && !live.empty()) {
        probe(record->primary, change.probe, {live.front()});
        probe(*change.target, change.probe, {live.front()});
    }
    const bool is_first = change.stage == change_stage::holding;
    if (is_first) {
        set_stage(group, std::move(change), change_stage::catching_up);
    } else {
        set_change(group, std::move(change));
    }
}

void primary_changer::finish_catching_up_if_done(const group_name& group, group_change change)
{
    const group_record* record = m_step.directory().groups.find(group);
    const auto primary = change.positions.find(record->primary);
    const auto target = change.positions.find(*change.target);
    const bool is_known = primary != change.positions.end() && target != change.positions.end();
    if (is_known && is_primary_of(primary->second, change.term) && target->second.at >= primary->second.at) {
        change.times.confirmed = m_step.now();
        start_closing(group, std::move(change));
        return;
    }
    set_change(group, std::move(change));
}

void primary_changer::advance(const group_name& group, const group_change& change)
{
    const milliseconds in_stage = m_step.now() - change.stage_since;
    const milliseconds since_sent = m_step.now() - change.sent_at;
    switch (change.stage) {
    case change_stage::confirming:
        if (const group_record* record = m_step.directory().groups.find(group);
            in_stage >= (record != nullptr && speaks_in_sessions(record->primary) ? confirm_timeout_sessions
                                                                                  : confirm_timeout)) {
            give_up(group, change, "not confirmed in time");
        }
        return;
    case change_stage::holding:
        if (in_stage >= hold_timeout_sessions && change.target && speaks_in_sessions(*change.target)) {
            finish_holding(group, change);
            return;
        }
        if (in_stage >= hold_timeout) {
            give_up(group, change, "writes in flight did not end in time");
            return;
        }
        finish_revoking_if_done(group, change);
        return;
    case change_stage::catching_up:
        if (in_stage >= hold_timeout) {
            give_up(group, change, "the target did not catch up in time");
        } else if (since_sent >= supervision_interval) {
            start_catching_up(group, change);
        }
        return;
    case change_stage::revoking: {
        group_change next = change;
        if (since_sent >= close_resend_interval) {
            next.sent_at = m_step.now();
            m_step.send_to_all(protocol::close_order{group, change.term, false});
        }
        finish_revoking_if_done(group, std::move(next));
        return;
    }
    case change_stage::collecting:
        if (since_sent >= position_resend_interval) {
            ask_positions(group, change);
        }
        finish_collecting_if_done(group, *m_step.state.changes.find(group));
        return;
    case change_stage::promoting:
        if (speaks_in_sessions(change.candidate)) {
            advance_platform_promotion(group, change);
            return;
        }
        if (since_sent >= takeover_timeout) {
            retry_promotion(group, change);
        }
        return;
    case change_stage::closing:
    case change_stage::naming:
    case change_stage::opening:
        return;
    }
}

void primary_changer::give_up(const group_name& group, const group_change& change, const std::string& reason)
{
    m_step.log(logging::log_level::information, "change_given_up", group.value,
               fmt::format("term={} stage={} reason=\"{}\"", change.term, to_string(change.stage), reason));
    m_step.state.changes = std::move(m_step.state.changes).erase(group);
    if (change.target) {
        m_step.send_to_all(protocol::resume_order{group, change.term});
        pause(group, planned_retry_pause);
        return;
    }
    pause(group, confirm_pause);
}

void primary_changer::probe(const backend_server_name& server, std::uint64_t number,
                            const std::vector<host_name>& through, protocol::group_term pause_below)
{
    const server_status* status = m_step.state.servers.find(server);
    protocol::probe_order order{number, server, {}, {}, protocol::server_interface::requests, pause_below};
    if (status != nullptr) {
        order.address = status->report.address;
        order.group = status->report.group;
        order.speaks = status->report.speaks;
    }
    for (const host_name& host : through) {
        m_step.send(host, order);
    }
}

bool primary_changer::speaks_in_sessions(const backend_server_name& server) const
{
    const server_status* status = m_step.state.servers.find(server);
    return status != nullptr && status->report.speaks == protocol::server_interface::sessions;
}

void primary_changer::set_stage(const group_name& group, group_change change, change_stage stage)
{
    change.stage = stage;
    change.stage_since = m_step.now();
    set_change(group, std::move(change));
}

void primary_changer::set_change(const group_name& group, group_change change)
{
    m_step.state.changes = std::move(m_step.state.changes).set(group, std::move(change));
}

void primary_changer::pause(const group_name& group, milliseconds duration)
{
    m_step.state.paused = std::move(m_step.state.paused).set(group, m_step.now() + duration);
}

bool primary_changer::is_paused(const group_name& group) const
{
    const time_point* until = m_step.state.paused.find(group);
    return until != nullptr && *until > m_step.now();
}

std::vector<server_report> primary_changer::candidates(const group_name& group,
                                                       const group_change& change) const
{
    const group_record* record = m_step.directory().groups.find(group);
    std::vector<server_report> reports;
    for (const auto& [name, status] : m_step.state.servers) {
        const bool is_lost = record != nullptr && name == record->primary && !change.is_primary_candidate;
        if (status.report.group == group && !is_lost && !status.report.leaving) {
            reports.push_back(status.report);
        }
    }
    return reports;
}

milliseconds primary_changer::collect_timeout(const group_change& change,
                                              const std::vector<server_report>& answered) const
{
    const auto speaks = [](const server_report& each) {
        return each.speaks == protocol::server_interface::sessions;
    };
    if (std::any_of(answered.begin(), answered.end(), speaks)) {
        const bool is_covered = change.have_all_confirmed &&
                                std::any_of(answered.begin(), answered.end(), [&](const server_report& each) {
                                    return each.at >= change.acknowledged;
                                });
        return is_covered ? collect_timeout_default : collect_limit;
    }
    const auto& classes = m_step.directory().configuration->content.classes;
    const bool needs_replica = std::any_of(classes.begin(), classes.end(), [](const auto& each) {
        return each.second.acknowledged_by == configuration::acknowledgement::replica;
    });
    return needs_replica ? collect_timeout_replica_acknowledged : collect_timeout_default;
}

} // namespace hickorymount::supervision::detail

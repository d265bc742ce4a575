#include "node/tests/lease_view_world.h"

#include "directory/reduce.h"
#include "gateway/internal/traffic_view.h"
#include "protocol/descriptions.h"
#include "routing/read_policy.h"
#include "routing/reduce.h"
#include "supervision/reduce.h"

#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include <fmt/format.h>

namespace hickorymount::node {

namespace {

const host_name control_name{"control-1"};
const group_name group{"orders"};
constexpr time_point start_time{milliseconds{1'000'000}};
/// Longer than the horizon of a sweep: no primary is probed for want of reports.
constexpr milliseconds server_report_interval{60'000};
constexpr consensus::log_index first_index = 5;

directory::entry_process_id entry_id(std::size_t entry)
{
    return {host_name{"entry-" + std::to_string(entry + 1)}, incarnation_id{"a"}};
}

std::size_t combine(std::size_t seed, std::int64_t value)
{
    constexpr std::size_t golden_ratio = 0x9e3779b97f4a7c15U;
    return seed ^ (static_cast<std::size_t>(value) + golden_ratio + (seed << 6U) + (seed >> 2U));
}

std::size_t combine(std::size_t seed, time_point value)
{
    return combine(seed, value.time_since_epoch().count());
}

// Equal parts have equal hashes; the parts themselves are compared in full.

std::size_t hash_of(const control_side& control)
{
    std::size_t hash = combine(0, static_cast<std::int64_t>(control.commit_index));
    hash = combine(hash, control.leading_since);
    for (const auto& [entry, status] : control.supervision.entry_hosts) {
        hash = combine(combine(hash, status.lease_end), status.last_request_at);
    }
    return hash;
}

std::size_t hash_of(const entry_side& entry)
{
    std::size_t hash = combine(0, entry.next_timer_at);
    hash = combine(hash, entry.routing.lease.valid_until);
    hash = combine(hash, static_cast<std::int64_t>(entry.routing.lease.next_sequence));
    hash = combine(hash, static_cast<std::int64_t>(entry.routing.revision));
    hash = combine(hash, entry.is_connected ? 1 : 0);
    for (const auto* queue : {&entry.to_control, &entry.to_entry}) {
        hash = combine(hash, static_cast<std::int64_t>(queue->size()));
        for (const protocol::message& content : *queue) {
            hash = combine(hash, static_cast<std::int64_t>(content.index()));
        }
    }
    return hash;
}

directory::directory_state initial_directory()
{
    directory::directory_state state;
    directory::group_record record;
    record.phase = directory::group_phase::open;
    record.term = record.last_candidate_term = 1;
    record.primary = backend_server_name{"first"};
    record.term_starts.push_back({1, 0});
    state.groups = std::move(state.groups).set(group, record);
    std::uint16_t port = 7500;
    for (const char* name : {"first", "second"}) {
        const directory::server_record server{group, availability_zone{"a"},
                                              "10.0.0.1:" + std::to_string(port++),
                                              unix_milliseconds{1'764'000'000'000}, server_report_interval};
        state.servers = std::move(state.servers).set(backend_server_name{name}, server);
    }
    return state;
}

consensus::consensus_state leading_consensus(const control_side& control)
{
    consensus::consensus_state state;
    state.self.name = control_name;
    state.members.voters.push_back(state.self);
    state.current_role = consensus::role::leader;
    state.term_start_index = 1;
    state.commit_index = control.commit_index;
    state.leading_since = control.leading_since;
    // Each request is confirmed by a majority at once.
    state.heartbeat_round = 1;
    state.confirmed_heartbeat_round = 2;
    return state;
}

/// Probes and orders to backend servers play no part; nothing answers them.
bool is_carried(const protocol::message& content)
{
    return !std::holds_alternative<protocol::probe_request>(content) &&
           !std::holds_alternative<protocol::role_change_request>(content);
}

std::string_view type_of(const protocol::message& content)
{
    return std::visit(
        [](const auto& message) { return codec::description<std::decay_t<decltype(message)>>::name; },
        content);
}

} // namespace

lease_view_world::lease_view_world(const step_budget& budget) : m_now(start_time), m_budget(budget)
{
    control_side control;
    control.directory = initial_directory();
    control.commit_index = control.supervision.revision = first_index;
    control.leading_since = m_now;
    m_control = shared_value(std::move(control));
    run_control(supervision::log_advanced{});
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        run_entry(entry, routing::entry_started{entry_id(entry), availability_zone{"a"}, {control_name}});
    }
    deliver_all();
    pass_time(m_now + routing::lease_renewal_interval);
    deliver_all();
}

std::vector<world_step> lease_view_world::possible_steps() const
{
    using kind = world_step_kind;
    std::vector<world_step> steps;
    const std::size_t free_links = m_budget.is_second_prompt ? 1 : entry_count;
    for (std::size_t at = 0; at < free_links; ++at) {
        const entry_side& entry = *m_entries[at];
        if (!entry.to_control.empty()) {
            steps.push_back({kind::deliver_to_control, at});
        }
        if (!entry.to_entry.empty()) {
            steps.push_back({kind::deliver_to_entry, at});
        }
        if (!entry.is_connected) {
            steps.push_back({kind::connect, at});
        } else if (m_budget.disconnects > 0 && (at == 0 || m_has_disconnected)) {
            steps.push_back({kind::disconnect, at});
        }
    }
    const bool is_changing = m_control->supervision.primary_changes.contains(group);
    if (record().phase == directory::group_phase::open && !is_changing && m_budget.closed_terms > 0) {
        steps.push_back({kind::close_term});
    }
    if (may_open_term()) {
        steps.push_back({kind::open_term});
    }
    if (m_budget.leader_changes > 0 && m_control->leading_since != m_now) {
        steps.push_back({kind::change_leader});
    }
    if (m_budget.renewals > 0) {
        steps.push_back({kind::pass_renewal});
    }
    if (m_budget.lease_ends > 0 && next_lease_end()) {
        steps.push_back({kind::pass_lease_end});
    }
    if (m_budget.passed_leases > 0) {
        steps.push_back({kind::pass_lease_with_deliveries});
    }
    return steps;
}

void lease_view_world::apply(const world_step& step)
{
    carry_out(step);
    if (m_budget.is_second_prompt) {
        deliver_all_of(1);
    }
}

std::string lease_view_world::describe(const world_step& step) const
{
    const std::string name = entry_id(step.entry).name.value;
    const entry_side& entry = *m_entries.at(step.entry);
    switch (step.kind) {
    case world_step_kind::deliver_to_control:
        return fmt::format("{} of {} reaches control", type_of(entry.to_control.front()), name);
    case world_step_kind::deliver_to_entry:
        return fmt::format("{} of control reaches {}", type_of(entry.to_entry.front()), name);
    case world_step_kind::disconnect:
        return fmt::format("connection of {} closes, with the loss of {} messages to it", name,
                           entry.to_entry.size());
    case world_step_kind::connect:
        return fmt::format("connection of {} opens", name);
    case world_step_kind::pass_renewal:
        return "a renewal interval passes";
    case world_step_kind::pass_lease_end:
        return "time passes until the next end of a lease";
    case world_step_kind::pass_lease_with_deliveries:
        return "longer than a lease passes, with each message delivered at once";
    case world_step_kind::close_term:
        return fmt::format("control closes term {}", record().term);
    case world_step_kind::open_term:
        return fmt::format("control opens term {} at the other server", record().last_candidate_term + 1);
    case world_step_kind::change_leader:
        return "another leader takes over";
    }
    return {};
}

void lease_view_world::carry_out(const world_step& step)
{
    switch (step.kind) {
    case world_step_kind::deliver_to_control:
        deliver_to_control(step.entry);
        return;
    case world_step_kind::deliver_to_entry:
        deliver_to_entry(step.entry);
        return;
    case world_step_kind::disconnect:
        --m_budget.disconnects;
        disconnect(step.entry);
        return;
    case world_step_kind::connect:
        connect(step.entry);
        return;
    case world_step_kind::pass_renewal:
        --m_budget.renewals;
        pass_time(m_now + routing::lease_renewal_interval);
        return;
    case world_step_kind::pass_lease_end:
        --m_budget.lease_ends;
        pass_time(next_lease_end().value_or(m_now));
        return;
    case world_step_kind::pass_lease_with_deliveries:
        --m_budget.passed_leases;
        pass_lease_with_deliveries();
        return;
    case world_step_kind::close_term:
        --m_budget.closed_terms;
        commit(directory::close_term{group, record().term});
        run_control(supervision::timer_expired{});
        return;
    case world_step_kind::open_term:
        open_next_term();
        return;
    case world_step_kind::change_leader: {
        --m_budget.leader_changes;
        control_side control = *m_control;
        control.leading_since = m_now;
        m_control = shared_value(std::move(control));
        run_control(supervision::log_advanced{});
        return;
    }
    }
}

std::optional<sessions::group_view> lease_view_world::usable_primary(std::size_t entry) const
{
    const sessions::traffic_view view = gateway::detail::make_traffic_view(m_entries.at(entry)->routing);
    const auto known = view.groups.find(group);
    // As sessions::detail::event_context::is_primary_usable.
    const bool is_usable = known != view.groups.end() && known->second.is_open && m_now < view.lease_until;
    return is_usable ? std::optional(known->second) : std::nullopt;
}

bool lease_view_world::is_up_to_date(std::size_t entry) const
{
    const routing::entry_state& state = m_entries.at(entry)->routing;
    const routing::group_state* known = state.groups.find(group);
    return m_now < state.lease.valid_until && known != nullptr && known->record == record();
}

const directory::group_record& lease_view_world::record() const
{
    return *m_control->directory.groups.find(group);
}

int lease_view_world::recover(int limit)
{
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        if (!m_entries.at(entry)->is_connected) {
            connect(entry);
        }
    }
    deliver_all();
    int intervals = 0;
    while (intervals < limit && !(is_up_to_date(0) && is_up_to_date(1))) {
        pass_time(m_now + routing::lease_renewal_interval);
        deliver_all();
        ++intervals;
    }
    return intervals;
}

void lease_view_world::use_pools(world_pools& pools)
{
    m_control = pools.controls.pooled(m_control, hash_of(*m_control));
    for (auto& entry : m_entries) {
        entry = pools.entries.pooled(entry, hash_of(*entry));
    }
}

std::size_t lease_view_world::hash() const
{
    std::size_t hash = combine(hash_of(*m_control), m_now);
    for (const auto& entry : m_entries) {
        hash = combine(hash, static_cast<std::int64_t>(hash_of(*entry)));
    }
    for (const int count : {m_budget.disconnects, m_budget.closed_terms, m_budget.leader_changes,
                            m_budget.renewals, m_budget.lease_ends, m_budget.passed_leases}) {
        hash = combine(hash, count);
    }
    return hash;
}

void lease_view_world::run_control(const supervision::supervision_event& event)
{
    control_side control = *m_control;
    const consensus::consensus_state log = leading_consensus(control);
    supervision::supervision_transition next = supervision::reduce(
        std::move(control.supervision), event, {control.directory, log, m_now, unix_milliseconds{0}});
    control.supervision = std::move(next.state);
    m_control = shared_value(std::move(control));
    std::vector<directory::command> proposed;
    for (const supervision::supervision_effect& effect : next.effects) {
        if (const auto* sent = std::get_if<supervision::send_to_entry_host>(&effect)) {
            for (std::size_t entry = 0; entry < entry_count; ++entry) {
                if (sent->recipient.empty() || sent->recipient == entry_id(entry).name) {
                    send_to_entry(entry, sent->content);
                }
            }
        } else if (const auto* proposal = std::get_if<supervision::propose_command>(&effect)) {
            proposed.push_back(proposal->command);
        }
    }
    for (const directory::command& command : proposed) {
        commit(command);
    }
}

void lease_view_world::commit(const directory::command& command)
{
    control_side control = *m_control;
    directory::directory_transition next = directory::reduce(std::move(control.directory), command);
    control.directory = std::move(next.state);
    const consensus::log_index index = ++control.commit_index;
    m_control = shared_value(std::move(control));
    run_control(supervision::command_applied{index, command, std::move(next.result), {}});
    check_primaries();
}

void lease_view_world::send_to_entry(std::size_t entry, const protocol::message& content)
{
    if (m_entries.at(entry)->is_connected && is_carried(content)) {
        entry_side next = *m_entries.at(entry);
        next.to_entry.push_back(content);
        m_entries.at(entry) = shared_value(std::move(next));
    }
}

void lease_view_world::run_entry(std::size_t entry, routing::entry_event_payload event)
{
    static const routing::prefer_replica_policy policy;
    entry_side side = *m_entries.at(entry);
    routing::entry_transition next =
        routing::reduce(std::move(side.routing), {m_now, unix_milliseconds{0}, std::move(event)}, policy);
    side.routing = std::move(next.state);
    side.next_timer_at = next.next_timer_at;
    for (routing::entry_effect& effect : next.effects) {
        auto* sent = std::get_if<routing::send_to_control>(&effect);
        if (sent != nullptr && side.is_connected) {
            side.to_control.push_back(std::move(sent->content));
        }
    }
    m_entries.at(entry) = shared_value(std::move(side));
    report_closed_terms(entry);
    check_primaries();
}

void lease_view_world::report_closed_terms(std::size_t entry)
{
    entry_side side = *m_entries.at(entry);
    routing::traffic_reported report;
    for (const auto& [name, known] : side.routing.groups) {
        report.closed_terms[name] = known.closed_term;
    }
    if (report.closed_terms == side.reported_closed_terms) {
        return;
    }
    side.reported_closed_terms = report.closed_terms;
    m_entries.at(entry) = shared_value(std::move(side));
    run_entry(entry, std::move(report));
}

void lease_view_world::deliver_to_control(std::size_t entry)
{
    entry_side side = *m_entries.at(entry);
    const protocol::message content = side.to_control.front();
    side.to_control.erase(side.to_control.begin());
    m_entries.at(entry) = shared_value(std::move(side));
    run_control(supervision::message_received{entry_id(entry).name, content});
    check_primaries();
}

/// Reports of servers, which don't matter here by themselves, arrive with the message before them.
void lease_view_world::deliver_to_entry(std::size_t entry)
{
    do {
        entry_side side = *m_entries.at(entry);
        const protocol::message content = side.to_entry.front();
        side.to_entry.erase(side.to_entry.begin());
        m_entries.at(entry) = shared_value(std::move(side));
        run_entry(entry, routing::control_message_received{control_name, content});
    } while (!m_entries.at(entry)->to_entry.empty() &&
             std::holds_alternative<protocol::server_reports>(m_entries.at(entry)->to_entry.front()));
}

void lease_view_world::deliver_all()
{
    bool is_quiet = false;
    while (!is_quiet) {
        is_quiet = true;
        for (std::size_t entry = 0; entry < entry_count; ++entry) {
            is_quiet = !deliver_all_of(entry) && is_quiet;
        }
    }
}

bool lease_view_world::deliver_all_of(std::size_t entry)
{
    bool has_delivered = false;
    while (!m_entries.at(entry)->to_control.empty() || !m_entries.at(entry)->to_entry.empty()) {
        has_delivered = true;
        if (!m_entries.at(entry)->to_control.empty()) {
            deliver_to_control(entry);
        } else {
            deliver_to_entry(entry);
        }
    }
    return has_delivered;
}

void lease_view_world::disconnect(std::size_t entry)
{
    m_has_disconnected = true;
    entry_side side = *m_entries.at(entry);
    side.is_connected = false;
    side.to_control.clear();
    side.to_entry.clear();
    m_entries.at(entry) = shared_value(std::move(side));
}

void lease_view_world::connect(std::size_t entry)
{
    entry_side side = *m_entries.at(entry);
    side.is_connected = true;
    m_entries.at(entry) = shared_value(std::move(side));
    run_entry(entry, routing::control_connected{control_name});
}

void lease_view_world::pass_time(time_point until)
{
    m_now = until;
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        if (m_entries.at(entry)->next_timer_at <= m_now) {
            run_entry(entry, routing::timer_expired{});
        }
    }
    run_control(supervision::timer_expired{});
    check_primaries();
}

void lease_view_world::pass_lease_with_deliveries()
{
    const time_point until = m_now + supervision::lease_duration + routing::lease_renewal_interval;
    deliver_all();
    while (m_now < until) {
        pass_time(m_now + routing::lease_renewal_interval);
        deliver_all();
    }
}

void lease_view_world::open_next_term()
{
    const directory::group_record closed = record();
    const backend_server_name candidate{closed.primary.value == "first" ? "second" : "first"};
    const routing::group_term term = closed.last_candidate_term + 1;
    commit(directory::name_candidate{group, term, candidate});
    commit(directory::open_term{group, term, candidate, 0});
}

std::optional<time_point> lease_view_world::next_lease_end() const
{
    std::optional<time_point> next;
    const auto consider = [&](time_point end) {
        if (end > m_now && (!next || end < *next)) {
            next = end;
        }
    };
    for (const auto& entry : m_entries) {
        consider(entry->routing.lease.valid_until);
    }
    for (const auto& [entry, status] : m_control->supervision.entry_hosts) {
        consider(status.lease_end);
    }
    return next;
}

/// True once all entry hosts have confirmed the closed term or have no lease.
bool lease_view_world::may_open_term() const
{
    const supervision::primary_change* change = m_control->supervision.primary_changes.find(group);
    return record().phase != directory::group_phase::open && change != nullptr &&
           change->stage == supervision::primary_change_stage::collecting_positions;
}

void lease_view_world::check_primaries()
{
    if (!m_violation.empty()) {
        return;
    }
    std::array<std::optional<sessions::group_view>, entry_count> usable;
    for (std::size_t entry = 0; entry < entry_count; ++entry) {
        usable.at(entry) = usable_primary(entry);
        if (usable.at(entry) && usable.at(entry)->term < record().term) {
            m_violation = fmt::format("{} may use {} of term {} after term {} was opened at {}",
                                      entry_id(entry).name.value, usable.at(entry)->primary.value,
                                      usable.at(entry)->term, record().term, record().primary.value);
            return;
        }
    }
    if (usable[0] && usable[1] && usable[0]->primary != usable[1]->primary) {
        m_violation =
            fmt::format("entry-1 may use {} of term {}, and entry-2 may use {} of term {}",
                        usable[0]->primary.value, usable[0]->term, usable[1]->primary.value, usable[1]->term);
    }
}

} // namespace hickorymount::node

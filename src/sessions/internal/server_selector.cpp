#include "sessions/internal/server_selector.h"

#include "sessions/internal/position_samples.h"

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

namespace hickorymount::sessions::detail {

namespace {

/// Subtracted from a read's maximum staleness, because clocks are rounded to whole milliseconds.
constexpr milliseconds clock_rounding_margin{5};
/// A statement waits no longer than this for a connection that is being opened, if another server has one.
constexpr milliseconds expected_opening_time{60};
/// A read that has waited for this long may use slots of the primary beyond its share: when the replicas
/// can't run all reads, the slots would idle otherwise.
constexpr milliseconds longest_wait_for_replica{100};
/// Relays to which connections are opened with one change of the view, which come a few times a second.
constexpr int max_relays_opened_at_once = 6;
/// Interval between two comparisons of the servers of a group.
constexpr milliseconds comparison_interval{100};

/// What the response tells about the server. A full queue is the concern of the concurrency limit.
std::optional<server_outcome> outcome_of(response_code code)
{
    switch (code) {
    case response_code::done:
        return server_outcome::executed;
    case response_code::lagging:
        return server_outcome::lagging;
    case response_code::failed:
    case response_code::timed_out:
        return server_outcome::failed;
    default:
        return std::nullopt;
    }
}

work_kind work_kind_of(const caller_session& session)
{
    const bool commits = !session.transaction || session.pending->request.body.kind == statement_kind::commit;
    return session.pending->is_read_only ? work_kind::read : commits ? work_kind::commit : work_kind::write;
}

} // namespace

server_selector::server_selector(event_context& context, connection_pool& connections)
    : m_context(context), m_connections(connections)
{
}

std::optional<connection_number> server_selector::find_connection(caller_session& session)
{
    if (uses_relay(session)) {
        return find_relay_connection(session);
    }
    const pending_statement& pending = *session.pending;
    return pending.needs_primary ? find_primary_connection(session, pending.route.group)
                                 : find_read_connection(session);
}

bool server_selector::uses_relay(const caller_session& session) const
{
    const protocol::group_access* access = m_context.group_access(session.pending->route.group);
    if (session.is_relayed || access == nullptr || access->relay_indexes.empty()) {
        return false;
    }
    if (!access->is_direct || !has_direct_connections(*session.pending)) {
        return true;
    }
    return is_isolated(*session.pending) && !find_relays(session).empty();
}

bool server_selector::has_direct_connections(const pending_statement& pending) const
{
    const std::optional<region_name> target = target_region(pending);
    return !target || target == region_of(m_context.state.zone);
}

bool server_selector::is_misplaced(const caller_session& session) const
{
    return session.is_relayed && session.pending->needs_primary && !session.transaction &&
           !has_direct_connections(*session.pending);
}

std::optional<region_name> server_selector::target_region(const pending_statement& pending) const
{
    if (!m_context.identifies_customers()) {
        return std::nullopt;
    }
    const group_view* group = m_context.group(pending.route.group);
    if (pending.needs_primary) {
        return group == nullptr ? std::nullopt : region_of(group->primary);
    }
    std::optional<region_name> own = region_of(m_context.state.zone);
    std::optional<region_name> other;
    for (const backend_server_name& name : m_context.servers_of(pending.route.group)) {
        const bool is_primary = group != nullptr && group->primary == name;
        const bool is_usable = (!is_primary || group->is_open) && !m_context.server(name)->is_leaving &&
                               !pending.tried_servers.contains(name);
        const std::optional<region_name> region = region_of(name);
        if (is_usable && region == own) {
            return own;
        }
        other = is_usable && region ? region : other;
    }
    return other;
}

std::optional<region_name> server_selector::region_of(const availability_zone& zone) const
{
    const auto region = m_context.state.regions.find(zone);
    return region == m_context.state.regions.end() ? std::nullopt : std::optional(region->second);
}

std::optional<region_name> server_selector::region_of(const backend_server_name& server) const
{
    const server_view* known = m_context.server(server);
    return known == nullptr ? std::nullopt : region_of(known->zone);
}

void server_selector::connect_to_relays()
{
    if (!m_context.identifies_customers() || m_context.state.routes.empty()) {
        return;
    }
    const std::string& database = m_context.state.routes.begin()->first;
    const protocol::relay_plan& plan = *m_context.state.view->relay_plan;
    int opened = 0;
    for (const auto& [group, access] : plan.groups) {
        for (const std::uint32_t index : access.relay_indexes) {
            const protocol::relay_host& host = plan.relays.at(index);
            const auto load = m_context.state.server_loads.find(backend_server_name{host.name.value});
            const bool is_connected =
                load != m_context.state.server_loads.end() && load->second.open_connections > 0;
            if (!is_connected && opened < max_relays_opened_at_once) {
                m_connections.open_relay(host, group, database);
                ++opened;
            }
        }
    }
}

std::vector<relay_candidate> server_selector::find_relays(const caller_session& session) const
{
    const std::optional<region_name> target = target_region(*session.pending);
    const group_name& group = session.pending->route.group;
    std::vector<relay_candidate> candidates;
    for (const std::uint32_t plan_index : m_context.group_access(group)->relay_indexes) {
        const protocol::relay_host& host = m_context.state.view->relay_plan->relays.at(plan_index);
        const backend_server_name name{host.name.value};
        relay_candidate candidate{plan_index, host.zone == m_context.state.zone};
        candidate.was_tried = session.pending->tried_servers.contains(name);
        candidate.affinity = session.customer.empty() ? 0 : relay_affinity(group, session.customer, name);
        const auto load = m_context.state.server_loads.find(name);
        if (load != m_context.state.server_loads.end()) {
            candidate.connections_in_use = load->second.connections_in_use;
            candidate.is_avoided = m_context.now < load->second.avoid_until;
            candidate.in_flight = load->second.in_flight;
            candidate.response_ms = response_ms(load->second.times, m_context.now);
        }
        candidate.is_in_target_region = !target || region_of(host.zone) == target;
        candidates.push_back(candidate);
    }
    return rank_relays(std::move(candidates));
}

std::vector<relay_candidate> server_selector::order_by_zone(const caller_session& session,
                                                            std::vector<relay_candidate> relays)
{
    const std::optional<region_name> target = target_region(*session.pending);
    if (target && target != region_of(m_context.state.zone)) {
        return relays;
    }
    std::vector<read_candidate> loads;
    loads.reserve(relays.size());
    for (const relay_candidate& relay : relays) {
        loads.push_back(describe_relay(relay, work_kind_of(session)));
    }
    estimate_unmeasured(loads);
    const zone_load nearby = load_of(loads, false);
    const zone_load elsewhere = load_of(loads, true);
    if (!nearby.is_usable || !elsewhere.is_usable) {
        return relays;
    }
    const group_name& group = session.pending->route.group;
    zone_overflow& overflow = m_context.state.selections[group].relay_overflow;
    const double waited = waited_ms(*session.pending);
    overflow = adjust(overflow, nearby, elsewhere, std::max(overflow.waited_ms, waited), m_context.now);
    report_overflow(group, overflow, true);
    if (leaves(overflow, nearby, elsewhere, waited)) {
        std::stable_partition(relays.begin(), relays.end(),
                              [](const relay_candidate& each) { return !each.is_in_own_zone; });
    }
    return relays;
}

read_candidate server_selector::describe_relay(const relay_candidate& relay, work_kind kind) const
{
    const protocol::relay_host& host = m_context.state.view->relay_plan->relays.at(relay.plan_index);
    read_candidate described{backend_server_name{host.name.value}, false, relay.is_in_own_zone,
                             !relay.is_in_own_zone};
    described.slots = max_relay_connections;
    described.in_flight = relay.in_flight;
    const auto load = m_context.state.server_loads.find(described.name);
    if (load != m_context.state.server_loads.end()) {
        described.round_trip_ms = round_trip_ms(load->second.times);
        described.service_ms = service_ms(load->second.times, kind);
        described.queueing_ms = queueing_ms(load->second.times, m_context.now);
        described.has_capacity =
            !load->second.idle_connections.empty() || load->second.open_connections < max_relay_connections;
    }
    return described;
}

std::optional<connection_number> server_selector::find_relay_connection(caller_session& session)
{
    pending_statement& pending = *session.pending;
    for (const relay_candidate& candidate : order_by_zone(session, find_relays(session))) {
        const protocol::relay_host& host = m_context.state.view->relay_plan->relays.at(candidate.plan_index);
        const backend_server_name name{host.name.value};
        if (const std::optional<connection_number> connection = m_connections.find_idle(name, session)) {
            pending.minimum_position = required_position(session);
            record_sent(m_context.state.selections[pending.route.group].relay_overflow,
                        !candidate.is_in_own_zone, pending);
            return connection;
        }
        const std::size_t waiting = m_context.queued_count(pending.route.group);
        if (m_context.state.server_loads[name].opening_connections < waiting) {
            m_connections.open_relay(host, pending.route.group, session.database);
        }
        if (m_context.state.server_loads[name].opening_connections > 0) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

std::optional<group_position> server_selector::required_position(const caller_session& session)
{
    const pending_statement& pending = *session.pending;
    const auto own_commit = session.commit_positions.find(pending.route.group);
    const bool needs_own_commit =
        pending.is_read_only && own_commit != session.commit_positions.end() &&
        pending.route.consistency == configuration::read_consistency::read_your_writes;
    return needs_own_commit ? std::max(pending.request.minimum_position, std::optional(own_commit->second))
                            : pending.request.minimum_position;
}

std::optional<connection_number> server_selector::find_primary_connection(const caller_session& session,
                                                                          const group_name& group)
{
    const group_view* known = m_context.group(group);
    if (known == nullptr || !m_context.is_primary_usable(*known) || known->is_held ||
        is_closed_to_new_work(known->primary) || !has_capacity(known->primary)) {
        return std::nullopt;
    }
    const std::optional<connection_number> connection = m_connections.find_idle(known->primary, session);
    if (!connection) {
        m_connections.open_if_allowed(known->primary, session.customer);
    }
    return connection;
}

std::optional<connection_number> server_selector::find_read_connection(caller_session& session)
{
    pending_statement& pending = *session.pending;
    const group_name& group = pending.route.group;
    std::optional<group_position> minimum_position =
        position_covering(m_context.state.position_samples[group],
                          pending.request.received_at - pending.route.max_staleness + clock_rounding_margin);
    if (!minimum_position) {
        return find_primary_connection(session, group);
    }
    minimum_position = std::max(minimum_position, required_position(session));
    compare_servers(group);
    for (const backend_server_name& name : m_context.servers_of(group)) {
        // No read waits for this server, so nothing else tries to reach it again.
        if (is_unreachable(name) && !m_context.server(name)->is_leaving) {
            m_connections.open_if_allowed(name, session.customer);
        }
    }
    for (const read_candidate& server : order_by_region(session, find_read_servers(session))) {
        const std::optional<connection_number> connection = m_connections.find_idle(server.name, session);
        if (connection) {
            pending.minimum_position = server.is_primary ? std::nullopt : minimum_position;
            record_sent(m_context.state.selections[group].read_overflow, server.is_far, pending);
            return connection;
        }
        // The pool to a better server grows even if another server can run this read now.
        m_connections.open_if_allowed(server.name, session.customer);
        const bool may_await_opening = m_context.now - pending.request.received_at < expected_opening_time;
        if (may_await_opening && m_connections.is_opening_for(server.name, session.customer)) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

std::vector<read_candidate> server_selector::order_by_region(const caller_session& session,
                                                             std::vector<read_candidate> servers)
{
    const group_name& group = session.pending->route.group;
    zone_overflow& overflow = m_context.state.selections[group].read_overflow;
    const double waited = std::max(overflow.waited_ms, waited_ms(*session.pending));
    const zone_load nearby = load_of(servers, false);
    const zone_load elsewhere = load_of(servers, true);
    std::erase_if(servers, [](const read_candidate& each) { return !each.has_capacity; });
    servers = rank_read_servers(std::move(servers));
    if (!elsewhere.is_usable) {
        return servers;
    }
    overflow = adjust(overflow, nearby, elsewhere, waited, m_context.now);
    report_overflow(group, overflow, false);
    if (!leaves(overflow, nearby, elsewhere, waited_ms(*session.pending))) {
        std::erase_if(servers, [](const read_candidate& each) { return each.is_far; });
    } else {
        std::stable_partition(servers.begin(), servers.end(),
                              [](const read_candidate& each) { return each.is_far; });
    }
    return servers;
}

double server_selector::waited_ms(const pending_statement& pending) const
{
    return static_cast<double>((m_context.now - pending.request.received_at).count());
}

void server_selector::record_sent(zone_overflow& overflow, bool has_left,
                                  const pending_statement& pending) const
{
    overflow = after_sending(overflow, has_left, waited_ms(pending));
}

void server_selector::report_overflow(const group_name& group, zone_overflow& overflow, bool is_relayed)
{
    if (!is_report_due(overflow, m_context.now)) {
        return;
    }
    overflow.reported_share = overflow.share;
    overflow.reported_at = m_context.now;
    m_context.log(logging::log_level::information, "change_overflow", "",
                  fmt::format("group={} relayed={} share={:.2f} waited_ms={:.0f}", group.value, is_relayed,
                              overflow.share, overflow.waited_ms));
    m_context.emit(record_overflow_metrics{group, is_relayed, overflow.share});
}

std::vector<read_candidate> server_selector::find_read_servers(const caller_session& session) const
{
    const pending_statement& pending = *session.pending;
    const group_view* known = m_context.group(pending.route.group);
    const std::optional<double> shortest = shortest_round_trip_ms(pending.route.group);
    bool has_healthy = false;
    std::vector<read_candidate> servers;
    for (const backend_server_name& name : m_context.servers_of(pending.route.group)) {
        const server_view& server = *m_context.server(name);
        const bool is_primary = known != nullptr && known->primary == name;
        const bool is_usable = !is_primary || (m_context.is_primary_usable(*known) && !known->is_held);
        if (server.is_leaving || !is_usable || pending.tried_servers.contains(name)) {
            continue;
        }
        const server_load& load = m_context.state.server_loads[name];
        const bool is_starting =
            load.in_flight >= slow_start_limit(load.health, m_context.now).value_or(load.in_flight + 1);
        read_candidate candidate{name, is_primary, server.zone == m_context.state.zone};
        candidate.round_trip_ms = round_trip_ms(load.times);
        candidate.is_far = is_far(candidate.round_trip_ms, shortest);
        candidate.in_flight = load.in_flight;
        candidate.slots = server.slots;
        candidate.service_ms = service_ms(load.times, work_kind::read);
        candidate.queueing_ms = queueing_ms(load.times, m_context.now);
        candidate.needs_opening = m_context.identifies_customers() && !m_connections.find_idle(name, session);
        candidate.is_avoided = m_context.now < load.avoid_until;
        candidate.has_capacity = has_capacity(name) && can_connect(name, session);
        candidate.is_ejected = is_ejected(load.health, m_context.now) || is_starting || is_unreachable(name);
        has_healthy = has_healthy || (is_connected(name) && !candidate.is_ejected);
        servers.push_back(std::move(candidate));
    }
    estimate_unmeasured(servers);
    if (has_healthy) {
        std::erase_if(servers, [](const read_candidate& each) { return each.is_ejected; });
    }
    const bool has_waited = m_context.now - pending.request.received_at >= longest_wait_for_replica;
    const bool has_replica = std::any_of(servers.begin(), servers.end(), [&](const read_candidate& each) {
        return !each.is_primary && is_connected(each.name);
    });
    if (has_replica && !has_waited) {
        std::erase_if(servers, [](const read_candidate& each) {
            return each.is_primary && !may_read_at_primary(each);
        });
    }
    return servers;
}

bool server_selector::is_connected(const backend_server_name& server) const
{
    const auto load = m_context.state.server_loads.find(server);
    return load != m_context.state.server_loads.end() && !load->second.unreachable_since &&
           load->second.open_connections > 0;
}

bool server_selector::has_tried_all(const caller_session& session) const
{
    const std::set<backend_server_name>& tried = session.pending->tried_servers;
    const group_name& group = session.pending->route.group;
    if (!uses_relay(session)) {
        const std::vector<backend_server_name>& servers = m_context.servers_of(group);
        return !session.pending->needs_primary && !servers.empty() &&
               std::all_of(servers.begin(), servers.end(),
                           [&](const backend_server_name& name) { return tried.contains(name); });
    }
    const auto& indexes = m_context.group_access(group)->relay_indexes;
    return std::all_of(indexes.begin(), indexes.end(), [&](std::uint32_t index) {
        return tried.contains(
            backend_server_name{m_context.state.view->relay_plan->relays.at(index).name.value});
    });
}

void server_selector::compare_servers(const group_name& group)
{
    group_selection& selection = m_context.state.selections[group];
    if (m_context.now < selection.next_comparison_at) {
        return;
    }
    selection.next_comparison_at = m_context.now + comparison_interval;
    const group_view* known = m_context.group(group);
    const std::vector<backend_server_name>& servers = m_context.servers_of(group);
    const bool is_group_known =
        std::any_of(servers.begin(), servers.end(), [&](const backend_server_name& name) {
            return m_context.state.server_loads[name].health.process_started_at != unix_milliseconds{0};
        });
    std::vector<observed_server> observed;
    observed.reserve(servers.size());
    for (const backend_server_name& name : servers) {
        server_load& load = m_context.state.server_loads[name];
        const unix_milliseconds started_at = m_context.server(name)->started_at;
        const bool was_started = load.health.process_started_at != started_at && is_group_known;
        load.health.process_started_at = started_at;
        const bool has_served_ejection = load.health.ejected_until && !is_ejected(load.health, m_context.now);
        if (has_served_ejection) {
            m_context.log(logging::log_level::information, "readmit_server", name.value,
                          "group=" + group.value);
            m_context.emit(record_ejection_metrics{name});
        }
        if (was_started || has_served_ejection) {
            load.health = readmit(load.health, m_context.now);
        }
        observed.push_back({name, load.health, known != nullptr && known->primary == name,
                            recent_read_ms(load.times, m_context.now)});
    }
    for (const ejection& each : choose_ejections(observed, m_context.now)) {
        eject_server(group, each);
    }
}

void server_selector::eject_server(const group_name& group, const ejection& chosen)
{
    server_load& load = m_context.state.server_loads[chosen.server];
    load.health = eject(load.health, m_context.now);
    m_context.log(logging::log_level::warning, "eject_server", chosen.server.value,
                  fmt::format("group={} reason={} for_ms={} failed_share={:.2f} lagging_share={:.2f} "
                              "read_ms={:.0f} in_flight={}",
                              group.value, to_string(chosen.reason),
                              (*load.health.ejected_until - m_context.now).count(), load.health.failed_share,
                              load.health.lagging_share,
                              recent_read_ms(load.times, m_context.now).value_or(0), load.in_flight));
    m_context.emit(record_ejection_metrics{chosen.server, chosen.reason});
}

std::optional<double> server_selector::shortest_round_trip_ms(const group_name& group) const
{
    std::optional<double> shortest;
    for (const backend_server_name& name : m_context.servers_of(group)) {
        const std::optional<double> measured = round_trip_ms(m_context.state.server_loads[name].times);
        if (measured) {
            shortest = std::min(*measured, shortest.value_or(*measured));
        }
    }
    return shortest;
}

bool server_selector::has_capacity(const backend_server_name& server) const
{
    const auto load = m_context.state.server_loads.find(server);
    return load == m_context.state.server_loads.end() || may_send(load->second.limit, load->second.in_flight);
}

bool server_selector::can_connect(const backend_server_name& server, const caller_session& session) const
{
    const auto load = m_context.state.server_loads.find(server);
    if (load == m_context.state.server_loads.end() || m_connections.find_idle(server, session)) {
        return true;
    }
    const bool has_share = load->second.open_connections < m_context.server(server)->connection_share ||
                           !load->second.idle_connections.empty() || load->second.opening_connections > 0;
    return has_share && m_context.now >= load->second.connect_after;
}

bool server_selector::is_unreachable(const backend_server_name& server) const
{
    const auto load = m_context.state.server_loads.find(server);
    return load != m_context.state.server_loads.end() && load->second.unreachable_since &&
           load->second.open_connections <= load->second.opening_connections;
}

bool server_selector::is_closed_to_new_work(const backend_server_name& server) const
{
    const auto load = m_context.state.server_loads.find(server);
    return load != m_context.state.server_loads.end() && load->second.leaving_since &&
           m_context.now - *load->second.leaving_since >= leaving_primary_timeout;
}

bool server_selector::is_isolated(const pending_statement& pending) const
{
    return pending.needs_primary && pending.connection == 0 && is_isolated(pending.route.group);
}

bool server_selector::is_isolated(const group_name& name) const
{
    const group_view* group = m_context.group(name);
    if (group == nullptr) {
        return false;
    }
    const bool has_lost_lease = m_context.now - m_context.state.view->lease_until >= isolation_delay;
    const bool is_cut_off =
        group->is_open && is_unreachable(group->primary) &&
        m_context.now - *m_context.state.server_loads.at(group->primary).unreachable_since >= isolation_delay;
    return has_lost_lease || is_cut_off;
}

void server_selector::record_response(const server_connection& connection, response_code code)
{
    server_load& load = m_context.state.server_loads[connection.server];
    if (const std::optional<server_outcome> outcome = outcome_of(code)) {
        load.health = after_outcome(load.health, *outcome, m_context.now);
    }
    if (code == response_code::busy) {
        load.limit = after_refusal(load.limit, load.in_flight, m_context.now);
    } else if (code == response_code::done) {
        const std::optional<work_kind> kind = record_execution(connection, load);
        load.limit = after_answer(load.limit, load.in_flight, queueing_at(load, kind), m_context.now);
    }
}

queueing_signal server_selector::queueing_at(const server_load& load, std::optional<work_kind> kind) const
{
    // Another entry host queues the statements itself.
    if (load.is_relay || !kind) {
        return {};
    }
    return {queueing_ms(load.times, m_context.now), service_ms(load.times, *kind).value_or(0),
            response_ms(load.times, m_context.now)};
}

std::optional<work_kind> server_selector::record_execution(const server_connection& connection,
                                                           server_load& load)
{
    const caller_session* session = m_context.session(connection.holder);
    if (connection.stage != connection_stage::running || session == nullptr || !session->pending) {
        return std::nullopt;
    }
    const work_kind kind = work_kind_of(*session);
    load.times = after_statement(load.times, kind, m_context.now - connection.sent_at, m_context.now);
    return kind;
}

} // namespace hickorymount::sessions::detail

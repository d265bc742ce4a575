#include "sessions/internal/link_keeper.h"

#include <algorithm>

#include <fmt/format.h>
#include <xxhash.h>

namespace hickorymount::sessions::detail {

namespace {

/// Connections to one server that are opened at once; each takes a slot there for a moment.
constexpr std::uint32_t max_opening = 2;
/// The same to another entry host, where they take next to nothing.
constexpr std::uint32_t max_opening_relays = 4;
/// Weight of the newest observation in the smoothed latency.
constexpr double latency_weight = 0.1;

bool is_under_way(link_stage stage)
{
    return stage == link_stage::preparing || stage == link_stage::running ||
           stage == link_stage::rolling_back;
}

/// How much has to be sent before the connection holds the session's values.
int mismatch(const server_link& link, const caller_session& session)
{
    if (link.values == session.values) {
        return 0;
    }
    const bool needs_reset = std::any_of(link.values.begin(), link.values.end(), [&](const auto& each) {
        return !session.values.contains(each.first);
    });
    return needs_reset ? 2 : 1;
}

} // namespace

std::string shared_name(const prepared_statement& prepared)
{
    const std::string text = (prepared.only_reads ? "r " : "w ") + prepared.shape;
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return fmt::format("p{:016x}{:016x}", hash.high64, hash.low64);
}

link_keeper::link_keeper(session_step& step) : m_step(step) {}

std::optional<link_number> link_keeper::find_idle(const backend_server_name& server,
                                                  const caller_session& session) const
{
    std::optional<link_number> best;
    int best_mismatch = 0;
    for (const auto& [number, link] : m_step.state.links) {
        if (link.server != server || link.stage != link_stage::idle ||
            (link.is_relay && link.database != session.database)) {
            continue;
        }
        const int found = mismatch(link, session);
        if (!best || found < best_mismatch) {
            best = number;
            best_mismatch = found;
        }
    }
    return best;
}

void link_keeper::open_if_allowed(const backend_server_name& server)
{
    const server_in_view* known = m_step.server(server);
    server_load& load = m_step.state.loads[server];
    if (known == nullptr || load.opening >= max_opening || load.open >= known->share ||
        m_step.now < load.connect_after) {
        return;
    }
    const link_number number = m_step.state.next_link++;
    server_link link;
    link.server = server;
    link.group = known->group;
    link.opened_at = m_step.now;
    m_step.state.links.emplace(number, std::move(link));
    ++load.open;
    ++load.opening;
    m_step.emit(open_link{number, known->group, server, known->address});
}

void link_keeper::open_relay(const protocol::relay_host& host, const group_name& group,
                             const std::string& database)
{
    const backend_server_name name{host.name.value};
    server_load& load = m_step.state.loads[name];
    load.is_relay = true;
    if (load.opening >= max_opening_relays || load.open >= max_relay_links ||
        m_step.now < load.connect_after) {
        return;
    }
    const link_number number = m_step.state.next_link++;
    server_link link;
    link.server = name;
    link.group = group;
    link.is_relay = true;
    link.database = database;
    link.opened_at = m_step.now;
    m_step.state.links.emplace(number, std::move(link));
    ++load.open;
    ++load.opening;
    m_step.emit(open_link{number, group, name, host.address, database});
}

void link_keeper::lend(link_number number, session_number holder)
{
    server_link& link = m_step.state.links.at(number);
    link.holder = holder;
    set_stage(link, link_stage::reserved);
    server_load& load = m_step.state.loads[link.server];
    ++load.in_use;
    load.peak_in_use = std::max(load.peak_in_use, load.in_use);
}

bool link_keeper::prepare(link_number number, const caller_session& session, const pending_statement& wanted)
{
    server_link& link = m_step.state.links.at(number);
    const int missing = mismatch(link, session);
    if (missing == 2) {
        send_own(number, link, {.kind = statement_kind::reset}, {});
        return true;
    }
    if (missing == 1) {
        const auto differing =
            std::find_if(session.values.begin(), session.values.end(), [&](const auto& each) {
                const auto held = link.values.find(each.first);
                return held == link.values.end() || held->second != each.second;
            });
        send_own(number, link,
                 {.kind = statement_kind::set_value, .name = differing->first, .argument = differing->second},
                 {});
        return true;
    }
    if (session.transaction && !link.is_in_transaction) {
        const bool only_reads = session.transaction->only_reads;
        send_own(number, link, {.kind = only_reads ? statement_kind::begin_read : statement_kind::begin},
                 wanted.least_position);
        return true;
    }
    if (wanted.asked.what.kind == statement_kind::execute) {
        const prepared_statement& prepared = session.prepared.at(wanted.asked.what.name);
        const std::string name = shared_name(prepared);
        if (!link.prepared.contains(name)) {
            send_own(number, link,
                     {.kind = statement_kind::prepare,
                      .name = name,
                      .argument = prepared.shape,
                      .only_reads = prepared.only_reads},
                     {});
            return true;
        }
    }
    return false;
}

void link_keeper::run(link_number number, const pending_statement& wanted)
{
    server_link& link = m_step.state.links.at(number);
    const group_in_view* group = m_step.group(link.group);
    const bool is_primary = group != nullptr && group->primary == link.server;
    set_stage(link, link_stage::running);
    link.sent_at = m_step.now;
    link.sent_in_term = is_primary && m_step.is_primary_usable(*group) ? group->term : 0;
    statement what = wanted.asked.what;
    if (what.kind == statement_kind::execute) {
        const caller_session& session = m_step.state.sessions.at(link.holder);
        what.name = shared_name(session.prepared.at(what.name));
    }
    const bool is_first_read = !link.is_in_transaction && wanted.only_reads;
    m_step.emit(run_on_link{number, wanted.asked.id, std::move(what),
                            is_first_read ? wanted.least_position : std::nullopt});
}

void link_keeper::note_own_done(server_link& link)
{
    const statement& own = *link.own;
    switch (own.kind) {
    case statement_kind::reset:
        link.values.clear();
        link.prepared.clear();
        break;
    case statement_kind::set_value:
        link.values[own.name] = own.argument;
        break;
    case statement_kind::prepare:
        link.prepared.insert(own.name);
        break;
    case statement_kind::begin:
    case statement_kind::begin_read:
        link.is_in_transaction = true;
        break;
    case statement_kind::rollback:
        link.is_in_transaction = false;
        break;
    default:
        break;
    }
    link.own.reset();
}

void link_keeper::release(link_number number)
{
    server_link& link = m_step.state.links.at(number);
    if (link.holder != 0) {
        --m_step.state.loads[link.server].in_use;
        link.holder = 0;
    }
    if (link.is_in_transaction) {
        send_own(number, link, {.kind = statement_kind::rollback}, {});
        set_stage(link, link_stage::rolling_back);
        return;
    }
    set_stage(link, link_stage::idle);
    if (is_surplus(link)) {
        close(number);
    }
}

void link_keeper::leave_unanswered(link_number number)
{
    server_link& link = m_step.state.links.at(number);
    --m_step.state.loads[link.server].in_use;
    link.holder = 0;
}

void link_keeper::close(link_number number)
{
    m_step.emit(close_link{number});
    forget(number);
}

void link_keeper::forget(link_number number)
{
    const auto found = m_step.state.links.find(number);
    const server_link& link = found->second;
    server_load& load = m_step.state.loads[link.server];
    --load.open;
    load.opening -= link.stage == link_stage::opening ? 1 : 0;
    load.in_use -= link.holder != 0 ? 1 : 0;
    load.under_way -= is_under_way(link.stage) ? 1 : 0;
    m_step.state.links.erase(found);
}

void link_keeper::trim()
{
    std::vector<link_number> surplus;
    std::map<backend_server_name, std::uint32_t> counted;
    for (const auto& [number, link] : m_step.state.links) {
        const server_in_view* known = m_step.server(link.server);
        const bool is_over = !link.is_relay && (known == nullptr || ++counted[link.server] > known->share);
        if (link.stage == link_stage::idle && (is_over || is_surplus(link))) {
            surplus.push_back(number);
        }
    }
    for (const link_number number : surplus) {
        close(number);
    }
}

void link_keeper::set_stage(server_link& link, link_stage stage)
{
    server_load& load = m_step.state.loads[link.server];
    load.under_way += is_under_way(stage) ? 1 : 0;
    load.under_way -= is_under_way(link.stage) ? 1 : 0;
    link.stage = stage;
}

void link_keeper::note_latency(const server_link& link)
{
    server_load& load = m_step.state.loads[link.server];
    const auto took = static_cast<double>((m_step.now - link.sent_at).count());
    load.latency_ms += latency_weight * (took - load.latency_ms);
}

void link_keeper::avoid(const backend_server_name& server)
{
    m_step.state.loads[server].avoid_until = m_step.now + refusal_pause;
}

void link_keeper::send_own(link_number number, server_link& link, statement what,
                           const std::optional<group_position>& least)
{
    set_stage(link, link_stage::preparing);
    link.sent_at = m_step.now;
    link.sent_in_term = 0;
    link.own = what;
    m_step.emit(run_on_link{number, "", std::move(what), least});
}

bool link_keeper::is_surplus(const server_link& link) const
{
    if (link.is_relay) {
        return !m_step.is_relay_planned(link.group, link.server);
    }
    const server_in_view* known = m_step.server(link.server);
    const group_in_view* group = m_step.group(link.group);
    const bool is_primary = group != nullptr && group->primary == link.server;
    return known == nullptr || (known->is_leaving && !is_primary) ||
           m_step.state.loads[link.server].open > known->share;
}

} // namespace hickorymount::sessions::detail

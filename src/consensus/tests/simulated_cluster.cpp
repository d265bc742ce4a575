#include "consensus/tests/simulated_cluster.h"

#include <algorithm>

namespace hickorymount::consensus {

void simulated_cluster::start_founders(const std::vector<std::string>& names)
{
    snapshot founding;
    founding.last_index = founding.last_term = 1;
    for (const std::string& name : names) {
        founding.members.voters.push_back({host_name{name}, data_folder_id{name}});
    }
    for (const std::string& name : names) {
        host& added = m_hosts[name];
        added.stored.identity = data_folder_id{name};
        added.stored.persistent_state.term = 1;
        added.stored.latest_snapshot = shared_value(founding);
        start(name);
    }
}

void simulated_cluster::add_host(const std::string& name)
{
    m_hosts[name];
    wipe(name);
    start(name);
}

void simulated_cluster::restart(const std::string& name)
{
    start(name);
}

void simulated_cluster::wipe(const std::string& name)
{
    stored_state empty;
    empty.identity = data_folder_id{name + "-" + std::to_string(m_next_identity++)};
    empty.latest_snapshot = shared_value(snapshot{});
    m_hosts.at(name).stored = empty;
}

void simulated_cluster::start(const std::string& name)
{
    host& target = m_hosts.at(name);
    target.is_up = true;
    std::vector<host_name> contacts;
    for (const auto& [other, ignored] : m_hosts) {
        if (other != name) {
            contacts.push_back(host_name{other});
        }
    }
    apply_event(name,
                started{{host_name{name}, target.stored.identity}, contacts, target.stored, m_next_seed++});
}

void simulated_cluster::advance(milliseconds duration)
{
    const time_point end = m_now + duration;
    while (m_now < end) {
        m_now += step_duration;
        while (!m_messages.empty() && m_messages.front().arrives_at <= m_now) {
            const message_in_transit arrived = std::move(m_messages.front());
            m_messages.pop_front();
            if (m_hosts.at(arrived.recipient).is_up) {
                apply_event(arrived.recipient, message_received{host_name{arrived.sender}, arrived.content});
            }
        }
        for (auto& [name, each] : m_hosts) {
            if (each.is_up && each.next_timer_at <= m_now) {
                apply_event(name, timer_expired{});
            }
        }
        const auto certain = std::count_if(m_hosts.begin(), m_hosts.end(), [this](const auto& each) {
            return leadership_certain_until(each.second.state) > m_now;
        });
        m_most_certain_leaders = std::max(m_most_certain_leaders, static_cast<std::size_t>(certain));
    }
}

bool simulated_cluster::propose()
{
    const auto leading = leader();
    if (leading) {
        apply_event(*leading, entries_proposed{{no_operation{}}});
    }
    return leading.has_value();
}

std::optional<std::string> simulated_cluster::leader() const
{
    std::optional<std::string> newest;
    for (const auto& [name, each] : m_hosts) {
        const bool is_newer =
            !newest || each.state.persistent_state.term > m_hosts.at(*newest).state.persistent_state.term;
        if (each.is_up && is_ready_leader(each.state) && is_newer) {
            newest = name;
        }
    }
    return newest;
}

std::set<std::string> simulated_cluster::voters() const
{
    std::set<std::string> names;
    const auto leading = leader();
    if (!leading || state_of(*leading).members.outgoing_voters) {
        return names;
    }
    for (const member& each : state_of(*leading).members.voters) {
        names.insert(each.name.value);
    }
    return names;
}

void simulated_cluster::apply_event(const std::string& name, event_payload payload)
{
    host& target = m_hosts.at(name);
    transition next = reduce(std::move(target.state), {m_now, std::move(payload)});
    target.state = std::move(next.state);
    target.next_timer_at = next.next_timer_at;
    std::optional<sync_id> synced;
    for (const effect& each : next.effects) {
        execute(name, each);
        if (const auto* log = std::get_if<persist_log>(&each)) {
            synced = log->id;
        } else if (const auto* whole = std::get_if<persist_snapshot>(&each)) {
            synced = whole->id;
        }
    }
    if (synced) {
        apply_event(name, sync_completed{*synced});
    }
}

void simulated_cluster::execute(const std::string& name, const effect& each)
{
    host& source = m_hosts.at(name);
    if (const auto* sent = std::get_if<send_message>(&each)) {
        if (m_hosts.contains(sent->recipient.value)) {
            m_messages.push_back({m_now + link_delay, name, sent->recipient.value, sent->content});
        }
    } else if (const auto* write = std::get_if<persist_log>(&each)) {
        store(source, *write);
    } else if (const auto* whole = std::get_if<persist_snapshot>(&each)) {
        source.stored.persistent_state = whole->persistent_state;
        source.stored.latest_snapshot = whole->content;
        source.stored.entries = whole->entries;
    } else if (const auto* committed = std::get_if<apply_entry>(&each)) {
        const log_entry& entry = committed->entry;
        const auto [known, is_new] = m_committed_terms.emplace(entry.index, entry.term);
        if (!is_new && known->second != entry.term) {
            m_conflicts.push_back(name + " commits another entry at index " + std::to_string(entry.index));
        }
    }
}

void simulated_cluster::store(host& target, const persist_log& write)
{
    target.stored.persistent_state = write.persistent_state;
    std::erase_if(target.stored.entries,
                  [&](const log_entry& each) { return each.index >= write.truncate_from; });
    target.stored.entries.insert(target.stored.entries.end(), write.entries.begin(), write.entries.end());
}

} // namespace hickorymount::consensus

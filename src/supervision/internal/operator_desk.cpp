#include "supervision/internal/operator_desk.h"

#include "consensus/reduce.h"
#include "supervision/reduce.h"

#include <algorithm>

namespace hickorymount::supervision::detail {

namespace {

constexpr const char* not_leader = "this host does not lead; ask the leader";

} // namespace

operator_desk::operator_desk(supervision_step& step, const lease_keeper& leases, primary_changer& changer)
    : m_step(step), m_leases(leases), m_changer(changer)
{
}

void operator_desk::handle(const configuration_asked& asked)
{
    if (!m_step.state.is_leading) {
        refuse(asked.request, not_leader);
        return;
    }
    m_step.propose(asked.change, operator_caller{asked.request});
}

void operator_desk::handle(const replacement_asked& asked)
{
    if (!m_step.state.is_leading) {
        refuse(asked.request, not_leader);
        return;
    }
    auto& proposed = m_step.state.proposed_version;
    proposed = std::max(proposed, m_step.directory().configuration->version);
    directory::replace_configuration change = asked.change;
    if (change.version <= proposed) {
        // Its acknowledgement still waits for the log, which holds the version already.
        change.is_repeated = true;
        change.content = {};
    }
    proposed = std::max(proposed, change.version);
    m_step.propose(std::move(change), operator_caller{asked.request});
}

void operator_desk::handle(const switch_asked& asked)
{
    if (!m_step.state.is_leading) {
        refuse(asked.request, not_leader);
        return;
    }
    const bool is_started = m_changer.start_planned(asked.group, asked.target, "asked for by an operator");
    m_step.effects.emplace_back(answer_operator{asked.request, switch_answer{asked.group, is_started}});
}

void operator_desk::handle(const status_asked& asked)
{
    m_step.effects.emplace_back(answer_operator{asked.request, summary()});
}

void operator_desk::handle(const configuration_shown& asked)
{
    if (!m_step.state.is_leading) {
        refuse(asked.request, not_leader);
        return;
    }
    m_step.state.readings.push_back({asked.request, m_step.around.consensus.round});
}

void operator_desk::answer_readings()
{
    std::vector<pending_reading> waiting;
    for (const pending_reading& reading : m_step.state.readings) {
        if (consensus::is_confirmed_since(m_step.around.consensus, reading.after_round)) {
            m_step.effects.emplace_back(
                answer_operator{reading.request, shown_configuration{*m_step.directory().configuration}});
        } else {
            waiting.push_back(reading);
        }
    }
    m_step.state.readings = std::move(waiting);
}

void operator_desk::refuse_waiting()
{
    for (const pending_in_force& pending : m_step.state.in_force) {
        refuse(pending.request, "the leader changed; send the change again");
    }
    for (const pending_reading& reading : m_step.state.readings) {
        refuse(reading.request, "the leader changed; ask again");
    }
}

void operator_desk::handle(const operator_caller& caller, const directory::change_answer& answer)
{
    if (answer.outcome == directory::change_outcome::conflict) {
        m_step.effects.emplace_back(
            answer_operator{caller.request, configuration_answer{answer.outcome, answer.version, false, {}}});
        return;
    }
    m_step.state.in_force.push_back({caller.request, answer.version, m_step.now() + in_force_timeout});
    answer_in_force();
}

void operator_desk::answer_replacement(const operator_caller& caller, const directory::change_answer& answer)
{
    m_step.effects.emplace_back(
        answer_operator{caller.request, configuration_answer{answer.outcome, answer.version, false, {}}});
}

void operator_desk::answer_in_force()
{
    std::vector<pending_in_force> waiting;
    for (const pending_in_force& pending : m_step.state.in_force) {
        std::vector<host_name> behind = hosts_behind(pending.version);
        if (!behind.empty() && m_step.now() < pending.give_up_at) {
            waiting.push_back(pending);
            continue;
        }
        const bool is_in_force = behind.empty();
        m_step.effects.emplace_back(answer_operator{
            pending.request, configuration_answer{directory::change_outcome::accepted, pending.version,
                                                  is_in_force, std::move(behind)}});
    }
    m_step.state.in_force = std::move(waiting);
}

void operator_desk::refuse(std::uint64_t request, const std::string& reason)
{
    m_step.effects.emplace_back(
        answer_operator{request, refused_answer{reason, m_step.around.consensus.leader}});
}

std::vector<host_name> operator_desk::hosts_behind(configuration::configuration_version version) const
{
    std::vector<host_name> behind;
    for (const entry_key& entry : m_leases.leased()) {
        if (m_step.state.entries.find(entry)->version < version) {
            behind.push_back(entry.name);
        }
    }
    return behind;
}

status_summary operator_desk::summary() const
{
    const consensus::consensus_state& log = m_step.around.consensus;
    status_summary status;
    status.host = log.self.name;
    status.is_leader = m_step.state.is_leading;
    status.leader = log.leader;
    status.term = log.hard.term;
    status.commit = log.commit;
    status.members = log.members;
    status.version = m_step.directory().configuration->version;
    status.claims = m_step.directory().claims.size();
    for (const auto& [entry, record] : m_step.directory().entry_hosts) {
        const entry_status* known = m_step.state.entries.find(entry);
        const bool is_live = known != nullptr && known->lease_end > m_step.now();
        status.entry_hosts.push_back(
            {entry.name, entry.incarnation, record.zone, is_live, known == nullptr ? 0 : known->version});
    }
    for (const auto& [name, record] : m_step.directory().groups) {
        const group_change* change = m_step.state.changes.find(name);
        status.groups.push_back(
            {name, record, change == nullptr ? "" : std::string(to_string(change->stage))});
    }
    for (const auto& [name, known] : m_step.state.servers) {
        status.backend_servers.push_back(known.report);
    }
    return status;
}

} // namespace hickorymount::supervision::detail

#include "supervision/internal/operator_request_handler.h"

#include "consensus/reduce.h"
#include "supervision/reduce.h"

#include <algorithm>

namespace hickorymount::supervision::detail {

namespace {

constexpr const char* not_leader = "this host does not lead; ask the leader";

} // namespace

operator_request_handler::operator_request_handler(supervision_context& context, const lease_manager& leases,
                                                   failover_manager& failover)
    : m_context(context), m_leases(leases), m_failover(failover)
{
}

void operator_request_handler::handle(const configuration_change_requested& request)
{
    if (!m_context.state.is_leading) {
        refuse(request.request, not_leader);
        return;
    }
    m_context.propose(request.change, operator_sender{request.request});
}

void operator_request_handler::handle(const configuration_replacement_requested& request)
{
    if (!m_context.state.is_leading) {
        refuse(request.request, not_leader);
        return;
    }
    auto& proposed = m_context.state.proposed_version;
    proposed = std::max(proposed, m_context.directory().configuration->version);
    directory::replace_configuration change = request.change;
    if (change.version <= proposed) {
        // The log already holds this version; the answer still waits until the entry is committed.
        change.is_repeated = true;
        change.content = {};
    }
    proposed = std::max(proposed, change.version);
    m_context.propose(std::move(change), operator_sender{request.request});
}

void operator_request_handler::handle(const primary_switch_requested& request)
{
    if (!m_context.state.is_leading) {
        refuse(request.request, not_leader);
        return;
    }
    const bool is_started =
        m_failover.start_planned(request.group, request.target, "requested by an operator");
    m_context.effects.emplace_back(
        send_operator_response{request.request, primary_switch_response{request.group, is_started}});
}

void operator_request_handler::handle(const status_requested& request)
{
    m_context.effects.emplace_back(send_operator_response{request.request, summary()});
}

void operator_request_handler::handle(const configuration_requested& request)
{
    if (!m_context.state.is_leading) {
        refuse(request.request, not_leader);
        return;
    }
    m_context.state.pending_configuration_reads.push_back(
        {request.request, m_context.inputs.consensus.heartbeat_round});
}

void operator_request_handler::answer_configuration_reads()
{
    std::vector<pending_configuration_read> waiting;
    for (const pending_configuration_read& reading : m_context.state.pending_configuration_reads) {
        if (consensus::is_leadership_confirmed_since(m_context.inputs.consensus, reading.after_round)) {
            m_context.effects.emplace_back(send_operator_response{
                reading.request, configuration_response{*m_context.directory().configuration}});
        } else {
            waiting.push_back(reading);
        }
    }
    m_context.state.pending_configuration_reads = std::move(waiting);
}

void operator_request_handler::refuse_pending_requests()
{
    for (const pending_change_answer& pending : m_context.state.pending_change_answers) {
        refuse(pending.request, "the leader changed; send the change again");
    }
    for (const pending_configuration_read& reading : m_context.state.pending_configuration_reads) {
        refuse(reading.request, "the leader changed; ask again");
    }
}

void operator_request_handler::handle(const operator_sender& caller, const directory::change_answer& answer)
{
    if (answer.outcome == directory::change_outcome::conflict) {
        m_context.effects.emplace_back(send_operator_response{
            caller.request, configuration_change_response{answer.outcome, answer.version, false, {}}});
        return;
    }
    m_context.state.pending_change_answers.push_back(
        {caller.request, answer.version, m_context.now() + in_force_timeout});
    answer_changes_in_force();
}

void operator_request_handler::answer_replacement(const operator_sender& caller,
                                                  const directory::change_answer& answer)
{
    m_context.effects.emplace_back(send_operator_response{
        caller.request, configuration_change_response{answer.outcome, answer.version, false, {}}});
}

void operator_request_handler::answer_changes_in_force()
{
    std::vector<pending_change_answer> waiting;
    for (const pending_change_answer& pending : m_context.state.pending_change_answers) {
        std::vector<host_name> behind = hosts_below_version(pending.version);
        if (!behind.empty() && m_context.now() < pending.give_up_at) {
            waiting.push_back(pending);
            continue;
        }
        const bool is_in_force = behind.empty();
        m_context.effects.emplace_back(send_operator_response{
            pending.request, configuration_change_response{directory::change_outcome::accepted,
                                                           pending.version, is_in_force, std::move(behind)}});
    }
    m_context.state.pending_change_answers = std::move(waiting);
}

void operator_request_handler::refuse(std::uint64_t request, const std::string& reason)
{
    m_context.effects.emplace_back(
        send_operator_response{request, refused_response{reason, m_context.inputs.consensus.leader}});
}

std::vector<host_name>
operator_request_handler::hosts_below_version(configuration::configuration_version version) const
{
    std::vector<host_name> behind;
    for (const entry_process_id& entry : m_leases.leased_entries()) {
        if (m_context.state.entry_hosts.find(entry)->version < version) {
            behind.push_back(entry.name);
        }
    }
    return behind;
}

status_summary operator_request_handler::summary() const
{
    const consensus::consensus_state& consensus = m_context.inputs.consensus;
    status_summary status;
    status.host = consensus.self.name;
    status.is_leader = m_context.state.is_leading;
    status.leader = consensus.leader;
    status.term = consensus.persistent_state.term;
    status.commit = consensus.commit_index;
    status.members = consensus.members;
    status.version = m_context.directory().configuration->version;
    status.claims = m_context.directory().claims.size();
    for (const auto& [entry, record] : m_context.directory().entry_hosts) {
        const entry_status* known = m_context.state.entry_hosts.find(entry);
        const bool is_live = known != nullptr && known->lease_end > m_context.now();
        status.entry_hosts.push_back(
            {entry.name, entry.incarnation, record.zone, is_live, known == nullptr ? 0 : known->version});
    }
    for (const auto& [name, record] : m_context.directory().groups) {
        const primary_change* change = m_context.state.primary_changes.find(name);
        status.groups.push_back(
            {name, record, change == nullptr ? "" : std::string(to_string(change->stage))});
    }
    for (const auto& [name, known] : m_context.state.servers) {
        status.backend_servers.push_back(known.report);
    }
    return status;
}

} // namespace hickorymount::supervision::detail

#include "supervision/reduce.h"

#include "consensus/reduce.h"
#include "supervision/descriptions.h"
#include "supervision/internal/configuration_distributor.h"
#include "supervision/internal/failover_manager.h"
#include "supervision/internal/lease_manager.h"
#include "supervision/internal/operator_request_handler.h"
#include "supervision/internal/supervision_context.h"

#include <utility>

#include <fmt/format.h>

namespace hickorymount::supervision {

namespace {

/// The numbers of the probes and orders of a leadership: the log term and a counter below it. A late answer
/// to an earlier leadership of this host never has the number of a present one.
constexpr int counter_bits = 32;

std::uint64_t first_number_of(consensus::log_term term)
{
    return (term << counter_bits) + 1;
}

/// Applies one event: dispatches it to the handlers and collects their effects.
class supervision_reducer
{
public:
    supervision_reducer(supervision_state state, const supervision_inputs& inputs)
        : m_context(std::move(state), inputs), m_configurations(m_context), m_leases(m_context),
          m_failover(m_context, m_leases), m_operator_requests(m_context, m_leases, m_failover)
    {
    }

    supervision_transition run(const supervision_event& event)
    {
        update_leadership();
        std::visit([this](const auto& content) { apply(content); }, event);
        if (m_context.state.is_leading) {
            if (m_leases.answer_confirmed_requests()) {
                m_configurations.send_due_updates();
            }
            m_operator_requests.answer_configuration_reads();
        }
        return {std::move(m_context.state), std::move(m_context.effects)};
    }

private:
    /// Starts or stops leading when the consensus role has changed since the last event.
    void update_leadership()
    {
        const bool is_serving =
            consensus::is_ready_leader(m_context.inputs.consensus) && m_context.inputs.is_directory_current;
        const bool is_new_term =
            is_serving && m_context.state.leading_since != m_context.inputs.consensus.leading_since;
        if (m_context.state.is_leading && (!is_serving || is_new_term)) {
            stop_leading();
        }
        if (!m_context.state.is_leading && is_serving) {
            m_context.state.is_leading = true;
            m_context.state.leading_since = m_context.inputs.consensus.leading_since;
            m_context.state.next_number = first_number_of(m_context.inputs.consensus.persistent_state.term);
            m_context.state.next_claim_expiry_at = m_context.now() + claim_expiry_interval;
            m_leases.start_leading();
            m_configurations.record_current();
            m_failover.start_leading();
            m_context.log(logging::log_level::information, "lead", "",
                          "term=" + std::to_string(m_context.inputs.consensus.persistent_state.term));
        }
    }

    void stop_leading()
    {
        m_operator_requests.refuse_pending_requests();
        const protocol::view_revision revision = m_context.state.revision;
        m_context.state = supervision_state{};
        m_context.state.revision = revision;
        m_context.log(logging::log_level::warning, "stop_leading", "", "");
    }

    void apply(const message_received& message)
    {
        std::visit([&](const auto& content) { receive(message.sender, content); }, message.content);
    }

    template <class Other>
    void receive(const host_name& /*from*/, const Other& /*content*/)
    {
    }

    void receive(const host_name& from, const protocol::lease_request& request)
    {
        if (!m_context.state.is_leading) {
            m_context.send(from, protocol::not_leader{m_context.inputs.consensus.leader});
            return;
        }
        m_leases.handle(from, request);
        m_operator_requests.answer_changes_in_force();
    }

    void receive(const host_name& /*from*/, const protocol::lease_release& returned)
    {
        if (m_context.state.is_leading) {
            m_leases.handle(returned);
        }
    }

    void receive(const host_name& from, const protocol::server_reports& reports)
    {
        if (m_context.state.is_leading) {
            const auto& voters = m_context.inputs.consensus.members.voters;
            const bool is_control_host = std::any_of(voters.begin(), voters.end(),
                                                     [&](const auto& voter) { return voter.name == from; });
            m_failover.handle(is_control_host ? host_name{} : from, reports);
        }
    }

    void receive(const host_name& from, const protocol::primary_suspicion& suspicion)
    {
        if (m_context.state.is_leading) {
            m_failover.handle(from, suspicion);
        }
    }

    void receive(const host_name& from, const protocol::probe_response& report)
    {
        if (m_context.state.is_leading) {
            m_failover.handle(from, report);
        }
    }

    void receive(const host_name& from, const protocol::close_term_response& confirmation)
    {
        if (m_context.state.is_leading) {
            m_failover.handle(from, confirmation);
        }
    }

    void receive(const host_name& from, const protocol::role_change_response& report)
    {
        if (m_context.state.is_leading) {
            m_failover.handle(from, report);
        }
    }

    void receive(const host_name& from, const protocol::claim_request& call)
    {
        if (!m_context.state.is_leading) {
            m_context.send(from, protocol::not_leader{m_context.inputs.consensus.leader});
            return;
        }
        const auto propose = [&](const auto& command) {
            m_context.propose(command, claim_sender{from, call.call_id});
        };
        std::visit(propose, call.command);
    }

    void apply(const command_applied& applied)
    {
        std::visit([&](const auto& command) { handle_applied(applied, command); }, applied.command);
        if (const auto* caller = std::get_if<claim_sender>(&applied.sender)) {
            answer_claim(*caller, applied.result);
        }
        const auto* caller = std::get_if<operator_sender>(&applied.sender);
        const auto* answer = std::get_if<directory::change_answer>(&applied.result);
        if (caller == nullptr || answer == nullptr) {
            return;
        }
        if (std::holds_alternative<directory::replace_configuration>(applied.command)) {
            m_operator_requests.answer_replacement(*caller, *answer);
        } else {
            m_operator_requests.handle(*caller, *answer);
        }
    }

    void answer_claim(const claim_sender& caller, const directory::command_result& result)
    {
        protocol::claim_response reply{caller.call_id, {}};
        if (const auto* answer = std::get_if<directory::claim_result>(&result)) {
            reply.result = *answer;
        }
        m_context.send(caller.entry, std::move(reply));
    }

    template <class Other>
    void handle_applied(const command_applied& /*applied*/, const Other& /*command*/)
    {
    }

    void handle_applied(const command_applied& applied, const directory::change_configuration& /*command*/)
    {
        const auto* answer = std::get_if<directory::change_answer>(&applied.result);
        const bool is_new = answer != nullptr && answer->outcome == directory::change_outcome::accepted &&
                            answer->version == m_context.directory().configuration->version;
        if (is_new) {
            distribute_configuration(applied.index);
        }
    }

    void handle_applied(const command_applied& applied, const directory::replace_configuration& command)
    {
        if (command.version == m_context.directory().configuration->version && !command.is_repeated) {
            distribute_configuration(applied.index);
        }
    }

    void handle_applied(const command_applied& applied, const directory::open_term& command)
    {
        publish_group(applied.index, command.group);
        if (m_context.state.is_leading) {
            m_failover.handle(command);
        }
    }

    void handle_applied(const command_applied& applied, const directory::close_term& command)
    {
        publish_group(applied.index, command.group);
        if (m_context.state.is_leading) {
            m_failover.handle(command);
        }
    }

    void handle_applied(const command_applied& /*applied*/, const directory::name_candidate& command)
    {
        if (m_context.state.is_leading) {
            m_failover.handle(command);
        }
    }

    void handle_applied(const command_applied& /*applied*/, const directory::admit_entry_host& command)
    {
        if (m_context.state.is_leading) {
            m_leases.handle(command);
        }
    }

    void handle_applied(const command_applied& /*applied*/, const directory::dismiss_entry_host& command)
    {
        if (m_context.state.is_leading) {
            m_leases.handle(command);
            m_failover.handle(command);
        }
    }

    void publish_group(consensus::log_index index, const group_name& group)
    {
        if (const directory::group_record* record = m_context.directory().groups.find(group)) {
            publish(index, {{group, *record}});
        }
    }

    void distribute_configuration(consensus::log_index index)
    {
        m_context.log(
            logging::log_level::information, "configuration_committed", "",
            fmt::format("version={} index={}", m_context.directory().configuration->version, index));
        if (m_context.state.is_leading) {
            m_configurations.record_current();
            m_configurations.send_due_updates();
        }
    }

    void publish(protocol::view_revision revision, std::vector<protocol::group_view> groups)
    {
        const protocol::view_revision previous_revision =
            std::exchange(m_context.state.revision, std::max(revision, m_context.state.revision));
        if (m_context.state.is_leading) {
            m_leases.record_view_update(previous_revision, m_context.state.revision);
            m_context.send_to_all(
                protocol::view_update{previous_revision, m_context.state.revision, std::move(groups)});
        }
    }

    void apply(const configuration_change_requested& request) { m_operator_requests.handle(request); }
    void apply(const configuration_replacement_requested& request) { m_operator_requests.handle(request); }
    void apply(const primary_switch_requested& request) { m_operator_requests.handle(request); }
    void apply(const promotion_response_received& answered)
    {
        if (m_context.state.is_leading) {
            m_failover.handle(answered);
        }
    }

    void apply(const server_report_received& announced)
    {
        if (m_context.state.is_leading) {
            m_failover.handle(host_name{}, protocol::server_reports{{announced.report}});
            return;
        }
        if (m_context.inputs.consensus.leader) {
            m_context.effects.emplace_back(send_to_control_host{
                *m_context.inputs.consensus.leader, protocol::server_reports{{announced.report}}});
        }
    }

    void apply(const status_requested& request) { m_operator_requests.handle(request); }
    void apply(const configuration_requested& request) { m_operator_requests.handle(request); }

    void apply(const log_advanced& /*progressed*/) {}

    void apply(const timer_expired& /*passed*/)
    {
        if (!m_context.state.is_leading) {
            return;
        }
        m_leases.update_relay_plan();
        m_failover.run_periodic_checks();
        m_configurations.send_due_updates();
        m_failover.remove_silent_servers();
        m_leases.dismiss_expired_entries();
        m_operator_requests.answer_changes_in_force();
        send_unsent_reports();
        if (m_context.now() >= m_context.state.next_claim_expiry_at) {
            m_context.state.next_claim_expiry_at = m_context.now() + claim_expiry_interval;
            m_context.propose(directory::expire_claims{m_context.inputs.wall_time});
        }
    }

    void send_unsent_reports()
    {
        if (m_context.state.unsent_reports.empty()) {
            return;
        }
        protocol::server_reports reports;
        for (const backend_server_name& name : m_context.state.unsent_reports) {
            if (const server_status* status = m_context.state.servers.find(name)) {
                reports.reports.push_back(status->report);
            }
        }
        m_context.state.unsent_reports.clear();
        m_context.send_to_all(std::move(reports));
    }

    detail::supervision_context m_context;
    detail::configuration_distributor m_configurations;
    detail::lease_manager m_leases;
    detail::failover_manager m_failover;
    detail::operator_request_handler m_operator_requests;
};

} // namespace

supervision_transition reduce(supervision_state state, const supervision_event& event,
                              const supervision_inputs& inputs)
{
    return supervision_reducer(std::move(state), inputs).run(event);
}

std::string_view to_string(primary_change_stage stage)
{
    return codec::enumerator_name(stage);
}

} // namespace hickorymount::supervision

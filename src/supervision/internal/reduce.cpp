#include "supervision/reduce.h"

#include "consensus/reduce.h"
#include "supervision/descriptions.h"
#include "supervision/internal/lease_keeper.h"
#include "supervision/internal/operator_desk.h"
#include "supervision/internal/primary_changer.h"
#include "supervision/internal/supervision_step.h"

#include <utility>

#include <fmt/format.h>

namespace hickorymount::supervision {

namespace {

/// Routes one event to the handlers.
class supervisor
{
public:
    supervisor(supervision_state state, const surroundings& around)
        : m_step(std::move(state), around), m_leases(m_step), m_changer(m_step, m_leases),
          m_desk(m_step, m_leases, m_changer)
    {
    }

    supervision_transition run(const supervision_event& what)
    {
        follow_leadership();
        std::visit([this](const auto& each) { apply(each); }, what);
        if (m_step.state.is_leading) {
            m_leases.issue_due_grants();
            m_desk.answer_readings();
        }
        return {std::move(m_step.state), std::move(m_step.effects)};
    }

private:
    void follow_leadership()
    {
        const bool is_serving = consensus::is_serving(m_step.around.consensus);
        const bool is_new_term =
            is_serving && m_step.state.leading_since != m_step.around.consensus.leading_since;
        if (m_step.state.is_leading && (!is_serving || is_new_term)) {
            stop_leading();
        }
        if (!m_step.state.is_leading && is_serving) {
            m_step.state.is_leading = true;
            m_step.state.leading_since = m_step.around.consensus.leading_since;
            m_step.state.expire_claims_at = m_step.now() + claim_expiry_interval;
            m_leases.start_leading();
            m_changer.start_leading();
            m_step.log(logging::log_level::information, "lead", "",
                       "term=" + std::to_string(m_step.around.consensus.hard.term));
        }
    }

    void stop_leading()
    {
        m_desk.refuse_waiting();
        const protocol::view_revision revision = m_step.state.revision;
        m_step.state = supervision_state{};
        m_step.state.revision = revision;
        m_step.log(logging::log_level::warning, "stop_leading", "", "");
    }

    void apply(const entry_message& message)
    {
        std::visit([&](const auto& content) { receive(message.from, content); }, message.content);
    }

    template <class Other>
    void receive(const host_name& /*from*/, const Other& /*content*/)
    {
    }

    void receive(const host_name& from, const protocol::lease_request& request)
    {
        if (!m_step.state.is_leading) {
            m_step.send(from, protocol::not_leader{m_step.around.consensus.leader});
            return;
        }
        m_leases.handle(from, request);
        m_desk.answer_in_force();
    }

    void receive(const host_name& /*from*/, const protocol::lease_return& returned)
    {
        if (m_step.state.is_leading) {
            m_leases.handle(returned);
        }
    }

    void receive(const host_name& from, const protocol::server_reports& passed_on)
    {
        if (m_step.state.is_leading) {
            const auto& members = m_step.around.consensus.members.voters;
            const bool is_control_host = std::any_of(members.begin(), members.end(),
                                                     [&](const auto& each) { return each.name == from; });
            m_changer.handle(is_control_host ? host_name{} : from, passed_on);
        }
    }

    void receive(const host_name& from, const protocol::suspicion& suspected)
    {
        if (m_step.state.is_leading) {
            m_changer.handle(from, suspected);
        }
    }

    void receive(const host_name& from, const protocol::probe_report& probed)
    {
        m_changer.handle(from, probed);
    }

    void receive(const host_name& from, const protocol::close_confirmation& confirmed)
    {
        m_changer.handle(from, confirmed);
    }

    void receive(const host_name& from, const protocol::takeover_report& reported)
    {
        m_changer.handle(from, reported);
    }

    void receive(const host_name& from, const protocol::claim_call& call)
    {
        if (!m_step.state.is_leading) {
            m_step.send(from, protocol::not_leader{m_step.around.consensus.leader});
            return;
        }
        const auto propose = [&](const auto& command) {
            m_step.propose(command, claim_caller{from, call.call});
        };
        std::visit(propose, call.what);
    }

    void apply(const command_applied& applied)
    {
        std::visit([&](const auto& command) { follow(applied, command); }, applied.command);
        if (const auto* caller = std::get_if<claim_caller>(&applied.caller)) {
            answer_claim(*caller, applied.report);
        }
        const auto* caller = std::get_if<operator_caller>(&applied.caller);
        const auto* answer = std::get_if<directory::change_answer>(&applied.report);
        if (caller == nullptr || answer == nullptr) {
            return;
        }
        if (std::holds_alternative<directory::replace_configuration>(applied.command)) {
            m_desk.answer_replacement(*caller, *answer);
        } else {
            m_desk.handle(*caller, *answer);
        }
    }

    void answer_claim(const claim_caller& caller, const directory::command_report& report)
    {
        protocol::claim_reply reply{caller.call, {}};
        if (const auto* answer = std::get_if<directory::claim_answer>(&report)) {
            reply.answer = *answer;
        }
        m_step.send(caller.entry, std::move(reply));
    }

    template <class Other>
    void follow(const command_applied& /*applied*/, const Other& /*command*/)
    {
    }

    void follow(const command_applied& applied, const directory::change_configuration& /*command*/)
    {
        const auto* answer = std::get_if<directory::change_answer>(&applied.report);
        const bool is_new = answer != nullptr && answer->outcome == directory::change_outcome::accepted &&
                            answer->version == m_step.directory().configuration->version;
        if (is_new) {
            publish(applied.index, m_step.directory().configuration, {});
        }
    }

    void follow(const command_applied& applied, const directory::replace_configuration& command)
    {
        if (command.version == m_step.directory().configuration->version && !command.is_repeated) {
            m_step.state.has_unsent_configuration = true;
            send_configuration_if_due(applied.index);
            m_step.log(logging::log_level::information, "configuration_committed", "",
                       fmt::format("version={} index={}", command.version, applied.index));
        }
    }

    void follow(const command_applied& applied, const directory::open_term& command)
    {
        publish_group(applied.index, command.group);
        if (m_step.state.is_leading) {
            m_changer.handle(command);
        }
    }

    void follow(const command_applied& applied, const directory::close_term& command)
    {
        publish_group(applied.index, command.group);
        if (m_step.state.is_leading) {
            m_changer.handle(command);
        }
    }

    void follow(const command_applied& /*applied*/, const directory::name_candidate& command)
    {
        if (m_step.state.is_leading) {
            m_changer.handle(command);
        }
    }

    void follow(const command_applied& /*applied*/, const directory::admit_entry_host& command)
    {
        if (m_step.state.is_leading) {
            m_leases.handle(command);
        }
    }

    void follow(const command_applied& /*applied*/, const directory::dismiss_entry_host& command)
    {
        if (m_step.state.is_leading) {
            m_leases.handle(command);
        }
    }

    void publish_group(consensus::log_index index, const group_name& group)
    {
        if (const directory::group_record* record = m_step.directory().groups.find(group)) {
            publish(index, std::nullopt, {{group, *record}});
        }
    }

    /// A large configuration costs each host time; a storm of them must not cost it for each.
    void send_configuration_if_due(protocol::view_revision revision)
    {
        const bool is_due = m_step.now() - m_step.state.configuration_sent_at >= configuration_send_interval;
        if (!m_step.state.has_unsent_configuration || (m_step.state.is_leading && !is_due)) {
            return;
        }
        m_step.state.has_unsent_configuration = false;
        m_step.state.configuration_sent_at = m_step.now();
        publish(std::max(revision, m_step.state.revision), m_step.directory().configuration, {});
    }

    void publish(protocol::view_revision revision,
                 std::optional<shared_value<configuration::versioned_configuration>> configuration,
                 std::vector<protocol::group_view> groups)
    {
        const protocol::view_revision before = m_step.state.revision;
        m_step.state.revision = revision;
        m_step.state.revision_before = before;
        m_step.state.published_at = m_step.now();
        if (m_step.state.is_leading) {
            m_step.send_to_all(
                protocol::view_update{before, revision, std::move(configuration), std::move(groups)});
        }
    }

    void apply(const configuration_asked& asked) { m_desk.handle(asked); }
    void apply(const replacement_asked& asked) { m_desk.handle(asked); }
    void apply(const switch_asked& asked) { m_desk.handle(asked); }
    void apply(const promotion_answered& answered) { m_changer.handle(answered); }

    void apply(const server_announced& announced)
    {
        if (m_step.state.is_leading) {
            m_changer.handle(host_name{}, protocol::server_reports{{announced.report}});
            return;
        }
        if (m_step.around.consensus.leader) {
            m_step.effects.emplace_back(send_to_control_host{*m_step.around.consensus.leader,
                                                             protocol::server_reports{{announced.report}}});
        }
    }

    void apply(const status_asked& asked) { m_desk.handle(asked); }
    void apply(const configuration_shown& asked) { m_desk.handle(asked); }

    void apply(const log_progressed& /*progressed*/) {}

    void apply(const time_passed& /*passed*/)
    {
        if (!m_step.state.is_leading) {
            return;
        }
        m_leases.plan_relays();
        m_changer.pass_time();
        send_configuration_if_due(m_step.around.consensus.commit);
        m_changer.forget_silent_servers();
        m_leases.dismiss_expired();
        m_desk.answer_in_force();
        pass_on_reports();
        if (m_step.now() >= m_step.state.expire_claims_at) {
            m_step.state.expire_claims_at = m_step.now() + claim_expiry_interval;
            m_step.propose(directory::expire_claims{m_step.around.wall});
        }
    }

    void pass_on_reports()
    {
        if (m_step.state.unsent_reports.empty()) {
            return;
        }
        protocol::server_reports fresh;
        for (const backend_server_name& name : m_step.state.unsent_reports) {
            if (const server_status* status = m_step.state.servers.find(name)) {
                fresh.reports.push_back(status->report);
            }
        }
        m_step.state.unsent_reports.clear();
        m_step.send_to_all(std::move(fresh));
    }

    detail::supervision_step m_step;
    detail::lease_keeper m_leases;
    detail::primary_changer m_changer;
    detail::operator_desk m_desk;
};

} // namespace

supervision_transition reduce(supervision_state state, const supervision_event& what,
                              const surroundings& around)
{
    return supervisor(std::move(state), around).run(what);
}

std::string_view to_string(change_stage stage)
{
    return codec::enumerator_name(stage);
}

} // namespace hickorymount::supervision

#include "node/internal/control_reducer.h"

#include "consensus/reduce.h"
#include "directory/reduce.h"
#include "supervision/reduce.h"

#include <algorithm>
#include <utility>

namespace hickorymount::node::detail {

namespace {

template <class Variant, class Alternative>
struct is_alternative_of;
template <class... Alternatives, class Alternative>
struct is_alternative_of<std::variant<Alternatives...>, Alternative>
    : std::disjunction<std::is_same<Alternatives, Alternative>...>
{
};

} // namespace

control_reducer::control_reducer(control_state state, time_point now, unix_milliseconds wall)
    : m_state(std::move(state)), m_now(now), m_wall(wall)
{
}

void control_reducer::apply(const control_started& event)
{
    m_state = control_state{};
    m_state.limit_bounds = event.limit_bounds;
    run_consensus(consensus::started{
        {event.name, event.stored_data.identity}, event.contacts, event.stored_data, event.seed});
}

void control_reducer::apply(const peer_message_received& event)
{
    const auto dispatch = [&](const auto& content) {
        using type = std::decay_t<decltype(content)>;
        if constexpr (is_alternative_of<consensus::message, type>::value) {
            run_consensus(consensus::message_received{event.sender, content});
        } else {
            run_supervision(supervision::message_received{event.sender, content});
        }
    };
    std::visit(dispatch, event.content);
}

void control_reducer::apply(const consensus::cluster_formation_requested& event)
{
    run_consensus(event);
}

void control_reducer::apply(const consensus::contacts_changed& event)
{
    run_consensus(event);
}

void control_reducer::apply(const consensus::departure_requested& event)
{
    run_consensus(event);
}

void control_reducer::apply(const consensus::sync_completed& event)
{
    run_consensus(event);
}

void control_reducer::apply(const control_timer_expired& /*event*/)
{
    run_consensus(consensus::timer_expired{});
    if (m_now >= m_state.next_supervision_at) {
        m_state.next_supervision_at = m_now + supervision::supervision_interval;
        run_supervision(supervision::timer_expired{});
    }
}

void control_reducer::apply(const supervision::configuration_change_requested& event)
{
    run_supervision(event);
}

void control_reducer::apply(const supervision::configuration_replacement_requested& event)
{
    run_supervision(event);
}

void control_reducer::apply(const supervision::server_report_received& event)
{
    run_supervision(event);
}

void control_reducer::apply(const supervision::promotion_response_received& event)
{
    run_supervision(event);
}

void control_reducer::apply(const supervision::primary_switch_requested& event)
{
    run_supervision(event);
}

void control_reducer::apply(const supervision::status_requested& event)
{
    run_supervision(event);
}

void control_reducer::apply(const supervision::configuration_requested& event)
{
    run_supervision(event);
}

std::pair<control_state, time_point> control_reducer::finish()
{
    const bool must_run_supervision =
        !m_state.supervision.pending_lease_requests.empty() ||
        !m_state.supervision.pending_configuration_reads.empty() ||
        m_state.supervision.is_leading != consensus::is_ready_leader(m_state.consensus);
    if (must_run_supervision) {
        run_supervision(supervision::log_advanced{});
    }
    propose_queued_commands();
    compact_log_if_due();
    time_point next_timer_at = consensus::next_timer_at(m_state.consensus);
    if (m_state.supervision.is_leading) {
        next_timer_at = std::min(next_timer_at, m_state.next_supervision_at);
    }
    return {std::move(m_state), next_timer_at};
}

void control_reducer::run_consensus(consensus::event_payload event)
{
    consensus::transition transition =
        consensus::reduce(std::move(m_state.consensus), consensus::event{m_now, std::move(event)});
    m_state.consensus = std::move(transition.state);
    if (m_state.consensus.current_role != consensus::role::leader && !m_state.pending_proposals.empty()) {
        reject_pending_proposals();
    }
    for (consensus::effect& effect : transition.effects) {
        std::visit([this](auto& alternative) { carry_out(std::move(alternative)); }, effect);
    }
}

void control_reducer::run_supervision(const supervision::supervision_event& event)
{
    supervision::supervision_transition transition =
        supervision::reduce(std::move(m_state.supervision), event, supervision_inputs());
    m_state.supervision = std::move(transition.state);
    for (supervision::supervision_effect& effect : transition.effects) {
        std::visit([this](auto& alternative) { carry_out(std::move(alternative)); }, effect);
    }
}

void control_reducer::carry_out(consensus::send_message&& effect)
{
    protocol::message content = std::visit(
        [](auto& alternative) { return protocol::message(std::move(alternative)); }, effect.content);
    m_effects.emplace_back(send_to_peer{effect.recipient, std::move(content)});
}

void control_reducer::carry_out(consensus::persist_log&& effect)
{
    m_effects.emplace_back(std::move(effect));
}

void control_reducer::carry_out(consensus::persist_snapshot&& effect)
{
    m_effects.emplace_back(std::move(effect));
}

void control_reducer::carry_out(consensus::apply_entry&& effect)
{
    m_state.applied_index = effect.entry.index;
    const auto* command = std::get_if<directory::command>(&*effect.entry.content);
    if (command == nullptr) {
        return;
    }
    if (const auto* replacement = std::get_if<directory::replace_configuration>(command)) {
        m_state.applied_configuration_bytes += replacement->content.source_document.size();
    }
    directory::directory_transition transition = directory::reduce(std::move(m_state.directory), *command);
    m_state.directory = std::move(transition.state);
    supervision::command_applied applied{effect.entry.index, *command, std::move(transition.result), {}};
    if (const pending_proposal* proposal = m_state.pending_proposals.find(effect.entry.index)) {
        applied.sender =
            proposal->term == effect.entry.term ? proposal->sender : supervision::command_sender{};
        m_state.pending_proposals =
            std::move(m_state.pending_proposals).erase(consensus::log_index{effect.entry.index});
    }
    run_supervision(applied);
}

void control_reducer::carry_out(consensus::restore_directory&& effect)
{
    m_state.directory = effect.content->directory;
    m_state.applied_index = effect.content->last_index;
    m_state.supervision.revision = std::max(m_state.supervision.revision, effect.content->last_index);
}

void control_reducer::carry_out(supervision::send_to_entry_host&& effect)
{
    if (!effect.recipient.empty()) {
        m_effects.emplace_back(send_to_peer{effect.recipient, std::move(effect.content)});
        return;
    }
    // A restarted entry host has several records until the old ones expire.
    std::vector<host_name> addressed_hosts;
    for (const auto& [entry, record] : m_state.directory.entry_hosts) {
        if (addressed_hosts.empty() || addressed_hosts.back() != entry.name) {
            m_effects.emplace_back(send_to_peer{entry.name, effect.content});
            addressed_hosts.push_back(entry.name);
        }
    }
}

void control_reducer::carry_out(supervision::send_to_control_host&& effect)
{
    m_effects.emplace_back(send_to_peer{std::move(effect.recipient), std::move(effect.content)});
}

void control_reducer::carry_out(supervision::request_promotion&& effect)
{
    m_effects.emplace_back(std::move(effect));
}

void control_reducer::carry_out(supervision::propose_command&& effect)
{
    m_queued_proposals.push_back(std::move(effect));
}

void control_reducer::carry_out(supervision::send_operator_response&& effect)
{
    m_effects.emplace_back(std::move(effect));
}

void control_reducer::carry_out(logging::log_record&& effect)
{
    m_effects.emplace_back(std::move(effect));
}

void control_reducer::propose_queued_commands()
{
    while (!m_queued_proposals.empty()) {
        std::vector<supervision::propose_command> proposals;
        proposals.swap(m_queued_proposals);
        if (m_state.consensus.current_role != consensus::role::leader) {
            return;
        }
        consensus::entries_proposed batch;
        consensus::log_index index = consensus::last_index(m_state.consensus);
        for (supervision::propose_command& proposal : proposals) {
            ++index;
            batch.contents.emplace_back(std::move(proposal.command));
            if (!std::holds_alternative<std::monostate>(proposal.sender)) {
                m_state.pending_proposals =
                    std::move(m_state.pending_proposals)
                        .set(index,
                             pending_proposal{m_state.consensus.persistent_state.term, proposal.sender});
            }
        }
        run_consensus(std::move(batch));
    }
}

void control_reducer::reject_pending_proposals()
{
    for (const auto& [index, pending] : m_state.pending_proposals) {
        if (const auto* sender = std::get_if<supervision::operator_sender>(&pending.sender)) {
            m_effects.emplace_back(supervision::send_operator_response{
                sender->request, supervision::refused_response{"the leader changed; send the change again",
                                                               m_state.consensus.leader}});
        }
    }
    m_state.pending_proposals = {};
}

void control_reducer::compact_log_if_due()
{
    const bool has_too_many_entries =
        m_state.consensus.commit_index >=
        m_state.consensus.latest_snapshot->last_index + consensus::snapshot_entry_threshold;
    const bool has_too_many_bytes = m_state.applied_configuration_bytes >= consensus::snapshot_byte_threshold;
    if (has_too_many_entries || has_too_many_bytes) {
        m_state.applied_configuration_bytes = 0;
        run_consensus(consensus::compaction_requested{
            m_state.directory, has_too_many_bytes ? 0 : consensus::trailing_log_entries});
    }
}

supervision::supervision_inputs control_reducer::supervision_inputs() const
{
    return {m_state.directory,
            m_state.consensus,
            m_now,
            m_wall,
            m_state.applied_index >= m_state.consensus.term_start_index,
            m_state.limit_bounds};
}

} // namespace hickorymount::node::detail

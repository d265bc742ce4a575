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
    run_consensus(
        consensus::started{{event.name, event.stored.identity}, event.contacts, event.stored, event.seed});
}

void control_reducer::apply(const peer_message& event)
{
    const auto dispatch = [&](const auto& content) {
        using type = std::decay_t<decltype(content)>;
        if constexpr (is_alternative_of<consensus::message, type>::value) {
            run_consensus(consensus::received{event.from, content});
        } else {
            run_supervision(supervision::entry_message{event.from, content});
        }
    };
    std::visit(dispatch, event.content);
}

void control_reducer::apply(const consensus::formed& event)
{
    run_consensus(event);
}

void control_reducer::apply(const consensus::contacts_named& event)
{
    run_consensus(event);
}

void control_reducer::apply(const consensus::synced& event)
{
    run_consensus(event);
}

void control_reducer::apply(const control_time_passed& /*event*/)
{
    run_consensus(consensus::timer_passed{});
    if (m_now >= m_state.next_supervision_at) {
        m_state.next_supervision_at = m_now + supervision::supervision_interval;
        run_supervision(supervision::time_passed{});
    }
}

void control_reducer::apply(const supervision::configuration_asked& event)
{
    run_supervision(event);
}

void control_reducer::apply(const supervision::replacement_asked& event)
{
    run_supervision(event);
}

void control_reducer::apply(const supervision::server_announced& event)
{
    run_supervision(event);
}

void control_reducer::apply(const supervision::promotion_answered& event)
{
    run_supervision(event);
}

void control_reducer::apply(const supervision::switch_asked& event)
{
    run_supervision(event);
}

void control_reducer::apply(const supervision::status_asked& event)
{
    run_supervision(event);
}

void control_reducer::apply(const supervision::configuration_shown& event)
{
    run_supervision(event);
}

std::pair<control_state, time_point> control_reducer::finish()
{
    const bool must_run_supervision =
        !m_state.supervision.grants.empty() || !m_state.supervision.readings.empty() ||
        m_state.supervision.is_leading != consensus::is_serving(m_state.consensus);
    if (must_run_supervision) {
        run_supervision(supervision::log_progressed{});
    }
    propose_queued_commands();
    compact_log_if_due();
    time_point next_timer_at = consensus::next_wake(m_state.consensus);
    if (m_state.supervision.is_leading) {
        next_timer_at = std::min(next_timer_at, m_state.next_supervision_at);
    }
    return {std::move(m_state), next_timer_at};
}

void control_reducer::run_consensus(consensus::event_kind event)
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
    m_effects.emplace_back(send_to_peer{effect.to, std::move(content)});
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
    const auto* command = std::get_if<directory::command>(&*effect.entry.content);
    if (command == nullptr) {
        return;
    }
    if (const auto* replacement = std::get_if<directory::replace_configuration>(command)) {
        m_state.applied_configuration_bytes += replacement->content.source.size();
    }
    directory::directory_transition transition = directory::reduce(std::move(m_state.directory), *command);
    m_state.directory = std::move(transition.state);
    supervision::command_applied applied{effect.entry.index, *command, std::move(transition.report), {}};
    if (const pending_proposal* proposal = m_state.pending_proposals.find(effect.entry.index)) {
        applied.caller =
            proposal->term == effect.entry.term ? proposal->sender : supervision::command_caller{};
        m_state.pending_proposals =
            std::move(m_state.pending_proposals).erase(consensus::log_index{effect.entry.index});
    }
    run_supervision(applied);
}

void control_reducer::carry_out(consensus::replace_directory&& effect)
{
    m_state.directory = effect.content->directory;
    m_state.supervision.revision = std::max(m_state.supervision.revision, effect.content->last_index);
}

void control_reducer::carry_out(supervision::send_to_entry&& effect)
{
    if (!effect.to.empty()) {
        m_effects.emplace_back(send_to_peer{effect.to, std::move(effect.content)});
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
    m_effects.emplace_back(send_to_peer{std::move(effect.to), std::move(effect.content)});
}

void control_reducer::carry_out(supervision::order_promotion&& effect)
{
    m_effects.emplace_back(std::move(effect));
}

void control_reducer::carry_out(supervision::propose&& effect)
{
    m_queued_proposals.push_back(std::move(effect));
}

void control_reducer::carry_out(supervision::answer_operator&& effect)
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
        std::vector<supervision::propose> proposals;
        proposals.swap(m_queued_proposals);
        if (m_state.consensus.current_role != consensus::role::leader) {
            return;
        }
        consensus::proposed batch;
        consensus::log_index index = consensus::last_index(m_state.consensus);
        for (supervision::propose& proposal : proposals) {
            ++index;
            batch.contents.emplace_back(std::move(proposal.command));
            if (!std::holds_alternative<std::monostate>(proposal.caller)) {
                m_state.pending_proposals =
                    std::move(m_state.pending_proposals)
                        .set(index, pending_proposal{m_state.consensus.hard.term, proposal.caller});
            }
        }
        run_consensus(std::move(batch));
    }
}

void control_reducer::reject_pending_proposals()
{
    for (const auto& [index, pending] : m_state.pending_proposals) {
        if (const auto* sender = std::get_if<supervision::operator_caller>(&pending.sender)) {
            m_effects.emplace_back(supervision::answer_operator{
                sender->request, supervision::refused_answer{"the leader changed; send the change again",
                                                             m_state.consensus.leader}});
        }
    }
    m_state.pending_proposals = {};
}

void control_reducer::compact_log_if_due()
{
    const bool has_too_many_entries =
        m_state.consensus.commit >= m_state.consensus.latest->last_index + consensus::snapshot_entries;
    const bool has_too_many_bytes = m_state.applied_configuration_bytes >= consensus::snapshot_bytes;
    if (has_too_many_entries || has_too_many_bytes) {
        m_state.applied_configuration_bytes = 0;
        run_consensus(consensus::compaction_due{m_state.directory,
                                                has_too_many_bytes ? 0 : consensus::kept_behind_snapshot});
    }
}

supervision::surroundings control_reducer::supervision_inputs() const
{
    return {m_state.directory, m_state.consensus, m_now, m_wall};
}

} // namespace hickorymount::node::detail

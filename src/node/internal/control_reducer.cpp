#include "node/internal/control_reducer.h"

#include "consensus/reduce.h"
#include "directory/reduce.h"
#include "supervision/reduce.h"

#include <algorithm>
#include <utility>

namespace hickorymount::node::detail {

namespace {

template <class Variant, class Alternative>
struct is_alternative;
template <class... Alternatives, class Alternative>
struct is_alternative<std::variant<Alternatives...>, Alternative>
    : std::disjunction<std::is_same<Alternatives, Alternative>...>
{
};

} // namespace

control_reducer::control_reducer(control_state state, time_point now, unix_milliseconds wall)
    : m_state(std::move(state)), m_now(now), m_wall(wall)
{
}

void control_reducer::apply(const control_started& what)
{
    m_state = control_state{};
    run_consensus(
        consensus::started{{what.name, what.stored.identity}, what.contacts, what.stored, what.seed});
}

void control_reducer::apply(const peer_message& what)
{
    const auto dispatch = [&](const auto& content) {
        using type = std::decay_t<decltype(content)>;
        if constexpr (is_alternative<consensus::message, type>::value) {
            run_consensus(consensus::received{what.from, content});
        } else {
            run_supervision(supervision::entry_message{what.from, content});
        }
    };
    std::visit(dispatch, what.content);
}

void control_reducer::apply(const consensus::formed& what)
{
    run_consensus(what);
}

void control_reducer::apply(const consensus::contacts_named& what)
{
    run_consensus(what);
}

void control_reducer::apply(const consensus::synced& what)
{
    run_consensus(what);
}

void control_reducer::apply(const control_time_passed& /*what*/)
{
    run_consensus(consensus::timer_passed{});
    if (m_now >= m_state.supervise_at) {
        m_state.supervise_at = m_now + supervision::supervision_interval;
        run_supervision(supervision::time_passed{});
    }
}

void control_reducer::apply(const supervision::configuration_asked& what)
{
    run_supervision(what);
}

void control_reducer::apply(const supervision::replacement_asked& what)
{
    run_supervision(what);
}

void control_reducer::apply(const supervision::server_announced& what)
{
    run_supervision(what);
}

void control_reducer::apply(const supervision::promotion_answered& what)
{
    run_supervision(what);
}

void control_reducer::apply(const supervision::switch_asked& what)
{
    run_supervision(what);
}

void control_reducer::apply(const supervision::status_asked& what)
{
    run_supervision(what);
}

void control_reducer::apply(const supervision::configuration_shown& what)
{
    run_supervision(what);
}

std::pair<control_state, time_point> control_reducer::finish()
{
    const bool has_news = !m_state.supervision.grants.empty() || !m_state.supervision.readings.empty() ||
                          m_state.supervision.is_leading != consensus::is_serving(m_state.consensus);
    if (has_news) {
        run_supervision(supervision::log_progressed{});
    }
    propose_collected();
    compact_if_due();
    time_point wake = consensus::next_wake(m_state.consensus);
    if (m_state.supervision.is_leading) {
        wake = std::min(wake, m_state.supervise_at);
    }
    return {std::move(m_state), wake};
}

void control_reducer::run_consensus(consensus::event_kind what)
{
    consensus::transition next =
        consensus::reduce(std::move(m_state.consensus), consensus::event{m_now, std::move(what)});
    m_state.consensus = std::move(next.state);
    if (m_state.consensus.current_role != consensus::role::leader && !m_state.callers.empty()) {
        drop_callers();
    }
    for (consensus::effect& effect : next.effects) {
        std::visit([this](auto& each) { carry_out(std::move(each)); }, effect);
    }
}

void control_reducer::run_supervision(const supervision::supervision_event& what)
{
    supervision::supervision_transition next =
        supervision::reduce(std::move(m_state.supervision), what, surroundings());
    m_state.supervision = std::move(next.state);
    for (supervision::supervision_effect& effect : next.effects) {
        std::visit([this](auto& each) { carry_out(std::move(each)); }, effect);
    }
}

void control_reducer::carry_out(consensus::send_message&& effect)
{
    protocol::message content =
        std::visit([](auto& each) { return protocol::message(std::move(each)); }, effect.content);
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
        m_state.applied_bytes += replacement->content.source.size();
    }
    directory::directory_transition next = directory::reduce(std::move(m_state.directory), *command);
    m_state.directory = std::move(next.state);
    supervision::command_applied applied{effect.entry.index, *command, std::move(next.report), {}};
    if (const pending_caller* known = m_state.callers.find(effect.entry.index)) {
        applied.caller = known->term == effect.entry.term ? known->caller : supervision::command_caller{};
        m_state.callers = std::move(m_state.callers).erase(consensus::log_index{effect.entry.index});
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
    std::vector<host_name> sent;
    for (const auto& [entry, record] : m_state.directory.entry_hosts) {
        if (sent.empty() || sent.back() != entry.name) {
            m_effects.emplace_back(send_to_peer{entry.name, effect.content});
            sent.push_back(entry.name);
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
    m_proposals.push_back(std::move(effect));
}

void control_reducer::carry_out(supervision::answer_operator&& effect)
{
    m_effects.emplace_back(std::move(effect));
}

void control_reducer::carry_out(logging::log_record&& effect)
{
    m_effects.emplace_back(std::move(effect));
}

void control_reducer::propose_collected()
{
    while (!m_proposals.empty()) {
        std::vector<supervision::propose> proposals;
        proposals.swap(m_proposals);
        if (m_state.consensus.current_role != consensus::role::leader) {
            return;
        }
        consensus::proposed batch;
        consensus::log_index index = consensus::last_index(m_state.consensus);
        for (supervision::propose& proposal : proposals) {
            ++index;
            batch.contents.emplace_back(std::move(proposal.command));
            if (!std::holds_alternative<std::monostate>(proposal.caller)) {
                m_state.callers =
                    std::move(m_state.callers)
                        .set(index, pending_caller{m_state.consensus.hard.term, proposal.caller});
            }
        }
        run_consensus(std::move(batch));
    }
}

void control_reducer::drop_callers()
{
    for (const auto& [index, pending] : m_state.callers) {
        if (const auto* caller = std::get_if<supervision::operator_caller>(&pending.caller)) {
            m_effects.emplace_back(supervision::answer_operator{
                caller->request, supervision::refused_answer{"the leader changed; send the change again",
                                                             m_state.consensus.leader}});
        }
    }
    m_state.callers = {};
}

void control_reducer::compact_if_due()
{
    const bool is_due =
        m_state.consensus.commit >= m_state.consensus.latest->last_index + consensus::snapshot_entries;
    const bool is_heavy = m_state.applied_bytes >= consensus::snapshot_bytes;
    if (is_due || is_heavy) {
        m_state.applied_bytes = 0;
        run_consensus(
            consensus::compaction_due{m_state.directory, is_heavy ? 0 : consensus::kept_behind_snapshot});
    }
}

supervision::surroundings control_reducer::surroundings() const
{
    return {m_state.directory, m_state.consensus, m_now, m_wall};
}

} // namespace hickorymount::node::detail

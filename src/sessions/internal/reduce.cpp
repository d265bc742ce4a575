#include "sessions/reduce.h"

#include "sessions/internal/link_keeper.h"
#include "sessions/internal/session_step.h"
#include "sessions/internal/statement_desk.h"

#include <algorithm>
#include <utility>

namespace hickorymount::sessions {

namespace {

/// Routes one event to the handlers.
class traffic
{
public:
    traffic(session_state state, time_point now)
        : m_step(std::move(state), now), m_links(m_step), m_desk(m_step, m_links)
    {
    }

    transition run(const event_kind& what)
    {
        std::visit([this](const auto& each) { apply(each); }, what);
        follow_stop();
        tell_if_due();
        const time_point wake = next_wake();
        return {std::move(m_step.state), std::move(m_step.effects), wake};
    }

private:
    void apply(const session_opened& opened)
    {
        m_desk.open(opened.session, opened.database, opened.is_relayed);
    }

    void apply(const statement_asked& asked)
    {
        m_desk.ask(asked.session, {asked.id, asked.what, m_step.now, asked.least});
    }

    void apply(const malformed_asked& asked) { m_desk.refuse_malformed(asked.session); }
    void apply(const session_closed& closed) { m_desk.close(closed.session); }

    void apply(const link_opened& opened)
    {
        server_link* link = m_step.link(opened.link);
        if (link == nullptr || link->stage != link_stage::opening) {
            return;
        }
        server_load& load = m_step.state.loads[link->server];
        --load.opening;
        load.unreachable_since.reset();
        link->stage = link_stage::idle;
        m_desk.dispatch(group_name{link->group});
    }

    void apply(const link_refused& refused)
    {
        if (m_step.link(refused.link) != nullptr) {
            m_desk.refuse_link(refused.link, refused.code);
        }
    }

    void apply(const link_answered& answered)
    {
        const server_link* link = m_step.link(answered.link);
        if (link == nullptr) {
            return;
        }
        if (link->own) {
            m_desk.finish_own(answered.link, answered.whole);
        } else if (link->stage == link_stage::running) {
            m_desk.finish(answered.link, answered.whole);
        } else {
            m_step.emit(close_link{answered.link});
            m_desk.lose(answered.link, "an answer to nothing");
        }
    }

    void apply(const link_lost& lost)
    {
        if (m_step.link(lost.link) != nullptr) {
            m_desk.lose(lost.link, lost.reason);
        }
    }

    void apply(const view_published& published)
    {
        const bool is_new_version =
            published.view->configuration->version != m_step.state.view->configuration->version;
        const auto before = m_step.state.view;
        m_step.state.view = published.view;
        if (is_new_version) {
            take_routes();
            m_desk.open_waiting();
        }
        follow_servers(*before);
        m_links.trim();
        m_desk.dispatch_all();
        if (closed_terms(*before) != closed_terms(*m_step.state.view)) {
            tell();
        }
        tell_holds();
    }

    void apply(const time_passed& /*passed*/)
    {
        m_desk.check_times();
        m_desk.open_waiting();
        m_desk.dispatch_all();
    }

    void apply(const stop_asked& asked)
    {
        m_step.state.stopping_since = m_step.now;
        m_step.state.stop_time = asked.time;
    }

    void take_routes()
    {
        m_step.state.routes.clear();
        for (const configuration::database_route& route :
             m_step.state.view->configuration->content.databases) {
            auto& known = m_step.state.routes[route.database];
            const bool is_better =
                known.database.empty() || route.path_prefix.size() < known.path_prefix.size();
            known = is_better ? route : known;
        }
        m_step.log(logging::log_level::information, "routes_in_force", "",
                   "version=" + std::to_string(m_step.state.view->configuration->version) +
                       " routes=" + std::to_string(m_step.state.routes.size()));
    }

    void follow_servers(const traffic_view& before)
    {
        for (const auto& [name, server] : m_step.state.view->servers) {
            server_load& load = m_step.state.loads[name];
            if (!server.is_leaving) {
                load.leaving_since.reset();
            } else if (!load.leaving_since) {
                load.leaving_since = m_step.now;
            }
        }
        for (const auto& [name, group] : m_step.state.view->groups) {
            const auto known = before.groups.find(name);
            if (known != before.groups.end() && known->second.term != group.term) {
                m_step.log(logging::log_level::information, "follow_primary", group.primary.value,
                           "group=" + name.value + " term=" + std::to_string(group.term));
            }
        }
    }

    void follow_stop()
    {
        if (!m_step.state.stopping_since || m_step.state.is_stopped) {
            return;
        }
        const milliseconds since = m_step.now - *m_step.state.stopping_since;
        if (since >= m_step.state.stop_time - stop_margin) {
            m_desk.stop_all();
        } else if (since >= balancer_delay) {
            m_desk.stop_idle(since >= m_step.state.stop_time / 2);
        }
        if (since >= balancer_delay && m_step.state.sessions.empty()) {
            m_step.state.is_stopped = true;
            m_step.emit(all_stopped{});
        }
    }

    void tell_if_due()
    {
        const bool is_held = std::any_of(m_step.state.view->groups.begin(), m_step.state.view->groups.end(),
                                         [](const auto& each) { return each.second.is_held; });
        if (is_held) {
            tell_holds();
        }
        if (m_step.now >= m_step.state.report_at) {
            tell();
        }
    }

    static std::map<group_name, group_term> closed_terms(const traffic_view& view)
    {
        std::map<group_name, group_term> closed;
        for (const auto& [name, group] : view.groups) {
            closed[name] = group.closed_term;
        }
        return closed;
    }

    /// Tells at once what is left at primaries that are held back, when it has changed.
    void tell_holds()
    {
        if (holds() != m_step.state.told_holds) {
            tell();
        }
    }

    void tell()
    {
        m_step.state.report_at = m_step.now + report_interval;
        m_step.state.told_holds = holds();
        tell_control told;
        told.holds = m_step.state.told_holds;
        told.commits = m_step.state.commits;
        told.closed = closed_terms(*m_step.state.view);
        for (auto& [name, load] : m_step.state.loads) {
            if (load.is_relay) {
                continue;
            }
            const server_in_view* server = m_step.server(name);
            const auto waiting =
                server == nullptr ? m_step.state.queues.end() : m_step.state.queues.find(server->group);
            const std::size_t queued = waiting == m_step.state.queues.end() ? 0 : waiting->second.size();
            told.uses[name] = {load.open, load.peak_in_use + static_cast<std::uint32_t>(queued)};
            load.peak_in_use = load.in_use;
        }
        m_step.emit(std::move(told));
    }

    [[nodiscard]] std::map<group_name, hold_progress> holds() const
    {
        std::map<group_name, hold_progress> found;
        for (const auto& [name, group] : m_step.state.view->groups) {
            if (group.is_held) {
                const auto load = m_step.state.loads.find(group.primary);
                found[name] = {group.term, load == m_step.state.loads.end() ? 0 : load->second.in_use};
            }
        }
        return found;
    }

    [[nodiscard]] time_point next_wake() const
    {
        time_point wake = std::min(m_desk.next_time(), m_step.state.report_at);
        if (m_step.state.stopping_since && !m_step.state.is_stopped) {
            const time_point since = *m_step.state.stopping_since;
            for (const milliseconds step :
                 {balancer_delay, m_step.state.stop_time / 2, m_step.state.stop_time - stop_margin}) {
                if (m_step.now < since + step) {
                    wake = std::min(wake, since + step);
                }
            }
        }
        return wake;
    }

    detail::session_step m_step;
    detail::link_keeper m_links;
    detail::statement_desk m_desk;
};

} // namespace

transition reduce(session_state state, const event& what)
{
    return traffic(std::move(state), what.now).run(what.what);
}

} // namespace hickorymount::sessions

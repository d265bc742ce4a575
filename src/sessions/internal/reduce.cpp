#include "sessions/reduce.h"

#include "sessions/internal/answer_match.h"
#include "sessions/internal/connection_pool.h"
#include "sessions/internal/customer_identity.h"
#include "sessions/internal/event_context.h"
#include "sessions/internal/operation_limit.h"
#include "sessions/internal/primary_use_trace.h"
#include "sessions/internal/response_description.h"
#include "sessions/internal/statement_dispatcher.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::sessions {

namespace {

/// Passes one event to its handlers.
class session_reducer
{
public:
    session_reducer(session_state state, time_point now)
        : m_context(std::move(state), now), m_connections(m_context), m_dispatcher(m_context, m_connections)
    {
    }

    transition run(const event_payload& payload)
    {
        std::visit([this](const auto& each) { apply(each); }, payload);
        advance_stop();
        report_if_due();
        const time_point wake = next_wake();
        return {std::move(m_context.state), std::move(m_context.effects), wake};
    }

private:
    void apply(const session_requested& opened)
    {
        m_dispatcher.open(opened.session, {opened.database, m_context.now, opened.is_relayed, opened.key});
        detail::request_first_quota(m_context, opened.session);
    }

    void apply(const statement_received& request)
    {
        m_dispatcher.submit(request.session,
                            {request.id, request.body, m_context.now, request.minimum_position,
                             request.caller, request.remaining_time});
    }

    void apply(const malformed_statement_received& request)
    {
        m_dispatcher.refuse_malformed(request.session);
    }
    void apply(const session_closed& closed) { m_dispatcher.close(closed.session); }

    void apply(const connection_opened& opened)
    {
        server_connection* connection = m_context.connection(opened.connection);
        if (connection == nullptr || connection->stage != connection_stage::opening) {
            return;
        }
        m_connections.complete_opening(opened.connection);
        m_dispatcher.dispatch_after(group_name{connection->group}, connection->is_relay);
    }

    void apply(const connection_refused& refused)
    {
        if (m_context.connection(refused.connection) != nullptr) {
            m_dispatcher.handle_connection_refusal(refused.connection, refused.code);
        }
    }

    void apply(const response_received& answered)
    {
        server_connection* connection = m_context.connection(answered.connection);
        if (connection == nullptr) {
            return;
        }
        detail::answer_match match = detail::match_answer(
            std::move(connection->answers), detail::expectation_of(*connection), answered.response);
        connection->answers = std::move(match.history);
        if (match.origin != answer_origin::own) {
            record_unexpected(answered, *connection, match.origin);
            m_connections.record_sign_of_life(connection->server);
        }
        if (match.origin == answer_origin::repeat) {
            return;
        }
        if (match.origin == answer_origin::ambiguous) {
            m_dispatcher.handle_ambiguous_refusal(answered.connection, answered.response);
        } else if (match.origin == answer_origin::foreign) {
            m_dispatcher.close_untrusted(answered.connection, "an answer to no statement of the connection");
        } else if (connection->internal_statement) {
            m_dispatcher.handle_internal_response(answered.connection, answered.response);
        } else {
            m_dispatcher.handle_response(answered.connection, answered.response);
        }
    }

    void record_unexpected(const response_received& answered, const server_connection& connection,
                           answer_origin origin)
    {
        m_context.log(logging::log_level::warning, "unexpected_response", connection.server.value,
                      fmt::format("group={} link={} kind={} {}", connection.group.value, answered.connection,
                                  to_string(origin), detail::describe(answered.response)));
        m_context.emit(record_unexpected_response{origin});
    }

    void apply(const connection_lost& lost)
    {
        if (m_context.connection(lost.connection) != nullptr) {
            m_dispatcher.handle_connection_loss(lost.connection, lost.reason, lost.is_unreadable);
        }
    }

    void apply(const view_published& published)
    {
        const bool is_new_version =
            published.view->configuration->version != m_context.state.view->configuration->version;
        const auto before = m_context.state.view;
        m_context.state.view = published.view;
        if (is_new_version) {
            update_routes();
            m_context.state.customers_by_key =
                detail::index_customers(m_context.state.view->configuration->content);
            m_context.state.customer_ranks =
                detail::rank_customers(m_context.state.view->configuration->content);
            std::erase_if(m_context.state.retry_budgets, [this](const auto& each) {
                return !each.first.empty() && !m_context.state.customer_ranks.contains(each.first);
            });
            m_dispatcher.end_unauthorized_sessions();
            m_dispatcher.open_waiting_sessions();
        }
        update_servers(*before);
        detail::start_primary_use_traces(m_context.state, *before, m_context.now);
        const bool has_new_quotas = detail::update_budgets(m_context);
        m_connections.close_surplus();
        m_dispatcher.connect_to_relays();
        m_dispatcher.dispatch_all();
        // Control may give a lowered quota to others only once this report says that it is in use here.
        if (has_new_quotas || closed_terms(*before) != closed_terms(*m_context.state.view)) {
            report();
        }
        report_changed_holds();
    }

    void apply(const timer_expired& /*passed*/)
    {
        m_dispatcher.check_timeouts();
        m_dispatcher.open_waiting_sessions();
    }

    void apply(const stop_requested& request)
    {
        m_context.state.stopping_since = m_context.now;
        m_context.state.stop_timeout = request.timeout;
    }

    void update_routes()
    {
        m_context.state.routes.clear();
        for (const configuration::database_route& route :
             m_context.state.view->configuration->content.database_routes) {
            auto& known = m_context.state.routes[route.database];
            const bool is_better =
                known.database.empty() || route.path_prefix.size() < known.path_prefix.size();
            known = is_better ? route : known;
        }
        m_context.log(logging::log_level::information, "routes_in_force", "",
                      "version=" + std::to_string(m_context.state.view->configuration->version) +
                          " routes=" + std::to_string(m_context.state.routes.size()));
    }

    void update_servers(const traffic_view& before)
    {
        const auto& groups = m_context.state.view->groups;
        m_context.state.has_held_groups =
            std::any_of(groups.begin(), groups.end(), [](const auto& each) { return each.second.is_held; });
        m_context.state.group_servers.clear();
        for (const auto& [name, server] : m_context.state.view->servers) {
            m_context.state.group_servers[server.group].push_back(name);
        }
        for (const auto& [name, server] : m_context.state.view->servers) {
            server_load& load = m_context.state.server_loads[name];
            if (!server.is_leaving) {
                load.leaving_since.reset();
            } else if (!load.leaving_since) {
                load.leaving_since = m_context.now;
            }
        }
        for (const auto& [name, group] : m_context.state.view->groups) {
            const auto known = before.groups.find(name);
            if (known != before.groups.end() && known->second.term != group.term) {
                m_context.log(logging::log_level::information, "follow_primary", group.primary.value,
                              "group=" + name.value + " term=" + std::to_string(group.term));
            }
        }
    }

    void advance_stop()
    {
        if (!m_context.state.stopping_since || m_context.state.is_stopped) {
            return;
        }
        const milliseconds since = m_context.now - *m_context.state.stopping_since;
        if (since >= m_context.state.stop_timeout - stop_margin) {
            m_dispatcher.close_all_sessions();
        } else if (since >= balancer_delay) {
            m_dispatcher.close_idle_sessions(since >= m_context.state.stop_timeout / 2);
        }
        if (since >= balancer_delay && m_context.state.sessions.empty()) {
            m_context.state.is_stopped = true;
            // The positions in this report are final, and go to control with the lease.
            report();
            m_context.emit(report_stopped{});
        }
    }

    void report_if_due()
    {
        if (m_context.state.has_held_groups) {
            report_changed_holds();
        }
        if (m_context.needs_quota || m_context.now >= m_context.state.next_report_at) {
            report();
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

    /// Reports the work left at primaries whose new work is held back as soon as it changes.
    void report_changed_holds()
    {
        if (holds() != m_context.state.reported_holds) {
            report();
        }
    }

    void report()
    {
        m_context.state.next_report_at = m_context.now + report_interval;
        m_context.state.reported_holds = holds();
        report_to_control update;
        update.holds = m_context.state.reported_holds;
        update.commit_positions = m_context.state.commit_positions;
        update.closed_terms = closed_terms(*m_context.state.view);
        update.customer_demands = detail::report_demands(m_context);
        update.needs_quota = std::exchange(m_context.needs_quota, false);
        for (auto& [name, load] : m_context.state.server_loads) {
            if (load.is_relay) {
                continue;
            }
            const server_view* server = m_context.server(name);
            const std::size_t queued = server == nullptr ? 0 : m_context.queued_count(server->group);
            update.connection_usage_by_server[name] = {
                load.open_connections, load.peak_connections_in_use + static_cast<std::uint32_t>(queued)};
            load.peak_connections_in_use = load.connections_in_use;
        }
        m_context.emit(std::move(update));
        record_queues();
    }

    /// Records the lengths of the queues if they have changed.
    void record_queues()
    {
        std::map<group_name, std::size_t> queued;
        for (const auto& [group, queue] : m_context.state.queues) {
            queued[group] = queue.size();
        }
        if (queued != m_context.state.recorded_queues) {
            m_context.state.recorded_queues = queued;
            m_context.emit(record_queue_metrics{std::move(queued)});
        }
    }

    [[nodiscard]] std::map<group_name, hold_progress> holds() const
    {
        std::map<group_name, hold_progress> found;
        for (const auto& [name, group] : m_context.state.view->groups) {
            if (group.is_held) {
                const auto load = m_context.state.server_loads.find(group.primary);
                found[name] = {group.term, load == m_context.state.server_loads.end()
                                               ? 0
                                               : load->second.connections_in_use};
            }
        }
        return found;
    }

    [[nodiscard]] time_point next_wake()
    {
        time_point wake = std::min(m_dispatcher.next_timeout(), m_context.state.next_report_at);
        if (m_context.state.stopping_since && !m_context.state.is_stopped) {
            const time_point since = *m_context.state.stopping_since;
            for (const milliseconds step : {balancer_delay, m_context.state.stop_timeout / 2,
                                            m_context.state.stop_timeout - stop_margin}) {
                if (m_context.now < since + step) {
                    wake = std::min(wake, since + step);
                }
            }
        }
        return wake;
    }

    detail::event_context m_context;
    detail::connection_pool m_connections;
    detail::statement_dispatcher m_dispatcher;
};

} // namespace

transition reduce(session_state state, const event& incoming)
{
    return session_reducer(std::move(state), incoming.now).run(incoming.payload);
}

} // namespace hickorymount::sessions

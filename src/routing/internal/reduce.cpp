#include "routing/reduce.h"

#include "logging/fields.h"
#include "routing/descriptions.h"
#include "routing/internal/connection_pools.h"
#include "routing/internal/event_context.h"
#include "routing/internal/lease_client.h"
#include "routing/internal/request_processor.h"
#include "routing/internal/view_tracker.h"

#include <algorithm>
#include <utility>

namespace hickorymount::routing {

namespace {

/// Dispatches one event to its handler.
class event_dispatcher
{
public:
    event_dispatcher(entry_state state, const entry_event& event, const read_policy& policy)
        : m_context(std::move(state), event.now, event.wall_time, policy), m_connections(m_context),
          m_lease(m_context, m_connections), m_requests(m_context, m_connections),
          m_view(m_context, m_connections, m_lease, m_requests)
    {
    }

    entry_transition run(const entry_event_payload& event)
    {
        std::visit([this](const auto& each) { apply(each); }, event);
        run_due_timers();
        m_view.update_holds();
        finish_drain();
        const time_point wake = next_wake();
        return {std::move(m_context.state), std::move(m_context.effects), wake};
    }

private:
    void apply(const entry_started& started)
    {
        m_context.state = entry_state{};
        m_context.state.self = started.self;
        m_context.state.zone = started.zone;
        m_context.state.region = started.region;
        m_context.state.control_hosts = started.control_hosts;
        m_context.state.relay_address = started.relay_address;
        m_context.state.has_traffic_thread = started.has_traffic_thread;
        m_context.state.limit_bounds = started.limit_bounds;
        m_lease.renew();
    }

    void apply(const control_message_received& message)
    {
        std::visit([&](const auto& content) { receive(message.sender, content); }, message.content);
    }

    template <class Other>
    void receive(const host_name& /*from*/, const Other& /*content*/)
    {
    }

    void receive(const host_name& from, const protocol::lease_grant& grant)
    {
        m_lease.handle(from, grant);
        m_requests.refuse_requests_without_connections();
    }
    void receive(const host_name& from, const protocol::not_leader& answer) { m_lease.handle(from, answer); }
    void receive(const host_name& from, const protocol::view_update& update) { m_view.handle(from, update); }
    void receive(const host_name& from, const protocol::configuration_update& update)
    {
        m_view.handle(from, update);
    }
    void receive(const host_name& from, const protocol::close_term_request& order)
    {
        m_view.handle(from, order);
    }
    void receive(const host_name& from, const protocol::resume_term_request& order)
    {
        m_view.handle(from, order);
    }
    void receive(const host_name& from, const protocol::server_reports& reports)
    {
        m_view.handle(from, reports);
    }
    void receive(const host_name& /*from*/, const protocol::claim_response& reply)
    {
        m_requests.handle(reply);
    }

    void receive(const host_name& from, const protocol::probe_request& order)
    {
        protocol::probe_request resolved = order;
        const server_state* server = m_context.state.servers.find(order.server);
        if (resolved.address.port == 0 && server != nullptr) {
            resolved.address = server->report.address;
            resolved.group = server->report.group;
            resolved.interface = server->report.interface;
        }
        if (resolved.address.port != 0) {
            m_context.effects.emplace_back(probe_server{from, std::move(resolved)});
        }
    }

    void receive(const host_name& from, const protocol::role_change_request& order)
    {
        m_context.effects.emplace_back(send_role_change{from, order});
    }

    void apply(const control_connected& connected) { m_lease.on_connected(connected.control_host); }

    void apply(const server_report_received& announcement)
    {
        m_lease.queue_report(announcement.report);
        m_view.apply_report(announcement.report);
    }

    void apply(const caller_request& input) { m_requests.handle(input); }

    template <class Result>
    void apply_result(const Result& event)
    {
        const request_state* request = m_context.state.requests.find(event.request);
        const group_name group = request == nullptr ? group_name{} : request->input.group;
        m_requests.handle(event);
        m_requests.dispatch(group);
    }

    void apply(const statement_completed& event) { apply_result(event); }
    void apply(const statement_refused& event) { apply_result(event); }
    void apply(const statement_not_sent& event) { apply_result(event); }
    void apply(const statement_connection_lost& event) { apply_result(event); }

    void apply(const position_received& event)
    {
        m_requests.handle(event);
        m_view.apply_report(event.report);
    }

    void apply(const connection_opened& opened)
    {
        m_connections.on_opened(opened.server, opened.connection);
        if (const server_state* server = m_context.state.servers.find(opened.server)) {
            m_requests.dispatch(group_name{server->report.group});
        }
    }

    void apply(const connection_closed& ended) { m_connections.remove(ended.server, ended.connection); }

    void apply(const probe_finished& finished) { m_context.send(finished.requester, finished.response); }
    void apply(const role_change_finished& finished)
    {
        m_context.send(finished.requester, finished.response);
    }

    void apply(const timer_expired& /*passed*/)
    {
        const bool is_renewal_due = m_context.now >= m_context.state.lease.renew_at;
        m_lease.on_time_passed();
        m_requests.resend_claim_updates();
        if (is_renewal_due) {
            m_connections.apply_all_shares();
            m_view.remove_silent_servers();
        }
    }

    void apply(const traffic_reported& event)
    {
        m_context.state.has_traffic_thread = true;
        m_context.state.connection_usages = event.connection_usages;
        m_context.state.session_hold_progress = event.holds;
        for (const auto& [group, position] : event.acknowledged_commits) {
            auto& newest = m_context.state.session_commits[group];
            newest = std::max(newest, position);
        }
        m_context.state.session_closed_terms = event.closed_terms;
        m_context.state.customer_demands = event.customer_demands;
        m_view.confirm_closed_terms();
        if (event.needs_quota) {
            m_lease.renew_for_quota();
        }
    }

    void apply(const control_hosts_changed& named) { m_lease.add_control_hosts(named.hosts); }

    void apply(const primary_suspected& suspected)
    {
        const group_state* current = m_context.state.groups.find(suspected.group);
        if (current == nullptr || current->record.term != suspected.term) {
            return;
        }
        group_state group = *current;
        time_point& sent = suspected.are_commits_stalled ? m_context.state.last_stall_reports[suspected.group]
                                                         : group.last_suspicion_report;
        if (m_context.now - sent < suspicion_report_interval) {
            return;
        }
        sent = m_context.now;
        m_context.set_group(suspected.group, std::move(group));
        m_context.log(logging::log_level::warning, "suspect_primary", suspected.server.value,
                      "group=" + suspected.group.value + " reason=" + logging::quoted(suspected.reason));
        m_context.send_to_leader(protocol::primary_suspicion{suspected.group, suspected.term,
                                                             suspected.server, suspected.reason,
                                                             suspected.are_commits_stalled});
    }

    void apply(const shutdown_started& /*announced*/)
    {
        m_context.state.is_shutting_down = true;
        m_lease.renew();
    }

    void apply(const drain_requested& asked)
    {
        m_context.state.is_draining = true;
        m_context.state.are_commits_final = asked.are_commits_final;
    }

    void run_due_timers()
    {
        while (!m_context.state.timers.empty() && m_context.state.timers.begin()->first.at <= m_context.now) {
            const timer due = m_context.state.timers.begin()->first;
            m_context.state.timers = std::move(m_context.state.timers).erase(due);
            m_requests.on_timer(due);
        }
    }

    void finish_drain()
    {
        const bool is_done = m_context.state.is_draining && !m_context.state.is_drained &&
                             m_context.state.requests.empty() && m_context.state.transactions.empty() &&
                             m_context.state.pending_claim_updates.empty();
        if (is_done) {
            m_context.state.is_drained = true;
            m_lease.release();
            m_context.effects.emplace_back(report_drained{});
        }
    }

    [[nodiscard]] time_point next_wake() const
    {
        time_point wake = m_context.state.lease.renew_at;
        if (m_context.state.lease.was_valid) {
            wake = std::min(wake, m_context.state.lease.valid_until);
        }
        if (!m_context.state.timers.empty()) {
            wake = std::min(wake, m_context.state.timers.begin()->first.at);
        }
        if (!m_context.state.unsent_reports.empty()) {
            wake = std::min(wake, m_context.state.send_reports_at);
        }
        if (!m_context.state.pending_claim_updates.empty()) {
            wake = std::min(wake, m_context.now + claim_resend_interval);
        }
        return wake;
    }

    detail::event_context m_context;
    detail::connection_pools m_connections;
    detail::lease_client m_lease;
    detail::request_processor m_requests;
    detail::view_tracker m_view;
};

} // namespace

entry_transition reduce(entry_state state, const entry_event& event, const read_policy& policy)
{
    return event_dispatcher(std::move(state), event, policy).run(event.payload);
}

bool is_ready(const entry_state& state, time_point now)
{
    return !state.is_draining && state.configuration->version > 0 && now < state.lease.valid_until;
}

std::string_view to_string(refusal_reason reason)
{
    return codec::enumerator_name(reason);
}

} // namespace hickorymount::routing

#include "routing/reduce.h"

#include "routing/descriptions.h"
#include "routing/internal/connection_keeper.h"
#include "routing/internal/entry_step.h"
#include "routing/internal/lease_holder.h"
#include "routing/internal/request_desk.h"
#include "routing/internal/view_keeper.h"

#include <algorithm>
#include <utility>

namespace hickorymount::routing {

namespace {

/// Routes one event to the handlers.
class entry_host
{
public:
    entry_host(entry_state state, const entry_event& what, const read_policy& policy)
        : m_step(std::move(state), what.now, what.wall, policy), m_connections(m_step),
          m_lease(m_step, m_connections), m_requests(m_step, m_connections),
          m_view(m_step, m_connections, m_lease, m_requests)
    {
    }

    entry_transition run(const entry_event_kind& what)
    {
        std::visit([this](const auto& each) { apply(each); }, what);
        ring_alarms();
        m_view.check_holds();
        finish_drain();
        const time_point wake = next_wake();
        return {std::move(m_step.state), std::move(m_step.effects), wake};
    }

private:
    void apply(const entry_started& started)
    {
        m_step.state = entry_state{};
        m_step.state.self = started.self;
        m_step.state.zone = started.zone;
        m_step.state.control_hosts = started.control_hosts;
        m_step.state.relay = started.relay;
        m_lease.renew();
    }

    void apply(const control_message& message)
    {
        std::visit([&](const auto& content) { receive(message.from, content); }, message.content);
    }

    template <class Other>
    void receive(const host_name& /*from*/, const Other& /*content*/)
    {
    }

    void receive(const host_name& from, const protocol::lease_grant& grant) { m_lease.handle(from, grant); }
    void receive(const host_name& from, const protocol::not_leader& answer) { m_lease.handle(from, answer); }
    void receive(const host_name& from, const protocol::view_update& update) { m_view.handle(from, update); }
    void receive(const host_name& from, const protocol::close_order& order) { m_view.handle(from, order); }
    void receive(const host_name& from, const protocol::resume_order& order) { m_view.handle(from, order); }
    void receive(const host_name& from, const protocol::server_reports& reports)
    {
        m_view.handle(from, reports);
    }
    void receive(const host_name& /*from*/, const protocol::claim_reply& reply) { m_requests.handle(reply); }

    void receive(const host_name& from, const protocol::probe_order& order)
    {
        protocol::probe_order known = order;
        const server_state* server = m_step.state.servers.find(order.server);
        if (known.address.port == 0 && server != nullptr) {
            known.address = server->report.address;
            known.group = server->report.group;
            known.speaks = server->report.speaks;
        }
        if (known.address.port != 0) {
            m_step.effects.emplace_back(probe_server{from, std::move(known)});
        }
    }

    void receive(const host_name& from, const protocol::takeover_order& order)
    {
        m_step.effects.emplace_back(tell_server{from, order});
    }

    void apply(const control_connected& connected) { m_lease.connected(connected.host); }

    void apply(const announced& announcement)
    {
        m_lease.note_report(announcement.report);
        m_view.take_report(announcement.report);
    }

    void apply(const caller_request& input) { m_requests.handle(input); }

    template <class Result>
    void apply_result(const Result& what)
    {
        const request_state* request = m_step.state.requests.find(what.request);
        const group_name group = request == nullptr ? group_name{} : request->input.group;
        m_requests.handle(what);
        m_requests.dispatch(group);
    }

    void apply(const statement_answered& what) { apply_result(what); }
    void apply(const statement_refused& what) { apply_result(what); }
    void apply(const statement_not_sent& what) { apply_result(what); }
    void apply(const statement_lost& what) { apply_result(what); }

    void apply(const position_told& told)
    {
        m_requests.handle(told);
        m_view.take_report(told.report);
    }

    void apply(const connection_opened& opened)
    {
        m_connections.opened(opened.server, opened.connection);
        if (const server_state* server = m_step.state.servers.find(opened.server)) {
            m_requests.dispatch(group_name{server->report.group});
        }
    }

    void apply(const connection_ended& ended) { m_connections.forget(ended.server, ended.connection); }

    void apply(const probe_finished& finished) { m_step.send(finished.asked_by, finished.report); }
    void apply(const takeover_finished& finished) { m_step.send(finished.asked_by, finished.report); }

    void apply(const time_passed& /*passed*/)
    {
        const bool renews = m_step.now >= m_step.state.lease.renew_at;
        m_lease.pass_time();
        m_requests.resend_records();
        if (renews) {
            m_connections.adjust_all();
            m_view.forget_silent_servers();
        }
    }

    void apply(const sessions_told& told)
    {
        m_step.state.connection_usages = told.uses;
        m_step.state.session_hold_progress = told.holds;
        for (const auto& [group, position] : told.commits) {
            auto& known = m_step.state.session_commits[group];
            known = std::max(known, position);
        }
        m_step.state.session_closed_terms = told.closed;
        m_view.confirm_closed();
    }

    void apply(const control_hosts_named& named) { m_lease.add_control_hosts(named.hosts); }

    void apply(const primary_suspected& suspected)
    {
        const group_state* known = m_step.state.groups.find(suspected.group);
        if (known == nullptr || known->record.term != suspected.term) {
            return;
        }
        group_state group = *known;
        time_point& sent = suspected.is_stalled ? m_step.state.last_stall_reports[suspected.group]
                                                : group.last_suspicion_report;
        if (m_step.now - sent < suspicion_report_interval) {
            return;
        }
        sent = m_step.now;
        m_step.set_group(suspected.group, std::move(group));
        m_step.log(logging::log_level::warning, "suspect_primary", suspected.server.value,
                   "group=" + suspected.group.value + " reason=\"" + suspected.reason + "\"");
        m_step.send_to_leader(protocol::suspicion{suspected.group, suspected.term, suspected.server,
                                                  suspected.reason, suspected.is_stalled});
    }

    void apply(const stop_announced& /*announced*/)
    {
        m_step.state.is_stopping = true;
        m_lease.renew();
    }

    void apply(const drain_asked& /*asked*/) { m_step.state.is_draining = true; }

    void ring_alarms()
    {
        while (!m_step.state.timers.empty() && m_step.state.timers.begin()->first.at <= m_step.now) {
            const timer due = m_step.state.timers.begin()->first;
            m_step.state.timers = std::move(m_step.state.timers).erase(due);
            m_requests.ring(due);
        }
    }

    void finish_drain()
    {
        const bool is_done = m_step.state.is_draining && !m_step.state.is_drained &&
                             m_step.state.requests.empty() && m_step.state.transactions.empty() &&
                             m_step.state.pending_claim_updates.empty();
        if (is_done) {
            m_step.state.is_drained = true;
            m_lease.give_back();
            m_step.effects.emplace_back(drained{});
        }
    }

    [[nodiscard]] time_point next_wake() const
    {
        time_point wake = m_step.state.lease.renew_at;
        if (m_step.state.lease.was_valid) {
            wake = std::min(wake, m_step.state.lease.valid_until);
        }
        if (!m_step.state.timers.empty()) {
            wake = std::min(wake, m_step.state.timers.begin()->first.at);
        }
        if (!m_step.state.unsent_reports.empty()) {
            wake = std::min(wake, m_step.state.send_reports_at);
        }
        if (!m_step.state.pending_claim_updates.empty()) {
            wake = std::min(wake, m_step.now + claim_resend_interval);
        }
        return wake;
    }

    detail::entry_step m_step;
    detail::connection_keeper m_connections;
    detail::lease_holder m_lease;
    detail::request_desk m_requests;
    detail::view_keeper m_view;
};

} // namespace

entry_transition reduce(entry_state state, const entry_event& what, const read_policy& policy)
{
    return entry_host(std::move(state), what, policy).run(what.what);
}

bool is_ready(const entry_state& state, time_point now)
{
    return !state.is_draining && state.configuration->version > 0 && now < state.lease.valid_until;
}

std::string_view to_string(refusal reason)
{
    return codec::enumerator_name(reason);
}

} // namespace hickorymount::routing

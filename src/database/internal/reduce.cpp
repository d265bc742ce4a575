#include "database/reduce.h"

#include "database/internal/statement_execution.h"

#include <algorithm>
#include <utility>

namespace hickorymount::database {

namespace {

constexpr std::size_t max_records_per_response = 1000;

/// The position of the newest log record; the positions are consecutive from 1.
log_position last_position(const database_state& state)
{
    return state.log.size();
}

/// Applies one event to the state of the emulated database and collects the effects.
class database_reducer
{
public:
    database_reducer(database_state state, time_point now) : m_state(std::move(state)), m_now(now) {}

    void apply(const database_started& event)
    {
        m_state = database_state{};
        m_state.settings = event.settings;
        m_state.primary = event.settings.primary;
        if (!event.settings.primary) {
            m_state.role = server_role::primary;
            m_state.term = 1;
        }
        request_task_update();
    }

    void apply(const connection_requested& event)
    {
        const bool is_accepted = m_state.connections.contains(event.connection) ||
                                 m_state.connections.size() < m_state.settings.connections;
        if (is_accepted) {
            m_state.connections.insert(event.connection);
        }
        respond(event.call, connection_response{is_accepted}, m_state.settings.connection_setup_time);
    }

    void apply(const connection_closed& event)
    {
        m_state.connections.erase(event.connection);
        m_state.transactions.erase(event.connection);
        std::erase_if(m_state.waiting_statements,
                      [&](const statement_received& call) { return call.connection == event.connection; });
    }

    void apply(const statement_received& call)
    {
        if (const auto reason = refusal_reason_of(call)) {
            respond(call.call,
                    statement_rejected{call.request.request_id, *reason, current_position(m_state)});
            return;
        }
        m_state.waiting_statements.push_back(call);
        start_waiting_statements();
        execute_due_statements();
    }

    void apply(const report_requested& event) { respond(event.call, report_response{make_report()}); }

    void apply(const promotion_requested& event)
    {
        const auto takeover = m_state.takeovers.find(event.order.term);
        if (takeover != m_state.takeovers.end() && m_state.term == event.order.term) {
            respond(event.call, takeover_response{true, m_state.term, takeover->second});
            return;
        }
        if (event.order.term <= m_state.term) {
            respond(event.call, takeover_response{false, m_state.term, 0});
            return;
        }
        m_state.role = server_role::primary;
        m_state.term = event.order.term;
        m_state.primary.reset();
        m_state.received.clear();
        m_state.takeovers[event.order.term] = last_position(m_state);
        abort_transactions();
        respond(event.call, takeover_response{true, m_state.term, last_position(m_state)});
        request_task_update();
    }

    void apply(const replication_requested& event)
    {
        const bool is_stale = event.order.term < m_state.term ||
                              (event.order.term == m_state.term && m_state.role == server_role::primary);
        if (is_stale) {
            respond(event.call, takeover_response{false, m_state.term, 0});
            return;
        }
        if (event.order.term > m_state.term) {
            discard_records_after(event.order.term_start);
            m_state.received.clear();
        }
        m_state.role = server_role::replica;
        m_state.term = event.order.term;
        m_state.primary = event.order.primary;
        abort_transactions();
        respond(event.call, takeover_response{true, m_state.term, last_position(m_state)});
        request_task_update();
    }

    void apply(const log_requested& event)
    {
        log_response response{m_state.term, m_state.role, {}};
        for (auto record = m_state.log.lower_bound(event.after + 1);
             record != m_state.log.end() && response.records.size() < max_records_per_response; ++record) {
            response.records.push_back(record->second);
        }
        respond(event.call, std::move(response));
    }

    void apply(const records_received& event)
    {
        const bool fits_term =
            event.term == m_state.term || (m_state.log.empty() && event.term > m_state.term);
        // A response to a request sent before a change of term or position no longer fits the log.
        const bool is_expected = m_state.role == server_role::replica && fits_term &&
                                 event.after_position == received_position() &&
                                 !m_state.faults.blocks_replication;
        if (!is_expected) {
            return;
        }
        m_state.term = std::max(m_state.term, event.term);
        const milliseconds lag = m_state.faults.replication_lag.value_or(m_state.settings.replication_lag);
        m_state.received.push_back({m_now + lag, event.requested_at, event.term,
                                    event.after_position + event.records.size(), event.records});
        apply_received_records();
    }

    void apply(const faults_changed& event)
    {
        m_state.faults = event.faults;
        m_state.frozen_until = m_now + event.faults.freeze_duration;
        m_effects.emplace_back(send_response{event.call, faults_response{event.faults}, m_now, false, false});
        request_task_update();
    }

    void apply(const timer_expired& /*event*/)
    {
        apply_received_records();
        execute_due_statements();
    }

    database_transition finish()
    {
        time_point next_timer_at = time_point::max();
        for (const running_statement& running : m_state.running_statements) {
            next_timer_at = std::min(next_timer_at, running.done_at);
        }
        if (!m_state.received.empty()) {
            next_timer_at = std::min(next_timer_at, m_state.received.front().apply_at);
        }
        return {std::move(m_state), std::move(m_effects), next_timer_at};
    }

private:
    [[nodiscard]] std::optional<server_refusal_reason> refusal_reason_of(const statement_received& call) const
    {
        const statement_request& request = call.request;
        const bool needs_primary = request.kind == configuration::statement_kind::write ||
                                   request.operation != operation_kind::run || request.is_in_transaction;
        if (!m_state.connections.contains(call.connection)) {
            return server_refusal_reason::too_many_connections;
        }
        if (request.is_in_transaction) {
            return m_state.transactions.contains(call.connection)
                       ? std::nullopt
                       : std::optional(server_refusal_reason::no_transaction);
        }
        if (m_state.faults.is_leaving && m_state.role == server_role::replica) {
            return server_refusal_reason::leaving;
        }
        if (request.term != m_state.term) {
            return server_refusal_reason::wrong_term;
        }
        if (needs_primary && m_state.role != server_role::primary) {
            return server_refusal_reason::not_primary;
        }
        if (request.minimum_position > last_position(m_state)) {
            return server_refusal_reason::behind;
        }
        return std::nullopt;
    }

    void start_waiting_statements()
    {
        const milliseconds service_time = m_state.faults.service_time.value_or(m_state.settings.service_time);
        while (!m_state.waiting_statements.empty() &&
               m_state.running_statements.size() < m_state.settings.slots) {
            m_state.running_statements.push_back({m_state.waiting_statements.front(), m_now + service_time});
            m_state.waiting_statements.erase(m_state.waiting_statements.begin());
        }
    }

    void execute_due_statements()
    {
        for (;;) {
            const auto due =
                std::find_if(m_state.running_statements.begin(), m_state.running_statements.end(),
                             [&](const running_statement& running) { return running.done_at <= m_now; });
            if (due == m_state.running_statements.end()) {
                return;
            }
            const statement_received call = due->call;
            m_state.running_statements.erase(due);
            execute(call);
            start_waiting_statements();
        }
    }

    void execute(const statement_received& call)
    {
        // The role, the term or the transaction may have changed while the statement waited for a slot.
        if (const auto reason = refusal_reason_of(call)) {
            respond(call.call,
                    statement_rejected{call.request.request_id, *reason, current_position(m_state)});
            return;
        }
        std::string body;
        switch (call.request.operation) {
        case operation_kind::begin:
            m_state.transactions[call.connection] = {};
            body = "{}";
            break;
        case operation_kind::rollback:
            m_state.transactions.erase(call.connection);
            body = "{}";
            break;
        case operation_kind::commit:
            append_record(call.request.request_id, m_state.transactions[call.connection].changes);
            m_state.transactions.erase(call.connection);
            body = "{}";
            break;
        case operation_kind::run:
            body = execute_text(call);
            break;
        }
        const bool is_replica = m_state.role == server_role::replica;
        const milliseconds age = is_replica ? m_now - m_state.fresh_as_of : milliseconds{0};
        const std::string request_id =
            m_state.faults.swaps_request_ids ? m_state.last_request_id : call.request.request_id;
        m_state.last_request_id = call.request.request_id;
        respond(call.call, statement_completed{request_id, current_position(m_state), age, std::move(body)});
    }

    std::string execute_text(const statement_received& call)
    {
        const auto transaction = m_state.transactions.find(call.connection);
        const bool is_in_transaction =
            call.request.is_in_transaction && transaction != m_state.transactions.end();
        const std::vector<change> no_changes;
        detail::statement_result result = detail::execute_statement(
            call.request.text, m_state.data, is_in_transaction ? transaction->second.changes : no_changes);
        if (call.request.kind == configuration::statement_kind::read && !result.changes.empty()) {
            return R"({"error":"a class of kind read changes nothing"})";
        }
        if (is_in_transaction) {
            auto& pending = transaction->second.changes;
            pending.insert(pending.end(), result.changes.begin(), result.changes.end());
        } else if (!result.changes.empty()) {
            append_record(call.request.request_id, result.changes);
        }
        return result.body;
    }

    void append_record(const std::string& request, const std::vector<change>& changes)
    {
        if (!changes.empty()) {
            apply_record({last_position(m_state) + 1, m_state.term, request, changes});
        }
    }

    void apply_record(const log_record& record)
    {
        for (const change& key_change : record.changes) {
            m_state.data = std::move(m_state.data).set(key_change.key, key_change.value);
        }
        m_state.log = std::move(m_state.log).set(record.position, record);
    }

    void apply_received_records()
    {
        while (!m_state.received.empty() && m_state.received.front().apply_at <= m_now) {
            const received_records batch = std::move(m_state.received.front());
            m_state.received.erase(m_state.received.begin());
            for (const log_record& record : batch.records) {
                if (record.position == last_position(m_state) + 1) {
                    apply_record(record);
                }
            }
            // A full batch may leave newer records on the primary, so it proves nothing about the data's age.
            const bool is_complete = batch.records.size() < max_records_per_response;
            m_state.fresh_as_of =
                is_complete ? std::max(m_state.fresh_as_of, batch.requested_at) : m_state.fresh_as_of;
        }
    }

    [[nodiscard]] log_position received_position() const
    {
        return m_state.received.empty() ? last_position(m_state) : m_state.received.back().last_position;
    }

    void discard_records_after(log_position position)
    {
        if (last_position(m_state) <= position) {
            return;
        }
        const auto log = m_state.log;
        m_state.log = {};
        m_state.data = {};
        for (const auto& [record_position, record] : log) {
            if (record_position <= position) {
                apply_record(record);
            }
        }
    }

    void abort_transactions() { m_state.transactions.clear(); }

    protocol::server_report make_report()
    {
        protocol::server_report report;
        report.name = m_state.settings.name;
        report.group = m_state.settings.group;
        report.zone = m_state.settings.zone;
        report.address = m_state.settings.address;
        report.started_at = m_state.settings.started_at;
        report.sequence = m_state.next_report_sequence++;
        report.role = m_state.role;
        report.position = current_position(m_state);
        report.data_age =
            m_state.role == server_role::replica ? m_now - m_state.fresh_as_of : milliseconds{0};
        report.is_leaving = m_state.faults.is_leaving;
        return report;
    }

    void respond(call_number call, database_response response, milliseconds delay = milliseconds{0})
    {
        const time_point not_before =
            std::max(m_now + delay + m_state.faults.response_delay, m_state.frozen_until);
        const bool is_statement = std::holds_alternative<statement_completed>(response);
        const bool is_for_entry_host = !std::holds_alternative<log_response>(response);
        m_effects.emplace_back(send_response{call, std::move(response), not_before,
                                             is_statement && m_state.faults.truncates_responses,
                                             is_for_entry_host && m_state.faults.drops_connections});
    }

    void request_task_update()
    {
        m_effects.emplace_back(update_background_tasks{
            m_state.primary, m_state.faults.suppresses_announcements, m_state.faults.blocks_replication});
    }

    database_state m_state;
    time_point m_now;
    std::vector<database_effect> m_effects;
};

} // namespace

database_transition reduce(database_state state, const database_event& event)
{
    database_reducer reducer(std::move(state), event.now);
    std::visit([&](const auto& event_payload) { reducer.apply(event_payload); }, event.payload);
    return reducer.finish();
}

group_position current_position(const database_state& state)
{
    return {state.term, last_position(state)};
}

} // namespace hickorymount::database

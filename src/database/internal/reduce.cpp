#include "database/reduce.h"

#include "database/internal/statement_text.h"

#include <algorithm>
#include <utility>

namespace hickorymount::database {

namespace {

constexpr std::size_t max_records_in_answer = 1000;

/// Number of the newest record of a log whose positions are consecutive from 1.
log_position last_position(const database_state& state)
{
    return state.log.size();
}

/// One step of the emulator.
class database
{
public:
    database(database_state state, time_point now) : m_state(std::move(state)), m_now(now) {}

    void apply(const database_started& started)
    {
        m_state = database_state{};
        m_state.settings = started.settings;
        m_state.primary = started.settings.primary;
        if (!started.settings.primary) {
            m_state.role = server_role::primary;
            m_state.term = 1;
        }
        announce_standing();
    }

    void apply(const connection_asked& asked)
    {
        const bool is_accepted = m_state.connections.contains(asked.connection) ||
                                 m_state.connections.size() < m_state.settings.connections;
        if (is_accepted) {
            m_state.connections.insert(asked.connection);
        }
        answer(asked.call, connection_answer{is_accepted}, m_state.settings.connection_cost);
    }

    void apply(const connection_closed& closed)
    {
        m_state.connections.erase(closed.connection);
        m_state.transactions.erase(closed.connection);
        std::erase_if(m_state.waiting,
                      [&](const statement_call& call) { return call.connection == closed.connection; });
    }

    void apply(const statement_call& call)
    {
        if (const auto reason = refusal_of(call)) {
            answer(call.call, statement_rejected{call.what.request, *reason, position_of(m_state)});
            return;
        }
        m_state.waiting.push_back(call);
        fill_slots();
        finish_due();
    }

    void apply(const report_asked& asked) { answer(asked.call, report_answer{next_report()}); }

    void apply(const promote_asked& asked)
    {
        const auto known = m_state.takeovers.find(asked.order.term);
        if (known != m_state.takeovers.end() && m_state.term == asked.order.term) {
            answer(asked.call, takeover_answer{true, m_state.term, known->second});
            return;
        }
        if (asked.order.term <= m_state.term) {
            answer(asked.call, takeover_answer{false, m_state.term, 0});
            return;
        }
        m_state.role = server_role::primary;
        m_state.term = asked.order.term;
        m_state.primary.reset();
        m_state.arrived.clear();
        m_state.takeovers[asked.order.term] = last_position(m_state);
        end_transactions();
        answer(asked.call, takeover_answer{true, m_state.term, last_position(m_state)});
        announce_standing();
    }

    void apply(const follow_asked& asked)
    {
        const bool is_stale = asked.order.term < m_state.term ||
                              (asked.order.term == m_state.term && m_state.role == server_role::primary);
        if (is_stale) {
            answer(asked.call, takeover_answer{false, m_state.term, 0});
            return;
        }
        if (asked.order.term > m_state.term) {
            drop_records_after(asked.order.start);
            m_state.arrived.clear();
        }
        m_state.role = server_role::replica;
        m_state.term = asked.order.term;
        m_state.primary = asked.order.primary;
        end_transactions();
        answer(asked.call, takeover_answer{true, m_state.term, last_position(m_state)});
        announce_standing();
    }

    void apply(const log_asked& asked)
    {
        log_answer found{m_state.term, m_state.role, {}};
        for (auto each = m_state.log.lower_bound(asked.after + 1);
             each != m_state.log.end() && found.records.size() < max_records_in_answer; ++each) {
            found.records.push_back(each->second);
        }
        answer(asked.call, std::move(found));
    }

    void apply(const records_arrived& arrived)
    {
        const bool fits_term =
            arrived.term == m_state.term || (m_state.log.empty() && arrived.term > m_state.term);
        const bool is_expected = m_state.role == server_role::replica && fits_term &&
                                 arrived.after == received_position() && !m_state.faults.is_replication_cut;
        if (!is_expected) {
            return;
        }
        m_state.term = std::max(m_state.term, arrived.term);
        const milliseconds lag = m_state.faults.replication_lag.value_or(m_state.settings.replication_lag);
        m_state.arrived.push_back({m_now + lag, arrived.asked_at, arrived.term,
                                   arrived.after + arrived.records.size(), arrived.records});
        apply_arrived();
    }

    void apply(const faults_set& set)
    {
        m_state.faults = set.faults;
        m_state.frozen_until = m_now + set.faults.frozen;
        m_effects.emplace_back(answer_call{set.call, faults_answer{set.faults}, m_now, false, false});
        announce_standing();
    }

    void apply(const time_passed& /*passed*/)
    {
        apply_arrived();
        finish_due();
    }

    database_transition finish()
    {
        time_point wake = time_point::max();
        for (const running_statement& running : m_state.running) {
            wake = std::min(wake, running.done_at);
        }
        if (!m_state.arrived.empty()) {
            wake = std::min(wake, m_state.arrived.front().apply_at);
        }
        return {std::move(m_state), std::move(m_effects), wake};
    }

private:
    [[nodiscard]] std::optional<server_refusal> refusal_of(const statement_call& call) const
    {
        const statement& what = call.what;
        const bool needs_primary = what.kind == configuration::statement_kind::write ||
                                   what.what != operation::run || what.is_in_transaction;
        if (!m_state.connections.contains(call.connection)) {
            return server_refusal::too_many_connections;
        }
        if (what.is_in_transaction) {
            return m_state.transactions.contains(call.connection)
                       ? std::nullopt
                       : std::optional(server_refusal::no_transaction);
        }
        if (m_state.faults.is_leaving && m_state.role == server_role::replica) {
            return server_refusal::leaving;
        }
        if (what.term != m_state.term) {
            return server_refusal::wrong_term;
        }
        if (needs_primary && m_state.role != server_role::primary) {
            return server_refusal::not_primary;
        }
        if (what.least_position > last_position(m_state)) {
            return server_refusal::behind;
        }
        return std::nullopt;
    }

    void fill_slots()
    {
        const milliseconds service = m_state.faults.service_time.value_or(m_state.settings.service_time);
        while (!m_state.waiting.empty() && m_state.running.size() < m_state.settings.slots) {
            m_state.running.push_back({m_state.waiting.front(), m_now + service});
            m_state.waiting.erase(m_state.waiting.begin());
        }
    }

    void finish_due()
    {
        for (;;) {
            const auto due =
                std::find_if(m_state.running.begin(), m_state.running.end(),
                             [&](const running_statement& each) { return each.done_at <= m_now; });
            if (due == m_state.running.end()) {
                return;
            }
            const statement_call call = due->call;
            m_state.running.erase(due);
            execute(call);
            fill_slots();
        }
    }

    void execute(const statement_call& call)
    {
        // The term may have changed while the statement waited for its slot.
        if (const auto reason = refusal_of(call)) {
            answer(call.call, statement_rejected{call.what.request, *reason, position_of(m_state)});
            return;
        }
        std::string body;
        switch (call.what.what) {
        case operation::begin:
            m_state.transactions[call.connection] = {};
            body = "{}";
            break;
        case operation::rollback:
            m_state.transactions.erase(call.connection);
            body = "{}";
            break;
        case operation::commit:
            append(call.what.request, m_state.transactions[call.connection].changes);
            m_state.transactions.erase(call.connection);
            body = "{}";
            break;
        case operation::run:
            body = run(call);
            break;
        }
        const bool is_replica = m_state.role == server_role::replica;
        const milliseconds age = is_replica ? m_now - m_state.fresh_as_of : milliseconds{0};
        const std::string id = m_state.faults.is_swapped ? m_state.last_request : call.what.request;
        m_state.last_request = call.what.request;
        answer(call.call, statement_done{id, position_of(m_state), age, std::move(body)});
    }

    std::string run(const statement_call& call)
    {
        const auto transaction = m_state.transactions.find(call.connection);
        const bool is_inside = call.what.is_in_transaction && transaction != m_state.transactions.end();
        const std::vector<change> none;
        detail::statement_result made =
            detail::run_text(call.what.text, m_state.data, is_inside ? transaction->second.changes : none);
        if (call.what.kind == configuration::statement_kind::read && !made.changes.empty()) {
            return R"({"error":"a class of kind read changes nothing"})";
        }
        if (is_inside) {
            auto& pending = transaction->second.changes;
            pending.insert(pending.end(), made.changes.begin(), made.changes.end());
        } else if (!made.changes.empty()) {
            append(call.what.request, made.changes);
        }
        return made.body;
    }

    void append(const std::string& request, const std::vector<change>& changes)
    {
        if (!changes.empty()) {
            store({last_position(m_state) + 1, m_state.term, request, changes});
        }
    }

    void store(const log_record& record)
    {
        for (const change& each : record.changes) {
            m_state.data = std::move(m_state.data).set(each.key, each.value);
        }
        m_state.log = std::move(m_state.log).set(record.position, record);
    }

    void apply_arrived()
    {
        while (!m_state.arrived.empty() && m_state.arrived.front().apply_at <= m_now) {
            const arrived_records batch = std::move(m_state.arrived.front());
            m_state.arrived.erase(m_state.arrived.begin());
            for (const log_record& record : batch.records) {
                if (record.position == last_position(m_state) + 1) {
                    store(record);
                }
            }
            const bool is_all = batch.records.size() < max_records_in_answer;
            m_state.fresh_as_of =
                is_all ? std::max(m_state.fresh_as_of, batch.asked_at) : m_state.fresh_as_of;
        }
    }

    [[nodiscard]] log_position received_position() const
    {
        return m_state.arrived.empty() ? last_position(m_state) : m_state.arrived.back().up_to;
    }

    void drop_records_after(log_position position)
    {
        if (last_position(m_state) <= position) {
            return;
        }
        const auto log = m_state.log;
        m_state.log = {};
        m_state.data = {};
        for (const auto& [at, record] : log) {
            if (at <= position) {
                store(record);
            }
        }
    }

    void end_transactions() { m_state.transactions.clear(); }

    protocol::server_report next_report()
    {
        protocol::server_report report;
        report.name = m_state.settings.name;
        report.group = m_state.settings.group;
        report.zone = m_state.settings.zone;
        report.address = m_state.settings.address;
        report.started_at = m_state.settings.started_at;
        report.sequence = m_state.next_report++;
        report.role = m_state.role;
        report.at = position_of(m_state);
        report.age = m_state.role == server_role::replica ? m_now - m_state.fresh_as_of : milliseconds{0};
        report.leaving = m_state.faults.is_leaving;
        return report;
    }

    void answer(call_number call, database_answer content, milliseconds delay = milliseconds{0})
    {
        const time_point at = std::max(m_now + delay + m_state.faults.late, m_state.frozen_until);
        const bool is_statement = std::holds_alternative<statement_done>(content);
        const bool is_for_entry = !std::holds_alternative<log_answer>(content);
        m_effects.emplace_back(answer_call{call, std::move(content), at,
                                           is_statement && m_state.faults.is_short,
                                           is_for_entry && m_state.faults.is_deaf});
    }

    void announce_standing()
    {
        m_effects.emplace_back(
            standing_changed{m_state.primary, m_state.faults.is_mute, m_state.faults.is_replication_cut});
    }

    database_state m_state;
    time_point m_now;
    std::vector<database_effect> m_effects;
};

} // namespace

database_transition reduce(database_state state, const database_event& what)
{
    database step(std::move(state), what.now);
    std::visit([&](const auto& each) { step.apply(each); }, what.what);
    return step.finish();
}

group_position position_of(const database_state& state)
{
    return {state.term, last_position(state)};
}

} // namespace hickorymount::database

#include "soak/consistency_checker.h"

#include "soak/field_data.h"

#include <algorithm>

#include <fmt/format.h>

namespace hickorymount::soak {

namespace {

/// Time after an acknowledgement within which a control host may still return an older version.
constexpr milliseconds configuration_apply_time{3000};
/// Id of the statements that the system under test issues itself.
constexpr const char* own_id = "-";

/// Names of prepared statements may differ, and so may the text of an execution.
bool is_same_statement(const sessions::statement& sent, const sessions::statement& received)
{
    if (sent.kind != received.kind) {
        return false;
    }
    switch (sent.kind) {
    case sessions::statement_kind::execute:
        return sent.argument == received.argument;
    case sessions::statement_kind::prepare:
        return sent.argument == received.argument && sent.is_read_only == received.is_read_only;
    case sessions::statement_kind::set_variable:
        return sent.argument == received.argument && sent.name == received.name;
    case sessions::statement_kind::deallocate:
        return true;
    default:
        return sent.text == received.text;
    }
}

} // namespace

bool log_contains(const std::vector<term_start>& term_starts, std::uint64_t log_end, const group_position& at)
{
    return at.position <= log_end && !term_starts.empty() && at.term <= term_starts.back().term &&
           session_token::is_retained(at, term_starts);
}

void consistency_checker::record_sent(const sent_statement& sent)
{
    m_sent[sent.id] = sent;
}

void consistency_checker::record_served(const served_statement& served)
{
    const auto sent = m_sent.find(served.id);
    if (sent == m_sent.end() || !is_same_statement(sent->second.command, served.command)) {
        report_violation("unasked", fmt::format("{} ran at {} as '{}'", to_printable(served.id),
                                                served.server.value, to_printable(served.command.text)));
        return;
    }
    check_customer(sent->second, served);
    check_session_state(sent->second, served);
    check_freshness(sent->second, served);
    m_served[served.id] = served;
}

void consistency_checker::record_received(const std::string& id, const sessions::statement& received,
                                          const std::string& server)
{
    const auto sent = m_sent.find(id);
    if (id != own_id && (sent == m_sent.end() || !is_same_statement(sent->second.command, received))) {
        report_violation("unasked", fmt::format("{} reached {} as '{}'", to_printable(id), server,
                                                to_printable(received.text)));
    }
}

void consistency_checker::record_unreadable(const std::string& receiver, const std::string& message)
{
    report_violation("unreadable", fmt::format("{} got '{}'", receiver, to_printable(message)));
}

void consistency_checker::record_unasked_answer(int session, const std::string& message)
{
    report_violation("mixed", fmt::format("session {} got '{}', which answers none of its statements",
                                          session, to_printable(message)));
}

void consistency_checker::check_customer(const sent_statement& sent, const served_statement& served)
{
    if (!sent.customer.empty() && served.credential != sent.customer) {
        report_violation("customer", fmt::format("{} of {} ran on a connection of '{}'", served.id,
                                                 sent.customer, served.credential));
    }
    const auto withdrawn = m_withdrawn_keys.find(sent.key);
    if (withdrawn != m_withdrawn_keys.end() && sent.sent_at > withdrawn->second + revocation_limit) {
        report_violation("customer", fmt::format("{} ran {} ms after its key was withdrawn", served.id,
                                                 (sent.sent_at - withdrawn->second).count()));
    }
}

void consistency_checker::record_key_withdrawn(const std::string& key, time_point now)
{
    m_withdrawn_keys.emplace(key, now);
}

void consistency_checker::record_key_restored(const std::string& key)
{
    m_withdrawn_keys.erase(key);
}

void consistency_checker::check_session_state(const sent_statement& sent, const served_statement& served)
{
    if (sent.values != served.values || sent.prepared_shape != served.prepared_shape) {
        report_violation(
            "pinned",
            fmt::format("{} ran with other values or another prepared statement than its session set",
                        served.id));
    }
    if (sent.is_in_transaction != (served.transaction != 0)) {
        report_violation(
            "pinned",
            fmt::format("{} ran outside its transaction, or inside a transaction although it had none",
                        served.id));
    }
    if (served.transaction == 0) {
        return;
    }
    const std::pair attempt{sent.session, sent.attempt};
    const auto attempt_entry = m_attempts.emplace(served.transaction, attempt).first;
    const auto transaction_entry = m_transactions.emplace(attempt, served.transaction).first;
    if (attempt_entry->second != attempt || transaction_entry->second != served.transaction) {
        report_violation(
            "pinned", fmt::format("{} ran in another transaction than the other statements of its operation",
                                  served.id));
    }
}

void consistency_checker::check_freshness(const sent_statement& sent, const served_statement& served)
{
    const bool is_read = !sent.writes && served.command.kind != sessions::statement_kind::commit;
    if (!is_read) {
        return;
    }
    ++m_read_count;
    const bool reads_primary = sent.consistency == configuration::read_consistency::primary;
    const time_point must_see_before = reads_primary ? sent.sent_at : sent.sent_at - sent.max_staleness;
    const bool reads_own_writes = sent.consistency == configuration::read_consistency::read_your_writes;
    for (const auto& [id, write] : m_acknowledged) {
        const bool must_be_visible =
            write.at < must_see_before ||
            (reads_own_writes && write.session == sent.session && write.at < sent.sent_at);
        if (must_be_visible && !is_seen_or_discarded(write.position, served)) {
            report_stale_read(sent, served, id, write.position, write.at);
            return;
        }
    }
    for (const answered_commit& commit : m_answered_commits) {
        if (commit.at < must_see_before && !is_seen_or_discarded(commit.position, served)) {
            report_stale_read(sent, served, commit.id, commit.position, commit.at);
            return;
        }
    }
}

void consistency_checker::report_stale_read(const sent_statement& sent, const served_statement& served,
                                            const std::string& write, const group_position& position,
                                            time_point acknowledged_at)
{
    report_violation(
        "stale",
        fmt::format("{} at {} lacks {} of {}.{}, acknowledged {} ms before it was sent: is_primary_route={} "
                    "entry={} log_term={} log_end={} served_at_unix_ms={}",
                    served.id, served.server.value, write, position.term, position.position,
                    (sent.sent_at - acknowledged_at).count(),
                    sent.consistency == configuration::read_consistency::primary, sent.entry,
                    served.term_starts.back().term, served.log_end, served.served_at.count()));
}

bool consistency_checker::is_seen_or_discarded(const group_position& write,
                                               const served_statement& served) const
{
    const std::uint64_t any_position = UINT64_MAX;
    return log_contains(served.term_starts, served.log_end, write) ||
           !log_contains(m_term_starts, any_position, write);
}

void consistency_checker::record_committed(const std::vector<std::string>& writes, const group_position& at)
{
    for (const std::string& id : writes) {
        m_commits[id].push_back(at);
    }
}

void consistency_checker::record_commit_answered(const std::vector<std::string>& writes,
                                                 const group_position& at, time_point now)
{
    if (!writes.empty()) {
        m_answered_commits.push_back({writes.front(), now, at});
    }
}

void consistency_checker::record_promotion(const std::vector<term_start>& term_starts, std::uint64_t log_end)
{
    m_term_starts = term_starts;
    for (const auto& [id, write] : m_acknowledged) {
        if (!log_contains(term_starts, log_end, write.position)) {
            report_violation("lost", fmt::format("{} of {}.{} is not in the log of the promoted server", id,
                                                 write.position.term, write.position.position));
        }
    }
}

void consistency_checker::record_answered(const std::string& id, const sessions::statement_response& answer)
{
    const auto served = m_served.find(id);
    if (served == m_served.end() || served->second.signature != answer.detail ||
        served->second.rows != answer.rows) {
        report_violation("mixed",
                         fmt::format("{} got an answer that no server gave: signature '{}', served as '{}'",
                                     id, to_printable(answer.detail),
                                     served == m_served.end() ? "" : served->second.signature));
    }
}

void consistency_checker::record_wrong_state(const std::string& id, sessions::transaction_state expected,
                                             sessions::transaction_state answered)
{
    report_violation("mixed", fmt::format("{} was answered with state {} instead of {}", id,
                                          static_cast<int>(answered), static_cast<int>(expected)));
}

void consistency_checker::record_acknowledged(int session, const std::vector<std::string>& writes,
                                              time_point now)
{
    for (const std::string& id : writes) {
        const auto commits = m_commits.find(id);
        if (commits == m_commits.end()) {
            report_violation("mixed", fmt::format("{} was acknowledged but never committed", id));
            continue;
        }
        m_acknowledged[id] = {session, now, commits->second.back()};
    }
}

void consistency_checker::record_not_applied(const std::vector<std::string>& writes)
{
    m_not_applied.insert(writes.begin(), writes.end());
}

void consistency_checker::record_configuration_acknowledged(std::uint64_t version, time_point now)
{
    m_configuration_versions.emplace_back(now, version);
}

void consistency_checker::record_configuration_read(std::uint64_t version, time_point sent_at)
{
    for (const auto& [at, acknowledged] : m_configuration_versions) {
        if (at + configuration_apply_time < sent_at && version < acknowledged) {
            report_violation("configuration",
                             fmt::format("version {} was returned after version {} was acknowledged", version,
                                         acknowledged));
            return;
        }
    }
}

void consistency_checker::record_interrupted_by_planned_stop(const std::string& id)
{
    report_violation("drain", fmt::format("{} was interrupted by a planned stop", id));
}

void consistency_checker::finish()
{
    const std::uint64_t any_position = UINT64_MAX;
    for (const auto& [id, commits] : m_commits) {
        const auto applied = std::count_if(commits.begin(), commits.end(), [&](const group_position& at) {
            return log_contains(m_term_starts, any_position, at);
        });
        if (applied > 1) {
            report_violation("twice", fmt::format("{} is applied {} times", id, applied));
        }
        if (applied > 0 && m_not_applied.contains(id)) {
            report_violation("refused",
                             fmt::format("{} is applied although its caller was told that it is not", id));
        }
    }
}

void consistency_checker::report_violation(const std::string& rule, const std::string& description)
{
    m_violations.push_back(rule + ": " + description);
}

} // namespace hickorymount::soak

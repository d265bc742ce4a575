#include "soak/history.h"

#include <algorithm>

#include <fmt/format.h>

namespace hickorymount::soak {

namespace {

/// From an acknowledgement until every process must show it.
constexpr milliseconds configuration_apply_time{3000};

} // namespace

bool holds(const std::vector<term_start>& term_starts, std::uint64_t log_end, const group_position& at)
{
    return at.position <= log_end && !term_starts.empty() && at.term <= term_starts.back().term &&
           session::is_retained(at, term_starts);
}

void history::note_sent(const sent_statement& sent)
{
    m_sent[sent.id] = sent;
}

void history::note_served(const served_statement& served)
{
    const auto sent = m_sent.find(served.id);
    if (sent == m_sent.end() || sent->second.what.kind != served.what.kind ||
        (served.what.kind != sessions::statement_kind::execute &&
         sent->second.what.text != served.what.text)) {
        violate("unasked", fmt::format("{} at {}", served.id, served.server.value));
        return;
    }
    check_pinned(sent->second, served);
    check_fresh(sent->second, served);
    m_served[served.id] = served;
}

void history::check_pinned(const sent_statement& sent, const served_statement& served)
{
    if (sent.values != served.values || sent.prepared_shape != served.prepared_shape) {
        violate("pinned", fmt::format("{} runs with other values or another shape", served.id));
    }
    if (sent.is_in_transaction != (served.transaction != 0)) {
        violate("pinned", fmt::format("{} runs outside its transaction or inside another", served.id));
    }
    if (served.transaction == 0) {
        return;
    }
    const std::pair attempt{sent.session, sent.attempt};
    const auto attempt_of = m_attempt_of.emplace(served.transaction, attempt).first;
    const auto transaction_of = m_transaction_of.emplace(attempt, served.transaction).first;
    if (attempt_of->second != attempt || transaction_of->second != served.transaction) {
        violate("pinned", fmt::format("{} runs in another transaction than the rest of its own", served.id));
    }
}

void history::check_fresh(const sent_statement& sent, const served_statement& served)
{
    const bool is_read = !sent.writes && served.what.kind != sessions::statement_kind::commit;
    if (!is_read) {
        return;
    }
    ++m_reads;
    const bool is_exact = sent.consistency == configuration::read_consistency::primary;
    const time_point before = is_exact ? sent.sent_at : sent.sent_at - sent.max_staleness;
    const bool sees_own = sent.consistency == configuration::read_consistency::read_your_writes;
    for (const auto& [id, write] : m_acknowledged) {
        const bool is_owed =
            write.at < before || (sees_own && write.session == sent.session && write.at < sent.sent_at);
        if (is_owed && !holds(served.term_starts, served.log_end, write.position)) {
            violate("stale", fmt::format("{} at {} lacks {} of {}.{}", served.id, served.server.value, id,
                                         write.position.term, write.position.position));
            return;
        }
    }
}

void history::note_committed(const std::vector<std::string>& writes, const group_position& at)
{
    for (const std::string& id : writes) {
        m_commits_of[id].push_back(at);
    }
}

void history::note_promotion(const std::vector<term_start>& term_starts, std::uint64_t log_end)
{
    m_term_starts = term_starts;
    for (const auto& [id, write] : m_acknowledged) {
        if (!holds(term_starts, log_end, write.position)) {
            violate("lost", fmt::format("{} of {}.{} is not in the log of the promoted server", id,
                                        write.position.term, write.position.position));
        }
    }
}

void history::note_answered(const std::string& id, const sessions::answer& got)
{
    const auto served = m_served.find(id);
    if (served == m_served.end() || served->second.signature != got.detail ||
        served->second.rows != got.rows) {
        violate("mixed", fmt::format("{} was answered with what no server said", id));
    }
}

void history::note_acknowledged(int session, const std::vector<std::string>& writes, time_point now)
{
    for (const std::string& id : writes) {
        const auto commits = m_commits_of.find(id);
        if (commits == m_commits_of.end()) {
            violate("mixed", fmt::format("{} was acknowledged and never committed", id));
            continue;
        }
        m_acknowledged[id] = {session, now, commits->second.back()};
    }
}

void history::note_promised_not_kept(const std::vector<std::string>& writes)
{
    m_not_kept.insert(writes.begin(), writes.end());
}

void history::note_configuration_acknowledged(std::uint64_t version, time_point now)
{
    m_versions.emplace_back(now, version);
}

void history::note_configuration_read(std::uint64_t version, time_point sent_at)
{
    for (const auto& [at, acknowledged] : m_versions) {
        if (at + configuration_apply_time < sent_at && version < acknowledged) {
            violate("configuration", fmt::format("version {} is shown after {}", version, acknowledged));
            return;
        }
    }
}

void history::note_cut_by_planned_stop(const std::string& id)
{
    violate("drain", fmt::format("{} was cut by a planned stop", id));
}

void history::finish()
{
    const std::uint64_t end = UINT64_MAX;
    for (const auto& [id, commits] : m_commits_of) {
        const auto kept = std::count_if(commits.begin(), commits.end(), [&](const group_position& at) {
            return holds(m_term_starts, end, at);
        });
        if (kept > 1) {
            violate("twice", fmt::format("{} is kept {} times", id, kept));
        }
        if (kept > 0 && m_not_kept.contains(id)) {
            violate("refused", fmt::format("{} is kept though its caller was told that it is not", id));
        }
    }
}

void history::violate(const std::string& rule, const std::string& what)
{
    m_violations.push_back(rule + ": " + what);
}

} // namespace hickorymount::soak

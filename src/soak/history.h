#pragma once

#include "base/millisecond_clock.h"
#include "configuration/types.h"
#include "session/types.h"
#include "sessions/statement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// A randomized run of the real programs under faults, checked from what callers and backend servers see.
namespace hickorymount::soak {

using session::group_position;
using session::group_term;
using session::term_start;

/// What a caller says of a statement before it sends it.
struct sent_statement
{
    std::string id;
    /// The caller's session, and the attempt within it.
    int session = 0;
    std::uint64_t attempt = 0;
    bool is_in_transaction = false;
    bool writes = false;
    sessions::statement what;
    /// What the session has set and prepared, as acknowledged to it.
    std::map<std::string, std::string> values;
    std::string prepared_shape;
    configuration::read_consistency consistency = configuration::read_consistency::primary;
    milliseconds max_staleness{0};
    time_point sent_at{};
};

/// What a backend server did with a statement.
struct served_statement
{
    std::string id;
    backend_server_name server;
    /// Names the transaction that it ran in; zero for none.
    std::uint64_t transaction = 0;
    sessions::statement what;
    std::map<std::string, std::string> values;
    std::string prepared_shape;
    std::string signature;
    std::vector<std::string> rows;
    /// Where each term of the log that it read starts, and how far that log reached.
    std::vector<term_start> term_starts;
    std::uint64_t log_end = 0;
};

/// Collects what was seen, and finds what breaks a promise. Not safe for several threads.
class history
{
public:
    void note_sent(const sent_statement& sent);
    void note_served(const served_statement& served);
    /// A primary's log got a commit of these writes; later `note_promotion` tells what is kept of it.
    void note_committed(const std::vector<std::string>& writes, const group_position& at);
    /// The new primary's log, from which everything that follows is built.
    void note_promotion(const std::vector<term_start>& term_starts, std::uint64_t log_end);
    /// The caller got a success for a statement.
    void note_answered(const std::string& id, const sessions::answer& got);
    /// The caller got a success for a commit, or for a write on its own, of these writes.
    void note_acknowledged(int session, const std::vector<std::string>& writes, time_point now);
    /// The caller was told that nothing of the attempt is kept.
    void note_promised_not_kept(const std::vector<std::string>& writes);
    /// A configuration was acknowledged; a read of it, sent at this time, showed this version.
    void note_configuration_acknowledged(std::uint64_t version, time_point now);
    void note_configuration_read(std::uint64_t version, time_point sent_at);
    /// A caller's request was cut while its entry host did nothing but stop as planned.
    void note_cut_by_planned_stop(const std::string& id);

    /// Looks at the last primary's log as a whole.
    void finish();

    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    [[nodiscard]] std::size_t acknowledged_count() const { return m_acknowledged.size(); }
    [[nodiscard]] std::size_t read_count() const { return m_reads; }

private:
    struct acknowledged_write
    {
        int session = 0;
        time_point at{};
        group_position position;
    };

    void violate(const std::string& rule, const std::string& what);
    void check_pinned(const sent_statement& sent, const served_statement& served);
    void check_fresh(const sent_statement& sent, const served_statement& served);

    std::map<std::string, sent_statement> m_sent;
    std::map<std::string, served_statement> m_served;
    /// Where each write was committed, by its id; more than once when a primary was replaced.
    std::map<std::string, std::vector<group_position>> m_commits_of;
    std::map<std::string, acknowledged_write> m_acknowledged;
    std::set<std::string> m_not_kept;
    /// The attempt that each transaction at a server belongs to, and the other way round.
    std::map<std::uint64_t, std::pair<int, std::uint64_t>> m_attempt_of;
    std::map<std::pair<int, std::uint64_t>, std::uint64_t> m_transaction_of;
    std::vector<std::pair<time_point, std::uint64_t>> m_versions;
    std::vector<term_start> m_term_starts{{1, 0}};
    std::size_t m_reads = 0;
    std::vector<std::string> m_violations;
};

/// True when a log with these terms, that reaches to `log_end`, holds the position.
bool holds(const std::vector<term_start>& term_starts, std::uint64_t log_end, const group_position& at);

} // namespace hickorymount::soak

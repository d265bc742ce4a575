#pragma once

#include "base/millisecond_clock.h"
#include "configuration/types.h"
#include "session_token/types.h"
#include "sessions/statement.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// A randomized run of the programs under faults, checked against what callers and backend servers observe.
namespace hickorymount::soak {

using session_token::group_position;
using session_token::group_term;
using session_token::term_start;

/// A statement as its caller records it before sending it.
struct sent_statement
{
    std::string id;
    int session = 0;
    /// Number of the caller's operation.
    std::uint64_t attempt = 0;
    bool is_in_transaction = false;
    bool writes = false;
    sessions::statement command;
    /// Values that the session has set, as acknowledged to it.
    std::map<std::string, std::string> values;
    /// The argument of the prepared statement that `command` executes; otherwise empty.
    std::string prepared_shape;
    configuration::read_consistency consistency = configuration::read_consistency::primary;
    milliseconds max_staleness{0};
    time_point sent_at{};
    /// Index of the entry host that received the statement.
    std::size_t entry = 0;
    /// The customer of the caller's key; empty without customers.
    std::string customer{};
    std::string key{};
};

/// A statement as the backend server that ran it records it.
struct served_statement
{
    std::string id;
    backend_server_name server;
    /// Identifies the transaction at the server; zero outside a transaction.
    std::uint64_t transaction = 0;
    sessions::statement command;
    std::map<std::string, std::string> values;
    std::string prepared_shape;
    std::string signature;
    std::vector<std::string> rows;
    /// Start of each term in the log that the statement read.
    std::vector<term_start> term_starts;
    /// Last applied position of that log.
    std::uint64_t log_end = 0;
    unix_milliseconds served_at{0};
    /// Who opened the connection to the server.
    std::string credential{};
};

/// A withdrawn key must not run a statement that was sent later than this after the change was acknowledged:
/// 5 s for a host that has contact with control, and the longest time for which the soak cuts a host off.
inline constexpr milliseconds revocation_limit{9000};

/// Records what callers and servers observe, and reports violated guarantees. Not thread-safe.
class consistency_checker
{
public:
    void record_sent(const sent_statement& sent);
    void record_served(const served_statement& served);
    /// A server received a statement, before it decides whether to run it. Its own id is `-` if the system
    /// under test issued it.
    void record_received(const std::string& id, const sessions::statement& received,
                         const std::string& server);
    /// `receiver` got a message that is none of the protocol.
    void record_unreadable(const std::string& receiver, const std::string& message);
    /// A caller got a message, or rows, that answer none of its statements.
    void record_unasked_answer(int session, const std::string& message);
    /// A primary appended these writes to its log. A later `record_promotion` may discard them.
    void record_committed(const std::vector<std::string>& writes, const group_position& at);
    /// A server answered the commit of these writes at this position of its log.
    void record_commit_answered(const std::vector<std::string>& writes, const group_position& at,
                                time_point now);
    /// A server was promoted; its log is the history of the group from then on.
    void record_promotion(const std::vector<term_start>& term_starts, std::uint64_t log_end);
    /// A caller received a successful answer to a statement.
    void record_answered(const std::string& id, const sessions::statement_response& answer);
    /// A successful answer named another state than the one that the statement leads to.
    void record_wrong_state(const std::string& id, sessions::transaction_state expected,
                            sessions::transaction_state answered);
    /// A caller received a successful answer to the commit of these writes, or to a write outside a
    /// transaction.
    void record_acknowledged(int session, const std::vector<std::string>& writes, time_point now);
    /// A caller received an answer which promises that none of these writes is applied.
    void record_not_applied(const std::vector<std::string>& writes);
    /// A control host acknowledged this version of the configuration.
    void record_configuration_acknowledged(std::uint64_t version, time_point now);
    /// A read of the configuration that was sent at `sent_at` returned this version.
    void record_configuration_read(std::uint64_t version, time_point sent_at);
    /// A configuration without this key was acknowledged.
    void record_key_withdrawn(const std::string& key, time_point now);
    /// A configuration with this key is about to be sent.
    void record_key_restored(const std::string& key);
    /// A planned stop of an entry host interrupted a caller's request.
    void record_interrupted_by_planned_stop(const std::string& id);

    /// Checks the final log for writes that are applied twice or despite a promise. Called once, at the end.
    void finish();

    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }
    [[nodiscard]] std::size_t acknowledged_count() const { return m_acknowledged.size(); }
    [[nodiscard]] std::size_t read_count() const { return m_read_count; }

private:
    struct acknowledged_write
    {
        int session = 0;
        time_point at{};
        group_position position;
    };

    struct answered_commit
    {
        std::string id;
        time_point at{};
        group_position position;
    };

    void report_violation(const std::string& rule, const std::string& description);
    void check_customer(const sent_statement& sent, const served_statement& served);
    void check_session_state(const sent_statement& sent, const served_statement& served);
    void check_freshness(const sent_statement& sent, const served_statement& served);
    void report_stale_read(const sent_statement& sent, const served_statement& served,
                           const std::string& write, const group_position& position,
                           time_point acknowledged_at);
    /// Returns whether the log that the statement read has the write, or a promotion has rolled the write
    /// back.
    [[nodiscard]] bool is_seen_or_discarded(const group_position& write,
                                            const served_statement& served) const;

    std::map<std::string, sent_statement> m_sent;
    std::map<std::string, served_statement> m_served;
    /// Positions at which each write was committed, by its id; several when a primary was replaced.
    std::map<std::string, std::vector<group_position>> m_commits;
    std::map<std::string, acknowledged_write> m_acknowledged;
    /// Commits as their servers answered them, also those whose answer has not reached the caller.
    std::vector<answered_commit> m_answered_commits;
    std::set<std::string> m_not_applied;
    /// Session and attempt of each transaction at a server, and the inverse.
    std::map<std::uint64_t, std::pair<int, std::uint64_t>> m_attempts;
    std::map<std::pair<int, std::uint64_t>, std::uint64_t> m_transactions;
    std::vector<std::pair<time_point, std::uint64_t>> m_configuration_versions;
    std::map<std::string, time_point> m_withdrawn_keys;
    std::vector<term_start> m_term_starts{{1, 0}};
    std::size_t m_read_count = 0;
    std::vector<std::string> m_violations;
};

/// Returns whether a log with these terms and this last position contains the position `at`.
bool log_contains(const std::vector<term_start>& term_starts, std::uint64_t log_end,
                  const group_position& at);

} // namespace hickorymount::soak

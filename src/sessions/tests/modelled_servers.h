#pragma once

#include "sessions/types.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickorymount::sessions {

/// One execution of a caller's statement at a modelled server.
struct modelled_run
{
    std::string id;
    std::map<std::string, std::string> variables;
    bool is_in_transaction = false;
    /// Executions of the same transaction have the same number.
    int transaction = 0;
    std::string template_text;

    friend bool operator==(const modelled_run&, const modelled_run&) = default;
};

/// Backend servers by the published protocol. Each connection runs its statements in order, and each answer
/// to a successful statement of a caller has a signature of its own.
class modelled_servers
{
public:
    void receive(const send_statement& sent)
    {
        ++m_times_sent[sent.id];
        m_connections[sent.connection].waiting.push_back(sent);
    }

    void close(connection_number number) { m_connections.erase(number); }

    [[nodiscard]] std::vector<connection_number> busy_connections() const
    {
        std::vector<connection_number> found;
        for (const auto& [number, connection] : m_connections) {
            if (!connection.waiting.empty()) {
                found.push_back(number);
            }
        }
        return found;
    }

    /// The statement that the connection runs next.
    [[nodiscard]] const send_statement& next(connection_number number) const
    {
        return m_connections.at(number).waiting.front();
    }

    /// Runs the connection's next statement, or refuses it with the code, and returns the answer.
    statement_response answer(connection_number number, std::optional<response_code> refusal)
    {
        connection_state& connection = m_connections.at(number);
        const send_statement sent = std::move(connection.waiting.front());
        connection.waiting.pop_front();
        statement_response response =
            refusal ? statement_response{{}, *refusal, "refused", {}, {}} : run(connection, sent);
        if (refusal && refusal != response_code::busy && connection.state == transaction_state::open) {
            connection.state = transaction_state::failed;
        }
        return rewritten(number, std::move(response));
    }

    /// The response with the state and position of now, as a server may repeat it.
    [[nodiscard]] statement_response rewritten(connection_number number, statement_response response) const
    {
        const auto found = m_connections.find(number);
        response.state = found == m_connections.end() ? transaction_state::none : found->second.state;
        response.position = group_position{3, m_position};
        return response;
    }

    /// The execution that has the signature; nothing if none has.
    [[nodiscard]] const modelled_run* run_of(const std::string& signature) const
    {
        const auto found = m_runs.find(signature);
        return found == m_runs.end() ? nullptr : &found->second;
    }

    /// How often the write has taken effect.
    [[nodiscard]] int commits_of(const std::string& id) const
    {
        const auto found = m_commits.find(id);
        return found == m_commits.end() ? 0 : found->second;
    }
    [[nodiscard]] int times_sent(const std::string& id) const
    {
        const auto found = m_times_sent.find(id);
        return found == m_times_sent.end() ? 0 : found->second;
    }
    /// The transaction that the commit with the signature has ended.
    [[nodiscard]] const std::vector<std::string>& writes_of_commit(const std::string& signature) const
    {
        static const std::vector<std::string> none;
        const auto found = m_writes_by_commit.find(signature);
        return found == m_writes_by_commit.end() ? none : found->second;
    }

private:
    struct connection_state
    {
        std::deque<send_statement> waiting;
        std::map<std::string, std::string> variables;
        std::map<std::string, std::pair<bool, std::string>> prepared;
        transaction_state state = transaction_state::none;
        int transaction = 0;
        std::vector<std::string> writes;
    };

    statement_response run(connection_state& connection, const send_statement& sent)
    {
        const statement& body = sent.body;
        const bool ends = body.kind == statement_kind::commit || body.kind == statement_kind::rollback;
        if (connection.state == transaction_state::failed && !ends) {
            return {{}, response_code::malformed, "the transaction has failed", {}, {}};
        }
        switch (body.kind) {
        case statement_kind::begin:
        case statement_kind::begin_read:
            connection.state = transaction_state::open;
            connection.transaction = ++m_last_transaction;
            return statement_response{};
        case statement_kind::rollback:
            connection.state = transaction_state::none;
            connection.writes.clear();
            return statement_response{};
        case statement_kind::set_variable:
            connection.variables[body.name] = body.argument;
            return statement_response{};
        case statement_kind::prepare:
            connection.prepared[body.name] = {body.is_read_only, body.argument};
            return statement_response{};
        case statement_kind::reset:
            connection.variables.clear();
            connection.prepared.clear();
            return statement_response{};
        case statement_kind::commit:
            return commit(connection, sent);
        default:
            return run_item(connection, sent);
        }
    }

    statement_response commit(connection_state& connection, const send_statement& sent)
    {
        if (connection.state != transaction_state::open) {
            connection.state = transaction_state::none;
            connection.writes.clear();
            return {{}, response_code::malformed, "no transaction is open", {}, {}};
        }
        statement_response response = sign(connection, sent, "");
        for (const std::string& id : connection.writes) {
            ++m_commits[id];
            ++m_position;
        }
        m_writes_by_commit[response.detail] = std::exchange(connection.writes, {});
        connection.state = transaction_state::none;
        response.rows.clear();
        return response;
    }

    statement_response run_item(connection_state& connection, const send_statement& sent)
    {
        bool is_write = sent.body.kind == statement_kind::write;
        std::string template_text;
        if (sent.body.kind == statement_kind::execute) {
            const auto prepared = connection.prepared.find(sent.body.name);
            if (prepared == connection.prepared.end()) {
                return {{}, response_code::unknown_statement, "no such name", {}, {}};
            }
            is_write = !prepared->second.first;
            template_text = prepared->second.second;
        }
        if (is_write && connection.state == transaction_state::open) {
            connection.writes.push_back(sent.id);
        } else if (is_write) {
            ++m_commits[sent.id];
            ++m_position;
        }
        return sign(connection, sent, std::move(template_text));
    }

    statement_response sign(const connection_state& connection, const send_statement& sent,
                            std::string template_text)
    {
        const std::string signature = "signature-" + std::to_string(++m_last_signature);
        const bool is_open = connection.state == transaction_state::open;
        m_runs[signature] = {sent.id, connection.variables, is_open, is_open ? connection.transaction : 0,
                             std::move(template_text)};
        return {{"row of " + sent.id}, response_code::done, signature, {}, {}};
    }

    std::map<connection_number, connection_state> m_connections;
    std::map<std::string, modelled_run> m_runs;
    std::map<std::string, int> m_commits;
    std::map<std::string, int> m_times_sent;
    std::map<std::string, std::vector<std::string>> m_writes_by_commit;
    std::uint64_t m_position = 100;
    int m_last_signature = 0;
    int m_last_transaction = 0;
};

} // namespace hickorymount::sessions

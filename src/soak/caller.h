#pragma once

#include "sessions/statement.h"
#include "soak/consistency_checker.h"
#include "soak/field_data.h"
#include "soak/message_connection.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hickorymount::soak {

/// A database name in the configuration, with the read consistency that callers expect of it.
struct database_route
{
    std::string name;
    configuration::read_consistency consistency = configuration::read_consistency::primary;
    milliseconds max_staleness{0};
};

/// Number of statements by their outcome at the callers.
struct caller_counts
{
    std::size_t answered = 0;
    /// Error answers which promise that nothing was applied.
    std::size_t refused = 0;
    std::size_t unknown = 0;
    /// Statements whose connection was closed before the answer.
    std::size_t interrupted = 0;
    /// Connections that the callers replaced, for any reason.
    std::size_t reconnects = 0;
};

/// A simulated caller: runs one operation after the other in a session, and opens a new session on a random
/// entry host when the connection closes, an answer is late or a transaction fails.
class caller : public std::enable_shared_from_this<caller>
{
public:
    struct run_environment
    {
        boost::asio::io_context& context;
        consistency_checker& checker;
        caller_counts& counts;
        /// Ports of entry hosts on loopback.
        std::vector<std::uint16_t> entry_ports;
        /// True when the entry host is in a planned stop and no recent fault can have interrupted a request.
        std::function<bool(std::size_t index)> is_planned_stop;
        field_alphabet alphabet = field_alphabet::any_byte;
    };

    /// The customer that a caller belongs to, and its key; empty without customers.
    struct identity
    {
        std::string customer;
        std::string key;
    };

    caller(run_environment environment, int number, database_route database, identity credentials,
           std::uint32_t seed);

    void start();
    void stop();

private:
    void connect();
    void reconnect_later();
    void handle_message(const std::string& message);
    void handle_answer(const sessions::statement_response& answer);
    /// Reports an answer whose state does not follow from the statement.
    void check_state(const sessions::statement_response& answer);
    void handle_disconnect();
    void start_operation();
    void send_next_statement();
    void send_statement(const sessions::statement& next);
    void handle_error(sessions::response_code code);
    void start_timer(milliseconds duration, void (caller::*handler)());
    void handle_timeout();
    [[nodiscard]] sessions::statement make_data_statement(bool writes);

    run_environment m_environment;
    int m_number;
    database_route m_database;
    identity m_identity;
    std::mt19937 m_random;
    /// Separate, so that the statements of a seed do not depend on the data.
    field_source m_fields;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<message_connection> m_connection;
    std::size_t m_entry_index = 0;
    bool m_is_open = false;
    bool m_is_stopped = false;
    std::map<std::string, std::string> m_values;
    std::map<std::string, sessions::statement> m_prepared;
    /// Each connection has a session number of its own, because read-your-writes ends with the connection.
    int m_session = 0;
    int m_connection_count = 0;
    std::uint64_t m_attempt = 0;
    /// Statements of the operation that have not been sent, in reverse order.
    std::vector<sessions::statement> m_remaining_statements;
    bool m_is_in_transaction = false;
    /// The state in the last answer.
    sessions::transaction_state m_state = sessions::transaction_state::none;
    std::vector<std::string> m_write_ids;
    std::string m_pending_id;
    sessions::statement m_pending_statement;
    bool m_is_awaiting_answer = false;
    sessions::statement_response m_partial_answer;
};

} // namespace hickorymount::soak

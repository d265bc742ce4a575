#pragma once

#include "net/line_connection.h"
#include "sessions/wire.h"
#include "soak/history.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hickorymount::soak {

/// A database as callers name it.
struct caller_database
{
    std::string name;
    configuration::read_consistency consistency = configuration::read_consistency::primary;
    milliseconds max_staleness{0};
};

/// Counts of what callers were told.
struct caller_counts
{
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    std::size_t cut = 0;
    /// Connections that were not opened in time, or were closed while nothing was asked.
    std::size_t reopened = 0;
};

/// One caller: keeps a session open as long as it lasts, and asks for one thing after the other. It goes on
/// with an open connection until the process at the other end is gone.
class caller : public std::enable_shared_from_this<caller>
{
public:
    struct surroundings
    {
        boost::asio::io_context& context;
        const sessions::wire& wire;
        history& seen;
        caller_counts& counts;
        /// Ports of entry hosts on loopback.
        std::vector<std::uint16_t> entry_ports;
        /// True when the entry host at this place did nothing but stop as planned in the last seconds.
        std::function<bool(std::size_t place)> is_planned_stop;
    };

    caller(surroundings around, int number, caller_database database, std::uint32_t seed);

    void start();
    void stop();

private:
    void connect();
    void reconnect_later();
    void take_line(std::string_view line);
    void take_answer(const sessions::answer& got);
    void take_end();
    void next_operation();
    void next_statement();
    void ask(const sessions::statement& what);
    void settle_failure(sessions::answer_code code);
    void arm(milliseconds duration, void (caller::*then)());
    void give_up();
    [[nodiscard]] sessions::statement data_statement(bool writes);

    surroundings m_around;
    int m_number;
    caller_database m_database;
    std::mt19937 m_random;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<net::line_connection> m_connection;
    std::size_t m_entry_place = 0;
    bool m_is_open = false;
    bool m_is_stopped = false;
    std::map<std::string, std::string> m_values;
    std::map<std::string, sessions::statement> m_prepared;
    /// A connection is a session; the next one promises nothing of what this one wrote.
    int m_session = 0;
    int m_connections = 0;
    std::uint64_t m_attempt = 0;
    /// What the operation has still to ask, last first.
    std::vector<sessions::statement> m_left;
    bool m_is_transaction = false;
    std::vector<std::string> m_writes;
    std::string m_id;
    sessions::statement m_asked;
    bool m_is_waiting = false;
    sessions::answer m_partial;
};

} // namespace hickorymount::soak

#pragma once

#include "net/line_connection.h"
#include "sessions/wire.h"
#include "soak/history.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hickorymount::soak {

/// What one emulated server says of itself.
struct server_announcement
{
    std::string name;
    std::uint16_t port = 0;
    bool is_primary = false;
    std::uint64_t sequence = 0;
    std::int64_t born = 0;
};

/// A database group of three servers that speak in sessions: one primary whose commits wait for a replica,
/// and two that follow it. Runs on the thread of its context, but for `announcements` and `promote`.
class emulated_group
{
public:
    static constexpr std::size_t server_count = 3;

    emulated_group(boost::asio::io_context& context, const sessions::wire& wire, std::string name,
                   history& seen, std::uint32_t seed);
    ~emulated_group();
    emulated_group(const emulated_group&) = delete;
    emulated_group& operator=(const emulated_group&) = delete;

    /// Listens on ports that the kernel chooses. Errors: none can be had.
    result<void> start();
    void stop();

    [[nodiscard]] const std::string& name() const { return m_name; }
    /// Of the servers that run. Safe from any thread.
    [[nodiscard]] std::vector<server_announcement> announcements();
    /// Orders a server to take over; false when it does not run. Safe from any thread.
    bool promote(const std::string& name);

    [[nodiscard]] std::size_t primary_place() const;
    /// The server ends, and starts again with its log.
    void crash(std::size_t place, milliseconds duration);
    /// The server answers nothing and closes nothing.
    void silence(std::size_t place, milliseconds duration);
    void delay_replication(std::size_t place, milliseconds lag, milliseconds duration);
    void stop_replication(std::size_t place, milliseconds duration);
    /// Some answers to statements that ran are lost with their connection.
    void lose_answers(std::size_t place, double share, milliseconds duration);

private:
    struct session;

    struct log_entry
    {
        group_term term = 0;
        std::vector<std::string> writes;
    };

    struct waiting_commit
    {
        group_position at;
        std::shared_ptr<session> asked_by;
        sessions::answer whole;
        std::string id;
    };

    struct server
    {
        std::string name;
        std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
        std::uint16_t port = 0;
        bool is_primary = false;
        bool is_running = true;
        group_term term = 1;
        std::vector<log_entry> log;
        std::size_t applied = 0;
        std::deque<std::pair<time_point, std::size_t>> received;
        group_term paused_below = 0;
        milliseconds lag{5};
        time_point silent_until{};
        time_point deaf_until{};
        time_point lagging_until{};
        time_point losing_until{};
        double lost_share = 0;
        std::uint64_t sequence = 0;
        std::int64_t born = 0;
        std::vector<std::shared_ptr<session>> sessions;
        std::deque<waiting_commit> waiting;
    };

    void accept(std::size_t place);
    void take_line(const std::shared_ptr<session>& from, std::string_view line);
    void take_statement(const std::shared_ptr<session>& from, const sessions::statement_request& asked);
    void take_order(const std::shared_ptr<session>& from, const sessions::statement& what);
    /// Refusals that come before a run; empty when it may run.
    std::optional<sessions::answer_code> refuse(const session& from,
                                                const sessions::statement_request& asked);
    void run(const std::shared_ptr<session>& from, const sessions::statement_request& asked);
    void commit(const std::shared_ptr<session>& from, const std::string& id, std::vector<std::string> writes,
                sessions::answer whole);
    void answer(const std::shared_ptr<session>& to, sessions::answer whole, bool has_run);
    void end(server& of, const std::shared_ptr<session>& ended);
    static void follow(std::vector<log_entry>& log, const std::vector<log_entry>& primary);
    void replicate();
    void acknowledge(server& primary);
    void take_over(const std::string& name);
    void schedule_replication();
    [[nodiscard]] static group_position position_of(const server& of);
    [[nodiscard]] static std::vector<term_start> term_starts(const server& of);
    server* newest_primary();

    boost::asio::io_context& m_context;
    const sessions::wire& m_wire;
    std::string m_name;
    history& m_seen;
    std::mt19937 m_random;
    std::vector<server> m_servers;
    boost::asio::steady_timer m_replication_timer;
    boost::asio::steady_timer m_takeover_timer;
    std::uint64_t m_next_number = 1;
    group_term m_newest_term = 1;
    std::mutex m_announcement_mutex;
    std::vector<server_announcement> m_announcements;
};

} // namespace hickorymount::soak

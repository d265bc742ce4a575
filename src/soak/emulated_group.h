#pragma once

#include "platform/emulator_messages.h"
#include "soak/consistency_checker.h"
#include "soak/field_data.h"
#include "soak/message_connection.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace hickorymount::soak {

/// The state that an emulated server reports to the control hosts.
struct server_announcement
{
    std::string name;
    std::uint16_t port = 0;
    bool is_primary = false;
    std::uint64_t sequence = 0;
    /// Unix time of the last start.
    std::int64_t started_at_ms = 0;
    /// The announcement does not reach the control hosts.
    bool is_lost = false;
};

/// How a server sends answers while a fault lasts.
struct answer_faults
{
    /// Probability that an answer is sent a second time, at once or up to 700 ms later.
    double repeat_probability = 0;
    /// The second time, an answer has the state and the position of that moment.
    bool repeats_with_new_state = false;
    /// Probability that the connection is closed in the middle of an answer.
    double cut_probability = 0;
};

/// An in-process database group of three servers that accept sessions: a primary that answers a commit after
/// a replica has it, and two replicas. A replaced primary continues until it is demoted, or has been able to
/// reach the new one for a second. Only `announcements` and `promote` may be called from any thread; all
/// other functions run on the thread of the `io_context`.
class emulated_group
{
public:
    static constexpr std::size_t server_count = 3;

    emulated_group(boost::asio::io_context& context, std::string name, consistency_checker& checker,
                   std::uint32_t seed, field_alphabet alphabet);
    ~emulated_group();
    emulated_group(const emulated_group&) = delete;
    emulated_group& operator=(const emulated_group&) = delete;

    /// Listens on ports that the kernel chooses. Errors: no port is available.
    result<void> start();
    void stop();

    [[nodiscard]] const std::string& name() const { return m_name; }
    /// Returns the states of the running servers, and increments their sequence numbers. Thread-safe.
    [[nodiscard]] std::vector<server_announcement> announcements();
    /// Starts the promotion of a server; returns false when the server is not running. Thread-safe.
    bool promote(const std::string& name);

    [[nodiscard]] std::size_t primary_index() const;
    /// Stops the server, and restarts it with its log after `duration`.
    void crash(std::size_t index, milliseconds duration);
    /// Keeps connections open but answers nothing for `duration`.
    void make_unresponsive(std::size_t index, milliseconds duration);
    /// The primary answers on the connections that are open, but for `duration` on no new one, and its
    /// announcements are lost. For `unaware_time`, it does not follow a server that is promoted in its place.
    void isolate_primary(milliseconds duration, milliseconds unaware_time);
    void delay_replication(std::size_t index, milliseconds lag, milliseconds duration);
    void stop_replication(std::size_t index, milliseconds duration);
    /// Closes the connection instead of sending the answer to a statement that ran, with this probability.
    void lose_answers(std::size_t index, double probability, milliseconds duration);
    /// Applies to all answers, including refusals and the `READY` after `START`.
    void disturb_answers(std::size_t index, const answer_faults& faults, milliseconds duration);
    [[nodiscard]] std::size_t repeated_count() const { return m_repeated_count; }
    [[nodiscard]] std::size_t cut_count() const { return m_cut_count; }

private:
    struct session;

    struct log_entry
    {
        group_term term = 0;
        std::vector<std::string> writes;
    };

    struct pending_commit
    {
        group_position position;
        std::shared_ptr<session> client;
        sessions::statement_response reply;
        std::string id;
        std::vector<std::string> writes;
    };

    struct server
    {
        std::string name;
        std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
        std::uint16_t port = 0;
        bool is_primary = false;
        /// Set at a replaced primary while it can reach the new one.
        std::optional<time_point> reached_successor_at;
        bool is_running = true;
        group_term term = 1;
        std::vector<log_entry> log;
        std::size_t applied_length = 0;
        std::deque<std::pair<time_point, std::size_t>> received_lengths;
        group_term paused_below_term = 0;
        milliseconds lag{5};
        time_point unresponsive_until{};
        time_point isolated_until{};
        time_point unaware_until{};
        time_point replication_stopped_until{};
        time_point lag_until{};
        time_point answer_loss_until{};
        double answer_loss_probability = 0;
        answer_faults disturbance;
        time_point disturbed_until{};
        std::uint64_t sequence = 0;
        std::int64_t started_at_ms = 0;
        std::vector<std::shared_ptr<session>> sessions;
        std::deque<pending_commit> pending_commits;
    };

    void accept(std::size_t index);
    void handle_message(const std::shared_ptr<session>& client, const std::string& message);
    void handle_statement(const std::shared_ptr<session>& client, const platform::statement_message& request);
    void run_next_statement(const std::shared_ptr<session>& client);
    /// The session's statement has been answered, or will not be.
    void end_statement(const std::shared_ptr<session>& client);
    void handle_control_statement(const std::shared_ptr<session>& client,
                                  const sessions::statement& statement);
    /// Returns the error that rejects a statement before it runs; empty when it may run.
    std::optional<sessions::response_code> rejection_for(const session& client,
                                                         const platform::statement_message& request);
    void execute(const std::shared_ptr<session>& client, const platform::statement_message& request);
    void commit(const std::shared_ptr<session>& client, const std::string& id,
                std::vector<std::string> writes, sessions::statement_response answer);
    /// Returns false if a fault loses the answer.
    bool send_answer(const std::shared_ptr<session>& client, sessions::statement_response answer,
                     bool has_run);
    /// Sends a message, twice or in part if a fault does so. Returns false if it was not sent as a whole.
    bool send_message(const std::shared_ptr<session>& client, const std::function<std::string()>& make);
    void repeat_message(const std::shared_ptr<session>& client, const std::function<std::string()>& make,
                        const std::string& first);
    [[nodiscard]] static sessions::transaction_state state_of(const session& client);
    void close_session(server& local_server, const std::shared_ptr<session>& closed);
    static void synchronize_log(std::vector<log_entry>& log, const std::vector<log_entry>& primary);
    void replicate();
    void answer_replicated_commits(server& primary);
    void complete_promotion(const std::string& name);
    void schedule_replication();
    [[nodiscard]] static group_position position_of(const server& local_server);
    [[nodiscard]] static std::vector<term_start> term_starts(const server& local_server);
    server* newest_primary();

    boost::asio::io_context& m_context;
    std::string m_name;
    consistency_checker& m_checker;
    std::mt19937 m_random;
    /// Separate, so that the timing of a seed does not depend on the data.
    field_source m_fields;
    std::mt19937 m_disturbance_random;
    std::vector<server> m_servers;
    boost::asio::steady_timer m_replication_timer;
    boost::asio::steady_timer m_promotion_timer;
    std::uint64_t m_next_id = 1;
    group_term m_newest_term = 1;
    std::size_t m_repeated_count = 0;
    std::size_t m_cut_count = 0;
    std::mutex m_announcement_mutex;
    std::vector<server_announcement> m_announcements;
};

} // namespace hickorymount::soak

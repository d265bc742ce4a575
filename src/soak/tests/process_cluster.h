#pragma once

#include "base/millisecond_clock.h"
#include "platform/emulator_messages.h"
#include "protocol/types.h"
#include "soak/message_connection.h"

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <sys/types.h>

namespace hickorymount::soak {

/// What one process uses, from /proc.
struct process_usage
{
    bool is_running = false;
    /// Largest resident memory since the start of the process.
    std::size_t peak_memory_bytes = 0;
    std::size_t open_descriptors = 0;
};

/// A program that the test starts, and ends in the destructor.
class child_process
{
public:
    child_process(const std::string& program, const std::string& settings_file, const std::string& log_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    [[nodiscard]] process_usage usage();

private:
    bool is_running();

    pid_t m_id = 0;
    bool m_has_ended = false;
};

/// How `stand_in_server` answers the statements of callers.
struct server_behavior
{
    /// The row of each read and execution; empty for none.
    std::string row{};
    /// Each read and execution gets its text as a row.
    bool echoes = false;
    /// Each answer is sent again on its connection, before the next answer there.
    bool repeats_answers = false;
    /// The first attempt of each write is refused, and the refusal is sent again before the next answer on
    /// its connection.
    bool refuses_first_writes = false;
};

/// A backend server that accepts sessions and answers every statement. The signature ends with the id of the
/// statement. `READ rows N` gets a row of N bytes.
class stand_in_server
{
public:
    stand_in_server();
    ~stand_in_server();
    stand_in_server(const stand_in_server&) = delete;
    stand_in_server& operator=(const stand_in_server&) = delete;

    [[nodiscard]] std::uint16_t port() const { return m_port; }
    /// While set, statements of callers are received but not answered.
    void hold_answers(bool is_held) { m_is_held = is_held; }
    /// Applies to the statements that arrive from now on.
    void set_behavior(const server_behavior& behavior);
    /// All messages as they arrived, without their CR LF.
    [[nodiscard]] std::vector<std::string> received_messages();
    /// Number of times that statements with this id ran.
    [[nodiscard]] std::size_t runs_of(const std::string& id);

private:
    struct peer;

    void accept();
    void handle_message(const std::shared_ptr<peer>& sender, const std::string& message);
    [[nodiscard]] sessions::statement_response answer_to(const platform::statement_message& request);

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_is_held{false};
    /// Protects the members that follow.
    std::mutex m_mutex;
    server_behavior m_behavior;
    std::vector<std::string> m_received;
    std::map<std::string, std::size_t> m_runs;
    std::set<std::string> m_refused;
    std::thread m_thread;
};

/// A control host, an entry host and a backend server on loopback. Only the backend server runs in the test's
/// own process.
class process_cluster
{
public:
    /// Starts everything and waits until a statement is answered; `is_started` tells whether that succeeded.
    process_cluster();
    ~process_cluster();
    process_cluster(const process_cluster&) = delete;
    process_cluster& operator=(const process_cluster&) = delete;

    [[nodiscard]] bool is_started() const { return m_is_started; }
    [[nodiscard]] stand_in_server& server() { return m_server; }
    [[nodiscard]] process_usage entry_usage() { return m_entry->usage(); }
    [[nodiscard]] process_usage control_usage() { return m_control->usage(); }
    /// Prints the last lines of the processes' logs.
    void print_logs() const;

    std::uint16_t session_port = 0;
    std::uint16_t relay_port = 0;
    std::uint16_t http_port = 0;
    std::uint16_t operator_port = 0;
    std::uint16_t link_port = 0;

private:
    bool start();
    void write_settings();
    void report_server();

    std::filesystem::path m_folder;
    stand_in_server m_server;
    std::unique_ptr<child_process> m_control;
    std::unique_ptr<child_process> m_entry;
    std::atomic<bool> m_is_ending{false};
    std::thread m_reports;
    bool m_is_started = false;
};

/// The database that callers open.
inline constexpr const char* test_database = "ledger";

/// Repeats a new session with one statement until it is answered; false when that fails for `time`.
bool is_statement_answered(std::uint16_t port, milliseconds time);

/// Repeats a GET request until a status below 500 arrives; false when that fails for `time`.
bool is_request_answered(std::uint16_t port, const std::string& path, milliseconds time);

} // namespace hickorymount::soak

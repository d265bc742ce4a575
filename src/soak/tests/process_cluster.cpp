#include "soak/tests/process_cluster.h"

#include "http/client.h"
#include "platform/emulator_client.h"
#include "soak/tests/raw_client.h"

#include <csignal>
#include <cstdlib>
#include <deque>
#include <fstream>

#include <boost/asio/post.hpp>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace hickorymount::soak {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using sessions::response_code;
using sessions::statement_kind;
using sessions::transaction_state;

constexpr const char* group = "orders";
constexpr const char* server_name = "orders-1";
constexpr milliseconds call_timeout{700};
constexpr milliseconds attempt_timeout{4000};
constexpr milliseconds pause{100};
constexpr milliseconds start_time{30'000};
constexpr milliseconds report_interval{400};
/// A process may start late on a busy machine, and another program may take a port meanwhile.
constexpr int start_attempts = 3;
constexpr std::uint32_t connections = 20;
constexpr milliseconds statement_timeout{3000};
constexpr std::size_t server_message_bytes = std::size_t{4} << 20;
constexpr std::size_t printed_log_lines = 30;
constexpr std::string_view rows_text = "READ rows ";
constexpr sessions::group_position server_position{1, 1};

/// Settings that lower the limits of the processes.
constexpr const char* entry_limits = R"(memory_mb = 64
max_descriptors = 200
opening_timeout_ms = 2000
message_timeout_ms = 4000
)";
constexpr const char* control_limits = R"(memory_mb = 64
max_descriptors = 200
)";

std::vector<std::uint16_t> free_ports(std::size_t count)
{
    asio::io_context context;
    std::vector<tcp::acceptor> acceptors;
    std::vector<std::uint16_t> ports;
    for (std::size_t index = 0; index < count; ++index) {
        acceptors.emplace_back(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        ports.push_back(acceptors.back().local_endpoint().port());
    }
    return ports;
}

configuration::database_route make_route()
{
    configuration::database_route route;
    route.name = "route";
    route.database = test_database;
    route.group.value = group;
    route.consistency = configuration::read_consistency::primary;
    route.statement_timeout = statement_timeout;
    return route;
}

protocol::endpoint loopback(std::uint16_t port)
{
    return {"127.0.0.1", port};
}

} // namespace

child_process::child_process(const std::string& program, const std::string& settings_file,
                             const std::string& log_file)
{
    const int log = ::open(log_file.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0644);
    const pid_t parent = ::getpid();
    m_id = ::fork();
    if (m_id == 0) {
        // A test that is killed must leave no process behind.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            ::_exit(EXIT_FAILURE);
        }
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execl(program.c_str(), program.c_str(), "--settings", settings_file.c_str(), nullptr);
        ::_exit(EXIT_FAILURE);
    }
    ::close(log);
}

child_process::~child_process()
{
    if (is_running()) {
        ::kill(m_id, SIGKILL);
        ::waitpid(m_id, nullptr, 0);
    }
}

bool child_process::is_running()
{
    m_has_ended = m_has_ended || m_id <= 0 || ::waitpid(m_id, nullptr, WNOHANG) != 0;
    return !m_has_ended;
}

process_usage child_process::usage()
{
    process_usage found;
    found.is_running = is_running();
    if (!found.is_running) {
        return found;
    }
    std::ifstream status(fmt::format("/proc/{}/status", m_id));
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmHWM:")) {
            found.peak_memory_bytes = std::strtoull(line.c_str() + 6, nullptr, 10) << 10;
        }
    }
    std::error_code error;
    for (std::filesystem::directory_iterator each(fmt::format("/proc/{}/fd", m_id), error), end;
         !error && each != end; each.increment(error)) {
        ++found.open_descriptors;
    }
    return found;
}

struct stand_in_server::peer
{
    std::shared_ptr<message_connection> connection;
    /// What is sent again before the next answer.
    std::string repeat;
};

stand_in_server::stand_in_server()
    : m_acceptor(m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_port(m_acceptor.local_endpoint().port())
{
    accept();
    m_thread = std::thread([this] { m_context.run(); });
}

stand_in_server::~stand_in_server()
{
    m_context.stop();
    m_thread.join();
}

void stand_in_server::set_behavior(const server_behavior& behavior)
{
    const std::lock_guard lock(m_mutex);
    m_behavior = behavior;
}

std::vector<std::string> stand_in_server::received_messages()
{
    const std::lock_guard lock(m_mutex);
    return m_received;
}

std::size_t stand_in_server::runs_of(const std::string& id)
{
    const std::lock_guard lock(m_mutex);
    return m_runs[id];
}

void stand_in_server::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (error) {
            return;
        }
        auto accepted = std::make_shared<peer>();
        accepted->connection = std::make_shared<message_connection>(std::move(socket), server_message_bytes);
        accepted->connection->set_handlers(
            {[this, accepted](const std::string& message) { handle_message(accepted, message); }, [] {}});
        accepted->connection->start();
        accept();
    });
}

void stand_in_server::handle_message(const std::shared_ptr<peer>& sender, const std::string& message)
{
    const std::lock_guard lock(m_mutex);
    m_received.push_back(message);
    const platform::request_message decoded = platform::parse_request(message);
    if (std::holds_alternative<platform::opening_message>(decoded)) {
        sender->connection->send(platform::write_ready({transaction_state::none, server_position}));
        return;
    }
    const auto* request = std::get_if<platform::statement_message>(&decoded);
    if (request == nullptr) {
        sender->connection->close();
        return;
    }
    const bool is_of_caller = request->body.kind < statement_kind::reset;
    if (is_of_caller && m_is_held) {
        return;
    }
    const sessions::statement_response answer = answer_to(*request);
    const std::string bytes = platform::write_answer(answer);
    sender->connection->send(std::exchange(sender->repeat, {}) + bytes);
    const bool is_repeated = m_behavior.repeats_answers || answer.code == response_code::busy;
    if (is_of_caller && is_repeated) {
        sender->repeat = bytes;
    }
}

sessions::statement_response stand_in_server::answer_to(const platform::statement_message& request)
{
    const statement_kind kind = request.body.kind;
    const bool has_signature = kind == statement_kind::read || kind == statement_kind::write ||
                               kind == statement_kind::execute || kind == statement_kind::commit;
    sessions::statement_response answer{{},
                                        response_code::done,
                                        has_signature ? "7." + request.id : "-",
                                        transaction_state::none,
                                        server_position};
    if (kind == statement_kind::status) {
        answer.rows = {platform::write_status({true, server_position})};
        return answer;
    }
    const bool is_refused = kind == statement_kind::write && m_behavior.refuses_first_writes &&
                            m_refused.insert(request.id).second;
    if (is_refused) {
        answer.code = response_code::busy;
        answer.detail = server_name;
        return answer;
    }
    ++m_runs[request.id];
    if (request.body.text.starts_with(rows_text)) {
        answer.rows = {
            std::string(std::strtoull(request.body.text.c_str() + rows_text.size(), nullptr, 10), 'r')};
    } else if (kind == statement_kind::read || kind == statement_kind::execute) {
        answer.rows = m_behavior.echoes ? std::vector{request.body.text} : std::vector{m_behavior.row};
        std::erase(answer.rows, "");
    }
    return answer;
}

process_cluster::process_cluster()
{
    for (int attempt = 0; attempt < start_attempts && !m_is_started; ++attempt) {
        m_is_started = start();
    }
}

process_cluster::~process_cluster()
{
    m_is_ending = true;
    if (m_reports.joinable()) {
        m_reports.join();
    }
    m_entry.reset();
    m_control.reset();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void process_cluster::print_logs() const
{
    for (const char* file : {"control.log", "entry.log"}) {
        std::ifstream log(m_folder / file);
        std::deque<std::string> lines;
        for (std::string line; std::getline(log, line);) {
            lines.push_back(line);
            if (lines.size() > printed_log_lines) {
                lines.pop_front();
            }
        }
        fmt::print("{}:\n  {}\n", file, fmt::join(lines, "\n  "));
    }
}

bool process_cluster::start()
{
    m_is_ending = true;
    if (m_reports.joinable()) {
        m_reports.join();
    }
    m_is_ending = false;
    m_entry.reset();
    m_control.reset();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
    std::string folder = (std::filesystem::temp_directory_path() / "misbehaving-callers-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
        return false;
    }
    m_folder = folder;
    write_settings();
    const std::string programs = HICKORYMOUNT_PROGRAM_FOLDER;
    m_control = std::make_unique<child_process>(programs + "/hickorymount-controld", folder + "/control.toml",
                                                folder + "/control.log");
    m_entry = std::make_unique<child_process>(programs + "/hickorymount-entryd", folder + "/entry.toml",
                                              folder + "/entry.log");
    const time_point end = millisecond_clock::now() + start_time;
    bool is_configured = false;
    while (!is_configured && millisecond_clock::now() < end) {
        std::this_thread::sleep_for(pause);
        if (!control_usage().is_running || !entry_usage().is_running) {
            return false;
        }
        is_configured = platform::send_configuration(loopback(operator_port), 1, {make_route()}, {},
                                                     connections, call_timeout);
    }
    m_reports = std::thread([this] { report_server(); });
    return is_configured && is_statement_answered(session_port, end - millisecond_clock::now());
}

void process_cluster::write_settings()
{
    const auto ports = free_ports(5);
    session_port = ports[0];
    relay_port = ports[1];
    http_port = ports[2];
    operator_port = ports[3];
    link_port = ports[4];
    const std::string hosts = fmt::format(R"([{{name = "control-1", address = "127.0.0.1:{}"}}])", link_port);
    std::ofstream(m_folder / "control.toml")
        << fmt::format(R"(name = "control-1"
link = "127.0.0.1:{}"
operators = "127.0.0.1:{}"
data_folder = "{}"
control_hosts = {}
founds = true
report_interval_ms = {}
{})",
                       link_port, operator_port, (m_folder / "data").string(), hosts, report_interval.count(),
                       control_limits);
    std::ofstream(m_folder / "entry.toml")
        << fmt::format(R"(name = "entry-1"
availability_zone = "near"
callers = "127.0.0.1:{}"
sessions = "127.0.0.1:{}"
relay = "127.0.0.1:{}"
control_hosts = {}
caller_connections = 1
{})",
                       http_port, session_port, relay_port, hosts, entry_limits);
}

void process_cluster::report_server()
{
    protocol::server_report report;
    report.name.value = server_name;
    report.group.value = group;
    report.zone.value = "near";
    report.address = loopback(m_server.port());
    report.started_at = unix_now();
    report.role = protocol::server_role::primary;
    while (!m_is_ending) {
        ++report.sequence;
        platform::send_server_report(loopback(operator_port), report, call_timeout);
        std::this_thread::sleep_for(report_interval / 2);
    }
}

bool is_statement_answered(std::uint16_t port, milliseconds time)
{
    const time_point end = millisecond_clock::now() + time;
    while (millisecond_clock::now() < end) {
        raw_client client(port);
        const std::string opening = fmt::format("START {} key\r\n", test_database);
        if (!exchange(client, opening, "READY", attempt_timeout).empty() &&
            !exchange(client, "QUERY one READ 1\r\n", "DONE", attempt_timeout).empty()) {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

bool is_request_answered(std::uint16_t port, const std::string& path, milliseconds time)
{
    const time_point end = millisecond_clock::now() + time;
    while (millisecond_clock::now() < end) {
        const http::call_result call = http::call_once("127.0.0.1", port, "GET", path, "", attempt_timeout);
        if (call.status == http::call_status::answered && call.answer.status < 500) {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

} // namespace hickorymount::soak

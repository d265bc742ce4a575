#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

/// A small deployment on loopback: the project's programs as processes, and stand-ins for the platform, the
/// operator, the instances and the clients.
namespace stand_ins {

/// Milliseconds since the start of this program.
std::int64_t now_ms();
void sleep_ms(std::int64_t duration_ms);

/// Writes one line for each event, with its time, to a file.
class event_record
{
public:
    explicit event_record(const std::string& path);
    ~event_record();
    event_record(const event_record&) = delete;
    event_record& operator=(const event_record&) = delete;

    void write(const std::string& text);

private:
    std::mutex m_mutex;
    int m_file = -1;
};

struct address
{
    std::string ip;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const { return ip + ":" + std::to_string(port); }
};

/// A process that this program started.
class child_process
{
public:
    child_process(const std::vector<std::string>& command, const std::string& log_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void send_signal(int number);
    /// Waits until the process has ended. Returns how, such as "exit 0" or "signal 6"; nothing if it runs on.
    std::optional<std::string> wait(std::int64_t timeout_ms);

private:
    pid_t m_pid = -1;
    std::optional<std::string> m_end;
};

/// A TCP socket with a buffer of received bytes.
class tcp_stream
{
public:
    tcp_stream() = default;
    explicit tcp_stream(int descriptor) : m_descriptor(descriptor) {}
    ~tcp_stream();
    tcp_stream(tcp_stream&& other) noexcept;
    tcp_stream& operator=(tcp_stream&& other) noexcept;

    /// Opens a connection. A `receive_buffer` above 0 limits the bytes that the system holds for the reader.
    static std::optional<tcp_stream> connect(const address& to, std::int64_t timeout_ms,
                                             int receive_buffer = 0);

    bool send(const std::string& bytes, std::int64_t timeout_ms = 10'000);
    /// Returns a line without its CR LF; nothing after the timeout or at the end of the connection.
    std::optional<std::string> read_line(std::int64_t timeout_ms);
    /// Returns what has arrived, or arrives within the time.
    std::string read_bytes(std::int64_t timeout_ms);
    /// Reads until the peer closes.
    std::string read_all(std::int64_t timeout_ms);
    [[nodiscard]] bool is_closed() const { return m_is_closed; }
    [[nodiscard]] int descriptor() const { return m_descriptor; }
    void close();
    /// Closes with a reset.
    void reset();

private:
    bool receive(std::int64_t until_ms);

    int m_descriptor = -1;
    std::string m_received;
    std::size_t m_searched = 0;
    bool m_is_closed = false;
};

/// Accepts connections and serves each on a thread.
class tcp_server
{
public:
    using handler = std::function<void(tcp_stream&)>;

    tcp_server(const address& at, handler on_connection);
    ~tcp_server();
    tcp_server(const tcp_server&) = delete;
    tcp_server& operator=(const tcp_server&) = delete;

    void stop();

private:
    int m_descriptor = -1;
    handler m_on_connection;
    std::atomic<bool> m_is_stopping{false};
    std::thread m_thread;
    std::mutex m_mutex;
    std::vector<std::thread> m_workers;
};

struct http_answer
{
    int status = 0;
    std::string location;
    std::string body;
};

std::optional<http_answer> call_http(const address& to, const std::string& method, const std::string& path,
                                     const std::string& body, std::int64_t timeout_ms);

/// Forwards connections to a target. While it is cut, it forwards nothing and accepts nothing.
class link_proxy
{
public:
    link_proxy(const address& at, const address& target);
    ~link_proxy();
    link_proxy(const link_proxy&) = delete;
    link_proxy& operator=(const link_proxy&) = delete;

    /// Holds back all bytes, without closing a connection.
    void cut();
    /// Forwards again. The connections that were cut are reset.
    void heal();

private:
    void forward(tcp_stream& near);

    address m_target;
    std::atomic<bool> m_is_cut{false};
    std::atomic<int> m_heals{0};
    std::atomic<bool> m_is_stopping{false};
    std::unique_ptr<tcp_server> m_server;
};

/// A statement that an instance has run.
struct executed_statement
{
    std::int64_t at_ms = 0;
    std::string service;
    std::string instance;
    std::string id;
    std::string text;
    bool is_in_transaction = false;
};

/// A service of one primary and two replicas, which share a log: each replica has every commit at once.
class database_service
{
public:
    struct options
    {
        std::string name;
        std::string zone;
        std::vector<address> addresses;
        std::int64_t work_ms = 6;
    };

    database_service(options service_options, event_record& record);
    ~database_service();
    database_service(const database_service&) = delete;
    database_service& operator=(const database_service&) = delete;

    [[nodiscard]] const std::string& name() const { return m_options.name; }
    /// Reports all instances to the nodes that serve `control`, each every 1.2 s.
    void start_reporting(const std::vector<address>& control);
    void stop();
    /// The rows of a read; without it, a read returns one row with the item's value.
    std::function<std::vector<std::string>(const std::string& item)> rows_of;
    /// Work of a statement in milliseconds; without it, `options::work_ms`.
    std::function<std::int64_t(const std::string& text)> work_of;

    /// Whether the `BEGIN` of this number on its connection, from 1, fails. Before the refusal, the
    /// connection gets the answer to the `BEGIN` before it once more.
    std::function<bool(int number)> fails_begin;

    [[nodiscard]] std::vector<executed_statement> executed() const;
    /// The items that were committed.
    [[nodiscard]] std::map<std::string, std::string> items() const;

private:
    struct client_state
    {
        int begin_count = 0;
        std::string begin_answer;
        bool is_in_transaction = false;
        bool is_failed = false;
        bool is_read_only = false;
        std::vector<std::pair<std::string, std::string>> writes;
        std::map<std::string, std::string> shapes;
    };

    void serve(std::size_t index, tcp_stream& client);
    std::string answer(std::size_t index, client_state& state, const std::string& id, std::string text);
    std::string run(std::size_t index, client_state& state, const std::string& id, const std::string& text);
    std::string ready(const client_state& state) const;
    void note(std::size_t index, const client_state& state, const std::string& id, const std::string& text);
    std::string signature(std::size_t index);
    [[nodiscard]] std::string instance_name(std::size_t index) const;
    void report_until_stopped(std::vector<address> control);

    options m_options;
    event_record& m_record;
    std::vector<std::unique_ptr<tcp_server>> m_servers;
    std::thread m_reporter;
    std::atomic<bool> m_is_stopping{false};
    std::int64_t m_born = 0;
    std::atomic<std::uint64_t> m_signatures{0};
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_items;
    std::uint64_t m_position = 1;
    std::vector<executed_statement> m_executed;
};

/// A client's session.
class client_session
{
public:
    struct reply
    {
        /// The answer has arrived as a whole, with its `READY`.
        bool is_complete = false;
        /// `DONE`, or the code after `ERR`.
        std::string outcome;
        std::string detail;
        std::vector<std::string> rows;
        std::string state;
    };

    /// Returns nothing if the session was not accepted in 2 s.
    static std::optional<client_session> open(const address& at, const std::string& database,
                                              const std::string& key, int receive_buffer = 0);
    reply query(const std::string& id, const std::string& text, std::int64_t timeout_ms = 10'000);
    /// Sends a statement without waiting for the answer.
    bool send_query(const std::string& id, const std::string& text);
    reply read_reply(std::int64_t timeout_ms);
    tcp_stream& stream() { return m_stream; }

private:
    tcp_stream m_stream;
};

/// The processes of the project with their settings, and the platform that they call.
class deployment
{
public:
    struct options
    {
        std::string programs;
        std::string folder;
        std::string zone;
        std::vector<std::string> entry_hosts;
        int memory_mb = 160;
        /// Entry hosts that reach the control hosts through proxies.
        std::vector<std::string> proxied;
    };

    deployment(options deployment_options, event_record& record);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// A free address of this run.
    address next_address();
    [[nodiscard]] const std::vector<address>& control() const { return m_operators; }
    [[nodiscard]] address sessions_of(const std::string& entry_host) const;
    [[nodiscard]] std::string log_of(const std::string& process) const;
    child_process& process(const std::string& name) { return *m_processes.at(name); }
    /// Cuts or heals the links between a proxied entry host and all control hosts.
    void cut_from_control(const std::string& entry_host);
    void heal(const std::string& entry_host);

    /// Called with the body of each `POST /promote`; returns whether the instance is running.
    std::function<bool(const std::string& instance)> on_promotion;

    void start();
    /// Starts a process that has ended again, with its settings.
    void restart(const std::string& name);
    /// The operator sends a configuration until a node acknowledges it.
    bool configure(const std::string& document, std::int64_t timeout_ms);
    /// Waits until the health check of each entry host answers 200.
    bool wait_until_ready(std::int64_t timeout_ms);
    [[nodiscard]] bool is_ready(const std::string& entry_host) const;
    void stop();

private:
    struct entry_addresses
    {
        address health;
        address sessions;
        address relay;
    };

    void write_settings();
    void start_process(const std::string& name);

    options m_options;
    event_record& m_record;
    std::string m_network;
    int m_next_host = 1;
    std::vector<address> m_links;
    std::vector<address> m_operators;
    address m_platform_address;
    std::map<std::string, entry_addresses> m_entries;
    std::map<std::string, std::vector<std::unique_ptr<link_proxy>>> m_proxies;
    std::map<std::string, std::vector<address>> m_proxy_addresses;
    std::unique_ptr<tcp_server> m_platform;
    std::map<std::string, std::unique_ptr<child_process>> m_processes;
};

/// A route of a configuration, as the operator writes it.
struct route
{
    std::string database;
    std::string service;
    std::string kind;
    int timeout_ms = 2000;
};

struct tenant
{
    std::string name;
    std::string key;
};

/// The operator's document.
std::string make_configuration(std::uint64_t version, const std::vector<route>& routes,
                               const std::vector<std::string>& services, const std::vector<tenant>& tenants,
                               int max_connections);

/// Folder of a case's files that are removed at the end.
std::string make_temporary_folder();
void remove_folder(const std::string& path);

/// False with `TROUBLE=0` in the environment: the case runs without its disruption.
bool has_trouble();

} // namespace stand_ins

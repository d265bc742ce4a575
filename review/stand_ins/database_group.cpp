// Stand-in for one database service, the platform and some clients, for the scripts under review/.
//
// It plays three servers of one service (sessions over TCP, replication, one acknowledging replica), sends
// their heartbeats to the control hosts, answers the platform's POST /promote, and runs clients that write
// through the entry hosts. The script directs it by lines on standard input:
//
//   clients            the clients start to write
//   drain ID           the server reports that it is draining, and goes on serving
//   deaf ID on|off     the server receives nothing from the primary
//   leave ID           the server takes its leave of control and ends, as after a drain
//   replace OLD NEW    a new server starts at the address of one that has left, with its log
//   crash ID           the server's process ends; its log stays
//   restart ID         it starts again with its log
//   platform slow|fast while slow, the platform accepts no connection and its queue is full
//   finish             the clients stop, the checks are made, and the program exits
//
// Exit code: 0 all checks held, 1 a rule was broken, 2 the case could not run.

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace {

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds heartbeat_interval{1200};
constexpr milliseconds replication_lag{8};
constexpr milliseconds promotion_delay{600};
constexpr std::size_t client_count = 16;
/// Pause of a client between two writes.
constexpr milliseconds min_pause{100};
constexpr milliseconds max_pause{700};
constexpr int call_timeout_s = 1;
constexpr int client_timeout_s = 3;

struct address
{
    std::string ip;
    std::uint16_t port = 0;
};

address parse_address(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

sockaddr_in socket_address(const address& where)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(where.port);
    inet_pton(AF_INET, where.ip.c_str(), &result.sin_addr);
    return result;
}

int listen_at(const address& where, int backlog)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in target = socket_address(where);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0 ||
        ::listen(descriptor, backlog) != 0) {
        std::cerr << "cannot listen at " << where.ip << ":" << where.port << "\n";
        std::exit(2);
    }
    return descriptor;
}

void set_timeout(int descriptor, int seconds)
{
    const timeval limit{seconds, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

int connect_to(const address& where, int timeout_s)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    set_timeout(descriptor, timeout_s);
    const sockaddr_in target = socket_address(where);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

bool send_all(int descriptor, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// Reads lines, which end at CR LF only.
class line_reader
{
public:
    explicit line_reader(int descriptor) : m_descriptor(descriptor) {}

    std::optional<std::string> next()
    {
        for (;;) {
            const std::size_t end = m_bytes.find("\r\n");
            if (end != std::string::npos) {
                std::string line = m_bytes.substr(0, end);
                m_bytes.erase(0, end + 2);
                return line;
            }
            char block[4096];
            const ssize_t count = ::recv(m_descriptor, block, sizeof(block), 0);
            if (count <= 0) {
                return std::nullopt;
            }
            m_bytes.append(block, static_cast<std::size_t>(count));
        }
    }

    std::optional<std::string> take(std::size_t size)
    {
        while (m_bytes.size() < size) {
            char block[4096];
            const ssize_t count = ::recv(m_descriptor, block, sizeof(block), 0);
            if (count <= 0) {
                return std::nullopt;
            }
            m_bytes.append(block, static_cast<std::size_t>(count));
        }
        std::string taken = m_bytes.substr(0, size);
        m_bytes.erase(0, size);
        return taken;
    }

private:
    int m_descriptor;
    std::string m_bytes;
};

std::string first_word(std::string& rest)
{
    const std::size_t space = rest.find(' ');
    std::string word = rest.substr(0, space);
    rest = space == std::string::npos ? "" : rest.substr(space + 1);
    return word;
}

std::mutex record_mutex;
std::ofstream record_file;
const clock_type::time_point started_at = clock_type::now();

void record(const std::string& text)
{
    const auto at = std::chrono::duration_cast<milliseconds>(clock_type::now() - started_at).count();
    const std::lock_guard lock(record_mutex);
    record_file << at << " ms  " << text << std::endl;
}

struct commit
{
    std::uint64_t term = 0;
    std::string id;

    friend bool operator==(const commit&, const commit&) = default;
};

struct server
{
    std::string id;
    address where;
    std::string zone;
    bool is_primary = false;
    bool is_running = true;
    bool is_draining = false;
    bool is_deaf = false;
    bool is_paused = false;
    std::uint64_t term = 1;
    std::uint64_t held_term = 0;
    std::vector<commit> log;
    std::uint64_t sequence = 0;
    std::uint64_t started_at_ms = 0;
    bool must_report = true;
    int listener = -1;
    std::set<int> connections;
};

std::uint64_t unix_ms()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
}

/// The servers of the service, and what the rules say about them.
class database_group
{
public:
    database_group(std::string service, std::vector<address> control_hosts)
        : m_service(std::move(service)), m_control_hosts(std::move(control_hosts))
    {
    }

    void add(const std::string& id, const address& where, const std::string& zone, bool is_primary)
    {
        auto added = std::make_unique<server>();
        added->id = id;
        added->where = where;
        added->zone = zone;
        added->is_primary = is_primary;
        added->started_at_ms = unix_ms();
        added->log.push_back({1, "first"});
        m_servers.emplace(id, std::move(added));
    }

    void start()
    {
        for (auto& [id, each] : m_servers) {
            start_server(*each);
        }
    }

    void drain(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        m_servers.at(id)->is_draining = m_servers.at(id)->must_report = true;
        record("server " + id + " is draining; it goes on serving and receiving");
    }

    void set_deaf(const std::string& id, bool is_deaf)
    {
        const std::lock_guard lock(m_mutex);
        m_servers.at(id)->is_deaf = is_deaf;
        record("server " + id + (is_deaf ? " receives nothing" : " receives again"));
    }

    void crash(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        server& target = *m_servers.at(id);
        target.is_running = false;
        ::shutdown(target.listener, SHUT_RDWR);
        ::close(target.listener);
        for (const int each : target.connections) {
            ::shutdown(each, SHUT_RDWR);
        }
        record("server " + id + " crashes; log " + position(target));
        m_changed.notify_all();
    }

    /// The end of a planned shutdown.
    void leave(const std::string& id)
    {
        for (const address& control : m_control_hosts) {
            if (send_call(control, "DELETE", id, "")) {
                break;
            }
        }
        crash(id);
    }

    void replace(const std::string& old_id, const std::string& new_id)
    {
        const std::lock_guard lock(m_mutex);
        const server& old = *m_servers.at(old_id);
        auto added = std::make_unique<server>();
        added->id = new_id;
        added->where = old.where;
        added->zone = old.zone;
        added->term = old.term;
        added->log = old.log;
        added->started_at_ms = unix_ms();
        start_server(*m_servers.emplace(new_id, std::move(added)).first->second);
        record("server " + new_id + " starts at the address of " + old_id + "; log " +
               position(*m_servers.at(new_id)));
    }

    void restart(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        server& target = *m_servers.at(id);
        target.is_primary = target.is_primary && target.term == m_newest_term;
        target.is_paused = false;
        target.is_running = target.must_report = true;
        target.sequence = 0;
        target.started_at_ms = unix_ms();
        open(target);
        record("server " + id + " starts again as " + (target.is_primary ? "primary" : "replica") + "; log " +
               position(target));
    }

    /// Returns the status of the platform's response.
    int promote(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_servers.find(id);
        if (found == m_servers.end() || !found->second->is_running) {
            return 409;
        }
        server& target = *found->second;
        if (target.is_primary && target.term == m_newest_term) {
            return 200;
        }
        std::thread([this, &target] {
            std::this_thread::sleep_for(promotion_delay);
            finish_promotion(target);
        }).detach();
        return 200;
    }

    void acknowledge(const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        m_acknowledged.insert(id);
    }

    [[nodiscard]] bool is_data_lost() const { return m_is_data_lost; }
    [[nodiscard]] int promotions() const { return m_promotions; }

    std::size_t acknowledged_count()
    {
        const std::lock_guard lock(m_mutex);
        return m_acknowledged.size();
    }

private:
    void start_server(server& target)
    {
        open(target);
        std::thread([this, &target] { replicate(target); }).detach();
        std::thread([this, &target] { report(target); }).detach();
    }

    void open(server& target)
    {
        target.listener = listen_at(target.where, 64);
        std::thread([this, &target, listener = target.listener] {
            for (;;) {
                const int connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (connection < 0) {
                    return;
                }
                std::thread([this, &target, connection] { serve(target, connection); }).detach();
            }
        }).detach();
    }

    static std::string position(const server& target)
    {
        return std::to_string(target.log.back().term) + "." + std::to_string(target.log.size());
    }

    /// A signature that no other execution has.
    std::string sign(const server& target)
    {
        return "s." + target.id + "." + std::to_string(++m_last_signature);
    }

    static std::string ready(const server& target) { return "READY I " + position(target) + "\r\n"; }

    void serve(server& target, int connection)
    {
        set_timeout(connection, 120);
        {
            const std::lock_guard lock(m_mutex);
            target.connections.insert(connection);
        }
        line_reader reader(connection);
        bool is_open = false;
        for (auto line = reader.next(); line; line = reader.next()) {
            std::string rest = *line;
            const std::string word = first_word(rest);
            if (word == "START") {
                const std::string service = first_word(rest);
                first_word(rest);
                if (service != m_service || (!rest.empty() && rest != target.id)) {
                    send_all(connection, "ERR MISROUTED " + target.id + "\r\n");
                    break;
                }
                is_open = true;
                const std::lock_guard lock(m_mutex);
                send_all(connection, ready(target));
                continue;
            }
            if (word != "QUERY" || !is_open) {
                break;
            }
            const std::string id = first_word(rest);
            const std::string answer = run(target, id, rest);
            if (answer.empty() || !send_all(connection, answer)) {
                break;
            }
        }
        {
            const std::lock_guard lock(m_mutex);
            target.connections.erase(connection);
        }
        ::close(connection);
    }

    std::string run(server& target, const std::string& id, std::string text)
    {
        std::unique_lock lock(m_mutex);
        if (!target.is_running) {
            return "";
        }
        std::string rest = text;
        std::string word = first_word(rest);
        if (word == "AFTER") {
            const std::string needed = first_word(rest);
            const std::size_t dot = needed.find('.');
            const std::pair<std::uint64_t, std::uint64_t> required(std::stoull(needed.substr(0, dot)),
                                                                   std::stoull(needed.substr(dot + 1)));
            const std::pair<std::uint64_t, std::uint64_t> held(target.log.back().term, target.log.size());
            if (held < required) {
                return "ERR LAGGING " + target.id + "\r\n" + ready(target);
            }
            word = first_word(rest);
        }
        if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "DEMOTE") {
            return run_order(target, word, rest);
        }
        if (word == "READ") {
            return "ROW " + std::to_string(target.log.size()) + "\r\nDONE " + sign(target) + "\r\n" +
                   ready(target);
        }
        if (word != "WRITE") {
            return "DONE -\r\n" + ready(target);
        }
        if (!target.is_primary) {
            return "ERR READONLY " + target.id + "\r\n" + ready(target);
        }
        target.log.push_back({target.term, id});
        const std::size_t number = target.log.size();
        record("server " + target.id + " runs " + id + " as commit " + position(target));
        m_changed.wait(lock, [&] { return !target.is_running || is_received(target, number); });
        return target.is_running ? "DONE " + sign(target) + "\r\n" + ready(target) : "";
    }

    bool is_received(const server& primary, std::size_t number) const
    {
        return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& each) {
            const server& other = *each.second;
            return &other != &primary && other.is_running && other.log.size() >= number &&
                   other.log[number - 1] == primary.log[number - 1];
        });
    }

    std::string run_order(server& target, const std::string& word, const std::string& argument)
    {
        const std::uint64_t term = argument.empty() ? 0 : std::stoull(argument);
        if (word == "PAUSE" && term > m_newest_term && !target.is_primary) {
            target.is_paused = true;
            target.held_term = term;
        } else if (word == "RESUME") {
            target.is_paused = false;
        } else if (word == "DEMOTE" && target.is_primary && target.term < term) {
            target.is_primary = false;
            target.must_report = true;
        }
        if (word != "STATUS") {
            record("server " + target.id + " is sent " + word + " " + argument + "; log " + position(target));
        }
        return std::string("ROW ") + (target.is_primary ? "primary " : "replica ") +
               std::to_string(target.term) + " " + position(target) + " " + std::to_string(target.held_term) +
               " 0 0 " + std::to_string(target.connections.size()) + "\r\nDONE -\r\n" + ready(target);
    }

    void replicate(server& replica)
    {
        for (;;) {
            std::this_thread::sleep_for(replication_lag);
            const std::lock_guard lock(m_mutex);
            const server* primary = nullptr;
            for (const auto& [id, each] : m_servers) {
                if (each->is_primary && each->is_running && each->term == m_newest_term) {
                    primary = each.get();
                }
            }
            const bool receives = primary != nullptr && primary != &replica && replica.is_running &&
                                  !replica.is_deaf && !replica.is_paused;
            if (receives && replica.log != primary->log) {
                replica.log = primary->log;
                replica.term = primary->term;
                replica.must_report = replica.must_report || replica.is_primary;
                replica.is_primary = false;
                m_changed.notify_all();
            }
        }
    }

    void finish_promotion(server& target)
    {
        const std::lock_guard lock(m_mutex);
        if (!target.is_running) {
            return;
        }
        ++m_promotions;
        target.term = ++m_newest_term;
        target.is_primary = target.must_report = true;
        target.is_paused = false;
        std::size_t lost = 0;
        std::string first_lost;
        for (const std::string& id : m_acknowledged) {
            const bool is_held = std::any_of(target.log.begin(), target.log.end(),
                                             [&](const commit& each) { return each.id == id; });
            if (!is_held) {
                ++lost;
                first_lost = first_lost.empty() ? id : first_lost;
            }
        }
        record("server " + target.id + " leads term " + std::to_string(target.term) + " with log " +
               position(target) + "; acknowledged commits that it lacks: " + std::to_string(lost));
        if (lost > 0) {
            m_is_data_lost = true;
            record("BROKEN LOST: acknowledged commit " + first_lost + " and " + std::to_string(lost - 1) +
                   " more aren't in the log of the promoted " + target.id);
            for (const auto& [id, each] : m_servers) {
                record("  " + id + (each->is_running ? " runs" : " is down") +
                       (each->is_draining ? ", draining" : "") + ", log " + position(*each));
            }
        }
    }

    void report(server& target)
    {
        std::size_t control = 0;
        auto due = clock_type::now();
        for (;;) {
            std::this_thread::sleep_for(milliseconds{20});
            std::string body;
            {
                const std::lock_guard lock(m_mutex);
                if (!target.is_running || (!target.must_report && clock_type::now() < due)) {
                    continue;
                }
                target.must_report = false;
                std::ostringstream text;
                text << R"({"service":")" << m_service << R"(","address":")" << target.where.ip << ":"
                     << target.where.port << R"(","zone":")" << target.zone
                     << R"(","version":"v1","slots":3,"state":")"
                     << (target.is_draining ? "draining" : "ready") << R"(","coldRemainingMs":0,"dbRole":")"
                     << (target.is_primary ? "primary" : "replica") << R"(","sequence":)" << ++target.sequence
                     << R"(,"born":)" << target.started_at_ms << "}";
                body = text.str();
            }
            due = clock_type::now() + heartbeat_interval;
            bool is_acknowledged = false;
            for (std::size_t tries = 0; tries < m_control_hosts.size() && !is_acknowledged; ++tries) {
                is_acknowledged = send_call(m_control_hosts[control], "PUT", target.id, body);
                control = is_acknowledged ? control : (control + 1) % m_control_hosts.size();
            }
        }
    }

    static bool send_call(const address& control, const std::string& method, const std::string& id,
                          const std::string& body)
    {
        const int descriptor = connect_to(control, call_timeout_s);
        if (descriptor < 0) {
            return false;
        }
        std::ostringstream text;
        text << method << " /-/instances/" << id << " HTTP/1.1\r\nHost: " << control.ip << ":" << control.port
             << "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " << body.size()
             << "\r\n\r\n"
             << body;
        line_reader reader(descriptor);
        const bool is_sent = send_all(descriptor, text.str());
        const auto status = is_sent ? reader.next() : std::nullopt;
        ::close(descriptor);
        return status && status->find(" 200 ") != std::string::npos;
    }

    std::string m_service;
    std::vector<address> m_control_hosts;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::unique_ptr<server>> m_servers;
    std::uint64_t m_newest_term = 1;
    std::uint64_t m_last_signature = 0;
    std::set<std::string> m_acknowledged;
    std::atomic<bool> m_is_data_lost{false};
    std::atomic<int> m_promotions{0};
};

/// The platform's address for promotions.
class platform
{
public:
    platform(database_group& group, const address& where) : m_group(group), m_where(where)
    {
        m_listener = listen_at(where, 0);
        std::thread([this] { accept_calls(); }).detach();
    }

    /// While slow, nothing is accepted, and the queue of new connections is full.
    void set_slow(bool is_slow)
    {
        m_is_slow = is_slow;
        record(is_slow ? "the platform is slow: its queue of new connections is full"
                       : "the platform accepts connections again");
        if (!is_slow) {
            for (const int each : m_fillers) {
                ::close(each);
            }
            m_fillers.clear();
            return;
        }
        std::this_thread::sleep_for(milliseconds{50});
        const sockaddr_in target = socket_address(m_where);
        for (int count = 0; count < 4; ++count) {
            const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            ::connect(filler, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
            m_fillers.push_back(filler);
            std::this_thread::sleep_for(milliseconds{20});
        }
    }

    [[nodiscard]] bool is_fence_broken() const { return m_is_fence_broken; }

private:
    void accept_calls()
    {
        for (;;) {
            if (m_is_slow) {
                std::this_thread::sleep_for(milliseconds{10});
                continue;
            }
            pollfd waiting{m_listener, POLLIN, 0};
            if (::poll(&waiting, 1, 10) <= 0 || m_is_slow) {
                continue;
            }
            const int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection >= 0) {
                std::thread([this, connection] { answer(connection); }).detach();
            }
        }
    }

    void answer(int connection)
    {
        set_timeout(connection, 30);
        line_reader reader(connection);
        const auto request = reader.next();
        std::map<std::string, std::string> headers;
        for (auto line = reader.next(); line && !line->empty(); line = reader.next()) {
            const std::size_t colon = line->find(": ");
            if (colon != std::string::npos) {
                headers[line->substr(0, colon)] = line->substr(colon + 2);
            }
        }
        if (!request || !headers.contains("Content-Length")) {
            ::close(connection);
            return;
        }
        const auto body = reader.take(std::stoul(headers["Content-Length"]));
        if (!body || !request->starts_with("POST /promote ")) {
            ::close(connection);
            return;
        }
        const std::size_t at = body->find("\"id\":\"");
        const std::string id =
            at == std::string::npos ? "" : body->substr(at + 6, body->find('"', at + 6) - at - 6);
        check_fence(headers["Holder"], std::stoull(headers["Fence-Token"]), id);
        const int status = m_group.promote(id);
        record("platform answers the call for " + id + " with " + std::to_string(status));
        send_all(connection,
                 "HTTP/1.1 " + std::to_string(status) +
                     " Answer\r\nContent-Type: application/json\r\nContent-Length: 2\r\nConnection: "
                     "close\r\n\r\n{}");
        ::close(connection);
    }

    void check_fence(const std::string& holder, std::uint64_t token, const std::string& id)
    {
        const std::lock_guard lock(m_mutex);
        record("platform receives POST /promote id=" + id + " Holder=" + holder +
               " Fence-Token=" + std::to_string(token));
        const auto known = m_holders.find(token);
        if (token < m_newest_token || (known != m_holders.end() && known->second != holder)) {
            m_is_fence_broken = true;
            record("BROKEN ONE: Fence-Token " + std::to_string(token) + " of " + holder + " comes after " +
                   std::to_string(m_newest_token) + " of " + m_holders[m_newest_token]);
        }
        m_holders.emplace(token, holder);
        m_newest_token = std::max(m_newest_token, token);
    }

    database_group& m_group;
    address m_where;
    int m_listener = -1;
    std::atomic<bool> m_is_slow{false};
    std::vector<int> m_fillers;
    std::mutex m_mutex;
    std::map<std::uint64_t, std::string> m_holders;
    std::uint64_t m_newest_token = 0;
    std::atomic<bool> m_is_fence_broken{false};
};

/// Writes through one session at a time; an operation with an unknown outcome is not sent again.
class client
{
public:
    client(database_group& group, std::vector<address> entry_hosts, std::size_t number, std::string database)
        : m_group(group), m_entry_hosts(std::move(entry_hosts)), m_name("c" + std::to_string(number)),
          m_database(std::move(database)), m_next_entry(number),
          m_random(static_cast<std::minstd_rand::result_type>(number))
    {
    }

    void run(const std::atomic<bool>& is_stopping)
    {
        while (!is_stopping) {
            const address& entry = m_entry_hosts[m_next_entry++ % m_entry_hosts.size()];
            const int descriptor = connect_to(entry, client_timeout_s);
            if (descriptor >= 0) {
                use(descriptor, is_stopping);
                ::close(descriptor);
            }
            pause();
        }
    }

private:
    void pause()
    {
        std::uniform_int_distribution<std::int64_t> length(min_pause.count(), max_pause.count());
        std::this_thread::sleep_for(milliseconds{length(m_random)});
    }

    void use(int descriptor, const std::atomic<bool>& is_stopping)
    {
        line_reader reader(descriptor);
        if (!send_all(descriptor, "START " + m_database + " " + m_name + "\r\n")) {
            return;
        }
        const auto opened = reader.next();
        if (!opened || !opened->starts_with("READY")) {
            return;
        }
        while (!is_stopping) {
            const std::string id = m_name + "-" + std::to_string(++m_last_write);
            record("client sends " + id);
            if (!send_all(descriptor, "QUERY " + id + " WRITE item" + std::to_string(m_last_write % 7) +
                                          " data" + std::to_string(m_last_write) + "\r\n")) {
                return;
            }
            std::string outcome;
            for (auto line = reader.next();; line = reader.next()) {
                if (!line) {
                    record("client gets no answer to " + id);
                    return;
                }
                if (line->starts_with("READY")) {
                    break;
                }
                outcome = *line;
            }
            record("client gets for " + id + ": " + outcome);
            if (outcome.starts_with("DONE")) {
                m_group.acknowledge(id);
            }
            pause();
        }
        send_all(descriptor, "BYE\r\n");
    }

    database_group& m_group;
    std::vector<address> m_entry_hosts;
    std::string m_name;
    std::string m_database;
    std::size_t m_next_entry;
    std::minstd_rand m_random;
    std::uint64_t m_last_write = 0;
};

std::vector<address> parse_addresses(const std::string& text)
{
    std::vector<address> addresses;
    std::istringstream items(text);
    for (std::string item; std::getline(items, item, ',');) {
        addresses.push_back(parse_address(item));
    }
    return addresses;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 7) {
        std::cerr << "usage: database_group RECORD DATABASE SERVICE CONTROL,… ENTRY,… "
                     "PLATFORM,SERVER,SERVER,SERVER\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    record_file.open(arguments[1], std::ios::app);
    const std::vector<address> own = parse_addresses(arguments[6]);
    database_group group(arguments[3], parse_addresses(arguments[4]));
    group.add("i-1", own.at(1), "casa-a", true);
    group.add("i-2", own.at(2), "fes-a", false);
    group.add("i-3", own.at(3), "marrakech-a", false);
    platform promotions(group, own.at(0));
    group.start();
    std::atomic<bool> is_stopping{false};
    std::vector<std::thread> clients;
    for (std::string line; std::getline(std::cin, line) && line != "finish";) {
        std::istringstream words(line);
        std::string order;
        std::string id;
        std::string setting;
        words >> order >> id >> setting;
        if (order == "clients") {
            for (std::size_t number = 1; number <= client_count; ++number) {
                clients.emplace_back([&, number] {
                    client(group, parse_addresses(arguments[5]), number, arguments[2]).run(is_stopping);
                });
            }
        } else if (order == "drain") {
            group.drain(id);
        } else if (order == "deaf") {
            group.set_deaf(id, setting == "on");
        } else if (order == "leave") {
            group.leave(id);
        } else if (order == "replace") {
            group.replace(id, setting);
        } else if (order == "crash") {
            group.crash(id);
        } else if (order == "restart") {
            group.restart(id);
        } else if (order == "platform") {
            promotions.set_slow(id == "slow");
        }
    }
    is_stopping = true;
    for (std::thread& each : clients) {
        each.join();
    }
    record("acknowledged writes: " + std::to_string(group.acknowledged_count()) +
           ", promotions: " + std::to_string(group.promotions()));
    const bool is_broken = group.is_data_lost() || promotions.is_fence_broken();
    const int code = group.acknowledged_count() == 0 ? 2 : (is_broken ? 1 : 0);
    record(code == 2 ? "could not run" : (is_broken ? "broken" : "held"));
    std::_Exit(code);
}

#include "deployment.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stand_ins {

namespace {

constexpr std::int64_t report_interval_ms = 1200;
constexpr std::size_t recorded_text_bytes = 80;
/// Time from a repeated answer to the next one.
constexpr std::int64_t repeat_lead_ms = 20;
constexpr std::size_t row_bytes_read_at_once = std::size_t{64} << 10;

const auto started_at = std::chrono::steady_clock::now();

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

sockaddr_in to_socket_address(const address& at)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(at.port);
    ::inet_pton(AF_INET, at.ip.c_str(), &result.sin_addr);
    return result;
}

/// Waits until the descriptor is ready for the events; false after the time.
bool wait_for(int descriptor, short events, std::int64_t until_ms)
{
    pollfd waiting{descriptor, events, 0};
    for (;;) {
        const std::int64_t left = std::max<std::int64_t>(until_ms - now_ms(), 0);
        const int count = ::poll(&waiting, 1, static_cast<int>(left));
        if (count < 0 && errno == EINTR) {
            continue;
        }
        return count > 0;
    }
}

std::string consume_word(std::string& rest)
{
    const std::size_t blank = rest.find(' ');
    std::string word = rest.substr(0, blank);
    rest = blank == std::string::npos ? "" : rest.substr(blank + 1);
    return word;
}

std::string json_field(const std::string& body, const std::string& name)
{
    const std::string key = "\"" + name + "\":\"";
    const std::size_t at = body.find(key);
    const std::size_t begin = at + key.size();
    return at == std::string::npos ? "" : body.substr(begin, body.find('"', begin) - begin);
}

std::string shortened(const std::string& text)
{
    return text.size() <= recorded_text_bytes
               ? text
               : text.substr(0, recorded_text_bytes) + "… (" + std::to_string(text.size()) + " bytes)";
}

} // namespace

std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 started_at)
        .count();
}

void sleep_ms(std::int64_t duration_ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(duration_ms));
}

event_record::event_record(const std::string& path)
    : m_file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

event_record::~event_record()
{
    ::close(m_file);
}

void event_record::write(const std::string& text)
{
    std::ostringstream line;
    line << now_ms() << " " << text << "\n";
    const std::string bytes = line.str();
    const std::lock_guard lock(m_mutex);
    [[maybe_unused]] const ssize_t written = ::write(m_file, bytes.data(), bytes.size());
}

child_process::child_process(const std::vector<std::string>& command, const std::string& log_file)
{
    std::vector<char*> arguments;
    for (const std::string& each : command) {
        arguments.push_back(const_cast<char*>(each.c_str()));
    }
    arguments.push_back(nullptr);
    const int log = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    m_pid = ::fork();
    if (m_pid == 0) {
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    ::close(log);
}

child_process::~child_process()
{
    if (m_end || m_pid <= 0) {
        return;
    }
    ::kill(m_pid, SIGCONT);
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void child_process::send_signal(int number)
{
    if (!m_end) {
        ::kill(m_pid, number);
    }
}

std::optional<std::string> child_process::wait(std::int64_t timeout_ms)
{
    const std::int64_t until = now_ms() + timeout_ms;
    while (!m_end) {
        int status = 0;
        if (::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_end = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                        : "exit " + std::to_string(WEXITSTATUS(status));
            break;
        }
        if (now_ms() >= until) {
            break;
        }
        sleep_ms(5);
    }
    return m_end;
}

tcp_stream::~tcp_stream()
{
    close();
}

tcp_stream::tcp_stream(tcp_stream&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1)), m_received(std::move(other.m_received)),
      m_searched(other.m_searched), m_is_closed(other.m_is_closed)
{
}

tcp_stream& tcp_stream::operator=(tcp_stream&& other) noexcept
{
    close();
    m_descriptor = std::exchange(other.m_descriptor, -1);
    m_received = std::move(other.m_received);
    m_searched = other.m_searched;
    m_is_closed = other.m_is_closed;
    return *this;
}

std::optional<tcp_stream> tcp_stream::connect(const address& to, std::int64_t timeout_ms, int receive_buffer)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    tcp_stream stream(descriptor);
    if (receive_buffer > 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    }
    const int no_delay = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
    const sockaddr_in target = to_socket_address(to);
    const int started = ::connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    if (started != 0 && errno != EINPROGRESS) {
        return std::nullopt;
    }
    if (started != 0 && !wait_for(descriptor, POLLOUT, now_ms() + timeout_ms)) {
        return std::nullopt;
    }
    int error = 0;
    socklen_t length = sizeof(error);
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    return error == 0 ? std::optional(std::move(stream)) : std::nullopt;
}

bool tcp_stream::send(const std::string& bytes, std::int64_t timeout_ms)
{
    const std::int64_t until = now_ms() + timeout_ms;
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        const bool may_wait = count < 0 && (errno == EAGAIN || errno == EINTR);
        if (!may_wait || !wait_for(m_descriptor, POLLOUT, until)) {
            return false;
        }
    }
    return true;
}

bool tcp_stream::receive(std::int64_t until_ms)
{
    if (m_is_closed || !wait_for(m_descriptor, POLLIN, until_ms)) {
        return false;
    }
    std::string block(row_bytes_read_at_once, '\0');
    const ssize_t count = ::recv(m_descriptor, block.data(), block.size(), 0);
    if (count <= 0) {
        m_is_closed = count == 0 || (errno != EAGAIN && errno != EINTR);
        return !m_is_closed;
    }
    m_received.append(block, 0, static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> tcp_stream::read_line(std::int64_t timeout_ms)
{
    const std::int64_t until = now_ms() + timeout_ms;
    for (;;) {
        const std::size_t end = m_received.find("\r\n", m_searched);
        if (end != std::string::npos) {
            std::string line = m_received.substr(0, end);
            m_received.erase(0, end + 2);
            m_searched = 0;
            return line;
        }
        m_searched = m_received.empty() ? 0 : m_received.size() - 1;
        if (!receive(until)) {
            return std::nullopt;
        }
    }
}

std::string tcp_stream::read_bytes(std::int64_t timeout_ms)
{
    if (m_received.empty()) {
        receive(now_ms() + timeout_ms);
    }
    m_searched = 0;
    return std::exchange(m_received, {});
}

std::string tcp_stream::read_all(std::int64_t timeout_ms)
{
    const std::int64_t until = now_ms() + timeout_ms;
    while (receive(until)) {
    }
    return std::move(m_received);
}

void tcp_stream::close()
{
    if (m_descriptor >= 0) {
        ::close(std::exchange(m_descriptor, -1));
    }
}

void tcp_stream::reset()
{
    const linger at_once{1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close();
}

tcp_server::tcp_server(const address& at, handler on_connection) : m_on_connection(std::move(on_connection))
{
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int reuse = 1;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
    const sockaddr_in own = to_socket_address(at);
    if (::bind(m_descriptor, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) != 0 ||
        ::listen(m_descriptor, SOMAXCONN) != 0) {
        throw std::runtime_error("cannot listen on " + at.text());
    }
    m_thread = std::thread([this] {
        while (!m_is_stopping) {
            if (!wait_for(m_descriptor, POLLIN, now_ms() + 50)) {
                continue;
            }
            const int accepted = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (accepted < 0) {
                continue;
            }
            const int no_delay = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
            const std::lock_guard lock(m_mutex);
            m_workers.emplace_back([this, accepted] {
                tcp_stream stream(accepted);
                m_on_connection(stream);
            });
        }
    });
}

tcp_server::~tcp_server()
{
    stop();
}

void tcp_server::stop()
{
    if (m_is_stopping.exchange(true)) {
        return;
    }
    m_thread.join();
    for (std::thread& worker : m_workers) {
        worker.join();
    }
    ::close(m_descriptor);
}

std::optional<http_answer> call_http(const address& to, const std::string& method, const std::string& path,
                                     const std::string& body, std::int64_t timeout_ms)
{
    const std::int64_t until = now_ms() + timeout_ms;
    auto stream = tcp_stream::connect(to, timeout_ms);
    if (!stream) {
        return std::nullopt;
    }
    std::ostringstream request;
    request << method << " " << path << " HTTP/1.1\r\nHost: " << to.text() << "\r\nConnection: close\r\n";
    if (!body.empty()) {
        request << "Content-Type: application/json\r\nContent-Length: " << body.size() << "\r\n";
    }
    request << "\r\n" << body;
    if (!stream->send(request.str(), timeout_ms)) {
        return std::nullopt;
    }
    const auto status_line = stream->read_line(until - now_ms());
    if (!status_line || status_line->size() < 12) {
        return std::nullopt;
    }
    http_answer answer;
    answer.status = std::atoi(status_line->c_str() + 9);
    while (const auto header = stream->read_line(until - now_ms())) {
        if (header->empty()) {
            answer.body = stream->read_all(until - now_ms());
            return answer;
        }
        if (header->rfind("Location: ", 0) == 0) {
            answer.location = header->substr(10);
        }
    }
    return std::nullopt;
}

link_proxy::link_proxy(const address& at, const address& target) : m_target(target)
{
    m_server = std::make_unique<tcp_server>(at, [this](tcp_stream& near) { forward(near); });
}

link_proxy::~link_proxy()
{
    m_is_stopping = true;
    m_server->stop();
}

void link_proxy::cut()
{
    m_is_cut = true;
}

void link_proxy::heal()
{
    ++m_heals;
    m_is_cut = false;
}

void link_proxy::forward(tcp_stream& near)
{
    const int heals = m_heals;
    while (m_is_cut && !m_is_stopping) {
        sleep_ms(5);
    }
    if (heals != m_heals) {
        near.reset();
        return;
    }
    auto far = tcp_stream::connect(m_target, 1000);
    if (!far) {
        near.reset();
        return;
    }
    std::string block(row_bytes_read_at_once, '\0');
    while (!m_is_stopping && heals == m_heals) {
        if (m_is_cut) {
            sleep_ms(2);
            continue;
        }
        pollfd waiting[2] = {{near.descriptor(), POLLIN, 0}, {far->descriptor(), POLLIN, 0}};
        if (::poll(waiting, 2, 5) <= 0 || m_is_cut) {
            continue;
        }
        for (int side = 0; side < 2; ++side) {
            if (waiting[side].revents == 0) {
                continue;
            }
            tcp_stream& from = side == 0 ? near : *far;
            tcp_stream& to = side == 0 ? *far : near;
            const ssize_t count = ::recv(from.descriptor(), block.data(), block.size(), 0);
            if (count <= 0 && (count == 0 || errno != EAGAIN)) {
                return;
            }
            if (count > 0 && !to.send(block.substr(0, static_cast<std::size_t>(count)))) {
                return;
            }
        }
    }
    near.reset();
    far->reset();
}

database_service::database_service(options service_options, event_record& record)
    : m_options(std::move(service_options)), m_record(record), m_born(unix_ms())
{
    for (std::size_t index = 0; index < m_options.addresses.size(); ++index) {
        m_servers.push_back(std::make_unique<tcp_server>(
            m_options.addresses[index], [this, index](tcp_stream& client) { serve(index, client); }));
    }
}

database_service::~database_service()
{
    stop();
}

void database_service::stop()
{
    if (m_is_stopping.exchange(true)) {
        return;
    }
    if (m_reporter.joinable()) {
        m_reporter.join();
    }
    for (const auto& server : m_servers) {
        server->stop();
    }
}

std::string database_service::instance_name(std::size_t index) const
{
    return "i-" + m_options.name + "-" + std::to_string(index + 1);
}

void database_service::start_reporting(const std::vector<address>& control)
{
    m_reporter = std::thread([this, control] { report_until_stopped(control); });
}

void database_service::report_until_stopped(std::vector<address> control)
{
    std::uint64_t sequence = 0;
    while (!m_is_stopping) {
        ++sequence;
        for (std::size_t index = 0; index < m_options.addresses.size(); ++index) {
            std::ostringstream body;
            body << R"({"service":")" << m_options.name << R"(","address":")"
                 << m_options.addresses[index].text() << R"(","zone":")" << m_options.zone
                 << R"(","version":"v1","slots":3,"state":"ready","coldRemainingMs":0,"dbRole":")"
                 << (index == 0 ? "primary" : "replica") << R"(","sequence":)" << sequence << R"(,"born":)"
                 << m_born << "}";
            for (std::size_t attempt = 0; attempt < control.size() && !m_is_stopping; ++attempt) {
                const address& node = control[(sequence + attempt) % control.size()];
                const auto answer =
                    call_http(node, "PUT", "/-/instances/" + instance_name(index), body.str(), 1000);
                if (answer && answer->status / 100 == 2) {
                    break;
                }
            }
        }
        const std::int64_t next = now_ms() + report_interval_ms;
        while (!m_is_stopping && now_ms() < next) {
            sleep_ms(20);
        }
    }
}

std::vector<executed_statement> database_service::executed() const
{
    const std::lock_guard lock(m_mutex);
    return m_executed;
}

std::map<std::string, std::string> database_service::items() const
{
    const std::lock_guard lock(m_mutex);
    return m_items;
}

void database_service::note(std::size_t index, const client_state& state, const std::string& id,
                            const std::string& text)
{
    m_record.write("ran service=" + m_options.name + " instance=" + instance_name(index) + " id=" + id +
                   (state.is_in_transaction ? " in a transaction" : "") + " text=" + shortened(text));
    const std::lock_guard lock(m_mutex);
    m_executed.push_back(
        {now_ms(), m_options.name, instance_name(index), id, shortened(text), state.is_in_transaction});
}

std::string database_service::signature(std::size_t index)
{
    std::ostringstream text;
    text << "7." << index << "." << m_options.name << "." << std::hex << (m_born & 0xffffff) << "."
         << ++m_signatures;
    return text.str();
}

std::string database_service::ready(const client_state& state) const
{
    const std::lock_guard lock(m_mutex);
    const char* word = state.is_failed ? "E" : state.is_in_transaction ? "T" : "I";
    return std::string("READY ") + word + " 1." + std::to_string(m_position) + "\r\n";
}

void database_service::serve(std::size_t index, tcp_stream& client)
{
    client_state state;
    bool is_open = false;
    while (!m_is_stopping && !client.is_closed()) {
        const auto line = client.read_line(50);
        if (!line) {
            continue;
        }
        std::string rest = *line;
        const std::string word = consume_word(rest);
        if (word == "BYE") {
            return;
        }
        if (word == "START") {
            const std::string service = consume_word(rest);
            consume_word(rest);
            const bool is_expected =
                service == m_options.name && (rest.empty() || rest == instance_name(index));
            is_open = is_expected;
            client.send(is_expected ? ready(state) : "ERR MISROUTED " + instance_name(index) + "\r\n");
        } else if (word == "QUERY" && is_open) {
            const std::string id = consume_word(rest);
            const bool is_begin = rest.find("BEGIN") != std::string::npos;
            if (is_begin && fails_begin && fails_begin(++state.begin_count)) {
                m_record.write(instance_name(index) + " repeats its answer to an earlier BEGIN");
                client.send(state.begin_answer);
                sleep_ms(repeat_lead_ms);
                m_record.write(instance_name(index) + " answers this BEGIN with FAILED");
                client.send("ERR FAILED " + instance_name(index) + "\r\n" + ready(state));
                continue;
            }
            const std::string answered = answer(index, state, id, rest);
            state.begin_answer = is_begin ? answered : state.begin_answer;
            client.send(answered);
        } else {
            return;
        }
        if (!is_open) {
            return;
        }
    }
}

std::string database_service::answer(std::size_t index, client_state& state, const std::string& id,
                                     std::string text)
{
    if (text.rfind("AFTER ", 0) == 0) {
        // Each instance has every commit, so that no position is missing.
        consume_word(text);
        consume_word(text);
    }
    const std::string outcome = run(index, state, id, text);
    return outcome + ready(state);
}

std::string database_service::run(std::size_t index, client_state& state, const std::string& id,
                                  const std::string& text)
{
    const bool is_primary = index == 0;
    std::string rest = text;
    std::string word = consume_word(rest);
    if (word == "STATUS" || word == "PAUSE" || word == "RESUME" || word == "DEMOTE") {
        const std::lock_guard lock(m_mutex);
        return std::string("ROW ") + (is_primary ? "primary" : "replica") + " 1 1." +
               std::to_string(m_position) + " 0 0 0 0\r\nDONE -\r\n";
    }
    if (word == "SET") {
        return "DONE -\r\n";
    }
    if (word == "RESET") {
        state.shapes.clear();
        return "DONE -\r\n";
    }
    if (word == "PREPARE") {
        const std::string name = consume_word(rest);
        state.shapes[name] = rest;
        return "DONE -\r\n";
    }
    if (word == "DEALLOC") {
        state.shapes.erase(rest);
        return "DONE -\r\n";
    }
    if (word == "ROLLBACK") {
        state.is_in_transaction = state.is_failed = false;
        state.writes.clear();
        return "DONE -\r\n";
    }
    if (word == "BEGIN") {
        if (rest.empty() && !is_primary) {
            return "ERR READONLY " + instance_name(index) + "\r\n";
        }
        state.is_in_transaction = true;
        state.is_read_only = !rest.empty();
        return "DONE -\r\n";
    }
    if (word == "EXEC") {
        const auto shape = state.shapes.find(consume_word(rest));
        if (shape == state.shapes.end()) {
            return "ERR NOSTMT unknown name\r\n";
        }
        word = shape->second.rfind("READ", 0) == 0 ? "READ" : "WRITE";
    }
    const std::int64_t work = work_of ? work_of(text) : m_options.work_ms;
    sleep_ms(work);
    if (word == "READ") {
        note(index, state, id, text);
        std::vector<std::string> rows;
        if (rows_of) {
            rows = rows_of(rest);
        } else {
            const std::lock_guard lock(m_mutex);
            const auto found = m_items.find(rest);
            rows.push_back(found == m_items.end() ? "none" : found->second);
        }
        std::string answered;
        for (const std::string& row : rows) {
            answered += "ROW " + row + "\r\n";
        }
        return answered + "DONE " + signature(index) + "\r\n";
    }
    if (word == "WRITE") {
        if (!is_primary || state.is_read_only) {
            state.is_failed = state.is_in_transaction;
            return "ERR READONLY " + instance_name(index) + "\r\n";
        }
        note(index, state, id, text);
        const std::string item = consume_word(rest);
        if (state.is_in_transaction) {
            state.writes.emplace_back(item, shortened(rest));
        } else {
            const std::lock_guard lock(m_mutex);
            m_items[item] = shortened(rest);
            ++m_position;
        }
        return "DONE " + signature(index) + "\r\n";
    }
    if (word == "COMMIT") {
        note(index, state, id, text);
        const std::lock_guard lock(m_mutex);
        for (const auto& [item, data] : state.writes) {
            m_items[item] = data;
        }
        m_position += state.writes.empty() ? 0 : 1;
        state.writes.clear();
        state.is_in_transaction = state.is_failed = state.is_read_only = false;
        std::ostringstream signed_by;
        signed_by << "7.c." << m_options.name << "." << m_position << "." << ++m_signatures;
        return "DONE " + signed_by.str() + "\r\n";
    }
    return "ERR MALFORMED unknown statement\r\n";
}

std::optional<client_session> client_session::open(const address& at, const std::string& database,
                                                   const std::string& key, int receive_buffer)
{
    auto stream = tcp_stream::connect(at, 2000, receive_buffer);
    if (!stream || !stream->send("START " + database + (key.empty() ? "" : " " + key) + "\r\n")) {
        return std::nullopt;
    }
    const auto line = stream->read_line(2000);
    if (!line || line->rfind("READY", 0) != 0) {
        return std::nullopt;
    }
    client_session session;
    session.m_stream = std::move(*stream);
    return session;
}

bool client_session::send_query(const std::string& id, const std::string& text)
{
    return m_stream.send("QUERY " + id + " " + text + "\r\n");
}

client_session::reply client_session::query(const std::string& id, const std::string& text,
                                            std::int64_t timeout_ms)
{
    return send_query(id, text) ? read_reply(timeout_ms) : reply{};
}

client_session::reply client_session::read_reply(std::int64_t timeout_ms)
{
    const std::int64_t until = now_ms() + timeout_ms;
    reply received;
    while (const auto line = m_stream.read_line(std::max<std::int64_t>(until - now_ms(), 0))) {
        std::string rest = *line;
        const std::string word = consume_word(rest);
        if (word == "ROW") {
            received.rows.push_back(rest);
        } else if (word == "DONE") {
            received.outcome = word;
            received.detail = rest;
        } else if (word == "ERR") {
            received.outcome = consume_word(rest);
            received.detail = rest;
        } else if (word == "READY") {
            received.state = consume_word(rest);
            received.is_complete = true;
            return received;
        }
    }
    return received;
}

deployment::deployment(options deployment_options, event_record& record)
    : m_options(std::move(deployment_options)), m_record(record)
{
    std::random_device random;
    std::uniform_int_distribution<int> part(1, 250);
    m_network = "127." + std::to_string(part(random)) + "." + std::to_string(part(random)) + ".";
    for (int index = 0; index < 3; ++index) {
        m_links.push_back(next_address());
        m_operators.push_back({m_links.back().ip, static_cast<std::uint16_t>(m_links.back().port + 1)});
    }
    m_platform_address = next_address();
    for (const std::string& name : m_options.entry_hosts) {
        const address own = next_address();
        m_entries[name] = {{own.ip, static_cast<std::uint16_t>(own.port + 2)},
                           {own.ip, static_cast<std::uint16_t>(own.port + 3)},
                           {own.ip, static_cast<std::uint16_t>(own.port + 4)}};
    }
    for (const std::string& name : m_options.proxied) {
        for (const address& link : m_links) {
            const address at = next_address();
            m_proxy_addresses[name].push_back(at);
            m_proxies[name].push_back(std::make_unique<link_proxy>(at, link));
        }
    }
}

deployment::~deployment()
{
    stop();
}

address deployment::next_address()
{
    return {m_network + std::to_string(m_next_host++), 17440};
}

address deployment::sessions_of(const std::string& entry_host) const
{
    return m_entries.at(entry_host).sessions;
}

std::string deployment::log_of(const std::string& process) const
{
    std::ifstream stream(m_options.folder + "/" + process + ".log");
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

void deployment::cut_from_control(const std::string& entry_host)
{
    for (const auto& proxy : m_proxies.at(entry_host)) {
        proxy->cut();
    }
    m_record.write("cut " + entry_host + " from all control hosts");
}

void deployment::heal(const std::string& entry_host)
{
    for (const auto& proxy : m_proxies.at(entry_host)) {
        proxy->heal();
    }
    m_record.write("healed " + entry_host);
}

void deployment::write_settings()
{
    const auto list_of = [&](const std::vector<address>& links) {
        std::string list;
        for (std::size_t index = 0; index < links.size(); ++index) {
            list += std::string(index == 0 ? "" : ", ") + "{name = \"control-" + std::to_string(index + 1) +
                    "\", address = \"" + links[index].text() + "\"}";
        }
        return "[" + list + "]";
    };
    for (std::size_t index = 0; index < m_links.size(); ++index) {
        const std::string name = "control-" + std::to_string(index + 1);
        std::ofstream(m_options.folder + "/" + name + ".toml")
            << "name = \"" << name << "\"\nlink = \"" << m_links[index].text() << "\"\noperators = \""
            << m_operators[index].text() << "\"\ndata_folder = \"" << m_options.folder << "/" << name
            << ".data\"\ncontrol_hosts = " << list_of(m_links) << "\nfounds = true\npromotions = \""
            << m_platform_address.text() << "\"\nreport_interval_ms = 1200\nmemory_mb = 256\n"
            << "max_descriptors = 4096\n";
    }
    for (const auto& [name, own] : m_entries) {
        const auto proxied = m_proxy_addresses.find(name);
        std::ofstream(m_options.folder + "/" + name + ".toml")
            << "name = \"" << name << "\"\navailability_zone = \"" << m_options.zone << "\"\ncallers = \""
            << own.health.text() << "\"\nsessions = \"" << own.sessions.text() << "\"\nrelay = \""
            << own.relay.text() << "\"\ncontrol_hosts = "
            << list_of(proxied == m_proxy_addresses.end() ? m_links : proxied->second)
            << "\nstop_time_ms = 6000\ncaller_connections = 1\nmemory_mb = " << m_options.memory_mb
            << "\nmax_descriptors = 4300\n";
    }
}

void deployment::start()
{
    write_settings();
    m_platform = std::make_unique<tcp_server>(m_platform_address, [this](tcp_stream& caller) {
        std::size_t length = 0;
        while (const auto line = caller.read_line(2000)) {
            if (line->rfind("Content-Length: ", 0) == 0) {
                length = static_cast<std::size_t>(std::atoi(line->c_str() + 16));
            }
            if (line->empty()) {
                break;
            }
        }
        std::string body;
        while (body.size() < length) {
            const std::string received = caller.read_bytes(2000);
            if (received.empty()) {
                return;
            }
            body += received;
        }
        const std::string instance = json_field(body, "id");
        m_record.write("platform received POST /promote for " + instance);
        // Without a handler, the present primary is the only instance that a case expects to be named.
        const bool is_running = !on_promotion || on_promotion(instance);
        caller.send(std::string("HTTP/1.1 ") + (is_running ? "200 OK" : "409 Conflict") +
                    "\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
    });
    for (std::size_t index = 0; index < m_links.size(); ++index) {
        start_process("control-" + std::to_string(index + 1));
    }
    for (const std::string& name : m_options.entry_hosts) {
        start_process(name);
    }
    m_record.write("started 3 control hosts and " + std::to_string(m_options.entry_hosts.size()) +
                   " entry hosts");
}

void deployment::start_process(const std::string& name)
{
    const bool is_control = name.rfind("control-", 0) == 0;
    m_processes[name] = std::make_unique<child_process>(
        std::vector<std::string>{m_options.programs +
                                     (is_control ? "/hickorymount-controld" : "/hickorymount-entryd"),
                                 "--settings", m_options.folder + "/" + name + ".toml"},
        m_options.folder + "/" + name + ".log");
}

void deployment::restart(const std::string& name)
{
    start_process(name);
    m_record.write("started " + name + " again");
}

bool deployment::configure(const std::string& document, std::int64_t timeout_ms)
{
    const std::int64_t until = now_ms() + timeout_ms;
    for (std::size_t attempt = 0; now_ms() < until; ++attempt) {
        const auto answer =
            call_http(m_operators[attempt % m_operators.size()], "PUT", "/-/config", document, 1000);
        if (answer && answer->status == 200) {
            m_record.write("configuration acknowledged: " + shortened(document));
            return true;
        }
        if (answer && answer->status / 100 == 4) {
            m_record.write("configuration refused: " + std::to_string(answer->status) + " " + answer->body);
            return false;
        }
        sleep_ms(20);
    }
    return false;
}

bool deployment::is_ready(const std::string& entry_host) const
{
    const auto answer = call_http(m_entries.at(entry_host).health, "GET", "/health", "", 1000);
    return answer && answer->status == 200;
}

bool deployment::wait_until_ready(std::int64_t timeout_ms)
{
    const std::int64_t until = now_ms() + timeout_ms;
    for (const std::string& name : m_options.entry_hosts) {
        while (!is_ready(name)) {
            if (now_ms() >= until) {
                return false;
            }
            sleep_ms(50);
        }
    }
    return true;
}

void deployment::stop()
{
    for (auto& [name, process] : m_processes) {
        process->send_signal(SIGCONT);
        process->send_signal(SIGKILL);
    }
    for (auto& [name, process] : m_processes) {
        process->wait(5000);
    }
    m_processes.clear();
    m_proxies.clear();
    if (m_platform) {
        m_platform->stop();
    }
}

std::string make_configuration(std::uint64_t version, const std::vector<route>& routes,
                               const std::vector<std::string>& services, const std::vector<tenant>& tenants,
                               int max_connections)
{
    std::ostringstream document;
    document << R"({"version":)" << version << R"(,"routes":[)";
    for (std::size_t index = 0; index < routes.size(); ++index) {
        const route& each = routes[index];
        document << (index == 0 ? "" : ",") << R"({"name":"r-)" << each.database << R"(","host":")"
                 << each.database << R"(","pathPrefix":"/","kind":")" << each.kind << R"(","timeoutMs":)"
                 << each.timeout_ms << R"(,"targetLatencyMs":800,"priority":1,"service":")" << each.service
                 << R"(","maxAttempts":2,"maxStalenessMs":1500})";
    }
    document << R"(],"services":[)";
    for (std::size_t index = 0; index < services.size(); ++index) {
        document << (index == 0 ? "" : ",") << R"({"name":")" << services[index]
                 << R"(","healthPath":"/health","maxConnections":)" << max_connections
                 << R"(,"protocol":"h1","tls":false,"syncReplicas":1})";
    }
    document << "]";
    if (!tenants.empty()) {
        document << R"(,"tenants":[)";
        for (std::size_t index = 0; index < tenants.size(); ++index) {
            document << (index == 0 ? "" : ",") << R"({"name":")" << tenants[index].name
                     << R"(","apiKeys":[")" << tenants[index].key << R"("]})";
        }
        document << "]";
    }
    document << R"(,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)"
             << R"("idleTimeoutMs":15000,"txIdleMs":3000}})";
    return document.str();
}

std::string make_temporary_folder()
{
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return ::mkdtemp(path.data()) == nullptr ? "" : path;
}

void remove_folder(const std::string& path)
{
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
}

bool has_trouble()
{
    const char* set = std::getenv("TROUBLE");
    return set == nullptr || std::strcmp(set, "0") != 0;
}

} // namespace stand_ins

#include "replicated_service.h"

#include <algorithm>
#include <chrono>
#include <sstream>

namespace stand_ins {

namespace {

constexpr std::int64_t report_interval_ms = 1200;
constexpr std::size_t recorded_text_bytes = 80;

std::string consume_word(std::string& rest)
{
    const std::size_t blank = rest.find(' ');
    std::string word = rest.substr(0, blank);
    rest = blank == std::string::npos ? "" : rest.substr(blank + 1);
    return word;
}

} // namespace

replicated_service::replicated_service(options service_options, event_record& record)
    : m_options(std::move(service_options)), m_record(record),
      m_born(std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count())
{
    m_instances[0].is_primary = true;
    for (std::size_t index = 0; index < instance_count; ++index) {
        m_servers.push_back(std::make_unique<tcp_server>(
            m_options.addresses[index], [this, index](tcp_stream& client) { serve(index, client); }));
    }
}

replicated_service::~replicated_service()
{
    stop();
}

void replicated_service::stop()
{
    if (m_is_stopping.exchange(true)) {
        return;
    }
    for (std::thread& each : m_threads) {
        each.join();
    }
    for (const auto& server : m_servers) {
        server->stop();
    }
}

std::string replicated_service::instance_name(std::size_t index) const
{
    return "i-" + m_options.name + "-" + std::to_string(index + 1);
}

std::string replicated_service::position_of(std::size_t index) const
{
    return std::to_string(m_instances[index].term) + "." + std::to_string(m_instances[index].received);
}

std::string replicated_service::status_of(std::size_t index) const
{
    const instance& own = m_instances[index];
    return std::string(own.is_primary ? "primary " : "replica ") + std::to_string(own.term) + " " +
           position_of(index) + " 0 0 0 0";
}

bool replicated_service::has_path(std::size_t from, std::size_t to) const
{
    return !m_is_cut || (from != 0 && to != 0);
}

bool replicated_service::promote(const std::string& instance)
{
    for (std::size_t index = 0; index < instance_count; ++index) {
        if (instance_name(index) != instance) {
            continue;
        }
        m_record.write("promotion of " + instance + " accepted");
        const std::lock_guard lock(m_mutex);
        m_threads.emplace_back([this, index] {
            sleep_ms(m_options.promotion_ms);
            const std::lock_guard guard(m_mutex);
            if (m_leader == index) {
                return;
            }
            const std::uint64_t term = m_instances[m_leader].term + 1;
            m_leader = index;
            for (std::size_t each = 0; each < instance_count; ++each) {
                instance_state_after_promotion(each, index, term);
            }
            m_reports_at_once = true;
            m_record.write("leads: " + instance_name(index) + " " + position_of(index));
        });
        return true;
    }
    return false;
}

/// The new primary leads with what it has; the others that it can reach follow it.
void replicated_service::instance_state_after_promotion(std::size_t index, std::size_t leader,
                                                        std::uint64_t term)
{
    instance& own = m_instances[index];
    if (index == leader || has_path(index, leader)) {
        own.is_primary = index == leader;
        own.is_paused = false;
        own.term = term;
        own.received = m_instances[leader].received;
    }
}

void replicated_service::cut_first_from_replicas()
{
    const std::lock_guard lock(m_mutex);
    m_is_cut = true;
    m_record.write("cut " + instance_name(0) + " from the other instances");
}

void replicated_service::heal()
{
    const std::lock_guard lock(m_mutex);
    m_is_cut = false;
    m_record.write("healed");
}

std::size_t replicated_service::leader() const
{
    const std::lock_guard lock(m_mutex);
    return m_leader;
}

void replicated_service::start_leaving(std::size_t index)
{
    const std::lock_guard lock(m_mutex);
    m_instances[index].is_leaving = true;
    m_reports_at_once = true;
    m_record.write(instance_name(index) + " leaves");
}

std::optional<std::int64_t> replicated_service::leaving_acknowledged_at(std::size_t index) const
{
    const std::lock_guard lock(m_mutex);
    return m_instances[index].leaving_acknowledged_at;
}

std::vector<executed_statement> replicated_service::executed() const
{
    const std::lock_guard lock(m_mutex);
    return m_executed;
}

void replicated_service::start_reporting(const std::vector<address>& control)
{
    m_threads.emplace_back([this, control] {
        while (!m_is_stopping) {
            m_reports_at_once = false;
            for (std::size_t index = 0; index < instance_count; ++index) {
                report(index, control);
            }
            const std::int64_t next = now_ms() + report_interval_ms;
            while (!m_is_stopping && !m_reports_at_once && now_ms() < next) {
                sleep_ms(5);
            }
        }
    });
}

void replicated_service::report(std::size_t index, const std::vector<address>& control)
{
    std::ostringstream body;
    bool is_leaving = false;
    std::uint64_t sequence = 0;
    {
        const std::lock_guard lock(m_mutex);
        instance& own = m_instances[index];
        is_leaving = own.is_leaving;
        sequence = ++own.sequence;
        body << R"({"service":")" << m_options.name << R"(","address":")" << m_options.addresses[index].text()
             << R"(","zone":")" << m_options.zone << R"(","version":"v1","slots":3,"state":")"
             << (is_leaving ? "draining" : "ready") << R"(","coldRemainingMs":0,"dbRole":")"
             << (own.is_primary ? "primary" : "replica") << R"(","sequence":)" << sequence << R"(,"born":)"
             << m_born << "}";
    }
    for (std::size_t attempt = 0; attempt < control.size() && !m_is_stopping; ++attempt) {
        const auto answer = call_http(control[(sequence + attempt) % control.size()], "PUT",
                                      "/-/instances/" + instance_name(index), body.str(), 1000);
        if (!answer || answer->status / 100 != 2) {
            continue;
        }
        const std::lock_guard lock(m_mutex);
        if (is_leaving && !m_instances[index].leaving_acknowledged_at) {
            m_instances[index].leaving_acknowledged_at = now_ms();
            m_record.write("acknowledged that " + instance_name(index) + " leaves");
        }
        return;
    }
}

void replicated_service::serve(std::size_t index, tcp_stream& client)
{
    bool is_open = false;
    bool is_in_transaction = false;
    while (!m_is_stopping && !client.is_closed()) {
        const auto line = client.read_line(50);
        if (!line) {
            continue;
        }
        std::string rest = *line;
        const std::string word = consume_word(rest);
        std::string answer;
        if (word == "START") {
            const std::string service = consume_word(rest);
            consume_word(rest);
            is_open = service == m_options.name && (rest.empty() || rest == instance_name(index));
            answer = is_open ? "" : "ERR MISROUTED " + instance_name(index) + "\r\n";
        } else if (word == "QUERY" && is_open) {
            const std::string id = consume_word(rest);
            answer = run(index, is_in_transaction, id, rest);
            if (answer.empty()) {
                return;
            }
        } else {
            return;
        }
        if (is_open) {
            const std::lock_guard lock(m_mutex);
            answer += std::string("READY ") + (is_in_transaction ? "T " : "I ") + position_of(index) + "\r\n";
        }
        client.send(answer);
        if (!is_open) {
            return;
        }
    }
}

bool replicated_service::commit(std::size_t index)
{
    std::uint64_t position = 0;
    {
        const std::lock_guard lock(m_mutex);
        position = ++m_instances[index].received;
    }
    while (!m_is_stopping) {
        {
            const std::lock_guard lock(m_mutex);
            bool is_received = false;
            for (std::size_t other = 0; other < instance_count; ++other) {
                instance& replica = m_instances[other];
                const bool receives = other != index && !replica.is_primary && !replica.is_paused &&
                                      has_path(index, other) && replica.term == m_instances[index].term;
                if (receives) {
                    replica.received = std::max(replica.received, position);
                    is_received = true;
                }
            }
            if (is_received) {
                return true;
            }
        }
        sleep_ms(2);
    }
    return false;
}

std::string replicated_service::run(std::size_t index, bool& is_in_transaction, const std::string& id,
                                    const std::string& text)
{
    std::string rest = text;
    std::string word = consume_word(rest);
    if (word == "AFTER") {
        const std::string needed = consume_word(rest);
        word = consume_word(rest);
        const std::lock_guard lock(m_mutex);
        const std::uint64_t term = std::stoull(needed);
        const std::uint64_t number = std::stoull(needed.substr(needed.find('.') + 1));
        const instance& own = m_instances[index];
        if (own.term < term || (own.term == term && own.received < number)) {
            return "ERR LAGGING " + instance_name(index) + "\r\n";
        }
    }
    const std::string own_answer = "DONE -\r\n";
    if (word == "PAUSE" || word == "RESUME" || word == "DEMOTE" || word == "STATUS") {
        const std::lock_guard lock(m_mutex);
        instance& own = m_instances[index];
        if (word == "PAUSE" && !own.is_primary && std::stoull(rest) > own.term) {
            own.is_paused = true;
        } else if (word == "RESUME") {
            own.is_paused = false;
        } else if (word == "DEMOTE" && own.is_primary && own.term < std::stoull(rest)) {
            own.is_primary = false;
            own.term = m_instances[m_leader].term;
            own.received = m_instances[m_leader].received;
            m_reports_at_once = true;
        }
        return "ROW " + status_of(index) + "\r\n" + own_answer;
    }
    if (word == "ROLLBACK") {
        is_in_transaction = false;
    }
    if (word == "BEGIN") {
        is_in_transaction = true;
    }
    if (word != "READ" && word != "WRITE" && word != "COMMIT") {
        return own_answer;
    }
    bool is_primary = false;
    std::string signature;
    {
        const std::lock_guard lock(m_mutex);
        is_primary = m_instances[index].is_primary;
        signature = "DONE 7." + std::to_string(index) + "." + std::to_string(++m_signatures) + "\r\n";
    }
    if (word == "WRITE" && !is_primary) {
        return "ERR READONLY " + instance_name(index) + "\r\n";
    }
    {
        const std::lock_guard lock(m_mutex);
        m_executed.push_back(
            {now_ms(), m_options.name, instance_name(index), id, text.substr(0, recorded_text_bytes)});
    }
    sleep_ms(m_options.work_ms);
    if (word == "COMMIT") {
        is_in_transaction = false;
    }
    if (word == "WRITE" && !commit(index)) {
        return "";
    }
    return (word == "READ" ? "ROW none\r\n" : "") + signature;
}

} // namespace stand_ins

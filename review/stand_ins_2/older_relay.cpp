// A database moves to another service by two versions. One entry host, which runs statements for others, is
// cut off from control meanwhile. The check is that no entry host runs a write at the old service after the
// new one has run a write from it.

#include "deployment.h"

#include <cstdio>
#include <exception>
#include <fstream>

using namespace stand_ins;

namespace {

constexpr int max_connections = 22;
constexpr int clients_of_each_host = 6;
/// `downgradeSlackMs`.
constexpr std::int64_t downgrade_slack_ms = 250;
/// The cut ends before the lease of the host that is cut off.
constexpr std::int64_t cut_ms = 1500;
constexpr std::int64_t observed_ms = 3000;

enum exit_code
{
    rule_held = 0,
    rule_broken = 1,
    not_run = 2
};

struct sent_write
{
    std::string entry_host;
    std::int64_t sent_at_ms = 0;
    std::string outcome;
};

class older_relay_case
{
public:
    older_relay_case(const std::string& programs, const std::string& folder)
        : m_record("record.txt"), m_deployment({.programs = programs,
                                                .folder = folder,
                                                .zone = "casa-a",
                                                .entry_hosts = m_entry_hosts,
                                                .memory_mb = 160,
                                                .proxied = m_entry_hosts},
                                               m_record)
    {
        for (const std::string& name : m_services) {
            m_databases.push_back(std::make_unique<database_service>(
                database_service::options{
                    name,
                    "casa-a",
                    {m_deployment.next_address(), m_deployment.next_address(), m_deployment.next_address()},
                    6},
                m_record));
        }
    }

    int run()
    {
        m_deployment.start();
        if (!m_deployment.configure(document_of(3, "heads-1"), 20'000)) {
            return not_run;
        }
        for (const auto& each : m_databases) {
            each->start_reporting(m_deployment.control());
        }
        if (!m_deployment.wait_until_ready(20'000)) {
            return not_run;
        }
        sleep_ms(5000);
        const std::string relay = find_relay();
        if (relay.empty()) {
            m_record.write("no entry host holds the connections of both services");
            return not_run;
        }
        start_clients(relay);
        sleep_ms(2000);
        if (has_trouble()) {
            m_deployment.cut_from_control(relay);
        }
        const std::int64_t cut_at = now_ms();
        const bool is_moved = m_deployment.configure(document_of(4, ""), 3000) &&
                              m_deployment.configure(document_of(6, "heads-2"), 3000);
        while (now_ms() < cut_at + cut_ms) {
            sleep_ms(10);
        }
        if (has_trouble()) {
            m_deployment.heal(relay);
        }
        sleep_ms(observed_ms);
        m_is_done = true;
        for (std::thread& client : m_clients) {
            client.join();
        }
        const int outcome = is_moved ? judge() : not_run;
        m_deployment.stop();
        for (const auto& each : m_databases) {
            each->stop();
        }
        return outcome;
    }

private:
    std::string document_of(std::uint64_t version, const std::string& service)
    {
        std::vector<route> routes{{"stock", "heads-1", "bounded_staleness"}};
        if (!service.empty()) {
            routes.push_back({"returns", service, "primary"});
        }
        return make_configuration(version, routes, m_services, {}, max_connections);
    }

    /// An entry host that holds the connections of both services, by its log.
    std::string find_relay()
    {
        std::string found;
        for (const std::string& name : m_entry_hosts) {
            const std::string log = m_deployment.log_of(name);
            const std::size_t last = log.rfind("follow_relays");
            const std::string line =
                last == std::string::npos ? "" : log.substr(last, log.find('\n', last) - last);
            m_record.write(name + ": " + line);
            if (found.empty() && line.find("direct=2") != std::string::npos) {
                found = name;
            }
            if (line.find("direct=0") != std::string::npos) {
                m_senders.push_back(name);
            }
        }
        return m_senders.empty() ? "" : found;
    }

    void start_clients(const std::string& relay)
    {
        m_record.write("relay " + relay);
        for (const std::string& name : m_senders) {
            for (int number = 1; number <= clients_of_each_host; ++number) {
                m_clients.emplace_back([this, name, number] { write_until_done(name, number); });
            }
        }
    }

    void write_until_done(const std::string& entry_host, int number)
    {
        std::optional<client_session> session;
        for (int count = 1; !m_is_done; ++count) {
            if (!session) {
                session = client_session::open(m_deployment.sessions_of(entry_host), "returns", "");
            }
            if (!session) {
                sleep_ms(50);
                continue;
            }
            const std::string id = entry_host + "-" + std::to_string(number) + "-" + std::to_string(count);
            {
                const std::lock_guard lock(m_mutex);
                m_sent[id] = {entry_host, now_ms(), ""};
            }
            const client_session::reply reply = session->query(id, "WRITE return-" + id + " booked", 5000);
            m_record.write("answered id=" + id + " outcome=" + reply.outcome + " " + reply.detail);
            {
                const std::lock_guard lock(m_mutex);
                m_sent[id].outcome = reply.outcome;
            }
            if (!reply.is_complete || reply.outcome == "NODB") {
                session.reset();
            }
            sleep_ms(20);
        }
    }

    int judge()
    {
        std::map<std::string, std::int64_t> first_effect;
        for (const executed_statement& each : m_databases[1]->executed()) {
            const auto sent = m_sent.find(each.id);
            if (sent != m_sent.end()) {
                first_effect.emplace(sent->second.entry_host, each.at_ms);
            }
        }
        int broken = 0;
        int acknowledged = 0;
        for (const executed_statement& each : m_databases[0]->executed()) {
            const auto sent = m_sent.find(each.id);
            const auto effect =
                sent == m_sent.end() ? first_effect.end() : first_effect.find(sent->second.entry_host);
            if (effect == first_effect.end() ||
                sent->second.sent_at_ms <= effect->second + downgrade_slack_ms) {
                continue;
            }
            ++broken;
            acknowledged += sent->second.outcome == "DONE" ? 1 : 0;
            m_record.write("CONFIG broken: id=" + each.id + " sent at " +
                           std::to_string(sent->second.sent_at_ms) + " to " + sent->second.entry_host +
                           " ran at the old service " + each.service +
                           "; the new one ran a write from it at " + std::to_string(effect->second) +
                           "; answer " + sent->second.outcome);
        }
        m_record.write("writes at the old service after the new one: " + std::to_string(broken) +
                       ", of these acknowledged: " + std::to_string(acknowledged));
        return first_effect.empty() ? not_run : broken > 0 ? rule_broken : rule_held;
    }

    const std::vector<std::string> m_entry_hosts{"front-casa-a-1", "front-casa-a-2", "front-casa-a-3",
                                                 "front-casa-a-4", "front-casa-a-5"};
    const std::vector<std::string> m_services{"heads-1", "heads-2"};
    event_record m_record;
    deployment m_deployment;
    std::vector<std::unique_ptr<database_service>> m_databases;
    std::vector<std::string> m_senders;
    std::vector<std::thread> m_clients;
    std::atomic<bool> m_is_done{false};
    std::mutex m_mutex;
    std::map<std::string, sent_write> m_sent;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2) {
        return not_run;
    }
    const std::string folder = make_temporary_folder();
    int outcome = not_run;
    try {
        outcome = older_relay_case(argv[1], folder).run();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    if (std::getenv("KEEP") == nullptr) {
        remove_folder(folder);
    } else {
        std::fprintf(stderr, "%s\n", folder.c_str());
    }
    return outcome;
}

// Callers of two tenants use one entry host. One of them sends a statement of the greatest length; the check
// is that each statement runs at the service of its own database.

#include "deployment.h"

#include <cstdio>
#include <exception>
#include <fstream>

using namespace stand_ins;

namespace {

constexpr std::size_t max_message_bytes = std::size_t{1} << 20;
constexpr int max_connections = 73;
constexpr int rounds = 3;

enum exit_code
{
    rule_held = 0,
    rule_broken = 1,
    not_run = 2
};

struct caller
{
    std::string database;
    std::string service;
    std::string key;
    client_session session;
};

/// A write whose message, with the line end, has this length.
std::string write_of_length(const std::string& id, std::size_t message_bytes)
{
    const std::string head = "WRITE proof-1 ";
    const std::size_t other_bytes = ("QUERY " + id + " " + head + "\r\n").size();
    return head + std::string(message_bytes - other_bytes, 'x');
}

class foreign_database_case
{
public:
    foreign_database_case(const std::string& programs, const std::string& folder)
        : m_record("record.txt"), m_deployment({.programs = programs,
                                                .folder = folder,
                                                .zone = "central-a",
                                                .entry_hosts = m_entry_hosts,
                                                .memory_mb = 160,
                                                .proxied = {}},
                                               m_record)
    {
        for (const std::string& name : m_services) {
            m_databases.push_back(std::make_unique<database_service>(
                database_service::options{
                    name,
                    "central-a",
                    {m_deployment.next_address(), m_deployment.next_address(), m_deployment.next_address()},
                    6},
                m_record));
        }
    }

    int run()
    {
        m_deployment.start();
        const std::vector<route> routes{{"bookings", "diary-1", "primary"},
                                        {"clinics", "diary-2", "primary"}};
        const std::vector<tenant> tenants{{"joiner", "key-of-joiner"}, {"physio", "key-of-physio"}};
        if (!m_deployment.configure(make_configuration(7, routes, m_services, tenants, max_connections),
                                    20'000)) {
            return not_run;
        }
        for (const auto& each : m_databases) {
            each->start_reporting(m_deployment.control());
        }
        if (!m_deployment.wait_until_ready(20'000)) {
            return not_run;
        }
        // Both services have a primary, and the entry hosts have their connections and relays.
        sleep_ms(5000);
        bool has_served = false;
        for (const std::string& entry_host : m_entry_hosts) {
            has_served = call_through(entry_host) || has_served;
        }
        const int outcome = judge();
        m_deployment.stop();
        for (const auto& each : m_databases) {
            each->stop();
        }
        return has_served ? outcome : not_run;
    }

private:
    bool call_through(const std::string& entry_host)
    {
        const address at = m_deployment.sessions_of(entry_host);
        auto joiner = client_session::open(at, "bookings", "key-of-joiner");
        auto physio = client_session::open(at, "clinics", "key-of-physio");
        if (!joiner || !physio) {
            m_record.write("no session at " + entry_host);
            return false;
        }
        bool has_served = false;
        for (int round = 1; round <= rounds; ++round) {
            const std::string suffix = entry_host + "-" + std::to_string(round);
            has_served =
                call(*joiner, "diary-1", "joiner-a-" + suffix, "WRITE slot-1 " + suffix) || has_served;
            const std::string id = "physio-a-" + suffix;
            // Without the trouble, the message is a hundredth shorter.
            const std::size_t length = has_trouble() ? max_message_bytes : max_message_bytes / 100 * 99;
            call(*physio, "diary-2", id, write_of_length(id, length));
            call(*physio, "diary-2", "physio-b-" + suffix, "READ slot-1");
            call(*physio, "diary-2", "physio-c-" + suffix, "WRITE slot-1 of-physio-" + suffix);
            call(*joiner, "diary-1", "joiner-b-" + suffix, "READ slot-1");
        }
        return has_served;
    }

    bool call(client_session& session, const std::string& service, const std::string& id,
              const std::string& text)
    {
        m_expected_service[id] = service;
        const std::size_t message_bytes = ("QUERY " + id + " " + text + "\r\n").size();
        m_record.write("sent id=" + id + " bytes=" + std::to_string(message_bytes) +
                       " text=" + text.substr(0, 60));
        const client_session::reply reply = session.query(id, text);
        m_record.write("answered id=" + id + " complete=" + (reply.is_complete ? "yes" : "no") +
                       " outcome=" + reply.outcome + " " + reply.detail +
                       (reply.rows.empty() ? "" : " row=" + reply.rows.front()));
        return reply.outcome == "DONE";
    }

    int judge()
    {
        int broken = 0;
        int ran = 0;
        for (const auto& database : m_databases) {
            for (const executed_statement& each : database->executed()) {
                const auto expected = m_expected_service.find(each.id);
                if (expected == m_expected_service.end()) {
                    continue;
                }
                ++ran;
                if (expected->second != each.service) {
                    ++broken;
                    m_record.write("ROUTE broken: id=" + each.id + " ran at service " + each.service +
                                   ", its database has the route to " + expected->second + ": " + each.text);
                }
            }
        }
        m_record.write("statements that ran: " + std::to_string(ran) +
                       ", of these at a foreign service: " + std::to_string(broken));
        return ran == 0 ? not_run : broken > 0 ? rule_broken : rule_held;
    }

    const std::vector<std::string> m_entry_hosts{"front-central-a-1", "front-central-a-2",
                                                 "front-central-a-3", "front-central-a-4",
                                                 "front-central-a-5"};
    const std::vector<std::string> m_services{"diary-1", "diary-2"};
    event_record m_record;
    deployment m_deployment;
    std::vector<std::unique_ptr<database_service>> m_databases;
    std::map<std::string, std::string> m_expected_service;
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
        outcome = foreign_database_case(argv[1], folder).run();
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

// A new primary leaves soon after it has taken over from one that was cut off from its replicas, and one
// entry host is stopped and started meanwhile. The check is that no statement reaches the leaving instance
// later than `drainMs` after a node has acknowledged that it leaves.

#include "replicated_service.h"

#include <csignal>
#include <cstdio>
#include <exception>

using namespace stand_ins;

namespace {

constexpr int max_connections = 22;
constexpr int writers_of_each_host = 8;
constexpr int readers = 4;
constexpr std::int64_t drain_ms = 7000;
/// `contactMs`: an entry host is in touch this long after its start.
constexpr std::int64_t contact_ms = 5000;
constexpr std::int64_t observed_ms = 11'000;
/// The longest cut of the standard sites. The primary is not always replaced in that time.
constexpr std::int64_t cut_ms = 5000;
constexpr std::int64_t pause_between_cuts_ms = 3000;
constexpr int max_cuts = 6;
constexpr std::int64_t max_pause_ms = 200;

enum exit_code
{
    rule_held = 0,
    rule_broken = 1,
    not_run = 2
};

class leaving_primary_case
{
public:
    leaving_primary_case(const std::string& programs, const std::string& folder)
        : m_record("record.txt"), m_deployment({.programs = programs,
                                                .folder = folder,
                                                .zone = "casa-a",
                                                .entry_hosts = m_entry_hosts,
                                                .memory_mb = 260,
                                                .proxied = {}},
                                               m_record),
          m_service({"heads-1",
                     "casa-a",
                     {m_deployment.next_address(), m_deployment.next_address(), m_deployment.next_address()},
                     600,
                     6},
                    m_record)
    {
        m_deployment.on_promotion = [this](const std::string& instance) {
            return m_service.promote(instance);
        };
    }

    int run()
    {
        m_deployment.start();
        const std::vector<route> routes{{"returns", "heads-1", "primary", 800}};
        if (!m_deployment.configure(make_configuration(3, routes, {"heads-1"}, {}, max_connections),
                                    20'000)) {
            return not_run;
        }
        m_service.start_reporting(m_deployment.control());
        if (!m_deployment.wait_until_ready(20'000)) {
            return not_run;
        }
        sleep_ms(5000);
        for (const std::string& entry_host : m_entry_hosts) {
            for (int number = 1; number <= writers_of_each_host; ++number) {
                m_clients.emplace_back([this, entry_host, number] {
                    use_until_done(entry_host, "writer-" + std::to_string(number), "WRITE return-1 booked");
                });
            }
        }
        sleep_ms(1000);
        const int outcome = play();
        end_clients();
        m_deployment.stop();
        m_service.stop();
        return outcome;
    }

private:
    int play()
    {
        const std::string& stopped = m_entry_hosts.front();
        if (has_trouble()) {
            for (int cut = 0; cut < max_cuts && m_service.leader() == 0; ++cut) {
                sleep_ms(cut == 0 ? 0 : pause_between_cuts_ms);
                m_service.cut_first_from_replicas();
                const std::int64_t until = now_ms() + cut_ms;
                while (m_service.leader() == 0 && now_ms() < until) {
                    sleep_ms(5);
                }
                m_service.heal();
            }
            if (m_service.leader() == 0) {
                m_record.write("the primary was not replaced");
                return not_run;
            }
        }
        const std::size_t leaving = m_service.leader();
        m_deployment.process(stopped).send_signal(SIGTERM);
        m_record.write("SIGTERM to " + stopped);
        sleep_ms(300);
        m_service.start_leaving(leaving);
        const auto end = m_deployment.process(stopped).wait(6000);
        m_record.write(stopped + " ended: " + end.value_or("not in 6 s"));
        if (!end) {
            return not_run;
        }
        m_deployment.restart(stopped);
        m_in_touch_at = now_ms() + contact_ms;
        for (int number = 1; number <= readers; ++number) {
            m_clients.emplace_back([this, stopped, number] {
                use_until_done(stopped, "reader-" + std::to_string(number), "READ return-1");
            });
        }
        sleep_ms(observed_ms);
        end_clients();
        return judge(leaving, stopped);
    }

    void end_clients()
    {
        m_is_done = true;
        for (std::thread& client : m_clients) {
            client.join();
        }
        m_clients.clear();
    }

    void use_until_done(const std::string& entry_host, const std::string& client, const std::string& text)
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
            const std::string id = entry_host + "-" + client + "-" + std::to_string(count);
            {
                const std::lock_guard lock(m_mutex);
                m_sent_at[id] = now_ms();
            }
            const client_session::reply reply = session->query(id, text, 3000);
            m_record.write("answered id=" + id + " outcome=" + reply.outcome);
            if (!reply.is_complete) {
                session.reset();
            }
            sleep_ms(pause_after(id));
        }
    }

    /// Varies, so that the clients do not work in step.
    static std::int64_t pause_after(const std::string& id)
    {
        return 20 + static_cast<std::int64_t>(std::hash<std::string>{}(id) % max_pause_ms);
    }

    int judge(std::size_t leaving, const std::string& stopped)
    {
        const std::optional<std::int64_t> acknowledged_at = m_service.leaving_acknowledged_at(leaving);
        if (!acknowledged_at) {
            return not_run;
        }
        int broken = 0;
        int ran = 0;
        const std::lock_guard lock(m_mutex);
        for (const executed_statement& each : m_service.executed()) {
            const auto sent = m_sent_at.find(each.id);
            if (sent == m_sent_at.end()) {
                continue;
            }
            ++ran;
            const bool is_late =
                each.instance == m_service.instance_name(leaving) && each.at_ms > *acknowledged_at + drain_ms;
            const bool is_of_stopped = each.id.rfind(stopped + "-", 0) == 0;
            const bool is_in_touch = !is_of_stopped || sent->second >= m_in_touch_at;
            if (is_late && is_in_touch) {
                ++broken;
                m_record.write("DRAIN broken: id=" + each.id + " sent at " + std::to_string(sent->second) +
                               " reached " + each.instance + " " +
                               std::to_string(each.at_ms - *acknowledged_at) +
                               " ms after the acknowledgement");
            }
        }
        m_record.write("statements that ran: " + std::to_string(ran) +
                       ", of these too late at the leaving instance: " + std::to_string(broken));
        return ran == 0 ? not_run : broken > 0 ? rule_broken : rule_held;
    }

    const std::vector<std::string> m_entry_hosts{"front-casa-a-1", "front-casa-a-2"};
    event_record m_record;
    deployment m_deployment;
    replicated_service m_service;
    std::vector<std::thread> m_clients;
    std::atomic<bool> m_is_done{false};
    std::int64_t m_in_touch_at = 0;
    std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_sent_at;
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
        outcome = leaving_primary_case(argv[1], folder).run();
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

// An entry host serves clients that read slowly and others that send long messages piece by piece, while the
// operator takes the keys of the slow readers away. The check is that the entry host's process goes on, and
// that a client of another tenant gets a complete answer to each of its statements.

#include "deployment.h"

#include <csignal>
#include <cstdio>
#include <exception>

using namespace stand_ins;

namespace {

constexpr int max_connections = 73;
constexpr std::size_t kibibyte = 1024;
/// The slow readers leave different parts of their answers unread, since the system's buffers hold some of
/// them.
constexpr int slow_readers = 28;
constexpr std::size_t answer_step_bytes = 200 * kibibyte;
constexpr int slow_reader_buffer_bytes = 4096;
/// A quarter of the memory is the budget of the clients' bytes; long messages fill three quarters of that.
constexpr int long_messages = 48;
constexpr std::size_t message_part_bytes = 900 * kibibyte;
constexpr std::size_t row_bytes = 100 * kibibyte;
constexpr std::int64_t observed_ms = 10'000;

enum exit_code
{
    rule_held = 0,
    rule_broken = 1,
    not_run = 2
};

class leaving_reader_case
{
public:
    leaving_reader_case(const std::string& programs, const std::string& folder)
        : m_record("record.txt"), m_deployment({.programs = programs,
                                                .folder = folder,
                                                .zone = "central-a",
                                                .entry_hosts = {m_entry_host},
                                                .memory_mb = 160,
                                                .proxied = {}},
                                               m_record),
          m_database({"diary-1",
                      "central-a",
                      {m_deployment.next_address(), m_deployment.next_address(), m_deployment.next_address()},
                      6},
                     m_record)
    {
        m_database.rows_of = [](const std::string& item) {
            const std::size_t bytes = std::strtoull(item.c_str(), nullptr, 10);
            std::vector<std::string> rows(bytes / row_bytes, std::string(row_bytes, 'r'));
            rows.emplace_back(bytes % row_bytes + 1, 'r');
            return rows;
        };
        m_database.work_of = [](const std::string& text) {
            return text.find("slow") == std::string::npos ? 6 : 300;
        };
    }

    int run()
    {
        m_deployment.start();
        if (!m_deployment.configure(document_of(3, true), 20'000)) {
            return not_run;
        }
        m_database.start_reporting(m_deployment.control());
        if (!m_deployment.wait_until_ready(20'000)) {
            return not_run;
        }
        sleep_ms(4000);
        if (!open_slow_readers()) {
            return not_run;
        }
        std::thread client([this] { read_until_done(); });
        if (has_trouble()) {
            send_long_messages();
        }
        // The slow readers leave before they have read their answers.
        for (client_session& each : m_slow_readers) {
            each.stream().send("BYE\r\n", 100);
        }
        m_record.write("slow readers sent BYE");
        sleep_ms(300);
        const bool is_configured = m_deployment.configure(document_of(5, false), 3000);
        const auto end = m_deployment.process(m_entry_host).wait(observed_ms);
        m_record.write("entry host: " + end.value_or("runs"));
        m_is_done = true;
        client.join();
        m_record.write("statements without a complete answer: " + std::to_string(m_unanswered) + " of " +
                       std::to_string(m_sent));
        m_deployment.stop();
        m_database.stop();
        if (!is_configured || m_sent == 0) {
            return not_run;
        }
        return end || m_unanswered > 0 ? rule_broken : rule_held;
    }

private:
    static std::string document_of(std::uint64_t version, bool has_slow_key)
    {
        std::vector<tenant> tenants{{"joiner", "key-of-joiner"}, {"physio", "key-of-physio"}};
        if (has_slow_key) {
            tenants.push_back({"hairdresser", "key-of-hairdresser"});
        }
        return make_configuration(version, {{"bookings", "diary-1", "bounded_staleness"}}, {"diary-1"},
                                  tenants, max_connections);
    }

    bool open_slow_readers()
    {
        for (int number = 1; number <= slow_readers; ++number) {
            auto session = client_session::open(m_deployment.sessions_of(m_entry_host), "bookings",
                                                "key-of-hairdresser", slow_reader_buffer_bytes);
            if (!session) {
                m_record.write("no session for a slow reader");
                return false;
            }
            const std::size_t bytes = answer_step_bytes * static_cast<std::size_t>(number);
            session->send_query("slow-reader-" + std::to_string(number), "READ " + std::to_string(bytes));
            m_slow_readers.push_back(std::move(*session));
            sleep_ms(40);
        }
        sleep_ms(500);
        m_record.write("slow readers have asked for " + std::to_string(answer_step_bytes) + " to " +
                       std::to_string(answer_step_bytes * slow_readers) + " bytes");
        return true;
    }

    void send_long_messages()
    {
        for (int number = 1; number <= long_messages; ++number) {
            auto session =
                client_session::open(m_deployment.sessions_of(m_entry_host), "bookings", "key-of-physio");
            if (!session) {
                continue;
            }
            session->stream().send(
                "QUERY long-" + std::to_string(number) + " READ " + std::string(message_part_bytes, 'x'), 20);
            m_long_messages.push_back(std::move(*session));
        }
        m_record.write(std::to_string(m_long_messages.size()) + " clients have sent " +
                       std::to_string(message_part_bytes) + " bytes of a message, or as much as was read");
    }

    void read_until_done()
    {
        std::optional<client_session> session;
        for (int count = 1; !m_is_done; ++count) {
            if (!session) {
                session =
                    client_session::open(m_deployment.sessions_of(m_entry_host), "bookings", "key-of-joiner");
            }
            if (!session) {
                sleep_ms(100);
                continue;
            }
            const std::string id = "joiner-" + std::to_string(count);
            const client_session::reply reply = session->query(id, "READ slow", 5000);
            ++m_sent;
            m_record.write("answered id=" + id + " complete=" + (reply.is_complete ? "yes" : "no") +
                           " outcome=" + reply.outcome);
            if (!reply.is_complete) {
                ++m_unanswered;
                session.reset();
            }
        }
    }

    const std::string m_entry_host = "front-central-a-1";
    event_record m_record;
    deployment m_deployment;
    database_service m_database;
    std::vector<client_session> m_slow_readers;
    std::vector<client_session> m_long_messages;
    std::atomic<bool> m_is_done{false};
    int m_sent = 0;
    int m_unanswered = 0;
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
        outcome = leaving_reader_case(argv[1], folder).run();
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

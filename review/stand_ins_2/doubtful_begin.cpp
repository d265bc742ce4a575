// An instance that fails a part of its statements answers a `BEGIN` twice, the second time late. The check is
// that no statement of a transaction runs outside of it, and that no part of a transaction is committed.

#include "deployment.h"

#include <cstdio>
#include <exception>

using namespace stand_ins;

namespace {

constexpr int max_connections = 22;
constexpr int transactions = 40;
/// Every fifth `BEGIN` of a connection fails.
constexpr int failing_begins = 5;

enum exit_code
{
    rule_held = 0,
    rule_broken = 1,
    not_run = 2
};

class doubtful_begin_case
{
public:
    doubtful_begin_case(const std::string& programs, const std::string& folder)
        : m_record("record.txt"), m_deployment({.programs = programs,
                                                .folder = folder,
                                                .zone = "casa-a",
                                                .entry_hosts = {m_entry_host},
                                                .memory_mb = 260,
                                                .proxied = {}},
                                               m_record),
          m_database({"heads-1",
                      "casa-a",
                      {m_deployment.next_address(), m_deployment.next_address(), m_deployment.next_address()},
                      6},
                     m_record)
    {
        if (has_trouble()) {
            m_database.fails_begin = [](int number) { return number % failing_begins == 0; };
        }
    }

    int run()
    {
        m_deployment.start();
        const std::vector<route> routes{{"returns", "heads-1", "primary", 800}};
        if (!m_deployment.configure(make_configuration(3, routes, {"heads-1"}, {}, max_connections),
                                    20'000)) {
            return not_run;
        }
        m_database.start_reporting(m_deployment.control());
        if (!m_deployment.wait_until_ready(20'000)) {
            return not_run;
        }
        sleep_ms(4000);
        int committed = 0;
        std::optional<client_session> session;
        for (int number = 1; number <= transactions; ++number) {
            if (!session) {
                session = client_session::open(m_deployment.sessions_of(m_entry_host), "returns", "");
            }
            if (session && book(*session, number)) {
                ++committed;
            } else {
                session.reset();
            }
            sleep_ms(100);
        }
        const int outcome = judge();
        m_deployment.stop();
        m_database.stop();
        return committed == 0 ? not_run : outcome;
    }

private:
    /// Books a pickup and its credit in one transaction. False if it was not committed.
    bool book(client_session& session, int number)
    {
        const std::string suffix = std::to_string(number);
        const std::vector<std::string> texts{"BEGIN", "WRITE pickup-" + suffix + " booked",
                                             "WRITE credit-" + suffix + " given", "COMMIT"};
        for (std::size_t step = 0; step < texts.size(); ++step) {
            const std::string id = "booking-" + suffix + "-" + std::to_string(step + 1);
            m_record.write("sent id=" + id + " text=" + texts[step]);
            const client_session::reply reply = session.query(id, texts[step], 5000);
            m_record.write("answered id=" + id + " outcome=" + reply.outcome + " state=" + reply.state + " " +
                           reply.detail);
            if (reply.outcome != "DONE") {
                return false;
            }
        }
        return true;
    }

    int judge()
    {
        int broken = 0;
        int ran = 0;
        for (const executed_statement& each : m_database.executed()) {
            ++ran;
            if (!each.is_in_transaction) {
                ++broken;
                m_record.write("PINNED broken: id=" + each.id + " ran outside its transaction: " + each.text);
            }
        }
        const std::map<std::string, std::string> items = m_database.items();
        int halves = 0;
        for (int number = 1; number <= transactions; ++number) {
            const bool has_pickup = items.contains("pickup-" + std::to_string(number));
            const bool has_credit = items.contains("credit-" + std::to_string(number));
            if (has_pickup != has_credit) {
                ++halves;
                m_record.write("half of booking " + std::to_string(number) + " is committed");
            }
        }
        m_record.write("statements that ran: " + std::to_string(ran) +
                       ", of these outside their transaction: " + std::to_string(broken) +
                       "; bookings committed by half: " + std::to_string(halves));
        return ran == 0 ? not_run : broken > 0 ? rule_broken : rule_held;
    }

    const std::string m_entry_host = "front-casa-a-1";
    event_record m_record;
    deployment m_deployment;
    database_service m_database;
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
        outcome = doubtful_begin_case(argv[1], folder).run();
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

#include "soak/run.h"

#include "http/server.h"
#include "soak/caller.h"
#include "soak/emulated_group.h"
#include "soak/proxy.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace hickorymount::soak {

namespace {

namespace asio = boost::asio;

constexpr milliseconds announcement_interval{400};
constexpr milliseconds configuration_interval{1500};
/// The processes find one another within this time.
constexpr milliseconds settle_time{4000};
/// No fault starts this close to the end, so that what heals is seen to heal.
constexpr milliseconds calm_end{8000};
constexpr milliseconds counted_end{3000};
constexpr int shortest_gap_ms = 200;
constexpr int longest_gap_ms = 2500;
constexpr int shortest_fault_ms = 200;
constexpr int longest_fault_ms = 3000;
/// A planned stop is over, or cut short by a kill, after this.
constexpr milliseconds stop_time{6500};
/// An unplanned fault may cut requests for this long.
constexpr milliseconds fault_shadow{5000};
constexpr double lost_answer_share = 0.2;
constexpr milliseconds replica_lag{800};
constexpr milliseconds link_delay{120};

/// Everything of one run.
class soak_run
{
public:
    soak_run(const run_options& options, const sessions::wire& wire, const platform_calls& platform)
        : m_options(options), m_wire(wire), m_platform(platform), m_random(options.seed),
          m_group(m_context, wire, group_under_test, m_seen, options.seed), m_fault_timer(m_context),
          m_end_timer(m_context)
    {
        for (const proxied_port& each : options.proxies) {
            m_proxies.push_back(std::make_unique<proxy>(m_context, each.port, each.target));
        }
        m_stop_sent.resize(options.processes.size());
    }

    result<run_report> run()
    {
        BOOST_LEAF_CHECK(m_group.start());
        for (const auto& each : m_proxies) {
            BOOST_LEAF_CHECK(each->start());
        }
        http::server_options options;
        options.port = m_options.platform_port;
        BOOST_LEAF_AUTO(
            server,
            http::start_server(options, [this](const http::request& asked) { return promote(asked); }, {}));
        m_started_at = millisecond_clock::now();
        std::thread announcing([this] { announce_until_done(); });
        std::thread configuring([this] { configure_until_done(); });
        start_callers();
        plan_fault(settle_time);
        m_end_timer.expires_after(m_options.duration - counted_end);
        m_end_timer.async_wait([this](const boost::system::error_code&) { count_end(); });
        m_context.run();
        m_is_done = true;
        announcing.join();
        configuring.join();
        server->stop();
        m_seen.finish();
        return report();
    }

private:
    http::response promote(const http::request& asked)
    {
        const auto server = m_platform.promoted(asked.body);
        http::response made;
        made.status = server && m_group.promote(*server) ? 200 : 409;
        made.body = "{}";
        return made;
    }

    void announce_until_done()
    {
        std::mt19937 random(m_options.seed);
        while (!m_is_done) {
            for (const server_announcement& each : m_group.announcements()) {
                protocol::server_report report;
                report.name.value = each.name;
                report.group.value = group_under_test;
                report.zone.value = "near";
                report.address = {"127.0.0.1", each.port};
                report.role =
                    each.is_primary ? protocol::server_role::primary : protocol::server_role::replica;
                report.started_at = unix_milliseconds{each.born};
                report.sequence = each.sequence;
                for (std::size_t tries = 0; tries < m_options.control.size(); ++tries) {
                    if (m_platform.announce(m_options.control[random() % m_options.control.size()], report)) {
                        break;
                    }
                }
            }
            std::this_thread::sleep_for(announcement_interval);
        }
    }

    void configure_until_done()
    {
        std::mt19937 random(m_options.seed + 1);
        std::uint64_t version = 1;
        while (!m_is_done) {
            const auto& control = m_options.control[random() % m_options.control.size()];
            if (m_platform.configure(control, version)) {
                const time_point now = millisecond_clock::now();
                post([this, version, now] { m_seen.note_configuration_acknowledged(version, now); });
                ++version;
            }
            const auto& other = m_options.control[random() % m_options.control.size()];
            const time_point sent_at = millisecond_clock::now();
            if (const auto read = m_platform.read_version(other)) {
                post([this, read, sent_at] { m_seen.note_configuration_read(*read, sent_at); });
            }
            std::this_thread::sleep_for(version == 2 ? milliseconds{50} : configuration_interval);
        }
    }

    template <class Function>
    void post(Function what)
    {
        asio::post(m_context, std::move(what));
    }

    void start_callers()
    {
        const std::vector<caller_database> databases{
            {"ledger", configuration::read_consistency::primary, {}},
            {"catalogue", configuration::read_consistency::bounded_staleness, bounded_staleness},
            {"inspections", configuration::read_consistency::read_your_writes, own_staleness}};
        for (int number = 0; number < m_options.callers; ++number) {
            caller::surroundings around{
                m_context, m_wire, m_seen, m_counts, m_options.entry_ports, [this](std::size_t place) {
                    return is_planned_stop(place);
                }};
            m_callers.push_back(std::make_shared<caller>(
                std::move(around), number, databases[static_cast<std::size_t>(number) % databases.size()],
                m_options.seed * 1000 + static_cast<std::uint32_t>(number)));
            m_callers.back()->start();
        }
    }

    /// Entry hosts come after control hosts in the list of processes.
    [[nodiscard]] bool is_planned_stop(std::size_t entry_place) const
    {
        const auto controls = static_cast<std::size_t>(
            std::count_if(m_options.processes.begin(), m_options.processes.end(),
                          [](const process_under_test& each) { return each.is_control; }));
        const time_point now = millisecond_clock::now();
        return now - m_stop_sent[controls + entry_place] < stop_time && now >= m_shadow_until;
    }

    void plan_fault(milliseconds wait)
    {
        m_fault_timer.expires_after(wait);
        m_fault_timer.async_wait([this](const boost::system::error_code& problem) {
            const bool is_late = millisecond_clock::now() - m_started_at > m_options.duration - calm_end;
            if (problem || is_late) {
                return;
            }
            make_fault();
            plan_fault(any(shortest_gap_ms, longest_gap_ms));
        });
    }

    milliseconds any(int least, int most)
    {
        return milliseconds{std::uniform_int_distribution<int>(least, most)(m_random)};
    }

    void make_fault()
    {
        const milliseconds duration = any(shortest_fault_ms, longest_fault_ms);
        const std::size_t server = m_random() % emulated_group::server_count;
        const std::size_t process = m_random() % m_options.processes.size();
        const std::uint32_t kind = m_random() % fault_kinds;
        if (kind != planned_stop) {
            m_shadow_until = millisecond_clock::now() + duration + fault_shadow;
        }
        switch (kind) {
        case 0:
            note("primary ends", m_group.primary_place(), duration);
            m_group.crash(m_group.primary_place(), duration);
            return;
        case 1:
            note("server ends", server, duration);
            m_group.crash(server, duration);
            return;
        case 2:
            note("primary is silent", m_group.primary_place(), duration);
            m_group.silence(m_group.primary_place(), duration);
            return;
        case 3:
            note("replication is late", server, duration);
            m_group.delay_replication(server, replica_lag, duration);
            return;
        case 4:
            note("replication stops", server, duration);
            m_group.stop_replication(server, duration);
            return;
        case 5:
            note("answers are lost", server, duration);
            m_group.lose_answers(server, lost_answer_share, duration);
            return;
        case 6:
            note("kill", process, milliseconds{0});
            signal(process, SIGKILL);
            return;
        case 7:
            note("pause", process, duration);
            signal(process, SIGSTOP);
            resume_later(process, duration);
            return;
        case planned_stop:
            note("stop", process, milliseconds{0});
            m_stop_sent[process] = millisecond_clock::now();
            signal(process, SIGTERM);
            return;
        case 9:
            note("links are held", process, duration);
            for (const auto& each : m_proxies) {
                if (m_random() % 3 == 0) {
                    each->hold(m_random() % 2 == 0, m_random() % 2 == 0, duration);
                }
            }
            return;
        case 10:
            note("links are slow", process, duration);
            for (const auto& each : m_proxies) {
                each->delay(link_delay, duration);
            }
            return;
        case 11:
            note("links are reset", process, milliseconds{0});
            for (const auto& each : m_proxies) {
                each->reset();
            }
            return;
        default:
            note("all control hosts are killed", 0, milliseconds{0});
            for (std::size_t place = 0; place < m_options.processes.size(); ++place) {
                if (m_options.processes[place].is_control) {
                    signal(place, SIGKILL);
                }
            }
            return;
        }
    }

    void note(const char* what, std::size_t place, milliseconds duration)
    {
        m_report.faults.push_back(fmt::format("at_ms={} fault=\"{}\" place={} for_ms={}",
                                              (millisecond_clock::now() - m_started_at).count(), what, place,
                                              duration.count()));
    }

    /// Only processes whose ids were written by the script that started them.
    void signal(std::size_t place, int number)
    {
        std::ifstream file(m_options.processes[place].id_file);
        int id = 0;
        if (file >> id && id > 1) {
            ::kill(id, number);
        }
    }

    void resume_later(std::size_t place, milliseconds duration)
    {
        auto timer = std::make_shared<asio::steady_timer>(m_context, duration);
        timer->async_wait([this, place, timer](const boost::system::error_code&) { signal(place, SIGCONT); });
    }

    void count_end()
    {
        const std::size_t before = m_counts.answered;
        m_end_timer.expires_after(counted_end);
        m_end_timer.async_wait([this, before](const boost::system::error_code&) {
            m_report.answered_at_the_end = m_counts.answered - before;
            for (std::size_t place = 0; place < m_options.processes.size(); ++place) {
                signal(place, SIGCONT);
            }
            for (const auto& each : m_callers) {
                each->stop();
            }
            for (const auto& each : m_proxies) {
                each->stop();
            }
            m_fault_timer.cancel();
            m_group.stop();
            m_context.stop();
        });
    }

    run_report report()
    {
        m_report.violations = m_seen.violations();
        m_report.answered = m_counts.answered;
        m_report.refused = m_counts.refused;
        m_report.unknown = m_counts.unknown;
        m_report.cut = m_counts.cut;
        m_report.acknowledged_writes = m_seen.acknowledged_count();
        m_report.reads = m_seen.read_count();
        if (m_report.answered_at_the_end == 0) {
            m_report.violations.emplace_back("recover: nothing was answered after the last fault");
        }
        return std::move(m_report);
    }

    static constexpr std::uint32_t planned_stop = 8;
    static constexpr std::uint32_t fault_kinds = 13;

    const run_options& m_options;
    const sessions::wire& m_wire;
    const platform_calls& m_platform;
    std::mt19937 m_random;
    history m_seen;
    caller_counts m_counts;
    asio::io_context m_context;
    emulated_group m_group;
    asio::steady_timer m_fault_timer;
    asio::steady_timer m_end_timer;
    std::vector<std::unique_ptr<proxy>> m_proxies;
    std::vector<std::shared_ptr<caller>> m_callers;
    std::vector<time_point> m_stop_sent;
    time_point m_shadow_until{};
    time_point m_started_at{};
    std::atomic<bool> m_is_done{false};
    run_report m_report;
};

} // namespace

result<run_report> run(const run_options& options, std::unique_ptr<sessions::wire> wire,
                       const platform_calls& platform)
{
    return std::make_unique<soak_run>(options, *wire, platform)->run();
}

} // namespace hickorymount::soak

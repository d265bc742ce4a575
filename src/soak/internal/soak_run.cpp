#include "soak/soak_run.h"

#include "http/server.h"
#include "soak/caller.h"
#include "soak/emulated_group.h"
#include "soak/fault_proxy.h"

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
/// Time for the processes to connect to one another before the first fault.
constexpr milliseconds startup_time{4000};
/// No fault starts within this time of the end, so that the run also covers the recovery.
constexpr milliseconds fault_free_end{8000};
/// Statements answered within this time before the end show that the system has recovered.
constexpr milliseconds recovery_check_time{3000};
constexpr int min_fault_interval_ms = 200;
constexpr int max_fault_interval_ms = 2500;
constexpr int min_fault_ms = 200;
constexpr int max_fault_ms = 3000;
/// Time after which a planned stop has completed, or a kill has ended it.
constexpr milliseconds planned_stop_time{6500};
/// Time after an unplanned fault within which it may still interrupt requests.
constexpr milliseconds fault_effect_time{5000};
constexpr double lost_answer_share = 0.2;
constexpr milliseconds replica_lag{800};
constexpr milliseconds link_delay{120};

/// State of one run.
class soak_run
{
public:
    soak_run(const soak_options& options, const sessions::session_codec& codec,
             const platform_client& platform)
        : m_options(options), m_codec(codec), m_platform(platform), m_random(options.seed),
          m_group(m_context, codec, group_under_test, m_checker, options.seed), m_fault_timer(m_context),
          m_end_timer(m_context)
    {
        for (const proxied_port& each : options.proxies) {
            m_proxies.push_back(std::make_unique<fault_proxy>(m_context, each.port, each.target));
        }
        m_stop_sent_at.resize(options.processes.size());
    }

    result<soak_report> run()
    {
        BOOST_LEAF_CHECK(m_group.start());
        for (const auto& each : m_proxies) {
            BOOST_LEAF_CHECK(each->start());
        }
        http::server_options options;
        options.port = m_options.platform_port;
        BOOST_LEAF_AUTO(server,
                        http::start_server(
                            options, [this](const http::request& request) { return promote(request); }, {}));
        m_started_at = millisecond_clock::now();
        std::thread announcement_thread([this] { announce_until_done(); });
        std::thread configuration_thread([this] { configure_until_done(); });
        start_callers();
        schedule_fault(startup_time);
        m_end_timer.expires_after(m_options.duration - recovery_check_time);
        m_end_timer.async_wait([this](const boost::system::error_code&) { check_recovery(); });
        m_context.run();
        m_is_done = true;
        announcement_thread.join();
        configuration_thread.join();
        server->stop();
        m_checker.finish();
        return make_report();
    }

private:
    http::response promote(const http::request& request)
    {
        const auto server = m_platform.decode_promotion(request.body);
        http::response response;
        response.status = server && m_group.promote(*server) ? 200 : 409;
        response.body = "{}";
        return response;
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
                report.started_at = unix_milliseconds{each.started_at_ms};
                report.sequence = each.sequence;
                for (std::size_t attempt = 0; attempt < m_options.control_hosts.size(); ++attempt) {
                    if (m_platform.announce(
                            m_options.control_hosts[random() % m_options.control_hosts.size()], report)) {
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
            if (send_configuration(version, random() % m_options.control_hosts.size())) {
                const time_point now = millisecond_clock::now();
                post([this, version, now] { m_checker.record_configuration_acknowledged(version, now); });
                ++version;
            }
            const auto& read_host = m_options.control_hosts[random() % m_options.control_hosts.size()];
            const time_point sent_at = millisecond_clock::now();
            if (const auto read = m_platform.read_version(read_host)) {
                post([this, read, sent_at] { m_checker.record_configuration_read(*read, sent_at); });
            }
            std::this_thread::sleep_for(version == 2 ? milliseconds{50} : configuration_interval);
        }
    }

    /// Sends the configuration to the control hosts in turn until one accepts it. Their names are not
    /// addresses here, so a redirect to the leader can't be followed.
    bool send_configuration(std::uint64_t version, std::size_t first_host)
    {
        const std::size_t count = m_options.control_hosts.size();
        for (std::size_t attempt = 0; attempt < count && !m_is_done; ++attempt) {
            if (m_platform.send_configuration(m_options.control_hosts[(first_host + attempt) % count],
                                              version)) {
                return true;
            }
        }
        return false;
    }

    template <class Function>
    void post(Function task)
    {
        asio::post(m_context, std::move(task));
    }

    void start_callers()
    {
        const std::vector<database_route> databases{
            {"ledger", configuration::read_consistency::primary, {}},
            {"catalogue", configuration::read_consistency::bounded_staleness, bounded_staleness_limit},
            {"inspections", configuration::read_consistency::read_your_writes, read_your_writes_staleness}};
        for (int number = 0; number < m_options.callers; ++number) {
            caller::run_environment environment{
                m_context, m_codec, m_checker, m_counts, m_options.entry_ports, [this](std::size_t index) {
                    return is_planned_stop(index);
                }};
            m_callers.push_back(
                std::make_shared<caller>(std::move(environment), number,
                                         databases[static_cast<std::size_t>(number) % databases.size()],
                                         m_options.seed * 1000 + static_cast<std::uint32_t>(number)));
            m_callers.back()->start();
        }
    }

    /// Expects entry hosts after control hosts in the list of processes.
    [[nodiscard]] bool is_planned_stop(std::size_t entry_index) const
    {
        const auto control_count = static_cast<std::size_t>(
            std::count_if(m_options.processes.begin(), m_options.processes.end(),
                          [](const process_under_test& each) { return each.is_control; }));
        const time_point now = millisecond_clock::now();
        return now - m_stop_sent_at[control_count + entry_index] < planned_stop_time &&
               now >= m_fault_effects_until;
    }

    void schedule_fault(milliseconds delay)
    {
        m_fault_timer.expires_after(delay);
        m_fault_timer.async_wait([this](const boost::system::error_code& error) {
            const bool is_too_late =
                millisecond_clock::now() - m_started_at > m_options.duration - fault_free_end;
            if (error || is_too_late) {
                return;
            }
            inject_fault();
            schedule_fault(random_duration(min_fault_interval_ms, max_fault_interval_ms));
        });
    }

    milliseconds random_duration(int min_ms, int max_ms)
    {
        return milliseconds{std::uniform_int_distribution<int>(min_ms, max_ms)(m_random)};
    }

    void inject_fault()
    {
        const milliseconds duration = random_duration(min_fault_ms, max_fault_ms);
        const std::size_t server = m_random() % emulated_group::server_count;
        const std::size_t process = m_random() % m_options.processes.size();
        const std::uint32_t kind = m_random() % fault_kinds;
        if (kind != planned_stop) {
            m_fault_effects_until = millisecond_clock::now() + duration + fault_effect_time;
        }
        switch (kind) {
        case 0:
            record_fault("primary ends", m_group.primary_index(), duration);
            m_group.crash(m_group.primary_index(), duration);
            return;
        case 1:
            record_fault("server ends", server, duration);
            m_group.crash(server, duration);
            return;
        case 2:
            record_fault("primary is silent", m_group.primary_index(), duration);
            m_group.make_unresponsive(m_group.primary_index(), duration);
            return;
        case 3:
            record_fault("replication is late", server, duration);
            m_group.delay_replication(server, replica_lag, duration);
            return;
        case 4:
            record_fault("replication stops", server, duration);
            m_group.stop_replication(server, duration);
            return;
        case 5:
            record_fault("answers are lost", server, duration);
            m_group.lose_answers(server, lost_answer_share, duration);
            return;
        case 6:
            record_fault("kill", process, milliseconds{0});
            signal(process, SIGKILL);
            return;
        case 7:
            record_fault("pause", process, duration);
            signal(process, SIGSTOP);
            resume_later(process, duration);
            return;
        case planned_stop:
            record_fault("stop", process, milliseconds{0});
            m_stop_sent_at[process] = millisecond_clock::now();
            signal(process, SIGTERM);
            return;
        case 9:
            record_fault("links are held", process, duration);
            for (const auto& each : m_proxies) {
                if (m_random() % 3 == 0) {
                    each->block_traffic(m_random() % 2 == 0, m_random() % 2 == 0, duration);
                }
            }
            return;
        case 10:
            record_fault("links are slow", process, duration);
            for (const auto& each : m_proxies) {
                each->delay(link_delay, duration);
            }
            return;
        case 11:
            record_fault("links are reset", process, milliseconds{0});
            for (const auto& each : m_proxies) {
                each->reset_connections();
            }
            return;
        default:
            record_fault("all control hosts are killed", 0, milliseconds{0});
            for (std::size_t index = 0; index < m_options.processes.size(); ++index) {
                if (m_options.processes[index].is_control) {
                    signal(index, SIGKILL);
                }
            }
            return;
        }
    }

    void record_fault(const char* description, std::size_t index, milliseconds duration)
    {
        m_report.faults.push_back(fmt::format("at_ms={} fault=\"{}\" place={} for_ms={}",
                                              (millisecond_clock::now() - m_started_at).count(), description,
                                              index, duration.count()));
    }

    /// Signals the process whose id the soak script wrote to its id file.
    void signal(std::size_t index, int signal_number)
    {
        std::ifstream file(m_options.processes[index].id_file);
        int id = 0;
        if (file >> id && id > 1) {
            ::kill(id, signal_number);
        }
    }

    void resume_later(std::size_t index, milliseconds duration)
    {
        auto timer = std::make_shared<asio::steady_timer>(m_context, duration);
        timer->async_wait([this, index, timer](const boost::system::error_code&) { signal(index, SIGCONT); });
    }

    void check_recovery()
    {
        const std::size_t answered_before = m_counts.answered;
        m_end_timer.expires_after(recovery_check_time);
        m_end_timer.async_wait([this, answered_before](const boost::system::error_code&) {
            m_report.answered_after_recovery = m_counts.answered - answered_before;
            for (std::size_t index = 0; index < m_options.processes.size(); ++index) {
                signal(index, SIGCONT);
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

    soak_report make_report()
    {
        m_report.violations = m_checker.violations();
        m_report.answered = m_counts.answered;
        m_report.refused = m_counts.refused;
        m_report.unknown = m_counts.unknown;
        m_report.interrupted = m_counts.interrupted;
        m_report.acknowledged_writes = m_checker.acknowledged_count();
        m_report.reads = m_checker.read_count();
        if (m_report.answered_after_recovery == 0) {
            m_report.violations.emplace_back("recover: no statement was answered after the last fault");
        }
        return std::move(m_report);
    }

    static constexpr std::uint32_t planned_stop = 8;
    static constexpr std::uint32_t fault_kinds = 13;

    const soak_options& m_options;
    const sessions::session_codec& m_codec;
    const platform_client& m_platform;
    std::mt19937 m_random;
    consistency_checker m_checker;
    caller_counts m_counts;
    asio::io_context m_context;
    emulated_group m_group;
    asio::steady_timer m_fault_timer;
    asio::steady_timer m_end_timer;
    std::vector<std::unique_ptr<fault_proxy>> m_proxies;
    std::vector<std::shared_ptr<caller>> m_callers;
    std::vector<time_point> m_stop_sent_at;
    time_point m_fault_effects_until{};
    time_point m_started_at{};
    std::atomic<bool> m_is_done{false};
    soak_report m_report;
};

} // namespace

result<soak_report> run_soak(const soak_options& options, std::unique_ptr<sessions::session_codec> codec,
                             const platform_client& platform)
{
    return std::make_unique<soak_run>(options, *codec, platform)->run();
}

} // namespace hickorymount::soak

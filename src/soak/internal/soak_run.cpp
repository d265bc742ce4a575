#include "soak/soak_run.h"

#include "http/server.h"
#include "soak/caller.h"
#include "soak/emulated_group.h"
#include "soak/fault_proxy.h"

#include <algorithm>
#include <array>
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
/// The second keys are withdrawn for longer than `revocation_limit`.
constexpr std::uint64_t first_version_without_second_keys = 4;
constexpr std::uint64_t versions_without_second_keys = 9;
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
/// One in this many seeds has cuts. They may interrupt requests for most of a run, and planned stops are not
/// checked meanwhile.
constexpr std::uint32_t seeds_per_cut_series = 2;
/// Time between two replacements of a primary that keeps answering. No primary that still answers is replaced
/// sooner after an earlier one.
constexpr milliseconds replacement_interval{11'000};
constexpr int max_replacement_delay_ms = 1500;
/// Time in which the primary opens no connections, until it is replaced.
constexpr milliseconds isolation_time{2000};
/// Time from a replacement until the earlier primary follows the new one.
constexpr milliseconds unaware_time{8000};
/// Time in which the cuts of a series start.
constexpr milliseconds cut_series_time{4500};
constexpr int max_first_cut_delay_ms = 1500;
/// Two entry hosts whose links are cut lose their leases within this time of each other.
constexpr int max_neighbour_lead_ms = 250;
constexpr int min_cut_ms = 1000;
constexpr int max_cut_ms = 4000;
/// A first cut about as long as a lease ends while the primary is being changed.
constexpr int min_first_cut_ms = 1700;
constexpr int max_first_cut_ms = 2600;
constexpr int min_time_between_cuts_ms = 150;
constexpr int max_time_between_cuts_ms = 500;

/// Shares of the answers that a server sends twice, one of which applies to a period.
constexpr std::array repeat_shares{0.05, 0.3, 1.0};
constexpr double cut_share = 0.03;
constexpr int min_disturbance_ms = 500;
constexpr int max_disturbance_ms = 4000;
constexpr int min_disturbance_pause_ms = 200;
constexpr int max_disturbance_pause_ms = 2000;

/// State of one run.
class soak_run
{
public:
    soak_run(const soak_options& options, const platform_client& platform)
        : m_options(options), m_platform(platform), m_random(options.seed), m_cut_random(options.seed + 2),
          m_disturbance_random(options.seed + 3),
          m_alphabet(options.has_unusual_bytes ? field_alphabet::any_byte : field_alphabet::plain),
          m_group(m_context, group_under_test, m_checker, options.seed, m_alphabet), m_fault_timer(m_context),
          m_replacement_timer(m_context), m_disturbance_timer(m_context), m_end_timer(m_context)
    {
        for (const proxied_port& each : options.proxies) {
            m_proxies.push_back(std::make_unique<fault_proxy>(m_context, each.port, each.target));
        }
        m_stop_sent_at.resize(options.processes.size());
    }

    result<soak_report> run()
    {
        for (const auto& each : m_proxies) {
            BOOST_LEAF_CHECK(each->start());
        }
        http::server_options options;
        options.port = m_options.platform_port;
        BOOST_LEAF_AUTO(server,
                        http::start_server(
                            options, [this](const http::request& request) { return promote(request); }, {}));
        // The kernel chooses the group's ports, among them any fixed port that is still free.
        BOOST_LEAF_CHECK(m_group.start());
        m_started_at = millisecond_clock::now();
        m_report.faults.push_back(fmt::format("started_at_unix_ms={}", unix_now().count()));
        std::thread announcement_thread([this] { announce_until_done(); });
        std::thread configuration_thread([this] { configure_until_done(); });
        start_callers();
        schedule_fault(startup_time);
        if (m_options.seed % seeds_per_cut_series == 0) {
            schedule_replacement(startup_time + random_duration(m_cut_random, 0, max_replacement_delay_ms));
        }
        if (m_options.disturbs_answers) {
            schedule_disturbance(startup_time + random_duration(m_disturbance_random,
                                                                min_disturbance_pause_ms,
                                                                max_disturbance_pause_ms));
        }
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
                if (each.is_lost) {
                    continue;
                }
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
            if (has_second_keys(version)) {
                post([this] {
                    record_second_keys(
                        [this](const std::string& key) { m_checker.record_key_restored(key); });
                });
            }
            if (send_configuration(version, random() % m_options.control_hosts.size())) {
                const time_point now = millisecond_clock::now();
                post([this, version, now] { record_acknowledged_configuration(version, now); });
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

    void record_acknowledged_configuration(std::uint64_t version, time_point now)
    {
        m_checker.record_configuration_acknowledged(version, now);
        if (!has_second_keys(version)) {
            record_second_keys([&](const std::string& key) { m_checker.record_key_withdrawn(key, now); });
        }
    }

    template <class Record>
    void record_second_keys(Record record)
    {
        for (int customer = 0; customer < m_options.customers; ++customer) {
            record(key_of_customer(customer, true));
        }
    }

    /// Callers of one customer use its first key and its second key in turn.
    [[nodiscard]] caller::identity identity_of(int caller_number) const
    {
        if (m_options.customers == 0) {
            return {};
        }
        const int customer = caller_number % m_options.customers;
        const bool is_second = (caller_number / m_options.customers) % 2 == 1;
        return {fmt::format("customer-{}", customer), key_of_customer(customer, is_second)};
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
            caller::run_environment environment{m_context,
                                                m_checker,
                                                m_counts,
                                                m_options.entry_ports,
                                                [this](std::size_t index) { return is_planned_stop(index); },
                                                m_alphabet};
            m_callers.push_back(std::make_shared<caller>(
                std::move(environment), number,
                databases[static_cast<std::size_t>(number) % databases.size()], identity_of(number),
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
               now >= std::max(m_fault_effects_until, m_cut_effects_until);
    }

    void schedule_fault(milliseconds delay)
    {
        m_fault_timer.expires_after(delay);
        m_fault_timer.async_wait([this](const boost::system::error_code& error) {
            if (error || is_too_late_for_faults()) {
                return;
            }
            inject_fault();
            schedule_fault(random_duration(m_random, min_fault_interval_ms, max_fault_interval_ms));
        });
    }

    [[nodiscard]] bool is_too_late_for_faults() const
    {
        return millisecond_clock::now() - m_started_at > m_options.duration - fault_free_end;
    }

    static milliseconds random_duration(std::mt19937& random, int min_ms, int max_ms)
    {
        return milliseconds{std::uniform_int_distribution<int>(min_ms, max_ms)(random)};
    }

    template <class Function>
    void run_later(milliseconds delay, Function task)
    {
        auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
        timer->async_wait([task, timer](const boost::system::error_code&) { task(); });
    }

    void schedule_replacement(milliseconds delay)
    {
        m_replacement_timer.expires_after(delay);
        m_replacement_timer.async_wait([this](const boost::system::error_code& error) {
            if (error || is_too_late_for_faults()) {
                return;
            }
            replace_primary_beside_cuts();
            schedule_replacement(replacement_interval);
        });
    }

    void schedule_disturbance(milliseconds delay)
    {
        m_disturbance_timer.expires_after(delay);
        m_disturbance_timer.async_wait([this](const boost::system::error_code& error) {
            if (error || is_too_late_for_faults()) {
                return;
            }
            const milliseconds duration =
                random_duration(m_disturbance_random, min_disturbance_ms, max_disturbance_ms);
            disturb_answers(duration);
            schedule_disturbance(duration + random_duration(m_disturbance_random, min_disturbance_pause_ms,
                                                            max_disturbance_pause_ms));
        });
    }

    /// Disturbs the answers of one server, or of all.
    void disturb_answers(milliseconds duration)
    {
        answer_faults faults;
        faults.repeat_probability = repeat_shares[m_disturbance_random() % repeat_shares.size()];
        faults.repeats_with_new_state = m_disturbance_random() % 2 == 0;
        faults.cut_probability = m_disturbance_random() % 3 == 0 ? cut_share : 0;
        const bool is_at_all = m_disturbance_random() % 2 == 0;
        const std::size_t server =
            is_at_all ? emulated_group::server_count : m_disturbance_random() % emulated_group::server_count;
        record_fault(fmt::format("answers are repeated with probability {}{} and cut with probability {}",
                                 faults.repeat_probability,
                                 faults.repeats_with_new_state ? ", with the state of that moment," : "",
                                 faults.cut_probability),
                     server, duration);
        for (std::size_t index = 0; index < emulated_group::server_count; ++index) {
            if (index == server || is_at_all) {
                m_group.disturb_answers(index, faults, duration);
            }
        }
    }

    /// Lets the primary be replaced while it keeps answering, and cuts the links between one or two entry
    /// hosts and the control hosts meanwhile.
    void replace_primary_beside_cuts()
    {
        const std::size_t entry = m_cut_random() % m_options.entry_ports.size();
        const bool is_isolated = m_cut_random() % 4 != 0;
        replace_primary(is_isolated);
        const milliseconds start = random_duration(m_cut_random, 0, max_first_cut_delay_ms);
        const bool cuts_neighbour = m_cut_random() % 2 == 0;
        const milliseconds neighbour_lead = random_duration(m_cut_random, 0, max_neighbour_lead_ms);
        if (cuts_neighbour) {
            schedule_cuts((entry + 1) % m_options.entry_ports.size(), start);
        }
        schedule_cuts(entry, start + neighbour_lead);
        m_cut_effects_until =
            millisecond_clock::now() + cut_series_time + milliseconds{max_cut_ms} + fault_effect_time;
    }

    /// Cuts the links of an entry host again and again. Most cuts follow shortly after the one before, so
    /// that the host gets one lease in between; some overlap.
    void schedule_cuts(std::size_t entry, milliseconds start)
    {
        int shortest_ms = min_first_cut_ms;
        int longest_ms = max_first_cut_ms;
        while (start < cut_series_time) {
            const milliseconds duration = random_duration(m_cut_random, shortest_ms, longest_ms);
            const auto direction = static_cast<std::uint32_t>(m_cut_random() % 6);
            const bool resets = m_cut_random() % 4 != 0;
            run_later(start, [this, entry, direction, resets, duration] {
                cut_links(entry, direction, resets, duration);
            });
            const bool overlaps = m_cut_random() % 4 == 0;
            start += overlaps ? duration / 2
                              : duration + random_duration(m_cut_random, min_time_between_cuts_ms,
                                                           max_time_between_cuts_ms);
            shortest_ms = min_cut_ms;
            longest_ms = max_cut_ms;
        }
    }

    void replace_primary(bool is_isolated)
    {
        if (is_isolated) {
            record_fault("primary is isolated", m_group.primary_index(), isolation_time);
            m_group.isolate_primary(isolation_time, unaware_time);
            return;
        }
        record_fault("replication stops", m_group.primary_index(), unaware_time);
        m_group.stop_replication(m_group.primary_index(), unaware_time);
    }

    /// Cuts towards the control hosts for `direction` 0, towards the entry host for 1, otherwise both ways.
    void cut_links(std::size_t entry, std::uint32_t direction, bool resets, milliseconds duration)
    {
        record_fault(fmt::format("links of an entry host are {}cut {}", resets ? "reset and " : "",
                                 direction == 0   ? "towards the control hosts"
                                 : direction == 1 ? "towards the entry host"
                                                  : "both ways"),
                     entry, duration);
        for (std::size_t index = 0; index < m_proxies.size(); ++index) {
            if (m_options.proxies[index].entry != entry) {
                continue;
            }
            m_proxies[index]->cut(direction != 1, direction != 0, duration);
            if (resets) {
                m_proxies[index]->reset_connections();
            }
        }
    }

    void inject_fault()
    {
        const milliseconds duration = random_duration(m_random, min_fault_ms, max_fault_ms);
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

    void record_fault(const std::string& description, std::size_t index, milliseconds duration)
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
        run_later(duration, [this, index] { signal(index, SIGCONT); });
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
            m_replacement_timer.cancel();
            m_disturbance_timer.cancel();
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
        m_report.repeated_answers = m_group.repeated_count();
        m_report.cut_answers = m_group.cut_count();
        if (m_report.answered_after_recovery == 0) {
            m_report.violations.emplace_back("recover: no statement was answered after the last fault");
        }
        return std::move(m_report);
    }

    static constexpr std::uint32_t planned_stop = 8;
    static constexpr std::uint32_t fault_kinds = 13;

    const soak_options& m_options;
    const platform_client& m_platform;
    std::mt19937 m_random;
    /// Separate, so that the other faults of a seed do not depend on the cuts.
    std::mt19937 m_cut_random;
    std::mt19937 m_disturbance_random;
    field_alphabet m_alphabet;
    consistency_checker m_checker;
    caller_counts m_counts;
    asio::io_context m_context;
    emulated_group m_group;
    asio::steady_timer m_fault_timer;
    asio::steady_timer m_replacement_timer;
    asio::steady_timer m_disturbance_timer;
    asio::steady_timer m_end_timer;
    std::vector<std::unique_ptr<fault_proxy>> m_proxies;
    std::vector<std::shared_ptr<caller>> m_callers;
    std::vector<time_point> m_stop_sent_at;
    time_point m_fault_effects_until{};
    time_point m_cut_effects_until{};
    time_point m_started_at{};
    std::atomic<bool> m_is_done{false};
    soak_report m_report;
};

} // namespace

std::string key_of_customer(int customer, bool is_second)
{
    return fmt::format("key-{}-{}", customer, is_second ? "second" : "first");
}

bool has_second_keys(std::uint64_t version)
{
    return version < first_version_without_second_keys ||
           version >= first_version_without_second_keys + versions_without_second_keys;
}

result<soak_report> run_soak(const soak_options& options, const platform_client& platform)
{
    return std::make_unique<soak_run>(options, platform)->run();
}

} // namespace hickorymount::soak

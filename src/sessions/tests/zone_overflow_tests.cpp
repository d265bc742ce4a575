#include "sessions/concurrency_limit.h"
#include "sessions/internal/zone_overflow.h"
#include "sessions/response_times.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <ostream>
#include <random>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace hickorymount::sessions::detail {

class zone_overflow_fixture : public ::testing::Test
{
protected:
    void adjust_for(milliseconds duration, const zone_load& nearby, const zone_load& elsewhere)
    {
        for (const time_point end = m_now + duration; m_now < end; m_now += milliseconds{50}) {
            m_overflow = adjust(m_overflow, nearby, elsewhere, 300, m_now);
        }
    }

    static constexpr zone_load free_nearby{30, 1, true, true, true};
    static constexpr zone_load full_nearby{100, 0, false, true, false};
    static constexpr zone_load idle_elsewhere{60, 1, true, true, true};
    static constexpr zone_load full_elsewhere{134, 0, false, true, true};

    time_point m_now{milliseconds{100'000}};
    zone_overflow m_overflow;
};

// Guards against paying for bytes between regions without need.
TEST_F(zone_overflow_fixture, nothing_leaves_while_a_slot_nearby_is_free)
{
    m_overflow.share = 1;
    EXPECT_FALSE(leaves(m_overflow, free_nearby, idle_elsewhere, 300));
    adjust_for(milliseconds{1200}, free_nearby, idle_elsewhere);
    EXPECT_EQ(m_overflow.share, 0);
}

TEST_F(zone_overflow_fixture, everything_leaves_at_once_when_no_server_nearby_can_be_used)
{
    EXPECT_TRUE(leaves(m_overflow, {}, idle_elsewhere, 0));
}

// Guards against all reads of a zone moving at once and back again.
TEST_F(zone_overflow_fixture, share_of_a_full_zone_rises_within_a_second_but_not_at_once)
{
    adjust_for(milliseconds{100}, full_nearby, idle_elsewhere);
    EXPECT_LT(m_overflow.share, 0.3);
    adjust_for(milliseconds{900}, full_nearby, idle_elsewhere);
    EXPECT_GT(m_overflow.share, 0.5);
}

// Guards against zones that exchange their load although each would serve it as fast by itself.
TEST_F(zone_overflow_fixture, nothing_leaves_when_it_is_as_full_elsewhere)
{
    adjust_for(milliseconds{5000}, full_nearby, full_elsewhere);
    EXPECT_EQ(m_overflow.share, 0);
}

TEST_F(zone_overflow_fixture, statements_leave_in_the_proportion_of_the_share)
{
    m_overflow.share = 0.25;
    int left = 0;
    for (int at = 0; at < 100; ++at) {
        const bool has_left = leaves(m_overflow, full_nearby, idle_elsewhere, 0);
        left += has_left ? 1 : 0;
        m_overflow = after_sending(m_overflow, has_left, 0);
    }
    EXPECT_EQ(left, 25);
}

// Guards against a single statement that waits for the share to rise.
TEST_F(zone_overflow_fixture, statement_that_has_waited_leaves_while_there_is_room_elsewhere)
{
    EXPECT_FALSE(leaves(m_overflow, full_nearby, idle_elsewhere, 149));
    EXPECT_TRUE(leaves(m_overflow, full_nearby, idle_elsewhere, 150));
    EXPECT_FALSE(leaves(m_overflow, full_nearby, full_elsewhere, 1000));
}

TEST_F(zone_overflow_fixture, change_of_the_share_is_reported_once_a_second_at_most_and_its_end_too)
{
    m_overflow.share = 0.1;
    EXPECT_FALSE(is_report_due(m_overflow, m_now));
    m_overflow.share = 0.3;
    EXPECT_TRUE(is_report_due(m_overflow, m_now));
    m_overflow.reported_share = 0.3;
    m_overflow.reported_at = m_now;
    m_overflow.share = 0;
    EXPECT_FALSE(is_report_due(m_overflow, m_now + milliseconds{500}));
    EXPECT_TRUE(is_report_due(m_overflow, m_now + milliseconds{1000}));
}

/// Three regions with one server and four entry hosts each. The hosts send reads to the server of their
/// region or of another one, by the rules of this directory.
class three_regions_fixture : public ::testing::Test
{
protected:
    static constexpr std::size_t regions = 3;
    static constexpr std::size_t hosts_per_region = 4;
    static constexpr std::uint32_t all_slots = 5;
    static constexpr int service_ms = 24;
    static constexpr int target_ms = 1000;
    static constexpr int longest_wait_ms = 3000;
    /// Reads each second that the server of a region can run.
    static constexpr double capacity = 1000.0 * all_slots / service_ms;

    struct region_outcome
    {
        int asked = 0;
        int in_target = 0;
        int left = 0;
        int abandoned = 0;
        double response_ms = 0;
    };

    using outcome = std::array<region_outcome, regions>;

    struct disturbance
    {
        /// Load of each region relative to the capacity of its server, at a time.
        std::function<double(std::size_t region, int now)> load;
        /// Slots of each region's server, at a time; without slots it accepts nothing.
        std::function<std::uint32_t(std::size_t region, int now)> slots = [](std::size_t, int) {
            return all_slots;
        };
        /// The region can't reach the servers of others.
        std::function<bool(std::size_t region, int now)> is_cut_off = [](std::size_t, int) { return false; };
    };

    /// Replays the time from `from` to `until`, after a warm-up from 0 on, and counts the reads asked in it.
    outcome replay(const disturbance& disturbed, int from, int until, bool may_leave = true)
    {
        m_disturbed = disturbed;
        m_may_leave = may_leave;
        m_hosts.assign(regions * hosts_per_region, {});
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            for (std::size_t region = 0; region < regions; ++region) {
                m_hosts[host].servers[region].times =
                    after_opening({}, milliseconds{4 * latency(host, region) + 12}, now());
            }
        }
        m_servers = {};
        m_actions.clear();
        m_outcome = {};
        m_shares.clear();
        for (m_now = 0; m_now < until; ++m_now) {
            m_is_measured = m_now >= from;
            step();
        }
        m_is_measured = false;
        for (const int end = m_now + longest_wait_ms; m_now < end; ++m_now) {
            step();
        }
        return m_outcome;
    }

    /// Standard deviation of the share that leaves the first region.
    [[nodiscard]] double share_deviation() const
    {
        double sum = 0;
        double squares = 0;
        for (const double share : m_shares) {
            sum += share;
            squares += share * share;
        }
        const auto count = static_cast<double>(m_shares.size());
        return std::sqrt(std::max(0.0, squares / count - sum * sum / count / count));
    }

    static std::function<double(std::size_t, int)> constant_load(double load)
    {
        return [load](std::size_t, int) { return load; };
    }

    static double share_in_target(const region_outcome& found)
    {
        return static_cast<double>(found.in_target) / std::max(1, found.asked);
    }
    static double share_left(const region_outcome& found)
    {
        return static_cast<double>(found.left) / std::max(1, found.asked);
    }

    static std::string describe(const outcome& found)
    {
        std::string text;
        for (const region_outcome& each : found) {
            text += fmt::format("asked {} in_target {:.3f} left {:.3f} abandoned {} mean {:.0f} ms; ",
                                each.asked, share_in_target(each), share_left(each), each.abandoned,
                                each.response_ms / std::max(1, each.asked));
        }
        return text;
    }

private:
    struct known_server
    {
        std::uint32_t in_flight = 0;
        concurrency_limit limit;
        response_times times;
    };

    struct waiting_read
    {
        int asked_at = 0;
        bool is_measured = false;
    };

    struct simulated_host
    {
        std::deque<waiting_read> waiting;
        std::array<known_server, regions> servers;
        zone_overflow overflow;
    };

    struct simulated_server
    {
        std::deque<std::function<void()>> queue;
        std::uint32_t busy_slots = 0;
    };

    static std::size_t region_of(std::size_t host) { return host / hosts_per_region; }
    static int latency(std::size_t host, std::size_t region) { return region_of(host) == region ? 1 : 12; }
    [[nodiscard]] time_point now() const { return time_point{milliseconds{m_now + 100'000}}; }
    void schedule(int delay, std::function<void()> action)
    {
        m_actions.emplace(m_now + delay, std::move(action));
    }

    void step()
    {
        while (!m_actions.empty() && m_actions.begin()->first <= m_now) {
            const std::function<void()> action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
            action();
        }
        for (std::size_t region = 0; region < regions; ++region) {
            start_queued(region);
        }
        if (m_is_measured) {
            double sum = 0;
            for (std::size_t host = 0; host < hosts_per_region; ++host) {
                sum += m_hosts[host].overflow.share;
            }
            m_shares.push_back(sum / hosts_per_region);
        }
        for (std::size_t host = 0; host < m_hosts.size(); ++host) {
            const std::size_t region = region_of(host);
            const double mean = capacity * m_disturbed.load(region, m_now) / hosts_per_region / 1000;
            for (int left = std::poisson_distribution<int>(mean)(m_random); left > 0; --left) {
                m_hosts[host].waiting.push_back({m_now, m_is_measured});
                m_outcome[region].asked += m_is_measured ? 1 : 0;
            }
            send_waiting(host);
        }
    }

    std::vector<read_candidate> candidates(std::size_t host) const
    {
        std::vector<read_candidate> found;
        for (std::size_t region = 0; region < regions; ++region) {
            const known_server& server = m_hosts[host].servers[region];
            const bool is_own = region == region_of(host);
            const bool is_reachable = is_own || !(m_disturbed.is_cut_off(region_of(host), m_now) ||
                                                  m_disturbed.is_cut_off(region, m_now));
            if (!is_reachable || (!is_own && !m_may_leave)) {
                continue;
            }
            read_candidate made{backend_server_name{std::to_string(region)}, false, is_own};
            made.round_trip_ms = round_trip_ms(server.times);
            made.is_far =
                is_far(made.round_trip_ms, round_trip_ms(m_hosts[host].servers[region_of(host)].times));
            made.in_flight = server.in_flight;
            made.slots = all_slots;
            made.service_ms = sessions::service_ms(server.times, work_kind::read);
            made.queueing_ms = queueing_ms(server.times, now());
            made.has_capacity = may_send(server.limit, server.in_flight);
            found.push_back(std::move(made));
        }
        estimate_unmeasured(found);
        return found;
    }

    void send_waiting(std::size_t host)
    {
        simulated_host& sender = m_hosts[host];
        while (!sender.waiting.empty() && m_now - sender.waiting.front().asked_at >= longest_wait_ms) {
            m_outcome[region_of(host)].abandoned += sender.waiting.front().is_measured ? 1 : 0;
            sender.waiting.pop_front();
        }
        while (!sender.waiting.empty()) {
            std::vector<read_candidate> servers = candidates(host);
            const double waited = m_now - sender.waiting.front().asked_at;
            const zone_load nearby = load_of(servers, false);
            const zone_load elsewhere = load_of(servers, true);
            sender.overflow = adjust(sender.overflow, nearby, elsewhere,
                                     std::max(waited, sender.overflow.waited_ms), now());
            const bool has_left = leaves(sender.overflow, nearby, elsewhere, waited);
            std::erase_if(servers, [&](const read_candidate& each) {
                return !each.has_capacity || each.is_far != has_left;
            });
            if (servers.empty()) {
                return;
            }
            const read_candidate chosen = rank_read_servers(std::move(servers)).front();
            sender.overflow = after_sending(sender.overflow, has_left, waited);
            const waiting_read read = sender.waiting.front();
            sender.waiting.pop_front();
            m_outcome[region_of(host)].left += read.is_measured && has_left ? 1 : 0;
            send(host, static_cast<std::size_t>(std::stoi(chosen.name.value)), read);
        }
    }

    void send(std::size_t host, std::size_t region, const waiting_read& read)
    {
        ++m_hosts[host].servers[region].in_flight;
        const int sent_at = m_now;
        schedule(latency(host, region), [this, host, region, read, sent_at] {
            m_servers[region].queue.push_back([this, host, region, read, sent_at] {
                const int took =
                    std::uniform_int_distribution<int>(service_ms / 2, service_ms * 3 / 2)(m_random);
                schedule(took, [this, host, region, read, sent_at] {
                    --m_servers[region].busy_slots;
                    schedule(latency(host, region),
                             [this, host, region, read, sent_at] { respond(host, region, read, sent_at); });
                });
            });
        });
    }

    void start_queued(std::size_t region)
    {
        simulated_server& server = m_servers[region];
        while (server.busy_slots < m_disturbed.slots(region, m_now) && !server.queue.empty()) {
            ++server.busy_slots;
            const std::function<void()> start = std::move(server.queue.front());
            server.queue.pop_front();
            start();
        }
    }

    void respond(std::size_t host, std::size_t region, const waiting_read& read, int sent_at)
    {
        known_server& server = m_hosts[host].servers[region];
        server.times = after_statement(server.times, work_kind::read, milliseconds{m_now - sent_at}, now());
        server.limit = after_answer(server.limit, server.in_flight,
                                    {queueing_ms(server.times, now()),
                                     sessions::service_ms(server.times, work_kind::read).value_or(0),
                                     response_ms(server.times, now())},
                                    now());
        --server.in_flight;
        if (read.is_measured) {
            region_outcome& counts = m_outcome[region_of(host)];
            counts.in_target += m_now - read.asked_at <= target_ms ? 1 : 0;
            counts.response_ms += m_now - read.asked_at;
        }
    }

    disturbance m_disturbed;
    bool m_may_leave = true;
    bool m_is_measured = false;
    std::vector<simulated_host> m_hosts;
    std::array<simulated_server, regions> m_servers;
    std::multimap<int, std::function<void()>> m_actions;
    outcome m_outcome;
    std::vector<double> m_shares;
    int m_now = 0;
    std::mt19937 m_random{20261206};
};

// Guards against bytes between regions that are paid for without need.
TEST_F(three_regions_fixture, reads_of_regions_with_enough_slots_stay)
{
    for (const double load : {0.7, 0.85}) {
        const outcome found = replay({constant_load(load)}, 2000, 12'000);
        for (const region_outcome& region : found) {
            EXPECT_LT(share_left(region), 0.03) << describe(found);
            EXPECT_EQ(share_in_target(region), 1) << describe(found);
        }
    }
}

// Guards against callers of a region that wait for its remaining slots while others are free, and against a
// share that swings between nothing and everything.
TEST_F(three_regions_fixture, region_that_loses_more_than_half_of_its_slots_sends_the_rest_of_its_reads_away)
{
    const disturbance half_lost{constant_load(0.6), [](std::size_t region, int now) {
                                    return region == 0 && now >= 3000 ? 2U : all_slots;
                                }};
    const outcome without = replay(half_lost, 3000, 13'000, false);
    EXPECT_LT(share_in_target(without[0]), 0.5) << describe(without);
    const outcome found = replay(half_lost, 3000, 13'000);
    EXPECT_GT(share_in_target(found[0]), 0.98) << describe(found);
    EXPECT_GT(share_left(found[0]), 0.25) << describe(found);
    EXPECT_LT(share_left(found[0]), 0.6) << describe(found);
    EXPECT_LT(share_deviation(), 0.2);
    for (const std::size_t region : {1U, 2U}) {
        EXPECT_EQ(share_in_target(found[region]), 1) << describe(found);
        EXPECT_LT(share_left(found[region]), 0.05) << describe(found);
    }
}

// Guards against a share that follows the load too late to help.
TEST_F(three_regions_fixture, wave_of_load_that_moves_from_region_to_region_is_served)
{
    const disturbance wave{[](std::size_t region, int now) {
        return now >= 3000 && region == static_cast<std::size_t>(now / 3000) % regions ? 1.6 : 0.5;
    }};
    const outcome without = replay(wave, 3000, 21'000, false);
    const outcome found = replay(wave, 3000, 21'000);
    for (std::size_t region = 0; region < regions; ++region) {
        EXPECT_LT(share_in_target(without[region]), 0.8) << describe(without);
        EXPECT_GT(share_in_target(found[region]), 0.93) << describe(found);
        EXPECT_LT(share_left(found[region]), 0.35) << describe(found);
    }
}

TEST_F(three_regions_fixture, burst_in_one_region_is_served_and_the_others_keep_their_response_times)
{
    const disturbance burst{
        [](std::size_t region, int now) { return region == 0 && now >= 3000 && now < 8000 ? 1.8 : 0.5; }};
    const outcome without = replay(burst, 3000, 8000, false);
    const outcome found = replay(burst, 3000, 8000);
    EXPECT_LT(share_in_target(without[0]), 0.4) << describe(without);
    EXPECT_GT(share_in_target(found[0]), 0.8) << describe(found);
    for (const std::size_t region : {1U, 2U}) {
        EXPECT_GT(share_in_target(found[region]), 0.99) << describe(found);
        EXPECT_LT(found[region].response_ms / found[region].asked, 80) << describe(found);
    }
}

// Guards against full regions that exchange their load, for bytes and round trips and without a gain.
TEST_F(three_regions_fixture, regions_that_are_all_full_keep_most_of_their_reads)
{
    const outcome without = replay({constant_load(1.3)}, 2000, 12'000, false);
    const outcome found = replay({constant_load(1.3)}, 2000, 12'000);
    double served_without = 0;
    double served = 0;
    double left = 0;
    for (std::size_t region = 0; region < regions; ++region) {
        served_without += share_in_target(without[region]) / regions;
        served += share_in_target(found[region]) / regions;
        left += share_left(found[region]) / regions;
    }
    EXPECT_LT(left, 0.15) << describe(found);
    EXPECT_GT(served, served_without - 0.05) << describe(without) << describe(found);
}

// Guards against reads that wait for servers which can't be reached.
TEST_F(three_regions_fixture, region_that_is_cut_off_runs_its_reads_itself_and_sends_them_away_afterwards)
{
    const auto cut_off_until = [](int end) {
        return disturbance{
            [](std::size_t region, int) { return region == 0 ? 1.3 : 0.5; },
            [](std::size_t, int) { return all_slots; },
            [end](std::size_t region, int now) { return region == 0 && now >= 4000 && now < end; }};
    };
    const outcome during = replay(cut_off_until(20'000), 4500, 8000);
    EXPECT_EQ(during[0].left, 0) << describe(during);
    for (const std::size_t region : {1U, 2U}) {
        EXPECT_EQ(share_in_target(during[region]), 1) << describe(during);
    }
    const outcome afterwards = replay(cut_off_until(8000), 10'000, 13'000);
    EXPECT_GT(share_in_target(afterwards[0]), 0.95) << describe(afterwards);
}

} // namespace hickorymount::sessions::detail

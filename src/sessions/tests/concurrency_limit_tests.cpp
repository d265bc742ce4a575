#include "sessions/concurrency_limit.h"
#include "sessions/response_times.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <ostream>
#include <random>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace hickorymount::sessions::detail {

class concurrency_limit_fixture : public ::testing::Test
{
};

TEST_F(concurrency_limit_fixture, refusals_within_the_interval_decrease_the_limit_once)
{
    const time_point now{milliseconds{1000}};
    const concurrency_limit lowered = after_refusal({8, {}}, 8, now);
    EXPECT_LT(lowered.allowed, 8);
    EXPECT_EQ(after_refusal(lowered, 8, now + milliseconds{1}), lowered);
    EXPECT_LT(after_refusal(lowered, 8, now + decrease_interval).allowed, lowered.allowed);
}

TEST_F(concurrency_limit_fixture, one_statement_may_always_be_sent)
{
    concurrency_limit limit;
    for (int at = 1; at < 50; ++at) {
        limit = after_refusal(limit, 1, time_point{milliseconds{at * 100}});
    }
    EXPECT_TRUE(may_send(limit, 0));
    EXPECT_FALSE(may_send(limit, 1));
}

TEST_F(concurrency_limit_fixture, responses_increase_only_a_limit_that_is_reached)
{
    const time_point now{milliseconds{1000}};
    const concurrency_limit limit{4, {}};
    EXPECT_EQ(after_answer(limit, 1, {}, now), limit);
    EXPECT_GT(after_answer(limit, 3, {}, now).allowed, limit.allowed);
    EXPECT_LE(after_answer({max_in_flight, {}}, 24, {}, now).allowed, max_in_flight);
}

/// Twelve hosts with unlimited work share a server with 3 slots and a queue of 24. In each round, every host
/// sends as many statements as its limit allows, and the server accepts 27 of them.
TEST_F(concurrency_limit_fixture, hosts_that_share_an_overloaded_server_converge_to_its_capacity)
{
    constexpr std::size_t hosts = 12;
    constexpr std::uint32_t capacity = 27;
    constexpr int rounds = 400;
    std::vector<concurrency_limit> limits(hosts, concurrency_limit{8, {}});
    int sent_late = 0;
    int refused_late = 0;
    for (int round = 0; round < rounds; ++round) {
        const time_point now{milliseconds{round * 60}};
        std::uint32_t arrived = 0;
        for (concurrency_limit& limit : limits) {
            std::uint32_t in_flight = 0;
            while (may_send(limit, in_flight)) {
                ++in_flight;
                const bool is_refused = ++arrived > capacity;
                sent_late += round > rounds / 2 ? 1 : 0;
                refused_late += round > rounds / 2 && is_refused ? 1 : 0;
                limit = is_refused ? after_refusal(limit, in_flight, now)
                                   : after_answer(limit, in_flight, {}, now);
            }
        }
    }
    EXPECT_LT(refused_late, sent_late / 4);
}

// Guards against a limit that falls only after the server has refused statements.
TEST_F(concurrency_limit_fixture, queueing_beyond_the_target_decreases_the_limit_without_a_refusal)
{
    const time_point now{milliseconds{1000}};
    const concurrency_limit limit{8, {}};
    EXPECT_GE(after_answer(limit, 7, {25, 24, 50}, now).allowed, 8);
    const concurrency_limit lowered = after_answer(limit, 8, {200, 24, 250}, now);
    EXPECT_LT(lowered.allowed, 8);
    EXPECT_EQ(after_answer(lowered, 8, {200, 24, 250}, now + milliseconds{200}), lowered);
    EXPECT_LT(after_answer(lowered, 8, {200, 24, 250}, now + milliseconds{250}).allowed, lowered.allowed);
}

/// Twelve entry hosts, at three distances, share one server. Each queues its statements and sends as many as
/// its limit allows; a refused statement is sent again after the back-off.
class shared_server_fixture : public ::testing::Test
{
protected:
    static constexpr std::size_t host_count = 12;
    static constexpr int refusal_backoff_ms = 30;
    static constexpr int longest_wait_ms = 1000;
    static constexpr int opening_ms = 12;
    static constexpr int duration_ms = 10'000;

    struct server_settings
    {
        int slots = 5;
        std::size_t queue = 40;
        int service_ms = 24;
    };

    struct outcome
    {
        double refused_share = 0;
        double utilisation = 0;
        /// Jain's index of the statements executed for each host: 1 if all are equal.
        double fairness = 0;
        double response_ms = 0;

        friend std::ostream& operator<<(std::ostream& out, const outcome& found)
        {
            return out << fmt::format("refused {:.4f} utilisation {:.3f} fairness {:.3f} response {:.0f} ms",
                                      found.refused_share, found.utilisation, found.fairness,
                                      found.response_ms);
        }
    };

    /// The deployments' servers, with the service time of the most frequent or the longest reads.
    inline static const std::vector<server_settings> servers{{5, 40, 24}, {6, 40, 47}, {3, 40, 18}};

    /// Replays 10 s of the arrivals, in statements per second for each host, after a time with 70% of the
    /// capacity.
    outcome replay(const server_settings& server, const std::vector<double>& arrivals, int warm_up_ms = 2000)
    {
        m_settings = server;
        m_hosts.assign(host_count, {});
        for (std::size_t host = 0; host < host_count; ++host) {
            m_hosts[host].times = after_opening({}, milliseconds{4 * latency_of(host) + opening_ms},
                                                time_point{milliseconds{1}});
        }
        m_actions.clear();
        m_server_queue.clear();
        m_busy_slots = 0;
        m_sent = m_refused = m_busy_time = m_response_time = 0;
        m_now = 0;
        const std::vector<double> usual = equal_arrivals(0.7 * capacity(server));
        while (m_now < duration_ms + warm_up_ms) {
            if (m_now == warm_up_ms) {
                m_sent = m_refused = m_busy_time = m_response_time = 0;
                for (simulated_host& each : m_hosts) {
                    each.executed = 0;
                }
            }
            ++m_now;
            while (!m_actions.empty() && m_actions.begin()->first <= m_now) {
                const std::function<void()> action = std::move(m_actions.begin()->second);
                m_actions.erase(m_actions.begin());
                action();
            }
            for (std::size_t host = 0; host < host_count; ++host) {
                for (int left = arrivals_of(m_now <= warm_up_ms ? usual[host] : arrivals[host]); left > 0;
                     --left) {
                    m_hosts[host].waiting.push_back(m_now);
                }
                send_waiting(host);
            }
            m_busy_time += m_busy_slots;
        }
        double sum = 0;
        double squares = 0;
        for (const simulated_host& host : m_hosts) {
            sum += host.executed;
            squares += static_cast<double>(host.executed) * host.executed;
        }
        return {static_cast<double>(m_refused) / static_cast<double>(std::max<std::int64_t>(1, m_sent)),
                static_cast<double>(m_busy_time) / (static_cast<double>(duration_ms) * server.slots),
                sum * sum / (host_count * squares),
                static_cast<double>(m_response_time) / std::max(1.0, sum)};
    }

    static std::vector<double> equal_arrivals(double per_second)
    {
        return std::vector<double>(host_count, per_second / host_count);
    }

    static double capacity(const server_settings& server)
    {
        return 1000.0 * server.slots / server.service_ms;
    }

private:
    struct simulated_host
    {
        std::deque<int> waiting;
        std::uint32_t in_flight = 0;
        concurrency_limit limit;
        response_times times;
        int executed = 0;
    };

    int arrivals_of(double per_second) { return std::poisson_distribution<int>(per_second / 1000)(m_random); }

    /// One-way latency to the server: own zone, another zone of the region, another region.
    static int latency_of(std::size_t host) { return host % 3 == 0 ? 0 : host % 3 == 1 ? 4 : 12; }

    [[nodiscard]] time_point now() const { return time_point{milliseconds{m_now + 100'000}}; }

    void schedule(int delay, std::function<void()> action)
    {
        m_actions.emplace(m_now + delay, std::move(action));
    }

    void send_waiting(std::size_t host)
    {
        simulated_host& sender = m_hosts[host];
        while (!sender.waiting.empty() && m_now - sender.waiting.front() > longest_wait_ms) {
            sender.waiting.pop_front();
        }
        while (!sender.waiting.empty() && may_send(sender.limit, sender.in_flight)) {
            const int asked_at = sender.waiting.front();
            sender.waiting.pop_front();
            ++sender.in_flight;
            ++m_sent;
            schedule(latency_of(host),
                     [this, host, asked_at, sent_at = m_now] { arrive(host, asked_at, sent_at); });
        }
    }

    void arrive(std::size_t host, int asked_at, int sent_at)
    {
        if (m_server_queue.size() >= m_settings.queue) {
            ++m_refused;
            schedule(latency_of(host), [this, host, asked_at] {
                simulated_host& sender = m_hosts[host];
                sender.limit = after_refusal(sender.limit, sender.in_flight, now());
                --sender.in_flight;
                schedule(refusal_backoff_ms,
                         [this, host, asked_at] { m_hosts[host].waiting.push_front(asked_at); });
            });
            return;
        }
        m_server_queue.push_back([this, host, asked_at, sent_at] {
            const int service = std::uniform_int_distribution<int>(m_settings.service_ms / 2,
                                                                   m_settings.service_ms * 3 / 2)(m_random);
            schedule(service, [this, host, asked_at, sent_at] {
                --m_busy_slots;
                start_queued();
                schedule(latency_of(host),
                         [this, host, asked_at, sent_at] { respond(host, asked_at, sent_at); });
            });
        });
        start_queued();
    }

    void start_queued()
    {
        while (m_busy_slots < m_settings.slots && !m_server_queue.empty()) {
            ++m_busy_slots;
            const std::function<void()> start = std::move(m_server_queue.front());
            m_server_queue.pop_front();
            start();
        }
    }

    void respond(std::size_t host, int asked_at, int sent_at)
    {
        simulated_host& sender = m_hosts[host];
        sender.times = after_statement(sender.times, work_kind::read, milliseconds{m_now - sent_at}, now());
        const queueing_signal signal{queueing_ms(sender.times, now()),
                                     service_ms(sender.times, work_kind::read).value_or(0),
                                     response_ms(sender.times, now())};
        sender.limit = after_answer(sender.limit, sender.in_flight, signal, now());
        --sender.in_flight;
        ++sender.executed;
        m_response_time += m_now - asked_at;
    }

    server_settings m_settings;
    std::vector<simulated_host> m_hosts;
    std::multimap<int, std::function<void()>> m_actions;
    std::deque<std::function<void()>> m_server_queue;
    int m_busy_slots = 0;
    int m_now = 0;
    std::int64_t m_sent = 0;
    std::int64_t m_refused = 0;
    std::int64_t m_busy_time = 0;
    std::int64_t m_response_time = 0;
    std::mt19937 m_random{20261206};
};

// Guards against statements that are sent only to be refused, against slots that idle while statements wait,
// and against one host taking the slots of the others.
TEST_F(shared_server_fixture, overload_by_half_is_refused_by_less_than_3_percent_and_leaves_no_slot_idle)
{
    for (const server_settings& server : servers) {
        const outcome found = replay(server, equal_arrivals(1.5 * capacity(server)));
        EXPECT_LT(found.refused_share, 0.03) << found;
        EXPECT_GT(found.utilisation, 0.97) << found;
        EXPECT_GT(found.fairness, 0.85) << found;
    }
}

// Guards against a limit that learns the service time from queued statements when hosts start in an overload.
TEST_F(shared_server_fixture, hosts_that_start_in_an_overload_are_refused_less_than_3_percent)
{
    for (const server_settings& server : servers) {
        const outcome found = replay(server, equal_arrivals(1.5 * capacity(server)), 0);
        EXPECT_LT(found.refused_share, 0.03) << found;
        EXPECT_GT(found.utilisation, 0.97) << found;
        EXPECT_GT(found.fairness, 0.75) << found;
    }
}

TEST_F(shared_server_fixture, triple_load_is_refused_by_less_than_3_percent)
{
    for (const server_settings& server : servers) {
        const outcome found = replay(server, equal_arrivals(3 * capacity(server)));
        EXPECT_LT(found.refused_share, 0.03) << found;
        EXPECT_GT(found.utilisation, 0.97) << found;
    }
}

// Guards against a limit that is made for many hosts and keeps a single one from using all slots.
TEST_F(shared_server_fixture, single_host_with_all_the_demand_keeps_the_slots_busy_over_any_distance)
{
    for (const server_settings& server : servers) {
        for (const std::size_t host : {0U, 1U, 2U}) {
            std::vector<double> arrivals(host_count, 0);
            arrivals[host] = 1.5 * capacity(server);
            const outcome found = replay(server, arrivals);
            EXPECT_EQ(found.refused_share, 0) << found;
            EXPECT_GT(found.utilisation, 0.88) << found;
        }
    }
}

// Guards against a limit that delays statements while slots are free.
TEST_F(shared_server_fixture, load_below_capacity_waits_little)
{
    for (const server_settings& server : servers) {
        const outcome found = replay(server, equal_arrivals(0.7 * capacity(server)));
        EXPECT_EQ(found.refused_share, 0) << found;
        EXPECT_LT(found.response_ms, 1.5 * server.service_ms + 20) << found;
    }
}

} // namespace hickorymount::sessions::detail

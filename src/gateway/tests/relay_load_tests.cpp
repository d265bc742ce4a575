#include "sessions/reduce.h"
#include "supervision/reduce.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace hickorymount::gateway {
namespace {

using sessions::response_code;

/// One group of three servers behind more entry hosts than a server accepts connections. Control's reducer
/// grants the connections, and the traffic reducer of every entry host runs the statements over a network and
/// servers simulated here.
class more_entry_hosts_than_connections_fixture : public ::testing::Test
{
protected:
    static constexpr std::size_t zone_count = 6;
    static constexpr std::size_t hosts_per_zone = 14;
    static constexpr std::size_t host_count = zone_count * hosts_per_zone;
    static constexpr std::uint32_t connection_limit = 47;
    static constexpr std::uint32_t slots = 3;
    static constexpr std::size_t max_queued_statements = 24;
    /// A quiet day's arrivals at one of eight groups.
    static constexpr int statements_per_second = 140;
    static constexpr milliseconds network_delay{5};
    static constexpr milliseconds connection_setup_time{12};
    /// Mean of the three kinds of statement.
    static constexpr milliseconds service_time{18};
    static constexpr milliseconds warm_up{2000};
    static constexpr milliseconds measured_time{6000};
    static constexpr milliseconds target_latency{400};

    struct route_kind
    {
        const char* database;
        configuration::read_consistency consistency;
        int write_percent;
        /// Share of all statements.
        int percent;
    };
    inline static const std::vector<route_kind> route_kinds{
        {"return-booking", configuration::read_consistency::primary, 20, 15},
        {"catalogue-browse", configuration::read_consistency::bounded_staleness, 0, 15},
        {"inspection-log", configuration::read_consistency::read_your_writes, 12, 70}};

    struct outcome_counts
    {
        int asked = 0;
        int served_in_target = 0;
        int refused = 0;
        /// Answered `outcome_unknown` or `timed_out` although no server received them.
        int unknown_unsent = 0;
    };

    void grant_connections(bool with_relays)
    {
        configuration::versioned_configuration configuration;
        configuration.version = 1;
        configuration.content.groups[m_group].connections = connection_limit;
        for (const route_kind& kind : route_kinds) {
            configuration::database_route route;
            route.name = route.database = kind.database;
            route.group = m_group;
            route.consistency = kind.consistency;
            route.max_staleness = milliseconds{1500};
            route.statement_timeout = milliseconds{800};
            configuration.content.database_routes.push_back(std::move(route));
        }
        m_directory.configuration = shared_value(configuration);
        m_consensus.current_role = consensus::role::leader;
        m_consensus.term_start_index = m_consensus.commit_index = 1;
        m_consensus.leading_since = m_now;
        for (const char* server : {"first", "second", "third"}) {
            protocol::server_report report;
            report.name = backend_server_name{server};
            report.group = m_group;
            report.address = {"10.0.0.9", 9000};
            report.interface = protocol::server_interface::sessions;
            apply_to_control(supervision::server_report_received{report});
            m_servers[server] = {};
        }
        // Plan and shares settle within a few rounds of lease requests.
        constexpr int lease_rounds = 6;
        for (int round = 1; round <= lease_rounds; ++round) {
            for (std::size_t host = 0; host < host_count; ++host) {
                request_lease(host, static_cast<std::uint64_t>(round), with_relays);
            }
            m_now += milliseconds{400};
            apply_to_control(supervision::timer_expired{});
        }
        for (std::size_t host = 0; host < host_count; ++host) {
            start_host(host, configuration);
        }
    }

    /// Lets callers open sessions for one statement each, at random entry hosts.
    void run_load(int statements_in_a_second = statements_per_second)
    {
        m_statements_per_second = statements_in_a_second;
        const time_point measured_from = m_now + warm_up;
        const time_point end = measured_from + measured_time;
        std::uniform_int_distribution<int> percent(0, 99);
        while (m_now < end) {
            for (int left = arrivals_in_this_step(); left > 0; --left) {
                call(std::uniform_int_distribution<std::size_t>(0, host_count - 1)(m_random),
                     percent(m_random), percent(m_random), m_now >= measured_from);
            }
            advance();
        }
        const time_point drained_at = m_now + milliseconds{1000};
        while (m_now < drained_at) {
            advance();
        }
    }

    outcome_counts totals() const
    {
        outcome_counts total;
        for (const auto& [database, counts] : m_counts) {
            total.asked += counts.asked;
            total.served_in_target += counts.served_in_target;
            total.refused += counts.refused;
            total.unknown_unsent += counts.unknown_unsent;
        }
        return total;
    }

    std::map<std::string, outcome_counts> m_counts;
    std::map<sessions::wait_cause, int> m_wait_causes;

private:
    struct simulated_server
    {
        std::uint32_t connections = 0;
        std::uint32_t busy_slots = 0;
        std::deque<std::function<void()>> queue;
    };

    /// The other end of a connection that an entry host has opened.
    struct connection_end
    {
        std::string server;
        std::size_t relay_host = 0;
        /// Zero for a connection to a server.
        sessions::session_number relay_session = 0;
    };

    struct simulated_host
    {
        sessions::session_state state;
        time_point wake{};
        std::map<sessions::connection_number, connection_end> connections;
    };

    /// The caller, or the connection of another entry host, at which a session's responses arrive.
    struct session_end
    {
        std::function<void()> on_accepted;
        std::function<void(const sessions::statement_response&)> on_response;
    };

    static std::string name_of(std::size_t host) { return fmt::format("entry-{:02}", host); }

    static availability_zone zone_of(std::size_t host)
    {
        return availability_zone{fmt::format("zone-{}", host / hosts_per_zone)};
    }

    void apply_to_control(const supervision::supervision_event& event)
    {
        auto next = supervision::reduce(std::move(m_control), event,
                                        {m_directory, m_consensus, m_now, unix_milliseconds{0}});
        m_control = std::move(next.state);
        for (const auto& effect : next.effects) {
            const auto* sent = std::get_if<supervision::send_to_entry_host>(&effect);
            const auto* grant =
                sent == nullptr ? nullptr : std::get_if<protocol::lease_grant>(&sent->content);
            if (grant != nullptr) {
                m_shares[grant->entry.name.value] = grant->connection_limits;
                if (grant->new_relay_plan) {
                    m_plans[grant->entry.name.value] = *grant->new_relay_plan;
                }
            }
        }
    }

    void request_lease(std::size_t host, std::uint64_t sequence, bool with_relays)
    {
        protocol::lease_request request;
        request.entry = {host_name{name_of(host)}, incarnation_id{"run"}};
        request.zone = zone_of(host);
        request.sequence = sequence;
        request.granted_sequence = sequence - 1;
        request.held_connections = m_shares[name_of(host)];
        request.relay_plan_digest = m_plans[name_of(host)].digest;
        std::optional<std::string> relay;
        if (with_relays) {
            request.relay_address = protocol::endpoint{name_of(host), 7455};
            relay = to_string(*request.relay_address);
        }
        m_directory.entry_hosts = std::move(m_directory.entry_hosts)
                                      .set(request.entry, directory::entry_record{request.zone, relay});
        apply_to_control(supervision::message_received{request.entry.name, request});
        apply_to_control(supervision::command_applied{
            1, directory::admit_entry_host{request.entry, request.zone, relay}, {}, {}});
        m_consensus.heartbeat_round += 1;
        m_consensus.confirmed_heartbeat_round = m_consensus.heartbeat_round;
        apply_to_control(supervision::log_advanced{});
    }

    void start_host(std::size_t host, const configuration::versioned_configuration& configuration)
    {
        sessions::traffic_view view;
        view.lease_until = m_now + milliseconds{600'000};
        view.configuration = shared_value(configuration);
        view.groups[m_group] = {backend_server_name{"first"}, 1, true, false, 0};
        for (const auto& [server, state] : m_servers) {
            const backend_server_name name{server};
            const auto& shares = m_shares[name_of(host)];
            const auto share = shares.find(name);
            view.servers[name] = {m_group,    {server, 1},
                                  zone_of(0), unix_milliseconds{1},
                                  false,      share == shares.end() ? 0 : share->second};
        }
        view.relay_plan = shared_value(m_plans[name_of(host)]);
        m_hosts[host].state.zone = zone_of(host);
        apply(host, sessions::view_published{shared_value(std::move(view))});
    }

    int arrivals_in_this_step()
    {
        m_due_arrivals += m_statements_per_second;
        return static_cast<int>(std::exchange(m_due_arrivals, m_due_arrivals % 1000) / 1000);
    }

    void schedule(milliseconds delay, std::function<void()> action)
    {
        m_actions.emplace(m_now + delay, std::move(action));
    }

    void advance()
    {
        m_now += milliseconds{1};
        while (!m_actions.empty() && m_actions.begin()->first <= m_now) {
            const std::function<void()> action = std::move(m_actions.begin()->second);
            m_actions.erase(m_actions.begin());
            action();
        }
        for (auto& [host, simulated] : m_hosts) {
            if (m_now >= simulated.wake) {
                apply(host, sessions::timer_expired{});
            }
        }
    }

    void call(std::size_t host, int kind_percent, int write_percent, bool is_measured)
    {
        const route_kind* kind = &route_kinds.front();
        for (int limit = kind->percent; kind_percent >= limit; limit += kind->percent) {
            ++kind;
        }
        const bool is_write = write_percent < kind->write_percent;
        const sessions::session_number session = m_next_session++;
        const time_point asked_at = m_now;
        if (is_measured) {
            ++m_counts[kind->database].asked;
        }
        m_sessions[{host, session}] = {
            [this, host, session, is_write] {
                sessions::statement body;
                body.kind = is_write ? sessions::statement_kind::write : sessions::statement_kind::read;
                body.text = is_write ? "WRITE 1 a" : "READ 1";
                apply(host, sessions::statement_received{session, fmt::format("id{}", session), body, {}});
            },
            [=, this](const sessions::statement_response& response) {
                if (is_measured) {
                    outcome_counts& counts = m_counts[kind->database];
                    const bool is_unknown = response.code == response_code::outcome_unknown ||
                                            response.code == response_code::timed_out;
                    const bool is_unsent = !m_received_by_servers.contains(fmt::format("id{}", session));
                    counts.unknown_unsent += is_unknown && is_unsent ? 1 : 0;
                    const bool is_in_target =
                        response.code == response_code::done && m_now - asked_at <= target_latency;
                    counts.served_in_target += is_in_target ? 1 : 0;
                    counts.refused += response.code == response_code::done ? 0 : 1;
                }
                schedule(milliseconds{0},
                         [this, host, session] { apply(host, sessions::session_closed{session}); });
            }};
        apply(host, sessions::session_requested{session, kind->database, false});
    }

    void apply(std::size_t host, sessions::event_payload payload)
    {
        simulated_host& simulated = m_hosts[host];
        sessions::transition next = sessions::reduce(std::move(simulated.state), {m_now, std::move(payload)});
        simulated.state = std::move(next.state);
        simulated.wake = next.next_timer_at;
        for (const sessions::effect& effect : next.effects) {
            std::visit([&](const auto& each) { carry_out(host, each); }, effect);
        }
    }

    template <class Other>
    void carry_out(std::size_t /*host*/, const Other& /*effect*/)
    {
    }

    void carry_out(std::size_t /*host*/, const sessions::record_statement_metrics& effect)
    {
        if (effect.waited_for != sessions::wait_cause::none) {
            ++m_wait_causes[effect.waited_for];
        }
    }

    void carry_out(std::size_t host, const sessions::accept_session& effect)
    {
        const auto accepted = m_sessions.at({host, effect.session}).on_accepted;
        schedule(milliseconds{0}, accepted);
    }

    void carry_out(std::size_t host, const sessions::send_response& effect)
    {
        m_sessions.at({host, effect.session}).on_response(effect.response);
    }

    void carry_out(std::size_t host, const sessions::open_connection& effect)
    {
        if (m_servers.contains(effect.server.value)) {
            open_at_server(host, effect);
            return;
        }
        open_at_relay(host, effect);
    }

    void open_at_server(std::size_t host, const sessions::open_connection& effect)
    {
        schedule(network_delay + connection_setup_time, [this, host, effect] {
            simulated_server& server = m_servers.at(effect.server.value);
            if (server.connections >= connection_limit) {
                apply(host,
                      sessions::connection_refused{effect.connection, response_code::too_many_connections});
                return;
            }
            ++server.connections;
            m_hosts[host].connections[effect.connection] = {effect.server.value, 0, 0};
            apply(host, sessions::connection_opened{effect.connection});
        });
    }

    void open_at_relay(std::size_t host, const sessions::open_connection& effect)
    {
        std::size_t relay = 0;
        while (name_of(relay) != effect.server.value) {
            ++relay;
        }
        const sessions::session_number session = m_next_session++;
        m_hosts[host].connections[effect.connection] = {"", relay, session};
        m_sessions[{relay, session}] = {
            [this, host, effect] {
                schedule(network_delay, [this, host, effect] {
                    apply(host, sessions::connection_opened{effect.connection});
                });
            },
            [this, host, effect](const sessions::statement_response& response) {
                schedule(network_delay, [this, host, effect, response] {
                    apply(host, sessions::response_received{effect.connection, response});
                });
            }};
        schedule(network_delay, [this, relay, session, effect] {
            apply(relay, sessions::session_requested{session, effect.database, true});
        });
    }

    void carry_out(std::size_t host, const sessions::close_connection& effect)
    {
        const auto found = m_hosts[host].connections.find(effect.connection);
        if (found == m_hosts[host].connections.end()) {
            return;
        }
        const connection_end end = found->second;
        m_hosts[host].connections.erase(found);
        schedule(network_delay, [this, end] {
            if (end.relay_session == 0) {
                --m_servers.at(end.server).connections;
            } else {
                apply(end.relay_host, sessions::session_closed{end.relay_session});
            }
        });
    }

    void carry_out(std::size_t host, const sessions::send_statement& effect)
    {
        const connection_end end = m_hosts[host].connections.at(effect.connection);
        schedule(network_delay, [this, host, effect, end] {
            if (end.relay_session != 0) {
                apply(end.relay_host, sessions::statement_received{end.relay_session, effect.id, effect.body,
                                                                   effect.minimum_position, effect.caller,
                                                                   effect.remaining_time});
                return;
            }
            run_at_server(host, effect, end.server);
        });
    }

    void run_at_server(std::size_t host, const sessions::send_statement& effect, const std::string& name)
    {
        simulated_server& server = m_servers.at(name);
        m_received_by_servers.insert(effect.id);
        const auto respond = [this, host, effect](response_code code) {
            sessions::statement_response response{
                {}, code, "", sessions::transaction_state::none, session_token::group_position{1, 100}};
            if (!effect.id.empty()) {
                response.rows = {"row"};
                response.detail = "signature-" + std::to_string(++m_last_signature);
            }
            schedule(network_delay, [this, host, effect, response] {
                apply(host, sessions::response_received{effect.connection, response});
            });
        };
        if (server.queue.size() >= max_queued_statements) {
            respond(response_code::busy);
            return;
        }
        server.queue.push_back([this, &server, respond] {
            schedule(service_time, [this, &server, respond] {
                --server.busy_slots;
                respond(response_code::done);
                start_queued(server);
            });
        });
        start_queued(server);
    }

    static void start_queued(simulated_server& server)
    {
        while (server.busy_slots < slots && !server.queue.empty()) {
            ++server.busy_slots;
            const std::function<void()> start = std::move(server.queue.front());
            server.queue.pop_front();
            start();
        }
    }

    const group_name m_group{"heads-ledger"};
    time_point m_now{milliseconds{100'000}};
    directory::directory_state m_directory;
    consensus::consensus_state m_consensus;
    supervision::supervision_state m_control;
    std::map<std::string, std::map<backend_server_name, std::uint32_t>> m_shares;
    std::map<std::string, protocol::relay_plan> m_plans;
    std::map<std::string, simulated_server> m_servers;
    std::map<std::size_t, simulated_host> m_hosts;
    std::map<std::pair<std::size_t, sessions::session_number>, session_end> m_sessions;
    std::multimap<time_point, std::function<void()>> m_actions;
    sessions::session_number m_next_session = 1;
    std::int64_t m_due_arrivals = 0;
    int m_statements_per_second = 0;
    /// The ids of the callers' statements that reached a server.
    std::set<std::string> m_received_by_servers;
    int m_last_signature = 0;
    std::mt19937 m_random{20261204};
};

TEST_F(more_entry_hosts_than_connections_fixture, statements_of_a_quiet_day_are_served_and_none_is_refused)
{
    grant_connections(true);
    run_load();
    for (const route_kind& kind : route_kinds) {
        const outcome_counts& counts = m_counts[kind.database];
        EXPECT_GT(counts.asked, 0) << kind.database;
        EXPECT_EQ(counts.refused, 0) << kind.database;
        EXPECT_EQ(counts.served_in_target, counts.asked) << kind.database;
    }
}

TEST_F(more_entry_hosts_than_connections_fixture, refusals_without_relays_name_the_missing_connection)
{
    grant_connections(false);
    run_load();
    EXPECT_GT(totals().refused, 0);
    ASSERT_FALSE(m_wait_causes.empty());
    EXPECT_GT(m_wait_causes[sessions::wait_cause::no_connection_granted], 0);
}

/// A caller can't retry safely after such an answer.
TEST_F(more_entry_hosts_than_connections_fixture,
       no_statement_that_reached_no_server_has_an_unknown_outcome_in_an_overload)
{
    grant_connections(true);
    run_load(6 * statements_per_second);
    EXPECT_GT(totals().refused, 0);
    EXPECT_EQ(totals().unknown_unsent, 0) << "of " << totals().asked;
}

} // namespace
} // namespace hickorymount::gateway

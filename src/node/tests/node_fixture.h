#pragma once

#include "database/reduce.h"
#include "node/reduce.h"
#include "routing/read_policy.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::node {

/// Runs the reducers of several hosts in one thread on simulated time, in steps of `step_duration`. Disks,
/// links and backend servers are simulated; a test causes their faults by name.
class node_fixture : public ::testing::Test
{
protected:
    static constexpr milliseconds step_duration{5};

    void start_control_hosts(int count);
    /// Starts another control host with an empty data folder and the others as contacts.
    void add_control_host(const std::string& name);
    void start_entry_hosts(int count);
    void start_entry_host(const std::string& name);
    /// Starts one primary (GROUP-1) and `replicas` replicas (GROUP-2 and so on).
    void start_group(const std::string& group, int replicas, milliseconds lag = milliseconds{0});
    /// Starts three control hosts, two entry hosts and a group of three servers, and waits until the
    /// configuration is in force and both entry hosts serve the group.
    void start_deployment(milliseconds lag = milliseconds{0});

    static configuration::configuration default_configuration();

    /// Advances the simulated time.
    void advance(milliseconds duration);
    /// Advances the simulated time until the condition holds. Returns false if it does not hold within
    /// `limit`.
    bool advance_until(const std::function<bool()>& condition, milliseconds limit = milliseconds{5000});

    void disconnect(const std::string& first, const std::string& second)
    {
        m_disconnected_links.insert(link_between(first, second));
    }
    void reconnect(const std::string& first, const std::string& second)
    {
        m_disconnected_links.erase(link_between(first, second));
    }
    /// Disconnects a host from all hosts and servers whose names begin with `prefix`.
    void isolate(const std::string& host, const std::string& prefix = "");
    /// Reconnects a host with all others.
    void restore_links(const std::string& host);
    /// Ends the process. Writes that were not synced are lost.
    void kill(const std::string& host);
    void restart(const std::string& host);
    /// Stops the process as SIGSTOP does; messages to it wait.
    void suspend(const std::string& host) { m_suspended.insert(host); }
    void resume(const std::string& host) { m_suspended.erase(host); }
    /// Lets no sync of the host complete before `unblock_syncs`.
    void block_syncs(const std::string& host) { m_hosts_with_blocked_syncs.insert(host); }
    void unblock_syncs(const std::string& host) { m_hosts_with_blocked_syncs.erase(host); }
    /// Replaces the data folder by an empty one with a new identity.
    void wipe_disk(const std::string& host);
    /// Delays each message between hosts by a random time up to `max_delay`; a link keeps its messages in
    /// order.
    void set_max_link_delay(milliseconds max_delay) { m_max_link_delay = max_delay; }
    /// Limits the bytes per second that reach the host from all others; messages wait in order.
    void set_link_rate(const std::string& host, std::int64_t bytes_per_second)
    {
        m_link_rates[host] = bytes_per_second;
    }
    /// Longest time that a message has waited for the host's link since the start.
    [[nodiscard]] milliseconds longest_link_wait(const std::string& host) const
    {
        const auto found = m_longest_link_waits.find(host);
        return found == m_longest_link_waits.end() ? milliseconds{0} : found->second;
    }
    /// Sets the data folder of a killed host, including its identity.
    void set_disk(const std::string& host, consensus::stored_state stored);
    /// Lets the host's clock gain this many milliseconds per second; negative values let it lose.
    void set_clock_rate(const std::string& host, int rate_offset_per_mille);
    [[nodiscard]] time_point clock_of(const std::string& host) const;

    /// Delivers a request of a caller to an entry host. Returns the number of the request, as do the
    /// shorthands below.
    std::uint64_t send_request(const std::string& entry, routing::caller_request request);
    std::uint64_t write(const std::string& entry, const std::string& statement,
                        const std::string& request_class = "log");
    std::uint64_t read(const std::string& entry, const std::string& key,
                       const session_token::token& token = {});
    /// Writes in the class `booking`, whose requests need a request key.
    std::uint64_t write_with_key(const std::string& entry, const std::string& statement,
                                 const std::string& key);
    /// Waits for the outcome that the caller gets.
    routing::caller_outcome wait_for_outcome(std::uint64_t request,
                                             milliseconds limit = milliseconds{10'000});
    /// Delivers a report of the traffic thread to an entry host.
    void report_traffic(const std::string& entry, routing::traffic_reported report)
    {
        deliver(entry, routing::entry_event_payload(std::move(report)));
    }
    [[nodiscard]] bool has_outcome(std::uint64_t request) const { return m_outcomes.contains(request); }

    /// Lets an entry host finish the requests in flight and refuse new ones.
    void drain(const std::string& entry);
    [[nodiscard]] bool is_drained(const std::string& entry) const { return m_drained.contains(entry); }
    [[nodiscard]] bool is_host_up(const std::string& host) const
    {
        const auto found = m_hosts.find(host);
        return found != m_hosts.end() && found->second.is_up;
    }

    std::uint64_t change_configuration(const std::string& control, const std::string& id, std::uint64_t base,
                                       configuration::configuration content);
    std::optional<supervision::operator_response> operator_answer(std::uint64_t request) const;
    void send_operator_request(const std::string& control, control_event_payload event);

    /// Name of the leading control host, empty if there is none.
    [[nodiscard]] std::string leader() const;
    [[nodiscard]] const control_state& control_state_of(const std::string& host) const;
    [[nodiscard]] const routing::entry_state& entry_state_of(const std::string& host) const;
    database::database_state& backend_state_of(const std::string& name) { return m_backends.at(name).state; }
    /// Primary in the view of the leader, empty unless the term is open.
    [[nodiscard]] std::string primary_of(const std::string& group) const;
    /// Term in the view of the leader, zero unless it is open.
    [[nodiscard]] std::uint64_t term_of(const std::string& group) const;
    /// Number of changes of the key in the server's log.
    [[nodiscard]] int count_records(const std::string& server, const std::string& key) const;
    [[nodiscard]] time_point now() const { return m_now; }
    [[nodiscard]] int statements_sent() const { return m_statements_sent; }

    /// Called for each message between hosts; drops the message by returning false.
    std::function<bool(const std::string& from, const std::string& to, const protocol::message&)>
        message_filter;
    /// Called for each answer of a backend server; drops the answer by returning false.
    std::function<bool(const std::string& server, const database::database_response&)> answer_filter;

    /// Promotes a backend server without the control hosts, as another program may do.
    void promote_without_control(const std::string& server, std::uint64_t term)
    {
        reduce_backend_event(server, database::promotion_requested{0, {term}});
    }

    void set_faults(const std::string& server, const database::fault_settings& faults);

private:
    struct fake_disk
    {
        consensus::stored_state durable;
        std::vector<control_effect> unsynced_writes;
    };

    struct fake_host
    {
        node_state state;
        bool is_up = false;
        time_point next_timer_at{};
        std::deque<node_event_payload> inbox;
        int incarnation = 0;
    };

    struct fake_backend
    {
        database::database_state state;
        bool is_up = false;
        time_point next_timer_at{};
        time_point next_report_at{};
        std::size_t next_entry_host = 0;
    };

    struct drifting_clock
    {
        /// True time and reading of the clock when its rate was set.
        time_point set_at{};
        time_point reading{};
        int rate_offset_per_mille = 0;
    };

    struct open_connection
    {
        std::string entry;
        std::string server;
    };

    static std::pair<std::string, std::string> link_between(const std::string& first,
                                                            const std::string& second);
    [[nodiscard]] bool is_linked(const std::string& first, const std::string& second) const;
    [[nodiscard]] bool is_running(const std::string& name) const;
    void schedule(milliseconds delay, std::function<void()> action);
    void deliver(const std::string& host, node_event_payload event);
    void reduce_event(const std::string& host, const node_event_payload& event);
    void carry_out(const std::string& host, control_effect&& effect);
    void carry_out(const std::string& host, routing::entry_effect&& effect);
    void send(const std::string& from, const std::string& to, const protocol::message& content);
    /// Time at which the last byte of the message passes the link of `to`.
    time_point pass_link(const std::string& to, const protocol::message& content);
    void finish_syncs(const std::string& host);
    void reduce_backend_event(const std::string& server, const database::database_event_payload& event);
    void schedule_answer(const std::string& server, const database::send_response& effect);
    void run_statement(const std::string& entry, const routing::run_statement& run);
    void send_report(const std::string& server);
    void replicate_from_primary(const std::string& server);
    std::uint64_t register_call(std::function<void(const database::database_response&)> on_answer);

    time_point m_now{milliseconds{1'000'000}};
    unix_milliseconds m_wall{1'764'000'000'000};
    std::map<std::string, fake_host> m_hosts;
    std::map<std::string, fake_disk> m_disks;
    std::map<std::string, fake_backend> m_backends;
    std::set<std::pair<std::string, std::string>> m_disconnected_links;
    std::set<std::string> m_suspended;
    std::set<std::string> m_hosts_with_blocked_syncs;
    std::set<std::string> m_drained;
    std::map<std::string, drifting_clock> m_clocks;
    std::multimap<time_point, std::function<void()>> m_scheduled_actions;
    std::map<std::uint64_t, routing::caller_outcome> m_outcomes;
    std::map<std::uint64_t, supervision::operator_response> m_operator_answers;
    std::map<std::pair<std::string, routing::connection_number>, open_connection> m_connections;
    std::map<std::uint64_t, std::function<void(const database::database_response&)>> m_pending_calls;
    /// Called when a connection is lost with its backend server; fails the statement that runs on it.
    std::map<std::pair<std::string, routing::connection_number>, std::function<void()>>
        m_connection_loss_handlers;
    milliseconds m_max_link_delay{0};
    std::map<std::pair<std::string, std::string>, time_point> m_last_arrival;
    std::map<std::string, std::int64_t> m_link_rates;
    /// Time at which each limited link has passed all messages sent so far.
    std::map<std::string, time_point> m_link_free_at;
    std::map<std::string, milliseconds> m_longest_link_waits;
    std::minstd_rand m_random_engine{20261204};
    std::uint64_t m_next_id = 1;
    std::uint64_t m_next_identity = 1;
    /// Seeds must differ between hosts, so that elections end.
    std::uint32_t m_next_seed = 1;
    int m_statements_sent = 0;
    routing::prefer_replica_policy m_policy;
};

} // namespace hickorymount::node

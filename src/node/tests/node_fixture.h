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

/// Hands the effects of a few reducers to one another, in steps of fixed time. Disks, links and backend
/// servers are small fakes that a test breaks by name.
class node_fixture : public ::testing::Test
{
protected:
    static constexpr milliseconds step_time{5};

    void start_control_hosts(int count);
    /// One more, with an empty folder, that knows the others.
    void add_control_host(const std::string& name);
    void start_entry_hosts(int count);
    void start_entry_host(const std::string& name);
    /// One primary and `replicas` replicas, named GROUP-1 and so on.
    void start_group(const std::string& group, int replicas, milliseconds lag = milliseconds{0});
    /// Three control hosts, two entry hosts, one group of three and a configuration in force.
    void start_all(milliseconds lag = milliseconds{0});

    static configuration::configuration default_configuration();

    /// Lets time pass.
    void pass(milliseconds duration);
    /// Lets time pass until the condition holds; false when it does not within `limit`.
    bool pass_until(const std::function<bool()>& condition, milliseconds limit = milliseconds{5000});

    void cut(const std::string& one, const std::string& other) { m_cuts.insert(ordered(one, other)); }
    void heal(const std::string& one, const std::string& other) { m_cuts.erase(ordered(one, other)); }
    /// Cuts a host from all others, or from all whose names begin with `prefix`.
    void isolate(const std::string& host, const std::string& prefix = "");
    void rejoin(const std::string& host);
    /// The process ends; writes that were not synced are lost.
    void kill(const std::string& host);
    void restart(const std::string& host);
    /// The process stands still; messages to it wait.
    void freeze(const std::string& host) { m_frozen.insert(host); }
    void thaw(const std::string& host) { m_frozen.erase(host); }
    /// Syncs of the host take until `release_syncs`.
    void hold_syncs(const std::string& host) { m_held_syncs.insert(host); }
    void release_syncs(const std::string& host) { m_held_syncs.erase(host); }
    void lose_disk(const std::string& host);
    /// Messages between hosts take a random time up to `most`, in order on each link.
    void set_link_delay(milliseconds most) { m_most_delay = most; }
    /// Gives the data folder of a killed host back as it was, identity included.
    void set_disk(const std::string& host, consensus::stored_state stored);
    /// The host's clock runs this many parts in a thousand faster than true time.
    void set_clock_rate(const std::string& host, int per_mille);
    [[nodiscard]] time_point clock_of(const std::string& host) const;

    std::uint64_t ask(const std::string& entry, routing::caller_request request);
    std::uint64_t write(const std::string& entry, const std::string& statement,
                        const std::string& class_name = "log");
    std::uint64_t read(const std::string& entry, const std::string& key, const session::token& token = {});
    std::uint64_t book(const std::string& entry, const std::string& statement, const std::string& key);
    /// The caller's outcome, waited for.
    routing::caller_outcome outcome(std::uint64_t request, milliseconds limit = milliseconds{10'000});
    [[nodiscard]] bool has_outcome(std::uint64_t request) const { return m_outcomes.contains(request); }

    /// Tells an entry host to finish what is in flight and to take nothing new.
    void drain(const std::string& entry);
    [[nodiscard]] bool is_drained(const std::string& entry) const { return m_drained.contains(entry); }
    [[nodiscard]] bool is_started(const std::string& host) const
    {
        const auto found = m_hosts.find(host);
        return found != m_hosts.end() && found->second.is_up;
    }

    std::uint64_t change_configuration(const std::string& control, const std::string& id, std::uint64_t base,
                                       configuration::configuration content);
    std::optional<supervision::operator_answer> operator_answer(std::uint64_t request) const;
    void ask_operator(const std::string& control, control_event_kind what);

    [[nodiscard]] std::string leader() const;
    [[nodiscard]] const control_state& control(const std::string& host) const;
    [[nodiscard]] const routing::entry_state& entry(const std::string& host) const;
    database::database_state& backend(const std::string& name) { return m_backends.at(name).state; }
    [[nodiscard]] std::string primary_of(const std::string& group) const;
    [[nodiscard]] std::uint64_t term_of(const std::string& group) const;
    /// How often the records of all servers of the final history hold the value under the key.
    [[nodiscard]] int count_records(const std::string& server, const std::string& key) const;
    [[nodiscard]] time_point now() const { return m_now; }
    [[nodiscard]] int statements_sent() const { return m_statements_sent; }

    /// Inspects, changes or drops (by returning false) each message.
    std::function<bool(const std::string& from, const std::string& to, const protocol::message&)>
        message_filter;
    /// The same for answers of backend servers to statements.
    std::function<bool(const std::string& server, const database::database_answer&)> answer_filter;

    /// Somebody else promotes a backend server.
    void promote_directly(const std::string& server, std::uint64_t term)
    {
        run_backend(server, database::promote_asked{0, {term}});
    }

    void set_faults(const std::string& server, const database::fault_settings& faults);

private:
    struct fake_disk
    {
        consensus::stored_state durable;
        std::vector<control_effect> unsynced;
    };

    struct fake_host
    {
        node_state state;
        bool is_up = false;
        time_point wake_at{};
        std::deque<node_event_kind> inbox;
        int incarnation = 0;
    };

    struct fake_backend
    {
        database::database_state state;
        bool is_up = false;
        time_point wake_at{};
        time_point announce_at{};
        std::size_t next_entry = 0;
    };

    struct drifting_clock
    {
        time_point set_at{};
        time_point reading{};
        int per_mille = 0;
    };

    struct open_connection
    {
        std::string entry;
        std::string server;
    };

    static std::pair<std::string, std::string> ordered(const std::string& one, const std::string& other);
    [[nodiscard]] bool is_linked(const std::string& one, const std::string& other) const;
    [[nodiscard]] bool is_running(const std::string& name) const;
    void later(milliseconds delay, std::function<void()> action);
    void deliver(const std::string& host, node_event_kind what);
    void reduce_at(const std::string& host, const node_event_kind& what);
    void carry_out(const std::string& host, control_effect&& effect);
    void carry_out(const std::string& host, routing::entry_effect&& effect);
    void send(const std::string& from, const std::string& to, const protocol::message& content);
    void finish_syncs(const std::string& host);
    void run_backend(const std::string& server, const database::database_event_kind& what);
    void answer(const std::string& server, const database::answer_call& answered);
    void run_statement(const std::string& entry, const routing::run_statement& run);
    void announce(const std::string& server);
    void replicate(const std::string& server);
    std::uint64_t call(std::function<void(const database::database_answer&)> on_answer);

    time_point m_now{milliseconds{1'000'000}};
    unix_milliseconds m_wall{1'764'000'000'000};
    std::map<std::string, fake_host> m_hosts;
    std::map<std::string, fake_disk> m_disks;
    std::map<std::string, fake_backend> m_backends;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::set<std::string> m_frozen;
    std::set<std::string> m_held_syncs;
    std::set<std::string> m_drained;
    std::map<std::string, drifting_clock> m_clocks;
    std::multimap<time_point, std::function<void()>> m_later;
    std::map<std::uint64_t, routing::caller_outcome> m_outcomes;
    std::map<std::uint64_t, supervision::operator_answer> m_operator_answers;
    std::map<std::pair<std::string, routing::connection_number>, open_connection> m_connections;
    std::map<std::uint64_t, std::function<void(const database::database_answer&)>> m_calls;
    /// What a dead backend server's connections do to the statements on them.
    std::map<std::pair<std::string, routing::connection_number>, std::function<void()>> m_statements;
    milliseconds m_most_delay{0};
    std::map<std::pair<std::string, std::string>, time_point> m_last_arrival;
    std::minstd_rand m_random{20261204};
    std::uint64_t m_next = 1;
    std::uint64_t m_next_identity = 1;
    /// Elections need hosts whose random numbers differ.
    std::uint32_t m_next_seed = 1;
    int m_statements_sent = 0;
    routing::position_policy m_policy;
};

} // namespace hickorymount::node

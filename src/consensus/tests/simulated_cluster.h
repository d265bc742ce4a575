#pragma once

#include "consensus/reduce.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hickorymount::consensus {

/// Control hosts that run the reducer of this module alone, on simulated time. Messages take `link_delay`;
/// writes are durable at once.
class simulated_cluster
{
public:
    static constexpr milliseconds step_duration{10};
    static constexpr milliseconds link_delay{10};

    void start_founders(const std::vector<std::string>& names);
    /// Starts a host with an empty data folder and all others as contacts.
    void add_host(const std::string& name);
    void kill(const std::string& name) { m_hosts.at(name).is_up = false; }
    /// Starts a killed host again with its data folder.
    void restart(const std::string& name);
    /// Stops the process as SIGSTOP does; messages to it are lost.
    void suspend(const std::string& name) { m_hosts.at(name).is_up = false; }
    void resume(const std::string& name) { m_hosts.at(name).is_up = true; }
    /// Replaces the data folder of a killed host by an empty one with a new identity.
    void wipe(const std::string& name);
    void advance(milliseconds duration);

    /// Proposes an entry to the leader; false without a leader.
    bool propose();
    /// The only host that leads in the newest term, and has committed an entry of it.
    [[nodiscard]] std::optional<std::string> leader() const;
    [[nodiscard]] const consensus_state& state_of(const std::string& name) const
    {
        return m_hosts.at(name).state;
    }
    /// The names of the voters that the leader knows; empty without a leader or during a joint membership.
    [[nodiscard]] std::set<std::string> voters() const;
    /// The largest number of hosts, suspended ones included, that were certain to lead at the same time.
    [[nodiscard]] std::size_t most_certain_leaders() const { return m_most_certain_leaders; }
    [[nodiscard]] time_point now() const { return m_now; }
    /// Entries that differ from another host's committed entry at the same index, over the whole run.
    [[nodiscard]] const std::vector<std::string>& conflicts() const { return m_conflicts; }

    void apply_event(const std::string& name, event_payload payload);

private:
    struct host
    {
        consensus_state state;
        stored_state stored;
        bool is_up = false;
        time_point next_timer_at{};
    };
    struct message_in_transit
    {
        time_point arrives_at{};
        std::string sender;
        std::string recipient;
        message content;
    };

    void start(const std::string& name);
    void execute(const std::string& name, const effect& each);
    void store(host& target, const persist_log& write);

    time_point m_now{milliseconds{100'000}};
    std::map<std::string, host> m_hosts;
    std::deque<message_in_transit> m_messages;
    std::map<log_index, log_term> m_committed_terms;
    std::vector<std::string> m_conflicts;
    std::size_t m_most_certain_leaders = 0;
    std::uint32_t m_next_seed = 1;
    int m_next_identity = 1;
};

} // namespace hickorymount::consensus

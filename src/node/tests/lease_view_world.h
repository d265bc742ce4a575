#pragma once

#include "base/shared_value.h"
#include "directory/types.h"
#include "protocol/types.h"
#include "routing/types.h"
#include "sessions/traffic_view.h"
#include "supervision/types.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hickorymount::node {

/// The leading control host. A proposed command is committed and applied at once.
struct control_side
{
    directory::directory_state directory;
    supervision::supervision_state supervision;
    consensus::log_index commit_index = 0;
    time_point leading_since{};

    friend bool operator==(const control_side&, const control_side&) = default;
};

/// An entry host and its link to control. Its traffic thread sees each closed term at once.
struct entry_side
{
    routing::entry_state routing;
    time_point next_timer_at{};
    /// The closed terms that the traffic thread has reported last.
    std::map<group_name, routing::group_term> reported_closed_terms;
    bool is_connected = true;
    /// Messages in transit, in the order of their arrival.
    std::vector<protocol::message> to_control;
    std::vector<protocol::message> to_entry;

    friend bool operator==(const entry_side&, const entry_side&) = default;
};

enum class world_step_kind
{
    /// The next message of the link arrives.
    deliver_to_control,
    deliver_to_entry,
    /// The connection closes, and all messages in transit are lost.
    disconnect,
    connect,
    /// One renewal interval passes without a delivery.
    pass_renewal,
    /// Time passes without a delivery until a lease ends at an entry host or at control.
    pass_lease_end,
    /// Longer than a lease passes, with each message delivered at once.
    pass_lease_with_deliveries,
    close_term,
    open_term,
    /// A leader that has heard no entry host yet takes over with the same directory.
    change_leader
};

struct world_step
{
    world_step_kind kind = world_step_kind::pass_renewal;
    /// The entry host whose link the step affects, for the first four kinds.
    std::size_t entry = 0;

    friend bool operator==(const world_step&, const world_step&) = default;
};

/// How often each kind of step may still occur, and which links may fail.
struct step_budget
{
    int disconnects = 0;
    int closed_terms = 0;
    int leader_changes = 0;
    int renewals = 0;
    int lease_ends = 0;
    int passed_leases = 0;
    /// Each message between control and the second entry host is delivered at once, and its connection never
    /// closes.
    bool is_second_prompt = false;

    friend bool operator==(const step_budget&, const step_budget&) = default;
};

/// Gives equal parts of worlds one object, so that many worlds fit into memory and are compared quickly.
template <class Part>
class part_pool
{
public:
    shared_value<Part> pooled(const shared_value<Part>& part, std::size_t hash)
    {
        auto& known = m_parts[hash];
        for (const shared_value<Part>& each : known) {
            if (each == part) {
                return each;
            }
        }
        return known.emplace_back(part);
    }

private:
    std::unordered_map<std::size_t, std::vector<shared_value<Part>>> m_parts;
};

struct world_pools
{
    part_pool<control_side> controls;
    part_pool<entry_side> entries;
};

/// One control leader, two entry hosts and one group of two servers with the session interface. The clocks
/// of all hosts agree. Copies are cheap.
class lease_view_world
{
public:
    static constexpr std::size_t entry_count = 2;

    /// Both entry hosts have a lease and the view with the open term 1, and no message is in transit.
    explicit lease_view_world(const step_budget& budget);

    /// The steps that may come next. Of two sequences that differ in the names of the entry hosts only, one
    /// is left out: the first connection to close is the one of the first entry host.
    [[nodiscard]] std::vector<world_step> possible_steps() const;
    void apply(const world_step& step);
    /// The step in words, with the type of the message that it delivers.
    [[nodiscard]] std::string describe(const world_step& step) const;

    /// What is wrong with the primaries that the entry hosts may use now or were able to use during the last
    /// step; empty if nothing is.
    [[nodiscard]] const std::string& violation() const { return m_violation; }
    /// The group as this entry host's traffic thread sees it; empty unless it may use the primary.
    [[nodiscard]] std::optional<sessions::group_view> usable_primary(std::size_t entry) const;
    /// True if the entry host has a valid lease and the group's newest record.
    [[nodiscard]] bool is_up_to_date(std::size_t entry) const;
    [[nodiscard]] const directory::group_record& record() const;
    [[nodiscard]] time_point now() const { return m_now; }

    /// Connects all entry hosts, and lets renewal intervals pass with each message delivered at once until
    /// all are up to date. Returns the number of intervals; `limit` if that is not enough.
    int recover(int limit);

    void use_pools(world_pools& pools);
    [[nodiscard]] std::size_t hash() const;

    friend bool operator==(const lease_view_world& left, const lease_view_world& right)
    {
        return left.m_now == right.m_now && left.m_budget == right.m_budget &&
               left.m_has_disconnected == right.m_has_disconnected && left.m_control == right.m_control &&
               left.m_entries == right.m_entries;
    }

private:
    void carry_out(const world_step& step);
    void run_control(const supervision::supervision_event& event);
    void commit(const directory::command& command);
    void send_to_entry(std::size_t entry, const protocol::message& content);
    void run_entry(std::size_t entry, routing::entry_event_payload event);
    void report_closed_terms(std::size_t entry);
    void deliver_to_control(std::size_t entry);
    void deliver_to_entry(std::size_t entry);
    void deliver_all();
    /// Returns false if no message is in transit.
    bool deliver_all_of(std::size_t entry);
    void disconnect(std::size_t entry);
    void connect(std::size_t entry);
    void pass_time(time_point until);
    void pass_lease_with_deliveries();
    void open_next_term();
    [[nodiscard]] std::optional<time_point> next_lease_end() const;
    [[nodiscard]] bool may_open_term() const;
    void check_primaries();

    time_point m_now{};
    step_budget m_budget;
    bool m_has_disconnected = false;
    shared_value<control_side> m_control;
    std::array<shared_value<entry_side>, entry_count> m_entries;
    std::string m_violation;
};

} // namespace hickorymount::node

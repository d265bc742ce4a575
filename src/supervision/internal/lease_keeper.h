#pragma once

#include "supervision/internal/connection_shares.h"
#include "supervision/internal/supervision_step.h"

#include <set>

namespace hickorymount::supervision::detail {

/// Grants leases, with shares of connections, to entry hosts, and forgets entry hosts that are gone.
class lease_keeper
{
public:
    explicit lease_keeper(supervision_step& step);

    void start_leading();
    void handle(const host_name& from, const protocol::lease_request& request);
    void handle(const protocol::lease_return& returned);
    void handle(const directory::admit_entry_host& admitted);
    void handle(const directory::dismiss_entry_host& dismissed);

    /// Answers the requests that a majority has confirmed by now.
    void issue_due_grants();
    void dismiss_expired();

    /// Chooses anew which entry hosts open connections to each group's servers.
    void plan_relays();

    /// Processes that may hold a lease now.
    [[nodiscard]] std::set<entry_key> leased() const;

    /// Entry hosts that hold a lease and were heard under this leader, most recently heard first.
    [[nodiscard]] std::vector<host_name> live_hosts() const;

    /// Those of them that open connections to the group's servers: what the others say of a server is
    /// hearsay, and a probe by each of them would take connections that it has to spare.
    [[nodiscard]] std::vector<host_name> hosts_before(const group_name& group) const;

private:
    void note_replaced(const entry_key& newest);
    void issue(const pending_grant& pending);
    [[nodiscard]] bool is_update_under_way(const entry_status& to, protocol::view_revision known) const;
    void send_view(const host_name& to);
    void send_servers(const host_name& to);
    [[nodiscard]] std::uint64_t servers_digest() const;
    [[nodiscard]] bool is_held_back(const entry_key& entry) const;

    supervision_step& m_step;
    connection_shares m_shares;
};

} // namespace hickorymount::supervision::detail

#pragma once

#include "supervision/internal/connection_allocator.h"
#include "supervision/internal/relay_planner.h"
#include "supervision/internal/supervision_context.h"

#include <set>

namespace hickorymount::supervision::detail {

/// Grants leases with connection shares to entry hosts, and dismisses entry hosts whose leases have expired.
class lease_manager
{
public:
    explicit lease_manager(supervision_context& context);

    /// Loads the admitted entry hosts from the directory.
    void start_leading();
    void handle(const host_name& from, const protocol::lease_request& request);
    void handle(const protocol::lease_release& returned);
    void handle(const directory::admit_entry_host& admitted);
    void handle(const directory::dismiss_entry_host& dismissed);

    /// Answers the lease requests for which a majority has confirmed the leader since their arrival. Returns
    /// true if it has granted a lease.
    bool answer_confirmed_requests();
    void dismiss_expired_entries();

    /// Records that an update of the view was sent to all entry hosts. Those that have `from_revision`, or
    /// get it from a message in transit, will apply the update; the others need the complete view.
    void record_view_update(protocol::view_revision from_revision, protocol::view_revision to_revision);

    /// Selects the entry hosts that open connections to each group's servers.
    void update_relay_plan();

    /// Processes that may currently hold a lease.
    [[nodiscard]] std::set<entry_process_id> leased_entries() const;

    /// Processes that may have held a lease and hold none now.
    [[nodiscard]] std::set<entry_process_id> expired_entries() const;

    /// Entry hosts with a lease that have sent a lease request to this leader, most recent first.
    [[nodiscard]] std::vector<host_name> live_hosts() const;

    /// The live hosts that open connections to the group's servers, or all live hosts without such a host.
    /// Other hosts know a server only through relays, and their probes would use the few connections to the
    /// server.
    [[nodiscard]] std::vector<host_name> hosts_connected_to(const group_name& group) const;

private:
    void mark_replaced_entries(const entry_process_id& newest);
    [[nodiscard]] bool may_be_granted(const entry_process_id& entry) const;
    void grant_lease(const pending_lease_request& pending);
    [[nodiscard]] relay_choice relay_choice_for_configuration() const;
    /// Adds the quotas of the customers that the request names.
    void grant_quotas(protocol::lease_grant& grant, const protocol::lease_request& request);
    [[nodiscard]] milliseconds limit_window() const { return m_context.inputs.limit_bounds.window; }
    /// Records what the entry host has applied, and which documents are no longer in transit.
    void record_applied(entry_status& status, const protocol::lease_request& request);
    /// Logs the grant of a lease to a host that had none, with the revisions that decide what is sent along.
    void log_regained_lease(const entry_process_id& entry, const entry_status& status,
                            const protocol::lease_request& request);
    [[nodiscard]] bool is_view_in_transit(const entry_status& status) const;
    void send_view(const host_name& entry_host);
    void send_servers(const host_name& entry_host);
    /// Hash of all server reports; an entry host with another hash gets the reports again.
    [[nodiscard]] std::uint64_t servers_digest() const;
    /// True while a term is closed and the entry host has not confirmed it: a new lease would prolong the
    /// term.
    [[nodiscard]] bool is_lease_withheld(const entry_process_id& entry) const;

    supervision_context& m_context;
    connection_allocator m_connections;
};

} // namespace hickorymount::supervision::detail

#pragma once

#include "supervision/internal/supervision_context.h"

#include <cstdint>
#include <map>

namespace hickorymount::supervision::detail {

/// Divides the connections of each backend server among the entry hosts. The sum of granted and held
/// connections stays within the group's limit, also when all entry hosts want more at once. Processes that
/// ended without returning their lease stop counting when the lease expires or a newer process replaces them.
class connection_allocator
{
public:
    explicit connection_allocator(supervision_context& context);

    /// Records the connections that the entry host holds and wants.
    void record_request(const protocol::lease_request& request);
    void record_grant(const protocol::lease_request& request,
                      const std::map<backend_server_name, std::uint32_t>& shares);
    void remove_entry(const entry_process_id& entry);

    /// Returns the share for each server to which the entry host may open connections.
    [[nodiscard]] std::map<backend_server_name, std::uint32_t>
    shares_for(const protocol::lease_request& request) const;

    /// True when the entry host may open connections to the group's servers. Without a relay plan for the
    /// group, each entry host may.
    [[nodiscard]] bool holds_connections(const group_name& group, const host_name& entry_host) const;

private:
    [[nodiscard]] std::uint32_t share_for(const protocol::lease_request& request,
                                          const protocol::server_report& report,
                                          std::uint32_t connection_limit) const;
    [[nodiscard]] bool is_live(const entry_process_id& entry) const;
    /// Number of entry hosts that may open connections to the group's servers, including `requester`.
    [[nodiscard]] std::uint32_t holder_count(const group_name& group,
                                             const entry_process_id& requester) const;
    /// Number of other such entry hosts that have not sent a lease request to this leader.
    [[nodiscard]] std::uint32_t unheard_holder_count(const group_name& group,
                                                     const entry_process_id& requester) const;

    supervision_context& m_context;
};

} // namespace hickorymount::supervision::detail

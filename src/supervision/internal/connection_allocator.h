#pragma once

#include "supervision/internal/supervision_context.h"

#include <cstdint>
#include <map>
#include <optional>

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
    /// The connections that a host shares with others: all of a server, or those of one side of a
    /// `region_split`.
    struct connection_part
    {
        std::uint32_t limit = 0;
        std::uint32_t holders = 0;
        /// Set if only hosts inside the server's region, or only those outside, share the part.
        std::optional<bool> is_near;
        availability_zone server_zone;
    };

    [[nodiscard]] connection_part part_for(const protocol::lease_request& request,
                                           const protocol::server_report& report, std::uint32_t limit) const;
    /// True if a host of the zone may hold connections of the part. Hosts of unknown region count for both.
    [[nodiscard]] bool shares(const connection_part& part, const availability_zone& zone) const;
    /// True if the zone is in the region of the server's zone; nothing if regions don't matter or are not
    /// known.
    [[nodiscard]] std::optional<bool> is_near(const availability_zone& zone,
                                              const availability_zone& server_zone) const;
    /// Number of entry hosts that may open connections to the group's servers, including `requester`.
    [[nodiscard]] std::uint32_t holder_count(const group_name& group,
                                             const entry_process_id& requester) const;
    /// Number of other such entry hosts that share the part and have not sent a lease request to this leader.
    [[nodiscard]] std::uint32_t unheard_holder_count(const group_name& group,
                                                     const entry_process_id& requester,
                                                     const connection_part& part) const;

    supervision_context& m_context;
};

} // namespace hickorymount::supervision::detail

#pragma once

#include "supervision/internal/supervision_step.h"

#include <cstdint>
#include <map>

namespace hickorymount::supervision::detail {

/// Shares the connections that a backend server takes among the entry hosts. Answers to: all of them wanting
/// more at once, and processes that ended without a word. The sum of what is granted and held stays within
/// the limit.
class connection_shares
{
public:
    explicit connection_shares(supervision_step& step);

    /// Takes what the entry host says that it holds and could use.
    void note_request(const protocol::lease_request& request);
    void note_granted(const protocol::lease_request& request,
                      const std::map<backend_server_name, std::uint32_t>& shares);
    void forget(const entry_key& entry);

    /// Of the servers before which the entry host may open connections.
    [[nodiscard]] std::map<backend_server_name, std::uint32_t>
    shares_for(const protocol::lease_request& request) const;

    /// True when the entry host may open connections to the group's servers; without a plan, each may.
    [[nodiscard]] bool holds_connections(const group_name& group, const host_name& entry) const;

private:
    [[nodiscard]] std::uint32_t share_for(const protocol::lease_request& request,
                                          const protocol::server_report& report,
                                          std::uint32_t connections) const;
    [[nodiscard]] bool is_live(const entry_key& entry) const;
    /// Entry hosts, the asking one among them, that may open connections to the group's servers.
    [[nodiscard]] std::uint32_t holder_count(const group_name& group, const entry_key& asking) const;
    /// Those of them that this leader has not heard yet.
    [[nodiscard]] std::uint32_t unheard_count(const group_name& group, const entry_key& asking) const;

    supervision_step& m_step;
};

} // namespace hickorymount::supervision::detail

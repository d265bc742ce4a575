#pragma once

#include "routing/internal/event_context.h"

#include <optional>

namespace hickorymount::routing::detail {

/// Keeps open connections to backend servers, as many as the leased shares allow.
class connection_pools
{
public:
    explicit connection_pools(event_context& context);

    /// Marks an idle connection as busy and returns it; empty if none is idle.
    std::optional<connection_number> acquire(const backend_server_name& server);
    void release(const backend_server_name& server, connection_number connection);
    /// Removes a connection that is already closed.
    void remove(const backend_server_name& server, connection_number connection);
    /// Closes the connection, even if it is busy.
    void close(const backend_server_name& server, connection_number connection);
    void on_opened(const backend_server_name& server, connection_number connection);
    void close_all();
    void close_idle(const backend_server_name& server);

    /// Sets the share that a grant allows.
    void set_share(const backend_server_name& server, std::uint32_t share);
    /// Opens connections up to the share, or closes idle connections above it.
    void apply_share(const backend_server_name& server);
    void apply_all_shares();

    [[nodiscard]] std::map<backend_server_name, std::uint32_t> held() const;
    [[nodiscard]] std::map<backend_server_name, std::uint32_t> wanted() const;
    void reset_peaks();

private:
    void change_share(const backend_server_name& server, std::uint32_t share,
                      std::optional<time_point> no_share_since);

    event_context& m_context;
};

std::uint32_t open_count(const connection_pool& connections);

} // namespace hickorymount::routing::detail

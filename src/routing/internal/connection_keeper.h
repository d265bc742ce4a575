#pragma once

#include "routing/internal/entry_step.h"

#include <optional>

namespace hickorymount::routing::detail {

/// Keeps the connections to backend servers within their leased shares, and warm.
class connection_keeper
{
public:
    explicit connection_keeper(entry_step& step);

    /// Takes an idle connection; nothing when there is none.
    std::optional<connection_number> take(const backend_server_name& server);
    void give_back(const backend_server_name& server, connection_number connection);
    /// The connection ended by itself.
    void forget(const backend_server_name& server, connection_number connection);
    /// Ends the connection, whatever it is doing.
    void end(const backend_server_name& server, connection_number connection);
    void opened(const backend_server_name& server, connection_number connection);
    void end_all();
    void end_idle(const backend_server_name& server);

    void set_share(const backend_server_name& server, std::uint32_t share);
    /// Opens what the shares allow and closes what they do not.
    void adjust(const backend_server_name& server);
    void adjust_all();

    [[nodiscard]] std::map<backend_server_name, std::uint32_t> held() const;
    [[nodiscard]] std::map<backend_server_name, std::uint32_t> wanted() const;
    void reset_peaks();

private:
    entry_step& m_step;
};

std::uint32_t open_count(const connection_pool& connections);

} // namespace hickorymount::routing::detail

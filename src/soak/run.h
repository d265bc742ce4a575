#pragma once

#include "base/error.h"
#include "base/millisecond_clock.h"
#include "protocol/types.h"
#include "sessions/wire.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hickorymount::soak {

/// A process of the system under test. It is started again whenever it ends.
struct process_under_test
{
    std::string name;
    /// Holds its present id.
    std::string id_file;
    bool is_control = false;
};

struct proxied_port
{
    std::uint16_t port = 0;
    std::uint16_t target = 0;
};

struct run_options
{
    std::uint32_t seed = 1;
    milliseconds duration{20'000};
    std::vector<process_under_test> processes;
    /// Where callers open sessions: one for each entry host, in the order of `processes`.
    std::vector<std::uint16_t> entry_ports;
    std::vector<protocol::endpoint> control;
    std::vector<proxied_port> proxies;
    /// Takes promotions.
    std::uint16_t platform_port = 0;
    int callers = 12;
};

/// How the platform is spoken to.
struct platform_calls
{
    std::function<bool(const protocol::endpoint&, const protocol::server_report&)> announce;
    std::function<bool(const protocol::endpoint&, std::uint64_t version)> configure;
    std::function<std::optional<std::uint64_t>(const protocol::endpoint&)> read_version;
    std::function<std::optional<std::string>(const std::string& body)> promoted;
};

struct run_report
{
    std::vector<std::string> violations;
    std::vector<std::string> faults;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    std::size_t cut = 0;
    std::size_t acknowledged_writes = 0;
    std::size_t reads = 0;
    /// Of the statements asked after the last fault had healed.
    std::size_t answered_at_the_end = 0;
};

/// The database group of the run; its databases are the routes that `platform_calls::configure` sends.
inline constexpr const char* group_under_test = "orders";
inline constexpr milliseconds bounded_staleness{1500};
inline constexpr milliseconds own_staleness{2500};

/// Callers, backend servers, the platform and faults, against processes that run already. Errors: a port
/// can't be had.
result<run_report> run(const run_options& options, std::unique_ptr<sessions::wire> wire,
                       const platform_calls& platform);

} // namespace hickorymount::soak

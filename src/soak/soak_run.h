#pragma once

#include "base/error.h"
#include "base/millisecond_clock.h"
#include "protocol/types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hickorymount::soak {

/// A process of the system under test. The soak script restarts it whenever it ends.
struct process_under_test
{
    std::string name;
    /// File with the current process id.
    std::string id_file;
    bool is_control = false;
};

/// A port for `fault_proxy` and the port that it forwards to.
struct proxied_port
{
    std::uint16_t port = 0;
    std::uint16_t target = 0;
    /// Index of the entry host that connects through the proxy; empty for a link between control hosts.
    std::optional<std::size_t> entry{};
};

/// Settings of a run.
struct soak_options
{
    std::uint32_t seed = 1;
    milliseconds duration{20'000};
    std::vector<process_under_test> processes;
    /// Session ports of the entry hosts, in the order of `processes`.
    std::vector<std::uint16_t> entry_ports;
    /// Operators' addresses of the control hosts.
    std::vector<protocol::endpoint> control_hosts;
    std::vector<proxied_port> proxies;
    /// Port on which the run accepts promotion requests from the control hosts.
    std::uint16_t platform_port = 0;
    int callers = 12;
    /// Number of customers that the callers belong to; without customers, callers need no key.
    int customers = 0;
    /// Fields contain line feeds, other control bytes and whole messages.
    bool has_unusual_bytes = true;
    /// Servers send answers twice, or in part, in some periods.
    bool disturbs_answers = true;
};

/// The key of a customer's callers; the second key is withdrawn for a while and restored.
std::string key_of_customer(int customer, bool is_second);
/// True if the configuration of this version has the customers' second keys.
bool has_second_keys(std::uint64_t version);

/// Requests in the platform's encoding.
struct platform_client
{
    /// Sends a server report to a control host; returns whether the host accepted it.
    std::function<bool(const protocol::endpoint&, const protocol::server_report&)> announce;
    /// Sends a configuration with this version; returns whether it was acknowledged.
    std::function<bool(const protocol::endpoint&, std::uint64_t version)> send_configuration;
    /// Returns the configuration version that a control host reports; empty when it does not answer.
    std::function<std::optional<std::uint64_t>(const protocol::endpoint&)> read_version;
    /// Returns the server named in a promotion request; empty when the body is malformed.
    std::function<std::optional<std::string>(const std::string& body)> decode_promotion;
};

/// Results of a run.
struct soak_report
{
    std::vector<std::string> violations;
    std::vector<std::string> faults;
    std::size_t answered = 0;
    std::size_t refused = 0;
    std::size_t unknown = 0;
    /// Statements whose connection was closed before the answer.
    std::size_t interrupted = 0;
    std::size_t acknowledged_writes = 0;
    std::size_t reads = 0;
    /// Statements answered in the last seconds of the run, after all faults have ended.
    std::size_t answered_after_recovery = 0;
    /// Answers that servers sent a second time, and that they cut off.
    std::size_t repeated_answers = 0;
    std::size_t cut_answers = 0;
};

/// The database group of the run; its databases are the routes that `platform_client::configure` sends.
inline constexpr const char* group_under_test = "orders";
inline constexpr milliseconds bounded_staleness_limit{1500};
inline constexpr milliseconds read_your_writes_staleness{2500};

/// Runs callers, backend servers, the platform and faults against processes that another program has started.
/// Blocks for `soak_options::duration`. Errors: a port is not available.
result<soak_report> run_soak(const soak_options& options, const platform_client& platform);

} // namespace hickorymount::soak

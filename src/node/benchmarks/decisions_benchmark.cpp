#include "configuration/difference.h"
#include "node/reduce.h"

#include <string>

#include <benchmark/benchmark.h>

namespace hickorymount::node {
namespace {

constexpr std::int64_t servers_per_group = 3;
constexpr std::uint32_t connections_per_server = 4;

/// Measures the reducer of an entry host that holds a lease and open connections to every backend server.
/// The argument is the number of database groups.
class entry_benchmark : public benchmark::Fixture
{
public:
    void SetUp(const benchmark::State& state) override
    {
        m_now = time_point{milliseconds{1'000'000}};
        m_next_id = 1;
        m_groups = state.range(0);
        m_state = routing::entry_state{};
        reduce_event(routing::entry_started{m_self, availability_zone{"zone-1"}, {host_name{"control-1"}}});
        configure();
        for (std::int64_t group = 0; group < m_groups; ++group) {
            for (std::int64_t server_index = 0; server_index < servers_per_group; ++server_index) {
                report(group, server_index, 1);
            }
        }
        renew_lease();
    }

protected:
    std::vector<node_effect> reduce_event(routing::entry_event_payload event)
    {
        node_transition transition = reduce(
            std::move(m_state), {m_now, unix_milliseconds{1'764'000'000'000}, std::move(event)}, m_policy);
        m_state = std::move(transition.state);
        return std::move(transition.effects);
    }

    static std::string group_name_of(std::int64_t group) { return "group-" + std::to_string(group); }

    void configure()
    {
        configuration::versioned_configuration versioned;
        versioned.version = 1;
        versioned.content.entry_host_count = 7;
        const milliseconds deadline{4000};
        versioned.content.classes[class_name{"read"}] = {configuration::statement_kind::read,
                                                         {},
                                                         configuration::acknowledgement_level::primary,
                                                         true,
                                                         milliseconds{0},
                                                         deadline,
                                                         64};
        versioned.content.classes[class_name{"write"}] = {configuration::statement_kind::write,
                                                          {},
                                                          configuration::acknowledgement_level::primary,
                                                          true,
                                                          milliseconds{0},
                                                          deadline,
                                                          64};
        protocol::view_update view;
        view.to_revision = 1;
        for (std::int64_t group = 0; group < m_groups; ++group) {
            versioned.content.groups[group_name{group_name_of(group)}] = {3, 3, 20, milliseconds{12}};
            directory::group_record record;
            record.phase = directory::group_phase::open;
            record.term = 1;
            record.primary = backend_server_name{group_name_of(group) + "-0"};
            record.term_starts = {{1, 0}};
            view.groups.push_back({group_name{group_name_of(group)}, record});
        }
        reduce_event(routing::control_message_received{host_name{"control-1"}, view});
        reduce_event(routing::control_message_received{
            host_name{"control-1"},
            protocol::configuration_update{shared_value(configuration::make_difference({}, versioned))}});
    }

    void report(std::int64_t group, std::int64_t server_index, std::uint64_t sequence)
    {
        protocol::server_report server_report;
        server_report.group = group_name{group_name_of(group)};
        server_report.name =
            backend_server_name{server_report.group.value + "-" + std::to_string(server_index)};
        server_report.zone = availability_zone{"zone-" + std::to_string(server_index)};
        server_report.address = {"127.0.0.1", 9000};
        server_report.sequence = sequence;
        server_report.role =
            server_index == 0 ? protocol::server_role::primary : protocol::server_role::replica;
        server_report.position = {1, 100};
        reduce_event(routing::server_report_received{server_report});
    }

    void renew_lease()
    {
        const auto& state = std::get<routing::entry_state>(m_state);
        protocol::lease_grant grant{
            m_self, state.lease.send_times.rbegin()->first, milliseconds{1'000'000'000}, {}};
        for (const auto& [name, server] : state.servers) {
            grant.connection_limits[name] = connections_per_server;
        }
        for (const node_effect& effect :
             reduce_event(routing::control_message_received{host_name{"control-1"}, grant})) {
            const auto& entry_effect = std::get<routing::entry_effect>(effect);
            if (const auto* opened = std::get_if<routing::open_connection>(&entry_effect)) {
                reduce_event(routing::connection_opened{opened->server, opened->connection});
            }
        }
    }

    /// Reduces both events of one request: its arrival and the answer of the backend server.
    void serve_request(const std::string& request_class)
    {
        routing::caller_request request;
        request.request = m_next_id++;
        request.group = group_name{group_name_of(static_cast<std::int64_t>(request.request) % m_groups)};
        request.request_class = class_name{request_class};
        request.statement = "get a";
        request.token.positions[request.group] = {1, 50};
        const std::uint64_t number = request.request;
        const std::vector<node_effect> effects = reduce_event(std::move(request));
        const auto& run = std::get<routing::run_statement>(std::get<routing::entry_effect>(effects.front()));
        reduce_event(routing::statement_completed{number, run.connection, {1, 101}, milliseconds{3}, "{}"});
        if (number % 1000 == 0) {
            m_now += milliseconds{1};
        }
    }

    const directory::entry_process_id m_self{host_name{"entry-1"}, incarnation_id{"run"}};
    routing::prefer_replica_policy m_policy;
    node_state m_state;
    time_point m_now{};
    std::uint64_t m_next_id = 1;
    std::int64_t m_groups = 0;
};

BENCHMARK_DEFINE_F(entry_benchmark, read)(benchmark::State& state)
{
    for (auto iteration : state) {
        serve_request("read");
    }
}

BENCHMARK_DEFINE_F(entry_benchmark, write)(benchmark::State& state)
{
    for (auto iteration : state) {
        serve_request("write");
    }
}

BENCHMARK_DEFINE_F(entry_benchmark, report)(benchmark::State& state)
{
    std::uint64_t sequence = 2;
    for (auto iteration : state) {
        report(static_cast<std::int64_t>(sequence) % m_groups, 1, sequence);
        ++sequence;
    }
}

BENCHMARK_REGISTER_F(entry_benchmark, read)->Arg(18)->Arg(880);
BENCHMARK_REGISTER_F(entry_benchmark, write)->Arg(18)->Arg(880);
BENCHMARK_REGISTER_F(entry_benchmark, report)->Arg(18)->Arg(880);

} // namespace
} // namespace hickorymount::node

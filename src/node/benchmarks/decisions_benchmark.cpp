#include "node/reduce.h"

#include <string>

#include <benchmark/benchmark.h>

namespace hickorymount::node {
namespace {

constexpr std::int64_t instances = 3;
constexpr std::uint32_t share = 4;

/// An entry host in service with a lease and open connections to every backend server.
class entry_benchmark : public benchmark::Fixture
{
public:
    void SetUp(const benchmark::State& run) override
    {
        m_now = time_point{milliseconds{1'000'000}};
        m_next_id = 1;
        m_groups = run.range(0);
        m_state = routing::entry_state{};
        step(routing::entry_started{m_self, availability_zone{"zone-1"}, {host_name{"control-1"}}});
        configure();
        for (std::int64_t group = 0; group < m_groups; ++group) {
            for (std::int64_t at = 0; at < instances; ++at) {
                report(group, at, 1);
            }
        }
        renew_lease();
    }

protected:
    std::vector<node_effect> step(routing::entry_event_kind what)
    {
        node_transition next = reduce(
            std::move(m_state), {m_now, unix_milliseconds{1'764'000'000'000}, std::move(what)}, m_policy);
        m_state = std::move(next.state);
        return std::move(next.effects);
    }

    static std::string group_name_of(std::int64_t group) { return "group-" + std::to_string(group); }

    void configure()
    {
        configuration::versioned_configuration made;
        made.version = 1;
        made.content.entry_hosts = 7;
        const milliseconds deadline{4000};
        made.content.classes[class_name{"read"}] = {configuration::statement_kind::read,
                                                    {},
                                                    configuration::acknowledgement::primary,
                                                    true,
                                                    milliseconds{0},
                                                    deadline,
                                                    64};
        made.content.classes[class_name{"write"}] = {configuration::statement_kind::write,
                                                     {},
                                                     configuration::acknowledgement::primary,
                                                     true,
                                                     milliseconds{0},
                                                     deadline,
                                                     64};
        protocol::view_update view;
        view.to = 1;
        for (std::int64_t group = 0; group < m_groups; ++group) {
            made.content.groups[group_name{group_name_of(group)}] = {3, 3, 20, milliseconds{12}};
            directory::group_record record;
            record.phase = directory::group_phase::open;
            record.term = 1;
            record.primary = backend_server_name{group_name_of(group) + "-0"};
            record.starts = {{1, 0}};
            view.groups.push_back({group_name{group_name_of(group)}, record});
        }
        view.configuration = shared_value(std::move(made));
        step(routing::control_message{host_name{"control-1"}, view});
    }

    void report(std::int64_t group, std::int64_t at, std::uint64_t sequence)
    {
        protocol::server_report made;
        made.group = group_name{group_name_of(group)};
        made.name = backend_server_name{made.group.value + "-" + std::to_string(at)};
        made.zone = availability_zone{"zone-" + std::to_string(at)};
        made.address = {"127.0.0.1", 9000};
        made.sequence = sequence;
        made.role = at == 0 ? protocol::server_role::primary : protocol::server_role::replica;
        made.at = {1, 100};
        step(routing::announced{made});
    }

    void renew_lease()
    {
        const auto& state = std::get<routing::entry_state>(m_state);
        protocol::lease_grant grant{
            m_self, state.lease.sent.rbegin()->first, milliseconds{1'000'000'000}, {}};
        for (const auto& [name, server] : state.servers) {
            grant.connections[name] = share;
        }
        for (const node_effect& effect : step(routing::control_message{host_name{"control-1"}, grant})) {
            const auto& own = std::get<routing::entry_effect>(effect);
            if (const auto* opened = std::get_if<routing::open_connection>(&own)) {
                step(routing::connection_opened{opened->server, opened->connection});
            }
        }
    }

    /// Both visits of one request: where it runs, and whether its answer may go out.
    void serve(const std::string& class_of_request)
    {
        routing::caller_request asked;
        asked.request = m_next_id++;
        asked.group = group_name{group_name_of(static_cast<std::int64_t>(asked.request) % m_groups)};
        asked.class_of_request = class_name{class_of_request};
        asked.statement = "get a";
        asked.token.seen[asked.group] = {1, 50};
        const std::uint64_t number = asked.request;
        const std::vector<node_effect> effects = step(std::move(asked));
        const auto& run = std::get<routing::run_statement>(std::get<routing::entry_effect>(effects.front()));
        step(routing::statement_answered{number, run.connection, {1, 101}, milliseconds{3}, "{}"});
        if (number % 1000 == 0) {
            m_now += milliseconds{1};
        }
    }

    const directory::entry_key m_self{host_name{"entry-1"}, incarnation_id{"run"}};
    routing::position_policy m_policy;
    node_state m_state;
    time_point m_now{};
    std::uint64_t m_next_id = 1;
    std::int64_t m_groups = 0;
};

BENCHMARK_DEFINE_F(entry_benchmark, read)(benchmark::State& run)
{
    for (auto each : run) {
        serve("read");
    }
}

BENCHMARK_DEFINE_F(entry_benchmark, write)(benchmark::State& run)
{
    for (auto each : run) {
        serve("write");
    }
}

BENCHMARK_DEFINE_F(entry_benchmark, report)(benchmark::State& run)
{
    std::uint64_t sequence = 2;
    for (auto each : run) {
        report(static_cast<std::int64_t>(sequence) % m_groups, 1, sequence);
        ++sequence;
    }
}

BENCHMARK_REGISTER_F(entry_benchmark, read)->Arg(18)->Arg(880);
BENCHMARK_REGISTER_F(entry_benchmark, write)->Arg(18)->Arg(880);
BENCHMARK_REGISTER_F(entry_benchmark, report)->Arg(18)->Arg(880);

} // namespace
} // namespace hickorymount::node

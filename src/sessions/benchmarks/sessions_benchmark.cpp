#include "configuration/key_digest.h"
#include "sessions/reduce.h"

#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>

namespace hickorymount::sessions {
namespace {

/// Measures the session reducer while statements wait for the only connection to a primary. The arguments are
/// the number of waiting statements and the number of customers that they belong to; zero customers stand for
/// a deployment without customers.
class session_benchmark : public benchmark::Fixture
{
public:
    void SetUp(const benchmark::State& state) override
    {
        m_state = session_state{};
        m_running = 0;
        m_customers = state.range(1);
        publish();
        for (std::int64_t at = 0; at <= state.range(0); ++at) {
            submit_on_new_session();
        }
    }

protected:
    void apply_event(event_payload payload)
    {
        transition next = reduce(std::move(m_state), {m_now, std::move(payload)});
        m_state = std::move(next.state);
        for (const effect& each : next.effects) {
            if (const auto* opened = std::get_if<open_connection>(&each)) {
                m_opening.push_back(opened->connection);
            } else if (const auto* sent = std::get_if<send_statement>(&each)) {
                m_running = sent->connection;
            }
        }
    }

    void publish()
    {
        traffic_view view;
        view.lease_until = m_now + milliseconds{60'000};
        const group_name group{"orders"};
        view.groups[group] = {backend_server_name{"first"}, 3, true, false};
        view.servers[backend_server_name{"first"}] = {
            group, {"10.0.0.1", 9000}, availability_zone{"a"}, unix_milliseconds{1}, false, 1};
        configuration::versioned_configuration configuration;
        configuration.version = 1;
        configuration::database_route route;
        route.name = route.database = "ledger";
        route.group = group;
        route.statement_timeout = milliseconds{60'000};
        configuration.content.database_routes.push_back(std::move(route));
        configuration.content.identifies_customers = m_customers > 0;
        for (std::int64_t at = 0; at < m_customers; ++at) {
            configuration.content.customers[customer_name{name_of(at)}].keys = {
                configuration::digest_of_key(name_of(at))};
        }
        view.configuration = shared_value(std::move(configuration));
        apply_event(view_published{shared_value(std::move(view))});
    }

    void submit_on_new_session()
    {
        const session_number number = m_next_session++;
        const key_digest key =
            m_customers == 0
                ? key_digest{}
                : configuration::digest_of_key(name_of(static_cast<std::int64_t>(number) % m_customers));
        apply_event(session_requested{number, "ledger", false, key});
        statement body;
        body.kind = statement_kind::write;
        body.text = "WRITE 1 a";
        apply_event(statement_received{number, "0123456789abcdef", std::move(body)});
        complete_openings();
    }

    void complete_openings()
    {
        for (const connection_number opened : std::exchange(m_opening, {})) {
            apply_event(connection_opened{opened});
        }
    }

    static std::string name_of(std::int64_t customer) { return "customer" + std::to_string(customer); }

    time_point m_now{milliseconds{100'000}};
    session_state m_state;
    session_number m_next_session = 1;
    std::vector<connection_number> m_opening;
    std::int64_t m_customers = 0;
    connection_number m_running = 0;
    std::int64_t m_last_signature = 0;
};

/// One statement arrives and one is answered.
BENCHMARK_DEFINE_F(session_benchmark, statement_beside_waiting_ones)(benchmark::State& state)
{
    for (auto each : state) {
        submit_on_new_session();
        apply_event(response_received{m_running,
                                      {{},
                                       response_code::done,
                                       "s" + std::to_string(++m_last_signature),
                                       transaction_state::none,
                                       std::nullopt}});
        complete_openings();
    }
    state.counters["per_event_ns"] =
        benchmark::Counter(static_cast<double>(state.iterations()) * 3,
                           benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK_REGISTER_F(session_benchmark, statement_beside_waiting_ones)
    ->ArgNames({"waiting", "customers"})
    ->ArgsProduct({{10, 100, 1000}, {0, 10, 100, 1000}});

} // namespace
} // namespace hickorymount::sessions

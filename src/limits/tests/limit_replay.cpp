#include "limits/tests/limit_replay.h"

#include <algorithm>
#include <cmath>

namespace hickorymount::limits {

namespace {

constexpr milliseconds step{10};
constexpr milliseconds renewal_interval{400};
/// Between regions, with the confirmation of the leader included in the second.
constexpr milliseconds to_control{20};
constexpr milliseconds from_control{40};
/// Limits are this multiple of the usual demand.
constexpr double limit_factor = 1.6;
constexpr double wave_height = 0.27;
constexpr double wave_seconds = 20;
constexpr double session_count = 3960;
constexpr std::size_t min_sessions = 4;

double seconds(time_point now)
{
    return static_cast<double>(now.time_since_epoch().count()) / 1000;
}

} // namespace

limit_replay::limit_replay(int host_count, int customer_count, double operations_per_second,
                           std::uint32_t seed)
    : m_random(seed), m_now(milliseconds{1'000'000})
{
    m_configuration.version = 1;
    m_configuration.content.identifies_customers = true;
    double sum = 0;
    for (int rank = 1; rank <= customer_count; ++rank) {
        sum += std::pow(rank, -1.2);
    }
    std::uniform_real_distribution<double> uneven(0.5, 1.5);
    for (int index = 0; index < host_count; ++index) {
        host_state host;
        host.process = {host_name{"entry-" + std::to_string(index)}, incarnation_id{"0"}};
        host.renew_at = m_now + milliseconds{index * 400 / host_count};
        m_hosts.push_back(std::move(host));
        m_host_weights.push_back(uneven(m_random));
    }
    for (int rank = 1; rank <= customer_count; ++rank) {
        customer_state customer;
        customer.name = customer_name{"customer-" + std::to_string(rank)};
        const double part = std::pow(rank, -1.2) / sum;
        customer.usual_rate = part * operations_per_second;
        customer.phase = uneven(m_random) * 6;
        place_callers(customer, 0, host_count,
                      std::max(min_sessions, static_cast<std::size_t>(part * session_count)));
        m_configuration.content.customers[customer.name].limit =
            operation_limit{customer.usual_rate * limit_factor, customer.usual_rate * limit_factor};
        m_customers.push_back(std::move(customer));
    }
}

void limit_replay::place_callers(customer_state& customer, int first_host, int host_count,
                                 std::size_t sessions)
{
    for (const int host : customer.session_hosts) {
        if (--m_hosts.at(host).sessions[customer.name] == 0) {
            m_hosts.at(host).sessions.erase(customer.name);
        }
    }
    customer.session_hosts.clear();
    std::discrete_distribution<int> choice(m_host_weights.begin() + first_host,
                                           m_host_weights.begin() + first_host + host_count);
    for (std::size_t session = 0; session < sessions; ++session) {
        customer.session_hosts.push_back(first_host + choice(m_random));
        ++m_hosts.at(customer.session_hosts.back()).sessions[customer.name];
    }
}

void limit_replay::move_callers(int customer, int first_host, int host_count)
{
    customer_state& moved = m_customers.at(customer);
    place_callers(moved, first_host, host_count, moved.session_hosts.size());
}

limits::operation_limit limit_replay::limit_of(int customer) const
{
    return *m_configuration.content.customers.at(m_customers.at(customer).name).limit;
}

double limit_replay::limit_rate(int customer) const
{
    return limit_of(customer).operations_per_second;
}

operation_count limit_replay::operations_per_window(int customer) const
{
    return limits::operations_per_window(limit_of(customer), m_bounds);
}

void limit_replay::set_limit_factor(int customer, double factor)
{
    customer_state& changed = m_customers.at(customer);
    changed.earlier_bound = operations_per_window(customer);
    changed.bound_changed_at = m_now;
    auto& limit = m_configuration.content.customers.at(changed.name).limit;
    limit->operations_per_second *= factor;
    limit->burst *= factor;
    ++m_configuration.version;
}

void limit_replay::change_leader()
{
    std::vector<entry_process_id> admitted;
    for (host_state& host : m_hosts) {
        admitted.push_back(host.process);
        host.leader_since = host.next_sequence;
    }
    ++m_leader;
    m_allocator.start_leading(admitted, m_bounds.window, m_now);
}

void limit_replay::restart(int index)
{
    host_state& host = m_hosts.at(index);
    host_state fresh;
    fresh.process = {host.process.name, incarnation_id{std::to_string(m_next_incarnation++)}};
    fresh.sessions = host.sessions;
    fresh.renew_at = m_now;
    host = std::move(fresh);
}

void limit_replay::stop(int index)
{
    kill(index);
    const entry_process_id process = m_hosts.at(index).process;
    m_deliveries.push_back(
        {m_now + to_control, [this, process] { m_allocator.end_process(process, m_bounds.window, m_now); }});
}

void limit_replay::reset_counts()
{
    for (customer_state& customer : m_customers) {
        customer.requested = customer.started = 0;
    }
    m_renewals = 0;
}

double limit_replay::refused_share() const
{
    std::uint64_t requested_by_all = 0;
    std::uint64_t started_by_all = 0;
    for (const customer_state& customer : m_customers) {
        requested_by_all += customer.requested;
        started_by_all += customer.started;
    }
    return 1 - static_cast<double>(started_by_all) / static_cast<double>(requested_by_all);
}

double limit_replay::refused_share(int customer) const
{
    const customer_state& state = m_customers.at(customer);
    return 1 - static_cast<double>(state.started) / static_cast<double>(state.requested);
}

void limit_replay::run(milliseconds duration)
{
    const time_point end = m_now + duration;
    for (; m_now < end; m_now += step) {
        // Deliveries are appended with two delays only, so they are nearly in order; each is looked at.
        std::deque<delivery> due;
        std::deque<delivery> later;
        for (delivery& each : m_deliveries) {
            (each.at <= m_now ? due : later).push_back(std::move(each));
        }
        m_deliveries = std::move(later);
        for (const delivery& each : due) {
            each.action();
        }
        for (int index = 0; index < static_cast<int>(m_hosts.size()); ++index) {
            if (m_hosts[index].is_up && m_now >= m_hosts[index].renew_at) {
                renew(index);
            }
        }
        start_operations();
    }
}

void limit_replay::start_operations()
{
    for (customer_state& customer : m_customers) {
        const double wave =
            1 + wave_height * std::sin(seconds(m_now) * 6.283 / wave_seconds + customer.phase);
        const double rate = customer.usual_rate * customer.demand_factor * wave;
        std::poisson_distribution<int> arrivals(rate * static_cast<double>(step.count()) / 1000);
        std::uniform_int_distribution<std::size_t> session(0, customer.session_hosts.size() - 1);
        for (int left = arrivals(m_random); left > 0; --left) {
            host_state& host = m_hosts.at(customer.session_hosts[session(m_random)]);
            if (host.is_up) {
                request_operation(customer, host);
            }
        }
    }
}

void limit_replay::request_operation(customer_state& customer, host_state& host)
{
    ++customer.requested;
    host.budgets.update(m_bounds, m_configuration, host.quotas);
    if (!host.budgets.take(customer.name, m_now)) {
        ++customer.started;
        auto& window = customer.window;
        window.push_back(m_now);
        while (window.front() + m_bounds.window <= m_now) {
            window.pop_front();
        }
        operation_count bound = limits::operations_per_window(
            *m_configuration.content.customers.at(customer.name).limit, m_bounds);
        if (m_now < customer.bound_changed_at + m_bounds.window) {
            bound = std::max(bound, customer.earlier_bound);
        }
        m_excess += window.size() > bound ? 1 : 0;
    }
    if (host.budgets.needs_quota(customer.name, m_now)) {
        host.renew_at = host.quota_renewals.advance(host.renew_at, m_now, host.last_request_at);
    }
}

void limit_replay::renew(int index)
{
    host_state& host = m_hosts[index];
    host.budgets.update(m_bounds, m_configuration, host.quotas);
    std::set<customer_name> with_sessions;
    for (const auto& [name, count] : host.sessions) {
        with_sessions.insert(name);
    }
    const customer_demands demands = with_held(host.budgets.report(with_sessions, m_now), host.quotas, m_now);
    const std::uint64_t sequence = host.next_sequence++;
    host.sent[sequence] = m_now;
    host.renew_at = m_now + renewal_interval;
    host.last_request_at = m_now;
    ++m_renewals;
    if (!host.is_connected || !m_is_control_available) {
        return;
    }
    m_deliveries.push_back({m_now + to_control,
                            [this, process = host.process, demands, sequence, granted = host.granted_sequence,
                             index] { receive(process, demands, sequence, granted, index); }});
}

void limit_replay::receive(const entry_process_id& process, const customer_demands& demands,
                           std::uint64_t sequence, std::uint64_t granted_sequence, int index)
{
    m_allocator.record_request(process, demands, granted_sequence, m_bounds.window, m_now);
    const auto host_count = static_cast<std::uint32_t>(m_hosts.size() * 5 / 4);
    host_quotas granted;
    granted.sequence = sequence;
    granted.entry_hosts = host_count;
    for (const auto& [customer, demand] : demands) {
        granted.operations[customer] = m_allocator.grant(
            process, customer, {*m_configuration.content.customers.at(customer).limit, m_bounds, host_count},
            sequence, m_now);
    }
    if (m_hosts[index].is_connected) {
        m_deliveries.push_back(
            {m_now + from_control, [this, index, process, granted] { receive(index, process, granted); }});
    }
}

void limit_replay::receive(int index, const entry_process_id& process, const host_quotas& granted)
{
    host_state& host = m_hosts[index];
    const auto sent = host.sent.find(granted.sequence);
    if (!host.is_up || host.process != process || sent == host.sent.end()) {
        return;
    }
    const bool may_raise = granted.sequence >= host.leader_since;
    host.quotas = with_grant(host.quotas, granted, sent->second, may_raise);
    host.granted_sequence = granted.sequence;
    host.sent.erase(host.sent.begin(), std::next(sent));
    host.budgets.update(m_bounds, m_configuration, host.quotas);
}

} // namespace hickorymount::limits

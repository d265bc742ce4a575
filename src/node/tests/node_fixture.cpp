#include "node/tests/node_fixture.h"

#include "consensus/reduce.h"
#include "protocol/message_codec.h"

#include <algorithm>
#include <utility>

namespace hickorymount::node {

namespace {

constexpr milliseconds statement_delay{1};
constexpr milliseconds report_interval{100};
constexpr milliseconds probe_timeout{150};
constexpr std::int64_t milliseconds_in_second = 1000;

std::string group_of(const std::string& server)
{
    return server.substr(0, server.rfind('-'));
}

database::endpoint address_of(const std::string& server)
{
    return {server, 1};
}

} // namespace

std::pair<std::string, std::string> node_fixture::link_between(const std::string& first,
                                                               const std::string& second)
{
    return first < second ? std::pair(first, second) : std::pair(second, first);
}

bool node_fixture::is_linked(const std::string& first, const std::string& second) const
{
    return !m_disconnected_links.contains(link_between(first, second));
}

bool node_fixture::is_running(const std::string& name) const
{
    const auto host = m_hosts.find(name);
    const auto server = m_backends.find(name);
    const bool is_up =
        (host != m_hosts.end() && host->second.is_up) || (server != m_backends.end() && server->second.is_up);
    return is_up && !m_suspended.contains(name);
}

time_point node_fixture::clock_of(const std::string& host) const
{
    const auto found = m_clocks.find(host);
    if (found == m_clocks.end()) {
        return m_now;
    }
    const drifting_clock& clock = found->second;
    const milliseconds passed = m_now - clock.set_at;
    return clock.reading + passed + passed * clock.rate_offset_per_mille / 1000;
}

void node_fixture::set_clock_rate(const std::string& host, int rate_offset_per_mille)
{
    m_clocks[host] = {m_now, clock_of(host), rate_offset_per_mille};
}

void node_fixture::schedule(milliseconds delay, std::function<void()> action)
{
    m_scheduled_actions.emplace(m_now + delay, std::move(action));
}

void node_fixture::start_control_hosts(int count)
{
    for (int index = 1; index <= count; ++index) {
        const std::string name = "control-" + std::to_string(index);
        m_disks[name].durable.identity = data_folder_id{"folder-" + std::to_string(m_next_identity++)};
        m_hosts[name] = {};
    }
    consensus::membership members;
    for (const auto& [name, disk] : m_disks) {
        members.voters.push_back({host_name{name}, disk.durable.identity});
    }
    for (const consensus::member& member : members.voters) {
        restart(member.name.value);
        deliver(member.name.value, control_event_payload(consensus::cluster_formation_requested{members}));
    }
}

void node_fixture::add_control_host(const std::string& name)
{
    m_disks[name].durable.identity = data_folder_id{"folder-" + std::to_string(m_next_identity++)};
    m_hosts[name] = {};
    restart(name);
}

void node_fixture::start_entry_hosts(int count)
{
    for (int index = 1; index <= count; ++index) {
        start_entry_host("entry-" + std::to_string(index));
    }
}

void node_fixture::start_entry_host(const std::string& name)
{
    m_hosts[name] = {};
    restart(name);
}

void node_fixture::drain(const std::string& entry)
{
    deliver(entry, routing::entry_event_payload(routing::drain_requested{}));
}

void node_fixture::start_group(const std::string& group, int replicas, milliseconds lag)
{
    for (int index = 1; index <= replicas + 1; ++index) {
        const std::string name = group + "-" + std::to_string(index);
        database::database_settings settings;
        settings.name = backend_server_name{name};
        settings.group = group_name{group};
        settings.zone = availability_zone{"zone-" + std::to_string(index)};
        settings.address = address_of(name);
        settings.started_at = m_wall;
        settings.replication_lag = lag;
        if (index > 1) {
            settings.primary = address_of(group + "-1");
        }
        m_backends[name].is_up = true;
        reduce_backend_event(name, database::database_started{settings});
    }
}

void node_fixture::start_deployment(milliseconds lag)
{
    start_control_hosts(3);
    start_entry_hosts(2);
    start_group("orders", 2, lag);
    ASSERT_TRUE(advance_until([this] { return !leader().empty(); }));
    const std::uint64_t request = change_configuration(leader(), "first", 0, default_configuration());
    ASSERT_TRUE(advance_until([&] { return operator_answer(request).has_value(); }));
    ASSERT_TRUE(advance_until([this] {
        const auto is_served = [this](const std::string& name) {
            const auto* group = entry_state_of(name).groups.find(group_name{"orders"});
            const auto& servers = entry_state_of(name).servers;
            return group != nullptr && group->record.term == 1 && servers.size() == 3 &&
                   std::all_of(servers.begin(), servers.end(),
                               [](const auto& named_server) {
                                   return !named_server.second.connections.idle.empty() &&
                                          named_server.second.report.position.term == 1;
                               }) &&
                   entry_state_of(name).lease.was_valid;
        };
        return is_served("entry-1") && is_served("entry-2");
    }));
}

configuration::configuration node_fixture::default_configuration()
{
    using configuration::acknowledgement_level;
    using configuration::statement_kind;
    configuration::configuration result;
    result.deployment = "test";
    result.tenant = tenant_name{"test"};
    result.zones = {availability_zone{"zone-1"}};
    result.entry_host_count = 2;
    result.groups[group_name{"orders"}] = {3, 3, 20, milliseconds{12}};
    const milliseconds deadline{6000};
    result.classes[class_name{"lookup"}] = {
        statement_kind::read, {}, acknowledgement_level::primary, true, milliseconds{0}, deadline, 64};
    result.classes[class_name{"browse"}] = {statement_kind::read,
                                            milliseconds{500},
                                            acknowledgement_level::primary,
                                            true,
                                            milliseconds{0},
                                            deadline,
                                            64};
    result.classes[class_name{"log"}] = {
        statement_kind::write, {}, acknowledgement_level::primary, true, milliseconds{0}, deadline, 64};
    result.classes[class_name{"approval"}] = {
        statement_kind::write, {}, acknowledgement_level::replica, true, milliseconds{0}, deadline, 64};
    result.classes[class_name{"booking"}] = {statement_kind::write,
                                             {},
                                             acknowledgement_level::primary,
                                             false,
                                             milliseconds{3'600'000},
                                             deadline,
                                             64};
    return result;
}

void node_fixture::advance(milliseconds duration)
{
    const time_point until = m_now + duration;
    while (m_now < until) {
        m_now += step_duration;
        m_wall += step_duration;
        while (!m_scheduled_actions.empty() && m_scheduled_actions.begin()->first <= m_now) {
            const std::function<void()> action = m_scheduled_actions.begin()->second;
            m_scheduled_actions.erase(m_scheduled_actions.begin());
            action();
        }
        for (auto& [name, host] : m_hosts) {
            if (!is_running(name)) {
                continue;
            }
            while (!host.inbox.empty()) {
                const node_event_payload event = host.inbox.front();
                host.inbox.pop_front();
                reduce_event(name, event);
            }
            if (clock_of(name) >= host.next_timer_at) {
                const bool is_control = std::holds_alternative<control_state>(host.state);
                reduce_event(
                    name, is_control
                              ? node_event_payload(control_event_payload(control_timer_expired{}))
                              : node_event_payload(routing::entry_event_payload(routing::timer_expired{})));
            }
            finish_syncs(name);
        }
        for (auto& [name, server] : m_backends) {
            if (!is_running(name)) {
                continue;
            }
            if (m_now >= server.next_timer_at) {
                reduce_backend_event(name, database::timer_expired{});
            }
            if (m_now >= server.next_report_at) {
                server.next_report_at = m_now + report_interval;
                send_report(name);
            }
            replicate_from_primary(name);
        }
    }
}

bool node_fixture::advance_until(const std::function<bool()>& condition, milliseconds limit)
{
    const time_point until = m_now + limit;
    while (!condition()) {
        if (m_now >= until) {
            return false;
        }
        advance(step_duration);
    }
    return true;
}

void node_fixture::isolate(const std::string& host, const std::string& prefix)
{
    for (const auto& [name, other] : m_hosts) {
        if (name != host && name.rfind(prefix, 0) == 0) {
            disconnect(host, name);
        }
    }
    for (const auto& [name, other] : m_backends) {
        if (name != host && name.rfind(prefix, 0) == 0) {
            disconnect(host, name);
        }
    }
}

void node_fixture::restore_links(const std::string& host)
{
    std::erase_if(m_disconnected_links,
                  [&](const auto& pair) { return pair.first == host || pair.second == host; });
}

void node_fixture::kill(const std::string& host)
{
    if (const auto server = m_backends.find(host); server != m_backends.end()) {
        server->second.is_up = false;
    }
    if (const auto process = m_hosts.find(host); process != m_hosts.end()) {
        process->second.is_up = false;
        process->second.inbox.clear();
        m_disks[host].unsynced_writes.clear();
    }
    std::vector<std::pair<std::string, routing::connection_number>> ended;
    for (const auto& [key, connection] : m_connections) {
        if (connection.entry == host || connection.server == host) {
            ended.push_back(key);
        }
    }
    for (const auto& key : ended) {
        const open_connection connection = m_connections.at(key);
        m_connections.erase(key);
        if (connection.server == host) {
            // The operating system resets the connections of a process that has ended.
            if (const auto handler = m_connection_loss_handlers.find(key);
                handler != m_connection_loss_handlers.end()) {
                handler->second();
                m_connection_loss_handlers.erase(handler);
            }
            deliver(connection.entry, routing::entry_event_payload(routing::connection_closed{
                                          backend_server_name{host}, key.second, "connection reset"}));
        } else if (is_running(connection.server)) {
            reduce_backend_event(connection.server, database::connection_closed{key.second});
        }
    }
}

void node_fixture::restart(const std::string& host)
{
    if (const auto server = m_backends.find(host); server != m_backends.end()) {
        database::database_settings settings = server->second.state.settings;
        settings.started_at = m_wall;
        settings.primary = address_of(group_of(host) + "-none");
        server->second.is_up = true;
        reduce_backend_event(host, database::database_started{settings});
        return;
    }
    fake_host& process = m_hosts[host];
    process.is_up = true;
    process.inbox.clear();
    ++process.incarnation;
    std::vector<host_name> control_hosts;
    for (const auto& [name, disk] : m_disks) {
        if (name != host && name.rfind("control-", 0) == 0) {
            control_hosts.push_back(host_name{name});
        }
    }
    if (host.rfind("control-", 0) == 0) {
        process.state = control_state{};
        reduce_event(host, control_event_payload(control_started{
                               host_name{host}, control_hosts, m_disks[host].durable, m_next_seed += 7919}));
        return;
    }
    process.state = routing::entry_state{};
    reduce_event(host, routing::entry_event_payload(routing::entry_started{
                           {host_name{host}, incarnation_id{"run-" + std::to_string(process.incarnation)}},
                           availability_zone{"zone-" + host.substr(host.rfind('-') + 1)},
                           control_hosts}));
}

void node_fixture::wipe_disk(const std::string& host)
{
    m_disks[host] = {};
    m_disks[host].durable.identity = data_folder_id{"folder-" + std::to_string(m_next_identity++)};
}

void node_fixture::set_disk(const std::string& host, consensus::stored_state stored)
{
    m_disks[host] = {std::move(stored), {}};
}

std::uint64_t node_fixture::send_request(const std::string& entry, routing::caller_request request)
{
    request.request = m_next_id++;
    const std::uint64_t number = request.request;
    deliver(entry, routing::entry_event_payload(std::move(request)));
    return number;
}

std::uint64_t node_fixture::write(const std::string& entry, const std::string& statement,
                                  const std::string& request_class)
{
    routing::caller_request request;
    request.group = group_name{"orders"};
    request.request_class = class_name{request_class};
    request.statement = statement;
    return send_request(entry, std::move(request));
}

std::uint64_t node_fixture::read(const std::string& entry, const std::string& key,
                                 const session_token::token& token)
{
    routing::caller_request request;
    request.group = group_name{"orders"};
    request.request_class = class_name{"lookup"};
    request.statement = "get " + key;
    request.token = token;
    return send_request(entry, std::move(request));
}

std::uint64_t node_fixture::write_with_key(const std::string& entry, const std::string& statement,
                                           const std::string& key)
{
    routing::caller_request request;
    request.group = group_name{"orders"};
    request.request_class = class_name{"booking"};
    request.statement = statement;
    request.key = request_key{key};
    return send_request(entry, std::move(request));
}

routing::caller_outcome node_fixture::wait_for_outcome(std::uint64_t request, milliseconds limit)
{
    advance_until([&] { return has_outcome(request); }, limit);
    EXPECT_TRUE(has_outcome(request)) << "request " << request << " got no outcome";
    return has_outcome(request) ? m_outcomes.at(request)
                                : routing::outcome_unknown{"fixture", "", "no outcome"};
}

std::uint64_t node_fixture::change_configuration(const std::string& control, const std::string& id,
                                                 std::uint64_t base, configuration::configuration content)
{
    const std::uint64_t number = m_next_id++;
    deliver(control, control_event_payload(supervision::configuration_change_requested{
                         number, {change_id{id}, base, std::move(content)}}));
    return number;
}

std::optional<supervision::operator_response> node_fixture::operator_answer(std::uint64_t request) const
{
    const auto found = m_operator_answers.find(request);
    return found == m_operator_answers.end() ? std::nullopt : std::optional(found->second);
}

void node_fixture::send_operator_request(const std::string& control, control_event_payload event)
{
    deliver(control, std::move(event));
}

std::string node_fixture::leader() const
{
    std::string found;
    consensus::log_term term = 0;
    for (const auto& [name, host] : m_hosts) {
        const auto* state = std::get_if<control_state>(&host.state);
        const bool is_newest_leader = state != nullptr && host.is_up &&
                                      consensus::is_ready_leader(state->consensus) &&
                                      state->consensus.persistent_state.term > term;
        if (is_newest_leader) {
            found = name;
            term = state->consensus.persistent_state.term;
        }
    }
    return found;
}

const control_state& node_fixture::control_state_of(const std::string& host) const
{
    return std::get<control_state>(m_hosts.at(host).state);
}

const routing::entry_state& node_fixture::entry_state_of(const std::string& host) const
{
    return std::get<routing::entry_state>(m_hosts.at(host).state);
}

std::string node_fixture::primary_of(const std::string& group) const
{
    const auto* record = control_state_of(leader()).directory.groups.find(group_name{group});
    return record == nullptr || record->phase != directory::group_phase::open ? "" : record->primary.value;
}

std::uint64_t node_fixture::term_of(const std::string& group) const
{
    const std::string leader_name = leader();
    const auto* record = leader_name.empty()
                             ? nullptr
                             : control_state_of(leader_name).directory.groups.find(group_name{group});
    return record == nullptr || record->phase != directory::group_phase::open ? 0 : record->term;
}

int node_fixture::count_records(const std::string& server, const std::string& key) const
{
    int count = 0;
    for (const auto& [position, record] : m_backends.at(server).state.log) {
        for (const database::change& change : record.changes) {
            count += change.key == key ? 1 : 0;
        }
    }
    return count;
}

void node_fixture::set_faults(const std::string& server, const database::fault_settings& faults)
{
    reduce_backend_event(server, database::faults_changed{0, faults});
}

void node_fixture::deliver(const std::string& host, node_event_payload event)
{
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end() && found->second.is_up) {
        found->second.inbox.push_back(std::move(event));
    }
}

void node_fixture::reduce_event(const std::string& host, const node_event_payload& event)
{
    fake_host& process = m_hosts.at(host);
    node_transition transition = reduce(std::move(process.state), {clock_of(host), m_wall, event}, m_policy);
    process.state = std::move(transition.state);
    process.next_timer_at = transition.next_timer_at;
    for (node_effect& effect : transition.effects) {
        std::visit([&](auto& role_effect) { carry_out(host, std::move(role_effect)); }, effect);
    }
}

void node_fixture::carry_out(const std::string& host, control_effect&& effect)
{
    if (const auto* message = std::get_if<send_to_peer>(&effect)) {
        send(host, message->recipient.value, message->content);
    } else if (const auto* response = std::get_if<supervision::send_operator_response>(&effect)) {
        m_operator_answers.insert_or_assign(response->request, response->response);
    } else if (!std::holds_alternative<logging::log_record>(effect)) {
        m_disks[host].unsynced_writes.push_back(std::move(effect));
    }
}

void node_fixture::finish_syncs(const std::string& host)
{
    fake_disk& disk = m_disks[host];
    if (m_hosts_with_blocked_syncs.contains(host) || disk.unsynced_writes.empty()) {
        return;
    }
    consensus::sync_id last = 0;
    for (const control_effect& write : disk.unsynced_writes) {
        if (const auto* log = std::get_if<consensus::persist_log>(&write)) {
            disk.durable.persistent_state = log->persistent_state;
            std::erase_if(disk.durable.entries, [&](const consensus::log_entry& entry) {
                return entry.index >= log->truncate_from;
            });
            disk.durable.entries.insert(disk.durable.entries.end(), log->entries.begin(), log->entries.end());
            last = log->id;
        } else {
            const auto& snapshot = std::get<consensus::persist_snapshot>(write);
            disk.durable.persistent_state = snapshot.persistent_state;
            disk.durable.latest_snapshot = snapshot.content;
            disk.durable.entries = snapshot.entries;
            last = snapshot.id;
        }
    }
    disk.unsynced_writes.clear();
    deliver(host, control_event_payload(consensus::sync_completed{last}));
}

void node_fixture::send(const std::string& from, const std::string& to, const protocol::message& content)
{
    const bool is_sent = is_linked(from, to) && (!message_filter || message_filter(from, to, content));
    if (!is_sent) {
        return;
    }
    std::uniform_int_distribution<std::int64_t> delay_distribution(0, m_max_link_delay.count());
    time_point& arrival = m_last_arrival[{from, to}];
    arrival = std::max(arrival, pass_link(to, content) + step_duration +
                                    milliseconds{delay_distribution(m_random_engine)});
    schedule(arrival - m_now, [this, from, to, content] {
        const auto found = m_hosts.find(to);
        if (found == m_hosts.end() || !is_linked(from, to)) {
            return;
        }
        if (std::holds_alternative<control_state>(found->second.state)) {
            deliver(to, control_event_payload(peer_message_received{host_name{from}, content}));
        } else {
            deliver(to, routing::entry_event_payload(
                            routing::control_message_received{host_name{from}, content}));
        }
    });
}

time_point node_fixture::pass_link(const std::string& to, const protocol::message& content)
{
    const auto rate = m_link_rates.find(to);
    if (rate == m_link_rates.end()) {
        return m_now;
    }
    const auto bytes = static_cast<std::int64_t>(protocol::encode(content).size());
    time_point& free_at = m_link_free_at[to];
    free_at = std::max(free_at, m_now) + milliseconds{bytes * milliseconds_in_second / rate->second};
    milliseconds& longest = m_longest_link_waits[to];
    longest = std::max(longest, free_at - m_now);
    return free_at;
}

std::uint64_t node_fixture::register_call(std::function<void(const database::database_response&)> on_answer)
{
    const std::uint64_t number = m_next_id++;
    m_pending_calls.emplace(number, std::move(on_answer));
    return number;
}

void node_fixture::reduce_backend_event(const std::string& server,
                                        const database::database_event_payload& event)
{
    fake_backend& target = m_backends.at(server);
    database::database_transition transition = database::reduce(std::move(target.state), {m_now, event});
    target.state = std::move(transition.state);
    target.next_timer_at = transition.next_timer_at;
    for (const database::database_effect& effect : transition.effects) {
        if (const auto* answer = std::get_if<database::send_response>(&effect)) {
            schedule_answer(server, *answer);
        }
    }
}

void node_fixture::schedule_answer(const std::string& server, const database::send_response& effect)
{
    if (effect.is_dropped || (answer_filter && !answer_filter(server, effect.response))) {
        return;
    }
    const milliseconds delay = std::max(effect.not_before - m_now, statement_delay);
    schedule(delay, [this, server, effect] {
        const auto pending = m_pending_calls.find(effect.call);
        if (pending == m_pending_calls.end()) {
            return;
        }
        if (!is_running(server)) {
            if (m_backends.at(server).is_up) {
                schedule_answer(server, effect); // A suspended process answers after it resumes.
            }
            return;
        }
        const auto on_answer = pending->second;
        m_pending_calls.erase(pending);
        on_answer(effect.response);
    });
}

void node_fixture::run_statement(const std::string& entry, const routing::run_statement& run)
{
    ++m_statements_sent;
    const std::string server = run.server.value;
    const std::pair key(entry, run.connection);
    const auto report_lost = [this, entry, run] {
        deliver(entry, routing::entry_event_payload(
                           routing::statement_connection_lost{run.request, run.connection, "no answer"}));
    };
    if (!m_connections.contains(key)) {
        deliver(entry, routing::entry_event_payload(routing::statement_not_sent{run.request, run.connection,
                                                                                "the connection had ended"}));
        return;
    }
    database::statement_request statement{entry + "." + std::to_string(run.request),
                                          run.operation,
                                          run.kind,
                                          run.is_in_transaction,
                                          run.statement,
                                          run.term,
                                          run.minimum_position};
    const auto is_answered = std::make_shared<bool>(false);
    const auto report_lost_once = [report_lost, is_answered] {
        if (!std::exchange(*is_answered, true)) {
            report_lost();
        }
    };
    m_connection_loss_handlers[key] = report_lost_once;
    schedule(run.timeout, report_lost_once);
    const std::uint64_t call_number = register_call([this, entry, server, run,
                                                     is_answered](const database::database_response& answer) {
        if (*is_answered || !is_linked(entry, server) || !m_connections.contains({entry, run.connection})) {
            return;
        }
        *is_answered = true;
        if (const auto* done = std::get_if<database::statement_completed>(&answer)) {
            deliver(entry, routing::entry_event_payload(routing::statement_completed{
                               run.request, run.connection, done->position, done->data_age, done->body}));
        } else if (const auto* refused = std::get_if<database::statement_rejected>(&answer)) {
            deliver(entry, routing::entry_event_payload(routing::statement_refused{
                               run.request, run.connection, refused->reason, refused->position}));
        }
    });
    schedule(statement_delay, [this, entry, server, run, statement, call_number, report_lost_once] {
        const bool is_reachable = is_linked(entry, server) && m_backends.at(server).is_up;
        if (!is_reachable) {
            // An ended process resets the connection; a disconnected one leaves the statement unanswered.
            if (!m_backends.at(server).is_up) {
                report_lost_once();
            }
            return;
        }
        const auto run_at_server = [this, server, call_number, run, statement] {
            reduce_backend_event(server,
                                 database::statement_received{call_number, run.connection, statement});
        };
        if (is_running(server)) {
            run_at_server();
            return;
        }
        // The statement waits in the socket of the suspended process.
        const auto retry = std::make_shared<std::function<void()>>();
        *retry = [this, server, run_at_server, retry] {
            if (is_running(server)) {
                run_at_server();
            } else if (m_backends.at(server).is_up) {
                schedule(step_duration, *retry);
            }
        };
        schedule(step_duration, *retry);
    });
}

void node_fixture::carry_out(const std::string& host, routing::entry_effect&& effect)
{
    if (const auto* message = std::get_if<routing::send_to_control>(&effect)) {
        send(host, message->recipient.value, message->content);
    } else if (auto* response = std::get_if<routing::send_response>(&effect)) {
        EXPECT_FALSE(m_outcomes.contains(response->request))
            << "second outcome for request " << response->request;
        m_outcomes.insert_or_assign(response->request, std::move(response->outcome));
    } else if (const auto* run = std::get_if<routing::run_statement>(&effect)) {
        run_statement(host, *run);
    } else if (const auto* query = std::get_if<routing::request_position>(&effect)) {
        const std::string server = query->server.value;
        const routing::connection_number connection = query->connection;
        if (!is_linked(host, server) || !is_running(server)) {
            return;
        }
        const std::uint64_t call_number =
            register_call([this, host, connection](const database::database_response& answer) {
                deliver(host, routing::entry_event_payload(routing::position_received{
                                  connection, std::get<database::report_response>(answer).report}));
            });
        reduce_backend_event(server, database::report_requested{call_number});
    } else if (const auto* open = std::get_if<routing::open_connection>(&effect)) {
        const std::string server = open->server.value;
        const auto order = *open;
        if (!is_linked(host, server) || !is_running(server)) {
            schedule(step_duration, [this, host, order] {
                deliver(host, routing::entry_event_payload(
                                  routing::connection_closed{order.server, order.connection, "refused"}));
            });
            return;
        }
        const std::uint64_t call_number =
            register_call([this, host, server, order](const database::database_response& answer) {
                const auto* accepted = std::get_if<database::connection_response>(&answer);
                if (accepted != nullptr && accepted->is_accepted) {
                    m_connections[{host, order.connection}] = {host, server};
                    deliver(host, routing::entry_event_payload(
                                      routing::connection_opened{order.server, order.connection}));
                } else {
                    deliver(host, routing::entry_event_payload(routing::connection_closed{
                                      order.server, order.connection, "not accepted"}));
                }
            });
        reduce_backend_event(server, database::connection_requested{call_number, order.connection});
    } else if (const auto* close = std::get_if<routing::close_connection>(&effect)) {
        const auto found = m_connections.find({host, close->connection});
        if (found != m_connections.end()) {
            const std::string server = found->second.server;
            m_connections.erase(found);
            if (m_backends.at(server).is_up) {
                reduce_backend_event(server, database::connection_closed{close->connection});
            }
            deliver(host, routing::entry_event_payload(routing::connection_closed{
                              backend_server_name{server}, close->connection, "closed"}));
        }
    } else if (std::holds_alternative<routing::report_drained>(effect)) {
        m_drained.insert(host);
    } else if (const auto* probe = std::get_if<routing::probe_server>(&effect)) {
        const std::string server = probe->request.server.value;
        const routing::probe_server order = *probe;
        const bool is_reachable = is_linked(host, server) && is_running(server);
        schedule(is_reachable ? step_duration : probe_timeout, [this, host, server, order] {
            protocol::probe_response report{order.request.probe_id, order.request.server, std::nullopt};
            if (!is_linked(host, server) || !is_running(server)) {
                deliver(host, routing::entry_event_payload(routing::probe_finished{order.requester, report}));
                return;
            }
            const auto is_answered = std::make_shared<bool>(false);
            schedule(probe_timeout, [this, host, order, report, is_answered] {
                if (!std::exchange(*is_answered, true)) {
                    deliver(host,
                            routing::entry_event_payload(routing::probe_finished{order.requester, report}));
                }
            });
            const std::uint64_t call_number = register_call([this, host, order, report, is_answered](
                                                                const database::database_response& answer) {
                if (std::exchange(*is_answered, true)) {
                    return;
                }
                protocol::probe_response full = report;
                full.report = std::get<database::report_response>(answer).report;
                deliver(host, routing::entry_event_payload(routing::probe_finished{order.requester, full}));
            });
            reduce_backend_event(server, database::report_requested{call_number});
        });
    } else if (const auto* takeover = std::get_if<routing::send_role_change>(&effect)) {
        const std::string server = takeover->request.server.value;
        const routing::send_role_change order = *takeover;
        if (!is_linked(host, server) || !is_running(server)) {
            return;
        }
        const std::uint64_t call_number =
            register_call([this, host, order](const database::database_response& answer) {
                const auto& result = std::get<database::takeover_response>(answer);
                const protocol::role_change_request& sent_order = order.request;
                deliver(host, routing::entry_event_payload(routing::role_change_finished{
                                  order.requester, protocol::role_change_response{
                                                       sent_order.request_id, sent_order.group,
                                                       sent_order.server, sent_order.kind, sent_order.term,
                                                       result.is_accepted, result.last_position}}));
            });
        if (order.request.kind == protocol::server_role_change::promote) {
            reduce_backend_event(server, database::promotion_requested{call_number, {order.request.term}});
        } else {
            reduce_backend_event(
                server, database::replication_requested{
                            call_number,
                            {order.request.term, order.request.primary_address, order.request.term_start}});
        }
    }
}

void node_fixture::send_report(const std::string& server)
{
    fake_backend& backend = m_backends.at(server);
    if (backend.state.faults.suppresses_announcements) {
        return;
    }
    std::vector<std::string> entry_hosts;
    for (const auto& [name, host] : m_hosts) {
        if (name.rfind("entry-", 0) == 0 && is_running(name) && is_linked(name, server)) {
            entry_hosts.push_back(name);
        }
    }
    if (entry_hosts.empty()) {
        return;
    }
    const std::string entry_host = entry_hosts[backend.next_entry_host++ % entry_hosts.size()];
    const std::uint64_t call_number =
        register_call([this, entry_host](const database::database_response& answer) {
            deliver(entry_host, routing::entry_event_payload(routing::server_report_received{
                                    std::get<database::report_response>(answer).report}));
        });
    reduce_backend_event(server, database::report_requested{call_number});
}

void node_fixture::replicate_from_primary(const std::string& server)
{
    const database::database_state& replica = m_backends.at(server).state;
    if (!replica.primary || !m_backends.contains(replica.primary->address)) {
        return;
    }
    const std::string primary_name = replica.primary->address;
    const database::database_state& primary = m_backends.at(primary_name).state;
    const bool is_reachable = is_running(primary_name) && is_linked(server, primary_name) &&
                              primary.role == protocol::server_role::primary;
    if (!is_reachable) {
        return;
    }
    database::records_received batch;
    batch.requested_at = m_now;
    batch.term = primary.term;
    batch.after_position = replica.received.empty() ? database::current_position(replica).position
                                                    : replica.received.back().last_position;
    for (auto next_record = primary.log.lower_bound(batch.after_position + 1);
         next_record != primary.log.end(); ++next_record) {
        batch.records.push_back(next_record->second);
    }
    reduce_backend_event(server, std::move(batch));
}

} // namespace hickorymount::node

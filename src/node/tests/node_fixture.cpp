#include "node/tests/node_fixture.h"

#include "consensus/reduce.h"

#include <algorithm>
#include <utility>

namespace hickorymount::node {

namespace {

constexpr milliseconds statement_delay{1};
constexpr milliseconds announce_interval{100};
constexpr milliseconds probe_timeout{150};

std::string group_of(const std::string& server)
{
    return server.substr(0, server.rfind('-'));
}

database::endpoint address_of(const std::string& server)
{
    return {server, 1};
}

} // namespace

std::pair<std::string, std::string> node_fixture::ordered(const std::string& one, const std::string& other)
{
    return one < other ? std::pair(one, other) : std::pair(other, one);
}

bool node_fixture::is_linked(const std::string& one, const std::string& other) const
{
    return !m_cuts.contains(ordered(one, other));
}

bool node_fixture::is_running(const std::string& name) const
{
    const auto host = m_hosts.find(name);
    const auto server = m_backends.find(name);
    const bool is_up =
        (host != m_hosts.end() && host->second.is_up) || (server != m_backends.end() && server->second.is_up);
    return is_up && !m_frozen.contains(name);
}

time_point node_fixture::clock_of(const std::string& host) const
{
    const auto found = m_clocks.find(host);
    if (found == m_clocks.end()) {
        return m_now;
    }
    const drifting_clock& clock = found->second;
    const milliseconds passed = m_now - clock.set_at;
    return clock.reading + passed + passed * clock.per_mille / 1000;
}

void node_fixture::set_clock_rate(const std::string& host, int per_mille)
{
    m_clocks[host] = {m_now, clock_of(host), per_mille};
}

void node_fixture::later(milliseconds delay, std::function<void()> action)
{
    m_later.emplace(m_now + delay, std::move(action));
}

void node_fixture::start_control_hosts(int count)
{
    for (int at = 1; at <= count; ++at) {
        const std::string name = "control-" + std::to_string(at);
        m_disks[name].durable.identity = folder_identity{"folder-" + std::to_string(m_next_identity++)};
        m_hosts[name] = {};
    }
    consensus::membership members;
    for (const auto& [name, disk] : m_disks) {
        members.voters.push_back({host_name{name}, disk.durable.identity});
    }
    for (const consensus::member& member : members.voters) {
        restart(member.name.value);
        deliver(member.name.value, control_event_kind(consensus::formed{members}));
    }
}

void node_fixture::add_control_host(const std::string& name)
{
    m_disks[name].durable.identity = folder_identity{"folder-" + std::to_string(m_next_identity++)};
    m_hosts[name] = {};
    restart(name);
}

void node_fixture::start_entry_hosts(int count)
{
    for (int at = 1; at <= count; ++at) {
        start_entry_host("entry-" + std::to_string(at));
    }
}

void node_fixture::start_entry_host(const std::string& name)
{
    m_hosts[name] = {};
    restart(name);
}

void node_fixture::drain(const std::string& entry)
{
    deliver(entry, routing::entry_event_kind(routing::drain_asked{}));
}

void node_fixture::start_group(const std::string& group, int replicas, milliseconds lag)
{
    for (int at = 1; at <= replicas + 1; ++at) {
        const std::string name = group + "-" + std::to_string(at);
        database::database_settings settings;
        settings.name = backend_server_name{name};
        settings.group = group_name{group};
        settings.zone = availability_zone{"zone-" + std::to_string(at)};
        settings.address = address_of(name);
        settings.started_at = m_wall;
        settings.replication_lag = lag;
        if (at > 1) {
            settings.primary = address_of(group + "-1");
        }
        m_backends[name].is_up = true;
        run_backend(name, database::database_started{settings});
    }
}

void node_fixture::start_all(milliseconds lag)
{
    start_control_hosts(3);
    start_entry_hosts(2);
    start_group("orders", 2, lag);
    ASSERT_TRUE(pass_until([this] { return !leader().empty(); }));
    const std::uint64_t request = change_configuration(leader(), "first", 0, default_configuration());
    ASSERT_TRUE(pass_until([&] { return operator_answer(request).has_value(); }));
    ASSERT_TRUE(pass_until([this] {
        const auto is_served = [this](const std::string& name) {
            const auto* group = entry(name).groups.find(group_name{"orders"});
            const auto& servers = entry(name).servers;
            return group != nullptr && group->record.term == 1 && servers.size() == 3 &&
                   std::all_of(servers.begin(), servers.end(),
                               [](const auto& each) {
                                   return !each.second.connections.idle.empty() &&
                                          each.second.report.at.term == 1;
                               }) &&
                   entry(name).lease.was_valid;
        };
        return is_served("entry-1") && is_served("entry-2");
    }));
}

configuration::configuration node_fixture::default_configuration()
{
    using configuration::acknowledgement;
    using configuration::statement_kind;
    configuration::configuration made;
    made.deployment = "test";
    made.tenant = tenant_name{"test"};
    made.zones = {availability_zone{"zone-1"}};
    made.entry_hosts = 2;
    made.groups[group_name{"orders"}] = {3, 3, 20, milliseconds{12}};
    const milliseconds deadline{6000};
    made.classes[class_name{"lookup"}] = {
        statement_kind::read, {}, acknowledgement::primary, true, milliseconds{0}, deadline, 64};
    made.classes[class_name{"browse"}] = {statement_kind::read,
                                          milliseconds{500},
                                          acknowledgement::primary,
                                          true,
                                          milliseconds{0},
                                          deadline,
                                          64};
    made.classes[class_name{"log"}] = {
        statement_kind::write, {}, acknowledgement::primary, true, milliseconds{0}, deadline, 64};
    made.classes[class_name{"approval"}] = {
        statement_kind::write, {}, acknowledgement::replica, true, milliseconds{0}, deadline, 64};
    made.classes[class_name{"booking"}] = {
        statement_kind::write, {}, acknowledgement::primary, false, milliseconds{3'600'000}, deadline, 64};
    return made;
}

void node_fixture::pass(milliseconds duration)
{
    const time_point until = m_now + duration;
    while (m_now < until) {
        m_now += step_time;
        m_wall += step_time;
        while (!m_later.empty() && m_later.begin()->first <= m_now) {
            const std::function<void()> action = m_later.begin()->second;
            m_later.erase(m_later.begin());
            action();
        }
        for (auto& [name, host] : m_hosts) {
            if (!is_running(name)) {
                continue;
            }
            while (!host.inbox.empty()) {
                const node_event_kind what = host.inbox.front();
                host.inbox.pop_front();
                reduce_at(name, what);
            }
            if (clock_of(name) >= host.wake_at) {
                const bool is_control = std::holds_alternative<control_state>(host.state);
                reduce_at(name, is_control
                                    ? node_event_kind(control_event_kind(control_time_passed{}))
                                    : node_event_kind(routing::entry_event_kind(routing::time_passed{})));
            }
            finish_syncs(name);
        }
        for (auto& [name, server] : m_backends) {
            if (!is_running(name)) {
                continue;
            }
            if (m_now >= server.wake_at) {
                run_backend(name, database::time_passed{});
            }
            if (m_now >= server.announce_at) {
                server.announce_at = m_now + announce_interval;
                announce(name);
            }
            replicate(name);
        }
    }
}

bool node_fixture::pass_until(const std::function<bool()>& condition, milliseconds limit)
{
    const time_point until = m_now + limit;
    while (!condition()) {
        if (m_now >= until) {
            return false;
        }
        pass(step_time);
    }
    return true;
}

void node_fixture::isolate(const std::string& host, const std::string& prefix)
{
    for (const auto& [name, other] : m_hosts) {
        if (name != host && name.rfind(prefix, 0) == 0) {
            cut(host, name);
        }
    }
    for (const auto& [name, other] : m_backends) {
        if (name != host && name.rfind(prefix, 0) == 0) {
            cut(host, name);
        }
    }
}

void node_fixture::rejoin(const std::string& host)
{
    std::erase_if(m_cuts, [&](const auto& pair) { return pair.first == host || pair.second == host; });
}

void node_fixture::kill(const std::string& host)
{
    if (const auto server = m_backends.find(host); server != m_backends.end()) {
        server->second.is_up = false;
    }
    if (const auto process = m_hosts.find(host); process != m_hosts.end()) {
        process->second.is_up = false;
        process->second.inbox.clear();
        m_disks[host].unsynced.clear();
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
            // A dead peer's connections end at once on both sides.
            if (const auto statement = m_statements.find(key); statement != m_statements.end()) {
                statement->second();
                m_statements.erase(statement);
            }
            deliver(connection.entry, routing::entry_event_kind(routing::connection_ended{
                                          backend_server_name{host}, key.second, "connection reset"}));
        } else if (is_running(connection.server)) {
            run_backend(connection.server, database::connection_closed{key.second});
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
        run_backend(host, database::database_started{settings});
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
        reduce_at(host, control_event_kind(control_started{host_name{host}, control_hosts,
                                                           m_disks[host].durable, m_next_seed += 7919}));
        return;
    }
    process.state = routing::entry_state{};
    reduce_at(host, routing::entry_event_kind(routing::entry_started{
                        {host_name{host}, incarnation_id{"run-" + std::to_string(process.incarnation)}},
                        availability_zone{"zone-" + host.substr(host.rfind('-') + 1)},
                        control_hosts}));
}

void node_fixture::lose_disk(const std::string& host)
{
    m_disks[host] = {};
    m_disks[host].durable.identity = folder_identity{"folder-" + std::to_string(m_next_identity++)};
}

void node_fixture::set_disk(const std::string& host, consensus::stored_state stored)
{
    m_disks[host] = {std::move(stored), {}};
}

std::uint64_t node_fixture::ask(const std::string& entry, routing::caller_request request)
{
    request.request = m_next++;
    const std::uint64_t number = request.request;
    deliver(entry, routing::entry_event_kind(std::move(request)));
    return number;
}

std::uint64_t node_fixture::write(const std::string& entry, const std::string& statement,
                                  const std::string& class_of_request)
{
    routing::caller_request request;
    request.group = group_name{"orders"};
    request.class_of_request = class_name{class_of_request};
    request.statement = statement;
    return ask(entry, std::move(request));
}

std::uint64_t node_fixture::read(const std::string& entry, const std::string& key,
                                 const session::token& token)
{
    routing::caller_request request;
    request.group = group_name{"orders"};
    request.class_of_request = class_name{"lookup"};
    request.statement = "get " + key;
    request.token = token;
    return ask(entry, std::move(request));
}

std::uint64_t node_fixture::book(const std::string& entry, const std::string& statement,
                                 const std::string& key)
{
    routing::caller_request request;
    request.group = group_name{"orders"};
    request.class_of_request = class_name{"booking"};
    request.statement = statement;
    request.key = request_key{key};
    return ask(entry, std::move(request));
}

routing::caller_outcome node_fixture::outcome(std::uint64_t request, milliseconds limit)
{
    pass_until([&] { return has_outcome(request); }, limit);
    EXPECT_TRUE(has_outcome(request)) << "request " << request << " got no outcome";
    return has_outcome(request) ? m_outcomes.at(request)
                                : routing::outcome_unknown{"fixture", "", "no outcome"};
}

std::uint64_t node_fixture::change_configuration(const std::string& control, const std::string& id,
                                                 std::uint64_t base, configuration::configuration content)
{
    const std::uint64_t number = m_next++;
    deliver(control, control_event_kind(supervision::configuration_asked{
                         number, {change_id{id}, base, std::move(content)}}));
    return number;
}

std::optional<supervision::operator_answer> node_fixture::operator_answer(std::uint64_t request) const
{
    const auto found = m_operator_answers.find(request);
    return found == m_operator_answers.end() ? std::nullopt : std::optional(found->second);
}

void node_fixture::ask_operator(const std::string& control, control_event_kind what)
{
    deliver(control, std::move(what));
}

std::string node_fixture::leader() const
{
    std::string found;
    consensus::log_term term = 0;
    for (const auto& [name, host] : m_hosts) {
        const auto* state = std::get_if<control_state>(&host.state);
        const bool leads = state != nullptr && host.is_up && consensus::is_serving(state->consensus) &&
                           state->consensus.hard.term > term;
        if (leads) {
            found = name;
            term = state->consensus.hard.term;
        }
    }
    return found;
}

const control_state& node_fixture::control(const std::string& host) const
{
    return std::get<control_state>(m_hosts.at(host).state);
}

const routing::entry_state& node_fixture::entry(const std::string& host) const
{
    return std::get<routing::entry_state>(m_hosts.at(host).state);
}

std::string node_fixture::primary_of(const std::string& group) const
{
    const auto* record = control(leader()).directory.groups.find(group_name{group});
    return record == nullptr || record->phase != directory::group_phase::open ? "" : record->primary.value;
}

std::uint64_t node_fixture::term_of(const std::string& group) const
{
    const std::string leading = leader();
    const auto* record =
        leading.empty() ? nullptr : control(leading).directory.groups.find(group_name{group});
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
    run_backend(server, database::faults_set{0, faults});
}

void node_fixture::deliver(const std::string& host, node_event_kind what)
{
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end() && found->second.is_up) {
        found->second.inbox.push_back(std::move(what));
    }
}

void node_fixture::reduce_at(const std::string& host, const node_event_kind& what)
{
    fake_host& process = m_hosts.at(host);
    node_transition next = reduce(std::move(process.state), {clock_of(host), m_wall, what}, m_policy);
    process.state = std::move(next.state);
    process.wake_at = next.wake_at;
    for (node_effect& effect : next.effects) {
        std::visit([&](auto& role) { carry_out(host, std::move(role)); }, effect);
    }
}

void node_fixture::carry_out(const std::string& host, control_effect&& effect)
{
    if (const auto* sent = std::get_if<send_to_peer>(&effect)) {
        send(host, sent->to.value, sent->content);
    } else if (const auto* answered = std::get_if<supervision::answer_operator>(&effect)) {
        m_operator_answers.insert_or_assign(answered->request, answered->answer);
    } else if (!std::holds_alternative<logging::log_record>(effect)) {
        m_disks[host].unsynced.push_back(std::move(effect));
    }
}

void node_fixture::finish_syncs(const std::string& host)
{
    fake_disk& disk = m_disks[host];
    if (m_held_syncs.contains(host) || disk.unsynced.empty()) {
        return;
    }
    consensus::sync_id last = 0;
    for (const control_effect& write : disk.unsynced) {
        if (const auto* log = std::get_if<consensus::persist_log>(&write)) {
            disk.durable.hard = log->hard;
            std::erase_if(disk.durable.entries, [&](const consensus::log_entry& entry) {
                return entry.index >= log->truncate_from;
            });
            disk.durable.entries.insert(disk.durable.entries.end(), log->entries.begin(), log->entries.end());
            last = log->id;
        } else {
            const auto& snapshot = std::get<consensus::persist_snapshot>(write);
            disk.durable.hard = snapshot.hard;
            disk.durable.latest = snapshot.content;
            disk.durable.entries = snapshot.entries;
            last = snapshot.id;
        }
    }
    disk.unsynced.clear();
    deliver(host, control_event_kind(consensus::synced{last}));
}

void node_fixture::send(const std::string& from, const std::string& to, const protocol::message& content)
{
    const bool passes = is_linked(from, to) && (!message_filter || message_filter(from, to, content));
    if (!passes) {
        return;
    }
    std::uniform_int_distribution<std::int64_t> spread(0, m_most_delay.count());
    time_point& arrival = m_last_arrival[{from, to}];
    arrival = std::max(arrival, m_now + step_time + milliseconds{spread(m_random)});
    later(arrival - m_now, [this, from, to, content] {
        const auto found = m_hosts.find(to);
        if (found == m_hosts.end() || !is_linked(from, to)) {
            return;
        }
        if (std::holds_alternative<control_state>(found->second.state)) {
            deliver(to, control_event_kind(peer_message{host_name{from}, content}));
        } else {
            deliver(to, routing::entry_event_kind(routing::control_message{host_name{from}, content}));
        }
    });
}

std::uint64_t node_fixture::call(std::function<void(const database::database_answer&)> on_answer)
{
    const std::uint64_t number = m_next++;
    m_calls.emplace(number, std::move(on_answer));
    return number;
}

void node_fixture::run_backend(const std::string& server, const database::database_event_kind& what)
{
    fake_backend& target = m_backends.at(server);
    database::database_transition next = database::reduce(std::move(target.state), {m_now, what});
    target.state = std::move(next.state);
    target.wake_at = next.wake_at;
    for (const database::database_effect& effect : next.effects) {
        if (const auto* answered = std::get_if<database::answer_call>(&effect)) {
            answer(server, *answered);
        }
    }
}

void node_fixture::answer(const std::string& server, const database::answer_call& answered)
{
    if (answered.is_dropped || (answer_filter && !answer_filter(server, answered.answer))) {
        return;
    }
    const milliseconds delay = std::max(answered.not_before - m_now, statement_delay);
    later(delay, [this, server, answered] {
        const auto waiting = m_calls.find(answered.call);
        if (waiting == m_calls.end()) {
            return;
        }
        if (!is_running(server)) {
            if (m_backends.at(server).is_up) {
                answer(server, answered); // Frozen: the answer leaves after the thaw.
            }
            return;
        }
        const auto on_answer = waiting->second;
        m_calls.erase(waiting);
        on_answer(answered.answer);
    });
}

void node_fixture::run_statement(const std::string& entry, const routing::run_statement& run)
{
    ++m_statements_sent;
    const std::string server = run.server.value;
    const std::pair key(entry, run.connection);
    const auto lose = [this, entry, run] {
        deliver(entry,
                routing::entry_event_kind(routing::statement_lost{run.request, run.connection, "no answer"}));
    };
    if (!m_connections.contains(key)) {
        deliver(entry, routing::entry_event_kind(routing::statement_not_sent{run.request, run.connection,
                                                                             "the connection had ended"}));
        return;
    }
    database::statement what{entry + "." + std::to_string(run.request),
                             run.what,
                             run.kind,
                             run.is_in_transaction,
                             run.statement,
                             run.term,
                             run.least_position};
    const auto is_answered = std::make_shared<bool>(false);
    const auto lose_once = [lose, is_answered] {
        if (!std::exchange(*is_answered, true)) {
            lose();
        }
    };
    m_statements[key] = lose_once;
    later(run.timeout, lose_once);
    const std::uint64_t number = call([this, entry, server, run,
                                       is_answered](const database::database_answer& got) {
        if (*is_answered || !is_linked(entry, server) || !m_connections.contains({entry, run.connection})) {
            return;
        }
        *is_answered = true;
        if (const auto* done = std::get_if<database::statement_done>(&got)) {
            deliver(entry, routing::entry_event_kind(routing::statement_answered{
                               run.request, run.connection, done->at, done->age, done->body}));
        } else if (const auto* refused = std::get_if<database::statement_rejected>(&got)) {
            deliver(entry, routing::entry_event_kind(routing::statement_refused{
                               run.request, run.connection, refused->reason, refused->at}));
        }
    });
    later(statement_delay, [this, entry, server, run, what, number, lose_once] {
        const bool arrives = is_linked(entry, server) && m_backends.at(server).is_up;
        if (!arrives) {
            // A dead process resets the connection; a cut one leaves the statement unanswered.
            if (!m_backends.at(server).is_up) {
                lose_once();
            }
            return;
        }
        const auto arrive = [this, server, number, run, what] {
            run_backend(server, database::statement_call{number, run.connection, what});
        };
        if (is_running(server)) {
            arrive();
            return;
        }
        // Frozen: the statement waits in the socket.
        const auto retry = std::make_shared<std::function<void()>>();
        *retry = [this, server, arrive, retry] {
            if (is_running(server)) {
                arrive();
            } else if (m_backends.at(server).is_up) {
                later(step_time, *retry);
            }
        };
        later(step_time, *retry);
    });
}

void node_fixture::carry_out(const std::string& host, routing::entry_effect&& effect)
{
    if (const auto* sent = std::get_if<routing::send_to_control>(&effect)) {
        send(host, sent->to.value, sent->content);
    } else if (auto* answered = std::get_if<routing::answer_caller>(&effect)) {
        EXPECT_FALSE(m_outcomes.contains(answered->request)) << "a second outcome for " << answered->request;
        m_outcomes.insert_or_assign(answered->request, std::move(answered->outcome));
    } else if (const auto* run = std::get_if<routing::run_statement>(&effect)) {
        run_statement(host, *run);
    } else if (const auto* asked = std::get_if<routing::ask_position>(&effect)) {
        const std::string server = asked->server.value;
        const routing::connection_number connection = asked->connection;
        if (!is_linked(host, server) || !is_running(server)) {
            return;
        }
        const std::uint64_t number = call([this, host, connection](const database::database_answer& got) {
            deliver(host, routing::entry_event_kind(routing::position_told{
                              connection, std::get<database::report_answer>(got).report}));
        });
        run_backend(server, database::report_asked{number});
    } else if (const auto* opened = std::get_if<routing::open_connection>(&effect)) {
        const std::string server = opened->server.value;
        const auto order = *opened;
        if (!is_linked(host, server) || !is_running(server)) {
            later(step_time, [this, host, order] {
                deliver(host, routing::entry_event_kind(
                                  routing::connection_ended{order.server, order.connection, "refused"}));
            });
            return;
        }
        const std::uint64_t number = call([this, host, server, order](const database::database_answer& got) {
            const auto* accepted = std::get_if<database::connection_answer>(&got);
            if (accepted != nullptr && accepted->is_accepted) {
                m_connections[{host, order.connection}] = {host, server};
                deliver(host, routing::entry_event_kind(
                                  routing::connection_opened{order.server, order.connection}));
            } else {
                deliver(host, routing::entry_event_kind(
                                  routing::connection_ended{order.server, order.connection, "not accepted"}));
            }
        });
        run_backend(server, database::connection_asked{number, order.connection});
    } else if (const auto* closed = std::get_if<routing::close_connection>(&effect)) {
        const auto found = m_connections.find({host, closed->connection});
        if (found != m_connections.end()) {
            const std::string server = found->second.server;
            m_connections.erase(found);
            if (m_backends.at(server).is_up) {
                run_backend(server, database::connection_closed{closed->connection});
            }
            deliver(host, routing::entry_event_kind(routing::connection_ended{backend_server_name{server},
                                                                              closed->connection, "closed"}));
        }
    } else if (std::holds_alternative<routing::drained>(effect)) {
        m_drained.insert(host);
    } else if (const auto* probed = std::get_if<routing::probe_server>(&effect)) {
        const std::string server = probed->order.server.value;
        const routing::probe_server order = *probed;
        const bool reaches = is_linked(host, server) && is_running(server);
        later(reaches ? step_time : probe_timeout, [this, host, server, order] {
            protocol::probe_report report{order.order.probe, order.order.server, std::nullopt};
            if (!is_linked(host, server) || !is_running(server)) {
                deliver(host, routing::entry_event_kind(routing::probe_finished{order.asked_by, report}));
                return;
            }
            const auto is_answered = std::make_shared<bool>(false);
            later(probe_timeout, [this, host, order, report, is_answered] {
                if (!std::exchange(*is_answered, true)) {
                    deliver(host, routing::entry_event_kind(routing::probe_finished{order.asked_by, report}));
                }
            });
            const std::uint64_t number =
                call([this, host, order, report, is_answered](const database::database_answer& got) {
                    if (std::exchange(*is_answered, true)) {
                        return;
                    }
                    protocol::probe_report full = report;
                    full.status = std::get<database::report_answer>(got).report;
                    deliver(host, routing::entry_event_kind(routing::probe_finished{order.asked_by, full}));
                });
            run_backend(server, database::report_asked{number});
        });
    } else if (const auto* told = std::get_if<routing::tell_server>(&effect)) {
        const std::string server = told->order.server.value;
        const routing::tell_server order = *told;
        if (!is_linked(host, server) || !is_running(server)) {
            return;
        }
        const std::uint64_t number = call([this, host, order](const database::database_answer& got) {
            const auto& answer = std::get<database::takeover_answer>(got);
            const protocol::takeover_order& asked = order.order;
            deliver(host, routing::entry_event_kind(routing::takeover_finished{
                              order.asked_by,
                              protocol::takeover_report{asked.order, asked.group, asked.server, asked.kind,
                                                        asked.term, answer.is_done, answer.start}}));
        });
        if (order.order.kind == protocol::takeover_kind::promote) {
            run_backend(server, database::promote_asked{number, {order.order.term}});
        } else {
            run_backend(server,
                        database::follow_asked{
                            number, {order.order.term, order.order.primary_address, order.order.start}});
        }
    }
}

void node_fixture::announce(const std::string& server)
{
    fake_backend& from = m_backends.at(server);
    if (from.state.faults.is_mute) {
        return;
    }
    std::vector<std::string> entries;
    for (const auto& [name, host] : m_hosts) {
        if (name.rfind("entry-", 0) == 0 && is_running(name) && is_linked(name, server)) {
            entries.push_back(name);
        }
    }
    if (entries.empty()) {
        return;
    }
    const std::string to = entries[from.next_entry++ % entries.size()];
    const std::uint64_t number = call([this, to](const database::database_answer& got) {
        deliver(to,
                routing::entry_event_kind(routing::announced{std::get<database::report_answer>(got).report}));
    });
    run_backend(server, database::report_asked{number});
}

void node_fixture::replicate(const std::string& server)
{
    const database::database_state& replica = m_backends.at(server).state;
    if (!replica.primary || !m_backends.contains(replica.primary->address)) {
        return;
    }
    const std::string source = replica.primary->address;
    const database::database_state& primary = m_backends.at(source).state;
    const bool reaches =
        is_running(source) && is_linked(server, source) && primary.role == protocol::server_role::primary;
    if (!reaches) {
        return;
    }
    database::records_arrived arrived;
    arrived.asked_at = m_now;
    arrived.term = primary.term;
    arrived.after =
        replica.arrived.empty() ? database::position_of(replica).position : replica.arrived.back().up_to;
    for (auto each = primary.log.lower_bound(arrived.after + 1); each != primary.log.end(); ++each) {
        arrived.records.push_back(each->second);
    }
    run_backend(server, std::move(arrived));
}

} // namespace hickorymount::node

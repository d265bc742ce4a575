#include "soak/emulated_group.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace hickorymount::soak {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using sessions::response_code;
using sessions::statement_kind;
using sessions::transaction_state;

constexpr milliseconds replication_interval{5};
constexpr milliseconds promotion_time{300};
/// A replaced primary becomes a replica this long after it can reach the new primary, unless it is demoted
/// earlier.
constexpr milliseconds step_down_time{1000};
/// Range of the time that a statement takes.
constexpr int min_statement_time_ms = 1;
constexpr int max_statement_time_ms = 8;
/// Range of the time after which an answer is sent again.
constexpr int min_repeat_delay_ms = 2;
constexpr int max_repeat_delay_ms = 700;
/// Stands in an error answer if the alphabet is plain.
constexpr const char* error_text = "refused";
/// On average, one of this many statements gets `busy`, as if the server's queue were full.
constexpr std::uint32_t busy_interval = 60;

} // namespace

/// One connection to an emulated server.
struct emulated_group::session
{
    /// Index of the server.
    std::size_t index = 0;
    std::shared_ptr<message_connection> connection;
    bool is_open = false;
    bool is_ended = false;
    /// The session was opened while the server was isolated; nothing on it is answered.
    bool is_unheard = false;
    /// Who opened the session: the customer, if callers belong to customers.
    std::string credential;
    std::map<std::string, std::string> values;
    std::map<std::string, sessions::statement> prepared;
    /// Zero outside a transaction.
    std::uint64_t transaction = 0;
    bool is_read_only = false;
    bool has_failed = false;
    std::vector<std::string> writes;
    /// A session runs one statement at a time; the others wait.
    std::deque<platform::statement_message> waiting;
    bool is_running = false;
};

emulated_group::emulated_group(asio::io_context& context, std::string name, consistency_checker& checker,
                               std::uint32_t seed, field_alphabet alphabet)
    : m_context(context), m_name(std::move(name)), m_checker(checker), m_random(seed),
      m_fields(seed + 1, alphabet), m_disturbance_random(seed + 2), m_servers(server_count),
      m_replication_timer(context), m_promotion_timer(context)
{
    for (std::size_t index = 0; index < server_count; ++index) {
        m_servers[index].name = fmt::format("{}-{}", m_name, index + 1);
        m_servers[index].is_primary = index == 0;
        m_servers[index].started_at_ms = unix_now().count();
    }
}

emulated_group::~emulated_group() = default;

result<void> emulated_group::start()
{
    for (std::size_t index = 0; index < server_count; ++index) {
        boost::system::error_code error;
        auto acceptor = std::make_unique<tcp::acceptor>(m_context);
        const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), 0);
        acceptor->open(endpoint.protocol(), error);
        if (!error) {
            acceptor->bind(endpoint, error);
        }
        if (!error) {
            acceptor->listen(asio::socket_base::max_listen_connections, error);
        }
        if (error) {
            return fail("listen", m_servers[index].name, error.message());
        }
        m_servers[index].port = acceptor->local_endpoint().port();
        m_servers[index].acceptor = std::move(acceptor);
        accept(index);
    }
    schedule_replication();
    return {};
}

void emulated_group::stop()
{
    m_replication_timer.cancel();
    m_promotion_timer.cancel();
    for (server& each : m_servers) {
        each.acceptor->close();
        for (const auto& open_session : std::exchange(each.sessions, {})) {
            close_session(each, open_session);
        }
    }
}

std::vector<server_announcement> emulated_group::announcements()
{
    const std::lock_guard lock(m_announcement_mutex);
    for (server_announcement& each : m_announcements) {
        ++each.sequence;
    }
    return m_announcements;
}

bool emulated_group::promote(const std::string& name)
{
    const auto running_servers = announcements();
    const bool is_running = std::any_of(running_servers.begin(), running_servers.end(),
                                        [&](const server_announcement& each) { return each.name == name; });
    if (is_running) {
        asio::post(m_context, [this, name] {
            m_promotion_timer.expires_after(promotion_time);
            m_promotion_timer.async_wait([this, name](const boost::system::error_code& error) {
                if (!error) {
                    complete_promotion(name);
                }
            });
        });
    }
    return is_running;
}

void emulated_group::complete_promotion(const std::string& name)
{
    const auto promoted = std::find_if(m_servers.begin(), m_servers.end(),
                                       [&](const server& each) { return each.name == name; });
    if (!promoted->is_running || (promoted->is_primary && promoted->term == m_newest_term)) {
        return;
    }
    promoted->is_primary = true;
    promoted->term = ++m_newest_term;
    promoted->applied_length = promoted->log.size();
    promoted->received_lengths.clear();
    promoted->paused_below_term = 0;
    m_checker.record_promotion(term_starts(*promoted), promoted->log.size());
}

std::size_t emulated_group::primary_index() const
{
    const auto newest = std::find_if(m_servers.begin(), m_servers.end(), [this](const server& each) {
        return each.is_primary && each.term == m_newest_term;
    });
    return static_cast<std::size_t>(newest - m_servers.begin()) % server_count;
}

void emulated_group::crash(std::size_t index, milliseconds duration)
{
    server& crashed = m_servers[index];
    if (!std::exchange(crashed.is_running, false)) {
        return;
    }
    crashed.pending_commits.clear();
    for (const auto& open_session : std::exchange(crashed.sessions, {})) {
        close_session(crashed, open_session);
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context, duration);
    timer->async_wait([this, index, timer](const boost::system::error_code& error) {
        server& restarted = m_servers[index];
        if (error) {
            return;
        }
        restarted.is_running = true;
        restarted.started_at_ms = unix_now().count();
        restarted.sequence = 0;
        restarted.paused_below_term = 0;
        restarted.applied_length = restarted.log.size();
        restarted.received_lengths.clear();
        restarted.is_primary = restarted.is_primary && restarted.term == m_newest_term;
    });
}

void emulated_group::make_unresponsive(std::size_t index, milliseconds duration)
{
    m_servers[index].unresponsive_until = millisecond_clock::now() + duration;
}

void emulated_group::isolate_primary(milliseconds duration, milliseconds unaware_time)
{
    server& primary = m_servers[primary_index()];
    primary.isolated_until = millisecond_clock::now() + duration;
    primary.unaware_until = millisecond_clock::now() + unaware_time;
}

void emulated_group::delay_replication(std::size_t index, milliseconds lag, milliseconds duration)
{
    m_servers[index].lag = lag;
    m_servers[index].lag_until = millisecond_clock::now() + duration;
}

void emulated_group::stop_replication(std::size_t index, milliseconds duration)
{
    m_servers[index].replication_stopped_until = millisecond_clock::now() + duration;
}

void emulated_group::lose_answers(std::size_t index, double probability, milliseconds duration)
{
    m_servers[index].answer_loss_probability = probability;
    m_servers[index].answer_loss_until = millisecond_clock::now() + duration;
}

void emulated_group::disturb_answers(std::size_t index, const answer_faults& faults, milliseconds duration)
{
    m_servers[index].disturbance = faults;
    m_servers[index].disturbed_until = millisecond_clock::now() + duration;
}

void emulated_group::accept(std::size_t index)
{
    m_servers[index].acceptor->async_accept(
        [this, index](const boost::system::error_code& error, tcp::socket socket) {
            if (error) {
                return;
            }
            if (m_servers[index].is_running) {
                auto accepted = std::make_shared<session>();
                accepted->index = index;
                accepted->is_unheard = millisecond_clock::now() < m_servers[index].isolated_until;
                accepted->connection = std::make_shared<message_connection>(std::move(socket));
                accepted->connection->set_handlers(
                    {[this, accepted](const std::string& message) { handle_message(accepted, message); },
                     [this, accepted] { close_session(m_servers[accepted->index], accepted); }});
                m_servers[index].sessions.push_back(accepted);
                accepted->connection->start();
            }
            accept(index);
        });
}

void emulated_group::close_session(server& local_server, const std::shared_ptr<session>& closed)
{
    closed->is_ended = true;
    closed->connection->close();
    std::erase(local_server.sessions, closed);
    std::erase_if(local_server.pending_commits,
                  [&](const pending_commit& each) { return each.client == closed; });
}

void emulated_group::handle_message(const std::shared_ptr<session>& client, const std::string& message)
{
    server& local_server = m_servers[client->index];
    const platform::request_message decoded = platform::parse_request(message);
    if (std::holds_alternative<std::monostate>(decoded)) {
        m_checker.record_unreadable(fmt::format("server {}", local_server.name), message);
    }
    if (client->is_unheard || millisecond_clock::now() < local_server.unresponsive_until) {
        return;
    }
    if (const auto* opening = std::get_if<platform::opening_message>(&decoded)) {
        const bool is_expected_server =
            opening->database == m_name && (opening->server.empty() || opening->server == local_server.name);
        if (!is_expected_server) {
            client->connection->send(platform::write_error({response_code::misrouted, local_server.name}));
            close_session(local_server, client);
            return;
        }
        client->is_open = true;
        client->credential = opening->credential;
        send_message(client, [this, client] {
            return platform::write_ready({state_of(*client), position_of(m_servers[client->index])});
        });
        return;
    }
    const auto* request = std::get_if<platform::statement_message>(&decoded);
    if (request == nullptr || !client->is_open) {
        close_session(local_server, client);
        return;
    }
    m_checker.record_received(request->id, request->body, local_server.name);
    client->waiting.push_back(*request);
    run_next_statement(client);
}

void emulated_group::run_next_statement(const std::shared_ptr<session>& client)
{
    if (client->is_running || client->waiting.empty()) {
        return;
    }
    client->is_running = true;
    const platform::statement_message request = client->waiting.front();
    client->waiting.pop_front();
    auto timer = std::make_shared<asio::steady_timer>(m_context);
    std::uniform_int_distribution<int> statement_time(min_statement_time_ms, max_statement_time_ms);
    timer->expires_after(milliseconds{statement_time(m_random)});
    timer->async_wait([this, client, request, timer](const boost::system::error_code& error) {
        if (!error && !client->is_ended) {
            handle_statement(client, request);
        }
    });
}

void emulated_group::end_statement(const std::shared_ptr<session>& client)
{
    client->is_running = false;
    run_next_statement(client);
}

void emulated_group::handle_statement(const std::shared_ptr<session>& client,
                                      const platform::statement_message& request)
{
    if (request.body.kind > statement_kind::reset) {
        handle_control_statement(client, request.body);
        return;
    }
    if (const auto rejection = rejection_for(*client, request)) {
        client->has_failed =
            client->has_failed || (client->transaction != 0 && *rejection != response_code::busy);
        send_answer(client, {{}, *rejection, m_fields.next(error_text), transaction_state::none, {}}, false);
        return;
    }
    execute(client, request);
}

std::optional<response_code> emulated_group::rejection_for(const session& client,
                                                           const platform::statement_message& request)
{
    const server& local_server = m_servers[client.index];
    const statement_kind kind = request.body.kind;
    if (client.has_failed && kind != statement_kind::rollback) {
        return response_code::malformed;
    }
    const bool is_known = kind != statement_kind::execute || client.prepared.contains(request.body.name);
    if (!is_known) {
        return response_code::unknown_statement;
    }
    const bool writes =
        kind == statement_kind::begin || kind == statement_kind::write ||
        (kind == statement_kind::execute && !client.prepared.at(request.body.name).is_read_only) ||
        (client.transaction != 0 && !client.is_read_only);
    const bool ends_without_commit =
        kind == statement_kind::rollback || (kind == statement_kind::commit && client.writes.empty());
    if (writes && !ends_without_commit && !local_server.is_primary) {
        return response_code::read_only;
    }
    const std::optional<group_position>& minimum = request.minimum_position;
    if (minimum && !log_contains(term_starts(local_server), local_server.applied_length, *minimum)) {
        return response_code::lagging;
    }
    const bool takes_slot = kind == statement_kind::read || kind == statement_kind::write ||
                            kind == statement_kind::execute || kind == statement_kind::commit;
    return takes_slot && m_random() % busy_interval == 0 ? std::optional(response_code::busy) : std::nullopt;
}

void emulated_group::execute(const std::shared_ptr<session>& client,
                             const platform::statement_message& request)
{
    const server& local_server = m_servers[client->index];
    const sessions::statement& statement = request.body;
    sessions::statement_response answer{{}, response_code::done, "", transaction_state::none, {}};
    bool writes = statement.kind == statement_kind::write;
    switch (statement.kind) {
    case statement_kind::begin:
    case statement_kind::begin_read:
        client->transaction = m_next_id++;
        client->is_read_only = statement.kind == statement_kind::begin_read;
        send_answer(client, std::move(answer), false);
        return;
    case statement_kind::rollback:
        client->transaction = 0;
        client->has_failed = false;
        client->writes.clear();
        send_answer(client, std::move(answer), false);
        return;
    case statement_kind::set_variable:
        client->values[statement.name] = statement.argument;
        send_answer(client, std::move(answer), false);
        return;
    case statement_kind::prepare:
        client->prepared[statement.name] = statement;
        send_answer(client, std::move(answer), false);
        return;
    case statement_kind::deallocate:
        client->prepared.erase(statement.name);
        send_answer(client, std::move(answer), false);
        return;
    case statement_kind::reset:
        client->values.clear();
        client->prepared.clear();
        send_answer(client, std::move(answer), false);
        return;
    case statement_kind::execute:
        writes = !client->prepared.at(statement.name).is_read_only;
        break;
    default:
        break;
    }
    answer.detail = fmt::format("{}.{}", local_server.name, m_next_id++);
    if (statement.kind != statement_kind::commit) {
        // Rows differ, so that each belongs to one statement.
        const std::string number = fmt::format("{}", m_random());
        answer.rows = {m_fields.next("row ") + number};
        if (m_random() % 4 == 0) {
            answer.rows.push_back(number + m_fields.next(" row"));
        }
    }
    served_statement served;
    served.id = request.id;
    served.server = backend_server_name{local_server.name};
    served.transaction = client->transaction;
    served.command = statement;
    served.values = client->values;
    served.prepared_shape =
        statement.kind == statement_kind::execute ? client->prepared.at(statement.name).argument : "";
    served.signature = answer.detail;
    served.rows = answer.rows;
    served.term_starts = term_starts(local_server);
    served.log_end = local_server.applied_length;
    served.served_at = unix_now();
    served.credential = client->credential;
    m_checker.record_served(served);
    if (writes && client->transaction != 0) {
        client->writes.push_back(request.id);
    } else if (writes) {
        commit(client, request.id, {request.id}, std::move(answer));
        return;
    }
    if (statement.kind == statement_kind::commit) {
        client->transaction = 0;
        std::vector<std::string> committed_writes = std::exchange(client->writes, {});
        if (!committed_writes.empty()) {
            commit(client, request.id, std::move(committed_writes), std::move(answer));
            return;
        }
    }
    send_answer(client, std::move(answer), true);
}

void emulated_group::commit(const std::shared_ptr<session>& client, const std::string& id,
                            std::vector<std::string> writes, sessions::statement_response answer)
{
    server& local_server = m_servers[client->index];
    local_server.log.push_back({local_server.term, std::move(writes)});
    local_server.applied_length = local_server.log.size();
    const group_position position{local_server.term, local_server.log.size()};
    m_checker.record_committed(local_server.log.back().writes, position);
    local_server.pending_commits.push_back(
        {position, client, std::move(answer), id, local_server.log.back().writes});
}

bool emulated_group::send_answer(const std::shared_ptr<session>& client, sessions::statement_response answer,
                                 bool has_run)
{
    server& local_server = m_servers[client->index];
    if (client->is_ended) {
        return false;
    }
    end_statement(client);
    if (millisecond_clock::now() < local_server.unresponsive_until) {
        return false;
    }
    const bool is_lost =
        has_run && millisecond_clock::now() < local_server.answer_loss_until &&
        std::uniform_real_distribution<double>()(m_random) < local_server.answer_loss_probability;
    if (is_lost) {
        close_session(local_server, client);
        return false;
    }
    return send_message(client, [this, client, answer = std::move(answer)]() mutable {
        answer.state = state_of(*client);
        answer.position = position_of(m_servers[client->index]);
        return platform::write_answer(answer);
    });
}

transaction_state emulated_group::state_of(const session& client)
{
    return client.has_failed         ? transaction_state::failed
           : client.transaction != 0 ? transaction_state::open
                                     : transaction_state::none;
}

bool emulated_group::send_message(const std::shared_ptr<session>& client,
                                  const std::function<std::string()>& make)
{
    server& local_server = m_servers[client->index];
    const std::string message = make();
    if (millisecond_clock::now() >= local_server.disturbed_until) {
        client->connection->send(message);
        return true;
    }
    std::uniform_real_distribution<double> probability;
    if (probability(m_disturbance_random) < local_server.disturbance.cut_probability) {
        ++m_cut_count;
        client->connection->send(message.substr(0, m_disturbance_random() % message.size()));
        close_session(local_server, client);
        return false;
    }
    client->connection->send(message);
    if (probability(m_disturbance_random) < local_server.disturbance.repeat_probability) {
        repeat_message(client, make, message);
    }
    return true;
}

void emulated_group::repeat_message(const std::shared_ptr<session>& client,
                                    const std::function<std::string()>& make, const std::string& first)
{
    const bool has_new_state = m_servers[client->index].disturbance.repeats_with_new_state;
    const auto send = [this, client, make, first, has_new_state] {
        if (!client->is_ended) {
            ++m_repeated_count;
            client->connection->send(has_new_state ? make() : first);
        }
    };
    if (m_disturbance_random() % 2 == 0) {
        send();
        return;
    }
    std::uniform_int_distribution<int> delay(min_repeat_delay_ms, max_repeat_delay_ms);
    auto timer = std::make_shared<asio::steady_timer>(m_context, milliseconds{delay(m_disturbance_random)});
    timer->async_wait([send, timer](const boost::system::error_code& error) {
        if (!error) {
            send();
        }
    });
}

void emulated_group::handle_control_statement(const std::shared_ptr<session>& client,
                                              const sessions::statement& statement)
{
    server& local_server = m_servers[client->index];
    switch (statement.kind) {
    case statement_kind::pause:
        local_server.paused_below_term = std::max(local_server.paused_below_term, statement.term);
        break;
    case statement_kind::resume:
        local_server.paused_below_term = 0;
        break;
    case statement_kind::demote:
        local_server.is_primary = local_server.is_primary && local_server.term >= statement.term;
        break;
    default:
        break;
    }
    const sessions::server_status status{local_server.is_primary,
                                         {local_server.term, local_server.log.size()}};
    send_answer(client,
                {{platform::write_status(status)}, response_code::done, "", transaction_state::none, {}},
                false);
}

void emulated_group::schedule_replication()
{
    m_replication_timer.expires_after(replication_interval);
    m_replication_timer.async_wait([this](const boost::system::error_code& error) {
        if (error) {
            return;
        }
        replicate();
        schedule_replication();
    });
}

/// Removes entries that the primary's log does not have, and appends the missing ones.
void emulated_group::synchronize_log(std::vector<log_entry>& log, const std::vector<log_entry>& primary)
{
    while (log.size() > primary.size() || (!log.empty() && log.back().term != primary[log.size() - 1].term)) {
        log.pop_back();
    }
    log.insert(log.end(), primary.begin() + static_cast<std::ptrdiff_t>(log.size()), primary.end());
}

void emulated_group::replicate()
{
    const time_point now = millisecond_clock::now();
    const server* const primary = newest_primary();
    for (server& each : m_servers) {
        const bool reaches_primary = primary != nullptr && &each != primary && each.is_running &&
                                     now >= each.replication_stopped_until && now >= each.unaware_until &&
                                     now >= primary->replication_stopped_until &&
                                     each.paused_below_term <= primary->term;
        if (!reaches_primary || !each.is_primary) {
            each.reached_successor_at.reset();
        } else if (!each.reached_successor_at) {
            each.reached_successor_at = now;
        }
        const bool continues_as_primary =
            each.reached_successor_at && now - *each.reached_successor_at < step_down_time;
        if (reaches_primary && !continues_as_primary) {
            each.is_primary = false;
            for (const pending_commit& unanswered : std::exchange(each.pending_commits, {})) {
                end_statement(unanswered.client);
            }
            each.term = primary->term;
            synchronize_log(each.log, primary->log);
            each.applied_length = std::min(each.applied_length, each.log.size());
            const milliseconds lag = now < each.lag_until ? each.lag : replication_interval;
            each.received_lengths.emplace_back(now + lag, each.log.size());
        }
        while (!each.received_lengths.empty() && each.received_lengths.front().first <= now) {
            each.applied_length = std::min(each.received_lengths.front().second, each.log.size());
            each.received_lengths.pop_front();
        }
    }
    for (server& each : m_servers) {
        if (each.is_primary && each.is_running) {
            answer_replicated_commits(each);
        }
    }
    const std::lock_guard lock(m_announcement_mutex);
    std::vector<server_announcement> running_servers;
    for (server& each : m_servers) {
        if (each.is_running) {
            const auto known =
                std::find_if(m_announcements.begin(), m_announcements.end(),
                             [&](const auto& announcement) { return announcement.name == each.name; });
            const bool is_same_run =
                known != m_announcements.end() && known->started_at_ms == each.started_at_ms;
            running_servers.push_back({each.name, each.port, each.is_primary,
                                       is_same_run ? known->sequence : 0, each.started_at_ms,
                                       now < each.isolated_until});
        }
    }
    m_announcements = std::move(running_servers);
}

/// Answers the commits that at least one replica has received.
void emulated_group::answer_replicated_commits(server& primary)
{
    const time_point now = millisecond_clock::now();
    const auto is_received = [&](const group_position& position) {
        return std::any_of(m_servers.begin(), m_servers.end(), [&](const server& each) {
            return &each != &primary && each.is_running && each.log.size() >= position.position &&
                   each.log[position.position - 1].term == position.term;
        });
    };
    while (!primary.pending_commits.empty() && is_received(primary.pending_commits.front().position)) {
        pending_commit acknowledged = std::move(primary.pending_commits.front());
        primary.pending_commits.pop_front();
        if (send_answer(acknowledged.client, std::move(acknowledged.reply), true)) {
            m_checker.record_commit_answered(acknowledged.writes, acknowledged.position, now);
        }
    }
}

emulated_group::server* emulated_group::newest_primary()
{
    server* newest = nullptr;
    for (server& each : m_servers) {
        const bool is_newer = newest == nullptr || each.term > newest->term;
        if (each.is_primary && each.is_running && each.term == m_newest_term && is_newer) {
            newest = &each;
        }
    }
    return newest;
}

group_position emulated_group::position_of(const server& local_server)
{
    return {local_server.term, local_server.applied_length};
}

std::vector<term_start> emulated_group::term_starts(const server& local_server)
{
    std::vector<term_start> starts{{1, 0}};
    for (std::size_t index = 0; index < local_server.log.size(); ++index) {
        if (local_server.log[index].term > starts.back().term) {
            starts.push_back({local_server.log[index].term, index});
        }
    }
    if (local_server.term > starts.back().term) {
        starts.push_back({local_server.term, local_server.log.size()});
    }
    return starts;
}

} // namespace hickorymount::soak

#include "soak/emulated_group.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace hickorymount::soak {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using sessions::answer_code;
using sessions::statement_kind;
using sessions::transaction_state;

constexpr milliseconds replication_interval{5};
constexpr milliseconds takeover_time{300};
/// Time that a statement holds its server.
constexpr int shortest_work_ms = 1;
constexpr int longest_work_ms = 8;
/// One statement in this many is refused as if the server's queue were full.
constexpr std::uint32_t busy_every = 60;

} // namespace

/// One connection to an emulated server.
struct emulated_group::session
{
    std::size_t place = 0;
    std::shared_ptr<net::line_connection> connection;
    bool is_open = false;
    bool is_ended = false;
    std::map<std::string, std::string> values;
    std::map<std::string, sessions::statement> prepared;
    /// Zero outside a transaction.
    std::uint64_t transaction = 0;
    bool only_reads = false;
    bool has_failed = false;
    std::vector<std::string> writes;
};

emulated_group::emulated_group(asio::io_context& context, const sessions::wire& wire, std::string name,
                               history& seen, std::uint32_t seed)
    : m_context(context), m_wire(wire), m_name(std::move(name)), m_seen(seen), m_random(seed),
      m_servers(server_count), m_replication_timer(context), m_takeover_timer(context)
{
    for (std::size_t place = 0; place < server_count; ++place) {
        m_servers[place].name = fmt::format("{}-{}", m_name, place + 1);
        m_servers[place].is_primary = place == 0;
        m_servers[place].born = unix_now().count();
    }
}

emulated_group::~emulated_group() = default;

result<void> emulated_group::start()
{
    for (std::size_t place = 0; place < server_count; ++place) {
        boost::system::error_code problem;
        auto acceptor = std::make_unique<tcp::acceptor>(m_context);
        const tcp::endpoint at(asio::ip::address_v4::loopback(), 0);
        acceptor->open(at.protocol(), problem);
        if (!problem) {
            acceptor->bind(at, problem);
        }
        if (!problem) {
            acceptor->listen(asio::socket_base::max_listen_connections, problem);
        }
        if (problem) {
            return fail("listen", m_servers[place].name, problem.message());
        }
        m_servers[place].port = acceptor->local_endpoint().port();
        m_servers[place].acceptor = std::move(acceptor);
        accept(place);
    }
    schedule_replication();
    return {};
}

void emulated_group::stop()
{
    m_replication_timer.cancel();
    m_takeover_timer.cancel();
    for (server& each : m_servers) {
        each.acceptor->close();
        for (const auto& open : std::exchange(each.sessions, {})) {
            end(each, open);
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
    const auto running = announcements();
    const bool is_running = std::any_of(running.begin(), running.end(),
                                        [&](const server_announcement& each) { return each.name == name; });
    if (is_running) {
        asio::post(m_context, [this, name] {
            m_takeover_timer.expires_after(takeover_time);
            m_takeover_timer.async_wait([this, name](const boost::system::error_code& problem) {
                if (!problem) {
                    take_over(name);
                }
            });
        });
    }
    return is_running;
}

void emulated_group::take_over(const std::string& name)
{
    const auto chosen = std::find_if(m_servers.begin(), m_servers.end(),
                                     [&](const server& each) { return each.name == name; });
    if (!chosen->is_running || (chosen->is_primary && chosen->term == m_newest_term)) {
        return;
    }
    chosen->is_primary = true;
    chosen->term = ++m_newest_term;
    chosen->applied = chosen->log.size();
    chosen->received.clear();
    chosen->paused_below = 0;
    m_seen.note_promotion(term_starts(*chosen), chosen->log.size());
}

std::size_t emulated_group::primary_place() const
{
    const auto newest = std::find_if(m_servers.begin(), m_servers.end(), [this](const server& each) {
        return each.is_primary && each.term == m_newest_term;
    });
    return static_cast<std::size_t>(newest - m_servers.begin()) % server_count;
}

void emulated_group::crash(std::size_t place, milliseconds duration)
{
    server& crashed = m_servers[place];
    if (!std::exchange(crashed.is_running, false)) {
        return;
    }
    crashed.waiting.clear();
    for (const auto& open : std::exchange(crashed.sessions, {})) {
        end(crashed, open);
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context, duration);
    timer->async_wait([this, place, timer](const boost::system::error_code& problem) {
        server& back = m_servers[place];
        if (problem) {
            return;
        }
        back.is_running = true;
        back.born = unix_now().count();
        back.sequence = 0;
        back.paused_below = 0;
        back.applied = back.log.size();
        back.received.clear();
        back.is_primary = back.is_primary && back.term == m_newest_term;
    });
}

void emulated_group::silence(std::size_t place, milliseconds duration)
{
    m_servers[place].silent_until = millisecond_clock::now() + duration;
}

void emulated_group::delay_replication(std::size_t place, milliseconds lag, milliseconds duration)
{
    m_servers[place].lag = lag;
    m_servers[place].lagging_until = millisecond_clock::now() + duration;
}

void emulated_group::stop_replication(std::size_t place, milliseconds duration)
{
    m_servers[place].deaf_until = millisecond_clock::now() + duration;
}

void emulated_group::lose_answers(std::size_t place, double share, milliseconds duration)
{
    m_servers[place].lost_share = share;
    m_servers[place].losing_until = millisecond_clock::now() + duration;
}

void emulated_group::accept(std::size_t place)
{
    m_servers[place].acceptor->async_accept([this, place](const boost::system::error_code& problem,
                                                          tcp::socket socket) {
        if (problem) {
            return;
        }
        if (m_servers[place].is_running) {
            auto opened = std::make_shared<session>();
            opened->place = place;
            opened->connection =
                std::make_shared<net::line_connection>(std::move(socket), net::line_connection::limits{});
            opened->connection->set_handlers(
                {[this, opened](std::string_view line) { take_line(opened, line); },
                 [this, opened](const std::string& /*reason*/) { end(m_servers[opened->place], opened); }});
            m_servers[place].sessions.push_back(opened);
            opened->connection->start();
        }
        accept(place);
    });
}

void emulated_group::end(server& of, const std::shared_ptr<session>& ended)
{
    ended->is_ended = true;
    ended->connection->close();
    std::erase(of.sessions, ended);
    std::erase_if(of.waiting, [&](const waiting_commit& each) { return each.asked_by == ended; });
}

void emulated_group::take_line(const std::shared_ptr<session>& from, std::string_view line)
{
    server& of = m_servers[from->place];
    if (millisecond_clock::now() < of.silent_until) {
        return;
    }
    const sessions::caller_line decoded = m_wire.decode_proxy(line);
    if (const auto* opening = std::get_if<sessions::open_request>(&decoded)) {
        const bool is_right =
            opening->database == m_name && (opening->server.empty() || opening->server == of.name);
        if (!is_right) {
            from->connection->send(m_wire.encode_refusal({answer_code::misrouted, of.name}));
            end(of, from);
            return;
        }
        from->is_open = true;
        from->connection->send(m_wire.encode_ready({transaction_state::none, position_of(of)}));
        return;
    }
    const auto* asked = std::get_if<sessions::statement_request>(&decoded);
    if (asked == nullptr || !from->is_open) {
        end(of, from);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context);
    std::uniform_int_distribution<int> work(shortest_work_ms, longest_work_ms);
    timer->expires_after(milliseconds{work(m_random)});
    timer->async_wait([this, from, asked = *asked, timer](const boost::system::error_code& problem) {
        if (!problem && !from->is_ended) {
            take_statement(from, asked);
        }
    });
}

void emulated_group::take_statement(const std::shared_ptr<session>& from,
                                    const sessions::statement_request& asked)
{
    if (asked.what.kind > statement_kind::reset) {
        take_order(from, asked.what);
        return;
    }
    if (const auto refused = refuse(*from, asked)) {
        from->has_failed = from->has_failed || (from->transaction != 0 && *refused != answer_code::busy);
        answer(from, {{}, *refused, m_servers[from->place].name, transaction_state::none, {}}, false);
        return;
    }
    run(from, asked);
}

std::optional<answer_code> emulated_group::refuse(const session& from,
                                                  const sessions::statement_request& asked)
{
    const server& of = m_servers[from.place];
    const statement_kind kind = asked.what.kind;
    if (from.has_failed && kind != statement_kind::rollback) {
        return answer_code::malformed;
    }
    const bool is_known = kind != statement_kind::execute || from.prepared.contains(asked.what.name);
    if (!is_known) {
        return answer_code::unknown_statement;
    }
    const bool writes = kind == statement_kind::begin || kind == statement_kind::write ||
                        (kind == statement_kind::execute && !from.prepared.at(asked.what.name).only_reads) ||
                        (from.transaction != 0 && !from.only_reads);
    const bool ends =
        kind == statement_kind::rollback || (kind == statement_kind::commit && from.writes.empty());
    if (writes && !ends && (!of.is_primary || of.term < m_newest_term)) {
        return answer_code::read_only;
    }
    const bool lacks = asked.least && (of.term < asked.least->term || of.applied < asked.least->position);
    if (lacks && !of.is_primary) {
        return answer_code::lagging;
    }
    const bool takes_slot = kind == statement_kind::read || kind == statement_kind::write ||
                            kind == statement_kind::execute || kind == statement_kind::commit;
    return takes_slot && m_random() % busy_every == 0 ? std::optional(answer_code::busy) : std::nullopt;
}

void emulated_group::run(const std::shared_ptr<session>& from, const sessions::statement_request& asked)
{
    const server& of = m_servers[from->place];
    const sessions::statement& what = asked.what;
    sessions::answer whole{{}, answer_code::done, "", transaction_state::none, {}};
    bool writes = what.kind == statement_kind::write;
    switch (what.kind) {
    case statement_kind::begin:
    case statement_kind::begin_read:
        from->transaction = m_next_number++;
        from->only_reads = what.kind == statement_kind::begin_read;
        answer(from, std::move(whole), false);
        return;
    case statement_kind::rollback:
        from->transaction = 0;
        from->has_failed = false;
        from->writes.clear();
        answer(from, std::move(whole), false);
        return;
    case statement_kind::set_value:
        from->values[what.name] = what.argument;
        answer(from, std::move(whole), false);
        return;
    case statement_kind::prepare:
        from->prepared[what.name] = what;
        answer(from, std::move(whole), false);
        return;
    case statement_kind::deallocate:
        from->prepared.erase(what.name);
        answer(from, std::move(whole), false);
        return;
    case statement_kind::reset:
        from->values.clear();
        from->prepared.clear();
        answer(from, std::move(whole), false);
        return;
    case statement_kind::execute:
        writes = !from->prepared.at(what.name).only_reads;
        break;
    default:
        break;
    }
    whole.detail = fmt::format("{}.{}", of.name, m_next_number++);
    if (what.kind != statement_kind::commit) {
        whole.rows = {fmt::format("row {}", m_random())};
    }
    served_statement served;
    served.id = asked.id;
    served.server = backend_server_name{of.name};
    served.transaction = from->transaction;
    served.what = what;
    served.values = from->values;
    served.prepared_shape = what.kind == statement_kind::execute ? from->prepared.at(what.name).argument : "";
    served.signature = whole.detail;
    served.rows = whole.rows;
    served.term_starts = term_starts(of);
    served.log_end = of.applied;
    m_seen.note_served(served);
    if (writes && from->transaction != 0) {
        from->writes.push_back(asked.id);
    } else if (writes) {
        commit(from, asked.id, {asked.id}, std::move(whole));
        return;
    }
    if (what.kind == statement_kind::commit) {
        from->transaction = 0;
        std::vector<std::string> ended = std::exchange(from->writes, {});
        if (!ended.empty()) {
            commit(from, asked.id, std::move(ended), std::move(whole));
            return;
        }
    }
    answer(from, std::move(whole), true);
}

void emulated_group::commit(const std::shared_ptr<session>& from, const std::string& id,
                            std::vector<std::string> writes, sessions::answer whole)
{
    server& of = m_servers[from->place];
    of.log.push_back({of.term, std::move(writes)});
    of.applied = of.log.size();
    const group_position at{of.term, of.log.size()};
    m_seen.note_committed(of.log.back().writes, at);
    of.waiting.push_back({at, from, std::move(whole), id});
}

void emulated_group::answer(const std::shared_ptr<session>& to, sessions::answer whole, bool has_run)
{
    server& of = m_servers[to->place];
    if (to->is_ended || millisecond_clock::now() < of.silent_until) {
        return;
    }
    const bool is_lost = has_run && millisecond_clock::now() < of.losing_until &&
                         std::uniform_real_distribution<double>()(m_random) < of.lost_share;
    if (is_lost) {
        end(of, to);
        return;
    }
    whole.state = to->has_failed         ? transaction_state::failed
                  : to->transaction != 0 ? transaction_state::open
                                         : transaction_state::none;
    whole.at = position_of(of);
    to->connection->send(m_wire.encode_answer(whole));
}

void emulated_group::take_order(const std::shared_ptr<session>& from, const sessions::statement& what)
{
    server& of = m_servers[from->place];
    switch (what.kind) {
    case statement_kind::pause:
        of.paused_below = std::max(of.paused_below, what.term);
        break;
    case statement_kind::resume:
        of.paused_below = 0;
        break;
    case statement_kind::demote:
        of.is_primary = of.is_primary && of.term >= what.term;
        break;
    default:
        break;
    }
    const sessions::server_status status{of.is_primary, {of.term, of.log.size()}};
    answer(from, {{m_wire.encode_status(status)}, answer_code::done, "", transaction_state::none, {}}, false);
}

void emulated_group::schedule_replication()
{
    m_replication_timer.expires_after(replication_interval);
    m_replication_timer.async_wait([this](const boost::system::error_code& problem) {
        if (problem) {
            return;
        }
        replicate();
        schedule_replication();
    });
}

/// Rolls back what the primary lacks, and takes the rest from it.
void emulated_group::follow(std::vector<log_entry>& log, const std::vector<log_entry>& primary)
{
    while (log.size() > primary.size() || (!log.empty() && log.back().term != primary[log.size() - 1].term)) {
        log.pop_back();
    }
    log.insert(log.end(), primary.begin() + static_cast<std::ptrdiff_t>(log.size()), primary.end());
}

void emulated_group::replicate()
{
    const time_point now = millisecond_clock::now();
    const server* const leading = newest_primary();
    for (server& each : m_servers) {
        const bool receives = leading != nullptr && &each != leading && each.is_running &&
                              now >= each.deaf_until && now >= leading->deaf_until &&
                              each.paused_below <= leading->term;
        if (receives) {
            each.is_primary = false;
            each.term = leading->term;
            follow(each.log, leading->log);
            each.applied = std::min(each.applied, each.log.size());
            const milliseconds lag = now < each.lagging_until ? each.lag : replication_interval;
            each.received.emplace_back(now + lag, each.log.size());
        }
        while (!each.received.empty() && each.received.front().first <= now) {
            each.applied = std::min(each.received.front().second, each.log.size());
            each.received.pop_front();
        }
    }
    for (server& each : m_servers) {
        if (each.is_primary && each.is_running) {
            acknowledge(each);
        }
    }
    const std::lock_guard lock(m_announcement_mutex);
    std::vector<server_announcement> running;
    for (server& each : m_servers) {
        if (each.is_running) {
            const auto known = std::find_if(m_announcements.begin(), m_announcements.end(),
                                            [&](const auto& old) { return old.name == each.name; });
            const bool is_same = known != m_announcements.end() && known->born == each.born;
            running.push_back(
                {each.name, each.port, each.is_primary, is_same ? known->sequence : 0, each.born});
        }
    }
    m_announcements = std::move(running);
}

/// Answers the commits that a replica has received.
void emulated_group::acknowledge(server& primary)
{
    const auto is_received = [&](const group_position& at) {
        return std::any_of(m_servers.begin(), m_servers.end(), [&](const server& each) {
            return &each != &primary && each.is_running && each.log.size() >= at.position &&
                   each.log[at.position - 1].term == at.term;
        });
    };
    while (!primary.waiting.empty() && is_received(primary.waiting.front().at)) {
        waiting_commit done = std::move(primary.waiting.front());
        primary.waiting.pop_front();
        answer(done.asked_by, std::move(done.whole), true);
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

group_position emulated_group::position_of(const server& of)
{
    return {of.term, of.applied};
}

std::vector<term_start> emulated_group::term_starts(const server& of)
{
    std::vector<term_start> starts{{1, 0}};
    for (std::size_t place = 0; place < of.log.size(); ++place) {
        if (of.log[place].term > starts.back().term) {
            starts.push_back({of.log[place].term, place});
        }
    }
    if (of.term > starts.back().term) {
        starts.push_back({of.term, of.log.size()});
    }
    return starts;
}

} // namespace hickorymount::soak

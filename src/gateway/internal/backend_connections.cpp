#include "gateway/internal/backend_connections.h"

#include "codec/json_codec.h"
#include "database/descriptions.h"
#include "database/types.h"
#include "http/client.h"

#include <chrono>
#include <thread>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::gateway::detail {

namespace {

constexpr milliseconds open_timeout{2000};
constexpr milliseconds stop_timeout{3000};
constexpr milliseconds question_timeout{1000};

using routing::run_statement;

std::string encode_statement(const run_statement& run, const std::string& id)
{
    database::statement what;
    what.request = id;
    what.what = run.what;
    what.kind = run.kind;
    what.is_in_transaction = run.is_in_transaction;
    what.text = run.statement;
    what.term = run.term;
    what.least_position = run.least_position;
    return codec::encode(what).dump();
}

/// The event for a response. Errors: one that is not an answer to this very request.
result<routing::entry_event_kind> decode_response(const http::response& response, const run_statement& run,
                                                  const std::string& id)
{
    const std::string& peer = run.server.value;
    BOOST_LEAF_AUTO(document, codec::parse_json(response.body, codec::peer_input_limits, peer));
    if (response.status == 200) {
        BOOST_LEAF_AUTO(done, codec::decode<database::statement_done>(document, peer));
        if (done.request != id) {
            return fail("decode", peer, "the answer belongs to another request");
        }
        return routing::entry_event_kind(routing::statement_answered{run.request, run.connection, done.at,
                                                                     done.age, std::move(done.body)});
    }
    if (response.status == 409) {
        BOOST_LEAF_AUTO(refused, codec::decode<database::statement_rejected>(document, peer));
        if (refused.request != id) {
            return fail("decode", peer, "the refusal belongs to another request");
        }
        return routing::entry_event_kind(
            routing::statement_refused{run.request, run.connection, refused.reason, refused.at});
    }
    return fail("decode", peer, fmt::format("unexpected status {}", response.status));
}

} // namespace

backend_connections::backend_connections(std::string request_prefix, post_function post)
    : m_request_prefix(std::move(request_prefix)), m_post(std::move(post))
{
}

backend_connections::~backend_connections()
{
    stop();
}

void backend_connections::open(const routing::open_connection& order)
{
    auto own = std::make_shared<slot>();
    {
        const std::lock_guard lock(m_mutex);
        m_slots.emplace(order.connection, own);
        ++m_threads;
    }
    std::thread([this, order, own] {
        serve(order, own);
        ended();
    }).detach();
}

std::shared_ptr<backend_connections::slot> backend_connections::find(routing::connection_number connection)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_slots.find(connection);
    return found == m_slots.end() ? nullptr : found->second;
}

void backend_connections::run(const run_statement& statement)
{
    const std::shared_ptr<slot> own = find(statement.connection);
    if (own == nullptr) {
        m_post(
            routing::statement_not_sent{statement.request, statement.connection, "the connection had ended"});
        return;
    }
    const std::lock_guard lock(own->mutex);
    own->statement = statement;
    own->changed.notify_one();
}

void backend_connections::ask(const routing::ask_position& question)
{
    const std::shared_ptr<slot> own = find(question.connection);
    if (own == nullptr) {
        return;
    }
    const std::lock_guard lock(own->mutex);
    own->question = question;
    own->changed.notify_one();
}

void backend_connections::close(routing::connection_number connection)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_slots.find(connection);
    if (found == m_slots.end()) {
        return;
    }
    const std::lock_guard own(found->second->mutex);
    found->second->is_closing = true;
    found->second->changed.notify_one();
}

void backend_connections::stop()
{
    std::unique_lock lock(m_mutex);
    for (const auto& [connection, own] : m_slots) {
        const std::lock_guard own_lock(own->mutex);
        own->is_closing = true;
        own->changed.notify_one();
    }
    m_idle.wait_for(lock, stop_timeout, [this] { return m_threads == 0; });
}

void backend_connections::ended()
{
    const std::lock_guard lock(m_mutex);
    --m_threads;
    m_idle.notify_all();
}

void backend_connections::serve(const routing::open_connection& order, const std::shared_ptr<slot>& own)
{
    const auto end = [&](std::string reason) {
        {
            const std::lock_guard lock(m_mutex);
            m_slots.erase(order.connection);
        }
        m_post(routing::connection_ended{order.server, order.connection, std::move(reason)});
    };
    std::unique_ptr<http::client_connection> connection;
    std::string problem = handle_failure(
        [&]() -> result<std::string> {
            BOOST_LEAF_ASSIGN(connection, http::connect(order.address.address, order.address.port));
            const http::call_result opened =
                connection->call("POST", "/v1/connections", {}, "", open_timeout);
            const bool is_open = opened.status == http::call_status::answered && opened.answer.status == 200;
            return is_open ? std::string() : "not accepted: " + opened.reason;
        },
        [](const failure& what) { return to_string(what); });
    if (!problem.empty()) {
        connection.reset();
        end(problem);
        return;
    }
    m_post(routing::connection_opened{order.server, order.connection});
    while (problem.empty()) {
        std::optional<run_statement> run;
        std::optional<routing::ask_position> question;
        {
            std::unique_lock lock(own->mutex);
            own->changed.wait(lock, [&] { return own->is_closing || own->statement || own->question; });
            run = std::exchange(own->statement, std::nullopt);
            question = std::exchange(own->question, std::nullopt);
        }
        if (run) {
            problem = carry_out(*connection, *run);
        } else if (question) {
            problem = carry_out(*connection, *question);
        } else {
            problem = "closed";
        }
        if (run && !problem.empty()) {
            connection.reset();
            m_post(routing::statement_lost{run->request, run->connection, problem});
        }
    }
    connection.reset();
    end(problem);
}

std::string backend_connections::carry_out(http::client_connection& connection, const run_statement& run)
{
    const std::string id = fmt::format("{}.{}", m_request_prefix, run.request);
    const http::call_result got =
        connection.call("POST", "/v1/statements", {}, encode_statement(run, id), run.timeout);
    if (got.status != http::call_status::answered) {
        return got.reason.empty() ? "no answer" : got.reason;
    }
    return handle_failure(
        [&]() -> result<std::string> {
            BOOST_LEAF_AUTO(event, decode_response(got.answer, run, id));
            m_post(std::move(event));
            return std::string();
        },
        [](const failure& what) { return to_string(what); });
}

std::string backend_connections::carry_out(http::client_connection& connection,
                                           const routing::ask_position& question)
{
    const http::call_result got = connection.call("GET", "/v1/status", {}, "", question_timeout);
    if (got.status != http::call_status::answered) {
        return got.reason.empty() ? "no answer" : got.reason;
    }
    return handle_failure(
        [&]() -> result<std::string> {
            const std::string& peer = question.server.value;
            BOOST_LEAF_AUTO(document, codec::parse_json(got.answer.body, codec::peer_input_limits, peer));
            BOOST_LEAF_AUTO(report, codec::decode<protocol::server_report>(document, peer));
            m_post(routing::position_told{question.connection, std::move(report)});
            return std::string();
        },
        [](const failure& what) { return to_string(what); });
}

} // namespace hickorymount::gateway::detail

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
constexpr milliseconds position_timeout{1000};

using routing::run_statement;

std::string encode_statement(const run_statement& run, const std::string& id)
{
    database::statement_request encoded;
    encoded.request_id = id;
    encoded.operation = run.operation;
    encoded.kind = run.kind;
    encoded.is_in_transaction = run.is_in_transaction;
    encoded.text = run.statement;
    encoded.term = run.term;
    encoded.minimum_position = run.minimum_position;
    return codec::encode(encoded).dump();
}

/// Converts a response to an event. Errors: the response is invalid or belongs to another request.
result<routing::entry_event_payload> decode_response(const http::response& response, const run_statement& run,
                                                     const std::string& id)
{
    const std::string& peer = run.server.value;
    BOOST_LEAF_AUTO(document, codec::parse_json(response.body, codec::peer_input_limits, peer));
    if (response.status == 200) {
        BOOST_LEAF_AUTO(done, codec::decode<database::statement_completed>(document, peer));
        if (done.request_id != id) {
            return fail("decode", peer, "the answer belongs to another request");
        }
        return routing::entry_event_payload(routing::statement_completed{
            run.request, run.connection, done.position, done.data_age, std::move(done.body)});
    }
    if (response.status == 409) {
        BOOST_LEAF_AUTO(refused, codec::decode<database::statement_rejected>(document, peer));
        if (refused.request_id != id) {
            return fail("decode", peer, "the refusal belongs to another request");
        }
        return routing::entry_event_payload(
            routing::statement_refused{run.request, run.connection, refused.reason, refused.position});
    }
    return fail("decode", peer, fmt::format("unexpected status {}", response.status));
}

} // namespace

backend_connections::backend_connections(std::string request_prefix, post_function post_event)
    : m_request_prefix(std::move(request_prefix)), m_post_event(std::move(post_event))
{
}

backend_connections::~backend_connections()
{
    stop();
}

void backend_connections::open(const routing::open_connection& order)
{
    auto pending = std::make_shared<pending_work>();
    {
        const std::lock_guard lock(m_mutex);
        m_pending.emplace(order.connection, pending);
        ++m_thread_count;
    }
    std::thread([this, order, pending] {
        run_connection(order, pending);
        end_thread();
    }).detach();
}

std::shared_ptr<backend_connections::pending_work>
backend_connections::find(routing::connection_number connection)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pending.find(connection);
    return found == m_pending.end() ? nullptr : found->second;
}

void backend_connections::run(const run_statement& statement)
{
    const std::shared_ptr<pending_work> pending = find(statement.connection);
    if (pending == nullptr) {
        m_post_event(
            routing::statement_not_sent{statement.request, statement.connection, "the connection had ended"});
        return;
    }
    const std::lock_guard lock(pending->mutex);
    pending->statement = statement;
    pending->work_added.notify_one();
}

void backend_connections::request_position(const routing::request_position& position_request)
{
    const std::shared_ptr<pending_work> pending = find(position_request.connection);
    if (pending == nullptr) {
        return;
    }
    const std::lock_guard lock(pending->mutex);
    pending->position_request = position_request;
    pending->work_added.notify_one();
}

void backend_connections::close(routing::connection_number connection)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pending.find(connection);
    if (found == m_pending.end()) {
        return;
    }
    const std::lock_guard pending_lock(found->second->mutex);
    found->second->is_closing = true;
    found->second->work_added.notify_one();
}

void backend_connections::stop()
{
    std::unique_lock lock(m_mutex);
    for (const auto& [connection, pending] : m_pending) {
        const std::lock_guard pending_lock(pending->mutex);
        pending->is_closing = true;
        pending->work_added.notify_one();
    }
    m_thread_ended.wait_for(lock, stop_timeout, [this] { return m_thread_count == 0; });
}

void backend_connections::end_thread()
{
    const std::lock_guard lock(m_mutex);
    --m_thread_count;
    m_thread_ended.notify_all();
}

void backend_connections::run_connection(const routing::open_connection& order,
                                         const std::shared_ptr<pending_work>& pending)
{
    const auto end = [&](std::string reason) {
        {
            const std::lock_guard lock(m_mutex);
            m_pending.erase(order.connection);
        }
        m_post_event(routing::connection_closed{order.server, order.connection, std::move(reason)});
    };
    std::unique_ptr<http::client_connection> connection;
    std::string problem = handle_failure(
        [&]() -> result<std::string> {
            BOOST_LEAF_ASSIGN(connection, http::connect(order.address.address, order.address.port));
            const http::call_result call = connection->call("POST", "/v1/connections", {}, "", open_timeout);
            const bool is_open = call.status == http::call_status::answered && call.answer.status == 200;
            return is_open ? std::string() : "not accepted: " + call.reason;
        },
        [](const failure& error) { return to_string(error); });
    if (!problem.empty()) {
        connection.reset();
        end(problem);
        return;
    }
    m_post_event(routing::connection_opened{order.server, order.connection});
    while (problem.empty()) {
        std::optional<run_statement> run;
        std::optional<routing::request_position> position_request;
        {
            std::unique_lock lock(pending->mutex);
            pending->work_added.wait(
                lock, [&] { return pending->is_closing || pending->statement || pending->position_request; });
            run = std::exchange(pending->statement, std::nullopt);
            position_request = std::exchange(pending->position_request, std::nullopt);
        }
        if (run) {
            problem = execute(*connection, *run);
        } else if (position_request) {
            problem = execute(*connection, *position_request);
        } else {
            problem = "closed";
        }
        if (run && !problem.empty()) {
            connection.reset();
            m_post_event(routing::statement_connection_lost{run->request, run->connection, problem});
        }
    }
    connection.reset();
    end(problem);
}

std::string backend_connections::execute(http::client_connection& connection, const run_statement& run)
{
    const std::string id = fmt::format("{}.{}", m_request_prefix, run.request);
    const http::call_result call =
        connection.call("POST", "/v1/statements", {}, encode_statement(run, id), run.timeout);
    if (call.status != http::call_status::answered) {
        return call.reason.empty() ? "no answer" : call.reason;
    }
    return handle_failure(
        [&]() -> result<std::string> {
            BOOST_LEAF_AUTO(event, decode_response(call.answer, run, id));
            m_post_event(std::move(event));
            return std::string();
        },
        [](const failure& error) { return to_string(error); });
}

std::string backend_connections::execute(http::client_connection& connection,
                                         const routing::request_position& position_request)
{
    const http::call_result call = connection.call("GET", "/v1/status", {}, "", position_timeout);
    if (call.status != http::call_status::answered) {
        return call.reason.empty() ? "no answer" : call.reason;
    }
    return handle_failure(
        [&]() -> result<std::string> {
            const std::string& peer = position_request.server.value;
            BOOST_LEAF_AUTO(document, codec::parse_json(call.answer.body, codec::peer_input_limits, peer));
            BOOST_LEAF_AUTO(report, codec::decode<protocol::server_report>(document, peer));
            if (const std::string error = protocol::report_error(report); !error.empty()) {
                return fail("decode", peer, error);
            }
            if (report.name != position_request.server) {
                return fail("decode", peer, "the position belongs to another server");
            }
            m_post_event(routing::position_received{position_request.connection, std::move(report)});
            return std::string();
        },
        [](const failure& error) { return to_string(error); });
}

} // namespace hickorymount::gateway::detail

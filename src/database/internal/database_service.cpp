#include "database/database_service.h"

#include "base/millisecond_clock.h"
#include "codec/json_codec.h"
#include "database/descriptions.h"
#include "database/reduce.h"
#include "http/client.h"
#include "http/server.h"
#include "runtime/control_thread.h"
#include "runtime/pending_calls.h"
#include "runtime/periodic_thread.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::database {

namespace {

constexpr milliseconds announce_interval{100};
constexpr milliseconds announce_timeout{500};
constexpr milliseconds replication_interval{10};
/// Short, so that a frozen primary does not delay a replica that is ordered to replicate from another one.
constexpr milliseconds replication_timeout{100};
constexpr milliseconds call_timeout{60'000};
/// HTTP threads beyond the connection limit, for status requests, replication and refused connections.
constexpr unsigned extra_threads = 24;
constexpr unsigned keep_alive_timeout_ms = 600'000;

http::response json_response(int status, const codec::json& body)
{
    http::response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

class http_database_service final : public database_service
{
public:
    explicit http_database_service(service_options options)
        : m_options(std::move(options)),
          m_control([this](database_event event) { return handle_event(std::move(event)); },
                    [] {
                        return database_event{millisecond_clock::now(), timer_expired{}};
                    }),
          m_announcement_thread(announce_interval, [this] { announce(); }),
          m_replication_thread(replication_interval, [this] { replicate(); })
    {
    }
    ~http_database_service() override { http_database_service::stop(); }
    http_database_service(const http_database_service&) = delete;
    http_database_service& operator=(const http_database_service&) = delete;

    result<void> start()
    {
        http::server_options options;
        options.address = m_options.settings.address.address;
        options.port = m_options.settings.address.port;
        options.threads = m_options.settings.connections + extra_threads;
        options.max_kept_alive_connections = options.threads;
        options.keep_alive_timeout_ms = keep_alive_timeout_ms;
        BOOST_LEAF_ASSIGN(m_server,
                          http::start_server(
                              options, [this](const http::request& request) { return serve(request); },
                              [this](std::uint64_t connection) { post(connection_closed{connection}); }));
        m_options.settings.address.port = m_server->port();
        m_options.settings.started_at = unix_now();
        m_control.start();
        post(database_started{m_options.settings});
        m_announcement_thread.start();
        m_replication_thread.start();
        return {};
    }

    [[nodiscard]] std::uint16_t port() const override { return m_server->port(); }

    void stop() override
    {
        m_announcement_thread.stop();
        m_replication_thread.stop();
        if (m_server != nullptr) {
            m_server->stop();
        }
        m_control.stop();
    }

private:
    void post(database_event_payload payload)
    {
        m_control.post({millisecond_clock::now(), std::move(payload)});
    }

    time_point handle_event(database_event event)
    {
        event.now = millisecond_clock::now();
        database_transition transition = reduce(std::move(m_state), event);
        m_state = std::move(transition.state);
        const bool has_unapplied_records = !m_state.received.empty();
        m_received_position = has_unapplied_records ? m_state.received.back().last_position
                                                    : current_position(m_state).position;
        for (database_effect& effect : transition.effects) {
            std::visit([this](auto& typed_effect) { execute(std::move(typed_effect)); }, effect);
        }
        return transition.next_timer_at;
    }

    void execute(send_response&& effect)
    {
        const call_number number = effect.call;
        m_calls.complete(number, std::move(effect));
    }

    void execute(update_background_tasks&& effect)
    {
        {
            const std::lock_guard lock(m_background_tasks_mutex);
            m_background_tasks = std::move(effect);
        }
        m_announcement_thread.wake();
        m_replication_thread.wake();
    }

    update_background_tasks background_tasks()
    {
        const std::lock_guard lock(m_background_tasks_mutex);
        return m_background_tasks;
    }

    /// Posts the event that `make_event` returns for a new call number, waits for the response and sleeps
    /// until the time from which the response may be sent. Empty when the service stops or the call times
    /// out.
    template <class MakeEvent>
    std::optional<send_response> call(MakeEvent make_event)
    {
        const call_number number = m_calls.register_call();
        post(make_event(number));
        std::optional<send_response> answer = m_calls.wait(number, call_timeout);
        if (answer) {
            const milliseconds remaining = answer->not_before - millisecond_clock::now();
            std::this_thread::sleep_for(std::max(remaining, milliseconds{0}));
        }
        return answer;
    }

    http::response serve(const http::request& request)
    {
        return handle_failure([&]() -> result<http::response> { return route(request); },
                              [](const failure& error) {
                                  return json_response(400, {{"error", to_string(error)}});
                              });
    }

    result<http::response> route(const http::request& request)
    {
        const std::string target = request.method + " " + request.path;
        if (target == "POST /v1/connections") {
            return respond(call([&](call_number number) {
                return connection_requested{number, request.connection_number};
            }));
        }
        if (target == "POST /v1/statements") {
            BOOST_LEAF_AUTO(document,
                            codec::parse_json(request.body, codec::caller_input_limits, "entry host"));
            BOOST_LEAF_AUTO(statement_request, codec::decode<statement_request>(document, "entry host"));
            return respond(call([&](call_number number) {
                return statement_received{number, request.connection_number, statement_request};
            }));
        }
        if (target == "GET /v1/status") {
            return respond(call([&](call_number number) { return report_requested{number}; }));
        }
        if (target == "GET /v1/log") {
            const log_position after = std::strtoull(request.query.c_str(), nullptr, 10);
            return respond(call([&](call_number number) { return log_requested{number, after}; }));
        }
        if (target == "POST /v1/promote") {
            BOOST_LEAF_AUTO(document,
                            codec::parse_json(request.body, codec::caller_input_limits, "entry host"));
            BOOST_LEAF_AUTO(order, codec::decode<promotion_order>(document, "entry host"));
            return respond(call([&](call_number number) { return promotion_requested{number, order}; }));
        }
        if (target == "POST /v1/follow") {
            BOOST_LEAF_AUTO(document,
                            codec::parse_json(request.body, codec::caller_input_limits, "entry host"));
            BOOST_LEAF_AUTO(order, codec::decode<replication_order>(document, "entry host"));
            return respond(call([&](call_number number) { return replication_requested{number, order}; }));
        }
        if (target == "POST /v1/faults") {
            BOOST_LEAF_AUTO(changed_faults,
                            codec::parse_json(request.body, codec::caller_input_limits, "tester"));
            // Faults that the request does not name are reset to their defaults.
            codec::json document = codec::encode(fault_settings{});
            document.update(changed_faults);
            BOOST_LEAF_AUTO(faults, codec::decode<fault_settings>(document, "tester"));
            return respond(call([&](call_number number) { return faults_changed{number, faults}; }));
        }
        return json_response(404, {{"error", "no such resource"}});
    }

    static http::response respond(const std::optional<send_response>& answer)
    {
        if (!answer) {
            return json_response(503, {{"error", "stopping"}});
        }
        http::response response =
            std::visit([](const auto& content) { return make_response(content); }, answer->response);
        response.drops_connection = answer->is_dropped;
        response.max_sent_body_bytes = answer->is_truncated ? response.body.size() / 2 : SIZE_MAX;
        return response;
    }

    static http::response make_response(const connection_response& answer)
    {
        return json_response(answer.is_accepted ? 200 : 503, codec::encode(answer));
    }
    static http::response make_response(const statement_rejected& answer)
    {
        return json_response(409, codec::encode(answer));
    }
    static http::response make_response(const report_response& answer)
    {
        return json_response(200, codec::encode(answer.report));
    }

    template <class Answer>
    static http::response make_response(const Answer& answer)
    {
        return json_response(200, codec::encode(answer));
    }

    void announce()
    {
        if (background_tasks().suppresses_announcements || m_options.announcement_targets.empty()) {
            return;
        }
        const auto answer = call([&](call_number number) { return report_requested{number}; });
        const auto* report = answer ? std::get_if<report_response>(&answer->response) : nullptr;
        if (report == nullptr || background_tasks().suppresses_announcements) {
            return;
        }
        const std::string body = codec::encode(report->report).dump();
        for (std::size_t attempt = 0; attempt < m_options.announcement_targets.size(); ++attempt) {
            const endpoint& target =
                m_options.announcement_targets[m_next_announcement++ % m_options.announcement_targets.size()];
            const http::call_result call_result = http::call_once(
                target.address, target.port, "POST", "/v1/announcements", body, announce_timeout);
            if (call_result.status == http::call_status::answered && call_result.answer.status == 200) {
                return;
            }
        }
    }

    void replicate()
    {
        const update_background_tasks tasks = background_tasks();
        if (!tasks.primary || tasks.blocks_replication) {
            m_replication_connection.reset();
            return;
        }
        handle_failure([&]() -> result<void> { return replicate_from(*tasks.primary); },
                       [this](const failure&) { m_replication_connection.reset(); });
    }

    result<void> replicate_from(const endpoint& primary)
    {
        if (m_replication_connection == nullptr || m_replication_source != primary) {
            BOOST_LEAF_ASSIGN(m_replication_connection, http::connect(primary.address, primary.port));
            m_replication_source = primary;
        }
        records_received event;
        event.requested_at = millisecond_clock::now();
        event.after_position = m_received_position;
        const http::call_result call_result = m_replication_connection->call(
            "GET", fmt::format("/v1/log?{}", event.after_position), {}, "", replication_timeout);
        if (call_result.status != http::call_status::answered || call_result.answer.status != 200) {
            return fail("pull", to_string(primary), call_result.reason);
        }
        BOOST_LEAF_AUTO(document, codec::parse_json(call_result.answer.body, codec::peer_input_limits,
                                                    to_string(primary)));
        BOOST_LEAF_AUTO(answer, codec::decode<log_response>(document, to_string(primary)));
        if (answer.role == server_role::primary) {
            event.term = answer.term;
            event.records = std::move(answer.records);
            post(std::move(event));
        }
        return {};
    }

    service_options m_options;
    database_state m_state;
    std::atomic<log_position> m_received_position{0};
    runtime::pending_calls<send_response> m_calls;
    std::unique_ptr<http::server> m_server;
    std::mutex m_background_tasks_mutex;
    update_background_tasks m_background_tasks;
    std::size_t m_next_announcement = 0;
    std::unique_ptr<http::client_connection> m_replication_connection;
    endpoint m_replication_source;
    runtime::control_thread<database_event> m_control;
    runtime::periodic_thread m_announcement_thread;
    runtime::periodic_thread m_replication_thread;
};

} // namespace

result<std::unique_ptr<database_service>> start_database(const service_options& options)
{
    auto service = std::make_unique<http_database_service>(options);
    BOOST_LEAF_CHECK(service->start());
    return std::unique_ptr<database_service>(std::move(service));
}

} // namespace hickorymount::database

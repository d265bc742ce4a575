#include "gateway/entry_service.h"

#include "codec/json_codec.h"
#include "database/descriptions.h"
#include "gateway/internal/backend_connections.h"
#include "gateway/internal/caller_codec.h"
#include "gateway/internal/entry_status.h"
#include "gateway/internal/link_metrics.h"
#include "gateway/internal/resource_limits.h"
#include "gateway/internal/session_server.h"
#include "gateway/internal/traffic_view.h"
#include "http/client.h"
#include "http/server.h"
#include "link/peer_transport.h"
#include "logging/fields.h"
#include "logging/log_writer.h"
#include "metrics/metric_registry.h"
#include "node/reduce.h"
#include "protocol/message_codec.h"
#include "routing/read_policy.h"
#include "routing/reduce.h"
#include "runtime/control_thread.h"
#include "runtime/pending_calls.h"
#include "runtime/worker_pool.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::gateway {

namespace {

using detail::backend_connections;
using protocol::probe_response;
using protocol::role_change_response;

constexpr unsigned administration_threads = 8;
/// Threads beyond the number of kept-alive connections, so that a new caller always gets one.
constexpr unsigned spare_caller_threads = 16;
/// The same on a host whose callers use sessions: HTTP then carries only readiness probes, status and
/// metrics.
constexpr unsigned spare_probe_threads = 6;
constexpr unsigned keep_alive_timeout_ms = 15'000;
/// Time for a request's header, and for each write of a response. On a host whose callers use sessions, slow
/// clients would otherwise hold the few threads.
constexpr unsigned request_timeout_ms = 15'000;
constexpr unsigned probe_request_timeout_ms = 3000;
constexpr milliseconds probe_timeout{150};
constexpr int probe_attempts = 2;
constexpr milliseconds takeover_timeout{300};
/// Longer than the deadline of any class; the reducer answers every request earlier.
constexpr milliseconds caller_timeout{660'000};
/// Time for the load balancer to detect that the host is shutting down; requests are served until then.
constexpr milliseconds balancer_grace_period{2000};
constexpr milliseconds drain_timeout{15'000};
/// Time at the end of a shutdown to return the lease.
constexpr milliseconds lease_return_time{200};

incarnation_id make_incarnation()
{
    std::random_device random;
    return incarnation_id{fmt::format("{:08x}{:08x}", random(), random())};
}

class entry_host_process final : public entry_service
{
public:
    entry_host_process(settings::entry_settings settings, std::unique_ptr<sessions::session_codec> codec)
        : m_settings(std::move(settings)), m_self{m_settings.name, make_incarnation()},
          m_log(m_settings.name.value, m_settings.log_level), m_state(routing::entry_state{}),
          m_control_thread([this](node::node_event event) { return handle_event(std::move(event)); },
                           [] { return event_now(routing::timer_expired{}); }),
          m_administration_workers(administration_threads),
          m_backend_connections(m_self.name.value + "." + m_self.incarnation.value,
                                [this](routing::entry_event_payload kind) { post(std::move(kind)); })
    {
        link::peer_handlers handlers;
        handlers.on_message = [this](const std::string& peer, const std::string& bytes) {
            receive(peer, bytes);
        };
        handlers.on_connected = [this](const std::string& peer) {
            post(routing::control_connected{host_name{peer}});
        };
        handlers.on_error = [this](const std::string& peer, const std::string& reason) {
            m_log.write({logging::log_level::warning, "link", peer, "reason=" + logging::quoted(reason)});
        };
        m_transport = link::make_websocket_transport(m_settings.name.value, std::move(handlers));
        if (codec != nullptr && m_settings.session_address) {
            m_sessions = std::make_unique<detail::session_server>(
                std::move(codec), m_settings.zone, m_settings.regions,
                detail::derive_session_limits(m_settings, detail::usable_descriptors(m_settings.resources)),
                detail::session_server::handlers{
                    [this](routing::entry_event_payload kind) { post(std::move(kind)); },
                    [this] { handle_sessions_stopped(); }},
                m_log, m_metrics);
        }
    }
    ~entry_host_process() override { entry_host_process::stop(); }
    entry_host_process(const entry_host_process&) = delete;
    entry_host_process& operator=(const entry_host_process&) = delete;

    result<void> start()
    {
        http::server_options options;
        options.address = m_settings.caller_address.address;
        options.port = m_settings.caller_address.port;
        options.max_kept_alive_connections = m_settings.max_caller_connections;
        options.threads = m_settings.max_caller_connections +
                          (m_sessions != nullptr ? spare_probe_threads : spare_caller_threads);
        options.keep_alive_timeout_ms = keep_alive_timeout_ms;
        options.request_timeout_ms = m_sessions != nullptr ? probe_request_timeout_ms : request_timeout_ms;
        options.additional_address = m_settings.metrics_address ? to_string(*m_settings.metrics_address) : "";
        BOOST_LEAF_ASSIGN(
            m_server,
            http::start_server(options, [this](const http::request& request) { return serve(request); }, {}));
        m_control_thread.start();
        post(routing::entry_started{m_self, m_settings.zone, host_names(m_settings.control_hosts),
                                    m_sessions != nullptr ? m_settings.relay_address : std::nullopt,
                                    m_sessions != nullptr, own_region(), m_settings.limit_bounds});
        if (m_sessions != nullptr) {
            BOOST_LEAF_CHECK(m_sessions->start(*m_settings.session_address, m_settings.relay_address));
        }
        for (const settings::control_host& host : m_settings.control_hosts) {
            m_linked_hosts.insert(host.name);
            m_transport->keep_connected(host.name.value, host.address.address, host.address.port);
        }
        m_transport->start();
        m_log.write({logging::log_level::information, "start", "",
                     fmt::format("port={} incarnation={}", m_server->port(), m_self.incarnation.value)});
        return {};
    }

    [[nodiscard]] std::uint16_t port() const override { return m_server->port(); }

    void drain() override
    {
        m_log.write({logging::log_level::information, "drain", "", ""});
        m_is_draining = true;
        if (m_sessions != nullptr) {
            drain_sessions();
            return;
        }
        std::this_thread::sleep_for(balancer_grace_period);
        post(routing::drain_requested{});
        std::unique_lock lock(m_drained_mutex);
        m_drained_changed.wait_for(lock, drain_timeout, [this] { return m_is_drained; });
        m_log.write(
            {logging::log_level::information, "drained", "", fmt::format("complete={}", m_is_drained)});
    }

    void reload(const settings::entry_settings& changed) override
    {
        m_log.write({logging::log_level::information, "reload", "",
                     fmt::format("control_hosts={}", changed.control_hosts.size())});
        post(routing::control_hosts_changed{host_names(changed.control_hosts)});
    }

    void stop() override
    {
        if (std::exchange(m_is_stopped, true)) {
            return;
        }
        if (m_sessions != nullptr) {
            m_sessions->stop();
        }
        if (m_server != nullptr) {
            m_server->stop();
        }
        m_backend_connections.stop();
        m_administration_workers.stop();
        m_transport->stop();
        m_control_thread.stop();
    }

private:
    static std::vector<host_name> host_names(const std::vector<settings::control_host>& hosts)
    {
        std::vector<host_name> names;
        names.reserve(hosts.size());
        for (const settings::control_host& host : hosts) {
            names.push_back(host.name);
        }
        return names;
    }

    /// Ends the sessions on the traffic thread, then returns the lease.
    void drain_sessions()
    {
        post(routing::shutdown_started{});
        m_sessions->drain(m_settings.shutdown_timeout);
        bool are_commits_final = false;
        {
            std::unique_lock lock(m_drained_mutex);
            are_commits_final = m_drained_changed.wait_for(lock, m_settings.shutdown_timeout,
                                                           [this] { return m_has_stopped_sessions; });
        }
        post(routing::drain_requested{are_commits_final});
        std::unique_lock lock(m_drained_mutex);
        m_drained_changed.wait_for(lock, lease_return_time, [this] { return m_is_drained; });
        m_log.write(
            {logging::log_level::information, "drained", "", fmt::format("complete={}", m_is_drained)});
    }

    void handle_sessions_stopped()
    {
        const std::lock_guard lock(m_drained_mutex);
        m_has_stopped_sessions = true;
        m_drained_changed.notify_all();
    }

    static node::node_event event_now(routing::entry_event_payload kind)
    {
        return {millisecond_clock::now(), unix_now(), std::move(kind)};
    }

    void post(routing::entry_event_payload kind) { m_control_thread.post(event_now(std::move(kind))); }

    [[nodiscard]] std::optional<region_name> own_region() const
    {
        const auto region = m_settings.regions.find(m_settings.zone);
        return region == m_settings.regions.end() ? std::nullopt : std::optional(region->second);
    }

    void receive(const std::string& peer, const std::string& bytes)
    {
        handle_failure(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(content, protocol::decode(bytes, peer));
                post(routing::control_message_received{host_name{peer}, std::move(content)});
                return {};
            },
            [&](const failure& error) {
                m_metrics.count("hickorymount_bad_messages_total", "");
                m_log.write({logging::log_level::warning, error.step, error.peer,
                             "reason=" + logging::quoted(error.reason)});
            });
    }

    time_point handle_event(node::node_event event)
    {
        event.now = millisecond_clock::now();
        event.wall_time = unix_now();
        node::node_transition transition = node::reduce(std::move(m_state), event, m_policy);
        m_state = std::move(transition.state);
        for (node::node_effect& effect : transition.effects) {
            if (auto* entry_effect = std::get_if<routing::entry_effect>(&effect)) {
                std::visit([this](auto& each) { execute(std::move(each)); }, *entry_effect);
            }
        }
        publish();
        return transition.next_timer_at;
    }

    /// Publishes the state that other threads read: readiness, the traffic view and the copy for status
    /// requests.
    void publish()
    {
        const auto& state = std::get<routing::entry_state>(m_state);
        m_is_ready = routing::is_ready(state, millisecond_clock::now());
        for (const host_name& host : state.control_hosts) {
            const auto address = protocol::parse_endpoint(host.value);
            if (address && m_linked_hosts.insert(host).second) {
                m_transport->keep_connected(host.value, address->address, address->port);
            }
        }
        if (m_sessions != nullptr) {
            publish_view(state);
        }
        if (state.configuration->version != m_published_configuration->version) {
            const std::lock_guard lock(m_copy_mutex);
            m_published_configuration = state.configuration;
        }
        if (!m_is_copy_requested.exchange(false)) {
            return;
        }
        const std::lock_guard lock(m_copy_mutex);
        m_state_copy = state;
        m_copy_ready.notify_all();
    }

    void publish_view(const routing::entry_state& state)
    {
        sessions::traffic_view view = detail::make_traffic_view(state);
        if (view != m_published_view) {
            m_published_view = view;
            m_sessions->publish(std::move(view));
        }
    }

    void execute(routing::run_statement&& effect) { m_backend_connections.run(effect); }
    void execute(routing::request_position&& effect) { m_backend_connections.request_position(effect); }
    void execute(routing::open_connection&& effect) { m_backend_connections.open(effect); }
    void execute(routing::close_connection&& effect) { m_backend_connections.close(effect.connection); }

    void execute(routing::send_to_control&& effect)
    {
        const std::string bytes = protocol::encode(effect.content);
        detail::count_sent_message(m_metrics, effect.content, bytes.size());
        m_transport->send(effect.recipient.value, bytes);
    }

    void execute(routing::send_response&& effect)
    {
        m_caller_requests.complete(effect.request, std::move(effect.outcome));
    }

    void execute(routing::probe_server&& effect)
    {
        if (m_sessions != nullptr && effect.request.interface == protocol::server_interface::sessions) {
            m_sessions->probe(std::move(effect));
            return;
        }
        m_administration_workers.post([this, effect = std::move(effect)] { probe(effect); });
    }

    void execute(routing::send_role_change&& effect)
    {
        if (m_sessions != nullptr && effect.request.interface == protocol::server_interface::sessions) {
            m_sessions->send_takeover(std::move(effect));
            return;
        }
        m_administration_workers.post([this, effect = std::move(effect)] { send_takeover(effect); });
    }

    void execute(routing::report_drained&& /*effect*/)
    {
        const std::lock_guard lock(m_drained_mutex);
        m_is_drained = true;
        m_drained_changed.notify_all();
    }

    void execute(logging::log_record&& effect) { m_log.write(effect); }

    void probe(const routing::probe_server& effect)
    {
        const protocol::probe_request& order = effect.request;
        probe_response report{order.probe_id, order.server, std::nullopt};
        for (int attempt = 0; attempt < probe_attempts && !report.report; ++attempt) {
            const http::call_result call = http::call_once(order.address.address, order.address.port, "GET",
                                                           "/v1/status", "", probe_timeout);
            report.report = handle_failure(
                [&]() -> result<std::optional<protocol::server_report>> {
                    if (call.status != http::call_status::answered) {
                        return fail("probe", order.server.value, call.reason);
                    }
                    return decode_report(call.answer.body, order.server.value);
                },
                [](const failure&) { return std::optional<protocol::server_report>{}; });
        }
        post(routing::probe_finished{effect.requester, std::move(report)});
    }

    static result<std::optional<protocol::server_report>> decode_report(const std::string& body,
                                                                        const std::string& peer)
    {
        BOOST_LEAF_AUTO(document, codec::parse_json(body, codec::caller_input_limits, peer));
        BOOST_LEAF_AUTO(report, codec::decode<protocol::server_report>(document, peer));
        return std::optional(std::move(report));
    }

    void send_takeover(const routing::send_role_change& effect)
    {
        const protocol::role_change_request& order = effect.request;
        const bool promotes = order.kind == protocol::server_role_change::promote;
        const std::string body =
            promotes ? codec::encode(database::promotion_order{order.term}).dump()
                     : codec::encode(
                           database::replication_order{order.term, order.primary_address, order.term_start})
                           .dump();
        role_change_response report{
            order.request_id, order.group, order.server, order.kind, order.term, false, 0};
        const http::call_result call =
            http::call_once(order.address.address, order.address.port, "POST",
                            promotes ? "/v1/promote" : "/v1/follow", body, takeover_timeout);
        handle_failure(
            [&]() -> result<void> {
                if (call.status != http::call_status::answered) {
                    return fail("takeover", order.server.value, call.reason);
                }
                BOOST_LEAF_AUTO(document, codec::parse_json(call.answer.body, codec::caller_input_limits,
                                                            order.server.value));
                BOOST_LEAF_AUTO(answer,
                                codec::decode<database::takeover_response>(document, order.server.value));
                report.is_done = answer.is_accepted && answer.term == order.term;
                report.term_start = answer.last_position;
                return {};
            },
            [&](const failure& error) {
                m_log.write({logging::log_level::warning, error.step, error.peer,
                             "reason=" + logging::quoted(error.reason)});
            });
        post(routing::role_change_finished{effect.requester, std::move(report)});
    }

    http::response serve(const http::request& request)
    {
        http::response response = route(request);
        response.closes_connection = response.closes_connection || m_is_draining;
        return response;
    }

    http::response route(const http::request& request)
    {
        if (request.is_body_too_large) {
            return detail::encode_bad_request(
                {"decode_request", "caller", "the body is larger than the limit"}, 413);
        }
        if (detail::is_caller_path(request.path)) {
            return serve_caller(request);
        }
        const std::string target = request.method + " " + request.path;
        if (target == "POST /v1/announcements") {
            return handle_announcement(request);
        }
        if (target == "GET /health") {
            const std::string state = m_is_draining ? "draining" : m_is_ready ? "ready" : "not_ready";
            return detail::make_response(state == "ready" ? 200 : 503, R"({"state":")" + state + "\"}");
        }
        if (target == "GET /metrics") {
            const auto state = copy_state();
            detail::set_gauges(m_metrics, state, m_caller_requests.size());
            detail::set_link_gauges(m_metrics, m_transport->backlog());
            if (m_sessions != nullptr) {
                m_sessions->set_gauges();
            }
            http::response response = detail::make_response(200, m_metrics.exposition());
            response.content_type = "text/plain; version=0.0.4";
            return response;
        }
        if (target == "GET /v1/status") {
            return detail::make_response(200,
                                         detail::status_document(copy_state(), millisecond_clock::now()));
        }
        return detail::encode_bad_request({"decode_request", "caller", "no such resource"}, 404);
    }

    /// Requests a copy of the control thread's state and waits for it; after a timeout, returns the last
    /// copy.
    routing::entry_state copy_state()
    {
        std::unique_lock lock(m_copy_mutex);
        m_is_copy_requested = true;
        post(routing::timer_expired{});
        m_copy_ready.wait_for(lock, takeover_timeout, [this] { return !m_is_copy_requested; });
        return m_state_copy;
    }

    http::response serve_caller(const http::request& request)
    {
        const auto started_at = std::chrono::steady_clock::now();
        class_name request_class;
        http::response response = handle_failure(
            [&]() -> result<http::response> {
                BOOST_LEAF_AUTO(decoded, detail::decode_request(request));
                request_class = decoded.request_class;
                decoded.request = m_caller_requests.register_call();
                const std::uint64_t request_number = decoded.request;
                post(std::move(decoded));
                return wait_for_outcome(request_number, request_class);
            },
            [&](const failure& error) { return detail::encode_bad_request(error, 400); });
        const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - started_at;
        m_metrics.observe_ms("hickorymount_request_duration_ms", labels_for(request_class), took.count());
        return response;
    }

    std::string labels_for(const class_name& request_class)
    {
        const std::lock_guard lock(m_copy_mutex);
        return detail::class_labels(m_published_configuration->content, request_class);
    }

    http::response wait_for_outcome(std::uint64_t request_number, const class_name& request_class)
    {
        std::optional<routing::caller_outcome> outcome =
            m_caller_requests.wait(request_number, caller_timeout);
        if (!outcome) {
            outcome = routing::outcome_unknown{"answer", "", "the entry host stopped"};
        }
        auto* answer = std::get_if<routing::caller_response>(&*outcome);
        const bool is_late =
            answer != nullptr && answer->valid_until && millisecond_clock::now() >= *answer->valid_until;
        if (is_late) {
            outcome = routing::outcome_unknown{"answer", answer->served_by.value,
                                               "the lease ran out before the answer could go out"};
        }
        detail::count_outcome(m_metrics, labels_for(request_class), *outcome);
        http::response response = detail::encode_outcome(*outcome);
        response.headers[detail::request_header] =
            fmt::format("{}.{}.{}", m_self.name.value, m_self.incarnation.value, request_number);
        return response;
    }

    http::response handle_announcement(const http::request& request)
    {
        return handle_failure(
            [&]() -> result<http::response> {
                BOOST_LEAF_AUTO(
                    document, codec::parse_json(request.body, codec::caller_input_limits, "backend server"));
                BOOST_LEAF_AUTO(report, codec::decode<protocol::server_report>(document, "backend server"));
                if (const std::string error = protocol::report_error(report); !error.empty()) {
                    return fail("decode", "backend server", error);
                }
                post(routing::server_report_received{std::move(report)});
                return detail::make_response(200, "{}");
            },
            [&](const failure& error) { return detail::encode_bad_request(error, 400); });
    }

    settings::entry_settings m_settings;
    std::set<host_name> m_linked_hosts;
    sessions::traffic_view m_published_view;
    bool m_has_stopped_sessions = false;
    directory::entry_process_id m_self;
    logging::log_writer m_log;
    metrics::metric_registry m_metrics;
    routing::prefer_replica_policy m_policy;
    node::node_state m_state;
    runtime::pending_calls<routing::caller_outcome> m_caller_requests;
    std::atomic<bool> m_is_ready{false};
    std::atomic<bool> m_is_draining{false};
    std::atomic<bool> m_is_copy_requested{false};
    std::mutex m_copy_mutex;
    std::condition_variable m_copy_ready;
    routing::entry_state m_state_copy;
    shared_value<configuration::versioned_configuration> m_published_configuration;
    std::mutex m_drained_mutex;
    std::condition_variable m_drained_changed;
    bool m_is_drained = false;
    bool m_is_stopped = false;
    std::unique_ptr<http::server> m_server;
    std::unique_ptr<link::peer_transport> m_transport;
    runtime::control_thread<node::node_event> m_control_thread;
    runtime::worker_pool m_administration_workers;
    backend_connections m_backend_connections;
    std::unique_ptr<detail::session_server> m_sessions;
};

} // namespace

result<std::unique_ptr<entry_service>> start_entry_service(const settings::entry_settings& settings,
                                                           std::unique_ptr<sessions::session_codec> codec)
{
    auto process = std::make_unique<entry_host_process>(settings, std::move(codec));
    BOOST_LEAF_CHECK(process->start());
    return std::unique_ptr<entry_service>(std::move(process));
}

} // namespace hickorymount::gateway

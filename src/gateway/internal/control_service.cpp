#include "gateway/control_service.h"

#include "base/names.h"
#include "codec/json_codec.h"
#include "configuration/names.h"
#include "consensus/descriptions.h"
#include "consensus/reduce.h"
#include "gateway/internal/entry_status.h"
#include "gateway/internal/link_metrics.h"
#include "gateway/internal/resource_limits.h"
#include "gateway/internal/storage_thread.h"
#include "gateway/primary_switch_request.h"
#include "http/server.h"
#include "link/peer_transport.h"
#include "logging/fields.h"
#include "logging/log_writer.h"
#include "metrics/labels.h"
#include "metrics/metric_registry.h"
#include "node/reduce.h"
#include "protocol/message_codec.h"
#include "routing/read_policy.h"
#include "runtime/control_thread.h"
#include "runtime/pending_calls.h"
#include "runtime/worker_pool.h"
#include "storage/posix_disk.h"
#include "supervision/descriptions.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::gateway {

namespace {

constexpr unsigned operator_threads = 8;
constexpr unsigned keep_alive_timeout_ms = 1000;
constexpr unsigned request_timeout_ms = 1000;
constexpr unsigned body_timeout_ms = 2000;
constexpr milliseconds operator_timeout{10'000};
/// Clients of `control_http_extension` try the next host after a second.
constexpr milliseconds pages_timeout{1500};
constexpr unsigned promotion_threads = 2;
/// Longest time for which a host that stops waits for another one to take its place. Far below the time that
/// a process gets to stop.
constexpr milliseconds departure_timeout{1500};

data_folder_id make_folder_identity()
{
    std::random_device random;
    return data_folder_id{fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), random())};
}

http::response json_response(int status, const codec::json& body)
{
    return detail::make_response(status, codec::to_text(body));
}

/// Identity of a founding host's data folder; derived from the name, so that founders need not exchange it.
data_folder_id founder_identity(const host_name& name)
{
    return data_folder_id{"founder-" + name.value};
}

class control_host_process final : public control_service, private control_operations
{
public:
    control_host_process(settings::control_settings settings,
                         std::unique_ptr<control_http_extension> extension,
                         std::unique_ptr<promotion_client> promotions)
        : m_settings(std::move(settings)), m_extension(std::move(extension)),
          m_promotions(std::move(promotions)), m_promotion_workers(promotion_threads),
          m_log(m_settings.name.value, m_settings.log_level), m_state(node::control_state{}),
          m_control_thread([this](node::node_event event) { return handle_event(std::move(event)); },
                           [] { return event_now(node::control_timer_expired{}); })
    {
        link::peer_handlers handlers;
        handlers.on_message = [this](const std::string& peer, const std::string& bytes) {
            receive(peer, bytes);
        };
        handlers.on_connected = [](const std::string&) {};
        handlers.on_error = [this](const std::string& peer, const std::string& reason) {
            m_log.write({logging::log_level::warning, "link", peer, "reason=" + logging::quoted(reason)});
        };
        m_transport = link::make_websocket_transport(
            m_settings.name.value, std::move(handlers),
            detail::max_link_connections(detail::usable_descriptors(m_settings.resources)));
    }
    ~control_host_process() override { control_host_process::stop(); }
    control_host_process(const control_host_process&) = delete;
    control_host_process& operator=(const control_host_process&) = delete;

    result<void> start()
    {
        const time_point started_at = millisecond_clock::now();
        BOOST_LEAF_AUTO(disk, storage::open_posix_disk(m_settings.data_folder));
        m_storage = std::make_unique<detail::storage_thread>(
            std::move(disk), detail::storage_thread::handlers{
                                 [this](consensus::sync_id id) { post(consensus::sync_completed{id}); },
                                 [this](const failure& error, std::uint64_t attempts) {
                                     handle_disk_failure(error, attempts);
                                 },
                                 [this](std::uint64_t attempts) { handle_disk_recovery(attempts); }});
        const bool is_founder = m_settings.bootstraps_cluster && is_in_settings();
        BOOST_LEAF_AUTO(
            stored, m_storage->load(is_founder ? founder_identity(m_settings.name) : make_folder_identity()));
        m_identity = stored.identity;
        const std::uint16_t link_port =
            m_transport->listen(m_settings.internal_address.address, m_settings.internal_address.port);
        if (link_port == 0) {
            return fail("listen", to_string(m_settings.internal_address), "cannot listen on this address");
        }
        http::server_options options;
        options.address = m_settings.operator_address.address;
        options.port = m_settings.operator_address.port;
        options.threads = operator_threads;
        options.max_kept_alive_connections = 0;
        options.keep_alive_timeout_ms = keep_alive_timeout_ms;
        options.request_timeout_ms = request_timeout_ms;
        options.body_timeout_ms = body_timeout_ms;
        options.additional_address = m_settings.metrics_address ? to_string(*m_settings.metrics_address) : "";
        BOOST_LEAF_ASSIGN(
            m_server,
            http::start_server(options, [this](const http::request& request) { return serve(request); }, {}));
        m_storage->start();
        m_control_thread.start();
        m_is_started = true;
        std::random_device random;
        const std::size_t entries = stored.entries.size();
        post(node::control_started{m_settings.name, contacts_of(m_settings), std::move(stored), random(),
                                   m_settings.limit_bounds});
        if (is_founder) {
            post(consensus::cluster_formation_requested{founders()});
        }
        for (const settings::control_host& host : m_settings.control_hosts) {
            connect_to(host.name, host.address);
        }
        m_transport->start();
        m_log.write({logging::log_level::information, "start", "",
                     fmt::format("link_port={} operators_port={} identity={} log_entries={} load_ms={}",
                                 link_port, m_server->port(), m_identity.value, entries,
                                 (millisecond_clock::now() - started_at).count())});
        return {};
    }

    [[nodiscard]] std::uint16_t operator_port() const override { return m_server->port(); }

    void reload(const settings::control_settings& changed) override
    {
        m_log.write({logging::log_level::information, "reload", "",
                     fmt::format("control_hosts={}", changed.control_hosts.size())});
        post(consensus::contacts_changed{contacts_of(changed)});
    }

    void stop() override
    {
        if (std::exchange(m_is_stopped, true)) {
            return;
        }
        if (m_is_started) {
            hand_over_place();
        }
        if (m_server != nullptr) {
            m_server->stop();
        }
        m_promotion_workers.stop();
        m_transport->stop();
        m_control_thread.stop();
        if (m_storage != nullptr) {
            m_storage->stop();
        }
    }

private:
    /// Waits until a learner has taken this host's place among the voters, if there is one.
    void hand_over_place()
    {
        const time_point started_at = millisecond_clock::now();
        post(consensus::departure_requested{});
        std::unique_lock lock(m_departure_mutex);
        const bool is_handed_over =
            m_departure_changed.wait_for(lock, departure_timeout, [this] { return m_may_depart; });
        m_log.write({logging::log_level::information, "depart", "",
                     fmt::format("complete={} took_ms={}", is_handed_over,
                                 (millisecond_clock::now() - started_at).count())});
    }

    void update_departure(const consensus::consensus_state& consensus_state)
    {
        if (!consensus_state.is_leaving) {
            return;
        }
        const std::lock_guard lock(m_departure_mutex);
        m_may_depart = !consensus::has_place_to_hand_over(consensus_state);
        m_departure_changed.notify_all();
    }

    static std::vector<host_name> contacts_of(const settings::control_settings& settings)
    {
        std::vector<host_name> contacts;
        for (const settings::control_host& host : settings.control_hosts) {
            if (host.name != settings.name) {
                contacts.push_back(host.name);
            }
        }
        return contacts;
    }

    [[nodiscard]] bool is_in_settings() const
    {
        const auto& configured_hosts = m_settings.control_hosts;
        return std::any_of(
            configured_hosts.begin(), configured_hosts.end(),
            [this](const settings::control_host& each) { return each.name == m_settings.name; });
    }

    [[nodiscard]] consensus::membership founders() const
    {
        consensus::membership members;
        for (const settings::control_host& host : m_settings.control_hosts) {
            members.voters.push_back({host.name, founder_identity(host.name)});
        }
        std::sort(members.voters.begin(), members.voters.end());
        return members;
    }

    void connect_to(const host_name& name, const protocol::endpoint& address)
    {
        if (name != m_settings.name && m_linked_hosts.insert(name).second) {
            m_transport->keep_connected(name.value, address.address, address.port);
        }
    }

    /// Connects to members that are not in the settings; their name is their address.
    void connect_to_members(const consensus::consensus_state& consensus_state)
    {
        const auto connect_by_name = [this](const host_name& name) {
            if (const auto address = protocol::parse_endpoint(name.value)) {
                connect_to(name, *address);
            }
        };
        for (const consensus::member& each : consensus_state.members.voters) {
            connect_by_name(each.name);
        }
        for (const consensus::member& each : consensus_state.members.learners) {
            connect_by_name(each.name);
        }
        std::for_each(consensus_state.contacts.begin(), consensus_state.contacts.end(), connect_by_name);
    }

    static node::node_event event_now(node::control_event_payload kind)
    {
        return {millisecond_clock::now(), unix_now(), std::move(kind)};
    }

    void post(node::control_event_payload kind) { m_control_thread.post(event_now(std::move(kind))); }

    void handle_disk_failure(const failure& error, std::uint64_t attempts)
    {
        m_metrics.count("hickorymount_disk_failures_total", metrics::labels({{"step", error.step}}));
        if (attempts == 1) {
            m_log.write({logging::log_level::error, "disk_failing", error.peer,
                         fmt::format("operation={} reason={} retry_ms={}", error.step,
                                     logging::quoted(error.reason), detail::storage_retry_pause.count())});
        }
    }

    void handle_disk_recovery(std::uint64_t attempts)
    {
        m_log.write({logging::log_level::information, "disk_recovered", m_settings.data_folder,
                     fmt::format("failed_attempts={}", attempts)});
    }

    void receive(const std::string& peer, const std::string& bytes)
    {
        m_metrics.count("hickorymount_control_bytes_received_total", "", bytes.size());
        handle_failure(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(content, protocol::decode(bytes, peer));
                post(node::peer_message_received{host_name{peer}, std::move(content)});
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
            if (auto* control_effect = std::get_if<node::control_effect>(&effect)) {
                std::visit([this](auto& each) { execute(std::move(each)); }, *control_effect);
            }
        }
        const auto& consensus_state = std::get<node::control_state>(m_state).consensus;
        connect_to_members(consensus_state);
        m_knows_leader = consensus_state.leader.has_value();
        update_other_leader(consensus_state.leader);
        update_departure(consensus_state);
        return transition.next_timer_at;
    }

    void execute(node::send_to_peer&& effect)
    {
        // A message to several hosts is encoded once. Comparing messages is cheap because large parts are
        // shared.
        encoded_message& last = m_last_encoded[effect.content.index()];
        if (last.bytes.empty() || last.content != effect.content) {
            last.content = std::move(effect.content);
            last.bytes = protocol::encode(last.content);
        }
        detail::count_sent_message(m_metrics, last.content, last.bytes.size());
        m_transport->send(effect.recipient.value, last.bytes);
    }

    void execute(consensus::persist_log&& effect) { m_storage->write(std::move(effect)); }
    void execute(consensus::persist_snapshot&& effect) { m_storage->write(std::move(effect)); }
    void execute(supervision::send_operator_response&& effect)
    {
        m_operator_requests.complete(effect.request, std::move(effect.response));
    }
    void execute(logging::log_record&& effect) { m_log.write(effect); }

    void execute(supervision::request_promotion&& effect)
    {
        m_promotion_workers.post([this, order = std::move(effect)] {
            promotion_result answer{supervision::promotion_outcome::unknown, "the order is out of date"};
            // If this process was suspended, another host may have become the leader.
            if (m_promotions != nullptr && millisecond_clock::now() < order.valid_until) {
                answer = m_promotions->request_promotion(order);
            }
            m_log.write(
                {logging::log_level::information, "promotion_answered", order.server.value,
                 fmt::format("group={} token={} outcome={} reason={}", order.group.value, order.fencing_token,
                             codec::enumerator_name(answer.outcome), logging::quoted(answer.reason))});
            post(supervision::promotion_response_received{order.request_id, order.group, answer.outcome});
        });
    }

    std::optional<supervision::operator_response>
    replace_configuration(directory::replace_configuration change) override
    {
        const std::uint64_t request_number = m_operator_requests.register_call();
        post(supervision::configuration_replacement_requested{request_number, std::move(change)});
        return m_operator_requests.wait(request_number, pages_timeout);
    }

    std::optional<supervision::operator_response> read_configuration() override
    {
        const std::uint64_t request_number = m_operator_requests.register_call();
        post(supervision::configuration_requested{request_number});
        return m_operator_requests.wait(request_number, pages_timeout);
    }

    void update_other_leader(const std::optional<host_name>& leader)
    {
        const std::lock_guard lock(m_leader_mutex);
        m_other_leader = leader == m_settings.name ? std::nullopt : leader;
    }

    [[nodiscard]] std::optional<host_name> other_leader() const override
    {
        const std::lock_guard lock(m_leader_mutex);
        return m_other_leader;
    }

    bool submit_report(protocol::server_report report) override
    {
        if (!m_knows_leader) {
            return false;
        }
        report.report_interval = m_settings.report_interval;
        post(supervision::server_report_received{std::move(report)});
        return true;
    }

    template <class MakeEvent>
    http::response wait_for_answer(MakeEvent make_event)
    {
        const std::uint64_t request_number = m_operator_requests.register_call();
        post(make_event(request_number));
        const auto answer = m_operator_requests.wait(request_number, operator_timeout);
        if (!answer) {
            return json_response(
                504, {{"error", "control did not answer in time; the change may yet be accepted"}});
        }
        return std::visit([](const auto& each) { return encode(each); }, *answer);
    }

    static http::response encode(const supervision::refused_response& refused)
    {
        return json_response(421, codec::encode(refused));
    }

    static http::response encode(const supervision::configuration_change_response& answer)
    {
        const bool is_accepted = answer.outcome == directory::change_outcome::accepted;
        return json_response(is_accepted ? 200 : 409, codec::encode(answer));
    }

    static http::response encode(const supervision::primary_switch_response& answer)
    {
        return json_response(answer.is_started ? 200 : 409, codec::encode(answer));
    }

    static http::response encode(const supervision::status_summary& answer)
    {
        return json_response(200, codec::encode(answer));
    }

    http::response serve(const http::request& request)
    {
        return handle_failure([&]() -> result<http::response> { return route(request); },
                              [](const failure& error) {
                                  return json_response(400, {{"error", to_string(error)}});
                              });
    }

    static result<void> check_name(const std::string& place, const std::string& text)
    {
        return is_name(text)
                   ? result<void>()
                   : fail("decode", "operator",
                          fmt::format("{}: expected {}, not '{}'", place, name_rule, escaped(text)));
    }

    result<http::response> route(const http::request& request)
    {
        const std::string target = request.method + " " + request.path;
        if (m_extension != nullptr && !request.is_body_too_large) {
            if (auto response = m_extension->handle(request, *this)) {
                return std::move(*response);
            }
        }
        if (request.is_body_too_large) {
            return json_response(413, {{"error", "the body is larger than the limit"}});
        }
        if (target == "GET /v1/status") {
            return wait_for_answer(
                [](std::uint64_t request_number) { return supervision::status_requested{request_number}; });
        }
        if (target == "GET /v1/identity") {
            return json_response(200, codec::encode(consensus::member{m_settings.name, m_identity}));
        }
        if (target == "GET /metrics") {
            detail::set_link_gauges(m_metrics, m_transport->backlog());
            http::response response = detail::make_response(200, m_metrics.exposition());
            response.content_type = "text/plain; version=0.0.4";
            return response;
        }
        if (target == "POST /v1/form") {
            BOOST_LEAF_AUTO(document,
                            codec::parse_json(request.body, codec::caller_input_limits, "operator"));
            BOOST_LEAF_AUTO(members, codec::decode<consensus::membership>(document, "operator"));
            for (const consensus::member& voter : members.voters) {
                BOOST_LEAF_CHECK(check_name("name", voter.name.value));
                BOOST_LEAF_CHECK(check_name("identity", voter.identity.value));
            }
            post(consensus::cluster_formation_requested{members});
            return json_response(200, codec::json::object());
        }
        if (target == "POST /v1/configuration") {
            BOOST_LEAF_AUTO(document,
                            codec::parse_json(request.body, codec::caller_input_limits, "operator"));
            BOOST_LEAF_AUTO(change, codec::decode<directory::change_configuration>(document, "operator"));
            if (const std::string error = configuration::first_name_error(change.content); !error.empty()) {
                return fail("decode", "operator", error);
            }
            return wait_for_answer([&](std::uint64_t request_number) {
                return supervision::configuration_change_requested{request_number, change};
            });
        }
        if (target == "GET /v1/configuration") {
            return wait_for_answer([](std::uint64_t request_number) {
                return supervision::configuration_requested{request_number};
            });
        }
        if (target == "POST /v1/switch") {
            BOOST_LEAF_AUTO(document,
                            codec::parse_json(request.body, codec::caller_input_limits, "operator"));
            BOOST_LEAF_AUTO(order, codec::decode<primary_switch_request>(document, "operator"));
            BOOST_LEAF_CHECK(check_name("group", order.group.value));
            BOOST_LEAF_CHECK(check_name("target", order.target.value));
            return wait_for_answer([&](std::uint64_t request_number) {
                return supervision::primary_switch_requested{request_number, order.group, order.target};
            });
        }
        return json_response(404, {{"error", "no such resource"}});
    }

    static http::response encode(const supervision::configuration_response& answer)
    {
        return json_response(200, codec::encode(answer.configuration));
    }

    settings::control_settings m_settings;
    std::unique_ptr<control_http_extension> m_extension;
    std::unique_ptr<promotion_client> m_promotions;
    runtime::worker_pool m_promotion_workers;
    struct encoded_message
    {
        protocol::message content;
        std::string bytes;
    };
    /// The last encoded message of each type.
    std::array<encoded_message, std::variant_size_v<protocol::message>> m_last_encoded;
    std::set<host_name> m_linked_hosts;
    std::atomic<bool> m_knows_leader{false};
    mutable std::mutex m_leader_mutex;
    std::optional<host_name> m_other_leader;
    logging::log_writer m_log;
    metrics::metric_registry m_metrics;
    routing::prefer_replica_policy m_policy;
    node::node_state m_state;
    data_folder_id m_identity;
    runtime::pending_calls<supervision::operator_response> m_operator_requests;
    bool m_is_started = false;
    bool m_is_stopped = false;
    std::mutex m_departure_mutex;
    std::condition_variable m_departure_changed;
    bool m_may_depart = false;
    std::unique_ptr<http::server> m_server;
    std::unique_ptr<link::peer_transport> m_transport;
    std::unique_ptr<detail::storage_thread> m_storage;
    runtime::control_thread<node::node_event> m_control_thread;
};

} // namespace

result<std::unique_ptr<control_service>>
start_control_service(const settings::control_settings& settings,
                      std::unique_ptr<control_http_extension> extension,
                      std::unique_ptr<promotion_client> promotions)
{
    auto process =
        std::make_unique<control_host_process>(settings, std::move(extension), std::move(promotions));
    BOOST_LEAF_CHECK(process->start());
    return std::unique_ptr<control_service>(std::move(process));
}

} // namespace hickorymount::gateway

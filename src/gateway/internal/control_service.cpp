#include "gateway/control_service.h"

#include "codec/json_codec.h"
#include "consensus/descriptions.h"
#include "gateway/internal/entry_pages.h"
#include "gateway/internal/storage_thread.h"
#include "gateway/operator_types.h"
#include "http/server.h"
#include "link/peer_transport.h"
#include "logging/log_writer.h"
#include "metrics/metric_registry.h"
#include "node/reduce.h"
#include "protocol/message_codec.h"
#include "routing/read_policy.h"
#include "runtime/call_desk.h"
#include "runtime/control_thread.h"
#include "runtime/worker_pool.h"
#include "storage/posix_disk.h"
#include "supervision/descriptions.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <random>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace hickorymount::gateway {

namespace {

constexpr unsigned operator_threads = 8;
constexpr unsigned keep_alive_timeout_ms = 1000;
constexpr milliseconds operator_timeout{10'000};
/// Callers of another interface's pages ask the next host after a second.
constexpr milliseconds page_timeout{1500};
constexpr unsigned promotion_threads = 2;

folder_identity make_identity()
{
    std::random_device random;
    return folder_identity{fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(), random())};
}

http::response json_page(int status, const codec::json& body)
{
    return detail::plain_page(status, body.dump());
}

/// The identity of a founder's data folder; the founders know one another's without asking.
folder_identity founder_identity(const host_name& name)
{
    return folder_identity{"founder-" + name.value};
}

class control_process final : public control_service, private control_desk
{
public:
    control_process(settings::control_settings own, std::function<void()> on_disk_failure,
                    std::unique_ptr<control_pages> pages, std::unique_ptr<promotion_caller> promotions)
        : m_own(std::move(own)), m_on_disk_failure(std::move(on_disk_failure)), m_pages(std::move(pages)),
          m_promotions(std::move(promotions)), m_promotion_calls(promotion_threads),
          m_log(m_own.name.value, m_own.log_level), m_state(node::control_state{}),
          m_control([this](node::node_event event) { return step(std::move(event)); },
                    [] { return event_now(node::control_time_passed{}); })
    {
        link::peer_handlers handlers;
        handlers.on_message = [this](const std::string& peer, const std::string& bytes) {
            receive(peer, bytes);
        };
        handlers.on_connected = [](const std::string&) {};
        handlers.on_problem = [this](const std::string& peer, const std::string& reason) {
            m_log.write({logging::log_level::warning, "link", peer, reason});
        };
        m_transport = link::make_websocket_transport(m_own.name.value, std::move(handlers));
    }
    ~control_process() override { control_process::stop(); }
    control_process(const control_process&) = delete;
    control_process& operator=(const control_process&) = delete;

    result<void> start()
    {
        const time_point began = millisecond_clock::now();
        BOOST_LEAF_AUTO(files, storage::open_posix_disk(m_own.data_folder));
        m_storage = std::make_unique<detail::storage_thread>(
            std::move(files), [this](consensus::sync_id id) { post(consensus::synced{id}); },
            [this](const failure& what) { disk_failed(what); });
        const bool founds = m_own.founds && is_seed();
        BOOST_LEAF_AUTO(stored, m_storage->load(founds ? founder_identity(m_own.name) : make_identity()));
        m_identity = stored.identity;
        const std::uint16_t link_port = m_transport->listen(m_own.link.address, m_own.link.port);
        if (link_port == 0) {
            return fail("listen", to_string(m_own.link), "the address can't be used");
        }
        http::server_options options;
        options.address = m_own.operators.address;
        options.port = m_own.operators.port;
        options.threads = operator_threads;
        options.kept_alive_connections = 0;
        options.keep_alive_timeout_ms = keep_alive_timeout_ms;
        options.also_on = m_own.metrics ? to_string(*m_own.metrics) : "";
        BOOST_LEAF_ASSIGN(
            m_server,
            http::start_server(options, [this](const http::request& asked) { return serve(asked); }, {}));
        m_storage->start();
        m_control.start();
        std::random_device random;
        const std::size_t entries = stored.entries.size();
        post(node::control_started{m_own.name, contacts_in(m_own), std::move(stored), random()});
        if (founds) {
            post(consensus::formed{founders()});
        }
        for (const settings::control_host& host : m_own.control_hosts) {
            dial(host.name, host.address);
        }
        m_transport->start();
        m_log.write({logging::log_level::information, "start", "",
                     fmt::format("link_port={} operators_port={} identity={} log_entries={} load_ms={}",
                                 link_port, m_server->port(), m_identity.value, entries,
                                 (millisecond_clock::now() - began).count())});
        return {};
    }

    [[nodiscard]] std::uint16_t operators_port() const override { return m_server->port(); }

    void reload(const settings::control_settings& changed) override
    {
        m_log.write({logging::log_level::information, "reload", "",
                     fmt::format("control_hosts={}", changed.control_hosts.size())});
        post(consensus::contacts_named{contacts_in(changed)});
    }

    void stop() override
    {
        if (std::exchange(m_is_stopped, true)) {
            return;
        }
        if (m_server != nullptr) {
            m_server->stop();
        }
        m_promotion_calls.stop();
        m_transport->stop();
        m_control.stop();
        if (m_storage != nullptr) {
            m_storage->stop();
        }
    }

private:
    static std::vector<host_name> contacts_in(const settings::control_settings& own)
    {
        std::vector<host_name> contacts;
        for (const settings::control_host& host : own.control_hosts) {
            if (host.name != own.name) {
                contacts.push_back(host.name);
            }
        }
        return contacts;
    }

    [[nodiscard]] bool is_seed() const
    {
        const auto& seeds = m_own.control_hosts;
        return std::any_of(seeds.begin(), seeds.end(),
                           [this](const settings::control_host& each) { return each.name == m_own.name; });
    }

    [[nodiscard]] consensus::membership founders() const
    {
        consensus::membership members;
        for (const settings::control_host& seed : m_own.control_hosts) {
            members.voters.push_back({seed.name, founder_identity(seed.name)});
        }
        std::sort(members.voters.begin(), members.voters.end());
        return members;
    }

    void dial(const host_name& name, const protocol::endpoint& address)
    {
        if (name != m_own.name && m_dialled.insert(name).second) {
            m_transport->dial(name.value, address.address, address.port);
        }
    }

    /// Hosts that are named by their address may join without being in the settings.
    void dial_members(const consensus::consensus_state& log)
    {
        const auto dial_named = [this](const host_name& name) {
            if (const auto address = protocol::parse_endpoint(name.value)) {
                dial(name, *address);
            }
        };
        for (const consensus::member& each : log.members.voters) {
            dial_named(each.name);
        }
        for (const consensus::member& each : log.members.learners) {
            dial_named(each.name);
        }
        std::for_each(log.contacts.begin(), log.contacts.end(), dial_named);
    }

    static node::node_event event_now(node::control_event_kind what)
    {
        return {millisecond_clock::now(), unix_now(), std::move(what)};
    }

    void post(node::control_event_kind what) { m_control.post(event_now(std::move(what))); }

    void disk_failed(const failure& what)
    {
        m_log.write({logging::log_level::error, what.step, what.peer, what.reason + "; the process stops"});
        m_on_disk_failure();
    }

    void receive(const std::string& peer, const std::string& bytes)
    {
        m_metrics.count("hickorymount_control_bytes_received_total", "", bytes.size());
        handle_failure(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(content, protocol::decode(bytes, peer));
                post(node::peer_message{host_name{peer}, std::move(content)});
                return {};
            },
            [&](const failure& what) {
                m_metrics.count("hickorymount_bad_messages_total", "");
                m_log.write({logging::log_level::warning, what.step, what.peer, what.reason});
            });
    }

    time_point step(node::node_event event)
    {
        event.now = millisecond_clock::now();
        event.wall = unix_now();
        node::node_transition next = node::reduce(std::move(m_state), event, m_policy);
        m_state = std::move(next.state);
        for (node::node_effect& effect : next.effects) {
            if (auto* own = std::get_if<node::control_effect>(&effect)) {
                std::visit([this](auto& each) { carry_out(std::move(each)); }, *own);
            }
        }
        const auto& log = std::get<node::control_state>(m_state).consensus;
        dial_members(log);
        m_knows_leader = log.leader.has_value();
        note_leader(log.leader);
        return next.wake_at;
    }

    void carry_out(node::send_to_peer&& effect)
    {
        // What many hosts are sent is encoded once; its large parts are shared, so comparing it is cheap.
        encoded_message& last = m_last_encoded[effect.content.index()];
        if (last.bytes.empty() || last.content != effect.content) {
            last.content = std::move(effect.content);
            last.bytes = protocol::encode(last.content);
        }
        m_metrics.count("hickorymount_control_bytes_sent_total", "", last.bytes.size());
        m_transport->send(effect.to.value, last.bytes);
    }

    void carry_out(consensus::persist_log&& effect) { m_storage->write(std::move(effect)); }
    void carry_out(consensus::persist_snapshot&& effect) { m_storage->write(std::move(effect)); }
    void carry_out(supervision::answer_operator&& effect)
    {
        m_calls.answer(effect.request, std::move(effect.answer));
    }
    void carry_out(logging::log_record&& effect) { m_log.write(effect); }

    void carry_out(supervision::order_promotion&& effect)
    {
        m_promotion_calls.post([this, order = std::move(effect)] {
            promotion_answer answer{supervision::promotion_outcome::unclear, "the order is out of date"};
            // A host that stood still meanwhile may have been replaced by another leader.
            if (m_promotions != nullptr && millisecond_clock::now() < order.valid_until) {
                answer = m_promotions->promote(order);
            }
            m_log.write(
                {logging::log_level::information, "promotion_answered", order.server.value,
                 fmt::format("group={} token={} outcome={} reason=\"{}\"", order.group.value,
                             order.fencing_token, codec::enumerator_name(answer.outcome), answer.reason)});
            post(supervision::promotion_answered{order.order, order.group, answer.outcome});
        });
    }

    std::optional<supervision::operator_answer> replace(directory::replace_configuration change) override
    {
        const std::uint64_t number = m_calls.open();
        post(supervision::replacement_asked{number, std::move(change)});
        return m_calls.wait(number, page_timeout);
    }

    std::optional<supervision::operator_answer> show_configuration() override
    {
        const std::uint64_t number = m_calls.open();
        post(supervision::configuration_shown{number});
        return m_calls.wait(number, page_timeout);
    }

    void note_leader(const std::optional<host_name>& leader)
    {
        const std::lock_guard lock(m_leader_mutex);
        m_other_leader = leader == m_own.name ? std::nullopt : leader;
    }

    [[nodiscard]] std::optional<host_name> other_leader() const override
    {
        const std::lock_guard lock(m_leader_mutex);
        return m_other_leader;
    }

    bool announce(protocol::server_report report) override
    {
        if (!m_knows_leader) {
            return false;
        }
        report.report_interval = m_own.report_interval;
        post(supervision::server_announced{std::move(report)});
        return true;
    }

    template <class MakeEvent>
    http::response ask(MakeEvent make_event)
    {
        const std::uint64_t number = m_calls.open();
        post(make_event(number));
        const auto answer = m_calls.wait(number, operator_timeout);
        if (!answer) {
            return json_page(504,
                             {{"error", "control did not answer in time; the change may yet be accepted"}});
        }
        return std::visit([](const auto& each) { return encode(each); }, *answer);
    }

    static http::response encode(const supervision::refused_answer& refused)
    {
        return json_page(421, codec::encode(refused));
    }

    static http::response encode(const supervision::configuration_answer& answer)
    {
        const bool is_accepted = answer.outcome == directory::change_outcome::accepted;
        return json_page(is_accepted ? 200 : 409, codec::encode(answer));
    }

    static http::response encode(const supervision::switch_answer& answer)
    {
        return json_page(answer.is_started ? 200 : 409, codec::encode(answer));
    }

    static http::response encode(const supervision::status_summary& answer)
    {
        return json_page(200, codec::encode(answer));
    }

    http::response serve(const http::request& asked)
    {
        return handle_failure([&]() -> result<http::response> { return route(asked); },
                              [](const failure& what) {
                                  return json_page(400, {{"error", to_string(what)}});
                              });
    }

    result<http::response> route(const http::request& asked)
    {
        const std::string target = asked.method + " " + asked.path;
        if (m_pages != nullptr && !asked.is_body_too_large) {
            if (auto page = m_pages->serve(asked, *this)) {
                return std::move(*page);
            }
        }
        if (asked.is_body_too_large) {
            return json_page(413, {{"error", "the body is larger than the limit"}});
        }
        if (target == "GET /v1/status") {
            return ask([](std::uint64_t number) { return supervision::status_asked{number}; });
        }
        if (target == "GET /v1/identity") {
            return json_page(200, codec::encode(consensus::member{m_own.name, m_identity}));
        }
        if (target == "GET /metrics") {
            http::response page = detail::plain_page(200, m_metrics.exposition());
            page.content_type = "text/plain; version=0.0.4";
            return page;
        }
        if (target == "POST /v1/form") {
            BOOST_LEAF_AUTO(document, codec::parse_json(asked.body, codec::caller_input_limits, "operator"));
            BOOST_LEAF_AUTO(members, codec::decode<consensus::membership>(document, "operator"));
            post(consensus::formed{members});
            return json_page(200, codec::json::object());
        }
        if (target == "POST /v1/configuration") {
            BOOST_LEAF_AUTO(document, codec::parse_json(asked.body, codec::caller_input_limits, "operator"));
            BOOST_LEAF_AUTO(change, codec::decode<directory::change_configuration>(document, "operator"));
            return ask([&](std::uint64_t number) {
                return supervision::configuration_asked{number, change};
            });
        }
        if (target == "GET /v1/configuration") {
            return ask([](std::uint64_t number) { return supervision::configuration_shown{number}; });
        }
        if (target == "POST /v1/switch") {
            BOOST_LEAF_AUTO(document, codec::parse_json(asked.body, codec::caller_input_limits, "operator"));
            BOOST_LEAF_AUTO(order, codec::decode<switch_order>(document, "operator"));
            return ask([&](std::uint64_t number) {
                return supervision::switch_asked{number, order.group, order.target};
            });
        }
        return json_page(404, {{"error", "no such resource"}});
    }

    static http::response encode(const supervision::shown_configuration& answer)
    {
        return json_page(200, codec::encode(answer.configuration));
    }

    settings::control_settings m_own;
    std::function<void()> m_on_disk_failure;
    std::unique_ptr<control_pages> m_pages;
    std::unique_ptr<promotion_caller> m_promotions;
    runtime::worker_pool m_promotion_calls;
    struct encoded_message
    {
        protocol::message content;
        std::string bytes;
    };
    /// The last message of each kind.
    std::array<encoded_message, std::variant_size_v<protocol::message>> m_last_encoded;
    std::set<host_name> m_dialled;
    std::atomic<bool> m_knows_leader{false};
    mutable std::mutex m_leader_mutex;
    std::optional<host_name> m_other_leader;
    logging::log_writer m_log;
    metrics::metric_registry m_metrics;
    routing::position_policy m_policy;
    node::node_state m_state;
    folder_identity m_identity;
    runtime::call_desk<supervision::operator_answer> m_calls;
    bool m_is_stopped = false;
    std::unique_ptr<http::server> m_server;
    std::unique_ptr<link::peer_transport> m_transport;
    std::unique_ptr<detail::storage_thread> m_storage;
    runtime::control_thread<node::node_event> m_control;
};

} // namespace

result<std::unique_ptr<control_service>> start_control(const settings::control_settings& own,
                                                       std::function<void()> on_disk_failure,
                                                       std::unique_ptr<control_pages> pages,
                                                       std::unique_ptr<promotion_caller> promotions)
{
    auto started = std::make_unique<control_process>(own, std::move(on_disk_failure), std::move(pages),
                                                     std::move(promotions));
    BOOST_LEAF_CHECK(started->start());
    return std::unique_ptr<control_service>(std::move(started));
}

} // namespace hickorymount::gateway

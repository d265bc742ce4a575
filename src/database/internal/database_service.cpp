#include "database/database_service.h"

#include "base/millisecond_clock.h"
#include "codec/json_codec.h"
#include "database/descriptions.h"
#include "database/reduce.h"
#include "http/client.h"
#include "http/server.h"
#include "runtime/call_desk.h"
#include "runtime/control_thread.h"
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
constexpr milliseconds pull_interval{10};
/// Short, so that a replica told to follow another primary is not held up by a frozen one.
constexpr milliseconds pull_timeout{100};
constexpr milliseconds call_timeout{60'000};
/// Threads beyond the connection limit, for status, replication and refusals.
constexpr unsigned spare_threads = 24;
constexpr unsigned keep_alive_timeout_ms = 600'000;

http::response json_response(int status, const codec::json& body)
{
    http::response made;
    made.status = status;
    made.body = body.dump();
    return made;
}

class database_process final : public database_service
{
public:
    explicit database_process(service_options options)
        : m_options(std::move(options)),
          m_control([this](database_event event) { return step(std::move(event)); },
                    [] {
                        return database_event{millisecond_clock::now(), time_passed{}};
                    }),
          m_announcer(announce_interval, [this] { announce(); }), m_puller(pull_interval, [this] { pull(); })
    {
    }
    ~database_process() override { database_process::stop(); }
    database_process(const database_process&) = delete;
    database_process& operator=(const database_process&) = delete;

    result<void> start()
    {
        http::server_options options;
        options.address = m_options.settings.address.address;
        options.port = m_options.settings.address.port;
        options.threads = m_options.settings.connections + spare_threads;
        options.kept_alive_connections = options.threads;
        options.keep_alive_timeout_ms = keep_alive_timeout_ms;
        BOOST_LEAF_ASSIGN(m_server,
                          http::start_server(
                              options, [this](const http::request& asked) { return serve(asked); },
                              [this](std::uint64_t connection) { post(connection_closed{connection}); }));
        m_options.settings.address.port = m_server->port();
        m_options.settings.started_at = unix_now();
        m_control.start();
        post(database_started{m_options.settings});
        m_announcer.start();
        m_puller.start();
        return {};
    }

    [[nodiscard]] std::uint16_t port() const override { return m_server->port(); }

    void stop() override
    {
        m_announcer.stop();
        m_puller.stop();
        if (m_server != nullptr) {
            m_server->stop();
        }
        m_control.stop();
    }

private:
    void post(database_event_kind what) { m_control.post({millisecond_clock::now(), std::move(what)}); }

    time_point step(database_event event)
    {
        event.now = millisecond_clock::now();
        database_transition next = reduce(std::move(m_state), event);
        m_state = std::move(next.state);
        const bool has_arrived = !m_state.arrived.empty();
        m_received = has_arrived ? m_state.arrived.back().up_to : position_of(m_state).position;
        for (database_effect& effect : next.effects) {
            std::visit([this](auto& each) { carry_out(std::move(each)); }, effect);
        }
        return next.wake_at;
    }

    void carry_out(answer_call&& effect)
    {
        const call_number number = effect.call;
        m_calls.answer(number, std::move(effect));
    }

    void carry_out(standing_changed&& effect)
    {
        {
            const std::lock_guard lock(m_standing_mutex);
            m_standing = std::move(effect);
        }
        m_announcer.wake();
        m_puller.wake();
    }

    standing_changed standing()
    {
        const std::lock_guard lock(m_standing_mutex);
        return m_standing;
    }

    /// Posts the event made for a call number, and waits for the answer and its time.
    template <class MakeEvent>
    std::optional<answer_call> call(MakeEvent make_event)
    {
        const call_number number = m_calls.open();
        post(make_event(number));
        std::optional<answer_call> answer = m_calls.wait(number, call_timeout);
        if (answer) {
            const milliseconds early = answer->not_before - millisecond_clock::now();
            std::this_thread::sleep_for(std::max(early, milliseconds{0}));
        }
        return answer;
    }

    http::response serve(const http::request& asked)
    {
        return handle_failure([&]() -> result<http::response> { return route(asked); },
                              [](const failure& what) {
                                  return json_response(400, {{"error", to_string(what)}});
                              });
    }

    result<http::response> route(const http::request& asked)
    {
        const std::string target = asked.method + " " + asked.path;
        if (target == "POST /v1/connections") {
            return respond(call([&](call_number number) {
                return connection_asked{number, asked.connection};
            }));
        }
        if (target == "POST /v1/statements") {
            BOOST_LEAF_AUTO(document,
                            codec::parse_json(asked.body, codec::caller_input_limits, "entry host"));
            BOOST_LEAF_AUTO(what, codec::decode<statement>(document, "entry host"));
            return respond(call([&](call_number number) {
                return statement_call{number, asked.connection, what};
            }));
        }
        if (target == "GET /v1/status") {
            return respond(call([&](call_number number) { return report_asked{number}; }));
        }
        if (target == "GET /v1/log") {
            const log_position after = std::strtoull(asked.query.c_str(), nullptr, 10);
            return respond(call([&](call_number number) { return log_asked{number, after}; }));
        }
        if (target == "POST /v1/promote") {
            BOOST_LEAF_AUTO(document,
                            codec::parse_json(asked.body, codec::caller_input_limits, "entry host"));
            BOOST_LEAF_AUTO(what, codec::decode<promotion>(document, "entry host"));
            return respond(call([&](call_number number) { return promote_asked{number, what}; }));
        }
        if (target == "POST /v1/follow") {
            BOOST_LEAF_AUTO(document,
                            codec::parse_json(asked.body, codec::caller_input_limits, "entry host"));
            BOOST_LEAF_AUTO(what, codec::decode<following>(document, "entry host"));
            return respond(call([&](call_number number) { return follow_asked{number, what}; }));
        }
        if (target == "POST /v1/faults") {
            BOOST_LEAF_AUTO(named, codec::parse_json(asked.body, codec::caller_input_limits, "tester"));
            codec::json document = codec::encode(fault_settings{});
            document.update(named);
            BOOST_LEAF_AUTO(faults, codec::decode<fault_settings>(document, "tester"));
            return respond(call([&](call_number number) { return faults_set{number, faults}; }));
        }
        return json_response(404, {{"error", "no such resource"}});
    }

    static http::response respond(const std::optional<answer_call>& answer)
    {
        if (!answer) {
            return json_response(503, {{"error", "stopping"}});
        }
        http::response made = std::visit([](const auto& each) { return respond_to(each); }, answer->answer);
        made.is_dropped = answer->is_dropped;
        made.cut_after = answer->is_short ? made.body.size() / 2 : SIZE_MAX;
        return made;
    }

    static http::response respond_to(const connection_answer& answer)
    {
        return json_response(answer.is_accepted ? 200 : 503, codec::encode(answer));
    }
    static http::response respond_to(const statement_rejected& answer)
    {
        return json_response(409, codec::encode(answer));
    }
    static http::response respond_to(const report_answer& answer)
    {
        return json_response(200, codec::encode(answer.report));
    }

    template <class Answer>
    static http::response respond_to(const Answer& answer)
    {
        return json_response(200, codec::encode(answer));
    }

    void announce()
    {
        if (standing().is_mute || m_options.announce_to.empty()) {
            return;
        }
        const auto answer = call([&](call_number number) { return report_asked{number}; });
        const auto* report = answer ? std::get_if<report_answer>(&answer->answer) : nullptr;
        if (report == nullptr || standing().is_mute) {
            return;
        }
        const std::string body = codec::encode(report->report).dump();
        for (std::size_t attempt = 0; attempt < m_options.announce_to.size(); ++attempt) {
            const endpoint& to = m_options.announce_to[m_next_announcement++ % m_options.announce_to.size()];
            const http::call_result sent =
                http::call_once(to.address, to.port, "POST", "/v1/announcements", body, announce_timeout);
            if (sent.status == http::call_status::answered && sent.answer.status == 200) {
                return;
            }
        }
    }

    void pull()
    {
        const standing_changed present = standing();
        if (!present.primary || present.is_replication_cut) {
            m_pull_connection.reset();
            return;
        }
        handle_failure([&]() -> result<void> { return pull_from(*present.primary); },
                       [this](const failure&) { m_pull_connection.reset(); });
    }

    result<void> pull_from(const endpoint& primary)
    {
        if (m_pull_connection == nullptr || m_pull_source != primary) {
            BOOST_LEAF_ASSIGN(m_pull_connection, http::connect(primary.address, primary.port));
            m_pull_source = primary;
        }
        records_arrived arrived;
        arrived.asked_at = millisecond_clock::now();
        arrived.after = m_received;
        const http::call_result got =
            m_pull_connection->call("GET", fmt::format("/v1/log?{}", arrived.after), {}, "", pull_timeout);
        if (got.status != http::call_status::answered || got.answer.status != 200) {
            return fail("pull", to_string(primary), got.reason);
        }
        BOOST_LEAF_AUTO(document,
                        codec::parse_json(got.answer.body, codec::peer_input_limits, to_string(primary)));
        BOOST_LEAF_AUTO(answer, codec::decode<log_answer>(document, to_string(primary)));
        if (answer.role == server_role::primary) {
            arrived.term = answer.term;
            arrived.records = std::move(answer.records);
            post(std::move(arrived));
        }
        return {};
    }

    service_options m_options;
    database_state m_state;
    std::atomic<log_position> m_received{0};
    runtime::call_desk<answer_call> m_calls;
    std::unique_ptr<http::server> m_server;
    std::mutex m_standing_mutex;
    standing_changed m_standing;
    std::size_t m_next_announcement = 0;
    std::unique_ptr<http::client_connection> m_pull_connection;
    endpoint m_pull_source;
    runtime::control_thread<database_event> m_control;
    runtime::periodic_thread m_announcer;
    runtime::periodic_thread m_puller;
};

} // namespace

result<std::unique_ptr<database_service>> start_database(const service_options& options)
{
    auto started = std::make_unique<database_process>(options);
    BOOST_LEAF_CHECK(started->start());
    return std::unique_ptr<database_service>(std::move(started));
}

} // namespace hickorymount::database

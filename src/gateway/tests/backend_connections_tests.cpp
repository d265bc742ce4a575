#include "codec/json_codec.h"
#include "database/descriptions.h"
#include "database/types.h"
#include "gateway/internal/backend_connections.h"
#include "http/server.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::gateway::detail {
namespace {

/// One connection to a server that answers as the test says.
class backend_connections_fixture : public ::testing::Test
{
protected:
    backend_connections_fixture()
    {
        http::server_options options;
        options.keep_alive_timeout_ms = 1000;
        m_server = handle_failure(
            [&] {
                return http::start_server(options,
                                          [this](const http::request& request) {
                                              return request.path == "/v1/connections" ? http::response{}
                                                                                       : m_answer(request);
                                          },
                                          {});
            },
            [](const failure& error) {
                ADD_FAILURE() << to_string(error);
                return std::unique_ptr<http::server>();
            });
        m_connections =
            std::make_unique<backend_connections>("entry-1.ab", [this](routing::entry_event_payload event) {
                const std::lock_guard lock(m_mutex);
                m_events.push_back(std::move(event));
                m_changed.notify_all();
            });
        m_connections->open({backend_server_name{"first"}, {"127.0.0.1", m_server->port()}, 7});
        EXPECT_TRUE(wait_for<routing::connection_opened>());
    }
    ~backend_connections_fixture() override { m_connections->stop(); }

    /// Waits for the next event of one kind.
    template <class Event>
    std::optional<Event> wait_for()
    {
        std::unique_lock lock(m_mutex);
        std::optional<Event> found;
        m_changed.wait_for(lock, std::chrono::seconds(5), [&] {
            for (const routing::entry_event_payload& each : m_events) {
                if (const auto* wanted = std::get_if<Event>(&each)) {
                    found = *wanted;
                }
            }
            return found.has_value();
        });
        return found;
    }

    template <class Event>
    bool has_event()
    {
        const std::lock_guard lock(m_mutex);
        return std::any_of(m_events.begin(), m_events.end(), [](const routing::entry_event_payload& each) {
            return std::holds_alternative<Event>(each);
        });
    }

    void run_statement()
    {
        routing::run_statement run;
        run.request = 12;
        run.server = backend_server_name{"first"};
        run.connection = 7;
        run.statement = "read 1";
        run.timeout = milliseconds{5000};
        m_connections->run(run);
    }

    template <class Content>
    static http::response response_with(int status, const Content& content)
    {
        http::response made;
        made.status = status;
        made.body = codec::encode(content).dump();
        return made;
    }

    static protocol::server_report report_of(const std::string& name)
    {
        protocol::server_report report;
        report.name = backend_server_name{name};
        report.group = group_name{"orders"};
        report.zone = availability_zone{"oslo-b"};
        report.address = {"10.0.0.1", 8080};
        return report;
    }

    std::function<http::response(const http::request&)> m_answer;
    std::unique_ptr<http::server> m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<routing::entry_event_payload> m_events;
    std::unique_ptr<backend_connections> m_connections;
};

TEST_F(backend_connections_fixture, answer_that_names_the_request_completes_it)
{
    m_answer = [](const http::request&) {
        return response_with(200,
                             database::statement_completed{"entry-1.ab.12", {1, 5}, milliseconds{0}, "{}"});
    };
    run_statement();
    const auto completed = wait_for<routing::statement_completed>();
    ASSERT_TRUE(completed);
    EXPECT_EQ(completed->request, 12U);
}

TEST_F(backend_connections_fixture, answer_that_names_another_request_closes_the_connection)
{
    m_answer = [](const http::request&) {
        return response_with(200,
                             database::statement_completed{"entry-1.ab.11", {1, 5}, milliseconds{0}, "{}"});
    };
    run_statement();
    const auto lost = wait_for<routing::statement_connection_lost>();
    ASSERT_TRUE(lost);
    EXPECT_EQ(lost->request, 12U);
    EXPECT_TRUE(wait_for<routing::connection_closed>());
    EXPECT_FALSE(has_event<routing::statement_completed>());
}

TEST_F(backend_connections_fixture, refusal_that_names_another_request_closes_the_connection)
{
    m_answer = [](const http::request&) {
        database::statement_rejected rejected;
        rejected.request_id = "entry-2.ab.12";
        return response_with(409, rejected);
    };
    run_statement();
    EXPECT_TRUE(wait_for<routing::statement_connection_lost>());
    EXPECT_TRUE(wait_for<routing::connection_closed>());
    EXPECT_FALSE(has_event<routing::statement_refused>());
}

// Guards against the position of a server that has taken over an address counting for the one before it.
TEST_F(backend_connections_fixture, position_of_another_server_closes_the_connection)
{
    m_answer = [](const http::request&) { return response_with(200, report_of("second")); };
    m_connections->request_position({backend_server_name{"first"}, 7});
    EXPECT_TRUE(wait_for<routing::connection_closed>());
    EXPECT_FALSE(has_event<routing::position_received>());
}

TEST_F(backend_connections_fixture, position_without_a_valid_report_closes_the_connection)
{
    m_answer = [](const http::request&) {
        protocol::server_report report = report_of("first");
        report.group.value = "a\r\nb";
        return response_with(200, report);
    };
    m_connections->request_position({backend_server_name{"first"}, 7});
    EXPECT_TRUE(wait_for<routing::connection_closed>());
    EXPECT_FALSE(has_event<routing::position_received>());
}

TEST_F(backend_connections_fixture, position_of_the_server_is_received)
{
    m_answer = [](const http::request&) { return response_with(200, report_of("first")); };
    m_connections->request_position({backend_server_name{"first"}, 7});
    const auto received = wait_for<routing::position_received>();
    ASSERT_TRUE(received);
    EXPECT_EQ(received->report.name, backend_server_name{"first"});
}

} // namespace
} // namespace hickorymount::gateway::detail

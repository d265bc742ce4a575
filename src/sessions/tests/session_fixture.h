#pragma once

#include "sessions/reduce.h"

#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::sessions {

/// Applies events to the reducer directly. There is one group with a primary and two replicas, and three
/// databases that use it.
class session_fixture : public ::testing::Test
{
protected:
    static constexpr milliseconds staleness{1500};
    static constexpr milliseconds statement_timeout{800};

    session_fixture()
    {
        m_view.lease_until = m_now + milliseconds{60'000};
        m_view.groups[group_name{"orders"}] = {backend_server_name{"first"}, 3, true, false};
        for (const char* name : {"first", "second", "third"}) {
            m_view.servers[backend_server_name{name}] = {group_name{"orders"},
                                                         {"10.0.0.1", 9000},
                                                         availability_zone{name},
                                                         unix_milliseconds{1},
                                                         false,
                                                         3};
        }
        configuration::versioned_configuration configuration;
        configuration.version = 1;
        configuration.content.groups[group_name{"orders"}] = {};
        add_route(configuration.content, "ledger", configuration::read_consistency::primary);
        add_route(configuration.content, "catalogue", configuration::read_consistency::bounded_staleness);
        add_route(configuration.content, "inspections", configuration::read_consistency::read_your_writes);
        m_view.configuration = shared_value(std::move(configuration));
        m_state.zone = availability_zone{"second"};
        publish();
    }

    static void add_route(configuration::configuration& content, const std::string& database,
                          configuration::read_consistency consistency)
    {
        configuration::database_route route;
        route.name = route.database = database;
        route.group = group_name{"orders"};
        route.consistency = consistency;
        route.max_staleness = staleness;
        route.statement_timeout = statement_timeout;
        content.database_routes.push_back(std::move(route));
    }

    void apply_event(event_payload payload)
    {
        transition next = reduce(std::move(m_state), {m_now, std::move(payload)});
        m_state = std::move(next.state);
        m_wake = next.next_timer_at;
        for (effect& each : next.effects) {
            m_effects.push_back(std::move(each));
        }
    }

    void publish() { apply_event(view_published{shared_value(m_view)}); }

    void advance_time(milliseconds duration)
    {
        m_now += duration;
        apply_event(timer_expired{});
    }

    /// Removes and returns the effects of one kind since the last call for that kind.
    template <class Effect>
    std::vector<Effect> take_effects()
    {
        std::vector<Effect> matching;
        std::vector<effect> rest;
        for (effect& each : m_effects) {
            if (auto* wanted = std::get_if<Effect>(&each)) {
                matching.push_back(std::move(*wanted));
            } else {
                rest.push_back(std::move(each));
            }
        }
        m_effects = std::move(rest);
        return matching;
    }

    session_number open(const std::string& database)
    {
        const session_number number = m_next_session++;
        apply_event(session_requested{number, database});
        return number;
    }

    static statement make_statement(statement_kind kind, std::string text = "")
    {
        statement made;
        made.kind = kind;
        made.text = std::move(text);
        return made;
    }

    static statement set_value(const std::string& name, const std::string& value)
    {
        statement made = make_statement(statement_kind::set_variable, "SET " + name + " " + value);
        made.name = name;
        made.argument = value;
        return made;
    }

    static statement prepare(const std::string& name, bool is_read_only, const std::string& template_text)
    {
        statement made = make_statement(statement_kind::prepare);
        made.name = name;
        made.argument = template_text;
        made.is_read_only = is_read_only;
        return made;
    }

    static statement execute(const std::string& name, const std::string& arguments)
    {
        statement made = make_statement(statement_kind::execute);
        made.name = name;
        made.argument = arguments;
        return made;
    }

    void submit(session_number session, statement body)
    {
        apply_event(statement_received{session, "id" + std::to_string(m_next_id++), std::move(body)});
    }

    /// Completes every requested connection attempt.
    void open_connections()
    {
        for (const open_connection& opened : take_effects<open_connection>()) {
            m_servers[opened.connection] = opened.server.value;
            apply_event(connection_opened{opened.connection});
        }
    }

    /// The one statement that was sent to a server since the last call; fails when there is not exactly one.
    send_statement next_sent_statement()
    {
        open_connections();
        auto sent = take_effects<send_statement>();
        EXPECT_EQ(sent.size(), 1U);
        return sent.empty() ? send_statement{} : sent.front();
    }

    /// Answers what the connection runs: a caller's statement with a row and a signature of its own, one of
    /// the proxy's internal statements with neither.
    void respond_done(connection_number connection, transaction_state state = transaction_state::none,
                      group_position at = {3, 100})
    {
        const auto known = m_state.connections.find(connection);
        const bool is_internal = known != m_state.connections.end() && known->second.internal_statement;
        statement_response response{{}, response_code::done, "", state, at};
        if (!is_internal) {
            response.rows = {"row"};
            response.detail = m_last_signature = "signature-" + std::to_string(m_next_signature++);
        }
        apply_event(response_received{connection, std::move(response)});
    }

    void respond_error(connection_number connection, response_code code,
                       transaction_state state = transaction_state::none)
    {
        apply_event(response_received{connection, {{}, code, "refused", state, group_position{3, 100}}});
    }

    /// Answers the proxy's internal statements until the caller's statement is sent.
    send_statement run_until_statement_sent(transaction_state state = transaction_state::none)
    {
        send_statement run = next_sent_statement();
        while (run.id.empty() && run.connection != 0) {
            const bool begins =
                run.body.kind == statement_kind::begin || run.body.kind == statement_kind::begin_read;
            respond_done(run.connection, begins ? transaction_state::open : state);
            run = next_sent_statement();
        }
        return run;
    }

    /// The one response that was sent to a caller since the last call; fails when there is not exactly one.
    statement_response next_response()
    {
        auto answers = take_effects<send_response>();
        EXPECT_EQ(answers.size(), 1U);
        return answers.empty() ? statement_response{} : answers.front().response;
    }

    std::string server_of(connection_number connection) { return m_servers[connection]; }

    /// Runs one read at the primary, whose response becomes a sample of the primary's position.
    void record_sample(group_position at)
    {
        const session_number session = open("ledger");
        submit(session, make_statement(statement_kind::read, "READ 1"));
        respond_done(run_until_statement_sent().connection, transaction_state::none, at);
        take_effects<send_response>();
        apply_event(session_closed{session});
    }

    /// Runs reads until a connection to each replica is open.
    void connect_to_replicas()
    {
        const session_number session = open("catalogue");
        for (int at = 0; at < 3; ++at) {
            submit(session, make_statement(statement_kind::read, "READ 1"));
            const auto sent = take_effects<send_statement>();
            ASSERT_EQ(sent.size(), 1U);
            open_connections();
            respond_done(sent[0].connection);
        }
        apply_event(session_closed{session});
        take_effects<send_response>();
    }

    time_point m_now{milliseconds{100'000}};
    time_point m_wake{};
    traffic_view m_view;
    session_state m_state;
    std::vector<effect> m_effects;
    std::map<connection_number, std::string> m_servers;
    session_number m_next_session = 1;
    int m_next_id = 1;
    int m_next_signature = 1;
    /// Signature of the last response that `respond_done` has sent.
    std::string m_last_signature;
};

} // namespace hickorymount::sessions

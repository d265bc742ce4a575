#include "sessions/server_health.h"
#include "sessions/tests/session_fixture.h"

#include <functional>
#include <random>

namespace hickorymount::sessions {

/// Comparison of the three servers of a group.
class server_health_fixture : public ::testing::Test
{
protected:
    server_health_fixture()
    {
        for (const char* name : {"first", "second", "third"}) {
            observed_server made;
            made.name = backend_server_name{name};
            m_servers.push_back(made);
        }
        for (int at = 0; at < 20; ++at) {
            respond_all();
        }
    }

    server_health& health(std::size_t server) { return m_servers[server].health; }

    void respond(std::size_t server, server_outcome outcome = server_outcome::executed)
    {
        health(server) = after_outcome(health(server), outcome, m_now);
    }

    /// All servers respond, those of `failing` with the outcome.
    void respond_all(const std::set<std::size_t>& failing = {},
                     server_outcome outcome = server_outcome::failed)
    {
        m_now += milliseconds{20};
        for (std::size_t server = 0; server < m_servers.size(); ++server) {
            respond(server, failing.contains(server) ? outcome : server_outcome::executed);
        }
    }

    [[nodiscard]] std::vector<ejection> chosen() const { return choose_ejections(m_servers, m_now); }

    static std::vector<ejection> only(const char* server, ejection_reason reason)
    {
        return {{backend_server_name{server}, reason}};
    }

    time_point m_now{milliseconds{100'000}};
    std::vector<observed_server> m_servers;
};

TEST_F(server_health_fixture, servers_that_respond_alike_are_not_ejected)
{
    m_servers[0].read_ms = 25;
    m_servers[1].read_ms = 60;
    EXPECT_TRUE(chosen().empty());
}

// Guards against reads that wait at a server five times slower than the others.
TEST_F(server_health_fixture, server_that_is_slower_than_the_others_by_a_factor_is_ejected)
{
    m_servers[0].read_ms = 30;
    m_servers[1].read_ms = 150;
    EXPECT_EQ(chosen(), only("second", ejection_reason::slow));
}

// Guards against ejecting a server for its longer statements, or for a few slow ones after a return.
TEST_F(server_health_fixture, slow_server_without_a_comparison_or_with_few_responses_is_not_ejected)
{
    m_servers[1].read_ms = 150;
    EXPECT_TRUE(chosen().empty());
    m_servers[0].read_ms = 30;
    health(1).outcomes = 3;
    EXPECT_TRUE(chosen().empty());
}

TEST_F(server_health_fixture, server_that_fails_part_of_its_statements_is_ejected)
{
    for (int at = 0; at < 20; ++at) {
        respond_all(at % 3 == 0 ? std::set<std::size_t>{2} : std::set<std::size_t>{});
    }
    respond_all({2});
    EXPECT_EQ(chosen(), only("third", ejection_reason::failing));
}

// Guards against ejecting servers for statements that fail wherever they run.
TEST_F(server_health_fixture, statements_that_fail_everywhere_eject_no_server)
{
    for (int at = 0; at < 20; ++at) {
        respond_all({0, 1, 2});
    }
    EXPECT_TRUE(chosen().empty());
}

// Guards against reads that are refused by one replica and then all run at the primary.
TEST_F(server_health_fixture, replica_that_lags_behind_the_other_is_ejected)
{
    for (int at = 0; at < 10; ++at) {
        respond_all({1}, server_outcome::lagging);
    }
    EXPECT_EQ(chosen(), only("second", ejection_reason::lagging));
}

// Guards against ejecting one replica for a lag that the other has as well: only the primary has none.
TEST_F(server_health_fixture, replicas_that_lag_alike_are_not_ejected)
{
    m_servers[0].is_primary = true;
    for (int at = 0; at < 10; ++at) {
        respond_all({1, 2}, server_outcome::lagging);
    }
    EXPECT_TRUE(chosen().empty());
}

TEST_F(server_health_fixture, server_that_is_silent_while_another_responds_is_ejected)
{
    health(1).waiting_since = m_now;
    m_now += milliseconds{499};
    respond(0);
    EXPECT_TRUE(chosen().empty());
    m_now += milliseconds{1};
    EXPECT_EQ(chosen(), only("second", ejection_reason::silent));
}

// Guards against ejecting a server because this host itself was cut off or stopped.
TEST_F(server_health_fixture, silence_of_all_servers_ejects_none)
{
    for (std::size_t server = 0; server < 3; ++server) {
        health(server).waiting_since = m_now;
    }
    m_now += milliseconds{2000};
    EXPECT_TRUE(chosen().empty());
}

TEST_F(server_health_fixture, server_that_comes_and_goes_is_ejected_and_one_that_crashed_once_is_not)
{
    for (int connection = 0; connection < 6; ++connection) {
        health(1) = after_loss(health(1), m_now);
    }
    EXPECT_TRUE(chosen().empty());
    m_now += milliseconds{1000};
    health(1) = after_loss(health(1), m_now);
    EXPECT_EQ(chosen(), only("second", ejection_reason::flapping));
}

// Guards against a group without servers.
TEST_F(server_health_fixture, at_most_half_of_the_servers_are_ejected_at_a_time)
{
    m_servers[0].read_ms = 30;
    m_servers[1].read_ms = 200;
    m_servers[2].read_ms = 200;
    const std::vector<ejection> first = chosen();
    ASSERT_EQ(first.size(), 1U);
    for (observed_server& server : m_servers) {
        if (server.name == first[0].server) {
            server.health = eject(server.health, m_now);
        }
    }
    EXPECT_TRUE(chosen().empty());
    m_servers.resize(1);
    EXPECT_TRUE(chosen().empty());
}

TEST_F(server_health_fixture, repeated_ejections_become_longer_up_to_a_bound_and_shorter_after_good_times)
{
    std::vector<std::int64_t> durations;
    server_health ejected = health(0);
    for (int at = 0; at < 6; ++at) {
        ejected = eject(ejected, m_now);
        durations.push_back((*ejected.ejected_until - m_now).count());
        m_now = *ejected.ejected_until;
        EXPECT_FALSE(is_ejected(ejected, m_now));
        ejected = readmit(ejected, m_now);
        m_now += milliseconds{1000};
    }
    EXPECT_EQ(durations, (std::vector<std::int64_t>{500, 1000, 2000, 4000, 4000, 4000}));
    m_now += milliseconds{10'000};
    ejected = eject(ejected, m_now);
    EXPECT_EQ(*ejected.ejected_until - m_now, milliseconds{500});
}

// Guards against the whole load returning at once to a server that is cold or still slow.
TEST_F(server_health_fixture, readmitted_server_gets_few_statements_at_first)
{
    const server_health readmitted = readmit(health(0), m_now);
    EXPECT_EQ(slow_start_limit(readmitted, m_now), 1U);
    EXPECT_EQ(slow_start_limit(readmitted, m_now + milliseconds{1000}), 5U);
    EXPECT_EQ(slow_start_limit(readmitted, m_now + milliseconds{2000}), std::nullopt);
    EXPECT_EQ(slow_start_limit(health(0), m_now), std::nullopt);
}

/// Sessions whose reads run at replicas of which one becomes unusable.
class uneven_servers_fixture : public session_fixture
{
protected:
    uneven_servers_fixture()
    {
        for (auto& [name, server] : m_view.servers) {
            server.connection_share = 10;
            server.slots = 5;
        }
        publish();
        run_write();
        connect_to_replicas();
        m_session = open("catalogue");
    }

    void run_write()
    {
        const session_number session = open("ledger");
        submit(session, make_statement(statement_kind::write, "WRITE 1 a"));
        respond_done(run_until_statement_sent().connection);
        take_effects<send_response>();
        apply_event(session_closed{session});
    }

    /// Runs one read in which each server takes the time of `service`, and fails where that is negative.
    void run_read(const std::map<std::string, int>& service)
    {
        submit(m_session, make_statement(statement_kind::read, "READ 1"));
        while (take_effects<send_response>().empty()) {
            open_connections();
            const auto sent = take_effects<send_statement>();
            if (sent.empty()) {
                advance_time(milliseconds{10});
                continue;
            }
            const std::string server = server_of(sent[0].connection);
            ++m_runs[server];
            const auto found = service.find(server);
            const int took = found == service.end() ? 20 : found->second;
            m_now += milliseconds{std::abs(took)};
            if (took < 0) {
                respond_error(sent[0].connection, response_code::failed);
            } else {
                respond_done(sent[0].connection);
            }
        }
        if (m_now - m_wrote_at >= milliseconds{500}) {
            m_wrote_at = m_now;
            run_write();
        }
    }

    session_number m_session = 0;
    std::map<std::string, int> m_runs;
    time_point m_wrote_at{};
};

// Guards against reads that fail first at a server that fails most of them.
TEST_F(uneven_servers_fixture, reads_avoid_a_server_that_fails_part_of_its_statements)
{
    for (int at = 0; at < 200; ++at) {
        run_read({{"second", at % 2 == 0 ? -20 : 20}});
    }
    EXPECT_LT(m_runs["second"], 60);
    bool is_logged = false;
    for (const auto& record : take_effects<logging::log_record>()) {
        is_logged = is_logged || record.step == "eject_server";
    }
    EXPECT_TRUE(is_logged);
    EXPECT_FALSE(take_effects<record_ejection_metrics>().empty());
}

// Guards against the share of the reads that a cold server would get at once.
TEST_F(uneven_servers_fixture, server_whose_process_has_started_again_gets_few_reads_at_first)
{
    run_read({});
    m_view.servers[backend_server_name{"second"}].started_at = unix_milliseconds{2};
    publish();
    m_now += milliseconds{100};
    std::map<std::string, int> sent_to;
    for (int at = 0; at < 4; ++at) {
        submit(open("catalogue"), make_statement(statement_kind::read, "READ 1"));
        open_connections();
    }
    for (const send_statement& sent : take_effects<send_statement>()) {
        ++sent_to[server_of(sent.connection)];
    }
    EXPECT_LE(sent_to["second"], 1);
    EXPECT_GT(sent_to["third"] + sent_to["first"], 0);
}

// Guards against statements for the primary that wait because reads avoid it.
TEST_F(uneven_servers_fixture, ejected_primary_runs_statements_that_need_it)
{
    server_load& load = m_state.server_loads[backend_server_name{"first"}];
    load.health = eject(load.health, m_now);
    submit(open("ledger"), make_statement(statement_kind::write, "WRITE 1 a"));
    EXPECT_EQ(server_of(next_sent_statement().connection), "first");
}

// Guards against a statement that runs twice, or whose outcome becomes unknown, because its server is
// ejected.
TEST_F(uneven_servers_fixture, statement_in_flight_at_a_silent_server_is_answered_when_the_server_responds)
{
    for (int at = 0; at < 60; ++at) {
        run_read({});
    }
    const session_number writer = open("ledger");
    submit(writer, make_statement(statement_kind::write, "WRITE 1 a"));
    const send_statement write = next_sent_statement();
    // No read gets a response from the server meanwhile.
    m_state.server_loads[backend_server_name{"first"}].limit.allowed = 1;
    m_wrote_at = m_now + statement_timeout;
    for (int at = 0; at < 28; ++at) {
        run_read({});
    }
    EXPECT_TRUE(is_ejected(m_state.server_loads[backend_server_name{"first"}].health, m_now));
    take_effects<send_response>();
    respond_done(write.connection);
    EXPECT_EQ(next_response().code, response_code::done);
}

} // namespace hickorymount::sessions

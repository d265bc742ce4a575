#include "sessions/tests/customer_fixture.h"

#include <algorithm>

namespace hickorymount::sessions {

/// Reads that a replica may run, beside the work of the primary.
class server_selector_fixture : public session_fixture
{
protected:
    server_load& load(const char* server) { return m_state.server_loads[backend_server_name{server}]; }

    void set_slots(std::uint32_t slots)
    {
        for (auto& [name, server] : m_view.servers) {
            server.slots = slots;
            server.connection_share = 10;
        }
        publish();
    }

    /// Sends one read and returns the server that it was sent to; empty if it waits.
    std::string server_of_next_read()
    {
        submit(open("catalogue"), make_statement(statement_kind::read, "READ 1"));
        open_connections();
        const auto sent = take_effects<send_statement>();
        return sent.size() == 1 ? server_of(sent[0].connection) : "";
    }
};

// Guards against writes that queue at the primary behind reads which a replica could have run.
TEST_F(server_selector_fixture, reads_beyond_the_capacity_of_the_replicas_leave_the_last_slots_of_the_primary)
{
    set_slots(5);
    record_sample({3, 40});
    connect_to_replicas();
    advance_time(milliseconds{100});
    for (const char* replica : {"second", "third"}) {
        load(replica).limit.allowed = 0;
    }
    int at_primary = 0;
    for (int at = 0; at < 8; ++at) {
        at_primary += server_of_next_read() == "first" ? 1 : 0;
    }
    EXPECT_EQ(at_primary, 3);
}

// Guards against reads that never run while no replica can be reached.
TEST_F(server_selector_fixture, reads_use_all_slots_of_the_primary_when_no_replica_is_connected)
{
    set_slots(5);
    record_sample({3, 40});
    for (const char* replica : {"second", "third"}) {
        m_view.servers[backend_server_name{replica}].connection_share = 0;
    }
    publish();
    load("first").limit.allowed = 8;
    int at_primary = 0;
    for (int at = 0; at < 8; ++at) {
        at_primary += server_of_next_read() == "first" ? 1 : 0;
    }
    EXPECT_EQ(at_primary, 8);
}

/// The servers "first" and "third" are in other regions.
class cross_region_fixture : public server_selector_fixture
{
protected:
    cross_region_fixture()
    {
        set_slots(5);
        record_sample({3, 40});
        connect_to_replicas();
        advance_time(milliseconds{100});
        set_round_trip("first", 24);
        set_round_trip("second", 1);
        set_round_trip("third", 24);
    }

    void set_round_trip(const char* server, int ms)
    {
        load(server).times = {};
        for (int at = 0; at < 30; ++at) {
            load(server).times = after_exchange(load(server).times, milliseconds{ms}, m_now);
            load(server).times =
                after_statement(load(server).times, work_kind::read, milliseconds{ms + 20}, m_now);
        }
    }
};

// Guards against bytes between regions while the server of the own region has free slots.
TEST_F(cross_region_fixture, reads_stay_in_the_own_region_while_its_server_has_free_slots)
{
    for (int at = 0; at < 5; ++at) {
        submit(open("catalogue"), make_statement(statement_kind::read, "READ 1"));
        open_connections();
    }
    const auto sent = take_effects<send_statement>();
    ASSERT_FALSE(sent.empty());
    for (const send_statement& each : sent) {
        EXPECT_EQ(server_of(each.connection), "second");
    }
}

// Guards against reads that wait for a server that has gone.
TEST_F(cross_region_fixture, reads_leave_at_once_when_the_server_of_the_own_region_cannot_be_used)
{
    load("second").health = eject(load("second").health, m_now);
    EXPECT_EQ(server_of_next_read(), "third");
}

// Guards against reads that wait for a connection which this host may not open.
TEST_F(cross_region_fixture, reads_leave_when_all_connections_of_the_own_region_are_in_use)
{
    m_view.servers[backend_server_name{"second"}].connection_share = 1;
    publish();
    EXPECT_EQ(server_of_next_read(), "second");
    submit(open("catalogue"), make_statement(statement_kind::read, "READ 1"));
    for (int at = 0; at < 10; ++at) {
        advance_time(milliseconds{20});
    }
    open_connections();
    const auto sent = take_effects<send_statement>();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(server_of(sent[0].connection), "third");
}

// Guards against a replica that is never used again after it could not be reached for a while.
TEST_F(cross_region_fixture, server_that_could_not_be_reached_is_tried_again_while_reads_run_elsewhere)
{
    std::vector<connection_number> lost;
    for (const auto& [number, connection] : m_state.connections) {
        if (connection.server.value == "second") {
            lost.push_back(number);
        }
    }
    for (const connection_number number : lost) {
        apply_event(connection_lost{number, "reset"});
    }
    take_effects<open_connection>();
    submit(open("catalogue"), make_statement(statement_kind::read, "READ 1"));
    for (const open_connection& opened : take_effects<open_connection>()) {
        apply_event(connection_lost{opened.connection, "refused"});
    }
    advance_time(reconnect_backoff);
    submit(open("catalogue"), make_statement(statement_kind::read, "READ 1"));
    const auto opened = take_effects<open_connection>();
    EXPECT_TRUE(std::any_of(opened.begin(), opened.end(),
                            [](const open_connection& each) { return each.server.value == "second"; }));
    EXPECT_FALSE(take_effects<send_statement>().empty());
}

class customer_read_fixture : public customer_fixture
{
protected:
    std::string server_of_read(const std::string& customer)
    {
        submit(open_as(customer, "catalogue"), make_statement(statement_kind::read, "READ 1"));
        open_connections();
        const auto sent = take_effects<send_statement>();
        if (sent.size() != 1) {
            return "";
        }
        respond_done(sent[0].connection);
        return server_of(sent[0].connection);
    }

    void set_share(const char* server, std::uint32_t connections)
    {
        m_view.servers[backend_server_name{server}].connection_share = connections;
        publish();
    }
};

// Guards against opening connections, for a slot's time and a round trip each, while an idle one would do.
TEST_F(customer_read_fixture,
       read_runs_on_an_idle_connection_of_its_customer_instead_of_opening_one_elsewhere)
{
    const session_number session = open_as("alpine");
    submit(session, make_statement(statement_kind::read, "READ 1"));
    respond_done(next_sent_statement().connection);
    set_share("first", 0);
    set_share("second", 0);
    EXPECT_EQ(server_of_read("alpine"), "third");
    set_share("second", 3);
    EXPECT_EQ(server_of_read("boreal"), "second");
    take_effects<open_connection>();
    EXPECT_EQ(server_of_read("alpine"), "third");
    EXPECT_TRUE(take_effects<open_connection>().empty());
}

} // namespace hickorymount::sessions

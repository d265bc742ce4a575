#include "sessions/tests/customer_fixture.h"

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

#include "sessions/tests/customer_fixture.h"

#include <set>

namespace hickorymount::sessions {

/// Many customers wait for the connections to one primary, of which there are fewer than customers.
class customer_queue_fixture : public customer_fixture
{
protected:
    static constexpr int customers = 40;
    static constexpr int statements_each = 3;

    customer_queue_fixture()
    {
        change_configuration([](configuration::configuration& content) {
            for (int at = 0; at < customers; ++at) {
                content.customers[customer_name{name_of(at)}].keys = {key_of(name_of(at))};
            }
            for (configuration::database_route& route : content.database_routes) {
                route.statement_timeout = milliseconds{60'000};
            }
        });
    }

    static std::string name_of(int at) { return "customer" + std::to_string(at); }

    void set_share(std::uint32_t share)
    {
        m_view.servers[backend_server_name{"first"}].connection_share = share;
        publish();
    }

    /// Lets connections open and statements be answered, each within 10 ms, until nothing happens. Returns
    /// the customers of the answered statements in their order.
    std::vector<customer_name> run_until_quiet(int max_steps)
    {
        std::vector<customer_name> answered;
        for (int step = 0; step < max_steps; ++step) {
            advance_time(milliseconds{10});
            const auto sent = take_effects<send_statement>();
            for (const open_connection& opened : take_effects<open_connection>()) {
                ++m_opened;
                apply_event(connection_opened{opened.connection});
            }
            for (const send_statement& each : sent) {
                answered.push_back(m_state.connections.at(each.connection).customer);
                respond_done(each.connection);
            }
        }
        return answered;
    }

    int m_opened = 0;
};

TEST_F(customer_queue_fixture,
       more_customers_than_connections_are_all_served_without_an_opening_for_each_statement)
{
    set_share(2);
    for (int each = 0; each < statements_each; ++each) {
        for (int at = 0; at < customers; ++at) {
            submit_write(open_as(name_of(at)));
        }
    }
    const auto answered = run_until_quiet(2 * customers * statements_each);
    EXPECT_EQ(answered.size(), static_cast<std::size_t>(customers * statements_each));
    // Each customer may use both connections in its turn.
    EXPECT_LE(m_opened, 5 * customers / 2);
    EXPECT_TRUE(m_state.queues.empty());
}

/// The new connection is idle for a moment, and another customer must not close it before its first use.
TEST_F(customer_queue_fixture, new_connection_is_not_closed_for_another_customer_before_its_first_statement)
{
    set_share(1);
    submit_write(open_as("boreal"));
    const auto opened = take_effects<open_connection>();
    ASSERT_EQ(opened.size(), 1U);
    // Its priority is higher, so that its statement is looked at first.
    change_configuration([](configuration::configuration& content) {
        content.customers[customer_name{"boreal"}].priority = 1;
        content.customers[customer_name{"alpine"}].priority = 0;
    });
    submit_write(open_as("alpine"));
    take_effects<close_connection>();
    apply_event(connection_opened{opened[0].connection});
    EXPECT_TRUE(take_effects<close_connection>().empty());
    const auto sent = take_effects<send_statement>();
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].connection, opened[0].connection);
    respond_done(sent[0].connection);
    EXPECT_EQ(take_effects<close_connection>().size(), 1U);
}

TEST_F(customer_queue_fixture, loud_customer_does_not_delay_the_statements_of_others)
{
    set_share(3);
    for (int each = 0; each < 100; ++each) {
        submit_write(open_as(name_of(0)));
    }
    run_until_quiet(2);
    for (int at = 1; at < 4; ++at) {
        submit_write(open_as(name_of(at)));
    }
    std::set<customer_name> served;
    for (const customer_name& each : run_until_quiet(8)) {
        served.insert(each);
    }
    EXPECT_EQ(served.size(), 4U);
}

} // namespace hickorymount::sessions

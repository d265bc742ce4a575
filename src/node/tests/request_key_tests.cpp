#include "node/tests/node_fixture.h"

namespace hickorymount::node {
namespace {

using routing::caller_response;
using routing::not_run;
using routing::outcome_unknown;
using routing::refusal_reason;

class request_key_fixture : public node_fixture
{
protected:
    void SetUp() override { start_deployment(); }

    static const std::string& key()
    {
        static const std::string value = "1764000000-order-17";
        return value;
    }

    int run_count() const { return count_records("orders-1", "orders"); }

    static refusal_reason reason_of(const routing::caller_outcome& outcome)
    {
        const auto* refused = std::get_if<not_run>(&outcome);
        EXPECT_NE(refused, nullptr);
        return refused == nullptr ? refusal_reason::not_ready : refused->reason;
    }
};

TEST_F(request_key_fixture, same_key_at_two_entry_hosts_at_once_runs_once)
{
    const std::uint64_t first_request = write_with_key("entry-1", "add orders 1", key());
    const std::uint64_t second_request = write_with_key("entry-2", "add orders 1", key());
    const routing::caller_outcome first = wait_for_outcome(first_request);
    const routing::caller_outcome second = wait_for_outcome(second_request);
    advance(milliseconds{200});
    EXPECT_EQ(run_count(), 1);
    const int answered = (std::holds_alternative<caller_response>(first) ? 1 : 0) +
                         (std::holds_alternative<caller_response>(second) ? 1 : 0);
    EXPECT_GE(answered, 1);
    EXPECT_FALSE(std::holds_alternative<not_run>(first));
    EXPECT_FALSE(std::holds_alternative<not_run>(second));
}

TEST_F(request_key_fixture, same_key_later_gets_the_recorded_answer)
{
    const routing::caller_outcome first = wait_for_outcome(write_with_key("entry-1", "add orders 1", key()));
    advance(milliseconds{200});
    const routing::caller_outcome repeated =
        wait_for_outcome(write_with_key("entry-2", "add orders 1", key()));
    ASSERT_TRUE(std::holds_alternative<caller_response>(repeated));
    EXPECT_TRUE(std::get<caller_response>(repeated).is_repeated);
    EXPECT_EQ(std::get<caller_response>(repeated).body, std::get<caller_response>(first).body);
    EXPECT_EQ(std::get<caller_response>(repeated).token, std::get<caller_response>(first).token);
    EXPECT_EQ(run_count(), 1);
}

TEST_F(request_key_fixture, same_key_after_a_leader_change_gets_the_recorded_answer)
{
    ASSERT_TRUE(std::holds_alternative<caller_response>(
        wait_for_outcome(write_with_key("entry-1", "add orders 1", key()))));
    advance(milliseconds{200});
    const std::string old = leader();
    kill(old);
    ASSERT_TRUE(advance_until([&] { return !leader().empty(); }));
    const routing::caller_outcome repeated =
        wait_for_outcome(write_with_key("entry-2", "add orders 1", key()));
    ASSERT_TRUE(std::holds_alternative<caller_response>(repeated));
    EXPECT_TRUE(std::get<caller_response>(repeated).is_repeated);
    EXPECT_EQ(run_count(), 1);
}

TEST_F(request_key_fixture, same_key_after_control_restarts_gets_the_recorded_answer)
{
    ASSERT_TRUE(std::holds_alternative<caller_response>(
        wait_for_outcome(write_with_key("entry-1", "add orders 1", key()))));
    advance(milliseconds{200});
    for (const char* host : {"control-1", "control-2", "control-3"}) {
        kill(host);
    }
    for (const char* host : {"control-1", "control-2", "control-3"}) {
        restart(host);
    }
    const routing::caller_outcome repeated =
        wait_for_outcome(write_with_key("entry-2", "add orders 1", key()));
    ASSERT_TRUE(std::holds_alternative<caller_response>(repeated));
    EXPECT_TRUE(std::get<caller_response>(repeated).is_repeated);
    EXPECT_EQ(run_count(), 1);
}

TEST_F(request_key_fixture, entry_host_killed_after_sending_leaves_the_outcome_unknown)
{
    answer_filter = [](const std::string&, const database::database_response& answer) {
        return !std::holds_alternative<database::statement_completed>(answer);
    };
    write_with_key("entry-1", "add orders 1", key());
    ASSERT_TRUE(advance_until([this] { return run_count() == 1; }));
    kill("entry-1");
    answer_filter = {};
    const routing::caller_outcome repeated =
        wait_for_outcome(write_with_key("entry-2", "add orders 1", key()));
    EXPECT_TRUE(std::holds_alternative<outcome_unknown>(repeated));
    advance(milliseconds{500});
    EXPECT_EQ(run_count(), 1);
}

TEST_F(request_key_fixture, claimed_but_unsent_statement_is_not_run_twice)
{
    // entry-1 claims the key but cannot reach the primary, so the statement stays in its queue.
    disconnect("entry-1", "orders-1");
    advance(milliseconds{100});
    const std::uint64_t queued_request = write_with_key("entry-1", "add orders 1", key());
    advance(milliseconds{300});
    const routing::caller_outcome second_outcome =
        wait_for_outcome(write_with_key("entry-2", "add orders 1", key()));
    EXPECT_TRUE(std::holds_alternative<outcome_unknown>(second_outcome));
    reconnect("entry-1", "orders-1");
    wait_for_outcome(queued_request);
    advance(milliseconds{500});
    EXPECT_LE(count_records(primary_of("orders"), "orders"), 1);
}

TEST_F(request_key_fixture, request_known_not_run_releases_its_key)
{
    isolate("orders-1");
    isolate("orders-2");
    isolate("orders-3");
    const routing::caller_outcome refused =
        wait_for_outcome(write_with_key("entry-1", "add orders 1", key()));
    const bool may_have_run = std::holds_alternative<outcome_unknown>(refused);
    for (const char* server : {"orders-1", "orders-2", "orders-3"}) {
        restore_links(server);
    }
    advance(milliseconds{3000});
    const routing::caller_outcome repeated =
        wait_for_outcome(write_with_key("entry-2", "add orders 1", key()));
    if (may_have_run) {
        EXPECT_TRUE(std::holds_alternative<outcome_unknown>(repeated));
    } else {
        EXPECT_TRUE(std::holds_alternative<caller_response>(repeated));
    }
    EXPECT_LE(count_records(primary_of("orders"), "orders"), 1);
}

TEST_F(request_key_fixture, control_unreachable_means_not_run)
{
    isolate("entry-1", "control-");
    const routing::caller_outcome refused =
        wait_for_outcome(write_with_key("entry-1", "add orders 1", key()));
    EXPECT_EQ(reason_of(refused), refusal_reason::control_unavailable);
    EXPECT_EQ(run_count(), 0);
}

TEST_F(request_key_fixture, claim_whose_reply_is_lost_is_resent_and_runs_once)
{
    int dropped = 0;
    message_filter = [&](const std::string&, const std::string& to, const protocol::message& content) {
        const bool is_dropped =
            to == "entry-1" && std::holds_alternative<protocol::claim_response>(content) && dropped < 2;
        dropped += is_dropped ? 1 : 0;
        return !is_dropped;
    };
    EXPECT_TRUE(std::holds_alternative<caller_response>(
        wait_for_outcome(write_with_key("entry-1", "add orders 1", key()))));
    EXPECT_EQ(dropped, 2);
    EXPECT_EQ(run_count(), 1);
}

TEST_F(request_key_fixture, lost_answer_of_the_primary_is_unknown_and_not_retried)
{
    answer_filter = [](const std::string&, const database::database_response& answer) {
        return !std::holds_alternative<database::statement_completed>(answer);
    };
    const routing::caller_outcome lost = wait_for_outcome(write_with_key("entry-1", "add orders 1", key()));
    EXPECT_TRUE(std::holds_alternative<outcome_unknown>(lost));
    answer_filter = {};
    advance(milliseconds{500});
    EXPECT_EQ(run_count(), 1);
}

TEST_F(request_key_fixture, key_of_another_statement_is_refused)
{
    ASSERT_TRUE(std::holds_alternative<caller_response>(
        wait_for_outcome(write_with_key("entry-1", "add orders 1", key()))));
    advance(milliseconds{100});
    EXPECT_EQ(reason_of(wait_for_outcome(write_with_key("entry-1", "add orders 2", key()))),
              refusal_reason::key_reused);
    EXPECT_EQ(run_count(), 1);
}

TEST_F(request_key_fixture, key_past_its_retention_is_refused)
{
    EXPECT_EQ(reason_of(wait_for_outcome(write_with_key("entry-1", "add orders 1", "1763990000-old"))),
              refusal_reason::key_too_old);
    EXPECT_EQ(run_count(), 0);
}

TEST_F(request_key_fixture, key_without_a_time_is_refused)
{
    EXPECT_EQ(reason_of(wait_for_outcome(write_with_key("entry-1", "add orders 1", "order-17"))),
              refusal_reason::key_malformed);
    EXPECT_EQ(reason_of(wait_for_outcome(write_with_key("entry-1", "add orders 1", "1864000000-future"))),
              refusal_reason::key_malformed);
    EXPECT_EQ(reason_of(wait_for_outcome(write("entry-1", "add orders 1", "booking"))),
              refusal_reason::key_missing);
    EXPECT_EQ(run_count(), 0);
}

TEST_F(request_key_fixture, recorded_answer_lost_with_its_primary_is_not_given_again)
{
    database::fault_settings replication_cut;
    replication_cut.blocks_replication = true;
    set_faults("orders-2", replication_cut);
    set_faults("orders-3", replication_cut);
    ASSERT_TRUE(std::holds_alternative<caller_response>(
        wait_for_outcome(write_with_key("entry-1", "add orders 1", key()))));
    advance(milliseconds{100});
    kill("orders-1");
    ASSERT_TRUE(advance_until([this] { return term_of("orders") == 2; }));
    advance(milliseconds{100});
    EXPECT_TRUE(std::holds_alternative<outcome_unknown>(
        wait_for_outcome(write_with_key("entry-2", "add orders 1", key()))));
}

} // namespace
} // namespace hickorymount::node

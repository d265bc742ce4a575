#include "node/tests/node_fixture.h"

#include <map>
#include <set>

namespace hickorymount::node {
namespace {

using routing::not_run;
using routing::operation;
using routing::outcome_unknown;
using routing::refusal;
using routing::whole_answer;

class traffic_fixture : public node_fixture
{
protected:
    void SetUp() override { start_deployment(milliseconds{50}); }

    static bool is_answered(const routing::caller_outcome& outcome)
    {
        return std::holds_alternative<whole_answer>(outcome);
    }

    static const whole_answer& answer_of(const routing::caller_outcome& outcome)
    {
        static const whole_answer none;
        EXPECT_TRUE(is_answered(outcome));
        return is_answered(outcome) ? std::get<whole_answer>(outcome) : none;
    }

    static refusal reason_of(const routing::caller_outcome& outcome)
    {
        const auto* refused = std::get_if<not_run>(&outcome);
        EXPECT_NE(refused, nullptr);
        return refused == nullptr ? refusal::not_ready : refused->reason;
    }

    std::uint64_t transact(const std::string& entry, operation what, const std::optional<transaction_id>& id,
                           const std::string& statement = "")
    {
        routing::caller_request request;
        request.group = group_name{"orders"};
        request.class_of_request = class_name{"log"};
        request.what = what;
        request.transaction = id;
        request.statement = statement;
        return send_request(entry, std::move(request));
    }

    transaction_id begin(const std::string& entry)
    {
        const routing::caller_outcome begun = wait_for_outcome(transact(entry, operation::begin, {}));
        const auto& id = answer_of(begun).transaction;
        EXPECT_TRUE(id.has_value());
        return id.value_or(transaction_id{});
    }

    std::uint32_t connections_at(const std::string& server)
    {
        return static_cast<std::uint32_t>(backend_state_of(server).connections.size());
    }
};

TEST_F(traffic_fixture, request_that_fits_nothing_is_refused_and_the_host_goes_on)
{
    routing::caller_request unknown_group;
    unknown_group.group = group_name{"nowhere"};
    unknown_group.class_of_request = class_name{"log"};
    EXPECT_EQ(reason_of(wait_for_outcome(send_request("entry-1", unknown_group))), refusal::unknown_group);
    EXPECT_EQ(reason_of(wait_for_outcome(write("entry-1", "put a 1", "nothing"))), refusal::unknown_class);
    routing::caller_request expired;
    expired.group = group_name{"orders"};
    expired.class_of_request = class_name{"log"};
    expired.statement = "put a 1";
    expired.timeout = milliseconds{-1};
    EXPECT_EQ(reason_of(wait_for_outcome(send_request("entry-1", expired))), refusal::deadline_passed);
    EXPECT_EQ(reason_of(wait_for_outcome(transact("entry-1", operation::commit, transaction_id{"no-such"}))),
              refusal::transaction_elsewhere);
    EXPECT_EQ(count_records("orders-1", "a"), 0);
    EXPECT_TRUE(is_answered(wait_for_outcome(write("entry-1", "put a 1"))));
}

TEST_F(traffic_fixture, statement_of_another_term_is_refused_and_runs_in_the_present_one)
{
    // The backend server is a term ahead of what the entry host knows.
    set_faults("orders-1", {});
    promote_without_control("orders-1", 2);
    const std::uint64_t request = write("entry-1", "put a 1");
    advance(milliseconds{100});
    EXPECT_EQ(count_records("orders-1", "a"), 0);
    EXPECT_TRUE(is_answered(wait_for_outcome(request)));
    EXPECT_EQ(count_records(primary_of("orders"), "a"), 1);
}

TEST_F(traffic_fixture, read_after_write_at_another_entry_host_sees_the_write_before_replicas_have_it)
{
    const routing::caller_outcome written = wait_for_outcome(write("entry-1", "put a 1"));
    const whole_answer seen = answer_of(wait_for_outcome(read("entry-2", "a", answer_of(written).token)));
    EXPECT_NE(seen.body.find("\"1\""), std::string::npos);
    EXPECT_EQ(seen.role, protocol::server_role::primary);
}

TEST_F(traffic_fixture, read_goes_to_a_replica_once_it_covers_the_session)
{
    const routing::caller_outcome written = wait_for_outcome(write("entry-1", "put a 1"));
    advance(milliseconds{300});
    const whole_answer seen = answer_of(wait_for_outcome(read("entry-2", "a", answer_of(written).token)));
    EXPECT_EQ(seen.role, protocol::server_role::replica);
    EXPECT_NE(seen.body.find("\"1\""), std::string::npos);
}

TEST_F(traffic_fixture, read_without_writes_goes_to_a_replica)
{
    EXPECT_EQ(answer_of(wait_for_outcome(read("entry-1", "a"))).role, protocol::server_role::replica);
}

TEST_F(traffic_fixture, replica_older_than_the_class_allows_is_left_out)
{
    database::fault_settings cut_off;
    cut_off.is_replication_cut = true;
    set_faults("orders-2", cut_off);
    set_faults("orders-3", cut_off);
    advance(milliseconds{1500});
    routing::caller_request request;
    request.group = group_name{"orders"};
    request.class_of_request = class_name{"browse"};
    request.statement = "get a";
    EXPECT_EQ(answer_of(wait_for_outcome(send_request("entry-1", request))).role,
              protocol::server_role::primary);
}

TEST_F(traffic_fixture, replica_that_claims_more_than_it_has_refuses_and_the_read_goes_on)
{
    const routing::caller_outcome written = wait_for_outcome(write("entry-1", "put a 1"));
    advance(milliseconds{300});
    // Its report promises the position; the server itself has lost it meanwhile.
    kill("orders-2");
    restart("orders-2");
    const whole_answer seen = answer_of(wait_for_outcome(read("entry-1", "a", answer_of(written).token)));
    EXPECT_NE(seen.body.find("\"1\""), std::string::npos);
}

TEST_F(traffic_fixture, frozen_replica_is_left_out_and_taken_back)
{
    suspend("orders-2");
    advance(milliseconds{1200});
    for (int at = 0; at < 10; ++at) {
        EXPECT_EQ(answer_of(wait_for_outcome(read("entry-1", "a"))).served_by,
                  backend_server_name{"orders-3"});
    }
    resume("orders-2");
    advance(milliseconds{500});
    std::set<std::string> servers;
    std::vector<std::uint64_t> requests;
    for (int at = 0; at < 20; ++at) {
        requests.push_back(read("entry-2", "a"));
    }
    for (const std::uint64_t request : requests) {
        servers.insert(answer_of(wait_for_outcome(request)).served_by.value);
    }
    EXPECT_TRUE(servers.contains("orders-2"));
}

TEST_F(traffic_fixture, read_lost_with_its_replica_is_answered_by_another)
{
    suspend("orders-2");
    suspend("orders-3");
    const std::uint64_t request = read("entry-1", "a");
    advance(milliseconds{20});
    kill("orders-2");
    kill("orders-3");
    EXPECT_EQ(answer_of(wait_for_outcome(request)).role, protocol::server_role::primary);
}

TEST_F(traffic_fixture, leaving_replica_gets_no_new_work)
{
    database::fault_settings leaving;
    leaving.is_leaving = true;
    set_faults("orders-2", leaving);
    advance(milliseconds{500});
    for (int at = 0; at < 10; ++at) {
        EXPECT_NE(answer_of(wait_for_outcome(read("entry-1", "a"))).served_by,
                  backend_server_name{"orders-2"});
        EXPECT_NE(answer_of(wait_for_outcome(read("entry-2", "a"))).served_by,
                  backend_server_name{"orders-2"});
    }
}

TEST_F(traffic_fixture, answer_of_another_request_never_reaches_a_caller)
{
    // The fixture drops answers to other requests as the traffic threads do; what is left is no answer.
    answer_filter = [](const std::string&, const database::database_answer& answer) {
        return !std::holds_alternative<database::statement_done>(answer);
    };
    EXPECT_TRUE(std::holds_alternative<outcome_unknown>(
        wait_for_outcome(read("entry-1", "a"), milliseconds{60'000})));
}

TEST_F(traffic_fixture, transaction_commits_all_its_changes_in_one_record)
{
    const transaction_id id = begin("entry-1");
    ASSERT_TRUE(is_answered(wait_for_outcome(transact("entry-1", operation::run, id, "put a 1"))));
    ASSERT_TRUE(is_answered(wait_for_outcome(transact("entry-1", operation::run, id, "put b 1"))));
    EXPECT_EQ(count_records("orders-1", "a"), 0);
    ASSERT_TRUE(is_answered(wait_for_outcome(transact("entry-1", operation::commit, id))));
    ASSERT_EQ(backend_state_of("orders-1").log.size(), 1U);
    EXPECT_EQ(backend_state_of("orders-1").log.find(1)->changes.size(), 2U);
}

TEST_F(traffic_fixture, transactions_at_once_each_have_a_connection_of_their_own)
{
    std::vector<transaction_id> ids;
    for (int at = 0; at < 4; ++at) {
        ids.push_back(begin(at % 2 == 0 ? "entry-1" : "entry-2"));
    }
    for (std::size_t at = 0; at < ids.size(); ++at) {
        const std::string entry = at % 2 == 0 ? "entry-1" : "entry-2";
        ASSERT_TRUE(is_answered(
            wait_for_outcome(transact(entry, operation::run, ids[at], "put t" + std::to_string(at) + " 1"))));
    }
    // Statements outside transactions run beside them.
    ASSERT_TRUE(is_answered(wait_for_outcome(write("entry-1", "put outside 1"))));
    for (std::size_t at = 0; at < ids.size(); ++at) {
        const std::string entry = at % 2 == 0 ? "entry-1" : "entry-2";
        ASSERT_TRUE(is_answered(
            wait_for_outcome(transact(entry, at == 2 ? operation::rollback : operation::commit, ids[at]))));
    }
    EXPECT_EQ(count_records("orders-1", "t0"), 1);
    EXPECT_EQ(count_records("orders-1", "t2"), 0);
    for (const auto& [position, record] : backend_state_of("orders-1").log) {
        EXPECT_EQ(record.changes.size(), 1U);
    }
}

TEST_F(traffic_fixture, statement_at_another_entry_host_is_told_where_the_transaction_is)
{
    const transaction_id id = begin("entry-1");
    const routing::caller_outcome refused =
        wait_for_outcome(transact("entry-2", operation::run, id, "put a 1"));
    EXPECT_EQ(reason_of(refused), refusal::transaction_elsewhere);
    EXPECT_EQ(std::get<not_run>(refused).peer, "entry-1");
}

TEST_F(traffic_fixture, entry_host_killed_in_a_transaction_leaves_no_half_of_it)
{
    const transaction_id id = begin("entry-1");
    ASSERT_TRUE(is_answered(wait_for_outcome(transact("entry-1", operation::run, id, "put a 1"))));
    kill("entry-1");
    advance(milliseconds{500});
    EXPECT_TRUE(backend_state_of("orders-1").transactions.empty());
    EXPECT_EQ(count_records("orders-1", "a"), 0);
    restart("entry-1");
    ASSERT_TRUE(advance_until([this] { return entry_state_of("entry-1").lease.was_valid; }));
    EXPECT_EQ(reason_of(wait_for_outcome(transact("entry-1", operation::commit, id))),
              refusal::transaction_elsewhere);
}

TEST_F(traffic_fixture, primary_lost_in_a_transaction_ends_it_without_a_commit)
{
    const transaction_id id = begin("entry-1");
    ASSERT_TRUE(is_answered(wait_for_outcome(transact("entry-1", operation::run, id, "put a 1"))));
    kill("orders-1");
    ASSERT_TRUE(advance_until([this] { return term_of("orders") == 2; }));
    advance(milliseconds{100});
    EXPECT_EQ(reason_of(wait_for_outcome(transact("entry-1", operation::commit, id))),
              refusal::transaction_ended);
    EXPECT_EQ(count_records(primary_of("orders"), "a"), 0);
}

TEST_F(traffic_fixture, commit_whose_answer_is_lost_is_unknown)
{
    const transaction_id id = begin("entry-1");
    ASSERT_TRUE(is_answered(wait_for_outcome(transact("entry-1", operation::run, id, "put a 1"))));
    answer_filter = [](const std::string&, const database::database_answer& answer) {
        return !std::holds_alternative<database::statement_done>(answer);
    };
    EXPECT_TRUE(std::holds_alternative<outcome_unknown>(
        wait_for_outcome(transact("entry-1", operation::commit, id))));
}

TEST_F(traffic_fixture, idle_transaction_is_ended_and_its_connection_not_used_again)
{
    const transaction_id id = begin("entry-1");
    ASSERT_TRUE(is_answered(wait_for_outcome(transact("entry-1", operation::run, id, "put a 1"))));
    advance(routing::transaction_idle_timeout + milliseconds{200});
    EXPECT_TRUE(backend_state_of("orders-1").transactions.empty());
    EXPECT_EQ(reason_of(wait_for_outcome(transact("entry-1", operation::commit, id))),
              refusal::transaction_ended);
    EXPECT_EQ(count_records("orders-1", "a"), 0);
}

TEST_F(traffic_fixture, drain_finishes_what_is_in_flight_and_refuses_the_rest)
{
    database::fault_settings slow;
    slow.service_time = milliseconds{300};
    set_faults("orders-1", slow);
    const transaction_id id = begin("entry-1");
    const std::uint64_t in_flight = write("entry-1", "put a 1");
    advance(milliseconds{20});
    drain("entry-1");
    const std::uint64_t late = write("entry-1", "put b 1");
    EXPECT_TRUE(is_answered(wait_for_outcome(in_flight)));
    EXPECT_EQ(reason_of(wait_for_outcome(late)), refusal::draining);
    EXPECT_FALSE(is_drained("entry-1"));
    EXPECT_TRUE(is_answered(wait_for_outcome(transact("entry-1", operation::commit, id))));
    EXPECT_TRUE(advance_until([this] { return is_drained("entry-1"); }));
}

TEST_F(traffic_fixture, full_queue_refuses_at_once)
{
    suspend("orders-1");
    std::vector<std::uint64_t> requests;
    for (int at = 0; at < 200; ++at) {
        requests.push_back(write("entry-1", "put k" + std::to_string(at) + " 1"));
    }
    advance(milliseconds{20});
    int refused = 0;
    for (const std::uint64_t request : requests) {
        refused += has_outcome(request) ? 1 : 0;
    }
    // 64 wait; the connections' share holds the rest of those not refused.
    EXPECT_GE(refused, 200 - 64 - 20);
    EXPECT_LE(refused, 200 - 64);
}

/// Connections at each backend server stay within the limit while hosts come, go and are cut off.
class connection_limit_fixture : public traffic_fixture
{
protected:
    void expect_within_limit()
    {
        for (const char* server : {"orders-1", "orders-2", "orders-3"}) {
            std::uint32_t shares = 0;
            for (const char* host : {"entry-1", "entry-2", "entry-3"}) {
                shares += live_share(host, server);
            }
            EXPECT_LE(shares, 20U) << server;
            EXPECT_LE(connections_at(server), 20U) << server;
        }
    }

    std::uint32_t live_share(const std::string& host, const std::string& server)
    {
        if (!is_host_up(host)) {
            return 0;
        }
        const auto* state = entry_state_of(host).servers.find(backend_server_name{server});
        return state == nullptr ? 0 : state->connections.share;
    }

    void pass_checked(milliseconds duration)
    {
        for (milliseconds passed{0}; passed < duration; passed += milliseconds{20}) {
            advance(milliseconds{20});
            expect_within_limit();
        }
    }
};

TEST_F(connection_limit_fixture, shares_stay_within_the_limit_as_entry_hosts_come_and_go)
{
    start_entry_host("entry-3");
    pass_checked(milliseconds{3000});
    EXPECT_GT(live_share("entry-3", "orders-1"), 0U);
    kill("entry-1");
    pass_checked(milliseconds{6000});
    restart("entry-1");
    pass_checked(milliseconds{6000});
    EXPECT_GT(live_share("entry-1", "orders-1"), 0U);
}

TEST_F(connection_limit_fixture, shares_stay_within_the_limit_across_a_cut_and_a_leader_change)
{
    start_entry_host("entry-3");
    pass_checked(milliseconds{2000});
    isolate("entry-2", "control-");
    pass_checked(milliseconds{4000});
    kill(leader());
    pass_checked(milliseconds{4000});
    restore_links("entry-2");
    pass_checked(milliseconds{4000});
    EXPECT_GT(live_share("entry-2", "orders-1"), 0U);
}

TEST_F(connection_limit_fixture, share_follows_demand)
{
    advance(milliseconds{1000});
    const std::uint32_t before = live_share("entry-1", "orders-2");
    database::fault_settings slow;
    slow.service_time = milliseconds{50};
    for (const char* server : {"orders-2", "orders-3"}) {
        set_faults(server, slow);
    }
    for (int round = 0; round < 60; ++round) {
        for (int at = 0; at < 4; ++at) {
            read("entry-1", "a");
        }
        advance(milliseconds{25});
        expect_within_limit();
    }
    EXPECT_GT(live_share("entry-1", "orders-2"), before);
}

} // namespace
} // namespace hickorymount::node

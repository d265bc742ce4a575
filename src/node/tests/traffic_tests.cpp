#include "node/tests/node_fixture.h"

#include <map>
#include <set>

namespace hickorymount::node {
namespace {

using routing::caller_response;
using routing::not_run;
using routing::operation_kind;
using routing::outcome_unknown;
using routing::refusal_reason;

class traffic_fixture : public node_fixture
{
protected:
    void SetUp() override { start_deployment(milliseconds{50}); }

    static bool is_answered(const routing::caller_outcome& outcome)
    {
        return std::holds_alternative<caller_response>(outcome);
    }

    static const caller_response& answer_of(const routing::caller_outcome& outcome)
    {
        static const caller_response empty_answer;
        EXPECT_TRUE(is_answered(outcome));
        return is_answered(outcome) ? std::get<caller_response>(outcome) : empty_answer;
    }

    static refusal_reason reason_of(const routing::caller_outcome& outcome)
    {
        const auto* refused = std::get_if<not_run>(&outcome);
        EXPECT_NE(refused, nullptr);
        return refused == nullptr ? refusal_reason::not_ready : refused->reason;
    }

    std::uint64_t send_transaction_operation(const std::string& entry, operation_kind requested_operation,
                                             const std::optional<transaction_id>& id,
                                             const std::string& statement = "")
    {
        routing::caller_request request;
        request.group = group_name{"orders"};
        request.request_class = class_name{"log"};
        request.operation = requested_operation;
        request.transaction = id;
        request.statement = statement;
        return send_request(entry, std::move(request));
    }

    transaction_id begin_transaction(const std::string& entry)
    {
        const routing::caller_outcome result =
            wait_for_outcome(send_transaction_operation(entry, operation_kind::begin, {}));
        const auto& id = answer_of(result).transaction;
        EXPECT_TRUE(id.has_value());
        return id.value_or(transaction_id{});
    }

    std::uint32_t connection_count(const std::string& server)
    {
        return static_cast<std::uint32_t>(backend_state_of(server).connections.size());
    }
};

TEST_F(traffic_fixture, invalid_request_is_refused_and_the_entry_host_serves_others)
{
    routing::caller_request unknown_group;
    unknown_group.group = group_name{"nowhere"};
    unknown_group.request_class = class_name{"log"};
    EXPECT_EQ(reason_of(wait_for_outcome(send_request("entry-1", unknown_group))),
              refusal_reason::unknown_group);
    EXPECT_EQ(reason_of(wait_for_outcome(write("entry-1", "put a 1", "nothing"))),
              refusal_reason::unknown_class);
    routing::caller_request expired;
    expired.group = group_name{"orders"};
    expired.request_class = class_name{"log"};
    expired.statement = "put a 1";
    expired.timeout = milliseconds{-1};
    EXPECT_EQ(reason_of(wait_for_outcome(send_request("entry-1", expired))), refusal_reason::deadline_passed);
    EXPECT_EQ(reason_of(wait_for_outcome(
                  send_transaction_operation("entry-1", operation_kind::commit, transaction_id{"no-such"}))),
              refusal_reason::transaction_elsewhere);
    EXPECT_EQ(count_records("orders-1", "a"), 0);
    EXPECT_TRUE(is_answered(wait_for_outcome(write("entry-1", "put a 1"))));
}

TEST_F(traffic_fixture, statement_of_an_old_term_is_refused_and_runs_in_the_current_term)
{
    // The backend server is one term ahead of the entry host's view.
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
    const caller_response answer =
        answer_of(wait_for_outcome(read("entry-2", "a", answer_of(written).token)));
    EXPECT_NE(answer.body.find("\"1\""), std::string::npos);
    EXPECT_EQ(answer.role, protocol::server_role::primary);
}

TEST_F(traffic_fixture, read_goes_to_a_replica_once_it_covers_the_session)
{
    const routing::caller_outcome written = wait_for_outcome(write("entry-1", "put a 1"));
    advance(milliseconds{300});
    const caller_response answer =
        answer_of(wait_for_outcome(read("entry-2", "a", answer_of(written).token)));
    EXPECT_EQ(answer.role, protocol::server_role::replica);
    EXPECT_NE(answer.body.find("\"1\""), std::string::npos);
}

TEST_F(traffic_fixture, read_without_writes_goes_to_a_replica)
{
    EXPECT_EQ(answer_of(wait_for_outcome(read("entry-1", "a"))).role, protocol::server_role::replica);
}

TEST_F(traffic_fixture, replica_older_than_the_class_allows_is_left_out)
{
    database::fault_settings replication_cut;
    replication_cut.blocks_replication = true;
    set_faults("orders-2", replication_cut);
    set_faults("orders-3", replication_cut);
    advance(milliseconds{1500});
    routing::caller_request request;
    request.group = group_name{"orders"};
    request.request_class = class_name{"browse"};
    request.statement = "get a";
    EXPECT_EQ(answer_of(wait_for_outcome(send_request("entry-1", request))).role,
              protocol::server_role::primary);
}

TEST_F(traffic_fixture, replica_that_claims_more_than_it_has_refuses_and_the_read_runs_elsewhere)
{
    const routing::caller_outcome written = wait_for_outcome(write("entry-1", "put a 1"));
    advance(milliseconds{300});
    // The last report of orders-2 covers the position of the session, but orders-2 has lost its data since.
    kill("orders-2");
    restart("orders-2");
    const caller_response answer =
        answer_of(wait_for_outcome(read("entry-1", "a", answer_of(written).token)));
    EXPECT_NE(answer.body.find("\"1\""), std::string::npos);
}

TEST_F(traffic_fixture, suspended_replica_is_excluded_and_used_again_after_it_resumes)
{
    suspend("orders-2");
    advance(milliseconds{1200});
    for (int index = 0; index < 10; ++index) {
        EXPECT_EQ(answer_of(wait_for_outcome(read("entry-1", "a"))).served_by,
                  backend_server_name{"orders-3"});
    }
    resume("orders-2");
    advance(milliseconds{500});
    std::set<std::string> servers;
    std::vector<std::uint64_t> requests;
    for (int index = 0; index < 20; ++index) {
        requests.push_back(read("entry-2", "a"));
    }
    for (const std::uint64_t request : requests) {
        servers.insert(answer_of(wait_for_outcome(request)).served_by.value);
    }
    EXPECT_TRUE(servers.contains("orders-2"));
}

TEST_F(traffic_fixture, read_lost_with_its_replica_is_answered_by_another_server)
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
    database::fault_settings leaving_fault;
    leaving_fault.is_leaving = true;
    set_faults("orders-2", leaving_fault);
    advance(milliseconds{500});
    for (int index = 0; index < 10; ++index) {
        EXPECT_NE(answer_of(wait_for_outcome(read("entry-1", "a"))).served_by,
                  backend_server_name{"orders-2"});
        EXPECT_NE(answer_of(wait_for_outcome(read("entry-2", "a"))).served_by,
                  backend_server_name{"orders-2"});
    }
}

TEST_F(traffic_fixture, answer_of_another_request_never_reaches_a_caller)
{
    // The traffic threads drop answers that belong to other requests, so the reducer sees no answer.
    answer_filter = [](const std::string&, const database::database_response& answer) {
        return !std::holds_alternative<database::statement_completed>(answer);
    };
    EXPECT_TRUE(std::holds_alternative<outcome_unknown>(
        wait_for_outcome(read("entry-1", "a"), milliseconds{60'000})));
}

TEST_F(traffic_fixture, transaction_commits_all_its_changes_in_one_record)
{
    const transaction_id id = begin_transaction("entry-1");
    ASSERT_TRUE(is_answered(
        wait_for_outcome(send_transaction_operation("entry-1", operation_kind::run, id, "put a 1"))));
    ASSERT_TRUE(is_answered(
        wait_for_outcome(send_transaction_operation("entry-1", operation_kind::run, id, "put b 1"))));
    EXPECT_EQ(count_records("orders-1", "a"), 0);
    ASSERT_TRUE(
        is_answered(wait_for_outcome(send_transaction_operation("entry-1", operation_kind::commit, id))));
    ASSERT_EQ(backend_state_of("orders-1").log.size(), 1U);
    EXPECT_EQ(backend_state_of("orders-1").log.find(1)->changes.size(), 2U);
}

TEST_F(traffic_fixture, transactions_at_once_run_on_separate_connections)
{
    std::vector<transaction_id> ids;
    for (int index = 0; index < 4; ++index) {
        ids.push_back(begin_transaction(index % 2 == 0 ? "entry-1" : "entry-2"));
    }
    for (std::size_t index = 0; index < ids.size(); ++index) {
        const std::string entry = index % 2 == 0 ? "entry-1" : "entry-2";
        ASSERT_TRUE(is_answered(wait_for_outcome(send_transaction_operation(
            entry, operation_kind::run, ids[index], "put t" + std::to_string(index) + " 1"))));
    }
    // A statement outside the transactions runs at the same time.
    ASSERT_TRUE(is_answered(wait_for_outcome(write("entry-1", "put outside 1"))));
    for (std::size_t index = 0; index < ids.size(); ++index) {
        const std::string entry = index % 2 == 0 ? "entry-1" : "entry-2";
        ASSERT_TRUE(is_answered(wait_for_outcome(send_transaction_operation(
            entry, index == 2 ? operation_kind::rollback : operation_kind::commit, ids[index]))));
    }
    EXPECT_EQ(count_records("orders-1", "t0"), 1);
    EXPECT_EQ(count_records("orders-1", "t2"), 0);
    for (const auto& [position, record] : backend_state_of("orders-1").log) {
        EXPECT_EQ(record.changes.size(), 1U);
    }
}

TEST_F(traffic_fixture, statement_at_another_entry_host_is_refused_with_the_host_of_the_transaction)
{
    const transaction_id id = begin_transaction("entry-1");
    const routing::caller_outcome refused =
        wait_for_outcome(send_transaction_operation("entry-2", operation_kind::run, id, "put a 1"));
    EXPECT_EQ(reason_of(refused), refusal_reason::transaction_elsewhere);
    EXPECT_EQ(std::get<not_run>(refused).peer, "entry-1");
}

TEST_F(traffic_fixture, entry_host_killed_in_a_transaction_leaves_no_partial_changes)
{
    const transaction_id id = begin_transaction("entry-1");
    ASSERT_TRUE(is_answered(
        wait_for_outcome(send_transaction_operation("entry-1", operation_kind::run, id, "put a 1"))));
    kill("entry-1");
    advance(milliseconds{500});
    EXPECT_TRUE(backend_state_of("orders-1").transactions.empty());
    EXPECT_EQ(count_records("orders-1", "a"), 0);
    restart("entry-1");
    ASSERT_TRUE(advance_until([this] { return entry_state_of("entry-1").lease.was_valid; }));
    EXPECT_EQ(reason_of(wait_for_outcome(send_transaction_operation("entry-1", operation_kind::commit, id))),
              refusal_reason::transaction_elsewhere);
}

TEST_F(traffic_fixture, primary_lost_in_a_transaction_ends_it_without_a_commit)
{
    const transaction_id id = begin_transaction("entry-1");
    ASSERT_TRUE(is_answered(
        wait_for_outcome(send_transaction_operation("entry-1", operation_kind::run, id, "put a 1"))));
    kill("orders-1");
    ASSERT_TRUE(advance_until([this] { return term_of("orders") == 2; }));
    advance(milliseconds{100});
    EXPECT_EQ(reason_of(wait_for_outcome(send_transaction_operation("entry-1", operation_kind::commit, id))),
              refusal_reason::transaction_ended);
    EXPECT_EQ(count_records(primary_of("orders"), "a"), 0);
}

TEST_F(traffic_fixture, commit_whose_answer_is_lost_is_unknown)
{
    const transaction_id id = begin_transaction("entry-1");
    ASSERT_TRUE(is_answered(
        wait_for_outcome(send_transaction_operation("entry-1", operation_kind::run, id, "put a 1"))));
    answer_filter = [](const std::string&, const database::database_response& answer) {
        return !std::holds_alternative<database::statement_completed>(answer);
    };
    EXPECT_TRUE(std::holds_alternative<outcome_unknown>(
        wait_for_outcome(send_transaction_operation("entry-1", operation_kind::commit, id))));
}

TEST_F(traffic_fixture, idle_transaction_is_ended_and_its_connection_not_used_again)
{
    const transaction_id id = begin_transaction("entry-1");
    ASSERT_TRUE(is_answered(
        wait_for_outcome(send_transaction_operation("entry-1", operation_kind::run, id, "put a 1"))));
    advance(routing::transaction_idle_timeout + milliseconds{200});
    EXPECT_TRUE(backend_state_of("orders-1").transactions.empty());
    EXPECT_EQ(reason_of(wait_for_outcome(send_transaction_operation("entry-1", operation_kind::commit, id))),
              refusal_reason::transaction_ended);
    EXPECT_EQ(count_records("orders-1", "a"), 0);
}

TEST_F(traffic_fixture, drain_finishes_what_is_in_flight_and_refuses_new_requests)
{
    database::fault_settings slow;
    slow.service_time = milliseconds{300};
    set_faults("orders-1", slow);
    const transaction_id id = begin_transaction("entry-1");
    const std::uint64_t in_flight = write("entry-1", "put a 1");
    advance(milliseconds{20});
    drain("entry-1");
    const std::uint64_t late = write("entry-1", "put b 1");
    EXPECT_TRUE(is_answered(wait_for_outcome(in_flight)));
    EXPECT_EQ(reason_of(wait_for_outcome(late)), refusal_reason::draining);
    EXPECT_FALSE(is_drained("entry-1"));
    EXPECT_TRUE(
        is_answered(wait_for_outcome(send_transaction_operation("entry-1", operation_kind::commit, id))));
    EXPECT_TRUE(advance_until([this] { return is_drained("entry-1"); }));
}

TEST_F(traffic_fixture, full_queue_refuses_requests_immediately)
{
    suspend("orders-1");
    std::vector<std::uint64_t> requests;
    for (int index = 0; index < 200; ++index) {
        requests.push_back(write("entry-1", "put k" + std::to_string(index) + " 1"));
    }
    advance(milliseconds{20});
    int refused = 0;
    for (const std::uint64_t request : requests) {
        refused += has_outcome(request) ? 1 : 0;
    }
    // The queue of the class holds 64 requests; at most 20 more run on the connections of the entry host.
    EXPECT_GE(refused, 200 - 64 - 20);
    EXPECT_LE(refused, 200 - 64);
}

/// Guards against more connections to a backend server than its limit allows while entry hosts start, end and
/// are disconnected.
class connection_limit_fixture : public traffic_fixture
{
protected:
    void expect_within_limit()
    {
        for (const char* server : {"orders-1", "orders-2", "orders-3"}) {
            std::uint32_t shares = 0;
            for (const char* entry_host : {"entry-1", "entry-2", "entry-3"}) {
                shares += connection_share(entry_host, server);
            }
            EXPECT_LE(shares, 20U) << server;
            EXPECT_LE(connection_count(server), 20U) << server;
        }
    }

    std::uint32_t connection_share(const std::string& entry_host, const std::string& server)
    {
        if (!is_host_up(entry_host)) {
            return 0;
        }
        const auto* server_state = entry_state_of(entry_host).servers.find(backend_server_name{server});
        return server_state == nullptr ? 0 : server_state->connections.share;
    }

    void advance_within_limit(milliseconds duration)
    {
        for (milliseconds passed{0}; passed < duration; passed += milliseconds{20}) {
            advance(milliseconds{20});
            expect_within_limit();
        }
    }
};

TEST_F(connection_limit_fixture, connections_stay_within_the_limit_as_entry_hosts_start_and_end)
{
    start_entry_host("entry-3");
    advance_within_limit(milliseconds{3000});
    EXPECT_GT(connection_share("entry-3", "orders-1"), 0U);
    kill("entry-1");
    advance_within_limit(milliseconds{6000});
    restart("entry-1");
    advance_within_limit(milliseconds{6000});
    EXPECT_GT(connection_share("entry-1", "orders-1"), 0U);
}

TEST_F(connection_limit_fixture, connections_stay_within_the_limit_across_a_partition_and_a_leader_change)
{
    start_entry_host("entry-3");
    advance_within_limit(milliseconds{2000});
    isolate("entry-2", "control-");
    advance_within_limit(milliseconds{4000});
    kill(leader());
    advance_within_limit(milliseconds{4000});
    restore_links("entry-2");
    advance_within_limit(milliseconds{4000});
    EXPECT_GT(connection_share("entry-2", "orders-1"), 0U);
}

TEST_F(connection_limit_fixture, share_of_connections_grows_with_demand)
{
    advance(milliseconds{1000});
    const std::uint32_t before = connection_share("entry-1", "orders-2");
    database::fault_settings slow;
    slow.service_time = milliseconds{50};
    for (const char* server : {"orders-2", "orders-3"}) {
        set_faults(server, slow);
    }
    for (int batch = 0; batch < 60; ++batch) {
        for (int index = 0; index < 4; ++index) {
            read("entry-1", "a");
        }
        advance(milliseconds{25});
        expect_within_limit();
    }
    EXPECT_GT(connection_share("entry-1", "orders-2"), before);
}

} // namespace
} // namespace hickorymount::node

#include "node/tests/node_fixture.h"

#include <algorithm>
#include <optional>

namespace hickorymount::node {
namespace {

/// More entry hosts than connections to a backend server, without relays: some hosts are granted none.
class connection_share_fixture : public node_fixture
{
protected:
    static constexpr int entry_host_count = 6;
    static constexpr std::uint32_t connection_limit = 3;

    void SetUp() override
    {
        start_control_hosts(3);
        start_entry_hosts(entry_host_count);
        start_group("orders", 2);
        ASSERT_TRUE(advance_until([this] { return !leader().empty(); }));
        configuration::configuration content = default_configuration();
        content.groups[group_name{"orders"}].connections = connection_limit;
        change_configuration(leader(), "first", 0, std::move(content));
        ASSERT_TRUE(advance_until([this] { return term_of("orders") == 1; }));
        advance(milliseconds{3000});
    }

    std::uint32_t share_of(const std::string& entry) const
    {
        std::uint32_t share = 0;
        for (const auto& [name, server] : entry_state_of(entry).servers) {
            share = std::max(share, server.connections.share);
        }
        return share;
    }

    /// The first entry host with, or without, a granted connection.
    std::string host_with_connection(bool is_granted) const
    {
        for (int index = 1; index <= entry_host_count; ++index) {
            const std::string name = "entry-" + std::to_string(index);
            if ((share_of(name) > 0) == is_granted) {
                return name;
            }
        }
        return "";
    }

    std::optional<routing::refusal_reason> refusal_of(std::uint64_t request)
    {
        const routing::caller_outcome outcome = wait_for_outcome(request);
        const auto* refused = std::get_if<routing::not_run>(&outcome);
        return refused == nullptr ? std::nullopt : std::optional(refused->reason);
    }
};

TEST_F(connection_share_fixture, host_without_connections_refuses_reads_and_writes_at_once)
{
    const std::string host = host_with_connection(false);
    ASSERT_FALSE(host.empty());
    for (const std::uint64_t request : {write(host, "put a 1"), read(host, "a")}) {
        EXPECT_TRUE(advance_until([&] { return has_outcome(request); }, 2 * step_duration));
        EXPECT_EQ(refusal_of(request), routing::refusal_reason::no_connection_granted);
    }
}

TEST_F(connection_share_fixture, host_with_a_connection_serves)
{
    const std::string host = host_with_connection(true);
    ASSERT_FALSE(host.empty());
    EXPECT_EQ(refusal_of(write(host, "put a 1")), std::nullopt);
}

TEST_F(connection_share_fixture, host_without_connections_serves_once_another_host_has_left)
{
    const std::string host = host_with_connection(false);
    for (int index = 1; index <= entry_host_count; ++index) {
        const std::string other = "entry-" + std::to_string(index);
        if (share_of(other) > 0) {
            drain(other);
        }
    }
    ASSERT_TRUE(advance_until([&] { return share_of(host) > 0; }, milliseconds{10'000}));
    EXPECT_EQ(refusal_of(write(host, "put a 1")), std::nullopt);
}

TEST_F(connection_share_fixture, request_of_a_new_host_waits_while_shares_are_redistributed)
{
    for (int index = 2; index <= entry_host_count; ++index) {
        kill("entry-" + std::to_string(index));
    }
    ASSERT_TRUE(advance_until([&] { return share_of("entry-1") == connection_limit; }, milliseconds{20'000}));
    start_entry_host("entry-7");
    ASSERT_TRUE(advance_until([&] { return entry_state_of("entry-7").lease.was_valid; }));
    EXPECT_EQ(refusal_of(write("entry-7", "put a 1")), std::nullopt);
}

} // namespace
} // namespace hickorymount::node

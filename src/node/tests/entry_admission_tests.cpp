#include "node/tests/node_fixture.h"
#include "supervision/types.h"

#include <algorithm>

namespace hickorymount::node {
namespace {

/// Entry hosts that control admits while the leader has led for long, over links with a delay.
class entry_admission_fixture : public node_fixture
{
protected:
    static constexpr milliseconds max_link_delay{40};
    /// After an election, nobody is dismissed for this long.
    static constexpr milliseconds settling_time =
        supervision::lease_duration + supervision::entry_host_dismissal_delay + milliseconds{1000};

    void SetUp() override
    {
        start_deployment();
        set_max_link_delay(max_link_delay);
        advance(settling_time);
    }

    bool is_admitted(const std::string& entry) const
    {
        const auto& entries = control_state_of(leader()).directory.entry_hosts;
        return std::any_of(entries.begin(), entries.end(),
                           [&](const auto& each) { return each.first.name.value == entry; });
    }

    /// Expects that the host, once admitted, stays admitted.
    void expect_admitted_once(const std::string& entry)
    {
        constexpr milliseconds observed_time{2000};
        ASSERT_TRUE(advance_until([&] { return is_admitted(entry); }));
        const time_point end = now() + observed_time;
        while (now() < end) {
            advance(step_duration);
            ASSERT_TRUE(is_admitted(entry)) << "dismissed " << (end - now()).count() << " ms before the end";
        }
    }
};

TEST_F(entry_admission_fixture, new_host_is_not_dismissed_before_its_first_lease)
{
    for (int index = 3; index <= 8; ++index) {
        const std::string entry = "entry-" + std::to_string(index);
        start_entry_host(entry);
        expect_admitted_once(entry);
    }
}

TEST_F(entry_admission_fixture, host_back_after_a_cut_is_not_dismissed_again)
{
    for (int round = 0; round < 4; ++round) {
        isolate("entry-1", "control-");
        ASSERT_TRUE(advance_until([this] { return !is_admitted("entry-1"); }, 2 * settling_time));
        restore_links("entry-1");
        expect_admitted_once("entry-1");
    }
}

TEST_F(entry_admission_fixture, control_hosts_that_restart_together_know_every_lease_that_may_be_valid)
{
    for (const std::string entry : {"entry-1", "entry-2"}) {
        isolate(entry, "control-");
    }
    for (const std::string host : {"control-1", "control-2", "control-3"}) {
        kill(host);
        restart(host);
    }
    ASSERT_TRUE(advance_until(
        [this] { return !leader().empty() && control_state_of(leader()).supervision.is_leading; }));
    for (const std::string entry : {"entry-1", "entry-2"}) {
        const routing::entry_state& state = entry_state_of(entry);
        ASSERT_TRUE(state.lease.was_valid) << entry;
        const auto* known = control_state_of(leader()).supervision.entry_hosts.find(state.self);
        ASSERT_NE(known, nullptr) << entry;
        EXPECT_GE(known->lease_end, state.lease.valid_until) << entry;
    }
}

} // namespace
} // namespace hickorymount::node

#include "supervision/reduce.h"

#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::supervision {

/// A leader whose order to promote "second" was accepted by the platform.
class session_promotion_fixture : public ::testing::Test
{
protected:
    session_promotion_fixture()
    {
        m_consensus.current_role = consensus::role::leader;
        m_consensus.own_term_start = m_consensus.commit = 1;
        m_consensus.leading_since = m_now;
        m_state.is_leading = true;
        m_state.leading_since = m_now;
        server_status second;
        second.report = report_of({});
        second.heard_at = m_now;
        m_state.servers = std::move(m_state.servers).set(backend_server_name{"second"}, second);
        group_change change;
        change.stage = change_stage::promoting;
        change.candidate = backend_server_name{"second"};
        change.next_term = 2;
        change.probe = 7;
        change.is_promotion_accepted = true;
        m_state.changes = std::move(m_state.changes).set(group_name{"orders"}, change);
        directory::group_record record;
        record.phase = directory::group_phase::promoting;
        record.term = 1;
        m_directory.groups = std::move(m_directory.groups).set(group_name{"orders"}, record);
    }

    static protocol::server_report report_of(const session::group_position& at)
    {
        protocol::server_report report;
        report.name = backend_server_name{"second"};
        report.group = group_name{"orders"};
        report.speaks = protocol::server_interface::sessions;
        report.role = protocol::server_role::primary;
        report.at = at;
        return report;
    }

    /// How many terms are proposed to be opened after the probe's answer.
    std::size_t openings_after(const session::group_position& at)
    {
        const entry_message answered{host_name{"entry-1"},
                                     protocol::probe_report{7, backend_server_name{"second"}, report_of(at)}};
        supervision_transition next =
            reduce(std::move(m_state), answered, {m_directory, m_consensus, m_now, unix_milliseconds{0}});
        m_state = std::move(next.state);
        std::size_t count = 0;
        for (const supervision_effect& effect : next.effects) {
            const auto* proposed = std::get_if<propose>(&effect);
            count += proposed != nullptr && std::holds_alternative<directory::open_term>(proposed->command)
                         ? 1
                         : 0;
        }
        return count;
    }

    time_point m_now{milliseconds{10'000}};
    consensus::consensus_state m_consensus;
    directory::directory_state m_directory;
    supervision_state m_state;
};

TEST_F(session_promotion_fixture, candidate_that_was_too_busy_to_tell_its_role_does_not_open_the_term)
{
    EXPECT_EQ(openings_after({}), 0U);
    EXPECT_EQ(openings_after({2, 112}), 1U);
}

} // namespace hickorymount::supervision

#pragma once

#include "supervision/internal/lease_keeper.h"
#include "supervision/internal/supervision_step.h"

#include <string>

namespace hickorymount::supervision::detail {

/// Finds lost primaries and carries out changes of primary, planned and unplanned.
class primary_changer
{
public:
    primary_changer(supervision_step& step, const lease_keeper& leases);

    void handle(const host_name& from, const protocol::server_reports& passed_on);
    void handle(const host_name& from, const protocol::suspicion& suspected);
    void handle(const host_name& from, const protocol::probe_report& probed);
    void handle(const host_name& from, const protocol::close_confirmation& confirmed);
    void handle(const host_name& from, const protocol::takeover_report& reported);

    void handle(const promotion_answered& answered);

    void handle(const directory::open_term& opened);
    void handle(const directory::close_term& closed);
    void handle(const directory::name_candidate& named);

    /// Starts a planned change. False when the group or the target can't take part now.
    bool start_planned(const group_name& group, const backend_server_name& target, const std::string& reason);

    /// Takes the servers that earlier leaders knew.
    void start_leading();
    void pass_time();
    void forget_silent_servers();

private:
    void take_report(const host_name& from, const protocol::server_report& report);
    void retire_others_at(const protocol::server_report& newcomer);
    void keep_on_record(const protocol::server_report& report);
    void drop_from_record(const backend_server_name& name);
    void take_farewell(const backend_server_name& name);
    void adopt_first_primary(const protocol::server_report& report);
    void correct_follower(const host_name& through, const protocol::server_report& report);
    void send_follow(const host_name& through, const protocol::server_report& follower,
                     const directory::group_record& record);

    void check_group(const group_name& group, const directory::group_record& record);
    void note_stall(const host_name& from, const group_name& group, const directory::group_record& record);
    void start_confirming(const group_name& group, const directory::group_record& record,
                          const std::string& reason);
    void count_confirmation(const host_name& from, const group_name& group, group_change change,
                            const protocol::probe_report& probed);
    void start_closing(const group_name& group, group_change change);
    void start_revoking(const group_name& group, group_change change);
    void finish_revoking_if_done(const group_name& group, group_change change);
    void finish_holding(const group_name& group, group_change change);
    void start_collecting(const group_name& group, group_change change);
    void ask_positions(const group_name& group, group_change change);
    void finish_collecting_if_done(const group_name& group, group_change change);
    void start_naming(const group_name& group, group_change change, const backend_server_name& candidate);
    void send_promotion(const group_name& group, group_change change);
    void retry_promotion(const group_name& group, group_change change);
    void order_platform_promotion(const group_name& group, group_change change);
    void probe_candidate(const group_name& group, group_change change);
    void advance_platform_promotion(const group_name& group, const group_change& change);
    void propose_opening(const group_name& group, group_change change, protocol::log_position start);
    void start_catching_up(const group_name& group, group_change change);
    void finish_catching_up_if_done(const group_name& group, group_change change);
    void advance(const group_name& group, const group_change& change);
    void give_up(const group_name& group, const group_change& change, const std::string& reason);

    void probe(const backend_server_name& server, std::uint64_t number, const std::vector<host_name>& through,
               protocol::group_term pause_below = 0);
    [[nodiscard]] bool speaks_in_sessions(const backend_server_name& server) const;
    void set_stage(const group_name& group, group_change change, change_stage stage);
    void set_change(const group_name& group, group_change change);
    void pause(const group_name& group, milliseconds duration);
    [[nodiscard]] bool is_paused(const group_name& group) const;
    [[nodiscard]] std::vector<protocol::server_report> candidates(const group_name& group,
                                                                  const group_change& change) const;
    /// How long to wait for the positions of candidates that have not answered.
    [[nodiscard]] milliseconds collect_timeout(const group_change& change,
                                               const std::vector<protocol::server_report>& answered) const;

    supervision_step& m_step;
    const lease_keeper& m_leases;
};

} // namespace hickorymount::supervision::detail

#pragma once

#include "supervision/internal/lease_manager.h"
#include "supervision/internal/successor_choice.h"
#include "supervision/internal/supervision_context.h"

#include <string>

namespace hickorymount::supervision::detail {

/// Detects lost primaries and carries out planned and unplanned changes of primary.
class failover_manager
{
public:
    failover_manager(supervision_context& context, const lease_manager& leases);

    void handle(const host_name& from, const protocol::server_reports& reports);
    void handle(const host_name& from, const protocol::primary_suspicion& suspicion);
    void handle(const host_name& from, const protocol::probe_response& report);
    void handle(const host_name& from, const protocol::close_term_response& confirmation);
    void handle(const host_name& from, const protocol::role_change_response& report);

    void handle(const promotion_response_received& answered);

    void handle(const directory::open_term& opened);
    void handle(const directory::close_term& closed);
    void handle(const directory::name_candidate& named);
    void handle(const directory::dismiss_entry_host& dismissed);

    /// Starts a planned change. Returns false when the group or the target does not permit one now.
    bool start_planned(const group_name& group, const backend_server_name& target, const std::string& reason);

    /// Loads the registered servers from the directory.
    void start_leading();
    /// Starts changes of primary where needed, and handles the timeouts of those in progress.
    void run_periodic_checks();
    void remove_silent_servers();

private:
    void process_report(const host_name& from, const protocol::server_report& report);
    void retire_replaced_servers(const protocol::server_report& successor);
    void register_changed_server(const protocol::server_report& report);
    void unregister_known_server(const backend_server_name& name);
    void mark_server_gone(const backend_server_name& name);
    /// Opens the first term of a group with the first primary that reports one.
    void adopt_first_primary(const protocol::server_report& report);
    /// Probes the primary when it reports another role or term; orders other servers with a wrong role or
    /// term to follow the primary.
    void correct_server_role(const host_name& from, const protocol::server_report& report);
    void send_follow_order(const host_name& entry_host, const protocol::server_report& follower,
                           const directory::group_record& record);

    void probe_for_commit_bounds();
    void record_commit_bound(const protocol::probe_response& report);
    /// Sends the follow orders of the last change again where no entry host has reported success.
    void resend_follow_orders();

    void check_group(const group_name& group, const directory::group_record& record);
    void record_stall(const host_name& from, const group_name& group, const directory::group_record& record);
    void start_confirming(const group_name& group, const directory::group_record& record,
                          const std::string& reason);
    void record_probe_result(const host_name& from, const group_name& group, primary_change change,
                             const protocol::probe_response& report);
    void start_closing(const group_name& group, primary_change change);
    void start_revoking(const group_name& group, primary_change change);
    /// Starts the next stage when each entry host with a lease has confirmed the close request.
    void continue_when_confirmed(const group_name& group, primary_change change);
    void finish_holding(const group_name& group, primary_change change);
    void start_collecting(const group_name& group, primary_change change);
    void request_positions(const group_name& group, primary_change change);
    /// Names the successor once one is known to hold every acknowledged commit.
    void continue_when_positions_known(const group_name& group, primary_change change);
    [[nodiscard]] successor_question successor_question_of(const group_name& group,
                                                           const primary_change& change) const;
    [[nodiscard]] acknowledged_commits acknowledged_in(const group_name& group,
                                                       const primary_change& change) const;
    [[nodiscard]] bool is_succeeded(const protocol::server_report& departed) const;
    void log_choice(const group_name& group, const primary_change& change, const successor_question& question,
                    const backend_server_name& successor);
    void propose_candidate(const group_name& group, primary_change change,
                           const backend_server_name& candidate);
    void send_promotion(const group_name& group, primary_change change);
    void retry_promotion(const group_name& group, primary_change change);
    void order_platform_promotion(const group_name& group, primary_change change);
    void probe_candidate(const group_name& group, primary_change change);
    void advance_platform_promotion(const group_name& group, const primary_change& change);
    void propose_opening(const group_name& group, primary_change change,
                         protocol::log_position start_position);
    void start_catching_up(const group_name& group, primary_change change);
    /// Closes the term when the target has the primary's position.
    void continue_when_caught_up(const group_name& group, primary_change change);
    /// Handles the timeouts of the current stage.
    void advance_change(const group_name& group, const primary_change& change);
    void abandon_change(const group_name& group, const primary_change& change, const std::string& reason);

    /// Orders the entry hosts to probe the server.
    void send_probe(const backend_server_name& server, std::uint64_t number,
                    const std::vector<host_name>& entry_hosts, protocol::group_term pause_below_term = 0);
    /// True for a server that is reached through sessions instead of single requests.
    [[nodiscard]] bool uses_session_interface(const backend_server_name& server) const;
    void set_stage(const group_name& group, primary_change change, primary_change_stage stage);
    void store_change(const group_name& group, primary_change change);
    void pause_changes(const group_name& group, milliseconds duration);
    [[nodiscard]] bool are_changes_paused(const group_name& group) const;
    void pause_replacements(const group_name& group, milliseconds duration);
    [[nodiscard]] bool are_replacements_paused(const group_name& group) const;
    [[nodiscard]] std::vector<protocol::server_report> candidates(const group_name& group,
                                                                  const primary_change& change) const;
    [[nodiscard]] std::vector<protocol::server_report> possible_holders(const group_name& group,
                                                                        const primary_change& change) const;
    /// Longest wait for the positions of servers with the HTTP interface.
    [[nodiscard]] milliseconds position_timeout_http() const;

    supervision_context& m_context;
    const lease_manager& m_leases;
};

} // namespace hickorymount::supervision::detail

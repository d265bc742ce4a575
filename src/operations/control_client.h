#pragma once

#include "base/error.h"
#include "configuration/types.h"
#include "consensus/types.h"
#include "directory/types.h"
#include "protocol/types.h"
#include "supervision/types.h"

#include <string>
#include <vector>

/// Operator commands, used by the command line tool and the load generator.
namespace hickorymount::operations {

/// HTTP client for the control hosts; finds the leader among them. Calls block.
class control_client
{
public:
    explicit control_client(std::vector<protocol::endpoint> control_hosts);

    /// Forms a new cluster of all control hosts, whose data folders must be empty. Errors: a control host did
    /// not respond or rejected the request, or no leader responded in time.
    result<consensus::membership> form_cluster() const;

    /// The leader's status. Errors: no leader responded in time.
    result<supervision::status_summary> status() const;

    /// The configuration in force.
    result<configuration::versioned_configuration> configuration() const;

    /// Applies a configuration change. If a response is lost, the change is sent again with the same id.
    result<supervision::configuration_change_response>
    change_configuration(const directory::change_configuration& change) const;

    /// Starts a planned change of the group's primary to `target`.
    result<supervision::primary_switch_response> change_primary(const group_name& group,
                                                                const backend_server_name& target) const;

private:
    /// Sends a request to the control hosts in turn until the leader responds; returns the response body.
    result<std::string> request_from_leader(const std::string& method, const std::string& path,
                                            const std::string& body) const;

    std::vector<protocol::endpoint> m_control_hosts;
};

/// Parses `address:port,address:port`.
result<std::vector<protocol::endpoint>> parse_endpoints(std::string text);

} // namespace hickorymount::operations

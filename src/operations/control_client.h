#pragma once

#include "base/error.h"
#include "configuration/types.h"
#include "consensus/types.h"
#include "directory/types.h"
#include "protocol/types.h"
#include "supervision/types.h"

#include <string>
#include <vector>

/// What operators do, for the command line tool and for the load tool.
namespace hickorymount::operations {

/// Talks to the control hosts over HTTP, and finds the leader among them.
class control_client
{
public:
    explicit control_client(std::vector<protocol::endpoint> control_hosts);

    /// Forms a new cluster of all control hosts, which must have empty data folders.
    result<consensus::membership> form() const;

    /// The leader's status. Errors: no leader answered in time.
    result<supervision::status_summary> status() const;

    /// The configuration in force.
    result<configuration::versioned_configuration> configuration() const;

    /// Applies a change, sending it again under the same id when an answer is lost.
    result<supervision::configuration_answer> apply(const directory::change_configuration& change) const;

    result<supervision::switch_answer> change_primary(const group_name& group,
                                                      const backend_server_name& target) const;

private:
    result<std::string> ask_leader(const std::string& method, const std::string& path,
                                   const std::string& body) const;

    std::vector<protocol::endpoint> m_control_hosts;
};

/// Parses `address:port,address:port`.
result<std::vector<protocol::endpoint>> parse_endpoints(std::string text);

} // namespace hickorymount::operations

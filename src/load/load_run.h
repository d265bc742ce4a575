#pragma once

#include "base/error.h"
#include "load/types.h"

#include <vector>

namespace hickorymount::load {

/// Sends requests to the entry hosts for `load_options::duration`. Blocks until every session has finished.
std::vector<request_trace> run_load(const load_options& options);

/// Reads the logs of the backend servers. Omits servers that do not answer.
std::vector<server_history> read_histories(const std::vector<protocol::endpoint>& backend_servers);

} // namespace hickorymount::load

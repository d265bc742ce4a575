#pragma once

#include "base/error.h"
#include "load/types.h"

#include <vector>

namespace hickorymount::load {

/// Runs the load against the entry hosts until the duration is over. Blocks.
std::vector<request_trace> run_load(const load_options& options);

/// Reads the histories of the backend servers that answer.
std::vector<server_history> read_histories(const std::vector<protocol::endpoint>& backend_servers);

} // namespace hickorymount::load

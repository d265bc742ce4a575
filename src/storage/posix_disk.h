#pragma once

#include "storage/disk.h"

#include <memory>
#include <string>

namespace hickorymount::storage {

/// Opens the data folder, creating it where needed. One process at a time may hold it.
result<std::unique_ptr<disk>> open_posix_disk(const std::string& folder);

} // namespace hickorymount::storage

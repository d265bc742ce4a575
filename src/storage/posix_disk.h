#pragma once

#include "storage/disk.h"

#include <memory>
#include <string>

namespace hickorymount::storage {

/// Opens and locks the data folder, and creates the folder where needed. Errors: the folder cannot be created
/// or opened, or another process holds the lock.
result<std::unique_ptr<disk>> open_posix_disk(const std::string& folder);

} // namespace hickorymount::storage

#pragma once

#include "base/error.h"
#include "consensus/types.h"
#include "storage/disk.h"

#include <cstdint>
#include <string>

namespace hickorymount::storage {

inline const std::string identity_file = "identity";
inline const std::string snapshot_file = "snapshot";
inline const std::string log_file = "log";

/// Keeps the replicated log in a data folder. A record is a header (length, checksum of the length,
/// checksum of the content; little-endian) and CBOR content.
class log_storage
{
public:
    explicit log_storage(disk& files);

    /// Reads the folder. A folder that holds nothing gets `fresh_identity`. A torn last record is cut
    /// off; a bad record anywhere else is an error that names file and offset.
    result<consensus::stored_state> load(const folder_identity& fresh_identity);

    /// Appends without a sync.
    result<void> append(const consensus::persist_log& write);

    /// Makes all appended records durable.
    result<void> sync();

    /// Replaces snapshot and log, durably.
    result<void> replace(const consensus::persist_snapshot& write);

private:
    result<folder_identity> load_identity(const folder_identity& fresh_identity);
    result<void> load_snapshot(consensus::stored_state& into);
    result<void> load_log(consensus::stored_state& into);

    disk& m_files;
};

} // namespace hickorymount::storage

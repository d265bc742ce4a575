#pragma once

#include "base/error.h"
#include "consensus/types.h"
#include "storage/disk.h"

#include <cstdint>
#include <string>

namespace hickorymount::storage {

inline const std::string identity_file_name = "identity";
inline const std::string snapshot_file_name = "snapshot";
inline const std::string log_file_name = "log";

/// Stores the replicated log in a data folder. The snapshot and log files consist of records: a header
/// (length, checksum of the length, checksum of the content; little-endian) and CBOR content. Errors name the
/// file.
class log_storage
{
public:
    explicit log_storage(disk& files);

    /// Reads the data folder, and stores `fresh_identity` in an empty one. An incomplete last record of the
    /// log is removed; any other corrupt record is an error that names the file and the offset in bytes.
    result<consensus::stored_state> load(const data_folder_id& fresh_identity);

    /// Appends one record to the log. The record is durable only after `sync`.
    result<void> append(const consensus::persist_log& write);

    /// Makes all appended records durable.
    result<void> sync();

    /// Replaces first the snapshot, then the log, durably. `load` handles a crash between the two.
    result<void> replace(const consensus::persist_snapshot& write);

private:
    result<data_folder_id> load_identity(const data_folder_id& fresh_identity);
    result<void> load_snapshot(consensus::stored_state& stored);
    result<void> load_log(consensus::stored_state& stored);

    disk& m_disk;
};

} // namespace hickorymount::storage

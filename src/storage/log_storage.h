#pragma once

#include "base/error.h"
#include "consensus/types.h"
#include "storage/disk.h"

#include <cstdint>
#include <span>
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

    /// Reads the data folder, and stores `fresh_identity` in an empty one. What it returns is durable. An
    /// incomplete last record of the log is removed, on a full disk by the next write; any other corrupt
    /// record is an error that names the file and the offset in bytes.
    result<consensus::stored_state> load(const data_folder_id& fresh_identity);

    /// Appends one record a write to the log, as one block of bytes: after a loss of power, no record is
    /// missing before a complete one. They are durable only after `sync`. After an error of `append` or
    /// `sync`, none of the records since the last `sync` counts; the next `append` removes what is left of
    /// them, and the caller appends them again.
    result<void> append(std::span<const consensus::persist_log> writes);
    result<void> append(const consensus::persist_log& write) { return append(std::span(&write, 1)); }

    /// Makes all appended records durable.
    result<void> sync();

    /// Replaces first the snapshot, then the log, durably. `load` handles a crash between the two, and the
    /// caller may repeat it after an error.
    result<void> replace(const consensus::persist_snapshot& write);

private:
    result<data_folder_id> load_identity(const data_folder_id& fresh_identity);
    result<void> load_snapshot(consensus::stored_state& stored);
    result<void> load_log(consensus::stored_state& stored);
    result<void> remove_failed_records();

    disk& m_disk;
    /// Length of the log file up to the last complete record.
    std::uint64_t m_appended_bytes = 0;
    std::uint64_t m_synced_bytes = 0;
    /// The log file may be longer than `m_synced_bytes`, by records that count as not written.
    bool m_has_failed_records = false;
};

} // namespace hickorymount::storage

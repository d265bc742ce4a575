#include "storage/log_storage.h"

#include "codec/json_codec.h"
#include "consensus/descriptions.h"
#include "storage/internal/log_record.h"
#include "storage/internal/record.h"

#include <algorithm>

namespace hickorymount::storage {

namespace {

using detail::log_record;
using detail::read_record;
using detail::record_cursor;
using detail::record_read;
using detail::record_read_status;

constexpr codec::input_limits stored_input_limits{.bytes = std::size_t{1} << 32, .depth = 64};

template <class T>
std::string encode_record(const T& value)
{
    return detail::frame_record(codec::to_cbor(codec::encode(value)));
}

template <class T>
result<T> decode_record(std::string_view content, const std::string& file)
{
    BOOST_LEAF_AUTO(document, codec::parse_cbor(content, stored_input_limits, file));
    return codec::decode<T>(document, file);
}

void apply_log_record(consensus::stored_state& stored, log_record record)
{
    stored.persistent_state = std::move(record.persistent_state);
    std::vector<consensus::log_entry>& entries = stored.entries;
    const auto first_replaced =
        std::find_if(entries.begin(), entries.end(),
                     [&](const consensus::log_entry& entry) { return entry.index >= record.truncate_from; });
    entries.erase(first_replaced, entries.end());
    for (consensus::log_entry& entry : record.entries) {
        entries.push_back(std::move(entry));
    }
}

/// Drops entries that are not contiguous with the snapshot. A crash after the snapshot file was replaced and
/// before the log file was leaves such entries when the snapshot came from the leader.
void drop_entries_not_reaching_snapshot(consensus::stored_state& stored)
{
    const consensus::snapshot& latest = *stored.latest_snapshot;
    const auto at_snapshot =
        std::find_if(stored.entries.begin(), stored.entries.end(),
                     [&](const consensus::log_entry& entry) { return entry.index == latest.last_index; });
    const bool starts_after_snapshot =
        !stored.entries.empty() && stored.entries.front().index == latest.last_index + 1;
    const bool contains_snapshot_end =
        at_snapshot != stored.entries.end() && at_snapshot->term == latest.last_term;
    if (!starts_after_snapshot && !contains_snapshot_end) {
        stored.entries.clear();
    }
}

} // namespace

log_storage::log_storage(disk& files) : m_disk(files) {}

result<consensus::stored_state> log_storage::load(const data_folder_id& fresh_identity)
{
    consensus::stored_state stored;
    BOOST_LEAF_ASSIGN(stored.identity, load_identity(fresh_identity));
    BOOST_LEAF_CHECK(load_snapshot(stored));
    BOOST_LEAF_CHECK(load_log(stored));
    drop_entries_not_reaching_snapshot(stored);
    return stored;
}

result<void> log_storage::append(std::span<const consensus::persist_log> writes)
{
    BOOST_LEAF_CHECK(remove_failed_records());
    std::string bytes;
    for (const consensus::persist_log& write : writes) {
        bytes += encode_record(log_record{write.persistent_state, write.truncate_from, write.entries});
    }
    m_has_failed_records = true;
    BOOST_LEAF_CHECK(m_disk.append(log_file_name, bytes));
    m_has_failed_records = false;
    m_appended_bytes += bytes.size();
    return {};
}

result<void> log_storage::sync()
{
    m_has_failed_records = true;
    BOOST_LEAF_CHECK(m_disk.sync(log_file_name));
    m_has_failed_records = false;
    m_synced_bytes = m_appended_bytes;
    return {};
}

result<void> log_storage::remove_failed_records()
{
    if (m_has_failed_records) {
        BOOST_LEAF_CHECK(m_disk.truncate(log_file_name, m_synced_bytes));
        m_appended_bytes = m_synced_bytes;
        m_has_failed_records = false;
    }
    return {};
}

result<void> log_storage::replace(const consensus::persist_snapshot& write)
{
    BOOST_LEAF_CHECK(m_disk.replace(snapshot_file_name, encode_record(write.content)));
    const log_record remaining{write.persistent_state, write.content->last_index + 1, write.entries};
    const std::string bytes = encode_record(remaining);
    BOOST_LEAF_CHECK(m_disk.replace(log_file_name, bytes));
    m_appended_bytes = m_synced_bytes = bytes.size();
    m_has_failed_records = false;
    return {};
}

result<data_folder_id> log_storage::load_identity(const data_folder_id& fresh_identity)
{
    BOOST_LEAF_AUTO(identity, m_disk.read(identity_file_name));
    if (identity) {
        return data_folder_id{*identity};
    }
    BOOST_LEAF_AUTO(log, m_disk.read(log_file_name));
    BOOST_LEAF_AUTO(snapshot, m_disk.read(snapshot_file_name));
    if (log || snapshot) {
        return fail("load", identity_file_name,
                    "the data folder holds a log or a snapshot but no identity file");
    }
    BOOST_LEAF_CHECK(m_disk.replace(identity_file_name, fresh_identity.value));
    return fresh_identity;
}

result<void> log_storage::load_snapshot(consensus::stored_state& stored)
{
    BOOST_LEAF_AUTO(bytes, m_disk.read(snapshot_file_name));
    if (!bytes) {
        return {};
    }
    record_cursor cursor{*bytes, 0, snapshot_file_name};
    BOOST_LEAF_AUTO(record_at_cursor, read_record(cursor));
    if (record_at_cursor.status != record_read_status::valid) {
        return fail("load", snapshot_file_name, "corrupt record at offset 0");
    }
    BOOST_LEAF_ASSIGN(stored.latest_snapshot, decode_record<shared_value<consensus::snapshot>>(
                                                  record_at_cursor.content, snapshot_file_name));
    return {};
}

result<void> log_storage::load_log(consensus::stored_state& stored)
{
    BOOST_LEAF_AUTO(bytes, m_disk.read(log_file_name));
    m_appended_bytes = m_synced_bytes = 0;
    m_has_failed_records = false;
    if (!bytes) {
        return {};
    }
    record_cursor cursor{*bytes, 0, log_file_name};
    for (;;) {
        BOOST_LEAF_AUTO(record_at_cursor, read_record(cursor));
        if (record_at_cursor.status != record_read_status::valid) {
            break;
        }
        BOOST_LEAF_AUTO(record, decode_record<log_record>(record_at_cursor.content, log_file_name));
        apply_log_record(stored, std::move(record));
    }
    m_appended_bytes = m_synced_bytes = cursor.offset;
    m_has_failed_records = cursor.offset < bytes->size();
    // The records may have been written but not synced by a process that was killed.
    BOOST_LEAF_CHECK(m_disk.sync(log_file_name));
    handle_failure([&] { return remove_failed_records(); },
                   [](const failure&) { /* The next append tries again. */ });
    return {};
}

} // namespace hickorymount::storage

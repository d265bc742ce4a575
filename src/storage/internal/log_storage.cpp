#include "storage/log_storage.h"

#include "codec/json_codec.h"
#include "consensus/descriptions.h"
#include "storage/internal/log_write.h"
#include "storage/internal/record.h"

#include <algorithm>

namespace hickorymount::storage {

namespace {

using detail::log_write;
using detail::read_record;
using detail::record_cursor;
using detail::record_reading;
using detail::record_status;

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

void apply_write(consensus::stored_state& into, log_write write)
{
    into.hard = std::move(write.hard);
    std::vector<consensus::log_entry>& entries = into.entries;
    const auto cut = std::find_if(entries.begin(), entries.end(), [&](const consensus::log_entry& entry) {
        return entry.index >= write.truncate_from;
    });
    entries.erase(cut, entries.end());
    for (consensus::log_entry& entry : write.entries) {
        entries.push_back(std::move(entry));
    }
}

/// A crash between the two files of a received snapshot leaves entries that do not lead up to it.
void drop_unconnected_entries(consensus::stored_state& stored)
{
    const consensus::snapshot& latest = *stored.latest;
    const auto at_snapshot =
        std::find_if(stored.entries.begin(), stored.entries.end(),
                     [&](const consensus::log_entry& entry) { return entry.index == latest.last_index; });
    const bool follows = !stored.entries.empty() && stored.entries.front().index == latest.last_index + 1;
    const bool leads_up = at_snapshot != stored.entries.end() && at_snapshot->term == latest.last_term;
    if (!follows && !leads_up) {
        stored.entries.clear();
    }
}

} // namespace

log_storage::log_storage(disk& files) : m_files(files) {}

result<consensus::stored_state> log_storage::load(const folder_identity& fresh_identity)
{
    consensus::stored_state stored;
    BOOST_LEAF_ASSIGN(stored.identity, load_identity(fresh_identity));
    BOOST_LEAF_CHECK(load_snapshot(stored));
    BOOST_LEAF_CHECK(load_log(stored));
    drop_unconnected_entries(stored);
    return stored;
}

result<void> log_storage::append(const consensus::persist_log& write)
{
    return m_files.append(log_file, encode_record(log_write{write.hard, write.truncate_from, write.entries}));
}

result<void> log_storage::sync()
{
    return m_files.sync(log_file);
}

result<void> log_storage::replace(const consensus::persist_snapshot& write)
{
    BOOST_LEAF_CHECK(m_files.replace(snapshot_file, encode_record(write.content)));
    const log_write rest{write.hard, write.content->last_index + 1, write.entries};
    return m_files.replace(log_file, encode_record(rest));
}

result<folder_identity> log_storage::load_identity(const folder_identity& fresh_identity)
{
    BOOST_LEAF_AUTO(known, m_files.read(identity_file));
    if (known) {
        return folder_identity{*known};
    }
    BOOST_LEAF_AUTO(log, m_files.read(log_file));
    BOOST_LEAF_AUTO(snapshot, m_files.read(snapshot_file));
    if (log || snapshot) {
        return fail("load", identity_file, "the data folder has lost its identity file");
    }
    BOOST_LEAF_CHECK(m_files.replace(identity_file, fresh_identity.value));
    return fresh_identity;
}

result<void> log_storage::load_snapshot(consensus::stored_state& into)
{
    BOOST_LEAF_AUTO(bytes, m_files.read(snapshot_file));
    if (!bytes) {
        return {};
    }
    record_cursor cursor{*bytes, 0, snapshot_file};
    BOOST_LEAF_AUTO(reading, read_record(cursor));
    if (reading.status != record_status::whole) {
        return fail("load", snapshot_file, "bad record at offset 0");
    }
    BOOST_LEAF_ASSIGN(into.latest,
                      decode_record<shared_value<consensus::snapshot>>(reading.content, snapshot_file));
    return {};
}

result<void> log_storage::load_log(consensus::stored_state& into)
{
    BOOST_LEAF_AUTO(bytes, m_files.read(log_file));
    if (!bytes) {
        return {};
    }
    record_cursor cursor{*bytes, 0, log_file};
    for (;;) {
        BOOST_LEAF_AUTO(reading, read_record(cursor));
        if (reading.status == record_status::torn) {
            BOOST_LEAF_CHECK(m_files.replace(log_file, std::string_view(*bytes).substr(0, cursor.offset)));
        }
        if (reading.status != record_status::whole) {
            break;
        }
        BOOST_LEAF_AUTO(write, decode_record<log_write>(reading.content, log_file));
        apply_write(into, std::move(write));
    }
    return {};
}

} // namespace hickorymount::storage

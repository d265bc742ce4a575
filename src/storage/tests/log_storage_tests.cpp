#include "storage/log_storage.h"
#include "storage/posix_disk.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <stdlib.h>
#include <unistd.h>

namespace hickorymount::storage {
namespace {

/// Keeps files in memory; the tests can inject write, sync and replace failures.
class memory_disk final : public disk
{
public:
    result<std::optional<std::string>> read(const std::string& name) override
    {
        const auto found = files.find(name);
        return found == files.end() ? std::nullopt : std::optional(found->second);
    }

    result<void> append(const std::string& name, std::string_view bytes) override
    {
        ++appended_blocks;
        if (bytes.size() > free_bytes) {
            files[name].append(bytes.substr(0, free_bytes));
            return fail("write", name, "No space left on device");
        }
        files[name].append(bytes);
        return {};
    }

    result<void> truncate(const std::string& name, std::uint64_t bytes) override
    {
        if (is_truncation_failing) {
            return fail("truncate", name, "Input/output error");
        }
        files[name].resize(bytes);
        return {};
    }

    result<void> sync(const std::string& name) override
    {
        if (is_sync_failing) {
            return fail("sync", name, "Input/output error");
        }
        return {};
    }

    result<void> replace(const std::string& name, std::string_view bytes) override
    {
        if (name == failing_replacement) {
            return fail("rename", name, "crashed");
        }
        files[name] = std::string(bytes);
        return {};
    }

    std::map<std::string, std::string> files;
    std::size_t free_bytes = SIZE_MAX;
    int appended_blocks = 0;
    bool is_sync_failing = false;
    bool is_truncation_failing = false;
    std::string failing_replacement;
};

class log_storage_fixture : public ::testing::Test
{
protected:
    static consensus::log_entry entry(consensus::log_index index, consensus::log_term term = 1)
    {
        return {index, term,
                shared_value<consensus::entry_content>(consensus::entry_content(consensus::no_operation{}))};
    }

    static consensus::persist_log write(consensus::log_index from, consensus::log_index to,
                                        consensus::log_term term = 1)
    {
        consensus::persist_log effect{1, {term, data_folder_id{"one"}}, from, {}};
        for (consensus::log_index index = from; index <= to; ++index) {
            effect.entries.push_back(entry(index, term));
        }
        return effect;
    }

    void append(const consensus::persist_log& effect)
    {
        EXPECT_EQ(error_of([&] { return m_storage.append(effect); }), "");
    }

    template <class Operation>
    static std::string error_of(Operation operation)
    {
        return handle_failure(
            [&]() -> result<std::string> {
                BOOST_LEAF_CHECK(operation());
                return std::string();
            },
            [](const failure& error) { return to_string(error); });
    }

    consensus::stored_state load()
    {
        return handle_failure([&] { return m_storage.load(data_folder_id{"fresh"}); },
                              [](const failure& error) {
                                  ADD_FAILURE() << to_string(error);
                                  return consensus::stored_state{};
                              });
    }

    std::string load_error()
    {
        return error_of([&] { return m_storage.load(data_folder_id{"fresh"}); });
    }

    std::string& log() { return m_disk.files[log_file_name]; }

    memory_disk m_disk;
    log_storage m_storage{m_disk};
};

TEST_F(log_storage_fixture, folder_when_empty_gets_an_identity_that_a_reload_keeps)
{
    EXPECT_EQ(load().identity, data_folder_id{"fresh"});
    log_storage reopened(m_disk);
    const auto stored = handle_failure([&] { return reopened.load(data_folder_id{"other"}); },
                                       [](const failure&) { return consensus::stored_state{}; });
    EXPECT_EQ(stored.identity, data_folder_id{"fresh"});
}

TEST_F(log_storage_fixture, entries_after_append_are_loaded_with_term_and_vote)
{
    load();
    append(write(1, 3));
    append(write(4, 5, 2));
    const auto stored = load();
    ASSERT_EQ(stored.entries.size(), 5U);
    EXPECT_EQ(stored.entries.back(), entry(5, 2));
    EXPECT_EQ(stored.persistent_state, (consensus::hard_state{2, data_folder_id{"one"}}));
}

TEST_F(log_storage_fixture, entries_when_rewritten_replace_all_from_their_index_on)
{
    load();
    append(write(1, 5));
    append(write(3, 3, 2));
    const auto stored = load();
    ASSERT_EQ(stored.entries.size(), 3U);
    EXPECT_EQ(stored.entries.back(), entry(3, 2));
}

TEST_F(log_storage_fixture, last_record_when_torn_at_any_byte_is_removed)
{
    load();
    append(write(1, 2));
    const std::string intact_log = log();
    append(write(3, 4));
    const std::string longer_log = log();
    for (std::size_t size = intact_log.size() + 1; size < longer_log.size(); ++size) {
        log() = longer_log.substr(0, size);
        EXPECT_EQ(load().entries.size(), 2U) << "torn at " << size;
        EXPECT_EQ(log(), intact_log);
    }
}

TEST_F(log_storage_fixture, last_record_with_a_flipped_bit_is_removed)
{
    load();
    append(write(1, 2));
    const std::string intact_log = log();
    append(write(3, 4));
    log().back() = static_cast<char>(log().back() ^ 1);
    EXPECT_EQ(load().entries.size(), 2U);
    EXPECT_EQ(log(), intact_log);
}

TEST_F(log_storage_fixture, zeros_after_the_last_record_are_ignored)
{
    load();
    append(write(1, 2));
    log().append(100, '\0');
    EXPECT_EQ(load().entries.size(), 2U);
}

TEST_F(log_storage_fixture, corrupt_record_before_the_last_is_an_error_with_file_and_offset)
{
    load();
    append(write(1, 2));
    const std::size_t second_record_offset = log().size();
    append(write(3, 4));
    append(write(5, 6));
    const std::string intact_log = log();
    for (const std::size_t corrupt_offset : {second_record_offset, second_record_offset + 5,
                                             second_record_offset + 9, second_record_offset + 20}) {
        log() = intact_log;
        log()[corrupt_offset] = static_cast<char>(log()[corrupt_offset] ^ 0x10);
        const std::string error_text = load_error();
        EXPECT_NE(error_text.find("log"), std::string::npos) << error_text;
        EXPECT_NE(error_text.find("offset " + std::to_string(second_record_offset)), std::string::npos)
            << error_text;
    }
}

TEST_F(log_storage_fixture, log_without_identity_file_is_an_error)
{
    load();
    append(write(1, 2));
    m_disk.files.erase(identity_file_name);
    EXPECT_NE(load_error().find("identity"), std::string::npos);
}

TEST_F(log_storage_fixture, snapshot_when_corrupt_is_an_error)
{
    load();
    m_disk.files[snapshot_file_name] = "not a record at all";
    EXPECT_NE(load_error().find("snapshot"), std::string::npos);
}

TEST_F(log_storage_fixture, append_on_a_full_disk_fails_and_leaves_a_loadable_log)
{
    load();
    append(write(1, 2));
    m_disk.free_bytes = 10;
    EXPECT_NE(error_of([&] { return m_storage.append(write(3, 4)); }).find("No space left"),
              std::string::npos);
    m_disk.free_bytes = SIZE_MAX;
    EXPECT_EQ(load().entries.size(), 2U);
}

TEST_F(log_storage_fixture, records_appended_again_after_a_full_disk_are_loaded_once)
{
    load();
    append(write(1, 2));
    ASSERT_EQ(error_of([&] { return m_storage.sync(); }), "");
    for (const std::size_t room : {0, 1, 10, 40}) {
        m_disk.free_bytes = room;
        EXPECT_NE(error_of([&] { return m_storage.append(write(3, 4)); }), "");
    }
    m_disk.free_bytes = SIZE_MAX;
    append(write(3, 4));
    ASSERT_EQ(error_of([&] { return m_storage.sync(); }), "");
    append(write(5, 5));
    EXPECT_EQ(load().entries.size(), 5U);
}

TEST_F(log_storage_fixture, records_appended_again_after_a_failed_sync_are_loaded_once)
{
    load();
    append(write(1, 2));
    ASSERT_EQ(error_of([&] { return m_storage.sync(); }), "");
    const std::string synced_log = log();
    append(write(3, 4));
    m_disk.is_sync_failing = true;
    EXPECT_NE(error_of([&] { return m_storage.sync(); }), "");
    m_disk.is_sync_failing = false;
    append(write(3, 4));
    ASSERT_EQ(error_of([&] { return m_storage.sync(); }), "");
    const std::string complete_log = log();
    EXPECT_EQ(load().entries.size(), 4U);
    log() = synced_log;
    load();
    append(write(3, 4));
    EXPECT_EQ(log(), complete_log);
}

TEST_F(log_storage_fixture, torn_record_that_a_full_disk_keeps_from_being_removed_goes_with_the_next_append)
{
    load();
    append(write(1, 2));
    const std::string intact_log = log();
    append(write(3, 4));
    log().resize(log().size() - 1);
    m_disk.is_truncation_failing = true;
    EXPECT_EQ(load().entries.size(), 2U);
    EXPECT_NE(error_of([&] { return m_storage.append(write(3, 3)); }), "");
    m_disk.is_truncation_failing = false;
    append(write(3, 5));
    EXPECT_EQ(load().entries.size(), 5U);
}

TEST_F(log_storage_fixture, writes_of_one_append_reach_the_disk_as_one_block)
{
    load();
    const std::vector<consensus::persist_log> writes{write(1, 2), write(3, 4), write(5, 6)};
    EXPECT_EQ(error_of([&] { return m_storage.append(writes); }), "");
    EXPECT_EQ(m_disk.appended_blocks, 1);
    EXPECT_EQ(load().entries.size(), 6U);
}

TEST_F(log_storage_fixture, loaded_entries_are_synced_first)
{
    load();
    append(write(1, 2));
    m_disk.is_sync_failing = true;
    EXPECT_NE(load_error().find("Input/output error"), std::string::npos);
}

TEST_F(log_storage_fixture, sync_when_the_disk_fails_is_an_error)
{
    load();
    append(write(1, 2));
    m_disk.is_sync_failing = true;
    EXPECT_NE(error_of([&] { return m_storage.sync(); }).find("Input/output error"), std::string::npos);
}

class snapshot_fixture : public log_storage_fixture
{
protected:
    static consensus::persist_snapshot snapshot_at(consensus::log_index index, consensus::log_term term,
                                                   std::vector<consensus::log_entry> entries)
    {
        consensus::snapshot content;
        content.last_index = index;
        content.last_term = term;
        content.directory.next_change_number = 7;
        return {2, {term, std::nullopt}, shared_value(content), std::move(entries)};
    }
};

TEST_F(snapshot_fixture, snapshot_replaces_the_entries_before_it)
{
    load();
    append(write(1, 10));
    EXPECT_EQ(error_of([&] { return m_storage.replace(snapshot_at(8, 1, {entry(9), entry(10)})); }), "");
    const auto stored = load();
    EXPECT_EQ(stored.latest_snapshot->last_index, 8U);
    EXPECT_EQ(stored.latest_snapshot->directory.next_change_number, 7U);
    ASSERT_EQ(stored.entries.size(), 2U);
    EXPECT_EQ(stored.entries.front().index, 9U);
}

TEST_F(snapshot_fixture, crash_before_the_snapshot_is_replaced_keeps_the_old_snapshot_and_log)
{
    load();
    append(write(1, 10));
    m_disk.failing_replacement = snapshot_file_name;
    EXPECT_NE(error_of([&] { return m_storage.replace(snapshot_at(8, 1, {entry(9), entry(10)})); }), "");
    const auto stored = load();
    EXPECT_EQ(stored.latest_snapshot->last_index, 0U);
    EXPECT_EQ(stored.entries.size(), 10U);
}

TEST_F(snapshot_fixture, crash_between_snapshot_and_log_keeps_entries_contiguous_with_the_snapshot)
{
    load();
    append(write(1, 10));
    m_disk.failing_replacement = log_file_name;
    EXPECT_NE(error_of([&] { return m_storage.replace(snapshot_at(8, 1, {entry(9), entry(10)})); }), "");
    const auto stored = load();
    EXPECT_EQ(stored.latest_snapshot->last_index, 8U);
    EXPECT_EQ(stored.entries.back().index, 10U);
}

TEST_F(snapshot_fixture, crash_between_received_snapshot_and_log_drops_entries_before_the_snapshot)
{
    load();
    append(write(1, 10));
    m_disk.failing_replacement = log_file_name;
    EXPECT_NE(error_of([&] { return m_storage.replace(snapshot_at(50, 3, {})); }), "");
    const auto stored = load();
    EXPECT_EQ(stored.latest_snapshot->last_index, 50U);
    EXPECT_TRUE(stored.entries.empty());
}

class posix_disk_fixture : public ::testing::Test
{
protected:
    void SetUp() override
    {
        std::string pattern = ::testing::TempDir() + "hickorymount-XXXXXX";
        ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
        m_folder = pattern;
    }

    void TearDown() override
    {
        for (const char* name : {"a", "b", "b.next"}) {
            ::unlink((m_folder + "/" + name).c_str());
        }
        ::rmdir(m_folder.c_str());
    }

    std::string m_folder;
};

TEST_F(posix_disk_fixture, file_after_append_and_replace_has_the_written_content)
{
    const std::string error_text = handle_failure(
        [&]() -> result<std::string> {
            BOOST_LEAF_AUTO(files, open_posix_disk(m_folder));
            BOOST_LEAF_CHECK(files->append("a", "one"));
            BOOST_LEAF_CHECK(files->append("a", "two"));
            BOOST_LEAF_CHECK(files->sync("a"));
            BOOST_LEAF_CHECK(files->replace("b", "three"));
            BOOST_LEAF_AUTO(first, files->read("a"));
            BOOST_LEAF_AUTO(second, files->read("b"));
            BOOST_LEAF_AUTO(none, files->read("c"));
            EXPECT_EQ(first, "onetwo");
            EXPECT_EQ(second, "three");
            EXPECT_FALSE(none.has_value());
            BOOST_LEAF_CHECK(files->replace("a", "new"));
            BOOST_LEAF_CHECK(files->append("a", "er"));
            BOOST_LEAF_AUTO(third, files->read("a"));
            EXPECT_EQ(third, "newer");
            return std::string();
        },
        [](const failure& error) { return to_string(error); });
    EXPECT_EQ(error_text, "");
}

TEST_F(posix_disk_fixture, folder_when_already_open_cannot_be_opened_again)
{
    const std::string error_text = handle_failure(
        [&]() -> result<std::string> {
            BOOST_LEAF_AUTO(first, open_posix_disk(m_folder));
            BOOST_LEAF_AUTO(second, open_posix_disk(m_folder));
            return std::string("opened twice");
        },
        [](const failure& error) { return to_string(error); });
    EXPECT_NE(error_text.find("another process"), std::string::npos) << error_text;
}

} // namespace
} // namespace hickorymount::storage

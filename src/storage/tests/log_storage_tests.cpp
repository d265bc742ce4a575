#include "storage/log_storage.h"
#include "storage/posix_disk.h"

#include <map>
#include <optional>
#include <string>

#include <gtest/gtest.h>
#include <stdlib.h>
#include <unistd.h>

namespace hickorymount::storage {
namespace {

/// Files in memory that fail when told to.
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
        if (bytes.size() > room) {
            files[name].append(bytes.substr(0, room));
            return fail("write", name, "No space left on device");
        }
        files[name].append(bytes);
        return {};
    }

    result<void> sync(const std::string& name) override
    {
        if (fails_sync) {
            return fail("sync", name, "Input/output error");
        }
        return {};
    }

    result<void> replace(const std::string& name, std::string_view bytes) override
    {
        if (name == refused_replacement) {
            return fail("rename", name, "crashed");
        }
        files[name] = std::string(bytes);
        return {};
    }

    std::map<std::string, std::string> files;
    std::size_t room = SIZE_MAX;
    bool fails_sync = false;
    std::string refused_replacement;
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
        consensus::persist_log made{1, {term, folder_identity{"one"}}, from, {}};
        for (consensus::log_index index = from; index <= to; ++index) {
            made.entries.push_back(entry(index, term));
        }
        return made;
    }

    void append(const consensus::persist_log& what)
    {
        EXPECT_EQ(problem_of([&] { return m_storage.append(what); }), "");
    }

    template <class Attempt>
    static std::string problem_of(Attempt attempt)
    {
        return handle_failure(
            [&]() -> result<std::string> {
                BOOST_LEAF_CHECK(attempt());
                return std::string();
            },
            [](const failure& what) { return to_string(what); });
    }

    consensus::stored_state load()
    {
        return handle_failure([&] { return m_storage.load(folder_identity{"fresh"}); },
                              [](const failure& what) {
                                  ADD_FAILURE() << to_string(what);
                                  return consensus::stored_state{};
                              });
    }

    std::string load_problem()
    {
        return problem_of([&] { return m_storage.load(folder_identity{"fresh"}); });
    }

    std::string& log() { return m_disk.files[log_file]; }

    memory_disk m_disk;
    log_storage m_storage{m_disk};
};

TEST_F(log_storage_fixture, empty_folder_gets_an_identity_that_stays)
{
    EXPECT_EQ(load().identity, folder_identity{"fresh"});
    log_storage again(m_disk);
    const auto stored = handle_failure([&] { return again.load(folder_identity{"other"}); },
                                       [](const failure&) { return consensus::stored_state{}; });
    EXPECT_EQ(stored.identity, folder_identity{"fresh"});
}

TEST_F(log_storage_fixture, entries_written_are_loaded_with_their_term_and_vote)
{
    load();
    append(write(1, 3));
    append(write(4, 5, 2));
    const auto stored = load();
    ASSERT_EQ(stored.entries.size(), 5U);
    EXPECT_EQ(stored.entries.back(), entry(5, 2));
    EXPECT_EQ(stored.hard, (consensus::hard_state{2, folder_identity{"one"}}));
}

TEST_F(log_storage_fixture, rewritten_entries_replace_the_old_ones)
{
    load();
    append(write(1, 5));
    append(write(3, 3, 2));
    const auto stored = load();
    ASSERT_EQ(stored.entries.size(), 3U);
    EXPECT_EQ(stored.entries.back(), entry(3, 2));
}

TEST_F(log_storage_fixture, torn_last_record_is_cut_off_wherever_it_tore)
{
    load();
    append(write(1, 2));
    const std::string whole = log();
    append(write(3, 4));
    const std::string longer = log();
    for (std::size_t size = whole.size() + 1; size < longer.size(); ++size) {
        log() = longer.substr(0, size);
        EXPECT_EQ(load().entries.size(), 2U) << "torn at " << size;
        EXPECT_EQ(log(), whole);
    }
}

TEST_F(log_storage_fixture, last_record_with_a_flipped_bit_is_cut_off)
{
    load();
    append(write(1, 2));
    const std::string whole = log();
    append(write(3, 4));
    log().back() = static_cast<char>(log().back() ^ 1);
    EXPECT_EQ(load().entries.size(), 2U);
    EXPECT_EQ(log(), whole);
}

TEST_F(log_storage_fixture, zeros_after_the_last_record_are_cut_off)
{
    load();
    append(write(1, 2));
    log().append(100, '\0');
    EXPECT_EQ(load().entries.size(), 2U);
}

TEST_F(log_storage_fixture, bad_record_in_the_middle_is_an_error_with_file_and_offset)
{
    load();
    append(write(1, 2));
    const std::size_t second = log().size();
    append(write(3, 4));
    append(write(5, 6));
    const std::string good = log();
    for (const std::size_t at : {second, second + 5, second + 9, second + 20}) {
        log() = good;
        log()[at] = static_cast<char>(log()[at] ^ 0x10);
        const std::string problem = load_problem();
        EXPECT_NE(problem.find("log"), std::string::npos) << problem;
        EXPECT_NE(problem.find("offset " + std::to_string(second)), std::string::npos) << problem;
    }
}

TEST_F(log_storage_fixture, log_without_identity_is_an_error)
{
    load();
    append(write(1, 2));
    m_disk.files.erase(identity_file);
    EXPECT_NE(load_problem().find("identity"), std::string::npos);
}

TEST_F(log_storage_fixture, bad_snapshot_is_an_error)
{
    load();
    m_disk.files[snapshot_file] = "not a record at all";
    EXPECT_NE(load_problem().find("snapshot"), std::string::npos);
}

TEST_F(log_storage_fixture, full_disk_fails_the_write_and_leaves_a_log_that_loads)
{
    load();
    append(write(1, 2));
    m_disk.room = 10;
    EXPECT_NE(problem_of([&] { return m_storage.append(write(3, 4)); }).find("No space left"),
              std::string::npos);
    m_disk.room = SIZE_MAX;
    EXPECT_EQ(load().entries.size(), 2U);
}

TEST_F(log_storage_fixture, failed_sync_is_reported)
{
    load();
    append(write(1, 2));
    m_disk.fails_sync = true;
    EXPECT_NE(problem_of([&] { return m_storage.sync(); }).find("Input/output error"), std::string::npos);
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
        content.directory.next_change = 7;
        return {2, {term, std::nullopt}, shared_value(content), std::move(entries)};
    }
};

TEST_F(snapshot_fixture, snapshot_replaces_the_entries_before_it)
{
    load();
    append(write(1, 10));
    EXPECT_EQ(problem_of([&] { return m_storage.replace(snapshot_at(8, 1, {entry(9), entry(10)})); }), "");
    const auto stored = load();
    EXPECT_EQ(stored.latest->last_index, 8U);
    EXPECT_EQ(stored.latest->directory.next_change, 7U);
    ASSERT_EQ(stored.entries.size(), 2U);
    EXPECT_EQ(stored.entries.front().index, 9U);
}

TEST_F(snapshot_fixture, crash_before_the_snapshot_is_in_place_keeps_the_old_log)
{
    load();
    append(write(1, 10));
    m_disk.refused_replacement = snapshot_file;
    EXPECT_NE(problem_of([&] { return m_storage.replace(snapshot_at(8, 1, {entry(9), entry(10)})); }), "");
    const auto stored = load();
    EXPECT_EQ(stored.latest->last_index, 0U);
    EXPECT_EQ(stored.entries.size(), 10U);
}

TEST_F(snapshot_fixture, crash_between_snapshot_and_log_keeps_entries_that_lead_up_to_it)
{
    load();
    append(write(1, 10));
    m_disk.refused_replacement = log_file;
    EXPECT_NE(problem_of([&] { return m_storage.replace(snapshot_at(8, 1, {entry(9), entry(10)})); }), "");
    const auto stored = load();
    EXPECT_EQ(stored.latest->last_index, 8U);
    EXPECT_EQ(stored.entries.back().index, 10U);
}

TEST_F(snapshot_fixture, crash_between_a_received_snapshot_and_log_drops_entries_that_do_not)
{
    load();
    append(write(1, 10));
    m_disk.refused_replacement = log_file;
    EXPECT_NE(problem_of([&] { return m_storage.replace(snapshot_at(50, 3, {})); }), "");
    const auto stored = load();
    EXPECT_EQ(stored.latest->last_index, 50U);
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

TEST_F(posix_disk_fixture, what_is_appended_and_replaced_is_read_back)
{
    const std::string problem = handle_failure(
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
        [](const failure& what) { return to_string(what); });
    EXPECT_EQ(problem, "");
}

TEST_F(posix_disk_fixture, folder_held_by_one_is_refused_to_another)
{
    const std::string problem = handle_failure(
        [&]() -> result<std::string> {
            BOOST_LEAF_AUTO(first, open_posix_disk(m_folder));
            BOOST_LEAF_AUTO(second, open_posix_disk(m_folder));
            return std::string("opened twice");
        },
        [](const failure& what) { return to_string(what); });
    EXPECT_NE(problem.find("another process"), std::string::npos) << problem;
}

} // namespace
} // namespace hickorymount::storage

#include "gateway/internal/storage_thread.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <gtest/gtest.h>

namespace hickorymount::gateway::detail {
namespace {

enum class disk_fault
{
    none,
    full,
    /// Takes half of what is appended.
    full_after_half,
    sync_error,
    replace_error
};

/// What the test sees of the disk and of the thread's reports. Shared by the test and the thread.
struct disk_record
{
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::string> files;
    disk_fault fault = disk_fault::none;
    consensus::sync_id synced = 0;
    std::uint64_t failed_attempts = 0;
    std::uint64_t recovered = 0;
};

class faulty_disk final : public storage::disk
{
public:
    explicit faulty_disk(disk_record& record) : m_record(record) {}

    result<std::optional<std::string>> read(const std::string& name) override
    {
        const std::lock_guard lock(m_record.mutex);
        const auto found = m_record.files.find(name);
        return found == m_record.files.end() ? std::nullopt : std::optional(found->second);
    }

    result<void> append(const std::string& name, std::string_view bytes) override
    {
        const std::lock_guard lock(m_record.mutex);
        if (m_record.fault == disk_fault::full_after_half) {
            m_record.files[name].append(bytes.substr(0, bytes.size() / 2));
        }
        if (m_record.fault == disk_fault::full || m_record.fault == disk_fault::full_after_half) {
            return fail("write", name, "No space left on device");
        }
        m_record.files[name].append(bytes);
        return {};
    }

    result<void> truncate(const std::string& name, std::uint64_t bytes) override
    {
        const std::lock_guard lock(m_record.mutex);
        m_record.files[name].resize(bytes);
        return {};
    }

    result<void> sync(const std::string& name) override
    {
        const std::lock_guard lock(m_record.mutex);
        if (m_record.fault == disk_fault::sync_error) {
            return fail("sync", name, "Input/output error");
        }
        return {};
    }

    result<void> replace(const std::string& name, std::string_view bytes) override
    {
        const std::lock_guard lock(m_record.mutex);
        const bool fails = m_record.fault == disk_fault::replace_error ||
                           m_record.fault == disk_fault::full ||
                           m_record.fault == disk_fault::full_after_half;
        if (fails) {
            return fail("write", name, "No space left on device");
        }
        m_record.files[name] = std::string(bytes);
        return {};
    }

private:
    disk_record& m_record;
};

/// The storage thread writes to a disk that refuses writes for a while.
class storage_thread_fixture : public ::testing::TestWithParam<disk_fault>
{
protected:
    storage_thread_fixture()
    {
        load();
        m_thread.start();
    }

    storage_thread::handlers handlers()
    {
        return {[this](consensus::sync_id id) { update([&] { m_record.synced = id; }); },
                [this](const failure&, std::uint64_t attempts) {
                    update([&] { m_record.failed_attempts = attempts; });
                },
                [this](std::uint64_t) { update([&] { ++m_record.recovered; }); }};
    }

    template <class Change>
    void update(Change change)
    {
        const std::lock_guard lock(m_record.mutex);
        change();
        m_record.changed.notify_all();
    }

    template <class Condition>
    bool wait_until(Condition condition)
    {
        std::unique_lock lock(m_record.mutex);
        return m_record.changed.wait_for(lock, std::chrono::seconds(10), condition);
    }

    void set_fault(disk_fault fault)
    {
        update([&] { m_record.fault = fault; });
    }

    void append(consensus::sync_id id, consensus::log_index index)
    {
        consensus::persist_log write{id, {1, std::nullopt}, index, {}};
        write.entries.push_back(entry(index));
        m_thread.write(std::move(write));
    }

    static consensus::log_entry entry(consensus::log_index index)
    {
        return {index, 1,
                shared_value<consensus::entry_content>(consensus::entry_content(consensus::no_operation{}))};
    }

    consensus::stored_state load() { return load_from(m_thread); }

    consensus::stored_state reload()
    {
        storage_thread reopened(std::make_unique<faulty_disk>(m_record), handlers());
        return load_from(reopened);
    }

    static consensus::stored_state load_from(storage_thread& thread)
    {
        return handle_failure([&] { return thread.load(data_folder_id{"fresh"}); },
                              [](const failure& error) {
                                  ADD_FAILURE() << to_string(error);
                                  return consensus::stored_state{};
                              });
    }

    disk_record m_record;
    storage_thread m_thread{std::make_unique<faulty_disk>(m_record), handlers()};
};

TEST_P(storage_thread_fixture, writes_refused_for_a_while_are_durable_in_order_once_the_disk_takes_them)
{
    append(1, 1);
    ASSERT_TRUE(wait_until([&] { return m_record.synced == 1; }));
    set_fault(GetParam());
    append(2, 2);
    consensus::snapshot content;
    content.last_index = 2;
    content.last_term = 1;
    m_thread.write(consensus::persist_snapshot{3, {1, std::nullopt}, shared_value(content), {}});
    append(4, 3);
    ASSERT_TRUE(wait_until([&] { return m_record.failed_attempts >= 2; }));
    {
        const std::lock_guard lock(m_record.mutex);
        EXPECT_LT(m_record.synced, 3U);
    }
    set_fault(disk_fault::none);
    ASSERT_TRUE(wait_until([&] { return m_record.synced == 4 && m_record.recovered == 1; }));
    append(5, 4);
    ASSERT_TRUE(wait_until([&] { return m_record.synced == 5; }));
    const consensus::stored_state stored = reload();
    EXPECT_EQ(stored.latest_snapshot->last_index, 2U);
    EXPECT_EQ(stored.entries, (std::vector<consensus::log_entry>{entry(3), entry(4)}));
}

TEST_P(storage_thread_fixture, thread_can_be_stopped_while_the_disk_refuses_writes)
{
    set_fault(GetParam());
    consensus::snapshot content;
    content.last_index = 1;
    m_thread.write(consensus::persist_snapshot{1, {1, std::nullopt}, shared_value(content), {}});
    append(2, 2);
    ASSERT_TRUE(wait_until([&] { return m_record.failed_attempts >= 1; }));
    m_thread.stop();
    EXPECT_LT(m_record.synced, 2U);
}

INSTANTIATE_TEST_SUITE_P(faults, storage_thread_fixture,
                         ::testing::Values(disk_fault::full, disk_fault::full_after_half,
                                           disk_fault::sync_error, disk_fault::replace_error));

} // namespace
} // namespace hickorymount::gateway::detail

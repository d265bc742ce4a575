#include "gateway/internal/storage_thread.h"

#include <utility>

namespace hickorymount::gateway::detail {

namespace {

consensus::sync_id sync_id_of(const storage_write& request)
{
    return std::visit([](const auto& write) { return write.id; }, request);
}

} // namespace

storage_thread::storage_thread(std::unique_ptr<storage::disk> disk, synced_function on_synced,
                               failed_function on_failed)
    : m_disk(std::move(disk)), m_storage(*m_disk), m_on_synced(std::move(on_synced)),
      m_on_failed(std::move(on_failed))
{
}

storage_thread::~storage_thread()
{
    stop();
}

result<consensus::stored_state> storage_thread::load(const data_folder_id& fresh_identity)
{
    return m_storage.load(fresh_identity);
}

void storage_thread::start()
{
    m_thread = std::thread([this] { run(); });
}

void storage_thread::write(storage_write request)
{
    const std::lock_guard lock(m_mutex);
    m_writes.push_back(std::move(request));
    m_wakeup.notify_one();
}

void storage_thread::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_is_stopping = true;
        m_wakeup.notify_one();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void storage_thread::run()
{
    for (;;) {
        std::vector<storage_write> batch;
        {
            std::unique_lock lock(m_mutex);
            m_wakeup.wait(lock, [this] { return m_is_stopping || !m_writes.empty(); });
            if (m_writes.empty()) {
                return;
            }
            batch.swap(m_writes);
        }
        const bool is_written = handle_failure(
            [&]() -> result<bool> {
                BOOST_LEAF_CHECK(write_batch(batch));
                return true;
            },
            [&](const failure& error) {
                m_on_failed(error);
                return false;
            });
        if (!is_written) {
            return;
        }
        m_on_synced(sync_id_of(batch.back()));
    }
}

result<void> storage_thread::write_batch(const std::vector<storage_write>& batch)
{
    bool has_unsynced = false;
    for (const storage_write& write : batch) {
        if (const auto* entries = std::get_if<consensus::persist_log>(&write)) {
            BOOST_LEAF_CHECK(m_storage.append(*entries));
            has_unsynced = true;
        } else {
            BOOST_LEAF_CHECK(m_storage.replace(std::get<consensus::persist_snapshot>(write)));
            has_unsynced = false;
        }
    }
    if (has_unsynced) {
        BOOST_LEAF_CHECK(m_storage.sync());
    }
    return {};
}

} // namespace hickorymount::gateway::detail

#pragma once

#include "consensus/types.h"
#include "storage/disk.h"
#include "storage/log_storage.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

namespace hickorymount::gateway::detail {

using storage_write = std::variant<consensus::persist_log, consensus::persist_snapshot>;

/// Writes the replicated log in order on its own thread. Writes that arrive during a sync share the next
/// sync.
class storage_thread
{
public:
    using synced_function = std::function<void(consensus::sync_id)>;
    using failed_function = std::function<void(const failure&)>;

    storage_thread(std::unique_ptr<storage::disk> disk, synced_function on_synced, failed_function on_failed);
    storage_thread(const storage_thread&) = delete;
    storage_thread& operator=(const storage_thread&) = delete;
    ~storage_thread();

    /// Loads the stored state; `fresh_identity` is used for an empty data folder.
    result<consensus::stored_state> load(const data_folder_id& fresh_identity);
    void start();
    /// Queues a write. Thread-safe.
    void write(storage_write request);
    /// Finishes the queued writes, then joins the thread.
    void stop();

private:
    void run();
    result<void> write_batch(const std::vector<storage_write>& batch);

    std::unique_ptr<storage::disk> m_disk;
    storage::log_storage m_storage;
    synced_function m_on_synced;
    failed_function m_on_failed;
    std::mutex m_mutex;
    std::condition_variable m_wakeup;
    std::vector<storage_write> m_writes;
    bool m_is_stopping = false;
    std::thread m_thread;
};

} // namespace hickorymount::gateway::detail

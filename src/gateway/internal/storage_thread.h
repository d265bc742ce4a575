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

/// Writes the log in order on a thread of its own. Writes that come while a sync runs share the next one.
class storage_thread
{
public:
    using synced_function = std::function<void(consensus::sync_id)>;
    using failed_function = std::function<void(const failure&)>;

    storage_thread(std::unique_ptr<storage::disk> files, synced_function on_synced,
                   failed_function on_failed);
    storage_thread(const storage_thread&) = delete;
    storage_thread& operator=(const storage_thread&) = delete;
    ~storage_thread();

    result<consensus::stored_state> load(const folder_identity& fresh_identity);
    void start();
    void write(storage_write what);
    /// Finishes the writes in hand.
    void stop();

private:
    void run();
    result<void> write_batch(const std::vector<storage_write>& batch);

    std::unique_ptr<storage::disk> m_files;
    storage::log_storage m_storage;
    synced_function m_on_synced;
    failed_function m_on_failed;
    std::mutex m_mutex;
    std::condition_variable m_posted;
    std::vector<storage_write> m_writes;
    bool m_is_stopping = false;
    std::thread m_thread;
};

} // namespace hickorymount::gateway::detail

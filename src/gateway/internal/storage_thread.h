#pragma once

#include "consensus/types.h"
#include "storage/disk.h"
#include "storage/log_storage.h"

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

namespace hickorymount::gateway::detail {

using storage_write = std::variant<consensus::persist_log, consensus::persist_snapshot>;

/// Pause before a failed write is repeated.
inline constexpr std::chrono::milliseconds storage_retry_pause{100};

/// Writes the replicated log in order on its own thread. Writes that arrive during a sync share the next
/// sync. A write that fails is repeated until it succeeds: while the disk is full, nothing counts as synced,
/// and nothing else is lost.
class storage_thread
{
public:
    using synced_function = std::function<void(consensus::sync_id)>;
    /// Called for each failed attempt; `attempts` counts those since the last success.
    using failed_function = std::function<void(const failure&, std::uint64_t attempts)>;
    /// Called when a write has succeeded after failed attempts.
    using recovered_function = std::function<void(std::uint64_t attempts)>;

    struct handlers
    {
        synced_function on_synced;
        failed_function on_failed;
        recovered_function on_recovered;
    };

    storage_thread(std::unique_ptr<storage::disk> disk, handlers event_handlers);
    storage_thread(const storage_thread&) = delete;
    storage_thread& operator=(const storage_thread&) = delete;
    ~storage_thread();

    /// Loads the stored state; `fresh_identity` is used for an empty data folder.
    result<consensus::stored_state> load(const data_folder_id& fresh_identity);
    void start();
    /// Queues a write. Thread-safe.
    void write(storage_write request);
    /// Finishes the queued writes, unless the disk refuses them, then joins the thread.
    void stop();

private:
    /// What is written and synced together.
    using step = std::variant<std::vector<consensus::persist_log>, consensus::persist_snapshot>;

    void run();
    static std::vector<step> steps_of(std::vector<storage_write> batch);
    /// Repeats the step until it succeeds. Returns false when the thread is to stop first.
    bool complete(const step& current);
    result<void> write_step(const step& current);
    bool wait_to_retry();

    std::unique_ptr<storage::disk> m_disk;
    storage::log_storage m_storage;
    handlers m_handlers;
    std::mutex m_mutex;
    std::condition_variable m_wakeup;
    std::vector<storage_write> m_writes;
    bool m_is_stopping = false;
    std::thread m_thread;
};

} // namespace hickorymount::gateway::detail

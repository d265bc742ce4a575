#include "gateway/internal/storage_thread.h"

#include <utility>

namespace hickorymount::gateway::detail {

namespace {

consensus::sync_id sync_id_of(const storage_write& request)
{
    return std::visit([](const auto& write) { return write.id; }, request);
}

} // namespace

storage_thread::storage_thread(std::unique_ptr<storage::disk> disk, handlers event_handlers)
    : m_disk(std::move(disk)), m_storage(*m_disk), m_handlers(std::move(event_handlers))
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
        const consensus::sync_id last = sync_id_of(batch.back());
        for (const step& each : steps_of(std::move(batch))) {
            if (!complete(each)) {
                return;
            }
        }
        m_handlers.on_synced(last);
    }
}

std::vector<storage_thread::step> storage_thread::steps_of(std::vector<storage_write> batch)
{
    std::vector<step> steps;
    for (storage_write& write : batch) {
        if (auto* content = std::get_if<consensus::persist_snapshot>(&write)) {
            steps.emplace_back(std::move(*content));
            continue;
        }
        if (steps.empty() || !std::holds_alternative<std::vector<consensus::persist_log>>(steps.back())) {
            steps.emplace_back(std::vector<consensus::persist_log>{});
        }
        std::get<std::vector<consensus::persist_log>>(steps.back())
            .push_back(std::move(std::get<consensus::persist_log>(write)));
    }
    return steps;
}

bool storage_thread::complete(const step& current)
{
    for (std::uint64_t attempts = 0;; ++attempts) {
        const bool is_written = handle_failure(
            [&]() -> result<bool> {
                BOOST_LEAF_CHECK(write_step(current));
                return true;
            },
            [&](const failure& error) {
                m_handlers.on_failed(error, attempts + 1);
                return false;
            });
        if (is_written && attempts > 0) {
            m_handlers.on_recovered(attempts);
        }
        if (is_written) {
            return true;
        }
        if (!wait_to_retry()) {
            return false;
        }
    }
}

result<void> storage_thread::write_step(const step& current)
{
    if (const auto* content = std::get_if<consensus::persist_snapshot>(&current)) {
        return m_storage.replace(*content);
    }
    BOOST_LEAF_CHECK(m_storage.append(std::get<std::vector<consensus::persist_log>>(current)));
    return m_storage.sync();
}

/// Returns false when the thread is to stop.
bool storage_thread::wait_to_retry()
{
    std::unique_lock lock(m_mutex);
    return !m_wakeup.wait_for(lock, storage_retry_pause, [this] { return m_is_stopping; });
}

} // namespace hickorymount::gateway::detail

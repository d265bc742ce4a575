#pragma once

#include "deployment.h"

#include <array>

namespace stand_ins {

/// A service of a primary and two replicas whose commits wait for one replica, and that can be promoted. An
/// instance leads until it is told to follow.
class replicated_service
{
public:
    static constexpr std::size_t instance_count = 3;

    struct options
    {
        std::string name;
        std::string zone;
        std::array<address, instance_count> addresses;
        std::int64_t promotion_ms = 600;
        std::int64_t work_ms = 6;
    };

    replicated_service(options service_options, event_record& record);
    ~replicated_service();
    replicated_service(const replicated_service&) = delete;
    replicated_service& operator=(const replicated_service&) = delete;

    void start_reporting(const std::vector<address>& control);
    void stop();

    /// The platform names the instance that takes over. False if there is none of this name.
    bool promote(const std::string& instance);
    /// Partitions the first instance from the others, so that its commits wait.
    void cut_first_from_replicas();
    void heal();
    /// The instance that leads the newest term.
    [[nodiscard]] std::size_t leader() const;
    [[nodiscard]] std::string instance_name(std::size_t index) const;
    /// The instance says that it leaves, with its next report, which it sends at once.
    void start_leaving(std::size_t index);
    /// When a node acknowledged that the instance leaves.
    [[nodiscard]] std::optional<std::int64_t> leaving_acknowledged_at(std::size_t index) const;
    [[nodiscard]] std::vector<executed_statement> executed() const;

private:
    struct instance
    {
        bool is_primary = false;
        bool is_paused = false;
        bool is_leaving = false;
        std::uint64_t term = 1;
        std::uint64_t received = 1;
        std::uint64_t sequence = 0;
        std::optional<std::int64_t> leaving_acknowledged_at;
    };

    void serve(std::size_t index, tcp_stream& client);
    std::string run(std::size_t index, bool& is_in_transaction, const std::string& id,
                    const std::string& text);
    /// Appends a commit, and waits until a replica has it. False if the service stops before.
    bool commit(std::size_t index);
    [[nodiscard]] bool has_path(std::size_t from, std::size_t to) const;
    void instance_state_after_promotion(std::size_t index, std::size_t leader, std::uint64_t term);
    void report(std::size_t index, const std::vector<address>& control);
    [[nodiscard]] std::string status_of(std::size_t index) const;
    [[nodiscard]] std::string position_of(std::size_t index) const;

    options m_options;
    event_record& m_record;
    mutable std::mutex m_mutex;
    std::array<instance, instance_count> m_instances;
    std::size_t m_leader = 0;
    bool m_is_cut = false;
    std::atomic<bool> m_reports_at_once{false};
    std::atomic<bool> m_is_stopping{false};
    std::uint64_t m_signatures = 0;
    std::vector<executed_statement> m_executed;
    std::int64_t m_born = 0;
    std::vector<std::unique_ptr<tcp_server>> m_servers;
    std::vector<std::thread> m_threads;
};

} // namespace stand_ins

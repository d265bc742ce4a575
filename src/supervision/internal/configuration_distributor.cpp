#include "supervision/internal/configuration_distributor.h"

#include "configuration/difference.h"

#include <set>
#include <vector>

#include <fmt/format.h>

namespace hickorymount::supervision::detail {

configuration_distributor::configuration_distributor(supervision_context& context) : m_context(context) {}

void configuration_distributor::record_current()
{
    const auto& current = m_context.directory().configuration;
    m_context.state.differences.clear();
    m_context.state.recent_configurations.insert_or_assign(
        current->version, shared_value(configuration::without_operator_texts(*current)));
    remove_unused_versions();
}

void configuration_distributor::send_due_updates()
{
    std::map<configuration::configuration_version, std::vector<entry_process_id>> due_entries;
    for (const auto& [entry, status] : m_context.state.entry_hosts) {
        if (is_due(status)) {
            due_entries[base_for(status)].push_back(entry);
        }
    }
    for (const auto& [base, entries] : due_entries) {
        const protocol::configuration_update update{difference_from(base)};
        for (const entry_process_id& entry : entries) {
            entry_status status = *m_context.state.entry_hosts.find(entry);
            status.sent_configuration =
                sent_document{update.difference->version, status.last_grant_sequence, m_context.now()};
            m_context.state.entry_hosts =
                std::move(m_context.state.entry_hosts).set(entry, std::move(status));
            m_context.send(entry.name, update);
        }
        m_context.log(logging::log_level::information, "send_configuration", "",
                      fmt::format("version={} base={} hosts={} changed={} removed={}",
                                  update.difference->version, base, entries.size(),
                                  update.difference->changed_routes.databases.size(),
                                  update.difference->removed_routes.size()));
    }
}

bool configuration_distributor::is_due(const entry_status& status) const
{
    const bool is_in_contact = status.last_request_at > m_context.state.leading_since &&
                               m_context.now() - status.last_request_at < configuration_contact_limit;
    return status.version < m_context.directory().configuration->version && !status.sent_configuration &&
           !status.is_replaced && is_in_contact && m_context.now() >= status.next_configuration_at;
}

configuration::configuration_version configuration_distributor::base_for(const entry_status& status) const
{
    return m_context.state.recent_configurations.contains(status.version) ? status.version : 0;
}

shared_value<configuration::configuration_difference>
configuration_distributor::difference_from(configuration::configuration_version base)
{
    const auto known = m_context.state.differences.find(base);
    if (known != m_context.state.differences.end()) {
        return known->second;
    }
    const auto recent = m_context.state.recent_configurations.find(base);
    const shared_value<configuration::versioned_configuration> base_configuration =
        base == 0 || recent == m_context.state.recent_configurations.end()
            ? shared_value<configuration::versioned_configuration>()
            : recent->second;
    shared_value created(
        configuration::make_difference(*base_configuration, *m_context.directory().configuration));
    m_context.state.differences.insert_or_assign(base, created);
    return created;
}

void configuration_distributor::remove_unused_versions()
{
    auto& recent = m_context.state.recent_configurations;
    std::set<configuration::configuration_version> used{m_context.directory().configuration->version};
    for (const auto& [entry, status] : m_context.state.entry_hosts) {
        used.insert(status.version);
        if (status.sent_configuration) {
            used.insert(status.sent_configuration->version);
        }
    }
    std::erase_if(recent, [&](const auto& each) { return !used.contains(each.first); });
    while (recent.size() > max_recent_configurations) {
        recent.erase(recent.begin());
    }
}

} // namespace hickorymount::supervision::detail

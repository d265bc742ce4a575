#pragma once

#include "sessions/types.h"

#include <map>
#include <optional>

namespace hickorymount::sessions::detail {

/// The customers of the configuration by the digests of their keys.
std::map<key_digest, customer_name> index_customers(const configuration::configuration& content);

/// The customers' places in the order of queued statements.
std::map<customer_name, customer_rank> rank_customers(const configuration::configuration& content);

/// The customer whose statement a caller sends, by its key; an empty name where callers need no key. Nothing
/// if the key belongs to no customer, or no longer does.
std::optional<customer_name> customer_of_caller(const session_state& state, const caller_session& session);

/// The customer of a statement that another entry host relays, which has checked the caller's key. Nothing if
/// the configuration has no such customer.
std::optional<customer_name> customer_of_relayed_statement(const session_state& state,
                                                           const customer_name& named);

} // namespace hickorymount::sessions::detail

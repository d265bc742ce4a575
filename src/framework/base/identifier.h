#pragma once

#include <compare>
#include <string>

namespace hickorymount {

/// A string identifier. `Tag` makes identifiers of different kinds distinct types.
template <class Tag>
struct identifier
{
    std::string value;

    [[nodiscard]] bool empty() const { return value.empty(); }

    friend auto operator<=>(const identifier&, const identifier&) = default;
    friend bool operator==(const identifier&, const identifier&) = default;
};

using host_name = identifier<struct host_tag>;
using availability_zone = identifier<struct availability_zone_tag>;
/// Several availability zones that are close to each other.
using region_name = identifier<struct region_tag>;
using group_name = identifier<struct group_tag>;
using class_name = identifier<struct class_tag>;
using tenant_name = identifier<struct tenant_tag>;
using customer_name = identifier<struct customer_tag>;
/// Digest of a key by which a caller proves whose it is, in hexadecimal digits.
using key_digest = identifier<struct key_digest_tag>;
/// A backend server's name, unique within the deployment.
using backend_server_name = identifier<struct backend_server_tag>;
/// Identifies one data folder; generated when the folder is created and never reused.
using data_folder_id = identifier<struct folder_tag>;
/// Identifies one run of an entry host's process.
using incarnation_id = identifier<struct incarnation_tag>;
using change_id = identifier<struct change_tag>;
using request_key = identifier<struct request_key_tag>;
using transaction_id = identifier<struct transaction_tag>;

} // namespace hickorymount

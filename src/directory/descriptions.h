#pragma once

#include "codec/description.h"
#include "configuration/descriptions.h"
#include "directory/types.h"
#include "session_token/descriptions.h"

namespace hickorymount::codec {

template <>
struct description<directory::group_phase>
{
    static constexpr auto enumerators =
        std::tuple{enumerator{"open", directory::group_phase::open},
                   enumerator{"closed", directory::group_phase::closed},
                   enumerator{"promoting", directory::group_phase::promoting}};
};

template <>
struct description<directory::change_outcome>
{
    static constexpr auto enumerators =
        std::tuple{enumerator{"accepted", directory::change_outcome::accepted},
                   enumerator{"conflict", directory::change_outcome::conflict}};
};

template <>
struct description<directory::claim_outcome>
{
    static constexpr auto enumerators =
        std::tuple{enumerator{"granted", directory::claim_outcome::granted},
                   enumerator{"answered", directory::claim_outcome::answered},
                   enumerator{"outcome_unknown", directory::claim_outcome::outcome_unknown},
                   enumerator{"key_reused", directory::claim_outcome::key_reused}};
};

template <>
struct description<directory::group_record>
{
    using type = directory::group_record;
    static constexpr std::string_view name = "group_record";
    static constexpr auto members = std::tuple{
        member{"phase", &type::phase},         member{"term", &type::term},
        member{"primary", &type::primary},     member{"last_named_term", &type::last_candidate_term},
        member{"candidate", &type::candidate}, member{"starts", &type::term_starts},
    };
};

template <>
struct description<directory::change_answer>
{
    using type = directory::change_answer;
    static constexpr std::string_view name = "change_answer";
    static constexpr auto members =
        std::tuple{member{"outcome", &type::outcome}, member{"version", &type::version}};
};

template <>
struct description<directory::claim_key>
{
    using type = directory::claim_key;
    static constexpr std::string_view name = "claim_key";
    static constexpr auto members = std::tuple{member{"group", &type::group}, member{"key", &type::key}};
};

template <>
struct description<directory::recorded_answer>
{
    using type = directory::recorded_answer;
    static constexpr std::string_view name = "recorded_answer";
    static constexpr auto members =
        std::tuple{member{"body", &type::body}, member{"position", &type::position}};
};

template <>
struct description<directory::entry_process_id>
{
    using type = directory::entry_process_id;
    static constexpr std::string_view name = "entry_key";
    static constexpr auto members =
        std::tuple{member{"name", &type::name}, member{"incarnation", &type::incarnation}};
};

template <>
struct description<directory::claim_holder>
{
    using type = directory::claim_holder;
    static constexpr std::string_view name = "claim_holder";
    static constexpr auto members =
        std::tuple{member{"entry", &type::entry}, member{"request", &type::request}};
};

template <>
struct description<directory::claim_record>
{
    using type = directory::claim_record;
    static constexpr std::string_view name = "claim_record";
    static constexpr auto members = std::tuple{
        member{"holder", &type::holder},         member{"statement_hash", &type::statement_hash},
        member{"claimed_at", &type::claimed_at}, member{"expires_at", &type::expires_at},
        member{"answer", &type::answer},
    };
};

template <>
struct description<directory::entry_record>
{
    using type = directory::entry_record;
    static constexpr std::string_view name = "entry_record";
    static constexpr auto members =
        std::tuple{member{"zone", &type::zone}, member{"relay", &type::relay_address}};
};

template <>
struct description<directory::change_configuration>
{
    using type = directory::change_configuration;
    static constexpr std::string_view name = "change_configuration";
    static constexpr auto members =
        std::tuple{member{"id", &type::id}, member{"base", &type::base}, member{"content", &type::content}};
};

template <>
struct description<directory::replace_configuration>
{
    using type = directory::replace_configuration;
    static constexpr std::string_view name = "replace_configuration";
    static constexpr auto members =
        std::tuple{member{"version", &type::version}, member{"is_repeated", &type::is_repeated},
                   member{"content", &type::content}};
};

template <>
struct description<directory::server_record>
{
    using type = directory::server_record;
    static constexpr std::string_view name = "server_record";
    static constexpr auto members = std::tuple{
        member{"group", &type::group}, member{"zone", &type::zone}, member{"address", &type::address},
        member{"started_at", &type::started_at}, member{"report_interval", &type::report_interval}};
};

template <>
struct description<directory::register_server>
{
    using type = directory::register_server;
    static constexpr std::string_view name = "register_server";
    static constexpr auto members = std::tuple{member{"name", &type::name}, member{"record", &type::record}};
};

template <>
struct description<directory::unregister_server>
{
    using type = directory::unregister_server;
    static constexpr std::string_view name = "unregister_server";
    static constexpr auto members = std::tuple{member{"name", &type::name}};
};

template <>
struct description<directory::admit_entry_host>
{
    using type = directory::admit_entry_host;
    static constexpr std::string_view name = "admit_entry_host";
    static constexpr auto members = std::tuple{member{"entry", &type::entry}, member{"zone", &type::zone},
                                               member{"relay", &type::relay_address}};
};

template <>
struct description<directory::dismiss_entry_host>
{
    using type = directory::dismiss_entry_host;
    static constexpr std::string_view name = "dismiss_entry_host";
    static constexpr auto members =
        std::tuple{member{"entry", &type::entry}, member{"acknowledged", &type::acknowledged}};
};

template <>
struct description<directory::bound_departed_commits>
{
    using type = directory::bound_departed_commits;
    static constexpr std::string_view name = "bound_departed_commits";
    static constexpr auto members =
        std::tuple{member{"group", &type::group}, member{"term", &type::term},
                   member{"position", &type::position}, member{"unreported", &type::unreported}};
};

template <>
struct description<directory::departed_commits>
{
    using type = directory::departed_commits;
    static constexpr std::string_view name = "departed_commits";
    static constexpr auto members =
        std::tuple{member{"position", &type::position}, member{"unreported", &type::unreported},
                   member{"bounded", &type::bounded}};
};

template <>
struct description<directory::open_term>
{
    using type = directory::open_term;
    static constexpr std::string_view name = "open_term";
    static constexpr auto members =
        std::tuple{member{"group", &type::group}, member{"term", &type::term},
                   member{"primary", &type::primary}, member{"start", &type::start}};
};

template <>
struct description<directory::close_term>
{
    using type = directory::close_term;
    static constexpr std::string_view name = "close_term";
    static constexpr auto members = std::tuple{member{"group", &type::group}, member{"term", &type::term}};
};

template <>
struct description<directory::name_candidate>
{
    using type = directory::name_candidate;
    static constexpr std::string_view name = "name_candidate";
    static constexpr auto members = std::tuple{member{"group", &type::group}, member{"term", &type::term},
                                               member{"candidate", &type::candidate}};
};

template <>
struct description<directory::create_claim>
{
    using type = directory::create_claim;
    static constexpr std::string_view name = "claim_request";
    static constexpr auto members = std::tuple{
        member{"key", &type::key},
        member{"holder", &type::holder},
        member{"statement_hash", &type::statement_hash},
        member{"claimed_at", &type::claimed_at},
        member{"retention", &type::retention},
    };
};

template <>
struct description<directory::record_answer>
{
    using type = directory::record_answer;
    static constexpr std::string_view name = "record_outcome";
    static constexpr auto members = std::tuple{member{"key", &type::key}, member{"holder", &type::holder},
                                               member{"answer", &type::answer}};
};

template <>
struct description<directory::withdraw_claim>
{
    using type = directory::withdraw_claim;
    static constexpr std::string_view name = "withdraw_claim";
    static constexpr auto members = std::tuple{member{"key", &type::key}, member{"holder", &type::holder}};
};

template <>
struct description<directory::expire_claims>
{
    using type = directory::expire_claims;
    static constexpr std::string_view name = "expire_claims";
    static constexpr auto members = std::tuple{member{"now", &type::now}};
};

template <>
struct description<directory::claim_result>
{
    using type = directory::claim_result;
    static constexpr std::string_view name = "claim_answer";
    static constexpr auto members =
        std::tuple{member{"verdict", &type::outcome}, member{"answer", &type::answer}};
};

template <>
struct description<directory::directory_state>
{
    using type = directory::directory_state;
    static constexpr std::string_view name = "directory_state";
    static constexpr auto members = std::tuple{
        member{"configuration", &type::configuration},
        member{"changes", &type::change_answers},
        member{"change_order", &type::change_ids_by_age},
        member{"next_change", &type::next_change_number},
        member{"groups", &type::groups},
        member{"entry_hosts", &type::entry_hosts},
        member{"claims", &type::claims},
        member{"servers", &type::servers},
        member{"departed", &type::departed},
    };
};

} // namespace hickorymount::codec

#pragma once

#include "codec/description.h"
#include "consensus/types.h"
#include "directory/descriptions.h"

namespace hickorymount::codec {

template <>
struct description<consensus::member>
{
    using type = consensus::member;
    static constexpr std::string_view name = "member";
    static constexpr auto members =
        std::tuple{member{"name", &type::name}, member{"identity", &type::identity}};
};

template <>
struct description<consensus::membership>
{
    using type = consensus::membership;
    static constexpr std::string_view name = "membership";
    static constexpr auto members =
        std::tuple{member{"voters", &type::voters}, member{"learners", &type::learners},
                   member{"outgoing_voters", &type::outgoing_voters}};
};

template <>
struct description<consensus::no_operation>
{
    static constexpr std::string_view name = "no_operation";
    static constexpr auto members = std::tuple{};
};

template <>
struct description<directory::command>
{
    static constexpr std::string_view name = "command";
};

template <>
struct description<consensus::log_entry>
{
    using type = consensus::log_entry;
    static constexpr std::string_view name = "log_entry";
    static constexpr auto members = std::tuple{member{"index", &type::index}, member{"term", &type::term},
                                               member{"content", &type::content}};
};

template <>
struct description<consensus::hard_state>
{
    using type = consensus::hard_state;
    static constexpr std::string_view name = "hard_state";
    static constexpr auto members =
        std::tuple{member{"term", &type::term}, member{"voted_for", &type::voted_for}};
};

template <>
struct description<consensus::snapshot>
{
    using type = consensus::snapshot;
    static constexpr std::string_view name = "snapshot";
    static constexpr auto members =
        std::tuple{member{"last_index", &type::last_index}, member{"last_term", &type::last_term},
                   member{"members", &type::members}, member{"directory", &type::directory}};
};

template <>
struct description<consensus::vote_request>
{
    using type = consensus::vote_request;
    static constexpr std::string_view name = "vote_request";
    static constexpr auto members = std::tuple{
        member{"pre_vote", &type::is_pre_vote}, member{"term", &type::term},
        member{"candidate", &type::candidate},  member{"last_index", &type::last_index},
        member{"last_term", &type::last_term},
    };
};

template <>
struct description<consensus::vote_response>
{
    using type = consensus::vote_response;
    static constexpr std::string_view name = "vote_answer";
    static constexpr auto members =
        std::tuple{member{"pre_vote", &type::is_pre_vote}, member{"term", &type::term},
                   member{"voter", &type::voter}, member{"granted", &type::is_granted}};
};

template <>
struct description<consensus::append_entries_request>
{
    using type = consensus::append_entries_request;
    static constexpr std::string_view name = "append_request";
    static constexpr auto members = std::tuple{
        member{"term", &type::term},
        member{"leader", &type::leader},
        member{"previous_index", &type::previous_index},
        member{"previous_term", &type::previous_term},
        member{"entries", &type::entries},
        member{"commit", &type::commit_index},
        member{"round", &type::round},
    };
};

template <>
struct description<consensus::append_entries_response>
{
    using type = consensus::append_entries_response;
    static constexpr std::string_view name = "append_answer";
    static constexpr auto members =
        std::tuple{member{"term", &type::term}, member{"follower", &type::follower},
                   member{"accepted", &type::is_accepted}, member{"match", &type::match_index},
                   member{"round", &type::round}};
};

template <>
struct description<consensus::install_snapshot_request>
{
    using type = consensus::install_snapshot_request;
    static constexpr std::string_view name = "install_request";
    static constexpr auto members =
        std::tuple{member{"term", &type::term}, member{"leader", &type::leader},
                   member{"content", &type::content}, member{"round", &type::round}};
};

template <>
struct description<consensus::join_request>
{
    using type = consensus::join_request;
    static constexpr std::string_view name = "join_request";
    static constexpr auto members = std::tuple{member{"joining", &type::joining}};
};

template <>
struct description<consensus::member_hint>
{
    using type = consensus::member_hint;
    static constexpr std::string_view name = "member_hint";
    static constexpr auto members = std::tuple{member{"voters", &type::voters}};
};

template <>
struct description<consensus::leave_request>
{
    using type = consensus::leave_request;
    static constexpr std::string_view name = "leave_request";
    static constexpr auto members = std::tuple{member{"leaving", &type::leaving}};
};

template <>
struct description<consensus::departure_requested>
{
    static constexpr std::string_view name = "departure_requested";
    static constexpr auto members = std::tuple{};
};

template <>
struct description<consensus::persist_log>
{
    using type = consensus::persist_log;
    static constexpr std::string_view name = "persist_log";
    static constexpr auto members =
        std::tuple{member{"id", &type::id}, member{"hard", &type::persistent_state},
                   member{"truncate_from", &type::truncate_from}, member{"entries", &type::entries}};
};

template <>
struct description<consensus::persist_snapshot>
{
    using type = consensus::persist_snapshot;
    static constexpr std::string_view name = "persist_snapshot";
    static constexpr auto members =
        std::tuple{member{"id", &type::id}, member{"hard", &type::persistent_state},
                   member{"content", &type::content}, member{"entries", &type::entries}};
};

template <>
struct description<consensus::stored_state>
{
    using type = consensus::stored_state;
    static constexpr std::string_view name = "stored_state";
    static constexpr auto members =
        std::tuple{member{"identity", &type::identity}, member{"hard", &type::persistent_state},
                   member{"latest", &type::latest_snapshot}, member{"entries", &type::entries}};
};

template <>
struct description<consensus::cluster_formation_requested>
{
    using type = consensus::cluster_formation_requested;
    static constexpr std::string_view name = "formed";
    static constexpr auto members = std::tuple{member{"members", &type::members}};
};

template <>
struct description<consensus::contacts_changed>
{
    using type = consensus::contacts_changed;
    static constexpr std::string_view name = "contacts_named";
    static constexpr auto members = std::tuple{member{"contacts", &type::contacts}};
};

template <>
struct description<consensus::sync_completed>
{
    using type = consensus::sync_completed;
    static constexpr std::string_view name = "synced";
    static constexpr auto members = std::tuple{member{"id", &type::id}};
};

} // namespace hickorymount::codec

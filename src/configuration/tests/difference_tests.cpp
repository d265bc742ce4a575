#include "codec/json_codec.h"
#include "configuration/descriptions.h"
#include "configuration/difference.h"

#include <algorithm>
#include <string>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace hickorymount::configuration {
namespace {

class difference_fixture : public ::testing::Test
{
protected:
    static database_route route(int index, milliseconds timeout = milliseconds{800})
    {
        database_route created;
        created.name = fmt::format("r-{:07}", index);
        created.database = fmt::format("tenant{:05}", index);
        created.path_prefix = "/";
        created.group = group_name{"orders"};
        created.statement_timeout = timeout;
        return created;
    }

    static versioned_configuration version_with(configuration_version version, int routes)
    {
        versioned_configuration created;
        created.version = version;
        created.content.groups[group_name{"orders"}].connections = 20;
        created.content.source_document = "document " + std::to_string(version);
        for (int index = 0; index < routes; ++index) {
            created.content.database_routes.push_back(route(index));
        }
        return created;
    }

    static versioned_configuration sorted(versioned_configuration value)
    {
        std::sort(value.content.database_routes.begin(), value.content.database_routes.end(),
                  [](const database_route& left, const database_route& right) {
                      return left.database < right.database;
                  });
        return value;
    }

    /// Expects that the difference turns `base` into `target`, also after encoding and decoding.
    static void expect_round_trip(const versioned_configuration& base, const versioned_configuration& target)
    {
        const configuration_difference difference = make_difference(base, target);
        const versioned_configuration applied = handle_failure(
            [&]() -> result<versioned_configuration> {
                BOOST_LEAF_AUTO(document, codec::parse_cbor(codec::to_cbor(codec::encode(difference)),
                                                            codec::peer_input_limits, "control-1"));
                BOOST_LEAF_AUTO(decoded, codec::decode<configuration_difference>(document, "control-1"));
                EXPECT_EQ(decoded, difference);
                return apply_difference(without_operator_texts(base), decoded);
            },
            [](const failure& error) {
                ADD_FAILURE() << to_string(error);
                return versioned_configuration{};
            });
        EXPECT_EQ(sorted(applied), sorted(without_operator_texts(target)));
    }

    static std::string apply_error(const versioned_configuration& base,
                                   const configuration_difference& difference)
    {
        return handle_failure(
            [&]() -> result<std::string> {
                BOOST_LEAF_CHECK(apply_difference(base, difference));
                return std::string();
            },
            [](const failure& error) { return error.reason; });
    }
};

TEST_F(difference_fixture, difference_from_nothing_is_complete_and_replaces_any_version)
{
    expect_round_trip({}, version_with(5, 40));
    const versioned_configuration target = version_with(5, 3);
    const versioned_configuration applied =
        handle_failure([&] { return apply_difference(version_with(2, 40), make_difference({}, target)); },
                       [](const failure&) { return versioned_configuration{}; });
    EXPECT_EQ(sorted(applied), sorted(without_operator_texts(target)));
}

TEST_F(difference_fixture, added_removed_and_changed_routes_are_applied)
{
    const versioned_configuration base = version_with(5, 40);
    versioned_configuration target = version_with(9, 60);
    target.content.database_routes.erase(target.content.database_routes.begin() + 10);
    target.content.database_routes[20].statement_timeout = milliseconds{900};
    target.content.database_routes[21].group = group_name{"sales"};
    const configuration_difference difference = make_difference(base, target);
    EXPECT_EQ(difference.removed_routes.size(), 1U);
    EXPECT_EQ(difference.changed_routes.databases.size(), 22U);
    EXPECT_FALSE(difference.settings.has_value());
    expect_round_trip(base, target);
}

TEST_F(difference_fixture, changed_settings_are_applied_and_routes_stay)
{
    const versioned_configuration base = version_with(5, 40);
    versioned_configuration target = version_with(6, 40);
    target.content.transaction_idle_timeout = milliseconds{4000};
    target.content.groups[group_name{"sales"}].connections = 7;
    EXPECT_TRUE(make_difference(base, target).changed_routes.databases.empty());
    expect_round_trip(base, target);
}

TEST_F(difference_fixture, same_database_with_another_prefix_is_another_route)
{
    const versioned_configuration base = version_with(5, 2);
    versioned_configuration target = version_with(6, 2);
    target.content.database_routes[1].path_prefix = "/v2";
    EXPECT_EQ(make_difference(base, target).removed_routes.size(), 1U);
    expect_round_trip(base, target);
}

TEST_F(difference_fixture, routes_that_differ_in_name_only_take_few_bytes_each)
{
    constexpr int routes = 1400;
    constexpr std::size_t bytes_per_route = 16;
    const auto encoded_size = [](const versioned_configuration& base, const versioned_configuration& target) {
        return codec::to_cbor(codec::encode(make_difference(base, target))).size();
    };
    EXPECT_LT(encoded_size({}, version_with(5, routes)), routes * bytes_per_route);
    versioned_configuration changed = version_with(6, routes);
    changed.content.database_routes[7].statement_timeout = milliseconds{900};
    EXPECT_LT(encoded_size(version_with(5, routes), changed), 512U);
}

TEST_F(difference_fixture, another_base_is_refused)
{
    const configuration_difference difference = make_difference(version_with(5, 3), version_with(6, 4));
    EXPECT_EQ(apply_error(version_with(4, 3), difference),
              "version 6 changes version 5, expected a change of 4");
}

TEST_F(difference_fixture, settings_or_columns_that_are_missing_are_refused)
{
    configuration_difference difference = make_difference({}, version_with(6, 4));
    difference.changed_routes.settings_indexes[2] = 9;
    EXPECT_EQ(apply_error({}, difference), "route of 'tenant00002' has settings 9, expected less than 1");
    difference.changed_routes.settings_indexes.pop_back();
    EXPECT_EQ(apply_error({}, difference), "expected settings of 4 routes, found 3");
}

} // namespace
} // namespace hickorymount::configuration

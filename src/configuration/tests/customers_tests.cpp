#include "codec/json_codec.h"
#include "configuration/descriptions.h"
#include "configuration/difference.h"
#include "configuration/key_digest.h"

#include <string>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace hickorymount::configuration {
namespace {

class customers_fixture : public ::testing::Test
{
protected:
    static customer_settings customer(const std::string& key, double rate = 100)
    {
        return {1, operation_limit{rate, rate}, {digest_of_key(key), digest_of_key(key + "-second")}};
    }

    static versioned_configuration version_with(configuration_version version, int customers)
    {
        versioned_configuration created;
        created.version = version;
        created.content.identifies_customers = true;
        for (int index = 0; index < customers; ++index) {
            const std::string name = fmt::format("customer{:04}", index);
            created.content.customers[customer_name{name}] = customer("key of " + name);
        }
        return created;
    }

    static versioned_configuration applied(const versioned_configuration& base,
                                           const configuration_difference& difference)
    {
        return handle_failure(
            [&]() -> result<versioned_configuration> { return apply_difference(base, difference); },
            [](const failure& error) {
                ADD_FAILURE() << error.reason;
                return versioned_configuration{};
            });
    }

    static std::size_t encoded_bytes(const configuration_difference& difference)
    {
        return codec::to_cbor(codec::encode(difference)).size();
    }
};

TEST_F(customers_fixture, digest_of_equal_keys_is_equal_and_contains_no_key)
{
    const key_digest digest = digest_of_key("sujqurtyiikdrbn4ryrb");
    EXPECT_EQ(digest, digest_of_key("sujqurtyiikdrbn4ryrb"));
    EXPECT_NE(digest, digest_of_key("sujqurtyiikdrbn4ryrc"));
    EXPECT_EQ(digest.value.size(), 32U);
    EXPECT_EQ(digest.value.find("sujq"), std::string::npos);
}

TEST_F(customers_fixture, key_of_two_customers_is_an_error_that_names_both_and_not_the_key)
{
    configuration candidate;
    candidate.customers[customer_name{"first"}] = customer("shared");
    candidate.customers[customer_name{"second"}] = customer("shared");
    EXPECT_EQ(first_customer_error(candidate), "customers 'first' and 'second' have a key in common");
}

TEST_F(customers_fixture, key_listed_twice_by_one_customer_is_accepted)
{
    configuration candidate;
    candidate.customers[customer_name{"first"}].keys = {digest_of_key("same"), digest_of_key("same")};
    EXPECT_EQ(first_customer_error(candidate), "");
}

TEST_F(customers_fixture, negative_limit_is_an_error)
{
    configuration candidate;
    candidate.customers[customer_name{"first"}] = customer("a", -1);
    EXPECT_EQ(first_customer_error(candidate), "customer 'first' has a negative limit of operations");
    candidate.customers[customer_name{"first"}].limit = operation_limit{1, -1};
    EXPECT_EQ(first_customer_error(candidate), "customer 'first' has a negative burst");
}

TEST_F(customers_fixture, difference_carries_only_the_customers_that_changed)
{
    const versioned_configuration base = version_with(3, 84);
    versioned_configuration target = base;
    target.version = 4;
    target.content.customers[customer_name{"customer0003"}].limit = operation_limit{5, 5};
    target.content.customers.erase(customer_name{"customer0010"});
    target.content.customers[customer_name{"new"}] = customer("key of new");

    const configuration_difference difference = make_difference(base, target);

    EXPECT_EQ(difference.changed_customers.size(), 2U);
    EXPECT_EQ(difference.removed_customers, std::vector{customer_name{"customer0010"}});
    EXPECT_FALSE(difference.settings);
    EXPECT_EQ(applied(base, difference), target);
}

TEST_F(customers_fixture, customers_survive_a_change_of_other_settings)
{
    const versioned_configuration base = version_with(3, 5);
    versioned_configuration target = base;
    target.version = 4;
    target.content.groups[group_name{"orders"}].connections = 9;
    EXPECT_EQ(applied(base, make_difference(base, target)), target);
}

TEST_F(customers_fixture, first_version_takes_under_a_tenth_of_a_second_of_a_2_mbit_link)
{
    constexpr int count = 84;
    constexpr std::size_t bytes_in_a_tenth_of_a_second = 25'000;
    const configuration_difference difference = make_difference({}, version_with(1, count));
    EXPECT_EQ(difference.changed_customers.size(), static_cast<std::size_t>(count));
    EXPECT_LT(encoded_bytes(difference), bytes_in_a_tenth_of_a_second);
    EXPECT_EQ(applied({}, difference), version_with(1, count));
}

} // namespace
} // namespace hickorymount::configuration

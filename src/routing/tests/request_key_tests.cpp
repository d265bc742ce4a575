#include "routing/internal/request_key.h"

#include <gtest/gtest.h>

namespace hickorymount::routing::detail {
namespace {

class request_key_fixture : public ::testing::Test
{
};

TEST_F(request_key_fixture, well_formed_key_gives_its_creation_time)
{
    EXPECT_EQ(key_time(request_key{"1764000000-order-17"}), unix_milliseconds{1'764'000'000'000});
}

TEST_F(request_key_fixture, malformed_key_gives_no_creation_time)
{
    for (const char* key :
         {"", "order-17", "1764000000", "1764000000-", "-5-a", "17640 00000-a", "99999999999999999999-a"}) {
        EXPECT_FALSE(key_time(request_key{key}).has_value()) << key;
    }
}

TEST_F(request_key_fixture, hash_of_different_class_or_statement_differs)
{
    caller_request one;
    one.request_class = class_name{"order"};
    one.statement = "add orders 1";
    caller_request other = one;
    EXPECT_EQ(statement_hash(one), statement_hash(other));
    other.statement = "add orders 2";
    EXPECT_NE(statement_hash(one), statement_hash(other));
    other = one;
    other.request_class = class_name{"credit"};
    EXPECT_NE(statement_hash(one), statement_hash(other));
}

} // namespace
} // namespace hickorymount::routing::detail

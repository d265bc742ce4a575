#include "fuzzing/value_generator.h"
#include "protocol/descriptions.h"
#include "protocol/message_codec.h"

#include <optional>
#include <string>

#include <gtest/gtest.h>

namespace hickorymount::protocol {

class message_codec_properties_fixture : public ::testing::Test
{
protected:
    static constexpr int rounds = 2000;

    static std::optional<message> decoded(const std::string& bytes)
    {
        return handle_failure(
            [&]() -> result<std::optional<message>> {
                BOOST_LEAF_AUTO(value, decode(bytes, "entry-1"));
                return std::optional(std::move(value));
            },
            [](const failure&) { return std::optional<message>(); });
    }

    message make_message()
    {
        auto value = m_values.make<message>();
        if (auto* list = std::get_if<server_reports>(&value)) {
            // The decoder removes reports that can't be used.
            for (server_report& report : list->reports) {
                report.name.value = "orders-1";
                report.group.value = "orders";
                report.zone.value = "casa-a";
                report.address = {"127.0.0.1", 80};
                report.started_at = unix_milliseconds{1};
                report.sequence = 1;
            }
        }
        return value;
    }

    fuzzing::byte_generator m_bytes{22, {}};
    fuzzing::value_generator m_values{m_bytes};
};

TEST_F(message_codec_properties_fixture, message_of_any_content_is_equal_after_encoding_and_decoding)
{
    for (int round = 0; round < rounds; ++round) {
        const message original = make_message();
        const auto again = decoded(encode(original));
        ASSERT_TRUE(again) << kind_of(original) << " in round " << round;
        ASSERT_EQ(*again, original) << kind_of(original) << " in round " << round;
    }
}

TEST_F(message_codec_properties_fixture, damaged_message_is_an_error_or_a_value_that_can_be_encoded)
{
    int errors = 0;
    for (int round = 0; round < rounds * 5; ++round) {
        const auto value = decoded(m_bytes.mutated(encode(make_message())));
        if (!value) {
            ++errors;
            continue;
        }
        const std::string bytes = encode(*value);
        const auto again = decoded(bytes);
        ASSERT_TRUE(again) << kind_of(*value) << " in round " << round;
        ASSERT_EQ(encode(*again), bytes) << kind_of(*value) << " in round " << round;
    }
    EXPECT_GT(errors, rounds);
}

TEST_F(message_codec_properties_fixture, arbitrary_bytes_are_an_error)
{
    for (int round = 0; round < rounds * 5; ++round) {
        ASSERT_FALSE(decoded(m_bytes.bytes(30))) << round;
    }
}

TEST_F(message_codec_properties_fixture, deep_input_is_an_error_for_every_kind_of_nesting)
{
    // A list of one element, a list and an object without a length, and an object with an empty name.
    for (const std::string& level : {std::string("\x81"), std::string("\x9f"), std::string("\xbf\x60"),
                                     std::string("\xa1\x60"), std::string("\xc6")}) {
        std::string bytes;
        for (int depth = 0; depth < 100'000; ++depth) {
            bytes += level;
        }
        EXPECT_FALSE(decoded(bytes));
    }
}

} // namespace hickorymount::protocol

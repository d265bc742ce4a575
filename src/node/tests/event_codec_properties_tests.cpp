#include "fuzzing/value_generator.h"
#include "node/descriptions.h"
#include "node/event_codec.h"

#include <optional>
#include <string>

#include <gtest/gtest.h>

namespace hickorymount::node {

class event_codec_properties_fixture : public ::testing::Test
{
protected:
    static constexpr int rounds = 2000;

    static std::optional<node_event> decoded(const std::string& line)
    {
        return handle_failure(
            [&]() -> result<std::optional<node_event>> {
                BOOST_LEAF_AUTO(value, decode_event(line));
                return std::optional(std::move(value));
            },
            [](const failure&) { return std::optional<node_event>(); });
    }

    fuzzing::byte_generator m_bytes{22, {"{", "}", "[", "]", "null", "true", "1e999", "-1", "\"\\ud800\""}};
    fuzzing::value_generator m_values{m_bytes};
};

TEST_F(event_codec_properties_fixture, event_of_any_content_is_equal_after_encoding_and_decoding)
{
    for (int round = 0; round < rounds; ++round) {
        const auto original = m_values.make<node_event>();
        const std::string line = encode(original);
        ASSERT_EQ(line.find('\n'), std::string::npos) << round;
        ASSERT_EQ(decoded(line), original) << line.substr(0, 400);
    }
}

TEST_F(event_codec_properties_fixture, damaged_event_is_an_error_or_a_value_that_can_be_encoded)
{
    for (int round = 0; round < rounds * 5; ++round) {
        const auto value = decoded(m_bytes.mutated(encode(m_values.make<node_event>())));
        if (value) {
            ASSERT_EQ(decoded(encode(*value)), value) << round;
        }
    }
}

TEST_F(event_codec_properties_fixture, arbitrary_bytes_are_an_error)
{
    for (int round = 0; round < rounds * 5; ++round) {
        ASSERT_FALSE(decoded(m_bytes.bytes(30))) << round;
    }
}

} // namespace hickorymount::node

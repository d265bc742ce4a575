#include "configuration/questionnaire.h"

#include <string>

#include <gtest/gtest.h>

namespace hickorymount::configuration {
namespace {

constexpr const char* good = R"([deployment]
name = "heads-ledger"
tenant = "tambour-vert"
availability_zones = ["casa-a", "fes-a"]
entry_hosts = 7

[[service]]
name = "exchange"
instances = 3
slots = 3
connections = 20
connection_cost = "12ms"

[[class]]
name = "catalogue"
kind = "read"
max_age = "5s"
deadline = "2s"
queue_limit = 64

[[class]]
name = "booking"
kind = "write"
repeat = "never"
key_retention = "24h"
deadline = "4s"
queue_limit = 32
)";

std::string replaced(const std::string& from, const std::string& into)
{
    std::string text = good;
    const std::size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), into);
}

class questionnaire_fixture : public ::testing::Test
{
protected:
    static configuration generated(const std::string& text)
    {
        const questionnaire_result made = generate(text, "q.toml");
        const auto* good = std::get_if<configuration>(&made);
        return good == nullptr ? configuration{} : *good;
    }
};

TEST_F(questionnaire_fixture, good_questionnaire_generates_its_settings)
{
    const configuration made = generated(good);
    ASSERT_EQ(made.groups.size(), 1U);
    EXPECT_EQ(made.groups.at(group_name{"exchange"}).connection_cost, milliseconds{12});
    EXPECT_EQ(made.classes.at(class_name{"catalogue"}).max_age, milliseconds{5000});
    EXPECT_FALSE(made.classes.at(class_name{"booking"}).repeatable);
    EXPECT_EQ(made.classes.at(class_name{"booking"}).key_retention, milliseconds{86'400'000});
}

TEST_F(questionnaire_fixture, difference_names_the_settings_that_change)
{
    const auto lines = differences(generated(good), generated(replaced("\"5s\"", "\"9s\"")));
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NE(lines[0].find("5000 -> 9000"), std::string::npos) << lines[0];
}

TEST_F(questionnaire_fixture, several_mistakes_are_all_reported)
{
    std::string text = replaced("slots = 3", "slots = 0");
    text.replace(text.find("\"4s\""), 4, "\"4 s\"");
    const questionnaire_result made = generate(text, "q.toml");
    const auto* problems = std::get_if<std::vector<questionnaire_problem>>(&made);
    ASSERT_NE(problems, nullptr);
    EXPECT_GE(problems->size(), 2U);
}

struct bad_row
{
    const char* name;
    const char* from;
    const char* into;
    std::uint32_t line;
    const char* expected;
};

class bad_questionnaire_fixture : public ::testing::TestWithParam<bad_row>
{
};

TEST_P(bad_questionnaire_fixture, mistake_is_refused_with_its_place)
{
    const questionnaire_result made = generate(replaced(GetParam().from, GetParam().into), "q.toml");
    const auto* problems = std::get_if<std::vector<questionnaire_problem>>(&made);
    ASSERT_NE(problems, nullptr);
    ASSERT_FALSE(problems->empty());
    const questionnaire_problem& first = problems->front();
    EXPECT_EQ(first.file, "q.toml");
    EXPECT_EQ(first.line, GetParam().line) << to_string(first);
    EXPECT_GE(first.column, 1U);
    EXPECT_NE(first.expected.find(GetParam().expected), std::string::npos) << to_string(first);
}

INSTANTIATE_TEST_SUITE_P(
    rows, bad_questionnaire_fixture,
    ::testing::Values(
        bad_row{"unknown_key_of_deployment", "entry_hosts = 7", "entry_host = 7", 5, "not 'entry_host'"},
        bad_row{"unknown_key_of_service", "slots = 3", "slot = 3", 10, "not 'slot'"},
        bad_row{"unknown_key_of_class", "deadline = \"2s\"", "dead_line = \"2s\"", 18, "not 'dead_line'"},
        bad_row{"unknown_table", "[deployment]", "[deploymnt]", 1, "not 'deploymnt'"},
        bad_row{"wrong_unit", "\"12ms\"", "\"12sec\"", 12, "a duration"},
        bad_row{"duration_without_unit", "\"12ms\"", "\"12\"", 12, "a duration"},
        bad_row{"duration_as_number", "\"12ms\"", "12", 12, "a duration"},
        bad_row{"duration_with_space", "\"12ms\"", "\"12 ms\"", 12, "a duration"},
        bad_row{"negative_age", "\"5s\"", "\"-5s\"", 17, "from 0ms"},
        bad_row{"age_beyond_limit", "\"5s\"", "\"25h\"", 17, "from 0ms"},
        bad_row{"negative_count", "slots = 3", "slots = -3", 10, "a whole number"},
        bad_row{"zero_count", "instances = 3", "instances = 0", 9, "a whole number"},
        bad_row{"count_as_text", "slots = 3", "slots = \"3\"", 10, "a whole number"},
        bad_row{"count_as_fraction", "slots = 3", "slots = 3.5", 10, "a whole number"},
        bad_row{"slots_beyond_connections", "slots = 3", "slots = 30", 10, "no more than 'connections'"},
        bad_row{"connections_below_entry_hosts", "connections = 20", "connections = 6", 11, "at least 7"},
        bad_row{"too_many_entry_hosts", "entry_hosts = 7", "entry_hosts = 501", 5, "from 1 to 500"},
        bad_row{"name_with_capital", "\"exchange\"", "\"Exchange\"", 8, "a name"},
        bad_row{"empty_name", "\"exchange\"", "\"\"", 8, "a name"},
        bad_row{"name_as_number", "name = \"exchange\"", "name = 4", 8, "a name"},
        bad_row{"no_zones", "[\"casa-a\", \"fes-a\"]", "[]", 4, "one name or more"},
        bad_row{"zone_twice", "\"fes-a\"", "\"casa-a\"", 4, "stands twice"},
        bad_row{
            "duplicate_service", "[[class]]\nname = \"catalogue\"",
            "[[service]]\nname = \"exchange\"\ninstances = 3\nslots = 3\nconnections = 20\nconnection_cost = "
            "\"12ms\"\n\n[[class]]\nname = \"catalogue\"",
            14, "stands twice"},
        bad_row{"duplicate_class", "\"booking\"", "\"catalogue\"", 21, "stands twice"},
        bad_row{"unknown_kind", "kind = \"read\"", "kind = \"reads\"", 16, "\"read\" or \"write\""},
        bad_row{"missing_kind", "kind = \"read\"\n", "", 14, "'kind', which is missing"},
        bad_row{"missing_deadline", "deadline = \"2s\"\n", "", 14, "'deadline', which is missing"},
        bad_row{"zero_deadline", "deadline = \"2s\"", "deadline = \"0ms\"", 18, "longer than 0ms"},
        bad_row{"age_on_a_write", "repeat = \"never\"", "max_age = \"1s\"\nrepeat = \"never\"", 24,
                "kind \"read\""},
        bad_row{"acknowledgement_on_a_read", "max_age = \"5s\"", "acknowledged_by = \"replica\"", 17,
                "kind \"write\""},
        bad_row{"never_repeat_on_a_read", "max_age = \"5s\"", "repeat = \"never\"", 17, "kind \"write\""},
        bad_row{"retention_of_a_repeatable_class", "max_age = \"5s\"", "key_retention = \"5s\"", 17,
                "beside repeat"},
        bad_row{"retention_below_deadline", "\"24h\"", "\"1s\"", 25, "at least the class's deadline"},
        bad_row{"missing_retention", "key_retention = \"24h\"\n", "", 21, "at least the class's deadline"},
        bad_row{"not_toml", "[deployment]", "[deployment", 1, "valid TOML"},
        bad_row{"service_as_a_table", "[[service]]", "[service]", 7, "a list of tables"}),
    [](const auto& info) { return info.param.name; });

} // namespace
} // namespace hickorymount::configuration

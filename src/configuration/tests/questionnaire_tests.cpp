#include "base/names.h"
#include "configuration/questionnaire.h"

#include <string>

#include <gtest/gtest.h>

namespace hickorymount::configuration {
namespace {

constexpr const char* valid_questionnaire = R"([deployment]
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

std::string with_replacement(const std::string& original, const std::string& replacement)
{
    std::string text = valid_questionnaire;
    const std::size_t position = text.find(original);
    EXPECT_NE(position, std::string::npos) << original;
    return text.replace(position, original.size(), replacement);
}

class questionnaire_fixture : public ::testing::Test
{
protected:
    static configuration generated(const std::string& text)
    {
        const questionnaire_result result = generate(text, "q.toml");
        const auto* content = std::get_if<configuration>(&result);
        return content == nullptr ? configuration{} : *content;
    }
};

TEST_F(questionnaire_fixture, valid_questionnaire_generates_its_settings)
{
    const configuration content = generated(valid_questionnaire);
    ASSERT_EQ(content.groups.size(), 1U);
    EXPECT_EQ(content.groups.at(group_name{"exchange"}).connection_setup_time, milliseconds{12});
    EXPECT_EQ(content.classes.at(class_name{"catalogue"}).max_age, milliseconds{5000});
    EXPECT_FALSE(content.classes.at(class_name{"booking"}).repeatable);
    EXPECT_EQ(content.classes.at(class_name{"booking"}).key_retention, milliseconds{86'400'000});
}

TEST_F(questionnaire_fixture, differences_of_two_configurations_list_the_changed_setting)
{
    const auto lines =
        differences(generated(valid_questionnaire), generated(with_replacement("\"5s\"", "\"9s\"")));
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_NE(lines[0].find("5000 -> 9000"), std::string::npos) << lines[0];
}

TEST_F(questionnaire_fixture, questionnaire_with_several_errors_reports_all_of_them)
{
    std::string text = with_replacement("slots = 3", "slots = 0");
    text.replace(text.find("\"4s\""), 4, "\"4 s\"");
    const questionnaire_result result = generate(text, "q.toml");
    const auto* problems = std::get_if<std::vector<questionnaire_problem>>(&result);
    ASSERT_NE(problems, nullptr);
    EXPECT_GE(problems->size(), 2U);
}

// Guards against a questionnaire of another writer that acts on the operator's terminal.
TEST_F(questionnaire_fixture, problem_is_one_line_without_control_characters)
{
    const std::string texts[] = {with_replacement("entry_hosts = 7", R"("\u001b[2J\r\nok" = 7)"),
                                 with_replacement("entry_hosts = 7", R"("\u009b2J" = 7)"),
                                 with_replacement("\"casa-a\"", "\"casa\x1b[2J\""),
                                 with_replacement("\"exchange\"", "\"exch\xff\""),
                                 with_replacement("[[service]]", "[[\"\\u001b\"]]")};
    for (const std::string& text : texts) {
        const questionnaire_result result = generate(text, "q\x1b.toml");
        const auto* problems = std::get_if<std::vector<questionnaire_problem>>(&result);
        ASSERT_NE(problems, nullptr);
        for (const questionnaire_problem& problem : *problems) {
            EXPECT_TRUE(is_line_text(to_string(problem))) << escaped(to_string(problem));
        }
    }
}

TEST_F(questionnaire_fixture, difference_is_one_line_without_control_characters)
{
    configuration odd;
    odd.tenant.value = "a\x1b[2J\r\n\x7f\xc2\x9b";
    for (const std::string& line : differences({}, odd)) {
        EXPECT_TRUE(is_line_text(line)) << escaped(line);
    }
}

struct invalid_case
{
    const char* name;
    const char* original;
    const char* replacement;
    std::uint32_t line;
    const char* expected;
};

class invalid_questionnaire_fixture : public ::testing::TestWithParam<invalid_case>
{
};

TEST_P(invalid_questionnaire_fixture, questionnaire_with_an_error_is_rejected_with_its_position)
{
    const questionnaire_result result =
        generate(with_replacement(GetParam().original, GetParam().replacement), "q.toml");
    const auto* problems = std::get_if<std::vector<questionnaire_problem>>(&result);
    ASSERT_NE(problems, nullptr);
    ASSERT_FALSE(problems->empty());
    const questionnaire_problem& first = problems->front();
    EXPECT_EQ(first.file, "q.toml");
    EXPECT_EQ(first.line, GetParam().line) << to_string(first);
    EXPECT_GE(first.column, 1U);
    EXPECT_NE(first.expected.find(GetParam().expected), std::string::npos) << to_string(first);
}

INSTANTIATE_TEST_SUITE_P(
    cases, invalid_questionnaire_fixture,
    ::testing::Values(
        invalid_case{"unknown_key_of_deployment", "entry_hosts = 7", "entry_host = 7", 5, "not 'entry_host'"},
        invalid_case{"unknown_key_of_service", "slots = 3", "slot = 3", 10, "not 'slot'"},
        invalid_case{"unknown_key_of_class", "deadline = \"2s\"", "dead_line = \"2s\"", 18,
                     "not 'dead_line'"},
        invalid_case{"unknown_table", "[deployment]", "[deploymnt]", 1, "not 'deploymnt'"},
        invalid_case{"wrong_unit", "\"12ms\"", "\"12sec\"", 12, "a duration"},
        invalid_case{"duration_without_unit", "\"12ms\"", "\"12\"", 12, "a duration"},
        invalid_case{"duration_as_number", "\"12ms\"", "12", 12, "a duration"},
        invalid_case{"duration_with_space", "\"12ms\"", "\"12 ms\"", 12, "a duration"},
        invalid_case{"negative_age", "\"5s\"", "\"-5s\"", 17, "from 0ms"},
        invalid_case{"age_beyond_limit", "\"5s\"", "\"25h\"", 17, "from 0ms"},
        invalid_case{"negative_count", "slots = 3", "slots = -3", 10, "a whole number"},
        invalid_case{"zero_count", "instances = 3", "instances = 0", 9, "a whole number"},
        invalid_case{"count_as_text", "slots = 3", "slots = \"3\"", 10, "a whole number"},
        invalid_case{"count_as_fraction", "slots = 3", "slots = 3.5", 10, "a whole number"},
        invalid_case{"slots_beyond_connections", "slots = 3", "slots = 30", 10, "no more than 'connections'"},
        invalid_case{"connections_below_entry_hosts", "connections = 20", "connections = 6", 11,
                     "at least 7"},
        invalid_case{"too_many_entry_hosts", "entry_hosts = 7", "entry_hosts = 501", 5, "from 1 to 500"},
        invalid_case{"name_with_capital", "\"exchange\"", "\"Exchange\"", 8, "a name"},
        invalid_case{"empty_name", "\"exchange\"", "\"\"", 8, "a name"},
        invalid_case{"name_of_a_dash", "\"exchange\"", "\"-\"", 8, "a name"},
        invalid_case{"name_with_line_break", "\"exchange\"", R"("a\r\nb")", 8, "a name"},
        invalid_case{"zone_with_a_blank", "\"fes-a\"", "\"fes a\"", 4, "a name"},
        invalid_case{"name_as_number", "name = \"exchange\"", "name = 4", 8, "a name"},
        invalid_case{"no_zones", "[\"casa-a\", \"fes-a\"]", "[]", 4, "one name or more"},
        invalid_case{"zone_twice", "\"fes-a\"", "\"casa-a\"", 4, "stands twice"},
        invalid_case{
            "duplicate_service", "[[class]]\nname = \"catalogue\"",
            "[[service]]\nname = \"exchange\"\ninstances = 3\nslots = 3\nconnections = 20\nconnection_cost = "
            "\"12ms\"\n\n[[class]]\nname = \"catalogue\"",
            14, "stands twice"},
        invalid_case{"duplicate_class", "\"booking\"", "\"catalogue\"", 21, "stands twice"},
        invalid_case{"unknown_kind", "kind = \"read\"", "kind = \"reads\"", 16, "\"read\" or \"write\""},
        invalid_case{"missing_kind", "kind = \"read\"\n", "", 14, "'kind', which is missing"},
        invalid_case{"missing_deadline", "deadline = \"2s\"\n", "", 14, "'deadline', which is missing"},
        invalid_case{"zero_deadline", "deadline = \"2s\"", "deadline = \"0ms\"", 18, "longer than 0ms"},
        invalid_case{"age_on_a_write", "repeat = \"never\"", "max_age = \"1s\"\nrepeat = \"never\"", 24,
                     "kind \"read\""},
        invalid_case{"acknowledgement_on_a_read", "max_age = \"5s\"", "acknowledged_by = \"replica\"", 17,
                     "kind \"write\""},
        invalid_case{"never_repeat_on_a_read", "max_age = \"5s\"", "repeat = \"never\"", 17,
                     "kind \"write\""},
        invalid_case{"retention_of_a_repeatable_class", "max_age = \"5s\"", "key_retention = \"5s\"", 17,
                     "beside repeat"},
        invalid_case{"retention_below_deadline", "\"24h\"", "\"1s\"", 25, "at least the class's deadline"},
        invalid_case{"missing_retention", "key_retention = \"24h\"\n", "", 21,
                     "at least the class's deadline"},
        invalid_case{"not_toml", "[deployment]", "[deployment", 1, "valid TOML"},
        invalid_case{"service_as_a_table", "[[service]]", "[service]", 7, "a list of tables"}),
    [](const auto& info) { return info.param.name; });

} // namespace
} // namespace hickorymount::configuration

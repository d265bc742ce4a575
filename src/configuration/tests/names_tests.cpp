#include "configuration/names.h"

#include <functional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace hickorymount::configuration {
namespace {

class configuration_names_fixture : public ::testing::Test
{
protected:
    configuration_names_fixture()
    {
        m_content.deployment = "heads ledger";
        m_content.tenant.value = "tambour-vert";
        m_content.zones = {availability_zone{"casa-a"}};
        m_content.groups[group_name{"orders"}] = {};
        m_content.classes[class_name{"booking"}] = {};
        m_content.customers[customer_name{"miny420"}] = {};
        database_route route;
        route.name = "the first route";
        route.database = "ledger";
        route.group.value = "orders";
        m_content.database_routes = {route};
    }

    configuration m_content;
};

TEST_F(configuration_names_fixture, valid_names_have_no_error)
{
    EXPECT_EQ(first_name_error(m_content), "");
    m_content.database_routes[0].name.clear();
    EXPECT_EQ(first_name_error(m_content), "");
    EXPECT_EQ(first_name_error({}), "");
}

// Guards against a name that ends the message in which it is sent to a server or another host.
TEST_F(configuration_names_fixture, name_that_is_no_single_field_is_an_error_with_its_place_and_value)
{
    struct change
    {
        const char* place;
        std::function<void(configuration&, const std::string&)> set;
    };
    const std::vector<change> changes = {
        {"zones: ", [](configuration& content, const std::string& name) { content.zones[0].value = name; }},
        {"groups: ",
         [](configuration& content, const std::string& name) { content.groups[group_name{name}] = {}; }},
        {"classes: ",
         [](configuration& content, const std::string& name) { content.classes[class_name{name}] = {}; }},
        {"customers: ", [](configuration& content,
                           const std::string& name) { content.customers[customer_name{name}] = {}; }},
        {"database_routes[0].database: ",
         [](configuration& content, const std::string& name) { content.database_routes[0].database = name; }},
        {"database_routes[0].group: ", [](configuration& content, const std::string& name) {
             content.database_routes[0].group.value = name;
         }}};
    const std::pair<std::string, std::string> names[] = {
        {"a\r\nQUERY x WRITE 1 2", "not 'a\\r\\nQUERY x WRITE 1 2'"},
        {"a\nb", "not 'a\\nb'"},
        {"a b", "not 'a b'"},
        {"", "not ''"},
        {"-", "not '-'"},
        {"\xff", "not '\\xff'"}};
    for (const change& each : changes) {
        for (const auto& [name, shown] : names) {
            configuration changed = m_content;
            each.set(changed, name);
            const std::string error = first_name_error(changed);
            EXPECT_TRUE(error.starts_with(each.place)) << each.place << error;
            EXPECT_TRUE(error.ends_with(shown)) << each.place << error;
        }
    }
}

TEST_F(configuration_names_fixture, control_character_in_a_descriptive_text_is_an_error)
{
    for (std::string* text :
         {&m_content.deployment, &m_content.tenant.value, &m_content.database_routes[0].name}) {
        const std::string valid = *text;
        *text = "a\x1b[2Jb";
        EXPECT_NE(first_name_error(m_content).find("not 'a\\x1b[2Jb'"), std::string::npos);
        *text = valid;
    }
}

} // namespace
} // namespace hickorymount::configuration

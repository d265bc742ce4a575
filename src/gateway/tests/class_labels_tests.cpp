#include "gateway/internal/entry_status.h"

#include <set>
#include <string>

#include <gtest/gtest.h>

namespace hickorymount::gateway::detail {
namespace {

class class_labels_fixture : public ::testing::Test
{
protected:
    class_labels_fixture()
    {
        m_content.tenant.value = "tambour-vert";
        m_content.classes[class_name{"booking"}] = {};
    }

    configuration::configuration m_content;
};

TEST_F(class_labels_fixture, class_of_the_configuration_is_named)
{
    EXPECT_EQ(class_labels(m_content, class_name{"booking"}), R"(tenant="tambour-vert",class="booking")");
}

// Guards against memory that grows with each class that a caller makes up, and against forged series.
TEST_F(class_labels_fixture, classes_that_callers_make_up_share_one_label)
{
    std::set<std::string> distinct;
    for (int number = 0; number < 1000; ++number) {
        distinct.insert(class_labels(m_content, class_name{"class" + std::to_string(number)}));
    }
    distinct.insert(class_labels(m_content, class_name{"booking\"} 1\nforged 2"}));
    distinct.insert(class_labels(m_content, class_name{}));
    EXPECT_EQ(distinct, (std::set<std::string>{R"(tenant="tambour-vert",class="unknown")"}));
}

} // namespace
} // namespace hickorymount::gateway::detail

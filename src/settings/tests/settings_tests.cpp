#include "settings/types.h"

#include <string>

#include <gtest/gtest.h>

namespace hickorymount::settings {
namespace {

class limit_settings_fixture : public testing::Test
{
protected:
    static std::optional<limits::limit_bounds> bounds_of_entry(const std::string& lines)
    {
        const std::string text =
            "name = \"entry-1\"\navailability_zone = \"a\"\ncallers = \"10.0.0.1:8080\"\n"
            "control_hosts = []\n" +
            lines;
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<limits::limit_bounds>> {
                BOOST_LEAF_AUTO(parsed, parse_entry_settings(text, "entry.toml"));
                return parsed.limit_bounds;
            },
            []() -> std::optional<limits::limit_bounds> { return std::nullopt; });
    }

    static std::optional<limits::limit_bounds> bounds_of_control(const std::string& lines)
    {
        const std::string text =
            "name = \"control-1\"\nlink = \"10.0.0.1:7100\"\noperators = \"10.0.0.1:7101\"\n"
            "data_folder = \"/tmp/x\"\ncontrol_hosts = []\n" +
            lines;
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<limits::limit_bounds>> {
                BOOST_LEAF_AUTO(parsed, parse_control_settings(text, "control.toml"));
                return parsed.limit_bounds;
            },
            []() -> std::optional<limits::limit_bounds> { return std::nullopt; });
    }
};

/// Guards against tolerances that apply where the settings name none.
TEST_F(limit_settings_fixture, settings_without_tolerances_give_exact_limits)
{
    EXPECT_EQ(bounds_of_entry(""), limits::limit_bounds{});
    EXPECT_EQ(bounds_of_control(""), limits::limit_bounds{});
}

/// Guards against values that are ignored, and against whole numbers that are refused: the platform writes
/// `5` for 5.0.
TEST_F(limit_settings_fixture, whole_and_fractional_tolerances_are_read)
{
    const std::string lines = "quota_window_s = 5\nquota_overage = 0.1\nquota_slack = 20\n";
    const limits::limit_bounds expected{milliseconds{5000}, 0.1, 20};
    EXPECT_EQ(bounds_of_entry(lines), expected);
    EXPECT_EQ(bounds_of_control(lines), expected);
    EXPECT_EQ(bounds_of_entry("quota_window_s = 2.5\n")->window, milliseconds{2500});
}

/// Guards against a window of zero or a negative tolerance, with which no bound can be computed.
TEST_F(limit_settings_fixture, impossible_tolerances_are_refused)
{
    for (const char* line : {"quota_window_s = 0\n", "quota_overage = -0.1\n", "quota_slack = -1\n",
                             "quota_slack = \"20\"\n", "quota_overage = nan\n"}) {
        EXPECT_EQ(bounds_of_entry(line), std::nullopt) << line;
        EXPECT_EQ(bounds_of_control(line), std::nullopt) << line;
    }
}

} // namespace
} // namespace hickorymount::settings

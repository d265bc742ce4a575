#include "base/shared_map.h"

#include <map>
#include <random>
#include <string>

#include <gtest/gtest.h>

namespace hickorymount {
namespace {

class shared_map_fixture : public ::testing::Test
{
protected:
    static constexpr int entries = 2000;

    static shared_map<int, std::string> filled()
    {
        shared_map<int, std::string> map;
        for (int key = 0; key < entries; ++key) {
            map = std::move(map).set(key * 7 % entries, std::to_string(key));
        }
        return map;
    }
};

TEST_F(shared_map_fixture, set_on_empty_map_holds_one_entry)
{
    const shared_map<int, int> map = shared_map<int, int>().set(3, 4);
    EXPECT_EQ(map.size(), 1U);
    ASSERT_NE(map.find(3), nullptr);
    EXPECT_EQ(*map.find(3), 4);
}

TEST_F(shared_map_fixture, change_of_a_copy_leaves_the_original)
{
    const shared_map<int, std::string> original = filled();
    const shared_map<int, std::string> changed = original.set(5, "other").erase(6);
    EXPECT_NE(*original.find(5), "other");
    EXPECT_TRUE(original.contains(6));
    EXPECT_EQ(*changed.find(5), "other");
    EXPECT_FALSE(changed.contains(6));
    EXPECT_FALSE(original == changed);
}

TEST_F(shared_map_fixture, random_changes_agree_with_std_map)
{
    std::mt19937 random(20261204);
    std::map<int, int> expected;
    shared_map<int, int> actual;
    for (int step = 0; step < 20000; ++step) {
        const int key = static_cast<int>(random() % 700);
        if (random() % 3 == 0) {
            expected.erase(key);
            actual = std::move(actual).erase(key);
        } else {
            expected[key] = step;
            actual = std::move(actual).set(key, step);
        }
    }
    ASSERT_EQ(actual.size(), expected.size());
    auto each = actual.begin();
    for (const auto& [key, value] : expected) {
        EXPECT_EQ(each->first, key);
        EXPECT_EQ(each->second, value);
        ++each;
    }
}

TEST_F(shared_map_fixture, lower_bound_between_keys_returns_the_next_entry)
{
    shared_map<int, int> map;
    for (int key = 0; key < 200; key += 2) {
        map = std::move(map).set(key, key);
    }
    EXPECT_EQ(map.lower_bound(77)->first, 78);
    EXPECT_EQ(map.lower_bound(-5)->first, 0);
    EXPECT_TRUE(map.lower_bound(199) == map.end());
}

} // namespace
} // namespace hickorymount

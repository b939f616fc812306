// Tests of the estimate of how fast an upstream is, in virtual time.
#include "baobabloft/dispatch/upstream_pace.hpp"

#include <gtest/gtest.h>

namespace baobabloft::dispatch
{

namespace
{

constexpr time_point start{1000s};

struct measured_pace
{
    pace_persistence persistence;
    upstream_pace pace;
    time_point now = start;

    void report(std::initializer_list<double> factors)
    {
        for (const double factor : factors)
            pace.record(now += 500ms, factor, persistence);
    }
    [[nodiscard]] double expected_after(duration age) const
    {
        return pace.expected(now + age, persistence);
    }
};

// Guards against choices by one wrong or old figure.
TEST(upstream_pace, a_single_or_old_figure_changes_nothing)
{
    measured_pace item;
    item.report({1, 3, 3, 3, 3, 3, 1, 1, 16});
    EXPECT_DOUBLE_EQ(item.expected_after(0s), 1);
    // The same figure from another router, with a rounded time.
    item.pace.record(item.now + 20ms, 16, item.persistence);
    EXPECT_DOUBLE_EQ(item.expected_after(20ms), 1);
    item.report({1, 3, 3});
    EXPECT_GT(item.expected_after(0s), 2.9);
    EXPECT_LT(item.expected_after(10s), 1.1);
    item.pace.record(start, 1, item.persistence);
    EXPECT_GT(item.expected_after(0s), 2.9);
}

// Load: machines that other work slows for less than a second, or for long.
TEST(upstream_pace, pattern_only_a_lasting_slowdown_moves_shares)
{
    measured_pace brief;
    measured_pace lasting;
    for (int round = 0; round < 8; ++round)
    {
        brief.report({3, 1});
        lasting.report({3, 3});
    }
    lasting.report({1, 3});
    EXPECT_DOUBLE_EQ(brief.pace.lasting(brief.now), 1);
    EXPECT_NEAR(lasting.pace.lasting(lasting.now), 3, 0.1);
    EXPECT_DOUBLE_EQ(lasting.pace.lasting(lasting.now + 9s), 1);
    EXPECT_LT(brief.persistence.share_after(500ms), 0.1);
    EXPECT_GT(lasting.persistence.share_after(500ms), 0.6);
}

// Guards against moves that cost more than the slow upstream does.
TEST(upstream_pace, a_long_cached_prefix_stays_at_a_slow_upstream)
{
    EXPECT_FALSE(is_faster({1, 8600}, {4, 0}));
    EXPECT_TRUE(is_faster({1, 600}, {3, 0}));
    EXPECT_TRUE(is_faster({1, 8600}, {2, 8600}));
    EXPECT_FALSE(is_faster({1, 0}, {1.1, 0}));
}

} // namespace

} // namespace baobabloft::dispatch

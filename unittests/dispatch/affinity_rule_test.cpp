// Tests of the rule that divides prompt prefixes among upstreams.
#include "baobabloft/dispatch/affinity_rule.hpp"

#include <gtest/gtest.h>

namespace baobabloft::dispatch
{

namespace
{

// Guards against caches that are filled at several upstreams without a need.
TEST(affinity_rule, a_rare_prefix_stays_at_one_upstream_of_known_load)
{
    const auto division = divide_by_affinity(
        {.mean_load = 40, .upstreams = 60, .is_load_known = true});
    EXPECT_EQ(division.width, 1U);
    EXPECT_FALSE(division.by_load);
}

// Load: a fifth of all requests has one prefix from the first request on.
TEST(affinity_rule, pattern_hot_prefix_keeps_the_bound_at_unknown_loads)
{
    for (const std::size_t upstreams : {9U, 60U, 153U})
        for (const double mean_load : {0.5, 1.0, 2.0, 3.0})
        {
            const auto division = divide_by_affinity({.upstreams = upstreams});
            const double prefix_load = 0.2 * mean_load *
                                       static_cast<double>(upstreams) /
                                       static_cast<double>(division.width);
            EXPECT_LE(0.8 * mean_load + prefix_load, 2 * mean_load + 3);
            EXPECT_LT(division.width, upstreams / 2);
        }
}

// Load: a prefix becomes hot, and all routers leave its upstream at once.
TEST(affinity_rule, pattern_requests_above_the_limit_go_to_several_upstreams)
{
    const affinity_knowledge known{.mean_load = 2,
                                   .upstreams = 60,
                                   .is_load_known = true,
                                   .is_moved = true};
    EXPECT_EQ(divide_by_affinity(known).width, 4U);
    EXPECT_EQ(divide_by_affinity({.upstreams = 2, .is_moved = true}).width, 2U);
}

TEST(affinity_rule, a_frequent_prefix_is_divided_by_its_share)
{
    const auto division = divide_by_affinity({.prefix_share = 0.1,
                                              .mean_load = 2,
                                              .upstreams = 60,
                                              .is_load_known = true});
    EXPECT_EQ(division.width, 6U);
    EXPECT_TRUE(division.by_load);
}

} // namespace

} // namespace baobabloft::dispatch

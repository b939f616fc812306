// Tests of the rule that divides prompt prefixes among upstreams.
#include "baobabloft/dispatch/affinity_rule.hpp"

#include <gtest/gtest.h>

namespace baobabloft::dispatch
{

namespace
{

affinity_division divide_known(double share, bool is_moved = false)
{
    return divide_by_affinity({.prefix_share = share,
                               .mean_load = 2,
                               .upstreams = 60,
                               .is_load_known = true,
                               .is_moved = is_moved});
}

// Guards against caches that are filled at several upstreams without a need.
TEST(affinity_rule, a_prefix_is_divided_by_its_share_where_loads_are_known)
{
    EXPECT_EQ(divide_known(0).width, 1U);
    EXPECT_FALSE(divide_known(0).by_load);
    EXPECT_EQ(divide_known(0.1).width, 6U);
    EXPECT_TRUE(divide_known(0.1).by_load);
}

// Load: a fifth of all requests has one prefix from the first request on.
TEST(affinity_rule, pattern_hot_prefix_keeps_the_bound_at_unknown_loads)
{
    for (const unsigned upstreams : {9U, 60U, 153U})
        for (const double mean_load : {0.5, 1.0, 2.0, 3.0})
        {
            const auto width =
                divide_by_affinity({.upstreams = upstreams}).width;
            EXPECT_LE(0.8 * mean_load + 0.2 * mean_load * upstreams / width,
                      2 * mean_load + 3);
            EXPECT_LT(width, upstreams / 2);
        }
}

// Load: a prefix becomes hot, and all routers leave its upstream at once.
TEST(affinity_rule, pattern_requests_above_the_limit_go_to_several_upstreams)
{
    EXPECT_EQ(divide_known(0, true).width, 4U);
    EXPECT_EQ(divide_by_affinity({.upstreams = 2, .is_moved = true}).width, 2U);
}

} // namespace

} // namespace baobabloft::dispatch

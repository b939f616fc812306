// Tests of the bounds on waiting requests. The names of load tests begin with
// "pattern" and name the load pattern they cover.
#include "baobabloft/dispatch/waiting_room.hpp"

#include <gtest/gtest.h>

#include <list>

namespace baobabloft::dispatch
{

namespace
{

using place_list = std::list<std::optional<waiting_room::place>>;

/// Lets a customer's requests wait until one may not; returns their number.
std::size_t fill(waiting_room& room, place_list& places,
                 const std::string& customer, std::size_t bytes)
{
    std::size_t count = 0;
    while (room.enter(places.emplace_back(), customer, bytes))
        ++count;
    return count;
}

// Guards against one customer's surge that leaves no place for the others.
TEST(waiting_room, pattern_hot_customer_leaves_places_for_others)
{
    waiting_room room{{.requests = 128, .bytes = 1'000'000}};
    place_list hot;
    place_list other;
    EXPECT_EQ(fill(room, hot, "hot", 100), 32U);
    EXPECT_EQ(fill(room, other, "other", 100), 32U);
    hot.clear();
    EXPECT_EQ(room.size(), 32U);
    EXPECT_EQ(fill(room, hot, "hot", 100), 32U);
}

// Guards against waiting requests with long bodies that use up the memory.
TEST(waiting_room, pattern_long_bodies_are_bounded_in_bytes)
{
    waiting_room room{{.requests = 128, .bytes = 8'000'000}};
    place_list places;
    EXPECT_EQ(fill(room, places, "a", 1'500'000), 1U);
    EXPECT_EQ(fill(room, places, "b", 3'000'000), 0U);
    EXPECT_EQ(fill(room, places, "b", 2'000'000), 1U);
}

} // namespace

} // namespace baobabloft::dispatch

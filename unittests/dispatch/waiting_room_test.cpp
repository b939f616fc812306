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

// Guards against one customer's surge, of many or of long requests, that leaves
// no place for the others.
TEST(waiting_room, pattern_hot_customer_leaves_places_for_others)
{
    waiting_room room{{.requests = 128, .bytes = 1'000'000}};
    place_list hot;
    place_list other;
    EXPECT_EQ(fill(room, hot, "hot", 100), 32U);
    EXPECT_EQ(fill(room, other, "other", 100), 32U);
    hot.clear();
    EXPECT_EQ(room.size(), 32U);
    EXPECT_EQ(fill(room, hot, "hot", 20'000), 12U);
}

} // namespace

} // namespace baobabloft::dispatch

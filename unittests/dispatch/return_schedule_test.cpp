// Tests of the return of refused callers, in virtual time. The names of load
// tests begin with "pattern" and name the load pattern they cover.
#include "baobabloft/dispatch/return_schedule.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

namespace baobabloft::dispatch
{

namespace
{

constexpr time_point start{1000s};
constexpr duration limit = 1500ms;
const room_outlook full{.is_usable = true, .usable_from = start};

unplaced_request request_at(time_point arrived_at)
{
    return {.arrived_at = arrived_at,
            .deadline = arrived_at + limit,
            .timeout = limit,
            .objective = 300ms};
}

// Guards against callers who return although no upstream can have come back.
TEST(return_schedule, pattern_all_upstreams_gone_invites_no_caller_back)
{
    return_schedule schedule;
    const auto planned = schedule.plan(start, "api", {}, limit, 0.5);
    EXPECT_EQ(planned.reason, return_reason::no_upstream);
    EXPECT_GE(planned.after, limit);
    EXPECT_FALSE(wait_for_room(start, request_at(start), {}, 0));
}

// Guards against an outage of the store in which all callers return to routers
// that cannot serve them either.
TEST(return_schedule, pattern_outage_of_the_store_uses_the_time_of_callers)
{
    for (const double random : {0.0, 0.5, 0.999})
    {
        const auto planned = return_schedule::plan_store_return(15s, random);
        EXPECT_GE(planned.after, 3s);
        EXPECT_LE(planned.after, 5s);
        EXPECT_LE(return_schedule::plan_other_router(random).after, 80ms);
    }
}

// Guards against a crowd that returns at one moment and is refused again.
TEST(return_schedule, pattern_crowd_returns_in_an_even_flow)
{
    return_schedule schedule;
    for (int index = 0; index < 200; ++index)
        schedule.record_ended(start, "api");
    std::map<int, int> returns_by_slot;
    int without_room = 0;
    for (int caller = 0; caller < 100; ++caller)
    {
        const auto planned = schedule.plan(start, "api", full, limit, 0);
        without_room += planned.reason == return_reason::room ? 0 : 1;
        if (planned.reason != return_reason::room)
            EXPECT_GE(planned.after, limit);
        else
            ++returns_by_slot[static_cast<int>(planned.after / 100ms)];
    }
    // 100 requests end in a second, and half of that room is planned. Callers
    // honour a third of 1.5 s.
    for (const auto& [slot, count] : returns_by_slot)
        EXPECT_LE(count, 6) << slot;
    EXPECT_NEAR(without_room, 75, 2);
}

TEST(return_schedule, callers_return_after_the_end_of_a_known_pause)
{
    return_schedule schedule;
    const room_outlook paused{.is_usable = true, .usable_from = start + 400ms};
    EXPECT_GE(schedule.plan(start, "api", paused, limit, 0).after, 400ms);
    const auto later = schedule.plan(start, "chat", paused, 600ms, 0);
    EXPECT_EQ(later.reason, return_reason::no_room_in_time);
    EXPECT_GE(later.after, 600ms);
}

TEST(wait_for_room, first_requests_wait_only_while_they_can_be_on_time)
{
    auto request = request_at(start);
    EXPECT_TRUE(wait_for_room(start, request, full, 0));
    EXPECT_FALSE(wait_for_room(start + 140ms, request, full, 0));
    request.deadline = start + 1000ms;
    EXPECT_TRUE(wait_for_room(start + 140ms, request, full, 0));
    EXPECT_FALSE(wait_for_room(start + 700ms, request, full, 0));
}

struct refusals
{
    int first = 0;
    int again = 0;
};

/// Sends requests for 8 s to a service with 18 places, each taken for 60 ms, at
/// 0.95 of its room, and counts refusals of first and of returning callers.
refusals refusals_near_the_room(std::size_t routers, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    std::uniform_real_distribution<double> fraction{0, 1};
    std::exponential_distribution<double> gap_s{0.95 * 18 / 0.060};
    std::vector<return_schedule> schedules(routers);
    std::vector<time_point> busy_until(18, start);
    std::multimap<time_point, unplaced_request> due;
    for (auto now = start; now < start + 8s; now += from_seconds(gap_s(random)))
        due.emplace(now, request_at(now));
    refusals result;
    while (!due.empty())
    {
        auto [now, request] = *due.begin();
        due.erase(due.begin());
        auto& schedule = schedules[random() % routers];
        const auto place = std::ranges::min_element(busy_until);
        const room_outlook outlook{.is_usable = true,
                                   .usable_from = now + 80ms};
        if (*place <= now)
        {
            *place = now + 60ms;
            schedule.record_ended(now, "api");
        }
        else if (const auto wait =
                     wait_for_room(now, request, outlook, fraction(random)))
        {
            ++request.waits;
            due.emplace(now + *wait, request);
        }
        else if (request.deadline - request.arrived_at < limit)
            ++result.again;
        else
        {
            ++result.first;
            const duration left = request.deadline - now;
            const auto planned =
                schedule.plan(now, "api", outlook, left, fraction(random));
            request.arrived_at =
                now + std::min<duration>(planned.after, left / 3);
            request.waits = 0;
            due.emplace(request.arrived_at, request);
        }
    }
    return result;
}

// Guards against callers who are invited back and refused again while an
// upstream is usable.
TEST(return_schedule, pattern_demand_near_the_room_refuses_few_callers_twice)
{
    for (const std::size_t routers : {9U, 91U, 295U})
        for (std::uint64_t seed = 1; seed <= 10; ++seed)
        {
            const auto result = refusals_near_the_room(routers, seed);
            EXPECT_LT(result.again, 0.05 * result.first + 3)
                << routers << " routers, seed " << seed;
        }
}

} // namespace

} // namespace baobabloft::dispatch

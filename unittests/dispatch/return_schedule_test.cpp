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
const room_outlook full{.is_usable = true, .usable_from = start};

// Guards against callers who return although no upstream can have come back.
TEST(return_schedule, pattern_all_upstreams_gone_invites_no_caller_back)
{
    return_schedule schedule;
    const auto planned = schedule.plan(start, "api", {}, 1500ms, 0.5);
    EXPECT_EQ(planned.reason, return_reason::no_upstream);
    EXPECT_GE(planned.after, 1500ms);
    EXPECT_FALSE(wait_for_room(start,
                               {.arrived_at = start,
                                .deadline = start + 1500ms,
                                .timeout = 1500ms,
                                .objective = 300ms},
                               {}, 0));
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
        const auto planned = schedule.plan(start, "api", full, 1500ms, 0);
        without_room += planned.reason == return_reason::room ? 0 : 1;
        if (planned.reason != return_reason::room)
            EXPECT_GE(planned.after, 1500ms);
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
    EXPECT_GE(schedule.plan(start, "api", paused, 1500ms, 0).after, 400ms);
    const auto later = schedule.plan(start, "chat", paused, 600ms, 0);
    EXPECT_EQ(later.reason, return_reason::no_room_in_time);
    EXPECT_GE(later.after, 600ms);
}

TEST(wait_for_room, first_requests_wait_only_while_they_can_be_on_time)
{
    unplaced_request request{.arrived_at = start,
                             .deadline = start + 1500ms,
                             .timeout = 1500ms,
                             .objective = 300ms};
    EXPECT_TRUE(wait_for_room(start, request, full, 0));
    EXPECT_FALSE(wait_for_room(start + 140ms, request, full, 0));
    request.deadline = start + 1000ms;
    EXPECT_TRUE(wait_for_room(start + 140ms, request, full, 0));
    EXPECT_FALSE(wait_for_room(start + 700ms, request, full, 0));
}

/// Requests of many routers to upstreams that decline what exceeds their
/// places. Counts requests that are served, refused and refused again.
class crowded_service
{
public:
    explicit crowded_service(std::uint64_t seed) : random_(seed) {}

    void run(std::size_t routers, double load)
    {
        schedules_.resize(routers);
        busy_until_.assign(places, start);
        const double arrivals_per_ms =
            load * static_cast<double>(places) / to_seconds(work) / 1000;
        for (auto now = start; now < start + 8s; now += 1ms)
        {
            std::poisson_distribution<int> arrivals{arrivals_per_ms};
            for (int count = arrivals(random_); count > 0; --count)
                arrive(now, {.arrived_at = now,
                             .deadline = now + timeout,
                             .timeout = timeout,
                             .objective = objective});
            while (!due_.empty() && due_.begin()->first <= now)
            {
                auto node = due_.extract(due_.begin());
                auto [request, has_arrived] = node.mapped();
                if (!has_arrived)
                    request.arrived_at = now;
                arrive(now, request);
            }
        }
    }

    int refused = 0;
    int refused_again = 0;

private:
    static constexpr std::size_t places = 18;
    static constexpr duration work = 60ms;
    static constexpr duration timeout = 1500ms;
    static constexpr duration objective = 300ms;
    static constexpr duration declined_pause = 80ms;

    double fraction()
    {
        return std::uniform_real_distribution<double>{0, 1}(random_);
    }

    void arrive(time_point now, unplaced_request request)
    {
        auto& schedule = schedules_[random_() % schedules_.size()];
        const auto place = std::ranges::min_element(busy_until_);
        if (*place <= now)
        {
            *place = now + work;
            schedule.record_ended(now, "api");
            return;
        }
        const room_outlook outlook{.is_usable = true,
                                   .usable_from = now + declined_pause};
        if (const auto wait = wait_for_room(now, request, outlook, fraction()))
        {
            ++request.waits;
            due_.emplace(now + *wait, std::pair{request, true});
            return;
        }
        const bool is_first = request.deadline - request.arrived_at == timeout;
        ++(is_first ? refused : refused_again);
        if (!is_first)
            return;
        const auto left = request.deadline - now;
        const auto planned =
            schedule.plan(now, "api", outlook, left, fraction());
        request.waits = 0;
        due_.emplace(now + std::min<duration>(planned.after, left / 3),
                     std::pair{request, false});
    }

    std::mt19937_64 random_;
    std::vector<return_schedule> schedules_;
    std::vector<time_point> busy_until_;
    /// Requests that wait (true) or whose callers return (false).
    std::multimap<time_point, std::pair<unplaced_request, bool>> due_;
};

// Guards against callers who are invited back and refused again while an
// upstream is usable.
TEST(return_schedule, pattern_demand_near_the_room_refuses_few_callers_twice)
{
    for (const std::size_t routers : {9U, 91U, 295U})
        for (std::uint64_t seed = 1; seed <= 10; ++seed)
        {
            crowded_service service{seed};
            service.run(routers, 0.95);
            EXPECT_LT(service.refused_again, 0.05 * service.refused + 3)
                << routers << " routers, seed " << seed;
        }
}

} // namespace

} // namespace baobabloft::dispatch

// Tests of hedged requests in virtual time. The names of load tests begin with
// "pattern" and name the load pattern they cover.
#include "baobabloft/dispatch/arrival_budget.hpp"
#include "baobabloft/dispatch/hedge_policy.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>

namespace baobabloft::dispatch
{

namespace
{

constexpr time_point start{1000s};
constexpr std::string_view route = "status";

/// Requests to one route of a router, of which slow ones get hedges.
struct hedged_route
{
    explicit hedged_route(double share) : policy(share)
    {
        budget.set_hedge_share(share);
    }

    /// Sends requests every `gap` for `length`. `draw` returns the time that an
    /// upstream takes.
    void run(duration length, duration gap,
             const std::function<duration()>& draw)
    {
        std::multimap<time_point, std::function<void(time_point)>> events;
        const std::string name{route};
        for (const auto end = now + length; now < end; now += gap)
        {
            for (; !events.empty() && events.begin()->first <= now;
                 events.erase(events.begin()))
                events.begin()->second(events.begin()->first);
            budget.record_first_arrival(now, "s");
            ++requests;
            const auto first = draw();
            const auto delay = policy.delay_of(now, name);
            const bool is_slow = delay && first > *delay;
            if (!is_slow)
            {
                times.push_back(first);
                events.emplace(now + first,
                               [=, this](time_point) {
                                   policy.record_first_byte(name, first, false);
                               });
                continue;
            }
            events.emplace(
                now + *delay,
                [=, &events, this](time_point at)
                {
                    policy.record_slow(at, name);
                    const auto second = *delay + draw();
                    const bool is_hedged = policy.permits_hedge(at, name) &&
                                           budget.try_take_hedge(at, "s", 1);
                    if (is_hedged)
                    {
                        ++hedges;
                        policy.record_hedge(name);
                    }
                    const bool is_won = is_hedged && second < first;
                    times.push_back(is_won ? second : first);
                    events.emplace(
                        at - *delay + times.back(),
                        [=, this](time_point)
                        {
                            if (is_won)
                                policy.record_cancelled(name, second);
                            else
                                policy.record_first_byte(name, first, true);
                        });
                });
        }
    }

    duration percentile(double share)
    {
        std::ranges::sort(times);
        return times[static_cast<std::size_t>(
            share * static_cast<double>(times.size() - 1))];
    }

    hedge_policy policy;
    arrival_budget budget{{}, start - 60s};
    time_point now = start;
    std::vector<duration> times;
    int requests = 0;
    int hedges = 0;
};

/// Times around `median` of which a share of `slow` is ten times as long.
std::function<duration()> times_around(duration median, double slow = 0)
{
    return [median, slow, random = std::mt19937_64{7}]() mutable
    {
        std::lognormal_distribution<double> spread{0, 0.2};
        const bool is_slow = std::bernoulli_distribution{slow}(random);
        return from_seconds(to_seconds(median) * spread(random) *
                            (is_slow ? 10 : 1));
    };
}

} // namespace

// One response in a hundred takes ten times as long as the others.
TEST(hedge_policy, pattern_one_in_a_hundred_slow_cuts_the_tail_within_the_limit)
{
    hedged_route off{0};
    off.run(300s, 10ms, times_around(50ms, 0.01));
    EXPECT_EQ(off.hedges, 0);
    for (const double share : {0.02, 0.05})
    {
        hedged_route on{share};
        on.run(300s, 10ms, times_around(50ms, 0.01));
        EXPECT_LE(on.hedges, share * on.requests);
        EXPECT_LE(on.percentile(0.999), off.percentile(0.999) / 3) << share;
        EXPECT_LE(on.percentile(0.5), off.percentile(0.5) * 1.01);
    }
}

// All upstreams become slow at once, as under a shortage of processor time.
TEST(hedge_policy, pattern_all_upstreams_slow_gets_no_extra_work)
{
    hedged_route fleet{0.05};
    fleet.run(30s, 10ms, times_around(50ms));
    const int before = fleet.hedges;
    fleet.run(45s, 10ms, times_around(500ms));
    // One may be sent before the others are seen to be slow.
    EXPECT_LE(fleet.hedges, before + 1);
}

// A new release of a service takes four times as long for good.
TEST(hedge_policy, pattern_lasting_shift_is_learnt_anew)
{
    hedged_route fleet{0.05};
    const std::string name{route};
    fleet.run(30s, 10ms, times_around(50ms, 0.01));
    const auto before = fleet.policy.delay_of(fleet.now, name);
    ASSERT_TRUE(before);
    EXPECT_GT(*before, 50ms);
    EXPECT_LT(*before, 150ms);
    fleet.run(70s, 10ms, times_around(200ms, 0.01));
    const auto after = fleet.policy.delay_of(fleet.now, name);
    ASSERT_TRUE(after);
    EXPECT_GT(*after, 200ms);
    EXPECT_LT(*after, 600ms);
    const int hedges = fleet.hedges;
    fleet.run(30s, 10ms, times_around(200ms, 0.01));
    EXPECT_GT(fleet.hedges, hedges);
}

// Every request is slow and routers restart all the time; in the end every
// request fails as well.
TEST(hedge_budget, pattern_restarts_keep_both_limits_in_fleets_of_any_size)
{
    constexpr double share = 0.05;
    const arrival_bound bound{};
    for (const std::size_t routers : {9UL, 91UL, 295UL})
    {
        std::mt19937_64 random{routers};
        std::vector<arrival_budget> budgets(routers,
                                            arrival_budget{bound, start - 60s});
        for (auto& budget : budgets)
            budget.set_hedge_share(share);
        std::vector<time_point> hedges;
        std::vector<time_point> repeats;
        const duration gap = duration{250ms} / routers;
        auto now = start;
        std::size_t restarted = 0;
        for (auto restart_at = start; now < start + 130s; now += gap)
        {
            auto& budget = budgets[random() % routers];
            budget.record_first_arrival(now, "s");
            if (budget.try_take_hedge(now, "s", routers))
            {
                hedges.push_back(now);
                repeats.push_back(now);
            }
            if (random() % (now < start + 90s ? 20 : 1) == 0 &&
                budget.try_take_repeat(now, "s", routers))
                repeats.push_back(now);
            if (now < restart_at)
                continue;
            restart_at += 3s;
            auto& next = budgets[restarted++ % routers];
            next = arrival_budget{bound, now};
            next.set_hedge_share(share);
        }
        const auto most_within =
            [](const std::vector<time_point>& times, duration window)
        {
            std::ptrdiff_t most = 0;
            for (auto first = times.begin(); first != times.end(); ++first)
                most = std::max(most, std::upper_bound(first, times.end(),
                                                       *first + window) -
                                          first);
            return static_cast<double>(most);
        };
        EXPECT_GT(hedges.size(), 0);
        EXPECT_LE(most_within(hedges, 60s), share * (60s / gap)) << routers;
        EXPECT_LE(most_within(repeats, bound.window),
                  bound.ratio * static_cast<double>(bound.window / gap) +
                      bound.slack)
            << routers;
    }
}

TEST(hedge_budget, hedges_leave_half_of_the_repeats_to_retries)
{
    arrival_budget budget{{.ratio = 0.1, .slack = 0}, start - 60s};
    budget.set_hedge_share(0.25);
    for (int count = 0; count < 200; ++count)
        budget.record_first_arrival(start, "s");
    int hedges = 0;
    while (budget.try_take_hedge(start, "s", 1))
        ++hedges;
    EXPECT_EQ(hedges, 7);
    EXPECT_TRUE(budget.has_repeat(start, "s", 1));
}

} // namespace baobabloft::dispatch

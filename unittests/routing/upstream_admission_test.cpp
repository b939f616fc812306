// Admission of one upstream: limits, cold starts, failures, foreign load.
#include "baobabloft/routing/upstream_admission.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace baobabloft::routing
{

namespace
{

constexpr admission_options options{.load_multiple = 1.25,
                                    .load_floor = 4,
                                    .capacity = 50,
                                    .cold_start_limit = 2,
                                    .ramp = 30s};
constexpr time_point start{100s};

upstream_admission warm_gate()
{
    upstream_admission gate{options, start};
    gate.record_report(start, {.running = 0, .incarnation = 1});
    gate.set_service_load({.mean = 30, .total = 3000, .first_token_ms = 200});
    return gate;
}

TEST(upstream_admission, grants_nothing_before_the_first_report)
{
    EXPECT_EQ(upstream_admission(options, start).limit(start), 0U);
}

TEST(upstream_admission, follows_the_mean_between_floor_and_capacity)
{
    auto gate = warm_gate();
    EXPECT_GT(gate.limit(start), 30U);
    EXPECT_LE(gate.limit(start), 38U);
    gate.set_service_load({.mean = 1, .total = 100});
    EXPECT_EQ(gate.limit(start), 4U);
    gate.set_service_load({.mean = 400, .total = 40000});
    EXPECT_EQ(gate.limit(start), 50U);
}

TEST(upstream_admission, holds_a_cold_upstream_to_what_it_bears_then_ramps)
{
    auto gate = warm_gate();
    const auto later = start + 10s;
    gate.record_report(later, {.running = 0, .incarnation = 2, .cold = true});
    EXPECT_EQ(gate.state(later), warmup_state::cold);
    EXPECT_EQ(gate.limit(later), 2U);
    gate.record_report(later + 5s, {.running = 2, .incarnation = 2});
    EXPECT_EQ(gate.state(later + 5s), warmup_state::ramping);
    EXPECT_EQ(gate.limit(later + 5s), 2U);
    EXPECT_GT(gate.limit(later + 20s), 10U);
    EXPECT_LT(gate.limit(later + 20s), 25U);
    EXPECT_EQ(gate.state(later + 35s), warmup_state::warm);
}

TEST(upstream_admission, a_new_owner_gives_a_cold_upstream_nothing_at_first)
{
    upstream_admission gate{options, start};
    gate.record_report(start, {.running = 2, .incarnation = 1, .cold = true});
    EXPECT_EQ(gate.limit(start + 1s), 0U);
    EXPECT_EQ(gate.limit(start + 4s), 2U);
}

TEST(upstream_admission, notices_a_silent_turn_to_cold_by_slow_first_tokens)
{
    auto gate = warm_gate();
    for (int count = 0; count < 3; ++count)
        gate.record_slow_first_token(start + 1s, 1500);
    EXPECT_EQ(gate.state(start + 1s), warmup_state::cold);
    EXPECT_EQ(gate.limit(start + 5s), 2U);
    gate.record_report(start + 6s, {.running = 0, .incarnation = 1});
    EXPECT_EQ(gate.state(start + 6s), warmup_state::cold);
    gate.record_grant(start + 7s);
    gate.record_release(start + 8s, outcome::completed, 210, start + 8s);
    gate.record_report(start + 9s, {.running = 0, .incarnation = 1});
    EXPECT_EQ(gate.state(start + 9s), warmup_state::ramping);
}

TEST(upstream_admission, counts_load_that_no_known_permit_explains)
{
    auto gate = warm_gate();
    gate.record_grant(start);
    gate.record_report(start + 1s, {.running = 11, .incarnation = 1});
    EXPECT_EQ(gate.load(start + 1s), 11U);
    gate.record_registered_permit(start + 1s);
    EXPECT_EQ(gate.load(start + 1s), 11U);
}

TEST(upstream_admission, permits_that_reports_do_not_confirm_leave_the_mean)
{
    auto gate = warm_gate();
    for (int count = 0; count < 10; ++count)
        gate.record_grant(start);
    gate.record_report(start + 2s, {.running = 10, .incarnation = 1});
    EXPECT_EQ(gate.confirmed_load(), 10U);
    // The router that held four of them was killed; nobody knows yet.
    gate.record_report(start + 4s, {.running = 6, .incarnation = 1});
    EXPECT_EQ(gate.confirmed_load(), 6U);
    EXPECT_EQ(gate.load(start + 60s), 10U);
}

TEST(upstream_admission, a_lost_holder_uncovers_load_that_it_hid)
{
    auto gate = warm_gate();
    for (int count = 0; count < 10; ++count)
        gate.record_grant(start);
    // Four of these are gone with their router, and six are of an owner that
    // is not known here.
    gate.record_report(start + 4s, {.running = 12, .incarnation = 1});
    for (int count = 0; count < 4; ++count)
        gate.record_lost_holder(start + 5s);
    EXPECT_EQ(gate.load(start + 60s), 12U);
}

TEST(upstream_admission, a_new_owner_takes_the_upstreams_own_count)
{
    auto gate = warm_gate();
    for (int count = 0; count < 8; ++count)
        gate.record_grant(start);
    gate.record_report(start + 1s, {.running = 8, .incarnation = 1});
    // Permits that end say nothing of those that holders did not register.
    gate.record_report(start + 2s, {.running = 14, .incarnation = 1});
    gate.record_grant(start + 2s);
    EXPECT_EQ(gate.load(start + 2s), 15U);
}

TEST(upstream_admission, goes_down_longer_each_time_and_returns_small)
{
    auto gate = warm_gate();
    gate.record_grant(start);
    gate.record_release(start, outcome::connect_failed, 0, start);
    EXPECT_FALSE(gate.is_available(start));
    gate.record_report(start + 2s, {.running = 0, .incarnation = 2});
    EXPECT_TRUE(gate.is_available(start + 2s));
    EXPECT_EQ(gate.limit(start + 4s), 4U);
    gate.record_grant(start + 5s);
    gate.record_release(start + 5s, outcome::connect_failed, 0, start + 5s);
    gate.record_report(start + 6s, {.running = 0, .incarnation = 3});
    EXPECT_FALSE(gate.is_available(start + 6s));
    gate.record_report(start + 8s, {.running = 0, .incarnation = 3});
    EXPECT_TRUE(gate.is_available(start + 8s));
}

TEST(upstream_admission, silent_connections_do_not_take_an_upstream_down)
{
    auto gate = warm_gate();
    for (int count = 0; count < 20; ++count)
    {
        gate.record_grant(start);
        gate.record_release(start, outcome::silent, 0, start);
    }
    EXPECT_TRUE(gate.is_available(start));
}

TEST(upstream_admission, parts_of_a_divided_fleet_share_the_limit)
{
    auto left = warm_gate();
    auto right = warm_gate();
    left.set_live_share(4.0 / 9);
    right.set_live_share(5.0 / 9);
    auto whole = warm_gate();
    EXPECT_LE(left.limit(start) + right.limit(start), whole.limit(start));
}

RC_GTEST_PROP(upstream_admission, never_allows_more_than_its_bounds, ())
{
    upstream_admission gate{options, start};
    time_point now = start;
    std::uint32_t held = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
    for (const int step : steps)
    {
        now += duration{step * 3000};
        const auto mean = static_cast<double>(step % 60);
        switch (step % 6)
        {
        case 0:
            gate.record_report(
                now, {.running = static_cast<std::uint32_t>(step % 40),
                      .incarnation = static_cast<unsigned>(step / 300),
                      .cold = step % 4 == 0});
            break;
        case 1:
            gate.record_failed_report(now);
            break;
        case 2:
            gate.set_service_load({.mean = mean, .total = mean * 9});
            break;
        case 3:
            if (held == 0)
                break;
            --held;
            gate.record_release(
                now, step % 7 == 0 ? outcome::broken : outcome::completed,
                step % 11 == 0 ? 2000 : 100, now);
            break;
        default:
            if (gate.load(now) >= gate.limit(now))
                break;
            ++held;
            gate.record_grant(now);
            RC_ASSERT(gate.load(now) <= options.capacity);
            if (gate.state(now) == warmup_state::cold)
                RC_ASSERT(gate.load(now) <= options.cold_start_limit);
            RC_ASSERT(gate.is_available(now));
        }
    }
}

} // namespace

} // namespace baobabloft::routing

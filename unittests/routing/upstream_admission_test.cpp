// Tests the admission of one upstream: limits, cold starts, failures, and load
// from permits of other owners.
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

upstream_admission warm_admission()
{
    upstream_admission admission{options, start};
    admission.record_report(start, {.running = 0, .incarnation = 1});
    admission.set_service_load(
        {.mean = 30, .total = 3000, .first_token_ms = 200});
    return admission;
}

TEST(upstream_admission, limit_is_zero_before_first_report)
{
    EXPECT_EQ(upstream_admission(options, start).limit(start), 0U);
}

TEST(upstream_admission, limit_follows_mean_between_floor_and_capacity)
{
    auto admission = warm_admission();
    EXPECT_GT(admission.limit(start), 30U);
    EXPECT_LE(admission.limit(start), 38U);
    admission.set_service_load({.mean = 1, .total = 100});
    EXPECT_EQ(admission.limit(start), 4U);
    admission.set_service_load({.mean = 400, .total = 40000});
    EXPECT_EQ(admission.limit(start), 50U);
}

TEST(upstream_admission, limits_cold_upstream_then_ramps_up)
{
    auto admission = warm_admission();
    const auto later = start + 10s;
    admission.record_report(later,
                            {.running = 0, .incarnation = 2, .cold = true});
    EXPECT_EQ(admission.state(later), warmup_state::cold);
    EXPECT_EQ(admission.limit(later), 2U);
    admission.record_report(later + 5s, {.running = 2, .incarnation = 2});
    EXPECT_EQ(admission.state(later + 5s), warmup_state::ramping);
    EXPECT_EQ(admission.limit(later + 5s), 2U);
    EXPECT_GT(admission.limit(later + 20s), 10U);
    EXPECT_LT(admission.limit(later + 20s), 25U);
    EXPECT_EQ(admission.state(later + 35s), warmup_state::warm);
}

TEST(upstream_admission,
     new_owner_grants_nothing_to_cold_upstream_during_handover)
{
    upstream_admission admission{options, start};
    admission.record_report(start,
                            {.running = 2, .incarnation = 1, .cold = true});
    EXPECT_EQ(admission.limit(start + 1s), 0U);
    EXPECT_EQ(admission.limit(start + 4s), 2U);
}

TEST(upstream_admission, slow_first_tokens_mark_upstream_cold)
{
    auto admission = warm_admission();
    for (int count = 0; count < 3; ++count)
        admission.record_slow_first_token(start + 1s, 1500);
    EXPECT_EQ(admission.state(start + 1s), warmup_state::cold);
    EXPECT_EQ(admission.limit(start + 5s), 2U);
    admission.record_report(start + 6s, {.running = 0, .incarnation = 1});
    EXPECT_EQ(admission.state(start + 6s), warmup_state::cold);
    admission.record_grant(start + 7s);
    admission.record_release(start + 8s, outcome::completed, 210, start + 8s);
    admission.record_report(start + 9s, {.running = 0, .incarnation = 1});
    EXPECT_EQ(admission.state(start + 9s), warmup_state::ramping);
}

TEST(upstream_admission, counts_reported_load_without_known_permits)
{
    auto admission = warm_admission();
    admission.record_grant(start);
    admission.record_report(start + 1s, {.running = 11, .incarnation = 1});
    EXPECT_EQ(admission.load(start + 1s), 11U);
    admission.record_registered_permit(start + 1s);
    EXPECT_EQ(admission.load(start + 1s), 11U);
}

TEST(upstream_admission, unconfirmed_permits_do_not_count_in_mean)
{
    auto admission = warm_admission();
    for (int count = 0; count < 10; ++count)
        admission.record_grant(start);
    admission.record_report(start + 2s, {.running = 10, .incarnation = 1});
    EXPECT_EQ(admission.confirmed_load(), 10U);
    // The router that held four of them was killed, which the owner does not
    // know yet.
    admission.record_report(start + 4s, {.running = 6, .incarnation = 1});
    EXPECT_EQ(admission.confirmed_load(), 6U);
    EXPECT_EQ(admission.load(start + 60s), 10U);
}

TEST(upstream_admission, lost_holder_reveals_load_of_unknown_permits)
{
    auto admission = warm_admission();
    for (int count = 0; count < 10; ++count)
        admission.record_grant(start);
    // Four of the known permits ended with their router, and six of the
    // reported requests hold permits that another owner granted.
    admission.record_report(start + 4s, {.running = 12, .incarnation = 1});
    for (int count = 0; count < 4; ++count)
        admission.record_lost_holder(start + 5s);
    EXPECT_EQ(admission.load(start + 60s), 12U);
}

TEST(upstream_admission, new_owner_uses_load_reported_by_upstream)
{
    auto admission = warm_admission();
    for (int count = 0; count < 8; ++count)
        admission.record_grant(start);
    admission.record_report(start + 1s, {.running = 8, .incarnation = 1});
    // Six of the reported requests hold permits that their holders have not
    // registered here; they must count as load.
    admission.record_report(start + 2s, {.running = 14, .incarnation = 1});
    admission.record_grant(start + 2s);
    EXPECT_EQ(admission.load(start + 2s), 15U);
}

TEST(upstream_admission, hold_down_doubles_and_recovery_ramps_up)
{
    auto admission = warm_admission();
    admission.record_grant(start);
    admission.record_release(start, outcome::connect_failed, 0, start);
    EXPECT_FALSE(admission.is_available(start));
    admission.record_report(start + 2s, {.running = 0, .incarnation = 2});
    EXPECT_TRUE(admission.is_available(start + 2s));
    EXPECT_EQ(admission.limit(start + 4s), 4U);
    admission.record_grant(start + 5s);
    admission.record_release(start + 5s, outcome::connect_failed, 0,
                             start + 5s);
    admission.record_report(start + 6s, {.running = 0, .incarnation = 3});
    EXPECT_FALSE(admission.is_available(start + 6s));
    admission.record_report(start + 8s, {.running = 0, .incarnation = 3});
    EXPECT_TRUE(admission.is_available(start + 8s));
}

TEST(upstream_admission, unresponsive_connections_do_not_mark_upstream_down)
{
    auto admission = warm_admission();
    for (int count = 0; count < 20; ++count)
    {
        admission.record_grant(start);
        admission.record_release(start, outcome::timed_out, 0, start);
    }
    EXPECT_TRUE(admission.is_available(start));
}

TEST(upstream_admission, partitioned_owners_share_the_limit)
{
    auto first_part = warm_admission();
    auto second_part = warm_admission();
    first_part.set_live_share(4.0 / 9);
    second_part.set_live_share(5.0 / 9);
    auto undivided = warm_admission();
    EXPECT_LE(first_part.limit(start) + second_part.limit(start),
              undivided.limit(start));
}

RC_GTEST_PROP(upstream_admission,
              grants_stay_within_capacity_and_cold_start_limit, ())
{
    upstream_admission admission{options, start};
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
            admission.record_report(
                now, {.running = static_cast<std::uint32_t>(step % 40),
                      .incarnation = static_cast<unsigned>(step / 300),
                      .cold = step % 4 == 0});
            break;
        case 1:
            admission.record_failed_report(now);
            break;
        case 2:
            admission.set_service_load({.mean = mean, .total = mean * 9});
            break;
        case 3:
            if (held == 0)
                break;
            --held;
            admission.record_release(
                now, step % 7 == 0 ? outcome::broken : outcome::completed,
                step % 11 == 0 ? 2000 : 100, now);
            break;
        default:
            if (admission.load(now) >= admission.limit(now))
                break;
            ++held;
            admission.record_grant(now);
            RC_ASSERT(admission.load(now) <= options.capacity);
            if (admission.state(now) == warmup_state::cold)
                RC_ASSERT(admission.load(now) <= options.cold_start_limit);
            RC_ASSERT(admission.is_available(now));
        }
    }
}

} // namespace

} // namespace baobabloft::routing

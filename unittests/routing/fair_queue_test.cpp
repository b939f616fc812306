// Tests fair sharing, shedding and order in the queue of an upstream.
#include "baobabloft/routing/fair_queue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace baobabloft::routing
{

namespace
{

constexpr std::size_t no_limit = 100000;
constexpr pop_filter admit_all{.with_deferrable = true, .with_suspects = true};

queued_request make_request(std::uint32_t sequence, std::uint32_t customer,
                            std::uint32_t weight = 1)
{
    return {.key = {router_id{1}, sequence},
            .chat = {},
            .customer = customer_id{customer},
            .weight = weight,
            .start_deadline = time_point{1000s}};
}

TEST(fair_queue, serves_backlogged_customers_by_weight)
{
    fair_queue queue;
    std::uint32_t sequence = 0;
    for (int count = 0; count < 400; ++count)
    {
        queue.push(make_request(++sequence, 1, 3), no_limit);
        queue.push(make_request(++sequence, 2, 1), no_limit);
    }
    std::map<customer_id, int> served;
    for (int count = 0; count < 400; ++count)
        ++served[queue.pop(time_point{}, admit_all)->customer];
    EXPECT_NEAR(served[customer_id{1}], 300, 20);
}

TEST(fair_queue, serves_customer_below_its_share_before_a_backlog)
{
    fair_queue queue;
    for (std::uint32_t count = 0; count < 200; ++count)
        queue.push(make_request(count, 1), no_limit);
    for (int count = 0; count < 50; ++count)
        queue.pop(time_point{}, admit_all);
    queue.push(make_request(900, 2), no_limit);
    EXPECT_EQ(queue.pop(time_point{}, admit_all)->customer, customer_id{2});
}

TEST(fair_queue, sheds_from_customer_with_most_requests_per_weight)
{
    fair_queue queue;
    for (std::uint32_t count = 0; count < 10; ++count)
        queue.push(make_request(count, 1), 10);
    const auto shed = queue.push(make_request(50, 2), 10);
    ASSERT_TRUE(shed);
    EXPECT_EQ(shed->customer, customer_id{1});
    EXPECT_EQ(queue.size(), 10U);
}

TEST(fair_queue, deferrable_request_waits_until_it_is_due)
{
    fair_queue queue;
    auto deferrable = make_request(1, 1);
    deferrable.priority = urgency::deferrable;
    deferrable.start_deadline = time_point{100s};
    queue.push(deferrable, no_limit);
    const pop_filter busy{.with_deferrable = false, .with_suspects = true};
    EXPECT_FALSE(queue.pop(time_point{10s}, busy));
    queue.promote_due(time_point{50s}, 60s);
    EXPECT_TRUE(queue.pop(time_point{50s}, busy));
}

TEST(fair_queue, removes_expired_and_cancelled_requests)
{
    fair_queue queue;
    auto expiring = make_request(1, 1);
    expiring.start_deadline = time_point{5s};
    queue.push(expiring, no_limit);
    queue.push(make_request(2, 1), no_limit);
    EXPECT_EQ(queue.remove_expired(time_point{6s}).size(), 1U);
    EXPECT_TRUE(queue.remove({router_id{1}, 2}));
    EXPECT_FALSE(queue.remove({router_id{1}, 2}));
    EXPECT_EQ(queue.size(), 0U);
}

RC_GTEST_PROP(fair_queue, size_matches_pushes_pops_and_sheds, ())
{
    fair_queue queue;
    std::size_t queued_count = 0;
    std::uint32_t sequence = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
    for (const int step : steps)
    {
        if (step % 3 != 0)
        {
            const auto shed = queue.push(
                make_request(++sequence, static_cast<std::uint32_t>(step % 5),
                             static_cast<std::uint32_t>(step % 4)),
                20);
            queued_count += shed ? 0 : 1;
        }
        else if (queue.pop(time_point{}, admit_all))
            --queued_count;
        RC_ASSERT(queue.size() == queued_count);
        RC_ASSERT(queue.size() <= 20U);
    }
}

} // namespace

} // namespace baobabloft::routing

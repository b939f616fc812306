// Fair sharing, shedding and order in the queue of an upstream.
#include "baobabloft/routing/fair_queue.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace baobabloft::routing
{

namespace
{

constexpr std::size_t no_limit = 100000;
constexpr pop_filter everything{.with_deferrable = true, .with_suspects = true};

queued_request make_ask(std::uint32_t sequence, std::uint32_t customer,
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
        queue.push(make_ask(++sequence, 1, 3), no_limit);
        queue.push(make_ask(++sequence, 2, 1), no_limit);
    }
    std::map<customer_id, int> served;
    for (int count = 0; count < 400; ++count)
        ++served[queue.pop(time_point{}, everything)->customer];
    EXPECT_NEAR(served[customer_id{1}], 300, 20);
}

TEST(fair_queue, a_quiet_customer_does_not_wait_behind_a_backlog)
{
    fair_queue queue;
    for (std::uint32_t count = 0; count < 200; ++count)
        queue.push(make_ask(count, 1), no_limit);
    for (int count = 0; count < 50; ++count)
        queue.pop(time_point{}, everything);
    queue.push(make_ask(900, 2), no_limit);
    EXPECT_EQ(queue.pop(time_point{}, everything)->customer, customer_id{2});
}

TEST(fair_queue, sheds_from_the_customer_that_holds_most_for_its_weight)
{
    fair_queue queue;
    for (std::uint32_t count = 0; count < 10; ++count)
        queue.push(make_ask(count, 1), 10);
    const auto shed = queue.push(make_ask(50, 2), 10);
    ASSERT_TRUE(shed);
    EXPECT_EQ(shed->customer, customer_id{1});
    EXPECT_EQ(queue.size(), 10U);
}

TEST(fair_queue, deferrable_work_waits_until_it_is_due)
{
    fair_queue queue;
    auto note = make_ask(1, 1);
    note.priority = urgency::deferrable;
    note.start_deadline = time_point{100s};
    queue.push(note, no_limit);
    const pop_filter busy{.with_deferrable = false, .with_suspects = true};
    EXPECT_FALSE(queue.pop(time_point{10s}, busy));
    queue.promote_due(time_point{50s}, 60s);
    EXPECT_TRUE(queue.pop(time_point{50s}, busy));
}

TEST(fair_queue, expired_and_withdrawn_requests_are_gone)
{
    fair_queue queue;
    auto soon = make_ask(1, 1);
    soon.start_deadline = time_point{5s};
    queue.push(soon, no_limit);
    queue.push(make_ask(2, 1), no_limit);
    EXPECT_EQ(queue.remove_expired(time_point{6s}).size(), 1U);
    EXPECT_TRUE(queue.remove({router_id{1}, 2}));
    EXPECT_FALSE(queue.remove({router_id{1}, 2}));
    EXPECT_EQ(queue.size(), 0U);
}

RC_GTEST_PROP(fair_queue, loses_and_invents_nothing, ())
{
    fair_queue queue;
    std::size_t inside = 0;
    std::uint32_t sequence = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
    for (const int step : steps)
    {
        if (step % 3 != 0)
        {
            const auto shed = queue.push(
                make_ask(++sequence, static_cast<std::uint32_t>(step % 5),
                         static_cast<std::uint32_t>(step % 4)),
                20);
            inside += shed ? 0 : 1;
        }
        else if (queue.pop(time_point{}, everything))
            --inside;
        RC_ASSERT(queue.size() == inside);
        RC_ASSERT(queue.size() <= 20U);
    }
}

} // namespace

} // namespace baobabloft::routing

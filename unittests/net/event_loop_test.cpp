// Readiness of descriptors and timers that are set again and again.
#include "baobabloft/net/event_loop.hpp"
#include "baobabloft/net/restartable_timer.hpp"

#include <gtest/gtest.h>

#include <array>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace baobabloft::net
{

namespace
{

class event_loop_test : public testing::Test
{
protected:
    void run_for(duration time)
    {
        bool over = false;
        loop.run_after(time, [&] { over = true; });
        while (!over)
            g_main_context_iteration(loop.context(), TRUE);
    }

    event_loop loop;
    event_loop::default_context_scope own{loop};
};

class recorder : public fd_handler
{
public:
    void on_ready(GIOCondition ready) override
    {
        ++calls;
        last = ready;
        if (then)
            then();
    }

    int calls = 0;
    GIOCondition last{};
    std::function<void()> then;
};

struct socket_pair
{
    socket_pair()
    {
        EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
    }

    ~socket_pair()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    socket_pair(const socket_pair&) = delete;
    socket_pair& operator=(const socket_pair&) = delete;

    void make_readable() const
    {
        EXPECT_EQ(::write(ends[0], "x", 1), 1);
    }

    std::array<int, 2> ends{};
};

TEST_F(event_loop_test, a_descriptor_is_told_while_it_is_ready)
{
    const socket_pair pair;
    recorder told;
    const auto watch = loop.poller().watch(pair.ends[1], G_IO_IN, told);
    run_for(5ms);
    EXPECT_EQ(told.calls, 0);
    pair.make_readable();
    run_for(5ms);
    EXPECT_GT(told.calls, 1);
    EXPECT_EQ(told.last, G_IO_IN);
    loop.poller().set_conditions(watch, GIOCondition{});
    told.calls = 0;
    run_for(5ms);
    EXPECT_EQ(told.calls, 0);
    loop.poller().unwatch(watch);
}

TEST_F(event_loop_test, a_watch_that_another_handler_ends_is_not_told)
{
    const socket_pair first_pair;
    const socket_pair second_pair;
    recorder first;
    recorder second;
    auto& poller = loop.poller();
    const auto first_watch = poller.watch(first_pair.ends[1], G_IO_IN, first);
    const auto second_watch =
        poller.watch(second_pair.ends[1], G_IO_IN, second);
    const auto end_both = [&]
    {
        poller.unwatch(first_watch);
        poller.unwatch(second_watch);
    };
    first.then = end_both;
    second.then = end_both;
    first_pair.make_readable();
    second_pair.make_readable();
    run_for(5ms);
    EXPECT_EQ(first.calls + second.calls, 1);
}

TEST_F(event_loop_test, more_descriptors_than_one_turn_takes_are_all_told)
{
    constexpr std::size_t many = 200;
    std::vector<std::unique_ptr<socket_pair>> pairs;
    std::vector<recorder> told(many);
    for (auto& item : told)
    {
        pairs.push_back(std::make_unique<socket_pair>());
        pairs.back()->make_readable();
        loop.poller().watch(pairs.back()->ends[1], G_IO_IN, item);
    }
    run_for(20ms);
    for (const auto& item : told)
        EXPECT_GT(item.calls, 0);
}

TEST_F(event_loop_test, a_timer_that_is_set_again_fires_once_at_its_last_time)
{
    restartable_timer timer{loop};
    int early = 0;
    int fired = 0;
    const auto start = monotonic_now();
    for (int step = 0; step < 5; ++step)
    {
        timer.set(40ms, [&] { ++early; });
        run_for(5ms);
    }
    timer.set(30ms, [&] { ++fired; });
    run_for(20ms);
    EXPECT_EQ(fired, 0);
    run_for(100ms);
    EXPECT_EQ(fired, 1);
    EXPECT_EQ(early, 0);
    EXPECT_GE(monotonic_now() - start, 55ms);
}

TEST_F(event_loop_test, a_timer_may_be_set_earlier_or_cleared)
{
    restartable_timer timer{loop};
    int fired = 0;
    timer.set(10s, [&] { fired += 100; });
    timer.set(5ms, [&] { ++fired; });
    run_for(100ms);
    EXPECT_EQ(fired, 1);
    timer.set(5ms, [&] { ++fired; });
    timer.clear();
    run_for(20ms);
    EXPECT_EQ(fired, 1);
}

TEST_F(event_loop_test, a_timer_may_be_destroyed_by_what_it_runs)
{
    auto timer = std::make_unique<restartable_timer>(loop);
    bool fired = false;
    timer->set(1ms,
               [&]
               {
                   timer.reset();
                   fired = true;
               });
    run_for(50ms);
    EXPECT_TRUE(fired);
}

} // namespace

} // namespace baobabloft::net

// Tests of the descriptor poller and the restartable timer.
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
    void run_for(duration period)
    {
        bool elapsed = false;
        loop.run_after(period, [&] { elapsed = true; });
        while (!elapsed)
            g_main_context_iteration(loop.context(), TRUE);
    }

    event_loop loop;
    event_loop::default_context_scope context_scope{loop};
};

class recording_handler : public fd_handler
{
public:
    void on_ready(GIOCondition ready) override
    {
        ++calls;
        last_conditions = ready;
        if (on_call)
            on_call();
    }

    int calls = 0;
    GIOCondition last_conditions{};
    std::function<void()> on_call;
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

TEST_F(event_loop_test, handler_is_called_while_the_descriptor_is_ready)
{
    const socket_pair pair;
    recording_handler handler;
    const auto watch = loop.poller().watch(pair.ends[1], G_IO_IN, handler);
    run_for(5ms);
    EXPECT_EQ(handler.calls, 0);
    pair.make_readable();
    run_for(5ms);
    EXPECT_GT(handler.calls, 1);
    EXPECT_EQ(handler.last_conditions, G_IO_IN);
    loop.poller().set_conditions(watch, GIOCondition{});
    handler.calls = 0;
    run_for(5ms);
    EXPECT_EQ(handler.calls, 0);
    loop.poller().unwatch(watch);
}

TEST_F(event_loop_test,
       handler_is_not_called_after_another_handler_ends_its_watch)
{
    const socket_pair first_pair;
    const socket_pair second_pair;
    recording_handler first;
    recording_handler second;
    auto& poller = loop.poller();
    const auto first_watch = poller.watch(first_pair.ends[1], G_IO_IN, first);
    const auto second_watch =
        poller.watch(second_pair.ends[1], G_IO_IN, second);
    const auto end_both = [&]
    {
        poller.unwatch(first_watch);
        poller.unwatch(second_watch);
    };
    first.on_call = end_both;
    second.on_call = end_both;
    first_pair.make_readable();
    second_pair.make_readable();
    run_for(5ms);
    EXPECT_EQ(first.calls + second.calls, 1);
}

TEST_F(event_loop_test,
       more_ready_descriptors_than_one_dispatch_takes_are_all_reported)
{
    constexpr std::size_t pair_count = 200;
    std::vector<std::unique_ptr<socket_pair>> pairs;
    std::vector<recording_handler> handlers(pair_count);
    for (auto& handler : handlers)
    {
        pairs.push_back(std::make_unique<socket_pair>());
        pairs.back()->make_readable();
        loop.poller().watch(pairs.back()->ends[1], G_IO_IN, handler);
    }
    run_for(20ms);
    for (const auto& handler : handlers)
        EXPECT_GT(handler.calls, 0);
}

TEST_F(event_loop_test, timer_set_repeatedly_fires_once_at_its_last_deadline)
{
    restartable_timer timer{loop};
    int replaced_fired = 0;
    int fired = 0;
    const auto start = monotonic_now();
    for (int step = 0; step < 5; ++step)
    {
        timer.set(40ms, [&] { ++replaced_fired; });
        run_for(5ms);
    }
    timer.set(30ms, [&] { ++fired; });
    run_for(20ms);
    EXPECT_EQ(fired, 0);
    run_for(100ms);
    EXPECT_EQ(fired, 1);
    EXPECT_EQ(replaced_fired, 0);
    EXPECT_GE(monotonic_now() - start, 55ms);
}

TEST_F(event_loop_test, timer_can_be_set_earlier_or_cleared)
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

TEST_F(event_loop_test, timer_can_be_destroyed_by_its_own_work)
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

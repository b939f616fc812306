// Tests of the membership protocol over a simulated network with loss and
// partitions, in virtual time.
#include "baobabloft/membership/swim.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <memory>

namespace baobabloft::membership
{

namespace
{

/// Routers that exchange messages without delay. Time advances in steps of
/// 50 ms.
class network
{
public:
    explicit network(std::size_t size, std::uint64_t seed = 1) : random_(seed)
    {
        for (std::size_t index = 0; index < size; ++index)
        {
            start(index);
            alive_.push_back(true);
        }
    }

    static router_id id_of(std::size_t index)
    {
        return make_router_id(1, static_cast<std::uint16_t>(index + 1));
    }

    void start(std::size_t index)
    {
        swim_options options;
        options.self = {.id = id_of(index), .incarnation = ++incarnation_};
        options.seed = incarnation_;
        auto member = std::make_unique<swim>(options);
        member->add_seed_routers({id_of(0), id_of(1)});
        if (index < members_.size())
            members_[index] = std::move(member);
        else
            members_.push_back(std::move(member));
    }

    void run(duration time)
    {
        const auto end = now_ + time;
        while (now_ < end)
        {
            now_ += 50ms;
            for (std::size_t index = 0; index < members_.size(); ++index)
            {
                if (!alive_[index])
                    continue;
                members_[index]->tick(now_);
                deliver(index);
            }
        }
    }

    void kill(std::size_t index)
    {
        alive_[index] = false;
    }

    void restart(std::size_t index)
    {
        start(index);
        alive_[index] = true;
    }

    void deliver(std::size_t from)
    {
        for (const auto& item : members_[from]->take_messages())
        {
            const auto to = static_cast<std::size_t>(port_of(item.to)) - 1;
            std::uniform_real_distribution<double> chance(0, 1);
            if (to >= members_.size() || !alive_[to] ||
                chance(random_) < loss_probability)
                continue;
            if (is_link_down && is_link_down(from, to))
                continue;
            delivered_messages += 1;
            members_[to]->handle(now_, id_of(from), item.content);
            if (to != from)
                deliver(to);
        }
    }

    [[nodiscard]] swim& member(std::size_t index)
    {
        return *members_[index];
    }

    [[nodiscard]] bool all_have_live_members(std::size_t count) const
    {
        for (std::size_t index = 0; index < members_.size(); ++index)
            if (alive_[index] &&
                members_[index]->live_members().size() != count)
                return false;
        return true;
    }

    double loss_probability = 0;
    std::function<bool(std::size_t, std::size_t)> is_link_down;
    std::uint64_t delivered_messages = 0;

private:
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<swim>> members_;
    std::vector<bool> alive_;
    time_point now_{1s};
    std::uint64_t incarnation_ = 0;
};

TEST(swim, all_members_join_through_two_seed_routers)
{
    network fleet{20};
    fleet.run(20s);
    EXPECT_TRUE(fleet.all_have_live_members(20));
}

TEST(swim, killed_member_is_removed_and_accepted_after_restart)
{
    network fleet{9};
    fleet.run(20s);
    fleet.kill(4);
    fleet.run(20s);
    EXPECT_TRUE(fleet.all_have_live_members(8));
    EXPECT_LT(fleet.member(0).live_share(), 1.0);
    fleet.restart(4);
    fleet.run(20s);
    EXPECT_TRUE(fleet.all_have_live_members(9));
    EXPECT_EQ(fleet.member(0).live_share(), 1.0);
}

TEST(swim, departing_member_is_removed_without_lowering_live_share)
{
    network fleet{9};
    fleet.run(20s);
    fleet.member(3).leave(time_point{21s});
    fleet.deliver(3);
    fleet.kill(3);
    fleet.run(5s);
    EXPECT_TRUE(fleet.all_have_live_members(8));
    EXPECT_EQ(fleet.member(0).live_share(), 1.0);
}

TEST(swim, datagram_loss_does_not_mark_members_dead)
{
    network fleet{20, 7};
    fleet.run(30s);
    fleet.loss_probability = 0.05;
    fleet.run(120s);
    EXPECT_TRUE(fleet.all_have_live_members(20));
}

TEST(swim, members_reconnect_after_partition)
{
    network fleet{10};
    fleet.run(20s);
    fleet.is_link_down = [](std::size_t from, std::size_t to)
    {
        return (from < 5) != (to < 5);
    };
    fleet.run(60s);
    EXPECT_TRUE(fleet.all_have_live_members(5));
    EXPECT_NEAR(fleet.member(0).live_share(), 0.5, 0.01);
    fleet.is_link_down = {};
    fleet.run(60s);
    EXPECT_TRUE(fleet.all_have_live_members(10));
}

TEST(swim, crash_and_leaving_upstream_reach_all_members)
{
    network fleet{20};
    fleet.run(30s);
    fleet.member(0).publish(upstream_record{upstream_id{9}, 1, true});
    fleet.member(1).publish(crash_record{fingerprint{7}, upstream_id{9}, 1});
    fleet.run(10s);
    for (std::size_t index = 0; index < 20; ++index)
    {
        EXPECT_TRUE(fleet.member(index).is_leaving(upstream_id{9}));
        EXPECT_EQ(fleet.member(index).take_crashes().size(), 1U);
    }
}

TEST(swim, older_version_of_host_list_entry_is_ignored)
{
    network fleet{1};
    auto& member = fleet.member(0);
    member.publish(upstream_record{upstream_id{9}, 2, false});
    member.publish(upstream_record{upstream_id{9}, 1, true});
    EXPECT_FALSE(member.is_leaving(upstream_id{9}));
}

RC_GTEST_PROP(swim, views_converge_after_any_kills_and_restarts, ())
{
    network fleet{6, *rc::gen::inRange<std::uint64_t>(1, 1000)};
    fleet.run(20s);
    std::vector<bool> up(6, true);
    const auto steps = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(2, 6));
    for (const auto index : steps)
    {
        if (up[index])
            fleet.kill(index);
        else
            fleet.restart(index);
        up[index] = !up[index];
        fleet.run(1s);
    }
    fleet.run(60s);
    RC_ASSERT(fleet.all_have_live_members(
        static_cast<std::size_t>(std::count(up.begin(), up.end(), true))));
}

} // namespace

} // namespace baobabloft::membership

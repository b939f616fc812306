// Membership over a small lossy network in virtual time.
#include "baobabloft/membership/swim.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <functional>
#include <memory>

namespace baobabloft::membership
{

namespace
{

/// Routers that exchange messages without delay, in steps of 50 ms.
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

    void revive(std::size_t index)
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
            if (to >= members_.size() || !alive_[to] || chance(random_) < loss)
                continue;
            if (cut && cut(from, to))
                continue;
            sent_bytes += 1;
            members_[to]->handle(now_, id_of(from), item.content);
            if (to != from)
                deliver(to);
        }
    }

    [[nodiscard]] swim& member(std::size_t index)
    {
        return *members_[index];
    }

    [[nodiscard]] bool all_see(std::size_t count) const
    {
        for (std::size_t index = 0; index < members_.size(); ++index)
            if (alive_[index] &&
                members_[index]->live_members().size() != count)
                return false;
        return true;
    }

    double loss = 0;
    std::function<bool(std::size_t, std::size_t)> cut;
    std::uint64_t sent_bytes = 0;

private:
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<swim>> members_;
    std::vector<bool> alive_;
    time_point now_{1s};
    std::uint64_t incarnation_ = 0;
};

TEST(swim, everybody_meets_through_two_seeds)
{
    network fleet{20};
    fleet.run(20s);
    EXPECT_TRUE(fleet.all_see(20));
}

TEST(swim, a_lost_member_is_noticed_and_its_successor_accepted)
{
    network fleet{9};
    fleet.run(20s);
    fleet.kill(4);
    fleet.run(20s);
    EXPECT_TRUE(fleet.all_see(8));
    EXPECT_LT(fleet.member(0).live_share(), 1.0);
    fleet.revive(4);
    fleet.run(20s);
    EXPECT_TRUE(fleet.all_see(9));
    EXPECT_EQ(fleet.member(0).live_share(), 1.0);
}

TEST(swim, a_departing_member_is_gone_at_once_and_not_counted_as_lost)
{
    network fleet{9};
    fleet.run(20s);
    fleet.member(3).leave(time_point{21s});
    fleet.deliver(3);
    fleet.kill(3);
    fleet.run(5s);
    EXPECT_TRUE(fleet.all_see(8));
    EXPECT_EQ(fleet.member(0).live_share(), 1.0);
}

TEST(swim, loss_of_datagrams_does_not_kill_members)
{
    network fleet{20, 7};
    fleet.run(30s);
    fleet.loss = 0.05;
    fleet.run(120s);
    EXPECT_TRUE(fleet.all_see(20));
}

TEST(swim, halves_find_each_other_after_a_partition)
{
    network fleet{10};
    fleet.run(20s);
    fleet.cut = [](std::size_t from, std::size_t to)
    {
        return (from < 5) != (to < 5);
    };
    fleet.run(60s);
    EXPECT_TRUE(fleet.all_see(5));
    EXPECT_NEAR(fleet.member(0).live_share(), 0.5, 0.01);
    fleet.cut = {};
    fleet.run(60s);
    EXPECT_TRUE(fleet.all_see(10));
}

TEST(swim, a_crash_and_a_leaving_upstream_reach_everybody)
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

TEST(swim, an_older_version_of_a_host_entry_is_ignored)
{
    network fleet{1};
    auto& member = fleet.member(0);
    member.publish(upstream_record{upstream_id{9}, 2, false});
    member.publish(upstream_record{upstream_id{9}, 1, true});
    EXPECT_FALSE(member.is_leaving(upstream_id{9}));
}

RC_GTEST_PROP(swim, views_agree_again_after_any_kills_and_revivals, ())
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
            fleet.revive(index);
        up[index] = !up[index];
        fleet.run(1s);
    }
    fleet.run(60s);
    RC_ASSERT(fleet.all_see(
        static_cast<std::size_t>(std::count(up.begin(), up.end(), true))));
}

} // namespace

} // namespace baobabloft::membership

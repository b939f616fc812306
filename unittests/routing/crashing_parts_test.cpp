// Parts of prompts that crash upstreams: one router's decisions, and fleets of
// several sizes in virtual time.
#include "baobabloft/routing/crashing_parts.hpp"

#include "baobabloft/support/hash.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <random>

namespace baobabloft::routing
{

namespace
{

constexpr time_point start{1000s};
constexpr prompt_part_id bad{1};
constexpr prompt_part_id common{2};

part_crash_report crash_of(std::uint64_t request, std::uint32_t upstream,
                           std::vector<prompt_part_id> parts)
{
    return {fingerprint{request}, upstream_id{upstream}, std::move(parts)};
}

TEST(crashing_parts, a_part_of_three_crashes_is_queried_then_quarantined)
{
    crashing_parts judge;
    judge.record_crash(start, crash_of(1, 1, {bad}));
    // The same crash, and the same request.
    judge.record_crash(start + 10ms, crash_of(2, 1, {bad}));
    judge.record_crash(start + 20ms, crash_of(1, 2, {bad}));
    judge.record_crash(start + 30ms, crash_of(3, 3, {bad}));
    EXPECT_TRUE(judge.take_decisions(start + 40ms).queries.empty());
    judge.record_crash(start + 50ms, crash_of(4, 4, {bad}));
    const auto queries = judge.take_decisions(start + 60ms).queries;
    ASSERT_EQ(queries.size(), 1U);
    EXPECT_EQ(queries[0].part, bad);
    EXPECT_EQ(queries[0].within_ms, 60U);
    EXPECT_TRUE(judge.take_decisions(start + 300ms).quarantined.empty());
    EXPECT_EQ(judge.take_decisions(start + 360ms).quarantined,
              std::vector{bad});
    // Repeated, since the datagrams of the first time may be lost.
    EXPECT_TRUE(judge.quarantine(start + 360ms, bad, false));
    EXPECT_TRUE(judge.take_decisions(start + 400ms).quarantined.empty());
    EXPECT_EQ(judge.take_decisions(start + 660ms).quarantined,
              std::vector{bad});
    EXPECT_FALSE(judge.quarantine(start + 660ms, bad, false));
}

TEST(crashing_parts, a_success_anywhere_clears_a_part)
{
    crashing_parts judge;
    crashing_parts other;
    const std::vector parts{common};
    other.record_success(start - 1s, parts);
    for (std::uint32_t crash = 0; crash < 3; ++crash)
        judge.record_crash(start, crash_of(crash, crash, {common}));
    const auto queries = judge.take_decisions(start + 10ms).queries;
    ASSERT_EQ(queries.size(), 1U);
    judge.clear(start + 20ms, other.successes(start + 15ms, queries[0]));
    EXPECT_TRUE(judge.take_decisions(start + 1s).quarantined.empty());
    // A request that was already running ends well.
    judge.quarantine(start + 2s, common, false);
    EXPECT_EQ(judge.record_success(start + 3s, parts), parts);
    EXPECT_FALSE(judge.find_quarantined(start + 3s, parts));
}

TEST(crashing_parts, one_router_tries_a_quarantined_part_at_growing_intervals)
{
    crashing_parts router;
    router.quarantine(start, bad, true);
    EXPECT_FALSE(router.try_begin_trial(start + 9s, bad));
    EXPECT_TRUE(router.try_begin_trial(start + 10s, bad));
    EXPECT_FALSE(router.try_begin_trial(start + 40s, bad));
    EXPECT_TRUE(router.try_begin_trial(start + 50s, bad));
    router.quarantine(start, common, false);
    EXPECT_FALSE(router.try_begin_trial(start + 99s, common));
}

/// A fleet whose routers exchange datagrams with delay and loss. One request in
/// twenty has a part that crashes its upstream; the others share one of four
/// first parts and one of many second parts with it.
class fleet_model
{
public:
    fleet_model(std::size_t routers, std::size_t upstreams, unsigned seed)
        : routers_(routers), away_until_(upstreams), random_(seed)
    {
        for (std::size_t router = 0; router < routers; ++router)
            hashes_.push_back(hash_bytes("r" + std::to_string(router)));
    }

    void step(time_point now)
    {
        deliver(now);
        for (std::size_t router = 0; router < routers_.size(); ++router)
        {
            const auto decisions = routers_[router].take_decisions(now);
            for (const auto& query : decisions.queries)
                send_to_all(now, [this, query, router](std::size_t to)
                            { answer(query, to, router); });
            for (const auto part : decisions.quarantined)
            {
                quarantine(part, router);
                send_to_all(now, [this, part](std::size_t to)
                            { quarantine(part, to); });
            }
        }
    }

    void request(time_point now, bool is_bad)
    {
        now_ = now;
        const auto router = draw(routers_.size());
        const auto upstream = draw(away_until_.size());
        std::vector parts{prompt_part_id{10 + draw(4)}};
        parts.push_back(is_bad ? bad : prompt_part_id{100 + draw(2'000)});
        auto& tracker = routers_[router];
        if (const auto part = tracker.find_quarantined(now, parts);
            part && !tracker.try_begin_trial(now, *part))
        {
            refused_sound_ += is_bad ? 0 : 1;
            return;
        }
        ++arrived_[is_bad];
        if (away_until_[upstream] > now)
            return;
        auto& running = running_[upstream];
        running.push_back({router, ++next_request_, parts});
        if (running.size() > 4)
        {
            routers_[running[0].router].record_success(now, running[0].parts);
            running.erase(running.begin());
        }
        if (!is_bad)
            return;
        ++crashes_;
        away_until_[upstream] = now + 3s;
        for (const auto& item : running)
            report(now, item, static_cast<std::uint32_t>(upstream));
        running.clear();
    }

    [[nodiscard]] std::size_t crashes() const
    {
        return crashes_;
    }

    [[nodiscard]] std::size_t arrived_bad() const
    {
        return arrived_[1];
    }

    [[nodiscard]] std::size_t refused_sound() const
    {
        return refused_sound_;
    }

private:
    struct running_request
    {
        std::size_t router;
        std::uint64_t id;
        std::vector<prompt_part_id> parts;
    };

    std::size_t draw(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>{0,
                                                          count - 1}(random_);
    }

    void send(time_point now, std::function<void()> deliver_it)
    {
        if (draw(50) != 0)
            in_flight_.emplace(now + (1 + draw(40)) * 1ms,
                               std::move(deliver_it));
    }

    template <typename Deliver>
    void send_to_all(time_point now, Deliver deliver_to)
    {
        for (std::size_t to = 0; to < routers_.size(); ++to)
            send(now, [deliver_to, to] { deliver_to(to); });
    }

    void deliver(time_point now)
    {
        now_ = now;
        while (!in_flight_.empty() && in_flight_.begin()->first <= now)
            in_flight_.extract(in_flight_.begin()).mapped()();
    }

    void report(time_point now, const running_request& item,
                std::uint32_t upstream)
    {
        for (const auto part : item.parts)
            for (const auto judge : judges_of(part, hashes_))
                send(now,
                     [this, judge, from = item.router,
                      report = crash_of(item.id, upstream, {part})]
                     {
                         for (const auto known :
                              routers_[judge].record_crash(now_, report))
                             send(now_, [this, known, from]
                                  { quarantine(known, from); });
                     });
    }

    void answer(const part_query& query, std::size_t from, std::size_t to)
    {
        const auto cleared = routers_[from].successes(now_, query);
        if (!cleared.empty())
            send(now_,
                 [this, to, cleared] { routers_[to].clear(now_, cleared); });
    }

    void quarantine(prompt_part_id part, std::size_t router)
    {
        routers_[router].quarantine(now_, part,
                                    judges_of(part, hashes_).front() == router);
    }

    std::vector<crashing_parts> routers_;
    std::vector<std::uint64_t> hashes_;
    std::vector<time_point> away_until_;
    std::map<std::size_t, std::vector<running_request>> running_;
    std::multimap<time_point, std::function<void()>> in_flight_;
    std::mt19937 random_;
    time_point now_;
    std::uint64_t next_request_ = 0;
    std::size_t crashes_ = 0;
    std::array<std::size_t, 2> arrived_{};
    std::size_t refused_sound_ = 0;
};

// Guards against requests that share nothing but one part of their prompts and
// crash one upstream after the other.
TEST(crashing_parts, pattern_tainted_part_is_refused_by_a_whole_fleet)
{
    struct size
    {
        std::size_t routers;
        std::size_t upstreams;
        int requests_per_10ms;
    };
    for (const auto& [routers, upstreams, rate] :
         {size{9, 9, 1}, size{91, 60, 4}, size{295, 153, 8}})
        for (unsigned seed = 1; seed <= 10; ++seed)
        {
            SCOPED_TRACE(testing::Message() << routers << " seed " << seed);
            fleet_model fleet{routers, upstreams, seed};
            std::mt19937 random{seed};
            std::size_t arrived_in_time = 0;
            std::optional<time_point> fifth_crash;
            for (auto now = start; now < start + 30s; now += 10ms)
            {
                fleet.step(now);
                for (int count = 0; count < rate; ++count)
                    fleet.request(now, now > start + 4s && random() % 20 == 0);
                // The users' installations allow 3 s after the fifth crash; if
                // there are fewer, 3 s after the first such request.
                if (fleet.crashes() >= 5 && !fifth_crash)
                    fifth_crash = now;
                if (now <= fifth_crash.value_or(start + 4s) + 3s)
                    arrived_in_time = fleet.arrived_bad();
            }
            EXPECT_GT(arrived_in_time, 0U);
            EXPECT_LE(fleet.arrived_bad() - arrived_in_time, 3U);
            EXPECT_LE(fleet.crashes(), 40U);
            EXPECT_EQ(fleet.refused_sound(), 0U);
        }
}

} // namespace

} // namespace baobabloft::routing

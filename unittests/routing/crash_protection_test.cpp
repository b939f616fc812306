// Requests that crash upstreams: one router's decisions, and fleets of several
// sizes in virtual time.
#include "baobabloft/routing/crash_protection.hpp"

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
constexpr request_feature bad{1};
constexpr request_feature common{2};
constexpr request_feature last_part{3};

feature_crash_report crash_of(std::uint64_t request, std::uint32_t upstream,
                              std::vector<request_feature> features)
{
    return {fingerprint{request}, upstream_id{upstream}, std::move(features)};
}

bool nothing_explained(const crash_verdict&)
{
    return false;
}

quarantine_record record_of(request_feature feature,
                            std::vector<crash_sighting> crashes)
{
    return {.feature = feature, .crashes = std::move(crashes)};
}

TEST(crash_judge, a_part_of_three_crashes_is_queried_then_quarantined)
{
    crash_judge judge;
    const auto charge =
        [&](duration at, std::uint64_t request, std::uint32_t upstream)
    {
        judge.record_crash(start + at, bad, crash_of(request, upstream, {}),
                           false);
    };
    charge(0ms, 1, 1);
    // The same crash, and the same request.
    charge(10ms, 2, 1);
    charge(20ms, 1, 2);
    charge(30ms, 3, 3);
    EXPECT_TRUE(
        judge.take_decisions(start + 40ms, nothing_explained).queries.empty());
    charge(50ms, 4, 4);
    const auto queries =
        judge.take_decisions(start + 60ms, nothing_explained).queries;
    ASSERT_EQ(queries.size(), 1U);
    EXPECT_EQ(queries[0].feature, bad);
    EXPECT_EQ(queries[0].within_ms, 60U);
    // The query is repeated, since datagrams may be lost.
    auto decisions = judge.take_decisions(start + 160ms, nothing_explained);
    EXPECT_EQ(decisions.queries.size(), 1U);
    decisions = judge.take_decisions(start + 300ms, nothing_explained);
    EXPECT_TRUE(decisions.queries.empty());
    EXPECT_TRUE(decisions.verdicts.empty());
    decisions = judge.take_decisions(start + 360ms, nothing_explained);
    ASSERT_EQ(decisions.verdicts.size(), 1U);
    EXPECT_EQ(decisions.verdicts[0].feature, bad);
    EXPECT_EQ(decisions.verdicts[0].crashes.size(), 3U);
}

TEST(crash_judge, decision_waits_for_likelier_causes)
{
    crash_judge judge;
    for (std::uint32_t crash = 0; crash < 3; ++crash)
        judge.record_crash(start, common, crash_of(crash, crash, {}), false);
    judge.take_decisions(start, nothing_explained);
    judge.record_older_successes({&common, 1});
    EXPECT_TRUE(judge.take_decisions(start + 300ms, nothing_explained)
                    .verdicts.empty());
    const auto all_explained = [](const crash_verdict&)
    {
        return true;
    };
    EXPECT_TRUE(
        judge.take_decisions(start + 600ms, all_explained).verdicts.empty());
    // The explanation turns out to be wrong.
    EXPECT_EQ(
        judge.take_decisions(start + 700ms, nothing_explained).queries.size(),
        1U);
    EXPECT_EQ(
        judge.take_decisions(start + 1000ms, nothing_explained).verdicts.size(),
        1U);
}

TEST(crash_protection, a_quarantine_is_announced_three_times)
{
    crash_protection judge{router_id{1}, []
                           {
                               return std::vector<fleet_member>{
                                   {router_id{1}, 1}, {router_id{2}, 2}};
                           }};
    const auto notices = [&](duration at)
    {
        judge.tick(start + at);
        std::size_t count = 0;
        for (const auto& message : judge.take_messages())
            if (const auto* notice =
                    std::get_if<quarantine_notice>(&message.content))
                count += notice->records.size();
        return count;
    };
    for (std::uint32_t crash = 1; crash <= 3; ++crash)
        judge.report_crash(start, crash_of(crash, crash, {bad}));
    EXPECT_EQ(notices(0ms), 0U);
    EXPECT_EQ(notices(299ms), 0U);
    EXPECT_EQ(notices(300ms), 1U);
    EXPECT_EQ(notices(400ms), 0U);
    EXPECT_EQ(notices(600ms), 1U);
    EXPECT_EQ(notices(1300ms), 1U);
    EXPECT_EQ(notices(2000ms), 0U);
    EXPECT_EQ(judge.check(start + 2s, std::vector{bad}), admission::refused);
}

TEST(crash_protection, a_success_anywhere_clears_a_part)
{
    crash_protection judge{router_id{1}, []
                           {
                               return std::vector<fleet_member>{
                                   {router_id{1}, 1}, {router_id{2}, 2}};
                           }};
    crash_protection other{router_id{2}, []
                           {
                               return std::vector<fleet_member>{};
                           }};
    const std::vector parts{common};
    other.record_success(start - 1s, parts);
    for (std::uint32_t crash = 0; crash < 3; ++crash)
        judge.handle(start, router_id{2}, crash_of(crash, crash, {common}));
    judge.tick(start + 10ms);
    for (const auto& message : judge.take_messages())
        if (const auto* query = std::get_if<success_query>(&message.content))
            other.handle(start + 15ms, router_id{1}, *query);
    for (const auto& message : other.take_messages())
        if (const auto* cleared =
                std::get_if<features_cleared>(&message.content))
            judge.handle(start + 20ms, router_id{2}, *cleared);
    judge.tick(start + 1s);
    EXPECT_EQ(judge.check(start + 1s, parts), admission::admitted);
    // A router that knows of a success contradicts a quarantine.
    other.handle(start + 1s, router_id{1},
                 quarantine_notice{{record_of(common, {{{}, 1000}})}});
    EXPECT_EQ(other.check(start + 1s, parts), admission::admitted);
    EXPECT_EQ(other.take_messages().size(), 1U);
    // A request that was already running ends well.
    judge.handle(start + 9s, router_id{2},
                 quarantine_notice{{record_of(common, {{{}, 0}})}});
    EXPECT_EQ(judge.check(start + 9s, parts), admission::refused);
    judge.record_success(start + 10s, parts);
    EXPECT_EQ(judge.check(start + 10s, parts), admission::admitted);
}

/// A fleet of one router, which judges everything.
crash_protection make_single_router()
{
    return {router_id{1}, []
            {
                return std::vector<fleet_member>{{router_id{1}, 1}};
            }};
}

feature_crash_report crash_of_whole(fingerprint request, std::uint32_t upstream)
{
    return {request, upstream_id{upstream}, {feature_of(request)}};
}

TEST(crash_protection, repeated_request_is_quarantined_after_two_crashes)
{
    auto router = make_single_router();
    const fingerprint request{1};
    const std::vector features{feature_of(request)};
    router.report_crash(start, crash_of_whole(request, 1));
    router.report_crash(start + 100ms, crash_of_whole(request, 1));
    EXPECT_TRUE(router.is_suspect(start + 100ms, request));
    EXPECT_EQ(router.check(start + 100ms, features), admission::admitted);
    router.report_crash(start + 1s, crash_of_whole(request, 2));
    // Refused while its judges decide, too.
    EXPECT_EQ(router.check(start + 1s, features), admission::refused);
    for (auto now = start + 1s; now < start + 3s; now += 50ms)
        router.tick(now);
    ASSERT_EQ(router.quarantined(start + 3s).size(), 1U);
    EXPECT_TRUE(router.quarantined(start + 3s).front().is_whole_request);
    EXPECT_EQ(router.check(start + 3s, features), admission::refused);
    EXPECT_FALSE(router.is_suspect(start + 700s, request));
    EXPECT_EQ(router.check(start + 700s, features), admission::admitted);
}

TEST(crash_protection, response_clears_the_suspicion_against_a_request)
{
    auto router = make_single_router();
    const fingerprint request{1};
    const std::vector features{feature_of(request)};
    router.report_crash(start, crash_of_whole(request, 1));
    router.record_success(start, features);
    EXPECT_FALSE(router.is_suspect(start, request));
    router.report_crash(start + 1s, crash_of_whole(request, 2));
    EXPECT_TRUE(router.is_suspect(start + 1s, request));
    router.tick(start + 1s);
    router.tick(start + 2s);
    EXPECT_EQ(router.check(start + 2s, features), admission::admitted);
}

TEST(quarantine, trials_come_at_growing_intervals)
{
    quarantine parts;
    const std::vector features{bad};
    parts.add(start, record_of(bad, {{upstream_id{1}, 0}}));
    EXPECT_EQ(parts.check(start + 9s, features), admission::refused);
    EXPECT_EQ(parts.check(start + 10s, features), admission::trial_due);
    parts.begin_trial(start + 10s, features);
    EXPECT_EQ(parts.check(start + 40s, features), admission::refused);
    EXPECT_EQ(parts.check(start + 50s, features), admission::trial_due);
}

TEST(crash_protection, a_judge_grants_one_trial_to_all_routers)
{
    auto judge = make_single_router();
    const auto granted = [&](duration at, std::uint32_t sequence)
    {
        judge.handle(start + at, router_id{1 + sequence},
                     trial_query{sequence, {record_of(bad, {{{}, 0}})}});
        const auto messages = judge.take_messages();
        return !messages.empty() &&
               std::get<trial_response>(messages.back().content).granted;
    };
    judge.handle(start, router_id{2},
                 quarantine_notice{{record_of(bad, {{{}, 0}})}});
    EXPECT_FALSE(granted(9s, 1));
    EXPECT_TRUE(granted(10s, 2));
    EXPECT_FALSE(granted(10s, 3));
    EXPECT_FALSE(granted(40s, 4));
    EXPECT_TRUE(granted(50s, 5));
    EXPECT_FALSE(granted(99s, 6));
}

TEST(quarantine, part_of_the_same_crashes_as_another_is_tried_without_it)
{
    quarantine parts;
    const std::vector<crash_sighting> crashes{
        {upstream_id{1}, 20}, {upstream_id{2}, 10}, {upstream_id{3}, 0}};
    parts.add(start, record_of(bad, crashes));
    parts.add(start, record_of(common, crashes));
    EXPECT_EQ(parts.check(start, std::vector{common, bad}), admission::refused);
    EXPECT_EQ(parts.check(start, std::vector{common}), admission::trial_due);
    parts.begin_trial(start, std::vector{common});
    EXPECT_EQ(parts.check(start, std::vector{common}), admission::refused);
    EXPECT_EQ(parts.check(start + 1s, std::vector{common}),
              admission::trial_due);
    // A trial that crashes its upstream is explained by nothing else.
    parts.record_crash(start + 1s, common, upstream_id{4});
    EXPECT_EQ(parts.check(start + 9s, std::vector{common}), admission::refused);
}

/// Features of one crash each are no explanation of several: a repetition of
/// each request may have crashed another upstream.
TEST(quarantine, repetitions_of_requests_do_not_explain_crashes_of_their_part)
{
    quarantine features;
    std::vector<crash_event> crashes;
    for (std::uint32_t number = 0; number < 3; ++number)
    {
        const upstream_id upstream{number};
        features.add(start,
                     record_of(request_feature{100 + number}, {{upstream, 0}}));
        crashes.push_back({upstream, start});
    }
    EXPECT_FALSE(features.is_explained(crashes, true, {}));
}

// Guards against a part that is tried at once, again and again, since several
// repeated requests that have it were running at the same crashes.
TEST(quarantine, repeated_requests_do_not_explain_crashes_of_a_part)
{
    quarantine features;
    const std::vector<crash_sighting> crashes{
        {upstream_id{1}, 20}, {upstream_id{2}, 10}, {upstream_id{3}, 0}};
    features.add(start, record_of(bad, crashes));
    for (std::uint64_t number = 0; number < 2; ++number)
    {
        auto repeated = record_of(request_feature{100 + number}, crashes);
        repeated.is_whole_request = true;
        features.add(start, repeated);
    }
    EXPECT_EQ(features.check(start + 9s, std::vector{bad}), admission::refused);
    // A repeated request may be explained by another one, or by a part.
    EXPECT_EQ(features.check(start + 9s, std::vector{request_feature{100}}),
              admission::trial_due);
}

/// A fleet whose routers exchange datagrams with delay and loss. Requests with
/// the part `bad` crash their upstream.
class fleet_model
{
public:
    fleet_model(std::size_t routers, std::size_t upstreams, unsigned seed)
        : away_until_(upstreams), random_(seed)
    {
        for (std::size_t router = 0; router < routers; ++router)
            members_.push_back(
                {router_id{router}, hash_bytes("r" + std::to_string(router))});
        for (std::size_t router = 0; router < routers; ++router)
            routers_.push_back(make_router(router));
    }

    void step(time_point now)
    {
        now_ = now;
        while (!events_.empty() && events_.begin()->first <= now)
            events_.extract(events_.begin()).mapped()();
        for (std::size_t router = 0; router < routers_.size(); ++router)
        {
            routers_[router]->tick(now);
            send_messages(router);
        }
    }

    /// Sends a request to a random router.
    void request(const std::vector<request_feature>& parts)
    {
        const bool is_bad = std::ranges::find(parts, bad) != parts.end();
        repeat_request(fingerprint{++next_request_}, parts, is_bad);
    }

    /// Sends a request, or its repetition, to a random router.
    void repeat_request(fingerprint id,
                        const std::vector<request_feature>& parts, bool is_bad)
    {
        const auto router = draw(routers_.size());
        std::vector features{feature_of(id)};
        features.insert(features.end(), parts.begin(), parts.end());
        auto& protection = *routers_[router];
        switch (protection.check(now_, features))
        {
        case admission::admitted:
            run(router, id, std::move(features), is_bad);
            return;
        case admission::refused:
            ++refused_[is_bad];
            return;
        case admission::trial_due:
            protection.request_trial(
                now_, features,
                [this, router, id, features, is_bad](bool granted)
                {
                    if (granted)
                        run(router, id, features, is_bad);
                    else
                        ++refused_[is_bad];
                });
            send_messages(router);
        }
    }

    void restart(std::size_t router)
    {
        routers_[router] = make_router(router);
        ++restarts_[router];
        routers_[router]->query_quarantine(now_);
        send_messages(router);
    }

    void restart_one()
    {
        restart(draw(routers_.size()));
    }

    [[nodiscard]] std::size_t crashes() const
    {
        return crashes_;
    }

    [[nodiscard]] std::size_t arrived_bad() const
    {
        return arrived_[1];
    }

    [[nodiscard]] std::size_t arrived_sound() const
    {
        return arrived_[0];
    }

    [[nodiscard]] std::size_t refused_sound() const
    {
        return refused_[0];
    }

    [[nodiscard]] std::size_t draw(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>{0,
                                                          count - 1}(random_);
    }

private:
    struct running_request
    {
        std::size_t router = 0;
        std::uint64_t run = 0;
        fingerprint id{};
        std::vector<request_feature> features;
    };

    std::unique_ptr<crash_protection> make_router(std::size_t router)
    {
        return std::make_unique<crash_protection>(router_id{router},
                                                  [this] { return members_; });
    }

    void run(std::size_t router, fingerprint id,
             std::vector<request_feature> features, bool is_bad)
    {
        constexpr duration run_time = 400ms;
        constexpr duration away_time = 3s;
        constexpr duration crash_notice_delay = 60ms;
        ++arrived_[is_bad];
        const auto upstream = draw(away_until_.size());
        if (away_until_[upstream] > now_)
            return;
        auto& running = running_[upstream];
        const auto run = ++last_run_;
        running.push_back({router, run, id, std::move(features)});
        if (!is_bad)
        {
            events_.emplace(now_ + run_time,
                            [this, upstream, run] { finish(upstream, run); });
            return;
        }
        ++crashes_;
        away_until_[upstream] = now_ + away_time;
        for (const auto& item : std::exchange(running, {}))
            events_.emplace(
                now_ + crash_notice_delay,
                [this, upstream, item, start_count = restarts_[item.router]]
                {
                    if (restarts_[item.router] == start_count)
                        report(item, upstream);
                });
    }

    void finish(std::size_t upstream, std::uint64_t run)
    {
        auto& running = running_[upstream];
        const auto found =
            std::ranges::find(running, run, &running_request::run);
        if (found == running.end())
            return;
        routers_[found->router]->record_success(now_, found->features);
        send_messages(found->router);
        running.erase(found);
    }

    void report(const running_request& item, std::size_t upstream)
    {
        routers_[item.router]->report_crash(
            now_, {item.id, upstream_id{static_cast<std::uint32_t>(upstream)},
                   item.features});
        send_messages(item.router);
    }

    void send_messages(std::size_t from)
    {
        for (auto& [to, content] : routers_[from]->take_messages())
        {
            if (draw(50) == 0)
                continue;
            events_.emplace(
                now_ + (1 + draw(40)) * 1ms,
                [this, from, to = raw(to), content = std::move(content)]
                {
                    std::visit(
                        [&](const auto& message) {
                            routers_[to]->handle(now_, router_id{from},
                                                 message);
                        },
                        content);
                    send_messages(to);
                });
        }
    }

    std::vector<fleet_member> members_;
    std::vector<std::unique_ptr<crash_protection>> routers_;
    std::vector<time_point> away_until_;
    std::map<std::size_t, std::vector<running_request>> running_;
    std::map<std::size_t, int> restarts_;
    std::multimap<time_point, std::function<void()>> events_;
    std::mt19937 random_;
    time_point now_;
    std::uint64_t next_request_ = 0;
    std::uint64_t last_run_ = 0;
    std::size_t crashes_ = 0;
    std::array<std::size_t, 2> arrived_{};
    std::array<std::size_t, 2> refused_{};
};

struct fleet_size
{
    std::size_t routers;
    std::size_t upstreams;
    int requests_per_10ms;
};

constexpr std::array fleet_sizes{fleet_size{9, 9, 1}, fleet_size{91, 60, 4},
                                 fleet_size{295, 153, 8}};

/// Counts the requests that reached upstreams later than the users'
/// installations allow: 3 s after the fifth crash; if there are fewer, 3 s
/// after the first such request.
class late_arrivals
{
public:
    void record(const fleet_model& fleet, time_point now, time_point first_at)
    {
        if (fleet.crashes() >= 5 && !fifth_crash_)
            fifth_crash_ = now;
        if (now <= fifth_crash_.value_or(first_at) + 3s)
            in_time_ = fleet.arrived_bad();
    }

    [[nodiscard]] std::size_t count(const fleet_model& fleet) const
    {
        return fleet.arrived_bad() - in_time_;
    }

    [[nodiscard]] std::size_t in_time() const
    {
        return in_time_;
    }

private:
    std::optional<time_point> fifth_crash_;
    std::size_t in_time_ = 0;
};

// Guards against requests that share nothing but one part of their prompts and
// crash one upstream after the other.
TEST(crash_protection, pattern_tainted_part_is_refused_by_a_whole_fleet)
{
    for (const auto& [routers, upstreams, rate] : fleet_sizes)
        for (unsigned seed = 1; seed <= 10; ++seed)
        {
            SCOPED_TRACE(testing::Message() << routers << " seed " << seed);
            fleet_model fleet{routers, upstreams, seed};
            std::mt19937 random{seed};
            late_arrivals late;
            for (auto now = start; now < start + 30s; now += 10ms)
            {
                fleet.step(now);
                for (int count = 0; count < rate; ++count)
                {
                    const bool is_bad = now > start + 4s && random() % 20 == 0;
                    fleet.request(
                        {request_feature{10 + fleet.draw(4)},
                         is_bad ? bad
                                : request_feature{100 + fleet.draw(2'000)}});
                }
                late.record(fleet, now, start + 4s);
            }
            EXPECT_GT(late.in_time(), 0U);
            EXPECT_LE(late.count(fleet), 3U);
            EXPECT_LE(fleet.crashes(), 40U);
            EXPECT_EQ(fleet.refused_sound(), 0U);
        }
}

/// What the requests that crash upstreams have in common with sound ones.
struct shared_parts_case
{
    const char* name;
    std::vector<request_feature> crashing;
    std::vector<request_feature> sound;
};

// Guards against sound requests that are refused as long as requests with a
// crashing part come, if they share the other parts and are rare.
TEST(crash_protection, pattern_rare_sound_requests_are_told_from_crashing_ones)
{
    const request_feature other{4};
    const std::array cases{
        shared_parts_case{"first part", {common, bad}, {common, other}},
        shared_parts_case{"second part", {bad, common}, {other, common}},
        shared_parts_case{"parts around it",
                          {common, bad, last_part},
                          {common, other, last_part}}};
    for (const auto& [routers, upstreams, rate] : fleet_sizes)
        for (const auto& parts : cases)
            for (unsigned seed = 1; seed <= 10; ++seed)
            {
                SCOPED_TRACE(testing::Message()
                             << routers << " routers, " << parts.name
                             << ", seed " << seed);
                fleet_model fleet{routers, upstreams, seed};
                late_arrivals late;
                std::size_t sound = 0;
                std::size_t arrived_before = 0;
                for (auto now = start; now < start + 90s; now += 10ms)
                {
                    fleet.step(now);
                    const auto age = now - start;
                    if (age % 1s == 0ms)
                        fleet.restart_one();
                    if (age > 43s && age % 160ms == 0ms)
                        fleet.request(parts.crashing);
                    if (age == 54s)
                        arrived_before = fleet.arrived_sound();
                    if (age % 5s == 0ms)
                        for (int count = 0; count < 4; ++count)
                        {
                            fleet.request(parts.sound);
                            sound += age >= 54s ? 1 : 0;
                        }
                    late.record(fleet, now, start + 43s);
                }
                EXPECT_LE(late.count(fleet), 3U);
                EXPECT_GE(2 * (fleet.arrived_sound() - arrived_before), sound);
            }
}

// Guards against a part that is tried again, or forgotten, as routers restart.
TEST(crash_protection, pattern_crashing_part_stays_out_while_routers_restart)
{
    for (const auto& [routers, upstreams, rate] : fleet_sizes)
        for (unsigned seed = 1; seed <= 10; ++seed)
        {
            SCOPED_TRACE(testing::Message() << routers << " seed " << seed);
            fleet_model fleet{routers, upstreams, seed};
            late_arrivals late;
            for (auto now = start; now < start + 90s; now += 10ms)
            {
                fleet.step(now);
                const auto age = now - start;
                if (age > 8s && age % 200ms == 0ms)
                    fleet.restart_one();
                for (int count = 0; count < rate; ++count)
                    fleet.request(
                        {request_feature{10 + fleet.draw(4)},
                         fleet.draw(20) == 0
                             ? bad
                             : request_feature{100 + fleet.draw(2'000)}});
                late.record(fleet, now, start);
            }
            EXPECT_LE(late.count(fleet), 3U);
            EXPECT_LE(fleet.refused_sound(), fleet.arrived_sound() / 200);
        }
}

constexpr fingerprint crashing_request{900'000};
constexpr fingerprint popular_request{900'001};

// Guards against a sound request that many callers send, and that all routers
// refuse for ten minutes after two upstreams crashed while they ran it.
TEST(crash_protection, pattern_repeated_sound_request_survives_two_crashes)
{
    for (const auto& [routers, upstreams, rate] : fleet_sizes)
        for (unsigned seed = 1; seed <= 10; ++seed)
        {
            SCOPED_TRACE(testing::Message() << routers << " seed " << seed);
            fleet_model fleet{routers, upstreams, seed};
            for (auto now = start; now < start + 60s; now += 10ms)
            {
                fleet.step(now);
                const auto age = now - start;
                // The first two crash their upstream by chance, and are
                // repeated with success.
                if (age == 1s || age == 5s)
                {
                    fleet.repeat_request(popular_request, {}, true);
                    fleet.repeat_request(popular_request, {}, false);
                }
                if (age > 10s && age % 100ms == 0ms)
                    fleet.repeat_request(popular_request, {}, false);
            }
            EXPECT_EQ(fleet.refused_sound(), 0U);
        }
}

// Guards against a sound request that stays refused after crashes that no
// success followed at once.
TEST(crash_protection, pattern_sound_request_is_served_again_after_a_trial)
{
    for (const auto& [routers, upstreams, rate] : fleet_sizes)
        for (unsigned seed = 1; seed <= 10; ++seed)
        {
            SCOPED_TRACE(testing::Message() << routers << " seed " << seed);
            fleet_model fleet{routers, upstreams, seed};
            std::size_t refused_before = 0;
            for (auto now = start; now < start + 60s; now += 10ms)
            {
                fleet.step(now);
                const auto age = now - start;
                if (age == 1s || age == 1500ms)
                    fleet.repeat_request(popular_request, {}, true);
                if (age > 3s && age % 100ms == 0ms)
                    fleet.repeat_request(popular_request, {}, false);
                if (age == 14s)
                    refused_before = fleet.refused_sound();
            }
            EXPECT_EQ(fleet.refused_sound(), refused_before);
        }
}

// Guards against a request that crashes upstreams and is run again: by its
// callers' repetitions at all routers, or by routers that have restarted.
TEST(crash_protection, pattern_crashing_request_is_refused_by_a_whole_fleet)
{
    for (const auto& [routers, upstreams, rate] : fleet_sizes)
        for (const bool restarts : {false, true})
            for (unsigned seed = 1; seed <= 10; ++seed)
            {
                SCOPED_TRACE(testing::Message()
                             << routers << " seed " << seed
                             << (restarts ? ", restarts" : ""));
                fleet_model fleet{routers, upstreams, seed};
                // The users' installations allow three from 3 s after the
                // third crash on.
                std::optional<time_point> third_crash;
                std::size_t in_time = 0;
                for (auto now = start; now < start + 90s; now += 10ms)
                {
                    fleet.step(now);
                    const auto age = now - start;
                    if (restarts && age > 8s && age % 200ms == 0ms)
                        fleet.restart_one();
                    if (age % 250ms == 0ms)
                        fleet.repeat_request(crashing_request, {common}, true);
                    for (int count = 0; count < rate; ++count)
                        fleet.request(
                            {common, request_feature{100 + fleet.draw(2'000)}});
                    if (fleet.crashes() >= 3 && !third_crash)
                        third_crash = now;
                    if (now <= third_crash.value_or(start) + 3s)
                        in_time = fleet.arrived_bad();
                }
                EXPECT_LE(fleet.arrived_bad() - in_time, 3U);
                EXPECT_EQ(fleet.refused_sound(), 0U);
            }
}

} // namespace

} // namespace baobabloft::routing

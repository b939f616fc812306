// Tests of roll-outs: whole fleets in virtual time, and single decisions.
#include "baobabloft/dispatch/rollout_control.hpp"
#include "baobabloft/support/hash.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <random>

namespace baobabloft::dispatch
{

namespace
{

using directory::rollout_phase;

enum class fault_kind : std::uint8_t
{
    none,
    grey,
    share,
    late,
    load,
    one_route,
    slow
};

struct play_options
{
    std::size_t routers = 9;
    fault_kind fault = fault_kind::none;
    double bad_share = 0.3;
    std::uint32_t seed = 1;
};

struct play_result
{
    double requests = 0;
    double bad_requests = 0;
    std::optional<time_point> fiftieth_bad;
    time_point last_target;
    std::optional<rollout_phase> phase;
    time_point phase_at;
    /// Requests in progress at the old version when it stopped.
    std::size_t cut = 0;
};

constexpr auto step = 10ms;
constexpr auto limit = 12s;
constexpr std::array route_failures{0.0, 0.02, 0.12};

/// A fleet, its store and the upstreams of a service in virtual time.
class play
{
public:
    explicit play(const play_options& options)
        : options_(options), random_(options.seed),
          rate_(options.routers < 20 ? between(15, 40) : between(4, 20)),
          upstreams_(options.routers < 20 ? 6 : 40)
    {
        for (std::size_t index = 0; index < options_.routers; ++index)
        {
            members_.push_back({router_id{index + 1}, hash_combine(index, 7)});
            routers_.emplace_back();
            start(index, time_point{1s} + duration{random_() % 300'000});
        }
        for (std::size_t index = 0; index < 2 * upstreams_; ++index)
        {
            const bool is_grey =
                options_.fault == fault_kind::grey && chance(0.15);
            own_failures_.push_back(is_grey ? 0.45 : chance(0.25) ? 0.03 : 0.0);
        }
        store_away_at_ = time_point{1s} + duration{random_() % 7'000'000};
        recent_.resize(2 * upstreams_);
    }

    play_result run()
    {
        const time_point end{1s + limit + 2s};
        for (now_ = time_point{1s}; now_ < end; now_ += step)
        {
            deliver();
            for (std::size_t index = 0; index < routers_.size(); ++index)
                advance(index);
            // One router in a hundred a second restarts.
            if (chance(0.0001 * static_cast<double>(routers_.size())))
                start(random_() % routers_.size(), now_ + 400ms);
        }
        return result_;
    }

private:
    struct router
    {
        std::unique_ptr<rollout_control> control;
        time_point sees_order;
        std::uint32_t lifetime = 0;
    };

    struct in_progress
    {
        std::size_t router = 0;
        std::uint32_t lifetime = 0;
        rollout_outcome outcome;
    };

    double between(double low, double high)
    {
        return std::uniform_real_distribution{low, high}(random_);
    }
    bool chance(double share)
    {
        return between(0, 1) < share;
    }

    void start(std::size_t index, time_point sees_order)
    {
        auto& item = routers_[index];
        item.lifetime = static_cast<std::uint32_t>(random_());
        item.sees_order = sees_order;
        item.control = std::make_unique<rollout_control>(
            members_[index].id, item.lifetime, [this] { return members_; });
    }

    bool store_is_away() const
    {
        return options_.seed % 2 == 0 && now_ >= store_away_at_ &&
               now_ < store_away_at_ + 3s;
    }

    void deliver()
    {
        while (!messages_.empty() && messages_.begin()->first <= now_)
        {
            auto [from, message] =
                messages_.extract(messages_.begin()).mapped();
            std::visit(
                [&, from = from, to = message.to](const auto& content)
                { routers_[raw(to) - 1].control->handle(now_, from, content); },
                message.content);
        }
        while (!requests_.empty() && requests_.begin()->first <= now_)
        {
            const auto item = requests_.extract(requests_.begin()).mapped();
            auto& owner = routers_[item.router];
            if (owner.lifetime != item.lifetime)
                continue;
            owner.control->record_outcome(now_, item.outcome);
            owner.control->record_ended("app", item.outcome.is_target);
        }
    }

    void advance(std::size_t index)
    {
        auto& item = routers_[index];
        const auto steps = (now_ - time_point{}) / step;
        if ((static_cast<std::size_t>(steps) + index) % 10 == 0)
            tick(index, item);
        std::poisson_distribution<int> arrivals{rate_ * to_seconds(step)};
        for (int count = arrivals(random_); count > 0; --count)
            send(index, item);
    }

    void tick(std::size_t index, router& item)
    {
        if (now_ >= item.sees_order && !store_is_away())
            item.control->update(now_,
                                 {.order = {"app", "v2", limit},
                                  .order_revision = 5,
                                  .first_seen = item.sees_order,
                                  .phase = result_.phase,
                                  .status_revision = status_revision_},
                                 {upstreams_, upstreams_});
        item.control->tick(now_);
        for (auto& message : item.control->take_messages())
            if (!chance(0.1))
                messages_.emplace(now_ + duration{1000 + random_() % 3000},
                                  std::pair{members_[index].id, message});
        for (const auto& write : item.control->take_writes())
        {
            auto end = rollout_write_end::unknown;
            if (!store_is_away())
            {
                const bool matches = write.status_revision == status_revision_;
                end = matches ? rollout_write_end::written
                              : rollout_write_end::conflict;
                if (matches)
                    apply(write);
                if (chance(0.2))
                    end = rollout_write_end::unknown;
            }
            item.control->handle_write_end(now_, "app", end);
        }
        item.control->take_events();
    }

    void apply(const rollout_write& write)
    {
        EXPECT_TRUE(!result_.phase || *result_.phase == rollout_phase::active)
            << "a final phase was replaced";
        result_.phase = write.status.phase;
        result_.phase_at = now_;
        ++status_revision_;
        if (write.status.phase == rollout_phase::complete)
            result_.cut = static_cast<std::size_t>(std::ranges::count_if(
                requests_,
                [this](const auto& item)
                {
                    const auto& request = item.second;
                    return !request.outcome.is_target &&
                           routers_[request.router].lifetime ==
                               request.lifetime;
                }));
    }

    bool is_bad_now(std::size_t upstream, std::size_t route)
    {
        const auto age = now_ - time_point{1s};
        switch (options_.fault)
        {
        case fault_kind::share:
            return chance(options_.bad_share);
        case fault_kind::late:
            return age > 3s && chance(options_.bad_share);
        case fault_kind::load:
        {
            auto& recent = recent_[upstream];
            std::erase_if(recent, [&](auto at) { return now_ - at > 1s; });
            recent.push_back(now_);
            const double usual = rate_ * static_cast<double>(options_.routers) /
                                 static_cast<double>(upstreams_);
            return static_cast<double>(recent.size()) > usual / 2 &&
                   chance(options_.bad_share);
        }
        case fault_kind::one_route:
            return route == 0 && chance(options_.bad_share);
        default:
            return false;
        }
    }

    void send(std::size_t index, router& item)
    {
        const auto key = random_();
        const auto choice =
            item.control->choose(now_, "app", hash_combine(key, 1), false);
        const bool is_target = choice.rule == version_rule::target_only;
        const auto width = is_target && choice.target_width > 0
                               ? choice.target_width
                               : upstreams_;
        const auto upstream = key % width + (is_target ? upstreams_ : 0);
        const auto route = random_() % route_failures.size();
        item.control->record_sent(now_, "app", is_target);
        std::lognormal_distribution<double> times{std::log(0.1), 0.4};
        double seconds = times(random_);
        const bool is_bad = is_target && is_bad_now(upstream, route);
        const bool is_slow = is_target && options_.fault == fault_kind::slow;
        if (is_target && now_ < time_point{4s})
            seconds *= 2.5;
        if (is_slow)
            seconds *= 8;
        const bool failed = is_bad || chance(own_failures_[upstream]) ||
                            chance(route_failures.at(route));
        const std::array<std::string_view, 3> names{"a", "b", "c"};
        const auto latency = from_seconds(seconds);
        requests_.emplace(
            now_ + latency,
            in_progress{index,
                        item.lifetime,
                        {.service = "app",
                         .route = names.at(route),
                         .upstream = upstream_id{static_cast<std::uint32_t>(
                             upstream + 1)},
                         .is_target = is_target,
                         .failed = failed,
                         .latency = latency}});
        if (now_ < time_point{1s + limit})
        {
            ++result_.requests;
            result_.bad_requests += is_target ? 1 : 0;
        }
        if (!is_target)
            return;
        result_.last_target = now_;
        if ((is_bad || is_slow) && ++bad_responses_ == 50)
            result_.fiftieth_bad = now_ + latency;
    }

    play_options options_;
    std::mt19937_64 random_;
    double rate_;
    std::size_t upstreams_;
    std::vector<routing::fleet_member> members_;
    std::vector<router> routers_;
    std::vector<double> own_failures_;
    std::vector<std::vector<time_point>> recent_;
    time_point now_;
    time_point store_away_at_;
    std::multimap<time_point, std::pair<router_id, addressed_rollout_message>>
        messages_;
    std::multimap<time_point, in_progress> requests_;
    std::uint64_t status_revision_ = 0;
    std::size_t bad_responses_ = 0;
    play_result result_;
};

/// Returns the least share of bad responses for which the rule is made: a small
/// fleet has few requests to judge by, and a version that is bad only at times
/// shows itself in part of them.
double least_share(fault_kind fault, std::size_t routers)
{
    const bool is_small = routers < 20;
    switch (fault)
    {
    case fault_kind::share:
        return is_small ? 0.1 : 0.05;
    case fault_kind::late:
    case fault_kind::one_route:
        return is_small ? 0.3 : 0.1;
    case fault_kind::load:
        return is_small ? 2 : 0.3;
    default:
        return 0;
    }
}

/// Plays fleets with lost datagrams, restarts and a store that is away, of
/// which some get a bad version; those with shares of bad responses below the
/// least one if `is_weak`, else the others.
void play_fleets(std::uint32_t plays, bool is_weak)
{
    constexpr std::array sizes{9, 91, 295};
    constexpr std::array shares{0.05, 0.1, 0.3, 1.0};
    std::size_t good = 0;
    std::size_t incomplete = 0;
    std::size_t false_verdicts = 0;
    std::size_t cut = 0;
    for (std::uint32_t seed = 0; seed < plays; ++seed)
    {
        const play_options options{
            .routers = static_cast<std::size_t>(sizes.at(seed / 7 % 3)),
            .fault = static_cast<fault_kind>(seed % 7),
            .bad_share = shares.at(seed / 21 % 4),
            .seed = seed + 1};
        if (is_weak !=
            (options.bad_share < least_share(options.fault, options.routers)))
            continue;
        const auto result = play{options}.run();
        const auto label =
            testing::Message()
            << "seed " << seed << " fault " << seed % 7 << " share "
            << options.bad_share << " routers " << options.routers
            << ": target " << result.bad_requests << " of " << result.requests
            << ", phase at " << to_seconds(result.phase_at - time_point{1s})
            << " s, cut " << result.cut;
        if (options.fault <= fault_kind::grey)
        {
            ++good;
            cut += result.cut;
            false_verdicts += result.phase == rollout_phase::reverted ? 1U : 0U;
            const bool is_in_time = result.phase == rollout_phase::complete &&
                                    result.phase_at < time_point{1s + limit};
            incomplete += is_in_time ? 0U : 1U;
            if (!is_in_time)
                std::cout << "not complete in time: " << label << "\n";
            continue;
        }
        EXPECT_LE(result.bad_requests, 0.1 * result.requests + 50) << label;
        EXPECT_EQ(result.phase, rollout_phase::reverted) << label;
        if (result.fiftieth_bad)
        {
            EXPECT_LE(result.last_target, *result.fiftieth_bad + 5s) << label;
        }
    }
    std::cout << incomplete << " of " << good
              << " good versions not complete in time, " << false_verdicts
              << " reverted, " << cut << " requests cut\n";
    EXPECT_LE(100 * incomplete, good);
    EXPECT_LE(100 * false_verdicts, good);
    // Routers that have just restarted do not know the order yet.
    EXPECT_LE(cut, 2 * good);
}

/// The variable BAOBAB_ROLLOUT_PLAYS sets the number of plays.
std::uint32_t number_of_plays()
{
    const char* text = std::getenv("BAOBAB_ROLLOUT_PLAYS");
    return static_cast<std::uint32_t>(text != nullptr ? std::atoi(text) : 63);
}

/// Bad from the start, late, under load, on one route, slow; good beside grey.
TEST(rollout, bad_versions_are_reverted_and_good_ones_complete)
{
    play_fleets(number_of_plays(), false);
}

/// The same with fewer bad responses than the rule can tell from usual ones.
TEST(rollout, versions_with_few_bad_responses_are_reverted)
{
    play_fleets(number_of_plays(), true);
}

/// One router, which is its own judge, with an order of its directory.
class rollout_decisions : public testing::Test
{
protected:
    /// Lets time pass; with `sends`, requests are sent and succeed.
    void pass(duration length, bool sends)
    {
        for (const auto end = now_ + length; now_ < end; now_ += 50ms)
        {
            control_.update(now_, known_, upstreams_);
            control_.tick(now_);
            for (const auto& write : control_.take_writes())
            {
                writes_.push_back(write);
                if (!is_store_answering_)
                    continue;
                known_.phase = write.status.phase;
                ++known_.status_revision;
                control_.handle_write_end(now_, "app",
                                          rollout_write_end::written);
            }
            for (int count = 0; sends && count < 10; ++count)
                send();
        }
    }

    version_rule send()
    {
        const auto rule = control_.choose(now_, "app", ++key_, false).rule;
        const bool is_target = rule == version_rule::target_only;
        control_.record_sent(now_, "app", is_target);
        control_.record_outcome(now_, {.service = "app",
                                       .route = "a",
                                       .upstream = upstream_id{1},
                                       .is_target = is_target,
                                       .latency = 30ms});
        control_.record_ended("app", is_target);
        return rule;
    }

    std::size_t sent_to_target(int count)
    {
        std::size_t result = 0;
        while (count-- > 0)
            result += send() == version_rule::target_only ? 1U : 0U;
        return result;
    }

    time_point now_{10s};
    std::uint64_t key_ = 0;
    std::vector<routing::fleet_member> members_{{router_id{1}, 1}};
    rollout_control control_{router_id{1}, 1,
                             [this]
                             {
                                 return members_;
                             }};
    directory::known_rollout known_{.order = {"app", "v2", 12s},
                                    .order_revision = 5,
                                    .first_seen = now_,
                                    .phase = {}};
    rollout_upstreams upstreams_{6, 6};
    std::vector<rollout_write> writes_;
    bool is_store_answering_ = true;
};

TEST_F(rollout_decisions, a_good_version_gets_a_share_then_all_and_is_completed)
{
    pass(4s, true);
    EXPECT_EQ(control_.choose(now_, "app", 7, true).rule,
              version_rule::others_only);
    ASSERT_EQ(writes_.size(), 1U);
    EXPECT_EQ(writes_[0].status.phase, rollout_phase::active);
    EXPECT_EQ(writes_[0].order_revision, 5U);
    pass(7s, true);
    EXPECT_EQ(sent_to_target(100), 100U);
    EXPECT_EQ(writes_.back().status.phase, rollout_phase::complete);
}

TEST_F(rollout_decisions,
       a_router_without_responses_sends_nothing_to_the_target)
{
    // A fleet of which no other router responds.
    for (std::uint64_t id = 2; id < 10; ++id)
        members_.push_back({router_id{id}, id});
    pass(20s, false);
    EXPECT_EQ(sent_to_target(500), 0U);
    for (const auto& write : writes_)
        EXPECT_EQ(write.status.phase, rollout_phase::active);
}

TEST_F(rollout_decisions, a_version_without_upstreams_is_reverted)
{
    upstreams_.of_target = 0;
    pass(12s, true);
    EXPECT_EQ(writes_.back().status.phase, rollout_phase::reverted);
    // Upstreams that come later get nothing.
    upstreams_.of_target = 6;
    pass(1s, false);
    EXPECT_EQ(sent_to_target(500), 0U);
}

TEST_F(rollout_decisions, a_service_with_one_version_is_completed)
{
    upstreams_.of_others = 0;
    pass(1s, false);
    EXPECT_EQ(control_.choose(now_, "app", 1, false).rule, version_rule::any);
    pass(7s, false);
    EXPECT_EQ(writes_.back().status.phase, rollout_phase::complete);
}

TEST_F(rollout_decisions, the_old_version_may_leave_within_the_exposure)
{
    pass(1s, true);
    upstreams_.of_others = 0;
    pass(1s, false);
    EXPECT_GT(sent_to_target(100), 0U);
    EXPECT_LT(sent_to_target(1000), 300U);
}

TEST_F(rollout_decisions, a_final_phase_stays_and_is_written_again_if_lost)
{
    known_.phase = rollout_phase::reverted;
    known_.status_revision = 9;
    pass(1s, true);
    EXPECT_TRUE(writes_.empty());
    EXPECT_EQ(sent_to_target(500), 0U);
    // The store comes back from a copy without the status.
    known_.is_status_lost = true;
    known_.status_revision = 0;
    pass(1s, true);
    ASSERT_FALSE(writes_.empty());
    EXPECT_EQ(writes_[0].status.phase, rollout_phase::reverted);
    // The same target ordered again starts anew; withdrawn, nothing binds.
    known_.phase.reset();
    known_.is_status_lost = false;
    known_.order_revision = 12;
    known_.first_seen = now_;
    pass(1s, true);
    EXPECT_GT(sent_to_target(100), 0U);
    control_.retain([](const std::string&) { return false; });
    EXPECT_EQ(send(), version_rule::any);
}

TEST_F(rollout_decisions, writes_wait_for_the_directory_after_a_conflict)
{
    is_store_answering_ = false;
    pass(1s, false);
    ASSERT_EQ(writes_.size(), 1U);
    control_.handle_write_end(now_, "app", rollout_write_end::conflict);
    pass(1s, false);
    EXPECT_EQ(writes_.size(), 1U);
    known_.status_revision = 8;
    pass(200ms, false);
    ASSERT_EQ(writes_.size(), 2U);
    EXPECT_EQ(writes_[1].status_revision, 8U);
    // Without a response it is tried again soon.
    control_.handle_write_end(now_, "app", rollout_write_end::unknown);
    pass(500ms, false);
    EXPECT_EQ(writes_.size(), 3U);
}

TEST_F(rollout_decisions, a_written_end_binds_before_the_directory_shows_it)
{
    is_store_answering_ = false;
    upstreams_.of_target = 0;
    pass(1s, false);
    control_.handle_write_end(now_, "app", rollout_write_end::written);
    known_.phase = rollout_phase::active;
    known_.status_revision = 8;
    pass(11s, true);
    control_.handle_write_end(now_, "app", rollout_write_end::written);
    upstreams_ = {6, 6};
    pass(1s, true);
    EXPECT_EQ(sent_to_target(500), 0U);
    EXPECT_EQ(control_.summaries(now_)[0].phase, rollout_phase::reverted);
}

} // namespace

} // namespace baobabloft::dispatch

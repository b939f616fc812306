// Models of a fleet whose upstreams state limits on their request rates, in
// virtual time: the rule that users rely on, and how much of a limit is used.
#include "baobabloft/dispatch/upstream_selector.hpp"
#include "baobabloft/support/hash.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <random>

namespace baobabloft::dispatch
{

namespace
{

using directory::parsed_key;

constexpr time_point start{1000s};
constexpr std::string_view data_centres{"abcde"};
/// The rule that users rely on.
constexpr duration rule_begins = 3s;
constexpr duration rule_window = 4s;
constexpr double rule_factor = 1.5;
constexpr double rule_slack = 5;
constexpr duration rule_notice = 500ms;

/// Keys are "up/DATA_CENTRE/NAME" or "router/DATA_CENTRE/NAME".
class key_codec final : public directory::record_codec
{
public:
    [[nodiscard]] parsed_key read_key(std::string_view key) const override
    {
        return {key.starts_with("router/") ? directory::key_kind::router
                                           : directory::key_kind::upstream,
                std::string{key}};
    }

    [[nodiscard]] directory::record
    read(const parsed_key& key, const std::string& value) const override
    {
        if (key.kind == directory::key_kind::router)
            return directory::router_record{
                key.name, {"127.0.0.1", 1}, key.name.substr(7, 1)};
        directory::upstream_record upstream;
        upstream.id = key.name;
        upstream.service = "chat";
        upstream.data_centre = key.name.substr(3, 1);
        upstream.slots = 64;
        upstream.started_ms = value.size();
        return upstream;
    }
};

const key_codec codec;
const directory::routed_service service{.name = "chat", .max_connections = 370};

/// A limit in force from a time on; negative for none.
struct limit_step
{
    duration from;
    double rate;
};

struct scenario
{
    const char* name;
    std::size_t routers = 9;
    std::size_t upstreams = 9;
    double limited_share = 0.7;
    std::vector<limit_step> limits{{6s, 4.5}, {25s, -1}};
    /// Requests per second and upstream, and when there are none.
    double demand = 10;
    duration quiet_from{0};
    duration quiet_until{0};
    double lost_datagrams = 0.02;
    /// Pause between two restarts of routers.
    duration restarts_every = 1000s;
    /// Part of the limits that is used at least, from rule_begins on.
    double min_used = 0.5;
};

void PrintTo(const scenario& item, std::ostream* out)
{
    *out << item.name;
}

class fleet_model
{
public:
    explicit fleet_model(const scenario& options)
        : options_(options),
          limited_(static_cast<std::size_t>(
              options.limited_share * static_cast<double>(options.upstreams)))
    {
        for (std::size_t index = 0; index < options.upstreams; ++index)
        {
            ids_.push_back(std::string{"up/"} +
                           data_centres[index % data_centres.size()] + "/" +
                           std::to_string(index));
            apply(ids_.back(), false);
        }
        arrivals_.resize(options.upstreams);
        running_.resize(options.upstreams);
        for (std::size_t index = 0; index < options.routers; ++index)
            apply(router_name(index), false);
        for (std::size_t index = 0; index < options.routers; ++index)
            routers_.push_back(make_router(index, start - 60s));
    }

    void run(duration length)
    {
        for (now_ = start; now_ < start + length; now_ += 10ms)
        {
            while (!events_.empty() && events_.begin()->first <= now_)
            {
                const auto action = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                action();
            }
            exchange_reports();
            restart_routers();
            const auto at = now_ - start;
            const bool is_quiet =
                at >= options_.quiet_from && at < options_.quiet_until;
            const double mean = options_.demand * 0.01 *
                                static_cast<double>(options_.upstreams);
            for (auto count = std::poisson_distribution<int>{mean}(random_);
                 count > 0 && !is_quiet; --count)
                send(random_() % routers_.size());
        }
    }

    /// Expects the rule for each limited upstream: over the routers that had
    /// passed on a response with the limit, and over all.
    void expect_rule() const
    {
        const auto named_at = options_.limits.front().from;
        const auto end = now_ - start;
        for (std::size_t upstream = 0; upstream < limited_; ++upstream)
            for (auto from = named_at + rule_begins; from + rule_window < end;
                 from += 50ms)
            {
                double allowed = 0;
                for (auto at = from; at < from + rule_window; at += 50ms)
                    allowed += limit_at(at) < 0 ? 1e9 : limit_at(at) * 0.05;
                const double bound = rule_factor * allowed + rule_slack;
                EXPECT_LE(static_cast<double>(count(upstream, from, true)),
                          bound)
                    << options_.name << ' ' << ids_[upstream] << " from "
                    << to_seconds(from);
                // A restarted router is excused until it hears of the limit.
                if (options_.restarts_every < 100s)
                    continue;
                EXPECT_LE(static_cast<double>(count(upstream, from, false)),
                          bound)
                    << options_.name << ' ' << ids_[upstream]
                    << " from all routers from " << to_seconds(from);
            }
    }

    /// Returns the requests to limited upstreams in a span, per second.
    [[nodiscard]] double rate_in(duration from, duration until) const
    {
        double sum = 0;
        for (std::size_t upstream = 0; upstream < limited_; ++upstream)
            for (const auto& item : arrivals_[upstream])
                sum += item.at >= from && item.at < until;
        return sum / to_seconds(until - from);
    }

    [[nodiscard]] std::size_t limited() const
    {
        return limited_;
    }

private:
    struct arrival
    {
        duration at;
        /// The router had passed on a response with the limit before.
        bool is_noticed;
    };

    struct model_router
    {
        std::unique_ptr<upstream_selector> selector;
        std::uint64_t lifetime = 0;
        std::map<std::size_t, time_point> first_named;
        duration report_offset{0};
        time_point down_until;
    };

    static std::string router_name(std::size_t index)
    {
        return std::string{"router/"} +
               data_centres[index % data_centres.size()] + "/" +
               std::to_string(index);
    }

    void apply(const std::string& key, bool removed)
    {
        state_.apply(now_, {key, "", ++revision_, removed}, {});
    }

    model_router make_router(std::size_t index, time_point started)
    {
        model_router result;
        result.selector = std::make_unique<upstream_selector>(
            state_,
            selector_options{
                .data_centre =
                    std::string{data_centres[index % data_centres.size()]},
                .router = router_name(index),
                .started = started},
            [](const auto&, const auto&) { return true; });
        result.lifetime = ++lifetimes_;
        result.report_offset = (random_() % 30) * 10ms;
        return result;
    }

    [[nodiscard]] double limit_at(duration at) const
    {
        double rate = -1;
        for (const auto& step : options_.limits)
            rate = at >= step.from ? step.rate : rate;
        return rate;
    }

    void after(duration delay, std::function<void()> action)
    {
        events_.emplace(now_ + delay, std::move(action));
    }

    duration draw(duration least, duration most)
    {
        return least + (random_() % ((most - least) / 1ms + 1)) * 1ms;
    }

    bool is_lost()
    {
        return std::uniform_real_distribution<double>{}(random_) <
               options_.lost_datagrams;
    }

    void send(std::size_t index)
    {
        auto& router = routers_[index];
        if (router.down_until > now_)
            return;
        const auto chosen = router.selector->choose(
            now_,
            {.service = &service,
             .affinity = random_() % 4 == 0 ? std::nullopt
                                            : std::optional{random_() % 200},
             .excluded_ids = {},
             .is_repeatable = true});
        if (chosen.upstream == nullptr)
            return;
        const auto id = chosen.upstream->record.id;
        const auto upstream = static_cast<std::size_t>(
            std::ranges::find(ids_, id) - ids_.begin());
        router.selector->record_sent(now_, id);
        const auto sent = now_;
        const auto lifetime = router.lifetime;
        const auto named = router.first_named.find(upstream);
        const bool is_noticed = named != router.first_named.end() &&
                                named->second + rule_notice <= now_;
        after(draw(1ms, 5ms),
              [=, this]
              {
                  arrivals_[upstream].push_back({now_ - start, is_noticed});
                  ++running_[upstream];
                  after(draw(50ms, 600ms), [=, this]
                        { respond(index, lifetime, upstream, sent); });
              });
    }

    void respond(std::size_t index, std::uint64_t lifetime,
                 std::size_t upstream, time_point sent)
    {
        const double rate = upstream < limited_ ? limit_at(now_ - start) : -1;
        const auto load = --running_[upstream];
        after(draw(1ms, 5ms),
              [=, this]
              {
                  auto& router = routers_[index];
                  if (router.lifetime != lifetime)
                      return;
                  const auto& id = ids_[upstream];
                  router.selector->record_ended(id);
                  router.selector->record_success(now_, id);
                  router.selector->record_load(now_, id, {.running = load});
                  if (rate < 0)
                  {
                      router.selector->record_rate_limit(now_, id,
                                                         {std::nullopt, sent});
                      return;
                  }
                  router.first_named.emplace(upstream, now_);
                  router.selector->record_rate_limit(now_, id, {rate, now_});
              });
    }

    void exchange_reports()
    {
        for (std::size_t index = 0; index < routers_.size(); ++index)
        {
            auto& router = routers_[index];
            if (router.down_until > now_ ||
                (now_ - start) % 300ms != router.report_offset)
                continue;
            auto watcher = index % data_centres.size();
            while (watcher < routers_.size() &&
                   routers_[watcher].down_until > now_)
                watcher += data_centres.size();
            const auto report = router.selector->take_traffic_report(now_);
            if (watcher == index || watcher >= routers_.size() || is_lost())
                continue;
            after(draw(1ms, 5ms),
                  [=, this]
                  {
                      const auto summary =
                          routers_[watcher].selector->merge_report(now_,
                                                                   report);
                      if (!is_lost())
                          after(draw(1ms, 5ms),
                                [=, this] {
                                    routers_[index].selector->apply_summary(
                                        now_, summary);
                                });
                  });
        }
    }

    void restart_routers()
    {
        if (now_ < next_restart_)
            return;
        next_restart_ = now_ + options_.restarts_every;
        const auto index = random_() % routers_.size();
        if (now_ == start || routers_[index].down_until > now_)
            return;
        routers_[index].lifetime = 0;
        routers_[index].down_until = now_ + 1s;
        apply(router_name(index), true);
        after(1s,
              [=, this]
              {
                  apply(router_name(index), false);
                  routers_[index] = make_router(index, now_);
              });
    }

    [[nodiscard]] std::size_t count(std::size_t upstream, duration from,
                                    bool noticed_only) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            arrivals_[upstream],
            [&](const arrival& item)
            {
                return item.at >= from && item.at < from + rule_window &&
                       (item.is_noticed || !noticed_only);
            }));
    }

    scenario options_;
    std::size_t limited_;
    directory::directory_state state_{codec};
    directory::revision revision_ = 0;
    time_point now_ = start;
    std::mt19937_64 random_{20261206};
    std::vector<std::string> ids_;
    std::uint64_t lifetimes_ = 0;
    std::vector<model_router> routers_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<std::vector<arrival>> arrivals_;
    /// Requests in progress at each upstream.
    std::vector<std::uint32_t> running_;
    time_point next_restart_ = start;
};

class rate_limit_model : public testing::TestWithParam<scenario>
{
};

// Guards against upstreams that get far more requests than the limit that they
// state, and against limits that leave them idle.
TEST_P(rate_limit_model, pattern_limited_upstreams_get_no_more_than_they_state)
{
    const auto& options = GetParam();
    fleet_model fleet{options};
    fleet.run(32s);
    fleet.expect_rule();
    const auto& first = options.limits.front();
    const auto until = options.limits[1].from;
    const double used =
        fleet.rate_in(first.from + rule_begins, until) /
        std::max(0.25, first.rate * static_cast<double>(fleet.limited()));
    EXPECT_GE(used, options.min_used) << options.name;
    // Traffic is back when the limits have ended.
    const double back = fleet.rate_in(28s, 32s) /
                        (options.demand * static_cast<double>(fleet.limited()));
    const bool has_ended = options.limits.back().from <= 25s;
    EXPECT_GE(back, has_ended ? 0.5 : 0) << options.name;
    std::cout << options.name << ": used " << used << ", back " << back << '\n';
}

INSTANTIATE_TEST_SUITE_P(
    fleets, rate_limit_model,
    testing::Values(
        scenario{.name = "9 routers"}, scenario{.name = "91", .routers = 91},
        scenario{.name = "295", .routers = 295, .upstreams = 30},
        scenario{.name = "few routers, high limit",
                 .routers = 3,
                 .limits = {{6s, 40}, {25s, -1}},
                 .demand = 60},
        scenario{
            .name = "lost datagrams", .routers = 91, .lost_datagrams = 0.5},
        scenario{.name = "restarts", .routers = 9, .restarts_every = 2s},
        scenario{
            .name = "restarts of 91", .routers = 91, .restarts_every = 500ms},
        scenario{.name = "whole service", .limited_share = 1},
        scenario{
            .name = "whole service of 91", .routers = 91, .limited_share = 1},
        scenario{.name = "raised and lowered",
                 .limits = {{6s, 2}, {12s, 10}, {19s, 3}, {25s, -1}}},
        scenario{.name = "zero", .limits = {{6s, 0}, {20s, -1}}, .min_used = 0},
        scenario{.name = "ends while nothing is sent",
                 .limits = {{6s, 4.5}, {20s, -1}},
                 .quiet_from = 18s,
                 .quiet_until = 23s,
                 .min_used = 0.3},
        scenario{.name = "never ends", .limits = {{6s, 4.5}, {40s, -1}}}));

// Guards against a limit that is forgotten, or never ends, since the upstream's
// entry was missing for a moment.
TEST(rate_limit, an_upstream_that_is_listed_again_keeps_its_limit)
{
    for (const bool is_busy : {false, true})
    {
        directory::directory_state state{codec};
        const std::string id = "up/a/0";
        std::uint64_t revision = 0;
        const auto list = [&](time_point now, bool removed)
        {
            state.apply(now, {id, "", ++revision, removed}, {});
        };
        list(start, false);
        upstream_selector selector{state,
                                   {.data_centre = "a",
                                    .router = "router/a/0",
                                    .started = start - 60s},
                                   [](const auto&, const auto&)
                                   {
                                       return true;
                                   }};
        const auto sent_in_1s = [&](time_point now)
        {
            int sent = 0;
            for (auto at = now; at < now + 1s; at += 10ms)
                if (selector.choose(at, {.service = &service}).upstream)
                {
                    ++sent;
                    selector.record_sent(at, id);
                    selector.record_ended(id);
                }
            return sent;
        };
        selector.record_rate_limit(start, id, {4.0, start});
        if (is_busy)
            selector.record_sent(start, id);
        list(start + 100ms, true);
        selector.erase_removed_upstreams(start + 100ms);
        (void)selector.take_traffic_report(start + 200ms);
        list(start + 1s, false);
        selector.erase_removed_upstreams(start + 1s);
        EXPECT_LE(sent_in_1s(start + 1s), 1.5 * 4 + 5);
        selector.record_rate_limit(start + 3s, id, {std::nullopt, start + 3s});
        EXPECT_EQ(sent_in_1s(start + 3s), 100);
    }
}

// Guards against requests that leave the upstream that has their prefix, since
// the others' limits lower the mean load.
TEST(rate_limit, limited_upstreams_do_not_lower_the_load_limit)
{
    directory::directory_state state{codec};
    std::uint64_t revision = 0;
    const auto id = [](int index)
    {
        return "up/a/" + std::to_string(index);
    };
    for (int index = 0; index < 9; ++index)
        state.apply(start, {id(index), "", ++revision, false}, {});
    upstream_selector selector{
        state,
        {.data_centre = "a", .router = "router/a/0", .started = start - 60s},
        [](const auto&, const auto&)
        {
            return true;
        }};
    for (int index = 0; index < 9; ++index)
    {
        const bool is_limited = index < 6;
        selector.record_load(start, id(index),
                             {.running = is_limited ? 0U : 12U});
        if (is_limited)
            selector.record_rate_limit(start, id(index), {0.0, start});
    }
    for (std::uint64_t affinity = 1; affinity < 50; ++affinity)
    {
        const auto chosen =
            selector.choose(start, {.service = &service,
                                    .affinity = hash_combine(affinity, 7)});
        EXPECT_NE(chosen.reason, choice::last_resort);
        EXPECT_GE(chosen.upstream->record.id, id(6));
    }
}

// Guards against a router that sends nothing for minutes after a limit rises,
// since it tested the limit before.
TEST(rate_limit, tests_of_a_limit_leave_no_lasting_debt)
{
    upstream_rate_limit limit;
    limit.set_place(start, {.rank = 1, .routers = 9});
    limit.record(start, {0.0, start}, 0);
    auto now = start;
    int tests = 0;
    for (; now < start + 600s; now += 10ms)
        if (limit.permits(now))
        {
            ++tests;
            limit.record_sent(now);
            limit.record(now, {0.0, now}, 0);
        }
    EXPECT_GE(tests, 60);
    limit.record(now, {4.5, now}, 0);
    EXPECT_LE(limit.next_permitted(now) - now, 10s);
}

// Guards against tests of many data centres that exceed a limit of zero.
TEST(rate_limit, pattern_a_long_limit_of_zero_is_kept)
{
    fleet_model fleet{{.name = "long zero",
                       .routers = 20,
                       .limits = {{6s, 0}, {400s, -1}},
                       .min_used = 0}};
    fleet.run(300s);
    fleet.expect_rule();
}

} // namespace

} // namespace baobabloft::dispatch

// Routes, what the store's contents mean, and following the store directly and
// through other routers, in virtual time.
#include "baobabloft/directory/directory_follower.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace baobabloft::directory
{

namespace
{

constexpr time_point start{1000s};

/// Values are "VERSION" for the configuration, and "SERVICE STATE COLD_MS
/// STARTED" for upstreams; anything else cannot be read.
class text_codec final : public record_codec
{
public:
    [[nodiscard]] parsed_key read_key(std::string_view key) const override
    {
        const auto rest = std::string{key.substr(key.find('/') + 1)};
        if (key == "config")
            return {key_kind::config, {}};
        if (key == "secret")
            return {key_kind::fleet_secret, {}};
        if (key.starts_with("up/"))
            return {key_kind::upstream, rest};
        if (key.starts_with("out/"))
            return {key_kind::data_centre_out_of_service, rest};
        if (key.starts_with("router/"))
            return {key_kind::router, rest};
        return {};
    }

    [[nodiscard]] record read(const parsed_key& key,
                              const std::string& value) const override
    {
        if (key.kind == key_kind::data_centre_out_of_service)
            return data_centre_out_of_service{key.name};
        if (key.kind == key_kind::fleet_secret)
            return fleet_secret{value};
        if (key.kind == key_kind::router)
            return router_record{key.name, {"127.0.0.1", 1}, value};
        if (value == "garbage")
            return unreadable_record{"garbage"};
        if (key.kind == key_kind::config)
        {
            auto config = std::make_shared<route_config>();
            config->version = std::stoull(value);
            return config_snapshot{config};
        }
        upstream_record upstream;
        upstream.id = key.name;
        upstream.service = "chat";
        upstream.draining = value == "draining";
        if (value == "cold")
            upstream.cold_remaining = 3s;
        upstream.started_ms = value == "reborn" ? 2 : 1;
        return upstream;
    }
};

const text_codec codec;

/// A store with a revision counter and a full history.
class fake_store
{
public:
    void write(const std::string& key, const std::string& value)
    {
        entries_[key] = {key, value, ++revision_, false};
        history_.push_back(entries_[key]);
    }

    void remove(const std::string& key)
    {
        entries_.erase(key);
        history_.push_back({key, {}, ++revision_, true});
    }

    void forget_history()
    {
        history_.clear();
        oldest_ = revision_;
    }

    [[nodiscard]] entry_page page() const
    {
        entry_page page;
        for (const auto& [key, item] : entries_)
            page.entries.push_back(item);
        page.as_of_revision = revision_;
        return page;
    }

    [[nodiscard]] std::optional<entry_changes> behind(revision after) const
    {
        if (after < oldest_)
            return std::nullopt;
        entry_changes changes;
        for (const auto& item : history_)
            if (item.mod_revision > after)
                changes.entries.push_back(item);
        changes.as_of_revision = revision_;
        return changes;
    }

    [[nodiscard]] std::optional<entry> find(const std::string& key) const
    {
        const auto found = entries_.find(key);
        return found == entries_.end() ? std::nullopt
                                       : std::optional{found->second};
    }

    [[nodiscard]] revision now() const
    {
        return revision_;
    }

private:
    std::map<std::string, entry> entries_;
    std::vector<entry> history_;
    revision revision_ = 1;
    revision oldest_ = 0;
};

/// Runs one call of `follower` to its end at `now`.
void run_call(directory_follower& follower, const fake_store& store,
              time_point now)
{
    const auto call = follower.next_call(now);
    if (!call)
        return;
    if (std::holds_alternative<read_page>(*call))
        follower.handle_page(now, store.page());
    else if (const auto* watch = std::get_if<watch_changes>(&*call))
    {
        if (const auto changes = store.behind(watch->after))
            follower.handle_changes(now, *changes);
        else
            follower.handle_history_loss(now);
    }
    else if (const auto* one = std::get_if<read_entry>(&*call))
        follower.handle_entry(now, store.find(one->key));
    else
        follower.handle_router_timeout(now);
}

TEST(route_config, the_longest_prefix_of_the_host_wins)
{
    route_config config;
    config.routes.push_back(
        {.name = "all", .host = "a.example", .prefix = "/"});
    config.routes.push_back(
        {.name = "deep", .host = "a.example", .prefix = "/x/y/"});
    config.routes.push_back(
        {.name = "other", .host = "b.example", .prefix = "/x/"});
    config.index_routes();
    EXPECT_EQ(config.find_route("a.example", "/x/y/z?q=/w/")->name, "deep");
    EXPECT_EQ(config.find_route("A.Example:80", "/x/")->name, "all");
    EXPECT_EQ(config.find_route("b.example", "/"), nullptr);
    EXPECT_EQ(config.find_route("c.example", "/x/"), nullptr);
    EXPECT_EQ(config.find_route("b.example", "/y?/x/"), nullptr);
}

TEST(directory_state, never_goes_back_to_an_older_configuration)
{
    directory_state state{codec};
    state.apply(start, {"config", "7", 10, false}, {});
    state.apply(start, {"config", "6", 11, false}, {});
    EXPECT_EQ(state.config()->version, 7U);
    state.apply(start, {"config", "9", 9, false}, {});
    EXPECT_EQ(state.config()->version, 7U);
}

TEST(directory_state, an_unreadable_configuration_changes_nothing)
{
    directory_state state{codec};
    state.apply(start, {"config", "7", 10, false}, {});
    state.apply(start, {"config", "garbage", 11, false}, {});
    EXPECT_EQ(state.config()->version, 7U);
    const auto changes = state.take_events();
    EXPECT_EQ(changes.back().kind,
              directory_event::event_kind::entry_unreadable);
}

TEST(directory_state, an_unreadable_entry_names_no_upstream)
{
    directory_state state{codec};
    state.apply(start, {"up/a", "ready", 1, false}, {});
    state.apply(start, {"up/b", "ready", 2, false}, {});
    state.apply(start, {"up/a", "garbage", 3, false}, {});
    EXPECT_FALSE(state.upstreams().contains("a"));
    EXPECT_TRUE(state.upstreams().contains("b"));
}

TEST(directory_state, a_new_lifetime_under_the_same_id_is_new)
{
    directory_state state{codec};
    state.begin_change_log(0);
    state.apply(start, {"up/a", "cold", 1, false}, {});
    EXPECT_EQ(state.upstreams().at("a").cold_until, start + 3s);
    state.apply(start + 1s, {"up/a", "reborn", 2, false}, {});
    EXPECT_EQ(state.upstreams().at("a").cold_until, start + 1s);
}

TEST(directory_state, lapses_end_each_at_its_time)
{
    directory_state state{codec};
    const time_point now{100s};
    for (const auto* key : {"up/1", "up/2", "up/3"})
        state.apply(now, {key, "", 1, false}, {});
    state.apply(now, {"up/1", "", 2, true}, now + 5s);
    state.apply(now, {"up/2", "", 3, true}, now + 2s);
    state.apply(now, {"up/3", "", 4, true}, now + 9s);
    // Its server came back.
    state.apply(now + 1s, {"up/3", "", 5, false}, {});
    state.remove_expired(now + 1999ms);
    EXPECT_EQ(state.upstreams().size(), 3U);
    state.remove_expired(now + 2s);
    EXPECT_EQ(state.upstreams().size(), 2U);
    state.remove_expired(now + 4999ms);
    EXPECT_EQ(state.upstreams().size(), 2U);
    state.remove_expired(now + 5s);
    EXPECT_EQ(state.upstreams().size(), 1U);
    state.remove_expired(now + 60s);
    EXPECT_EQ(state.upstreams().size(), 1U);
}

TEST(directory_state, what_may_have_lapsed_stays_usable_for_a_while)
{
    directory_state state{codec};
    state.apply(start, {"up/a", "ready", 1, false}, {});
    state.apply(start, {"up/a", "", 2, true}, start + 2s);
    EXPECT_TRUE(state.upstreams().contains("a"));
    state.remove_expired(start + 1s);
    EXPECT_TRUE(state.upstreams().contains("a"));
    state.remove_expired(start + 2s);
    EXPECT_FALSE(state.upstreams().contains("a"));
}

TEST(change_log, splits_answers_between_revisions_only)
{
    change_log log;
    constexpr std::size_t long_enough = 400;
    for (revision number = 1; number <= 6; ++number)
        log.add({"up/" + std::to_string(number), std::string(long_enough, 'x'),
                 (number + 1) / 2, false});
    const auto first = log.changes_after(0, 3);
    EXPECT_TRUE(first.has_history);
    EXPECT_TRUE(first.has_more);
    EXPECT_EQ(first.as_of_revision, 1U);
    EXPECT_EQ(first.entries.size(), 2U);
    const auto last = log.changes_after(2, 3);
    EXPECT_FALSE(last.has_more);
    EXPECT_EQ(last.as_of_revision, 3U);
}

TEST(change_log, admits_what_it_does_not_know)
{
    change_log log;
    log.set_low_water_mark(10);
    EXPECT_FALSE(log.changes_after(9, 20).has_history);
    EXPECT_TRUE(log.changes_after(10, 20).has_history);
}

TEST(directory_follower, reads_all_then_watches_and_reads_again_after_a_gap)
{
    fake_store store;
    store.write("config", "1");
    store.write("up/a", "ready");
    directory_follower follower{codec, {}};
    run_call(follower, store, start);
    ASSERT_TRUE(follower.has_complete_state());
    store.write("config", "2");
    run_call(follower, store, start + 1s);
    EXPECT_EQ(follower.state().config()->version, 2U);
    store.remove("up/a");
    store.write("config", "3");
    store.forget_history();
    run_call(follower, store, start + 2s);
    EXPECT_FALSE(follower.has_complete_state());
    run_call(follower, store, start + 2s);
    EXPECT_EQ(follower.state().config()->version, 3U);
    EXPECT_TRUE(follower.state().upstreams().empty());
}

TEST(directory_follower, a_failed_call_proves_nothing)
{
    fake_store store;
    directory_follower follower{codec, {}};
    run_call(follower, store, start);
    const auto proven = follower.confirmed_at();
    for (int call = 1; call < 20; ++call)
    {
        if (follower.next_call(start + call * 1s))
            follower.handle_call_failure(start + call * 1s);
        EXPECT_EQ(follower.confirmed_at(), proven);
    }
}

TEST(directory_follower, upstreams_that_lapsed_in_an_outage_stay_usable)
{
    fake_store store;
    store.write("up/a", "ready");
    directory_follower follower{codec, {}};
    run_call(follower, store, start);
    run_call(follower, store, start + 1s);
    // The store is away for ten seconds, and the entry lapses meanwhile.
    store.remove("up/a");
    auto now = start + 11s;
    run_call(follower, store, now);
    EXPECT_TRUE(follower.state().upstreams().contains("a"));
    now += 3s;
    run_call(follower, store, now);
    EXPECT_FALSE(follower.state().upstreams().contains("a"));
}

/// Several routers of one data centre on one store, with calls and answers
/// that take random times and are lost.
class fleet_model
{
public:
    explicit fleet_model(std::size_t routers)
    {
        store_.write("config", "1");
        store_.write("secret", "s");
        for (std::size_t index = 0; index < routers; ++index)
        {
            const auto name = "r" + std::to_string(index);
            store_.write("router/" + name, "dc");
            followers_.push_back(std::make_unique<directory_follower>(
                codec, follower_options{.router = name, .data_centre = "dc"}));
        }
        pending_.resize(routers);
    }

    struct write_made
    {
        time_point at;
        revision changed;
        std::uint64_t version;
    };

    void write_config(time_point now)
    {
        store_.write("config",
                     std::to_string(++version_) + std::string(padding_, ' '));
        writes_.push_back({now, store_.now(), version_});
    }

    void step(time_point now)
    {
        for (std::size_t index = 0; index < followers_.size(); ++index)
            step_one(now, index);
    }

    /// Each proof must cover every write confirmed before it.
    void check() const
    {
        for (const auto& follower : followers_)
        {
            if (!follower->confirmed_at())
                continue;
            for (const auto& write : writes_)
                if (write.at < *follower->confirmed_at())
                {
                    RC_ASSERT(follower->state().config() != nullptr);
                    RC_ASSERT(follower->state().config()->version >=
                              write.version);
                }
        }
    }

    [[nodiscard]] bool all_know(std::uint64_t version) const
    {
        return std::all_of(followers_.begin(), followers_.end(),
                           [version](const auto& follower)
                           {
                               return follower->state().config() &&
                                      follower->state().config()->version ==
                                          version;
                           });
    }

    [[nodiscard]] std::uint64_t version() const
    {
        return version_;
    }

    [[nodiscard]] std::size_t store_calls() const
    {
        return store_calls_;
    }

    /// Configurations are as long as this from now on.
    void set_config_bytes(std::size_t bytes)
    {
        padding_ = bytes;
    }

    void write(const std::string& key, const std::string& value)
    {
        store_.write(key, value);
    }

    void remove(const std::string& key)
    {
        store_.remove(key);
    }

    [[nodiscard]] const directory_state& state(std::size_t router) const
    {
        return followers_[router]->state();
    }

    void heal_store()
    {
        cut_.reset();
    }

    /// The store answers every router but this one.
    void cut_from_store(std::size_t router)
    {
        cut_ = router;
    }

    [[nodiscard]] duration proof_age(time_point now, std::size_t router) const
    {
        return now - followers_[router]->confirmed_at().value_or(time_point{});
    }

    /// Asks that the busiest router got.
    [[nodiscard]] std::size_t most_asks() const
    {
        std::size_t most = 0;
        for (const auto& [router, count] : asks_)
            most = std::max(most, count);
        return most;
    }

    void set_store_away(bool away)
    {
        store_away_ = away;
    }

    /// One call in `of` is lost.
    void set_loss(bool lossy, int of)
    {
        lossy_ = lossy;
        loss_of_ = of;
    }

private:
    struct pending_call
    {
        directory_call call;
        time_point done_at;
        bool lost = false;
        std::optional<change_response> answer;
        std::optional<entry_part> part;
    };

    void step_one(time_point now, std::size_t index)
    {
        auto& slot = pending_[index];
        if (!slot)
        {
            const auto call = followers_[index]->next_call(now);
            if (!call)
                return;
            slot = pending_call{*call,
                                now + *rc::gen::inRange(1, 40) * 1ms,
                                lossy_ && *rc::gen::inRange(0, loss_of_) ==
                                              loss_of_ - 1,
                                {},
                                {}};
            answer_call(now, index, *slot);
            return;
        }
        if (now < slot->done_at)
            return;
        const auto done = std::move(*slot);
        slot.reset();
        deliver(now, *followers_[index], done);
    }

    /// The answer is made between the call and its arrival; here at once,
    /// which is the oldest that it may be.
    void answer_call(time_point now, std::size_t index, pending_call& call)
    {
        const auto* ask = std::get_if<query_router>(&call.call);
        if (ask == nullptr)
        {
            ++store_calls_;
            call.lost = call.lost || store_away_ || cut_ == index;
            return;
        }
        const auto asked = std::stoul(ask->router.substr(1));
        ++asks_[asked];
        if (const auto* part = std::get_if<entry_query>(&ask->message))
            call.part = followers_[asked]->respond(now, *part);
        else
            call.answer = followers_[asked]->respond(
                now, std::get<change_query>(ask->message));
    }

    void deliver(time_point now, directory_follower& follower,
                 const pending_call& done)
    {
        if (const auto* ask = std::get_if<query_router>(&done.call))
        {
            if (done.lost)
                follower.handle_router_timeout(now);
            else if (done.part)
                follower.handle_part(now, *done.part);
            else
                follower.handle_response(now, *done.answer);
            return;
        }
        if (done.lost)
            follower.handle_call_failure(now);
        else if (std::holds_alternative<read_page>(done.call))
            follower.handle_page(now, store_.page());
        else if (const auto* watch = std::get_if<watch_changes>(&done.call))
        {
            if (const auto changes = store_.behind(watch->after))
                follower.handle_changes(now, *changes);
            else
                follower.handle_history_loss(now);
        }
        else
            follower.handle_entry(
                now, store_.find(std::get<read_entry>(done.call).key));
    }

    fake_store store_;
    std::vector<std::unique_ptr<directory_follower>> followers_;
    std::vector<std::optional<pending_call>> pending_;
    std::vector<write_made> writes_;
    std::uint64_t version_ = 1;
    std::size_t padding_ = 0;
    std::size_t store_calls_ = 0;
    std::map<std::size_t, std::size_t> asks_;
    bool store_away_ = false;
    std::optional<std::size_t> cut_;
    bool lossy_ = true;
    int loss_of_ = 10;
};

RC_GTEST_PROP(directory_follower, a_proof_covers_every_write_before_it, ())
{
    fleet_model fleet{5};
    auto now = start;
    for (int step = 0; step < 600; ++step)
    {
        now += 10ms;
        if (*rc::gen::inRange(0, 40) == 0)
            fleet.write_config(now);
        if (*rc::gen::inRange(0, 150) == 0)
            fleet.set_store_away(*rc::gen::arbitrary<bool>());
        fleet.step(now);
        fleet.check();
    }
    fleet.set_store_away(false);
    fleet.set_loss(false, 1);
    for (int step = 0; step < 400; ++step)
        fleet.step(now += 10ms);
    RC_ASSERT(fleet.all_know(fleet.version()));
}

/// Cuts one of `routers` from the store, while the configuration changes in one
/// of `steps_per_change` steps on average.
void expect_cut_router_stays_fresh(fleet_model& fleet, std::size_t routers,
                                   int steps_per_change)
{
    auto now = start;
    for (int step = 0; step < 300; ++step)
        fleet.step(now += 10ms);
    const auto cut = *rc::gen::inRange<std::size_t>(0, routers);
    fleet.cut_from_store(cut);
    for (int step = 0; step < 1000; ++step)
    {
        fleet.step(now += 10ms);
        if (*rc::gen::inRange(0, steps_per_change) == 0)
            fleet.write_config(now);
        fleet.check();
        if (step > 400)
            RC_ASSERT(fleet.proof_age(now, cut) < 4s);
    }
}

RC_GTEST_PROP(directory_follower,
              a_router_cut_from_the_store_stays_fresh_through_others, ())
{
    constexpr std::size_t routers = 5;
    fleet_model fleet{routers};
    fleet.set_loss(false, 1);
    expect_cut_router_stays_fresh(fleet, routers, 100);
}

RC_GTEST_PROP(directory_follower,
              a_router_cut_from_the_store_gets_long_configurations_from_others,
              ())
{
    constexpr std::size_t routers = 5;
    fleet_model fleet{routers};
    fleet.set_loss(*rc::gen::arbitrary<bool>(), 20);
    fleet.set_config_bytes(*rc::gen::inRange<std::size_t>(0, 8'000));
    expect_cut_router_stays_fresh(fleet, routers, 300);
}

RC_GTEST_PROP(directory_follower,
              a_removal_is_no_lapse_while_the_store_answers_other_routers, ())
{
    // The store turns one router away while the configuration changes and an
    // upstream leaves, before or after the router reaches the store again.
    constexpr std::size_t routers = 5;
    fleet_model fleet{routers};
    fleet.set_loss(false, 1);
    fleet.set_config_bytes(*rc::gen::inRange<std::size_t>(0, 8'000));
    fleet.write("up/a", "ready");
    auto now = start;
    for (int step = 0; step < 300; ++step)
        fleet.step(now += 10ms);
    const auto cut = *rc::gen::inRange<std::size_t>(0, routers);
    fleet.cut_from_store(cut);
    const auto heals = *rc::gen::inRange(200, 900);
    const auto leaves = *rc::gen::inRange(300, 1000);
    // A leaving upstream is obeyed within two seconds.
    const auto obeyed = leaves + 200;
    for (int step = 0; step < 1400; ++step)
    {
        if (step == 50)
            fleet.write_config(now);
        if (step == heals)
            fleet.heal_store();
        if (step == leaves)
            fleet.remove("up/a");
        fleet.step(now += 10ms);
        if (step >= obeyed)
            RC_ASSERT(!fleet.state(cut).upstreams().contains("a"));
    }
}

RC_GTEST_PROP(directory_follower,
              a_router_cut_from_the_store_does_not_age_the_others, ())
{
    // A leaving upstream is obeyed within two seconds; the rest is for the way
    // of the request.
    constexpr duration most_age = 1800ms;
    constexpr std::size_t routers = 3;
    fleet_model fleet{routers};
    fleet.set_loss(false, 1);
    auto now = start;
    const auto calm = *rc::gen::inRange(300, 500);
    for (int step = 0; step < calm; ++step)
        fleet.step(now += 10ms);
    const auto cut = *rc::gen::inRange<std::size_t>(0, routers);
    fleet.cut_from_store(cut);
    for (int step = 0; step < 600; ++step)
    {
        fleet.step(now += 10ms);
        for (std::size_t other = 0; other < routers; ++other)
            RC_ASSERT(other == cut || fleet.proof_age(now, other) < most_age);
    }
}

TEST(directory_follower, pattern_large_data_centre_spreads_its_asks)
{
    rc::check(
        []
        {
            constexpr std::size_t routers = 49;
            fleet_model fleet{routers};
            fleet.set_loss(false, 1);
            auto now = start;
            for (int step = 0; step < 1000; ++step)
                fleet.step(now += 10ms);
            // 2 kB a second at 65 bytes an answer, headers included.
            constexpr std::size_t seconds = 10;
            constexpr std::size_t answers_per_second = 30;
            RC_ASSERT(fleet.most_asks() < seconds * answers_per_second);
        });
}

RC_GTEST_PROP(directory_follower, one_router_of_a_data_centre_calls_the_store,
              ())
{
    constexpr std::size_t routers = 30;
    fleet_model fleet{routers};
    constexpr int loss_of = 50;
    fleet.set_loss(true, loss_of);
    auto now = start;
    for (int step = 0; step < 300; ++step)
        fleet.step(now += 10ms);
    const auto before = fleet.store_calls();
    constexpr int steps = 1000;
    for (int step = 0; step < steps; ++step)
        fleet.step(now += 10ms);
    // Ten seconds; lost datagrams send a router to the store now and then.
    RC_ASSERT(fleet.store_calls() - before < 10 * routers);
}

} // namespace

} // namespace baobabloft::directory

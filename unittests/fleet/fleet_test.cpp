// Tests of a fleet of nodes in virtual time: invariants that must hold under
// failures of routers, engines, the network and the KV service.
#include "world.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace baobabloft::driver
{

namespace
{

constexpr double mean_service_s = 12;

/// Sends requests at a constant mean rate and counts their results.
struct request_load
{
    request_load(world& target, double rate) : target_(target), rate_(rate)
    {
        schedule_next();
    }

    void schedule_next()
    {
        std::exponential_distribution<double> interval(rate_);
        target_.events().schedule_after(
            from_seconds(interval(target_.random())),
            [this]
            {
                auto& random = target_.random();
                std::uniform_int_distribution<std::size_t> pick(
                    0, target_.options().routers - 1);
                std::exponential_distribution<double> service_time(
                    1 / mean_service_s);
                std::uniform_int_distribution<std::uint64_t> chat(1, 2000);
                const auto router = pick(random);
                const auto* node = target_.node(router);
                if (node != nullptr && node->current_readiness(target_.now()) ==
                                           fleet::readiness::ready)
                    target_.send_request(
                        {.router = router,
                         .chat = chat_id{chat(random)},
                         .service_time = from_seconds(service_time(random))},
                        [this](const world_response& response)
                        {
                            ++results[response.result];
                            interrupted += response.completed ? 0 : 1;
                        });
                if (!stopped)
                    schedule_next();
            });
    }

    std::map<routing::permit_result, int> results;
    int interrupted = 0;
    bool stopped = false;

private:
    world& target_;
    double rate_;
};

bool all_have_preset(world& target, std::uint64_t number)
{
    for (std::size_t index = 0; index < target.options().routers; ++index)
        if (target.node(index)->preset()->generation_number != number)
            return false;
    return true;
}

TEST(fleet,
     data_centre_out_of_service_gets_no_new_requests_and_none_are_interrupted)
{
    world target{{.seed = 3}};
    target.start();
    request_load requests{target, 15};
    target.run_for(30s);
    const auto departed_at = target.now();
    target.set_data_centre(0, false);
    target.run_for(60s);
    for (std::size_t index = 0; index < 9; index += 3)
    {
        EXPECT_LT(target.engines()[index].last_request_start, departed_at + 3s);
        EXPECT_GT(target.engines()[index].started_requests, 0U);
    }
    EXPECT_EQ(requests.interrupted, 0);
    target.set_data_centre(0, true);
    target.run_for(30s);
    EXPECT_GT(target.engines()[0].last_request_start, departed_at + 60s);
}

TEST(fleet, leaving_upstream_gets_no_new_requests)
{
    world target{{.seed = 4}};
    target.start();
    request_load requests{target, 15};
    target.run_for(20s);
    target.engines()[2].leaving = true;
    const auto departed_at = target.now();
    target.run_for(30s);
    EXPECT_LT(target.engines()[2].last_request_start, departed_at + 4s);
    EXPECT_EQ(requests.interrupted, 0);
}

TEST(fleet, preset_reaches_all_routers_during_kv_outage)
{
    world target{{.seed = 5, .routers = 20, .loss_probability = 0.05}};
    target.start();
    target.set_data_centre(1, false);
    target.events().schedule_after(target.kv().delay + 1ms,
                                   [&target] { target.kv().outage = true; });
    target.run_for(6s);
    EXPECT_TRUE(all_have_preset(target, 2));
}

// Guards against watches that continue from a revision that the KV service no
// longer has after it was restored, and so miss the next change.
TEST(fleet, preset_change_after_a_restore_reaches_all_routers)
{
    world target{{.seed = 9}};
    target.start();
    const auto copy = target.kv();
    for (int count = 0; count < 4; ++count)
    {
        target.set_data_centre(1, count % 2 != 0);
        target.run_for(5s);
    }
    target.restore_kv(copy);
    target.run_for(5s);
    target.set_data_centre(2, false);
    target.run_for(5s);
    EXPECT_TRUE(all_have_preset(target, 6));
}

// Guards against a router that starts with the older preset of a restored KV
// service although its peers have a newer one.
TEST(fleet, started_router_serves_no_older_preset_than_its_peers)
{
    world target{{.seed = 12}};
    target.start();
    const auto copy = target.kv();
    target.set_data_centre(1, false);
    target.run_for(5s);
    target.restore_kv(copy);
    target.restart_router(4);
    for (int step = 0; step < 1000; ++step)
    {
        target.run_for(5ms);
        if (target.node(4)->current_readiness(target.now()) ==
            fleet::readiness::ready)
            ASSERT_EQ(target.node(4)->preset()->generation_number, 2U);
    }
    EXPECT_EQ(target.node(4)->current_readiness(target.now()),
              fleet::readiness::ready);
}

// Guards against a change that was accepted right after a restore under the
// number of a lost one, and never adopted by the routers that had the lost one.
TEST(fleet, preset_accepted_right_after_a_restore_is_in_force_everywhere)
{
    world target{{.seed = 11}};
    target.start();
    const auto copy = target.kv();
    for (const int lost_changes : {1, 3})
    {
        for (int count = 0; count < lost_changes; ++count)
        {
            target.set_data_centre(1, count % 2 != 0);
            target.run_for(5s);
        }
        target.restore_kv(copy);
        target.set_data_centre(2, false);
        target.run_for(5s);
        const auto newest = target.node(0)->preset();
        EXPECT_TRUE(all_have_preset(target, newest->generation_number));
        for (std::size_t index = 0; index < 9; ++index)
            EXPECT_FALSE(
                target.node(index)
                    ->preset()
                    ->value.find_data_centre(target.data_centre_name(2))
                    ->in_service);
        target.set_data_centre(2, true);
        target.run_for(5s);
    }
}

// Guards against a generation that is given out twice with different presets,
// after the KV service was restored from a copy without the newest one.
TEST(fleet, preset_lost_by_the_kv_service_is_restored_and_never_numbered_again)
{
    world target{{.seed = 10}};
    target.start();
    const auto copy = target.kv();
    target.set_data_centre(1, false);
    target.run_for(5s);
    target.restore_kv(copy);
    target.run_for(5s);
    target.set_data_centre(2, false);
    target.run_for(5s);
    EXPECT_TRUE(all_have_preset(target, 3));
    for (const auto centre : {1, 2})
        EXPECT_FALSE(target.node(0)
                         ->preset()
                         ->value
                         .find_data_centre(target.data_centre_name(
                             static_cast<std::size_t>(centre)))
                         ->in_service);
}

TEST(fleet, restarted_router_gets_preset_from_peers_during_kv_outage)
{
    world target{{.seed = 6}};
    target.start();
    target.set_data_centre(1, false);
    target.run_for(6s);
    target.kv().outage = true;
    target.restart_router(4);
    EXPECT_EQ(target.node(4)->current_readiness(target.now()),
              fleet::readiness::joining);
    target.run_for(10s);
    ASSERT_TRUE(target.node(4)->preset());
    EXPECT_EQ(target.node(4)->preset()->generation_number, 2U);
    EXPECT_EQ(target.node(4)->current_readiness(target.now()),
              fleet::readiness::ready);
}

TEST(fleet, router_without_peers_and_kv_service_becomes_isolated)
{
    world target{{.seed = 7}};
    target.start();
    target.kv().outage = true;
    target.run_for(10s);
    EXPECT_EQ(target.node(0)->current_readiness(target.now()),
              fleet::readiness::ready);
    target.set_partition([](std::size_t from, std::size_t to)
                         { return from == 0 || to == 0; });
    target.run_for(10s);
    EXPECT_EQ(target.node(0)->current_readiness(target.now()),
              fleet::readiness::isolated);
    EXPECT_EQ(target.node(1)->current_readiness(target.now()),
              fleet::readiness::ready);
    target.set_partition({});
    target.run_for(10s);
    EXPECT_EQ(target.node(0)->current_readiness(target.now()),
              fleet::readiness::ready);
}

TEST(fleet, leaving_router_transfers_ownership_of_its_upstreams)
{
    world target{{.seed = 8}};
    target.start();
    request_load requests{target, 15};
    target.run_for(30s);
    target.run_on_router(2, [&target] { target.node(2)->leave(target.now()); });
    target.run_for(10s);
    for (std::size_t engine = 0; engine < 9; ++engine)
        EXPECT_NE(target.node(0)->owner_of(target.engines()[engine].id),
                  target.router_id_at(2));
    target.run_for(30s);
    EXPECT_EQ(requests.interrupted, 0);
    EXPECT_EQ(requests.results[routing::permit_result::no_upstream], 0);
}

TEST(fleet, cold_engine_stays_within_cold_start_limit_across_owner_changes)
{
    for (const std::uint64_t seed : {11, 12, 13})
    {
        world target{{.seed = seed, .cold_start_limit = 4}};
        target.start();
        request_load requests{target, 20};
        target.run_for(30s);
        target.stop_engine(0);
        target.run_for(5s);
        target.start_engine(0, 60s);
        target.run_for(10s);
        const auto owner = target.node(0)->owner_of(target.engines()[0].id);
        for (std::size_t index = 0; index < 9; ++index)
            if (target.router_id_at(index) == owner)
                target.pause_router(index, 20s);
        target.run_for(45s);
        EXPECT_LE(target.engines()[0].cold_peak_requests, 4U)
            << "seed " << seed;
        EXPECT_GT(target.engines()[0].started_requests, 0U);
    }
}

TEST(fleet, unreported_slowdown_is_detected_as_cold)
{
    world target{{.seed = 14}};
    target.start();
    request_load requests{target, 20};
    target.run_for(40s);
    // The engine becomes slow, as after the loss of its cache and weights, but
    // its load reports do not show this.
    target.engines()[0].first_token_slowdown = 20;
    target.run_for(30s);
    const auto owner = target.node(0)->owner_of(target.engines()[0].id);
    for (std::size_t index = 0; index < 9; ++index)
    {
        if (target.router_id_at(index) != owner)
            continue;
        for (const auto& item :
             target.node(index)->owner().status(target.now()))
        {
            if (item.upstream == target.engines()[0].id)
            {
                EXPECT_EQ(item.state, routing::warmup_state::cold);
            }
        }
    }
}

// Guards against a request body that the fleet refuses after two engines
// crashed under it by chance, though others have answered it since.
TEST(fleet, sound_body_is_admitted_after_two_crashes)
{
    world target{{.seed = 8}};
    target.start();
    target.run_for(3s);
    const fingerprint body{7};
    std::map<bool, int> admitted;
    const auto ask_all = [&]
    {
        for (std::size_t router = 0; router < 9; ++router)
            target.run_on_router(router,
                                 [&, router]
                                 {
                                     target.node(router)->admit(
                                         target.now(), body, false,
                                         [&](bool is_admitted)
                                         { ++admitted[is_admitted]; });
                                 });
        target.run_for(1s);
    };
    for (std::size_t router = 0; router < 2; ++router)
    {
        target.run_on_router(router,
                             [&, router]
                             {
                                 auto& node = *target.node(router);
                                 node.report_crash(target.now(), body,
                                                   target.engines()[router].id);
                                 node.record_response(target.now(), body);
                             });
        target.run_for(4s);
    }
    ask_all();
    EXPECT_EQ(admitted[true], 9);
    // Without an answer in between, the body is refused at all routers, until
    // one lets it through as a trial.
    for (std::size_t router = 2; router < 4; ++router)
    {
        target.run_for(3s);
        target.run_on_router(router,
                             [&, router]
                             {
                                 target.node(router)->report_crash(
                                     target.now(), body,
                                     target.engines()[router].id);
                             });
    }
    target.run_for(2s);
    ask_all();
    EXPECT_EQ(admitted[false], 9);
    target.run_for(10s);
    ask_all();
    EXPECT_EQ(admitted[true], 10);
}

/// Checks the limit on the number of requests per engine while a router is
/// killed and restarted. The `policy` measurement of the benchmarks gives the
/// figures of the load's skew.
RC_GTEST_PROP(fleet, no_engine_passes_the_multiple_of_the_mean,
              (std::uint16_t seed))
{
    world target{{.seed = seed}};
    target.start();
    request_load requests{target, 15};
    target.run_for(60s);
    const auto victim = seed % 9U;
    for (int step = 0; step < 120; ++step)
    {
        if (step == 20)
            target.kill_router(victim);
        if (step == 60)
            target.restart_router(victim);
        target.run_for(250ms);
        double sum = 0;
        std::uint32_t max_running = 0;
        for (const auto& engine : target.engines())
        {
            sum += engine.running_requests;
            max_running = std::max(max_running, engine.running_requests);
        }
        const double limit = std::max(4.0, std::ceil(1.25 * sum / 9));
        RC_ASSERT(max_running <= limit);
    }
}

/// Attempts idempotent keys at routers of `target` and counts their runs.
struct keyed_load
{
    explicit keyed_load(world& target) : target(target) {}

    /// Claims `key` at a router and runs its call if the claim is accepted.
    void attempt(const ledger::idempotency_key& key, std::size_t router)
    {
        if (!target.is_router_up(router))
            return;
        target.claim(router, key, 3s,
                     [this, key, router](const ledger::claim_decision& decision)
                     {
                         ++decisions[decision.result];
                         if (decision.result != ledger::claim_result::accepted)
                             return;
                         ++runs_by_key[key];
                         target.events().schedule_after(
                             1ms,
                             [this, router, ticket = decision.ticket]
                             {
                                 target.run_on_router(
                                     router,
                                     [this, router, ticket] {
                                         target.node(router)->finish_claim(
                                             target.now(), ticket, {});
                                     });
                             });
                     });
    }

    /// Attempts `count` new keys, one each 50 ms.
    void claim_new_keys(int count)
    {
        auto& random = target.random();
        for (; count > 0; --count)
        {
            keys.push_back(ledger::make_idempotency_key(target.wall_clock_ms(),
                                                        random(), random()));
            attempt(keys.back(), random() % 9);
            target.run_for(50ms);
        }
    }

    world& target;
    std::vector<ledger::idempotency_key> keys;
    std::map<ledger::idempotency_key, int> runs_by_key;
    std::map<ledger::claim_result, int> decisions;
};

/// Sends calls, restores the KV service from a copy without the later claims
/// while `restarted_routers` routers restart, and sends all calls again.
void run_calls_around_a_restore(keyed_load& load, std::size_t restarted_routers)
{
    auto& target = load.target;
    target.start();
    load.claim_new_keys(40);
    const auto copy = target.kv();
    load.claim_new_keys(60);
    target.kv().outage = true;
    target.run_for(2s);
    for (std::size_t index = 0; index < restarted_routers; ++index)
        target.restart_router(index);
    target.restore_kv(copy);
    target.kv().outage = false;
    for (int repetition = 0; repetition < 4; ++repetition)
    {
        for (const auto& key : load.keys)
            load.attempt(key, target.random()() % 9);
        target.run_for(1s);
    }
}

// Guards against a call that runs twice because the KV service was restored
// from a copy without its claim, and against new calls that are refused for
// good.
RC_GTEST_PROP(fleet, no_call_runs_twice_after_a_restore, (std::uint16_t seed))
{
    world target{{.seed = seed}};
    keyed_load load{target};
    run_calls_around_a_restore(load, 0);
    for (const auto& [key, runs] : load.runs_by_key)
        RC_ASSERT(runs == 1);
    target.run_for(10s);
    load.decisions.clear();
    load.claim_new_keys(20);
    target.run_for(5s);
    RC_ASSERT(load.decisions[ledger::claim_result::accepted] == 20);
}

// Guards against a call that runs twice because a router that started during
// the outage accepts the key of a lost claim before the loss is recorded.
RC_GTEST_PROP(fleet, no_call_runs_twice_after_a_restore_and_restarts,
              (std::uint16_t seed))
{
    world target{{.seed = seed}};
    keyed_load load{target};
    run_calls_around_a_restore(load, 5);
    for (const auto& [key, runs] : load.runs_by_key)
        RC_ASSERT(runs == 1);
}

// Guards against an appender that has just started, or was suspended, and
// refuses a key of the past as one from the future.
TEST(fleet, appender_without_the_time_refuses_no_key_as_from_the_future)
{
    constexpr std::uint64_t wall_ms = 1'700'000'000'000;
    const time_point start{100s};
    fleet::node node{{.self = {.id = make_router_id(1, 1)}}};
    const auto claim = [&](time_point now, std::uint64_t created_ms)
    {
        const ledger::record content{
            .key = ledger::make_idempotency_key(created_ms, 1, 2),
            .attempt = created_ms};
        node.receive(now, make_router_id(2, 1),
                     ledger::append_request{1, content});
        for (const auto& effect : node.take_effects())
            if (const auto* sent = std::get_if<fleet::send_message>(&effect))
                if (const auto* response =
                        std::get_if<ledger::append_response>(&sent->content))
                    return response->result;
        return ledger::append_result::accepted;
    };
    EXPECT_NE(claim(start, wall_ms), ledger::append_result::key_from_future);
    node.tick(start, wall_ms);
    const auto resumed_at = start + 90s;
    EXPECT_NE(claim(resumed_at, wall_ms + 89'000),
              ledger::append_result::key_from_future);
    EXPECT_EQ(claim(resumed_at, wall_ms + 160'000),
              ledger::append_result::key_from_future);
}

/// Restores the KV service twice from copies without the later claims, the
/// second time while all routers but one restart, and sends all calls again.
void run_calls_around_two_restores(keyed_load& load)
{
    auto& target = load.target;
    target.start();
    load.claim_new_keys(20);
    for (const bool restarts_nearly_all : {false, true})
    {
        const auto copy = target.kv();
        load.claim_new_keys(40);
        target.kv().outage = true;
        target.run_for(duration{1'000'000 + target.random()() % 2'000'000});
        const auto routers = target.options().routers;
        const auto restarts = restarts_nearly_all ? routers - 1 : routers / 2;
        for (std::size_t index = 0; index < restarts; ++index)
            target.restart_router(index);
        target.restore_kv(copy);
        target.kv().outage = false;
        for (int repetition = 0; repetition < 2; ++repetition)
        {
            for (const auto& key : load.keys)
                load.attempt(key, target.random()() % routers);
            target.run_for(1s);
        }
    }
}

// Guards against a call that runs twice because only routers that have just
// started, or that never read the lost entry, accept its key after a restore.
RC_GTEST_PROP(fleet, no_call_runs_twice_after_two_restores_and_many_restarts,
              (std::uint16_t seed))
{
    world target{{.seed = seed}};
    keyed_load load{target};
    run_calls_around_two_restores(load);
    for (const auto& [key, runs] : load.runs_by_key)
        RC_ASSERT(runs == 1);
    // A router that did not restart finds the restore at its next call, and
    // refuses the keys that exist then.
    load.claim_new_keys(200);
    target.run_for(5s);
    load.decisions.clear();
    load.claim_new_keys(20);
    target.run_for(5s);
    RC_ASSERT(load.decisions[ledger::claim_result::accepted] == 20);
}

// The same in a fleet in which few routers take part in a shard.
TEST(fleet, no_call_runs_twice_after_two_restores_of_a_fleet_of_91)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
    {
        world target{{.seed = seed, .routers = 91}};
        keyed_load load{target};
        run_calls_around_two_restores(load);
        for (const auto& [key, runs] : load.runs_by_key)
            EXPECT_EQ(runs, 1) << "seed " << seed;
    }
}

// Guards against calls that are refused for good although nothing was lost:
// their keys were made before an appender restarted, or during an outage of the
// KV service in which no router restarted.
TEST(fleet, keys_made_before_a_restart_or_in_an_outage_are_accepted)
{
    world target{{.seed = 5}};
    keyed_load load{target};
    target.start();
    load.claim_new_keys(20);
    const auto make_keys = [&]
    {
        std::vector<ledger::idempotency_key> keys;
        for (std::uint64_t number = 0; number < 40; ++number)
            keys.push_back(ledger::make_idempotency_key(
                target.wall_clock_ms(), target.random()(), number));
        return keys;
    };
    const auto attempt_all = [&](const auto& keys)
    {
        load.decisions.clear();
        for (const auto& key : keys)
            load.attempt(key, target.random()() % 9);
        target.run_for(5s);
        EXPECT_EQ(load.decisions[ledger::claim_result::accepted], 40);
    };
    const auto before_restart = make_keys();
    target.run_for(1s);
    target.restart_router(3);
    target.run_for(2s);
    attempt_all(before_restart);
    target.kv().outage = true;
    const auto in_outage = make_keys();
    target.run_for(5s);
    target.kv().outage = false;
    target.run_for(500ms);
    attempt_all(in_outage);
}

/// Sends several attempts with the same idempotency key through different
/// routers during message loss, router pauses and restarts, and KV outages.
RC_GTEST_PROP(fleet, no_idempotency_key_runs_twice, (std::uint16_t seed))
{
    world target{{.seed = seed,
                  .loss_probability = 0.05,
                  .duplicate_probability = 0.05,
                  .late_probability = 0.1}};
    target.start();
    target.kv().response_loss_probability = 0.2;
    std::map<ledger::idempotency_key, int> runs_by_key;
    auto& random = target.random();
    const auto attempt = [&](const ledger::idempotency_key& key)
    {
        std::uniform_int_distribution<std::size_t> pick(0, 8);
        const auto router = pick(random);
        if (!target.is_router_up(router))
            return;
        target.claim(router, key, 3s,
                     [&, key, router](const ledger::claim_decision& decision)
                     {
                         if (decision.result != ledger::claim_result::accepted)
                             return;
                         target.events().schedule_after(
                             1ms,
                             [&, key, router, ticket = decision.ticket]
                             {
                                 target.run_on_router(
                                     router,
                                     [&, key, router, ticket]
                                     {
                                         ++runs_by_key[key];
                                         target.node(router)->finish_claim(
                                             target.now(), ticket, {});
                                     });
                             });
                     });
    };
    for (int count = 0; count < 40; ++count)
    {
        const auto key = ledger::make_idempotency_key(target.wall_clock_ms(),
                                                      random(), random());
        for (int repetition = 0; repetition < 3; ++repetition)
            target.events().schedule_after(duration{random() % 3'000'000},
                                           [&attempt, key] { attempt(key); });
        const auto victim = random() % 9;
        if (count % 5 == 0)
            target.pause_router(victim, 2s);
        if (count % 7 == 0)
            target.restart_router(victim);
        if (count % 9 == 0)
            target.kv().outage = !target.kv().outage;
        target.run_for(300ms);
    }
    target.kv().outage = false;
    target.run_for(10s);
    for (const auto& [key, runs] : runs_by_key)
        RC_ASSERT(runs == 1);
    RC_ASSERT(!runs_by_key.empty());
}

} // namespace

} // namespace baobabloft::driver

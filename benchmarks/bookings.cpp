// Measures bookings, that is, non-repeatable calls: that none runs twice under
// many faults, and how the ledger uses the KV service.
#include "measure.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace baobabloft::measure
{

namespace
{

using namespace driver;

constexpr std::size_t fault_test_key_count = 100'000;
constexpr double keys_per_second = 500;
constexpr duration claim_max_wait = 3s;

/// Result of one attempt as reported to the caller.
enum class attempt_result
{
    answered,
    not_run,
    unknown
};

/// Sends bookings under faults and counts how often each idempotency key runs,
/// which must never exceed one.
class fault_test
{
public:
    fault_test(world& world, std::size_t key_count)
        : world_(world), key_count_(key_count)
    {
    }

    void start()
    {
        schedule_next();
    }

    [[nodiscard]] figures results() const
    {
        std::uint64_t run_twice = 0;
        std::uint64_t answered = 0;
        std::uint64_t executed = 0;
        for (const auto& item : bookings_)
        {
            run_twice += item.executions > 1 ? 1 : 0;
            executed += item.executions > 0 ? 1 : 0;
            answered += item.answered ? 1 : 0;
        }
        const auto total = static_cast<double>(bookings_.size());
        return {{"bookings.storm.keys", total, "keys", bound_kind::at_least,
                 static_cast<double>(key_count_)},
                {"bookings.storm.attempts", static_cast<double>(attempts_),
                 "attempts"},
                {"bookings.storm.run_twice", static_cast<double>(run_twice),
                 "keys", bound_kind::at_most, 0},
                {"bookings.storm.false_not_run",
                 static_cast<double>(false_not_run_), "attempts",
                 bound_kind::at_most, 0},
                {"bookings.storm.told_not_run",
                 static_cast<double>(reported_not_run_), "attempts"},
                {"bookings.storm.told_unknown",
                 static_cast<double>(reported_unknown_), "attempts"},
                {"bookings.storm.ran", static_cast<double>(executed) / total,
                 "share"},
                {"bookings.storm.answered",
                 static_cast<double>(answered) / total, "share"}};
    }

private:
    struct booking
    {
        ledger::idempotency_key key;
        unsigned attempts_left = 0;
        unsigned executions = 0;
        unsigned attempts = 0;
        bool answered = false;
    };

    bool chance(double probability)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        return draw(world_.random()) < probability;
    }

    duration between(duration low, duration high)
    {
        std::uniform_int_distribution<duration::rep> draw(low.count(),
                                                          high.count());
        return duration{draw(world_.random())};
    }

    void schedule_next()
    {
        if (bookings_.size() == key_count_)
            return;
        std::exponential_distribution<double> interval(keys_per_second);
        world_.events().schedule_after(
            from_seconds(interval(world_.random())),
            [this]
            {
                std::uniform_int_distribution<unsigned> attempt_limit(1, 5);
                auto& random = world_.random();
                bookings_.push_back(
                    {ledger::make_idempotency_key(world_.wall_clock_ms(),
                                                  random(), random()),
                     attempt_limit(random)});
                attempt(bookings_.size() - 1);
                schedule_next();
            });
    }

    std::size_t pick_router()
    {
        std::uniform_int_distribution<std::size_t> pick(
            0, world_.options().routers - 1);
        auto index = pick(world_.random());
        while (!world_.is_router_up(index))
            index = pick(world_.random());
        return index;
    }

    void attempt(std::size_t booking_index)
    {
        auto& item = bookings_[booking_index];
        if (item.attempts_left == 0 || item.answered)
            return;
        --item.attempts_left;
        ++item.attempts;
        ++attempts_;
        const bool is_first_attempt = item.attempts == 1;
        const auto router = pick_router();
        // Set when the attempt has a result or the caller has abandoned it.
        const auto finished = std::make_shared<bool>(false);
        world_.claim(router, item.key, claim_max_wait,
                     [this, booking_index, router, is_first_attempt,
                      finished](const ledger::claim_decision& decision)
                     {
                         handle_decision(booking_index, router,
                                         is_first_attempt, decision, finished);
                     });
        // Some callers start the next attempt before the previous one has
        // ended.
        constexpr double early_abandon_probability = 0.2;
        const duration abandon_after = chance(early_abandon_probability)
                                           ? between(50ms, 500ms)
                                           : claim_max_wait + 2s;
        world_.events().schedule_after(abandon_after,
                                       [this, booking_index, finished]
                                       {
                                           if (!std::exchange(*finished, true))
                                               attempt(booking_index);
                                       });
    }

    void handle_decision(std::size_t booking_index, std::size_t router,
                         bool is_first_attempt,
                         const ledger::claim_decision& decision,
                         const std::shared_ptr<bool>& finished)
    {
        switch (decision.result)
        {
        case ledger::claim_result::accepted:
            // The delay allows the router to be paused or killed between its
            // claim and the call.
            world_.events().schedule_after(
                between(100us, 3ms),
                [this, booking_index, router, ticket = decision.ticket,
                 finished]
                {
                    world_.run_on_router(
                        router,
                        [this, booking_index, router, ticket, finished] {
                            send_booking(booking_index, router, ticket,
                                         finished);
                        });
                });
            return;
        case ledger::claim_result::answered:
            report_result(booking_index, attempt_result::answered, finished);
            return;
        case ledger::claim_result::unconfirmed:
        case ledger::claim_result::key_from_future:
            report_result(booking_index,
                          is_first_attempt ? attempt_result::not_run
                                           : attempt_result::unknown,
                          finished);
            return;
        case ledger::claim_result::in_progress:
        case ledger::claim_result::below_low_water_mark:
            report_result(booking_index, attempt_result::unknown, finished);
            return;
        }
    }

    void send_booking(std::size_t booking_index, std::size_t router,
                      ledger::claim_ticket ticket,
                      const std::shared_ptr<bool>& finished)
    {
        constexpr double connect_failure_probability = 0.02;
        constexpr double response_loss_probability = 0.02;
        auto* node = world_.node(router);
        if (chance(connect_failure_probability))
        {
            node->release_claim(world_.now(), ticket);
            report_result(booking_index, attempt_result::not_run, finished);
            return;
        }
        ++bookings_[booking_index].executions;
        const bool lost = chance(response_loss_probability);
        world_.events().schedule_after(
            between(5ms, 50ms),
            [this, booking_index, router, ticket, finished, lost]
            {
                world_.run_on_router(
                    router,
                    [this, booking_index, router, ticket, finished, lost]
                    {
                        auto* current_node = world_.node(router);
                        if (lost)
                            current_node->abandon_claim(ticket);
                        else
                            current_node->finish_claim(
                                world_.now(), ticket,
                                {.status = 200,
                                 .complete = true,
                                 .content_type = "text/plain",
                                 .body = "ok"});
                        report_result(booking_index,
                                      lost ? attempt_result::unknown
                                           : attempt_result::answered,
                                      finished);
                    });
            });
    }

    void report_result(std::size_t booking_index, attempt_result result,
                       const std::shared_ptr<bool>& finished)
    {
        auto& item = bookings_[booking_index];
        // The caller has abandoned this attempt.
        if (std::exchange(*finished, true))
            return;
        if (result == attempt_result::not_run)
        {
            ++reported_not_run_;
            false_not_run_ += item.executions > 0 ? 1 : 0;
        }
        reported_unknown_ += result == attempt_result::unknown ? 1 : 0;
        if (result == attempt_result::answered)
        {
            item.answered = true;
            return;
        }
        world_.events().schedule_after(between(200ms, 2s), [this, booking_index]
                                       { attempt(booking_index); });
    }

    world& world_;
    std::size_t key_count_;
    std::vector<booking> bookings_;
    std::uint64_t attempts_ = 0;
    /// Attempts reported as not run although the key has been executed.
    std::uint64_t false_not_run_ = 0;
    std::uint64_t reported_not_run_ = 0;
    std::uint64_t reported_unknown_ = 0;
};

/// Starts a random fault every 2 s: kills or pauses a router, partitions the
/// fleet or makes the KV service unavailable, for 0.3 s to 6 s.
void inject_faults(world& world)
{
    auto& random = world.random();
    std::uniform_int_distribution<std::size_t> pick(0, world.options().routers -
                                                           1);
    std::uniform_int_distribution<int> fault(0, 4);
    std::uniform_int_distribution<int> length_ms(300, 6000);
    const auto router = pick(random);
    const duration length = std::chrono::milliseconds{length_ms(random)};
    switch (fault(random))
    {
    case 0:
        world.kill_router(router);
        world.events().schedule_after(length, [&world, router]
                                      { world.restart_router(router); });
        break;
    case 1:
    case 2:
        world.pause_router(router, length);
        break;
    case 3:
        world.kv().outage = true;
        world.events().schedule_after(length,
                                      [&world] { world.kv().outage = false; });
        break;
    default:
        world.set_partition([router](std::size_t from, std::size_t to)
                            { return (from < router) != (to < router); });
        world.events().schedule_after(length,
                                      [&world] { world.set_partition({}); });
        break;
    }
    world.events().schedule_after(2s, [&world] { inject_faults(world); });
}

figures run_fault_test(const measure_options& options)
{
    world_options world_settings{.seed = options.seed};
    world_settings.routers =
        options.routers != 0 ? options.routers : world_settings.routers;
    world_settings.loss_probability = 0.02;
    world_settings.duplicate_probability = 0.02;
    world_settings.late_probability = 0.02;
    world world{world_settings};
    world.start();
    world.kv().response_loss_probability = 0.05;
    fault_test test{world, fault_test_key_count};
    test.start();
    world.events().schedule_after(2s, [&world] { inject_faults(world); });
    world.run_for(from_seconds(fault_test_key_count / keys_per_second + 60));
    return test.results();
}

/// Claim latency and KV calls of bookings without faults.
struct ledger_usage
{
    double writes_per_second = 0;
    double reads_per_second = 0;
    double median_ms = 0;
    double p99_ms = 0;
    double failed = 0;
};

ledger_usage measure_ledger(std::uint64_t seed, std::size_t routers,
                            double rate, std::size_t records_per_entry)
{
    world_options world_settings{.seed = seed, .routers = routers};
    world_settings.ledger_records_per_entry = records_per_entry;
    world world{world_settings};
    world.start();
    const auto writes_before = world.kv().writes;
    const auto reads_before = world.kv().reads;
    std::vector<double> latencies;
    std::uint64_t failed = 0;
    constexpr double seconds = 20;
    std::function<void()> send_next = [&]
    {
        std::uniform_int_distribution<std::size_t> pick(0, routers - 1);
        const auto router = pick(world.random());
        const auto key = ledger::make_idempotency_key(
            world.wall_clock_ms(), world.random()(), world.random()());
        const auto claimed_at = world.now();
        world.claim(
            router, key, claim_max_wait,
            [&, router, claimed_at](const ledger::claim_decision& decision)
            {
                if (decision.result != ledger::claim_result::accepted)
                {
                    ++failed;
                    return;
                }
                latencies.push_back(to_seconds(world.now() - claimed_at) *
                                    1000);
                const auto ticket = decision.ticket;
                world.events().schedule_after(
                    20ms,
                    [&world, router, ticket]
                    {
                        world.run_on_router(
                            router,
                            [&world, router, ticket]
                            {
                                world.node(router)->finish_claim(
                                    world.now(), ticket,
                                    {.status = 200,
                                     .complete = true,
                                     .content_type = "application/json",
                                     .body = std::string(200, 'x')});
                            });
                    });
            });
        std::exponential_distribution<double> interval(rate);
        world.events().schedule_after(from_seconds(interval(world.random())),
                                      send_next);
    };
    send_next();
    world.run_for(from_seconds(seconds));
    std::sort(latencies.begin(), latencies.end());
    ledger_usage result;
    result.writes_per_second =
        static_cast<double>(world.kv().writes - writes_before) / seconds;
    result.reads_per_second =
        static_cast<double>(world.kv().reads - reads_before) / seconds;
    result.failed = static_cast<double>(failed);
    if (latencies.empty())
        return result;
    result.median_ms = latencies[latencies.size() / 2];
    result.p99_ms = latencies[latencies.size() * 99 / 100];
    return result;
}

void add_ledger_figures(figures& all, const std::string& name,
                        const ledger_usage& usage, bool has_bound)
{
    constexpr double write_budget = 200;
    all.push_back({name + ".kv_writes", usage.writes_per_second, "1/s",
                   has_bound ? bound_kind::at_most : bound_kind::none,
                   write_budget});
    all.push_back({name + ".kv_reads", usage.reads_per_second, "1/s"});
    all.push_back({name + ".claim_median", usage.median_ms, "ms"});
    all.push_back({name + ".claim_p99", usage.p99_ms, "ms"});
    all.push_back({name + ".failed", usage.failed, "claims",
                   has_bound ? bound_kind::at_most : bound_kind::none, 0});
}

} // namespace

figures measure_bookings(const measure_options& options)
{
    figures all;
    constexpr double rate = 500;
    constexpr std::size_t batched_records = 2000;
    for (const std::size_t routers : {9UL, 50UL, 200UL})
        add_ledger_figures(
            all, "bookings.r" + std::to_string(routers) + ".500",
            measure_ledger(options.seed, routers, rate, batched_records), true);
    for (const double low_rate : {10.0, 100.0})
        add_ledger_figures(
            all, "bookings.r9." + std::to_string(static_cast<int>(low_rate)),
            measure_ledger(options.seed, 9, low_rate, batched_records), true);
    add_ledger_figures(all, "bookings.r9.100.unbatched",
                       measure_ledger(options.seed, 9, 100, 1), false);
    add_ledger_figures(all, "bookings.r9.500.unbatched",
                       measure_ledger(options.seed, 9, rate, 1), false);
    const auto fault_test_results = run_fault_test(options);
    all.insert(all.end(), fault_test_results.begin(), fault_test_results.end());
    return all;
}

} // namespace baobabloft::measure

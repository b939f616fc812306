// Non-repeatable calls: a storm of faults that must not run any twice, and the
// ledger's use of the KV service.
#include "measure.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace baobabloft::measure
{

namespace
{

using namespace driver;

constexpr std::size_t storm_keys = 100'000;
constexpr double keys_per_second = 500;
constexpr duration patience = 3s;

/// What callers are told of one attempt.
enum class told
{
    answered,
    not_run,
    unknown
};

/// Sends bookings and keeps the count that must never pass one.
class storm
{
public:
    storm(world& world, std::size_t keys) : world_(world), keys_(keys) {}

    void start()
    {
        schedule_next();
    }

    [[nodiscard]] figures results() const
    {
        std::uint64_t twice = 0;
        std::uint64_t answered = 0;
        std::uint64_t ran = 0;
        for (const auto& key : bookings_)
        {
            twice += key.executions > 1 ? 1 : 0;
            ran += key.executions > 0 ? 1 : 0;
            answered += key.answered ? 1 : 0;
        }
        const auto total = static_cast<double>(bookings_.size());
        return {
            {"bookings.storm.keys", total, "keys", bound_kind::at_least,
             static_cast<double>(keys_)},
            {"bookings.storm.attempts", static_cast<double>(attempts_),
             "attempts"},
            {"bookings.storm.run_twice", static_cast<double>(twice), "keys",
             bound_kind::at_most, 0},
            {"bookings.storm.false_not_run",
             static_cast<double>(false_not_run_), "attempts",
             bound_kind::at_most, 0},
            {"bookings.storm.told_not_run", static_cast<double>(not_run_),
             "attempts"},
            {"bookings.storm.told_unknown", static_cast<double>(unknown_),
             "attempts"},
            {"bookings.storm.ran", static_cast<double>(ran) / total, "share"},
            {"bookings.storm.answered", static_cast<double>(answered) / total,
             "share"}};
    }

private:
    struct booking
    {
        ledger::idempotency_key key;
        unsigned tries_left = 0;
        unsigned executions = 0;
        unsigned attempts = 0;
        bool answered = false;
    };

    bool chance(double share)
    {
        std::uniform_real_distribution<double> draw(0, 1);
        return draw(world_.random()) < share;
    }

    duration between(duration low, duration high)
    {
        std::uniform_int_distribution<duration::rep> draw(low.count(),
                                                          high.count());
        return duration{draw(world_.random())};
    }

    void schedule_next()
    {
        if (bookings_.size() == keys_)
            return;
        std::exponential_distribution<double> gap(keys_per_second);
        world_.events().schedule_after(
            from_seconds(gap(world_.random())),
            [this]
            {
                std::uniform_int_distribution<unsigned> tries(1, 5);
                auto& random = world_.random();
                bookings_.push_back(
                    {ledger::make_idempotency_key(world_.wall_clock_ms(),
                                                  random(), random()),
                     tries(random)});
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

    void attempt(std::size_t number)
    {
        auto& item = bookings_[number];
        if (item.tries_left == 0 || item.answered)
            return;
        --item.tries_left;
        ++item.attempts;
        ++attempts_;
        const bool first = item.attempts == 1;
        const auto router = pick_router();
        const auto over = std::make_shared<bool>(false);
        world_.claim(router, item.key, patience,
                     [this, number, router, first,
                      over](const ledger::claim_decision& decision)
                     { decided(number, router, first, decision, over); });
        // Some callers do not wait for the end of their last attempt.
        constexpr double impatient = 0.2;
        const duration give_up =
            chance(impatient) ? between(50ms, 500ms) : patience + 2s;
        world_.events().schedule_after(give_up,
                                       [this, number, over]
                                       {
                                           if (!std::exchange(*over, true))
                                               attempt(number);
                                       });
    }

    void decided(std::size_t number, std::size_t router, bool first,
                 const ledger::claim_decision& decision,
                 const std::shared_ptr<bool>& over)
    {
        switch (decision.result)
        {
        case ledger::claim_result::accepted:
            // The router may be paused or end between its claim and the call.
            world_.events().schedule_after(
                between(100us, 3ms),
                [this, number, router, ticket = decision.ticket, over]
                {
                    world_.run_on_router(router,
                                         [this, number, router, ticket, over] {
                                             send(number, router, ticket, over);
                                         });
                });
            return;
        case ledger::claim_result::answered:
            tell(number, told::answered, over);
            return;
        case ledger::claim_result::unconfirmed:
        case ledger::claim_result::key_from_future:
            tell(number, first ? told::not_run : told::unknown, over);
            return;
        case ledger::claim_result::in_progress:
        case ledger::claim_result::below_low_water_mark:
            tell(number, told::unknown, over);
            return;
        }
    }

    void send(std::size_t number, std::size_t router,
              ledger::claim_ticket ticket, const std::shared_ptr<bool>& over)
    {
        constexpr double connect_failures = 0.02;
        constexpr double lost_replies = 0.02;
        auto* node = world_.node(router);
        if (chance(connect_failures))
        {
            node->release_claim(world_.now(), ticket);
            tell(number, told::not_run, over);
            return;
        }
        ++bookings_[number].executions;
        const bool lost = chance(lost_replies);
        world_.events().schedule_after(
            between(5ms, 50ms),
            [this, number, router, ticket, over, lost]
            {
                world_.run_on_router(
                    router,
                    [this, number, router, ticket, over, lost]
                    {
                        auto* own = world_.node(router);
                        if (lost)
                            own->abandon_claim(ticket);
                        else
                            own->finish_claim(world_.now(), ticket,
                                              {.status = 200,
                                               .complete = true,
                                               .content_type = "text/plain",
                                               .body = "ok"});
                        tell(number, lost ? told::unknown : told::answered,
                             over);
                    });
            });
    }

    void tell(std::size_t number, told what, const std::shared_ptr<bool>& over)
    {
        auto& item = bookings_[number];
        // A caller that has given up is told nothing.
        if (std::exchange(*over, true))
            return;
        if (what == told::not_run)
        {
            ++not_run_;
            false_not_run_ += item.executions > 0 ? 1 : 0;
        }
        unknown_ += what == told::unknown ? 1 : 0;
        if (what == told::answered)
        {
            item.answered = true;
            return;
        }
        world_.events().schedule_after(between(200ms, 2s),
                                       [this, number] { attempt(number); });
    }

    world& world_;
    std::size_t keys_;
    std::vector<booking> bookings_;
    std::uint64_t attempts_ = 0;
    std::uint64_t false_not_run_ = 0;
    std::uint64_t not_run_ = 0;
    std::uint64_t unknown_ = 0;
};

/// Kills, pauses, cuts and stops things at random.
void disturb(world& world)
{
    auto& random = world.random();
    std::uniform_int_distribution<std::size_t> pick(0, world.options().routers -
                                                           1);
    std::uniform_int_distribution<int> what(0, 4);
    std::uniform_int_distribution<int> length_ms(300, 6000);
    const auto router = pick(random);
    const duration length = std::chrono::milliseconds{length_ms(random)};
    switch (what(random))
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
    world.events().schedule_after(2s, [&world] { disturb(world); });
}

figures run_storm(const measure_options& options)
{
    world_options shape{.seed = options.seed};
    shape.routers = options.routers != 0 ? options.routers : shape.routers;
    shape.loss_probability = 0.02;
    shape.duplicate_probability = 0.02;
    shape.late_probability = 0.02;
    world world{shape};
    world.start();
    world.kv().response_loss_probability = 0.05;
    storm storm{world, storm_keys};
    storm.start();
    world.events().schedule_after(2s, [&world] { disturb(world); });
    world.run_for(from_seconds(storm_keys / keys_per_second + 60));
    return storm.results();
}

/// Latency and KV calls of bookings without faults.
struct ledger_load
{
    double writes_per_second = 0;
    double reads_per_second = 0;
    double median_ms = 0;
    double p99_ms = 0;
    double failed = 0;
};

ledger_load run_ledger(std::uint64_t seed, std::size_t routers, double rate,
                       std::size_t records_per_entry)
{
    world_options shape{.seed = seed, .routers = routers};
    shape.ledger_records_per_entry = records_per_entry;
    world world{shape};
    world.start();
    const auto writes = world.kv().writes;
    const auto reads = world.kv().reads;
    std::vector<double> latencies;
    std::uint64_t failed = 0;
    constexpr double seconds = 20;
    std::function<void()> next = [&]
    {
        std::uniform_int_distribution<std::size_t> pick(0, routers - 1);
        const auto router = pick(world.random());
        const auto key = ledger::make_idempotency_key(
            world.wall_clock_ms(), world.random()(), world.random()());
        const auto asked = world.now();
        world.claim(router, key, patience,
                    [&, router, asked](const ledger::claim_decision& decision)
                    {
                        if (decision.result != ledger::claim_result::accepted)
                        {
                            ++failed;
                            return;
                        }
                        latencies.push_back(to_seconds(world.now() - asked) *
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
        std::exponential_distribution<double> gap(rate);
        world.events().schedule_after(from_seconds(gap(world.random())), next);
    };
    next();
    world.run_for(from_seconds(seconds));
    std::sort(latencies.begin(), latencies.end());
    ledger_load result;
    result.writes_per_second =
        static_cast<double>(world.kv().writes - writes) / seconds;
    result.reads_per_second =
        static_cast<double>(world.kv().reads - reads) / seconds;
    result.failed = static_cast<double>(failed);
    if (latencies.empty())
        return result;
    result.median_ms = latencies[latencies.size() / 2];
    result.p99_ms = latencies[latencies.size() * 99 / 100];
    return result;
}

void add_ledger(figures& all, const std::string& name, const ledger_load& load,
                bool bounded)
{
    constexpr double write_budget = 200;
    all.push_back({name + ".kv_writes", load.writes_per_second, "1/s",
                   bounded ? bound_kind::at_most : bound_kind::none,
                   write_budget});
    all.push_back({name + ".kv_reads", load.reads_per_second, "1/s"});
    all.push_back({name + ".claim_median", load.median_ms, "ms"});
    all.push_back({name + ".claim_p99", load.p99_ms, "ms"});
    all.push_back({name + ".failed", load.failed, "claims",
                   bounded ? bound_kind::at_most : bound_kind::none, 0});
}

} // namespace

figures measure_bookings(const measure_options& options)
{
    figures all;
    constexpr double rate = 500;
    constexpr std::size_t batched = 2000;
    for (const std::size_t routers : {9UL, 50UL, 200UL})
        add_ledger(all, "bookings.r" + std::to_string(routers) + ".500",
                   run_ledger(options.seed, routers, rate, batched), true);
    for (const double slower : {10.0, 100.0})
        add_ledger(all,
                   "bookings.r9." + std::to_string(static_cast<int>(slower)),
                   run_ledger(options.seed, 9, slower, batched), true);
    add_ledger(all, "bookings.r9.100.unbatched",
               run_ledger(options.seed, 9, 100, 1), false);
    add_ledger(all, "bookings.r9.500.unbatched",
               run_ledger(options.seed, 9, rate, 1), false);
    const auto stormy = run_storm(options);
    all.insert(all.end(), stormy.begin(), stormy.end());
    return all;
}

} // namespace baobabloft::measure

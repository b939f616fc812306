#include "world.hpp"

#include "baobabloft/support/hash.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace baobabloft::driver
{

namespace
{

constexpr duration tick_period = 50ms;
constexpr duration kv_timeout = 1s;
constexpr duration load_timeout = 1s;
/// How often an engine notes its state for later reports.
constexpr duration report_period = 250ms;
constexpr std::uint64_t wall_start_ms = 1'700'000'000'000;
constexpr std::uint16_t control_port = 7080;
constexpr std::uint16_t http_port = 8080;
constexpr std::uint32_t first_address = 0x0a000001;
constexpr duration cached_first_token = 100ms;
constexpr duration uncached_first_token = 300ms;
constexpr double cold_slowdown = 5;
constexpr double longest_lateness_s = 3;

} // namespace

void event_queue::schedule_at(time_point when, action work)
{
    items_.push({std::max(when, now_), ++order_, std::move(work)});
}

void event_queue::schedule_after(duration delay, action work)
{
    schedule_at(now_ + delay, std::move(work));
}

void event_queue::run_until(time_point end)
{
    while (!items_.empty() && items_.top().when <= end)
    {
        const auto work = items_.top().work;
        now_ = items_.top().when;
        items_.pop();
        work();
    }
    now_ = end;
}

bool fake_engine::touch(chat_id chat, std::size_t limit)
{
    const auto found = lru_positions.find(chat);
    const bool hit = found != lru_positions.end();
    if (hit)
        lru_order.erase(found->second);
    lru_order.push_back(chat);
    lru_positions[chat] = std::prev(lru_order.end());
    if (lru_order.size() > limit)
    {
        lru_positions.erase(lru_order.front());
        lru_order.pop_front();
    }
    return hit;
}

world::world(const world_options& options)
    : options_(options), random_(options.seed), hosts_(options.routers),
      engines_(options.engines), keys_({"a secret for virtual time"})
{
    for (std::size_t index = 0; index < engines_.size(); ++index)
    {
        auto& engine = engines_[index];
        engine.name = "engine-" + std::to_string(index);
        engine.id = make_upstream_id(engine.name);
        engine_index_[engine.id] = index;
    }
    for (std::size_t index = 0; index < hosts_.size(); ++index)
        router_index_[router_id_at(index)] = index;
    make_preset();
}

void world::start()
{
    make_reports();
    for (std::size_t index = 0; index < hosts_.size(); ++index)
        restart_router(index);
    const auto is_ready = [this](host& item)
    {
        return item.node->current_readiness(now()) == fleet::readiness::ready &&
               item.node->members().live_members().size() == hosts_.size();
    };
    for (int tries = 0; tries < 600; ++tries)
    {
        run_for(100ms);
        if (std::all_of(hosts_.begin(), hosts_.end(), is_ready))
            break;
    }
    run_for(5s);
}

void world::run_for(duration time)
{
    events_.run_until(now() + time);
}

time_point world::now() const
{
    return events_.now();
}

void world::send_request(const world_request& request, response_callback done)
{
    auto& item = hosts_.at(request.router);
    if (!item.node)
    {
        done({});
        return;
    }
    deliver(request.router, item.life,
            [this, request, done = std::move(done), asked = now()]
            {
                auto& own = hosts_[request.router];
                const fleet::route_requirements want{
                    .service = "model",
                    .chat = request.chat,
                    .customer = make_customer_id(
                        "c" + std::to_string(request.customer)),
                    .priority = request.priority,
                    .deadline = now() + request.max_queue_wait,
                    .excluded_upstreams = {}};
                const auto ticket = own.node->begin_route(now(), want);
                own.waiting[ticket] = {request.router, own.life, ticket,
                                       request,        done,     asked};
            });
}

void world::kill_router(std::size_t index)
{
    auto& item = hosts_.at(index);
    ++item.life;
    item.node.reset();
    // An engine cancels what it runs for a caller whose connection is gone.
    for (const auto& open : std::exchange(item.runs, {}))
        end_run(*open);
    item.paused = false;
    item.held_back.clear();
    item.waiting.clear();
    item.claims.clear();
    item.watching = false;
}

void world::restart_router(std::size_t index)
{
    kill_router(index);
    auto& item = hosts_.at(index);
    fleet::node_options options;
    options.self = {.id = router_id_at(index),
                    .incarnation = wall_clock_ms() + item.life,
                    .http_port = http_port};
    options.data_centre = data_centre_name(index);
    options.seed = hash_combine(options_.seed * 1000 + item.life, index);
    options.ledger_writes_per_second = options_.ledger_writes_per_second;
    options.ledger_records_per_entry = options_.ledger_records_per_entry;
    std::uniform_int_distribution<std::size_t> pick(0, hosts_.size() - 1);
    constexpr int seeds = 5;
    for (int count = 0; count < seeds; ++count)
        options.seed_routers.push_back(router_id_at(pick(random_)));
    item.node = std::make_unique<fleet::node>(options);
    std::uniform_int_distribution<duration::rep> phase(
        0, duration{tick_period}.count());
    events_.schedule_after(duration{phase(random_)},
                           [this, index, life = item.life]
                           { schedule_tick(index, life); });
}

void world::pause_router(std::size_t index, duration time)
{
    auto& item = hosts_.at(index);
    if (!item.node || item.paused)
        return;
    item.paused = true;
    events_.schedule_after(time,
                           [this, index, life = item.life]
                           {
                               auto& own = hosts_[index];
                               if (own.life != life)
                                   return;
                               own.paused = false;
                               for (auto& work :
                                    std::exchange(own.held_back, {}))
                                   deliver(index, life, std::move(work));
                           });
}

void world::set_partition(std::function<bool(std::size_t, std::size_t)> cut)
{
    cut_ = std::move(cut);
}

void world::stop_engine(std::size_t index)
{
    auto& engine = engines_.at(index);
    engine.up = false;
    engine.running_requests = 0;
    ++engine.incarnation;
    engine.lru_positions.clear();
    engine.lru_order.clear();
}

void world::start_engine(std::size_t index, duration cold_time)
{
    auto& engine = engines_.at(index);
    engine.up = true;
    engine.recent_reports.clear();
    engine.warm_at = now() + cold_time;
}

void world::activate_preset(const std::function<void(std::string&)>& change)
{
    if (change)
        change(preset_text_);
    std::vector<config::preset_mistake> mistakes;
    auto value = config::parse_preset(preset_text_, mistakes);
    assert(value && "the driver's preset is valid");
    kv_.preset_envelope = config::to_envelope({.number = ++generation_,
                                               .nonce = "driver",
                                               .author = "driver",
                                               .accepted_at = 0,
                                               .text = preset_text_,
                                               .value = std::move(*value)});
    notify_watchers();
}

void world::set_data_centre(std::size_t index, bool in_service)
{
    activate_preset(
        [&](std::string& text)
        {
            failure reason;
            text = config::set_data_centre(text, data_centre_name(index),
                                           in_service, reason)
                       .value_or(text);
        });
}

fleet::node* world::node(std::size_t index)
{
    return hosts_.at(index).node.get();
}

router_id world::router_id_at(std::size_t index) const
{
    return make_router_id(first_address + static_cast<std::uint32_t>(index),
                          control_port);
}

std::vector<fake_engine>& world::engines()
{
    return engines_;
}

fake_kv& world::kv()
{
    return kv_;
}

event_queue& world::events()
{
    return events_;
}

std::mt19937_64& world::random()
{
    return random_;
}

const traffic& world::sent_traffic() const
{
    return sent_;
}

const world_options& world::options() const
{
    return options_;
}

std::string world::data_centre_name(std::size_t index) const
{
    return "dc-" + std::to_string(index % options_.data_centres);
}

std::uint64_t world::wall_clock_ms() const
{
    return wall_start_ms +
           static_cast<std::uint64_t>(now().time_since_epoch() / 1ms);
}

void world::claim(std::size_t router, const ledger::idempotency_key& key,
                  duration patience, claim_callback done)
{
    auto& item = hosts_.at(router);
    if (!item.node)
        return;
    deliver(router, item.life,
            [this, router, key, patience, done = std::move(done)]
            {
                auto& own = hosts_[router];
                const auto ticket =
                    own.node->begin_claim(now(), key, now() + patience);
                own.claims[ticket] = done;
            });
}

void world::run_on_router(std::size_t index, event_queue::action work)
{
    deliver(index, hosts_.at(index).life, std::move(work));
}

bool world::is_router_up(std::size_t index) const
{
    return hosts_.at(index).node != nullptr;
}

std::uint64_t world::load_report_reads() const
{
    return load_report_reads_;
}

void world::settle(std::size_t index)
{
    auto& item = hosts_.at(index);
    if (!item.node)
        return;
    for (const auto& effect : item.node->take_effects())
        std::visit([&](const auto& part) { apply(index, part); }, effect);
}

void world::make_preset()
{
    using nlohmann::json;
    json centres = json::array();
    for (std::size_t index = 0; index < options_.data_centres; ++index)
        centres.push_back(
            {{"name", data_centre_name(index)}, {"region", "region"}});
    json customers = json::array();
    constexpr int large_weight = 4;
    for (std::size_t index = 0; index < options_.customers; ++index)
        customers.push_back(
            {{"name", "c" + std::to_string(index)},
             {"weight", index < options_.large_customers ? large_weight : 1}});
    json upstreams = json::array();
    for (std::size_t index = 0; index < engines_.size(); ++index)
        upstreams.push_back({{"name", engines_[index].name},
                             {"data_centre", data_centre_name(index)},
                             {"address", "10.0.0.1:1"}});
    const json service{{"name", "model"},
                       {"models", {"model"}},
                       {"load_multiple", options_.load_multiple},
                       {"load_floor", options_.load_floor},
                       {"capacity", options_.capacity},
                       {"cold_start",
                        {{"bearable", options_.cold_start_limit},
                         {"ramp_s", to_seconds(options_.ramp_duration)}}},
                       {"upstreams", upstreams}};
    preset_text_ = json{{"format", 1},
                        {"name", "driver"},
                        {"data_centres", centres},
                        {"customers", customers},
                        {"services", json::array({service})}}
                       .dump();
    activate_preset({});
}

void world::schedule_tick(std::size_t index, std::uint64_t life)
{
    if (hosts_[index].life != life)
        return;
    if (!hosts_[index].paused)
        deliver(index, life,
                [this, index]
                { hosts_[index].node->tick(now(), wall_clock_ms()); });
    events_.schedule_after(tick_period,
                           [this, index, life] { schedule_tick(index, life); });
}

void world::deliver(std::size_t index, std::uint64_t life,
                    event_queue::action work)
{
    auto& item = hosts_[index];
    if (item.life != life || !item.node)
        return;
    if (item.paused)
    {
        item.held_back.push_back(std::move(work));
        return;
    }
    work();
    settle(index);
}

duration world::some_delay()
{
    std::uniform_int_distribution<duration::rep> jitter(
        0, options_.network_delay.count() / 5);
    return options_.network_delay + duration{jitter(random_)};
}

void world::apply(std::size_t index, const fleet::send_message& effect)
{
    const auto kind = effect.content.index();
    ++sent_.datagrams.at(kind);
    if (options_.count_bytes)
        sent_.bytes.at(kind) +=
            net::encode_datagram(keys_, router_id_at(index), effect.content)
                .size() +
            net::datagram_header_bytes;
    const auto target = router_index_.find(effect.to);
    if (target == router_index_.end())
        return;
    const auto to = target->second;
    std::uniform_real_distribution<double> chance(0, 1);
    const bool lost = chance(random_) < options_.loss_probability;
    if (lost || (cut_ && cut_(index, to)))
        return;
    const int copies = chance(random_) < options_.duplicate_probability ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        auto delay = some_delay();
        if (chance(random_) < options_.late_probability)
            delay += from_seconds(chance(random_) * longest_lateness_s);
        events_.schedule_after(
            delay,
            [this, to, from = router_id_at(index), content = effect.content]
            {
                deliver(to, hosts_[to].life,
                        [this, to, from, content]
                        { hosts_[to].node->receive(now(), from, content); });
            });
    }
}

void world::kv_call(std::size_t index, const event_queue::action& effect_at_kv,
                    const event_queue::action& answer,
                    const event_queue::action& no_answer)
{
    const auto life = hosts_[index].life;
    const auto fail = [this, index, life, no_answer]
    {
        events_.schedule_after(kv_timeout, [this, index, life, no_answer]
                               { deliver(index, life, no_answer); });
    };
    if (kv_.outage)
    {
        fail();
        return;
    }
    events_.schedule_after(
        kv_.delay / 2,
        [this, index, life, effect_at_kv, answer, fail]
        {
            effect_at_kv();
            std::uniform_real_distribution<double> chance(0, 1);
            if (kv_.outage || chance(random_) < kv_.response_loss_probability)
                fail();
            else
                events_.schedule_after(kv_.delay / 2,
                                       [this, index, life, answer]
                                       { deliver(index, life, answer); });
        });
}

void world::apply(std::size_t index, const fleet::read_preset& /*effect*/)
{
    const auto seen = std::make_shared<std::string>();
    kv_call(
        index,
        [this, seen]
        {
            ++kv_.reads;
            *seen = kv_.preset_envelope;
        },
        [this, index, seen] {
            hosts_[index].node->on_preset_read(now(), {true, *seen});
        },
        [this, index] { hosts_[index].node->on_preset_read(now(), {}); });
}

void world::apply(std::size_t index, const fleet::watch_preset& /*effect*/)
{
    ++kv_.reads;
    hosts_[index].watching = true;
    hosts_[index].watched_generation = generation_;
    if (kv_.outage)
        events_.schedule_after(
            kv_timeout,
            [this, index, life = hosts_[index].life]
            {
                hosts_[index].watching = false;
                deliver(index, life,
                        [this, index]
                        { hosts_[index].node->on_watch_ended(now(), {}); });
            });
}

void world::notify_watchers()
{
    for (std::size_t index = 0; index < hosts_.size(); ++index)
    {
        auto& item = hosts_[index];
        if (!item.watching || kv_.outage)
            continue;
        item.watching = false;
        events_.schedule_after(
            kv_.delay,
            [this, index, life = item.life, text = kv_.preset_envelope]
            {
                deliver(
                    index, life,
                    [this, index, text] {
                        hosts_[index].node->on_watch_ended(now(), {true, text});
                    });
            });
    }
}

void world::apply(std::size_t index, const fleet::pull_preset& effect)
{
    const auto peer = router_index_.at(effect.peer);
    const bool reachable = hosts_[peer].node && !hosts_[peer].paused &&
                           !(cut_ && (cut_(index, peer) || cut_(peer, index)));
    std::optional<std::string> envelope;
    if (reachable && hosts_[peer].node->preset())
        envelope = config::to_envelope(*hosts_[peer].node->preset());
    const duration delay = reachable ? 4 * some_delay() : duration{kv_timeout};
    events_.schedule_after(
        delay,
        [this, index, life = hosts_[index].life, envelope]
        {
            deliver(index, life,
                    [this, index, envelope]
                    { hosts_[index].node->on_preset_pulled(now(), envelope); });
        });
}

void world::apply(std::size_t index, const fleet::read_load& effect)
{
    ++load_report_reads_;
    auto& engine = engines_.at(engine_index_.at(effect.upstream));
    std::optional<routing::load_report> report;
    if (engine.up)
        report = lagged_report(engine);
    const duration delay =
        engine.up ? 2 * some_delay() : duration{load_timeout};
    events_.schedule_after(delay,
                           [this, index, life = hosts_[index].life,
                            upstream = effect.upstream, report]
                           {
                               deliver(index, life,
                                       [this, index, upstream, report] {
                                           hosts_[index].node->on_load_read(
                                               now(), upstream, report);
                                       });
                           });
}

void world::apply(std::size_t index, const fleet::read_host_list& /*effect*/)
{
    std::vector<membership::upstream_record> hosts;
    for (const auto& engine : engines_)
        if (engine.leaving)
            hosts.push_back({engine.id, 1, true});
    hosts_[index].node->on_host_list_read(hosts, {});
}

void world::apply(std::size_t index, const ledger::read_entries& effect)
{
    const auto seen = std::make_shared<std::vector<ledger::log_entry>>();
    kv_call(
        index,
        [this, effect, seen]
        {
            ++kv_.reads;
            const auto& log = kv_.shard_logs[effect.shard];
            for (auto entry = log.lower_bound(effect.first.value_or(0));
                 entry != log.end() && seen->size() < effect.limit; ++entry)
                seen->push_back({entry->first, entry->second});
        },
        [this, index, shard = effect.shard, seen]
        { hosts_[index].node->on_entries_read(now(), shard, *seen); },
        [this, index, shard = effect.shard]
        { hosts_[index].node->on_entries_read(now(), shard, std::nullopt); });
}

void world::apply(std::size_t index, const ledger::create_entry& effect)
{
    const auto created = std::make_shared<bool>(false);
    kv_call(
        index,
        [this, effect, created]
        {
            ++kv_.writes;
            auto& log = kv_.shard_logs[effect.shard];
            const bool follows =
                effect.number == 1 ? !kv_.started_shards.contains(effect.shard)
                                   : log.contains(effect.number - 1);
            if (!follows || log.contains(effect.number))
                return;
            log[effect.number] = effect.bytes;
            kv_.started_shards.insert(effect.shard);
            kv_.bytes_written += effect.bytes.size();
            *created = true;
        },
        [this, index, shard = effect.shard, created]
        { hosts_[index].node->on_entry_created(now(), shard, *created); },
        [this, index, shard = effect.shard]
        { hosts_[index].node->on_entry_created(now(), shard, std::nullopt); });
}

void world::apply(std::size_t index, const ledger::delete_entries& effect)
{
    kv_call(
        index,
        [this, effect]
        {
            ++kv_.writes;
            auto& log = kv_.shard_logs[effect.shard];
            log.erase(log.lower_bound(effect.first),
                      log.lower_bound(effect.end));
        },
        [this, index, effect]
        { hosts_[index].node->on_entries_deleted(effect.shard, effect.end); },
        [] {});
}

void world::apply(std::size_t index, const fleet::route_decided& effect)
{
    auto& item = hosts_[index];
    auto found = item.waiting.extract(effect.decision.ticket);
    if (!found)
        return;
    if (effect.decision.result != routing::permit_result::granted)
    {
        found.mapped().done({.result = effect.decision.result,
                             .latency = now() - found.mapped().asked});
        return;
    }
    run_on_engine(found.mapped(), engine_index_.at(effect.decision.upstream),
                  effect.decision.candidate_index);
}

void world::apply(std::size_t index, const fleet::claim_decided& effect)
{
    auto found = hosts_[index].claims.extract(effect.decision.ticket);
    if (found && found.mapped())
        found.mapped()(effect.decision);
}

void world::apply(std::size_t /*index*/,
                  const fleet::preset_adopted& /*effect*/)
{
}

void world::run_on_engine(const running_request& request, std::size_t engine,
                          std::uint32_t candidate_index)
{
    auto& target = engines_[engine];
    const auto end = [this](const running_request& ended, routing::outcome how,
                            std::uint16_t first_ms)
    {
        deliver(ended.router, ended.life,
                [this, ended, how, first_ms] {
                    hosts_[ended.router].node->end_route(now(), ended.ticket,
                                                         how, first_ms);
                });
    };
    if (!target.up)
    {
        end(request, routing::outcome::connect_failed, 0);
        request.done({.result = routing::permit_result::no_upstream,
                      .latency = now() - request.asked});
        return;
    }
    ++target.running_requests;
    ++target.started_requests;
    target.last_request_start = now();
    target.peak_requests =
        std::max(target.peak_requests, target.running_requests);
    const bool cold = target.is_cold(now());
    if (cold)
        target.cold_peak_requests =
            std::max(target.cold_peak_requests, target.running_requests);
    const bool hit =
        target.touch(request.request.chat, options_.chat_cache_capacity);
    target.cache_hits += hit ? 1 : 0;
    const double slowdown =
        target.first_token_slowdown * (cold ? cold_slowdown : 1);
    const auto first = from_seconds(
        to_seconds(hit ? cached_first_token : uncached_first_token) * slowdown);
    const auto latency = now() - request.asked + first;
    const auto open =
        std::make_shared<run>(run{engine, target.incarnation, false});
    hosts_[request.router].runs.push_back(open);
    events_.schedule_after(
        first,
        [this, request]
        {
            deliver(request.router, request.life,
                    [this, request] {
                        hosts_[request.router].node->record_first_token(
                            request.ticket, {});
                    });
        });
    events_.schedule_after(
        first + request.request.service_time,
        [this, request, open, end, first, latency, hit, candidate_index]
        {
            const bool completed =
                engines_[open->engine].incarnation == open->incarnation &&
                hosts_[request.router].life == request.life;
            end_run(*open);
            hosts_[request.router].runs.remove(open);
            end(request,
                completed ? routing::outcome::completed
                          : routing::outcome::broken,
                static_cast<std::uint16_t>(first / 1ms));
            request.done({.result = routing::permit_result::granted,
                          .latency = latency,
                          .candidate_index = candidate_index,
                          .cache_hit = hit,
                          .completed = completed});
        });
}

void world::end_run(run& ended)
{
    if (std::exchange(ended.over, true))
        return;
    auto& engine = engines_[ended.engine];
    if (engine.incarnation == ended.incarnation)
        --engine.running_requests;
}

void world::make_reports()
{
    for (auto& engine : engines_)
        if (engine.up)
            add_report(engine);
    events_.schedule_after(report_period, [this] { make_reports(); });
}

void world::add_report(fake_engine& engine)
{
    engine.recent_reports.emplace_back(
        now(), routing::load_report{.running = engine.running_requests,
                                    .incarnation = engine.incarnation,
                                    .cold = engine.is_cold(now()),
                                    .leaving = engine.leaving});
    auto& reports = engine.recent_reports;
    while (reports.size() > 1 &&
           reports[1].first <= now() - options_.report_lag)
        reports.erase(reports.begin());
}

routing::load_report world::lagged_report(fake_engine& engine)
{
    add_report(engine);
    return engine.recent_reports.front().second;
}

} // namespace baobabloft::driver

// Implements the simulated fleet.
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
/// Interval at which an engine records its load for lagged reports.
constexpr duration report_period = 250ms;
constexpr std::uint64_t wall_clock_start_ms = 1'700'000'000'000;
constexpr std::uint16_t control_port = 7080;
constexpr std::uint16_t http_port = 8080;
constexpr std::uint32_t first_router_address = 0x0a000001;
constexpr duration cached_time_to_first_token = 100ms;
constexpr duration uncached_time_to_first_token = 300ms;
constexpr double cold_slowdown = 5;
constexpr double max_extra_delay_s = 3;

} // namespace

void event_queue::schedule_at(time_point time, action work)
{
    events_.push({std::max(time, now_), ++last_sequence_, std::move(work)});
}

void event_queue::schedule_after(duration delay, action work)
{
    schedule_at(now_ + delay, std::move(work));
}

void event_queue::run_until(time_point end)
{
    while (!events_.empty() && events_.top().time <= end)
    {
        const auto work = events_.top().work;
        now_ = events_.top().time;
        events_.pop();
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
    : options_(options), random_(options.seed), routers_(options.routers),
      engines_(options.engines), keys_({"a secret for virtual time"})
{
    for (std::size_t index = 0; index < engines_.size(); ++index)
    {
        auto& engine = engines_[index];
        engine.name = "engine-" + std::to_string(index);
        engine.id = make_upstream_id(engine.name);
        engine_index_[engine.id] = index;
    }
    for (std::size_t index = 0; index < routers_.size(); ++index)
        router_index_[router_id_at(index)] = index;
    make_preset();
}

void world::start()
{
    record_reports_periodically();
    for (std::size_t index = 0; index < routers_.size(); ++index)
        restart_router(index);
    const auto is_ready = [this](router_state& state)
    {
        return state.node->current_readiness(now()) ==
                   fleet::readiness::ready &&
               state.node->members().live_members().size() == routers_.size();
    };
    for (int step = 0; step < 600; ++step)
    {
        run_for(100ms);
        if (std::all_of(routers_.begin(), routers_.end(), is_ready))
            break;
    }
    run_for(5s);
}

void world::run_for(duration length)
{
    events_.run_until(now() + length);
}

time_point world::now() const
{
    return events_.now();
}

void world::send_request(const world_request& request, response_callback done)
{
    auto& state = routers_.at(request.router);
    if (!state.node)
    {
        done({});
        return;
    }
    deliver(request.router, state.epoch,
            [this, request, done = std::move(done), sent_at = now()]
            {
                auto& current_state = routers_[request.router];
                const fleet::route_requirements requirements{
                    .service = "model",
                    .chat = request.chat,
                    .customer = make_customer_id(
                        "c" + std::to_string(request.customer)),
                    .priority = request.priority,
                    .deadline = now() + request.max_queue_wait,
                    .excluded_upstreams = {}};
                const auto ticket =
                    current_state.node->begin_route(now(), requirements);
                current_state.waiting_requests[ticket] = {
                    request.router, current_state.epoch, ticket, request, done,
                    sent_at};
            });
}

void world::kill_router(std::size_t index)
{
    auto& state = routers_.at(index);
    ++state.epoch;
    state.node.reset();
    // An engine cancels a request when the router's connection closes.
    for (const auto& run : std::exchange(state.engine_runs, {}))
        end_run(*run);
    state.paused = false;
    state.deferred_work.clear();
    state.waiting_requests.clear();
    state.open_claims.clear();
    state.watches_preset = false;
}

void world::restart_router(std::size_t index)
{
    kill_router(index);
    auto& state = routers_.at(index);
    fleet::node_options options;
    options.self = {.id = router_id_at(index),
                    .incarnation = wall_clock_ms() + state.epoch,
                    .http_port = http_port};
    options.data_centre = data_centre_name(index);
    options.seed = hash_combine(options_.seed * 1000 + state.epoch, index);
    options.ledger_writes_per_second = options_.ledger_writes_per_second;
    options.ledger_records_per_entry = options_.ledger_records_per_entry;
    std::uniform_int_distribution<std::size_t> pick(0, routers_.size() - 1);
    constexpr int seed_router_count = 5;
    for (int count = 0; count < seed_router_count; ++count)
        options.seed_routers.push_back(router_id_at(pick(random_)));
    state.node = std::make_unique<fleet::node>(options);
    state.kv_revisions = {};
    std::uniform_int_distribution<duration::rep> phase(
        0, duration{tick_period}.count());
    events_.schedule_after(duration{phase(random_)},
                           [this, index, epoch = state.epoch]
                           { schedule_tick(index, epoch); });
}

void world::pause_router(std::size_t index, duration length)
{
    auto& state = routers_.at(index);
    if (!state.node || state.paused)
        return;
    state.paused = true;
    events_.schedule_after(
        length,
        [this, index, epoch = state.epoch]
        {
            auto& current_state = routers_[index];
            if (current_state.epoch != epoch)
                return;
            current_state.paused = false;
            for (auto& work : std::exchange(current_state.deferred_work, {}))
                deliver(index, epoch, std::move(work));
        });
}

void world::set_partition(
    std::function<bool(std::size_t, std::size_t)> is_partitioned)
{
    is_partitioned_ = std::move(is_partitioned);
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

void world::start_engine(std::size_t index, duration cold_start_duration)
{
    auto& engine = engines_.at(index);
    engine.up = true;
    engine.recent_reports.clear();
    engine.warm_at = now() + cold_start_duration;
}

void world::activate_preset(const std::function<void(std::string&)>& change)
{
    failure reason;
    const auto stored = config::parse_envelope(kv_.preset_envelope, reason);
    auto text = stored ? stored->text : preset_text_;
    if (change)
        change(text);
    std::vector<config::preset_error> errors;
    auto value = config::parse_preset(text, errors);
    assert(value && "the preset of the simulation must be valid");
    config::accepted_preset next{.generation_number = 1,
                                 .nonce =
                                     "change " + std::to_string(++last_change_),
                                 .author = "driver",
                                 .accepted_at = 0,
                                 .text = text,
                                 .value = std::move(*value)};
    if (stored)
        next = config::succeed(*stored, std::move(next));
    store_preset(config::to_envelope(next));
}

void world::store_preset(const std::string& envelope)
{
    kv_.preset_envelope = envelope;
    kv_.preset_revision = ++kv_.revision;
    notify_watchers();
}

void world::restore_kv(const fake_kv& copy)
{
    auto restored = copy;
    restored.outage = kv_.outage;
    restored.delay = kv_.delay;
    restored.response_loss_probability = kv_.response_loss_probability;
    kv_ = std::move(restored);
    for (std::size_t index = 0; index < routers_.size(); ++index)
        end_watch(index, kv_.delay, {});
}

void world::set_data_centre(std::size_t index, bool in_service)
{
    activate_preset(
        [&](std::string& text)
        {
            failure reason;
            text = config::set_data_centre_in_service(
                       text, data_centre_name(index), in_service, reason)
                       .value_or(text);
        });
}

fleet::node* world::node(std::size_t index)
{
    return routers_.at(index).node.get();
}

router_id world::router_id_at(std::size_t index) const
{
    return make_router_id(
        first_router_address + static_cast<std::uint32_t>(index), control_port);
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
    return sent_traffic_;
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
    return wall_clock_start_ms +
           static_cast<std::uint64_t>(now().time_since_epoch() / 1ms);
}

void world::claim(std::size_t router, const ledger::idempotency_key& key,
                  duration max_wait, claim_callback done)
{
    auto& state = routers_.at(router);
    if (!state.node)
        return;
    deliver(router, state.epoch,
            [this, router, key, max_wait, done = std::move(done)]
            {
                auto& current_state = routers_[router];
                const auto ticket = current_state.node->begin_claim(
                    now(), key, now() + max_wait);
                current_state.open_claims[ticket] = done;
            });
}

void world::run_on_router(std::size_t index, event_queue::action work)
{
    deliver(index, routers_.at(index).epoch, std::move(work));
}

bool world::is_router_up(std::size_t index) const
{
    return routers_.at(index).node != nullptr;
}

std::uint64_t world::load_report_reads() const
{
    return load_report_reads_;
}

void world::apply_effects(std::size_t index)
{
    auto& state = routers_.at(index);
    if (!state.node)
        return;
    for (const auto& effect : state.node->take_effects())
        std::visit([&](const auto& content) { apply(index, content); }, effect);
}

void world::make_preset()
{
    using nlohmann::json;
    json centres = json::array();
    for (std::size_t index = 0; index < options_.data_centres; ++index)
        centres.push_back(
            {{"name", data_centre_name(index)}, {"region", "region"}});
    json customers = json::array();
    constexpr int large_customer_weight = 4;
    for (std::size_t index = 0; index < options_.customers; ++index)
        customers.push_back(
            {{"name", "c" + std::to_string(index)},
             {"weight",
              index < options_.large_customers ? large_customer_weight : 1}});
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
                       {"non_repeatable",
                        json::array({{{"method", "POST"}, {"path", "/book"}}})},
                       {"upstreams", upstreams}};
    preset_text_ = json{{"format", 1},
                        {"name", "driver"},
                        {"data_centres", centres},
                        {"customers", customers},
                        {"services", json::array({service})}}
                       .dump();
    activate_preset({});
}

void world::schedule_tick(std::size_t index, std::uint64_t epoch)
{
    if (routers_[index].epoch != epoch)
        return;
    if (!routers_[index].paused)
        deliver(index, epoch,
                [this, index]
                { routers_[index].node->tick(now(), wall_clock_ms()); });
    events_.schedule_after(tick_period, [this, index, epoch]
                           { schedule_tick(index, epoch); });
}

void world::deliver(std::size_t index, std::uint64_t epoch,
                    event_queue::action work)
{
    auto& state = routers_[index];
    if (state.epoch != epoch || !state.node)
        return;
    if (state.paused)
    {
        state.deferred_work.push_back(std::move(work));
        return;
    }
    work();
    apply_effects(index);
}

duration world::random_network_delay()
{
    std::uniform_int_distribution<duration::rep> jitter(
        0, options_.network_delay.count() / 5);
    return options_.network_delay + duration{jitter(random_)};
}

void world::apply(std::size_t index, const fleet::send_message& effect)
{
    const auto kind = effect.content.index();
    ++sent_traffic_.datagrams.at(kind);
    if (options_.count_bytes)
        sent_traffic_.bytes.at(kind) +=
            net::encode_datagram(keys_, router_id_at(index), effect.content)
                .size() +
            net::datagram_header_bytes;
    const auto target = router_index_.find(effect.to);
    if (target == router_index_.end())
        return;
    const auto to = target->second;
    std::uniform_real_distribution<double> chance(0, 1);
    const bool lost = chance(random_) < options_.loss_probability;
    if (lost || (is_partitioned_ && is_partitioned_(index, to)))
        return;
    const int copies = chance(random_) < options_.duplicate_probability ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy)
    {
        auto delay = random_network_delay();
        if (chance(random_) < options_.late_probability)
            delay += from_seconds(chance(random_) * max_extra_delay_s);
        events_.schedule_after(
            delay,
            [this, to, from = router_id_at(index), content = effect.content]
            {
                deliver(to, routers_[to].epoch,
                        [this, to, from, content]
                        { routers_[to].node->receive(now(), from, content); });
            });
    }
}

void world::call_kv(std::size_t index, const event_queue::action& operation,
                    const event_queue::action& on_response,
                    const event_queue::action& on_failure)
{
    const auto epoch = routers_[index].epoch;
    const auto fail = [this, index, epoch, on_failure]
    {
        events_.schedule_after(kv_timeout, [this, index, epoch, on_failure]
                               { deliver(index, epoch, on_failure); });
    };
    if (kv_.outage)
    {
        fail();
        return;
    }
    events_.schedule_after(
        kv_.delay / 2,
        [this, index, epoch, operation, on_response, fail,
         sent = routers_[index].kv_revisions.current()]
        {
            operation();
            std::uniform_real_distribution<double> chance(0, 1);
            if (kv_.outage || chance(random_) < kv_.response_loss_probability)
            {
                fail();
                return;
            }
            const auto respond =
                [this, index, on_response, sent, revision = kv_.revision]
            {
                auto& state = routers_[index];
                if (state.kv_revisions.record(now(), sent, revision))
                    state.node->on_kv_restored(now(), sent.known_at);
                on_response();
            };
            events_.schedule_after(kv_.delay / 2, [this, index, epoch, respond]
                                   { deliver(index, epoch, respond); });
        });
}

void world::apply(std::size_t index, const fleet::read_preset& /*effect*/)
{
    const auto result = std::make_shared<fake_kv>();
    call_kv(
        index,
        [this, result]
        {
            ++kv_.reads;
            result->preset_envelope = kv_.preset_envelope;
            result->revision = kv_.revision;
        },
        [this, index, result]
        {
            routers_[index].read_revision = result->revision;
            routers_[index].node->on_preset_read(
                now(), {true, result->preset_envelope});
        },
        [this, index] { routers_[index].node->on_preset_read(now(), {}); });
}

void world::apply(std::size_t index, const fleet::watch_preset& /*effect*/)
{
    ++kv_.reads;
    auto& state = routers_[index];
    state.watches_preset = true;
    ++state.watch_number;
    if (kv_.outage)
        end_watch(index, kv_timeout, {});
    else if (kv_.preset_revision > state.read_revision)
        end_watch(index, kv_.delay, {true, kv_.preset_envelope});
}

void world::apply(std::size_t index, const fleet::replace_preset& effect)
{
    call_kv(
        index,
        [this, replacement = effect.replacement]
        {
            ++kv_.writes;
            if (kv_.preset_envelope == replacement.stored.value_or(""))
                store_preset(replacement.envelope);
        },
        [this, index]
        { routers_[index].node->on_preset_replaced(now(), true); },
        [this, index]
        { routers_[index].node->on_preset_replaced(now(), false); });
}

void world::notify_watchers()
{
    for (std::size_t index = 0; index < routers_.size(); ++index)
    {
        if (!kv_.outage && kv_.preset_revision > routers_[index].read_revision)
            end_watch(index, kv_.delay, {true, kv_.preset_envelope});
    }
}

void world::end_watch(std::size_t index, duration delay,
                      const fleet::node::preset_response& response)
{
    const auto& state = routers_[index];
    if (!state.watches_preset)
        return;
    events_.schedule_after(
        delay,
        [this, index, epoch = state.epoch, number = state.watch_number,
         response]
        {
            auto& watcher = routers_[index];
            if (watcher.watch_number != number || !watcher.watches_preset)
                return;
            watcher.watches_preset = false;
            deliver(index, epoch,
                    [this, index, response]
                    { routers_[index].node->on_watch_ended(now(), response); });
        });
}

void world::apply(std::size_t index, const fleet::pull_preset& effect)
{
    const auto peer = router_index_.at(effect.peer);
    const bool reachable = routers_[peer].node && !routers_[peer].paused &&
                           !(is_partitioned_ && (is_partitioned_(index, peer) ||
                                                 is_partitioned_(peer, index)));
    std::optional<std::string> envelope;
    if (reachable && routers_[peer].node->preset())
        envelope = config::to_envelope(*routers_[peer].node->preset());
    const duration delay =
        reachable ? 4 * random_network_delay() : duration{kv_timeout};
    events_.schedule_after(
        delay,
        [this, index, epoch = routers_[index].epoch, envelope]
        {
            deliver(index, epoch,
                    [this, index, envelope] {
                        routers_[index].node->on_preset_pulled(now(), envelope);
                    });
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
        engine.up ? 2 * random_network_delay() : duration{load_timeout};
    events_.schedule_after(delay,
                           [this, index, epoch = routers_[index].epoch,
                            upstream = effect.upstream, report]
                           {
                               deliver(index, epoch,
                                       [this, index, upstream, report] {
                                           routers_[index].node->on_load_read(
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
    routers_[index].node->on_host_list_read(hosts, {});
}

void world::apply(std::size_t index, const fleet::check_store& effect)
{
    call_kv(
        index, [this] { ++kv_.reads; },
        [this, index, sent_at = effect.sent_at]
        { routers_[index].node->on_store_checked(now(), sent_at); },
        [] {});
}

void world::apply(std::size_t index, const ledger::read_entries& effect)
{
    const auto result = std::make_shared<std::vector<ledger::log_entry>>();
    call_kv(
        index,
        [this, effect, result]
        {
            ++kv_.reads;
            const auto& log = kv_.shard_logs[effect.shard];
            for (auto entry = log.lower_bound(effect.first.value_or(0));
                 entry != log.end() && result->size() < effect.limit; ++entry)
                result->push_back({entry->first, entry->second});
        },
        [this, index, shard = effect.shard, result]
        { routers_[index].node->on_entries_read(now(), shard, *result); },
        [this, index, shard = effect.shard]
        { routers_[index].node->on_entries_read(now(), shard, std::nullopt); });
}

void world::apply(std::size_t index, const ledger::create_entry& effect)
{
    const auto created = std::make_shared<bool>(false);
    call_kv(
        index,
        [this, effect, created]
        {
            ++kv_.writes;
            auto& log = kv_.shard_logs[effect.shard];
            const auto previous = log.find(effect.number - 1);
            const bool follows =
                effect.number == 1 ? !kv_.started_shards.contains(effect.shard)
                                   : previous != log.end() &&
                                         previous->second == effect.predecessor;
            if (!follows || log.contains(effect.number))
                return;
            log[effect.number] = effect.bytes;
            ++kv_.revision;
            kv_.started_shards.insert(effect.shard);
            kv_.bytes_written += effect.bytes.size();
            *created = true;
        },
        [this, index, shard = effect.shard, created]
        { routers_[index].node->on_entry_created(now(), shard, *created); },
        [this, index, shard = effect.shard] {
            routers_[index].node->on_entry_created(now(), shard, std::nullopt);
        });
}

void world::apply(std::size_t index, const ledger::delete_entries& effect)
{
    call_kv(
        index,
        [this, effect]
        {
            ++kv_.writes;
            auto& log = kv_.shard_logs[effect.shard];
            log.erase(log.lower_bound(effect.first),
                      log.lower_bound(effect.end));
        },
        [this, index, effect]
        { routers_[index].node->on_entries_deleted(effect.shard, effect.end); },
        [] {});
}

void world::apply(std::size_t index, const fleet::route_decided& effect)
{
    auto& state = routers_[index];
    auto found = state.waiting_requests.extract(effect.decision.ticket);
    if (!found)
        return;
    if (effect.decision.result != routing::permit_result::granted)
    {
        found.mapped().done({.result = effect.decision.result,
                             .latency = now() - found.mapped().sent_at});
        return;
    }
    run_on_engine(found.mapped(), engine_index_.at(effect.decision.upstream),
                  effect.decision.candidate_index);
}

void world::apply(std::size_t index, const fleet::claim_decided& effect)
{
    auto found = routers_[index].open_claims.extract(effect.decision.ticket);
    if (found && found.mapped())
        found.mapped()(effect.decision);
}

void world::apply(std::size_t /*index*/,
                  const fleet::preset_adopted& /*effect*/)
{
}

void world::run_on_engine(const open_request& request, std::size_t engine,
                          std::uint32_t candidate_index)
{
    auto& target = engines_[engine];
    const auto end_route = [this](const open_request& ended_request,
                                  routing::outcome outcome,
                                  std::uint16_t time_to_first_token_ms)
    {
        deliver(ended_request.router, ended_request.epoch,
                [this, ended_request, outcome, time_to_first_token_ms]
                {
                    routers_[ended_request.router].node->end_route(
                        now(), ended_request.ticket, outcome,
                        time_to_first_token_ms);
                });
    };
    if (!target.up)
    {
        end_route(request, routing::outcome::connect_failed, 0);
        request.done({.result = routing::permit_result::no_upstream,
                      .latency = now() - request.sent_at});
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
    const auto time_to_first_token =
        from_seconds(to_seconds(hit ? cached_time_to_first_token
                                    : uncached_time_to_first_token) *
                     slowdown);
    const auto latency = now() - request.sent_at + time_to_first_token;
    const auto run = std::make_shared<engine_run>(
        engine_run{engine, target.incarnation, false});
    routers_[request.router].engine_runs.push_back(run);
    events_.schedule_after(
        time_to_first_token,
        [this, request]
        {
            deliver(request.router, request.epoch,
                    [this, request]
                    {
                        routers_[request.router].node->record_first_token(
                            now(), request.ticket, {});
                    });
        });
    events_.schedule_after(
        time_to_first_token + request.request.service_time,
        [this, request, run, end_route, time_to_first_token, latency, hit,
         candidate_index]
        {
            const bool completed =
                engines_[run->engine].incarnation == run->incarnation &&
                routers_[request.router].epoch == request.epoch;
            end_run(*run);
            routers_[request.router].engine_runs.remove(run);
            end_route(request,
                      completed ? routing::outcome::completed
                                : routing::outcome::broken,
                      static_cast<std::uint16_t>(time_to_first_token / 1ms));
            request.done({.result = routing::permit_result::granted,
                          .latency = latency,
                          .candidate_index = candidate_index,
                          .cache_hit = hit,
                          .completed = completed});
        });
}

void world::end_run(engine_run& run)
{
    if (std::exchange(run.ended, true))
        return;
    auto& engine = engines_[run.engine];
    if (engine.incarnation == run.incarnation)
        --engine.running_requests;
}

void world::record_reports_periodically()
{
    for (auto& engine : engines_)
        if (engine.up)
            record_report(engine);
    events_.schedule_after(report_period,
                           [this] { record_reports_periodically(); });
}

void world::record_report(fake_engine& engine)
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
    record_report(engine);
    return engine.recent_reports.front().second;
}

} // namespace baobabloft::driver

// Deterministic simulation of a fleet of routers in virtual time: an event
// queue, and fakes behind the interfaces of fleet::node (the datagram network
// with delay and loss, the KV service, engines). Runs with the same seed and
// options give the same results.
#pragma once

#include "baobabloft/config/preset_parser.hpp"
#include "baobabloft/fleet/node.hpp"
#include "baobabloft/net/codec.hpp"
#include "baobabloft/net/revision_monitor.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace baobabloft::driver
{

/// Runs actions in order of their virtual time; actions of the same time run in
/// the order in which they were scheduled.
class event_queue
{
public:
    using action = std::function<void()>;

    [[nodiscard]] time_point now() const
    {
        return now_;
    }

    /// Schedules `work` for `time`, or for now if `time` has passed.
    void schedule_at(time_point time, action work);
    void schedule_after(duration delay, action work);
    /// Runs all actions that are due up to and including `end`, then sets the
    /// clock to `end`.
    void run_until(time_point end);

private:
    struct scheduled_event
    {
        time_point time;
        std::uint64_t sequence = 0;
        action work;
    };

    /// Orders the priority queue so that the earliest event is on top.
    struct runs_later
    {
        bool operator()(const scheduled_event& left,
                        const scheduled_event& right) const
        {
            return std::tie(left.time, left.sequence) >
                   std::tie(right.time, right.sequence);
        }
    };

    std::priority_queue<scheduled_event, std::vector<scheduled_event>,
                        runs_later>
        events_;
    time_point now_{duration{1'000'000}};
    std::uint64_t last_sequence_ = 0;
};

/// A simulated engine: counts its requests and caches the prefixes of chats.
struct fake_engine
{
    std::string name;
    upstream_id id{};
    std::uint32_t running_requests = 0;
    /// Maximum of `running_requests` so far.
    std::uint32_t peak_requests = 0;
    /// Maximum of `running_requests` at the start of a request while cold.
    std::uint32_t cold_peak_requests = 0;
    /// Incremented when the engine stops.
    std::uint64_t incarnation = 1;
    std::uint64_t started_requests = 0;
    std::uint64_t cache_hits = 0;
    time_point last_request_start;
    /// End of the cold start.
    time_point warm_at;
    bool up = true;
    bool leaving = false;
    /// Factor on the time to first token, 1 for a healthy engine.
    double first_token_slowdown = 1;
    /// Cached chats, least recently used first.
    std::list<chat_id> lru_order;
    std::unordered_map<chat_id, std::list<chat_id>::iterator> lru_positions;
    /// Load reports with the time at which they were recorded, oldest first.
    /// A read returns the newest one that is at least the report lag old, or
    /// the oldest one if none is.
    std::vector<std::pair<time_point, routing::load_report>> recent_reports;

    [[nodiscard]] bool is_cold(time_point now) const
    {
        return now < warm_at;
    }

    /// Marks `chat` as most recently used and evicts the least recently used
    /// chat if more than `limit` are cached. Returns true if `chat` was cached.
    bool touch(chat_id chat, std::size_t limit);
};

/// A simulated KV service with faults.
struct fake_kv
{
    std::string preset_envelope;
    /// Revision of the store, and of the last change of the preset.
    std::int64_t revision = 0;
    std::int64_t preset_revision = 0;
    /// Ledger entries by shard and entry number.
    std::map<std::uint32_t, std::map<ledger::entry_number, std::string>>
        shard_logs;
    /// Shards whose first entry was created, even if it has been deleted since.
    std::unordered_set<std::uint32_t> started_shards;
    bool outage = false;
    /// Round-trip time of a call, and time until a preset change reaches a
    /// watching router.
    duration delay = 3ms;
    /// Probability that a call takes effect but its response is lost.
    double response_loss_probability = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t bytes_written = 0;
};

/// Size of the simulated fleet, its settings and its network faults.
struct world_options
{
    std::uint64_t seed = 1;
    std::size_t routers = 9;
    std::size_t engines = 9;
    std::size_t data_centres = 3;
    /// Minimum one-way delay between hosts; jitter adds up to a fifth of it.
    duration network_delay = 500us;
    /// Probabilities that a datagram is lost, arrives twice or is up to 3 s
    /// late.
    double loss_probability = 0;
    double duplicate_probability = 0;
    double late_probability = 0;
    /// Age of the load reports that engines serve.
    duration report_lag = 1s;
    double load_multiple = 1.25;
    std::uint32_t load_floor = 4;
    /// Capacity of an engine in requests, as set in the preset.
    std::uint32_t capacity = 64;
    /// Limit on the requests of a cold engine, as set in the preset.
    std::uint32_t cold_start_limit = 2;
    duration ramp_duration = 30s;
    /// Number of chats whose prefix an engine caches.
    std::size_t chat_cache_capacity = 2000;
    std::size_t customers = 10;
    /// Number of customers that have weight 4; the others have weight 1.
    std::size_t large_customers = 2;
    double ledger_writes_per_second = 200;
    std::size_t ledger_records_per_entry = 2000;
    /// Encodes every sent datagram to count its bytes.
    bool count_bytes = false;
};

/// A request that a caller sends to one router.
struct world_request
{
    std::size_t router = 0;
    chat_id chat{};
    std::uint32_t customer = 0;
    routing::urgency priority = routing::urgency::interactive;
    duration max_queue_wait = 5s;
    /// Time that the request runs on an engine after its first token.
    duration service_time = 12s;
};

/// Result of a request.
struct world_response
{
    routing::permit_result result = routing::permit_result::no_upstream;
    /// Time from the request to its first token or to its refusal.
    duration latency{};
    /// Index of the chosen upstream in the router's list of candidates.
    std::uint32_t candidate_index = 0;
    bool cache_hit = false;
    /// False if the engine or the router stopped during the request.
    bool completed = true;
};

/// Number of datagrams and their bytes by message kind, indexed like
/// fleet::message_names.
struct traffic
{
    std::array<std::uint64_t, fleet::message_names.size()> datagrams{};
    std::array<std::uint64_t, fleet::message_names.size()> bytes{};
};

/// Simulates a fleet of routers, engines and the KV service in virtual time.
class world
{
public:
    explicit world(const world_options& options);

    /// Starts all routers, then runs until all are ready and know each other,
    /// at most for 60 s, and for 5 s more.
    void start();

    void run_for(duration length);
    [[nodiscard]] time_point now() const;

    /// Sends a request; `done` runs when the request ends. If the router is not
    /// running, `done` runs at once; if the router ends while the request waits
    /// for an upstream, `done` never runs.
    using response_callback = std::function<void(const world_response&)>;
    void send_request(const world_request& request, response_callback done);

    /// Ends a router without notice to its peers.
    void kill_router(std::size_t index);
    /// Ends a router without notice and starts a new one at its address.
    void restart_router(std::size_t index);
    /// Pauses a router; the events that reach it meanwhile are handled when the
    /// pause ends.
    void pause_router(std::size_t index, duration length);
    /// Drops datagrams and fails preset pulls between routers for which
    /// `is_partitioned` returns true. An empty function ends the partition.
    void set_partition(
        std::function<bool(std::size_t from, std::size_t to)> is_partitioned);

    /// Stops an engine: its requests end incomplete and its cache is lost.
    void stop_engine(std::size_t index);
    /// Starts a stopped engine with a cold start.
    void start_engine(std::size_t index, duration cold_start_duration);

    /// Applies `change` to the JSON text of the preset and stores the result in
    /// the KV service as the generation that follows the stored one. An empty
    /// `change` keeps the text.
    void activate_preset(const std::function<void(std::string& text)>& change);
    void set_data_centre(std::size_t index, bool in_service);

    /// Replaces the contents of the KV service with `copy`, which ends all
    /// watches. Its faults stay as they are.
    void restore_kv(const fake_kv& copy);

    /// Returns the node of a router, or null if the router is not running.
    [[nodiscard]] fleet::node* node(std::size_t index);
    [[nodiscard]] router_id router_id_at(std::size_t index) const;
    [[nodiscard]] std::vector<fake_engine>& engines();
    [[nodiscard]] fake_kv& kv();
    [[nodiscard]] event_queue& events();
    [[nodiscard]] std::mt19937_64& random();
    /// Returns the datagrams sent so far; bytes are 0 unless
    /// world_options::count_bytes is set.
    [[nodiscard]] const traffic& sent_traffic() const;
    [[nodiscard]] const world_options& options() const;
    [[nodiscard]] std::string data_centre_name(std::size_t index) const;

    /// Returns the wall-clock time that routers see, in ms since 1970.
    [[nodiscard]] std::uint64_t wall_clock_ms() const;

    using claim_callback = std::function<void(const ledger::claim_decision&)>;
    /// Claims an idempotency key at a router, with a deadline `max_wait` after
    /// the claim reaches the router. `done` runs when the claim is decided, and
    /// never if the router ends before.
    void claim(std::size_t router, const ledger::idempotency_key& key,
               duration max_wait, claim_callback done);

    /// Runs `work` as an event of a router: at once, at the end of the router's
    /// pause if it is paused, or never if it is not running or ends before.
    void run_on_router(std::size_t index, event_queue::action work);

    [[nodiscard]] bool is_router_up(std::size_t index) const;

    /// Returns how often routers have read a load report so far.
    [[nodiscard]] std::uint64_t load_report_reads() const;

private:
    /// A request that a router handles.
    struct open_request
    {
        std::size_t router = 0;
        std::uint64_t epoch = 0;
        routing::permit_ticket ticket = 0;
        world_request request;
        response_callback done;
        time_point sent_at;
    };

    /// The part of a request that runs on an engine.
    struct engine_run
    {
        std::size_t engine = 0;
        std::uint64_t incarnation = 0;
        bool ended = false;
    };

    struct router_state
    {
        std::unique_ptr<fleet::node> node;
        std::list<std::shared_ptr<engine_run>> engine_runs;
        /// Incremented when the router is killed or restarted. Events that were
        /// scheduled in an earlier epoch are dropped.
        std::uint64_t epoch = 0;
        bool paused = false;
        std::vector<event_queue::action> deferred_work;
        std::unordered_map<routing::permit_ticket, open_request>
            waiting_requests;
        std::unordered_map<ledger::claim_ticket, claim_callback> open_claims;
        bool watches_preset = false;
        /// Revision of the last preset read, from which a watch continues.
        std::int64_t read_revision = 0;
        /// Incremented with each watch.
        std::uint64_t watch_number = 0;
        net::revision_monitor kv_revisions;
    };

    void make_preset();
    /// Carries out the effects that calls to a router's node have queued.
    void apply_effects(std::size_t index);
    void schedule_tick(std::size_t index, std::uint64_t epoch);
    /// Runs `work` and its effects at a router: at once, or at the end of the
    /// router's pause. Drops `work` if the router's epoch is no longer `epoch`.
    void deliver(std::size_t index, std::uint64_t epoch,
                 event_queue::action work);
    void apply(std::size_t index, const fleet::send_message& effect);
    void apply(std::size_t index, const fleet::read_preset& effect);
    void apply(std::size_t index, const fleet::watch_preset& effect);
    void apply(std::size_t index, const fleet::replace_preset& effect);
    void apply(std::size_t index, const fleet::pull_preset& effect);
    void apply(std::size_t index, const fleet::read_load& effect);
    void apply(std::size_t index, const fleet::read_host_list& effect);
    void apply(std::size_t index, const fleet::check_store& effect);
    void apply(std::size_t index, const ledger::read_entries& effect);
    void apply(std::size_t index, const ledger::create_entry& effect);
    void apply(std::size_t index, const ledger::delete_entries& effect);
    void apply(std::size_t index, const fleet::route_decided& effect);
    void apply(std::size_t index, const fleet::claim_decided& effect);
    void apply(std::size_t index, const fleet::preset_adopted& effect);
    /// Stores `envelope` in the KV service and notifies the watchers.
    void store_preset(const std::string& envelope);
    /// Calls the KV service: runs `operation` at half of its delay, then
    /// `on_response` at the router after the other half. Runs `on_failure`
    /// after a time-out if the service is unavailable or the response is lost.
    void call_kv(std::size_t index, const event_queue::action& operation,
                 const event_queue::action& on_response,
                 const event_queue::action& on_failure);
    void run_on_engine(const open_request& request, std::size_t engine,
                       std::uint32_t candidate_index);
    void end_run(engine_run& run);
    void notify_watchers();
    /// Ends the watch of a router after `delay` with `response`.
    void end_watch(std::size_t index, duration delay,
                   const fleet::node::preset_response& response);
    /// Records a load report of every running engine and reschedules itself, so
    /// that lagged reports do not depend on when routers read.
    void record_reports_periodically();
    /// Records a load report and removes those that are too old to be served.
    void record_report(fake_engine& engine);
    [[nodiscard]] routing::load_report lagged_report(fake_engine& engine);
    /// Returns the network delay with random jitter.
    [[nodiscard]] duration random_network_delay();

    world_options options_;
    event_queue events_;
    std::mt19937_64 random_;
    std::vector<router_state> routers_;
    std::vector<fake_engine> engines_;
    std::unordered_map<upstream_id, std::size_t> engine_index_;
    std::unordered_map<router_id, std::size_t> router_index_;
    fake_kv kv_;
    std::function<bool(std::size_t, std::size_t)> is_partitioned_;
    net::datagram_keys keys_;
    traffic sent_traffic_;
    std::string preset_text_;
    std::uint64_t last_change_ = 0;
    std::uint64_t load_report_reads_ = 0;
};

} // namespace baobabloft::driver

// Virtual time for whole nodes: an event queue and small fakes at the node's
// interfaces (datagrams with delay and loss, the KV service, engines). Every
// run with one seed is the same.
#pragma once

#include "baobabloft/config/preset_parser.hpp"
#include "baobabloft/fleet/node.hpp"
#include "baobabloft/net/codec.hpp"

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

/// Runs events in order of time.
class event_queue
{
public:
    using action = std::function<void()>;

    [[nodiscard]] time_point now() const
    {
        return now_;
    }

    void schedule_at(time_point when, action work);
    void schedule_after(duration delay, action work);
    void run_until(time_point end);

private:
    struct item
    {
        time_point when;
        std::uint64_t order = 0;
        action work;
    };

    struct later
    {
        bool operator()(const item& left, const item& right) const
        {
            return std::tie(left.when, left.order) >
                   std::tie(right.when, right.order);
        }
    };

    std::priority_queue<item, std::vector<item>, later> items_;
    time_point now_{duration{1'000'000}};
    std::uint64_t order_ = 0;
};

/// A model engine: counts what runs on it and remembers chats.
struct fake_engine
{
    std::string name;
    upstream_id id{};
    std::uint32_t running_requests = 0;
    std::uint32_t peak_requests = 0;
    std::uint32_t cold_peak_requests = 0;
    std::uint64_t incarnation = 1;
    std::uint64_t started_requests = 0;
    std::uint64_t cache_hits = 0;
    time_point last_request_start;
    time_point warm_at;
    bool up = true;
    bool leaving = false;
    /// Speed of the first token against a healthy engine.
    double first_token_slowdown = 1;
    std::list<chat_id> lru_order;
    std::unordered_map<chat_id, std::list<chat_id>::iterator> lru_positions;
    /// Reports by time, for the lag.
    std::vector<std::pair<time_point, routing::load_report>> recent_reports;

    [[nodiscard]] bool is_cold(time_point now) const
    {
        return now < warm_at;
    }
    bool touch(chat_id chat, std::size_t limit);
};

/// The platform's KV service with faults.
struct fake_kv
{
    std::string preset_envelope;
    std::map<std::uint32_t, std::map<ledger::entry_number, std::string>>
        shard_logs;
    std::unordered_set<std::uint32_t> started_shards;
    bool outage = false;
    duration delay = 3ms;
    double response_loss_probability = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t bytes_written = 0;
};

/// Shape of a world.
struct world_options
{
    std::uint64_t seed = 1;
    std::size_t routers = 9;
    std::size_t engines = 9;
    std::size_t data_centres = 3;
    /// One way between hosts.
    duration network_delay = 500us;
    double loss_probability = 0;
    /// Share of datagrams that arrive twice, and that arrive late.
    double duplicate_probability = 0;
    double late_probability = 0;
    duration report_lag = 1s;
    double load_multiple = 1.25;
    std::uint32_t load_floor = 4;
    std::uint32_t capacity = 64;
    std::uint32_t cold_start_limit = 2;
    duration ramp_duration = 30s;
    std::size_t chat_cache_capacity = 2000;
    std::size_t customers = 10;
    /// Customers of weight 4 among them.
    std::size_t large_customers = 2;
    double ledger_writes_per_second = 200;
    std::size_t ledger_records_per_entry = 2000;
    /// Counts bytes by encoding every datagram.
    bool count_bytes = false;
};

/// A request to the fleet.
struct world_request
{
    std::size_t router = 0;
    chat_id chat{};
    std::uint32_t customer = 0;
    routing::urgency priority = routing::urgency::interactive;
    duration max_queue_wait = 5s;
    /// Time on an engine after its first token.
    duration service_time = 12s;
};

/// What became of a request.
struct world_response
{
    routing::permit_result result = routing::permit_result::no_upstream;
    duration latency{};
    std::uint32_t candidate_index = 0;
    bool cache_hit = false;
    /// False if the engine stopped while it ran the request.
    bool completed = true;
};

/// Bytes and datagrams by message kind.
struct traffic
{
    std::array<std::uint64_t, fleet::message_names.size()> datagrams{};
    std::array<std::uint64_t, fleet::message_names.size()> bytes{};
};

/// A fleet in virtual time.
class world
{
public:
    explicit world(const world_options& options);

    /// Starts all routers and waits until they are ready.
    void start();

    void run_for(duration time);
    [[nodiscard]] time_point now() const;

    /// Sends a request; `done` runs when it ends.
    using response_callback = std::function<void(const world_response&)>;
    void send_request(const world_request& request, response_callback done);

    /// Ends a router without notice, and starts a fresh one in its place.
    void kill_router(std::size_t index);
    void restart_router(std::size_t index);
    /// Stops a router for a time; what arrives meanwhile is handled after.
    void pause_router(std::size_t index, duration time);
    /// Cuts datagrams between routers for which `cut` is true.
    void
    set_partition(std::function<bool(std::size_t from, std::size_t to)> cut);

    /// Stops an engine with all it runs; starts it cold.
    void stop_engine(std::size_t index);
    void start_engine(std::size_t index, duration cold_time);

    /// Puts a changed preset into force at the KV service.
    void activate_preset(const std::function<void(std::string& text)>& change);
    void set_data_centre(std::size_t index, bool in_service);

    [[nodiscard]] fleet::node* node(std::size_t index);
    [[nodiscard]] router_id router_id_at(std::size_t index) const;
    [[nodiscard]] std::vector<fake_engine>& engines();
    [[nodiscard]] fake_kv& kv();
    [[nodiscard]] event_queue& events();
    [[nodiscard]] std::mt19937_64& random();
    [[nodiscard]] const traffic& sent_traffic() const;
    [[nodiscard]] const world_options& options() const;
    [[nodiscard]] std::string data_centre_name(std::size_t index) const;

    /// Returns the present since the epoch as routers are told it, ms.
    [[nodiscard]] std::uint64_t wall_clock_ms() const;

    /// Claims by ledger ticket, for measurements of bookings.
    using claim_callback = std::function<void(const ledger::claim_decision&)>;
    void claim(std::size_t router, const ledger::idempotency_key& key,
               duration patience, claim_callback done);

    /// Runs `work` on a router as it is now: after its pause if it is paused,
    /// not at all if it ends before.
    void run_on_router(std::size_t index, event_queue::action work);

    [[nodiscard]] bool is_router_up(std::size_t index) const;

    /// Returns the number of load reports read so far.
    [[nodiscard]] std::uint64_t load_report_reads() const;

private:
    struct running_request
    {
        std::size_t router = 0;
        std::uint64_t life = 0;
        routing::permit_ticket ticket = 0;
        world_request request;
        response_callback done;
        time_point asked;
    };

    /// A request on an engine.
    struct run
    {
        std::size_t engine = 0;
        std::uint64_t incarnation = 0;
        bool over = false;
    };

    struct host
    {
        std::unique_ptr<fleet::node> node;
        std::list<std::shared_ptr<run>> runs;
        /// Grows with each restart; callbacks of former lives are dropped.
        std::uint64_t life = 0;
        bool paused = false;
        std::vector<event_queue::action> held_back;
        std::unordered_map<routing::permit_ticket, running_request> waiting;
        std::unordered_map<ledger::claim_ticket, claim_callback> claims;
        bool watching = false;
        std::uint64_t watched_generation = 0;
    };

    void make_preset();
    /// Applies what a call to a router's node caused.
    void settle(std::size_t index);
    void schedule_tick(std::size_t index, std::uint64_t life);
    /// Runs `work` for a router in its present life, after its pause if any.
    void deliver(std::size_t index, std::uint64_t life,
                 event_queue::action work);
    void apply(std::size_t index, const fleet::send_message& effect);
    void apply(std::size_t index, const fleet::read_preset& effect);
    void apply(std::size_t index, const fleet::watch_preset& effect);
    void apply(std::size_t index, const fleet::pull_preset& effect);
    void apply(std::size_t index, const fleet::read_load& effect);
    void apply(std::size_t index, const fleet::read_host_list& effect);
    void apply(std::size_t index, const ledger::read_entries& effect);
    void apply(std::size_t index, const ledger::create_entry& effect);
    void apply(std::size_t index, const ledger::delete_entries& effect);
    void apply(std::size_t index, const fleet::route_decided& effect);
    void apply(std::size_t index, const fleet::claim_decided& effect);
    void apply(std::size_t index, const fleet::preset_adopted& effect);
    /// Runs `answer` after the KV service's delay; `no_answer` if it is lost.
    void kv_call(std::size_t index, const event_queue::action& effect_at_kv,
                 const event_queue::action& answer,
                 const event_queue::action& no_answer);
    void run_on_engine(const running_request& request, std::size_t engine,
                       std::uint32_t candidate_index);
    void end_run(run& ended);
    void notify_watchers();
    /// Lets every engine note its state, whether or not anybody reads it.
    void make_reports();
    void add_report(fake_engine& engine);
    [[nodiscard]] routing::load_report lagged_report(fake_engine& engine);
    [[nodiscard]] duration some_delay();

    world_options options_;
    event_queue events_;
    std::mt19937_64 random_;
    std::vector<host> hosts_;
    std::vector<fake_engine> engines_;
    std::unordered_map<upstream_id, std::size_t> engine_index_;
    std::unordered_map<router_id, std::size_t> router_index_;
    fake_kv kv_;
    std::function<bool(std::size_t, std::size_t)> cut_;
    net::datagram_keys keys_;
    traffic sent_;
    std::string preset_text_;
    std::uint64_t generation_ = 0;
    std::uint64_t load_report_reads_ = 0;
};

} // namespace baobabloft::driver

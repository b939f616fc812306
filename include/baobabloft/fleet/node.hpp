// One router's share of the fleet's decisions, put together from the decision
// packages. No I/O, no clock, no thread: events come in as calls, effects go
// out by take_effects(). Real sockets and virtual time drive the same code.
#pragma once

#include "baobabloft/config/preset_follower.hpp"
#include "baobabloft/fleet/message.hpp"
#include "baobabloft/ledger/appender.hpp"
#include "baobabloft/ledger/claim_client.hpp"
#include "baobabloft/membership/swim.hpp"
#include "baobabloft/routing/affinity.hpp"
#include "baobabloft/routing/crash_tracker.hpp"
#include "baobabloft/routing/permit_client.hpp"
#include "baobabloft/routing/permit_owner.hpp"
#include "baobabloft/routing/retry_budget.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace baobabloft::fleet
{

/// Send `content` to another router.
struct send_message
{
    router_id to{};
    message content;
};

/// Read the preset in force from the KV service; answer by on_preset_read().
struct read_preset
{
};

/// Wait for a change of the preset at the KV service, then on_preset_read().
struct watch_preset
{
};

/// Fetch the preset from a peer; answer by on_preset_pulled().
struct pull_preset
{
    router_id peer{};
    std::uint16_t http_port = 0;
};

/// Read an upstream's load report; answer by on_load_read().
struct read_load
{
    upstream_id upstream{};
    std::string address;
};

/// Read the platform's host list; answer by on_host_list_read().
struct read_host_list
{
};

/// A request got its upstream, or none.
struct route_decided
{
    routing::permit_decision decision;
    /// The chosen upstream's name and address, if granted.
    std::string upstream_name;
    std::string address;
};

/// A claim was settled.
struct claim_decided
{
    ledger::claim_decision decision;
};

/// The preset in force here has changed.
struct preset_adopted
{
    config::preset_snapshot preset;
};

using effect =
    std::variant<send_message, read_preset, watch_preset, pull_preset,
                 read_load, read_host_list, ledger::read_entries,
                 ledger::create_entry, ledger::delete_entries, route_decided,
                 claim_decided, preset_adopted>;

/// A request that needs an upstream.
struct route_requirements
{
    std::string service;
    chat_id chat{};
    customer_id customer{};
    routing::urgency priority = routing::urgency::interactive;
    bool suspect = false;
    time_point deadline;
    /// Upstreams that failed this request already.
    std::vector<upstream_id> excluded_upstreams;
};

/// Settings of a node.
struct node_options
{
    membership::member_record self;
    /// Name of the data centre this router stands in.
    std::string data_centre;
    std::vector<router_id> seed_routers;
    std::uint64_t seed = 1;
    std::uint32_t ledger_shards = 8;
    /// KV writes per second that the whole fleet's ledger may use.
    double ledger_writes_per_second = 200;
    std::chrono::milliseconds ledger_retention{600'000};
    std::size_t ledger_records_per_entry = 2000;
};

/// Whether a router takes new requests.
enum class readiness
{
    /// No preset yet.
    joining,
    ready,
    /// Hears neither the KV service nor any peer, so its preset may be old.
    isolated,
    leaving
};

inline constexpr std::array readiness_names{
    enum_name<readiness>{readiness::joining, "joining"},
    enum_name<readiness>{readiness::ready, "ready"},
    enum_name<readiness>{readiness::isolated, "isolated"},
    enum_name<readiness>{readiness::leaving, "leaving"},
};

/// The ledger's counters at this router, for metrics.
struct ledger_counts
{
    ledger::appender_counts total;
    std::size_t keys = 0;
    std::size_t waiting_records = 0;
};

/// One router's decisions.
class node
{
public:
    explicit node(const node_options& options);

    /// Advances every timer; call at least every 50 ms. `wall_ms` is the
    /// present since the epoch and decides nothing but the ledger's horizon.
    void tick(time_point now, std::uint64_t wall_ms);

    /// Handles a message from another router.
    void receive(time_point now, router_id from, const message& content);

    /// Takes in the KV service's answer to read_preset or watch_preset.
    struct preset_response
    {
        /// False if there was no answer.
        bool responded = false;
        std::optional<std::string> envelope;
    };
    void on_preset_read(time_point now, const preset_response& answer);

    /// Takes in the end of a watch; another one may follow.
    void on_watch_ended(time_point now, const preset_response& answer);

    /// Takes in a peer's envelope, or that it gave none.
    void on_preset_pulled(time_point now,
                          const std::optional<std::string>& envelope);

    /// Takes in a load report, or nothing if it could not be read.
    void on_load_read(time_point now, upstream_id upstream,
                      const std::optional<routing::load_report>& report);

    /// Takes in what the host list says of upstreams and of routers.
    void
    on_host_list_read(const std::vector<membership::upstream_record>& hosts,
                      const std::vector<router_id>& routers);

    /// Takes in answers of the KV service to the ledger's actions.
    void on_entries_read(
        time_point now, std::uint32_t shard,
        const std::optional<std::vector<ledger::log_entry>>& entries);
    void on_entry_created(time_point now, std::uint32_t shard,
                          std::optional<bool> created);
    void on_entries_deleted(std::uint32_t shard, ledger::entry_number end);

    /// Starts to look for an upstream; route_decided follows.
    routing::permit_ticket begin_route(time_point now,
                                       const route_requirements& requirements);

    /// Ends a route or withdraws the search for one.
    void end_route(time_point now, routing::permit_ticket ticket,
                   routing::outcome how, std::uint16_t first_token_ms);

    /// Notes the first token of a routed request.
    void record_first_token(routing::permit_ticket ticket, fingerprint request);

    /// Starts to claim a key; claim_decided follows.
    ledger::claim_ticket begin_claim(time_point now,
                                     const ledger::idempotency_key& key,
                                     time_point deadline);
    void release_claim(time_point now, ledger::claim_ticket ticket);
    void finish_claim(time_point now, ledger::claim_ticket ticket,
                      ledger::stored_response upstream_response);
    void abandon_claim(ledger::claim_ticket ticket);

    /// Records that `upstream` crashed before it answered `request`.
    void report_crash(time_point now, fingerprint request,
                      upstream_id upstream);

    /// Returns what is known of a request body.
    [[nodiscard]] routing::crash_state
    crash_state_of(time_point now, fingerprint request) const;

    /// Counts a first attempt, and asks for the budget of a retry.
    void record_first_attempt(time_point now, customer_id customer);
    bool try_spend_retry(time_point now, customer_id customer);

    /// Leaves the fleet; requests in progress go on.
    void leave(time_point now);

    /// Returns and clears what to do.
    std::vector<effect> take_effects();

    [[nodiscard]] readiness current_readiness(time_point now) const;
    [[nodiscard]] const config::preset_snapshot& preset() const;
    [[nodiscard]] const membership::swim& members() const;
    [[nodiscard]] const routing::permit_owner& owner() const;
    [[nodiscard]] const routing::permit_client& client() const;
    [[nodiscard]] const routing::crash_tracker& crashes() const;
    [[nodiscard]] ledger_counts ledger_totals() const;
    [[nodiscard]] std::optional<router_id> owner_of(upstream_id upstream) const;

private:
    struct load_poll
    {
        std::string address;
        time_point next;
        bool reading = false;
    };

    struct hosted_appender
    {
        ledger::appender log;
        time_point last_used;
    };

    template <typename Part>
    void handle_message(time_point now, router_id from, const Part& part);

    void adopted(time_point now);
    void refresh_view(time_point now);
    void refresh_owners();
    [[nodiscard]] load_poll keep_poll(const config::upstream& item) const;
    void follow_preset(time_point now);
    void follow_host_list(time_point now);
    void poll_loads(time_point now);
    void take_crashes(time_point now);
    /// Returns true if this router watches the KV service and the host list
    /// on behalf of its data centre.
    [[nodiscard]] bool is_designated();
    [[nodiscard]] std::vector<router_id>
    appenders_of(std::uint32_t shard) const;
    hosted_appender& appender_for(time_point now, std::uint32_t shard);
    void collect(time_point now);
    void collect_ledger();
    void send(router_id to, message content);

    node_options options_;
    membership::swim swim_;
    config::preset_follower follower_;
    routing::permit_owner owner_;
    routing::permit_client client_;
    routing::crash_tracker crashes_;
    routing::retry_budget retries_;
    ledger::claim_client claims_;
    std::map<std::uint32_t, hosted_appender> appenders_;
    std::unordered_map<upstream_id, router_id> owners_;
    std::unordered_map<upstream_id, const config::upstream*> upstreams_;
    std::unordered_map<upstream_id, load_poll> polls_;
    std::vector<effect> effects_;
    /// Messages to this router itself, handled after the present event.
    std::vector<message> own_messages_;
    std::uint64_t seen_view_ = 0;
    std::uint64_t wall_ms_ = 0;
    bool watching_ = false;
    time_point next_watch_;
    time_point next_host_list_;
    bool leaving_ = false;
    bool had_peers_ = false;
    std::uint64_t designated_view_ = 0;
    bool designated_ = false;
};

} // namespace baobabloft::fleet

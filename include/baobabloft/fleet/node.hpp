// The decision logic of one router: membership, presets, permits, retries and
// the ledger. A node performs no I/O, reads no clock and starts no thread.
// Events are passed in as calls and the resulting effects are returned by
// take_effects(), so that the same code runs on real sockets and in simulations
// with virtual time.
#pragma once

#include "baobabloft/config/preset_follower.hpp"
#include "baobabloft/fleet/message.hpp"
#include "baobabloft/ledger/appender.hpp"
#include "baobabloft/ledger/claim_client.hpp"
#include "baobabloft/membership/swim.hpp"
#include "baobabloft/routing/affinity.hpp"
#include "baobabloft/routing/crash_protection.hpp"
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

/// Effect: send `content` to another router.
struct send_message
{
    router_id to{};
    message content;
};

/// Effect: read the active preset from the KV service, then call
/// on_preset_read().
struct read_preset
{
};

/// Effect: wait until the preset in the KV service changes after the last
/// response to read_preset, then call on_watch_ended().
struct watch_preset
{
};

/// Effect: replace the preset in the KV service if it is still the one that
/// was read, then call on_preset_replaced().
struct replace_preset
{
    config::preset_replacement replacement;
};

/// Effect: fetch the preset from a peer over HTTP, then call
/// on_preset_pulled().
struct pull_preset
{
    router_id peer{};
    std::uint16_t http_port = 0;
};

/// Effect: read an upstream's load report, then call on_load_read().
struct read_load
{
    upstream_id upstream{};
    std::string address;
};

/// Effect: read the platform's host list, then call on_host_list_read().
struct read_host_list
{
};

/// Effect: make a small read in the KV service, then call on_store_checked().
struct check_store
{
    time_point sent_at;
};

/// Effect: report the end of a search for an upstream that begin_route()
/// started.
struct route_decided
{
    routing::permit_decision decision;
    /// Name and address of the chosen upstream; empty unless granted.
    std::string upstream_name;
    std::string address;
};

/// Effect: report the end of a claim that begin_claim() started.
struct claim_decided
{
    ledger::claim_decision decision;
};

/// Effect: report that this router has adopted another preset.
struct preset_adopted
{
    config::preset_snapshot preset;
};

using effect =
    std::variant<send_message, read_preset, watch_preset, replace_preset,
                 pull_preset, read_load, read_host_list, ledger::read_entries,
                 ledger::create_entry, ledger::delete_entries, check_store,
                 route_decided, claim_decided, preset_adopted>;

/// Requirements of a request for its route to an upstream.
struct route_requirements
{
    std::string service;
    chat_id chat{};
    customer_id customer{};
    routing::urgency priority = routing::urgency::interactive;
    /// True if the request body was running on an upstream that crashed; while
    /// such a request runs, no other suspect runs on the same upstream.
    bool suspect = false;
    /// The search for an upstream ends at this time.
    time_point deadline;
    /// Upstreams that have already failed this request.
    std::vector<upstream_id> excluded_upstreams;
};

/// Settings of a node.
struct node_options
{
    membership::member_record self;
    /// Name of the data centre that this router runs in.
    std::string data_centre;
    /// Routers from which the list of members is requested at start.
    std::vector<router_id> seed_routers;
    /// Seed of the random number generators.
    std::uint64_t seed = 1;
    std::uint32_t ledger_shards = 8;
    /// KV writes per second allowed for the ledger of the whole fleet.
    double ledger_writes_per_second = 200;
    /// Idempotency keys that are older than this are refused.
    std::chrono::milliseconds ledger_retention{600'000};
    std::size_t ledger_records_per_entry = 2000;
};

/// Whether a router accepts new requests.
enum class readiness
{
    /// Has no preset yet, or has not compared its first one with those of its
    /// peers.
    joining,
    ready,
    /// Has recently received nothing from the KV service or any peer, so its
    /// preset may be outdated.
    isolated,
    leaving
};

inline constexpr std::array readiness_names{
    enum_name<readiness>{readiness::joining, "joining"},
    enum_name<readiness>{readiness::ready, "ready"},
    enum_name<readiness>{readiness::isolated, "isolated"},
    enum_name<readiness>{readiness::leaving, "leaving"},
};

/// Totals over the appenders that run at this router, for metrics.
struct ledger_counts
{
    ledger::appender_counts total;
    std::size_t keys = 0;
    std::size_t waiting_records = 0;
};

/// The decision logic of one router.
class node
{
public:
    explicit node(const node_options& options);

    /// Advances all timers; must be called at least every 50 ms. `wall_ms` is
    /// the current time in milliseconds since the epoch. Only the ledger uses
    /// the wall clock: to raise the low-water mark and to refuse keys created
    /// too far in the future.
    void tick(time_point now, std::uint64_t wall_ms);

    /// Handles a message from another router.
    void receive(time_point now, router_id from, const message& content);

    /// The KV service's response to read_preset or watch_preset.
    struct preset_response
    {
        /// False if the KV service did not respond.
        bool responded = false;
        /// The stored preset in its envelope, or nothing if none is stored.
        std::optional<std::string> envelope;
    };

    /// Handles the end of read_preset.
    void on_preset_read(time_point now, const preset_response& response);

    /// Handles the end of watch_preset; tick() starts the next watch.
    void on_watch_ended(time_point now, const preset_response& response);

    /// Handles the end of replace_preset. `responded` is false if the KV
    /// service did not respond.
    void on_preset_replaced(time_point now, bool responded);

    /// Handles the end of pull_preset. `envelope` is empty if the peer did not
    /// send a preset.
    void on_preset_pulled(time_point now,
                          const std::optional<std::string>& envelope);

    /// Handles the end of read_load. `report` is empty if it could not be read.
    void on_load_read(time_point now, upstream_id upstream,
                      const std::optional<routing::load_report>& report);

    /// Handles the host list: which upstreams are leaving, and the routers to
    /// use as seeds.
    void
    on_host_list_read(const std::vector<membership::upstream_record>& hosts,
                      const std::vector<router_id>& routers);

    /// Handles the end of ledger::read_entries. `entries` is empty if the KV
    /// service did not respond.
    void on_entries_read(
        time_point now, std::uint32_t shard,
        const std::optional<std::vector<ledger::log_entry>>& entries);

    /// Handles the end of ledger::create_entry. `created` is empty if the KV
    /// service did not respond, in which case the entry may exist.
    void on_entry_created(time_point now, std::uint32_t shard,
                          std::optional<bool> created);

    /// Handles the confirmed deletion of the entries before `end`.
    void on_entries_deleted(std::uint32_t shard, ledger::entry_number end);

    /// Handles the KV service's response to the check_store that was sent at
    /// `sent_at`.
    void on_store_checked(time_point now, time_point sent_at);

    /// Records that the KV service was restored from an older copy after
    /// `known_at`, the time of its last response before: it may have lost
    /// entries of any shard.
    void on_kv_restored(time_point now, time_point known_at);

    /// Starts the search for an upstream; a route_decided effect follows.
    routing::permit_ticket begin_route(time_point now,
                                       const route_requirements& requirements);

    /// Ends a route, or cancels the search for an upstream.
    /// `first_token_ms` is the time to the first token.
    void end_route(time_point now, routing::permit_ticket ticket,
                   routing::outcome result, std::uint16_t first_token_ms);

    /// Records that a routed request has received its first token. `request`
    /// is the fingerprint of its body, which is no longer a crash suspect.
    void record_first_token(time_point now, routing::permit_ticket ticket,
                            fingerprint request);

    /// Records that an upstream responded to the request body.
    void record_response(time_point now, fingerprint request);

    /// Starts to claim `key`; a claim_decided effect follows, at the latest
    /// with the first tick() after `deadline`.
    ledger::claim_ticket begin_claim(time_point now,
                                     const ledger::idempotency_key& key,
                                     time_point deadline);

    /// Records that the claimed call was certainly not sent; the key is free
    /// again.
    void release_claim(time_point now, ledger::claim_ticket ticket);

    /// Records the upstream's response to the claimed call.
    void finish_claim(time_point now, ledger::claim_ticket ticket,
                      ledger::stored_response upstream_response);

    /// Ends the claim without a record, if the outcome of the call is unknown.
    void abandon_claim(ledger::claim_ticket ticket);

    /// Records that `upstream` crashed before it responded to `request`, and
    /// spreads this to the fleet.
    void report_crash(time_point now, fingerprint request,
                      upstream_id upstream);

    /// Decides whether a request body may be sent, with regard to crashes of
    /// upstreams; calls back once, now or a short time later.
    void admit(time_point now, fingerprint request, bool is_retry,
               std::function<void(bool admitted)> callback);

    /// Returns true if the request body was running on an upstream that crashed
    /// and has not been answered since.
    [[nodiscard]] bool is_crash_suspect(time_point now,
                                        fingerprint request) const;

    /// Credits the customer's retry budget with a first attempt.
    void record_first_attempt(time_point now, customer_id customer);

    /// Takes one retry from the customer's budget; returns false if the budget
    /// is used up.
    bool try_spend_retry(time_point now, customer_id customer);

    /// Leaves the fleet. Requests in progress continue.
    void leave(time_point now);

    /// Returns the effects to carry out, and clears the list.
    std::vector<effect> take_effects();

    [[nodiscard]] readiness current_readiness(time_point now) const;

    /// Returns the adopted preset, or null before the first.
    [[nodiscard]] const config::preset_snapshot& preset() const;
    [[nodiscard]] const membership::swim& members() const;

    /// Returns the component that grants permits for the upstreams owned here.
    [[nodiscard]] const routing::permit_owner& owner() const;

    /// Returns the component that acquires permits for the requests of this
    /// router.
    [[nodiscard]] const routing::permit_client& client() const;
    /// Returns the number of request bodies in quarantine.
    [[nodiscard]] std::size_t quarantined_count(time_point now) const;
    /// Returns what was quarantined and cleared since the last call.
    routing::quarantine_changes take_quarantine_changes();
    [[nodiscard]] ledger_counts ledger_totals() const;

    /// Returns the router that owns `upstream`, or nothing if the preset does
    /// not contain it.
    [[nodiscard]] std::optional<router_id> owner_of(upstream_id upstream) const;

private:
    /// The periodic read of one owned upstream's load report.
    struct load_poll
    {
        std::string address;
        time_point next_read;
        bool in_progress = false;
    };

    /// An appender that runs at this router.
    struct hosted_appender
    {
        ledger::appender appender;
        time_point last_used_at;
        ledger::history_check history;
        /// The check in progress.
        ledger::check_history checked{};
    };

    template <typename Alternative>
    void handle_message(time_point now, router_id from,
                        const Alternative& alternative);

    /// Returns the wall-clock time at `now`, however long ago the last tick()
    /// was. Must not be called before the first one.
    [[nodiscard]] std::uint64_t wall_ms_at(time_point now) const;
    void apply_adopted_preset(time_point now);
    /// Recomputes which upstreams this router owns, if the membership view or
    /// the preset has changed.
    void update_owned_upstreams(time_point now);
    void recompute_owners();
    /// Returns the current poll of `item` or a new one, with its address from
    /// the preset.
    [[nodiscard]] load_poll load_poll_for(const config::upstream& item) const;
    void start_preset_reads(time_point now);
    /// Records whether the preset is at least as new as those that peers
    /// report, or no peer responds.
    void compare_first_preset(time_point now);
    void start_host_list_read(time_point now);
    /// Follows the KV service on behalf of its data centre, so that this router
    /// can tell others since when it was not restored.
    void start_store_check(time_point now);
    [[nodiscard]] ledger::history_response
    respond(time_point now, const ledger::history_query& query) const;
    void start_load_reads(time_point now);
    void record_gossiped_crashes(time_point now);
    /// Returns the routers that may judge request bodies.
    [[nodiscard]] std::vector<routing::fleet_member> fleet_members() const;
    /// Returns true if this router watches the KV service and the host list
    /// on behalf of its data centre.
    [[nodiscard]] bool is_data_centre_watcher();
    /// Returns the routers of all data centres for which
    /// is_data_centre_watcher() is true.
    [[nodiscard]] std::vector<router_id> data_centre_watchers() const;
    [[nodiscard]] ledger::history_check::options
    history_check_options(std::uint32_t shard) const;
    /// Returns the routers that append to `shard`, preferred first.
    [[nodiscard]] std::vector<router_id>
    appender_routers(std::uint32_t shard) const;
    /// Returns the appender of `shard` at this router, started if necessary.
    hosted_appender& appender_for(time_point now, std::uint32_t shard);
    /// Moves the outputs of all components into effects_.
    void collect_effects(time_point now);
    void collect_ledger_effects(time_point now);
    void send(router_id to, message content);

    node_options options_;
    membership::swim swim_;
    config::preset_follower preset_follower_;
    routing::permit_owner permit_owner_;
    routing::permit_client permit_client_;
    routing::crash_protection protection_;
    routing::retry_budget retry_budget_;
    ledger::claim_client claim_client_;
    std::map<std::uint32_t, hosted_appender> hosted_appenders_;
    std::unordered_map<upstream_id, router_id> owners_;
    std::unordered_map<upstream_id, const config::upstream*> upstreams_;
    std::unordered_map<upstream_id, load_poll> load_polls_;
    std::vector<effect> effects_;
    /// Messages to this router itself, handled at the end of the current event.
    std::vector<message> messages_to_self_;
    /// Version of the membership view that the owners were computed from; 0
    /// forces the next update.
    std::uint64_t applied_view_ = 0;
    /// Wall-clock time at the last tick(), in milliseconds since the epoch.
    std::uint64_t wall_ms_ = 0;
    std::optional<time_point> ticked_at_;
    bool preset_watch_open_ = false;
    /// True if the KV service has responded to a read since the last watch. A
    /// service restored from an older copy has lower revisions, so a watch that
    /// continued from an earlier one would miss changes.
    bool can_open_preset_watch_ = false;
    time_point next_preset_watch_;
    time_point next_host_list_read_;
    ledger::store_view store_view_;
    time_point next_store_check_;
    /// True if the preset lists calls that may not be repeated.
    bool uses_ledger_ = false;
    std::optional<time_point> started_at_;
    bool has_compared_preset_ = false;
    bool leaving_ = false;
    /// Other routers were asked what is in quarantine.
    bool has_queried_quarantine_ = false;
    /// True once the fleet had a second live member.
    bool had_peers_ = false;
    /// Version of the membership view that is_watcher_ was computed from.
    std::uint64_t watcher_view_ = 0;
    bool is_watcher_ = false;
};

} // namespace baobabloft::fleet

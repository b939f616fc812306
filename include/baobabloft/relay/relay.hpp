// Proxies requests to the services listed in the directory. One relay owns a
// router's listeners, directory follower, upstream selection and sessions, all
// on one event loop.
#pragma once

#include "baobabloft/directory/directory_follower.hpp"
#include "baobabloft/dispatch/arrival_budget.hpp"
#include "baobabloft/dispatch/freshness.hpp"
#include "baobabloft/dispatch/hedge_policy.hpp"
#include "baobabloft/dispatch/return_schedule.hpp"
#include "baobabloft/dispatch/rollout_control.hpp"
#include "baobabloft/dispatch/shutdown_rules.hpp"
#include "baobabloft/dispatch/upstream_selector.hpp"
#include "baobabloft/dispatch/waiting_room.hpp"
#include "baobabloft/http/caller_table.hpp"
#include "baobabloft/http/channel_pool.hpp"
#include "baobabloft/net/codec.hpp"
#include "baobabloft/net/datagram_socket.hpp"
#include "baobabloft/relay/platform_interface.hpp"
#include "baobabloft/router/metrics.hpp"
#include "baobabloft/router/settings.hpp"
#include "baobabloft/routing/crash_protection.hpp"

#include <random>

namespace baobabloft::relay
{

class relay_session;

/// A request that was running when its upstream may have crashed.
struct crash_suspect
{
    fingerprint request{};
    /// What it has in common with other requests; empty if the answer was well
    /// under way.
    std::vector<request_feature> features;
};

/// State of a relay that its sessions share.
struct relay_context
{
    net::event_loop& loop;
    const header_dialect& dialect;
    router::metrics& counters;
    directory::directory_follower follower;
    http::channel_pool pool;
    dispatch::upstream_selector selector;
    dispatch::arrival_budget retry_budget;
    dispatch::return_schedule returns;
    dispatch::waiting_room waiting;
    dispatch::hedge_policy hedges;
    dispatch::freshness_bounds freshness;
    routing::crash_protection protection;
    dispatch::rollout_control rollouts;
    /// See http::caller_table::record_received().
    std::function<void(std::size_t bytes)> record_received;
    /// Schedules a check of whether `upstream` crashed while it ran the
    /// request.
    std::function<void(const crash_suspect& suspect,
                       const std::string& upstream)>
        schedule_crash_check;
    /// Sends the messages of `protection`, and logs its changes.
    std::function<void()> send_protection_messages;
    std::mt19937_64 random;
    dispatch::shutdown_times shutdown;
    /// Start of the shutdown, if one is in progress; from then on responses
    /// close their connections.
    std::optional<time_point> shutdown_started_at;

    [[nodiscard]] bool is_shutting_down() const
    {
        return shutdown_started_at.has_value();
    }

    /// Returns the time at which the last requests must end, if a shutdown is
    /// in progress.
    [[nodiscard]] std::optional<time_point> last_deadline() const;
    /// Returns which decisions the age of the configuration permits at `now`.
    [[nodiscard]] dispatch::permitted_use
    permitted_config_use(time_point now) const;
    /// Returns the time since the directory was last confirmed to be current,
    /// or -1 ms if it never was. For logs and metrics.
    [[nodiscard]] duration confirmation_age(time_point now) const;
    /// Returns the number of routers in the fleet, at least 1.
    [[nodiscard]] std::size_t router_count() const;
};

/// The response to an operator's query.
struct where_answer
{
    /// HTTP status.
    unsigned status = 0;
    /// JSON.
    std::string body;
};

/// One router of the fleet.
class relay
{
public:
    relay(net::event_loop& loop, const router::settings& options,
          const header_dialect& dialect, const directory::record_codec& codec,
          directory_store& store, router::metrics& counters);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Opens the listeners and starts to follow the directory. Returns false
    /// and sets `reason` if an address cannot be bound.
    bool start(failure& reason);

    /// Starts a graceful shutdown: reports this router as not ready, closes
    /// idle connections of callers once the load balancer has had time to
    /// notice, and calls `done` when no connection is left. Requests end, with
    /// an answer, shortly before the shutdown timeout. `graceful` is false if
    /// connections were left even then.
    void shut_down(std::function<void(bool graceful)> done);

    /// Applies changed settings. Changed listener addresses take effect only
    /// after a restart.
    void reload(const router::settings& options);

private:
    using caller_ptr = http::caller_table::caller_ptr;

    void accept_caller(std::shared_ptr<http::byte_stream> stream);
    /// Accepts a connection for the readiness and metrics pages.
    void accept_status_connection(std::shared_ptr<http::byte_stream> stream);
    void serve_status_page(const caller_ptr& channel,
                           const http::request& request);
    /// Says where a request would go now and why, and changes no state.
    /// `target` is the request target of the page, with the query.
    [[nodiscard]] where_answer where(std::string_view target);
    void begin_request(const caller_ptr& channel, http::request&& request);
    /// Performs the periodic work other than following the directory.
    void run_maintenance();
    /// Starts the directory follower's next call, if one is due, and processes
    /// the events that earlier calls produced.
    void follow_directory();
    void start_call(const directory::read_page& call);
    void start_call(const directory::watch_changes& call);
    void start_call(const directory::read_entry& call);
    void start_call(const directory::query_router& call);
    /// Opens the datagram socket to other routers once the fleet's secret is
    /// known, follows changes of the secret, and creates a secret if none
    /// exists.
    void update_router_socket();
    /// Writes the fleet's secret if the store lacks it and this router is one
    /// of those that should.
    void create_missing_secret();
    void receive(router_id from, std::string_view bytes);
    void handle(router_id from, const directory::change_query& message);
    void handle(router_id from, const directory::change_response& message);
    void handle(router_id from, const directory::change_notice& message);
    void handle(router_id from, const directory::entry_query& message);
    void handle(router_id from, const directory::entry_part& message);
    void handle(router_id from, const directory::config_query& message);
    void handle(router_id from, const directory::config_part& message);
    void handle(router_id from, const directory::listing_query& message);
    void handle(router_id from, const directory::listing_response& message);
    void handle_config_version(router_id from, std::uint64_t version);
    /// Sends the version of the configuration in force to a few routers, of
    /// which those with a newer one respond.
    void compare_config_versions();
    /// Ends the query to another router after its response has arrived.
    void end_router_query();
    /// Handles the messages by which routers find requests that crash
    /// upstreams.
    template <typename Message>
    requires requires(routing::crash_protection& protection,
                      const Message& message)
    {
        protection.handle(time_point{}, router_id{}, message);
    }
    void handle(router_id from, const Message& message)
    {
        context_.protection.handle(net::boot_now(), from, message);
        send_protection_messages();
    }
    void handle(router_id from, const dispatch::rollout_report& message);
    void handle(router_id from, const dispatch::rollout_response& message);
    void handle(router_id from, const dispatch::traffic_report& message);
    void handle(router_id from, const dispatch::traffic_summary& message);
    /// Reports what this router saw of the traffic to the router that watches
    /// the store for it.
    void send_traffic_report();
    void schedule_crash_check(const crash_suspect& suspect,
                              const std::string& upstream);
    /// Records a crash if all connections to `upstream` are closed;
    /// `open_before` is the number that was open when the check was scheduled.
    /// If it is 0, opens a connection and records a crash if that is refused.
    void check_crash(const crash_suspect& suspect, const std::string& upstream,
                     std::size_t open_before);
    /// Records a crash, and reports it to the other routers.
    void record_crash(const crash_suspect& suspect,
                      const std::string& upstream);
    void send_protection_messages();
    /// Takes the decisions on roll-outs that are due, and acts on them.
    void run_rollouts();
    /// Sends the messages of the roll-outs, starts the writes of their statuses
    /// and logs their changes.
    void perform_rollout_actions();
    /// Returns the roll-outs as a JSON list.
    [[nodiscard]] std::string rollouts_page() const;
    /// Returns the upstreams of the roll-out's service that are in service.
    [[nodiscard]] dispatch::rollout_upstreams
    count_upstreams(const directory::known_rollout& rollout) const;
    /// Returns the routers of the fleet that can be reached.
    [[nodiscard]] std::vector<routing::fleet_member> fleet_members() const;
    /// Returns the id under which this router sends datagrams.
    [[nodiscard]] router_id self_id() const;
    void send_datagram(router_id to, const fleet::message& message);
    void send_to_all(const fleet::message& message);
    /// Notifies the data centre's other routers that the directory changed, if
    /// this router watches the store for them.
    void notify_routers();
    void record_store_call(std::string_view kind, bool succeeded,
                           const failure& reason);
    /// Logs, counts and applies changes of the directory.
    void process_directory_events();
    /// Applies the configuration's limits to open connections of callers.
    void apply_caller_limits();
    /// Schedules a renewal of this router's entry in a new era of the store, or
    /// a registration if the store has lost it.
    void check_registration(time_point now);
    /// Renews the lease of this router's entry, or requests a lease if there
    /// is none.
    void maintain_registration();
    /// Writes this router's entry under the lease.
    void register_router();
    /// Advances a shutdown in progress.
    void check_shutdown();
    /// Logs a change of readiness and updates its gauge.
    void record_readiness();
    /// Logs whether the store has become unavailable to all routers, or is so
    /// no longer.
    void record_store_availability(time_point now);
    void update_gauges();
    [[nodiscard]] bool is_ready(time_point now) const;
    [[nodiscard]] http::caller_limits caller_limits() const;

    net::event_loop& loop_;
    router::settings options_;
    directory_store& store_;
    relay_context context_;
    std::vector<std::unique_ptr<http::tcp_listener>> listeners_;
    http::caller_table callers_;
    std::optional<net::datagram_keys> datagram_keys_;
    /// Secret that `datagram_keys_` was made from.
    std::string socket_secret_;
    std::unique_ptr<net::datagram_socket> router_socket_;
    time_point next_secret_creation_at_;
    /// Timer of the query to another router; 0 if none is in progress.
    guint router_query_timer_ = 0;
    time_point started_at_;
    time_point next_registration_at_;
    std::optional<lease_id> lease_;
    /// The store's era in which the registration was last checked.
    std::optional<directory::store_era> registration_era_;
    /// True while a lease or registration call is in progress.
    bool registering_ = false;
    /// Result of the last call to the store.
    bool store_reachable_ = false;
    bool was_ready_ = false;
    bool store_was_unavailable_ = false;
    /// Change count of the directory state when the selector last dropped
    /// upstreams that are no longer listed.
    std::uint64_t pruned_change_count_ = 0;
    std::function<void(bool)> on_shutdown_done_;
};

} // namespace baobabloft::relay

// The control task: one thread that owns the fleet node, the control socket and
// the connections to the platform. Workers communicate with it only through
// messages posted to event loops.
#pragma once

#include "baobabloft/fleet/node.hpp"
#include "baobabloft/net/codec.hpp"
#include "baobabloft/net/datagram_socket.hpp"
#include "baobabloft/net/kv_client.hpp"
#include "baobabloft/net/revision_monitor.hpp"
#include "baobabloft/router/burn.hpp"
#include "baobabloft/router/metrics.hpp"
#include "baobabloft/router/settings.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabloft::router
{

/// Identifies a route or a claim of a worker at the control task.
using operation_id = std::uint64_t;

/// A worker's request for an upstream.
struct route_query
{
    fleet::route_requirements requirements;
    fingerprint body_hash{};
    /// True for a repeated attempt, which is counted against the customer's
    /// retry budget.
    bool is_retry = false;
};

/// Result of a route_query.
enum class route_status : std::uint8_t
{
    granted,
    /// No upstream of the service is available.
    no_upstream,
    /// Too many requests are queued.
    overloaded,
    /// No upstream had capacity before the deadline.
    expired,
    /// The request body crashed upstreams before.
    quarantined,
    /// The customer's retry budget is exhausted.
    retries_spent
};

/// Response to a route_query. The other fields are meaningful only if
/// `status` is `granted`.
struct route_response
{
    route_status status = route_status::no_upstream;
    upstream_id upstream{};
    std::string upstream_name{};
    std::string address{};
    /// Index in the chat's list of preferred upstreams; 0 is the first choice.
    std::uint32_t choice_index = 0;
};

/// Fleet state that workers need; published to them on each change.
struct published_state
{
    config::preset_snapshot preset;
    fleet::readiness readiness = fleet::readiness::joining;
};

/// How a route ended.
struct route_result
{
    routing::outcome outcome = routing::outcome::completed;
    std::uint16_t first_token_ms = 0;
    /// The connection to the upstream broke after the request was sent and
    /// before the first byte of the response.
    bool crashed = false;
};

using route_callback = std::function<void(const route_response&)>;
using claim_callback = std::function<void(const ledger::claim_decision&)>;

/// A worker's callbacks for responses of the control task. They are stored with
/// the worker because the objects that they own may only be destroyed on the
/// worker's thread.
class callback_table
{
public:
    explicit callback_table(net::event_loop& loop);

    /// add_route(), add_claim() and remove_route() must be called on the
    /// worker's thread.
    void add_route(operation_id id, route_callback callback);
    void add_claim(operation_id id, claim_callback callback);
    void remove_route(operation_id id);

    /// Runs and removes the callback of `id` on the worker's thread. Called by
    /// the control task.
    void deliver(operation_id id, const route_response& response);
    void deliver(operation_id id, const ledger::claim_decision& decision);

private:
    net::event_loop& loop_;
    std::unordered_map<operation_id, route_callback> routes_;
    std::unordered_map<operation_id, claim_callback> claims_;
};

/// Runs the fleet node of this router and performs its I/O.
class control_task
{
public:
    using state_callback = std::function<void(const published_state&)>;

    control_task(const settings& settings, std::shared_ptr<metrics> metrics);
    ~control_task();
    control_task(const control_task&) = delete;
    control_task& operator=(const control_task&) = delete;

    /// Binds the control socket. On failure returns false and sets `reason`.
    bool open(failure& reason);

    /// Runs the event loop on the calling thread until stop().
    void run();
    void stop();

    /// Runs `callback` on `loop` with the current state and after each change.
    void subscribe(net::event_loop& loop, state_callback callback);

    /// The functions below must be called on the thread of the worker that owns
    /// `callbacks`. The callbacks run on the same thread.

    /// Requests an upstream. A granted route must be ended by end_route().
    operation_id route(callback_table& callbacks, route_query query,
                       route_callback callback);
    /// Ends a granted route or withdraws a pending one. The callback of a
    /// withdrawn route does not run.
    void end_route(callback_table& callbacks, operation_id route_id,
                   const route_result& result);
    /// Records that the upstream of a route sent its first token.
    void record_first_token(operation_id route_id);

    /// Claims `key` in the ledger. The decision is made by `deadline`.
    operation_id claim(callback_table& callbacks,
                       const ledger::idempotency_key& key, time_point deadline,
                       claim_callback callback);
    /// Ends a claim whose call was certainly not sent.
    void release_claim(operation_id claim_id);
    /// Ends a claim and records the upstream's response.
    void finish_claim(operation_id claim_id, ledger::stored_response response);
    /// Ends a claim without recording a response: the call may have been
    /// executed.
    void abandon_claim(operation_id claim_id);

    /// Counts an event that met or missed an objective.
    void record_objective(const burn_key& key, double target, bool missed);

    /// Pages that are rendered from the state of the control task.
    enum class page
    {
        status,
        burn,
        preset_envelope
    };
    /// Renders a page and runs `done` with its body on `loop`.
    void render_page(net::event_loop& loop, page kind,
                     std::function<void(const std::string&)> done);

    /// Leaves the fleet. Routes in progress continue.
    void leave();

    /// Returns true if `hex_mac` is a MAC of `bytes` under one of the fleet's
    /// secrets.
    [[nodiscard]] bool verify_peer(std::string_view bytes,
                                   std::string_view hex_mac) const;
    /// Returns the MAC of `bytes` in hexadecimal, as verify_peer() expects it.
    /// Peers send it with requests for the preset and with the preset itself.
    [[nodiscard]] std::string peer_mac(std::string_view bytes) const;

private:
    struct route_entry
    {
        callback_table* callbacks = nullptr;
        routing::permit_ticket ticket = 0;
        fingerprint body_hash{};
        upstream_id upstream{};
    };

    struct claim_entry
    {
        callback_table* callbacks = nullptr;
        ledger::claim_ticket ticket = 0;
    };

    struct subscriber
    {
        net::event_loop* loop = nullptr;
        state_callback callback;
    };

    void tick();
    void receive(router_id from, std::string_view bytes);
    void start_route(operation_id id, route_query query,
                     callback_table& callbacks);
    /// Starts the search for an upstream, once the request is known to crash
    /// none.
    void start_admitted_route(operation_id id, route_query query);
    void finish_route(operation_id id, const route_result& result);
    void deliver_route_response(operation_id id,
                                const route_response& response);

    /// Applies the effects that the node requested: each apply() performs one
    /// of them and, for I/O, reports the result to the node.
    void apply_effects();
    void apply(const fleet::send_message& effect);
    void apply(const fleet::read_preset& effect);
    void apply(const fleet::watch_preset& effect);
    void apply(const fleet::replace_preset& effect);
    void apply(const fleet::pull_preset& effect);
    void apply(const fleet::read_load& effect);
    void apply(const fleet::read_host_list& effect);
    void apply(const fleet::check_store& effect);
    void apply(const ledger::read_entries& effect);
    void apply(const ledger::create_entry& effect);
    void apply(const ledger::delete_entries& effect);
    void apply(const fleet::route_decided& effect);
    void apply(const fleet::claim_decided& effect);
    void apply(const fleet::preset_adopted& effect);

    /// Handles the revision in a response of the KV service to a request that
    /// was sent at `sent`.
    void record_kv_revision(const net::revision_monitor::mark& sent,
                            std::int64_t revision);

    /// Sends the fleet state to the subscribers if it has changed.
    void publish_state();
    void update_gauges();
    [[nodiscard]] std::string status_page() const;
    [[nodiscard]] std::string burn_page() const;
    [[nodiscard]] std::string envelope_page() const;

    const settings settings_;
    std::shared_ptr<metrics> metrics_;
    net::event_loop loop_;
    net::datagram_keys datagram_keys_;
    router_id own_id_{};
    fleet::node node_;
    std::unique_ptr<net::datagram_socket> socket_;
    std::unique_ptr<net::kv_client> kv_client_;
    std::unique_ptr<net::http_client> http_client_;
    burn_meter burn_;
    std::atomic<operation_id> last_operation_id_{0};
    std::map<operation_id, route_entry> routes_;
    std::unordered_map<routing::permit_ticket, operation_id> routes_by_ticket_;
    std::map<operation_id, claim_entry> claims_;
    std::unordered_map<ledger::claim_ticket, operation_id> claims_by_ticket_;
    std::vector<subscriber> subscribers_;
    published_state state_;
    net::revision_monitor kv_revisions_;
    /// Revision of the KV service at the last read of the preset.
    std::int64_t preset_revision_ = 0;
};

/// Returns the key-value key of the preset in force.
std::string active_preset_key();

/// Returns the key-value key of the accepted preset of generation `number`.
std::string preset_history_key(config::generation number);

/// Returns the common prefix of the keys of accepted presets.
std::string preset_history_prefix();

} // namespace baobabloft::router

// The control task: one thread that owns the node, the control socket and the
// connections to the platform. Workers reach it by messages only.
#pragma once

#include "baobabloft/fleet/node.hpp"
#include "baobabloft/net/codec.hpp"
#include "baobabloft/net/datagram_socket.hpp"
#include "baobabloft/net/kv_client.hpp"
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

/// Names a route or a claim between a worker and the control task.
using operation_id = std::uint64_t;

/// What a worker asks for a request.
struct route_query
{
    fleet::route_requirements demand;
    fingerprint body_hash{};
    /// A further attempt, which the customer's retry budget must allow.
    bool is_retry = false;
};

/// Why a route ended without an upstream.
enum class route_status : std::uint8_t
{
    granted,
    no_upstream,
    overloaded,
    expired,
    quarantined,
    retries_spent
};

/// Answer to a route_query.
struct route_response
{
    route_status status = route_status::no_upstream;
    upstream_id upstream{};
    std::string upstream_name{};
    std::string address{};
    /// Place among the chat's choices, 0 for the first.
    std::uint32_t choice_index = 0;
};

/// What workers need to know of the fleet; sent to them on each change.
struct published_state
{
    config::preset_snapshot preset;
    fleet::readiness readiness = fleet::readiness::joining;
};

/// How a routed request ended.
struct route_result
{
    routing::outcome outcome = routing::outcome::completed;
    std::uint16_t first_token_ms = 0;
    /// The upstream broke off before its first byte.
    bool crashed = false;
};

using route_callback = std::function<void(const route_response&)>;
using claim_callback = std::function<void(const ledger::claim_decision&)>;

/// A worker's callbacks for answers of the control task. They stay with the
/// worker, since what they hold may only be released on its thread.
class callback_table
{
public:
    explicit callback_table(net::event_loop& loop);

    /// The calls below are for the worker's thread.
    void add_route(operation_id id, route_callback callback);
    void add_claim(operation_id id, claim_callback callback);
    void remove_route(operation_id id);

    /// Called by the control task: run the callback on the worker's thread.
    void deliver(operation_id id, const route_response& response);
    void deliver(operation_id id, const ledger::claim_decision& decision);

private:
    net::event_loop& loop_;
    std::unordered_map<operation_id, route_callback> routes_;
    std::unordered_map<operation_id, claim_callback> claims_;
};

/// Runs the fleet's decisions for this router.
class control_task
{
public:
    using state_callback = std::function<void(const published_state&)>;

    control_task(const settings& settings, std::shared_ptr<metrics> metrics);
    ~control_task();
    control_task(const control_task&) = delete;
    control_task& operator=(const control_task&) = delete;

    /// Binds the control socket. Returns false with the reason if it cannot.
    bool open(failure& reason);

    /// Runs until stop(); the calling thread becomes the task's.
    void run();
    void stop();

    /// Delivers the state to `loop` now and on each change.
    void subscribe(net::event_loop& loop, state_callback callback);

    /// The calls below come from the thread of the worker that owns `replies`;
    /// callbacks run on the same.

    /// Looks for an upstream. Each route that was granted needs end_route().
    operation_id route(callback_table& callbacks, route_query query,
                       route_callback callback);
    /// Ends a granted route, or withdraws one that waits; its callback does
    /// not run any more.
    void end_route(callback_table& callbacks, operation_id route_id,
                   const route_result& result);
    /// Notes the first token of a route.
    void record_first_token(operation_id route_id);

    /// Claims `key` until `latest`.
    operation_id claim(callback_table& callbacks,
                       const ledger::idempotency_key& key, time_point deadline,
                       claim_callback callback);
    /// Ends a claim: the call surely was not sent.
    void release_claim(operation_id claim_id);
    /// Ends a claim with the upstream's answer.
    void finish_claim(operation_id claim_id, ledger::stored_response answer);
    /// Ends a claim whose call may have run.
    void abandon_claim(operation_id claim_id);

    /// Counts an objective met or missed.
    void record_objective(const burn_key& key, double target, bool missed);

    /// Makes a page from the task's state and delivers it to `loop`.
    enum class page
    {
        status,
        burn,
        preset_envelope
    };
    void render_page(net::event_loop& loop, page kind,
                     std::function<void(const std::string&)> done);

    /// Leaves the fleet; routes in progress go on.
    void leave();

    /// Returns the MAC that peers put on requests for the preset.
    [[nodiscard]] bool verify_peer(std::string_view bytes,
                                   std::string_view hex_mac) const;
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
    void finish_route(operation_id id, const route_result& result);
    void deliver_route_response(operation_id id,
                                const route_response& response);

    void apply_effects();
    void apply(const fleet::send_message& effect);
    void apply(const fleet::read_preset& effect);
    void apply(const fleet::watch_preset& effect);
    void apply(const fleet::pull_preset& effect);
    void apply(const fleet::read_load& effect);
    void apply(const fleet::read_host_list& effect);
    void apply(const ledger::read_entries& effect);
    void apply(const ledger::create_entry& effect);
    void apply(const ledger::delete_entries& effect);
    void apply(const fleet::route_decided& effect);
    void apply(const fleet::claim_decided& effect);
    void apply(const fleet::preset_adopted& effect);

    void publish_state();
    void update_gauges();
    [[nodiscard]] std::string status_page() const;
    [[nodiscard]] std::string burn_page() const;
    [[nodiscard]] std::string envelope_page() const;

    const settings settings_;
    std::shared_ptr<metrics> metrics_;
    net::event_loop loop_;
    net::datagram_keys datagram_keys_;
    router_id self_{};
    fleet::node node_;
    std::unique_ptr<net::datagram_socket> socket_;
    std::unique_ptr<net::kv_client> kv_;
    std::unique_ptr<net::http_client> http_;
    burn_meter burn_;
    std::atomic<operation_id> last_operation_id_{0};
    std::map<operation_id, route_entry> routes_;
    std::unordered_map<routing::permit_ticket, operation_id> routes_by_ticket_;
    std::map<operation_id, claim_entry> claims_;
    std::unordered_map<ledger::claim_ticket, operation_id> claims_by_ticket_;
    std::vector<subscriber> subscribers_;
    published_state state_;
    std::int64_t preset_revision_ = 0;
};

/// Returns the key under which the preset in force is stored.
std::string active_preset_key();

/// Returns the key under which accepted preset `number` is kept.
std::string preset_history_key(config::generation number);

/// Returns the key prefix of accepted presets.
std::string preset_history_prefix();

} // namespace baobabloft::router

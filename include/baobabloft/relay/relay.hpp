// Routes requests of services that the directory lists: listeners, the
// directory, the decisions and the sessions of one router, on one loop.
#pragma once

#include "baobabloft/directory/directory_follower.hpp"
#include "baobabloft/dispatch/arrival_budget.hpp"
#include "baobabloft/dispatch/freshness.hpp"
#include "baobabloft/dispatch/shutdown_rules.hpp"
#include "baobabloft/dispatch/upstream_selector.hpp"
#include "baobabloft/http/caller_table.hpp"
#include "baobabloft/http/channel_pool.hpp"
#include "baobabloft/net/codec.hpp"
#include "baobabloft/net/datagram_socket.hpp"
#include "baobabloft/relay/ports.hpp"
#include "baobabloft/router/metrics.hpp"
#include "baobabloft/router/settings.hpp"
#include "baobabloft/routing/crash_tracker.hpp"

#include <random>

namespace baobabloft::relay
{

class relay_session;

/// The parts of a relay that its sessions use.
struct relay_context
{
    net::event_loop& loop;
    const header_dialect& dialect;
    router::metrics& counters;
    directory::directory_follower follower;
    http::channel_pool pool;
    dispatch::upstream_selector selector;
    dispatch::arrival_budget budget;
    dispatch::freshness_bounds freshness;
    routing::crash_tracker crashes;
    /// Finds out whether an upstream crashed under a request.
    std::function<void(fingerprint request, const std::string& upstream)>
        suspect_crash;
    std::mt19937_64 random;
    dispatch::shutdown_times shutdown;
    /// Start of the shutdown; answers end their connections from then on.
    std::optional<time_point> leaving_since;

    [[nodiscard]] bool leaving() const
    {
        return leaving_since.has_value();
    }

    /// Returns how far the configuration may be relied on now.
    [[nodiscard]] dispatch::permitted_use reliance(time_point now) const;
    /// Returns the age of the proof behind it, for logs.
    [[nodiscard]] duration proof_age(time_point now) const;
    [[nodiscard]] std::size_t routers() const;
};

/// One router.
class relay
{
public:
    relay(net::event_loop& loop, const router::settings& options,
          const header_dialect& dialect, const directory::record_codec& codec,
          directory_store& store, router::metrics& counters);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Binds the listeners and starts to follow the store.
    bool start(failure& reason);

    /// Takes no new connections after the balancer had time to notice, ends
    /// kept ones, and calls `done` when nothing is in progress; with false if
    /// requests were cut when the shutdown timeout was near.
    void shut_down(std::function<void(bool graceful)> done);

    /// Applies changed settings; addresses of listeners need a restart.
    void reload(const router::settings& options);

private:
    using caller_ptr = http::caller_table::caller_ptr;

    void accept(std::shared_ptr<http::byte_stream> stream);
    void accept_page(std::shared_ptr<http::byte_stream> stream);
    void serve_page(const caller_ptr& channel, const http::request& message);
    void begin_request(const caller_ptr& channel, http::request&& message);
    void sweep();
    void follow();
    void make_call(const directory::read_page& call);
    void make_call(const directory::watch_changes& call);
    void make_call(const directory::read_entry& call);
    void make_call(const directory::query_router& call);
    /// Opens the socket towards other routers once their secret is known.
    void keep_linked();
    void receive(router_id from, std::string_view bytes);
    void handle(router_id from, const directory::change_query& message);
    void handle(router_id from, const directory::change_response& message);
    void handle(router_id from, const directory::change_notice& message);
    void handle(router_id from, const directory::entry_query& message);
    void handle(router_id from, const directory::entry_part& message);
    /// The ask in progress was answered.
    void end_ask();
    void handle(router_id from, const routing::crash_notice& message);
    void suspect_crash(fingerprint request, const std::string& upstream);
    void judge_crash(fingerprint request, const std::string& upstream,
                     std::size_t open_before);
    void note_crash(fingerprint request, const std::string& upstream);
    /// Returns the id under which this router sends datagrams.
    [[nodiscard]] router_id self_id() const;
    void send(router_id to, const fleet::message& message);
    void notify_routers();
    void note_call(std::string_view kind, bool answered, const failure& reason);
    void report_changes();
    /// Applies the configuration's limits to open connections.
    void apply_caller_limits();
    void keep_registered();
    void register_router();
    void check_shutdown();
    void note_readiness();
    void update_gauges();
    [[nodiscard]] bool is_ready(time_point now) const;
    [[nodiscard]] http::caller_limits caller_limits() const;

    net::event_loop& loop_;
    router::settings options_;
    directory_store& store_;
    relay_context context_;
    std::vector<std::unique_ptr<http::tcp_listener>> listeners_;
    http::caller_table callers_;
    std::optional<net::datagram_keys> keys_;
    std::string linked_secret_;
    std::unique_ptr<net::datagram_socket> socket_;
    bool secret_offered_ = false;
    guint ask_timer_ = 0;
    time_point started_;
    time_point next_registration_;
    std::optional<lease_id> lease_;
    bool registering_ = false;
    bool store_answers_ = false;
    bool was_ready_ = false;
    std::uint64_t seen_generation_ = 0;
    std::function<void(bool)> on_left_;
};

} // namespace baobabloft::relay

// The owner's side of permits: one router decides for each upstream how many
// requests it may run, whose requests start first, and which ones wait. The
// state is soft: a new owner rebuilds it from the permit holders and from the
// upstream's own load report.
#pragma once

#include "baobabloft/config/preset.hpp"
#include "baobabloft/routing/fair_queue.hpp"
#include "baobabloft/routing/messages.hpp"
#include "baobabloft/routing/recent_chats.hpp"
#include "baobabloft/routing/upstream_admission.hpp"

#include <map>
#include <unordered_map>
#include <vector>

namespace baobabloft::routing
{

/// A response to send to the requesting router.
struct addressed_response
{
    router_id to{};
    permit_response response;
};

/// A digest to send to another owner.
struct addressed_digest
{
    router_id to{};
    load_digest digest;
};

/// State of one upstream as its owner sees it, for status pages.
struct upstream_status
{
    upstream_id upstream{};
    std::uint32_t load = 0;
    std::uint32_t limit = 0;
    std::size_t waiting = 0;
    double mean_load = 0;
    double first_token_ms = 0;
    warmup_state state = warmup_state::unknown;
    bool available = false;
    bool admitted = false;
    std::uint64_t outages = 0;
};

/// Number of decisions by verdict.
using verdict_counts = std::array<std::uint64_t, verdict_names.size()>;

/// Grants and queues permit requests for the upstreams that this router owns.
class permit_owner
{
public:
    /// An upstream that this router owns.
    struct owned_upstream
    {
        /// Index of the service in the preset, and of the upstream in the
        /// service.
        std::uint16_t service_index = 0;
        std::uint16_t upstream_index = 0;
        /// True if the upstream may receive new work.
        bool admitted = false;
    };

    /// Routers that own upstreams of a service, in an order that is the same on
    /// every router.
    struct service_owners
    {
        std::uint16_t service_index = 0;
        std::vector<router_id> owners{};
        /// Indexes of the upstreams that may not receive new work.
        std::vector<std::uint16_t> not_admitted{};
    };

    /// `self` is this router.
    explicit permit_owner(router_id self);

    /// Sets the upstreams that this router owns under `preset`, and the owners
    /// of every service of which this router owns at least one upstream.
    void set_owned_upstreams(time_point now,
                             const config::preset_snapshot& preset,
                             const std::vector<owned_upstream>& owned,
                             const std::vector<service_owners>& owners);

    /// Ends the permits and queued requests of routers that are not in `live`,
    /// which must be sorted. If such a router is alive after all, the requests
    /// that it runs still appear in the upstreams' own load reports.
    /// `live_share` is the live share of the fleet, 0 to 1.
    void set_live_routers(time_point now, const std::vector<router_id>& live,
                          double live_share);

    /// Handles a message from the router `from`.
    void handle(time_point now, router_id from, const permit_request& request);
    void handle(time_point now, router_id from, const permit_release& release);
    void handle(time_point now, router_id from, const permit_renewal& renewal);
    void handle(time_point now, router_id from, const permit_cancel& cancel);
    void handle(time_point now, router_id from, const suspect_cleared& notice);
    void handle(time_point now, router_id from, const slow_first_token& notice);
    void handle(time_point now, router_id from, const load_digest& digest);

    /// Handles a load report of `upstream`, or the failure to read one.
    void handle_load_report(time_point now, upstream_id upstream,
                            const load_report& report);
    void handle_failed_load_report(time_point now, upstream_id upstream);

    /// Ends permits whose lease has expired and queued requests whose start
    /// deadline has passed, grants queued requests for which there is capacity,
    /// and creates the load digests that are due.
    void tick(time_point now);

    /// Returns and clears the responses to send.
    std::vector<addressed_response> take_responses();

    /// Returns and clears the load digests to send.
    std::vector<addressed_digest> take_digests();

    /// Returns the state of the owned upstreams.
    [[nodiscard]] std::vector<upstream_status> status(time_point now) const;
    [[nodiscard]] std::vector<upstream_id> owned_upstreams() const;
    [[nodiscard]] const verdict_counts& counts() const;

private:
    static constexpr std::size_t max_recent_chats = 32768;
    static constexpr duration chat_lifetime = 1800s;

    struct owned_upstream_state
    {
        upstream_admission admission;
        fair_queue queue;
        /// Chats whose last turn ran on this upstream, so that their prefix is
        /// cached.
        recent_chats cached_chats{max_recent_chats, chat_lifetime};
        /// Chats whose last turn was sent on to a later candidate.
        recent_chats displaced_chats{max_recent_chats, chat_lifetime};
        /// Value of `admission.outages()` when `cached_chats` was last cleared.
        std::uint64_t handled_outages = 0;
        std::uint16_t service_index = 0;
        std::uint16_t upstream_index = 0;
        std::uint32_t queue_limit = 0;
        std::uint32_t running_suspects = 0;
        bool admitted = false;
    };

    /// A service of which this router owns at least one upstream.
    struct service_state
    {
        load_table loads;
        std::vector<router_id> owners;
        time_point next_digest{};
        unsigned digest_round = 0;
    };

    struct permit_grant
    {
        upstream_id upstream{};
        time_point granted_at;
        time_point expires;
        bool suspect = false;
    };

    [[nodiscard]] verdict decide(time_point now, const permit_request_key& key,
                                 const permit_request& request,
                                 owned_upstream_state& state);
    verdict enqueue(const queued_request& queued, owned_upstream_state& state);
    [[nodiscard]] std::uint32_t weight_of(customer_id customer) const;
    [[nodiscard]] queued_request
    to_queued_request(time_point now, const permit_request_key& key,
                      const permit_request& request) const;
    void grant_permit(time_point now, const permit_request_key& key,
                      owned_upstream_state& state, upstream_id upstream,
                      const queued_request& request);
    /// Returns the load at or above which `request` is not granted at once.
    [[nodiscard]] double
    load_limit_for(time_point now, const permit_request& request,
                   const owned_upstream_state& state) const;
    void end_grant(time_point now, const permit_request_key& key,
                   const released_permit& released);
    void grant_queued(time_point now, upstream_id upstream,
                      owned_upstream_state& state);
    void respond(const permit_request_key& key, verdict decision,
                 const owned_upstream_state* state);

    void update_loads(time_point now);
    void send_digests(time_point now);

    router_id self_;
    double live_share_ = 1;
    config::preset_snapshot preset_;
    std::map<std::uint16_t, service_state> services_;
    std::unordered_map<upstream_id, owned_upstream_state> upstreams_;
    std::map<permit_request_key, permit_grant> grants_;
    std::vector<addressed_response> responses_;
    std::vector<addressed_digest> digests_;
    verdict_counts counts_{};
};

} // namespace baobabloft::routing

// The owner's side of permits: one router decides for each upstream how many
// requests it carries, whose go first, and which wait. Soft state only: a new
// owner rebuilds it from the holders and from the upstream's own report.
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

/// An answer to send to the router that asked.
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

/// One upstream as its owner sees it, for status pages.
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

/// Counts of decisions, by verdict.
using verdict_counts = std::array<std::uint64_t, verdict_names.size()>;

/// Decides for the upstreams that this router owns.
class permit_owner
{
public:
    /// An upstream that this router owns.
    struct owned_upstream
    {
        /// Places of the service in the preset and of the upstream in it.
        std::uint16_t service_index = 0;
        std::uint16_t upstream_index = 0;
        /// True if it may receive new work.
        bool admitted = false;
    };

    /// The routers that own upstreams of a service, in one order everywhere.
    struct service_owners
    {
        std::uint16_t service_index = 0;
        std::vector<router_id> owners{};
        /// Places of upstreams that may not receive new work.
        std::vector<std::uint16_t> not_admitted{};
    };

    /// `self` is this router.
    explicit permit_owner(router_id self);

    /// Takes in what this router owns under `preset`, and who owns the rest of
    /// the services that it owns a part of.
    void set_owned_upstreams(time_point now,
                             const config::preset_snapshot& preset,
                             const std::vector<owned_upstream>& owned,
                             const std::vector<service_owners>& owners);

    /// Ends the permits and waits of routers outside `live`, which is sorted.
    /// What a router that only seems dead still runs shows in the upstreams'
    /// own reports. `live_share` is the share of the fleet that `live` is.
    void set_live_routers(time_point now, const std::vector<router_id>& live,
                          double live_share);

    /// Handles messages from the router `from`.
    void handle(time_point now, router_id from, const permit_request& ask);
    void handle(time_point now, router_id from, const permit_release& release);
    void handle(time_point now, router_id from, const permit_renewal& hold);
    void handle(time_point now, router_id from, const permit_cancel& cancel);
    void handle(time_point now, router_id from, const suspect_cleared& note);
    void handle(time_point now, router_id from, const slow_first_token& note);
    void handle(time_point now, router_id from, const load_digest& digest);

    /// Takes in a load report, or the failure to read one.
    void handle_load_report(time_point now, upstream_id upstream,
                            const load_report& report);
    void handle_failed_load_report(time_point now, upstream_id upstream);

    /// Ends leases and waits that ran out, and grants what has room.
    void tick(time_point now);

    /// Returns and clears the answers to send.
    std::vector<addressed_response> take_responses();

    /// Returns and clears the load digests to send.
    std::vector<addressed_digest> take_digests();

    /// Returns the owned upstreams.
    [[nodiscard]] std::vector<upstream_status> status(time_point now) const;
    [[nodiscard]] std::vector<upstream_id> owned_upstreams() const;
    [[nodiscard]] const verdict_counts& counts() const;

private:
    static constexpr std::size_t max_remembered_chats = 32768;
    static constexpr duration chat_lifetime = 1800s;

    struct station
    {
        upstream_admission gate;
        fair_queue queue;
        /// Chats whose last turn ran here, so that their prefix is cached.
        recent_chats resident{max_remembered_chats, chat_lifetime};
        /// Chats whose last turn went on to a later choice.
        recent_chats displaced{max_remembered_chats, chat_lifetime};
        /// Setbacks of the gate when the chats were last forgotten.
        std::uint64_t outages = 0;
        std::uint16_t service_index = 0;
        std::uint16_t upstream_index = 0;
        std::uint32_t queue_limit = 0;
        std::uint32_t suspects = 0;
        bool admitted = false;
    };

    /// A service that this router owns a part of.
    struct service_state
    {
        load_table loads;
        std::vector<router_id> owners;
        time_point next_digest{};
        unsigned round = 0;
    };

    struct grant
    {
        upstream_id upstream{};
        time_point granted_at;
        time_point expires;
        bool suspect = false;
    };

    [[nodiscard]] verdict decide(time_point now, const permit_request_key& key,
                                 const permit_request& ask, station& at);
    verdict enqueue(const queued_request& waiting, station& at);
    [[nodiscard]] std::uint32_t weight_of(customer_id customer) const;
    [[nodiscard]] queued_request to_waiting(time_point now,
                                            const permit_request_key& key,
                                            const permit_request& ask) const;
    void grant_permit(time_point now, const permit_request_key& key,
                      station& at, upstream_id upstream,
                      const queued_request& ask);
    /// Returns how many requests the upstream may carry before `ask` is
    /// turned away.
    [[nodiscard]] double room_for(time_point now, const permit_request& ask,
                                  const station& at) const;
    void end_grant(time_point now, const permit_request_key& key,
                   const released_permit& released);
    void pump(time_point now, upstream_id upstream, station& at);
    void answer(const permit_request_key& key, verdict decision,
                const station* at);

    void update_loads(time_point now);
    void send_digests(time_point now);

    router_id self_;
    double live_share_ = 1;
    config::preset_snapshot preset_;
    std::map<std::uint16_t, service_state> services_;
    std::unordered_map<upstream_id, station> stations_;
    std::map<permit_request_key, grant> grants_;
    std::vector<addressed_response> answers_;
    std::vector<addressed_digest> digests_;
    verdict_counts counts_{};
};

} // namespace baobabloft::routing

// Chooses the upstream of each request at one router. Sends requests that share
// a prompt prefix to the same upstream, limits an upstream's load relative to
// the mean, limits the requests to cold upstreams and avoids failing ones.
#pragma once

#include "baobabloft/directory/directory_state.hpp"
#include "baobabloft/dispatch/choice_report.hpp"
#include "baobabloft/dispatch/return_schedule.hpp"
#include "baobabloft/dispatch/rollout_control.hpp"
#include "baobabloft/dispatch/sliding_count.hpp"
#include "baobabloft/dispatch/traffic_monitor.hpp"
#include "baobabloft/dispatch/upstream_announcements.hpp"
#include "baobabloft/dispatch/upstream_pace.hpp"
#include "baobabloft/routing/recent_chats.hpp"

#include <functional>
#include <map>
#include <span>
#include <unordered_map>

namespace baobabloft::dispatch
{

/// Limit on the requests to one cold upstream, over all routers.
struct cold_start_limit
{
    /// Factor on routed_service::cold_requests_per_second.
    double overrun = 1.5;
    /// Requests per second in addition.
    double slack = 5;
};

/// Settings of the selector.
struct selector_options
{
    /// This router's data centre. Requests without an affinity prefer its
    /// upstreams.
    std::string data_centre;
    /// This router's name, as in the directory.
    std::string router;
    cold_start_limit cold_limit;
    /// When this router started.
    time_point started;
};

/// The properties of a request that determine its upstream.
struct upstream_query
{
    const directory::routed_service* service = nullptr;
    /// Hash of the shared prompt prefix. Without it the least loaded upstream
    /// is chosen.
    std::optional<std::uint64_t> affinity;
    /// Length of that prefix in tokens; an upstream that does not have the
    /// prefix cached must process them again.
    std::uint32_t prefix_tokens = 0;
    /// Upstreams that have failed this request already.
    std::span<const std::string> excluded_ids;
    /// The request may run again elsewhere, so it may be sent to an upstream
    /// that failed recently.
    bool is_repeatable = false;
    /// Versions of the service that may get the request.
    version_choice versions;
};

/// Why an upstream was chosen, or why none was.
enum class choice : std::uint8_t
{
    /// The first in the order of preference.
    preferred,
    /// A later one in that order.
    other,
    /// One that is faster at this moment than the one in its place.
    faster,
    /// A cold one that is below its cold-start limit.
    cold,
    /// The best of those that failed recently or are above the load limit.
    last_resort,
    /// The service has no upstream in service, or each of them has failed this
    /// request or has no capacity for a connection.
    no_upstream,
    /// The upstreams that could take the request are at their cold-start limit
    /// or at their rate limit.
    all_busy
};

inline constexpr std::array choice_names{
    enum_name<choice>{choice::preferred, "preferred"},
    enum_name<choice>{choice::other, "other"},
    enum_name<choice>{choice::faster, "faster"},
    enum_name<choice>{choice::cold, "cold"},
    enum_name<choice>{choice::last_resort, "last_resort"},
    enum_name<choice>{choice::no_upstream, "no_upstream"},
    enum_name<choice>{choice::all_busy, "all_busy"},
};

/// A chosen upstream, or the reason why there is none.
struct selection
{
    choice reason = choice::no_upstream;
    /// Null if none was chosen. Valid until the directory changes.
    const directory::known_upstream* upstream = nullptr;
    /// Another upstream that is likely to have the prefix cached, so that the
    /// chosen one can copy it. Null if the chosen one has it, or if no other is
    /// likely to. Valid until the directory changes.
    const directory::known_upstream* prefix_source = nullptr;
    /// Estimated load of the chosen upstream, in requests.
    double load = 0;
    /// Mean estimated load of the service's usable upstreams, in requests.
    double mean_load = 0;
};

/// Load that an upstream reported with a response.
struct reported_load
{
    /// In requests.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// How long work takes at this moment, in percent of the usual time; empty
    /// if the upstream does not report it.
    std::optional<std::uint32_t> work_percent;
};

/// The selector of one router.
class upstream_selector
{
public:
    /// Returns true if a connection to the upstream is idle or may still be
    /// opened.
    using capacity_check = std::function<bool(
        const directory::known_upstream&, const directory::routed_service&)>;

    upstream_selector(const directory::directory_state& directory,
                      selector_options options, capacity_check has_capacity);

    /// Chooses an upstream. Whoever sends a request to it must call
    /// record_sent().
    selection choose(time_point now, const upstream_query& query);

    /// Returns the choice that choose() would make now, and what it rests on.
    /// Records nothing, so that it changes no later choice.
    [[nodiscard]] choice_report explain(time_point now,
                                        const upstream_query& query);

    /// Returns true if an upstream that is neither failing nor paused could
    /// take the request.
    [[nodiscard]] bool has_sound_upstream(time_point now,
                                          const upstream_query& query);

    /// Returns what is known of room at the upstreams of `service`, whatever
    /// upstreams a request has tried.
    [[nodiscard]] room_outlook
    outlook(time_point now, const directory::routed_service& service) const;
    /// Chooses an upstream for a second run of a request whose first one is
    /// slow, without a source for the prefix. It is up, warm, below the load
    /// limit, has not failed of late and has room, as most of the service's
    /// upstreams must. Records nothing.
    [[nodiscard]] selection choose_hedge(time_point now,
                                         const upstream_query& query);

    /// Records that a request was sent to the upstream `id`, or will be at
    /// once.
    void record_sent(time_point now, const std::string& id);
    /// Records that a request at `id` has ended.
    void record_ended(const std::string& id);

    /// Records a load that `id` reported.
    void record_load(time_point now, const std::string& id,
                     const reported_load& load);
    /// Records that `id` responded to a request; ends any pause.
    void record_success(time_point now, const std::string& id);
    /// Records that a request at `id` failed. Pauses `id` after several
    /// failures in a row or if its failure rate is too high.
    void record_failure(time_point now, const std::string& id);
    /// Records that a slow request at `id` was cancelled without a response, as
    /// another upstream responded to it first. That is no failure, but `id` is
    /// paused after several in a row.
    void record_cancelled(time_point now, const std::string& id);
    /// Records that `id` announced that it leaves: it gets no further requests
    /// in this lifetime, whatever the directory says. Returns false if that is
    /// known.
    bool record_leaving(const std::string& id);
    /// Records that `id` asked for no requests from this router for `pause`,
    /// of which at most a minute is granted. No other report ends the pause
    /// sooner.
    void record_requested_pause(time_point now, const std::string& id,
                                duration pause);
    /// Records what `id` said of its rate limit in a response to this router.
    rate_limit_change record_rate_limit(time_point now, const std::string& id,
                                        const rate_limit_statement& said);
    /// Returns the number of upstreams that have a rate limit.
    [[nodiscard]] std::size_t limited_upstreams() const;
    /// Records that `id` declined a request, and pauses it briefly.
    void record_decline(time_point now, const std::string& id);
    /// Records that nothing could be sent to `id`, and pauses it.
    void record_unreachable(time_point now, const std::string& id);

    /// Returns what this router saw of the traffic since the last report.
    [[nodiscard]] traffic_report take_traffic_report(time_point now);
    /// Merges another router's report and returns the summary for it.
    [[nodiscard]] traffic_summary merge_report(time_point now,
                                               const traffic_report& report);
    /// Applies the summary of the router to which this one reports.
    void apply_summary(time_point now, const traffic_summary& summary);

    /// Drops the state of upstreams that are no longer in the directory, once
    /// their requests have ended and what they announced is old.
    void erase_removed_upstreams(time_point now);

    void set_cold_start_limit(const cold_start_limit& limit);

private:
    /// What this router knows about one upstream from its own requests.
    struct upstream_state
    {
        /// Requests of this router.
        std::uint32_t in_progress = 0;
        /// Estimated requests of other routers, as of `reported_at`.
        double others_load = 0;
        /// When the upstream last reported its load to this router.
        std::optional<time_point> reported_at;
        /// From the figures that it reported to any router.
        upstream_pace pace;
        /// Moving average, 0 to 1.
        double failure_rate = 0;
        std::uint32_t consecutive_failures = 0;
        std::uint32_t consecutive_cancellations = 0;
        /// When the upstream last reported that requests wait in its queue;
        /// empty if its latest report says that none does.
        std::optional<time_point> queue_reported_at;
        /// End of the current pause.
        time_point avoid_until;
        upstream_announcements announced;
        /// Since when the directory does not list the upstream.
        std::optional<time_point> removed_at;
        /// Length of the last pause; zero after a success.
        duration backoff{0};
        /// Requests sent, counted against the cold-start limit.
        sliding_count recent_sends{1200ms};
    };

    /// An upstream that may be chosen.
    struct candidate
    {
        const directory::known_upstream* upstream;
        upstream_state* state;
        /// Estimated load, in requests.
        double load;
        double preference = 0;
        /// Cost and rank among equals, for requests without an affinity.
        double cost = 0;
        std::uint64_t tie_break = 0;
    };

    struct listed_router
    {
        std::uint64_t data_centre_hash = 0;
        time_point last_listed;
    };

    /// Whether an upstream is suitable for a request.
    enum class eligibility : std::uint8_t
    {
        eligible,
        /// Its load is above the limit.
        over_limit,
        /// Cold, and below its cold-start limit.
        cold,
        /// Cold, and at its cold-start limit.
        cold_and_full,
        /// Paused after failures, or on trial after a pause and not available
        /// for this request.
        failing,
        /// Asked for no requests from this router.
        paused,
        /// This router has used its part of the upstream's rate limit.
        at_limit,
        /// Failed this request already, or has no capacity for a connection.
        excluded
    };

    /// Mean loads of a service's upstreams, in requests.
    struct load_means
    {
        double of_usable = 0;
        /// Also counts draining upstreams and those in data centres out of
        /// service, as idle, and those of versions that may not get the
        /// request. The bound that users rely on refers to this mean.
        double of_listed = 0;
        /// Counts only upstreams that have reported a load. Until all have, the
        /// other means are too low, since they count the others as idle.
        double of_reported = 0;
        /// Counts only usable upstreams that do not limit their request rate.
        double of_unlimited = 0;
    };

    static constexpr std::array eligibility_names{
        enum_name<eligibility>{eligibility::eligible, "eligible"},
        enum_name<eligibility>{eligibility::over_limit, "over_limit"},
        enum_name<eligibility>{eligibility::cold, "cold"},
        enum_name<eligibility>{eligibility::cold_and_full, "cold_and_full"},
        enum_name<eligibility>{eligibility::failing, "failing"},
        enum_name<eligibility>{eligibility::paused, "paused"},
        enum_name<eligibility>{eligibility::at_limit, "at_limit"},
        enum_name<eligibility>{eligibility::excluded, "no_connection"},
    };

    /// Makes the choice for `query`. If `report` is not null, adds what it
    /// rests on.
    selection decide(time_point now, const upstream_query& query,
                     choice_report* report);
    [[nodiscard]] candidate_report
    report_on(time_point now, const upstream_query& query,
              const directory::known_upstream& item,
              const upstream_state& state) const;
    /// Adds the service's upstreams that get no requests at all.
    void add_unusable(time_point now, const upstream_query& query,
                      choice_report& report) const;

    /// Returns the upstreams that may receive requests, and sets `means`.
    std::vector<candidate> usable_candidates(time_point now,
                                             const upstream_query& query,
                                             load_means& means);
    /// Returns the ids' hashes of the upstreams among which requests of the
    /// target version are divided, in ascending order; empty for all.
    [[nodiscard]] std::vector<std::uint64_t>
    target_share(const upstream_query& query) const;
    /// Returns the load above which requests go to other upstreams.
    static double load_limit(const upstream_query& query,
                             const load_means& means);
    [[nodiscard]] eligibility classify(time_point now,
                                       const upstream_query& query,
                                       const candidate& item, double limit);
    /// Returns true if the upstream could run another request at once, as far
    /// as is known.
    static bool has_room(time_point now, const candidate& item);
    /// Returns the best of `eligible`, which are in the order of preference:
    /// the first, or another one that has the prefix cached. `is_preferred` is
    /// true if the first is the preferred one of all candidates.
    const candidate* prefer_cached(time_point now, std::uint64_t affinity,
                                   std::span<const candidate* const> eligible,
                                   bool is_preferred);
    /// Returns the one of `eligible`, which are in the order of preference,
    /// that is likely to be done sooner than `best` since it is faster at this
    /// moment; `best` if none is.
    const candidate& prefer_fast(time_point now, const upstream_query& query,
                                 std::span<const candidate* const> eligible,
                                 const candidate& best);
    /// Updates the estimated load of an upstream with one that it reported at
    /// `measured_at`, unless a later one is known.
    static void update_load(upstream_state& state, time_point measured_at,
                            double reported);
    void apply_samples(time_point now, std::span<const load_sample> samples);
    void apply_limits(time_point now, std::span<const limit_sample> samples);
    /// Returns the rate limit of the upstream with this router's place up to
    /// date, or null if it has none.
    upstream_rate_limit* limit_of(time_point now,
                                  const directory::known_upstream& item,
                                  upstream_state& state);
    void update_place(time_point now, const directory::known_upstream& item,
                      upstream_rate_limit& limit);
    /// Updates the record of routers, unless it is recent.
    void update_routers(time_point now);
    /// Removes upstreams from `limited_` that have had no limit for a while.
    void expire_limits(time_point now);
    /// Returns up to `count` statements on limits, beginning behind the
    /// upstream `after`.
    template <typename Getter>
    std::vector<limit_sample> limit_samples(time_point now, std::size_t count,
                                            upstream_id after, Getter get);
    /// Moves another of the most preferred upstreams to the front of `eligible`
    /// if the routers divide the prefix among several. `is_moved` is true if
    /// the load of the preferred one of all candidates is above the limit.
    /// Returns true if the prefix is frequent.
    bool divide(time_point now, std::uint64_t affinity, double mean_load,
                bool is_moved, std::span<const candidate*> eligible);
    /// Orders by preference for the affinity, best first. New upstreams are
    /// preferred for fewer prefixes, unless the mean load requires them at
    /// once.
    static void rank_by_affinity(time_point now, std::uint64_t affinity,
                                 double mean_load,
                                 std::vector<candidate>& candidates);
    /// Orders by load, pace and data centre, best first.
    void rank_by_cost(time_point now, std::vector<candidate>& candidates);
    /// Returns the upstream from which `chosen` may copy the prefix, or null.
    [[nodiscard]] const directory::known_upstream*
    find_prefix_source(time_point now, std::uint64_t affinity,
                       const directory::known_upstream& chosen) const;
    /// Returns the estimated load of an upstream from all routers, in requests.
    [[nodiscard]] double estimated_load(time_point now,
                                        const upstream_state& state) const;
    /// Returns true if the upstream announced that it leaves.
    static bool is_leaving(const directory::known_upstream& item,
                           const upstream_state& state);
    [[nodiscard]] bool is_cold(time_point now, const upstream_query& query,
                               const directory::known_upstream& item) const;
    /// Returns true if the cold `item` is below this router's share of its
    /// cold-start limit.
    [[nodiscard]] bool cold_has_capacity(time_point now,
                                         const upstream_query& query,
                                         const candidate& item) const;
    /// Pauses an upstream: for `first_pause`, then for twice the last pause, up
    /// to `max_pause`.
    void back_off(time_point now, upstream_state& state, duration first_pause,
                  duration max_pause);

    const directory::directory_state& directory_;
    selector_options options_;
    capacity_check has_capacity_;
    std::unordered_map<std::string, upstream_state> states_;
    pace_persistence pace_persistence_;
    /// Prefixes that this router recently sent to each upstream.
    routing::recent_chats cached_prefixes_;
    traffic_monitor traffic_;
    /// The upstreams that have a rate limit, or had one a short time ago.
    std::map<upstream_id, std::string> limited_;
    /// The last one in a report.
    upstream_id last_reported_limit_{};
    /// The last one of these in a summary.
    upstream_id last_summarized_limit_{};
    /// Routers that the directory lists, or listed a short time ago, by the
    /// hashes of their names.
    std::unordered_map<std::uint64_t, listed_router> routers_;
    std::optional<time_point> routers_updated_at_;
    /// Number of calls of rank_by_cost().
    std::uint64_t ranked_by_cost_ = 0;
};

} // namespace baobabloft::dispatch

// Chooses the upstream of each request at one router: keeps requests that
// share a prompt prefix together, bounds load against the mean, spares cold
// upstreams and avoids those that fail.
#pragma once

#include "baobabloft/directory/directory_state.hpp"
#include "baobabloft/dispatch/sliding_count.hpp"
#include "baobabloft/routing/recent_chats.hpp"

#include <functional>
#include <span>
#include <unordered_map>

namespace baobabloft::dispatch
{

/// Bound on a cold upstream, over all routers.
struct cold_start_limit
{
    /// Requests per second: the service's own rate times this, plus slack.
    double overrun = 1.5;
    double slack = 5;
};

/// Settings of the selector.
struct selector_options
{
    /// This router's data centre; plain services are served from it first.
    std::string data_centre;
    std::string router;
    cold_start_limit cold_limit;
    time_point started;
};

/// A request that needs an upstream.
struct upstream_query
{
    const directory::routed_service* service = nullptr;
    /// Hash of the shared prompt prefix; without it the least loaded is taken.
    std::optional<std::uint64_t> affinity;
    /// Tokens of that prefix, which another upstream would read again.
    std::uint32_t prefix_tokens = 0;
    /// Upstreams that failed this request.
    std::span<const std::string> excluded_ids;
    /// A request that may run again may try an upstream that failed lately.
    bool is_repeatable = false;
};

/// Why an upstream was chosen or none was.
enum class choice : std::uint8_t
{
    preferred,
    other,
    cold,
    /// All have failed lately or are above the bound; the best of them.
    last_resort,
    no_upstream,
    all_busy
};

inline constexpr std::array choice_names{
    enum_name<choice>{choice::preferred, "preferred"},
    enum_name<choice>{choice::other, "other"},
    enum_name<choice>{choice::cold, "cold"},
    enum_name<choice>{choice::last_resort, "last_resort"},
    enum_name<choice>{choice::no_upstream, "no_upstream"},
    enum_name<choice>{choice::all_busy, "all_busy"},
};

/// A chosen upstream, or why there is none.
struct selection
{
    choice reason = choice::no_upstream;
    /// Null if there is none; valid until the directory changes.
    const directory::known_upstream* upstream = nullptr;
    /// Another upstream that is likely to have the prefix cached; null if the
    /// chosen one has it, or if none is likely to. Valid as `upstream` is.
    const directory::known_upstream* prefix_source = nullptr;
    /// Its load as estimated, and the mean of its service.
    double load = 0;
    double mean_load = 0;
};

/// Load that an upstream told with an answer.
struct reported_load
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// The selector of one router.
class upstream_selector
{
public:
    /// Returns the connections that may still be opened to an upstream, or
    /// that idle there.
    using capacity_check = std::function<bool(
        const directory::known_upstream&, const directory::routed_service&)>;

    upstream_selector(const directory::directory_state& directory,
                      selector_options options, capacity_check has_capacity);

    /// Chooses an upstream. Every choice that is used needs count_sent().
    selection choose(time_point now, const upstream_query& query);

    /// A request left for `id`, or will at once.
    void record_sent(time_point now, const std::string& id);
    /// A request at `id` is over.
    void record_done(const std::string& id);

    /// How requests at `id` went.
    void record_load(time_point now, const std::string& id,
                     const reported_load& load);
    void record_success(time_point now, const std::string& id);
    void record_failure(time_point now, const std::string& id);
    void record_decline(time_point now, const std::string& id);
    void record_unreachable(time_point now, const std::string& id);

    /// Forgets upstreams that are gone.
    void forget_removed_upstreams();

    void set_cold_start_limit(const cold_start_limit& bound);

private:
    struct standing
    {
        std::uint32_t in_progress = 0;
        /// Requests of other routers, as of `told_at`.
        double others = 0;
        std::optional<time_point> told_at;
        /// Moving average of failures, 0 to 1.
        double failure_share = 0;
        std::uint32_t failures_in_row = 0;
        time_point avoid_until;
        duration backoff{0};
        sliding_count cold_sends{1200ms};
    };

    struct option
    {
        const directory::known_upstream* upstream;
        standing* state;
        double load;
        double preference = 0;
    };

    /// How an upstream suits a request.
    enum class fitness : std::uint8_t
    {
        fit,
        /// Loaded above the limit.
        over,
        cold,
        /// Cold, and has what it bears.
        cold_and_full,
        failing,
        /// Tried already, or has no connection left.
        excluded
    };

    /// Mean loads of a service's upstreams.
    struct load_means
    {
        double of_usable = 0;
        /// Those included that are set aside and idle, to which the users'
        /// bound refers.
        double of_listed = 0;
    };

    /// Returns the upstreams that may get requests, and their mean loads.
    std::vector<option> usable(time_point now, const upstream_query& query,
                               load_means& means);
    /// Returns the load from which a request goes elsewhere.
    static double load_limit(const upstream_query& query,
                             const load_means& means);
    [[nodiscard]] fitness judge(time_point now, const upstream_query& query,
                                const option& item, double limit) const;
    /// Returns the best of `fit`, which are in the order of preference: one
    /// that has the prefix cached may relieve the first. `is_first` tells that
    /// the first is the preferred one of all.
    const option* relieve(time_point now, std::uint64_t affinity,
                          std::span<const option* const> fit, bool is_first);
    /// Puts another upstream first in `fit` if the first was never heard of.
    void spread_unheard(std::uint64_t affinity,
                        std::span<const option*> fit) const;
    /// Orders by the affinity's preference, best first. New upstreams are
    /// preferred for fewer prefixes, unless the mean load needs them.
    static void rank_by_affinity(time_point now, std::uint64_t affinity,
                                 double mean, std::vector<option>& options);
    /// Orders by load and distance, best first.
    void rank_by_cost(std::vector<option>& options) const;
    /// Returns the upstream from which `chosen` may copy a prefix.
    [[nodiscard]] const directory::known_upstream*
    find_source(time_point now, std::uint64_t affinity,
                const directory::known_upstream& chosen) const;
    [[nodiscard]] double load_of(time_point now, const standing& state) const;
    [[nodiscard]] bool is_cold(time_point now, const upstream_query& query,
                               const directory::known_upstream& item) const;
    [[nodiscard]] bool cold_has_room(time_point now,
                                     const upstream_query& query,
                                     const option& item) const;
    void avoid(time_point now, standing& state, duration first, duration most);

    const directory::directory_state& directory_;
    selector_options options_;
    capacity_check has_capacity_;
    std::unordered_map<std::string, standing> standings_;
    /// Prefixes at upstreams that this router sent there lately.
    routing::recent_chats cached_;
};

} // namespace baobabloft::dispatch

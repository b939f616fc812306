// Decides when a request is slow enough for its route to be sent to a second
// upstream as well (a hedged request). Learns the distribution of the times to
// the first byte of each route. Whether the fleet may afford the extra request
// is decided by arrival_budget, and which upstream gets it by
// upstream_selector.
#pragma once

#include "baobabloft/support/enum_names.hpp"
#include "baobabloft/support/time.hpp"

#include <array>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabloft::dispatch
{

/// What became of a hedge, the second of two concurrent attempts.
enum class hedge_outcome : std::uint8_t
{
    /// It responded first; the other attempt was cancelled.
    won,
    /// It was cancelled: the other attempt responded first, or the request
    /// ended.
    cancelled,
    /// It ended without a usable response; the other attempt went on.
    failed,
    /// The other attempt failed, and the hedge took its place.
    replaced
};

inline constexpr std::array hedge_outcome_names{
    enum_name<hedge_outcome>{hedge_outcome::won, "won"},
    enum_name<hedge_outcome>{hedge_outcome::cancelled, "cancelled"},
    enum_name<hedge_outcome>{hedge_outcome::failed, "failed"},
    enum_name<hedge_outcome>{hedge_outcome::replaced, "replaced"},
};

/// Why a slow request got no hedge.
enum class hedge_refusal : std::uint8_t
{
    /// The request may not run again: too little time, its route's attempts, a
    /// shutdown, or features that crash upstreams.
    request,
    /// Other requests of the route are slow as well.
    all_slow,
    /// The service is short of room, or none of its upstreams is suitable.
    no_upstream,
    /// The budget is used up.
    budget
};

inline constexpr std::array hedge_refusal_names{
    enum_name<hedge_refusal>{hedge_refusal::request, "request"},
    enum_name<hedge_refusal>{hedge_refusal::all_slow, "all_slow"},
    enum_name<hedge_refusal>{hedge_refusal::no_upstream, "no_upstream"},
    enum_name<hedge_refusal>{hedge_refusal::budget, "budget"},
};

/// What one router knows about the times to the first byte of its routes.
class hedge_policy
{
public:
    /// `max_share` is the share of a service's requests that may be sent to a
    /// second upstream; 0 turns hedged requests off.
    explicit hedge_policy(double max_share);

    void set_max_share(double max_share);
    [[nodiscard]] bool is_enabled() const;

    /// Returns the time after which a request of `route` without a first byte
    /// is slow for its route. Empty while that is not known.
    [[nodiscard]] std::optional<duration>
    delay_of(time_point now, const std::string& route) const;

    /// Records that a request became slow.
    void record_slow(time_point now, const std::string& route);
    /// Records that the first byte arrived after `elapsed`. `was_slow` is true
    /// if record_slow() was called for the request.
    void record_first_byte(const std::string& route, duration elapsed,
                           bool was_slow);
    /// Records that a slow request was cancelled after `elapsed` without a
    /// first byte.
    void record_cancelled(const std::string& route, duration elapsed);

    /// Returns true if a slow request of `route` may get a hedge: requests of
    /// the route still respond in time at other upstreams.
    [[nodiscard]] bool permits_hedge(time_point now,
                                     const std::string& route) const;
    void record_hedge(const std::string& route);

private:
    using time_axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    using time_histogram = boost::histogram::histogram<
        std::tuple<time_axis>,
        boost::histogram::storage_adaptor<std::vector<double>>>;

    struct route_state
    {
        route_state();

        /// Times to the first byte in seconds; old ones weigh less.
        time_histogram times;
        /// Sum of the weights in `times`.
        double weight = 0;
        /// Moving average of the share of slow requests.
        double slow_share = 0;
        /// A request responded in time since the last hedge.
        bool responds_in_time = true;
        /// End of the time in which the route's distribution is learnt anew.
        time_point learns_until;
    };

    /// Share of the requests that are to count as slow.
    [[nodiscard]] double slow_target() const;
    route_state& state_of(const std::string& route);
    void add_time(route_state& state, duration elapsed) const;

    double max_share_;
    std::unordered_map<std::string, route_state> routes_;
};

} // namespace baobabloft::dispatch

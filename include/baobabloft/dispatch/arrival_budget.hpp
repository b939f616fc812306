// Bounds repeat arrivals: arrivals of a request at upstreams of a service after
// its first one. The bound applies to the fleet as a whole; each router may
// spend a fraction of its own requests and a share of the fleet's fixed
// allowance.
#pragma once

#include "baobabloft/dispatch/sliding_count.hpp"

#include <string>
#include <unordered_map>

namespace baobabloft::dispatch
{

/// Upper bound on the repeat arrivals of one service, over all routers.
struct arrival_bound
{
    /// Repeat arrivals allowed per request.
    double ratio = 0.2;
    /// Repeat arrivals allowed per window in addition.
    double slack = 58;
    duration window = 10s;
};

/// What a repeat arrival is for.
enum class repeat_use : std::uint8_t
{
    any,
    /// An upstream declined a request that was not refused before. A reserve is
    /// left for those that were, so that they find room first.
    first_request
};

/// One router's share of the bound.
class arrival_budget
{
public:
    /// `started` is the time at which this router started. Its share of the
    /// fixed allowance grows over the first window from then.
    arrival_budget(const arrival_bound& bound, time_point started);

    /// Records the first arrival of a request at `service`.
    void record_first_arrival(time_point now, const std::string& service);

    /// Spends one repeat arrival at `service`; returns false if this router's
    /// share is used up, or for `repeat_use::first_request` if only the reserve
    /// is left. `router_count` is the number of routers in the fleet.
    bool try_take_repeat(time_point now, const std::string& service,
                         std::size_t router_count,
                         repeat_use use = repeat_use::any);

    /// Returns true if try_take_repeat() would succeed.
    [[nodiscard]] bool has_repeat(time_point now, const std::string& service,
                                  std::size_t router_count,
                                  repeat_use use = repeat_use::any);

    /// Sets the share of a service's requests that may be sent to a second
    /// upstream while the first has not responded; 0 for none.
    void set_hedge_share(double share);

    /// Spends one repeat arrival at `service` on such a request; returns false
    /// if this router's share is used up. Retries come first: hedges leave half
    /// of the repeat arrivals to them.
    bool try_take_hedge(time_point now, const std::string& service,
                        std::size_t router_count);

    /// Replaces the bound. Services already counted keep the length of their
    /// windows.
    void set_bound(const arrival_bound& bound);

private:
    static constexpr duration hedge_window = 60s;

    struct arrival_counts
    {
        explicit arrival_counts(duration window)
            : firsts(window), repeats(window)
        {
        }

        sliding_count firsts;
        sliding_count repeats;
        /// First arrivals and hedges over a longer time, since a router with
        /// few requests earns less than one hedge per window.
        sliding_count hedged_firsts{hedge_window};
        sliding_count hedges{hedge_window};
    };

    arrival_counts& counts_for(const std::string& service);
    /// Returns the repeat arrivals that this router may spend in a window.
    [[nodiscard]] double allowed_repeats(time_point now,
                                         const arrival_counts& counts,
                                         std::size_t router_count) const;

    arrival_bound bound_;
    double hedge_share_ = 0;
    time_point started_;
    std::unordered_map<std::string, arrival_counts> services_;
};

} // namespace baobabloft::dispatch

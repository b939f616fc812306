#include "baobabloft/dispatch/arrival_budget.hpp"

#include <algorithm>

namespace baobabloft::dispatch
{

namespace
{

/// Share of the bound that the routers spend together. The rest covers windows
/// of different routers that do not line up and routers that learn late how
/// many routers there are.
constexpr double used_share = 0.75;
/// Share of the allowed repeats that requests may use which upstreams declined
/// and which were not refused before.
constexpr double first_request_share = 0.75;
/// Share of a router's repeat arrivals up to which hedges are sent.
constexpr double hedge_part = 0.5;

} // namespace

arrival_budget::arrival_budget(const arrival_bound& bound, time_point started)
    : bound_(bound), started_(started)
{
}

void arrival_budget::set_bound(const arrival_bound& bound)
{
    bound_ = bound;
}

arrival_budget::arrival_counts&
arrival_budget::counts_for(const std::string& service)
{
    return services_.try_emplace(service, bound_.window).first->second;
}

void arrival_budget::record_first_arrival(time_point now,
                                          const std::string& service)
{
    auto& counts = counts_for(service);
    counts.firsts.add(now);
    if (hedge_share_ > 0)
        counts.hedged_firsts.add(now);
}

double arrival_budget::allowed_repeats(time_point now,
                                       const arrival_counts& counts,
                                       std::size_t router_count) const
{
    // What this router spent before a restart is unknown, so the fixed
    // allowance grows from zero over the first window.
    const double window_fraction = std::clamp(
        to_seconds(now - started_) / to_seconds(bound_.window), 0.0, 1.0);
    const double slack_share =
        bound_.slack * window_fraction /
        static_cast<double>(std::max<std::size_t>(router_count, 1));
    return used_share * (bound_.ratio * counts.firsts.total(now) + slack_share);
}

bool arrival_budget::has_repeat(time_point now, const std::string& service,
                                std::size_t router_count, repeat_use use)
{
    const auto& counts = counts_for(service);
    const double allowed =
        allowed_repeats(now, counts, router_count) *
        (use == repeat_use::first_request ? first_request_share : 1);
    return counts.repeats.total(now) + 1.0 <= allowed;
}

bool arrival_budget::try_take_repeat(time_point now, const std::string& service,
                                     std::size_t router_count, repeat_use use)
{
    if (!has_repeat(now, service, router_count, use))
        return false;
    counts_for(service).repeats.add(now);
    return true;
}

void arrival_budget::set_hedge_share(double share)
{
    hedge_share_ = share;
}

bool arrival_budget::try_take_hedge(time_point now, const std::string& service,
                                    std::size_t router_count)
{
    auto& counts = counts_for(service);
    const double allowed_hedges =
        used_share * hedge_share_ * counts.hedged_firsts.total(now);
    if (counts.hedges.total(now) + 1.0 > allowed_hedges ||
        counts.repeats.total(now) + 1.0 >
            hedge_part * allowed_repeats(now, counts, router_count))
        return false;
    counts.hedges.add(now);
    counts.repeats.add(now);
    return true;
}

} // namespace baobabloft::dispatch

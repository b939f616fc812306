#include "baobabloft/dispatch/arrival_budget.hpp"

#include <algorithm>

namespace baobabloft::dispatch
{

namespace
{

/// Part of the bound that routers use together; the rest covers windows that
/// do not line up and routers that count each other late.
constexpr double used_part = 0.75;

} // namespace

arrival_budget::arrival_budget(const arrival_bound& bound, time_point started)
    : bound_(bound), started_(started)
{
}

void arrival_budget::set_bound(const arrival_bound& bound)
{
    bound_ = bound;
}

arrival_budget::counts& arrival_budget::counts_of(const std::string& service)
{
    return services_.try_emplace(service, bound_.window).first->second;
}

void arrival_budget::record_first_arrival(time_point now,
                                          const std::string& service)
{
    counts_of(service).first.add(now);
}

bool arrival_budget::try_take_repeat(time_point now, const std::string& service,
                                     std::size_t routers)
{
    auto& known = counts_of(service);
    // What a former lifetime spent is unknown, so the fixed allowance grows
    // over one window.
    const double age = std::clamp(
        to_seconds(now - started_) / to_seconds(bound_.window), 0.0, 1.0);
    const double share = bound_.slack * age /
                         static_cast<double>(std::max<std::size_t>(routers, 1));
    const double allowed =
        used_part * (bound_.ratio * known.first.total(now) + share);
    if (known.further.total(now) + 1.0 > allowed)
        return false;
    known.further.add(now);
    return true;
}

} // namespace baobabloft::dispatch

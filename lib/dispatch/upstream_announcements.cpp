#include "baobabloft/dispatch/upstream_announcements.hpp"

#include <algorithm>
#include <utility>

namespace baobabloft::dispatch
{

namespace
{

/// Longest pause granted to an upstream that asks for one.
constexpr duration max_pause = 60s;

} // namespace

bool upstream_announcements::record_leaving(std::uint64_t lifetime)
{
    const bool is_new = !is_leaving(lifetime);
    leaving_lifetime_ = lifetime;
    return is_new;
}

bool upstream_announcements::is_leaving(std::uint64_t lifetime) const
{
    return leaving_lifetime_ == lifetime;
}

void upstream_announcements::record_pause(time_point now, duration pause)
{
    paused_until_ =
        std::max(paused_until_,
                 now + std::clamp<duration>(pause, duration{0}, max_pause));
}

time_point upstream_announcements::paused_until() const
{
    return paused_until_;
}

bool upstream_announcements::is_empty() const
{
    return !leaving_lifetime_ && paused_until_ == time_point{} &&
           !rate_limit_.rate();
}

upstream_rate_limit& upstream_announcements::rate_limit(std::uint64_t lifetime)
{
    if (std::exchange(rate_limit_lifetime_, lifetime) != lifetime)
        rate_limit_ = {};
    return rate_limit_;
}

const upstream_rate_limit*
upstream_announcements::known_limit(std::uint64_t lifetime) const
{
    return rate_limit_lifetime_ == lifetime && rate_limit_.rate() ? &rate_limit_
                                                                  : nullptr;
}

} // namespace baobabloft::dispatch

#include "baobabloft/directory/store_pace.hpp"

#include <algorithm>

namespace baobabloft::directory
{

store_pace::store_pace(const store_pace_options& options,
                       std::uint64_t router_hash)
    : options_(options), router_hash_(router_hash)
{
}

void store_pace::record_response()
{
    failed_at_.reset();
}

void store_pace::record_failure(time_point now)
{
    failed_at_ = now;
}

bool store_pace::is_unavailable(time_point now, time_point last_response) const
{
    return failed_at_ && now - last_response > options_.unavailable_after;
}

bool store_pace::is_call_due(time_point now, bool is_watcher,
                             std::size_t routers) const
{
    if (!failed_at_)
        return true;
    if (is_watcher)
        return now - *failed_at_ >= options_.watcher_pause;
    const auto mean_pause =
        std::clamp<duration>(from_seconds(static_cast<double>(routers) /
                                          options_.other_calls_per_second),
                             options_.watcher_pause, options_.max_pause);
    // Routers whose calls fail at the same time call again at different times.
    constexpr std::uint64_t slots = 64;
    const auto slot = static_cast<std::int64_t>(router_hash_ % slots);
    const auto pause =
        mean_pause / 2 + mean_pause * slot / static_cast<std::int64_t>(slots);
    return now - *failed_at_ >= pause;
}

} // namespace baobabloft::directory

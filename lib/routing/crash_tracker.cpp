// Crash histories by request fingerprint.
#include "baobabloft/routing/crash_tracker.hpp"

#include <algorithm>

namespace baobabloft::routing
{

namespace
{

constexpr std::size_t quarantine_threshold = 2;
constexpr duration quarantine_lifetime = 600s;
/// Reports about one upstream within this time describe the same crash.
constexpr duration same_crash_window = 500ms;
constexpr std::size_t max_histories = 10000;

} // namespace

void crash_tracker::record_crash(time_point now, fingerprint request,
                                 upstream_id upstream)
{
    erase_expired(now);
    auto& history = histories_[request];
    history.updated_at = now;
    const bool repeated =
        std::any_of(history.crashes.begin(), history.crashes.end(),
                    [&](const crash& other)
                    {
                        return other.upstream == upstream &&
                               now - other.reported_at < same_crash_window;
                    });
    if (!repeated)
        history.crashes.push_back({upstream, now});
}

void crash_tracker::clear_suspicion(fingerprint request)
{
    const auto found = histories_.find(request);
    if (found != histories_.end() &&
        found->second.crashes.size() < quarantine_threshold)
        histories_.erase(found);
}

crash_state crash_tracker::state_of(time_point now, fingerprint request) const
{
    const auto found = histories_.find(request);
    if (found == histories_.end() ||
        now - found->second.updated_at > quarantine_lifetime)
        return crash_state::clear;
    return found->second.crashes.size() >= quarantine_threshold
               ? crash_state::quarantined
               : crash_state::suspect;
}

std::size_t crash_tracker::quarantined_count(time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        histories_.begin(), histories_.end(),
        [&](const auto& entry)
        { return state_of(now, entry.first) == crash_state::quarantined; }));
}

void crash_tracker::erase_expired(time_point now)
{
    if (histories_.size() < max_histories)
        return;
    std::erase_if(
        histories_, [now](const auto& entry)
        { return now - entry.second.updated_at > quarantine_lifetime; });
}

} // namespace baobabloft::routing

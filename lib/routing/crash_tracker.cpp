#include "baobabloft/routing/crash_tracker.hpp"

#include <algorithm>

namespace baobabloft::routing
{

namespace
{

constexpr std::size_t quarantine_crashes = 2;
constexpr duration quarantine_lifetime = 600s;
/// Reports of one upstream this close together describe one crash.
constexpr duration same_crash = 500ms;
constexpr std::size_t max_histories = 10000;

} // namespace

void crash_tracker::record_crash(time_point now, fingerprint request,
                                 upstream_id upstream)
{
    forget_old(now);
    auto& known = histories_[request];
    known.updated = now;
    const bool repeated = std::any_of(
        known.crashes.begin(), known.crashes.end(),
        [&](const crash& other)
        { return other.upstream == upstream && now - other.at < same_crash; });
    if (!repeated)
        known.crashes.push_back({upstream, now});
}

void crash_tracker::clear_suspicion(fingerprint request)
{
    const auto found = histories_.find(request);
    if (found != histories_.end() &&
        found->second.crashes.size() < quarantine_crashes)
        histories_.erase(found);
}

crash_state crash_tracker::state_of(time_point now, fingerprint request) const
{
    const auto found = histories_.find(request);
    if (found == histories_.end() ||
        now - found->second.updated > quarantine_lifetime)
        return crash_state::clear;
    return found->second.crashes.size() >= quarantine_crashes
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

void crash_tracker::forget_old(time_point now)
{
    if (histories_.size() < max_histories)
        return;
    std::erase_if(histories_, [now](const auto& entry)
                  { return now - entry.second.updated > quarantine_lifetime; });
}

} // namespace baobabloft::routing

#include "baobabloft/routing/quarantine.hpp"

#include <algorithm>
#include <limits>

namespace baobabloft::routing
{

namespace
{

constexpr std::size_t max_entries = 8192;
constexpr std::size_t max_crashes = 8;
/// Crashes within this time after a trial began, or after the quarantine, were
/// caused by requests that were already under way.
constexpr duration pause_growth_period = 5s;
constexpr duration max_trial_pause = 86'400s;
/// With fewer crashes in common, one cause of all of them is more likely than
/// a cause for each.
constexpr std::size_t min_shared_crashes = 2;

std::uint32_t to_ms(duration value)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        value / 1ms, 0, std::numeric_limits<std::uint32_t>::max()));
}

void add_crash(std::vector<crash_event>& crashes, const crash_event& added)
{
    if (std::ranges::any_of(crashes, [&](const crash_event& other)
                            { return is_same_crash(other, added); }))
        return;
    if (crashes.size() >= max_crashes)
        crashes.pop_back();
    crashes.push_back(added);
}

} // namespace

quarantine::quarantine(const quarantine_options& options) : options_(options) {}

bool quarantine::is_active(time_point now, const entry& item) const
{
    return now - item.updated_at < options_.lifetime;
}

bool quarantine::add(time_point now, const quarantine_record& record)
{
    erase_expired(now);
    if (entries_.size() >= max_entries && !entries_.contains(record.feature))
        return false;
    auto [found, is_new] = entries_.try_emplace(record.feature);
    auto& item = found->second;
    for (const auto& [upstream, age_ms] : record.crashes)
        add_crash(item.crashes, {upstream, now - age_ms * 1ms});
    item.updated_at = now;
    const duration pause = std::clamp<duration>(
        record.trial_pause_ms * 1ms, options_.trial_pause, max_trial_pause);
    const auto next_trial_at =
        now + (record.trial_pause_ms == 0
                   ? pause
                   : std::min<duration>(record.next_trial_ms * 1ms, pause));
    if (is_new)
    {
        item.is_whole_request = record.is_whole_request;
        item.next_explained_trial_at = now;
        item.explained_trial_pause = options_.explained_trial_pause;
        item.trial_pause = pause;
        item.next_trial_at = next_trial_at;
    }
    else if (pause > item.trial_pause)
    {
        item.trial_pause = pause;
        item.next_trial_at = std::max(item.next_trial_at, next_trial_at);
    }
    return is_new;
}

void quarantine::add_crashes(request_feature feature,
                             std::span<const crash_event> crashes)
{
    if (const auto found = entries_.find(feature); found != entries_.end())
        for (const auto& crash : crashes)
            add_crash(found->second.crashes, crash);
}

bool quarantine::erase(request_feature feature)
{
    return entries_.erase(feature) != 0;
}

void quarantine::record_crash(time_point now, request_feature feature,
                              upstream_id upstream)
{
    const auto found = entries_.find(feature);
    if (found == entries_.end())
        return;
    found->second.updated_at = now;
    add_crash(found->second.crashes, {upstream, now});
    lengthen_pause(now, found->second);
}

void quarantine::lengthen_pause(time_point now, entry& item) const
{
    const auto grown_at = item.next_trial_at - item.trial_pause;
    if (now - grown_at < pause_growth_period)
        return;
    item.trial_pause = std::min<duration>(
        item.trial_pause * options_.trial_pause_growth, max_trial_pause);
    item.next_trial_at = now + item.trial_pause;
}

quarantine_record quarantine::record_of(time_point now, request_feature feature,
                                        const entry& item) const
{
    quarantine_record result{.feature = feature,
                             .is_whole_request = item.is_whole_request,
                             .trial_pause_ms = to_ms(item.trial_pause),
                             .next_trial_ms = to_ms(item.next_trial_at - now),
                             .crashes = {}};
    for (const auto& crash : item.crashes)
        result.crashes.push_back({crash.upstream, to_ms(now - crash.at)});
    return result;
}

std::optional<quarantine_record> quarantine::find(time_point now,
                                                  request_feature feature) const
{
    const auto found = entries_.find(feature);
    if (found == entries_.end() || !is_active(now, found->second))
        return std::nullopt;
    return record_of(now, feature, found->second);
}

std::vector<request_feature>
quarantine::quarantined(time_point now,
                        std::span<const request_feature> features) const
{
    std::vector<request_feature> result;
    if (entries_.empty())
        return result;
    for (const auto feature : features)
        if (const auto found = entries_.find(feature);
            found != entries_.end() && is_active(now, found->second))
            result.push_back(feature);
    return result;
}

std::vector<quarantine_record> quarantine::records(time_point now) const
{
    std::vector<quarantine_record> result;
    for (const auto& [feature, item] : entries_)
        if (is_active(now, item))
            result.push_back(record_of(now, feature, item));
    return result;
}

bool quarantine::is_explained(std::span<const crash_event> crashes,
                              bool is_whole_request,
                              std::span<const request_feature> request) const
{
    std::vector<bool> explained(crashes.size());
    for (const auto& [feature, item] : entries_)
    {
        if (std::ranges::find(request, feature) != request.end() ||
            (item.is_whole_request && !is_whole_request))
            continue;
        std::vector<std::size_t> shared;
        for (std::size_t index = 0; index < crashes.size(); ++index)
            if (std::ranges::any_of(
                    item.crashes, [&](const crash_event& known)
                    { return is_same_crash(known, crashes[index]); }))
                shared.push_back(index);
        if (shared.size() < min_shared_crashes)
            continue;
        for (const auto index : shared)
            explained[index] = true;
    }
    return !crashes.empty() &&
           std::ranges::find(explained, false) == explained.end();
}

admission quarantine::check(time_point now,
                            std::span<const request_feature> features) const
{
    const auto found = quarantined(now, features);
    if (found.empty())
        return admission::admitted;
    return now >= next_trial_at(found) ? admission::trial_due
                                       : admission::refused;
}

time_point
quarantine::next_trial_at(std::span<const request_feature> features) const
{
    time_point result{};
    for (const auto feature : features)
        if (const auto found = entries_.find(feature); found != entries_.end())
        {
            const auto& item = found->second;
            result =
                std::max(result, is_explained(item.crashes,
                                              item.is_whole_request, features)
                                     ? item.next_explained_trial_at
                                     : item.next_trial_at);
        }
    return result;
}

void quarantine::begin_trial(time_point now,
                             std::span<const request_feature> features)
{
    for (const auto feature : features)
    {
        const auto found = entries_.find(feature);
        if (found == entries_.end())
            continue;
        auto& item = found->second;
        if (!is_explained(item.crashes, item.is_whole_request, features))
        {
            lengthen_pause(now, item);
            continue;
        }
        item.next_explained_trial_at = now + item.explained_trial_pause;
        item.explained_trial_pause = std::min<duration>(
            item.explained_trial_pause * 2, options_.trial_pause);
    }
}

void quarantine::postpone_trial(std::span<const request_feature> features,
                                time_point earliest)
{
    for (const auto feature : features)
    {
        const auto found = entries_.find(feature);
        if (found == entries_.end())
            continue;
        auto& item = found->second;
        auto& next = is_explained(item.crashes, item.is_whole_request, features)
                         ? item.next_explained_trial_at
                         : item.next_trial_at;
        next = std::max(next, earliest);
    }
}

void quarantine::erase_expired(time_point now)
{
    std::erase_if(entries_, [&](const auto& item)
                  { return !is_active(now, item.second); });
}

} // namespace baobabloft::routing

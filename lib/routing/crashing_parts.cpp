#include "baobabloft/routing/crashing_parts.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <array>
#include <numeric>

namespace baobabloft::routing
{

namespace
{

/// Reports about one upstream within this time describe the same crash.
constexpr duration same_crash_window = 1s;
/// A part that succeeded this recently is not charged with a crash.
constexpr duration recent_success = 2s;
constexpr duration expiry_period = 1s;
/// A quarantine is announced again after these times.
constexpr std::array announcement_delays{300ms, 1000ms};
/// Memory of suspicions and successes, in entries each.
constexpr std::size_t max_entries = 8192;

} // namespace

crashing_parts::crashing_parts(const crashing_parts_options& options)
    : options_(options)
{
}

std::vector<prompt_part_id>
crashing_parts::record_success(time_point now,
                               std::span<const prompt_part_id> parts)
{
    erase_expired(now);
    std::vector<prompt_part_id> cleared;
    for (const auto part : parts)
    {
        if (own_successes_.size() < max_entries)
            own_successes_[part] = now;
        suspicions_.erase(part);
        if (quarantined_.erase(part) != 0)
            cleared.push_back(part);
    }
    return cleared;
}

bool crashing_parts::succeeded_since(prompt_part_id part,
                                     time_point since) const
{
    const auto is_recent = [&](const auto& successes)
    {
        const auto found = successes.find(part);
        return found != successes.end() && found->second >= since;
    };
    return is_recent(own_successes_) || is_recent(reported_successes_);
}

std::vector<prompt_part_id>
crashing_parts::record_crash(time_point now, const part_crash_report& report)
{
    erase_expired(now);
    std::vector<prompt_part_id> known;
    for (const auto part : report.parts)
    {
        if (const auto found = quarantined_.find(part);
            found != quarantined_.end())
        {
            found->second.updated_at = now;
            known.push_back(part);
            continue;
        }
        if (succeeded_since(part, now - recent_success) ||
            suspicions_.size() >= max_entries)
            continue;
        auto& crashes = suspicions_[part].crashes;
        const bool is_known =
            std::ranges::any_of(crashes,
                                [&](const crash& other)
                                {
                                    return other.request == report.request ||
                                           (other.upstream == report.upstream &&
                                            now - other.at < same_crash_window);
                                });
        if (!is_known && crashes.size() < options_.crashes_to_suspect)
            crashes.push_back({report.request, report.upstream, now});
    }
    return known;
}

part_decisions crashing_parts::take_decisions(time_point now)
{
    part_decisions result;
    std::erase_if(announcements_,
                  [&](const announcement& item)
                  {
                      const bool is_due = item.at <= now;
                      if (is_due && quarantined_.contains(item.part))
                          result.quarantined.push_back(item.part);
                      return is_due;
                  });
    for (auto item = suspicions_.begin(); item != suspicions_.end();)
    {
        auto& [part, suspect] = *item;
        if (suspect.queried_at &&
            now - *suspect.queried_at >= options_.success_wait)
        {
            result.quarantined.push_back(part);
            for (const duration delay : announcement_delays)
                announcements_.push_back({part, now + delay});
            item = suspicions_.erase(item);
            continue;
        }
        if (!suspect.queried_at &&
            suspect.crashes.size() >= options_.crashes_to_suspect)
        {
            suspect.queried_at = now;
            const auto age = now - suspect.crashes.front().at;
            result.queries.push_back(
                {.part = part,
                 .within_ms = static_cast<std::uint32_t>(age / 1ms)});
        }
        ++item;
    }
    return result;
}

std::vector<prompt_part_id>
crashing_parts::successes(time_point now, const part_query& query) const
{
    const auto found = own_successes_.find(query.part);
    if (found == own_successes_.end() ||
        now - found->second > query.within_ms * 1ms + recent_success)
        return {};
    return {query.part};
}

void crashing_parts::clear(time_point now,
                           std::span<const prompt_part_id> parts)
{
    for (const auto part : parts)
    {
        if (reported_successes_.size() < max_entries)
            reported_successes_[part] = now;
        suspicions_.erase(part);
        quarantined_.erase(part);
    }
}

bool crashing_parts::quarantine(time_point now, prompt_part_id part,
                                bool may_try)
{
    suspicions_.erase(part);
    auto [found, is_new] = quarantined_.try_emplace(part);
    found->second.updated_at = now;
    if (!is_new)
        return false;
    found->second.may_try = may_try;
    found->second.trial_pause = options_.trial_pause;
    found->second.next_trial_at = now + options_.trial_pause;
    return true;
}

std::optional<prompt_part_id>
crashing_parts::find_quarantined(time_point now,
                                 std::span<const prompt_part_id> parts) const
{
    for (const auto part : parts)
        if (const auto found = quarantined_.find(part);
            found != quarantined_.end() &&
            now - found->second.updated_at < options_.quarantine_lifetime)
            return part;
    return std::nullopt;
}

bool crashing_parts::try_begin_trial(time_point now, prompt_part_id part)
{
    const auto found = quarantined_.find(part);
    if (found == quarantined_.end() || !found->second.may_try ||
        found->second.next_trial_at > now)
        return false;
    auto& record = found->second;
    record.trial_pause *= options_.trial_pause_growth;
    record.next_trial_at = now + record.trial_pause;
    return true;
}

std::vector<prompt_part_id> crashing_parts::quarantined(time_point now) const
{
    std::vector<prompt_part_id> result;
    for (const auto& [part, record] : quarantined_)
        if (now - record.updated_at < options_.quarantine_lifetime)
            result.push_back(part);
    return result;
}

void crashing_parts::erase_expired(time_point now)
{
    if (now < next_expiry_)
        return;
    next_expiry_ = now + expiry_period;
    const auto oldest = now - options_.memory;
    std::erase_if(suspicions_, [oldest](const auto& item)
                  { return item.second.crashes.back().at < oldest; });
    std::erase_if(quarantined_,
                  [&](const auto& item) {
                      return now - item.second.updated_at >=
                             options_.quarantine_lifetime;
                  });
    const auto is_old = [oldest](const auto& item)
    {
        return item.second < oldest;
    };
    std::erase_if(own_successes_, is_old);
    std::erase_if(reported_successes_, is_old);
}

std::vector<std::size_t> judges_of(prompt_part_id part,
                                   std::span<const std::uint64_t> router_hashes)
{
    std::vector<std::size_t> ranked(router_hashes.size());
    std::iota(ranked.begin(), ranked.end(), 0);
    const auto count = std::min(judges_per_part, ranked.size());
    std::ranges::partial_sort(
        ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count),
        std::ranges::greater{},
        [&](std::size_t index)
        { return rendezvous_score(raw(part), router_hashes[index]); });
    ranked.resize(count);
    return ranked;
}

} // namespace baobabloft::routing

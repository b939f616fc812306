#include "baobabloft/routing/crash_judge.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <numeric>

namespace baobabloft::routing
{

namespace
{

/// Reports about one upstream within this time describe the same crash.
constexpr duration same_crash_window = 1s;
constexpr duration expiry_period = 1s;
constexpr std::size_t max_suspicions = 8192;
/// Crashes kept for each feature, also as long as they are explained.
constexpr std::size_t max_charges = 8;

} // namespace

bool is_same_crash(const crash_event& left, const crash_event& right)
{
    const auto distance =
        left.at < right.at ? right.at - left.at : left.at - right.at;
    return left.upstream == right.upstream && distance < same_crash_window;
}

crash_judge::crash_judge(const crash_judge_options& options) : options_(options)
{
}

void crash_judge::record_crash(time_point now, request_feature feature,
                               const feature_crash_report& report,
                               bool is_whole_request)
{
    erase_expired(now);
    if (suspicions_.size() >= max_suspicions && !suspicions_.contains(feature))
        return;
    auto& suspect = suspicions_[feature];
    suspect.is_whole_request = is_whole_request;
    const charge added{report.request, {report.upstream, now}};
    const bool is_known = std::ranges::any_of(
        suspect.charges,
        [&](const charge& other)
        {
            return is_same_crash(other.crash, added.crash) ||
                   (!is_whole_request && other.request == added.request);
        });
    if (is_known)
        return;
    if (suspect.charges.size() >= max_charges)
        suspect.charges.pop_back();
    suspect.charges.push_back(added);
}

void crash_judge::clear(std::span<const request_feature> features)
{
    for (const auto feature : features)
        suspicions_.erase(feature);
}

std::vector<crash_event> crash_judge::crashes_of(request_feature feature) const
{
    std::vector<crash_event> result;
    if (const auto found = suspicions_.find(feature);
        found != suspicions_.end())
        for (const auto& item : found->second.charges)
            result.push_back(item.crash);
    return result;
}

void crash_judge::record_older_successes(
    std::span<const request_feature> features)
{
    for (const auto feature : features)
        if (const auto found = suspicions_.find(feature);
            found != suspicions_.end())
            found->second.has_older_success = true;
}

std::size_t crash_judge::threshold_of(const suspicion& item) const
{
    return item.is_whole_request ? options_.crashes_of_request
                                 : options_.crashes_of_part;
}

judge_decisions crash_judge::take_decisions(time_point now,
                                            const explanation& is_explained)
{
    judge_decisions result;
    for (auto item = suspicions_.begin(); item != suspicions_.end();)
    {
        auto& [feature, suspect] = *item;
        if (suspect.charges.size() < threshold_of(suspect))
        {
            ++item;
            continue;
        }
        crash_verdict verdict{.feature = feature,
                              .is_whole_request = suspect.is_whole_request,
                              .crashes = crashes_of(feature)};
        if (is_explained(verdict))
        {
            suspect.queried_at.reset();
            ++item;
            continue;
        }
        const bool is_first_query = !suspect.queried_at;
        if (is_first_query)
        {
            suspect.queried_at = now;
            suspect.query_repeated = false;
            suspect.has_older_success = false;
        }
        const auto waited = now - *suspect.queried_at;
        // Queries and responses may be lost.
        const bool is_repetition =
            !suspect.query_repeated && waited >= options_.success_wait / 3;
        if (is_first_query || is_repetition)
        {
            suspect.query_repeated = is_repetition;
            const auto age = now - verdict.crashes.front().at;
            result.queries.push_back(
                {.feature = feature,
                 .within_ms = static_cast<std::uint32_t>(age / 1ms)});
        }
        if (waited <
            options_.success_wait * (suspect.has_older_success ? 2 : 1))
        {
            ++item;
            continue;
        }
        result.verdicts.push_back(std::move(verdict));
        item = suspicions_.erase(item);
    }
    return result;
}

void crash_judge::erase_expired(time_point now)
{
    if (now < next_expiry_)
        return;
    next_expiry_ = now + expiry_period;
    std::erase_if(suspicions_,
                  [oldest = now - options_.memory](const auto& item)
                  { return item.second.charges.back().crash.at < oldest; });
}

std::vector<std::size_t> judges_of(request_feature feature,
                                   std::span<const std::uint64_t> router_hashes)
{
    std::vector<std::size_t> ranked(router_hashes.size());
    std::iota(ranked.begin(), ranked.end(), 0);
    const auto count = std::min(judges_per_feature, ranked.size());
    std::ranges::partial_sort(
        ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count),
        std::ranges::greater{},
        [&](std::size_t index)
        { return rendezvous_score(raw(feature), router_hashes[index]); });
    ranked.resize(count);
    return ranked;
}

} // namespace baobabloft::routing

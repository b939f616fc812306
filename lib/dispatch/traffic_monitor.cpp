#include "baobabloft/dispatch/traffic_monitor.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace baobabloft::dispatch
{

namespace
{

/// Time over which the requests with a prefix are counted.
constexpr duration request_window = 2s;
/// A prefix with fewer requests in the window is not frequent; a single caller
/// may send a few at once.
constexpr std::uint32_t min_frequent_count = 4;
/// Shares of fewer requests than this are not known well enough.
constexpr std::size_t min_counted_requests = 24;
/// A prefix that becomes frequent suddenly is noticed by its share of the most
/// recent requests.
constexpr duration recent_window = 600ms;
constexpr double min_recent_count = 3;
/// Limit of the counted requests; reached only at thousands a second.
constexpr std::size_t max_counted_requests = 4096;
/// Age up to which a load is part of a summary.
constexpr duration max_summary_age = 600ms;
/// Age up to which a summary of another router is used.
constexpr duration summary_lifetime = 3s;
/// Limits of a datagram; the most recent loads and the most frequent prefixes
/// come first.
constexpr std::size_t max_report_loads = 64;
constexpr std::size_t max_report_prefixes = 96;
constexpr std::size_t max_summary_loads = 32;
constexpr std::size_t max_summary_prefixes = 32;

std::uint8_t work_steps_of(std::optional<std::uint32_t> work_percent)
{
    constexpr std::uint32_t max_steps =
        std::numeric_limits<std::uint8_t>::max();
    return work_percent ? static_cast<std::uint8_t>(std::clamp(
                              *work_percent / work_percent_step, 1U, max_steps))
                        : std::uint8_t{0};
}

load_sample sample_of(time_point now, upstream_id upstream, std::uint32_t load,
                      time_point measured_at, std::uint8_t work_steps)
{
    constexpr std::int64_t max_steps = std::numeric_limits<std::uint8_t>::max();
    constexpr std::uint32_t max_load =
        std::numeric_limits<std::uint16_t>::max();
    const auto steps = (now - measured_at) / load_sample_age_step + 1;
    return {.upstream = upstream,
            .load = static_cast<std::uint16_t>(std::min(load, max_load)),
            .age_steps = static_cast<std::uint8_t>(
                std::clamp<std::int64_t>(steps, 0, max_steps)),
            .work_steps = work_steps};
}

/// Keeps the `limit` most recent samples.
void keep_most_recent(std::vector<load_sample>& samples, std::size_t limit)
{
    if (samples.size() <= limit)
        return;
    std::ranges::nth_element(
        samples, samples.begin() + static_cast<std::ptrdiff_t>(limit), {},
        &load_sample::age_steps);
    samples.resize(limit);
}

} // namespace

void traffic_monitor::record_request(time_point now, prefix_id prefix)
{
    count_request(now, prefix);
    if (unreported_prefixes_.size() < max_report_prefixes)
        unreported_prefixes_.push_back(prefix);
}

void traffic_monitor::record_load(time_point now, upstream_id upstream,
                                  std::uint32_t load,
                                  std::optional<std::uint32_t> work_percent)
{
    const known_load known{load, now, work_steps_of(work_percent)};
    loads_[upstream] = known;
    unreported_loads_[upstream] = known;
}

traffic_report traffic_monitor::take_report(time_point now)
{
    traffic_report result;
    for (const auto& [upstream, known] : unreported_loads_)
        if (now - known.measured_at <= max_summary_age)
            result.loads.push_back(sample_of(now, upstream, known.load,
                                             known.measured_at,
                                             known.work_steps));
    keep_most_recent(result.loads, max_report_loads);
    unreported_loads_.clear();
    expire_loads(now);
    result.prefixes = std::exchange(unreported_prefixes_, {});
    return result;
}

void traffic_monitor::merge(time_point now, const traffic_report& report)
{
    for (const auto& item : report.loads)
    {
        const auto measured_at = now - item.age_steps * load_sample_age_step;
        auto& known = loads_[item.upstream];
        if (measured_at > known.measured_at)
            known = {item.load, measured_at, item.work_steps};
    }
    for (const auto prefix : report.prefixes)
        count_request(now, prefix);
}

traffic_summary traffic_monitor::summarize(time_point now)
{
    expire_requests(now);
    expire_loads(now);
    traffic_summary result;
    for (const auto& [upstream, known] : loads_)
        result.loads.push_back(sample_of(now, upstream, known.load,
                                         known.measured_at, known.work_steps));
    keep_most_recent(result.loads, max_summary_loads);
    const auto recent = recent_shares(now);
    for (const auto& [prefix, count] : request_counts_)
    {
        const auto found = recent.find(prefix);
        const double share = std::max(
            share_of_count(count), found == recent.end() ? 0.0 : found->second);
        if (share > 0)
            result.hot_prefixes.push_back(
                {prefix, static_cast<std::uint8_t>(share / prefix_share_step)});
    }
    std::ranges::sort(result.hot_prefixes, std::ranges::greater{},
                      &prefix_share::share_steps);
    if (result.hot_prefixes.size() > max_summary_prefixes)
        result.hot_prefixes.resize(max_summary_prefixes);
    return result;
}

void traffic_monitor::apply(time_point now, const traffic_summary& summary)
{
    summary_at_ = now;
    summary_shares_.clear();
    for (const auto& item : summary.hot_prefixes)
        summary_shares_[item.prefix] = item.share_steps * prefix_share_step;
}

double traffic_monitor::share_of(time_point now, prefix_id prefix)
{
    // The summary counts the requests of more routers than this one.
    if (summary_at_ && now - *summary_at_ <= summary_lifetime)
    {
        const auto found = summary_shares_.find(prefix);
        return found == summary_shares_.end() ? 0 : found->second;
    }
    expire_requests(now);
    const auto found = request_counts_.find(prefix);
    return found == request_counts_.end() ? 0 : share_of_count(found->second);
}

void traffic_monitor::count_request(time_point now, prefix_id prefix)
{
    expire_requests(now);
    if (requests_.size() >= max_counted_requests)
        return;
    requests_.push_back({now, prefix});
    ++request_counts_[prefix];
}

std::unordered_map<prefix_id, double>
traffic_monitor::recent_shares(time_point now) const
{
    std::unordered_map<prefix_id, double> result;
    if (requests_.size() < min_counted_requests)
        return result;
    const auto first = std::ranges::lower_bound(requests_, now - recent_window,
                                                {}, &counted_request::at);
    const auto total = static_cast<double>(requests_.end() - first);
    for (auto request = first; request != requests_.end(); ++request)
        ++result[request->prefix];
    std::erase_if(result, [](const auto& item)
                  { return item.second < min_recent_count; });
    for (auto& [prefix, count] : result)
        count /= total;
    return result;
}

void traffic_monitor::expire_loads(time_point now)
{
    std::erase_if(loads_, [now](const auto& item)
                  { return now - item.second.measured_at > max_summary_age; });
}

void traffic_monitor::expire_requests(time_point now)
{
    while (!requests_.empty() && now - requests_.front().at > request_window)
    {
        const auto found = request_counts_.find(requests_.front().prefix);
        if (--found->second == 0)
            request_counts_.erase(found);
        requests_.pop_front();
    }
}

double traffic_monitor::share_of_count(std::uint32_t count) const
{
    if (count < min_frequent_count || requests_.size() < min_counted_requests)
        return 0;
    return static_cast<double>(count) / static_cast<double>(requests_.size());
}

} // namespace baobabloft::dispatch

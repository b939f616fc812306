#include "baobabloft/dispatch/rollout_judge.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <set>
#include <span>
#include <vector>

namespace baobabloft::dispatch
{

namespace
{

constexpr std::size_t max_cells = 8192;
constexpr duration snapshot_period = 250ms;

/// A good version is condemned in fewer than one of 200 roll-outs: one of 500
/// by all evidence together, for which repeated looks do not add up, and one
/// of 1,000 by each of the windows, which are new about eight times.
struct evidence_window
{
    duration length;
    double threshold;
};
constexpr duration recent_window = 4s;
const std::array windows{
    evidence_window{max_duration, std::log(500.0)},
    evidence_window{recent_window, std::log(8000.0)},
    evidence_window{1500ms, std::log(8000.0)},
};
/// A condemned version has failed, or was slow, this often.
constexpr std::uint32_t min_bad_responses = 4;

/// Rates of failures of single upstreams of a good version, and how usual they
/// are: as the old version's, as one that loses more responses than others,
/// and as one that fails for reasons of its own.
constexpr double usual_weight = 0.6;
constexpr double lossy_weight = 0.25;
constexpr double extra_loss = 0.03;
constexpr std::array own_failure_rates{0.3, 0.5, 0.75, 1.0};
constexpr double own_failure_weight = 0.15 / own_failure_rates.size();
constexpr std::size_t class_count = 2 + own_failure_rates.size();
/// Shares of responses that fail, or are slow, at a bad version.
constexpr std::array bad_shares{0.05, 0.1, 0.2, 0.4, 0.7, 1.0};
/// The rate of failures that is expected of the old version before any
/// response, and the weight of an expected rate in responses.
constexpr double least_failure_rate = 0.003;
constexpr double expected_weight = 100;
/// An upstream with a cold cache is up to this many times slower.
constexpr double cold_factor = 3;
/// A version that is this many times slower is bad.
constexpr double slow_factor = 8;
constexpr double least_slow_rate = 0.02;
constexpr std::uint32_t min_old_responses = 100;

double clamp_rate(double rate)
{
    return std::clamp(rate, 1e-4, 0.995);
}

double log_sum(std::span<const double> terms)
{
    const double greatest = std::ranges::max(terms);
    double sum = 0;
    for (const double term : terms)
        sum += std::exp(term - greatest);
    return greatest + std::log(sum);
}

/// Bad responses of one upstream of the target on one route.
struct observation
{
    double responses = 0;
    double bad = 0;
};

using route_observations = std::map<std::uint32_t, observation>;
using observations = std::map<upstream_id, route_observations>;
using rates_by_route = std::map<std::uint32_t, double>;

/// Returns the logarithm of the probability of the observations, for each
/// class of upstreams mixed by its weight. `added_rate` returns the rate of a
/// route at which responses are bad in addition.
template <typename AddedRate>
double log_probability(const observations& seen, const rates_by_route& usual,
                       const AddedRate& added_rate)
{
    struct log_rates
    {
        std::array<double, class_count> bad{};
        std::array<double, class_count> good{};
    };
    std::map<std::uint32_t, log_rates> by_route;
    for (const auto& [route, rate] : usual)
    {
        std::array<double, class_count> rates{rate, rate + extra_loss};
        std::ranges::transform(own_failure_rates, rates.begin() + 2,
                               [rate = rate](double own)
                               { return std::max(own, rate); });
        const double added = added_rate(route);
        for (std::size_t index = 0; index < class_count; ++index)
        {
            const double bad =
                clamp_rate(1 - (1 - rates.at(index)) * (1 - added));
            by_route[route].bad.at(index) = std::log(bad);
            by_route[route].good.at(index) = std::log(1 - bad);
        }
    }
    double result = 0;
    for (const auto& [upstream, routes] : seen)
    {
        std::array<double, class_count> terms{};
        terms.fill(std::log(own_failure_weight));
        terms[0] = std::log(usual_weight);
        terms[1] = std::log(lossy_weight);
        for (const auto& [route, counts] : routes)
            for (std::size_t index = 0; index < class_count; ++index)
                terms.at(index) += counts.bad * by_route[route].bad.at(index) +
                                   (counts.responses - counts.bad) *
                                       by_route[route].good.at(index);
        result += log_sum(terms);
    }
    return result;
}

/// Returns the evidence that the version is bad on all routes, or on one.
/// `rates_if_good` are the possible rates of a good version; the one that fits
/// best counts. `bad_rate` returns the added rate of a route at a bad version
/// with a share of bad responses.
template <typename BadRate>
double log_ratio(const observations& seen,
                 std::span<const rates_by_route> rates_if_good,
                 const BadRate& bad_rate)
{
    std::set<std::uint32_t> routes;
    double bad = 0;
    for (const auto& [upstream, by_route] : seen)
        for (const auto& [route, counts] : by_route)
        {
            routes.insert(route);
            bad += counts.bad;
        }
    if (bad == 0 && routes.empty())
        return 0;
    const auto ratio_of = [&](const observations& part)
    {
        double if_good = -std::numeric_limits<double>::infinity();
        for (const auto& rates : rates_if_good)
            if_good = std::max(if_good, log_probability(part, rates,
                                                        [](std::uint32_t)
                                                        { return 0.0; }));
        std::array<double, bad_shares.size()> terms{};
        for (std::size_t index = 0; index < terms.size(); ++index)
            terms.at(index) = log_probability(
                part, rates_if_good.front(),
                [&](std::uint32_t route)
                { return bad_rate(route, bad_shares.at(index)); });
        return log_sum(terms) - std::log(terms.size()) - if_good;
    };
    std::vector<double> ratios{ratio_of(seen)};
    if (routes.size() > 1)
        for (const auto route : routes)
        {
            observations part;
            for (const auto& [upstream, by_route] : seen)
                if (const auto found = by_route.find(route);
                    found != by_route.end())
                    part[upstream][route] = found->second;
            ratios.push_back(ratio_of(part));
        }
    return log_sum(ratios) - std::log(ratios.size());
}

double failure_rate(const rollout_counts& old, double expected)
{
    return (old.failures + expected * expected_weight) /
           (old.responses + expected_weight);
}

/// Returns the share of the old version's responses above bound `bucket`, a
/// position between the bounds of buckets.
double share_above(const rollout_counts& counts, double bucket)
{
    const auto total =
        std::accumulate(counts.latencies.begin(), counts.latencies.end(), 0.0);
    double above = 0;
    for (std::size_t index = 0; index < counts.latencies.size(); ++index)
    {
        // Bucket `index` lies between the bounds index - 1 and index.
        const double part =
            std::clamp(static_cast<double>(index) - bucket, 0.0, 1.0);
        above += part * counts.latencies.at(index);
    }
    return total > 0 ? above / total : 0;
}

std::uint32_t responses_above(const rollout_counts& counts, std::size_t bucket)
{
    return std::accumulate(counts.latencies.begin() +
                               static_cast<std::ptrdiff_t>(bucket) + 1,
                           counts.latencies.end(), 0U);
}

/// Returns the bucket whose bound best separates a version that is slow from
/// one with a cold cache.
std::size_t slow_bound(const rollout_counts& old)
{
    std::size_t best = 0;
    double best_distance = -1;
    for (std::size_t bucket = 0; bucket + 1 < rollout_latency_buckets; ++bucket)
    {
        const auto bound = static_cast<double>(bucket);
        const double distance =
            share_above(old, bound - std::log2(slow_factor)) -
            share_above(old, bound - std::log2(cold_factor));
        // Of equal ones, that furthest from the old version's times.
        if (distance >= best_distance)
        {
            best = bucket;
            best_distance = distance;
        }
    }
    return best;
}

rollout_counts counts_of(const rollout_cell& cell)
{
    rollout_counts result{.responses = cell.responses,
                          .failures = cell.failures,
                          .latencies = {}};
    std::ranges::copy(cell.latencies, result.latencies.begin());
    return result;
}

} // namespace

rollout_counts& rollout_counts::operator+=(const rollout_counts& other)
{
    responses += other.responses;
    failures += other.failures;
    for (std::size_t index = 0; index < latencies.size(); ++index)
        latencies.at(index) += other.latencies.at(index);
    return *this;
}

rollout_counts& rollout_counts::operator-=(const rollout_counts& other)
{
    responses -= other.responses;
    failures -= other.failures;
    for (std::size_t index = 0; index < latencies.size(); ++index)
        latencies.at(index) -= other.latencies.at(index);
    return *this;
}

void rollout_judge::add_report(time_point now, router_id from,
                               const rollout_report& report)
{
    auto& known = reporters_[from];
    if (known.lifetime != report.lifetime)
    {
        // A delayed datagram of an earlier lifetime.
        if (known.former_lifetime == report.lifetime && report.lifetime != 0)
            return;
        known = {.lifetime = report.lifetime,
                 .former_lifetime = known.lifetime,
                 .at = now,
                 .cells = {}};
    }
    if (report.requests < known.requests)
        return;
    known.at = now;
    sums_.requests += report.requests - known.requests;
    known.requests = report.requests;
    if (report.target_requests > known.target_requests)
    {
        sums_.target_requests += report.target_requests - known.target_requests;
        known.target_requests = report.target_requests;
    }
    known.others_in_progress = report.others_in_progress;
    for (const auto& cell : report.cells)
    {
        const cell_key key{cell.route, cell.upstream};
        if (totals_.size() >= max_cells && !totals_.contains(key))
            continue;
        auto& last = known.cells[key];
        auto added = counts_of(cell);
        if (added.responses <= last.responses || added.failures < last.failures)
            continue;
        added -= last;
        last += added;
        totals_[key] += added;
        if (cell.upstream != upstream_id{})
        {
            sums_.target_responses += added.responses;
            sums_.target_failures += added.failures;
        }
    }
}

std::size_t rollout_judge::fresh_reporters(time_point now, duration age,
                                           bool moved_only) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        reporters_,
        [&](const auto& item)
        {
            return now - item.second.at <= age &&
                   (!moved_only || item.second.others_in_progress == 0);
        }));
}

rollout_judge::cell_counts rollout_judge::counts_since(time_point since) const
{
    auto result = totals_;
    const cell_counts* before = nullptr;
    for (const auto& [at, counts] : history_)
        if (at <= since)
            before = &counts;
    if (before != nullptr)
        for (const auto& [key, counts] : *before)
            result[key] -= counts;
    return result;
}

const rollout_evidence& rollout_judge::evaluate(time_point now)
{
    evidence_ = {.failures = 0, .slowness = 0, .excess = -1e9};
    // The old version's rates of failures since the order, to which those of
    // the last seconds tend as its requests get few.
    rates_by_route usual_rates;
    std::map<std::uint32_t, rollout_counts> old_times;
    for (const auto& window : windows)
    {
        const bool is_whole = window.length == max_duration;
        const auto cells =
            is_whole ? totals_ : counts_since(now - window.length);
        observations failures;
        observations slowness;
        rates_by_route failure_rates;
        std::map<std::uint32_t, std::size_t> bounds;
        std::array<rates_by_route, 3> slow_rates;
        std::uint32_t failed = 0;
        std::uint32_t slow = 0;
        for (const auto& [key, counts] : cells)
        {
            const auto& [route, upstream] = key;
            if (upstream == upstream_id{} || counts.responses == 0)
                continue;
            if (!failure_rates.contains(route))
            {
                const auto found = cells.find({route, upstream_id{}});
                const auto old =
                    found == cells.end() ? rollout_counts{} : found->second;
                failure_rates[route] = failure_rate(
                    old, is_whole ? least_failure_rate : usual_rates[route]);
                if (is_whole || old.responses >= min_old_responses)
                    old_times[route] = old;
                if (const auto& times = old_times[route];
                    times.responses - times.failures >= min_old_responses)
                {
                    const auto bound = slow_bound(times);
                    const auto position = static_cast<double>(bound);
                    const double warm =
                        share_above(times, position) + least_slow_rate;
                    const double cold = std::max(
                        warm,
                        share_above(times, position - std::log2(cold_factor)));
                    bounds[route] = bound;
                    slow_rates[0][route] = warm;
                    slow_rates[1][route] = (warm + cold) / 2;
                    slow_rates[2][route] = cold;
                }
                if (is_whole)
                    usual_rates[route] = failure_rates[route];
            }
            failures[upstream][route] = {static_cast<double>(counts.responses),
                                         static_cast<double>(counts.failures)};
            failed += counts.failures;
            if (const auto bound = bounds.find(route); bound != bounds.end())
            {
                const auto above = responses_above(counts, bound->second);
                slowness[upstream][route] = {
                    static_cast<double>(counts.responses - counts.failures),
                    static_cast<double>(above)};
                slow += above;
            }
        }
        const double failure_ratio =
            log_ratio(failures, std::span{&failure_rates, 1},
                      [](std::uint32_t, double share) { return share; });
        const double slow_ratio = log_ratio(
            slowness, slow_rates,
            [&](std::uint32_t route, double share)
            {
                return share * share_above(old_times[route],
                                           static_cast<double>(bounds[route]) -
                                               std::log2(slow_factor));
            });
        if (failed >= min_bad_responses)
            evidence_.excess =
                std::max(evidence_.excess, failure_ratio - window.threshold);
        if (slow >= min_bad_responses)
            evidence_.excess =
                std::max(evidence_.excess, slow_ratio - window.threshold);
        if (is_whole)
        {
            evidence_.failures = failure_ratio;
            evidence_.slowness = slow_ratio;
            slow_responses_ = slow;
        }
        else if (window.length == recent_window)
        {
            evidence_.failures = std::max(evidence_.failures, failure_ratio);
            evidence_.slowness = std::max(evidence_.slowness, slow_ratio);
        }
    }
    if (history_.empty() || now - history_.back().first >= snapshot_period)
        history_.emplace_back(now, totals_);
    while (history_.size() > 1 && now - history_[1].first >= recent_window)
        history_.pop_front();
    return evidence_;
}

} // namespace baobabloft::dispatch

#include "baobabloft/routing/load_table.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace baobabloft::routing
{

namespace
{

/// Loads older than this no longer count.
constexpr duration longest_age = 10s;
/// Loads up to this age are fresh.
constexpr duration fresh_age = 2s;
/// An upstream whose owner has fallen silent gets no new work, so that its load
/// falls: from this age on it is taken to fall at the pace of long requests.
constexpr duration steady_age = 1s;
constexpr double seconds_to_drain = 12;
/// Loads from which a mean is taken even if the service has many more.
constexpr std::size_t enough_loads = 16;

std::uint8_t to_steps(double value, double step)
{
    constexpr double most = 255;
    return static_cast<std::uint8_t>(
        std::clamp(std::round(value / step), 0.0, most));
}

double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

load_table::load_table(std::size_t upstreams)
    : known_(upstreams), open_(upstreams)
{
}

void load_table::set_admitted_count(std::size_t upstreams)
{
    open_ = upstreams;
}

void load_table::set_own_load(time_point now, std::uint16_t index, double load,
                              double first_token_ms)
{
    if (index < known_.size())
        known_[index] = {load, first_token_ms, now};
}

void load_table::merge(time_point now, const std::vector<load_entry>& entries)
{
    for (const auto& entry : entries)
    {
        if (entry.upstream_index >= known_.size())
            continue;
        auto& known = known_[entry.upstream_index];
        const auto at = now - entry.age_steps * load_entry_age_step;
        if (known.at && *known.at >= at)
            continue;
        known = {static_cast<double>(entry.load),
                 entry.first_token_steps * load_entry_first_token_step_ms, at};
    }
}

void load_table::remove(std::uint16_t index)
{
    if (index < known_.size())
        known_[index].at.reset();
}

std::vector<load_entry> load_table::freshest(time_point now,
                                             std::size_t limit) const
{
    std::vector<std::uint16_t> order;
    for (std::size_t index = 0; index < known_.size(); ++index)
        if (known_[index].at && now - *known_[index].at < longest_age)
            order.push_back(static_cast<std::uint16_t>(index));
    const auto kept = std::min(limit, order.size());
    std::partial_sort(order.begin(),
                      order.begin() + static_cast<std::ptrdiff_t>(kept),
                      order.end(),
                      [this](std::uint16_t left, std::uint16_t right)
                      { return *known_[left].at > *known_[right].at; });
    std::vector<load_entry> result;
    for (std::size_t place = 0; place < kept; ++place)
    {
        const auto& known = known_[order[place]];
        const auto age = now - *known.at;
        result.push_back(
            {.upstream_index = order[place],
             .load = static_cast<std::uint16_t>(known.load),
             .age_steps =
                 to_steps(to_seconds(age), to_seconds(load_entry_age_step)),
             .first_token_steps = to_steps(known.first_token_ms,
                                           load_entry_first_token_step_ms)});
    }
    return result;
}

service_load load_table::summary(time_point now) const
{
    double fresh_sum = 0;
    std::size_t fresh_count = 0;
    double sum = 0;
    double least = std::numeric_limits<double>::max();
    std::size_t count = 0;
    std::vector<double> first_tokens;
    for (const auto& known : known_)
    {
        if (!known.at || now - *known.at >= longest_age)
            continue;
        const double silent_s =
            std::max(to_seconds(now - *known.at - steady_age), 0.0);
        sum += known.load * std::max(1 - silent_s / seconds_to_drain, 0.0);
        if (now - *known.at <= fresh_age)
        {
            fresh_sum += known.load;
            ++fresh_count;
        }
        least = std::min(least, known.load);
        ++count;
        if (known.first_token_ms > 0)
            first_tokens.push_back(known.first_token_ms);
    }
    if (count == 0)
        return {};
    // A new owner that has heard of a few upstreams only must not take a high
    // load among them for the mean.
    const bool few = 2 * count < std::min(open_, enough_loads);
    double mean = few ? least : sum / static_cast<double>(count);
    // In a large service most loads are old when they arrive; enough fresh ones
    // say more than all of them.
    if (fresh_count >= enough_loads)
        mean = fresh_sum / static_cast<double>(fresh_count);
    return {mean, mean * static_cast<double>(open_),
            median(std::move(first_tokens))};
}

} // namespace baobabloft::routing

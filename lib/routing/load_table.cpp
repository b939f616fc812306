// Aggregation of the upstream loads of one service.
#include "baobabloft/routing/load_table.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace baobabloft::routing
{

namespace
{

/// Loads older than this are ignored.
constexpr duration max_age = 10s;
/// Loads up to this age are fresh.
constexpr duration fresh_age = 2s;
/// An upstream whose owner does not respond gets no new work, so that its load
/// falls. From this age on, a load is assumed to fall linearly to 0 within
/// `drain_seconds`, about as fast as long requests end.
constexpr duration extrapolation_age = 1s;
constexpr double drain_seconds = 12;
/// This many loads are enough for a mean, even if the service has many more
/// upstreams.
constexpr std::size_t sufficient_loads = 16;

std::uint8_t to_steps(double value, double step)
{
    constexpr double max_steps = 255;
    return static_cast<std::uint8_t>(
        std::clamp(std::round(value / step), 0.0, max_steps));
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

load_table::load_table(std::size_t upstream_count)
    : known_loads_(upstream_count), admitted_count_(upstream_count)
{
}

void load_table::set_admitted_count(std::size_t upstream_count)
{
    admitted_count_ = upstream_count;
}

void load_table::set_own_load(time_point now, std::uint16_t upstream_index,
                              double load, double first_token_ms)
{
    if (upstream_index < known_loads_.size())
        known_loads_[upstream_index] = {load, first_token_ms, now};
}

void load_table::merge(time_point now, const std::vector<load_entry>& entries)
{
    for (const auto& entry : entries)
    {
        if (entry.upstream_index >= known_loads_.size())
            continue;
        auto& known = known_loads_[entry.upstream_index];
        const auto measured_at = now - entry.age_steps * load_entry_age_step;
        if (known.measured_at && *known.measured_at >= measured_at)
            continue;
        known = {static_cast<double>(entry.load),
                 entry.first_token_steps * load_entry_first_token_step_ms,
                 measured_at};
    }
}

void load_table::remove(std::uint16_t upstream_index)
{
    if (upstream_index < known_loads_.size())
        known_loads_[upstream_index].measured_at.reset();
}

std::vector<load_entry> load_table::freshest(time_point now,
                                             std::size_t limit) const
{
    std::vector<std::uint16_t> order;
    for (std::size_t index = 0; index < known_loads_.size(); ++index)
        if (known_loads_[index].measured_at &&
            now - *known_loads_[index].measured_at < max_age)
            order.push_back(static_cast<std::uint16_t>(index));
    const auto selected_count = std::min(limit, order.size());
    std::partial_sort(order.begin(),
                      order.begin() +
                          static_cast<std::ptrdiff_t>(selected_count),
                      order.end(),
                      [this](std::uint16_t left, std::uint16_t right) {
                          return *known_loads_[left].measured_at >
                                 *known_loads_[right].measured_at;
                      });
    std::vector<load_entry> result;
    for (std::size_t rank = 0; rank < selected_count; ++rank)
    {
        const auto& known = known_loads_[order[rank]];
        const auto age = now - *known.measured_at;
        result.push_back(
            {.upstream_index = order[rank],
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
    double lowest = std::numeric_limits<double>::max();
    std::size_t count = 0;
    std::vector<double> first_tokens;
    for (const auto& known : known_loads_)
    {
        if (!known.measured_at || now - *known.measured_at >= max_age)
            continue;
        const double overdue_s = std::max(
            to_seconds(now - *known.measured_at - extrapolation_age), 0.0);
        sum += known.load * std::max(1 - overdue_s / drain_seconds, 0.0);
        if (now - *known.measured_at <= fresh_age)
        {
            fresh_sum += known.load;
            ++fresh_count;
        }
        lowest = std::min(lowest, known.load);
        ++count;
        if (known.first_token_ms > 0)
            first_tokens.push_back(known.first_token_ms);
    }
    if (count == 0)
        return {};
    // A new owner that knows the loads of only a few upstreams must not use a
    // high load among them as the mean.
    const bool too_few =
        2 * count < std::min(admitted_count_, sufficient_loads);
    double mean = too_few ? lowest : sum / static_cast<double>(count);
    // In a large service most loads are old when they arrive, so that the mean
    // of enough fresh loads is more accurate than the mean of all.
    if (fresh_count >= sufficient_loads)
        mean = fresh_sum / static_cast<double>(fresh_count);
    return {mean, mean * static_cast<double>(admitted_count_),
            median(std::move(first_tokens))};
}

} // namespace baobabloft::routing

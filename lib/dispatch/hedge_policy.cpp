#include "baobabloft/dispatch/hedge_policy.hpp"

#include <boost/histogram/make_histogram.hpp>

namespace baobabloft::dispatch
{

namespace
{

/// Range of the times that are distinguished, in seconds, and number of bins:
/// neighbouring bins differ by a tenth.
constexpr double min_time_s = 0.001;
constexpr double max_time_s = 100;
constexpr unsigned bin_count = 120;
/// Share of the permitted extra requests that the slow ones are to use. The
/// rest covers times in which more requests are slow.
constexpr double used_share = 0.75;
/// Samples from which a distribution is known.
constexpr double min_weight = 20;
/// With this number of samples beyond the delay, older samples lose half of
/// their weight.
constexpr double max_slow_samples = 10;
/// Weight of the newest request in the moving average of slow ones.
constexpr double slow_weight = 0.1;
/// A route whose share of slow requests exceeds twice the expected one by this
/// is slow at all of its upstreams.
constexpr double all_slow_margin = 0.2;
/// Times that last for this long after such a shift count as the usual ones.
constexpr duration learning_time = 60s;
/// Routes that are remembered. Configurations that rename routes add to them.
constexpr std::size_t max_routes = 4096;

} // namespace

hedge_policy::route_state::route_state()
    : times(boost::histogram::make_histogram_with(
          std::vector<double>{}, time_axis{bin_count, min_time_s, max_time_s}))
{
}

hedge_policy::hedge_policy(double max_share) : max_share_(max_share) {}

void hedge_policy::set_max_share(double max_share)
{
    max_share_ = max_share;
    if (!is_enabled())
        routes_.clear();
}

bool hedge_policy::is_enabled() const
{
    return max_share_ > 0;
}

double hedge_policy::slow_target() const
{
    return used_share * max_share_;
}

hedge_policy::route_state& hedge_policy::state_of(const std::string& route)
{
    if (routes_.size() >= max_routes && !routes_.contains(route))
        routes_.clear();
    return routes_[route];
}

std::optional<duration> hedge_policy::delay_of(time_point now,
                                               const std::string& route) const
{
    const auto found = routes_.find(route);
    if (!is_enabled() || found == routes_.end())
        return std::nullopt;
    const auto& state = found->second;
    if (now < state.learns_until || state.weight < min_weight)
        return std::nullopt;
    double beyond = slow_target() * state.weight;
    const auto& axis = state.times.axis();
    // From the longest times down; bin -1 holds those below the range.
    for (int bin = axis.size(); bin >= 0; --bin)
    {
        beyond -= state.times.at(bin);
        // Beyond the range no time can be given.
        if (beyond < 0)
            return bin == axis.size()
                       ? std::nullopt
                       : std::optional{from_seconds(axis.bin(bin).upper())};
    }
    return from_seconds(min_time_s);
}

void hedge_policy::add_time(route_state& state, duration elapsed) const
{
    state.times(to_seconds(elapsed));
    state.weight += 1;
    if (state.weight * slow_target() <= max_slow_samples)
        return;
    state.times *= 0.5;
    state.weight *= 0.5;
}

void hedge_policy::record_slow(time_point now, const std::string& route)
{
    auto& state = state_of(route);
    state.slow_share += slow_weight * (1 - state.slow_share);
    if (state.slow_share <= 2 * slow_target() + all_slow_margin)
        return;
    // The route is slow as a whole: its times are learnt anew.
    state = {};
    state.learns_until = now + learning_time;
}

void hedge_policy::record_first_byte(const std::string& route, duration elapsed,
                                     bool was_slow)
{
    auto& state = state_of(route);
    add_time(state, elapsed);
    if (was_slow)
        return;
    state.slow_share -= slow_weight * state.slow_share;
    state.responds_in_time = true;
}

void hedge_policy::record_cancelled(const std::string& route, duration elapsed)
{
    add_time(state_of(route), elapsed);
}

bool hedge_policy::permits_hedge(time_point now, const std::string& route) const
{
    const auto found = routes_.find(route);
    return found != routes_.end() && now >= found->second.learns_until &&
           found->second.responds_in_time;
}

void hedge_policy::record_hedge(const std::string& route)
{
    state_of(route).responds_in_time = false;
}

} // namespace baobabloft::dispatch

#include "baobabloft/dispatch/upstream_selector.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <cmath>

namespace baobabloft::dispatch
{

namespace
{

/// An upstream above this multiple of the mean plus a slack gets nothing while
/// others have room. Below the users' bound of twice the mean plus 3, since
/// other routers' requests are known late. Requests with a short prefix move
/// first: little is read again for them.
constexpr double load_multiple = 1.0;
constexpr double least_slack = 3.3;
constexpr double most_slack = 3.8;
/// Slack above the mean of the usable upstreams that is always left, so that a
/// service with many set aside still spreads its load.
constexpr double usable_slack = 1;
/// Prefix length from which a request has the most slack.
constexpr double long_prefix_tokens = 6000;
/// A load that was told longer ago than this says little.
constexpr duration told_lifetime = 3000ms;
/// Load that is assumed for each request sent since then: what one router
/// sends to an upstream, others send to it as well.
constexpr double unseen_factor = 3;
/// Load that one hop to another data centre is worth for plain services.
constexpr double distance_cost = 2.5;

/// Pauses before an upstream is tried again, first and at most.
constexpr duration unreachable_pause = 400ms;
constexpr duration max_unreachable_pause = 3s;
constexpr duration failure_pause = 700ms;
constexpr duration max_failure_pause = 3s;
constexpr duration declined_pause = 80ms;
constexpr duration max_declined_pause = 500ms;
/// Weight of the newest answer in the share of failures.
constexpr double failure_weight = 0.15;
/// Share of failures from which an upstream is avoided.
constexpr double failure_limit = 0.45;
constexpr std::uint32_t failure_row_limit = 3;

/// Part of the cold bound that all routers use together.
constexpr double cold_used_part = 0.6;
/// Requests per second of one router that is chosen for a cold upstream.
constexpr double cold_router_rate = 3;
/// Before this age the number of routers is not known well.
constexpr duration fleet_known_after = 4s;

} // namespace

upstream_selector::upstream_selector(
    const directory::directory_state& directory, selector_options options,
    room_lookup has_room)
    : directory_(directory), options_(std::move(options)),
      has_room_(std::move(has_room))
{
}

double upstream_selector::load_of(time_point now, const standing& state) const
{
    double load = state.in_progress;
    if (state.told && now - state.told_at < told_lifetime)
        load = std::max(load, state.told->running + state.told->waiting +
                                  unseen_factor * state.sent_since_told);
    return load;
}

bool upstream_selector::is_cold(time_point now, const upstream_want& want,
                                const directory::known_upstream& item) const
{
    return want.service->cold_per_second > 0 && item.cold_until > now;
}

std::vector<upstream_selector::option>
upstream_selector::usable(time_point now, const upstream_want& want,
                          std::size_t& listed)
{
    std::vector<option> result;
    listed = 0;
    for (const auto& [id, item] : directory_.upstreams())
    {
        if (item.record.service != want.service->name)
            continue;
        ++listed;
        if (item.record.draining || directory_.is_out(item.record.data_centre))
            continue;
        auto& state = standings_[id];
        result.push_back({&item, &state, load_of(now, state)});
    }
    return result;
}

bool upstream_selector::cold_has_room(time_point now, const upstream_want& want,
                                      const option& item) const
{
    const auto routers = std::max<std::size_t>(directory_.routers().size(), 1);
    const double bound = cold_used_part * (want.service->cold_per_second *
                                               options_.cold.overrun +
                                           options_.cold.slack);
    const bool fleet_known = now - options_.started > fleet_known_after;
    double share = fleet_known ? bound / static_cast<double>(routers) : 1;
    if (fleet_known && share < cold_router_rate)
    {
        // Too many routers to give each a share: a few are chosen.
        const auto chosen = static_cast<std::size_t>(bound / cold_router_rate);
        const auto key = hash_bytes(item.upstream->record.id);
        const auto own = rendezvous_score(key, hash_bytes(options_.router));
        std::size_t before = 0;
        for (const auto& [name, address] : directory_.routers())
            if (rendezvous_score(key, hash_bytes(name)) > own)
                ++before;
        if (before >= chosen)
            return false;
        share = cold_router_rate;
    }
    return item.state->cold_sends.total(now) + 1 <= std::floor(share);
}

void upstream_selector::rank_by_affinity(std::uint64_t affinity,
                                         std::vector<option>& options)
{
    for (auto& item : options)
        item.preference =
            rendezvous_score(affinity, hash_bytes(item.upstream->record.id));
    std::sort(options.begin(), options.end(),
              [](const option& left, const option& right)
              { return left.preference > right.preference; });
}

void upstream_selector::rank_by_cost(std::vector<option>& options) const
{
    const auto cost = [this](const option& item)
    {
        const bool here =
            item.upstream->record.data_centre == options_.data_centre;
        return item.load + (here ? 0 : distance_cost);
    };
    std::sort(options.begin(), options.end(),
              [&](const option& left, const option& right)
              { return cost(left) < cost(right); });
}

selection upstream_selector::choose(time_point now, const upstream_want& want)
{
    std::size_t listed = 0;
    auto options = usable(now, want, listed);
    if (options.empty())
        return {};
    double sum = 0;
    for (const auto& item : options)
        sum += item.load;
    const double mean = sum / static_cast<double>(options.size());
    // The users' bound refers to all upstreams of the service, those included
    // that are set aside and idle.
    const double mean_of_all = sum / static_cast<double>(listed);
    const double slack =
        least_slack +
        (most_slack - least_slack) *
            std::min(1.0, want.shared_tokens / long_prefix_tokens);
    const double limit = std::max(load_multiple * mean_of_all + slack,
                                  load_multiple * mean + usable_slack);

    const bool spread = !want.affinity.has_value();
    if (spread)
        rank_by_cost(options);
    else
        rank_by_affinity(*want.affinity, options);

    const auto tried = [&](const option& item)
    {
        return std::find(want.avoid.begin(), want.avoid.end(),
                         item.upstream->record.id) != want.avoid.end();
    };
    const auto pick = [&](const option& item, choice how)
    {
        return selection{how, item.upstream, item.load, mean};
    };

    const option* cold = nullptr;
    const option* over = nullptr;
    const option* failing = nullptr;
    bool any_room = false;
    for (const auto& item : options)
    {
        if (tried(item) || !has_room_(*item.upstream, *want.service))
            continue;
        any_room = true;
        const bool first = &item == &options.front();
        if (item.state->avoid_until > now)
        {
            if (failing == nullptr ||
                item.state->avoid_until < failing->state->avoid_until)
                failing = &item;
            continue;
        }
        // One request at a time finds out whether an upstream has recovered.
        if (item.state->backoff > duration{0} &&
            (item.state->in_progress > 0 || !want.is_repeatable))
        {
            if (failing == nullptr)
                failing = &item;
            continue;
        }
        if (is_cold(now, want, *item.upstream))
        {
            if (cold == nullptr && cold_has_room(now, want, item))
                cold = &item;
            continue;
        }
        if (!spread && item.load > limit)
        {
            if (over == nullptr || item.load < over->load)
                over = &item;
            continue;
        }
        return pick(item, first ? choice::preferred : choice::other);
    }
    if (over != nullptr)
        return pick(*over, choice::last_resort);
    if (cold != nullptr)
        return pick(*cold, choice::cold);
    if (failing != nullptr && (!is_cold(now, want, *failing->upstream) ||
                               cold_has_room(now, want, *failing)))
        return pick(*failing, choice::last_resort);
    // Every upstream was tried, is full of connections, or is cold.
    return {any_room ? choice::all_busy : choice::no_upstream, nullptr, 0,
            mean};
}

void upstream_selector::count_sent(time_point now, const std::string& id)
{
    auto& state = standings_[id];
    ++state.in_progress;
    ++state.sent_since_told;
    state.cold_sends.add(now);
}

void upstream_selector::count_done(const std::string& id)
{
    const auto found = standings_.find(id);
    if (found != standings_.end() && found->second.in_progress > 0)
        --found->second.in_progress;
}

void upstream_selector::told(time_point now, const std::string& id,
                             const told_load& load)
{
    auto& state = standings_[id];
    state.told = load;
    state.told_at = now;
    state.sent_since_told = 0;
}

void upstream_selector::succeeded(time_point /*now*/, const std::string& id)
{
    auto& state = standings_[id];
    state.failure_share *= 1 - failure_weight;
    state.failures_in_row = 0;
    state.backoff = duration{0};
    state.avoid_until = {};
}

void upstream_selector::avoid(time_point now, standing& state, duration first,
                              duration most)
{
    state.backoff = std::clamp(state.backoff * 2, first, most);
    state.avoid_until = now + state.backoff;
}

void upstream_selector::failed(time_point now, const std::string& id)
{
    auto& state = standings_[id];
    state.failure_share =
        state.failure_share * (1 - failure_weight) + failure_weight;
    ++state.failures_in_row;
    if (state.failures_in_row >= failure_row_limit ||
        state.failure_share > failure_limit)
        avoid(now, state, failure_pause, max_failure_pause);
}

void upstream_selector::declined(time_point now, const std::string& id)
{
    avoid(now, standings_[id], declined_pause, max_declined_pause);
}

void upstream_selector::unreachable(time_point now, const std::string& id)
{
    avoid(now, standings_[id], unreachable_pause, max_unreachable_pause);
}

void upstream_selector::forget_gone()
{
    std::erase_if(standings_,
                  [this](const auto& item)
                  {
                      return item.second.in_progress == 0 &&
                             !directory_.upstreams().contains(item.first);
                  });
}

void upstream_selector::set_cold_bound(const cold_bound& bound)
{
    options_.cold = bound;
}

} // namespace baobabloft::dispatch

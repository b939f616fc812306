#include "baobabloft/dispatch/upstream_selector.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace baobabloft::dispatch
{

namespace
{

/// An upstream above this multiple of the mean plus a slack gets nothing while
/// others have room. Below the users' bound of twice the mean plus 3, since
/// other routers' requests are known late. Requests with a short prefix move
/// first: little is read again for them.
constexpr double load_multiple = 1.5;
constexpr double least_slack = 2.5;
constexpr double most_slack = 3.0;
/// Slack above the mean of the usable upstreams that is always left, so that a
/// service with many set aside still spreads its load.
constexpr double usable_slack = 1;
/// Prefix length from which a request has the most slack.
constexpr double long_prefix_tokens = 6000;
/// Other routers' load on an upstream is a moving average of what it told less
/// this router's own part, over this time.
constexpr double others_average_s = 1;
/// Least weight of the newest value in that average.
constexpr double least_weight = 0.1;
/// Time in which a part of 1/e of it is left if the upstream tells nothing.
constexpr double others_decay_s = 10;
/// Others' requests count for more than what was told: in a large fleet each
/// router hears of an upstream seldom, and the loads that grow are missed.
constexpr double others_factor = 1.3;
/// A new upstream takes over its share of the prefixes over this time, or as
/// far as the mean load reaches that at which it is needed at once.
constexpr double takeover_s = 60;
constexpr double needed_at_mean = 1;
constexpr double least_takeover = 0.01;
/// An upstream that has the prefix cached as well is taken if it has this much
/// less load than the preferred one.
constexpr double relief = 1.5;
/// Most preferred upstreams between which routers divide a prefix while they
/// have not heard of the first: a fleet that starts under load knows no loads.
constexpr std::size_t unheard_width = 3;
/// Prefixes with the upstreams that read them lately, and for how long.
constexpr std::size_t remembered_prefixes = 2048;
constexpr duration prefix_lifetime = 10s;
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

/// Returns the share of an upstream's prefixes that it has taken over, 0 to 1.
double takeover_share(time_point now, const directory::known_upstream& item,
                      double mean_load)
{
    const double age = to_seconds(now - item.first_seen);
    return std::clamp(std::max(age / takeover_s, mean_load / needed_at_mean),
                      least_takeover, 1.0);
}

/// Names a prefix at an upstream.
chat_id prefix_at(std::uint64_t affinity,
                  const directory::known_upstream& upstream)
{
    return chat_id{hash_combine(affinity, upstream.id_hash)};
}

} // namespace

upstream_selector::upstream_selector(
    const directory::directory_state& directory, selector_options options,
    capacity_check has_capacity)
    : directory_(directory), options_(std::move(options)),
      has_capacity_(std::move(has_capacity)),
      cached_(remembered_prefixes, prefix_lifetime)
{
}

double upstream_selector::load_of(time_point now, const standing& state) const
{
    const double own = state.in_progress;
    if (!state.told_at)
        return own;
    const double age = to_seconds(now - *state.told_at);
    const double others = state.others * std::exp(-age / others_decay_s);
    // Where others send as well, they send more when this router does.
    return own + others_factor * others + std::min(own, others);
}

bool upstream_selector::is_cold(time_point now, const upstream_query& query,
                                const directory::known_upstream& item) const
{
    return query.service->cold_requests_per_second > 0 && item.cold_until > now;
}

std::vector<upstream_selector::option>
upstream_selector::usable(time_point now, const upstream_query& query,
                          load_means& means)
{
    std::vector<option> result;
    double sum = 0;
    std::size_t listed = 0;
    for (const auto& [id, item] : directory_.upstreams())
    {
        if (item.record.service != query.service->name)
            continue;
        ++listed;
        if (item.record.draining ||
            directory_.is_out_of_service(item.record.data_centre))
            continue;
        auto& state = standings_[id];
        result.push_back({&item, &state, load_of(now, state)});
        sum += result.back().load;
    }
    if (!result.empty())
        means = {sum / static_cast<double>(result.size()),
                 sum / static_cast<double>(listed)};
    return result;
}

bool upstream_selector::cold_has_room(time_point now,
                                      const upstream_query& query,
                                      const option& item) const
{
    const auto routers = std::max<std::size_t>(directory_.routers().size(), 1);
    const double bound =
        cold_used_part *
        (query.service->cold_requests_per_second * options_.cold_limit.overrun +
         options_.cold_limit.slack);
    const bool fleet_known = now - options_.started > fleet_known_after;
    double share = fleet_known ? bound / static_cast<double>(routers) : 1;
    if (fleet_known && share < cold_router_rate)
    {
        // Too many routers to give each a share: a few are chosen.
        const auto chosen = static_cast<std::size_t>(bound / cold_router_rate);
        const auto key = item.upstream->id_hash;
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

void upstream_selector::rank_by_affinity(time_point now, std::uint64_t affinity,
                                         double mean,
                                         std::vector<option>& options)
{
    for (auto& item : options)
    {
        const auto& known = *item.upstream;
        item.preference = weighted_rendezvous_score(
            affinity, known.id_hash, takeover_share(now, known, mean));
    }
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

double upstream_selector::load_limit(const upstream_query& query,
                                     const load_means& means)
{
    const double slack =
        least_slack +
        (most_slack - least_slack) *
            std::min(1.0, query.prefix_tokens / long_prefix_tokens);
    return std::max(load_multiple * means.of_listed + slack,
                    load_multiple * means.of_usable + usable_slack);
}

upstream_selector::fitness upstream_selector::judge(time_point now,
                                                    const upstream_query& query,
                                                    const option& item,
                                                    double limit) const
{
    const auto& state = *item.state;
    const auto& id = item.upstream->record.id;
    if (std::find(query.excluded_ids.begin(), query.excluded_ids.end(), id) !=
            query.excluded_ids.end() ||
        !has_capacity_(*item.upstream, *query.service))
        return fitness::excluded;
    // One request at a time finds out whether an upstream has recovered.
    const bool on_trial = state.backoff > duration{0};
    if (state.avoid_until > now ||
        (on_trial && (state.in_progress > 0 || !query.is_repeatable)))
        return fitness::failing;
    if (is_cold(now, query, *item.upstream))
        return cold_has_room(now, query, item) ? fitness::cold
                                               : fitness::cold_and_full;
    return item.load > limit ? fitness::over : fitness::fit;
}

const upstream_selector::option*
upstream_selector::relieve(time_point now, std::uint64_t affinity,
                           std::span<const option* const> fit, bool is_first)
{
    const auto has_prefix = [&](const option* item)
    {
        return cached_.contains(now, prefix_at(affinity, *item->upstream));
    };
    const option* holder = nullptr;
    for (const auto* item : fit.subspan(1))
        if (has_prefix(item) &&
            (holder == nullptr || item->load < holder->load))
            holder = item;
    const auto* first = fit.front();
    if (holder == nullptr)
        return first;
    // A request that leaves its preferred upstream goes where its prefix is.
    const bool moves_anyway = !is_first && !has_prefix(first);
    return moves_anyway || holder->load + relief <= first->load ? holder
                                                                : first;
}

void upstream_selector::spread_unheard(std::uint64_t affinity,
                                       std::span<const option*> fit) const
{
    const auto& first = *fit.front();
    // One that joined since the router started is known to have begun idle.
    const bool is_new = first.upstream->first_seen != time_point{};
    if (first.state->told_at || is_new)
        return;
    const auto key = hash_bytes(options_.router, affinity);
    const auto score = [key](const option* item)
    {
        return rendezvous_score(key, item->upstream->id_hash);
    };
    const auto top = fit.first(std::min(unheard_width, fit.size()));
    std::swap(fit.front(), *std::ranges::max_element(top, {}, score));
}

const directory::known_upstream*
upstream_selector::find_source(time_point now, std::uint64_t affinity,
                               const directory::known_upstream& chosen) const
{
    if (cached_.contains(now, prefix_at(affinity, chosen)))
        return nullptr;
    const directory::known_upstream* best = nullptr;
    double best_score = 0;
    for (const auto& [id, item] : directory_.upstreams())
    {
        if (&item == &chosen || item.record.service != chosen.record.service ||
            directory_.is_out_of_service(item.record.data_centre) ||
            item.cold_until > now)
            continue;
        // Known holders go before likely ones.
        const bool is_known = cached_.contains(now, prefix_at(affinity, item));
        const double score =
            weighted_rendezvous_score(affinity, item.id_hash,
                                      takeover_share(now, item, 0)) +
            (is_known ? 1 : 0);
        if (score <= best_score)
            continue;
        const auto state = standings_.find(id);
        if (state != standings_.end() && state->second.avoid_until > now)
            continue;
        best = &item;
        best_score = score;
    }
    return best;
}

selection upstream_selector::choose(time_point now, const upstream_query& query)
{
    load_means means;
    auto options = usable(now, query, means);
    if (options.empty())
        return {};
    if (query.affinity)
        rank_by_affinity(now, *query.affinity, means.of_usable, options);
    else
        rank_by_cost(options);
    const double limit = query.affinity
                             ? load_limit(query, means)
                             : std::numeric_limits<double>::infinity();

    std::vector<const option*> fit;
    const option* over = nullptr;
    const option* cold = nullptr;
    const option* failing = nullptr;
    bool any_room = false;
    for (const auto& item : options)
    {
        const auto how = judge(now, query, item, limit);
        any_room = any_room || how != fitness::excluded;
        if (how == fitness::fit)
            fit.push_back(&item);
        else if (how == fitness::over &&
                 (over == nullptr || item.load < over->load))
            over = &item;
        else if (how == fitness::cold && cold == nullptr)
            cold = &item;
        else if (how == fitness::failing &&
                 (failing == nullptr ||
                  item.state->avoid_until < failing->state->avoid_until))
            failing = &item;
    }
    const auto pick = [&](const option& item, choice how)
    {
        selection result{how, item.upstream, nullptr, item.load,
                         means.of_usable};
        if (!query.affinity)
            return result;
        result.prefix_source =
            find_source(now, *query.affinity, *item.upstream);
        cached_.insert(now, prefix_at(*query.affinity, *item.upstream));
        return result;
    };
    if (!fit.empty())
    {
        if (query.affinity)
            spread_unheard(*query.affinity, fit);
        const bool is_first = fit.front() == &options.front();
        const auto& best = query.affinity
                               ? *relieve(now, *query.affinity, fit, is_first)
                               : *fit.front();
        return pick(best, &best == &options.front() ? choice::preferred
                                                    : choice::other);
    }
    if (over != nullptr)
        return pick(*over, choice::last_resort);
    if (cold != nullptr)
        return pick(*cold, choice::cold);
    if (failing != nullptr && (!is_cold(now, query, *failing->upstream) ||
                               cold_has_room(now, query, *failing)))
        return pick(*failing, choice::last_resort);
    // Every upstream was tried, is full of connections, or is cold.
    return {any_room ? choice::all_busy : choice::no_upstream, nullptr, nullptr,
            0, means.of_usable};
}

void upstream_selector::record_sent(time_point now, const std::string& id)
{
    auto& state = standings_[id];
    ++state.in_progress;
    state.cold_sends.add(now);
}

void upstream_selector::record_done(const std::string& id)
{
    const auto found = standings_.find(id);
    if (found != standings_.end() && found->second.in_progress > 0)
        --found->second.in_progress;
}

void upstream_selector::record_load(time_point now, const std::string& id,
                                    const reported_load& load)
{
    auto& state = standings_[id];
    const double sum = load.running + load.waiting;
    const double others = std::max(sum - state.in_progress, 0.0);
    double weight = 1;
    if (state.told_at)
        weight = std::max(
            1 - std::exp(-to_seconds(now - *state.told_at) / others_average_s),
            least_weight);
    state.others += weight * (others - state.others);
    state.told_at = now;
}

void upstream_selector::record_success(time_point /*now*/,
                                       const std::string& id)
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

void upstream_selector::record_failure(time_point now, const std::string& id)
{
    auto& state = standings_[id];
    state.failure_share =
        state.failure_share * (1 - failure_weight) + failure_weight;
    ++state.failures_in_row;
    if (state.failures_in_row >= failure_row_limit ||
        state.failure_share > failure_limit)
        avoid(now, state, failure_pause, max_failure_pause);
}

void upstream_selector::record_decline(time_point now, const std::string& id)
{
    avoid(now, standings_[id], declined_pause, max_declined_pause);
}

void upstream_selector::record_unreachable(time_point now,
                                           const std::string& id)
{
    avoid(now, standings_[id], unreachable_pause, max_unreachable_pause);
}

void upstream_selector::forget_removed_upstreams()
{
    std::erase_if(standings_,
                  [this](const auto& item)
                  {
                      return item.second.in_progress == 0 &&
                             !directory_.upstreams().contains(item.first);
                  });
}

void upstream_selector::set_cold_start_limit(const cold_start_limit& bound)
{
    options_.cold_limit = bound;
}

} // namespace baobabloft::dispatch

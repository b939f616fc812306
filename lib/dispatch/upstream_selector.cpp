#include "baobabloft/dispatch/upstream_selector.hpp"

#include "baobabloft/dispatch/affinity_rule.hpp"
#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace baobabloft::dispatch
{

namespace
{

/// An upstream whose load is above this multiple of the mean plus a slack gets
/// no requests while others have spare capacity. This limit is lower than the
/// bound that users rely on, twice the mean plus 3, because other routers'
/// requests are known late. Requests with a short prefix have the smaller slack
/// and move to another upstream first, since it has little to process again for
/// them.
constexpr double load_multiple = 1.5;
constexpr double min_slack = 2.5;
constexpr double max_slack = 3.0;
/// Slack above load_multiple times the mean of the usable upstreams that is
/// always left, so that a service with many upstreams out of service still
/// spreads its load.
constexpr double usable_slack = 1;
/// Prefix length from which a request has the full slack.
constexpr double long_prefix_tokens = 6000;
/// Time constant of the moving average of other routers' load on an upstream:
/// the reported load less this router's own requests.
constexpr double others_average_time_constant_s = 1;
/// Minimum weight of the newest report in that average.
constexpr double min_report_weight = 0.1;
/// Time in which that average decays to 1/e if the upstream reports no load.
constexpr double others_decay_s = 10;
/// Other routers' requests count for more than was reported: in a large fleet
/// each router rarely gets a report from an upstream and misses loads that
/// grow.
constexpr double others_factor = 1.3;
/// A new upstream gradually takes over its share of the prefixes during this
/// time, or sooner in proportion to the mean load.
constexpr double takeover_period_s = 60;
/// Mean load from which a new upstream takes its full share at once.
constexpr double full_takeover_mean_load = 1;
constexpr double min_takeover_share = 0.01;
/// Another upstream that has the prefix cached is chosen if its load is lower
/// than the preferred one's by at least this.
constexpr double cached_load_advantage = 1.5;
/// Number of the most preferred upstreams among which a faster one is sought,
/// so that the requests with a prefix stay with few.
constexpr std::size_t max_fast_options = 4;
/// Limits of the record of recently sent prefixes and their upstreams: number
/// of entries, and time for which an entry is kept.
constexpr std::size_t max_remembered_prefixes = 2048;
constexpr duration prefix_lifetime = 10s;
/// Added to the load, in requests, of an upstream in another data centre when
/// upstreams are ranked for requests without an affinity.
constexpr double remote_data_centre_cost = 2.5;

/// With more routers for each upstream, a router's own requests do not tell the
/// load of upstreams that report none. The requests are then divided evenly
/// over the data centres.
constexpr std::size_t max_routers_per_upstream = 8;

/// Pauses before an upstream is tried again: the first one, and the longest.
constexpr duration unreachable_pause = 400ms;
constexpr duration max_unreachable_pause = 3s;
constexpr duration failure_pause = 700ms;
constexpr duration max_failure_pause = 3s;
constexpr duration declined_pause = 80ms;
constexpr duration max_declined_pause = 500ms;
/// Weight of the newest result in the moving average of failures.
constexpr double failure_weight = 0.15;
/// Failure rate above which an upstream is paused.
constexpr double failure_rate_limit = 0.45;
/// Failures in a row from which an upstream is paused.
constexpr std::uint32_t consecutive_failure_limit = 3;
/// Time for which a report of waiting requests is taken to hold.
constexpr duration queue_report_lifetime = 2s;
/// Share of a service's upstreams that must have room for another request
/// before one is sent to a second upstream.
constexpr double min_share_with_room = 0.75;

/// Time for which the announcements of an upstream are kept that the directory
/// lists no more: its entry may only have expired.
constexpr duration announcement_lifetime = 60s;

/// Share of the cold-start limit that all routers use together.
constexpr double cold_used_share = 0.6;
/// Requests per second that each router may send to a cold upstream where only
/// some routers are chosen to use it.
constexpr double cold_rate_per_router = 3;
/// Until a router has run for this long, it may not know all other routers.
constexpr duration fleet_settling_time = 4s;

/// Longest time for which a router's place at an upstream with a rate limit
/// is kept, and for which a router counts that the directory no longer lists:
/// while the store is away, leases of routers that run may expire.
constexpr duration place_lifetime = 1s;
constexpr duration router_update_interval = 300ms;
constexpr duration router_lifetime = 30s;
/// Statements on rate limits in a datagram.
constexpr std::size_t max_report_limits = 32;
constexpr std::size_t max_summary_limits = 64;

limit_sample sample_of(time_point now, upstream_id upstream,
                       const rate_limit_statement& said)
{
    constexpr std::int64_t max_age = std::numeric_limits<std::uint8_t>::max();
    constexpr double max_rate = no_rate_limit - 1;
    const auto age = (now - said.as_of) / load_sample_age_step + 1;
    return {.upstream = upstream,
            .rate_steps = said.rate
                              ? static_cast<std::uint16_t>(std::min(
                                    max_rate, *said.rate / rate_limit_step))
                              : no_rate_limit,
            .age_steps = static_cast<std::uint8_t>(
                std::clamp<std::int64_t>(age, 0, max_age))};
}

rate_limit_statement statement_of(time_point now, const limit_sample& sample)
{
    return {.rate = sample.rate_steps == no_rate_limit
                        ? std::nullopt
                        : std::optional{sample.rate_steps * rate_limit_step},
            .as_of = now - sample.age_steps * load_sample_age_step};
}

/// Returns the share of an upstream's prefixes that it has taken over, 0 to 1.
double takeover_share(time_point now, const directory::known_upstream& item,
                      double mean_load)
{
    const double age = to_seconds(now - item.first_seen);
    return std::clamp(
        std::max(age / takeover_period_s, mean_load / full_takeover_mean_load),
        min_takeover_share, 1.0);
}

prefix_id prefix_id_of(std::uint64_t affinity)
{
    return prefix_id{static_cast<std::uint32_t>(affinity)};
}

/// Returns the key of a prefix at an upstream in the record of sent prefixes.
chat_id prefix_key(std::uint64_t affinity,
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
      cached_prefixes_(max_remembered_prefixes, prefix_lifetime)
{
}

double upstream_selector::estimated_load(time_point now,
                                         const upstream_state& state) const
{
    const double own_load = state.in_progress;
    if (!state.reported_at)
        return own_load;
    const double age = to_seconds(now - *state.reported_at);
    const double others = state.others_load * std::exp(-age / others_decay_s);
    // Where other routers send requests as well, they send more of them at the
    // times at which this router does.
    return own_load + others_factor * others + std::min(own_load, others);
}

bool upstream_selector::is_leaving(const directory::known_upstream& item,
                                   const upstream_state& state)
{
    return state.announced.is_leaving(item.record.started_ms);
}

bool upstream_selector::is_cold(time_point now, const upstream_query& query,
                                const directory::known_upstream& item) const
{
    return query.service->cold_requests_per_second > 0 && item.cold_until > now;
}

std::vector<std::uint64_t>
upstream_selector::target_share(const upstream_query& query) const
{
    const auto& versions = query.versions;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> ranked;
    if (versions.rule != version_rule::target_only ||
        versions.target_width == 0)
        return {};
    const auto key = hash_bytes(versions.target);
    for (const auto& [id, item] : directory_.upstreams())
        if (item.record.service == query.service->name &&
            item.record.version == versions.target && !item.record.draining &&
            !directory_.is_out_of_service(item.record.data_centre))
            ranked.emplace_back(rendezvous_score(key, item.id_hash),
                                item.id_hash);
    const auto width = std::min(versions.target_width, ranked.size());
    std::ranges::partial_sort(
        ranked, ranked.begin() + static_cast<std::ptrdiff_t>(width),
        std::ranges::greater{});
    std::vector<std::uint64_t> result;
    for (std::size_t index = 0; index < width; ++index)
        result.push_back(ranked[index].second);
    std::ranges::sort(result);
    return result;
}

std::vector<upstream_selector::candidate> upstream_selector::usable_candidates(
    time_point now, const upstream_query& query, load_means& means)
{
    std::vector<candidate> result;
    const auto divided_among = target_share(query);
    const auto may_get = [&](const directory::known_upstream& item)
    {
        if (query.versions.rule == version_rule::any)
            return true;
        const bool is_target = item.record.version == query.versions.target;
        if (query.versions.rule == version_rule::others_only)
            return !is_target;
        return is_target &&
               (divided_among.empty() ||
                std::ranges::binary_search(divided_among, item.id_hash));
    };
    double sum = 0;
    double unlimited_sum = 0;
    std::size_t unlimited = 0;
    double other_versions_sum = 0;
    double reported_sum = 0;
    std::size_t listed = 0;
    std::size_t reported = 0;
    for (const auto& [id, item] : directory_.upstreams())
    {
        if (item.record.service != query.service->name)
            continue;
        ++listed;
        if (item.record.draining ||
            directory_.is_out_of_service(item.record.data_centre))
            continue;
        auto& state = states_[id];
        if (is_leaving(item, state))
            continue;
        if (!may_get(item))
        {
            other_versions_sum += estimated_load(now, state);
            continue;
        }
        result.push_back({&item, &state, estimated_load(now, state)});
        const double load = result.back().load;
        sum += load;
        if (state.announced.known_limit(item.record.started_ms) == nullptr)
        {
            unlimited_sum += load;
            ++unlimited;
        }
        if (state.reported_at)
        {
            reported_sum += load;
            ++reported;
        }
    }
    if (!result.empty())
        means = {.of_usable = sum / static_cast<double>(result.size()),
                 .of_listed =
                     (sum + other_versions_sum) / static_cast<double>(listed),
                 .of_reported =
                     reported_sum /
                     static_cast<double>(std::max<std::size_t>(reported, 1)),
                 .of_unlimited =
                     unlimited_sum /
                     static_cast<double>(std::max<std::size_t>(unlimited, 1))};
    return result;
}

bool upstream_selector::cold_has_capacity(time_point now,
                                          const upstream_query& query,
                                          const candidate& item) const
{
    const auto routers = std::max<std::size_t>(directory_.routers().size(), 1);
    const double fleet_limit =
        cold_used_share *
        (query.service->cold_requests_per_second * options_.cold_limit.overrun +
         options_.cold_limit.slack);
    const bool fleet_known = now - options_.started > fleet_settling_time;
    double share = fleet_known ? fleet_limit / static_cast<double>(routers) : 1;
    if (fleet_known && share < cold_rate_per_router)
    {
        // There are too many routers to give each a share, so a few are chosen.
        const auto chosen_count =
            static_cast<std::size_t>(fleet_limit / cold_rate_per_router);
        const auto key = item.upstream->id_hash;
        const auto own_score =
            rendezvous_score(key, hash_bytes(options_.router));
        std::size_t higher_ranked = 0;
        for (const auto& [name, address] : directory_.routers())
            if (rendezvous_score(key, hash_bytes(name)) > own_score)
                ++higher_ranked;
        if (higher_ranked >= chosen_count)
            return false;
        share = cold_rate_per_router;
    }
    return item.state->recent_sends.total(now) + 1 <= std::floor(share);
}

void upstream_selector::rank_by_affinity(time_point now, std::uint64_t affinity,
                                         double mean_load,
                                         std::vector<candidate>& candidates)
{
    for (auto& item : candidates)
    {
        const auto& upstream = *item.upstream;
        item.preference =
            weighted_rendezvous_score(affinity, upstream.id_hash,
                                      takeover_share(now, upstream, mean_load) /
                                          item.state->pace.lasting(now));
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate& left, const candidate& right)
              { return left.preference > right.preference; });
}

void upstream_selector::rank_by_cost(time_point now,
                                     std::vector<candidate>& candidates)
{
    const bool is_load_known =
        directory_.routers().size() <
            max_routers_per_upstream * candidates.size() ||
        std::ranges::any_of(candidates, [](const candidate& item)
                            { return item.state->reported_at.has_value(); });
    const double remote_cost = is_load_known ? remote_data_centre_cost : 0;
    const auto key = hash_bytes(options_.router, ++ranked_by_cost_);
    for (auto& item : candidates)
    {
        const auto& upstream = *item.upstream;
        const bool is_local =
            upstream.record.data_centre == options_.data_centre;
        // A request takes as long as the work in progress and its own.
        const double delay =
            item.state->pace.expected(now, pace_persistence_) - 1;
        item.cost =
            item.load + delay * (item.load + 1) + (is_local ? 0 : remote_cost);
        // Divides requests evenly among upstreams of the same cost.
        item.tie_break = rendezvous_score(key, upstream.id_hash);
    }
    std::ranges::sort(candidates, {},
                      [](const candidate& item) {
                          return std::pair{item.cost, item.tie_break};
                      });
}

double upstream_selector::load_limit(const upstream_query& query,
                                     const load_means& means)
{
    const double slack =
        min_slack + (max_slack - min_slack) *
                        std::min(1.0, query.prefix_tokens / long_prefix_tokens);
    return std::max(load_multiple * means.of_listed + slack,
                    load_multiple * means.of_usable + usable_slack);
}

upstream_selector::eligibility
upstream_selector::classify(time_point now, const upstream_query& query,
                            const candidate& item, double limit)
{
    auto& state = *item.state;
    const auto& id = item.upstream->record.id;
    if (std::find(query.excluded_ids.begin(), query.excluded_ids.end(), id) !=
            query.excluded_ids.end() ||
        !has_capacity_(*item.upstream, *query.service))
        return eligibility::excluded;
    if (state.announced.paused_until() > now)
        return eligibility::paused;
    if (const auto* rate_limit = limit_of(now, *item.upstream, state);
        rate_limit != nullptr && !rate_limit->permits(now))
        return eligibility::at_limit;
    // After a pause one request at a time tests whether the upstream has
    // recovered.
    const bool on_trial = state.backoff > duration{0};
    if (state.avoid_until > now ||
        (on_trial && (state.in_progress > 0 || !query.is_repeatable)))
        return eligibility::failing;
    if (is_cold(now, query, *item.upstream))
        return cold_has_capacity(now, query, item) ? eligibility::cold
                                                   : eligibility::cold_and_full;
    return item.load > limit ? eligibility::over_limit : eligibility::eligible;
}

const upstream_selector::candidate*
upstream_selector::prefer_cached(time_point now, std::uint64_t affinity,
                                 std::span<const candidate* const> eligible,
                                 bool is_preferred)
{
    const auto has_prefix = [&](const candidate* item)
    {
        return cached_prefixes_.contains(now,
                                         prefix_key(affinity, *item->upstream));
    };
    const candidate* holder = nullptr;
    for (const auto* item : eligible.subspan(1))
        if (has_prefix(item) &&
            (holder == nullptr || item->load < holder->load))
            holder = item;
    const auto* first = eligible.front();
    if (holder == nullptr)
        return first;
    // A request that cannot use its preferred upstream prefers one that has its
    // prefix cached.
    const bool moves_anyway = !is_preferred && !has_prefix(first);
    return moves_anyway || holder->load + cached_load_advantage <= first->load
               ? holder
               : first;
}

const upstream_selector::candidate&
upstream_selector::prefer_fast(time_point now, const upstream_query& query,
                               std::span<const candidate* const> eligible,
                               const candidate& best)
{
    const auto option = [&](const candidate& item)
    {
        // Where requests with the prefix usually go, another router may have
        // sent it.
        const bool is_cached =
            &item == eligible.front() ||
            cached_prefixes_.contains(
                now, prefix_key(*query.affinity, *item.upstream));
        return pace_option{item.state->pace.expected(now, pace_persistence_),
                           is_cached ? 0 : query.prefix_tokens};
    };
    const auto* result = &best;
    auto fastest = option(best);
    for (const auto* item :
         eligible.first(std::min(eligible.size(), max_fast_options)))
        if (const auto other = option(*item);
            item->load <= best.load + 1 && is_faster(other, fastest))
        {
            result = item;
            fastest = other;
        }
    return *result;
}

bool upstream_selector::divide(time_point now, std::uint64_t affinity,
                               double mean_load, bool is_moved,
                               std::span<const candidate*> eligible)
{
    const auto& first = *eligible.front();
    // An upstream that was added after this router started is known to have
    // been idle at first.
    const bool is_new = first.upstream->first_seen != time_point{};
    const auto division = divide_by_affinity(
        {.prefix_share = traffic_.share_of(now, prefix_id_of(affinity)),
         .mean_load = mean_load,
         .upstreams = eligible.size(),
         .is_load_known = first.state->reported_at || is_new,
         .is_moved = is_moved});
    if (division.width < 2)
        return false;
    const auto key = hash_bytes(options_.router, affinity);
    const auto score = [key](const candidate* item)
    {
        return rendezvous_score(key, item->upstream->id_hash);
    };
    std::ranges::partial_sort(eligible.first(division.width),
                              eligible.begin() + 2, std::ranges::greater{},
                              score);
    if (division.by_load && eligible[1]->load < eligible[0]->load)
        std::swap(eligible[0], eligible[1]);
    return division.by_load;
}

const directory::known_upstream* upstream_selector::find_prefix_source(
    time_point now, std::uint64_t affinity,
    const directory::known_upstream& chosen) const
{
    if (cached_prefixes_.contains(now, prefix_key(affinity, chosen)))
        return nullptr;
    const directory::known_upstream* best = nullptr;
    double best_score = 0;
    for (const auto& [id, item] : directory_.upstreams())
    {
        if (&item == &chosen || item.record.service != chosen.record.service ||
            directory_.is_out_of_service(item.record.data_centre) ||
            item.cold_until > now)
            continue;
        // Upstreams known to have the prefix rank before those that probably
        // do.
        const bool is_known =
            cached_prefixes_.contains(now, prefix_key(affinity, item));
        const double score =
            weighted_rendezvous_score(affinity, item.id_hash,
                                      takeover_share(now, item, 0)) +
            (is_known ? 1 : 0);
        if (score <= best_score)
            continue;
        const auto state = states_.find(id);
        if (state != states_.end() &&
            (state->second.avoid_until > now ||
             state->second.announced.paused_until() > now ||
             is_leaving(item, state->second)))
            continue;
        best = &item;
        best_score = score;
    }
    return best;
}

selection upstream_selector::choose(time_point now, const upstream_query& query)
{
    if (query.affinity && query.excluded_ids.empty())
        traffic_.record_request(now, prefix_id_of(*query.affinity));
    const auto result = decide(now, query, nullptr);
    if (query.affinity && result.upstream != nullptr)
        cached_prefixes_.insert(now,
                                prefix_key(*query.affinity, *result.upstream));
    return result;
}

selection upstream_selector::decide(time_point now, const upstream_query& query,
                                    choice_report* report)
{
    load_means means;
    auto candidates = usable_candidates(now, query, means);
    if (candidates.empty())
        return {};
    if (query.affinity)
        rank_by_affinity(now, *query.affinity, means.of_usable, candidates);
    else
        rank_by_cost(now, candidates);
    const double limit = query.affinity
                             ? load_limit(query, means)
                             : std::numeric_limits<double>::infinity();
    if (report != nullptr && query.affinity)
        report->load_limit = limit;

    // Above the limit, but below one from the mean of those that can carry
    // their share.
    const double unlimited_limit =
        load_multiple * means.of_unlimited + usable_slack;
    std::vector<const candidate*> eligible;
    std::vector<const candidate*> within_share;
    const candidate* over_limit = nullptr;
    const candidate* cold = nullptr;
    const candidate* failing = nullptr;
    bool any_not_excluded = false;
    bool is_moved = false;
    for (const auto& item : candidates)
    {
        const auto status = classify(now, query, item, limit);
        is_moved = is_moved || (status == eligibility::over_limit &&
                                &item == &candidates.front());
        if (report != nullptr)
        {
            report->candidates.push_back(
                report_on(now, query, *item.upstream, *item.state));
            report->candidates.back().state =
                name_in(eligibility_names, status);
            report->candidates.back().load = item.load;
        }
        any_not_excluded = any_not_excluded || status != eligibility::excluded;
        if (status == eligibility::eligible)
            eligible.push_back(&item);
        if (status == eligibility::over_limit && item.load <= unlimited_limit)
            within_share.push_back(&item);
        if (status == eligibility::over_limit &&
            (over_limit == nullptr || item.load < over_limit->load))
            over_limit = &item;
        else if (status == eligibility::cold && cold == nullptr)
            cold = &item;
        else if (status == eligibility::failing &&
                 (failing == nullptr ||
                  item.state->avoid_until < failing->state->avoid_until))
            failing = &item;
    }
    const auto make_selection = [&](const candidate& item, choice reason)
    {
        selection result{reason, item.upstream, nullptr, item.load,
                         means.of_usable};
        if (!query.affinity)
            return result;
        result.prefix_source =
            find_prefix_source(now, *query.affinity, *item.upstream);
        return result;
    };
    if (eligible.empty())
        eligible = std::move(within_share);
    if (!eligible.empty())
    {
        bool is_preferred = eligible.front() == &candidates.front();
        if (query.affinity)
        {
            const bool is_divided = divide(
                now, *query.affinity, means.of_reported, is_moved, eligible);
            is_preferred = eligible.front() == &candidates.front() ||
                           (is_preferred && is_divided);
        }
        const auto& best =
            query.affinity
                ? *prefer_cached(now, *query.affinity, eligible, is_preferred)
                : *eligible.front();
        const auto& fast =
            query.affinity ? prefer_fast(now, query, eligible, best) : best;
        if (&fast != &best)
            return make_selection(fast, choice::faster);
        return make_selection(best, &best == &candidates.front()
                                        ? choice::preferred
                                        : choice::other);
    }
    if (over_limit != nullptr)
        return make_selection(*over_limit, choice::last_resort);
    if (cold != nullptr)
        return make_selection(*cold, choice::cold);
    if (failing != nullptr && (!is_cold(now, query, *failing->upstream) ||
                               cold_has_capacity(now, query, *failing)))
        return make_selection(*failing, choice::last_resort);
    // Every upstream has failed this request, has no capacity for a connection,
    // or is at a limit.
    return {any_not_excluded ? choice::all_busy : choice::no_upstream, nullptr,
            nullptr, 0, means.of_usable};
}

candidate_report
upstream_selector::report_on(time_point now, const upstream_query& query,
                             const directory::known_upstream& item,
                             const upstream_state& state) const
{
    const auto left = [now](time_point until)
    {
        return std::max<duration>(until - now, duration{0});
    };
    const auto* limit = state.announced.known_limit(item.record.started_ms);
    const auto rate = limit != nullptr ? limit->rate() : std::nullopt;
    return {
        .upstream = item.record.id,
        .data_centre = item.record.data_centre,
        .state = {},
        .load = estimated_load(now, state),
        .load_age = state.reported_at ? std::optional{now - *state.reported_at}
                                      : std::nullopt,
        .cold_left = left(item.cold_until),
        .pause_left =
            left(std::max(state.avoid_until, state.announced.paused_until())),
        .consecutive_failures = state.consecutive_failures,
        .failure_rate = state.failure_rate,
        .rate_limit = rate,
        .has_prefix =
            query.affinity &&
            cached_prefixes_.contains(now, prefix_key(*query.affinity, item))};
}

void upstream_selector::add_unusable(time_point now,
                                     const upstream_query& query,
                                     choice_report& report) const
{
    for (const auto& [id, item] : directory_.upstreams())
    {
        if (item.record.service != query.service->name)
            continue;
        const auto known = states_.find(id);
        const auto state =
            known == states_.end() ? upstream_state{} : known->second;
        std::string_view reason;
        if (item.record.draining)
            reason = "draining";
        else if (directory_.is_out_of_service(item.record.data_centre))
            reason = "data_centre_out";
        else if (is_leaving(item, state))
            reason = "leaving";
        else
            continue;
        report.candidates.push_back(report_on(now, query, item, state));
        report.candidates.back().state = reason;
    }
}

choice_report upstream_selector::explain(time_point now,
                                         const upstream_query& query)
{
    // The request would be counted before its upstream is chosen.
    const auto traffic = traffic_;
    const auto ranked_by_cost = ranked_by_cost_;
    if (query.affinity && query.excluded_ids.empty())
        traffic_.record_request(now, prefix_id_of(*query.affinity));
    choice_report report;
    const auto chosen = decide(now, query, &report);
    traffic_ = traffic;
    ranked_by_cost_ = ranked_by_cost;
    add_unusable(now, query, report);
    report.reason = name_in(choice_names, chosen.reason);
    report.mean_load = chosen.mean_load;
    if (chosen.upstream != nullptr)
        report.upstream = chosen.upstream->record.id;
    if (chosen.prefix_source != nullptr)
        report.prefix_source = chosen.prefix_source->record.id;
    return report;
}

bool upstream_selector::has_sound_upstream(time_point now,
                                           const upstream_query& query)
{
    load_means means;
    return std::ranges::any_of(usable_candidates(now, query, means),
                               [&](const candidate& item)
                               {
                                   const auto status = classify(
                                       now, query, item,
                                       std::numeric_limits<double>::infinity());
                                   return status == eligibility::eligible ||
                                          status == eligibility::cold;
                               });
}

room_outlook
upstream_selector::outlook(time_point now,
                           const directory::routed_service& service) const
{
    room_outlook result;
    for (const auto& [id, item] : directory_.upstreams())
    {
        if (item.record.service != service.name || item.record.draining ||
            directory_.is_out_of_service(item.record.data_centre))
            continue;
        auto from = now;
        auto elsewhere_from = now;
        if (const auto found = states_.find(id); found != states_.end())
        {
            const auto& state = found->second;
            if (is_leaving(item, state))
                continue;
            from = std::max(
                {now, state.avoid_until, state.announced.paused_until()});
            elsewhere_from = from;
            if (const auto* limit =
                    state.announced.known_limit(item.record.started_ms))
            {
                elsewhere_from =
                    std::max(from, limit->next_permitted_anywhere(now));
                from = std::max(from, limit->next_permitted(now));
            }
        }
        result.usable_from =
            result.is_usable ? std::min(result.usable_from, from) : from;
        result.usable_elsewhere_from =
            std::min(elsewhere_from,
                     result.usable_elsewhere_from.value_or(elsewhere_from));
        result.is_usable = true;
    }
    return result;
}

bool upstream_selector::has_room(time_point now, const candidate& item)
{
    const auto& queued_at = item.state->queue_reported_at;
    return item.load + 1 <= item.upstream->record.slots &&
           (!queued_at || now - *queued_at > queue_report_lifetime);
}

selection upstream_selector::choose_hedge(time_point now,
                                          const upstream_query& query)
{
    load_means means;
    auto candidates = usable_candidates(now, query, means);
    if (query.affinity)
        rank_by_affinity(now, *query.affinity, means.of_usable, candidates);
    else
        rank_by_cost(now, candidates);
    const double limit = load_limit(query, means);
    auto any_upstream = query;
    any_upstream.excluded_ids = {};
    std::size_t with_room = 0;
    const candidate* first = nullptr;
    const candidate* holder = nullptr;
    for (const auto& item : candidates)
    {
        if (classify(now, any_upstream, item, limit) != eligibility::eligible ||
            item.upstream->cold_until > now || !has_room(now, item))
            continue;
        ++with_room;
        if (item.state->consecutive_failures > 0 ||
            std::ranges::find(query.excluded_ids, item.upstream->record.id) !=
                query.excluded_ids.end())
            continue;
        if (first == nullptr)
            first = &item;
        if (holder == nullptr && query.affinity &&
            cached_prefixes_.contains(
                now, prefix_key(*query.affinity, *item.upstream)))
            holder = &item;
    }
    if (first == nullptr ||
        static_cast<double>(with_room) <
            min_share_with_room * static_cast<double>(candidates.size()))
        return {};
    const auto& best = holder != nullptr ? *holder : *first;
    return {choice::other, best.upstream, nullptr, best.load, means.of_usable};
}

void upstream_selector::record_sent(time_point now, const std::string& id)
{
    auto& state = states_[id];
    ++state.in_progress;
    state.recent_sends.add(now);
    const auto known = directory_.upstreams().find(id);
    if (known == directory_.upstreams().end())
        return;
    if (auto* limit = limit_of(now, known->second, state))
        limit->record_sent(now);
}

void upstream_selector::record_ended(const std::string& id)
{
    const auto found = states_.find(id);
    if (found != states_.end() && found->second.in_progress > 0)
        --found->second.in_progress;
}

void upstream_selector::record_load(time_point now, const std::string& id,
                                    const reported_load& load)
{
    const auto reported = load.running + load.waiting;
    traffic_.record_load(now, make_upstream_id(id), reported,
                         load.work_percent);
    auto& state = states_[id];
    update_load(state, now, reported);
    if (load.work_percent)
        state.pace.record(now, *load.work_percent / 100.0, pace_persistence_);
    state.queue_reported_at =
        load.waiting > 0 ? std::optional{now} : std::nullopt;
}

void upstream_selector::update_load(upstream_state& state,
                                    time_point measured_at, double reported)
{
    const double others = std::max(reported - state.in_progress, 0.0);
    double weight = 1;
    if (state.reported_at)
    {
        if (measured_at < *state.reported_at)
            return;
        weight = std::max(
            1 - std::exp(-to_seconds(measured_at - *state.reported_at) /
                         others_average_time_constant_s),
            min_report_weight);
    }
    state.others_load += weight * (others - state.others_load);
    state.reported_at = measured_at;
}

traffic_report upstream_selector::take_traffic_report(time_point now)
{
    update_routers(now);
    expire_limits(now);
    auto report = traffic_.take_report(now);
    report.limits = limit_samples(now, max_report_limits, last_reported_limit_,
                                  &upstream_rate_limit::own_statement);
    if (!report.limits.empty())
        last_reported_limit_ = report.limits.back().upstream;
    return report;
}

traffic_summary upstream_selector::merge_report(time_point now,
                                                const traffic_report& report)
{
    traffic_.merge(now, report);
    apply_samples(now, report.loads);
    apply_limits(now, report.limits);
    auto summary = traffic_.summarize(now);
    summary.limits =
        limit_samples(now, max_summary_limits, last_summarized_limit_,
                      &upstream_rate_limit::statement);
    if (!summary.limits.empty())
        last_summarized_limit_ = summary.limits.back().upstream;
    return summary;
}

void upstream_selector::apply_summary(time_point now,
                                      const traffic_summary& summary)
{
    traffic_.apply(now, summary);
    apply_samples(now, summary.loads);
    apply_limits(now, summary.limits);
}

void upstream_selector::apply_samples(time_point now,
                                      std::span<const load_sample> samples)
{
    std::unordered_map<upstream_id, const load_sample*> by_upstream;
    for (const auto& sample : samples)
        by_upstream[sample.upstream] = &sample;
    for (const auto& [id, item] : directory_.upstreams())
    {
        const auto found = by_upstream.find(
            upstream_id{static_cast<std::uint32_t>(item.id_hash)});
        if (found == by_upstream.end())
            continue;
        const auto& sample = *found->second;
        const auto measured_at = now - sample.age_steps * load_sample_age_step;
        auto& state = states_[id];
        update_load(state, measured_at, sample.load);
        if (sample.work_steps > 0)
            state.pace.record(measured_at,
                              sample.work_steps * work_percent_step / 100.0,
                              pace_persistence_);
    }
}

void upstream_selector::apply_limits(time_point now,
                                     std::span<const limit_sample> samples)
{
    std::unordered_map<upstream_id, const limit_sample*> unknown;
    const auto apply =
        [&](const directory::known_upstream& item, const limit_sample& sample)
    {
        auto& state = states_[item.record.id];
        auto& limit = state.announced.rate_limit(item.record.started_ms);
        update_place(now, item, limit);
        limit.record(now, statement_of(now, sample),
                     state.recent_sends.total(now));
    };
    const auto& upstreams = directory_.upstreams();
    for (const auto& sample : samples)
    {
        const auto name = limited_.find(sample.upstream);
        if (name == limited_.end())
        {
            if (sample.rate_steps != no_rate_limit)
                unknown[sample.upstream] = &sample;
        }
        else if (const auto known = upstreams.find(name->second);
                 known != upstreams.end())
            apply(known->second, sample);
    }
    if (unknown.empty())
        return;
    for (const auto& [id, item] : upstreams)
    {
        const upstream_id upstream{static_cast<std::uint32_t>(item.id_hash)};
        const auto found = unknown.find(upstream);
        if (found == unknown.end())
            continue;
        apply(item, *found->second);
        limited_.emplace(upstream, id);
    }
}

upstream_rate_limit*
upstream_selector::limit_of(time_point now,
                            const directory::known_upstream& item,
                            upstream_state& state)
{
    auto& limit = state.announced.rate_limit(item.record.started_ms);
    if (!limit.rate())
        return nullptr;
    update_place(now, item, limit);
    return &limit;
}

void upstream_selector::update_place(time_point now,
                                     const directory::known_upstream& item,
                                     upstream_rate_limit& limit)
{
    if (now - options_.started < fleet_settling_time ||
        (limit.placed_at() && now - *limit.placed_at() < place_lifetime))
        return;
    update_routers(now);
    // Data centres take turns, so that as many as possible have a chosen
    // router, whose responses tell the others there of changes.
    const auto own_hash = hash_bytes(options_.router);
    const auto own_data_centre = hash_bytes(options_.data_centre);
    const auto own_score = rendezvous_score(item.id_hash, own_hash);
    std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> scores;
    std::size_t own_turn = 0;
    router_place place;
    for (const auto& [name_hash, router] : routers_)
    {
        if (name_hash == own_hash)
            continue;
        ++place.routers;
        const auto score = rendezvous_score(item.id_hash, name_hash);
        if (router.data_centre_hash != own_data_centre)
            scores[router.data_centre_hash].push_back(score);
        else if (score > own_score)
            ++own_turn;
    }
    place.rank = own_turn;
    for (auto& [data_centre, others] : scores)
    {
        const auto before = std::min(own_turn, others.size());
        place.rank += before;
        if (before == others.size())
            continue;
        const auto same_turn =
            others.begin() + static_cast<std::ptrdiff_t>(before);
        std::ranges::nth_element(others, same_turn, std::ranges::greater{});
        place.rank += *same_turn > own_score ? 1 : 0;
    }
    limit.set_place(now, place);
}

void upstream_selector::update_routers(time_point now)
{
    if (routers_updated_at_ &&
        now - *routers_updated_at_ < router_update_interval)
        return;
    routers_updated_at_ = now;
    for (const auto& [name, router] : directory_.routers())
        routers_[hash_bytes(name)] = {hash_bytes(router.data_centre), now};
    std::erase_if(routers_, [now](const auto& item)
                  { return now - item.second.last_listed > router_lifetime; });
}

void upstream_selector::expire_limits(time_point now)
{
    std::erase_if(
        limited_,
        [&](const auto& item)
        {
            const auto known = directory_.upstreams().find(item.second);
            const auto state = states_.find(item.second);
            if (state == states_.end())
                return true;
            auto& announced = state->second.announced;
            // An upstream that is not listed may be listed again.
            return known != directory_.upstreams().end() &&
                   announced.rate_limit(known->second.record.started_ms)
                       .is_over(now);
        });
}

template <typename Getter>
std::vector<limit_sample>
upstream_selector::limit_samples(time_point now, std::size_t count,
                                 upstream_id after, Getter get)
{
    std::vector<limit_sample> result;
    auto item = limited_.upper_bound(after);
    for (auto left = limited_.size(); left > 0 && result.size() < count;
         --left, ++item)
    {
        if (item == limited_.end())
            item = limited_.begin();
        const auto known = directory_.upstreams().find(item->second);
        const auto state = states_.find(item->second);
        if (known == directory_.upstreams().end() || state == states_.end())
            continue;
        const auto& limit =
            state->second.announced.rate_limit(known->second.record.started_ms);
        if (const auto said = (limit.*get)(now))
            result.push_back(sample_of(now, item->first, *said));
    }
    return result;
}

rate_limit_change
upstream_selector::record_rate_limit(time_point now, const std::string& id,
                                     const rate_limit_statement& said)
{
    const auto known = directory_.upstreams().find(id);
    if (known == directory_.upstreams().end())
        return rate_limit_change::none;
    const auto& item = known->second;
    const auto upstream = make_upstream_id(id);
    if (!said.rate && !limited_.contains(upstream))
        return rate_limit_change::none;
    limited_.emplace(upstream, id);
    auto& state = states_[id];
    auto& limit = state.announced.rate_limit(item.record.started_ms);
    update_place(now, item, limit);
    // In the steps in which other routers hear of it, so that their statements
    // are no change.
    auto rounded = said;
    rounded.rate = statement_of(now, sample_of(now, upstream, said)).rate;
    return limit.record_own(now, rounded, state.recent_sends.total(now));
}

std::size_t upstream_selector::limited_upstreams() const
{
    const auto is_limited = [this](const auto& item)
    {
        const auto known = directory_.upstreams().find(item.second);
        const auto state = states_.find(item.second);
        return known != directory_.upstreams().end() &&
               state != states_.end() &&
               state->second.announced.known_limit(
                   known->second.record.started_ms) != nullptr;
    };
    return static_cast<std::size_t>(
        std::ranges::count_if(limited_, is_limited));
}

void upstream_selector::record_success(time_point /*now*/,
                                       const std::string& id)
{
    auto& state = states_[id];
    state.failure_rate *= 1 - failure_weight;
    state.consecutive_failures = 0;
    state.consecutive_cancellations = 0;
    state.backoff = duration{0};
    state.avoid_until = {};
}

void upstream_selector::back_off(time_point now, upstream_state& state,
                                 duration first_pause, duration max_pause)
{
    state.backoff = std::clamp(state.backoff * 2, first_pause, max_pause);
    state.avoid_until = now + state.backoff;
}

void upstream_selector::record_failure(time_point now, const std::string& id)
{
    auto& state = states_[id];
    state.failure_rate =
        state.failure_rate * (1 - failure_weight) + failure_weight;
    ++state.consecutive_failures;
    if (state.consecutive_failures >= consecutive_failure_limit ||
        state.failure_rate > failure_rate_limit)
        back_off(now, state, failure_pause, max_failure_pause);
}

void upstream_selector::record_cancelled(time_point now, const std::string& id)
{
    auto& state = states_[id];
    if (++state.consecutive_cancellations < consecutive_failure_limit)
        return;
    state.consecutive_cancellations = 0;
    back_off(now, state, failure_pause, max_failure_pause);
}

bool upstream_selector::record_leaving(const std::string& id)
{
    const auto known = directory_.upstreams().find(id);
    if (known == directory_.upstreams().end())
        return false;
    return states_[id].announced.record_leaving(
        known->second.record.started_ms);
}

void upstream_selector::record_requested_pause(time_point now,
                                               const std::string& id,
                                               duration pause)
{
    states_[id].announced.record_pause(now, pause);
}

void upstream_selector::record_decline(time_point now, const std::string& id)
{
    back_off(now, states_[id], declined_pause, max_declined_pause);
}

void upstream_selector::record_unreachable(time_point now,
                                           const std::string& id)
{
    back_off(now, states_[id], unreachable_pause, max_unreachable_pause);
}

void upstream_selector::erase_removed_upstreams(time_point now)
{
    for (auto& [id, state] : states_)
        if (directory_.upstreams().contains(id))
            state.removed_at.reset();
        else if (!state.removed_at)
            state.removed_at = now;
    std::erase_if(states_,
                  [now](const auto& item)
                  {
                      const auto& state = item.second;
                      return state.removed_at && state.in_progress == 0 &&
                             (state.announced.is_empty() ||
                              now - *state.removed_at > announcement_lifetime);
                  });
}

void upstream_selector::set_cold_start_limit(const cold_start_limit& limit)
{
    options_.cold_limit = limit;
}

} // namespace baobabloft::dispatch

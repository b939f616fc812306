#include "baobabloft/dispatch/rollout_control.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace baobabloft::dispatch
{

namespace
{

using directory::rollout_phase;

constexpr std::size_t judge_count = 3;
constexpr duration least_report_period = 500ms;
/// A judge gets at most 200 reports a second.
constexpr duration report_spacing = 5ms;
/// Cells of a report, so that it fits in a datagram with the greatest counts.
constexpr std::size_t max_cells_per_report = 34;
/// Counts up to this take at most two bytes in a datagram.
constexpr std::uint16_t max_count = 16'383;
constexpr std::size_t max_own_cells = 4096;
constexpr duration first_latency_bound = 20ms;
constexpr duration refresh_period = 500ms;
constexpr duration evaluation_period = 150ms;
constexpr duration announcement_period = 250ms;
constexpr std::size_t announcement_count = 3;
/// The judges write one after the other, unless the first one's write is seen.
constexpr duration write_delay = 600ms;
constexpr duration unknown_write_delay = 300ms;
constexpr duration conflict_write_delay = 2s;
/// Times before the limit: for the write of the status, for requests to end at
/// the other versions, and for the share to grow.
constexpr duration write_time = 1s;
constexpr duration ending_time = 3s;
constexpr duration ramp_time = 2s;
/// Evidence that is good enough to advance before the last moment, and bad
/// enough to revert then.
const double good_evidence = std::log(0.02);
const double bad_evidence = std::log(8.0);
/// Requests a second that a canary should get if its exposure allows it.
constexpr double wanted_canary_rate = 12;
constexpr double max_canary_share = 0.4;
/// Least share of a canary in units of the exposure. It exceeds what routers
/// may send by their own counts, so that these decide.
constexpr double canary_part_of_exposure = 1.8;
/// Parts of the exposure and its slack at which the judges stop a canary.
constexpr double last_part_of_exposure = 0.9;
/// Part of the routers that must have reported that their requests have moved.
constexpr double reporting_part = 0.95;

rollout_id make_rollout_id(const directory::known_rollout& rollout)
{
    const auto names = hash_combine(hash_bytes(rollout.order.service),
                                    hash_bytes(rollout.order.target));
    return rollout_id{static_cast<std::uint32_t>(
        hash_combine(names, rollout.order_revision))};
}

void increment(std::uint16_t& count)
{
    if (count < max_count)
        ++count;
}

bool is_final(std::optional<rollout_phase> phase)
{
    return phase == rollout_phase::complete || phase == rollout_phase::reverted;
}

} // namespace

rollout_control::rollout_control(router_id self, std::uint32_t lifetime,
                                 member_source members,
                                 const rollout_options& options)
    : self_(self), lifetime_(lifetime), members_(std::move(members)),
      options_(options)
{
}

void rollout_control::set_options(const rollout_options& options)
{
    options_ = options;
}

void rollout_control::apply_options(service& item)
{
    item.gate.set_options(
        {.limits = options_,
         .routers = routers_,
         .response_timeout = std::max<duration>(2s, 2 * report_period()),
         .seed =
             hash_combine(hash_combine(raw(self_), lifetime_), raw(item.id))});
}

void rollout_control::begin(time_point now,
                            const directory::known_rollout& rollout)
{
    services_.erase(rollout.order.service);
    auto& item =
        services_.emplace(rollout.order.service, service{rollout.first_seen})
            .first->second;
    item.known = rollout;
    item.id = make_rollout_id(rollout);
    item.next_report = now;
    routers_ = std::max<std::size_t>(members_().size(), 1);
    apply_options(item);
}

void rollout_control::update(time_point now,
                             const directory::known_rollout& rollout,
                             const rollout_upstreams& upstreams)
{
    const auto found = services_.find(rollout.order.service);
    const bool is_new =
        found == services_.end() ||
        found->second.known.order_revision != rollout.order_revision ||
        found->second.known.order != rollout.order;
    if (is_new)
        begin(now, rollout);
    auto& item = services_.find(rollout.order.service)->second;
    const bool has_changed =
        item.known.status_revision != rollout.status_revision ||
        item.known.phase != rollout.phase ||
        item.known.is_status_lost != rollout.is_status_lost;
    if (has_changed)
        item.next_write = now;
    // A final phase that this router has seen or written stays.
    const auto before = item.known.phase;
    item.known = rollout;
    item.stored_phase = rollout.phase;
    if (is_final(before) && !is_final(rollout.phase))
        item.known.phase = before;
    item.gate.update(item.known, upstreams);
    if (item.known.phase == rollout_phase::reverted)
        item.gate.set_stage(now, rollout_stage::revert);
    if (item.known.phase && (is_new || before != item.known.phase))
        log(item, name_in(directory::rollout_phase_names, *item.known.phase),
            evidence_text(now, item));
}

void rollout_control::retain(
    const std::function<bool(const std::string&)>& has_order)
{
    std::erase_if(services_,
                  [&](const auto& item) { return !has_order(item.first); });
}

version_choice rollout_control::choose(time_point now,
                                       const std::string& service,
                                       std::uint64_t key, bool is_repeat)
{
    const auto found = services_.find(service);
    return found == services_.end()
               ? version_choice{}
               : found->second.gate.choose(now, key, is_repeat);
}

void rollout_control::record_sent(time_point now, const std::string& service,
                                  bool is_target)
{
    if (!is_target)
        ++others_in_progress_[service];
    if (const auto found = services_.find(service); found != services_.end())
        found->second.gate.record_sent(now, is_target);
}

void rollout_control::record_ended(const std::string& service, bool is_target)
{
    if (is_target)
        return;
    const auto found = others_in_progress_.find(service);
    if (found != others_in_progress_.end() && --found->second == 0)
        others_in_progress_.erase(found);
}

void rollout_control::record_outcome(time_point /*now*/,
                                     const rollout_outcome& outcome)
{
    const auto found = services_.find(outcome.service);
    if (found == services_.end())
        return;
    auto& item = found->second;
    const auto route = static_cast<std::uint32_t>(hash_bytes(outcome.route));
    const auto upstream = outcome.is_target ? outcome.upstream : upstream_id{};
    if (item.cells.size() >= max_own_cells &&
        !item.cells.contains({route, upstream}))
        return;
    auto& cell = item.cells[{route, upstream}];
    cell.counts.route = route;
    cell.counts.upstream = upstream;
    if (cell.counts.responses >= max_count)
        return;
    cell.changed = ++item.changes;
    increment(cell.counts.responses);
    if (outcome.failed)
        return increment(cell.counts.failures);
    std::size_t bucket = 0;
    for (auto bound = first_latency_bound;
         outcome.latency > bound && bucket + 1 < rollout_latency_buckets;
         bound *= 2)
        ++bucket;
    increment(cell.counts.latencies.at(bucket));
}

duration rollout_control::all_reports_time() const
{
    return report_spacing * static_cast<duration::rep>(routers_);
}

duration rollout_control::report_period() const
{
    return std::max<duration>(least_report_period, all_reports_time());
}

rollout_control::schedule
rollout_control::schedule_of(const service& item) const
{
    const auto limit = item.known.order.finish_within;
    const auto reserve =
        write_time + ending_time + ramp_time + report_period() / 2;
    return {.advance_from = limit - std::min(reserve, limit / 2),
            .advance_by = limit - std::min<duration>(
                                      write_time + ramp_time + 1s, limit / 3),
            .advance_last =
                limit - std::min<duration>(write_time + ramp_time, limit / 4),
            .complete_by = limit - std::min(write_time, limit / 8)};
}

bool rollout_control::has_majority(time_point now, const service& item) const
{
    return 2 * item.judge.fresh_reporters(now, 2 * report_period() + 1s) >
           routers_;
}

bool rollout_control::has_moved(time_point now, const service& item) const
{
    const auto age = report_period() + 300ms;
    const auto fresh = item.judge.fresh_reporters(now, age);
    return item.all_since && now - *item.all_since > age &&
           static_cast<double>(fresh) >=
               reporting_part * static_cast<double>(routers_) &&
           item.judge.fresh_reporters(now, age, true) == fresh;
}

void rollout_control::choose_judges(service& item,
                                    std::vector<routing::fleet_member> members)
{
    const auto count = std::min(judge_count, members.size());
    std::ranges::partial_sort(
        members, members.begin() + static_cast<std::ptrdiff_t>(count),
        std::ranges::greater{},
        [&](const routing::fleet_member& member)
        { return rendezvous_score(raw(item.id), member.hash); });
    item.judges.clear();
    item.judge_rank.reset();
    for (std::size_t rank = 0; rank < count; ++rank)
    {
        item.judges.push_back(members[rank].id);
        if (members[rank].id == self_)
            item.judge_rank = rank;
    }
    apply_options(item);
}

void rollout_control::tick(time_point now)
{
    if (services_.empty())
        return;
    std::vector<routing::fleet_member> members;
    const bool is_refresh = now >= next_refresh_;
    if (is_refresh)
    {
        next_refresh_ = now + refresh_period;
        members = members_();
        routers_ = std::max<std::size_t>(members.size(), 1);
    }
    for (auto& [name, item] : services_)
    {
        if (is_settled(item) && item.announcements == 0)
            continue;
        if (is_refresh || item.judges.empty())
            choose_judges(item, is_refresh ? members : members_());
        report(now, item);
        if (!item.judge_rank)
            continue;
        judge(now, item);
        write(now, item);
        announce(now, item);
    }
}

void rollout_control::report(time_point now, service& item)
{
    if (now < item.next_report || is_final(item.known.phase))
        return;
    // Spread over the period, so that the reports of a large fleet do not
    // arrive together.
    const bool is_first = !std::exchange(item.has_reported, true);
    const auto offset = duration{static_cast<duration::rep>(
        hash_combine(raw(self_), raw(item.id)) %
        static_cast<std::uint64_t>(report_period().count()))};
    auto pause = is_first ? report_period() / 2 + offset / 2 : report_period();
    if (item.gate.stage() == rollout_stage::advance)
        pause = std::max(pause / 2, all_reports_time());
    item.next_report = now + pause;
    rollout_report message{
        .rollout = item.id,
        .lifetime = lifetime_,
        .order_age_ms = static_cast<std::uint32_t>(item.gate.age(now) / 1ms),
        .requests = item.gate.requests(),
        .target_requests = item.gate.target_requests(),
        .cells = {}};
    if (const auto found = others_in_progress_.find(item.known.order.service);
        found != others_in_progress_.end())
        message.others_in_progress = static_cast<std::uint16_t>(
            std::min<std::uint32_t>(found->second, max_count));
    std::vector<const cell*> recent;
    recent.reserve(item.cells.size());
    for (const auto& [key, counts] : item.cells)
        recent.push_back(&counts);
    std::ranges::sort(recent, std::ranges::greater{}, &cell::changed);
    recent.resize(std::min(recent.size(), max_cells_per_report));
    for (const auto* counts : recent)
        message.cells.push_back(counts->counts);
    for (const auto judge : item.judges)
    {
        if (judge == self_)
            handle(now, self_, message);
        else
            messages_.push_back({judge, message});
    }
}

rollout_control::service* rollout_control::find(rollout_id id)
{
    const auto found = std::ranges::find_if(services_, [id](const auto& item)
                                            { return item.second.id == id; });
    return found == services_.end() ? nullptr : &found->second;
}

double rollout_control::judge_share(time_point now, const service& item) const
{
    const auto& sums = item.judge.sums();
    if (item.gate.upstreams().of_target == 0 || !has_majority(now, item))
        return 0;
    const double spent =
        last_part_of_exposure *
        (options_.exposure * static_cast<double>(sums.requests) +
         options_.exposure_slack);
    if (static_cast<double>(sums.target_requests) > spent)
        return 0;
    const double age = std::max(to_seconds(item.gate.age(now)), 0.5);
    const double rate = static_cast<double>(sums.requests) / age;
    const double least = canary_part_of_exposure * options_.exposure;
    return std::clamp(wanted_canary_rate / std::max(rate, 1.0), least,
                      std::max(least, max_canary_share));
}

rollout_response rollout_control::response_of(time_point now,
                                              const service& item) const
{
    rollout_response result{.rollout = item.id, .stage = item.gate.stage()};
    result.order_age_ms = static_cast<std::uint32_t>(item.gate.age(now) / 1ms);
    if (item.known.phase == rollout_phase::complete)
        result.stage = rollout_stage::advance;
    double share = 0;
    if (result.stage == rollout_stage::canary)
        share = judge_share(now, item);
    else if (result.stage == rollout_stage::advance)
        share = item.gate.share(now);
    result.share_steps =
        static_cast<std::uint8_t>(std::floor(share / rollout_share_step));
    return result;
}

void rollout_control::handle(time_point now, router_id from,
                             const rollout_report& message)
{
    auto* item = find(message.rollout);
    if (item == nullptr)
        return;
    item->gate.learn_age(now, message.order_age_ms);
    item->judge.add_report(now, from, message);
    const auto response = response_of(now, *item);
    if (from == self_)
    {
        if (has_majority(now, *item))
            handle(now, self_, response);
    }
    else
        messages_.push_back({from, response});
}

void rollout_control::handle(time_point now, router_id /*from*/,
                             const rollout_response& message)
{
    auto* item = find(message.rollout);
    if (item == nullptr)
        return;
    const auto before = item->gate.stage();
    item->gate.handle(now, message);
    if (item->gate.stage() == before)
        return;
    log(*item, name_in(rollout_stage_names, item->gate.stage()),
        "cause=judge " + evidence_text(now, *item));
    item->announcements = announcement_count;
}

void rollout_control::set_stage(time_point now, service& item,
                                rollout_stage stage, std::string_view cause)
{
    item.gate.set_stage(now, stage);
    log(item, name_in(rollout_stage_names, stage),
        "cause=" + std::string{cause} + " " + evidence_text(now, item));
    item.announcements = announcement_count;
    item.next_announcement = now;
    handle(now, self_, response_of(now, item));
}

void rollout_control::judge(time_point now, service& item)
{
    if (is_final(item.known.phase) ||
        item.gate.stage() == rollout_stage::revert)
        return;
    if (now < item.next_evaluation)
        return;
    item.next_evaluation = now + evaluation_period;
    const auto& evidence = item.judge.evaluate(now);
    if (evidence.excess >= 0)
        return set_stage(now, item, rollout_stage::revert, "evidence");
    if (item.gate.share(now) >= 1 && !item.all_since)
        item.all_since = now;
    const auto age = item.gate.age(now);
    const auto due = schedule_of(item);
    if (!has_majority(now, item) || item.gate.has_one_version())
        return;
    const bool is_bad = evidence.greatest() >= bad_evidence;
    if (item.gate.stage() == rollout_stage::advance)
    {
        if (is_bad && age >= due.complete_by)
            set_stage(now, item, rollout_stage::revert, "evidence");
        return;
    }
    const auto& sums = item.judge.sums();
    const bool is_unknown =
        item.gate.upstreams().of_target == 0 ||
        (sums.target_requests > 0 && sums.target_responses == 0);
    if (is_unknown)
    {
        if (age >= due.complete_by)
            set_stage(now, item, rollout_stage::revert, "no_responses");
    }
    else if (age >= due.advance_by &&
             (evidence.greatest() <= 0 || is_bad || age >= due.advance_last))
        set_stage(now, item,
                  is_bad ? rollout_stage::revert : rollout_stage::advance,
                  "time");
    else if (age >= due.advance_from && evidence.greatest() <= good_evidence)
        set_stage(now, item, rollout_stage::advance, "evidence");
}

bool rollout_control::is_settled(const service& item)
{
    return is_final(item.known.phase) &&
           item.stored_phase == item.known.phase && !item.known.is_status_lost;
}

std::optional<rollout_phase>
rollout_control::wanted_phase(time_point now, const service& item) const
{
    if (is_final(item.known.phase))
        return is_settled(item) ? std::nullopt : item.known.phase;
    if (item.gate.stage() == rollout_stage::revert)
        return rollout_phase::reverted;
    const auto age = item.gate.age(now);
    const auto due = schedule_of(item);
    const auto& sums = item.judge.sums();
    // A router that restarts while the other versions are unusable does not
    // see them, but other routers sent them requests.
    const bool has_one_version =
        item.gate.has_one_version() && item.gate.upstreams().of_target > 0 &&
        sums.requests == sums.target_requests && age >= due.advance_from;
    const bool has_ended =
        item.gate.stage() == rollout_stage::advance &&
        (has_moved(now, item) || (item.all_since && age >= due.complete_by));
    if (has_majority(now, item) && (has_one_version || has_ended))
        return rollout_phase::complete;
    if (!item.known.phase)
        return rollout_phase::active;
    return std::nullopt;
}

void rollout_control::write(time_point now, service& item)
{
    const auto phase = wanted_phase(now, item);
    if (!phase)
        return item.wanted.reset();
    if (!item.wanted || item.wanted->phase != *phase)
        item.wanted = {.phase = *phase, .since = now};
    const auto delay =
        write_delay * static_cast<duration::rep>(*item.judge_rank);
    if (item.is_writing || now < item.next_write ||
        now - item.wanted->since < delay)
        return;
    item.is_writing = true;
    item.written = *phase;
    writes_.push_back(
        {.service = item.known.order.service,
         .status = {.target = item.known.order.target, .phase = *phase},
         .order_revision = item.known.order_revision,
         .status_revision = item.known.status_revision});
}

void rollout_control::announce(time_point now, service& item)
{
    if (item.announcements == 0 || now < item.next_announcement)
        return;
    --item.announcements;
    item.next_announcement = now + announcement_period;
    for (const auto& member : members_())
        if (member.id != self_)
            messages_.push_back({member.id, response_of(now, item)});
}

void rollout_control::handle_write_end(time_point now,
                                       const std::string& service,
                                       rollout_write_end end)
{
    const auto found = services_.find(service);
    if (found == services_.end())
        return;
    auto& item = found->second;
    if (!item.is_writing)
        return;
    item.is_writing = false;
    // After a conflict or a success, the directory is to show what is in force.
    item.next_write =
        now + (end == rollout_write_end::unknown ? unknown_write_delay
                                                 : conflict_write_delay);
    if (end == rollout_write_end::written && is_final(item.written))
    {
        item.known.phase = item.written;
        item.gate.update(item.known, item.gate.upstreams());
    }
    constexpr std::array names{"written", "conflict", "unknown"};
    log(item, "write",
        std::string{"result="} + names.at(static_cast<std::size_t>(end)) +
            " phase=" +
            std::string{name_in(directory::rollout_phase_names, item.written)});
}

void rollout_control::log(const service& item, std::string_view change,
                          std::string detail)
{
    events_.push_back({item.known.order.service, item.known.order.target,
                       change, std::move(detail)});
}

std::string rollout_control::evidence_text(time_point now,
                                           const service& item) const
{
    const auto& sums = item.judge.sums();
    const auto& evidence = item.judge.evidence();
    const auto text = [](double value)
    {
        return std::to_string(std::lround(value * 100));
    };
    return "age_ms=" + std::to_string(item.gate.age(now) / 1ms) +
           " requests=" + std::to_string(sums.requests) +
           " target_requests=" + std::to_string(sums.target_requests) +
           " target_responses=" + std::to_string(sums.target_responses) +
           " target_failures=" + std::to_string(sums.target_failures) +
           " evidence_failures_percent=" + text(evidence.failures) +
           " evidence_slow_percent=" + text(evidence.slowness);
}

std::vector<addressed_rollout_message> rollout_control::take_messages()
{
    return std::exchange(messages_, {});
}

std::vector<rollout_write> rollout_control::take_writes()
{
    return std::exchange(writes_, {});
}

std::vector<rollout_event> rollout_control::take_events()
{
    return std::exchange(events_, {});
}

std::vector<rollout_summary> rollout_control::summaries(time_point now) const
{
    std::vector<rollout_summary> result;
    for (const auto& [name, item] : services_)
    {
        rollout_summary summary{.service = name,
                                .target = item.known.order.target,
                                .stage = item.gate.stage(),
                                .phase = item.known.phase,
                                .share = item.gate.share(now),
                                .age = item.gate.age(now),
                                .finish_within = item.known.order.finish_within,
                                .is_judge = item.judge_rank.has_value(),
                                .requests = item.gate.requests(),
                                .target_requests = item.gate.target_requests()};
        if (summary.is_judge)
        {
            const auto& sums = item.judge.sums();
            summary.requests = sums.requests;
            summary.target_requests = sums.target_requests;
            summary.target_responses = sums.target_responses;
            summary.target_failures = sums.target_failures;
            summary.target_slow = item.judge.slow_responses();
        }
        else
            for (const auto& [key, cell] : item.cells)
                if (key.second != upstream_id{})
                {
                    summary.target_responses += cell.counts.responses;
                    summary.target_failures += cell.counts.failures;
                }
        result.push_back(std::move(summary));
    }
    return result;
}

} // namespace baobabloft::dispatch

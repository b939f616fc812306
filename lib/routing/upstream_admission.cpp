#include "baobabloft/routing/upstream_admission.hpp"

#include <algorithm>
#include <cmath>

namespace baobabloft::routing
{

namespace
{

constexpr duration first_token_window = 10s;
/// Reports older than this do not occur; load within it explains a report.
constexpr duration report_lag_slot = 750ms;
/// Slots of permits that a report has caught up with.
constexpr std::int64_t confirmed_slots = 2;
/// Share of the multiple that is kept back for what the mean's estimate does
/// not know yet: a constant part, and a part for the arrivals and departures
/// since the loads were measured, which weigh less the more requests there are.
constexpr double constant_headroom = 0.02;
constexpr double headroom_deviations = 3;
/// Variance of the total within the loads' age, per request in progress.
constexpr double variance_per_request = 0.33;
constexpr double most_headroom = 0.15;
/// Below this share of the fleet the rest may be alive behind a partition,
/// with an owner of its own. Single lost hosts stay above it.
constexpr double partition_share = 0.8;
/// A former owner may still grant for this long after a view changed.
constexpr duration handover = 3s;
/// Until then a new owner may not know every permit that others granted.
constexpr duration settling = 10s;
constexpr double slow_factor = 3.0;
constexpr double slow_floor_ms = 250.0;
constexpr std::uint32_t slow_limit = 3;
constexpr std::uint32_t break_limit = 2;
constexpr duration break_window = 1s;
constexpr std::uint32_t failed_report_limit = 3;
constexpr duration first_hold_down = 1s;
constexpr duration longest_hold_down = 60s;
/// An upstream that stayed up this long starts with a short hold-down again.
constexpr duration calm_after = 120s;

/// Returns by how much `count` is above `known`.
constexpr std::uint32_t excess(std::uint32_t count, std::uint32_t known)
{
    return count > known ? count - known : 0;
}

constexpr std::uint32_t without_one(std::uint32_t count)
{
    return excess(count, 1);
}

} // namespace

admission_options make_admission_options(const config::service& service)
{
    return {.load_multiple = service.load_multiple,
            .load_floor = service.load_floor,
            .capacity = service.capacity,
            .cold_start_limit = service.cold.bearable,
            .ramp = service.cold.ramp,
            .reports_load = service.kind == config::service_kind::model};
}

upstream_admission::upstream_admission(const admission_options& options,
                                       time_point now)
    : options_(options), owned_since_(now), own_first_token_(first_token_window)
{
    if (!options_.reports_load)
        warmup_state_ = warmup_state::warm;
}

void upstream_admission::set_options(const admission_options& options)
{
    options_ = options;
}

void upstream_admission::record_report(time_point now,
                                       const load_report& report)
{
    failed_reports_ = 0;
    if (now >= down_until_)
        needs_report_ = false;
    leaving_ = report.leaving;
    const bool first = warmup_state_ == warmup_state::unknown;
    const bool restarted = !first && report.incarnation != incarnation_;
    incarnation_ = report.incarnation;
    unexplained_ = excess(report.running, recent_permits(now));
    unconfirmed_ = excess(lasting_permits(now), report.running);
    reported_ = report.running;
    net_grants_since_report_ = 0;
    if (report.cold || restarted)
    {
        if (warmup_state_ != warmup_state::cold)
            become_cold(now);
        if (report.cold)
            return;
    }
    if (first)
        warmup_state_ = warmup_state::warm;
    else if (warmup_state_ == warmup_state::cold && slow_in_a_row_ == 0)
    {
        warmup_state_ = warmup_state::ramping;
        ramp_started_ = now;
    }
}

void upstream_admission::record_failed_report(time_point now)
{
    if (!options_.reports_load)
        return;
    if (++failed_reports_ >= failed_report_limit && is_available(now))
        become_down(now);
}

void upstream_admission::set_service_load(const service_load& load)
{
    fleet_ = load;
}

void upstream_admission::set_live_share(double share)
{
    live_share_ = share;
}

void upstream_admission::record_grant(time_point now)
{
    ++net_grants_since_report_;
    set_permits(now, permits_ + 1);
}

void upstream_admission::record_registered_permit(time_point now)
{
    if (unexplained_ > 0)
        --unexplained_;
    set_permits(now, permits_ + 1);
}

void upstream_admission::record_release(time_point now, outcome request_outcome,
                                        double first_token_ms,
                                        time_point granted_at)
{
    record_expiry(now);
    if (first_token_ms > 0)
        note_first_token(now, first_token_ms, granted_at);
    if (request_outcome == outcome::connect_failed)
    {
        become_down(now);
        return;
    }
    // A silent connection says nothing of the upstream: something between the
    // ends may have lost track of it while new connections work.
    if (request_outcome != outcome::broken)
        return;
    if (now - last_break_ > break_window)
        breaks_ = 0;
    last_break_ = now;
    if (++breaks_ < break_limit)
        return;
    breaks_ = 0;
    become_down(now);
}

void upstream_admission::record_expiry(time_point now)
{
    --net_grants_since_report_;
    set_permits(now, without_one(permits_));
}

void upstream_admission::record_lost_holder(time_point now)
{
    permits_ = without_one(permits_);
    net_grants_since_report_ =
        std::min(net_grants_since_report_, std::int64_t{permits_});
    // Reports of a while ago did not hold its request any more.
    for (auto& slot : history_)
    {
        slot.permits = without_one(slot.permits);
        slot.fewest = without_one(slot.fewest);
    }
    unexplained_ =
        std::max(unexplained_, excess(reported_, recent_permits(now)));
    unconfirmed_ = without_one(unconfirmed_);
}

void upstream_admission::record_slow_first_token(time_point now,
                                                 double waited_ms)
{
    note_first_token(now, waited_ms, now);
}

std::uint32_t upstream_admission::load(time_point now) const
{
    const auto known = permits_ + unexplained_;
    if (now - owned_since_ >= settling)
        return known;
    // A former owner may still grant, and holders register what they have one
    // after the other: the upstream's own count goes first.
    const auto counted = std::max<std::int64_t>(
        std::int64_t{reported_} + net_grants_since_report_, 0);
    return std::max(known, static_cast<std::uint32_t>(counted));
}

std::uint32_t upstream_admission::confirmed_load() const
{
    const auto known = permits_ + unexplained_;
    return excess(known, unconfirmed_);
}

std::uint32_t upstream_admission::limit(time_point now) const
{
    if (!is_available(now) || leaving_)
        return 0;
    const auto full = full_limit();
    const auto bearable = std::min(options_.cold_start_limit, full);
    const bool new_owner = now - owned_since_ < handover;
    switch (state(now))
    {
    case warmup_state::unknown:
        return 0;
    case warmup_state::cold:
        // A former owner may still grant up to the bearable load itself.
        return new_owner ? 0 : shared_limit(bearable);
    case warmup_state::ramping:
        break;
    case warmup_state::warm:
        return live_share_ < partition_share ? shared_limit(full) : full;
    }
    const double progress =
        to_seconds(now - ramp_started_) / to_seconds(options_.ramp);
    const auto ramped =
        bearable + static_cast<std::uint32_t>(std::clamp(progress, 0.0, 1.0) *
                                              (full - bearable));
    return shared_limit(ramped);
}

bool upstream_admission::is_available(time_point now) const
{
    return now >= down_until_ && !needs_report_;
}

bool upstream_admission::is_leaving() const
{
    return leaving_;
}

warmup_state upstream_admission::state(time_point now) const
{
    if (warmup_state_ == warmup_state::ramping &&
        now - ramp_started_ >= options_.ramp)
        return warmup_state::warm;
    return warmup_state_;
}

double upstream_admission::mean_load() const
{
    return fleet_.mean;
}

double upstream_admission::first_token_ms(time_point now) const
{
    return own_first_token_.value(now).value_or(0);
}

double upstream_admission::usual_first_token_ms() const
{
    return fleet_.first_token_ms;
}

std::uint64_t upstream_admission::outages() const
{
    return outages_;
}

void upstream_admission::set_permits(time_point now, std::uint32_t permits)
{
    // Both numbers were held within this slot.
    note_permits(now);
    permits_ = permits;
    note_permits(now);
}

void upstream_admission::note_permits(time_point now)
{
    const auto index = now.time_since_epoch() / report_lag_slot;
    auto& slot = history_[static_cast<std::size_t>(index) % history_slots];
    if (slot.index != index)
        slot = {index, permits_, permits_};
    slot.permits = std::max(slot.permits, permits_);
    slot.fewest = std::min(slot.fewest, permits_);
}

std::uint32_t upstream_admission::recent_permits(time_point now) const
{
    const auto index = now.time_since_epoch() / report_lag_slot;
    auto most = permits_;
    for (const auto& slot : history_)
        if (slot.index + static_cast<std::int64_t>(history_slots) > index)
            most = std::max(most, slot.permits);
    return most;
}

std::uint32_t upstream_admission::lasting_permits(time_point now) const
{
    const auto index = now.time_since_epoch() / report_lag_slot;
    auto fewest = permits_;
    for (const auto& slot : history_)
        if (slot.index >= 0 && slot.index + confirmed_slots > index)
            fewest = std::min(fewest, slot.fewest);
    return fewest;
}

std::uint32_t upstream_admission::full_limit() const
{
    const double headroom =
        constant_headroom +
        headroom_deviations *
            std::sqrt(variance_per_request / std::max(fleet_.total, 1.0));
    const double allowed = options_.load_multiple *
                           (1 - std::min(headroom, most_headroom)) *
                           fleet_.mean;
    const auto by_mean = std::max(
        options_.load_floor, static_cast<std::uint32_t>(std::ceil(allowed)));
    return std::min(options_.capacity, by_mean);
}

std::uint32_t upstream_admission::shared_limit(std::uint32_t limit) const
{
    // Shares of all parts of a divided fleet add up to one, so that the sum of
    // what their owners grant stays within the limit.
    const auto own = static_cast<std::uint32_t>(live_share_ * limit);
    return std::min(limit, unexplained_ + own);
}

void upstream_admission::become_cold(time_point now)
{
    if (warmup_state_ != warmup_state::unknown)
        ++outages_;
    warmup_state_ = warmup_state::cold;
    ramp_started_ = now;
}

void upstream_admission::become_down(time_point now)
{
    if (now < down_until_)
        return;
    const bool calm = hold_down_ == duration{} || now - last_down_ > calm_after;
    hold_down_ =
        calm ? first_hold_down : std::min(hold_down_ * 2, longest_hold_down);
    last_down_ = now;
    down_until_ = now + hold_down_;
    failed_reports_ = 0;
    ++outages_;
    needs_report_ = options_.reports_load;
    // What comes back after a failure starts small, whatever it reports.
    warmup_state_ =
        options_.reports_load ? warmup_state::cold : warmup_state::ramping;
    ramp_started_ = down_until_;
}

bool upstream_admission::is_slow(double first_token_ms) const
{
    return fleet_.first_token_ms > 0 && first_token_ms > slow_floor_ms &&
           first_token_ms > slow_factor * fleet_.first_token_ms;
}

void upstream_admission::note_first_token(time_point now, double ms,
                                          time_point granted_at)
{
    own_first_token_.add(now, ms);
    if (!is_slow(ms))
    {
        // A request that began before the upstream turned slow says nothing of
        // its state now.
        if (granted_at < last_slow_)
            return;
        slow_in_a_row_ = 0;
        if (warmup_state_ == warmup_state::cold && !options_.reports_load)
        {
            warmup_state_ = warmup_state::ramping;
            ramp_started_ = now;
        }
        return;
    }
    last_slow_ = now;
    if (++slow_in_a_row_ < slow_limit)
        return;
    if (warmup_state_ == warmup_state::warm ||
        warmup_state_ == warmup_state::ramping)
        become_cold(now);
}

} // namespace baobabloft::routing

// Admission limits of one upstream.
#include "baobabloft/routing/upstream_admission.hpp"

#include <algorithm>
#include <cmath>

namespace baobabloft::routing
{

namespace
{

constexpr duration first_token_window = 10s;
/// Slot length of the permit history. No report is older than the history, so
/// that permits held within the history account for the load in a report.
constexpr duration history_slot_length = 750ms;
/// A report includes every permit that was held throughout this many of the
/// latest slots.
constexpr std::int64_t confirmed_slots = 2;
/// Share of the load multiple that is held back because the estimated mean
/// lags: a constant part, and a part for arrivals and departures since the
/// loads were measured, whose relative weight falls with the number of
/// requests.
constexpr double constant_headroom = 0.02;
constexpr double headroom_deviations = 3;
/// Variance of the total load during the age of the loads, per request in
/// progress.
constexpr double variance_per_request = 0.33;
constexpr double max_headroom = 0.15;
/// Below this live share the rest of the fleet may be alive behind a network
/// partition, with an owner of its own. The loss of single hosts leaves the
/// live share above this value.
constexpr double partition_live_share = 0.8;
/// A previous owner may still grant permits for this long after a change of the
/// fleet view.
constexpr duration handover_period = 3s;
/// For this long after it takes over, an owner may not know every permit that
/// others granted.
constexpr duration settling_period = 10s;
constexpr double slow_first_token_factor = 3.0;
constexpr double min_slow_first_token_ms = 250.0;
constexpr std::uint32_t slow_first_token_limit = 3;
constexpr std::uint32_t broken_connection_limit = 2;
constexpr duration broken_connection_window = 1s;
constexpr std::uint32_t failed_report_limit = 3;
constexpr duration first_hold_down = 1s;
constexpr duration max_hold_down = 60s;
/// If an upstream last became down longer ago than this, its next hold-down is
/// short again.
constexpr duration hold_down_reset_after = 120s;

/// Returns by how much `count` exceeds `known`, or 0.
constexpr std::uint32_t excess_over(std::uint32_t count, std::uint32_t known)
{
    return count > known ? count - known : 0;
}

constexpr std::uint32_t decremented(std::uint32_t count)
{
    return excess_over(count, 1);
}

} // namespace

admission_options make_admission_options(const config::service& service)
{
    return {.load_multiple = service.load_multiple,
            .load_floor = service.load_floor,
            .capacity = service.capacity,
            .cold_start_limit = service.cold_start.request_limit,
            .ramp = service.cold_start.ramp,
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
    const bool first_report = warmup_state_ == warmup_state::unknown;
    const bool restarted = !first_report && report.incarnation != incarnation_;
    incarnation_ = report.incarnation;
    unexplained_load_ = excess_over(report.running, max_recent_permits(now));
    unconfirmed_permits_ =
        excess_over(continuously_held_permits(now), report.running);
    reported_load_ = report.running;
    net_grants_since_report_ = 0;
    if (report.cold || restarted)
    {
        if (warmup_state_ != warmup_state::cold)
            become_cold(now);
        if (report.cold)
            return;
    }
    if (first_report)
        warmup_state_ = warmup_state::warm;
    else if (warmup_state_ == warmup_state::cold &&
             consecutive_slow_first_tokens_ == 0)
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
    service_load_ = load;
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
    if (unexplained_load_ > 0)
        --unexplained_load_;
    set_permits(now, permits_ + 1);
}

void upstream_admission::record_release(time_point now, outcome request_outcome,
                                        double first_token_ms,
                                        time_point granted_at)
{
    record_permit_end(now);
    if (first_token_ms > 0)
        record_first_token(now, first_token_ms, granted_at);
    if (request_outcome == outcome::connect_failed)
    {
        become_down(now);
        return;
    }
    // An unresponsive connection (outcome::timed_out) says nothing about the
    // upstream: a device on the path may have lost its state of the connection
    // while new connections work.
    if (request_outcome != outcome::broken)
        return;
    if (now - last_broken_connection_ > broken_connection_window)
        broken_connections_ = 0;
    last_broken_connection_ = now;
    if (++broken_connections_ < broken_connection_limit)
        return;
    broken_connections_ = 0;
    become_down(now);
}

void upstream_admission::record_permit_end(time_point now)
{
    --net_grants_since_report_;
    set_permits(now, decremented(permits_));
}

void upstream_admission::record_lost_holder(time_point now)
{
    permits_ = decremented(permits_);
    net_grants_since_report_ =
        std::min(net_grants_since_report_, std::int64_t{permits_});
    // The request ended some time ago, so that recent reports no longer
    // included it.
    for (auto& slot : permit_history_)
    {
        slot.max_permits = decremented(slot.max_permits);
        slot.min_permits = decremented(slot.min_permits);
    }
    unexplained_load_ =
        std::max(unexplained_load_,
                 excess_over(reported_load_, max_recent_permits(now)));
    unconfirmed_permits_ = decremented(unconfirmed_permits_);
}

void upstream_admission::record_slow_first_token(time_point now,
                                                 double waited_ms)
{
    record_first_token(now, waited_ms, now);
}

std::uint32_t upstream_admission::load(time_point now) const
{
    const auto known = permits_ + unexplained_load_;
    if (now - owned_since_ >= settling_period)
        return known;
    // A previous owner may still grant permits, and holders register theirs one
    // after the other, so the upstream's own count is used if it is higher.
    const auto counted = std::max<std::int64_t>(
        std::int64_t{reported_load_} + net_grants_since_report_, 0);
    return std::max(known, static_cast<std::uint32_t>(counted));
}

std::uint32_t upstream_admission::confirmed_load() const
{
    const auto known = permits_ + unexplained_load_;
    return excess_over(known, unconfirmed_permits_);
}

std::uint32_t upstream_admission::limit(time_point now) const
{
    if (!is_available(now) || leaving_)
        return 0;
    const auto full = full_limit();
    const auto cold_limit = std::min(options_.cold_start_limit, full);
    const bool is_new_owner = now - owned_since_ < handover_period;
    switch (state(now))
    {
    case warmup_state::unknown:
        return 0;
    case warmup_state::cold:
        // A previous owner may still grant permits up to the cold-start limit.
        return is_new_owner ? 0 : shared_limit(cold_limit);
    case warmup_state::ramping:
        break;
    case warmup_state::warm:
        return live_share_ < partition_live_share ? shared_limit(full) : full;
    }
    const double progress =
        to_seconds(now - ramp_started_) / to_seconds(options_.ramp);
    const auto ramped =
        cold_limit + static_cast<std::uint32_t>(std::clamp(progress, 0.0, 1.0) *
                                                (full - cold_limit));
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
    return service_load_.mean;
}

double upstream_admission::first_token_ms(time_point now) const
{
    return own_first_token_.value(now).value_or(0);
}

double upstream_admission::usual_first_token_ms() const
{
    return service_load_.first_token_ms;
}

std::uint64_t upstream_admission::outages() const
{
    return outages_;
}

void upstream_admission::set_permits(time_point now, std::uint32_t permits)
{
    // Both the old and the new count occurred within this slot.
    record_permits(now);
    permits_ = permits;
    record_permits(now);
}

void upstream_admission::record_permits(time_point now)
{
    const auto index = now.time_since_epoch() / history_slot_length;
    auto& slot =
        permit_history_[static_cast<std::size_t>(index) % history_slots];
    if (slot.slot_index != index)
        slot = {index, permits_, permits_};
    slot.max_permits = std::max(slot.max_permits, permits_);
    slot.min_permits = std::min(slot.min_permits, permits_);
}

std::uint32_t upstream_admission::max_recent_permits(time_point now) const
{
    const auto index = now.time_since_epoch() / history_slot_length;
    auto max_permits = permits_;
    for (const auto& slot : permit_history_)
        if (slot.slot_index + static_cast<std::int64_t>(history_slots) > index)
            max_permits = std::max(max_permits, slot.max_permits);
    return max_permits;
}

std::uint32_t
upstream_admission::continuously_held_permits(time_point now) const
{
    const auto index = now.time_since_epoch() / history_slot_length;
    auto fewest = permits_;
    for (const auto& slot : permit_history_)
        if (slot.slot_index >= 0 && slot.slot_index + confirmed_slots > index)
            fewest = std::min(fewest, slot.min_permits);
    return fewest;
}

std::uint32_t upstream_admission::full_limit() const
{
    const double headroom =
        constant_headroom +
        headroom_deviations * std::sqrt(variance_per_request /
                                        std::max(service_load_.total, 1.0));
    const double allowed = options_.load_multiple *
                           (1 - std::min(headroom, max_headroom)) *
                           service_load_.mean;
    const auto by_mean = std::max(
        options_.load_floor, static_cast<std::uint32_t>(std::ceil(allowed)));
    return std::min(options_.capacity, by_mean);
}

std::uint32_t upstream_admission::shared_limit(std::uint32_t limit) const
{
    // The live shares of all parts of a partitioned fleet add up to one, so
    // that the permits of their owners together stay within the limit.
    const auto own_share = static_cast<std::uint32_t>(live_share_ * limit);
    return std::min(limit, unexplained_load_ + own_share);
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
    const bool stable =
        hold_down_ == duration{} || now - last_down_ > hold_down_reset_after;
    hold_down_ =
        stable ? first_hold_down : std::min(hold_down_ * 2, max_hold_down);
    last_down_ = now;
    down_until_ = now + hold_down_;
    failed_reports_ = 0;
    ++outages_;
    needs_report_ = options_.reports_load;
    // An upstream that returns after a failure starts at the cold-start limit,
    // whatever it reports.
    warmup_state_ =
        options_.reports_load ? warmup_state::cold : warmup_state::ramping;
    ramp_started_ = down_until_;
}

bool upstream_admission::is_slow(double first_token_ms) const
{
    return service_load_.first_token_ms > 0 &&
           first_token_ms > min_slow_first_token_ms &&
           first_token_ms >
               slow_first_token_factor * service_load_.first_token_ms;
}

void upstream_admission::record_first_token(time_point now, double ms,
                                            time_point granted_at)
{
    own_first_token_.add(now, ms);
    if (!is_slow(ms))
    {
        // A request that started before the upstream became slow says nothing
        // about its present state.
        if (granted_at < last_slow_first_token_)
            return;
        consecutive_slow_first_tokens_ = 0;
        if (warmup_state_ == warmup_state::cold && !options_.reports_load)
        {
            warmup_state_ = warmup_state::ramping;
            ramp_started_ = now;
        }
        return;
    }
    last_slow_first_token_ = now;
    if (++consecutive_slow_first_tokens_ < slow_first_token_limit)
        return;
    if (warmup_state_ == warmup_state::warm ||
        warmup_state_ == warmup_state::ramping)
        become_cold(now);
}

} // namespace baobabloft::routing

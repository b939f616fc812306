// Decides how many requests one upstream may run at a time, as its owner sees
// it: from a multiple of the service's mean load, the cold-start ramp, health,
// and load from permits that the owner does not know.
#pragma once

#include "baobabloft/config/preset.hpp"
#include "baobabloft/routing/load_table.hpp"
#include "baobabloft/routing/messages.hpp"
#include "baobabloft/routing/windowed_mean.hpp"

#include <array>
#include <cstdint>

namespace baobabloft::routing
{

/// How far an upstream is ready for its full share of the load.
enum class warmup_state : std::uint8_t
{
    /// No load report yet.
    unknown,
    cold,
    ramping,
    warm
};

inline constexpr std::array warmup_state_names{
    enum_name<warmup_state>{warmup_state::unknown, "unknown"},
    enum_name<warmup_state>{warmup_state::cold, "cold"},
    enum_name<warmup_state>{warmup_state::ramping, "ramping"},
    enum_name<warmup_state>{warmup_state::warm, "warm"},
};

/// An upstream's report about itself. Reports may lag by seconds.
struct load_report
{
    /// Requests in progress.
    std::uint32_t running = 0;
    /// Changes when the upstream restarts.
    std::uint64_t incarnation = 0;
    bool cold = false;
    bool leaving = false;
};

/// Limits for the upstreams of one service, from the preset.
struct admission_options
{
    double load_multiple = 1.25;
    std::uint32_t load_floor = 4;
    std::uint32_t capacity = 64;
    std::uint32_t cold_start_limit = 2;
    duration ramp = 30s;
    /// False for services that publish no load report.
    bool reports_load = true;
};

/// Returns the admission options of `service`.
admission_options make_admission_options(const config::service& service);

/// Admission state of one upstream.
class upstream_admission
{
public:
    upstream_admission(const admission_options& options, time_point now);

    /// Applies the options of a new preset.
    void set_options(const admission_options& options);

    /// Applies a load report of the upstream.
    void record_report(time_point now, const load_report& report);

    /// Records that a load report could not be read; several failures in a row
    /// mark the upstream down.
    void record_failed_report(time_point now);

    /// Sets the load of the whole service, from which the limit is computed.
    void set_service_load(const service_load& load);

    /// Sets the share of the fleet that the owner sees alive, 0 to 1. The rest
    /// may have another owner that grants permits, so that a small share
    /// reduces the limit of this owner.
    void set_live_share(double share);

    /// Records a granted permit.
    void record_grant(time_point now);

    /// Records a permit that a previous owner granted.
    void record_registered_permit(time_point now);

    /// Records the end of a permit that was granted at `granted_at`.
    void record_release(time_point now, outcome request_outcome,
                        double first_token_ms, time_point granted_at);

    /// Records the end of a permit without regard to the outcome of its
    /// request.
    void record_permit_end(time_point now);

    /// Records the end of a permit whose holder was lost some time ago together
    /// with its request.
    void record_lost_holder(time_point now);

    /// Records that a request has waited `waited_ms` for its first token.
    void record_slow_first_token(time_point now, double waited_ms);

    /// Returns the number of requests in progress, as far as known.
    [[nodiscard]] std::uint32_t load(time_point now) const;

    /// Returns the load less the permits that the upstream's report does not
    /// confirm, such as those of a lost router. This value counts in the mean
    /// load of the service.
    [[nodiscard]] std::uint32_t confirmed_load() const;

    /// Returns how many requests in progress are allowed at `now`.
    [[nodiscard]] std::uint32_t limit(time_point now) const;

    /// Returns false while the upstream is down.
    [[nodiscard]] bool is_available(time_point now) const;

    /// Returns true if the upstream itself reports that it is leaving.
    [[nodiscard]] bool is_leaving() const;

    [[nodiscard]] warmup_state state(time_point now) const;

    /// Returns the last known mean load of the service's upstreams.
    [[nodiscard]] double mean_load() const;

    /// Returns the upstream's recent mean time to first token in milliseconds;
    /// 0 if not known.
    [[nodiscard]] double first_token_ms(time_point now) const;

    /// Returns the service's usual time to first token in milliseconds; 0 if
    /// not known.
    [[nodiscard]] double usual_first_token_ms() const;

    /// Returns the number of times that the upstream became down or cold.
    [[nodiscard]] std::uint64_t outages() const;

private:
    void set_permits(time_point now, std::uint32_t permits);
    void record_permits(time_point now);
    /// Returns the largest number of permits held at once within the history.
    [[nodiscard]] std::uint32_t max_recent_permits(time_point now) const;
    /// Returns the number of permits held without interruption during the
    /// latest slots of the history, which a report should therefore include.
    [[nodiscard]] std::uint32_t continuously_held_permits(time_point now) const;
    [[nodiscard]] std::uint32_t full_limit() const;
    /// Returns `limit`, or less if another owner may use part of it.
    [[nodiscard]] std::uint32_t shared_limit(std::uint32_t limit) const;
    void become_cold(time_point now);
    void become_down(time_point now);
    [[nodiscard]] bool is_slow(double first_token_ms) const;
    void record_first_token(time_point now, double ms, time_point granted_at);

    static constexpr std::size_t history_slots = 8;

    struct permit_range
    {
        std::int64_t slot_index = -1;
        std::uint32_t max_permits = 0;
        std::uint32_t min_permits = 0;
    };

    admission_options options_;
    time_point owned_since_;
    warmup_state warmup_state_ = warmup_state::unknown;
    time_point ramp_started_;
    std::uint64_t incarnation_ = 0;
    std::uint32_t permits_ = 0;
    /// Requests in the latest report that no known permit accounts for.
    std::uint32_t unexplained_load_ = 0;
    /// Permits that the latest report should include but does not.
    std::uint32_t unconfirmed_permits_ = 0;
    /// Requests in the latest report, and the number of permits granted since
    /// then less the number of permits ended since then.
    std::uint32_t reported_load_ = 0;
    std::int64_t net_grants_since_report_ = 0;
    std::array<permit_range, history_slots> permit_history_{};
    service_load service_load_;
    double live_share_ = 1;
    windowed_mean own_first_token_;
    std::uint32_t consecutive_slow_first_tokens_ = 0;
    time_point last_slow_first_token_;
    std::uint32_t broken_connections_ = 0;
    time_point last_broken_connection_;
    std::uint32_t failed_reports_ = 0;
    time_point down_until_;
    time_point last_down_;
    duration hold_down_{};
    bool needs_report_ = false;
    bool leaving_ = false;
    std::uint64_t outages_ = 0;
};

} // namespace baobabloft::routing

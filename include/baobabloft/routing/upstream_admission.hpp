// How much one upstream may carry now, as its owner sees it: the multiple of
// the mean, the cold-start ramp, health, and load that others caused.
#pragma once

#include "baobabloft/config/preset.hpp"
#include "baobabloft/routing/load_table.hpp"
#include "baobabloft/routing/messages.hpp"
#include "baobabloft/routing/windowed_mean.hpp"

#include <array>
#include <cstdint>

namespace baobabloft::routing
{

/// How ready an upstream is for its full share.
enum class warmup_state : std::uint8_t
{
    /// No report yet.
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

/// What an upstream says of itself. Reports may lag by seconds.
struct load_report
{
    /// Requests in progress.
    std::uint32_t running = 0;
    /// Changes when the upstream restarts.
    std::uint64_t incarnation = 0;
    bool cold = false;
    bool leaving = false;
};

/// The limit of one service's upstreams, from the preset.
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

/// Returns the gate options of `service`.
admission_options make_admission_options(const config::service& service);

/// Admission state of one upstream.
class upstream_admission
{
public:
    upstream_admission(const admission_options& options, time_point now);

    /// Applies a changed preset.
    void set_options(const admission_options& options);

    /// Takes in a report of the upstream itself.
    void record_report(time_point now, const load_report& report);

    /// Counts a report that could not be read.
    void record_failed_report(time_point now);

    /// Takes in the load of the service's upstreams.
    void set_service_load(const service_load& load);

    /// Sets the share of the fleet that the owner sees alive. Another owner
    /// may grant on behalf of the rest, so that a small share limits what this
    /// one grants.
    void set_live_share(double share);

    /// Counts a granted permit.
    void record_grant(time_point now);

    /// Counts a permit that a former owner had granted.
    void record_registered_permit(time_point now);

    /// Counts the end of a permit that was granted at `granted_at`.
    void record_release(time_point now, outcome request_outcome,
                        double first_token_ms, time_point granted_at);

    /// Counts a permit whose lease ran out.
    void record_expiry(time_point now);

    /// Counts the end of a permit whose holder was lost some time ago, and its
    /// request with it.
    void record_lost_holder(time_point now);

    /// Takes in that a request has waited `waited_ms` for its first token.
    void record_slow_first_token(time_point now, double waited_ms);

    /// Returns requests in progress, as far as known.
    [[nodiscard]] std::uint32_t load(time_point now) const;

    /// Returns the load without permits that the upstream's report does not
    /// confirm, such as those of a router that was lost: the part that counts
    /// in the mean.
    [[nodiscard]] std::uint32_t confirmed_load() const;

    /// Returns the most requests in progress that are allowed at `now`.
    [[nodiscard]] std::uint32_t limit(time_point now) const;

    /// Returns false while the upstream is down.
    [[nodiscard]] bool is_available(time_point now) const;

    /// Returns true if the upstream itself reports that it is leaving.
    [[nodiscard]] bool is_leaving() const;

    [[nodiscard]] warmup_state state(time_point now) const;

    /// Returns the mean load of the service's upstreams as last heard.
    [[nodiscard]] double mean_load() const;

    /// Returns the recent time to first token, milliseconds, or 0.
    [[nodiscard]] double first_token_ms(time_point now) const;

    /// Returns the service's usual time to first token, milliseconds, or 0.
    [[nodiscard]] double usual_first_token_ms() const;

    /// Returns the number of times that the upstream went down or cold.
    [[nodiscard]] std::uint64_t outages() const;

private:
    void set_permits(time_point now, std::uint32_t permits);
    void note_permits(time_point now);
    /// Returns the most permits that were held at once lately.
    [[nodiscard]] std::uint32_t recent_permits(time_point now) const;
    /// Returns the permits that were held all the while that a report lags.
    [[nodiscard]] std::uint32_t lasting_permits(time_point now) const;
    [[nodiscard]] std::uint32_t full_limit() const;
    /// Returns `limit`, or less if another owner may use a part of it.
    [[nodiscard]] std::uint32_t shared_limit(std::uint32_t limit) const;
    void become_cold(time_point now);
    void become_down(time_point now);
    [[nodiscard]] bool is_slow(double first_token_ms) const;
    void note_first_token(time_point now, double ms, time_point granted_at);

    static constexpr std::size_t history_slots = 8;

    struct permit_peak
    {
        std::int64_t index = -1;
        std::uint32_t permits = 0;
        std::uint32_t fewest = 0;
    };

    admission_options options_;
    time_point owned_since_;
    warmup_state warmup_state_ = warmup_state::unknown;
    time_point ramp_started_;
    std::uint64_t incarnation_ = 0;
    std::uint32_t permits_ = 0;
    /// Load in the report that no known permit explains.
    std::uint32_t unexplained_ = 0;
    /// Permits that the report should have confirmed and did not.
    std::uint32_t unconfirmed_ = 0;
    /// Requests in the latest report, and permits granted less those that
    /// ended since it came.
    std::uint32_t reported_ = 0;
    std::int64_t net_grants_since_report_ = 0;
    std::array<permit_peak, history_slots> history_{};
    service_load fleet_;
    double live_share_ = 1;
    windowed_mean own_first_token_;
    std::uint32_t slow_in_a_row_ = 0;
    time_point last_slow_;
    std::uint32_t breaks_ = 0;
    time_point last_break_;
    std::uint32_t failed_reports_ = 0;
    time_point down_until_;
    time_point last_down_;
    duration hold_down_{};
    bool needs_report_ = false;
    bool leaving_ = false;
    std::uint64_t outages_ = 0;
};

} // namespace baobabloft::routing

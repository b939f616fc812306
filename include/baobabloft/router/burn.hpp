// Error-budget burn: counts of events that met or missed a service-level
// objective, per service and customer, over several time windows. They show how
// fast the error budget is used up.
#pragma once

#include "baobabloft/support/enum_names.hpp"
#include "baobabloft/support/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace baobabloft::router
{

/// A service-level objective.
enum class objective : std::uint8_t
{
    /// Time to the first token.
    first_token,
    /// Time between two successive tokens.
    between_tokens,
    /// Time to the complete response.
    answered
};

inline constexpr std::array objective_names{
    enum_name<objective>{objective::first_token, "first_token"},
    enum_name<objective>{objective::between_tokens, "between_tokens"},
    enum_name<objective>{objective::answered, "answered"},
};

/// Time windows over which burn is reported, shortest first.
inline constexpr std::array<duration, 4> burn_windows{
    duration{300s}, duration{1800s}, duration{3600s}, duration{21600s}};

/// Names of the windows, in the order of burn_windows.
inline constexpr std::array<std::string_view, burn_windows.size()>
    burn_window_names{"5m", "30m", "1h", "6h"};

/// Identifies one series of counted events.
struct burn_key
{
    std::string service;
    std::string customer;
    objective objective_kind{};

    friend auto operator<=>(const burn_key&, const burn_key&) = default;
};

/// Number of events within one window, and how many missed the objective.
struct burn_counts
{
    std::uint64_t total = 0;
    std::uint64_t missed = 0;
};

/// Counts of one series in every window.
struct burn_row
{
    burn_key key;
    /// Share of events that must meet the objective.
    double target = 0;
    std::array<burn_counts, burn_windows.size()> windows{};
};

/// Counts events per objective in buckets of half the shortest window.
class burn_meter
{
public:
    /// Counts one event. `target` replaces the target of the series.
    void record(time_point now, const burn_key& key, double target,
                bool missed);

    /// Returns the counts of every series in the windows that end at `now`.
    [[nodiscard]] std::vector<burn_row> rows(time_point now) const;

private:
    static constexpr duration bucket_duration = 150s;
    static constexpr std::size_t bucket_count =
        static_cast<std::size_t>(burn_windows.back() / bucket_duration);

    struct bucket
    {
        /// Time since the epoch of the clock, in units of bucket_duration.
        std::int64_t index = -1;
        std::uint32_t total = 0;
        std::uint32_t missed = 0;
    };

    struct series
    {
        double target = 0;
        /// Buckets that contain events, oldest first. Empty buckets are not
        /// stored, so that idle series use little memory.
        std::vector<bucket> non_empty_buckets;
    };

    std::map<burn_key, series> series_;
};

} // namespace baobabloft::router

// Error-budget burn report: how fast each service uses up the error budget of
// its service-level objectives, summed over all routers.
#pragma once

#include "baobabloft/operators/fleet_client.hpp"
#include "baobabloft/router/burn.hpp"

#include <string>
#include <vector>

namespace baobabloft::operators
{

/// Alert level of a series. As in multi-window burn-rate alerting, the burn
/// rate must reach its limit in a short and a long window: 5 min and 1 h for
/// `page`, 30 min and 6 h for `ticket`.
enum class burn_alert
{
    none,
    ticket,
    page
};

inline constexpr std::array burn_alert_names{
    enum_name<burn_alert>{burn_alert::none, "ok"},
    enum_name<burn_alert>{burn_alert::ticket, "ticket"},
    enum_name<burn_alert>{burn_alert::page, "page"},
};

/// Event counts of one service and objective, for one customer or summed over
/// all customers.
struct burn_series
{
    std::string service;
    /// Empty for the sum over all customers.
    std::string customer;
    std::string objective;
    /// Share of events that must meet the objective.
    double target = 0;
    /// Counts in the windows of router::burn_windows, in the same order.
    std::array<router::burn_counts, router::burn_windows.size()> windows{};

    /// Returns the share of missed events in the window, divided by the share
    /// that `target` allows. A burn rate of 1 uses up the error budget exactly
    /// within the period of the objective. Returns 0 if the window has no
    /// events or the target leaves no budget.
    [[nodiscard]] double burn_rate(std::size_t window_index) const;
    [[nodiscard]] burn_alert alert() const;
};

/// Sums the /burn pages of all routers and ignores pages that are not JSON
/// objects. Returns the series sorted by service, customer and objective; the
/// sums over all customers of a service precede its customers.
std::vector<burn_series> sum_burn(const std::vector<router_page>& pages);

/// Returns the report as a plain-text table.
std::string burn_text(const std::vector<burn_series>& series);

/// Returns the report as JSON.
std::string burn_json(const std::vector<burn_series>& series);

/// Returns the report as a self-contained HTML page with bar charts.
/// `generated_at` is the time of the report, as text to display.
std::string burn_html(const std::vector<burn_series>& series,
                      const std::string& generated_at);

} // namespace baobabloft::operators

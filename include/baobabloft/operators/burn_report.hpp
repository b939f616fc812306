// The report on service-level burn: how fast each service uses up the error
// budget that its objectives leave, summed over all routers.
#pragma once

#include "baobabloft/operators/fleet_client.hpp"
#include "baobabloft/router/burn.hpp"

#include <string>
#include <vector>

namespace baobabloft::operators
{

/// How urgent a series' burn is, by the usual pairs of windows: fast burn over
/// 5 min and 1 h, slow burn over 30 min and 6 h.
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

/// One service and objective, over all customers or for one.
struct burn_series
{
    std::string service;
    /// Empty for the sum over customers.
    std::string customer;
    std::string objective;
    double target = 0;
    std::array<router::burn_counts, router::burn_windows.size()> windows{};

    /// Returns the burn rate in window `index`: 1 uses the budget up exactly
    /// at the pace that the target allows. Without events it is 0.
    [[nodiscard]] double burn_rate(std::size_t index) const;
    [[nodiscard]] burn_alert alert() const;
};

/// Sums the /burn pages of all routers. Series per customer come behind those
/// of their service.
std::vector<burn_series> sum_burn(const std::vector<router_page>& pages);

/// Returns the report as a table for terminals.
std::string burn_text(const std::vector<burn_series>& series);

/// Returns the report as JSON.
std::string burn_json(const std::vector<burn_series>& series);

/// Returns the report as one self-contained HTML page with plots.
std::string burn_html(const std::vector<burn_series>& series,
                      const std::string& made_at);

} // namespace baobabloft::operators

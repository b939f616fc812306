// Merges what the routers of a fleet say about where a request would go.
#pragma once

#include "baobabloft/operators/fleet_client.hpp"
#include "baobabloft/support/failure.hpp"

#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string>

namespace baobabloft::operators
{

/// The request that is asked about.
struct where_question
{
    /// Name of the route.
    std::string route;
    /// Name of the customer; may be empty.
    std::string customer;
    /// Prompt parts, as the header of a request has them; may be empty.
    std::string prompt;
};

/// Returns the path of the page that answers `question`.
std::string where_path(const where_question& question);

/// The responses of several routers.
struct where_report
{
    /// {"agree": bool, "routers": [{"url", ...}]}: per router its page, or
    /// "error", "message" and "remedy".
    nlohmann::json content;
    /// True if every router that responded would send the request, and all to
    /// the same upstreams.
    bool agree = false;
};

/// Merges `pages`. Returns nothing and sets `reason` if no router responded, or
/// if all reject the question.
std::optional<where_report> merge_where(std::span<const router_page> pages,
                                        failure& reason);

/// Returns the report as text.
std::string where_text(const where_report& report);

} // namespace baobabloft::operators

// What upstream_selector knows about the upstreams of a service, and which one
// it would choose for a request. For operators.
#pragma once

#include "baobabloft/support/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabloft::dispatch
{

/// One upstream of the service.
struct candidate_report
{
    std::string upstream;
    std::string data_centre;
    /// Whether it may take the request, or why not.
    std::string_view state;
    /// Estimated load from all routers, in requests.
    double load = 0;
    /// Time since this router last learnt a load that the upstream reported;
    /// empty if it never did.
    std::optional<duration> load_age;
    /// Time for which it stays cold; 0 if it is warm.
    duration cold_left{0};
    /// Time for which it gets no requests after failures, or because it asked
    /// for a pause.
    duration pause_left{0};
    /// Failures since the last success, and the moving average of failures, 0
    /// to 1.
    std::uint32_t consecutive_failures = 0;
    double failure_rate = 0;
    /// Requests per second that it accepts from all routers; empty if it states
    /// no limit.
    std::optional<double> rate_limit;
    /// It is likely to have the shared prefix of the prompt cached.
    bool has_prefix = false;
};

/// The choice for a request.
struct choice_report
{
    /// The first is the most preferred; upstreams that get no requests at all
    /// come last.
    std::vector<candidate_report> candidates;
    /// Why the upstream would be chosen, or why there is none.
    std::string_view reason;
    /// Id of the upstream; empty if there is none.
    std::string upstream;
    /// Id of the upstream from which it would copy the prefix; empty if none.
    std::string prefix_source;
    /// Load above which other upstreams are preferred, in requests; empty if
    /// there is no such limit.
    std::optional<double> load_limit;
    /// Mean estimated load of the usable upstreams, in requests.
    double mean_load = 0;
};

} // namespace baobabloft::dispatch

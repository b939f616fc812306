// Bounds the arrivals at a service beyond the first of each request, over all
// routers: each router spends a share of its own requests and of the fleet's
// fixed allowance.
#pragma once

#include "baobabloft/dispatch/sliding_count.hpp"

#include <string>
#include <unordered_map>

namespace baobabloft::dispatch
{

/// The bound that the whole fleet keeps, per service.
struct arrival_bound
{
    /// Further arrivals per request.
    double ratio = 0.2;
    /// Further arrivals per window beyond that.
    double slack = 58;
    duration window = 10s;
};

/// One router's share of the bound.
class arrival_budget
{
public:
    arrival_budget(const arrival_bound& bound, time_point started);

    /// Counts a request's first arrival at `service`.
    void record_first_arrival(time_point now, const std::string& service);

    /// Takes a further arrival; returns false if the share is used up.
    bool try_take_repeat(time_point now, const std::string& service,
                         std::size_t routers);

    void set_bound(const arrival_bound& bound);

private:
    struct counts
    {
        explicit counts(duration window) : first(window), further(window) {}

        sliding_count first;
        sliding_count further;
    };

    counts& counts_of(const std::string& service);

    arrival_bound bound_;
    time_point started_;
    std::unordered_map<std::string, counts> services_;
};

} // namespace baobabloft::dispatch

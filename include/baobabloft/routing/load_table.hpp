// Loads of one service's upstreams, exchanged between their owners. Each owner
// forwards its freshest entries; entries that it receives are one or two
// seconds old.
#pragma once

#include "baobabloft/routing/messages.hpp"
#include "baobabloft/support/time.hpp"

#include <optional>
#include <vector>

namespace baobabloft::routing
{

/// Load of a service over all of its upstreams.
struct service_load
{
    /// Mean requests in progress per upstream.
    double mean = 0;
    /// Requests in progress on all upstreams.
    double total = 0;
    /// Usual time to first token in milliseconds; 0 if not known.
    double first_token_ms = 0;
};

/// One owner's view of a service's loads.
class load_table
{
public:
    /// `upstream_count` is the number of upstreams of the service.
    explicit load_table(std::size_t upstream_count);

    /// Sets the number of upstreams that may receive new work.
    void set_admitted_count(std::size_t upstream_count);

    /// Records the present load of an upstream that this router owns.
    void set_own_load(time_point now, std::uint16_t upstream_index, double load,
                      double first_token_ms);

    /// Merges entries that another owner sent; for each upstream the more
    /// recent load stays.
    void merge(time_point now, const std::vector<load_entry>& entries);

    /// Removes the load of an upstream that does not count in the mean: out of
    /// service, down or not warm.
    void remove(std::uint16_t upstream_index);

    /// Returns up to `limit` of the most recent entries.
    [[nodiscard]] std::vector<load_entry> freshest(time_point now,
                                                   std::size_t limit) const;

    /// Returns the service's load, computed from the entries that are recent
    /// enough.
    [[nodiscard]] service_load summary(time_point now) const;

private:
    struct known_load
    {
        double load = 0;
        double first_token_ms = 0;
        std::optional<time_point> measured_at;
    };

    std::vector<known_load> known_loads_;
    std::size_t admitted_count_;
};

} // namespace baobabloft::routing

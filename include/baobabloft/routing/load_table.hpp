// Loads of one service's upstreams as their owners tell each other. Each owner
// sends the freshest entries on; what it hears is a second or two old.
#pragma once

#include "baobabloft/routing/messages.hpp"
#include "baobabloft/support/time.hpp"

#include <optional>
#include <vector>

namespace baobabloft::routing
{

/// Mean and sum over a service's upstreams.
struct service_load
{
    /// Mean requests in progress per upstream.
    double mean = 0;
    /// Requests in progress on all upstreams.
    double total = 0;
    /// Usual time to first token, milliseconds; 0 if not known.
    double first_token_ms = 0;
};

/// What one owner knows of a service.
class load_table
{
public:
    /// `upstreams` is the number of upstreams that the service has.
    explicit load_table(std::size_t upstreams);

    /// Sets how many of the upstreams may receive new work.
    void set_admitted_count(std::size_t upstreams);

    /// Takes in the present load of an upstream of this owner.
    void set_own_load(time_point now, std::uint16_t index, double load,
                      double first_token_ms);

    /// Takes in what another owner sent.
    void merge(time_point now, const std::vector<load_entry>& entries);

    /// Removes an upstream that is not in service any more.
    void remove(std::uint16_t index);

    /// Returns up to `limit` of the freshest entries.
    [[nodiscard]] std::vector<load_entry> freshest(time_point now,
                                                   std::size_t limit) const;

    /// Returns the mean over entries that are fresh enough.
    [[nodiscard]] service_load summary(time_point now) const;

private:
    struct known_load
    {
        double load = 0;
        double first_token_ms = 0;
        std::optional<time_point> at;
    };

    std::vector<known_load> known_;
    std::size_t open_;
};

} // namespace baobabloft::routing

// A bounded queue shared fairly between customers by weight: start-time fair
// queueing within each urgency, with credit for bursts of customers that stayed
// below their share. When full it sheds from the customer that
// holds the most for its weight.
#pragma once

#include "baobabloft/routing/messages.hpp"
#include "baobabloft/support/time.hpp"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace baobabloft::routing
{

/// Identifies an ask across the fleet.
struct permit_request_key
{
    router_id requester{};
    std::uint32_t sequence = 0;

    friend auto operator<=>(const permit_request_key&,
                            const permit_request_key&) = default;
};

/// A request that waits.
struct queued_request
{
    permit_request_key key;
    chat_id chat{};
    customer_id customer{};
    std::uint32_t weight = 1;
    urgency priority = urgency::interactive;
    bool suspect = false;
    /// The request is worthless after this.
    time_point start_deadline;
};

/// Which waiting requests may start now.
struct pop_filter
{
    bool with_deferrable = false;
    bool with_suspects = false;

    [[nodiscard]] bool admits(const queued_request& ask) const;
};

/// Waiting requests of one upstream.
class fair_queue
{
public:
    /// Adds `ask`. Returns the ask that has to be shed, which may be `ask`
    /// itself, if `limit` would be passed.
    std::optional<queued_request> push(const queued_request& ask,
                                       std::size_t limit);

    /// Removes and returns the next request that `filter` admits: interactive
    /// ones near their latest time whose customers are below their share, then
    /// interactive ones by fair share, then deferrable ones.
    std::optional<queued_request> pop(time_point now, const pop_filter& filter);

    /// Removes the request `key`; returns false if it does not wait here.
    bool remove(const permit_request_key& key);

    /// Removes the requests of every router for which `is_gone` holds.
    void remove_requests_from(const std::function<bool(router_id)>& is_gone);

    /// Removes and returns requests whose latest time has passed.
    std::vector<queued_request> remove_expired(time_point now);

    /// Makes deferrable requests due within `margin` interactive.
    void promote_due(time_point now, duration margin);

    /// Removes and returns everything.
    std::vector<queued_request> drain();

    /// Returns about how many waiting requests would go before a new one of
    /// `customer` with `weight`.
    [[nodiscard]] std::size_t estimate_position(customer_id customer,
                                                std::uint32_t weight) const;

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool contains(const permit_request_key& key) const;
    /// Returns the number of waiting requests of this urgency.
    [[nodiscard]] std::size_t size_of(urgency priority) const;

private:
    struct lane_key
    {
        urgency priority{};
        customer_id customer{};
        friend auto operator<=>(const lane_key&, const lane_key&) = default;
    };

    /// The waiting requests of one customer and urgency.
    struct lane
    {
        std::deque<queued_request> items;
        std::uint32_t weight = 1;
        /// Virtual time at which the lane's next request starts.
        double start = 0;
    };

    /// A waiting request and the lane it stands in.
    struct choice
    {
        std::map<lane_key, lane>::iterator from;
        std::deque<queued_request>::iterator item;
    };

    std::optional<choice> find_urgent(time_point now, const pop_filter& filter);
    std::optional<choice> find_next(const pop_filter& filter);
    lane& lane_for(const queued_request& ask);
    /// Returns the virtual start of the next request of a customer that has
    /// none waiting.
    [[nodiscard]] double start_of_idle(const lane_key& key,
                                       std::uint32_t weight) const;
    std::optional<queued_request> shed_one();
    void erase_empty_lanes();

    std::map<lane_key, lane> lanes_;
    std::map<lane_key, double> finish_times_;
    double virtual_time_ = 0;
    std::size_t size_ = 0;
};

} // namespace baobabloft::routing

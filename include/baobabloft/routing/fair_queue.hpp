// Bounded queue that customers share by weight: start-time fair queueing within
// each urgency, with credit for bursts of customers that stayed below their
// share. The queued requests of one customer and urgency are a flow; a full
// queue sheds a request of the flow that is longest relative to its weight.
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

/// Identifies a permit request across the fleet.
struct permit_request_key
{
    router_id requester{};
    std::uint32_t sequence = 0;

    friend auto operator<=>(const permit_request_key&,
                            const permit_request_key&) = default;
};

/// Permit request that waits in the queue.
struct queued_request
{
    permit_request_key key;
    chat_id chat{};
    customer_id customer{};
    std::uint32_t weight = 1;
    urgency priority = urgency::interactive;
    bool suspect = false;
    /// Latest useful start time.
    time_point start_deadline;
};

/// Selects the queued requests that may start now.
struct pop_filter
{
    bool with_deferrable = false;
    bool with_suspects = false;

    [[nodiscard]] bool admits(const queued_request& request) const;
};

/// Queued requests of one upstream.
class fair_queue
{
public:
    /// Adds `request`. If the queue then exceeds `limit`, removes and returns
    /// the request to shed, which may be `request` itself.
    std::optional<queued_request> push(const queued_request& request,
                                       std::size_t limit);

    /// Removes and returns the next request that `filter` admits: first
    /// interactive requests close to their start deadline whose customers are
    /// below their share, then interactive requests by fair share, then
    /// deferrable requests.
    std::optional<queued_request> pop(time_point now, const pop_filter& filter);

    /// Removes the request `key`; returns false if it is not queued.
    bool remove(const permit_request_key& key);

    /// Removes the requests of every router for which `is_lost` is true.
    void remove_requests_from(const std::function<bool(router_id)>& is_lost);

    /// Removes and returns requests whose start deadline has passed.
    std::vector<queued_request> remove_expired(time_point now);

    /// Turns deferrable requests whose start deadline is within `margin` of
    /// `now` into interactive ones.
    void promote_due(time_point now, duration margin);

    /// Removes and returns all requests.
    std::vector<queued_request> drain();

    /// Returns approximately how many queued requests would start before a new
    /// interactive one of `customer` with `weight`.
    [[nodiscard]] std::size_t estimate_position(customer_id customer,
                                                std::uint32_t weight) const;

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool contains(const permit_request_key& key) const;
    /// Returns the number of queued requests of urgency `priority`.
    [[nodiscard]] std::size_t size_of(urgency priority) const;

private:
    struct flow_key
    {
        urgency priority{};
        customer_id customer{};
        friend auto operator<=>(const flow_key&, const flow_key&) = default;
    };

    /// Queued requests of one customer and urgency.
    struct flow
    {
        std::deque<queued_request> items;
        std::uint32_t weight = 1;
        /// Virtual time at which the flow's next request starts.
        double start_tag = 0;
    };

    /// A queued request and the flow that contains it.
    struct selection
    {
        std::map<flow_key, flow>::iterator flow_entry;
        std::deque<queued_request>::iterator item;
    };

    std::optional<selection> find_urgent(time_point now,
                                         const pop_filter& filter);
    std::optional<selection> find_next(const pop_filter& filter);
    flow& flow_for(const queued_request& request);
    /// Returns the start tag of the next request of a flow that has no queued
    /// requests.
    [[nodiscard]] double start_tag_of_idle_flow(const flow_key& key,
                                                std::uint32_t weight) const;
    std::optional<queued_request> shed_from_longest();
    void erase_empty_flows();

    std::map<flow_key, flow> flows_;
    /// Start tags that idle flows had reached: lower bounds of the start tags
    /// of their next requests.
    std::map<flow_key, double> finish_tags_;
    double virtual_time_ = 0;
    std::size_t size_ = 0;
};

} // namespace baobabloft::routing

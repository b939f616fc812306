// A bounded queue shared fairly between customers by weight: start-time fair
// queueing within each urgency. When full it sheds from the customer that
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
struct ask_key
{
    router_id asker{};
    std::uint32_t sequence = 0;

    friend auto operator<=>(const ask_key&, const ask_key&) = default;
};

/// A request that waits.
struct waiting_ask
{
    ask_key key;
    customer_id customer{};
    std::uint32_t weight = 1;
    urgency priority = urgency::interactive;
    bool suspect = false;
    /// The request is worthless after this.
    time_point latest;
};

/// Waiting requests of one upstream.
class fair_queue
{
public:
    /// Adds `ask`. Returns the ask that has to be shed, which may be `ask`
    /// itself, if `limit` would be passed.
    std::optional<waiting_ask> push(const waiting_ask& ask, std::size_t limit);

    /// Removes and returns the next request: interactive ones by fair share,
    /// then, if `with_deferrable`, deferrable ones. Skips suspects unless
    /// `with_suspects`.
    std::optional<waiting_ask> pop(bool with_deferrable, bool with_suspects);

    /// Removes the request `key`; returns false if it does not wait here.
    bool remove(const ask_key& key);

    /// Removes the requests of every router for which `is_gone` holds.
    void remove_askers(const std::function<bool(router_id)>& is_gone);

    /// Removes and returns requests whose latest time has passed.
    std::vector<waiting_ask> remove_expired(time_point now);

    /// Makes deferrable requests due within `margin` interactive.
    void promote_due(time_point now, duration margin);

    /// Removes and returns everything.
    std::vector<waiting_ask> drain();

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] bool contains(const ask_key& key) const;
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
        std::deque<waiting_ask> items;
        std::uint32_t weight = 1;
        /// Virtual time at which the lane's next request starts.
        double start = 0;
    };

    lane& lane_for(const waiting_ask& ask);
    std::optional<waiting_ask> shed_one();
    void erase_empty_lanes();

    std::map<lane_key, lane> lanes_;
    std::map<lane_key, double> finish_times_;
    double virtual_time_ = 0;
    std::size_t size_ = 0;
};

} // namespace baobabloft::routing

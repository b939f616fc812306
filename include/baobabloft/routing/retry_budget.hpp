// Bounds retries per customer: each first attempt earns a fraction of a retry,
// so that retries cannot multiply an overload.
#pragma once

#include "baobabloft/support/ids.hpp"
#include "baobabloft/support/time.hpp"

#include <unordered_map>

namespace baobabloft::routing
{

/// Retry budgets of the customers seen by one router.
class retry_budget
{
public:
    /// Each first attempt earns `share` retries.
    explicit retry_budget(double share);

    /// Applies a changed preset.
    void set_share(double share);

    /// Counts a first attempt of `customer`.
    void record_first_attempt(time_point now, customer_id customer);

    /// Takes one retry from the budget; returns false if it is used up.
    bool try_spend(time_point now, customer_id customer);

private:
    struct balance
    {
        double retries = 0;
        time_point updated;
    };

    balance& refreshed(time_point now, customer_id customer);

    double share_;
    std::unordered_map<customer_id, balance> balances_;
};

} // namespace baobabloft::routing

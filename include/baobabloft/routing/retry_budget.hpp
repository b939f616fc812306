// Limits retries per customer: each first attempt earns a fraction of a retry,
// so that retries cannot multiply an overload.
#pragma once

#include "baobabloft/support/ids.hpp"
#include "baobabloft/support/time.hpp"

#include <unordered_map>

namespace baobabloft::routing
{

/// Retry budgets of the customers of one router.
class retry_budget
{
public:
    /// Each first attempt earns `share` retries.
    explicit retry_budget(double share);

    /// Applies the value of a new preset.
    void set_share(double share);

    /// Adds the retries that a first attempt of `customer` earns.
    void record_first_attempt(time_point now, customer_id customer);

    /// Takes one retry of `customer` from the budget; returns false if none is
    /// left.
    bool try_spend(time_point now, customer_id customer);

private:
    struct balance
    {
        double retries = 0;
        time_point updated_at;
    };

    balance& updated_balance(time_point now, customer_id customer);

    double share_;
    std::unordered_map<customer_id, balance> balances_;
};

} // namespace baobabloft::routing

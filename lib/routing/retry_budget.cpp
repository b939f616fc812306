// Retry balances of the customers of one router.
#include "baobabloft/routing/retry_budget.hpp"

#include <algorithm>

namespace baobabloft::routing
{

namespace
{

/// Retries that every customer earns per second, so that one with few first
/// attempts may retry as well.
constexpr double base_retries_per_second = 0.5;
constexpr double max_balance = 20.0;
constexpr double initial_balance = 3.0;
constexpr std::size_t max_customers = 10000;

} // namespace

retry_budget::retry_budget(double share) : share_(share) {}

void retry_budget::set_share(double share)
{
    share_ = share;
}

void retry_budget::record_first_attempt(time_point now, customer_id customer)
{
    auto& item = updated_balance(now, customer);
    item.retries = std::min(item.retries + share_, max_balance);
}

bool retry_budget::try_spend(time_point now, customer_id customer)
{
    auto& item = updated_balance(now, customer);
    if (item.retries < 1)
        return false;
    item.retries -= 1;
    return true;
}

retry_budget::balance& retry_budget::updated_balance(time_point now,
                                                     customer_id customer)
{
    if (balances_.size() >= max_customers && !balances_.contains(customer))
        balances_.clear();
    const auto [entry, added] =
        balances_.try_emplace(customer, balance{initial_balance, now});
    auto& item = entry->second;
    const double earned =
        to_seconds(now - item.updated_at) * base_retries_per_second;
    item.retries = std::min(item.retries + earned, max_balance);
    item.updated_at = now;
    return item;
}

} // namespace baobabloft::routing

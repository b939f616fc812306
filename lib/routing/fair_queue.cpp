#include "baobabloft/routing/fair_queue.hpp"

#include <algorithm>
#include <cmath>

namespace baobabloft::routing
{

namespace
{

/// Finish times of idle customers are forgotten beyond this many.
constexpr std::size_t max_idle_lanes = 1024;
/// Requests that a customer which stayed below its share may send at once
/// without waiting behind customers that are above theirs.
constexpr double burst_requests = 16;

/// A request that must start within this goes first if its customer is below
/// its share.
constexpr duration urgent_margin = 2s;

} // namespace

std::optional<queued_request> fair_queue::push(const queued_request& ask,
                                               std::size_t limit)
{
    lane_for(ask).items.push_back(ask);
    ++size_;
    if (size_ <= limit)
        return std::nullopt;
    return shed_one();
}

std::optional<queued_request> fair_queue::pop(time_point now,
                                              const pop_filter& filter)
{
    auto chosen = find_urgent(now, filter);
    if (!chosen)
        chosen = find_next(filter);
    if (!chosen)
        return std::nullopt;
    auto& from = chosen->from->second;
    const auto result = *chosen->item;
    from.items.erase(chosen->item);
    --size_;
    virtual_time_ = std::max(virtual_time_, from.start);
    from.start += 1.0 / from.weight;
    erase_empty_lanes();
    return result;
}

std::optional<fair_queue::choice>
fair_queue::find_urgent(time_point now, const pop_filter& filter)
{
    std::optional<choice> best;
    for (auto entry = lanes_.begin(); entry != lanes_.end(); ++entry)
    {
        auto& [key, candidate] = *entry;
        const bool below_share = candidate.start < virtual_time_;
        if (key.priority != urgency::interactive || !below_share)
            continue;
        for (auto item = candidate.items.begin(); item != candidate.items.end();
             ++item)
        {
            const bool is_due = item->start_deadline - now < urgent_margin;
            if (!is_due || !filter.admits(*item))
                continue;
            if (!best || item->start_deadline < best->item->start_deadline)
                best = choice{entry, item};
        }
    }
    return best;
}

std::optional<fair_queue::choice>
fair_queue::find_next(const pop_filter& filter)
{
    const auto goes_before = [](const choice& left, const choice& right)
    {
        const auto& left_key = left.from->first;
        const auto& right_key = right.from->first;
        if (left_key.priority != right_key.priority)
            return left_key.priority < right_key.priority;
        return left.from->second.start < right.from->second.start;
    };
    std::optional<choice> best;
    for (auto entry = lanes_.begin(); entry != lanes_.end(); ++entry)
    {
        auto& items = entry->second.items;
        const auto item = std::find_if(items.begin(), items.end(),
                                       [&filter](const queued_request& ask)
                                       { return filter.admits(ask); });
        if (item == items.end())
            continue;
        const choice candidate{entry, item};
        if (!best || goes_before(candidate, *best))
            best = candidate;
    }
    return best;
}

bool pop_filter::admits(const queued_request& ask) const
{
    return (with_suspects || !ask.suspect) &&
           (with_deferrable || ask.priority != urgency::deferrable);
}

bool fair_queue::remove(const permit_request_key& key)
{
    for (auto& [name, candidate] : lanes_)
    {
        const auto removed =
            std::erase_if(candidate.items, [&](const queued_request& ask)
                          { return ask.key == key; });
        if (removed == 0)
            continue;
        size_ -= removed;
        erase_empty_lanes();
        return true;
    }
    return false;
}

void fair_queue::remove_requests_from(
    const std::function<bool(router_id)>& is_gone)
{
    for (auto& [name, candidate] : lanes_)
        size_ -= std::erase_if(candidate.items, [&](const queued_request& ask)
                               { return is_gone(ask.key.requester); });
    erase_empty_lanes();
}

std::vector<queued_request> fair_queue::remove_expired(time_point now)
{
    std::vector<queued_request> expired;
    for (auto& [name, candidate] : lanes_)
    {
        const auto first_expired = std::stable_partition(
            candidate.items.begin(), candidate.items.end(),
            [now](const queued_request& ask)
            { return ask.start_deadline > now; });
        expired.insert(expired.end(), first_expired, candidate.items.end());
        candidate.items.erase(first_expired, candidate.items.end());
    }
    size_ -= expired.size();
    erase_empty_lanes();
    return expired;
}

void fair_queue::promote_due(time_point now, duration margin)
{
    std::vector<queued_request> due;
    for (auto& [key, candidate] : lanes_)
    {
        if (key.priority != urgency::deferrable)
            continue;
        const auto first_due = std::stable_partition(
            candidate.items.begin(), candidate.items.end(),
            [&](const queued_request& ask)
            { return ask.start_deadline > now + margin; });
        due.insert(due.end(), first_due, candidate.items.end());
        candidate.items.erase(first_due, candidate.items.end());
    }
    erase_empty_lanes();
    for (auto& ask : due)
    {
        ask.priority = urgency::interactive;
        lane_for(ask).items.push_back(ask);
    }
}

std::vector<queued_request> fair_queue::drain()
{
    std::vector<queued_request> all;
    for (auto& [name, candidate] : lanes_)
        all.insert(all.end(), candidate.items.begin(), candidate.items.end());
    lanes_.clear();
    size_ = 0;
    return all;
}

std::size_t fair_queue::estimate_position(customer_id customer,
                                          std::uint32_t weight) const
{
    const auto own = lanes_.find({urgency::interactive, customer});
    const auto items_of = [](const lane& candidate)
    {
        return static_cast<double>(candidate.items.size());
    };
    const double own_items = own == lanes_.end() ? 0 : items_of(own->second);
    double before = own_items;
    for (const auto& [key, candidate] : lanes_)
    {
        if (key.priority != urgency::interactive || key.customer == customer)
            continue;
        const double served = (own_items + 1) * candidate.weight / weight;
        before += std::min(items_of(candidate), served);
    }
    return static_cast<std::size_t>(before);
}

std::size_t fair_queue::size() const
{
    return size_;
}

bool fair_queue::contains(const permit_request_key& key) const
{
    for (const auto& [name, candidate] : lanes_)
        for (const auto& ask : candidate.items)
            if (ask.key == key)
                return true;
    return false;
}

std::size_t fair_queue::size_of(urgency priority) const
{
    std::size_t total = 0;
    for (const auto& [key, candidate] : lanes_)
        if (key.priority == priority)
            total += candidate.items.size();
    return total;
}

fair_queue::lane& fair_queue::lane_for(const queued_request& ask)
{
    const lane_key key{ask.priority, ask.customer};
    const auto weight = std::max<std::uint32_t>(ask.weight, 1);
    const auto [entry, added] = lanes_.try_emplace(key);
    if (added)
        entry->second.start = start_of_idle(key, weight);
    entry->second.weight = weight;
    return entry->second;
}

double fair_queue::start_of_idle(const lane_key& key,
                                 std::uint32_t weight) const
{
    const auto last = finish_times_.find(key);
    const double finish = last == finish_times_.end() ? 0.0 : last->second;
    return std::max(virtual_time_ - burst_requests / weight, finish);
}

std::optional<queued_request> fair_queue::shed_one()
{
    const auto cost = [](const auto& entry)
    {
        return static_cast<double>(entry.second.items.size()) /
               entry.second.weight;
    };
    const auto heaviest =
        std::max_element(lanes_.begin(), lanes_.end(),
                         [&](const auto& left, const auto& right)
                         { return cost(left) < cost(right); });
    if (heaviest == lanes_.end())
        return std::nullopt;
    const auto shed = heaviest->second.items.back();
    heaviest->second.items.pop_back();
    --size_;
    erase_empty_lanes();
    return shed;
}

void fair_queue::erase_empty_lanes()
{
    for (auto entry = lanes_.begin(); entry != lanes_.end();)
    {
        if (!entry->second.items.empty())
        {
            ++entry;
            continue;
        }
        finish_times_[entry->first] = entry->second.start;
        entry = lanes_.erase(entry);
    }
    std::erase_if(finish_times_, [this](const auto& entry)
                  { return entry.second <= virtual_time_ - burst_requests; });
    if (finish_times_.size() > max_idle_lanes)
        finish_times_.clear();
}

} // namespace baobabloft::routing

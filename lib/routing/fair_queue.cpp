// Start-time fair queueing of the permit requests of one upstream.
#include "baobabloft/routing/fair_queue.hpp"

#include <algorithm>
#include <cmath>

namespace baobabloft::routing
{

namespace
{

/// When there are more idle flows than this, all finish tags are discarded.
constexpr std::size_t max_idle_flows = 1024;
/// Number of requests that a customer below its share may start at once without
/// waiting behind customers above theirs.
constexpr double burst_requests = 16;

/// A request whose start deadline is closer than this starts first if its
/// customer is below its share.
constexpr duration urgent_margin = 2s;

} // namespace

std::optional<queued_request> fair_queue::push(const queued_request& request,
                                               std::size_t limit)
{
    flow_for(request).items.push_back(request);
    ++size_;
    if (size_ <= limit)
        return std::nullopt;
    return shed_from_longest();
}

std::optional<queued_request> fair_queue::pop(time_point now,
                                              const pop_filter& filter)
{
    auto chosen = find_urgent(now, filter);
    if (!chosen)
        chosen = find_next(filter);
    if (!chosen)
        return std::nullopt;
    auto& selected = chosen->flow_entry->second;
    const auto result = *chosen->item;
    selected.items.erase(chosen->item);
    --size_;
    virtual_time_ = std::max(virtual_time_, selected.start_tag);
    selected.start_tag += 1.0 / selected.weight;
    erase_empty_flows();
    return result;
}

std::optional<fair_queue::selection>
fair_queue::find_urgent(time_point now, const pop_filter& filter)
{
    std::optional<selection> best;
    for (auto entry = flows_.begin(); entry != flows_.end(); ++entry)
    {
        auto& [key, candidate] = *entry;
        const bool below_share = candidate.start_tag < virtual_time_;
        if (key.priority != urgency::interactive || !below_share)
            continue;
        for (auto item = candidate.items.begin(); item != candidate.items.end();
             ++item)
        {
            const bool is_due = item->start_deadline - now < urgent_margin;
            if (!is_due || !filter.admits(*item))
                continue;
            if (!best || item->start_deadline < best->item->start_deadline)
                best = selection{entry, item};
        }
    }
    return best;
}

std::optional<fair_queue::selection>
fair_queue::find_next(const pop_filter& filter)
{
    const auto is_before = [](const selection& left, const selection& right)
    {
        const auto& left_key = left.flow_entry->first;
        const auto& right_key = right.flow_entry->first;
        if (left_key.priority != right_key.priority)
            return left_key.priority < right_key.priority;
        return left.flow_entry->second.start_tag <
               right.flow_entry->second.start_tag;
    };
    std::optional<selection> best;
    for (auto entry = flows_.begin(); entry != flows_.end(); ++entry)
    {
        auto& items = entry->second.items;
        const auto item = std::find_if(items.begin(), items.end(),
                                       [&filter](const queued_request& request)
                                       { return filter.admits(request); });
        if (item == items.end())
            continue;
        const selection candidate{entry, item};
        if (!best || is_before(candidate, *best))
            best = candidate;
    }
    return best;
}

bool pop_filter::admits(const queued_request& request) const
{
    return (with_suspects || !request.suspect) &&
           (with_deferrable || request.priority != urgency::deferrable);
}

bool fair_queue::remove(const permit_request_key& key)
{
    for (auto& [flow_id, candidate] : flows_)
    {
        const auto removed =
            std::erase_if(candidate.items, [&](const queued_request& request)
                          { return request.key == key; });
        if (removed == 0)
            continue;
        size_ -= removed;
        erase_empty_flows();
        return true;
    }
    return false;
}

void fair_queue::remove_requests_from(
    const std::function<bool(router_id)>& is_lost)
{
    for (auto& [flow_id, candidate] : flows_)
        size_ -=
            std::erase_if(candidate.items, [&](const queued_request& request)
                          { return is_lost(request.key.requester); });
    erase_empty_flows();
}

std::vector<queued_request> fair_queue::remove_expired(time_point now)
{
    std::vector<queued_request> expired;
    for (auto& [flow_id, candidate] : flows_)
    {
        const auto first_expired = std::stable_partition(
            candidate.items.begin(), candidate.items.end(),
            [now](const queued_request& request)
            { return request.start_deadline > now; });
        expired.insert(expired.end(), first_expired, candidate.items.end());
        candidate.items.erase(first_expired, candidate.items.end());
    }
    size_ -= expired.size();
    erase_empty_flows();
    return expired;
}

void fair_queue::promote_due(time_point now, duration margin)
{
    std::vector<queued_request> due;
    for (auto& [key, candidate] : flows_)
    {
        if (key.priority != urgency::deferrable)
            continue;
        const auto first_due = std::stable_partition(
            candidate.items.begin(), candidate.items.end(),
            [&](const queued_request& request)
            { return request.start_deadline > now + margin; });
        due.insert(due.end(), first_due, candidate.items.end());
        candidate.items.erase(first_due, candidate.items.end());
    }
    erase_empty_flows();
    for (auto& request : due)
    {
        request.priority = urgency::interactive;
        flow_for(request).items.push_back(request);
    }
}

std::vector<queued_request> fair_queue::drain()
{
    std::vector<queued_request> all;
    for (auto& [flow_id, candidate] : flows_)
        all.insert(all.end(), candidate.items.begin(), candidate.items.end());
    flows_.clear();
    size_ = 0;
    return all;
}

std::size_t fair_queue::estimate_position(customer_id customer,
                                          std::uint32_t weight) const
{
    const auto own_flow = flows_.find({urgency::interactive, customer});
    const auto items_of = [](const flow& candidate)
    {
        return static_cast<double>(candidate.items.size());
    };
    const double own_items =
        own_flow == flows_.end() ? 0 : items_of(own_flow->second);
    double ahead = own_items;
    for (const auto& [key, candidate] : flows_)
    {
        if (key.priority != urgency::interactive || key.customer == customer)
            continue;
        const double served_meanwhile =
            (own_items + 1) * candidate.weight / weight;
        ahead += std::min(items_of(candidate), served_meanwhile);
    }
    return static_cast<std::size_t>(ahead);
}

std::size_t fair_queue::size() const
{
    return size_;
}

bool fair_queue::contains(const permit_request_key& key) const
{
    for (const auto& [flow_id, candidate] : flows_)
        for (const auto& request : candidate.items)
            if (request.key == key)
                return true;
    return false;
}

std::size_t fair_queue::size_of(urgency priority) const
{
    std::size_t total = 0;
    for (const auto& [key, candidate] : flows_)
        if (key.priority == priority)
            total += candidate.items.size();
    return total;
}

fair_queue::flow& fair_queue::flow_for(const queued_request& request)
{
    const flow_key key{request.priority, request.customer};
    const auto weight = std::max<std::uint32_t>(request.weight, 1);
    const auto [entry, added] = flows_.try_emplace(key);
    if (added)
        entry->second.start_tag = start_tag_of_idle_flow(key, weight);
    entry->second.weight = weight;
    return entry->second;
}

double fair_queue::start_tag_of_idle_flow(const flow_key& key,
                                          std::uint32_t weight) const
{
    const auto last = finish_tags_.find(key);
    const double finish = last == finish_tags_.end() ? 0.0 : last->second;
    return std::max(virtual_time_ - burst_requests / weight, finish);
}

std::optional<queued_request> fair_queue::shed_from_longest()
{
    const auto weighted_length = [](const auto& entry)
    {
        return static_cast<double>(entry.second.items.size()) /
               entry.second.weight;
    };
    const auto longest = std::max_element(
        flows_.begin(), flows_.end(),
        [&](const auto& left, const auto& right)
        { return weighted_length(left) < weighted_length(right); });
    if (longest == flows_.end())
        return std::nullopt;
    const auto shed = longest->second.items.back();
    longest->second.items.pop_back();
    --size_;
    erase_empty_flows();
    return shed;
}

void fair_queue::erase_empty_flows()
{
    for (auto entry = flows_.begin(); entry != flows_.end();)
    {
        if (!entry->second.items.empty())
        {
            ++entry;
            continue;
        }
        finish_tags_[entry->first] = entry->second.start_tag;
        entry = flows_.erase(entry);
    }
    std::erase_if(finish_tags_, [this](const auto& entry)
                  { return entry.second <= virtual_time_ - burst_requests; });
    if (finish_tags_.size() > max_idle_flows)
        finish_tags_.clear();
}

} // namespace baobabloft::routing

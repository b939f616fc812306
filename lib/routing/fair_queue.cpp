#include "baobabloft/routing/fair_queue.hpp"

#include <algorithm>

namespace baobabloft::routing
{

namespace
{

/// Finish times of idle customers are forgotten beyond this many.
constexpr std::size_t max_idle_lanes = 1024;

} // namespace

std::optional<waiting_ask> fair_queue::push(const waiting_ask& ask,
                                            std::size_t limit)
{
    lane_for(ask).items.push_back(ask);
    ++size_;
    if (size_ <= limit)
        return std::nullopt;
    return shed_one();
}

std::optional<waiting_ask> fair_queue::pop(bool with_deferrable,
                                           bool with_suspects)
{
    const auto is_allowed = [with_suspects](const waiting_ask& ask)
    {
        return with_suspects || !ask.suspect;
    };
    auto best = lanes_.end();
    for (auto entry = lanes_.begin(); entry != lanes_.end(); ++entry)
    {
        const auto& [key, candidate] = *entry;
        if (key.priority == urgency::deferrable && !with_deferrable)
            continue;
        if (std::none_of(candidate.items.begin(), candidate.items.end(),
                         is_allowed))
            continue;
        const bool better = best == lanes_.end() ||
                            key.priority < best->first.priority ||
                            (key.priority == best->first.priority &&
                             candidate.start < best->second.start);
        if (better)
            best = entry;
    }
    if (best == lanes_.end())
        return std::nullopt;
    auto& chosen = best->second;
    const auto item =
        std::find_if(chosen.items.begin(), chosen.items.end(), is_allowed);
    const auto result = *item;
    chosen.items.erase(item);
    --size_;
    virtual_time_ = std::max(virtual_time_, chosen.start);
    chosen.start += 1.0 / chosen.weight;
    erase_empty_lanes();
    return result;
}

bool fair_queue::remove(const ask_key& key)
{
    for (auto& [name, candidate] : lanes_)
    {
        const auto removed =
            std::erase_if(candidate.items, [&](const waiting_ask& ask)
                          { return ask.key == key; });
        if (removed == 0)
            continue;
        size_ -= removed;
        erase_empty_lanes();
        return true;
    }
    return false;
}

void fair_queue::remove_askers(const std::function<bool(router_id)>& is_gone)
{
    for (auto& [name, candidate] : lanes_)
        size_ -= std::erase_if(candidate.items, [&](const waiting_ask& ask)
                               { return is_gone(ask.key.asker); });
    erase_empty_lanes();
}

std::vector<waiting_ask> fair_queue::remove_expired(time_point now)
{
    std::vector<waiting_ask> expired;
    for (auto& [name, candidate] : lanes_)
    {
        const auto first_expired = std::stable_partition(
            candidate.items.begin(), candidate.items.end(),
            [now](const waiting_ask& ask) { return ask.latest > now; });
        expired.insert(expired.end(), first_expired, candidate.items.end());
        candidate.items.erase(first_expired, candidate.items.end());
    }
    size_ -= expired.size();
    erase_empty_lanes();
    return expired;
}

void fair_queue::promote_due(time_point now, duration margin)
{
    std::vector<waiting_ask> due;
    for (auto& [key, candidate] : lanes_)
    {
        if (key.priority != urgency::deferrable)
            continue;
        const auto first_due = std::stable_partition(
            candidate.items.begin(), candidate.items.end(),
            [&](const waiting_ask& ask) { return ask.latest > now + margin; });
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

std::vector<waiting_ask> fair_queue::drain()
{
    std::vector<waiting_ask> all;
    for (auto& [name, candidate] : lanes_)
        all.insert(all.end(), candidate.items.begin(), candidate.items.end());
    lanes_.clear();
    size_ = 0;
    return all;
}

std::size_t fair_queue::size() const
{
    return size_;
}

bool fair_queue::contains(const ask_key& key) const
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

fair_queue::lane& fair_queue::lane_for(const waiting_ask& ask)
{
    const lane_key key{ask.priority, ask.customer};
    const auto [entry, added] = lanes_.try_emplace(key);
    if (added)
    {
        const auto last = finish_times_.find(key);
        const double finish = last == finish_times_.end() ? 0.0 : last->second;
        entry->second.start = std::max(virtual_time_, finish);
    }
    entry->second.weight = std::max<std::uint32_t>(ask.weight, 1);
    return entry->second;
}

std::optional<waiting_ask> fair_queue::shed_one()
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
                  { return entry.second <= virtual_time_; });
    if (finish_times_.size() > max_idle_lanes)
        finish_times_.clear();
}

} // namespace baobabloft::routing

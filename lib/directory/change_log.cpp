#include "baobabloft/directory/change_log.hpp"

#include <algorithm>

namespace baobabloft::directory
{

namespace
{

/// Older changes are dropped from the log.
constexpr std::size_t max_entries = 512;
/// Space for entries in one response; the rest of a datagram is for headers.
constexpr std::size_t max_response_bytes = 1100;
/// A longer value is sent separately, in parts.
constexpr std::size_t max_inline_value_bytes = 700;
/// Bytes of a long value in one datagram.
constexpr std::size_t max_part_bytes = 1000;
/// Encoded bytes of an entry in addition to its key and value.
constexpr std::size_t entry_overhead_bytes = 14;

std::size_t encoded_size(const reported_entry& item)
{
    return item.key.size() + item.value.size() + entry_overhead_bytes;
}

} // namespace

void change_log::add(const entry& item)
{
    const bool is_long = item.value.size() > max_inline_value_bytes;
    if (is_long)
        long_values_[item.key] = item;
    else
        long_values_.erase(item.key);
    entries_.push_back({.key = item.key,
                        .value = is_long ? std::string{} : item.value,
                        .mod_revision = item.mod_revision,
                        .removed = item.removed,
                        .is_long = is_long});
    if (entries_.size() <= max_entries)
        return;
    low_water_mark_ = std::max(low_water_mark_, entries_.front().mod_revision);
    entries_.pop_front();
}

void change_log::set_low_water_mark(revision low_water_mark)
{
    low_water_mark_ = std::max(low_water_mark_, low_water_mark);
}

void change_log::clear()
{
    entries_.clear();
    long_values_.clear();
    low_water_mark_ = 0;
}

change_response change_log::changes_after(revision after,
                                          revision as_of_revision) const
{
    change_response result;
    result.as_of_revision = as_of_revision;
    if (after < low_water_mark_)
        return result;
    std::vector<const reported_entry*> newer;
    for (const auto& item : entries_)
        if (item.mod_revision > after && item.mod_revision <= as_of_revision)
            newer.push_back(&item);
    std::stable_sort(newer.begin(), newer.end(),
                     [](const auto* left, const auto* right)
                     { return left->mod_revision < right->mod_revision; });
    result.has_history = true;
    std::size_t bytes = 0;
    for (const auto* item : newer)
    {
        bytes += encoded_size(*item);
        if (bytes <= max_response_bytes)
        {
            result.entries.push_back(*item);
            continue;
        }
        // Changes of one revision are never split between responses.
        result.has_more = true;
        while (!result.entries.empty() &&
               result.entries.back().mod_revision == item->mod_revision)
            result.entries.pop_back();
        result.has_history = !result.entries.empty();
        result.as_of_revision =
            result.has_history ? result.entries.back().mod_revision : after;
        break;
    }
    return result;
}

entry_part change_log::part_for(const entry_query& query) const
{
    entry_part result{.sequence = query.sequence, .bytes = {}};
    const auto found = long_values_.find(query.key);
    if (found == long_values_.end() ||
        query.offset > found->second.value.size())
        return result;
    const auto& value = found->second.value;
    result.total_bytes = static_cast<std::uint32_t>(value.size());
    result.mod_revision = found->second.mod_revision;
    result.bytes = value.substr(query.offset, max_part_bytes);
    return result;
}

} // namespace baobabloft::directory

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
/// Encoded bytes of an entry in addition to its key and value.
constexpr std::size_t entry_overhead_bytes = 14;

std::size_t encoded_size(const reported_entry& item)
{
    return item.key.size() + item.value.size() + entry_overhead_bytes;
}

} // namespace

bool is_long_value(const std::string& value)
{
    return value.size() > max_inline_value_bytes;
}

void change_log::add(const entry& item)
{
    const bool is_long = is_long_value(item.value);
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

void change_log::begin(revision as_of_revision, bool history_lost)
{
    low_water_mark_ = std::max(low_water_mark_, as_of_revision);
    if (history_lost)
        history_lost_before_ = std::max(history_lost_before_, as_of_revision);
    std::erase_if(entries_, [as_of_revision](const auto& item)
                  { return item.mod_revision <= as_of_revision; });
}

void change_log::clear()
{
    entries_.clear();
    low_water_mark_ = 0;
    history_lost_before_ = 0;
}

change_response change_log::changes_after(revision after,
                                          revision as_of_revision) const
{
    change_response result;
    if (after < low_water_mark_)
    {
        if (after < history_lost_before_)
            result.as_of_revision = as_of_revision;
        return result;
    }
    result.as_of_revision = as_of_revision;
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
            result.has_history ? result.entries.back().mod_revision : 0;
        break;
    }
    return result;
}

} // namespace baobabloft::directory

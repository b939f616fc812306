#include "baobabloft/ledger/shard_state.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <cassert>

namespace baobabloft::ledger
{

bool key_state::has_released(std::uint64_t attempt) const
{
    return std::find(released_attempts.begin(), released_attempts.end(),
                     attempt) != released_attempts.end();
}

void shard_state::apply(entry_number number, const batch& content,
                        std::uint64_t hash)
{
    assert((!last_entry_ || number == *last_entry_ + 1) &&
           "entries must be applied in order");
    raise_low_water_mark(content.low_water_mark_ms);
    std::uint64_t newest_key_ms = 0;
    for (const auto& item : content.records)
    {
        newest_key_ms = std::max(newest_key_ms, created_at_ms(item.key));
        apply(item);
    }
    entries_.push_back({number, newest_key_ms, hash});
    newest_key_ms_ = std::max(newest_key_ms_, newest_key_ms);
    last_entry_ = number;
}

key_state shard_state::find(const idempotency_key& key) const
{
    const auto found = keys_.find(key);
    if (found != keys_.end() && found->second.status != key_status::free)
        return found->second;
    if (created_at_ms(key) < low_water_mark_ms_ || may_be_lost(key))
        return {.status = key_status::below_low_water_mark};
    return found != keys_.end() ? found->second : key_state{};
}

std::optional<entry_number> shard_state::last_entry() const
{
    return last_entry_;
}

std::uint64_t shard_state::last_entry_hash() const
{
    return entries_.empty() ? 0 : entries_.back().hash;
}

entry_presence shard_state::find_entry(entry_number number,
                                       std::uint64_t hash) const
{
    if (!last_entry_ || number > *last_entry_)
        return entry_presence::not_read;
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [number](const entry_summary& entry)
                                    { return entry.number == number; });
    return found == entries_.end() || found->hash == hash
               ? entry_presence::present
               : entry_presence::replaced;
}

std::uint64_t shard_state::low_water_mark_ms() const
{
    return low_water_mark_ms_;
}

std::uint64_t shard_state::newest_key_ms() const
{
    return newest_key_ms_;
}

std::uint64_t shard_state::lost_until_ms() const
{
    return lost_until_ms_;
}

std::vector<record> shard_state::records() const
{
    std::vector<record> result;
    for (const auto& [key, known] : keys_)
    {
        if (known.status == key_status::free)
            continue;
        result.push_back({record_kind::claimed, key, known.attempt, {}});
        if (known.status == key_status::done)
            result.push_back({record_kind::done, key, known.attempt,
                              known.upstream_response});
    }
    return result;
}

std::size_t shard_state::key_count() const
{
    return keys_.size();
}

entry_number shard_state::first_needed_entry() const
{
    for (const auto& entry : entries_)
        if (entry.newest_key_ms >= low_water_mark_ms_ ||
            entry.number == last_entry_)
            return entry.number;
    return last_entry_.value_or(0);
}

entry_number shard_state::first_undeleted_entry() const
{
    return entries_.empty() ? 0 : entries_.front().number;
}

void shard_state::record_deleted_before(entry_number number)
{
    while (!entries_.empty() && entries_.front().number < number)
        entries_.pop_front();
}

std::size_t shard_state::key_hash::operator()(const idempotency_key& key) const
{
    return hash_bytes(
        {reinterpret_cast<const char*>(key.bytes.data()), key.bytes.size()});
}

bool shard_state::may_be_lost(const idempotency_key& key) const
{
    return created_at_ms(key) <= lost_until_ms_;
}

void shard_state::apply(const record& item)
{
    if (item.kind == record_kind::entries_lost)
    {
        lost_until_ms_ = std::max(lost_until_ms_, created_at_ms(item.key));
        return;
    }
    if (item.kind == record_kind::claimed)
    {
        // All readers must agree whether a claim came too late, so the
        // low-water mark in the log decides this, not a reader's clock.
        if (find(item.key).status != key_status::free)
            return;
        auto& known = keys_[item.key];
        if (known.has_released(item.attempt))
            return;
        known.status = key_status::claimed;
        known.attempt = item.attempt;
        return;
    }
    const auto found = keys_.find(item.key);
    if (found == keys_.end() || found->second.attempt != item.attempt)
        return;
    if (found->second.status != key_status::claimed)
        return;
    if (item.kind == record_kind::released)
    {
        found->second.status = key_status::free;
        found->second.released_attempts.push_back(item.attempt);
        return;
    }
    found->second.status = key_status::done;
    found->second.upstream_response = item.upstream_response;
}

void shard_state::raise_low_water_mark(std::uint64_t low_water_mark_ms)
{
    if (low_water_mark_ms <= low_water_mark_ms_)
        return;
    low_water_mark_ms_ = low_water_mark_ms;
    std::erase_if(keys_, [low_water_mark_ms](const auto& entry)
                  { return created_at_ms(entry.first) < low_water_mark_ms; });
}

} // namespace baobabloft::ledger

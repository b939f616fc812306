#include "baobabloft/ledger/shard_state.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <cassert>

namespace baobabloft::ledger
{

bool key_state::has_released(std::uint64_t attempt) const
{
    return std::find(released.begin(), released.end(), attempt) !=
           released.end();
}

void shard_state::apply(entry_number number, const batch& content)
{
    assert((!last_ || number == *last_ + 1) && "entries apply in order");
    raise_horizon(content.horizon_ms);
    std::uint64_t youngest_ms = 0;
    for (const auto& item : content.records)
    {
        youngest_ms = std::max(youngest_ms, created_at_ms(item.key));
        apply(item);
    }
    ages_.push_back({number, youngest_ms});
    youngest_ms_ = std::max(youngest_ms_, youngest_ms);
    last_ = number;
}

key_state shard_state::find(const booking_key& key) const
{
    if (const auto found = keys_.find(key); found != keys_.end())
        return found->second;
    if (created_at_ms(key) < horizon_ms_)
        return {.standing = key_standing::beyond_horizon};
    return {};
}

std::optional<entry_number> shard_state::last_entry() const
{
    return last_;
}

std::uint64_t shard_state::horizon_ms() const
{
    return horizon_ms_;
}

std::uint64_t shard_state::youngest_ms() const
{
    return youngest_ms_;
}

std::size_t shard_state::size() const
{
    return keys_.size();
}

entry_number shard_state::first_needed() const
{
    for (const auto& age : ages_)
        if (age.youngest_ms >= horizon_ms_ || age.number == last_)
            return age.number;
    return last_.value_or(0);
}

entry_number shard_state::first_kept() const
{
    return ages_.empty() ? 0 : ages_.front().number;
}

void shard_state::deleted_before(entry_number number)
{
    while (!ages_.empty() && ages_.front().number < number)
        ages_.pop_front();
}

std::size_t shard_state::key_hash::operator()(const booking_key& key) const
{
    return hash_bytes(
        {reinterpret_cast<const char*>(key.bytes.data()), key.bytes.size()});
}

void shard_state::apply(const record& item)
{
    if (item.kind == record_kind::claimed)
    {
        // Readers must agree on late claims, so the horizon of the log
        // decides, never a clock.
        if (created_at_ms(item.key) < horizon_ms_)
            return;
        auto& known = keys_[item.key];
        if (known.standing != key_standing::free ||
            known.has_released(item.attempt))
            return;
        known.standing = key_standing::claimed;
        known.attempt = item.attempt;
        return;
    }
    const auto found = keys_.find(item.key);
    if (found == keys_.end() || found->second.attempt != item.attempt)
        return;
    if (found->second.standing != key_standing::claimed)
        return;
    if (item.kind == record_kind::released)
    {
        found->second.standing = key_standing::free;
        found->second.released.push_back(item.attempt);
        return;
    }
    found->second.standing = key_standing::done;
    found->second.answer = item.answer;
}

void shard_state::raise_horizon(std::uint64_t horizon_ms)
{
    if (horizon_ms <= horizon_ms_)
        return;
    horizon_ms_ = horizon_ms;
    std::erase_if(keys_, [horizon_ms](const auto& entry)
                  { return created_at_ms(entry.first) < horizon_ms; });
}

} // namespace baobabloft::ledger

#include "baobabloft/dispatch/sliding_count.hpp"

namespace baobabloft::dispatch
{

sliding_count::sliding_count(duration window)
    : bucket_length_(window / static_cast<duration::rep>(bucket_count - 1))
{
}

std::int64_t sliding_count::index_of(time_point now) const
{
    return now.time_since_epoch() / bucket_length_;
}

void sliding_count::add(time_point now, std::uint32_t count)
{
    const auto index = index_of(now);
    auto& slot = ring_[static_cast<std::size_t>(index) % bucket_count];
    if (slot.index != index)
        slot = {index, 0};
    slot.count += count;
}

std::uint32_t sliding_count::total(time_point now) const
{
    const auto newest = index_of(now);
    std::uint32_t sum = 0;
    for (const auto& slot : ring_)
        if (slot.index >= 0 &&
            slot.index > newest - static_cast<std::int64_t>(bucket_count))
            sum += slot.count;
    return sum;
}

} // namespace baobabloft::dispatch

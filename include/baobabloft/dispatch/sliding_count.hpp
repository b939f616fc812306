// Counts events over a sliding window, in a ring of buckets.
#pragma once

#include "baobabloft/support/time.hpp"

#include <array>
#include <cstdint>

namespace baobabloft::dispatch
{

/// Number of events in the last `window`, exact to one bucket, which counts as
/// a whole.
class sliding_count
{
public:
    explicit sliding_count(duration window);

    void add(time_point now, std::uint32_t count = 1);

    [[nodiscard]] std::uint32_t total(time_point now) const;

private:
    static constexpr std::size_t buckets = 21;

    struct bucket
    {
        std::int64_t index = -1;
        std::uint32_t count = 0;
    };

    [[nodiscard]] std::int64_t index_of(time_point now) const;

    duration bucket_length_;
    std::array<bucket, buckets> ring_{};
};

} // namespace baobabloft::dispatch

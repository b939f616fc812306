// Counts events over a sliding window in a ring of buckets.
#pragma once

#include "baobabloft/support/time.hpp"

#include <array>
#include <cstdint>

namespace baobabloft::dispatch
{

/// Counts the events of the last `window`. The oldest bucket counts in full, so
/// the total may cover up to one bucket (a twentieth of the window) more.
class sliding_count
{
public:
    explicit sliding_count(duration window);

    void add(time_point now, std::uint32_t count = 1);

    /// Returns the number of events in the window that ends at `now`.
    [[nodiscard]] std::uint32_t total(time_point now) const;

private:
    static constexpr std::size_t bucket_count = 21;

    struct bucket
    {
        /// Number of the bucket's time interval since the clock's epoch; -1 if
        /// the bucket was never used.
        std::int64_t index = -1;
        std::uint32_t count = 0;
    };

    [[nodiscard]] std::int64_t index_of(time_point now) const;

    duration bucket_length_;
    std::array<bucket, bucket_count> ring_{};
};

} // namespace baobabloft::dispatch

// Mean of the samples within a sliding window, in constant memory: samples are
// summed in a few slots, and slots older than the window do not count.
#pragma once

#include "baobabloft/support/time.hpp"

#include <array>
#include <cstdint>
#include <optional>

namespace baobabloft::routing
{

/// Sliding mean over `window`, which moves in steps of an eighth of its length.
class windowed_mean
{
public:
    explicit windowed_mean(duration window) : slot_length_(window / slots) {}

    /// Adds `value` with weight 1.
    void add(time_point now, double value)
    {
        auto& slot = slots_[index_of(now) % slots];
        if (slot.index != index_of(now))
            slot = {index_of(now), 0, 0};
        slot.sum += value;
        ++slot.count;
    }

    /// Returns the mean of the samples within the window, if there are any.
    [[nodiscard]] std::optional<double> value(time_point now) const
    {
        double sum = 0;
        std::uint64_t count = 0;
        for (const auto& slot : slots_)
        {
            if (slot.count == 0 || slot.index + slots <= index_of(now))
                continue;
            sum += slot.sum;
            count += slot.count;
        }
        if (count == 0)
            return std::nullopt;
        return sum / static_cast<double>(count);
    }

private:
    static constexpr std::int64_t slots = 8;

    struct slot
    {
        std::int64_t index = 0;
        double sum = 0;
        std::uint64_t count = 0;
    };

    [[nodiscard]] std::int64_t index_of(time_point now) const
    {
        return now.time_since_epoch() / slot_length_;
    }

    duration slot_length_;
    std::array<slot, slots> slots_{};
};

} // namespace baobabloft::routing

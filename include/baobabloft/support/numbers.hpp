// Conversion of text to numbers, and of floating-point numbers to integers.
#pragma once

#include <charconv>
#include <concepts>
#include <limits>
#include <optional>
#include <string_view>

namespace baobabloft
{

/// Parses all of `text` as a number. Returns nothing if `text` is not a number,
/// has further characters, or is out of range. `base` applies to integers only.
template <typename Number>
std::optional<Number> parse_number(std::string_view text, int base = 10)
{
    Number value{};
    const auto* end = text.data() + text.size();
    std::from_chars_result result{};
    if constexpr (std::is_floating_point_v<Number>)
        result = std::from_chars(text.data(), end, value);
    else
        result = std::from_chars(text.data(), end, value, base);
    if (result.ec != std::errc{} || result.ptr != end)
        return std::nullopt;
    return value;
}

/// Returns `value` truncated to an integer. A value out of range becomes the
/// nearest one in range, and NaN becomes 0.
template <std::integral Integer>
constexpr Integer saturating_cast(double value)
{
    using limits = std::numeric_limits<Integer>;
    // The largest integer need not be representable, but the power of two
    // above it is.
    constexpr Integer half = limits::max() / 2 + 1;
    constexpr double above_max = 2.0 * static_cast<double>(half);
    if (value >= above_max)
        return limits::max();
    if (value <= static_cast<double>(limits::min()))
        return limits::min();
    return value == value ? static_cast<Integer>(value) : Integer{0};
}

} // namespace baobabloft

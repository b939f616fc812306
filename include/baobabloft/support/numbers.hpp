// Whole-text conversion of numbers.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>

namespace baobabloft
{

/// Returns the number that the whole of `text` spells, or nothing.
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

} // namespace baobabloft

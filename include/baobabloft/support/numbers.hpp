// Conversion of text to numbers.
#pragma once

#include <charconv>
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

} // namespace baobabloft

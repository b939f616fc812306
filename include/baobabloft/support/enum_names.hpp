// Tables of enumerators and their names, with lookup in both directions.
#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace baobabloft
{

/// One row of a name table: an enumerator and its name in text form.
template <typename Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// Returns the name of `value`, or "unknown" if it is not in `table`.
template <typename Enum, std::size_t Size>
constexpr std::string_view
name_in(const std::array<enum_name<Enum>, Size>& table, Enum value)
{
    for (const auto& row : table)
        if (row.value == value)
            return row.name;
    return "unknown";
}

/// Returns the enumerator named `name`, or nothing if it is not in `table`.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum>
value_in(const std::array<enum_name<Enum>, Size>& table, std::string_view name)
{
    for (const auto& row : table)
        if (row.name == name)
            return row.value;
    return std::nullopt;
}

} // namespace baobabloft

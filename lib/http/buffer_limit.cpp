#include "baobabloft/http/buffer_limit.hpp"

#include <unordered_map>

namespace baobabloft::http
{

std::optional<std::size_t>
holder_to_release(std::span<const buffer_holder> holders, std::size_t limit)
{
    std::size_t total = 0;
    for (const auto& holder : holders)
        total += holder.bytes;
    if (total <= limit)
        return std::nullopt;
    std::unordered_map<std::string_view, std::size_t> sums;
    for (const auto& [upstream, bytes] : holders)
        if (!upstream.empty())
            sums[upstream] += bytes;
    std::optional<std::size_t> chosen;
    std::size_t chosen_sum = 0;
    for (std::size_t index = 0; index < holders.size(); ++index)
    {
        const auto& [upstream, bytes] = holders[index];
        const auto sum = upstream.empty() ? bytes : sums[upstream];
        if (chosen && (sum < chosen_sum ||
                       (sum == chosen_sum && bytes <= holders[*chosen].bytes)))
            continue;
        chosen = index;
        chosen_sum = sum;
    }
    return chosen;
}

} // namespace baobabloft::http

#include "request_target.hpp"

#include "baobabloft/support/hash.hpp"

namespace baobabloft::relay
{

request_target target_of(const directory::route& route,
                         const header_dialect& dialect, std::string_view text)
{
    request_target result;
    if (!route.has_affinity || text.empty())
        return result;
    const auto parts = dialect.parse_prompt_parts(text);
    // The last part belongs to this request only; the part before it ends the
    // longest prefix that other requests share.
    if (!parts.empty())
        result.affinity =
            parts.size() > 1 ? parts[parts.size() - 2].id : parts.front().id;
    for (std::size_t index = 0; index + 1 < parts.size(); ++index)
    {
        result.shared_prefix_tokens += parts[index].tokens;
        result.features.push_back(request_feature{parts[index].id});
    }
    return result;
}

std::uint64_t total_weight(const directory::route& route)
{
    std::uint64_t total = 0;
    for (const auto& item : route.services)
        total += item.weight;
    return total;
}

std::uint64_t affinity_offset(const directory::route& route,
                              const request_target& target)
{
    return hash_combine(target.affinity.value_or(0), hash_bytes(route.name));
}

const directory::weighted_service* service_at(const directory::route& route,
                                              std::uint64_t offset)
{
    const auto total = total_weight(route);
    if (total == 0)
        return nullptr;
    offset %= total;
    for (const auto& item : route.services)
    {
        if (offset < item.weight)
            return &item;
        offset -= item.weight;
    }
    return nullptr;
}

} // namespace baobabloft::relay

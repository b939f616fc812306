// Rendezvous hashing of chats to upstreams and of upstreams to owners.
#include "baobabloft/routing/affinity.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>

namespace baobabloft::routing
{

namespace
{

struct scored_upstream
{
    const config::upstream* upstream;
    bool local;
    std::uint64_t score;
};

bool is_better(const scored_upstream& left, const scored_upstream& right)
{
    if (left.local != right.local)
        return left.local;
    return left.score > right.score;
}

} // namespace

std::vector<const config::upstream*>
rank_upstreams(const config::preset& preset, const config::service& service,
               std::uint64_t key, std::string_view region, std::size_t count,
               const upstream_filter& eligible)
{
    std::vector<scored_upstream> candidates;
    candidates.reserve(service.upstreams.size());
    for (const auto& item : service.upstreams)
    {
        if (!eligible(item))
            continue;
        const auto* data_centre = preset.find_data_centre(item.data_centre);
        const bool local =
            data_centre != nullptr && data_centre->region == region;
        candidates.push_back(
            {&item, local, rendezvous_score(key, raw(item.id))});
    }
    const auto selected_count = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(),
                      candidates.begin() +
                          static_cast<std::ptrdiff_t>(selected_count),
                      candidates.end(), is_better);
    std::vector<const config::upstream*> result;
    result.reserve(selected_count);
    for (std::size_t index = 0; index < selected_count; ++index)
        result.push_back(candidates[index].upstream);
    return result;
}

std::optional<router_id> owner_of(upstream_id upstream,
                                  const std::vector<router_id>& routers)
{
    if (routers.empty())
        return std::nullopt;
    return *std::max_element(
        routers.begin(), routers.end(),
        [upstream](router_id left, router_id right)
        {
            return rendezvous_score(raw(upstream), raw(left)) <
                   rendezvous_score(raw(upstream), raw(right));
        });
}

} // namespace baobabloft::routing

// Lookups in a preset by name and by identifier.
#include "baobabloft/config/preset.hpp"

#include <algorithm>

namespace baobabloft::config
{

namespace
{

constexpr std::size_t max_predecessors = 16;

template <typename Items>
auto find_by_name(const Items& items, std::string_view name) -> const
    typename Items::value_type*
{
    const auto found =
        std::find_if(items.begin(), items.end(),
                     [name](const auto& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const service* preset::find_service(std::string_view service_name) const
{
    return find_by_name(services, service_name);
}

const service* preset::find_service_by_model(std::string_view model) const
{
    for (const auto& item : services)
        if (std::find(item.models.begin(), item.models.end(), model) !=
            item.models.end())
            return &item;
    return nullptr;
}

const data_centre*
preset::find_data_centre(std::string_view data_centre_name) const
{
    return find_by_name(data_centres, data_centre_name);
}

std::uint32_t preset::weight_of(customer_id id) const
{
    for (const auto& item : customers)
        if (item.id == id)
            return item.weight;
    return 1;
}

accepted_preset succeed(const accepted_preset& previous, accepted_preset next)
{
    next.generation_number = previous.generation_number + 1;
    next.predecessors = previous.predecessors;
    next.predecessors.insert(next.predecessors.begin(), previous.nonce);
    if (next.predecessors.size() > max_predecessors)
        next.predecessors.resize(max_predecessors);
    return next;
}

bool is_superseded_by(const accepted_preset& accepted,
                      const accepted_preset& other)
{
    const auto distance = accepted.generation_number - other.generation_number;
    if (distance == 0)
        return accepted.nonce != other.nonce;
    return distance <= accepted.predecessors.size() &&
           accepted.predecessors[distance - 1] != other.nonce;
}

bool may_receive_work(const preset& preset, const upstream& upstream)
{
    if (upstream.intent != upstream_intent::serving)
        return false;
    const auto* data_centre = preset.find_data_centre(upstream.data_centre);
    return data_centre != nullptr && data_centre->in_service;
}

bool is_non_repeatable(const service& service, std::string_view method,
                       std::string_view path)
{
    return std::any_of(service.non_repeatable.begin(),
                       service.non_repeatable.end(),
                       [&](const auto& route) {
                           return route.method == method && route.path == path;
                       });
}

} // namespace baobabloft::config

#include "baobabloft/directory/route_config.hpp"

#include <algorithm>
#include <cctype>

namespace baobabloft::directory
{

namespace
{

std::string normalized_host(std::string_view host)
{
    host = host.substr(0, host.find(':'));
    std::string result{host};
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter)
                   { return static_cast<char>(std::tolower(letter)); });
    return result;
}

} // namespace

void route_config::index_routes()
{
    routes_by_host_.clear();
    for (std::size_t index = 0; index < routes.size(); ++index)
        routes_by_host_[normalized_host(routes[index].host)].push_back(index);
    for (auto& [host, indices] : routes_by_host_)
        std::stable_sort(indices.begin(), indices.end(),
                         [this](std::size_t left, std::size_t right) {
                             return routes[left].prefix.size() >
                                    routes[right].prefix.size();
                         });
}

const route* route_config::find_route(std::string_view host,
                                      std::string_view path) const
{
    const auto found = routes_by_host_.find(normalized_host(host));
    if (found == routes_by_host_.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (const auto index : found->second)
        if (path.starts_with(routes[index].prefix))
            return &routes[index];
    return nullptr;
}

const routed_customer* route_config::find_customer(std::string_view key) const
{
    const auto found = keys.find(std::string{key});
    return found == keys.end() ? nullptr : &customers[found->second];
}

} // namespace baobabloft::directory

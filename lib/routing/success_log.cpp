#include "baobabloft/routing/success_log.hpp"

#include <utility>

namespace baobabloft::routing
{

namespace
{

constexpr std::size_t max_features = 8192;

} // namespace

void success_log::record(time_point now, request_feature feature)
{
    newer_[feature] = now;
    if (newer_.size() >= max_features)
        older_ = std::exchange(newer_, {});
}

const time_point* success_log::find(request_feature feature) const
{
    for (const auto* log : {&newer_, &older_})
        if (const auto found = log->find(feature); found != log->end())
            return &found->second;
    return nullptr;
}

bool success_log::has_since(request_feature feature, time_point since) const
{
    const auto* last = find(feature);
    return last != nullptr && *last > since;
}

} // namespace baobabloft::routing

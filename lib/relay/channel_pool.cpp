#include "baobabloft/relay/channel_pool.hpp"

#include <algorithm>

namespace baobabloft::relay
{

namespace
{

/// Sent bytes that stay unacknowledged for this long mean a dead connection.
constexpr duration unacknowledged_timeout = 1500ms;
/// A connection is not used in the last part of its announced idle time, when
/// the upstream may be closing it.
constexpr duration idle_margin = 300ms;
/// Idle time that upstreams grant if they announce none: the announcement is
/// in whole seconds, so theirs is shorter than one.
constexpr duration unannounced_idle = 500ms;
/// Longest time that a connection is kept idle.
constexpr duration max_kept_idle = 8s;
/// Part of an upstream's bound on connections that all routers use together.
constexpr double used_part = 0.8;
/// Connections that every router may open, whatever its share.
constexpr std::size_t least_share = 2;

duration usable_idle(const http::upstream_channel& channel)
{
    const auto announced = channel.announced_idle();
    return announced ? *announced - idle_margin : unannounced_idle;
}

bool is_open(const std::weak_ptr<http::upstream_channel>& channel)
{
    const auto held = channel.lock();
    return held && held->is_open();
}

} // namespace

channel_pool::channel_pool(net::event_loop& loop) : loop_(loop) {}

std::shared_ptr<http::upstream_channel>
channel_pool::acquire(time_point now,
                      const directory::upstream_record& upstream,
                      duration max_idle)
{
    auto& known = upstreams_[upstream.id];
    // The latest used is the least likely to have gone silent.
    while (!known.idle.empty())
    {
        auto item = std::move(known.idle.back());
        known.idle.pop_back();
        const auto idle = now - item.since;
        if (item.channel->is_reusable() &&
            idle < std::min(usable_idle(*item.channel), max_idle))
            return item.channel;
        if (idle < max_idle)
            item.channel->abandon();
        else
        {
            known.idle.push_back(std::move(item));
            break;
        }
    }
    auto channel = http::upstream_channel::open(
        loop_, upstream.address,
        {.unacknowledged_timeout = unacknowledged_timeout});
    if (!channel)
        return nullptr;
    std::erase_if(known.open, [](const auto& item) { return !is_open(item); });
    known.open.push_back(channel);
    ++opened_;
    return channel;
}

void channel_pool::release(
    time_point now, const std::string& id,
    const std::shared_ptr<http::upstream_channel>& channel)
{
    if (!channel->is_reusable())
        return;
    channel->set_reading(true);
    upstreams_[id].idle.push_back({channel, now});
}

bool channel_pool::has_room(const directory::upstream_record& upstream,
                            std::uint32_t max_connections,
                            std::size_t routers) const
{
    const auto found = upstreams_.find(upstream.id);
    if (found == upstreams_.end() || !found->second.idle.empty() ||
        max_connections == 0)
        return true;
    const auto share =
        std::max(least_share,
                 static_cast<std::size_t>(
                     used_part * max_connections /
                     static_cast<double>(std::max<std::size_t>(routers, 1))));
    return open_count(upstream.id) < share;
}

std::size_t channel_pool::open_count(const std::string& id) const
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(
        found->second.open.begin(), found->second.open.end(), is_open));
}

void channel_pool::sweep(time_point now,
                         const directory::directory_state& directory)
{
    for (auto item = upstreams_.begin(); item != upstreams_.end();)
    {
        auto& [id, known] = *item;
        const bool gone = !directory.upstreams().contains(id);
        std::erase_if(known.idle,
                      [&](const idle_channel& idle)
                      {
                          const auto age = now - idle.since;
                          return gone || !idle.channel->is_reusable() ||
                                 age >= usable_idle(*idle.channel) ||
                                 age >= max_kept_idle;
                      });
        std::erase_if(known.open,
                      [](const auto& channel) { return !is_open(channel); });
        if (gone && known.open.empty())
            item = upstreams_.erase(item);
        else
            ++item;
    }
}

std::uint64_t channel_pool::opened() const
{
    return opened_;
}

} // namespace baobabloft::relay

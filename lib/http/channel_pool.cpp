#include "baobabloft/http/channel_pool.hpp"

#include <algorithm>

namespace baobabloft::http
{

namespace
{

/// A connection is not used in the last part of its announced idle time, when
/// the upstream may be closing it.
constexpr duration idle_margin = 300ms;
/// Time in which an answer that nobody waits for may end.
constexpr duration ending_time = 1s;
/// Part of an upstream's bound on connections that all routers use together.
constexpr double used_part = 0.8;
/// Connections that every router may open, whatever its share.
constexpr std::size_t least_share = 2;

bool is_open(const std::weak_ptr<upstream_channel>& channel)
{
    const auto held = channel.lock();
    return held && held->is_open();
}

} // namespace

channel_pool::channel_pool(net::event_loop& loop,
                           const channel_pool_options& options)
    : loop_(loop), options_(options)
{
}

duration channel_pool::usable_idle(const upstream_channel& channel) const
{
    const auto announced = channel.announced_idle_timeout();
    return announced ? *announced - idle_margin : options_.default_idle_timeout;
}

void channel_pool::keep_ended(time_point now, upstream_channels& known)
{
    for (const auto& [channel, since] : known.ending)
        if (channel->is_reusable())
            known.idle.push_back({channel, now});
        else if (now - since > ending_time)
            channel->abandon();
    std::erase_if(
        known.ending, [](const idle_channel& item)
        { return item.channel->is_reusable() || !item.channel->is_open(); });
}

std::shared_ptr<upstream_channel> channel_pool::acquire(time_point now,
                                                        const std::string& id,
                                                        const endpoint& address,
                                                        duration max_idle)
{
    auto& known = upstreams_[id];
    keep_ended(now, known);
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
    auto channel = upstream_channel::open(loop_, address, options_.stream);
    if (!channel)
        return nullptr;
    std::erase_if(known.open, [](const auto& item) { return !is_open(item); });
    known.open.push_back(channel);
    ++opened_;
    return channel;
}

void channel_pool::release(time_point now, const std::string& id,
                           const std::shared_ptr<upstream_channel>& channel)
{
    if (!channel->is_open())
        return;
    channel->set_reading(true);
    auto& known = upstreams_[id];
    if (channel->is_reusable())
        known.idle.push_back({channel, now});
    else if (channel->discard_response())
        known.ending.push_back({channel, now});
    else
        channel->abandon();
}

bool channel_pool::has_capacity(const std::string& id,
                                std::uint32_t max_connections,
                                std::size_t routers) const
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end() || !found->second.idle.empty() ||
        max_connections == 0)
        return true;
    const auto share =
        std::max(least_share,
                 static_cast<std::size_t>(
                     used_part * max_connections /
                     static_cast<double>(std::max<std::size_t>(routers, 1))));
    return open_count(id) < share;
}

std::size_t channel_pool::open_count(const std::string& id) const
{
    const auto found = upstreams_.find(id);
    if (found == upstreams_.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(
        found->second.open.begin(), found->second.open.end(), is_open));
}

void channel_pool::close_stale(
    time_point now, const std::function<bool(const std::string& id)>& is_listed)
{
    for (auto item = upstreams_.begin(); item != upstreams_.end();)
    {
        auto& [id, known] = *item;
        const bool gone = !is_listed(id);
        keep_ended(now, known);
        std::erase_if(known.idle,
                      [&](const idle_channel& idle)
                      {
                          const auto age = now - idle.since;
                          return gone || !idle.channel->is_reusable() ||
                                 age >= usable_idle(*idle.channel) ||
                                 age >= options_.max_idle_time;
                      });
        std::erase_if(known.open,
                      [](const auto& channel) { return !is_open(channel); });
        if (gone && known.open.empty())
            item = upstreams_.erase(item);
        else
            ++item;
    }
}

std::uint64_t channel_pool::total_opened() const
{
    return opened_;
}

} // namespace baobabloft::http

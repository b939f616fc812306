// Keeps idle connections to upstreams and decides which may be reused.
#include "baobabloft/http/channel_pool.hpp"

#include <algorithm>

namespace baobabloft::http
{

namespace
{

/// A connection is not reused within this margin of its announced idle timeout,
/// because the upstream may be closing it.
constexpr duration idle_timeout_margin = 300ms;
/// Longest time for a discarded response to end.
constexpr duration discard_timeout = 1s;
/// Fraction of an upstream's connection limit that all routers use together.
constexpr double used_fraction = 0.8;
/// Connections that every router may open, even if its share is smaller.
constexpr std::size_t min_share = 2;

bool is_open(const std::weak_ptr<upstream_channel>& channel)
{
    const auto locked = channel.lock();
    return locked && locked->is_open();
}

} // namespace

channel_pool::channel_pool(net::event_loop& loop,
                           const channel_pool_options& options)
    : loop_(loop), options_(options)
{
}

duration channel_pool::usable_idle_time(const upstream_channel& channel) const
{
    const auto announced = channel.announced_idle_timeout();
    return announced ? *announced - idle_timeout_margin
                     : options_.default_idle_timeout;
}

void channel_pool::collect_discarded(time_point now,
                                     upstream_channels& channels)
{
    for (const auto& [channel, added_at] : channels.discarding)
        if (channel->is_reusable())
            channels.idle.push_back({channel, now});
        else if (now - added_at > discard_timeout)
            channel->abandon();
    std::erase_if(
        channels.discarding, [](const pooled_channel& item)
        { return item.channel->is_reusable() || !item.channel->is_open(); });
}

std::shared_ptr<upstream_channel>
channel_pool::take_idle(time_point now, std::vector<pooled_channel>& idle,
                        duration max_idle, std::string_view request_id) const
{
    // The most recently used connection is the least likely to be unresponsive.
    for (auto index = idle.size(); index > 0; --index)
    {
        const auto item = idle[index - 1];
        const auto age = now - item.added_at;
        if (age >= max_idle)
            return nullptr;
        const bool is_usable = item.channel->is_reusable() &&
                               age < usable_idle_time(*item.channel);
        if (is_usable && item.channel->has_carried(request_id))
            continue;
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index - 1));
        if (is_usable)
            return item.channel;
        item.channel->abandon();
    }
    return nullptr;
}

std::shared_ptr<upstream_channel>
channel_pool::acquire(time_point now, const std::string& id,
                      const endpoint& address, duration max_idle,
                      std::string_view request_id)
{
    auto& channels = upstreams_[id];
    collect_discarded(now, channels);
    if (auto idle = take_idle(now, channels.idle, max_idle, request_id))
        return idle;
    // A new connection takes the place of an idle one that must not carry the
    // request, so that has_capacity() holds.
    const auto replaced =
        std::ranges::find_if(channels.idle, [&](const pooled_channel& item)
                             { return item.channel->has_carried(request_id); });
    if (replaced != channels.idle.end())
    {
        replaced->channel->abandon();
        channels.idle.erase(replaced);
    }
    auto channel = upstream_channel::open(loop_, address, options_.stream);
    if (!channel)
        return nullptr;
    std::erase_if(channels.open,
                  [](const auto& item) { return !is_open(item); });
    channels.open.push_back(channel);
    ++total_opened_;
    return channel;
}

void channel_pool::release(time_point now, const std::string& id,
                           const std::shared_ptr<upstream_channel>& channel)
{
    if (!channel->is_open())
        return;
    channel->set_reading(true);
    auto& channels = upstreams_[id];
    if (channel->is_reusable())
        channels.idle.push_back({channel, now});
    else if (channel->discard_response())
        channels.discarding.push_back({channel, now});
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
    const auto share = std::max(
        min_share, static_cast<std::size_t>(
                       used_fraction * max_connections /
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
        auto& [id, channels] = *item;
        const bool unlisted = !is_listed(id);
        collect_discarded(now, channels);
        std::erase_if(channels.idle,
                      [&](const pooled_channel& idle)
                      {
                          const auto age = now - idle.added_at;
                          return unlisted || !idle.channel->is_reusable() ||
                                 age >= usable_idle_time(*idle.channel) ||
                                 age >= options_.max_idle_time;
                      });
        std::erase_if(channels.open,
                      [](const auto& channel) { return !is_open(channel); });
        if (unlisted && channels.open.empty())
            item = upstreams_.erase(item);
        else
            ++item;
    }
}

std::uint64_t channel_pool::total_opened() const
{
    return total_opened_;
}

} // namespace baobabloft::http

// Kept connections to upstreams, under each upstream's bound on connections.
#pragma once

#include "baobabloft/directory/directory_state.hpp"
#include "baobabloft/http/upstream_channel.hpp"

#include <map>
#include <vector>

namespace baobabloft::relay
{

/// Connections of one router to all upstreams.
class channel_pool
{
public:
    explicit channel_pool(net::event_loop& loop);

    /// Returns an idle connection that was used within `max_idle`, or a new
    /// one; null if the system gives no socket.
    std::shared_ptr<http::upstream_channel>
    acquire(time_point now, const directory::upstream_record& upstream,
            duration max_idle);

    /// Keeps a connection whose exchange is over, if it can carry another.
    void release(time_point now, const std::string& id,
                 const std::shared_ptr<http::upstream_channel>& channel);

    /// Returns true if a request to `upstream` finds a connection when
    /// `routers` share the upstream's bound.
    [[nodiscard]] bool has_room(const directory::upstream_record& upstream,
                                std::uint32_t max_connections,
                                std::size_t routers) const;

    /// Returns the open connections to an upstream, idle or not.
    [[nodiscard]] std::size_t open_count(const std::string& id) const;

    /// Closes connections that idle too long or whose upstream is gone.
    void sweep(time_point now, const directory::directory_state& directory);

    [[nodiscard]] std::uint64_t opened() const;

private:
    struct idle_channel
    {
        std::shared_ptr<http::upstream_channel> channel;
        time_point since;
    };

    struct upstream_channels
    {
        std::vector<idle_channel> idle;
        std::vector<std::weak_ptr<http::upstream_channel>> open;
    };

    net::event_loop& loop_;
    std::map<std::string, upstream_channels> upstreams_;
    std::uint64_t opened_ = 0;
};

} // namespace baobabloft::relay

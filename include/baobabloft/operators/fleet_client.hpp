// Asks routers for their pages, many at once.
#pragma once

#include "baobabloft/net/http_client.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabloft::operators
{

/// A page of one router.
struct router_page
{
    std::string url;
    /// Empty if the router did not answer.
    std::string body;
};

/// An upstream as its owner reports it.
struct owned_upstream_status
{
    std::string name;
    std::string owner;
    std::string state;
    bool available = false;
    bool admitted = false;
    std::uint64_t load = 0;
    std::uint64_t limit = 0;
    std::uint64_t waiting = 0;
    std::uint64_t outages = 0;
};

/// A router's own account of itself.
struct router_status
{
    std::string url;
    std::string id{};
    std::string data_centre{};
    std::string readiness{};
    std::string preset{};
    std::uint64_t generation = 0;
    std::vector<owned_upstream_status> upstreams{};
};

/// The routers of a fleet, found through a few of them.
class fleet_client
{
public:
    /// `urls` are the base URLs of some routers; `token` may be empty.
    fleet_client(net::event_loop& loop, std::vector<std::string> urls,
                 std::string token);

    /// Returns the base URLs of all live routers that the known ones name.
    /// Blocks until they answered or timed out.
    std::vector<std::string> discover_routers();

    /// Reads `path` from each of `urls`.
    std::vector<router_page> fetch_pages(const std::vector<std::string>& urls,
                                         const std::string& path);

    /// Reads every router's status.
    std::vector<router_status> fetch_statuses();

private:
    net::event_loop& loop_;
    net::http_client http_;
    std::vector<std::string> urls_;
    std::string token_;
};

} // namespace baobabloft::operators

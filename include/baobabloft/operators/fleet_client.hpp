// Fetches status pages from the routers of a fleet in parallel.
#pragma once

#include "baobabloft/net/http_client.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace baobabloft::operators
{

/// A page fetched from one router.
struct router_page
{
    std::string url;
    /// Empty unless the router responded with status 200 in time.
    std::string body;
    /// The body of a response with another status.
    std::string problem{};
};

/// State of an upstream, as its owner reports it on /status.
struct owned_upstream_status
{
    std::string name;
    /// Identifier of the router that owns the upstream.
    std::string owner;
    /// Name of the warm-up state.
    std::string state;
    /// False while the upstream is down.
    bool available = false;
    /// False if the upstream may receive no new work because it is draining,
    /// leaving or in a data centre that is out of service.
    bool admitted = false;
    /// Requests in progress, and how many are allowed at present.
    std::uint64_t load = 0;
    std::uint64_t limit = 0;
    /// Number of queued permit requests.
    std::uint64_t waiting = 0;
    /// Number of transitions to down or cold.
    std::uint64_t outages = 0;
};

/// State of a router, as it reports it on /status.
struct router_status
{
    std::string url;
    std::string id{};
    std::string data_centre{};
    /// Name of the readiness state, or "no answer" if /status could not be
    /// read.
    std::string readiness{};
    /// Name and generation of the preset in force at the router.
    std::string preset{};
    std::uint64_t generation = 0;
    std::vector<owned_upstream_status> upstreams{};
};

/// HTTP client for the routers of a fleet. Starting from a few known routers,
/// it discovers the others by the member list on their /status pages. Calls
/// block.
class fleet_client
{
public:
    /// `urls` are the base URLs of the known routers. `token` is the operator
    /// token, sent as a bearer token unless it is empty.
    fleet_client(net::event_loop& loop, std::vector<std::string> urls,
                 std::string token);

    /// Returns the base URLs of all live members that the first known router
    /// with a usable /status page lists. Returns an empty list if none has one.
    std::vector<std::string> discover_routers();

    /// Fetches `path` from each of `urls` in parallel. Returns one page per
    /// URL, in the same order, once all requests are complete or timed out.
    std::vector<router_page> fetch_pages(const std::vector<std::string>& urls,
                                         const std::string& path);

    /// Discovers the routers and fetches the status of each.
    std::vector<router_status> fetch_statuses();

private:
    net::event_loop& loop_;
    net::http_client http_;
    std::vector<std::string> urls_;
    std::string token_;
};

} // namespace baobabloft::operators

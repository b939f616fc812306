// The operators' configuration of routed services: routes by host and path,
// services, customers with their keys, and limits on callers. A configuration
// is an immutable value; each request is decided under one snapshot of it.
#pragma once

#include "baobabloft/support/enum_names.hpp"
#include "baobabloft/support/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace baobabloft::directory
{

/// Whether requests of a route may be repeated, and the form of the response.
enum class request_kind : std::uint8_t
{
    /// May run more than once.
    safe,
    /// Runs at most once.
    unsafe,
    /// The response is a stream of events; runs at most once unless the route
    /// is resumable.
    streaming
};

inline constexpr std::array request_kind_names{
    enum_name<request_kind>{request_kind::safe, "safe"},
    enum_name<request_kind>{request_kind::unsafe, "unsafe"},
    enum_name<request_kind>{request_kind::streaming, "streaming"},
};

/// A service and its weight in the split of a route's requests.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

/// One route: the requests of a host under a path prefix, and their handling.
struct route
{
    std::string name;
    /// Host name, lower case.
    std::string host;
    /// Path prefix. Begins and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::unsafe;
    /// An interrupted stream can be continued on another upstream.
    bool resumable = false;
    /// Longest time that a caller waits for the response to a request.
    duration timeout = 30s;
    /// A response, or the first event of a stream, is on time within this.
    duration response_objective = 1s;
    /// Events of a stream are on time if no pause between two is longer.
    duration gap_objective = 1s;
    /// Priority under contention; 0 is the highest.
    std::uint32_t priority = 0;
    /// Number of upstreams on which one request may run.
    std::uint32_t max_runs = 1;
    /// Requests need no key.
    bool is_public = false;
    /// Requests carry ids of the parts of their prompt, so that requests with a
    /// shared prefix can be sent to the same upstream.
    bool has_affinity = false;
    std::vector<weighted_service> services;

    /// Returns true if a request of this route may run again elsewhere.
    [[nodiscard]] bool is_repeatable() const
    {
        return kind == request_kind::safe ||
               (kind == request_kind::streaming && resumable);
    }
};

/// The configuration of a service.
struct routed_service
{
    std::string name;
    /// Limit on the connections of all routers to one upstream; 0 for none.
    std::uint32_t max_connections = 0;
    /// Requests per second that an upstream can take during its cold start; 0
    /// if the service has no cold start.
    double cold_requests_per_second = 0;
    /// Length of a cold start.
    duration cold_start{0};
    /// Tokens that fit in an engine's memory; 0 for services without engines.
    std::uint64_t engine_token_capacity = 0;
};

/// A customer.
struct routed_customer
{
    std::string name;
    /// Overrides the route's priority.
    std::optional<std::uint32_t> priority;
};

/// Limits on callers' requests and connections.
struct caller_bounds
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    duration header_timeout = 3s;
    duration idle_timeout = 15s;
};

/// The complete configuration of routed services.
class route_config
{
public:
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::unordered_map<std::string, routed_service> services;
    std::vector<routed_customer> customers;
    /// Index in `customers`, by API key.
    std::unordered_map<std::string, std::size_t> keys;
    /// True if requests need a key unless their route is public.
    bool needs_keys = false;
    caller_bounds bounds;

    /// Builds the index for find_route(). Must be called once the routes are
    /// set.
    void index_routes();

    /// Returns the route with the longest prefix of `path` among those of
    /// `host`, or null. `host` may include a port, and `path` a query.
    [[nodiscard]] const route* find_route(std::string_view host,
                                          std::string_view path) const;

    /// Returns the customer that holds `key`, or null.
    [[nodiscard]] const routed_customer*
    find_customer(std::string_view key) const;

private:
    /// Indices in `routes` by host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> routes_by_host_;
};

using config_snapshot = std::shared_ptr<const route_config>;

} // namespace baobabloft::directory

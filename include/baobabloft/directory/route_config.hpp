// What operators configure for routed services: routes by host and path,
// services, customers with their keys, and limits on callers. One immutable
// value; a request is decided under one snapshot of it.
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

/// What may be repeated.
enum class request_kind : std::uint8_t
{
    /// May run more than once.
    safe,
    /// Runs at most once.
    unsafe,
    /// Answers with events; runs at most once unless it is resumable.
    streaming
};

inline constexpr std::array request_kind_names{
    enum_name<request_kind>{request_kind::safe, "safe"},
    enum_name<request_kind>{request_kind::unsafe, "unsafe"},
    enum_name<request_kind>{request_kind::streaming, "streaming"},
};

/// A service and its share of a route's requests.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

/// One route.
struct route
{
    std::string name;
    /// Host name, lower case.
    std::string host;
    /// Path prefix; begins and ends with a slash.
    std::string prefix;
    request_kind kind = request_kind::unsafe;
    bool resumable = false;
    /// Longest time that a request may be kept waiting.
    duration timeout = 30s;
    /// Time within which an answer, or a stream's first event, is on time.
    duration response_goal = 1s;
    /// Longest pause between two events of a stream that is on time.
    duration gap_goal = 1s;
    /// Rank under contention; 0 is the highest.
    std::uint32_t priority = 0;
    /// Upstreams on which one request may run.
    std::uint32_t max_runs = 1;
    /// Needs no key.
    bool is_public = false;
    /// Requests name the parts of their prompt.
    bool has_affinity = false;
    std::vector<weighted_service> services;

    /// Returns true if a request of this route may run again elsewhere.
    [[nodiscard]] bool is_repeatable() const
    {
        return kind == request_kind::safe ||
               (kind == request_kind::streaming && resumable);
    }
};

/// What is configured of a service.
struct routed_service
{
    std::string name;
    /// Connections that one upstream takes from all routers together.
    std::uint32_t max_connections = 0;
    /// Requests per second that an upstream in a cold start bears; 0 if the
    /// service has no cold start.
    double cold_requests_per_second = 0;
    /// Length of a cold start.
    duration cold_start{0};
    /// Tokens that fit an engine's memory; 0 for plain services.
    std::uint64_t engine_token_capacity = 0;
};

/// A customer.
struct routed_customer
{
    std::string name;
    /// Goes before the route's priority.
    std::optional<std::uint32_t> priority;
};

/// Bounds on callers.
struct caller_bounds
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    duration header_timeout = 3s;
    duration idle_timeout = 15s;
};

/// Everything operators decide about routed services.
class route_config
{
public:
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::unordered_map<std::string, routed_service> services;
    std::vector<routed_customer> customers;
    /// Index into `customers` by key.
    std::unordered_map<std::string, std::size_t> keys;
    /// True if requests need a key unless their route is public.
    bool needs_keys = false;
    caller_bounds bounds;

    /// Orders routes for find_route(); call once after filling.
    void index_routes();

    /// Returns the route with the longest prefix of `path` among those of
    /// `host`, or null. `host` may carry a port; `path` may carry a query.
    [[nodiscard]] const route* find_route(std::string_view host,
                                          std::string_view path) const;

    /// Returns the customer that holds `key`, or null.
    [[nodiscard]] const routed_customer*
    find_customer(std::string_view key) const;

private:
    /// Routes of each host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
};

using config_snapshot = std::shared_ptr<const route_config>;

} // namespace baobabloft::directory

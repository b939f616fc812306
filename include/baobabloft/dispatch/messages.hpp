// Messages with which routers share what they see of the traffic. In a large
// fleet a router alone sees too few requests and responses to know the loads of
// the upstreams.
#pragma once

#include "baobabloft/support/ids.hpp"
#include "baobabloft/support/time.hpp"

#include <cstdint>
#include <vector>

namespace baobabloft::dispatch
{

/// Identifies a prompt prefix between routers: low 32 bits of its affinity.
enum class prefix_id : std::uint32_t
{
};

/// Unit of load_sample::age_steps.
inline constexpr duration load_sample_age_step = 20ms;
/// Unit of load_sample::work_steps, in percent of the usual time.
inline constexpr std::uint32_t work_percent_step = 10;
/// Unit of prefix_share::share_steps, as a share of all requests.
inline constexpr double prefix_share_step = 1.0 / 255;

/// Load that an upstream reported with a response.
struct load_sample
{
    upstream_id upstream{};
    /// Requests that run or wait at the upstream, from all routers.
    std::uint16_t load = 0;
    /// Age in steps of load_sample_age_step, rounded up.
    std::uint8_t age_steps = 0;
    /// How long work takes there, in steps of work_percent_step; 0 if the
    /// upstream does not report it.
    std::uint8_t work_steps = 0;
};

/// Unit of limit_sample::rate_steps, in requests per second.
inline constexpr double rate_limit_step = 0.1;
/// Value of limit_sample::rate_steps for an upstream without a limit.
inline constexpr std::uint16_t no_rate_limit = 0xffff;

/// What an upstream said of its limit, as rate_limit_statement.
struct limit_sample
{
    upstream_id upstream{};
    /// Rounded down to steps of rate_limit_step.
    std::uint16_t rate_steps = no_rate_limit;
    /// Age in steps of load_sample_age_step, rounded up.
    std::uint8_t age_steps = 0;
};

/// A prefix that many requests share.
struct prefix_share
{
    prefix_id prefix{};
    /// Share of the requests with an affinity, in steps of prefix_share_step.
    std::uint8_t share_steps = 0;
};

/// What one router saw since its last report; sent to the router that watches
/// the store for it.
struct traffic_report
{
    std::vector<load_sample> loads;
    /// The prefix of each request with an affinity.
    std::vector<prefix_id> prefixes;
    /// Only what upstreams said to the sender of the report.
    std::vector<limit_sample> limits;
};

/// Response to a traffic_report: what all routers saw that report to the
/// sender, and the sender itself.
struct traffic_summary
{
    std::vector<load_sample> loads;
    std::vector<prefix_share> hot_prefixes;
    std::vector<limit_sample> limits;
};

} // namespace baobabloft::dispatch

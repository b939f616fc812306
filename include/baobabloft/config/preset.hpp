// The preset: everything operators decide, in one immutable value. Exactly one
// preset is in force; each request is decided under one snapshot of it.
#pragma once

#include "baobabloft/support/enum_names.hpp"
#include "baobabloft/support/ids.hpp"
#include "baobabloft/support/time.hpp"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace baobabloft::config
{

/// Whether operators want an upstream to receive new work.
enum class upstream_intent
{
    serving,
    draining
};

inline constexpr std::array upstream_intent_names{
    enum_name<upstream_intent>{upstream_intent::serving, "serving"},
    enum_name<upstream_intent>{upstream_intent::draining, "draining"},
};

/// What kind of upstreams a service has.
enum class service_kind
{
    model,
    plain
};

inline constexpr std::array service_kind_names{
    enum_name<service_kind>{service_kind::model, "model"},
    enum_name<service_kind>{service_kind::plain, "plain"},
};

/// A data centre and the region it belongs to.
struct data_centre
{
    std::string name;
    std::string region;
    /// False while operators have taken the data centre out.
    bool in_service = true;
};

/// One server of a service.
struct upstream
{
    std::string name;
    upstream_id id{};
    std::string data_centre;
    /// "host:port", host an IPv4 address.
    std::string address;
    upstream_intent intent = upstream_intent::serving;
};

/// How an upstream in a cold start is treated.
struct cold_start_policy
{
    /// Requests in progress that a cold upstream bears.
    std::uint32_t request_limit = 2;
    /// Time from warm to full share.
    duration ramp = 30s;
};

/// A route of a plain service whose calls may not be repeated.
struct non_repeatable_route
{
    std::string method;
    /// Path below the service, for example "/bookings".
    std::string path;
};

/// Service-level objectives that the burn report is made from.
struct service_level_objectives
{
    duration first_token = 740ms;
    duration between_tokens = 53ms;
    duration answered_within = 30s;
    /// Share of requests that must meet the objectives.
    double target_share = 0.95;
};

/// A service and its upstreams.
struct service
{
    std::string name;
    service_kind kind = service_kind::model;
    /// Models answered by this service; for plain services empty.
    std::vector<std::string> models;
    /// No upstream carries more than this multiple of the mean load.
    double load_multiple = 1.25;
    /// Load below which the multiple does not apply, requests in progress.
    std::uint32_t load_floor = 4;
    /// Requests in progress that a warm upstream bears.
    std::uint32_t capacity = 64;
    /// Requests that may wait for one upstream.
    std::uint32_t queue_limit = 256;
    /// True if the upstreams refuse an order with an old fencing number.
    bool checks_fencing = false;
    cold_start_policy cold_start;
    service_level_objectives objectives;
    std::vector<non_repeatable_route> non_repeatable;
    std::vector<upstream> upstreams;
};

/// A customer and its share under contention.
struct customer
{
    std::string name;
    customer_id id{};
    std::uint32_t weight = 1;
};

/// Bounds on repeating requests.
struct retry_limits
{
    /// Attempts for one request, the first included.
    std::uint32_t max_attempts = 3;
    /// Retries allowed per first attempt, per customer.
    double budget_share = 0.1;
};

/// Everything operators decide.
struct preset
{
    std::string name;
    std::vector<data_centre> data_centres;
    std::vector<customer> customers;
    std::vector<service> services;
    retry_limits retries;
    /// Deadline of a request that names none.
    duration default_timeout = 30s;

    /// Returns the service called `name`, or null.
    [[nodiscard]] const service* find_service(std::string_view name) const;
    /// Returns the service that answers `model`, or null.
    [[nodiscard]] const service*
    find_service_by_model(std::string_view model) const;
    /// Returns the data centre called `name`, or null.
    [[nodiscard]] const data_centre*
    find_data_centre(std::string_view name) const;
    /// Returns the weight of `id`; a customer not named weighs 1.
    [[nodiscard]] std::uint32_t weight_of(customer_id id) const;
};

/// The number of an accepted preset; grows by one with each acceptance.
using generation = std::uint64_t;

/// A preset as accepted into the platform's KV service.
struct accepted_preset
{
    generation generation_number = 0;
    /// Writer's nonce, by which a lost answer is resolved.
    std::string nonce;
    /// Who activated it.
    std::string author;
    /// Acceptance time, seconds since the epoch, for display only.
    std::int64_t accepted_at = 0;
    /// The preset's JSON text as the operator wrote it.
    std::string text;
    preset value;
};

using preset_snapshot = std::shared_ptr<const accepted_preset>;

/// Returns true if operators let `upstream` receive new work under `preset`.
bool may_receive_work(const preset& preset, const upstream& upstream);

/// Returns true if calls of `method` on `path` may not be repeated.
bool is_non_repeatable(const service& service, std::string_view method,
                       std::string_view path);

} // namespace baobabloft::config

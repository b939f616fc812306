// The preset: all settings that operators control, in one immutable value.
// Exactly one preset is in force; each request is handled under one snapshot.
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

/// Whether operators allow an upstream to receive new requests.
enum class upstream_intent
{
    serving,
    draining
};

inline constexpr std::array upstream_intent_names{
    enum_name<upstream_intent>{upstream_intent::serving, "serving"},
    enum_name<upstream_intent>{upstream_intent::draining, "draining"},
};

/// The kind of a service: its upstreams run models or are plain HTTP servers.
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
    /// False while operators have taken the data centre out of service.
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

/// Limits on the load of an upstream after a cold start.
struct cold_start_policy
{
    /// Cold-start limit: maximum requests in progress on a cold upstream.
    std::uint32_t request_limit = 2;
    /// Time over which the limit then rises from the cold-start limit to the
    /// full one.
    duration ramp = 30s;
};

/// A route of a plain service whose calls must not be repeated because they
/// are not idempotent.
struct non_repeatable_route
{
    std::string method;
    /// Path relative to the service, for example "/bookings".
    std::string path;
};

/// Service-level objectives, against which the burn of the error budget is
/// reported.
struct service_level_objectives
{
    /// Maximum time from the arrival of a request to its first token.
    duration first_token = 740ms;
    /// Maximum time between two successive tokens.
    duration between_tokens = 53ms;
    /// Maximum time from the arrival of a request to the end of its response.
    duration answered_within = 30s;
    /// Share of requests that must meet the objectives, 0 to 1.
    double target_share = 0.95;
};

/// A service and its upstreams.
struct service
{
    std::string name;
    service_kind kind = service_kind::model;
    /// Models that this service runs; empty for plain services.
    std::vector<std::string> models;
    /// Bound on the load of one upstream, as a multiple of the mean load.
    double load_multiple = 1.25;
    /// Load below which the multiple does not apply, in requests in progress.
    std::uint32_t load_floor = 4;
    /// Maximum requests in progress on a warm upstream.
    std::uint32_t capacity = 64;
    /// Maximum requests that may wait for one upstream.
    std::uint32_t queue_limit = 256;
    /// True if the upstreams reject requests with an outdated fencing number.
    bool checks_fencing = false;
    cold_start_policy cold_start;
    service_level_objectives objectives;
    std::vector<non_repeatable_route> non_repeatable;
    std::vector<upstream> upstreams;
};

/// A customer and its weight, by which capacity is divided under contention.
struct customer
{
    std::string name;
    customer_id id{};
    std::uint32_t weight = 1;
};

/// Limits on retries.
struct retry_limits
{
    /// Maximum attempts for one request, including the first.
    std::uint32_t max_attempts = 3;
    /// Maximum ratio of retries to first attempts, per customer.
    double budget_share = 0.1;
};

/// All settings that operators control.
struct preset
{
    std::string name;
    std::vector<data_centre> data_centres;
    std::vector<customer> customers;
    std::vector<service> services;
    retry_limits retries;
    /// Timeout of a request that specifies no deadline.
    duration default_timeout = 30s;

    /// Returns the service named `service_name`, or null.
    [[nodiscard]] const service*
    find_service(std::string_view service_name) const;
    /// Returns the service that runs `model`, or null.
    [[nodiscard]] const service*
    find_service_by_model(std::string_view model) const;
    /// Returns the data centre named `data_centre_name`, or null.
    [[nodiscard]] const data_centre*
    find_data_centre(std::string_view data_centre_name) const;
    /// Returns the weight of customer `id`, 1 if the preset does not list it.
    [[nodiscard]] std::uint32_t weight_of(customer_id id) const;
};

/// The number of an accepted preset; increases by one with each acceptance.
using generation = std::uint64_t;

/// A preset as accepted into the platform's KV service.
struct accepted_preset
{
    generation generation_number = 0;
    /// The writer's nonce. If the response to a write is lost, it shows whether
    /// the stored preset is the writer's own.
    std::string nonce;
    /// The operator who activated the preset.
    std::string author;
    /// Acceptance time in seconds since the Unix epoch, for display only.
    std::int64_t accepted_at = 0;
    /// The preset's JSON text as the operator wrote it.
    std::string text;
    /// The preset parsed from `text`.
    preset value;
    /// Nonces of the generations before this one, newest first; limited in
    /// number.
    std::vector<std::string> predecessors{};
};

/// Returns `next` with the number and the predecessors that follow `previous`.
accepted_preset succeed(const accepted_preset& previous, accepted_preset next);

/// Returns true if `other`, of the same or a lower generation, was accepted by
/// a KV service that had lost `accepted`, and so is the later of the two.
bool is_superseded_by(const accepted_preset& accepted,
                      const accepted_preset& other);

using preset_snapshot = std::shared_ptr<const accepted_preset>;

/// Returns true if `upstream` may receive new requests under `preset`: it is
/// not draining and its data centre is in service.
bool may_receive_work(const preset& preset, const upstream& upstream);

/// Returns true if calls of `method` on `path` must not be repeated.
bool is_non_repeatable(const service& service, std::string_view method,
                       std::string_view path);

} // namespace baobabloft::config

// One router's part in the roll-outs of services: decides to which version a
// request may go, reports to the roll-out's judges what its requests met,
// judges the roll-outs for which it is one of the judges, and says which status
// to write. Does no I/O: messages and writes are returned.
#pragma once

#include "baobabloft/directory/rollout.hpp"
#include "baobabloft/dispatch/rollout_messages.hpp"
#include "baobabloft/routing/crash_protection.hpp"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <variant>

namespace baobabloft::dispatch
{

/// Limits of a roll-out, from the deployment's settings.
struct rollout_options
{
    /// Share of a service's requests, between the order and its time limit,
    /// that a bad version may get.
    double exposure = 0.1;
    /// Requests beyond that share.
    double exposure_slack = 50;
    /// Time from the fiftieth bad response of a version to its last request.
    duration revert_bound = 5s;
};

/// The upstreams of a service that may get requests, by version.
struct rollout_upstreams
{
    std::size_t of_target = 0;
    std::size_t of_others = 0;
};

/// The versions of a service that may get a request.
enum class version_rule : std::uint8_t
{
    any,
    target_only,
    others_only
};

/// Where a request of a service may go.
struct version_choice
{
    version_rule rule = version_rule::any;
    /// The target named by the rule; empty for any.
    std::string target;
    /// Number of the target's upstreams among which the requests are divided,
    /// so that each has the load of a usual one; 0 for all.
    std::size_t target_width = 0;
};

/// How a request ended at its upstream, as far as it tells about the version.
struct rollout_outcome
{
    std::string_view service;
    std::string_view route;
    upstream_id upstream{};
    bool is_target = false;
    /// The upstream responded with an error, broke off or did not respond.
    bool failed = false;
    /// Time from sending to the first content; until the failure if none.
    duration latency{0};
};

/// A status to be written if neither the order nor the status changed since.
struct rollout_write
{
    std::string service;
    directory::rollout_status status;
    std::uint64_t order_revision = 0;
    /// Revision of the status to replace; 0 if there must be none.
    std::uint64_t status_revision = 0;
};

/// How a write of a status ended.
enum class rollout_write_end : std::uint8_t
{
    written,
    /// The order or the status had changed.
    conflict,
    /// No response: it may have been written, or may be later.
    unknown
};

/// A change of a roll-out at this router, for logs.
struct rollout_event
{
    std::string service;
    std::string target;
    /// The stage or phase that begins, or "write" with the result in `detail`.
    std::string_view change;
    /// The evidence, as key=value pairs.
    std::string detail;
};

/// State of a roll-out for metrics and for the operators' command.
struct rollout_summary
{
    std::string service;
    std::string target;
    rollout_stage stage = rollout_stage::canary;
    std::optional<directory::rollout_phase> phase;
    /// Share of the requests that the target may get at this router.
    double share = 0;
    duration age{0};
    duration finish_within{0};
    bool is_judge = false;
    /// Sums over the fleet if this router is a judge, else its own.
    std::uint64_t requests = 0;
    std::uint64_t target_requests = 0;
    std::uint64_t target_responses = 0;
    std::uint64_t target_failures = 0;
    std::uint64_t target_slow = 0;
};

using rollout_message = std::variant<rollout_report, rollout_response>;

struct addressed_rollout_message
{
    router_id to{};
    rollout_message content;
};

/// The roll-outs as one router sees them.
class rollout_control
{
public:
    /// Returns all routers of the fleet, this one included.
    using member_source = std::function<std::vector<routing::fleet_member>()>;

    /// `lifetime` distinguishes this lifetime of the router from others.
    rollout_control(router_id self, std::uint32_t lifetime,
                    member_source members, const rollout_options& options = {});

    void set_options(const rollout_options& options);

    /// Replaces what the directory says of the order of a service. Without a
    /// call the last one holds.
    void update(time_point now, const directory::known_rollout& rollout,
                const rollout_upstreams& upstreams);
    /// Ends the roll-outs of services without an order.
    void retain(const std::function<bool(const std::string&)>& has_order);

    /// Returns where a request may go. Requests with the same `key` go to the
    /// same version while the share stays. `is_repeat` is true for a request
    /// that was sent before; it avoids the target unless that has all.
    version_choice choose(time_point now, const std::string& service,
                          std::uint64_t key, bool is_repeat);
    /// Records that a request of `service` was sent.
    void record_sent(time_point now, const std::string& service,
                     bool is_target);
    /// Records that a request of `service` is no longer in progress, whichever
    /// way it ended; for each record_sent().
    void record_ended(const std::string& service, bool is_target);
    /// Records a response or failure that tells about the version; none for
    /// requests that the caller gave up or that were not run.
    void record_outcome(time_point now, const rollout_outcome& outcome);

    /// Takes the decisions that are due; to be called several times a second.
    void tick(time_point now);
    void handle(time_point now, router_id from, const rollout_report& message);
    void handle(time_point now, router_id from,
                const rollout_response& message);

    /// Return and clear what is to be sent, written and logged.
    std::vector<addressed_rollout_message> take_messages();
    std::vector<rollout_write> take_writes();
    std::vector<rollout_event> take_events();
    /// Handles the end of the last write for `service`; at most one is in
    /// progress.
    void handle_write_end(time_point now, const std::string& service,
                          rollout_write_end end);

    [[nodiscard]] std::vector<rollout_summary> summaries(time_point now) const;
};

} // namespace baobabloft::dispatch

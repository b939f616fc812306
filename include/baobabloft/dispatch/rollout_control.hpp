// One router's part in the roll-outs of services: decides to which version a
// request may go, reports to the roll-out's judges what its requests met,
// judges the roll-outs for which it is one of the judges, and says which status
// to write. Does no I/O: messages and writes are returned.
#pragma once

#include "baobabloft/dispatch/rollout_gate.hpp"
#include "baobabloft/dispatch/rollout_judge.hpp"
#include "baobabloft/routing/crash_protection.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace baobabloft::dispatch
{

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

private:
    struct cell
    {
        rollout_cell counts;
        std::uint64_t changed = 0;
    };

    /// A status that this router is to write.
    struct wanted_write
    {
        directory::rollout_phase phase{};
        time_point since;
    };

    /// Ages of an order at which its judges act.
    struct schedule
    {
        /// The target gets all requests from here on if the evidence is good,
        duration advance_from{0};
        /// or here if there is too little of it.
        duration advance_by{0};
        /// or here if the evidence is neither good nor bad.
        duration advance_last{0};
        /// Requests at other versions are no longer waited for.
        duration complete_by{0};
    };

    struct service
    {
        explicit service(time_point first_seen) : gate(first_seen) {}

        directory::known_rollout known;
        rollout_id id{};
        rollout_gate gate;
        rollout_judge judge;
        /// Position among the judges; empty if this router is none.
        std::optional<std::size_t> judge_rank;
        std::vector<router_id> judges;
        std::map<std::pair<std::uint32_t, upstream_id>, cell> cells;
        std::uint64_t changes = 0;
        time_point next_report;
        bool has_reported = false;
        time_point next_evaluation;
        /// Responses that are still to be sent to all routers, and when.
        std::size_t announcements = 0;
        time_point next_announcement;
        /// Since when the target may get all requests.
        std::optional<time_point> all_since;
        std::optional<wanted_write> wanted;
        bool is_writing = false;
        /// Phase of the last write.
        directory::rollout_phase written{};
        /// Phase in the store, as far as the directory knows.
        std::optional<directory::rollout_phase> stored_phase;
        /// No write before, unless the directory shows a change.
        time_point next_write;
    };

    void begin(time_point now, const directory::known_rollout& rollout);
    void apply_options(service& item);
    void choose_judges(service& item,
                       std::vector<routing::fleet_member> members);
    /// Takes the judge's decisions on the stage.
    void judge(time_point now, service& item);
    /// Returns true if a final phase is in force and in the store.
    [[nodiscard]] static bool is_settled(const service& item);
    /// Returns the phase that this router has cause to write.
    [[nodiscard]] std::optional<directory::rollout_phase>
    wanted_phase(time_point now, const service& item) const;
    void write(time_point now, service& item);
    void report(time_point now, service& item);
    void announce(time_point now, service& item);
    void set_stage(time_point now, service& item, rollout_stage stage,
                   std::string_view cause);
    [[nodiscard]] rollout_response response_of(time_point now,
                                               const service& item) const;
    [[nodiscard]] double judge_share(time_point now, const service& item) const;
    /// Returns the time in which a judge can take a report of each router.
    [[nodiscard]] duration all_reports_time() const;
    [[nodiscard]] duration report_period() const;
    [[nodiscard]] schedule schedule_of(const service& item) const;
    /// Returns true if all requests have moved to the target and ended at the
    /// other versions.
    [[nodiscard]] bool has_moved(time_point now, const service& item) const;
    /// Returns true if most routers reported a short time ago.
    [[nodiscard]] bool has_majority(time_point now, const service& item) const;
    service* find(rollout_id id);
    void log(const service& item, std::string_view change, std::string detail);
    [[nodiscard]] std::string evidence_text(time_point now,
                                            const service& item) const;

    router_id self_;
    std::uint32_t lifetime_;
    member_source members_;
    rollout_options options_;
    std::size_t routers_ = 1;
    time_point next_refresh_;
    std::map<std::string, service, std::less<>> services_;
    /// Requests in progress at upstreams of other versions than the target, by
    /// service, with or without an order.
    std::map<std::string, std::uint32_t, std::less<>> others_in_progress_;
    std::vector<addressed_rollout_message> messages_;
    std::vector<rollout_write> writes_;
    std::vector<rollout_event> events_;
};

} // namespace baobabloft::dispatch

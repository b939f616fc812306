// One router's choice between the versions of a service during a roll-out, with
// the router's own part of the exposure. Does no I/O.
#pragma once

#include "baobabloft/directory/rollout.hpp"
#include "baobabloft/dispatch/rollout_types.hpp"

#include <optional>

namespace baobabloft::dispatch
{

/// What a gate has to know of its surroundings.
struct rollout_gate_options
{
    rollout_options limits;
    /// Routers of the fleet.
    std::size_t routers = 1;
    /// Time without a response of any judge after which the target gets no
    /// more requests.
    duration response_timeout = 2s;
    /// Differs between routers and their lifetimes.
    std::uint64_t seed = 0;
};

/// The choice of one router for one order.
class rollout_gate
{
public:
    explicit rollout_gate(time_point first_seen) : first_seen_(first_seen) {}

    void set_options(const rollout_gate_options& options)
    {
        options_ = options;
    }
    void update(const directory::known_rollout& rollout,
                const rollout_upstreams& upstreams);

    version_choice choose(time_point now, std::uint64_t key, bool is_repeat);
    void record_sent(time_point now, bool is_target);
    void handle(time_point now, const rollout_response& response);
    /// Binds the router to the end of the roll-out.
    void set_stage(time_point now, rollout_stage stage);

    /// Age of the order, as far as any router knew.
    [[nodiscard]] duration age(time_point now) const;
    void learn_age(time_point now, std::uint32_t age_ms);
    [[nodiscard]] rollout_stage stage() const
    {
        return stage_;
    }
    /// Returns the share of the requests that the target may get now.
    [[nodiscard]] double share(time_point now) const;
    [[nodiscard]] std::uint32_t requests() const
    {
        return requests_;
    }
    [[nodiscard]] std::uint32_t target_requests() const
    {
        return target_requests_;
    }
    /// Returns true if the service never had upstreams of another version
    /// since this router saw the order.
    [[nodiscard]] bool has_one_version() const
    {
        return !saw_others_ && upstreams_.of_others == 0;
    }
    [[nodiscard]] const rollout_upstreams& upstreams() const
    {
        return upstreams_;
    }

private:
    [[nodiscard]] bool has_budget(time_point now) const;
    [[nodiscard]] std::size_t canary_width(time_point now) const;

    rollout_gate_options options_;
    directory::rollout_order order_;
    std::optional<directory::rollout_phase> phase_;
    rollout_upstreams upstreams_;
    bool saw_others_ = false;
    time_point first_seen_;
    /// When the order was given, if a router knew of it earlier than this one.
    std::optional<time_point> earlier_start_;
    rollout_stage stage_ = rollout_stage::canary;
    double judge_share_ = 0;
    std::optional<time_point> response_at_;
    std::optional<time_point> advance_at_;
    std::uint32_t requests_ = 0;
    /// Requests up to the time limit, from which the exposure is reckoned.
    std::uint32_t counted_requests_ = 0;
    std::uint32_t target_requests_ = 0;
};

} // namespace baobabloft::dispatch

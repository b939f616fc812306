// Roll-outs: an operator's order to move the requests of a service to upstreams
// of another version, and the status that the fleet writes.
#pragma once

#include "baobabloft/support/enum_names.hpp"
#include "baobabloft/support/time.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace baobabloft::directory
{

/// An operator's order.
struct rollout_order
{
    std::string service;
    /// Version to which the requests are to move.
    std::string target;
    /// Time from the order within which it is to be complete.
    duration finish_within{0};

    friend bool operator==(const rollout_order&,
                           const rollout_order&) = default;
};

/// State of a roll-out as written to the store.
enum class rollout_phase : std::uint8_t
{
    active,
    /// All requests go to the target; the other upstreams stop.
    complete,
    /// No request goes to the target, whose upstreams leave.
    reverted
};

inline constexpr std::array rollout_phase_names{
    enum_name<rollout_phase>{rollout_phase::active, "active"},
    enum_name<rollout_phase>{rollout_phase::complete, "complete"},
    enum_name<rollout_phase>{rollout_phase::reverted, "reverted"},
};

/// The entry that the fleet writes for the order of a service.
struct rollout_status
{
    std::string target;
    rollout_phase phase = rollout_phase::active;

    friend bool operator==(const rollout_status&,
                           const rollout_status&) = default;
};

/// The order of a service in force, and its status.
struct known_rollout
{
    rollout_order order;
    /// Revision of the order, for writes of the status.
    std::uint64_t order_revision = 0;
    /// When this router first saw the order; the same after a restore of the
    /// store that brings the same order again.
    time_point first_seen;
    /// Phase in force for this order; empty before any was written. A final
    /// phase stays, also if a restored store lacks it.
    std::optional<rollout_phase> phase;
    /// Revision of the status entry in the store, whichever order it is for; 0
    /// if there is none.
    std::uint64_t status_revision = 0;
    /// The store lacks a final phase that was in force, which is to be written
    /// again.
    bool is_status_lost = false;
};

} // namespace baobabloft::directory

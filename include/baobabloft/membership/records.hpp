// The records that routers spread among each other by gossip, and the probe
// messages that carry them.
#pragma once

#include "baobabloft/support/enum_names.hpp"
#include "baobabloft/support/ids.hpp"

#include <cstdint>
#include <vector>

namespace baobabloft::membership
{

/// What the fleet believes of a router.
enum class member_state : std::uint8_t
{
    alive,
    suspect,
    dead,
    left
};

inline constexpr std::array member_state_names{
    enum_name<member_state>{member_state::alive, "alive"},
    enum_name<member_state>{member_state::suspect, "suspect"},
    enum_name<member_state>{member_state::dead, "dead"},
    enum_name<member_state>{member_state::left, "left"},
};

/// A router as gossip describes it. A higher incarnation wins; within one
/// incarnation the state that stands later in member_state wins.
struct member_record
{
    router_id id{};
    /// Milliseconds since the epoch at start, raised to refute a suspicion.
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    std::uint16_t http_port = 0;
    /// Hash of the data centre's name.
    std::uint32_t data_centre = 0;

    friend bool operator==(const member_record&,
                           const member_record&) = default;
};

/// Whether the platform's host list says that an upstream is leaving.
struct upstream_record
{
    upstream_id upstream{};
    /// The host list's version of this entry; the higher one wins.
    std::uint32_t version = 0;
    bool leaving = false;

    friend bool operator==(const upstream_record&,
                           const upstream_record&) = default;
};

/// A crash of an upstream while it ran a request.
struct crash_record
{
    fingerprint request{};
    upstream_id upstream{};
    /// Distinguishes crashes of one upstream; chosen by the reporting router.
    std::uint32_t event_id = 0;

    friend bool operator==(const crash_record&, const crash_record&) = default;
};

/// What rides on every probe message.
struct gossip_payload
{
    /// Number of the preset in force at the sender.
    std::uint64_t generation = 0;
    std::vector<member_record> members;
    std::vector<upstream_record> upstreams;
    std::vector<crash_record> crashes;
};

/// Asks the receiver whether it is alive.
struct ping
{
    std::uint32_t sequence = 0;
    gossip_payload gossip;
};

/// Answers a ping.
struct ping_ack
{
    std::uint32_t sequence = 0;
    gossip_payload gossip;
};

/// Asks the receiver to ping `target` on the sender's behalf.
struct indirect_ping
{
    std::uint32_t sequence = 0;
    router_id target{};
};

/// Asks the receiver for its list of members.
struct join_request
{
    member_record self;
};

/// Part of the sender's list of members.
struct member_list
{
    std::uint64_t generation = 0;
    std::vector<member_record> members;
    std::vector<upstream_record> upstreams;
};

} // namespace baobabloft::membership

// Records that routers spread by gossip, and the probe messages that carry
// them.
#pragma once

#include "baobabloft/support/enum_names.hpp"
#include "baobabloft/support/ids.hpp"

#include <cstdint>
#include <vector>

namespace baobabloft::membership
{

/// The state of a router as other routers see it.
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

/// The state of one router. A record with a higher incarnation overrides
/// others; within one incarnation the later enumerator of member_state
/// overrides.
struct member_record
{
    router_id id{};
    /// Start time of the router in milliseconds since the epoch, raised to
    /// refute a suspicion.
    std::uint64_t incarnation = 0;
    member_state state = member_state::alive;
    std::uint16_t http_port = 0;
    /// Hash of the name of the data centre.
    std::uint32_t data_centre = 0;

    friend bool operator==(const member_record&,
                           const member_record&) = default;
};

/// Whether an upstream is leaving, according to the platform's host list.
struct upstream_record
{
    upstream_id upstream{};
    /// Version of the entry in the host list; the higher version overrides.
    std::uint32_t version = 0;
    bool leaving = false;

    friend bool operator==(const upstream_record&,
                           const upstream_record&) = default;
};

/// A crash of an upstream while it was running a request.
struct crash_record
{
    fingerprint request{};
    upstream_id upstream{};
    /// Distinguishes crashes of one upstream; chosen by the router that reports
    /// the crash.
    std::uint32_t event_id = 0;

    friend bool operator==(const crash_record&, const crash_record&) = default;
};

/// The gossip that every probe message carries.
struct gossip_payload
{
    /// Number of the preset that the sender has adopted.
    std::uint64_t generation = 0;
    std::vector<member_record> members;
    std::vector<upstream_record> upstreams;
    std::vector<crash_record> crashes;
};

/// Probes the receiver, which responds with a ping_ack.
struct ping
{
    std::uint32_t sequence = 0;
    gossip_payload gossip;
};

/// Acknowledges a ping.
struct ping_ack
{
    std::uint32_t sequence = 0;
    gossip_payload gossip;
};

/// Requests that the receiver ping `target` on behalf of the sender.
struct indirect_ping
{
    std::uint32_t sequence = 0;
    router_id target{};
};

/// Requests the receiver's list of members.
struct join_request
{
    member_record self;
};

/// Part of the sender's list of members; a long list takes several messages.
struct member_list
{
    std::uint64_t generation = 0;
    std::vector<member_record> members;
    std::vector<upstream_record> upstreams;
};

} // namespace baobabloft::membership

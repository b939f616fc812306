// Messages between a router that runs a non-idempotent call and the router that
// appends to the shard of the call's idempotency key.
#pragma once

#include "baobabloft/ledger/batch.hpp"

#include <cstdint>

namespace baobabloft::ledger
{

/// Requests that the receiver append `content` to the log of the key's shard.
/// Resent with the same sequence number until there is a response.
struct append_request
{
    std::uint32_t sequence = 0;
    record content;
};

/// The result of an append request.
enum class append_result : std::uint8_t
{
    /// The record is in the log and has taken effect.
    accepted,
    /// Another attempt holds the key.
    claimed_by_other,
    /// The upstream has already responded to the key's call; its response is
    /// attached.
    already_done,
    /// The key was created before the low-water mark.
    below_low_water_mark,
    /// The creation time of the key is too far in the future.
    key_from_future,
    /// Too many records are waiting to be written to the KV service.
    overloaded
};

inline constexpr std::array append_result_names{
    enum_name<append_result>{append_result::accepted, "accepted"},
    enum_name<append_result>{append_result::claimed_by_other,
                             "claimed_by_other"},
    enum_name<append_result>{append_result::already_done, "already_done"},
    enum_name<append_result>{append_result::below_low_water_mark,
                             "beyond_horizon"},
    enum_name<append_result>{append_result::key_from_future, "key_from_future"},
    enum_name<append_result>{append_result::overloaded, "overloaded"},
};

/// Responds to an append_request.
struct append_response
{
    std::uint32_t sequence = 0;
    /// The attempt in the request. A router that has restarted reuses its
    /// sequence numbers and must ignore responses to requests that were sent
    /// before the restart.
    std::uint64_t attempt = 0;
    append_result result = append_result::accepted;
    /// The fencing number of an accepted claim.
    std::uint64_t fencing_number = 0;
    /// The stored response, if the result is already_done.
    stored_response upstream_response{};
};

/// Asks what the receiver knows of the log of `shard` and of the KV service;
/// see history_check.
struct history_query
{
    std::uint32_t sequence = 0;
    std::uint32_t shard = 0;
};

/// Responds to a history_query.
struct history_response
{
    std::uint32_t sequence = 0;
    std::uint32_t shard = 0;
    /// Time since the start of the sender.
    std::uint32_t uptime_ms = 0;
    /// Time for which the sender has followed the KV service without a gap; 0
    /// if it does not follow it.
    std::uint32_t view_age_ms = 0;
    /// Number and hash of the last entry that the sender knows of the shard;
    /// 0 if it knows none.
    std::uint64_t last_entry = 0;
    std::uint64_t entry_hash = 0;
    /// True if the sender has yet to record a loss of entries.
    bool lost_entries = false;
};

} // namespace baobabloft::ledger

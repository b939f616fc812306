// Messages between a router that runs a non-repeatable call and the router
// that appends to the key's shard.
#pragma once

#include "baobabloft/ledger/batch.hpp"

#include <cstdint>

namespace baobabloft::ledger
{

/// Asks the receiver to append `content` to its shard. Sent again with the
/// same sequence until answered.
struct append_request
{
    std::uint32_t sequence = 0;
    record content;
};

/// What became of a record.
enum class append_result : std::uint8_t
{
    /// The record is in the log and has effect.
    accepted,
    /// Another attempt holds the key.
    claimed_by_other,
    /// The key was answered before; the answer comes along.
    already_done,
    /// The key was created before the horizon.
    below_low_water_mark,
    /// The key's creation time lies too far in the future.
    key_from_future,
    /// Too many records wait for the KV service.
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

/// Answers an append_request.
struct append_response
{
    std::uint32_t sequence = 0;
    /// The attempt in the request. A router that restarted uses its sequence
    /// numbers again, and must not take an answer to its former life.
    std::uint64_t attempt = 0;
    append_result result = append_result::accepted;
    /// The claim's fencing number, if accepted.
    std::uint64_t fencing_number = 0;
    /// The stored answer, if already done.
    stored_response upstream_response{};
};

} // namespace baobabloft::ledger

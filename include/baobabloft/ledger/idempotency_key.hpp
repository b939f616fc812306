// Idempotency keys: version 7 UUIDs (RFC 9562), whose first 48 bits are the
// creation time in milliseconds since the epoch.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace baobabloft::ledger
{

/// The UUIDv7 of a non-idempotent call, which runs at most once per key.
struct idempotency_key
{
    std::array<std::uint8_t, 16> bytes{};

    friend auto operator<=>(const idempotency_key&,
                            const idempotency_key&) = default;
};

/// Parses "xxxxxxxx-xxxx-7xxx-yxxx-xxxxxxxxxxxx"; returns nothing for any
/// other text.
std::optional<idempotency_key> parse_idempotency_key(std::string_view text);

/// Returns the canonical text form of `key`, in lower case.
std::string to_string(const idempotency_key& key);

/// Returns the creation time that `key` contains, in milliseconds since the
/// epoch.
std::uint64_t created_at_ms(const idempotency_key& key);

/// Makes a key from a creation time and 74 bits of the two random numbers.
idempotency_key make_idempotency_key(std::uint64_t created_ms,
                                     std::uint64_t entropy_1,
                                     std::uint64_t entropy_2);

/// Returns the index of the shard that `key` belongs to.
std::uint32_t shard_of(const idempotency_key& key, std::uint32_t shard_count);

} // namespace baobabloft::ledger

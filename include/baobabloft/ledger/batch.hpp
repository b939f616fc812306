// Entries of the ledger: each is one value in the platform's KV service and
// holds a batch of records.
#pragma once

#include "baobabloft/ledger/idempotency_key.hpp"
#include "baobabloft/support/enum_names.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabloft::ledger
{

/// What a record says of its key.
enum class record_kind : std::uint8_t
{
    /// An attempt may send the call.
    claimed,
    /// The attempt surely sent nothing; the key is free again.
    released,
    /// The upstream answered.
    done
};

inline constexpr std::array record_kind_names{
    enum_name<record_kind>{record_kind::claimed, "claimed"},
    enum_name<record_kind>{record_kind::released, "released"},
    enum_name<record_kind>{record_kind::done, "done"},
};

/// An upstream's answer, kept for repetitions of the call.
struct stored_response
{
    std::uint16_t status = 0;
    /// False if the body was too large to keep.
    bool complete = false;
    std::string content_type;
    std::string body;

    friend bool operator==(const stored_response&,
                           const stored_response&) = default;
};

/// One step in a key's life.
struct record
{
    record_kind kind = record_kind::claimed;
    idempotency_key key;
    /// Names the attempt; only the attempt that claimed may release or finish.
    std::uint64_t attempt = 0;
    stored_response upstream_response{};

    friend bool operator==(const record&, const record&) = default;
};

/// One entry of a shard's log.
struct batch
{
    /// Names the write, by which a lost answer is resolved.
    std::uint64_t nonce = 0;
    /// Keys created before this are refused; milliseconds since the epoch.
    std::uint64_t low_water_mark_ms = 0;
    std::vector<record> records;

    friend bool operator==(const batch&, const batch&) = default;
};

/// Returns the stored form of `content`.
std::string encode_batch(const batch& content);

/// Parses a stored form; returns nothing if it is damaged.
std::optional<batch> decode_batch(std::string_view bytes);

} // namespace baobabloft::ledger

// Entries of the ledger's logs. Each entry is one value in the platform's KV
// service and holds a batch of records.
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

/// The transition that a record describes for its key.
enum class record_kind : std::uint8_t
{
    /// The attempt may send the call.
    claimed,
    /// The attempt certainly sent nothing; the key is free again.
    released,
    /// The upstream has responded.
    done,
    /// The KV service has lost entries. Keys that were created no later than
    /// the key of this record may have been claimed in one of them.
    entries_lost
};

inline constexpr std::array record_kind_names{
    enum_name<record_kind>{record_kind::claimed, "claimed"},
    enum_name<record_kind>{record_kind::released, "released"},
    enum_name<record_kind>{record_kind::done, "done"},
    enum_name<record_kind>{record_kind::entries_lost, "entries_lost"},
};

/// An upstream's response, stored for repetitions of the call.
struct stored_response
{
    std::uint16_t status = 0;
    /// False if the body was too large to store.
    bool complete = false;
    std::string content_type;
    std::string body;

    friend bool operator==(const stored_response&,
                           const stored_response&) = default;
};

/// One state transition of an idempotency key.
struct record
{
    record_kind kind = record_kind::claimed;
    idempotency_key key;
    /// Identifies the attempt. Only the attempt that claimed the key may
    /// release it or record the result.
    std::uint64_t attempt = 0;
    stored_response upstream_response{};

    friend bool operator==(const record&, const record&) = default;
};

/// One entry of a shard's log.
struct batch
{
    /// Identifies the write, so that a write whose response was lost can be
    /// recognised in the log.
    std::uint64_t nonce = 0;
    /// Keys created before this time are refused; milliseconds since the epoch.
    std::uint64_t low_water_mark_ms = 0;
    std::vector<record> records;

    friend bool operator==(const batch&, const batch&) = default;
};

/// Returns `content` in its stored form.
std::string encode_batch(const batch& content);

/// Parses the stored form of a batch; returns nothing if it is damaged.
std::optional<batch> decode_batch(std::string_view bytes);

} // namespace baobabloft::ledger

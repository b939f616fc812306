// The state of one shard, as its log defines it: the same log gives the same
// state to every reader.
#pragma once

#include "baobabloft/ledger/batch.hpp"

#include <deque>
#include <optional>
#include <unordered_map>

namespace baobabloft::ledger
{

/// Where a key stands.
enum class key_status : std::uint8_t
{
    free,
    claimed,
    done,
    /// Created before the horizon; what became of it is no longer known.
    below_low_water_mark
};

/// What is known of a key.
struct key_state
{
    key_status status = key_status::free;
    /// The attempt that holds the claim.
    std::uint64_t attempt = 0;
    stored_response upstream_response{};
    /// Attempts that gave their claim back. They may still wait at another
    /// appender and must not claim the key again, since nobody would end it.
    std::vector<std::uint64_t> released{};

    [[nodiscard]] bool has_released(std::uint64_t attempt) const;
};

/// Number of an entry in a shard's log.
using entry_number = std::uint64_t;

/// Replays a shard's log.
class shard_state
{
public:
    /// Applies entry `number`, which must follow the last one applied; the
    /// first may have any number, since older entries may be gone.
    void apply(entry_number number, const batch& content);

    /// Returns what the log says of `key`.
    [[nodiscard]] key_state find(const idempotency_key& key) const;

    /// Returns the number of the last entry applied.
    [[nodiscard]] std::optional<entry_number> last_entry() const;

    [[nodiscard]] std::uint64_t low_water_mark_ms() const;

    /// Returns the creation time of the youngest key in the log.
    [[nodiscard]] std::uint64_t newest_key_ms() const;

    /// Returns the number of keys remembered.
    [[nodiscard]] std::size_t key_count() const;

    /// Returns the first entry that must be kept: every key of the earlier
    /// ones lies beyond the horizon. Never passes the last entry.
    [[nodiscard]] entry_number first_needed_entry() const;

    /// Returns the oldest entry not yet known to be deleted.
    [[nodiscard]] entry_number first_undeleted_entry() const;

    /// Notes that entries before `number` were deleted.
    void record_deleted_before(entry_number number);

private:
    struct key_hash
    {
        std::size_t operator()(const idempotency_key& key) const;
    };

    struct entry_age
    {
        entry_number number = 0;
        /// Creation time of the youngest key in the entry.
        std::uint64_t newest_key_ms = 0;
    };

    void apply(const record& item);
    void raise_low_water_mark(std::uint64_t low_water_mark_ms);

    std::unordered_map<idempotency_key, key_state, key_hash> keys_;
    std::deque<entry_age> ages_;
    std::optional<entry_number> last_;
    std::uint64_t low_water_mark_ms_ = 0;
    std::uint64_t newest_key_ms_ = 0;
};

} // namespace baobabloft::ledger

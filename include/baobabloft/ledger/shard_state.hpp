// The state of one shard, computed from its log. All readers of the same log
// compute the same state.
#pragma once

#include "baobabloft/ledger/batch.hpp"

#include <deque>
#include <optional>
#include <unordered_map>

namespace baobabloft::ledger
{

/// The status of an idempotency key.
enum class key_status : std::uint8_t
{
    free,
    claimed,
    done,
    /// Created before the low-water mark, or before entries were lost and not
    /// in the log; the outcome of the call is no longer known.
    below_low_water_mark
};

/// The state of an idempotency key.
struct key_state
{
    key_status status = key_status::free;
    /// The attempt whose claim was accepted last.
    std::uint64_t attempt = 0;
    stored_response upstream_response{};
    /// Attempts that released their claim. A copy of their claim may still be
    /// waiting at another appender. It must not claim the key again, since no
    /// router would end that claim.
    std::vector<std::uint64_t> released_attempts{};

    [[nodiscard]] bool has_released(std::uint64_t attempt) const;
};

/// Number of an entry in a shard's log.
using entry_number = std::uint64_t;

/// Whether a log holds an entry that another reader knows.
enum class entry_presence
{
    /// The entry is in the log, or was deleted because its keys have expired.
    present,
    /// The log ends before the entry.
    not_read,
    /// The log has another entry with the same number.
    replaced
};

/// Applies the entries of a shard's log in order.
class shard_state
{
public:
    /// Applies entry `number`, which must follow the last one applied. The
    /// first entry may have any number, since older entries may have been
    /// deleted. `hash` is the hash of the entry's stored form.
    void apply(entry_number number, const batch& content,
               std::uint64_t hash = 0);

    /// Returns the state of `key`.
    [[nodiscard]] key_state find(const idempotency_key& key) const;

    /// Returns the number of the last entry applied.
    [[nodiscard]] std::optional<entry_number> last_entry() const;

    /// Returns the hash of the last entry applied, 0 if there is none.
    [[nodiscard]] std::uint64_t last_entry_hash() const;

    /// Returns whether the log holds entry `number` with the hash `hash`.
    [[nodiscard]] entry_presence find_entry(entry_number number,
                                            std::uint64_t hash) const;

    /// Returns the low-water mark, in milliseconds since the epoch. Claims of
    /// keys created before it are refused, and the state of such keys is
    /// dropped.
    [[nodiscard]] std::uint64_t low_water_mark_ms() const;

    /// Returns the creation time of the newest key in the log, in milliseconds
    /// since the epoch.
    [[nodiscard]] std::uint64_t newest_key_ms() const;

    /// Returns up to which creation time keys may have been claimed in entries
    /// that are lost; 0 if none are lost.
    [[nodiscard]] std::uint64_t lost_until_ms() const;

    /// Returns the records of all keys that are claimed or done.
    [[nodiscard]] std::vector<record> records() const;

    /// Returns the number of keys at or above the low-water mark.
    [[nodiscard]] std::size_t key_count() const;

    /// Returns the first entry that must be kept; all keys of earlier entries
    /// are below the low-water mark. The last entry is always kept.
    [[nodiscard]] entry_number first_needed_entry() const;

    /// Returns the oldest entry whose deletion is not confirmed.
    [[nodiscard]] entry_number first_undeleted_entry() const;

    /// Records that the entries before `number` have been deleted.
    void record_deleted_before(entry_number number);

private:
    struct key_hash
    {
        std::size_t operator()(const idempotency_key& key) const;
    };

    struct entry_summary
    {
        entry_number number = 0;
        /// Creation time of the newest key in the entry.
        std::uint64_t newest_key_ms = 0;
        std::uint64_t hash = 0;
    };

    void apply(const record& item);
    [[nodiscard]] bool may_be_lost(const idempotency_key& key) const;
    void raise_low_water_mark(std::uint64_t low_water_mark_ms);

    std::unordered_map<idempotency_key, key_state, key_hash> keys_;
    /// Entries whose deletion is not confirmed, in order.
    std::deque<entry_summary> entries_;
    std::optional<entry_number> last_entry_;
    std::uint64_t low_water_mark_ms_ = 0;
    std::uint64_t newest_key_ms_ = 0;
    /// Entries with claims of keys created up to this time may be lost.
    std::uint64_t lost_until_ms_ = 0;
};

} // namespace baobabloft::ledger

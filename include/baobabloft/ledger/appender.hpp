// Appends records to one shard's log in the platform's KV service, many in one
// write. Any router may append at any time: exactly one writer creates each
// entry, and a writer that lost reads the entry and goes on behind it. Safety
// needs neither clocks nor leases nor agreement on who appends.
#pragma once

#include "baobabloft/ledger/messages.hpp"
#include "baobabloft/ledger/shard_state.hpp"
#include "baobabloft/support/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace baobabloft::ledger
{

/// Read entries from `first` on, at most `limit` of them. Without `first`,
/// from the oldest.
struct read_entries
{
    std::uint32_t shard = 0;
    std::optional<entry_number> first;
    std::size_t limit = 0;
};

/// Create entry `number` on two conditions, checked together: it does not
/// exist, and its predecessor does. Entry 1 has no predecessor; in its place
/// a marker that is never deleted must not exist yet, and is written along.
struct create_entry
{
    std::uint32_t shard = 0;
    entry_number number = 0;
    std::string bytes;
};

/// Delete the entries in [first, end).
struct delete_entries
{
    std::uint32_t shard = 0;
    entry_number first = 0;
    entry_number end = 0;
};

using log_action = std::variant<read_entries, create_entry, delete_entries>;

/// An entry as read from the KV service.
struct log_entry
{
    entry_number number = 0;
    std::string bytes;
};

/// Who waits for a record.
struct append_ticket
{
    std::uint64_t requester = 0;
    std::uint32_t sequence = 0;

    friend auto operator<=>(const append_ticket&,
                            const append_ticket&) = default;
};

/// What became of a waiting record.
struct append_outcome
{
    append_ticket ticket;
    append_response response;
};

/// Settings of an appender.
struct appender_options
{
    std::uint32_t shard = 0;
    /// Writes per second that this shard may use of the KV service's budget.
    double writes_per_second = 25;
    std::size_t max_records_per_entry = 2000;
    std::size_t max_bytes_per_entry = 256 * 1024;
    std::size_t max_waiting_records = 20000;
    /// Keys older than this lie beyond the horizon.
    std::chrono::milliseconds retention{600'000};
    std::uint64_t seed = 1;
};

/// Counters for metrics.
struct appender_counts
{
    std::uint64_t writes = 0;
    std::uint64_t lost_races = 0;
    std::uint64_t unknown_writes = 0;
    std::uint64_t records = 0;
    std::uint64_t reads = 0;
    std::uint64_t damaged_entries = 0;
};

/// The log of one shard as one router extends it.
class appender
{
public:
    explicit appender(const appender_options& options);

    /// Queues `content`; `wall_ms` is the present since the epoch.
    void submit(time_point now, std::uint64_t wall_ms,
                const append_ticket& ticket, const record& content);

    /// Takes in the entries that a read_entries action asked for.
    void on_entries_read(time_point now, const std::vector<log_entry>& entries);

    /// Takes in that a read got no answer.
    void on_read_failed(time_point now);

    /// Takes in the answer to a create_entry action.
    void on_entry_created(time_point now, bool created);

    /// Takes in that a create_entry action got no answer; the entry may exist.
    void on_create_unconfirmed(time_point now);

    /// Takes in that deleted entries are surely gone.
    void on_entries_deleted(entry_number end);

    /// Starts writes that pacing held back; call at least every 50 ms.
    void tick(time_point now, std::uint64_t wall_ms);

    /// Returns and clears what to do at the KV service.
    std::vector<log_action> take_actions();

    /// Returns and clears what became of records.
    std::vector<append_outcome> take_outcomes();

    [[nodiscard]] const shard_state& state() const;
    [[nodiscard]] std::size_t waiting_records() const;
    [[nodiscard]] const appender_counts& counts() const;

private:
    enum class phase
    {
        unloaded,
        loading,
        ready,
        writing,
        /// Waits before it reads again after a failure.
        backing_off
    };

    struct waiting_record
    {
        append_ticket ticket;
        record content;
    };

    void load(time_point now);
    void advance(time_point now);
    void write(time_point now);
    void answer_settled();
    void settle_written();
    void reply_to(const append_ticket& ticket, const record& content,
                  append_response response);
    [[nodiscard]] bool is_stale(time_point now) const;
    [[nodiscard]] std::optional<append_response>
    settled_response(const record& content) const;
    [[nodiscard]] batch make_batch();
    void compact(time_point now);
    bool take_write_token(time_point now);
    void back_off(time_point now);

    appender_options options_;
    std::mt19937_64 random_;
    shard_state state_;
    phase phase_ = phase::unloaded;
    std::deque<waiting_record> waiting_;
    batch in_flight_;
    std::vector<log_action> actions_;
    std::vector<append_outcome> outcomes_;
    std::uint64_t wall_ms_ = 0;
    double tokens_ = 1;
    time_point tokens_updated_;
    time_point retry_at_;
    time_point last_contact_;
    unsigned failures_ = 0;
    time_point next_compaction_;
    bool first_compaction_planned_ = false;
    appender_counts counts_;
};

} // namespace baobabloft::ledger

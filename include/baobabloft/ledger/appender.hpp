// Appends records to the log of one shard in the platform's KV service, many
// records per write. Any router may append at any time: the KV service lets
// exactly one writer create each entry, and a writer that loses the race reads
// that entry and continues with the next one. Safety depends neither on clocks,
// nor on leases, nor on routers agreeing which of them appends.
#pragma once

#include "baobabloft/ledger/history_check.hpp"
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

/// Action: read at most `limit` entries, starting at `first`, or at the oldest
/// entry if `first` is empty.
struct read_entries
{
    std::uint32_t shard = 0;
    std::optional<entry_number> first;
    std::size_t limit = 0;
};

/// Action: create entry `number` if it does not exist and the value of its
/// predecessor is `predecessor`; both conditions are checked in one
/// transaction. A KV service that was restored from an older copy may hold
/// another entry under the predecessor's number. Entry 1 has no predecessor.
/// It requires instead that a marker, which is never deleted, does not exist,
/// and it creates the marker in the same transaction.
struct create_entry
{
    std::uint32_t shard = 0;
    entry_number number = 0;
    std::string bytes;
    std::string predecessor{};
};

/// Action: delete the entries in [first, end).
struct delete_entries
{
    std::uint32_t shard = 0;
    entry_number first = 0;
    entry_number end = 0;
};

/// Action: determine with a history_check whether claims made since `since_ms`
/// (milliseconds since the epoch) may be missing in the log that was read, then
/// call on_history_checked().
struct check_history
{
    std::uint32_t shard = 0;
    std::uint64_t since_ms = 0;
    /// Identifies the read of the log.
    std::uint64_t view = 0;
};

using log_action =
    std::variant<read_entries, create_entry, delete_entries, check_history>;

/// An entry as read from the KV service.
struct log_entry
{
    entry_number number = 0;
    std::string bytes;
};

/// Identifies an append request: the requesting router and the sequence number
/// of its request.
struct append_ticket
{
    std::uint64_t requester = 0;
    std::uint32_t sequence = 0;

    friend auto operator<=>(const append_ticket&,
                            const append_ticket&) = default;
};

/// The response to an append request.
struct append_outcome
{
    append_ticket ticket;
    append_response response;
};

/// Settings of an appender.
struct appender_options
{
    std::uint32_t shard = 0;
    /// KV writes per second allowed for this shard.
    double writes_per_second = 25;
    std::size_t max_records_per_entry = 2000;
    std::size_t max_bytes_per_entry = 256 * 1024;
    std::size_t max_waiting_records = 20000;
    /// Keys that are older than this fall below the low-water mark.
    std::chrono::milliseconds retention{600'000};
    std::uint64_t seed = 1;
};

/// Counters for metrics.
struct appender_counts
{
    std::uint64_t writes = 0;
    /// Writes rejected because another appender had extended the log.
    std::uint64_t lost_races = 0;
    /// Writes to which the KV service did not respond.
    std::uint64_t unknown_writes = 0;
    std::uint64_t records = 0;
    std::uint64_t reads = 0;
    std::uint64_t damaged_entries = 0;
    /// Times at which the KV service had lost entries.
    std::uint64_t losses = 0;
};

/// Appends to the log of one shard on behalf of one router.
class appender
{
public:
    explicit appender(const appender_options& options);

    /// Queues `content`. `wall_ms` is the current time in milliseconds since
    /// the epoch.
    void submit(time_point now, std::uint64_t wall_ms,
                const append_ticket& ticket, const record& content);

    /// Handles the entries returned for a read_entries action.
    void on_entries_read(time_point now, const std::vector<log_entry>& entries);

    /// Handles a read_entries action without a response.
    void on_read_failed(time_point now);

    /// Handles the response to a create_entry action.
    void on_entry_created(time_point now, bool created);

    /// Handles a create_entry action without a response; the entry may exist.
    void on_create_unconfirmed(time_point now);

    /// Handles the end of a check_history action: claims made up to
    /// `result.covered` before `now` are in the log.
    void on_history_checked(time_point now, const check_history& action,
                            const history_result& result);

    /// Handles the confirmed deletion of the entries before `end`.
    void on_entries_deleted(entry_number end);

    /// Records that the KV service may have lost entries: reads the log again
    /// and refuses keys that may have been claimed in entries that this
    /// appender does not know.
    /// The service held all entries at `since_ms`, in milliseconds since the
    /// epoch; if the log has a later record of a loss, none is appended.
    void handle_possible_loss(time_point now, std::uint64_t wall_ms,
                              std::uint64_t since_ms);

    /// Starts writes that the rate limit has delayed; must be called at least
    /// every 50 ms.
    void tick(time_point now, std::uint64_t wall_ms);

    /// Returns the actions for the KV service, and clears the list.
    std::vector<log_action> take_actions();

    /// Returns the responses to append requests, and clears the list.
    std::vector<append_outcome> take_outcomes();

    [[nodiscard]] const shard_state& state() const;
    /// Returns true if a loss of entries is not yet recorded in the log.
    [[nodiscard]] bool has_unrecorded_loss() const;
    [[nodiscard]] std::size_t waiting_records() const;
    [[nodiscard]] const appender_counts& counts() const;

private:
    enum class phase
    {
        unloaded,
        loading,
        ready,
        writing,
        /// Waits after a failure before the log is read again.
        backing_off
    };

    struct waiting_record
    {
        append_ticket ticket;
        record content;
    };

    void read_log(time_point now);
    /// Plans to append the records of the entries read so far again, and reads
    /// the log from its oldest entry.
    void recover_lost_entries(time_point now);
    /// Plans an entries_lost record as the last of `lost_records_`.
    void plan_loss_record();
    /// Answers the claims of the last write as unknown.
    void refuse_claims_in_flight();
    /// Drops the records of `lost_records_` that the log already contains.
    void drop_stored_records();
    /// Returns true if the entry that was applied last is not in the log.
    [[nodiscard]] bool
    has_lost_entries(const std::vector<log_entry>& entries) const;
    /// Starts a write if records wait and the rate limit allows one.
    void write_if_allowed(time_point now);
    void start_write(time_point now);
    /// Responds to waiting claims whose result follows from the log.
    void respond_to_settled();
    /// Refuses waiting claims of keys that may have been claimed in entries
    /// that the KV service has lost, or starts a check whether it has.
    void settle_uncovered();
    /// Records a response of the KV service at `now`.
    void record_contact(time_point now);
    /// Returns true if `content` claims a key that is free in the log, and may
    /// have been claimed in an entry that the KV service has lost.
    [[nodiscard]] bool is_uncovered(const record& content) const;
    /// Responds to waiting releases and results that the last write stored.
    void respond_to_written();
    void respond(const append_ticket& ticket, const record& content,
                 append_response response);
    /// Returns true if other appenders may have written since the last contact.
    [[nodiscard]] bool is_state_stale(time_point now) const;
    /// Returns the response to a claim if it follows from the log.
    [[nodiscard]] std::optional<append_response>
    settled_response(const record& content) const;
    [[nodiscard]] batch make_batch();
    void compact(time_point now);
    /// Takes a token of the write rate limit; returns false if there is none.
    bool take_write_token(time_point now);
    void back_off(time_point now);

    appender_options options_;
    std::mt19937_64 random_;
    shard_state state_;
    /// Stored form of the last entry in `state_`.
    std::string last_entry_bytes_;
    phase phase_ = phase::unloaded;
    std::deque<waiting_record> waiting_;
    batch batch_in_flight_;
    std::string bytes_in_flight_;
    /// Records of lost entries, followed by an entries_lost record. They are
    /// written before any other.
    std::deque<record> lost_records_;
    std::size_t lost_records_in_flight_ = 0;
    /// Start of the time in which the loss of a planned record happened.
    std::optional<std::uint64_t> loss_since_ms_;
    /// True from the start of a write until it is known whether it was stored.
    bool may_have_written_ = false;
    /// True if entries may have been lost during the current write.
    bool lost_during_write_ = false;
    std::vector<log_action> actions_;
    std::vector<append_outcome> outcomes_;
    std::uint64_t wall_ms_ = 0;
    double write_tokens_ = 1;
    time_point write_tokens_updated_;
    time_point retry_at_;
    /// Time of the last successful read or write.
    time_point last_contact_at_;
    /// True if the KV service has not responded since the last contact, or may
    /// have lost entries.
    bool view_broken_ = true;
    /// Number of the current view of the log, which begins with a read and ends
    /// with the first gap between contacts.
    std::uint64_t view_ = 0;
    /// The claims of keys created later are in the log; milliseconds since the
    /// epoch.
    std::uint64_t covered_since_ms_ = 0;
    /// Creation time of the oldest key that a finished check of this view was
    /// made for.
    std::optional<std::uint64_t> checked_since_ms_;
    bool check_in_progress_ = false;
    unsigned outdated_checks_ = 0;
    unsigned consecutive_failures_ = 0;
    time_point next_compaction_;
    bool first_compaction_planned_ = false;
    appender_counts counts_;
};

} // namespace baobabloft::ledger

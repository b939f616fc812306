// Keeps the directory state up to date with the store: by a full read first,
// then by paced watches, and by a full read again whenever the store has lost
// the history. A store that returns from an older copy begins a new era:
// nothing is compared with revisions of the era before, and all entries are
// read again. In each data centre a few routers watch the store and the others
// query them; a router that gets no fresh response calls the store itself. If
// the store has lost the history, they read all entries from the routers that
// watch it. Does no I/O: it returns the call to make next and handles the
// result.
#pragma once

#include "baobabloft/directory/directory_state.hpp"
#include "baobabloft/directory/store_pace.hpp"

#include <deque>
#include <variant>

namespace baobabloft::directory
{

/// Reads the page of entries after the key `after`.
struct read_page
{
    std::string after;
};

/// Waits for changes after the revision `after`, at most for `wait`.
struct watch_changes
{
    revision after = 0;
    duration wait{0};
};

/// Reads one entry whose value was too long for another router's response.
struct read_entry
{
    std::string key;
};

/// Sends a query to another router.
struct query_router
{
    std::string router;
    endpoint control_address;
    std::variant<change_query, entry_query, config_query, listing_query>
        message;
};

/// A call that keeps the directory state up to date.
using directory_call =
    std::variant<read_page, watch_changes, read_entry, query_router>;

/// Settings of the follower.
struct follower_options
{
    /// This router's name and data centre.
    std::string router;
    std::string data_centre;
    /// Routers that query one watching router. At 65 bytes per response and one
    /// query per router in 0.6 s, the responses stay below 2 kB per second.
    std::size_t routers_per_watcher = 12;
    /// Time from a router's response to the next query.
    duration query_pause = 600ms;
    /// The next query is sent earlier if the last confirmation would be older
    /// than this by then. Even with two lost queries and a call to the store,
    /// the time since the last confirmation then stays below two seconds,
    /// within which routers must stop using an upstream that leaves.
    duration max_age_at_query = 1500ms;
    /// A response whose confirmation is older than this is not applied.
    duration max_reported_age = 1300ms;
    /// Pause before an unresponsive router is queried again.
    duration unresponsive_router_pause = 3s;
    /// Pause before a router whose state was too old is queried again while the
    /// store does not respond to this router.
    duration stale_router_pause = 500ms;
    /// Time after a failed call to the store in which other routers are queried
    /// instead.
    duration store_retry_pause = 1s;
    /// Time from the end of a watch to the next one. Limits the calls to the
    /// store while entries change all the time, and the age of the known state
    /// while nothing changes.
    duration watch_pause = 700ms;
    /// Longest wait of one watch. Its response confirms the known state even if
    /// nothing changed.
    duration watch_wait = 300ms;
    /// Time from a failed call to the next one: after the first failure, and
    /// the longest.
    duration retry_pause = 50ms;
    duration max_retry_pause = 400ms;
    /// The longest such pause before the first full read, in which a router can
    /// serve nothing.
    duration max_first_read_pause = 1s;
    /// Time from a response that was too old to the next query while the store
    /// is unavailable.
    duration unavailable_query_pause = 400ms;
    /// A longer value is read from the store rather than from another router,
    /// which would have to send it to many routers at once.
    std::size_t max_value_bytes_from_router = std::size_t{24} * 1024;
    /// A long value that is not complete after this time is read from the
    /// store.
    duration long_entry_timeout = 400ms;
    /// Routers that learn of a new era from another router spread their full
    /// reads over this time.
    duration era_read_spread = 300ms;
    /// Pause after the first full read if it lists no other router, so that the
    /// first watch finds the other routers of a fleet that starts.
    duration fleet_start_pause = 700ms;
    /// Time after the end of a store outage within which live upstreams have
    /// registered again; the platform states about two seconds.
    duration expiry_grace = 2200ms;
    /// A newer configuration that another router has in force is requested from
    /// it if the store has not confirmed the own state for this long.
    duration config_report_patience = 1s;
    /// Routers with which the versions of configurations are compared after a
    /// start and after a restore of the store.
    std::size_t max_config_peers = 3;
    /// Time after a restore of the store within which its writers have written
    /// again what it lost. Longer than the grace of upstreams, which register
    /// again by themselves.
    duration rewrite_time = 5s;
    /// If no router is known to have had a response from the store for this
    /// long, the store was unavailable. Longer than the age that confirmations
    /// reach while the store rejects only the router that the others query,
    /// which is 2.1 s in the model of unittests/directory.
    duration store_unavailable_after = 2200ms;
};

/// Follows the store's contents.
class directory_follower
{
public:
    directory_follower(const record_codec& codec,
                       const follower_options& options);

    /// Returns the next call to make, or nothing while one is in progress or
    /// none is due.
    std::optional<directory_call> next_call(time_point now);

    /// These handle the result of the call in progress.
    void handle_page(time_point now, const entry_page& page);
    void handle_changes(time_point now, const entry_changes& changes);
    /// Handles a watch whose changes the store no longer has. `era` is empty if
    /// the response did not arrive as a whole.
    void handle_history_loss(time_point now, std::optional<store_era> era);
    void handle_call_failure(time_point now);
    void handle_entry(time_point now, const entry_lookup& lookup);
    /// Returns false if the response does not match the query in progress.
    bool handle_response(time_point now, const change_response& response);
    /// Returns false if the part does not match the query in progress.
    bool handle_part(time_point now, const entry_part& part);
    /// Returns false if the part does not match the query in progress.
    bool handle_config_part(time_point now, const config_part& part);
    /// Returns false if the response does not match the query in progress.
    bool handle_listing(time_point now, const listing_response& response);
    void handle_router_timeout(time_point now);

    /// Returns the response to another router's query.
    [[nodiscard]] change_response respond(time_point now,
                                          const change_query& query) const;
    [[nodiscard]] entry_part respond(time_point now,
                                     const entry_query& query) const;
    [[nodiscard]] config_part respond(const config_query& query) const;
    [[nodiscard]] listing_response respond(time_point now,
                                           const listing_query& query) const;
    /// Handles the version of the configuration that another router has in
    /// force. A newer one is requested from it unless the store turns out to
    /// have it.
    void handle_config_version(time_point now, std::uint64_t version,
                               const endpoint& from);
    /// Returns the routers to which notice() is to be sent now, so that those
    /// with a newer configuration respond: a few after a start, after a restore
    /// of the store, and with each configuration for some time after that.
    std::vector<router_record> take_config_peers(time_point now);
    /// Returns the notice to send before the response to `query`, or nothing if
    /// the sender's era and configuration are as recent as the own ones.
    [[nodiscard]] std::optional<change_notice>
    notice_for(const change_query& query) const;
    /// Returns the notice with which other routers learn of this one's state.
    [[nodiscard]] change_notice notice() const;
    /// Handles another router's notice of a change.
    void handle_notice(time_point now, const change_notice& notice);
    /// Returns true while this router watches the store for others.
    [[nodiscard]] bool is_watching_store(time_point now) const;
    /// Returns the router that watches the store for this one, or null if this
    /// router watches it itself. Valid until the directory changes.
    [[nodiscard]] const router_record* watcher(time_point now) const;
    /// Returns true if the store has no fleet secret and this router should
    /// write the one that it knows, or a new one. A few routers suffice, since
    /// only the first write succeeds.
    [[nodiscard]] bool should_create_secret(time_point now) const;
    /// Returns the revision of the latest era up to which all changes are
    /// known.
    [[nodiscard]] revision known_revision() const;
    /// Returns the store's latest known era; 0 before the first response.
    [[nodiscard]] store_era era() const;

    /// Returns the send time of the read that last confirmed the known state,
    /// or nothing before the first full read.
    [[nodiscard]] std::optional<time_point> confirmed_at() const;

    /// Returns true while a newer configuration is known to exist and is not
    /// read yet.
    [[nodiscard]] bool is_config_superseded() const;

    /// Returns true for some time after a restore of the store, in which it may
    /// lack what was confirmed before.
    [[nodiscard]] bool awaits_rewrites(time_point now) const;

    /// Returns true if the store responds neither to this router nor, as far
    /// as is known, to any other one.
    [[nodiscard]] bool is_store_unavailable(time_point now) const;

    /// Returns true after a full read, until the store loses the history.
    [[nodiscard]] bool has_complete_state() const;

    [[nodiscard]] directory_state& state();
    [[nodiscard]] const directory_state& state() const;

private:
    /// Begins an era of the store: all entries are to be read again.
    void start_era(time_point now, store_era era);
    /// Handles the era of a response of the store. Returns false if the
    /// response is of no use, since the era has changed since the last read.
    [[nodiscard]] bool accept_store_era(time_point now, store_era era);
    /// Handles the era that another router knows. Returns false if this router
    /// did not know of it.
    [[nodiscard]] bool accept_router_era(time_point now, store_era era);
    /// Records the end of a store outage if the time from the store's last
    /// known response to `sent_at` is long enough for one.
    void record_store_return(time_point now, time_point sent_at);
    /// Records that a read sent at `sent_at` confirmed the known state.
    void record_confirmation(time_point sent_at);
    /// Returns the query for a newer configuration of another router, or
    /// nothing if none is due.
    [[nodiscard]] std::optional<query_router> next_config_query(time_point now);
    /// Forgets the reported configuration once it is not newer any more.
    void update_reported_config();
    /// Begins to read all entries, from the router `source` unless it is empty.
    void begin_full_read(const std::string& source);
    /// Returns the next call of a full read.
    [[nodiscard]] directory_call next_full_read_call(time_point now);
    /// Returns the router from which to read the next page, or null if it is to
    /// be read from the store.
    [[nodiscard]] const router_record* full_read_source(time_point now);
    /// Continues a full read after a page that was applied, whose last key is
    /// `last_key`, or ends it.
    void continue_full_read(time_point now, bool has_more,
                            const std::string& last_key);
    /// Ends a full read once the long entries of its pages are applied.
    void end_full_read(time_point now);
    /// Discards the progress of a full read.
    void reset_full_read();
    /// Returns true if a listed entry without its value has to be read.
    [[nodiscard]] bool is_value_needed(const reported_entry& item,
                                       std::uint64_t config_version) const;
    /// Ends the query in progress and returns the router that was queried;
    /// empty if `sequence` does not match the query.
    std::string end_query(time_point now, std::uint32_t sequence);
    /// Records that the store responded to another router, whose state was
    /// confirmed this long ago.
    void record_store_response(std::uint32_t confirmation_age_ms);
    /// Returns the time since this router's state was last confirmed, as it is
    /// reported to other routers.
    [[nodiscard]] std::uint32_t reported_age_ms(time_point now) const;
    [[nodiscard]] bool store_failed_recently(time_point now) const;
    /// Returns false while the store is unavailable and this router's next call
    /// to it is not due.
    [[nodiscard]] bool may_call_store(time_point now) const;
    /// Returns false while a pending long entry should rather be read from
    /// other routers, since the store does not respond to this one.
    [[nodiscard]] bool may_read_value_from_store(time_point now) const;
    /// Discards the received parts of the pending long entry, which is read
    /// from the store next.
    void restart_transfer(std::string_view reason);
    /// Returns the call that reads the first of the pending long entries.
    [[nodiscard]] directory_call next_long_entry_call(time_point now);
    void add_pending_long_entry(time_point now, const reported_entry& item);
    void clear_pending_long_entries();
    /// Applies the first of the pending long entries, or its absence.
    void finish_long_entry(time_point now, const std::optional<entry>& item);
    [[nodiscard]] bool is_unresponsive(time_point now,
                                       const std::string& router) const;
    [[nodiscard]] bool is_stale(time_point now,
                                const std::string& router) const;
    /// Returns a responsive router of any data centre, or null.
    [[nodiscard]] const router_record*
    any_responsive_router(time_point now) const;
    /// Returns the router from which to read the pending long entry, or null if
    /// it is to be read from the store.
    [[nodiscard]] const router_record* long_entry_source(time_point now) const;
    /// Returns until when upstreams whose leases may have expired in an outage
    /// of the store stay usable; nothing outside this grace period.
    [[nodiscard]] std::optional<time_point> grace_end(time_point now) const;

    follower_options options_;
    directory_state state_;
    /// A full read has ended, and the store has not lost the history since.
    bool state_complete_ = false;
    /// The store's latest known era, once there was a first response.
    std::optional<store_era> era_;
    /// Set once the era has changed.
    std::optional<time_point> era_started_at_;
    /// The era began after the last call was sent.
    bool era_began_during_call_ = false;
    /// A full read of the latest known era has ended.
    bool era_was_complete_ = false;
    /// The first full read has ended.
    bool was_complete_ = false;
    /// End of the first full read of the latest known era.
    time_point era_complete_at_;
    bool call_in_progress_ = false;
    time_point call_sent_at_;
    time_point next_call_due_;
    /// Last pause after a failed call; zero after a confirmation.
    duration failure_pause_{0};
    revision known_revision_ = 0;
    /// Progress of a full read: the last key so far, the revision of the first
    /// page, the time at which the read started, and the keys so far.
    std::string next_page_after_;
    std::optional<revision> read_revision_;
    time_point read_started_at_;
    std::set<std::string> listed_keys_;
    /// All pages of a full read were applied.
    bool all_pages_read_ = false;
    /// The router to read all entries from; empty: the store, or any router if
    /// the store does not respond.
    std::string full_read_router_;
    std::optional<time_point> confirmed_at_;
    /// Sequence number and router of the query in progress.
    std::uint32_t query_sequence_ = 0;
    std::string queried_router_;
    /// Queries in a row without a response.
    std::uint32_t unanswered_queries_ = 0;
    /// Routers not to be queried, and until when: those that did not respond,
    /// and those whose response was too old.
    std::map<std::string, time_point> unresponsive_until_;
    std::map<std::string, time_point> stale_until_;
    std::optional<time_point> store_failed_at_;
    store_pace store_pace_;
    /// The next call goes to the store rather than to a router.
    bool use_store_next_ = false;
    /// Long entries to read before the next query, the parts received so far of
    /// the first one's value, and their revision.
    std::deque<reported_entry> pending_long_entries_;
    std::string long_value_;
    revision long_value_revision_ = 0;
    /// The first of them is to be read from the store.
    bool read_long_entry_from_store_ = false;
    /// Since when it is the first one.
    time_point long_entry_reported_at_;
    /// A newer configuration that another router has in force.
    struct reported_config
    {
        std::uint64_t version = 0;
        std::string router;
        endpoint control_address;
        time_point reported_at;
        /// The store has confirmed the own state since, without it.
        bool is_missing_in_store = false;
        /// The bytes received so far, and their version.
        std::string value;
        std::uint64_t value_version = 0;
        /// Queries in a row without a response.
        std::uint32_t unanswered = 0;
    };
    std::optional<reported_config> reported_config_;
    bool config_query_in_progress_ = false;
    /// Version of a configuration that this router could not read.
    std::uint64_t unusable_config_version_ = 0;
    /// The version and era at the last call of take_config_peers() that
    /// returned routers.
    std::uint64_t compared_version_ = 0;
    std::optional<store_era> compared_era_;
    /// What a response states, which holds once its long entries are applied.
    struct confirmation
    {
        revision as_of = 0;
        /// Nothing if the response was not the last one.
        std::optional<time_point> sent_at;
    };
    std::optional<confirmation> pending_confirmation_;
    /// Latest time at which the store is known to have responded to any router.
    time_point store_responded_at_;
    /// End of the store's last outage.
    std::optional<time_point> store_returned_at_;
};

} // namespace baobabloft::directory

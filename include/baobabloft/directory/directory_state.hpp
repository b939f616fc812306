// This router's local view of the store's contents, updated from pages and
// changes. Never returns to an older configuration.
#pragma once

#include "baobabloft/directory/change_log.hpp"
#include "baobabloft/directory/records.hpp"

#include <map>
#include <set>

namespace baobabloft::directory
{

/// An upstream and what is known about its entry.
struct known_upstream
{
    upstream_record record;
    /// Hash of its id, for ranking.
    std::uint64_t id_hash = 0;
    /// Revision of its entry.
    revision mod_revision = 0;
    /// When this router first saw this lifetime of the upstream; the epoch if
    /// the first full read listed it already.
    time_point first_seen;
    /// End of its cold start; in the past if it is warm.
    time_point cold_until;
    /// Set if its entry was removed while the store was unavailable or just
    /// after. Its lease may only have expired because it could not be renewed,
    /// so the upstream stays usable until this time.
    std::optional<time_point> grace_until;
};

/// A change of the local view, for logs and metrics.
struct directory_event
{
    enum class event_kind : std::uint8_t
    {
        config_adopted,
        config_rejected,
        upstream_added,
        upstream_changed,
        upstream_removed,
        /// The entry was removed in an outage of the store or just after,
        /// perhaps only because its lease expired. The upstream stays usable
        /// for a grace period.
        upstream_expired,
        entry_unreadable,
        /// An entry was ignored, since its revision is lower than one of the
        /// same key that was applied.
        entry_outdated,
        /// A restored store lists an entry that contradicts a later one, or
        /// lacks it. The later one holds for a while.
        entry_deferred,
        /// The bytes received so far of a long entry were discarded.
        transfer_restarted,
        data_centre_out_of_service,
        data_centre_back_in_service,
        /// An operator ordered a roll-out, or the order was replaced.
        rollout_ordered,
        rollout_withdrawn,
        /// A phase of a roll-out came into force.
        rollout_phase_changed,
        router_added,
        router_removed,
        /// The store was restored from an older copy.
        store_restored,
        /// A full read of the entries has ended.
        entries_read
    };
    event_kind kind{};
    /// Version, id, name or key of what changed; the digest of entries_read.
    std::string name;
    std::string detail;
    /// Revision of the change; 0 if none caused it.
    revision mod_revision = 0;
};

inline constexpr std::array directory_event_names{
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::config_adopted, "config_adopted"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::config_rejected, "config_rejected"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::upstream_added, "upstream_added"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::upstream_changed, "upstream_changed"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::upstream_removed, "upstream_removed"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::upstream_expired, "upstream_lapsed"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::entry_unreadable, "entry_unreadable"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::entry_outdated, "entry_outdated"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::entry_deferred, "entry_deferred"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::transfer_restarted, "transfer_restarted"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::data_centre_out_of_service,
        "data_centre_out"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::data_centre_back_in_service,
        "data_centre_in"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::rollout_ordered, "rollout_ordered"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::rollout_withdrawn, "rollout_withdrawn"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::rollout_phase_changed, "rollout_phase"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::router_added, "router_added"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::router_removed, "router_removed"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::store_restored, "store_restored"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::entries_read, "entries_read"},
};

/// The store's contents as known to this router.
class directory_state
{
public:
    explicit directory_state(const record_codec& codec);

    /// Begins a new era of the store: revisions known so far are not compared
    /// with those of entries applied from now on, and no changes are kept for
    /// other routers until end_full_read(). What writers may still write again
    /// is kept until `rewritten_by`.
    void begin_era(store_era era, time_point rewritten_by);

    /// Applies one entry or its removal. A removal before `grace_until` may be
    /// an expired lease: the upstream stays usable until then.
    void apply(time_point now, const entry& item,
               std::optional<time_point> grace_until);

    /// Applies an entry of a full read. If the first full read of an era lists
    /// an upstream that is known to have left or to leave, or an order of a
    /// roll-out that was replaced, the entry is of the copy: it is deferred
    /// until the time of begin_era(), or dropped if it is written again before.
    void apply_listed(time_point now, const entry& item,
                      std::optional<time_point> grace_until);

    /// Removes the entries that a full read did not list, unless they changed
    /// after `as_of_revision`. `grace_until` applies as in apply(). In the
    /// first full read of an era, the removal of data centres out of service,
    /// of orders of roll-outs and of routers is deferred as in apply_listed().
    void remove_unlisted(time_point now, const std::set<std::string>& listed,
                         revision as_of_revision,
                         std::optional<time_point> grace_until);

    /// Ends a full read: changes after `as_of_revision` are kept for other
    /// routers. `history_lost` tells that the store no longer had the changes
    /// after the state before the read.
    void end_full_read(revision as_of_revision, bool history_lost);

    /// Returns the changes after the revision `after` for another router, up to
    /// `as_of_revision`.
    [[nodiscard]] change_response changes_after(revision after,
                                                revision as_of_revision) const;

    /// Returns the entries with keys after `after` for another router, as many
    /// as fit a datagram.
    [[nodiscard]] listing_response
    listing_after(const std::string& after) const;

    /// Returns the queried part of an entry for another router, or an empty
    /// part if this router does not know its value.
    [[nodiscard]] entry_part part_for(const entry_query& query) const;

    /// Removes upstreams whose grace period has ended, and applies deferred
    /// entries that are due.
    void remove_expired(time_point now);

    /// Records that an upstream reported to be cold until `until`.
    void record_cold(const std::string& id, time_point until);

    /// Returns the configuration in force, or null before one is known.
    [[nodiscard]] const config_snapshot& config() const;
    /// Returns the version of the configuration in force, or 0.
    [[nodiscard]] std::uint64_t config_version() const;
    /// Returns a part of the configuration in force for another router.
    [[nodiscard]] config_part config_part_for(const config_query& query) const;
    /// Adopts a configuration that another router has in force, unless it is
    /// older than the own one.
    void adopt_reported_config(const std::string& value);
    /// Returns true if `item` was written after the known entry of its key.
    [[nodiscard]] bool is_newer(const reported_entry& item) const;
    [[nodiscard]] bool is_config(const reported_entry& item) const;
    /// Returns true if `item` is a configuration written after the one known.
    [[nodiscard]] bool is_newer_config(const reported_entry& item) const;
    /// Returns the upstreams by id.
    [[nodiscard]] const std::map<std::string, known_upstream>&
    upstreams() const;
    [[nodiscard]] bool is_out_of_service(const std::string& data_centre) const;
    /// Returns the roll-outs by service: of each service the order in force, or
    /// the last one until no upstream of its target is left.
    [[nodiscard]] const std::map<std::string, known_rollout>& rollouts() const;
    /// Returns the routers by name.
    [[nodiscard]] const std::map<std::string, router_record>& routers() const;
    /// Returns the fleet's secret, which is empty before it is known.
    [[nodiscard]] const std::string& secret() const;
    /// Returns true if the store has the fleet's secret, which it may lose when
    /// it is restored.
    [[nodiscard]] bool is_secret_listed() const;
    /// Returns true if the store has the entry of the router `name`.
    [[nodiscard]] bool is_router_listed(const std::string& name) const;

    /// Returns a digest of the configuration's version, the upstreams, the data
    /// centres out of service, the orders of roll-outs and the routers. Routers
    /// that know the same revision have the same digest, unless a grace period
    /// or a deferred entry makes a difference.
    [[nodiscard]] std::uint32_t digest() const;

    /// Returns a number that grows with every change of upstreams or of data
    /// centres out of service.
    [[nodiscard]] std::uint64_t change_count() const;

    /// Records that `discarded_bytes` of a value from another router were
    /// discarded, and why.
    void record_transfer_restart(const std::string& key,
                                 std::size_t discarded_bytes,
                                 std::string_view reason,
                                 revision mod_revision);

    /// Returns and clears the events since the last call.
    std::vector<directory_event> take_events();

private:
    /// These return true if other routers need to know of the change.
    bool apply_config(const config_snapshot& config, const entry& item);
    bool apply_upstream(time_point now, const upstream_record& record,
                        const entry& item);
    bool apply_record(time_point now, const parsed_key& key,
                      const record& content, const entry& item);
    void apply_rollout_order(time_point now, const rollout_order& order,
                             const entry& item);
    void apply_rollout_status(const std::string& service,
                              const rollout_status& status, const entry& item);
    /// Withdraws the order of a service: its target gets no further requests
    /// unless the roll-out is complete.
    void withdraw_rollout(const std::string& service);
    /// Updates the phase in force of a service's roll-out after a change of its
    /// order or status.
    void update_rollout_phase(const std::string& service);
    [[nodiscard]] bool has_upstream_of(const std::string& service,
                                       const std::string& version) const;
    void remove(time_point now, const parsed_key& key, revision mod_revision,
                std::optional<time_point> grace_until);
    void erase_upstream(time_point now, const std::string& id);
    /// Returns true if the upstream's lifetime in `item` is known to have left,
    /// or to leave although `item` does not say so.
    [[nodiscard]] bool contradicts_departure(const parsed_key& key,
                                             const entry& item) const;
    /// Returns true if `item` is an order of a roll-out that differs from the
    /// one known for its service.
    [[nodiscard]] bool contradicts_order(const parsed_key& key,
                                         const entry& item) const;
    /// Returns true if `item` is an upstream's write that precedes one of the
    /// same lifetime that was already applied.
    [[nodiscard]] bool is_late_write(const parsed_key& key,
                                     const entry& item) const;
    void defer(const entry& item);
    void record_seen(const parsed_key& key, const entry& item);
    void apply_deferred(time_point now);
    void record_event(directory_event::event_kind kind, std::string name,
                      std::string detail = {}, revision mod_revision = 0);

    const record_codec& codec_;
    config_snapshot config_;
    /// The configuration as written, and the revision of its entry; 0 if it is
    /// not an entry of the store in this era.
    std::string config_value_;
    revision config_revision_ = 0;
    std::map<std::string, known_upstream> upstreams_;
    /// No grace period ends and no deferred entry is due before this.
    time_point next_grace_end_ = time_point::max();
    /// Upstreams that were removed within the last minute.
    struct removed_upstream
    {
        std::uint64_t started_ms = 0;
        std::uint64_t write_number = 0;
        time_point removed_at;
    };
    std::map<std::string, removed_upstream> removed_upstreams_;
    /// Entries of a restored store to be applied at `rewritten_by_`, by key.
    std::map<std::string, entry> deferred_;
    time_point rewritten_by_;
    /// Data centres out of service, and the revisions of their entries.
    std::map<std::string, revision> out_of_service_;
    std::map<std::string, known_rollout> rollouts_;
    /// Eras in which the orders in `rollouts_` were last seen, as values of
    /// `era_count_`; an order that was withdrawn has none.
    std::map<std::string, std::uint64_t> order_eras_;
    /// Status entries of the store, by service.
    struct listed_status
    {
        rollout_status status;
        revision mod_revision = 0;
    };
    std::map<std::string, listed_status> rollout_statuses_;
    /// Number of calls of begin_era().
    std::uint64_t era_count_ = 0;
    std::map<std::string, router_record> routers_;
    /// Routers whose leases may have expired in an outage of the store, and
    /// until when they count as members.
    std::map<std::string, time_point> expired_routers_;
    std::string secret_;
    bool is_secret_listed_ = false;
    change_log log_;
    /// What was last seen of a key.
    struct seen_entry
    {
        /// Older revisions of the same era are ignored.
        revision mod_revision = 0;
        bool is_of_earlier_era = false;
        /// As written; empty for configurations.
        std::string value;
    };
    std::map<std::string, seen_entry> seen_entries_;
    /// The first full read has ended.
    bool initial_read_done_ = false;
    std::uint64_t change_count_ = 0;
    std::vector<directory_event> events_;
};

} // namespace baobabloft::directory

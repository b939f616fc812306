// What this router believes of the store's contents, kept up to date from
// pages and changes. Never goes back to an older configuration.
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
    revision mod_revision = 0;
    /// When this router first saw this lifetime of it; the epoch if it was
    /// listed already when the router began.
    time_point first_seen;
    /// End of its cold start; in the past if it is warm.
    time_point cold_until;
    /// Its entry went while the store was away or just after; it may only have
    /// lapsed, and is usable until this time.
    std::optional<time_point> grace_until;
};

/// A change of belief, for logs.
struct directory_event
{
    enum class event_kind : std::uint8_t
    {
        config_adopted,
        config_rejected,
        upstream_added,
        upstream_changed,
        upstream_removed,
        upstream_expired,
        entry_unreadable,
        data_centre_out_of_service,
        data_centre_back_in_service,
        router_added,
        router_removed
    };
    event_kind kind{};
    std::string name;
    std::string detail;
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
        directory_event::event_kind::data_centre_out_of_service,
        "data_centre_out"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::data_centre_back_in_service,
        "data_centre_in"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::router_added, "router_added"},
    enum_name<directory_event::event_kind>{
        directory_event::event_kind::router_removed, "router_removed"},
};

/// The store's contents as known here.
class directory_state
{
public:
    explicit directory_state(const record_codec& codec);

    /// Takes in one entry or its removal. Removals before `lapse_until` may be
    /// lapses: such upstreams stay usable up to then.
    void apply(time_point now, const entry& item,
               std::optional<time_point> lapse_until);

    /// Removes what a whole read did not list, unless it changed behind
    /// `as_of`.
    void remove_unlisted(time_point now, const std::set<std::string>& listed,
                         revision as_of, std::optional<time_point> lapse_until);

    /// The first whole read is over: changes behind `as_of` are kept for other
    /// routers.
    void begin_change_log(revision as_of);

    /// Returns changes for another router, up to `as_of`.
    [[nodiscard]] change_response changes_after(revision after,
                                                revision as_of) const;

    /// Returns a part of a long entry for another router.
    [[nodiscard]] entry_part part_for(const entry_query& ask) const;

    /// Drops upstreams whose lapse is over.
    void remove_expired(time_point now);

    /// Notes that an upstream says of itself that it is cold.
    void record_cold(const std::string& id, time_point until);

    [[nodiscard]] const config_snapshot& config() const;
    [[nodiscard]] const std::map<std::string, known_upstream>&
    upstreams() const;
    [[nodiscard]] bool is_out_of_service(const std::string& data_centre) const;
    [[nodiscard]] const std::map<std::string, router_record>& routers() const;
    /// Empty before it is known.
    [[nodiscard]] const std::string& secret() const;

    /// Grows with every change of upstreams or data centres.
    [[nodiscard]] std::uint64_t change_count() const;

    /// Returns and clears the changes since the last call.
    std::vector<directory_event> take_events();

private:
    /// These return true if other routers need to know.
    bool adopt(const config_snapshot& config, const entry& item);
    bool adopt_upstream(time_point now, const upstream_record& record,
                        const entry& item);
    bool adopt_record(time_point now, const parsed_key& key,
                      const record& content, const entry& item);
    void remove(time_point now, const parsed_key& key, revision mod_revision,
                std::optional<time_point> lapse_until);
    void note(directory_event::event_kind kind, std::string name,
              std::string detail = {}, revision mod_revision = 0);

    const record_codec& codec_;
    config_snapshot config_;
    std::map<std::string, known_upstream> upstreams_;
    /// No upstream that lapsed ends before this.
    time_point next_lapse_ = time_point::max();
    std::map<std::string, revision> out_;
    std::map<std::string, router_record> routers_;
    std::string secret_;
    change_log log_;
    /// Latest revision seen of each key, so that nothing goes back.
    std::map<std::string, revision> seen_;
    /// The first whole read is over.
    bool complete_ = false;
    std::uint64_t generation_ = 0;
    std::vector<directory_event> changes_;
};

} // namespace baobabloft::directory

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
    revision changed = 0;
    /// When this router first saw this lifetime of it; the epoch if it was
    /// listed already when the router began.
    time_point first_seen;
    /// End of its cold start; in the past if it is warm.
    time_point cold_until;
    /// Its entry went while the store was away or just after; it may only have
    /// lapsed, and is usable until this time.
    std::optional<time_point> lapsed_until;
};

/// A change of belief, for logs.
struct belief_change
{
    enum class what : std::uint8_t
    {
        config_adopted,
        config_rejected,
        upstream_added,
        upstream_changed,
        upstream_removed,
        upstream_lapsed,
        entry_unreadable,
        data_centre_out,
        data_centre_in,
        router_added,
        router_removed
    };
    what kind{};
    std::string name;
    std::string detail;
    revision changed = 0;
};

inline constexpr std::array belief_change_names{
    enum_name<belief_change::what>{belief_change::what::config_adopted,
                                   "config_adopted"},
    enum_name<belief_change::what>{belief_change::what::config_rejected,
                                   "config_rejected"},
    enum_name<belief_change::what>{belief_change::what::upstream_added,
                                   "upstream_added"},
    enum_name<belief_change::what>{belief_change::what::upstream_changed,
                                   "upstream_changed"},
    enum_name<belief_change::what>{belief_change::what::upstream_removed,
                                   "upstream_removed"},
    enum_name<belief_change::what>{belief_change::what::upstream_lapsed,
                                   "upstream_lapsed"},
    enum_name<belief_change::what>{belief_change::what::entry_unreadable,
                                   "entry_unreadable"},
    enum_name<belief_change::what>{belief_change::what::data_centre_out,
                                   "data_centre_out"},
    enum_name<belief_change::what>{belief_change::what::data_centre_in,
                                   "data_centre_in"},
    enum_name<belief_change::what>{belief_change::what::router_added,
                                   "router_added"},
    enum_name<belief_change::what>{belief_change::what::router_removed,
                                   "router_removed"},
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
    void retain(time_point now, const std::set<std::string>& listed,
                revision as_of, std::optional<time_point> lapse_until);

    /// The first whole read is over: changes behind `as_of` are kept for other
    /// routers.
    void begin_changes(revision as_of);

    /// Returns changes for another router, up to `as_of`.
    [[nodiscard]] change_answer changes_behind(revision after,
                                               revision as_of) const;

    /// Returns a part of a long entry for another router.
    [[nodiscard]] entry_part part_of(const entry_ask& ask) const;

    /// Drops upstreams whose lapse is over.
    void tick(time_point now);

    /// Notes that an upstream says of itself that it is cold.
    void note_cold(const std::string& id, time_point until);

    [[nodiscard]] const config_snapshot& config() const;
    [[nodiscard]] const std::map<std::string, known_upstream>&
    upstreams() const;
    [[nodiscard]] bool is_out(const std::string& data_centre) const;
    [[nodiscard]] const std::map<std::string, router_record>& routers() const;
    /// Empty before it is known.
    [[nodiscard]] const std::string& secret() const;

    /// Grows with every change of upstreams or data centres.
    [[nodiscard]] std::uint64_t generation() const;

    /// Returns and clears the changes since the last call.
    std::vector<belief_change> take_changes();

private:
    /// These return true if other routers need to know.
    bool adopt(const config_snapshot& config, const entry& item);
    bool adopt_upstream(time_point now, const upstream_record& record,
                        const entry& item);
    bool adopt_record(time_point now, const key_name& key,
                      const record& content, const entry& item);
    void remove(time_point now, const key_name& key, revision changed,
                std::optional<time_point> lapse_until);
    void note(belief_change::what kind, std::string name,
              std::string detail = {}, revision changed = 0);

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
    std::vector<belief_change> changes_;
};

} // namespace baobabloft::directory

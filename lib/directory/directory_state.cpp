#include "baobabloft/directory/directory_state.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <utility>

namespace baobabloft::directory
{

directory_state::directory_state(const record_codec& codec) : codec_(codec) {}

void directory_state::note(belief_change::what kind, std::string name,
                           std::string detail, revision changed)
{
    changes_.push_back({kind, std::move(name), std::move(detail), changed});
}

void directory_state::apply(time_point now, const entry& item,
                            std::optional<time_point> lapse_until)
{
    const auto key = codec_.read_key(item.key);
    if (key.kind == key_kind::other)
        return;
    auto& seen = seen_[item.key];
    if (item.changed <= seen)
        return;
    seen = item.changed;
    if (item.removed)
    {
        remove(now, key, item.changed, lapse_until);
        seen_.erase(item.key);
        log_.add(item);
        return;
    }
    if (adopt_record(now, key, codec_.read(key, item.value), item))
        log_.add(item);
}

bool directory_state::adopt_record(time_point now, const key_name& key,
                                   const record& content, const entry& item)
{
    if (const auto* config = std::get_if<config_snapshot>(&content))
        return adopt(*config, item);
    if (const auto* upstream = std::get_if<upstream_record>(&content))
        return adopt_upstream(now, *upstream, item);
    if (std::holds_alternative<data_centre_out>(content))
    {
        if (!out_.emplace(key.name, item.changed).second)
            return false;
        ++generation_;
        note(belief_change::what::data_centre_out, key.name, {}, item.changed);
        return true;
    }
    if (const auto* router = std::get_if<router_record>(&content))
    {
        if (routers_.insert_or_assign(key.name, *router).second)
            note(belief_change::what::router_added, key.name, {}, item.changed);
        return true;
    }
    if (const auto* secret = std::get_if<fleet_secret>(&content))
    {
        secret_ = secret->text;
        return false;
    }
    if (const auto* bad = std::get_if<unreadable_record>(&content))
    {
        note(belief_change::what::entry_unreadable, item.key, bad->reason,
             item.changed);
        // An entry that cannot be read names no upstream; a configuration
        // that cannot be read changes nothing.
        if (key.kind == key_kind::upstream && upstreams_.erase(key.name) != 0)
            ++generation_;
        return true;
    }
    return false;
}

bool directory_state::adopt(const config_snapshot& config, const entry& item)
{
    if (config_ && config->version < config_->version)
    {
        note(belief_change::what::config_rejected,
             std::to_string(config->version), "older than the one in force",
             item.changed);
        return false;
    }
    config_ = config;
    note(belief_change::what::config_adopted, std::to_string(config->version),
         {}, item.changed);
    return true;
}

bool directory_state::adopt_upstream(time_point now,
                                     const upstream_record& record,
                                     const entry& item)
{
    auto [found, added] = upstreams_.try_emplace(record.id);
    auto& known = found->second;
    const bool reborn = !added && known.record.started_ms != record.started_ms;
    const bool changed = added || reborn ||
                         known.record.draining != record.draining ||
                         known.record.address != record.address ||
                         known.record.service != record.service ||
                         known.record.data_centre != record.data_centre;
    const auto cold_until = now + record.cold_left;
    if (added || reborn || record.cold_left > duration{0})
        known.cold_until = cold_until;
    if (added)
        known.id_hash = hash_bytes(record.id);
    if (added || reborn)
        known.first_seen = complete_ ? now : time_point{};
    const bool was_lapsed = known.lapsed_until.has_value();
    known.record = record;
    known.changed = item.changed;
    known.lapsed_until.reset();
    if (!changed && !was_lapsed)
        return record.cold_left > duration{0};
    ++generation_;
    note(added ? belief_change::what::upstream_added
               : belief_change::what::upstream_changed,
         record.id,
         record.draining ? "draining" : (reborn ? "new lifetime" : "ready"),
         item.changed);
    return true;
}

void directory_state::remove(time_point now, const key_name& key,
                             revision changed,
                             std::optional<time_point> lapse_until)
{
    switch (key.kind)
    {
    case key_kind::upstream:
    {
        const auto found = upstreams_.find(key.name);
        if (found == upstreams_.end())
            return;
        if (lapse_until && *lapse_until > now)
        {
            found->second.lapsed_until = lapse_until;
            next_lapse_ = std::min(next_lapse_, *lapse_until);
            note(belief_change::what::upstream_lapsed, key.name, {}, changed);
            return;
        }
        upstreams_.erase(found);
        ++generation_;
        note(belief_change::what::upstream_removed, key.name, {}, changed);
        return;
    }
    case key_kind::data_centre_out:
        if (out_.erase(key.name) != 0)
        {
            ++generation_;
            note(belief_change::what::data_centre_in, key.name, {}, changed);
        }
        return;
    case key_kind::router:
        if (routers_.erase(key.name) != 0)
            note(belief_change::what::router_removed, key.name, {}, changed);
        return;
    case key_kind::config:
    case key_kind::fleet_secret:
    case key_kind::other:
        return;
    }
}

void directory_state::retain(time_point now,
                             const std::set<std::string>& listed,
                             revision as_of,
                             std::optional<time_point> lapse_until)
{
    std::vector<std::string> gone;
    for (const auto& [key, changed] : seen_)
        if (changed <= as_of && !listed.contains(key))
            gone.push_back(key);
    for (const auto& key : gone)
    {
        remove(now, codec_.read_key(key), as_of, lapse_until);
        log_.add({.key = key, .value = {}, .changed = as_of, .removed = true});
        seen_.erase(key);
    }
}

void directory_state::begin_changes(revision as_of)
{
    log_.set_floor(as_of);
    complete_ = true;
}

change_answer directory_state::changes_behind(revision after,
                                              revision as_of) const
{
    return log_.answer(after, as_of);
}

entry_part directory_state::part_of(const entry_ask& ask) const
{
    return log_.part(ask);
}

void directory_state::tick(time_point now)
{
    // Called a hundred times a second, and lapses are rare.
    if (now < next_lapse_)
        return;
    next_lapse_ = time_point::max();
    for (auto item = upstreams_.begin(); item != upstreams_.end();)
    {
        const auto& until = item->second.lapsed_until;
        if (!until || *until > now)
        {
            if (until)
                next_lapse_ = std::min(next_lapse_, *until);
            ++item;
            continue;
        }
        note(belief_change::what::upstream_removed, item->first, "lapsed");
        item = upstreams_.erase(item);
        ++generation_;
    }
}

void directory_state::note_cold(const std::string& id, time_point until)
{
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        found->second.cold_until = std::max(found->second.cold_until, until);
}

const config_snapshot& directory_state::config() const
{
    return config_;
}

const std::map<std::string, known_upstream>& directory_state::upstreams() const
{
    return upstreams_;
}

bool directory_state::is_out(const std::string& data_centre) const
{
    return out_.contains(data_centre);
}

const std::map<std::string, router_record>& directory_state::routers() const
{
    return routers_;
}

const std::string& directory_state::secret() const
{
    return secret_;
}

std::uint64_t directory_state::generation() const
{
    return generation_;
}

std::vector<belief_change> directory_state::take_changes()
{
    return std::exchange(changes_, {});
}

} // namespace baobabloft::directory

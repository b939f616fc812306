#include "baobabloft/directory/directory_state.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <utility>

namespace baobabloft::directory
{

namespace
{

/// Space for entries in one listing; the rest of a datagram is for headers.
constexpr std::size_t max_listing_bytes = 1100;
/// Encoded bytes of an entry in addition to its key and value.
constexpr std::size_t entry_overhead_bytes = 14;
/// Bytes of a long value in one datagram.
constexpr std::size_t max_part_bytes = 1000;
/// Time for which removed upstreams are remembered. Longer than a restored copy
/// of the store is old.
constexpr duration removal_memory = 60s;
/// Routers whose leases expired in an outage of the store count as members for
/// this long after the grace of upstreams, since they renew less often.
constexpr duration router_grace = 3s;

} // namespace

directory_state::directory_state(const record_codec& codec) : codec_(codec) {}

void directory_state::record_event(directory_event::event_kind kind,
                                   std::string name, std::string detail,
                                   revision mod_revision)
{
    events_.push_back({kind, std::move(name), std::move(detail), mod_revision});
}

void directory_state::begin_era(store_era era, time_point rewritten_by)
{
    rewritten_by_ = rewritten_by;
    ++era_count_;
    is_secret_listed_ = false;
    // Removals that are not due yet are decided again by the next full read.
    for (const auto& [key, item] : std::exchange(deferred_, {}))
        if (item.removed)
            seen_entries_[key] = {};
    for (auto& [key, seen] : seen_entries_)
        seen.is_of_earlier_era = true;
    log_.clear();
    config_revision_ = 0;
    record_event(directory_event::event_kind::store_restored,
                 std::to_string(era));
}

void directory_state::apply(time_point now, const entry& item,
                            std::optional<time_point> grace_until)
{
    const auto key = codec_.read_key(item.key);
    if (key.kind == key_kind::other)
        return;
    auto& seen = seen_entries_[item.key];
    if (!seen.is_of_earlier_era && item.mod_revision <= seen.mod_revision)
    {
        if (item.mod_revision < seen.mod_revision)
            record_event(directory_event::event_kind::entry_outdated, item.key,
                         "revision " + std::to_string(seen.mod_revision) +
                             " was applied",
                         item.mod_revision);
        return;
    }
    // The entries of a restored copy precede what was applied before.
    if (!seen.is_of_earlier_era && is_late_write(key, item))
    {
        record_event(directory_event::event_kind::entry_outdated, item.key,
                     "a later write of this lifetime was applied",
                     item.mod_revision);
        if (seen.value.empty())
            seen_entries_.erase(item.key);
        else
            seen.mod_revision = item.mod_revision;
        return;
    }
    record_seen(key, item);
    deferred_.erase(item.key);
    if (item.removed)
    {
        remove(now, key, item.mod_revision, grace_until);
        seen_entries_.erase(item.key);
        log_.add(item);
        return;
    }
    if (apply_record(now, key, codec_.read(key, item.value), item))
        log_.add(item);
}

void directory_state::apply_listed(time_point now, const entry& item,
                                   std::optional<time_point> grace_until)
{
    const auto key = codec_.read_key(item.key);
    const auto seen = seen_entries_.find(item.key);
    const bool is_known_of_this_era =
        seen != seen_entries_.end() && !seen->second.is_of_earlier_era;
    if (is_known_of_this_era || now >= rewritten_by_ ||
        (!contradicts_departure(key, item) && !contradicts_order(key, item)))
    {
        apply(now, item, grace_until);
        return;
    }
    record_seen(key, item);
    defer(item);
}

bool directory_state::contradicts_order(const parsed_key& key,
                                        const entry& item) const
{
    const auto known = rollouts_.find(key.name);
    if (key.kind != key_kind::rollout_order || known == rollouts_.end())
        return false;
    const auto content = codec_.read(key, item.value);
    const auto* listed = std::get_if<rollout_order>(&content);
    return listed != nullptr && *listed != known->second.order;
}

bool directory_state::contradicts_departure(const parsed_key& key,
                                            const entry& item) const
{
    if (key.kind != key_kind::upstream)
        return false;
    const auto content = codec_.read(key, item.value);
    const auto* listed = std::get_if<upstream_record>(&content);
    if (listed == nullptr)
        return false;
    if (const auto known = upstreams_.find(key.name); known != upstreams_.end())
    {
        const auto& record = known->second.record;
        return listed->started_ms < record.started_ms ||
               (listed->started_ms == record.started_ms && record.draining &&
                !listed->draining);
    }
    const auto removed = removed_upstreams_.find(key.name);
    return removed != removed_upstreams_.end() &&
           listed->started_ms <= removed->second.started_ms;
}

bool directory_state::is_late_write(const parsed_key& key,
                                    const entry& item) const
{
    if (key.kind != key_kind::upstream || item.removed)
        return false;
    const auto content = codec_.read(key, item.value);
    const auto* written = std::get_if<upstream_record>(&content);
    if (written == nullptr)
        return false;
    const auto precedes = [written](const auto& applied)
    {
        return written->started_ms == applied.started_ms &&
               written->write_number < applied.write_number;
    };
    if (const auto known = upstreams_.find(key.name); known != upstreams_.end())
        return precedes(known->second.record);
    const auto removed = removed_upstreams_.find(key.name);
    return removed != removed_upstreams_.end() && precedes(removed->second);
}

void directory_state::record_seen(const parsed_key& key, const entry& item)
{
    auto& seen = seen_entries_[item.key];
    seen.mod_revision = item.mod_revision;
    seen.is_of_earlier_era = false;
    if (key.kind != key_kind::config)
        seen.value = item.value;
}

listing_response directory_state::listing_after(const std::string& after) const
{
    listing_response result;
    std::size_t bytes = 0;
    for (auto item = seen_entries_.upper_bound(after);
         item != seen_entries_.end(); ++item)
    {
        const auto& [key, seen] = *item;
        const auto kind = codec_.read_key(key).kind;
        const bool is_other_config =
            kind == key_kind::config && seen.mod_revision != config_revision_;
        // Datagrams are signed, not encrypted.
        if (seen.is_of_earlier_era || is_other_config ||
            kind == key_kind::fleet_secret)
            continue;
        const bool is_long =
            kind == key_kind::config || is_long_value(seen.value);
        bytes += key.size() + (is_long ? 0 : seen.value.size()) +
                 entry_overhead_bytes;
        result.has_more = bytes > max_listing_bytes;
        if (result.has_more)
            break;
        result.entries.push_back({.key = key,
                                  .value = is_long ? std::string{} : seen.value,
                                  .mod_revision = seen.mod_revision,
                                  .is_long = is_long});
    }
    return result;
}

void directory_state::defer(const entry& item)
{
    deferred_[item.key] = item;
    next_grace_end_ = std::min(next_grace_end_, rewritten_by_);
    record_event(directory_event::event_kind::entry_deferred, item.key,
                 item.removed ? "not listed" : "listed", item.mod_revision);
}

void directory_state::apply_deferred(time_point now)
{
    if (now < rewritten_by_)
    {
        if (!deferred_.empty())
            next_grace_end_ = std::min(next_grace_end_, rewritten_by_);
        return;
    }
    for (const auto& [text, item] : std::exchange(deferred_, {}))
    {
        const auto key = codec_.read_key(text);
        if (item.removed)
            remove(now, key, item.mod_revision, {});
        else if (apply_record(now, key, codec_.read(key, item.value), item))
            log_.add(item);
    }
}

bool directory_state::apply_record(time_point now, const parsed_key& key,
                                   const record& content, const entry& item)
{
    if (const auto* config = std::get_if<config_snapshot>(&content))
        return apply_config(*config, item);
    if (const auto* upstream = std::get_if<upstream_record>(&content))
        return apply_upstream(now, *upstream, item);
    if (std::holds_alternative<data_centre_out_of_service>(content))
    {
        if (!out_of_service_.emplace(key.name, item.mod_revision).second)
            return false;
        ++change_count_;
        record_event(directory_event::event_kind::data_centre_out_of_service,
                     key.name, {}, item.mod_revision);
        return true;
    }
    if (const auto* order = std::get_if<rollout_order>(&content))
    {
        apply_rollout_order(now, *order, item);
        return true;
    }
    if (const auto* status = std::get_if<rollout_status>(&content))
    {
        apply_rollout_status(key.name, *status, item);
        return true;
    }
    if (const auto* router = std::get_if<router_record>(&content))
    {
        expired_routers_.erase(key.name);
        if (routers_.insert_or_assign(key.name, *router).second)
            record_event(directory_event::event_kind::router_added, key.name,
                         {}, item.mod_revision);
        return true;
    }
    if (const auto* secret = std::get_if<fleet_secret>(&content))
    {
        secret_ = secret->text;
        is_secret_listed_ = true;
        return false;
    }
    if (const auto* unreadable = std::get_if<unreadable_record>(&content))
    {
        record_event(directory_event::event_kind::entry_unreadable, item.key,
                     unreadable->reason, item.mod_revision);
        // An upstream whose entry cannot be parsed is removed; a configuration
        // that cannot be parsed changes nothing.
        if (key.kind == key_kind::upstream && upstreams_.erase(key.name) != 0)
            ++change_count_;
        return true;
    }
    return false;
}

bool directory_state::apply_config(const config_snapshot& config,
                                   const entry& item)
{
    if (config_ && config->version < config_->version)
    {
        record_event(directory_event::event_kind::config_rejected,
                     std::to_string(config->version),
                     "older than the one in force", item.mod_revision);
        return false;
    }
    config_ = config;
    config_value_ = item.value;
    config_revision_ = item.mod_revision;
    record_event(directory_event::event_kind::config_adopted,
                 std::to_string(config->version),
                 std::to_string(item.value.size()) + " bytes",
                 item.mod_revision);
    return true;
}

bool directory_state::apply_upstream(time_point now,
                                     const upstream_record& record,
                                     const entry& item)
{
    auto [found, added] = upstreams_.try_emplace(record.id);
    auto& known = found->second;
    const bool is_new_lifetime =
        !added && known.record.started_ms != record.started_ms;
    const bool is_changed = added || is_new_lifetime ||
                            known.record.draining != record.draining ||
                            known.record.address != record.address ||
                            known.record.service != record.service ||
                            known.record.version != record.version ||
                            known.record.data_centre != record.data_centre;
    const auto cold_until = now + record.cold_remaining;
    if (added || is_new_lifetime || record.cold_remaining > duration{0})
        known.cold_until = cold_until;
    if (added)
    {
        known.id_hash = hash_bytes(record.id);
        removed_upstreams_.erase(record.id);
    }
    if (added || is_new_lifetime)
        known.first_seen = initial_read_done_ ? now : time_point{};
    const bool was_in_grace_period = known.grace_until.has_value();
    known.record = record;
    known.mod_revision = item.mod_revision;
    known.grace_until.reset();
    if (!is_changed && !was_in_grace_period)
        return record.cold_remaining > duration{0};
    ++change_count_;
    record_event(added ? directory_event::event_kind::upstream_added
                       : directory_event::event_kind::upstream_changed,
                 record.id,
                 record.draining ? "draining"
                                 : (is_new_lifetime ? "new lifetime" : "ready"),
                 item.mod_revision);
    return true;
}

void directory_state::remove(time_point now, const parsed_key& key,
                             revision mod_revision,
                             std::optional<time_point> grace_until)
{
    switch (key.kind)
    {
    case key_kind::upstream:
    {
        const auto found = upstreams_.find(key.name);
        if (found == upstreams_.end())
            return;
        if (grace_until && *grace_until > now)
        {
            found->second.grace_until = grace_until;
            next_grace_end_ = std::min(next_grace_end_, *grace_until);
            record_event(directory_event::event_kind::upstream_expired,
                         key.name, {}, mod_revision);
            return;
        }
        erase_upstream(now, key.name);
        record_event(directory_event::event_kind::upstream_removed, key.name,
                     {}, mod_revision);
        return;
    }
    case key_kind::data_centre_out_of_service:
        if (out_of_service_.erase(key.name) != 0)
        {
            ++change_count_;
            record_event(
                directory_event::event_kind::data_centre_back_in_service,
                key.name, {}, mod_revision);
        }
        return;
    case key_kind::rollout_order:
        withdraw_rollout(key.name);
        return;
    case key_kind::rollout_status:
        rollout_statuses_.erase(key.name);
        update_rollout_phase(key.name);
        return;
    case key_kind::router:
        if (grace_until && *grace_until > now && routers_.contains(key.name))
        {
            const auto until = *grace_until + router_grace;
            expired_routers_[key.name] = until;
            next_grace_end_ = std::min(next_grace_end_, until);
            return;
        }
        if (routers_.erase(key.name) != 0)
            record_event(directory_event::event_kind::router_removed, key.name,
                         {}, mod_revision);
        return;
    case key_kind::config:
    case key_kind::fleet_secret:
    case key_kind::other:
        return;
    }
}

void directory_state::erase_upstream(time_point now, const std::string& id)
{
    const auto found = upstreams_.find(id);
    std::erase_if(removed_upstreams_, [now](const auto& removed)
                  { return now - removed.second.removed_at > removal_memory; });
    const auto& record = found->second.record;
    removed_upstreams_[id] = {.started_ms = record.started_ms,
                              .write_number = record.write_number,
                              .removed_at = now};
    const auto service = found->second.record.service;
    upstreams_.erase(found);
    ++change_count_;
    const auto rollout = rollouts_.find(service);
    if (rollout != rollouts_.end() && !order_eras_.contains(service) &&
        !has_upstream_of(service, rollout->second.order.target))
        rollouts_.erase(rollout);
}

void directory_state::remove_unlisted(time_point now,
                                      const std::set<std::string>& listed,
                                      revision as_of_revision,
                                      std::optional<time_point> grace_until)
{
    std::vector<std::string> removed_keys;
    for (const auto& [key, seen] : seen_entries_)
        if ((seen.is_of_earlier_era || seen.mod_revision <= as_of_revision) &&
            !listed.contains(key))
            removed_keys.push_back(key);
    for (const auto& key : removed_keys)
    {
        const auto parsed = codec_.read_key(key);
        const entry removal{.key = key,
                            .value = {},
                            .mod_revision = as_of_revision,
                            .removed = true};
        const bool may_be_written_again =
            seen_entries_[key].is_of_earlier_era && now < rewritten_by_ &&
            (parsed.kind == key_kind::data_centre_out_of_service ||
             parsed.kind == key_kind::rollout_order ||
             parsed.kind == key_kind::router);
        if (may_be_written_again)
            defer(removal);
        else
            remove(now, parsed, as_of_revision, grace_until);
        seen_entries_.erase(key);
    }
    record_event(
        directory_event::event_kind::entries_read, std::to_string(digest()),
        std::to_string(listed.size()) + " entries, " +
            std::to_string(removed_keys.size()) + " known ones not listed",
        as_of_revision);
}

void directory_state::end_full_read(revision as_of_revision, bool history_lost)
{
    log_.begin(as_of_revision, history_lost);
    initial_read_done_ = true;
}

change_response directory_state::changes_after(revision after,
                                               revision as_of_revision) const
{
    return log_.changes_after(after, as_of_revision);
}

entry_part directory_state::part_for(const entry_query& query) const
{
    entry_part result{.sequence = query.sequence, .bytes = {}};
    const auto found = seen_entries_.find(query.key);
    if (found == seen_entries_.end() || found->second.is_of_earlier_era)
        return result;
    const auto kind = codec_.read_key(query.key).kind;
    if (kind == key_kind::fleet_secret)
        return result;
    const bool is_config = kind == key_kind::config;
    const auto& value = is_config ? config_value_ : found->second.value;
    const auto mod_revision =
        is_config ? config_revision_ : found->second.mod_revision;
    if (mod_revision == 0 || query.offset > value.size())
        return result;
    result.total_bytes = static_cast<std::uint32_t>(value.size());
    result.mod_revision = mod_revision;
    result.bytes = value.substr(query.offset, max_part_bytes);
    return result;
}

void directory_state::remove_expired(time_point now)
{
    // Called a hundred times a second, and grace periods are rare.
    if (now < next_grace_end_)
        return;
    next_grace_end_ = time_point::max();
    apply_deferred(now);
    std::erase_if(expired_routers_,
                  [&](const auto& expired)
                  {
                      if (expired.second > now)
                      {
                          next_grace_end_ =
                              std::min(next_grace_end_, expired.second);
                          return false;
                      }
                      routers_.erase(expired.first);
                      record_event(directory_event::event_kind::router_removed,
                                   expired.first, "lapsed");
                      return true;
                  });
    for (auto item = upstreams_.begin(); item != upstreams_.end();)
    {
        const auto& until = item->second.grace_until;
        if (!until || *until > now)
        {
            if (until)
                next_grace_end_ = std::min(next_grace_end_, *until);
            ++item;
            continue;
        }
        const auto expired = item++;
        record_event(directory_event::event_kind::upstream_removed,
                     expired->first, "lapsed");
        erase_upstream(now, std::string{expired->first});
    }
}

void directory_state::record_cold(const std::string& id, time_point until)
{
    if (const auto found = upstreams_.find(id); found != upstreams_.end())
        found->second.cold_until = std::max(found->second.cold_until, until);
}

const config_snapshot& directory_state::config() const
{
    return config_;
}

std::uint64_t directory_state::config_version() const
{
    return config_ ? config_->version : 0;
}

config_part directory_state::config_part_for(const config_query& query) const
{
    config_part result{
        .sequence = query.sequence, .version = config_version(), .bytes = {}};
    if (query.offset > config_value_.size())
        return result;
    result.total_bytes = static_cast<std::uint32_t>(config_value_.size());
    result.bytes = config_value_.substr(query.offset, max_part_bytes);
    return result;
}

void directory_state::adopt_reported_config(const std::string& value)
{
    const auto content = codec_.read({key_kind::config, {}}, value);
    if (const auto* config = std::get_if<config_snapshot>(&content))
        apply_config(*config, {.key = {}, .value = value});
}

bool directory_state::is_newer(const reported_entry& item) const
{
    const auto found = seen_entries_.find(item.key);
    return found == seen_entries_.end() || found->second.is_of_earlier_era ||
           found->second.mod_revision < item.mod_revision;
}

bool directory_state::is_config(const reported_entry& item) const
{
    return codec_.read_key(item.key).kind == key_kind::config;
}

bool directory_state::is_newer_config(const reported_entry& item) const
{
    return is_config(item) && is_newer(item);
}

const std::map<std::string, known_upstream>& directory_state::upstreams() const
{
    return upstreams_;
}

bool directory_state::is_out_of_service(const std::string& data_centre) const
{
    return out_of_service_.contains(data_centre);
}

const std::map<std::string, known_rollout>& directory_state::rollouts() const
{
    return rollouts_;
}

const std::map<std::string, router_record>& directory_state::routers() const
{
    return routers_;
}

const std::string& directory_state::secret() const
{
    return secret_;
}

bool directory_state::is_secret_listed() const
{
    return is_secret_listed_;
}

bool directory_state::is_router_listed(const std::string& name) const
{
    return std::ranges::any_of(seen_entries_,
                               [&](const auto& item)
                               {
                                   const auto key = codec_.read_key(item.first);
                                   return key.kind == key_kind::router &&
                                          key.name == name &&
                                          !item.second.is_of_earlier_era;
                               });
}

std::uint32_t directory_state::digest() const
{
    auto result = config_version();
    const auto add = [&result](std::string_view text, std::uint64_t number = 0)
    {
        result = hash_combine(result, hash_bytes(text, number));
    };
    for (const auto& [id, upstream] : upstreams_)
    {
        const auto& record = upstream.record;
        add(id, record.started_ms);
        add(to_string(record.address), record.draining ? 1 : 0);
    }
    for (const auto& [name, item_revision] : out_of_service_)
        add(name);
    for (const auto& [service, rollout] : rollouts_)
    {
        add(service);
        add(rollout.order.target, order_eras_.contains(service) ? 1 : 0);
    }
    for (const auto& [name, router] : routers_)
        add(to_string(router.control_address));
    return static_cast<std::uint32_t>(result);
}

std::uint64_t directory_state::change_count() const
{
    return change_count_;
}

void directory_state::record_transfer_restart(const std::string& key,
                                              std::size_t discarded_bytes,
                                              std::string_view reason,
                                              revision mod_revision)
{
    record_event(directory_event::event_kind::transfer_restarted, key,
                 std::string{reason} + ", " + std::to_string(discarded_bytes) +
                     " bytes discarded",
                 mod_revision);
}

std::vector<directory_event> directory_state::take_events()
{
    return std::exchange(events_, {});
}

} // namespace baobabloft::directory

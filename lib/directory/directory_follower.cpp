#include "baobabloft/directory/directory_follower.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace baobabloft::directory
{

namespace
{

/// Largest age of a confirmation that is reported; older ones are of no use to
/// any router.
constexpr std::int64_t max_reported_age_ms = 1'000'000;

/// A router counts as unresponsive after this many queries in a row without a
/// response.
constexpr std::uint32_t max_unanswered_queries = 2;

/// In a large fleet one router of so many creates the secret at once, so that
/// the others find it in their first watch.
constexpr std::uint64_t routers_per_early_creator = 64;
/// Otherwise the first few routers by rank do, or any that waited this long.
constexpr std::ptrdiff_t max_creators = 3;
constexpr duration creation_patience = 3s;

} // namespace

directory_follower::directory_follower(const record_codec& codec,
                                       const follower_options& options)
    : options_(options), state_(codec),
      store_pace_({.unavailable_after = options.store_unavailable_after},
                  hash_bytes(options.router))
{
}

std::optional<directory_call> directory_follower::next_call(time_point now)
{
    state_.remove_expired(now);
    if (call_in_progress_ || now < next_call_due_)
        return std::nullopt;
    call_in_progress_ = true;
    call_sent_at_ = now;
    era_began_during_call_ = false;
    if (auto query = next_config_query(now))
        return query;
    if (!pending_long_entries_.empty())
        return next_long_entry_call(now);
    // The state was complete up to the known revision, so the changes that
    // another router knows complete it again.
    const bool completes_from_router = era_was_complete_ && !state_complete_ &&
                                       full_read_router_.empty() &&
                                       !may_read_value_from_store(now) &&
                                       any_responsive_router(now) != nullptr;
    if (!state_complete_ && !completes_from_router)
        return next_full_read_call(now);
    const auto* router = use_store_next_ ? nullptr : watcher(now);
    use_store_next_ = false;
    // While the store does not respond to this router, it may respond to
    // others.
    if (router == nullptr &&
        (store_failed_recently(now) || !may_call_store(now)))
        router = any_responsive_router(now);
    if (router == nullptr && !may_call_store(now))
    {
        call_in_progress_ = false;
        next_call_due_ = now + options_.retry_pause;
        return std::nullopt;
    }
    if (router == nullptr)
        return watch_changes{known_revision_, options_.watch_wait};
    queried_router_ = router->name;
    return query_router{
        router->name, router->control_address,
        change_query{.sequence = ++query_sequence_,
                     .after = known_revision_,
                     .era = era_.value_or(0),
                     .config_version = state_.config_version()}};
}

directory_call directory_follower::next_full_read_call(time_point now)
{
    if (next_page_after_.empty())
        read_started_at_ = now;
    const auto* router = full_read_source(now);
    if (router == nullptr)
        return read_page{next_page_after_};
    queried_router_ = router->name;
    return query_router{router->name, router->control_address,
                        listing_query{++query_sequence_, next_page_after_}};
}

const router_record* directory_follower::full_read_source(time_point now)
{
    const auto found = state_.routers().find(full_read_router_);
    if (found != state_.routers().end() &&
        !is_unresponsive(now, full_read_router_))
        return &found->second;
    full_read_router_.clear();
    return may_read_value_from_store(now) ? nullptr
                                          : any_responsive_router(now);
}

directory_call directory_follower::next_long_entry_call(time_point now)
{
    const auto& key = pending_long_entries_.front().key;
    const auto* router = long_entry_source(now);
    if (router == nullptr)
        return read_entry{key};
    queried_router_ = router->name;
    return query_router{
        router->name, router->control_address,
        entry_query{++query_sequence_,
                    static_cast<std::uint32_t>(long_value_.size()), key}};
}

std::optional<query_router>
directory_follower::next_config_query(time_point now)
{
    if (!reported_config_ || !pending_long_entries_.empty())
        return std::nullopt;
    auto& reported = *reported_config_;
    if (!reported.is_missing_in_store && !awaits_rewrites(now) &&
        now - reported.reported_at < options_.config_report_patience)
        return std::nullopt;
    config_query_in_progress_ = true;
    queried_router_ = reported.router;
    return query_router{
        reported.router, reported.control_address,
        config_query{++query_sequence_,
                     static_cast<std::uint32_t>(reported.value.size())}};
}

void directory_follower::handle_config_version(time_point now,
                                               std::uint64_t version,
                                               const endpoint& from)
{
    if (version <= state_.config_version() ||
        version == unusable_config_version_ ||
        (reported_config_ && version <= reported_config_->version))
        return;
    const auto& routers = state_.routers();
    const auto sender =
        std::ranges::find_if(routers, [&from](const auto& item)
                             { return item.second.control_address == from; });
    reported_config_ = {
        .version = version,
        .router = sender == routers.end() ? to_string(from) : sender->first,
        .control_address = from,
        .reported_at = reported_config_ ? reported_config_->reported_at : now,
        .value = {}};
    next_call_due_ = std::min(next_call_due_, now);
}

bool directory_follower::handle_config_part(time_point now,
                                            const config_part& part)
{
    if (!config_query_in_progress_ || end_query(now, part.sequence).empty())
        return false;
    config_query_in_progress_ = false;
    if (!reported_config_)
        return true;
    auto& reported = *reported_config_;
    reported.unanswered = 0;
    if (part.version < reported.version || part.bytes.empty())
    {
        reported_config_.reset();
        return true;
    }
    if (part.version != reported.value_version && !reported.value.empty())
    {
        // The configuration was replaced; its parts are read from the first.
        reported.value.clear();
        return true;
    }
    reported.value_version = part.version;
    reported.value += part.bytes;
    if (reported.value.size() < part.total_bytes)
        return true;
    state_.adopt_reported_config(reported.value);
    // Another release may accept what this one cannot read.
    if (state_.config_version() < part.version)
        unusable_config_version_ = part.version;
    reported_config_.reset();
    return true;
}

void directory_follower::update_reported_config()
{
    if (reported_config_ &&
        state_.config_version() >= reported_config_->version)
        reported_config_.reset();
}

std::vector<router_record> directory_follower::take_config_peers(time_point now)
{
    const bool is_due =
        compared_era_ != era_ ||
        (awaits_rewrites(now) && compared_version_ != state_.config_version());
    if (!is_due || state_.secret().empty())
        return {};
    compared_era_ = era_;
    compared_version_ = state_.config_version();
    const auto own_hash = hash_bytes(options_.router);
    std::vector<std::pair<std::uint64_t, const router_record*>> ranked;
    for (const auto& [name, router] : state_.routers())
        if (name != options_.router)
            ranked.emplace_back(rendezvous_score(own_hash, hash_bytes(name)),
                                &router);
    std::ranges::sort(ranked, std::greater{},
                      [](const auto& item) { return item.first; });
    ranked.resize(std::min(ranked.size(), options_.max_config_peers));
    std::vector<router_record> peers;
    peers.reserve(ranked.size());
    for (const auto& [score, router] : ranked)
        peers.push_back(*router);
    return peers;
}

void directory_follower::start_era(time_point now, store_era era)
{
    era_ = era;
    era_started_at_ = now;
    era_began_during_call_ = true;
    era_was_complete_ = false;
    begin_full_read({});
    known_revision_ = 0;
    // Writers whose entries the copy does not have register again.
    store_returned_at_ = now;
    state_.begin_era(era, now + options_.rewrite_time);
}

bool directory_follower::accept_store_era(time_point now, store_era era)
{
    if (!era_)
        era_ = era;
    if (era == 0 && *era_ != 0)
    {
        // The response has no era.
        next_call_due_ = now + options_.max_retry_pause;
        return false;
    }
    // A call that was sent in the era before asked for changes after a revision
    // of that era.
    const bool is_usable = *era_ == era && !era_began_during_call_;
    if (is_usable)
        return true;
    next_call_due_ = now;
    if (era > *era_ || (era < *era_ && !era_began_during_call_))
        start_era(now, era);
    return false;
}

bool directory_follower::accept_router_era(time_point now, store_era era)
{
    if (!era_ || era <= *era_)
        return true;
    start_era(now, era);
    constexpr std::uint64_t slots = 64;
    next_call_due_ = now + options_.era_read_spread *
                               static_cast<std::int64_t>(
                                   hash_bytes(options_.router) % slots) /
                               static_cast<std::int64_t>(slots);
    return false;
}

const router_record* directory_follower::long_entry_source(time_point now) const
{
    if (!may_read_value_from_store(now))
        return any_responsive_router(now);
    const bool is_late =
        now - long_entry_reported_at_ > options_.long_entry_timeout;
    return read_long_entry_from_store_ || is_late ? nullptr : watcher(now);
}

bool directory_follower::may_read_value_from_store(time_point now) const
{
    // While the store does not respond, what other routers have sent is kept.
    return !store_failed_at_ ||
           (!store_failed_recently(now) && long_value_.empty());
}

bool directory_follower::store_failed_recently(time_point now) const
{
    return store_failed_at_ &&
           now - *store_failed_at_ < options_.store_retry_pause;
}

const router_record* directory_follower::watcher(time_point now) const
{
    // Without the secret, messages of other routers cannot be authenticated.
    if (state_.secret().empty() || options_.router.empty())
        return nullptr;
    struct candidate
    {
        std::uint64_t score;
        const router_record* router;
    };
    const auto data_centre_hash = hash_bytes(options_.data_centre);
    // While the store is unavailable all routers are stale, and those that
    // watch it are the first to learn of its return.
    const bool skips_stale = !is_store_unavailable(now);
    std::vector<candidate> candidates;
    for (const auto& [name, router] : state_.routers())
        if (name != options_.router &&
            router.data_centre == options_.data_centre &&
            !is_unresponsive(now, name) &&
            !(skips_stale && is_stale(now, name)))
            candidates.push_back(
                {rendezvous_score(data_centre_hash, hash_bytes(name)),
                 &router});
    const auto watchers = 1 + candidates.size() / options_.routers_per_watcher;
    const auto own_score =
        rendezvous_score(data_centre_hash, hash_bytes(options_.router));
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate& left, const candidate& right)
              { return left.score > right.score; });
    if (candidates.size() < watchers ||
        own_score > candidates[watchers - 1].score)
        return nullptr;
    // Routers are spread over the watchers; each one always queries the same.
    const auto own_hash = hash_bytes(options_.router);
    const auto best = std::max_element(
        candidates.begin(),
        candidates.begin() + static_cast<std::ptrdiff_t>(watchers),
        [own_hash](const candidate& left, const candidate& right)
        {
            return rendezvous_score(own_hash, left.score) <
                   rendezvous_score(own_hash, right.score);
        });
    return best->router;
}

bool directory_follower::is_unresponsive(time_point now,
                                         const std::string& router) const
{
    const auto found = unresponsive_until_.find(router);
    return found != unresponsive_until_.end() && found->second > now;
}

bool directory_follower::is_stale(time_point now,
                                  const std::string& router) const
{
    const auto found = stale_until_.find(router);
    return found != stale_until_.end() && found->second > now;
}

const router_record*
directory_follower::any_responsive_router(time_point now) const
{
    if (state_.secret().empty())
        return nullptr;
    const auto own_hash = hash_bytes(options_.router);
    std::uint64_t best_score = 0;
    const router_record* chosen = nullptr;
    for (const auto& [name, router] : state_.routers())
    {
        const auto score = rendezvous_score(own_hash, hash_bytes(name));
        if (name == options_.router || is_unresponsive(now, name) ||
            is_stale(now, name) || score <= best_score)
            continue;
        best_score = score;
        chosen = &router;
    }
    return chosen;
}

bool directory_follower::is_store_unavailable(time_point now) const
{
    return confirmed_at_ &&
           store_pace_.is_unavailable(
               now, std::max(*confirmed_at_, store_responded_at_));
}

bool directory_follower::may_call_store(time_point now) const
{
    return !is_store_unavailable(now) ||
           store_pace_.is_call_due(now, watcher(now) == nullptr,
                                   state_.routers().size());
}

void directory_follower::record_store_return(time_point now, time_point sent_at)
{
    // The store may have been unavailable to this router only.
    if (confirmed_at_ &&
        sent_at - std::max(*confirmed_at_, store_responded_at_) >
            options_.store_unavailable_after)
        store_returned_at_ = now;
}

void directory_follower::record_store_response(
    std::uint32_t confirmation_age_ms)
{
    store_responded_at_ = std::max(store_responded_at_,
                                   call_sent_at_ - confirmation_age_ms * 1ms);
}

void directory_follower::record_confirmation(time_point sent_at)
{
    if (!state_complete_)
    {
        // Changes that preceded the entries of a page are missing in the log.
        if (read_revision_)
            state_.end_full_read(known_revision_, true);
        reset_full_read();
    }
    state_complete_ = true;
    failure_pause_ = duration{0};
    update_reported_config();
    if (reported_config_)
    {
        // Without the newer configuration, the state is confirmed only up to
        // the time at which it became known.
        auto& reported = *reported_config_;
        reported.is_missing_in_store =
            reported.is_missing_in_store || sent_at > reported.reported_at;
        sent_at = std::min(sent_at, reported.reported_at);
    }
    if (!confirmed_at_ || sent_at > *confirmed_at_)
        confirmed_at_ = sent_at;
}

std::optional<time_point> directory_follower::grace_end(time_point now) const
{
    if (!store_returned_at_ ||
        now - *store_returned_at_ > options_.expiry_grace)
        return std::nullopt;
    return *store_returned_at_ + options_.expiry_grace;
}

void directory_follower::handle_page(time_point now, const entry_page& page)
{
    call_in_progress_ = false;
    store_failed_at_.reset();
    store_pace_.record_response();
    next_call_due_ = now;
    if (!accept_store_era(now, page.era))
        return;
    record_store_return(now, read_started_at_);
    if (!read_revision_)
        read_revision_ = page.as_of_revision;
    for (const auto& item : page.entries)
    {
        listed_keys_.insert(item.key);
        state_.apply_listed(now, item, grace_end(now));
    }
    continue_full_read(now, page.has_more,
                       page.entries.empty() ? std::string{}
                                            : page.entries.back().key);
}

bool directory_follower::handle_listing(time_point now,
                                        const listing_response& response)
{
    const auto responder = end_query(now, response.sequence);
    if (responder.empty())
        return false;
    record_store_response(response.confirmation_age_ms);
    if (!accept_router_era(now, response.era) || state_complete_)
        return true;
    const duration reported_age = response.confirmation_age_ms * 1ms;
    if (!response.is_complete || response.era != era_ ||
        reported_age > options_.max_reported_age ||
        // Entries that this router knows to be removed would return.
        response.as_of_revision <
            std::max(read_revision_.value_or(0), known_revision_))
    {
        full_read_router_.clear();
        unresponsive_until_[responder] = now + options_.stale_router_pause;
        return true;
    }
    read_started_at_ = std::min(read_started_at_, call_sent_at_ - reported_age);
    if (!read_revision_)
        read_revision_ = response.as_of_revision;
    for (const auto& item : response.entries)
    {
        listed_keys_.insert(item.key);
        if (!item.is_long)
            state_.apply_listed(now, {item.key, item.value, item.mod_revision},
                                grace_end(now));
        else if (is_value_needed(item, response.config_version))
            add_pending_long_entry(now, item);
    }
    // A configuration that the responder has from a router is not listed.
    // Without it, the listing confirms nothing.
    if (const auto router = state_.routers().find(responder);
        router != state_.routers().end())
        handle_config_version(now, response.config_version,
                              router->second.control_address);
    if (reported_config_)
        reported_config_->reported_at =
            std::min(reported_config_->reported_at,
                     confirmed_at_.value_or(time_point{}));
    continue_full_read(now, response.has_more,
                       response.entries.empty() ? std::string{}
                                                : response.entries.back().key);
    return true;
}

bool directory_follower::is_value_needed(const reported_entry& item,
                                         std::uint64_t config_version) const
{
    // A configuration in force never returns to another one of its version.
    return state_.is_newer(item) && (!state_.is_config(item) ||
                                     config_version > state_.config_version());
}

void directory_follower::continue_full_read(time_point now, bool has_more,
                                            const std::string& last_key)
{
    if (has_more && !last_key.empty())
    {
        next_page_after_ = last_key;
        return;
    }
    all_pages_read_ = true;
    if (pending_long_entries_.empty())
        end_full_read(now);
}

void directory_follower::end_full_read(time_point now)
{
    state_.remove_unlisted(now, listed_keys_, *read_revision_, grace_end(now));
    // The pages are not one snapshot: changes after the first page's revision
    // are read next.
    known_revision_ = std::max(known_revision_, *read_revision_);
    state_.end_full_read(known_revision_, era_was_complete_);
    read_revision_.reset();
    if (!era_was_complete_)
        era_complete_at_ = now;
    if (!was_complete_)
    {
        const auto& routers = state_.routers();
        if (!options_.router.empty() &&
            routers.size() == routers.count(options_.router))
            next_call_due_ = now + options_.fleet_start_pause;
    }
    was_complete_ = true;
    era_was_complete_ = true;
    record_confirmation(read_started_at_);
}

void directory_follower::begin_full_read(const std::string& source)
{
    state_complete_ = false;
    reset_full_read();
    clear_pending_long_entries();
    full_read_router_ = source;
}

void directory_follower::reset_full_read()
{
    next_page_after_.clear();
    listed_keys_.clear();
    read_revision_.reset();
    all_pages_read_ = false;
    full_read_router_.clear();
}

void directory_follower::handle_changes(time_point now,
                                        const entry_changes& changes)
{
    call_in_progress_ = false;
    store_failed_at_.reset();
    store_pace_.record_response();
    if (!accept_store_era(now, changes.era))
        return;
    record_store_return(now, call_sent_at_);
    for (const auto& item : changes.entries)
        state_.apply(now, item, grace_end(now));
    known_revision_ = std::max(known_revision_, changes.as_of_revision);
    record_confirmation(call_sent_at_);
    next_call_due_ = now + options_.watch_pause;
}

void directory_follower::handle_history_loss(time_point now,
                                             std::optional<store_era> era)
{
    call_in_progress_ = false;
    if (era && !accept_store_era(now, *era))
        return;
    begin_full_read({});
    next_call_due_ = now;
}

void directory_follower::handle_call_failure(time_point now)
{
    call_in_progress_ = false;
    store_failed_at_ = now;
    store_pace_.record_failure(now);
    failure_pause_ = std::clamp(failure_pause_ * 2, options_.retry_pause,
                                was_complete_ ? options_.max_retry_pause
                                              : options_.max_first_read_pause);
    next_call_due_ = now + failure_pause_;
}

void directory_follower::handle_entry(time_point now,
                                      const entry_lookup& lookup)
{
    call_in_progress_ = false;
    store_failed_at_.reset();
    store_pace_.record_response();
    next_call_due_ = now;
    if (accept_store_era(now, lookup.era) && !pending_long_entries_.empty())
        finish_long_entry(now, lookup.item);
}

void directory_follower::finish_long_entry(time_point now,
                                           const std::optional<entry>& item)
{
    const auto key = pending_long_entries_.front().key;
    pending_long_entries_.pop_front();
    if (!item)
    {
        // A later change reports the removal.
        listed_keys_.erase(key);
        if (pending_confirmation_)
            pending_confirmation_->sent_at.reset();
    }
    else if (read_revision_)
        state_.apply_listed(now, *item, grace_end(now));
    else
        state_.apply(now, *item, grace_end(now));
    update_reported_config();
    long_value_.clear();
    read_long_entry_from_store_ = false;
    long_entry_reported_at_ = now;
    if (!pending_long_entries_.empty())
        return;
    if (all_pages_read_)
        end_full_read(now);
    else if (const auto stated = std::exchange(pending_confirmation_, {}))
    {
        known_revision_ = std::max(known_revision_, stated->as_of);
        if (stated->sent_at)
            record_confirmation(*stated->sent_at);
    }
}

void directory_follower::add_pending_long_entry(time_point now,
                                                const reported_entry& item)
{
    pending_long_entries_.push_back(item);
    long_entry_reported_at_ = now;
}

void directory_follower::clear_pending_long_entries()
{
    pending_long_entries_.clear();
    pending_confirmation_.reset();
    long_value_.clear();
    read_long_entry_from_store_ = false;
}

std::string directory_follower::end_query(time_point now,
                                          std::uint32_t sequence)
{
    if (!call_in_progress_ || queried_router_.empty() ||
        sequence != query_sequence_)
        return {};
    call_in_progress_ = false;
    unanswered_queries_ = 0;
    next_call_due_ = now;
    return std::exchange(queried_router_, {});
}

void directory_follower::restart_transfer(std::string_view reason)
{
    if (!long_value_.empty())
        state_.record_transfer_restart(pending_long_entries_.front().key,
                                       long_value_.size(), reason,
                                       long_value_revision_);
    long_value_.clear();
    read_long_entry_from_store_ = true;
}

bool directory_follower::handle_part(time_point now, const entry_part& part)
{
    const auto responder = end_query(now, part.sequence);
    if (responder.empty())
        return false;
    record_store_response(part.confirmation_age_ms);
    // An era that began meanwhile has discarded the entry.
    if (!accept_router_era(now, part.era) || pending_long_entries_.empty())
        return true;
    const auto& pending = pending_long_entries_.front();
    const auto wanted_revision =
        long_value_.empty() ? pending.mod_revision : long_value_revision_;
    if (part.era != era_ || part.mod_revision < wanted_revision ||
        part.bytes.empty())
    {
        unresponsive_until_[responder] = now + options_.stale_router_pause;
        read_long_entry_from_store_ = true;
        return true;
    }
    const bool is_replaced =
        part.mod_revision != long_value_revision_ && !long_value_.empty();
    if (is_replaced ||
        (part.total_bytes > options_.max_value_bytes_from_router &&
         may_read_value_from_store(now)))
    {
        restart_transfer(is_replaced ? "the value was replaced"
                                     : "the value is read from the store");
        return true;
    }
    long_value_revision_ = part.mod_revision;
    long_value_ += part.bytes;
    if (long_value_.size() >= part.total_bytes)
        finish_long_entry(now, entry{.key = pending.key,
                                     .value = long_value_,
                                     .mod_revision = part.mod_revision});
    return true;
}

bool directory_follower::handle_response(time_point now,
                                         const change_response& response)
{
    const auto responder = end_query(now, response.sequence);
    if (responder.empty())
        return false;
    if (era_began_during_call_)
        return true;
    const duration reported_age = response.confirmation_age_ms * 1ms;
    if (!response.has_history && response.as_of_revision > known_revision_ &&
        reported_age <= options_.max_reported_age)
    {
        record_store_response(response.confirmation_age_ms);
        begin_full_read(responder);
        return true;
    }
    if (!response.has_history || reported_age > options_.max_reported_age)
    {
        record_store_response(response.confirmation_age_ms);
        if (is_store_unavailable(now))
        {
            stale_until_[responder] = now + options_.stale_router_pause;
            use_store_next_ = may_call_store(now);
            if (!use_store_next_)
                next_call_due_ = now + options_.unavailable_query_pause;
            return true;
        }
        // Another router may have a fresher state. A router that should watch
        // the store and is behind is skipped for longer, so that another one
        // watches.
        stale_until_[responder] =
            now + (store_failed_at_ ? options_.stale_router_pause
                                    : options_.unresponsive_router_pause);
        use_store_next_ = true;
        return true;
    }
    // The response was made after the query was sent, so its confirmation is at
    // least as recent as this, however long the datagrams took.
    const auto sent_at = call_sent_at_ - reported_age;
    record_store_return(now, sent_at);
    record_store_response(response.confirmation_age_ms);
    for (const auto& item : response.entries)
    {
        std::erase_if(pending_long_entries_, [&item](const auto& pending)
                      { return pending.key == item.key; });
        if (item.is_long)
            add_pending_long_entry(now, item);
        else
            state_.apply(
                now, {item.key, item.value, item.mod_revision, item.removed},
                grace_end(now));
    }
    if (!pending_long_entries_.empty())
    {
        pending_confirmation_ = {response.as_of_revision, {}};
        if (!response.has_more)
            pending_confirmation_->sent_at = sent_at;
        return true;
    }
    known_revision_ = std::max(known_revision_, response.as_of_revision);
    if (response.has_more)
        return true;
    record_confirmation(sent_at);
    next_call_due_ = std::clamp(sent_at + options_.max_age_at_query, now,
                                now + options_.query_pause);
    return true;
}

void directory_follower::handle_router_timeout(time_point now)
{
    if (!call_in_progress_ || queried_router_.empty())
        return;
    call_in_progress_ = false;
    if (std::exchange(config_query_in_progress_, false))
    {
        if (reported_config_ &&
            ++reported_config_->unanswered >= max_unanswered_queries)
            reported_config_.reset();
        queried_router_.clear();
        next_call_due_ = now;
        return;
    }
    read_long_entry_from_store_ = !pending_long_entries_.empty();
    // A single datagram is lost now and then; two in a row mean that the router
    // is unresponsive.
    if (++unanswered_queries_ >= max_unanswered_queries)
    {
        unresponsive_until_[queried_router_] =
            now + options_.unresponsive_router_pause;
        unanswered_queries_ = 0;
    }
    queried_router_.clear();
    next_call_due_ = now;
}

change_response directory_follower::respond(time_point now,
                                            const change_query& query) const
{
    change_response result;
    if (era_was_complete_ && query.era == era_)
        result = state_.changes_after(query.after, known_revision_);
    result.confirmation_age_ms = reported_age_ms(now);
    result.sequence = query.sequence;
    return result;
}

config_part directory_follower::respond(const config_query& query) const
{
    return state_.config_part_for(query);
}

entry_part directory_follower::respond(time_point now,
                                       const entry_query& query) const
{
    auto result = state_.part_for(query);
    result.confirmation_age_ms = reported_age_ms(now);
    result.era = era_.value_or(0);
    return result;
}

listing_response directory_follower::respond(time_point now,
                                             const listing_query& query) const
{
    auto result = state_.listing_after(query.after);
    result.sequence = query.sequence;
    result.is_complete = state_complete_;
    result.as_of_revision = known_revision_;
    result.confirmation_age_ms = reported_age_ms(now);
    result.era = era_.value_or(0);
    result.config_version = state_.config_version();
    return result;
}

std::uint32_t directory_follower::reported_age_ms(time_point now) const
{
    if (!confirmed_at_)
        return max_reported_age_ms;
    // Rounded up: a confirmation may be reported as older, never as more
    // recent.
    return static_cast<std::uint32_t>(std::min<std::int64_t>(
        (now - *confirmed_at_) / 1ms + 1, max_reported_age_ms));
}

void directory_follower::handle_notice(time_point now,
                                       const change_notice& notice)
{
    if (!accept_router_era(now, notice.era))
        return;
    if (notice.era == era_ &&
        (notice.revision > known_revision_ || is_store_unavailable(now)))
        next_call_due_ = std::min(next_call_due_, now);
}

bool directory_follower::is_watching_store(time_point now) const
{
    return watcher(now) == nullptr;
}

bool directory_follower::should_create_secret(time_point now) const
{
    if (!state_complete_ || state_.is_secret_listed())
        return false;
    const auto own_hash = hash_bytes(options_.router);
    if (own_hash % routers_per_early_creator == 0)
        return true;
    // The other routers of a fleet that starts are known after a first watch.
    if (now - era_complete_at_ <= options_.fleet_start_pause)
        return false;
    const auto ranked_before =
        std::ranges::count_if(state_.routers(), [own_hash](const auto& item)
                              { return hash_bytes(item.first) < own_hash; });
    return ranked_before < max_creators ||
           now - era_complete_at_ > creation_patience;
}

std::optional<change_notice>
directory_follower::notice_for(const change_query& query) const
{
    const auto own = notice();
    if (query.era >= own.era && query.config_version >= own.config_version)
        return std::nullopt;
    return own;
}

change_notice directory_follower::notice() const
{
    return {.revision = known_revision_,
            .era = era_.value_or(0),
            .config_version = state_.config_version()};
}

store_era directory_follower::era() const
{
    return era_.value_or(0);
}

revision directory_follower::known_revision() const
{
    return known_revision_;
}

std::optional<time_point> directory_follower::confirmed_at() const
{
    return confirmed_at_;
}

bool directory_follower::is_config_superseded() const
{
    return (reported_config_ &&
            reported_config_->version > state_.config_version()) ||
           std::ranges::any_of(pending_long_entries_, [this](const auto& item)
                               { return state_.is_newer_config(item); });
}

bool directory_follower::awaits_rewrites(time_point now) const
{
    return era_started_at_ && now - *era_started_at_ < options_.rewrite_time;
}

bool directory_follower::has_complete_state() const
{
    return state_complete_;
}

directory_state& directory_follower::state()
{
    return state_;
}

const directory_state& directory_follower::state() const
{
    return state_;
}

} // namespace baobabloft::directory

#include "baobabloft/directory/directory_follower.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <utility>

namespace baobabloft::directory
{

namespace
{

/// Largest proof age that is told; older ones are of no use to anybody.
constexpr std::int64_t max_age_ms = 1'000'000;

constexpr std::uint32_t asks_per_router = 2;

} // namespace

directory_follower::directory_follower(const record_codec& codec,
                                       const follower_options& options)
    : options_(options), state_(codec)
{
}

std::optional<directory_call> directory_follower::next_call(time_point now)
{
    state_.remove_expired(now);
    if (out_ || now < due_)
        return std::nullopt;
    out_ = true;
    sent_ = now;
    if (!complete_)
    {
        if (page_after_.empty())
            read_started_ = now;
        return read_page{page_after_};
    }
    if (long_entry_)
    {
        const auto* router =
            store_failed_lately(now) ? any_router(now) : nullptr;
        if (router == nullptr)
            return read_entry{long_entry_->key};
        asked_ = router->name;
        return query_router{
            router->name, router->control_address,
            entry_query{++sequence_, static_cast<std::uint32_t>(parts_.size()),
                        long_entry_->key}};
    }
    const auto* router = go_direct_ ? nullptr : router_to_ask(now);
    go_direct_ = false;
    // While the store does not answer here, it may answer others.
    if (router == nullptr && store_failed_lately(now))
        router = any_router(now);
    if (router == nullptr)
        return watch_changes{watched_, options_.watch_wait};
    asked_ = router->name;
    return query_router{router->name, router->control_address,
                        change_query{++sequence_, watched_}};
}

bool directory_follower::store_failed_lately(time_point now) const
{
    return store_failed_at_ &&
           now - *store_failed_at_ < options_.store_retry_pause;
}

const router_record* directory_follower::router_to_ask(time_point now) const
{
    // Without a secret nothing that a router says can be trusted.
    if (state_.secret().empty() || options_.router.empty())
        return nullptr;
    struct candidate
    {
        std::uint64_t score;
        const router_record* router;
    };
    const auto key = hash_bytes(options_.data_centre);
    std::vector<candidate> candidates;
    for (const auto& [name, router] : state_.routers())
        if (name != options_.router &&
            router.data_centre == options_.data_centre && !is_silent(now, name))
            candidates.push_back(
                {rendezvous_score(key, hash_bytes(name)), &router});
    const auto watchers = 1 + candidates.size() / options_.routers_per_watcher;
    const auto own = rendezvous_score(key, hash_bytes(options_.router));
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate& left, const candidate& right)
              { return left.score > right.score; });
    if (candidates.size() < watchers || own > candidates[watchers - 1].score)
        return nullptr;
    // Spread over the watchers, each router always on the same one.
    const auto mine = hash_bytes(options_.router);
    const auto best = std::max_element(
        candidates.begin(),
        candidates.begin() + static_cast<std::ptrdiff_t>(watchers),
        [mine](const candidate& left, const candidate& right)
        {
            return rendezvous_score(mine, left.score) <
                   rendezvous_score(mine, right.score);
        });
    return best->router;
}

bool directory_follower::is_silent(time_point now,
                                   const std::string& router) const
{
    const auto found = silent_until_.find(router);
    return found != silent_until_.end() && found->second > now;
}

const router_record* directory_follower::any_router(time_point now) const
{
    if (state_.secret().empty())
        return nullptr;
    const auto own = hash_bytes(options_.router);
    std::uint64_t best = 0;
    const router_record* chosen = nullptr;
    for (const auto& [name, router] : state_.routers())
    {
        const auto score = rendezvous_score(own, hash_bytes(name));
        if (name == options_.router || is_silent(now, name) || score <= best)
            continue;
        best = score;
        chosen = &router;
    }
    return chosen;
}

void directory_follower::note_return(time_point now, time_point as_of)
{
    // It may have been away for this router only.
    if (proven_ && as_of - std::max(*proven_, store_alive_) >
                       options_.store_unavailable_after)
        returned_ = now;
}

void directory_follower::note_alive(std::uint32_t confirmation_age_ms)
{
    store_alive_ = std::max(store_alive_, sent_ - confirmation_age_ms * 1ms);
}

void directory_follower::proved(time_point as_of)
{
    if (!proven_ || as_of > *proven_)
        proven_ = as_of;
    pause_ = duration{0};
}

std::optional<time_point> directory_follower::lapse_end(time_point now) const
{
    if (!returned_ || now - *returned_ > options_.expiry_grace)
        return std::nullopt;
    return *returned_ + options_.expiry_grace;
}

void directory_follower::handle_page(time_point now, const entry_page& page)
{
    out_ = false;
    due_ = now;
    note_return(now, read_started_);
    if (!read_as_of_)
        read_as_of_ = page.as_of_revision;
    for (const auto& item : page.entries)
    {
        listed_.insert(item.key);
        state_.apply(now, item, lapse_end(now));
    }
    if (page.has_more && !page.entries.empty())
    {
        page_after_ = page.entries.back().key;
        return;
    }
    state_.remove_unlisted(now, listed_, *read_as_of_, lapse_end(now));
    // Pages are no snapshot: changes behind the first page's revision follow.
    watched_ = std::max(watched_, *read_as_of_);
    if (!complete_once_)
        state_.begin_change_log(watched_);
    complete_once_ = true;
    complete_ = true;
    proved(read_started_);
    forget_read();
}

void directory_follower::forget_read()
{
    page_after_.clear();
    listed_.clear();
    read_as_of_.reset();
}

void directory_follower::handle_changes(time_point now,
                                        const entry_changes& changes)
{
    out_ = false;
    store_failed_at_.reset();
    note_return(now, sent_);
    for (const auto& item : changes.entries)
        state_.apply(now, item, lapse_end(now));
    watched_ = std::max(watched_, changes.as_of_revision);
    proved(sent_);
    due_ = now + options_.watch_pause;
}

void directory_follower::handle_history_loss(time_point now)
{
    out_ = false;
    complete_ = false;
    forget_read();
    due_ = now;
}

void directory_follower::handle_call_failure(time_point now)
{
    out_ = false;
    store_failed_at_ = now;
    pause_ =
        std::clamp(pause_ * 2, options_.retry_pause, options_.max_retry_pause);
    due_ = now + pause_;
}

void directory_follower::handle_entry(time_point now,
                                      const std::optional<entry>& item)
{
    out_ = false;
    due_ = now;
    if (long_entry_)
        finish_long_entry(now, item);
}

void directory_follower::finish_long_entry(time_point now,
                                           const std::optional<entry>& item)
{
    // If it is gone again, a later change tells so.
    if (item)
        state_.apply(now, *item, lapse_end(now));
    watched_ = std::max(watched_, long_entry_->mod_revision);
    long_entry_.reset();
    parts_.clear();
}

std::string directory_follower::end_ask(time_point now, std::uint32_t sequence)
{
    if (!out_ || asked_.empty() || sequence != sequence_)
        return {};
    out_ = false;
    unanswered_ = 0;
    due_ = now;
    return std::exchange(asked_, {});
}

bool directory_follower::handle_part(time_point now, const entry_part& part)
{
    if (!long_entry_)
        return false;
    const auto from = end_ask(now, part.sequence);
    if (from.empty())
        return false;
    note_alive(part.confirmation_age_ms);
    if (part.mod_revision < long_entry_->mod_revision || part.bytes.empty())
    {
        silent_until_[from] = now + options_.stale_router_pause;
        parts_.clear();
        return true;
    }
    // The value was replaced while it came.
    if (part.mod_revision != parts_of_ && !parts_.empty())
    {
        parts_.clear();
        return true;
    }
    parts_of_ = part.mod_revision;
    parts_ += part.bytes;
    if (parts_.size() >= part.total_bytes)
        finish_long_entry(now, entry{.key = long_entry_->key,
                                     .value = parts_,
                                     .mod_revision = part.mod_revision});
    return true;
}

bool directory_follower::handle_response(time_point now,
                                         const change_response& answer)
{
    const auto from = end_ask(now, answer.sequence);
    if (from.empty())
        return false;
    const duration told_age = answer.confirmation_age_ms * 1ms;
    if (!answer.has_history || told_age > options_.max_reported_age)
    {
        note_alive(answer.confirmation_age_ms);
        // The next one may know better. A router that should watch the store
        // and is behind is passed over longer, so that another one watches.
        silent_until_[from] =
            now + (store_failed_at_ ? options_.stale_router_pause
                                    : options_.unresponsive_router_pause);
        go_direct_ = true;
        return true;
    }
    // The answer was made after the ask left, so its proof is at least as
    // young as this, however long the datagrams took.
    const auto as_of = sent_ - told_age;
    note_return(now, as_of);
    note_alive(answer.confirmation_age_ms);
    for (const auto& item : answer.entries)
    {
        if (item.is_long)
        {
            long_entry_ = item;
            return true;
        }
        state_.apply(now,
                     {item.key, item.value, item.mod_revision, item.removed},
                     lapse_end(now));
    }
    watched_ = std::max(watched_, answer.as_of_revision);
    if (answer.has_more)
        return true;
    proved(as_of);
    due_ = std::clamp(as_of + options_.max_age_at_query, now,
                      now + options_.query_pause);
    return true;
}

void directory_follower::handle_router_timeout(time_point now)
{
    if (!out_ || asked_.empty())
        return;
    out_ = false;
    // A datagram is lost now and then; two in a row mean more.
    if (++unanswered_ >= asks_per_router)
    {
        silent_until_[asked_] = now + options_.unresponsive_router_pause;
        unanswered_ = 0;
    }
    asked_.clear();
    due_ = now;
}

change_response directory_follower::respond(time_point now,
                                            const change_query& ask) const
{
    change_response result;
    if (complete_once_ && proven_)
    {
        result = state_.changes_after(ask.after, watched_);
        result.confirmation_age_ms = told_age(now);
    }
    result.sequence = ask.sequence;
    return result;
}

entry_part directory_follower::respond(time_point now,
                                       const entry_query& ask) const
{
    auto result = state_.part_for(ask);
    result.confirmation_age_ms = told_age(now);
    return result;
}

std::uint32_t directory_follower::told_age(time_point now) const
{
    if (!proven_)
        return max_age_ms;
    // Rounded up: a proof may count as older, never as younger.
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>((now - *proven_) / 1ms + 1, max_age_ms));
}

void directory_follower::handle_notice(time_point now,
                                       const change_notice& notice)
{
    if (notice.revision > watched_)
        due_ = std::min(due_, now);
}

bool directory_follower::is_watching_store(time_point now) const
{
    return router_to_ask(now) == nullptr;
}

revision directory_follower::known_revision() const
{
    return watched_;
}

std::optional<time_point> directory_follower::confirmed_at() const
{
    return proven_;
}

bool directory_follower::has_complete_state() const
{
    return complete_;
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

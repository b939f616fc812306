#include "baobabloft/directory/directory_follower.hpp"

#include <algorithm>

namespace baobabloft::directory
{

directory_follower::directory_follower(const record_codec& codec,
                                       const follower_options& options)
    : options_(options), state_(codec)
{
}

std::optional<store_call> directory_follower::next(time_point now)
{
    state_.tick(now);
    if (out_ || now < due_)
        return std::nullopt;
    out_ = true;
    sent_ = now;
    if (complete_)
        return watch_changes{watched_, options_.watch_wait};
    if (page_after_.empty())
        read_started_ = now;
    return read_page{page_after_};
}

void directory_follower::proved(time_point now)
{
    const bool was_away = proven_ && now - *proven_ > options_.away_after;
    if (was_away)
        returned_ = now;
    pause_ = duration{0};
}

std::optional<time_point> directory_follower::lapse_end(time_point now) const
{
    if (!returned_ || now - *returned_ > options_.lapse_grace)
        return std::nullopt;
    return *returned_ + options_.lapse_grace;
}

void directory_follower::page_arrived(time_point now, const entry_page& page)
{
    out_ = false;
    proved(now);
    if (!read_as_of_)
        read_as_of_ = page.as_of;
    for (const auto& item : page.entries)
    {
        listed_.insert(item.key);
        state_.apply(now, item, lapse_end(now));
    }
    due_ = now;
    if (page.more && !page.entries.empty())
    {
        page_after_ = page.entries.back().key;
        return;
    }
    state_.retain(now, listed_, *read_as_of_, lapse_end(now));
    // Pages are no snapshot: changes behind the first page's revision follow.
    watched_ = *read_as_of_;
    proven_ = read_started_;
    complete_ = true;
    state_.note_complete();
    page_after_.clear();
    listed_.clear();
    read_as_of_.reset();
}

void directory_follower::changes_arrived(time_point now,
                                         const entry_changes& changes)
{
    out_ = false;
    proved(now);
    for (const auto& item : changes.entries)
        state_.apply(now, item, lapse_end(now));
    watched_ = std::max(watched_, changes.as_of);
    proven_ = sent_;
    due_ = now + options_.watch_pause;
}

void directory_follower::history_lost(time_point now)
{
    out_ = false;
    complete_ = false;
    page_after_.clear();
    listed_.clear();
    read_as_of_.reset();
    due_ = now;
}

void directory_follower::call_failed(time_point now)
{
    out_ = false;
    pause_ =
        std::clamp(pause_ * 2, options_.retry_pause, options_.max_retry_pause);
    due_ = now + pause_;
}

void directory_follower::hurry(time_point now)
{
    due_ = std::min(due_, now);
}

std::optional<time_point> directory_follower::proven_at() const
{
    return proven_;
}

bool directory_follower::is_complete() const
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

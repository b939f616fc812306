// Set of recently seen chats, in order of insertion.
#include "baobabloft/routing/recent_chats.hpp"

#include <iterator>

namespace baobabloft::routing
{

recent_chats::recent_chats(std::size_t limit, duration lifetime)
    : limit_(limit), lifetime_(lifetime)
{
}

void recent_chats::insert(time_point now, chat_id chat)
{
    erase(chat);
    by_age_.push_back({chat, now});
    by_chat_[chat] = std::prev(by_age_.end());
    if (by_age_.size() > limit_)
        erase(by_age_.front().chat);
}

void recent_chats::erase(chat_id chat)
{
    const auto found = by_chat_.find(chat);
    if (found == by_chat_.end())
        return;
    by_age_.erase(found->second);
    by_chat_.erase(found);
}

void recent_chats::clear()
{
    by_age_.clear();
    by_chat_.clear();
}

bool recent_chats::contains(time_point now, chat_id chat) const
{
    const auto found = by_chat_.find(chat);
    return found != by_chat_.end() &&
           now - found->second->inserted_at < lifetime_;
}

} // namespace baobabloft::routing

#include "baobabloft/routing/recent_chats.hpp"

#include <iterator>

namespace baobabloft::routing
{

chat_memory::chat_memory(std::size_t limit, duration lifetime)
    : limit_(limit), lifetime_(lifetime)
{
}

void chat_memory::remember(time_point now, chat_id chat)
{
    forget(chat);
    by_age_.push_back({chat, now});
    by_chat_[chat] = std::prev(by_age_.end());
    if (by_age_.size() > limit_)
        forget(by_age_.front().chat);
}

void chat_memory::forget(chat_id chat)
{
    const auto found = by_chat_.find(chat);
    if (found == by_chat_.end())
        return;
    by_age_.erase(found->second);
    by_chat_.erase(found);
}

void chat_memory::clear()
{
    by_age_.clear();
    by_chat_.clear();
}

bool chat_memory::contains(time_point now, chat_id chat) const
{
    const auto found = by_chat_.find(chat);
    return found != by_chat_.end() && now - found->second->at < lifetime_;
}

} // namespace baobabloft::routing

// A bounded memory of chats, least recently noted forgotten first.
#pragma once

#include "baobabloft/support/ids.hpp"
#include "baobabloft/support/time.hpp"

#include <cstddef>
#include <list>
#include <unordered_map>

namespace baobabloft::routing
{

/// Remembers up to `limit` chats, each for `lifetime` after it was noted.
class recent_chats
{
public:
    recent_chats(std::size_t limit, duration lifetime);

    /// Notes `chat` at `now`.
    void insert(time_point now, chat_id chat);
    void erase(chat_id chat);
    void clear();
    [[nodiscard]] bool contains(time_point now, chat_id chat) const;

private:
    struct item
    {
        chat_id chat{};
        time_point at;
    };

    std::size_t limit_;
    duration lifetime_;
    std::list<item> by_age_;
    std::unordered_map<chat_id, std::list<item>::iterator> by_chat_;
};

} // namespace baobabloft::routing

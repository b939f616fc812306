// Bounded set of recently seen chats. Evicts the chat that was inserted least
// recently.
#pragma once

#include "baobabloft/support/ids.hpp"
#include "baobabloft/support/time.hpp"

#include <cstddef>
#include <list>
#include <unordered_map>

namespace baobabloft::routing
{

/// Contains up to `limit` chats, each for `lifetime` after it was last
/// inserted.
class recent_chats
{
public:
    recent_chats(std::size_t limit, duration lifetime);

    /// Inserts `chat`, or restarts its lifetime if it is already contained.
    void insert(time_point now, chat_id chat);
    void erase(chat_id chat);
    void clear();
    [[nodiscard]] bool contains(time_point now, chat_id chat) const;

private:
    struct item
    {
        chat_id chat{};
        time_point inserted_at;
    };

    std::size_t limit_;
    duration lifetime_;
    std::list<item> by_age_;
    std::unordered_map<chat_id, std::list<item>::iterator> by_chat_;
};

} // namespace baobabloft::routing

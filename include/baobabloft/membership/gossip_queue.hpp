// A bounded queue of records to spread. Each record rides on a number of
// messages that grows with the logarithm of the fleet's size, then is dropped.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace baobabloft::membership
{

/// Records of one type, those sent least often first.
template <typename Record, auto Key>
class gossip_queue
{
public:
    /// Queues `record`, replacing an older one with the same key.
    void push(const Record& record)
    {
        const auto same =
            std::find_if(items_.begin(), items_.end(),
                         [&](const item& other)
                         { return other.record.*Key == record.*Key; });
        if (same != items_.end())
            items_.erase(same);
        items_.push_back({record, 0});
    }

    /// Returns up to `limit` records and counts them as sent once more.
    std::vector<Record> take(std::size_t limit, unsigned max_sends)
    {
        std::stable_sort(items_.begin(), items_.end(),
                         [](const item& left, const item& right)
                         { return left.sends < right.sends; });
        std::vector<Record> result;
        for (auto& entry : items_)
        {
            if (result.size() == limit)
                break;
            result.push_back(entry.record);
            ++entry.sends;
        }
        std::erase_if(items_, [max_sends](const item& entry)
                      { return entry.sends >= max_sends; });
        return result;
    }

    [[nodiscard]] bool empty() const
    {
        return items_.empty();
    }

private:
    struct item
    {
        Record record;
        unsigned sends = 0;
    };

    std::vector<item> items_;
};

} // namespace baobabloft::membership

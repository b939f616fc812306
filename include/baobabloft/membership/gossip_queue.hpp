// A queue of records to spread by gossip. Each record is sent in a limited
// number of messages and then removed; the caller sets the limit, which grows
// with the logarithm of the fleet's size.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace baobabloft::membership
{

/// Records of one type, ordered by the number of times they were sent. `Key` is
/// the member that identifies a record.
template <typename Record, auto Key>
class gossip_queue
{
public:
    /// Queues `record` and removes an older one with the same key.
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

    /// Returns up to `limit` records, those sent least often first, and counts
    /// one more send for each. Removes records that were sent `max_sends`
    /// times.
    std::vector<Record> take(std::size_t limit, unsigned max_sends)
    {
        std::stable_sort(items_.begin(), items_.end(),
                         [](const item& left, const item& right)
                         { return left.send_count < right.send_count; });
        std::vector<Record> result;
        for (auto& entry : items_)
        {
            if (result.size() == limit)
                break;
            result.push_back(entry.record);
            ++entry.send_count;
        }
        std::erase_if(items_, [max_sends](const item& entry)
                      { return entry.send_count >= max_sends; });
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
        unsigned send_count = 0;
    };

    std::vector<item> items_;
};

} // namespace baobabloft::membership

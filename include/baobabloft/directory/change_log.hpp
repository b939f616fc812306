// A log of the latest changes of the store's contents, from which queries of
// other routers are served.
#pragma once

#include "baobabloft/directory/messages.hpp"
#include "baobabloft/directory/records.hpp"

#include <deque>
#include <map>

namespace baobabloft::directory
{

/// A bounded log of changes.
class change_log
{
public:
    /// Adds a change. Revisions need not be added in order.
    void add(const entry& item);

    /// Sets the revision up to which the log does not have all changes. Never
    /// lowers it.
    void set_low_water_mark(revision low_water_mark);

    /// Forgets all changes. The next low-water mark may be lower than before.
    void clear();

    /// Returns the changes after the revision `after`, as many as fit a
    /// datagram. `as_of_revision` is the revision up to which the log is
    /// complete.
    [[nodiscard]] change_response changes_after(revision after,
                                                revision as_of_revision) const;

    /// Returns the queried part of a long value, or an empty part if the log
    /// does not have it.
    [[nodiscard]] entry_part part_for(const entry_query& query) const;

private:
    std::deque<reported_entry> entries_;
    /// Newest values, by key, that are too long for a datagram.
    std::map<std::string, entry> long_values_;
    revision low_water_mark_ = 0;
};

} // namespace baobabloft::directory

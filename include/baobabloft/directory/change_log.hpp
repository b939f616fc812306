// The latest changes that matter to other routers, by revision.
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
    /// Adds a change; revisions need not come in order.
    void add(const entry& item);

    /// Changes up to `floor` are not known.
    void set_low_water_mark(revision floor);

    /// Fills an answer with the changes behind `after`, as many as fit a
    /// datagram. `as_of` is the revision up to which the log is complete.
    [[nodiscard]] change_response changes_after(revision after,
                                                revision as_of) const;

    /// Returns the part of a long value that `ask` wants.
    [[nodiscard]] entry_part part_for(const entry_query& ask) const;

private:
    std::deque<reported_entry> entries_;
    /// Newest values that are too long for a datagram.
    std::map<std::string, entry> long_values_;
    revision floor_ = 0;
};

} // namespace baobabloft::directory

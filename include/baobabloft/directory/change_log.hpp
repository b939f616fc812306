// A log of the latest changes of the store's contents, from which queries of
// other routers are served. The log has no gaps: it begins anew with each read
// of all entries, which does not tell when an entry was removed.
#pragma once

#include "baobabloft/directory/messages.hpp"
#include "baobabloft/directory/records.hpp"

#include <deque>

namespace baobabloft::directory
{

/// A bounded log of changes.
class change_log
{
public:
    /// Adds a change with the revision at which the store made it. Revisions
    /// need not be added in order.
    void add(const entry& item);

    /// Begins the log anew after a read of all entries as of `as_of_revision`.
    /// Later changes that were added before are kept. `history_lost` tells that
    /// the store no longer had the changes after the former state.
    void begin(revision as_of_revision, bool history_lost);

    /// Forgets all changes. The next begin() may be at a lower revision.
    void clear();

    /// Returns the changes after the revision `after`, as many as fit a
    /// datagram. `as_of_revision` is the revision up to which the log is
    /// complete.
    [[nodiscard]] change_response changes_after(revision after,
                                                revision as_of_revision) const;

private:
    std::deque<reported_entry> entries_;
    /// The log does not have all changes up to this revision.
    revision low_water_mark_ = 0;
    /// The store did not have the changes before this revision when all entries
    /// were read; 0 if the history was never lost.
    revision history_lost_before_ = 0;
};

/// Returns true if a value is too long to be sent together with others.
[[nodiscard]] bool is_long_value(const std::string& value);

} // namespace baobabloft::directory

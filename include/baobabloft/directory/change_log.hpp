// The latest changes that matter to other routers, by revision.
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
    /// Adds a change; revisions need not come in order.
    void add(const entry& item);

    /// Changes up to `floor` are not known.
    void set_floor(revision floor);

    /// Fills an answer with the changes behind `after`, as many as fit a
    /// datagram. `as_of` is the revision up to which the log is complete.
    [[nodiscard]] change_answer answer(revision after, revision as_of) const;

private:
    std::deque<told_entry> entries_;
    revision floor_ = 0;
};

} // namespace baobabloft::directory

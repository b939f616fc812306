// Callbacks of an attempt that do nothing once it or its session is over.
#pragma once

#include <memory>

namespace baobabloft::http
{

/// Returns a callback that runs `step`, a member of Session, with `at` and the
/// callback's arguments while the session lives and `at->over` is false.
template <typename Session, typename Attempt, typename Step>
auto attempt_callback(std::weak_ptr<Session> session,
                      std::shared_ptr<Attempt> at, Step step)
{
    return [session = std::move(session), at = std::move(at),
            step](auto&&... arguments)
    {
        const auto self = session.lock();
        if (self && !at->over)
            ((*self).*step)(at, arguments...);
    };
}

} // namespace baobabloft::http

// Wraps a session's member function as a callback that does nothing once the
// session is destroyed or the attempt is over.
#pragma once

#include <memory>

namespace baobabloft::http
{

/// Returns a callback that calls `method`, a member function of Session, with
/// `attempt` and the callback's arguments. The callback does nothing if the
/// session has been destroyed or `attempt->over` is true.
template <typename Session, typename Attempt, typename Method>
auto attempt_callback(std::weak_ptr<Session> session,
                      std::shared_ptr<Attempt> attempt, Method method)
{
    return [session = std::move(session), attempt = std::move(attempt),
            method](auto&&... arguments)
    {
        const auto self = session.lock();
        if (self && !attempt->over)
            ((*self).*method)(attempt, arguments...);
    };
}

} // namespace baobabloft::http
